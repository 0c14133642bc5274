//! Experiments: plays each combination of day, size, seed and variant, and compares the variants. Runs are ordered so that
//! a drift of the machine's speed affects all variants alike. An interrupted experiment resumes with the missing runs.

use crate::day::Day;
use crate::plan::Plan;
use crate::play::{self, Options, Report};
use crate::series::Series;
use crate::stats::{bootstrap, compare, Compared, Interval};
use crate::virtual_time;
use crate::virtual_time::policy::Policy;
use anyhow::{bail, ensure, Context, Result};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::Write as _;
use std::path::{Path, PathBuf};
use std::sync::mpsc::channel;
use std::sync::Mutex;
use wheelfield_config::ConfigError;

/// Maximum number of runs of an experiment.
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

/// One of the configurations that an experiment compares.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    /// Name of the variant, unique in the experiment.
    pub name: String,
    /// Routing policy of the controllers, in virtual time; the gateway module if empty.
    #[serde(default)]
    pub policy: String,
    /// Directory of the programs for runs on sockets; by default the directory of this program.
    pub programs: Option<PathBuf>,
    /// Settings of the day that this variant overrides, merged key by key: `set.means.cancel = false`.
    #[serde(default)]
    pub set: toml::Table,
}

/// A scale at which all days and variants are played. Its `Debug` output is part of [`Run::fingerprint`].
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Size {
    /// Multiplier of the day's query rate.
    pub load: Option<f64>,
    /// Number of engines, if not the day's.
    pub engines: Option<usize>,
    /// Number of controllers, if not the day's.
    pub controllers: Option<usize>,
}

impl Size {
    fn label(&self) -> String {
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

/// An experiment as described by its file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Name of the experiment, the title of its report.
    pub name: String,
    /// Whether days are played in virtual time or on sockets.
    #[serde(default)]
    pub mode: Mode,
    /// Names of built-in days, or files in the directory of the experiment's file.
    pub days: Vec<String>,
    /// The first seed.
    #[serde(default = "default_first_seed")]
    pub first_seed: u64,
    /// Number of consecutive seeds.
    pub seeds: u64,
    /// Variants; the first is the baseline of the comparisons.
    pub variants: Vec<Variant>,
    /// Sizes; by default the day's own size alone.
    #[serde(default = "default_sizes")]
    pub sizes: Vec<Size>,
}

fn default_first_seed() -> u64 {
    1
}

fn default_sizes() -> Vec<Size> {
    vec![Size::default()]
}

impl Experiment {
    /// Parses and validates the text of an experiment's file.
    ///
    /// # Errors
    /// The first [`ConfigError`] found.
    pub fn parse(name: &str, text: &str) -> Result<Experiment, ConfigError> {
        let experiment: Experiment =
            toml::from_str(text).map_err(|e| ConfigError::from_toml(name, text, &e))?;
        let position = |key: &str| text.find(key).unwrap_or(0);
        let invalid = |key: &str, error: String, hint: &str| {
            Err(ConfigError::at(name, text, position(key), error, hint))
        };
        if experiment.days.is_empty()
            || experiment.variants.is_empty()
            || experiment.seeds == 0
            || experiment.sizes.is_empty()
        {
            return invalid(
                "name",
                "an experiment needs days, variants, seeds and sizes".into(),
                "give at least one of each",
            );
        }
        let runs =
            experiment.days.len() as u64 * experiment.variants.len() as u64 * experiment.sizes.len() as u64;
        if runs.saturating_mul(experiment.seeds) > MAX_RUNS as u64 {
            return invalid(
                "seeds",
                format!("more than {MAX_RUNS} runs"),
                "reduce the days, variants, sizes or seeds",
            );
        }
        let names: BTreeSet<&str> = experiment.variants.iter().map(|v| v.name.as_str()).collect();
        if names.len() < experiment.variants.len() {
            return invalid("[[variants]]", "two variants have the same name".into(), "rename one");
        }
        for v in &experiment.variants {
            if parse_policy(&v.policy).is_none() {
                let error = format!("no policy is named `{}`", v.policy);
                return invalid(&format!("\"{}\"", v.policy), error, "known: module, random, least, pool");
            }
            if experiment.mode == Mode::Sockets && !v.policy.is_empty() && v.policy != "module" {
                let error = format!("policy `{}` works only in virtual time", v.policy);
                return invalid(&format!("\"{}\"", v.policy), error, "write mode = \"virtual\"");
            }
        }
        if let Some(size) =
            experiment.sizes.iter().find(|s| s.load.is_some_and(|x| !(x > 0.0 && x <= 1000.0)))
        {
            let error = format!("a load of {}", size.load.unwrap_or_default());
            return invalid("load", error, "write above 0, at most 1000 times the day's rate");
        }
        Ok(experiment)
    }
}

fn parse_policy(name: &str) -> Option<Policy> {
    use clap::ValueEnum as _;
    if name.is_empty() {
        return Some(Policy::Module);
    }
    Policy::from_str(name, false).ok()
}

/// Identifies one run of an experiment.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    /// Name of the day.
    pub day: String,
    /// Label of the size.
    pub size: String,
    /// Seed of the day.
    pub seed: u64,
    /// Name of the variant.
    pub variant: String,
}

