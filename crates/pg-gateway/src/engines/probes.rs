//! Queries of the engines' load, and changes of the priorities of running attempts.

use super::Engines;
use crate::coverage::Coverage;
use crate::effect_queue::EffectQueue;
use crate::engine_events::EngineEvent;
use crate::engine_sessions::Job;
use crate::timer_event::TimerEvent;
use wheelfield::interface::{EngineId, LoadReport, Outcome};
use wheelfield_driver::{AttemptId, AttemptOptions};
use wheelfield_sans_io::ConnId;

impl Engines {
    /// Queries an engine's load.
    pub fn probe(&mut self, engine: EngineId, out: &mut EffectQueue) {
        let max_sessions = self.max_sessions;
        let Some(pool) = self.pools.get_mut(engine) else { return };
        if let Some(id) = pool.idle.pop() {
            return self.write_probe(id, out);
        }
        if pool.is_probe_waiting || pool.sessions >= max_sessions {
            return self.events.push_back(EngineEvent::ProbeEnded(
                engine,
                Outcome::NeverSent,
                LoadReport::default(),
            ));
        }
        pool.is_probe_waiting = true;
        self.open_session(engine, out);
    }

    pub(super) fn write_probe(&mut self, id: ConnId, out: &mut EffectQueue) {
        if let Some(session) = self.sessions.get_mut(id) {
            out.reset_timer(&mut session.timer, self.timing.probe_timeout.0, TimerEvent::ProbeTimeout(id));
        }
        self.sessions.write_statement(id, Job::Probe, "SHOW wheelfield.load", out);
    }

    pub fn handle_probe_timeout(&mut self, id: ConnId, out: &mut EffectQueue) {
        if self.sessions.get(id).is_some_and(|session| matches!(session.job, Some(Job::Probe))) {
            self.fail_session(id, Outcome::TimedOut, "probe timed out", out);
        }
    }

    /// Changes the priority of a running attempt, by a statement on a second session.
    pub fn set_priority(&mut self, attempt: AttemptId, options: AttemptOptions, out: &mut EffectQueue) {
        let Some(session) = self.sessions.session_of(attempt).and_then(|id| self.sessions.get(id)) else {
            return;
        };
        let Some((pid, _)) = session.backend.key() else { return };
        let statement = format!("SELECT wheelfield.set_priority({pid}, {})", options.priority);
        let Some(id) = self.pools.get_mut(session.engine).and_then(|pool| pool.idle.pop()) else { return };
        out.record(Coverage::PriorityChanged);
        self.sessions.write_statement(id, Job::Discarded, &statement, out);
    }
}
