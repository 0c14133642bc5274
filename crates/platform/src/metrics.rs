//! The metrics of a controller in the Prometheus text exposition format.

use crate::clients::ClientCounters;
use crate::discovery::IgnoredAnswer;
use crate::dispatcher::Dispatcher;
use crate::executors::ExecutorCounters;
use crate::invariants::{CloseReason, ViolationCounts};
use std::fmt::Write as _;
use wheelfield_driver::{Driver, DriverCounters};

/// Prefix of all metric names.
const PREFIX: &str = "wheelfield_";

/// Builds the text of the metrics endpoint.
#[derive(Default)]
struct MetricsWriter {
    text: String,
}

impl MetricsWriter {
    fn write_counter(&mut self, name: &str, help: &str, value: u64) {
        self.write_header(name, help, "counter");
        // Writing to a `String` can't fail.
        let _ = writeln!(self.text, "{PREFIX}{name} {value}");
    }

    fn write_gauge(&mut self, name: &str, help: &str, value: usize) {
        self.write_header(name, help, "gauge");
        let _ = writeln!(self.text, "{PREFIX}{name} {value}");
    }

    /// Writes a counter with one label, with one sample per label value.
    fn write_labelled_counter<'a>(
        &mut self,
        name: &str,
        help: &str,
        label: &str,
        values: impl IntoIterator<Item = (&'a str, u64)>,
    ) {
        self.write_header(name, help, "counter");
        for (key, value) in values {
            let _ = writeln!(self.text, "{PREFIX}{name}{{{label}=\"{key}\"}} {value}");
        }
    }

    /// Writes the `HELP` and `TYPE` lines of a metric.
    fn write_header(&mut self, name: &str, help: &str, kind: &str) {
        let _ = writeln!(self.text, "# HELP {PREFIX}{name} {help}");
        let _ = writeln!(self.text, "# TYPE {PREFIX}{name} {kind}");
    }

    fn write_violations(&mut self, counts: ViolationCounts) {
        let ViolationCounts {
            sending,
            repeating,
            closing,
            starting,
        } = counts;
        self.write_labelled_counter(
            "invariant_violations_total",
            "Violations of invariants found at run time.",
            "guard",
            [
                ("sending", sending),
                ("repeating", repeating),
                ("closing", closing),
                ("starting", starting),
            ],
        );
    }

    fn write_queries(&mut self, counters: DriverCounters) {
        self.write_labelled_counter(
            "queries_total",
            "Queries by what became of them.",
            "result",
            [
                ("accepted", counters.accepted),
                ("served", counters.served),
                ("rejected", counters.rejected),
                ("failed", counters.failed),
                ("abandoned", counters.abandoned),
                ("over_capacity", counters.over_capacity),
            ],
        );
        self.write_counter("attempts_total", "Attempts started.", counters.attempts);
        self.write_counter(
            "retries_total",
            "Attempts beyond the first of their query.",
            counters.retries,
        );
    }

    fn write_clients(&mut self, counters: &ClientCounters) {
        self.write_counter(
            "client_connections_accepted_total",
            "Connections of clients accepted.",
            counters.accepted,
        );
        self.write_counter(
            "client_connections_rejected_total",
            "Connections of clients rejected, as all others were in use.",
            counters.rejected,
        );
        self.write_counter(
            "client_requests_invalid_total",
            "Invalid requests.",
            counters.invalid,
        );
        self.write_counter(
            "client_requests_delayed_total",
            "Requests that waited because the connections of clients took all the memory that they may take.",
            counters.delayed,
        );
        self.write_counter(
            "client_requests_refused_for_memory_total",
            "Requests that were refused as they could not be received in time for lack of memory.",
            counters.refused_for_memory,
        );
        self.write_labelled_counter(
            "client_connections_closed_total",
            "Connections of clients closed, by reason.",
            "reason",
            CloseReason::ALL.map(|reason| (reason.name(), counters.closed[reason as usize])),
        );
    }

