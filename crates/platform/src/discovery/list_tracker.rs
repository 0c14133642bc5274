//! Decides which of the lists that the name service sends is in force.
//!
//! A list has the number of the last event that it contains. Numbers of one name service that serves one process are compared: a
//! higher number is a newer list. The number alone is not trusted, because a list can have a number of another series, such as the
//! one of an earlier process of this controller, or of a name service that has begun anew. Such a number may be too high, so that all
//! right lists seem to be older, or equal to that of a different list. A list is therefore confirmed by a second answer with the same
//! number and content. One that was not confirmed gives way to lower numbers that repeat.
//!
//! Whether a list is accepted or not, an executor that it reports as draining gets no new requests until a later answer confirms that
//! the list in force, in which it is not draining, is current.

use crate::bootstrap::{BootstrapConfig, ExecutorEndpoint};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use wheelfield::interface::Status;

/// Time after which a name service that has answered only with numbers below that of a confirmed list is assumed to use its own
/// numbering, in microseconds. Before that, its list may merely be outdated: a name service publishes a change within 4.5 seconds.
const LOWER_SERIAL_TIMEOUT_US: i64 = 5_000_000;
/// Time for which a name service may lag behind, in microseconds.
const MAX_LAG_US: i64 = 4_500_000;
/// Number of answers in a row that contradict an unconfirmed list and replace it.
const MIN_CONTRADICTIONS: u32 = 2;
/// Number of answers that confirm a list after others have contradicted it, without one that contradicts it between them.
const MIN_AGREEMENTS: u32 = 2;
/// Number of answers in a row with a list that was given up, after which it is in force again.
const MIN_RETURNS: u32 = 4;

/// Maximum number of removed executors that are remembered.
const MAX_REMOVED_NAMES: usize = 1_024;

/// A list of executors with its serial number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NumberedList {
    /// Number of the last event that the list contains.
    pub serial: u64,
    /// The executors.
    pub executors: Vec<ExecutorEndpoint>,
}

impl NumberedList {
    /// The list that a configuration contains.
    pub fn initial(config: &BootstrapConfig) -> NumberedList {
        NumberedList {
            serial: config.serial,
            executors: config.executors.clone(),
        }
    }

    /// Whether requests may go to the same executors at the same addresses by both lists.
    fn has_same_executors(&self, other: &NumberedList) -> bool {
        self.executors == other.executors || self.routes() == other.routes()
    }

    /// The address and the status of each executor, by name.
    fn routes(&self) -> BTreeMap<&str, (SocketAddr, Status)> {
        let executors = self.executors.iter();
        executors
            .map(|e| (e.name.as_str(), (e.address, e.status)))
            .collect()
    }

    /// The names of the executors that accept new requests.
    fn ready_names(&self) -> BTreeSet<&str> {
        let ready = self.executors.iter().filter(|e| e.status == Status::Up);
        ready.map(|e| e.name.as_str()).collect()
    }
}

/// What an answer means for the list in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListVerdict {
    /// The answer contains the list in force.
    Confirmed,
    /// The list of the answer is in force from now on.
    Replaced,
    /// The number is lower than that of the list in force, which stays.
    Older,
    /// The number is that of the list in force, which stays, but the executors are different.
    Conflicting,
}

/// Answers of the current name service that contradict the list in force, without one that confirms it between them.
#[derive(Clone, Debug)]
struct Contradictions {
    /// Time of the first one, in microseconds.
    since: i64,
    /// Number of the last ones that have the same list.
    repetitions: u32,
    last: NumberedList,
}

/// The list in force.
#[derive(Debug)]
pub struct ListTracker {
    list: NumberedList,
    /// Whether the configuration or a second answer has confirmed the list.
    is_confirmed: bool,
    contradictions: Option<Contradictions>,
    /// Number of answers that contained the list since it was last contradicted.
    agreements: u32,
    /// The last list that was given up for one with a lower number, and the number of answers with it since another one.
    given_up: Option<(NumberedList, u32)>,
    /// Executors that get no new requests although the list says that they are ready, until an answer confirms the list at or after
    /// this time, in microseconds.
    suspected: BTreeMap<String, i64>,
    /// Executors that an earlier list contained and the list in force does not, the latest last.
    removed: VecDeque<String>,
    /// Number of changes of the list or of the suspected executors.
    revision: u64,
}

