//! One controller's part in the membership.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Who says that one that fell silent counts no more.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum EvictionPolicy {
    /// An operator; until then it counts, so that no split, however long, lets anybody act on too few.
    #[default]
    Operator,
    /// Those that are more than half of all that count, [`MembershipConfig::hold`] after it was given up. A smaller part counts on.
    Quorum,
}

/// What a node is bounded by; times in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct MembershipConfig {
    /// One member is probed in each period.
    pub probe_period: i64,
    /// It must have answered within this, before others are asked to probe it.
    pub probe_timeout: i64,
    /// So many others are asked.
    pub indirect_probes: usize,
    /// A suspect may deny it for so many periods, for each doubling of the members.
    pub suspicion_multiplier: i64,
    /// Who says that one that fell silent counts no more.
    pub eviction: EvictionPolicy,
    /// A member that fell silent counts for so long after it was given up, where a quorum may forget it. Goodbyes are
    /// remembered for as long, so that nobody who missed them brings one back that left.
    pub dead_retention: i64,
    /// A fresh node goes by the number it was told to expect for so long at least, until it learned of nobody new between two
    /// fetches, and until more than half of that number answer.
    pub settling_time: i64,
    /// So many controllers are expected.
    pub expected_members: usize,
    /// All that is known is fetched from one member so often.
    pub sync_interval: i64,
    /// Records that ride on a packet.
    pub max_piggybacked_records: usize,
    /// Members at most; further ones are not taken.
    pub max_members: usize,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        MembershipConfig {
            probe_period: 1_000_000,
            probe_timeout: 300_000,
            indirect_probes: 3,
            suspicion_multiplier: 4,
            eviction: EvictionPolicy::Operator,
            dead_retention: 600_000_000,
            settling_time: 30_000_000,
            expected_members: 1,
            sync_interval: 15_000_000,
            max_piggybacked_records: 16,
            max_members: 4_096,
        }
    }
}

/// How a member stands. Later ones overrule earlier ones of the same start and denial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It does not, and may deny that it is gone.
    Suspect,
    /// It was given up.
    Dead,
    /// It said goodbye.
    Left,
}

/// What is known of a member. A later start overrules an earlier one, then a later denial, then the standing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Who: the address it is reached at.
    pub member: SocketAddr,
    /// When it started, in microseconds of its clock.
    pub incarnation: u64,
    /// How often it denied a suspicion.
    pub refutations: u32,
    /// How it stands.
    pub state: MemberState,
    /// For how long it has stood so, in milliseconds, rounded up; zero while it is alive. It overrules nothing, but all
    /// forget one that is gone at about the same time, and nobody learns of it anew.
    pub state_age_ms: u32,
}

impl MemberRecord {
    fn rank(&self) -> (u64, u32, MemberState) {
        (self.incarnation, self.refutations, self.state)
    }
}

/// What a packet is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Are you there?
    Probe(u32),
    /// I am.
    Ack(u32),
    /// Probe this one for me.
    IndirectProbe(u32, SocketAddr),
    /// Tell me all you know.
    SyncRequest,
    /// A part of all I know, or mere news.
    Update,
}

/// Of whom a view consists.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ViewTag {
    /// The view's number: it rises by one with each change, at its holder.
    pub version: u64,
    /// Alike where the same members count, whoever holds the view.
    pub digest: u64,
}

/// An operator's word that one that fell silent is gone for good, as a packet for any member: a goodbye in its name. If it lives
/// it denies that as soon as it hears of it.
pub fn eviction_packet(record: MemberRecord) -> Packet {
    let record = MemberRecord { state: MemberState::Left, state_age_ms: 0, ..record };
    Packet { message: Message::Update, records: vec![record], view_tag: None }
}

