//! Endings in any order: clients that leave, connections that break, drains, second answers, a stop, several of them heard in one
//! turn. Judged by the seven rules from what crossed the connections; planted faults are found.

mod common;
use common::*;
use proptest::prelude::*;
use std::collections::BTreeMap;
use wheelfield_invariants::{judge, Asked, End, Evidence, Life, Line, NotUp, OfClass, Tolerance};
use wheelfield_platform::BootstrapConfig;
use wheelfield_sans_io::{ConnId, DatagramSocket, IoEvent, Listener, Protocol};

/// A fault on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Plant {
    /// Departures are heard once all else of a turn is done.
    DepartureLast,
    /// The list does not reach the controller.
    DrainUnheard,
    /// What went to executors is forgotten.
    SpentForgotten,
    /// The listener closes with the word to stop.
    ListenerEarly,
}

/// Something that happens outside; the numbers choose among what there is.
#[derive(Clone, Debug)]
enum Step {
    Ask { class: usize, wait_ms: i64 },
    AskAgain(usize),
    Leave { which: usize, breaks: bool },
    Up(usize),
    Refused(usize),
    Says { which: usize, what: u8 },
    Breaks(usize),
    Lists { which: u8, status: u8 },
}

fn step() -> impl Strategy<Value = Step> {
    let wait = prop::sample::select(vec![150i64, 900, 4_000, 20_000]);
    prop_oneof![
        6 => (0usize..2, wait).prop_map(|(class, wait_ms)| Step::Ask { class, wait_ms }),
        1 => any::<usize>().prop_map(Step::AskAgain),
        3 => (any::<usize>(), any::<bool>()).prop_map(|(which, breaks)| Step::Leave { which, breaks }),
        6 => any::<usize>().prop_map(Step::Up),
        1 => any::<usize>().prop_map(Step::Refused),
        8 => (any::<usize>(), 0u8..9).prop_map(|(which, what)| Step::Says { which, what }),
        2 => any::<usize>().prop_map(Step::Breaks),
        2 => (1u8..4, 0u8..3).prop_map(|(which, status)| Step::Lists { which, status }),
    ]
}

/// Turns: what happens in each, and the milliseconds that pass after it.
fn day() -> impl Strategy<Value = Vec<(Vec<Step>, i64)>> {
    let pause = prop::sample::select(vec![0i64, 1, 20, 60, 300]);
    prop::collection::vec((prop::collection::vec(step(), 1..6), pause), 5..60)
}

struct World {
    harness: Harness,
    plant: Option<Plant>,
    asked: Vec<Asked>,
    clients: BTreeMap<ConnId, usize>,
    /// Of each connection to an executor: which, what it has in hand, and what is half read.
    conns: BTreeMap<ConnId, (String, Vec<String>, Vec<u8>)>,
    log: Vec<Line>,
    status: BTreeMap<u8, u8>,
    serial: u32,
    /// What was heard of departures only after the turn.
    late: Vec<(ConnId, bool)>,
}

fn address(last: u8) -> std::net::SocketAddr {
    format!("127.1.0.{last}:6565").parse().expect("an address")
}

impl World {
    fn new(plant: Option<Plant>) -> World {
        let harness = Harness::new(3);
        World {
            harness,
            plant,
            asked: Vec::new(),
            clients: BTreeMap::new(),
            conns: BTreeMap::new(),
            log: Vec::new(),
            status: (1..4).map(|n| (n, 0)).collect(),
            serial: 3,
            late: Vec::new(),
        }
    }

    fn hears(&mut self, what: IoEvent<'_>) {
        self.harness.platform.handle_io(self.harness.now, what);
    }

    /// A line of what happened; what is sent in a turn is sent after all that is heard in it.
    fn line(&mut self, after: i64, event: &str, engine: &str, query: &str) {
        let (t, by) = (self.harness.now + after, "wheelfield/0".to_string());
        let (event, engine, query) = (event.to_string(), engine.to_string(), Some(query.to_string()));
        self.log.push(Line { t, event, engine, query, by, ..Line::default() });
    }

