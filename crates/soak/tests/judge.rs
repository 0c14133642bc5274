//! Checks each invariant on hand-made records: records that satisfy it pass, and records that
//! violate it are reported.

use std::time::Duration;
use wheelfield_soak::judge::{judge, ExcuseCount, ExcuseReason, Invariant};
use wheelfield_soak::ledger::{
    ControllerChange, ControllerEvent, ExecutorChange, ExecutorEvent, FaultRecord,
    NameServiceFault, Receipt, Records, RequestEnd, RequestId, RequestRecord,
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
        held_up_us: 0,
    }
}

/// A fault at the first controller that excuses nothing by itself.
fn fault(from: i64, until: i64) -> FaultRecord {
    FaultRecord {
        controllers: vec![0],
        description: String::new(),
        client_delay_us: 0,
        blocks_answers: false,
        name_service_fault: None,
        from,
        until,
    }
}

fn push_controller_event(records: &mut Records, change: ControllerChange, at: i64) {
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

/// The violated invariants, without consecutive duplicates.
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
            ..request(1, Class::Repeatable, end)
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
    twice.unsolicited_answers.push((RequestId::new(0, 1), soon));
    assert_eq!(violated(&twice), [Invariant::Answer]);
}

#[test]
fn a_kill_excuses_requests_in_progress_and_a_suspension_delays_answers_until_half_a_second_after_it(
) {
    let mut killed = records();
    killed
        .requests
        .push(request(1, Class::Repeatable, RequestEnd::Lost));
    push_controller_event(&mut killed, ControllerChange::Killed, 10 * SECOND + 40_000);
    assert_eq!(violated(&killed), []);
    let suspended = |ended_at| {
        let mut records = records();
        records.requests.push(RequestRecord {
            ended_at,
            ..request(1, Class::Repeatable, RequestEnd::Answered(503))
        });
        let (from, until) = (10 * SECOND + 10_000, 13 * SECOND);
        push_controller_event(&mut records, ControllerChange::Suspended, from);
        push_controller_event(&mut records, ControllerChange::Resumed, until);
        records
    };
    assert_eq!(violated(&suspended(13 * SECOND + 600_000)), []);
    let late = suspended(13 * SECOND + 700_000);
    assert_eq!(violated(&late), [Invariant::Answer]);
}

/// SIGKILL comes at a fixed time after SIGTERM. A process that is resumed just before has as long to
/// answer as after any suspension.
#[test]
fn a_kill_less_than_half_a_second_after_a_suspension_excuses_the_requests_that_waited_meanwhile() {
    let killed = |resumed_at: Option<i64>| {
        let mut records = records();
        records.requests.push(RequestRecord {
            ended_at: 13 * SECOND,
            ..request(1, Class::Repeatable, RequestEnd::Lost)
        });
        push_controller_event(
            &mut records,
            ControllerChange::Terminated,
            10 * SECOND - 100_000,
        );
        if let Some(resumed_at) = resumed_at {
            let suspended_at = 10 * SECOND - 200_000;
            push_controller_event(&mut records, ControllerChange::Suspended, suspended_at);
            push_controller_event(&mut records, ControllerChange::Resumed, resumed_at);
        }
        push_controller_event(&mut records, ControllerChange::Overdue, 13 * SECOND - 1_000);
        push_controller_event(&mut records, ControllerChange::Exited(None), 13 * SECOND);
        records
    };
    assert_eq!(violated(&killed(Some(13 * SECOND - 9_000))), []);
    let long_before = killed(Some(12 * SECOND + 400_000));
    assert_eq!(violated(&long_before), [Invariant::Answer]);
    let mut sent_afterwards = killed(Some(13 * SECOND - 9_000));
    let sent_at = 13 * SECOND - 5_000;
    sent_afterwards.requests[0].began_at = sent_at;
    sent_afterwards.requests[0].sent_at = sent_at;
    assert_eq!(violated(&sent_afterwards), [Invariant::Answer]);
    let without_suspension = killed(None);
    assert!(violated(&without_suspension).contains(&Invariant::Answer));
}

/// A controller that cannot accept connections cannot answer. An answer that comes more than half a
/// second after the fault ended is late again.
#[test]
fn a_fault_that_blocks_answers_excuses_late_ones_while_it_lasts() {
    let with = |ended_at| {
        let mut records = records();
        records.requests.push(RequestRecord {
            ended_at,
            ..request(1, Class::Repeatable, RequestEnd::Answered(503))
        });
        records.faults.push(FaultRecord {
            blocks_answers: true,
            ..fault(10 * SECOND, 13 * SECOND)
        });
        records
    };
    assert_eq!(violated(&with(13 * SECOND + 100_000)), []);
    assert_eq!(violated(&with(14 * SECOND)), [Invariant::Answer]);
}

