//! Compares the execution model with queueing theory: results with a closed form must be matched
//! within a stated error.
//!
//! Arrivals and work are drawn with fixed seeds, so the results are reproducible.

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use wheelfield_engine_emulator::model::*;

/// Number of jobs in a run; the first tenth is a warm-up and not measured.
const JOBS: u64 = 120_000;
/// Maximum relative error.
const MAX_RELATIVE_ERROR: f64 = 0.04;

fn base_spec() -> EngineSpec {
    EngineSpec {
        cores: 1.0,
        disks: 1.0,
        memory_mb: 1e9,
        max_grant_fraction: 1.0,
        max_sessions: 100_000,
        knee_threads_per_core: 1e9,
        warm_table_groups: 0,
        progress_interval: 0,
        report_interval: 3_600_000_000,
        ..EngineSpec::default()
    }
}

fn exponential(rng: &mut Pcg64Mcg) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}

/// Statistics of a run.
struct RunStatistics {
    /// Mean time in the system, in seconds.
    mean_sojourn: f64,
    /// Time-averaged number of jobs in the system.
    mean_number_in_system: f64,
    /// Completed jobs per second.
    rate: f64,
    /// Work done per second, in thread-seconds.
    work_done: f64,
}

/// Simulates Poisson arrivals at a rate, with jobs from `make_job`.
fn run(
    spec: EngineSpec,
    rate: f64,
    seed: u64,
    mut make_job: impl FnMut(u64, &mut Pcg64Mcg) -> Job,
) -> RunStatistics {
    let mut model = Model::new(spec, 0);
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut out = Vec::new();
    let mut arrived_at: BTreeMap<u64, i64> = BTreeMap::new();
    let (mut next, mut id) = (0.0, 0);
    let (mut sojourn_sum, mut completed, mut number_integral, mut last, mut work_done) =
        (0.0, 0_u64, 0.0, 0_i64, 0.0);
    let warmup_jobs = JOBS / 10;
    let mut measured_from = 0;
    loop {
        let due = (next * 1e6) as i64;
        let event = model.next_event().filter(|at| *at <= due || id >= JOBS);
        let now = event.unwrap_or(due);
        if id > warmup_jobs {
            number_integral += arrived_at.len() as f64 * (now - last) as f64 / 1e6;
        }
        last = now;
        if event.is_some() {
            model.advance(now, &mut out);
        } else if id < JOBS {
            id += 1;
            if id == warmup_jobs + 1 {
                measured_from = now;
            }
            arrived_at.insert(id, now);
            let job = make_job(id, &mut rng);
            model.submit(now, job, &mut out).expect("within the session limit");
            next += exponential(&mut rng) / rate;
        }
        for model_event in out.drain(..) {
            if let ModelEvent::Finished { id, work } = model_event {
                let at = arrived_at.remove(&id).expect("job was submitted");
                if id > warmup_jobs {
                    sojourn_sum += (now - at) as f64 / 1e6;
                    completed += 1;
                    work_done += work;
                }
            }
        }
        if id >= JOBS && arrived_at.is_empty() {
            break;
        }
    }
    let duration = (last - measured_from) as f64 / 1e6;
    RunStatistics {
        mean_sojourn: sojourn_sum / completed as f64,
        mean_number_in_system: number_integral / duration,
        rate: completed as f64 / duration,
        work_done: work_done / duration,
    }
}

fn assert_near(label: &str, measured: f64, theory: f64, tolerance: f64) {
    assert!(
        (measured / theory - 1.0).abs() < tolerance,
        "{label}: measured {measured:.4}, expected {theory:.4}"
    );
}

/// Erlang's C formula: the probability of waiting with `c` servers at an offered load of `a`.
fn erlang_c(c: usize, a: f64) -> f64 {
    let (mut term, mut sum) = (1.0, 1.0);
    for k in 1..c {
        term *= a / k as f64;
        sum += term;
    }
    let last = term * a / c as f64 * (c as f64 / (c as f64 - a));
    last / (sum + last)
}

fn cpu_job(id: u64, work: f64) -> Job {
    Job { id, work, nominal_work: work, ..Job::default() }
}

