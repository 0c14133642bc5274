//! A day from its script to its verdict.

use crate::client_pool::{Attempt, ClientPool, ClientSettings};
use crate::day::Day;
use crate::evidence::RunContext;
use crate::fleet::judge::{self, MembershipHistory, Verdict};
use crate::plan::Plan;
use crate::series::Series;
use crate::stage::{act_on_system, Setting, Stage};
use crate::virtual_time::policy::Policy;
use crate::virtual_time::{self, SimulationResult};
use anyhow::{anyhow, Context, Result};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::mpsc::channel;
use std::time::Duration;
use wheelfield_console::{err, outln};
use wheelfield_invariants::{parse_event_log, ClientOutcome, Violation, RULES};
use wheelfield_net::Clock;

/// The stage is set this long before the first query.
const LEAD: i64 = 500_000;
/// After the last fault between controllers they must come to one view within this; how soon they do is told.
const AGREES_WITHIN: i64 = 120_000_000;

/// How a day is to be played.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Seed of the day.
    pub seed: u64,
    /// Where logs go.
    pub dir: PathBuf,
    /// A fault planted in the controllers.
    pub plant: Option<String>,
    /// What controllers log.
    pub log_level: String,
    /// Controllers record what their drivers are told and answer, in files ending in .wfcap.
    pub capture: bool,
    /// Progress on standard error.
    pub quiet: bool,
    /// Where the programs are; beside this one if it is not said.
    pub programs: Option<PathBuf>,
    /// Where the controller of another build is, that every second one runs.
    pub beside: Option<PathBuf>,
}

/// What became of a class.
#[derive(Clone, Debug, Default, Serialize)]
pub struct OfClass {
    /// Its name.
    pub class: String,
    /// Queries, further tries not counted.
    pub queries: u64,
    /// Share of its worth that was answered in time.
    pub service: f64,
    /// Queries whose last try was served,
    pub served: u64,
    /// refused,
    pub refused: u64,
    /// failed.
    pub failed: u64,
    /// Latency of served tries, in milliseconds: the half,
    pub p50_ms: f64,
    /// ninety-nine in a hundred.
    pub p99_ms: f64,
}

/// What became of a day.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// The day's name.
    pub day: String,
    /// Its seed.
    pub seed: u64,
    /// Tries sent to controllers.
    pub queries: u64,
    /// Final answers that came.
    pub answers: u64,
    /// Of them served,
    pub served: u64,
    /// refused,
    pub refused: u64,
    /// failed.
    pub failed: u64,
    /// Tries without an answer: their clients left, or their controller was killed or not there.
    pub unanswered: u64,
    /// Share of all worth that was answered in time.
    pub service: f64,
    /// Breaches of each rule.
    pub rules: BTreeMap<&'static str, u64>,
    /// By class.
    pub classes: Vec<OfClass>,
    /// 99th percentile of how late clients sent their queries, in milliseconds.
    pub sent_late_p99_ms: f64,
    /// The largest multiple of what it could do that a cold engine was sent within the span of rule 4; that rule has a bound.
    pub cold_peak: f64,
    /// Processor seconds of all controllers.
    pub controller_cpu_s: f64,
    /// System calls of controllers that failed by a fault of the script.
    pub failed_calls: u64,
    /// The first breaches.
    pub breaches: Vec<Violation>,
    /// What the controllers believed of each other, where the script tells of roads between them.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fleet: Option<OfFleet>,
}

/// What became of a fleet whose roads had faults.
#[derive(Clone, Debug, Default, Serialize)]
pub struct OfFleet {
    /// What was believed.
    pub verdict: Verdict,
    /// After the last fault all processes came to one view, with a number of its own for each.
    pub agreed: bool,
    /// From the end of the last fault to the last thing that any process learned of another, in milliseconds.
    pub settled_ms: f64,
    /// Suspicions that the processes which run at the end raised by their own looks, for a member and hour.
    pub suspicions: f64,
    /// Bytes of gossip sent a second, by a member.
    pub bytes: f64,
    /// Words that the processes which run at the end heard, did not take, and held back by a ceiling.
    pub words: [u64; 3],
    /// Datagrams that a road lost, cut off, crowded out, doubled or spoilt.
    pub hurt: u64,
}

impl Report {
    /// All rules were kept.
    pub fn kept(&self) -> bool {
        let fleet = self.fleet.as_ref().is_none_or(|f| f.agreed && f.verdict.passed());
        fleet && self.rules.values().all(|n| *n == 0)
    }
}

