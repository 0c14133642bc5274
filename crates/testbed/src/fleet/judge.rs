//! Compares what the processes of a fleet believed about each other with what happened.
//!
//! The evidence is what each process logged and the process lifetimes that the test bed recorded,
//! not what the processes report about themselves at the end. A paused process is alive; a killed
//! one is dead until another starts under its address.

use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use wheelfield_gossip::MembershipChange;
use wheelfield_invariants::ProcessLifetime;
use wheelfield_network_faults::FaultSchedule;

/// An event of the membership, as a process logged it.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEvent {
    /// The number of controllers on which the process bases its decisions, and its own index among
    /// them.
    CountInUse {
        /// Number of controllers.
        count: usize,
        /// Index of the process that logged the event.
        index: usize,
    },
    /// A change of a member's state, as the process sees it.
    Member(SocketAddr, MembershipChange),
}

/// An entry of a controller's log about the membership.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipLogEntry {
    /// Time of the wall clock, in microseconds.
    pub at: i64,
    /// The controller that logged it.
    pub by: usize,
    /// The logged event.
    pub event: MembershipEvent,
}

/// Parses a JSON line of a controller's log. Returns `None` if it is not about the membership.
pub fn parse_log_line(by: usize, line: &str) -> Option<MembershipLogEntry> {
    let value: serde_json::Value = serde_json::from_str(line).ok()?;
    let time = humantime::parse_rfc3339(value["timestamp"].as_str()?).ok()?;
    let at = i64::try_from(time.duration_since(std::time::UNIX_EPOCH).ok()?.as_micros()).ok()?;
    let number_field = |name: &str| value[name].as_u64().map(|n| n as usize);
    let event = match value["message"].as_str()? {
        "controllers" => {
            MembershipEvent::CountInUse { count: number_field("count")?, index: number_field("index")? }
        }
        message => {
            let change = match message.strip_prefix("member: ")? {
                "suspected" => MembershipChange::Suspected,
                "denied" => MembershipChange::Refuted,
                "given up" => MembershipChange::DeclaredDead,
                "back" => MembershipChange::Rejoined,
                "left" => MembershipChange::Left,
                _ => return None,
            };
            MembershipEvent::Member(value["member"].as_str()?.parse().ok()?, change)
        }
    };
    Some(MembershipLogEntry { at, by, event })
}

/// What the test bed recorded of a fleet's day.
#[derive(Debug)]
pub struct MembershipHistory<'a> {
    /// Address at which the other controllers reach each controller.
    pub addresses: &'a [SocketAddr],
    /// Lifetimes of all processes.
    pub lifetimes: &'a [ProcessLifetime],
    /// Faults on the links, in times of the wall clock.
    pub fault_schedule: &'a FaultSchedule,
    /// Start of the checked period, in microseconds of the wall clock.
    pub starts_at: i64,
    /// End of the checked period.
    pub ends_at: i64,
}

/// A false belief of a process.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MembershipViolation {
    /// Time in microseconds from the start of the day.
    pub at: i64,
    /// Description for the report.
    #[serde(rename = "what")]
    pub description: String,
}

/// Result of the check.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Verdict {
    /// A process reckoned with fewer controllers than were running.
    pub undercounts: Vec<MembershipViolation>,
    /// A process reckoned with more controllers than there are addresses.
    pub overcounts: Vec<MembershipViolation>,
    /// A process declared a member dead that was running, was not paused, and had no blocked link
    /// to or from it.
    #[serde(rename = "given_up_alive")]
    pub declared_dead_reachable: Vec<MembershipViolation>,
    /// How often a running member was declared dead while it was paused or behind a blocked link.
    /// Nobody can tell such a silence from a death.
    #[serde(rename = "given_up_cut")]
    pub declared_dead_unreachable: u64,
    /// Suspicions of members that were running; each process that holds one is counted.
    pub false_suspicions: u64,
    /// Controllers that were killed and stayed dead until others noticed.
    pub deaths: u64,
    /// Time from a kill until the first process declared the member dead, in milliseconds: the
    /// median.
    #[serde(rename = "detected_p50_ms")]
    pub detection_p50_ms: f64,
    /// The maximum of the same time.
    #[serde(rename = "detected_most_ms")]
    pub detection_max_ms: f64,
}

