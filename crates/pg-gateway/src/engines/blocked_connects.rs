//! Connections that this host could not attempt, for lack of ports, file descriptors or memory. The engine is not at
//! fault, so the attempts that wait for a session wait on for a while.

use super::Engines;
use crate::coverage::Coverage;
use crate::effect_queue::EffectQueue;
use crate::timer_event::TimerEvent;
use wheelfield::interface::{EngineId, Outcome};
use wheelfield_sans_io::ConnId;

/// Delay before connections are attempted again, in microseconds.
const CONNECT_RETRY_US: i64 = 20_000;
/// Maximum time that attempts wait until this host can attempt a connection, in microseconds.
const MAX_CONNECT_WAIT_US: i64 = 1_000_000;

impl Engines {
    /// Handles a session for which this host could not attempt the connection.
    pub fn handle_connect_not_attempted(&mut self, id: ConnId, out: &mut EffectQueue) {
        let Some(engine) = self.sessions.get(id).map(|session| session.engine) else { return };
        out.record(Coverage::SessionLostStarting);
        self.close_session(id, out);
        let Some(pool) = self.pools.get_mut(engine) else { return };
        let since = *pool.connect_blocked_since.get_or_insert(out.now);
        if out.now - since > MAX_CONNECT_WAIT_US {
            return self.fail_all_waiting(engine);
        }
        if pool.connect_retry.is_none() {
            pool.connect_retry =
                Some(out.set_timer_after(CONNECT_RETRY_US, TimerEvent::ConnectRetry(engine)));
        }
    }

    /// Opens the sessions that attempts and a probe still wait for.
    pub fn retry_connects(&mut self, engine: EngineId, out: &mut EffectQueue) {
        let max_sessions = self.max_sessions;
        let Some(pool) = self.pools.get_mut(engine) else { return };
        pool.connect_retry = None;
        let needed = pool.waiting.len() + usize::from(pool.is_probe_waiting);
        let possible = max_sessions.saturating_sub(pool.sessions);
        for _ in 0..needed.saturating_sub(pool.connecting).min(possible) {
            self.open_session(engine, out);
        }
    }

    /// Ends all attempts and the probe that wait for a session.
    fn fail_all_waiting(&mut self, engine: EngineId) {
        while self.pools.get(engine).is_some_and(|pool| pool.waiting.len() > pool.connecting) {
            self.fail_waiting(engine, Outcome::NeverSent);
        }
        if let Some(pool) = self.pools.get_mut(engine) {
            pool.connect_blocked_since = None;
        }
    }
}
