//! The interface of the platform protocol to the event loop: it receives events and returns effects.

use crate::abandonment::AbandonmentCounts;
use crate::bootstrap::BootstrapConfig;
use crate::clients;
use crate::dispatcher::Dispatcher;
use crate::invariants::ViolationCounts;
use crate::planted::InjectedFault;
use std::net::SocketAddr;
use wheelfield_sans_io::{
    ConnId, ConnectionBuffer, DatagramSocket, Effect, FailureCause, IoEvent, Listener, Protocol,
};

/// A controller that speaks the platform protocol.
pub struct Platform {
    dispatcher: Dispatcher,
}

impl Platform {
    /// Creates a controller that has not started yet. `now` is the time at which its configuration was read.
    pub fn new(config: BootstrapConfig, now: i64) -> Platform {
        Platform {
            dispatcher: Dispatcher::new(config, now),
        }
    }

    /// Switches to the name service at this address, after the configuration was reloaded.
    pub fn use_resolver(&mut self, now: i64, resolver: SocketAddr) {
        assert!(!self.dispatcher.has_injected(InjectedFault::PanicOnReload));
        self.dispatcher.set_time(now);
        self.dispatcher.use_resolver(resolver);
    }

    /// Number of open connections, known executors and queries in flight. Tests use it to detect leaks.
    pub fn resources_in_use(&self) -> usize {
        self.dispatcher.resources_in_use()
    }

    /// Injects a fault, which the soak test is expected to detect.
    #[cfg(feature = "planted")]
    pub fn inject_fault(&mut self, fault: InjectedFault) {
        self.dispatcher.injected_fault = Some(fault);
    }

    /// Injects a fault for tests: clears the record of recently used request ids.
    #[cfg(feature = "planted")]
    pub fn forget_recent_ids(&mut self) {
        self.dispatcher.forget_recent_ids();
    }

    /// Counters of clients that disconnected while their query was in flight.
    pub fn abandonment_counts(&self) -> AbandonmentCounts {
        self.dispatcher.abandonment_counts()
    }

    /// Invariant violations since the start of the process.
    pub fn violation_counts(&self) -> ViolationCounts {
        self.dispatcher.violation_counts()
    }

    fn buffer(&mut self, id: ConnId) -> Option<&mut ConnectionBuffer> {
        match id.owner() {
            clients::OWNER => self.dispatcher.clients.buffer(id),
            _ => self.dispatcher.executors.buffer(id),
        }
    }

    /// Handles new input on a connection, or the end of its input.
    fn handle_input(&mut self, id: ConnId) {
        match id.owner() {
            clients::OWNER => self.dispatcher.handle_client_input(id),
            _ => self
                .dispatcher
                .executors
                .handle_input(id, &mut self.dispatcher.out),
        }
    }

    fn handle_received(&mut self, id: ConnId, bytes: &[u8]) {
        let Some(buffer) = self.buffer(id) else {
            return;
        };
        buffer.receive(bytes);
        if id.owner() == clients::OWNER {
            self.end_read_delay(id);
            let arrived_at = self.dispatcher.arrival_time();
            self.dispatcher
                .clients
                .record_received(id, bytes.len(), arrived_at);
        }
        self.handle_input(id);
    }

    fn handle_read_closed(&mut self, id: ConnId) {
        let Some(buffer) = self.buffer(id) else {
            return;
        };
        buffer.read_closed = true;
        self.end_read_delay(id);
        self.handle_input(id);
    }

    fn end_read_delay(&mut self, id: ConnId) {
        let Dispatcher { out, clients, .. } = &mut self.dispatcher;
        clients.end_read_delay(id, out.now);
    }

    fn handle_client_closing(&mut self, id: ConnId) {
        let Some(buffer) = self.buffer(id) else {
            return;
        };
        buffer.peer_closing = true;
        self.handle_input(id);
    }
}

impl Protocol for Platform {
    fn handle_start(&mut self, now: i64) {
        self.dispatcher.set_time(now);
        self.dispatcher.start();
    }

    fn begin_iteration(&mut self, now: i64) {
        self.dispatcher.set_time(now);
    }

    fn set_earliest_arrival(&mut self, since: i64) {
        self.dispatcher.earliest_arrival_at = Some(since);
    }

    fn accept(&mut self, now: i64, _: Listener) -> Option<ConnId> {
        self.dispatcher.set_time(now);
        self.dispatcher.clients.accept(&mut self.dispatcher.out)
    }

