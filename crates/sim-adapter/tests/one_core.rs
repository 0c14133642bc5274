//! The controllers' driver, the replay tool and the simulator adapter make the same decisions. Each test generates a random day
//! of events, runs it through the driver with a capture, replays and checks the capture, and feeds the same events to the
//! adapter process.

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::Write as _;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use wheelfield::interface::*;
use wheelfield_capture::{Limits, RecordedInput, Recorder, Start};
use wheelfield_driver::{Answer, Arrival, Driver, DriverLimits, Input, Instruction};

const MS: i64 = 1_000;
const SEED: u64 = 40_123;

#[expect(clippy::too_many_lines, reason = "one long settings literal")]
fn settings() -> Settings {
    let class = Class {
        latency_objective: Micros(500 * MS),
        latency_objective_stretch: 3.0,
        deadline: Micros(3_000 * MS),
        value: 1.0,
        late_value_fraction: 0.25,
        threads: 1.0,
        ..Class::default()
    };
    Settings {
        gateway_count: 3.0,
        gateway_index: 1.0,
        zone: Some(1),
        classes: vec![
            Class {
                threads: 2.0,
                ..class.clone()
            },
            Class {
                semantics: ExecutionSemantics::AtMostOnce,
                is_load: true,
                ..class.clone()
            },
            Class {
                ordered_by_key: true,
                semantics: ExecutionSemantics::IdempotencyKey,
                deduplication_scope: DeduplicationScope::Zone,
                deduplication_window: Micros(900 * MS),
                ..class.clone()
            },
            Class {
                zones: vec![1],
                kinds: vec![0],
                waits_for_loads: true,
                ..class
            },
        ],
        tenant_rates: vec![5.0, 0.5],
        cores: vec![4.0, 8.0],
        memory_mb: vec![4_096.0, 8_192.0],
        max_grant_fraction: 0.5,
        pages_on_memory_shortage: true,
        memory_grants: true,
        priorities: true,
        reports_work: true,
        progress_interval: Micros(200 * MS),
        cancellation: true,
        load_reports: true,
        reports_utilisation: true,
        subscribe: true,
        max_attempts: 3,
        max_retry_after: Micros(2_000 * MS),
        slow_start_initial_fraction: 0.25,
        slow_start_duration: Micros(5_000 * MS),
        overload_multiple: 2.0,
        overload_window: Micros(1_000 * MS),
        key_cooldown: Micros(200 * MS),
        retry_budget: Some(RetryBudget {
            guaranteed: 2.0,
            fraction: 0.125,
            window: Micros(4_000 * MS),
        }),
        ..Settings::default()
    }
}

