//! The process of a controller: started with its faults, signalled, and restarted.

use crate::http;
use crate::ledger::{ControllerChange, Ledger};
use crate::name_service::List;
use crate::settings::settings;
use anyhow::{Context as _, Result};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use wheelfield_child_process::Unshared;
use wheelfield_fault_shim::FaultControl;

/// For how long after the process was asked to end clients open connections, and for how long they
/// send the first request of a connection, in microseconds. Open keep-alive connections are used
/// until the process has ended.
const CONNECT_GRACE_US: i64 = 350_000;
const REQUEST_GRACE_US: i64 = 550_000;
/// The process may be killed no sooner than the longest timeout and this time after it was asked to
/// end, in microseconds.
const KILL_DELAY_US: i64 = 700_000;
/// The process was not asked to end.
const NEVER: i64 = i64::MAX;
const HEALTH_INTERVAL: Duration = Duration::from_millis(20);
const HEALTH_TIMEOUT: Duration = Duration::from_millis(500);
/// The number of file descriptors that a controller may hold.
const DESCRIPTORS: usize = 256;

/// Whether clients may use a controller.
#[derive(Debug)]
pub struct ControllerState {
    is_up: AtomicBool,
    terminated_at: AtomicI64,
    generation: AtomicU64,
}

impl ControllerState {
    fn new() -> ControllerState {
        ControllerState {
            is_up: AtomicBool::new(false),
            terminated_at: AtomicI64::new(NEVER),
            generation: AtomicU64::new(0),
        }
    }

    /// Whether clients may open connections at a time.
    pub fn is_accepting(&self, now: i64) -> bool {
        self.is_within(now, CONNECT_GRACE_US)
    }

    /// Whether clients may send the first request of a connection at a time.
    pub fn accepts_first_requests(&self, now: i64) -> bool {
        self.is_within(now, REQUEST_GRACE_US)
    }

    /// Whether clients may send requests on open connections.
    pub fn is_up(&self) -> bool {
        self.is_up.load(Ordering::SeqCst)
    }

    fn is_within(&self, now: i64, grace: i64) -> bool {
        let until = self
            .terminated_at
            .load(Ordering::SeqCst)
            .saturating_add(grace);
        self.is_up.load(Ordering::SeqCst) && now < until
    }
}

/// A controller and its process.
pub struct Controller {
    /// Its number.
    pub index: usize,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether clients may use it.
    pub state: Arc<ControllerState>,
    /// The faults of its process.
    pub faults: FaultControl,
    controllers: usize,
    max_timeout_us: i64,
    program: PathBuf,
    planted_fault: Option<String>,
    config: PathBuf,
    log: PathBuf,
    resolver: SocketAddr,
    ledger: Ledger,
    child: Option<Child>,
    kill_at: i64,
    suspended_at: Option<i64>,
}

/// Settings shared by all controllers.
#[derive(Clone, Debug)]
pub struct ControllerSetup {
    /// The number of controllers.
    pub controllers: usize,
    /// The longest timeout of a client, in microseconds.
    pub max_timeout_us: i64,
    /// The controller program.
    pub program: PathBuf,
    /// A fault planted in the program.
    pub planted_fault: Option<String>,
    /// Where configurations and logs are kept.
    pub dir: PathBuf,
}

/// Number of values of one octet of an IP address that are used.
const OCTET_VALUES: usize = 250;

/// A free address for the controller with this number. Each controller has its own IP address, so
/// that the name service can tell from a datagram's source which controller sent it, and that no
/// run beside this one is given its port before the controller has bound it.
///
/// # Errors
/// If no port is free there.
pub fn free_address(index: usize) -> Result<SocketAddr> {
    let process = std::process::id() as usize;
    let octet = |n: usize| 1 + (n % OCTET_VALUES) as u8;
    let third = process / OCTET_VALUES + index / OCTET_VALUES;
    let ip = Ipv4Addr::new(127, octet(process), octet(third), octet(index));
    let listener = Unshared::new(TcpListener::bind((ip, 0))?);
    Ok(listener.local_addr()?)
}

