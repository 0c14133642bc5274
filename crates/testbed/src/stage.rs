//! The processes of a day: stand-ins, controllers; started, hurt and ended by their ids.

use crate::day::Day;
use crate::fleet::relay::{Relay, RelayCounters};
use crate::lists::EndpointFile;
use crate::loopback_address;
use crate::plan::{Plan, StageAction};
use anyhow::{bail, ensure, Context, Result};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};
use wheelfield::interface::Status;
use wheelfield_child_process::Unshared;
use wheelfield_fault_shim::{Call, FaultControl, CALL_FAULTS};
use wheelfield_invariants::ProcessLifetime;
use wheelfield_net::{http, retry_interrupted, Clock};
use wheelfield_network_faults::FaultSchedule;

/// A process must tell where it listens within this.
const STARTS_WITHIN: Duration = Duration::from_secs(20);
/// Time within which a process that has closed its standard output ends.
const EXIT_TIMEOUT: Duration = Duration::from_secs(2);
/// The processes that exist are asked to end, and killed after this.
const ENDS_WITHIN: Duration = Duration::from_secs(40);
/// The emulated engines must answer a command within this.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes of a controller's status at most.
const LONGEST_STATUS: usize = 8 << 20;

/// Builds all programs as tests need them, with fault injection. A build of some packages leaves it out.
const BUILD_COMMAND: &str = "cargo test --workspace --no-run";

/// A program that stands beside this one.
///
/// # Errors
/// If it does not.
pub fn program(name: &str, dir: Option<&Path>) -> Result<PathBuf> {
    if let Some(dir) = dir {
        let path = dir.join(name);
        return path.is_file().then_some(path).with_context(|| format!("no {name} in {}", dir.display()));
    }
    let own = std::env::current_exe()?;
    // Tests run from a folder below that of the programs.
    let found = own.ancestors().skip(1).take(2).map(|dir| dir.join(name)).find(|path| path.is_file());
    found.with_context(|| format!("{name} does not stand beside {}; run `{BUILD_COMMAND}`", own.display()))
}

/// Number of lines of a log that an error shows.
const SHOWN_LOG_LINES: usize = 20;

/// The last lines of a log.
fn last_lines(path: &Path) -> String {
    let log = std::fs::read_to_string(path).unwrap_or_default();
    let lines: Vec<&str> = log.lines().collect();
    lines[lines.len().saturating_sub(SHOWN_LOG_LINES)..].join("\n")
}

/// A child process that is killed when it is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// What it told on its first line.
    pub told: Value,
}

impl Process {
    /// Starts a program and waits for its first line.
    ///
    /// # Errors
    /// If it does not start, or tells nothing in time.
    pub fn start(program: &Path, args: &[String], log: Option<&Path>) -> Result<Process> {
        Process::start_with_faults(program, args, log, None)
    }

    /// The same, with faults of the operating system.
    ///
    /// # Errors
    /// As [`Process::start`].
    pub fn start_with_faults(
        program: &Path,
        args: &[String],
        log: Option<&Path>,
        faults: Option<&FaultControl>,
    ) -> Result<Process> {
        let stderr = match log {
            Some(path) => Stdio::from(std::fs::OpenOptions::new().create(true).append(true).open(path)?),
            None => Stdio::null(),
        };
        let mut command = Command::new(program);
        command.args(args).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(stderr);
        command.envs(faults.into_iter().flat_map(FaultControl::environment));
        let mut child = wheelfield_child_process::start(&mut command)
            .with_context(|| format!("cannot start {}", program.display()))?;
        let stdout = child.stdout.take().context("no standard output")?;
        let (sender, receiver) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            let mut line = String::new();
            let read = BufReader::new(stdout).read_line(&mut line);
            let _ = sender.send(read.map(|_| line));
        });
        let line = receiver.recv_timeout(STARTS_WITHIN);
        let mut process = Process { child, told: Value::Null };
        let line = line.with_context(|| format!("{} told nothing in time", program.display()))??;
        process.told = serde_json::from_str(&line).with_context(|| {
            let log = log.map_or_else(String::new, last_lines);
            let state = process.final_state();
            format!(
                "{} printed no addresses but {line:?}, {state}; the end of its log:\n{log}",
                program.display()
            )
        })?;
        Ok(process)
    }

    /// How the process ended, or that it has not.
    fn final_state(&mut self) -> String {
        let until = Instant::now() + EXIT_TIMEOUT;
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                return format!("and ended with {status}");
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        "and still runs".to_string()
    }

    fn address(&self, name: &str) -> Result<SocketAddr> {
        let told = self.told[name].as_str().with_context(|| format!("no address `{name}` was told"))?;
        Ok(told.parse()?)
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Asks it to end, and waits; its exit code, none if it had to be killed.
    pub fn end(&mut self, within: Duration) -> Option<i32> {
        self.signal(Signal::CONT);
        self.signal(Signal::TERM);
        let until = Instant::now() + within;
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        None
    }

    /// Its processor time in seconds, and its memory in bytes, as the system counts them.
    pub fn usage(&self) -> Option<(f64, u64)> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).ok()?;
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
        let pages: u64 = fields.get(21)?.parse().ok()?;
        Some((ticks / 100.0, pages * 4096))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A change that clients must know of.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A controller listens here.
    Up(usize, SocketAddr),
    /// A controller is gone.
    Down(usize),
}

