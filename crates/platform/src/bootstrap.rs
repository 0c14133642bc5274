//! The configuration that a controller starts with: a JSON file, which includes the list of executors.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use wheelfield::interface::{EngineEntry, Micros, Settings, Status};
use wheelfield_settings::{parse_settings, Names, SettingsError};

/// Why a configuration can't be used.
#[derive(Debug, thiserror::Error)]
pub enum BootstrapError {
    /// It is not JSON, or lacks a field.
    #[error("the configuration is not as expected: {0}")]
    Json(#[from] serde_json::Error),
    /// Its settings are invalid.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// A limit among the settings is missing, or is no whole number.
    #[error("settings: ceilings.{0} is missing, or is no whole number")]
    Ceiling(&'static str),
    /// There is no class of queries, or one without a name.
    #[error("settings: grades is missing or empty, or one of them has no name")]
    Classes,
    /// The seed is no hexadecimal number.
    #[error("the seed is not up to 16 hex digits: '{0}'")]
    Seed(String),
}

/// Resources that a controller may use.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct ResourceLimits {
    /// Memory of its processes, in MB.
    pub memory_mb: f64,
    /// Number of file descriptors.
    pub sockets: usize,
}

/// The configuration of a controller.
#[derive(Clone, Debug)]
pub struct BootstrapConfig {
    /// Name of the controller.
    pub name: String,
    /// Address on which it listens for clients.
    pub listen: SocketAddr,
    /// Seed of its random numbers.
    pub seed: u64,
    /// Resources that it may use.
    pub limits: ResourceLimits,
    /// Address on which it receives messages of other controllers.
    pub peer_listen: Option<SocketAddr>,
    /// Addresses of all controllers by number, including this one.
    pub peers: Vec<SocketAddr>,
    /// An address that reaches all controllers.
    pub peers_all: Option<SocketAddr>,
    /// Address of the name service.
    pub resolver: SocketAddr,
    /// Serial number of the list of executors.
    pub serial: u64,
    /// The executors at the start.
    pub executors: Vec<ExecutorEndpoint>,
    /// Settings of the policy.
    pub settings: Settings,
    /// Names of the classes, zones and so on that the settings refer to by number.
    pub names: Names,
    /// Limits that the protocol keeps to.
    pub protocol_limits: ProtocolLimits,
}

/// Limits among the settings that concern the protocol rather than the policy.
#[derive(Clone, Copy, Debug)]
pub struct ProtocolLimits {
    /// Time after which a connect has failed, in microseconds.
    pub connect_timeout_us: i64,
    /// Time after which executors close an idle connection, in microseconds.
    pub executor_idle_timeout_us: i64,
    /// Attempts on one connection at the same time.
    pub max_streams: usize,
    /// Queries in flight at the same time.
    pub max_queries: usize,
    /// Time for which a draining executor still accepts requests, in microseconds.
    pub drain_grace_us: i64,
}

/// Grace of draining executors where the settings name none, in microseconds.
const DEFAULT_DRAIN_GRACE_US: i64 = 1_000_000;

impl ProtocolLimits {
    fn parse(settings: &serde_json::Value) -> Result<ProtocolLimits, BootstrapError> {
        let limit = |key: &'static str| {
            whole_number(&settings["ceilings"][key])
                .filter(|number| *number >= 0)
                .ok_or(BootstrapError::Ceiling(key))
        };
        Ok(ProtocolLimits {
            connect_timeout_us: limit("connect_timeout_us")?,
            executor_idle_timeout_us: limit("conn_idle_us")?,
            max_streams: limit("max_streams")? as usize,
            max_queries: limit("most_held")? as usize,
            drain_grace_us: whole_number(&settings["safety"]["drain_grace_us"])
                .filter(|grace| *grace >= 0)
                .unwrap_or(DEFAULT_DRAIN_GRACE_US),
        })
    }
}

/// A whole number, which may be written with a decimal point.
fn whole_number(value: &serde_json::Value) -> Option<i64> {
    value.as_i64().or_else(|| {
        value
            .as_f64()
            .filter(|x| x.fract() == 0.0)
            .map(|x| x as i64)
    })
}