/// The settings as the JSON of an `up` line.
fn settings_json(s: &Settings) -> String {
    let names =
        |all: &[usize], what: &str| all.iter().map(|i| format!("{what}{i}")).collect::<Vec<_>>();
    let class_json = |(i, c): (usize, &Class)| {
        serde_json::json!({
            "name": format!("c{i}"), "on_time_us": c.latency_objective.0, "aim_stretch": c.latency_objective_stretch, "give_up_us": c.deadline.0,
            "gain": c.value, "late_value": c.late_value_fraction, "window_us": c.deduplication_window.0, "in_order": c.ordered_by_key,
            "effect": match c.semantics { ExecutionSemantics::Idempotent => "repeatable", ExecutionSemantics::IdempotencyKey => "by_key", ExecutionSemantics::AtMostOnce => "once" },
            "dedup_scope": match c.deduplication_scope { DeduplicationScope::All => "all", DeduplicationScope::Zone => "zone", DeduplicationScope::Cell => "cell" },
            "zones_open": names(&c.zones, "z"), "bound_to": names(&c.kinds, "k"),
        })
    };
    let budget = s.retry_budget.expect("the retry budget is set");
    let per_class =
        |f: fn(&Class) -> serde_json::Value| s.classes.iter().map(f).collect::<Vec<_>>();
    serde_json::json!({
        "balancers": s.gateway_count, "me": s.gateway_index, "my_zone": s.zone.map(|z| format!("z{z}")),
        "zones": ["z0", "z1"], "skus": ["k0", "k1"],
        "grades": s.classes.iter().enumerate().map(class_json).collect::<Vec<_>>(),
        "tenants": s.tenant_rates.iter().enumerate()
            .map(|(i, a)| serde_json::json!({"name": format!("t{i}"), "allowance_per_s": a})).collect::<Vec<_>>(),
        "family_info": {
            "cpu_of_kind": s.cores, "memory_by_kind_mb": s.memory_mb, "max_grant_share": s.max_grant_fraction,
            "when_short": "page", "grants": s.memory_grants, "lanes_count": s.priorities, "bills": s.reports_work,
            "tells_every_us": s.progress_interval.0,
            "parallelism": per_class(|c| c.threads.into()),
            "writes_tables": per_class(|c| c.is_load.into()),
            "yields_to_loads": per_class(|c| c.waits_for_loads.into()),
        },
        "ceilings": {
            "cancel": s.cancellation, "send_cap": s.max_attempts, "retry_after": true,
            "max_retry_after_us": s.max_retry_after.0,
        },
        "telemetry": {"how": "answers", "columns": ["cpu_share"]}, "registry_mode": "subscribe",
        "safety": {
            "cold_from": s.slow_start_initial_fraction, "ramp_time_us": s.slow_start_duration.0, "tip_multiple": s.overload_multiple,
            "fall_us": s.overload_window.0, "order_pause_us": s.key_cooldown.0, "extra_free": budget.guaranteed,
            "resend_ratio": budget.fraction, "budget_span_us": budget.window.0,
        },
    })
    .to_string()
}

fn engine_name(n: usize) -> String {
    format!("e{n}")
}

fn engine(n: usize) -> EngineId {
    wheelfield_config::engine_id(&engine_name(n))
}

fn name_of(id: EngineId) -> String {
    (0..8)
        .map(engine_name)
        .find(|n| wheelfield_config::engine_id(n) == id)
        .expect("an engine of this test")
}

fn entry(n: usize, status: Status, started: Option<Micros>) -> EngineEntry {
    EngineEntry {
        engine: engine(n),
        zone: n % 2,
        kind: n / 2 % 2,
        cell: n as i64,
        status,
        started_at: started,
    }
}

/// Scheduled inputs, ordered by time and then by the order in which they were added.
#[derive(Default)]
struct Schedule(BTreeMap<(i64, u64), RecordedInput>, u64);

impl Schedule {
    fn add(&mut self, at: i64, input: RecordedInput) {
        self.1 += 1;
        self.0.insert((at, self.1), input);
    }
}

/// The events and decisions of a random day that was run against the driver in virtual time.
struct Day {
    /// Events that the policy module handled.
    module_events: Vec<(Micros, Event)>,
    /// Decisions that must be equal to those of the adapter, as lines of the simulator's protocol.
    decisions: Vec<String>,
    /// Cancellations, which include those that the driver makes by itself.
    cancellations: Vec<String>,
    /// Number of queries that the driver accepted.
    queries: usize,
}

