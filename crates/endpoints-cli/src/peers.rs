//! Computes from the gossip status of the controllers which of them receive packets of which others, without I/O.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::net::SocketAddr;

/// The gossip status of a controller, which is `gossip` on its status page. Times are in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GossipStatus {
    /// The address at which the others reach it.
    #[serde(rename = "own")]
    pub address: SocketAddr,
    /// Its incarnation: the time when it started, in microseconds of its clock.
    #[serde(rename = "start")]
    pub incarnation: u64,
    /// The length of a probe period. It probes one member in each.
    pub period_ms: u64,
    /// The number of controllers that it counts.
    pub count: u64,
    /// Its own index among them.
    pub index: u64,
    /// The number of members that are alive, including itself.
    pub alive: u64,
    /// It has been listening long enough for a reliable view, and suspects no member.
    pub settled: bool,
    /// More than half of all members that count are alive.
    pub quorum: bool,
    /// The version of its view.
    #[serde(rename = "number")]
    pub view_version: u64,
    /// A digest of its view, equal for all controllers that count the same members.
    pub digest: String,
    /// For how long all packets that it received have shown other views than its own.
    #[serde(rename = "apart_ms")]
    pub diverged_ms: u64,
    /// The other members.
    pub members: Vec<MemberStatus>,
}

/// What a controller knows about another member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The address of the member.
    pub member: SocketAddr,
    /// `alive`, `suspect`, `gone` or `left`.
    #[serde(rename = "standing")]
    pub state: String,
    /// The member is included in the count of controllers.
    #[serde(rename = "counts")]
    pub is_counted: bool,
    /// Its incarnation: the time when it started.
    #[serde(rename = "start")]
    pub incarnation: u64,
    /// How often it refuted a suspicion.
    #[serde(rename = "denials")]
    pub refutations: u32,
    /// For how long it has been in this state.
    #[serde(rename = "since_ms")]
    pub state_age_ms: u64,
    /// How long ago it last sent a packet to this controller; `None` if it never did.
    pub silent_ms: Option<u64>,
}

/// Whether a controller receives packets of another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reachability {
    /// It is the controller itself.
    #[serde(rename = "own")]
    Itself,
    /// Packets arrive.
    #[serde(rename = "yes")]
    Heard,
    /// No packet has arrived for three rounds of probes, but other members confirm that it is alive.
    #[serde(rename = "silent")]
    Indirect,
    /// As for `Indirect`, but the other controller receives packets of this one: the path fails in one direction.
    OneWay,
    /// It is suspected to be dead, and may still refute that.
    Suspect,
    /// It was declared dead.
    #[serde(rename = "gone")]
    Dead,
    /// It left, or an operator evicted it.
    Left,
    /// The controller does not know it, or did not answer.
    Unknown,
}

impl Reachability {
    fn symbol(self) -> char {
        match self {
            Reachability::Itself => '-',
            Reachability::Heard => '.',
            Reachability::Indirect => '~',
            Reachability::OneWay => '!',
            Reachability::Suspect => 'S',
            Reachability::Dead => 'G',
            Reachability::Left => 'L',
            Reachability::Unknown => '?',
        }
    }
}

/// A row of the matrix: a controller, and what it knows about each other one.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MatrixRow {
    /// The address at which the others reach it.
    pub member: SocketAddr,
    /// Its view; `None` if it was not queried or did not answer.
    #[serde(rename = "told")]
    pub view: Option<ViewSummary>,
    /// Whether it receives packets of each controller, in the order of the rows.
    #[serde(rename = "hears")]
    pub cells: Vec<Reachability>,
}

/// A summary of a controller's view of the membership.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ViewSummary {
    /// A letter for the view; equal views have the same letter.
    #[serde(rename = "view")]
    pub label: String,
    /// The number of controllers that it counts.
    pub count: u64,
    /// Its own index among them.
    pub index: u64,
    /// The number of members that are alive, including itself.
    pub alive: u64,
    /// More than half of all members that count are alive.
    pub quorum: bool,
    /// For how long all packets that it received have shown other views than its own, in milliseconds.
    #[serde(rename = "apart_ms")]
    pub diverged_ms: u64,
}

/// Which controllers receive packets of which others, and whether their views agree.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ReachabilityMatrix {
    /// All controllers known to any controller that answered, sorted by address.
    pub rows: Vec<MatrixRow>,
    /// The number of different views among the controllers that answered.
    #[serde(rename = "views")]
    pub view_count: usize,
    /// Indexes that two or more controllers with the same count have.
    #[serde(rename = "doubled")]
    pub duplicate_indexes: Vec<u64>,
    /// Controllers that did not answer, by the address under which they were queried, and why.
    #[serde(rename = "silent")]
    pub unanswered: Vec<String>,
}

