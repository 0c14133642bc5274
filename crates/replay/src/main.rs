//! `wheelfield-replay`: what a controller decided, again, and why.

use anyhow::{bail, Context, Result};
use clap::{Parser, Subcommand};
use std::collections::{BTreeMap, VecDeque};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use wheelfield::interface::{EngineId, LoadReport, Micros, QueryId, Settings, Status};
use wheelfield_capture::{Reader, RecordedInput};
use wheelfield_driver::{Input, Instruction};
use wheelfield_replay::words::{self, Names};
use wheelfield_replay::{rewrite, run, shadow, Options, Player, Step, Verdict};

/// Feeds a capture to the same driver and compares the decisions.
///
/// Exit codes: 0 decisions equal (or done), 1 a difference or a damaged capture, 2 bad use.
#[derive(Parser)]
#[command(name = "wheelfield-replay", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Replays: all decisions equal, or the first difference with both sides and what came before.
    Run {
        /// The capture.
        file: PathBuf,
        /// Goes on at the next checkpoint where records are lost, and tells what can't be vouched for.
        #[arg(long)]
        over_gaps: bool,
        /// Enters at the last checkpoint before this, in seconds from the capture's first step.
        #[arg(long, value_name = "S")]
        from: Option<f64>,
        /// Replays so many times.
        #[arg(long, value_name = "N", default_value_t = 1)]
        times: u32,
    },
    /// What was told, answered and known around one query, in each capture that has it.
    Explain {
        /// The captures: of several controllers, a query tried at more than one is joined by its client's name for it.
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// The query: its number, or the name its client gave it.
        #[arg(long, value_name = "ID")]
        query: String,
    },
    /// Which decisions on arriving queries would be others under altered settings.
    WhatIf {
        /// The capture.
        file: PathBuf,
        /// A setting by its path, such as max_attempts=1 or classes.0.latency_objective=500000.
        #[arg(long = "set", value_name = "KEY=VALUE", required = true)]
        set: Vec<String>,
        /// Decisions shown one by one.
        #[arg(long, value_name = "N", default_value_t = 20)]
        most: usize,
    },
    /// Counts and sizes.
    Stats {
        /// The capture.
        file: PathBuf,
    },
    /// Every step as a line of JSON.
    Export {
        /// The capture.
        file: PathBuf,
        /// The answers of this build, in place of those recorded.
        #[arg(long)]
        replayed: bool,
    },
    /// Which decisions another build takes otherwise, or this one under another configuration: a table by kind, class and
    /// engine, and the list.
    Diff {
        /// The capture.
        file: PathBuf,
        /// The other build's wheelfield-replay, or a controller's configuration (ending in .toml).
        #[arg(long, value_name = "PROGRAM|CONFIG")]
        against: PathBuf,
        /// Decisions shown one by one.
        #[arg(long, value_name = "N", default_value_t = 20)]
        most: usize,
    },
    /// A smaller capture that still replays.
    Cut {
        /// The capture.
        file: PathBuf,
        /// In seconds from its first step,
        #[arg(long, value_name = "S", default_value_t = 0.0)]
        from: f64,
        /// to.
        #[arg(long, value_name = "S")]
        to: f64,
        /// Where it goes.
        #[arg(short, long, value_name = "FILE")]
        out: PathBuf,
    },
    /// The same without names: tenants, names of queries and keys become stable pseudonyms; no decision changes.
    Scrub {
        /// The capture.
        file: PathBuf,
        /// Where it goes.
        #[arg(short, long, value_name = "FILE")]
        out: PathBuf,
    },
    /// Writes a regression case: a scrubbed copy and a test that replays it.
    ToTest {
        /// The capture.
        file: PathBuf,
        /// Its name, of letters, digits and underscores.
        #[arg(long, value_name = "NAME")]
        name: String,
        /// The folder of the tests.
        #[arg(short, long, value_name = "DIR")]
        out: PathBuf,
    },
    /// Cuts the torn end off a file, as a crash leaves it.
    Repair {
        /// The capture.
        file: PathBuf,
    },
}

fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Run { file, over_gaps, from, times } => replay(&file, over_gaps, from, times),
        Command::Explain { files, query } => explain_all(&files, &query).map(|()| true),
        Command::WhatIf { file, set, most } => what_if(&file, &set, most).map(|()| true),
        Command::Stats { file } => stats(&file).map(|()| true),
        Command::Export { file, replayed } => export(&file, replayed).map(|()| true),
        Command::Diff { file, against, most } => diff(&file, &against, most),
        Command::Cut { file, from, to, out } => cut(&file, from, to, &out).map(|()| true),
        Command::Scrub { file, out } => scrub(&file, &out).map(|()| true),
        Command::ToTest { file, name, out } => to_test(&file, &name, &out).map(|()| true),
        Command::Repair { file } => repair(&file).map(|()| true),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(fault) => {
            eprintln!("wheelfield-replay: {fault:#}");
            ExitCode::FAILURE
        }
    }
}

fn names(player: &Player) -> Names {
    let classes = player.start.as_ref().map(|s| s.classes.clone()).unwrap_or_default();
    Names { engines: player.engines.clone(), classes }
}

/// All names that a capture tells.
fn all_names(file: &Path) -> Result<Names> {
    let mut player = Player::open(file, Options { over_gaps: true, from: None })?;
    while player.feed()?.is_some() {}
    Ok(names(&player))
}

fn first_time(file: &Path) -> Result<i64> {
    let headers = Reader::open(file)?.headers()?;
    Ok(headers.first().context("an empty capture")?.first_at)
}

fn replay(file: &Path, over_gaps: bool, from: Option<f64>, times: u32) -> Result<bool> {
    let start = first_time(file)?;
    let from = from.map(|s| Micros(start) + Micros::from_secs_f64(s));
    let mut last = Verdict::default();
    let began = std::time::Instant::now();
    for _ in 0..times.max(1) {
        last = run(file, Options { over_gaps, from })?;
        if !last.equal() {
            break;
        }
    }
    let took = began.elapsed().as_secs_f64();
    let span = last.times.map_or(0.0, |(a, b)| (b - a).as_secs_f64());
    if let Some(d) = &last.difference {
        let names = all_names(file)?;
        println!(
            "a difference at step {}, {:.3} s into the capture",
            d.recorded.number,
            (d.recorded.at - Micros(start)).as_secs_f64()
        );
        println!("before it:");
        d.before.iter().for_each(|s| show(s, start, &names, "  "));
        println!("told: {}", words::told(&d.recorded, &names));
        let side = |title: &str, out: &[Instruction]| {
            println!("{title}:");
            out.iter().for_each(|i| println!("  {}", words::answered(i, &names)));
        };
        side("recorded", &d.recorded.out);
        side("replayed", &d.replayed);
    } else if let Some(step) = last.state_differs {
        println!(
            "all decisions up to step {step} are equal, but the state at the checkpoint after it is not"
        );
    } else {
        println!(
            "equal: {} steps, {} instructions and {} checkpoints over {span:.1} s, {} times in {took:.2} s ({:.0} times real time)",
            last.steps,
            last.instructions,
            last.checkpoints,
            times.max(1),
            span * f64::from(times.max(1)) / took.max(1e-9)
        );
    }
    for (after, to) in &last.unvouched {
        println!("records are lost: nothing is vouched for from step {after} to step {to}");
    }
    if let Some(after) = last.torn_after {
        println!("the file is torn after step {after}; `repair` cuts its end off");
    }
    Ok(last.equal())
}

fn show(step: &Step, start: i64, names: &Names, indent: &str) {
    println!("{indent}{:>9.3} s  {}", (step.at - Micros(start)).as_secs_f64(), words::told(step, names));
    for i in &step.out {
        println!("{indent}             -> {}", words::answered(i, names));
    }
}

/// What was last told of an engine, and when.
#[derive(Default)]
struct Known {
    status: Option<(Micros, Status)>,
    report: Option<(Micros, LoadReport)>,
    out: i64,
    sent: u64,
    failed: Option<Micros>,
}

fn explain_all(files: &[PathBuf], wanted: &str) -> Result<()> {
    let mut found = false;
    for file in files {
        found |= explain(file, wanted, files.len() > 1)?;
    }
    if !found {
        bail!("no query `{wanted}` in any of these captures");
    }
    Ok(())
}

