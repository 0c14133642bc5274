//! When what files hold is taken as the set in force. Readings go in, a verdict comes out; no I/O and no clock.
//!
//! A reading is the bytes of all files. It is looked at only when it stood still: equal bytes in two readings some time
//! apart. Times of files are not asked, as they come late or not at all on some file systems.

use crate::file::{parse, serialize, EngineFile, Topology};
use crate::{EngineSet, MAX_ENGINES, MAX_LIST_BYTES};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use wheelfield::interface::{EngineId, Micros, Status};
use wheelfield_config::ConfigError;

/// What is asked of a candidate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ActivationPolicy {
    /// It must have stood still for so long.
    pub settle_time: Micros,
    /// It may take away at most this share of the capacity at once.
    pub max_lost_fraction: f64,
    /// One that takes away more is taken after it stood for so long; none: only if its file says `confirmed = true`.
    pub hold: Option<Micros>,
    /// An id may come back at another address only so long after it was gone.
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

/// One file of a reading: its name, and its text or why there is none.
pub type Reading = (String, Result<String, String>);

/// What comes of a reading.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// It is what is in force.
    Same,
    /// It is to be read again at this time.
    Settling(Micros),
    /// It is sound, but takes away too much: why, and when it is taken if it still stands.
    Held(String, Option<Micros>),
    /// It is not taken; what is in force stays. The flag says that this was not told of these bytes before.
    Refused(ConfigError, bool),
    /// It is the set in force now.
    Swap(EngineSet),
}

/// Keeps the set in force.
#[derive(Clone, Debug)]
pub struct Activator {
    policy: ActivationPolicy,
    places: Topology,
    current: Option<EngineSet>,
    /// It was kept by a process before this one: engines may have moved since, and nobody here knows them yet.
    from_before: bool,
    /// Of each file in force: its version and sum.
    files: BTreeMap<String, (u64, u64)>,
    /// What was read last, and since when it stands.
    seen: Option<(u64, Micros)>,
    /// Bytes that were refused, by their sum.
    refused: Option<(u64, ConfigError)>,
    held_since: Option<(u64, Micros)>,
    /// Where engines were that are gone, and since when.
    gone: BTreeMap<EngineId, (SocketAddr, Micros)>,
}

/// A number that stands for bytes: their length and sum.
fn sum(text: &str) -> u64 {
    (text.len() as u64) << 32 | u64::from(crc32fast::hash(text.as_bytes()))
}

fn sum_of(reading: &[Reading]) -> u64 {
    let mut all = crc32fast::Hasher::new();
    let mut length = 0u64;
    for (name, text) in reading {
        let bytes = match text {
            Ok(text) => text.as_bytes(),
            Err(why) => why.as_bytes(),
        };
        all.update(name.as_bytes());
        all.update(&(bytes.len() as u64).to_be_bytes());
        all.update(bytes);
        length += bytes.len() as u64;
    }
    length << 32 | u64::from(all.finalize())
}

impl Activator {
    /// An activator with nothing in force.
    pub fn new(policy: ActivationPolicy, places: Topology) -> Activator {
        Activator {
            policy,
            places,
            current: None,
            from_before: false,
            files: BTreeMap::new(),
            seen: None,
            refused: None,
            held_since: None,
            gone: BTreeMap::new(),
        }
    }

    /// The set in force.
    pub fn current(&self) -> Option<&EngineSet> {
        self.current.as_ref()
    }

    /// Why what the files hold is not in force, if it is not.
    pub fn fault(&self) -> Option<&ConfigError> {
        self.refused.as_ref().map(|(_, fault)| fault)
    }

    /// Takes up a set that was kept before, where there is none yet. Any version of a file may follow it.
    pub fn take_up(&mut self, kept: EngineSet) {
        if self.current.is_none() {
            (self.current, self.from_before) = (Some(kept), true);
        }
    }

    /// The set in force as text, to be kept.
    pub fn to_keep(&self, now: Micros) -> Option<String> {
        let set = self.current.clone()?;
        Some(serialize(&EngineFile { set, confirmed: false, saved_at: Some(now) }, &self.places))
    }

