//! Checks a history against the rules.

use crate::history::{ClientOutcome, ClockTolerance, History, HistoryEvent, QueryRecord};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use wheelfield::interface::{DeduplicationScope, ExecutionSemantics, Micros};

/// The names of the seven rules in order, and "answer": each answer belongs to its query and is complete.
pub const RULES: [&str; 8] = ["lost", "twice", "drain", "cold", "order", "placement", "budget", "answer"];

/// A violation of a rule.
#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    /// Name of the rule.
    pub rule: &'static str,
    /// Time of the violation, in microseconds since the start of the history.
    pub at: i64,
    /// Description of the violation.
    #[serde(rename = "what")]
    pub description: String,
}

/// An attempt as recorded by its engine.
#[derive(Clone, Debug)]
struct Attempt<'a> {
    received: &'a HistoryEvent,
    ended_at: i64,
    /// Whether the engine refused the attempt without running it.
    was_refused: bool,
}

struct Checker<'a> {
    history: &'a History<'a>,
    attempts: BTreeMap<&'a str, Vec<Attempt<'a>>>,
    queries: BTreeMap<&'a str, &'a QueryRecord>,
    /// Spans in which an engine hung. What it reads at the end of a span was sent earlier.
    hangs: BTreeMap<&'a str, Vec<(i64, i64)>>,
    violations: Vec<Violation>,
}

/// Checks a history and returns all violations in order of time.
pub fn check_history(history: &History<'_>) -> Vec<Violation> {
    let mut checker = Checker::new(history);
    checker.index_events();
    checker.check_lost();
    checker.check_twice();
    checker.check_drain();
    checker.check_cold();
    checker.check_order();
    checker.check_placement();
    checker.check_budget();
    checker.check_answer();
    checker.violations.sort_by_key(|violation| violation.at);
    checker.violations
}

/// An attempt that an engine in slow start received, with the load of the overload window that ends with it.
struct ColdDispatch<'a> {
    event: &'a HistoryEvent,
    /// Work sent to the engine within the window, in seconds of one thread.
    work: f64,
    /// Work that the engine could do within the window, in seconds of one thread.
    capacity: f64,
    /// Number of attempts within the window.
    query_count: usize,
}

/// For each engine, the largest ratio of the work that it was sent within the overload window during slow start to its
/// capacity. A window with a single query does not count.
pub fn slow_start_overload_peaks(history: &History<'_>) -> BTreeMap<String, f64> {
    let checker = Checker::new(history);
    let mut peaks: BTreeMap<String, f64> = BTreeMap::new();
    for dispatch in checker.cold_dispatches().into_iter().filter(|dispatch| dispatch.query_count > 1) {
        let peak = peaks.entry(dispatch.event.engine.clone()).or_default();
        *peak = peak.max(dispatch.work / dispatch.capacity.max(1e-9));
    }
    peaks
}

/// The index of the controller that sent an attempt.
fn controller_index(sent_by: &str) -> Option<usize> {
    sent_by.strip_prefix("wheelfield/")?.parse().ok()
}

