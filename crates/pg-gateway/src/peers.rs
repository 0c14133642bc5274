//! The datagram format of load reports between controllers. Delivery is unreliable; this module does no
//! I/O.
//!
//! A datagram consists of the magic `WFP1`, the index and the incarnation (start time) of the sender, a
//! sequence number, the number of reports, the reports, and a CRC-32 of all preceding bytes. Datagrams that
//! are malformed, stale, duplicated or from an unknown sender are dropped and counted.

use std::collections::BTreeMap;
use wheelfield::interface::{EngineId, LoadReport, PeerLoadReport};

/// Maximum size of a datagram, which fits in an Ethernet frame without fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
const MAGIC: &[u8; 4] = b"WFP1";
const HEADER_BYTES: usize = 4 + 4 + 8 + 4 + 2;
const CHECKSUM_BYTES: usize = 4;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DatagramError {
    /// Too short, too long, of another format, or with a wrong checksum.
    #[error("malformed datagram")]
    Corrupt,
    /// The index of the sender is not that of another controller, or its address is not that of a peer.
    #[error("unknown sender")]
    UnknownSender,
    /// Not newer than the last datagram of its sender.
    #[error("stale or duplicate datagram")]
    Stale,
}

fn report_values(report: &LoadReport) -> [Option<f64>; 5] {
    [report.utilisation, report.in_flight, report.queued, report.memory_granted, report.disk_utilisation]
}

/// Encodes reports into payloads of at most `max_bytes` each, with the number of reports in each payload.
pub fn encode_reports(reports: &[PeerLoadReport], max_bytes: usize) -> Vec<(u16, Vec<u8>)> {
    let mut payloads: Vec<(u16, Vec<u8>)> = Vec::new();
    for report in reports {
        let values = report_values(&report.report);
        let mask =
            values.iter().enumerate().fold(0u8, |mask, (i, value)| mask | (u8::from(value.is_some()) << i));
        let mut encoded = report.engine.0.to_be_bytes().to_vec();
        encoded.push(mask);
        values.iter().flatten().for_each(|value| encoded.extend((*value as f32).to_be_bytes()));
        match payloads.last_mut() {
            Some((count, payload)) if payload.len() + encoded.len() <= max_bytes => {
                *count += 1;
                payload.extend(encoded);
            }
            _ => payloads.push((1, encoded)),
        }
    }
    payloads
}

