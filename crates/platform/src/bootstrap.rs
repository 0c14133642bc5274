//! What a controller is told at its start: its configuration, as JSON, and the list of executors in it.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use wheelfield::interface::{EngineEntry, Micros, Settings, Status};
use wheelfield_settings::{Names, SettingsError};

/// What is wrong with a configuration.
#[derive(Debug, thiserror::Error)]
pub enum BootstrapError {
    /// It can't be read.
    #[error("the configuration is not as expected: {0}")]
    Json(#[from] serde_json::Error),
    /// Its settings can't be used.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// A limit among the settings is missing, or is no whole number.
    #[error("settings: ceilings.{0} is missing, or is no whole number")]
    Ceiling(&'static str),
    /// There is nothing to be asked for.
    #[error("settings: grades is missing or empty, or one of them has no name")]
    Classes,
    /// The seed is no number.
    #[error("the seed is not up to 16 hex digits: '{0}'")]
    Seed(String),
}

/// What a controller may use.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct ResourceLimits {
    /// Memory of its processes, in MB.
    pub memory_mb: f64,
    /// ConfigFile descriptors.
    pub sockets: usize,
}

/// A configuration.
#[derive(Clone, Debug)]
pub struct BootstrapConfig {
    /// The controller's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// For chance.
    pub seed: u64,
    /// What it may use.
    pub limits: ResourceLimits,
    /// Where words of other controllers arrive.
    pub peer_listen: Option<SocketAddr>,
    /// All controllers, this one among them, by their numbers.
    pub peers: Vec<SocketAddr>,
    /// An address for all of them.
    pub peers_all: Option<SocketAddr>,
    /// The name service.
    pub resolver: SocketAddr,
    /// The number of the last event that `executors` holds.
    pub serial: u64,
    /// The executors at the start.
    pub executors: Vec<ExecutorEndpoint>,
    /// The module's settings.
    pub settings: Settings,
    /// The names behind its numbers.
    pub names: Names,
    /// What the wire keeps to.
    pub ceilings: ProtocolLimits,
}

/// Limits among the settings that are not the module's.
#[derive(Clone, Copy, Debug)]
pub struct ProtocolLimits {
    /// A connect that is not through in this time has failed, in microseconds.
    pub connect_timeout_us: i64,
    /// Executors close a connection that is idle for so long, in microseconds.
    pub conn_idle_us: i64,
    /// Attempts that a connection carries at once.
    pub max_streams: usize,
    /// Queries held at once.
    pub most_held: usize,
}

impl ProtocolLimits {
    fn read(settings: &serde_json::Value) -> Result<ProtocolLimits, BootstrapError> {
        // A whole number may be written with a point.
        let one = |key: &'static str| {
            let told = &settings["ceilings"][key];
            let told = told.as_i64().or_else(|| told.as_f64().filter(|x| x.fract() == 0.0).map(|x| x as i64));
            told.filter(|x| *x >= 0).ok_or(BootstrapError::Ceiling(key))
        };
        Ok(ProtocolLimits {
            connect_timeout_us: one("connect_timeout_us")?,
            conn_idle_us: one("conn_idle_us")?,
            max_streams: one("max_streams")? as usize,
            most_held: one("most_held")? as usize,
        })
    }
}

/// An executor as it is listed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExecutorEndpoint {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub at: SocketAddr,
    /// Its zone, by name.
    pub zone: String,
    /// Its kind, by name.
    pub kind: String,
    /// Its cell.
    pub cell: i64,
    /// Whether it takes work.
    pub status: Status,
    /// The Unix microsecond of a late start.
    pub started: Option<i64>,
}

impl ExecutorEndpoint {
    /// As the module is told; its name is known from now on.
    pub fn entry(&self, names: &mut Names) -> EngineEntry {
        EngineEntry {
            engine: names.engine(&self.name),
            zone: names.zone(&self.zone),
            kind: names.kind(&self.kind),
            cell: self.cell,
            status: self.status,
            started_at: self.started.map(Micros),
        }
    }
}

#[derive(Deserialize)]
struct ConfigFile {
    name: String,
    listen: SocketAddr,
    seed: String,
    limits: ResourceLimits,
    #[serde(default)]
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    #[serde(default)]
    peers_all: Option<SocketAddr>,
    resolver: SocketAddr,
    known: KnownEvents,
    settings: serde_json::Value,
}

#[derive(Deserialize)]
struct KnownEvents {
    cursor: u64,
    #[serde(default)]
    cmds: Vec<KnownEvent>,
}

#[derive(Deserialize)]
struct KnownEvent {
    #[serde(default)]
    nodes: Option<NodeList>,
}

#[derive(Deserialize)]
struct NodeList {
    #[serde(default)]
    full: bool,
    servers: Vec<Server>,
}

#[derive(Deserialize)]
struct Server {
    id: String,
    addr: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    kind: String,
    #[serde(default)]
    cell: i64,
    state: ServerState,
    #[serde(default)]
    started_ms: i64,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum ServerState {
    Ready,
    Draining,
    Gone,
}

#[derive(Deserialize)]
struct ReloadedConfig {
    resolver: SocketAddr,
}

/// The Unix microsecond of a start told in milliseconds; none for 0.
pub(crate) fn started(ms: i64) -> Option<i64> {
    (ms > 0).then_some(ms.saturating_mul(1000))
}

impl KnownEvents {
    /// The list as it stands after all events.
    fn list(self) -> Vec<ExecutorEndpoint> {
        let mut all = BTreeMap::new();
        for nodes in self.cmds.into_iter().filter_map(|e| e.nodes) {
            if nodes.full {
                all.clear();
            }
            for s in nodes.servers {
                let status = match s.state {
                    ServerState::Ready => Status::Up,
                    ServerState::Draining => Status::Draining,
                    ServerState::Gone => {
                        all.remove(&s.id);
                        continue;
                    }
                };
                let (name, started) = (s.id.clone(), started(s.started_ms));
                let (at, zone, kind, cell) = (s.addr, s.zone, s.kind, s.cell);
                all.insert(s.id, ExecutorEndpoint { name, at, zone, kind, cell, status, started });
            }
        }
        all.into_values().collect()
    }
}

impl BootstrapConfig {
    /// Reads a configuration.
    ///
    /// # Errors
    /// [`BootstrapError`].
    pub fn read(text: &str) -> Result<BootstrapConfig, BootstrapError> {
        let file: ConfigFile = serde_json::from_str(text)?;
        let (names, settings) = Names::settings(&file.settings)?;
        if names.classes.is_empty() || names.classes.iter().any(String::is_empty) {
            return Err(BootstrapError::Classes);
        }
        let ceilings = ProtocolLimits::read(&file.settings)?;
        let seed =
            u64::from_str_radix(&file.seed, 16).map_err(|_| BootstrapError::Seed(file.seed.clone()))?;
        Ok(BootstrapConfig {
            name: file.name,
            listen: file.listen,
            seed,
            limits: file.limits,
            peer_listen: file.peer_listen,
            peers: file.peers,
            peers_all: file.peers_all,
            resolver: file.resolver,
            serial: file.known.cursor,
            executors: file.known.list(),
            settings,
            names,
            ceilings,
        })
    }

    /// The name service of a configuration that took this one's place.
    ///
    /// # Errors
    /// [`BootstrapError::Json`].
    pub fn resolver(text: &str) -> Result<SocketAddr, BootstrapError> {
        Ok(serde_json::from_str::<ReloadedConfig>(text)?.resolver)
    }
}
