//! Regression tests, one for each fault found in simulation or in operation.

mod common;
use common::*;
use wheelfield::interface::*;

const BUSY: LoadReport = LoadReport {
    utilisation: Some(1.5),
    in_flight: None,
    queued: Some(3.0),
    memory_granted: None,
    disk_utilisation: None,
};

/// A full engine looks free because it answers at once. Without a backoff it received and rejected hundreds
/// of queries.
#[test]
fn a_full_engine_gets_no_queries_during_its_backoff() {
    let mut harness = Harness::new(settings(vec![class(ExecutionSemantics::Idempotent)]), vec![engine(1)]);
    let mut sends = 0;
    for _ in 0..20 {
        let (id, actions) = harness.arrive(0);
        sends += sent_engines(&actions).len();
        if !sent_engines(&actions).is_empty() {
            sends += sent_engines(&harness.end_attempt(id, 0, Outcome::Full)).len();
        }
    }
    assert_eq!(sends, 1);
    harness.now = harness.now + Micros::from_secs_f64(1.0);
    assert_eq!(sent_engines(&harness.arrive(0).1).len(), 1);
}

/// When a network broke connections everywhere, every engine was taken for restarted and put into slow start.
#[test]
fn one_broken_connection_does_not_put_an_engine_into_slow_start() {
    let mut harness = Harness::new(settings(vec![class(ExecutionSemantics::Idempotent)]), vec![engine(1)]);
    let (broken, _) = harness.arrive(0);
    let (other, _) = harness.arrive(0);
    harness.deliver(Event::Abandoned(broken));
    harness.end_attempt(broken, 0, Outcome::Reset);
    harness.end_attempt(other, 0, Outcome::Served);
    let admitted = (0..60).filter(|_| !sent_engines(&harness.arrive(0).1).is_empty()).count();
    // The slow-start budget is 12.8 thread-seconds or less, which admits at most 25 queries of 0.5 each.
    assert!(admitted > 14, "{admitted} admitted");
}

/// A process that died restarts in slow start, long before the endpoint list says so.
#[test]
fn a_refused_connection_puts_an_engine_into_slow_start() {
    let mut harness = Harness::new(settings(vec![class(ExecutionSemantics::Idempotent)]), vec![engine(1)]);
    let (id, _) = harness.arrive(0);
    harness.end_attempt(id, 0, Outcome::ConnectFailed);
    harness.now = harness.now + Micros::from_secs_f64(1.1);
    let (id, _) = harness.arrive(0);
    harness.end_attempt(id, 0, Outcome::Served);
    let admitted = (0..60).filter(|_| !sent_engines(&harness.arrive(0).1).is_empty()).count();
    assert!(admitted < 26, "{admitted} admitted");
}

/// When connections were established late, every engine was put into slow start and most queries were
/// rejected.
#[test]
fn a_connection_timeout_does_not_put_an_engine_into_slow_start() {
    let mut harness = Harness::new(settings(vec![class(ExecutionSemantics::Idempotent)]), vec![engine(1)]);
    let (id, _) = harness.arrive(0);
    harness.end_attempt(id, 0, Outcome::ConnectTimedOut);
    harness.now = harness.now + Micros::from_secs_f64(1.1);
    let (id, _) = harness.arrive(0);
    harness.end_attempt(id, 0, Outcome::Served);
    let admitted = (0..60).filter(|_| !sent_engines(&harness.arrive(0).1).is_empty()).count();
    assert!(admitted >= 26, "{admitted} admitted");
    // An engine that never accepts a connection is ejected nevertheless.
    let mut harness =
        Harness::new(settings(vec![class(ExecutionSemantics::Idempotent)]), vec![engine(1), engine(2)]);
    let mut sends_to_first = 0;
    for _ in 0..60 {
        let (id, actions) = harness.arrive(0);
        let Some(selected) = sent_engines(&actions).first().copied() else { continue };
        sends_to_first += usize::from(selected == EngineId(1));
        harness.end_attempt(
            id,
            0,
            if selected == EngineId(1) { Outcome::ConnectTimedOut } else { Outcome::Served },
        );
    }
    assert!(sends_to_first <= 6, "{sends_to_first} of 60 sent to the engine that never answers");
}

