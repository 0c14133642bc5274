//! Engine files: valid ones are activated as a whole; truncated, invalid and implausible ones leave the active set
//! unchanged.

use std::collections::BTreeSet;
use wheelfield::interface::{Micros, Status};
use wheelfield_config::{engine_id, ConfigError, Names};
use wheelfield_endpoints::activation::{ActivationPolicy, Activator, FileContent, Verdict};
use wheelfield_endpoints::file::{parse, serialize, EngineFile, Topology};
use wheelfield_endpoints::merge::{merge, Contradiction};
use wheelfield_endpoints::tracker::EngineTracker;
use wheelfield_endpoints::EngineSet;

const SECOND: i64 = 1_000_000;

fn topology() -> Topology {
    let names = Names {
        zones: vec!["a".into(), "b".into()],
        kinds: vec!["std".into(), "big".into()],
        ..Names::default()
    };
    Topology { names, cores: vec![8.0, 16.0], accept_unknown_names: false }
}

/// The table of engine `n`; `more` is appended to it.
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
    Activator::new(policy, topology())
}

fn single_file(text: &str) -> Vec<FileContent> {
    vec![("engines.toml".to_string(), Ok(text.to_string()))]
}

/// Evaluates contents at `now`, and again after the settle time.
fn evaluate_settled(activator: &mut Activator, now: i64, contents: &[FileContent]) -> Verdict {
    match activator.evaluate(Micros(now), contents) {
        Verdict::Settling(again) => activator.evaluate(again, contents),
        other => other,
    }
}

/// An activator with an active set of twelve engines, activated at second 1.
fn activator_with_twelve_engines() -> (Activator, EngineSet) {
    let mut activator = activator(ActivationPolicy::default());
    let Verdict::Activated(set) = evaluate_settled(&mut activator, SECOND, &single_file(&fleet(5, 12)))
    else {
        panic!("not activated")
    };
    assert_eq!((set.engines.len(), set.version), (12, 5));
    (activator, set)
}

/// The error of a text that is read while twelve engines are active. Checks that the active set stays.
fn rejection_of(text: &str) -> ConfigError {
    let (mut activator, set) = activator_with_twelve_engines();
    let verdict = evaluate_settled(&mut activator, 60 * SECOND, &single_file(text));
    let Verdict::Rejected(fault, true) = verdict else { panic!("{verdict:?} for\n{text}") };
    assert_eq!(activator.current(), Some(&set), "the active set stays");
    assert_eq!(activator.fault(), Some(&fault));
    // The same contents are not reported again, and the contents of the active set clear the error.
    assert_eq!(
        activator.evaluate(Micros(70 * SECOND), &single_file(text)),
        Verdict::Rejected(fault.clone(), false)
    );
    assert_eq!(activator.evaluate(Micros(71 * SECOND), &single_file(&fleet(5, 12))), Verdict::Unchanged);
    assert_eq!(activator.fault(), None);
    fault
}

#[test]
fn a_file_truncated_at_any_byte_is_rejected_and_the_active_set_stays() {
    // A reader may find any prefix of a file that is written in place.
    let whole = file(6, &(0..12).map(|n| engine(n, "status = \"up\"\n")).collect::<Vec<_>>());
    let (mut activator, set) = activator_with_twelve_engines();
    let mut now = 60 * SECOND;
    for at in 0..whole.len() {
        now += SECOND;
        let truncated = &whole[..at];
        let verdict = evaluate_settled(&mut activator, now, &single_file(truncated));
        assert!(matches!(verdict, Verdict::Rejected(_, true)), "{at} bytes: {verdict:?}");
        assert_eq!(activator.current(), Some(&set), "{at} bytes");
    }
    let verdict = evaluate_settled(&mut activator, now + SECOND, &single_file(&whole));
    assert!(matches!(&verdict, Verdict::Activated(s) if s.version == 6), "{verdict:?}");
}

