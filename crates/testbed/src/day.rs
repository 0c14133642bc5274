//! The script of a day.

use crate::fleet::script::{self, LinkFault};
use serde::Deserialize;
use std::fmt::Write as _;
use wheelfield::interface::Settings;
use wheelfield_config::units::{Size, Time};
use wheelfield_config::{Config, ConfigError};
use wheelfield_gossip::MembershipConfig;
use wheelfield_network_faults::FaultSchedule;

/// A day as its script tells it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Day {
    /// Its name.
    pub name: String,
    /// How long queries come.
    pub length: Time,
    /// Queries a second, at the mean.
    pub rate: f64,
    /// How the rate goes.
    #[serde(default)]
    pub shape: Shape,
    /// Engines.
    pub engines: usize,
    /// Controllers.
    pub controllers: usize,
    /// Connections of clients, at most.
    #[serde(default = "usual_clients")]
    pub clients: usize,
    /// Nothing new goes to an engine so long after a controller was told that it drains or is gone.
    #[serde(default = "usual_grace")]
    pub drain_grace: Time,
    /// What the engines are.
    pub fleet: Fleet,
    /// What the queries are.
    pub classes: Vec<Class>,
    /// Customers, drawn by weight.
    #[serde(default)]
    pub tenants: Vec<Tenant>,
    /// How the list is kept.
    #[serde(default)]
    pub registry: Registry,
    /// What clients do.
    #[serde(default)]
    pub habits: Habits,
    /// What goes wrong.
    #[serde(default)]
    pub troubles: Vec<Trouble>,
    /// What goes wrong between controllers that gossip.
    #[serde(default)]
    pub roads: Vec<LinkFault>,
    /// Periods of the gossip: as in a controller's configuration.
    #[serde(default)]
    pub gossip: toml::Table,
    /// What engines tell: as in a controller's configuration.
    #[serde(default)]
    pub signals: toml::Table,
    /// What controllers may do: as in a controller's configuration.
    #[serde(default)]
    pub means: toml::Table,
    /// The figures of the rules: as in a controller's configuration.
    #[serde(default)]
    pub rules: toml::Table,
    /// As in a controller's configuration.
    #[serde(default)]
    pub prices: toml::Table,
    /// As in a controller's configuration.
    #[serde(default)]
    pub timing: toml::Table,
    /// As in a controller's configuration.
    #[serde(default)]
    pub limits: toml::Table,
}

fn usual_clients() -> usize {
    4000
}

fn usual_grace() -> Time {
    Time(wheelfield::interface::Micros(1_000_000))
}

/// How the rate goes over the day.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Shape {
    /// The same throughout.
    #[default]
    Steady,
    /// From half to one and a half of the mean.
    Ramp,
    /// A third up and down, twice.
    Wave,
}

/// What the engines are.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Zones; engines and controllers are spread over them in turn.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Engines of a cell.
    #[serde(default = "usual_cell")]
    pub cell: usize,
    /// What happens when memory is short.
    #[serde(default = "usual_short")]
    pub when_short: String,
    /// Share of an engine's memory that one query gets at most.
    #[serde(default = "usual_grant")]
    pub most_grant: f64,
    /// Kinds of machine.
    pub kinds: Vec<Kind>,
}

fn usual_cell() -> usize {
    4
}

fn usual_short() -> String {
    "wait".into()
}

fn usual_grant() -> f64 {
    0.4
}

/// A kind of machine.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// Its part of the engines, by weight.
    #[serde(default = "one")]
    pub share: f64,
    /// Cores.
    pub cores: f64,
    /// Speeds of a core, drawn for each engine.
    #[serde(default = "usual_speed")]
    pub speed: [f64; 2],
    /// Reads at full speed at once; as many as cores if not said.
    pub disks: Option<f64>,
    /// Memory.
    pub memory: Size,
    /// Sessions.
    #[serde(default = "usual_sessions")]
    pub sessions: usize,
    /// Threads a core from which the whole does less.
    #[serde(default = "usual_knee")]
    pub knee: f64,
    /// How much less, for each thread a core beyond.
    #[serde(default = "usual_thrash")]
    pub thrash: f64,
}

fn one() -> f64 {
    1.0
}

fn usual_speed() -> [f64; 2] {
    [0.9, 1.1]
}

fn usual_sessions() -> usize {
    64
}

fn usual_knee() -> f64 {
    1.8
}

fn usual_thrash() -> f64 {
    0.4
}

