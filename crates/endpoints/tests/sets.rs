//! Engine files: sound ones are taken whole; torn, wrong and implausible ones leave the set in force as it is.

use std::collections::BTreeSet;
use wheelfield::interface::{Micros, Status};
use wheelfield_config::{engine_id, ConfigError, Names};
use wheelfield_endpoints::activation::{ActivationPolicy, Activator, Reading, Verdict};
use wheelfield_endpoints::file::{parse, serialize, EngineFile, Topology};
use wheelfield_endpoints::merge::{merge, Contradiction};
use wheelfield_endpoints::tracker::EngineTracker;
use wheelfield_endpoints::EngineSet;

const SECOND: i64 = 1_000_000;

fn places() -> Topology {
    let names = Names {
        zones: vec!["a".into(), "b".into()],
        kinds: vec!["std".into(), "big".into()],
        ..Names::default()
    };
    Topology { names, cores: vec![8.0, 16.0], accept_unknown_names: false }
}

/// One engine's lines.
fn engine(n: usize, more: &str) -> String {
    let (zone, kind) = (["a", "b"][n % 2], ["std", "big"][n / 2 % 2]);
    let port = 5_500 + n;
    format!(
        "\n[[engines]]\nid = \"e{n}\"\naddress = \"127.0.0.1:{port}\"\nzone = \"{zone}\"\nkind = \"{kind}\"\ncell = {n}\n{more}"
    )
}

fn file(version: u64, engines: &[String]) -> String {
    format!("version = {version}\n{}\n[end]\nengines = {}\n", engines.concat(), engines.len())
}

fn fleet(version: u64, n: usize) -> String {
    file(version, &(0..n).map(|n| engine(n, "")).collect::<Vec<_>>())
}

fn activator(policy: ActivationPolicy) -> Activator {
    Activator::new(policy, places())
}

fn one(text: &str) -> Vec<Reading> {
    vec![("engines.toml".to_string(), Ok(text.to_string()))]
}

/// Reads until it has settled, from a time on.
fn settled(activator: &mut Activator, now: i64, reading: &[Reading]) -> Verdict {
    match activator.look(Micros(now), reading) {
        Verdict::Settling(again) => activator.look(again, reading),
        other => other,
    }
}

/// An activator with twelve engines in force, at second 1.
fn in_force() -> (Activator, EngineSet) {
    let mut activator = activator(ActivationPolicy::default());
    let Verdict::Swap(set) = settled(&mut activator, SECOND, &one(&fleet(5, 12))) else { panic!("sound") };
    assert_eq!((set.engines.len(), set.version), (12, 5));
    (activator, set)
}

/// What a text gets that is read after twelve engines are in force, which then must still be.
fn refused(text: &str) -> ConfigError {
    let (mut activator, set) = in_force();
    let verdict = settled(&mut activator, 60 * SECOND, &one(text));
    let Verdict::Refused(fault, true) = verdict else { panic!("{verdict:?} for\n{text}") };
    assert_eq!(activator.current(), Some(&set), "the set in force stays");
    assert_eq!(activator.fault(), Some(&fault));
    // The same bytes are not told again, and the old ones are no fault.
    assert_eq!(activator.look(Micros(70 * SECOND), &one(text)), Verdict::Refused(fault.clone(), false));
    assert_eq!(activator.look(Micros(71 * SECOND), &one(&fleet(5, 12))), Verdict::Same);
    assert_eq!(activator.fault(), None);
    fault
}

#[test]
fn a_file_torn_at_any_byte_is_refused_and_the_set_stays() {
    // A change of several lines, written in place: each beginning of it is what a reader may find.
    let whole = file(6, &(0..12).map(|n| engine(n, "status = \"up\"\n")).collect::<Vec<_>>());
    let (mut activator, set) = in_force();
    let mut now = 60 * SECOND;
    for at in 0..whole.len() {
        now += SECOND;
        let torn = &whole[..at];
        let verdict = settled(&mut activator, now, &one(torn));
        assert!(matches!(verdict, Verdict::Refused(_, true)), "{at} bytes: {verdict:?}");
        assert_eq!(activator.current(), Some(&set), "{at} bytes");
    }
    let verdict = settled(&mut activator, now + SECOND, &one(&whole));
    assert!(matches!(&verdict, Verdict::Swap(s) if s.version == 6), "{verdict:?}");
}

