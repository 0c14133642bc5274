//! One small test for each failure found.

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

/// Incident i055f9d: a full engine looks free and turns hundreds away.
#[test]
fn a_full_engine_rests_before_it_is_tried_again() {
    let mut rig = Rig::new(settings(vec![class(ExecutionSemantics::Idempotent)]), vec![engine(1)]);
    let mut sends = 0;
    for _ in 0..20 {
        let (id, actions) = rig.arrive(0);
        sends += sent(&actions).len();
        if !sent(&actions).is_empty() {
            sends += sent(&rig.end(id, 0, Outcome::Full)).len();
        }
    }
    assert_eq!(sends, 1);
    rig.now = rig.now + Micros::from_secs_f64(1.0);
    assert_eq!(sent(&rig.arrive(0).1).len(), 1);
}

/// Incident i055f9d: connections break everywhere, and every engine was thought cold.
#[test]
fn one_broken_connection_does_not_make_an_engine_cold() {
    let mut rig = Rig::new(settings(vec![class(ExecutionSemantics::Idempotent)]), vec![engine(1)]);
    let (broken, _) = rig.arrive(0);
    let (other, _) = rig.arrive(0);
    rig.tell(Event::Abandoned(broken));
    rig.end(broken, 0, Outcome::Reset);
    rig.end(other, 0, Outcome::Served);
    let admitted = (0..60).filter(|_| !sent(&rig.arrive(0).1).is_empty()).count();
    // The cold budget would hold 12.8 thread-seconds of 0.5 each, and less.
    assert!(admitted > 14, "{admitted} admitted");
}

/// A process that died comes back cold, long before the list says so.
#[test]
fn a_refused_connection_makes_an_engine_cold() {
    let mut rig = Rig::new(settings(vec![class(ExecutionSemantics::Idempotent)]), vec![engine(1)]);
    let (id, _) = rig.arrive(0);
    rig.end(id, 0, Outcome::ConnectFailed);
    rig.now = rig.now + Micros::from_secs_f64(1.1);
    let (id, _) = rig.arrive(0);
    rig.end(id, 0, Outcome::Served);
    let admitted = (0..60).filter(|_| !sent(&rig.arrive(0).1).is_empty()).count();
    assert!(admitted < 26, "{admitted} admitted");
}

/// Days at close range: connects that were late made every engine count as cold, and most of what came was refused.
#[test]
fn a_connect_that_is_late_does_not_make_an_engine_cold() {
    let mut rig = Rig::new(settings(vec![class(ExecutionSemantics::Idempotent)]), vec![engine(1)]);
    let (id, _) = rig.arrive(0);
    rig.end(id, 0, Outcome::ConnectTimedOut);
    rig.now = rig.now + Micros::from_secs_f64(1.1);
    let (id, _) = rig.arrive(0);
    rig.end(id, 0, Outcome::Served);
    let admitted = (0..60).filter(|_| !sent(&rig.arrive(0).1).is_empty()).count();
    assert!(admitted >= 26, "{admitted} admitted");
    // One that never answers is set aside all the same.
    let mut rig = Rig::new(settings(vec![class(ExecutionSemantics::Idempotent)]), vec![engine(1), engine(2)]);
    let mut sent_there = 0;
    for _ in 0..60 {
        let (id, actions) = rig.arrive(0);
        let Some(at) = sent(&actions).first().copied() else { continue };
        sent_there += usize::from(at == EngineId(1));
        rig.end(id, 0, if at == EngineId(1) { Outcome::ConnectTimedOut } else { Outcome::Served });
    }
    assert!(sent_there <= 6, "{sent_there} of 60 sent where none answers");
}

