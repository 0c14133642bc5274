//! Reserves memory for long requests before they are received and for results before they are fetched, and refuses requests that
//! cannot get any in time.

use super::memory::{MemoryCharge, MemoryWait, Waiter, MAX_MEMORY_WAIT_US};
use super::Clients;
use crate::http_server::{
    self, Reply, RequestHead, RequestKind, MAX_HEAD_BYTES, RESPONSE_MARGIN_US,
};
use crate::timer_event::TimerEvent;
use tracing::debug;
use wheelfield_sans_io::{ConnId, EffectQueue};

/// The memory that a request needs, and for how long it may wait for it.
struct MemoryDemand {
    /// Size of the reservation in bytes.
    bytes: usize,
    /// Maximum time that the request may wait, in microseconds.
    max_wait_us: i64,
}

impl MemoryDemand {
    /// The demand of the incomplete request at the start of a client's input; `None` if it is complete or invalid, so that parsing
    /// it does not need more input.
    fn of_input(input: &[u8]) -> Option<MemoryDemand> {
        match http_server::parse_head(input) {
            Ok(Some(head)) if input.len() >= head.total_length => None,
            Ok(Some(head)) => Some(MemoryDemand {
                bytes: head.total_length,
                max_wait_us: max_wait_us(&head),
            }),
            Ok(None) => Some(MemoryDemand {
                bytes: MAX_HEAD_BYTES,
                max_wait_us: MAX_MEMORY_WAIT_US,
            }),
            Err(_) => None,
        }
    }
}

/// Maximum time that a request may wait for memory, in microseconds. The rest of it may have arrived when the wait began, so that
/// the client's timeout may run since then.
fn max_wait_us(head: &RequestHead) -> i64 {
    match &head.kind {
        Ok(RequestKind::Query(query)) => {
            let timeout_us = (query.timeout_us - RESPONSE_MARGIN_US).max(1);
            timeout_us.min(MAX_MEMORY_WAIT_US)
        }
        _ => MAX_MEMORY_WAIT_US,
    }
}

