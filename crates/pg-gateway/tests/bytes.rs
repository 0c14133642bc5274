//! The controller without system calls, by the byte: however bytes are split, whenever it is stopped, whatever the clock does.

mod common;

use common::{apply, execute, gate, message, query, startup, types, Step, Wired};
use std::path::{Path, PathBuf};
use wheelfield_pg_gateway::Effect;

const ROWS: &str = "select * from t /*id='q',rows='40',run_ms='20'*/";

/// What a client hears of a startup and a query that are sent in these two parts, in pieces of so many bytes.
fn heard(first: &[u8], second: &[u8], part: usize) -> Vec<u8> {
    let mut wired = Wired::new(part);
    let id = wired.client();
    wired.say(id, first);
    wired.say(id, second);
    wired.pass(200_000);
    wired.heard(id)
}

#[test]
fn a_query_split_at_every_byte_gives_the_same_answer() {
    let all = [startup(), query(ROWS)].concat();
    let whole = heard(&all, &[], usize::MAX);
    assert!(
        types(&whole).ends_with(&format!("T{}SSSSSSCZ", "D".repeat(40)).replace('S', "")),
        "{}",
        types(&whole)
    );
    for at in 1..all.len() {
        assert_eq!(heard(&all[..at], &all[at..], usize::MAX), whole, "split at {at}");
    }
}

#[test]
fn engines_and_clients_that_take_and_give_few_bytes_at_a_time_change_nothing() {
    let (first, second) = (startup(), query(ROWS));
    let whole = heard(&first, &second, usize::MAX);
    for part in [1, 2, 3, 7, 64] {
        assert_eq!(heard(&first, &second, part), whole, "{part} bytes at a time");
    }
}

#[test]
fn two_messages_in_one_read_are_answered_in_turn() {
    let mut wired = Wired::new(usize::MAX);
    let id = wired.started();
    let before = wired.heard(id).len();
    wired.say(
        id,
        &[query("select 1"), query("select 2, 3"), execute("select 4"), message(b'S', &[])].concat(),
    );
    wired.pass(100_000);
    assert_eq!(types(&wired.heard(id)[before..]), "TDCZTDCZ12DCZ");
}

#[test]
fn a_recorded_run_gives_the_same_effects_and_bytes_again() {
    let mut wired = Wired::new(64);
    for n in 0..20 {
        let id = wired.started();
        wired.say(id, &query(ROWS));
        wired.pass(1_500 * n);
        if n % 2 == 1 {
            wired.tell(Step::Broken(id));
            wired.settle();
        } else {
            wired.pass(30_000);
            wired.tell(Step::Ended(id));
            wired.settle();
        }
    }
    wired.pass(300_000);
    let mut again = gate(1_000_000);
    let (mut effects, mut told, mut written) = (Vec::new(), Vec::new(), std::collections::HashMap::new());
    for (now, step) in &wired.steps {
        if let Step::Wrote(id, n) = step {
            let bytes = again.output(*id)[..*n].to_vec();
            written.entry(*id).or_insert_with(Vec::new).extend(bytes);
        }
        apply(&mut again, *now, step);
        if matches!(step, Step::Effects) {
            again.take_effects(&mut effects);
            told.extend(effects.iter().map(|e| format!("{e:?}")));
        }
    }
    let differs = told.iter().zip(&wired.effects).position(|(a, b)| a != b);
    assert_eq!(differs.map(|n| (n, &told[n], &wired.effects[n])), None);
    assert!(told.len() > 50 && told.len() == wired.effects.len(), "{} {}", told.len(), wired.effects.len());
    for (id, bytes) in &wired.written {
        assert_eq!(written.get(id), Some(bytes));
    }
}

#[test]
fn a_stop_in_each_state_of_a_session_answers_what_is_held_and_ends() {
    // Nothing sent; half a startup; at rest; a query on its way; one that runs; an open batch.
    for state in 0..6 {
        let mut wired = Wired::new(usize::MAX);
        let id = wired.client();
        match state {
            0 => {}
            1 => wired.say(id, &startup()[..7]),
            _ => wired.say(id, &startup()),
        }
        match state {
            3 => wired.say(id, &query(ROWS)[..9]),
            4 => wired.say(id, &query(ROWS)),
            5 => wired.say(id, &[execute(ROWS), message(b'H', &[])].concat()),
            _ => {}
        }
        wired.tell(Step::Stop);
        wired.settle();
        wired.pass(100_000);
        if state == 5 {
            wired.say(id, &message(b'S', &[]));
            wired.pass(100_000);
        }
        assert!(wired.stopped, "state {state}");
        let heard = wired.heard(id);
        if state == 4 {
            assert!(types(&heard).ends_with("CZE"), "{}", types(&heard));
        }
        let last = String::from_utf8_lossy(&heard).into_owned();
        assert!(last.contains("57P01"), "state {state}: {last:?}");
        assert!(wired.closed.contains(&id));
        assert_eq!(wired.effects.iter().filter(|e| **e == format!("{:?}", Effect::StopListening)).count(), 1);
    }
}