/// Incidents i9505d2, ie0d6d2: an engine short of memory pages and all that runs there slows.
#[test]
fn a_paging_engine_gets_no_more_than_its_memory() {
    for (pages, admitted) in [(true, false), (false, true)] {
        let mut rig = Rig::new(
            Settings {
                pages_on_memory_shortage: pages,
                ..settings(vec![class(ExecutionSemantics::Idempotent)])
            },
            vec![engine(1)],
        );
        let report =
            LoadReport { utilisation: Some(0.3), memory_granted: Some(0.9), ..LoadReport::default() };
        let (first, _) = rig.arrive(0);
        rig.arrive(0);
        rig.end_with(first, 0, Outcome::Served, Micros(500_000), report);
        let query = Query { memory_hint: Some(400.0), ..rig.query(0) };
        assert_eq!(!sent(&rig.tell(Event::Arrived(query))).is_empty(), admitted);
    }
}

/// Standard days: attempts with a bad plan hold cores for 13 to 24 times their work.
#[test]
fn a_bad_plan_is_withdrawn_and_sent_anew_where_repeats_are_safe() {
    for (effect, again) in [(ExecutionSemantics::Idempotent, true), (ExecutionSemantics::AtMostOnce, false)] {
        let mut rig = Rig::new(settings(vec![class(effect)]), vec![engine(1), engine(2)]);
        let (id, _) = rig.arrive(0);
        rig.now = rig.now + Micros::from_secs_f64(1.0);
        rig.tell(Event::AttemptUpdated { query: id, attempt: 0, update: AttemptUpdate::Progress(0.05) });
        let cancelled = rig.sweeps(1).contains(&Action::Cancel { query: id, attempt: 0 });
        assert_eq!(cancelled, again);
        if again {
            assert_eq!(sent(&rig.end(id, 0, Outcome::Cancelled)).len(), 1);
        }
    }
}

/// Where fresh attempts are no better, dear queries are left alone.
#[test]
fn dear_queries_are_not_taken_for_bad_plans_for_ever() {
    let mut rig = Rig::new(settings(vec![class(ExecutionSemantics::Idempotent)]), vec![engine(1), engine(2)]);
    let mut resent = 0;
    for _ in 0..6 {
        let (id, _) = rig.arrive(0);
        for attempt in 0..2 {
            rig.now = rig.now + Micros::from_secs_f64(0.8);
            rig.tell(Event::AttemptUpdated { query: id, attempt, update: AttemptUpdate::Progress(0.05) });
            if rig.sweeps(1).contains(&Action::Cancel { query: id, attempt }) {
                resent += 1;
                rig.end(id, attempt, Outcome::Cancelled);
            }
        }
        rig.tell(Event::Abandoned(id));
        rig.end(id, 0, Outcome::Cancelled);
        rig.end(id, 1, Outcome::Cancelled);
    }
    assert!((1..=3).contains(&resent), "{resent} resent");
}

/// A hang: an engine that gives no word is set aside, and what may run again goes elsewhere.
#[test]
fn a_silent_engine_is_left() {
    let mut rig = Rig::new(settings(vec![class(ExecutionSemantics::Idempotent)]), vec![engine(1), engine(2)]);
    let (id, first) = rig.arrive(0);
    assert!(rig.sweeps(16).contains(&Action::Cancel { query: id, attempt: 0 }));
    let again = rig.end(id, 0, Outcome::Cancelled);
    assert_eq!(sent(&again).len(), 1);
    assert_ne!(sent(&again), sent(&first));
}

/// Refusal is immediate under pressure once the bound is used up, and says when to come back.
#[test]
fn a_misfit_is_refused_at_once() {
    let mut rig = Rig::new(settings(vec![class(ExecutionSemantics::Idempotent)]), vec![engine(1)]);
    let (first, _) = rig.arrive(0);
    rig.arrive(0);
    rig.end_with(first, 0, Outcome::Served, Micros(500_000), BUSY);
    // 2 threads a core, 8 cores, an aim of 1 s: 16 thread-seconds.
    let query = Query { work_hint: Some(17.0), ..rig.query(0) };
    let actions = rig.tell(Event::Arrived(query));
    assert_eq!((refused(&actions), sent(&actions).len()), (1, 0));
    assert!(actions.iter().any(|a| matches!(a, Action::Reject { retry_after, .. } if retry_after.0 > 0)));
    // Without pressure the same query enters.
    let mut calm = Rig::new(settings(vec![class(ExecutionSemantics::Idempotent)]), vec![engine(1)]);
    calm.arrive(0);
    let query = Query { work_hint: Some(17.0), ..calm.query(0) };
    assert_eq!(sent(&calm.tell(Event::Arrived(query))).len(), 1);
}

