//! From the file as written to settings that hold together.

use crate::fault::Fault;
use crate::file::{self, Dedup, File, Reports, WhenShort};
use crate::units::{Size, Time};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use toml::Spanned;
use wheelfield::interface::{
    Class, DeduplicationScope, EngineId, ExecutionSemantics, Micros, RetryBudget, Settings,
};

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

struct Checker<'a> {
    file: &'a str,
    text: &'a str,
}

type Checked<T> = Result<T, Fault>;

impl Checker<'_> {
    fn wrong<T>(&self, at: &Spanned<T>, fault: impl Into<String>, mend: impl Into<String>) -> Fault {
        Fault::at(self.file, self.text, at.span().start, fault, mend)
    }

    fn address(&self, at: &Spanned<String>) -> Checked<SocketAddr> {
        let address: SocketAddr = at.get_ref().parse().map_err(|_| {
            let mend = "write an address and a port, such as \"127.0.0.1:6432\"";
            self.wrong(at, format!("`{}` is no address", at.get_ref()), mend)
        })?;
        if !address.ip().is_loopback() {
            let fault = format!("`{address}` is not a loopback address, and nobody is asked for a password");
            return Err(self.wrong(at, fault, "use an address of 127.0.0.0/8"));
        }
        Ok(address)
    }

    fn known(&self, names: &[String], at: &Spanned<String>, what: &str) -> Checked<usize> {
        names.iter().position(|n| n == at.get_ref()).ok_or_else(|| {
            let mend = if names.is_empty() { format!("name the {what}s first") } else { names.join(", ") };
            self.wrong(at, format!("no {what} is named `{}`", at.get_ref()), format!("known: {mend}"))
        })
    }

    fn unlike(&self, names: &mut Vec<String>, at: &Spanned<String>, what: &str) -> Checked<()> {
        if at.get_ref().is_empty() {
            return Err(self.wrong(at, format!("a {what} without a name"), "give it one"));
        }
        if names.contains(at.get_ref()) {
            return Err(self.wrong(
                at,
                format!("the {what} `{}` is named twice", at.get_ref()),
                "rename one",
            ));
        }
        names.push(at.get_ref().clone());
        Ok(())
    }

    fn within(&self, at: &Spanned<f64>, what: &str, low: f64, high: f64) -> Checked<f64> {
        let x = *at.get_ref();
        if x.is_finite() && (low..=high).contains(&x) {
            return Ok(x);
        }
        Err(self.wrong(at, format!("{what} is {x}"), format!("write a number from {low} to {high}")))
    }

    fn some(&self, at: &Spanned<Time>, what: &str) -> Checked<Micros> {
        match at.get_ref().0 {
            time if time.0 > 0 => Ok(time),
            _ => Err(self.wrong(at, format!("{what} is no time at all"), "write one above 0")),
        }
    }

    fn class(&self, class: &Spanned<file::Class>, zones: &[String], kinds: &[String]) -> Checked<Class> {
        let c = class.get_ref();
        let (aim, deadline) = (self.some(&c.aim, "aim")?, self.some(&c.deadline, "deadline")?);
        if aim > deadline {
            let fault = format!("class `{}` is wanted after its clients have given up", c.name.get_ref());
            return Err(self.wrong(&c.aim, fault, "make `aim` at most `deadline`"));
        }
        let by_key = c.effect == file::Effect::ByKey;
        if let Some(dedup) = c.dedup.as_ref().filter(|_| !by_key) {
            let mend = "remove `dedup`, or write effect = \"by_key\"";
            return Err(self.wrong(dedup, "`dedup` goes with effect = \"by_key\" alone", mend));
        }
        if by_key && c.window.is_none() {
            let fault = format!(
                "class `{}` is by key, but for how long repeats are dropped is not said",
                c.name.get_ref()
            );
            return Err(self.wrong(class, fault, "add `window`, such as \"5s\""));
        }
        if let Some(window) = c.window.as_ref().filter(|_| !by_key) {
            let mend = "remove `window`, or write effect = \"by_key\"";
            return Err(self.wrong(window, "`window` goes with effect = \"by_key\" alone", mend));
        }
        let open = |names: &[String], to: &[Spanned<String>], what| {
            to.iter().map(|at| self.known(names, at, what)).collect::<Checked<Vec<usize>>>()
        };
        Ok(Class {
            latency_objective: aim,
            latency_objective_stretch: c.aim_stretch.max(0.0),
            deadline,
            value: c.worth.unwrap_or(1.0).max(0.0),
            late_value_fraction: c.late_worth.clamp(0.0, 1.0),
            semantics: match c.effect {
                file::Effect::Repeatable => ExecutionSemantics::Idempotent,
                file::Effect::ByKey => ExecutionSemantics::IdempotencyKey,
                file::Effect::Once => ExecutionSemantics::AtMostOnce,
            },
            deduplication_scope: match c.dedup.as_ref().map(Spanned::get_ref) {
                Some(Dedup::Zone) => DeduplicationScope::Zone,
                Some(Dedup::Cell) => DeduplicationScope::Cell,
                Some(Dedup::All) | None => DeduplicationScope::All,
            },
            deduplication_window: c.window.as_ref().map_or(Micros(0), |w| w.get_ref().0),
            ordered_by_key: c.in_order,
            kinds: open(kinds, &c.kinds, "kind")?,
            zones: open(zones, &c.zones, "zone")?,
            no_engine_permitted: false,
            threads: c.threads.as_ref().map_or(Ok(1.0), |t| self.within(t, "threads", 1.0, 1024.0))?,
            is_load: c.load,
            waits_for_loads: c.waits_for_loads,
        })
    }

    fn selector(&self, select: &Spanned<file::Select>, classes: &[String]) -> Checked<Selector> {
        let s = select.get_ref();
        if s.user.is_none() && s.database.is_none() && s.application.is_none() && s.pattern.is_none() {
            let mend = "name a user, a database, an application or a pattern, or use `default_class`";
            return Err(self.wrong(select, "a selector that matches everything", mend));
        }
        let regex = |at: &Spanned<String>| {
            regex::RegexBuilder::new(at.get_ref()).size_limit(1 << 18).build().map_err(|e| {
                let last = e.to_string().lines().last().unwrap_or("").trim().to_string();
                self.wrong(at, format!("a pattern that can't be read: {last}"), "write a regular expression")
            })
        };
        Ok(Selector {
            user: s.user.clone(),
            database: s.database.clone(),
            application: s.application.clone(),
            pattern: s.pattern.as_ref().map(regex).transpose()?,
            class: self.known(classes, &s.class, "class")?,
        })
    }

    fn engines(&self, file: &File, names: &Names) -> Checked<Vec<EngineAt>> {
        let (mut engines, mut seen, mut places) = (Vec::new(), Vec::new(), BTreeSet::new());
        for engine in &file.engines {
            let e = engine.get_ref();
            self.unlike(&mut seen, &e.id, "engine")?;
            let address = self.address(&e.address)?;
            if !places.insert(address) {
                let fault = format!("two engines listen at `{address}`");
                return Err(self.wrong(&e.address, fault, "give each its own address"));
            }
            engines.push(EngineAt {
                name: e.id.get_ref().clone(),
                address,
                zone: e.zone.as_ref().map_or(Ok(usize::MAX), |z| self.known(&names.zones, z, "zone"))?,
                kind: self.known(&names.kinds, &e.kind, "kind")?,
                cell: e.cell,
            });
        }
        Ok(engines)
    }

    fn limits(&self, l: &file::Limits) -> Checked<Limits> {
        let number = |at: &Option<Spanned<u32>>, usual: u32, high: u32, what: &str| match at {
            None => Ok(usual as usize),
            Some(at) if (1..=high).contains(at.get_ref()) => Ok(*at.get_ref() as usize),
            Some(at) => {
                let fault = format!("`{what}` is {}", at.get_ref());
                Err(self.wrong(at, fault, format!("write a number from 1 to {high}")))
            }
        };
        let size = |at: &Option<Spanned<crate::units::Size>>, usual: u64, low: u64, what: &str| match at {
            None => Ok(usual as usize),
            Some(at) if (low..=1 << 30).contains(&at.get_ref().0) => Ok(at.get_ref().0 as usize),
            Some(at) => {
                let fault = format!("`{what}` is {} bytes", at.get_ref().0);
                Err(self.wrong(at, fault, format!("write a size from {low} bytes to 1GB")))
            }
        };
        Ok(Limits {
            clients: number(&l.clients, 12_000, 1_000_000, "clients")?,
            queries: number(&l.queries, 20_000, 1_000_000, "queries")?,
            message: size(&l.message, 1 << 20, 1024, "message")?,
            statements: number(&l.statements, 256, 100_000, "statements")?,
            prepared: size(&l.prepared, 4 << 20, 4096, "prepared")?,
            buffer: size(&l.buffer, 256 << 10, 4096, "buffer")?,
            sessions: number(&l.sessions, 200, 100_000, "sessions")?,
            backlog: number(&l.backlog, 1024, 65_535, "backlog")? as u32,
        })
    }

    fn words(&self, p: Option<&file::Peers>) -> Checked<Words> {
        let size = |at: Option<&Spanned<Size>>, usual: u64| match at {
            // Less than a datagram a second would let none go.
            Some(at) if at.get_ref().0 < 2_000 => {
                Err(self.wrong(at, "less than a datagram a second", "write 2KB or more"))
            }
            at => Ok(at.map_or(usual, |at| at.get_ref().0)),
        };
        Ok(Words {
            each: size(p.and_then(|p| p.most_each.as_ref()), 16 << 10)?,
            all: size(p.and_then(|p| p.most.as_ref()), 1 << 20)?,
        })
    }

    fn gossip(&self, g: &file::Gossip, words: Option<Words>) -> Checked<Gossip> {
        let time = |at: &Option<Spanned<Time>>, usual: i64, what: &str| match at {
            None => Ok(Micros(usual)),
            Some(at) => self.some(at, what),
        };
        if g.seeds.len() > 64 {
            let fault = format!("{} seeds", g.seeds.len());
            return Err(self.wrong(&g.seeds[64], fault, "name at most 64; they tell of the others"));
        }
        let gossip = Gossip {
            listen: self.address(&g.listen)?,
            advertise: g.advertise.as_ref().map(|a| self.address(a)).transpose()?,
            seeds: g.seeds.iter().map(|s| self.address(s)).collect::<Checked<Vec<_>>>()?,
            keys: g.keys.get_ref().into(),
            period: time(&g.period, 1_000_000, "period")?,
            quorum: g.forget == file::Forget::Quorum,
            hold: time(&g.hold, 600_000_000, "hold")?,
            settle: time(&g.settle, 30_000_000, "settle")?,
            words,
        };
        if let Some(at) = g.period.as_ref().filter(|_| gossip.period < Micros(10_000)) {
            return Err(self.wrong(at, "a period under 10ms", "write one of 100ms to 10s"));
        }
        if let Some(at) = g.hold.as_ref().filter(|_| gossip.hold < gossip.period + gossip.period) {
            let fault = "a member would be forgotten sooner than it can be missed";
            return Err(self.wrong(at, fault, "make `hold` many times `period`"));
        }
        if let Some(at) = g.advertise.as_ref().filter(|_| gossip.advertise.is_some_and(|a| a.port() == 0)) {
            return Err(self.wrong(
                at,
                "an advertised address without a port",
                "write where others reach this one",
            ));
        }
        Ok(gossip)
    }

    fn members(&self, m: &file::Members) -> Checked<Members> {
        let time = |at: &Option<Spanned<Time>>, usual: i64, what: &str| match at {
            None => Ok(Micros(usual)),
            Some(at) => self.some(at, what),
        };
        if m.files.get_ref().is_empty() {
            return Err(self.wrong(&m.files, "no file of engines is named", "name one, or a pattern"));
        }
        for file in m.files.get_ref() {
            let (dir, name) = file.get_ref().rsplit_once('/').unwrap_or(("", file.get_ref()));
            if dir.contains('*') || name.is_empty() {
                let fault = format!("`{}` is no file, directory or pattern", file.get_ref());
                return Err(self.wrong(file, fault, "write * in the last part alone, and no / at the end"));
            }
        }
        let most_lost = match &m.most_lost {
            None => 0.5,
            Some(at) if (0.0..=1.0).contains(at.get_ref()) => *at.get_ref(),
            Some(at) => {
                let fault = format!("{} is no share", at.get_ref());
                return Err(self.wrong(at, fault, "write one from 0 to 1"));
            }
        };
        Ok(Members {
            files: m.files.get_ref().iter().map(|f| f.get_ref().into()).collect(),
            last_good: m.last_good.as_ref().map(|f| f.get_ref().into()),
            settle: time(&m.settle, 100_000, "settle")?,
            poll: time(&m.poll, 5_000_000, "poll")?,
            most_lost,
            hold: m.hold.as_ref().map(|at| self.some(at, "hold")).transpose()?,
            reuse_after: time(&m.reuse_after, 600_000_000, "reuse_after")?,
            registry_age: time(&m.registry_age, 60_000_000, "registry_age")?,
        })
    }

    fn capture(&self, c: &file::Capture) -> Checked<Option<Capture>> {
        let size = |at: &Option<Spanned<crate::units::Size>>, usual: u64| match at {
            None => Ok(usual),
            Some(at) if at.get_ref().0 >= 1 << 20 => Ok(at.get_ref().0),
            Some(at) => Err(self.wrong(at, "under a megabyte", "write at least \"1MB\"")),
        };
        let time = |at: &Option<Spanned<Time>>, usual: i64, what: &str| match at {
            None => Ok(Micros(usual)),
            Some(at) => self.some(at, what),
        };
        if !c.file.get_ref().ends_with(".wfcap") {
            let fault = format!("a capture named `{}`", c.file.get_ref());
            return Err(self.wrong(&c.file, fault, "let its name end in .wfcap"));
        }
        let t = &c.triggers;
        let ring = Ring {
            memory: size(&c.memory, 64 << 20)?,
            span: time(&c.span, 600_000_000, "span")?,
            set_aside: t.set_aside.unwrap_or(true),
            refusals: match &t.refusals {
                None => 0.3,
                Some(at) if (0.0..=1.0).contains(at.get_ref()) => *at.get_ref(),
                Some(at) => {
                    let fault = format!("{} is no share", at.get_ref());
                    return Err(self.wrong(at, fault, "write one from 0 to 1; 1 is never reached"));
                }
            },
            window: time(&t.window, 10_000_000, "window")?,
            stall: time(&t.stall, 1_000_000, "stall")?,
            after: time(&t.after, 5_000_000, "after")?,
            rest: time(&t.rest, 300_000_000, "rest")?,
        };
        let capture = Capture {
            file: c.file.get_ref().into(),
            segment: size(&c.segment, 256 << 20)?,
            keep: size(&c.keep, 4 << 30)?,
            checkpoint: time(&c.checkpoint, 60_000_000, "checkpoint")?,
            sync: time(&c.sync, 1_000_000, "sync")?,
            queue: c.queue.as_ref().map_or(64, |n| (*n.get_ref()).clamp(2, 65_536) as usize),
            ring: (c.mode == file::CaptureMode::Ring).then_some(ring),
        };
        if capture.ring.is_none() && capture.keep < capture.segment {
            let mend = "make `keep` at least `segment`";
            return Err(self.wrong(&c.file, "`keep` is less than one file", mend));
        }
        Ok((c.mode != file::CaptureMode::Off).then_some(capture))
    }

    fn timing(&self, t: &file::Timing) -> Checked<Timing> {
        let time = |at: &Option<Spanned<Time>>, usual_ms: i64, what: &str| match at {
            None => Ok(Micros(usual_ms * 1000)),
            Some(at) => self.some(at, what),
        };
        Ok(Timing {
            answer_margin: time(&t.answer_margin, 50, "answer_margin")?,
            connect: time(&t.connect, 500, "connect")?,
            startup: time(&t.startup, 10_000, "startup")?,
            stall: time(&t.stall, 5_000, "stall")?,
            withdraw: time(&t.withdraw, 250, "withdraw")?,
            session_idle: time(&t.session_idle, 30_000, "session_idle")?,
            drain: time(&t.drain, 30_000, "drain")?,
            probe: time(&t.probe, 250, "probe")?,
        })
    }
}

