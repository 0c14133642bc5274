//! Runs a day, on processes or in virtual time, checks the rules and summarizes the result.

use crate::client_pool::{Attempt, ClientPool, ClientSettings};
use crate::cluster::{apply_system_fault, Cluster, ClusterOptions, ControllerChange};
use crate::day::Day;
use crate::evidence::RunContext;
use crate::fleet::judge::{self, MembershipHistory, Verdict};
use crate::plan::Plan;
use crate::series::Series;
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

/// Time between the start of the clients and the first query, in microseconds.
const START_DELAY_US: i64 = 500_000;
/// Time after the last fault between controllers within which their views must agree, in microseconds. The report has the actual time.
const AGREEMENT_TIMEOUT_US: i64 = 120_000_000;

/// Options of a run.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Seed of the day.
    pub seed: u64,
    /// Directory for logs.
    pub dir: PathBuf,
    /// A fault planted in the controllers.
    pub plant: Option<String>,
    /// Log level of the controllers.
    pub log_level: String,
    /// Controllers record the inputs and outputs of their drivers, in files ending in .wfcap.
    pub capture: bool,
    /// Shows no progress on standard error.
    pub quiet: bool,
    /// Directory of the programs; `None` for that of the running program.
    pub programs: Option<PathBuf>,
    /// Directory of a controller of another build, which every second controller runs.
    pub beside: Option<PathBuf>,
}

/// The results of a class of queries.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ClassReport {
    /// Its name.
    pub class: String,
    /// Number of queries; retries do not count.
    pub queries: u64,
    /// Share of the value of its queries that was answered in time.
    pub service: f64,
    /// Number of queries whose last attempt was served.
    pub served: u64,
    /// Number of queries whose last attempt was rejected.
    pub refused: u64,
    /// Number of queries whose last attempt failed.
    pub failed: u64,
    /// Median latency of served attempts, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency of served attempts, in milliseconds.
    pub p99_ms: f64,
}

/// The results of a day.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// The day's name.
    pub day: String,
    /// Its seed.
    pub seed: u64,
    /// Number of attempts that clients sent to controllers.
    pub queries: u64,
    /// Number of final answers.
    pub answers: u64,
    /// Number of answers with a result.
    pub served: u64,
    /// Number of rejections.
    pub refused: u64,
    /// Number of failures.
    pub failed: u64,
    /// Number of attempts without an answer: the client disconnected, or the controller was killed or not running.
    pub unanswered: u64,
    /// Share of the value of all queries that was answered in time.
    pub service: f64,
    /// Number of violations of each rule.
    pub rules: BTreeMap<&'static str, u64>,
    /// The results by class.
    pub classes: Vec<ClassReport>,
    /// 99th percentile of how late clients sent their queries, in milliseconds.
    pub sent_late_p99_ms: f64,
    /// Largest multiple of its capacity that an engine in slow start was sent within the window of rule 4, which bounds it.
    pub cold_peak: f64,
    /// Processor seconds of all controllers.
    pub controller_cpu_s: f64,
    /// System calls of controllers that failed by a fault of the script.
    pub failed_calls: u64,
    /// The first violations.
    pub breaches: Vec<Violation>,
    /// The membership views of the controllers, if the script has faults of the network between them.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fleet: Option<FleetReport>,
}

/// The results of a fleet with faults of the network between controllers.
#[derive(Clone, Debug, Default, Serialize)]
pub struct FleetReport {
    /// Whether the views were right.
    pub verdict: Verdict,
    /// After the last fault all processes had the same view, and different indexes.
    pub agreed: bool,
    /// Time from the end of the last fault to the last change of a view, in milliseconds.
    pub settled_ms: f64,
    /// Suspicions that the processes running at the end raised by their own probes, for each member and hour.
    pub suspicions: f64,
    /// Bytes of gossip that a member sends per second.
    pub bytes: f64,
    /// Reports of others that the processes running at the end received, did not accept, and held back at their limit.
    pub words: [u64; 3],
    /// Datagrams that faults of the network dropped, delayed beyond a queue, duplicated or corrupted.
    pub hurt: u64,
}

impl Report {
    /// Returns whether no rule was violated and the views were right.
    pub fn kept(&self) -> bool {
        let fleet = self.fleet.as_ref().is_none_or(|f| f.agreed && f.verdict.passed());
        fleet && self.rules.values().all(|n| *n == 0)
    }
}

/// Runs a day on processes.
///
/// # Errors
/// If a process does not start, or ends by itself.
pub fn play(day: &Day, options: &Options) -> Result<Report> {
    Ok(play_with_series(day, options)?.0)
}

