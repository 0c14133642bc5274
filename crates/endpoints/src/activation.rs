//! Decides when the contents of the engine files become the active engine set, without I/O or a clock.
//!
//! The input is the text of all files, read repeatedly. It is evaluated only once it is stable, which means that reads some
//! time apart returned equal bytes. Modification times are not used, because some file systems update them late or never.

use crate::file::{parse, serialize, EngineFile, Topology};
use crate::{EngineSet, MAX_ENGINES, MAX_LIST_BYTES};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use wheelfield::interface::{EngineId, Micros};
use wheelfield_config::ConfigError;

/// The conditions under which a candidate set becomes active.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ActivationPolicy {
    /// How long the files must be unchanged before they are evaluated.
    pub settle_time: Micros,
    /// The maximum fraction of the active capacity that a change may remove at once.
    pub max_lost_fraction: f64,
    /// How long a change that removes more must be unchanged before it becomes active. With `None` it becomes active only if
    /// the file contains `confirmed = true`.
    pub hold: Option<Micros>,
    /// How long after its removal an id may be used again with another address.
    pub id_reuse_delay: Micros,
}

impl Default for ActivationPolicy {
    fn default() -> Self {
        ActivationPolicy {
            settle_time: Micros(100_000),
            max_lost_fraction: 0.5,
            hold: None,
            id_reuse_delay: Micros(600_000_000),
        }
    }
}

/// The name of a file, and its text or the reason why it cannot be read.
pub type FileContent = (String, Result<String, String>);

/// The result of evaluating the files.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The files are those of the active set.
    Unchanged,
    /// The files changed recently; read them again at this time.
    Settling(Micros),
    /// The files are valid, but would remove too much capacity: the reason, and when they become active if they stay unchanged.
    Held(String, Option<Micros>),
    /// The files are invalid, and the active set stays. The flag is true the first time this is reported for these contents.
    Rejected(ConfigError, bool),
    /// The files are valid, and this is now the active set.
    Activated(EngineSet),
}

/// Holds the active set and evaluates the files against it.
#[derive(Clone, Debug)]
pub struct Activator {
    policy: ActivationPolicy,
    topology: Topology,
    current: Option<EngineSet>,
    /// Whether `current` was saved by an earlier process. Engines may have changed their addresses since, so the addresses of
    /// this set are not compared with those of the next one.
    is_restored: bool,
    /// The version and checksum of each file of the active set.
    files: BTreeMap<String, (u64, u64)>,
    /// The checksum of the contents read last, and when they were first read.
    last_read: Option<(u64, Micros)>,
    /// The checksum of the contents rejected last, and why.
    rejected: Option<(u64, ConfigError)>,
    /// The checksum of the held contents, and since when they are held.
    held_since: Option<(u64, Micros)>,
    /// The addresses of removed engines, and when they were removed.
    removed: BTreeMap<EngineId, (SocketAddr, Micros)>,
}

/// A checksum of a text: its length and CRC-32.
fn checksum_of(text: &str) -> u64 {
    (text.len() as u64) << 32 | u64::from(crc32fast::hash(text.as_bytes()))
}

fn checksum_of_all(contents: &[FileContent]) -> u64 {
    let mut hasher = crc32fast::Hasher::new();
    let mut length = 0u64;
    for (name, text) in contents {
        let bytes = match text {
            Ok(text) => text.as_bytes(),
            Err(why) => why.as_bytes(),
        };
        hasher.update(name.as_bytes());
        hasher.update(&(bytes.len() as u64).to_be_bytes());
        hasher.update(bytes);
        length += bytes.len() as u64;
    }
    length << 32 | u64::from(hasher.finalize())
}

impl Activator {
    /// Creates an activator without an active set.
    pub fn new(policy: ActivationPolicy, topology: Topology) -> Activator {
        Activator {
            policy,
            topology,
            current: None,
            is_restored: false,
            files: BTreeMap::new(),
            last_read: None,
            rejected: None,
            held_since: None,
            removed: BTreeMap::new(),
        }
    }

    /// The active set.
    pub fn current(&self) -> Option<&EngineSet> {
        self.current.as_ref()
    }

    /// Why the contents of the files were rejected, if they were.
    pub fn fault(&self) -> Option<&ConfigError> {
        self.rejected.as_ref().map(|(_, fault)| fault)
    }