/// Reads and checks a configuration. `name` is the file's, for the faults.
///
/// # Errors
/// The first [`Fault`] found.
#[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
pub fn parse(name: &str, text: &str) -> Result<Config, Fault> {
    let file: File = toml::from_str(text).map_err(|e| Fault::of_toml(name, text, &e))?;
    let c = Checker { file: name, text };
    let mut names = Names::default();
    let fleet = file.fleet.get_ref();
    for zone in &fleet.zones {
        c.unlike(&mut names.zones, zone, "zone")?;
    }
    let (mut cores, mut memory_mb) = (Vec::new(), Vec::new());
    for kind in fleet.kinds.get_ref() {
        let k = kind.get_ref();
        if names.kinds.contains(&k.name) {
            return Err(c.wrong(kind, format!("two kinds are named `{}`", k.name), "rename one"));
        }
        names.kinds.push(k.name.clone());
        cores.push(c.within(&k.cores, "cores", 1.0, 1024.0)?);
        let mb = k.memory.get_ref().0 as f64 / 1_048_576.0;
        if mb < 64.0 {
            return Err(c.wrong(
                &k.memory,
                format!("an engine with {mb} MB of memory"),
                "write at least \"64MB\"",
            ));
        }
        memory_mb.push(mb);
    }
    if names.kinds.is_empty() {
        return Err(c.wrong(&fleet.kinds, "no kind of machine is named", "add [[fleet.kinds]]"));
    }
    let mut classes = Vec::new();
    for class in file.classes.get_ref() {
        c.unlike(&mut names.classes, &class.get_ref().name, "class")?;
        classes.push(c.class(class, &names.zones, &names.kinds)?);
    }
    if classes.is_empty() {
        return Err(c.wrong(&file.classes, "no class of query is named", "add [[classes]]"));
    }
    for tenant in &file.tenants {
        c.unlike(&mut names.tenants, &tenant.get_ref().name, "tenant")?;
    }
    let default_class = match &file.route.default_class {
        Some(at) => c.known(&names.classes, at, "class")?,
        None => 0,
    };
    let selectors = file.route.select.iter().map(|s| c.selector(s, &names.classes));
    let selectors = selectors.collect::<Checked<Vec<Selector>>>()?;
    // Descriptions run nothing: they are a class of their own, so that they teach nothing about the others.
    let shortest = classes.iter().map(|c| c.latency_objective).min().unwrap_or(Micros(1_000_000));
    let deadline = classes[default_class].deadline.max(shortest);
    let describe_class = classes.len();
    classes.push(Class {
        latency_objective: shortest,
        deadline,
        late_value_fraction: 1.0,
        threads: 1.0,
        ..Class::default()
    });
    names.classes.push("describe".to_string());

    let count = file.controller.count.as_ref().map_or(1, |n| *n.get_ref());
    let index = file.controller.index.as_ref().map_or(0, |n| *n.get_ref());
    if let Some(at) = file.controller.count.as_ref().filter(|_| count == 0) {
        return Err(c.wrong(at, "no controller at all", "write at least 1"));
    }
    if let Some(at) = file.controller.index.as_ref().filter(|_| index >= count) {
        let fault = format!("`index` is {index}, but `count` is {count}");
        return Err(c.wrong(at, fault, "count controllers from 0, and tell in `count` how many there are"));
    }
    let zone = file.controller.zone.as_ref().map(|z| c.known(&names.zones, z, "zone")).transpose()?;
    let rules = file.rules.as_ref().map(Spanned::get_ref);
    let fraction = |at: Option<&Spanned<f64>>, what: &str, usual: f64, low: f64, high: f64| {
        at.map_or(Ok(usual), |at| c.within(at, what, low, high))
    };
    let budget = rules.and_then(|r| r.budget.as_ref());
    let attempt_budget = budget
        .map(|b| {
            Ok(RetryBudget {
                guaranteed: b.free.max(0.0),
                fraction: b.share.max(0.0),
                window: c.some(&b.span, "span")?,
            })
        })
        .transpose()?;
    let means = &file.means;
    let settings = Settings {
        gateway_count: f64::from(count),
        gateway_index: f64::from(index),
        zone,
        classes,
        tenant_rates: file.tenants.iter().map(|t| t.get_ref().allowance.max(0.0)).collect(),
        cores,
        memory_mb,
        max_grant_fraction: fraction(fleet.most_grant.as_ref(), "most_grant", 1.0, 0.01, 1.0)?,
        queues_on_memory_shortage: fleet.when_short == Some(WhenShort::Wait),
        pages_on_memory_shortage: fleet.when_short == Some(WhenShort::Page),
        memory_grants: means.grants,
        priorities: means.priorities,
        reports_work: file.signals.bills,
        progress_interval: file.signals.notes_every.unwrap_or_default().0,
        cancellation: means.cancel,
        peer_messages: means.messages,
        probe_price: file.prices.probe.max(0.0),
        message_price: file.prices.message.max(0.0),
        probes: means.probes,
        load_reports: file.signals.reports != Reports::None,
        reports_utilisation: file.signals.utilisation.unwrap_or(file.signals.reports != Reports::None),
        reports_by_probe: file.signals.reports == Reports::Probe,
        subscribe: means.subscribe,
        hedged_requests: means.second_copies,
        max_attempts: means.max_attempts as usize,
        max_retry_after: means.max_retry_after.0,
        cross_zone_price: file.prices.cross_zone.max(0.0),
        handshake_price: 0.0,
        connection_idle_timeout: Micros(0),
        slow_start_initial_fraction: fraction(
            rules.and_then(|r| r.cold_from.as_ref()),
            "cold_from",
            0.3,
            0.0,
            1.0,
        )?,
        slow_start_duration: rules.and_then(|r| r.cold_for).unwrap_or_default().0,
        overload_multiple: fraction(
            rules.and_then(|r| r.fall_multiple.as_ref()),
            "fall_multiple",
            0.0,
            0.0,
            100.0,
        )?,
        overload_window: rules.and_then(|r| r.fall_span).unwrap_or_default().0,
        key_cooldown: rules.and_then(|r| r.order_pause).unwrap_or_default().0,
        retry_budget: attempt_budget,
    };
    if let Some(rules) = file.rules.as_ref() {
        let cold = settings.overload_multiple > 0.0;
        if cold && (settings.slow_start_duration.0 == 0 || settings.overload_window.0 == 0) {
            let mend = "add `cold_for` and `fall_span`, or remove `fall_multiple`";
            return Err(c.wrong(
                rules,
                "`fall_multiple` without `cold_for` and `fall_span` guards nothing",
                mend,
            ));
        }
    }
    let ordered = settings.classes.iter().any(|c| c.ordered_by_key);
    if ordered && settings.key_cooldown.0 == 0 {
        let mend = "add `order_pause` under [rules], such as \"2s\"";
        return Err(c.wrong(
            &file.classes,
            "a class keeps order, but how long a key rests is not said",
            mend,
        ));
    }
    if settings.reports_by_probe && !settings.probes {
        let mend = "write probes = true under [means], or reports = \"none\" under [signals]";
        return Err(c.wrong(&file.fleet, "reports come by probe alone, but probes are not allowed", mend));
    }
    let engines = c.engines(&file, &names)?;
    let registry = file.registry.as_ref().map(|at| {
        let r = at.get_ref();
        Ok(Registry {
            address: c.address(&r.address)?,
            refresh: if r.mode == file::Mode::Watch { Refresh::Watch } else { Refresh::Poll },
            every: r.every.map_or(Micros(1_000_000), |t| t.0).max(Micros(1_000)),
        })
    });
    let registry = registry.transpose()?;
    if let Some(at) = file.registry.as_ref().filter(|_| !engines.is_empty()) {
        let mend = "keep either [registry] or [[engines]]";
        return Err(c.wrong(at, "engines are named here and kept in a registry too", mend));
    }
    let members = file.members.as_ref().map(|at| c.members(at.get_ref())).transpose()?;
    if let Some(at) = file.members.as_ref().filter(|_| !engines.is_empty()) {
        let mend = "keep either [members] or [[engines]]";
        return Err(c.wrong(at, "engines are named here and kept in files too", mend));
    }
    if registry.is_none() && members.is_none() && engines.is_empty() {
        return Err(c.wrong(
            &file.fleet,
            "no engine, no file of engines and no registry is named",
            "add [members], [registry] or [[engines]]",
        ));
    }
    let words = (file.gossip.is_some() && settings.peer_messages)
        .then(|| c.words(file.peers.as_ref().map(|at| at.get_ref())))
        .transpose()?;
    // Where there is gossip, nobody listens for words but it; builds before this one read the addresses.
    let listed = file.peers.as_ref().filter(|_| file.gossip.is_none());
    let peers = listed.map(|at| {
        let p = at.get_ref();
        let Some(listen) = &p.listen else {
            return Err(c.wrong(
                at,
                "no address to listen at",
                "add `listen`, or find the others by [gossip]",
            ));
        };
        let addresses = p.addresses.iter().map(|a| c.address(a)).collect::<Checked<Vec<_>>>()?;
        if addresses.len() >= 4096 {
            return Err(c.wrong(at, format!("{} peers", addresses.len()), "name at most 4095"));
        }
        Ok(Peers { listen: c.address(listen)?, addresses })
    });
    let peers = peers.transpose()?;
    if settings.peer_messages && peers.is_none() && file.gossip.is_none() {
        let mend = "add [gossip] or [peers], or write messages = false under [means]";
        return Err(c.wrong(&file.fleet, "controllers may send messages, but none is named", mend));
    }
    let address = |at: &Option<Spanned<String>>| at.as_ref().map(|at| c.address(at)).transpose();
    let timing = c.timing(&file.timing)?;
    if let Some(class) =
        file.classes.get_ref().iter().find(|x| x.get_ref().deadline.get_ref().0 <= timing.answer_margin)
    {
        let fault =
            format!("`deadline` of class `{}` is within `answer_margin`", class.get_ref().name.get_ref());
        return Err(c.wrong(class, fault, "shorten `answer_margin` under [timing]"));
    }
    Ok(Config {
        listen: address(&file.listen)?.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 6432))),
        admin: address(&file.admin)?,
        seed: file.seed,
        user: file.controller.user.clone().unwrap_or_else(|| "wheelfield".to_string()),
        database: file.controller.database.clone().unwrap_or_else(|| "wheelfield".to_string()),
        settings,
        names,
        route: Route { default_class, describe_class, selectors },
        engines,
        registry,
        members,
        gossip: file.gossip.as_ref().map(|at| c.gossip(at.get_ref(), words)).transpose()?,
        peers,
        capture: file.capture.as_ref().map(|at| c.capture(at.get_ref())).transpose()?.flatten(),
        limits: c.limits(&file.limits)?,
        timing,
    })
}
