//! What executors answer, well and badly, and what comes of it.

mod common;
use common::*;
use wheelfield_sans_io::{ConnId, IoEvent, Protocol};

fn hit(n: u64) -> String {
    format!("{} HIT pages=1,cost=100.0,meter=util:0.3 6\r\na\t1\tx\n\r\n", id(n))
}

/// What is spoilt: each answer ends its connection, costs no memory, and is never passed on.
#[test]
fn a_spoilt_answer_ends_its_connection_and_a_safe_query_is_tried_again() {
    let one = id(1);
    let spoilt: &[String] = &[
        "noise\r\n".into(),
        "\r\n".into(),
        "\n".into(),
        format!("{one} HIT pages=1 6\na\t1\tx\n\r\n"),
        format!("{one} HIT pages=1 3000000000\r\na\t1\tx\n"),
        format!("{one} HIT pages=1 -6\r\na\t1\tx\n\r\n"),
        format!("{one} HIT pages=1 5\r\na\t1\tx\n\r\n"),
        format!("{one} HIT pages=1 7\r\na\t1\tx\n\r\n\r\n"),
        format!("{one} HIT pages 6\r\na\t1\tx\n\r\n"),
        format!("{one} HIT pages=0 6\r\na\t1\tx\n\r\n"),
        format!("{one} HIT pages=1e9 6\r\na\t1\tx\n\r\n"),
        format!("{one} HIT pages=1 4\r\na\t1\n\r\n"),
        format!("{one} HIT pages=1 5\r\na\t1\tx\r\n"),
        format!("{one} WHAT - 0\r\n\r\n"),
        format!("{one} HIT {}", "x".repeat(2000)),
    ];
    for answer in spoilt {
        for class in ["look", "load"] {
            let mut rig = Rig::new(1);
            let (client, executor, _) = rig.asked(class, &one);
            rig.says(executor, answer);
            assert!(rig.closed.contains(&executor), "{answer:?}");
            rig.pass(30_000);
            let again = rig.connect();
            assert_eq!(again.len(), usize::from(class == "look"), "{answer:?}");
            match again.first() {
                Some(other) => {
                    assert!(rig.read(*other).starts_with(&format!("REQ {one} ")));
                    rig.says(*other, &hit(1));
                    assert_eq!(status(&rig.read(client)), 200);
                }
                // It may have run, and must not twice.
                None => assert_eq!(status(&rig.read(client)), 500, "{answer:?}"),
            }
        }
    }
}

#[test]
fn an_answer_that_stops_short_or_whose_pages_do_not_come_is_given_up_long_before_the_deadline() {
    for begun in ["HIT pages=1 600\r\na\t1", "HIT pages=2 6\r\na\t1\tx\n\r\n"] {
        let mut rig = Rig::new(1);
        let (_, executor, _) = rig.asked("look", &id(1));
        rig.says(executor, &format!("{} {begun}", id(1)));
        rig.pass(400_000);
        assert!(!rig.closed.contains(&executor));
        rig.pass(300_000);
        assert!(rig.closed.contains(&executor));
        assert_eq!(rig.connect().len(), 1, "tried again");
    }
}

#[test]
fn strays_and_second_copies_are_left_and_the_connection_stays() {
    let mut rig = Rig::new(1);
    let (client, executor, _) = rig.asked("look", &id(1));
    rig.says(executor, &hit(77));
    rig.says(executor, &format!("{} PART page=1 6\r\nz\t1\tx\n\r\n", id(1)));
    rig.says(executor, &format!("not-an-id FAULT - 0\r\n\r\n{}{}", hit(1), hit(1)));
    let answer = rig.read(client);
    assert!(answer.ends_with("{\"batch\":[[\"a\",\"1\",\"x\"]]}"), "{answer}");
    assert!(!rig.closed.contains(&executor));
    rig.says(client, &post("look", &id(2), ""));
    assert!(rig.read(executor).starts_with("REQ "));
}

#[test]
fn what_never_ran_may_be_refused_and_what_may_have_is_not() {
    for (word, expected) in [("SHED", 503), ("LATE", 503), ("FAULT", 500)] {
        let mut rig = Rig::new(1);
        let (client, executor, _) = rig.asked("load", &id(1));
        rig.says(executor, &format!("{} {word} - 0\r\n\r\n", id(1)));
        // A full or late one is asked again a few times.
        for _ in 0..3 {
            rig.pass(100_000);
            if rig.read(executor).contains("REQ ") {
                rig.says(executor, &format!("{} {word} - 0\r\n\r\n", id(1)));
            }
        }
        rig.pass(2_000_000);
        assert_eq!(status(&rig.read(client)), expected, "{word}");
    }
}

#[test]
fn a_refused_or_hung_connect_proves_that_nothing_ran() {
    for hangs in [false, true] {
        let mut rig = Rig::new(1);
        let client = rig.client();
        rig.says(client, &post("load", &id(1), ""));
        let (conn, _) = rig.connects.remove(0);
        if hangs {
            rig.pass(240_000);
            assert!(!rig.closed.contains(&conn));
            rig.pass(20_000);
        } else {
            rig.tell(IoEvent::Broken { id: conn, writing: true, refused: true, reason: "refused" });
        }
        assert!(rig.closed.contains(&conn));
        let answer = rig.read(client);
        assert!(answer.is_empty() || answer.contains("TryLater"), "{answer}");
    }
}