/// Settings that no site has: nothing optional, no classes, one attempt. Degrades plainly, never panics.
#[test]
fn bare_settings_do_no_harm() {
    let mut rig = Rig::new(Settings::default(), vec![engine(1)]);
    let (_, actions) = rig.arrive(3);
    assert_eq!(failed(&actions), 1);
    let mut bare = class(ExecutionSemantics::Idempotent);
    bare.latency_objective = Micros(0);
    bare.threads = 0.0;
    let mut rig =
        Rig::new(Settings { classes: vec![bare], max_attempts: 1, ..Settings::default() }, vec![engine(1)]);
    for _ in 0..50 {
        let (id, actions) = rig.arrive(0);
        rig.sweeps(3);
        if !sent(&actions).is_empty() {
            rig.end(id, 0, Outcome::Error);
        }
    }
    rig.tell(Event::AttemptUpdated {
        query: QueryId(9999),
        attempt: 7,
        update: AttemptUpdate::Progress(-1.0),
    });
    rig.end(QueryId(9999), 3, Outcome::Served);
}

/// Incidents i642d1c and ie0d6d2: every gateway pours onto the engine that one late report shows idle.
#[test]
fn sends_since_a_report_stand_for_those_of_the_other_gateways() {
    let admitted = |gateways: f64| {
        let mut rig = Rig::new(
            Settings { gateway_count: gateways, ..settings(vec![class(ExecutionSemantics::Idempotent)]) },
            vec![engine(1)],
        );
        let idle = LoadReport { utilisation: Some(0.1), ..LoadReport::default() };
        let (first, _) = rig.arrive(0);
        rig.end_with(first, 0, Outcome::Served, Micros(500_000), idle);
        let fits = |rig: &mut Rig| {
            let query = Query { work_hint: Some(3.0), ..rig.query(0) };
            !sent(&rig.tell(Event::Arrived(query))).is_empty()
        };
        (0..100).take_while(|_| fits(&mut rig)).count()
    };
    assert!(admitted(9.0) < admitted(1.0), "{} and {}", admitted(9.0), admitted(1.0));
}

/// Incidents i9d57c6 and i055f9d: a stuck load kept an engine on trial, and unused, until its time-out.
#[test]
fn an_engine_on_trial_gets_a_query_though_something_is_stuck_there() {
    let s = settings(vec![class(ExecutionSemantics::AtMostOnce), class(ExecutionSemantics::Idempotent)]);
    let mut rig = Rig::new(s, vec![engine(1), engine(2)]);
    let (_, stuck) = rig.arrive(0);
    rig.sweeps(9);
    // Silence set the engine aside; two seconds after it is tried again, the stuck attempt still out.
    rig.now = rig.now + Micros::from_secs_f64(3.0);
    let tried = (0..40).any(|_| sent(&rig.arrive(1).1) == sent(&stuck));
    assert!(tried);
    let again = (0..40).any(|_| sent(&rig.arrive(1).1) == sent(&stuck));
    assert!(!again, "one query a period while on trial");
}