/// An engine short of memory pages, and all queries that run there slow down.
#[test]
fn a_paging_engine_gets_no_query_beyond_its_memory() {
    for (pages, admitted) in [(true, false), (false, true)] {
        let mut harness = Harness::new(
            Settings {
                pages_on_memory_shortage: pages,
                ..settings(vec![class(ExecutionSemantics::Idempotent)])
            },
            vec![engine(1)],
        );
        let report =
            LoadReport { utilisation: Some(0.3), memory_granted: Some(0.9), ..LoadReport::default() };
        let (first, _) = harness.arrive(0);
        harness.arrive(0);
        harness.end_attempt_with(first, 0, Outcome::Served, Micros(500_000), report);
        let query = Query { memory_hint: Some(400.0), ..harness.new_query(0) };
        assert_eq!(!sent_engines(&harness.deliver(Event::Arrived(query))).is_empty(), admitted);
    }
}

/// Attempts with a bad plan use cores for 13 to 24 times their estimated work.
#[test]
fn a_bad_plan_is_cancelled_and_retried_if_the_class_is_idempotent() {
    for (semantics, retried) in
        [(ExecutionSemantics::Idempotent, true), (ExecutionSemantics::AtMostOnce, false)]
    {
        let mut harness = Harness::new(settings(vec![class(semantics)]), vec![engine(1), engine(2)]);
        let (id, _) = harness.arrive(0);
        harness.now = harness.now + Micros::from_secs_f64(1.0);
        harness.deliver(Event::AttemptUpdated {
            query: id,
            attempt: 0,
            update: AttemptUpdate::Progress(0.05),
        });
        let cancelled = harness.ticks(1).contains(&Action::Cancel { query: id, attempt: 0 });
        assert_eq!(cancelled, retried);
        if retried {
            assert_eq!(sent_engines(&harness.end_attempt(id, 0, Outcome::Cancelled)).len(), 1);
        }
    }
}

/// If retries are no faster, expensive queries are left to run instead of being taken for bad plans.
#[test]
fn expensive_queries_are_not_treated_as_bad_plans_indefinitely() {
    let mut harness =
        Harness::new(settings(vec![class(ExecutionSemantics::Idempotent)]), vec![engine(1), engine(2)]);
    let mut retries = 0;
    for _ in 0..6 {
        let (id, _) = harness.arrive(0);
        for attempt in 0..2 {
            harness.now = harness.now + Micros::from_secs_f64(0.8);
            harness.deliver(Event::AttemptUpdated {
                query: id,
                attempt,
                update: AttemptUpdate::Progress(0.05),
            });
            if harness.ticks(1).contains(&Action::Cancel { query: id, attempt }) {
                retries += 1;
                harness.end_attempt(id, attempt, Outcome::Cancelled);
            }
        }
        harness.deliver(Event::Abandoned(id));
        harness.end_attempt(id, 0, Outcome::Cancelled);
        harness.end_attempt(id, 1, Outcome::Cancelled);
    }
    assert!((1..=3).contains(&retries), "{retries} retries");
}

/// An engine that hangs sends no updates. It is ejected, and queries that may run again are retried on
/// another engine.
#[test]
fn a_silent_engine_is_ejected_and_its_query_retried_elsewhere() {
    let mut harness =
        Harness::new(settings(vec![class(ExecutionSemantics::Idempotent)]), vec![engine(1), engine(2)]);
    let (id, first) = harness.arrive(0);
    assert!(harness.ticks(16).contains(&Action::Cancel { query: id, attempt: 0 }));
    let again = harness.end_attempt(id, 0, Outcome::Cancelled);
    assert_eq!(sent_engines(&again).len(), 1);
    assert_ne!(sent_engines(&again), sent_engines(&first));
}

/// Once the work limit of an overloaded engine is used up, a query is rejected at once, with advice on when
/// to retry.
#[test]
fn a_query_beyond_the_work_limit_is_rejected_at_once() {
    let mut harness = Harness::new(settings(vec![class(ExecutionSemantics::Idempotent)]), vec![engine(1)]);
    let (first, _) = harness.arrive(0);
    harness.arrive(0);
    harness.end_attempt_with(first, 0, Outcome::Served, Micros(500_000), BUSY);
    // The work limit is 2 threads per core times 8 cores times an objective of 1 s: 16 thread-seconds.
    let query = Query { work_hint: Some(17.0), ..harness.new_query(0) };
    let actions = harness.deliver(Event::Arrived(query));
    assert_eq!((rejections(&actions), sent_engines(&actions).len()), (1, 0));
    assert!(actions.iter().any(|a| matches!(a, Action::Reject { retry_after, .. } if retry_after.0 > 0)));
    // The same query is admitted if the engine is not overloaded.
    let mut idle_harness =
        Harness::new(settings(vec![class(ExecutionSemantics::Idempotent)]), vec![engine(1)]);
    idle_harness.arrive(0);
    let query = Query { work_hint: Some(17.0), ..idle_harness.new_query(0) };
    assert_eq!(sent_engines(&idle_harness.deliver(Event::Arrived(query))).len(), 1);
}

