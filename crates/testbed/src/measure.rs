//! What a controller costs: latency it adds, queries a second of one core, memory of idle clients. Each in one run, as
//! figures of different runs on a shared machine can't be compared.

use crate::day::Day;
use crate::plan::Plan;
use crate::stage::{Change, Setting, Stage};
use anyhow::{ensure, Context, Result};
use bytes::BytesMut;
use hdrhistogram::Histogram;
use mio::{Events, Poll, Token};
use serde::Serialize;
use slab::Slab;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};
use wheelfield_net::{Clock, Stream};
use wheelfield_pg::{frame, frontend_messages};

/// What is measured, and how long.
#[derive(Clone, Copy, Debug)]
pub struct Plans {
    /// Pairs of queries for the latency.
    pub pairs: usize,
    /// Seconds of full load.
    pub seconds: u64,
    /// Connections of full load.
    pub connections: usize,
    /// Idle connections.
    pub idle: usize,
    /// Rounds in which a controller that records is loaded in turn with one that does not.
    pub rounds: usize,
}

/// What was measured.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Latency straight to the stand-in, in microseconds: the half, and ninety-nine in a hundred,
    pub direct_us: [f64; 2],
    /// and through the controller.
    pub through_us: [f64; 2],
    /// What the controller adds.
    pub added_us: [f64; 2],
    /// Queries a second through the controller under full load,
    pub rate: f64,
    /// and for each second of its processor.
    pub rate_of_core: f64,
    /// Extended protocol, prepared once: queries for each second of its processor.
    pub rate_of_core_prepared: f64,
    /// Connections that were held idle,
    pub idle: usize,
    /// the controller's memory without them, in MB,
    pub empty_mb: f64,
    /// and with them.
    pub idle_mb: f64,
    /// With a capture, in turn with a controller without: queries a second over those without (median of the rounds),
    pub capture_rate: f64,
    /// the same for each second of processor, that of the capture's writer reckoned in,
    pub capture_rate_of_core: f64,
    /// and latency over latency: the half, and ninety-nine in a hundred.
    pub capture_latency: [f64; 2],
    /// Records that the capture lost, of all,
    pub capture_lost: f64,
    /// and bytes written for each query.
    pub capture_bytes: f64,
    /// Queries a second straight to the stand-in under the same load.
    pub direct_rate: f64,
}

/// One connection that sends its next query as it has its answer.
struct Caller {
    stream: Stream,
    ready: bool,
    sent: Instant,
}

/// What a caller sends at its start, and then again and again.
struct Script {
    prepare: BytesMut,
    query: BytesMut,
}

fn simple() -> Script {
    let mut query = BytesMut::new();
    frontend_messages::put_query("select 1", &mut query);
    Script { prepare: BytesMut::new(), query }
}

fn prepared() -> Script {
    use pgwire::messages::extendedquery::{Bind, Execute, Parse, Sync};
    let (mut prepare, mut query) = (BytesMut::new(), BytesMut::new());
    frontend_messages::put(&Parse::new(Some("s".into()), "select 1".into(), Vec::new()), &mut prepare);
    frontend_messages::put(&Sync::new(), &mut prepare);
    frontend_messages::put(
        &Bind::new(None, Some("s".into()), Vec::new(), Vec::new(), Vec::new()),
        &mut query,
    );
    frontend_messages::put(&Execute::new(None, 0), &mut query);
    frontend_messages::put(&Sync::new(), &mut query);
    Script { prepare, query }
}

struct Callers {
    poll: Poll,
    events: Events,
    all: Slab<Caller>,
    scratch: Vec<u8>,
}

impl Callers {
    fn new() -> Result<Callers> {
        Ok(Callers {
            poll: Poll::new()?,
            events: Events::with_capacity(4096),
            all: Slab::new(),
            scratch: vec![0; 64 << 10],
        })
    }

