//! Controllers that find out how many they are, on real sockets.

mod common;

use common::{Controller, Engines, BASE_CONFIG, LISTEN_CONFIG};
use std::collections::BTreeSet;
use std::net::UdpSocket;
use std::path::Path;
use wheelfield_gossip::authentication::{Authenticator, Keys};

const KEY: &str = "7 0123456789abcdef0123456789abcdef\n";

fn one(engines: &Engines, keys: &Path, seed: Option<&str>, expect: u32) -> Controller {
    let seeds = seed.map_or(String::new(), |s| format!("{s:?}"));
    let list = engines.config_entries();
    let text = format!(
        "{LISTEN_CONFIG}{BASE_CONFIG}[controller]\ncount = {expect}\nindex = 0\n[gossip]\nlisten = \"127.0.0.1:0\"\nseeds = [{seeds}]\n\
         keys = {keys:?}\nperiod = \"50ms\"\nsettle = \"200ms\"\nhold = \"30s\"\n{list}"
    );
    Controller::start(&text)
}

#[test]
fn controllers_count_each_other_and_tell_their_modules() {
    let dir = tempfile::tempdir().expect("a directory");
    let keys = dir.path().join("keys");
    std::fs::write(&keys, KEY).expect("written");
    let engines = Engines::start(1);
    let first = one(&engines, &keys, None, 1);
    let seed = first.gossip.clone().expect("told");
    let mut others: Vec<Controller> = (0..3)
        .map(|_| one(&engines, &keys, Some(&seed), 1))
        .collect();
    for c in others.iter().chain([&first]) {
        c.wait_for_status("gossip_count", |n| n == 4);
    }
    let index = |c: &Controller| c.status_value("gossip_index");
    let numbers: BTreeSet<u64> = others.iter().chain([&first]).map(index).collect();
    assert_eq!(
        numbers,
        BTreeSet::from([0, 1, 2, 3]),
        "each has one of its own"
    );
    // One says goodbye: nobody waits for it.
    if let Some(mut gone) = others.pop() {
        gone.request_shutdown();
        gone.join();
    }
    for c in others.iter().chain([&first]) {
        c.wait_for_status("gossip_count", |n| n == 3);
        assert_eq!(c.status_value("gossip_given_up"), 0);
    }
    // A stranger is heard by nobody.
    let stranger = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    stranger
        .send_to(b"WFG1\x07 let me in, I am number four of you", &seed)
        .expect("sent");
    first.wait_for_status("gossip_dropped", |n| n == 1);
    assert_eq!(first.status_value("gossip_count"), 3);
}

#[test]
fn one_that_hears_nobody_goes_by_what_it_was_told() {
    let dir = tempfile::tempdir().expect("a directory");
    let keys = dir.path().join("keys");
    std::fs::write(&keys, KEY).expect("written");
    let engines = Engines::start(1);
    // Whoever sits there answers nothing.
    let mute = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    let seed = mute.local_addr().expect("bound").to_string();
    let controller = one(&engines, &keys, Some(&seed), 12);
    // It asks again and again, and takes that for no answer.
    let mut buffer = [0; 1500];
    for _ in 0..12 {
        mute.recv(&mut buffer).expect("asked");
    }
    assert_eq!(
        (
            controller.status_value("gossip_count"),
            controller.status_value("gossip_settled")
        ),
        (12, 0)
    );
    controller
        .postgres_client()
        .simple_query("select 1")
        .expect("served all the while");
}

/// Words ride on the membership: nobody names an address, and who is no member is not heard.
#[test]
fn controllers_that_find_each_other_tell_each_other_of_engines() {
    use wheelfield::interface::{EngineId, LoadReport, PeerLoadReport};
    let dir = tempfile::tempdir().expect("a directory");
    let keys = dir.path().join("keys");
    std::fs::write(&keys, KEY).expect("written");
    let engines = Engines::start(2);
    let body = BASE_CONFIG.replace("bills = true", "bills = true\nreports = \"probe\"");
    let body = body.replace(
        "cancel = true",
        "cancel = true\nmessages = true\nprobes = true",
    );
    let one = |seed: &str| {
        let (list, gossip) = (
            engines.config_entries(),
            "listen = \"127.0.0.1:0\"\nperiod = \"50ms\"\nsettle = \"200ms\"",
        );
        let text = format!(
            "{LISTEN_CONFIG}{body}[controller]\ncount = 1\nindex = 0\n[peers]\nmost = \"20KB\"\n\
             [gossip]\n{gossip}\nseeds = [{seed}]\nkeys = {keys:?}\n{list}"
        );
        Controller::start(&text)
    };
    let first = one("");
    let seed = first.gossip.clone().expect("told");
    assert_eq!(first.peers, None, "no socket of their own");
    let others = [one(&format!("{seed:?}")), one(&format!("{seed:?}"))];
    let client = std::cell::RefCell::new(first.postgres_client());
    for c in others.iter().chain([&first]) {
        // Engines that have work tell of it.
        common::wait_until("words", || {
            let served = client.borrow_mut().simple_query("select 1").is_ok();
            served && c.status_value("words_heard") >= 3
        });
        assert_eq!(
            (
                c.status_value("words_unsent"),
                c.status_value("gossip_dropped")
            ),
            (0, 0)
        );
    }
    // A holder of the key that is no member.
    let stranger = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    let mut authenticator = Authenticator::new(stranger.local_addr().expect("bound"), 1);
    let words = [PeerLoadReport {
        engine: EngineId(1),
        report: LoadReport::default(),
    }];
    let part = wheelfield_pg_gateway::peers::written(&words, 100)
        .remove(0)
        .1;
    let held = Keys::read(KEY).expect("keys");
    stranger
        .send_to(
            &authenticator
                .authenticate_message(&part, &held)
                .expect("short"),
            &seed,
        )
        .expect("sent");
    first.wait_for_status("words_untaken", |n| n >= 1);
}
