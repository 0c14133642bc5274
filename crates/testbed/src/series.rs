//! Time series of one played day, from which reports are drawn. No I/O.

use crate::client_pool::Attempt;
use crate::day::Day;
use crate::plan::Plan;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use wheelfield_invariants::{ClientOutcome, HistoryEvent};

/// A trouble's time span, in seconds from the start of the day.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TroubleSpan {
    /// Kind of the trouble, as in the script.
    pub kind: String,
    /// Start.
    pub from: f64,
    /// End.
    pub to: f64,
}

/// Counts of one day by second, with summaries of the whole day.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Series {
    /// Queries whose first try was due in each second, without those that their clients abandoned.
    #[serde(rename = "wanted")]
    pub queries_due: Vec<u32>,
    /// Share of the value (`worth`) of those queries that was delivered; late answers count in part.
    pub service: Vec<f64>,
    /// Tries that ended as served.
    pub served: Vec<u32>,
    /// Tries that ended as refused.
    pub refused: Vec<u32>,
    /// Tries that ended as failed.
    pub failed: Vec<u32>,
    /// Attempts that engines received.
    pub attempts: Vec<u32>,
    /// Attempts that each engine received, by the engine's name.
    pub engines: BTreeMap<String, Vec<u32>>,
    /// Tries that were not served, by reason.
    pub reasons: BTreeMap<String, u64>,
    /// Latency quantiles of served tries, as pairs of quantile and milliseconds from the intended send time.
    pub latency_ms: Vec<(f64, f64)>,
    /// Troubles of the day, shaded in plots.
    #[serde(rename = "shades")]
    pub trouble_spans: Vec<TroubleSpan>,
}

/// Quantiles at which the latency is recorded.
const LATENCY_QUANTILES: [f64; 20] = [
    0.0, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.75, 0.8, 0.85, 0.9, 0.93, 0.95, 0.97, 0.98, 0.99, 0.995,
    0.999,
];

fn failure_reason(t: &Attempt) -> Option<&'static str> {
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
    /// Builds the series of a day that started at `start`.
    #[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
    pub fn from_run(day: &Day, plan: &Plan, start: i64, tries: &[Attempt], log: &[HistoryEvent]) -> Series {
        let seconds = (day.length.0 .0 as usize).div_ceil(1_000_000).max(1);
        let second = |t: i64| ((t - start).max(0) as usize / 1_000_000).min(seconds - 1);
        let zeros = || vec![0_u32; seconds];
        let mut s = Series {
            queries_due: zeros(),
            served: zeros(),
            refused: zeros(),
            failed: zeros(),
            attempts: zeros(),
            ..Series::default()
        };
        let (mut worth, mut delivered) = (vec![0.0; seconds], vec![0.0; seconds]);
        let mut last_tries: BTreeMap<usize, &Attempt> = BTreeMap::new();
        let mut latency = Histogram::<u64>::new_with_bounds(1, 3_600_000_000, 3).ok();
        for t in tries {
            last_tries.insert(t.arrival, t);
            let at = second(t.ended);
            match t.end {
                Some(ClientOutcome::Served) => s.served[at] += 1,
                Some(ClientOutcome::Refused) => s.refused[at] += 1,
                Some(ClientOutcome::Failed) => s.failed[at] += 1,
                _ => {}
            }
            if let Some(why) = failure_reason(t) {
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
            let (class, Some(t)) = (&day.classes[a.class], last_tries.get(&i)) else { continue };
            if t.end == Some(ClientOutcome::Left) {
                continue;
            }
            s.queries_due[at] += 1;
            worth[at] += class.worth;
            if t.end == Some(ClientOutcome::Served) {
                let target_us = class.aim.0 .0 as f64 + class.aim_stretch * a.work / class.threads * 1e6;
                let in_time = (t.ended - (start + a.at)) as f64 <= target_us;
                delivered[at] += if in_time { class.worth } else { class.worth * class.late_worth };
            }
        }
        s.service = worth.iter().zip(&delivered).map(|(w, g)| if *w > 0.0 { g / w } else { 1.0 }).collect();
        for line in log.iter().filter(|l| l.event == "received") {
            let at = second(line.at);
            s.attempts[at] += 1;
            s.engines.entry(line.engine.clone()).or_insert_with(zeros)[at] += 1;
        }
        if let Some(h) = latency.filter(|h| !h.is_empty()) {
            s.latency_ms =
                LATENCY_QUANTILES.iter().map(|q| (*q, h.value_at_quantile(*q) as f64 / 1e3)).collect();
        }
        let span = |t: &crate::plan::DrawnTrouble| TroubleSpan {
            kind: t.kind.clone(),
            from: t.from as f64 / 1e6,
            to: t.to as f64 / 1e6,
        };
        s.trouble_spans = plan.troubles.iter().map(span).collect();
        s
    }
}
