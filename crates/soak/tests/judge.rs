//! Each invariant by itself, on records made by hand: what keeps it is passed, what breaks it is found.

use std::time::Duration;
use wheelfield_soak::judge::{judge, Invariant};
use wheelfield_soak::ledger::{
    ControllerChange, ControllerEvent, ExecutorChange, ExecutorEvent, FaultRecord, Receipt,
    Records, RequestEnd, RequestId, RequestRecord, TellingFault,
};
use wheelfield_soak::plan::{Deployment, Plan};
use wheelfield_soak::settings::Class;

const SECOND: i64 = 1_000_000;

fn request(n: u64, class: Class, end: RequestEnd) -> RequestRecord {
    RequestRecord {
        id: RequestId::new(0, n),
        class,
        began_at: 10 * SECOND,
        sent_at: 10 * SECOND,
        timeout_us: SECOND,
        end,
        ended_at: 10 * SECOND + 50_000,
        is_pipelined: false,
        is_first: false,
    }
}

/// A fault at the first controller that excuses nothing by itself.
fn fault(from: i64, until: i64) -> FaultRecord {
    FaultRecord {
        controllers: vec![0],
        description: String::new(),
        client_delay_us: 0,
        holds_up_answers: false,
        telling: None,
        from,
        until,
    }
}

fn happened(records: &mut Records, change: ControllerChange, at: i64) {
    records.controller_events.push(ControllerEvent {
        controller: 0,
        change,
        at,
    });
}

fn receipt(n: u64, executor: usize, at: i64) -> Receipt {
    Receipt {
        id: RequestId::new(0, n),
        executor,
        at,
        limit_us: 900_000,
        ran: true,
    }
}

fn records() -> Records {
    Records {
        controllers: 1,
        ..Records::default()
    }
}

/// The invariants that a run violates, each once.
fn violated(records: &Records) -> Vec<Invariant> {
    let mut found: Vec<Invariant> = judge(records)
        .violations
        .iter()
        .map(|violation| violation.invariant)
        .collect();
    found.dedup();
    found
}

#[test]
fn a_request_has_one_answer_in_time() {
    let with = |end, ended_at| {
        let mut records = records();
        records.requests.push(RequestRecord {
            ended_at,
            ..request(1, Class::Look, end)
        });
        records
    };
    let soon = 10 * SECOND + 50_000;
    for end in [
        RequestEnd::Answered(200),
        RequestEnd::Answered(503),
        RequestEnd::Abandoned,
        RequestEnd::CutByProxy,
        RequestEnd::NotSent,
    ] {
        assert_eq!(violated(&with(end, soon)), []);
    }
    for end in [
        RequestEnd::Lost,
        RequestEnd::Silent,
        RequestEnd::Unreadable,
        RequestEnd::Answered(408),
    ] {
        assert_eq!(violated(&with(end, soon)), [Invariant::Answer], "{end:?}");
    }
    let late = with(RequestEnd::Answered(200), 12 * SECOND);
    assert_eq!(violated(&late), [Invariant::Answer]);
    let mut twice = with(RequestEnd::Answered(200), soon);
    twice.surplus_answers.push((RequestId::new(0, 1), soon));
    assert_eq!(violated(&twice), [Invariant::Answer]);
}

#[test]
fn a_kill_excuses_what_was_under_way_and_a_suspension_answers_until_half_a_second_after_it() {
    let mut killed = records();
    killed
        .requests
        .push(request(1, Class::Look, RequestEnd::Lost));
    happened(&mut killed, ControllerChange::Killed, 10 * SECOND + 40_000);
    assert_eq!(violated(&killed), []);
    let suspended = |ended_at| {
        let mut records = records();
        records.requests.push(RequestRecord {
            ended_at,
            ..request(1, Class::Look, RequestEnd::Answered(503))
        });
        let (from, until) = (10 * SECOND + 10_000, 13 * SECOND);
        happened(&mut records, ControllerChange::Suspended, from);
        happened(&mut records, ControllerChange::Resumed, until);
        records
    };
    assert_eq!(violated(&suspended(13 * SECOND + 600_000)), []);
    let late = suspended(13 * SECOND + 700_000);
    assert_eq!(violated(&late), [Invariant::Answer]);
}