#[test]
#[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
fn a_corpus_of_planted_faults_names_each_and_takes_none() {
    let mut planted = 0;
    let mut faults = BTreeSet::new();
    // A fault at each engine in turn: what is written there, in place of what, and what must be said of it.
    type Plant = (&'static str, fn(usize) -> (String, String), &'static str);
    let line = |n: usize| format!("id = \"e{n}\"\n");
    let plants: [Plant; 22] = [
        ("id twice", |n| (format!("id = \"e{n}\""), format!("id = \"e{}\"", (n + 1) % 12)), "named twice"),
        (
            "address twice",
            |n| (format!(":{}\"", 5_500 + n), format!(":{}\"", 5_500 + (n + 1) % 12)),
            "have one address",
        ),
        ("another address", |n| (format!(":{}\"", 5_500 + n), format!(":{}\"", 7_000 + n)), "would be at"),
        (
            "off loopback",
            |n| (format!("127.0.0.1:{}", 5_500 + n), format!("10.0.0.1:{}", 5_500 + n)),
            "not a port on a loopback",
        ),
        ("no port", |n| (format!("127.0.0.1:{}\"", 5_500 + n), "127.0.0.1\"".into()), "is no address"),
        (
            "port 0",
            |n| (format!("127.0.0.1:{}\"", 5_500 + n), "127.0.0.1:0\"".into()),
            "not a port on a loopback",
        ),
        ("empty id", |n| (format!("id = \"e{n}\""), "id = \"\"".into()), "is no id"),
        ("blank in id", |n| (format!("id = \"e{n}\""), format!("id = \"e {n}\"")), "is no id"),
        ("id a number", |n| (format!("id = \"e{n}\""), format!("id = {n}")), "invalid type"),
        (
            "unknown zone",
            |n| {
                (
                    format!(
                        "id = \"e{n}\"\naddress = \"127.0.0.1:{}\"\nzone = \"{}\"",
                        5_500 + n,
                        ["a", "b"][n % 2]
                    ),
                    format!("id = \"e{n}\"\naddress = \"127.0.0.1:{}\"\nzone = \"c\"", 5_500 + n),
                )
            },
            "no zone is named `c`",
        ),
        (
            "unknown kind",
            |n| {
                (
                    format!("kind = \"{}\"\ncell = {n}\n", ["std", "big"][n / 2 % 2]),
                    format!("kind = \"huge\"\ncell = {n}\n"),
                )
            },
            "no kind is named `huge`",
        ),
        (
            "no kind",
            |n| (format!("kind = \"{}\"\ncell = {n}\n", ["std", "big"][n / 2 % 2]), format!("cell = {n}\n")),
            "missing field `kind`",
        ),
        (
            "millicores",
            |n| (format!("cell = {n}\n"), format!("cell = {n}\ncores = \"8000m\"\n")),
            "cores are `8000m`",
        ),
        (
            "thousandths",
            |n| (format!("cell = {n}\n"), format!("cell = {n}\ncores = 8000\n")),
            "cores are 8000",
        ),
        (
            "other cores",
            |n| (format!("cell = {n}\n"), format!("cell = {n}\ncores = 12\n")),
            "those of its kind",
        ),
        ("no cores", |n| (format!("cell = {n}\n"), format!("cell = {n}\ncores = 0\n")), "cores are 0"),
        ("cores a list", |n| (format!("cell = {n}\n"), format!("cell = {n}\ncores = [8]\n")), "cores are"),
        (
            "unknown status",
            |n| (format!("cell = {n}\n"), format!("cell = {n}\nstatus = \"asleep\"\n")),
            "unknown variant `asleep`",
        ),
        (
            "up and draining",
            |n| (format!("cell = {n}\n"), format!("cell = {n}\nstatus = \"up\"\ndraining = true\n")),
            "up and draining at once",
        ),
        (
            "start in seconds",
            |n| (format!("cell = {n}\n"), format!("cell = {n}\nstarted_us = 1764586000\n")),
            "a last start at",
        ),
        ("misspelt key", |n| (format!("cell = {n}\n"), format!("cells = {n}\n")), "unknown field `cells`"),
        ("no quotes", |n| (format!("id = \"e{n}\""), format!("id = e{n}")), ""),
    ];
    let good = fleet(6, 12);
    for (what, plant, must) in &plants {
        for n in 0..12 {
            let (from, to) = plant(n);
            assert!(good.contains(&from), "{what}: {from}");
            let text = good.replacen(&from, &to, 1);
            let fault = refused(&text);
            assert!(fault.problem.contains(must), "{what} at e{n}: {fault}");
            assert!(fault.line > 1 && !fault.suggestion.is_empty(), "{what} at e{n}: {fault}");
            // The place is at the engine meant, or at the other of two that are alike.
            let own = good[..good.find(&line(n)).unwrap_or(0)].matches('\n').count() + 1;
            let near = (own.saturating_sub(2)..own + 9).contains(&fault.line);
            let pair = what.ends_with("twice") && fault.line > 1;
            assert!(near || pair, "{what} at e{n}, line {own}: {fault}");
            faults.insert(fault.problem.clone());
            planted += 1;
        }
    }
    // And of the whole file.
    let whole = [
        (
            good.replace("version = 6", "version = 5").replace("cell = 3", "cell = 33"),
            "its version is still 5",
        ),
        (good.replace("version = 6", "version = 4"), "an old file came back"),
        (good.replace("version = 6\n", ""), "missing field `version`"),
        (good.replace("version = 6", "version = 0"), "version 0"),
        (good.replace("version = 6", "version = -6"), ""),
        (good.replace("engines = 12", "engines = 11"), "[end] says 11 engines"),
        (good.replace("[end]", "[ende]"), "unknown field `ende`"),
        (good.replace("\n[end]\nengines = 12\n", ""), "no [end]"),
        (file(6, &[]), "no engine at all"),
        (format!("{good}{}", engine(12, "")).replace("engines = 12", "engines = 13"), "behind [end]"),
        (good.trim_end().to_string(), "not whole"),
        (String::new(), "missing field `version`"),
        ("\u{0}\u{1}\u{2}".to_string(), ""),
        (good.replace("version = 6", "version = 6\nversion = 7"), "duplicate key"),
        (good.replace("\n[[engines]]", "\n[engines]"), ""),
    ];
    for (text, must) in whole {
        let fault = refused(&text);
        assert!(fault.problem.contains(must) && !fault.suggestion.is_empty(), "{must}: {fault}");
        planted += 1;
    }
    assert!(planted >= 200, "{planted}");
    assert!(faults.len() >= 100, "they name what is wrong: {}", faults.len());
}