#[test]
#[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
fn each_injected_error_is_rejected_and_described() {
    let mut injected = 0;
    let mut faults = BTreeSet::new();
    // Each error is injected at each engine in turn: its name, the text and its replacement, and a part of the message.
    type Injection = (&'static str, fn(usize) -> (String, String), &'static str);
    let id_line = |n: usize| format!("id = \"e{n}\"\n");
    let injections: [Injection; 22] = [
        ("id twice", |n| (format!("id = \"e{n}\""), format!("id = \"e{}\"", (n + 1) % 12)), "listed twice"),
        (
            "address twice",
            |n| (format!(":{}\"", 5_500 + n), format!(":{}\"", 5_500 + (n + 1) % 12)),
            "have address",
        ),
        ("another address", |n| (format!(":{}\"", 5_500 + n), format!(":{}\"", 7_000 + n)), "but is at"),
        (
            "off loopback",
            |n| (format!("127.0.0.1:{}", 5_500 + n), format!("10.0.0.1:{}", 5_500 + n)),
            "is not a loopback address with a port",
        ),
        (
            "no port",
            |n| (format!("127.0.0.1:{}\"", 5_500 + n), "127.0.0.1\"".into()),
            "is not an address with a port",
        ),
        (
            "port 0",
            |n| (format!("127.0.0.1:{}\"", 5_500 + n), "127.0.0.1:0\"".into()),
            "is not a loopback address with a port",
        ),
        ("empty id", |n| (format!("id = \"e{n}\""), "id = \"\"".into()), "is not a valid id"),
        ("blank in id", |n| (format!("id = \"e{n}\""), format!("id = \"e {n}\"")), "is not a valid id"),
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
            "cores is `8000m`",
        ),
        (
            "thousandths",
            |n| (format!("cell = {n}\n"), format!("cell = {n}\ncores = 8000\n")),
            "cores is 8000",
        ),
        (
            "other cores",
            |n| (format!("cell = {n}\n"), format!("cell = {n}\ncores = 12\n")),
            "but the engine's kind has",
        ),
        ("no cores", |n| (format!("cell = {n}\n"), format!("cell = {n}\ncores = 0\n")), "cores is 0"),
        ("cores a list", |n| (format!("cell = {n}\n"), format!("cell = {n}\ncores = [8]\n")), "cores is"),
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
            "started_us is",
        ),
        ("misspelt key", |n| (format!("cell = {n}\n"), format!("cells = {n}\n")), "unknown field `cells`"),
        ("no quotes", |n| (format!("id = \"e{n}\""), format!("id = e{n}")), ""),
    ];
    let valid = fleet(6, 12);
    for (what, inject, expected) in &injections {
        for n in 0..12 {
            let (from, to) = inject(n);
            assert!(valid.contains(&from), "{what}: {from}");
            let text = valid.replacen(&from, &to, 1);
            let fault = rejection_of(&text);
            assert!(fault.problem.contains(expected), "{what} at e{n}: {fault}");
            assert!(fault.line > 1 && !fault.suggestion.is_empty(), "{what} at e{n}: {fault}");
            // The line is in the table of this engine, or of the other engine with the same id or address.
            let own_line = valid[..valid.find(&id_line(n)).unwrap_or(0)].matches('\n').count() + 1;
            let in_own_table = (own_line.saturating_sub(2)..own_line + 9).contains(&fault.line);
            let in_other_table = what.ends_with("twice") && fault.line > 1;
            assert!(in_own_table || in_other_table, "{what} at e{n}, line {own_line}: {fault}");
            faults.insert(fault.problem.clone());
            injected += 1;
        }
    }
    // Errors of the file as a whole.
    let file_errors = [
        (
            valid.replace("version = 6", "version = 5").replace("cell = 3", "cell = 33"),
            "its version is still 5",
        ),
        (valid.replace("version = 6", "version = 4"), "is older than the active version"),
        (valid.replace("version = 6\n", ""), "missing field `version`"),
        (valid.replace("version = 6", "version = 0"), "version 0"),
        (valid.replace("version = 6", "version = -6"), ""),
        (valid.replace("engines = 12", "engines = 11"), "[end] says 11 engines"),
        (valid.replace("[end]", "[ende]"), "unknown field `ende`"),
        (valid.replace("\n[end]\nengines = 12\n", ""), "no [end]"),
        (file(6, &[]), "no engines are listed"),
        (format!("{valid}{}", engine(12, "")).replace("engines = 12", "engines = 13"), "after [end]"),
        (valid.trim_end().to_string(), "the last line has no newline"),
        (String::new(), "missing field `version`"),
        ("\u{0}\u{1}\u{2}".to_string(), ""),
        (valid.replace("version = 6", "version = 6\nversion = 7"), "duplicate key"),
        (valid.replace("\n[[engines]]", "\n[engines]"), ""),
    ];
    for (text, expected) in file_errors {
        let fault = rejection_of(&text);
        assert!(fault.problem.contains(expected) && !fault.suggestion.is_empty(), "{expected}: {fault}");
        injected += 1;
    }
    assert!(injected >= 200, "{injected}");
    assert!(faults.len() >= 100, "distinct messages: {}", faults.len());
}

