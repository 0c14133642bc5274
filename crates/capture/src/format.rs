//! What is on the disk.
//!
//! A file: `WFCAP`, a zero, the version as two bytes (big endian), then blocks. A block: `WFBK`, its number (8 bytes),
//! first and last time (8 each), lowest and highest query (8 each), records (4), bytes of the records (4), bytes as
//! compressed (4), CRC-32 of all of this and of the compressed bytes (4), then those. A record in a block: its length
//! (4), its CRC-32 (4), its postcard bytes.
//!
//! Versions: a reader takes every version up to its own. Record kinds are only ever added at the end of [`Record`], so
//! that what an older writer wrote is read as it was; a newer version than the reader's is refused by name. The same holds for
//! the kinds of what a driver is told.
//!
//! - 1: the first.
//! - 2: queries numbered outside, ends measured outside, timers kept outside, as on the simulator's wire.
//! - 3: the settings tell the price of connections; the start of an older file is read by its own shape ([`crate::older`]).

use serde::{Deserialize, Serialize};
use wheelfield::interface::{EngineId, Micros, QueryId, Settings};
use wheelfield_driver::{Arrival, DriverLimits, Input, Instruction};

/// The version written.
pub const VERSION: u16 = 3;
pub(crate) const MAGIC: &[u8; 6] = b"WFCAP\0";
pub(crate) const BLOCK: &[u8; 4] = b"WFBK";
/// Bytes of a block before its compressed part.
pub(crate) const BLOCK_HEAD: usize = 4 + 8 + 8 + 8 + 8 + 8 + 4 + 4 + 4 + 4;
/// Bytes of the records of a block, at most; a checkpoint of many queries makes a long one.
pub(crate) const LONGEST: usize = 256 << 20;

/// What a file begins with.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// Name and version of the program that wrote it.
    pub build: String,
    /// Which controller.
    pub index: u32,
    /// Its seed.
    pub seed: u64,
    /// What its module was handed.
    pub settings: Settings,
    /// What its driver is bounded by.
    pub bounds: DriverLimits,
    /// Names of the classes, by position.
    pub classes: Vec<String>,
    /// Names of the tenants, by position.
    pub tenants: Vec<String>,
}

/// What a driver was told in one step. Kinds are only added at the end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Told {
    /// An input.
    Input(Input),
    /// A query came.
    Arrive {
        /// As it was handed in.
        arrival: Arrival,
        /// The name its client gave it.
        label: String,
    },
    /// The time passed, and something had come due.
    Due,
    /// A query came with a number given outside.
    ArriveAs {
        /// The number.
        id: QueryId,
        /// As it was handed in.
        arrival: Arrival,
        /// The name its client gave it.
        label: String,
    },
    /// A wire that keeps the time itself told that this timer of the module ran out.
    Woke(u64),
}

impl Told {
    /// What came, and the name its client gave it, if this is an arrival.
    pub fn arrival(&self) -> Option<(&Arrival, &str)> {
        match self {
            Told::Arrive { arrival, label } | Told::ArriveAs { arrival, label, .. } => Some((arrival, label)),
            _ => None,
        }
    }
}

/// One record. Kinds are only added at the end.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Record {
    /// The beginning of a file. Its kind is number 0, by which an older file's is told from the others.
    Start(Box<Start>),
    /// The whole driver, as it is between two steps.
    Checkpoint {
        /// When.
        at: Micros,
        /// All of it, as postcard of the build that wrote it: another build may not be able to read it, and then
        /// replays from the start.
        driver: Vec<u8>,
    },
    /// Something the driver was told, and what it answered.
    Step {
        /// When.
        at: Micros,
        /// What.
        told: Told,
        /// The number of a query that was taken.
        taken: Option<QueryId>,
        /// The answer.
        out: Vec<Instruction>,
    },
    /// Records before this one were lost.
    Gap {
        /// When it was noticed.
        at: Micros,
        /// How many.
        lost: u64,
    },
    /// Names of engines, as they became known.
    Engines(Vec<(EngineId, String)>),
}

/// The same, for writing without a copy. Its kinds are those of [`Record`], in the same order.
#[derive(Serialize)]
pub(crate) enum RecordRef<'a> {
    Start(&'a Start),
    Checkpoint { at: Micros, driver: &'a [u8] },
    Step { at: Micros, told: &'a Told, taken: Option<QueryId>, out: &'a [Instruction] },
    Gap { at: Micros, lost: u64 },
    Engines(&'a [(EngineId, String)]),
}

/// What a block's head tells.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Head {
    pub number: u64,
    pub first: i64,
    pub last: i64,
    pub low: u64,
    pub high: u64,
    pub records: u32,
    pub raw: u32,
    pub packed: u32,
}

impl Head {
    pub fn bytes(&self, packed: &[u8]) -> [u8; BLOCK_HEAD] {
        let mut out = [0; BLOCK_HEAD];
        let mut at = 0;
        let mut put = |bytes: &[u8]| {
            out[at..at + bytes.len()].copy_from_slice(bytes);
            at += bytes.len();
        };
        put(BLOCK);
        put(&self.number.to_be_bytes());
        put(&self.first.to_be_bytes());
        put(&self.last.to_be_bytes());
        put(&self.low.to_be_bytes());
        put(&self.high.to_be_bytes());
        put(&self.records.to_be_bytes());
        put(&self.raw.to_be_bytes());
        put(&self.packed.to_be_bytes());
        let mut crc = crc32fast::Hasher::new();
        crc.update(&out[..BLOCK_HEAD - 4]);
        crc.update(packed);
        out[BLOCK_HEAD - 4..].copy_from_slice(&crc.finalize().to_be_bytes());
        out
    }

    /// The head and the sum that it tells; none if this is no block.
    pub fn parse(bytes: &[u8; BLOCK_HEAD]) -> Option<(Head, u32)> {
        let u64_at = |at: usize| bytes[at..at + 8].try_into().map(u64::from_be_bytes).unwrap_or(0);
        let u32_at = |at: usize| bytes[at..at + 4].try_into().map(u32::from_be_bytes).unwrap_or(0);
        if &bytes[..4] != BLOCK {
            return None;
        }
        let head = Head {
            number: u64_at(4),
            first: u64_at(12) as i64,
            last: u64_at(20) as i64,
            low: u64_at(28),
            high: u64_at(36),
            records: u32_at(44),
            raw: u32_at(48),
            packed: u32_at(52),
        };
        Some((head, u32_at(56)))
    }
}