#[test]
fn what_is_still_being_written_is_not_looked_at() {
    let (mut activator, set) = in_force();
    // A thousand writings in a second, each whole, each another one.
    for n in 0..1_000 {
        let verdict = activator.look(Micros(60 * SECOND + n * 1_000), &one(&fleet(6 + n as u64, 12)));
        assert!(matches!(verdict, Verdict::Settling(_)), "{verdict:?}");
    }
    assert_eq!(activator.current(), Some(&set));
    // The last one stands still.
    let last = fleet(1_005, 12);
    let verdict = activator.look(Micros(61 * SECOND + 99_000), &one(&last));
    assert!(matches!(&verdict, Verdict::Swap(s) if s.version == 1_005), "{verdict:?}");
    // The same bytes a thousand times are no change.
    for n in 0..1_000 {
        assert_eq!(activator.look(Micros(62 * SECOND + n * 1_000), &one(&last)), Verdict::Same);
    }
}

#[test]
fn a_file_deleted_and_made_anew() {
    let (mut activator, set) = in_force();
    let verdict = settled(&mut activator, 60 * SECOND, &[]);
    let Verdict::Refused(fault, true) = verdict else { panic!("{verdict:?}") };
    assert!(fault.problem.contains("no file of engines"));
    let gone = vec![("engines.toml".to_string(), Err("No such file or directory".to_string()))];
    let Verdict::Refused(fault, true) = settled(&mut activator, 61 * SECOND, &gone) else {
        panic!("unreadable")
    };
    assert!(fault.problem.contains("No such file"));
    assert_eq!(activator.current(), Some(&set));
    assert_eq!(activator.look(Micros(62 * SECOND), &one(&fleet(5, 12))), Verdict::Same);
    let verdict = settled(&mut activator, 63 * SECOND, &one(&fleet(6, 13)));
    assert!(matches!(verdict, Verdict::Swap(s) if s.engines.len() == 13));
}