#[test]
fn a_file_that_is_still_being_written_is_not_evaluated() {
    let (mut activator, set) = activator_with_twelve_engines();
    // The file is replaced a thousand times within a second, each time by another valid one.
    for n in 0..1_000 {
        let verdict =
            activator.evaluate(Micros(60 * SECOND + n * 1_000), &single_file(&fleet(6 + n as u64, 12)));
        assert!(matches!(verdict, Verdict::Settling(_)), "{verdict:?}");
    }
    assert_eq!(activator.current(), Some(&set));
    // The last one stays unchanged.
    let last = fleet(1_005, 12);
    let verdict = activator.evaluate(Micros(61 * SECOND + 99_000), &single_file(&last));
    assert!(matches!(&verdict, Verdict::Activated(s) if s.version == 1_005), "{verdict:?}");
    // Evaluating the same contents a thousand times reports no change.
    for n in 0..1_000 {
        assert_eq!(
            activator.evaluate(Micros(62 * SECOND + n * 1_000), &single_file(&last)),
            Verdict::Unchanged
        );
    }
}

#[test]
fn a_file_is_deleted_and_created_again() {
    let (mut activator, set) = activator_with_twelve_engines();
    let verdict = evaluate_settled(&mut activator, 60 * SECOND, &[]);
    let Verdict::Rejected(fault, true) = verdict else { panic!("{verdict:?}") };
    assert!(fault.problem.contains("no engine file"));
    let missing = vec![("engines.toml".to_string(), Err("No such file or directory".to_string()))];
    let Verdict::Rejected(fault, true) = evaluate_settled(&mut activator, 61 * SECOND, &missing) else {
        panic!("not rejected")
    };
    assert!(fault.problem.contains("No such file"));
    assert_eq!(activator.current(), Some(&set));
    assert_eq!(activator.evaluate(Micros(62 * SECOND), &single_file(&fleet(5, 12))), Verdict::Unchanged);
    let verdict = evaluate_settled(&mut activator, 63 * SECOND, &single_file(&fleet(6, 13)));
    assert!(matches!(verdict, Verdict::Activated(s) if s.engines.len() == 13));
}

#[test]
fn removing_more_than_half_of_the_capacity_needs_a_confirmation() {
    let confirm = |text: String| text.replacen('\n', "\nconfirmed = true\n", 1);
    // Twelve engines have 144 cores. Removing the six of the second kind removes two thirds of them.
    let half: Vec<String> = (0..12).filter(|n| n / 2 % 2 == 0).map(|n| engine(n, "")).collect();
    let (mut activator, set) = activator_with_twelve_engines();
    let verdict = evaluate_settled(&mut activator, 60 * SECOND, &single_file(&file(6, &half)));
    assert_eq!(verdict, Verdict::Held("67% of the active capacity would be removed at once".into(), None));
    let verdict = activator.evaluate(Micros(9_000 * SECOND), &single_file(&file(6, &half)));
    assert!(matches!(verdict, Verdict::Held(_, None)), "it does not become active by waiting");
    assert_eq!(activator.current(), Some(&set));
    let verdict = evaluate_settled(&mut activator, 9_001 * SECOND, &single_file(&confirm(file(6, &half))));
    assert!(matches!(verdict, Verdict::Activated(s) if s.engines.len() == 6));
    // Draining all engines, or replacing all of them, removes all capacity as well.
    for other in [
        file(6, &(0..12).map(|n| engine(n, "status = \"draining\"\n")).collect::<Vec<_>>()),
        file(6, &(20..32).map(|n| engine(n, "")).collect::<Vec<_>>()),
    ] {
        let (mut activator, _) = activator_with_twelve_engines();
        let verdict = evaluate_settled(&mut activator, 60 * SECOND, &single_file(&other));
        assert!(matches!(&verdict, Verdict::Held(why, _) if why.starts_with("100%")), "{verdict:?}");
        assert!(matches!(
            evaluate_settled(&mut activator, 61 * SECOND, &single_file(&confirm(other))),
            Verdict::Activated(_)
        ));
    }
    // A third may be removed without a confirmation.
    let (mut activator, _) = activator_with_twelve_engines();
    let most: Vec<String> = (0..8).map(|n| engine(n, "")).collect();
    assert!(matches!(
        evaluate_settled(&mut activator, 60 * SECOND, &single_file(&file(6, &most))),
        Verdict::Activated(_)
    ));
}

