//! Datagrams: a packet sealed with a key that all controllers hold, and opened again.
//!
//! `WFG1`, the key's number, the sender's start and sequence number, the packet (postcard), what later forms add, and the first
//! 16 bytes of HMAC-SHA-256 (RFC 2104, FIPS 180-4) over all of this and the sender's address. What does not open, or was
//! opened before, is dropped.
//!
//! Forms: the first ends with the packet. The second adds a byte 2 and the sender's view ([`ViewTag`]). Whoever reads one form
//! skips what stands behind it, and takes what is missing for not told, so builds of both forms make one fleet.

use crate::{Packet, ViewTag};
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Bytes of a datagram at most, to pass any loopback or Ethernet link whole.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// Bytes of the seal.
const MAC_BYTES: usize = 16;
const MAGIC: &[u8; 4] = b"WFG1";
/// Begins a datagram of words: the sender's start and sequence number, then bytes that others read.
const MESSAGE_MAGIC: &[u8; 4] = b"WFW1";
/// Bytes of words in a datagram at most: magic, key, start, sequence and seal stand about them.
pub const MAX_MESSAGE_BYTES: usize = MAX_DATAGRAM_BYTES - 4 - 1 - 10 - 10 - MAC_BYTES;
/// Begins what the second form adds.
const SECOND_FORM: u8 = 2;
/// Senders remembered; beyond them the one heard longest ago is forgotten.
const MAX_SENDERS: usize = 8_192;
/// Keys held at once: a new one and those that still come in.
pub const MAX_KEYS: usize = 4;
/// Bytes of a key at least.
pub const MIN_KEY_BYTES: usize = 16;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum VerificationError {
    /// Too short, too long, or of another kind.
    #[error("garbled")]
    Malformed,
    /// Sealed with a key that is not held.
    #[error("sealed with a key that is not held")]
    UnknownKey,
    /// The seal is not of this datagram, or not of this sender.
    #[error("a broken seal")]
    InvalidMac,
    /// A process of its address that started later was heard: at that time.
    #[error("of a process before the one that was heard")]
    StaleIncarnation(u64),
    /// It was opened before, or is older than what was.
    #[error("old or doubled")]
    Replayed,
}

/// What is wrong with a text of keys.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line} of the keys: {problem}")]
pub struct KeyFileError {
    /// The line, from 1.
    pub line: usize,
    /// What is wrong, and how to mend it.
    pub problem: String,
}

/// The keys: the first seals, all open.
#[derive(Clone)]
pub struct Keys(Vec<(u8, Vec<u8>)>);

impl std::fmt::Debug for Keys {
    /// Keys are not shown.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Keys({:?})", self.0.iter().map(|(n, _)| n).collect::<Vec<_>>())
    }
}

impl Keys {
    /// Reads keys: a line each, its number (0 to 255) and the key. The first one seals. To change keys, add the new one as
    /// the second line everywhere, then put it first everywhere, then remove the old one.
    ///
    /// # Errors
    /// [`KeyFileError`]; no key is shown in it.
    pub fn read(text: &str) -> Result<Keys, KeyFileError> {
        let mut keys: Vec<(u8, Vec<u8>)> = Vec::new();
        for (n, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let wrong = |problem: &str| KeyFileError { line: n + 1, problem: problem.to_string() };
            let (number, key) =
                line.split_once(' ').ok_or_else(|| wrong("write a number, a blank and the key"))?;
            let number = number.parse::<u8>().map_err(|_| wrong("its number is not one of 0 to 255"))?;
            let key = key.trim().as_bytes().to_vec();
            if key.len() < MIN_KEY_BYTES {
                return Err(wrong("a key of less than 16 letters; take 32 at random"));
            }
            if keys.iter().any(|(k, _)| *k == number) {
                return Err(wrong("its number is taken; give it another"));
            }
            if keys.len() == MAX_KEYS {
                return Err(wrong("a fifth key; remove an old one"));
            }
            keys.push((number, key));
        }
        if keys.is_empty() {
            return Err(KeyFileError {
                line: 1,
                problem: "no key; write a number, a blank and the key".to_string(),
            });
        }
        Ok(Keys(keys))
    }