#[test]
fn over_half_of_the_capacity_is_not_taken_away_by_a_mere_file() {
    let confirm = |text: String| text.replacen('\n', "\nconfirmed = true\n", 1);
    // Twelve engines of 144 cores: without the six of the second kind, two thirds are gone.
    let half: Vec<String> = (0..12).filter(|n| n / 2 % 2 == 0).map(|n| engine(n, "")).collect();
    let (mut activator, set) = in_force();
    let verdict = settled(&mut activator, 60 * SECOND, &one(&file(6, &half)));
    assert_eq!(verdict, Verdict::Held("67% of the capacity in force would be gone at once".into(), None));
    let verdict = activator.look(Micros(9_000 * SECOND), &one(&file(6, &half)));
    assert!(matches!(verdict, Verdict::Held(_, None)), "it is not taken by waiting");
    assert_eq!(activator.current(), Some(&set));
    let verdict = settled(&mut activator, 9_001 * SECOND, &one(&confirm(file(6, &half))));
    assert!(matches!(verdict, Verdict::Swap(s) if s.engines.len() == 6));
    // All drained, or all replaced by others, is as much gone.
    for other in [
        file(6, &(0..12).map(|n| engine(n, "status = \"draining\"\n")).collect::<Vec<_>>()),
        file(6, &(20..32).map(|n| engine(n, "")).collect::<Vec<_>>()),
    ] {
        let (mut activator, _) = in_force();
        let verdict = settled(&mut activator, 60 * SECOND, &one(&other));
        assert!(matches!(&verdict, Verdict::Held(why, _) if why.starts_with("100%")), "{verdict:?}");
        assert!(matches!(settled(&mut activator, 61 * SECOND, &one(&confirm(other))), Verdict::Swap(_)));
    }
    // A third may go.
    let (mut activator, _) = in_force();
    let most: Vec<String> = (0..8).map(|n| engine(n, "")).collect();
    assert!(matches!(settled(&mut activator, 60 * SECOND, &one(&file(6, &most))), Verdict::Swap(_)));
}

#[test]
fn with_a_second_reading_it_is_taken_if_it_still_stands() {
    let mut activator =
        activator(ActivationPolicy { hold: Some(Micros(30 * SECOND)), ..ActivationPolicy::default() });
    assert!(matches!(settled(&mut activator, SECOND, &one(&fleet(5, 12))), Verdict::Swap(_)));
    let (few, fewer) = (one(&fleet(6, 3)), one(&fleet(6, 2)));
    let Verdict::Held(_, Some(until)) = settled(&mut activator, 60 * SECOND, &few) else { panic!("held") };
    assert!(matches!(activator.look(until - Micros(1), &few), Verdict::Held(..)));
    // Another content meanwhile counts from its own beginning.
    assert!(matches!(settled(&mut activator, until.0, &fewer), Verdict::Held(..)));
    let Verdict::Held(_, Some(again)) = settled(&mut activator, until.0 + SECOND, &few) else {
        panic!("held anew")
    };
    assert!(again > until);
    assert!(matches!(activator.look(again, &few), Verdict::Swap(s) if s.engines.len() == 3));
}

#[test]
fn an_id_comes_back_where_it_was_or_as_another_engine_much_later() {
    let (mut activator, _) = in_force();
    let without: Vec<String> = (1..12).map(|n| engine(n, "")).collect();
    assert!(matches!(settled(&mut activator, 60 * SECOND, &one(&file(6, &without))), Verdict::Swap(_)));
    let moved = |version| fleet(version, 12).replace(":5500\"", ":7500\"");
    let Verdict::Refused(fault, _) = settled(&mut activator, 61 * SECOND, &one(&moved(7))) else {
        panic!("moved")
    };
    assert!(fault.problem.contains("`e0` was at 127.0.0.1:5500"), "{fault}");
    assert!(
        matches!(settled(&mut activator, 62 * SECOND, &one(&fleet(7, 12))), Verdict::Swap(_)),
        "at its place"
    );
    assert!(matches!(settled(&mut activator, 63 * SECOND, &one(&file(8, &without))), Verdict::Swap(_)));
    let late = 63 * SECOND + 601 * SECOND;
    assert!(matches!(settled(&mut activator, late, &one(&moved(9))), Verdict::Swap(_)), "long after");
}

