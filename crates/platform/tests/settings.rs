//! Settings of the platform: each key is read or ignored as the table in `docs/platform.md` states.

mod common;
use common::*;
use serde_json::{json, Value};
use wheelfield_platform::BootstrapConfig;

const DOCUMENTATION: &str = include_str!("../../../docs/platform.md");

/// A configuration whose settings contain every documented key.
fn complete_config() -> Value {
    let mut file: Value =
        serde_json::from_str(&config(vec![executor_entry("e1", 1, "ready")], 256)).expect("JSON");
    file["settings"] = json!({
        "balancers": 3, "me": 1, "my_zone": "a", "zones": ["a", "b"], "skus": ["big", "small"], "layers": ["pool"], "tier": 0,
        "grades": [{"name": "look", "on_time_us": 500_000, "give_up_us": 3_000_000, "gain": 1.0, "late_value": 0.25, "aim_stretch": 2.0,
            "effect": "by_key", "dedup_scope": "zone", "window_us": 5_000_000, "in_order": true, "streamed": false,
            "bound_to": ["big"], "zones_open": ["a"]}],
        "tenants": [{"name": "first", "allowance_per_s": 10.0, "portion": 0.5}], "over_share_worth": 0.1,
        "ceilings": {"cancel": true, "conn_idle_us": 30_000_000, "connect_timeout_us": 250_000, "cpu_us_per_request": 0.0,
            "cpu_us_per_s": 730_634, "max_retry_after_us": 2_000_000, "max_streams": 32, "most_held": 1_000, "peer_messages": true,
            "probes": true, "retry_after": true, "second_copies": false, "send_cap": 3},
        "family_info": {"bills": true, "cpu_of_kind": [8, 4], "grants": false, "lanes_count": true, "max_grant_share": 0.4,
            "memory_by_kind_mb": [16384.0, 8192.0], "notes": "words", "parallelism": [2], "report_x0": "words", "report_x1": "words",
            "tells_every_us": 1_000_000, "when_short": "wait", "writes_tables": [true], "yields_to_loads": [false]},
        "telemetry": {"columns": ["cpu_share"], "how": "answers"},
        "safety": {"answer_slack_us": 20_000, "ask_within_us": 10_000_000, "budget_span_us": 5_000_000, "cold_from": 0.35,
            "drain_grace_us": 1_000_000, "extra_free": 2.0, "fall_us": 1_500_000, "order_pause_us": 300_000, "ramp_time_us": 13_000_000,
            "resend_ratio": 0.1, "tip_multiple": 2.5},
        "charges": {"connection": 0.1, "cross_zone": 0.1, "handshake": 0.1, "late_fail": 0.03, "moves": 0.1, "origin": 0.1,
            "peer": 0.01, "probe": 0.1, "registry_mode": 0.1, "waste": 0.05},
        "registry_mode": "automatic", "callers": {"marks_retry": true}, "service_type": "queries", "tick_us": 5_000,
        "scoring_mix": {"whole": 0.5, "worst_class": 0.2, "worst_tenant": 0.0, "worst_window": 0.3},
        "weight_source": "rough", "worth_by": "request",
    });
    file
}

/// The debug representation of a parsed configuration, for comparison.
fn parsed(file: &Value) -> String {
    format!(
        "{:?}",
        BootstrapConfig::parse(&file.to_string()).unwrap_or_else(|error| panic!("{error}"))
    )
}

/// A valid value that differs from `value`.
fn different_value(value: &Value) -> Value {
    match value {
        Value::Bool(b) => json!(!b),
        Value::Number(n) if n.is_f64() => json!(n.as_f64().expect("a number") * 0.5 + 0.0625),
        Value::Number(n) => json!(n.as_i64().expect("a number") + 1),
        Value::Array(all) => match &all[0] {
            Value::String(name) if name == "big" && all.len() == 1 => json!(["small"]),
            Value::String(name) if name == "a" && all.len() == 1 => json!(["b"]),
            Value::String(name) if name == "cpu_share" => json!(["pending"]),
            Value::String(_) => Value::Array(all.iter().cloned().chain([json!("more")]).collect()),
            first => Value::Array(
                [different_value(first)]
                    .into_iter()
                    .chain(all[1..].iter().cloned())
                    .collect(),
            ),
        },
        Value::String(word) => json!(match word.as_str() {
            "by_key" => "once",
            "zone" => "cell",
            "answers" => "probe",
            "wait" => "page",
            "automatic" => "subscribe",
            "a" => "b",
            _ => "another",
        }),
        other => panic!("not a settings value: {other}"),
    }
}