impl Controller {
    /// Creates a controller whose process has not been started.
    ///
    /// # Errors
    /// If the control of its faults cannot be set up.
    pub fn new(
        setup: &ControllerSetup,
        index: usize,
        address: SocketAddr,
        resolver: SocketAddr,
        ledger: Ledger,
    ) -> Result<Controller> {
        Ok(Controller {
            index,
            address,
            state: Arc::new(ControllerState::new()),
            faults: FaultControl::new()?,
            controllers: setup.controllers,
            max_timeout_us: setup.max_timeout_us,
            program: setup.program.clone(),
            planted_fault: setup.planted_fault.clone(),
            config: setup.dir.join(format!("controller-{index}.json")),
            log: log_file(&setup.dir, index),
            resolver,
            ledger,
            child: None,
            kill_at: NEVER,
            suspended_at: None,
        })
    }

    /// Starts its process, and lets clients use it once it answers a health check.
    ///
    /// # Errors
    /// If the program cannot be started.
    pub fn start(&mut self, list: &List) -> Result<()> {
        self.write_config(list)?;
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(&self.program);
        command
            .arg("platform")
            .arg("--config")
            .arg(&self.config)
            .args(["--log", "info,wheelfield_platform=debug"]);
        if let Some(planted_fault) = &self.planted_fault {
            command.args(["--plant", planted_fault]);
        }
        command
            .envs(self.faults.environment())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        let child = wheelfield_child_process::start(&mut command)
            .with_context(|| format!("cannot start {}", self.program.display()))?;
        self.child = Some(child);
        self.kill_at = NEVER;
        self.suspended_at = None;
        self.state.terminated_at.store(NEVER, Ordering::SeqCst);
        let generation = self.state.generation.fetch_add(1, Ordering::SeqCst) + 1;
        self.ledger
            .record_controller(self.index, ControllerChange::Started);
        self.await_health(generation);
        Ok(())
    }

    /// Starts a thread that waits for the first successful health check.
    fn await_health(&self, generation: u64) {
        let (state, ledger) = (self.state.clone(), self.ledger.clone());
        let (address, index) = (self.address, self.index);
        thread::spawn(move || {
            while state.generation.load(Ordering::SeqCst) == generation {
                if http::health(address, HEALTH_TIMEOUT) == Some(200) {
                    state.is_up.store(true, Ordering::SeqCst);
                    ledger.record_controller(index, ControllerChange::Ready);
                    return;
                }
                thread::sleep(HEALTH_INTERVAL);
            }
        });
    }

    fn write_config(&self, list: &List) -> Result<()> {
        let servers: Vec<Value> = list
            .executors
            .iter()
            .map(|executor| {
                json!({"id": executor.name(), "addr": executor.address, "zone": "z", "kind": "std", "cell": 0,
                    "state": if executor.is_draining { "draining" } else { "ready" },
                    "started_ms": executor.started_ms})
            })
            .collect();
        let config = json!({
            "name": format!("n{}", self.index), "listen": self.address,
            "seed": format!("{:x}", self.ledger.now()),
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": DESCRIPTORS},
            "peers": [], "resolver": self.resolver,
            "known": {"cursor": list.serial,
                "cmds": [{"cursor": list.serial, "nodes": {"full": true, "servers": servers}}]},
            "settings": settings(self.controllers, self.index, self.max_timeout_us)});
        let version = format!("{}.json", self.ledger.now());
        let written = self.config.with_extension(&version);
        std::fs::write(&written, config.to_string())?;
        // A link is renamed into place, so that the controller never reads a partly written file,
        // which is covered by another test. A file that replaces another by a rename may be written
        // to the disk first, which can take longer than the time between two reloads.
        let link = self.config.with_extension("link");
        std::os::unix::fs::symlink(&written, &link)?;
        Ok(std::fs::rename(&link, &self.config)?)
    }

    /// Whether the process is up and neither suspended nor ending, so that a fault that requires
    /// this may begin.
    pub fn is_serving(&self) -> bool {
        self.kill_at == NEVER
            && self.suspended_at.is_none()
            && self.state.is_accepting(self.ledger.now())
    }

