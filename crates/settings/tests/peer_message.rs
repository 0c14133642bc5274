//! Encoding and decoding of messages between controllers.

use wheelfield::interface::{EngineId, LoadReport, PeerLoadReport};
use wheelfield_settings::{decode_load_reports, encode_load_reports, MAX_MESSAGE_BYTES};

#[test]
fn decoding_returns_the_encoded_reports_without_unknown_engines() {
    let report = |engine: u64, utilisation: f64| PeerLoadReport {
        engine: EngineId(engine),
        report: LoadReport {
            utilisation: Some(utilisation),
            ..LoadReport::default()
        },
    };
    let bytes = encode_load_reports(&[report(7, 0.5), report(9, 1.25)]);
    assert_eq!(bytes.len(), 9);
    assert_eq!(
        decode_load_reports([EngineId(7), EngineId(8)].iter(), &bytes),
        [report(7, 0.5)]
    );
    assert!(decode_load_reports([EngineId(7)].iter(), &bytes[..3]).is_empty());
    assert!(encode_load_reports(&vec![report(7, 0.5); 300]).len() <= MAX_MESSAGE_BYTES);
}

#[test]
fn each_metric_is_encoded_in_one_byte() {
    let report = PeerLoadReport {
        engine: EngineId(0x0403_0201),
        report: LoadReport {
            utilisation: Some(0.5),
            in_flight: Some(300.0),
            queued: None,
            memory_granted: Some(0.25),
            disk_utilisation: Some(1.0),
        },
    };
    let bytes = encode_load_reports(std::slice::from_ref(&report));
    assert_eq!(bytes, [1 | 2 | 8 | 16, 1, 2, 3, 32, 255, 16, 64]);
    let mut expected = report;
    expected.report.in_flight = Some(255.0);
    assert_eq!(
        decode_load_reports([EngineId(0x0403_0201)].iter(), &bytes),
        [expected]
    );
}
