//! The built program while system calls fail temporarily, transfer fewer bytes than requested, or return a wrong wall-clock time.

mod rig;
use rig::*;
use std::io::Write as _;
use std::time::{Duration, SystemTime};
use wheelfield_fault_shim::{Call, Errno, FaultControl, ALWAYS};

/// Number of clients that connect during a fault.
const CLIENTS: u64 = 20;
/// Duration of a fault.
const FAULT_TIME: Duration = Duration::from_millis(400);

fn no_faults() -> FaultControl {
    FaultControl::new().expect("a control file")
}

/// A program with one executor that serves all requests.
fn serving_program(faults: &FaultControl) -> Program {
    let name_service = AutomaticNameService::of_configuration();
    let executor = Executor::new().spawn_server("e1");
    Program::start_with_faults(
        &config(unused_address(), &[("e1", executor)], name_service.address),
        faults,
    )
}

/// Connects clients that each send a request.
fn clients_with_requests(program: &Program, first: u64) -> Vec<Client> {
    (first..first + CLIENTS)
        .map(|n| {
            let mut client = Client::connect(program.listen);
            client.send_query("look", n);
            client
        })
        .collect()
}

fn assert_all_served(clients: &mut [Client], case: &str) {
    let statuses: Vec<u16> = clients.iter_mut().map(Client::read_status).collect();
    assert!(
        statuses.iter().all(|status| *status == 200),
        "{case}: {statuses:?}"
    );
}

fn injected(faults: &FaultControl, call: Call) -> u64 {
    faults.injected_count(call).expect("a control file")
}

#[test]
fn requests_and_responses_are_complete_when_each_call_transfers_one_byte() {
    let faults = no_faults();
    let program = serving_program(&faults);
    let mut clients: Vec<Client> = (0..CLIENTS)
        .map(|_| Client::connect(program.listen))
        .collect();
    for (n, client) in (100..).zip(&mut clients) {
        client.send_query("look", n);
        assert_eq!(client.read_status(), 200, "before the fault");
    }
    faults.limit_transfers(Some(1), Some(1)).expect("set");
    for (n, client) in (200..).zip(&mut clients) {
        client.send_query("look", n);
    }
    assert_all_served(&mut clients, "one byte at a time");
    assert_all_served(&mut clients_with_requests(&program, 300), "new connections");
}

#[test]
fn temporary_lack_of_memory_in_reads_and_writes_closes_no_connection() {
    for call in [
        Call::ReadAccepted,
        Call::WriteAccepted,
        Call::ReadConnected,
        Call::WriteConnected,
    ] {
        for errno in [Errno::NoMemory, Errno::NoBufferSpace] {
            let faults = no_faults();
            let program = serving_program(&faults);
            let mut clients = clients_with_requests(&program, 100);
            assert_all_served(&mut clients, "before the fault");
            faults.fail(call, errno, ALWAYS).expect("set");
            for (n, client) in (200..).zip(&mut clients) {
                client.send_query("load", n);
            }
            std::thread::sleep(FAULT_TIME);
            faults.succeed(call).expect("set");
            assert_all_served(&mut clients, &format!("{call:?} {errno:?}"));
            assert!(injected(&faults, call) > 0, "{call:?} {errno:?}");
        }
    }
}

#[test]
fn an_accepted_connection_that_cannot_be_registered_for_a_while_is_served() {
    let faults = no_faults();
    let program = serving_program(&faults);
    assert_all_served(
        &mut clients_with_requests(&program, 100),
        "before the fault",
    );
    faults
        .fail(Call::Register, Errno::NoMemory, ALWAYS)
        .expect("set");
    let mut clients = clients_with_requests(&program, 200);
    wait_until("failed registrations", || {
        injected(&faults, Call::Register) >= CLIENTS
    });
    std::thread::sleep(FAULT_TIME);
    faults.succeed(Call::Register).expect("set");
    assert_all_served(&mut clients, "after failed registrations");
}

/// The request arrives after the connection was accepted. Without a registration, only another read can find it.
#[test]
fn a_request_on_a_connection_that_is_not_registered_yet_is_read_at_once() {
    let faults = no_faults();
    let program = serving_program(&faults);
    faults
        .fail(Call::Register, Errno::NoMemory, ALWAYS)
        .expect("set");
    let mut client = Client::connect(program.listen);
    wait_until("a failed registration", || {
        injected(&faults, Call::Register) > 1
    });
    client.send("GET /health HTTP/1.1\r\n\r\n");
    assert_eq!(
        client.read_status(),
        200,
        "answered although not registered"
    );
    faults.succeed(Call::Register).expect("set");
    assert_all_served(&mut clients_with_requests(&program, 100), "after the fault");
}

