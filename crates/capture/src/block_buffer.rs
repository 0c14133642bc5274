//! The block that the decision thread fills with records.

use crate::format::{BlockHeader, RecordRef, RECORD_HEADER_BYTES};
use wheelfield::interface::{Micros, QueryId};

/// Bytes that most records fit in.
const USUAL_RECORD_BYTES: usize = 512;

/// Serialized records, and the header of the block that they make.
#[derive(Debug)]
pub(crate) struct BlockBuffer {
    bytes: Vec<u8>,
    header: BlockHeader,
    /// Bytes that a buffer has memory for at first.
    capacity: usize,
}

impl BlockBuffer {
    /// An empty buffer for blocks of `block_bytes`.
    pub fn new(block_bytes: usize) -> BlockBuffer {
        let capacity = block_bytes * 2;
        BlockBuffer {
            bytes: Vec::with_capacity(capacity),
            header: BlockHeader::default(),
            capacity,
        }
    }

    /// Bytes of all records.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.header.records == 0
    }

    /// Adds a record.
    ///
    /// # Errors
    /// If it can't be serialized.
    pub fn push(&mut self, at: Micros, record: &RecordRef<'_>) -> Result<(), postcard::Error> {
        let start = self.bytes.len();
        let body = start + RECORD_HEADER_BYTES;
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
        if self.header.records == 0 {
            self.header.first_at = at.0;
            self.header.lowest_query = u64::MAX;
        }
        self.header.last_at = at.0;
        self.header.records += 1;
        Ok(())
    }

    /// Takes note that a query was accepted in this block.
    pub fn observe_query(&mut self, query: QueryId) {
        self.header.lowest_query = self.header.lowest_query.min(query.0);
        self.header.highest_query = self.header.highest_query.max(query.0);
    }

    /// Takes the block, and begins the next one; `None` if there is no record.
    pub fn take(&mut self) -> Option<(BlockHeader, Vec<u8>)> {
        let empty = BlockHeader {
            number: self.header.number,
            ..BlockHeader::default()
        };
        let mut header = std::mem::replace(&mut self.header, empty);
        if header.records == 0 {
            return None;
        }
        self.header.number += 1;
        if header.lowest_query == u64::MAX {
            (header.lowest_query, header.highest_query) = (0, 0);
        }
        Some((
            header,
            std::mem::replace(&mut self.bytes, Vec::with_capacity(self.capacity)),
        ))
    }
}
