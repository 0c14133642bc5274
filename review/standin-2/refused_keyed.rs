//! A load that carries a key runs, and its answer never comes. The executors drop repeats of the key for five seconds. The client
//! does what the answer that it gets allows.

use crate::client::{exchange, Call};
use crate::controller::{site_classes, Controller, Limits};
use crate::executor::{Executor, Plan, Request};
use crate::util::{now, sleep_ms};
use crate::{Scene, Verdict};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};

const CLASS: &str = "batch-load";
const LOADS: u64 = 4;
/// The client's whole time, which is that of the class, and the share of it that a try may take.
const DEADLINE_MS: i64 = 20_000;
const TRY_MS: u64 = 16_000;
/// The time for which executors remember a key, counted from when they first read it (`window_us` in the settings).
const WINDOW_US: i64 = 5_000_000;

/// What the executors know of a key in common: they drop its repeats together (`dedup_scope` is `all`).
#[derive(Default)]
struct Effects {
    first_read_at: BTreeMap<String, i64>,
    applied: BTreeMap<String, Vec<i64>>,
    unanswered: BTreeSet<String>,
}

pub fn play(scene: &Scene) -> std::io::Result<Verdict> {
    let (record, has_trouble) = (&scene.record, scene.has_trouble);
    let effects = Arc::new(Mutex::new(Effects::default()));
    let (shared, lines) = (effects.clone(), record.clone());
    let plan = Arc::new(move |request: &Request| {
        let answer = Plan::Answer { work_ms: 300 };
        let Some(key) = request.nonce.clone() else {
            return answer;
        };
        let mut effects = shared.lock().unwrap();
        let is_remembered = effects
            .first_read_at
            .get(&key)
            .is_some_and(|at| now() - at <= WINDOW_US);
        if is_remembered {
            lines.line(&format!("the repeat {} of {key} is dropped", request.id));
            return answer;
        }
        effects.first_read_at.insert(key.clone(), now());
        effects.applied.entry(key.clone()).or_default().push(now());
        lines.line(&format!("the load {key} is applied for {}", request.id));
        // The answer to the first run of each load gets lost.
        match has_trouble && effects.unanswered.insert(key) {
            true => Plan::NeverAnswer,
            false => answer,
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
    let controller = Controller::start(
        &scene.root,
        &limits,
        &site_classes("by_key"),
        &executors,
        &log,
    )?;
    let address = controller.address;
    let clients: Vec<_> = (0..LOADS)
        .map(|load| {
            let record = record.clone();
            std::thread::spawn(move || {
                sleep_ms(100 * load);
                let begun_at = now();
                let mut words = Vec::new();
                for attempt in 0..2 {
                    let left_ms = DEADLINE_MS - (now() - begun_at) / 1_000;
                    if left_ms < 100 {
                        break;
                    }
                    let id = format!("{:016x}", load << 8 | attempt);
                    let mut call = Call::new(CLASS, id, TRY_MS.min(left_ms as u64));
                    call.key = Some(format!("load-{load}"));
                    call.is_retry = attempt > 0;
                    record.line(&format!(
                        "load-{load} is sent as {}, {} ms",
                        call.id, call.timeout_ms
                    ));
                    let answer = exchange(address, &call.text(), call.timeout_ms + 500);
                    let word = answer
                        .as_ref()
                        .map_or("no answer", |response| response.word());
                    record.line(&format!("load-{load} got {word} to {}", call.id));
                    words.push(word);
                    // On a refusal, trying again is harmless. On anything else, the time in which a repeat is dropped is over.
                    let Some(refusal) = answer.ok().filter(|response| response.is_refusal()) else {
                        break;
                    };
                    let advice = refusal
                        .header("Retry-After-Ms")
                        .and_then(|ms| ms.parse().ok());
                    sleep_ms(advice.unwrap_or(0).max(100));
                }
                words
            })
        })
        .collect();
    let mut answers = Vec::new();
    for client in clients {
        answers.push(client.join().unwrap_or_default());
    }
    record.say(&format!("answers to each load: {answers:?}"));
    let effects = effects.lock().unwrap();
    let twice: Vec<String> = effects
        .applied
        .iter()
        .filter(|(_, times)| times.len() > 1)
        .map(|(key, times)| format!("{key} ({} ms apart)", (times[1] - times[0]) / 1_000))
        .collect();
    if effects.applied.is_empty() {
        return Err(std::io::Error::other("no load reached an executor"));
    }
    Ok(match twice.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken(vec![format!(
            "{} of {LOADS} loads were refused as harmless to repeat, and applied twice: {}",
            twice.len(),
            twice.join(", ")
        )]),
    })
}