/// Explains a query of one capture; false if it has none of this name.
#[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
fn explain(file: &Path, wanted: &str, titled: bool) -> Result<bool> {
    let names = all_names(file)?;
    let start = first_time(file)?;
    let mut player = Player::open(file, Options { over_gaps: true, from: None })?;
    player.keep_before = true;
    let mut known: BTreeMap<EngineId, Known> = BTreeMap::new();
    let mut carries: BTreeMap<(QueryId, usize), EngineId> = BTreeMap::new();
    let mut query: Option<QueryId> = wanted.parse().ok().map(QueryId);
    let mut logs: VecDeque<(Micros, String)> = VecDeque::new();
    let mut found = false;
    let before_step = |known: &BTreeMap<EngineId, Known>, at: Micros| {
        println!("known of the engines at that moment:");
        for (id, k) in known {
            let ago = |t: Micros| format!("{:.2} s ago", (at - t).as_secs_f64());
            let status = k
                .status
                .map_or("never listed".into(), |(t, s)| format!("{s:?} since {}", ago(t)).to_lowercase());
            let load = k
                .report
                .map_or("no load told".into(), |(t, r)| format!("{} ({})", words::report(&r), ago(t)));
            let failed = k.failed.map_or(String::new(), |t| format!(", last failed {}", ago(t)));
            println!(
                "  {:<12} {status}; {load}; {} of ours out, {} sent{failed}",
                names.engine(*id),
                k.out,
                k.sent
            );
        }
    };
    while let Some((step, _, _)) = player.feed()? {
        let arrives = step.told.arrival().is_some_and(|(_, label)| label == wanted);
        if arrives {
            query = step.taken;
        }
        let concerns = |i: &Instruction| match i {
            Instruction::Start { attempt, .. }
            | Instruction::Cancel(attempt)
            | Instruction::SetOptions(attempt, _) => Some(attempt.query) == query,
            Instruction::Answer(q, _) => Some(*q) == query,
            _ => false,
        };
        let told_of = match &step.told {
            RecordedInput::Arrive { .. } | RecordedInput::ArriveAs { .. } => {
                step.taken.is_some() && step.taken == query
            }
            RecordedInput::Input(
                Input::AttemptEnded { attempt, .. }
                | Input::AttemptMeasured { attempt, .. }
                | Input::AttemptUpdated(attempt, _)
                | Input::AnswerStarted(attempt)
                | Input::Dispatched(attempt),
            ) => Some(attempt.query) == query,
            RecordedInput::Input(Input::Abandoned(q)) => Some(*q) == query,
            _ => false,
        };
        let decides = step.out.iter().any(concerns);
        if query.is_some() && (told_of || decides) {
            if titled && !found {
                let index = player.start.as_ref().map_or(0, |s| s.index);
                println!("== {} (controller {index})", file.display());
            }
            found = true;
            show(&step, start, &names, "");
            if decides {
                before_step(&known, step.at);
                for (at, text) in &logs {
                    println!("  the module had said at {:.3} s: {text}", (*at - Micros(start)).as_secs_f64());
                }
                alternatives(&player, &step, &names);
            }
        }
        // What is known grows by this step.
        match &step.told {
            RecordedInput::Input(Input::Engines { entries, .. }) => {
                for e in entries {
                    known.entry(e.engine).or_default().status = Some((step.at, e.status));
                }
            }
            RecordedInput::Input(
                Input::AttemptEnded { attempt, outcome, report, .. }
                | Input::AttemptMeasured { attempt, outcome, report, .. },
            ) => {
                if let Some(engine) = carries.remove(&(attempt.query, attempt.number)) {
                    let k = known.entry(engine).or_default();
                    k.out -= 1;
                    if *report != LoadReport::default() {
                        k.report = Some((step.at, *report));
                    }
                    if !matches!(outcome, wheelfield::interface::Outcome::Served) {
                        k.failed = Some(step.at);
                    }
                }
            }
            RecordedInput::Input(Input::ProbeEnded { engine, report, .. }) => {
                known.entry(*engine).or_default().report = Some((step.at, *report))
            }
            RecordedInput::Input(Input::PeerReports(words)) => {
                for w in words {
                    known.entry(w.engine).or_default().report = Some((step.at, w.report));
                }
            }
            _ => {}
        }
        for i in &step.out {
            match i {
                Instruction::Start { attempt, engine, .. } => {
                    carries.insert((attempt.query, attempt.number), *engine);
                    let k = known.entry(*engine).or_default();
                    (k.out, k.sent) = (k.out + 1, k.sent + 1);
                }
                Instruction::Log(text) => {
                    logs.push_back((step.at, text.clone()));
                    if logs.len() > 5 {
                        logs.pop_front();
                    }
                }
                _ => {}
            }
        }
    }
    Ok(found)
}