    fn call(&mut self, address: SocketAddr, script: &Script) -> Result<usize> {
        let entry = self.all.vacant_entry();
        let id = entry.key();
        let mut stream = Stream::connect(None, address, self.poll.registry(), Token(id))?;
        frontend_messages::put_startup(&[("user", "lab"), ("database", "lab")], &mut stream.output);
        stream.output.extend_from_slice(&script.prepare);
        entry.insert(Caller { stream, ready: false, sent: Instant::now() });
        Ok(id)
    }

    /// Waits once, and tells which callers have a whole answer.
    fn turn(&mut self, wait: Duration, answered: &mut Vec<usize>) -> Result<()> {
        self.poll.poll(&mut self.events, Some(wait))?;
        for event in &self.events {
            let Token(id) = event.token();
            let Some(c) = self.all.get_mut(id) else { continue };
            c.stream.handle_event(event);
            if !c.stream.check_connected()? {
                continue;
            }
            c.stream.flush()?;
            c.stream.fill(64 << 10, &mut self.scratch)?;
            while let Some((tag, message)) = frame::take_message(&mut c.stream.input, 1 << 20)? {
                ensure!(
                    tag != b'E',
                    "refused: {:?}",
                    wheelfield_pg::backend_messages::parse_sqlstate_and_message(&message)
                );
                if tag == b'Z' {
                    answered.push(id);
                }
            }
            c.stream.release_empty_input();
            ensure!(!c.stream.is_read_finished(), "a connection was closed");
        }
        Ok(())
    }

    /// Opens so many, a few at a time, and waits until each was let in.
    fn open(&mut self, n: usize, address: SocketAddr, script: &Script) -> Result<()> {
        let mut answered = Vec::new();
        let until = Instant::now() + Duration::from_secs(60);
        // The end of the startup, and that of the preparation.
        let ends = if script.prepare.is_empty() { 1 } else { 2 };
        let (mut begun, mut seen) = (0, 0);
        while seen < n * ends {
            while begun < n && begun < seen / ends + 200 {
                self.call(address, script)?;
                begun += 1;
            }
            self.turn(Duration::from_millis(20), &mut answered)?;
            seen += answered.len();
            answered.clear();
            ensure!(Instant::now() < until, "{seen} of {n} connections within a minute");
        }
        self.all.iter_mut().for_each(|(_, c)| c.ready = true);
        Ok(())
    }

    fn send(&mut self, id: usize, script: &Script) -> Result<()> {
        let c = &mut self.all[id];
        c.stream.output.extend_from_slice(&script.query);
        c.sent = Instant::now();
        c.stream.flush()?;
        Ok(())
    }

    /// Each caller sends as fast as it is answered; queries a second.
    fn load(&mut self, seconds: u64, script: &Script) -> Result<(u64, f64)> {
        let ids: Vec<usize> = self.all.iter().map(|(id, _)| id).collect();
        for id in ids {
            self.send(id, script)?;
        }
        let start = Instant::now();
        let until = start + Duration::from_secs(seconds);
        let (mut answered, mut done) = (Vec::new(), 0u64);
        while Instant::now() < until {
            self.turn(Duration::from_millis(100), &mut answered)?;
            done += answered.len() as u64;
            for id in answered.drain(..) {
                self.send(id, script)?;
            }
        }
        Ok((done, start.elapsed().as_secs_f64()))
    }

    /// Waits for the answers that a load has left under way.
    fn drain(&mut self, n: usize) -> Result<()> {
        let (mut answered, mut seen) = (Vec::new(), 0);
        let until = Instant::now() + Duration::from_secs(10);
        while seen < n {
            self.turn(Duration::from_millis(100), &mut answered)?;
            seen += answered.len();
            answered.clear();
            ensure!(Instant::now() < until, "{seen} of {n} answers within 10 s");
        }
        Ok(())
    }

