//! Passes events and instructions between the components of a gateway until none is pending.

mod attempts;
mod endpoints;
mod queries;

use crate::admin::{Admin, Page};
use crate::bootstrap::PgGatewayOptions;
use crate::clients::Clients;
use crate::coverage::Coverage;
use crate::effect_queue::EffectQueue;
use crate::endpoint_sets::EndpointSets;
use crate::engine_events::ReadyAttempt;
use crate::engines::Engines;
use crate::fault_injection::FaultInjection;
use crate::gossip::Gossip;
use crate::in_flight::InFlightQueries;
use crate::list_age::{ListAge, ACTIVITY_INTERVAL_US};
use crate::metrics::MetricsSnapshot;
use crate::peering::Peering;
use crate::registry::RegistryClient;
use crate::shutdown::Shutdown;
use crate::timer_event::TimerEvent;
use rand::{rngs::StdRng, SeedableRng as _};
use std::collections::VecDeque;
use wheelfield_config::Config;
use wheelfield_driver::Input;
use wheelfield_recorder::RecordingDriver;
use wheelfield_sans_io::ConnId;

/// Interval between the closing of idle sessions, the check of the age of the registry list, and capture
/// maintenance.
const MAINTENANCE_INTERVAL_US: i64 = 1_000_000;

/// The components of a gateway.
pub(crate) struct Dispatcher {
    pub config: Config,
    pub out: EffectQueue,
    pub driver: RecordingDriver,
    pub clients: Clients,
    pub queries: InFlightQueries,
    pub engines: Engines,
    pub endpoint_sets: EndpointSets,
    pub registry: RegistryClient,
    pub list_age: ListAge,
    pub peering: Option<Peering>,
    pub gossip: Option<Gossip>,
    pub admin: Admin,
    pub shutdown: Shutdown,
    /// Clients with input to process, and engine sessions to read.
    pub ready_clients: VecDeque<ConnId>,
    pub readable_sessions: VecDeque<ConnId>,
    /// Attempts that were withdrawn before they were written, or wait for the engine list. The driver limits the
    /// number of attempts.
    pub withheld_attempts: VecDeque<ReadyAttempt>,
    cancel_requests_received: u64,
    hints_ignored: u64,
    probe_counts: (u64, u64),
    pub fault: Option<FaultInjection>,
    pub faults_injected: u64,
}

impl Dispatcher {
    /// The components of a gateway that has not started.
    pub fn new(config: Config, options: PgGatewayOptions) -> Dispatcher {
        let PgGatewayOptions {
            now,
            seed,
            cancel_key_seed,
            decision_engine,
            recorder,
            peer_address,
            gossip,
            fault,
        } = options;
        let fault = fault.filter(|_| cfg!(feature = "planted"));
        Dispatcher {
            out: EffectQueue::new(now),
            driver: RecordingDriver::new(decision_engine, recorder),
            clients: Clients::new(&config, StdRng::from_seed(cancel_key_seed)),
            queries: InFlightQueries::default(),
            engines: Engines::new(&config, fault),
            endpoint_sets: EndpointSets::new(&config),
            registry: RegistryClient::new(&config),
            list_age: ListAge::new(&config, now),
            peering: Peering::new(&config, peer_address, now),
            gossip: gossip.and_then(|(own, keys)| Gossip::new(&config, own, keys, seed, now, fault)),
            admin: Admin::new(),
            shutdown: Shutdown::default(),
            ready_clients: VecDeque::new(),
            readable_sessions: VecDeque::new(),
            withheld_attempts: VecDeque::new(),
            cancel_requests_received: 0,
            hints_ignored: 0,
            probe_counts: (0, 0),
            fault,
            faults_injected: 0,
            config,
        }
    }

    // --- events ---

    pub fn handle_start(&mut self) {
        self.driver.handle_input(self.out.now, Input::Started);
        if self.config.registry.is_none() && !self.endpoint_sets.has_files() {
            let change = self.endpoint_sets.use_configured_engines(&self.config);
            self.apply_change(Some(change));
        } else if self.config.registry.is_some() && !self.config.settings.subscribe {
            self.registry.request_list(self.endpoint_sets.registry_version(), &mut self.out);
        }
        if let Some(gossip) = &mut self.gossip {
            gossip.tick(&mut self.out);
        }
        self.out.set_timer_after(MAINTENANCE_INTERVAL_US, TimerEvent::Maintenance);
        if self.list_age.can_be_old() {
            self.out.set_timer_after(ACTIVITY_INTERVAL_US, TimerEvent::Activity);
        }
    }

