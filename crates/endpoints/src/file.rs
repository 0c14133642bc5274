//! The TOML format of an engine file.
//!
//! The last table of a file, `[end]`, contains the number of engines. A file truncated at any byte lacks this table, the right
//! number or the final newline, so truncation is always detected.

use crate::{status_name, EngineRecord, EngineSet, MAX_ENGINES, MAX_LIST_BYTES};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use toml::Spanned;
use wheelfield::interface::{EngineEntry, Micros, Status};
use wheelfield_config::{engine_id, ConfigError, Names};

type Located<T> = Spanned<T>;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FileTables {
    version: Located<u64>,
    #[serde(default)]
    confirmed: bool,
    #[serde(default)]
    kept_us: Option<i64>,
    #[serde(default)]
    engines: Vec<Located<EngineTable>>,
    end: Option<Located<EndTable>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct EndTable {
    engines: Located<usize>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct EngineTable {
    id: Located<String>,
    address: Located<String>,
    zone: Option<Located<String>>,
    kind: Located<String>,
    #[serde(default)]
    cell: i64,
    #[serde(default)]
    status: Option<Located<EngineStatus>>,
    /// An alternative to `status = "draining"`; an error if `status` is `up`.
    #[serde(default)]
    draining: Option<Located<bool>>,
    cores: Option<Located<toml::Value>>,
    started_us: Option<Located<i64>>,
}

#[derive(Clone, Copy, Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
enum EngineStatus {
    Up,
    Draining,
    Removed,
}

/// The zones and kinds that a file may name, and the number of cores of each kind.
#[derive(Clone, Debug, Default)]
pub struct Topology {
    /// The names of zones and kinds. An engine's zone and kind are positions in these lists.
    pub names: Names,
    /// The number of cores of each kind, by position.
    pub cores: Vec<f64>,
    /// Adds unknown zones and kinds to the names instead of reporting an error, for use without a configuration.
    pub accept_unknown_names: bool,
}

impl Topology {
    fn zone_index(&mut self, name: &str) -> Option<usize> {
        find_or_add(&mut self.names.zones, name, self.accept_unknown_names)
    }

    fn kind_index(&mut self, name: &str) -> Option<usize> {
        find_or_add(&mut self.names.kinds, name, self.accept_unknown_names)
    }
}

fn find_or_add(all: &mut Vec<String>, name: &str, accept_unknown: bool) -> Option<usize> {
    let found = all.iter().position(|n| n == name);
    if found.is_none() && accept_unknown {
        all.push(name.to_string());
        return Some(all.len() - 1);
    }
    found
}

/// The contents of an engine file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineFile {
    /// The engine set.
    pub set: EngineSet,
    /// The operator confirms the change, however much capacity it removes.
    pub confirmed: bool,
    /// The wall clock time at which the set was saved as the last good set, if this is such a file.
    pub saved_at: Option<Micros>,
}

/// A file name and its text, for errors with a position.
struct Source<'a> {
    file: &'a str,
    text: &'a str,
}

impl Source<'_> {
    fn error<T>(
        &self,
        at: &Located<T>,
        problem: impl Into<String>,
        suggestion: impl Into<String>,
    ) -> ConfigError {
        ConfigError::at(self.file, self.text, at.span().start, problem, suggestion)
    }
}

