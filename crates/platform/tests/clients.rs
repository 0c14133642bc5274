//! What clients are told: good calls, and each kind of bad one.

mod common;
use common::*;
use wheelfield_sans_io::{ConnId, IoEvent, Protocol};

#[test]
fn a_query_is_carried_and_its_pages_come_as_one_answer() {
    let mut rig = Rig::new(1);
    let client = rig.client();
    // In pieces of any size: all that comes is one call.
    for piece in post("look", &id(1), "X-Need-Mb: 96\r\nX-Retry: 1\r\n").as_bytes().chunks(7) {
        rig.bytes(client, piece);
    }
    let executor = rig.connect()[0];
    let request = rig.read(executor);
    let (line, rest) = request.split_once("\r\n").expect("a line");
    assert!(line.starts_with(&format!("REQ {} cls=look,limit=1980,prio=", id(1))), "{line}");
    assert!(line.ends_with(" 35"), "{line}");
    assert_eq!(rest, "SELECT a, b, c FROM sales_17.orders\r\n");
    rig.says(executor, &format!("{} INFO tell=pct,v=0.5 0\r\n\r\n", id(1)));
    rig.says(
        executor,
        &format!("{} HIT pages=3,cost=81.5,need=90,meter=util:0.61 6\r\na\t1\tx\n\r\n", id(1)),
    );
    assert_eq!(rig.read(executor), format!("FETCH {0} 1\r\nFETCH {0} 2\r\n", id(1)));
    // In any order, and one of them twice.
    for page in [2, 1, 1] {
        rig.says(executor, &format!("{} PART page={page} 7\r\n\"{page}\t\t\u{e9}\n\r\n", id(1)));
    }
    let answer = rig.read(client);
    assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"), "{answer}");
    assert!(
        answer.ends_with(
            "\r\n\r\n{\"batch\":[[\"a\",\"1\",\"x\"],[\"\\\"1\",\"\",\"é\"],[\"\\\"2\",\"\",\"é\"]]}"
        ),
        "{answer}"
    );
    assert_eq!(rig.read(executor), format!("END {}\r\n", id(1)));
    // Both connections are used again.
    rig.says(client, &post("look", &id(2), ""));
    assert!(rig.read(executor).starts_with("REQ ") && rig.connects.is_empty());
}

/// Found with another customer's settings: what their clients send beside, and executors are owed, was not read.
#[test]
fn what_a_repeat_is_known_by_goes_on_as_it_came_and_a_key_keeps_its_order() {
    let text = config(vec![server("e1", 1, "ready"), server("e2", 2, "ready")], 256);
    let mut settings: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    settings["settings"]["grades"][1]["in_order"] = true.into();
    settings["settings"]["safety"]["order_pause_us"] = 300_000.into();
    let mut rig = Rig::of(&settings.to_string());
    let first = rig.client();
    rig.says(
        first,
        &post("load", &id(1), "X-Tenant: nobody\r\nX-Object: rel-7\r\nIdempotency-Key: a5/+=9\r\n"),
    );
    let executor = rig.connect()[0];
    let request = rig.read(executor);
    assert!(request.contains(",nonce=a5/+=9 35\r\n"), "{request}");
    // Another under the same key waits for its turn; one under another key does not.
    let second = rig.client();
    rig.says(second, &post("load", &id(2), "X-Object: rel-7\r\n"));
    rig.pass(100_000);
    assert!(rig.connects.is_empty() && rig.read(executor).is_empty());
    let other = rig.client();
    rig.says(other, &post("load", &id(3), "X-Object: rel-8\r\n"));
    let elsewhere = rig.connect()[0];
    assert!(rig.read(elsewhere).starts_with(&format!("REQ {} ", id(3))));
    // One that waits for its turn and leaves is never sent.
    let third = rig.client();
    rig.says(third, &post("load", &id(4), "X-Object: rel-7\r\n"));
    rig.tell(IoEvent::Closing(second));
    rig.says(executor, &format!("{} HIT pages=1 0\r\n\r\n", id(1)));
    rig.pass(600_000);
    assert_eq!(status(&rig.read(first)), 200);
    rig.connect();
    let (_, request) = rig.request().expect("its turn has come");
    assert!(request.starts_with(&format!("REQ {} ", id(4))), "{request}");
    assert!(!request.contains("nonce") && rig.request().is_none());
}

