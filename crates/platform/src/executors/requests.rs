//! Messages to executors: requests, priority changes and cancellations.

use super::connection::RunningAttempt;
use super::{AttemptLocation, Executors, PendingAttempt};
use crate::executor_protocol::{self, Request};
use crate::timer_event::TimerEvent;
use tracing::debug;
use wheelfield_driver::{AttemptId, AttemptOptions};
use wheelfield_sans_io::{ConnId, EffectQueue};

impl Executors {
    /// Removes and returns the first queued attempt of an established connection.
    pub fn take_queued(&mut self, id: ConnId) -> Option<PendingAttempt> {
        let connection = self
            .connections
            .get_mut(id)
            .filter(|connection| connection.is_connected)?;
        if connection.queued.is_empty() {
            return None;
        }
        let attempt = connection.queued.remove(0);
        self.locations.remove(&attempt.id);
        Some(attempt)
    }

    /// Appends the request of an attempt to the output buffer of a connection and requests a write.
    pub fn write_request(
        &mut self,
        id: ConnId,
        attempt: PendingAttempt,
        request: &Request<'_>,
        out: &mut EffectQueue<TimerEvent>,
    ) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        debug!(
            id = %attempt.request,
            attempt = %attempt.id,
            executor = connection.engine.0,
            limit_ms = request.limit_ms,
            "request written"
        );
        let location = AttemptLocation {
            connection: id,
            request: attempt.request,
        };
        let start = connection.bytes_queued;
        let priority = attempt.options.priority;
        connection.append(|output| {
            executor_protocol::encode_request(attempt.request, priority, request, output);
        });
        let running = RunningAttempt {
            request_bytes: start..connection.bytes_queued,
            is_dispatched: false,
            result: None,
            earlier_attempts: connection.count_earlier_attempts(attempt.request),
            attempt,
        };
        self.locations.insert(running.attempt.id, location);
        connection.running.insert(location.request, running);
        connection.buffer.flush(id, out);
    }

    /// Sends the changed options of an attempt, if its request was written and no part of its result has arrived.
    pub fn set_options(
        &mut self,
        attempt: AttemptId,
        options: AttemptOptions,
        out: &mut EffectQueue<TimerEvent>,
    ) {
        let Some(AttemptLocation {
            connection: id,
            request,
        }) = self.locations.get(&attempt).copied()
        else {
            return;
        };
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        if connection
            .running
            .get(&request)
            .is_some_and(|running| running.result.is_none())
        {
            connection.append(|output| {
                executor_protocol::encode_priority(request, options.priority, output)
            });
            connection.buffer.flush(id, out);
        }
    }

    /// Cancels an attempt. A response that the executor sent before it received the cancellation is dropped.
    pub fn cancel(&mut self, attempt: AttemptId, out: &mut EffectQueue<TimerEvent>) {
        self.delayed_attempts
            .retain(|delayed| delayed.attempt.id != attempt);
        let Some(AttemptLocation {
            connection: id,
            request,
        }) = self.locations.remove(&attempt)
        else {
            return;
        };
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        connection.queued.retain(|queued| queued.id != attempt);
        if let Some(running) = connection.running.remove(&request) {
            let has_result = running.result.is_some();
            debug!(id = %request, %attempt, executor = connection.engine.0, has_result, "attempt cancelled");
            // The driver treats the attempt as never sent, so its request must not leave the output buffer: close the connection.
            if !running.is_dispatched {
                return self.handle_broken(id, out);
            }
            // If the first page has arrived, the query is complete and the executor only has to release the remaining pages.
            connection.append(|output| {
                if has_result {
                    executor_protocol::encode_release(request, output);
                } else {
                    executor_protocol::encode_cancel(request, output);
                }
            });
            connection.cancelled_ids.push(request);
            connection.idle_since = out.now;
            connection.buffer.flush(id, out);
        }
        self.close_if_retired(id, out);
    }
}