/// The processes of a day.
#[derive(Debug)]
pub struct Stage {
    day: Day,
    dir: PathBuf,
    clock: Clock,
    seed: u64,
    plant: Option<String>,
    log_level: String,
    capture: usize,
    programs: Option<PathBuf>,
    beside: Option<PathBuf>,
    listen: Option<SocketAddr>,
    engines: Process,
    control: SocketAddr,
    registry: SocketAddr,
    controllers: Vec<Option<Process>>,
    peers: Vec<String>,
    /// Where controllers hear the gossip, if they do.
    gossip: Vec<String>,
    /// What carries it, where the script tells of roads.
    relay: Option<Relay>,
    /// Faults of the operating system in the controllers, if the plan has any.
    system_faults: Arc<Vec<FaultControl>>,
    /// Ports that were taken for controllers that have not started yet.
    held: BTreeMap<usize, Vec<Unshared<UdpSocket>>>,
    /// The engines as a file, if they are kept so.
    pub lists: Option<EndpointFile>,
    /// The lives of all controllers.
    pub lives: Vec<ProcessLifetime>,
    /// Processor seconds of controllers that are gone.
    pub spent: f64,
}

/// Begins or ends a fault of the operating system. Other actions are not carried out. This does not wait for a controller that starts,
/// as its start may wait for the end of such a fault.
///
/// # Errors
/// If a control file cannot be written.
pub fn act_on_system(action: &StageAction, faults: &[FaultControl]) -> Result<()> {
    match action {
        StageAction::BeginSystemFault(controller, fault) => fault.begin(&faults[*controller])?,
        StageAction::EndSystemFault(controller, fault) => fault.end(&faults[*controller])?,
        _ => {}
    }
    Ok(())
}

/// How a stage is set.
#[derive(Clone, Debug, Default)]
pub struct Setting {
    /// Where logs go.
    pub dir: PathBuf,
    /// Seed of the programs' own chance.
    pub seed: u64,
    /// A fault planted in the controllers.
    pub plant: Option<String>,
    /// What controllers log.
    pub log_level: String,
    /// Controllers from this number on record what their drivers are told and answer; none if there is no such.
    pub capture: Option<usize>,
    /// Where the programs are; beside this one if it is not said.
    pub programs: Option<PathBuf>,
    /// Where the controller of another build is, that every second one runs; none does if it is not said.
    pub beside: Option<PathBuf>,
}

impl Stage {
    /// Starts the stand-ins and the controllers of a day.
    ///
    /// # Errors
    /// If one does not start.
    pub fn set(day: &Day, plan: &Plan, setting: Setting, clock: Clock) -> Result<Stage> {
        Stage::set_at(day, plan, setting, clock, None)
    }

