//! Reading: block by block, every sum checked, to the end or to the place where it is torn.

use crate::format::{Head, Record, BLOCK_HEAD, LONGEST, MAGIC, VERSION};
use crate::older::StartOf2;
use std::fs::File;
use std::io::{BufReader, Read, Seek, SeekFrom};
use std::path::Path;

/// What can be wrong with a capture.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// It can't be read at all.
    #[error("cannot read the capture: {0}")]
    Io(#[from] std::io::Error),
    /// It is none.
    #[error("not a capture: it does not begin with WFCAP")]
    NotOne,
    /// It is of a newer program.
    #[error("a capture of version {0}; this program reads up to {VERSION}")]
    Newer(u16),
    /// Something in it is not as it was written.
    #[error("damaged at byte {at}: {what}")]
    Damaged {
        /// Where, in the file.
        at: u64,
        /// What.
        what: String,
    },
}

/// What a reading met.
#[derive(Debug)]
pub enum Entry {
    /// A record.
    Record(Box<Record>),
    /// Blocks are missing here.
    Missing {
        /// How many.
        blocks: u64,
    },
    /// The file ends amid a block, as after a crash; what came before is whole.
    Torn {
        /// The byte at which what is whole ends.
        at: u64,
    },
}

/// What is known of a block without unpacking it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// Where it begins in the file.
    pub at: u64,
    /// Time of its first and last record, in microseconds.
    pub times: (i64, i64),
    /// Lowest and highest number of the queries that were taken in it; zero if none was.
    pub queries: (u64, u64),
    /// Its records.
    pub records: u32,
    /// Bytes, as written and as unpacked.
    pub bytes: (u32, u32),
}

/// Reads a file.
pub struct Reader {
    file: BufReader<File>,
    at: u64,
    length: u64,
    version: u16,
    next_number: Option<u64>,
    waiting: std::collections::VecDeque<Entry>,
    ended: bool,
}

impl Reader {
    /// Opens a file.
    ///
    /// # Errors
    /// [`ReadError`] if it can't be read, is no capture, or of a newer version.
    pub fn open(path: &Path) -> Result<Reader, ReadError> {
        let file = File::open(path)?;
        let length = file.metadata()?.len();
        let mut file = BufReader::new(file);
        let mut head = [0; 8];
        if length < 8 {
            return Err(ReadError::NotOne);
        }
        file.read_exact(&mut head)?;
        if &head[..6] != MAGIC {
            return Err(ReadError::NotOne);
        }
        let version = u16::from_be_bytes([head[6], head[7]]);
        if version > VERSION || version == 0 {
            return Err(ReadError::Newer(version));
        }
        Ok(Reader {
            file,
            at: 8,
            length,
            version,
            next_number: None,
            waiting: Default::default(),
            ended: false,
        })
    }

    /// Goes to a block, by what [`Reader::headers`] told of it.
    ///
    /// # Errors
    /// [`ReadError::Io`].
    pub fn go_to(&mut self, at: u64) -> Result<(), ReadError> {
        self.file.seek(SeekFrom::Start(at))?;
        (self.at, self.next_number, self.ended) = (at, None, false);
        self.waiting.clear();
        Ok(())
    }

    fn damaged(&self, what: impl Into<String>) -> ReadError {
        ReadError::Damaged { at: self.at, what: what.into() }
    }

    /// The head of the block at hand; none at the end, or where the file is torn.
    fn head(&mut self) -> Result<Option<(Head, u32, [u8; BLOCK_HEAD])>, ReadError> {
        if self.length - self.at < BLOCK_HEAD as u64 {
            return Ok(None);
        }
        let mut bytes = [0; BLOCK_HEAD];
        self.file.read_exact(&mut bytes)?;
        let Some((head, crc)) = Head::parse(&bytes) else { return Err(self.damaged("no block begins here")) };
        if head.raw as usize > LONGEST || head.packed as usize > LONGEST {
            return Err(self.damaged("a block of an impossible length"));
        }
        if self.length - self.at - (BLOCK_HEAD as u64) < u64::from(head.packed) {
            return Ok(None);
        }
        Ok(Some((head, crc, bytes)))
    }