    /// Looks at a reading. Equal readings may come as often as they like.
    pub fn look(&mut self, now: Micros, reading: &[Reading]) -> Verdict {
        let sum = sum_of(reading);
        let since = match self.seen {
            Some((seen, since)) if seen == sum => since,
            _ => {
                self.seen = Some((sum, now));
                now
            }
        };
        if self.in_force(reading) {
            (self.refused, self.held_since) = (None, None);
            return Verdict::Same;
        }
        // A clock that ran backwards settles nothing for ever: it counts anew.
        if now < since {
            self.seen = Some((sum, now));
            return Verdict::Settling(now + self.policy.settle_time);
        }
        if now - since < self.policy.settle_time {
            return Verdict::Settling(since + self.policy.settle_time);
        }
        if let Some((refused, fault)) = &self.refused {
            if *refused == sum {
                return Verdict::Refused(fault.clone(), false);
            }
        }
        match self.judge(now, sum, reading) {
            Ok(verdict) => verdict,
            Err(fault) => {
                (self.refused, self.held_since) = (Some((sum, fault.clone())), None);
                Verdict::Refused(fault, true)
            }
        }
    }

    fn in_force(&self, reading: &[Reading]) -> bool {
        let same = |(name, text): &Reading| {
            text.as_ref().is_ok_and(|t| self.files.get(name).is_some_and(|(_, s)| *s == sum(t)))
        };
        !reading.is_empty() && reading.len() == self.files.len() && reading.iter().all(same)
    }

    fn judge(&mut self, now: Micros, sum_now: u64, reading: &[Reading]) -> Result<Verdict, ConfigError> {
        if reading.is_empty() {
            let mend = "write one where the configuration looks for it";
            return Err(ConfigError::at("engines", "", 0, "there is no file of engines", mend));
        }
        let whole: usize = reading.iter().filter_map(|(_, t)| t.as_ref().ok()).map(String::len).sum();
        if whole > MAX_LIST_BYTES {
            let fault = format!("{whole} bytes in all files, {MAX_LIST_BYTES} at most");
            return Err(ConfigError::at(&reading[0].0, "", 0, fault, "name fewer engines"));
        }
        let mut places = self.places.clone();
        let (mut candidate, mut files) = (EngineSet::default(), BTreeMap::new());
        let mut confirmed = true;
        let mut owners: BTreeMap<EngineId, &str> = BTreeMap::new();
        let mut addresses: BTreeMap<SocketAddr, String> = BTreeMap::new();
        for (name, text) in reading {
            let text = text.as_ref().map_err(|why| {
                ConfigError::at(
                    name,
                    "",
                    0,
                    format!("it can't be read: {why}"),
                    "write it anew, readable to this user",
                )
            })?;
            let found = parse(name, text, &mut places)?;
            self.version_rises(name, text, &found)?;
            let place = |what: &str| text.find(&format!("{what:?}")).unwrap_or(0);
            for (id, known) in found.set.engines {
                if let Some(other) = owners.insert(id, name) {
                    let fault = format!("`{}` is in {other} too", known.name);
                    return Err(ConfigError::at(
                        name,
                        text,
                        place(&known.name),
                        fault,
                        "keep it in one file",
                    ));
                }
                let taken = addresses.insert(known.address, known.name.clone());
                if let Some(other) = taken {
                    let fault = format!("`{other}` has the address of `{}`, {}", known.name, known.address);
                    return Err(ConfigError::at(name, text, place(&known.name), fault, "give each its own"));
                }
                self.address_stays(now, name, text, place(&known.name), &known)?;
                candidate.engines.insert(id, known);
            }
            candidate.version += found.set.version;
            confirmed &= found.confirmed;
            files.insert(name.clone(), (found.set.version, sum(text)));
        }
        if candidate.engines.len() > MAX_ENGINES {
            let fault = format!("{} engines in all files, {MAX_ENGINES} at most", candidate.engines.len());
            return Err(ConfigError::at(&reading[0].0, "", 0, fault, "name fewer"));
        }
        if let Some(held) = self.too_much_lost(now, sum_now, &candidate, confirmed) {
            return Ok(held);
        }
        Ok(self.swap(now, candidate, files))
    }