/// Parses a file and checks everything that does not depend on other files or on the active set. `file` is the name in errors.
///
/// # Errors
/// The first error, with line and column.
pub fn parse(file: &str, text: &str, topology: &mut Topology) -> Result<EngineFile, ConfigError> {
    if text.len() > MAX_LIST_BYTES {
        let problem = format!("the file has {} bytes; the limit is {MAX_LIST_BYTES}", text.len());
        return Err(ConfigError::at(file, text, 0, problem, "split it into several files of one pattern"));
    }
    let parsed: FileTables = toml::from_str(text).map_err(|e| ConfigError::from_toml(file, text, &e))?;
    let source = Source { file, text };
    let last = text.len().saturating_sub(1);
    let suggestion = "end the file with an [end] table that gives the number of engines as `engines = N`";
    let Some(end) = &parsed.end else {
        return Err(ConfigError::at(file, text, last, "no [end] table: the file is incomplete", suggestion));
    };
    let (stated, found) = (*end.get_ref().engines.get_ref(), parsed.engines.len());
    if stated != found {
        let problem =
            format!("[end] says {stated} engines, but {found} are listed: truncated, or edited only in part");
        return Err(source.error(&end.get_ref().engines, problem, "write the number of engines there"));
    }
    // A table after [end] is the rest of a longer file that was overwritten in place.
    let after_end = parsed.engines.iter().find(|e| e.span().start > end.span().start);
    if let Some(engine) = after_end {
        return Err(source.error(engine, "an engine after [end]", "move [end] to the end of the file"));
    }
    if !text.ends_with('\n') {
        let suggestion = "end the last line with a newline";
        return Err(ConfigError::at(file, text, last, "the last line has no newline", suggestion));
    }
    if found == 0 {
        return Err(source.error(end, "no engines are listed", "list at least one, or stop the controllers"));
    }
    if found > MAX_ENGINES {
        return Err(source.error(end, format!("{found} engines; the limit is {MAX_ENGINES}"), "list fewer"));
    }
    if *parsed.version.get_ref() == 0 {
        return Err(source.error(&parsed.version, "version 0", "start at 1; increase it with every change"));
    }
    let mut set = EngineSet { version: *parsed.version.get_ref(), engines: BTreeMap::new() };
    let mut addresses: BTreeMap<SocketAddr, String> = BTreeMap::new();
    for table in &parsed.engines {
        let record = parse_engine(&source, table, topology)?;
        let at = &table.get_ref().id;
        if let Some(other) = addresses.insert(record.address, record.name.clone()) {
            if other != record.name {
                let problem = format!("`{}` and `{other}` have address {}", record.name, record.address);
                return Err(source.error(&table.get_ref().address, problem, "change or remove one of them"));
            }
        }
        let name = record.name.clone();
        if set.engines.insert(record.entry.engine, record).is_some() {
            return Err(source.error(at, format!("`{name}` is listed twice"), "remove one of the entries"));
        }
    }
    Ok(EngineFile { set, confirmed: parsed.confirmed, saved_at: parsed.kept_us.map(Micros) })
}

fn parse_engine(
    source: &Source<'_>,
    table: &Located<EngineTable>,
    topology: &mut Topology,
) -> Result<EngineRecord, ConfigError> {
    let fields = table.get_ref();
    let name = fields.id.get_ref();
    let is_allowed = |ch: char| ch.is_ascii_alphanumeric() || matches!(ch, '-' | '_' | '.' | ':');
    if name.is_empty() || name.len() > 64 || !name.chars().all(is_allowed) {
        let suggestion = "use 1 to 64 letters, digits, `-`, `_`, `.` and `:`";
        return Err(source.error(&fields.id, format!("`{name}` is not a valid id"), suggestion));
    }
    let text = fields.address.get_ref();
    let address: SocketAddr = text.parse().map_err(|_| {
        let suggestion = "write an address and a port, such as \"127.0.0.1:5501\"";
        source.error(&fields.address, format!("`{text}` is not an address with a port"), suggestion)
    })?;
    if !address.ip().is_loopback() || address.port() == 0 {
        let problem =
            format!("`{address}` is not a loopback address with a port; other addresses are rejected, as engines require no password");
        return Err(source.error(&fields.address, problem, "use an address of 127.0.0.0/8 and a port"));
    }
    let zone = match &fields.zone {
        None => usize::MAX,
        Some(at) => topology.zone_index(at.get_ref()).ok_or_else(|| {
            let known_names = topology.names.zones.join(", ");
            source.error(at, format!("no zone is named `{}`", at.get_ref()), format!("known: {known_names}"))
        })?,
    };
    let kind = topology.kind_index(fields.kind.get_ref()).ok_or_else(|| {
        let known_names = topology.names.kinds.join(", ");
        source.error(
            &fields.kind,
            format!("no kind is named `{}`", fields.kind.get_ref()),
            format!("known: {known_names}"),
        )
    })?;
    if let Some(at) = &fields.cores {
        check_cores(source, at, topology.cores.get(kind).copied())?;
    }
    let status = match (&fields.status, &fields.draining) {
        (Some(s), Some(d)) if *d.get_ref() && *s.get_ref() == EngineStatus::Up => {
            let problem = format!("`{name}` is up and draining at once");
            return Err(source.error(d, problem, "keep `status` only"));
        }
        (None, Some(d)) if *d.get_ref() => Status::Draining,
        (s, _) => match s.as_ref().map(|s| *s.get_ref()) {
            None | Some(EngineStatus::Up) => Status::Up,
            Some(EngineStatus::Draining) => Status::Draining,
            Some(EngineStatus::Removed) => Status::Removed,
        },
    };
    let started_at = match &fields.started_us {
        // A time before 2001 or after 2200 is taken for a value in another unit.
        Some(at) if !(1_000_000_000_000_000..7_300_000_000_000_000).contains(at.get_ref()) => {
            let problem = format!("started_us is {} microseconds since 1970", at.get_ref());
            return Err(source.error(
                at,
                problem,
                "write the start time in microseconds, which has 16 digits",
            ));
        }
        at => at.as_ref().map(|at| Micros(*at.get_ref())),
    };
    let entry = EngineEntry { engine: engine_id(name), zone, kind, cell: fields.cell, status, started_at };
    Ok(EngineRecord { name: name.clone(), address, entry })
}

