//! Waits of the test rig and of the blocking HTTP client in a process that is stopped and continued meanwhile. This is the only test
//! of its program, so that no other test is stopped with it.

mod common;
mod rig;

use hickory_proto::op::{Message, MessageType, OpCode};
use rig::{Client, Executor, NameService, TIMEOUT};
use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::process::Command;

/// Stops and continues its parent process repeatedly.
const INTERRUPT_PARENT: &str =
    "for i in 1 2 3 4 5 6 7 8; do kill -STOP $PPID; sleep 0.003; kill -CONT $PPID; sleep 0.02; done";
const HTTP_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Runs `wait` while this process is stopped and continued, then has `complete` send what `wait` waits for.
fn interrupt<T>(wait: impl FnOnce() -> T, complete: impl FnOnce() + Send) -> T {
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let status = Command::new("sh").args(["-c", INTERRUPT_PARENT]).status();
            assert!(status.expect("a shell").success());
            complete();
        });
        wait()
    })
}

/// Runs an HTTP client, whose server responds only after this process was stopped and continued.
fn interrupt_http_client<T>(request: impl FnOnce(SocketAddr) -> T) -> T {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    interrupt(
        || request(address),
        move || {
            let (mut stream, _) = listener.accept().expect("a connection");
            let mut request = [0; 1_024];
            assert!(stream.read(&mut request).expect("a request") > 0);
            stream.write_all(HTTP_RESPONSE).expect("written");
        },
    )
}

/// The wait of a test or of a client failed with EINTR after its process was stopped and continued.
#[test]
fn waits_with_a_time_limit_survive_a_stop_of_their_process() {
    let name_service = NameService::new();
    let query = Message::new(1, MessageType::Query, OpCode::Query);
    let query = query.to_vec().expect("bytes");
    let client = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let address = name_service.address;
    interrupt(
        || name_service.next_query(),
        || assert!(client.send_to(&query, address).is_ok()),
    );

    let executor = Executor::new();
    let address = executor.address;
    let mut stream = None;
    let mut conn = interrupt(
        || executor.accept(),
        || stream = TcpStream::connect(address).ok(),
    );
    let mut stream = stream.expect("connected");
    let line = interrupt(
        || conn.next_line(),
        || stream.write_all(b"HELO x\r\n").expect("written"),
    );
    assert_eq!(line.as_deref(), Some("HELO x"));
    assert!(interrupt(|| conn.wait_for_close(), || drop(stream)));

    let status = interrupt_http_client(|address| {
        let mut client = Client::connect(address);
        client.send("GET /health HTTP/1.1\r\n\r\n");
        client.read_status()
    });
    assert_eq!(status, 200);
    let (status, _) =
        interrupt_http_client(|address| common::http(&address.to_string(), "GET", "/health"));
    assert_eq!(status, 200);
    let response = interrupt_http_client(|address| {
        wheelfield_net::http::get(address, "/health", TIMEOUT, HTTP_RESPONSE.len())
    });
    assert_eq!(response.expect("a response").status, 200);
}