#[test]
fn what_cannot_be_used_gets_its_status_and_goes_nowhere() {
    let good = post("look", &id(1), "");
    let long = "x".repeat(9000);
    let cases: &[(String, u16, bool)] = &[
        (good.replace("/rpc/look", "/rpc/nothing"), 404, false),
        (good.replace("/rpc/look", "/rpc/"), 404, false),
        (good.replace("/rpc/look", "/elsewhere"), 404, false),
        (good.replace("POST /rpc/look", "PUT /rpc/look"), 405, false),
        ("GET /rpc/look/1 HTTP/1.1\r\n\r\n".into(), 404, false),
        ("DELETE /any HTTP/1.1\r\n\r\n".into(), 404, false),
        (good.replace(&id(1), "xyz"), 400, false),
        (good.replace(&id(1), &"0".repeat(17)), 400, false),
        (good.replace("X-Request-Id", "X-Other"), 400, false),
        (good.replace("Host: x", &format!("X-Request-Id: {}", id(2))), 400, false),
        (good.replace("Timeout-Ms: 2000", "Timeout-Ms: -1"), 400, false),
        (good.replace("Timeout-Ms: 2000", "Timeout-Ms: 0"), 400, false),
        (good.replace("Timeout-Ms: 2000", "Timeout-Ms: soon"), 400, false),
        (good.replace("Timeout-Ms: 2000", "Timeout-Ms: 99999999999999"), 400, false),
        (good.replace("X-Timeout-Ms: 2000\r\n", ""), 400, false),
        (good.replace("Cost-Ms: 100.0", "Cost-Ms: 1e300"), 400, false),
        (good.replace("Cost-Ms: 100.0", "Cost-Ms: NaN"), 400, false),
        (good.replace("Cost-Ms: 100.0", "Need-Mb: -3"), 400, false),
        (good.replace("Cost-Ms: 100.0", "Retry: 7"), 400, false),
        (good.replace("Cost-Ms: 100.0", "Cost-Ms: 100.0\r\nX-Object: a,prio=3"), 400, false),
        (good.replace("Cost-Ms: 100.0", "Cost-Ms: 100.0\r\nIdempotency-Key: a b"), 400, false),
        (
            good.replace("Cost-Ms: 100.0", &format!("Cost-Ms: 100.0\r\nX-Tenant: {}", "t".repeat(129))),
            400,
            false,
        ),
        (good.replace("Host: x", "X-Object: a\r\nX-Object: b"), 400, false),
        (good.replace("SELECT a, b, c FROM sales_17.orders", &" ".repeat(35)), 400, false),
        (good.replace("Content-Length: 35", "Content-Length: -35"), 400, true),
        (good.replace("Content-Length: 35", "Content-Length: 35\r\nContent-Length: 35"), 400, true),
        (good.replace("Content-Length: 35", "Content-Length: 35\r\nTransfer-Encoding: chunked"), 400, true),
        (good.replace("Content-Length: 35", "Transfer-Encoding: chunked"), 411, true),
        (good.replace("Content-Length: 35\r\n", ""), 411, true),
        (good.replace("Content-Length: 35", "Content-Length: 62914560"), 413, true),
        (good.replace("Content-Length: 35", "Content-Length: 99999999999999999999999"), 413, true),
        (good.replace("Host: x", &format!("Host: {long}")), 431, true),
        ("\u{1}\u{2} nonsense\r\n\r\n".into(), 400, true),
    ];
    for (call, expected, ends) in cases {
        let mut rig = Rig::new(1);
        let client = rig.client();
        rig.says(client, call);
        let answer = rig.read(client);
        assert_eq!(status(&answer), *expected, "{call}");
        assert_eq!(answer.contains("Connection: close"), *ends, "{call}");
        assert!(!answer.contains("TryLater"), "{call}");
        assert!(rig.connects.is_empty(), "sent to an executor: {call}");
        if *ends {
            // What is hidden behind it is not read as a call; the connection ends in time.
            rig.says(client, &post("look", &id(9), ""));
            rig.pass(1_000_000);
            assert!(rig.connects.is_empty() && rig.closed.contains(&client), "{call}");
        } else {
            // The next call on it is served as any other.
            rig.says(client, &post("look", &id(9), ""));
            assert_eq!(rig.connects.len(), 1, "{call}");
        }
    }
}

