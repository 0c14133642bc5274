//! The validated configuration that the controller uses.

use std::net::SocketAddr;
use std::path::PathBuf;
use wheelfield::interface::{EngineId, Micros, Settings};

/// A validated controller configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// The address on which clients connect. With port 0, the operating system chooses the port.
    pub listen: SocketAddr,
    /// The address of the HTTP server for health and metrics; `None` if it is disabled.
    pub admin: Option<SocketAddr>,
    /// The seed of the decision core's random number generator; `None` takes a seed from the operating system.
    pub seed: Option<u64>,
    /// The user name with which the controller logs in to engines.
    pub user: String,
    /// The database that the controller opens at engines.
    pub database: String,
    /// The settings of the decision core.
    pub settings: Settings,
    /// The names of classes, tenants, zones and kinds of machine. The settings refer to them by position.
    pub names: Names,
    /// The rules that assign a query to a class.
    pub route: Route,
    /// The engines listed in the configuration file itself.
    pub engines: Vec<EngineEndpoint>,
    /// The registry that serves the endpoint list, if there is one.
    pub registry: Option<Registry>,
    /// The files that contain the endpoint list, if there are any.
    pub endpoint_files: Option<EndpointFiles>,
    /// The other controllers, if they are listed in the file instead of discovered by gossip.
    pub peers: Option<Peers>,
    /// The gossip protocol between controllers, if it is enabled.
    pub gossip: Option<Gossip>,
    /// The recording of the driver's inputs and outputs; `None` if it is disabled.
    pub capture: Option<Capture>,
    /// Limits on counts and sizes.
    pub limits: Limits,
    /// Timeouts and the answer margin.
    pub timing: Timing,
}

/// The names of configured entities. The position of a name in its list is the id used in [`Settings`].
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Names of the query classes. The last one is the class of describe requests, which is added automatically.
    pub classes: Vec<String>,
    /// Names of the tenants.
    pub tenants: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the kinds of machine.
    pub kinds: Vec<String>,
}

/// An engine of the endpoint list, with its address and location.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineEndpoint {
    /// The name of the engine.
    pub name: String,
    /// The address on which the engine listens.
    pub address: SocketAddr,
    /// The position of its zone in [`Names::zones`]; `usize::MAX` if it has none.
    pub zone: usize,
    /// The position of its kind of machine in [`Names::kinds`].
    pub kind: usize,
    /// The id of the cell that the engine belongs to.
    pub cell: i64,
}

/// The rules that assign a query to a class. The first of these that applies is used: the hint of the query, the
/// hint of its session, the first matching selector, the default class.
#[derive(Clone, Debug)]
pub struct Route {
    /// The class of queries to which neither a hint nor a selector applies, by position.
    pub default_class: usize,
    /// The class of describe requests, which execute nothing at an engine, by position.
    pub describe_class: usize,
    /// The selectors, in the order in which they are evaluated.
    pub selectors: Vec<Selector>,
}

/// A rule that assigns a class to the queries that meet all of its conditions.
#[derive(Clone, Debug)]
pub struct Selector {
    /// The user name that the session must have.
    pub user: Option<String>,
    /// The database that the session must have.
    pub database: Option<String>,
    /// The application name that the session must have.
    pub application: Option<String>,
    /// A regular expression that must match somewhere in the text of the query.
    pub pattern: Option<regex::Regex>,
    /// The class that is assigned, by position.
    pub class: usize,
}

/// How the endpoint list is refreshed from a registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refresh {
    /// Long polling: the registry answers a request when the list changes.
    Watch,
    /// The list is requested at a fixed interval.
    Poll,
}

/// A registry that serves the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Registry {
    /// The address on which the registry listens.
    pub address: SocketAddr,
    /// How the list is refreshed.
    pub refresh: Refresh,
    /// The interval between requests, and the delay after a failed request.
    pub poll_interval: Micros,
}

/// Rate limits of the messages that are sent to other controllers with gossip.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerMessageLimits {
    /// Bytes per second to each controller.
    pub bytes_per_second_per_peer: u64,
    /// Bytes per second to all controllers together.
    pub total_bytes_per_second: u64,
}

/// A fixed list of the other controllers, which is used instead of gossip.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peers {
    /// The address on which this controller receives messages.
    pub listen: SocketAddr,
    /// The addresses of the other controllers.
    pub addresses: Vec<SocketAddr>,
}

/// Settings of the gossip protocol with which controllers discover each other.
#[derive(Clone, Debug, PartialEq)]
pub struct Gossip {
    /// The address on which this controller receives gossip. With port 0, the operating system chooses the port.
    pub listen: SocketAddr,
    /// The address at which other controllers reach this one, if it differs from `listen` because of address
    /// translation. The datagrams of this controller must arrive from this address, and the rank of the address among
    /// those of all controllers is the index of this controller.
    pub advertised_address: Option<SocketAddr>,
    /// The members to contact first when joining.
    pub seeds: Vec<SocketAddr>,
    /// The file with the authentication keys.
    pub keys_file: PathBuf,
    /// The interval between probes; each probe goes to one member.
    pub probe_interval: Micros,
    /// Whether a quorum (more than half of all members) may evict an unreachable member after `evict_after`. If false,
    /// only an operator may evict it.
    pub quorum_evicts: bool,
    /// The minimum time for which a member must be unreachable before a quorum may evict it.
    pub evict_after: Micros,
    /// The time after startup during which the number of controllers is assumed to be at least the configured `count`,
    /// even if gossip has found fewer.
    pub startup_grace: Micros,
    /// Rate limits of messages to other controllers; `None` if messages are disabled.
    pub message_limits: Option<PeerMessageLimits>,
}