    /// A file that changed must say so by its version.
    fn version_rises(&self, name: &str, text: &str, found: &EngineFile) -> Result<(), ConfigError> {
        let version = found.set.version;
        let Some((old, old_sum)) = self.files.get(name) else { return Ok(()) };
        let at = text.find("version").unwrap_or(0);
        if version < *old {
            let fault = format!("version {version}, and {old} is in force: an old file came back");
            return Err(ConfigError::at(
                name,
                text,
                at,
                fault,
                format!("write version = {} if it is meant", old + 1),
            ));
        }
        if version == *old && *old_sum != sum(text) {
            let fault = format!("changed, but its version is still {version}");
            return Err(ConfigError::at(name, text, at, fault, format!("write version = {}", old + 1)));
        }
        Ok(())
    }

    /// An id means one engine: at another address it is another one, of which nothing is known.
    fn address_stays(
        &self,
        now: Micros,
        file: &str,
        text: &str,
        at: usize,
        known: &crate::EngineRecord,
    ) -> Result<(), ConfigError> {
        let id = known.entry.engine;
        let in_force = self.current.as_ref().filter(|_| !self.from_before).and_then(|c| c.engines.get(&id));
        let old = match in_force {
            Some(old) => Some(old.address),
            None => self
                .gone
                .get(&id)
                .filter(|(_, since)| now - *since < self.policy.id_reuse_delay)
                .map(|(address, _)| *address),
        };
        match old {
            Some(old) if old != known.address => {
                let fault = format!("`{}` was at {old} and would be at {} now", known.name, known.address);
                Err(ConfigError::at(file, text, at, fault, "give the new engine an id of its own"))
            }
            _ => Ok(()),
        }
    }

    fn too_much_lost(
        &mut self,
        now: Micros,
        sum: u64,
        candidate: &EngineSet,
        confirmed: bool,
    ) -> Option<Verdict> {
        let had = self.current.as_ref()?.capacity(&self.places.cores);
        let cores = &self.places.cores;
        // What is left of what was there: fresh engines are cold, and make up for nothing yet.
        let stays = |k: &&crate::EngineRecord| {
            let old = self.current.as_ref().and_then(|c| c.engines.get(&k.entry.engine));
            k.entry.status == Status::Up && old.is_some_and(|o| o.entry.status == Status::Up)
        };
        let left: f64 = candidate
            .engines
            .values()
            .filter(stays)
            .map(|k| cores.get(k.entry.kind).copied().unwrap_or(1.0))
            .sum();
        let lost = if had > 0.0 { 1.0 - left / had } else { 0.0 };
        if lost <= self.policy.max_lost_fraction || confirmed {
            return None;
        }
        let since = match self.held_since {
            Some((held, since)) if held == sum && since <= now => since,
            _ => {
                self.held_since = Some((sum, now));
                now
            }
        };
        let until = self.policy.hold.map(|hold| since + hold);
        if until.is_some_and(|until| now >= until) {
            return None;
        }
        let why = format!("{:.0}% of the capacity in force would be gone at once", lost * 100.0);
        Some(Verdict::Held(why, until))
    }

    fn swap(&mut self, now: Micros, set: EngineSet, files: BTreeMap<String, (u64, u64)>) -> Verdict {
        let reuse = self.policy.id_reuse_delay;
        self.gone.retain(|_, (_, since)| now - *since < reuse);
        if let Some(old) = &self.current {
            let lost = old.engines.iter().filter(|(id, _)| !set.engines.contains_key(id));
            self.gone.extend(lost.map(|(id, k)| (*id, (k.address, now))));
        }
        for id in set.engines.keys() {
            self.gone.remove(id);
        }
        (self.refused, self.held_since) = (None, None);
        self.files = files;
        (self.current, self.from_before) = (Some(set.clone()), false);
        Verdict::Swap(set)
    }
}