/// Asks the module itself: the same moment with one engine gone, engine by engine.
fn alternatives(player: &Player, step: &Step, names: &Names) {
    if step.told.arrival().is_none() {
        return;
    }
    let Some(before) = player.before() else { return };
    let sent = |out: &[Instruction]| {
        out.iter().find_map(|i| if let Instruction::Start { engine, .. } = i { Some(*engine) } else { None })
    };
    let Some(chosen) = sent(&step.out) else {
        println!("  with any single engine gone it is answered the same: it fits nowhere");
        return;
    };
    let mut open = vec![chosen];
    // Who would have it if not the one that has: each drawn in turn is taken away.
    let mut driver = before.clone();
    for _ in 0..player.engines.len() {
        let Some(last) = open.last().copied() else { return };
        let entry = wheelfield::interface::EngineEntry {
            engine: last,
            zone: 0,
            kind: 0,
            cell: 0,
            status: Status::Draining,
            started_at: None,
        };
        let mut out = Vec::new();
        driver.handle_input(step.at, Input::Engines { complete: false, entries: vec![entry] }, &mut out);
        let mut trial = driver.clone();
        let mut out = Vec::new();
        wheelfield_replay::feed(&mut trial, step.at, &step.told, &mut out);
        match sent(&out) {
            Some(next) if !open.contains(&next) => open.push(next),
            _ => break,
        }
    }
    let shown: Vec<String> = open.iter().map(|e| names.engine(*e)).collect();
    println!("  it fitted, by asking the module again without each one drawn: {}", shown.join(", "));
}

fn what_if(file: &Path, set: &[String], most: usize) -> Result<()> {
    // A wrong key is told before anything is replayed.
    let mut player = Player::open(file, Options::default())?;
    player.feed()?;
    let mut settings = player.start.clone().context("a capture without its settings")?.settings;
    for pair in set {
        let (key, value) = pair.split_once('=').with_context(|| format!("`{pair}`: write KEY=VALUE"))?;
        settings = shadow::alter(&settings, key, value).map_err(anyhow::Error::msg)?;
    }
    other_settings(file, |_| settings.clone(), most).map(|_| ())
}

/// Shows which arriving queries are decided otherwise under other settings; true if none is.
fn other_settings(file: &Path, alter: impl Fn(&Settings) -> Settings, most: usize) -> Result<bool> {
    let names = all_names(file)?;
    let comparison = shadow::compare(file, alter)?;
    println!(
        "{} of {} arriving queries are decided otherwise",
        comparison.altered.len(),
        comparison.arrivals
    );
    println!("{:<16} {:<20} {:<20} {:>8}", "class", "was", "would be", "times");
    for ((class, was, now), n) in &comparison.table {
        println!("{:<16} {:<20} {:<20} {n:>8}", names.class(*class), format!("{was:?}"), format!("{now:?}"));
    }
    for a in comparison.altered.iter().take(most) {
        let query = a.query.map_or("-".into(), |q| q.0.to_string());
        println!(
            "step {}: query {query} `{}` of {}: {:?}, would be {:?}",
            a.step,
            a.label,
            names.class(a.class),
            a.was,
            a.now
        );
    }
    Ok(comparison.altered.is_empty())
}

