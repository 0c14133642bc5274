//! The built program for PostgreSQL clients starts although the system is out of a resource for a moment.

mod common;

use common::program::Program;
use common::{Engines, RawClient, BASE_CONFIG, LISTEN_CONFIG};
use std::time::Duration;
use wheelfield_fault_shim::{Call, Errno, FaultControl, ALWAYS};

const FAILING: Duration = Duration::from_millis(500);

/// Regression test: the program ended with 1, or with 2 where its configuration could not be read.
#[test]
fn the_program_starts_once_calls_that_failed_for_a_moment_succeed() {
    let engines = Engines::start(1);
    let registry = engines.address("registry");
    let config = format!("{LISTEN_CONFIG}{BASE_CONFIG}[registry]\naddress = {registry:?}\n");
    for (call, errno) in [
        (Call::Bind, Errno::AddressInUse),
        (Call::Socket, Errno::FileTableOverflow),
        (Call::Socket, Errno::NoBufferSpace),
        (Call::Register, Errno::NoMemory),
        (Call::Open, Errno::TooManyFiles),
        (Call::Open, Errno::InputOutput),
    ] {
        let faults = FaultControl::new().expect("a control file");
        faults.fail(call, errno, ALWAYS).expect("set");
        let mut program = Program::spawn_with_faults(&config, &faults);
        std::thread::sleep(FAILING);
        let status = program.exit_status();
        assert_eq!(status, None, "{call:?} {errno:?}: {}", program.log());
        faults.succeed(call).expect("set");
        program.wait_for_list();
        let mut client = RawClient::connect(program.address);
        client.query("select 1 /*class='fast'*/");
        assert!(client.read_answer().0.starts_with('T'));
    }
}
