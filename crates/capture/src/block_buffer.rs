//! Accumulates serialized records until they are handed to the writer thread as a block.

use crate::format::{BlockHeader, RECORD_HEADER_BYTES};
use serde::Serialize;
use wheelfield::interface::{Micros, QueryId};

#[cfg(test)]
mod tests;

/// Space reserved for serializing one record; most records are shorter.
const RECORD_RESERVE_BYTES: usize = 512;

/// The serialized records of the current block, and the header for them.
#[derive(Debug)]
pub(crate) struct BlockBuffer {
    bytes: Vec<u8>,
    header: BlockHeader,
    /// Initial capacity of each buffer, in bytes.
    capacity: usize,
}

impl BlockBuffer {
    /// Creates an empty buffer for blocks of about `block_bytes`.
    pub fn new(block_bytes: usize) -> BlockBuffer {
        let capacity = block_bytes * 2;
        BlockBuffer {
            bytes: Vec::with_capacity(capacity),
            header: BlockHeader::default(),
            capacity,
        }
    }

    /// Returns the total size of the serialized records in bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether the block contains no records.
    pub fn is_empty(&self) -> bool {
        self.header.records == 0
    }

    /// Serializes a record and appends it to the block.
    ///
    /// # Errors
    /// Returns an error if the record cannot be serialized. The block is unchanged then.
    pub fn push(&mut self, at: Micros, record: &impl Serialize) -> Result<(), postcard::Error> {
        let start = self.bytes.len();
        let body = start + RECORD_HEADER_BYTES;
        self.bytes.resize(body + RECORD_RESERVE_BYTES, 0);
        match postcard::to_slice(record, &mut self.bytes[body..]).map(|used| used.len()) {
            Ok(length) => self.bytes.truncate(body + length),
            // The record does not fit the reserved space, for example an engine list or a
            // checkpoint.
            Err(_) => {
                self.bytes.truncate(start);
                let long_record = postcard::to_stdvec(record)?;
                self.bytes.resize(body, 0);
                self.bytes.extend_from_slice(&long_record);
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

    /// Extends the range of accepted queries in the block header to include `query`.
    pub fn observe_query(&mut self, query: QueryId) {
        self.header.lowest_query = self.header.lowest_query.min(query.0);
        self.header.highest_query = self.header.highest_query.max(query.0);
    }

    /// Returns the current block and begins the next one. Returns `None` if the block contains no
    /// records.
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