    /// Activates a set saved by an earlier process, unless a set is active already. A file of any version may replace it.
    pub fn restore(&mut self, saved: EngineSet) {
        if self.current.is_none() {
            (self.current, self.is_restored) = (Some(saved), true);
        }
    }

    /// The active set as the text of a file, to be saved as the last good set.
    pub fn serialize_current(&self, now: Micros) -> Option<String> {
        let set = self.current.clone()?;
        Some(serialize(&EngineFile { set, confirmed: false, saved_at: Some(now) }, &self.topology))
    }

    /// Evaluates the contents of the files as read at `now`. It may be called with the same contents any number of times.
    pub fn evaluate(&mut self, now: Micros, contents: &[FileContent]) -> Verdict {
        let checksum = checksum_of_all(contents);
        let since = match self.last_read {
            Some((last_checksum, since)) if last_checksum == checksum => since,
            _ => {
                self.last_read = Some((checksum, now));
                now
            }
        };
        if self.is_active(contents) {
            (self.rejected, self.held_since) = (None, None);
            return Verdict::Unchanged;
        }
        // The clock went backwards: the settle time starts again, as it would otherwise not end before the clock catches up.
        if now < since {
            self.last_read = Some((checksum, now));
            return Verdict::Settling(now + self.policy.settle_time);
        }
        if now - since < self.policy.settle_time {
            return Verdict::Settling(since + self.policy.settle_time);
        }
        if let Some((rejected, fault)) = &self.rejected {
            if *rejected == checksum {
                return Verdict::Rejected(fault.clone(), false);
            }
        }
        match self.evaluate_stable(now, checksum, contents) {
            Ok(verdict) => verdict,
            Err(fault) => {
                (self.rejected, self.held_since) = (Some((checksum, fault.clone())), None);
                Verdict::Rejected(fault, true)
            }
        }
    }

    fn is_active(&self, contents: &[FileContent]) -> bool {
        let is_unchanged = |(name, text): &FileContent| {
            text.as_ref().is_ok_and(|t| self.files.get(name).is_some_and(|(_, s)| *s == checksum_of(t)))
        };
        !contents.is_empty() && contents.len() == self.files.len() && contents.iter().all(is_unchanged)
    }

    fn evaluate_stable(
        &mut self,
        now: Micros,
        checksum: u64,
        contents: &[FileContent],
    ) -> Result<Verdict, ConfigError> {
        if contents.is_empty() {
            let suggestion = "create one at the configured path";
            return Err(ConfigError::at("engines", "", 0, "there is no engine file", suggestion));
        }
        let total_bytes: usize = contents.iter().filter_map(|(_, t)| t.as_ref().ok()).map(String::len).sum();
        if total_bytes > MAX_LIST_BYTES {
            let problem = format!("{total_bytes} bytes in all files; the limit is {MAX_LIST_BYTES}");
            return Err(ConfigError::at(&contents[0].0, "", 0, problem, "list fewer engines"));
        }
        let mut topology = self.topology.clone();
        let (mut candidate, mut files) = (EngineSet::default(), BTreeMap::new());
        let mut confirmed = true;
        let mut owners: BTreeMap<EngineId, &str> = BTreeMap::new();
        let mut addresses: BTreeMap<SocketAddr, String> = BTreeMap::new();
        for (name, text) in contents {
            let text = text.as_ref().map_err(|why| {
                ConfigError::at(name, "", 0, format!("cannot be read: {why}"), "make the file readable")
            })?;
            let parsed = parse(name, text, &mut topology)?;
            self.check_version(name, text, &parsed)?;
            let offset = |id: &str| text.find(&format!("{id:?}")).unwrap_or(0);
            for (id, record) in parsed.set.engines {
                if let Some(other) = owners.insert(id, name) {
                    let problem = format!("`{}` is also in {other}", record.name);
                    return Err(ConfigError::at(
                        name,
                        text,
                        offset(&record.name),
                        problem,
                        "list it in one file only",
                    ));
                }
                let previous = addresses.insert(record.address, record.name.clone());
                if let Some(other) = previous {
                    let problem = format!("`{other}` and `{}` have address {}", record.name, record.address);
                    return Err(ConfigError::at(name, text, offset(&record.name), problem, "choose another"));
                }
                self.check_address(now, name, text, offset(&record.name), &record)?;
                candidate.engines.insert(id, record);
            }
            candidate.version += parsed.set.version;
            confirmed &= parsed.confirmed;
            files.insert(name.clone(), (parsed.set.version, checksum_of(text)));
        }
        if candidate.engines.len() > MAX_ENGINES {
            let problem =
                format!("{} engines in all files; the limit is {MAX_ENGINES}", candidate.engines.len());
            return Err(ConfigError::at(&contents[0].0, "", 0, problem, "list fewer engines"));
        }
        if let Some(held) = self.check_capacity_loss(now, checksum, &candidate, confirmed) {
            return Ok(held);
        }
        Ok(self.activate(now, candidate, files))
    }

