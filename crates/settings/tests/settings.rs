//! Parsing of the operators' settings: each key sets its field.

use serde_json::json;
use wheelfield::interface::*;
use wheelfield_settings::{parse_settings, SettingsError};

fn complete_settings() -> serde_json::Value {
    json!({
        "balancers": 4, "me": 2, "my_zone": "b", "zones": ["a", "b"], "skus": ["small", "large"],
        "registry_mode": "subscribe",
        "tenants": [{"name": "t1", "allowance_per_s": 2.5}, {"name": "t2"}],
        "grades": [
            {
                "name": "read", "effect": "repeatable", "on_time_us": 1_000_000, "aim_stretch": 1.5,
                "give_up_us": 5_000_000, "gain": 2.0, "late_value": 0.25, "dedup_scope": "zone",
                "window_us": 7, "in_order": true, "zones_open": ["b", "elsewhere"], "bound_to": ["unknown"]
            },
            {"name": "write", "effect": "by_key", "dedup_scope": "cell"},
            {"name": "load", "effect": "once"}
        ],
        "family_info": {
            "cpu_of_kind": [8, 16.5], "memory_by_kind_mb": [1024, 2048], "max_grant_share": 0.5,
            "when_short": "page", "grants": true, "lanes_count": true, "bills": true, "tells_every_us": 250_000,
            "parallelism": [2, 4], "writes_tables": [false, true], "yields_to_loads": [true]
        },
        "ceilings": {
            "cancel": true, "probes": true, "peer_messages": true, "second_copies": true, "send_cap": 3,
            "retry_after": true, "max_retry_after_us": 9_000_000, "conn_idle_us": 60_000_000
        },
        "charges": {"probe": 0.125, "peer": 0.5, "cross_zone": 0.0625, "handshake": 0.03},
        "telemetry": {"how": "probe", "columns": ["inflight", "cpu_share"]},
        "safety": {
            "cold_from": 0.2, "ramp_time_us": 30_000_000, "tip_multiple": 3, "fall_us": 4_000_000.0,
            "order_pause_us": 11, "extra_free": 10, "resend_ratio": 0.1, "budget_span_us": 1_000_000
        }
    })
}

fn expected_classes() -> Vec<Class> {
    let read = Class {
        latency_objective: Micros(1_000_000),
        latency_objective_stretch: 1.5,
        deadline: Micros(5_000_000),
        value: 2.0,
        late_value_fraction: 0.25,
        semantics: ExecutionSemantics::Idempotent,
        deduplication_scope: DeduplicationScope::Zone,
        deduplication_window: Micros(7),
        ordered_by_key: true,
        kinds: vec![],
        zones: vec![1],
        no_engine_permitted: true,
        threads: 2.0,
        is_load: false,
        waits_for_loads: true,
    };
    let write = Class {
        semantics: ExecutionSemantics::IdempotencyKey,
        deduplication_scope: DeduplicationScope::Cell,
        threads: 4.0,
        is_load: true,
        ..Class::default()
    };
    let load = Class {
        semantics: ExecutionSemantics::AtMostOnce,
        deduplication_scope: DeduplicationScope::All,
        threads: 1.0,
        ..Class::default()
    };
    vec![read, write, load]
}

#[test]
fn every_key_is_read_into_its_field() {
    let (names, settings) = parse_settings(&complete_settings()).expect("settings");
    let expected = Settings {
        gateway_count: 4.0,
        gateway_index: 2.0,
        zone: Some(1),
        classes: expected_classes(),
        tenant_rates: vec![2.5, 0.0],
        cores: vec![8.0, 16.5],
        memory_mb: vec![1024.0, 2048.0],
        max_grant_fraction: 0.5,
        queues_on_memory_shortage: false,
        pages_on_memory_shortage: true,
        memory_grants: true,
        priorities: true,
        reports_work: true,
        progress_interval: Micros(250_000),
        cancellation: true,
        peer_messages: true,
        probe_price: 0.125,
        message_price: 2.0,
        probes: true,
        load_reports: true,
        reports_utilisation: true,
        reports_by_probe: true,
        subscribe: true,
        hedged_requests: true,
        max_attempts: 3,
        max_retry_after: Micros(9_000_000),
        cross_zone_price: 0.0625,
        slow_start_initial_fraction: 0.2,
        slow_start_duration: Micros(30_000_000),
        overload_multiple: 3.0,
        overload_window: Micros(4_000_000),
        key_cooldown: Micros(11),
        retry_budget: Some(RetryBudget {
            guaranteed: 10.0,
            fraction: 0.1,
            window: Micros(1_000_000),
        }),
        handshake_price: 0.03,
        connection_idle_timeout: Micros(60_000_000),
    };
    assert_eq!(settings, expected);
    assert_eq!(
        (names.classes, names.tenants),
        (strings(&["read", "write", "load"]), strings(&["t1", "t2"]))
    );
    assert_eq!(
        (names.zones, names.kinds),
        (strings(&["a", "b"]), strings(&["small", "large"]))
    );
    assert!(names.engines.is_empty());
}

#[test]
fn missing_keys_leave_optional_features_off() {
    let (_, settings) = parse_settings(&json!({})).expect("settings");
    assert_eq!(
        settings,
        Settings {
            load_reports: true,
            ..Settings::default()
        }
    );
}

#[test]
fn retry_after_advice_is_only_used_if_it_is_allowed() {
    let ceilings = json!({"ceilings": {"retry_after": false, "max_retry_after_us": 9}});
    let (_, settings) = parse_settings(&ceilings).expect("settings");
    assert_eq!(settings.max_retry_after, Micros(0));
}

#[test]
fn an_unknown_effect_is_reported_with_its_class() {
    let settings =
        json!({"grades": [{"name": "a", "effect": "once"}, {"name": "b", "effect": "perhaps"}]});
    let error = parse_settings(&settings).expect_err("an unknown effect");
    assert_eq!(
        error,
        SettingsError::UnknownEffect {
            class: 1,
            effect: Some("perhaps".into())
        }
    );
    assert_eq!(
        error.to_string(),
        "unknown effect Some(\"perhaps\") of class 1"
    );
}

fn strings(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| name.to_string()).collect()
}
