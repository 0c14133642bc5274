//! Reads captures block by block and verifies every CRC-32. A truncated block at the end of the
//! file is reported as [`Entry::Truncated`].

use crate::format::{
    BlockHeader, Record, BLOCK_HEADER_BYTES, FILE_HEADER_BYTES, FILE_MAGIC, MAX_BLOCK_BYTES,
    RECORD_HEADER_BYTES, VERSION,
};
use crate::older_versions::StartV2;
use std::collections::VecDeque;
use std::fs::File;
use std::io::{BufReader, Read, Seek, SeekFrom};
use std::path::Path;

/// The reasons why a capture cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The file cannot be read.
    #[error("cannot read the capture: {0}")]
    Io(#[from] std::io::Error),
    /// The file is not a capture.
    #[error("not a capture file: it does not begin with WFCAP")]
    NotACapture,
    /// The file has a format version that this program does not support.
    #[error("unsupported capture version {0}; this program supports versions up to {VERSION}")]
    NewerVersion(u16),
    /// A block is corrupt.
    #[error("corrupt capture at byte {offset}: {reason}")]
    Corrupt {
        /// Offset of the corrupt block in the file.
        offset: u64,
        /// Description of the corruption.
        reason: String,
    },
}

/// An entry of a capture, in file order.
#[derive(Debug)]
pub enum Entry {
    /// A record.
    Record(Box<Record>),
    /// One or more blocks are missing at this position.
    MissingBlocks {
        /// Number of missing blocks.
        blocks: u64,
    },
    /// The file ends within a block, for example after a crash. All preceding blocks are complete.
    Truncated {
        /// Offset at which the incomplete block begins.
        offset: u64,
    },
}

/// Information about a block that is available without decompressing it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BlockInfo {
    /// Offset of the block in the file.
    pub offset: u64,
    /// Time of the first record, in microseconds.
    pub first_at: i64,
    /// Time of the last record, in microseconds.
    pub last_at: i64,
    /// Lowest id of the queries accepted in the block, or 0 if none were accepted.
    pub lowest_query: u64,
    /// Highest id of the queries accepted in the block, or 0 if none were accepted.
    pub highest_query: u64,
    /// Number of records.
    pub records: u32,
    /// Compressed size of the records.
    pub compressed_bytes: u32,
    /// Uncompressed size of the records.
    pub raw_bytes: u32,
}

/// Reads the entries of a capture file in order.
pub struct Reader {
    file: BufReader<File>,
    /// Offset of the next block in the file.
    offset: u64,
    length: u64,
    version: u16,
    next_block_number: Option<u64>,
    /// Entries of the last block read that were not returned yet.
    pending: VecDeque<Entry>,
    is_at_end: bool,
}

impl Reader {
    /// Opens a capture file.
    ///
    /// # Errors
    /// Returns a [`ReadError`] if the file cannot be read, is not a capture, or has an unsupported
    /// version.
    pub fn open(path: &Path) -> Result<Reader, ReadError> {
        let file = File::open(path)?;
        let length = file.metadata()?.len();
        let mut file = BufReader::new(file);
        let mut header = [0; FILE_HEADER_BYTES as usize];
        if length < FILE_HEADER_BYTES {
            return Err(ReadError::NotACapture);
        }
        file.read_exact(&mut header)?;
        if &header[..6] != FILE_MAGIC {
            return Err(ReadError::NotACapture);
        }
        let version = u16::from_be_bytes([header[6], header[7]]);
        if version > VERSION || version == 0 {
            return Err(ReadError::NewerVersion(version));
        }
        Ok(Reader {
            file,
            offset: FILE_HEADER_BYTES,
            length,
            version,
            next_block_number: None,
            pending: VecDeque::new(),
            is_at_end: false,
        })
    }

    /// Continues reading at the block that begins at `offset` (see [`BlockInfo::offset`]).
    ///
    /// # Errors
    /// Returns [`ReadError::Io`] if the file cannot be positioned.
    pub fn seek_to_block(&mut self, offset: u64) -> Result<(), ReadError> {
        self.file.seek(SeekFrom::Start(offset))?;
        self.offset = offset;
        self.next_block_number = None;
        self.is_at_end = false;
        self.pending.clear();
        Ok(())
    }

    fn corrupt_error(&self, reason: impl Into<String>) -> ReadError {
        ReadError::Corrupt {
            offset: self.offset,
            reason: reason.into(),
        }
    }

    /// Reads the header of the next block. Returns `None` if the file ends before the end of the
    /// block.
    fn read_block_header(
        &mut self,
    ) -> Result<Option<(BlockHeader, u32, [u8; BLOCK_HEADER_BYTES])>, ReadError> {
        if self.length - self.offset < BLOCK_HEADER_BYTES as u64 {
            return Ok(None);
        }
        let mut bytes = [0; BLOCK_HEADER_BYTES];
        self.file.read_exact(&mut bytes)?;
        let Some((header, crc)) = BlockHeader::decode(&bytes) else {
            return Err(self.corrupt_error("invalid block header"));
        };
        if header.raw_bytes as usize > MAX_BLOCK_BYTES
            || header.compressed_bytes as usize > MAX_BLOCK_BYTES
        {
            return Err(self.corrupt_error("block size exceeds the limit"));
        }
        if self.length - self.offset - (BLOCK_HEADER_BYTES as u64)
            < u64::from(header.compressed_bytes)
        {
            return Ok(None);
        }
        Ok(Some((header, crc, bytes)))
    }

