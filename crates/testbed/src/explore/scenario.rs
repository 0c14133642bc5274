//! A short scenario drawn from a seed: its size, traffic, settings, faults and network. It is
//! written as TOML, from which it can be run again and reduced.

use crate::day::Day;
use crate::virtual_time::network::NetworkFaults;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::fmt::Write as _;
use wheelfield_config::ConfigError;

/// A fault, as an entry of `[[troubles]]` in a day's script.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScenarioFault {
    /// Its kind.
    pub kind: String,
    /// Start, in milliseconds.
    #[serde(rename = "at_ms")]
    pub start_ms: u64,
    /// Duration, in milliseconds.
    #[serde(rename = "for_ms")]
    pub duration_ms: u64,
    /// Fraction of the engines or controllers that are affected.
    #[serde(rename = "part")]
    pub fraction: f64,
    /// Severity; the unit depends on the kind.
    #[serde(default, rename = "size")]
    pub severity: Option<f64>,
}

/// A short scenario.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Seed of its traffic, faults and random draws.
    pub seed: u64,
    /// How long queries arrive, in milliseconds.
    pub length_ms: u64,
    /// Queries per second.
    #[serde(rename = "rate")]
    pub queries_per_second: f64,
    /// Number of engines.
    pub engines: usize,
    /// Number of controllers.
    pub controllers: usize,
    /// Number of zones; zero for none.
    pub zones: usize,
    /// What engines do when memory is short: `wait`, `page` or `shrink`.
    #[serde(rename = "when_short")]
    pub memory_shortage_action: String,
    /// Cores of an engine.
    pub cores: u64,
    /// Maximum number of sessions that an engine accepts; zero for the default.
    #[serde(rename = "engine_sessions")]
    pub max_engine_sessions: u64,
    /// Maximum number of sessions of a controller with an engine.
    #[serde(rename = "sessions")]
    pub max_sessions_per_engine: u64,
    /// Maximum number of queries that a controller holds.
    #[serde(rename = "queries")]
    pub max_queries: u64,
    /// Maximum number of bytes that a controller buffers for a client.
    #[serde(rename = "buffer")]
    pub client_buffer_bytes: u64,
    /// Rows of an answer in the class `report`.
    #[serde(rename = "rows")]
    pub report_rows: u64,
    /// Names of the classes: lookup, report, load, posting, upload, local.
    pub classes: Vec<String>,
    /// Whether engines support cancel requests.
    #[serde(rename = "cancel")]
    pub supports_cancel: bool,
    /// Whether engines support priorities.
    #[serde(rename = "priorities")]
    pub supports_priorities: bool,
    /// Whether controllers send each other messages.
    #[serde(rename = "messages")]
    pub sends_messages: bool,
    /// Source of load reports: `answers` or `probe`.
    #[serde(rename = "reports")]
    pub load_report_source: String,
    /// How controllers receive the engine list: `watch`, `poll` or `files`.
    #[serde(rename = "list")]
    pub engine_list_source: String,
    /// Whether controllers discover each other by gossip.
    pub gossip: bool,
    /// Fraction of the clients that leave before their answer.
    #[serde(rename = "leaves")]
    pub leaving_fraction: f64,
    /// Maximum number of retries of a client.
    #[serde(rename = "retries")]
    pub max_retries: u64,
    /// Period of stray connections that send malformed or unauthorised data, in milliseconds; zero
    /// for none.
    #[serde(default, rename = "visits_ms")]
    pub stray_connection_period_ms: u64,
    /// The faults.
    #[serde(rename = "troubles")]
    pub faults: Vec<ScenarioFault>,
    /// Faults of the network.
    #[serde(rename = "weather")]
    pub network: NetworkFaults,
}

/// Kinds of faults with the range from which their severity is drawn; `None` for kinds that have no
/// severity.
const FAULT_KINDS: [(&str, Option<(f64, f64)>); 18] = [
    ("crash", None),
    ("hang", None),
    ("slow", Some((2.0, 20.0))),
    ("shared_slow", Some((1.5, 6.0))),
    ("fast_errors", Some((0.1, 1.0))),
    ("full", None),
    ("answer_lost", Some((0.05, 0.5))),
    ("half_answer", Some((0.05, 0.5))),
    ("flush", None),
    ("preempt", Some((0.2, 2.0))),
    ("zone_loss", None),
    ("discovery_down", None),
    ("discovery_stale", Some((0.5, 3.0))),
    ("balancer_roll", Some((0.2, 1.0))),
    ("balancer_stall", Some((0.1, 1.5))),
    ("burst", Some((2.0, 10.0))),
    ("give_up", Some((0.2, 0.9))),
    ("deploy", Some((0.2, 1.0))),
];

