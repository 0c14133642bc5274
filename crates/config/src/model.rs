//! A validated configuration, as the controller uses it.

use std::net::SocketAddr;
use std::path::PathBuf;
use wheelfield::interface::{EngineId, Micros, Settings};

/// A validated configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// The address where clients connect; with port 0 the system chooses the port.
    pub listen: SocketAddr,
    /// The address of the HTTP pages for health and metrics, if they are served.
    pub admin: Option<SocketAddr>,
    /// The seed of the decision core's random numbers; `None` takes one from the system.
    pub seed: Option<u64>,
    /// The user name for sessions with engines.
    pub user: String,
    /// The database for sessions with engines.
    pub database: String,
    /// The settings of the decision core.
    pub settings: Settings,
    /// The names of classes, tenants, zones and kinds, which the settings refer to by position.
    pub names: Names,
    /// How a query is assigned to a class.
    pub route: Route,
    /// The engines listed in the configuration itself.
    pub engines: Vec<EngineEndpoint>,
    /// The registry that serves the endpoint list, if there is one.
    pub registry: Option<Registry>,
    /// The files that contain the endpoint list, if there are any.
    pub endpoint_files: Option<EndpointFiles>,
    /// The other controllers, where they are listed rather than found by gossip.
    pub peers: Option<Peers>,
    /// The gossip with other controllers, if it is enabled.
    pub gossip: Option<Gossip>,
    /// The recording of the driver's inputs and outputs, if it is enabled.
    pub capture: Option<Capture>,
    /// Limits on numbers and sizes.
    pub limits: Limits,
    /// Timeouts.
    pub timing: Timing,
}

/// Names by position.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Classes; the last is the class of descriptions, which the file does not define.
    pub classes: Vec<String>,
    /// Tenants.
    pub tenants: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Kinds of machine.
    pub kinds: Vec<String>,
}

/// An engine and its address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineEndpoint {
    /// The name of the engine.
    pub name: String,
    /// The address where it listens.
    pub address: SocketAddr,
    /// Its zone, by position; `usize::MAX` if it has none.
    pub zone: usize,
    /// Its kind of machine, by position.
    pub kind: usize,
    /// The cell that it belongs to.
    pub cell: i64,
}

/// How a query is assigned to a class: by its own hint, the hint of its session, the first selector that
/// matches, or the default, in this order.
#[derive(Clone, Debug)]
pub struct Route {
    /// The class of queries that nothing else assigns.
    pub default_class: usize,
    /// The class of descriptions, which run nothing at an engine.
    pub describe_class: usize,
    /// The selectors, in the order in which they are tried.
    pub selectors: Vec<Selector>,
}

/// A rule that assigns a class. It matches if each of its conditions does.
#[derive(Clone, Debug)]
pub struct Selector {
    /// The user name of the session.
    pub user: Option<String>,
    /// The database of the session.
    pub database: Option<String>,
    /// The application name of the session.
    pub application: Option<String>,
    /// A pattern to be found in the text of the query.
    pub pattern: Option<regex::Regex>,
    /// The class of queries that match, by position.
    pub class: usize,
}

/// How the endpoint list of a registry is kept up to date.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refresh {
    /// A request waits at the registry until something changes.
    Watch,
    /// The list is requested at a fixed interval.
    Poll,
}

/// A registry that serves the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Registry {
    /// The address where it listens.
    pub address: SocketAddr,
    /// How the list is kept up to date.
    pub refresh: Refresh,
    /// The interval between two requests, and the delay after a failed one.
    pub poll_interval: Micros,
}

/// The limits of messages to other controllers that gossip carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerMessageLimits {
    /// Bytes a second to each controller.
    pub bytes_per_second_per_peer: u64,
    /// Bytes a second to all controllers together.
    pub total_bytes_per_second: u64,
}

/// The other controllers, where they are listed rather than found by gossip.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peers {
    /// The address where this controller listens for messages.
    pub listen: SocketAddr,
    /// The addresses of the others.
    pub addresses: Vec<SocketAddr>,
}

/// The gossip by which controllers find each other.
#[derive(Clone, Debug, PartialEq)]
pub struct Gossip {
    /// The address where this controller listens; with port 0 the system chooses the port.
    pub listen: SocketAddr,
    /// The address where the others reach this controller, if addresses are translated on the way; `None` if it
    /// is `listen`. Its datagrams must arrive from there, and its index is the rank of this address.
    pub advertised_address: Option<SocketAddr>,
    /// The members to contact first.
    pub seeds: Vec<SocketAddr>,
    /// The file with the encryption keys.
    pub keys_file: PathBuf,
    /// The interval at which one member is probed.
    pub probe_interval: Micros,
    /// Whether a quorum (more than half of all members) may evict an unreachable member after `evict_after`.
    /// Otherwise only an operator may.
    pub quorum_evicts: bool,
    /// How long a member must be unreachable, at least, before a quorum may evict it.
    pub evict_after: Micros,
    /// How long after the start at least `count` controllers are assumed.
    pub startup_grace: Micros,
    /// The limits of messages carried by gossip; `None` if controllers send no messages.
    pub message_limits: Option<PeerMessageLimits>,
}

