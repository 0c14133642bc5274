//! The seven rules for sending, under various settings. Each test fails if its check in `Gateway::may_send`
//! is removed.

mod common;
use common::*;
use wheelfield::interface::*;

#[test]
fn rule_1_one_answer_and_nothing_sent_after_it() {
    // A query that no engine may run is answered at once and exactly once.
    for engines in [vec![], vec![EngineEntry { status: Status::Draining, ..engine(1) }]] {
        let mut harness = Harness::new(settings(vec![class(ExecutionSemantics::Idempotent)]), engines);
        let (_, actions) = harness.arrive(0);
        assert_eq!((rejections(&actions), sent_engines(&actions).len()), (1, 0));
        assert_eq!(rejections(&harness.ticks(80)), 0);
    }
    // The deadline has passed when the attempt fails: the query is answered and not retried.
    let mut harness =
        Harness::new(settings(vec![class(ExecutionSemantics::Idempotent)]), vec![engine(1), engine(2)]);
    let (id, _) = harness.arrive(0);
    harness.now = harness.now + Micros::from_secs_f64(10.0);
    let actions = harness.end_attempt(id, 0, Outcome::TimedOut);
    assert_eq!((sent_engines(&actions).len(), rejections(&actions)), (0, 1));
    // The client has left: the query is neither retried nor answered.
    let (id, _) = harness.arrive(0);
    harness.deliver(Event::Abandoned(id));
    let actions = harness.end_attempt(id, 0, Outcome::Error);
    assert_eq!((sent_engines(&actions).len(), rejections(&actions), failures(&actions)), (0, 0, 0));
}

#[test]
fn rule_2_execution_semantics() {
    use Outcome::*;
    // Class, outcome of the first attempt, whether it is retried, and whether a final answer would be a
    // rejection (true) or a failure (false).
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
    for (class, outcome, retried, safe_to_retry) in cases {
        let case = format!("{:?} {:?} {outcome:?}", class.semantics, class.deduplication_scope);
        let mut harness = Harness::new(settings(vec![class]), vec![engine(1), engine(2)]);
        let (id, first) = harness.arrive(0);
        // The engine of the first attempt is removed, so a retry goes to the other engine, in another cell.
        harness.deliver(Event::EngineChanges(vec![EngineEntry {
            status: Status::Removed,
            ..engine(sent_engines(&first)[0].0)
        }]));
        let actions = harness.end_attempt(id, 0, outcome);
        assert_eq!(sent_engines(&actions).len(), usize::from(retried), "{case}");
        if !retried {
            assert_eq!((rejections(&actions), failures(&actions)), (0, 1), "{case}");
        } else if safe_to_retry {
            let mut later_harness = harness;
            later_harness.now = later_harness.now + Micros::from_secs_f64(20.0);
            assert_eq!(sent_engines(&later_harness.end_attempt(id, 1, outcome)).len(), 0, "{case}");
        }
    }
}

#[test]
fn rule_2_a_query_with_a_key_is_not_retried_after_its_deduplication_window() {
    let mut harness =
        Harness::new(settings(vec![class(ExecutionSemantics::IdempotencyKey)]), vec![engine(1), engine(2)]);
    let (id, _) = harness.arrive(0);
    harness.now = harness.now + Micros::from_secs_f64(5.0);
    assert_eq!(sent_engines(&harness.end_attempt(id, 0, Outcome::Error)).len(), 0);
}

#[test]
fn rule_2_no_more_attempts_than_allowed() {
    let mut harness = Harness::new(
        Settings { max_attempts: 2, ..settings(vec![class(ExecutionSemantics::Idempotent)]) },
        (1..=9).map(engine).collect(),
    );
    let (id, _) = harness.arrive(0);
    assert_eq!(sent_engines(&harness.end_attempt(id, 0, Outcome::Error)).len(), 1);
    let actions = harness.end_attempt(id, 1, Outcome::Error);
    assert_eq!((sent_engines(&actions).len(), rejections(&actions)), (0, 1));
}

#[test]
fn rule_3_no_new_queries_to_a_draining_or_removed_engine() {
    for status in [Status::Draining, Status::Removed] {
        let mut harness =
            Harness::new(settings(vec![class(ExecutionSemantics::Idempotent)]), vec![engine(1), engine(2)]);
        harness.deliver(Event::EngineChanges(vec![EngineEntry { status, ..engine(1) }]));
        for _ in 0..20 {
            let (_, actions) = harness.arrive(0);
            assert!(!sent_engines(&actions).contains(&EngineId(1)), "{status:?}");
        }
    }
    // An engine that a complete list lacks is removed.
    let mut harness =
        Harness::new(settings(vec![class(ExecutionSemantics::Idempotent)]), vec![engine(1), engine(2)]);
    harness.deliver(Event::EngineList(vec![engine(2)]));
    for _ in 0..20 {
        assert!(!sent_engines(&harness.arrive(0).1).contains(&EngineId(1)));
    }
}

