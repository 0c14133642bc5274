//! A set of engines as TOML.
//!
//! A file says how many engines it holds in its last table, `[end]`. One that was torn lacks that, or has another number
//! there, at whichever byte it was torn.

use crate::{status_name, EngineRecord, EngineSet, MAX_ENGINES, MAX_LIST_BYTES};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use toml::Spanned;
use wheelfield::interface::{EngineEntry, Micros, Status};
use wheelfield_config::{engine_id, ConfigError, Names};

type At<T> = Spanned<T>;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    version: At<u64>,
    #[serde(default)]
    confirmed: bool,
    #[serde(default)]
    kept_us: Option<i64>,
    #[serde(default)]
    engines: Vec<At<Line>>,
    end: Option<At<End>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct End {
    engines: At<usize>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Line {
    id: At<String>,
    address: At<String>,
    zone: Option<At<String>>,
    kind: At<String>,
    #[serde(default)]
    cell: i64,
    #[serde(default)]
    status: Option<At<Standing>>,
    /// Contradicts `status = "up"`.
    #[serde(default)]
    draining: Option<At<bool>>,
    cores: Option<At<toml::Value>>,
    started_us: Option<At<i64>>,
}

#[derive(Clone, Copy, Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
enum Standing {
    Up,
    Draining,
    Removed,
}

/// What is known of places: names of zones and kinds, and the cores of each kind.
#[derive(Clone, Debug, Default)]
pub struct Topology {
    /// Names of zones and kinds.
    pub names: Names,
    /// Cores of each kind, by position.
    pub cores: Vec<f64>,
    /// Zones and kinds are those of the files themselves: none is unknown.
    pub accept_unknown_names: bool,
}

impl Topology {
    /// The number of a zone.
    fn zone(&mut self, name: &str) -> Option<usize> {
        position(&mut self.names.zones, name, self.accept_unknown_names)
    }

    fn kind(&mut self, name: &str) -> Option<usize> {
        position(&mut self.names.kinds, name, self.accept_unknown_names)
    }
}

fn position(all: &mut Vec<String>, name: &str, open: bool) -> Option<usize> {
    let found = all.iter().position(|n| n == name);
    if found.is_none() && open {
        all.push(name.to_string());
        return Some(all.len() - 1);
    }
    found
}

/// A file that was read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineFile {
    /// The set.
    pub set: EngineSet,
    /// Whoever wrote it means it, however much of the capacity is gone with it.
    pub confirmed: bool,
    /// When it was kept as the last good set, in microseconds of the wall clock, if it was.
    pub saved_at: Option<Micros>,
}

struct Checker<'a> {
    file: &'a str,
    text: &'a str,
}

impl Checker<'_> {
    fn wrong<T>(&self, at: &At<T>, fault: impl Into<String>, mend: impl Into<String>) -> ConfigError {
        ConfigError::at(self.file, self.text, at.span().start, fault, mend)
    }
}

