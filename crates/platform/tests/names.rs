//! What the name service tells, and what is left of it.

mod common;
use common::*;
use hickory_proto::op::{Message, ResponseCode};
use std::net::SocketAddr;
use wheelfield_sans_io::{DatagramSocket, IoEvent};

fn at(address: &str) -> SocketAddr {
    address.parse().expect("an address")
}

/// The next question, sent to the name service at `to`.
fn question(rig: &mut Rig, to: &str) -> Vec<u8> {
    rig.datagrams.clear();
    rig.pass(260_000);
    let (port, asked, bytes) = rig.datagrams.last().expect("a question").clone();
    assert_eq!((port, asked), (DatagramSocket::Discovery, at(to)));
    bytes
}

fn hear(rig: &mut Rig, from: &str, bytes: &[u8]) {
    rig.tell(IoEvent::Datagram(DatagramSocket::Discovery, at(from), bytes));
}

/// Where the next query goes; none if it was refused.
fn next(rig: &mut Rig, n: u64) -> Option<SocketAddr> {
    let client = rig.client();
    rig.connects.clear();
    rig.says(client, &post("look", &id(n), ""));
    rig.connects.last().map(|(_, to)| *to)
}

#[test]
fn a_newer_list_is_taken_whole_and_a_new_name_at_an_old_address_is_another_executor() {
    let mut rig = Rig::new(1);
    let (_, old, _) = rig.asked("look", &id(1));
    rig.says(old, &format!("{} HIT pages=1 0\r\n\r\n", id(1)));
    let asked = question(&mut rig, RESOLVER);
    hear(&mut rig, RESOLVER, &names(&asked, 4, &[("e9", 1, 0)]).to_vec().expect("bytes"));
    assert!(rig.closed.contains(&old), "the connection belongs to the one that is gone");
    assert_eq!(next(&mut rig, 2), Some(at("127.1.0.1:6565")));
    // Draining: nothing new goes there.
    let asked = question(&mut rig, RESOLVER);
    hear(&mut rig, RESOLVER, &names(&asked, 5, &[("e9", 1, 1)]).to_vec().expect("bytes"));
    assert_eq!(next(&mut rig, 3), None);
}

#[test]
fn what_is_old_short_or_no_answer_of_ours_changes_nothing() {
    let mut rig = Rig::new(1);
    let elsewhere = [("e9", 7, 0)];
    let asked = question(&mut rig, RESOLVER);
    let good = names(&asked, 9, &elsewhere);
    let bytes = |m: &Message| m.to_vec().expect("bytes");
    let changed = |change: &dyn Fn(&mut Message)| {
        let mut m = good.clone();
        change(&mut m);
        bytes(&m)
    };
    let bad: Vec<Vec<u8>> = vec![
        bytes(&names(&asked, 3, &elsewhere)),
        bytes(&names(&asked, 2, &elsewhere)),
        changed(&|m| m.metadata.id ^= 1),
        changed(&|m| m.metadata.truncation = true),
        changed(&|m| m.metadata.response_code = ResponseCode::ServFail),
        changed(&|m| m.queries.clear()),
        changed(&|m| m.authorities.clear()),
        changed(&|m| m.additionals.clear()),
        asked.clone(),
        Vec::new(),
        b"noise".to_vec(),
        // A name that points at itself.
        [&asked[..12], &[0xc0, 12, 0, 33, 0, 1]].concat(),
    ];
    for answer in &bad {
        hear(&mut rig, RESOLVER, answer);
    }
    let whole = bytes(&good);
    for cut in 0..whole.len() {
        hear(&mut rig, RESOLVER, &whole[..cut]);
    }
    hear(&mut rig, "127.9.0.2:1053", &whole);
    assert_eq!(next(&mut rig, 1), Some(at("127.1.0.1:6565")));
    // The same answer as it should be is taken.
    hear(&mut rig, RESOLVER, &whole);
    assert_eq!(next(&mut rig, 2), Some(at("127.1.0.7:6565")));
}

#[test]
fn after_a_new_configuration_the_other_name_service_is_asked_at_once_and_the_old_one_is_not_heard() {
    let mut rig = Rig::new(1);
    let asked = question(&mut rig, RESOLVER);
    let late = names(&asked, 9, &[("e9", 7, 0)]).to_vec().expect("bytes");
    rig.datagrams.clear();
    rig.platform.use_resolver(rig.now, at("127.9.0.3:1053"));
    rig.turn();
    let (_, to, again) = rig.datagrams.last().expect("asked at once").clone();
    assert_eq!(to, at("127.9.0.3:1053"));
    hear(&mut rig, RESOLVER, &late);
    assert_eq!(next(&mut rig, 1), Some(at("127.1.0.1:6565")));
    // The numbers carry on.
    hear(&mut rig, "127.9.0.3:1053", &names(&again, 3, &[("e8", 8, 0)]).to_vec().expect("bytes"));
    assert_eq!(next(&mut rig, 2), Some(at("127.1.0.1:6565")));
    hear(&mut rig, "127.9.0.3:1053", &names(&again, 4, &[("e8", 8, 0)]).to_vec().expect("bytes"));
    assert_eq!(next(&mut rig, 3), Some(at("127.1.0.8:6565")));
}
