//! The processes of a day: emulated engines with their registry, and controllers. They are started, faults are injected into them, and
//! they are ended by their ids.

use crate::controller_addresses::ControllerAddresses;
use crate::day::Day;
use crate::fleet::relay::{Relay, RelayCounters};
use crate::lists::EndpointFile;
use crate::loopback_address;
use crate::plan::{ClusterAction, Plan};
use crate::processes::{program, Process, BUILD_COMMAND};
use anyhow::{bail, ensure, Context, Result};
use rustix::process::Signal;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};
use wheelfield::interface::Status;
use wheelfield_fault_shim::{Call, FaultControl, CALL_FAULTS};
use wheelfield_invariants::ProcessLifetime;
use wheelfield_net::{http, retry_interrupted, Clock};
use wheelfield_network_faults::FaultSchedule;

/// Time within which processes that are asked to end have ended. They are killed after that.
const END_TIMEOUT: Duration = Duration::from_secs(40);
/// Time within which the emulated engines must answer a command.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of a controller's status page, in bytes.
const MAX_STATUS_BYTES: usize = 8 << 20;

/// Change of a controller that clients must know of.
#[derive(Clone, Debug, PartialEq)]
pub enum ControllerChange {
    /// The controller with this number accepts clients at an address.
    Started(usize, SocketAddr),
    /// The controller with this number has ended.
    Ended(usize),
}

/// The processes of a day.
#[derive(Debug)]
pub struct Cluster {
    day: Day,
    options: ClusterOptions,
    clock: Clock,
    engines: Process,
    /// Address of the control server of the emulated engines.
    control: SocketAddr,
    registry: SocketAddr,
    controllers: Vec<Option<Process>>,
    controller_addresses: ControllerAddresses,
    /// Forwards the gossip, if its script has faults of the network.
    relay: Option<Relay>,
    /// Faults of the operating system in the controllers, if the plan has any.
    system_faults: Arc<Vec<FaultControl>>,
    /// The engines as a file that controllers watch, if the script says so.
    pub endpoint_file: Option<EndpointFile>,
    /// The lifetimes of all controllers.
    pub lifetimes: Vec<ProcessLifetime>,
    /// Processor seconds of controllers that have ended.
    pub ended_cpu_s: f64,
}

/// Options of a cluster.
#[derive(Clone, Debug, Default)]
pub struct ClusterOptions {
    /// Directory for configurations and logs.
    pub dir: PathBuf,
    /// Seed of the programs' own random numbers.
    pub seed: u64,
    /// A fault planted in the controllers.
    pub plant: Option<String>,
    /// What controllers log.
    pub log_level: String,
    /// Controllers from this number on record the inputs and outputs of their drivers; `None` if none does.
    pub capture: Option<usize>,
    /// Directory of the programs; `None` for that of the running program.
    pub programs: Option<PathBuf>,
    /// Directory of a controller of another build, which every second controller runs.
    pub beside: Option<PathBuf>,
    /// Listening address of the first controller; `None` for any port.
    pub listen: Option<SocketAddr>,
}

/// Begins or ends a fault of the operating system. Other actions are not carried out. This does not wait for a controller that starts,
/// as its start may wait for the end of such a fault.
///
/// # Errors
/// If a control file cannot be written.
pub fn apply_system_fault(action: &ClusterAction, faults: &[FaultControl]) -> Result<()> {
    match action {
        ClusterAction::BeginSystemFault(controller, fault) => fault.begin(&faults[*controller])?,
        ClusterAction::EndSystemFault(controller, fault) => fault.end(&faults[*controller])?,
        _ => {}
    }
    Ok(())
}

impl Cluster {
    /// Starts the emulated engines and the controllers of a day.
    ///
    /// # Errors
    /// If a process does not start.
    pub fn start(day: &Day, plan: &Plan, options: ClusterOptions, clock: Clock) -> Result<Cluster> {
        let ip = loopback_address::unused();
        let engines = start_engines(day, plan, &options, ip)?;
        let (control, registry) = (engines.address("control")?, engines.address("registry")?);
        let is_relayed = day.registry.gossip && !day.roads.is_empty();
        let relay = is_relayed.then(|| Relay::start(day.controllers, options.seed, clock)).transpose()?;
        let controller_addresses = ControllerAddresses::reserve(day, ip, relay.as_ref())?;
        if day.registry.gossip {
            std::fs::write(options.dir.join("keys"), format!("1 {:064x}\n", options.seed))?;
        }
        let endpoint_file = match day.registry.files {
            true => Some(create_endpoint_file(day, plan, &options, &engines)?),
            false => None,
        };
        let mut cluster = Cluster {
            day: day.clone(),
            options,
            clock,
            engines,
            control,
            registry,
            controllers: (0..day.controllers).map(|_| None).collect(),
            controller_addresses,
            relay,
            system_faults: Arc::new(create_fault_controls(day, plan)?),
            endpoint_file,
            lifetimes: Vec::new(),
            ended_cpu_s: 0.0,
        };
        for controller in 0..day.controllers {
            cluster.start_controller(controller)?;
        }
        Ok(cluster)
    }

