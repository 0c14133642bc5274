//! The seven rules, for settings of every shape. Each test fails when its guard in `Gateway::may_send` is gone.

mod common;
use common::*;
use wheelfield::interface::*;

#[test]
fn rule_1_one_answer_and_nothing_sent_after_it() {
    // A query that no engine may take is answered at once, exactly once.
    for engines in [vec![], vec![EngineEntry { status: Status::Draining, ..engine(1) }]] {
        let mut rig = Rig::new(settings(vec![class(ExecutionSemantics::Idempotent)]), engines);
        let (_, actions) = rig.arrive(0);
        assert_eq!((refused(&actions), sent(&actions).len()), (1, 0));
        assert_eq!(refused(&rig.sweeps(80)), 0);
    }
    // The client's time is up when the attempt fails: answered, not sent again.
    let mut rig = Rig::new(settings(vec![class(ExecutionSemantics::Idempotent)]), vec![engine(1), engine(2)]);
    let (id, _) = rig.arrive(0);
    rig.now = rig.now + Micros::from_secs_f64(10.0);
    let actions = rig.end(id, 0, Outcome::TimedOut);
    assert_eq!((sent(&actions).len(), refused(&actions)), (0, 1));
    // Reported over by the bench, or by the client leaving: neither sent nor answered.
    let (id, _) = rig.arrive(0);
    rig.tell(Event::Abandoned(id));
    let actions = rig.end(id, 0, Outcome::Error);
    assert_eq!((sent(&actions).len(), refused(&actions), failed(&actions)), (0, 0, 0));
}

#[test]
fn rule_2_effects() {
    use Outcome::*;
    // Class, outcome of the first attempt, sent again?, else refused (true) or failed (false).
    let keyed = |scope| Class { deduplication_scope: scope, ..class(ExecutionSemantics::IdempotencyKey) };
    let cases = [
        (class(ExecutionSemantics::Idempotent), Error, true, true),
        (class(ExecutionSemantics::AtMostOnce), Full, true, true),
        (class(ExecutionSemantics::AtMostOnce), ConnectFailed, true, true),
        (class(ExecutionSemantics::AtMostOnce), Error, false, false),
        (class(ExecutionSemantics::AtMostOnce), Reset, false, false),
        (class(ExecutionSemantics::AtMostOnce), TimedOut, false, false),
        (class(ExecutionSemantics::AtMostOnce), Cancelled, false, false),
        (keyed(DeduplicationScope::All), Error, true, true),
        (keyed(DeduplicationScope::Cell), Error, false, false),
        (keyed(DeduplicationScope::Cell), Full, true, true),
    ];
    for (class, outcome, again, harmless) in cases {
        let what = format!("{:?} {:?} {outcome:?}", class.semantics, class.deduplication_scope);
        let mut rig = Rig::new(settings(vec![class]), vec![engine(1), engine(2)]);
        let (id, first) = rig.arrive(0);
        // The engine of the first attempt is gone, so a further one goes to the other, in another cell.
        rig.tell(Event::EngineChanges(vec![EngineEntry {
            status: Status::Removed,
            ..engine(sent(&first)[0].0)
        }]));
        let actions = rig.end(id, 0, outcome);
        assert_eq!(sent(&actions).len(), usize::from(again), "{what}");
        if !again {
            assert_eq!((refused(&actions), failed(&actions)), (0, 1), "{what}");
        } else if harmless {
            let mut rig2 = rig;
            rig2.now = rig2.now + Micros::from_secs_f64(20.0);
            assert_eq!(sent(&rig2.end(id, 1, outcome)).len(), 0, "{what}");
        }
    }
}

#[test]
fn rule_2_a_keyed_query_is_not_repeated_past_its_window() {
    let mut rig =
        Rig::new(settings(vec![class(ExecutionSemantics::IdempotencyKey)]), vec![engine(1), engine(2)]);
    let (id, _) = rig.arrive(0);
    rig.now = rig.now + Micros::from_secs_f64(5.0);
    assert_eq!(sent(&rig.end(id, 0, Outcome::Error)).len(), 0);
}

#[test]
fn rule_2_no_more_attempts_than_allowed() {
    let mut rig =
        Rig::new(Settings { max_attempts: 2, ..settings(vec![class(ExecutionSemantics::Idempotent)]) }, {
            (1..=9).map(engine).collect()
        });
    let (id, _) = rig.arrive(0);
    assert_eq!(sent(&rig.end(id, 0, Outcome::Error)).len(), 1);
    let actions = rig.end(id, 1, Outcome::Error);
    assert_eq!((sent(&actions).len(), refused(&actions)), (0, 1));
}

#[test]
fn rule_3_nothing_new_to_an_engine_that_drains_or_is_gone() {
    for status in [Status::Draining, Status::Removed] {
        let mut rig =
            Rig::new(settings(vec![class(ExecutionSemantics::Idempotent)]), vec![engine(1), engine(2)]);
        rig.tell(Event::EngineChanges(vec![EngineEntry { status, ..engine(1) }]));
        for _ in 0..20 {
            let (_, actions) = rig.arrive(0);
            assert!(!sent(&actions).contains(&EngineId(1)), "{status:?}");
        }
    }
    // Absent from a complete list is gone.
    let mut rig = Rig::new(settings(vec![class(ExecutionSemantics::Idempotent)]), vec![engine(1), engine(2)]);
    rig.tell(Event::EngineList(vec![engine(2)]));
    for _ in 0..20 {
        assert!(!sent(&rig.arrive(0).1).contains(&EngineId(1)));
    }
}

