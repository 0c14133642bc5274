//! `run`: replays a capture and reports whether all decisions equal the recorded ones.

use super::{first_time, print_step, read_names, Outcome};
use anyhow::Result;
use std::path::Path;
use std::time::{Duration, Instant};
use wheelfield::interface::Micros;
use wheelfield_console::outln;
use wheelfield_driver::Instruction;
use wheelfield_replay::describe::{describe_input, describe_instruction, Names};
use wheelfield_replay::{run, Difference, Options, Verdict};

/// Replays a capture up to `times` times and prints the result of the last replay. Stops at the first replay that finds a
/// difference. If `from` is given, each replay starts at the last checkpoint before that many seconds after the start.
pub fn run_capture(file: &Path, over_gaps: bool, from: Option<f64>, times: u32) -> Result<Outcome> {
    let start = first_time(file)?;
    let from = from.map(|seconds| start + Micros::from_secs_f64(seconds));
    let times = times.max(1);
    let mut verdict = Verdict::default();
    let started_at = Instant::now();
    for _ in 0..times {
        verdict = run(file, Options { over_gaps, from })?;
        if !verdict.equal() {
            break;
        }
    }
    let elapsed = started_at.elapsed();
    if let Some(difference) = &verdict.difference {
        print_difference(difference, start, &read_names(file)?);
    } else if let Some(step) = verdict.state_differs {
        outln!(
            "all decisions up to step {step} are equal, but the state at the checkpoint after it differs"
        );
    } else {
        print_equal(&verdict, times, elapsed);
    }
    for span in &verdict.unverified {
        let (after, to) = (span.after_step, span.to_step);
        outln!("records are missing: steps after {after} up to {to} could not be verified");
    }
    if let Some(after) = verdict.truncated_after {
        outln!("the file ends with an incomplete block after step {after}; `repair` removes it");
    }
    Ok(Outcome::from_all_equal(verdict.equal()))
}

fn print_difference(difference: &Difference, start: Micros, names: &Names) {
    let recorded = &difference.recorded;
    outln!(
        "difference at step {}, {:.3} s into the capture",
        recorded.number,
        (recorded.at - start).as_secs_f64()
    );
    outln!("preceding steps:");
    difference
        .context
        .iter()
        .for_each(|step| print_step(step, start, names, "  "));
    outln!("input: {}", describe_input(recorded, names));
    print_answer("recorded", &recorded.answer, names);
    print_answer("replayed", &difference.replayed, names);
}

fn print_answer(title: &str, answer: &[Instruction], names: &Names) {
    outln!("{title}:");
    answer
        .iter()
        .for_each(|instruction| outln!("  {}", describe_instruction(instruction, names)));
}

fn print_equal(verdict: &Verdict, times: u32, elapsed: Duration) {
    let span = verdict
        .time_range
        .map_or(0.0, |(first, last)| (last - first).as_secs_f64());
    let elapsed = elapsed.as_secs_f64();
    outln!(
        "equal: {} steps, {} instructions and {} checkpoints over {span:.1} s, replayed {times} times in {elapsed:.2} s ({:.0} times real time)",
        verdict.steps,
        verdict.instructions,
        verdict.checkpoints,
        span * f64::from(times) / elapsed.max(1e-9)
    );
}
