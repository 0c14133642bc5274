//! The form in which the platform starts a controller: `run` becomes one process, linked dynamically; `build` takes what the lock
//! file says and no more than `run` and `sim` need.

use object::read::elf::{FileHeader, ProgramHeader};
use object::{elf, Endianness};
use std::path::{Path, PathBuf};

const DEPLOY: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/balancer.toml");

/// The program that a line of the deploy file becomes; a line that leaves a shell or anything else around it names none.
fn becomes(line: &str) -> Option<&str> {
    let rest = line.strip_prefix("exec ")?;
    let shell = |c: char| "&;|<>()$`\\\"'*?[]{}#~\n".contains(c);
    if rest.contains(shell) {
        return None;
    }
    rest.split_whitespace().next()
}

/// The interpreter that a program asks the system for; one that is linked statically asks for none, and nothing can be loaded
/// into it.
fn interpreter(program: &[u8]) -> Option<&[u8]> {
    let header = elf::FileHeader64::<Endianness>::parse(program).ok()?;
    let endian = header.endian().ok()?;
    let parts = header.program_headers(endian, program).ok()?;
    parts
        .iter()
        .find_map(|p| p.interpreter(endian, program).ok().flatten())
}

/// The packages that a build line asks for.
fn packages(build: &str) -> Vec<&str> {
    let words: Vec<&str> = build.split_whitespace().collect();
    words
        .windows(2)
        .filter(|w| w[0] == "-p")
        .map(|w| w[1])
        .collect()
}

fn line(name: &str) -> String {
    let text = std::fs::read_to_string(DEPLOY).expect("the deploy file");
    let file: toml::Table = text.parse().expect("TOML");
    file[name].as_str().expect("a line").to_owned()
}

#[test]
fn run_becomes_one_process_that_is_linked_dynamically() {
    let run = line("run");
    let program = Path::new(becomes(&run).expect("`run` is one exec")).to_owned();
    let built = PathBuf::from(env!("CARGO_BIN_EXE_wheelfield-controller"));
    assert_eq!(
        program.file_name(),
        built.file_name(),
        "`run` names this program"
    );
    let bytes = std::fs::read(built).expect("built");
    let asks = interpreter(&bytes).expect("an interpreter");
    assert!(
        asks.starts_with(b"/lib"),
        "{:?}",
        String::from_utf8_lossy(asks)
    );
}

#[test]
fn build_takes_the_lock_file_and_the_programs_of_run_and_sim_alone() {
    let build = line("build");
    assert!(
        build.starts_with("cargo build --release --locked "),
        "{build}"
    );
    let (run, sim) = (line("run"), line("sim"));
    let named = [&run, &sim].map(|l| {
        becomes(l)
            .expect("one exec")
            .trim_start_matches("target/release/")
    });
    assert_eq!(packages(&build), named);
}

#[test]
fn what_breaks_the_form_is_found() {
    let lines = [
        "target/release/x",
        "exec a & exec b",
        "exec sh -c 'a'",
        "exec a; b",
        "exec a | b",
        "sh a",
        "exec ",
    ];
    for broken in lines {
        assert_eq!(becomes(broken), None, "{broken}");
    }
    let mut bytes = std::fs::read(env!("CARGO_BIN_EXE_wheelfield-controller")).expect("built");
    assert!(interpreter(&bytes).is_some());
    // The kind of each part, after which the interpreter is no longer named: as in a program that is linked statically.
    let (start, size) = (
        u64::from_le_bytes(bytes[32..40].try_into().expect("eight")) as usize,
        56,
    );
    let count = usize::from(u16::from_le_bytes([bytes[56], bytes[57]]));
    for at in (0..count).map(|n| start + n * size) {
        if bytes[at] == elf::PT_INTERP as u8 {
            bytes[at] = elf::PT_NOTE as u8;
        }
    }
    assert_eq!(interpreter(&bytes), None);
    assert_eq!(interpreter(b"#!/bin/sh\n"), None, "a script");
}
