//! Whether new queries wait for a current engine list.
//!
//! Normally a polled registry list is at most one polling interval old, and endpoint files are read soon
//! after they change. After the process was suspended, both may be older by the length of the suspension.
//! New queries then wait, for a limited time, until a new registry request has completed and the files were
//! read again. A watched registry sends changes on its own, and these are read before the queries that
//! arrived during the suspension.

use wheelfield_config::{Config, Refresh};

/// A running process completes a turn of its event loop at least once in this many microseconds.
const TURN_INTERVAL_US: i64 = 1_000_000;
/// A process that is later than this, in microseconds, was suspended or starved.
const MAX_LATENESS_US: i64 = 300_000;
/// Maximum time that new queries wait, in microseconds. After that they use the last list.
const MAX_WAIT_US: i64 = 1_000_000;

/// Tracks whether the engine list may be out of date because this process was inactive. Times are in
/// microseconds.
#[derive(Debug)]
pub(crate) struct ListAge {
    polls_registry: bool,
    has_files: bool,
    last_active_at: i64,
    wait_until: i64,
    /// The number of the last request to read the files.
    files_request: u64,
    /// The request has not been passed on yet.
    is_files_request_new: bool,
    /// The request has not been answered yet.
    awaits_files: bool,
}

impl ListAge {
    /// The state of a process that has just started.
    pub fn new(config: &Config, now: i64) -> ListAge {
        let registry = config.registry.as_ref();
        ListAge {
            polls_registry: registry.is_some_and(|registry| registry.refresh == Refresh::Poll),
            has_files: config.endpoint_files.is_some(),
            last_active_at: now,
            wait_until: now,
            files_request: 0,
            is_files_request_new: false,
            awaits_files: false,
        }
    }

    /// Whether a polled registry is configured.
    pub fn polls_registry(&self) -> bool {
        self.polls_registry
    }

    /// Notes that the process is active. After a longer inactivity, returns the time until which new
    /// queries wait at most; the registry must then be queried and the files read.
    pub fn note_activity(&mut self, now: i64) -> Option<i64> {
        let inactive_us = now - self.last_active_at;
        self.last_active_at = now;
        let is_list_old = self.polls_registry || self.has_files;
        if !is_list_old || inactive_us <= TURN_INTERVAL_US + MAX_LATENESS_US {
            return None;
        }
        self.files_request += u64::from(self.has_files);
        (self.is_files_request_new, self.awaits_files) = (self.has_files, self.has_files);
        self.wait_until = now + MAX_WAIT_US;
        Some(self.wait_until)
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
        now < self.wait_until && (self.awaits_files || (self.polls_registry && is_called))
    }
}