/// Found in service, a day of releases: the next attempt overtook the word that gave the first up.
#[test]
fn what_goes_to_the_same_executor_again_follows_the_word_that_gave_it_up() {
    let mut rig = Rig::new(1);
    let (_, spare, _) = rig.asked("look", &id(1));
    let (_, executor, _) = rig.asked("look", &id(2));
    assert_ne!(spare, executor);
    // The other connection rests, and would be the first to be used.
    rig.pass(100_000);
    rig.says(spare, &hit(1));
    rig.pass(600_000);
    // Far behind its estimate: a bad plan, which the module sends anew.
    rig.says(executor, &format!("{} INFO tell=pct,v=0.01 0\r\n\r\n", id(2)));
    rig.pass(300_000);
    let said = rig.read(executor);
    assert!(said.starts_with(&format!("STOP {0}\r\nREQ {0} ", id(2))), "{said}");
    assert_eq!(rig.read(spare), "");
    // Whichever of the two this answers, the other goes no further.
    rig.says(executor, &hit(2));
    assert_eq!(rig.read(executor), format!("STOP {}\r\n", id(2)));
}

/// Found in service, a day of resets: executors whose connections broke as they came up were taken for dead and cold.
#[test]
fn a_connection_that_breaks_as_it_comes_up_is_no_word_on_its_executor() {
    let mut rig = Rig::new(1);
    let client = rig.client();
    rig.says(client, &post("load", &id(1), ""));
    for _ in 0..3 {
        let (conn, _) = rig.connects.remove(0);
        rig.tell(IoEvent::Broken { id: conn, writing: true, refused: false, reason: "reset" });
        assert_eq!(rig.connects.len(), 1, "another connection at once, even for what must not run twice");
    }
    let executor = rig.connect()[0];
    assert!(rig.read(executor).starts_with("REQ "));
    rig.says(executor, &hit(1));
    assert_eq!(status(&rig.read(client)), 200);
}

/// What was to go on a connection that breaks goes on one that rests, and is written there at once.
#[test]
fn an_attempt_whose_connection_breaks_as_it_comes_up_goes_on_one_that_rests() {
    let mut rig = Rig::new(1);
    let (_, resting, _) = rig.asked("look", &id(1));
    let client = rig.client();
    rig.says(client, &post("look", &id(2), ""));
    let (fresh, _) = rig.connects.remove(0);
    rig.says(resting, &hit(1));
    rig.read(resting);
    rig.tell(IoEvent::Broken { id: fresh, writing: true, refused: false, reason: "reset" });
    assert!(rig.connects.is_empty() && rig.read(resting).starts_with(&format!("REQ {} ", id(2))));
}

#[test]
fn what_was_written_whole_may_have_run_and_what_was_not_did_not() {
    for (whole, expected) in [(true, 500), (false, 503)] {
        let mut rig = Rig::new(1);
        rig.partial = (!whole).then_some(30);
        let client = rig.client();
        rig.says(client, &post("load", &id(1), ""));
        let executor = rig.connect()[0];
        rig.tell(IoEvent::Broken { id: executor, writing: false, refused: false, reason: "reset" });
        rig.connects.clear();
        rig.pass(3_000_000);
        assert_eq!(status(&rig.read(client)), expected);
    }
}

/// A request that stands to be written as its executor drains was taken back, and must not go.
#[test]
fn what_was_taken_back_before_its_first_byte_went_is_never_sent() {
    let mut rig = Rig::new(1);
    rig.partial = Some(0);
    let client = rig.client();
    rig.says(client, &post("load", &id(1), ""));
    let executor = rig.connect()[0];
    rig.datagrams.clear();
    rig.pass(260_000);
    let asked = rig.datagrams.last().expect("a question").2.clone();
    rig.partial = None;
    let answer = names(&asked, 9, &[("e1", 1, 1), ("e2", 2, 0)]).to_vec().expect("bytes");
    let from = RESOLVER.parse().expect("an address");
    rig.tell(IoEvent::Datagram(wheelfield_sans_io::DatagramSocket::Discovery, from, &answer));
    assert!(rig.closed.contains(&executor) && rig.read(executor).is_empty());
    let other = rig.connect()[0];
    assert!(rig.read(other).starts_with("REQ "), "it goes to the other one");
}

#[test]
fn connections_are_shared_where_descriptors_are_short() {
    let mut rig = Rig::of(&config(vec![server("e1", 1, "ready")], 64));
    let mut open: Vec<ConnId> = Vec::new();
    for n in 1..=16 {
        let client = rig.client();
        rig.says(client, &post("look", &id(n), ""));
        rig.connect();
        open.push(client);
    }
    let connections: std::collections::BTreeSet<ConnId> = rig.written.keys().copied().collect();
    assert!(connections.len() <= 16, "{} connections", connections.len());
    let requests: usize =
        rig.written.values().map(|w| String::from_utf8_lossy(w).matches("REQ ").count()).sum();
    assert_eq!(requests, 16);
    // One that breaks takes all its attempts along, and each is tried again.
    rig.platform.begin_shutdown(rig.now);
}

