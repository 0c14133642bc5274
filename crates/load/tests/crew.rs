//! The clients in virtual time against a server of the tests: pauses must show, nothing may be lost.

use proptest::prelude::*;
use std::collections::{BTreeMap, VecDeque};
use wheelfield_load::crew::{Answer, Crew, Do};
use wheelfield_load::schedule::{draw, Send};
use wheelfield_load::script::Script;
use wheelfield_load::tally::{Total, SERVED};
use wheelfield_net::Timers;

const SECOND: i64 = 1_000_000;

/// What the server does.
#[derive(Clone, Copy)]
struct Server {
    /// Takes so long for a query.
    takes: i64,
    /// Stands still from
    from: i64,
    /// to.
    to: i64,
    /// Refuses every so many connections,
    refuses_connects: usize,
    /// and queries,
    refuses: usize,
    /// and breaks the connection at every so many queries.
    breaks: usize,
}

const SOUND: Server = Server { takes: 1_000, from: 0, to: 0, refuses_connects: 0, refuses: 0, breaks: 0 };

impl Server {
    /// When something that it is asked at a time is done.
    fn done(&self, at: i64, takes: i64) -> i64 {
        let end = at + takes;
        if end > self.from && at < self.to {
            self.to.max(at) + takes
        } else {
            end
        }
    }
}

enum Event {
    Opened(usize, u64, bool),
    Answered(usize, u64, bool),
    Broke(usize, u64),
}

/// Plays a load against a server; the generator itself stands still in a span.
#[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
fn play(script: &Script, sends: &[Send], server: Server, asleep: (i64, i64)) -> Total {
    let mut crew = Crew::new(script, sends, (0, 1), script.connections, 0, 1);
    let mut events: Timers<Event> = Timers::default();
    // Numbers of connections are used again.
    let mut lives: BTreeMap<usize, u64> = BTreeMap::new();
    let mut lines: BTreeMap<usize, VecDeque<i64>> = BTreeMap::new();
    let (mut now, mut connects, mut queries, mut births) = (0, 0_usize, 0_usize, 0);
    let end = script.length.0 .0 + 60 * SECOND;
    while now < end && !crew.done() {
        let next = [crew.next(), events.next_at()].into_iter().flatten().min().unwrap_or(end);
        now = next.max(now);
        if (asleep.0..asleep.1).contains(&now) {
            now = asleep.1;
        }
        while let Some(event) = events.pop_due(now) {
            match event {
                Event::Opened(conn, life, fine) if lives.get(&conn) == Some(&life) => {
                    if fine {
                        crew.opened(conn, now);
                    } else {
                        crew.broke(conn, now);
                    }
                }
                Event::Answered(conn, life, fine) if lives.get(&conn) == Some(&life) => {
                    let answer = if fine { Answer::Served } else { Answer::Error("53300", Some(50)) };
                    crew.answered(conn, answer, now);
                }
                Event::Broke(conn, life) if lives.get(&conn) == Some(&life) => crew.broke(conn, now),
                _ => {}
            }
        }
        crew.tick(now);
        loop {
            let todo = crew.todo();
            if todo.is_empty() {
                break;
            }
            for what in todo {
                match what {
                    Do::Open { conn, .. } => {
                        births += 1;
                        connects += 1;
                        lives.insert(conn, births);
                        lines.insert(conn, VecDeque::new());
                        let fine = server.refuses_connects == 0 || connects % server.refuses_connects != 0;
                        events.set(server.done(now, 200), Event::Opened(conn, births, fine));
                    }
                    Do::Write { conn, .. } => {
                        queries += 1;
                        let life = lives[&conn];
                        let line = lines.entry(conn).or_default();
                        // One after the other on a connection.
                        let from = line.back().copied().unwrap_or(now).max(now);
                        let at = server.done(from, server.takes);
                        line.push_back(at);
                        if server.breaks > 0 && queries.is_multiple_of(server.breaks) {
                            events.set(at, Event::Broke(conn, life));
                        } else {
                            let fine = server.refuses == 0 || !queries.is_multiple_of(server.refuses);
                            events.set(at, Event::Answered(conn, life, fine));
                        }
                    }
                    Do::Close { conn } => {
                        lives.remove(&conn);
                    }
                    Do::Cancel { .. } | Do::Mute { .. } => {}
                }
            }
        }
    }
    crew.finish()
}

fn script(text: &str) -> Script {
    Script::parse("test", text).unwrap_or_else(|fault| panic!("{fault}"))
}

fn steady(rate: f64, arrivals: &str) -> Script {
    script(&format!(
        "name = \"t\"\nlength = \"60s\"\nconnections = 20000\n[[streams]]\nname = \"q\"\nrate = {rate:?}\n\
         arrivals = {{ kind = {arrivals:?} }}\npatience = \"30s\"\nstatement = \"select 1\"\n"
    ))
}

fn quantile(sorted: &[i64], q: f64) -> f64 {
    sorted[((sorted.len() as f64 * q).ceil() as usize - 1).min(sorted.len() - 1)] as f64
}

