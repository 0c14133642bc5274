//! Tests of the built program against sending requests by a list of executors that the name service no longer confirms.
//!
//! Two executors are listed; one drains while something keeps the controller from accepting the list that says so. Requests may reach
//! it until the change counts as published and the grace period is over, and every request gets a response.

mod rig;
use rig::*;
use std::thread::sleep;
use std::time::{Duration, Instant};
use wheelfield_fault_shim::{Call, Errno, FaultControl, ALWAYS};

/// A change of the list counts as published after this time, whether or not the controller has received it.
const PUBLICATION_DELAY: Duration = Duration::from_millis(1_500);
/// The same time, counted from the start of an outage of the name service.
const PUBLICATION_DELAY_DURING_OUTAGE: Duration = Duration::from_millis(4_500);
/// Time for which requests may still reach an executor after its drain was published: the grace period plus the delay of sockets.
const DRAIN_GRACE: Duration = Duration::from_millis(1_050);
/// Tolerance for delays in the test itself.
const TIMING_SLACK: Duration = Duration::from_millis(100);
/// Time for which requests are served before something goes wrong.
const WARM_UP: Duration = Duration::from_millis(500);
/// Duration of a failure of system calls.
const CALL_FAILURE: Duration = Duration::from_secs(6);
/// Duration of a suspension of the process.
const SUSPENSION: Duration = Duration::from_secs(3);
/// Time after the end of the grace period for which no request may reach the executor.
const OBSERVATION_TIME: Duration = Duration::from_secs(3);

/// A program under traffic, with two executors and a name service that answers without delay.
struct Serving {
    leaving: RecordingExecutor,
    staying: RecordingExecutor,
    name_service: AutomaticNameService,
    faults: FaultControl,
    program: Program,
    traffic: Traffic,
}

impl Serving {
    /// Starts the program with a list of this serial number, and waits until requests are served.
    fn start(serial: u32) -> Serving {
        let leaving = RecordingExecutor::new("e1");
        let staying = RecordingExecutor::new("e2");
        let before = [ready("e1", leaving.address), ready("e2", staying.address)];
        let name_service = AutomaticNameService::new(serial, &before);
        let faults = FaultControl::new().expect("a control file");
        let known = [("e1", leaving.address), ("e2", staying.address)];
        let config = config(unused_address(), &known, name_service.address);
        let program = Program::start_with_faults(&config, &faults);
        let traffic = Traffic::start(program.listen);
        sleep(WARM_UP);
        Serving {
            leaving,
            staying,
            name_service,
            faults,
            program,
            traffic,
        }
    }

    fn list_before(&self) -> [ListedExecutor; 2] {
        [
            ready("e1", self.leaving.address),
            ready("e2", self.staying.address),
        ]
    }

    fn list_after(&self) -> [ListedExecutor; 2] {
        [
            draining("e1", self.leaving.address),
            ready("e2", self.staying.address),
        ]
    }

    /// Publishes the drain under this serial number, and returns when it happened.
    fn drain(&self, serial: u32) -> Instant {
        self.name_service.set_list(serial, &self.list_after());
        Instant::now()
    }

    /// Publishes the drain under this serial number, waits until an answer with it was sent, and returns when.
    fn drain_and_wait_for_answer(&self, serial: u32) -> Instant {
        let queries = self.name_service.query_count();
        self.drain(serial);
        wait_until("an answer with the drain", || {
            self.name_service.query_count() > queries
        });
        Instant::now()
    }

    /// Asserts that no request reaches the draining executor between the end of the grace period and `until`, that requests are
    /// served afterwards, and that all of them got a response.
    fn assert_none_past_grace(&self, published_at: Instant, until: Instant) {
        let grace_end = published_at + DRAIN_GRACE + TIMING_SLACK;
        sleep(until.saturating_duration_since(Instant::now()));
        let (late, others) = (
            self.leaving.received_between(grace_end, until),
            self.staying.received_between(grace_end, until),
        );
        println!("after the grace: {late} to the draining executor, {others} to the other");
        assert_eq!(late, 0, "requests after the grace period");
        wait_until("a request to the remaining executor", || {
            self.staying.received_after(until) > 0
        });
        let statuses = self.traffic.statuses();
        println!("responses by status: {statuses:?}");
        assert_eq!(statuses.get(&0), None, "requests without a response");
    }
}

#[test]
fn a_long_silence_of_the_name_service_does_not_leave_a_drained_executor_in_use() {
    let serving = Serving::start(1);
    let silence_began_at = Instant::now();
    serving.name_service.drop_answers(usize::MAX);
    sleep(Duration::from_secs(1));
    serving.drain(2);
    let silence_ends_at = silence_began_at + Duration::from_secs(9);
    let published_at = silence_began_at + PUBLICATION_DELAY_DURING_OUTAGE;
    sleep(silence_ends_at.saturating_duration_since(Instant::now()));
    serving.name_service.drop_answers(0);
    serving.assert_none_past_grace(published_at, silence_ends_at);
}