/// Incident i742f49: with other gateways gone, this one carries all, and must not take itself for many.
#[test]
fn a_gateway_that_carries_all_the_traffic_admits_more() {
    let admitted = |busy: f64| {
        let s = Settings { gateway_count: 9.0, ..settings(vec![class(ExecutionSemantics::Idempotent)]) };
        let mut rig = Rig::new(s, vec![engine(1)]);
        let report = LoadReport { utilisation: Some(busy), ..LoadReport::default() };
        // One query of ours is always out; the report tells how much runs there beside it.
        let (mut out, _) = rig.arrive(0);
        for i in 0..12 {
            let (next, _) = rig.arrive(0);
            let told = LoadReport { utilisation: Some(busy + f64::from(i) * 1e-6), ..report };
            rig.end_with(out, 0, Outcome::Served, Micros(500_000), told);
            out = next;
            rig.sweeps(4);
        }
        let query = |rig: &mut Rig| Query { work_hint: Some(3.0), ..rig.query(0) };
        let fits = |rig: &mut Rig| {
            let query = query(rig);
            !sent(&rig.tell(Event::Arrived(query))).is_empty()
        };
        (0..100).take_while(|_| fits(&mut rig)).count()
    };
    // One thread of eight is ours alone, or one of four times as many.
    assert!(admitted(0.125) > admitted(0.5) + 1, "{} and {}", admitted(0.125), admitted(0.5));
}

/// h28bb38: engines that age, slower and slower, are drawn less; when all slow alike none is.
#[test]
fn an_ageing_engine_is_drawn_less_and_a_common_slowdown_is_not_taken_for_ageing() {
    let late_sends_to_first = |both: bool| {
        let mut rig =
            Rig::new(settings(vec![class(ExecutionSemantics::Idempotent)]), vec![engine(1), engine(2)]);
        let mut late = 0;
        for i in 0..200i64 {
            let (id, actions) = rig.arrive(0);
            let first = sent(&actions) == [EngineId(1)];
            late += usize::from(first && i >= 150);
            let slow = if first || both { 20_000 * i } else { 0 };
            rig.end_with(id, 0, Outcome::Served, Micros(500_000 + slow), LoadReport::default());
        }
        late
    };
    let (ageing, common) = (late_sends_to_first(false), late_sends_to_first(true));
    assert!(3 * ageing < 2 * common, "{ageing} to the ageing one, {common} when both slow");
}

/// A lasting shift to the heaviest class: what a query without an estimate is taken for follows what is seen.
#[test]
fn estimates_follow_a_lasting_shift_to_heavier_queries() {
    let mut rig = Rig::new(settings(vec![class(ExecutionSemantics::Idempotent)]), vec![engine(1)]);
    let mut admitted = |seconds: f64| {
        for _ in 0..300 {
            let query = Query { work_hint: None, ..rig.query(0) };
            let id = query.id;
            rig.tell(Event::Arrived(query));
            rig.end_with(id, 0, Outcome::Served, Micros::from_secs_f64(seconds), LoadReport::default());
        }
        let busy = LoadReport { utilisation: Some(1.5), ..LoadReport::default() };
        let (id, _) = rig.arrive(0);
        rig.end_with(id, 0, Outcome::Served, Micros(500_000), busy);
        let fits = |rig: &mut Rig| {
            let query = Query { work_hint: None, ..rig.query(0) };
            let id = query.id;
            (!sent(&rig.tell(Event::Arrived(query))).is_empty()).then_some(id)
        };
        let ids: Vec<QueryId> = (0..200).map_while(|_| fits(&mut rig)).collect();
        for id in &ids {
            rig.tell(Event::Abandoned(*id));
            rig.end(*id, 0, Outcome::Cancelled);
        }
        rig.now = rig.now + Micros::from_secs_f64(30.0);
        ids.len()
    };
    let (light, heavy) = (admitted(0.25), admitted(2.0));
    assert!(light > 2 * heavy && heavy > 0, "{light} light, {heavy} heavy");
}

/// Bad clients, in service: queries that every engine answers with an error set all engines aside, and used up the budget.
#[test]
fn queries_that_fail_everywhere_set_no_engine_aside_and_are_not_tried_again() {
    let mut rig = Rig::new(settings(vec![class(ExecutionSemantics::Idempotent)]), engines(4));
    let mut sends = 0;
    for _ in 0..60 {
        let (id, actions) = rig.arrive(0);
        let mut out = sent(&actions).len();
        for attempt in 0.. {
            sends += out;
            if out == 0 {
                break;
            }
            out = sent(&rig.end(id, attempt, Outcome::Error)).len();
        }
    }
    assert!(sends < 60 + 10, "{sends} sends of 60 queries");
    let admitted = (0..20).filter(|_| !sent(&rig.arrive(0).1).is_empty()).count();
    assert_eq!(admitted, 20);
}

