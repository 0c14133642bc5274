//! Byte-level tests of the gateway: split input, shutdown in each session state, and irregular clocks.

mod common;

use common::{apply, execute, message, message_types, new_gateway, query, startup, Harness, Step};
use std::path::{Path, PathBuf};
use wheelfield_pg_gateway::Effect;

const ROWS: &str = "select * from t /*id='q',rows='40',run_ms='20'*/";

/// What a client receives after it sends these two parts, with reads and writes of at most `chunk_size`
/// bytes.
fn answer_to(first: &[u8], second: &[u8], chunk_size: usize) -> Vec<u8> {
    let mut harness = Harness::new(chunk_size);
    let id = harness.client();
    harness.send(id, first);
    harness.send(id, second);
    harness.advance(200_000);
    harness.received(id)
}

#[test]
fn a_query_split_at_every_byte_gives_the_same_answer() {
    let bytes = [startup(), query(ROWS)].concat();
    let expected = answer_to(&bytes, &[], usize::MAX);
    assert!(
        message_types(&expected).ends_with(&format!("T{}SSSSSSCZ", "D".repeat(40)).replace('S', "")),
        "{}",
        message_types(&expected)
    );
    for at in 1..bytes.len() {
        assert_eq!(answer_to(&bytes[..at], &bytes[at..], usize::MAX), expected, "split at {at}");
    }
}

#[test]
fn short_reads_and_writes_do_not_change_the_answer() {
    let (first, second) = (startup(), query(ROWS));
    let expected = answer_to(&first, &second, usize::MAX);
    for chunk_size in [1, 2, 3, 7, 64] {
        assert_eq!(answer_to(&first, &second, chunk_size), expected, "{chunk_size} bytes at a time");
    }
}

#[test]
fn messages_in_one_read_are_answered_in_order() {
    let mut harness = Harness::new(usize::MAX);
    let id = harness.started_client();
    let before = harness.received(id).len();
    harness.send(
        id,
        &[query("select 1"), query("select 2, 3"), execute("select 4"), message(b'S', &[])].concat(),
    );
    harness.advance(100_000);
    assert_eq!(message_types(&harness.received(id)[before..]), "TDCZTDCZ12DCZ");
}

#[test]
fn replaying_a_run_gives_the_same_effects_and_bytes() {
    let mut harness = Harness::new(64);
    for n in 0..20 {
        let id = harness.started_client();
        harness.send(id, &query(ROWS));
        harness.advance(1_500 * n);
        if n % 2 == 1 {
            harness.apply_step(Step::ConnectionBroken(id));
            harness.run_until_idle();
        } else {
            harness.advance(30_000);
            harness.apply_step(Step::PeerClosed(id));
            harness.run_until_idle();
        }
    }
    harness.advance(300_000);
    let mut replayed = new_gateway(1_000_000);
    let (mut effects, mut replayed_effects, mut written) =
        (Vec::new(), Vec::new(), std::collections::HashMap::new());
    for (now, step) in &harness.steps {
        if let Step::BytesWritten(id, n) = step {
            let bytes = replayed.output(*id)[..*n].to_vec();
            written.entry(*id).or_insert_with(Vec::new).extend(bytes);
        }
        apply(&mut replayed, *now, step);
        if matches!(step, Step::TakeEffects) {
            replayed.take_effects(&mut effects);
            replayed_effects.extend(effects.iter().map(|e| format!("{e:?}")));
        }
    }
    let differs = replayed_effects.iter().zip(&harness.effects).position(|(a, b)| a != b);
    assert_eq!(differs.map(|n| (n, &replayed_effects[n], &harness.effects[n])), None);
    assert!(
        replayed_effects.len() > 50 && replayed_effects.len() == harness.effects.len(),
        "{} {}",
        replayed_effects.len(),
        harness.effects.len()
    );
    for (id, bytes) in &harness.written {
        assert_eq!(written.get(id), Some(bytes));
    }
}

#[test]
fn a_shutdown_in_each_session_state_answers_pending_queries_and_stops() {
    // Nothing sent; half of the startup packet; idle; half of a query; a running query; an open batch.
    for state in 0..6 {
        let mut harness = Harness::new(usize::MAX);
        let id = harness.client();
        match state {
            0 => {}
            1 => harness.send(id, &startup()[..7]),
            _ => harness.send(id, &startup()),
        }
        match state {
            3 => harness.send(id, &query(ROWS)[..9]),
            4 => harness.send(id, &query(ROWS)),
            5 => harness.send(id, &[execute(ROWS), message(b'H', &[])].concat()),
            _ => {}
        }
        harness.apply_step(Step::Shutdown);
        harness.run_until_idle();
        harness.advance(100_000);
        if state == 5 {
            harness.send(id, &message(b'S', &[]));
            harness.advance(100_000);
        }
        assert!(harness.stopped, "state {state}");
        let received = harness.received(id);
        if state == 4 {
            assert!(message_types(&received).ends_with("CZE"), "{}", message_types(&received));
        }
        let text = String::from_utf8_lossy(&received).into_owned();
        assert!(text.contains("57P01"), "state {state}: {text:?}");
        assert!(harness.closed.contains(&id));
        assert_eq!(
            harness.effects.iter().filter(|e| **e == format!("{:?}", Effect::StopListening)).count(),
            1
        );
    }
}