#[test]
fn the_backlog_is_served_if_accept_fails_before_the_listener_closes() {
    for errno in [
        Errno::FileTableOverflow,
        Errno::ConnectionAborted,
        Errno::NoBufferSpace,
        Errno::HostUnreachable,
    ] {
        let faults = no_faults();
        let mut program = serving_program(&faults);
        faults.fail(Call::Accept, errno, ALWAYS).expect("set");
        program.signal(Signal::TERM);
        let mut clients = clients_with_requests(&program, 100);
        // The program stops listening 0.8 s after the signal.
        std::thread::sleep(Duration::from_millis(1_000));
        faults.succeed(Call::Accept).expect("set");
        assert_all_served(&mut clients, &format!("{errno:?}"));
        assert!(injected(&faults, Call::Accept) > 0);
        assert_eq!(program.wait_for_exit().code(), Some(0), "{errno:?}");
    }
}

#[test]
fn a_start_survives_temporary_failures_to_open_sockets_and_files() {
    for (call, errno) in [
        (Call::Bind, Errno::AddressInUse),
        (Call::Bind, Errno::AddressNotAvailable),
        (Call::Socket, Errno::NoBufferSpace),
        (Call::Socket, Errno::FileTableOverflow),
        (Call::Socket, Errno::TooManyFiles),
        (Call::Register, Errno::NoMemory),
        (Call::Open, Errno::FileTableOverflow),
    ] {
        let name_service = AutomaticNameService::of_configuration();
        let executor = Executor::new().spawn_server("e1");
        let faults = no_faults();
        faults.fail(call, errno, ALWAYS).expect("set");
        let config = config(unused_address(), &[("e1", executor)], name_service.address);
        let mut program = Program::spawn_with_faults(&config, &faults);
        wait_until("a failed call", || injected(&faults, call) > 0);
        std::thread::sleep(FAULT_TIME);
        faults.succeed(call).expect("set");
        wait_until("status 200 from /health", || {
            assert!(
                !program.has_exited(),
                "the program exited: {call:?} {errno:?}"
            );
            program.health() == Some(200)
        });
    }
}

#[test]
fn a_connect_that_fails_locally_is_retried_and_not_attributed_to_the_executor() {
    for (call, errno) in [
        (Call::Connect, Errno::AddressNotAvailable),
        (Call::Connect, Errno::NetworkUnreachable),
        (Call::Connect, Errno::NoBufferSpace),
        (Call::Socket, Errno::FileTableOverflow),
        (Call::Register, Errno::NoMemory),
    ] {
        let (faults, name_service) = (no_faults(), AutomaticNameService::of_configuration());
        let executor = Executor::new().spawn_server("e1");
        let config = config(unused_address(), &[("e1", executor)], name_service.address);
        let program = Program::start_with_faults(&config, &faults);
        let mut client = Client::connect(program.listen);
        assert_eq!(
            program.health(),
            Some(200),
            "the program has accepted the client"
        );
        let before = injected(&faults, call);
        faults.fail(call, errno, ALWAYS).expect("set");
        client.send_query("load", 1);
        wait_until("a failed connect", || injected(&faults, call) > before);
        std::thread::sleep(FAULT_TIME);
        faults.succeed(call).expect("set");
        assert_eq!(client.read_status(), 200, "{call:?} {errno:?}");
        // An executor that is considered failed or restarted would be ejected, or would get one query at a time.
        let mut clients = clients_with_requests(&program, 100);
        assert_all_served(&mut clients, &format!("after {call:?} {errno:?}"));
    }
}

#[test]
fn a_reload_is_retried_for_as_long_as_its_file_cannot_be_read() {
    let (faults, first, second) = (no_faults(), NameService::new(), NameService::new());
    let mut config = config(
        unused_address(),
        &[("e1", Executor::new().spawn_server("e1"))],
        first.address,
    );
    let program = Program::start_with_faults(&config, &faults);
    faults
        .fail(Call::Open, Errno::InputOutput, ALWAYS)
        .expect("set");
    config["resolver"] = second.address.to_string().into();
    std::fs::write(&program.config_file, config.to_string()).expect("written");
    program.signal(Signal::HUP);
    // An earlier version stopped retrying after 4 s.
    std::thread::sleep(Duration::from_millis(4_500));
    faults.succeed(Call::Open).expect("set");
    second.next_query();
}

