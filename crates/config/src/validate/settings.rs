//! The settings of the decision core, from `[means]`, `[signals]`, `[prices]`, `[rules]`, `[fleet]` and the validated
//! parts of other sections.

use super::controller::ControllerIdentity;
use super::fleet::MachineKinds;
use super::source::{ConfigResult, Source};
use crate::schema::{File, LoadReports, MemoryShortage, Rules};
use toml::Spanned;
use wheelfield::interface::{Class, Micros, RetryBudget, Settings};

/// Builds the settings and checks that they are consistent.
pub(super) fn validate(
    source: &Source<'_>,
    file: &File,
    identity: ControllerIdentity,
    classes: Vec<Class>,
    machine_kinds: MachineKinds,
) -> ConfigResult<Settings> {
    let retry_budget = retry_budget(source, file)?;
    let fleet = file.fleet.get_ref();
    let max_grant_fraction = fleet.max_grant_fraction.as_ref();
    let max_grant_fraction = max_grant_fraction.map_or(Ok(1.0), |spanned| {
        source.number_in_range(spanned, "most_grant", 0.01, 1.0)
    })?;
    let recovery = recovery_settings(source, file)?;
    let (mechanisms, signals, prices) = (&file.mechanisms, &file.signals, &file.prices);
    let settings = Settings {
        gateway_count: f64::from(identity.count),
        gateway_index: f64::from(identity.index),
        zone: identity.zone,
        classes,
        tenant_rates: file
            .tenants
            .iter()
            .map(|tenant| tenant.get_ref().rate.max(0.0))
            .collect(),
        cores: machine_kinds.cores,
        memory_mb: machine_kinds.memory_mb,
        max_grant_fraction,
        queues_on_memory_shortage: fleet.on_memory_shortage == Some(MemoryShortage::Queue),
        pages_on_memory_shortage: fleet.on_memory_shortage == Some(MemoryShortage::Page),
        memory_grants: mechanisms.memory_grants,
        priorities: mechanisms.priorities,
        reports_work: signals.reports_work,
        progress_interval: signals.progress_interval.unwrap_or_default().0,
        cancellation: mechanisms.cancellation,
        peer_messages: mechanisms.peer_messages,
        probe_price: prices.probe.max(0.0),
        message_price: prices.message.max(0.0),
        probes: mechanisms.probes,
        load_reports: signals.load_reports != LoadReports::None,
        reports_utilisation: signals
            .reports_utilisation
            .unwrap_or(signals.load_reports != LoadReports::None),
        reports_by_probe: signals.load_reports == LoadReports::Probe,
        subscribe: mechanisms.subscribe,
        hedged_requests: mechanisms.hedged_requests,
        max_attempts: mechanisms.max_attempts as usize,
        max_retry_after: mechanisms.max_retry_after.0,
        cross_zone_price: prices.cross_zone.max(0.0),
        handshake_price: 0.0,
        connection_idle_timeout: Micros(0),
        slow_start_initial_fraction: recovery.slow_start_initial_fraction,
        slow_start_duration: recovery.slow_start_duration,
        overload_multiple: recovery.overload_multiple,
        overload_window: recovery.overload_window,
        key_cooldown: recovery.key_cooldown,
        retry_budget,
    };
    check_consistency(source, file, &settings)?;
    Ok(settings)
}

fn retry_budget(source: &Source<'_>, file: &File) -> ConfigResult<Option<RetryBudget>> {
    let Some(budget) = file
        .rules
        .as_ref()
        .and_then(|rules| rules.get_ref().retry_budget.as_ref())
    else {
        return Ok(None);
    };
    Ok(Some(RetryBudget {
        guaranteed: budget.guaranteed.max(0.0),
        fraction: budget.fraction.max(0.0),
        window: source.positive_time(&budget.window, "span")?,
    }))
}

/// The settings from `[rules]` for engines that start or are overloaded, and for ordered keys.
struct RecoverySettings {
    slow_start_initial_fraction: f64,
    slow_start_duration: Micros,
    overload_multiple: f64,
    overload_window: Micros,
    key_cooldown: Micros,
}

fn recovery_settings(source: &Source<'_>, file: &File) -> ConfigResult<RecoverySettings> {
    let mut recovery = RecoverySettings {
        slow_start_initial_fraction: 0.3,
        slow_start_duration: Micros(0),
        overload_multiple: 0.0,
        overload_window: Micros(0),
        key_cooldown: Micros(0),
    };
    let Some(rules) = file.rules.as_ref().map(Spanned::get_ref) else {
        return Ok(recovery);
    };
    if let Some(spanned) = &rules.slow_start_initial_fraction {
        recovery.slow_start_initial_fraction =
            source.number_in_range(spanned, "cold_from", 0.0, 1.0)?;
    }
    if let Some(spanned) = &rules.overload_multiple {
        recovery.overload_multiple =
            source.number_in_range(spanned, "fall_multiple", 0.0, 100.0)?;
    }
    recovery.slow_start_duration = rules.slow_start_duration.unwrap_or_default().0;
    recovery.overload_window = rules.overload_window.unwrap_or_default().0;
    recovery.key_cooldown = rules.key_cooldown.unwrap_or_default().0;
    Ok(recovery)
}

fn check_consistency(source: &Source<'_>, file: &File, settings: &Settings) -> ConfigResult<()> {
    if let Some(rules) = &file.rules {
        check_overload_rules(source, rules, settings)?;
    }
    let is_ordered = settings.classes.iter().any(|class| class.ordered_by_key);
    if is_ordered && settings.key_cooldown.0 == 0 {
        let problem = "a class has `in_order`, but `order_pause` is not set";
        let suggestion = "add `order_pause` under [rules], such as \"2s\"";
        return Err(source.error(&file.classes, problem, suggestion));
    }
    if settings.reports_by_probe && !settings.probes {
        let problem = "load reports arrive by probe only, but probes are not allowed";
        let suggestion = "write probes = true under [means], or reports = \"none\" under [signals]";
        return Err(source.error(&file.fleet, problem, suggestion));
    }
    Ok(())
}

fn check_overload_rules(
    source: &Source<'_>,
    rules: &Spanned<Rules>,
    settings: &Settings,
) -> ConfigResult<()> {
    let is_incomplete = settings.slow_start_duration.0 == 0 || settings.overload_window.0 == 0;
    if settings.overload_multiple > 0.0 && is_incomplete {
        let problem = "`fall_multiple` has no effect without `cold_for` and `fall_span`";
        let suggestion = "add `cold_for` and `fall_span`, or remove `fall_multiple`";
        return Err(source.error(rules, problem, suggestion));
    }
    Ok(())
}
