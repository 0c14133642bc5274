//! The processes and threads of a run (controllers, proxies, clients, executors and the name
//! service), and the faults as they begin and end.

mod executors;
mod faults;

use crate::client::{Client, ClientSetup};
use crate::controller::{free_address, log_file, Controller, ControllerSetup};
use crate::executor::Executor;
use crate::idle_clients;
use crate::ledger::{Ledger, Records};
use crate::name_service::NameService;
use crate::plan::{Deployment, Plan, PlannedFault};
use crate::proxy::Proxy;
use crate::SoakOptions;
use anyhow::{Context as _, Result};
use executors::ExecutorStep;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// How often the run checks for due work.
const TICK: Duration = Duration::from_millis(5);
/// A sleep that takes longer than requested by this much means that the test itself was delayed, in
/// microseconds.
const TEST_DELAY_THRESHOLD_US: i64 = 60_000;
/// How long the controllers may take to become ready at the start, in microseconds.
const READY_TIMEOUT_US: i64 = 20_000_000;
/// Texts in a controller's log that report an event that must not happen.
const ALARM_TEXTS: [&str; 2] = ["invariant violated", "panicked"];

/// A fault that is in force.
struct ActiveFault {
    planned: PlannedFault,
    executor: Option<usize>,
    from: i64,
}

/// The processes and threads of a run.
pub struct Cluster {
    ledger: Ledger,
    name_service: NameService,
    controllers: Vec<Controller>,
    proxies: Vec<Proxy>,
    executors: BTreeMap<usize, Executor>,
    executors_started: usize,
    steps: BTreeMap<i64, Vec<ExecutorStep>>,
    /// Controllers whose configuration is to be reloaded, by time.
    reloads: BTreeMap<i64, Vec<usize>>,
    active: Vec<ActiveFault>,
    clients: Vec<JoinHandle<()>>,
    has_stopped: Arc<AtomicBool>,
    has_idle_clients: bool,
    log_dir: PathBuf,
}

impl Cluster {
    /// Starts everything, and returns once all controllers are ready.
    ///
    /// # Errors
    /// If something cannot be started.
    pub fn start(options: &SoakOptions, deployment: &Deployment) -> Result<Cluster> {
        let ledger = Ledger::new(options.controllers);
        let addresses: Vec<SocketAddr> = (0..options.controllers)
            .map(free_address)
            .collect::<Result<_>>()?;
        let ips: Vec<_> = addresses.iter().map(SocketAddr::ip).collect();
        let name_service = NameService::start(&ips, ledger.clone(), options.seed)?;
        let mut cluster = Cluster {
            ledger,
            name_service,
            controllers: Vec::new(),
            proxies: Vec::new(),
            executors: BTreeMap::new(),
            executors_started: 0,
            steps: BTreeMap::new(),
            reloads: BTreeMap::new(),
            active: Vec::new(),
            clients: Vec::new(),
            has_stopped: Arc::new(AtomicBool::new(false)),
            has_idle_clients: deployment.max_idle_clients > 0,
            log_dir: options.log_dir.clone(),
        };
        for _ in 0..options.executors {
            cluster.start_executor("127.0.0.1:0".parse()?, 0)?;
        }
        cluster.start_controllers(options, deployment, &addresses)?;
        cluster.record_test_delays();
        cluster.start_clients(options, deployment)?;
        cluster.start_idle_clients(deployment, &addresses);
        Ok(cluster)
    }

    fn start_controllers(
        &mut self,
        options: &SoakOptions,
        deployment: &Deployment,
        addresses: &[SocketAddr],
    ) -> Result<()> {
        let setup = ControllerSetup {
            controllers: options.controllers,
            max_timeout_us: deployment.max_timeout_us,
            program: options.program.clone(),
            planted_fault: options.planted_fault.clone(),
            dir: options.log_dir.clone(),
        };
        let resolvers = self.name_service.addresses.clone();
        for (index, address) in addresses.iter().enumerate() {
            let _ = std::fs::remove_file(log_file(&options.log_dir, index));
            let resolver = resolvers[index % resolvers.len()];
            let mut controller =
                Controller::new(&setup, index, *address, resolver, self.ledger.clone())?;
            controller.start(&self.name_service.list())?;
            self.name_service.record_initial_list(index);
            let proxy = Proxy::start(
                index,
                *address,
                controller.state.clone(),
                self.ledger.clone(),
            )?;
            self.controllers.push(controller);
            self.proxies.push(proxy);
        }
        let until = self.ledger.now() + READY_TIMEOUT_US;
        while !self.controllers.iter().all(Controller::is_serving) {
            anyhow::ensure!(self.ledger.now() < until, "controllers are not ready");
            thread::sleep(TICK);
        }
        Ok(())
    }