    /// The same, with the first controller on an address of the caller's.
    ///
    /// # Errors
    /// If one does not start.
    #[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
    pub fn set_at(
        day: &Day,
        plan: &Plan,
        setting: Setting,
        clock: Clock,
        listen: Option<SocketAddr>,
    ) -> Result<Stage> {
        let settings = day.settings()?;
        let Setting { dir, seed, plant, log_level, capture, programs, beside } = setting;
        let ip = loopback_address::unused();
        let config = dir.join("engines.toml");
        std::fs::write(&config, day.stand_ins(&settings, &plan.engines))?;
        let args = [
            "--config",
            &path(&config),
            "--log",
            &path(&dir.join("engines.jsonl")),
            "--seed",
            &seed.to_string(),
            "--ip",
            &ip.to_string(),
        ]
        .map(str::to_string);
        let engines = Process::start(
            &program("wheelfield-engine", programs.as_deref())?,
            &args,
            Some(&dir.join("engines.err")),
        )?;
        let (control, registry) = (engines.address("control")?, engines.address("registry")?);
        // Ports for messages are the system's too: taken once, so that a restarted controller keeps its own.
        let messages = day.means.get("messages").and_then(toml::Value::as_bool) == Some(true);
        let sockets: Vec<_> = (0..if messages { day.controllers } else { 0 })
            .map(|_| UdpSocket::bind((ip, 0)))
            .collect::<std::io::Result<_>>()?;
        let peers =
            sockets.iter().map(|s| Ok(s.local_addr()?.to_string())).collect::<Result<Vec<String>>>()?;
        // Both sets are held at once, lest a port of the one be given out again for the other.
        let relayed = day.registry.gossip && !day.roads.is_empty();
        let relay = relayed.then(|| Relay::start(day.controllers, seed, clock)).transpose()?;
        let own = day.registry.gossip && !relayed;
        let gossips: Vec<_> = (0..if own { day.controllers } else { 0 })
            .map(|_| UdpSocket::bind((ip, 0)))
            .collect::<std::io::Result<_>>()?;
        let gossip = match &relay {
            Some(relay) => relay.addresses.iter().map(ToString::to_string).collect(),
            None => {
                gossips.iter().map(|s| Ok(s.local_addr()?.to_string())).collect::<Result<Vec<String>>>()?
            }
        };
        // Each port is held until its controller starts. Between that and the controller's own bind nobody else can take it: no
        // other run uses this IP address, and no process that another thread starts has a copy of the socket.
        let mut held: BTreeMap<usize, Vec<Unshared<UdpSocket>>> = BTreeMap::new();
        for (i, socket) in sockets.into_iter().enumerate().chain(gossips.into_iter().enumerate()) {
            held.entry(i).or_default().push(Unshared::new(socket));
        }
        let has_system_faults =
            plan.actions.iter().any(|(_, action)| matches!(action, StageAction::BeginSystemFault(..)));
        let system_faults = (0..if has_system_faults { day.controllers } else { 0 })
            .map(|_| FaultControl::new())
            .collect::<std::io::Result<Vec<_>>>()?;
        if day.registry.gossip {
            std::fs::write(dir.join("keys"), format!("1 {seed:064x}\n"))?;
        }
        let lists = if day.registry.files {
            let place = |(i, (kind, _)): (usize, &(usize, f64))| {
                let cell = i / day.fleet.cell.max(1);
                (day.zone(i).to_string(), day.fleet.kinds[*kind].name.clone(), cell as i64)
            };
            let places: Vec<_> = plan.engines.iter().enumerate().map(place).collect();
            Some(EndpointFile::create(&dir, &engines.told["engines"], &places, day.controllers)?)
        } else {
            None
        };
        let mut stage = Stage {
            day: day.clone(),
            dir,
            clock,
            seed,
            plant,
            log_level,
            capture: capture.unwrap_or(usize::MAX),
            programs,
            beside,
            listen,
            engines,
            control,
            registry,
            controllers: (0..day.controllers).map(|_| None).collect(),
            peers,
            gossip,
            relay,
            system_faults: Arc::new(system_faults),
            held,
            lists,
            lives: Vec::new(),
            spent: 0.0,
        };
        for i in 0..day.controllers {
            stage.start_controller(i)?;
        }
        Ok(stage)
    }