    fn asks(&mut self, class: usize, wait_ms: i64, n: u64) -> Option<ConnId> {
        let client = self.harness.platform.accept(self.harness.now, Listener::Clients)?;
        let call =
            query_request(["look", "load"][class], &request_id(n), "").replace("2000", &wait_ms.to_string());
        self.hears(IoEvent::Received(client, call.as_bytes()));
        Some(client)
    }

    fn ask(&mut self, class: usize, wait_ms: i64, taken: bool) {
        let n = self.asked.len() as u64 + 1;
        let sent = self.harness.now;
        let client = if taken { self.asks(class, wait_ms, n) } else { None };
        let (end, ended) = if client.is_some() { (None, i64::MAX) } else { (Some(End::Broke), sent) };
        self.asked.push(Asked {
            id: request_id(n),
            class,
            key: None,
            controller: 0,
            sent,
            due: sent + wait_ms * 1_000,
            ended,
            end,
            answers: 0,
            after: None,
            wrong: None,
        });
        if let Some(client) = client {
            self.clients.insert(client, n as usize - 1);
        }
    }

    fn nth<K: Copy + Ord, V>(of: &BTreeMap<K, V>, which: usize, is: impl Fn(&V) -> bool) -> Option<K> {
        let all: Vec<K> = of.iter().filter(|(_, v)| is(v)).map(|(k, _)| *k).collect();
        (!all.is_empty()).then(|| all[which % all.len()])
    }

    fn happens(&mut self, step: &Step) {
        match *step {
            Step::Ask { class, wait_ms } => self.ask(class, wait_ms, true),
            Step::AskAgain(which) => {
                // Only of what ran: what never did may come again.
                let ran: Vec<u64> = (0..self.asked.len())
                    .filter(|n| self.asked[*n].class == 1 && self.asked[*n].end == Some(End::Served))
                    .map(|n| n as u64 + 1)
                    .collect();
                if !ran.is_empty() {
                    if self.plant == Some(Plant::SpentForgotten) {
                        self.harness.platform.prune_records();
                    }
                    self.asks(1, 5_000, ran[which % ran.len()]);
                }
            }
            Step::Leave { which, breaks } => {
                let asked = &self.asked;
                let Some(client) = World::nth(&self.clients, which, |n| asked[*n].end.is_none()) else {
                    return;
                };
                let n = self.clients[&client];
                (self.asked[n].end, self.asked[n].ended) = (Some(End::Left), self.harness.now);
                if self.plant == Some(Plant::DepartureLast) {
                    self.late.push((client, breaks));
                } else {
                    self.leaves(client, breaks);
                }
            }
            Step::Up(which) => {
                if !self.harness.connects.is_empty() {
                    let (conn, _) = self.harness.connects.remove(which % self.harness.connects.len());
                    self.hears(IoEvent::Connected(conn));
                }
            }
            Step::Refused(which) => {
                if !self.harness.connects.is_empty() {
                    let (conn, _) = self.harness.connects.remove(which % self.harness.connects.len());
                    self.hears(IoEvent::Broken { id: conn, writing: true, refused: true, reason: "refused" });
                }
            }
            Step::Says { which, what } => self.says(which, what),
            Step::Breaks(which) => {
                let Some(conn) = World::nth(&self.conns, which, |_| true) else { return };
                self.over(conn);
                self.hears(IoEvent::Broken { id: conn, writing: false, refused: false, reason: "reset" });
            }
            Step::Lists { which, status } => {
                self.status.insert(which, status);
                self.lists();
            }
        }
    }

    fn leaves(&mut self, client: ConnId, breaks: bool) {
        self.hears(match breaks {
            true => IoEvent::Broken { id: client, writing: false, refused: false, reason: "reset" },
            false => IoEvent::Closing(client),
        });
    }