    fn mac(key: &[u8], parts: &[&[u8]]) -> Option<Hmac<Sha256>> {
        let mut mac = <Hmac<Sha256> as KeyInit>::new_from_slice(key).ok()?;
        parts.iter().for_each(|p| mac.update(p));
        Some(mac)
    }
}

#[derive(Serialize, Deserialize)]
struct Body {
    incarnation: u64,
    sequence: u64,
    packet: Packet,
}

/// Bytes of a packet within a datagram.
pub fn encoded_size(packet: &Packet) -> usize {
    let tag = packet.view_tag.map_or(0, |tag| postcard::to_stdvec(&tag).map_or(0, |bytes| 1 + bytes.len()));
    postcard::to_stdvec(packet).map_or(0, |bytes| bytes.len()) + tag
}

/// The sender's address as it is sealed in.
fn origin(from: SocketAddr) -> Vec<u8> {
    from.to_string().into_bytes()
}

/// Seals packets of one sender.
#[derive(Debug)]
pub struct Authenticator {
    own: SocketAddr,
    incarnation: u64,
    sequence: u64,
}

impl Authenticator {
    /// A sealer of a process, by its address and its start.
    pub fn new(own: SocketAddr, incarnation: u64) -> Authenticator {
        Authenticator { own, incarnation, sequence: 0 }
    }

    /// From now on as a process of this start. An earlier one is not taken.
    pub fn advance_incarnation(&mut self, incarnation: u64) {
        if incarnation > self.incarnation {
            (self.incarnation, self.sequence) = (incarnation, 0);
        }
    }

    /// A datagram; none if the packet is too long for one.
    pub fn authenticate(&mut self, packet: &Packet, keys: &Keys) -> Option<Vec<u8>> {
        let (number, key) = keys.0.first()?;
        self.sequence += 1;
        let body = Body { incarnation: self.incarnation, sequence: self.sequence, packet: packet.clone() };
        let mut bytes = postcard::to_extend(&body, self.head(MAGIC, *number)).ok()?;
        if let Some(tag) = packet.view_tag {
            bytes.push(SECOND_FORM);
            bytes = postcard::to_extend(&tag, bytes).ok()?;
        }
        self.close(bytes, key)
    }

    /// A datagram of words; none if they are too long for one.
    pub fn authenticate_message(&mut self, words: &[u8], keys: &Keys) -> Option<Vec<u8>> {
        let (number, key) = keys.0.first()?;
        self.sequence += 1;
        let mut bytes =
            postcard::to_extend(&(self.incarnation, self.sequence), self.head(MESSAGE_MAGIC, *number))
                .ok()?;
        bytes.extend_from_slice(words);
        self.close(bytes, key)
    }

    fn head(&self, magic: &[u8; 4], key: u8) -> Vec<u8> {
        [&magic[..], &[key]].concat()
    }

    fn close(&self, mut bytes: Vec<u8>, key: &[u8]) -> Option<Vec<u8>> {
        if bytes.len() + MAC_BYTES > MAX_DATAGRAM_BYTES {
            return None;
        }
        let mac = Keys::mac(key, &[&bytes, &origin(self.own)])?.finalize().into_bytes();
        bytes.extend_from_slice(&mac[..MAC_BYTES]);
        Some(bytes)
    }
}

#[derive(Debug)]
struct ReplayWindow {
    incarnation: u64,
    highest: u64,
    /// Which of the 64 numbers up to the highest were opened.
    opened: u64,
    at: u64,
}

/// Opens datagrams, each once.
#[derive(Debug, Default)]
pub struct Verifier {
    senders: BTreeMap<SocketAddr, ReplayWindow>,
    opened: u64,
}