impl Clients {
    /// Memory that the connections of all clients take, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.memory.used_bytes()
    }

    /// Number of clients whose request waits for memory.
    pub fn waiting_count(&self) -> usize {
        self.memory.waiting_count()
    }

    /// Number of bytes that may be read from a connection.
    pub fn read_capacity(&mut self, id: ConnId, out: &mut EffectQueue<TimerEvent>) -> usize {
        self.reserve_if_needed(id, out);
        let Some(client) = self.connections.get_mut(id) else {
            return 0;
        };
        let capacity = client.buffer.read_capacity(client.max_input_bytes());
        if capacity == 0 && client.read_paused_since.is_none() {
            client.read_paused_since = Some(out.now);
        }
        capacity
    }

    /// Continues to read an incomplete request. Reading may have been paused while the request before it was processed or answered, when
    /// nothing could be reserved for this one.
    pub(super) fn continue_receiving(&mut self, id: ConnId, out: &mut EffectQueue<TimerEvent>) {
        self.reserve_if_needed(id, out);
        if let Some(client) = self.connections.get_mut(id) {
            let max_input = client.max_input_bytes();
            client.buffer.resume_reading(id, max_input, out);
        }
    }

    /// Reserves the memory for a request that has filled what its client may send without a reservation. If there is not enough,
    /// the client waits.
    fn reserve_if_needed(&mut self, id: ConnId, out: &mut EffectQueue<TimerEvent>) {
        let Some(client) = self.connections.get(id) else {
            return;
        };
        if !client.is_input_full() || client.memory_wait.is_some() {
            return;
        }
        let Some(demand) = MemoryDemand::of_input(&client.buffer.input) else {
            return;
        };
        let more_bytes = demand.bytes.saturating_sub(client.charge.reserved_input);
        if self.memory.first_waiter().is_none() && self.memory.fits(more_bytes) {
            self.reserve(id, demand.bytes, out.now);
        } else {
            self.begin_memory_wait(id, &demand, out);
        }
    }

    fn reserve(&mut self, id: ConnId, bytes: usize, now: i64) {
        let Some(client) = self.connections.get_mut(id) else {
            return;
        };
        let charge = MemoryCharge {
            reserved_input: bytes,
            ..client.charge
        };
        self.memory.change_charge(&mut client.charge, charge);
        client.reserved_at = Some(now);
        let more_bytes = bytes.saturating_sub(client.buffer.input.len());
        client.buffer.input.reserve(more_bytes);
    }

    fn begin_memory_wait(
        &mut self,
        id: ConnId,
        demand: &MemoryDemand,
        out: &mut EffectQueue<TimerEvent>,
    ) {
        let Some(client) = self.connections.get_mut(id) else {
            return;
        };
        self.counters.delayed += 1;
        debug!(
            connection = id.as_u64(),
            received = client.buffer.input.len(),
            needed = demand.bytes,
            used = self.memory.used_bytes(),
            waiting = self.memory.waiting_count(),
            "request waits for memory"
        );
        let waiter = Waiter {
            is_new_client: !client.has_sent_request,
            since: out.now,
            client: id,
        };
        self.memory.add_waiter(waiter);
        let timer = out.set_timer_after(demand.max_wait_us, TimerEvent::EndMemoryWait(id));
        client.memory_wait = Some(MemoryWait {
            waiter,
            needed_bytes: demand.bytes,
            timer: Some(timer),
        });
    }

    /// Ends the wait of a client for memory, if it waits.
    pub(super) fn end_memory_wait(&mut self, id: ConnId, out: &mut EffectQueue<TimerEvent>) {
        let wait = self.connections.get_mut(id);
        if let Some(mut wait) = wait.and_then(|client| client.memory_wait.take()) {
            self.memory.remove_waiter(wait.waiter);
            out.cancel_timer(&mut wait.timer);
        }
    }

    /// Gives memory that has become free to the clients that wait.
    pub fn distribute_memory(&mut self, out: &mut EffectQueue<TimerEvent>) {
        while let Some(waiter) = self.memory.first_waiter() {
            let id = waiter.client;
            let Some((bytes, more_bytes)) = self.demand_of_waiter(id) else {
                self.memory.remove_waiter(waiter);
                continue;
            };
            if !self.memory.fits(more_bytes) {
                return;
            }
            debug!(
                connection = id.as_u64(),
                waited_us = out.now - waiter.since,
                "request received further"
            );
            self.end_memory_wait(id, out);
            self.reserve(id, bytes, out.now);
            if let Some(client) = self.connections.get_mut(id) {
                let max_input = client.max_input_bytes();
                client.buffer.resume_reading(id, max_input, out);
            }
        }
    }

    /// The reservation that a waiting client needs, and the number of bytes by which it exceeds the present one.
    pub(super) fn demand_of_waiter(&self, id: ConnId) -> Option<(usize, usize)> {
        let client = self.connections.get(id)?;
        let bytes = client.memory_wait.as_ref()?.needed_bytes;
        Some((bytes, bytes.saturating_sub(client.charge.reserved_input)))
    }

    /// Refuses a request that could not be received in time for lack of memory. Nothing of it went anywhere.
    pub fn refuse_waiting_request(&mut self, id: ConnId, out: &mut EffectQueue<TimerEvent>) {
        let is_waiting = self.connections.get(id);
        if is_waiting.is_some_and(|client| client.memory_wait.is_some()) {
            self.refuse_incomplete_request(id, out);
        }
    }

    pub(super) fn refuse_incomplete_request(
        &mut self,
        id: ConnId,
        out: &mut EffectQueue<TimerEvent>,
    ) {
        self.counters.refused_for_memory += 1;
        if let Some(client) = self.connections.get_mut(id) {
            // Where the next request begins is not known.
            client.close_after_response = true;
        }
        self.respond(id, &Reply::Rejected { retry_after_ms: 0 }, out);
    }

    /// Reserves the memory for the result of a client's query. Returns whether there is enough.
    pub fn reserve_result(&mut self, id: ConnId, bytes: usize) -> bool {
        let Some(client) = self.connections.get_mut(id) else {
            return true;
        };
        let charge = MemoryCharge {
            result: bytes,
            ..client.charge
        };
        let more_bytes = bytes.saturating_sub(client.charge.result);
        let fits = self.memory.fits(more_bytes);
        if fits {
            self.memory.change_charge(&mut client.charge, charge);
        }
        fits
    }

    /// Releases the memory for the result of a client's query.
    pub fn release_result(&mut self, id: ConnId) {
        if let Some(client) = self.connections.get_mut(id) {
            let charge = MemoryCharge {
                result: 0,
                ..client.charge
            };
            self.memory.change_charge(&mut client.charge, charge);
        }
    }
}