    fn handle_io(&mut self, now: i64, event: IoEvent<'_>) {
        self.dispatcher.set_time(now);
        let Dispatcher { out, executors, .. } = &mut self.dispatcher;
        match event {
            IoEvent::Connected(id) => executors.handle_connected(id, out),
            IoEvent::Received(id, bytes) => self.handle_received(id, bytes),
            IoEvent::ReadClosed(id) => self.handle_read_closed(id),
            IoEvent::PeerClosing(id) if id.owner() == clients::OWNER => {
                self.handle_client_closing(id)
            }
            IoEvent::PeerClosing(id) => executors.handle_peer_closing(id, out),
            IoEvent::ConnectionFailed { id, .. } if id.owner() == clients::OWNER => {
                self.dispatcher.handle_client_disconnected(id);
            }
            IoEvent::ConnectionFailed { id, cause, .. } => match cause {
                FailureCause::ConnectRefused => executors.handle_connect_refused(id, out),
                FailureCause::PeerUnreachable => executors.handle_connect_timeout(id, out),
                FailureCause::ConnectNotAttempted => executors.handle_connect_impossible(id, out),
                FailureCause::ConnectionLost => executors.handle_broken(id, out),
            },
            IoEvent::Datagram(DatagramSocket::Peers, from, bytes) => {
                self.dispatcher.handle_peer_message(from, bytes);
            }
            IoEvent::Datagram(DatagramSocket::Discovery, from, bytes) => {
                self.dispatcher.handle_discovery_answer(from, bytes);
            }
            IoEvent::Datagram(DatagramSocket::Gossip, ..) => {}
        }
    }

    fn handle_read_delay(&mut self, now: i64, id: ConnId) {
        self.dispatcher.set_time(now);
        if id.owner() == clients::OWNER {
            self.dispatcher.clients.begin_read_delay(id);
        }
    }

    fn handle_datagram_send_failure(&mut self, now: i64, socket: DatagramSocket) {
        self.dispatcher.set_time(now);
        if socket == DatagramSocket::Discovery {
            self.dispatcher.handle_query_unsent();
        }
    }

    fn handle_datagram_receive_failure(&mut self, now: i64, socket: DatagramSocket) {
        self.dispatcher.set_time(now);
        if socket == DatagramSocket::Discovery {
            self.dispatcher.handle_answers_unreadable();
        }
    }

    fn begin_shutdown(&mut self, now: i64) {
        self.dispatcher.set_time(now);
        self.dispatcher.begin_shutdown();
    }

    fn handle_listening_stopped(&mut self, now: i64) {
        self.dispatcher.set_time(now);
        self.dispatcher.out.mark_listening_stopped();
    }

    fn withdraw_stale_output(&mut self, now: i64, id: ConnId) {
        self.dispatcher.set_time(now);
        if id.owner() != clients::OWNER {
            self.dispatcher.executors.requeue_unwritten(id);
        }
    }

    fn read_capacity(&mut self, id: ConnId) -> usize {
        match id.owner() {
            clients::OWNER => {
                let Dispatcher { out, clients, .. } = &mut self.dispatcher;
                clients.read_capacity(id, out)
            }
            _ => self.dispatcher.executors.read_capacity(id),
        }
    }

    fn output(&mut self, id: ConnId) -> &[u8] {
        self.buffer(id).map_or(&[], |buffer| &buffer.output)
    }

    fn bytes_written(&mut self, now: i64, id: ConnId, count: usize) {
        self.dispatcher.set_time(now);
        match id.owner() {
            clients::OWNER => self.dispatcher.handle_client_output_written(id, count),
            _ => self.dispatcher.handle_executor_output_written(id, count),
        }
    }

    fn next_timer_at(&self) -> Option<i64> {
        let driver_timer = self
            .dispatcher
            .driver
            .decision_engine()
            .next_timer_at()
            .map(|at| at.0);
        let own_timer = self.dispatcher.out.next_timer_at();
        let deferred_input = self
            .dispatcher
            .clients
            .has_deferred()
            .then_some(self.dispatcher.out.now);
        [driver_timer, own_timer, deferred_input]
            .into_iter()
            .flatten()
            .min()
    }

    fn handle_timers(&mut self, now: i64) {
        self.dispatcher.set_time(now);
        self.dispatcher.begin_turn();
        self.dispatcher.process_events();
        self.dispatcher.driver.handle_timers(now);
        self.dispatcher.process_events();
        while let Some(event) = self.dispatcher.out.pop_due_timer() {
            self.dispatcher.handle_timer(event);
            self.dispatcher.process_events();
        }
    }

    fn take_effects(&mut self, into: &mut Vec<Effect>) {
        self.dispatcher.process_events();
        self.dispatcher.out.take(into);
    }
}
