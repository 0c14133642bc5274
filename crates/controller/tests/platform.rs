//! The built program in the form that the platform runs it: HTTP clients, stand-in executors and name services on loopback.

use hickory_proto::op::{Message, MessageType, OpCode};
use hickory_proto::rr::rdata::{A, SOA, SRV, TXT};
use hickory_proto::rr::{Name, RData, Record};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Nothing in this test may take longer.
const PATIENCE: Duration = Duration::from_secs(30);

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
        let ["REQ", id, _, length] = words[..] else { continue };
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
            let Ok(question) = Message::from_vec(&buffer[..n]) else { continue };
            let mut answer = Message::new(question.metadata.id, MessageType::Response, OpCode::Query);
            let service = question.queries[0].name.clone();
            answer.add_query(question.queries[0].clone());
            let target = Name::from_ascii(format!("{name}.z.hosts.")).expect("a name");
            let srv = RData::SRV(SRV::new(0, 80, at.port(), target.clone()));
            answer.add_answer(Record::from_rdata(service, 1, srv));
            answer.add_additional(Record::from_rdata(target.clone(), 1, RData::A(A(Ipv4Addr::LOCALHOST))));
            let text = RData::TXT(TXT::new(vec!["kind=std".into(), "cell=0".into(), "started=0".into()]));
            answer.add_additional(Record::from_rdata(target, 1, text));
            let zone = Name::from_ascii("mesh.local.").expect("a name");
            let soa = RData::SOA(SOA::new(zone.clone(), zone.clone(), serial, 1, 1, 1, 1));
            answer.add_authority(Record::from_rdata(zone, 1, soa));
            let _ = socket.send_to(&answer.to_vec().expect("bytes"), from);
        }
    });
    (address, asked)
}

fn config(listen: SocketAddr, first: SocketAddr, resolver: SocketAddr) -> String {
    serde_json::json!({
        "name": "n0", "listen": listen, "seed": "7", "limits": {"cores": 1.0, "memory_mb": 32, "sockets": 256},
        "peers": [], "resolver": resolver,
        "known": {"cursor": 1, "cmds": [{"cursor": 1, "nodes": {"full": true, "servers": [
            {"id": "e1", "addr": first, "zone": "z", "kind": "std", "cell": 0, "state": "ready"}]}}]},
        "settings": {
            "balancers": 1, "me": 0, "my_zone": "z", "zones": ["z"], "skus": ["std"],
            "grades": [{"name": "look", "on_time_us": 500_000, "give_up_us": 3_000_000, "gain": 1.0,
                "effect": "repeatable", "window_us": 1}],
            "ceilings": {"cancel": true, "conn_idle_us": 30_000_000, "connect_timeout_us": 250_000,
                "max_streams": 32, "most_held": 1000, "send_cap": 3},
            "family_info": {"cpu_of_kind": [8], "parallelism": [1], "bills": true},
            "telemetry": {"columns": ["cpu_share"], "how": "answers"}, "safety": {}, "charges": {}}
    })
    .to_string()
}

/// A call on a connection of its own or on an open one: the status, and all that came.
fn call(stream: &mut TcpStream, n: u64, statement: &str) -> std::io::Result<(u16, String)> {
    let length = statement.len();
    let call = format!("POST /rpc/look HTTP/1.1\r\nX-Request-Id: {n:016x}\r\nX-Timeout-Ms: 5000\r\nContent-Length: {length}\r\n\r\n{statement}");
    stream.write_all(call.as_bytes())?;
    answer(stream)
}