/// Reads a file and checks all that can be seen of it alone.
///
/// # Errors
/// The first fault, by line and column.
pub fn parse(file: &str, text: &str, places: &mut Topology) -> Result<EngineFile, ConfigError> {
    if text.len() > MAX_LIST_BYTES {
        let fault = format!("{} bytes, {MAX_LIST_BYTES} at most", text.len());
        return Err(ConfigError::at(file, text, 0, fault, "split it, and name the parts by a pattern"));
    }
    let parsed: File = toml::from_str(text).map_err(|e| ConfigError::from_toml(file, text, &e))?;
    let c = Checker { file, text };
    let last = text.len().saturating_sub(1);
    let mend = "end the file with a table [end] that says `engines = ` and their number";
    let Some(end) = &parsed.end else {
        return Err(ConfigError::at(
            file,
            text,
            last,
            "no [end]: the file is torn, or not all of it is written",
            mend,
        ));
    };
    let (said, found) = (*end.get_ref().engines.get_ref(), parsed.engines.len());
    if said != found {
        let fault =
            format!("[end] says {said} engines, and {found} are here: the file is torn, or edited in part");
        return Err(c.wrong(&end.get_ref().engines, fault, "write their number there"));
    }
    // Behind [end], a further table would be one that a torn rewriting left.
    let behind = parsed.engines.iter().find(|e| e.span().start > end.span().start);
    if let Some(engine) = behind {
        return Err(c.wrong(engine, "an engine behind [end]", "move [end] to the end of the file"));
    }
    if !text.ends_with('\n') {
        let mend = "end the last line";
        return Err(ConfigError::at(file, text, last, "the last line is not whole", mend));
    }
    if found == 0 {
        return Err(c.wrong(end, "no engine at all", "name at least one; to stop all, stop the controllers"));
    }
    if found > MAX_ENGINES {
        return Err(c.wrong(end, format!("{found} engines, {MAX_ENGINES} at most"), "name fewer"));
    }
    if *parsed.version.get_ref() == 0 {
        return Err(c.wrong(&parsed.version, "version 0", "count from 1, and raise it with every change"));
    }
    let mut set = EngineSet { version: *parsed.version.get_ref(), engines: BTreeMap::new() };
    let mut addresses: BTreeMap<SocketAddr, String> = BTreeMap::new();
    for line in &parsed.engines {
        let known = engine(&c, line, places)?;
        let at = &line.get_ref().id;
        if let Some(other) = addresses.insert(known.address, known.name.clone()) {
            if other != known.name {
                let fault = format!("`{}` and `{other}` have one address, {}", known.name, known.address);
                return Err(c.wrong(&line.get_ref().address, fault, "give each its own, or remove one"));
            }
        }
        let name = known.name.clone();
        if set.engines.insert(known.entry.engine, known).is_some() {
            return Err(c.wrong(at, format!("`{name}` is named twice"), "remove one"));
        }
    }
    Ok(EngineFile { set, confirmed: parsed.confirmed, saved_at: parsed.kept_us.map(Micros) })
}

fn engine(c: &Checker<'_>, line: &At<Line>, places: &mut Topology) -> Result<EngineRecord, ConfigError> {
    let l = line.get_ref();
    let name = l.id.get_ref();
    let plain = |ch: char| ch.is_ascii_alphanumeric() || matches!(ch, '-' | '_' | '.' | ':');
    if name.is_empty() || name.len() > 64 || !name.chars().all(plain) {
        let mend = "1 to 64 of letters, digits, - _ . and :";
        return Err(c.wrong(&l.id, format!("`{name}` is no id"), mend));
    }
    let text = l.address.get_ref();
    let address: SocketAddr = text.parse().map_err(|_| {
        let mend = "write an address and a port, such as \"127.0.0.1:5501\"";
        c.wrong(&l.address, format!("`{text}` is no address"), mend)
    })?;
    if !address.ip().is_loopback() || address.port() == 0 {
        let fault =
            format!("`{address}` is not a port on a loopback address, and engines are asked for no password");
        return Err(c.wrong(&l.address, fault, "use an address of 127.0.0.0/8 and a port"));
    }
    let zone = match &l.zone {
        None => usize::MAX,
        Some(at) => places.zone(at.get_ref()).ok_or_else(|| {
            let known = places.names.zones.join(", ");
            c.wrong(at, format!("no zone is named `{}`", at.get_ref()), format!("known: {known}"))
        })?,
    };
    let kind = places.kind(l.kind.get_ref()).ok_or_else(|| {
        let known = places.names.kinds.join(", ");
        c.wrong(&l.kind, format!("no kind is named `{}`", l.kind.get_ref()), format!("known: {known}"))
    })?;
    if let Some(at) = &l.cores {
        cores(c, at, places.cores.get(kind).copied())?;
    }
    let status = match (&l.status, &l.draining) {
        (Some(s), Some(d)) if *d.get_ref() && *s.get_ref() == Standing::Up => {
            let fault = format!("`{name}` is up and draining at once");
            return Err(c.wrong(d, fault, "keep `status` alone"));
        }
        (None, Some(d)) if *d.get_ref() => Status::Draining,
        (s, _) => match s.as_ref().map(|s| *s.get_ref()) {
            None | Some(Standing::Up) => Status::Up,
            Some(Standing::Draining) => Status::Draining,
            Some(Standing::Removed) => Status::Removed,
        },
    };
    let started = match &l.started_us {
        // Before 2001 or after 2200 it is in another unit.
        Some(at) if !(1_000_000_000_000_000..7_300_000_000_000_000).contains(at.get_ref()) => {
            let fault = format!("a last start at {} microseconds since 1970", at.get_ref());
            return Err(c.wrong(at, fault, "write microseconds, sixteen digits"));
        }
        at => at.as_ref().map(|at| Micros(*at.get_ref())),
    };
    let entry =
        EngineEntry { engine: engine_id(name), zone, kind, cell: l.cell, status, started_at: started };
    Ok(EngineRecord { name: name.clone(), address, entry })
}