/// Clients that are still in the accept backlog when listening ends are accepted, sent an error and closed,
/// even if no other client is connected.
#[test]
fn a_client_accepted_during_shutdown_gets_a_shutdown_error() {
    for others in [0, 1] {
        let mut harness = Harness::new(usize::MAX);
        for _ in 0..others {
            harness.started_client();
        }
        harness.backlog = 1;
        harness.apply_step(Step::Shutdown);
        harness.run_until_idle();
        harness.advance(5_000);
        let [late] = harness.accepted_late[..] else { panic!("exactly one client is accepted late") };
        assert!(String::from_utf8_lossy(&harness.received(late)).contains("57P01"), "{others} other clients");
        assert!(harness.closed.contains(&late) && harness.stopped);
    }
}

#[test]
fn a_client_reset_between_execute_and_sync_leaves_the_session_clean_or_closed() {
    let mut harness = Harness::new(usize::MAX);
    let id = harness.started_client();
    harness.send(id, &[execute(ROWS), message(b'H', &[])].concat());
    harness.advance(5_000);
    harness.apply_step(Step::ConnectionBroken(id));
    harness.run_until_idle();
    harness.advance(600_000);
    let other = harness.started_client();
    let before = harness.received(other).len();
    harness.send(other, &query("select 7"));
    harness.advance(50_000);
    let answer = harness.received(other)[before..].to_vec();
    assert_eq!(message_types(&answer), "TDCZ");
    assert!(answer.windows(1).any(|w| w == b"7"));
}

#[test]
fn a_stalled_or_jumping_clock_gives_exactly_one_answer() {
    for jump in [0, 3_600_000_000] {
        let mut harness = Harness::new(usize::MAX);
        let id = harness.started_client();
        let before = harness.received(id).len();
        harness.send(id, &query(ROWS));
        harness.now += jump;
        for _ in 0..5 {
            harness.apply_step(Step::Timers);
            harness.run_until_idle();
        }
        harness.advance(2_000_000);
        let received = message_types(&harness.received(id)[before..]);
        assert!(received.ends_with("CZ") || received == "EZ", "{jump}: {received}");
        assert_eq!(received.matches('Z').count(), 1, "{received}");
    }
}

#[test]
fn a_client_over_the_limit_gets_an_error_and_later_events_for_it_are_ignored() {
    let mut harness = Harness::new(usize::MAX);
    let accepted: Vec<_> = (0..4).map(|_| harness.started_client()).collect();
    let rejected = harness.client();
    assert!(String::from_utf8_lossy(&harness.received(rejected)).contains("53300"));
    assert!(harness.closed.contains(&rejected) && !harness.closed.contains(&accepted[0]));
    for step in [
        Step::Received(rejected, startup()),
        Step::PeerClosed(rejected),
        Step::ConnectionBroken(rejected),
        Step::BytesWritten(rejected, 9),
    ] {
        harness.apply_step(step);
        harness.run_until_idle();
    }
    harness.apply_step(Step::PeerClosed(accepted[0]));
    harness.run_until_idle();
    let next = harness.started_client();
    assert!(next != rejected && next != accepted[0] && !harness.closed.contains(&next));
}

/// The source files in a directory and its subdirectories.
fn source_files(directory: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(directory).expect("a readable source directory");
    let paths = entries.map(|entry| entry.expect("a directory entry").path());
    let files_in = |path: PathBuf| if path.is_dir() { source_files(&path) } else { vec![path] };
    paths.flat_map(files_in).collect()
}

#[test]
fn the_sources_make_no_system_calls() {
    let paths = source_files(Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/src")));
    assert!(paths.iter().any(|path| path.ends_with("dispatcher/queries.rs")), "subdirectories are searched");
    for path in paths {
        let text = std::fs::read_to_string(&path).expect("a source file");
        for word in
            ["std::thread", "std::fs", "std::io", "Instant", "SystemTime", "TcpStream", "UdpSocket", "mio::"]
        {
            assert!(!text.contains(word), "{path:?} uses {word}");
        }
        assert!(text.lines().count() <= 560, "{path:?} has more than 560 lines");
    }
}
