//! Fuzzes the capture reader: `fuzz_reader SECONDS [SEED]`. Each input is a valid capture with random damage (changed bytes and
//! lengths, truncation, spliced parts). Half of the inputs get correct checksums again, so that the damage reaches the code
//! behind the checksum. Reading must return records or an error; a panic ends the run. Prints the results and the peak memory.

use rand::{Rng as _, RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use wheelfield_capture::{Entry, Reader};

/// Length of a block header without its checksum, in bytes.
const HEADER_BYTES: usize = 56;

fn main() {
    let mut args = std::env::args().skip(1).map(|arg| arg.parse::<u64>());
    let (Some(Ok(seconds)), seed) = (args.next(), args.next().and_then(Result::ok).unwrap_or(1))
    else {
        eprintln!("usage: fuzz_reader SECONDS [SEED]");
        std::process::exit(2);
    };
    let directory = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/troubles");
    let valid_captures: Vec<Vec<u8>> = std::fs::read_dir(directory)
        .expect("read the directory of captures")
        .filter_map(|entry| std::fs::read(entry.ok()?.path()).ok())
        .collect();
    let dir = tempfile::tempdir().expect("create a temporary directory");
    let path = dir.path().join("x.wfcap");
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let end_at = Instant::now() + Duration::from_secs(seconds);
    let (mut files, mut records): (u64, u64) = (0, 0);
    let mut results: BTreeMap<String, u64> = BTreeMap::new();
    while Instant::now() < end_at {
        let mut bytes = valid_captures[rng.random_range(0..valid_captures.len())].clone();
        bytes.truncate(rng.random_range(8..=bytes.len().min(12_000)));
        damage(&mut rng, &mut bytes, &valid_captures);
        if rng.random_bool(0.5) {
            fix_checksums(&mut bytes);
        }
        std::fs::write(&path, &bytes).expect("write the file");
        files += 1;
        *results
            .entry(read_capture(&path, &mut records))
            .or_default() += 1;
    }
    println!(
        "{files} files, {records} records read, no panic, peak memory {} kB",
        peak_kb()
    );
    for (result, count) in results {
        println!("{count:>9}  {result}");
    }
}

/// Damages a capture in one to five random places.
fn damage(rng: &mut Pcg64Mcg, bytes: &mut Vec<u8>, valid_captures: &[Vec<u8>]) {
    for _ in 0..rng.random_range(1..6) {
        if bytes.is_empty() {
            return;
        }
        let at = rng.random_range(0..bytes.len());
        match rng.random_range(0..5) {
            0 => bytes[at] ^= 1 << rng.random_range(0..8),
            1 => {
                let end = bytes.len().min(at + 8);
                rng.fill_bytes(&mut bytes[at..end]);
            }
            2 => bytes.truncate(at),
            3 => {
                let other = &valid_captures[rng.random_range(0..valid_captures.len())];
                let from = rng.random_range(0..other.len());
                let to = other.len().min(from + rng.random_range(1..400));
                bytes.splice(at..at, other[from..to].iter().copied());
            }
            // Makes a length or count far too large, if there is one at this place.
            _ => {
                let end = bytes.len().min(at + 4);
                bytes[at..end].fill(0xff);
            }
        }
    }
}

/// Writes the correct checksum of each block.
fn fix_checksums(bytes: &mut [u8]) {
    let mut at = 8;
    while bytes.len() >= at + HEADER_BYTES + 4 && &bytes[at..at + 4] == b"WFBK" {
        let length = u32::from_be_bytes([
            bytes[at + 52],
            bytes[at + 53],
            bytes[at + 54],
            bytes[at + 55],
        ]) as usize;
        let (from, to) = (
            at + HEADER_BYTES + 4,
            (at + HEADER_BYTES + 4).saturating_add(length),
        );
        if to > bytes.len() {
            return;
        }
        let mut checksum = crc32fast::Hasher::new();
        checksum.update(&bytes[at..at + HEADER_BYTES]);
        checksum.update(&bytes[from..to]);
        bytes[at + HEADER_BYTES..from].copy_from_slice(&checksum.finalize().to_be_bytes());
        at = to;
    }
}

/// Reads a capture to its end or first error, and returns which it was.
fn read_capture(path: &std::path::Path, records: &mut u64) -> String {
    let mut reader = match Reader::open(path) {
        Ok(reader) => reader,
        Err(error) => return first_words(&error.to_string()),
    };
    // Also fuzzes the reading of all block headers, and seeking.
    let _ = reader.block_infos();
    if reader.seek_to_block(8).is_err() {
        return "seek failed".into();
    }
    loop {
        match reader.next_entry() {
            Ok(Some(Entry::Record(_))) => *records += 1,
            Ok(Some(Entry::MissingBlocks { .. })) => {}
            Ok(Some(Entry::Truncated { .. })) => return "incomplete block at the end".into(),
            Ok(None) => return "complete".into(),
            Err(error) => return first_words(&error.to_string()),
        }
    }
}

/// Shortens an error message to its first words without numbers, so that equal errors are counted together.
fn first_words(message: &str) -> String {
    let description = message.split(": ").nth(1).unwrap_or(message);
    description
        .split(' ')
        .filter(|word| word.trim_end_matches(';').parse::<u64>().is_err())
        .take(9)
        .collect::<Vec<_>>()
        .join(" ")
}

/// Returns the peak resident memory of this process.
fn peak_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let value = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    value
        .and_then(|value| value.trim().split(' ').next()?.parse().ok())
        .unwrap_or(0)
}