/// Result of one run, stored as one line of `runs.jsonl`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Run {
    /// Identity of the run.
    pub key: Key,
    /// Position of the run in the experiment's execution order.
    pub order: usize,
    /// Checksum of the day, size and variant that were played; tells apart runs that differ only in what their names stand for.
    #[serde(rename = "print")]
    pub fingerprint: u32,
    /// Metrics by name.
    #[serde(rename = "figures")]
    pub metrics: BTreeMap<String, f64>,
    /// Time series, kept for the first seed only.
    pub series: Option<Series>,
}

/// Metrics of a report, and whether higher is better.
pub const METRICS: [(&str, bool); 9] = [
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

/// Whether a higher value of a metric is better. The service of each class is a metric named `service CLASS`.
fn higher_is_better(metric: &str) -> bool {
    metric.starts_with("service") || METRICS.iter().any(|(name, higher)| *name == metric && *higher)
}

fn collect_metrics(day: &Day, report: &Report, series: &Series) -> BTreeMap<String, f64> {
    let mut all = BTreeMap::new();
    let seconds = day.length.0 .0 as f64 / 1e6;
    let mut put = |name: &str, x: f64| {
        all.insert(name.to_string(), x);
    };
    let share = |n: u64| n as f64 / report.queries.max(1) as f64;
    let served_in_time: f64 =
        series.queries_due.iter().zip(&series.service).map(|(n, s)| f64::from(*n) * s).sum();
    put("service", report.service);
    put("goodput_per_s", served_in_time / seconds.max(1e-9));
    put("served", share(report.served));
    put("refused", share(report.refused));
    put("failed", share(report.failed));
    put("unanswered", share(report.unanswered));
    put("broken_rules", report.rules.values().sum::<u64>() as f64);
    let at = |q: f64| series.latency_ms.iter().find(|(s, _)| *s == q).map_or(f64::NAN, |(_, ms)| *ms);
    // The latency is undefined if no query was served.
    [("p50_ms", 0.5), ("p99_ms", 0.99)]
        .iter()
        .map(|(n, q)| (*n, at(*q)))
        .filter(|(_, x)| x.is_finite())
        .for_each(|(n, x)| put(n, x));
    report.classes.iter().for_each(|c| put(&format!("service {}", c.class), c.service));
    all
}

/// A run to be executed.
struct PendingRun {
    key: Key,
    order: usize,
    fingerprint: u32,
    day: Day,
    policy: Policy,
    programs: Option<PathBuf>,
    keep_series: bool,
}

fn merge_tables(into: &mut toml::Table, from: &toml::Table) {
    for (key, value) in from {
        match (into.get_mut(key), value) {
            (Some(toml::Value::Table(old)), toml::Value::Table(new)) => merge_tables(old, new),
            _ => {
                into.insert(key.clone(), value.clone());
            }
        }
    }
}

/// All runs, in execution order: by seed, day and size. The variants of one seed, day and size run one after the other, and
/// the variant that runs first changes with each seed.
fn pending_runs(experiment: &Experiment, read: &dyn Fn(&str) -> Result<String>) -> Result<Vec<PendingRun>> {
    let mut texts = BTreeMap::new();
    for name in &experiment.days {
        texts.insert(name.clone(), read(name)?);
    }
    let mut all = Vec::new();
    for seed in experiment.first_seed..experiment.first_seed.saturating_add(experiment.seeds) {
        for name in &experiment.days {
            for size in &experiment.sizes {
                for offset in 0..experiment.variants.len() {
                    let v = &experiment.variants[(offset + seed as usize) % experiment.variants.len()];
                    let mut table: toml::Table = toml::from_str(&texts[name])
                        .map_err(|f| ConfigError::from_toml(name, &texts[name], &f))?;
                    merge_tables(&mut table, &v.set);
                    let text = toml::to_string(&table)
                        .context("cannot serialize a day after merging a variant's settings")?;
                    let mut day = Day::parse(&format!("{name} of variant {}", v.name), &text)?;
                    day.rate *= size.load.unwrap_or(1.0);
                    day.engines = size.engines.unwrap_or(day.engines).clamp(1, 10_000);
                    day.controllers = size.controllers.unwrap_or(day.controllers).clamp(1, 10_000);
                    // Rejects `[[roads]]` entries that name controllers which don't exist at this size.
                    day.timetable(seed)
                        .map_err(|error| anyhow::anyhow!("{name} at {}: {error}", size.label()))?;
                    let programs = v.programs.as_ref().map(|p| p.display().to_string()).unwrap_or_default();
                    let identity = format!("{text}{size:?}{}{programs}{:?}", v.policy, experiment.mode);
                    all.push(PendingRun {
                        key: Key { day: name.clone(), size: size.label(), seed, variant: v.name.clone() },
                        order: all.len(),
                        fingerprint: crc32fast::hash(identity.as_bytes()),
                        day,
                        policy: parse_policy(&v.policy).unwrap_or_default(),
                        programs: v.programs.clone(),
                        keep_series: seed == experiment.first_seed,
                    });
                }
            }
        }
    }
    Ok(all)
}

/// Reads recorded results. A last line that is incomplete is skipped.
///
/// # Errors
/// If the file or one of its other lines can't be read; the error names the line.
pub fn load_runs(path: &Path) -> Result<Vec<Run>> {
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(Vec::new()),
        Err(e) => return Err(e).with_context(|| format!("cannot read {}", path.display())),
    };
    let mut runs = Vec::new();
    for (n, line) in text.split_inclusive('\n').enumerate() {
        // A line without a newline is incomplete, even if it parses: the next run overwrites it.
        if !line.ends_with('\n') {
            break;
        }
        match serde_json::from_str(line) {
            Ok(run) => runs.push(run),
            Err(error) => {
                bail!("{}:{}: {error}; remove that line to repeat its run", path.display(), n + 1)
            }
        }
    }
    Ok(runs)
}

