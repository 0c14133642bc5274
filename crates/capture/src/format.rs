//! The format of capture files. All integers in headers are big endian.
//!
//! A file begins with `WFCAP`, a zero byte and the version (2 bytes). Blocks follow.
//!
//! A block begins with a header: `WFBK`, the block number (8 bytes), the times of the first and the
//! last record (8 each), the lowest and the highest accepted query id (8 each), the number of
//! records (4), the uncompressed size of the records (4), their compressed size (4), and a CRC-32
//! of the preceding header fields and the compressed records (4). The compressed records follow.
//!
//! A record in a decompressed block consists of its length (4 bytes), its CRC-32 (4) and its
//! postcard encoding.
//!
//! Versions: a reader supports its own version and all older ones, and rejects newer versions with
//! [`crate::ReadError::NewerVersion`]. Postcard identifies variants by position, so new variants of
//! [`Record`] and [`RecordedInput`] are only ever appended; records from older writers then decode
//! unchanged.
//!
//! - 1: the initial version.
//! - 2: adds inputs for callers that number queries, measure attempts and manage timers themselves,
//!   as in the simulator protocol.
//! - 3: adds the price of connections to the settings. The [`Start`] record of an older file is
//!   decoded with its own type ([`crate::older_versions`]).

use serde::{Deserialize, Serialize};
use wheelfield::interface::{EngineId, Micros, QueryId, Settings};
use wheelfield_driver::{Arrival, DriverLimits, Input, Instruction};

/// The format version written to new files.
pub const VERSION: u16 = 3;
pub(crate) const FILE_MAGIC: &[u8; 6] = b"WFCAP\0";
pub(crate) const BLOCK_MAGIC: &[u8; 4] = b"WFBK";
/// Size of a block header.
pub(crate) const BLOCK_HEADER_BYTES: usize = 4 + 8 + 8 + 8 + 8 + 8 + 4 + 4 + 4 + 4;
/// Size of a record header: the length and the CRC-32.
pub(crate) const RECORD_HEADER_BYTES: usize = 4 + 4;
/// Size of a file header: `FILE_MAGIC` and the version.
pub(crate) const FILE_HEADER_BYTES: u64 = 6 + 2;
/// Maximum size of the records in a block. The limit is generous because a checkpoint that holds
/// many queries is large.
pub(crate) const MAX_BLOCK_BYTES: usize = 256 << 20;

/// The first record of a file: the configuration that a replay needs to create the driver.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// Name and version of the program that wrote the file.
    pub build: String,
    /// Index of the controller.
    pub index: u32,
    /// Seed of the driver's random number generator.
    pub seed: u64,
    /// Settings of the policy module.
    pub settings: Settings,
    /// Limits of the driver.
    pub driver_limits: DriverLimits,
    /// Names of the classes, indexed by class.
    pub classes: Vec<String>,
    /// Names of the tenants, indexed by tenant.
    pub tenants: Vec<String>,
}

/// The input of the driver in one step. New variants are only ever appended. JSON exports of
/// captures contain the variant names, so renamed variants keep their exported names.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RecordedInput {
    /// An input event.
    Input(Input),
    /// A query arrived, and the driver assigned its id.
    Arrive {
        /// The query.
        arrival: Arrival,
        /// The name that the client gave the query.
        label: String,
    },
    /// The driver handled its timers that were due.
    #[serde(rename = "Due")]
    TimersDue,
    /// A query arrived with an id assigned by the caller.
    #[serde(rename = "ArriveAs")]
    ArriveWithId {
        /// The id of the query.
        id: QueryId,
        /// The query.
        arrival: Arrival,
        /// The name that the client gave the query.
        label: String,
    },
    /// A timer of the policy module fired. Contains the timer's token. Recorded for callers that
    /// manage the timers themselves.
    #[serde(rename = "Woke")]
    TimerFired(u64),
}

impl RecordedInput {
    /// Returns the query and the name that the client gave it, if this input is an arrival.
    pub fn arrival(&self) -> Option<(&Arrival, &str)> {
        match self {
            RecordedInput::Arrive { arrival, label }
            | RecordedInput::ArriveWithId { arrival, label, .. } => Some((arrival, label)),
            _ => None,
        }
    }
}

/// A record of a capture. New variants are only ever appended.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Record {
    /// The start of a file. This must remain variant 0, because the reader uses the position to
    /// recognize start records of older versions.
    Start(Box<Start>),
    /// A snapshot of the driver between two steps.
    Checkpoint {
        /// Time of the snapshot.
        at: Micros,
        /// The driver, encoded as postcard by the build that wrote the file. If another build
        /// cannot decode it, the replay starts from the beginning of the capture.
        driver: Vec<u8>,
    },
    /// An input of the driver and the resulting instructions.
    Step {
        /// Time of the step.
        at: Micros,
        /// The input.
        input: RecordedInput,
        /// The id of the query, if the step accepted one.
        accepted: Option<QueryId>,
        /// The instructions that the driver returned.
        instructions: Vec<Instruction>,
    },
    /// Records before this one were lost.
    Gap {
        /// Time at which the loss was recorded.
        at: Micros,
        /// Number of lost records.
        lost: u64,
    },
    /// Names of engines that were not recorded before.
    Engines(Vec<(EngineId, String)>),
}

/// A borrowed [`Record`], which is serialized without copying the data. Its variants must be in the
/// same order as those of [`Record`].
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

/// The header of a block, except its CRC-32.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct BlockHeader {
    /// Sequence number of the block in the capture, starting from 0.
    pub number: u64,
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
    /// Uncompressed size of the records.
    pub raw_bytes: u32,
    /// Compressed size of the records.
    pub compressed_bytes: u32,
}

impl BlockHeader {
    /// Encodes the header, including the CRC-32 of the header fields and the compressed records.
    pub fn encode(&self, compressed: &[u8]) -> [u8; BLOCK_HEADER_BYTES] {
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

    /// Decodes a header and its CRC-32. Returns `None` if the bytes do not begin with the block
    /// magic.
    pub fn decode(bytes: &[u8; BLOCK_HEADER_BYTES]) -> Option<(BlockHeader, u32)> {
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
