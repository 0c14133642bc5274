//! Which sessions with an engine rest, and who waits for one.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use wheelfield::interface::EngineId;
use wheelfield_driver::AttemptId;
use wheelfield_sans_io::ConnId;

/// The sessions with one engine.
#[derive(Debug)]
pub(crate) struct Pool {
    pub address: SocketAddr,
    pub up: bool,
    /// Clean ones, the last used first.
    pub idle: Vec<ConnId>,
    /// Sessions in all, at most as configured.
    pub sessions: usize,
    pub connecting: usize,
    /// Attempts that wait for a session; each has one connecting.
    pub waiting: VecDeque<AttemptId>,
    /// A probe waits for a session.
    pub probing: bool,
}

/// The pools of all engines that were ever listed.
#[derive(Debug, Default)]
pub(crate) struct Pools {
    all: BTreeMap<EngineId, Pool>,
}

impl Pools {
    /// An engine as it is listed now. The sessions that rest and are to be closed.
    pub fn listed(&mut self, engine: EngineId, address: SocketAddr, up: bool) -> Vec<ConnId> {
        let pool = self.all.entry(engine).or_insert_with(|| Pool {
            address,
            up,
            idle: Vec::new(),
            sessions: 0,
            connecting: 0,
            waiting: VecDeque::new(),
            probing: false,
        });
        let moved = std::mem::replace(&mut pool.address, address) != address;
        pool.up = up;
        if moved || !up {
            std::mem::take(&mut pool.idle)
        } else {
            Vec::new()
        }
    }

    pub fn get(&self, engine: EngineId) -> Option<&Pool> {
        self.all.get(&engine)
    }

    pub fn get_mut(&mut self, engine: EngineId) -> Option<&mut Pool> {
        self.all.get_mut(&engine)
    }

    pub fn iter(&self) -> impl Iterator<Item = (EngineId, &Pool)> {
        self.all.iter().map(|(engine, pool)| (*engine, pool))
    }

    /// An attempt waits for a session no more.
    pub fn forget(&mut self, attempt: AttemptId) {
        for pool in self.all.values_mut() {
            pool.waiting.retain(|a| *a != attempt);
        }
    }

    /// A session is closed.
    pub fn closed(&mut self, engine: EngineId, id: ConnId, starting: bool) {
        if let Some(pool) = self.all.get_mut(&engine) {
            pool.sessions = pool.sessions.saturating_sub(1);
            pool.connecting -= usize::from(starting && pool.connecting > 0);
            pool.idle.retain(|i| *i != id);
        }
    }
}
