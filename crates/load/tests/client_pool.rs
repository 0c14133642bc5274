//! Runs the client pool in virtual time against a simulated server. Server stalls must show in the
//! latencies, and no query may be lost.

use proptest::prelude::*;
use std::collections::{BTreeMap, VecDeque};
use wheelfield_load::client_pool::{Action, Answer, ClientPool};
use wheelfield_load::schedule::{generate, ScheduledQuery};
use wheelfield_load::script::Script;
use wheelfield_load::stats::{LoadStats, SERVED};
use wheelfield_net::Timers;

const SECOND: i64 = 1_000_000;

/// Behaviour of the simulated server.
#[derive(Clone, Copy)]
struct SimulatedServer {
    /// Service time of a query in microseconds.
    service_time: i64,
    /// Start of the stall in microseconds.
    stall_start: i64,
    /// End of the stall in microseconds.
    stall_end: i64,
    /// Refuses every n-th connection; 0 for none.
    refuse_connection_every: usize,
    /// Rejects every n-th query; 0 for none.
    refuse_query_every: usize,
    /// Closes the connection at every n-th query; 0 for none.
    disconnect_every: usize,
}

const HEALTHY: SimulatedServer = SimulatedServer {
    service_time: 1_000,
    stall_start: 0,
    stall_end: 0,
    refuse_connection_every: 0,
    refuse_query_every: 0,
    disconnect_every: 0,
};

impl SimulatedServer {
    /// Returns when a request received at `at` completes.
    fn completes_at(&self, at: i64, service_time: i64) -> i64 {
        let end = at + service_time;
        if end > self.stall_start && at < self.stall_end {
            self.stall_end.max(at) + service_time
        } else {
            end
        }
    }
}

enum Event {
    ConnectFinished(usize, u64, bool),
    Answered(usize, u64, bool),
    Disconnected(usize, u64),
}

/// Runs a load against the simulated server. The generator itself is suspended during `suspended`.
#[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
fn simulate(
    script: &Script,
    schedule: &[ScheduledQuery],
    server: SimulatedServer,
    suspended: (i64, i64),
) -> LoadStats {
    let mut pool = ClientPool::new(script, schedule, (0, 1), script.max_connections, 0, 1);
    let mut events: Timers<Event> = Timers::default();
    // Connection ids are reused; the generation tells an earlier connection from a later one.
    let mut generations: BTreeMap<usize, u64> = BTreeMap::new();
    // Completion times of the queries of each connection.
    let mut completion_times: BTreeMap<usize, VecDeque<i64>> = BTreeMap::new();
    let (mut now, mut connects, mut queries, mut last_generation) = (0, 0_usize, 0_usize, 0);
    let end = script.duration.0 .0 + 60 * SECOND;
    while now < end && !pool.is_done() {
        let next = [pool.next_wakeup(), events.next_at()].into_iter().flatten().min().unwrap_or(end);
        now = next.max(now);
        if (suspended.0..suspended.1).contains(&now) {
            now = suspended.1;
        }
        while let Some(event) = events.pop_due(now) {
            match event {
                Event::ConnectFinished(conn_id, generation, succeeds)
                    if generations.get(&conn_id) == Some(&generation) =>
                {
                    if succeeds {
                        pool.on_connected(conn_id, now);
                    } else {
                        pool.on_connection_lost(conn_id, now);
                    }
                }
                Event::Answered(conn_id, generation, succeeds)
                    if generations.get(&conn_id) == Some(&generation) =>
                {
                    let answer = if succeeds { Answer::Served } else { Answer::Error("53300", Some(50)) };
                    pool.on_answer(conn_id, answer, now);
                }
                Event::Disconnected(conn_id, generation)
                    if generations.get(&conn_id) == Some(&generation) =>
                {
                    pool.on_connection_lost(conn_id, now)
                }
                _ => {}
            }
        }
        pool.tick(now);
        loop {
            let actions = pool.take_actions();
            if actions.is_empty() {
                break;
            }
            for action in actions {
                match action {
                    Action::Open { conn_id, .. } => {
                        last_generation += 1;
                        connects += 1;
                        generations.insert(conn_id, last_generation);
                        completion_times.insert(conn_id, VecDeque::new());
                        let succeeds = server.refuse_connection_every == 0
                            || connects % server.refuse_connection_every != 0;
                        events.set(
                            server.completes_at(now, 200),
                            Event::ConnectFinished(conn_id, last_generation, succeeds),
                        );
                    }
                    Action::Write { conn_id, .. } => {
                        queries += 1;
                        let generation = generations[&conn_id];
                        let completions = completion_times.entry(conn_id).or_default();
                        // A connection processes its queries one after the other.
                        let starts_at = completions.back().copied().unwrap_or(now).max(now);
                        let at = server.completes_at(starts_at, server.service_time);
                        completions.push_back(at);
                        if server.disconnect_every > 0 && queries.is_multiple_of(server.disconnect_every) {
                            events.set(at, Event::Disconnected(conn_id, generation));
                        } else {
                            let succeeds = server.refuse_query_every == 0
                                || !queries.is_multiple_of(server.refuse_query_every);
                            events.set(at, Event::Answered(conn_id, generation, succeeds));
                        }
                    }
                    Action::Close { conn_id } => {
                        generations.remove(&conn_id);
                    }
                    Action::Cancel { .. } | Action::StopReading { .. } => {}
                }
            }
        }
    }
    pool.finish()
}

