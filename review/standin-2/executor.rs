//! Executors, which speak the protocol of lines.

use crate::util::{now, sleep_until, Record};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

/// A request that an executor has read whole.
#[derive(Clone, Debug)]
pub struct Request {
    pub executor: usize,
    pub id: String,
    /// The idempotency key, if the request has one.
    pub nonce: Option<String>,
}

/// What an executor does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plan {
    /// Runs it for so many milliseconds and answers.
    Answer { work_ms: u64 },
    /// Runs it; its answer is never sent.
    NeverAnswer,
    /// Runs it and answers; copies of the answer follow without end.
    AnswerWithoutEnd { work_ms: u64 },
}

/// Decides what happens to a request, when it begins to run.
pub type Planner = dyn Fn(&Request) -> Plan + Send + Sync;

pub struct Executor {
    pub index: usize,
    pub name: String,
    pub address: SocketAddr,
}

/// The work of a request, in milliseconds of one core, as answers tell it.
const TOLD_COST_MS: f64 = 200.0;
/// How much of an answer without end is sent if its connection is not closed before: the platform's days name 3 GB.
const ENDLESS_MB: usize = 3_000;

impl Executor {
    pub fn start(
        index: usize,
        plan: Arc<Planner>,
        record: Arc<Record>,
    ) -> std::io::Result<Executor> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (plan, record) = (plan.clone(), record.clone());
                let _ = stream.set_nodelay(true);
                std::thread::spawn(move || serve(index, stream, &plan, &record));
            }
        });
        Ok(Executor {
            index,
            name: format!("s-{index:08x}"),
            address,
        })
    }
}

/// The requests that are open on a connection. A request that was given up is no longer in it.
type Open = Arc<Mutex<BTreeMap<String, u64>>>;

fn serve(executor: usize, mut stream: TcpStream, plan: &Arc<Planner>, record: &Arc<Record>) {
    let Ok(writer) = stream.try_clone() else {
        return;
    };
    let writer = Arc::new(Mutex::new(writer));
    let open = Open::default();
    let (mut input, mut chunk, mut serial) = (Vec::new(), vec![0; 16 << 10], 0);
    while let Ok(length) = stream.read(&mut chunk) {
        if length == 0 {
            break;
        }
        input.extend_from_slice(&chunk[..length]);
        while let Some(line_end) = input.windows(2).position(|window| window == b"\r\n") {
            let line = String::from_utf8_lossy(&input[..line_end]).into_owned();
            let words: Vec<&str> = line.split(' ').collect();
            match words[..] {
                ["REQ", id, fields, length] => {
                    let length: usize = length.parse().unwrap_or(0);
                    let end = line_end + 2 + length + 2;
                    if input.len() < end {
                        break;
                    }
                    input.drain(..end);
                    serial += 1;
                    let field = |name: &str| {
                        let mut pairs = fields.split(',').filter_map(|pair| pair.split_once('='));
                        pairs
                            .find(|(n, _)| *n == name)
                            .map(|(_, value)| value.to_string())
                    };
                    let request = Request {
                        executor,
                        id: id.to_string(),
                        nonce: field("nonce"),
                    };
                    record.line(&format!("executor {executor} read {line}"));
                    open.lock().unwrap().insert(request.id.clone(), serial);
                    let (plan, record) = (plan.clone(), record.clone());
                    let (writer, open) = (writer.clone(), open.clone());
                    std::thread::spawn(move || {
                        run(&request, serial, &plan, &record, &writer, &open)
                    });
                    continue;
                }
                ["STOP", id] => {
                    record.line(&format!("executor {executor} read {line}"));
                    open.lock().unwrap().remove(id);
                }
                _ => {}
            }
            input.drain(..line_end + 2);
        }
    }
    open.lock().unwrap().clear();
}

fn run(
    request: &Request,
    serial: u64,
    plan: &Arc<Planner>,
    record: &Arc<Record>,
    writer: &Mutex<TcpStream>,
    open: &Open,
) {
    let (executor, id) = (request.executor, &request.id);
    let (work_ms, is_endless) = match plan(request) {
        Plan::Answer { work_ms } => (work_ms, false),
        Plan::AnswerWithoutEnd { work_ms } => (work_ms, true),
        Plan::NeverAnswer => {
            record.line(&format!(
                "executor {executor} ran {id}; its answer never comes"
            ));
            return;
        }
    };
    sleep_until(now() + work_ms as i64 * 1_000);
    if open.lock().unwrap().get(id) != Some(&serial) {
        return;
    }
    let page = format!("2026-12-05\t1\t{id}\n");
    let answer = format!(
        "{id} HIT pages=1,cost={TOLD_COST_MS:.1},need=64,meter=util:0.30 {}\r\n{page}\r\n",
        page.len()
    );
    record.line(&format!("executor {executor} ran {id} and answers"));
    let Ok(mut writer) = writer.lock() else {
        return;
    };
    if writer.write_all(answer.as_bytes()).is_err() || !is_endless {
        return;
    }
    record.line(&format!(
        "executor {executor} begins to repeat the answer to {id} without end"
    ));
    let block = answer.repeat((1 << 20) / answer.len());
    let (begun_at, mut blocks) = (now(), 0);
    while blocks < ENDLESS_MB && writer.write_all(block.as_bytes()).is_ok() {
        blocks += 1;
    }
    let ms = (now() - begun_at) / 1_000;
    record.line(&format!(
        "executor {executor} ended that after {ms} ms and {blocks} MB"
    ));
}
