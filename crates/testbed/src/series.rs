//! A day as it went: what a report draws. No I/O.

use crate::crowd::Try;
use crate::day::Day;
use crate::plan::Plan;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use wheelfield_invariants::{ClientOutcome, HistoryEvent};

/// A trouble, in seconds from the day's start.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Shade {
    /// Its kind.
    pub kind: String,
    /// From
    pub from: f64,
    /// to.
    pub to: f64,
}

/// The course of a day, by second.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Series {
    /// Queries that were first wanted in each second,
    pub wanted: Vec<u32>,
    /// the share of their worth that was answered in time,
    pub service: Vec<f64>,
    /// final answers given: served,
    pub served: Vec<u32>,
    /// refused,
    pub refused: Vec<u32>,
    /// failed;
    pub failed: Vec<u32>,
    /// attempts that engines received: the decisions to send.
    pub attempts: Vec<u32>,
    /// Attempts received by each engine, by its name.
    pub engines: BTreeMap<String, Vec<u32>>,
    /// Ends without a service, by their reason.
    pub reasons: BTreeMap<String, u64>,
    /// Latency from the intended send time in milliseconds, at these shares of all that were served.
    pub latency_ms: Vec<(f64, f64)>,
    /// Troubles.
    pub shades: Vec<Shade>,
}

/// Shares at which the latency is kept.
const SHARES: [f64; 20] = [
    0.0, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.75, 0.8, 0.85, 0.9, 0.93, 0.95, 0.97, 0.98, 0.99, 0.995,
    0.999,
];

fn reason(t: &Try) -> Option<&'static str> {
    Some(match (t.end?, t.state.as_str()) {
        (ClientOutcome::Served, _) => return None,
        (ClientOutcome::Refused, _) if t.advice_ms.is_some() => "refused, with advice",
        (ClientOutcome::Refused, _) => "refused, without advice",
        (ClientOutcome::Failed, "57014") => "cancelled by its client",
        (ClientOutcome::Failed, "08007") => "failed, may have run",
        (ClientOutcome::Failed, _) => "failed, did not run",
        (ClientOutcome::Left, _) => "client left",
        (ClientOutcome::NoAnswer, _) => "no answer",
        (ClientOutcome::Broke, _) => "connection broke",
        (ClientOutcome::Unreachable, _) => "controller not there",
    })
}

impl Series {
    /// Of a day that was played from `start` on.
    #[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
    pub fn from_run(day: &Day, plan: &Plan, start: i64, tries: &[Try], log: &[HistoryEvent]) -> Series {
        let seconds = (day.length.0 .0 as usize).div_ceil(1_000_000).max(1);
        let second = |t: i64| ((t - start).max(0) as usize / 1_000_000).min(seconds - 1);
        let zeros = || vec![0_u32; seconds];
        let mut s = Series {
            wanted: zeros(),
            served: zeros(),
            refused: zeros(),
            failed: zeros(),
            attempts: zeros(),
            ..Series::default()
        };
        let (mut worth, mut got) = (vec![0.0; seconds], vec![0.0; seconds]);
        let mut last: BTreeMap<usize, &Try> = BTreeMap::new();
        let mut latency = Histogram::<u64>::new_with_bounds(1, 3_600_000_000, 3).ok();
        for t in tries {
            last.insert(t.arrival, t);
            let at = second(t.ended);
            match t.end {
                Some(ClientOutcome::Served) => s.served[at] += 1,
                Some(ClientOutcome::Refused) => s.refused[at] += 1,
                Some(ClientOutcome::Failed) => s.failed[at] += 1,
                _ => {}
            }
            if let Some(why) = reason(t) {
                *s.reasons.entry(why.to_string()).or_default() += 1;
            }
            if t.end == Some(ClientOutcome::Served) {
                if let Some(h) = &mut latency {
                    let _ = h.record((t.ended - t.sent + t.late_us).max(1) as u64);
                }
            }
        }
        for (i, a) in plan.arrivals.iter().enumerate() {
            let at = (a.at as usize / 1_000_000).min(seconds - 1);
            let (c, Some(t)) = (&day.classes[a.class], last.get(&i)) else { continue };
            if t.end == Some(ClientOutcome::Left) {
                continue;
            }
            s.wanted[at] += 1;
            worth[at] += c.worth;
            if t.end == Some(ClientOutcome::Served) {
                let aim = c.aim.0 .0 as f64 + c.aim_stretch * a.work / c.threads * 1e6;
                let in_time = (t.ended - (start + a.at)) as f64 <= aim;
                got[at] += if in_time { c.worth } else { c.worth * c.late_worth };
            }
        }
        s.service = worth.iter().zip(&got).map(|(w, g)| if *w > 0.0 { g / w } else { 1.0 }).collect();
        for line in log.iter().filter(|l| l.event == "received") {
            let at = second(line.at);
            s.attempts[at] += 1;
            s.engines.entry(line.engine.clone()).or_insert_with(zeros)[at] += 1;
        }
        if let Some(h) = latency.filter(|h| !h.is_empty()) {
            s.latency_ms = SHARES.iter().map(|q| (*q, h.value_at_quantile(*q) as f64 / 1e3)).collect();
        }
        let shade = |t: &crate::plan::DrawnTrouble| Shade {
            kind: t.kind.clone(),
            from: t.from as f64 / 1e6,
            to: t.to as f64 / 1e6,
        };
        s.shades = plan.troubles.iter().map(shade).collect();
        s
    }
}