fn find_key<'a>(file: &'a mut Value, key: &str) -> &'a mut Value {
    key.split('.').fold(&mut file["settings"], |entry, part| {
        match part.strip_suffix("[]") {
            Some(list) => &mut entry[list][0],
            None => &mut entry[part],
        }
    })
}

#[test]
fn each_settings_key_is_read_or_ignored_as_documented() {
    let original = parsed(&complete_config());
    let mut keys = 0;
    for row in DOCUMENTATION.lines().filter(|l| {
        l.starts_with("| `") && (l.contains("` | read |") || l.contains("` | unused |"))
    }) {
        let key = row.split('`').nth(1).expect("a key");
        let mut file = complete_config();
        let entry = find_key(&mut file, key);
        assert!(
            !entry.is_null(),
            "{key} is documented but not in the configuration"
        );
        *entry = different_value(entry);
        assert_eq!(parsed(&file) != original, row.contains("| read |"), "{row}");
        keys += 1;
    }
    // The table documents every key of the configuration.
    fn leaves(value: &Value) -> usize {
        match value {
            Value::Object(all) => all.values().map(leaves).sum(),
            Value::Array(all) if all.iter().all(Value::is_object) => all.iter().map(leaves).sum(),
            _ => 1,
        }
    }
    assert_eq!(keys, leaves(&complete_config()["settings"]));
}

#[test]
fn optional_keys_may_be_missing_and_unknown_keys_are_ignored() {
    let mut file = complete_config();
    let settings = &mut file["settings"];
    for key in ["tenants", "callers", "over_share_worth", "scoring_mix"] {
        settings.as_object_mut().expect("an object").remove(key);
    }
    for key in ["aim_stretch", "in_order", "bound_to", "zones_open"] {
        settings["grades"][0]
            .as_object_mut()
            .expect("an object")
            .remove(key);
    }
    for key in [
        "extra_free",
        "resend_ratio",
        "budget_span_us",
        "order_pause_us",
    ] {
        settings["safety"]
            .as_object_mut()
            .expect("an object")
            .remove(key);
    }
    settings["ceilings"]["max_streams"] = json!(32.0);
    settings["more"] = json!({"of": ["any", 1]});
    settings["grades"][0]["more"] = json!(1);
    let config = BootstrapConfig::parse(&file.to_string()).expect("valid");
    let class = &config.settings.classes[0];
    assert!(
        !class.ordered_by_key
            && !class.no_engine_permitted
            && class.kinds.is_empty()
            && class.zones.is_empty()
    );
    assert!(config.settings.retry_budget.is_none() && config.protocol_limits.max_streams == 32);
}

#[test]
fn an_error_names_the_invalid_key() {
    for (key, value, expected_key) in [
        ("grades[].effect", json!("perhaps"), "effect"),
        ("grades[].name", json!(""), "grades"),
        ("grades", json!([]), "grades"),
        (
            "ceilings.conn_idle_us",
            Value::Null,
            "ceilings.conn_idle_us",
        ),
        (
            "ceilings.connect_timeout_us",
            json!("soon"),
            "ceilings.connect_timeout_us",
        ),
        ("ceilings.max_streams", json!(-1), "ceilings.max_streams"),
        ("ceilings.most_held", json!(0.5), "ceilings.most_held"),
    ] {
        let mut file = complete_config();
        *find_key(&mut file, key) = value;
        let message = BootstrapConfig::parse(&file.to_string())
            .expect_err("an invalid configuration")
            .to_string();
        assert!(
            message.contains(expected_key) && message.lines().count() == 1,
            "{key}: {message}"
        );
    }
}
