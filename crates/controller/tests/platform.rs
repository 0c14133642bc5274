//! Tests of the built program as the platform runs it, with HTTP clients, emulated executors and name services on loopback.

mod rig;
use rig::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

/// Starts an executor that answers each request with its own name. Its first response to a statement that begins with `spoil`
/// is malformed: it announces a length of 3 GB.
fn start_executor(name: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a socket");
    let address = listener.local_addr().expect("the local address");
    let has_spoiled = Arc::new(AtomicBool::new(false));
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let has_spoiled = has_spoiled.clone();
            std::thread::spawn(move || serve_connection(name, stream, &has_spoiled));
        }
    });
    address
}

/// Serves one connection of an executor until it is closed.
fn serve_connection(name: &str, stream: TcpStream, has_spoiled: &AtomicBool) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let words: Vec<&str> = line.split_whitespace().collect();
        let ["REQ", id, _, length] = words[..] else {
            continue;
        };
        let mut statement = vec![0; length.parse::<usize>().ok()? + 2];
        reader.read_exact(&mut statement).ok()?;
        let spoil = statement.starts_with(b"spoil") && !has_spoiled.swap(true, Ordering::SeqCst);
        let row = format!("{name}\t1\tx\n");
        let length = if spoil { 3_000_000_000 } else { row.len() };
        let answer = format!("{id} HIT pages=1,cost=1.0,meter=util:0.1 {length}\r\n{row}\r\n");
        writer.write_all(answer.as_bytes()).ok()?;
    }
}

/// Starts a name service that lists one executor and does not respond to every other query, beginning with the first. Returns
/// its address and the number of queries it has received.
fn start_lossy_name_service(
    name: &'static str,
    executor: SocketAddr,
    serial: u32,
) -> (SocketAddr, Arc<AtomicU64>) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("bind a socket");
    let address = socket.local_addr().expect("the local address");
    let query_count = Arc::new(AtomicU64::new(0));
    let count = query_count.clone();
    std::thread::spawn(move || {
        let mut buffer = [0; 2048];
        while let Ok((n, from)) = socket.recv_from(&mut buffer) {
            if count.fetch_add(1, Ordering::SeqCst).is_multiple_of(2) {
                continue;
            }
            let Ok(question) = hickory_proto::op::Message::from_vec(&buffer[..n]) else {
                continue;
            };
            let answer = dns_answer(&question, serial, &[(name, executor, false)]);
            let _ = socket.send_to(&answer.to_vec().expect("encode the message"), from);
        }
    });
    (address, query_count)
}

#[test]
#[expect(clippy::too_many_lines, reason = "one long case")]
fn the_program_survives_malformed_responses_lost_datagrams_a_reload_and_a_graceful_shutdown() {
    let (first, second) = (start_executor("e1"), start_executor("e2"));
    let (old_resolver, old_query_count) = start_lossy_name_service("e1", first, 1);
    let (new_resolver, _) = start_lossy_name_service("e2", second, 2);
    let listen = unused_address();
    let mut program = Program::start(&config(listen, &[("e1", first)], old_resolver));

    // Ordinary queries on one connection, then one whose first response is malformed.
    let mut stream = Client::connect(listen);
    let mut n = 0;
    let mut ask = |client: &mut Client, statement: &str| {
        n += 1;
        client.send(&query_request("look", n, statement));
        client.read_response()
    };
    for _ in 0..50 {
        let (status, body) = ask(&mut stream, "SELECT 1").expect("a response");
        assert_eq!(
            (status, body.as_str()),
            (200, "{\"batch\":[[\"e1\",\"1\",\"x\"]]}")
        );
    }
    assert_eq!(ask(&mut stream, "spoil").expect("a response").0, 200);

    // 5,000 connections that close after one query or without any.
    let before = program.resource_usage();
    for connection in 0..5_000u64 {
        let mut client = Client::connect(listen);
        if connection % 10 == 0 {
            assert_eq!(ask(&mut client, "SELECT 2").expect("a response").0, 200);
        }
    }
    wait_until("the descriptors of closed connections are freed", || {
        program.resource_usage().0 <= before.0 + 2
    });
    let growth = program.resource_usage().1.saturating_sub(before.1) * 4096;
    assert!(growth < 8 << 20, "memory grew by {growth} bytes");

    // Responses of the name service are lost and the query is repeated. Then a reload switches to another name service, after
    // a reload of an incomplete configuration.
    wait_until("the name service is queried again", || {
        old_query_count.load(Ordering::SeqCst) >= 3
    });
    std::fs::write(&program.config_file, "{").expect("write the file");
    program.signal(Signal::HUP);
    let new_config = config(listen, &[("e1", first)], new_resolver).to_string();
    std::fs::write(&program.config_file, new_config).expect("write the file");
    program.signal(Signal::HUP);
    wait_until("the executor of the new name service answers", || {
        ask(&mut stream, "SELECT 3")
            .is_ok_and(|(status, body)| status == 200 && body.contains("e2"))
    });

    // A shutdown under load: all queries are answered, and the program exits by itself.
    let unanswered = Arc::new(Mutex::new(Vec::new()));
    program.signal(Signal::TERM);
    let clients: Vec<_> = (0..8u64)
        .map(|client_index| {
            let unanswered = unanswered.clone();
            std::thread::spawn(move || {
                let mut served = 0u64;
                for n in 0..20u64 {
                    let response = Client::try_connect(listen).and_then(|mut client| {
                        client.send(&query_request(
                            "look",
                            (client_index + 1) << 40 | n,
                            "SELECT 4",
                        ));
                        client.read_response()
                    });
                    match response {
                        Ok((200, _)) => served += 1,
                        other => unanswered
                            .lock()
                            .expect("no thread panicked")
                            .push(format!("{other:?}")),
                    }
                }
                served
            })
        })
        .collect();
    let served: u64 = clients
        .into_iter()
        .map(|client| client.join().expect("no thread panicked"))
        .sum();
    assert_eq!(
        (served, &*unanswered.lock().expect("no thread panicked")),
        (160, &Vec::<String>::new())
    );
    assert_eq!(program.wait_for_exit().code(), Some(0));
}

#[test]
fn an_invalid_or_missing_configuration_exits_with_2() {
    let dir = tempfile::tempdir().expect("create a temporary directory");
    let file = dir.path().join("config.json");
    for text in ["{", "{\"name\": 1}"] {
        std::fs::write(&file, text).expect("write the file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_wheelfield-controller"));
        command
            .args(["platform", "--check", "--config"])
            .arg(&file)
            .stderr(Stdio::piped());
        let child = start_process(&mut command).expect("run the program");
        let output = child.wait_with_output().expect("a child");
        assert_eq!(output.status.code(), Some(2));
        assert!(String::from_utf8_lossy(&output.stderr).contains("config.json"));
    }
    let mut command = Command::new(env!("CARGO_BIN_EXE_wheelfield-controller"));
    command.arg("platform").env_remove("LB_CONFIG");
    let mut child = start_process(&mut command).expect("run the program");
    assert_eq!(child.wait().expect("a child").code(), Some(2));
}
