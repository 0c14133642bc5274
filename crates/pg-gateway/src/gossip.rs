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
use wheelfield_gossip::seal::{is_words, Dropped, Keys, Opener, Sealer, LONGEST, LONGEST_WORDS};
use wheelfield_gossip::words::{Ceilings, Words};
use wheelfield_gossip::{Acquaintance, Change, Forget, Limits, News, Node, Packet, Standing, Tag, View};
use wheelfield_sans_io::TimerKey;

/// Bytes that stand about words in a datagram, at most: ceilings are of what crosses the network.
const ABOUT_WORDS: usize = LONGEST - LONGEST_WORDS;

/// The gossip of a controller.
pub(crate) struct Gossip {
    own: SocketAddr,
    node: Node,
    keys: Keys,
    sealer: Sealer,
    opener: Opener,
    timer: Option<TimerKey>,
    told: (u32, u32),
    /// More than half of those that count answered, when it was last looked.
    quorum: bool,
    period: i64,
    /// Datagrams that did not open.
    dropped: u64,
    /// Packets that were too long for a datagram.
    unsent: u64,
    words: Option<Words>,
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
        let limits = Limits {
            period: g.probe_interval.0,
            answer: g.probe_interval.0 * 3 / 10,
            forget: if g.quorum_evicts { Forget::Quorum } else { Forget::Operator },
            hold: g.evict_after.0,
            settle: g.startup_grace.0,
            fetch: g.probe_interval.0.saturating_mul(15),
            expect: count as usize,
            ..Limits::default()
        };
        Some(Gossip {
            own,
            node: Node::new(own, now as u64, g.seeds.clone(), limits, seed, now),
            keys,
            sealer: Sealer::new(own, now as u64),
            opener: Opener::default(),
            timer: None,
            told: (count, index),
            quorum: true,
            period: g.probe_interval.0,
            dropped: 0,
            unsent: 0,
            words: g.message_limits.map(|w| {
                Words::new(Ceilings { each: w.bytes_per_second_to_each, all: w.bytes_per_second_to_all }, now)
            }),
            heard: 0,
            untaken: 0,
            plant,
        })
    }

    fn send(&mut self, packets: Vec<(SocketAddr, Packet)>, out: &mut EffectQueue) {
        for (to, packet) in packets {
            match self.sealer.seal(&packet, &self.keys) {
                Some(datagram) => out.push(Effect::Send(DatagramSocket::Gossip, to, datagram)),
                None => self.unsent += 1,
            }
        }
    }

    /// Logs what became of members: on whose word, so that a wrong one can be followed to where it began.
    fn log_news(&mut self) {
        for News { member, change, by } in self.node.news() {
            match change {
                Change::New => debug!(%member, %by, "member: new"),
                Change::Suspected => debug!(%member, %by, "member: suspected"),
                Change::Denied => debug!(%member, %by, "member: denied"),
                Change::GivenUp => info!(%member, %by, "member: given up"),
                Change::Back => info!(%member, %by, "member: back"),
                Change::Left => info!(%member, %by, "member: left"),
                Change::Forgotten => info!(%member, %by, "member: forgotten by a quorum"),
                // Once is a clock that was set back.
                Change::Overtaken if self.node.counts().overtaken > 1 => {
                    warn!(%member, %by, "another process runs under this one's address; end one of them");
                }
                Change::Overtaken => info!(%member, %by, "a process of this address had a later start"),
            }
        }
    }

    /// Does what is due, and asks to be woken for the next.
    pub fn tend(&mut self, out: &mut EffectQueue) {
        let mut packets = Vec::new();
        if self.node.next() <= out.now {
            self.node.tick(out.now, &mut packets);
        }
        self.log_news();
        if let Some(words) = &mut self.words {
            let node = &self.node;
            words.keep(|m| node.knows(m));
        }
        self.send(packets, out);
        let after = (self.node.next() - out.now).max(1_000);
        out.reset_timer(&mut self.timer, after, TimerEvent::Gossip);
    }

    /// Tells words to all that answer, as far as the ceilings allow.
    pub fn tell(&mut self, told: &[PeerLoadReport], out: &mut EffectQueue) {
        let Some(words) = &mut self.words else { return };
        // Who never told of its view is of a build that reads no words.
        let reads = |a: &Acquaintance| a.record.standing == Standing::Alive && a.tag.is_some();
        let members: Vec<SocketAddr> =
            self.node.acquaintances(out.now).filter(reads).map(|a| a.record.member).collect();
        for (_, part) in written(told, LONGEST_WORDS) {
            let whom = words.whom(out.now, part.len() + ABOUT_WORDS, &members);
            if whom.is_empty() {
                continue;
            }
            // One number for all: each hears it once.
            let Some(datagram) = self.sealer.seal_words(&part, &self.keys) else { continue };
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
        match self.opener.open_words(from, datagram, &self.keys) {
            Ok((start, sequence, part)) => {
                let known = self.node.knows(&from);
                let words = self.words.as_mut().filter(|_| known);
                let taken =
                    words.is_some_and(|w| w.take(out.now, from, (start, sequence), datagram.len()).is_ok());
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

    fn dropped(&mut self, from: SocketAddr, why: Dropped, out: &mut EffectQueue) {
        self.dropped += 1;
        debug!(%from, %why, "gossip dropped");
        // Its seal was good: one answer for one datagram is no flood.
        if let Dropped::Before(start) = why {
            let packet = self.node.tell_start(from, start);
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
        if is_words(datagram) {
            return self.listen(from, datagram, out);
        }
        match self.opener.open(from, datagram, &self.keys) {
            Ok(mut packet) => {
                if self.plant == Some(FaultInjection::Goodbye) {
                    let gone = packet.riders.iter_mut().filter(|r| r.standing == Standing::Gone);
                    gone.for_each(|r| r.standing = Standing::Left);
                }
                let mut packets = Vec::new();
                self.node.receive(out.now, from, &packet, &mut packets);
                self.log_news();
                self.sealer.start_at(self.node.start());
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
        let View { count, index, alive, settled, quorum, tag } = self.view();
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
        info!(count, index, alive, settled, quorum, view = tag.number, "controllers");
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
        let View { count, index, alive, settled, quorum, tag } = self.view();
        let digest = |tag: Tag| format!("{:016x}", tag.digest);
        let members: Vec<Value> = self
            .node
            .acquaintances(now)
            .map(|a| {
                json!({
                    "member": a.record.member.to_string(), "standing": word(a.record.standing), "counts": a.counts,
                    "start": a.record.start, "denials": a.record.denials, "since_ms": a.record.since_ms,
                    "silent_ms": a.spoke.map(|at| (now - at) / 1_000), "digest": a.tag.map(digest),
                })
            })
            .collect();
        json!({
            "own": self.own.to_string(), "start": self.node.start(), "period_ms": self.period / 1_000,
            "count": count, "index": index, "alive": alive, "settled": settled, "quorum": quorum,
            "number": tag.number, "digest": digest(tag), "apart_ms": self.node.apart(now) / 1_000,
            "members": members,
        })
    }

    /// Figures, with what they mean.
    pub fn figures(&self, now: i64) -> [Figure; 21] {
        let (view, counts) = (self.view(), self.node.counts());
        [
            ("gossip_count", "Controllers acted on.", view.count as u64),
            ("gossip_index", "This one's number among them.", view.index as u64),
            ("gossip_alive", "Controllers that answer, with this one.", view.alive as u64),
            ("gossip_settled", "1 once it has listened and nothing is in doubt.", u64::from(view.settled)),
            ("gossip_quorum", "1 while more than half of all that count answer.", u64::from(view.quorum)),
            ("gossip_view", "Number of the view; it rises when others count than before.", view.tag.number),
            (
                "gossip_apart_ms",
                "For how long all that is heard tells of other views.",
                (self.node.apart(now) / 1_000) as u64,
            ),
            ("gossip_suspected", "Suspicions of its own.", counts.suspected),
            ("gossip_denied", "Suspicions, of whomever, that were denied.", counts.denied),
            ("gossip_given_up", "Members given up.", counts.given_up),
            ("gossip_forgotten", "Members that a quorum went on without.", counts.forgotten),
            (
                "gossip_overtaken",
                "Times that a later process of its own address was heard of.",
                counts.overtaken,
            ),
            ("gossip_deaf", "Times that nobody was heard for three periods.", counts.deaf),
            ("gossip_vouched", "Suspects that were heard, and denied for.", counts.vouched),
            ("gossip_unbelieved", "Words of a death or goodbye that own ears disprove.", counts.unbelieved),
            ("words_heard", "Datagrams of words of others that were taken.", self.heard),
            ("gossip_crowded", "Members not taken, as there were too many.", counts.crowded),
            (
                "gossip_dropped",
                "Datagrams that did not open: another key, a stranger, old ones.",
                self.dropped,
            ),
            (
                "words_unsent",
                "Datagrams of words that a ceiling held back.",
                self.words.as_ref().map_or(0, |w| w.unsent),
            ),
            ("words_untaken", "Datagrams of words that were old, too many, or no member's.", self.untaken),
            ("gossip_unsent", "Packets that were too long for a datagram.", self.unsent),
        ]
    }
}

fn word(standing: Standing) -> &'static str {
    match standing {
        Standing::Alive => "alive",
        Standing::Suspect => "suspect",
        Standing::Gone => "gone",
        Standing::Left => "left",
    }
}