    /// What is known of each block, without unpacking any: the index by time and by query.
    ///
    /// # Errors
    /// [`ReadError`] where no block begins.
    pub fn headers(&mut self) -> Result<Vec<Header>, ReadError> {
        self.go_to(8)?;
        let mut all = Vec::new();
        while let Some((head, _, _)) = self.head()? {
            all.push(Header {
                at: self.at,
                times: (head.first, head.last),
                queries: (head.low, head.high),
                records: head.records,
                bytes: (head.packed, head.raw),
            });
            self.at += BLOCK_HEAD as u64 + u64::from(head.packed);
            self.file.seek(SeekFrom::Start(self.at))?;
        }
        self.go_to(8)?;
        Ok(all)
    }

    /// The next entry; none at the end.
    ///
    /// # Errors
    /// [`ReadError::Damaged`] with the place, where a sum or a length is wrong.
    pub fn entry(&mut self) -> Result<Option<Entry>, ReadError> {
        loop {
            if let Some(entry) = self.waiting.pop_front() {
                return Ok(Some(entry));
            }
            if self.ended || self.at == self.length {
                return Ok(None);
            }
            let Some((head, crc, bytes)) = self.head()? else {
                self.ended = true;
                return Ok(Some(Entry::Torn { at: self.at }));
            };
            let mut packed = vec![0; head.packed as usize];
            self.file.read_exact(&mut packed)?;
            let mut sum = crc32fast::Hasher::new();
            sum.update(&bytes[..BLOCK_HEAD - 4]);
            sum.update(&packed);
            if sum.finalize() != crc {
                return Err(self.damaged("the sum of a block is wrong"));
            }
            let raw = zstd::bulk::decompress(&packed, head.raw as usize)
                .map_err(|e| self.damaged(format!("a block that can't be unpacked: {e}")))?;
            if let Some(expected) = self.next_number.filter(|n| *n != head.number) {
                self.waiting
                    .push_back(Entry::Missing { blocks: head.number.saturating_sub(expected).max(1) });
            }
            self.next_number = Some(head.number + 1);
            self.unpack(&raw)?;
            self.at += BLOCK_HEAD as u64 + u64::from(head.packed);
        }
    }

    /// A record, by the shape of the file's version.
    fn record(&self, bytes: &[u8]) -> Result<Record, String> {
        match bytes.split_first() {
            Some((0, start)) if self.version < 3 => {
                let start: StartOf2 = postcard::from_bytes(start).map_err(|e| e.to_string())?;
                Ok(Record::Start(Box::new(start.today().map_err(|e| e.to_string())?)))
            }
            _ => postcard::from_bytes(bytes).map_err(|e| e.to_string()),
        }
    }

    fn unpack(&mut self, raw: &[u8]) -> Result<(), ReadError> {
        let mut rest = raw;
        while !rest.is_empty() {
            let Some((head, body)) = rest.split_first_chunk::<8>() else {
                return Err(self.damaged("a record without its length"));
            };
            let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
            let crc = u32::from_be_bytes([head[4], head[5], head[6], head[7]]);
            if body.len() < length {
                return Err(self.damaged("a record longer than its block"));
            }
            let (record, others) = body.split_at(length);
            if crc32fast::hash(record) != crc {
                return Err(self.damaged("the sum of a record is wrong"));
            }
            let record =
                self.record(record).map_err(|e| self.damaged(format!("a record that can't be read: {e}")))?;
            self.waiting.push_back(Entry::Record(Box::new(record)));
            rest = others;
        }
        Ok(())
    }
}

/// Cuts the torn end off a file; how many bytes went.
///
/// # Errors
/// [`ReadError`] if it can't be read, or is damaged before its end, which is not repaired.
pub fn repair(path: &Path) -> Result<u64, ReadError> {
    let mut reader = Reader::open(path)?;
    while let Some(entry) = reader.entry()? {
        if let Entry::Torn { at } = entry {
            let cut = reader.length - at;
            File::options().write(true).open(path)?.set_len(at)?;
            return Ok(cut);
        }
    }
    Ok(0)
}