/// Packets of a healthy member arrive within this number of rounds of probes.
const HEALTHY_ROUNDS: u64 = 3;

impl ReachabilityMatrix {
    /// Builds the matrix from the statuses of the controllers that answered, and a line for each one that did not.
    pub fn new(statuses: &[GossipStatus], unanswered: Vec<String>) -> ReachabilityMatrix {
        let by_address: BTreeMap<SocketAddr, &GossipStatus> =
            statuses.iter().map(|t| (t.address, t)).collect();
        let known =
            statuses.iter().flat_map(|t| t.members.iter().filter(|m| m.state != "left").map(|m| m.member));
        let all: Vec<SocketAddr> =
            known.chain(by_address.keys().copied()).collect::<BTreeSet<_>>().into_iter().collect();
        let digests: BTreeSet<&str> = statuses.iter().map(|t| t.digest.as_str()).collect();
        let letter = |digest: &str| match digests.iter().position(|d| *d == digest) {
            Some(n @ 0..26) => char::from(b'a' + n as u8).to_string(),
            n => format!("#{}", n.unwrap_or_default()),
        };
        let rows = all.iter().map(|member| {
            let status = by_address.get(member);
            let cells = match status {
                Some(t) => all.iter().map(|other| cell(t, *other, by_address.get(other).copied())).collect(),
                None => vec![Reachability::Unknown; all.len()],
            };
            let summary = status.map(|t| ViewSummary {
                label: letter(&t.digest),
                count: t.count,
                index: t.index,
                alive: t.alive,
                quorum: t.quorum,
                diverged_ms: t.diverged_ms,
            });
            MatrixRow { member: *member, view: summary, cells }
        });
        let rows = rows.collect();
        let mut indexes: BTreeMap<(u64, u64), usize> = BTreeMap::new();
        for t in statuses {
            *indexes.entry((t.count, t.index)).or_default() += 1;
        }
        let duplicate_indexes =
            indexes.into_iter().filter(|(_, n)| *n > 1).map(|((_, index), _)| index).collect();
        ReachabilityMatrix { rows, view_count: digests.len(), duplicate_indexes, unanswered }
    }

    /// Whether all controllers answered with the same view, each with an index of its own.
    pub fn agrees(&self) -> bool {
        self.view_count <= 1 && self.duplicate_indexes.is_empty() && self.unanswered.is_empty()
    }

    /// Pairs of controllers whose path fails in one direction: the first receives no packets of the second, but the second
    /// receives those of the first.
    pub fn one_way(&self) -> Vec<(SocketAddr, SocketAddr)> {
        let found = |row: &MatrixRow| {
            let cells = row.cells.iter().zip(&self.rows).filter(|(h, _)| **h == Reachability::OneWay);
            cells.map(|(_, other)| (row.member, other.member)).collect::<Vec<_>>()
        };
        self.rows.iter().flat_map(found).collect()
    }

    /// The matrix as a table for operators.
    pub fn text(&self) -> String {
        let mut out = String::new();
        let width = self.rows.iter().map(|r| r.member.to_string().len()).max().unwrap_or(0);
        let heads: String = (0..self.rows.len()).map(|n| char::from(b'0' + (n % 10) as u8)).collect();
        let _ = writeln!(out, "{:>4} {:width$} view count number alive  {heads}", "", "controller");
        for (n, row) in self.rows.iter().enumerate() {
            let cells: String = row.cells.iter().map(|h| h.symbol()).collect();
            let view = row.view.as_ref().map_or("  no answer               ".into(), |t| {
                let quorum_mark = if t.quorum { ' ' } else { '<' };
                format!("{:>4} {:>5} {:>6} {:>5}{quorum_mark}", t.label, t.count, t.index, t.alive)
            });
            let _ = writeln!(out, "{n:>4} {:width$} {view} {cells}", row.member.to_string());
        }
        let _ = writeln!(
            out,
            ". heard  ~ not heard, but others report it alive  ! the same, and it hears this one  S suspected  G declared dead  \
             L left  ? unknown\n< half of the controllers or more are silent"
        );
        for (member, unheard) in self.one_way() {
            let _ = writeln!(out, "one way: {member} does not hear {unheard}, which hears it");
        }
        for index in &self.duplicate_indexes {
            let _ = writeln!(out, "two or more have number {index}");
        }
        for controller in &self.unanswered {
            let _ = writeln!(out, "no answer: {controller}");
        }
        let _ = writeln!(out, "{}", if self.agrees() { "one view" } else { "views differ" });
        out
    }
}