    fn start_controller(&mut self, controller: usize) -> Result<()> {
        let incarnation = self.lifetimes.iter().filter(|l| l.controller == controller).count() as u64;
        let config = self.options.dir.join(format!("controller-{controller}.toml"));
        std::fs::write(&config, self.controller_config(controller, incarnation))?;
        self.controller_addresses.release(controller);
        let args = self.controller_arguments(controller, incarnation, &config);
        let log = self.options.dir.join(format!("controller-{controller}.jsonl"));
        let other_build = self.options.beside.as_deref().filter(|_| controller % 2 == 1);
        let program = program("wheelfield-controller", other_build.or(self.options.programs.as_deref()))?;
        let faults = self.system_faults.get(controller);
        let process = Process::start_with_faults(&program, &args, Some(&log), faults).with_context(|| {
            match self.options.plant {
                Some(_) => {
                    format!("{} must be built with fault injection: {BUILD_COMMAND}", program.display())
                }
                None => format!("cannot start controller {controller}"),
            }
        })?;
        if let Some(relay) = &self.relay {
            relay.set_listen_address(controller, process.address("gossip")?)?;
        }
        self.lifetimes.push(ProcessLifetime {
            controller,
            started_at: self.clock.now(),
            ended_at: None,
            stalls: Vec::new(),
            begins_mid_run: false,
        });
        self.controllers[controller] = Some(process);
        Ok(())
    }

    /// Returns the configuration of a controller. Each of its processes, counted by `incarnation`, has a capture of its own.
    fn controller_config(&self, controller: usize, incarnation: u64) -> String {
        let ControllerAddresses { peers, gossip, .. } = &self.controller_addresses;
        let peer = peers.get(controller).map_or("127.0.0.1:0", String::as_str);
        let mut text = self.day.controller(controller, &self.registry.to_string(), peer, peers);
        if let Some(endpoint_file) = &self.endpoint_file {
            let last_good = self.options.dir.join(format!("last-{controller}.toml"));
            if incarnation == 0 {
                // An earlier run in this directory may have left one.
                let _ = std::fs::remove_file(&last_good);
            }
            let (last_good, file) = (path(&last_good), path(endpoint_file.path()));
            text.push_str(&format!(
                "[members]\nfiles = [{file:?}]\nlast_good = {last_good:?}\nsettle = \"20ms\"\npoll = \"1s\"\n"
            ));
        }
        if let Some(own) = gossip.get(controller) {
            let (seeds, keys) = (&gossip[..gossip.len().min(3)], path(&self.options.dir.join("keys")));
            let (listen, advertise) = match &self.relay {
                Some(_) => ("127.0.0.1:0", Some(own.as_str())),
                None => (own.as_str(), None),
            };
            text.push_str(&self.day.gossip(listen, advertise, seeds, &keys));
        }
        if self.options.capture.is_some_and(|first| controller >= first) {
            let name = match incarnation {
                0 => format!("controller-{controller}.wfcap"),
                _ => format!("controller-{controller}-{incarnation}.wfcap"),
            };
            text.push_str(&format!("[capture]\nfile = {:?}\n", path(&self.options.dir.join(name))));
        }
        text
    }

    fn controller_arguments(&self, controller: usize, incarnation: u64, config: &Path) -> Vec<String> {
        let seed =
            self.options.seed.wrapping_mul(1_000_003).wrapping_add(controller as u64 * 1_009 + incarnation);
        let mut args: Vec<String> = [
            "--config",
            &path(config),
            "--seed",
            &seed.to_string(),
            "--log-format",
            "json",
            "--log",
            &self.options.log_level,
        ]
        .map(str::to_string)
        .to_vec();
        if let Some(listen) = self.options.listen.filter(|_| controller == 0) {
            args.extend(["--listen".to_string(), listen.to_string()]);
        }
        if let Some(plant) = &self.options.plant {
            args.extend(["--plant".to_string(), plant.clone()]);
        }
        args
    }

    /// Returns the addresses at which controllers reach each other, if a relay forwards their gossip.
    pub fn relay_addresses(&self) -> Option<&[SocketAddr]> {
        self.relay.as_ref().map(|r| r.addresses.as_slice())
    }

