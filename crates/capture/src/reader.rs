//! Reads captures block by block, checking every CRC-32, to the end or to where the file is truncated.

use crate::format::{
    BlockHeader, Record, BLOCK_HEADER_BYTES, FILE_HEADER_BYTES, FILE_MAGIC, MAX_BLOCK_BYTES,
    RECORD_HEADER_BYTES, VERSION,
};
use crate::older_versions::StartV2;
use std::collections::VecDeque;
use std::fs::File;
use std::io::{BufReader, Read, Seek, SeekFrom};
use std::path::Path;

/// Why a capture can't be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The file can't be read.
    #[error("cannot read the capture: {0}")]
    Io(#[from] std::io::Error),
    /// The file is no capture.
    #[error("not a capture: it does not begin with WFCAP")]
    NotACapture,
    /// A newer program wrote it.
    #[error("a capture of version {0}; this program reads up to {VERSION}")]
    NewerVersion(u16),
    /// A part of it is not as it was written.
    #[error("damaged at byte {offset}: {reason}")]
    Damaged {
        /// The byte of the file where the block begins.
        offset: u64,
        /// What is wrong there.
        reason: String,
    },
}

/// A part of a capture, in the order of the file.
#[derive(Debug)]
pub enum Entry {
    /// A record.
    Record(Box<Record>),
    /// Blocks are missing here.
    MissingBlocks {
        /// How many.
        blocks: u64,
    },
    /// The file ends within a block, as after a crash; all before it is complete.
    Truncated {
        /// The byte at which the complete part ends.
        offset: u64,
    },
}

/// What is known of a block without decompressing it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BlockInfo {
    /// The byte of the file where it begins.
    pub offset: u64,
    /// Time of its first record, in microseconds.
    pub first_at: i64,
    /// Time of its last record, in microseconds.
    pub last_at: i64,
    /// Lowest number of the queries accepted in it; zero if there are none.
    pub lowest_query: u64,
    /// Highest number of the queries accepted in it; zero if there are none.
    pub highest_query: u64,
    /// Number of its records.
    pub records: u32,
    /// Bytes of its records, compressed.
    pub compressed_bytes: u32,
    /// Bytes of its records.
    pub raw_bytes: u32,
}

/// Reads a capture.
pub struct Reader {
    file: BufReader<File>,
    /// Where the next block begins.
    offset: u64,
    length: u64,
    version: u16,
    next_block_number: Option<u64>,
    /// Entries of the last block read.
    pending: VecDeque<Entry>,
    is_at_end: bool,
}

impl Reader {
    /// Opens a capture.
    ///
    /// # Errors
    /// [`ReadError`] if it can't be read, is no capture, or of a newer version.
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

    /// Goes to the block that begins at a byte ([`BlockInfo::offset`]).
    ///
    /// # Errors
    /// [`ReadError::Io`].
    pub fn seek_to_block(&mut self, offset: u64) -> Result<(), ReadError> {
        self.file.seek(SeekFrom::Start(offset))?;
        self.offset = offset;
        self.next_block_number = None;
        self.is_at_end = false;
        self.pending.clear();
        Ok(())
    }

    fn damaged(&self, reason: impl Into<String>) -> ReadError {
        ReadError::Damaged {
            offset: self.offset,
            reason: reason.into(),
        }
    }

    /// Reads the header of the next block; `None` where the file is truncated.
    fn read_block_header(
        &mut self,
    ) -> Result<Option<(BlockHeader, u32, [u8; BLOCK_HEADER_BYTES])>, ReadError> {
        if self.length - self.offset < BLOCK_HEADER_BYTES as u64 {
            return Ok(None);
        }
        let mut bytes = [0; BLOCK_HEADER_BYTES];
        self.file.read_exact(&mut bytes)?;
        let Some((header, crc)) = BlockHeader::parse(&bytes) else {
            return Err(self.damaged("no block begins here"));
        };
        if header.raw_bytes as usize > MAX_BLOCK_BYTES
            || header.compressed_bytes as usize > MAX_BLOCK_BYTES
        {
            return Err(self.damaged("a block of an impossible length"));
        }
        if self.length - self.offset - (BLOCK_HEADER_BYTES as u64)
            < u64::from(header.compressed_bytes)
        {
            return Ok(None);
        }
        Ok(Some((header, crc, bytes)))
    }

    /// The headers of all blocks, without decompressing any: an index by time and by query.
    ///
    /// # Errors
    /// [`ReadError`] where no block begins.
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

    /// The next entry; `None` at the end.
    ///
    /// # Errors
    /// [`ReadError::Damaged`] where a CRC-32 or a length is wrong.
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

    /// Reads and decompresses the records of a block whose header was read.
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
            return Err(self.damaged("the sum of a block is wrong"));
        }
        zstd::bulk::decompress(&compressed, header.raw_bytes as usize)
            .map_err(|e| self.damaged(format!("a block that can't be unpacked: {e}")))
    }

    /// Decodes a record by the types of the file's version.
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

    /// Splits a decompressed block into its records.
    fn decode_records(&mut self, raw: &[u8]) -> Result<(), ReadError> {
        let mut rest = raw;
        while !rest.is_empty() {
            let Some((header, body)) = rest.split_first_chunk::<RECORD_HEADER_BYTES>() else {
                return Err(self.damaged("a record without its length"));
            };
            let length = u32::from_be_bytes([header[0], header[1], header[2], header[3]]) as usize;
            let crc = u32::from_be_bytes([header[4], header[5], header[6], header[7]]);
            if body.len() < length {
                return Err(self.damaged("a record longer than its block"));
            }
            let (record, remaining) = body.split_at(length);
            if crc32fast::hash(record) != crc {
                return Err(self.damaged("the sum of a record is wrong"));
            }
            let record = self
                .decode_record(record)
                .map_err(|e| self.damaged(format!("a record that can't be read: {e}")))?;
            self.pending.push_back(Entry::Record(Box::new(record)));
            rest = remaining;
        }
        Ok(())
    }
}

/// Cuts an incomplete block off the end of a file. Returns the number of bytes cut.
///
/// # Errors
/// [`ReadError`] if it can't be read, or is damaged before its end, which is not repaired.
pub fn repair(path: &Path) -> Result<u64, ReadError> {
    let mut reader = Reader::open(path)?;
    while let Some(entry) = reader.next_entry()? {
        if let Entry::Truncated { offset } = entry {
            let cut = reader.length - offset;
            File::options().write(true).open(path)?.set_len(offset)?;
            return Ok(cut);
        }
    }
    Ok(0)
}
