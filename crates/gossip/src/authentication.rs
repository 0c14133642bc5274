//! Authenticated datagrams: packets and application messages with a message authentication code.
//!
//! A datagram consists of the magic `WFG1` (packets) or `WFW1` (application messages), the key number, the sender's incarnation
//! and sequence number, the payload, fields added by later formats, and the first 16 bytes of HMAC-SHA-256 (RFC 2104, FIPS
//! 180-4) over all of this and the sender's address. Contents are authenticated, not encrypted. Datagrams that do not verify,
//! or that were accepted before, are dropped.
//!
//! Formats: the first ends with the packet. The second adds a byte 2 and the sender's [`ViewTag`]. A reader ignores what follows
//! the format it knows and treats missing fields as absent, so builds of both formats form one group.

mod keys;
mod replay;

pub use keys::{KeyFileError, Keys, MAX_KEYS, MIN_KEY_BYTES};

use crate::messages::MessageId;
use crate::{Packet, ViewTag};
use hmac::Mac;
use replay::ReplayProtection;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Maximum size of a datagram in bytes, so that a loopback or Ethernet link does not fragment it.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// Size of the truncated message authentication code.
const MAC_BYTES: usize = 16;
/// Magic of a datagram with a packet.
const PACKET_MAGIC: &[u8; MAGIC_BYTES] = b"WFG1";
/// Magic of a datagram with an application message.
const MESSAGE_MAGIC: &[u8; MAGIC_BYTES] = b"WFW1";
const MAGIC_BYTES: usize = 4;
const KEY_NUMBER_BYTES: usize = 1;
const HEADER_BYTES: usize = MAGIC_BYTES + KEY_NUMBER_BYTES;
/// Maximum size of a variable-length 64-bit integer.
const MAX_VARINT_BYTES: usize = 10;
/// Maximum size of an application message in bytes: that of a datagram without magic, key number, incarnation, sequence number
/// and message authentication code.
pub const MAX_MESSAGE_BYTES: usize =
    MAX_DATAGRAM_BYTES - HEADER_BYTES - 2 * MAX_VARINT_BYTES - MAC_BYTES;
/// Marks the fields that the second format adds.
const SECOND_FORMAT: u8 = 2;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum VerificationError {
    /// The datagram is too short, too long, or of another kind.
    #[error("malformed datagram")]
    Malformed,
    /// The key number is not in the key file.
    #[error("unknown key number")]
    UnknownKey,
    /// The message authentication code does not match the contents or the sender's address.
    #[error("message authentication code does not match")]
    InvalidMac,
    /// A later incarnation of the sender is known; the field holds it.
    #[error("earlier incarnation of the sender")]
    StaleIncarnation(u64),
    /// The datagram was accepted before, or is older than the replay window.
    #[error("replayed or too old")]
    Replayed,
}

#[derive(Serialize, Deserialize)]
struct PacketBody {
    incarnation: u64,
    sequence: u64,
    packet: Packet,
}

/// A verified application message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VerifiedMessage<'a> {
    /// The sender's incarnation and the sequence number.
    pub id: MessageId,
    /// The contents.
    pub payload: &'a [u8],
}

/// Size in bytes of a packet within a datagram.
pub fn encoded_size(packet: &Packet) -> usize {
    let packet_bytes = postcard::to_stdvec(packet).map_or(0, |bytes| bytes.len());
    let tag_bytes = |tag: &ViewTag| postcard::to_stdvec(tag).map_or(0, |bytes| 1 + bytes.len());
    packet_bytes + packet.view_tag.as_ref().map_or(0, tag_bytes)
}

/// Whether a datagram claims to carry an application message.
pub fn is_message(datagram: &[u8]) -> bool {
    datagram.starts_with(MESSAGE_MAGIC)
}

/// The sender's address as it is included in the message authentication code.
fn encoded_address(address: SocketAddr) -> Vec<u8> {
    address.to_string().into_bytes()
}

/// Authenticates the datagrams of one sender.
#[derive(Debug)]
pub struct Authenticator {
    own: SocketAddr,
    incarnation: u64,
    sequence: u64,
}

impl Authenticator {
    /// Creates the authenticator of a process with this address and incarnation.
    pub fn new(own: SocketAddr, incarnation: u64) -> Authenticator {
        Authenticator {
            own,
            incarnation,
            sequence: 0,
        }
    }

    /// Changes to a later incarnation; an earlier or equal one is ignored.
    pub fn advance_incarnation(&mut self, incarnation: u64) {
        if incarnation > self.incarnation {
            self.incarnation = incarnation;
            self.sequence = 0;
        }
    }

