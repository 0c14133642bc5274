//! Compares the execution model with results computed by hand.

use proptest::prelude::*;
use wheelfield_engine_emulator::model::*;

fn base_spec() -> EngineSpec {
    EngineSpec {
        cores: 4.0,
        disks: 4.0,
        memory_mb: 1000.0,
        warm_table_groups: 0,
        progress_interval: 0,
        ..EngineSpec::default()
    }
}

fn job(id: u64, work: f64) -> Job {
    Job { id, work, nominal_work: work, ..Job::default() }
}

/// Returns the finish time of each query in seconds.
fn finish_times(model: &mut Model, until: i64) -> Vec<(u64, f64)> {
    let (mut finish_times, mut out) = (Vec::new(), Vec::new());
    while let Some(at) = model.next_event().filter(|at| *at <= until) {
        model.advance(at, &mut out);
        for h in out.drain(..) {
            if let ModelEvent::Finished { id, .. } = h {
                finish_times.push((id, at as f64 / 1e6));
            }
        }
    }
    finish_times
}

fn submit(model: &mut Model, now: i64, job: Job) {
    model.submit(now, job, &mut Vec::new()).expect("within the session limit");
}

fn is_close(a: f64, b: f64) -> bool {
    (a - b).abs() < 1e-3
}

#[test]
fn a_single_query_takes_its_work_divided_by_its_threads() {
    let mut model = Model::new(base_spec(), 0);
    submit(&mut model, 0, Job { threads: 2.0, ..job(1, 3.0) });
    let finished = finish_times(&mut model, 10_000_000);
    assert!(is_close(finished[0].1, 1.5), "{finished:?}");
}

#[test]
fn eight_queries_on_four_cores_take_twice_as_long() {
    let mut model = Model::new(base_spec(), 0);
    (1..=8).for_each(|id| submit(&mut model, 0, job(id, 1.0)));
    let finished = finish_times(&mut model, 10_000_000);
    assert!(finished.len() == 8 && finished.iter().all(|(_, at)| is_close(*at, 2.0)), "{finished:?}");
}

#[test]
fn throughput_decreases_above_the_knee() {
    let mut model =
        Model::new(EngineSpec { knee_threads_per_core: 2.0, thrashing_penalty: 0.5, ..base_spec() }, 0);
    (1..=16).for_each(|id| submit(&mut model, 0, job(id, 1.0)));
    let finished = finish_times(&mut model, 60_000_000);
    assert!(finished.iter().all(|(_, at)| is_close(*at, 4.0 * 2.0)), "{finished:?}");
}

#[test]
fn priorities_0_and_1_share_a_core_one_to_four() {
    let mut model = Model::new(EngineSpec { cores: 1.0, ..base_spec() }, 0);
    submit(&mut model, 0, Job { priority: 0, ..job(1, 1.0) });
    submit(&mut model, 0, Job { priority: 1, ..job(2, 1.0) });
    let finished = finish_times(&mut model, 60_000_000);
    assert_eq!(finished[0].0, 2);
    assert!(is_close(finished[0].1, 1.25) && is_close(finished[1].1, 2.0), "{finished:?}");
}

#[test]
fn disks_are_shared_separately_from_cores() {
    let mut model = Model::new(EngineSpec { disks: 1.0, ..base_spec() }, 0);
    (1..=4).for_each(|id| submit(&mut model, 0, Job { io: 1.0, ..job(id, 1.0) }));
    let finished = finish_times(&mut model, 60_000_000);
    assert!(finished.iter().all(|(_, at)| is_close(*at, 4.0)), "{finished:?}");
}

#[test]
fn memory_shortage_queues_shrinks_grants_or_slows_down() {
    let large_job = |id| Job { memory_mb: 600.0, requested_grant_mb: Some(600.0), ..job(id, 1.0) };
    let run = |memory_shortage| {
        let mut model = Model::new(
            EngineSpec {
                memory_shortage,
                max_grant_fraction: 1.0,
                spill_work_factor: 2.0,
                paging_slowdown: 5.0,
                ..base_spec()
            },
            0,
        );
        submit(&mut model, 0, large_job(1));
        submit(&mut model, 0, large_job(2));
        finish_times(&mut model, 60_000_000).iter().map(|(_, at)| *at).collect::<Vec<f64>>()
    };
    let queued = run(MemoryShortage::Queue);
    assert!(is_close(queued[0], 1.0) && is_close(queued[1], 2.0), "{queued:?}");
    let shrunk = run(MemoryShortage::ShrinkGrant);
    assert!(
        is_close(shrunk[0], 1.0) && is_close(shrunk[1], 1.0 + 2.0 / 3.0),
        "granted 400 of 600 MB: {shrunk:?}"
    );
    let overcommit = run(MemoryShortage::Overcommit);
    assert!(is_close(overcommit[0], 2.0), "1.2 times the memory is used: {overcommit:?}");
}

#[test]
fn warm_tables_reduce_reading() {
    let mut model = Model::new(EngineSpec { warm_table_groups: 1, warm_read_saving: 0.5, ..base_spec() }, 0);
    submit(&mut model, 0, Job { io: 0.4, table_group: 9, ..job(1, 1.0) });
    let first = finish_times(&mut model, 10_000_000)[0].1;
    submit(&mut model, 20_000_000, Job { io: 0.4, table_group: 9, ..job(2, 1.0) });
    let second = finish_times(&mut model, 60_000_000)[0].1 - 20.0;
    assert!(is_close(first, 1.0) && is_close(second, 0.8), "{first} {second}");
}

