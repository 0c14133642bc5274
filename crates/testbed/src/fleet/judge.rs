//! What the processes of a fleet believed of each other, judged against what was so.
//!
//! The evidence is what each process logged and the lives that the laboratory gave them, not what the processes say of themselves
//! at the end. A process that was paused is alive; one that was killed is dead until another starts under its address.

use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use wheelfield_gossip::MembershipChange;
use wheelfield_invariants::ProcessLifetime;
use wheelfield_network_faults::FaultSchedule;

/// Something that a process logged of the membership.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEvent {
    /// So many controllers it acts on, with this number for itself.
    CountInUse {
        /// The count,
        count: usize,
        /// and its own number.
        index: usize,
    },
    /// What it believes became of a member.
    Member(SocketAddr, MembershipChange),
}

/// When it was logged, by which controller's process.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipLogEntry {
    /// In microseconds of the clock.
    pub at: i64,
    /// Which controller.
    pub by: usize,
    /// What.
    pub event: MembershipEvent,
}

/// A line of a controller's log, as JSON; none if it is about something else.
pub fn parse_log_line(by: usize, line: &str) -> Option<MembershipLogEntry> {
    let value: serde_json::Value = serde_json::from_str(line).ok()?;
    let time = humantime::parse_rfc3339(value["timestamp"].as_str()?).ok()?;
    let at = i64::try_from(time.duration_since(std::time::UNIX_EPOCH).ok()?.as_micros()).ok()?;
    let figure = |name: &str| value[name].as_u64().map(|n| n as usize);
    let event = match value["message"].as_str()? {
        "controllers" => MembershipEvent::CountInUse { count: figure("count")?, index: figure("index")? },
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

/// What is known of a fleet's day.
#[derive(Debug)]
pub struct MembershipHistory<'a> {
    /// Where each controller is reached by the others.
    pub addresses: &'a [SocketAddr],
    /// The lives of all processes.
    pub lifetimes: &'a [ProcessLifetime],
    /// What went wrong on the roads, in times of the clock.
    pub fault_schedule: &'a FaultSchedule,
    /// What is judged, in microseconds of the clock: from then on
    pub starts_at: i64,
    /// and until then.
    pub ends_at: i64,
}

/// What a process believed that was not so.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MembershipViolation {
    /// When, in microseconds from the day's start.
    pub at: i64,
    /// What, for a person.
    #[serde(rename = "what")]
    pub description: String,
}

/// What came of it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Verdict {
    /// A process acted on fewer controllers than ran.
    pub undercounts: Vec<MembershipViolation>,
    /// A process acted on more controllers than there are addresses.
    pub overcounts: Vec<MembershipViolation>,
    /// A process gave up one that ran, was not paused, and was on no cut road to or from it.
    #[serde(rename = "given_up_alive")]
    pub declared_dead_reachable: Vec<MembershipViolation>,
    /// The same of one that was paused or on a cut road: silence that nobody can tell from death.
    #[serde(rename = "given_up_cut")]
    pub declared_dead_unreachable: u64,
    /// Suspicions, by whichever process, of members that ran; each process that believes one counts.
    pub false_suspicions: u64,
    /// Controllers that were killed and stayed so until others noticed.
    pub deaths: u64,
    /// From a kill to the first that gave it up, in milliseconds: the half,
    #[serde(rename = "detected_p50_ms")]
    pub detection_p50_ms: f64,
    /// and the latest.
    #[serde(rename = "detected_most_ms")]
    pub detection_max_ms: f64,
}

impl Verdict {
    /// Nobody believed what must never be believed.
    pub fn passed(&self) -> bool {
        self.undercounts.is_empty() && self.overcounts.is_empty() && self.declared_dead_reachable.is_empty()
    }
}

impl MembershipHistory<'_> {
    fn life(&self, controller: usize, at: i64) -> Option<&ProcessLifetime> {
        let ran = |l: &&ProcessLifetime| {
            l.controller == controller && l.started_at <= at && l.ended_at.is_none_or(|k| at < k)
        };
        self.lifetimes.iter().find(ran)
    }

    /// Controllers whose processes run at a time, paused ones among them.
    fn alive(&self, at: i64) -> usize {
        (0..self.addresses.len()).filter(|c| self.life(*c, at).is_some()).count()
    }

    /// Whether a controller could not be heard by another at some time within `before` a time.
    fn unheard(&self, whom: usize, by: usize, at: i64, before: i64) -> bool {
        let paused = |l: &ProcessLifetime| l.stalls.iter().any(|(from, to)| *from <= at && at - before < *to);
        let still = |c: usize| self.life(c, at).is_some_and(paused);
        let cut = |e: &wheelfield_network_faults::ScheduledFault| {
            let concerns = e.applies_to(whom, by) || e.applies_to(by, whom);
            e.fault.blocked && concerns && e.starts_at <= at && at - before < e.ends_at()
        };
        still(whom) || still(by) || self.fault_schedule.0.iter().any(cut)
    }

    /// Judges what the processes logged. `patience` is how long a silence lasts until it is believed, in microseconds.
    pub fn judge(&self, lines: &[MembershipLogEntry], patience: i64) -> Verdict {
        let mut verdict = Verdict::default();
        let numbers: BTreeMap<SocketAddr, usize> =
            self.addresses.iter().enumerate().map(|(n, a)| (*a, n)).collect();
        let mut found: BTreeMap<(usize, i64), i64> = BTreeMap::new();
        for line in lines.iter().filter(|l| (self.starts_at..=self.ends_at).contains(&l.at)) {
            let wrong =
                |description: String| MembershipViolation { at: line.at - self.starts_at, description };
            match line.event {
                MembershipEvent::CountInUse { count, .. } => {
                    let alive = self.alive(line.at);
                    if count < alive {
                        let what = format!("controller {} acts on {count} while {alive} run", line.by);
                        verdict.undercounts.push(wrong(what));
                    }
                    if count > self.addresses.len() {
                        let what =
                            format!("controller {} acts on {count} of {}", line.by, self.addresses.len());
                        verdict.overcounts.push(wrong(what));
                    }
                }
                MembershipEvent::Member(member, change) => {
                    let Some(whom) = numbers.get(&member).copied() else { continue };
                    let lives = self.life(whom, line.at).is_some();
                    match change {
                        MembershipChange::Suspected if lives => verdict.false_suspicions += 1,
                        MembershipChange::DeclaredDead
                            if lives && self.unheard(whom, line.by, line.at, patience) =>
                        {
                            verdict.declared_dead_unreachable += 1;
                        }
                        MembershipChange::DeclaredDead if lives => {
                            let what = format!("controller {} gave up {whom}, which runs", line.by);
                            verdict.declared_dead_reachable.push(wrong(what));
                        }
                        MembershipChange::DeclaredDead => {
                            let died = self.lifetimes.iter().filter(|l| l.controller == whom);
                            if let Some(died) =
                                died.filter_map(|l| l.ended_at).filter(|k| *k <= line.at).max()
                            {
                                let first = found.entry((whom, died)).or_insert(line.at);
                                *first = line.at.min(*first);
                            }
                        }
                        _ => {}
                    }
                }
            }
        }
        let mut took: Vec<i64> = found.iter().map(|((_, died), at)| at - died).collect();
        took.sort_unstable();
        verdict.deaths = took.len() as u64;
        verdict.detection_p50_ms = took.get(took.len() / 2).map_or(0.0, |t| *t as f64 / 1e3);
        verdict.detection_max_ms = took.last().map_or(0.0, |t| *t as f64 / 1e3);
        verdict
    }
}