/// What is sent: a message, and records that ride on it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Packet {
    /// For what.
    pub message: Message,
    /// News.
    pub records: Vec<MemberRecord>,
    /// The sender's view. Builds of the first form of packets neither send nor read it: it stands behind the rest
    /// ([`crate::authentication`]).
    #[serde(skip)]
    pub view_tag: Option<ViewTag>,
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
    pub is_settled: bool,
    /// Those that answer are more than half of all that count.
    pub has_quorum: bool,
    /// Of whom it consists.
    pub tag: ViewTag,
}

/// How a member stands with a node, for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// What is known of it.
    pub record: MemberRecord,
    /// It counts.
    pub is_counted: bool,
    /// When a packet of its own last came; none if never.
    pub last_heard_at: Option<i64>,
    /// The view that it last told of.
    pub view_tag: Option<ViewTag>,
}

/// What became of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MembershipChange {
    /// It was heard of for the first time.
    Joined,
    /// It does not answer.
    Suspected,
    /// It denied that it is gone.
    Refuted,
    /// It was given up.
    DeclaredDead,
    /// It is there again: another process at its address, or the one that was given up.
    Rejoined,
    /// It said goodbye, or an operator said it is gone for good.
    Left,
    /// A quorum went on without it.
    Evicted,
    /// Of this node itself: a process of its address that started later was heard of, and this one goes on as later still. Once
    /// is a clock that was set back; again and again is a second process under its address.
    Superseded,
}

/// A change, and on whose word it was believed: this node's own address where it found out itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct MembershipEvent {
    /// Whose.
    pub member: SocketAddr,
    /// What.
    pub change: MembershipChange,
    /// On whose word.
    pub source: SocketAddr,
}

/// Who heard nobody for so many periods is deaf, cut off, or stood still.
const DEAF: i64 = 3;
/// News that wait to be taken, at most; later ones are lost, as they only tell what is known.
const MOST_NEWS: usize = 1_024;

/// What was counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Counters {
    /// Suspicions of our own.
    pub suspicions: u64,
    /// Suspicions, of whomever, that were denied.
    pub refutations: u64,
    /// Members given up.
    pub declared_dead: u64,
    /// Members not taken, as there were too many.
    pub rejected_at_capacity: u64,
    /// Times that nobody was heard for so long that this node was cut off, or stood still.
    pub isolations: u64,
    /// Suspects that were heard, and denied for.
    pub proxy_refutations: u64,
    /// Members said to be gone by others while this node had no doubt of them, or had heard them since.
    pub uncorroborated: u64,
    /// Members forgotten by a quorum.
    pub evicted: u64,
    /// Times that a later process of its own address was heard of; more than one: there are two.
    pub superseded: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Member {
    record: MemberRecord,
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
    tag: Option<ViewTag>,
}

impl Member {
    /// Its record with its age, as it is told to others.
    fn aged(&self, now: i64) -> MemberRecord {
        let ms = if self.record.state == MemberState::Alive { 0 } else { (now - self.since).max(0) as u64 };
        MemberRecord { state_age_ms: u32::try_from(ms.div_ceil(1_000)).unwrap_or(u32::MAX), ..self.record }
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
    limits: MembershipConfig,
    own: MemberRecord,
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
    tag: ViewTag,
    /// Since when all that was heard tells of other views than ours.
    apart: Option<i64>,
    draws: u64,
    counters: Counters,
    events: Vec<MembershipEvent>,
}

impl Node {
    /// A node that knows of itself and of whom to ask. The same seed and inputs give the same packets.
    pub fn new(
        own: SocketAddr,
        incarnation: u64,
        seeds: Vec<SocketAddr>,
        limits: MembershipConfig,
        seed: u64,
        now: i64,
    ) -> Node {
        let own = MemberRecord {
            member: own,
            incarnation,
            refutations: 0,
            state: MemberState::Alive,
            state_age_ms: 0,
        };
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
            tag: ViewTag { version: 0, digest: mark(own.member) },
            apart: None,
            draws: seed,
            counters: Counters::default(),
            events: Vec::new(),
        };
        // Nodes that start together do not all probe at once.
        node.next_period = now + node.draw(limits.probe_period.max(1) as u64) as i64;
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
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// What became of members since the last call.
    pub fn take_events(&mut self) -> Vec<MembershipEvent> {
        std::mem::take(&mut self.events)
    }

