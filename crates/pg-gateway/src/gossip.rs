//! Which controllers there are: sealed datagrams in and out, keys that change, and the number for the module.

use crate::effect_queue::{DatagramSocket, Effect, EffectQueue};
use crate::fault_injection::FaultInjection;
use crate::metrics::Figure;
use crate::peers::{read, written};
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

/// Bytes that stand about words in a datagram, at most: ceilings are of what crosses the network.
const ABOUT_WORDS: usize = MAX_DATAGRAM_BYTES - MAX_MESSAGE_BYTES;

/// The gossip of a controller.
pub(crate) struct Gossip {
    own: SocketAddr,
    node: Node,
    keys: Keys,
    authenticator: Authenticator,
    verifier: Verifier,
    timer: Option<TimerKey>,
    told: (u32, u32),
    /// More than half of those that count answered, when it was last looked.
    quorum: bool,
    period: i64,
    /// Datagrams that did not open.
    dropped: u64,
    /// Packets that were too long for a datagram.
    unsent: u64,
    words: Option<MessageLimiter>,
    /// Datagrams of words that were taken, and that were not.
    heard: u64,
    untaken: u64,
    plant: Option<FaultInjection>,
}

impl Gossip {
    /// `own` is where this one is reached; `now` the time of its start.
    pub fn new(
        config: &Config,
        own: SocketAddr,
        keys: Keys,
        seed: u64,
        now: i64,
        plant: Option<FaultInjection>,
    ) -> Option<Gossip> {
        let g = config.gossip.as_ref()?;
        let (count, index) = (config.settings.gateway_count as u32, config.settings.gateway_index as u32);
        let limits = MembershipConfig {
            probe_period: g.probe_interval.0,
            probe_timeout: g.probe_interval.0 * 3 / 10,
            eviction: if g.quorum_evicts { EvictionPolicy::Quorum } else { EvictionPolicy::Operator },
            dead_retention: g.evict_after.0,
            settling_time: g.startup_grace.0,
            sync_interval: g.probe_interval.0.saturating_mul(15),
            expected_members: count as usize,
            ..MembershipConfig::default()
        };
        Some(Gossip {
            own,
            node: Node::new(own, now as u64, g.seeds.clone(), limits, seed, now),
            keys,
            authenticator: Authenticator::new(own, now as u64),
            verifier: Verifier::default(),
            timer: None,
            told: (count, index),
            quorum: true,
            period: g.probe_interval.0,
            dropped: 0,
            unsent: 0,
            words: g.message_limits.map(|limits| {
                let rates = RateLimits {
                    per_member: limits.bytes_per_second_per_peer,
                    total: limits.total_bytes_per_second,
                };
                MessageLimiter::new(rates, now)
            }),
            heard: 0,
            untaken: 0,
            plant,
        })
    }

    fn send(&mut self, packets: Vec<(SocketAddr, Packet)>, out: &mut EffectQueue) {
        for (to, packet) in packets {
            match self.authenticator.authenticate(&packet, &self.keys) {
                Some(datagram) => out.push(Effect::Send(DatagramSocket::Gossip, to, datagram)),
                None => self.unsent += 1,
            }
        }
    }

    /// Logs what became of members: on whose word, so that a wrong one can be followed to where it began.
    fn log_news(&mut self) {
        for MembershipEvent { member, change, source: by } in self.node.take_events() {
            match change {
                MembershipChange::Joined => debug!(%member, %by, "member: new"),
                MembershipChange::Suspected => debug!(%member, %by, "member: suspected"),
                MembershipChange::Refuted => debug!(%member, %by, "member: denied"),
                MembershipChange::DeclaredDead => info!(%member, %by, "member: given up"),
                MembershipChange::Rejoined => info!(%member, %by, "member: back"),
                MembershipChange::Left => info!(%member, %by, "member: left"),
                MembershipChange::Evicted => info!(%member, %by, "member: forgotten by a quorum"),
                // Once is a clock that was set back.
                MembershipChange::Superseded if self.node.counters().superseded > 1 => {
                    warn!(%member, %by, "another process runs under this one's address; end one of them");
                }
                MembershipChange::Superseded => {
                    info!(%member, %by, "a process of this address had a later start")
                }
            }
        }
    }

    /// Does what is due, and asks to be woken for the next.
    pub fn tend(&mut self, out: &mut EffectQueue) {
        let mut packets = Vec::new();
        if self.node.next_tick_at() <= out.now {
            self.node.tick(out.now, &mut packets);
        }
        self.log_news();
        if let Some(words) = &mut self.words {
            let node = &self.node;
            words.retain_members(|m| node.is_counted(m));
        }
        self.send(packets, out);
        let after = (self.node.next_tick_at() - out.now).max(1_000);
        out.reset_timer(&mut self.timer, after, TimerEvent::Gossip);
    }

    /// Tells words to all that answer, as far as the ceilings allow.
    pub fn tell(&mut self, told: &[PeerLoadReport], out: &mut EffectQueue) {
        let Some(words) = &mut self.words else { return };
        // Who never told of its view is of a build that reads no words.
        let reads = |a: &MemberStatus| a.record.state == MemberState::Alive && a.view_tag.is_some();
        let members: Vec<SocketAddr> =
            self.node.member_statuses(out.now).filter(reads).map(|a| a.record.member).collect();
        for (_, part) in written(told, MAX_MESSAGE_BYTES) {
            let whom = words.select_recipients(out.now, part.len() + ABOUT_WORDS, &members);
            if whom.is_empty() {
                continue;
            }
            // One number for all: each hears it once.
            let Some(datagram) = self.authenticator.authenticate_message(&part, &self.keys) else { continue };
            whom.into_iter()
                .for_each(|to| out.push(Effect::Send(DatagramSocket::Gossip, to, datagram.clone())));
        }
    }