#[test]
fn a_server_that_stalls_for_two_seconds_shows_in_the_tail_and_a_closed_loop_hides_it() {
    let server = Server { from: 20 * SECOND, to: 22 * SECOND, ..SOUND };
    for rate in [50.0, 500.0, 2_000.0] {
        for arrivals in ["poisson", "even"] {
            let script = steady(rate, arrivals);
            let sends = draw(&script, 7).expect("not too many");
            let total = play(&script, &sends, server, (0, 0));
            let all = total.all();
            assert_eq!(all.ended(SERVED), sends.len() as u64);
            // The truth: whoever comes in the pause waits for its end.
            let mut truth: Vec<i64> = sends.iter().map(|s| server.done(s.at, server.takes) - s.at).collect();
            truth.sort_unstable();
            for q in [0.99, 0.999] {
                let (told, is) = (all.latency.value_at_quantile(q) as f64, quantile(&truth, q));
                assert!((told / is - 1.0).abs() < 0.05, "{rate} {arrivals} p{q}: {told} told, {is} true");
                assert!(is > 1_000_000.0, "the pause is in the tail");
            }
            // Its twin: ten callers that each send as they have their answer.
            let mut closed = Vec::new();
            for caller in 0..10 {
                let mut now = i64::from(caller) * 100;
                while now < 60 * SECOND {
                    let done = server.done(now, server.takes);
                    closed.push(done - now);
                    // Paced to the same rate, but never behind: what was not sent is left out.
                    now = done.max(now + (10.0 * SECOND as f64 / rate) as i64);
                }
            }
            closed.sort_unstable();
            if rate >= 500.0 {
                assert!(quantile(&closed, 0.99) < 2_000.0, "it sees the pause ten times, whatever the rate");
            }
            assert_eq!(total.invalid(5_000), None, "the generator was in time");
        }
    }
}

#[test]
fn a_generator_that_was_descheduled_says_that_it_was_late() {
    let script = steady(200.0, "poisson");
    let sends = draw(&script, 1).expect("not too many");
    let total = play(&script, &sends, SOUND, (30 * SECOND, 31 * SECOND));
    assert!(total.invalid(5_000).is_some(), "{}", total.late.value_at_quantile(0.99));
    let all = total.all();
    assert_eq!(all.ended(SERVED), sends.len() as u64, "and still sends all");
    assert!(all.latency.value_at_quantile(0.999) > 900_000, "and counts from when they were meant to go");
}

#[test]
fn a_server_that_refuses_connections_ends_every_query() {
    let mut script = steady(100.0, "poisson");
    script.connections = 50;
    let sends = draw(&script, 1).expect("not too many");
    let total = play(&script, &sends, Server { refuses_connects: 1, ..SOUND }, (0, 0));
    let all = total.all();
    assert_eq!(all.ended("unreachable"), sends.len() as u64, "{:?}", all.ends);
    assert_eq!(total.opened, 0);
}

#[test]
fn clients_that_never_read_and_those_that_give_up_are_told_apart() {
    let script = script(
        "name = \"t\"\nlength = \"10s\"\nconnections = 4000\n[[streams]]\nname = \"q\"\nrate = 50\npatience = \"1s\"\n\
         never_reads = 0.2\nstatement = \"select 1\"\n[[streams]]\nname = \"slow\"\nrate = 20\npatience = \"500us\"\n\
         gives_up = \"cancel\"\nstatement = \"select 2\"\n",
    );
    let sends = draw(&script, 3).expect("not too many");
    // Those that never read are not answered as far as they know.
    let total = play(&script, &sends, Server { takes: 1_500_000, ..SOUND }, (0, 0));
    let (q, slow) = (&total.streams["q"], &total.streams["slow"]);
    let share = q.ended("never read") as f64 / q.wanted as f64;
    assert!((0.12..0.28).contains(&share), "{share}");
    assert_eq!(q.ended("gave up") + q.ended("never read"), q.wanted, "{:?}", q.ends);
    assert_eq!(slow.ended("gave up") + slow.ended("gave up unsent"), slow.wanted, "{:?}", slow.ends);
}

#[test]
fn refused_queries_are_tried_again_and_count_once() {
    let script = script(
        "name = \"t\"\nlength = \"10s\"\n[[streams]]\nname = \"q\"\nrate = 100\nretries = 3\nbackoff = \"20ms\"\nhonour = 0.5\n\
         statement = \"select 1\"\nchurn = 0.1\n",
    );
    let sends = draw(&script, 3).expect("not too many");
    let total = play(&script, &sends, Server { refuses: 3, ..SOUND }, (0, 0));
    let all = total.all();
    assert!(all.retries > 200, "{}", all.retries);
    assert_eq!(all.ends.values().sum::<u64>(), sends.len() as u64);
    assert!(all.ended(SERVED) > sends.len() as u64 * 9 / 10, "{:?}", all.ends);
    assert!(total.opened > 50, "connections come and go");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]
    #[test]
    fn whatever_the_server_does_each_query_ends_once(
        rate in 1.0_f64..200.0,
        connections in 1_usize..40,
        pipeline in 1_usize..4,
        takes in 100_i64..400_000,
        refuses_connects in 0_usize..5,
        refuses in 0_usize..5,
        breaks in 0_usize..7,
        retries in 0_u32..3,
        cancel in any::<bool>(),
    ) {
        let gives_up = if cancel { "cancel" } else { "close" };
        let script = script(&format!(
            "name = \"t\"\nlength = \"3s\"\nconnections = {connections}\n[[streams]]\nname = \"a\"\nrate = {rate:?}\n\
             patience = \"300ms\"\npipeline = {pipeline}\nretries = {retries}\ngives_up = {gives_up:?}\nchurn = 0.05\n\
             never_reads = 0.02\nstatement = \"select 1\"\n[[streams]]\nname = \"b\"\nrate = 5\nstatement = \"select 2\"\n"
        ));
        let sends = draw(&script, 11).expect("not too many");
        let server = Server { takes, refuses_connects, refuses, breaks, ..SOUND };
        let total = play(&script, &sends, server, (SECOND, SECOND + 200_000));
        let all = total.all();
        prop_assert_eq!(all.wanted, sends.len() as u64);
        prop_assert_eq!(all.ends.values().sum::<u64>(), all.wanted, "{:?}", all.ends);
        prop_assert_eq!(all.latency.len(), all.ended(SERVED));
        prop_assert_eq!(total.late.len(), all.wanted);
    }
}