/// No answer can be given while no connection can be accepted; half a second after that it is late again.
#[test]
fn a_fault_that_holds_up_answers_excuses_them_while_it_lasts() {
    let with = |ended_at| {
        let mut records = records();
        records.requests.push(RequestRecord {
            ended_at,
            ..request(1, Class::Look, RequestEnd::Answered(503))
        });
        records.faults.push(FaultRecord {
            holds_up_answers: true,
            ..fault(10 * SECOND, 13 * SECOND)
        });
        records
    };
    assert_eq!(violated(&with(13 * SECOND + 100_000)), []);
    assert_eq!(violated(&with(14 * SECOND)), [Invariant::Answer]);
}

/// Only what can have come after the grace for requests may be lost in a shutdown, and what is rejected as overdue took two seconds.
#[test]
fn bytes_that_are_held_up_excuse_what_comes_too_late_and_no_more() {
    let with = |client_delay_us, end, ended_at, terminated_at| {
        let mut records = records();
        records.requests.push(RequestRecord {
            ended_at,
            ..request(1, Class::Look, end)
        });
        records.faults.push(FaultRecord {
            client_delay_us,
            ..fault(9 * SECOND, 13 * SECOND)
        });
        happened(&mut records, ControllerChange::Terminated, terminated_at);
        records
    };
    let soon = 10 * SECOND + 500_000;
    let lost = RequestEnd::Lost;
    let before = 10 * SECOND - 300_000;
    assert_eq!(violated(&with(450_000, lost, soon, before)), []);
    assert_eq!(
        violated(&with(200_000, lost, soon, before)),
        [Invariant::Answer]
    );
    assert_eq!(
        violated(&with(450_000, lost, soon, 10 * SECOND)),
        [Invariant::Answer],
        "it came within the grace"
    );
    let overdue = RequestEnd::Answered(408);
    assert_eq!(violated(&with(450_000, overdue, 12 * SECOND, before)), []);
    assert_eq!(
        violated(&with(450_000, overdue, 11 * SECOND, before)),
        [Invariant::Answer]
    );
    assert_eq!(
        violated(&with(0, overdue, 12 * SECOND, before)),
        [Invariant::Answer]
    );
}

/// Idle clients that fill the descriptors may shut out new connections, and nobody else.
#[test]
fn a_crowd_excuses_new_connections_that_are_closed() {
    let with = |is_crowded, is_first| {
        let mut records = records();
        records.is_crowded = is_crowded;
        records.requests.push(RequestRecord {
            is_first,
            ..request(1, Class::Look, RequestEnd::Lost)
        });
        violated(&records)
    };
    assert_eq!(with(true, true), []);
    assert_eq!(with(true, false), [Invariant::Answer]);
    assert_eq!(with(false, true), [Invariant::Answer]);
}

#[test]
fn what_must_run_at_most_once_runs_once() {
    for (class, expected) in [
        (Class::Look, vec![]),
        (Class::Load, vec![Invariant::Repeat]),
    ] {
        let mut records = records();
        records
            .requests
            .push(request(1, class, RequestEnd::Answered(200)));
        records.receipts.push(receipt(1, 0, 10 * SECOND + 1_000));
        records.receipts.push(Receipt {
            ran: false,
            ..receipt(1, 1, 10 * SECOND + 2_000)
        });
        assert_eq!(violated(&records), []);
        records.receipts.push(receipt(1, 2, 10 * SECOND + 3_000));
        assert_eq!(violated(&records), expected, "{class:?}");
    }
}

/// An executor that drains at second 9; its list is told at `told_at`, and a request is sent to it at `sent_at`.
fn drained(told_at: i64, sent_at: i64) -> Records {
    let mut records = records();
    records.executors.push(ExecutorEvent {
        executor: 3,
        change: ExecutorChange::Draining,
        serial: 7,
        at: 9 * SECOND,
    });
    records.told.insert((0, 8), told_at);
    records.receipts.push(receipt(1, 3, sent_at));
    records
}

