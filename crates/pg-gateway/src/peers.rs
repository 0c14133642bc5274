//! Datagrams between controllers: bounded, checked, and lossy by nature. No I/O.
//!
//! A datagram is `WFP1`, the sender's number, its start, a sequence number, a count, the words, and a CRC-32 of all
//! before it. What is garbled, old, doubled or from a stranger is dropped and counted.

use std::collections::BTreeMap;
use wheelfield::interface::{EngineId, LoadReport, PeerLoadReport};

/// Bytes of a datagram at most, to pass any loopback or Ethernet link whole.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
const MAGIC: &[u8; 4] = b"WFP1";
const HEAD: usize = 4 + 4 + 8 + 4 + 2;
const TAIL: usize = 4;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DatagramError {
    /// Too short, too long, of another kind, or with a wrong sum.
    #[error("garbled")]
    Corrupt,
    /// Of a controller that is not among the peers.
    #[error("from a stranger")]
    UnknownSender,
    /// Not newer than the last of its sender.
    #[error("old or doubled")]
    Stale,
}

fn figures(report: &LoadReport) -> [Option<f64>; 5] {
    [report.utilisation, report.in_flight, report.queued, report.memory_granted, report.disk_utilisation]
}

/// Words as bytes, in parts of so many bytes at most: how many there are in each, and they.
pub fn encode_reports(words: &[PeerLoadReport], most: usize) -> Vec<(u16, Vec<u8>)> {
    let mut parts: Vec<(u16, Vec<u8>)> = Vec::new();
    for word in words {
        let told = figures(&word.report);
        let mask = told.iter().enumerate().fold(0u8, |m, (i, x)| m | (u8::from(x.is_some()) << i));
        let mut one = word.engine.0.to_be_bytes().to_vec();
        one.push(mask);
        told.iter().flatten().for_each(|x| one.extend((*x as f32).to_be_bytes()));
        match parts.last_mut() {
            Some((count, part)) if part.len() + one.len() <= most => {
                *count += 1;
                part.extend(one);
            }
            _ => parts.push((1, one)),
        }
    }
    parts
}

/// Words of bytes; none if a part of them can't be read.
pub(crate) fn decode_reports(mut rest: &[u8]) -> Option<Vec<PeerLoadReport>> {
    let rest = &mut rest;
    let mut words = Vec::new();
    while !rest.is_empty() {
        let engine = EngineId(u64::from_be_bytes(take(rest)?));
        let [mask] = take::<1>(rest)?;
        let mut told = [None; 5];
        // A figure that nobody knows of, one that is none, or one below zero makes all of it doubtful.
        if mask >= 1 << told.len() {
            return None;
        }
        for (_, slot) in told.iter_mut().enumerate().filter(|(i, _)| mask & (1 << i) != 0) {
            let x = f64::from(f32::from_be_bytes(take(rest)?));
            if !x.is_finite() || x < 0.0 {
                return None;
            }
            *slot = Some(x);
        }
        let [utilisation, in_flight, queue, memory, disks] = told;
        words.push(PeerLoadReport {
            engine,
            report: LoadReport {
                utilisation,
                in_flight,
                queued: queue,
                memory_granted: memory,
                disk_utilisation: disks,
            },
        });
    }
    Some(words)
}

/// What one controller sends.
#[derive(Debug)]
pub struct ReportSender {
    index: u32,
    start: u64,
    sequence: u32,
}

impl ReportSender {
    /// A speaker of a controller, by its number and the time of its start.
    pub fn new(index: u32, start: u64) -> ReportSender {
        ReportSender { index, start, sequence: 0 }
    }

    /// The datagrams that carry some words: as many as they need.
    pub fn datagrams(&mut self, words: &[PeerLoadReport]) -> Vec<Vec<u8>> {
        let parts = encode_reports(words, MAX_DATAGRAM_BYTES - HEAD - TAIL);
        let datagram = |(count, body): (u16, Vec<u8>)| {
            self.sequence = self.sequence.wrapping_add(1);
            let mut datagram = MAGIC.to_vec();
            datagram.extend(self.index.to_be_bytes());
            datagram.extend(self.start.to_be_bytes());
            datagram.extend(self.sequence.to_be_bytes());
            datagram.extend(count.to_be_bytes());
            datagram.extend(body);
            datagram.extend(crc32fast::hash(&datagram).to_be_bytes());
            datagram
        };
        parts.into_iter().map(datagram).collect()
    }
}

/// What one controller has heard of the others.
#[derive(Debug, Default)]
pub struct ReportReceiver {
    controllers: u32,
    own: u32,
    heard: BTreeMap<u32, (u64, u32)>,
}

