//! Changes of the engine files of a running controller: valid files are applied completely, invalid files not at all, and
//! the status page reports the problems.

mod common;

use common::{http, Controller, Engines, BASE_CONFIG, LISTEN_CONFIG};
use serde_json::Value;
use std::path::Path;

/// Returns the text of an engine file that lists some of the emulated engines, each by its position and with extra lines.
fn engine_file(engines: &Engines, version: u64, listed: &[(usize, &str)]) -> String {
    let all = engines.addresses["engines"].as_array().expect("an array");
    let entry = |(n, extra): &(usize, &str)| {
        let (id, address) = (&all[*n]["id"], &all[*n]["address"]);
        format!(
            "\n[[engines]]\nid = {id}\naddress = {address}\nzone = \"a\"\nkind = \"std\"\n{extra}"
        )
    };
    let count = listed.len();
    format!(
        "version = {version}\n{}\n[end]\nengines = {count}\n",
        listed.iter().map(entry).collect::<String>()
    )
}

/// Replaces a file atomically.
fn replace_file(path: &Path, text: &str) {
    let temporary = path.with_extension("new");
    std::fs::write(&temporary, text).expect("write the file");
    std::fs::rename(&temporary, path).expect("rename the file");
}

/// Returns the part of the status page that describes the engine files.
fn members_status(controller: &Controller) -> Value {
    let (_, body) = http(&controller.admin, "GET", "/status");
    serde_json::from_str::<Value>(&body).expect("valid JSON")["members"].clone()
}

/// Returns how many queries each engine has received.
fn received_counts(engines: &Engines) -> Vec<u64> {
    let all = engines.addresses["engines"].as_array().expect("an array");
    let entries = engines.log_entries("received", "");
    let count_of = |e: &Value| entries.iter().filter(|l| l["engine"] == e["id"]).count() as u64;
    all.iter().map(count_of).collect()
}

/// Waits until the engines have logged `total` received queries and returns how many each has received. The wait is needed
/// because the log is written after the answers are sent.
fn wait_for_received(engines: &Engines, total: u64) -> Vec<u64> {
    common::wait_until("the received queries in the engine log", || {
        received_counts(engines).iter().sum::<u64>() >= total
    });
    received_counts(engines)
}

/// Starts a controller that reads this engine file, with additional configuration text.
fn start_controller(path: &Path, extra_config: &str) -> Controller {
    Controller::start(&format!(
        "{LISTEN_CONFIG}{BASE_CONFIG}[members]\nfiles = [{path:?}]\nsettle = \"20ms\"\npoll = \"100ms\"\n{extra_config}"
    ))
}

/// Runs `count` queries, one after the other.
fn run_queries(controller: &Controller, count: usize) {
    let mut client = controller.postgres_client();
    for _ in 0..count {
        client
            .simple_query("select 1 /*class='fast'*/")
            .expect("the query succeeds");
    }
}