#[test]
fn nothing_goes_to_an_executor_past_its_grace_after_its_drain_was_told_or_counts_as_told() {
    let told_at = 9 * SECOND + 200_000;
    assert_eq!(violated(&drained(told_at, 10 * SECOND + 300_000)), []);
    let late = drained(told_at, 10 * SECOND + 400_000);
    assert_eq!(violated(&late), [Invariant::Drain]);
    // Never told: it counts as told 1.5 s after it happened.
    let never = 90 * SECOND;
    assert_eq!(violated(&drained(never, 11 * SECOND + 600_000)), []);
    let late = drained(never, 11 * SECOND + 700_000);
    assert_eq!(violated(&late), [Invariant::Drain]);
}

/// While the name service takes for its answers what it takes; a process that was suspended has no more time than that.
#[test]
fn faults_of_the_name_service_put_off_when_a_drain_counts_as_told() {
    let with = |telling, span: (i64, i64), sent_at| {
        let mut records = drained(90 * SECOND, sent_at);
        records.faults.push(FaultRecord {
            controllers: Vec::new(),
            telling: Some(telling),
            ..fault(span.0, span.1)
        });
        violated(&records)
    };
    let silence = |until, sent_at| with(TellingFault::Silent, (8 * SECOND, until), sent_at);
    // 4.5 s after the silence began, and the grace.
    assert_eq!(silence(11 * SECOND, 13 * SECOND + 600_000), []);
    let late = 13 * SECOND + 700_000;
    assert_eq!(silence(11 * SECOND, late), [Invariant::Drain]);
    // A longer one can't be heard through.
    assert_eq!(silence(14 * SECOND, 15 * SECOND + 300_000), []);
    let late = 15 * SECOND + 500_000;
    assert_eq!(silence(14 * SECOND, late), [Invariant::Drain]);
    let slow = |sent_at| {
        let slow = TellingFault::Slow(2 * SECOND);
        with(slow, (8 * SECOND, 20 * SECOND), sent_at)
    };
    assert_eq!(slow(12 * SECOND + 300_000), []);
    assert_eq!(slow(12 * SECOND + 500_000), [Invariant::Drain]);
}

/// A program that repeats its questions soon hears in time, however many answers are lost; only where the service is silent or slow as
/// well does it take as long as that many questions.
#[test]
fn lost_answers_put_off_a_telling_only_with_a_silence_or_slow_answers() {
    let with = |others: &[(TellingFault, i64, i64)], sent_at| {
        let mut records = drained(90 * SECOND, sent_at);
        let lossy = (TellingFault::Lossy, 8 * SECOND, 20 * SECOND);
        for (telling, from, until) in others.iter().chain([&lossy]) {
            records.faults.push(FaultRecord {
                controllers: Vec::new(),
                telling: Some(*telling),
                ..fault(*from, *until)
            });
        }
        violated(&records)
    };
    assert_eq!(with(&[], 11 * SECOND + 600_000), []);
    assert_eq!(with(&[], 11 * SECOND + 700_000), [Invariant::Drain]);
    // Fourteen questions of an eighth of a second after its end.
    let silence = [(TellingFault::Silent, 8 * SECOND, 14 * SECOND)];
    assert_eq!(with(&silence, 17 * SECOND), []);
    assert_eq!(with(&silence, 17 * SECOND + 200_000), [Invariant::Drain]);
    // Fourteen of a quarter of a second.
    let slow = [(TellingFault::Slow(SECOND), 8 * SECOND, 20 * SECOND)];
    assert_eq!(with(&slow, 14 * SECOND + 800_000), []);
    assert_eq!(with(&slow, SECOND * 15), [Invariant::Drain]);
}

