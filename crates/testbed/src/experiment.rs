//! Experiments: many days by many seeds of several variants, in an order that machine drift can't favour one, resumed
//! where they were stopped.

use crate::day::Day;
use crate::plan::Plan;
use crate::play::{self, Options, Report};
use crate::series::Series;
use crate::stats::{bootstrap, compare, Compared, Interval};
use crate::virtual_time;
use crate::virtual_time::mind::Policy;
use anyhow::{bail, ensure, Context, Result};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::Write as _;
use std::path::{Path, PathBuf};
use std::sync::mpsc::channel;
use std::sync::Mutex;
use wheelfield_config::ConfigError;

/// Runs of an experiment at most.
const MAX_RUNS: usize = 20_000;

/// Where days are played.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// In virtual time.
    #[default]
    Virtual,
    /// On processes and sockets.
    Sockets,
}

/// One of the things that are compared.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    /// Its name.
    pub name: String,
    /// What decides, in virtual time.
    #[serde(default)]
    pub policy: String,
    /// The folder of the programs, on sockets; if left out, those beside the laboratory.
    pub programs: Option<PathBuf>,
    /// Tables of the day that it replaces, key by key: `set.means.cancel = false`.
    #[serde(default)]
    pub set: toml::Table,
}

/// A size at which all is played.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Size {
    /// The day's rate times this.
    pub load: Option<f64>,
    /// Engines.
    pub engines: Option<usize>,
    /// Controllers.
    pub controllers: Option<usize>,
}

impl Size {
    fn name(&self) -> String {
        let mut parts = Vec::new();
        parts.extend(self.load.map(|x| format!("x{x}")));
        parts.extend(self.engines.map(|n| format!("{n} engines")));
        parts.extend(self.controllers.map(|n| format!("{n} controllers")));
        if parts.is_empty() {
            "as it is".into()
        } else {
            parts.join(", ")
        }
    }
}

/// An experiment as its file tells it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Its name.
    pub name: String,
    /// Where.
    #[serde(default)]
    pub mode: Mode,
    /// Days: names of built-in ones, or files beside this one.
    pub days: Vec<String>,
    /// The first seed,
    #[serde(default = "one")]
    pub first_seed: u64,
    /// and how many.
    pub seeds: u64,
    /// What is compared; the first is what the others are compared with.
    pub variants: Vec<Variant>,
    /// Sizes.
    #[serde(default = "one_size")]
    pub sizes: Vec<Size>,
}

fn one() -> u64 {
    1
}

fn one_size() -> Vec<Size> {
    vec![Size::default()]
}

impl Experiment {
    /// Reads a file.
    ///
    /// # Errors
    /// The first [`ConfigError`] found.
    pub fn parse(name: &str, text: &str) -> Result<Experiment, ConfigError> {
        let e: Experiment = toml::from_str(text).map_err(|e| ConfigError::from_toml(name, text, &e))?;
        let at = |what: &str| text.find(what).unwrap_or(0);
        let wrong =
            |what: &str, fault: String, mend: &str| Err(ConfigError::at(name, text, at(what), fault, mend));
        if e.days.is_empty() || e.variants.is_empty() || e.seeds == 0 || e.sizes.is_empty() {
            return wrong(
                "name",
                "no day, no variant, no seed or no size".into(),
                "name at least one of each",
            );
        }
        let runs = e.days.len() as u64 * e.variants.len() as u64 * e.sizes.len() as u64;
        if runs.saturating_mul(e.seeds) > MAX_RUNS as u64 {
            return wrong("seeds", format!("more than {MAX_RUNS} runs"), "ask for fewer");
        }
        let names: BTreeSet<&str> = e.variants.iter().map(|v| v.name.as_str()).collect();
        if names.len() < e.variants.len() {
            return wrong("[[variants]]", "two variants have one name".into(), "rename one");
        }
        for v in &e.variants {
            if policy(&v.policy).is_none() {
                let fault = format!("no policy is named `{}`", v.policy);
                return wrong(&format!("\"{}\"", v.policy), fault, "known: module, random, least, pool");
            }
            if e.mode == Mode::Sockets && !v.policy.is_empty() && v.policy != "module" {
                let fault = format!("`{}` is for virtual time alone", v.policy);
                return wrong(&format!("\"{}\"", v.policy), fault, "write mode = \"virtual\"");
            }
        }
        if let Some(size) = e.sizes.iter().find(|s| s.load.is_some_and(|x| !(x > 0.0 && x <= 1000.0))) {
            let fault = format!("a load of {}", size.load.unwrap_or_default());
            return wrong("load", fault, "write above 0, at most 1000 times the day's rate");
        }
        Ok(e)
    }
}