fn parse_script(text: &str) -> Script {
    Script::parse("test", text).unwrap_or_else(|error| panic!("{error}"))
}

fn steady_rate_script(rate: f64, arrivals: &str) -> Script {
    parse_script(&format!(
        "name = \"t\"\nlength = \"60s\"\nconnections = 20000\n[[streams]]\nname = \"q\"\nrate = {rate:?}\n\
         arrivals = {{ kind = {arrivals:?} }}\npatience = \"30s\"\nstatement = \"select 1\"\n"
    ))
}

fn quantile(sorted: &[i64], q: f64) -> f64 {
    sorted[((sorted.len() as f64 * q).ceil() as usize - 1).min(sorted.len() - 1)] as f64
}

#[test]
fn two_second_server_stall_shows_in_tail_latency_unlike_in_closed_loop() {
    let server = SimulatedServer { stall_start: 20 * SECOND, stall_end: 22 * SECOND, ..HEALTHY };
    for rate in [50.0, 500.0, 2_000.0] {
        for arrivals in ["poisson", "even"] {
            let script = steady_rate_script(rate, arrivals);
            let schedule = generate(&script, 7).expect("within the query limit");
            let total = simulate(&script, &schedule, server, (0, 0));
            let all = total.combined();
            assert_eq!(all.outcome_count(SERVED), schedule.len() as u64);
            // Expected latencies: every query that arrives during the stall waits for its end.
            let mut expected: Vec<i64> = schedule
                .iter()
                .map(|q| server.completes_at(q.at_us, server.service_time) - q.at_us)
                .collect();
            expected.sort_unstable();
            for q in [0.99, 0.999] {
                let (measured, expected_value) =
                    (all.latency.value_at_quantile(q) as f64, quantile(&expected, q));
                assert!(
                    (measured / expected_value - 1.0).abs() < 0.05,
                    "{arrivals} arrivals at {rate}/s, quantile {q}: measured {measured}, expected {expected_value}"
                );
                assert!(expected_value > 1_000_000.0, "the stall dominates the tail");
            }
            // For comparison, a closed loop: ten callers that each send the next query only after
            // the previous answer.
            let mut closed_loop = Vec::new();
            for caller in 0..10 {
                let mut now = i64::from(caller) * 100;
                while now < 60 * SECOND {
                    let completed_at = server.completes_at(now, server.service_time);
                    closed_loop.push(completed_at - now);
                    // Paced to the same rate, but without catching up: queries that were not sent
                    // during the stall are left out.
                    now = completed_at.max(now + (10.0 * SECOND as f64 / rate) as i64);
                }
            }
            closed_loop.sort_unstable();
            if rate >= 500.0 {
                assert!(
                    quantile(&closed_loop, 0.99) < 2_000.0,
                    "the closed loop records the stall only once per caller"
                );
            }
            assert_eq!(total.invalid_reason(5_000), None, "the generator was not late");
        }
    }
}

