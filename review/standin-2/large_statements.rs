//! Bad clients send half a request with a large body, and the same again the moment they are turned away. Usual clients send large
//! statements meanwhile.

use crate::client::{read_response, Call, NoResponse};
use crate::controller::{site_classes, Controller, Limits};
use crate::executor::{Executor, Plan};
use crate::util::{now, sleep_ms, sleep_until};
use crate::{Scene, Verdict};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

const MEMORY_MB: u64 = 192;
const BAD_CLIENTS: usize = 240;
const BAD_BODY_BYTES: usize = 60_000;
const BAD_BYTES_SENT: usize = 20_000;
const USUAL_CLIENTS: u64 = 6;
const STATEMENT_BYTES: usize = 20_000;
/// The class's deadline, and how long a client waits.
const TIMEOUT_MS: u64 = 800;
/// A final answer may come half a second after the request's time and only earns nothing, and every limit of time is 50 ms longer.
/// Later, or never, the request is lost.
const LATE_MS: i64 = 550;
/// How long a client of this test looks for an answer after its time.
const WATCH_MS: u64 = 10_000;
const DURATION_US: i64 = 14_000_000;
const TROUBLE_AFTER_US: i64 = 1_000_000;

pub fn play(scene: &Scene) -> std::io::Result<Verdict> {
    let record = &scene.record;
    let plan = Arc::new(|_: &_| Plan::Answer { work_ms: 100 });
    let executors = (0..6)
        .map(|index| Executor::start(index, plan.clone(), record.clone()))
        .collect::<Result<Vec<_>, _>>()?;
    let limits = Limits {
        memory_mb: MEMORY_MB,
        sockets: 1_024,
    };
    let log = format!("{}/controller.log", scene.folder);
    let mut classes = site_classes("once");
    (classes[0].aim_ms, classes[0].deadline_ms) = (400, TIMEOUT_MS);
    let mut controller = Controller::start(&scene.root, &limits, &classes, &executors, &log)?;
    let (address, started_at) = (controller.address, now());
    if scene.has_trouble {
        record.line(&format!("from now on, {BAD_CLIENTS} bad clients"));
        for _ in 0..BAD_CLIENTS {
            std::thread::spawn(move || {
                sleep_until(started_at + TROUBLE_AFTER_US);
                while now() < started_at + DURATION_US {
                    send_half_a_request(address);
                }
            });
        }
    }
    let clients: Vec<_> = (0..USUAL_CLIENTS)
        .map(|client| {
            let record = record.clone();
            std::thread::spawn(move || {
                let mut delays = Vec::new();
                for number in 0.. {
                    if now() > started_at + DURATION_US {
                        break;
                    }
                    let mut call = Call::new(
                        "sim-check",
                        format!("{:016x}", client << 32 | number),
                        TIMEOUT_MS,
                    );
                    call.statement = format!(
                        "SELECT max(note) FROM sales_17.orders WHERE tag IN ('{}')",
                        "x".repeat(STATEMENT_BYTES)
                    );
                    let connect = TcpStream::connect_timeout(&address, Duration::from_secs(1));
                    let Ok(mut stream) = connect else { continue };
                    let _ = stream.set_nodelay(true);
                    // The request counts as taken once its last byte is written.
                    if stream.write_all(call.text().as_bytes()).is_err() {
                        continue;
                    }
                    let sent_at = now();
                    record.line(&format!("client {client} has sent {}", call.id));
                    let until = sent_at + (TIMEOUT_MS + WATCH_MS) as i64 * 1_000;
                    let answer = read_response(&mut stream, until);
                    let delay_ms = (now() - sent_at) / 1_000;
                    let word = match &answer {
                        Ok(response) => format!("{} ({})", response.word(), response.status),
                        Err(reason) => format!("{reason:?}"),
                    };
                    record.line(&format!(
                        "client {client} got {word} to {} after {delay_ms} ms",
                        call.id
                    ));
                    // A connection that is shut unread, with nothing sent on it, is not counted.
                    if !matches!(answer, Err(NoResponse::Closed)) {
                        delays.push((call.id, delay_ms, word, answer.is_ok()));
                    }
                    sleep_ms(150);
                }
                delays
            })
        })
        .collect();
    let delays: Vec<_> = clients
        .into_iter()
        .filter_map(|client| client.join().ok())
        .flatten()
        .collect();
    let has_ended = controller.has_ended();
    let latest = TIMEOUT_MS as i64 + LATE_MS;
    let lost: Vec<_> = delays
        .iter()
        .filter(|delay| delay.1 > latest || !delay.3)
        .collect();
    let longest_ms = delays.iter().map(|delay| delay.1).max().unwrap_or(0);
    record.say(&format!(
        "{} requests taken; longest wait for an answer: {longest_ms} ms",
        delays.len()
    ));
    if has_ended {
        return Ok(Verdict::Broken(vec!["the controller has ended".into()]));
    }
    Ok(match lost.first() {
        None => Verdict::Held,
        Some((id, delay_ms, word, _)) => Verdict::Broken(vec![format!(
            "{} of {} requests had no final answer {LATE_MS} ms after their time of {TIMEOUT_MS} ms, such as {id} ({word} after {delay_ms} ms)",
            lost.len(),
            delays.len(),
        )]),
    })
}

/// Sends half a request and waits until it is turned away.
fn send_half_a_request(address: SocketAddr) {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return sleep_ms(20);
    };
    let head = format!(
        "POST /rpc/sim-check HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {:016x}\r\nX-Timeout-Ms: {TIMEOUT_MS}\r\nContent-Length: {BAD_BODY_BYTES}\r\n\r\n",
        now()
    );
    let half = head + &"x".repeat(BAD_BYTES_SENT);
    if stream.write_all(half.as_bytes()).is_ok() {
        let _ = read_response(&mut stream, now() + 5_000_000);
    }
}
