//! One controller's part in the membership.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Who says that one that fell silent counts no more.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Forget {
    /// An operator; until then it counts, so that no split, however long, lets anybody act on too few.
    #[default]
    Operator,
    /// Those that are more than half of all that count, [`Limits::hold`] after it was given up. A smaller part counts on.
    Quorum,
}

/// What a node is bounded by; times in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Limits {
    /// One member is probed in each period.
    pub period: i64,
    /// It must have answered within this, before others are asked to probe it.
    pub answer: i64,
    /// So many others are asked.
    pub helpers: usize,
    /// A suspect may deny it for so many periods, for each doubling of the members.
    pub patience: i64,
    /// Who says that one that fell silent counts no more.
    pub forget: Forget,
    /// A member that fell silent counts for so long after it was given up, where a quorum may forget it. Goodbyes are
    /// remembered for as long, so that nobody who missed them brings one back that left.
    pub hold: i64,
    /// A fresh node goes by the number it was told to expect for so long at least, until it learned of nobody new between two
    /// fetches, and until more than half of that number answer.
    pub settle: i64,
    /// So many controllers are expected.
    pub expect: usize,
    /// All that is known is fetched from one member so often.
    pub fetch: i64,
    /// Records that ride on a packet.
    pub riders: usize,
    /// Members at most; further ones are not taken.
    pub most: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            period: 1_000_000,
            answer: 300_000,
            helpers: 3,
            patience: 4,
            forget: Forget::Operator,
            hold: 600_000_000,
            settle: 30_000_000,
            expect: 1,
            fetch: 15_000_000,
            riders: 16,
            most: 4_096,
        }
    }
}

/// How a member stands. Later ones overrule earlier ones of the same start and denial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Standing {
    /// It answers.
    Alive,
    /// It does not, and may deny that it is gone.
    Suspect,
    /// It was given up.
    Gone,
    /// It said goodbye.
    Left,
}

/// What is known of a member. A later start overrules an earlier one, then a later denial, then the standing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Who: the address it is reached at.
    pub member: SocketAddr,
    /// When it started, in microseconds of its clock.
    pub start: u64,
    /// How often it denied a suspicion.
    pub denials: u32,
    /// How it stands.
    pub standing: Standing,
    /// For how long it has stood so, in milliseconds, rounded up; zero while it is alive. It overrules nothing, but all
    /// forget one that is gone at about the same time, and nobody learns of it anew.
    pub since_ms: u32,
}

impl Record {
    fn rank(&self) -> (u64, u32, Standing) {
        (self.start, self.denials, self.standing)
    }
}

/// What a packet is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Are you there?
    Probe(u32),
    /// I am.
    Answer(u32),
    /// Probe this one for me.
    Help(u32, SocketAddr),
    /// Tell me all you know.
    Fetch,
    /// A part of all I know, or mere news.
    Tell,
}

/// Of whom a view consists.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Tag {
    /// The view's number: it rises by one with each change, at its holder.
    pub number: u64,
    /// Alike where the same members count, whoever holds the view.
    pub digest: u64,
}

/// An operator's word that one that fell silent is gone for good, as a packet for any member: a goodbye in its name. If it lives
/// it denies that as soon as it hears of it.
pub fn let_go(record: Record) -> Packet {
    let record = Record { standing: Standing::Left, since_ms: 0, ..record };
    Packet { message: Message::Tell, riders: vec![record], tag: None }
}

/// What is sent: a message, and records that ride on it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Packet {
    /// For what.
    pub message: Message,
    /// News.
    pub riders: Vec<Record>,
    /// The sender's view. Builds of the first form of packets neither send nor read it: it stands behind the rest
    /// ([`crate::seal`]).
    #[serde(skip)]
    pub tag: Option<Tag>,
}

/// What a node acts on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct View {
    /// The number of controllers to act on.
    pub count: usize,
    /// This one's number among them, from 0.
    pub index: usize,
    /// Those that answer, with this one.
    pub alive: usize,
    /// It has listened long enough, and nothing is in doubt.
    pub settled: bool,
    /// Those that answer are more than half of all that count.
    pub quorum: bool,
    /// Of whom it consists.
    pub tag: Tag,
}