/// Settings that no deployment has: no optional features, no classes, one attempt. Queries are still
/// answered, without a panic.
#[test]
fn minimal_settings_are_handled_without_a_panic() {
    let mut harness = Harness::new(Settings::default(), vec![engine(1)]);
    let (_, actions) = harness.arrive(3);
    assert_eq!(failures(&actions), 1);
    let mut minimal_class = class(ExecutionSemantics::Idempotent);
    minimal_class.latency_objective = Micros(0);
    minimal_class.threads = 0.0;
    let mut harness = Harness::new(
        Settings { classes: vec![minimal_class], max_attempts: 1, ..Settings::default() },
        vec![engine(1)],
    );
    for _ in 0..50 {
        let (id, actions) = harness.arrive(0);
        harness.ticks(3);
        if !sent_engines(&actions).is_empty() {
            harness.end_attempt(id, 0, Outcome::Error);
        }
    }
    harness.deliver(Event::AttemptUpdated {
        query: QueryId(9999),
        attempt: 7,
        update: AttemptUpdate::Progress(-1.0),
    });
    harness.end_attempt(QueryId(9999), 3, Outcome::Served);
}

/// All gateways sent their queries to the one engine that a late report showed as idle.
#[test]
fn sends_since_a_report_are_scaled_by_the_number_of_gateways() {
    let admitted = |gateways: f64| {
        let mut harness = Harness::new(
            Settings { gateway_count: gateways, ..settings(vec![class(ExecutionSemantics::Idempotent)]) },
            vec![engine(1)],
        );
        let idle = LoadReport { utilisation: Some(0.1), ..LoadReport::default() };
        let (first, _) = harness.arrive(0);
        harness.end_attempt_with(first, 0, Outcome::Served, Micros(500_000), idle);
        let fits = |harness: &mut Harness| {
            let query = Query { work_hint: Some(3.0), ..harness.new_query(0) };
            !sent_engines(&harness.deliver(Event::Arrived(query))).is_empty()
        };
        (0..100).take_while(|_| fits(&mut harness)).count()
    };
    assert!(admitted(9.0) < admitted(1.0), "{} and {}", admitted(9.0), admitted(1.0));
}

/// A stuck attempt kept a half-open engine from getting any other query until the attempt timed out.
#[test]
fn a_half_open_engine_gets_a_query_although_an_attempt_is_stuck_there() {
    let s = settings(vec![class(ExecutionSemantics::AtMostOnce), class(ExecutionSemantics::Idempotent)]);
    let mut harness = Harness::new(s, vec![engine(1), engine(2)]);
    let (_, stuck) = harness.arrive(0);
    harness.ticks(9);
    // The engine is ejected for its silence. It is half-open after the ejection, while the stuck attempt is
    // still in flight.
    harness.now = harness.now + Micros::from_secs_f64(3.0);
    let selected = (0..40).any(|_| sent_engines(&harness.arrive(1).1) == sent_engines(&stuck));
    assert!(selected);
    let selected_again = (0..40).any(|_| sent_engines(&harness.arrive(1).1) == sent_engines(&stuck));
    assert!(!selected_again, "a half-open engine gets one query per period");
}