fn answer(stream: &mut TcpStream) -> std::io::Result<(u16, String)> {
    let mut reader = BufReader::new(stream);
    let (mut head, mut length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        if let Some(n) = line.strip_prefix("Content-Length: ") {
            length = n.trim().parse().unwrap_or(0);
        }
        head.push_str(&line);
        if line == "\r\n" {
            break;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    Ok((status, String::from_utf8_lossy(&body).into_owned()))
}

fn connect(to: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect(to)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    Ok(stream)
}

/// Ends the program with the test, by its id.
struct Program(Child);

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Program {
    fn signal(&self, name: &str) {
        let id = self.0.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().expect("kill").success());
    }

    /// Descriptors open, and resident memory in pages.
    fn held(&self) -> (usize, usize) {
        let at = format!("/proc/{}", self.0.id());
        let open = std::fs::read_dir(Path::new(&at).join("fd")).expect("Linux").count();
        let text = std::fs::read_to_string(Path::new(&at).join("statm")).expect("Linux");
        (open, text.split_whitespace().nth(1).and_then(|n| n.parse().ok()).expect("a number"))
    }
}

/// Until something is so.
fn until(what: &str, mut is: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !is() {
        assert!(begun.elapsed() < PATIENCE, "{what} did not come to pass");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn the_program_serves_the_platform_through_spoilt_answers_lost_names_a_new_configuration_and_a_stop() {
    let (first, second) = (executor("e1"), executor("e2"));
    let (old, asked) = name_service("e1", first, 1);
    let (new, _) = name_service("e2", second, 2);
    let listen = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port");
    let dir = tempfile::tempdir().expect("a folder");
    let file = dir.path().join("config.json");
    std::fs::write(&file, config(listen, first, old)).expect("written");
    let child = Command::new(env!("CARGO_BIN_EXE_wheelfield-controller"))
        .args(["platform", "--log", "warn"])
        .env("LB_CONFIG", &file)
        .stdin(Stdio::null())
        .spawn()
        .expect("the program");
    let mut program = Program(child);
    until("health", || {
        let told = connect(listen).and_then(|mut s| {
            s.write_all(b"GET /health HTTP/1.1\r\n\r\n")?;
            answer(&mut s)
        });
        told.is_ok_and(|(status, _)| status == 200)
    });

    // Calm queries on one connection; then one whose first answer is spoilt.
    let mut stream = connect(listen).expect("taken");
    let mut n = 0;
    let mut ask = |stream: &mut TcpStream, statement: &str| {
        n += 1;
        call(stream, n, statement)
    };
    for _ in 0..50 {
        let (status, body) = ask(&mut stream, "SELECT 1").expect("answered");
        assert_eq!((status, body.as_str()), (200, "{\"batch\":[[\"e1\",\"1\",\"x\"]]}"));
    }
    assert_eq!(ask(&mut stream, "spoil").expect("answered").0, 200);

    // 5,000 connections that ask once, or say nothing, and go.
    let before = program.held();
    for round in 0..5_000u64 {
        let mut s = connect(listen).expect("taken");
        if round % 10 == 0 {
            assert_eq!(ask(&mut s, "SELECT 2").expect("answered").0, 200);
        }
    }
    until("descriptors as before", || program.held().0 <= before.0 + 2);
    let grown = program.held().1.saturating_sub(before.1) * 4096;
    assert!(grown < 8 << 20, "{grown} bytes more than before");

    // Answers of the name service are lost, and it is asked again; then another one takes its place.
    until("asked again", || asked.load(Ordering::SeqCst) >= 3);
    std::fs::write(&file, "{").expect("written");
    program.signal("-HUP");
    std::fs::write(&file, config(listen, first, new)).expect("written");
    program.signal("-HUP");
    until("the other name service", || {
        ask(&mut stream, "SELECT 3").is_ok_and(|(status, body)| status == 200 && body.contains("e2"))
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
                    let told = connect(listen).and_then(|mut s| call(&mut s, (c + 1) << 40 | n, "SELECT 4"));
                    match told {
                        Ok((200, _)) => served += 1,
                        other => unanswered.lock().expect("no panic").push(format!("{other:?}")),
                    }
                }
                served
            })
        })
        .collect();
    let served: u64 = crowd.into_iter().map(|c| c.join().expect("no panic")).sum();
    assert_eq!((served, &*unanswered.lock().expect("no panic")), (160, &Vec::<String>::new()));
    let begun = Instant::now();
    let ended = loop {
        if let Some(status) = program.0.try_wait().expect("a child") {
            break status;
        }
        assert!(begun.elapsed() < PATIENCE, "it does not end");
        std::thread::sleep(Duration::from_millis(5));
    };
    assert_eq!(ended.code(), Some(0));
}

#[test]
fn a_configuration_that_cannot_be_used_is_told_and_ends_with_2() {
    let dir = tempfile::tempdir().expect("a folder");
    let file = dir.path().join("config.json");
    for text in ["{", "{\"name\": 1}"] {
        std::fs::write(&file, text).expect("written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_wheelfield-controller"));
        let told = command.args(["platform", "--check", "--config"]).arg(&file).output().expect("runs");
        assert_eq!(told.status.code(), Some(2));
        assert!(String::from_utf8_lossy(&told.stderr).contains("config.json"));
    }
    let mut command = Command::new(env!("CARGO_BIN_EXE_wheelfield-controller"));
    let told = command.arg("platform").env_remove("LB_CONFIG").output().expect("runs");
    assert_eq!(told.status.code(), Some(2));
}