    pub fn handle_timer(&mut self, timer: TimerEvent) {
        let out = &mut self.out;
        match timer {
            TimerEvent::ClientStartupTimeout(id) => self.clients.handle_startup_timeout(id, out),
            TimerEvent::ClientReadTimeout(id) => {
                if self.clients.check_read_timeout(id, out) {
                    self.disconnect_client(id);
                }
            }
            TimerEvent::EngineConnectTimeout(id) => self.engines.handle_connect_timeout(id, out),
            TimerEvent::ConnectRetry(engine) => self.engines.retry_connects(engine, out),
            TimerEvent::AnswerStallCheck(id) => {
                let client = self.engines.sessions.get(id).and_then(|session| session.client());
                let is_paused = client.is_some_and(|client| self.clients.is_pausing(client, id));
                self.engines.check_stall(id, is_paused, out);
            }
            TimerEvent::DiscardTimeout(id) => self.engines.handle_discard_timeout(id, out),
            TimerEvent::CancelRequestTimeout(id) => self.engines.handle_cancel_timeout(id, out),
            TimerEvent::ProbeTimeout(id) => self.engines.handle_probe_timeout(id, out),
            TimerEvent::RegistryRequest => {
                self.registry.request_list(self.endpoint_sets.registry_version(), out)
            }
            TimerEvent::Activity => {
                out.set_timer_after(ACTIVITY_INTERVAL_US, TimerEvent::Activity);
            }
            // Processing the pending clients afterwards resumes the delayed queries.
            TimerEvent::EngineListWaitTimeout => {}
            TimerEvent::Gossip => {
                if let Some(gossip) = &mut self.gossip {
                    gossip.tick(out);
                }
            }
            TimerEvent::DrainTimeout if self.shutdown == Shutdown::Stopped => {}
            TimerEvent::DrainTimeout => {
                out.record(Coverage::DrainTimeout);
                self.shutdown.handle_drain_timeout(self.clients.len(), out);
            }
            TimerEvent::Maintenance => self.run_maintenance(),
        }
    }

    fn run_maintenance(&mut self) {
        let now = self.out.now;
        self.out.set_timer_after(MAINTENANCE_INTERVAL_US, TimerEvent::Maintenance);
        self.engines.close_idle_sessions(&mut self.out);
        let change = self.endpoint_sets.expire_registry(now);
        self.apply_change(change);
        if let Some((count, index)) = self.gossip.as_mut().and_then(|gossip| gossip.take_view_change()) {
            self.out.record(Coverage::GatewayCountChanged);
            self.driver.handle_input(now, Input::GatewayCountChanged { count, index });
        }
        self.driver.maintain_capture(now);
    }

    /// Processes pending work until none is left.
    pub fn process_pending(&mut self) {
        loop {
            // Client input is processed before instructions are executed, since a client may have
            // disconnected or cancelled. Engine sessions are read last, since answers may be long.
            if let Some(event) = self.engines.next_event() {
                self.handle_engine_event(event);
            } else if let Some(id) = self.next_ready_client() {
                self.read_client(id);
            } else if let Some(ready) = self.next_withheld_attempt() {
                self.engines.push_ready(ready);
            } else if let Some(instruction) = self.driver.next_instruction() {
                self.execute_instruction(instruction);
            } else if let Some(id) = self.readable_sessions.pop_front() {
                self.read_session(id);
            } else {
                break;
            }
        }
        if self.shutdown == Shutdown::Draining && self.out.has_stopped_listening() && self.clients.len() == 0
        {
            self.out.record(Coverage::DrainCompleted);
            self.shutdown.finish(&mut self.out);
        }
    }

    // --- administration ---

    pub fn serve_admin(&mut self, id: ConnId) {
        while let Some(page) = self.admin.next_request(id, &mut self.out) {
            let (status, content_type, body) = match page {
                Page::Health => (200, "text/plain", "ok\n".to_string()),
                Page::Status => (200, "application/json", self.metrics_snapshot().render_status()),
                Page::Metrics => (200, "text/plain", self.metrics_snapshot().render_metrics()),
                Page::Unknown => (404, "text/plain", "known: /health, /status, /metrics\n".to_string()),
            };
            self.admin.respond(id, status, content_type, &body);
        }
    }

    /// The number of open connections.
    pub fn connection_count(&self) -> usize {
        self.clients.len()
            + self.engines.connection_count()
            + self.registry.connection_count()
            + self.admin.len()
    }

    fn metrics_snapshot(&self) -> MetricsSnapshot<'_> {
        MetricsSnapshot {
            now: self.out.now,
            driver: &self.driver,
            clients: &self.clients,
            engines: &self.engines,
            endpoint_sets: &self.endpoint_sets,
            registry: &self.registry,
            peering: self.peering.as_ref(),
            gossip: self.gossip.as_ref(),
            cancel_requests: self.cancel_requests_received,
            hints_ignored: self.hints_ignored,
            probe_counts: self.probe_counts,
        }
    }
}
