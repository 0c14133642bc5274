//! Checks of `deploy/balancer.toml`, by which the platform starts a controller. `run` must exec a single, dynamically linked
//! program, and `build` must respect the lock file and build only the programs of `run` and `sim`.

use object::read::elf::{FileHeader, ProgramHeader};
use object::{elf, Endianness};
use std::path::{Path, PathBuf};

const DEPLOY_FILE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/balancer.toml");

/// Returns the program that replaces the shell when it runs a command line of the deploy file, or `None` if the line is not a
/// plain `exec` and would leave a shell or another process running.
fn exec_program(command_line: &str) -> Option<&str> {
    let rest = command_line.strip_prefix("exec ")?;
    let is_shell_syntax = |c: char| "&;|<>()$`\\\"'*?[]{}#~\n".contains(c);
    if rest.contains(is_shell_syntax) {
        return None;
    }
    rest.split_whitespace().next()
}

/// Returns the ELF interpreter (dynamic linker) that a program requests. A statically linked program requests none, and no
/// library can be preloaded into it.
fn elf_interpreter(program: &[u8]) -> Option<&[u8]> {
    let header = elf::FileHeader64::<Endianness>::parse(program).ok()?;
    let endian = header.endian().ok()?;
    let segments = header.program_headers(endian, program).ok()?;
    segments
        .iter()
        .find_map(|segment| segment.interpreter(endian, program).ok().flatten())
}

/// Returns the packages that a `cargo build` command line selects with `-p`.
fn selected_packages(build: &str) -> Vec<&str> {
    let words: Vec<&str> = build.split_whitespace().collect();
    words
        .windows(2)
        .filter(|w| w[0] == "-p")
        .map(|w| w[1])
        .collect()
}

/// Returns a command line of the deploy file by its key.
fn deploy_command(key: &str) -> String {
    let text = std::fs::read_to_string(DEPLOY_FILE).expect("read the deploy file");
    let file: toml::Table = text.parse().expect("valid TOML");
    file[key].as_str().expect("a string").to_owned()
}

#[test]
fn run_executes_a_single_dynamically_linked_program() {
    let run = deploy_command("run");
    let program = Path::new(exec_program(&run).expect("`run` is a plain exec")).to_owned();
    let built = PathBuf::from(env!("CARGO_BIN_EXE_wheelfield-controller"));
    assert_eq!(
        program.file_name(),
        built.file_name(),
        "`run` names this program"
    );
    let bytes = std::fs::read(built).expect("read the program");
    let interpreter = elf_interpreter(&bytes).expect("an ELF interpreter");
    assert!(
        interpreter.starts_with(b"/lib"),
        "{:?}",
        String::from_utf8_lossy(interpreter)
    );
}

#[test]
fn build_uses_the_lock_file_and_builds_only_the_programs_of_run_and_sim() {
    let build = deploy_command("build");
    assert!(
        build.starts_with("cargo build --release --locked "),
        "{build}"
    );
    let (run, sim) = (deploy_command("run"), deploy_command("sim"));
    let programs = [&run, &sim].map(|command_line| {
        exec_program(command_line)
            .expect("a plain exec")
            .trim_start_matches("target/release/")
    });
    assert_eq!(selected_packages(&build), programs);
}

#[test]
fn shell_syntax_static_linking_and_scripts_are_detected() {
    let lines = [
        "target/release/x",
        "exec a & exec b",
        "exec sh -c 'a'",
        "exec a; b",
        "exec a | b",
        "sh a",
        "exec ",
    ];
    for line in lines {
        assert_eq!(exec_program(line), None, "{line}");
    }
    let mut bytes =
        std::fs::read(env!("CARGO_BIN_EXE_wheelfield-controller")).expect("read the program");
    assert!(elf_interpreter(&bytes).is_some());
    // Changes the type of the interpreter segment, so that the program looks statically linked.
    let (start, size) = (
        u64::from_le_bytes(bytes[32..40].try_into().expect("8 bytes")) as usize,
        56,
    );
    let count = usize::from(u16::from_le_bytes([bytes[56], bytes[57]]));
    for at in (0..count).map(|n| start + n * size) {
        if bytes[at] == elf::PT_INTERP as u8 {
            bytes[at] = elf::PT_NOTE as u8;
        }
    }
    assert_eq!(elf_interpreter(&bytes), None);
    assert_eq!(elf_interpreter(b"#!/bin/sh\n"), None, "a script");
}