    /// Checks that a changed file has a higher version.
    fn check_version(&self, name: &str, text: &str, parsed: &EngineFile) -> Result<(), ConfigError> {
        let version = parsed.set.version;
        let Some((old, old_checksum)) = self.files.get(name) else { return Ok(()) };
        let at = text.find("version").unwrap_or(0);
        if version < *old {
            let problem = format!("version {version} is older than the active version {old}");
            return Err(ConfigError::at(
                name,
                text,
                at,
                problem,
                format!("write version = {} if this is intended", old + 1),
            ));
        }
        if version == *old && *old_checksum != checksum_of(text) {
            let problem = format!("the file changed, but its version is still {version}");
            return Err(ConfigError::at(name, text, at, problem, format!("write version = {}", old + 1)));
        }
        Ok(())
    }

    /// Checks that an id keeps its address. An id identifies one engine, and all that was learned about it would be wrong for
    /// another engine at another address.
    fn check_address(
        &self,
        now: Micros,
        file: &str,
        text: &str,
        at: usize,
        record: &crate::EngineRecord,
    ) -> Result<(), ConfigError> {
        let id = record.entry.engine;
        let active = self.current.as_ref().filter(|_| !self.is_restored).and_then(|c| c.engines.get(&id));
        let old = match active {
            Some(old) => Some(old.address),
            None => self
                .removed
                .get(&id)
                .filter(|(_, since)| now - *since < self.policy.id_reuse_delay)
                .map(|(address, _)| *address),
        };
        match old {
            Some(old) if old != record.address => {
                let problem =
                    format!("`{}` was at {old}, but is at {} in this file", record.name, record.address);
                Err(ConfigError::at(file, text, at, problem, "give the new engine an id of its own"))
            }
            _ => Ok(()),
        }
    }

    fn check_capacity_loss(
        &mut self,
        now: Micros,
        checksum: u64,
        candidate: &EngineSet,
        confirmed: bool,
    ) -> Option<Verdict> {
        let lost_fraction = self.current.as_ref()?.lost_fraction(candidate, &self.topology.cores);
        if lost_fraction <= self.policy.max_lost_fraction || confirmed {
            return None;
        }
        let since = match self.held_since {
            Some((held_checksum, since)) if held_checksum == checksum && since <= now => since,
            _ => {
                self.held_since = Some((checksum, now));
                now
            }
        };
        let until = self.policy.hold.map(|hold| since + hold);
        if until.is_some_and(|until| now >= until) {
            return None;
        }
        let why = format!("{:.0}% of the active capacity would be removed at once", lost_fraction * 100.0);
        Some(Verdict::Held(why, until))
    }

    fn activate(&mut self, now: Micros, set: EngineSet, files: BTreeMap<String, (u64, u64)>) -> Verdict {
        let reuse_delay = self.policy.id_reuse_delay;
        self.removed.retain(|_, (_, since)| now - *since < reuse_delay);
        if let Some(old) = &self.current {
            let removed = old.engines.iter().filter(|(id, _)| !set.engines.contains_key(id));
            self.removed.extend(removed.map(|(id, k)| (*id, (k.address, now))));
        }
        for id in set.engines.keys() {
            self.removed.remove(id);
        }
        (self.rejected, self.held_since) = (None, None);
        self.files = files;
        (self.current, self.is_restored) = (Some(set.clone()), false);
        Verdict::Activated(set)
    }
}