/// Engine files, which contain the endpoint list and are watched for changes.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointFiles {
    /// Files, directories, and patterns with `*` in their last path component.
    pub files: Vec<PathBuf>,
    /// The file to which the active endpoint set is saved. It is used at startup if no engine file is valid.
    pub last_good_file: Option<PathBuf>,
    /// The time for which files must be unchanged before they are read.
    pub settle_time: Micros,
    /// The interval at which the files are read even if the operating system reports no change.
    pub poll_interval: Micros,
    /// The maximum fraction of the capacity that a new endpoint set may remove without confirmation.
    pub max_lost_fraction: f64,
    /// The time after which an unconfirmed set that removes more than `max_lost_fraction` is applied anyway; `None`
    /// holds it until its file confirms it.
    pub hold_duration: Option<Micros>,
    /// The time after the removal of an engine before its id may be reused at another address.
    pub id_reuse_delay: Micros,
    /// The maximum age of the last registry answer, where a registry is used together with the files. An older answer
    /// is ignored.
    pub max_registry_age: Micros,
}

/// Settings for recording the inputs and outputs of the controller's driver.
#[derive(Clone, Debug, PartialEq)]
pub struct Capture {
    /// The first capture file. The names of later files are derived from its name.
    pub file: PathBuf,
    /// The size in bytes at which a file is closed and the next one begins.
    pub segment_bytes: u64,
    /// The total size of all files in bytes above which the oldest file is removed.
    pub max_total_bytes: u64,
    /// The interval between checkpoints, which contain the whole state.
    pub checkpoint_interval: Micros,
    /// The interval at which written data is synced to disk.
    pub sync_interval: Micros,
    /// The maximum number of blocks that wait to be written; further blocks are dropped.
    pub max_queued_blocks: usize,
    /// Settings for recording to a ring buffer in memory that is written to the file on a trigger; `None` writes to the
    /// file continuously.
    pub ring: Option<RingCapture>,
}

/// Settings of the ring buffer for recordings in memory, and of the triggers that write it to the file.
#[derive(Clone, Debug, PartialEq)]
pub struct RingCapture {
    /// The maximum size of the ring buffer in bytes.
    pub max_bytes: u64,
    /// The duration that the ring buffer covers, if `max_bytes` allows it.
    pub span: Micros,
    /// Whether the ejection of an engine triggers a write.
    pub on_engine_ejected: bool,
    /// The fraction of queries rejected within `rejection_window` above which a write is triggered.
    pub rejected_fraction: f64,
    /// The window over which rejected queries are counted.
    pub rejection_window: Micros,
    /// The time without progress of the controller after which a write is triggered.
    pub stall_threshold: Micros,
    /// The time for which the recording continues after a trigger.
    pub record_after: Micros,
    /// The time after a trigger in which further triggers are ignored.
    pub cooldown: Micros,
}

/// Limits on counts and sizes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of client connections. A further connection gets an error and is closed.
    pub max_clients: usize,
    /// Maximum number of queries in the controller. A further query is rejected.
    pub max_queries: usize,
    /// Maximum size of a client message in bytes. A longer message closes the connection.
    pub max_message_bytes: usize,
    /// Maximum number of prepared statements per client session.
    pub max_statements: usize,
    /// Maximum total size in bytes of the prepared statements of a session, and also of the messages of one batch.
    pub max_prepared_bytes: usize,
    /// Bytes waiting to be sent to one client above which reading from the engine pauses.
    pub max_buffered_bytes: usize,
    /// Maximum number of sessions with one engine. An attempt that finds none free is treated as rejected by the engine.
    pub max_engine_sessions: usize,
    /// Maximum number of connections that wait to be accepted.
    pub listen_backlog: u32,
}

/// Timeouts and the answer margin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// The time before the deadline of a query at which its final answer is sent.
    pub answer_margin: Micros,
    /// Timeout for connecting to an engine, including the login.
    pub connect_timeout: Micros,
    /// Timeout for the startup message and the login of a client.
    pub startup_timeout: Micros,
    /// Timeout for further data from an engine that has begun an answer. When it expires, the engine is treated as lost.
    pub answer_stall_timeout: Micros,
    /// Timeout for the confirmation of a cancelled attempt. When it expires, the attempt counts as ended.
    pub cancel_timeout: Micros,
    /// The idle time after which an unused session with an engine is closed.
    pub session_idle_timeout: Micros,
    /// The time that clients have to finish after the controller is asked to stop.
    pub drain_timeout: Micros,
    /// Timeout for the answer to a probe.
    pub probe_timeout: Micros,
}

/// Returns the id of an engine: the FNV-1a hash of its name, so that all controllers compute the same id.
pub fn engine_id(name: &str) -> EngineId {
    const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const FNV_PRIME: u64 = 0x0100_0000_01b3;
    let fnv_step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    EngineId(name.bytes().fold(FNV_OFFSET_BASIS, fnv_step))
}
