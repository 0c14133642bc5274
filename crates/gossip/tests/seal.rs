//! Sealed datagrams: opened once, by holders of the key, from where they were sealed.

use hmac::{Hmac, KeyInit, Mac};
use proptest::prelude::*;
use sha2::Sha256;
use std::net::SocketAddr;
use wheelfield_gossip::seal::{Dropped, Keys, Opener, Sealer, LONGEST};
use wheelfield_gossip::{Limits, Message, Node, Packet, Record, Standing, Tag};

fn at(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn keys(text: &str) -> Keys {
    Keys::read(text).expect("keys")
}

fn packet(n: usize) -> Packet {
    let record = |i: usize| Record {
        member: at(9_000 + i as u16),
        start: u64::MAX - i as u64,
        denials: u32::MAX,
        standing: Standing::Suspect,
        since_ms: u32::MAX,
    };
    Packet { message: Message::Help(u32::MAX, at(65_535)), riders: (0..n).map(record).collect(), tag: None }
}

const ONE: &str = "1 0123456789abcdef0123456789abcdef\n";

#[test]
fn a_datagram_opens_once_and_only_as_it_was() {
    let (keys, from) = (keys(ONE), at(7_001));
    let mut sealer = Sealer::new(from, 100);
    let datagram = sealer.seal(&packet(3), &keys).expect("short");
    for i in 0..datagram.len() {
        let mut other = datagram.clone();
        other[i] ^= 1;
        assert!(Opener::default().open(from, &other, &keys).is_err(), "byte {i}");
        assert!(Opener::default().open(from, &datagram[..i], &keys).is_err(), "cut at {i}");
    }
    let mut opener = Opener::default();
    assert_eq!(opener.open(at(7_002), &datagram, &keys), Err(Dropped::Forged), "of another sender");
    assert_eq!(opener.open(from, &datagram, &keys), Ok(packet(3)));
    assert_eq!(opener.open(from, &datagram, &keys), Err(Dropped::Old), "replayed");
}

#[test]
fn late_ones_open_and_very_late_ones_and_those_of_an_old_start_do_not() {
    let (keys, from) = (keys(ONE), at(7_001));
    let mut sealer = Sealer::new(from, 100);
    let mut all: Vec<Vec<u8>> = (0..70).map(|_| sealer.seal(&packet(0), &keys).expect("short")).collect();
    let mut opener = Opener::default();
    let newest = all.pop().expect("one");
    assert!(opener.open(from, &newest, &keys).is_ok());
    for (i, datagram) in all.iter().enumerate() {
        // The last of seventy came first: sixty-three before it are still known apart.
        let expected = if i >= 6 { Ok(packet(0)) } else { Err(Dropped::Old) };
        assert_eq!(opener.open(from, datagram, &keys), expected, "{i}");
        assert_eq!(opener.open(from, datagram, &keys), Err(Dropped::Old), "{i} again");
    }
    let restarted = Sealer::new(from, 101).seal(&packet(0), &keys).expect("short");
    assert!(opener.open(from, &restarted, &keys).is_ok());
    let old = sealer.seal(&packet(0), &keys).expect("short");
    assert!(matches!(opener.open(from, &old, &keys), Err(Dropped::Before(_))), "of the process before");
}

#[test]
fn keys_change_without_a_break() {
    let (old, both, new) = (
        keys("1 oldoldoldoldoldold"),
        keys("1 oldoldoldoldoldold\n2 newnewnewnewnewnew\n"),
        keys("2 newnewnewnewnewnew"),
    );
    let turned = keys("# the new one seals\n2 newnewnewnewnewnew\n1 oldoldoldoldoldold\n");
    let open = |by: &Keys, with: &Keys| {
        let datagram = Sealer::new(at(1), 5).seal(&packet(1), by).expect("short");
        Opener::default().open(at(1), &datagram, with).map(|_| ())
    };
    assert_eq!(open(&old, &both), Ok(()));
    assert_eq!(open(&both, &old), Ok(()), "the new one does not seal yet");
    assert_eq!(open(&turned, &both), Ok(()));
    assert_eq!(open(&new, &turned), Ok(()));
    assert_eq!(open(&old, &new), Err(Dropped::NoKey));
    // The same number for another key.
    assert_eq!(open(&keys("1 otherotherotherother"), &old), Err(Dropped::Forged));
    for (text, fault) in [
        ("", "no key"),
        ("1 short", "less than 16"),
        ("x 0123456789abcdef", "not one of 0 to 255"),
        ("10123456789abcdef", "a blank"),
        ("1 0123456789abcdef\n1 0123456789abcdeg", "line 2"),
    ] {
        let told = Keys::read(text).expect_err(text).to_string();
        assert!(told.contains(fault) && !told.contains("0123456789"), "{told}");
    }
}

#[test]
fn what_a_node_sends_fits_a_datagram() {
    let riders = Limits::default().riders;
    let datagram = Sealer::new(at(65_535), u64::MAX).seal(&packet(riders), &keys(ONE)).expect("it fits");
    assert!(datagram.len() <= LONGEST, "{}", datagram.len());
    assert!(Sealer::new(at(1), 1).seal(&packet(100), &keys(ONE)).is_none());
}

proptest! {
    #[test]
    fn any_bytes_are_opened_or_dropped(bytes in prop::collection::vec(any::<u8>(), 0..1_600)) {
        prop_assert!(Opener::default().open(at(1), &bytes, &keys(ONE)).is_err());
        let mut headed = b"WFG1\x01".to_vec();
        headed.extend(&bytes);
        prop_assert!(Opener::default().open(at(1), &headed, &keys(ONE)).is_err());
    }
}

/// A process that holds an address: its node, and what seals and opens for it.
struct Process {
    node: Node,
    sealer: Sealer,
    opener: Opener,
}

fn process(own: SocketAddr, start: u64, seed: SocketAddr) -> Process {
    Process {
        node: Node::new(own, start, vec![seed], Limits { expect: 2, ..Limits::default() }, start, 0),
        sealer: Sealer::new(own, start),
        opener: Opener::default(),
    }
}

/// Both go on for so many seconds, as a controller does.
fn talk(all: &mut [(SocketAddr, Process); 2], keys: &Keys, from_s: i64, to_s: i64) {
    for now in (from_s * 10..to_s * 10).map(|tenth| tenth * 100_000) {
        let mut wire: Vec<(SocketAddr, SocketAddr, Vec<u8>)> = Vec::new();
        for (own, p) in all.iter_mut() {
            let mut out = Vec::new();
            p.node.tick(now, &mut out);
            wire.extend(out.iter().filter_map(|(to, m)| Some((*own, *to, p.sealer.seal(m, keys)?))));
        }
        for _ in 0..4 {
            for (from, to, datagram) in std::mem::take(&mut wire) {
                let Some((own, p)) = all.iter_mut().find(|(a, _)| *a == to) else { continue };
                let mut out = Vec::new();
                match p.opener.open(from, &datagram, keys) {
                    Ok(packet) => {
                        p.node.receive(now, from, &packet, &mut out);
                        p.sealer.start_at(p.node.start());
                    }
                    Err(Dropped::Before(start)) => out.push((from, p.node.tell_start(from, start))),
                    Err(_) => {}
                }
                wire.extend(out.iter().filter_map(|(to, m)| Some((*own, *to, p.sealer.seal(m, keys)?))));
            }
        }
    }
}

#[test]
fn a_process_whose_clock_was_set_back_is_heard_again() {
    let keys = Keys::read("1 a-key-of-sixteen-letters\n").expect("keys");
    let (a, b): (SocketAddr, SocketAddr) =
        ("127.0.0.1:7001".parse().expect("one"), "127.0.0.1:7002".parse().expect("two"));
    let mut all = [(a, process(a, 1_000, b)), (b, process(b, 1_000_000, a))];
    talk(&mut all, &keys, 0, 60);
    assert!(all.iter().all(|(_, p)| p.node.view().alive == 2));
    // The second dies and comes back by a clock an hour behind.
    all[1].1 = process(b, 10, a);
    talk(&mut all, &keys, 60, 65);
    assert!(all[1].1.node.start() > 1_000_000, "it learned when the process before it had started");
    let view = all[0].1.node.view();
    assert_eq!((view.alive, view.count), (2, 2));
    let before = all[0].1.node.counts().given_up;
    talk(&mut all, &keys, 65, 200);
    assert_eq!(all[0].1.node.counts().given_up, before, "and it stays");
    assert!(all.iter().all(|(_, p)| p.node.view().alive == 2));
}

/// What builds of the first form read: the packet, and nothing behind it.
#[derive(serde::Deserialize)]
struct First {
    start: u64,
    sequence: u64,
    message: Message,
    riders: Vec<Record>,
}

#[test]
fn packets_of_both_forms_are_read_by_both() {
    let tag = Tag { number: 3, digest: u64::MAX };
    let plain = packet(3);
    let tagged = Packet { tag: Some(tag), ..plain.clone() };
    let mut opener = Opener::default();
    for (sequence, sent) in [(1, &plain), (2, &tagged)] {
        let mut sealer = Sealer::new(at(1), 9);
        (1..sequence).for_each(|_| drop(sealer.seal(&plain, &keys(ONE))));
        let datagram = sealer.seal(sent, &keys(ONE)).expect("it fits");
        assert_eq!(opener.open(at(1), &datagram, &keys(ONE)).as_ref(), Ok(sent));
        let first: First = postcard::from_bytes(&datagram[5..datagram.len() - 16]).expect("read");
        assert_eq!((first.start, first.sequence), (9, sequence));
        assert_eq!((first.message, first.riders), (plain.message, plain.riders.clone()));
    }
}

#[test]
fn a_view_that_is_cut_short_is_garbled_and_a_later_form_is_skipped() {
    let mut sealer = Sealer::new(at(1), 9);
    let tagged = Packet { tag: Some(Tag { number: 3, digest: 1 << 60 }), ..packet(1) };
    let whole = sealer.seal(&tagged, &keys(ONE)).expect("it fits");
    let (body, _) = whole.split_at(whole.len() - 16);
    let resealed = |body: &[u8]| {
        let mut mac = <Hmac<Sha256> as KeyInit>::new_from_slice(&ONE.trim().as_bytes()[2..]).expect("a key");
        mac.update(body);
        mac.update(at(1).to_string().as_bytes());
        [body, &mac.finalize().into_bytes()[..16]].concat()
    };
    assert_eq!(
        Opener::default().open(at(1), &resealed(&body[..body.len() - 1]), &keys(ONE)),
        Err(Dropped::Garbled)
    );
    let mut longer = body.to_vec();
    longer.extend([3, 1, 4, 1, 5]);
    assert_eq!(Opener::default().open(at(1), &resealed(&longer), &keys(ONE)), Ok(tagged));
}
