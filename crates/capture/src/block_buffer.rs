//! The block that the decision thread fills with records.

use crate::format::{Head, RecordRef, RECORD_HEAD};
use wheelfield::interface::{Micros, QueryId};

/// Bytes that most records fit in.
const USUAL_RECORD_BYTES: usize = 512;

/// Serialized records, and the head of the block that they make.
#[derive(Debug)]
pub(crate) struct BlockBuffer {
    bytes: Vec<u8>,
    head: Head,
    /// Bytes that a buffer has memory for at first.
    capacity: usize,
}

impl BlockBuffer {
    /// An empty buffer for blocks of `block_bytes`.
    pub fn new(block_bytes: usize) -> BlockBuffer {
        let capacity = block_bytes * 2;
        BlockBuffer {
            bytes: Vec::with_capacity(capacity),
            head: Head::default(),
            capacity,
        }
    }

    /// Bytes of all records.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.head.records == 0
    }

    /// Adds a record.
    ///
    /// # Errors
    /// If it can't be serialized.
    pub fn push(&mut self, at: Micros, record: &RecordRef<'_>) -> Result<(), postcard::Error> {
        let start = self.bytes.len();
        let body = start + RECORD_HEAD;
        self.bytes.resize(body + USUAL_RECORD_BYTES, 0);
        match postcard::to_slice(record, &mut self.bytes[body..]).map(|used| used.len()) {
            Ok(length) => self.bytes.truncate(body + length),
            // Longer than most, as an engine list or a checkpoint.
            Err(_) => {
                self.bytes.truncate(body);
                self.bytes = postcard::to_extend(record, std::mem::take(&mut self.bytes))?;
            }
        }
        let length = (self.bytes.len() - body) as u32;
        let crc = crc32fast::hash(&self.bytes[body..]);
        self.bytes[start..start + 4].copy_from_slice(&length.to_be_bytes());
        self.bytes[start + 4..body].copy_from_slice(&crc.to_be_bytes());
        if self.head.records == 0 {
            self.head.first = at.0;
            self.head.low = u64::MAX;
        }
        self.head.last = at.0;
        self.head.records += 1;
        Ok(())
    }

    /// Takes note that a query was accepted in this block.
    pub fn note_query(&mut self, query: QueryId) {
        self.head.low = self.head.low.min(query.0);
        self.head.high = self.head.high.max(query.0);
    }

    /// Takes the block, and begins the next one; `None` if there is no record.
    pub fn take(&mut self) -> Option<(Head, Vec<u8>)> {
        let empty = Head {
            number: self.head.number,
            ..Head::default()
        };
        let mut head = std::mem::replace(&mut self.head, empty);
        if head.records == 0 {
            return None;
        }
        self.head.number += 1;
        if head.low == u64::MAX {
            (head.low, head.high) = (0, 0);
        }
        Some((
            head,
            std::mem::replace(&mut self.bytes, Vec::with_capacity(self.capacity)),
        ))
    }
}