#[test]
fn several_files_are_one_set() {
    let (one_text, two_text) = (fleet(3, 4), file(9, &(4..8).map(|n| engine(n, "")).collect::<Vec<_>>()));
    let both =
        |a: &str, b: &str| vec![("a.toml".into(), Ok(a.to_string())), ("b.toml".into(), Ok(b.to_string()))];
    let mut activator = activator(ActivationPolicy::default());
    let Verdict::Swap(set) = settled(&mut activator, SECOND, &both(&one_text, &two_text)) else {
        panic!("sound")
    };
    assert_eq!((set.engines.len(), set.version), (8, 12));
    // One torn: none of both acts.
    let torn = &two_text[..two_text.len() - 30];
    let verdict = settled(&mut activator, 2 * SECOND, &both(&fleet(4, 3), torn));
    assert!(matches!(&verdict, Verdict::Refused(f, true) if f.file == "b.toml"), "{verdict:?}");
    assert_eq!(activator.current().map(|s| s.engines.len()), Some(8));
    // One engine in both, and two of one address.
    for (text, must) in [
        (file(10, &(3..8).map(|n| engine(n, "")).collect::<Vec<_>>()), "is in a.toml too"),
        (two_text.replace("version = 9", "version = 10").replace(":5504\"", ":5500\""), "has the address of"),
    ] {
        let verdict = settled(&mut activator, 3 * SECOND, &both(&one_text, &text));
        assert!(
            matches!(&verdict, Verdict::Refused(f, _) if f.problem.contains(must)),
            "{must}: {verdict:?}"
        );
    }
}

#[test]
fn a_clock_that_runs_backwards_settles_late_and_not_never() {
    let (mut activator, _) = in_force();
    let reading = one(&fleet(6, 12).replace("cell = 3", "cell = 33"));
    assert!(matches!(activator.look(Micros(7_200 * SECOND), &reading), Verdict::Settling(_)));
    let Verdict::Settling(again) = activator.look(Micros(3_600 * SECOND), &reading) else { panic!("anew") };
    assert!(again < Micros(3_601 * SECOND));
    assert!(matches!(activator.look(again, &reading), Verdict::Swap(_)));
}

#[test]
fn a_set_kept_is_taken_up_and_any_version_may_follow() {
    let (activator, set) = in_force();
    let text = activator.to_keep(Micros(77 * SECOND)).expect("a set");
    let kept = parse("kept", &text, &mut places()).expect("sound");
    assert_eq!((&kept.set, kept.saved_at), (&set, Some(Micros(77 * SECOND))));
    let mut fresh = Activator::new(ActivationPolicy::default(), places());
    fresh.take_up(kept.set);
    assert!(matches!(settled(&mut fresh, SECOND, &one("version = ")), Verdict::Refused(..)));
    assert_eq!(fresh.current(), Some(&set));
    // Engines may have moved while no process was there to know them.
    let moved = fleet(5, 12).replace(":55", ":65");
    assert!(matches!(settled(&mut fresh, 2 * SECOND, &one(&moved)), Verdict::Swap(_)));
    let back = fleet(6, 12);
    assert!(
        matches!(settled(&mut fresh, 3 * SECOND, &one(&back)), Verdict::Refused(..)),
        "now they are known"
    );
    // Writing is a fixed point, and the order of a file means nothing.
    let shuffled = file(5, &(0..12).rev().map(|n| engine(n, "")).collect::<Vec<_>>());
    let read_it = |t: &str| parse("x", t, &mut places()).expect("sound");
    assert!(read_it(&shuffled).set.difference(&set).is_empty());
    let again = |r: &EngineFile| serialize(r, &places());
    assert_eq!(again(&read_it(&again(&read_it(&shuffled)))), again(&read_it(&fleet(5, 12))));
}

#[test]
fn the_module_is_told_what_changed_and_fresh_engines_start_now() {
    let mut engines = EngineTracker::default();
    let set = |text: &str| parse("x", text, &mut places()).expect("sound").set;
    let first = engines.apply_file_set(set(&fleet(1, 3)), Micros(SECOND));
    assert!(
        first.is_complete && first.entries.iter().all(|e| e.started_at.is_none()),
        "at the start, all are taken for warm"
    );
    let change = engines.apply_file_set(set(&fleet(2, 4)), Micros(50 * SECOND));
    assert_eq!(change.entries.len(), 1);
    assert_eq!(
        (change.entries[0].engine, change.entries[0].started_at),
        (engine_id("e3"), Some(Micros(50 * SECOND)))
    );
    // It keeps that start with later sets; gone and back, it starts anew.
    assert!(engines.apply_file_set(set(&fleet(3, 4)), Micros(60 * SECOND)).entries.is_empty());
    let gone = engines.apply_file_set(set(&fleet(4, 3)), Micros(61 * SECOND));
    assert_eq!((gone.entries.len(), gone.entries[0].status), (1, Status::Removed));
    let back = engines.apply_file_set(set(&fleet(5, 4)), Micros(62 * SECOND));
    assert_eq!((back.entries[0].status, back.entries[0].started_at), (Status::Up, Some(Micros(62 * SECOND))));
}