/// A class of query: what a controller is told of it, and what it is truly like.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its part of the queries, by weight.
    pub share: f64,
    /// Its mean work, as the time of one thread.
    pub work: Time,
    /// Standard deviation of the work over its mean (lognormal).
    #[serde(default = "one")]
    pub spread: f64,
    /// The estimate is the work times a lognormal of this deviation; none: queries carry no estimate.
    pub estimate_error: Option<f64>,
    /// Part of the work that reads or writes.
    #[serde(default)]
    pub io: f64,
    /// Memory of the mean query.
    #[serde(default)]
    pub memory: Option<Size>,
    /// Part of the attempts with a bad plan; they take ten times as long.
    #[serde(default)]
    pub bad_plans: f64,
    /// Distinct keys; zero for none.
    #[serde(default)]
    pub keys: u64,
    /// Rows of an answer.
    #[serde(default = "usual_rows")]
    pub rows: u64,
    /// Wanted within this,
    pub aim: Time,
    /// and this multiple of its work over its threads.
    #[serde(default)]
    pub aim_stretch: f64,
    /// Given up after this.
    pub deadline: Time,
    /// Worth of an answer in time.
    #[serde(default = "one")]
    pub worth: f64,
    /// Share of it left after.
    #[serde(default)]
    pub late_worth: f64,
    /// `repeatable`, `by_key` or `once`.
    pub effect: String,
    /// Where repeats are dropped.
    pub dedup: Option<String>,
    /// For how long.
    pub window: Option<Time>,
    /// Keys run in order.
    #[serde(default)]
    pub in_order: bool,
    /// Only in these zones.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Only on these kinds.
    #[serde(default)]
    pub kinds: Vec<String>,
    /// Threads.
    #[serde(default = "one")]
    pub threads: f64,
    /// It holds its tables.
    #[serde(default)]
    pub load: bool,
    /// It waits for loads.
    #[serde(default)]
    pub waits_for_loads: bool,
}

fn usual_rows() -> u64 {
    3
}

/// A customer.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its login.
    pub name: String,
    /// Its part of the queries, by weight.
    pub share: f64,
    /// Queries a second within its share.
    #[serde(default)]
    pub allowance: f64,
}

/// How the engine list is kept.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Registry {
    /// `watch` or `poll`.
    pub mode: String,
    /// Between two calls.
    pub every: Time,
    /// A dead process is listed as gone so much later.
    pub notice: Time,
    /// A started one is listed so much later.
    pub listed_after: Time,
    /// There is none: the engines are in a file that controllers watch, written at each drain and each start.
    pub files: bool,
    /// Controllers find out by gossip how many they are.
    pub gossip: bool,
}

impl Default for Registry {
    fn default() -> Self {
        let ms = |n: i64| Time(wheelfield::interface::Micros(n * 1000));
        Registry {
            mode: "watch".into(),
            every: ms(500),
            notice: ms(1500),
            listed_after: ms(500),
            files: false,
            gossip: false,
        }
    }
}

/// What clients do.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Habits {
    /// Further tries of a refused query, or one whose controller was lost.
    pub retries: u32,
    /// A try is given up after this share of its class's deadline, drawn between the two.
    pub patience: [f64; 2],
    /// Waited before a further try, doubled each time, where no advice is heeded.
    pub backoff: Time,
    /// Part of the clients that heed advice on when to come back.
    pub honour: f64,
    /// Part of the queries whose clients leave early; half of them cancel first.
    pub leaves: f64,
    /// New queries still go to a dead controller for so long.
    pub notice: Time,
    /// Groups of tables.
    pub groups: u64,
    /// Exponent of the zipf by which they are drawn.
    pub zipf: f64,
}

impl Default for Habits {
    fn default() -> Self {
        let ms = |n: i64| Time(wheelfield::interface::Micros(n * 1000));
        Habits {
            retries: 1,
            patience: [0.8, 1.0],
            backoff: ms(200),
            honour: 0.6,
            leaves: 0.0,
            notice: ms(1000),
            groups: 24,
            zipf: 0.7,
        }
    }
}

/// Something that goes wrong. What is left out is drawn by the seed.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    /// Its kind; [`KINDS`] lists them.
    pub kind: String,
    /// When it begins.
    pub at: Option<Time>,
    /// How long it lasts.
    #[serde(rename = "for")]
    pub lasts: Option<Time>,
    /// Its part of the engines, or of the controllers.
    pub part: Option<f64>,
    /// How bad it is: times slower, share that fails, times the rate, as its kind has it.
    pub size: Option<f64>,
    /// A second figure, as its kind has it.
    pub extra: Option<f64>,
}

