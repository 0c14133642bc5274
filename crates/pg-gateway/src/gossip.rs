//! Gossip with the other controllers: authenticated datagrams, key changes, and the membership view for the
//! driver.

use crate::effect_queue::{DatagramSocket, Effect, EffectQueue};
use crate::fault_injection::FaultInjection;
use crate::metrics::Metric;
use crate::peers::{decode_reports, encode_reports};
use crate::timer_event::TimerEvent;
use serde_json::{json, Value};
use std::net::SocketAddr;
use tracing::{debug, info, warn};
use wheelfield::interface::PeerLoadReport;
use wheelfield_config::Config;
use wheelfield_gossip::authentication::{
    is_message, Authenticator, Keys, VerificationError, VerifiedMessage, Verifier, MAX_DATAGRAM_BYTES,
    MAX_MESSAGE_BYTES,
};
use wheelfield_gossip::messages::{MessageLimiter, RateLimits};
use wheelfield_gossip::{
    EvictionPolicy, MemberState, MemberStatus, MembershipChange, MembershipConfig, MembershipEvent, Node,
    Packet, View, ViewTag,
};
use wheelfield_sans_io::TimerKey;

/// Maximum overhead of a message in a datagram. The rate limits apply to bytes on the network.
const MESSAGE_OVERHEAD_BYTES: usize = MAX_DATAGRAM_BYTES - MAX_MESSAGE_BYTES;

/// The gossip node of a controller.
pub(crate) struct Gossip {
    own_address: SocketAddr,
    node: Node,
    keys: Keys,
    authenticator: Authenticator,
    verifier: Verifier,
    timer: Option<TimerKey>,
    reported: (u32, u32),
    /// Whether more than half of the counted controllers responded at the last check.
    quorum: bool,
    probe_interval: i64,
    /// Datagrams that failed authentication or verification.
    datagrams_rejected: u64,
    /// Packets that did not fit in a datagram.
    packets_oversized: u64,
    message_limiter: Option<MessageLimiter>,
    /// Load report messages that were accepted, and that were not.
    messages_accepted: u64,
    messages_rejected: u64,
    fault: Option<FaultInjection>,
}

impl Gossip {
    /// `own_address` is where other controllers reach this one; `now` is the time of its start, which is
    /// its incarnation.
    pub fn new(
        config: &Config,
        own_address: SocketAddr,
        keys: Keys,
        seed: u64,
        now: i64,
        fault: Option<FaultInjection>,
    ) -> Option<Gossip> {
        let gossip = config.gossip.as_ref()?;
        let (count, index) = (config.settings.gateway_count as u32, config.settings.gateway_index as u32);
        let membership_config = MembershipConfig {
            probe_period: gossip.probe_interval.0,
            probe_timeout: gossip.probe_interval.0 * 3 / 10,
            eviction: if gossip.quorum_evicts { EvictionPolicy::Quorum } else { EvictionPolicy::Operator },
            dead_retention: gossip.evict_after.0,
            settling_time: gossip.startup_grace.0,
            sync_interval: gossip.probe_interval.0.saturating_mul(15),
            expected_members: count as usize,
            ..MembershipConfig::default()
        };
        Some(Gossip {
            own_address,
            node: Node::new(own_address, now as u64, gossip.seeds.clone(), membership_config, seed, now),
            keys,
            authenticator: Authenticator::new(own_address, now as u64),
            verifier: Verifier::default(),
            timer: None,
            reported: (count, index),
            quorum: true,
            probe_interval: gossip.probe_interval.0,
            datagrams_rejected: 0,
            packets_oversized: 0,
            message_limiter: gossip.message_limits.map(|limits| {
                let rates = RateLimits {
                    per_member: limits.bytes_per_second_per_peer,
                    total: limits.total_bytes_per_second,
                };
                MessageLimiter::new(rates, now)
            }),
            messages_accepted: 0,
            messages_rejected: 0,
            fault,
        })
    }

    fn send(&mut self, packets: Vec<(SocketAddr, Packet)>, out: &mut EffectQueue) {
        for (to, packet) in packets {
            match self.authenticator.authenticate(&packet, &self.keys) {
                Some(datagram) => out.push(Effect::Send(DatagramSocket::Gossip, to, datagram)),
                None => self.packets_oversized += 1,
            }
        }
    }

    /// Logs membership changes with the member that reported them, so that a wrong report can be traced to
    /// its origin.
    fn log_membership_events(&mut self) {
        for MembershipEvent { member, change, source: by } in self.node.take_events() {
            match change {
                MembershipChange::Joined => debug!(%member, %by, "member: joined"),
                MembershipChange::Suspected => debug!(%member, %by, "member: suspected"),
                MembershipChange::Refuted => debug!(%member, %by, "member: denied"),
                MembershipChange::DeclaredDead => info!(%member, %by, "member: given up"),
                MembershipChange::Rejoined => info!(%member, %by, "member: back"),
                MembershipChange::Left => info!(%member, %by, "member: left"),
                MembershipChange::Evicted => info!(%member, %by, "member: evicted by a quorum"),
                // A single occurrence means that the clock was set back.
                MembershipChange::Superseded if self.node.counters().superseded > 1 => {
                    warn!(%member, %by, "another process uses this controller's address; stop one of them");
                }
                MembershipChange::Superseded => {
                    info!(%member, %by, "a later incarnation of this controller's address was seen")
                }
            }
        }
    }

