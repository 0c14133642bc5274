//! The built program for PostgreSQL clients serves even if its addresses cannot be printed.

mod common;
mod rig;

use common::program::Program;
use common::{wait_until, Engines, RawClient, BASE_CONFIG};
use std::net::{SocketAddr, TcpStream};
use std::process::Stdio;

fn assert_served(stdout: Stdio) {
    let engines = Engines::start(1);
    let (address, registry) = (rig::unused_address(), engines.address("registry"));
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("controller.toml");
    let config =
        format!("listen = \"{address}\"\n{BASE_CONFIG}[registry]\naddress = {registry:?}\n");
    std::fs::write(&file, config).expect("written");
    let mut program = Program::spawn(folder, &file, stdout);
    wait_until("the program", || TcpStream::connect(address).is_ok());
    wait_until("a list of engines", || is_query_served(address));
    assert_eq!(program.exit_status(), None);
    let log = program.log();
    assert!(log.contains("cannot print the addresses"), "{log}");
    assert!(log.contains(&address.to_string()), "{log}");
}

fn is_query_served(address: SocketAddr) -> bool {
    let mut client = RawClient::connect(address);
    client.query("select 1 /*class='fast'*/");
    client.read_answer().0.starts_with('T')
}

/// Regression test: the program panicked.
#[test]
fn a_program_whose_standard_output_is_full_serves() {
    let full = std::fs::File::options().write(true).open("/dev/full");
    assert_served(full.expect("Linux").into());
}

/// Regression test: the program panicked.
#[test]
fn a_program_whose_standard_output_nobody_reads_serves() {
    let (reader, writer) = std::io::pipe().expect("a pipe");
    drop(reader);
    assert_served(writer.into());
}
