//! A day as the judge of the rules reads it.

use crate::crowd::Try;
use crate::day::Day;
use crate::plan::Plan;
use std::collections::BTreeMap;
use wheelfield::interface::Settings;
use wheelfield_invariants::{
    check_history, slow_start_overload_peaks, ClassInfo, ClockTolerance, History, HistoryEvent,
    ProcessLifetime, QueryRecord, Violation,
};

/// What a day's plan and script say beyond its log.
pub struct Known<'a> {
    /// The script.
    pub day: &'a Day,
    /// What its controllers were told of the rules.
    pub settings: &'a Settings,
    /// The day as drawn.
    pub plan: &'a Plan,
    /// When it began, in microseconds of the wall clock.
    pub start: i64,
}

impl Known<'_> {
    /// Judges the day; and the largest multiple of what it could do that a cold engine was sent.
    pub fn judge(
        &self,
        tries: &[Try],
        log: &[HistoryEvent],
        lives: &[ProcessLifetime],
    ) -> (Vec<Violation>, f64) {
        let asked: Vec<QueryRecord> = tries.iter().map(|t| self.asked(t)).collect();
        let classes: Vec<ClassInfo> = self.day.classes.iter().map(of_class).collect();
        let cores: BTreeMap<String, f64> =
            self.plan.engines.iter().enumerate().map(|e| self.cores(e)).collect();
        let evidence = History {
            settings: self.settings,
            drain_grace: self.day.drain_grace.0 .0,
            classes: &classes,
            engine_cores: &cores,
            started_at: self.start,
            queries: &asked,
            events: log,
            lifetimes: lives,
            tolerance: ClockTolerance::SEPARATE_CLOCKS,
        };
        (check_history(&evidence), slow_start_overload_peaks(&evidence).into_values().fold(0.0, f64::max))
    }

    fn asked(&self, t: &Try) -> QueryRecord {
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

    fn cores(&self, (n, (kind, speed)): (usize, &(usize, f64))) -> (String, f64) {
        let cores = self.day.fleet.kinds.get(*kind).map_or(1.0, |k| k.cores * speed);
        (format!("engine-{n:02}"), cores)
    }
}

fn of_class(class: &crate::day::Class) -> ClassInfo {
    ClassInfo {
        name: class.name.clone(),
        zones: class.zones.clone(),
        kinds: class.kinds.clone(),
        typical_work: class.work.0 .0 as f64 / 1e6,
    }
}