    fn write_executors(&mut self, counters: &ExecutorCounters) {
        self.write_counter(
            "executor_connects_total",
            "Connects to executors begun.",
            counters.connects,
        );
        self.write_counter(
            "executor_protocol_errors_total",
            "Connections closed because of an invalid, incomplete or overdue response.",
            counters.protocol_errors,
        );
        self.write_counter(
            "executor_unmatched_responses_total",
            "Responses that belong to no running attempt.",
            counters.unmatched_responses,
        );
        self.write_counter(
            "executor_ambiguous_responses_total",
            "Responses that may belong to an earlier attempt of the same request.",
            counters.ambiguous_responses,
        );
        self.write_counter(
            "attempts_without_connection_total",
            "Attempts that found no connection.",
            counters.no_connection,
        );
        self.write_counter(
            "executor_connects_impossible_total",
            "Connects that this machine could not try.",
            counters.impossible_connects,
        );
    }
}

impl Dispatcher {
    /// Returns all metrics as text.
    pub(crate) fn metrics(&self) -> String {
        let mut writer = MetricsWriter::default();
        writer.write_violations(self.violation_counts());
        let driver = self.driver.decision_engine().driver();
        writer.write_queries(driver.map(Driver::counters).unwrap_or_default());
        writer.write_clients(&self.clients.counters);
        writer.write_executors(&self.executors.counters);
        self.write_discovery_metrics(&mut writer);
        writer.write_gauge(
            "queries_in_flight",
            "Queries in flight.",
            self.in_flight_count(),
        );
        writer.write_gauge(
            "client_connections",
            "Connections of clients.",
            self.clients.len(),
        );
        writer.write_gauge(
            "client_memory_bytes",
            "Memory that the connections of clients take.",
            self.clients.memory_bytes(),
        );
        writer.write_gauge(
            "client_requests_waiting_for_memory",
            "Requests that wait for memory before they are received further.",
            self.clients.waiting_count(),
        );
        writer.write_gauge(
            "results_waiting_for_memory",
            "Results that wait for memory before they are fetched.",
            self.waiting_results.len(),
        );
        writer.write_gauge(
            "executor_connections",
            "Connections to executors.",
            self.executors.connection_count(),
        );
        writer.write_gauge(
            "executors",
            "Executors known.",
            self.executors.executor_count(),
        );
        writer.text
    }

    /// Writes the metrics of executor discovery: ignored answers, gaps in polling, requests held back during these gaps, and the
    /// age of the list.
    fn write_discovery_metrics(&self, writer: &mut MetricsWriter) {
        writer.write_labelled_counter(
            "discovery_answers_ignored_total",
            "Answers of the name service that were ignored, by reason.",
            "reason",
            IgnoredAnswer::ALL.map(|reason| (reason.name(), self.ignored_answers().get(reason))),
        );
        let hold_counters = self.hold_counters();
        writer.write_counter(
            "executor_list_gaps_total",
            "Spans in which the list became too old, as nobody could be asked.",
            hold_counters.gaps,
        );
        writer.write_counter(
            "executor_list_gaps_unanswered_total",
            "Gaps after which the name service did not answer in time.",
            hold_counters.gaps_unanswered,
        );
        writer.write_counter(
            "requests_held_total",
            "Requests that waited for a list that is confirmed.",
            hold_counters.requests,
        );
        writer.write_counter(
            "executor_list_expirations_total",
            "Times that the list became too old to be used.",
            hold_counters.expirations,
        );
        writer.write_counter(
            "requests_without_list_total",
            "Requests for which there was no list that may be used.",
            hold_counters.requests_without_list,
        );
        writer.write_counter(
            "executor_list_queries_unsent_total",
            "Queries for the list that this machine could not send.",
            hold_counters.unsent_queries,
        );
        writer.write_counter(
            "executor_list_reads_failed_total",
            "Failures of this machine to read answers of the name service.",
            hold_counters.failed_reads,
        );
        writer.write_gauge(
            "executor_list_age_milliseconds",
            "Time since the name service last confirmed the list of executors.",
            self.list_age_ms(),
        );
        writer.write_gauge(
            "executor_list_queries_unanswered",
            "Queries for the list of executors since then.",
            self.discovery().queries_since_confirmed() as usize,
        );
    }
}