/// Cores, where they are written, must be those of the kind.
fn cores(c: &Checker<'_>, at: &At<toml::Value>, of_kind: Option<f64>) -> Result<(), ConfigError> {
    let said = match at.get_ref() {
        toml::Value::Integer(n) => *n as f64,
        toml::Value::Float(x) => *x,
        toml::Value::String(text) => {
            let milli = text.strip_suffix('m').and_then(|n| n.parse::<f64>().ok());
            let fault = format!("cores are `{text}`, which is no number");
            let mend = milli.map_or("write a number of cores".to_string(), |n| format!("write {}", n / 1e3));
            return Err(c.wrong(at, fault, mend));
        }
        other => return Err(c.wrong(at, format!("cores are {other}"), "write a number of cores")),
    };
    if !(0.1..=1024.0).contains(&said) {
        let mend = if (1_025.0..1_024_000.0).contains(&said) {
            format!("in thousandths? write {}", said / 1e3)
        } else {
            "write 0.1 to 1024".to_string()
        };
        return Err(c.wrong(at, format!("cores are {said}"), mend));
    }
    match of_kind {
        Some(kind) if (said - kind).abs() > 1e-9 => {
            let fault = format!("cores are {said}, those of its kind {kind}");
            Err(c.wrong(at, fault, "name another kind, or leave `cores` out"))
        }
        _ => Ok(()),
    }
}

/// Writes a set as a file, in order of names.
pub fn serialize(file: &EngineFile, places: &Topology) -> String {
    let mut out = format!("version = {}\n", file.set.version);
    if file.confirmed {
        out.push_str("confirmed = true\n");
    }
    if let Some(kept) = file.saved_at {
        let _ = writeln!(out, "kept_us = {}", kept.0);
    }
    let mut engines: Vec<&EngineRecord> = file.set.engines.values().collect();
    engines.sort_by(|a, b| a.name.cmp(&b.name));
    for k in engines {
        let e = &k.entry;
        let _ = write!(out, "\n[[engines]]\nid = {:?}\naddress = \"{}\"\n", k.name, k.address);
        if let Some(zone) = places.names.zones.get(e.zone) {
            let _ = writeln!(out, "zone = {zone:?}");
        }
        if let Some(kind) = places.names.kinds.get(e.kind) {
            let _ = writeln!(out, "kind = {kind:?}");
        }
        if e.cell != 0 {
            let _ = writeln!(out, "cell = {}", e.cell);
        }
        if e.status != Status::Up {
            let _ = writeln!(out, "status = \"{}\"", status_name(e.status));
        }
        if let Some(started) = e.started_at {
            let _ = writeln!(out, "started_us = {}", started.0);
        }
    }
    let _ = write!(out, "\n[end]\nengines = {}\n", file.set.engines.len());
    out
}
