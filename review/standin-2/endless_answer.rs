//! Some good answers, of any executor alike, are followed by copies of themselves that do not end.

use crate::client::{exchange, Call, NoResponse};
use crate::controller::{site_classes, Controller, Limits, HEALTH};
use crate::executor::{Executor, Plan, Request};
use crate::util::{now, sleep_ms};
use crate::{Scene, Verdict};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// One answer in so many is spoilt.
const SPOILT_ONE_IN: u64 = 40;
const CLIENTS: u64 = 8;
/// The class's deadline, and how long a client waits.
const TIMEOUT_MS: u64 = 3_000;
/// A final answer may come half a second after the request's time and only earns nothing, and every limit of time is 50 ms longer.
/// Later, or never, the request is lost.
const LATE_MS: i64 = 550;
/// How long a client of this test looks for an answer after that.
const WATCH_MS: u64 = 30_000;
const DURATION_US: i64 = 20_000_000;

pub fn play(scene: &Scene) -> std::io::Result<Verdict> {
    let (record, has_trouble) = (&scene.record, scene.has_trouble);
    let answers = AtomicU64::new(0);
    let plan = Arc::new(move |_: &Request| {
        let number = answers.fetch_add(1, Ordering::SeqCst) + 1;
        match has_trouble && number % SPOILT_ONE_IN == 0 {
            true => Plan::AnswerWithoutEnd { work_ms: 200 },
            false => Plan::Answer { work_ms: 200 },
        }
    });
    let executors = (0..6)
        .map(|index| Executor::start(index, plan.clone(), record.clone()))
        .collect::<Result<Vec<_>, _>>()?;
    let limits = Limits {
        memory_mb: 192,
        sockets: 1_024,
    };
    let log = format!("{}/controller.log", scene.folder);
    let mut classes = site_classes("once");
    (classes[0].aim_ms, classes[0].deadline_ms) = (1_000, TIMEOUT_MS);
    let mut controller = Controller::start(&scene.root, &limits, &classes, &executors, &log)?;
    let (address, started_at) = (controller.address, now());
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let record = record.clone();
            std::thread::spawn(move || {
                let mut delays = Vec::new();
                for number in 0.. {
                    if now() > started_at + DURATION_US {
                        break;
                    }
                    let call = Call::new(
                        "sim-check",
                        format!("{:016x}", client << 32 | number),
                        TIMEOUT_MS,
                    );
                    record.line(&format!("client {client} sends {}", call.id));
                    let sent_at = now();
                    let answer = exchange(address, &call.text(), TIMEOUT_MS + WATCH_MS);
                    let delay_ms = (now() - sent_at) / 1_000;
                    let word = match &answer {
                        Ok(response) => response.word(),
                        Err(NoResponse::NotAccepted) => "not taken",
                        Err(_) => "no answer",
                    };
                    record.line(&format!(
                        "client {client} got {word} to {} after {delay_ms} ms",
                        call.id
                    ));
                    // Not counted: a connection that is shut with nothing sent on it.
                    if !matches!(answer, Err(NoResponse::NotAccepted | NoResponse::Closed)) {
                        delays.push((call.id, delay_ms, answer.is_ok()));
                    }
                    sleep_ms(200);
                }
                delays
            })
        })
        .collect();
    let mut longest_health_ms = 0;
    while now() < started_at + DURATION_US {
        let asked_at = now();
        let _ = exchange(address, HEALTH, WATCH_MS);
        longest_health_ms = longest_health_ms.max((now() - asked_at) / 1_000);
        sleep_ms(200);
    }
    let delays: Vec<_> = clients
        .into_iter()
        .filter_map(|client| client.join().ok())
        .flatten()
        .collect();
    let has_ended = controller.has_ended();
    let latest = TIMEOUT_MS as i64 + LATE_MS;
    let is_lost = |delay: &&(String, i64, bool)| delay.1 > latest || !delay.2;
    let lost: Vec<_> = delays.iter().filter(is_lost).collect();
    let longest_ms = delays.iter().map(|delay| delay.1).max().unwrap_or(0);
    record.say(&format!(
        "{} requests taken; longest wait for an answer: {longest_ms} ms",
        delays.len()
    ));
    record.say(&format!(
        "longest wait for an answer to GET /health: {longest_health_ms} ms"
    ));
    let mut findings = Vec::new();
    if has_ended {
        findings.push("the controller has ended".to_string());
    }
    if !lost.is_empty() {
        findings.push(format!(
            "{} of {} requests had no final answer {LATE_MS} ms after their time of {TIMEOUT_MS} ms, such as {} ({} ms)",
            lost.len(),
            delays.len(),
            lost[0].0,
            lost[0].1
        ));
    }
    Ok(match findings.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken(findings),
    })
}