/// Decodes the reports of a payload. Returns `None` if any of it is invalid.
pub(crate) fn decode_reports(mut rest: &[u8]) -> Option<Vec<PeerLoadReport>> {
    let rest = &mut rest;
    let mut reports = Vec::new();
    while !rest.is_empty() {
        let engine = EngineId(u64::from_be_bytes(take(rest)?));
        let [mask] = take::<1>(rest)?;
        let mut values = [None; 5];
        // An unknown field, or a value that is negative or not finite, invalidates the whole payload.
        if mask >= 1 << values.len() {
            return None;
        }
        for (_, slot) in values.iter_mut().enumerate().filter(|(i, _)| mask & (1 << i) != 0) {
            let value = f64::from(f32::from_be_bytes(take(rest)?));
            if !value.is_finite() || value < 0.0 {
                return None;
            }
            *slot = Some(value);
        }
        let [utilisation, in_flight, queue, memory, disks] = values;
        reports.push(PeerLoadReport {
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
    Some(reports)
}

/// Encodes the datagrams of one controller.
#[derive(Debug)]
pub struct ReportSender {
    index: u32,
    incarnation: u64,
    sequence: u32,
}

impl ReportSender {
    /// A sender with the index of a controller and its incarnation.
    pub fn new(index: u32, incarnation: u64) -> ReportSender {
        ReportSender { index, incarnation, sequence: 0 }
    }

    /// Encodes reports into as many datagrams as they need.
    pub fn datagrams(&mut self, reports: &[PeerLoadReport]) -> Vec<Vec<u8>> {
        let payloads = encode_reports(reports, MAX_DATAGRAM_BYTES - HEADER_BYTES - CHECKSUM_BYTES);
        let datagram = |(count, body): (u16, Vec<u8>)| {
            self.sequence = self.sequence.wrapping_add(1);
            let mut datagram = MAGIC.to_vec();
            datagram.extend(self.index.to_be_bytes());
            datagram.extend(self.incarnation.to_be_bytes());
            datagram.extend(self.sequence.to_be_bytes());
            datagram.extend(count.to_be_bytes());
            datagram.extend(body);
            datagram.extend(crc32fast::hash(&datagram).to_be_bytes());
            datagram
        };
        payloads.into_iter().map(datagram).collect()
    }
}

/// Decodes the datagrams of the other controllers and drops duplicates.
#[derive(Debug, Default)]
pub struct ReportReceiver {
    controller_count: u32,
    own_index: u32,
    last_received: BTreeMap<u32, (u64, u32)>,
}

fn take<const N: usize>(rest: &mut &[u8]) -> Option<[u8; N]> {
    let (first, others) = rest.split_first_chunk::<N>()?;
    *rest = others;
    Some(*first)
}

impl ReportReceiver {
    /// A receiver in a group of `controller_count` controllers, of which it has index `own_index`.
    pub fn new(controller_count: u32, own_index: u32) -> ReportReceiver {
        ReportReceiver { controller_count, own_index, last_received: BTreeMap::new() }
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    /// Returns the [`DatagramError`] for which the datagram is dropped.
    pub fn receive(&mut self, datagram: &[u8]) -> Result<Vec<PeerLoadReport>, DatagramError> {
        if datagram.len() > MAX_DATAGRAM_BYTES || datagram.len() < HEADER_BYTES + CHECKSUM_BYTES {
            return Err(DatagramError::Corrupt);
        }
        let (body, checksum) = datagram.split_at(datagram.len() - CHECKSUM_BYTES);
        if crc32fast::hash(body).to_be_bytes() != checksum {
            return Err(DatagramError::Corrupt);
        }
        let mut rest = body;
        let (index, incarnation, sequence, reports) = Self::parse(&mut rest).ok_or(DatagramError::Corrupt)?;
        if index >= self.controller_count || index == self.own_index {
            return Err(DatagramError::UnknownSender);
        }
        // A later incarnation is newer, then a later sequence number. Sequence numbers wrap around, so
        // those in the preceding half of the range are older.
        let is_newer = self.last_received.get(&index).is_none_or(|(last_incarnation, last_sequence)| {
            incarnation > *last_incarnation
                || (incarnation == *last_incarnation
                    && sequence != *last_sequence
                    && sequence.wrapping_sub(*last_sequence) < u32::MAX / 2)
        });
        if !is_newer {
            return Err(DatagramError::Stale);
        }
        self.last_received.insert(index, (incarnation, sequence));
        Ok(reports)
    }

    fn parse(rest: &mut &[u8]) -> Option<(u32, u64, u32, Vec<PeerLoadReport>)> {
        if &take::<4>(rest)? != MAGIC {
            return None;
        }
        let index = u32::from_be_bytes(take(rest)?);
        let incarnation = u64::from_be_bytes(take(rest)?);
        let sequence = u32::from_be_bytes(take(rest)?);
        let count = u16::from_be_bytes(take(rest)?);
        let reports = decode_reports(rest)?;
        (reports.len() == usize::from(count)).then_some((index, incarnation, sequence, reports))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn reports(n: u64) -> Vec<PeerLoadReport> {
        let report =
            LoadReport { utilisation: Some(0.5), memory_granted: Some(0.25), ..LoadReport::default() };
        (0..n).map(|e| PeerLoadReport { engine: EngineId(e), report }).collect()
    }

    #[test]
    fn reports_round_trip_and_long_lists_are_split() {
        let (mut sender, mut receiver) = (ReportSender::new(3, 100), ReportReceiver::new(5, 0));
        let all = sender.datagrams(&reports(200));
        assert!(all.len() > 1 && all.iter().all(|d| d.len() <= MAX_DATAGRAM_BYTES));
        let received: Vec<PeerLoadReport> =
            all.iter().flat_map(|d| receiver.receive(d).expect("a valid datagram")).collect();
        assert_eq!(received, reports(200));
    }

    #[test]
    fn malformed_duplicate_stale_and_unknown_datagrams_are_dropped() {
        let (mut sender, mut receiver) = (ReportSender::new(3, 100), ReportReceiver::new(5, 0));
        let first = sender.datagrams(&reports(1)).remove(0);
        let second = sender.datagrams(&reports(1)).remove(0);
        for i in 0..first.len() {
            let mut corrupt = first.clone();
            corrupt[i] ^= 0x10;
            assert_eq!(receiver.receive(&corrupt), Err(DatagramError::Corrupt), "byte {i}");
        }
        assert!(receiver.receive(&second).is_ok());
        assert_eq!(receiver.receive(&second), Err(DatagramError::Stale), "duplicate");
        assert_eq!(receiver.receive(&first), Err(DatagramError::Stale), "out of order");
        assert!(receiver.receive(&ReportSender::new(3, 101).datagrams(&reports(1))[0]).is_ok(), "restarted");
        assert_eq!(
            receiver.receive(&ReportSender::new(9, 1).datagrams(&reports(1))[0]),
            Err(DatagramError::UnknownSender)
        );
        assert_eq!(
            receiver.receive(&ReportSender::new(0, 1).datagrams(&reports(1))[0]),
            Err(DatagramError::UnknownSender),
            "own index"
        );
    }

    proptest! {
        #[test]
        fn any_bytes_are_decoded_or_dropped(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
            let mut with_checksum = bytes.clone();
            with_checksum.extend(crc32fast::hash(&bytes).to_be_bytes());
            let mut receiver = ReportReceiver::new(5, 0);
            let _ = receiver.receive(&bytes);
            let _ = receiver.receive(&with_checksum);
        }
    }
}