impl ListTracker {
    /// Starts with the list of the configuration.
    pub fn new(list: NumberedList) -> ListTracker {
        ListTracker {
            list,
            is_confirmed: true,
            contradictions: None,
            agreements: 0,
            given_up: None,
            suspected: BTreeMap::new(),
            removed: VecDeque::new(),
            revision: 0,
        }
    }

    /// Serial number of the list in force.
    pub fn serial(&self) -> u64 {
        self.list.serial
    }

    /// A number that changes with the result of [`ListTracker::executors`].
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The executors of the list in force, as the name service reported them.
    pub fn listed(&self) -> &[ExecutorEndpoint] {
        &self.list.executors
    }

    /// Whether these executors include all that are listed.
    pub fn is_covered_by(&self, executors: &[ExecutorEndpoint]) -> bool {
        let names: BTreeSet<&str> = executors.iter().map(|e| e.name.as_str()).collect();
        let mut listed = self.list.executors.iter();
        listed.all(|executor| names.contains(executor.name.as_str()))
    }

    /// The list in force. Executors that must not get new requests are draining in it.
    pub fn executors(&self) -> Vec<ExecutorEndpoint> {
        let mut executors = self.list.executors.clone();
        for executor in &mut executors {
            if executor.status == Status::Up && self.suspected.contains_key(&executor.name) {
                executor.status = Status::Draining;
            }
        }
        executors
    }

    /// Handles the list of an answer that arrived at `now`. Contradictions count only if they come from the name service that is in
    /// use, as others may be out of date.
    pub fn handle_list(
        &mut self,
        now: i64,
        list: NumberedList,
        is_service_in_use: bool,
    ) -> ListVerdict {
        if list.serial > self.list.serial {
            if self.is_given_up(&list) {
                self.suspect_draining(&list);
                return ListVerdict::Conflicting;
            }
            self.replace(list, is_service_in_use);
            return ListVerdict::Replaced;
        }
        if list.serial == self.list.serial && list.has_same_executors(&self.list) {
            self.confirm(now, is_service_in_use);
            return ListVerdict::Confirmed;
        }
        let contradicted = is_service_in_use.then(|| self.record_contradiction(now, &list));
        match contradicted {
            Some(true) if list.serial < self.list.serial => {
                self.return_to(now, list);
                ListVerdict::Replaced
            }
            Some(true) => {
                self.replace(list, is_service_in_use);
                ListVerdict::Replaced
            }
            _ => {
                self.suspect_draining(&list);
                match list.serial < self.list.serial {
                    true => ListVerdict::Older,
                    false => ListVerdict::Conflicting,
                }
            }
        }
    }

    /// Forgets the contradictions, which came from a name service that is no longer in use.
    pub fn forget_contradictions(&mut self) {
        self.contradictions = None;
    }

    /// Suspects each executor that is draining in this list.
    fn suspect_draining(&mut self, list: &NumberedList) {
        let draining = list.executors.iter().filter(|e| e.status != Status::Up);
        self.suspect(draining.map(|e| e.name.clone()).collect());
    }

    /// Stops new requests to these executors until an answer confirms the list.
    pub fn suspect(&mut self, names: Vec<String>) {
        let ready = self.list.ready_names();
        let names: Vec<String> = names
            .into_iter()
            .filter(|n| ready.contains(n.as_str()))
            .collect();
        let before = self.suspected.len();
        for name in names {
            self.suspected.entry(name).or_insert(i64::MIN);
        }
        self.revision += u64::from(self.suspected.len() != before);
    }

    /// Whether this list was given up, and has not returned often enough since.
    fn is_given_up(&mut self, list: &NumberedList) -> bool {
        let Some((given_up, returns)) = &mut self.given_up else {
            return false;
        };
        if given_up.serial != list.serial || !given_up.has_same_executors(list) {
            return false;
        }
        *returns += 1;
        *returns < MIN_RETURNS
    }

