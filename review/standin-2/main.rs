//! The stand-ins of the second review and its cases. `standin CASE ROOT FOLDER` plays a case against the controller of the
//! repository at ROOT and writes `record.txt` to FOLDER. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
//! could not run. With TROUBLE=0 in the environment, the disruption is left out.

mod client;
mod controller;
mod endless_answer;
mod executor;
mod large_statements;
mod names;
mod pipelined_calls;
mod refused_keyed;
mod util;

use std::process::exit;
use std::sync::Arc;
use util::{sleep_ms, Record};

/// What a case needs to know.
pub struct Scene {
    pub root: String,
    pub folder: String,
    pub has_trouble: bool,
    pub record: Arc<Record>,
}

/// What a case found.
pub enum Verdict {
    Held,
    Broken(Vec<String>),
}

/// No case may take longer than this, in milliseconds.
const MAX_DURATION_MS: u64 = 110_000;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, folder] = &arguments[..] else {
        eprintln!("usage: standin CASE ROOT FOLDER");
        exit(2);
    };
    let record = match Record::create(&format!("{folder}/record.txt")) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("can't write record.txt: {error}");
            exit(2);
        }
    };
    let scene = Scene {
        root: root.clone(),
        folder: folder.clone(),
        has_trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
        record: record.clone(),
    };
    let play: fn(&Scene) -> std::io::Result<Verdict> = match case.as_str() {
        "pipelined-calls" => pipelined_calls::play,
        "endless-answer" => endless_answer::play,
        "large-statements" => large_statements::play,
        "refused-keyed" => refused_keyed::play,
        _ => {
            eprintln!("no case {case}");
            exit(2);
        }
    };
    record.line(&format!("case {case}, disruption: {}", scene.has_trouble));
    // The case runs in a thread of its own, so that a fault of the stand-ins ends with 2.
    let player = std::thread::spawn(move || play(&scene));
    for _ in 0..MAX_DURATION_MS / 50 {
        if player.is_finished() {
            break;
        }
        sleep_ms(50);
    }
    if !player.is_finished() {
        record.say("could not run: the case took too long");
        controller::kill_all();
        exit(2);
    }
    let code = match player.join() {
        Ok(Ok(Verdict::Held)) => {
            record.say("held");
            0
        }
        Ok(Ok(Verdict::Broken(findings))) => {
            for finding in findings {
                record.say(&format!("broken: {finding}"));
            }
            1
        }
        Ok(Err(error)) => {
            record.say(&format!("could not run: {error}"));
            2
        }
        Err(_) => {
            record.say("could not run: a stand-in failed");
            2
        }
    };
    controller::kill_all();
    exit(code);
}