impl Scenario {
    /// Draws a scenario from a seed.
    #[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
    pub fn draw(seed: u64) -> Scenario {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x6578_706c_6f72_6500);
        let mut random_bool = |probability: f64| rng.random::<f64>() < probability;
        let (supports_cancel, supports_priorities, sends_messages) =
            (random_bool(0.85), random_bool(0.5), random_bool(0.3));
        let (uses_probes, gossip, splits_data, has_small_window, loses_connections, loses_datagrams) = (
            random_bool(0.3),
            random_bool(0.25),
            random_bool(0.5),
            random_bool(0.25),
            random_bool(0.3),
            random_bool(0.5),
        );
        let classes = ["lookup", "report", "load", "posting", "upload", "local"];
        let mut chosen: Vec<String> =
            classes.iter().filter(|_| random_bool(0.6)).map(|c| (*c).to_string()).collect();
        if chosen.is_empty() {
            chosen.push("lookup".into());
        }
        let length_ms = rng.random_range(800..4_000);
        let zones = rng.random_range(0..4_usize).saturating_sub(1);
        // The class `local` is bound to the zone `z1`, which exists only if there are two zones or
        // more.
        chosen.retain(|c| c != "local" || zones > 1);
        if chosen.is_empty() {
            chosen.push("lookup".into());
        }
        let faults = (0..rng.random_range(0..5))
            .map(|_| {
                let (kind, severity_range) = FAULT_KINDS[rng.random_range(0..FAULT_KINDS.len())];
                let start_ms = rng.random_range(0..length_ms);
                ScenarioFault {
                    kind: kind.to_string(),
                    start_ms,
                    duration_ms: rng.random_range(50..2_500),
                    fraction: rng.random_range(0.1..1.0),
                    severity: severity_range
                        .map(|(a, b)| (rng.random_range(a..b) * 100.0_f64).round() / 100.0),
                }
            })
            .filter(|fault| zones > 1 || fault.kind != "zone_loss")
            .collect();
        let pick = |rng: &mut Pcg64Mcg, choices: &[u64]| choices[rng.random_range(0..choices.len())];
        let network = NetworkFaults {
            split_probability: if splits_data { rng.random_range(0.05..0.9) } else { 0.0 },
            window_bytes: if has_small_window { pick(&mut rng, &[1_024, 4_096]) as usize } else { 1 << 20 },
            datagram_loss: if loses_datagrams { rng.random_range(0.0..0.5) } else { 0.0 },
            datagram_duplication: if loses_datagrams { 0.1 } else { 0.0 },
            max_datagram_delay_us: if loses_datagrams { 200_000 } else { 0 },
            reset_probability: if loses_connections { rng.random_range(0.0..0.05) } else { 0.0 },
            refusal_probability: if loses_connections { rng.random_range(0.0..0.2) } else { 0.0 },
            connect_loss_probability: if loses_connections { rng.random_range(0.0..0.2) } else { 0.0 },
        };
        // A large answer through a small window may miss its deadline without any fault, so these
        // scenarios have small answers.
        let report_rows = pick(&mut rng, if has_small_window { &[1, 20] } else { &[1, 20, 200, 3_000] });
        Scenario {
            seed,
            length_ms,
            queries_per_second: rng.random_range(5.0_f64..150.0).round(),
            engines: rng.random_range(1..8),
            controllers: rng.random_range(1..5),
            zones,
            memory_shortage_action: ["wait", "page", "shrink"][rng.random_range(0..3)].to_string(),
            cores: pick(&mut rng, &[1, 2, 4, 8]),
            max_engine_sessions: pick(&mut rng, &[0, 0, 3, 12]),
            max_sessions_per_engine: pick(&mut rng, &[200, 200, 2, 8]),
            max_queries: pick(&mut rng, &[20_000, 20_000, 5, 40]),
            client_buffer_bytes: pick(&mut rng, &[262_144, 4_096, 16_384]),
            report_rows,
            classes: chosen,
            supports_cancel,
            supports_priorities,
            sends_messages,
            load_report_source: if uses_probes { "probe" } else { "answers" }.to_string(),
            engine_list_source: ["watch", "watch", "poll", "files"][rng.random_range(0..4)].to_string(),
            gossip,
            leaving_fraction: if rng.random::<f64>() < 0.5 { rng.random_range(0.0..0.4) } else { 0.0 },
            max_retries: rng.random_range(0..3),
            // Drawn last, so that the fields above have the same values as before this one was
            // added.
            stray_connection_period_ms: if rng.random::<f64>() < 0.3 { rng.random_range(5..200) } else { 0 },
            faults,
            network,
        }
    }

    fn class(&self, name: &str) -> String {
        let report_rows = self.report_rows;
        match name {
            "report" => format!(
                "share = 14\nwork = \"400ms\"\nspread = 1.0\nestimate_error = 0.5\nio = 0.5\nmemory = \"300MB\"\n\
                 bad_plans = 0.05\nrows = {report_rows}\naim = \"2s\"\ndeadline = \"5s\"\nworth = 4\n\
                 effect = \"repeatable\"\nthreads = 2\nwaits_for_loads = true"
            ),
            "load" => "share = 8\nwork = \"500ms\"\nestimate_error = 0.5\nio = 0.5\nmemory = \"200MB\"\naim = \"2s\"\n\
                       deadline = \"5s\"\nworth = 6\neffect = \"once\"\nthreads = 2\nload = true"
                .into(),
            "posting" => "share = 30\nwork = \"60ms\"\nestimate_error = 0.3\nkeys = 8\naim = \"1s\"\ndeadline = \"4s\"\n\
                          effect = \"once\"\nin_order = true"
                .into(),
            "upload" => "share = 20\nwork = \"200ms\"\nio = 0.4\nmemory = \"100MB\"\naim = \"2s\"\ndeadline = \"5s\"\n\
                         effect = \"by_key\"\ndedup = \"zone\"\nwindow = \"5s\"\nload = true"
                .into(),
            "local" => "share = 20\nwork = \"100ms\"\naim = \"1s\"\ndeadline = \"4s\"\neffect = \"repeatable\"\n\
                        zones = [\"z1\"]"
                .into(),
            _ => "share = 60\nwork = \"80ms\"\nspread = 1.2\nestimate_error = 0.4\nio = 0.3\nmemory = \"40MB\"\n\
                  aim = \"1s\"\ndeadline = \"3s\"\nlate_worth = 0.3\neffect = \"repeatable\""
                .into(),
        }
    }

    /// The scenario as a day's script.
    pub fn script(&self) -> String {
        let zones: Vec<String> = (0..self.zones).map(|z| format!("\"z{z}\"")).collect();
        let mut out = format!(
            "name = \"explored\"\nlength = \"{}ms\"\nrate = {:?}\nengines = {}\ncontrollers = {}\n\
             drain_grace = \"1s\"\n[fleet]\nzones = [{}]\nwhen_short = {:?}\n\
             [[fleet.kinds]]\nname = \"std\"\ncores = {}\nmemory = \"2GB\"\n",
            self.length_ms,
            self.queries_per_second,
            self.engines,
            self.controllers,
            zones.join(", "),
            self.memory_shortage_action,
            self.cores
        );
        if self.max_engine_sessions > 0 {
            let _ = writeln!(out, "sessions = {}", self.max_engine_sessions);
        }
        for name in &self.classes {
            let _ = writeln!(out, "[[classes]]\nname = {name:?}\n{}", self.class(name));
        }
        let (supports_cancel, supports_priorities, sends_messages) =
            (self.supports_cancel, self.supports_priorities, self.sends_messages);
        let uses_probes = self.load_report_source == "probe";
        let _ = writeln!(
            out,
            "[signals]\nreports = {:?}\nnotes_every = \"500ms\"\n[means]\ncancel = {supports_cancel}\n\
             priorities = {supports_priorities}\nmessages = {sends_messages}\nprobes = {uses_probes}\nmax_attempts = 3\n[rules]\ncold_from = 0.35\n\
             cold_for = \"4s\"\nfall_multiple = 2.5\nfall_span = \"1.5s\"\norder_pause = \"8s\"\n\
             budget = {{ free = 2, share = 0.1, span = \"5s\" }}\n\
             [limits]\nsessions = {}\nqueries = {}\nbuffer = \"{}B\"\n[timing]\nstall = \"1s\"\n\
             [habits]\nleaves = {:?}\nretries = {}",
            self.load_report_source, self.max_sessions_per_engine, self.max_queries, self.client_buffer_bytes, self.leaving_fraction, self.max_retries
        );
        let mode = if self.engine_list_source == "poll" { "poll" } else { "watch" };
        let files = self.engine_list_source == "files";
        let gossip = self.gossip;
        let _ = writeln!(out, "[registry]\nmode = {mode:?}\nfiles = {files}\ngossip = {gossip}");
        for fault in &self.faults {
            let ScenarioFault { kind, start_ms, duration_ms, fraction, severity } = fault;
            let _ = writeln!(
                out,
                "[[troubles]]\nkind = {kind:?}\nat = \"{start_ms}ms\"\nfor = \"{duration_ms}ms\"\npart = {fraction:?}"
            );
            if let Some(severity) = severity {
                let _ = writeln!(out, "size = {severity:?}");
            }
        }
        out
    }

    /// Parses and checks the scenario's script as a day.
    ///
    /// # Errors
    /// The first error of the script.
    pub fn day(&self) -> Result<Day, ConfigError> {
        Day::parse(&format!("scenario {}", self.seed), &self.script())
    }
}