/// How a member stands with a node, for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Acquaintance {
    /// What is known of it.
    pub record: Record,
    /// It counts.
    pub counts: bool,
    /// When a packet of its own last came; none if never.
    pub spoke: Option<i64>,
    /// The view that it last told of.
    pub tag: Option<Tag>,
}

/// What became of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Change {
    /// It was heard of for the first time.
    New,
    /// It does not answer.
    Suspected,
    /// It denied that it is gone.
    Denied,
    /// It was given up.
    GivenUp,
    /// It is there again: another process at its address, or the one that was given up.
    Back,
    /// It said goodbye, or an operator said it is gone for good.
    Left,
    /// A quorum went on without it.
    Forgotten,
    /// Of this node itself: a process of its address that started later was heard of, and this one goes on as later still. Once
    /// is a clock that was set back; again and again is a second process under its address.
    Overtaken,
}

/// A change, and on whose word it was believed: this node's own address where it found out itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct News {
    /// Whose.
    pub member: SocketAddr,
    /// What.
    pub change: Change,
    /// On whose word.
    pub by: SocketAddr,
}

/// Who heard nobody for so many periods is deaf, cut off, or stood still.
const DEAF: i64 = 3;
/// News that wait to be taken, at most; later ones are lost, as they only tell what is known.
const MOST_NEWS: usize = 1_024;

/// What was counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Counts {
    /// Suspicions of our own.
    pub suspected: u64,
    /// Suspicions, of whomever, that were denied.
    pub denied: u64,
    /// Members given up.
    pub given_up: u64,
    /// Members not taken, as there were too many.
    pub crowded: u64,
    /// Times that nobody was heard for so long that this node was cut off, or stood still.
    pub deaf: u64,
    /// Suspects that were heard, and denied for.
    pub vouched: u64,
    /// Members said to be gone by others while this node had no doubt of them, or had heard them since.
    pub unbelieved: u64,
    /// Members forgotten by a quorum.
    pub forgotten: u64,
    /// Times that a later process of its own address was heard of; more than one: there are two.
    pub overtaken: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Member {
    record: Record,
    /// Since when it stands so.
    since: i64,
    /// How often this was told on.
    told: u32,
    /// When a packet of its own last came, as far as silence goes: time in which nobody was heard is not held against it.
    heard: i64,
    /// When a packet of its own last came.
    spoke: Option<i64>,
    /// It counts.
    counts: bool,
    /// The view that it last told of.
    tag: Option<Tag>,
}

