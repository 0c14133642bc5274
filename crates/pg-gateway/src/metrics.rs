//! The metrics and the status page for operators.

use crate::clients::Clients;
use crate::endpoint_sets::EndpointSets;
use crate::engines::Engines;
use crate::gossip::Gossip;
use crate::peering::Peering;
use crate::registry::RegistryClient;
use serde_json::{json, Map, Value};
use std::fmt::Write as _;
use wheelfield_recorder::RecordingDriver;

/// A metric: its name, help text and value.
pub(crate) type Metric = (&'static str, &'static str, u64);

/// The components whose metrics are read.
pub(crate) struct MetricsSnapshot<'a> {
    pub now: i64,
    pub driver: &'a RecordingDriver,
    pub clients: &'a Clients,
    pub engines: &'a Engines,
    pub endpoint_sets: &'a EndpointSets,
    pub registry: &'a RegistryClient,
    pub peering: Option<&'a Peering>,
    pub gossip: Option<&'a Gossip>,
    pub cancel_requests: u64,
    pub hints_ignored: u64,
    /// Answered probes, and failed probes.
    pub probe_counts: (u64, u64),
}

impl MetricsSnapshot<'_> {
    /// All metrics, in the order of the output.
    fn metrics(&self) -> Vec<Metric> {
        let driver = self.driver.decision_engine().driver();
        let queries = driver.map(|driver| driver.counters()).unwrap_or_default();
        let queries_held = driver.map_or(0, |driver| driver.queries_held() as u64);
        let capture = self.driver.capture_state();
        let clients = self.clients.counters;
        let lists = self.endpoint_sets.counters;
        let mut all = vec![
            ("capture_recorded", "Records of the capture that were taken.", capture.recorded),
            ("capture_lost", "Records that were not.", capture.lost),
            ("capture_bytes", "Bytes of the capture.", capture.written_bytes),
            ("capture_failing", "1 while the capture can't be written.", u64::from(capture.is_failing)),
            ("capture_kept", "Capture files kept of what was in memory.", capture.ring_files),
            ("capture_held", "Bytes of the capture in memory.", capture.ring_bytes),
            ("clients", "Clients connected.", self.clients.len() as u64),
            ("engine_sessions", "Connections with engines.", self.engines.sessions.len() as u64),
            ("queries_held", "Queries without a final answer.", queries_held),
            ("list_version", "Version of the engines in force.", self.endpoint_sets.engines().version()),
            ("clients_accepted", "Clients that connected.", clients.accepted),
            ("clients_turned_away", "Clients beyond the limit.", clients.rejected),
            ("clients_malformed", "Clients closed as what they sent can't be read.", clients.protocol_errors),
            ("queries_taken", "Queries taken.", queries.accepted),
            ("queries_served", "Queries served.", queries.served),
            ("queries_refused", "Queries refused: trying again is harmless.", queries.rejected),
            ("queries_failed", "Queries failed: that promises nothing.", queries.failed),
            ("queries_departed", "Queries whose client left.", queries.abandoned),
            ("queries_crowded", "Queries refused as too many are held.", queries.over_capacity),
            ("attempts", "Attempts at engines.", queries.attempts),
            ("attempts_further", "Of these, not the query's first.", queries.retries),
            ("endings_late", "Attempts that ended after their query was answered.", queries.late_endings),
            ("cancels", "Cancels sent.", self.cancel_requests),
            ("hints_ignored", "Hints of clients that can't be read.", self.hints_ignored),
            (
                "messages_dropped",
                "Words of other controllers that were garbled, old or a stranger's.",
                self.peering.map_or(0, |peering| peering.dropped),
            ),
            ("lists_refused", "Engine lists refused.", lists.rejected),
            ("lists_held", "Engine lists held for a second look.", lists.held),
            ("lists_not_kept", "Engine lists that could not be kept on the disk.", lists.not_saved),
            ("probes_answered", "Probes answered.", self.probe_counts.0),
            ("probes_lost", "Probes without an answer.", self.probe_counts.1),
        ];
        if let Some(gossip) = self.gossip {
            all.extend(gossip.metrics(self.now));
        }
        all
    }

    /// The metrics in the Prometheus text format.
    pub fn render_metrics(&self) -> String {
        let mut out = String::new();
        for (name, help, value) in self.metrics() {
            let _ = writeln!(out, "# HELP wheelfield_{name} {help}");
            let _ = writeln!(out, "wheelfield_{name} {value}");
        }
        out
    }

    /// The status page, as JSON.
    pub fn render_status(&self) -> String {
        let metrics: Map<String, Value> =
            self.metrics().into_iter().map(|(name, _, value)| (name.to_string(), json!(value))).collect();
        let engine = |known: &wheelfield_endpoints::EngineRecord| {
            let status = wheelfield_endpoints::status_name(known.entry.status);
            json!({"id": known.name, "address": known.address.to_string(), "status": status})
        };
        let engines: Vec<Value> = self.endpoint_sets.engines().records().values().map(engine).collect();
        let (listed, members) = (!self.registry.is_unavailable, self.endpoint_sets.status());
        let mut page = json!({"figures": metrics, "engines": engines, "listed": listed, "members": members});
        if let Some(gossip) = self.gossip {
            page["gossip"] = gossip.status(self.now);
        }
        page.to_string()
    }
}
