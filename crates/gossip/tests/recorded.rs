//! Datagrams recorded from version 0.2.0: every later build must read them, and write the same bytes.

use std::net::SocketAddr;
use wheelfield_gossip::seal::{Keys, Opener, Sealer};
use wheelfield_gossip::{Message, Packet, Record, Standing, Tag};

const FIRST_FORM: &[u8] = include_bytes!("recorded/first-form.bin");
const SECOND_FORM: &[u8] = include_bytes!("recorded/second-form.bin");
const PIGGYBACKED: &[u8] = include_bytes!("recorded/words.bin");
const KEY_FILE: &str = "7 0123456789abcdef0123456789abcdef\n";
const SENDER_START: u64 = 100;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn record(number: u16, standing: Standing) -> Record {
    Record {
        member: address(9_000 + number),
        start: 1_000 + u64::from(number),
        denials: u32::from(number),
        standing,
        since_ms: 250 * u32::from(number),
    }
}

/// The packets as they were before they were sealed, in the order of sending.
fn packets() -> [Packet; 2] {
    let riders = vec![
        record(0, Standing::Alive),
        record(1, Standing::Suspect),
        record(2, Standing::Gone),
        record(3, Standing::Left),
    ];
    let tag = Tag { number: 42, digest: 0x0123_4567_89ab_cdef };
    [
        Packet { message: Message::Help(17, address(9_001)), riders: riders.clone(), tag: None },
        Packet { message: Message::Probe(18), riders, tag: Some(tag) },
    ]
}

#[test]
fn recorded_datagrams_of_both_forms_are_read() {
    let keys = Keys::read(KEY_FILE).expect("a key");
    let mut opener = Opener::default();
    for (datagram, packet) in [FIRST_FORM, SECOND_FORM].into_iter().zip(packets()) {
        assert_eq!(opener.open(address(7_001), datagram, &keys), Ok(packet));
    }
    let message = opener.open_words(address(7_001), PIGGYBACKED, &keys).expect("sealed with the key");
    assert_eq!((message.0, message.2), (SENDER_START, &b"load of three engines"[..]));
}

#[test]
fn the_same_packets_are_written_to_the_recorded_bytes() {
    let keys = Keys::read(KEY_FILE).expect("a key");
    let mut sealer = Sealer::new(address(7_001), SENDER_START);
    for (datagram, packet) in [FIRST_FORM, SECOND_FORM].into_iter().zip(packets()) {
        assert_eq!(sealer.seal(&packet, &keys).as_deref(), Some(datagram));
    }
    assert_eq!(sealer.seal_words(b"load of three engines", &keys).as_deref(), Some(PIGGYBACKED));
}