    /// Words came: what they tell, if they are taken.
    fn listen(
        &mut self,
        from: SocketAddr,
        datagram: &[u8],
        out: &mut EffectQueue,
    ) -> Option<Vec<PeerLoadReport>> {
        match self.verifier.verify_message(from, datagram, &self.keys) {
            Ok(VerifiedMessage { id, payload: part }) => {
                let known = self.node.is_counted(&from);
                let words = self.words.as_mut().filter(|_| known);
                let taken = words.is_some_and(|w| w.accept(out.now, from, id, datagram.len()).is_ok());
                let told = taken.then(|| read(part)).flatten();
                *(if told.is_some() { &mut self.heard } else { &mut self.untaken }) += 1;
                told
            }
            Err(why) => {
                self.dropped(from, why, out);
                None
            }
        }
    }

    fn dropped(&mut self, from: SocketAddr, why: VerificationError, out: &mut EffectQueue) {
        self.dropped += 1;
        debug!(%from, %why, "gossip dropped");
        // Its seal was good: one answer for one datagram is no flood.
        if let VerificationError::StaleIncarnation(start) = why {
            let packet = self.node.incarnation_notice(from, start);
            self.send(vec![(from, packet)], out);
        }
    }

    /// A datagram came; words of others, if it was that.
    pub fn hear(
        &mut self,
        from: SocketAddr,
        datagram: &[u8],
        out: &mut EffectQueue,
    ) -> Option<Vec<PeerLoadReport>> {
        if is_message(datagram) {
            return self.listen(from, datagram, out);
        }
        match self.verifier.verify(from, datagram, &self.keys) {
            Ok(mut packet) => {
                if self.plant == Some(FaultInjection::Goodbye) {
                    let gone = packet.records.iter_mut().filter(|r| r.state == MemberState::Dead);
                    gone.for_each(|r| r.state = MemberState::Left);
                }
                let mut packets = Vec::new();
                self.node.receive(out.now, from, &packet, &mut packets);
                self.log_news();
                self.authenticator.advance_incarnation(self.node.incarnation());
                self.send(packets, out);
            }
            Err(why) => self.dropped(from, why, out),
        }
        None
    }

    /// The file of the keys was read.
    pub fn keys(&mut self, news: Result<Keys, String>) {
        match news {
            Ok(keys) => {
                info!("new keys for the gossip");
                self.keys = keys;
            }
            Err(fault) => warn!(fault, "the keys can't be read; those at hand stay"),
        }
    }

    fn view(&self) -> View {
        let view = self.node.view();
        match self.plant {
            Some(FaultInjection::Sink) => View { count: view.alive, ..view },
            Some(FaultInjection::Number) => View { index: view.index.saturating_sub(1), ..view },
            _ => view,
        }
    }

    /// The number of controllers and which of them this is, if the module was told otherwise.
    pub fn news(&mut self) -> Option<(u32, u32)> {
        let View { count, index, alive, is_settled: settled, has_quorum: quorum, tag } = self.view();
        if quorum != std::mem::replace(&mut self.quorum, quorum) {
            match quorum {
                true => info!(count, alive, "more than half of the controllers answer again"),
                false => warn!(count, alive, "half of the controllers or more are silent; they count on"),
            }
        }
        let fresh = (count as u32, index as u32);
        if fresh == self.told {
            return None;
        }
        self.told = fresh;
        info!(count, index, alive, settled, quorum, view = tag.version, "controllers");
        Some(fresh)
    }

    /// Says goodbye, so that nobody waits for this one.
    pub fn leave(&mut self, out: &mut EffectQueue) {
        let mut packets = Vec::new();
        self.node.leave(&mut packets);
        self.send(packets, out);
    }

    /// Who this one is, of whom its view consists, and how all others stand with it; times in milliseconds.
    pub fn status(&self, now: i64) -> Value {
        let View { count, index, alive, is_settled: settled, has_quorum: quorum, tag } = self.view();
        let digest = |tag: ViewTag| format!("{:016x}", tag.digest);
        let members: Vec<Value> = self
            .node
            .member_statuses(now)
            .map(|a| {
                json!({
                    "member": a.record.member.to_string(), "standing": word(a.record.state), "counts": a.is_counted,
                    "start": a.record.incarnation, "denials": a.record.refutations, "since_ms": a.record.state_age_ms,
                    "silent_ms": a.last_heard_at.map(|at| (now - at) / 1_000), "digest": a.view_tag.map(digest),
                })
            })
            .collect();
        json!({
            "own": self.own.to_string(), "start": self.node.incarnation(), "period_ms": self.period / 1_000,
            "count": count, "index": index, "alive": alive, "settled": settled, "quorum": quorum,
            "number": tag.version, "digest": digest(tag), "apart_ms": self.node.diverged_for(now) / 1_000,
            "members": members,
        })
    }

    /// Figures, with what they mean.
    pub fn figures(&self, now: i64) -> [Figure; 21] {
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
            ("words_heard", "Datagrams of words of others that were taken.", self.heard),
            ("gossip_crowded", "Members not taken, as there were too many.", counters.rejected_at_capacity),
            (
                "gossip_dropped",
                "Datagrams that did not open: another key, a stranger, old ones.",
                self.dropped,
            ),
            (
                "words_unsent",
                "Datagrams of words that a ceiling held back.",
                self.words.as_ref().map_or(0, |w| w.suppressed),
            ),
            ("words_untaken", "Datagrams of words that were old, too many, or no member's.", self.untaken),
            ("gossip_unsent", "Packets that were too long for a datagram.", self.unsent),
        ]
    }
}

fn word(standing: MemberState) -> &'static str {
    match standing {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Dead => "gone",
        MemberState::Left => "left",
    }
}
