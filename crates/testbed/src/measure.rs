//! Measures the overhead of a controller: added latency, queries per second of one core, and memory of idle clients. Values
//! that are compared are measured in one run, because different runs on a shared machine are not comparable.

use crate::cluster::{Cluster, ClusterOptions, ControllerChange};
use crate::day::Day;
use crate::plan::Plan;
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

/// Options of a measurement.
#[derive(Clone, Copy, Debug)]
pub struct MeasureOptions {
    /// Number of latency samples, each one direct query and one through the controller.
    pub pairs: usize,
    /// Duration of each full-load phase, in seconds.
    pub seconds: u64,
    /// Number of connections in full-load phases.
    pub connections: usize,
    /// Number of idle connections.
    pub idle: usize,
    /// Number of rounds that alternate load between a controller with a capture and one without.
    pub rounds: usize,
}

/// Measured values.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Measurements {
    /// Latency of direct queries to an emulated engine in microseconds: 50th and 99th percentile.
    pub direct_us: [f64; 2],
    /// Latency through the controller in microseconds: 50th and 99th percentile.
    pub through_us: [f64; 2],
    /// Latency added by the controller: difference of the percentiles above.
    pub added_us: [f64; 2],
    /// Queries per second through the controller under full load.
    pub rate: f64,
    /// Queries per second of the controller's CPU time under full load.
    pub rate_of_core: f64,
    /// The same with the extended protocol and a statement that is prepared once.
    pub rate_of_core_prepared: f64,
    /// Number of idle connections.
    pub idle: usize,
    /// The controller's memory without idle connections, in MB.
    pub empty_mb: f64,
    /// The controller's memory with idle connections, in MB.
    pub idle_mb: f64,
    /// Rate with a capture divided by the rate without; median of the rounds.
    pub capture_rate: f64,
    /// The same for the rate per second of CPU time, which includes the thread that writes the capture.
    pub capture_rate_of_core: f64,
    /// Latency with a capture divided by the latency without: 50th and 99th percentile.
    pub capture_latency: [f64; 2],
    /// Fraction of the capture's records that were lost.
    pub capture_lost: f64,
    /// Bytes written to the capture per query.
    pub capture_bytes: f64,
    /// Queries per second sent directly to an emulated engine under the same load.
    pub direct_rate: f64,
}

/// A connection that sends its next query when the previous one is answered.
struct ClientConnection {
    stream: Stream,
    ready: bool,
    sent_at: Instant,
}

/// Messages that a connection sends: once after startup, and for each query.
struct Workload {
    prepare: BytesMut,
    query: BytesMut,
}

fn simple_workload() -> Workload {
    let mut query = BytesMut::new();
    frontend_messages::put_query("select 1", &mut query);
    Workload { prepare: BytesMut::new(), query }
}

fn prepared_workload() -> Workload {
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
    Workload { prepare, query }
}

/// Sends queries over many connections from one thread.
struct LoadGenerator {
    poll: Poll,
    events: Events,
    all: Slab<ClientConnection>,
    scratch: Vec<u8>,
}

impl LoadGenerator {
    fn new() -> Result<LoadGenerator> {
        Ok(LoadGenerator {
            poll: Poll::new()?,
            events: Events::with_capacity(4096),
            all: Slab::new(),
            scratch: vec![0; 64 << 10],
        })
    }

    fn connect(&mut self, address: SocketAddr, workload: &Workload) -> Result<usize> {
        let entry = self.all.vacant_entry();
        let id = entry.key();
        let mut stream = Stream::connect(None, address, self.poll.registry(), Token(id))?;
        frontend_messages::put_startup(&[("user", "lab"), ("database", "lab")], &mut stream.output);
        stream.output.extend_from_slice(&workload.prepare);
        entry.insert(ClientConnection { stream, ready: false, sent_at: Instant::now() });
        Ok(id)
    }