/// Plays a day.
///
/// # Errors
/// If the stage can't be set, or comes down by itself.
pub fn play(day: &Day, options: &Options) -> Result<Report> {
    Ok(play_with_series(day, options)?.0)
}

/// The same, with its course.
///
/// # Errors
/// As [`play`].
#[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
pub fn play_with_series(day: &Day, options: &Options) -> Result<(Report, Series)> {
    let plan = Plan::draw(day, options.seed);
    let clock = Clock::start();
    let setting = Setting {
        dir: options.dir.clone(),
        seed: options.seed,
        plant: options.plant.clone(),
        // Who suspects whom is the judge's evidence.
        log_level: match day.roads.is_empty() {
            true => options.log_level.clone(),
            false => format!("{},wheelfield_pg_gateway::gossip=debug", options.log_level),
        },
        capture: options.capture.then_some(0),
        programs: options.programs.clone(),
        beside: options.beside.clone(),
    };
    let mut stage = Stage::set(day, &plan, setting, clock)?;
    let start = clock.now() + LEAD;
    let roads = plan.network_faults.clone().shifted_by(start);
    stage.begin_roads(roads.clone())?;
    let (sender, receiver) = channel();
    for change in stage.doors() {
        sender.send(change).map_err(|_| anyhow!("the clients have ended"))?;
    }
    let settings = ClientSettings {
        classes: day.classes.clone(),
        tenants: day.tenants.iter().map(|t| t.name.clone()).collect(),
        habits: day.habits.clone(),
        connections: day.clients,
        seed: options.seed,
    };
    let clients = ClientPool::new(&plan, settings, day.controllers, receiver, clock, start)?;
    let longest = day.classes.iter().map(|c| c.deadline.0 .0).max().unwrap_or(0);
    let end = start + day.length.0 .0 + 2 * longest + 5_000_000;
    let (length, quiet) = (day.length.0 .0, options.quiet);
    let progress = move |at: i64, t: crate::client_pool::ClientCounts| {
        if !quiet {
            err!(
                "\r{:>3} of {} s: {} sent, {} served, {} refused, {} failed, {} other ",
                at / 1_000_000,
                length / 1_000_000,
                t.sent,
                t.served,
                t.refused,
                t.failed,
                t.other
            );
        }
    };
    // The blows fall from a thread of their own, as a process that starts must not hold up the clients.
    let system_faults = stage.system_faults();
    let (tries, directed) = std::thread::scope(|scope| {
        let system_director = scope.spawn(|| -> Result<()> {
            for (at, action) in &plan.actions {
                std::thread::sleep(clock.until(start + at));
                act_on_system(action, &system_faults)?;
            }
            Ok(())
        });
        let director = scope.spawn(|| -> Result<()> {
            for (at, act) in &plan.actions {
                std::thread::sleep(clock.until(start + at));
                for change in stage.act(act).with_context(|| format!("{act:?}"))? {
                    // The clients may have finished already.
                    let _ = sender.send(change);
                }
            }
            Ok(())
        });
        let tries = clients.run(end, progress);
        let directed = [director.join(), system_director.join()]
            .into_iter()
            .try_for_each(|result| result.map_err(|_| anyhow!("a director panicked"))?);
        (tries, directed)
    });
    if !options.quiet {
        err!("\n");
    }
    let tries = tries?;
    directed?;
    let fleet = match stage.reached().map(<[_]>::to_vec) {
        Some(reached) => {
            let acts = plan.actions.iter().map(|(at, _)| start + at).max();
            let healed = roads.ends_at().max(acts).unwrap_or(start);
            std::thread::sleep(clock.until(healed));
            let agreed = agree(&stage, clock);
            Some((
                reached,
                healed,
                agreed,
                summed(&stage, ["gossip_suspected", "words_heard", "words_untaken", "words_unsent"]),
                clock.now(),
            ))
        }
        None => None,
    };
    stage.end()?;
    let carried = stage.end_roads()?;
    let log_file = options.dir.join("engines.jsonl");
    let text =
        std::fs::read_to_string(&log_file).with_context(|| format!("cannot read {}", log_file.display()))?;
    let mut log = parse_event_log(&text)?;
    if let Some(lists) = &stage.lists {
        let text = std::fs::read_to_string(lists.log())?;
        log.extend(parse_event_log(&text)?);
        log.sort_by_key(|l| l.at);
    }
    let settings = day.settings()?;
    let context = RunContext { day, settings: &settings, plan: &plan, start };
    let (breaches, cold_peak) = context.check(&tries, &log, &stage.lives);
    let mut report = sum_up(day, &plan, start, &tries, breaches);
    (report.seed, report.cold_peak, report.controller_cpu_s) = (options.seed, cold_peak, stage.spent);
    report.failed_calls = stage.failed_calls()?;
    if let (Some((reached, healed, agreed, [suspicions, words @ ..], until)), Some(carried)) =
        (fleet, carried)
    {
        let mut lines = Vec::new();
        for by in 0..day.controllers {
            let text = std::fs::read_to_string(options.dir.join(format!("controller-{by}.jsonl")))?;
            lines.extend(text.lines().filter_map(|l| judge::parse_log_line(by, l)));
        }
        let evidence = MembershipHistory {
            addresses: &reached,
            lifetimes: &stage.lives,
            fault_schedule: &roads,
            starts_at: start,
            ends_at: until,
        };
        let told = |l: &&judge::MembershipLogEntry| {
            matches!(l.event, judge::MembershipEvent::Member(..)) && l.at <= until
        };
        let last = lines.iter().filter(told).map(|l| l.at).max().unwrap_or(healed);
        let sum = carried
            .by_sender
            .iter()
            .fold(wheelfield_network_faults::LinkCounters::default(), |sum, c| sum.merge(*c));
        let member_hours = day.controllers as f64 * (until - start) as f64 / 3.6e9;
        report.fleet = Some(OfFleet {
            verdict: evidence.judge(&lines, day.patience()),
            agreed,
            settled_ms: (last - healed).max(0) as f64 / 1e3,
            suspicions: suspicions as f64 / member_hours,
            bytes: sum.bytes as f64 / (member_hours * 3_600.0),
            words,
            hurt: sum.blocked + sum.lost + sum.queue_overflows + sum.duplicated + sum.corrupted,
        });
    }
    let lines: Vec<String> = tries.iter().map(|t| serde_json::to_string(t).unwrap_or_default()).collect();
    std::fs::write(options.dir.join("clients.jsonl"), lines.join("\n"))?;
    std::fs::write(options.dir.join("report.json"), serde_json::to_string_pretty(&report)?)?;
    let series = Series::from_run(day, &plan, start, &tries, &log);
    Ok((report, series))
}

