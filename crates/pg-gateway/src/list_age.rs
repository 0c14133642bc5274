//! Whether new queries wait for a current engine list.
//!
//! Normally a polled registry list is at most one polling interval old, and endpoint files are read soon
//! after they change. After the process was suspended, both may be older by the length of the suspension.
//! New queries then wait, for a limited time, until a new registry request has completed and the files were
//! read again. A registry that did not answer before is waited for only after a long suspension, so that a
//! process that is short of CPU time doesn't delay queries for it over and over. A watched registry sends changes on its own, and these are read before the queries that
//! arrived during the suspension.

use wheelfield_config::{Config, Refresh};

/// How often the process is active at least, in microseconds, if it depends on a list that may be out of date.
pub(crate) const ACTIVITY_INTERVAL_US: i64 = 100_000;
/// Time without activity, in microseconds, after which the process was suspended or starved.
const MAX_INACTIVITY_US: i64 = 300_000;
/// Time without activity, in microseconds, after which queries wait also for a registry that did not answer the
/// last request.
const LONG_INACTIVITY_US: i64 = 1_300_000;
/// Maximum time that new queries wait for an answer of the registry or the reading of the files, in microseconds.
/// After that they use the last list.
const MAX_WAIT_US: i64 = 1_000_000;

/// Tracks whether the engine list may be out of date because this process was inactive. Times are in
/// microseconds.
#[derive(Debug)]
pub(crate) struct ListAge {
    polls_registry: bool,
    /// How long files must be unchanged before they are used; `None` if there are no files.
    settle_us: Option<i64>,
    last_active_at: i64,
    registry_wait_until: i64,
    files_wait_until: i64,
    /// A registry request is waited for.
    awaits_registry: bool,
    /// The number of the last request to read the files.
    files_request: u64,
    /// The request has not been passed on yet.
    is_files_request_new: bool,
    /// The request has not been answered yet.
    awaits_files: bool,
}

impl ListAge {
    /// Whether the engine list can become out of date while this process is inactive.
    pub fn can_be_old(&self) -> bool {
        self.polls_registry || self.settle_us.is_some()
    }

    /// The state of a process that has just started.
    pub fn new(config: &Config, now: i64) -> ListAge {
        let registry = config.registry.as_ref();
        ListAge {
            polls_registry: registry.is_some_and(|registry| registry.refresh == Refresh::Poll),
            settle_us: config.endpoint_files.as_ref().map(|files| files.settle_time.0),
            last_active_at: now,
            registry_wait_until: now,
            files_wait_until: now,
            awaits_registry: false,
            files_request: 0,
            is_files_request_new: false,
            awaits_files: false,
        }
    }

    /// Whether the registry must be queried after the last inactivity.
    pub fn awaits_registry(&self) -> bool {
        self.awaits_registry
    }

    /// Notes that the process is active. After a longer inactivity, returns the times until which new queries
    /// wait at most for the registry and for the files; these must then be queried and read.
    pub fn note_activity(&mut self, now: i64, is_registry_unavailable: bool) -> Option<[i64; 2]> {
        let inactive_us = now - self.last_active_at;
        self.last_active_at = now;
        let may_registry_answer = !is_registry_unavailable || inactive_us > LONG_INACTIVITY_US;
        let awaits_registry = self.polls_registry && may_registry_answer;
        let has_files = self.settle_us.is_some();
        if inactive_us <= MAX_INACTIVITY_US || !(awaits_registry || has_files) {
            return None;
        }
        self.awaits_registry = awaits_registry;
        self.files_request += u64::from(has_files);
        (self.is_files_request_new, self.awaits_files) = (has_files, has_files);
        self.registry_wait_until = now + MAX_WAIT_US;
        self.files_wait_until = now + MAX_WAIT_US + self.settle_us.unwrap_or(0);
        Some([self.registry_wait_until, self.files_wait_until])
    }

    /// The number of a new request to read the files. Each request is returned once.
    pub fn take_files_request(&mut self) -> Option<u64> {
        let is_new = std::mem::take(&mut self.is_files_request_new);
        is_new.then_some(self.files_request)
    }

    /// Notes that the files were read for the request with this number.
    pub fn note_files_read(&mut self, number: u64) {
        self.awaits_files &= number != self.files_request;
    }

    /// Whether new queries wait. `is_called` tells whether a registry request is in progress.
    pub fn is_awaited(&self, now: i64, is_called: bool) -> bool {
        let awaits_registry = self.awaits_registry && is_called && now < self.registry_wait_until;
        let awaits_files = self.awaits_files && now < self.files_wait_until;
        awaits_registry || awaits_files
    }
}
