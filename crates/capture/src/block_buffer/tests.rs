use super::BlockBuffer;
use serde::{Serialize, Serializer};
use wheelfield::interface::Micros;

const BLOCK_BYTES: usize = 4_096;

/// A record that can't be serialized once its first part is.
struct Unserializable;

impl Serialize for Unserializable {
    fn serialize<S: Serializer>(&self, _: S) -> Result<S::Ok, S::Error> {
        Err(serde::ser::Error::custom("unserializable"))
    }
}

#[test]
fn a_record_that_cannot_be_serialized_leaves_those_before_it() {
    let mut buffer = BlockBuffer::new(BLOCK_BYTES);
    buffer.push(Micros(1), &"first").expect("serialized");
    let length = buffer.len();
    let record = ("a part of the record", Unserializable);
    assert!(buffer.push(Micros(2), &record).is_err());
    assert_eq!(buffer.len(), length);
    let long_record = "x".repeat(2 * BLOCK_BYTES);
    buffer.push(Micros(3), &long_record).expect("serialized");
    let (header, bytes) = buffer.take().expect("two records");
    assert_eq!(header.records, 2);
    assert!(bytes.len() > length + long_record.len());
    assert!(bytes.windows(5).any(|window| window == b"first"));
}
