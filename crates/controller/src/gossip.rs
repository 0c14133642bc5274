//! The socket of the gossip: sealed datagrams in and out, keys that change, and the number of controllers to the module.

use crate::app::{App, Wake, GOSSIP};
use anyhow::{anyhow, Context, Result};
use mio::net::UdpSocket;
use mio::Registry;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, sync_channel, Receiver, RecvTimeoutError, Sender, SyncSender};
use std::time::Duration;
use tracing::{debug, info, warn};
use wheelfield_config::Config;
use wheelfield_driver::Input;
use wheelfield_gossip::seal::{Dropped, Keys, Opener, Sealer, LONGEST};
use wheelfield_gossip::{Limits, Node, Packet, View};
use wheelfield_net::{datagrams, TimerKey};

/// Datagrams read in one turn.
const HEARD: usize = 512;
/// The file of keys is read so often.
const KEYS_EVERY: Duration = Duration::from_secs(5);
/// Bytes of that file at most.
const LONGEST_KEYS: u64 = 64 << 10;

pub(crate) struct Gossip {
    socket: UdpSocket,
    node: Node,
    keys: Keys,
    sealer: Sealer,
    opener: Opener,
    timer: Option<TimerKey>,
    told: (u32, u32),
    /// New keys, read by a thread, as a disk may hang; and what ends it.
    fresh: Receiver<std::result::Result<Keys, String>>,
    _end: Sender<()>,
    /// Datagrams that did not open.
    pub dropped: u64,
    /// Packets that were too long for a datagram, or could not be sent.
    pub unsent: u64,
}

fn read_keys(path: &Path) -> Result<(String, Keys)> {
    use std::io::Read;
    let mut text = String::new();
    let file = std::fs::File::open(path).with_context(|| format!("cannot read {}", path.display()))?;
    file.take(LONGEST_KEYS).read_to_string(&mut text)?;
    let keys = Keys::read(&text).map_err(|fault| anyhow!("{}: {fault}", path.display()))?;
    Ok((text, keys))
}

/// Reads the keys now and then, and tells of those that changed.
fn watch_keys(
    path: &Path,
    mut last: String,
    ended: &Receiver<()>,
    tell: &SyncSender<std::result::Result<Keys, String>>,
) {
    let mut fault = String::new();
    while let Err(RecvTimeoutError::Timeout) = ended.recv_timeout(KEYS_EVERY) {
        let news = match read_keys(path) {
            Ok((text, keys)) if text != last => {
                (last, fault) = (text, String::new());
                Ok(keys)
            }
            Ok(_) => continue,
            Err(e) if format!("{e:#}") == fault => continue,
            Err(e) => {
                fault = format!("{e:#}");
                Err(fault.clone())
            }
        };
        if tell.send(news).is_err() {
            return;
        }
    }
}

impl Gossip {
    pub fn open(config: &Config, seed: u64, now: i64, registry: &Registry) -> Result<Option<Gossip>> {
        let Some(g) = &config.gossip else { return Ok(None) };
        let (text, keys) = read_keys(&g.keys)?;
        let socket = datagrams(g.listen, registry, GOSSIP)
            .with_context(|| format!("cannot listen for gossip on {}", g.listen))?;
        let own = socket.local_addr()?;
        let (count, index) = (config.settings.gateways as u32, config.settings.index as u32);
        let limits = Limits {
            period: g.period.0,
            answer: g.period.0 * 3 / 10,
            hold: g.hold.0,
            settle: g.settle.0,
            fetch: g.period.0.saturating_mul(15),
            expect: count as usize,
            ..Limits::default()
        };
        let (tell, fresh) = sync_channel(4);
        let (end, ended) = channel();
        let path: PathBuf = g.keys.clone();
        std::thread::Builder::new()
            .name("keys".into())
            .spawn(move || watch_keys(&path, text, &ended, &tell))?;
        Ok(Some(Gossip {
            socket,
            node: Node::new(own, now as u64, g.seeds.clone(), limits, seed, now),
            keys,
            sealer: Sealer::new(own, now as u64),
            opener: Opener::default(),
            timer: None,
            told: (count, index),
            fresh,
            _end: end,
            dropped: 0,
            unsent: 0,
        }))
    }