#[expect(
    clippy::too_many_lines,
    reason = "to be split: docs/ROADMAP.md lists it"
)]
fn run_day(path: &Path, seed: u64) -> Day {
    let bounds = DriverLimits::default();
    let mut driver = Driver::new(settings(), SEED, bounds);
    let start = Start {
        build: "test 0".into(),
        index: 1,
        seed: SEED,
        settings: settings(),
        driver_limits: bounds,
        classes: (0..4).map(|i| format!("c{i}")).collect(),
        tenants: vec!["t0".into(), "t1".into()],
    };
    let limits = Limits {
        max_queued_blocks: 1 << 16,
        ..Limits::default()
    };
    let mut recorder = Recorder::begin(path, start, limits, &driver, Micros(0))
        .expect("the capture file is created");
    driver.record_events();
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut schedule = Schedule::default();
    schedule.add(MS, RecordedInput::Input(Input::Started));
    let all = (0..6).map(|n| entry(n, Status::Up, None)).collect();
    schedule.add(
        2 * MS,
        RecordedInput::Input(Input::Engines {
            complete: true,
            entries: all,
        }),
    );
    for n in 0..500i64 {
        let at = 100 * MS + n * 11 * MS;
        let class = rng.random_range(0..4);
        let arrival = Arrival {
            class,
            tenant: rng.random_bool(0.5).then(|| rng.random_range(0..2)),
            key: (class == 2).then(|| format!("key{}", rng.random_range(0..5))),
            deadline: Micros(at + rng.random_range(500..3_000) * MS),
            // Multiples of 1/64 s are whole microseconds, so the simulator's protocol represents them exactly.
            work_hint: Some(rng.random_range(1..16) as f64 / 64.0),
            memory_hint: rng
                .random_bool(0.5)
                .then(|| rng.random_range(1..2_000) as f64),
            tables: rng.random_range(0..6),
        };
        let id = QueryId(rng.random());
        schedule.add(
            at,
            RecordedInput::ArriveWithId {
                id,
                arrival,
                label: format!("q{n}"),
            },
        );
        if rng.random_bool(0.03) {
            schedule.add(at + 150 * MS, RecordedInput::Input(Input::Abandoned(id)));
        }
    }
    let change = |e: EngineEntry| {
        RecordedInput::Input(Input::Engines {
            complete: false,
            entries: vec![e],
        })
    };
    schedule.add(1_500 * MS, change(entry(1, Status::Draining, None)));
    schedule.add(2_500 * MS, change(entry(1, Status::Removed, None)));
    schedule.add(
        2_600 * MS,
        change(entry(6, Status::Up, Some(Micros(2_600 * MS)))),
    );
    schedule.add(3_000 * MS, RecordedInput::Input(Input::ListUnavailable));
    schedule.add(
        3_500 * MS,
        change(entry(2, Status::Up, Some(Micros(3_400 * MS)))),
    );
    schedule.add(
        4_000 * MS,
        RecordedInput::Input(Input::Engines {
            complete: true,
            entries: [0, 2, 3, 4, 6].map(|n| entry(n, Status::Up, None)).to_vec(),
        }),
    );
    let mut day = Day {
        module_events: Vec::new(),
        decisions: Vec::new(),
        cancellations: Vec::new(),
        queries: 0,
    };
    loop {
        let next = schedule.0.first_key_value().map(|((at, _), _)| *at);
        let due = driver.next_timer_at().map(|d| d.0);
        let (at, input) = match (next, due) {
            (_, Some(due)) if due > 12_000 * MS => break,
            (None, None) => break,
            (Some(at), due) if due.is_none_or(|d| at < d) => {
                let Some((_, input)) = schedule.0.pop_first() else {
                    break;
                };
                (at, input)
            }
            (_, due) => (due.unwrap_or_default(), RecordedInput::TimersDue),
        };
        // Like a protocol layer, skips writes that the driver does not allow and reports that no longer count.
        let skipped = match &input {
            RecordedInput::Input(Input::Dispatched(a)) => !driver.may_write(Micros(at), *a),
            RecordedInput::Input(Input::AnswerStarted(a)) => !driver.may_answer(*a),
            RecordedInput::Input(Input::AttemptEnded { attempt, .. }) => {
                !driver.is_in_flight(*attempt)
            }
            _ => false,
        };
        if skipped {
            continue;
        }
        let now = Micros(at);
        let mut out = Vec::new();
        let accepted = wheelfield_replay::feed(&mut driver, now, &input, &mut out);
        day.queries += usize::from(accepted.is_some());
        if matches!(&input, RecordedInput::Input(Input::Engines { .. })) {
            recorder.record_engines(now, (0..8).map(|n| (engine(n), engine_name(n))));
        }
        recorder.record_step(now, &input, accepted, &out);
        recorder.maintain(&driver, now);
        day.module_events
            .extend(driver.take_recorded_events().into_iter().map(|e| (now, e)));
        for i in out {
            schedule_reaction(&mut rng, &mut schedule, at, &i);
            match protocol_line(&i) {
                Some((true, line)) => day.decisions.push(line),
                Some((false, line)) => day.cancellations.push(line),
                None => {}
            }
        }
    }
    assert_eq!(recorder.finish(Micros(12_000 * MS)).lost, 0);
    day
}