#[test]
fn an_id_that_is_in_use_or_was_spent_does_not_run_again() {
    let mut rig = Rig::new(1);
    let (_, executor, _) = rig.asked("load", &id(1));
    let other = rig.client();
    for statement in ["SELECT a, b, c FROM sales_17.orders", "SELECT x, y, z FROM sales_17.orders"] {
        let call = post("load", &id(1), "").replace("SELECT a, b, c FROM sales_17.orders", statement);
        rig.says(other, &call);
        assert_eq!(status(&rig.read(other)), 409);
    }
    rig.says(executor, &format!("{} HIT pages=1 0\r\n\r\n", id(1)));
    rig.says(other, &post("load", &id(1), ""));
    assert_eq!(status(&rig.read(other)), 409);
    assert_eq!(rig.read(executor), "", "nothing more was sent");
}

#[test]
fn a_client_that_leaves_gives_its_attempt_up_and_half_a_call_is_forgotten() {
    let mut rig = Rig::new(1);
    let (client, executor, _) = rig.asked("look", &id(1));
    rig.tell(IoEvent::Closing(client));
    assert_eq!(rig.read(executor), format!("STOP {}\r\n", id(1)));
    rig.says(executor, &format!("{} HIT pages=1 6\r\na\t1\tx\n\r\n", id(1)));
    assert!(rig.closed.contains(&client) && rig.read(client).is_empty());
    let half = rig.client();
    rig.says(half, &post("look", &id(2), "")[..150]);
    rig.tell(IoEvent::Ended(half));
    assert!(rig.closed.contains(&half) && rig.read(executor).is_empty());
}

#[test]
fn silent_and_slow_clients_are_closed_in_time_and_those_who_asked_are_kept() {
    let mut rig = Rig::new(1);
    let (usual, executor, _) = rig.asked("look", &id(1));
    rig.says(executor, &format!("{} HIT pages=1 0\r\n\r\n", id(1)));
    assert_eq!(status(&rig.read(usual)), 200);
    let (silent, slow) = (rig.client(), rig.client());
    rig.says(slow, "POST /rpc/look HTTP/1.1\r\n");
    rig.pass(2_800_000);
    assert!(rig.closed.contains(&silent) && !rig.closed.contains(&usual));
    assert_eq!(status(&rig.read(slow)), 408);
    // Hundreds who say nothing push out each other, not who has asked.
    let crowd: Vec<_> = (0..600)
        .map(|_| {
            rig.now += 100;
            rig.client()
        })
        .collect();
    assert!(!rig.closed.contains(&usual));
    assert!(rig.closed.contains(&crowd[0]) && !rig.closed.contains(&crowd[599]));
    rig.says(usual, &post("look", &id(2), ""));
    assert!(rig.read(executor).starts_with("REQ "));
}

