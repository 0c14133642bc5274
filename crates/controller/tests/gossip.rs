//! Membership of several controllers by gossip, on real sockets.

mod common;

use common::{Controller, Engines, BASE_CONFIG, LISTEN_CONFIG};
use std::collections::BTreeSet;
use std::net::UdpSocket;
use std::path::Path;
use wheelfield_gossip::authentication::{Authenticator, Keys};

const KEY: &str = "7 0123456789abcdef0123456789abcdef\n";

/// Starts a controller that gossips from `seed` and is configured with `count` controllers.
fn start_controller(engines: &Engines, keys: &Path, seed: Option<&str>, count: u32) -> Controller {
    let seeds = seed.map_or(String::new(), |s| format!("{s:?}"));
    let engine_entries = engines.config_entries();
    let text = format!(
        "{LISTEN_CONFIG}{BASE_CONFIG}[controller]\ncount = {count}\nindex = 0\n[gossip]\nlisten = \"127.0.0.1:0\"\nseeds = [{seeds}]\n\
         keys = {keys:?}\nperiod = \"50ms\"\nsettle = \"200ms\"\nhold = \"30s\"\n{engine_entries}"
    );
    Controller::start(&text)
}

#[test]
fn controllers_agree_on_their_number_and_get_distinct_indices() {
    let dir = tempfile::tempdir().expect("create a temporary directory");
    let keys = dir.path().join("keys");
    std::fs::write(&keys, KEY).expect("write the file");
    let engines = Engines::start(1);
    let first = start_controller(&engines, &keys, None, 1);
    let seed = first.gossip.clone().expect("a gossip address");
    let mut others: Vec<Controller> = (0..3)
        .map(|_| start_controller(&engines, &keys, Some(&seed), 1))
        .collect();
    for c in others.iter().chain([&first]) {
        c.wait_for_status("gossip_count", |n| n == 4);
    }
    let index = |c: &Controller| c.status_value("gossip_index");
    let indices: BTreeSet<u64> = others.iter().chain([&first]).map(index).collect();
    assert_eq!(
        indices,
        BTreeSet::from([0, 1, 2, 3]),
        "each controller has its own index"
    );
    // A controller that shuts down leaves the membership at once, without being declared dead.
    if let Some(mut leaving) = others.pop() {
        leaving.request_shutdown();
        leaving.join();
    }
    for c in others.iter().chain([&first]) {
        c.wait_for_status("gossip_count", |n| n == 3);
        assert_eq!(c.status_value("gossip_given_up"), 0);
    }
    // A datagram from a sender without the key is dropped.
    let unauthenticated = UdpSocket::bind("127.0.0.1:0").expect("bind a socket");
    unauthenticated
        .send_to(b"WFG1\x07 let me in, I am number four of you", &seed)
        .expect("send");
    first.wait_for_status("gossip_dropped", |n| n == 1);
    assert_eq!(first.status_value("gossip_count"), 3);
}

#[test]
fn a_controller_without_responding_seeds_uses_the_configured_count() {
    let dir = tempfile::tempdir().expect("create a temporary directory");
    let keys = dir.path().join("keys");
    std::fs::write(&keys, KEY).expect("write the file");
    let engines = Engines::start(1);
    // The seed never responds.
    let silent_seed = UdpSocket::bind("127.0.0.1:0").expect("bind a socket");
    let seed = silent_seed
        .local_addr()
        .expect("the local address")
        .to_string();
    let controller = start_controller(&engines, &keys, Some(&seed), 12);
    // The controller keeps sending to the seed and does not treat its silence as a settled membership.
    let mut buffer = [0; 1500];
    for _ in 0..12 {
        silent_seed.recv(&mut buffer).expect("receive a datagram");
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
        .expect("the query succeeds meanwhile");
}

/// Load reports are sent to the members that gossip has found, without configured addresses or a socket for them. Reports from
/// senders that are not members are ignored.
#[test]
fn controllers_share_load_reports_with_gossip_members_only() {
    use wheelfield::interface::{EngineId, LoadReport, PeerLoadReport};
    let dir = tempfile::tempdir().expect("create a temporary directory");
    let keys = dir.path().join("keys");
    std::fs::write(&keys, KEY).expect("write the file");
    let engines = Engines::start(2);
    let body = BASE_CONFIG.replace("bills = true", "bills = true\nreports = \"probe\"");
    let body = body.replace(
        "cancel = true",
        "cancel = true\nmessages = true\nprobes = true",
    );
    let start = |seed: &str| {
        let (engine_entries, gossip) = (
            engines.config_entries(),
            "listen = \"127.0.0.1:0\"\nperiod = \"50ms\"\nsettle = \"200ms\"",
        );
        let text = format!(
            "{LISTEN_CONFIG}{body}[controller]\ncount = 1\nindex = 0\n[peers]\nmost = \"20KB\"\n\
             [gossip]\n{gossip}\nseeds = [{seed}]\nkeys = {keys:?}\n{engine_entries}"
        );
        Controller::start(&text)
    };
    let first = start("");
    let seed = first.gossip.clone().expect("a gossip address");
    assert_eq!(first.peers, None, "no socket for load reports");
    let others = [start(&format!("{seed:?}")), start(&format!("{seed:?}"))];
    let client = std::cell::RefCell::new(first.postgres_client());
    for c in others.iter().chain([&first]) {
        // Engines report their load once they have executed queries.
        common::wait_until("load reports", || {
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
    // A sender that has the key but is not a member.
    let non_member = UdpSocket::bind("127.0.0.1:0").expect("bind a socket");
    let mut authenticator = Authenticator::new(non_member.local_addr().expect("an address"), 1);
    let reports = [PeerLoadReport {
        engine: EngineId(1),
        report: LoadReport::default(),
    }];
    let message = wheelfield_pg_gateway::peers::encode_reports(&reports, 100)
        .remove(0)
        .1;
    let parsed_keys = Keys::parse(KEY).expect("valid keys");
    non_member
        .send_to(
            &authenticator
                .authenticate_message(&message, &parsed_keys)
                .expect("a message within the size limit"),
            &seed,
        )
        .expect("send");
    first.wait_for_status("words_untaken", |n| n >= 1);
}