fn stats(file: &Path) -> Result<()> {
    let headers = Reader::open(file)?.headers()?;
    let mut player = Player::open(file, Options { over_gaps: true, from: None })?;
    let (mut kinds, mut answers): (BTreeMap<&str, u64>, BTreeMap<&str, u64>) = Default::default();
    let (mut first, mut last, mut steps) = (None, Micros(0), 0u64);
    while let Some((step, _, _)) = player.feed()? {
        steps += 1;
        first = first.or(Some(step.at));
        last = step.at;
        let kind = match &step.told {
            RecordedInput::Arrive { .. } | RecordedInput::ArriveAs { .. } => "arrivals",
            RecordedInput::Due | RecordedInput::Woke(_) => "time passed",
            RecordedInput::Input(Input::AttemptEnded { .. } | Input::AttemptMeasured { .. }) => "endings",
            RecordedInput::Input(Input::AttemptUpdated(..)) => "notes",
            RecordedInput::Input(Input::Dispatched(_)) => "written",
            RecordedInput::Input(Input::AnswerStarted(_)) => "answers begun",
            RecordedInput::Input(Input::Engines { .. } | Input::ListUnavailable) => "engine lists",
            RecordedInput::Input(Input::Abandoned(_)) => "departures",
            RecordedInput::Input(Input::ShutdownDeadline(_)) => "times up",
            RecordedInput::Input(Input::ProbeEnded { .. }) => "probes",
            RecordedInput::Input(Input::PeerReports(_)) => "messages",
            RecordedInput::Input(Input::Started) => "starts",
            RecordedInput::Input(Input::GatewayCountChanged { .. }) => "numbers of controllers",
        };
        *kinds.entry(kind).or_default() += 1;
        for i in &step.out {
            let kind = match i {
                Instruction::Start { .. } => "sends",
                Instruction::Cancel(_) => "withdrawals",
                Instruction::Answer(..) => "answers",
                Instruction::SetOptions(..) => "terms",
                Instruction::Probe(_) => "probes",
                Instruction::ShareReports(_) => "messages",
                Instruction::Subscribe => "list asked for",
                Instruction::Log(_) => "log lines",
            };
            *answers.entry(kind).or_default() += 1;
        }
    }
    let bytes: u64 = headers.iter().map(|h| u64::from(h.compressed_bytes)).sum();
    let raw: u64 = headers.iter().map(|h| u64::from(h.raw_bytes)).sum();
    let span = first.map_or(0.0, |f| (last - f).as_secs_f64());
    if let Some(s) = &player.start {
        println!("{} controller {} of {}, seed {}", s.build, s.index, s.settings.gateway_count, s.seed);
    }
    println!("{steps} steps over {span:.1} s in {} blocks: {bytes} bytes, {raw} unpacked", headers.len());
    let arrivals = kinds.get("arrivals").copied().unwrap_or(0).max(1);
    println!("{:.0} bytes a query", bytes as f64 / arrivals as f64);
    println!("told:     {kinds:?}");
    println!("answered: {answers:?}");
    Ok(())
}

fn export(file: &Path, replayed: bool) -> Result<()> {
    let mut player = Player::open(file, Options { over_gaps: true, from: None })?;
    let mut out = std::io::BufWriter::new(std::io::stdout().lock());
    while let Some((step, taken, answered)) = player.feed()? {
        let (taken, answered) = if replayed { (taken, answered) } else { (step.taken, step.out) };
        let line = serde_json::json!({
            "step": step.number, "at": step.at, "told": step.told, "taken": taken, "out": answered,
        });
        writeln!(out, "{line}")?;
    }
    Ok(out.flush()?)
}