fn cell(status: &GossipStatus, other: SocketAddr, other_status: Option<&GossipStatus>) -> Reachability {
    if other == status.address {
        return Reachability::Itself;
    }
    let Some(m) = status.members.iter().find(|m| m.member == other) else { return Reachability::Unknown };
    match m.state.as_str() {
        "suspect" => Reachability::Suspect,
        "gone" => Reachability::Dead,
        "left" => Reachability::Left,
        _ if is_heard(status, m) => Reachability::Heard,
        _ => {
            let other_hears = other_status
                .and_then(|t| t.members.iter().find(|m| m.member == status.address).map(|m| is_heard(t, m)));
            if other_hears == Some(true) {
                Reachability::OneWay
            } else {
                Reachability::Indirect
            }
        }
    }
}

/// Whether a packet of a member arrived within the last `HEALTHY_ROUNDS` rounds of probes.
fn is_heard(status: &GossipStatus, m: &MemberStatus) -> bool {
    let max_age_ms = HEALTHY_ROUNDS * status.period_ms * (status.members.len() as u64 + 1);
    m.silent_ms.is_some_and(|ms| ms <= max_age_ms)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(n: u16) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], 1_000 + n))
    }

    /// The statuses of three controllers that all receive packets of each other.
    fn healthy() -> Vec<GossipStatus> {
        let member = |n| MemberStatus {
            member: at(n),
            state: "alive".into(),
            is_counted: true,
            incarnation: 1,
            refutations: 0,
            state_age_ms: 0,
            silent_ms: Some(100),
        };
        let one = |n: u16| GossipStatus {
            address: at(n),
            incarnation: 1,
            period_ms: 1_000,
            count: 3,
            index: u64::from(n),
            alive: 3,
            settled: true,
            quorum: true,
            view_version: 2,
            digest: "00ff".into(),
            diverged_ms: 0,
            members: (0..3).filter(|m| *m != n).map(member).collect(),
        };
        (0..3).map(one).collect()
    }

    #[test]
    fn controllers_that_hear_each_other_agree() {
        let matrix = ReachabilityMatrix::new(&healthy(), vec![]);
        assert!(matrix.agrees() && matrix.one_way().is_empty());
        assert!(matrix.rows.iter().enumerate().all(|(n, r)| r.cells[n] == Reachability::Itself));
        let text = matrix.text();
        assert!(text.contains("127.0.0.1:1001    a     3      1     3  .-."), "{text}");
        assert!(text.ends_with("one view\n"), "{text}");
    }

    #[test]
    fn one_way_failures_different_views_duplicate_indexes_and_missing_answers_are_marked() {
        let mut statuses = healthy();
        // 0 receives no packets of 1, but 1 receives those of 0. 0 and 2 receive no packets of each other.
        statuses[0].members[0].silent_ms = Some(60_000);
        statuses[0].members[1].silent_ms = None;
        statuses[2].members[0].silent_ms = Some(60_000);
        let matrix = ReachabilityMatrix::new(&statuses, vec![]);
        assert_eq!(matrix.one_way(), [(at(0), at(1))]);
        assert_eq!(
            (matrix.rows[0].cells[2], matrix.rows[2].cells[0]),
            (Reachability::Indirect, Reachability::Indirect)
        );
        assert!(matrix.agrees(), "a failed path alone does not make the views differ");

        let mut statuses = healthy();
        (statuses[1].index, statuses[2].digest) = (0, "aa00".into());
        (statuses[2].quorum, statuses[2].members[0].state) = (false, "gone".into());
        let matrix = ReachabilityMatrix::new(&statuses, vec!["127.0.0.1:9".into()]);
        assert_eq!(
            (matrix.view_count, matrix.duplicate_indexes.clone(), matrix.rows[2].cells[0]),
            (2, vec![0], Reachability::Dead)
        );
        let text = matrix.text();
        for part in ["two or more have number 0", "no answer: 127.0.0.1:9", "views differ", "    3<"] {
            assert!(text.contains(part), "{part}: {text}");
        }
    }

    #[test]
    fn a_controller_that_was_not_queried_has_a_row_of_unknowns() {
        let matrix = ReachabilityMatrix::new(&healthy()[..2], vec![]);
        assert_eq!((matrix.rows.len(), matrix.rows[2].view.as_ref()), (3, None));
        assert!(matrix.rows[2].cells.iter().all(|h| *h == Reachability::Unknown));
    }
}