/// Schedules the random course of an attempt that the driver started, or the confirmation of a cancellation.
fn schedule_reaction(
    rng: &mut Pcg64Mcg,
    schedule: &mut Schedule,
    at: i64,
    instruction: &Instruction,
) {
    let attempt_end = |rng: &mut Pcg64Mcg, attempt, outcome| {
        let report = LoadReport {
            utilisation: Some(rng.random_range(0..64) as f64 / 32.0),
            ..LoadReport::default()
        };
        let reported_work =
            (outcome == Outcome::Served).then(|| rng.random_range(1..900) as f64 / 1e3);
        RecordedInput::Input(Input::AttemptEnded {
            attempt,
            outcome,
            reported_work,
            report,
        })
    };
    match instruction {
        Instruction::Start { attempt, .. } => {
            let a = *attempt;
            schedule.add(at + MS, RecordedInput::Input(Input::Dispatched(a)));
            let duration = rng.random_range(5..900) * MS;
            let failures = [
                Outcome::Error,
                Outcome::Full,
                Outcome::Reset,
                Outcome::ConnectFailed,
            ];
            let outcome = failures
                .get(rng.random_range(0..20usize))
                .copied()
                .unwrap_or(Outcome::Served);
            // One attempt in twelve never ends by itself and runs into its timeout.
            if rng.random_bool(11.0 / 12.0) {
                if duration > 300 * MS {
                    let share = AttemptUpdate::Progress(rng.random_range(0..8) as f64 / 8.0);
                    schedule.add(
                        at + duration / 2,
                        RecordedInput::Input(Input::AttemptUpdated(a, share)),
                    );
                    if outcome == Outcome::Served {
                        schedule.add(
                            at + duration - MS,
                            RecordedInput::Input(Input::AnswerStarted(a)),
                        );
                    }
                }
                let input = attempt_end(rng, a, outcome);
                schedule.add(at + duration, input);
            }
        }
        // Half of the cancellations are confirmed.
        Instruction::Cancel(a) if rng.random_bool(0.5) => {
            let input = attempt_end(rng, *a, Outcome::Cancelled);
            schedule.add(at + 10 * MS, input);
        }
        _ => {}
    }
}

/// An instruction as a line of the simulator's protocol, and whether only the module decides it: the driver also cancels
/// attempts by itself.
fn protocol_line(instruction: &Instruction) -> Option<(bool, String)> {
    Some(match instruction {
        Instruction::Start {
            attempt, engine, ..
        } => (
            true,
            format!(
                "submit_to job={:016x} executor={}",
                attempt.query.0,
                name_of(*engine)
            ),
        ),
        Instruction::Cancel(a) => (
            false,
            format!("revoke job={:016x} leg={}", a.query.0, a.number),
        ),
        Instruction::Answer(q, Answer::Rejected { retry_after }) => (
            true,
            format!("reject job={:016x} backoff_us={}", q.0, retry_after.0),
        ),
        Instruction::Answer(q, Answer::Failed { .. }) => {
            (true, format!("respond_error job={:016x}", q.0))
        }
        Instruction::Log(text) => (true, format!("write_log body_text={text}")),
        Instruction::Subscribe => (true, "track want=1".into()),
        _ => return None,
    })
}