fn take<const N: usize>(rest: &mut &[u8]) -> Option<[u8; N]> {
    let (first, others) = rest.split_first_chunk::<N>()?;
    *rest = others;
    Some(*first)
}

impl ReportReceiver {
    /// A listener among so many controllers, of which it is number `own`.
    pub fn new(controllers: u32, own: u32) -> ReportReceiver {
        ReportReceiver { controllers, own, heard: BTreeMap::new() }
    }

    /// Reads a datagram.
    ///
    /// # Errors
    /// Why it is [`Dropped`].
    pub fn receive(&mut self, datagram: &[u8]) -> Result<Vec<PeerLoadReport>, DatagramError> {
        if datagram.len() > MAX_DATAGRAM_BYTES || datagram.len() < HEAD + TAIL {
            return Err(DatagramError::Corrupt);
        }
        let (body, sum) = datagram.split_at(datagram.len() - TAIL);
        if crc32fast::hash(body).to_be_bytes() != sum {
            return Err(DatagramError::Corrupt);
        }
        let mut rest = body;
        let (index, start, sequence, words) = Self::parse(&mut rest).ok_or(DatagramError::Corrupt)?;
        if index >= self.controllers || index == self.own {
            return Err(DatagramError::UnknownSender);
        }
        // Later starts come first, then later numbers; half the range is behind us.
        let newer = self.heard.get(&index).is_none_or(|(s, n)| {
            start > *s || (start == *s && sequence != *n && sequence.wrapping_sub(*n) < u32::MAX / 2)
        });
        if !newer {
            return Err(DatagramError::Stale);
        }
        self.heard.insert(index, (start, sequence));
        Ok(words)
    }

    fn parse(rest: &mut &[u8]) -> Option<(u32, u64, u32, Vec<PeerLoadReport>)> {
        if &take::<4>(rest)? != MAGIC {
            return None;
        }
        let index = u32::from_be_bytes(take(rest)?);
        let start = u64::from_be_bytes(take(rest)?);
        let sequence = u32::from_be_bytes(take(rest)?);
        let count = u16::from_be_bytes(take(rest)?);
        let words = decode_reports(rest)?;
        (words.len() == usize::from(count)).then_some((index, start, sequence, words))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn words(n: u64) -> Vec<PeerLoadReport> {
        let report =
            LoadReport { utilisation: Some(0.5), memory_granted: Some(0.25), ..LoadReport::default() };
        (0..n).map(|e| PeerLoadReport { engine: EngineId(e), report }).collect()
    }

    #[test]
    fn words_go_round_and_long_ones_are_split() {
        let (mut speaker, mut listener) = (ReportSender::new(3, 100), ReportReceiver::new(5, 0));
        let all = speaker.datagrams(&words(200));
        assert!(all.len() > 1 && all.iter().all(|d| d.len() <= MAX_DATAGRAM_BYTES));
        let heard: Vec<PeerLoadReport> =
            all.iter().flat_map(|d| listener.receive(d).expect("sound")).collect();
        assert_eq!(heard, words(200));
    }

    #[test]
    fn garbled_doubled_old_and_strange_ones_are_dropped() {
        let (mut speaker, mut listener) = (ReportSender::new(3, 100), ReportReceiver::new(5, 0));
        let first = speaker.datagrams(&words(1)).remove(0);
        let second = speaker.datagrams(&words(1)).remove(0);
        for i in 0..first.len() {
            let mut garbled = first.clone();
            garbled[i] ^= 0x10;
            assert_eq!(listener.receive(&garbled), Err(DatagramError::Corrupt), "byte {i}");
        }
        assert!(listener.receive(&second).is_ok());
        assert_eq!(listener.receive(&second), Err(DatagramError::Stale), "doubled");
        assert_eq!(listener.receive(&first), Err(DatagramError::Stale), "late");
        assert!(listener.receive(&ReportSender::new(3, 101).datagrams(&words(1))[0]).is_ok(), "restarted");
        assert_eq!(
            listener.receive(&ReportSender::new(9, 1).datagrams(&words(1))[0]),
            Err(DatagramError::UnknownSender)
        );
        assert_eq!(
            listener.receive(&ReportSender::new(0, 1).datagrams(&words(1))[0]),
            Err(DatagramError::UnknownSender),
            "our own"
        );
    }

    proptest! {
        #[test]
        fn any_bytes_are_heard_or_dropped(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
            let mut with_sum = bytes.clone();
            with_sum.extend(crc32fast::hash(&bytes).to_be_bytes());
            let mut listener = ReportReceiver::new(5, 0);
            let _ = listener.receive(&bytes);
            let _ = listener.receive(&with_sum);
        }
    }
}