#[test]
fn one_shared_core_matches_processor_sharing_for_any_work_distribution() {
    for rho in [0.5, 0.8] {
        let mean = 0.1;
        let theory = mean / (1.0 - rho);
        let m = run(base_spec(), rho / mean, 1, |id, rng| cpu_job(id, mean * exponential(rng)));
        assert_near("M/M/1-PS", m.mean_sojourn, theory, MAX_RELATIVE_ERROR);
        // The mean sojourn time of processor sharing depends only on the mean work. Here there are
        // two job sizes, of which one is rare and ten times as large.
        let g = run(base_spec(), rho / mean, 2, |id, rng| {
            let large = rng.random::<f64>() < 0.1;
            cpu_job(id, mean * if large { 10.0 } else { 1.0 } / 1.9)
        });
        assert_near("M/G/1-PS", g.mean_sojourn, theory, MAX_RELATIVE_ERROR);
        assert_near("core utilization", g.work_done, rho, MAX_RELATIVE_ERROR);
    }
}

#[test]
fn cores_match_the_servers_of_an_mmc_queue() {
    for (c, rho) in [(4_usize, 0.7), (8, 0.9)] {
        let (mean, a) = (0.1, rho * c as f64);
        let rate = a / mean;
        // With exponentially distributed work the number in the system equals that of M/M/c, whether
        // the cores are shared or the jobs queue.
        let theory = mean + erlang_c(c, a) * mean / (c as f64 - a);
        let spec = EngineSpec { cores: c as f64, disks: c as f64, ..base_spec() };
        let m = run(spec.clone(), rate, 3, |id, rng| cpu_job(id, mean * exponential(rng)));
        assert_near("M/M/c, cores shared", m.mean_sojourn, theory, MAX_RELATIVE_ERROR);
        // A queue for memory that admits as many jobs as there are cores: M/M/c in order of arrival.
        let queue_spec =
            EngineSpec { memory_mb: c as f64 * 125.0, memory_shortage: MemoryShortage::Queue, ..spec };
        let m = run(queue_spec, rate, 4, |id, rng| Job {
            memory_mb: 100.0,
            ..cpu_job(id, mean * exponential(rng))
        });
        assert_near("M/M/c, queued for memory", m.mean_sojourn, theory, MAX_RELATIVE_ERROR);
    }
}

#[test]
fn littles_law_holds_with_all_effects_combined() {
    let spec = EngineSpec {
        cores: 4.0,
        disks: 3.0,
        memory_mb: 900.0,
        knee_threads_per_core: 2.0,
        thrashing_penalty: 0.3,
        warm_table_groups: 4,
        max_sessions: 100_000,
        progress_interval: 0,
        memory_shortage: MemoryShortage::ShrinkGrant,
        max_grant_fraction: 0.4,
        ..EngineSpec::default()
    };
    let measured = run(spec, 20.0, 5, |id, rng| Job {
        memory_mb: 50.0 + 200.0 * rng.random::<f64>(),
        io: rng.random(),
        table_group: rng.random_range(0..12),
        priority: rng.random_range(0..4),
        ..cpu_job(id, 0.08 * exponential(rng))
    });
    assert_near("L = lambda W", measured.mean_number_in_system, measured.rate * measured.mean_sojourn, 0.01);
}

#[test]
fn disks_match_the_servers_of_an_mmc_queue() {
    let (c, rho, mean) = (3_usize, 0.75, 0.2);
    let a = rho * c as f64;
    let theory = mean + erlang_c(c, a) * mean / (c as f64 - a);
    let spec = EngineSpec { cores: 100.0, disks: c as f64, ..base_spec() };
    let m = run(spec, a / mean, 6, |id, rng| Job { io: 1.0, ..cpu_job(id, mean * exponential(rng)) });
    assert_near("M/M/c with disks as servers", m.mean_sojourn, theory, MAX_RELATIVE_ERROR);
}

#[test]
fn warm_table_hits_match_an_lru_list() {
    // With uniform access to n groups, of which the g last used are kept warm, a fraction g / n of
    // the jobs is warm and saves `gain` of its reading.
    let (n, g, gain, io, mean) = (20_u64, 5_usize, 0.6, 0.5, 0.1);
    let spec =
        EngineSpec { cores: 1e6, disks: 1e6, warm_table_groups: g, warm_read_saving: gain, ..base_spec() };
    let rate = 50.0;
    let measured =
        run(spec, rate, 7, |id, rng| Job { io, table_group: rng.random_range(0..n), ..cpu_job(id, mean) });
    let theory = mean * (1.0 - gain * io * g as f64 / n as f64);
    assert_near("work with warm tables", measured.work_done / measured.rate, theory, 0.01);
}

