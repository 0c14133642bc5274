//! Authenticated datagrams: accepted once, with a shared key, from the address of their sender.

use hmac::{Hmac, KeyInit, Mac};
use proptest::prelude::*;
use sha2::Sha256;
use std::net::SocketAddr;
use wheelfield_gossip::authentication::{
    Authenticator, Keys, VerificationError, Verifier, MAX_DATAGRAM_BYTES,
};
use wheelfield_gossip::{
    MemberRecord, MemberState, MembershipConfig, Message, Node, Packet, ViewTag,
};

fn at(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn keys(text: &str) -> Keys {
    Keys::parse(text).expect("keys")
}

fn packet(n: usize) -> Packet {
    let record = |i: usize| MemberRecord {
        member: at(9_000 + i as u16),
        incarnation: u64::MAX - i as u64,
        refutations: u32::MAX,
        state: MemberState::Suspect,
        state_age_ms: u32::MAX,
    };
    Packet {
        message: Message::IndirectProbe(u32::MAX, at(65_535)),
        records: (0..n).map(record).collect(),
        view_tag: None,
    }
}

const ONE_KEY: &str = "1 0123456789abcdef0123456789abcdef\n";

#[test]
fn a_datagram_is_accepted_once_and_only_unchanged() {
    let (keys, from) = (keys(ONE_KEY), at(7_001));
    let mut authenticator = Authenticator::new(from, 100);
    let datagram = authenticator
        .authenticate(&packet(3), &keys)
        .expect("fits into a datagram");
    for i in 0..datagram.len() {
        let mut other = datagram.clone();
        other[i] ^= 1;
        assert!(
            Verifier::default().verify(from, &other, &keys).is_err(),
            "byte {i}"
        );
        assert!(
            Verifier::default()
                .verify(from, &datagram[..i], &keys)
                .is_err(),
            "cut at {i}"
        );
    }
    let mut verifier = Verifier::default();
    assert_eq!(
        verifier.verify(at(7_002), &datagram, &keys),
        Err(VerificationError::InvalidMac),
        "from another address"
    );
    assert_eq!(verifier.verify(from, &datagram, &keys), Ok(packet(3)));
    assert_eq!(
        verifier.verify(from, &datagram, &keys),
        Err(VerificationError::Replayed),
        "replayed"
    );
}

#[test]
fn datagrams_outside_the_replay_window_or_of_an_earlier_incarnation_are_rejected() {
    let (keys, from) = (keys(ONE_KEY), at(7_001));
    let mut authenticator = Authenticator::new(from, 100);
    let mut all: Vec<Vec<u8>> = (0..70)
        .map(|_| {
            authenticator
                .authenticate(&packet(0), &keys)
                .expect("fits into a datagram")
        })
        .collect();
    let mut verifier = Verifier::default();
    let newest = all.pop().expect("one");
    assert!(verifier.verify(from, &newest, &keys).is_ok());
    for (i, datagram) in all.iter().enumerate() {
        // The last of 70 datagrams arrived first; the window still covers the 63 before it.
        let expected = if i >= 6 {
            Ok(packet(0))
        } else {
            Err(VerificationError::Replayed)
        };
        assert_eq!(verifier.verify(from, datagram, &keys), expected, "{i}");
        assert_eq!(
            verifier.verify(from, datagram, &keys),
            Err(VerificationError::Replayed),
            "{i} again"
        );
    }
    let restarted = Authenticator::new(from, 101)
        .authenticate(&packet(0), &keys)
        .expect("fits into a datagram");
    assert!(verifier.verify(from, &restarted, &keys).is_ok());
    let old = authenticator
        .authenticate(&packet(0), &keys)
        .expect("fits into a datagram");
    assert!(
        matches!(
            verifier.verify(from, &old, &keys),
            Err(VerificationError::StaleIncarnation(_))
        ),
        "earlier incarnation"
    );
}

#[test]
fn keys_are_rotated_without_interruption() {
    let (old, both, new) = (
        keys("1 oldoldoldoldoldold"),
        keys("1 oldoldoldoldoldold\n2 newnewnewnewnewnew\n"),
        keys("2 newnewnewnewnewnew"),
    );
    let rotated = keys("# the new one authenticates\n2 newnewnewnewnewnew\n1 oldoldoldoldoldold\n");
    let verify = |by: &Keys, with: &Keys| {
        let datagram = Authenticator::new(at(1), 5)
            .authenticate(&packet(1), by)
            .expect("fits into a datagram");
        Verifier::default()
            .verify(at(1), &datagram, with)
            .map(|_| ())
    };
    assert_eq!(verify(&old, &both), Ok(()));
    assert_eq!(
        verify(&both, &old),
        Ok(()),
        "the second key does not authenticate yet"
    );
    assert_eq!(verify(&rotated, &both), Ok(()));
    assert_eq!(verify(&new, &rotated), Ok(()));
    assert_eq!(verify(&old, &new), Err(VerificationError::UnknownKey));
    // Another key under the same number.
    assert_eq!(
        verify(&keys("1 otherotherotherother"), &old),
        Err(VerificationError::InvalidMac)
    );
    for (text, problem) in [
        ("", "no key"),
        ("1 short", "less than 16"),
        ("x 0123456789abcdef", "not one of 0 to 255"),
        ("10123456789abcdef", "a space"),
        ("1 0123456789abcdef\n1 0123456789abcdeg", "line 2"),
    ] {
        let message = Keys::parse(text).expect_err(text).to_string();
        assert!(
            message.contains(problem) && !message.contains("0123456789"),
            "{message}"
        );
    }
}

#[test]
fn the_largest_packet_of_a_node_fits_a_datagram() {
    let max_records = MembershipConfig::default().max_piggybacked_records;
    let datagram = Authenticator::new(at(65_535), u64::MAX)
        .authenticate(&packet(max_records), &keys(ONE_KEY))
        .expect("fits into a datagram");
    assert!(datagram.len() <= MAX_DATAGRAM_BYTES, "{}", datagram.len());
    assert!(Authenticator::new(at(1), 1)
        .authenticate(&packet(100), &keys(ONE_KEY))
        .is_none());
}

proptest! {
    #[test]
    fn arbitrary_bytes_are_dropped(bytes in prop::collection::vec(any::<u8>(), 0..1_600)) {
        prop_assert!(Verifier::default().verify(at(1), &bytes, &keys(ONE_KEY)).is_err());
        let mut with_header = b"WFG1\x01".to_vec();
        with_header.extend(&bytes);
        prop_assert!(Verifier::default().verify(at(1), &with_header, &keys(ONE_KEY)).is_err());
    }
}

/// A process with its node and the authentication of its datagrams.
struct Process {
    node: Node,
    authenticator: Authenticator,
    verifier: Verifier,
}

fn process(own: SocketAddr, incarnation: u64, seed: SocketAddr) -> Process {
    Process {
        node: Node::new(
            own,
            incarnation,
            vec![seed],
            MembershipConfig {
                expected_members: 2,
                ..MembershipConfig::default()
            },
            incarnation,
            0,
        ),
        authenticator: Authenticator::new(own, incarnation),
        verifier: Verifier::default(),
    }
}

/// Runs both processes over a span of virtual seconds, as a controller does.
fn run(all: &mut [(SocketAddr, Process); 2], keys: &Keys, from_s: i64, to_s: i64) {
    for now in (from_s * 10..to_s * 10).map(|tenth| tenth * 100_000) {
        let mut wire: Vec<(SocketAddr, SocketAddr, Vec<u8>)> = Vec::new();
        for (own, p) in all.iter_mut() {
            let mut out = Vec::new();
            p.node.tick(now, &mut out);
            wire.extend(
                out.iter().filter_map(|(to, m)| {
                    Some((*own, *to, p.authenticator.authenticate(m, keys)?))
                }),
            );
        }
        for _ in 0..4 {
            for (from, to, datagram) in std::mem::take(&mut wire) {
                let Some((own, p)) = all.iter_mut().find(|(a, _)| *a == to) else {
                    continue;
                };
                let mut out = Vec::new();
                match p.verifier.verify(from, &datagram, keys) {
                    Ok(packet) => {
                        p.node.receive(now, from, &packet, &mut out);
                        p.authenticator.advance_incarnation(p.node.incarnation());
                    }
                    Err(VerificationError::StaleIncarnation(start)) => {
                        out.push((from, p.node.incarnation_notice(from, start)))
                    }
                    Err(_) => {}
                }
                wire.extend(out.iter().filter_map(|(to, m)| {
                    Some((*own, *to, p.authenticator.authenticate(m, keys)?))
                }));
            }
        }
    }
}

#[test]
fn a_process_whose_clock_was_set_back_is_accepted_again() {
    let keys = Keys::parse("1 a-key-of-sixteen-letters\n").expect("keys");
    let (a, b): (SocketAddr, SocketAddr) = (
        "127.0.0.1:7001".parse().expect("one"),
        "127.0.0.1:7002".parse().expect("two"),
    );
    let mut all = [(a, process(a, 1_000, b)), (b, process(b, 1_000_000, a))];
    run(&mut all, &keys, 0, 60);
    assert!(all.iter().all(|(_, p)| p.node.view().alive == 2));
    // The second process is killed and restarts with a clock that was set back.
    all[1].1 = process(b, 10, a);
    run(&mut all, &keys, 60, 65);
    assert!(
        all[1].1.node.incarnation() > 1_000_000,
        "the process learned the earlier incarnation of its address"
    );
    let view = all[0].1.node.view();
    assert_eq!((view.alive, view.count), (2, 2));
    let before = all[0].1.node.counters().declared_dead;
    run(&mut all, &keys, 65, 200);
    assert_eq!(
        all[0].1.node.counters().declared_dead,
        before,
        "the process stays alive"
    );
    assert!(all.iter().all(|(_, p)| p.node.view().alive == 2));
}

/// What builds of the first format read: the packet without the fields of the second format.
#[derive(serde::Deserialize)]
struct FirstFormat {
    incarnation: u64,
    sequence: u64,
    message: Message,
    records: Vec<MemberRecord>,
}

#[test]
fn packets_of_both_formats_are_read_by_both() {
    let tag = ViewTag {
        version: 3,
        digest: u64::MAX,
    };
    let plain = packet(3);
    let tagged = Packet {
        view_tag: Some(tag),
        ..plain.clone()
    };
    let mut verifier = Verifier::default();
    for (sequence, sent) in [(1, &plain), (2, &tagged)] {
        let mut authenticator = Authenticator::new(at(1), 9);
        (1..sequence).for_each(|_| drop(authenticator.authenticate(&plain, &keys(ONE_KEY))));
        let datagram = authenticator
            .authenticate(sent, &keys(ONE_KEY))
            .expect("fits into a datagram");
        assert_eq!(
            verifier.verify(at(1), &datagram, &keys(ONE_KEY)).as_ref(),
            Ok(sent)
        );
        let first: FirstFormat =
            postcard::from_bytes(&datagram[5..datagram.len() - 16]).expect("read");
        assert_eq!((first.incarnation, first.sequence), (9, sequence));
        assert_eq!(
            (first.message, first.records),
            (plain.message, plain.records.clone())
        );
    }
}

#[test]
fn a_truncated_view_tag_is_malformed_and_fields_of_a_later_format_are_ignored() {
    let mut authenticator = Authenticator::new(at(1), 9);
    let tagged = Packet {
        view_tag: Some(ViewTag {
            version: 3,
            digest: 1 << 60,
        }),
        ..packet(1)
    };
    let whole = authenticator
        .authenticate(&tagged, &keys(ONE_KEY))
        .expect("fits into a datagram");
    let (body, _) = whole.split_at(whole.len() - 16);
    let with_new_mac = |body: &[u8]| {
        let mut mac = <Hmac<Sha256> as KeyInit>::new_from_slice(&ONE_KEY.trim().as_bytes()[2..])
            .expect("a key");
        mac.update(body);
        mac.update(at(1).to_string().as_bytes());
        [body, &mac.finalize().into_bytes()[..16]].concat()
    };
    assert_eq!(
        Verifier::default().verify(
            at(1),
            &with_new_mac(&body[..body.len() - 1]),
            &keys(ONE_KEY)
        ),
        Err(VerificationError::Malformed)
    );
    let mut longer = body.to_vec();
    longer.extend([3, 1, 4, 1, 5]);
    assert_eq!(
        Verifier::default().verify(at(1), &with_new_mac(&longer), &keys(ONE_KEY)),
        Ok(tagged)
    );
}