    /// Applies these faults of the network between controllers from now on, in times of the clock.
    ///
    /// # Errors
    /// If the relay's thread has failed.
    pub fn start_network_faults(&self, schedule: FaultSchedule) -> Result<()> {
        self.relay.as_ref().map_or(Ok(()), |r| r.start_faults(schedule))
    }

    /// Stops the relay and returns its counters.
    ///
    /// # Errors
    /// If its thread has failed.
    pub fn stop_relay(&mut self) -> Result<Option<RelayCounters>> {
        self.relay.take().map(Relay::stop).transpose()
    }

    /// Returns the numbers of the controllers that run.
    pub fn running_controllers(&self) -> Vec<usize> {
        (0..self.controllers.len()).filter(|c| self.controllers[*c].is_some()).collect()
    }

    /// Returns the controllers that run, with their addresses for clients.
    pub fn started_controllers(&self) -> Vec<ControllerChange> {
        let started = |(controller, process): (usize, &Option<Process>)| {
            let address = process.as_ref()?.address("listen").ok()?;
            Some(ControllerChange::Started(controller, address))
        };
        self.controllers.iter().enumerate().filter_map(started).collect()
    }

    /// Returns the addresses of the emulated engines.
    pub fn engine_addresses(&self) -> Vec<String> {
        let all = self.engines.addresses["engines"].as_array().cloned().unwrap_or_default();
        all.iter().filter_map(|e| e["address"].as_str().map(str::to_string)).collect()
    }

    /// Returns the processor seconds and the memory of a controller, in bytes.
    pub fn usage(&self, controller: usize) -> Option<(f64, u64)> {
        self.controllers.get(controller)?.as_ref()?.usage()
    }

    /// The controls of the faults of the operating system, one for each controller if the plan has any.
    pub fn system_faults(&self) -> Arc<Vec<FaultControl>> {
        self.system_faults.clone()
    }

    /// The number of system calls of all controllers that failed by a fault of the plan.
    ///
    /// # Errors
    /// If a control file cannot be read.
    pub fn failed_calls(&self) -> Result<u64> {
        let mut calls: Vec<Call> = CALL_FAULTS.iter().map(|fault| fault.call).collect();
        calls.dedup();
        let mut failed = 0;
        for control in self.system_faults.iter() {
            for call in &calls {
                failed += control.injected_count(*call)?;
            }
        }
        Ok(failed)
    }

    /// Returns the status page of a controller.
    pub fn status(&self, controller: usize) -> Option<serde_json::Value> {
        let admin = self.controllers.get(controller)?.as_ref()?.address("admin").ok()?;
        let page = http::get(admin, "/status", Duration::from_secs(5), MAX_STATUS_BYTES).ok()?;
        serde_json::from_slice(&page.body).ok()
    }

    /// Returns a figure of a controller's status page.
    pub fn figure(&self, controller: usize, name: &str) -> Option<u64> {
        self.status(controller)?["figures"][name].as_u64()
    }

    /// Carries out an action and returns the changes that clients must know of.
    ///
    /// # Errors
    /// If the emulated engines reject a command, or a controller does not start.
    pub fn apply(&mut self, action: &ClusterAction) -> Result<Vec<ControllerChange>> {
        match action {
            ClusterAction::Fault { engine, kind, value } => {
                self.send_command(&format!("/fault?engine=engine-{engine:02}&kind={kind}&value={value}"))?;
                let now = self.clock.now();
                if let Some(file) = &mut self.endpoint_file {
                    match *kind {
                        "drain" if *value > 0.0 => file.change(*engine, Status::Draining, None, now)?,
                        "drain" => file.change(*engine, Status::Up, None, now)?,
                        "start" => file.change(*engine, Status::Up, Some(now), now)?,
                        _ => {}
                    }
                }
            }
            ClusterAction::RegistryDown(ms) => {
                self.send_command(&format!("/registry?unavailable_ms={ms}"))?
            }
            ClusterAction::RegistryStale(ms) => self.send_command(&format!("/registry?stale_ms={ms}"))?,
            ClusterAction::KillController(i) => {
                if let Some(process) = self.controllers[*i].take() {
                    self.ended_cpu_s += process.usage().map_or(0.0, |(cpu, _)| cpu);
                    let now = self.clock.now();
                    drop(process);
                    if let Some(lifetime) = self.lifetimes.iter_mut().rev().find(|l| l.controller == *i) {
                        lifetime.ended_at = Some(now);
                    }
                    return Ok(vec![ControllerChange::Ended(*i)]);
                }
            }
            ClusterAction::StartController(i) => {
                if self.controllers[*i].is_none() {
                    self.start_controller(*i)?;
                    return Ok(self
                        .started_controllers()
                        .into_iter()
                        .filter(|c| matches!(c, ControllerChange::Started(n, _) if n == i))
                        .collect());
                }
            }
            // Carried out by `apply_system_fault`.
            ClusterAction::BeginSystemFault(..) | ClusterAction::EndSystemFault(..) => {}
            ClusterAction::StallController(i) | ClusterAction::ResumeController(i) => {
                let stall = matches!(action, ClusterAction::StallController(_));
                if let Some(process) = &self.controllers[*i] {
                    process.signal(if stall { Signal::STOP } else { Signal::CONT });
                    let now = self.clock.now();
                    if let Some(lifetime) = self.lifetimes.iter_mut().rev().find(|l| l.controller == *i) {
                        match lifetime.stalls.last_mut() {
                            Some(last) if !stall => last.1 = now,
                            _ if stall => lifetime.stalls.push((now, i64::MAX)),
                            _ => {}
                        }
                    }
                }
            }
        }
        Ok(Vec::new())
    }