/// The kinds of trouble, and what their figures are.
pub const KINDS: [(&str, &str); 25] = [
    ("crash", "part of the engines die and come back cold after the time"),
    ("hang", "part of the engines take queries and answer none"),
    ("slow", "part of the engines are `size` times slower"),
    ("shared_slow", "all engines are `size` times slower"),
    ("ageing", "part of the engines get slower and slower, up to `size` times, then die"),
    ("fast_errors", "part of the engines fail a share `size` of their queries at once"),
    ("full", "part of the engines turn everything away"),
    ("answer_lost", "part of the engines lose a share `size` of their answers"),
    ("half_answer", "part of the engines break a share `size` of their answers off"),
    ("flush", "all engines lose their warm tables"),
    ("preempt", "part of the engines drain, die `size` seconds later and come back cold after `extra`"),
    ("deploy", "all engines in turn, a part at a time: drain for `size` seconds, die, come back cold"),
    ("zone_loss", "all engines of a zone die and come back cold"),
    ("discovery_down", "the registry answers nobody"),
    ("discovery_stale", "deaths and starts are listed `size` seconds later"),
    (
        "balancer_roll",
        "part of the controllers are killed, one after the other, each down for `size` seconds",
    ),
    ("balancer_stall", "part of the controllers stand still for `size` seconds, every `extra`"),
    (
        "system_faults",
        "in part of the controllers system calls fail, transfers are short or the wall clock is wrong, for up to `size` seconds, every `extra`",
    ),
    ("burst", "the rate is `size` times as high"),
    ("tenant_burst", "one customer's rate is `size` times as high"),
    ("hot_key", "`extra` groups of tables draw a share `size` of the queries"),
    ("hot_caller", "one controller carries a share `size` of the queries"),
    ("heavy_tail", "a share `extra` of one class costs `size` times as much"),
    ("shift", "from now on the heaviest class comes `size` times as often"),
    ("give_up", "a share `size` of the clients leaves early"),
];

fn table(name: &str, table: &toml::Table, out: &mut String) {
    if !table.is_empty() {
        // Under its name, so that tables in it keep their place.
        let whole = toml::Table::from_iter([(name.to_string(), toml::Value::Table(table.clone()))]);
        let _ = writeln!(out, "{}", toml::to_string(&whole).unwrap_or_default());
    }
}

fn quoted(names: &[String]) -> String {
    format!("[{}]", names.iter().map(|n| format!("{n:?}")).collect::<Vec<_>>().join(", "))
}

impl Day {
    /// Reads a script.
    ///
    /// # Errors
    /// The first [`ConfigError`] found.
    pub fn parse(name: &str, text: &str) -> Result<Day, ConfigError> {
        let day: Day = toml::from_str(text).map_err(|e| ConfigError::from_toml(name, text, &e))?;
        let at = |what: &str| text.find(what).unwrap_or(0);
        let wrong =
            |what: &str, fault: String, mend: &str| Err(ConfigError::at(name, text, at(what), fault, mend));
        if day.length.0 .0 <= 0 || day.length.0 .0 > 3_600_000_000 {
            return wrong("length", "a day of no length, or of over an hour".into(), "write \"30s\"");
        }
        if !(day.rate.is_finite() && day.rate > 0.0 && day.rate <= 100_000.0) {
            return wrong("rate", format!("a rate of {}", day.rate), "write queries a second, above 0");
        }
        if !(1..=1000).contains(&day.engines) {
            return wrong("engines", format!("{} engines", day.engines), "write 1 to 1000");
        }
        if !(1..=1000).contains(&day.controllers) {
            return wrong("controllers", format!("{} controllers", day.controllers), "write 1 to 1000");
        }
        if !(1..=18_000).contains(&day.clients) {
            return wrong("clients", format!("{} clients", day.clients), "write 1 to 18000");
        }
        if day.classes.iter().map(|c| c.share).sum::<f64>() <= 0.0 {
            return wrong("[[classes]]", "no class has a share".into(), "give one a share above 0");
        }
        for trouble in &day.troubles {
            if !KINDS.iter().any(|(kind, _)| *kind == trouble.kind) {
                let known: Vec<&str> = KINDS.iter().map(|(kind, _)| *kind).collect();
                let fault = format!("no kind of trouble is named `{}`", trouble.kind);
                return wrong(
                    &format!("\"{}\"", trouble.kind),
                    fault,
                    &format!("known: {}", known.join(", ")),
                );
            }
        }
        if !day.roads.is_empty() && !day.registry.gossip {
            return wrong(
                "[[roads]]",
                "nothing goes between controllers that do not gossip".into(),
                "write gossip = true under [registry]",
            );
        }
        if let Err((n, fault)) = script::fault_schedule(&day.roads, day.controllers, 0) {
            let place = text.match_indices("[[roads]]").nth(n).map_or(0, |(at, _)| at);
            return Err(ConfigError::at(name, text, place, fault, "see docs/lab.md, fleets"));
        }
        // What a controller would refuse, it refuses here.
        if let Err(fault) = day.checked() {
            return wrong(
                "[[classes]]",
                format!("its controllers would not start: {}", fault.problem),
                &fault.suggestion,
            );
        }
        Ok(day)
    }