    /// The name service tells how the executors are.
    fn lists(&mut self) {
        let Some(question) = self.harness.datagrams.iter().rev().find(|d| d.0 == DatagramSocket::Discovery)
        else {
            return;
        };
        self.serial += 1;
        let named: Vec<(String, u8, u16)> = self
            .status
            .iter()
            .filter(|(_, status)| **status < 2)
            .map(|(n, status)| (format!("e{n}"), *n, u16::from(*status)))
            .collect();
        let named: Vec<(&str, u8, u16)> = named.iter().map(|(name, n, p)| (name.as_str(), *n, *p)).collect();
        let bytes = dns_answer(&question.2, self.serial, &named).to_vec().expect("bytes");
        let not_up = self.status.iter().filter(|(_, s)| **s > 0).map(|(n, s)| NotUp {
            engine: format!("e{n}"),
            status: ["", "draining", "removed"][usize::from(*s)].to_string(),
        });
        let not_up = not_up.collect();
        let (t, event, who) = (self.harness.now, "told".to_string(), "0".to_string());
        self.log.push(Line { t, event, who, not_up, ..Line::default() });
        if self.plant != Some(Plant::DrainUnheard) {
            let from = RESOLVER.parse().expect("an address");
            self.hears(IoEvent::Datagram(DatagramSocket::Discovery, from, &bytes));
        }
    }

    /// A connection to an executor is no more, and what it had there.
    fn over(&mut self, conn: ConnId) {
        let Some((engine, running, _)) = self.conns.remove(&conn) else { return };
        for query in running {
            self.line(0, "dropped", &engine, &query);
        }
    }

    fn says(&mut self, which: usize, what: u8) {
        let Some(conn) = World::nth(&self.conns, which, |(_, running, _)| !running.is_empty()) else {
            return;
        };
        let (engine, running, _) = self.conns.get_mut(&conn).expect("chosen");
        let query = running[which % running.len()].clone();
        let ends = what != 7;
        if ends {
            running.retain(|q| *q != query);
        }
        let engine = engine.clone();
        let row = format!("{query}\t1\tx\n");
        let hit = format!("{query} HIT pages=1,cost=9.0,meter=util:0.3 {}\r\n{row}\r\n", row.len());
        let (event, text) = match what {
            0..=2 => ("finished", hit),
            3 => ("refused", format!("{query} SHED - 0\r\n\r\n")),
            4 => ("errored", format!("{query} FAULT - 0\r\n\r\n")),
            5 => ("refused", format!("{query} LATE - 0\r\n\r\n")),
            6 => ("finished", format!("{hit}{hit}")),
            7 => ("", format!("{query} INFO tell=pct,v=0.4 0\r\n\r\n")),
            _ => ("finished", format!("{query} HIT pages=1 5000000\r\nnoise")),
        };
        if ends {
            self.line(0, event, &engine, &query);
        }
        self.hears(IoEvent::Received(conn, text.as_bytes()));
        if what == 2 {
            // Its end lies right behind.
            self.over(conn);
            self.hears(IoEvent::Ended(conn));
        }
    }

    /// Ends a turn: what is to be done outside is done, and read by whom it is for.
    fn turn(&mut self) {
        self.harness.platform.handle_timers(self.harness.now);
        self.look();
        for (client, breaks) in std::mem::take(&mut self.late) {
            self.leaves(client, breaks);
        }
        self.look();
    }

    fn look(&mut self) {
        self.harness.run_effects();
        for (conn, at) in &self.harness.connects {
            let name = (1..4).find(|n| address(*n) == *at).map(|n| format!("e{n}")).expect("one of three");
            self.conns.entry(*conn).or_insert((name, Vec::new(), Vec::new()));
        }
        for (conn, bytes) in std::mem::take(&mut self.harness.written) {
            match self.clients.get(&conn).copied() {
                Some(n) => self.told(n, &String::from_utf8_lossy(&bytes)),
                None => self.sent(conn, &bytes),
            }
        }
        for conn in std::mem::take(&mut self.harness.closed) {
            self.harness.connects.retain(|(c, _)| *c != conn);
            self.over(conn);
            if let Some(n) = self.clients.remove(&conn).filter(|n| self.asked[*n].end.is_none()) {
                (self.asked[n].end, self.asked[n].ended) = (Some(End::Broke), self.harness.now);
            }
        }
    }

    fn told(&mut self, n: usize, text: &str) {
        let asked = &mut self.asked[n];
        let left = asked.end == Some(End::Left);
        asked.answers += text.matches("HTTP/1.1 ").count() as u32 * u32::from(!left);
        if asked.end.is_some() {
            return;
        }
        asked.ended = self.harness.now;
        asked.end = Some(match status(text) {
            200 => End::Served,
            503 => End::Refused,
            _ => End::Failed,
        });
        if asked.end == Some(End::Served) && !text.contains(&format!("[\"{}\",\"1\",\"x\"]", asked.id)) {
            asked.wrong = Some(text.to_string());
        }
    }