/// Figures of the controllers that run, added up.
fn summed<const N: usize>(stage: &Stage, names: [&str; N]) -> [u64; N] {
    let pages: Vec<_> = stage.running().into_iter().filter_map(|c| stage.status(c)).collect();
    names.map(|name| pages.iter().filter_map(|p| p["figures"][name].as_u64()).sum())
}

/// Waits until all controllers that run act on the same count, hear all of each other, and have a number each; false if they
/// don't come to it in time.
fn agree(stage: &Stage, clock: Clock) -> bool {
    let until = clock.now() + AGREES_WITHIN;
    let running = stage.running();
    while clock.now() < until {
        let told: Vec<_> = running.iter().filter_map(|c| stage.status(*c)).collect();
        let figure = |t: &serde_json::Value, name: &str| t["figures"][name].as_u64();
        let one = |t: &serde_json::Value| {
            let alive = figure(t, "gossip_alive") == Some(running.len() as u64);
            alive && figure(t, "gossip_count") == figure(&told[0], "gossip_count")
        };
        let numbers: std::collections::BTreeSet<_> = told.iter().map(|t| figure(t, "gossip_index")).collect();
        // Builds before views had digests tell of none.
        let digests: std::collections::BTreeSet<_> =
            told.iter().filter_map(|t| t["gossip"]["digest"].as_str()).collect();
        if told.len() == running.len() && told.iter().all(one) && digests.len() <= 1 {
            let tell = told.iter().all(|t| t["gossip"]["digest"].is_string());
            // One view gives each a number of its own: two with one are a fault that no waiting mends.
            if numbers.len() == told.len() || tell {
                return numbers.len() == told.len();
            }
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    false
}

/// Plays a day in virtual time.
///
/// # Errors
/// The first fault of its script.
pub fn play_virtual(day: &Day, seed: u64, policy: Policy) -> Result<(Report, SimulationResult)> {
    let plan = Plan::draw(day, seed);
    let played = virtual_time::simulate(day, &plan, seed, policy)?;
    Ok((report_virtual(day, &plan, seed, &played)?, played))
}

/// What became of a day in virtual time.
///
/// # Errors
/// The first fault of its script.
pub fn report_virtual(day: &Day, plan: &Plan, seed: u64, played: &SimulationResult) -> Result<Report> {
    let settings = day.settings()?;
    let start = virtual_time::first_arrival_time();
    let context = RunContext { day, settings: &settings, plan, start };
    let (breaches, cold_peak) = context.check(&played.tries, &played.log, &played.lifetimes);
    let mut report = sum_up(day, plan, start, &played.tries, breaches);
    (report.seed, report.cold_peak) = (seed, cold_peak);
    Ok(report)
}

#[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
fn sum_up(day: &Day, plan: &Plan, start: i64, tries: &[Attempt], breaches: Vec<Violation>) -> Report {
    let mut report = Report { day: day.name.clone(), ..Report::default() };
    let mut latencies: Vec<Histogram<u64>> = day
        .classes
        .iter()
        .map(|_| Histogram::new_with_bounds(1, 3_600_000_000, 3))
        .filter_map(Result::ok)
        .collect();
    let mut late = Histogram::<u64>::new_with_bounds(1, 3_600_000_000, 3).ok();
    let mut last: BTreeMap<usize, &Attempt> = BTreeMap::new();
    for t in tries {
        report.queries += 1;
        match t.end {
            Some(ClientOutcome::Served) => report.served += 1,
            Some(ClientOutcome::Refused) => report.refused += 1,
            Some(ClientOutcome::Failed) => report.failed += 1,
            _ => report.unanswered += 1,
        }
        let class = plan.arrivals[t.arrival].class;
        if t.end == Some(ClientOutcome::Served) {
            if let Some(h) = latencies.get_mut(class) {
                // From when it was to be sent, whatever held it up.
                let _ = h.record((t.ended - t.sent + t.late_us).max(1) as u64);
            }
        }
        if let Some(late) = &mut late {
            let _ = late.record(t.late_us.max(1) as u64);
        }
        last.insert(t.arrival, t);
    }
    report.answers = report.served + report.refused + report.failed;
    report.sent_late_p99_ms = late.map_or(0.0, |h| h.value_at_quantile(0.99) as f64 / 1e3);
    let mut classes: Vec<OfClass> =
        day.classes.iter().map(|c| OfClass { class: c.name.clone(), ..OfClass::default() }).collect();
    let (mut worth, mut got) = (vec![0.0; classes.len()], vec![0.0; classes.len()]);
    for (i, a) in plan.arrivals.iter().enumerate() {
        let (c, of) = (&day.classes[a.class], &mut classes[a.class]);
        of.queries += 1;
        let Some(t) = last.get(&i) else { continue };
        if t.end == Some(ClientOutcome::Left) {
            // Nobody waits for it any more.
            of.queries -= 1;
            continue;
        }
        worth[a.class] += c.worth;
        match t.end {
            Some(ClientOutcome::Served) => {
                of.served += 1;
                // From when it was first wanted: further tries belong to the first.
                let took = t.ended - (start + a.at);
                let aim = c.aim.0 .0 as f64 + c.aim_stretch * a.work / c.threads * 1e6;
                got[a.class] += if took as f64 <= aim { c.worth } else { c.worth * c.late_worth };
            }
            Some(ClientOutcome::Refused) => of.refused += 1,
            _ => of.failed += 1,
        }
    }
    for (i, of) in classes.iter_mut().enumerate() {
        of.service = if worth[i] > 0.0 { got[i] / worth[i] } else { 1.0 };
        if let Some(h) = latencies.get(i) {
            of.p50_ms = h.value_at_quantile(0.5) as f64 / 1e3;
            of.p99_ms = h.value_at_quantile(0.99) as f64 / 1e3;
        }
    }
    report.service = got.iter().sum::<f64>() / worth.iter().sum::<f64>().max(1e-9);
    report.classes = classes;
    report.rules = RULES
        .iter()
        .map(|rule| (*rule, breaches.iter().filter(|b| b.rule == *rule).count() as u64))
        .collect();
    report.breaches = breaches.into_iter().take(50).collect();
    report
}

/// The report for people.
#[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
pub fn print(report: &Report, out: &mut impl std::io::Write) -> std::io::Result<()> {
    writeln!(out, "{} (seed {})", report.day, report.seed)?;
    writeln!(
        out,
        "{} tries: {} served, {} refused, {} failed, {} without an answer (client left, controller killed)",
        report.queries, report.served, report.refused, report.failed, report.unanswered
    )?;
    writeln!(out, "service {:.3} of the worth asked for, in time", report.service)?;
    writeln!(
        out,
        "{:<16} {:>8} {:>8} {:>8} {:>8} {:>8} {:>10} {:>10}",
        "class", "queries", "service", "served", "refused", "failed", "p50 ms", "p99 ms"
    )?;
    for c in &report.classes {
        writeln!(
            out,
            "{:<16} {:>8} {:>8.3} {:>8} {:>8} {:>8} {:>10.1} {:>10.1}",
            c.class, c.queries, c.service, c.served, c.refused, c.failed, c.p50_ms, c.p99_ms
        )?;
    }
    writeln!(
        out,
        "controllers used {:.2} s of processor; clients sent up to {:.1} ms late (p99)",
        report.controller_cpu_s, report.sent_late_p99_ms
    )?;
    if report.failed_calls > 0 {
        writeln!(out, "{} system calls of controllers failed by a fault of the script", report.failed_calls)?;
    }
    for (i, rule) in RULES.iter().enumerate() {
        let n = report.rules.get(rule).copied().unwrap_or(0);
        writeln!(
            out,
            "rule {} {:<10} {}",
            i + 1,
            rule,
            if n == 0 { "kept".to_string() } else { format!("BROKEN {n} times") }
        )?;
    }
    if let Some(f) = &report.fleet {
        let v = &f.verdict;
        writeln!(
            out,
            "fleet: {} after the last fault, last news {:.1} s after it; {} datagrams hurt on roads; {:.0} bytes a second and member",
            if f.agreed { "one view" } else { "NO ONE VIEW" },
            f.settled_ms / 1e3,
            f.hurt,
            f.bytes
        )?;
        let [heard, untaken, unsent] = f.words;
        if heard + untaken > 0 {
            writeln!(
                out,
                "fleet: {heard} words of others heard, {untaken} not taken, {unsent} held back by a ceiling"
            )?;
        }
        writeln!(
            out,
            "fleet: {:.0} suspicions raised a member and hour, {} believed of members that ran; {} given up behind cuts and pauses",
            f.suspicions, v.false_suspicions, v.declared_dead_unreachable
        )?;
        let (deaths, half, most) = (v.deaths, v.detection_p50_ms / 1e3, v.detection_max_ms / 1e3);
        if deaths > 0 {
            writeln!(out, "fleet: {deaths} deaths found after {half:.1} s (half of them) to {most:.1} s")?;
        }
        for (what, wrong) in [
            ("acts on too few", &v.undercounts),
            ("acts on too many", &v.overcounts),
            ("gives up who runs", &v.declared_dead_reachable),
        ] {
            let n = wrong.len();
            writeln!(
                out,
                "fleet: {what:<18} {}",
                if n == 0 { "never".into() } else { format!("{n} TIMES") }
            )?;
            for w in wrong.iter().take(5) {
                writeln!(out, "  at {:.2} s: {}", w.at as f64 / 1e6, w.description)?;
            }
        }
    }
    for b in report.breaches.iter().take(10) {
        writeln!(out, "  {} at {:.2} s: {}", b.rule, b.at as f64 / 1e6, b.description)?;
    }
    Ok(())
}

/// Stays until a signal comes; gives the addresses of a controller and its stand-ins to whoever asks.
///
/// # Errors
/// If the stage can't be set.
pub fn stay(
    day: &Day,
    options: &Options,
    listen: std::net::SocketAddr,
    stop: &std::sync::atomic::AtomicBool,
) -> Result<()> {
    let plan = Plan::draw(day, options.seed);
    let setting = Setting {
        dir: options.dir.clone(),
        seed: options.seed,
        plant: None,
        log_level: "info".into(),
        capture: None,
        programs: None,
        beside: None,
    };
    let mut stage = Stage::set_at(day, &plan, setting, Clock::start(), Some(listen))?;
    for change in stage.doors() {
        if let crate::stage::Change::Up(_, address) = change {
            outln!(
                "a controller listens on {address}; try: psql 'host={} port={} user=me dbname=lab'",
                address.ip(),
                address.port()
            );
        }
    }
    outln!("stand-in engines: {}", stage.engine_addresses().join(", "));
    outln!(
        "hints ask for rows and work: select 1 /*rows='5',run_ms='200'*/; ^C ends it; logs in {}",
        options.dir.display()
    );
    while !stop.load(std::sync::atomic::Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(100));
    }
    stage.end()
}