impl Member {
    /// Its record with its age, as it is told to others.
    fn aged(&self, now: i64) -> Record {
        let ms = if self.record.standing == Standing::Alive { 0 } else { (now - self.since).max(0) as u64 };
        Record { since_ms: u32::try_from(ms.div_ceil(1_000)).unwrap_or(u32::MAX), ..self.record }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Probing {
    target: SocketAddr,
    number: u32,
    /// It is probed again, and others are asked to help, at this time; none once that is done.
    again_at: Option<i64>,
    answered: bool,
    /// It did not answer in the period before.
    doubted: bool,
}

/// One controller's knowledge of all.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Node {
    limits: Limits,
    own: Record,
    seeds: Vec<SocketAddr>,
    members: BTreeMap<SocketAddr, Member>,
    began: i64,
    /// Whom to probe in this round, from its end.
    round: Vec<SocketAddr>,
    probing: Option<Probing>,
    /// Probes made for others: by our number, whom to tell and by which number, and until when.
    helping: BTreeMap<u32, (SocketAddr, u32, i64)>,
    number: u32,
    next_period: i64,
    next_fetch: i64,
    /// Somebody told us something, ever.
    heard: bool,
    /// When a packet of anybody last came.
    last_heard: i64,
    /// Who did not answer in the last period, and is probed once more before it is suspected.
    doubt: Option<(SocketAddr, u32)>,
    /// When we last learned of somebody new.
    newest: i64,
    /// We have listened long enough.
    listened: bool,
    /// More than half of the expected number answered, once: from then on what was heard counts alone.
    confirmed: bool,
    /// Of whom the view consists.
    tag: Tag,
    /// Since when all that was heard tells of other views than ours.
    apart: Option<i64>,
    draws: u64,
    counts: Counts,
    news: Vec<News>,
}

impl Node {
    /// A node that knows of itself and of whom to ask. The same seed and inputs give the same packets.
    pub fn new(
        own: SocketAddr,
        start: u64,
        seeds: Vec<SocketAddr>,
        limits: Limits,
        seed: u64,
        now: i64,
    ) -> Node {
        let own = Record { member: own, start, denials: 0, standing: Standing::Alive, since_ms: 0 };
        let mut node = Node {
            limits,
            seeds: seeds.into_iter().filter(|s| *s != own.member).collect(),
            own,
            members: BTreeMap::new(),
            began: now,
            round: Vec::new(),
            probing: None,
            helping: BTreeMap::new(),
            number: 0,
            next_period: now,
            next_fetch: now,
            heard: false,
            last_heard: now,
            doubt: None,
            newest: now,
            listened: false,
            confirmed: false,
            tag: Tag { number: 0, digest: mark(own.member) },
            apart: None,
            draws: seed,
            counts: Counts::default(),
            news: Vec::new(),
        };
        // Nodes that start together do not all probe at once.
        node.next_period = now + node.draw(limits.period.max(1) as u64) as i64;
        node
    }

    /// A number below `n`. Own arithmetic (splitmix), as the model checker hashes the whole node.
    fn draw(&mut self, n: u64) -> u64 {
        self.draws = self.draws.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.draws;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (z ^ (z >> 31)) % n.max(1)
    }

    /// Doublings of the members, at least one.
    fn doublings(&self) -> i64 {
        i64::from((self.members.len() as u64 + 1).ilog2()).max(1)
    }

    /// What was counted.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// What became of members since the last call.
    pub fn news(&mut self) -> Vec<News> {
        std::mem::take(&mut self.news)
    }

    /// All that are known, this one not.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.members.values().map(|m| &m.record)
    }

    /// Whether one is known, and has not left.
    pub fn knows(&self, member: &SocketAddr) -> bool {
        self.members.get(member).is_some_and(|m| m.counts)
    }

