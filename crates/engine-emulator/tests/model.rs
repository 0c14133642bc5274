//! The emulator against what can be reckoned by hand.

use proptest::prelude::*;
use wheelfield_engine_emulator::model::*;

fn bare() -> Spec {
    Spec { cores: 4.0, disks: 4.0, memory_mb: 1000.0, warm_groups: 0, note_every: 0, ..Spec::default() }
}

fn job(id: u64, work: f64) -> Job {
    Job { id, work, usual: work, ..Job::default() }
}

/// When each query ended, in seconds.
fn ends(model: &mut Model, until: i64) -> Vec<(u64, f64)> {
    let (mut ends, mut out) = (Vec::new(), Vec::new());
    while let Some(at) = model.next_event().filter(|at| *at <= until) {
        model.advance(at, &mut out);
        for h in out.drain(..) {
            if let Happened::Finished { id, .. } = h {
                ends.push((id, at as f64 / 1e6));
            }
        }
    }
    ends
}

fn submit(model: &mut Model, now: i64, job: Job) {
    model.submit(now, job, &mut Vec::new()).expect("room");
}

fn close(a: f64, b: f64) -> bool {
    (a - b).abs() < 1e-3
}

#[test]
fn alone_a_query_takes_its_work_over_its_threads() {
    let mut model = Model::new(bare(), 0);
    submit(&mut model, 0, Job { threads: 2.0, ..job(1, 3.0) });
    let got = ends(&mut model, 10_000_000);
    assert!(close(got[0].1, 1.5), "{got:?}");
}

#[test]
fn eight_on_four_cores_take_twice_as_long() {
    let mut model = Model::new(bare(), 0);
    (1..=8).for_each(|id| submit(&mut model, 0, job(id, 1.0)));
    let got = ends(&mut model, 10_000_000);
    assert!(got.len() == 8 && got.iter().all(|(_, at)| close(*at, 2.0)), "{got:?}");
}

#[test]
fn beyond_the_knee_the_whole_does_less() {
    let mut model = Model::new(Spec { knee: 2.0, thrash: 0.5, ..bare() }, 0);
    (1..=16).for_each(|id| submit(&mut model, 0, job(id, 1.0)));
    let got = ends(&mut model, 60_000_000);
    assert!(got.iter().all(|(_, at)| close(*at, 4.0 * 2.0)), "{got:?}");
}

#[test]
fn priorities_share_one_to_four() {
    let mut model = Model::new(Spec { cores: 1.0, ..bare() }, 0);
    submit(&mut model, 0, Job { priority: 0, ..job(1, 1.0) });
    submit(&mut model, 0, Job { priority: 1, ..job(2, 1.0) });
    let got = ends(&mut model, 60_000_000);
    assert_eq!(got[0].0, 2);
    assert!(close(got[0].1, 1.25) && close(got[1].1, 2.0), "{got:?}");
}

#[test]
fn disks_are_shared_apart() {
    let mut model = Model::new(Spec { disks: 1.0, ..bare() }, 0);
    (1..=4).for_each(|id| submit(&mut model, 0, Job { io: 1.0, ..job(id, 1.0) }));
    let got = ends(&mut model, 60_000_000);
    assert!(got.iter().all(|(_, at)| close(*at, 4.0)), "{got:?}");
}

#[test]
fn short_memory_waits_shrinks_or_pages() {
    let heavy = |id| Job { memory_mb: 600.0, grant_mb: Some(600.0), ..job(id, 1.0) };
    let run = |short| {
        let mut model = Model::new(Spec { short, most_grant: 1.0, spill: 2.0, page: 5.0, ..bare() }, 0);
        submit(&mut model, 0, heavy(1));
        submit(&mut model, 0, heavy(2));
        ends(&mut model, 60_000_000).iter().map(|(_, at)| *at).collect::<Vec<f64>>()
    };
    let wait = run(Short::Wait);
    assert!(close(wait[0], 1.0) && close(wait[1], 2.0), "{wait:?}");
    let shrink = run(Short::Shrink);
    assert!(close(shrink[0], 1.0) && close(shrink[1], 1.0 + 2.0 / 3.0), "400 of 600 MB: {shrink:?}");
    let page = run(Short::Page);
    assert!(close(page[0], 2.0), "used 1.2 of its memory: {page:?}");
}