    /// One query, and how long it took.
    fn once(&mut self, id: usize, script: &Script) -> Result<Duration> {
        self.send(id, script)?;
        let mut answered = Vec::new();
        let until = Instant::now() + Duration::from_secs(10);
        while answered.is_empty() {
            self.turn(Duration::from_millis(100), &mut answered)?;
            ensure!(Instant::now() < until, "no answer within 10 s");
        }
        Ok(self.all[id].sent.elapsed())
    }
}

/// Measures a controller before stand-ins that answer at once.
///
/// # Errors
/// If the stage can't be set, or an answer is not what it should be.
#[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
pub fn measure(day: &Day, dir: &Path, plans: Plans) -> Result<Figures> {
    let mut day = day.clone();
    (day.engines, day.controllers, day.troubles) = (4, 2, Vec::new());
    for (name, value) in [("clients", 60_000), ("sessions", 1000)] {
        day.limits.insert(name.into(), toml::Value::Integer(value));
    }
    let plan = Plan::draw(&day, 1);
    let setting = Setting {
        dir: dir.to_path_buf(),
        seed: 1,
        plant: None,
        log_level: "warn".into(),
        capture: Some(1),
        programs: None,
        beside: None,
    };
    let mut stage = Stage::set(&day, &plan, setting, Clock::start())?;
    let doors = stage.doors();
    let [Change::Up(_, controller), Change::Up(_, records)] = doors[..] else {
        anyhow::bail!("two controllers were to start")
    };
    let engine: SocketAddr = stage.engine_addresses().first().context("no engine")?.parse()?;
    let memory = |stage: &Stage| stage.usage(0).map_or(0.0, |(_, bytes)| bytes as f64 / 1_048_576.0);
    let cpu = |stage: &Stage| stage.usage(0).map_or(0.0, |(cpu, _)| cpu);
    let mut figures = Figures { empty_mb: memory(&stage), ..Figures::default() };
    let script = simple();

    // Idle clients first, before load has grown any table.
    let mut idle = Callers::new()?;
    idle.open(plans.idle, controller, &script)?;
    (figures.idle, figures.idle_mb) = (plans.idle, memory(&stage));
    drop(idle);

    // Latency: one query at a time, straight and through in turn.
    let mut callers = Callers::new()?;
    callers.open(1, engine, &script)?;
    let direct = 0;
    callers.open(1, controller, &script)?;
    let through = 1;
    let mut histograms = [Histogram::<u64>::new(3)?, Histogram::<u64>::new(3)?];
    for n in 0..plans.pairs + 500 {
        for (i, id) in [direct, through].into_iter().enumerate() {
            let took = callers.once(id, &script)?;
            if n >= 500 {
                histograms[i].record(took.as_nanos() as u64)?;
            }
        }
    }
    let of = |h: &Histogram<u64>| [0.5, 0.99].map(|q| h.value_at_quantile(q) as f64 / 1e3);
    (figures.direct_us, figures.through_us) = (of(&histograms[0]), of(&histograms[1]));
    figures.added_us = [0, 1].map(|i| figures.through_us[i] - figures.direct_us[i]);
    drop(callers);

    // Full load: straight, through, and through with a prepared statement.
    let mut callers = Callers::new()?;
    callers.open(plans.connections, engine, &script)?;
    let (done, took) = callers.load(plans.seconds, &script)?;
    figures.direct_rate = done as f64 / took;
    drop(callers);
    for (script, is_prepared) in [(simple(), false), (prepared(), true)] {
        let mut callers = Callers::new()?;
        callers.open(plans.connections, controller, &script)?;
        let before = cpu(&stage);
        let (done, took) = callers.load(plans.seconds, &script)?;
        let used = (cpu(&stage) - before).max(0.01);
        if is_prepared {
            figures.rate_of_core_prepared = done as f64 / used;
        } else {
            (figures.rate, figures.rate_of_core) = (done as f64 / took, done as f64 / used);
        }
    }
    if plans.rounds > 0 {
        in_turn(&stage, [controller, records], plans, &mut figures)?;
    }
    stage.end()?;
    Ok(figures)
}