    #[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
    fn start_controller(&mut self, i: usize) -> Result<()> {
        let config = self.dir.join(format!("controller-{i}.toml"));
        let peer = self.peers.get(i).map_or("127.0.0.1:0", String::as_str);
        let life = self.lives.iter().filter(|l| l.controller == i).count() as u64;
        let mut text = self.day.controller(i, &self.registry.to_string(), peer, &self.peers);
        if let Some(lists) = &self.lists {
            let last = self.dir.join(format!("last-{i}.toml"));
            if life == 0 {
                // Of a day played here before.
                let _ = std::fs::remove_file(&last);
            }
            let last = path(&last);
            let file = path(lists.path());
            text.push_str(&format!(
                "[members]\nfiles = [{file:?}]\nlast_good = {last:?}\nsettle = \"20ms\"\npoll = \"1s\"\n"
            ));
        }
        if let Some(own) = self.gossip.get(i) {
            let (seeds, keys) = (&self.gossip[..self.gossip.len().min(3)], path(&self.dir.join("keys")));
            let (listen, advertise) = match &self.relay {
                Some(_) => ("127.0.0.1:0", Some(own.as_str())),
                None => (own.as_str(), None),
            };
            text.push_str(&self.day.gossip(listen, advertise, seeds, &keys));
        }
        if i >= self.capture {
            // Each process has a file of its own.
            let name = if life == 0 {
                format!("controller-{i}.wfcap")
            } else {
                format!("controller-{i}-{life}.wfcap")
            };
            text.push_str(&format!("[capture]\nfile = {:?}\n", path(&self.dir.join(name))));
        }
        std::fs::write(&config, text)?;
        self.held.remove(&i);
        let seed = self.seed.wrapping_mul(1_000_003).wrapping_add(i as u64 * 1_009 + life);
        let mut args: Vec<String> = [
            "--config",
            &path(&config),
            "--seed",
            &seed.to_string(),
            "--log-format",
            "json",
            "--log",
            &self.log_level,
        ]
        .map(str::to_string)
        .to_vec();
        if let Some(listen) = self.listen.filter(|_| i == 0) {
            args.extend(["--listen".to_string(), listen.to_string()]);
        }
        if let Some(plant) = &self.plant {
            args.extend(["--plant".to_string(), plant.clone()]);
        }
        let log = self.dir.join(format!("controller-{i}.jsonl"));
        let programs = self.beside.as_deref().filter(|_| i % 2 == 1).or(self.programs.as_deref());
        let faults = self.system_faults.get(i);
        let program = program("wheelfield-controller", programs)?;
        let process = Process::start_with_faults(&program, &args, Some(&log), faults).with_context(|| {
            match self.plant {
                Some(_) => {
                    format!("{} must be built with fault injection: {BUILD_COMMAND}", program.display())
                }
                None => format!("cannot start controller {i}"),
            }
        })?;
        if let Some(relay) = &self.relay {
            relay.set_listen_address(i, process.address("gossip")?)?;
        }
        self.lives.push(ProcessLifetime {
            controller: i,
            started_at: self.clock.now(),
            ended_at: None,
            stalls: Vec::new(),
            begins_mid_run: false,
        });
        self.controllers[i] = Some(process);
        Ok(())
    }

    /// Where each controller is reached by the others, if a relay stands between them.
    pub fn reached(&self) -> Option<&[SocketAddr]> {
        self.relay.as_ref().map(|r| r.addresses.as_slice())
    }

    /// From now on roads between controllers have these faults, in times of the clock.
    ///
    /// # Errors
    /// If the relay has come down.
    pub fn begin_roads(&self, timetable: FaultSchedule) -> Result<()> {
        self.relay.as_ref().map_or(Ok(()), |r| r.start_faults(timetable))
    }

    /// Ends the relay; what it carried.
    ///
    /// # Errors
    /// If it has come down.
    pub fn end_roads(&mut self) -> Result<Option<RelayCounters>> {
        self.relay.take().map(Relay::stop).transpose()
    }

    /// The controllers that run.
    pub fn running(&self) -> Vec<usize> {
        (0..self.controllers.len()).filter(|c| self.controllers[*c].is_some()).collect()
    }

    /// Where the controllers that run listen.
    pub fn doors(&self) -> Vec<Change> {
        let up = |(i, p): (usize, &Option<Process>)| Some(Change::Up(i, p.as_ref()?.address("listen").ok()?));
        self.controllers.iter().enumerate().filter_map(up).collect()
    }

    /// Where the stand-ins listen.
    pub fn engine_addresses(&self) -> Vec<String> {
        let all = self.engines.told["engines"].as_array().cloned().unwrap_or_default();
        all.iter().filter_map(|e| e["address"].as_str().map(str::to_string)).collect()
    }

    /// Processor seconds and memory of a controller.
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

    /// What a controller says of itself to operators.
    pub fn status(&self, controller: usize) -> Option<serde_json::Value> {
        let admin = self.controllers.get(controller)?.as_ref()?.address("admin").ok()?;
        let page = http::get(admin, "/status", Duration::from_secs(5), LONGEST_STATUS).ok()?;
        serde_json::from_slice(&page.body).ok()
    }

