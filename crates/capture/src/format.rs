//! The format of a file.
//!
//! A file: `WFCAP`, a zero, the version as two bytes (big endian), then blocks. A block: `WFBK`, its number (8 bytes),
//! first and last time (8 each), lowest and highest query (8 each), records (4), bytes of the records (4), bytes as
//! compressed (4), CRC-32 of all of this and of the compressed bytes (4), then those. A record in a block: its length
//! (4), its CRC-32 (4), its postcard bytes.
//!
//! Versions: a reader takes every version up to its own. Record kinds are only ever added at the end of [`Record`], so
//! that what an older writer wrote is read as it was; a newer version than the reader's is rejected by name. The same holds for
//! the kinds of [`RecordedInput`].
//!
//! - 1: the first.
//! - 2: queries numbered, attempts measured and timers kept by the caller, as on the simulator's wire.
//! - 3: the settings have the price of connections; the start of an older file is read by its own type
//!   ([`crate::older_versions`]).

use serde::{Deserialize, Serialize};
use wheelfield::interface::{EngineId, Micros, QueryId, Settings};
use wheelfield_driver::{Arrival, DriverLimits, Input, Instruction};

/// The version written.
pub const VERSION: u16 = 3;
pub(crate) const FILE_MAGIC: &[u8; 6] = b"WFCAP\0";
pub(crate) const BLOCK_MAGIC: &[u8; 4] = b"WFBK";
/// Bytes of a block before its compressed part.
pub(crate) const BLOCK_HEADER_BYTES: usize = 4 + 8 + 8 + 8 + 8 + 8 + 4 + 4 + 4 + 4;
/// Bytes of a record before its postcard bytes: its length and its CRC-32.
pub(crate) const RECORD_HEADER_BYTES: usize = 4 + 4;
/// Bytes of a file before its first block: `FILE_MAGIC` and the version.
pub(crate) const FILE_HEADER_BYTES: u64 = 6 + 2;
/// Bytes of the records of a block, at most; a checkpoint of many queries makes a long one.
pub(crate) const MAX_BLOCK_BYTES: usize = 256 << 20;

/// The first record of a file: what a replay needs to begin.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// Name and version of the program that wrote it.
    pub build: String,
    /// The index of the controller.
    pub index: u32,
    /// The seed of its random generator.
    pub seed: u64,
    /// The settings of its module.
    pub settings: Settings,
    /// The limits of its driver.
    pub driver_limits: DriverLimits,
    /// Names of the classes, by position.
    pub classes: Vec<String>,
    /// Names of the tenants, by position.
    pub tenants: Vec<String>,
}

/// The input of a driver in one step. Kinds are only added at the end; their names stand in exports of captures.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RecordedInput {
    /// An input.
    Input(Input),
    /// A query arrived, to be numbered by the driver.
    Arrive {
        /// The query.
        arrival: Arrival,
        /// The name its client gave it.
        label: String,
    },
    /// Timers of the driver were due.
    #[serde(rename = "Due")]
    TimersDue,
    /// A query arrived with a number that the caller gave it.
    #[serde(rename = "ArriveAs")]
    ArriveWithId {
        /// The number.
        id: QueryId,
        /// The query.
        arrival: Arrival,
        /// The name its client gave it.
        label: String,
    },
    /// A timer of the module fired, with its token; for callers that keep the timers themselves.
    #[serde(rename = "Woke")]
    TimerFired(u64),
}

impl RecordedInput {
    /// The query and the name that its client gave it, if this is an arrival.
    pub fn arrival(&self) -> Option<(&Arrival, &str)> {
        match self {
            RecordedInput::Arrive { arrival, label }
            | RecordedInput::ArriveWithId { arrival, label, .. } => Some((arrival, label)),
            _ => None,
        }
    }
}