#[test]
fn suspended_generator_reports_its_lateness() {
    let script = steady_rate_script(200.0, "poisson");
    let schedule = generate(&script, 1).expect("within the query limit");
    let total = simulate(&script, &schedule, HEALTHY, (30 * SECOND, 31 * SECOND));
    assert!(total.invalid_reason(5_000).is_some(), "{}", total.lateness.value_at_quantile(0.99));
    let all = total.combined();
    assert_eq!(all.outcome_count(SERVED), schedule.len() as u64, "all queries are still sent");
    assert!(all.latency.value_at_quantile(0.999) > 900_000, "latency counts from the scheduled send time");
}

#[test]
fn refused_connections_end_every_query_as_unreachable() {
    let mut script = steady_rate_script(100.0, "poisson");
    script.max_connections = 50;
    let schedule = generate(&script, 1).expect("within the query limit");
    let total =
        simulate(&script, &schedule, SimulatedServer { refuse_connection_every: 1, ..HEALTHY }, (0, 0));
    let all = total.combined();
    assert_eq!(all.outcome_count("unreachable"), schedule.len() as u64, "{:?}", all.outcomes);
    assert_eq!(total.connections_opened, 0);
}

#[test]
fn unread_and_abandoned_queries_are_counted_separately() {
    let script = parse_script(
        "name = \"t\"\nlength = \"10s\"\nconnections = 4000\n[[streams]]\nname = \"q\"\nrate = 50\npatience = \"1s\"\n\
         never_reads = 0.2\nstatement = \"select 1\"\n[[streams]]\nname = \"slow\"\nrate = 20\npatience = \"500us\"\n\
         gives_up = \"cancel\"\nstatement = \"select 2\"\n",
    );
    let schedule = generate(&script, 3).expect("within the query limit");
    // All answers take longer than the client timeouts, so every query is abandoned.
    let total = simulate(&script, &schedule, SimulatedServer { service_time: 1_500_000, ..HEALTHY }, (0, 0));
    let (q, slow) = (&total.streams["q"], &total.streams["slow"]);
    let unread_fraction = q.outcome_count("never read") as f64 / q.scheduled as f64;
    assert!((0.12..0.28).contains(&unread_fraction), "{unread_fraction}");
    assert_eq!(q.outcome_count("gave up") + q.outcome_count("never read"), q.scheduled, "{:?}", q.outcomes);
    assert_eq!(
        slow.outcome_count("gave up") + slow.outcome_count("gave up unsent"),
        slow.scheduled,
        "{:?}",
        slow.outcomes
    );
}

/// A schedule of queries of these streams, one a millisecond.
fn queries_of(streams: &[u32]) -> Vec<ScheduledQuery> {
    let query = |(n, stream): (usize, &u32)| ScheduledQuery {
        at_us: n as i64 * 1_000,
        stream: *stream,
        tenant: 0,
        work_us: 0,
        key: 0,
        client_random: 0.5,
    };
    streams.iter().enumerate().map(query).collect()
}

/// The queries that are to be written, by their index in the schedule, with their connections.
fn writes(pool: &mut ClientPool<'_>) -> Vec<(usize, usize)> {
    let write = |action| match action {
        Action::Write { schedule_index, conn_id, .. } => Some((schedule_index, conn_id)),
        _ => None,
    };
    pool.take_actions().into_iter().filter_map(write).collect()
}

#[test]
fn a_busy_pipelined_connection_stays_in_use_at_the_connection_limit() {
    let script = parse_script(
        "name = \"t\"\nlength = \"1s\"\nconnections = 1\n[[streams]]\nname = \"a\"\nrate = 1\npatience = \"30s\"\n\
         pipeline = 2\nstatement = \"select 1\"\n[[streams]]\nname = \"b\"\nrate = 1\npatience = \"30s\"\n\
         statement = \"select 2\"\n",
    );
    let schedule = queries_of(&[0, 1, 0]);
    let mut pool = ClientPool::new(&script, &schedule, (0, 1), 1, 0, 1);
    pool.tick(0);
    pool.on_connected(0, 0);
    assert_eq!(writes(&mut pool), [(0, 0)]);
    pool.tick(1_000);
    assert_eq!(writes(&mut pool), [], "the query of the other stream waits");
    pool.tick(2_000);
    assert_eq!(writes(&mut pool), [(2, 0)], "the pipeline has room for a second query");
}