/// The other side of it: an engine that errs while others do not is set aside, and its queries are tried elsewhere.
#[test]
fn an_engine_that_errs_alone_is_set_aside() {
    let mut rig = Rig::new(settings(vec![class(ExecutionSemantics::Idempotent)]), engines(4));
    let mut last = 0;
    for n in 0..200 {
        let (id, actions) = rig.arrive(0);
        let mut to = sent(&actions);
        for attempt in 0..4 {
            let Some(&engine) = to.first() else { break };
            last = if engine == EngineId(1) { n } else { last };
            let outcome = if engine == EngineId(1) { Outcome::Error } else { Outcome::Served };
            to = sent(&rig.end(id, attempt, outcome));
            assert!(outcome == Outcome::Served || !to.is_empty(), "tried elsewhere");
        }
    }
    assert!(last < 50, "an engine that always errs was still drawn by query {last}");
}

/// How many of `n` queries are admitted where one connection in `of` breaks by chance, at any engine or at the first alone;
/// and how many of the later half went to the first engine.
fn admitted_while_connections_break(n: usize, of: u64, everywhere: bool) -> (usize, usize) {
    let mut rig = Rig::new(settings(vec![class(ExecutionSemantics::Idempotent)]), engines(4));
    let (mut admitted, mut to_first, mut chance) = (0, 0, 1u64);
    for i in 0..n {
        rig.now = rig.now + Micros(20_000);
        if i % 12 == 0 {
            rig.tell(Event::TimerFired(0));
        }
        let (id, actions) = rig.arrive(0);
        let mut to = sent(&actions);
        admitted += to.len();
        to_first += usize::from(to == [EngineId(1)] && i > n / 2);
        for attempt in 0..4 {
            let Some(&engine) = to.first() else { break };
            let breaks = everywhere || engine == EngineId(1);
            chance = chance.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            let reset = breaks && (chance >> 33).is_multiple_of(of);
            let outcome = if reset { Outcome::Reset } else { Outcome::Served };
            to = sent(&rig.end(id, attempt, outcome));
        }
    }
    (admitted, to_first)
}

/// Resets, in service: one connection in fifteen broke at whichever engine, and all were set aside and thought cold.
#[test]
fn connections_that_break_everywhere_set_no_engine_aside() {
    let (admitted, to_first) = admitted_while_connections_break(2_000, 10, true);
    assert_eq!(admitted, 2_000);
    assert!(to_first > 125, "{to_first} of about 250");
}

/// The other side of it: where one engine alone breaks most of them, it is kept away from.
#[test]
fn an_engine_that_breaks_connections_alone_is_set_aside() {
    let (admitted, to_first) = admitted_while_connections_break(1_000, 1, false);
    assert_eq!(admitted, 1_000);
    assert!(to_first < 40, "{to_first} after half of the queries");
}

/// A day of releases, in service: answers of two engines got lost, one by one; notes of all else came.
#[test]
fn an_attempt_that_alone_gives_no_word_is_sent_anew_where_repeats_are_safe() {
    for (effect, again) in [(ExecutionSemantics::Idempotent, true), (ExecutionSemantics::AtMostOnce, false)] {
        let mut rig = Rig::new(settings(vec![class(effect)]), engines(1));
        let (lost, _) = rig.arrive(0);
        let (noted, _) = rig.arrive(0);
        let mut done = Vec::new();
        for _ in 0..10 {
            rig.tell(Event::AttemptUpdated {
                query: noted,
                attempt: 0,
                update: AttemptUpdate::Progress(0.9),
            });
            done.extend(rig.sweeps(1));
        }
        assert_eq!(done.contains(&Action::Cancel { query: lost, attempt: 0 }), again);
        assert!(!done.contains(&Action::Cancel { query: noted, attempt: 0 }));
    }
}