    /// The datagram of a packet; none if it would exceed [`MAX_DATAGRAM_BYTES`].
    pub fn authenticate(&mut self, packet: &Packet, keys: &Keys) -> Option<Vec<u8>> {
        let (number, key) = keys.primary()?;
        self.sequence += 1;
        let body = PacketBody {
            incarnation: self.incarnation,
            sequence: self.sequence,
            packet: packet.clone(),
        };
        let mut bytes = postcard::to_extend(&body, header(PACKET_MAGIC, number)).ok()?;
        if let Some(tag) = packet.view_tag {
            bytes.push(SECOND_FORMAT);
            bytes = postcard::to_extend(&tag, bytes).ok()?;
        }
        self.append_mac(bytes, key)
    }

    /// The datagram of an application message; none if it would exceed [`MAX_DATAGRAM_BYTES`].
    pub fn authenticate_message(&mut self, payload: &[u8], keys: &Keys) -> Option<Vec<u8>> {
        let (number, key) = keys.primary()?;
        self.sequence += 1;
        let id = (self.incarnation, self.sequence);
        let mut bytes = postcard::to_extend(&id, header(MESSAGE_MAGIC, number)).ok()?;
        bytes.extend_from_slice(payload);
        self.append_mac(bytes, key)
    }

    fn append_mac(&self, mut bytes: Vec<u8>, key: &[u8]) -> Option<Vec<u8>> {
        if bytes.len() + MAC_BYTES > MAX_DATAGRAM_BYTES {
            return None;
        }
        let mac = keys::mac(key, &[&bytes, &encoded_address(self.own)])?
            .finalize()
            .into_bytes();
        bytes.extend_from_slice(&mac[..MAC_BYTES]);
        Some(bytes)
    }
}

fn header(magic: &[u8; MAGIC_BYTES], key_number: u8) -> Vec<u8> {
    [&magic[..], &[key_number]].concat()
}

/// Verifies datagrams and accepts each one once.
#[derive(Debug, Default)]
pub struct Verifier {
    replay: ReplayProtection,
}

impl Verifier {
    /// Verifies a datagram that came from an address, and returns its packet.
    ///
    /// # Errors
    /// [`VerificationError`]: why the datagram was dropped.
    pub fn verify(
        &mut self,
        from: SocketAddr,
        datagram: &[u8],
        keys: &Keys,
    ) -> Result<Packet, VerificationError> {
        let body = verified_body(PACKET_MAGIC, from, datagram, keys)?;
        let (mut body, rest): (PacketBody, &[u8]) = decode(body)?;
        if let Some((&SECOND_FORMAT, rest)) = rest.split_first() {
            let (tag, _): (ViewTag, &[u8]) = decode(rest)?;
            body.packet.view_tag = Some(tag);
        }
        let id = MessageId {
            incarnation: body.incarnation,
            sequence: body.sequence,
        };
        self.replay.accept(from, id)?;
        Ok(body.packet)
    }

    /// Verifies a datagram that came from an address, and returns its application message.
    ///
    /// # Errors
    /// [`VerificationError`]: why the datagram was dropped.
    pub fn verify_message<'a>(
        &mut self,
        from: SocketAddr,
        datagram: &'a [u8],
        keys: &Keys,
    ) -> Result<VerifiedMessage<'a>, VerificationError> {
        let body = verified_body(MESSAGE_MAGIC, from, datagram, keys)?;
        let ((incarnation, sequence), payload): ((u64, u64), &[u8]) = decode(body)?;
        let id = MessageId {
            incarnation,
            sequence,
        };
        self.replay.accept(from, id)?;
        Ok(VerifiedMessage { id, payload })
    }
}

/// Decodes a value and returns the bytes that follow it.
fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<(T, &'a [u8]), VerificationError> {
    postcard::take_from_bytes(bytes).map_err(|_| VerificationError::Malformed)
}

/// The bytes between the key number and the message authentication code, if the code is valid.
fn verified_body<'a>(
    magic: &[u8; MAGIC_BYTES],
    from: SocketAddr,
    datagram: &'a [u8],
    keys: &Keys,
) -> Result<&'a [u8], VerificationError> {
    let has_valid_size = (HEADER_BYTES + MAC_BYTES..=MAX_DATAGRAM_BYTES).contains(&datagram.len());
    if !has_valid_size || !datagram.starts_with(magic) {
        return Err(VerificationError::Malformed);
    }
    let (bytes, received_mac) = datagram.split_at(datagram.len() - MAC_BYTES);
    let key = keys
        .get(bytes[MAGIC_BYTES])
        .ok_or(VerificationError::UnknownKey)?;
    let mac =
        keys::mac(key, &[bytes, &encoded_address(from)]).ok_or(VerificationError::InvalidMac)?;
    mac.verify_truncated_left(received_mac)
        .map_err(|_| VerificationError::InvalidMac)?;
    Ok(&bytes[HEADER_BYTES..])
}