    fn start_idle_clients(&self, deployment: &Deployment, addresses: &[SocketAddr]) {
        let max_idle_clients = deployment.max_idle_clients;
        for address in addresses.iter().copied().filter(|_| max_idle_clients > 0) {
            let has_stopped = self.has_stopped.clone();
            thread::spawn(move || {
                idle_clients::connect_until_stopped(address, max_idle_clients, &has_stopped)
            });
        }
    }

    fn start_clients(&mut self, options: &SoakOptions, deployment: &Deployment) -> Result<()> {
        for (controller, proxy) in self.controllers.iter().zip(&self.proxies) {
            let setup = ClientSetup {
                controller: controller.index,
                address: proxy.address,
                state: controller.state.clone(),
                ledger: self.ledger.clone(),
                last_request: Arc::new(AtomicU64::new(0)),
                max_timeout_us: deployment.max_timeout_us,
                has_stopped: self.has_stopped.clone(),
            };
            for n in 0..options.clients_per_controller {
                let seed = options.seed << 32 | (controller.index as u64) << 16 | n as u64;
                let mut client = Client::new(setup.clone(), seed);
                self.clients
                    .push(thread::Builder::new().spawn(move || client.run())?);
            }
        }
        Ok(())
    }

    /// Starts a thread that records when the test itself is delayed.
    fn record_test_delays(&self) {
        let (ledger, has_stopped) = (self.ledger.clone(), self.has_stopped.clone());
        thread::spawn(move || {
            while !has_stopped.load(Ordering::SeqCst) {
                let before = ledger.now();
                thread::sleep(TICK);
                let after = ledger.now();
                if after - before > TICK.as_micros() as i64 + TEST_DELAY_THRESHOLD_US {
                    ledger.records().test_delay_spans.push((before, after));
                }
            }
        });
    }

    /// Begins and ends the faults of a plan until the run is over.
    ///
    /// # Errors
    /// If a process cannot be controlled.
    pub fn run_faults(&mut self, plan: &Plan, duration: Duration) -> Result<()> {
        let start = self.ledger.now();
        let mut planned = plan.faults.iter().peekable();
        while self.ledger.now() - start < duration.as_micros() as i64 {
            let now = self.ledger.now();
            while let Some(fault) = planned.next_if(|fault| start + fault.from <= now) {
                self.begin(fault)?;
            }
            let has_ended = |fault: &ActiveFault| start + fault.planned.until <= now;
            let (ended, active) = std::mem::take(&mut self.active)
                .into_iter()
                .partition(has_ended);
            self.active = active;
            self.end_all(ended)?;
            self.run_due_steps(now)?;
            self.run_due_reloads(now)?;
            let list = self.name_service.list();
            for controller in &mut self.controllers {
                if controller.supervise(&list)? {
                    self.name_service.record_initial_list(controller.index);
                }
            }
            thread::sleep(TICK);
        }
        let ended = std::mem::take(&mut self.active);
        self.end_all(ended)
    }

    /// Stops everything and returns the records.
    ///
    /// # Errors
    /// If a process cannot be waited for, or a log cannot be read.
    pub fn stop(mut self) -> Result<Records> {
        self.has_stopped.store(true, Ordering::SeqCst);
        for client in self.clients.drain(..) {
            anyhow::ensure!(client.join().is_ok(), "a client of this test panicked");
        }
        for controller in &mut self.controllers {
            controller.stop()?;
        }
        let mut alarms = Vec::new();
        for controller in &self.controllers {
            let path = log_file(&self.log_dir, controller.index);
            let log = std::fs::read_to_string(&path)
                .with_context(|| format!("cannot read {}", path.display()))?;
            let lines = log
                .lines()
                .filter(|line| ALARM_TEXTS.iter().any(|alarm| line.contains(alarm)));
            alarms.extend(lines.map(|line| (controller.index, line.to_string())));
        }
        let mut records = self.ledger.records();
        records.has_idle_clients = self.has_idle_clients;
        records.alarms = alarms;
        Ok(std::mem::take(&mut *records))
    }
}