    /// Runs the due protocol steps and sets the timer for the next ones.
    pub fn tick(&mut self, out: &mut EffectQueue) {
        let mut packets = Vec::new();
        if self.node.next_tick_at() <= out.now {
            self.node.tick(out.now, &mut packets);
        }
        self.log_membership_events();
        if let Some(limiter) = &mut self.message_limiter {
            let node = &self.node;
            limiter.retain_members(|member| node.is_counted(member));
        }
        self.send(packets, out);
        let delay = (self.node.next_tick_at() - out.now).max(1_000);
        out.reset_timer(&mut self.timer, delay, TimerEvent::Gossip);
    }

    /// Sends load reports to all live members, as far as the rate limits permit.
    pub fn send_reports(&mut self, reports: &[PeerLoadReport], out: &mut EffectQueue) {
        let Some(limiter) = &mut self.message_limiter else { return };
        // A member that has never sent a view tag runs a version that does not understand load reports.
        let understands_reports =
            |member: &MemberStatus| member.record.state == MemberState::Alive && member.view_tag.is_some();
        let members: Vec<SocketAddr> = self
            .node
            .member_statuses(out.now)
            .filter(understands_reports)
            .map(|member| member.record.member)
            .collect();
        for (_, payload) in encode_reports(reports, MAX_MESSAGE_BYTES) {
            let recipients =
                limiter.select_recipients(out.now, payload.len() + MESSAGE_OVERHEAD_BYTES, &members);
            if recipients.is_empty() {
                continue;
            }
            // All recipients get the same datagram, since each one tracks its sequence number separately.
            let Some(datagram) = self.authenticator.authenticate_message(&payload, &self.keys) else {
                continue;
            };
            recipients
                .into_iter()
                .for_each(|to| out.push(Effect::Send(DatagramSocket::Gossip, to, datagram.clone())));
        }
    }

    /// Handles a load report message. Returns its reports if it is accepted.
    fn receive_message(
        &mut self,
        from: SocketAddr,
        datagram: &[u8],
        out: &mut EffectQueue,
    ) -> Option<Vec<PeerLoadReport>> {
        match self.verifier.verify_message(from, datagram, &self.keys) {
            Ok(VerifiedMessage { id, payload }) => {
                let is_counted = self.node.is_counted(&from);
                let limiter = self.message_limiter.as_mut().filter(|_| is_counted);
                let accepted =
                    limiter.is_some_and(|limiter| limiter.accept(out.now, from, id, datagram.len()).is_ok());
                let reports = accepted.then(|| decode_reports(payload)).flatten();
                *(if reports.is_some() {
                    &mut self.messages_accepted
                } else {
                    &mut self.messages_rejected
                }) += 1;
                reports
            }
            Err(why) => {
                self.reject_datagram(from, why, out);
                None
            }
        }
    }

    fn reject_datagram(&mut self, from: SocketAddr, why: VerificationError, out: &mut EffectQueue) {
        self.datagrams_rejected += 1;
        debug!(%from, %why, "gossip datagram rejected");
        // The datagram was authentic, and one reply to each such datagram cannot amplify traffic.
        if let VerificationError::StaleIncarnation(start) = why {
            let packet = self.node.incarnation_notice(from, start);
            self.send(vec![(from, packet)], out);
        }
    }

    /// Handles a datagram. Returns the load reports if it contains any.
    pub fn receive(
        &mut self,
        from: SocketAddr,
        datagram: &[u8],
        out: &mut EffectQueue,
    ) -> Option<Vec<PeerLoadReport>> {
        if is_message(datagram) {
            return self.receive_message(from, datagram, out);
        }
        match self.verifier.verify(from, datagram, &self.keys) {
            Ok(mut packet) => {
                if self.fault == Some(FaultInjection::TreatDeadAsLeft) {
                    let dead = packet.records.iter_mut().filter(|record| record.state == MemberState::Dead);
                    dead.for_each(|record| record.state = MemberState::Left);
                }
                let mut packets = Vec::new();
                self.node.receive(out.now, from, &packet, &mut packets);
                self.log_membership_events();
                self.authenticator.advance_incarnation(self.node.incarnation());
                self.send(packets, out);
            }
            Err(why) => self.reject_datagram(from, why, out),
        }
        None
    }

    /// Handles that the key file was read.
    pub fn update_keys(&mut self, keys: Result<Keys, String>) {
        match keys {
            Ok(keys) => {
                info!("gossip keys replaced");
                self.keys = keys;
            }
            Err(fault) => warn!(fault, "the gossip keys cannot be read; keeping the current keys"),
        }
    }

