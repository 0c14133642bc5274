//! What goes on between the parts of a controller: what one tells is handed to the others until nothing is left to be done.

mod attempts;
mod endpoints;
mod queries;

use crate::admin::{Admin, Page};
use crate::bootstrap::PgGatewayOptions;
use crate::clients::Clients;
use crate::coverage::Coverage;
use crate::effect_queue::EffectQueue;
use crate::endpoint_sets::EndpointSets;
use crate::engines::Engines;
use crate::fault_injection::FaultInjection;
use crate::gossip::Gossip;
use crate::in_flight::InFlightQueries;
use crate::list_age::ListAge;
use crate::metrics::Look;
use crate::peering::Peering;
use crate::registry::Call;
use crate::shutdown::Stop;
use crate::timer_event::TimerEvent;
use rand::{rngs::StdRng, SeedableRng as _};
use std::collections::VecDeque;
use wheelfield_config::Config;
use wheelfield_driver::Input;
use wheelfield_recorder::RecordingDriver;
use wheelfield_sans_io::ConnId;

/// Idle sessions, ages and captures are looked at so often.
const SWEEP: i64 = 1_000_000;

/// All parts.
pub(crate) struct Dispatcher {
    pub config: Config,
    pub out: EffectQueue,
    pub tape: RecordingDriver,
    pub clients: Clients,
    pub units: InFlightQueries,
    pub engines: Engines,
    pub sets: EndpointSets,
    pub call: Call,
    pub list_age: ListAge,
    pub peering: Option<Peering>,
    pub gossip: Option<Gossip>,
    pub admin: Admin,
    pub stop: Stop,
    /// Clients to be looked at, and sessions to be read on.
    pub ready: VecDeque<ConnId>,
    pub readable: VecDeque<ConnId>,
    cancels_heard: u64,
    hints_ignored: u64,
    probes: (u64, u64),
    pub plant: Option<FaultInjection>,
    pub planted: u64,
}

impl Dispatcher {
    /// The parts of a controller that has not started.
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
        let plant = fault.filter(|_| cfg!(feature = "planted"));
        Dispatcher {
            out: EffectQueue::new(now),
            tape: RecordingDriver::new(decision_engine, recorder),
            clients: Clients::new(&config, StdRng::from_seed(cancel_key_seed)),
            units: InFlightQueries::default(),
            engines: Engines::new(&config, plant),
            sets: EndpointSets::new(&config),
            call: Call::new(&config),
            list_age: ListAge::new(&config, now),
            peering: Peering::new(&config, peer_address, now),
            gossip: gossip.and_then(|(own, keys)| Gossip::new(&config, own, keys, seed, now, plant)),
            admin: Admin::new(),
            stop: Stop::default(),
            ready: VecDeque::new(),
            readable: VecDeque::new(),
            cancels_heard: 0,
            hints_ignored: 0,
            probes: (0, 0),
            plant,
            planted: 0,
            config,
        }
    }

    // --- what happened ---

    pub fn started(&mut self) {
        self.tape.handle_input(self.out.now, Input::Started);
        if self.config.registry.is_none() && !self.sets.of_files() {
            let change = self.sets.fixed(&self.config);
            self.changed(Some(change));
        } else if self.config.registry.is_some() && !self.config.settings.subscribe {
            self.call.ask(self.sets.registry_version(), &mut self.out);
        }
        if let Some(gossip) = &mut self.gossip {
            gossip.tend(&mut self.out);
        }
        self.out.set_timer_after(SWEEP, TimerEvent::Sweep);
    }

    pub fn woken(&mut self, wake: TimerEvent) {
        let out = &mut self.out;
        match wake {
            TimerEvent::Startup(id) => self.clients.startup_late(id, out),
            TimerEvent::Reader(id) => {
                if self.clients.reader_stalled(id, out) {
                    self.client_gone(id);
                }
            }
            TimerEvent::Connect(id) => self.engines.connect_late(id, out),
            TimerEvent::Stall(id) => {
                let client = self.engines.sessions.get(id).and_then(|s| s.client());
                let paused = client.is_some_and(|c| self.clients.pauses(c, id));
                self.engines.stalled(id, paused, out);
            }
            TimerEvent::Abandon(id) => self.engines.abandon(id, out),
            TimerEvent::Cancel(id) => self.engines.cancel_late(id, out),
            TimerEvent::Probe(id) => self.engines.probe_late(id, out),
            TimerEvent::Registry => self.call.ask(self.sets.registry_version(), out),
            // The clients that wait are looked at after it.
            TimerEvent::ListWaitOver => {}
            TimerEvent::Gossip => {
                if let Some(gossip) = &mut self.gossip {
                    gossip.tend(out);
                }
            }
            TimerEvent::Stop if self.stop == Stop::Stopped => {}
            TimerEvent::Stop => {
                out.saw(Coverage::StopLate);
                self.stop.late(self.clients.len(), out);
            }
            TimerEvent::Sweep => self.sweep(),
        }
    }

    fn sweep(&mut self) {
        let now = self.out.now;
        self.out.set_timer_after(SWEEP, TimerEvent::Sweep);
        self.engines.close_idle(&mut self.out);
        let change = self.sets.age(now);
        self.changed(change);
        if let Some((count, index)) = self.gossip.as_mut().and_then(|g| g.news()) {
            self.out.saw(Coverage::GatewaysTold);
            self.tape.handle_input(now, Input::GatewayCountChanged { count, index });
        }
        self.tape.maintain_capture(now);
    }

    /// Does what is to be done until nothing is left.
    pub fn settle(&mut self) {
        loop {
            // Clients are heard before anything is sent, as one may have left; engines after, as an answer may be long.
            if let Some(word) = self.engines.word() {
                self.heed(word);
            } else if let Some(id) = self.next_ready() {
                self.attend(id);
            } else if let Some(instruction) = self.tape.next_instruction() {
                self.carry_out(instruction);
            } else if let Some(id) = self.readable.pop_front() {
                self.read(id);
            } else {
                break;
            }
        }
        if self.stop == Stop::Stopping && self.out.has_stopped_listening() && self.clients.len() == 0 {
            self.out.saw(Coverage::StopDone);
            self.stop.over(&mut self.out);
        }
    }

    // --- beside queries ---

    pub fn operator(&mut self, id: ConnId) {
        while let Some(page) = self.admin.next(id, &mut self.out) {
            let (status, kind, body) = match page {
                Page::Health => (200, "text/plain", "ok\n".to_string()),
                Page::Status => (200, "application/json", self.look().status()),
                Page::Metrics => (200, "text/plain", self.look().metrics()),
                Page::Unknown => (404, "text/plain", "known: /health, /status, /metrics\n".to_string()),
            };
            self.admin.answer(id, status, kind, &body);
        }
    }

    /// Connections that are held.
    pub fn connection_count(&self) -> usize {
        self.clients.len() + self.engines.connection_count() + self.call.connection_count() + self.admin.len()
    }

    fn look(&self) -> Look<'_> {
        Look {
            now: self.out.now,
            tape: &self.tape,
            clients: &self.clients,
            engines: &self.engines,
            sets: &self.sets,
            call: &self.call,
            peering: self.peering.as_ref(),
            gossip: self.gossip.as_ref(),
            cancels: self.cancels_heard,
            hints_ignored: self.hints_ignored,
            probes: self.probes,
        }
    }
}