/// Checks the optional `cores` of an engine, which must equal the number of cores of its kind.
fn check_cores(
    source: &Source<'_>,
    at: &Located<toml::Value>,
    cores_of_kind: Option<f64>,
) -> Result<(), ConfigError> {
    let stated = match at.get_ref() {
        toml::Value::Integer(n) => *n as f64,
        toml::Value::Float(x) => *x,
        toml::Value::String(text) => {
            let milli = text.strip_suffix('m').and_then(|n| n.parse::<f64>().ok());
            let problem = format!("cores is `{text}`, which is not a number");
            let suggestion =
                milli.map_or("write the number of cores".to_string(), |n| format!("write {}", n / 1e3));
            return Err(source.error(at, problem, suggestion));
        }
        other => {
            return Err(source.error(
                at,
                format!("cores is {other}, which is not a number"),
                "write the number of cores",
            ))
        }
    };
    if !(0.1..=1024.0).contains(&stated) {
        let suggestion = if (1_025.0..1_024_000.0).contains(&stated) {
            format!("if this is in thousandths, write {}", stated / 1e3)
        } else {
            "write a number from 0.1 to 1024".to_string()
        };
        return Err(source.error(at, format!("cores is {stated}, which is out of range"), suggestion));
    }
    match cores_of_kind {
        Some(kind) if (stated - kind).abs() > 1e-9 => {
            let problem = format!("cores is {stated}, but the engine's kind has {kind}");
            Err(source.error(at, problem, "name another kind, or omit `cores`"))
        }
        _ => Ok(()),
    }
}

/// Formats an engine file, with the engines in the order of their names.
pub fn serialize(file: &EngineFile, topology: &Topology) -> String {
    let mut out = format!("version = {}\n", file.set.version);
    if file.confirmed {
        out.push_str("confirmed = true\n");
    }
    if let Some(saved_at) = file.saved_at {
        let _ = writeln!(out, "kept_us = {}", saved_at.0);
    }
    let mut engines: Vec<&EngineRecord> = file.set.engines.values().collect();
    engines.sort_by(|a, b| a.name.cmp(&b.name));
    for k in engines {
        let e = &k.entry;
        let _ = write!(out, "\n[[engines]]\nid = {:?}\naddress = \"{}\"\n", k.name, k.address);
        if let Some(zone) = topology.names.zones.get(e.zone) {
            let _ = writeln!(out, "zone = {zone:?}");
        }
        if let Some(kind) = topology.names.kinds.get(e.kind) {
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
