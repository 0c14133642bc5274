//! Everything that runs: controllers, proxies, clients, executors and the name service; and the faults as they begin and end.

mod executors;

use crate::client::{Client, ClientSetup};
use crate::controller::{free_address, log_file, Controller, ControllerSetup};
use crate::crowd;
use crate::executor::Executor;
use crate::ledger::{FaultRecord, Ledger, Records};
use crate::name_service::{NameService, ADDRESSES};
use crate::plan::{Deployment, Fault, Plan, PlannedFault, SignalSeries};
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

/// Time between two configurations of a series, in microseconds.
const RELOAD_INTERVAL_US: i64 = 100_000;
/// How often the run looks what is due.
const TICK: Duration = Duration::from_millis(5);
/// A sleep that takes this much longer than asked means that this test is late, in microseconds.
const LATE_US: i64 = 60_000;
/// How long the controllers may take to be ready at first.
const READY_TIMEOUT_US: i64 = 20_000_000;
/// Lines of a controller's log that tell of something that must not happen.
const ALARMS: [&str; 2] = ["invariant violated", "panicked"];

/// A fault that is in force.
struct ActiveFault {
    planned: PlannedFault,
    executor: Option<usize>,
    from: i64,
}

/// All that runs.
pub struct Cluster {
    ledger: Ledger,
    name_service: NameService,
    controllers: Vec<Controller>,
    proxies: Vec<Proxy>,
    executors: BTreeMap<usize, Executor>,
    executors_started: usize,
    steps: BTreeMap<i64, Vec<ExecutorStep>>,
    /// Controllers whose configuration is read again at a time.
    reloads: BTreeMap<i64, Vec<usize>>,
    active: Vec<ActiveFault>,
    clients: Vec<JoinHandle<()>>,
    has_stopped: Arc<AtomicBool>,
    is_crowded: bool,
    logs: PathBuf,
}