#[test]
fn warm_tables_save_reading() {
    let mut model = Model::new(Spec { warm_groups: 1, warm_gain: 0.5, ..bare() }, 0);
    submit(&mut model, 0, Job { io: 0.4, tables: 9, ..job(1, 1.0) });
    let first = ends(&mut model, 10_000_000)[0].1;
    submit(&mut model, 20_000_000, Job { io: 0.4, tables: 9, ..job(2, 1.0) });
    let second = ends(&mut model, 60_000_000)[0].1 - 20.0;
    assert!(close(first, 1.0) && close(second, 0.8), "{first} {second}");
}

#[test]
fn a_load_holds_its_tables() {
    let mut model = Model::new(bare(), 0);
    submit(&mut model, 0, Job { load: true, tables: 3, ..job(1, 2.0) });
    submit(&mut model, 0, Job { waits: true, tables: 3, ..job(2, 1.0) });
    submit(&mut model, 0, Job { tables: 3, ..job(3, 1.0) });
    let got = ends(&mut model, 60_000_000);
    assert_eq!(got.iter().map(|(id, _)| *id).collect::<Vec<_>>(), [3, 1, 2]);
    assert!(close(got[2].1, 3.0), "{got:?}");
}

#[test]
fn a_cold_engine_is_slow_and_falls_over_when_flooded() {
    let spec =
        Spec { cold_from: 0.5, cold_for: 10_000_000, fall_multiple: 2.0, fall_span: 1_000_000, ..bare() };
    let mut model = Model::new(spec.clone(), 0);
    model.start(0);
    (1..=4).for_each(|id| submit(&mut model, 0, job(id, 0.5)));
    let got = ends(&mut model, 60_000_000);
    assert!(got.iter().all(|(_, at)| *at > 0.85 && *at < 1.0), "at half its pace, rising: {got:?}");
    let mut model = Model::new(spec, 0);
    model.start(0);
    let mut out = Vec::new();
    // Four cores at half their pace do two thread-seconds in the span; twice that is the limit.
    for id in 1..=8 {
        assert!(model.submit(0, job(id, 0.5), &mut out).is_ok());
    }
    assert!(model.submit(0, job(9, 0.5), &mut out).is_err());
    assert!(out.contains(&Happened::FellOver) && !model.is_up());
    model.start(1);
    assert!(model.is_up());
}

#[test]
fn loads_are_told_late_and_notes_on_their_beat() {
    let spec = Spec { report_every: 100_000, report_delay: 300_000, note_every: 500_000, ..bare() };
    let mut model = Model::new(spec, 0);
    submit(&mut model, 0, Job { threads: 2.0, ..job(1, 4.0) });
    let mut out = Vec::new();
    model.advance(350_000, &mut out);
    assert!(close(model.load().util, 0.5), "{:?}", model.load());
    model.advance(1_100_000, &mut out);
    let notes: Vec<f64> =
        out.iter().filter_map(|h| if let Happened::Progress(1, x) = h { Some(*x) } else { None }).collect();
    assert!(notes.len() == 2 && close(notes[0], 0.25) && close(notes[1], 0.5), "{notes:?}");
}

#[test]
fn frozen_it_does_nothing_and_slow_it_does_less() {
    let mut model = Model::new(bare(), 0);
    submit(&mut model, 0, job(1, 1.0));
    model.freeze(500_000, true);
    assert!(ends(&mut model, 5_000_000).is_empty());
    model.freeze(5_000_000, false);
    model.slow(5_000_000, 4.0);
    let got = ends(&mut model, 20_000_000);
    assert!(close(got[0].1, 7.0), "{got:?}");
}

proptest! {
    /// Whatever comes and is withdrawn: work is conserved, all ends, and time never runs back.
    #[test]
    fn all_that_is_taken_ends(steps in prop::collection::vec((0i64..200_000, 0.0f64..0.5, 0u8..4, any::<bool>()), 1..80)) {
        let mut model = Model::new(Spec { sessions: 20, short: Short::Wait, ..bare() }, 0);
        let (mut now, mut taken, mut out) = (0, 0usize, Vec::new());
        for (id, (after, work, priority, cancel)) in steps.into_iter().enumerate() {
            now += after;
            let job = Job { priority, memory_mb: work * 1000.0, ..job(id as u64, work) };
            taken += usize::from(model.submit(now, job, &mut out).is_ok());
            if cancel && model.cancel(now, id as u64 / 2, &mut out) {
                taken -= 1;
            }
            prop_assert!(model.in_hand() <= 20);
        }
        let ended = out.iter().filter(|h| matches!(h, Happened::Finished { .. })).count();
        let later = ends(&mut model, now + 600_000_000);
        prop_assert_eq!(ended + later.len(), taken);
        prop_assert_eq!(model.in_hand(), 0);
    }
}