    /// Sends a command to the control server of the emulated engines.
    fn send_command(&self, path: &str) -> Result<()> {
        let mut stream = TcpStream::connect_timeout(&self.control, Duration::from_secs(5))?;
        write!(stream, "POST {path} HTTP/1.1\r\ncontent-length: 0\r\n\r\n")?;
        let mut answer = [0; 512];
        let n = retry_interrupted(Instant::now() + CONTROL_TIMEOUT, |remaining| {
            stream.set_read_timeout(Some(remaining))?;
            stream.read(&mut answer)
        })?;
        let answer = String::from_utf8_lossy(&answer[..n]);
        ensure!(answer.starts_with("HTTP/1.1 200"), "the emulated engines reject {path}: {answer}");
        Ok(())
    }

    /// Ends all processes: first the controllers, which answer the queries that they have accepted, then the emulated engines, whose log is
    /// complete then.
    ///
    /// # Errors
    /// If a controller does not exit with 0.
    pub fn end(&mut self) -> Result<()> {
        let mut error = None;
        for process in self.controllers.iter().flatten() {
            process.signal(Signal::CONT);
            process.signal(Signal::TERM);
        }
        for (i, slot) in self.controllers.iter_mut().enumerate() {
            if let Some(mut process) = slot.take() {
                self.ended_cpu_s += process.usage().map_or(0.0, |(cpu, _)| cpu);
                match process.end(END_TIMEOUT) {
                    Some(0) => {}
                    code => error = error.or(Some(format!("controller {i} ended with {code:?}"))),
                }
            }
        }
        self.engines.end(END_TIMEOUT);
        match error {
            Some(error) => bail!(error),
            None => Ok(()),
        }
    }
}

fn path(path: &Path) -> String {
    path.display().to_string()
}

/// Starts the emulated engines with their registry.
fn start_engines(day: &Day, plan: &Plan, options: &ClusterOptions, ip: Ipv4Addr) -> Result<Process> {
    let config = options.dir.join("engines.toml");
    std::fs::write(&config, day.stand_ins(&day.settings()?, &plan.engines))?;
    let args = [
        "--config",
        &path(&config),
        "--log",
        &path(&options.dir.join("engines.jsonl")),
        "--seed",
        &options.seed.to_string(),
        "--ip",
        &ip.to_string(),
    ]
    .map(str::to_string);
    let program = program("wheelfield-engine", options.programs.as_deref())?;
    Process::start(&program, &args, Some(&options.dir.join("engines.err")))
}

/// Creates the endpoint file with the zone, kind and cell of each engine.
fn create_endpoint_file(
    day: &Day,
    plan: &Plan,
    options: &ClusterOptions,
    engines: &Process,
) -> Result<EndpointFile> {
    let place = |(engine, (kind, _)): (usize, &(usize, f64))| {
        let cell = engine / day.fleet.cell.max(1);
        (day.zone(engine).to_string(), day.fleet.kinds[*kind].name.clone(), cell as i64)
    };
    let places: Vec<_> = plan.engines.iter().enumerate().map(place).collect();
    EndpointFile::create(&options.dir, &engines.addresses["engines"], &places, day.controllers)
}

/// Creates the controls of the faults of the operating system, one for each controller if the plan has any.
fn create_fault_controls(day: &Day, plan: &Plan) -> std::io::Result<Vec<FaultControl>> {
    let is_system_fault =
        |(_, action): &(i64, ClusterAction)| matches!(action, ClusterAction::BeginSystemFault(..));
    let count = if plan.actions.iter().any(is_system_fault) { day.controllers } else { 0 };
    (0..count).map(|_| FaultControl::new()).collect()
}
