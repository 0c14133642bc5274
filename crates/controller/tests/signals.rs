//! What each signal does to the built program, for PostgreSQL clients and on the platform, as the table in `docs/operating.md` says:
//! with a query in flight, and before the program has read its configuration.

mod common;
mod rig;

use common::program::Program as PostgresProgram;
use common::{wait_until, Engines, RawClient, BASE_CONFIG, LISTEN_CONFIG};
use rig::{config, unused_address, AutomaticNameService, Client, Executor, Program, Signal};
use std::io::Write as _;
use std::os::unix::process::ExitStatusExt as _;
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::Duration;

/// The signals that neither program ends for.
const HARMLESS: [Signal; 6] = [
    Signal::HUP,
    Signal::USR1,
    Signal::USR2,
    Signal::ALARM,
    Signal::PIPE,
    Signal::XFSZ,
];
/// The signals that request a graceful shutdown.
const SHUTDOWN: [Signal; 2] = [Signal::TERM, Signal::INT];
const LONG_QUERY: &str = "select 1 /*run_ms='400',work_ms='400'*/";
/// Time in which a signal that ends a program would have ended it.
const SIGNAL_DELIVERY: Duration = Duration::from_millis(100);

fn postgres_config(engines: &Engines) -> String {
    let registry = engines.address("registry");
    format!("{LISTEN_CONFIG}{BASE_CONFIG}[registry]\naddress = {registry:?}\n")
}

/// Sends a signal to a program for PostgreSQL clients while a query is in flight. Returns the program, after the query was answered.
fn signal_during_query(engines: &Engines, signal: Signal) -> (PostgresProgram, RawClient) {
    let program = PostgresProgram::start(&postgres_config(engines));
    let mut client = RawClient::connect(program.address);
    client.query(LONG_QUERY);
    wait_until("the query at an engine", || engines.running_queries() == 1);
    program.signal(signal);
    let (tags, state) = client.read_answer();
    assert!(tags.starts_with('T'), "{signal:?}: {tags} {state}");
    (program, client)
}

#[test]
fn a_harmless_signal_loses_no_query_of_a_postgresql_client() {
    let engines = Engines::start(2);
    for signal in HARMLESS {
        let (mut program, mut client) = signal_during_query(&engines, signal);
        client.query(LONG_QUERY);
        let (tags, state) = client.read_answer();
        assert!(tags.starts_with('T'), "{signal:?}: {tags} {state}");
        assert_eq!(program.exit_status(), None, "{signal:?}");
    }
}

#[test]
fn a_request_to_shut_down_loses_no_query_of_a_postgresql_client() {
    let engines = Engines::start(2);
    for signal in SHUTDOWN {
        let (mut program, client) = signal_during_query(&engines, signal);
        drop(client);
        assert_eq!(program.wait_for_exit().code(), Some(0), "{signal:?}");
    }
}

/// SIGQUIT is the way to end a program at once, with a core file.
#[test]
fn sigquit_ends_a_program_at_once() {
    let engines = Engines::start(1);
    let mut program = PostgresProgram::start(&postgres_config(&engines));
    program.signal(Signal::QUIT);
    let status = program.wait_for_exit();
    assert_eq!(status.signal(), Some(Signal::QUIT.as_raw()));

    let executor = Executor::new().spawn_server("e1");
    let name_service = AutomaticNameService::of_configuration();
    let config = config(unused_address(), &[("e1", executor)], name_service.address);
    let mut program = Program::start(&config);
    program.signal(Signal::QUIT);
    let status = program.wait_for_exit();
    assert_eq!(status.signal(), Some(Signal::QUIT.as_raw()));
}

/// Creates a named pipe.
fn create_pipe(path: &Path) {
    let mut mkfifo = rig::start_process(Command::new("mkfifo").arg(path)).expect("mkfifo");
    assert!(mkfifo.wait().expect("a child").success());
}

/// Opens a pipe for writing, which waits until the program reads its configuration from it.
fn open_for_writing(pipe: &Path) -> std::fs::File {
    let file = std::fs::File::options().write(true).open(pipe);
    file.expect("opened by the program")
}

/// Sends a signal to a program for PostgreSQL clients while it reads its configuration, and then completes the configuration.
fn signal_during_startup(engines: &Engines, signal: Signal) -> PostgresProgram {
    let folder = tempfile::tempdir().expect("a folder");
    let pipe = folder.path().join("config");
    create_pipe(&pipe);
    let program = PostgresProgram::spawn(folder, &pipe, Stdio::piped());
    let mut writer = open_for_writing(&pipe);
    program.signal(signal);
    std::thread::sleep(SIGNAL_DELIVERY);
    let _ = writer.write_all(postgres_config(engines).as_bytes());
    program
}

#[test]
fn a_harmless_signal_while_the_configuration_of_postgresql_clients_is_read_does_not_end_the_start()
{
    let engines = Engines::start(2);
    for signal in HARMLESS {
        let mut program = signal_during_startup(&engines, signal);
        assert_eq!(program.exit_status(), None, "{signal:?}");
        program.wait_for_list();
        let mut client = RawClient::connect(program.address);
        client.query(LONG_QUERY);
        let (tags, state) = client.read_answer();
        assert!(tags.starts_with('T'), "{signal:?}: {tags} {state}");
    }
}

#[test]
fn a_request_to_shut_down_while_the_configuration_of_postgresql_clients_is_read_ends_with_0() {
    let engines = Engines::start(2);
    for signal in SHUTDOWN {
        let mut program = signal_during_startup(&engines, signal);
        assert_eq!(program.wait_for_exit().code(), Some(0), "{signal:?}");
    }
}

#[test]
fn a_harmless_signal_loses_no_request_on_the_platform() {
    for signal in HARMLESS {
        let (executor, name_service) = (Executor::new(), AutomaticNameService::of_configuration());
        let executors = [("e1", executor.address)];
        let program = Program::start(&config(unused_address(), &executors, name_service.address));
        let mut client = Client::connect(program.listen);
        client.send_query("look", 1);
        let mut connection = executor.accept();
        let request = connection.expect_request();
        program.signal(signal);
        std::thread::sleep(SIGNAL_DELIVERY);
        connection.send(&rig::hit_response(&request.id, "e1"));
        assert_eq!(client.read_status(), 200, "{signal:?}");
        assert_eq!(program.health(), Some(200), "{signal:?}");
    }
}

#[test]
fn a_harmless_signal_while_the_configuration_of_the_platform_is_read_does_not_end_the_start() {
    for signal in HARMLESS {
        let executor = Executor::new().spawn_server("e1");
        let name_service = AutomaticNameService::of_configuration();
        let config = config(unused_address(), &[("e1", executor)], name_service.address);
        let folder = tempfile::tempdir().expect("a folder");
        let pipe = folder.path().join("config");
        create_pipe(&pipe);
        let mut program = Program::spawn_with_file(&config, &pipe);
        let mut writer = open_for_writing(&pipe);
        program.signal(signal);
        std::thread::sleep(SIGNAL_DELIVERY);
        let file = folder.path().join("file");
        std::fs::write(&file, config.to_string()).expect("written");
        std::fs::rename(&file, &pipe).expect("renamed");
        let _ = writer.write_all(config.to_string().as_bytes());
        drop(writer);
        rig::wait_until("status 200 from /health", || {
            assert!(!program.has_exited(), "{signal:?}");
            program.health() == Some(200)
        });
    }
}
