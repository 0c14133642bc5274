//! Time limits of engine sessions: their start, stalled and discarded answers, and idle sessions.

use super::Engines;
use crate::coverage::Coverage;
use crate::effect_queue::EffectQueue;
use crate::timer_event::TimerEvent;
use wheelfield::interface::Outcome;
use wheelfield_sans_io::ConnId;

impl Engines {
    pub fn handle_connect_timeout(&mut self, id: ConnId, out: &mut EffectQueue) {
        if self.sessions.get(id).is_some_and(|session| session.backend.is_starting()) {
            out.record(Coverage::EngineConnectTimeout);
            self.fail_session(id, Outcome::ConnectFailed, "engine session start timed out", out);
        }
    }

    /// Checks whether an engine continues the answer that it has begun. `paused` means that the client's
    /// output buffer is full.
    pub fn check_stall(&mut self, id: ConnId, paused: bool, out: &mut EffectQueue) {
        let stall = self.timing.answer_stall_timeout.0;
        let Some(session) = self.sessions.get_mut(id) else { return };
        session.timer = None;
        if session.client().is_none() {
            return;
        }
        if paused {
            session.last_progress_at = out.now;
        }
        if out.now - session.last_progress_at >= stall {
            out.record(Coverage::AnswerStalled);
            return self.fail_session(id, Outcome::TimedOut, "the engine stalled in its answer", out);
        }
        session.timer =
            Some(out.set_timer_at(session.last_progress_at + stall, TimerEvent::AnswerStallCheck(id)));
    }

    pub fn handle_discard_timeout(&mut self, id: ConnId, out: &mut EffectQueue) {
        out.record(Coverage::DiscardTimeout);
        self.fail_session(id, Outcome::Cancelled, "the discarded answer did not end", out);
    }

    pub fn close_idle_sessions(&mut self, out: &mut EffectQueue) {
        let cutoff = out.now - self.timing.session_idle_timeout.0;
        let idle = self.pools.iter().flat_map(|(_, pool)| &pool.idle).copied();
        let expired: Vec<ConnId> = idle
            .filter(|id| self.sessions.get(*id).is_some_and(|session| session.idle_since < cutoff))
            .collect();
        for id in expired {
            out.record(Coverage::IdleSessionClosed);
            self.close_session(id, out);
        }
    }
}