    pub fn address(&self) -> Option<SocketAddr> {
        self.socket.local_addr().ok()
    }

    pub fn node(&self) -> &Node {
        &self.node
    }

    fn send(&mut self, out: Vec<(SocketAddr, Packet)>) {
        for (to, packet) in out {
            let sent = self.sealer.seal(&packet, &self.keys).map(|d| self.socket.send_to(&d, to));
            // What can't go is lost, as datagrams may be.
            self.unsent += u64::from(!matches!(sent, Some(Ok(_))));
        }
    }
}

impl App {
    /// Does what the gossip has due, and asks to be woken for the next.
    pub(crate) fn tend_gossip(&mut self) {
        let now = self.now;
        let Some(g) = &mut self.gossip else { return };
        let mut out = Vec::new();
        if g.node.next() <= now {
            g.node.tick(now, &mut out);
        }
        g.send(out);
        let next = g.node.next().max(now + 1_000);
        let timer = self.timers.set(next, Wake::Gossip);
        if let Some(old) = g.timer.replace(timer) {
            self.timers.cancel(old);
        }
    }

    pub(crate) fn hear_gossip(&mut self) {
        let mut buffer = [0; LONGEST + 1];
        for _ in 0..HEARD {
            let Some(g) = &mut self.gossip else { return };
            let (n, from) = match g.socket.recv_from(&mut buffer) {
                Ok(got) => got,
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => return,
                // One that is not there any more shows as an error of the socket.
                Err(_) => continue,
            };
            match g.opener.open(from, &buffer[..n], &g.keys) {
                Ok(packet) => {
                    let mut out = Vec::new();
                    g.node.receive(self.now, from, &packet, &mut out);
                    g.sealer.start_at(g.node.start());
                    g.send(out);
                }
                Err(why) => {
                    g.dropped += 1;
                    debug!(%from, %why, "gossip dropped");
                    // Its seal was good: one answer for one datagram is no flood.
                    if let Dropped::Before(start) = why {
                        let packet = g.node.tell_start(from, start);
                        g.send(vec![(from, packet)]);
                    }
                }
            }
        }
    }

    /// Once a second: new keys, and the number of controllers to the module if it is another.
    pub(crate) fn heed_gossip(&mut self) {
        let Some(g) = &mut self.gossip else { return };
        while let Ok(news) = g.fresh.try_recv() {
            match news {
                Ok(keys) => {
                    info!("new keys for the gossip");
                    g.keys = keys;
                }
                Err(fault) => warn!(fault, "the keys can't be read; those at hand stay"),
            }
        }
        let View { count, index, alive, settled } = g.node.view(self.now);
        let now = (count as u32, index as u32);
        if now == g.told {
            return;
        }
        g.told = now;
        info!(count, index, alive, settled, "controllers");
        self.tell(Input::Gateways { count: now.0, index: now.1 });
    }

    /// Says goodbye, so that nobody waits for this one.
    pub(crate) fn leave_gossip(&mut self) {
        let Some(g) = &mut self.gossip else { return };
        let mut out = Vec::new();
        g.node.leave(&mut out);
        g.send(out);
    }

    /// Figures of the gossip.
    pub(crate) fn gossip_figures(&self) -> Vec<(&'static str, u64)> {
        let Some(g) = &self.gossip else { return Vec::new() };
        let (view, counts) = (g.node().view(self.now), g.node().counts());
        vec![
            ("gossip_count", view.count as u64),
            ("gossip_index", view.index as u64),
            ("gossip_alive", view.alive as u64),
            ("gossip_settled", u64::from(view.settled)),
            ("gossip_suspected", counts.suspected),
            ("gossip_denied", counts.denied),
            ("gossip_given_up", counts.given_up),
            ("gossip_dropped", g.dropped),
            ("gossip_unsent", g.unsent),
        ]
    }
}