#[test]
fn a_query_that_waits_for_a_connection_is_counted_once() {
    let script = parse_script(
        "name = \"t\"\nlength = \"1s\"\nconnections = 1\n[[streams]]\nname = \"a\"\nrate = 1\npatience = \"30s\"\n\
         retries = 3\nbackoff = \"10ms\"\nstatement = \"select 1\"\n",
    );
    let schedule = queries_of(&[0, 0, 0]);
    let mut pool = ClientPool::new(&script, &schedule, (0, 1), 1, 0, 1);
    pool.tick(0);
    pool.on_connected(0, 0);
    pool.tick(2_000);
    // The second query is rejected, and waits for the connection again while the third is in flight.
    pool.on_answer(0, Answer::Served, 3_000);
    pool.on_answer(0, Answer::Error("53300", None), 4_000);
    pool.tick(1_000_000);
    let counted: u64 = pool.stats().streams.values().map(|stream| stream.waited_for_connection).sum();
    assert_eq!(counted, 2, "the second and the third query");
}

#[test]
fn rejected_queries_are_retried_and_counted_once() {
    let script = parse_script(
        "name = \"t\"\nlength = \"10s\"\n[[streams]]\nname = \"q\"\nrate = 100\nretries = 3\nbackoff = \"20ms\"\nhonour = 0.5\n\
         statement = \"select 1\"\nchurn = 0.1\n",
    );
    let schedule = generate(&script, 3).expect("within the query limit");
    let total = simulate(&script, &schedule, SimulatedServer { refuse_query_every: 3, ..HEALTHY }, (0, 0));
    let all = total.combined();
    assert!(all.retries > 200, "{}", all.retries);
    assert_eq!(all.outcomes.values().sum::<u64>(), schedule.len() as u64);
    assert!(all.outcome_count(SERVED) > schedule.len() as u64 * 9 / 10, "{:?}", all.outcomes);
    assert!(total.connections_opened > 50, "connections are closed and reopened");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]
    #[test]
    fn every_query_ends_once_whatever_the_server_does(
        rate in 1.0_f64..200.0,
        connections in 1_usize..40,
        pipeline in 1_usize..4,
        service_time in 100_i64..400_000,
        refuse_connection_every in 0_usize..5,
        refuse_query_every in 0_usize..5,
        disconnect_every in 0_usize..7,
        retries in 0_u32..3,
        cancel in any::<bool>(),
    ) {
        let gives_up = if cancel { "cancel" } else { "close" };
        let script = parse_script(&format!(
            "name = \"t\"\nlength = \"3s\"\nconnections = {connections}\n[[streams]]\nname = \"a\"\nrate = {rate:?}\n\
             patience = \"300ms\"\npipeline = {pipeline}\nretries = {retries}\ngives_up = {gives_up:?}\nchurn = 0.05\n\
             never_reads = 0.02\nstatement = \"select 1\"\n[[streams]]\nname = \"b\"\nrate = 5\nstatement = \"select 2\"\n"
        ));
        let schedule = generate(&script, 11).expect("within the query limit");
        let server = SimulatedServer { service_time, refuse_connection_every, refuse_query_every, disconnect_every, ..HEALTHY };
        let total = simulate(&script, &schedule, server, (SECOND, SECOND + 200_000));
        let all = total.combined();
        prop_assert_eq!(all.scheduled, schedule.len() as u64);
        prop_assert_eq!(all.outcomes.values().sum::<u64>(), all.scheduled, "{:?}", all.outcomes);
        prop_assert_eq!(all.latency.len(), all.outcome_count(SERVED));
        prop_assert_eq!(total.lateness.len(), all.scheduled);
    }
}