    /// Polls once, and adds the connections that received a complete answer to `answered`.
    fn poll_once(&mut self, wait: Duration, answered: &mut Vec<usize>) -> Result<()> {
        match self.poll.poll(&mut self.events, Some(wait)) {
            Err(error) if error.kind() != std::io::ErrorKind::Interrupted => return Err(error.into()),
            _ => {}
        }
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
                    "the server sent an error: {:?}",
                    wheelfield_pg::backend_messages::parse_sqlstate_and_message(&message)
                );
                if tag == b'Z' {
                    answered.push(id);
                }
            }
            c.stream.release_empty_input();
            ensure!(!c.stream.is_read_finished(), "the server closed a connection");
        }
        Ok(())
    }

    /// Opens `n` connections, with at most 200 in their startup at a time, and waits until all are ready for queries.
    fn open(&mut self, n: usize, address: SocketAddr, workload: &Workload) -> Result<()> {
        let mut answered = Vec::new();
        let until = Instant::now() + Duration::from_secs(60);
        // The server sends ReadyForQuery after the startup, and again after the preparation.
        let ready_messages = if workload.prepare.is_empty() { 1 } else { 2 };
        let (mut opened, mut seen) = (0, 0);
        while seen < n * ready_messages {
            while opened < n && opened < seen / ready_messages + 200 {
                self.connect(address, workload)?;
                opened += 1;
            }
            self.poll_once(Duration::from_millis(20), &mut answered)?;
            seen += answered.len();
            answered.clear();
            ensure!(
                Instant::now() < until,
                "only {seen} of {} ReadyForQuery messages within 60 s",
                n * ready_messages
            );
        }
        self.all.iter_mut().for_each(|(_, c)| c.ready = true);
        Ok(())
    }

    fn send(&mut self, id: usize, workload: &Workload) -> Result<()> {
        let c = &mut self.all[id];
        c.stream.output.extend_from_slice(&workload.query);
        c.sent_at = Instant::now();
        c.stream.flush()?;
        Ok(())
    }

    /// Loads the server with one query at a time on each connection. Returns the number of answers and the seconds taken.
    fn load(&mut self, seconds: u64, workload: &Workload) -> Result<(u64, f64)> {
        let ids: Vec<usize> = self.all.iter().map(|(id, _)| id).collect();
        for id in ids {
            self.send(id, workload)?;
        }
        let start = Instant::now();
        let until = start + Duration::from_secs(seconds);
        let (mut answered, mut done) = (Vec::new(), 0u64);
        while Instant::now() < until {
            self.poll_once(Duration::from_millis(100), &mut answered)?;
            done += answered.len() as u64;
            for id in answered.drain(..) {
                self.send(id, workload)?;
            }
        }
        Ok((done, start.elapsed().as_secs_f64()))
    }

    /// Waits for the answers to the `n` queries that are outstanding when [`Self::load`] returns.
    fn drain(&mut self, n: usize) -> Result<()> {
        let (mut answered, mut seen) = (Vec::new(), 0);
        let until = Instant::now() + Duration::from_secs(10);
        while seen < n {
            self.poll_once(Duration::from_millis(100), &mut answered)?;
            seen += answered.len();
            answered.clear();
            ensure!(Instant::now() < until, "only {seen} of {n} answers within 10 s");
        }
        Ok(())
    }

    /// Sends one query and returns its latency.
    fn timed_query(&mut self, id: usize, workload: &Workload) -> Result<Duration> {
        self.send(id, workload)?;
        let mut answered = Vec::new();
        let until = Instant::now() + Duration::from_secs(10);
        while answered.is_empty() {
            self.poll_once(Duration::from_millis(100), &mut answered)?;
            ensure!(Instant::now() < until, "no answer within 10 s");
        }
        Ok(self.all[id].sent_at.elapsed())
    }
}