/// Files that contain the endpoint list and are watched for changes.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointFiles {
    /// Files, directories, and patterns with `*` in their last part.
    pub files: Vec<PathBuf>,
    /// The file where the active endpoint set is persisted, for a start without a valid file.
    pub last_good_file: Option<PathBuf>,
    /// How long files must be unchanged before they are read.
    pub settle_time: Micros,
    /// The interval at which the files are read even if the system reports no change.
    pub poll_interval: Micros,
    /// The fraction of the capacity that a new set may remove without confirmation.
    pub max_lost_fraction: f64,
    /// How long a set that removes more is held before it is taken; `None` holds it until its file confirms it.
    pub hold_duration: Option<Micros>,
    /// How long after its removal an id may return at another address.
    pub id_reuse_delay: Micros,
    /// The age beyond which the last answer of a registry used at the same time is ignored.
    pub max_registry_age: Micros,
}

/// How a controller records the inputs and outputs of its driver.
#[derive(Clone, Debug, PartialEq)]
pub struct Capture {
    /// The first file; the names of later ones are derived from it.
    pub file: PathBuf,
    /// The size of a file, in bytes, at which the next one begins.
    pub segment_bytes: u64,
    /// The size of all files together, in bytes, above which the oldest is removed.
    pub max_total_bytes: u64,
    /// The interval at which the whole state is written.
    pub checkpoint_interval: Micros,
    /// The interval at which written data is synced to disk.
    pub sync_interval: Micros,
    /// The blocks that may wait to be written; further ones are dropped.
    pub max_queued_blocks: usize,
    /// Recording in memory, written on a trigger; `None` writes to the file at all times.
    pub ring: Option<RingCapture>,
}

/// A recording in memory, and the triggers that write it to the file.
#[derive(Clone, Debug, PartialEq)]
pub struct RingCapture {
    /// The size of the recording, in bytes.
    pub max_bytes: u64,
    /// How far back the recording reaches, if its size allows it.
    pub span: Micros,
    /// Whether the ejection of an engine is a trigger.
    pub on_engine_ejected: bool,
    /// The trigger fraction of queries rejected within `rejection_window`.
    pub rejected_fraction: f64,
    /// The window over which rejected queries are counted.
    pub rejection_window: Micros,
    /// The trigger duration for which the controller made no progress.
    pub stall_threshold: Micros,
    /// How long the recording continues after a trigger.
    pub record_after: Micros,
    /// How long after a trigger the next one is ignored.
    pub cooldown: Micros,
}

/// Limits on numbers and sizes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Client connections; a further one gets an error and is closed.
    pub max_clients: usize,
    /// Queries in the controller; a further one is rejected.
    pub max_queries: usize,
    /// The size of a message of a client, in bytes; a longer one ends its connection.
    pub max_message_bytes: usize,
    /// Prepared statements of a session.
    pub max_statements: usize,
    /// The size of the prepared statements of a session, and of a batch, in bytes.
    pub max_prepared_bytes: usize,
    /// Bytes waiting to be sent to one client; above it, reading from the engine pauses.
    pub max_buffered_bytes: usize,
    /// Sessions with one engine; an attempt that finds none free is treated as rejected by the engine.
    pub max_engine_sessions: usize,
    /// Connections that wait to be accepted.
    pub listen_backlog: u32,
}

/// Timeouts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// How long before a query's deadline its final answer is sent.
    pub answer_margin: Micros,
    /// For connecting to an engine, including the login.
    pub connect_timeout: Micros,
    /// For the startup message and login of a client.
    pub startup_timeout: Micros,
    /// For further data from an engine that has begun an answer; after it, the engine is treated as lost.
    pub answer_stall_timeout: Micros,
    /// For the confirmation of a cancelled attempt; after it, the attempt counts as ended.
    pub cancel_timeout: Micros,
    /// For an unused session with an engine, which is then closed.
    pub session_idle_timeout: Micros,
    /// For clients to finish after a request to stop.
    pub drain_timeout: Micros,
    /// For the answer to a probe.
    pub probe_timeout: Micros,
}

/// The id of an engine, a hash of its name: the same at each controller.
pub fn engine_id(name: &str) -> EngineId {
    const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const FNV_PRIME: u64 = 0x0100_0000_01b3;
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    EngineId(name.bytes().fold(FNV_OFFSET_BASIS, step))
}