    /// The configuration that its controllers get, checked.
    ///
    /// # Errors
    /// The first [`ConfigError`] found.
    pub fn checked(&self) -> Result<Config, ConfigError> {
        let peers = (0..self.controllers).map(|i| format!("127.0.0.1:{}", 1 + i)).collect::<Vec<_>>();
        let mut text = self.controller(0, "127.0.0.1:1", "127.0.0.1:0", &peers);
        if self.registry.files {
            text.push_str("[members]\nfiles = [\"engines.toml\"]\n");
        }
        if self.registry.gossip {
            let seeds: Vec<String> =
                (0..self.controllers.min(3)).map(|i| format!("127.0.0.1:{}", 20_000 + i)).collect();
            text.push_str(&self.gossip("127.0.0.1:20000", None, &seeds, "keys"));
        }
        wheelfield_config::parse("generated", &text)
    }

    /// The part of a controller's configuration that is about gossip.
    pub fn gossip(&self, listen: &str, advertise: Option<&str>, seeds: &[String], keys: &str) -> String {
        let mut out = format!("[gossip]\nlisten = {listen:?}\nseeds = {}\nkeys = {keys:?}\n", quoted(seeds));
        if let Some(advertise) = advertise {
            let _ = writeln!(out, "advertise = {advertise:?}");
        }
        if !self.gossip.contains_key("settle") {
            out.push_str("settle = \"5s\"\n");
        }
        for (name, value) in &self.gossip {
            let _ = writeln!(out, "{name} = {value}");
        }
        out
    }

    /// A silence among controllers that lasted no longer than this may still be what a process acts on, in microseconds.
    pub fn patience(&self) -> i64 {
        let usual = MembershipConfig::default();
        let period =
            self.checked().ok().and_then(|c| c.gossip).map_or(usual.probe_period, |g| g.probe_interval.0);
        let doublings = i64::from((self.controllers as u64 + 1).ilog2()).max(1);
        // Suspected by one, told on to all, and denied or not: twice the time that a suspect has.
        2 * usual.suspicion_multiplier * doublings * period
    }

    /// What goes wrong between controllers, in times from the day's start.
    ///
    /// # Errors
    /// What is wrong with the script, for a person.
    pub fn timetable(&self, seed: u64) -> Result<FaultSchedule, String> {
        script::fault_schedule(&self.roads, self.controllers, seed)
            .map_err(|(n, fault)| format!("[[roads]] {n}: {fault}"))
    }

    /// What the module of each controller is handed.
    ///
    /// # Errors
    /// The first [`ConfigError`] found.
    pub fn settings(&self) -> Result<Settings, ConfigError> {
        self.checked().map(|config| config.settings)
    }

    /// The zone of a controller or an engine by its number.
    pub fn zone(&self, number: usize) -> &str {
        match self.fleet.zones.len() {
            0 => "",
            n => &self.fleet.zones[number % n],
        }
    }

