//! The emulator against queueing theory: what has a closed form must come out of it, within a stated error.
//!
//! Arrivals and work are drawn by a fixed seed, so each verdict is the same each time.

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use wheelfield_engine_emulator::model::*;

/// Jobs of a run; the first tenth fills the system and is left out.
const JOBS: u64 = 120_000;
/// Relative error allowed.
const WITHIN: f64 = 0.04;

fn bare() -> Spec {
    Spec {
        cores: 1.0,
        disks: 1.0,
        memory_mb: 1e9,
        most_grant: 1.0,
        sessions: 100_000,
        knee: 1e9,
        warm_groups: 0,
        note_every: 0,
        report_every: 3_600_000_000,
        ..Spec::default()
    }
}

fn exponential(chance: &mut Pcg64Mcg) -> f64 {
    -(1.0 - chance.random::<f64>()).ln()
}

/// What was seen of a run.
struct Seen {
    /// Mean time in the system, in seconds.
    sojourn: f64,
    /// Mean number in it over time.
    number: f64,
    /// Arrivals a second.
    rate: f64,
    /// Share of the time in which the cores or disks were busy, weighed by how many.
    work_done: f64,
}

/// Poisson arrivals at a rate, jobs made by `make`.
fn run(spec: Spec, rate: f64, seed: u64, mut make: impl FnMut(u64, &mut Pcg64Mcg) -> Job) -> Seen {
    let mut model = Model::new(spec, 0);
    let mut chance = Pcg64Mcg::seed_from_u64(seed);
    let mut out = Vec::new();
    let mut came: BTreeMap<u64, i64> = BTreeMap::new();
    let (mut next, mut id) = (0.0, 0);
    let (mut sum, mut n, mut area, mut last, mut work_done) = (0.0, 0_u64, 0.0, 0_i64, 0.0);
    let warm = JOBS / 10;
    let mut first = 0;
    loop {
        let due = (next * 1e6) as i64;
        let event = model.next_event().filter(|at| *at <= due || id >= JOBS);
        let now = event.unwrap_or(due);
        if id > warm {
            area += came.len() as f64 * (now - last) as f64 / 1e6;
        }
        last = now;
        if event.is_some() {
            model.advance(now, &mut out);
        } else if id < JOBS {
            id += 1;
            if id == warm + 1 {
                first = now;
            }
            came.insert(id, now);
            let job = make(id, &mut chance);
            model.submit(now, job, &mut out).expect("room for all");
            next += exponential(&mut chance) / rate;
        }
        for happened in out.drain(..) {
            if let Happened::Finished { id, work } = happened {
                let at = came.remove(&id).expect("it came");
                if id > warm {
                    sum += (now - at) as f64 / 1e6;
                    n += 1;
                    work_done += work;
                }
            }
        }
        if id >= JOBS && came.is_empty() {
            break;
        }
    }
    let span = (last - first) as f64 / 1e6;
    Seen { sojourn: sum / n as f64, number: area / span, rate: n as f64 / span, work_done: work_done / span }
}

fn near(what: &str, seen: f64, theory: f64, within: f64) {
    assert!((seen / theory - 1.0).abs() < within, "{what}: {seen:.4} seen, {theory:.4} by theory");
}

/// Erlang's C: the chance to wait with `c` servers at an offered load of `a`.
fn erlang_c(c: usize, a: f64) -> f64 {
    let (mut term, mut sum) = (1.0, 1.0);
    for k in 1..c {
        term *= a / k as f64;
        sum += term;
    }
    let last = term * a / c as f64 * (c as f64 / (c as f64 - a));
    last / (sum + last)
}

fn plain(id: u64, work: f64) -> Job {
    Job { id, work, usual: work, ..Job::default() }
}

#[test]
fn one_core_shared_is_a_processor_sharing_queue_whatever_the_work_is_like() {
    for rho in [0.5, 0.8] {
        let mean = 0.1;
        let theory = mean / (1.0 - rho);
        let m = run(bare(), rho / mean, 1, |id, chance| plain(id, mean * exponential(chance)));
        near("M/M/1-PS", m.sojourn, theory, WITHIN);
        // Processor sharing does not mind how work is spread: two sizes, of which one is rare and ten times as large.
        let g = run(bare(), rho / mean, 2, |id, chance| {
            let large = chance.random::<f64>() < 0.1;
            plain(id, mean * if large { 10.0 } else { 1.0 } / 1.9)
        });
        near("M/G/1-PS", g.sojourn, theory, WITHIN);
        near("use of the core", g.work_done, rho, WITHIN);
    }
}

#[test]
fn many_cores_are_as_many_servers() {
    for (c, rho) in [(4_usize, 0.7), (8, 0.9)] {
        let (mean, a) = (0.1, rho * c as f64);
        let rate = a / mean;
        // With exponential work the number in the system is that of M/M/c, shared or in turn.
        let theory = mean + erlang_c(c, a) * mean / (c as f64 - a);
        let spec = Spec { cores: c as f64, disks: c as f64, ..bare() };
        let m = run(spec.clone(), rate, 3, |id, chance| plain(id, mean * exponential(chance)));
        near("M/M/c, cores shared", m.sojourn, theory, WITHIN);
        // The same by memory that lets in as many as there are cores: M/M/c in turn.
        let line = Spec { memory_mb: c as f64 * 125.0, short: Short::Wait, ..spec };
        let m = run(line, rate, 4, |id, chance| Job {
            memory_mb: 100.0,
            ..plain(id, mean * exponential(chance))
        });
        near("M/M/c, in line for memory", m.sojourn, theory, WITHIN);
    }
}

