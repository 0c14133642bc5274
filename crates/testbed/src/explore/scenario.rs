//! A short day drawn from one number: its size, traffic, settings, troubles and network. Written as TOML it can be played
//! again, and made smaller.

use crate::day::Day;
use crate::virtual_time::network::Weather;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::fmt::Write as _;
use wheelfield_config::ConfigError;

/// Something that goes wrong, as a day's script has it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ill {
    /// Its kind.
    pub kind: String,
    /// When it begins, in milliseconds.
    pub at_ms: u64,
    /// How long it lasts, in milliseconds.
    pub for_ms: u64,
    /// Its part of the engines or controllers.
    pub part: f64,
    /// How bad it is, as its kind has it.
    #[serde(default)]
    pub size: Option<f64>,
}

/// A short day.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Seed of its traffic, troubles and chance.
    pub seed: u64,
    /// How long queries come, in milliseconds.
    pub length_ms: u64,
    /// Queries a second.
    pub rate: f64,
    /// Engines.
    pub engines: usize,
    /// Controllers.
    pub controllers: usize,
    /// Zones; zero for none.
    pub zones: usize,
    /// What engines do when memory is short.
    pub when_short: String,
    /// Cores of an engine.
    pub cores: u64,
    /// Sessions that an engine takes; zero for no limit worth a name.
    pub engine_sessions: u64,
    /// Sessions of a controller with an engine.
    pub sessions: u64,
    /// Queries that a controller holds.
    pub queries: u64,
    /// Bytes on their way to a client.
    pub buffer: u64,
    /// Rows of a report.
    pub rows: u64,
    /// Classes, by name: lookup, report, load, posting, upload, local.
    pub classes: Vec<String>,
    /// Whether cancels are heeded.
    pub cancel: bool,
    /// Whether priorities are heeded.
    pub priorities: bool,
    /// Controllers tell each other.
    pub messages: bool,
    /// Where loads are told: `answers` or `probe`.
    pub reports: String,
    /// How the list is kept: `watch`, `poll` or `files`.
    pub list: String,
    /// Controllers count each other.
    pub gossip: bool,
    /// Part of the clients that leave early.
    pub leaves: f64,
    /// Further tries of a client.
    pub retries: u64,
    /// Somebody who is no client comes so often, in milliseconds; zero for never.
    #[serde(default)]
    pub visits_ms: u64,
    /// What goes wrong.
    pub troubles: Vec<Ill>,
    /// The network.
    pub weather: Weather,
}