    fn sent(&mut self, conn: ConnId, bytes: &[u8]) {
        let Some((engine, running, half)) = self.conns.get_mut(&conn) else { return };
        half.extend_from_slice(bytes);
        let text = String::from_utf8(std::mem::take(half)).expect("text");
        let engine = engine.clone();
        let mut happened = Vec::new();
        for line in text.split("\r\n") {
            let words: Vec<&str> = line.split(' ').collect();
            match words[..] {
                ["REQ", query, _, _] => {
                    running.push(query.to_string());
                    happened.push(("received", query.to_string()));
                }
                ["STOP", query] if running.iter().any(|q| q == query) => {
                    running.retain(|q| q != query);
                    happened.push(("dropped", query.to_string()));
                }
                _ => {}
            }
        }
        happened.into_iter().for_each(|(event, query)| self.line(1, event, &engine, &query));
    }

    fn pass(&mut self, micros: i64) {
        let until = self.harness.now + micros;
        loop {
            let due = self.harness.platform.next_timer_at().filter(|at| *at <= until);
            // A moment apart from what was before.
            self.harness.now = due.unwrap_or(until).max(self.harness.now + 10);
            self.turn();
            if due.is_none() {
                return;
            }
        }
    }

    /// The whole day, then a stop with clients that still come; what was broken.
    fn play(mut self, day: &[(Vec<Step>, i64)]) -> Vec<String> {
        let start = self.harness.now;
        self.pass(300_000);
        for (steps, pause) in day {
            steps.iter().for_each(|step| self.happens(step));
            self.turn();
            self.pass(pause * 1_000);
        }
        self.harness.platform.begin_shutdown(self.harness.now);
        self.turn();
        for _ in 0..5 {
            let taken = self.harness.listening && self.plant != Some(Plant::ListenerEarly);
            self.ask(0, 4_000, taken);
            self.turn();
            while !self.harness.connects.is_empty() {
                self.happens(&Step::Up(0));
                self.turn();
            }
            self.happens(&Step::Says { which: 0, what: 0 });
            self.pass(100_000);
        }
        self.pass(5_000_000);
        for asked in self.asked.iter_mut().filter(|a| a.end.is_none()) {
            (asked.end, asked.ended) = (Some(End::NoAnswer), self.harness.now);
        }
        let launch = BootstrapConfig::parse(&config(Vec::new(), 256)).expect("sound");
        let of = |name: &str| OfClass { name: name.to_string(), usual_work: 0.1, ..OfClass::default() };
        let lives = [Life { controller: 0, from: 0, killed: None, stalls: Vec::new(), entered: false }];
        let evidence = Evidence {
            settings: &launch.settings,
            grace: 0,
            classes: &[of("look"), of("load")],
            cores: &BTreeMap::new(),
            start,
            asked: &self.asked,
            log: &self.log,
            lives: &lives,
            tolerance: Tolerance::STEPS,
        };
        let mut broken: Vec<String> =
            judge(&evidence).iter().map(|b| format!("{}: {}", b.rule, b.what)).collect();
        let late = self.harness.platform.abandonment_counts().forwarded_late;
        if late > 0 {
            broken.push(format!("{late} sent on for clients that had left"));
        }
        if !self.harness.stopped {
            broken.push("it does not end".to_string());
        }
        broken
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn events_in_any_order_keep_the_invariants(day in day()) {
        let broken = World::new(None).play(&day);
        prop_assert!(broken.is_empty(), "{broken:#?}");
    }
}

#[test]
fn injected_faults_are_detected() {
    use proptest::strategy::ValueTree;
    use proptest::test_runner::TestRunner;
    for (plant, rule) in [
        (Plant::DepartureLast, "lost"),
        (Plant::DrainUnheard, "drain"),
        (Plant::SpentForgotten, "twice"),
        (Plant::ListenerEarly, "lost"),
    ] {
        let mut runner = TestRunner::deterministic();
        let found = (0..300).any(|_| {
            let day = day().new_tree(&mut runner).expect("a day").current();
            World::new(Some(plant)).play(&day).iter().any(|b| b.starts_with(rule))
        });
        assert!(found, "{plant:?} is not found");
    }
}
