//! New processes at the address of one that has gone: what tells them apart, and what must not be taken over from the former one.

mod common;
use common::*;
use wheelfield_sans_io::{ConnId, FailureCause, IoEvent};

/// Serial number of the list in which the new process appears.
const NEXT_SERIAL: u32 = INITIAL_SERIAL + 1;
const STARTED_MS: i64 = 1_700_000_000_000;

/// A controller with the executor `e1` and two kinds of machine. The class `look` is bound to the first kind, and the class `load` is
/// deduplicated by key within a cell.
fn harness() -> Harness {
    let mut config: serde_json::Value =
        serde_json::from_str(&config(vec![executor_entry("e1", 1, "ready")], 256)).expect("JSON");
    let settings = &mut config["settings"];
    settings["skus"] = serde_json::json!(["std", "big"]);
    settings["family_info"]["cpu_of_kind"] = serde_json::json!([8, 8]);
    settings["family_info"]["memory_by_kind_mb"] = serde_json::json!([8192.0, 8192.0]);
    settings["grades"][0]["bound_to"] = serde_json::json!(["std"]);
    settings["grades"][1]["effect"] = "by_key".into();
    settings["grades"][1]["dedup_scope"] = "cell".into();
    Harness::with_config(&config.to_string())
}

fn hit(n: u64) -> String {
    format!("{} HIT pages=1 0\r\n\r\n", request_id(n))
}

/// Delivers a list with one executor, as long as the controller asks for it.
fn list(harness: &mut Harness, executor: ListedExecutor) {
    for _ in 0..3 {
        let query = harness.next_discovery_query();
        harness.receive_discovery_answer(&dns_answer_of(&query, NEXT_SERIAL, &[executor]));
    }
}

/// A new process at the address of `e1`, and what tells it apart.
fn new_processes() -> [(&'static str, ListedExecutor<'static>); 4] {
    let e1 = ListedExecutor::new("e1", 1);
    let started_ms = STARTED_MS;
    [
        ("start time", ListedExecutor { started_ms, ..e1 }),
        ("cell", ListedExecutor { cell: 1, ..e1 }),
        ("kind", ListedExecutor { kind: "big", ..e1 }),
        ("name", ListedExecutor { name: "e2", ..e1 }),
    ]
}

/// Regression test: requests went on idle connections to the former process, which stay open and silent if its machine has vanished.
#[test]
fn no_request_is_sent_on_a_connection_to_a_former_process() {
    for (difference, executor) in new_processes() {
        let mut harness = harness();
        let (_, former, _) = harness.forward_query("load", &request_id(1));
        harness.receive(former, &hit(1));
        harness.take_written(former);
        list(&mut harness, executor);
        assert!(harness.closed.contains(&former), "{difference}");
        let (_, current, request) = harness.forward_query("load", &request_id(2));
        assert_ne!(current, former, "{difference}");
        assert!(request.starts_with("REQ "), "{difference}");
    }
}

/// A request that is at the former process may still be answered by it.
#[test]
fn a_request_at_a_former_process_may_complete() {
    for (difference, executor) in new_processes() {
        let mut harness = harness();
        let (client, former, _) = harness.forward_query("load", &request_id(1));
        list(&mut harness, executor);
        harness.receive(former, &hit(1));
        assert_eq!(status(&harness.take_written(client)), 200, "{difference}");
        // At the next check of all connections at the latest.
        harness.advance(200_000);
        assert!(harness.closed.contains(&former), "{difference}");
    }
}

/// Breaks a connection to an executor.
fn reset(harness: &mut Harness, connection: ConnId) {
    harness.handle_io(IoEvent::ConnectionFailed {
        id: connection,
        writing: false,
        cause: FailureCause::ConnectionLost,
        reason: "reset",
    });
}

/// Regression test: a keyed query was repeated in the cell of the new process, where the repeat is not recognised.
#[test]
fn a_keyed_query_is_not_repeated_in_the_cell_of_a_new_process_under_the_same_name() {
    for (cell, is_repeated) in [(0, true), (1, false)] {
        let mut harness = harness();
        let (client, former, _) = harness.forward_query("load", &request_id(1));
        let e1 = ListedExecutor::new("e1", 1);
        list(&mut harness, ListedExecutor { cell, ..e1 });
        reset(&mut harness, former);
        harness.advance(100_000);
        harness.complete_connects();
        let repeated = harness.take_request().is_some();
        assert_eq!(repeated, is_repeated, "cell {cell}");
        let expected = if is_repeated { 0 } else { 500 };
        assert_eq!(status(&harness.take_written(client)), expected);
    }
}

/// Regression test: a query that waited for a connection was sent to a process of a kind that its class does not permit.
#[test]
fn a_query_bound_to_a_kind_is_not_sent_to_a_new_process_of_another_kind() {
    for (kind, is_sent) in [("std", true), ("big", false)] {
        let mut harness = harness();
        let client = harness.connect_client();
        let query = harness.next_discovery_query();
        harness.receive(client, &query_request("look", &request_id(1), ""));
        let e1 = ListedExecutor::new("e1", 1);
        let listed = ListedExecutor { kind, ..e1 };
        harness.receive_discovery_answer(&dns_answer_of(&query, NEXT_SERIAL, &[listed]));
        harness.complete_connects();
        assert_eq!(harness.take_request().is_some(), is_sent, "{kind}");
        let expected = if is_sent { 0 } else { 503 };
        assert_eq!(status(&harness.take_written(client)), expected);
    }
}
