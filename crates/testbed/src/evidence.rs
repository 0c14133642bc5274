//! A day as the judge of the rules reads it.

use crate::crowd::Try;
use crate::day::Day;
use crate::plan::Plan;
use std::collections::BTreeMap;
use wheelfield::interface::Settings;
use wheelfield_invariants::{cold_peaks, judge, Asked, Breach, Evidence, Life, Line, OfClass, Tolerance};

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
    pub fn judge(&self, tries: &[Try], log: &[Line], lives: &[Life]) -> (Vec<Breach>, f64) {
        let asked: Vec<Asked> = tries.iter().map(|t| self.asked(t)).collect();
        let classes: Vec<OfClass> = self.day.classes.iter().map(of_class).collect();
        let cores: BTreeMap<String, f64> =
            self.plan.engines.iter().enumerate().map(|e| self.cores(e)).collect();
        let evidence = Evidence {
            settings: self.settings,
            grace: self.day.drain_grace.0 .0,
            classes: &classes,
            cores: &cores,
            start: self.start,
            asked: &asked,
            log,
            lives,
            tolerance: Tolerance::SOCKETS,
        };
        (judge(&evidence), cold_peaks(&evidence).into_values().fold(0.0, f64::max))
    }

    fn asked(&self, t: &Try) -> Asked {
        let arrival = &self.plan.arrivals[t.arrival];
        Asked {
            id: t.id.clone(),
            class: arrival.class,
            key: arrival.key.map(|k| k.to_string()),
            controller: t.controller,
            sent: t.sent,
            due: t.due,
            ended: t.ended,
            end: t.end,
            answers: t.answers,
            after: t.after,
            wrong: t.wrong.map(str::to_string),
        }
    }

    fn cores(&self, (n, (kind, speed)): (usize, &(usize, f64))) -> (String, f64) {
        let cores = self.day.fleet.kinds.get(*kind).map_or(1.0, |k| k.cores * speed);
        (format!("engine-{n:02}"), cores)
    }
}

fn of_class(class: &crate::day::Class) -> OfClass {
    OfClass {
        name: class.name.clone(),
        zones: class.zones.clone(),
        kinds: class.kinds.clone(),
        usual_work: class.work.0 .0 as f64 / 1e6,
    }
}
