//! The judge.

use crate::history::{ClientOutcome, ClockTolerance, History, HistoryEvent, QueryRecord};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use wheelfield::interface::{DeduplicationScope, ExecutionSemantics, Micros};

/// The names of the rules, in their order; and last, that each answer is its own query's and whole.
pub const RULES: [&str; 8] = ["lost", "twice", "drain", "cold", "order", "placement", "budget", "answer"];

/// A broken rule.
#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    /// Which rule.
    pub rule: &'static str,
    /// When, in microseconds from the day's start.
    pub at: i64,
    /// What was seen.
    #[serde(rename = "what")]
    pub description: String,
}

/// An attempt as the engines saw it.
#[derive(Clone, Debug)]
struct Attempt<'a> {
    received: &'a HistoryEvent,
    /// When it ended there, and whether it was turned away unseen.
    ended: i64,
    refused: bool,
}

struct Checker<'a> {
    e: &'a History<'a>,
    attempts: BTreeMap<&'a str, Vec<Attempt<'a>>>,
    asked: BTreeMap<&'a str, &'a QueryRecord>,
    /// Spans in which an engine hung: what it reads at their end was sent before.
    hangs: BTreeMap<&'a str, Vec<(i64, i64)>>,
    breaches: Vec<Violation>,
}

/// Judges a day.
pub fn check_history(evidence: &History<'_>) -> Vec<Violation> {
    let mut judge = Checker::new(evidence);
    judge.gather();
    judge.lost();
    judge.twice();
    judge.drain();
    judge.cold();
    judge.order();
    judge.placement();
    judge.budget();
    judge.answer();
    judge.breaches.sort_by_key(|b| b.at);
    judge.breaches
}

/// Work that a cold engine was sent within the span, and could do in it.
struct ColdDispatch<'a> {
    line: &'a HistoryEvent,
    work: f64,
    able: f64,
    queries: usize,
}

/// The largest multiple of what it could do that each cold engine was sent within the span of the settings; one query alone
/// counts for nothing.
pub fn slow_start_overload_peaks(evidence: &History<'_>) -> BTreeMap<String, f64> {
    let judge = Checker::new(evidence);
    let mut peaks: BTreeMap<String, f64> = BTreeMap::new();
    for sent in judge.sent_cold().into_iter().filter(|s| s.queries > 1) {
        let peak = peaks.entry(sent.line.engine.clone()).or_default();
        *peak = peak.max(sent.work / sent.able.max(1e-9));
    }
    peaks
}

fn controller_of(by: &str) -> Option<usize> {
    by.strip_prefix("wheelfield/")?.parse().ok()
}