#[test]
fn a_reload_puts_off_when_a_drain_counts_as_told_and_a_suspension_does_not() {
    let never = 90 * SECOND;
    let with = |sent_at, changes: &[(ControllerChange, i64)]| {
        let mut records = drained(never, sent_at);
        for (change, at) in changes {
            happened(&mut records, *change, *at);
        }
        violated(&records)
    };
    let reload = [(ControllerChange::Reloaded, 8 * SECOND)];
    assert_eq!(with(13 * SECOND + 100_000, &reload), []);
    assert_eq!(with(13 * SECOND + 300_000, &reload), [Invariant::Drain]);
    let suspension = [
        (ControllerChange::Suspended, 9 * SECOND),
        (ControllerChange::Resumed, 12 * SECOND),
    ];
    assert_eq!(with(12 * SECOND + 1_000, &suspension), [Invariant::Drain]);
    // It may go by the old list only where an answer takes longer than a request can wait, and until then.
    let slow = |answer_us, sent_at| {
        let mut records = drained(never, sent_at);
        for (change, at) in suspension {
            happened(&mut records, change, at);
        }
        records.faults.push(FaultRecord {
            controllers: Vec::new(),
            telling: Some(TellingFault::Slow(answer_us)),
            ..fault(11 * SECOND, 13 * SECOND)
        });
        violated(&records)
    };
    assert_eq!(slow(SECOND, 12 * SECOND + 900_000), []);
    assert_eq!(slow(SECOND, 13 * SECOND + 200_000), [Invariant::Drain]);
    assert_eq!(slow(300_000, 12 * SECOND + 1_000), [Invariant::Drain]);
}

#[test]
fn attempts_begin_for_clients_that_wait_and_have_no_more_time_than_they() {
    let with = |end, at, limit_us| {
        let mut records = records();
        records.requests.push(request(1, Class::Look, end));
        records.receipts.push(Receipt {
            limit_us,
            ..receipt(1, 0, at)
        });
        records
    };
    let served = RequestEnd::Answered(200);
    let at = 10 * SECOND + 40_000;
    assert_eq!(violated(&with(served, at, 900_000)), []);
    assert_eq!(violated(&with(served, at, 1_200_000)), [Invariant::Limit]);
    let left = RequestEnd::Abandoned;
    assert_eq!(violated(&with(left, at + 100_000, 900_000)), []);
    let mut long_after = with(left, at + 400_000, 400_000);
    assert_eq!(violated(&long_after), [Invariant::Departure]);
    // A suspension is no excuse: the process can look before it acts.
    happened(&mut long_after, ControllerChange::Suspended, at);
    happened(&mut long_after, ControllerChange::Resumed, at + 399_000);
    assert_eq!(violated(&long_after), [Invariant::Departure]);
    // What the proxy holds up can't be known sooner; nor can it be later.
    long_after.faults.push(FaultRecord {
        client_delay_us: 200_000,
        ..fault(9 * SECOND, 12 * SECOND)
    });
    assert_eq!(violated(&long_after), []);
    long_after.receipts[0].at += 100_000;
    assert_eq!(violated(&long_after), [Invariant::Departure]);
    let mut longer = with(served, at, 1_200_000);
    longer.faults = long_after.faults;
    assert_eq!(violated(&longer), []);
    longer.receipts[0].limit_us += 200_000;
    assert_eq!(violated(&longer), [Invariant::Limit]);
}

#[test]
fn an_executor_in_slow_start_gets_its_bound_within_the_window() {
    // 2.5 x 0.3 x 8 cores x 1 s / 0.2 s = 30 requests, and a margin of 2 x root of 30 + 2, growing with its age.
    let with = |count: u64| {
        let mut records = records();
        records.executors.push(ExecutorEvent {
            executor: 3,
            change: ExecutorChange::Started,
            serial: 7,
            at: 9 * SECOND,
        });
        records.told.insert((0, 7), 9 * SECOND);
        let receipts = (1..=count).map(|n| receipt(n, 3, 9 * SECOND + 1_000));
        records.receipts.extend(receipts);
        records
    };
    assert_eq!(violated(&with(42)), []);
    assert_eq!(violated(&with(43)), [Invariant::SlowStart]);
}