#[test]
fn rule_4_an_engine_in_slow_start_gets_no_more_than_this_gateways_share_of_its_budget() {
    for gateways in [1.0, 3.0] {
        let s = Settings { gateway_count: gateways, ..settings(vec![class(ExecutionSemantics::Idempotent)]) };
        let mut harness = Harness::with_starting_engines(s, &[1], vec![]);
        let mut sends = 0;
        for _ in 0..200 {
            let (id, actions) = harness.arrive(0);
            sends += sent_engines(&actions).len();
            if !sent_engines(&actions).is_empty() {
                harness.end_attempt(id, 0, Outcome::Served);
            }
        }
        // 2 times 0.4 of 8 cores for 2 s is a budget of 12.8 thread-seconds. Each query takes 0.5.
        assert!(sends as f64 * 0.5 <= 12.8 / gateways, "{sends} sends with {gateways} gateways");
        assert!(sends > 0 || gateways > 1.0);
    }
}

/// Regression test: a gateway that was killed and started again spent its budget at an engine in slow start a second time within one
/// window.
#[test]
fn rule_4_a_restarted_gateway_waits_for_a_window_before_it_uses_an_engine_in_slow_start() {
    let s = settings(vec![class(ExecutionSemantics::Idempotent)]);
    let window = s.overload_window;
    // The engine started before this process. Another one starts after it, so that no former process has sent anything there.
    let known = EngineEntry { started_at: Some(Micros::from_secs_f64(99.5)), ..engine(1) };
    let mut harness = Harness::new(s, vec![known]);
    harness.ticks(1);
    assert_eq!(sent_engines(&harness.arrive(0).1), []);
    harness.now = harness.now + Micros(100_000);
    let started_later = EngineEntry { started_at: Some(harness.now), ..engine(2) };
    harness.deliver(Event::EngineChanges(vec![started_later]));
    for _ in 0..20 {
        assert!(!sent_engines(&harness.arrive(0).1).contains(&EngineId(1)));
    }
    assert_eq!(sent_engines(&harness.arrive(0).1), [EngineId(2)]);
    harness.deliver(Event::EngineChanges(vec![EngineEntry { status: Status::Removed, ..engine(2) }]));
    while harness.now - Micros::from_secs_f64(100.0) < window {
        assert_eq!(sent_engines(&harness.arrive(0).1), []);
        harness.ticks(1);
    }
    assert_eq!(sent_engines(&harness.arrive(0).1), [EngineId(1)]);
}

#[test]
fn rule_5_queries_of_a_key_run_one_at_a_time_in_order_and_after_a_cooldown() {
    let ordered = Class { ordered_by_key: true, ..class(ExecutionSemantics::Idempotent) };
    let s = Settings { key_cooldown: Micros::from_secs_f64(1.0), ..settings(vec![ordered]) };
    let mut harness = Harness::new(s, vec![engine(1), engine(2)]);
    let mut ids = Vec::new();
    let mut sends = Vec::new();
    for key in ["a", "a", "a", "b"] {
        let query = Query { key: Some(key.to_string()), ..harness.new_query(0) };
        ids.push(query.id);
        sends.push(sent_engines(&harness.deliver(Event::Arrived(query))).len());
    }
    assert_eq!(sends, [1, 0, 0, 1]);
    let timer = |actions: &[Action]| {
        actions
            .iter()
            .find_map(|a| if let Action::SetTimer { token, .. } = a { Some(*token) } else { None })
            .unwrap()
    };
    // The next query of the key is sent when the first one ends; after a cancelled attempt, which may still
    // run, only after the cooldown.
    let next = |actions: &[Action]| {
        actions.iter().find_map(|a| if let Action::Send { query, .. } = a { Some(*query) } else { None })
    };
    assert_eq!(next(&harness.end_attempt(ids[0], 0, Outcome::Served)), Some(ids[1]));
    harness.now = harness.now + Micros::from_secs_f64(8.0);
    harness.deliver(Event::Abandoned(ids[1]));
    let actions = harness.end_attempt(ids[1], 0, Outcome::Cancelled);
    assert_eq!(next(&actions), None);
    harness.now = harness.now + Micros::from_secs_f64(0.5);
    let actions = harness.deliver(Event::TimerFired(timer(&actions)));
    assert_eq!(next(&actions), None);
    harness.now = harness.now + Micros::from_secs_f64(0.5);
    assert_eq!(next(&harness.deliver(Event::TimerFired(timer(&actions)))), Some(ids[2]));
}