    /// All that are known, this one not.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values().map(|m| &m.record)
    }

    /// Whether one is known, and has not left.
    pub fn is_counted(&self, member: &SocketAddr) -> bool {
        self.members.get(member).is_some_and(|m| m.counts)
    }

    /// How all that are known stand, this one not.
    pub fn member_statuses(&self, now: i64) -> impl Iterator<Item = MemberStatus> + '_ {
        self.members.values().map(move |m| MemberStatus {
            record: m.aged(now),
            is_counted: m.counts,
            last_heard_at: m.spoke,
            view_tag: m.tag,
        })
    }

    /// For how long all that was heard tells of other views than ours, in microseconds; zero while somebody's is alike.
    pub fn diverged_for(&self, now: i64) -> i64 {
        self.apart.map_or(0, |since| (now - since).max(0))
    }

    /// What to act on now.
    pub fn view(&self) -> View {
        // One pass, as laboratories look at every view of large fleets.
        let (mut seen, mut alive, mut index, mut doubtful) = (1, 1, 0, false);
        for m in self.members.values() {
            seen += usize::from(m.counts);
            index += usize::from(m.counts && m.record.member < self.own.member);
            alive += usize::from(m.record.state == MemberState::Alive);
            doubtful |= m.record.state == MemberState::Suspect;
        }
        let sure = self.listened && self.confirmed;
        let count = if sure { seen } else { seen.max(self.limits.expected_members) };
        let quorum = 2 * alive > seen;
        View { count, index, alive, is_settled: sure && !doubtful, has_quorum: quorum, tag: self.tag }
    }

    /// Lets a member count, or no more.
    fn count_on(&mut self, member: SocketAddr, counts: bool) {
        if let Some(m) = self.members.get_mut(&member).filter(|m| m.counts != counts) {
            m.counts = counts;
            self.tag = ViewTag { version: self.tag.version + 1, digest: self.tag.digest ^ mark(member) };
        }
    }

    /// The start that this node tells of itself: at least its own, and later than that of any process before it there.
    pub fn incarnation(&self) -> u64 {
        self.own.incarnation
    }

    /// To one whose datagrams are dropped, as a process of its address with a later start was heard: what that start was.
    pub fn incarnation_notice(&self, to: SocketAddr, incarnation: u64) -> Packet {
        let record = MemberRecord {
            member: to,
            incarnation,
            refutations: 0,
            state: MemberState::Alive,
            state_age_ms: 0,
        };
        Packet { message: Message::Update, records: vec![self.own, record], view_tag: Some(self.tag) }
    }

    /// When [`Node::tick`] is next wanted.
    pub fn next_tick_at(&self) -> i64 {
        let help = self.probing.as_ref().and_then(|p| p.again_at);
        [Some(self.next_period), Some(self.next_fetch), help].into_iter().flatten().min().unwrap_or(i64::MAX)
    }

    /// Does what has come due.
    pub fn tick(&mut self, now: i64, out: &mut Vec<(SocketAddr, Packet)>) {
        self.helping.retain(|_, (_, _, until)| now < *until);
        // Between two fetches nobody new was told of: that is all there are.
        let quiet = now - self.newest > self.limits.sync_interval + self.limits.probe_period;
        self.listened |= self.heard && quiet && now - self.began >= self.limits.settling_time;
        // Guards against a part of a fleet that starts anew within a split, and would take itself for all there is; and, as it
        // meets the others, what it has heard of by then.
        self.confirmed |= self.listened && quiet && 2 * self.view().alive > self.limits.expected_members;
        if self.probing.as_ref().and_then(|p| p.again_at).is_some_and(|at| now >= at) {
            self.look_again(now, out);
        }
        if now >= self.next_period {
            self.end_period(now);
            self.begin_period(now, out);
            self.ask_suspects(now, out);
            // A node that stood still does not make up for it.
            self.next_period = (self.next_period + self.limits.probe_period).max(now + 1);
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
            let alive = |m: &&Member| m.record.state == MemberState::Alive;
            match self.members.get(&p.target).filter(alive).map(|m| m.record) {
                // Guards against losses: one silent period is a doubt, two in a row are a suspicion.
                Some(_) if !p.doubted => self.doubt = Some((p.target, p.number)),
                Some(record) => {
                    self.counters.suspicions += 1;
                    let record = MemberRecord { state: MemberState::Suspect, state_age_ms: 0, ..record };
                    self.learn(now, record, self.own.member);
                }
                None => {}
            }
        }
        let patience = self.patience();
        // Guards against giving up one that does not hear us, and so can't deny: as long as it is heard, it runs.
        for m in self.members.values_mut().filter(|m| m.record.state == MemberState::Suspect) {
            m.since = m.since.max(m.heard);
        }
        let overdue =
            |m: &&Member| m.record.state == MemberState::Suspect && now - m.since >= patience && !deaf;
        let over: Vec<MemberRecord> = self.members.values().filter(overdue).map(|m| m.record).collect();
        for record in over {
            self.counters.declared_dead += 1;
            self.learn(
                now,
                MemberRecord { state: MemberState::Dead, state_age_ms: 0, ..record },
                self.own.member,
            );
        }
        self.forget(now);
    }

    /// Lets go of who is gone for long, where that is allowed.
    fn forget(&mut self, now: i64) {
        let (hold, spread) = (self.limits.dead_retention, self.limits.sync_interval.saturating_mul(4));
        // Guards against a part that lost the others and would act on itself alone: it is no quorum, and counts on.
        if self.limits.eviction == EvictionPolicy::Quorum && self.view().has_quorum {
            let long = |m: &&Member| m.counts && m.record.state == MemberState::Dead && now - m.since >= hold;
            let long: Vec<SocketAddr> = self.members.values().filter(long).map(|m| m.record.member).collect();
            for member in long {
                self.counters.evicted += 1;
                self.count_on(member, false);
                self.tell(member, MembershipChange::Evicted, self.own.member);
            }
        }
        // Who counts no more is remembered until all have heard, lest it be learned of anew.
        self.members.retain(|_, m| {
            m.counts
                || match m.record.state {
                    MemberState::Left => now - m.since < hold.max(spread),
                    _ => now - m.since < hold + spread,
                }
        });
    }

    fn begin_period(&mut self, now: i64, out: &mut Vec<(SocketAddr, Packet)>) {
        let probed = |m: &Member| matches!(m.record.state, MemberState::Alive | MemberState::Suspect);
        if let Some((target, number)) =
            self.doubt.take().filter(|(a, _)| self.members.get(a).is_some_and(probed))
        {
            let again_at = Some(now + self.limits.probe_timeout);
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
        let (number, again_at) = (self.number, Some(now + self.limits.probe_timeout));
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
        now - self.last_heard > DEAF * self.limits.probe_period
    }

    /// Somebody is heard again. What was silent meanwhile was so for us alone: doubts begin anew.
    fn hears_again(&mut self, now: i64) {
        let gap = now - self.last_heard;
        self.counters.isolations += 1;
        (self.probing, self.doubt) = (None, None);
        for m in self.members.values_mut() {
            m.heard += gap;
            if m.record.state == MemberState::Suspect {
                m.since += gap;
            }
        }
    }

    /// Before a suspect is given up it is asked directly, again and again: a denial that did not come round to us comes so.
    fn ask_suspects(&mut self, now: i64, out: &mut Vec<(SocketAddr, Packet)>) {
        let half = self.patience() / 2;
        let late = |m: &&Member| m.record.state == MemberState::Suspect && now - m.since >= half;
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
        (self.limits.suspicion_multiplier * self.doublings() - 1) * self.limits.probe_period
    }

    fn ask_for_help(&mut self, now: i64, out: &mut Vec<(SocketAddr, Packet)>) {
        let Some((target, number)) = self.probing.as_ref().map(|p| (p.target, p.number)) else { return };
        let able = |m: &&Member| m.record.state == MemberState::Alive && m.record.member != target;
        let mut able: Vec<SocketAddr> = self.members.values().filter(able).map(|m| m.record.member).collect();
        for _ in 0..self.limits.indirect_probes {
            if able.is_empty() {
                break;
            }
            let i = self.draw(able.len() as u64) as usize;
            let helper = able.swap_remove(i);
            let packet = self.packet(now, Message::IndirectProbe(number, target), helper);
            out.push((helper, packet));
        }
    }

    /// Fetches all from one: a seed until somebody was heard, then anyone, those given up among them, so that halves of a
    /// split find each other again.
    fn fetch(&mut self, now: i64, out: &mut Vec<(SocketAddr, Packet)>) {
        let mut whom: Vec<SocketAddr> = self.seeds.clone();
        if self.heard {
            let there = self.members.values().filter(|m| m.record.state != MemberState::Left);
            whom.extend(there.map(|m| m.record.member));
        }
        whom.sort_unstable();
        whom.dedup();
        // A fresh one asks often, as what it has not heard by then comes only so.
        let wait = match (self.heard, self.listened) {
            (_, true) => self.limits.sync_interval,
            (true, false) => (3 * self.limits.probe_period).min(self.limits.sync_interval),
            (false, false) => self.limits.probe_period,
        };
        self.next_fetch = now + wait;
        if whom.is_empty() {
            // Alone, and told of nobody: that is all there is to hear.
            self.heard = true;
            return;
        }
        let i = self.draw(whom.len() as u64) as usize;
        let packet = self.packet(now, Message::SyncRequest, whom[i]);
        out.push((whom[i], packet));
    }

    /// A packet with the news told least often. What we hold of its receiver rides first, if it should deny that, and what
    /// we say of ourselves always.
    fn packet(&mut self, now: i64, message: Message, to: SocketAddr) -> Packet {
        let mut records = vec![self.own];
        let doubted = self.members.get(&to).map(|m| m.aged(now)).filter(|r| r.state != MemberState::Alive);
        records.extend(doubted);
        let most = 3 * (self.doublings() as u32 + 1);
        let mut news: Vec<(u32, SocketAddr)> = self
            .members
            .values()
            .filter(|m| m.told < most && m.record.member != to)
            .map(|m| (m.told, m.record.member))
            .collect();
        news.sort_unstable();
        for (_, member) in
            news.into_iter().take(self.limits.max_piggybacked_records.saturating_sub(records.len()))
        {
            if let Some(m) = self.members.get_mut(&member) {
                m.told += 1;
                records.push(m.aged(now));
            }
        }
        Packet { message, records, view_tag: Some(self.tag) }
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
        for record in packet.records.iter().take(self.limits.max_members) {
            self.learn(now, *record, from);
        }
        self.compare(now, from, packet.view_tag);
        match packet.message {
            Message::Probe(number) => {
                let packet = self.packet(now, Message::Ack(number), from);
                out.push((from, packet));
            }
            Message::Ack(number) => {
                if let Some(p) = self.probing.as_mut().filter(|p| p.number == number) {
                    p.answered = true;
                } else if let Some((whom, theirs, _)) = self.helping.remove(&number) {
                    let packet = self.packet(now, Message::Ack(theirs), whom);
                    out.push((whom, packet));
                }
            }
            Message::IndirectProbe(theirs, target) => {
                // A helper helps so many at once, lest it be made a flood.
                if self.helping.len() < 64 && target != self.own.member {
                    self.number = self.number.wrapping_add(1);
                    let number = self.number;
                    self.helping.insert(number, (from, theirs, now + self.limits.probe_period));
                    let packet = self.packet(now, Message::Probe(number), target);
                    out.push((target, packet));
                }
            }
            Message::SyncRequest => {
                let all: Vec<MemberRecord> =
                    std::iter::once(self.own).chain(self.members.values().map(|m| m.aged(now))).collect();
                for records in all.chunks(self.limits.max_piggybacked_records.max(1)) {
                    out.push((
                        from,
                        Packet {
                            message: Message::Update,
                            records: records.to_vec(),
                            view_tag: Some(self.tag),
                        },
                    ));
                }
            }
            Message::Update => {}
        }
    }

    /// Holds the view that somebody tells of against ours.
    fn compare(&mut self, now: i64, from: SocketAddr, tag: Option<ViewTag>) {
        let Some((m, tag)) = self.members.get_mut(&from).zip(tag) else { return };
        m.tag = Some(tag);
        self.apart = match self.apart {
            _ if tag.digest == self.tag.digest => None,
            since => since.or(Some(now)),
        };
    }

    /// What is said of a member, or of this one, and by whom.
    fn learn(&mut self, now: i64, record: MemberRecord, by: SocketAddr) {
        if record.member == self.own.member {
            // Only one process holds an address at a time, so a later start is that of a process before this one, by a clock
            // that was set back since. Ours must be later still, or nobody heeds it.
            if record.incarnation > self.own.incarnation {
                (self.own.incarnation, self.own.refutations) = (record.incarnation.saturating_add(1), 0);
                self.counters.superseded += 1;
                self.tell(self.own.member, MembershipChange::Superseded, by);
                return;
            }
            // Whatever is said of us that is not so is denied.
            if record.incarnation == self.own.incarnation
                && record.state != MemberState::Alive
                && self.own.state == MemberState::Alive
                && record.refutations >= self.own.refutations
            {
                self.counters.refutations += 1;
                self.own.refutations = record.refutations.saturating_add(1);
            }
            return;
        }
        let record = match self.doubtful(now, &record) {
            true if by != self.own.member => {
                self.counters.uncorroborated += 1;
                MemberRecord { state: MemberState::Suspect, state_age_ms: 0, ..record }
            }
            _ => record,
        };
        let since = now - i64::from(record.state_age_ms) * 1_000;
        // Nobody learns of one that left, or of one that a quorum is about to forget.
        let fading = match record.state {
            MemberState::Left => now - since >= self.limits.dead_retention,
            MemberState::Dead => {
                self.limits.eviction == EvictionPolicy::Quorum
                    && now - since >= self.limits.dead_retention
                    && self.view().has_quorum
            }
            _ => false,
        };
        // One that is not learned of anyway pushes no goodbye out.
        let room = fading || self.members.contains_key(&record.member) || self.room();
        match self.members.get_mut(&record.member) {
            Some(m) if record.rank() > m.record.rank() => {
                let was = m.record.state;
                if was == MemberState::Suspect && record.state == MemberState::Alive {
                    self.counters.refutations += 1;
                }
                // Held from when it was first given up, whoever repeats it; but each gives a suspect its own time to deny.
                if was != record.state || record.incarnation != m.record.incarnation {
                    m.since = if record.state == MemberState::Suspect { now } else { since };
                }
                if record.incarnation != m.record.incarnation {
                    m.heard = now;
                }
                let restarted = record.incarnation != m.record.incarnation;
                (m.record, m.told) = (record, 0);
                let counts = m.counts || restarted || record.state < MemberState::Dead;
                let change = match (was, record.state) {
                    (was, now) if was == now && !restarted => None,
                    (MemberState::Suspect, MemberState::Alive) if !restarted => {
                        Some(MembershipChange::Refuted)
                    }
                    (_, MemberState::Alive) => Some(MembershipChange::Rejoined),
                    (_, MemberState::Suspect) => Some(MembershipChange::Suspected),
                    (_, MemberState::Dead) => Some(MembershipChange::DeclaredDead),
                    (_, MemberState::Left) => Some(MembershipChange::Left),
                };
                change.into_iter().for_each(|change| self.tell(record.member, change, by));
                self.count_on(record.member, counts && record.state != MemberState::Left);
            }
            Some(_) => {}
            None if fading => {}
            None if !room => self.counters.rejected_at_capacity += 1,
            None => {
                let (heard, spoke) = if by == record.member { (now, Some(now)) } else { (since, None) };
                let member = Member { record, since, told: 0, heard, spoke, counts: false, tag: None };
                self.members.insert(record.member, member);
                self.count_on(record.member, record.state != MemberState::Left);
                self.newest = now;
                self.tell(record.member, MembershipChange::Joined, by);
            }
        }
    }

    /// Guards against giving up one that is heard and hears nobody: it can't deny, so who hears it does so in its place. One that
    /// hears has denied before, as it is told first of all what is held of it.
    fn vouch(&mut self, now: i64, from: SocketAddr, packet: &Packet) {
        let own = packet.records.iter().find(|r| r.member == from);
        let Some((m, own)) = self.members.get(&from).zip(own) else { return };
        let silent = matches!(m.record.state, MemberState::Suspect | MemberState::Dead)
            && (own.incarnation, own.state) == (m.record.incarnation, MemberState::Alive)
            && own.refutations <= m.record.refutations;
        if silent && now - m.since >= 2 * self.limits.probe_period {
            self.counters.proxy_refutations += 1;
            let refutations = m.record.refutations.saturating_add(1);
            self.learn(now, MemberRecord { refutations, ..*own }, self.own.member);
        }
    }

    /// Whether somebody is said to be gone of whom we had no doubt, or not for long. Guards against the word of those who lost
    /// the others, behind a cut or deaf: it begins a doubt, and is no end of one. Who did hear of the suspicion when it was
    /// raised has waited by now. Who was heard after the time that it is said to have left at did not leave: an operator let it
    /// be forgotten on the other side of a cut.
    fn doubtful(&self, now: i64, record: &MemberRecord) -> bool {
        let Some(m) = self.members.get(&record.member).filter(|m| m.record.incarnation == record.incarnation)
        else {
            return false;
        };
        let waited = m.record.state == MemberState::Suspect && 2 * (now - m.since) >= self.patience();
        let since = now - i64::from(record.state_age_ms) * 1_000;
        match record.state {
            MemberState::Dead => m.record.state < MemberState::Dead && !waited,
            MemberState::Left => m.spoke.is_some_and(|spoke| spoke > since + 2 * self.limits.probe_period),
            _ => false,
        }
    }

    /// Whether one more may be known; the one that left, or was forgotten, longest ago makes room.
    fn room(&mut self) -> bool {
        if self.members.len() >= self.limits.max_members {
            let past = self.members.values().filter(|m| !m.counts).min_by_key(|m| m.since);
            if let Some(past) = past.map(|m| m.record.member) {
                self.members.remove(&past);
            }
        }
        self.members.len() < self.limits.max_members
    }

    fn tell(&mut self, member: SocketAddr, change: MembershipChange, by: SocketAddr) {
        if self.events.len() < MOST_NEWS {
            self.events.push(MembershipEvent { member, change, source: by });
        }
    }

    /// Says goodbye: to a few now, who tell the others.
    pub fn leave(&mut self, out: &mut Vec<(SocketAddr, Packet)>) {
        self.own.state = MemberState::Left;
        let mut alive: Vec<SocketAddr> = self
            .members
            .values()
            .filter(|m| m.record.state == MemberState::Alive)
            .map(|m| m.record.member)
            .collect();
        for _ in 0..8 {
            if alive.is_empty() {
                break;
            }
            let i = self.draw(alive.len() as u64) as usize;
            let to = alive.swap_remove(i);
            out.push((to, Packet { message: Message::Update, records: vec![self.own], view_tag: None }));
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
