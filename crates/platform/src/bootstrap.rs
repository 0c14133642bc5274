//! The startup configuration of a controller: a JSON file that contains the settings and the initial executor list.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use wheelfield::interface::{EngineEntry, EngineId, Micros, Settings, Status};
use wheelfield_settings::{parse_settings, Names, SettingsError};

/// The reason why a configuration is invalid.
#[derive(Debug, thiserror::Error)]
pub enum BootstrapError {
    /// It is not valid JSON, or a field is missing or has the wrong type.
    #[error("invalid configuration: {0}")]
    Json(#[from] serde_json::Error),
    /// The policy settings are invalid.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// A protocol limit, given by its key under `ceilings`, is missing or is not a non-negative integer.
    #[error("settings: ceilings.{0} is missing or is not a non-negative integer")]
    Ceiling(&'static str),
    /// There is no query class, or a query class has no name. The settings list the classes under `grades`.
    #[error("settings: grades is missing or empty, or one of its entries has no name")]
    Classes,
    /// The seed is not a hexadecimal number of 64 bits.
    #[error("invalid seed '{0}': expected up to 16 hexadecimal digits")]
    Seed(String),
}

/// Resource limits of a controller process.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct ResourceLimits {
    /// Maximum memory of its processes, in MB.
    pub memory_mb: f64,
    /// Maximum number of file descriptors.
    pub sockets: usize,
}

/// The parsed configuration of a controller.
#[derive(Clone, Debug)]
pub struct BootstrapConfig {
    /// Name of the controller.
    pub name: String,
    /// Address on which it listens for client connections.
    pub listen: SocketAddr,
    /// Seed of its random number generators.
    pub seed: u64,
    /// Resource limits of the process.
    pub limits: ResourceLimits,
    /// Address on which it receives messages from other controllers.
    pub peer_listen: Option<SocketAddr>,
    /// Addresses of all controllers by index, including this one.
    pub peers: Vec<SocketAddr>,
    /// Address that reaches all controllers, such as a broadcast address.
    pub peers_all: Option<SocketAddr>,
    /// Address of the name service.
    pub resolver: SocketAddr,
    /// Serial number of the initial executor list.
    pub serial: u64,
    /// The initial executor list.
    pub executors: Vec<ExecutorEndpoint>,
    /// Settings of the policy.
    pub settings: Settings,
    /// Names of the classes, zones and other items that the parsed settings refer to by index.
    pub names: Names,
    /// Limits that apply to connections and requests rather than to the policy.
    pub protocol_limits: ProtocolLimits,
}

/// Limits from the settings that apply to connections and requests rather than to the policy.
#[derive(Clone, Copy, Debug)]
pub struct ProtocolLimits {
    /// Connect timeout in microseconds.
    pub connect_timeout_us: i64,
    /// Idle timeout after which executors close a connection, in microseconds (`conn_idle_us` in the settings).
    pub executor_idle_timeout_us: i64,
    /// Maximum number of concurrent attempts on one connection.
    pub max_streams: usize,
    /// Maximum number of queries in flight (`most_held` in the settings).
    pub max_queries: usize,
    /// Grace period in which a draining executor still accepts requests, in microseconds.
    pub drain_grace_us: i64,
}

/// Grace period of draining executors if the settings do not contain one, in microseconds.
const DEFAULT_DRAIN_GRACE_US: i64 = 1_000_000;

impl ProtocolLimits {
    fn parse(settings: &serde_json::Value) -> Result<ProtocolLimits, BootstrapError> {
        let limit = |key: &'static str| {
            parse_integer(&settings["ceilings"][key])
                .filter(|number| *number >= 0)
                .ok_or(BootstrapError::Ceiling(key))
        };
        Ok(ProtocolLimits {
            connect_timeout_us: limit("connect_timeout_us")?,
            executor_idle_timeout_us: limit("conn_idle_us")?,
            max_streams: limit("max_streams")? as usize,
            max_queries: limit("most_held")? as usize,
            drain_grace_us: parse_integer(&settings["safety"]["drain_grace_us"])
                .filter(|grace| *grace >= 0)
                .unwrap_or(DEFAULT_DRAIN_GRACE_US),
        })
    }
}

/// Returns the value of a JSON number that is an integer, also if it is written with a decimal point.
fn parse_integer(value: &serde_json::Value) -> Option<i64> {
    value.as_i64().or_else(|| {
        value
            .as_f64()
            .filter(|x| x.fract() == 0.0)
            .map(|x| x as i64)
    })
}

/// An executor as listed in the configuration or by the name service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExecutorEndpoint {
    /// Name of the executor.
    pub name: String,
    /// Address on which it listens for connections of controllers.
    pub address: SocketAddr,
    /// Name of its zone.
    pub zone: String,
    /// Name of its engine kind.
    pub kind: String,
    /// Number of its cell.
    pub cell: i64,
    /// Whether it accepts new work.
    pub status: Status,
    /// Start time that the list states, as Unix time; `None` if the list states none.
    pub started_at: Option<Micros>,
}

impl ExecutorEndpoint {
    /// Converts the executor to an entry of the policy's engine list with the number `engine`, and registers its name in `names`.
    /// `started_at` is its start time by the clock of this process.
    pub fn to_engine_entry(
        &self,
        engine: EngineId,
        names: &mut Names,
        started_at: Option<Micros>,
    ) -> EngineEntry {
        names.engines.insert(engine, self.name.clone());
        EngineEntry {
            engine,
            zone: names.zone_position(&self.zone),
            kind: names.kind_position(&self.kind),
            cell: self.cell,
            status: self.status,
            started_at,
        }
    }
}

/// The JSON file. Its keys are the field names of this struct and of the types below.
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

/// The initial executor list as a sequence of events. `cursor` is the serial number of the resulting list.
#[derive(Deserialize)]
struct KnownEvents {
    cursor: u64,
    #[serde(default)]
    cmds: Vec<KnownEvent>,
}

/// An event; events without `nodes` do not change the list.
#[derive(Deserialize)]
struct KnownEvent {
    #[serde(default)]
    nodes: Option<NodeList>,
}

/// Executors that were added, changed or removed. If `full` is set, the event replaces the whole list.
#[derive(Deserialize)]
struct NodeList {
    #[serde(default)]
    full: bool,
    servers: Vec<Server>,
}

/// An executor in a [`NodeList`].
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

/// State of a [`Server`].
#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum ServerState {
    Ready,
    Draining,
    Gone,
}

/// The fields of a configuration that take effect when it is reloaded.
#[derive(Deserialize)]
struct ReloadedConfig {
    resolver: SocketAddr,
}

/// Converts a start time in Unix milliseconds; `None` if the value is 0 or negative, which means that no start time is stated.
pub(crate) fn start_time(unix_ms: i64) -> Option<Micros> {
    (unix_ms > 0).then_some(Micros(unix_ms.saturating_mul(1000)))
}

impl KnownEvents {
    /// Applies all events and returns the resulting executors, sorted by name.
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
    /// Parses a configuration file.
    ///
    /// # Errors
    /// [`BootstrapError`] if the configuration is invalid.
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

    /// Parses the address of the name service from a reloaded configuration.
    ///
    /// # Errors
    /// [`BootstrapError::Json`] if the configuration is not valid JSON or contains no such address.
    pub fn parse_resolver(text: &str) -> Result<SocketAddr, BootstrapError> {
        Ok(serde_json::from_str::<ReloadedConfig>(text)?.resolver)
    }
}