#[test]
fn queries_that_cannot_be_sent_for_long_do_not_leave_a_drained_executor_in_use() {
    calls_that_fail_for_long(Call::SendDatagram, Errno::NoBufferSpace);
}

#[test]
fn answers_that_cannot_be_read_for_long_do_not_leave_a_drained_executor_in_use() {
    calls_that_fail_for_long(Call::ReceiveDatagram, Errno::NoMemory);
}

fn calls_that_fail_for_long(call: Call, error: Errno) {
    let serving = Serving::start(1);
    serving.faults.fail(call, error, ALWAYS).expect("set");
    let published_at = serving.drain(2) + PUBLICATION_DELAY;
    sleep(CALL_FAILURE);
    let until = Instant::now();
    serving.faults.succeed(call).expect("set");
    serving.assert_none_past_grace(published_at, until);
}

#[test]
fn answers_that_take_over_two_seconds_do_not_leave_a_drained_executor_in_use() {
    for answer_delay in [2_500, 3_500].map(Duration::from_millis) {
        let serving = Serving::start(1);
        serving.name_service.set_answer_delay(answer_delay);
        sleep(answer_delay + WARM_UP);
        let published_at = serving.drain(2) + PUBLICATION_DELAY;
        let until = published_at + OBSERVATION_TIME;
        sleep(until.saturating_duration_since(Instant::now()));
        // No list is confirmed in time while answers take longer than a list may be used.
        serving.name_service.set_answer_delay(Duration::ZERO);
        serving.assert_none_past_grace(published_at, until);
    }
}

#[test]
fn one_list_with_a_serial_number_far_too_high_does_not_hide_later_lists() {
    let serving = Serving::start(1);
    let list = serving.list_before();
    serving.name_service.answer_next_with(3_000_000, &list);
    wait_until("the answer with the wrong number", || {
        serving.name_service.has_sent_next_lists()
    });
    let published_at = serving.drain_and_wait_for_answer(2);
    serving.assert_none_past_grace(published_at, published_at + OBSERVATION_TIME);
}

#[test]
fn serial_numbers_that_begin_anew_do_not_hide_later_lists() {
    let serving = Serving::start(50);
    let published_at = serving.drain_and_wait_for_answer(2);
    serving.assert_none_past_grace(published_at, published_at + OBSERVATION_TIME);
}

#[test]
fn slow_answers_after_a_suspension_do_not_leave_a_drained_executor_in_use() {
    for answer_delay in [1_200, 1_800].map(Duration::from_millis) {
        let serving = Serving::start(1);
        serving.name_service.set_answer_delay(answer_delay);
        serving.program.suspend();
        sleep(Duration::from_millis(200));
        let published_at = serving.drain(2) + PUBLICATION_DELAY;
        sleep(SUSPENSION - Duration::from_millis(200));
        serving.program.resume();
        serving.assert_none_past_grace(published_at, published_at + OBSERVATION_TIME);
    }
}

#[test]
fn an_outdated_list_under_the_new_serial_number_does_not_hide_the_right_one() {
    let serving = Serving::start(1);
    let list = serving.list_before();
    serving.name_service.answer_next_with(2, &list);
    wait_until("the outdated list", || {
        serving.name_service.has_sent_next_lists()
    });
    let published_at = serving.drain_and_wait_for_answer(2);
    serving.assert_none_past_grace(published_at, published_at + OBSERVATION_TIME);
}

#[test]
fn an_unreadable_record_of_one_executor_does_not_hide_the_drain_of_another() {
    let serving = Serving::start(1);
    let form = AnswerForm::WithoutAddressOf("e2");
    serving.name_service.set_answer_form(form);
    let published_at = serving.drain_and_wait_for_answer(2);
    serving.assert_none_past_grace(published_at, published_at + OBSERVATION_TIME);
}

#[test]
fn a_truncated_answer_does_not_hide_the_drain_that_it_contains() {
    let serving = Serving::start(1);
    serving.name_service.set_answer_form(AnswerForm::Truncated);
    let published_at = serving.drain_and_wait_for_answer(2);
    serving.assert_none_past_grace(published_at, published_at + OBSERVATION_TIME);
}

#[test]
fn an_empty_list_is_replaced_by_the_next_one_under_the_same_serial_number() {
    let serving = Serving::start(1);
    serving.name_service.answer_next_with(2, &[]);
    serving.name_service.set_list(2, &serving.list_before());
    wait_until("the empty list", || {
        serving.name_service.has_sent_next_lists()
    });
    let emptied_at = Instant::now();
    sleep(OBSERVATION_TIME);
    let served_after = emptied_at + OBSERVATION_TIME / 2;
    assert!(
        serving.staying.received_after(served_after) > 0,
        "served again"
    );
}