/// Measures a controller in front of emulated engines that answer immediately.
///
/// # Errors
/// If a process can't be started, a connection fails, or the server answers with an error.
#[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
pub fn measure(day: &Day, dir: &Path, options: MeasureOptions) -> Result<Measurements> {
    let mut day = day.clone();
    (day.engines, day.controllers, day.troubles) = (4, 2, Vec::new());
    for (name, value) in [("clients", 60_000), ("sessions", 1000)] {
        day.limits.insert(name.into(), toml::Value::Integer(value));
    }
    let plan = Plan::draw(&day, 1);
    let cluster_options = ClusterOptions {
        dir: dir.to_path_buf(),
        seed: 1,
        plant: None,
        log_level: "warn".into(),
        capture: Some(1),
        programs: None,
        beside: None,
        listen: None,
    };
    let mut cluster = Cluster::start(&day, &plan, cluster_options, Clock::start())?;
    let controllers = cluster.started_controllers();
    let [ControllerChange::Started(_, controller), ControllerChange::Started(_, capturing_controller)] =
        controllers[..]
    else {
        anyhow::bail!("expected two running controllers")
    };
    let engine: SocketAddr = cluster.engine_addresses().first().context("no engine was started")?.parse()?;
    let memory = |cluster: &Cluster| cluster.usage(0).map_or(0.0, |(_, bytes)| bytes as f64 / 1_048_576.0);
    let cpu = |cluster: &Cluster| cluster.usage(0).map_or(0.0, |(cpu, _)| cpu);
    let mut measurements = Measurements { empty_mb: memory(&cluster), ..Measurements::default() };
    let workload = simple_workload();

    // Idle clients are measured first, before load grows the controller's tables.
    let mut idle = LoadGenerator::new()?;
    idle.open(options.idle, controller, &workload)?;
    (measurements.idle, measurements.idle_mb) = (options.idle, memory(&cluster));
    drop(idle);

    // Latency: one query at a time, alternately direct and through the controller.
    let mut generator = LoadGenerator::new()?;
    generator.open(1, engine, &workload)?;
    let direct = 0;
    generator.open(1, controller, &workload)?;
    let through = 1;
    let mut histograms = [Histogram::<u64>::new(3)?, Histogram::<u64>::new(3)?];
    // The first 500 pairs warm up the processes and are not recorded.
    for n in 0..options.pairs + 500 {
        for (i, id) in [direct, through].into_iter().enumerate() {
            let took = generator.timed_query(id, &workload)?;
            if n >= 500 {
                histograms[i].record(took.as_nanos() as u64)?;
            }
        }
    }
    let percentiles = |h: &Histogram<u64>| [0.5, 0.99].map(|q| h.value_at_quantile(q) as f64 / 1e3);
    (measurements.direct_us, measurements.through_us) =
        (percentiles(&histograms[0]), percentiles(&histograms[1]));
    measurements.added_us = [0, 1].map(|i| measurements.through_us[i] - measurements.direct_us[i]);
    drop(generator);

    // Full load: direct, through the controller, and through the controller with a prepared statement.
    let mut generator = LoadGenerator::new()?;
    generator.open(options.connections, engine, &workload)?;
    let (done, took) = generator.load(options.seconds, &workload)?;
    measurements.direct_rate = done as f64 / took;
    drop(generator);
    for (workload, is_prepared) in [(simple_workload(), false), (prepared_workload(), true)] {
        let mut generator = LoadGenerator::new()?;
        generator.open(options.connections, controller, &workload)?;
        let before = cpu(&cluster);
        let (done, took) = generator.load(options.seconds, &workload)?;
        let used = (cpu(&cluster) - before).max(0.01);
        if is_prepared {
            measurements.rate_of_core_prepared = done as f64 / used;
        } else {
            (measurements.rate, measurements.rate_of_core) = (done as f64 / took, done as f64 / used);
        }
    }
    if options.rounds > 0 {
        measure_capture(&cluster, [controller, capturing_controller], options, &mut measurements)?;
    }
    cluster.end()?;
    Ok(measurements)
}

