//! Fetches results of several pages, as far as there is memory for them. Until then, the executor keeps the pages.

use super::Dispatcher;
use crate::result_pages::{MAX_PAGE_BYTES, MAX_RESULT_BYTES};
use std::collections::VecDeque;
use wheelfield_driver::AttemptId;

/// Memory that a result takes, as a multiple of its length: the pages, the input of the connection on which they arrive, and the
/// response that is built from them.
const MEMORY_PER_RESULT_BYTE: usize = 3;

/// A result whose further pages have not been requested yet.
#[derive(Clone, Copy, Debug)]
struct WaitingResult {
    attempt: AttemptId,
    memory_bytes: usize,
}

/// Results that wait for memory, in the order in which they began. An attempt has one entry, and one more for each time that its first
/// page was replaced by that of another attempt on the connection, which remembers a bounded number of those.
#[derive(Debug, Default)]
pub(crate) struct WaitingResults {
    waiting: VecDeque<WaitingResult>,
}

impl WaitingResults {
    /// Number of waiting results.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Memory that all waiting results need, in bytes.
    pub fn wanted_bytes(&self) -> usize {
        self.waiting.iter().map(|result| result.memory_bytes).sum()
    }
}

impl Dispatcher {
    /// Queues a result whose first page has arrived.
    pub(super) fn queue_result(&mut self, attempt: AttemptId, pages: usize) {
        let result_bytes = MAX_RESULT_BYTES.min(pages * MAX_PAGE_BYTES);
        self.waiting_results.waiting.push_back(WaitingResult {
            attempt,
            memory_bytes: MEMORY_PER_RESULT_BYTE * result_bytes,
        });
    }

    /// Requests the further pages of the results for which there is memory.
    pub(super) fn fetch_waiting_results(&mut self) {
        while let Some(result) = self.waiting_results.waiting.front().copied() {
            let query = self.in_flight.get(result.attempt.query);
            if let Some(client) = query.map(|query| query.client) {
                if !self.clients.reserve_result(client, result.memory_bytes) {
                    return;
                }
                self.executors.fetch_pages(result.attempt, &mut self.out);
            }
            self.waiting_results.waiting.pop_front();
        }
    }

    /// Releases the memory of the result of an attempt that has ended, and no longer waits for it.
    pub(super) fn release_result(&mut self, attempt: AttemptId) {
        self.waiting_results
            .waiting
            .retain(|waiting| waiting.attempt != attempt);
        if let Some(query) = self.in_flight.get(attempt.query) {
            self.clients.release_result(query.client);
        }
    }
}