/// The same, with the results over time.
///
/// # Errors
/// As [`play`].
#[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
pub fn play_with_series(day: &Day, options: &Options) -> Result<(Report, Series)> {
    let plan = Plan::draw(day, options.seed);
    let clock = Clock::start();
    let cluster_options = ClusterOptions {
        dir: options.dir.clone(),
        seed: options.seed,
        plant: options.plant.clone(),
        // The views are checked by the log lines about suspicions.
        log_level: match day.roads.is_empty() {
            true => options.log_level.clone(),
            false => format!("{},wheelfield_pg_gateway::gossip=debug", options.log_level),
        },
        capture: options.capture.then_some(0),
        programs: options.programs.clone(),
        beside: options.beside.clone(),
        listen: None,
    };
    let mut cluster = Cluster::start(day, &plan, cluster_options, clock)?;
    let start = clock.now() + START_DELAY_US;
    let roads = plan.network_faults.clone().shifted_by(start);
    cluster.start_network_faults(roads.clone())?;
    let (sender, receiver) = channel();
    for change in cluster.started_controllers() {
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
    // Actions are carried out by threads of their own, as a process that starts must not delay the clients.
    let system_faults = cluster.system_faults();
    let (tries, directed) = std::thread::scope(|scope| {
        let system_director = scope.spawn(|| -> Result<()> {
            for (at, action) in &plan.actions {
                std::thread::sleep(clock.until(start + at));
                apply_system_fault(action, &system_faults)?;
            }
            Ok(())
        });
        let director = scope.spawn(|| -> Result<()> {
            for (at, action) in &plan.actions {
                std::thread::sleep(clock.until(start + at));
                for change in cluster.apply(action).with_context(|| format!("{action:?}"))? {
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
    let fleet = match cluster.relay_addresses().map(<[_]>::to_vec) {
        Some(reached) => {
            let acts = plan.actions.iter().map(|(at, _)| start + at).max();
            let healed = roads.ends_at().max(acts).unwrap_or(start);
            std::thread::sleep(clock.until(healed));
            let agreed = await_agreement(&cluster, clock);
            Some((
                reached,
                healed,
                agreed,
                sum_status_values(
                    &cluster,
                    ["gossip_suspected", "words_heard", "words_untaken", "words_unsent"],
                ),
                clock.now(),
            ))
        }
        None => None,
    };
    cluster.end()?;
    let carried = cluster.stop_relay()?;
    let log_file = options.dir.join("engines.jsonl");
    let text =
        std::fs::read_to_string(&log_file).with_context(|| format!("cannot read {}", log_file.display()))?;
    let mut log = parse_event_log(&text)?;
    if let Some(lists) = &cluster.endpoint_file {
        let text = std::fs::read_to_string(lists.log())?;
        log.extend(parse_event_log(&text)?);
        log.sort_by_key(|l| l.at);
    }
    let settings = day.settings()?;
    let context = RunContext { day, settings: &settings, plan: &plan, start };
    let (breaches, cold_peak) = context.check(&tries, &log, &cluster.lifetimes);
    let mut report = summarize(day, &plan, start, &tries, breaches);
    (report.seed, report.cold_peak, report.controller_cpu_s) = (options.seed, cold_peak, cluster.ended_cpu_s);
    report.failed_calls = cluster.failed_calls()?;
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
            lifetimes: &cluster.lifetimes,
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
        report.fleet = Some(FleetReport {
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

/// Returns the sums of these status values over all running controllers.
fn sum_status_values<const N: usize>(cluster: &Cluster, names: [&str; N]) -> [u64; N] {
    let pages: Vec<_> = cluster.running_controllers().into_iter().filter_map(|c| cluster.status(c)).collect();
    names.map(|name| pages.iter().filter_map(|p| p["figures"][name].as_u64()).sum())
}

/// Waits until all running controllers have the same view and different indexes. Returns whether they have in time.
fn await_agreement(cluster: &Cluster, clock: Clock) -> bool {
    let until = clock.now() + AGREEMENT_TIMEOUT_US;
    let running = cluster.running_controllers();
    while clock.now() < until {
        let told: Vec<_> = running.iter().filter_map(|c| cluster.status(*c)).collect();
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

/// Runs a day in virtual time.
///
/// # Errors
/// The first error in its script.
pub fn play_virtual(day: &Day, seed: u64, policy: Policy) -> Result<(Report, SimulationResult)> {
    let plan = Plan::draw(day, seed);
    let played = virtual_time::simulate(day, &plan, seed, policy)?;
    Ok((report_virtual(day, &plan, seed, &played)?, played))
}

/// Summarizes a run in virtual time.
///
/// # Errors
/// The first error in its script.
pub fn report_virtual(day: &Day, plan: &Plan, seed: u64, played: &SimulationResult) -> Result<Report> {
    let settings = day.settings()?;
    let start = virtual_time::first_arrival_time();
    let context = RunContext { day, settings: &settings, plan, start };
    let (breaches, cold_peak) = context.check(&played.tries, &played.log, &played.lifetimes);
    let mut report = summarize(day, plan, start, &played.tries, breaches);
    (report.seed, report.cold_peak) = (seed, cold_peak);
    Ok(report)
}

#[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
fn summarize(day: &Day, plan: &Plan, start: i64, tries: &[Attempt], breaches: Vec<Violation>) -> Report {
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
    let mut classes: Vec<ClassReport> =
        day.classes.iter().map(|c| ClassReport { class: c.name.clone(), ..ClassReport::default() }).collect();
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

/// Prints a report as text.
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

/// Runs a controller and its engines until `stop` is set, and prints their addresses.
///
/// # Errors
/// If a process does not start.
pub fn stay(
    day: &Day,
    options: &Options,
    listen: std::net::SocketAddr,
    stop: &std::sync::atomic::AtomicBool,
) -> Result<()> {
    let plan = Plan::draw(day, options.seed);
    let cluster_options = ClusterOptions {
        dir: options.dir.clone(),
        seed: options.seed,
        plant: None,
        log_level: "info".into(),
        capture: None,
        programs: None,
        beside: None,
        listen: Some(listen),
    };
    let mut cluster = Cluster::start(day, &plan, cluster_options, Clock::start())?;
    for change in cluster.started_controllers() {
        if let ControllerChange::Started(_, address) = change {
            outln!(
                "a controller listens on {address}; try: psql 'host={} port={} user=me dbname=lab'",
                address.ip(),
                address.port()
            );
        }
    }
    outln!("stand-in engines: {}", cluster.engine_addresses().join(", "));
    outln!(
        "hints ask for rows and work: select 1 /*rows='5',run_ms='200'*/; ^C ends it; logs in {}",
        options.dir.display()
    );
    while !stop.load(std::sync::atomic::Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(100));
    }
    cluster.end()
}