#[test]
fn with_a_hold_time_an_unchanged_file_becomes_active_after_it() {
    let mut activator =
        activator(ActivationPolicy { hold: Some(Micros(30 * SECOND)), ..ActivationPolicy::default() });
    assert!(matches!(
        evaluate_settled(&mut activator, SECOND, &single_file(&fleet(5, 12))),
        Verdict::Activated(_)
    ));
    let (few, fewer) = (single_file(&fleet(6, 3)), single_file(&fleet(6, 2)));
    let Verdict::Held(_, Some(until)) = evaluate_settled(&mut activator, 60 * SECOND, &few) else {
        panic!("not held")
    };
    assert!(matches!(activator.evaluate(until - Micros(1), &few), Verdict::Held(..)));
    // The hold time starts again when the contents change.
    assert!(matches!(evaluate_settled(&mut activator, until.0, &fewer), Verdict::Held(..)));
    let Verdict::Held(_, Some(again)) = evaluate_settled(&mut activator, until.0 + SECOND, &few) else {
        panic!("not held again")
    };
    assert!(again > until);
    assert!(matches!(activator.evaluate(again, &few), Verdict::Activated(s) if s.engines.len() == 3));
}

#[test]
fn a_removed_id_may_return_at_its_address_or_after_the_reuse_delay_at_another() {
    let (mut activator, _) = activator_with_twelve_engines();
    let without: Vec<String> = (1..12).map(|n| engine(n, "")).collect();
    assert!(matches!(
        evaluate_settled(&mut activator, 60 * SECOND, &single_file(&file(6, &without))),
        Verdict::Activated(_)
    ));
    let moved = |version| fleet(version, 12).replace(":5500\"", ":7500\"");
    let Verdict::Rejected(fault, _) = evaluate_settled(&mut activator, 61 * SECOND, &single_file(&moved(7)))
    else {
        panic!("not rejected")
    };
    assert!(fault.problem.contains("`e0` was at 127.0.0.1:5500"), "{fault}");
    assert!(
        matches!(
            evaluate_settled(&mut activator, 62 * SECOND, &single_file(&fleet(7, 12))),
            Verdict::Activated(_)
        ),
        "at its old address"
    );
    assert!(matches!(
        evaluate_settled(&mut activator, 63 * SECOND, &single_file(&file(8, &without))),
        Verdict::Activated(_)
    ));
    let after_reuse_delay = 63 * SECOND + 601 * SECOND;
    assert!(
        matches!(
            evaluate_settled(&mut activator, after_reuse_delay, &single_file(&moved(9))),
            Verdict::Activated(_)
        ),
        "after the reuse delay"
    );
}

#[test]
fn several_files_are_one_set() {
    let (first_text, second_text) =
        (fleet(3, 4), file(9, &(4..8).map(|n| engine(n, "")).collect::<Vec<_>>()));
    let both =
        |a: &str, b: &str| vec![("a.toml".into(), Ok(a.to_string())), ("b.toml".into(), Ok(b.to_string()))];
    let mut activator = activator(ActivationPolicy::default());
    let Verdict::Activated(set) = evaluate_settled(&mut activator, SECOND, &both(&first_text, &second_text))
    else {
        panic!("not activated")
    };
    assert_eq!((set.engines.len(), set.version), (8, 12));
    // If one file is truncated, neither file takes effect.
    let truncated = &second_text[..second_text.len() - 30];
    let verdict = evaluate_settled(&mut activator, 2 * SECOND, &both(&fleet(4, 3), truncated));
    assert!(matches!(&verdict, Verdict::Rejected(f, true) if f.file == "b.toml"), "{verdict:?}");
    assert_eq!(activator.current().map(|s| s.engines.len()), Some(8));
    // One engine in both files, and two engines with the same address.
    for (text, expected) in [
        (file(10, &(3..8).map(|n| engine(n, "")).collect::<Vec<_>>()), "is also in a.toml"),
        (second_text.replace("version = 9", "version = 10").replace(":5504\"", ":5500\""), "have address"),
    ] {
        let verdict = evaluate_settled(&mut activator, 3 * SECOND, &both(&first_text, &text));
        assert!(
            matches!(&verdict, Verdict::Rejected(f, _) if f.problem.contains(expected)),
            "{expected}: {verdict:?}"
        );
    }
}