#[test]
fn spilling_adds_work_in_proportion_to_the_missing_memory() {
    let spec = EngineSpec {
        cores: 1e6,
        disks: 1e6,
        memory_mb: 1_000.0,
        max_grant_fraction: 0.1,
        spill_work_factor: 3.0,
        ..base_spec()
    };
    // All jobs need 200 MB and get 100: half is missing, which adds 3 * 0.5 times the work.
    let measured = run(spec, 1.0, 8, |id, _| Job { memory_mb: 200.0, ..cpu_job(id, 0.05) });
    assert_near("work with spilling", measured.work_done / measured.rate, 0.05 * (1.0 + 3.0 * 0.5), 0.01);
}

#[test]
fn throughput_above_the_knee_follows_the_formula() {
    // Twelve jobs on two cores with a threshold of 2: six threads per core, four above the
    // threshold.
    for thrashing_penalty in [0.0, 0.25, 1.0] {
        let mut model = Model::new(
            EngineSpec {
                cores: 2.0,
                disks: 2.0,
                knee_threads_per_core: 2.0,
                thrashing_penalty,
                ..base_spec()
            },
            0,
        );
        let mut out = Vec::new();
        (1..=12)
            .for_each(|id| model.submit(0, cpu_job(id, 1.0), &mut out).expect("within the session limit"));
        let at = model.next_event().expect("queries are running") as f64 / 1e6;
        assert_near("finish time of all jobs", at, 6.0 * (1.0 + thrashing_penalty * 4.0), 1e-4);
    }
}

#[test]
fn a_cold_engine_completes_the_integral_of_its_ramp() {
    let (from, ramp_duration) = (0.4, 10.0);
    let spec = EngineSpec {
        cold_start_fraction: from,
        warmup_duration: 10_000_000,
        overload_factor: 0.0,
        report_interval: 50_000,
        ..base_spec()
    };
    for work in [0.5, 3.0, 6.0, 20.0] {
        let mut model = Model::new(spec.clone(), 0);
        model.start(0);
        let mut out = Vec::new();
        model.submit(0, cpu_job(1, work), &mut out).expect("within the session limit");
        let mut at = 0;
        while !out.iter().any(|h| matches!(h, ModelEvent::Finished { .. })) {
            at = model.next_event().expect("query is running");
            model.advance(at, &mut out);
        }
        // Integral of the throughput: from * t + (1 - from) * t^2 / (2 * ramp_duration) until the ramp ends.
        let ramp_work = ramp_duration * (from + (1.0 - from) / 2.0);
        let theory = if work > ramp_work {
            ramp_duration + work - ramp_work
        } else {
            let slope = (1.0 - from) / ramp_duration;
            ((from * from + 2.0 * slope * work).sqrt() - from) / slope
        };
        assert_near("finish time on a cold engine", at as f64 / 1e6, theory, 0.01);
    }
}

#[test]
fn a_cold_engine_crashes_at_the_overload_factor() {
    let spec = EngineSpec {
        cores: 4.0,
        cold_start_fraction: 0.5,
        warmup_duration: 3_600_000_000,
        overload_factor: 2.0,
        overload_window: 1_000_000,
        ..base_spec()
    };
    // The engine can complete 4 cores * 0.5 * 1 s; twice that is 4 s of work.
    for (jobs, crashes) in [(40, false), (42, true)] {
        let mut model = Model::new(spec.clone(), 0);
        model.start(0);
        let mut out = Vec::new();
        for id in 1..=jobs {
            let _ = model.submit(id as i64 * 20_000, cpu_job(id, 0.1), &mut out);
        }
        assert_eq!(out.contains(&ModelEvent::Overloaded), crashes, "{jobs} jobs of 0.1 s within a second");
    }
}

/// Checks that the comparison detects an error: a server that is a tenth slower must differ.
#[test]
fn a_server_slower_by_a_tenth_is_detected() {
    let mean = 0.1;
    let slower =
        run(EngineSpec { speed: 0.9, ..base_spec() }, 5.0, 1, |id, rng| cpu_job(id, mean * exponential(rng)));
    let theory = mean / (1.0 - 0.5);
    assert!((slower.mean_sojourn / theory - 1.0).abs() > 2.0 * MAX_RELATIVE_ERROR, "{}", slower.mean_sojourn);
}
