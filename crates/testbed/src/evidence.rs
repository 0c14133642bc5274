//! The history of a run in the form that the rule checker reads.

use crate::client_pool::Attempt;
use crate::day::Day;
use crate::plan::Plan;
use std::collections::BTreeMap;
use wheelfield::interface::Settings;
use wheelfield_invariants::{
    check_history, slow_start_overload_peaks, ClassInfo, ClockTolerance, History, HistoryEvent,
    ProcessLifetime, QueryRecord, Violation,
};

/// What the script and the plan of a run say beyond its log.
pub struct RunContext<'a> {
    /// The script.
    pub day: &'a Day,
    /// The settings of its controllers.
    pub settings: &'a Settings,
    /// The traffic and faults that were drawn.
    pub plan: &'a Plan,
    /// When the run began, in microseconds of the wall clock.
    pub start: i64,
}

impl RunContext<'_> {
    /// Checks the rules. Returns the violations, and the largest multiple of its capacity that an engine in slow start
    /// was sent.
    pub fn check(
        &self,
        tries: &[Attempt],
        log: &[HistoryEvent],
        lives: &[ProcessLifetime],
    ) -> (Vec<Violation>, f64) {
        let queries: Vec<QueryRecord> = tries.iter().map(|t| self.query_record(t)).collect();
        let classes: Vec<ClassInfo> = self.day.classes.iter().map(class_info).collect();
        let cores: BTreeMap<String, f64> =
            self.plan.engines.iter().enumerate().map(|engine| self.engine_cores(engine)).collect();
        let history = History {
            settings: self.settings,
            drain_grace: self.day.drain_grace.0 .0,
            classes: &classes,
            engine_cores: &cores,
            started_at: self.start,
            queries: &queries,
            events: log,
            lifetimes: lives,
            tolerance: ClockTolerance::SEPARATE_CLOCKS,
        };
        (check_history(&history), slow_start_overload_peaks(&history).into_values().fold(0.0, f64::max))
    }

    fn query_record(&self, t: &Attempt) -> QueryRecord {
        let arrival = &self.plan.arrivals[t.arrival];
        QueryRecord {
            id: t.id.clone(),
            class: arrival.class,
            key: arrival.key.map(|k| k.to_string()),
            controller: t.controller,
            sent_at: t.sent,
            deadline: t.due,
            ended_at: t.ended,
            outcome: t.end,
            answer_count: t.answers,
            message_after_answer: t.after,
            answer_error: t.wrong.map(str::to_string),
        }
    }

    fn engine_cores(&self, (n, (kind, speed)): (usize, &(usize, f64))) -> (String, f64) {
        let cores = self.day.fleet.kinds.get(*kind).map_or(1.0, |k| k.cores * speed);
        (format!("engine-{n:02}"), cores)
    }
}

fn class_info(class: &crate::day::Class) -> ClassInfo {
    ClassInfo {
        name: class.name.clone(),
        zones: class.zones.clone(),
        kinds: class.kinds.clone(),
        typical_work: class.work.0 .0 as f64 / 1e6,
    }
}