#[test]
fn health_tells_and_a_stop_serves_who_does_not_know_yet() {
    let mut rig = Rig::new(1);
    let probe = rig.client();
    rig.says(probe, "GET /health HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(status(&rig.read(probe)), 200);
    let (first, executor, _) = rig.asked("look", &id(1));
    rig.platform.begin_shutdown(rig.now);
    rig.turn();
    rig.pass(500_000);
    assert!(rig.listening && !rig.stopped);
    let late = rig.client();
    rig.says(late, &post("look", &id(2), ""));
    let second = rig.connect()[0];
    rig.says(executor, &format!("{} HIT pages=1 0\r\n\r\n", id(1)));
    assert_eq!(status(&rig.read(first)), 200);
    rig.says(probe, "GET /health HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(status(&rig.read(probe)), 503);
    rig.pass(600_000);
    assert!(!rig.listening && !rig.stopped, "one is owed");
    assert!(rig.closed.contains(&first) && !rig.closed.contains(&late));
    rig.says(second, &format!("{} HIT pages=1 0\r\n\r\n", id(2)));
    assert_eq!(status(&rig.read(late)), 200);
    rig.pass(200_000);
    assert!(rig.stopped);
}

#[test]
fn a_query_whose_time_is_up_is_failed_or_refused_before_its_client_gives_up() {
    for class in ["look", "load"] {
        let mut rig = Rig::new(1);
        let (client, _, _) = rig.asked(class, &id(1));
        rig.pass(1_995_000);
        let answer = rig.read(client);
        // What may have run is refused only where a repeat does no harm.
        assert_eq!(status(&answer), if class == "look" { 503 } else { 500 }, "{answer}");
        assert_eq!(answer.contains("TryLater"), class == "look");
    }
}

#[test]
fn a_flood_of_harmless_queries_does_not_have_a_spent_id_forgotten() {
    let mut rig = Rig::new(1);
    let (client, executor, _) = rig.asked("load", &id(1));
    rig.says(executor, &format!("{} HIT pages=1 0\r\n\r\n", id(1)));
    assert_eq!(status(&rig.read(client)), 200);
    for n in 2..8_400 {
        rig.says(client, &post("look", &id(n), ""));
        rig.now += 1_000;
        rig.says(executor, &format!("{} HIT pages=1 0\r\n\r\n", id(n)));
        assert_eq!(status(&rig.read(client)), 200, "query {n}");
    }
    rig.read(executor);
    rig.says(client, &post("load", &id(1), ""));
    assert_eq!(status(&rig.read(client)), 409);
    assert_eq!(rig.read(executor), "", "it ran once");
}

/// The process is killed 3 s, or the longest deadline where that is shorter, after nobody comes any more: all have their answers
/// before, however much time their clients have left.
#[test]
fn what_is_in_hand_as_the_process_may_be_killed_has_its_answer_before() {
    let long = |class: &str, n: u64| {
        let call = post(class, &id(n), "").replace("Timeout-Ms: 2000", "Timeout-Ms: 30000");
        call.replace("Cost-Ms: 100.0", "Cost-Ms: 9000.0")
    };
    let mut rig = Rig::new(2);
    let mut waiting: Vec<(wheelfield_sans_io::ConnId, u16)> = Vec::new();
    let mut asks = |rig: &mut Rig, class: &str, n: u64| {
        let client = rig.client();
        rig.says(client, &long(class, n));
        rig.connect();
        waiting.push((client, if class == "look" { 503 } else { 500 }));
    };
    asks(&mut rig, "look", 1);
    asks(&mut rig, "load", 2);
    let executors: Vec<_> = rig.written.keys().copied().collect();
    rig.platform.begin_shutdown(rig.now);
    rig.turn();
    // Each tells that it goes on.
    let goes_on = |rig: &mut Rig, times: u32| {
        for _ in 0..times {
            rig.pass(250_000);
            let running: Vec<_> = rig.written.keys().copied().collect();
            for conn in running {
                for n in 1..=3 {
                    rig.says(conn, &format!("{} INFO tell=pct,v=0.3 0\r\n\r\n", id(n)));
                }
            }
        }
    };
    goes_on(&mut rig, 2);
    // One that comes after the word has as long.
    asks(&mut rig, "look", 3);
    goes_on(&mut rig, 12);
    assert!(waiting.iter().all(|(client, _)| !rig.written.contains_key(client)), "time is left");
    rig.pass(190_000);
    for (client, expected) in waiting {
        let told = rig.read(client);
        assert_eq!(status(&told), expected, "{told}");
    }
    assert!(executors.iter().all(|conn| rig.read(*conn).contains("STOP ")), "what is given up is told");
    rig.pass(200_000);
    assert!(rig.stopped);
}

#[test]
fn clients_that_leave_while_their_query_waits_are_counted_and_nothing_goes_for_them() {
    let mut rig = Rig::new(1);
    let (running, executor, _) = rig.asked("look", &id(1));
    let waiting = rig.client();
    rig.says(waiting, &post("look", &id(2), ""));
    assert_eq!(rig.connects.len(), 1);
    rig.tell(IoEvent::Closing(waiting));
    rig.tell(IoEvent::Closing(running));
    rig.pass(100_000);
    let fresh = rig.connect()[0];
    rig.pass(400_000);
    assert!(rig.read(fresh).is_empty());
    assert_eq!(rig.read(executor), format!("STOP {}\r\n", id(1)));
    let left = rig.platform.abandonment_counts();
    assert_eq!((left.waiting, left.forwarded, left.forwarded_late), (1, 0, 0));
}

/// Who rests for longest is closed for a new one just as it asks: its call finds nobody, and comes again under its id.
#[test]
fn a_call_that_crosses_its_connections_end_is_served_as_it_comes_again() {
    let mut rig = Rig::of(&config(vec![server("e1", 1, "ready")], 64));
    let (resting, executor, _) = rig.asked("load", &id(1));
    rig.says(executor, &format!("{} HIT pages=1 0\r\n\r\n", id(1)));
    assert_eq!(status(&rig.read(resting)), 200);
    rig.now += 1_000;
    // All others have a query in hand.
    for n in 2..18 {
        let client = rig.client();
        rig.says(client, &post("look", &id(n), ""));
    }
    assert!(rig.closed.contains(&resting));
    rig.says(resting, &post("load", &id(99), ""));
    for _ in 2..18 {
        rig.connect();
        while let Some((conn, _)) = rig.request() {
            (2..18).for_each(|n| rig.says(conn, &format!("{} HIT pages=1 0\r\n\r\n", id(n))));
        }
    }
    let again = rig.client();
    rig.says(again, &post("load", &id(99), ""));
    rig.connect();
    let (_, request) = rig.request().expect("sent to an executor");
    assert!(request.contains(&format!("REQ {} ", id(99))), "{request}");
}

/// A departure, and a timer that would have the query go on, in one turn.
#[test]
fn a_departure_goes_before_every_timer_that_is_due_with_it() {
    for (what, due_after) in [("a connect that times out", 250_000), ("the wait after a cut", 20_000)] {
        let mut rig = Rig::new(1);
        let client = rig.client();
        rig.says(client, &post("look", &id(1), ""));
        if due_after == 20_000 {
            let executor = rig.connect()[0];
            assert!(rig.read(executor).starts_with("REQ "));
            rig.tell(IoEvent::Broken { id: executor, writing: false, refused: false, reason: "reset" });
            assert!(rig.connects.is_empty(), "its executor may not know yet");
        } else {
            assert_eq!(rig.connects.len(), 1);
        }
        rig.now += due_after;
        rig.platform.handle_io(rig.now, IoEvent::Closing(client));
        rig.platform.handle_timers(rig.now);
        rig.turn();
        rig.connects.retain(|(conn, _)| !rig.closed.contains(conn));
        rig.connect();
        rig.pass(500_000);
        rig.connect();
        assert!(rig.request().is_none(), "{what}");
        assert_eq!(rig.platform.abandonment_counts().waiting, 1, "{what}");
    }
}

/// Nobody else is owed anything as listening ends: who is taken from the backlog in that moment is answered all the same.
#[test]
fn who_is_taken_in_the_moment_in_which_listening_ends_is_answered_before_the_end() {
    let mut rig = Rig::new(1);
    rig.backlog = vec!["GET /health HTTP/1.1\r\n\r\n".to_string(), post("look", &id(1), "")];
    rig.platform.begin_shutdown(rig.now);
    rig.turn();
    rig.pass(800_000);
    assert!(!rig.listening && !rig.stopped, "two are owed");
    let [health, asks] = rig.taken_late[..] else { panic!("two were taken") };
    assert_eq!(status(&rig.read(health)), 503);
    let executor = rig.connect()[0];
    assert!(rig.read(executor).starts_with("REQ "));
    rig.says(executor, &format!("{} HIT pages=1 0\r\n\r\n", id(1)));
    assert_eq!(status(&rig.read(asks)), 200);
    rig.pass(200_000);
    assert!(rig.stopped);
}

/// A call that crosses the end of its connection, as the controller closes who rests, comes again on another one.
#[test]
fn who_crossed_the_end_of_a_connection_at_the_stop_is_taken_again_and_has_time_to_ask() {
    let mut rig = Rig::new(1);
    let (rests, executor, _) = rig.asked("look", &id(1));
    rig.says(executor, &format!("{} HIT pages=1 0\r\n\r\n", id(1)));
    assert_eq!(status(&rig.read(rests)), 200);
    rig.platform.begin_shutdown(rig.now);
    rig.turn();
    rig.pass(700_000);
    assert!(rig.closed.contains(&rests) && rig.listening);
    rig.pass(45_000);
    let again = rig.client();
    rig.says(again, &post("look", &id(2), ""));
    assert!(rig.read(executor).starts_with("REQ "));
    rig.says(executor, &format!("{} HIT pages=1 0\r\n\r\n", id(2)));
    assert_eq!(status(&rig.read(again)), 200);
    rig.pass(45_000);
    let (asks, silent) = (rig.client(), rig.client());
    rig.pass(10_000);
    assert!(!rig.listening && !rig.stopped);
    rig.pass(35_000);
    assert!(!rig.closed.contains(&asks) && !rig.stopped, "its call may be on its way");
    rig.says(asks, &post("look", &id(3), ""));
    assert!(rig.read(executor).starts_with("REQ "));
    rig.pass(100_000);
    assert!(rig.closed.contains(&silent) && !rig.stopped, "one is owed");
    rig.says(executor, &format!("{} HIT pages=1 0\r\n\r\n", id(3)));
    assert_eq!(status(&rig.read(asks)), 200);
    rig.turn();
    assert!(rig.stopped);
}

/// All places are taken by some who keep their connections for good: new ones who have not asked yet are not closed for each other.
#[test]
fn new_clients_have_time_to_ask_where_all_places_are_taken() {
    let mut rig = Rig::of(&config(vec![server("e1", 1, "ready")], 64));
    let keepers: Vec<ConnId> = (0..16)
        .map(|n| {
            let client = rig.client();
            rig.says(client, "GET /health HTTP/1.1\r\n\r\n");
            assert_eq!(status(&rig.read(client)), 200);
            rig.pass(if n == 7 { 1_000_000 } else { 1_000 });
            client
        })
        .collect();
    rig.pass(3_500_000);
    // Eight rest for longer than usual ones do, and are closed first; the others stay, and then it is the silent who go.
    let (first, second) = (rig.client(), rig.client());
    assert_eq!(rig.closed, keepers[..2]);
    let more: Vec<ConnId> = (0..6).map(|_| rig.client()).collect();
    assert_eq!(rig.closed, keepers[..8]);
    rig.says(second, &post("look", &id(1), ""));
    rig.connect();
    let (executor, _) = rig.request().expect("sent on");
    let one_more = rig.client();
    assert_eq!(rig.closed[8..], [first]);
    // Who has left goes first of all.
    rig.platform.handle_io(rig.now, IoEvent::Ended(keepers[15]));
    let last = rig.client();
    assert_eq!(rig.closed[9..], [keepers[15]]);
    assert!([&more[..], &[one_more, last]].concat().iter().all(|c| !rig.closed.contains(c)));
    rig.says(executor, &format!("{} HIT pages=1 0\r\n\r\n", id(1)));
    assert_eq!(status(&rig.read(second)), 200);
}