    /// A figure of a controller, as it tells operators.
    pub fn figure(&self, controller: usize, name: &str) -> Option<u64> {
        self.status(controller)?["figures"][name].as_u64()
    }

    /// Does something to the stage, and tells what clients must know.
    ///
    /// # Errors
    /// If the stand-ins don't do as they are told, or a controller does not start.
    pub fn act(&mut self, act: &StageAction) -> Result<Vec<Change>> {
        match act {
            StageAction::Fault { engine, kind, value } => {
                self.call(&format!("/fault?engine=engine-{engine:02}&kind={kind}&value={value}"))?;
                let now = self.clock.now();
                if let Some(lists) = &mut self.lists {
                    match *kind {
                        "drain" if *value > 0.0 => lists.change(*engine, Status::Draining, None, now)?,
                        "drain" => lists.change(*engine, Status::Up, None, now)?,
                        "start" => lists.change(*engine, Status::Up, Some(now), now)?,
                        _ => {}
                    }
                }
            }
            StageAction::RegistryDown(ms) => self.call(&format!("/registry?unavailable_ms={ms}"))?,
            StageAction::RegistryStale(ms) => self.call(&format!("/registry?stale_ms={ms}"))?,
            StageAction::KillController(i) => {
                if let Some(process) = self.controllers[*i].take() {
                    self.spent += process.usage().map_or(0.0, |(cpu, _)| cpu);
                    let now = self.clock.now();
                    drop(process);
                    if let Some(life) = self.lives.iter_mut().rev().find(|l| l.controller == *i) {
                        life.ended_at = Some(now);
                    }
                    return Ok(vec![Change::Down(*i)]);
                }
            }
            StageAction::StartController(i) => {
                if self.controllers[*i].is_none() {
                    self.start_controller(*i)?;
                    return Ok(self
                        .doors()
                        .into_iter()
                        .filter(|c| matches!(c, Change::Up(n, _) if n == i))
                        .collect());
                }
            }
            // Carried out apart, by `act_on_system`.
            StageAction::BeginSystemFault(..) | StageAction::EndSystemFault(..) => {}
            StageAction::StallController(i) | StageAction::ResumeController(i) => {
                let stall = matches!(act, StageAction::StallController(_));
                if let Some(process) = &self.controllers[*i] {
                    process.signal(if stall { Signal::STOP } else { Signal::CONT });
                    let now = self.clock.now();
                    if let Some(life) = self.lives.iter_mut().rev().find(|l| l.controller == *i) {
                        match life.stalls.last_mut() {
                            Some(last) if !stall => last.1 = now,
                            _ if stall => life.stalls.push((now, i64::MAX)),
                            _ => {}
                        }
                    }
                }
            }
        }
        Ok(Vec::new())
    }

    /// A call to the control port of the stand-ins.
    fn call(&self, path: &str) -> Result<()> {
        let mut stream = TcpStream::connect_timeout(&self.control, Duration::from_secs(5))?;
        write!(stream, "POST {path} HTTP/1.1\r\ncontent-length: 0\r\n\r\n")?;
        let mut answer = [0; 512];
        let n = retry_interrupted(Instant::now() + CONTROL_TIMEOUT, |remaining| {
            stream.set_read_timeout(Some(remaining))?;
            stream.read(&mut answer)
        })?;
        let answer = String::from_utf8_lossy(&answer[..n]);
        ensure!(answer.starts_with("HTTP/1.1 200"), "the stand-ins refuse {path}: {answer}");
        Ok(())
    }

    /// Ends all processes: the controllers first, which answer what they have; then the stand-ins, whose log is
    /// whole then.
    ///
    /// # Errors
    /// If a controller does not end well.
    pub fn end(&mut self) -> Result<()> {
        let mut fault = None;
        for process in self.controllers.iter().flatten() {
            process.signal(Signal::CONT);
            process.signal(Signal::TERM);
        }
        for (i, slot) in self.controllers.iter_mut().enumerate() {
            if let Some(mut process) = slot.take() {
                self.spent += process.usage().map_or(0.0, |(cpu, _)| cpu);
                match process.end(ENDS_WITHIN) {
                    Some(0) => {}
                    code => fault = fault.or(Some(format!("controller {i} ended with {code:?}"))),
                }
            }
        }
        self.engines.end(ENDS_WITHIN);
        match fault {
            Some(fault) => bail!(fault),
            None => Ok(()),
        }
    }
}

fn path(path: &Path) -> String {
    path.display().to_string()
}
