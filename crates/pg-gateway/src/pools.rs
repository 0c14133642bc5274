//! The idle sessions of each engine, and the attempts that wait for a session.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use wheelfield::interface::EngineId;
use wheelfield_driver::AttemptId;
use wheelfield_sans_io::{ConnId, TimerKey};

/// The sessions with one engine.
#[derive(Debug)]
pub(crate) struct Pool {
    pub address: SocketAddr,
    pub is_up: bool,
    /// Idle sessions, used last in first out.
    pub idle: Vec<ConnId>,
    /// Total number of sessions; limited by the configuration.
    pub sessions: usize,
    pub connecting: usize,
    /// Attempts that wait for a session. A session is being opened for each of them.
    pub waiting: VecDeque<AttemptId>,
    /// A probe waits for a session.
    pub is_probe_waiting: bool,
    /// Since when this host could not attempt connections to the engine.
    pub connect_blocked_since: Option<i64>,
    /// Ends the delay before the next attempt to connect.
    pub connect_retry: Option<TimerKey>,
}

/// The pools of all engines that are listed or still have sessions.
#[derive(Debug, Default)]
pub(crate) struct Pools {
    by_engine: BTreeMap<EngineId, Pool>,
}

impl Pools {
    /// Applies an entry of the engine list. Returns the idle sessions to close.
    pub fn set_engine(&mut self, engine: EngineId, address: SocketAddr, is_up: bool) -> Vec<ConnId> {
        let pool = self.by_engine.entry(engine).or_insert_with(|| Pool {
            address,
            is_up,
            idle: Vec::new(),
            sessions: 0,
            connecting: 0,
            waiting: VecDeque::new(),
            is_probe_waiting: false,
            connect_blocked_since: None,
            connect_retry: None,
        });
        let address_changed = std::mem::replace(&mut pool.address, address) != address;
        pool.is_up = is_up;
        if address_changed || !is_up {
            std::mem::take(&mut pool.idle)
        } else {
            Vec::new()
        }
    }

    /// Forgets the pools of unlisted engines that have no sessions and for which nothing waits.
    pub fn forget_unlisted(&mut self, is_listed: impl Fn(EngineId) -> bool) {
        self.by_engine.retain(|engine, pool| {
            is_listed(*engine) || pool.sessions > 0 || !pool.waiting.is_empty() || pool.is_probe_waiting
        });
    }

    pub fn get(&self, engine: EngineId) -> Option<&Pool> {
        self.by_engine.get(&engine)
    }

    pub fn get_mut(&mut self, engine: EngineId) -> Option<&mut Pool> {
        self.by_engine.get_mut(&engine)
    }

    pub fn iter(&self) -> impl Iterator<Item = (EngineId, &Pool)> {
        self.by_engine.iter().map(|(engine, pool)| (*engine, pool))
    }

    /// Removes an attempt that no longer waits for a session.
    pub fn remove_waiting(&mut self, attempt: AttemptId) {
        for pool in self.by_engine.values_mut() {
            pool.waiting.retain(|waiting| *waiting != attempt);
        }
    }

    /// Removes a closed session.
    pub fn remove_session(&mut self, engine: EngineId, id: ConnId, starting: bool) {
        if let Some(pool) = self.by_engine.get_mut(&engine) {
            pool.sessions = pool.sessions.saturating_sub(1);
            pool.connecting -= usize::from(starting && pool.connecting > 0);
            pool.idle.retain(|idle| *idle != id);
        }
    }
}