impl Cluster {
    /// Starts everything; all controllers are ready then.
    ///
    /// # Errors
    /// If something cannot be started.
    pub fn start(options: &SoakOptions, deployment: &Deployment) -> Result<Cluster> {
        let ledger = Ledger::new(options.controllers);
        let addresses: Vec<SocketAddr> = (0..options.controllers)
            .map(free_address)
            .collect::<Result<_>>()?;
        let ips: Vec<_> = addresses.iter().map(SocketAddr::ip).collect();
        let name_service = NameService::start(&ips, ledger.clone())?;
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
            is_crowded: deployment.crowd > 0,
            logs: options.logs.clone(),
        };
        for _ in 0..options.executors {
            cluster.start_executor("127.0.0.1:0".parse()?, 0)?;
        }
        cluster.start_controllers(options, deployment, &addresses)?;
        cluster.watch_lateness();
        cluster.start_clients(options, deployment)?;
        cluster.start_crowds(deployment, &addresses);
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
            longest_timeout_us: deployment.longest_timeout_us,
            program: options.program.clone(),
            plant: options.plant.clone(),
            folder: options.logs.clone(),
        };
        let resolvers = self.name_service.addresses.clone();
        for (index, address) in addresses.iter().enumerate() {
            let _ = std::fs::remove_file(log_file(&options.logs, index));
            let resolver = resolvers[index % resolvers.len()];
            let mut controller =
                Controller::new(&setup, index, *address, resolver, self.ledger.clone())?;
            controller.start(&self.name_service.list())?;
            self.name_service.record_known(index);
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

    fn start_crowds(&self, deployment: &Deployment, addresses: &[SocketAddr]) {
        let crowd = deployment.crowd;
        for address in addresses.iter().copied().filter(|_| crowd > 0) {
            let has_stopped = self.has_stopped.clone();
            thread::spawn(move || crowd::keep_coming(address, crowd, &has_stopped));
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
                longest_timeout_us: deployment.longest_timeout_us,
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

    /// Notes when this test itself is late.
    fn watch_lateness(&self) {
        let (ledger, has_stopped) = (self.ledger.clone(), self.has_stopped.clone());
        thread::spawn(move || {
            while !has_stopped.load(Ordering::SeqCst) {
                let before = ledger.now();
                thread::sleep(TICK);
                let after = ledger.now();
                if after - before > TICK.as_micros() as i64 + LATE_US {
                    ledger.records().late_spans.push((before, after));
                }
            }
        });
    }

    /// Has all faults of a plan begin and end, until the run is over.
    ///
    /// # Errors
    /// If a process cannot be controlled.
    pub fn play(&mut self, plan: &Plan, length: Duration) -> Result<()> {
        let start = self.ledger.now();
        let mut planned = plan.faults.iter().peekable();
        while self.ledger.now() - start < length.as_micros() as i64 {
            let now = self.ledger.now();
            while let Some(fault) = planned.next_if(|fault| start + fault.from <= now) {
                self.begin(fault)?;
            }
            let is_over = |fault: &ActiveFault| start + fault.planned.until <= now;
            let (ended, active) = std::mem::take(&mut self.active)
                .into_iter()
                .partition(is_over);
            self.active = active;
            self.end_all(ended)?;
            self.take_steps(now)?;
            self.take_reloads(now)?;
            let list = self.name_service.list();
            for controller in &mut self.controllers {
                if controller.look(&list)? {
                    self.name_service.record_known(controller.index);
                }
            }
            thread::sleep(TICK);
        }
        let ended = std::mem::take(&mut self.active);
        self.end_all(ended)
    }

    /// Ends everything, and returns what was seen.
    ///
    /// # Errors
    /// If a process cannot be waited for, or a log not read.
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
            let path = log_file(&self.logs, controller.index);
            let log = std::fs::read_to_string(&path)
                .with_context(|| format!("cannot read {}", path.display()))?;
            let lines = log
                .lines()
                .filter(|line| ALARMS.iter().any(|alarm| line.contains(alarm)));
            alarms.extend(lines.map(|line| (controller.index, line.to_string())));
        }
        let mut records = self.ledger.records();
        records.is_crowded = self.is_crowded;
        records.alarms = alarms;
        Ok(std::mem::take(&mut *records))
    }

    fn begin(&mut self, planned: &PlannedFault) -> Result<()> {
        let executor = self.pick_executor(planned.executor);
        let mut planned = planned.clone();
        if planned.fault.concerns_controllers() {
            self.begin_at_controllers(&mut planned)?;
        } else {
            planned.controllers.clear();
            self.begin_elsewhere(&planned.fault, executor)?;
        }
        let from = self.ledger.now();
        self.active.push(ActiveFault {
            planned,
            executor,
            from,
        });
        Ok(())
    }

    /// Begins a fault at its controllers; those that it cannot begin at are taken off it.
    fn begin_at_controllers(&mut self, planned: &mut PlannedFault) -> Result<()> {
        let list = self.name_service.list();
        let now = self.ledger.now();
        let mut concerned = Vec::new();
        for index in planned.controllers.drain(..) {
            let (controller, proxy) = (&mut self.controllers[index], &self.proxies[index]);
            if needs_serving(&planned.fault) && !controller.is_serving() {
                continue;
            }
            match &planned.fault {
                Fault::Call {
                    call,
                    errno,
                    per_mille,
                } => controller.faults.fail(*call, *errno, *per_mille)?,
                Fault::ShortTransfers(bytes) => {
                    controller
                        .faults
                        .limit_transfers(Some(*bytes), Some(*bytes))?;
                }
                Fault::WallClock(seconds) => step_wall_clock(controller, *seconds)?,
                Fault::Suspend => controller.suspend()?,
                Fault::Terminate => controller.terminate()?,
                Fault::Kill => controller.kill()?,
                Fault::Reload(behind_ms) => {
                    let address = (index + self.active.len()) % ADDRESSES;
                    let behind = Duration::from_millis(*behind_ms);
                    self.name_service.fall_behind(address, [index], behind);
                    controller.reload(&list, self.name_service.addresses[address])?;
                }
                Fault::Signals(series) => {
                    let reloads = send_signals(*series, controller, &self.name_service)?;
                    for n in 1..=reloads {
                        let at = now + i64::from(n) * RELOAD_INTERVAL_US;
                        self.reloads.entry(at).or_default().push(index);
                    }
                }
                Fault::ProxyDelay(ms) => proxy.faults().delay_ms.store(*ms, Ordering::SeqCst),
                Fault::ProxySplit => proxy.faults().splits.store(true, Ordering::SeqCst),
                Fault::ProxyWithhold => proxy.faults().withholds.store(true, Ordering::SeqCst),
                Fault::ProxyReset => proxy.reset_connections(),
                _ => {}
            }
            concerned.push(index);
        }
        planned.controllers = concerned;
        Ok(())
    }

    /// Has the configurations read again that are due, each with the next address of the name service.
    fn take_reloads(&mut self, now: i64) -> Result<()> {
        while let Some(entry) = self
            .reloads
            .first_entry()
            .filter(|entry| *entry.key() <= now)
        {
            let (at, controllers) = entry.remove_entry();
            for index in controllers {
                let address = (index + (at / RELOAD_INTERVAL_US) as usize) % ADDRESSES;
                let resolver = self.name_service.addresses[address];
                self.controllers[index].reload(&self.name_service.list(), resolver)?;
            }
        }
        Ok(())
    }

    fn begin_elsewhere(&mut self, fault: &Fault, executor: Option<usize>) -> Result<()> {
        match fault {
            Fault::NameServiceSilent => self.name_service.set_silent(true),
            Fault::NameServiceSlow(ms) => self.name_service.set_delay(*ms),
            Fault::NameServiceLossy(per_mille) => self.name_service.set_loss(*per_mille),
            Fault::NameServiceBehind(address, ms) => {
                let behind = Duration::from_millis(*ms);
                self.name_service
                    .fall_behind(*address, 0..self.controllers.len(), behind);
            }
            Fault::ExecutorDrain | Fault::ExecutorUnlist | Fault::ExecutorCrash => {
                self.begin_absence(fault, executor)
            }
            _ => {
                let executor = executor.and_then(|number| self.executors.get(&number));
                if let Some(executor) = executor {
                    misbehave(fault, executor);
                }
            }
        }
        Ok(())
    }

    fn end_all(&mut self, ended: Vec<ActiveFault>) -> Result<()> {
        for fault in ended {
            self.end(&fault)?;
            let ActiveFault {
                planned,
                executor,
                from,
            } = fault;
            let mut what = format!("{:?}", planned.fault);
            if let Some(executor) = executor.filter(|_| !planned.fault.concerns_controllers()) {
                what.push_str(&format!(" of executor {executor}"));
            }
            let until = self.ledger.now();
            self.ledger.records().faults.push(FaultRecord {
                client_delay_us: planned.fault.client_delay_us(until - from),
                holds_up_answers: planned.fault.holds_up_answers(),
                telling: planned.fault.telling(),
                controllers: planned.controllers,
                what,
                from,
                until,
            });
        }
        Ok(())
    }

    fn end(&mut self, fault: &ActiveFault) -> Result<()> {
        for index in &fault.planned.controllers {
            let (controller, proxy) = (&mut self.controllers[*index], &self.proxies[*index]);
            match &fault.planned.fault {
                Fault::Call { call, .. } => controller.faults.succeed(*call)?,
                Fault::ShortTransfers(_) => controller.faults.limit_transfers(None, None)?,
                Fault::WallClock(_) => step_wall_clock(controller, 0)?,
                Fault::Suspend | Fault::Signals(_) => controller.resume()?,
                Fault::ProxyDelay(_) => proxy.faults().delay_ms.store(0, Ordering::SeqCst),
                Fault::ProxySplit => proxy.faults().splits.store(false, Ordering::SeqCst),
                Fault::ProxyWithhold => proxy.faults().withholds.store(false, Ordering::SeqCst),
                _ => {}
            }
        }
        let executor = fault
            .executor
            .and_then(|number| self.executors.get(&number));
        match (&fault.planned.fault, executor) {
            (Fault::NameServiceSilent, _) => self.name_service.set_silent(false),
            (Fault::NameServiceSlow(_), _) => self.name_service.set_delay(0),
            (Fault::NameServiceLossy(_), _) => self.name_service.set_loss(0),
            (_, Some(executor)) => behave(&fault.planned.fault, executor),
            (_, None) => {}
        }
        Ok(())
    }
}