/// The configuration is read from a pipe, so that the signal comes while the program is still reading it.
#[test]
fn a_signal_while_the_configuration_is_read_does_not_end_the_start() {
    let (name_service, executor) = (
        AutomaticNameService::of_configuration(),
        Executor::new().spawn_server("e1"),
    );
    let config = config(unused_address(), &[("e1", executor)], name_service.address);
    let dir = tempfile::tempdir().expect("a folder");
    let (pipe, file) = (dir.path().join("config"), dir.path().join("file"));
    let mut mkfifo = start_process(std::process::Command::new("mkfifo").arg(&pipe));
    let status = mkfifo.as_mut().expect("mkfifo").wait().expect("a child");
    assert!(status.success());
    let mut program = Program::spawn_with_file(&config, &pipe);
    // Opening a pipe for writing waits for its reader.
    let mut writer = std::fs::File::options()
        .write(true)
        .open(&pipe)
        .expect("opened by the program");
    program.signal(Signal::HUP);
    std::thread::sleep(Duration::from_millis(100));
    std::fs::write(&file, config.to_string()).expect("written");
    std::fs::rename(&file, &pipe).expect("renamed");
    let _ = writer.write_all(config.to_string().as_bytes());
    drop(writer);
    wait_until("status 200 from /health", || {
        assert!(!program.has_exited(), "the signal terminated the program");
        program.health() == Some(200)
    });
}

#[test]
fn a_list_of_hundreds_of_executors_is_accepted() {
    let (name_service, faults) = (NameService::new(), no_faults());
    let (first, second) = (
        Executor::new().spawn_server("e1"),
        Executor::new().spawn_server("e2"),
    );
    let program = Program::start_with_faults(
        &config(unused_address(), &[("e1", first)], name_service.address),
        &faults,
    );
    let others: Vec<String> = (0..300).map(|n| format!("s-{n:08x}")).collect();
    let mut executors: Vec<(&str, std::net::SocketAddr, bool)> = others
        .iter()
        .map(|name| (name.as_str(), first, true))
        .collect();
    executors.push(("e2", second, false));
    name_service.send_list(&name_service.next_new_query(), 2, &executors);
    let mut n = 1_000;
    wait_until("a response of an executor in the new list", || {
        n += 1;
        let mut client = Client::connect(program.listen);
        client.send_query("look", n);
        client
            .read_response()
            .is_ok_and(|(_, body)| body.contains("e2"))
    });
}

/// Number of 400 queries that are sent to an executor in slow start beside three warm ones.
fn queries_to_a_new_executor(faults: &FaultControl, started_ms: u128, wait: Duration) -> usize {
    let name_service = AutomaticNameService::of_configuration();
    let executors: Vec<(&str, std::net::SocketAddr)> = ["e1", "e2", "e3", "new"]
        .map(|name| (name, Executor::new().spawn_server(name)))
        .to_vec();
    let mut config = config(unused_address(), &executors, name_service.address);
    config["known"]["cmds"][0]["nodes"]["servers"][3]["started_ms"] = (started_ms as u64).into();
    config["settings"]["safety"] = serde_json::json!({"cold_from": 0.05, "ramp_time_us": 3_000_000,
        "tip_multiple": 2.5, "fall_us": 1_000_000});
    let program = Program::start_with_faults(&config, faults);
    std::thread::sleep(wait);
    let mut client = Client::connect(program.listen);
    (1..=400)
        .filter(|n| {
            client.send_query("look", *n);
            client.read_response().expect("answered").1.contains("new")
        })
        .count()
}

fn unix_ms() -> u128 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    now.expect("after 1970").as_millis()
}

#[test]
fn an_executor_that_just_started_is_in_slow_start_if_the_wall_clock_is_ahead() {
    let faults = no_faults();
    let correct = queries_to_a_new_executor(&faults, unix_ms(), Duration::ZERO);
    faults
        .set_wall_clock_ahead(Duration::from_secs(3_600))
        .expect("set");
    let ahead = queries_to_a_new_executor(&faults, unix_ms(), Duration::ZERO);
    assert!(correct < 20, "with a correct clock: {correct} of 400");
    assert!(
        ahead < 20,
        "an hour ahead: {ahead} of 400, {correct} with a correct clock"
    );
}

#[test]
fn slow_start_ends_on_time_if_the_wall_clock_is_behind() {
    let faults = no_faults();
    faults
        .set_wall_clock_behind(Duration::from_secs(3_600))
        .expect("set");
    let served = queries_to_a_new_executor(&faults, unix_ms(), Duration::from_millis(3_500));
    assert!(served > 40, "{served} of 400 after slow start");
}
