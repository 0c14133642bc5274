//! A validated configuration, as the controller uses it.

use std::net::SocketAddr;
use wheelfield::interface::{EngineId, Micros, Settings};

/// A checked configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// Where clients connect; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// Where health and figures are told over HTTP.
    pub admin: Option<SocketAddr>,
    /// Seed of the module's chance; none for one from the system.
    pub seed: Option<u64>,
    /// The login at the engines.
    pub user: String,
    /// The database at the engines.
    pub database: String,
    /// What the module is handed.
    pub settings: Settings,
    /// The names that the module's numbers stand for.
    pub names: Names,
    /// How a query finds its class.
    pub route: Route,
    /// Engines named in the file itself.
    pub engines: Vec<EngineAt>,
    /// Where the engine list is kept, if elsewhere.
    pub registry: Option<Registry>,
    /// Files in which it is kept, if so.
    pub members: Option<Members>,
    /// The other controllers.
    pub peers: Option<Peers>,
    /// How the controllers find out how many they are, if they do.
    pub gossip: Option<Gossip>,
    /// Where all that the driver is told and answers is recorded, if at all.
    pub capture: Option<Capture>,
    /// What is bounded by number and size.
    pub limits: Limits,
    /// What is bounded by time.
    pub timing: Timing,
}

/// Names by position.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Classes; the last is that of descriptions, which has no name of its own in the file.
    pub classes: Vec<String>,
    /// Tenants.
    pub tenants: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Kinds of machine.
    pub kinds: Vec<String>,
}

/// An engine and where it listens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineAt {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone, by position; `usize::MAX` where it has none.
    pub zone: usize,
    /// Its kind, by position.
    pub kind: usize,
    /// Its cell.
    pub cell: i64,
}

/// How a query finds its class: its own hint, the session's, the first selector that matches, or the default.
#[derive(Clone, Debug)]
pub struct Route {
    /// The class of what nothing else tells of.
    pub default_class: usize,
    /// The class of descriptions, which run nothing.
    pub describe_class: usize,
    /// In turn.
    pub selectors: Vec<Selector>,
}

/// Matches if all that it names does.
#[derive(Clone, Debug)]
pub struct Selector {
    /// The login.
    pub user: Option<String>,
    /// The database.
    pub database: Option<String>,
    /// The application's name.
    pub application: Option<String>,
    /// Found in the text.
    pub pattern: Option<regex::Regex>,
    /// The class of what matches.
    pub class: usize,
}

/// How the list is kept fresh.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refresh {
    /// A call waits at the registry until something changes.
    Watch,
    /// The list is asked for again and again.
    Poll,
}

/// A registry that keeps the engine list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Registry {
    /// Where it listens.
    pub address: SocketAddr,
    /// How it is asked.
    pub refresh: Refresh,
    /// Between two calls, and after a failed one.
    pub every: Micros,
}

/// Words to other controllers that are found by gossip, in bytes a second at most.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Words {
    /// To each,
    pub each: u64,
    /// and to all together.
    pub all: u64,
}

/// The other controllers, where they are not found by gossip.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peers {
    /// Where this one listens.
    pub listen: SocketAddr,
    /// Where the others do.
    pub addresses: Vec<SocketAddr>,
}

/// How controllers find out how many they are.
#[derive(Clone, Debug, PartialEq)]
pub struct Gossip {
    /// Where this one listens; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// Where the others reach it, if addresses are translated on the way; else where it listens. Its datagrams come to them from
    /// there, and its number is this address's rank.
    pub advertise: Option<SocketAddr>,
    /// Whom to ask first.
    pub seeds: Vec<SocketAddr>,
    /// The file of the keys.
    pub keys: std::path::PathBuf,
    /// One member is probed so often.
    pub period: Micros,
    /// Who says that one that fell silent counts no more: more than half of all, after `hold`, or only an operator.
    pub quorum: bool,
    /// One that fell silent counts for so long at least where a quorum may forget it.
    pub hold: Micros,
    /// At the start, at least `count` are gone by for so long.
    pub settle: Micros,
    /// Words for the others ride on it, within these bounds; none do if controllers send no messages.
    pub words: Option<Words>,
}