fn execute_run(t: &PendingRun, mode: Mode) -> Result<Run> {
    let (report, series) = match mode {
        Mode::Virtual => {
            let plan = Plan::draw(&t.day, t.key.seed);
            let played = virtual_time::simulate(&t.day, &plan, t.key.seed, t.policy)?;
            let report = play::report_virtual(&t.day, &plan, t.key.seed, &played)?;
            let series = Series::from_run(
                &t.day,
                &plan,
                virtual_time::first_arrival_time(),
                &played.tries,
                &played.log,
            );
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
    let metrics = collect_metrics(&t.day, &report, &series);
    let series = t.keep_series.then_some(series);
    Ok(Run { key: t.key.clone(), order: t.order, fingerprint: t.fingerprint, metrics, series })
}

/// Executes the runs that have no recorded result, and returns all results. Each result is appended to `runs.jsonl` and
/// synced to disk when its run ends. Runs up to `jobs` days at once in virtual time, and one at a time on sockets.
///
/// # Errors
/// If a day can't be read or played, or results can't be written.
#[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
pub fn run(
    experiment: &Experiment,
    dir: &Path,
    jobs: usize,
    read: &dyn Fn(&str) -> Result<String>,
    progress: &mut dyn FnMut(usize, usize, &Key),
) -> Result<Vec<Run>> {
    std::fs::create_dir_all(dir).with_context(|| format!("cannot create {}", dir.display()))?;
    let path = dir.join("runs.jsonl");
    let pending = pending_runs(experiment, read)?;
    let mut done: BTreeMap<Key, Run> = BTreeMap::new();
    let expected: BTreeMap<&Key, u32> = pending.iter().map(|t| (&t.key, t.fingerprint)).collect();
    let recorded = load_runs(&path)?;
    for run in recorded {
        match expected.get(&run.key) {
            Some(fingerprint) => ensure!(
                *fingerprint == run.fingerprint,
                "{} holds a result of {:?} that was played with a different day, size or variant of that name; use another --out",
                path.display(),
                run.key
            ),
            None => continue,
        }
        done.insert(run.key.clone(), run);
    }
    // Only the last line can be incomplete, after an interrupted write; it is truncated.
    let text = std::fs::read_to_string(&path).unwrap_or_default();
    let complete_bytes = text.rfind('\n').map_or(0, |n| n + 1);
    let mut out = std::fs::OpenOptions::new().create(true).append(true).open(&path)?;
    out.set_len(complete_bytes as u64)?;
    let all = pending.len();
    let remaining: VecDeque<PendingRun> =
        pending.into_iter().filter(|t| !done.contains_key(&t.key)).collect();
    let queue = Mutex::new(remaining);
    let jobs = if experiment.mode == Mode::Sockets { 1 } else { jobs.max(1) };
    std::thread::scope(|scope| -> Result<()> {
        let (sender, receiver) = channel();
        for _ in 0..jobs {
            let (sender, queue) = (sender.clone(), &queue);
            scope.spawn(move || loop {
                let next = queue.lock().ok().and_then(|mut l| l.pop_front());
                let Some(t) = next else { return };
                if sender
                    .send(execute_run(&t, experiment.mode).with_context(|| format!("{:?}", t.key)))
                    .is_err()
                {
                    return;
                }
            });
        }
        drop(sender);
        for run in receiver {
            let run = match run {
                Ok(run) => run,
                Err(error) => {
                    // The other threads end after their current run.
                    if let Ok(mut l) = queue.lock() {
                        l.clear();
                    }
                    return Err(error);
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

/// Summary of one metric for one day, size and variant.
#[derive(Clone, Debug, Serialize)]
pub struct MetricSummary {
    /// Name of the day.
    pub day: String,
    /// Label of the size.
    pub size: String,
    /// Name of the variant.
    pub variant: String,
    /// Name of the metric.
    #[serde(rename = "figure")]
    pub metric: String,
    /// Mean over all seeds.
    pub mean: Interval,
    /// Comparison with the baseline; none for the baseline itself.
    pub compared: Option<Compared>,
}

/// Metrics by day and size, variant, seed and metric name.
type GroupedMetrics = BTreeMap<(String, String), BTreeMap<String, BTreeMap<u64, BTreeMap<String, f64>>>>;

fn group_metrics(runs: &[Run]) -> GroupedMetrics {
    let mut all = GroupedMetrics::new();
    for run in runs {
        let by_variant = all.entry((run.key.day.clone(), run.key.size.clone())).or_default();
        by_variant.entry(run.key.variant.clone()).or_default().insert(run.key.seed, run.metrics.clone());
    }
    all
}

/// Values of a metric for two variants, for the seeds that both have.
fn paired_values(
    a: &BTreeMap<u64, BTreeMap<String, f64>>,
    b: &BTreeMap<u64, BTreeMap<String, f64>>,
    metric: &str,
) -> (Vec<f64>, Vec<f64>) {
    a.iter().filter_map(|(seed, one)| Some((*one.get(metric)?, *b.get(seed)?.get(metric)?))).unzip()
}

/// Summarizes all metrics of all variants, each compared with the variant `baseline`.
pub fn summarize(runs: &[Run], baseline: &str) -> Vec<MetricSummary> {
    let mut out = Vec::new();
    for ((day, size), variants) in group_metrics(runs) {
        let baseline_seeds = variants.get(baseline);
        for (variant, seeds) in &variants {
            let names: BTreeSet<&String> = seeds.values().flat_map(BTreeMap::keys).collect();
            for metric in names {
                let xs: Vec<f64> = seeds.values().filter_map(|f| f.get(metric).copied()).collect();
                let compared = baseline_seeds.filter(|_| variant != baseline).map(|baseline_seeds| {
                    let (a, b) = paired_values(baseline_seeds, seeds, metric);
                    compare(&a, &b, higher_is_better(metric), 1)
                });
                out.push(MetricSummary {
                    day: day.clone(),
                    size: size.clone(),
                    variant: variant.clone(),
                    metric: metric.clone(),
                    mean: bootstrap(&xs, 1),
                    compared,
                });
            }
        }
    }
    out
}

/// Compares each variant of one experiment with the same variant of another, paired by day, size, variant and seed.
pub fn compare_runs(one: &[Run], other: &[Run]) -> Vec<MetricSummary> {
    let (one, other) = (group_metrics(one), group_metrics(other));
    let mut out = Vec::new();
    for ((day, size), variants) in &other {
        for (variant, seeds) in variants {
            let Some(baseline_seeds) = one.get(&(day.clone(), size.clone())).and_then(|v| v.get(variant))
            else {
                continue;
            };
            let names: BTreeSet<&String> = seeds.values().flat_map(BTreeMap::keys).collect();
            for metric in names {
                let (a, b) = paired_values(baseline_seeds, seeds, metric);
                if a.is_empty() {
                    continue;
                }
                out.push(MetricSummary {
                    day: day.clone(),
                    size: size.clone(),
                    variant: variant.clone(),
                    metric: metric.clone(),
                    mean: bootstrap(&b, 1),
                    compared: Some(compare(&a, &b, higher_is_better(metric), 1)),
                });
            }
        }
    }
    out
}
