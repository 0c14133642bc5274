//! Sealed datagrams: opened once, by holders of the key, from where they were sealed.

use proptest::prelude::*;
use std::net::SocketAddr;
use wheelfield_gossip::seal::{Dropped, Keys, Opener, Sealer, LONGEST};
use wheelfield_gossip::{Limits, Message, Packet, Record, Standing};

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
    Packet { message: Message::Help(u32::MAX, at(65_535)), riders: (0..n).map(record).collect() }
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
    assert_eq!(opener.open(from, &old, &keys), Err(Dropped::Old), "of the process before");
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
