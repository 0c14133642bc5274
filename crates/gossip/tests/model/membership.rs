//! The model: its states, the actions that lead from one to another, and the properties of all states.

use stateright::{Model, Property};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use wheelfield_gossip::{EvictionPolicy, MemberState, MembershipConfig, Node, Packet};

const NODES: usize = 3;
/// The probe period, in microseconds of virtual time.
pub const PERIOD: i64 = 1_000;

fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + i as u16))
}

fn config() -> MembershipConfig {
    MembershipConfig {
        probe_period: PERIOD,
        probe_timeout: 400,
        indirect_probes: 1,
        suspicion_multiplier: 2,
        eviction: EvictionPolicy::Operator,
        dead_retention: 40 * PERIOD,
        settling_time: 2 * PERIOD,
        expected_members: NODES,
        sync_interval: 2 * PERIOD,
        max_piggybacked_records: 4,
        max_members: 8,
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    pub now: i64,
    pub nodes: Vec<Node>,
    /// Packets in flight: sender, receiver, index in its batch and contents; a set, as their order does not matter.
    pub in_flight: BTreeSet<(usize, usize, u64, Packet)>,
    pub lost: u8,
    pub duplicated: u8,
    pub restarts: u8,
    /// A one-way partition of a node: whether it cannot receive (true) or cannot send, and until when.
    pub partition: Option<(usize, bool, i64)>,
    /// The stopped node, its highest known refutation count, and whether it left (true) or was killed.
    pub stopped: Option<(usize, u32, bool)>,
    /// Whether all other nodes know of the leave.
    pub is_leave_known: bool,
    /// The packet that is delayed: sender, receiver and contents.
    pub delayed: Option<(usize, usize, Packet)>,
    /// Whether a packet was delayed before; there is at most one.
    pub was_delayed: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// All packets in flight arrive, in this order or the reverse, with at most one lost or duplicated.
    Round {
        backwards: bool,
        lost: Option<usize>,
        duplicated: Option<usize>,
    },
    /// A node is killed and restarts at its address.
    Restart(usize),
    /// From now on a node cannot receive (true) or cannot send.
    Partition(usize, bool),
    /// A node stops: it leaves (true) or is killed.
    Stop(usize, bool),
    /// A packet is delayed.
    Delay(usize),
    /// The delayed packet arrives.
    DeliverDelayed,
}

/// A fault injected into the implementation, which a property must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// A suspected member is not counted.
    UncountedSuspect,
    /// A stale record refutes a suspicion.
    StaleRefutation,
    /// Two nodes have the same index.
    DuplicateIndex,
    /// A delayed packet undoes a leave.
    UndoneLeave,
}

/// Duration of a one-way partition.
const PARTITION_TIME: i64 = 9 * PERIOD;

/// The model of the protocol, with the faults that may occur.
#[derive(Clone, Copy, Debug)]
pub struct Membership {
    pub fault: Fault,
    pub losses: u8,
    pub restarts: u8,
    pub partitions: bool,
    /// A node may stop.
    pub stops: bool,
    /// A packet may be delayed.
    pub delays: bool,
    /// The time at which the exploration ends.
    pub end: i64,
}

/// No faults, and no time to explore.
pub const NO_FAULTS: Membership = Membership {
    fault: Fault::None,
    losses: 0,
    restarts: 0,
    partitions: false,
    stops: false,
    delays: false,
    end: 0,
};

impl Membership {
    fn count(&self, state: &State, i: usize) -> usize {
        let node = &state.nodes[i];
        if self.fault == Fault::UncountedSuspect {
            return node
                .records()
                .filter(|r| r.state == MemberState::Alive)
                .count()
                + 1;
        }
        node.view().count
    }

    fn enqueue_packets(state: &mut State, from: usize, out: Vec<(SocketAddr, Packet)>) {
        for (n, (to, packet)) in out.into_iter().enumerate() {
            let to = usize::from(to.port() - 7_000);
            state.in_flight.insert((from, to, n as u64, packet));
        }
    }

    fn index(&self, node: &Node) -> usize {
        let index = node.view().index;
        if self.fault == Fault::DuplicateIndex {
            index.saturating_sub(1)
        } else {
            index
        }
    }

