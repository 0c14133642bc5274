//! Who hears whom among the controllers, of what each says of itself; no I/O.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::net::SocketAddr;

/// What a controller tells of itself: `gossip` on its status page. Times in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Told {
    /// Where the others reach it.
    pub own: SocketAddr,
    /// When it started, in microseconds of its clock.
    pub start: u64,
    /// It probes one member in each.
    pub period_ms: u64,
    /// So many controllers it acts on,
    pub count: u64,
    /// with this number for itself.
    pub index: u64,
    /// So many answer, with itself.
    pub alive: u64,
    /// It has listened, and nothing is in doubt.
    pub settled: bool,
    /// More than half of all that count answer.
    pub quorum: bool,
    /// The number of its view,
    pub number: u64,
    /// and what those have alike that count the same.
    pub digest: String,
    /// For how long all it hears tells of other views.
    pub apart_ms: u64,
    /// The others.
    pub members: Vec<Member>,
}

/// How one stands with another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Whom it is about.
    pub member: SocketAddr,
    /// `alive`, `suspect`, `gone` or `left`.
    pub standing: String,
    /// It counts.
    pub counts: bool,
    /// When it started.
    pub start: u64,
    /// How often it denied a suspicion.
    pub denials: u32,
    /// For how long it has stood so.
    pub since_ms: u64,
    /// A packet of its own came so long ago; none if never.
    pub silent_ms: Option<u64>,
}

/// What one makes of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Hears {
    /// Itself.
    Own,
    /// Packets of it come.
    Yes,
    /// None came for three rounds of probes, but others answer for it.
    Silent,
    /// The same, while the other one does hear it: a cut one way.
    OneWay,
    /// It may deny that it is gone.
    Suspect,
    /// It was given up.
    Gone,
    /// It said goodbye, or an operator let it go.
    Left,
    /// It is not known.
    Unknown,
}

impl Hears {
    fn letter(self) -> char {
        match self {
            Hears::Own => '-',
            Hears::Yes => '.',
            Hears::Silent => '~',
            Hears::OneWay => '!',
            Hears::Suspect => 'S',
            Hears::Gone => 'G',
            Hears::Left => 'L',
            Hears::Unknown => '?',
        }
    }
}

/// A controller as it appears among the others.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// Where the others reach it.
    pub member: SocketAddr,
    /// What it tells; none if it was not asked, or did not answer.
    pub told: Option<Summary>,
    /// What it makes of each, in the order of the rows.
    pub hears: Vec<Hears>,
}

/// What a controller tells of its own view.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Summary {
    /// Views that are alike have one letter.
    pub view: String,
    /// So many it acts on,
    pub count: u64,
    /// its number among them,
    pub index: u64,
    /// so many answer,
    pub alive: u64,
    /// and they are more than half.
    pub quorum: bool,
    /// For how long all it hears tells of other views, in milliseconds.
    pub apart_ms: u64,
}

/// All of it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Matrix {
    /// All that are known to anybody who answered, by address.
    pub rows: Vec<Row>,
    /// Unlike views among those that answered.
    pub views: usize,
    /// Numbers that two or more go by who act on the same view: of the same count.
    pub doubled: Vec<u64>,
    /// Controllers that did not answer, as they were asked for.
    pub silent: Vec<String>,
}

/// Packets of one that is well come within so many rounds of probes.
const ROUNDS: u64 = 3;

impl Matrix {
    /// Of what those that answered told, and who did not answer.
    pub fn new(told: &[Told], silent: Vec<String>) -> Matrix {
        let by: BTreeMap<SocketAddr, &Told> = told.iter().map(|t| (t.own, t)).collect();
        let known =
            told.iter().flat_map(|t| t.members.iter().filter(|m| m.standing != "left").map(|m| m.member));
        let all: Vec<SocketAddr> =
            known.chain(by.keys().copied()).collect::<BTreeSet<_>>().into_iter().collect();
        let digests: BTreeSet<&str> = told.iter().map(|t| t.digest.as_str()).collect();
        let letter = |digest: &str| match digests.iter().position(|d| *d == digest) {
            Some(n @ 0..26) => char::from(b'a' + n as u8).to_string(),
            n => format!("#{}", n.unwrap_or_default()),
        };
        let rows = all.iter().map(|member| {
            let told = by.get(member);
            let hears = match told {
                Some(t) => all.iter().map(|other| cell(t, *other, by.get(other).copied())).collect(),
                None => vec![Hears::Unknown; all.len()],
            };
            let summary = told.map(|t| Summary {
                view: letter(&t.digest),
                count: t.count,
                index: t.index,
                alive: t.alive,
                quorum: t.quorum,
                apart_ms: t.apart_ms,
            });
            Row { member: *member, told: summary, hears }
        });
        let rows = rows.collect();
        let mut numbers: BTreeMap<(u64, u64), usize> = BTreeMap::new();
        for t in told {
            *numbers.entry((t.count, t.index)).or_default() += 1;
        }
        let doubled = numbers.into_iter().filter(|(_, n)| *n > 1).map(|((_, index), _)| index).collect();
        Matrix { rows, views: digests.len(), doubled, silent }
    }

    /// All that answered hold one view, each with a number of its own, and all did answer.
    pub fn agrees(&self) -> bool {
        self.views <= 1 && self.doubled.is_empty() && self.silent.is_empty()
    }

    /// Pairs of which the second hears the first and is not heard by it.
    pub fn one_way(&self) -> Vec<(SocketAddr, SocketAddr)> {
        let found = |row: &Row| {
            let cells = row.hears.iter().zip(&self.rows).filter(|(h, _)| **h == Hears::OneWay);
            cells.map(|(_, other)| (row.member, other.member)).collect::<Vec<_>>()
        };
        self.rows.iter().flat_map(found).collect()
    }