    fn view(&self) -> View {
        let view = self.node.view();
        match self.fault {
            Some(FaultInjection::CountAliveOnly) => View { count: view.alive, ..view },
            Some(FaultInjection::DuplicateIndex) => View { index: view.index.saturating_sub(1), ..view },
            _ => view,
        }
    }

    /// The number of controllers and the index of this one, if they differ from what was last reported to
    /// the driver.
    pub fn take_view_change(&mut self) -> Option<(u32, u32)> {
        let View { count, index, alive, is_settled: settled, has_quorum: quorum, tag } = self.view();
        if quorum != std::mem::replace(&mut self.quorum, quorum) {
            match quorum {
                true => info!(count, alive, "more than half of the controllers respond again"),
                false => warn!(
                    count,
                    alive, "half of the controllers or more do not respond; they still count as members"
                ),
            }
        }
        let current = (count as u32, index as u32);
        if current == self.reported {
            return None;
        }
        self.reported = current;
        info!(count, index, alive, settled, quorum, view = tag.version, "controllers");
        Some(current)
    }

    /// Announces that this controller leaves, so that the others need not detect it.
    pub fn leave(&mut self, out: &mut EffectQueue) {
        let mut packets = Vec::new();
        self.node.leave(&mut packets);
        self.send(packets, out);
    }

    /// This controller, its membership view and the state of all members. Times are in milliseconds.
    pub fn status(&self, now: i64) -> Value {
        let View { count, index, alive, is_settled: settled, has_quorum: quorum, tag } = self.view();
        let digest = |tag: ViewTag| format!("{:016x}", tag.digest);
        let members: Vec<Value> = self
            .node
            .member_statuses(now)
            .map(|member| {
                json!({
                    "member": member.record.member.to_string(),
                    "standing": state_name(member.record.state),
                    "counts": member.is_counted,
                    "start": member.record.incarnation,
                    "denials": member.record.refutations,
                    "since_ms": member.record.state_age_ms,
                    "silent_ms": member.last_heard_at.map(|at| (now - at) / 1_000),
                    "digest": member.view_tag.map(digest),
                })
            })
            .collect();
        json!({
            "own": self.own_address.to_string(), "start": self.node.incarnation(),
            "period_ms": self.probe_interval / 1_000,
            "count": count, "index": index, "alive": alive, "settled": settled, "quorum": quorum,
            "number": tag.version, "digest": digest(tag), "apart_ms": self.node.diverged_for(now) / 1_000,
            "members": members,
        })
    }

    /// The metrics of the gossip protocol.
    pub fn metrics(&self, now: i64) -> [Metric; 21] {
        let (view, counters) = (self.view(), self.node.counters());
        [
            ("gossip_count", "Controllers acted on.", view.count as u64),
            ("gossip_index", "This one's number among them.", view.index as u64),
            ("gossip_alive", "Controllers that answer, with this one.", view.alive as u64),
            ("gossip_settled", "1 once it has listened and nothing is in doubt.", u64::from(view.is_settled)),
            ("gossip_quorum", "1 while more than half of all that count answer.", u64::from(view.has_quorum)),
            ("gossip_view", "Number of the view; it rises when others count than before.", view.tag.version),
            (
                "gossip_apart_ms",
                "For how long all that is heard tells of other views.",
                (self.node.diverged_for(now) / 1_000) as u64,
            ),
            ("gossip_suspected", "Suspicions of its own.", counters.suspicions),
            ("gossip_denied", "Suspicions, of whomever, that were denied.", counters.refutations),
            ("gossip_given_up", "Members given up.", counters.declared_dead),
            ("gossip_forgotten", "Members that a quorum went on without.", counters.evicted),
            (
                "gossip_overtaken",
                "Times that a later process of its own address was heard of.",
                counters.superseded,
            ),
            ("gossip_deaf", "Times that nobody was heard for three periods.", counters.isolations),
            ("gossip_vouched", "Suspects that were heard, and denied for.", counters.proxy_refutations),
            (
                "gossip_unbelieved",
                "Words of a death or goodbye that own ears disprove.",
                counters.uncorroborated,
            ),
            ("words_heard", "Datagrams of words of others that were taken.", self.messages_accepted),
            ("gossip_crowded", "Members not taken, as there were too many.", counters.rejected_at_capacity),
            (
                "gossip_dropped",
                "Datagrams that did not open: another key, a stranger, old ones.",
                self.datagrams_rejected,
            ),
            (
                "words_unsent",
                "Datagrams of words that a ceiling held back.",
                self.message_limiter.as_ref().map_or(0, |limiter| limiter.suppressed),
            ),
            (
                "words_untaken",
                "Datagrams of words that were old, too many, or no member's.",
                self.messages_rejected,
            ),
            ("gossip_unsent", "Packets that were too long for a datagram.", self.packets_oversized),
        ]
    }
}

fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Dead => "gone",
        MemberState::Left => "left",
    }
}