fn policy(name: &str) -> Option<Policy> {
    use clap::ValueEnum as _;
    if name.is_empty() {
        return Some(Policy::Module);
    }
    Policy::from_str(name, false).ok()
}

/// One run.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    /// The day.
    pub day: String,
    /// The size.
    pub size: String,
    /// The seed.
    pub seed: u64,
    /// The variant.
    pub variant: String,
}

/// What came of a run, as a line of the results.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Run {
    /// Which.
    pub key: Key,
    /// Its order in the file.
    pub order: usize,
    /// What it was played with; results of another day, size or variant under the same names are not taken for it.
    pub print: u32,
    /// Its figures by name.
    pub figures: BTreeMap<String, f64>,
    /// Its course, of the first seed.
    pub series: Option<Series>,
}

/// Figures of a report, and whether higher is better.
pub const FIGURES: [(&str, bool); 9] = [
    ("service", true),
    ("goodput_per_s", true),
    ("served", true),
    ("refused", false),
    ("failed", false),
    ("unanswered", false),
    ("p50_ms", false),
    ("p99_ms", false),
    ("broken_rules", false),
];

/// Whether more of a figure is better; services of classes are named after them.
fn higher_is_better(figure: &str) -> bool {
    figure.starts_with("service") || FIGURES.iter().any(|(name, higher)| *name == figure && *higher)
}

fn figures(day: &Day, report: &Report, series: &Series) -> BTreeMap<String, f64> {
    let mut all = BTreeMap::new();
    let seconds = day.length.0 .0 as f64 / 1e6;
    let mut put = |name: &str, x: f64| {
        all.insert(name.to_string(), x);
    };
    let share = |n: u64| n as f64 / report.queries.max(1) as f64;
    let wanted: f64 = series.wanted.iter().zip(&series.service).map(|(n, s)| f64::from(*n) * s).sum();
    put("service", report.service);
    put("goodput_per_s", wanted / seconds.max(1e-9));
    put("served", share(report.served));
    put("refused", share(report.refused));
    put("failed", share(report.failed));
    put("unanswered", share(report.unanswered));
    put("broken_rules", report.rules.values().sum::<u64>() as f64);
    let at = |q: f64| series.latency_ms.iter().find(|(s, _)| *s == q).map_or(f64::NAN, |(_, ms)| *ms);
    // A day on which nothing was served has no latency.
    [("p50_ms", 0.5), ("p99_ms", 0.99)]
        .iter()
        .map(|(n, q)| (*n, at(*q)))
        .filter(|(_, x)| x.is_finite())
        .for_each(|(n, x)| put(n, x));
    report.classes.iter().for_each(|c| put(&format!("service {}", c.class), c.service));
    all
}

/// A run that is to be done.
struct Todo {
    key: Key,
    order: usize,
    print: u32,
    day: Day,
    policy: Policy,
    programs: Option<PathBuf>,
    draw: bool,
}

fn merge(into: &mut toml::Table, from: &toml::Table) {
    for (key, value) in from {
        match (into.get_mut(key), value) {
            (Some(toml::Value::Table(old)), toml::Value::Table(new)) => merge(old, new),
            _ => {
                into.insert(key.clone(), value.clone());
            }
        }
    }
}

/// All runs, in the order in which they are done: by seed, then day and size, and the variants of each side by side, in
/// turn from another one on.
fn todo(e: &Experiment, read: &dyn Fn(&str) -> Result<String>) -> Result<Vec<Todo>> {
    let mut texts = BTreeMap::new();
    for name in &e.days {
        texts.insert(name.clone(), read(name)?);
    }
    let mut all = Vec::new();
    for seed in e.first_seed..e.first_seed.saturating_add(e.seeds) {
        for name in &e.days {
            for size in &e.sizes {
                for turn in 0..e.variants.len() {
                    let v = &e.variants[(turn + seed as usize) % e.variants.len()];
                    let mut table: toml::Table = toml::from_str(&texts[name])
                        .map_err(|f| ConfigError::from_toml(name, &texts[name], &f))?;
                    merge(&mut table, &v.set);
                    let text = toml::to_string(&table).context("a day can't be written")?;
                    let mut day = Day::parse(&format!("{name} of variant {}", v.name), &text)?;
                    day.rate *= size.load.unwrap_or(1.0);
                    day.engines = size.engines.unwrap_or(day.engines).clamp(1, 10_000);
                    day.controllers = size.controllers.unwrap_or(day.controllers).clamp(1, 10_000);
                    // Guards against roads that name controllers which this size does not have, and would be left out.
                    day.timetable(seed)
                        .map_err(|fault| anyhow::anyhow!("{name} at {}: {fault}", size.name()))?;
                    let programs = v.programs.as_ref().map(|p| p.display().to_string()).unwrap_or_default();
                    let what = format!("{text}{size:?}{}{programs}{:?}", v.policy, e.mode);
                    all.push(Todo {
                        key: Key { day: name.clone(), size: size.name(), seed, variant: v.name.clone() },
                        order: all.len(),
                        print: crc32fast::hash(what.as_bytes()),
                        day,
                        policy: policy(&v.policy).unwrap_or_default(),
                        programs: v.programs.clone(),
                        draw: seed == e.first_seed,
                    });
                }
            }
        }
    }
    Ok(all)
}