    /// The indexes of the running nodes.
    fn running(state: &State) -> impl Iterator<Item = usize> + '_ {
        (0..NODES).filter(|i| state.stopped.is_none_or(|(stopped, ..)| stopped != *i))
    }

    /// The packet as a node with an injected fault reads it: the record of a live member takes precedence whatever its refutation
    /// count.
    fn apply_fault(&self, node: &Node, packet: &Packet) -> Packet {
        let overridden = match self.fault {
            Fault::StaleRefutation => MemberState::Suspect,
            Fault::UndoneLeave => MemberState::Left,
            _ => return packet.clone(),
        };
        let mut packet = packet.clone();
        for record in packet
            .records
            .iter_mut()
            .filter(|r| r.state == MemberState::Alive)
        {
            let known = node
                .records()
                .find(|r| r.member == record.member && r.state == overridden);
            if let Some(known) = known.filter(|r| r.incarnation == record.incarnation) {
                record.refutations = known.refutations + 1;
            }
        }
        packet
    }

    fn deliver(&self, state: &mut State, from: usize, to: usize, packet: &Packet) {
        if !Self::running(state).any(|i| i == to) {
            return;
        }
        let mut out = Vec::new();
        let packet = self.apply_fault(&state.nodes[to], packet);
        state.nodes[to].receive(state.now, address(from), &packet, &mut out);
        // Events are for the log only; states that differ in them are the same.
        state.nodes[to].take_events();
        Self::enqueue_packets(state, to, out);
    }

    /// The initial state, in which all nodes are settled.
    pub fn settled() -> State {
        let node = |i| {
            Node::new(
                address(i),
                1,
                (0..NODES).map(address).collect(),
                config(),
                7 + i as u64,
                0,
            )
        };
        let mut state = State {
            now: 0,
            nodes: (0..NODES).map(node).collect(),
            in_flight: BTreeSet::new(),
            lost: 0,
            duplicated: 0,
            restarts: 0,
            partition: None,
            stopped: None,
            is_leave_known: false,
            delayed: None,
            was_delayed: false,
        };
        while !state.nodes.iter().all(|n| n.view().is_settled) {
            NO_FAULTS.step(&mut state, false, None, None);
            assert!(state.now < 100 * PERIOD, "the group settles");
        }
        state
    }

    /// Delivers the packets in flight, then advances the time to the next tick.
    fn step(
        &self,
        state: &mut State,
        backwards: bool,
        lost: Option<usize>,
        duplicated: Option<usize>,
    ) {
        let mut all: Vec<_> = std::mem::take(&mut state.in_flight).into_iter().collect();
        if let Some(duplicate) = duplicated.and_then(|d| all.get(d).cloned()) {
            all.push(duplicate);
        }
        if let Some(lost) = lost.filter(|l| *l < all.len()) {
            all.remove(lost);
        }
        if backwards {
            all.reverse();
        }
        let now = state.now;
        for (from, to, _, packet) in all {
            let is_cut = |(node, is_inbound, until)| {
                now < until && node == if is_inbound { to } else { from }
            };
            if state.partition.is_some_and(is_cut) {
                continue;
            }
            self.deliver(state, from, to, &packet);
        }
        if let Some((stopped, _, true)) = state.stopped {
            let knows_leave = |n: &Node| {
                n.records()
                    .any(|r| r.member == address(stopped) && r.state == MemberState::Left)
            };
            let all_know = Self::running(state).all(|i| knows_leave(&state.nodes[i]));
            state.is_leave_known |= all_know;
        }
        if state.in_flight.is_empty() {
            let next = Self::running(state)
                .map(|i| state.nodes[i].next_tick_at())
                .min()
                .unwrap_or(state.now);
            state.now = state.now.max(next);
            let running: Vec<usize> = Self::running(state).collect();
            for i in running {
                let mut out = Vec::new();
                if state.nodes[i].next_tick_at() <= state.now {
                    let now = state.now;
                    state.nodes[i].tick(now, &mut out);
                    state.nodes[i].take_events();
                }
                Self::enqueue_packets(state, i, out);
            }
        }
    }
}

/// The properties that must hold in all states.
pub const SAFETY_PROPERTIES: [&str; 5] = [
    "no node counts fewer members than exist",
    "no two settled nodes have the same index",
    "no node counts more members than exist",
    "no node refutes on behalf of a stopped node",
    "a member that left is not counted once all nodes know of the leave",
];