/// One record. Kinds are only added at the end.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Record {
    /// The start of a file. It is kind number 0, by which the reader recognizes that of an older version.
    Start(Box<Start>),
    /// The state of the driver between two steps.
    Checkpoint {
        /// When.
        at: Micros,
        /// The driver, as postcard of the build that wrote it. Another build may not be able to read it, and then replays from the
        /// start.
        driver: Vec<u8>,
    },
    /// An input of the driver and its answer.
    Step {
        /// When.
        at: Micros,
        /// The input.
        input: RecordedInput,
        /// The number of a query that was accepted.
        accepted: Option<QueryId>,
        /// The answer.
        instructions: Vec<Instruction>,
    },
    /// Records before this one were lost.
    Gap {
        /// When the loss was noticed.
        at: Micros,
        /// How many.
        lost: u64,
    },
    /// Names of engines, as they became known.
    Engines(Vec<(EngineId, String)>),
}

/// A [`Record`] by reference, for writing without a copy. It has the same kinds in the same order.
#[derive(Serialize)]
pub(crate) enum RecordRef<'a> {
    Start(&'a Start),
    Checkpoint {
        at: Micros,
        driver: &'a [u8],
    },
    Step {
        at: Micros,
        input: &'a RecordedInput,
        accepted: Option<QueryId>,
        instructions: &'a [Instruction],
    },
    Gap {
        at: Micros,
        lost: u64,
    },
    Engines(&'a [(EngineId, String)]),
}

/// The header of a block, without its CRC-32.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct BlockHeader {
    /// Its number in the capture, from 0.
    pub number: u64,
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
    /// Bytes of its records.
    pub raw_bytes: u32,
    /// Bytes of its records, compressed.
    pub compressed_bytes: u32,
}

impl BlockHeader {
    /// The header as written, with the CRC-32 over itself and the compressed records.
    pub fn to_bytes(&self, compressed: &[u8]) -> [u8; BLOCK_HEADER_BYTES] {
        let mut out = [0; BLOCK_HEADER_BYTES];
        let mut offset = 0;
        let mut put = |bytes: &[u8]| {
            out[offset..offset + bytes.len()].copy_from_slice(bytes);
            offset += bytes.len();
        };
        put(BLOCK_MAGIC);
        put(&self.number.to_be_bytes());
        put(&self.first_at.to_be_bytes());
        put(&self.last_at.to_be_bytes());
        put(&self.lowest_query.to_be_bytes());
        put(&self.highest_query.to_be_bytes());
        put(&self.records.to_be_bytes());
        put(&self.raw_bytes.to_be_bytes());
        put(&self.compressed_bytes.to_be_bytes());
        let mut crc = crc32fast::Hasher::new();
        crc.update(&out[..BLOCK_HEADER_BYTES - 4]);
        crc.update(compressed);
        out[BLOCK_HEADER_BYTES - 4..].copy_from_slice(&crc.finalize().to_be_bytes());
        out
    }

    /// Reads a header and the CRC-32 in it; `None` if no block begins here.
    pub fn parse(bytes: &[u8; BLOCK_HEADER_BYTES]) -> Option<(BlockHeader, u32)> {
        let u64_at = |offset: usize| {
            bytes[offset..offset + 8]
                .try_into()
                .map(u64::from_be_bytes)
                .unwrap_or(0)
        };
        let u32_at = |offset: usize| {
            bytes[offset..offset + 4]
                .try_into()
                .map(u32::from_be_bytes)
                .unwrap_or(0)
        };
        if &bytes[..4] != BLOCK_MAGIC {
            return None;
        }
        let header = BlockHeader {
            number: u64_at(4),
            first_at: u64_at(12) as i64,
            last_at: u64_at(20) as i64,
            lowest_query: u64_at(28),
            highest_query: u64_at(36),
            records: u32_at(44),
            raw_bytes: u32_at(48),
            compressed_bytes: u32_at(52),
        };
        Some((header, u32_at(56)))
    }
}