/// Files of engines that are watched.
#[derive(Clone, Debug, PartialEq)]
pub struct Members {
    /// Files, directories, and patterns with `*` in their last part.
    pub files: Vec<std::path::PathBuf>,
    /// Where the set in force is kept, for a start without a good file.
    pub last_good: Option<std::path::PathBuf>,
    /// Files must have stood still for so long.
    pub settle: Micros,
    /// They are read so often, whatever the system tells of changes.
    pub poll: Micros,
    /// At most this share of the capacity goes at once without a word.
    pub most_lost: f64,
    /// A set that takes away more is taken after so long; none: when its file says that it is confirmed.
    pub hold: Option<Micros>,
    /// An id may come back at another address only so long after it was gone.
    pub reuse_after: Micros,
    /// A registry beside that was not heard for so long says nothing.
    pub registry_age: Micros,
}

/// How a controller records what its driver is told and answers.
#[derive(Clone, Debug, PartialEq)]
pub struct Capture {
    /// The first file; later ones are named after it.
    pub file: std::path::PathBuf,
    /// Bytes of a file, after which the next one begins.
    pub segment: u64,
    /// Bytes of all files together, after which the oldest goes.
    pub keep: u64,
    /// The whole state is written so often.
    pub checkpoint: Micros,
    /// What was written is made durable so often.
    pub sync: Micros,
    /// Blocks that wait to be written; one more is dropped.
    pub queue: usize,
    /// In memory alone, until there is a reason to keep it; none writes always.
    pub ring: Option<Ring>,
}

/// A capture in memory, and the reasons to keep it.
#[derive(Clone, Debug, PartialEq)]
pub struct Ring {
    /// Bytes held.
    pub memory: u64,
    /// So far back, if the bytes suffice.
    pub span: Micros,
    /// An engine set aside is a reason.
    pub set_aside: bool,
    /// More than this share of the queries of the window refused is one.
    pub refusals: f64,
    /// The window.
    pub window: Micros,
    /// A controller that stood still for so long is one.
    pub stall: Micros,
    /// What follows a reason for so long is kept too.
    pub after: Micros,
    /// The next reason counts so much later.
    pub rest: Micros,
}

/// What is bounded by number and size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Client connections; one more is told so and closed.
    pub clients: usize,
    /// Queries held; one more is refused.
    pub queries: usize,
    /// Bytes of a client's message; a longer one ends its connection.
    pub message: usize,
    /// Prepared statements of a session.
    pub statements: usize,
    /// Bytes of the prepared statements of a session, and of a batch.
    pub prepared: usize,
    /// Bytes on their way to one client; no more are read from the engine until some have left.
    pub buffer: usize,
    /// Sessions with one engine; an attempt that finds none free is told as turned away.
    pub sessions: usize,
    /// Connections that wait to be accepted.
    pub backlog: u32,
}

/// What is bounded by time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// The final answer leaves so long before the client gives up.
    pub answer_margin: Micros,
    /// Until an engine must be connected and let us in.
    pub connect: Micros,
    /// Until a client must have introduced itself.
    pub startup: Micros,
    /// An engine that has begun an answer and sends nothing for so long is lost.
    pub stall: Micros,
    /// A withdrawn attempt that the engine does not confirm counts as ended after this.
    pub withdraw: Micros,
    /// An unused session with an engine is closed after this.
    pub session_idle: Micros,
    /// After a request to stop, clients get so long to finish.
    pub drain: Micros,
    /// Until a probe must be answered.
    pub probe: Micros,
}

/// The number of an engine: the same for the same name at every controller.
pub fn engine_id(name: &str) -> EngineId {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    EngineId(name.bytes().fold(0xcbf2_9ce4_8422_2325, step))
}