    /// For people.
    pub fn text(&self) -> String {
        let mut out = String::new();
        let width = self.rows.iter().map(|r| r.member.to_string().len()).max().unwrap_or(0);
        let heads: String = (0..self.rows.len()).map(|n| char::from(b'0' + (n % 10) as u8)).collect();
        let _ = writeln!(out, "{:>4} {:width$} view count number alive  {heads}", "", "controller");
        for (n, row) in self.rows.iter().enumerate() {
            let cells: String = row.hears.iter().map(|h| h.letter()).collect();
            let told = row.told.as_ref().map_or("  no answer               ".into(), |t| {
                let part = if t.quorum { ' ' } else { '<' };
                format!("{:>4} {:>5} {:>6} {:>5}{part}", t.view, t.count, t.index, t.alive)
            });
            let _ = writeln!(out, "{n:>4} {:width$} {told} {cells}", row.member.to_string());
        }
        let _ = writeln!(
            out,
            ". heard  ~ not heard itself, others answer for it  ! the same, and it hears this one  S suspected  G given up  \
             L left  ? not known\n< half of the controllers or more are silent"
        );
        for (deaf, to) in self.one_way() {
            let _ = writeln!(out, "one way: {deaf} does not hear {to}, which hears it");
        }
        for index in &self.doubled {
            let _ = writeln!(out, "two or more have number {index}");
        }
        for silent in &self.silent {
            let _ = writeln!(out, "no answer: {silent}");
        }
        let _ = writeln!(out, "{}", if self.agrees() { "one view" } else { "views differ" });
        out
    }
}

fn cell(by: &Told, other: SocketAddr, its: Option<&Told>) -> Hears {
    if other == by.own {
        return Hears::Own;
    }
    let Some(m) = by.members.iter().find(|m| m.member == other) else { return Hears::Unknown };
    match m.standing.as_str() {
        "suspect" => Hears::Suspect,
        "gone" => Hears::Gone,
        "left" => Hears::Left,
        _ if heard(by, m) => Hears::Yes,
        _ => {
            let back = its.and_then(|t| t.members.iter().find(|m| m.member == by.own).map(|m| heard(t, m)));
            if back == Some(true) {
                Hears::OneWay
            } else {
                Hears::Silent
            }
        }
    }
}

/// Whether packets of a member came within some rounds of probes.
fn heard(by: &Told, m: &Member) -> bool {
    let rounds = ROUNDS * by.period_ms * (by.members.len() as u64 + 1);
    m.silent_ms.is_some_and(|ms| ms <= rounds)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(n: u16) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], 1_000 + n))
    }

    /// Three that hear each other.
    fn well() -> Vec<Told> {
        let member = |n| Member {
            member: at(n),
            standing: "alive".into(),
            counts: true,
            start: 1,
            denials: 0,
            since_ms: 0,
            silent_ms: Some(100),
        };
        let one = |n: u16| Told {
            own: at(n),
            start: 1,
            period_ms: 1_000,
            count: 3,
            index: u64::from(n),
            alive: 3,
            settled: true,
            quorum: true,
            number: 2,
            digest: "00ff".into(),
            apart_ms: 0,
            members: (0..3).filter(|m| *m != n).map(member).collect(),
        };
        (0..3).map(one).collect()
    }

    #[test]
    fn those_that_hear_each_other_agree() {
        let matrix = Matrix::new(&well(), vec![]);
        assert!(matrix.agrees() && matrix.one_way().is_empty());
        assert!(matrix.rows.iter().enumerate().all(|(n, r)| r.hears[n] == Hears::Own));
        let text = matrix.text();
        assert!(text.contains("127.0.0.1:1001    a     3      1     3  .-."), "{text}");
        assert!(text.ends_with("one view\n"), "{text}");
    }

    #[test]
    fn a_cut_one_way_other_views_numbers_held_by_two_and_silence_are_marked() {
        let mut told = well();
        // 0 does not hear 1, which hears it; 2 and 0 do not hear each other.
        told[0].members[0].silent_ms = Some(60_000);
        told[0].members[1].silent_ms = None;
        told[2].members[0].silent_ms = Some(60_000);
        let matrix = Matrix::new(&told, vec![]);
        assert_eq!(matrix.one_way(), [(at(0), at(1))]);
        assert_eq!((matrix.rows[0].hears[2], matrix.rows[2].hears[0]), (Hears::Silent, Hears::Silent));
        assert!(matrix.agrees(), "a cut road alone is no other view");

        let mut told = well();
        (told[1].index, told[2].digest) = (0, "aa00".into());
        (told[2].quorum, told[2].members[0].standing) = (false, "gone".into());
        let matrix = Matrix::new(&told, vec!["127.0.0.1:9".into()]);
        assert_eq!(
            (matrix.views, matrix.doubled.clone(), matrix.rows[2].hears[0]),
            (2, vec![0], Hears::Gone)
        );
        let text = matrix.text();
        for part in ["two or more have number 0", "no answer: 127.0.0.1:9", "views differ", "    3<"] {
            assert!(text.contains(part), "{part}: {text}");
        }
    }

    #[test]
    fn one_that_was_not_asked_is_a_row_of_what_is_not_known() {
        let matrix = Matrix::new(&well()[..2], vec![]);
        assert_eq!((matrix.rows.len(), matrix.rows[2].told.as_ref()), (3, None));
        assert!(matrix.rows[2].hears.iter().all(|h| *h == Hears::Unknown));
    }
}
