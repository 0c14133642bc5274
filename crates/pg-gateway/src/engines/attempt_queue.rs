//! Queues attempts on their sessions, and takes back those of which nothing was written.

use super::Engines;
use crate::effect_queue::EffectQueue;
use crate::engine_events::ReadyAttempt;
use crate::in_flight::InFlightQuery;
use wheelfield_sans_io::ConnId;

impl Engines {
    /// Queues an attempt on the session that is reserved for it, or starts it again on another one if its
    /// engine has closed that session meanwhile.
    pub fn queue_attempt(&mut self, ready: ReadyAttempt, query: &InFlightQuery, out: &mut EffectQueue) {
        let ReadyAttempt { attempt, engine, session: id } = ready;
        match self.sessions.get(id).map(|session| session.is_closing()) {
            Some(false) => return self.sessions.queue_attempt(id, attempt, query, out),
            Some(true) => self.close_session(id, out),
            None => {}
        }
        self.start_attempt(attempt, engine, out);
    }

    /// Takes the attempt of a session back if nothing of it was written. The session stays reserved for it.
    pub fn withdraw_unwritten(&mut self, id: ConnId) -> Option<ReadyAttempt> {
        let engine = self.sessions.get(id)?.engine;
        let attempt = self.sessions.withdraw_unwritten(id)?;
        Some(ReadyAttempt { attempt, engine, session: id })
    }

    /// Calls [`Engines::withdraw_unwritten`] for all sessions.
    pub fn withdraw_all_unwritten(&mut self) -> Vec<ReadyAttempt> {
        let sessions = self.sessions.with_unwritten_attempts();
        sessions.into_iter().filter_map(|id| self.withdraw_unwritten(id)).collect()
    }
}
