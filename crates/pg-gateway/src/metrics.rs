//! What is held and was counted, as operators read it.

use crate::clients::Clients;
use crate::endpoint_sets::EndpointSets;
use crate::engines::Engines;
use crate::gossip::Gossip;
use crate::peering::Peering;
use crate::registry::Call;
use serde_json::{json, Map, Value};
use std::fmt::Write as _;
use wheelfield_recorder::RecordingDriver;

/// A figure: its name, what it means, and how much.
pub(crate) type Figure = (&'static str, &'static str, u64);

/// The rooms that are looked into.
pub(crate) struct Look<'a> {
    pub now: i64,
    pub tape: &'a RecordingDriver,
    pub clients: &'a Clients,
    pub engines: &'a Engines,
    pub sets: &'a EndpointSets,
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
    fn figures(&self) -> Vec<Figure> {
        let driver = self.tape.decision_engine().driver();
        let d = driver.map(|d| d.counters()).unwrap_or_default();
        let held = driver.map_or(0, |d| d.queries_held() as u64);
        let capture = self.tape.capture_state();
        let c = self.clients.counts;
        let lists = self.sets.counts;
        let mut all = vec![
            ("capture_recorded", "Records of the capture that were taken.", capture.recorded),
            ("capture_lost", "Records that were not.", capture.lost),
            ("capture_bytes", "Bytes of the capture.", capture.bytes),
            ("capture_failing", "1 while the capture can't be written.", u64::from(capture.failing)),
            ("capture_kept", "Records kept in memory.", capture.kept),
            ("capture_held", "Records that wait to be written.", capture.held),
            ("clients", "Clients connected.", self.clients.len() as u64),
            ("engine_sessions", "Connections with engines.", self.engines.sessions.len() as u64),
            ("queries_held", "Queries without a final answer.", held),
            ("list_version", "Version of the engines in force.", self.sets.engines().version()),
            ("clients_accepted", "Clients that connected.", c.accepted),
            ("clients_turned_away", "Clients beyond the limit.", c.turned_away),
            ("clients_malformed", "Clients closed as what they sent can't be read.", c.malformed),
            ("queries_taken", "Queries taken.", d.accepted),
            ("queries_served", "Queries served.", d.served),
            ("queries_refused", "Queries refused: trying again is harmless.", d.rejected),
            ("queries_failed", "Queries failed: that promises nothing.", d.failed),
            ("queries_departed", "Queries whose client left.", d.abandoned),
            ("queries_crowded", "Queries refused as too many are held.", d.over_capacity),
            ("attempts", "Attempts at engines.", d.attempts),
            ("attempts_further", "Of these, not the query's first.", d.retries),
            ("endings_late", "Attempts that ended after their query was answered.", d.late_endings),
            ("cancels", "Cancels sent.", self.cancels),
            ("hints_ignored", "Hints of clients that can't be read.", self.hints_ignored),
            (
                "messages_dropped",
                "Words of other controllers that were garbled, old or a stranger's.",
                self.peering.map_or(0, |p| p.dropped),
            ),
            ("lists_refused", "Engine lists refused.", lists.refused),
            ("lists_held", "Engine lists held for a second look.", lists.held),
            ("lists_not_kept", "Engine lists that could not be kept on the disk.", lists.not_kept),
            ("probes_answered", "Probes answered.", self.probes.0),
            ("probes_lost", "Probes without an answer.", self.probes.1),
        ];
        if let Some(gossip) = self.gossip {
            all.extend(gossip.figures(self.now));
        }
        all
    }

    /// A line each.
    pub fn metrics(&self) -> String {
        let mut out = String::new();
        for (name, help, value) in self.figures() {
            let _ = writeln!(out, "# HELP wheelfield_{name} {help}");
            let _ = writeln!(out, "wheelfield_{name} {value}");
        }
        out
    }

    /// The page for people and scripts.
    pub fn status(&self) -> String {
        let figures: Map<String, Value> =
            self.figures().into_iter().map(|(name, _, value)| (name.to_string(), json!(value))).collect();
        let engine = |k: &wheelfield_endpoints::EngineRecord| {
            let status = wheelfield_endpoints::status_name(k.entry.status);
            json!({"id": k.name, "address": k.address.to_string(), "status": status})
        };
        let engines: Vec<Value> = self.sets.engines().records().values().map(engine).collect();
        let (listed, members) = (!self.call.silent, self.sets.status());
        let mut page = json!({"figures": figures, "engines": engines, "listed": listed, "members": members});
        if let Some(gossip) = self.gossip {
            page["gossip"] = gossip.status(self.now);
        }
        page.to_string()
    }
}