/// Results that are at hand. A last line that was torn is left out; another one that can't be read is a fault.
///
/// # Errors
/// With the number of the line.
pub fn load(path: &Path) -> Result<Vec<Run>> {
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(Vec::new()),
        Err(e) => return Err(e).with_context(|| format!("cannot read {}", path.display())),
    };
    let mut runs = Vec::new();
    for (n, line) in text.split_inclusive('\n').enumerate() {
        // Without its end a line is torn, even where it reads as whole: the next run is written over it.
        if !line.ends_with('\n') {
            break;
        }
        match serde_json::from_str(line) {
            Ok(run) => runs.push(run),
            Err(fault) => {
                bail!("{}:{}: {fault}; remove that line, and its run is done anew", path.display(), n + 1)
            }
        }
    }
    Ok(runs)
}

fn do_one(t: &Todo, mode: Mode) -> Result<Run> {
    let (report, series) = match mode {
        Mode::Virtual => {
            let plan = Plan::draw(&t.day, t.key.seed);
            let played = virtual_time::play(&t.day, &plan, t.key.seed, t.policy)?;
            let report = play::report_virtual(&t.day, &plan, t.key.seed, &played)?;
            let series = Series::from_run(&t.day, &plan, virtual_time::start(), &played.tries, &played.log);
            (report, series)
        }
        Mode::Sockets => {
            let dir = tempfile::tempdir()?;
            let options = Options {
                seed: t.key.seed,
                dir: dir.path().to_path_buf(),
                log_level: "warn".into(),
                quiet: true,
                programs: t.programs.clone(),
                ..Options::default()
            };
            play::play_with_series(&t.day, &options)?
        }
    };
    let figures = figures(&t.day, &report, &series);
    let series = t.draw.then_some(series);
    Ok(Run { key: t.key.clone(), order: t.order, print: t.print, figures, series })
}

/// Does what is not done yet, and gives all results. Each run is a line of `runs.jsonl`, written through to the disk as it
/// ends. `jobs` days at once in virtual time; one at a time on sockets.
///
/// # Errors
/// If a day can't be read or played, or results can't be written.
#[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
pub fn run(
    e: &Experiment,
    dir: &Path,
    jobs: usize,
    read: &dyn Fn(&str) -> Result<String>,
    progress: &mut dyn FnMut(usize, usize, &Key),
) -> Result<Vec<Run>> {
    std::fs::create_dir_all(dir).with_context(|| format!("cannot make {}", dir.display()))?;
    let path = dir.join("runs.jsonl");
    let todo = todo(e, read)?;
    let mut done: BTreeMap<Key, Run> = BTreeMap::new();
    let wanted: BTreeMap<&Key, u32> = todo.iter().map(|t| (&t.key, t.print)).collect();
    let at_hand = load(&path)?;
    for run in at_hand {
        match wanted.get(&run.key) {
            Some(print) => ensure!(
                *print == run.print,
                "{} holds {:?}, played from another day or variant of that name; use another --out",
                path.display(),
                run.key
            ),
            None => continue,
        }
        done.insert(run.key.clone(), run);
    }
    // Lines are written whole, so a torn end can only be the last; it is cut off.
    let text = std::fs::read_to_string(&path).unwrap_or_default();
    let whole = text.rfind('\n').map_or(0, |n| n + 1);
    let mut out = std::fs::OpenOptions::new().create(true).append(true).open(&path)?;
    out.set_len(whole as u64)?;
    let all = todo.len();
    let rest: VecDeque<Todo> = todo.into_iter().filter(|t| !done.contains_key(&t.key)).collect();
    let left = Mutex::new(rest);
    let jobs = if e.mode == Mode::Sockets { 1 } else { jobs.max(1) };
    std::thread::scope(|scope| -> Result<()> {
        let (tell, heard) = channel();
        for _ in 0..jobs {
            let (tell, left) = (tell.clone(), &left);
            scope.spawn(move || loop {
                let next = left.lock().ok().and_then(|mut l| l.pop_front());
                let Some(t) = next else { return };
                if tell.send(do_one(&t, e.mode).with_context(|| format!("{:?}", t.key))).is_err() {
                    return;
                }
            });
        }
        drop(tell);
        for run in heard {
            let run = match run {
                Ok(run) => run,
                Err(fault) => {
                    // The others end with the run that they are at.
                    if let Ok(mut l) = left.lock() {
                        l.clear();
                    }
                    return Err(fault);
                }
            };
            let mut line = serde_json::to_string(&run)?;
            line.push('\n');
            out.write_all(line.as_bytes())?;
            out.sync_data()?;
            progress(done.len() + 1, all, &run.key);
            done.insert(run.key.clone(), run);
        }
        Ok(())
    })?;
    let mut runs: Vec<Run> = done.into_values().collect();
    runs.sort_by_key(|r| r.order);
    Ok(runs)
}

