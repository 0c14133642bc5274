//! The steps of a rollout, and the conditions under which it stops.

use proptest::prelude::*;
use std::collections::BTreeSet;
use wheelfield::interface::Status;
use wheelfield_config::Names;
use wheelfield_endpoints::activation::ActivationPolicy;
use wheelfield_endpoints::file::{parse, Topology};
use wheelfield_endpoints::rollout::{
    answers_between, plan_steps, progress, AnswerCounts, ControllerStatus, RegressionGuard, RolloutPlanError,
    StatusSnapshot,
};
use wheelfield_endpoints::EngineSet;

const CORES: [f64; 2] = [8.0, 16.0];

fn set(version: u64, engines: &BTreeSet<usize>) -> EngineSet {
    let line = |n: &usize| {
        let kind = ["std", "big"][n % 2];
        format!("\n[[engines]]\nid = \"e{n}\"\naddress = \"127.0.0.1:{}\"\nkind = \"{kind}\"\n", 5_000 + n)
    };
    let text = format!(
        "version = {version}\n{}\n[end]\nengines = {}\n",
        engines.iter().map(line).collect::<String>(),
        engines.len()
    );
    let names = Names { kinds: vec!["std".into(), "big".into()], ..Names::default() };
    parse("test", &text, &mut Topology { names, cores: CORES.to_vec(), accept_unknown_names: false })
        .expect("valid")
        .set
}

fn range(from: usize, to: usize) -> BTreeSet<usize> {
    (from..to).collect()
}

#[test]
fn replacing_all_engines_never_reduces_the_capacity_and_drains_one_step_at_a_time() {
    let (from, goal) = (set(7, &range(0, 40)), set(9, &range(40, 80)));
    let sets = plan_steps(&from, &goal, &CORES, 0.1, &[]).expect("steps");
    let capacity = from.capacity(&CORES);
    let mut before = from.clone();
    for set in &sets {
        assert_eq!(set.version, before.version + 1);
        assert!(
            set.capacity(&CORES) >= capacity - 1e-9,
            "an engine is added before the one it replaces drains"
        );
        let removed = before.engines.iter().filter(|(id, _)| !set.engines.contains_key(id));
        removed.for_each(|(_, k)| {
            assert_eq!(k.entry.status, Status::Draining, "{} was removed without draining", k.name)
        });
        let newly_drained = set.engines.iter().filter(|(id, k)| {
            k.entry.status == Status::Draining
                && before.engines.get(id).is_some_and(|b| b.entry.status == Status::Up)
        });
        let cores: f64 = newly_drained.map(|(_, k)| CORES[k.entry.kind]).sum();
        assert!(cores <= 0.1 * capacity + 1e-9, "{cores} cores drain at once");
        before = set.clone();
    }
    assert_eq!(sets.last().map(|s| &s.engines), Some(&goal.engines));
}

proptest! {
    #[test]
    fn steps_reach_the_goal_and_remove_no_more_than_one_step_of_capacity(
        from in prop::collection::btree_set(0_usize..60, 1..30),
        goal in prop::collection::btree_set(0_usize..60, 1..30),
        step_fraction in 0.01_f64..0.5,
        version in 1_u64..100,
    ) {
        let (a, b) = (set(5, &from), set(version, &goal));
        match plan_steps(&a, &b, &CORES, step_fraction, &[]) {
            Err(fault) => {
                prop_assert_eq!(fault, RolloutPlanError::NoChange);
                prop_assert_eq!(from, goal);
            }
            Ok(sets) => {
                let mut before = a.clone();
                let min_capacity = a.capacity(&CORES).min(b.capacity(&CORES));
                for set in &sets {
                    prop_assert!(set.version > before.version);
                    prop_assert!(!set.engines.is_empty());
                    prop_assert!(!before.difference(set).is_empty() || set.engines == b.engines);
                    // A step drains at least one engine, however small the fraction; the largest has 16 cores.
                    let max_lost = (step_fraction * min_capacity).max(16.0);
                    let lost = before.capacity(&CORES) - set.capacity(&CORES);
                    prop_assert!(lost <= max_lost + 1e-9, "{} removed of {}", lost, before.capacity(&CORES));
                    before = set.clone();
                }
                prop_assert_eq!(&before.engines, &b.engines);
                prop_assert!(before.version >= version);
            }
        }
    }
}