/// Regression test: a key whose last query was cancelled kept its state for good.
#[test]
fn rule_5_a_key_is_forgotten_after_its_cooldown() {
    let ordered = Class { ordered_by_key: true, ..class(ExecutionSemantics::Idempotent) };
    let s = Settings { key_cooldown: Micros::from_secs_f64(1.0), ..settings(vec![ordered]) };
    let mut harness = Harness::new(s, vec![engine(1), engine(2)]);
    for n in 0..100 {
        let query = Query { key: Some(format!("key {n}")), ..harness.new_query(0) };
        let id = query.id;
        harness.deliver(Event::Arrived(query));
        harness.deliver(Event::Abandoned(id));
        harness.end_attempt(id, 0, Outcome::Cancelled);
    }
    harness.ticks(2);
    assert_eq!(harness.gateway.key_count(), 100, "the keys rest");
    harness.ticks(6);
    assert_eq!(harness.gateway.key_count(), 0);
}

#[test]
fn rule_6_restricted_classes_run_only_where_permitted() {
    let restricted = |zones: Vec<usize>, kinds: Vec<usize>| Class {
        zones,
        kinds,
        ..class(ExecutionSemantics::Idempotent)
    };
    let cases = [
        (restricted(vec![1], vec![]), vec![2, 4]),
        (restricted(vec![], vec![1]), vec![3, 4]),
        (restricted(vec![1], vec![1]), vec![4]),
        (Class { no_engine_permitted: true, ..class(ExecutionSemantics::Idempotent) }, vec![]),
    ];
    for (class, allowed) in cases {
        let engines = vec![
            engine(1),
            EngineEntry { zone: 1, ..engine(2) },
            EngineEntry { kind: 1, ..engine(3) },
            EngineEntry { zone: 1, kind: 1, ..engine(4) },
        ];
        let mut harness = Harness::new(settings(vec![class]), engines);
        for _ in 0..30 {
            let (id, mut actions) = harness.arrive(0);
            actions.extend(harness.end_attempt(id, 0, Outcome::Error));
            harness.end_attempt(id, 1, Outcome::Served);
            assert!(sent_engines(&actions).iter().all(|e| allowed.contains(&e.0)), "{allowed:?}");
            assert_eq!(sent_engines(&actions).is_empty(), allowed.is_empty());
        }
    }
}

#[test]
fn rule_7_retries_stay_within_the_budget_of_a_sliding_window() {
    let budget = RetryBudget { guaranteed: 2.0, fraction: 0.1, window: Micros::from_secs_f64(5.0) };
    let s = Settings { retry_budget: Some(budget), ..settings(vec![class(ExecutionSemantics::Idempotent)]) };
    let mut harness = Harness::new(s, (1..=40).map(engine).collect());
    let mut retries = 0;
    for _ in 0..20 {
        let (id, _) = harness.arrive(0);
        retries += sent_engines(&harness.end_attempt(id, 0, Outcome::Error)).len();
    }
    assert!((2..=4).contains(&retries), "{retries} retries for 20 queries");
    // After the window the guaranteed retries are available again, however many were used before.
    harness.now = harness.now + Micros(5_000_001);
    let mut retries = 0;
    for _ in 0..5 {
        let (id, _) = harness.arrive(0);
        retries += sent_engines(&harness.end_attempt(id, 0, Outcome::Full)).len();
    }
    assert_eq!(retries, 2);
}

#[test]
fn failed_subscriptions_are_repeated_with_growing_backoff() {
    let mut harness = Harness::new(
        Settings { subscribe: true, ..settings(vec![class(ExecutionSemantics::AtMostOnce)]) },
        vec![],
    );
    assert!(harness.deliver(Event::Started).contains(&Action::Subscribe));
    let mut backoffs = Vec::new();
    for _ in 0..3 {
        harness.deliver(Event::ListUnavailable);
        let mut tick_count = 0;
        while !harness.ticks(1).contains(&Action::Subscribe) {
            tick_count += 1;
            assert!(tick_count < 100, "no further subscription");
        }
        backoffs.push(tick_count);
    }
    assert!(backoffs[0] < backoffs[1] && backoffs[1] < backoffs[2], "{backoffs:?}");
}