/// When the other gateways are down, this one carries all the traffic. It must not correct its load estimates
/// for sends that the others no longer make.
#[test]
fn a_gateway_that_carries_all_the_traffic_admits_more() {
    let admitted = |busy: f64| {
        let s = Settings { gateway_count: 9.0, ..settings(vec![class(ExecutionSemantics::Idempotent)]) };
        let mut harness = Harness::new(s, vec![engine(1)]);
        let report = LoadReport { utilisation: Some(busy), ..LoadReport::default() };
        // One query of this gateway is always in flight. The report shows how much else runs on the engine.
        let (mut in_flight_id, _) = harness.arrive(0);
        for i in 0..12 {
            let (next, _) = harness.arrive(0);
            let new_report = LoadReport { utilisation: Some(busy + f64::from(i) * 1e-6), ..report };
            harness.end_attempt_with(in_flight_id, 0, Outcome::Served, Micros(500_000), new_report);
            in_flight_id = next;
            harness.ticks(4);
        }
        let query = |harness: &mut Harness| Query { work_hint: Some(3.0), ..harness.new_query(0) };
        let fits = |harness: &mut Harness| {
            let query = query(harness);
            !sent_engines(&harness.deliver(Event::Arrived(query))).is_empty()
        };
        (0..100).take_while(|_| fits(&mut harness)).count()
    };
    // One thread runs there in the first case and four in the second; one of them belongs to this gateway.
    assert!(admitted(0.125) > admitted(0.5) + 1, "{} and {}", admitted(0.125), admitted(0.5));
}

/// An engine whose runs get slower and slower is selected less often. If all engines slow down alike, no
/// engine is preferred.
#[test]
fn a_slowing_engine_is_selected_less_often_unless_all_engines_slow_down() {
    let late_sends_to_first = |both_slow: bool| {
        let mut harness =
            Harness::new(settings(vec![class(ExecutionSemantics::Idempotent)]), vec![engine(1), engine(2)]);
        let mut late_sends = 0;
        for i in 0..200i64 {
            let (id, actions) = harness.arrive(0);
            let first = sent_engines(&actions) == [EngineId(1)];
            late_sends += usize::from(first && i >= 150);
            let extra_time = if first || both_slow { 20_000 * i } else { 0 };
            harness.end_attempt_with(
                id,
                0,
                Outcome::Served,
                Micros(500_000 + extra_time),
                LoadReport::default(),
            );
        }
        late_sends
    };
    let (one_slow, both_slow_sends) = (late_sends_to_first(false), late_sends_to_first(true));
    assert!(
        3 * one_slow < 2 * both_slow_sends,
        "{one_slow} if it alone slows down, {both_slow_sends} if both do"
    );
}

/// When the queries become permanently heavier, the estimate for a query without a hint has to follow.
#[test]
fn estimates_follow_a_lasting_shift_to_heavier_queries() {
    let mut harness = Harness::new(settings(vec![class(ExecutionSemantics::Idempotent)]), vec![engine(1)]);
    let mut admitted = |seconds: f64| {
        for _ in 0..300 {
            let query = Query { work_hint: None, ..harness.new_query(0) };
            let id = query.id;
            harness.deliver(Event::Arrived(query));
            harness.end_attempt_with(
                id,
                0,
                Outcome::Served,
                Micros::from_secs_f64(seconds),
                LoadReport::default(),
            );
        }
        let busy = LoadReport { utilisation: Some(1.5), ..LoadReport::default() };
        let (id, _) = harness.arrive(0);
        harness.end_attempt_with(id, 0, Outcome::Served, Micros(500_000), busy);
        let fits = |harness: &mut Harness| {
            let query = Query { work_hint: None, ..harness.new_query(0) };
            let id = query.id;
            (!sent_engines(&harness.deliver(Event::Arrived(query))).is_empty()).then_some(id)
        };
        let ids: Vec<QueryId> = (0..200).map_while(|_| fits(&mut harness)).collect();
        for id in &ids {
            harness.deliver(Event::Abandoned(*id));
            harness.end_attempt(*id, 0, Outcome::Cancelled);
        }
        harness.now = harness.now + Micros::from_secs_f64(30.0);
        ids.len()
    };
    let (light, heavy) = (admitted(0.25), admitted(2.0));
    assert!(light > 2 * heavy && heavy > 0, "{light} light, {heavy} heavy");
}

/// Queries that failed on every engine ejected all engines and used up the retry budget.
#[test]
fn queries_that_fail_on_every_engine_eject_none_and_are_not_retried() {
    let mut harness = Harness::new(settings(vec![class(ExecutionSemantics::Idempotent)]), engines(4));
    let mut sends = 0;
    for _ in 0..60 {
        let (id, actions) = harness.arrive(0);
        let mut sent_now = sent_engines(&actions).len();
        for attempt in 0.. {
            sends += sent_now;
            if sent_now == 0 {
                break;
            }
            sent_now = sent_engines(&harness.end_attempt(id, attempt, Outcome::Error)).len();
        }
    }
    assert!(sends < 60 + 10, "{sends} sends for 60 queries");
    let admitted = (0..20).filter(|_| !sent_engines(&harness.arrive(0).1).is_empty()).count();
    assert_eq!(admitted, 20);
}