#[test]
fn a_clock_that_goes_backwards_only_restarts_the_settle_time() {
    let (mut activator, _) = activator_with_twelve_engines();
    let contents = single_file(&fleet(6, 12).replace("cell = 3", "cell = 33"));
    assert!(matches!(activator.evaluate(Micros(7_200 * SECOND), &contents), Verdict::Settling(_)));
    let Verdict::Settling(again) = activator.evaluate(Micros(3_600 * SECOND), &contents) else {
        panic!("not settling")
    };
    assert!(again < Micros(3_601 * SECOND));
    assert!(matches!(activator.evaluate(again, &contents), Verdict::Activated(_)));
}

#[test]
fn a_saved_set_is_restored_and_a_file_of_any_version_may_replace_it() {
    let (activator, set) = activator_with_twelve_engines();
    let text = activator.serialize_current(Micros(77 * SECOND)).expect("a set");
    let saved = parse("saved", &text, &mut topology()).expect("valid");
    assert_eq!((&saved.set, saved.saved_at), (&set, Some(Micros(77 * SECOND))));
    let mut restored = Activator::new(ActivationPolicy::default(), topology());
    restored.restore(saved.set);
    assert!(matches!(
        evaluate_settled(&mut restored, SECOND, &single_file("version = ")),
        Verdict::Rejected(..)
    ));
    assert_eq!(restored.current(), Some(&set));
    // Engines may have changed their addresses while no process was running.
    let moved = fleet(5, 12).replace(":55", ":65");
    assert!(matches!(
        evaluate_settled(&mut restored, 2 * SECOND, &single_file(&moved)),
        Verdict::Activated(_)
    ));
    let back = fleet(6, 12);
    assert!(
        matches!(evaluate_settled(&mut restored, 3 * SECOND, &single_file(&back)), Verdict::Rejected(..)),
        "the addresses are known now"
    );
    // Serializing is idempotent, and the order of engines in a file has no meaning.
    let shuffled = file(5, &(0..12).rev().map(|n| engine(n, "")).collect::<Vec<_>>());
    let parse_file = |t: &str| parse("x", t, &mut topology()).expect("valid");
    assert!(parse_file(&shuffled).set.difference(&set).is_empty());
    let serialize_again = |r: &EngineFile| serialize(r, &topology());
    assert_eq!(
        serialize_again(&parse_file(&serialize_again(&parse_file(&shuffled)))),
        serialize_again(&parse_file(&fleet(5, 12)))
    );
}

#[test]
fn changes_are_reported_and_new_engines_get_a_start_time() {
    let mut engines = EngineTracker::default();
    let set = |text: &str| parse("x", text, &mut topology()).expect("valid").set;
    let first = engines.apply_file_set(set(&fleet(1, 3)), Micros(SECOND));
    assert!(
        first.is_complete && first.entries.iter().all(|e| e.started_at.is_none()),
        "engines of the first list are taken as warm"
    );
    let change = engines.apply_file_set(set(&fleet(2, 4)), Micros(50 * SECOND));
    assert_eq!(change.entries.len(), 1);
    assert_eq!(
        (change.entries[0].engine, change.entries[0].started_at),
        (engine_id("e3"), Some(Micros(50 * SECOND)))
    );
    // It keeps its start time in later sets. After it is removed and listed again, it gets a new one.
    assert!(engines.apply_file_set(set(&fleet(3, 4)), Micros(60 * SECOND)).entries.is_empty());
    let removed = engines.apply_file_set(set(&fleet(4, 3)), Micros(61 * SECOND));
    assert_eq!((removed.entries.len(), removed.entries[0].status), (1, Status::Removed));
    let back = engines.apply_file_set(set(&fleet(5, 4)), Micros(62 * SECOND));
    assert_eq!((back.entries[0].status, back.entries[0].started_at), (Status::Up, Some(Micros(62 * SECOND))));
}

