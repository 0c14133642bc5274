//! The encoding of load reports in messages between controllers.
//!
//! The first byte is a bit mask of the metrics in the message. Then follows a record for each
//! engine: the lowest three bytes of its identifier, then one byte for each metric in the mask.

use wheelfield::interface::{EngineId, LoadReport, PeerLoadReport};

/// Maximum length of a message in bytes. The operators' price of a message refers to this length.
pub const MAX_MESSAGE_BYTES: usize = 256;
/// Bytes of an engine's identifier in a message.
const ENGINE_BYTES: usize = 3;

/// How a metric is encoded: its bit in the mask, and the value that one unit of its byte stands
/// for.
struct Encoding {
    bit: u8,
    unit: f64,
}

/// The encodings, in the order of [`metrics`].
const ENCODINGS: [Encoding; 5] = [
    Encoding {
        bit: 1,
        unit: 1.0 / 64.0,
    },
    Encoding { bit: 2, unit: 1.0 },
    Encoding { bit: 4, unit: 1.0 },
    Encoding {
        bit: 8,
        unit: 1.0 / 64.0,
    },
    Encoding {
        bit: 16,
        unit: 1.0 / 64.0,
    },
];

fn metrics(report: &LoadReport) -> [Option<f64>; ENCODINGS.len()] {
    [
        report.utilisation,
        report.in_flight,
        report.queued,
        report.memory_granted,
        report.disk_utilisation,
    ]
}

/// Encodes load reports. All reports of a message have the same metrics as the first one; reports
/// with other metrics are left out. The message is truncated to [`MAX_MESSAGE_BYTES`].
pub fn encode_load_reports(reports: &[PeerLoadReport]) -> Vec<u8> {
    let mask = reports
        .first()
        .map_or(0, |first| metric_mask(&first.report));
    let mut bytes = vec![mask];
    for PeerLoadReport { engine, report } in
        reports.iter().filter(|r| metric_mask(&r.report) == mask)
    {
        bytes.extend(&engine.0.to_le_bytes()[..ENGINE_BYTES]);
        let carried = metrics(report)
            .into_iter()
            .zip(&ENCODINGS)
            .filter_map(|(value, e)| Some(value? / e.unit));
        bytes.extend(carried.map(|value| value.round().clamp(0.0, 255.0) as u8));
    }
    bytes.truncate(MAX_MESSAGE_BYTES);
    bytes
}

/// The bit mask of the metrics that a report contains.
fn metric_mask(report: &LoadReport) -> u8 {
    let present = metrics(report)
        .into_iter()
        .zip(&ENCODINGS)
        .filter(|(value, _)| value.is_some());
    present.fold(0, |mask, (_, encoding)| mask | encoding.bit)
}

/// Decodes a message. Incomplete records and records of engines that are not in `known` are left
/// out.
pub fn decode_load_reports<'a>(
    known: impl Iterator<Item = &'a EngineId> + Clone,
    bytes: &[u8],
) -> Vec<PeerLoadReport> {
    let Some((&mask, records)) = bytes.split_first() else {
        return Vec::new();
    };
    let metric_count = ENCODINGS
        .iter()
        .filter(|encoding| mask & encoding.bit != 0)
        .count();
    let mut reports = Vec::new();
    for record in records.chunks_exact(ENGINE_BYTES + metric_count) {
        let (number, values) = record.split_at(ENGINE_BYTES);
        let report = decode_metrics(mask, values);
        let engine = known
            .clone()
            .find(|engine| engine.0.to_le_bytes()[..ENGINE_BYTES] == *number);
        reports.extend(engine.map(|&engine| PeerLoadReport { engine, report }));
    }
    reports
}

/// Decodes the metrics of one engine, with one byte for each bit of the mask.
fn decode_metrics(mask: u8, values: &[u8]) -> LoadReport {
    let mut values = values.iter();
    let mut next_metric = |Encoding { bit, unit }: &Encoding| {
        let value = if mask & bit != 0 { values.next() } else { None };
        value.map(|value| f64::from(*value) * unit)
    };
    let [utilisation, in_flight, queued, memory_granted, disk_utilisation] =
        ENCODINGS.each_ref().map(&mut next_metric);
    LoadReport {
        utilisation,
        in_flight,
        queued,
        memory_granted,
        disk_utilisation,
    }
}
