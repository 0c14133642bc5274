//! The settings of the decision core, collected from `[means]`, `[signals]`, `[prices]`, `[rules]` and `[fleet]`.

use super::controller::Position;
use super::fleet::Machines;
use super::source::{Checked, Source};
use crate::schema::{File, Reports, Rules, WhenShort};
use toml::Spanned;
use wheelfield::interface::{Class, Micros, RetryBudget, Settings};

/// Builds the settings, and checks that they are consistent.
pub(super) fn validate(
    source: &Source<'_>,
    file: &File,
    position: Position,
    classes: Vec<Class>,
    machines: Machines,
) -> Checked<Settings> {
    let retry_budget = retry_budget(source, file)?;
    let fleet = file.fleet.get_ref();
    let max_grant_fraction = fleet.most_grant.as_ref();
    let max_grant_fraction = max_grant_fraction.map_or(Ok(1.0), |at| {
        source.number_in_range(at, "most_grant", 0.01, 1.0)
    })?;
    let recovery = recovery(source, file)?;
    let (means, signals, prices) = (&file.means, &file.signals, &file.prices);
    let settings = Settings {
        gateway_count: f64::from(position.count),
        gateway_index: f64::from(position.index),
        zone: position.zone,
        classes,
        tenant_rates: file
            .tenants
            .iter()
            .map(|tenant| tenant.get_ref().allowance.max(0.0))
            .collect(),
        cores: machines.cores,
        memory_mb: machines.memory_mb,
        max_grant_fraction,
        queues_on_memory_shortage: fleet.when_short == Some(WhenShort::Wait),
        pages_on_memory_shortage: fleet.when_short == Some(WhenShort::Page),
        memory_grants: means.grants,
        priorities: means.priorities,
        reports_work: signals.bills,
        progress_interval: signals.notes_every.unwrap_or_default().0,
        cancellation: means.cancel,
        peer_messages: means.messages,
        probe_price: prices.probe.max(0.0),
        message_price: prices.message.max(0.0),
        probes: means.probes,
        load_reports: signals.reports != Reports::None,
        reports_utilisation: signals
            .utilisation
            .unwrap_or(signals.reports != Reports::None),
        reports_by_probe: signals.reports == Reports::Probe,
        subscribe: means.subscribe,
        hedged_requests: means.second_copies,
        max_attempts: means.max_attempts as usize,
        max_retry_after: means.max_retry_after.0,
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

fn retry_budget(source: &Source<'_>, file: &File) -> Checked<Option<RetryBudget>> {
    let Some(budget) = file
        .rules
        .as_ref()
        .and_then(|rules| rules.get_ref().budget.as_ref())
    else {
        return Ok(None);
    };
    Ok(Some(RetryBudget {
        guaranteed: budget.free.max(0.0),
        fraction: budget.share.max(0.0),
        window: source.positive_time(&budget.span, "span")?,
    }))
}

/// The settings under `[rules]` for engines that start or are overloaded, and for ordered keys.
struct Recovery {
    slow_start_initial_fraction: f64,
    slow_start_duration: Micros,
    overload_multiple: f64,
    overload_window: Micros,
    key_cooldown: Micros,
}

fn recovery(source: &Source<'_>, file: &File) -> Checked<Recovery> {
    let mut recovery = Recovery {
        slow_start_initial_fraction: 0.3,
        slow_start_duration: Micros(0),
        overload_multiple: 0.0,
        overload_window: Micros(0),
        key_cooldown: Micros(0),
    };
    let Some(rules) = file.rules.as_ref().map(Spanned::get_ref) else {
        return Ok(recovery);
    };
    if let Some(at) = &rules.cold_from {
        recovery.slow_start_initial_fraction = source.number_in_range(at, "cold_from", 0.0, 1.0)?;
    }
    if let Some(at) = &rules.fall_multiple {
        recovery.overload_multiple = source.number_in_range(at, "fall_multiple", 0.0, 100.0)?;
    }
    recovery.slow_start_duration = rules.cold_for.unwrap_or_default().0;
    recovery.overload_window = rules.fall_span.unwrap_or_default().0;
    recovery.key_cooldown = rules.order_pause.unwrap_or_default().0;
    Ok(recovery)
}

fn check_consistency(source: &Source<'_>, file: &File, settings: &Settings) -> Checked<()> {
    if let Some(rules) = &file.rules {
        check_overload_rules(source, rules, settings)?;
    }
    let is_ordered = settings.classes.iter().any(|class| class.ordered_by_key);
    if is_ordered && settings.key_cooldown.0 == 0 {
        let problem = "a class keeps order, but how long a key rests is not said";
        let suggestion = "add `order_pause` under [rules], such as \"2s\"";
        return Err(source.error(&file.classes, problem, suggestion));
    }
    if settings.reports_by_probe && !settings.probes {
        let problem = "reports come by probe alone, but probes are not allowed";
        let suggestion = "write probes = true under [means], or reports = \"none\" under [signals]";
        return Err(source.error(&file.fleet, problem, suggestion));
    }
    Ok(())
}

fn check_overload_rules(
    source: &Source<'_>,
    rules: &Spanned<Rules>,
    settings: &Settings,
) -> Checked<()> {
    let is_incomplete = settings.slow_start_duration.0 == 0 || settings.overload_window.0 == 0;
    if settings.overload_multiple > 0.0 && is_incomplete {
        let problem = "`fall_multiple` without `cold_for` and `fall_span` guards nothing";
        let suggestion = "add `cold_for` and `fall_span`, or remove `fall_multiple`";
        return Err(source.error(rules, problem, suggestion));
    }
    Ok(())
}