#[test]
fn changes_that_controllers_would_reject_are_rejected_before_the_first_step() {
    let a = set(1, &range(0, 4));
    let mut b = a.clone();
    b.version = 2;
    assert_eq!(plan_steps(&a, &b, &CORES, 0.1, &[]), Err(RolloutPlanError::NoChange));
    let (id, other) = b.engines.iter_mut().next().map(|(id, k)| (*id, k)).expect("one");
    other.address = "127.0.0.1:9".parse().expect("an address");
    assert_eq!(
        plan_steps(&a, &b, &CORES, 0.1, &[]),
        Err(RolloutPlanError::AddressChanged(a.engines[&id].name.clone()))
    );
    for step_fraction in [0.0, -1.0, 1.1, f64::NAN] {
        assert!(matches!(
            plan_steps(&a, &set(2, &range(0, 5)), &CORES, step_fraction, &[]),
            Err(RolloutPlanError::InvalidStep(_))
        ));
    }
    assert!(
        ActivationPolicy::default().max_lost_fraction > 0.1,
        "the controllers do not hold a step of the default size"
    );
}

fn status(version: u64, served: u64, rejected: u64, failed: u64) -> Option<ControllerStatus> {
    Some(ControllerStatus { version, served, rejected, failed, ..ControllerStatus::default() })
}

fn snapshot(all: &[(&str, Option<ControllerStatus>)]) -> StatusSnapshot {
    all.iter().map(|(name, status)| (name.to_string(), status.clone())).collect()
}

#[test]
fn answers_are_counted_between_snapshots_and_from_the_restart_of_a_process() {
    let before =
        snapshot(&[("a", status(1, 100, 5, 5)), ("b", status(1, 50, 0, 0)), ("c", None), ("d", None)]);
    let after = snapshot(&[
        ("a", status(2, 190, 10, 10)),
        ("b", status(2, 10, 2, 0)),
        ("c", None),
        ("d", status(2, 9_000, 9_000, 0)),
    ]);
    assert_eq!(answers_between(&before, &after), AnswerCounts { total: 100 + 12, unsuccessful: 10 + 2 });
    let p = progress(&after, 2);
    assert_eq!((p.up_to_date, p.unreachable.as_slice()), (3, &["c".to_string()][..]));
    let behind = progress(&before, 2);
    assert_eq!(behind.behind, ["a", "b"]);
}

#[test]
fn only_a_large_and_significant_increase_of_failures_stops_a_rollout() {
    let guard = RegressionGuard::default();
    let before = AnswerCounts { total: 1_000, unsuccessful: 10 };
    assert_eq!(
        guard.find_regression(before, AnswerCounts { total: 1_000, unsuccessful: 25 }),
        None,
        "below the maximum increase"
    );
    assert_eq!(
        guard.find_regression(before, AnswerCounts { total: 10, unsuccessful: 1 }),
        None,
        "one failure in ten answers may be random"
    );
    assert!(guard.find_regression(before, AnswerCounts { total: 10, unsuccessful: 8 }).is_some());
    assert!(guard.find_regression(before, AnswerCounts { total: 1_000, unsuccessful: 60 }).is_some());
    assert_eq!(guard.find_regression(before, AnswerCounts::default()), None, "there were no answers");
    assert_eq!(
        guard.find_regression(AnswerCounts::default(), before),
        None,
        "there is nothing to compare with"
    );
}

#[test]
fn added_engines_are_first_listed_under_the_ramp_kinds() {
    let (from, goal) = (set(1, &range(0, 4)), set(2, &BTreeSet::from([0, 1, 2, 3, 5])));
    let sets = plan_steps(&from, &goal, &CORES, 0.5, &[0]).expect("steps");
    let kinds: Vec<Option<usize>> =
        sets.iter().map(|s| s.engines.values().find(|k| k.name == "e5").map(|k| k.entry.kind)).collect();
    assert_eq!(kinds, [Some(0), Some(1)], "first a kind of 8 cores, then its own of 16");
    assert_eq!(sets.last().map(|s| &s.engines), Some(&goal.engines));
}