impl Verdict {
    /// Whether no process held a belief that must never occur.
    pub fn passed(&self) -> bool {
        self.undercounts.is_empty() && self.overcounts.is_empty() && self.declared_dead_reachable.is_empty()
    }
}

impl MembershipHistory<'_> {
    fn lifetime_at(&self, controller: usize, at: i64) -> Option<&ProcessLifetime> {
        let covers = |l: &&ProcessLifetime| {
            l.controller == controller && l.started_at <= at && l.ended_at.is_none_or(|k| at < k)
        };
        self.lifetimes.iter().find(covers)
    }

    /// Number of controllers whose process exists at a time, including paused ones.
    fn running_count(&self, at: i64) -> usize {
        (0..self.addresses.len()).filter(|c| self.lifetime_at(*c, at).is_some()).count()
    }

    /// Whether one of two controllers was paused, or a link between them blocked, at some time in
    /// the `window` before `at`.
    fn is_unreachable(&self, other: usize, by: usize, at: i64, window: i64) -> bool {
        let has_stall =
            |l: &ProcessLifetime| l.stalls.iter().any(|(from, to)| *from <= at && at - window < *to);
        let was_paused = |c: usize| self.lifetime_at(c, at).is_some_and(has_stall);
        let blocks_link = |e: &wheelfield_network_faults::ScheduledFault| {
            let is_between = e.applies_to(other, by) || e.applies_to(by, other);
            e.fault.blocked && is_between && e.starts_at <= at && at - window < e.ends_at()
        };
        was_paused(other) || was_paused(by) || self.fault_schedule.0.iter().any(blocks_link)
    }

    /// Checks what the processes logged. `timeout` is how long a silence lasts until others
    /// act on it, in microseconds.
    pub fn judge(&self, entries: &[MembershipLogEntry], timeout: i64) -> Verdict {
        let mut verdict = Verdict::default();
        let controller_by_address: BTreeMap<SocketAddr, usize> =
            self.addresses.iter().enumerate().map(|(n, a)| (*a, n)).collect();
        let mut first_declared_at: BTreeMap<(usize, i64), i64> = BTreeMap::new();
        for entry in entries.iter().filter(|l| (self.starts_at..=self.ends_at).contains(&l.at)) {
            let violation =
                |description: String| MembershipViolation { at: entry.at - self.starts_at, description };
            match entry.event {
                MembershipEvent::CountInUse { count, .. } => {
                    let running = self.running_count(entry.at);
                    if count < running {
                        let text = format!("controller {} counted {count} of {running} running", entry.by);
                        verdict.undercounts.push(violation(text));
                    }
                    if count > self.addresses.len() {
                        let text =
                            format!("controller {} counted {count} of {}", entry.by, self.addresses.len());
                        verdict.overcounts.push(violation(text));
                    }
                }
                MembershipEvent::Member(member, change) => {
                    let Some(other) = controller_by_address.get(&member).copied() else { continue };
                    let running = self.lifetime_at(other, entry.at).is_some();
                    match change {
                        MembershipChange::Suspected if running => verdict.false_suspicions += 1,
                        MembershipChange::DeclaredDead
                            if running && self.is_unreachable(other, entry.by, entry.at, timeout) =>
                        {
                            verdict.declared_dead_unreachable += 1;
                        }
                        MembershipChange::DeclaredDead if running => {
                            let text =
                                format!("controller {} declared {other} dead, but it is running", entry.by);
                            verdict.declared_dead_reachable.push(violation(text));
                        }
                        MembershipChange::DeclaredDead => {
                            let killed_at = self.lifetimes.iter().filter(|l| l.controller == other);
                            if let Some(killed_at) =
                                killed_at.filter_map(|l| l.ended_at).filter(|k| *k <= entry.at).max()
                            {
                                let first = first_declared_at.entry((other, killed_at)).or_insert(entry.at);
                                *first = entry.at.min(*first);
                            }
                        }
                        _ => {}
                    }
                }
            }
        }
        let mut times: Vec<i64> =
            first_declared_at.iter().map(|((_, killed_at), at)| at - killed_at).collect();
        times.sort_unstable();
        verdict.deaths = times.len() as u64;
        verdict.detection_p50_ms = times.get(times.len() / 2).map_or(0.0, |t| *t as f64 / 1e3);
        verdict.detection_max_ms = times.last().map_or(0.0, |t| *t as f64 / 1e3);
        verdict
    }
}