    /// How all that are known stand, this one not.
    pub fn acquaintances(&self, now: i64) -> impl Iterator<Item = Acquaintance> + '_ {
        self.members.values().map(move |m| Acquaintance {
            record: m.aged(now),
            counts: m.counts,
            spoke: m.spoke,
            tag: m.tag,
        })
    }

    /// For how long all that was heard tells of other views than ours, in microseconds; zero while somebody's is alike.
    pub fn apart(&self, now: i64) -> i64 {
        self.apart.map_or(0, |since| (now - since).max(0))
    }

    /// What to act on now.
    pub fn view(&self) -> View {
        // One pass, as laboratories look at every view of large fleets.
        let (mut seen, mut alive, mut index, mut doubtful) = (1, 1, 0, false);
        for m in self.members.values() {
            seen += usize::from(m.counts);
            index += usize::from(m.counts && m.record.member < self.own.member);
            alive += usize::from(m.record.standing == Standing::Alive);
            doubtful |= m.record.standing == Standing::Suspect;
        }
        let sure = self.listened && self.confirmed;
        let count = if sure { seen } else { seen.max(self.limits.expect) };
        let quorum = 2 * alive > seen;
        View { count, index, alive, settled: sure && !doubtful, quorum, tag: self.tag }
    }

    /// Lets a member count, or no more.
    fn count_on(&mut self, member: SocketAddr, counts: bool) {
        if let Some(m) = self.members.get_mut(&member).filter(|m| m.counts != counts) {
            m.counts = counts;
            self.tag = Tag { number: self.tag.number + 1, digest: self.tag.digest ^ mark(member) };
        }
    }

    /// The start that this node tells of itself: at least its own, and later than that of any process before it there.
    pub fn start(&self) -> u64 {
        self.own.start
    }

    /// To one whose datagrams are dropped, as a process of its address with a later start was heard: what that start was.
    pub fn tell_start(&self, to: SocketAddr, start: u64) -> Packet {
        let record = Record { member: to, start, denials: 0, standing: Standing::Alive, since_ms: 0 };
        Packet { message: Message::Tell, riders: vec![self.own, record], tag: Some(self.tag) }
    }

    /// When [`Node::tick`] is next wanted.
    pub fn next(&self) -> i64 {
        let help = self.probing.as_ref().and_then(|p| p.again_at);
        [Some(self.next_period), Some(self.next_fetch), help].into_iter().flatten().min().unwrap_or(i64::MAX)
    }

    /// Does what has come due.
    pub fn tick(&mut self, now: i64, out: &mut Vec<(SocketAddr, Packet)>) {
        self.helping.retain(|_, (_, _, until)| now < *until);
        // Between two fetches nobody new was told of: that is all there are.
        let quiet = now - self.newest > self.limits.fetch + self.limits.period;
        self.listened |= self.heard && quiet && now - self.began >= self.limits.settle;
        // Guards against a part of a fleet that starts anew within a split, and would take itself for all there is; and, as it
        // meets the others, what it has heard of by then.
        self.confirmed |= self.listened && quiet && 2 * self.view().alive > self.limits.expect;
        if self.probing.as_ref().and_then(|p| p.again_at).is_some_and(|at| now >= at) {
            self.look_again(now, out);
        }
        if now >= self.next_period {
            self.end_period(now);
            self.begin_period(now, out);
            self.ask_suspects(now, out);
            // A node that stood still does not make up for it.
            self.next_period = (self.next_period + self.limits.period).max(now + 1);
        }
        if now >= self.next_fetch {
            self.fetch(now, out);
        }
    }

    fn end_period(&mut self, now: i64) {
        // Guards against taking the others for dead when it is this one that hears nobody, or stood still: then nobody is
        // suspected nor given up, and all count on.
        let deaf = self.deaf(now);
        if let Some(p) = self.probing.take().filter(|p| !p.answered && !deaf) {
            let alive = |m: &&Member| m.record.standing == Standing::Alive;
            match self.members.get(&p.target).filter(alive).map(|m| m.record) {
                // Guards against losses: one silent period is a doubt, two in a row are a suspicion.
                Some(_) if !p.doubted => self.doubt = Some((p.target, p.number)),
                Some(record) => {
                    self.counts.suspected += 1;
                    let record = Record { standing: Standing::Suspect, since_ms: 0, ..record };
                    self.learn(now, record, self.own.member);
                }
                None => {}
            }
        }
        let patience = self.patience();
        // Guards against giving up one that does not hear us, and so can't deny: as long as it is heard, it runs.
        for m in self.members.values_mut().filter(|m| m.record.standing == Standing::Suspect) {
            m.since = m.since.max(m.heard);
        }
        let overdue =
            |m: &&Member| m.record.standing == Standing::Suspect && now - m.since >= patience && !deaf;
        let over: Vec<Record> = self.members.values().filter(overdue).map(|m| m.record).collect();
        for record in over {
            self.counts.given_up += 1;
            self.learn(now, Record { standing: Standing::Gone, since_ms: 0, ..record }, self.own.member);
        }
        self.forget(now);
    }

    /// Lets go of who is gone for long, where that is allowed.
    fn forget(&mut self, now: i64) {
        let (hold, spread) = (self.limits.hold, self.limits.fetch.saturating_mul(4));
        // Guards against a part that lost the others and would act on itself alone: it is no quorum, and counts on.
        if self.limits.forget == Forget::Quorum && self.view().quorum {
            let long = |m: &&Member| m.counts && m.record.standing == Standing::Gone && now - m.since >= hold;
            let long: Vec<SocketAddr> = self.members.values().filter(long).map(|m| m.record.member).collect();
            for member in long {
                self.counts.forgotten += 1;
                self.count_on(member, false);
                self.tell(member, Change::Forgotten, self.own.member);
            }
        }
        // Who counts no more is remembered until all have heard, lest it be learned of anew.
        self.members.retain(|_, m| {
            m.counts
                || match m.record.standing {
                    Standing::Left => now - m.since < hold.max(spread),
                    _ => now - m.since < hold + spread,
                }
        });
    }

    fn begin_period(&mut self, now: i64, out: &mut Vec<(SocketAddr, Packet)>) {
        let probed = |m: &Member| matches!(m.record.standing, Standing::Alive | Standing::Suspect);
        if let Some((target, number)) =
            self.doubt.take().filter(|(a, _)| self.members.get(a).is_some_and(probed))
        {
            let again_at = Some(now + self.limits.answer);
            self.probing = Some(Probing { target, number, again_at, answered: false, doubted: true });
            self.probe(now, out);
            return self.ask_for_help(now, out);
        }
        let target = loop {
            match self.round.pop() {
                Some(a) if self.members.get(&a).is_some_and(probed) => break a,
                Some(_) => {}
                None => {
                    let mut all: Vec<SocketAddr> =
                        self.members.values().filter(|m| probed(m)).map(|m| m.record.member).collect();
                    if all.is_empty() {
                        return;
                    }
                    for i in (1..all.len()).rev() {
                        let j = self.draw(i as u64 + 1) as usize;
                        all.swap(i, j);
                    }
                    self.round = all;
                }
            }
        };
        self.number = self.number.wrapping_add(1);
        let (number, again_at) = (self.number, Some(now + self.limits.answer));
        self.probing = Some(Probing { target, number, again_at, answered: false, doubted: false });
        self.probe(now, out);
    }

    fn probe(&mut self, now: i64, out: &mut Vec<(SocketAddr, Packet)>) {
        let Some((target, number)) = self.probing.as_ref().map(|p| (p.target, p.number)) else { return };
        let packet = self.packet(now, Message::Probe(number), target);
        out.push((target, packet));
    }

    /// The one that is probed has not answered yet: it is asked once more, and others are asked to.
    fn look_again(&mut self, now: i64, out: &mut Vec<(SocketAddr, Packet)>) {
        if let Some(p) = &mut self.probing {
            p.again_at = None;
            if !p.answered {
                self.probe(now, out);
                self.ask_for_help(now, out);
            }
        }
    }

    /// Nobody was heard for so long that what is not answered says nothing of others.
    fn deaf(&self, now: i64) -> bool {
        now - self.last_heard > DEAF * self.limits.period
    }

    /// Somebody is heard again. What was silent meanwhile was so for us alone: doubts begin anew.
    fn hears_again(&mut self, now: i64) {
        let gap = now - self.last_heard;
        self.counts.deaf += 1;
        (self.probing, self.doubt) = (None, None);
        for m in self.members.values_mut() {
            m.heard += gap;
            if m.record.standing == Standing::Suspect {
                m.since += gap;
            }
        }
    }

    /// Before a suspect is given up it is asked directly, again and again: a denial that did not come round to us comes so.
    fn ask_suspects(&mut self, now: i64, out: &mut Vec<(SocketAddr, Packet)>) {
        let half = self.patience() / 2;
        let late = |m: &&Member| m.record.standing == Standing::Suspect && now - m.since >= half;
        let late: Vec<SocketAddr> =
            self.members.values().filter(late).take(16).map(|m| m.record.member).collect();
        for suspect in late {
            self.number = self.number.wrapping_add(1);
            let packet = self.packet(now, Message::Probe(self.number), suspect);
            out.push((suspect, packet));
        }
    }

    /// How long a suspect may deny.
    fn patience(&self) -> i64 {
        // Less the period that a doubt took before.
        (self.limits.patience * self.doublings() - 1) * self.limits.period
    }

    fn ask_for_help(&mut self, now: i64, out: &mut Vec<(SocketAddr, Packet)>) {
        let Some((target, number)) = self.probing.as_ref().map(|p| (p.target, p.number)) else { return };
        let able = |m: &&Member| m.record.standing == Standing::Alive && m.record.member != target;
        let mut able: Vec<SocketAddr> = self.members.values().filter(able).map(|m| m.record.member).collect();
        for _ in 0..self.limits.helpers {
            if able.is_empty() {
                break;
            }
            let i = self.draw(able.len() as u64) as usize;
            let helper = able.swap_remove(i);
            let packet = self.packet(now, Message::Help(number, target), helper);
            out.push((helper, packet));
        }
    }

    /// Fetches all from one: a seed until somebody was heard, then anyone, those given up among them, so that halves of a
    /// split find each other again.
    fn fetch(&mut self, now: i64, out: &mut Vec<(SocketAddr, Packet)>) {
        let mut whom: Vec<SocketAddr> = self.seeds.clone();
        if self.heard {
            let there = self.members.values().filter(|m| m.record.standing != Standing::Left);
            whom.extend(there.map(|m| m.record.member));
        }
        whom.sort_unstable();
        whom.dedup();
        // A fresh one asks often, as what it has not heard by then comes only so.
        let wait = match (self.heard, self.listened) {
            (_, true) => self.limits.fetch,
            (true, false) => (3 * self.limits.period).min(self.limits.fetch),
            (false, false) => self.limits.period,
        };
        self.next_fetch = now + wait;
        if whom.is_empty() {
            // Alone, and told of nobody: that is all there is to hear.
            self.heard = true;
            return;
        }
        let i = self.draw(whom.len() as u64) as usize;
        let packet = self.packet(now, Message::Fetch, whom[i]);
        out.push((whom[i], packet));
    }

    /// A packet with the news told least often. What we hold of its receiver rides first, if it should deny that, and what
    /// we say of ourselves always.
    fn packet(&mut self, now: i64, message: Message, to: SocketAddr) -> Packet {
        let mut riders = vec![self.own];
        let doubted = self.members.get(&to).map(|m| m.aged(now)).filter(|r| r.standing != Standing::Alive);
        riders.extend(doubted);
        let most = 3 * (self.doublings() as u32 + 1);
        let mut news: Vec<(u32, SocketAddr)> = self
            .members
            .values()
            .filter(|m| m.told < most && m.record.member != to)
            .map(|m| (m.told, m.record.member))
            .collect();
        news.sort_unstable();
        for (_, member) in news.into_iter().take(self.limits.riders.saturating_sub(riders.len())) {
            if let Some(m) = self.members.get_mut(&member) {
                m.told += 1;
                riders.push(m.aged(now));
            }
        }
        Packet { message, riders, tag: Some(self.tag) }
    }

    /// Takes a packet. Only what was sealed by a holder of the key may come here.
    pub fn receive(
        &mut self,
        now: i64,
        from: SocketAddr,
        packet: &Packet,
        out: &mut Vec<(SocketAddr, Packet)>,
    ) {
        if from != self.own.member {
            if self.heard && self.deaf(now) {
                self.hears_again(now);
            }
            (self.heard, self.last_heard) = (true, now);
            self.vouch(now, from, packet);
            if let Some(m) = self.members.get_mut(&from) {
                (m.heard, m.spoke) = (now, Some(now));
            }
        }
        for record in packet.riders.iter().take(self.limits.most) {
            self.learn(now, *record, from);
        }
        self.compare(now, from, packet.tag);
        match packet.message {
            Message::Probe(number) => {
                let packet = self.packet(now, Message::Answer(number), from);
                out.push((from, packet));
            }
            Message::Answer(number) => {
                if let Some(p) = self.probing.as_mut().filter(|p| p.number == number) {
                    p.answered = true;
                } else if let Some((whom, theirs, _)) = self.helping.remove(&number) {
                    let packet = self.packet(now, Message::Answer(theirs), whom);
                    out.push((whom, packet));
                }
            }
            Message::Help(theirs, target) => {
                // A helper helps so many at once, lest it be made a flood.
                if self.helping.len() < 64 && target != self.own.member {
                    self.number = self.number.wrapping_add(1);
                    let number = self.number;
                    self.helping.insert(number, (from, theirs, now + self.limits.period));
                    let packet = self.packet(now, Message::Probe(number), target);
                    out.push((target, packet));
                }
            }
            Message::Fetch => {
                let all: Vec<Record> =
                    std::iter::once(self.own).chain(self.members.values().map(|m| m.aged(now))).collect();
                for riders in all.chunks(self.limits.riders.max(1)) {
                    out.push((
                        from,
                        Packet { message: Message::Tell, riders: riders.to_vec(), tag: Some(self.tag) },
                    ));
                }
            }
            Message::Tell => {}
        }
    }

    /// Holds the view that somebody tells of against ours.
    fn compare(&mut self, now: i64, from: SocketAddr, tag: Option<Tag>) {
        let Some((m, tag)) = self.members.get_mut(&from).zip(tag) else { return };
        m.tag = Some(tag);
        self.apart = match self.apart {
            _ if tag.digest == self.tag.digest => None,
            since => since.or(Some(now)),
        };
    }

    /// What is said of a member, or of this one, and by whom.
    fn learn(&mut self, now: i64, record: Record, by: SocketAddr) {
        if record.member == self.own.member {
            // Only one process holds an address at a time, so a later start is that of a process before this one, by a clock
            // that was set back since. Ours must be later still, or nobody heeds it.
            if record.start > self.own.start {
                (self.own.start, self.own.denials) = (record.start.saturating_add(1), 0);
                self.counts.overtaken += 1;
                self.tell(self.own.member, Change::Overtaken, by);
                return;
            }
            // Whatever is said of us that is not so is denied.
            if record.start == self.own.start
                && record.standing != Standing::Alive
                && self.own.standing == Standing::Alive
                && record.denials >= self.own.denials
            {
                self.counts.denied += 1;
                self.own.denials = record.denials.saturating_add(1);
            }
            return;
        }
        let record = match self.doubtful(now, &record) {
            true if by != self.own.member => {
                self.counts.unbelieved += 1;
                Record { standing: Standing::Suspect, since_ms: 0, ..record }
            }
            _ => record,
        };
        let since = now - i64::from(record.since_ms) * 1_000;
        // Nobody learns of one that left, or of one that a quorum is about to forget.
        let fading = match record.standing {
            Standing::Left => now - since >= self.limits.hold,
            Standing::Gone => {
                self.limits.forget == Forget::Quorum && now - since >= self.limits.hold && self.view().quorum
            }
            _ => false,
        };
        // One that is not learned of anyway pushes no goodbye out.
        let room = fading || self.members.contains_key(&record.member) || self.room();
        match self.members.get_mut(&record.member) {
            Some(m) if record.rank() > m.record.rank() => {
                let was = m.record.standing;
                if was == Standing::Suspect && record.standing == Standing::Alive {
                    self.counts.denied += 1;
                }
                // Held from when it was first given up, whoever repeats it; but each gives a suspect its own time to deny.
                if was != record.standing || record.start != m.record.start {
                    m.since = if record.standing == Standing::Suspect { now } else { since };
                }
                if record.start != m.record.start {
                    m.heard = now;
                }
                let restarted = record.start != m.record.start;
                (m.record, m.told) = (record, 0);
                let counts = m.counts || restarted || record.standing < Standing::Gone;
                let change = match (was, record.standing) {
                    (was, now) if was == now && !restarted => None,
                    (Standing::Suspect, Standing::Alive) if !restarted => Some(Change::Denied),
                    (_, Standing::Alive) => Some(Change::Back),
                    (_, Standing::Suspect) => Some(Change::Suspected),
                    (_, Standing::Gone) => Some(Change::GivenUp),
                    (_, Standing::Left) => Some(Change::Left),
                };
                change.into_iter().for_each(|change| self.tell(record.member, change, by));
                self.count_on(record.member, counts && record.standing != Standing::Left);
            }
            Some(_) => {}
            None if fading => {}
            None if !room => self.counts.crowded += 1,
            None => {
                let (heard, spoke) = if by == record.member { (now, Some(now)) } else { (since, None) };
                let member = Member { record, since, told: 0, heard, spoke, counts: false, tag: None };
                self.members.insert(record.member, member);
                self.count_on(record.member, record.standing != Standing::Left);
                self.newest = now;
                self.tell(record.member, Change::New, by);
            }
        }
    }

    /// Guards against giving up one that is heard and hears nobody: it can't deny, so who hears it does so in its place. One that
    /// hears has denied before, as it is told first of all what is held of it.
    fn vouch(&mut self, now: i64, from: SocketAddr, packet: &Packet) {
        let own = packet.riders.iter().find(|r| r.member == from);
        let Some((m, own)) = self.members.get(&from).zip(own) else { return };
        let silent = matches!(m.record.standing, Standing::Suspect | Standing::Gone)
            && (own.start, own.standing) == (m.record.start, Standing::Alive)
            && own.denials <= m.record.denials;
        if silent && now - m.since >= 2 * self.limits.period {
            self.counts.vouched += 1;
            let denials = m.record.denials.saturating_add(1);
            self.learn(now, Record { denials, ..*own }, self.own.member);
        }
    }

    /// Whether somebody is said to be gone of whom we had no doubt, or not for long. Guards against the word of those who lost
    /// the others, behind a cut or deaf: it begins a doubt, and is no end of one. Who did hear of the suspicion when it was
    /// raised has waited by now. Who was heard after the time that it is said to have left at did not leave: an operator let it
    /// be forgotten on the other side of a cut.
    fn doubtful(&self, now: i64, record: &Record) -> bool {
        let Some(m) = self.members.get(&record.member).filter(|m| m.record.start == record.start) else {
            return false;
        };
        let waited = m.record.standing == Standing::Suspect && 2 * (now - m.since) >= self.patience();
        let since = now - i64::from(record.since_ms) * 1_000;
        match record.standing {
            Standing::Gone => m.record.standing < Standing::Gone && !waited,
            Standing::Left => m.spoke.is_some_and(|spoke| spoke > since + 2 * self.limits.period),
            _ => false,
        }
    }

    /// Whether one more may be known; the one that left, or was forgotten, longest ago makes room.
    fn room(&mut self) -> bool {
        if self.members.len() >= self.limits.most {
            let past = self.members.values().filter(|m| !m.counts).min_by_key(|m| m.since);
            if let Some(past) = past.map(|m| m.record.member) {
                self.members.remove(&past);
            }
        }
        self.members.len() < self.limits.most
    }

    fn tell(&mut self, member: SocketAddr, change: Change, by: SocketAddr) {
        if self.news.len() < MOST_NEWS {
            self.news.push(News { member, change, by });
        }
    }

    /// Says goodbye: to a few now, who tell the others.
    pub fn leave(&mut self, out: &mut Vec<(SocketAddr, Packet)>) {
        self.own.standing = Standing::Left;
        let mut alive: Vec<SocketAddr> = self
            .members
            .values()
            .filter(|m| m.record.standing == Standing::Alive)
            .map(|m| m.record.member)
            .collect();
        for _ in 0..8 {
            if alive.is_empty() {
                break;
            }
            let i = self.draw(alive.len() as u64) as usize;
            let to = alive.swap_remove(i);
            out.push((to, Packet { message: Message::Tell, riders: vec![self.own], tag: None }));
        }
    }
}

/// What a member adds to a digest; own arithmetic (FNV-1a, then splitmix), as all builds must come to the same.
fn mark(member: SocketAddr) -> u64 {
    let bytes = member.to_string().into_bytes();
    let sum = bytes
        .iter()
        .fold(0xcbf2_9ce4_8422_2325_u64, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3));
    let z = (sum ^ (sum >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb)
}