impl Verifier {
    /// Opens a datagram that came from an address.
    ///
    /// # Errors
    /// Why it is [`VerificationError`].
    pub fn verify(
        &mut self,
        from: SocketAddr,
        datagram: &[u8],
        keys: &Keys,
    ) -> Result<Packet, VerificationError> {
        let bytes = unsealed(MAGIC, from, datagram, keys)?;
        let (mut body, rest): (Body, &[u8]) =
            postcard::take_from_bytes(bytes).map_err(|_| VerificationError::Malformed)?;
        if let Some((&SECOND_FORM, rest)) = rest.split_first() {
            let (tag, _): (ViewTag, &[u8]) =
                postcard::take_from_bytes(rest).map_err(|_| VerificationError::Malformed)?;
            body.packet.view_tag = Some(tag);
        }
        self.once(from, body.incarnation, body.sequence)?;
        Ok(body.packet)
    }

    /// Opens a datagram of words: of which start of its sender, its number, and the words.
    ///
    /// # Errors
    /// Why it is [`VerificationError`].
    pub fn verify_message<'a>(
        &mut self,
        from: SocketAddr,
        datagram: &'a [u8],
        keys: &Keys,
    ) -> Result<(u64, u64, &'a [u8]), VerificationError> {
        let bytes = unsealed(MESSAGE_MAGIC, from, datagram, keys)?;
        let ((incarnation, sequence), words): ((u64, u64), &[u8]) =
            postcard::take_from_bytes(bytes).map_err(|_| VerificationError::Malformed)?;
        self.once(from, incarnation, sequence)?;
        Ok((incarnation, sequence, words))
    }

    /// Notes a number; an error if it was seen before or is too old to tell.
    fn once(&mut self, from: SocketAddr, incarnation: u64, sequence: u64) -> Result<(), VerificationError> {
        self.opened += 1;
        let at = self.opened;
        let fresh = ReplayWindow { incarnation, highest: sequence, opened: 1, at };
        let Some(heard) = self.senders.get_mut(&from) else {
            if self.senders.len() >= MAX_SENDERS {
                let oldest = self.senders.iter().min_by_key(|(_, h)| h.at).map(|(a, _)| *a);
                oldest.and_then(|a| self.senders.remove(&a));
            }
            self.senders.insert(from, fresh);
            return Ok(());
        };
        if incarnation < heard.incarnation {
            return Err(VerificationError::StaleIncarnation(heard.incarnation));
        }
        if incarnation > heard.incarnation {
            *heard = fresh;
            return Ok(());
        }
        heard.at = at;
        if sequence > heard.highest {
            let ahead = sequence - heard.highest;
            heard.opened = if ahead >= 64 { 0 } else { heard.opened << ahead } | 1;
            heard.highest = sequence;
            return Ok(());
        }
        let behind = heard.highest - sequence;
        if behind >= 64 || heard.opened & (1 << behind) != 0 {
            return Err(VerificationError::Replayed);
        }
        heard.opened |= 1 << behind;
        Ok(())
    }
}

/// Whether a datagram says that it carries words.
pub fn is_piggybacked_message(datagram: &[u8]) -> bool {
    datagram.starts_with(MESSAGE_MAGIC)
}

/// What stands between the key's number and the seal, if that is good.
fn unsealed<'a>(
    magic: &[u8; 4],
    from: SocketAddr,
    datagram: &'a [u8],
    keys: &Keys,
) -> Result<&'a [u8], VerificationError> {
    if datagram.len() > MAX_DATAGRAM_BYTES
        || datagram.len() < magic.len() + 1 + MAC_BYTES
        || &datagram[..4] != magic
    {
        return Err(VerificationError::Malformed);
    }
    let (bytes, seal) = datagram.split_at(datagram.len() - MAC_BYTES);
    let key =
        keys.0.iter().find(|(n, _)| *n == bytes[4]).map(|(_, k)| k).ok_or(VerificationError::UnknownKey)?;
    let mac = Keys::mac(key, &[bytes, &origin(from)]).ok_or(VerificationError::InvalidMac)?;
    mac.verify_truncated_left(seal).map_err(|_| VerificationError::InvalidMac)?;
    Ok(&bytes[5..])
}
