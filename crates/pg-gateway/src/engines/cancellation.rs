//! Cancels attempts, and discards answers that are no longer wanted.

use super::{Engines, DISCARD_TIMEOUT_UNCANCELLED_US};
use crate::cancels::CancelRequests;
use crate::coverage::Coverage;
use crate::effect_queue::EffectQueue;
use crate::engine_events::EngineEvent;
use crate::engine_sessions::Job;
use crate::fault_injection::FaultInjection;
use wheelfield::interface::{Outcome, QueryId};
use wheelfield_driver::AttemptId;
use wheelfield_sans_io::ConnId;

impl Engines {
    /// Cancels an attempt. If its answer is `wanted`, one that arrives before the cancellation still
    /// counts.
    pub fn cancel_attempt(&mut self, attempt: AttemptId, wanted: bool, out: &mut EffectQueue) {
        let Some(id) = self.sessions.session_of(attempt) else {
            out.record(Coverage::WaitingAttemptCancelled);
            return self.pools.remove_waiting(attempt);
        };
        out.record(Coverage::AttemptCancelled);
        if let Some(session) = self.sessions.get_mut(id) {
            session.backend.mark_cancelled();
        }
        if !wanted {
            self.discard_answer(id, out);
        }
        if self.cancellation {
            self.send_cancel(id, out);
        }
    }

    /// Discards all further answers to a query that has its final answer.
    pub fn detach_query(&mut self, query: QueryId, out: &mut EffectQueue) {
        for id in self.sessions.sessions_of(query) {
            self.discard_answer(id, out);
        }
    }

    /// Discards the rest of an answer.
    pub fn discard_answer(&mut self, id: ConnId, out: &mut EffectQueue) {
        let timeout =
            if self.cancellation { self.timing.cancel_timeout.0 } else { DISCARD_TIMEOUT_UNCANCELLED_US };
        // An attempt that is not completely written need not be sent: the engine sees the connection close
        // and does not run the query.
        let is_attempt = |job: Option<Job>| matches!(job, Some(Job::Attempt { .. }));
        if self
            .sessions
            .get(id)
            .is_some_and(|session| is_attempt(session.job) && !session.buffer.output.is_empty())
        {
            out.record(Coverage::AttemptPartlyWritten);
            let unsent = self.sessions.get(id).is_some_and(|session| session.has_unwritten_attempt());
            let outcome = if unsent { Outcome::ConnectFailed } else { Outcome::Cancelled };
            return self.fail_session(id, outcome, "discarded before it was completely written", out);
        }
        let client = self.sessions.discard(id, timeout, out);
        // Input that was left unread while the client was slow is read now.
        self.events.push_back(EngineEvent::SessionReadable(id, client));
    }

    fn send_cancel(&mut self, id: ConnId, out: &mut EffectQueue) {
        let Some(session) = self.sessions.get_mut(id).filter(|session| !session.cancelling) else { return };
        let Some(key) = session.backend.key() else { return };
        let Some(address) = self.pools.get(session.engine).map(|pool| pool.address) else { return };
        if self.cancel_requests.start(id, address, key, 2 * self.timing.connect_timeout.0, out) {
            session.cancelling = true;
            out.record(Coverage::CancelRequestSent);
        } else {
            out.record(Coverage::CancelRequestLimitReached);
            self.fail_session(id, Outcome::Cancelled, "too many cancel requests in progress", out);
        }
    }

    pub fn connection_count(&self) -> usize {
        self.sessions.len() + self.cancel_requests.len()
    }

    pub fn cancel_requests(&mut self) -> &mut CancelRequests {
        &mut self.cancel_requests
    }

    /// Handles a cancel request that could not be delivered. Closing the session ends the query instead.
    pub fn handle_cancel_failed(&mut self, id: ConnId, out: &mut EffectQueue) {
        if let Some(session_id) = self.cancel_requests.finish(id, false, out) {
            out.record(Coverage::CancelRequestFailed);
            self.fail_session(
                session_id,
                Outcome::Cancelled,
                "the cancel request could not be delivered",
                out,
            );
        }
    }

    /// Handles a cancel request that the engine has finished by closing its connection.
    pub fn handle_cancel_closed(&mut self, id: ConnId, out: &mut EffectQueue) {
        let leak_connection = self.fault == Some(FaultInjection::LeakCancelConnections);
        let Some(session_id) = self.cancel_requests.finish(id, leak_connection, out) else { return };
        if let Some(session) = self.sessions.get_mut(session_id) {
            session.cancelling = false;
            self.release_session(session_id, out);
        }
    }

    /// Handles a cancel request that timed out. It could still be processed and end another query, so the
    /// session is closed.
    pub fn handle_cancel_timeout(&mut self, id: ConnId, out: &mut EffectQueue) {
        if let Some(session_id) = self.cancel_requests.finish(id, false, out) {
            out.record(Coverage::CancelRequestTimeout);
            self.fail_session(session_id, Outcome::Cancelled, "the cancel request timed out", out);
        }
    }
}
