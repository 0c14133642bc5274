//! The built program in the form that the platform runs it: HTTP clients, stand-in executors and name services on loopback.

mod rig;
use rig::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

/// An executor that answers each request with its own name, and spoils the first answer to a statement that asks for it.
fn executor(name: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("bound");
    let spoilt = Arc::new(AtomicBool::new(false));
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let spoilt = spoilt.clone();
            std::thread::spawn(move || serve(name, stream, &spoilt));
        }
    });
    at
}

fn serve(name: &str, stream: TcpStream, spoilt: &AtomicBool) -> Option<()> {
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
        let spoil = statement.starts_with(b"spoil") && !spoilt.swap(true, Ordering::SeqCst);
        let row = format!("{name}\t1\tx\n");
        let length = if spoil { 3_000_000_000 } else { row.len() };
        let answer = format!("{id} HIT pages=1,cost=1.0,meter=util:0.1 {length}\r\n{row}\r\n");
        writer.write_all(answer.as_bytes()).ok()?;
    }
}

/// A name service that loses every other answer, and lists one executor at an event.
fn name_service(name: &'static str, at: SocketAddr, serial: u32) -> (SocketAddr, Arc<AtomicU64>) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let address = socket.local_addr().expect("bound");
    let asked = Arc::new(AtomicU64::new(0));
    let count = asked.clone();
    std::thread::spawn(move || {
        let mut buffer = [0; 2048];
        while let Ok((n, from)) = socket.recv_from(&mut buffer) {
            if count.fetch_add(1, Ordering::SeqCst).is_multiple_of(2) {
                continue;
            }
            let Ok(question) = hickory_proto::op::Message::from_vec(&buffer[..n]) else {
                continue;
            };
            let answer = dns_answer(&question, serial, &[(name, at, false)]);
            let _ = socket.send_to(&answer.to_vec().expect("bytes"), from);
        }
    });
    (address, asked)
}

#[test]
#[expect(clippy::too_many_lines, reason = "one long case")]
fn the_program_serves_the_platform_through_spoilt_answers_lost_names_a_new_configuration_and_a_stop(
) {
    let (first, second) = (executor("e1"), executor("e2"));
    let (old, asked) = name_service("e1", first, 1);
    let (new, _) = name_service("e2", second, 2);
    let listen = unused_address();
    let mut program = Program::start(&config(listen, &[("e1", first)], old));

    // Calm queries on one connection; then one whose first answer is spoilt.
    let mut stream = Client::connect(listen);
    let mut n = 0;
    let mut ask = |client: &mut Client, statement: &str| {
        n += 1;
        client.send(&query_request("look", n, statement));
        client.read_response()
    };
    for _ in 0..50 {
        let (status, body) = ask(&mut stream, "SELECT 1").expect("answered");
        assert_eq!(
            (status, body.as_str()),
            (200, "{\"batch\":[[\"e1\",\"1\",\"x\"]]}")
        );
    }
    assert_eq!(ask(&mut stream, "spoil").expect("answered").0, 200);

    // 5,000 connections that ask once, or say nothing, and go.
    let before = program.resource_usage();
    for round in 0..5_000u64 {
        let mut s = Client::connect(listen);
        if round % 10 == 0 {
            assert_eq!(ask(&mut s, "SELECT 2").expect("answered").0, 200);
        }
    }
    wait_until("descriptors as before", || {
        program.resource_usage().0 <= before.0 + 2
    });
    let grown = program.resource_usage().1.saturating_sub(before.1) * 4096;
    assert!(grown < 8 << 20, "{grown} bytes more than before");

    // Answers of the name service are lost, and it is asked again; then another one takes its place.
    wait_until("asked again", || asked.load(Ordering::SeqCst) >= 3);
    std::fs::write(&program.config_file, "{").expect("written");
    program.signal("-HUP");
    let moved = config(listen, &[("e1", first)], new).to_string();
    std::fs::write(&program.config_file, moved).expect("written");
    program.signal("-HUP");
    wait_until("the other name service", || {
        ask(&mut stream, "SELECT 3")
            .is_ok_and(|(status, body)| status == 200 && body.contains("e2"))
    });

    // Asked to stop under load: all that is taken is answered, and it ends by itself.
    let unanswered = Arc::new(Mutex::new(Vec::new()));
    program.signal("-TERM");
    let crowd: Vec<_> = (0..8u64)
        .map(|c| {
            let unanswered = unanswered.clone();
            std::thread::spawn(move || {
                let mut served = 0u64;
                for n in 0..20u64 {
                    let told = Client::try_connect(listen).and_then(|mut s| {
                        s.send(&query_request("look", (c + 1) << 40 | n, "SELECT 4"));
                        s.read_response()
                    });
                    match told {
                        Ok((200, _)) => served += 1,
                        other => unanswered
                            .lock()
                            .expect("no panic")
                            .push(format!("{other:?}")),
                    }
                }
                served
            })
        })
        .collect();
    let served: u64 = crowd.into_iter().map(|c| c.join().expect("no panic")).sum();
    assert_eq!(
        (served, &*unanswered.lock().expect("no panic")),
        (160, &Vec::<String>::new())
    );
    assert_eq!(program.wait_for_exit().code(), Some(0));
}

#[test]
fn a_configuration_that_cannot_be_used_is_told_and_ends_with_2() {
    let dir = tempfile::tempdir().expect("a folder");
    let file = dir.path().join("config.json");
    for text in ["{", "{\"name\": 1}"] {
        std::fs::write(&file, text).expect("written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_wheelfield-controller"));
        let told = command
            .args(["platform", "--check", "--config"])
            .arg(&file)
            .output()
            .expect("runs");
        assert_eq!(told.status.code(), Some(2));
        assert!(String::from_utf8_lossy(&told.stderr).contains("config.json"));
    }
    let mut command = Command::new(env!("CARGO_BIN_EXE_wheelfield-controller"));
    let told = command
        .arg("platform")
        .env_remove("LB_CONFIG")
        .output()
        .expect("runs");
    assert_eq!(told.status.code(), Some(2));
}