impl Model for Membership {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![Membership::settled()]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.now >= self.end {
            return;
        }
        for backwards in [false, true] {
            actions.push(Action::Round {
                backwards,
                lost: None,
                duplicated: None,
            });
        }
        for n in 0..state.in_flight.len() {
            if state.lost < self.losses {
                actions.push(Action::Round {
                    backwards: false,
                    lost: Some(n),
                    duplicated: None,
                });
            }
            // The effects of a partition or a stop show late; further faults would keep the search from reaching them.
            if state.duplicated < 1 && !self.partitions && !self.stops {
                actions.push(Action::Round {
                    backwards: false,
                    lost: None,
                    duplicated: Some(n),
                });
            }
        }
        if self.partitions && state.partition.is_none() {
            actions.extend(
                (0..NODES).flat_map(|i| [Action::Partition(i, true), Action::Partition(i, false)]),
            );
        }
        if self.stops && state.stopped.is_none() {
            actions
                .extend((0..NODES).flat_map(|i| [Action::Stop(i, true), Action::Stop(i, false)]));
        }
        if self.delays && !state.was_delayed {
            actions.extend((0..state.in_flight.len()).map(Action::Delay));
        }
        if state.delayed.is_some() {
            actions.push(Action::DeliverDelayed);
        }
        if state.restarts < self.restarts {
            actions.extend((0..NODES).map(Action::Restart));
        }
    }

    fn next_state(&self, state: &State, action: Action) -> Option<State> {
        let mut next = state.clone();
        match action {
            Action::Round {
                backwards,
                lost,
                duplicated,
            } => {
                next.lost += u8::from(lost.is_some());
                next.duplicated += u8::from(duplicated.is_some());
                self.step(&mut next, backwards, lost, duplicated);
            }
            Action::Stop(i, leaves) => {
                let mut out = Vec::new();
                if leaves {
                    next.nodes[i].leave(&mut out);
                }
                let records = next
                    .nodes
                    .iter()
                    .flat_map(Node::records)
                    .filter(|r| r.member == address(i));
                next.stopped = Some((i, records.map(|r| r.refutations).max().unwrap_or(0), leaves));
                Membership::enqueue_packets(&mut next, i, out);
            }
            Action::Delay(n) => {
                let packet = next.in_flight.iter().nth(n).cloned()?;
                next.in_flight.remove(&packet);
                (next.was_delayed, next.delayed) = (true, Some((packet.0, packet.1, packet.3)));
            }
            Action::DeliverDelayed => {
                let (from, to, packet) = next.delayed.take()?;
                self.deliver(&mut next, from, to, &packet);
                // A delayed packet of the killed node looks like one of a live node, and refutes a suspicion once.
                next.stopped = next.stopped.map(|(i, refutations, has_left)| {
                    (i, refutations + u32::from(i == from && !has_left), has_left)
                });
            }
            Action::Partition(node, is_inbound) => {
                next.partition = Some((node, is_inbound, next.now + PARTITION_TIME))
            }
            Action::Restart(i) => {
                next.restarts += 1;
                let start = 2 + next.now as u64;
                let seeds = (0..NODES).map(address).collect();
                next.nodes[i] = Node::new(address(i), start, seeds, config(), start, next.now);
            }
        }
        Some(next)
    }

    #[expect(clippy::too_many_lines, reason = "a list of properties")]
    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "no node counts fewer members than exist",
                |model: &Membership, state: &State| {
                    let member_count =
                        NODES - usize::from(state.stopped.is_some_and(|(_, _, has_left)| has_left));
                    Membership::running(state).all(|i| model.count(state, i) >= member_count)
                },
            ),
            Property::always(
                "no two settled nodes have the same index",
                |model: &Membership, state: &State| {
                    let digest = state.nodes[Membership::running(state).next().unwrap_or(0)]
                        .view()
                        .tag
                        .digest;
                    let is_settled_on_digest =
                        |n: &&Node| n.view().is_settled && n.view().tag.digest == digest;
                    let settled = Membership::running(state)
                        .map(|i| &state.nodes[i])
                        .filter(is_settled_on_digest);
                    let indexes: Vec<usize> = settled.map(|n| model.index(n)).collect();
                    indexes.iter().collect::<BTreeSet<_>>().len() == indexes.len()
                },
            ),
            Property::always(
                "no node counts more members than exist",
                |model: &Membership, state: &State| {
                    (0..NODES).all(|i| model.count(state, i) <= NODES)
                },
            ),
            Property::always(
                "no node refutes on behalf of a stopped node",
                |_, state: &State| {
                    let Some((stopped, refutations, _)) = state.stopped else {
                        return true;
                    };
                    let refutations_of = |n: &Node| {
                        n.records()
                            .find(|r| r.member == address(stopped))
                            .map(|r| r.refutations)
                    };
                    Membership::running(state)
                        .all(|i| refutations_of(&state.nodes[i]).is_none_or(|d| d <= refutations))
                },
            ),
            Property::always(
                "a member that left is not counted once all nodes know of the leave",
                |model: &Membership, state: &State| {
                    !state.is_leave_known
                        || Membership::running(state).all(|i| model.count(state, i) == NODES - 1)
                },
            ),
            Property::sometimes("a killed member is declared dead", |_, state: &State| {
                let knows_dead = |n: &Node| n.records().any(|r| r.state == MemberState::Dead);
                state.stopped.is_some()
                    && Membership::running(state).all(|i| knows_dead(&state.nodes[i]))
            }),
            Property::sometimes("a leave reached all nodes", |_, state: &State| {
                state.is_leave_known
            }),
            Property::sometimes("a member is suspected", |_, state: &State| {
                state
                    .nodes
                    .iter()
                    .any(|n| n.records().any(|r| r.state == MemberState::Suspect))
            }),
            Property::sometimes("a suspicion is refuted", |_, state: &State| {
                state.nodes.iter().any(|n| n.counters().refutations > 0)
            }),
            Property::sometimes("a restarted node has settled", |_, state: &State| {
                state.restarts > 0 && state.nodes.iter().all(|n| n.view().is_settled)
            }),
        ]
    }
}