/// Another build is asked for its answers, and they are held against this one's.
#[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
fn diff(file: &Path, against: &Path, most: usize) -> Result<bool> {
    use std::io::BufRead;
    if against.extension().is_some_and(|e| e == "toml") {
        let text =
            std::fs::read_to_string(against).with_context(|| format!("cannot read {}", against.display()))?;
        let config = wheelfield_config::parse(&against.display().to_string(), &text)?;
        return other_settings(file, |_| config.settings.clone(), most);
    }
    let names = all_names(file)?;
    let mut child = std::process::Command::new(against)
        .args(["export", "--replayed"])
        .arg(file)
        .stdout(std::process::Stdio::piped())
        .spawn()
        .with_context(|| format!("cannot start {}", against.display()))?;
    let stdout = child.stdout.take().context("no standard output")?;
    let mut theirs = std::io::BufReader::new(stdout).lines();
    let mut player = Player::open(file, Options { over_gaps: true, from: None })?;
    // Here only, and there only.
    let mut table: BTreeMap<(String, String, String), (u64, u64)> = BTreeMap::new();
    let (mut steps, mut altered, mut classes) = (0u64, 0u64, BTreeMap::new());
    while let Some((step, taken, out)) = player.feed()? {
        let line = theirs.next().context("the other build stopped early")??;
        let line: serde_json::Value = serde_json::from_str(&line)?;
        let other: Vec<Instruction> = serde_json::from_value(line["out"].clone())
            .context("the other build answers in another form: it can't be compared")?;
        steps += 1;
        if let (Some((arrival, _)), Some(q)) = (step.told.arrival(), taken) {
            classes.insert(q, arrival.class);
        }
        if other == out {
            continue;
        }
        altered += 1;
        let kind = |i: &Instruction| {
            let of = |q: &QueryId| names.class(classes.get(q).copied().unwrap_or(usize::MAX)).to_string();
            match i {
                Instruction::Start { attempt, engine, .. } => {
                    ("send".into(), of(&attempt.query), names.engine(*engine))
                }
                Instruction::Answer(q, a) => (
                    format!("{a:?}").split([' ', '{']).next().unwrap_or("").to_lowercase(),
                    of(q),
                    "-".into(),
                ),
                Instruction::Cancel(a) => ("withdraw".into(), of(&a.query), "-".into()),
                _ => ("other".to_string(), "-".to_string(), "-".to_string()),
            }
        };
        out.iter().filter(|i| !other.contains(i)).for_each(|i| table.entry(kind(i)).or_default().0 += 1);
        other.iter().filter(|i| !out.contains(i)).for_each(|i| table.entry(kind(i)).or_default().1 += 1);
        if altered <= most as u64 {
            println!("step {}: {}", step.number, words::told(&step, &names));
            out.iter().for_each(|i| println!("  here  {}", words::answered(i, &names)));
            other.iter().for_each(|i| println!("  there {}", words::answered(i, &names)));
        }
    }
    child.wait()?;
    println!("{altered} of {steps} steps are answered otherwise");
    if altered > 0 {
        println!("{:<12} {:<16} {:<14} {:>9} {:>10}", "kind", "class", "engine", "here only", "there only");
        for ((k, c, e), (here, there)) in &table {
            println!("{k:<12} {c:<16} {e:<14} {here:>9} {there:>10}");
        }
    }
    Ok(altered == 0)
}

fn cut(file: &Path, from: f64, to: f64, out: &Path) -> Result<()> {
    let start = Micros(first_time(file)?);
    let kept =
        rewrite::cut(file, start + Micros::from_secs_f64(from), start + Micros::from_secs_f64(to), out)?;
    println!("{kept} steps in {}", out.display());
    Ok(())
}

fn scrub(file: &Path, out: &Path) -> Result<()> {
    println!("{} steps in {}, each decided as before", rewrite::scrub(file, out)?, out.display());
    Ok(())
}

fn to_test(file: &Path, name: &str, out: &Path) -> Result<()> {
    let plain = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '_';
    if !name.chars().all(plain) || !name.starts_with(|c: char| c.is_ascii_lowercase()) {
        bail!("`{name}`: write a name of small letters, digits and underscores");
    }
    std::fs::create_dir_all(out).with_context(|| format!("cannot make {}", out.display()))?;
    rewrite::scrub(file, &out.join(format!("{name}.wfcap")))?;
    let test = out.join(format!("{name}.rs"));
    std::fs::write(&test, rewrite::test_of(name))
        .with_context(|| format!("cannot write {}", test.display()))?;
    println!("{} and its capture", test.display());
    Ok(())
}

fn repair(file: &Path) -> Result<()> {
    let cut = wheelfield_capture::repair(file)?;
    println!("{cut} bytes of a torn end were cut off");
    Ok(())
}