/// The counterpart: an engine that returns errors while others do not is ejected, and its queries are retried
/// elsewhere.
#[test]
fn a_single_engine_with_errors_is_ejected() {
    let mut harness = Harness::new(settings(vec![class(ExecutionSemantics::Idempotent)]), engines(4));
    let mut last = 0;
    for n in 0..200 {
        let (id, actions) = harness.arrive(0);
        let mut to = sent_engines(&actions);
        for attempt in 0..4 {
            let Some(&engine) = to.first() else { break };
            last = if engine == EngineId(1) { n } else { last };
            let outcome = if engine == EngineId(1) { Outcome::Error } else { Outcome::Served };
            to = sent_engines(&harness.end_attempt(id, attempt, outcome));
            assert!(outcome == Outcome::Served || !to.is_empty(), "not retried on another engine");
        }
    }
    assert!(last < 50, "the engine that always fails was still selected for query {last}");
}

/// Runs `n` queries where one connection in `one_in` breaks at random, on any engine or on the first one
/// only. Returns how many were admitted, and how many of the second half were sent to the first engine.
fn admitted_while_connections_break(n: usize, one_in: u64, everywhere: bool) -> (usize, usize) {
    let mut harness = Harness::new(settings(vec![class(ExecutionSemantics::Idempotent)]), engines(4));
    let (mut admitted, mut to_first, mut random_state) = (0, 0, 1u64);
    for i in 0..n {
        harness.now = harness.now + Micros(20_000);
        if i % 12 == 0 {
            harness.deliver(Event::TimerFired(0));
        }
        let (id, actions) = harness.arrive(0);
        let mut to = sent_engines(&actions);
        admitted += to.len();
        to_first += usize::from(to == [EngineId(1)] && i > n / 2);
        for attempt in 0..4 {
            let Some(&engine) = to.first() else { break };
            let breaks = everywhere || engine == EngineId(1);
            random_state =
                random_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            let reset = breaks && (random_state >> 33).is_multiple_of(one_in);
            let outcome = if reset { Outcome::Reset } else { Outcome::Served };
            to = sent_engines(&harness.end_attempt(id, attempt, outcome));
        }
    }
    (admitted, to_first)
}

/// One connection in fifteen broke, on all engines alike, and all engines were ejected and put into slow
/// start.
#[test]
fn connections_that_break_on_all_engines_eject_none() {
    let (admitted, to_first) = admitted_while_connections_break(2_000, 10, true);
    assert_eq!(admitted, 2_000);
    assert!(to_first > 125, "{to_first} of about 250 sent to the first engine");
}

/// The counterpart: an engine that is the only one to break most of its connections is avoided.
#[test]
fn a_single_engine_that_breaks_connections_is_ejected() {
    let (admitted, to_first) = admitted_while_connections_break(1_000, 1, false);
    assert_eq!(admitted, 1_000);
    assert!(to_first < 40, "{to_first} sent to the failing engine in the second half");
}

/// Answers of two engines were lost one by one during a rollout, while updates of their other attempts
/// arrived.
#[test]
fn a_single_attempt_without_updates_is_retried_if_the_class_is_idempotent() {
    for (semantics, retried) in
        [(ExecutionSemantics::Idempotent, true), (ExecutionSemantics::AtMostOnce, false)]
    {
        let mut harness = Harness::new(settings(vec![class(semantics)]), engines(1));
        let (lost, _) = harness.arrive(0);
        let (updated, _) = harness.arrive(0);
        let mut actions = Vec::new();
        for _ in 0..10 {
            harness.deliver(Event::AttemptUpdated {
                query: updated,
                attempt: 0,
                update: AttemptUpdate::Progress(0.9),
            });
            actions.extend(harness.ticks(1));
        }
        assert_eq!(actions.contains(&Action::Cancel { query: lost, attempt: 0 }), retried);
        assert!(!actions.contains(&Action::Cancel { query: updated, attempt: 0 }));
    }
}