#[test]
fn littles_law_holds_under_all_effects_together() {
    let spec = Spec {
        cores: 4.0,
        disks: 3.0,
        memory_mb: 900.0,
        knee: 2.0,
        thrash: 0.3,
        warm_groups: 4,
        sessions: 100_000,
        note_every: 0,
        short: Short::Shrink,
        most_grant: 0.4,
        ..Spec::default()
    };
    let seen = run(spec, 20.0, 5, |id, chance| Job {
        memory_mb: 50.0 + 200.0 * chance.random::<f64>(),
        io: chance.random(),
        tables: chance.random_range(0..12),
        priority: chance.random_range(0..4),
        ..plain(id, 0.08 * exponential(chance))
    });
    near("L = lambda W", seen.number, seen.rate * seen.sojourn, 0.01);
}

#[test]
fn disks_are_servers_of_their_own() {
    let (c, rho, mean) = (3_usize, 0.75, 0.2);
    let a = rho * c as f64;
    let theory = mean + erlang_c(c, a) * mean / (c as f64 - a);
    let spec = Spec { cores: 100.0, disks: c as f64, ..bare() };
    let m = run(spec, a / mean, 6, |id, chance| Job { io: 1.0, ..plain(id, mean * exponential(chance)) });
    near("M/M/c of disks", m.sojourn, theory, WITHIN);
}

#[test]
fn warm_tables_are_hit_as_a_list_of_the_last_used_says() {
    // Uniform over n groups with the g last used kept: a share g / n is warm, and saves its gain of the reading.
    let (n, g, gain, io, mean) = (20_u64, 5_usize, 0.6, 0.5, 0.1);
    let spec = Spec { cores: 1e6, disks: 1e6, warm_groups: g, warm_gain: gain, ..bare() };
    let rate = 50.0;
    let seen =
        run(spec, rate, 7, |id, chance| Job { io, tables: chance.random_range(0..n), ..plain(id, mean) });
    let theory = mean * (1.0 - gain * io * g as f64 / n as f64);
    near("work with warm tables", seen.work_done / seen.rate, theory, 0.01);
}

#[test]
fn a_spilling_query_does_as_much_more_as_it_lacks() {
    let spec = Spec { cores: 1e6, disks: 1e6, memory_mb: 1_000.0, most_grant: 0.1, spill: 3.0, ..bare() };
    // All ask for 200 and get 100: half is missing, and costs three times that in work.
    let seen = run(spec, 1.0, 8, |id, _| Job { memory_mb: 200.0, ..plain(id, 0.05) });
    near("work with spill", seen.work_done / seen.rate, 0.05 * (1.0 + 3.0 * 0.5), 0.01);
}

#[test]
fn beyond_the_knee_the_whole_falls_as_the_formula_says() {
    // Twelve at once on two cores, knee 2: six threads a core, four beyond.
    for thrash in [0.0, 0.25, 1.0] {
        let mut model = Model::new(Spec { cores: 2.0, disks: 2.0, knee: 2.0, thrash, ..bare() }, 0);
        let mut out = Vec::new();
        (1..=12).for_each(|id| model.submit(0, plain(id, 1.0), &mut out).expect("room"));
        let at = model.next_event().expect("they end") as f64 / 1e6;
        near("the end of all", at, 6.0 * (1.0 + thrash * 4.0), 1e-4);
    }
}

#[test]
fn a_cold_engine_does_the_integral_of_its_ramp() {
    let (from, span) = (0.4, 10.0);
    let spec =
        Spec { cold_from: from, cold_for: 10_000_000, fall_multiple: 0.0, report_every: 50_000, ..bare() };
    for work in [0.5, 3.0, 6.0, 20.0] {
        let mut model = Model::new(spec.clone(), 0);
        model.start(0);
        let mut out = Vec::new();
        model.submit(0, plain(1, work), &mut out).expect("room");
        let mut at = 0;
        while !out.iter().any(|h| matches!(h, Happened::Finished { .. })) {
            at = model.next_event().expect("it goes on");
            model.advance(at, &mut out);
        }
        // from t + (1 - from) t^2 / 2 span, until the ramp is over.
        let ramp = span * (from + (1.0 - from) / 2.0);
        let theory = if work > ramp {
            span + work - ramp
        } else {
            let b = (1.0 - from) / span;
            ((from * from + 2.0 * b * work).sqrt() - from) / b
        };
        near("the end on a cold engine", at as f64 / 1e6, theory, 0.01);
    }
}

#[test]
fn a_cold_engine_falls_over_at_the_multiple_of_what_it_could_do() {
    let spec = Spec {
        cores: 4.0,
        cold_from: 0.5,
        cold_for: 3_600_000_000,
        fall_multiple: 2.0,
        fall_span: 1_000_000,
        ..bare()
    };
    // Able: 4 cores at 0.5 for a second; twice that is 4 s of work.
    for (jobs, falls) in [(40, false), (42, true)] {
        let mut model = Model::new(spec.clone(), 0);
        model.start(0);
        let mut out = Vec::new();
        for id in 1..=jobs {
            let _ = model.submit(id as i64 * 20_000, plain(id, 0.1), &mut out);
        }
        assert_eq!(out.contains(&Happened::FellOver), falls, "{jobs} of 0.1 s within a second");
    }
}

/// A judge that can't fail judges nothing: a server a tenth slower is seen.
#[test]
fn a_planted_error_of_a_tenth_is_seen() {
    let mean = 0.1;
    let slower =
        run(Spec { speed: 0.9, ..bare() }, 5.0, 1, |id, chance| plain(id, mean * exponential(chance)));
    let theory = mean / (1.0 - 0.5);
    assert!((slower.sojourn / theory - 1.0).abs() > 2.0 * WITHIN, "{}", slower.sojourn);
}
