//! Which controllers there are: sealed datagrams in and out, keys that change, and the number for the module.

use crate::out::{Effect, Out, Port};
use crate::plant::Plant;
use crate::wake::Wake;
use std::net::SocketAddr;
use tracing::{debug, info, warn};
use wheelfield_config::Config;
use wheelfield_gossip::seal::{Dropped, Keys, Opener, Sealer};
use wheelfield_gossip::{Change, Limits, News, Node, Packet, Standing, View};
use wheelfield_parts::TimerKey;

/// The gossip of a controller.
pub(crate) struct Gossip {
    node: Node,
    keys: Keys,
    sealer: Sealer,
    opener: Opener,
    timer: Option<TimerKey>,
    told: (u32, u32),
    /// Datagrams that did not open.
    dropped: u64,
    /// Packets that were too long for a datagram.
    unsent: u64,
    plant: Option<Plant>,
}

impl Gossip {
    /// `own` is where this one is reached; `now` the time of its start.
    pub fn new(
        config: &Config,
        own: SocketAddr,
        keys: Keys,
        seed: u64,
        now: i64,
        plant: Option<Plant>,
    ) -> Option<Gossip> {
        let g = config.gossip.as_ref()?;
        let (count, index) = (config.settings.gateways as u32, config.settings.index as u32);
        let limits = Limits {
            period: g.period.0,
            answer: g.period.0 * 3 / 10,
            hold: if plant == Some(Plant::Sink) { 0 } else { g.hold.0 },
            settle: g.settle.0,
            fetch: g.period.0.saturating_mul(15),
            expect: count as usize,
            ..Limits::default()
        };
        Some(Gossip {
            node: Node::new(own, now as u64, g.seeds.clone(), limits, seed, now),
            keys,
            sealer: Sealer::new(own, now as u64),
            opener: Opener::default(),
            timer: None,
            told: (count, index),
            dropped: 0,
            unsent: 0,
            plant,
        })
    }

    fn send(&mut self, packets: Vec<(SocketAddr, Packet)>, out: &mut Out) {
        for (to, packet) in packets {
            match self.sealer.seal(&packet, &self.keys) {
                Some(datagram) => out.push(Effect::Send(Port::Gossip, to, datagram)),
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
            }
        }
    }

    /// Does what is due, and asks to be woken for the next.
    pub fn tend(&mut self, out: &mut Out) {
        let mut packets = Vec::new();
        if self.node.next() <= out.now {
            self.node.tick(out.now, &mut packets);
        }
        self.log_news();
        self.send(packets, out);
        let after = (self.node.next() - out.now).max(1_000);
        out.instead(&mut self.timer, after, Wake::Gossip);
    }

    /// A datagram came.
    pub fn hear(&mut self, from: SocketAddr, datagram: &[u8], out: &mut Out) {
        match self.opener.open(from, datagram, &self.keys) {
            Ok(mut packet) => {
                if self.plant == Some(Plant::Goodbye) {
                    let gone = packet.riders.iter_mut().filter(|r| r.standing == Standing::Gone);
                    gone.for_each(|r| r.standing = Standing::Left);
                }
                let mut packets = Vec::new();
                self.node.receive(out.now, from, &packet, &mut packets);
                self.log_news();
                self.sealer.start_at(self.node.start());
                self.send(packets, out);
            }
            Err(why) => {
                self.dropped += 1;
                debug!(%from, %why, "gossip dropped");
                // Its seal was good: one answer for one datagram is no flood.
                if let Dropped::Before(start) = why {
                    let packet = self.node.tell_start(from, start);
                    self.send(vec![(from, packet)], out);
                }
            }
        }
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

    /// The number of controllers and which of them this is, if the module was told otherwise.
    pub fn news(&mut self, now: i64) -> Option<(u32, u32)> {
        let View { count, index, alive, settled } = self.node.view(now);
        let fresh = (count as u32, index as u32);
        if fresh == self.told {
            return None;
        }
        self.told = fresh;
        info!(count, index, alive, settled, "controllers");
        Some(fresh)
    }

    /// Says goodbye, so that nobody waits for this one.
    pub fn leave(&mut self, out: &mut Out) {
        let mut packets = Vec::new();
        self.node.leave(&mut packets);
        self.send(packets, out);
    }

    /// Figures.
    pub fn figures(&self, now: i64) -> [(&'static str, u64); 12] {
        let (view, counts) = (self.node.view(now), self.node.counts());
        [
            ("gossip_count", view.count as u64),
            ("gossip_index", view.index as u64),
            ("gossip_alive", view.alive as u64),
            ("gossip_settled", u64::from(view.settled)),
            ("gossip_suspected", counts.suspected),
            ("gossip_denied", counts.denied),
            ("gossip_given_up", counts.given_up),
            ("gossip_deaf", counts.deaf),
            ("gossip_vouched", counts.vouched),
            ("gossip_unbelieved", counts.unbelieved),
            ("gossip_dropped", self.dropped),
            ("gossip_unsent", self.unsent),
        ]
    }
}