    /// Handles an answer that contains the list in force.
    pub fn confirm(&mut self, now: i64, is_service_in_use: bool) {
        self.agreements += 1;
        if let Some((_, returns)) = &mut self.given_up {
            *returns = 0;
        }
        let is_contested = !self.is_confirmed && self.contradictions.is_some();
        if is_contested && self.agreements < MIN_AGREEMENTS {
            return;
        }
        if is_service_in_use {
            self.contradictions = None;
        }
        if !self.is_confirmed {
            let listed = self.listed_names();
            self.removed.retain(|name| !listed.contains(name));
        }
        self.is_confirmed = true;
        let before = self.suspected.len();
        self.suspected.retain(|_, until| *until > now);
        self.revision += u64::from(self.suspected.len() != before);
    }

    /// Replaces the list. An executor that was draining or removed becomes ready only once the new list is confirmed.
    fn replace(&mut self, list: NumberedList, is_service_in_use: bool) {
        if is_service_in_use {
            self.contradictions = None;
        }
        let usable_before = self.usable_names();
        let before = std::mem::replace(&mut self.list, list);
        self.is_confirmed = false;
        self.agreements = 0;
        self.revision += 1;
        let removed_before = self.removed.iter().cloned();
        let listed_before = before.executors.iter().map(|e| e.name.clone());
        let unusable_before = removed_before
            .chain(listed_before)
            .filter(|name| !usable_before.contains(name));
        self.suspect(unusable_before.collect());
        self.remember_removed(before);
        let ready: BTreeSet<String> = self
            .list
            .ready_names()
            .into_iter()
            .map(String::from)
            .collect();
        self.suspected.retain(|name, _| ready.contains(name));
    }

    /// Returns to a list with a lower number. If the list that it replaces was never confirmed, it may yet be the right one, and the
    /// name service may lag behind: what it reported as draining or gone gets no new requests for as long as that may last.
    fn return_to(&mut self, now: i64, list: NumberedList) {
        let was_confirmed = self.is_confirmed;
        let ready_before = self.usable_names();
        self.given_up = Some((self.list.clone(), 0));
        self.replace(list, true);
        if was_confirmed {
            return;
        }
        let ready: Vec<String> = self
            .list
            .ready_names()
            .into_iter()
            .map(String::from)
            .collect();
        for name in ready
            .into_iter()
            .filter(|name| !ready_before.contains(name))
        {
            self.suspected.insert(name, now + MAX_LAG_US);
        }
    }

    /// Remembers the executors of the list before that are not in the list in force.
    fn remember_removed(&mut self, before: NumberedList) {
        let listed = self.listed_names();
        let names = before.executors.into_iter().map(|e| e.name);
        let removed: Vec<String> = names.filter(|name| !listed.contains(name)).collect();
        self.removed.retain(|name| !removed.contains(name));
        self.removed.extend(removed);
        let excess = self.removed.len().saturating_sub(MAX_REMOVED_NAMES);
        self.removed.drain(..excess);
    }

    fn listed_names(&self) -> BTreeSet<String> {
        self.list.executors.iter().map(|e| e.name.clone()).collect()
    }

    /// Whether a second answer, or the configuration, has confirmed the list.
    pub fn is_confirmed(&self) -> bool {
        self.is_confirmed
    }

    /// The names of the executors that get new requests.
    fn usable_names(&self) -> BTreeSet<String> {
        let ready = self.list.ready_names().into_iter();
        ready
            .filter(|name| !self.suspected.contains_key(*name))
            .map(String::from)
            .collect()
    }

    /// Records an answer that contradicts the list in force. Returns whether its list is to replace that.
    fn record_contradiction(&mut self, now: i64, list: &NumberedList) -> bool {
        self.agreements = 0;
        let contradictions = self.contradictions.get_or_insert_with(|| Contradictions {
            since: now,
            repetitions: 0,
            last: list.clone(),
        });
        let is_repeated = contradictions.last.serial == list.serial
            && contradictions.last.has_same_executors(list);
        if !is_repeated {
            contradictions.repetitions = 0;
            contradictions.last = list.clone();
        }
        contradictions.repetitions += 1;
        let is_lower = list.serial < self.list.serial;
        if is_lower && self.is_confirmed {
            return now - contradictions.since >= LOWER_SERIAL_TIMEOUT_US;
        }
        contradictions.repetitions >= MIN_CONTRADICTIONS
    }
}
