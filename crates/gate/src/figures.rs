//! What is held and was counted, as operators read it.

use crate::clients::Clients;
use crate::engines::Engines;
use crate::gossip::Gossip;
use crate::peering::Peering;
use crate::registry::Call;
use crate::sets::Sets;
use serde_json::{json, Map, Value};
use std::fmt::Write as _;
use wheelfield_tape::Tape;

/// The rooms that are looked into.
pub(crate) struct Look<'a> {
    pub now: i64,
    pub tape: &'a Tape,
    pub clients: &'a Clients,
    pub engines: &'a Engines,
    pub sets: &'a Sets,
    pub call: &'a Call,
    pub peering: Option<&'a Peering>,
    pub gossip: Option<&'a Gossip>,
    pub cancels: u64,
    pub hints_ignored: u64,
    /// Answered, and lost.
    pub probes: (u64, u64),
}

impl Look<'_> {
    /// All figures, in the order they are told.
    fn figures(&self) -> Vec<(&'static str, u64)> {
        let driver = self.tape.mind().driver();
        let d = driver.map(|d| d.counts()).unwrap_or_default();
        let held = driver.map_or(0, |d| d.held() as u64);
        let capture = self.tape.captured();
        let c = self.clients.counts;
        let lists = self.sets.counts;
        let mut all = vec![
            ("capture_recorded", capture.recorded),
            ("capture_lost", capture.lost),
            ("capture_bytes", capture.bytes),
            ("capture_failing", u64::from(capture.failing)),
            ("capture_kept", capture.kept),
            ("capture_held", capture.held),
            ("clients", self.clients.len() as u64),
            ("engine_sessions", self.engines.sessions.len() as u64),
            ("queries_held", held),
            ("list_version", self.sets.engines().version()),
            ("clients_accepted", c.accepted),
            ("clients_turned_away", c.turned_away),
            ("clients_malformed", c.malformed),
            ("queries_taken", d.taken),
            ("queries_served", d.served),
            ("queries_refused", d.refused),
            ("queries_failed", d.failed),
            ("queries_departed", d.departed),
            ("queries_crowded", d.crowded),
            ("attempts", d.attempts),
            ("attempts_further", d.further),
            ("endings_late", d.late),
            ("cancels", self.cancels),
            ("hints_ignored", self.hints_ignored),
            ("messages_dropped", self.peering.map_or(0, |p| p.dropped)),
            ("lists_refused", lists.refused),
            ("lists_held", lists.held),
            ("lists_not_kept", lists.not_kept),
            ("probes_answered", self.probes.0),
            ("probes_lost", self.probes.1),
        ];
        if let Some(gossip) = self.gossip {
            all.extend(gossip.figures(self.now));
        }
        all
    }

    /// A line each.
    pub fn metrics(&self) -> String {
        let mut out = String::new();
        for (name, value) in self.figures() {
            let _ = writeln!(out, "wheelfield_{name} {value}");
        }
        out
    }

    /// The page for people and scripts.
    pub fn status(&self) -> String {
        let figures: Map<String, Value> =
            self.figures().into_iter().map(|(name, value)| (name.to_string(), json!(value))).collect();
        let engine = |k: &wheelfield_members::Known| {
            let status = wheelfield_members::word(k.entry.status);
            json!({"id": k.name, "address": k.address.to_string(), "status": status})
        };
        let engines: Vec<Value> = self.sets.engines().known().values().map(engine).collect();
        let (listed, members) = (!self.call.silent, self.sets.status());
        json!({"figures": figures, "engines": engines, "listed": listed, "members": members}).to_string()
    }
}