fn median(mut all: Vec<f64>) -> f64 {
    all.sort_by(f64::total_cmp);
    all.get(all.len() / 2).copied().unwrap_or(0.0)
}

/// A controller that records in turn with one that does not: ratios, as the machine's speed drifts.
fn in_turn(stage: &Stage, doors: [SocketAddr; 2], plans: Plans, figures: &mut Figures) -> Result<()> {
    let script = simple();
    let cpu = |i: usize| stage.usage(i).map_or(0.0, |(cpu, _)| cpu);
    let mut sets = Vec::new();
    for door in doors {
        let mut callers = Callers::new()?;
        callers.open(plans.connections, door, &script)?;
        sets.push(callers);
    }
    let (mut rates, mut of_core) = (Vec::new(), Vec::new());
    for _ in 0..plans.rounds {
        let mut round = [(0.0, 0.0); 2];
        for (i, callers) in sets.iter_mut().enumerate() {
            let before = cpu(i);
            let (done, took) = callers.load(1, &script)?;
            round[i] = (done as f64 / took, done as f64 / (cpu(i) - before).max(0.01));
            callers.drain(plans.connections)?;
        }
        rates.push(round[1].0 / round[0].0);
        of_core.push(round[1].1 / round[0].1);
    }
    (figures.capture_rate, figures.capture_rate_of_core) = (median(rates), median(of_core));
    let mut histograms = [Histogram::<u64>::new(3)?, Histogram::<u64>::new(3)?];
    for _ in 0..plans.pairs {
        for (i, callers) in sets.iter_mut().enumerate() {
            let took = callers.once(0, &script)?;
            histograms[i].record(took.as_nanos() as u64)?;
        }
    }
    let of =
        |q: f64| histograms[1].value_at_quantile(q) as f64 / histograms[0].value_at_quantile(q).max(1) as f64;
    figures.capture_latency = [of(0.5), of(0.99)];
    let figure = |name: &str| stage.figure(1, name).unwrap_or(0) as f64;
    let (lost, recorded) = (figure("capture_lost"), figure("capture_recorded"));
    figures.capture_lost = lost / (lost + recorded).max(1.0);
    figures.capture_bytes = figure("capture_bytes") / figure("queries_taken").max(1.0);
    Ok(())
}

/// The figures for people.
pub fn print(f: &Figures, out: &mut impl std::io::Write) -> std::io::Result<()> {
    writeln!(out, "latency of a query that costs nothing, one at a time, in turn (p50, p99, us):")?;
    writeln!(out, "  straight to the stand-in   {:>8.1} {:>8.1}", f.direct_us[0], f.direct_us[1])?;
    writeln!(out, "  through the controller     {:>8.1} {:>8.1}", f.through_us[0], f.through_us[1])?;
    writeln!(out, "  added                      {:>8.1} {:>8.1}", f.added_us[0], f.added_us[1])?;
    writeln!(out, "full load, queries a second:")?;
    writeln!(out, "  straight to one stand-in   {:>8.0}", f.direct_rate)?;
    writeln!(out, "  through the controller     {:>8.0}", f.rate)?;
    writeln!(
        out,
        "  for a second of its processor: simple {:.0}, prepared {:.0}",
        f.rate_of_core, f.rate_of_core_prepared
    )?;
    writeln!(
        out,
        "memory of the controller: {:.1} MB empty, {:.1} MB with {} idle clients",
        f.empty_mb, f.idle_mb, f.idle
    )?;
    if f.capture_rate > 0.0 {
        writeln!(
            out,
            "with a capture over without, in turn: rate {:.3}, for a second of processor {:.3}, latency p50 {:.3} p99 {:.3}; lost {:.4} of the records, {:.0} bytes a query",
            f.capture_rate, f.capture_rate_of_core, f.capture_latency[0], f.capture_latency[1], f.capture_lost, f.capture_bytes
        )?;
    }
    Ok(())
}
