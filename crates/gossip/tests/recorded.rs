//! Datagrams recorded from version 0.2.0: every later build must read them and write the same bytes.

use std::net::SocketAddr;
use wheelfield_gossip::authentication::{Authenticator, Keys, Verifier};
use wheelfield_gossip::{MemberRecord, MemberState, Message, Packet, ViewTag};

const FIRST_FORMAT: &[u8] = include_bytes!("recorded/first-format.bin");
const SECOND_FORMAT: &[u8] = include_bytes!("recorded/second-format.bin");
const APPLICATION_MESSAGE: &[u8] = include_bytes!("recorded/application-message.bin");
const KEY_FILE: &str = "7 0123456789abcdef0123456789abcdef\n";
const SENDER_INCARNATION: u64 = 100;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn record(number: u16, state: MemberState) -> MemberRecord {
    MemberRecord {
        member: address(9_000 + number),
        incarnation: 1_000 + u64::from(number),
        refutations: u32::from(number),
        state,
        state_age_ms: 250 * u32::from(number),
    }
}

/// The contents of the recorded datagrams, in the order of sending.
fn packets() -> [Packet; 2] {
    let records = vec![
        record(0, MemberState::Alive),
        record(1, MemberState::Suspect),
        record(2, MemberState::Dead),
        record(3, MemberState::Left),
    ];
    let tag = ViewTag {
        version: 42,
        digest: 0x0123_4567_89ab_cdef,
    };
    [
        Packet {
            message: Message::IndirectProbe(17, address(9_001)),
            records: records.clone(),
            view_tag: None,
        },
        Packet {
            message: Message::Probe(18),
            records,
            view_tag: Some(tag),
        },
    ]
}

#[test]
fn recorded_datagrams_of_both_formats_are_read() {
    let keys = Keys::parse(KEY_FILE).expect("a key");
    let mut verifier = Verifier::default();
    for (datagram, packet) in [FIRST_FORMAT, SECOND_FORMAT].into_iter().zip(packets()) {
        assert_eq!(verifier.verify(address(7_001), datagram, &keys), Ok(packet));
    }
    let message = verifier
        .verify_message(address(7_001), APPLICATION_MESSAGE, &keys)
        .expect("authenticated with the key");
    assert_eq!(
        (message.id.incarnation, message.payload),
        (SENDER_INCARNATION, &b"load of three engines"[..])
    );
}

#[test]
fn the_same_packets_are_written_to_the_recorded_bytes() {
    let keys = Keys::parse(KEY_FILE).expect("a key");
    let mut authenticator = Authenticator::new(address(7_001), SENDER_INCARNATION);
    for (datagram, packet) in [FIRST_FORMAT, SECOND_FORMAT].into_iter().zip(packets()) {
        assert_eq!(
            authenticator.authenticate(&packet, &keys).as_deref(),
            Some(datagram)
        );
    }
    assert_eq!(
        authenticator
            .authenticate_message(b"load of three engines", &keys)
            .as_deref(),
        Some(APPLICATION_MESSAGE)
    );
}
