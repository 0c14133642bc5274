//! Tests with valid and invalid configurations. For each invalid one, the expected error is checked.

use wheelfield::interface::{ExecutionSemantics, Micros};
use wheelfield_config::{parse, units, ConfigError};

const VALID: &str = r#"
listen = "127.0.0.1:0"
[fleet]
zones = ["a", "b"]
when_short = "page"
[[fleet.kinds]]
name = "std"
cores = 8
memory = "16GB"
[[classes]]
name = "fast"
aim = "1.5s"
deadline = "7500ms"
effect = "repeatable"
[[classes]]
name = "load"
aim = "4s"
deadline = "20s"
effect = "once"
threads = 2
zones = ["b"]
[rules]
cold_from = 0.35
cold_for = "13s"
fall_multiple = 2.5
fall_span = "1.5s"
budget = { free = 2, share = 0.1, span = "5s" }
[route]
default_class = "fast"
[[route.select]]
application = "etl"
pattern = "(?i)insert"
class = "load"
[[engines]]
id = "e1"
address = "127.0.0.1:5001"
zone = "a"
kind = "std"
"#;

#[test]
fn a_valid_file_is_parsed_completely() {
    let config = parse("valid.toml", VALID).expect("valid configuration");
    let settings = &config.settings;
    assert_eq!(
        settings.classes.len(),
        3,
        "two classes of the file, and the class of describe requests"
    );
    assert_eq!(
        (
            settings.classes[1].semantics,
            settings.classes[1].zones.as_slice()
        ),
        (ExecutionSemantics::AtMostOnce, &[1][..])
    );
    assert_eq!(settings.classes[0].latency_objective, Micros(1_500_000));
    assert_eq!(settings.memory_mb, [16_384.0]);
    assert!(settings.pages_on_memory_shortage && !settings.queues_on_memory_shortage);
    assert_eq!(
        settings.retry_budget.map(|budget| budget.window),
        Some(Micros(5_000_000))
    );
    assert_eq!(config.route.selectors.len(), 1);
    assert_eq!(config.engines[0].kind, 0);
}

/// Replaces the first occurrence of `from` in the valid file by `to`, and returns the resulting error.
fn error_after_replacing(from: &str, to: &str) -> ConfigError {
    assert!(
        VALID.contains(from),
        "the valid file does not contain {from}"
    );
    let error = parse("x.toml", &VALID.replacen(from, to, 1)).expect_err(to);
    assert_eq!(error.file, "x.toml");
    error
}