/// Writes an event as lines of the simulator's protocol. `ended` counts the ended attempts of each query.
#[expect(
    clippy::too_many_lines,
    reason = "to be split: docs/ROADMAP.md lists it"
)]
fn write_event(event: &Event, ended: &BTreeMap<QueryId, usize>, out: &mut String) {
    let list = |mode: &str, entries: &[EngineEntry], out: &mut String| {
        let _ = writeln!(out, "list bank=0 records={}", entries.len());
        for e in entries {
            let status = match e.status {
                Status::Up => "up",
                Status::Draining => "draining",
                Status::Removed => "removed",
            };
            let (name, since) = (name_of(e.engine), e.started_at.unwrap_or_default().0);
            let _ = writeln!(
                out,
                "entry executor={name} locality=z{} model=k{} bay={} readiness={status} up_since_us={since}",
                e.zone, e.kind, e.cell
            );
        }
        let _ = writeln!(out, "fleet mode={mode} version=1 bank=0");
    };
    let written = match event {
        Event::Started => writeln!(out, "up rng_seed={SEED} env={}", settings_json(&settings())),
        Event::EngineList(entries) => return list("replace", entries, out),
        Event::EngineChanges(entries) => return list("update", entries, out),
        Event::ListUnavailable => writeln!(out, "fleet mode=unavailable"),
        Event::Arrived(q) => {
            let (job, due, tables) = (q.id.0, q.deadline.0, q.tables);
            let _ = write!(
                out,
                "query job={job:016x} tier_class=c{} due_us={due} data_group={tables}",
                q.class
            );
            let _ = write!(out, " estimate_us={}", q.work_hint.unwrap_or(0.0) * 1e6);
            let _ = write!(out, " footprint_mb={}", q.memory_hint.unwrap_or(0.0));
            if let Some(tenant) = q.tenant {
                let _ = write!(out, " realm=t{tenant}");
            }
            match &q.key {
                Some(key) => writeln!(out, " relation={key}"),
                None => writeln!(out),
            }
        }
        // In this test a query has one attempt at a time, so the attempt that answers is the first that has not ended.
        Event::AnswerStarted(q) => {
            writeln!(
                out,
                "first_byte job={:016x} leg={}",
                q.0,
                ended.get(q).copied().unwrap_or(0)
            )
        }
        Event::AttemptUpdated {
            query,
            attempt,
            update: AttemptUpdate::Progress(x),
        } => {
            writeln!(
                out,
                "change job={:016x} leg={attempt} sort=1 x={x}",
                query.0
            )
        }
        Event::AttemptEnded(e) => {
            let code = match e.outcome {
                Outcome::Served => "done",
                Outcome::Error => "err",
                Outcome::Full => "busy",
                Outcome::TimedOut => "etimedout",
                Outcome::ConnectFailed | Outcome::ConnectTimedOut => "econnrefused",
                Outcome::Reset => "econnreset",
                Outcome::Cancelled => "ecanceled",
                Outcome::NeverSent => "skipped",
            };
            let used = e
                .reported_work
                .map_or(0, |w| (w * 1e3).round() as u64 * 4096 + 11);
            let load = e
                .report
                .utilisation
                .map_or(String::new(), |u| format!(" health_info=cpu_share:{u}"));
            let (job, leg, last, took) =
                (e.query.0, e.attempt, u8::from(e.query_over), e.elapsed.0);
            writeln!(
                out,
                "done job={job:016x} leg={leg} code={code} last={last} rtt_us={took} used_up={used}{load}"
            )
        }
        Event::Abandoned(q) => writeln!(out, "expired job={:016x}", q.0),
        Event::TimerFired(token) => writeln!(out, "tick_due handle={token}"),
        other => panic!("unexpected event: {other:?}"),
    };
    assert!(written.is_ok());
}

/// Runs the adapter process with the events of a day and returns the lines of its replies.
fn run_adapter(events: &[(Micros, Event)], args: &[&str]) -> Vec<String> {
    let (mut input, mut ended) = (String::new(), BTreeMap::new());
    for (at, event) in events {
        let _ = writeln!(input, "batch sim_time_us={}\nfor controller=1", at.0);
        write_event(event, &ended, &mut input);
        if let Event::AttemptEnded(e) = event {
            *ended.entry(e.query).or_insert(0usize) += 1;
        }
        input.push_str("flush\n");
    }
    let mut child = Command::new(env!("CARGO_BIN_EXE_wheelfield-sim-adapter"))
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().expect("piped");
    let writer = std::thread::spawn(move || stdin.write_all(input.as_bytes()));
    let output = child
        .wait_with_output()
        .expect("the adapter ends with its input");
    writer
        .join()
        .expect("the writer does not panic")
        .expect("the adapter reads all input");
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    String::from_utf8(output.stdout)
        .expect("text")
        .lines()
        .map(str::to_string)
        .collect()
}