impl<'a> Checker<'a> {
    fn new(history: &'a History<'a>) -> Checker<'a> {
        Checker {
            history,
            attempts: BTreeMap::new(),
            queries: history.queries.iter().map(|query| (query.id.as_str(), query)).collect(),
            hangs: BTreeMap::new(),
            violations: Vec::new(),
        }
    }

    fn report(&mut self, rule: &'static str, at: i64, description: String) {
        self.violations.push(Violation { rule, at: at - self.history.started_at, description });
    }

    /// Rule "answer": each answer belongs to its query and is complete if it is reported as complete.
    fn check_answer(&mut self) {
        for query in self.history.queries {
            if let Some(error) = &query.answer_error {
                self.report("answer", query.ended_at, format!("{}: {error}", query.id));
            }
        }
    }

    /// Collects the attempts of each query and the hangs of each engine.
    fn index_events(&mut self) {
        for event in self.history.events {
            let query = event.query.as_deref();
            match (event.event.as_str(), query) {
                ("received", Some(query)) => {
                    let attempt = Attempt { received: event, ended_at: i64::MAX, was_refused: false };
                    self.attempts.entry(query).or_default().push(attempt);
                }
                ("finished" | "dropped" | "refused" | "errored", Some(query)) => {
                    let attempts = self.attempts.entry(query).or_default();
                    let is_unfinished_match = |attempt: &&mut Attempt<'_>| {
                        attempt.received.engine == event.engine
                            && attempt.received.sent_by == event.sent_by
                            && attempt.ended_at == i64::MAX
                    };
                    if let Some(attempt) = attempts.iter_mut().find(is_unfinished_match) {
                        (attempt.ended_at, attempt.was_refused) = (event.at, event.event == "refused");
                    }
                }
                ("fault", _) if event.kind == "hang" => {
                    let spans = self.hangs.entry(event.engine.as_str()).or_default();
                    match spans.last_mut() {
                        Some(last) if event.value == 0.0 => last.1 = event.at,
                        _ if event.value > 0.0 => spans.push((event.at, i64::MAX)),
                        _ => {}
                    }
                }
                _ => {}
            }
        }
    }

    /// Whether an engine hung at some time in a span.
    fn was_hung(&self, engine: &str, from: i64, to: i64) -> bool {
        let spans = self.hangs.get(engine).map(Vec::as_slice).unwrap_or(&[]);
        spans.iter().any(|(start, end)| *start <= to && *end >= from)
    }

    /// Whether a single process of a controller ran during the whole span.
    fn ran_continuously(&self, controller: usize, from: i64, to: i64) -> bool {
        let lifetimes = self.history.lifetimes.iter().filter(|lifetime| lifetime.controller == controller);
        lifetimes
            .clone()
            .any(|lifetime| lifetime.started_at <= from && lifetime.ended_at.is_none_or(|end| end > to))
    }

    /// Whether a controller was stalled at some time in a span.
    fn was_stalled(&self, controller: usize, from: i64, to: i64) -> bool {
        let mut lifetimes =
            self.history.lifetimes.iter().filter(|lifetime| lifetime.controller == controller);
        lifetimes.any(|lifetime| lifetime.stalls.iter().any(|(start, end)| *start <= to && *end >= from))
    }

    /// Rule 1, "lost": one final answer before the client's deadline, and nothing after it.
    fn check_lost(&mut self) {
        for q in self.history.queries {
            let is_answered = matches!(
                q.outcome,
                Some(ClientOutcome::Served | ClientOutcome::Refused | ClientOutcome::Failed)
            );
            if q.answer_count > 1 {
                self.report("lost", q.ended_at, format!("{} got {} answers", q.id, q.answer_count));
            }
            if let Some(message) = q.message_after_answer {
                self.report(
                    "lost",
                    q.ended_at,
                    format!("{} got a message '{message}' after its answer", q.id),
                );
            }
            // A stalled controller could not answer in time; only what it does afterwards is checked.
            let is_excused = !self.ran_continuously(q.controller, q.sent_at, q.ended_at.min(q.deadline) + 1)
                || self.was_stalled(q.controller, q.sent_at, q.deadline);
            if is_answered && q.ended_at > q.deadline + self.history.tolerance.answer_slack && !is_excused {
                let late = (q.ended_at - q.deadline) / 1000;
                self.report(
                    "lost",
                    q.ended_at,
                    format!("{} was answered {late} ms after its client gave up", q.id),
                );
            }
            if matches!(q.outcome, Some(ClientOutcome::NoAnswer)) && !is_excused {
                self.report(
                    "lost",
                    q.deadline,
                    format!("{} got no answer from controller {}", q.id, q.controller),
                );
            }
            if matches!(q.outcome, Some(ClientOutcome::Broke)) && !is_excused {
                self.report(
                    "lost",
                    q.ended_at,
                    format!("the connection of {} broke at controller {}", q.id, q.controller),
                );
            }
            if q.outcome.is_none() {
                self.report("lost", q.sent_at, format!("{} did not end", q.id));
            }
            if !is_answered && q.outcome != Some(ClientOutcome::Left) {
                continue;
            }
            let attempts = self.attempts.get(q.id.as_str()).cloned().unwrap_or_default();
            for attempt in attempts {
                let received = attempt.received;
                if received.at > q.ended_at + self.history.tolerance.transit
                    && !self.was_hung(&received.engine, q.ended_at, received.at)
                {
                    let after = (received.at - q.ended_at) / 1000;
                    self.report(
                        "lost",
                        received.at,
                        format!("{} was sent to {} {after} ms after its end", q.id, received.engine),
                    );
                }
            }
        }
    }

    /// Rule 2, "twice": no query runs more often than its class permits, and a refused query did not run.
    fn check_twice(&mut self) {
        for query in self.history.queries {
            let Some(class) = self.history.settings.classes.get(query.class) else { continue };
            let accepted: Vec<Attempt<'_>> = self
                .attempts
                .get(query.id.as_str())
                .into_iter()
                .flatten()
                .filter(|attempt| !attempt.was_refused)
                .cloned()
                .collect();
            match class.semantics {
                ExecutionSemantics::Idempotent => {}
                ExecutionSemantics::AtMostOnce => {
                    if accepted.len() > 1 {
                        let engines: Vec<&str> =
                            accepted.iter().map(|attempt| attempt.received.engine.as_str()).collect();
                        self.report(
                            "twice",
                            accepted[1].received.at,
                            format!("{} ran at {}", query.id, engines.join(" and ")),
                        );
                    }
                    if query.outcome == Some(ClientOutcome::Refused) && !accepted.is_empty() {
                        self.report(
                            "twice",
                            query.ended_at,
                            format!("{} was refused, but ran at {}", query.id, accepted[0].received.engine),
                        );
                    }
                }
                ExecutionSemantics::IdempotencyKey => {
                    let Some((first, later)) = accepted.split_first() else { continue };
                    for attempt in later {
                        let (first_event, later_event) = (first.received, attempt.received);
                        let in_scope = match class.deduplication_scope {
                            DeduplicationScope::All => true,
                            DeduplicationScope::Zone => first_event.zone == later_event.zone,
                            DeduplicationScope::Cell => first_event.cell == later_event.cell,
                        };
                        let is_late = later_event.at - first_event.at
                            > class.deduplication_window.0 + self.history.tolerance.window_slack
                            && !self.was_hung(&later_event.engine, first_event.at, later_event.at);
                        if !in_scope || is_late {
                            let reason = if in_scope {
                                "after the deduplication window"
                            } else {
                                "outside of the deduplication scope"
                            };
                            self.report(
                                "twice",
                                later_event.at,
                                format!("{} was sent to {} {reason}", query.id, later_event.engine),
                            );
                        }
                    }
                }
            }
        }
    }

    /// Rule 3, "drain": a controller sends nothing to an unavailable engine later than the grace period after it was told.
    fn check_drain(&mut self) {
        let grace = self.history.drain_grace;
        let mut unavailable_since: BTreeMap<(usize, &str), i64> = BTreeMap::new();
        let mut found = Vec::new();
        for event in self.history.events {
            if event.event == "told" {
                let Ok(controller) = event.controller.parse::<usize>() else { continue };
                let listed: BTreeSet<&str> = event
                    .unavailable_engines
                    .iter()
                    .map(|listed_engine| listed_engine.engine.as_str())
                    .collect();
                unavailable_since
                    .retain(|(notified, engine), _| *notified != controller || listed.contains(engine));
                for engine in listed {
                    unavailable_since.entry((controller, engine)).or_insert(event.at);
                }
            }
            if event.event == "received" {
                let Some(controller) = controller_index(&event.sent_by) else { continue };
                let Some(since) = unavailable_since.get(&(controller, event.engine.as_str())) else {
                    continue;
                };
                if event.at > since + grace
                    && !self.was_hung(&event.engine, *since, event.at)
                    && !self.was_stalled(controller, *since, event.at)
                {
                    let query = event.query.as_deref().unwrap_or("?");
                    let after = (event.at - since) / 1000;
                    found.push((
                        event.at,
                        format!(
                            "controller {controller} sent {query} to {} {after} ms after it was told that the engine is unavailable",
                            event.engine
                        ),
                    ));
                }
            }
        }
        for (at, description) in found {
            self.report("drain", at, description);
        }
    }

    /// The typical work of a class, in seconds of one thread.
    fn typical_work(&self, class: usize) -> f64 {
        self.history.classes.get(class).map_or(0.0, |class| class.typical_work)
    }

    /// The work that an engine in slow start was sent within the overload window, at each attempt that it received.
    fn cold_dispatches(&self) -> Vec<ColdDispatch<'a>> {
        let settings = self.history.settings;
        let Micros(window_length) = settings.overload_window;
        let mut windows: BTreeMap<&str, VecDeque<(i64, f64)>> = BTreeMap::new();
        let mut found = Vec::new();
        if settings.overload_multiple <= 0.0 || window_length <= 0 {
            return found;
        }
        for event in self.history.events {
            let engine = event.engine.as_str();
            match event.event.as_str() {
                "restarted" => {
                    windows.remove(engine);
                }
                "received" if event.capacity_fraction < 1.0 && event.capacity_fraction > 0.0 => {
                    let query = event.query.as_deref().and_then(|id| self.queries.get(id));
                    let Some(class) = query.map(|query| query.class) else { continue };
                    let window = windows.entry(engine).or_default();
                    window.push_back((event.at, self.typical_work(class)));
                    while window.front().is_some_and(|(at, _)| *at < event.at - window_length) {
                        window.pop_front();
                    }
                    let work: f64 = window.iter().map(|(_, work)| work).sum();
                    let cores = self.history.engine_cores.get(engine).copied().unwrap_or(1.0);
                    let capacity = cores * event.capacity_fraction * window_length as f64 / 1e6;
                    found.push(ColdDispatch { event, work, capacity, query_count: window.len() });
                }
                _ => {}
            }
        }
        found
    }

    /// Rule 4, "cold": all controllers together do not overload an engine in slow start.
    fn check_cold(&mut self) {
        let multiple = self.history.settings.overload_multiple;
        let failures = self.history.events.iter().filter(|event| event.event == "fell_over");
        let mut found: Vec<(i64, String)> = failures
            .map(|event| (event.at, format!("{} failed under overload during slow start", event.engine)))
            .collect();
        let mut reported: BTreeSet<(&str, i64)> = BTreeSet::new();
        for dispatch in self.cold_dispatches() {
            let ColdDispatch { event, work, capacity, query_count } = dispatch;
            let engine = event.engine.as_str();
            let restarts = self
                .history
                .events
                .iter()
                .filter(|restart| restart.event == "restarted" && restart.engine == engine);
            // A single query is no overload, and one violation is reported for each start of an engine.
            if work > multiple * capacity && query_count > 1 {
                let restarted_at =
                    restarts.map(|restart| restart.at).filter(|at| *at <= event.at).max().unwrap_or(0);
                if reported.insert((engine, restarted_at)) {
                    let (fraction, limit) = (event.capacity_fraction, multiple * capacity);
                    let description =
                        format!("{engine} at {fraction:.2} of its capacity was sent {work:.1} s of work; the limit is {limit:.1} s");
                    found.push((event.at, description));
                }
            }
        }
        for (at, description) in found {
            self.report("cold", at, description);
        }
    }

    /// Rule 5, "order": queries of one key run one at a time, in order of arrival.
    fn check_order(&mut self) {
        let ClockTolerance { window_slack, order_resolution, .. } = self.history.tolerance;
        let mut queries_by_key: BTreeMap<(usize, &str), Vec<&QueryRecord>> = BTreeMap::new();
        for query in self.history.queries {
            let is_ordered =
                self.history.settings.classes.get(query.class).is_some_and(|class| class.ordered_by_key);
            if let Some(key) = query.key.as_deref().filter(|_| is_ordered) {
                queries_by_key.entry((query.controller, key)).or_default().push(query);
            }
        }
        let mut found = Vec::new();
        for ((controller, key), queries) in &queries_by_key {
            for (i, query) in queries.iter().enumerate() {
                for earlier in &queries[..i] {
                    // A process does not know the queries of an earlier process of the same controller.
                    if !self.ran_continuously(*controller, earlier.sent_at, query.sent_at) {
                        continue;
                    }
                    let attempts_of = |query: &QueryRecord| {
                        self.attempts.get(query.id.as_str()).map(Vec::as_slice).unwrap_or(&[])
                    };
                    for attempt in attempts_of(query) {
                        for earlier_attempt in attempts_of(earlier) {
                            let overlaps = attempt.received.at < earlier_attempt.ended_at
                                && attempt.received.at > earlier_attempt.received.at;
                            let overtakes = earlier_attempt.received.at > attempt.received.at + window_slack
                                && query.sent_at - earlier.sent_at > order_resolution;
                            let was_hung = self.was_hung(
                                &earlier_attempt.received.engine,
                                earlier_attempt.received.at,
                                attempt.received.at,
                            ) || self.was_hung(
                                &attempt.received.engine,
                                earlier_attempt.received.at.min(attempt.received.at),
                                attempt.received.at.max(earlier_attempt.received.at),
                            );
                            if (overlaps || overtakes) && !was_hung {
                                found.push((
                                    attempt.received.at,
                                    format!(
                                        "{} ran before {} of the same key {key} had ended",
                                        query.id, earlier.id
                                    ),
                                ));
                            }
                        }
                    }
                }
            }
        }
        for (at, description) in found {
            self.report("order", at, description);
        }
    }

    /// Rule 6, "placement": queries of a class are sent only to zones and machine kinds that the class permits.
    fn check_placement(&mut self) {
        let mut found = Vec::new();
        for event in self.history.events.iter().filter(|event| event.event == "received") {
            let Some(query) = event.query.as_deref().and_then(|id| self.queries.get(id)) else { continue };
            let Some(class) = self.history.classes.get(query.class) else { continue };
            let is_allowed = |names: &[String], name: &str| {
                names.is_empty() || names.iter().any(|allowed| allowed == name)
            };
            if !is_allowed(&class.zones, &event.zone) || !is_allowed(&class.kinds, &event.kind) {
                found.push((
                    event.at,
                    format!(
                        "{} of class {} was sent to {} in zone {:?}",
                        query.id, class.name, event.engine, event.zone
                    ),
                ));
            }
        }
        for (at, description) in found {
            self.report("placement", at, description);
        }
    }

    /// Rule 7, "budget": the retries of a controller stay within its retry budget.
    fn check_budget(&mut self) {
        let Some(budget) = self.history.settings.retry_budget else { return };
        let (window, slack) = (budget.window.0, self.history.tolerance.window_slack);
        // Attempts that the controller started if they are recorded, otherwise those that engines received.
        let has_dispatch_events = self.history.events.iter().any(|event| event.event == "sent");
        let counted = if has_dispatch_events { "sent" } else { "received" };
        let mut found = Vec::new();
        // Each process has a budget of its own from its start.
        for lifetime in self.history.lifetimes {
            let controller = lifetime.controller;
            let in_lifetime =
                |t: i64| t >= lifetime.started_at && lifetime.ended_at.is_none_or(|end| t <= end);
            let accepted_at: Vec<i64> = {
                let sent_at =
                    self.history.queries.iter().filter(|q| q.controller == controller).map(|q| q.sent_at);
                let mut accepted_at: Vec<i64> = sent_at.filter(|at| in_lifetime(*at)).collect();
                accepted_at.sort_unstable();
                accepted_at
            };
            let mut retries: VecDeque<i64> = VecDeque::new();
            let is_counted = |e: &&HistoryEvent| {
                e.event == counted && controller_index(&e.sent_by) == Some(controller) && in_lifetime(e.at)
            };
            // An attempt that an engine read when its hang ended was sent before, at an unknown time, so it was an
            // earlier attempt.
            let was_read_after_hang = |e: &HistoryEvent| {
                let sent_at =
                    e.query.as_deref().and_then(|id| self.queries.get(id)).map_or(e.at, |q| q.sent_at);
                self.was_hung(&e.engine, sent_at, e.at)
            };
            // The start of the hang for each such query: an attempt that arrived before it may have been the first one.
            let mut late_since: BTreeMap<&str, i64> = BTreeMap::new();
            for event in self.history.events.iter().filter(is_counted).filter(|e| was_read_after_hang(e)) {
                let spans = self.hangs.get(event.engine.as_str()).map_or(&[][..], Vec::as_slice);
                let from = spans.iter().filter(|(_, end)| *end <= event.at).map(|(start, _)| *start).max();
                if let Some(query) = event.query.as_deref() {
                    let since = late_since.entry(query).or_insert(i64::MAX);
                    *since = (*since).min(from.unwrap_or(i64::MIN));
                }
            }
            let mut seen: BTreeSet<&str> = BTreeSet::new();
            for event in self.history.events.iter().filter(is_counted).filter(|e| !was_read_after_hang(e)) {
                let Some(query) = event.query.as_deref() else { continue };
                // The queries in the window before a lifetime that begins mid-run are not known.
                let is_unknown = lifetime.begins_mid_run && event.at < lifetime.started_at + window;
                let is_first = seen.insert(query) && late_since.get(query).is_none_or(|t| event.at < *t);
                if is_first || is_unknown || self.was_stalled(controller, event.at - window, event.at) {
                    continue;
                }
                retries.push_back(event.at);
                while retries.front().is_some_and(|at| *at <= event.at - window + slack) {
                    retries.pop_front();
                }
                let from = accepted_at.partition_point(|at| *at < event.at - window - slack);
                let to = accepted_at.partition_point(|at| *at <= event.at + slack);
                let allowed = budget.guaranteed + budget.fraction * (to - from) as f64;
                if retries.len() as f64 > allowed {
                    found.push((
                        event.at,
                        format!("controller {controller}: {} retries, {allowed:.1} allowed", retries.len()),
                    ));
                }
            }
        }
        for (at, description) in found {
            self.report("budget", at, description);
        }
    }
}