#[test]
fn valid_files_add_and_remove_engines_and_invalid_files_change_nothing() {
    let dir = tempfile::tempdir().expect("create a temporary directory");
    let path = dir.path().join("engines.toml");
    let engines = Engines::start(4);
    replace_file(&path, &engine_file(&engines, 1, &[(0, ""), (1, "")]));
    let controller = start_controller(&path, "");
    run_queries(&controller, 30);
    let before = wait_for_received(&engines, 30);
    assert!(
        before[0] + before[1] == 30 && before[2] + before[3] == 0,
        "{before:?}"
    );
    // Two engines are added.
    replace_file(
        &path,
        &engine_file(&engines, 2, &[(0, ""), (1, ""), (2, ""), (3, "")]),
    );
    controller.wait_for_status("list_version", |v| v == 2);
    // A truncated file, an old version, an empty list and a wrong unit are rejected, and each error names the file.
    let valid = engine_file(&engines, 3, &[(2, ""), (3, "")]);
    for (n, invalid) in [
        valid[..valid.len() - 9].to_string(),
        engine_file(&engines, 1, &[(2, ""), (3, "")]),
        engine_file(&engines, 3, &[]),
        engine_file(&engines, 3, &[(2, "cores = \"8000m\"\n"), (3, "")]),
    ]
    .into_iter()
    .enumerate()
    {
        // Overwrites the file in place, without a rename.
        std::fs::write(&path, invalid).expect("write the file");
        controller.wait_for_status("lists_refused", |r| r == n as u64 + 1);
        let members = members_status(&controller);
        assert!(
            members["fault"]
                .as_str()
                .is_some_and(|f| f.contains("engines.toml:")),
            "{members}"
        );
        assert_eq!(controller.status_value("list_version"), 2);
    }
    // One engine is draining and one is removed: neither receives queries any more.
    replace_file(
        &path,
        &engine_file(
            &engines,
            3,
            &[(0, "status = \"draining\"\n"), (2, ""), (3, "")],
        ),
    );
    controller.wait_for_status("list_version", |v| v == 3);
    assert_eq!(members_status(&controller)["fault"], Value::Null);
    run_queries(&controller, 40);
    let after = wait_for_received(&engines, 70);
    assert_eq!(
        (after[0], after[1]),
        (before[0], before[1]),
        "queries received by the draining and the removed engine"
    );
    assert_eq!(after[2] + after[3], before[2] + before[3] + 40);
}

#[test]
fn without_a_valid_file_the_last_valid_set_is_used() {
    let dir = tempfile::tempdir().expect("create a temporary directory");
    let (path, last_good) = (
        dir.path().join("engines.toml"),
        dir.path().join("last.toml"),
    );
    let engines = Engines::start(2);
    replace_file(&path, &engine_file(&engines, 9, &[(0, ""), (1, "")]));
    let last_good_config = format!("last_good = {last_good:?}\n");
    let mut controller = start_controller(&path, &last_good_config);
    controller.wait_for_status("list_version", |v| v == 9);
    controller.request_shutdown();
    controller.join();
    // A truncated file.
    std::fs::write(&path, "version = ").expect("write the file");
    let controller = start_controller(&path, &last_good_config);
    run_queries(&controller, 5);
    assert_eq!(controller.status_value("list_version"), 9);
    controller.wait_for_status("lists_refused", |r| r == 1);
}

#[test]
fn contradictions_between_the_file_and_the_registry_are_reported() {
    let dir = tempfile::tempdir().expect("create a temporary directory");
    let path = dir.path().join("engines.toml");
    let engines = Engines::start(3);
    replace_file(&path, &engine_file(&engines, 5, &[(0, ""), (1, "")]));
    let registry = engines.address("registry");
    let controller = start_controller(
        &path,
        &format!("[registry]\naddress = {registry:?}\nmode = \"poll\"\nevery = \"20ms\"\n"),
    );
    // The registry lists a third engine that the file does not list: it is reported and receives no queries.
    let unlisted_is_reported = || {
        let members = members_status(&controller);
        members["contradictions"]
            .as_array()
            .is_some_and(|contradictions| {
                contradictions
                    .iter()
                    .any(|c| c.as_str().is_some_and(|c| c.contains("Unlisted")))
            })
    };
    common::wait_until("a report of the unlisted engine", unlisted_is_reported);
    run_queries(&controller, 30);
    assert_eq!(wait_for_received(&engines, 30)[2], 0);
    // The registry reports as draining an engine that is up in the file: it is treated as draining.
    let name = engines.addresses["engines"][0]["id"]
        .as_str()
        .expect("a string")
        .to_string();
    let fault = format!("/fault?engine={name}&kind=drain&value=1");
    let (status, body) = http(&engines.address("control"), "POST", &fault);
    assert_eq!(status, 200, "{body}");
    let drain_is_reported = || {
        members_status(&controller)["contradictions"]
            .to_string()
            .contains("draining")
    };
    common::wait_until("a report of the draining engine", drain_is_reported);
    let before = wait_for_received(&engines, 30);
    run_queries(&controller, 20);
    assert_eq!(wait_for_received(&engines, 50)[0], before[0]);
}