    /// Asks the process to end.
    ///
    /// # Errors
    /// If the signal cannot be sent.
    pub fn terminate(&mut self) -> Result<()> {
        let now = self.ledger.now();
        self.state.terminated_at.fetch_min(now, Ordering::SeqCst);
        self.ledger
            .record_controller(self.index, ControllerChange::Terminated);
        self.signal(Signal::TERM)?;
        let signalled_at = self.ledger.now();
        let kill_at = signalled_at + self.max_timeout_us + KILL_DELAY_US;
        self.kill_at = self.kill_at.min(kill_at);
        Ok(())
    }

    /// Kills the process.
    ///
    /// # Errors
    /// If that fails.
    pub fn kill(&mut self) -> Result<()> {
        self.state.is_up.store(false, Ordering::SeqCst);
        self.ledger
            .record_controller(self.index, ControllerChange::Killed);
        if let Some(child) = &mut self.child {
            child.kill()?;
        }
        Ok(())
    }

    /// Makes the process reload its configuration, which names this address of the name service.
    ///
    /// # Errors
    /// If the configuration cannot be written, or the signal cannot be sent.
    pub fn reload(&mut self, list: &List, resolver: SocketAddr) -> Result<()> {
        self.resolver = resolver;
        self.write_config(list)?;
        self.ledger
            .record_controller(self.index, ControllerChange::Reloaded);
        self.signal(Signal::HUP)
    }

    /// Suspends the process.
    ///
    /// # Errors
    /// If the signal cannot be sent.
    pub fn suspend(&mut self) -> Result<()> {
        self.suspended_at = Some(self.ledger.now());
        self.ledger
            .record_controller(self.index, ControllerChange::Suspended);
        self.signal(Signal::STOP)
    }

    /// Resumes the process, if it is suspended.
    ///
    /// # Errors
    /// If the signal cannot be sent.
    pub fn resume(&mut self) -> Result<()> {
        if self.suspended_at.take().is_none() {
            return Ok(());
        }
        let resumed = self.signal(Signal::CONT);
        self.ledger
            .record_controller(self.index, ControllerChange::Resumed);
        resumed
    }

    /// Kills the process if it should have ended, and restarts it if it has ended. Returns whether
    /// it was restarted.
    ///
    /// # Errors
    /// If it cannot be started.
    pub fn supervise(&mut self, list: &List) -> Result<bool> {
        let Some(child) = &mut self.child else {
            return Ok(false);
        };
        if let Some(status) = child.try_wait()? {
            self.state.is_up.store(false, Ordering::SeqCst);
            self.ledger
                .record_controller(self.index, ControllerChange::Exited(status.code()));
            self.start(list)?;
            return Ok(true);
        }
        if self.ledger.now() > self.kill_at {
            self.kill_at = NEVER;
            let change = match self.suspended_at {
                Some(_) => ControllerChange::KilledSuspended,
                None => ControllerChange::Overdue,
            };
            self.ledger.record_controller(self.index, change);
            child.kill()?;
        }
        Ok(false)
    }

    /// Asks the process to end for good and waits for it, and kills it after some seconds.
    ///
    /// # Errors
    /// If it cannot be waited for.
    pub fn stop(&mut self) -> Result<()> {
        self.resume()?;
        let Some(mut child) = self.child.take() else {
            return Ok(());
        };
        self.state.generation.fetch_add(1, Ordering::SeqCst);
        let kill_at = self.ledger.now() + self.max_timeout_us + 2 * KILL_DELAY_US;
        send_signal(&child, Signal::TERM)?;
        while self.ledger.now() < kill_at {
            if child.try_wait()?.is_some() {
                return Ok(());
            }
            thread::sleep(HEALTH_INTERVAL);
        }
        child.kill()?;
        child.wait()?;
        Ok(())
    }

    fn signal(&self, signal: Signal) -> Result<()> {
        match &self.child {
            Some(child) => send_signal(child, signal),
            None => Ok(()),
        }
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// The path of a controller's log.
pub fn log_file(dir: &Path, index: usize) -> PathBuf {
    dir.join(format!("controller-{index}.log"))
}

/// Sends a signal to a process that has not been waited for yet. No other process is started for it, as that takes long on a busy
/// machine, while the time until the process is killed runs.
fn send_signal(child: &Child, signal: Signal) -> Result<()> {
    kill_process(Pid::from_child(child), signal).context("cannot send a signal")
}