/// An executor as the configuration or the name service lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExecutorEndpoint {
    /// Its name.
    pub name: String,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Name of its zone.
    pub zone: String,
    /// Name of its kind.
    pub kind: String,
    /// Number of its cell.
    pub cell: i64,
    /// Whether it accepts work.
    pub status: Status,
    /// Unix time of its start as stated, if it started after the others.
    pub started_at: Option<Micros>,
}

impl ExecutorEndpoint {
    /// The executor as the policy takes it, with its start by the clock of this process. Its name is added to `names`.
    pub fn to_engine_entry(&self, names: &mut Names, started_at: Option<Micros>) -> EngineEntry {
        EngineEntry {
            engine: names.register_engine(&self.name),
            zone: names.zone_position(&self.zone),
            kind: names.kind_position(&self.kind),
            cell: self.cell,
            status: self.status,
            started_at,
        }
    }
}

/// The file. The names of its fields, and of those of the types below, are the keys of the JSON.
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

/// The events that the list of executors results from.
#[derive(Deserialize)]
struct KnownEvents {
    cursor: u64,
    #[serde(default)]
    cmds: Vec<KnownEvent>,
}

/// An event; those without `nodes` are ignored.
#[derive(Deserialize)]
struct KnownEvent {
    #[serde(default)]
    nodes: Option<NodeList>,
}

/// Executors that were added, changed or removed; with `full`, all others were removed.
#[derive(Deserialize)]
struct NodeList {
    #[serde(default)]
    full: bool,
    servers: Vec<Server>,
}

/// An executor of a [`NodeList`].
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

/// The state of a [`Server`].
#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum ServerState {
    Ready,
    Draining,
    Gone,
}

/// The part of a configuration that is taken over when it is reloaded.
#[derive(Deserialize)]
struct ReloadedConfig {
    resolver: SocketAddr,
}

/// The Unix time of a start, from milliseconds; `None` for 0 and below.
pub(crate) fn start_time(unix_ms: i64) -> Option<Micros> {
    (unix_ms > 0).then_some(Micros(unix_ms.saturating_mul(1000)))
}

impl KnownEvents {
    /// The executors after all events, in order of their names.
    fn into_executors(self) -> Vec<ExecutorEndpoint> {
        let mut executors = BTreeMap::new();
        for nodes in self.cmds.into_iter().filter_map(|event| event.nodes) {
            if nodes.full {
                executors.clear();
            }
            for server in nodes.servers {
                match server.state {
                    ServerState::Ready => {
                        executors.insert(server.id.clone(), server.into_endpoint(Status::Up))
                    }
                    ServerState::Draining => {
                        executors.insert(server.id.clone(), server.into_endpoint(Status::Draining))
                    }
                    ServerState::Gone => executors.remove(&server.id),
                };
            }
        }
        executors.into_values().collect()
    }
}

impl Server {
    fn into_endpoint(self, status: Status) -> ExecutorEndpoint {
        ExecutorEndpoint {
            name: self.id,
            address: self.addr,
            zone: self.zone,
            kind: self.kind,
            cell: self.cell,
            status,
            started_at: start_time(self.started_ms),
        }
    }
}

impl BootstrapConfig {
    /// Parses a configuration.
    ///
    /// # Errors
    /// [`BootstrapError`] if it can't be used.
    pub fn parse(text: &str) -> Result<BootstrapConfig, BootstrapError> {
        let file: ConfigFile = serde_json::from_str(text)?;
        let (names, settings) = parse_settings(&file.settings)?;
        if names.classes.is_empty() || names.classes.iter().any(String::is_empty) {
            return Err(BootstrapError::Classes);
        }
        let protocol_limits = ProtocolLimits::parse(&file.settings)?;
        let seed = u64::from_str_radix(&file.seed, 16)
            .map_err(|_| BootstrapError::Seed(file.seed.clone()))?;
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
            executors: file.known.into_executors(),
            settings,
            names,
            protocol_limits,
        })
    }

    /// Parses the address of the name service in a configuration that replaces the one of the start.
    ///
    /// # Errors
    /// [`BootstrapError::Json`] if there is none.
    pub fn parse_resolver(text: &str) -> Result<SocketAddr, BootstrapError> {
        Ok(serde_json::from_str::<ReloadedConfig>(text)?.resolver)
    }
}
