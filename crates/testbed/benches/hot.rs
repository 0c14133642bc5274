//! Benchmarks of the in-memory cost of a query: routing decisions, protocol parsing and buffers, without any I/O. Run with
//! `cargo bench -p wheelfield-testbed`.
//!
//! Compare only results of the same run: the speed of a machine changes over time.

use bytes::{Bytes, BytesMut};
use criterion::{criterion_group, criterion_main, BatchSize, BenchmarkId, Criterion, Throughput};
use wheelfield::interface::{EngineEntry, LoadReport, Micros, Outcome, Status};
use wheelfield_driver::{Arrival, Driver, DriverLimits, Input, Instruction};
use wheelfield_pg::{backend_messages, frame, frontend_messages};
use wheelfield_testbed::day::Day;

/// A started driver whose engine list holds this many engines.
fn driver(engines: usize, controllers: usize) -> Driver {
    let mut day = Day::parse("grown", include_str!("../days/grown.toml")).expect("the built-in day is valid");
    (day.engines, day.controllers) = (engines, controllers);
    let settings = day.settings().expect("the built-in day is valid");
    let mut driver = Driver::new(settings, 1, DriverLimits::default());
    let mut out = Vec::new();
    let entry = |i: usize| EngineEntry {
        engine: wheelfield_config::engine_id(&format!("engine-{i:02}")),
        zone: i % 2,
        kind: 0,
        cell: i as i64 / 4,
        status: Status::Up,
        started_at: None,
    };
    driver.handle_input(Micros(0), Input::Started, &mut out);
    driver.handle_input(
        Micros(0),
        Input::Engines { complete: true, entries: (0..engines).map(entry).collect() },
        &mut out,
    );
    driver
}

/// Drives one query from its arrival until it is served.
fn serve_query(driver: &mut Driver, now: &mut Micros, out: &mut Vec<Instruction>) {
    *now = *now + Micros(3_000);
    out.clear();
    while driver.next_timer_at().is_some_and(|at| at <= *now) && driver.handle_timers(*now, out) {}
    let due = *now + Micros(7_000_000);
    let arrival = Arrival {
        class: 0,
        deadline: due,
        work_hint: Some(0.3),
        memory_hint: Some(40.0),
        tables: 3,
        ..Arrival::default()
    };
    let _ = driver.submit(*now, arrival, out);
    let started = out.iter().find_map(|i| match i {
        Instruction::Start { attempt, .. } => Some(*attempt),
        _ => None,
    });
    let Some(attempt) = started else { return };
    driver.handle_input(*now, Input::Dispatched(attempt), out);
    *now = *now + Micros(2_000);
    let report = LoadReport {
        utilisation: Some(0.5),
        in_flight: Some(4.0),
        queued: Some(0.0),
        memory_granted: Some(0.3),
        disk_utilisation: Some(0.2),
    };
    let ended = Input::AttemptEnded { attempt, outcome: Outcome::Served, reported_work: Some(0.3), report };
    driver.handle_input(*now, ended, out);
}

fn bench_decisions(c: &mut Criterion) {
    let mut group = c.benchmark_group("decision, arrival to service");
    for (engines, controllers) in [(8, 24), (41, 24), (41, 180), (200, 180)] {
        let name = BenchmarkId::from_parameter(format!("{engines} engines, {controllers} controllers"));
        let mut driver = driver(engines, controllers);
        // Starts a minute after the driver, when its slow start of engines is over.
        let (mut now, mut out) = (Micros(60_000_000), Vec::new());
        group.bench_function(name, |b| b.iter(|| serve_query(&mut driver, &mut now, &mut out)));
    }
    group.finish();
}

fn bench_protocol(c: &mut Criterion) {
    let mut group = c.benchmark_group("protocol");
    let mut query = BytesMut::new();
    frontend_messages::put_query(
        "select * from facts /*class='lookup',id='q1-0',due_ms='5000',work_ms='300.0'*/",
        &mut query,
    );
    group.throughput(Throughput::Bytes(query.len() as u64));
    group.bench_function("a simple query read", |b| {
        b.iter_batched(
            || query.clone(),
            |mut q| std::hint::black_box(frontend_messages::take_message(&mut q, 1 << 20)),
            BatchSize::SmallInput,
        );
    });
    let mut rows = BytesMut::new();
    let value: &[u8] = b"0123456789abcdef";
    for _ in 0..200 {
        backend_messages::put_data_row([Some(value), None, Some(value)].into_iter(), &mut rows);
    }
    backend_messages::put_command_complete("SELECT 200", &mut rows);
    group.throughput(Throughput::Bytes(rows.len() as u64));
    group.bench_function("an answer of 200 rows taken apart", |b| {
        b.iter_batched(
            || rows.clone(),
            |mut all| {
                let mut n = 0;
                while let Ok(Some((_, message))) = frame::take_message(&mut all, 1 << 20) {
                    n += message.len();
                }
                n
            },
            BatchSize::SmallInput,
        );
    });
    group.finish();
}

fn bench_buffers(c: &mut Criterion) {
    let mut group = c.benchmark_group("buffers");
    let part = Bytes::from(vec![7_u8; 16 << 10]);
    group.throughput(Throughput::Bytes(part.len() as u64));
    group.bench_function("16 kB in and out in messages of 64 bytes", |b| {
        b.iter(|| {
            let mut buffer = BytesMut::new();
            buffer.extend_from_slice(&part);
            let mut sum = 0;
            while buffer.len() >= 64 {
                sum += buffer.split_to(64).freeze().len();
            }
            sum
        });
    });
    group.finish();
}

criterion_group!(hot, bench_decisions, bench_protocol, bench_buffers);
criterion_main!(hot);