/// Many executors, ids and connections come and go: nothing is kept of them.
#[test]
fn what_comes_and_goes_leaves_nothing_behind() {
    let mut rig = Rig::new(1);
    let question = |rig: &mut Rig| {
        rig.datagrams.clear();
        rig.pass(260_000);
        rig.datagrams.last().expect("a question").2.clone()
    };
    for n in 0..300u64 {
        let asked = question(&mut rig);
        let name = format!("e{}", n + 10);
        let answer = names(&asked, 10 + n as u32, &[(&name, (n % 200) as u8 + 1, 0)]);
        let bytes = answer.to_vec().expect("bytes");
        let from = RESOLVER.parse().expect("an address");
        rig.tell(IoEvent::Datagram(wheelfield_sans_io::DatagramSocket::Discovery, from, &bytes));
        let (client, executor, _) = rig.asked("look", &id(n));
        rig.says(executor, &hit(n));
        assert_eq!(status(&rig.read(client)), 200, "query {n}");
        rig.tell(IoEvent::Ended(client));
        rig.closed.retain(|c| *c != client);
    }
    // Of each executor that is gone the connection is closed too.
    assert_eq!(rig.closed.len(), 299);
    assert!(rig.platform.connections_in_use() <= 2, "{} held", rig.platform.connections_in_use());
}

/// The word that gave a query up is lost with its connection, unsent: until the executor knows of that end it holds the query still.
#[test]
fn a_resend_waits_where_the_word_that_gave_it_up_was_lost_with_its_connection() {
    let mut rig = Rig::new(1);
    let (_, spare, _) = rig.asked("look", &id(1));
    let (_, executor, _) = rig.asked("look", &id(2));
    rig.pass(100_000);
    rig.says(spare, &hit(1));
    rig.pass(600_000);
    // From here on nothing goes out: the word and what follows it stand to be written.
    rig.partial = Some(0);
    rig.says(executor, &format!("{} INFO tell=pct,v=0.01 0\r\n\r\n", id(2)));
    rig.pass(300_000);
    rig.partial = None;
    rig.tell(IoEvent::Broken { id: executor, writing: true, refused: false, reason: "reset" });
    rig.pass(19_000);
    assert!(rig.read(spare).is_empty() && rig.connects.is_empty(), "a second copy beside the first");
    rig.pass(2_000);
    assert!(rig.read(spare).starts_with(&format!("REQ {} ", id(2))));
}

#[test]
fn an_executor_that_moves_under_its_name_is_asked_where_it_is() {
    let mut rig = Rig::new(1);
    let (client, executor, _) = rig.asked("look", &id(1));
    let (other, busy, _) = rig.asked("look", &id(2));
    rig.says(executor, &hit(1));
    rig.datagrams.clear();
    rig.pass(260_000);
    let asked = rig.datagrams.last().expect("a question").2.clone();
    let answer = names(&asked, 9, &[("e1", 7, 0)]).to_vec().expect("bytes");
    let from = RESOLVER.parse().expect("an address");
    rig.tell(IoEvent::Datagram(wheelfield_sans_io::DatagramSocket::Discovery, from, &answer));
    assert!(rig.closed.contains(&executor), "nothing rests where it was");
    rig.read(client);
    rig.says(client, &post("look", &id(3), ""));
    assert_eq!(rig.connects.len(), 1);
    assert_eq!(rig.connects[0].1, "127.1.0.7:6565".parse().expect("an address"));
    // What it had in hand there it may still answer, and no more goes there.
    rig.says(busy, &hit(2));
    assert_eq!(status(&rig.read(other)), 200);
    assert!(rig.closed.contains(&busy));
}

/// A repeat that was in time as it was chosen is too late as its connection comes up.
#[test]
fn a_repeat_whose_window_closed_while_its_connection_came_up_is_not_written() {
    for (waits, written) in [(50_000, true), (150_000, false)] {
        let mut text: serde_json::Value =
            serde_json::from_str(&config(vec![server("e1", 1, "ready")], 256)).expect("JSON");
        text["settings"]["grades"][1]["effect"] = "by_key".into();
        text["settings"]["grades"][1]["window_us"] = 400_000.into();
        let mut rig = Rig::of(&text.to_string());
        let (client, executor, _) = rig.asked("load", &id(1));
        rig.pass(280_000);
        rig.tell(IoEvent::Broken { id: executor, writing: false, refused: false, reason: "reset" });
        rig.pass(20_000);
        assert_eq!(rig.connects.len(), 1, "tried again");
        rig.pass(waits);
        let again = rig.connect()[0];
        assert_eq!(rig.read(again).starts_with(&format!("REQ {} ", id(1))), written);
        // All executors drop repeats, so that its client may ask again.
        assert_eq!(status(&rig.read(client)), if written { 0 } else { 503 });
    }
}