#[test]
fn rule_4_a_cold_engine_gets_no_more_than_this_gateways_part_of_its_budget() {
    for gateways in [1.0, 3.0] {
        let s = Settings { gateway_count: gateways, ..settings(vec![class(ExecutionSemantics::Idempotent)]) };
        let cold = EngineEntry { started_at: Some(Micros::from_secs_f64(100.0)), ..engine(1) };
        let mut rig = Rig::new(s, vec![cold]);
        let mut sends = 0;
        for _ in 0..200 {
            let (id, actions) = rig.arrive(0);
            sends += sent(&actions).len();
            if !sent(&actions).is_empty() {
                rig.end(id, 0, Outcome::Served);
            }
        }
        // 2 times 0.4 of 8 cores for 2 s is 12.8 thread-seconds; each query is 0.5.
        assert!(sends as f64 * 0.5 <= 12.8 / gateways, "{sends} sends with {gateways} gateways");
        assert!(sends > 0 || gateways > 1.0);
    }
}

#[test]
fn rule_5_one_at_a_time_in_turn_and_with_a_rest() {
    let ordered = Class { ordered_by_key: true, ..class(ExecutionSemantics::Idempotent) };
    let s = Settings { key_cooldown: Micros::from_secs_f64(1.0), ..settings(vec![ordered]) };
    let mut rig = Rig::new(s, vec![engine(1), engine(2)]);
    let mut ids = Vec::new();
    let mut sends = Vec::new();
    for key in ["a", "a", "a", "b"] {
        let query = Query { key: Some(key.to_string()), ..rig.query(0) };
        ids.push(query.id);
        sends.push(sent(&rig.tell(Event::Arrived(query))).len());
    }
    assert_eq!(sends, [1, 0, 0, 1]);
    let timer = |actions: &[Action]| {
        actions
            .iter()
            .find_map(|a| if let Action::SetTimer { token, .. } = a { Some(*token) } else { None })
            .unwrap()
    };
    // The next of the key goes when the first is over; after a time-out only once the key has rested.
    let next = |actions: &[Action]| {
        actions.iter().find_map(|a| if let Action::Send { query, .. } = a { Some(*query) } else { None })
    };
    assert_eq!(next(&rig.end(ids[0], 0, Outcome::Served)), Some(ids[1]));
    rig.now = rig.now + Micros::from_secs_f64(8.0);
    rig.tell(Event::Abandoned(ids[1]));
    let actions = rig.end(ids[1], 0, Outcome::Cancelled);
    assert_eq!(next(&actions), None);
    rig.now = rig.now + Micros::from_secs_f64(0.5);
    let actions = rig.tell(Event::TimerFired(timer(&actions)));
    assert_eq!(next(&actions), None);
    rig.now = rig.now + Micros::from_secs_f64(0.5);
    assert_eq!(next(&rig.tell(Event::TimerFired(timer(&actions)))), Some(ids[2]));
}

#[test]
fn rule_6_bound_classes_stay_where_they_may_run() {
    let bound = |zones: Vec<usize>, kinds: Vec<usize>| Class {
        zones,
        kinds,
        ..class(ExecutionSemantics::Idempotent)
    };
    let cases = [
        (bound(vec![1], vec![]), vec![2, 4]),
        (bound(vec![], vec![1]), vec![3, 4]),
        (bound(vec![1], vec![1]), vec![4]),
        (Class { no_engine_permitted: true, ..class(ExecutionSemantics::Idempotent) }, vec![]),
    ];
    for (class, allowed) in cases {
        let engines = vec![
            engine(1),
            EngineEntry { zone: 1, ..engine(2) },
            EngineEntry { kind: 1, ..engine(3) },
            EngineEntry { zone: 1, kind: 1, ..engine(4) },
        ];
        let mut rig = Rig::new(settings(vec![class]), engines);
        for _ in 0..30 {
            let (id, mut actions) = rig.arrive(0);
            actions.extend(rig.end(id, 0, Outcome::Error));
            rig.end(id, 1, Outcome::Served);
            assert!(sent(&actions).iter().all(|e| allowed.contains(&e.0)), "{allowed:?}");
            assert_eq!(sent(&actions).is_empty(), allowed.is_empty());
        }
    }
}

#[test]
fn rule_7_further_attempts_stay_within_the_sliding_budget() {
    let budget = RetryBudget { guaranteed: 2.0, fraction: 0.1, window: Micros::from_secs_f64(5.0) };
    let s = Settings { retry_budget: Some(budget), ..settings(vec![class(ExecutionSemantics::Idempotent)]) };
    let mut rig = Rig::new(s, (1..=40).map(engine).collect());
    let mut further = 0;
    for _ in 0..20 {
        let (id, _) = rig.arrive(0);
        further += sent(&rig.end(id, 0, Outcome::Error)).len();
    }
    assert!((2..=4).contains(&further), "{further} further attempts for 20 taken");
    // The span later the free ones are back, whatever was taken before.
    rig.now = rig.now + Micros(5_000_001);
    let mut further = 0;
    for _ in 0..5 {
        let (id, _) = rig.arrive(0);
        further += sent(&rig.end(id, 0, Outcome::Full)).len();
    }
    assert_eq!(further, 2);
}

#[test]
fn subscribed_lists_are_asked_for_again_with_growing_pauses() {
    let mut rig = Rig::new(
        Settings { subscribe: true, ..settings(vec![class(ExecutionSemantics::AtMostOnce)]) },
        vec![],
    );
    assert!(rig.tell(Event::Started).contains(&Action::Subscribe));
    let mut pauses = Vec::new();
    for _ in 0..3 {
        rig.tell(Event::ListUnavailable);
        let mut n = 0;
        while !rig.sweeps(1).contains(&Action::Subscribe) {
            n += 1;
            assert!(n < 100, "never asked again");
        }
        pauses.push(n);
    }
    assert!(pauses[0] < pauses[1] && pauses[1] < pauses[2], "{pauses:?}");
}