    /// The configuration of a controller as TOML. `peer` is where it listens for messages.
    #[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
    pub fn controller(&self, index: usize, registry: &str, peer: &str, peers: &[String]) -> String {
        let mut out = String::new();
        let _ =
            writeln!(out, "listen = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\n[controller]\nindex = {index}");
        let _ = writeln!(out, "count = {}", self.controllers);
        if !self.fleet.zones.is_empty() {
            let _ = writeln!(out, "zone = {:?}", self.zone(index));
        }
        let Fleet { zones, when_short, most_grant, kinds, .. } = &self.fleet;
        let _ = writeln!(
            out,
            "[fleet]\nzones = {}\nwhen_short = {when_short:?}\nmost_grant = {most_grant:?}",
            quoted(zones)
        );
        for kind in kinds {
            let _ = writeln!(
                out,
                "[[fleet.kinds]]\nname = {:?}\ncores = {:?}\nmemory = \"{}B\"",
                kind.name, kind.cores, kind.memory.0
            );
        }
        for c in &self.classes {
            let us = |t: Time| format!("\"{}us\"", t.0 .0);
            let _ = writeln!(
                out,
                "[[classes]]\nname = {:?}\naim = {}\naim_stretch = {:?}\ndeadline = {}\nworth = {:?}\nlate_worth = {:?}\n\
                 effect = {:?}\nin_order = {}\nzones = {}\nkinds = {}\nthreads = {:?}\nload = {}\nwaits_for_loads = {}",
                c.name,
                us(c.aim),
                c.aim_stretch,
                us(c.deadline),
                c.worth,
                c.late_worth,
                c.effect,
                c.in_order,
                quoted(&c.zones),
                quoted(&c.kinds),
                c.threads,
                c.load,
                c.waits_for_loads
            );
            if let Some(dedup) = &c.dedup {
                let _ = writeln!(out, "dedup = {dedup:?}");
            }
            if let Some(window) = c.window {
                let _ = writeln!(out, "window = {}", us(window));
            }
        }
        for t in &self.tenants {
            let _ = writeln!(out, "[[tenants]]\nname = {:?}\nallowance = {:?}", t.name, t.allowance);
        }
        for (name, of) in [
            ("signals", &self.signals),
            ("means", &self.means),
            ("rules", &self.rules),
            ("prices", &self.prices),
            ("timing", &self.timing),
            ("limits", &self.limits),
        ] {
            table(name, of, &mut out);
        }
        let Registry { mode, every, files, .. } = &self.registry;
        if !files {
            let _ = writeln!(
                out,
                "[registry]\naddress = {registry:?}\nmode = {mode:?}\nevery = \"{}us\"",
                every.0 .0
            );
        }
        if self.means.get("messages").and_then(toml::Value::as_bool) == Some(true) {
            let _ = writeln!(out, "[peers]\nlisten = {peer:?}\naddresses = {}", quoted(peers));
        }
        out
    }

    /// The setup of the stand-ins as TOML; `speeds` are drawn for each engine, `kinds` are by position.
    pub fn stand_ins(&self, settings: &Settings, engines: &[(usize, f64)]) -> String {
        let mut out = String::new();
        let Registry { notice, listed_after, .. } = &self.registry;
        let _ = writeln!(
            out,
            "[registry]\nnotice = \"{}us\"\nlisted_after = \"{}us\"",
            notice.0 .0, listed_after.0 .0
        );
        // A kind for each engine, as their speeds differ; the list tells the kind's own name.
        for (i, (kind, speed)) in engines.iter().enumerate() {
            let k = &self.fleet.kinds[*kind];
            let s = settings;
            let _ = writeln!(
                out,
                "[[kinds]]\nname = \"{i}\"\nlisted_as = {:?}\ncores = {:?}\nspeed = {speed:?}\ndisks = {:?}\n\
                 memory = \"{}B\"\nmost_grant = {:?}\nsessions = {}\nknee = {:?}\nthrash = {:?}\nwhen_short = {:?}\n\
                 priorities = {}\ngrants = {}\ncold_from = {:?}\ncold_for = \"{}us\"\nfall_multiple = {:?}\n\
                 fall_span = \"{}us\"\nnotes_every = \"{}us\"",
                k.name,
                k.cores,
                k.disks.unwrap_or(k.cores),
                k.memory.0,
                self.fleet.most_grant,
                k.sessions,
                k.knee,
                k.thrash,
                self.fleet.when_short,
                s.priorities,
                s.memory_grants,
                s.slow_start_initial_fraction,
                s.slow_start_duration.0,
                s.overload_multiple,
                s.overload_window.0,
                s.progress_interval.0,
            );
        }
        for i in 0..engines.len() {
            let (zone, cell) = (self.zone(i), i / self.fleet.cell.max(1));
            let _ = writeln!(
                out,
                "[[engines]]\nid = \"engine-{i:02}\"\nkind = \"{i}\"\nzone = {zone:?}\ncell = {cell}"
            );
        }
        out
    }
}