#[test]
fn a_process_ends_when_it_is_asked_to_and_is_ready_soon() {
    let with = |changes: &[(ControllerChange, i64)]| {
        let mut records = records();
        let events = changes.iter().map(|(change, second)| ControllerEvent {
            controller: 0,
            change: *change,
            at: second * SECOND,
        });
        records.controller_events.extend(events);
        records
    };
    use ControllerChange::{Exited, Killed, Overdue, Ready, Started, Terminated};
    let start = [(Started, 0), (Ready, 1)];
    let after = |more: &[(ControllerChange, i64)]| violated(&with(&[&start, more].concat()));
    assert_eq!(after(&[(Terminated, 5), (Exited(Some(0)), 6)]), []);
    assert_eq!(after(&[(Killed, 5), (Exited(None), 5)]), []);
    assert_eq!(after(&[(Exited(Some(101)), 5)]), [Invariant::Process]);
    assert_eq!(
        after(&[(Terminated, 5), (Exited(Some(1)), 6)]),
        [Invariant::Process]
    );
    assert_eq!(
        after(&[(Terminated, 5), (Overdue, 9)]),
        [Invariant::Process]
    );
    let slow = with(&[(Started, 0), (Ready, 11)]);
    assert_eq!(violated(&slow), [Invariant::Process]);
    // It had less time than others, and is killed at the same time.
    let mut held_up = with(&[(Started, 0), (Ready, 1), (Terminated, 5), (Overdue, 9)]);
    held_up.faults.push(FaultRecord {
        holds_up_answers: true,
        ..fault(8 * SECOND, 10 * SECOND)
    });
    assert_eq!(violated(&held_up), []);
    held_up.faults[0].from = 9 * SECOND + 1;
    assert_eq!(violated(&held_up), [Invariant::Process]);
    use ControllerChange::{Resumed, Suspended};
    let suspended = [(Terminated, 5), (Suspended, 6), (Resumed, 7), (Overdue, 9)];
    assert_eq!(after(&suspended), []);
}

#[test]
fn what_the_guards_log_counts_and_what_falls_into_a_late_span_does_not() {
    let mut records = records();
    records.alarms.push((0, "invariant violated id=x".into()));
    assert_eq!(violated(&records), [Invariant::Guard]);
    records.alarms.clear();
    records
        .requests
        .push(request(1, Class::Look, RequestEnd::Lost));
    records
        .late_spans
        .push((10 * SECOND, 10 * SECOND + 100_000));
    let verdict = judge(&records);
    assert!(verdict.violations.is_empty());
    assert_eq!(verdict.totals.not_judged, 1);
    // An answer that is later than this test was is late all the same.
    records.requests[0] = RequestRecord {
        ended_at: 11 * SECOND + 740_000,
        ..request(1, Class::Look, RequestEnd::Answered(200))
    };
    assert!(judge(&records).violations.is_empty(), "by 90 ms");
    records.requests[0].ended_at += 20_000;
    assert_eq!(violated(&records), [Invariant::Answer], "by 110 ms");
}

/// Half of a hundred seeds and more play each of the deployments that differ.
#[test]
fn seeds_draw_short_and_long_deadlines_and_crowds() {
    let deployments: Vec<Deployment> = (0..100)
        .map(|seed| Plan::draw(seed, Duration::from_secs(20), 4).deployment)
        .collect();
    let count = |is: &dyn Fn(&Deployment) -> bool| deployments.iter().filter(|d| is(d)).count();
    assert!(count(&|d| d.crowd > 0) >= 10);
    assert!(count(&|d| d.longest_timeout_us < SECOND) >= 10);
    assert!(count(&|d| d.longest_timeout_us == 3 * SECOND) >= 25);
}

#[test]
fn a_seed_always_draws_the_same_plan_of_faults_that_overlap() {
    let draw = |seed| Plan::draw(seed, Duration::from_secs(60), 24);
    assert_eq!(draw(1), draw(1));
    assert_ne!(draw(1), draw(2));
    let faults = draw(1).faults;
    assert!(faults.len() >= 30);
    let overlapping = faults
        .windows(2)
        .filter(|pair| pair[1].from < pair[0].until);
    assert!(overlapping.count() * 2 > faults.len());
}
