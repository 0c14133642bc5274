//! A large change in steps: what each step holds, and when a rollout stops.

use proptest::prelude::*;
use std::collections::BTreeSet;
use wheelfield::interface::Status;
use wheelfield_config::Names;
use wheelfield_endpoints::activation::ActivationPolicy;
use wheelfield_endpoints::file::{parse, Topology};
use wheelfield_endpoints::rollout::{answers, progress, steps, Answers, Guard, Round, Seen, Unsteppable};
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
        .expect("sound")
        .set
}

fn range(from: usize, to: usize) -> BTreeSet<usize> {
    (from..to).collect()
}

#[test]
fn all_engines_are_replaced_without_ever_taking_capacity_below_the_least_by_more_than_a_step() {
    let (from, goal) = (set(7, &range(0, 40)), set(9, &range(40, 80)));
    let sets = steps(&from, &goal, &CORES, 0.1, &[]).expect("steps");
    let whole = from.capacity(&CORES);
    let mut before = from.clone();
    for set in &sets {
        assert_eq!(set.version, before.version + 1);
        assert!(set.capacity(&CORES) >= whole - 1e-9, "a newcomer is listed before its leaver drains");
        let gone = before.engines.iter().filter(|(id, _)| !set.engines.contains_key(id));
        gone.for_each(|(_, k)| assert_eq!(k.entry.status, Status::Draining, "{} went undrained", k.name));
        let drained = set.engines.iter().filter(|(id, k)| {
            k.entry.status == Status::Draining
                && before.engines.get(id).is_some_and(|b| b.entry.status == Status::Up)
        });
        let cores: f64 = drained.map(|(_, k)| CORES[k.entry.kind]).sum();
        assert!(cores <= 0.1 * whole + 1e-9, "{cores} cores drain at once");
        before = set.clone();
    }
    assert_eq!(sets.last().map(|s| &s.engines), Some(&goal.engines));
}

proptest! {
    #[test]
    fn steps_lead_to_the_goal_and_none_would_be_held(
        from in prop::collection::btree_set(0_usize..60, 1..30),
        goal in prop::collection::btree_set(0_usize..60, 1..30),
        share in 0.01_f64..0.5,
        version in 1_u64..100,
    ) {
        let (a, b) = (set(5, &from), set(version, &goal));
        match steps(&a, &b, &CORES, share, &[]) {
            Err(fault) => {
                prop_assert_eq!(fault, Unsteppable::Nothing);
                prop_assert_eq!(from, goal);
            }
            Ok(sets) => {
                let mut before = a.clone();
                let least = a.capacity(&CORES).min(b.capacity(&CORES));
                for set in &sets {
                    prop_assert!(set.version > before.version);
                    prop_assert!(!set.engines.is_empty());
                    prop_assert!(!before.difference(set).is_empty() || set.engines == b.engines);
                    // Big engines go one at a time, however small the share.
                    let most = (share * least).max(16.0);
                    let lost = before.capacity(&CORES) - set.capacity(&CORES);
                    prop_assert!(lost <= most + 1e-9, "{} lost of {}", lost, before.capacity(&CORES));
                    before = set.clone();
                }
                prop_assert_eq!(&before.engines, &b.engines);
                prop_assert!(before.version >= version);
            }
        }
    }
}

#[test]
fn what_controllers_would_refuse_is_refused_before_the_first_step() {
    let a = set(1, &range(0, 4));
    let mut b = a.clone();
    b.version = 2;
    assert_eq!(steps(&a, &b, &CORES, 0.1, &[]), Err(Unsteppable::Nothing));
    let (id, other) = b.engines.iter_mut().next().map(|(id, k)| (*id, k)).expect("one");
    other.address = "127.0.0.1:9".parse().expect("an address");
    assert_eq!(steps(&a, &b, &CORES, 0.1, &[]), Err(Unsteppable::Moved(a.engines[&id].name.clone())));
    for share in [0.0, -1.0, 1.1, f64::NAN] {
        assert!(matches!(steps(&a, &set(2, &range(0, 5)), &CORES, share, &[]), Err(Unsteppable::Share(_))));
    }
    assert!(ActivationPolicy::default().max_lost_fraction > 0.1, "a usual step is not held");
}

fn seen(version: u64, served: u64, refused: u64, failed: u64) -> Option<Seen> {
    Some(Seen { version, served, refused, failed, ..Seen::default() })
}

fn round(all: &[(&str, Option<Seen>)]) -> Round {
    all.iter().map(|(name, seen)| (name.to_string(), seen.clone())).collect()
}

#[test]
fn answers_count_between_rounds_and_from_the_start_of_a_new_process() {
    let before = round(&[("a", seen(1, 100, 5, 5)), ("b", seen(1, 50, 0, 0)), ("c", None), ("d", None)]);
    let after = round(&[
        ("a", seen(2, 190, 10, 10)),
        ("b", seen(2, 10, 2, 0)),
        ("c", None),
        ("d", seen(2, 9_000, 9_000, 0)),
    ]);
    assert_eq!(answers(&before, &after), Answers { all: 100 + 12, bad: 10 + 2 });
    let p = progress(&after, 2);
    assert_eq!((p.there, p.silent.as_slice()), (3, &["c".to_string()][..]));
    let behind = progress(&before, 2);
    assert_eq!(behind.behind, ["a", "b"]);
}

#[test]
fn only_a_rise_that_is_large_and_not_of_chance_stops() {
    let guard = Guard::default();
    let before = Answers { all: 1_000, bad: 10 };
    assert_eq!(guard.worsened(before, Answers { all: 1_000, bad: 25 }), None, "less than the bound");
    assert_eq!(guard.worsened(before, Answers { all: 10, bad: 1 }), None, "one of ten may be chance");
    assert!(guard.worsened(before, Answers { all: 10, bad: 8 }).is_some());
    assert!(guard.worsened(before, Answers { all: 1_000, bad: 60 }).is_some());
    assert_eq!(guard.worsened(before, Answers::default()), None, "nothing was answered");
    assert_eq!(guard.worsened(Answers::default(), before), None, "nothing to compare with");
}

#[test]
fn newcomers_go_through_the_kinds_that_stand_for_their_weights() {
    let (from, goal) = (set(1, &range(0, 4)), set(2, &BTreeSet::from([0, 1, 2, 3, 5])));
    let sets = steps(&from, &goal, &CORES, 0.5, &[0]).expect("steps");
    let kinds: Vec<Option<usize>> =
        sets.iter().map(|s| s.engines.values().find(|k| k.name == "e5").map(|k| k.entry.kind)).collect();
    assert_eq!(kinds, [Some(0), Some(1)], "of eight cores first, then of its own sixteen");
    assert_eq!(sets.last().map(|s| &s.engines), Some(&goal.engines));
}