    /// Returns information about all blocks without decompressing them. It serves as an index by
    /// time and by query.
    ///
    /// # Errors
    /// Returns a [`ReadError`] if the file cannot be read or a block header is invalid.
    pub fn block_infos(&mut self) -> Result<Vec<BlockInfo>, ReadError> {
        self.seek_to_block(FILE_HEADER_BYTES)?;
        let mut all = Vec::new();
        while let Some((header, _, _)) = self.read_block_header()? {
            all.push(BlockInfo {
                offset: self.offset,
                first_at: header.first_at,
                last_at: header.last_at,
                lowest_query: header.lowest_query,
                highest_query: header.highest_query,
                records: header.records,
                compressed_bytes: header.compressed_bytes,
                raw_bytes: header.raw_bytes,
            });
            self.offset += BLOCK_HEADER_BYTES as u64 + u64::from(header.compressed_bytes);
            self.file.seek(SeekFrom::Start(self.offset))?;
        }
        self.seek_to_block(FILE_HEADER_BYTES)?;
        Ok(all)
    }

    /// Returns the next entry, or `None` at the end of the file.
    ///
    /// # Errors
    /// Returns [`ReadError::Corrupt`] if a block or a record is corrupt, or [`ReadError::Io`] if
    /// the file cannot be read.
    pub fn next_entry(&mut self) -> Result<Option<Entry>, ReadError> {
        loop {
            if let Some(entry) = self.pending.pop_front() {
                return Ok(Some(entry));
            }
            if self.is_at_end || self.offset == self.length {
                return Ok(None);
            }
            let Some((header, crc, bytes)) = self.read_block_header()? else {
                self.is_at_end = true;
                return Ok(Some(Entry::Truncated {
                    offset: self.offset,
                }));
            };
            let raw = self.decompress_block(&header, crc, &bytes)?;
            if let Some(expected) = self.next_block_number.filter(|n| *n != header.number) {
                self.pending.push_back(Entry::MissingBlocks {
                    blocks: header.number.saturating_sub(expected).max(1),
                });
            }
            self.next_block_number = Some(header.number + 1);
            self.decode_records(&raw)?;
            self.offset += BLOCK_HEADER_BYTES as u64 + u64::from(header.compressed_bytes);
        }
    }

    /// Reads, verifies and decompresses the records of the block whose header was just read.
    fn decompress_block(
        &mut self,
        header: &BlockHeader,
        crc: u32,
        header_bytes: &[u8; BLOCK_HEADER_BYTES],
    ) -> Result<Vec<u8>, ReadError> {
        let mut compressed = vec![0; header.compressed_bytes as usize];
        self.file.read_exact(&mut compressed)?;
        let mut hasher = crc32fast::Hasher::new();
        hasher.update(&header_bytes[..BLOCK_HEADER_BYTES - 4]);
        hasher.update(&compressed);
        if hasher.finalize() != crc {
            return Err(self.corrupt_error("block checksum mismatch"));
        }
        zstd::bulk::decompress(&compressed, header.raw_bytes as usize)
            .map_err(|e| self.corrupt_error(format!("block cannot be decompressed: {e}")))
    }

    /// Decodes a record with the types of the file's format version.
    fn decode_record(&self, bytes: &[u8]) -> Result<Record, String> {
        match bytes.split_first() {
            Some((0, start)) if self.version < 3 => {
                let start: StartV2 = postcard::from_bytes(start).map_err(|e| e.to_string())?;
                Ok(Record::Start(Box::new(
                    start.into_current().map_err(|e| e.to_string())?,
                )))
            }
            _ => postcard::from_bytes(bytes).map_err(|e| e.to_string()),
        }
    }

    /// Decodes the records of a decompressed block and queues them as pending entries.
    fn decode_records(&mut self, raw: &[u8]) -> Result<(), ReadError> {
        let mut rest = raw;
        while !rest.is_empty() {
            let Some((header, body)) = rest.split_first_chunk::<RECORD_HEADER_BYTES>() else {
                return Err(self.corrupt_error("incomplete record header"));
            };
            let length = u32::from_be_bytes([header[0], header[1], header[2], header[3]]) as usize;
            let crc = u32::from_be_bytes([header[4], header[5], header[6], header[7]]);
            if body.len() < length {
                return Err(self.corrupt_error("record extends past the end of its block"));
            }
            let (record, remaining) = body.split_at(length);
            if crc32fast::hash(record) != crc {
                return Err(self.corrupt_error("record checksum mismatch"));
            }
            let record = self
                .decode_record(record)
                .map_err(|e| self.corrupt_error(format!("record cannot be decoded: {e}")))?;
            self.pending.push_back(Entry::Record(Box::new(record)));
            rest = remaining;
        }
        Ok(())
    }
}

/// Truncates the file before an incomplete block at its end. Returns the number of bytes removed.
///
/// # Errors
/// Returns a [`ReadError`] if the file cannot be read or written, or if a complete block is
/// corrupt, which this function does not repair.
pub fn repair(path: &Path) -> Result<u64, ReadError> {
    let mut reader = Reader::open(path)?;
    while let Some(entry) = reader.next_entry()? {
        if let Entry::Truncated { offset } = entry {
            let removed_bytes = reader.length - offset;
            File::options().write(true).open(path)?.set_len(offset)?;
            return Ok(removed_bytes);
        }
    }
    Ok(0)
}