#[test]
#[expect(clippy::too_many_lines, reason = "a table of cases")]
fn errors_contain_line_problem_and_suggestion() {
    for (from, to, line, problem, suggestion) in [
        (
            "aim = \"1.5s\"",
            "aim = 1500",
            12,
            "has no unit",
            "\"250ms\"",
        ),
        (
            "aim = \"1.5s\"",
            "aim = \"1.5sec\"",
            12,
            "`sec` is not a unit",
            "\"250ms\"",
        ),
        (
            "aim = \"1.5s\"",
            "aim = \"9s\"",
            12,
            "is longer than its `deadline`",
            "at most `deadline`",
        ),
        (
            "aim = \"1.5s\"",
            "aims = \"1s\"",
            12,
            "unknown field `aims`",
            "did you mean `aim`?",
        ),
        (
            "aim = \"1.5s\"\n",
            "",
            10,
            "missing field `aim`",
            "add `aim`",
        ),
        (
            "memory = \"16GB\"",
            "memory = \"16\"",
            9,
            "has no unit",
            "64MB",
        ),
        ("cores = 8", "cores = 8000", 8, "cores is 8000", "1 to 1024"),
        (
            "name = \"load\"",
            "name = \"fast\"",
            16,
            "is defined twice",
            "rename",
        ),
        (
            "effect = \"once\"",
            "effect = \"never\"",
            19,
            "unknown variant `never`",
            "known names",
        ),
        (
            "effect = \"once\"",
            "effect = \"by_key\"",
            15,
            "no `window` in which repeats are dropped",
            "add `window`",
        ),
        (
            "threads = 2",
            "window = \"5s\"",
            20,
            "by_key",
            "remove `window`",
        ),
        (
            "zones = [\"b\"]",
            "zones = [\"c\"]",
            21,
            "no zone is named `c`",
            "known: a, b",
        ),
        (
            "fall_span = \"1.5s\"",
            "",
            22,
            "has no effect without",
            "add `cold_for`",
        ),
        (
            "default_class = \"fast\"",
            "default_class = \"quick\"",
            29,
            "no class is named `quick`",
            "fast",
        ),
        (
            "pattern = \"(?i)insert\"",
            "pattern = \"(\"",
            32,
            "is not a valid regular expression",
            "regular expression",
        ),
        (
            "address = \"127.0.0.1:5001\"",
            "address = \"10.0.0.1:5\"",
            36,
            "not a loopback",
            "127.0.0.0/8",
        ),
        (
            "address = \"127.0.0.1:5001\"",
            "address = \"here\"",
            36,
            "is not an address and port",
            "port",
        ),
        (
            "listen = \"127.0.0.1:0\"",
            "listen = \"127.0.0.1:0",
            2,
            "",
            "correct the TOML",
        ),
    ] {
        let error = error_after_replacing(from, to);
        assert_eq!(error.line, line, "{to}: {error:?}");
        assert!(error.problem.contains(problem), "{to}: {error:?}");
        assert!(error.suggestion.contains(suggestion), "{to}: {error:?}");
    }
}

#[test]
fn contradictory_keys_are_rejected() {
    let error_after_appending =
        |text: &str| parse("x.toml", &format!("{VALID}{text}")).expect_err(text);
    assert!(
        error_after_appending("[registry]\naddress = \"127.0.0.1:1\"\n")
            .problem
            .contains("both in this file and in a registry")
    );
    assert!(error_after_appending("[means]\nmessages = true\n")
        .suggestion
        .contains("[peers]"));
    assert!(error_after_appending("[signals]\nreports = \"probe\"\n")
        .problem
        .contains("probes are not allowed"));
    assert!(
        error_after_appending("[controller]\nindex = 2\ncount = 2\n")
            .problem
            .contains("`index` is 2")
    );
    assert!(error_after_appending(
        "[[engines]]\nid = \"e1\"\naddress = \"127.0.0.1:9\"\nkind = \"std\"\n"
    )
    .problem
    .contains("is defined twice"));
    assert!(error_after_appending(
        "[[engines]]\nid = \"e2\"\naddress = \"127.0.0.1:5001\"\nkind = \"std\"\n"
    )
    .problem
    .contains("two engines listen"));
    assert!(error_after_appending("[timing]\nanswer_margin = \"8s\"\n")
        .problem
        .contains("answer_margin"));
    assert!(error_after_appending("[limits]\nsessions = 0\n")
        .suggestion
        .contains("from 1"));
}

#[test]
fn units_are_parsed_and_formatted() {
    assert_eq!(
        units::parse_time("1.5s").map(|t| t.0),
        Ok(Micros(1_500_000))
    );
    assert_eq!(units::parse_time("100us").map(|t| t.0), Ok(Micros(100)));
    assert_eq!(units::parse_size("2KB").map(|s| s.0), Ok(2048));
    assert!(
        units::parse_time("-1s").is_err()
            && units::parse_time("s").is_err()
            && units::parse_size("x").is_err()
    );
    for text in ["250ms", "3s", "2m", "7us"] {
        assert_eq!(
            units::parse_time(text).map(|t| units::format_time(t.0)),
            Ok(text.to_string())
        );
    }
}