/// Whoever still waits as listening ends is taken, told, and let go, also where nobody else is there.
#[test]
fn a_client_that_is_taken_after_the_word_to_stop_is_told_so() {
    for others in [0, 1] {
        let mut wired = Wired::new(usize::MAX);
        for _ in 0..others {
            wired.started();
        }
        wired.backlog = 1;
        wired.tell(Step::Stop);
        wired.settle();
        wired.pass(5_000);
        let [late] = wired.taken_late[..] else { panic!("one was taken") };
        assert!(String::from_utf8_lossy(&wired.heard(late)).contains("57P01"), "{others} others");
        assert!(wired.closed.contains(&late) && wired.stopped);
    }
}

#[test]
fn a_client_reset_between_execute_and_sync_leaves_the_session_clean_or_closed() {
    let mut wired = Wired::new(usize::MAX);
    let id = wired.started();
    wired.say(id, &[execute(ROWS), message(b'H', &[])].concat());
    wired.pass(5_000);
    wired.tell(Step::Broken(id));
    wired.settle();
    wired.pass(600_000);
    let other = wired.started();
    let before = wired.heard(other).len();
    wired.say(other, &query("select 7"));
    wired.pass(50_000);
    let answer = wired.heard(other)[before..].to_vec();
    assert_eq!(types(&answer), "TDCZ");
    assert!(answer.windows(1).any(|w| w == b"7"));
}

#[test]
fn a_clock_that_stands_still_or_jumps_an_hour_gives_one_answer() {
    for jump in [0, 3_600_000_000] {
        let mut wired = Wired::new(usize::MAX);
        let id = wired.started();
        let before = wired.heard(id).len();
        wired.say(id, &query(ROWS));
        wired.now += jump;
        for _ in 0..5 {
            wired.tell(Step::Due);
            wired.settle();
        }
        wired.pass(2_000_000);
        let heard = types(&wired.heard(id)[before..]);
        assert!(heard.ends_with("CZ") || heard == "EZ", "{jump}: {heard}");
        assert_eq!(heard.matches('Z').count(), 1, "{heard}");
    }
}

#[test]
fn one_client_too_many_is_told_and_closed_and_late_word_of_it_finds_nobody() {
    let mut wired = Wired::new(usize::MAX);
    let held: Vec<_> = (0..4).map(|_| wired.started()).collect();
    let one = wired.client();
    assert!(String::from_utf8_lossy(&wired.heard(one)).contains("53300"));
    assert!(wired.closed.contains(&one) && !wired.closed.contains(&held[0]));
    for step in [Step::Received(one, startup()), Step::Ended(one), Step::Broken(one), Step::Wrote(one, 9)] {
        wired.tell(step);
        wired.settle();
    }
    wired.tell(Step::Ended(held[0]));
    wired.settle();
    let next = wired.started();
    assert!(next != one && next != held[0] && !wired.closed.contains(&next));
}

/// The sources below a folder.
fn sources(folder: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(folder).expect("the sources");
    let paths = entries.map(|entry| entry.expect("a file").path());
    let below = |path: PathBuf| if path.is_dir() { sources(&path) } else { vec![path] };
    paths.flat_map(below).collect()
}

#[test]
fn there_is_no_system_call_in_it() {
    let all = sources(Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/src")));
    assert!(all.iter().any(|path| path.ends_with("dispatcher/queries.rs")), "folders are looked into");
    for path in all {
        let text = std::fs::read_to_string(&path).expect("a text");
        for word in
            ["std::thread", "std::fs", "std::io", "Instant", "SystemTime", "TcpStream", "UdpSocket", "mio::"]
        {
            assert!(!text.contains(word), "{path:?} has {word}");
        }
        assert!(text.lines().count() <= 560, "{path:?} is too long to be read in a sitting");
    }
}