/// A figure of a day and size, for one variant and beside the first.
#[derive(Clone, Debug, Serialize)]
pub struct Cell {
    /// The day.
    pub day: String,
    /// The size.
    pub size: String,
    /// The variant.
    pub variant: String,
    /// The figure.
    pub figure: String,
    /// Its mean.
    pub mean: Interval,
    /// Beside the first variant; none for that itself.
    pub compared: Option<Compared>,
}

type Cells = BTreeMap<(String, String), BTreeMap<String, BTreeMap<u64, BTreeMap<String, f64>>>>;

fn cells(runs: &[Run]) -> Cells {
    let mut all = Cells::new();
    for run in runs {
        let by_variant = all.entry((run.key.day.clone(), run.key.size.clone())).or_default();
        by_variant.entry(run.key.variant.clone()).or_default().insert(run.key.seed, run.figures.clone());
    }
    all
}

/// Figures of one variant beside those of another, by the seeds that both have.
fn paired(
    a: &BTreeMap<u64, BTreeMap<String, f64>>,
    b: &BTreeMap<u64, BTreeMap<String, f64>>,
    figure: &str,
) -> (Vec<f64>, Vec<f64>) {
    a.iter().filter_map(|(seed, one)| Some((*one.get(figure)?, *b.get(seed)?.get(figure)?))).unzip()
}

/// All figures of all variants, each beside the first.
pub fn summarize(runs: &[Run], first: &str) -> Vec<Cell> {
    let mut out = Vec::new();
    for ((day, size), variants) in cells(runs) {
        let base = variants.get(first);
        for (variant, seeds) in &variants {
            let names: BTreeSet<&String> = seeds.values().flat_map(BTreeMap::keys).collect();
            for figure in names {
                let xs: Vec<f64> = seeds.values().filter_map(|f| f.get(figure).copied()).collect();
                let compared = base.filter(|_| variant != first).map(|base| {
                    let (a, b) = paired(base, seeds, figure);
                    compare(&a, &b, higher_is_better(figure), 1)
                });
                out.push(Cell {
                    day: day.clone(),
                    size: size.clone(),
                    variant: variant.clone(),
                    figure: figure.clone(),
                    mean: bootstrap(&xs, 1),
                    compared,
                });
            }
        }
    }
    out
}

/// The same variants of two experiments beside each other, paired by day, size, variant and seed.
pub fn compare_runs(one: &[Run], other: &[Run]) -> Vec<Cell> {
    let (one, other) = (cells(one), cells(other));
    let mut out = Vec::new();
    for ((day, size), variants) in &other {
        for (variant, seeds) in variants {
            let Some(base) = one.get(&(day.clone(), size.clone())).and_then(|v| v.get(variant)) else {
                continue;
            };
            let names: BTreeSet<&String> = seeds.values().flat_map(BTreeMap::keys).collect();
            for figure in names {
                let (a, b) = paired(base, seeds, figure);
                if a.is_empty() {
                    continue;
                }
                out.push(Cell {
                    day: day.clone(),
                    size: size.clone(),
                    variant: variant.clone(),
                    figure: figure.clone(),
                    mean: bootstrap(&b, 1),
                    compared: Some(compare(&a, &b, higher_is_better(figure), 1)),
                });
            }
        }
    }
    out
}