fn median(mut all: Vec<f64>) -> f64 {
    all.sort_by(f64::total_cmp);
    all.get(all.len() / 2).copied().unwrap_or(0.0)
}

/// Alternates load between a controller with a capture and one without. Records ratios, because the machine's speed drifts.
fn measure_capture(
    cluster: &Cluster,
    addresses: [SocketAddr; 2],
    options: MeasureOptions,
    measurements: &mut Measurements,
) -> Result<()> {
    let workload = simple_workload();
    let cpu = |i: usize| cluster.usage(i).map_or(0.0, |(cpu, _)| cpu);
    let mut generators = Vec::new();
    for address in addresses {
        let mut generator = LoadGenerator::new()?;
        generator.open(options.connections, address, &workload)?;
        generators.push(generator);
    }
    let (mut rate_ratios, mut core_rate_ratios) = (Vec::new(), Vec::new());
    for _ in 0..options.rounds {
        let mut round = [(0.0, 0.0); 2];
        for (i, generator) in generators.iter_mut().enumerate() {
            let before = cpu(i);
            let (done, took) = generator.load(1, &workload)?;
            round[i] = (done as f64 / took, done as f64 / (cpu(i) - before).max(0.01));
            generator.drain(options.connections)?;
        }
        rate_ratios.push(round[1].0 / round[0].0);
        core_rate_ratios.push(round[1].1 / round[0].1);
    }
    (measurements.capture_rate, measurements.capture_rate_of_core) =
        (median(rate_ratios), median(core_rate_ratios));
    let mut histograms = [Histogram::<u64>::new(3)?, Histogram::<u64>::new(3)?];
    for _ in 0..options.pairs {
        for (i, generator) in generators.iter_mut().enumerate() {
            let took = generator.timed_query(0, &workload)?;
            histograms[i].record(took.as_nanos() as u64)?;
        }
    }
    let latency_ratio =
        |q: f64| histograms[1].value_at_quantile(q) as f64 / histograms[0].value_at_quantile(q).max(1) as f64;
    measurements.capture_latency = [latency_ratio(0.5), latency_ratio(0.99)];
    let counter = |name: &str| cluster.figure(1, name).unwrap_or(0) as f64;
    let (lost, recorded) = (counter("capture_lost"), counter("capture_recorded"));
    measurements.capture_lost = lost / (lost + recorded).max(1.0);
    measurements.capture_bytes = counter("capture_bytes") / counter("queries_taken").max(1.0);
    Ok(())
}

/// Prints the measurements as text.
pub fn print(f: &Measurements, out: &mut impl std::io::Write) -> std::io::Result<()> {
    writeln!(out, "latency of a trivial query, one at a time, alternating (p50, p99, us):")?;
    writeln!(out, "  direct to an engine        {:>8.1} {:>8.1}", f.direct_us[0], f.direct_us[1])?;
    writeln!(out, "  through the controller     {:>8.1} {:>8.1}", f.through_us[0], f.through_us[1])?;
    writeln!(out, "  added                      {:>8.1} {:>8.1}", f.added_us[0], f.added_us[1])?;
    writeln!(out, "full load, queries per second:")?;
    writeln!(out, "  direct to one engine       {:>8.0}", f.direct_rate)?;
    writeln!(out, "  through the controller     {:>8.0}", f.rate)?;
    writeln!(
        out,
        "  per second of its CPU time: simple {:.0}, prepared {:.0}",
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
            "with a capture relative to without, alternating: rate {:.3}, rate per CPU second {:.3}, latency p50 {:.3} p99 {:.3}; lost {:.4} of the records, {:.0} bytes per query",
            f.capture_rate, f.capture_rate_of_core, f.capture_latency[0], f.capture_latency[1], f.capture_lost, f.capture_bytes
        )?;
    }
    Ok(())
}
