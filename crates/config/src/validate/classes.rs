//! `[[classes]]`: the query classes.

use super::source::{seconds, ConfigResult, Source};
use crate::model::Names;
use crate::schema;
use toml::Spanned;
use wheelfield::interface::{Class, DeduplicationScope, ExecutionSemantics, Micros};

/// Adds the names of the classes to `names`, and returns the classes in the order of the file.
pub(super) fn validate(
    source: &Source<'_>,
    spanned: &Spanned<Vec<Spanned<schema::Class>>>,
    names: &mut Names,
) -> ConfigResult<Vec<Class>> {
    let mut classes = Vec::new();
    for class in spanned.get_ref() {
        source.add_unique_name(&mut names.classes, &class.get_ref().name, "class")?;
        classes.push(validate_class(source, class, names)?);
    }
    if classes.is_empty() {
        return Err(source.error(spanned, "no query class is defined", "add [[classes]]"));
    }
    Ok(classes)
}

/// Returns the class of describe requests. It has the shortest latency objective of all classes, and the deadline of
/// the default class (or its objective, if that is longer).
pub(super) fn describe_class(classes: &[Class], default_class: usize) -> Class {
    let shortest = classes
        .iter()
        .map(|class| class.latency_objective)
        .min()
        .unwrap_or(seconds(1));
    Class {
        latency_objective: shortest,
        deadline: classes[default_class].deadline.max(shortest),
        late_value_fraction: 1.0,
        threads: 1.0,
        ..Class::default()
    }
}

fn validate_class(
    source: &Source<'_>,
    spanned: &Spanned<schema::Class>,
    names: &Names,
) -> ConfigResult<Class> {
    let class = spanned.get_ref();
    let latency_objective = source.positive_time(&class.latency_objective, "aim")?;
    let deadline = source.positive_time(&class.deadline, "deadline")?;
    if latency_objective > deadline {
        let problem = format!(
            "`aim` of class `{}` is longer than its `deadline`",
            class.name.get_ref()
        );
        return Err(source.error(
            &class.latency_objective,
            problem,
            "make `aim` at most `deadline`",
        ));
    }
    check_deduplication(source, spanned)?;
    Ok(Class {
        latency_objective,
        latency_objective_stretch: class.latency_objective_stretch.max(0.0),
        deadline,
        value: class.value.unwrap_or(1.0).max(0.0),
        late_value_fraction: class.late_value_fraction.clamp(0.0, 1.0),
        semantics: semantics(class.semantics),
        deduplication_scope: deduplication_scope(class.deduplication_scope.as_ref()),
        deduplication_window: class
            .deduplication_window
            .as_ref()
            .map_or(Micros(0), |window| window.get_ref().0),
        ordered_by_key: class.ordered_by_key,
        kinds: indices_of_names(source, &names.kinds, &class.kinds, "kind")?,
        zones: indices_of_names(source, &names.zones, &class.zones, "zone")?,
        no_engine_permitted: false,
        threads: match &class.threads {
            Some(threads) => source.number_in_range(threads, "threads", 1.0, 1024.0)?,
            None => 1.0,
        },
        is_load: class.is_load,
        waits_for_loads: class.waits_for_loads,
    })
}

/// Checks the deduplication keys: `window` is required with `effect = "by_key"`, and `dedup` and `window` are rejected
/// with other effects.
fn check_deduplication(source: &Source<'_>, spanned: &Spanned<schema::Class>) -> ConfigResult<()> {
    let class = spanned.get_ref();
    let has_idempotency_key = class.semantics == schema::ExecutionSemantics::IdempotencyKey;
    if let Some(scope) = class
        .deduplication_scope
        .as_ref()
        .filter(|_| !has_idempotency_key)
    {
        let suggestion = "remove `dedup`, or write effect = \"by_key\"";
        return Err(source.error(scope, "`dedup` requires effect = \"by_key\"", suggestion));
    }
    if has_idempotency_key && class.deduplication_window.is_none() {
        let name = class.name.get_ref();
        let problem = format!(
            "class `{name}` has effect = \"by_key\", but no `window` in which repeats are dropped"
        );
        return Err(source.error(spanned, problem, "add `window`, such as \"5s\""));
    }
    if let Some(window) = class
        .deduplication_window
        .as_ref()
        .filter(|_| !has_idempotency_key)
    {
        let suggestion = "remove `window`, or write effect = \"by_key\"";
        return Err(source.error(window, "`window` requires effect = \"by_key\"", suggestion));
    }
    Ok(())
}

fn semantics(semantics: schema::ExecutionSemantics) -> ExecutionSemantics {
    match semantics {
        schema::ExecutionSemantics::Idempotent => ExecutionSemantics::Idempotent,
        schema::ExecutionSemantics::IdempotencyKey => ExecutionSemantics::IdempotencyKey,
        schema::ExecutionSemantics::AtMostOnce => ExecutionSemantics::AtMostOnce,
    }
}

fn deduplication_scope(scope: Option<&Spanned<schema::DeduplicationScope>>) -> DeduplicationScope {
    match scope.map(Spanned::get_ref) {
        Some(schema::DeduplicationScope::Zone) => DeduplicationScope::Zone,
        Some(schema::DeduplicationScope::Cell) => DeduplicationScope::Cell,
        Some(schema::DeduplicationScope::All) | None => DeduplicationScope::All,
    }
}

fn indices_of_names(
    source: &Source<'_>,
    names: &[String],
    listed: &[Spanned<String>],
    item: &str,
) -> ConfigResult<Vec<usize>> {
    listed
        .iter()
        .map(|spanned| source.index_of_name(names, spanned, item))
        .collect()
}
