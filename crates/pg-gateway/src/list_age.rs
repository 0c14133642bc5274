//! Whether new queries wait for the list of engines.
//!
//! The list of a registry that is polled is as old as the interval of the calls, as a rule, and engine files are read soon after they
//! change. After the process was suspended what it knows is as much older, and nobody was asked meanwhile: new queries wait until the
//! call that is made then has come to an end, and the files were read, for a bounded time. A registry that is watched tells of changes
//! by itself, and what it told is read before the queries that came meanwhile.

use wheelfield_config::{Config, Refresh};

/// A process that serves takes a turn at least once a second, in microseconds.
const TURN_INTERVAL_US: i64 = 1_000_000;
/// One that took none for this much longer was suspended or starved.
const MAX_LATENESS_US: i64 = 300_000;
/// For how long new queries wait at most, in microseconds; after that they go by the last list.
const MAX_WAIT_US: i64 = 1_000_000;

/// The age of the list, as far as this process is the cause of it; times in microseconds.
#[derive(Debug)]
pub(crate) struct ListAge {
    polls_registry: bool,
    has_files: bool,
    last_active_at: i64,
    wait_until: i64,
    /// The number of the last request to read the files.
    files_request: u64,
    /// It has not been handed on yet.
    is_files_request_new: bool,
    /// It has not been answered yet.
    awaits_files: bool,
}

impl ListAge {
    /// That of a process that begins to serve.
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

    /// Whether there is a registry that is polled.
    pub fn polls_registry(&self) -> bool {
        self.polls_registry
    }

    /// Notes that the process is active. Returns until when new queries wait at most, if it was not active for long: the registry is
    /// to be called now, and the files read.
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

    /// The number of a request to read the files, once.
    pub fn take_files_request(&mut self) -> Option<u64> {
        let is_new = std::mem::take(&mut self.is_files_request_new);
        is_new.then_some(self.files_request)
    }

    /// Notes that the files were read for the request of this number.
    pub fn note_files_read(&mut self, number: u64) {
        self.awaits_files &= number != self.files_request;
    }

    /// Whether new queries wait, while a call of the registry is under way or not.
    pub fn is_awaited(&self, now: i64, is_called: bool) -> bool {
        now < self.wait_until && (self.awaits_files || (self.polls_registry && is_called))
    }
}