#[test]
fn a_registry_that_falls_behind_itself_is_refused() {
    let mut engines = EngineTracker::default();
    let list = |version: u64, status: &str| {
        format!(
            r#"{{"version":{version},"engines":[{{"id":"e0","address":"127.0.0.1:5500","status":"{status}"}}]}}"#
        )
    };
    let names = places().names;
    engines.apply_registry_list(list(40, "draining").as_bytes(), &names).expect("sound");
    let fault = engines.apply_registry_list(list(12, "up").as_bytes(), &names).expect_err("old").to_string();
    assert!(fault.contains("version 12") && fault.contains("40 is in force"), "{fault}");
    assert!(engines.records().values().all(|k| k.entry.status == Status::Draining));
}

#[test]
fn a_file_and_a_registry_that_contradict_each_other() {
    let set = |text: &str| parse("x", text, &mut places()).expect("sound").set;
    let file_set =
        set(&file(3, &[engine(0, ""), engine(1, ""), engine(2, "status = \"draining\"\n"), engine(3, "")]));
    let registry = set(&file(
        70,
        &[
            engine(0, "status = \"draining\"\n"),
            engine(1, "started_us = 1764586000000000\n"),
            engine(2, ""),
            engine(3, "").replace(":5503", ":9999"),
            engine(9, ""),
        ],
    ));
    let (merged, found) = merge(&file_set, Some((&registry, Micros(SECOND))), Micros(10 * SECOND));
    let status = |n: usize| merged.engines[&engine_id(&format!("e{n}"))].entry.status;
    assert_eq!(
        (status(0), status(1), status(2), status(3)),
        (Status::Draining, Status::Up, Status::Draining, Status::Up)
    );
    assert_eq!(merged.engines.len(), 4, "who is not in the file is not there");
    assert_eq!(merged.engines[&engine_id("e1")].entry.started_at, Some(Micros(1_764_586_000_000_000)));
    assert_eq!(merged.engines[&engine_id("e3")].address.port(), 5_503);
    assert_eq!(
        found,
        [
            Contradiction::Standing("e0".into(), "up", "draining"),
            Contradiction::Standing("e2".into(), "draining", "up"),
            Contradiction::Address("e3".into()),
            Contradiction::Unlisted("e9".into()),
        ]
        .into_iter()
        .collect::<BTreeOf>()
        .in_order(&found)
    );
    // After hours of silence it says nothing.
    let (merged, found) = merge(&file_set, Some((&registry, Micros(7_200 * SECOND))), Micros(10 * SECOND));
    assert_eq!((merged, found), (file_set, Vec::new()));
}

/// The contradictions come in the order of numbers, which names do not tell.
struct BTreeOf(Vec<Contradiction>);

impl FromIterator<Contradiction> for BTreeOf {
    fn from_iter<I: IntoIterator<Item = Contradiction>>(all: I) -> Self {
        BTreeOf(all.into_iter().collect())
    }
}

impl BTreeOf {
    /// The same ones, as the other has them.
    fn in_order(self, like: &[Contradiction]) -> Vec<Contradiction> {
        let place = |c: &Contradiction| like.iter().position(|l| l == c).unwrap_or(usize::MAX);
        let mut all = self.0;
        all.sort_by_key(place);
        all
    }
}

proptest::proptest! {
    #[test]
    fn any_text_is_read_or_refused(text in "(?s).{0,300}") {
        let _ = parse("x", &text, &mut places());
    }

    #[test]
    fn any_damage_to_a_good_file_is_taken_whole_or_refused(at in 0usize..1_200, byte in proptest::prelude::any::<u8>()) {
        let mut bytes = fleet(6, 8).into_bytes();
        let at = at % bytes.len();
        bytes[at] = byte;
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Ok(found) = parse("x", &text, &mut places()) {
            proptest::prop_assert_eq!(found.set.engines.len(), 8);
        }
    }
}