impl<'a> Checker<'a> {
    fn new(evidence: &'a History<'a>) -> Checker<'a> {
        Checker {
            e: evidence,
            attempts: BTreeMap::new(),
            asked: evidence.queries.iter().map(|t| (t.id.as_str(), t)).collect(),
            hangs: BTreeMap::new(),
            breaches: Vec::new(),
        }
    }

    fn breach(&mut self, rule: &'static str, at: i64, what: String) {
        self.breaches.push(Violation { rule, at: at - self.e.started_at, description: what });
    }

    /// Each answer is its own client's own query's, and whole if it is told as whole.
    fn answer(&mut self) {
        for t in self.e.queries {
            if let Some(wrong) = &t.answer_error {
                self.breach("answer", t.ended_at, format!("{}: {wrong}", t.id));
            }
        }
    }

    fn gather(&mut self) {
        for line in self.e.events {
            let query = line.query.as_deref();
            match (line.event.as_str(), query) {
                ("received", Some(query)) => {
                    let attempt = Attempt { received: line, ended: i64::MAX, refused: false };
                    self.attempts.entry(query).or_default().push(attempt);
                }
                ("finished" | "dropped" | "refused" | "errored", Some(query)) => {
                    let all = self.attempts.entry(query).or_default();
                    let same = |a: &&mut Attempt<'_>| {
                        a.received.engine == line.engine
                            && a.received.sent_by == line.sent_by
                            && a.ended == i64::MAX
                    };
                    if let Some(a) = all.iter_mut().find(same) {
                        (a.ended, a.refused) = (line.at, line.event == "refused");
                    }
                }
                ("fault", _) if line.kind == "hang" => {
                    let spans = self.hangs.entry(line.engine.as_str()).or_default();
                    match spans.last_mut() {
                        Some(last) if line.value == 0.0 => last.1 = line.at,
                        _ if line.value > 0.0 => spans.push((line.at, i64::MAX)),
                        _ => {}
                    }
                }
                _ => {}
            }
        }
    }

    /// Whether an engine stood still at some time in a span.
    fn hung(&self, engine: &str, from: i64, to: i64) -> bool {
        let spans = self.hangs.get(engine).map(Vec::as_slice).unwrap_or(&[]);
        spans.iter().any(|(a, b)| *a <= to && *b >= from)
    }

    /// Whether a controller ran without a break in a span.
    fn ran(&self, controller: usize, from: i64, to: i64) -> bool {
        let lives = self.e.lifetimes.iter().filter(|l| l.controller == controller);
        lives.clone().any(|l| l.started_at <= from && l.ended_at.is_none_or(|k| k > to))
    }

    fn stood_still(&self, controller: usize, from: i64, to: i64) -> bool {
        let mut lives = self.e.lifetimes.iter().filter(|l| l.controller == controller);
        lives.any(|l| l.stalls.iter().any(|(a, b)| *a <= to && *b >= from))
    }

    /// Rule 1: one final answer before the client gives up, and nothing after.
    fn lost(&mut self) {
        for t in self.e.queries {
            let answered = matches!(
                t.outcome,
                Some(ClientOutcome::Served | ClientOutcome::Refused | ClientOutcome::Failed)
            );
            if t.answer_count > 1 {
                self.breach("lost", t.ended_at, format!("{} got {} answers", t.id, t.answer_count));
            }
            if let Some(tag) = t.message_after_answer {
                self.breach("lost", t.ended_at, format!("{} got a message '{tag}' after its answer", t.id));
            }
            // A controller that stood still could not answer; it is judged by what it does when it goes on.
            let excused = !self.ran(t.controller, t.sent_at, t.ended_at.min(t.deadline) + 1)
                || self.stood_still(t.controller, t.sent_at, t.deadline);
            if answered && t.ended_at > t.deadline + self.e.tolerance.answer_slack && !excused {
                let late = (t.ended_at - t.deadline) / 1000;
                self.breach(
                    "lost",
                    t.ended_at,
                    format!("{} was answered {late} ms after its client gave up", t.id),
                );
            }
            if matches!(t.outcome, Some(ClientOutcome::NoAnswer)) && !excused {
                self.breach(
                    "lost",
                    t.deadline,
                    format!("{} got no answer from controller {}", t.id, t.controller),
                );
            }
            if matches!(t.outcome, Some(ClientOutcome::Broke)) && !excused {
                self.breach(
                    "lost",
                    t.ended_at,
                    format!("the connection of {} broke at controller {}", t.id, t.controller),
                );
            }
            if t.outcome.is_none() {
                self.breach("lost", t.sent_at, format!("{} did not end", t.id));
            }
            if !answered && t.outcome != Some(ClientOutcome::Left) {
                continue;
            }
            let attempts = self.attempts.get(t.id.as_str()).cloned().unwrap_or_default();
            for a in attempts {
                let r = a.received;
                if r.at > t.ended_at + self.e.tolerance.transit && !self.hung(&r.engine, t.ended_at, r.at) {
                    let after = (r.at - t.ended_at) / 1000;
                    self.breach(
                        "lost",
                        r.at,
                        format!("{} was sent to {} {after} ms after its end", t.id, r.engine),
                    );
                }
            }
        }
    }

    /// Rule 2: nothing runs twice that must not, and a refusal is true.
    fn twice(&mut self) {
        for t in self.e.queries {
            let Some(class) = self.e.settings.classes.get(t.class) else { continue };
            let ran: Vec<Attempt<'_>> = self
                .attempts
                .get(t.id.as_str())
                .into_iter()
                .flatten()
                .filter(|a| !a.refused)
                .cloned()
                .collect();
            match class.semantics {
                ExecutionSemantics::Idempotent => {}
                ExecutionSemantics::AtMostOnce => {
                    if ran.len() > 1 {
                        let where_: Vec<&str> = ran.iter().map(|a| a.received.engine.as_str()).collect();
                        self.breach(
                            "twice",
                            ran[1].received.at,
                            format!("{} ran at {}", t.id, where_.join(" and ")),
                        );
                    }
                    if t.outcome == Some(ClientOutcome::Refused) && !ran.is_empty() {
                        self.breach(
                            "twice",
                            t.ended_at,
                            format!("{} was refused, but ran at {}", t.id, ran[0].received.engine),
                        );
                    }
                }
                ExecutionSemantics::IdempotencyKey => {
                    let Some((first, others)) = ran.split_first() else { continue };
                    for a in others {
                        let (one, other) = (first.received, a.received);
                        let inside = match class.deduplication_scope {
                            DeduplicationScope::All => true,
                            DeduplicationScope::Zone => one.zone == other.zone,
                            DeduplicationScope::Cell => one.cell == other.cell,
                        };
                        let late = other.at - one.at
                            > class.deduplication_window.0 + self.e.tolerance.window_slack
                            && !self.hung(&other.engine, one.at, other.at);
                        if !inside || late {
                            let why = if inside { "after its window" } else { "outside of its group" };
                            self.breach(
                                "twice",
                                other.at,
                                format!("{} went to {} {why}", t.id, other.engine),
                            );
                        }
                    }
                }
            }
        }
    }

    /// Rule 3: nothing new later than the grace after a controller was told.
    fn drain(&mut self) {
        let grace = self.e.drain_grace;
        let mut told: BTreeMap<(usize, &str), i64> = BTreeMap::new();
        let mut found = Vec::new();
        for line in self.e.events {
            if line.event == "told" {
                let Ok(who) = line.controller.parse::<usize>() else { continue };
                let named: BTreeSet<&str> =
                    line.unavailable_engines.iter().map(|n| n.engine.as_str()).collect();
                told.retain(|(w, engine), _| *w != who || named.contains(engine));
                for engine in named {
                    told.entry((who, engine)).or_insert(line.at);
                }
            }
            if line.event == "received" {
                let Some(who) = controller_of(&line.sent_by) else { continue };
                let Some(at) = told.get(&(who, line.engine.as_str())) else { continue };
                if line.at > at + grace
                    && !self.hung(&line.engine, *at, line.at)
                    && !self.stood_still(who, *at, line.at)
                {
                    let query = line.query.as_deref().unwrap_or("?");
                    let after = (line.at - at) / 1000;
                    found.push((
                        line.at,
                        format!(
                            "controller {who} sent {query} to {} {after} ms after it was told",
                            line.engine
                        ),
                    ));
                }
            }
        }
        for (at, what) in found {
            self.breach("drain", at, what);
        }
    }

    /// The usual work of a class, in seconds of one thread.
    fn usual_work(&self, class: usize) -> f64 {
        self.e.classes.get(class).map_or(0.0, |c| c.typical_work)
    }

    /// What cold engines were sent within the span, each time that one was sent something.
    fn sent_cold(&self) -> Vec<ColdDispatch<'a>> {
        let s = self.e.settings;
        let Micros(span) = s.overload_window;
        let mut sent: BTreeMap<&str, VecDeque<(i64, f64)>> = BTreeMap::new();
        let mut found = Vec::new();
        if s.overload_multiple <= 0.0 || span <= 0 {
            return found;
        }
        for line in self.e.events {
            let engine = line.engine.as_str();
            match line.event.as_str() {
                "restarted" => {
                    sent.remove(engine);
                }
                "received" if line.capacity_fraction < 1.0 && line.capacity_fraction > 0.0 => {
                    let tried = line.query.as_deref().and_then(|q| self.asked.get(q));
                    let Some(class) = tried.map(|t| t.class) else { continue };
                    let window = sent.entry(engine).or_default();
                    window.push_back((line.at, self.usual_work(class)));
                    while window.front().is_some_and(|(t, _)| *t < line.at - span) {
                        window.pop_front();
                    }
                    let work: f64 = window.iter().map(|(_, w)| w).sum();
                    let cores = self.e.engine_cores.get(engine).copied().unwrap_or(1.0);
                    let able = cores * line.capacity_fraction * span as f64 / 1e6;
                    found.push(ColdDispatch { line, work, able, queries: window.len() });
                }
                _ => {}
            }
        }
        found
    }

    /// Rule 4: all controllers together don't push over a cold engine.
    fn cold(&mut self) {
        let multiple = self.e.settings.overload_multiple;
        let fell = self.e.events.iter().filter(|l| l.event == "fell_over");
        let mut found: Vec<(i64, String)> = fell
            .map(|l| (l.at, format!("{} was sent too much while cold and fell over", l.engine)))
            .collect();
        let mut over: BTreeSet<(&str, i64)> = BTreeSet::new();
        for sent in self.sent_cold() {
            let ColdDispatch { line, work, able, queries } = sent;
            let engine = line.engine.as_str();
            let starts = self.e.events.iter().filter(|l| l.event == "restarted" && l.engine == engine);
            // One query alone is no flood, and one breach tells of a start.
            if work > multiple * able && queries > 1 {
                let start = starts.map(|l| l.at).filter(|t| *t <= line.at).max().unwrap_or(0);
                if over.insert((engine, start)) {
                    let (warmth, able) = (line.capacity_fraction, multiple * able);
                    let what =
                        format!("{engine} at {warmth:.2} of its work was sent {work:.1} of {able:.1} s");
                    found.push((line.at, what));
                }
            }
        }
        for (at, what) in found {
            self.breach("cold", at, what);
        }
    }

    /// Rule 5: queries of one key one at a time, in turn.
    fn order(&mut self) {
        let ClockTolerance { window_slack: edge, order_resolution: unordered, .. } = self.e.tolerance;
        let mut lines: BTreeMap<(usize, &str), Vec<&QueryRecord>> = BTreeMap::new();
        for t in self.e.queries {
            let in_order = self.e.settings.classes.get(t.class).is_some_and(|c| c.ordered_by_key);
            if let Some(key) = t.key.as_deref().filter(|_| in_order) {
                lines.entry((t.controller, key)).or_default().push(t);
            }
        }
        let mut found = Vec::new();
        for ((controller, key), tries) in &lines {
            for (i, t) in tries.iter().enumerate() {
                for earlier in &tries[..i] {
                    // What another process of the controller took, this one never heard of.
                    if !self.ran(*controller, earlier.sent_at, t.sent_at) {
                        continue;
                    }
                    let all =
                        |t: &QueryRecord| self.attempts.get(t.id.as_str()).map(Vec::as_slice).unwrap_or(&[]);
                    for a in all(t) {
                        for b in all(earlier) {
                            let overlaps = a.received.at < b.ended && a.received.at > b.received.at;
                            let overtakes = b.received.at > a.received.at + edge
                                && t.sent_at - earlier.sent_at > unordered;
                            let hung = self.hung(&b.received.engine, b.received.at, a.received.at)
                                || self.hung(
                                    &a.received.engine,
                                    b.received.at.min(a.received.at),
                                    a.received.at.max(b.received.at),
                                );
                            if (overlaps || overtakes) && !hung {
                                found.push((
                                    a.received.at,
                                    format!("{} ran before {} of key {key} was over", t.id, earlier.id),
                                ));
                            }
                        }
                    }
                }
            }
        }
        for (at, what) in found {
            self.breach("order", at, what);
        }
    }

    /// Rule 6: a bound class goes only where it may.
    fn placement(&mut self) {
        let mut found = Vec::new();
        for line in self.e.events.iter().filter(|l| l.event == "received") {
            let Some(t) = line.query.as_deref().and_then(|q| self.asked.get(q)) else { continue };
            let Some(class) = self.e.classes.get(t.class) else { continue };
            let open = |names: &[String], is: &str| names.is_empty() || names.iter().any(|n| n == is);
            if !open(&class.zones, &line.zone) || !open(&class.kinds, &line.kind) {
                found.push((
                    line.at,
                    format!(
                        "{} of class {} went to {} in zone {:?}",
                        t.id, class.name, line.engine, line.zone
                    ),
                ));
            }
        }
        for (at, what) in found {
            self.breach("placement", at, what);
        }
    }

    /// Rule 7: further attempts within the budget.
    fn budget(&mut self) {
        let Some(budget) = self.e.settings.retry_budget else { return };
        let (span, edge) = (budget.window.0, self.e.tolerance.window_slack);
        // What a controller started, where that is known; else what arrived.
        let starts = self.e.events.iter().any(|l| l.event == "sent");
        let counted = if starts { "sent" } else { "received" };
        let mut found = Vec::new();
        // Each process counts from its start.
        for life in self.e.lifetimes {
            let controller = life.controller;
            let mine = |t: i64| t >= life.started_at && life.ended_at.is_none_or(|k| t <= k);
            let taken: Vec<i64> = {
                let sent = self.e.queries.iter().filter(|t| t.controller == controller).map(|t| t.sent_at);
                let mut all: Vec<i64> = sent.filter(|t| mine(*t)).collect();
                all.sort_unstable();
                all
            };
            let mut further: VecDeque<i64> = VecDeque::new();
            let received = |l: &&HistoryEvent| {
                l.event == counted && controller_of(&l.sent_by) == Some(controller) && mine(l.at)
            };
            // What an engine read as its hang ended was sent before: that was an earlier attempt, whenever it was.
            let read_late = |l: &HistoryEvent| {
                let sent = l.query.as_deref().and_then(|q| self.asked.get(q)).map_or(l.at, |t| t.sent_at);
                self.hung(&l.engine, sent, l.at)
            };
            // Since when: one that arrived before the hang began may have been the first.
            let mut late: BTreeMap<&str, i64> = BTreeMap::new();
            for line in self.e.events.iter().filter(received).filter(|l| read_late(l)) {
                let spans = self.hangs.get(line.engine.as_str()).map_or(&[][..], Vec::as_slice);
                let from = spans.iter().filter(|(_, b)| *b <= line.at).map(|(a, _)| *a).max();
                if let Some(query) = line.query.as_deref() {
                    let since = late.entry(query).or_insert(i64::MAX);
                    *since = (*since).min(from.unwrap_or(i64::MIN));
                }
            }
            let mut seen: BTreeSet<&str> = BTreeSet::new();
            for line in self.e.events.iter().filter(received).filter(|l| !read_late(l)) {
                let Some(query) = line.query.as_deref() else { continue };
                // Of a process that was entered in the middle, the queries of the span before are not known.
                let unknown = life.begins_mid_run && line.at < life.started_at + span;
                let first = seen.insert(query) && late.get(query).is_none_or(|since| line.at < *since);
                if first || unknown || self.stood_still(controller, line.at - span, line.at) {
                    continue;
                }
                further.push_back(line.at);
                while further.front().is_some_and(|t| *t <= line.at - span + edge) {
                    further.pop_front();
                }
                let from = taken.partition_point(|t| *t < line.at - span - edge);
                let to = taken.partition_point(|t| *t <= line.at + edge);
                let allowed = budget.guaranteed + budget.fraction * (to - from) as f64;
                if further.len() as f64 > allowed {
                    found.push((
                        line.at,
                        format!(
                            "controller {controller}: {} further attempts, {allowed:.1} allowed",
                            further.len()
                        ),
                    ));
                }
            }
        }
        for (at, what) in found {
            self.breach("budget", at, what);
        }
    }
}
