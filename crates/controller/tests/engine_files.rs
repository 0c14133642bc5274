//! Engine files under a running controller: changes act whole, bad ones not at all, and what is told of them.

mod common;

use common::{http, Controller, Engines, BASE_CONFIG, LISTEN_CONFIG};
use serde_json::Value;
use std::path::Path;

/// Some of the stand-ins, as a file.
fn file(engines: &Engines, version: u64, which: &[(usize, &str)]) -> String {
    let all = engines.addresses["engines"].as_array().expect("told");
    let one = |(n, more): &(usize, &str)| {
        let (id, address) = (&all[*n]["id"], &all[*n]["address"]);
        format!(
            "\n[[engines]]\nid = {id}\naddress = {address}\nzone = \"a\"\nkind = \"std\"\n{more}"
        )
    };
    let count = which.len();
    format!(
        "version = {version}\n{}\n[end]\nengines = {count}\n",
        which.iter().map(one).collect::<String>()
    )
}

fn put(path: &Path, text: &str) {
    let beside = path.with_extension("new");
    std::fs::write(&beside, text).expect("written");
    std::fs::rename(&beside, path).expect("renamed");
}

fn members(controller: &Controller) -> Value {
    let (_, body) = http(&controller.admin, "GET", "/status");
    serde_json::from_str::<Value>(&body).expect("JSON")["members"].clone()
}

/// How often each engine was sent something.
fn received(engines: &Engines) -> Vec<u64> {
    let all = engines.addresses["engines"].as_array().expect("told");
    let log = engines.log_entries("received", "");
    let of = |e: &Value| log.iter().filter(|l| l["engine"] == e["id"]).count() as u64;
    all.iter().map(of).collect()
}

/// The same, once so many are in the log, which is written behind the answers.
fn received_of(engines: &Engines, total: u64) -> Vec<u64> {
    common::wait_until("the log", || received(engines).iter().sum::<u64>() >= total);
    received(engines)
}

fn on(path: &Path, more: &str) -> Controller {
    Controller::start(&format!(
        "{LISTEN_CONFIG}{BASE_CONFIG}[members]\nfiles = [{path:?}]\nsettle = \"20ms\"\npoll = \"100ms\"\n{more}"
    ))
}

fn ask(controller: &Controller, n: usize) {
    let mut client = controller.postgres_client();
    for _ in 0..n {
        client
            .simple_query("select 1 /*class='fast'*/")
            .expect("served");
    }
}

#[test]
fn engines_come_and_go_by_the_file_and_a_bad_one_changes_nothing() {
    let dir = tempfile::tempdir().expect("a directory");
    let path = dir.path().join("engines.toml");
    let engines = Engines::start(4);
    put(&path, &file(&engines, 1, &[(0, ""), (1, "")]));
    let controller = on(&path, "");
    ask(&controller, 30);
    let before = received_of(&engines, 30);
    assert!(
        before[0] + before[1] == 30 && before[2] + before[3] == 0,
        "{before:?}"
    );
    // Two more.
    put(
        &path,
        &file(&engines, 2, &[(0, ""), (1, ""), (2, ""), (3, "")]),
    );
    controller.wait_for_status("list_version", |v| v == 2);
    // A torn file, an old one, an empty one and one in the wrong unit: all refused, all told by their place.
    let good = file(&engines, 3, &[(2, ""), (3, "")]);
    for (n, bad) in [
        good[..good.len() - 9].to_string(),
        file(&engines, 1, &[(2, ""), (3, "")]),
        file(&engines, 3, &[]),
        file(&engines, 3, &[(2, "cores = \"8000m\"\n"), (3, "")]),
    ]
    .into_iter()
    .enumerate()
    {
        std::fs::write(&path, bad).expect("written in place");
        controller.wait_for_status("lists_refused", |r| r == n as u64 + 1);
        let told = members(&controller);
        assert!(
            told["fault"]
                .as_str()
                .is_some_and(|f| f.contains("engines.toml:")),
            "{told}"
        );
        assert_eq!(controller.status_value("list_version"), 2);
    }
    // One drained and one gone leaves half: nothing goes to those from now on.
    put(
        &path,
        &file(
            &engines,
            3,
            &[(0, "status = \"draining\"\n"), (2, ""), (3, "")],
        ),
    );
    controller.wait_for_status("list_version", |v| v == 3);
    assert_eq!(members(&controller)["fault"], Value::Null);
    ask(&controller, 40);
    let after = received_of(&engines, 70);
    assert_eq!(
        (after[0], after[1]),
        (before[0], before[1]),
        "drained and gone"
    );
    assert_eq!(after[2] + after[3], before[2] + before[3] + 40);
}

#[test]
fn without_a_good_file_the_kept_set_serves_and_its_age_is_told() {
    let dir = tempfile::tempdir().expect("a directory");
    let (path, last) = (
        dir.path().join("engines.toml"),
        dir.path().join("last.toml"),
    );
    let engines = Engines::start(2);
    put(&path, &file(&engines, 9, &[(0, ""), (1, "")]));
    let keeps = format!("last_good = {last:?}\n");
    let mut controller = on(&path, &keeps);
    controller.wait_for_status("list_version", |v| v == 9);
    controller.request_shutdown();
    controller.join();
    std::fs::write(&path, "version = ").expect("torn");
    let controller = on(&path, &keeps);
    ask(&controller, 5);
    assert_eq!(controller.status_value("list_version"), 9);
    controller.wait_for_status("lists_refused", |r| r == 1);
}

#[test]
fn a_file_and_a_registry_together() {
    let dir = tempfile::tempdir().expect("a directory");
    let path = dir.path().join("engines.toml");
    let engines = Engines::start(3);
    put(&path, &file(&engines, 5, &[(0, ""), (1, "")]));
    let registry = engines.address("registry");
    let controller = on(
        &path,
        &format!("[registry]\naddress = {registry:?}\nmode = \"poll\"\nevery = \"20ms\"\n"),
    );
    // The registry names a third, which the file does not: it is told, and gets nothing.
    let contradicts = || {
        let told = members(&controller);
        told["contradictions"].as_array().is_some_and(|c| {
            c.iter()
                .any(|c| c.as_str().is_some_and(|c| c.contains("Unlisted")))
        })
    };
    common::wait_until("the registry to be heard", contradicts);
    ask(&controller, 30);
    assert_eq!(received_of(&engines, 30)[2], 0);
    // It drains one that the file has up: the drain counts.
    let name = engines.addresses["engines"][0]["id"]
        .as_str()
        .expect("told")
        .to_string();
    let fault = format!("/fault?engine={name}&kind=drain&value=1");
    let (status, body) = http(&engines.address("control"), "POST", &fault);
    assert_eq!(status, 200, "{body}");
    let drains = || {
        members(&controller)["contradictions"]
            .to_string()
            .contains("draining")
    };
    common::wait_until("the drain to be heard", drains);
    let before = received_of(&engines, 30);
    ask(&controller, 20);
    assert_eq!(received_of(&engines, 50)[0], before[0]);
}