/// Whether a fault begins only at controllers that serve.
fn needs_serving(fault: &Fault) -> bool {
    matches!(
        fault,
        Fault::Suspend | Fault::Terminate | Fault::Kill | Fault::Signals(_)
    )
}

/// Sends the signals of a series at once; how many further configurations follow.
fn send_signals(
    series: SignalSeries,
    controller: &mut Controller,
    names: &NameService,
) -> Result<u32> {
    let resolver = names.addresses[(controller.index + 1) % ADDRESSES];
    let list = names.list();
    match series {
        SignalSeries::ReloadSuspend => {
            controller.reload(&list, resolver)?;
            controller.suspend()?;
        }
        SignalSeries::TerminateSuspend => {
            controller.terminate()?;
            controller.suspend()?;
        }
        SignalSeries::SuspendTerminate => {
            controller.suspend()?;
            controller.terminate()?;
        }
        SignalSeries::ReloadTerminate => {
            controller.reload(&list, resolver)?;
            controller.terminate()?;
        }
        SignalSeries::TerminateReloadTerminate => {
            controller.terminate()?;
            controller.reload(&list, resolver)?;
            controller.terminate()?;
        }
        SignalSeries::Reloads(count) => return Ok(count),
    }
    Ok(0)
}

fn step_wall_clock(controller: &Controller, seconds: i64) -> Result<()> {
    let by = Duration::from_secs(seconds.unsigned_abs());
    if seconds < 0 {
        controller.faults.put_wall_clock_behind(by)?;
    } else {
        controller.faults.put_wall_clock_ahead(by)?;
    }
    Ok(())
}

fn misbehave(fault: &Fault, executor: &Executor) {
    let behaviour = executor.behaviour();
    match fault {
        Fault::ExecutorHang => behaviour.hangs.store(true, Ordering::SeqCst),
        Fault::ExecutorFull => behaviour.is_full.store(true, Ordering::SeqCst),
        Fault::ExecutorFail => behaviour.fails.store(true, Ordering::SeqCst),
        Fault::ExecutorReset => executor.reset_connections(),
        Fault::ExecutorCloseIdle => executor.close_idle(),
        Fault::ExecutorForget => executor.forget_connections(),
        _ => {}
    }
}

fn behave(fault: &Fault, executor: &Executor) {
    let behaviour = executor.behaviour();
    match fault {
        Fault::ExecutorHang => behaviour.hangs.store(false, Ordering::SeqCst),
        Fault::ExecutorFull => behaviour.is_full.store(false, Ordering::SeqCst),
        Fault::ExecutorFail => behaviour.fails.store(false, Ordering::SeqCst),
        _ => {}
    }
}
