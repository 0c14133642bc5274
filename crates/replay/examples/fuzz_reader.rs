//! Broken captures without end, for so many seconds: `fuzz_reader SECONDS [SEED]`. Each begins as a sound one, is damaged by
//! chance (bytes, lengths, cuts, splices), and half of the time its sums are made right again, so that the damage reaches
//! what lies below them. Reading must give records or a named fault; a panic ends the run, and the memory is told.

use rand::{Rng as _, RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use wheelfield_capture::{Entry, Reader};

/// Bytes of a block's head, up to its sum.
const HEAD: usize = 56;

fn main() {
    let mut args = std::env::args().skip(1).map(|a| a.parse::<u64>());
    let (Some(Ok(seconds)), seed) = (args.next(), args.next().and_then(Result::ok).unwrap_or(1))
    else {
        eprintln!("fuzz_reader SECONDS [SEED]");
        std::process::exit(2);
    };
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/troubles");
    let sound: Vec<Vec<u8>> = std::fs::read_dir(folder)
        .expect("the captures")
        .filter_map(|e| std::fs::read(e.ok()?.path()).ok())
        .collect();
    let dir = tempfile::tempdir().expect("a directory");
    let path = dir.path().join("x.wfcap");
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let until = Instant::now() + Duration::from_secs(seconds);
    let (mut files, mut records): (u64, u64) = (0, 0);
    let mut ends: BTreeMap<String, u64> = BTreeMap::new();
    while Instant::now() < until {
        let mut bytes = sound[rng.random_range(0..sound.len())].clone();
        bytes.truncate(rng.random_range(8..=bytes.len().min(12_000)));
        damage(&mut rng, &mut bytes, &sound);
        if rng.random_bool(0.5) {
            mend_sums(&mut bytes);
        }
        std::fs::write(&path, &bytes).expect("written");
        files += 1;
        *ends.entry(read(&path, &mut records)).or_default() += 1;
    }
    println!(
        "{files} files, {records} records read, no panic, {} kB of memory at most",
        peak_kb()
    );
    for (end, n) in ends {
        println!("{n:>9}  {end}");
    }
}

fn damage(rng: &mut Pcg64Mcg, bytes: &mut Vec<u8>, sound: &[Vec<u8>]) {
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
                let other = &sound[rng.random_range(0..sound.len())];
                let from = rng.random_range(0..other.len());
                let to = other.len().min(from + rng.random_range(1..400));
                bytes.splice(at..at, other[from..to].iter().copied());
            }
            // A length or count that is far too long.
            _ => {
                let end = bytes.len().min(at + 4);
                bytes[at..end].fill(0xff);
            }
        }
    }
}

/// Makes the sum of each block right for what it holds now.
fn mend_sums(bytes: &mut [u8]) {
    let mut at = 8;
    while bytes.len() >= at + HEAD + 4 && &bytes[at..at + 4] == b"WFBK" {
        let length = u32::from_be_bytes([
            bytes[at + 52],
            bytes[at + 53],
            bytes[at + 54],
            bytes[at + 55],
        ]) as usize;
        let (from, to) = (at + HEAD + 4, (at + HEAD + 4).saturating_add(length));
        if to > bytes.len() {
            return;
        }
        let mut sum = crc32fast::Hasher::new();
        sum.update(&bytes[at..at + HEAD]);
        sum.update(&bytes[from..to]);
        bytes[at + HEAD..from].copy_from_slice(&sum.finalize().to_be_bytes());
        at = to;
    }
}

/// Reads to the end or the first fault, and says which.
fn read(path: &std::path::Path, records: &mut u64) -> String {
    let mut reader = match Reader::open(path) {
        Ok(reader) => reader,
        Err(fault) => return first_words(&fault.to_string()),
    };
    // The index, too, is read by programs.
    let _ = reader.block_infos();
    if reader.seek_to_block(8).is_err() {
        return "cannot be gone to".into();
    }
    loop {
        match reader.next_entry() {
            Ok(Some(Entry::Record(_))) => *records += 1,
            Ok(Some(Entry::MissingBlocks { .. })) => {}
            Ok(Some(Entry::Truncated { .. })) => return "torn".into(),
            Ok(None) => return "whole".into(),
            Err(fault) => return first_words(&fault.to_string()),
        }
    }
}

fn first_words(fault: &str) -> String {
    let what = fault.split(": ").nth(1).unwrap_or(fault);
    what.split(' ')
        .filter(|w| w.trim_end_matches(';').parse::<u64>().is_err())
        .take(9)
        .collect::<Vec<_>>()
        .join(" ")
}

/// The most memory this process had, as the system tells.
fn peak_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
    line.and_then(|l| l.trim().split(' ').next()?.parse().ok())
        .unwrap_or(0)
}