#[test]
fn a_load_blocks_later_queries_that_wait_for_it() {
    let mut model = Model::new(base_spec(), 0);
    submit(&mut model, 0, Job { is_load: true, table_group: 3, ..job(1, 2.0) });
    submit(&mut model, 0, Job { waits_for_loads: true, table_group: 3, ..job(2, 1.0) });
    submit(&mut model, 0, Job { table_group: 3, ..job(3, 1.0) });
    let finished = finish_times(&mut model, 60_000_000);
    assert_eq!(finished.iter().map(|(id, _)| *id).collect::<Vec<_>>(), [3, 1, 2]);
    assert!(is_close(finished[2].1, 3.0), "{finished:?}");
}

#[test]
fn a_cold_engine_is_slow_and_crashes_when_overloaded() {
    let spec = EngineSpec {
        cold_start_fraction: 0.5,
        warmup_duration: 10_000_000,
        overload_factor: 2.0,
        overload_window: 1_000_000,
        ..base_spec()
    };
    let mut model = Model::new(spec.clone(), 0);
    model.start(0);
    (1..=4).for_each(|id| submit(&mut model, 0, job(id, 0.5)));
    let finished = finish_times(&mut model, 60_000_000);
    assert!(
        finished.iter().all(|(_, at)| *at > 0.85 && *at < 1.0),
        "speed rises from one half: {finished:?}"
    );
    let mut model = Model::new(spec, 0);
    model.start(0);
    let mut out = Vec::new();
    // Four cores at half speed complete two thread-seconds within the window; the limit is twice
    // that.
    for id in 1..=8 {
        assert!(model.submit(0, job(id, 0.5), &mut out).is_ok());
    }
    assert!(model.submit(0, job(9, 0.5), &mut out).is_err());
    assert!(out.contains(&ModelEvent::Overloaded) && !model.is_up());
    model.start(1);
    assert!(model.is_up());
}

#[test]
fn load_reports_are_delayed_and_progress_is_periodic() {
    let spec = EngineSpec {
        report_interval: 100_000,
        report_delay: 300_000,
        progress_interval: 500_000,
        ..base_spec()
    };
    let mut model = Model::new(spec, 0);
    submit(&mut model, 0, Job { threads: 2.0, ..job(1, 4.0) });
    let mut out = Vec::new();
    model.advance(350_000, &mut out);
    assert!(is_close(model.load().util, 0.5), "{:?}", model.load());
    model.advance(1_100_000, &mut out);
    let progress: Vec<f64> =
        out.iter().filter_map(|h| if let ModelEvent::Progress(1, x) = h { Some(*x) } else { None }).collect();
    assert!(progress.len() == 2 && is_close(progress[0], 0.25) && is_close(progress[1], 0.5), "{progress:?}");
}

#[test]
fn a_frozen_engine_makes_no_progress_and_a_slow_one_less() {
    let mut model = Model::new(base_spec(), 0);
    submit(&mut model, 0, job(1, 1.0));
    model.set_frozen(500_000, true);
    assert!(finish_times(&mut model, 5_000_000).is_empty());
    model.set_frozen(5_000_000, false);
    model.set_slowdown(5_000_000, 4.0);
    let finished = finish_times(&mut model, 20_000_000);
    assert!(is_close(finished[0].1, 7.0), "{finished:?}");
}

proptest! {
    /// Any sequence of submissions and cancellations: every admitted query that is not canceled
    /// finishes.
    #[test]
    fn all_admitted_queries_finish(steps in prop::collection::vec((0i64..200_000, 0.0f64..0.5, 0u8..4, any::<bool>()), 1..80)) {
        let mut model = Model::new(EngineSpec { max_sessions: 20, memory_shortage: MemoryShortage::Queue, ..base_spec() }, 0);
        let (mut now, mut admitted, mut out) = (0, 0usize, Vec::new());
        for (id, (after, work, priority, cancel)) in steps.into_iter().enumerate() {
            now += after;
            let job = Job { priority, memory_mb: work * 1000.0, ..job(id as u64, work) };
            admitted += usize::from(model.submit(now, job, &mut out).is_ok());
            if cancel && model.cancel(now, id as u64 / 2, &mut out) {
                admitted -= 1;
            }
            prop_assert!(model.in_flight_count() <= 20);
        }
        let ended = out.iter().filter(|h| matches!(h, ModelEvent::Finished { .. })).count();
        let later = finish_times(&mut model, now + 600_000_000);
        prop_assert_eq!(ended + later.len(), admitted);
        prop_assert_eq!(model.in_flight_count(), 0);
    }
}

#[test]
fn a_query_at_an_engine_that_is_down_is_told_from_one_over_the_session_limit() {
    let mut model = Model::new(EngineSpec { max_sessions: 1, ..base_spec() }, 0);
    submit(&mut model, 0, job(1, 1.0));
    let full = model.submit(0, job(2, 1.0), &mut Vec::new()).expect_err("over the limit");
    assert_eq!(full.sqlstate_and_message().0, "53300");
    model.kill(0);
    let down = model.submit(0, job(3, 1.0), &mut Vec::new()).expect_err("down");
    assert_eq!(down.sqlstate_and_message().0, "57P02");
}