/// Kinds of trouble with the sizes that are drawn for them; none where they need none.
const ILLS: [(&str, Option<(f64, f64)>); 18] = [
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
    /// Draws a day.
    #[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
    pub fn draw(seed: u64) -> Scenario {
        let mut r = Pcg64Mcg::seed_from_u64(seed ^ 0x6578_706c_6f72_6500);
        let mut one_of = |chance: f64| r.random::<f64>() < chance;
        let (cancel, priorities, messages) = (one_of(0.85), one_of(0.5), one_of(0.3));
        let (probes, gossip, torn, tight, harsh, lossy) =
            (one_of(0.3), one_of(0.25), one_of(0.5), one_of(0.25), one_of(0.3), one_of(0.5));
        let classes = ["lookup", "report", "load", "posting", "upload", "local"];
        let mut chosen: Vec<String> =
            classes.iter().filter(|_| one_of(0.6)).map(|c| (*c).to_string()).collect();
        if chosen.is_empty() {
            chosen.push("lookup".into());
        }
        let length_ms = r.random_range(800..4_000);
        let zones = r.random_range(0..4_usize).saturating_sub(1);
        // A class that is bound to a zone needs two.
        chosen.retain(|c| c != "local" || zones > 1);
        if chosen.is_empty() {
            chosen.push("lookup".into());
        }
        let troubles = (0..r.random_range(0..5))
            .map(|_| {
                let (kind, sizes) = ILLS[r.random_range(0..ILLS.len())];
                let at_ms = r.random_range(0..length_ms);
                Ill {
                    kind: kind.to_string(),
                    at_ms,
                    for_ms: r.random_range(50..2_500),
                    part: r.random_range(0.1..1.0),
                    size: sizes.map(|(a, b)| (r.random_range(a..b) * 100.0_f64).round() / 100.0),
                }
            })
            .filter(|ill| zones > 1 || ill.kind != "zone_loss")
            .collect();
        let pick = |r: &mut Pcg64Mcg, of: &[u64]| of[r.random_range(0..of.len())];
        let weather = Weather {
            torn: if torn { r.random_range(0.05..0.9) } else { 0.0 },
            window: if tight { pick(&mut r, &[1_024, 4_096]) as usize } else { 1 << 20 },
            loss: if lossy { r.random_range(0.0..0.5) } else { 0.0 },
            doubled: if lossy { 0.1 } else { 0.0 },
            late: if lossy { 200_000 } else { 0 },
            resets: if harsh { r.random_range(0.0..0.05) } else { 0.0 },
            refused: if harsh { r.random_range(0.0..0.2) } else { 0.0 },
            lost_connects: if harsh { r.random_range(0.0..0.2) } else { 0.0 },
        };
        // A long answer takes its time through a narrow window: that is nobody's fault.
        let rows = pick(&mut r, if tight { &[1, 20] } else { &[1, 20, 200, 3_000] });
        Scenario {
            seed,
            length_ms,
            rate: r.random_range(5.0_f64..150.0).round(),
            engines: r.random_range(1..8),
            controllers: r.random_range(1..5),
            zones,
            when_short: ["wait", "page", "shrink"][r.random_range(0..3)].to_string(),
            cores: pick(&mut r, &[1, 2, 4, 8]),
            engine_sessions: pick(&mut r, &[0, 0, 3, 12]),
            sessions: pick(&mut r, &[200, 200, 2, 8]),
            queries: pick(&mut r, &[20_000, 20_000, 5, 40]),
            buffer: pick(&mut r, &[262_144, 4_096, 16_384]),
            rows,
            classes: chosen,
            cancel,
            priorities,
            messages,
            reports: if probes { "probe" } else { "answers" }.to_string(),
            list: ["watch", "watch", "poll", "files"][r.random_range(0..4)].to_string(),
            gossip,
            leaves: if r.random::<f64>() < 0.5 { r.random_range(0.0..0.4) } else { 0.0 },
            retries: r.random_range(0..3),
            // Drawn last, so that what is above is what it was before.
            visits_ms: if r.random::<f64>() < 0.3 { r.random_range(5..200) } else { 0 },
            troubles,
            weather,
        }
    }

    fn class(&self, name: &str) -> String {
        let rows = self.rows;
        match name {
            "report" => format!(
                "share = 14\nwork = \"400ms\"\nspread = 1.0\nestimate_error = 0.5\nio = 0.5\nmemory = \"300MB\"\n\
                 bad_plans = 0.05\nrows = {rows}\naim = \"2s\"\ndeadline = \"5s\"\nworth = 4\n\
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

    /// Its script.
    pub fn script(&self) -> String {
        let zones: Vec<String> = (0..self.zones).map(|z| format!("\"z{z}\"")).collect();
        let mut out = format!(
            "name = \"explored\"\nlength = \"{}ms\"\nrate = {:?}\nengines = {}\ncontrollers = {}\n\
             drain_grace = \"1s\"\n[fleet]\nzones = [{}]\nwhen_short = {:?}\n\
             [[fleet.kinds]]\nname = \"std\"\ncores = {}\nmemory = \"2GB\"\n",
            self.length_ms,
            self.rate,
            self.engines,
            self.controllers,
            zones.join(", "),
            self.when_short,
            self.cores
        );
        if self.engine_sessions > 0 {
            let _ = writeln!(out, "sessions = {}", self.engine_sessions);
        }
        for name in &self.classes {
            let _ = writeln!(out, "[[classes]]\nname = {name:?}\n{}", self.class(name));
        }
        let (cancel, priorities, messages) = (self.cancel, self.priorities, self.messages);
        let probes = self.reports == "probe";
        let _ = writeln!(
            out,
            "[signals]\nreports = {:?}\nnotes_every = \"500ms\"\n[means]\ncancel = {cancel}\n\
             priorities = {priorities}\nmessages = {messages}\nprobes = {probes}\nmax_attempts = 3\n[rules]\ncold_from = 0.35\n\
             cold_for = \"4s\"\nfall_multiple = 2.5\nfall_span = \"1.5s\"\norder_pause = \"8s\"\n\
             budget = {{ free = 2, share = 0.1, span = \"5s\" }}\n\
             [limits]\nsessions = {}\nqueries = {}\nbuffer = \"{}B\"\n[timing]\nstall = \"1s\"\n\
             [habits]\nleaves = {:?}\nretries = {}",
            self.reports, self.sessions, self.queries, self.buffer, self.leaves, self.retries
        );
        let mode = if self.list == "poll" { "poll" } else { "watch" };
        let files = self.list == "files";
        let gossip = self.gossip;
        let _ = writeln!(out, "[registry]\nmode = {mode:?}\nfiles = {files}\ngossip = {gossip}");
        for ill in &self.troubles {
            let Ill { kind, at_ms, for_ms, part, size } = ill;
            let _ = writeln!(
                out,
                "[[troubles]]\nkind = {kind:?}\nat = \"{at_ms}ms\"\nfor = \"{for_ms}ms\"\npart = {part:?}"
            );
            if let Some(size) = size {
                let _ = writeln!(out, "size = {size:?}");
            }
        }
        out
    }

    /// Its day, checked.
    ///
    /// # Errors
    /// The first fault of its script.
    pub fn day(&self) -> Result<Day, ConfigError> {
        Day::parse(&format!("scenario {}", self.seed), &self.script())
    }
}