fn without_timeout(line: &str) -> String {
    line.split(" try_for_us=")
        .next()
        .unwrap_or(line)
        .to_string()
}

/// Asserts that a replay of the capture makes the same decisions as the day, and that the invariant check finds no violation in
/// it and counts the same queries.
fn assert_capture_matches_day(path: PathBuf, day: &Day, seed: u64) {
    // The replay of the capture gives the same decisions.
    let verdict =
        wheelfield_replay::run(&path, wheelfield_replay::Options::default()).expect("complete");
    assert!(verdict.equal(), "seed {seed}: {:?}", verdict.difference);
    // The invariant check of the capture finds no violation, and the same number of queries.
    let checked = wheelfield_invariant_check::check(&[path], 0).expect("complete");
    assert!(
        checked.violations.is_empty(),
        "seed {seed}: {:?}",
        checked.violations
    );
    assert_eq!(
        checked.queries + checked.unfinished_queries,
        day.queries,
        "seed {seed}"
    );
}

#[test]
fn driver_replay_and_adapter_make_the_same_decisions() {
    let mut kinds: BTreeMap<String, usize> = BTreeMap::new();
    for seed in 0..6 {
        let dir = tempfile::tempdir().expect("a temporary directory");
        let path = dir.path().join("one.wfcap");
        let day = run_day(&path, seed);
        assert_capture_matches_day(path, &day, seed);
        // The adapter process gives the same decisions.
        let replies = run_adapter(&day.module_events, &[]);
        let replies_with = |prefixes: &[&str]| -> Vec<String> {
            let wanted = |l: &&String| prefixes.iter().any(|prefix| l.starts_with(prefix));
            replies
                .iter()
                .filter(wanted)
                .map(|l| without_timeout(l))
                .collect()
        };
        let lines = replies_with(&[
            "submit_to ",
            "reject ",
            "respond_error ",
            "write_log ",
            "track ",
        ]);
        let first_difference = lines.iter().zip(&day.decisions).position(|(a, b)| a != b);
        assert_eq!(
            (first_difference, lines.len()),
            (None, day.decisions.len()),
            "seed {seed}"
        );
        for line in replies_with(&["revoke "]) {
            assert!(day.cancellations.contains(&line), "seed {seed}: {line}");
        }
        for line in lines {
            let keyword = line.split(' ').next().unwrap_or_default().to_string();
            *kinds.entry(keyword).or_default() += 1;
        }
        // The replies are the same when the adapter writes captures.
        let dir = tempfile::tempdir().expect("a temporary directory");
        let capture_dir = dir.path().to_string_lossy().into_owned();
        assert_eq!(
            run_adapter(&day.module_events, &["--capture", &capture_dir]),
            replies,
            "seed {seed}"
        );
    }
    // The random days led to decisions of every kind.
    for keyword in ["submit_to", "reject", "respond_error", "write_log", "track"] {
        assert!(
            kinds.get(keyword).is_some_and(|n| *n > 0),
            "no {keyword} in {kinds:?}"
        );
    }
    assert!(kinds["submit_to"] > 1_000, "{kinds:?}");
}

#[test]
fn missing_event_leads_to_different_decisions() {
    let dir = tempfile::tempdir().expect("a temporary directory");
    let mut day = run_day(&dir.path().join("one.wfcap"), 0);
    // The adapter does not get the event that an engine is draining, so its decisions differ from those of the driver.
    let change = day
        .module_events
        .iter()
        .position(|(_, e)| matches!(e, Event::EngineChanges(_)));
    day.module_events.remove(change.expect("an engine change"));
    let replies = run_adapter(&day.module_events, &[]);
    let adapter_sends: Vec<String> = replies
        .iter()
        .filter(|l| l.starts_with("submit_to "))
        .map(|l| without_timeout(l))
        .collect();
    let driver_sends: Vec<&String> = day
        .decisions
        .iter()
        .filter(|l| l.starts_with("submit_to "))
        .collect();
    assert!(
        adapter_sends.iter().ne(driver_sends),
        "the adapter keeps sending queries to the draining engine"
    );
}