/// Guards against a fault that excuses too much: a shutdown may lose only requests that may have
/// arrived after the grace period, and only requests that took two seconds to arrive may be
/// rejected as timed out.
#[test]
fn delayed_bytes_excuse_only_requests_that_arrive_too_late() {
    let with = |client_delay_us, end, ended_at, terminated_at| {
        let mut records = records();
        records.requests.push(RequestRecord {
            ended_at,
            ..request(1, Class::Repeatable, end)
        });
        records.faults.push(FaultRecord {
            client_delay_us,
            ..fault(9 * SECOND, 13 * SECOND)
        });
        push_controller_event(&mut records, ControllerChange::Terminated, terminated_at);
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
        "it arrived within the grace period"
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

/// Idle clients that exhaust the file descriptors may shut out new connections, but not those that
/// are open.
#[test]
fn idle_clients_excuse_new_connections_that_are_closed() {
    let with = |has_idle_clients, is_first| {
        let mut records = records();
        records.has_idle_clients = has_idle_clients;
        records.requests.push(RequestRecord {
            is_first,
            ..request(1, Class::Repeatable, RequestEnd::Lost)
        });
        violated(&records)
    };
    assert_eq!(with(true, true), []);
    assert_eq!(with(true, false), [Invariant::Answer]);
    assert_eq!(with(false, true), [Invariant::Answer]);
}

#[test]
fn a_request_of_class_once_does_not_run_twice() {
    for (class, expected) in [
        (Class::Repeatable, vec![]),
        (Class::Once, vec![Invariant::Repeat]),
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

/// An executor drains at second 9. The controller is sent the list at `list_sent_at`, and a request
/// is sent to the executor at `sent_at`.
fn drained(list_sent_at: i64, sent_at: i64) -> Records {
    let mut records = records();
    records.executors.push(ExecutorEvent {
        executor: 3,
        change: ExecutorChange::Draining,
        serial: 7,
        at: 9 * SECOND,
    });
    records.list_sent_at.insert((0, 8), list_sent_at);
    records.receipts.push(receipt(1, 3, sent_at));
    records
}

#[test]
fn no_request_goes_to_a_draining_executor_after_its_grace_period() {
    let list_sent_at = 9 * SECOND + 200_000;
    assert_eq!(violated(&drained(list_sent_at, 10 * SECOND + 300_000)), []);
    let late = drained(list_sent_at, 10 * SECOND + 400_000);
    assert_eq!(violated(&late), [Invariant::Drain]);
    // The list was never sent: the controller counts as informed 1.5 s after the change.
    let never = 90 * SECOND;
    assert_eq!(violated(&drained(never, 11 * SECOND + 600_000)), []);
    let late = drained(never, 11 * SECOND + 700_000);
    assert_eq!(violated(&late), [Invariant::Drain]);
}

/// A silence of the name service extends the time until a controller counts as informed, however
/// long it lasts. Slow, lost, old and unusable answers do not.
#[test]
fn only_a_silence_of_the_name_service_extends_the_time_until_a_drain_counts_as_known() {
    let with = |name_service_fault, span: (i64, i64), sent_at| {
        let mut records = drained(90 * SECOND, sent_at);
        let lossy = (NameServiceFault::Lossy, (8 * SECOND, 20 * SECOND));
        for (name_service_fault, span) in [(name_service_fault, span), lossy] {
            records.faults.push(FaultRecord {
                controllers: Vec::new(),
                name_service_fault: Some(name_service_fault),
                ..fault(span.0, span.1)
            });
        }
        violated(&records)
    };
    // 4.5 s after the name service stopped answering, and the grace period.
    for until in [11, 14, 20] {
        let silence = |at| with(NameServiceFault::Silent, (8 * SECOND, until * SECOND), at);
        assert_eq!(silence(13 * SECOND + 600_000), []);
        assert_eq!(silence(13 * SECOND + 700_000), [Invariant::Drain]);
    }
    // 1.5 s after the change, and the grace period.
    for other in [
        NameServiceFault::Slow(2 * SECOND),
        NameServiceFault::Stale(SECOND),
        NameServiceFault::Unusable,
    ] {
        let answers = |at| with(other, (8 * SECOND, 20 * SECOND), at);
        assert_eq!(answers(11 * SECOND + 600_000), []);
        assert_eq!(answers(11 * SECOND + 700_000), [Invariant::Drain]);
    }
}

#[test]
fn a_reload_extends_the_time_until_a_drain_counts_as_known_and_a_suspension_does_not() {
    let never = 90 * SECOND;
    let with = |sent_at, changes: &[(ControllerChange, i64)]| {
        let mut records = drained(never, sent_at);
        for (change, at) in changes {
            push_controller_event(&mut records, *change, *at);
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
    // Nor do slow answers after it.
    let slow = |answer_us, sent_at| {
        let mut records = drained(never, sent_at);
        for (change, at) in suspension {
            push_controller_event(&mut records, change, at);
        }
        records.faults.push(FaultRecord {
            controllers: Vec::new(),
            name_service_fault: Some(NameServiceFault::Slow(answer_us)),
            ..fault(11 * SECOND, 13 * SECOND)
        });
        violated(&records)
    };
    assert_eq!(slow(SECOND, 12 * SECOND + 1_000), [Invariant::Drain]);
    assert_eq!(slow(300_000, 12 * SECOND + 1_000), [Invariant::Drain]);
}

#[test]
fn attempts_begin_only_for_connected_clients_and_have_no_longer_limit() {
    let with = |end, at, limit_us| {
        let mut records = records();
        records.requests.push(request(1, Class::Repeatable, end));
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
    // A suspension is no excuse: the process can check for disconnected clients before it acts.
    push_controller_event(&mut long_after, ControllerChange::Suspended, at);
    push_controller_event(&mut long_after, ControllerChange::Resumed, at + 399_000);
    assert_eq!(violated(&long_after), [Invariant::Departure]);
    // The controller cannot learn of a disconnect while the proxy delays it, which excuses no more
    // than that delay.
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

/// Bytes that a thread of the test held up excuse no more than that time, and only at their own
/// request.
#[test]
fn bytes_held_up_by_the_proxy_excuse_their_own_request_by_that_time() {
    let held_up = |records: &mut Records, held_up_us| records.requests[0].held_up_us = held_up_us;
    let mut longer = records();
    let answered = request(1, Class::Repeatable, RequestEnd::Answered(200));
    longer.requests.push(answered);
    longer.receipts.push(Receipt {
        limit_us: 1_200_000,
        ..receipt(1, 0, 10 * SECOND + 40_000)
    });
    assert_eq!(violated(&longer), [Invariant::Limit]);
    held_up(&mut longer, 30_000);
    assert_eq!(violated(&longer), [Invariant::Limit]);
    held_up(&mut longer, 40_000);
    assert_eq!(violated(&longer), []);
    longer.requests.push(RequestRecord {
        held_up_us: 40_000,
        ..request(2, Class::Repeatable, RequestEnd::Answered(200))
    });
    held_up(&mut longer, 0);
    assert_eq!(violated(&longer), [Invariant::Limit]);

    let mut late = records();
    late.requests.push(RequestRecord {
        ended_at: 12 * SECOND,
        ..answered
    });
    held_up(&mut late, 340_000);
    assert_eq!(violated(&late), [Invariant::Answer]);
    held_up(&mut late, 350_000);
    assert_eq!(violated(&late), []);
}

#[test]
fn an_executor_in_slow_start_gets_no_more_than_its_limit_within_the_window() {
    // 2.5 x 0.3 x 8 cores x 1 s / 0.2 s = 30 requests, plus a margin of 2 x sqrt(30) + 2. The limit
    // grows with the executor's age.
    let with = |count: u64| {
        let mut records = records();
        records.executors.push(ExecutorEvent {
            executor: 3,
            change: ExecutorChange::Started,
            serial: 7,
            at: 9 * SECOND,
        });
        records.list_sent_at.insert((0, 7), 9 * SECOND);
        let receipts = (1..=count).map(|n| receipt(n, 3, 9 * SECOND + 1_000));
        records.receipts.extend(receipts);
        records
    };
    assert_eq!(violated(&with(42)), []);
    assert_eq!(violated(&with(43)), [Invariant::SlowStart]);
}

#[test]
fn a_process_ends_only_when_asked_to_and_becomes_ready_soon() {
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
    // The process had less time than others to end, but is killed at the same time.
    let mut blocked = with(&[(Started, 0), (Ready, 1), (Terminated, 5), (Overdue, 9)]);
    blocked.faults.push(FaultRecord {
        blocks_answers: true,
        ..fault(8 * SECOND, 10 * SECOND)
    });
    assert_eq!(violated(&blocked), []);
    blocked.faults[0].from = 9 * SECOND + 1;
    assert_eq!(violated(&blocked), [Invariant::Process]);
    use ControllerChange::{Resumed, Suspended};
    let suspended = [(Terminated, 5), (Suspended, 6), (Resumed, 7), (Overdue, 9)];
    assert_eq!(after(&suspended), []);
}

#[test]
fn logged_violations_count_and_violations_explained_by_a_test_delay_do_not() {
    let mut records = records();
    records.alarms.push((0, "invariant violated id=x".into()));
    assert_eq!(violated(&records), [Invariant::Guard]);
    records.alarms.clear();
    records
        .requests
        .push(request(1, Class::Repeatable, RequestEnd::Lost));
    records
        .test_delay_spans
        .push((10 * SECOND, 10 * SECOND + 100_000));
    let verdict = judge(&records);
    assert!(verdict.violations.is_empty());
    assert_eq!(verdict.totals.not_judged, 1);
    // An answer that is later than the delay of the test explains is a violation.
    records.requests[0] = RequestRecord {
        ended_at: 11 * SECOND + 740_000,
        ..request(1, Class::Repeatable, RequestEnd::Answered(200))
    };
    assert!(judge(&records).violations.is_empty(), "by 90 ms");
    records.requests[0].ended_at += 20_000;
    assert_eq!(violated(&records), [Invariant::Answer], "by 110 ms");
}

/// A hundred seeds draw each kind of deployment often enough.
#[test]
fn seeds_draw_short_and_long_timeouts_and_idle_clients() {
    let deployments: Vec<Deployment> = (0..100)
        .map(|seed| Plan::draw(seed, Duration::from_secs(20), 4).deployment)
        .collect();
    let count = |is: &dyn Fn(&Deployment) -> bool| deployments.iter().filter(|d| is(d)).count();
    assert!(count(&|d| d.max_idle_clients > 0) >= 10);
    assert!(count(&|d| d.max_timeout_us < SECOND) >= 10);
    assert!(count(&|d| d.max_timeout_us == 3 * SECOND) >= 25);
}

#[test]
fn a_seed_always_draws_the_same_overlapping_faults() {
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

/// The number and longest span of the excuses of one kind.
fn excused(records: &Records, invariant: Invariant, reason: ExcuseReason) -> ExcuseCount {
    let kinds = judge(records).excuses.by_kind();
    kinds.get(&(invariant, reason)).copied().unwrap_or_default()
}

#[test]
fn each_violation_that_is_passed_over_is_counted_with_the_time_that_was_granted() {
    let mut blocked = records();
    blocked.requests.push(RequestRecord {
        ended_at: 13 * SECOND,
        ..request(1, Class::Repeatable, RequestEnd::Answered(200))
    });
    blocked.faults.push(FaultRecord {
        blocks_answers: true,
        ..fault(10 * SECOND, 12 * SECOND + 900_000)
    });
    let count = excused(&blocked, Invariant::Answer, ExcuseReason::Blocked);
    // The deadline is at 11 s, and answers have 0.65 s of slack.
    let expected = ExcuseCount {
        count: 1,
        longest_us: 1_350_000,
    };
    assert_eq!(count, expected);

    let mut killed = records();
    killed
        .requests
        .push(request(1, Class::Repeatable, RequestEnd::Lost));
    push_controller_event(&mut killed, ControllerChange::Killed, 10 * SECOND);
    let count = excused(&killed, Invariant::Answer, ExcuseReason::Killed);
    assert_eq!(count.count, 1);
}

#[test]
fn a_run_in_which_more_than_one_request_in_a_hundred_is_excused_is_not_conclusive() {
    let with = |requests: u64| {
        let mut records = records();
        for n in 1..=requests {
            let end = match n {
                1 => RequestEnd::Lost,
                _ => RequestEnd::Answered(200),
            };
            records.requests.push(request(n, Class::Repeatable, end));
        }
        records
            .test_delay_spans
            .push((10 * SECOND, 10 * SECOND + 100_000));
        judge(&records)
    };
    assert!(with(100).is_clean());
    let verdict = with(99);
    assert!(verdict.violations.is_empty());
    assert!(!verdict.is_clean());
    assert!(!verdict.is_conclusive());
}