/// The record of an engine that returns is kept, and the one of the engine that left first is forgotten first.
#[test]
fn records_of_removed_engines_are_bounded() {
    const MAX_UNLISTED: usize = 1_024;
    let mut engines = EngineTracker::default();
    let names = topology().names;
    let list = |version: usize| {
        let entry =
            |n: usize| format!(r#"{{"id":"e{n}","address":"127.0.0.1:{}","status":"up"}}"#, 5_500 + n);
        format!(r#"{{"version":{version},"engines":[{},{}]}}"#, entry(version), entry(version + 1))
    };
    for version in 1..=3 * MAX_UNLISTED {
        engines.apply_registry_list(list(version).as_bytes(), &names).expect("valid");
        assert!(engines.records().len() <= 2 + MAX_UNLISTED, "{}", engines.records().len());
    }
    let last = 3 * MAX_UNLISTED;
    assert_eq!(engines.name(engine_id("e1")), "?");
    assert_eq!(
        engines.name(engine_id(&format!("e{}", last - MAX_UNLISTED))),
        format!("e{}", last - MAX_UNLISTED)
    );
    assert_eq!(engines.name(engine_id(&format!("e{}", last - MAX_UNLISTED - 1))), "?");
}

#[test]
fn a_registry_list_older_than_the_active_one_is_rejected() {
    let mut engines = EngineTracker::default();
    let list = |version: u64, status: &str| {
        format!(
            r#"{{"version":{version},"engines":[{{"id":"e0","address":"127.0.0.1:5500","status":"{status}"}}]}}"#
        )
    };
    let names = topology().names;
    engines.apply_registry_list(list(40, "draining").as_bytes(), &names).expect("valid");
    let fault = engines.apply_registry_list(list(12, "up").as_bytes(), &names).expect_err("old").to_string();
    assert!(fault.contains("version 12") && fault.contains("active version 40"), "{fault}");
    assert!(engines.records().values().all(|k| k.entry.status == Status::Draining));
}

#[test]
fn contradictions_between_a_file_and_a_registry_are_resolved_and_reported() {
    let set = |text: &str| parse("x", text, &mut topology()).expect("valid").set;
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
    assert_eq!(merged.engines.len(), 4, "engines that are not in the file are left out");
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
        .collect::<Unordered>()
        .in_order(&found)
    );
    // A registry list that is hours old is ignored.
    let (merged, found) = merge(&file_set, Some((&registry, Micros(7_200 * SECOND))), Micros(10 * SECOND));
    assert_eq!((merged, found), (file_set, Vec::new()));
}

/// Contradictions to compare in any order: they are reported in the order of engine ids, which are hashes of the names.
struct Unordered(Vec<Contradiction>);

impl FromIterator<Contradiction> for Unordered {
    fn from_iter<I: IntoIterator<Item = Contradiction>>(all: I) -> Self {
        Unordered(all.into_iter().collect())
    }
}

impl Unordered {
    /// These contradictions, sorted in the order of `like`.
    fn in_order(self, like: &[Contradiction]) -> Vec<Contradiction> {
        let position = |c: &Contradiction| like.iter().position(|l| l == c).unwrap_or(usize::MAX);
        let mut all = self.0;
        all.sort_by_key(position);
        all
    }
}

proptest::proptest! {
    #[test]
    fn any_text_is_parsed_or_rejected_without_a_panic(text in "(?s).{0,300}") {
        let _ = parse("x", &text, &mut topology());
    }

    #[test]
    fn a_valid_file_with_one_byte_changed_is_parsed_completely_or_rejected(at in 0usize..1_200, byte in proptest::prelude::any::<u8>()) {
        let mut bytes = fleet(6, 8).into_bytes();
        let at = at % bytes.len();
        bytes[at] = byte;
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Ok(found) = parse("x", &text, &mut topology()) {
            proptest::prop_assert_eq!(found.set.engines.len(), 8);
        }
    }
}