proptest::proptest! {
    /// Inserts random text into the valid file. The parser must not panic, and each error must have a suggestion.
    #[test]
    fn corrupted_text_is_accepted_or_rejected_with_a_suggestion(offset in 0usize..700, insertion in "[\\[\\]=\"a-z0-9\n{}é]{0,12}") {
        let mut text = VALID.to_string();
        let offset = offset.min(text.len());
        text.insert_str(offset, &insertion);
        if let Err(error) = parse("x.toml", &text) {
            proptest::prop_assert!(error.line >= 1 && !error.suggestion.is_empty());
        }
    }
}

#[test]
fn capture_modes_are_on_off_and_ring() {
    let parse_with_capture = |text: &str| {
        parse(
            "x.toml",
            &format!("{VALID}[capture]\nfile = \"c.wfcap\"\n{text}"),
        )
    };
    let capture = |text: &str| parse_with_capture(text).expect(text).capture;
    assert!(capture("").is_some_and(|capture| capture.ring.is_none()));
    assert!(capture("mode = \"off\"").is_none());
    let ring_keys =
        "mode = \"ring\"\nmemory = \"8MB\"\n[capture.triggers]\nrefusals = 0.5\nstall = \"2s\"";
    let ring = capture(ring_keys)
        .and_then(|capture| capture.ring)
        .expect("ring settings");
    assert_eq!(
        (ring.max_bytes, ring.rejected_fraction, ring.stall_threshold),
        (8 << 20, 0.5, Micros(2_000_000))
    );
    assert_eq!(
        (ring.span, ring.on_engine_ejected),
        (Micros(600_000_000), true)
    );
    for (text, problem) in [
        ("mode = \"rings\"", "unknown variant `rings`"),
        ("memory = \"8KB\"", "under 1MB"),
        ("[capture.triggers]\nrefusals = 30", "30 is not a fraction"),
        ("[capture.triggers]\nstall = \"0s\"", "is not above zero"),
        (
            "[capture.triggers]\nstalls = \"1s\"",
            "unknown field `stalls`",
        ),
    ] {
        let error = parse_with_capture(text).expect_err(text);
        assert!(error.problem.contains(problem), "{text}: {error:?}");
        assert!(error.line >= 39, "{text}: {error:?}");
    }
}

#[test]
fn an_advertised_address_must_be_valid_and_have_a_port() {
    let parse_with_advertised = |advertise: &str| {
        let gossip = format!(
            "[gossip]\nlisten = \"127.0.0.1:0\"\nadvertise = \"{advertise}\"\nkeys = \"keys\"\n"
        );
        parse("test.toml", &format!("{VALID}\n{gossip}"))
    };
    let gossip = parse_with_advertised("127.0.0.1:7946")
        .expect("valid configuration")
        .gossip
        .expect("gossip settings");
    assert_eq!(
        gossip.advertised_address.map(|address| address.port()),
        Some(7946)
    );
    for address in ["127.0.0.1:0", "nowhere"] {
        let error = parse_with_advertised(address)
            .expect_err(address)
            .to_string();
        let line = VALID.lines().count() + 4;
        assert!(
            error.contains(&format!("test.toml:{line}")),
            "{address}: {error}"
        );
    }
}

/// The default of `hold` was not checked against a long `period`.
#[test]
fn a_period_that_is_too_long_for_the_default_hold_is_an_error() {
    let parse_with = |times: &str| {
        let gossip = format!("[gossip]\nlisten = \"127.0.0.1:0\"\nkeys = \"keys\"\n{times}\n");
        parse("test.toml", &format!("{VALID}\n{gossip}"))
    };
    assert!(parse_with("period = \"5s\"").is_ok());
    let error = parse_with("period = \"400s\"").expect_err("half of the default is 300s");
    assert!(error.to_string().contains("evicted before"), "{error}");
    assert!(parse_with("period = \"400s\"\nhold = \"1000s\"").is_ok());
    assert!(parse_with("period = \"400s\"\nhold = \"700s\"").is_err());
}
