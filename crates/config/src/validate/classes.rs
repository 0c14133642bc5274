//! `[[classes]]`: the classes of queries.

use super::source::{seconds, Checked, Source};
use crate::model::Names;
use crate::schema::{self, Dedup, Effect};
use toml::Spanned;
use wheelfield::interface::{Class, DeduplicationScope, ExecutionSemantics, Micros};

/// Adds the names of the classes to `names`, and returns the classes in the order of the file.
pub(super) fn validate(
    source: &Source<'_>,
    at: &Spanned<Vec<Spanned<schema::Class>>>,
    names: &mut Names,
) -> Checked<Vec<Class>> {
    let mut classes = Vec::new();
    for class in at.get_ref() {
        source.add_unique_name(&mut names.classes, &class.get_ref().name, "class")?;
        classes.push(validate_class(source, class, names)?);
    }
    if classes.is_empty() {
        return Err(source.error(at, "no class of query is named", "add [[classes]]"));
    }
    Ok(classes)
}

/// The class of descriptions: it has the shortest objective of all, and the default class's deadline.
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
    at: &Spanned<schema::Class>,
    names: &Names,
) -> Checked<Class> {
    let class = at.get_ref();
    let latency_objective = source.positive_time(&class.aim, "aim")?;
    let deadline = source.positive_time(&class.deadline, "deadline")?;
    if latency_objective > deadline {
        let problem = format!(
            "class `{}` is wanted after its clients have given up",
            class.name.get_ref()
        );
        return Err(source.error(&class.aim, problem, "make `aim` at most `deadline`"));
    }
    check_deduplication(source, at)?;
    Ok(Class {
        latency_objective,
        latency_objective_stretch: class.aim_stretch.max(0.0),
        deadline,
        value: class.worth.unwrap_or(1.0).max(0.0),
        late_value_fraction: class.late_worth.clamp(0.0, 1.0),
        semantics: semantics(class.effect),
        deduplication_scope: deduplication_scope(class.dedup.as_ref()),
        deduplication_window: class
            .window
            .as_ref()
            .map_or(Micros(0), |window| window.get_ref().0),
        ordered_by_key: class.in_order,
        kinds: indexes_of_names(source, &names.kinds, &class.kinds, "kind")?,
        zones: indexes_of_names(source, &names.zones, &class.zones, "zone")?,
        no_engine_permitted: false,
        threads: match &class.threads {
            Some(threads) => source.number_in_range(threads, "threads", 1.0, 1024.0)?,
            None => 1.0,
        },
        is_load: class.load,
        waits_for_loads: class.waits_for_loads,
    })
}

/// `window` is required with an idempotency key; `dedup` and `window` are rejected without one.
fn check_deduplication(source: &Source<'_>, at: &Spanned<schema::Class>) -> Checked<()> {
    let class = at.get_ref();
    let by_key = class.effect == Effect::ByKey;
    if let Some(dedup) = class.dedup.as_ref().filter(|_| !by_key) {
        let suggestion = "remove `dedup`, or write effect = \"by_key\"";
        return Err(source.error(
            dedup,
            "`dedup` goes with effect = \"by_key\" alone",
            suggestion,
        ));
    }
    if by_key && class.window.is_none() {
        let name = class.name.get_ref();
        let problem =
            format!("class `{name}` is by key, but for how long repeats are dropped is not said");
        return Err(source.error(at, problem, "add `window`, such as \"5s\""));
    }
    if let Some(window) = class.window.as_ref().filter(|_| !by_key) {
        let suggestion = "remove `window`, or write effect = \"by_key\"";
        return Err(source.error(
            window,
            "`window` goes with effect = \"by_key\" alone",
            suggestion,
        ));
    }
    Ok(())
}

fn semantics(effect: Effect) -> ExecutionSemantics {
    match effect {
        Effect::Repeatable => ExecutionSemantics::Idempotent,
        Effect::ByKey => ExecutionSemantics::IdempotencyKey,
        Effect::Once => ExecutionSemantics::AtMostOnce,
    }
}

fn deduplication_scope(dedup: Option<&Spanned<Dedup>>) -> DeduplicationScope {
    match dedup.map(Spanned::get_ref) {
        Some(Dedup::Zone) => DeduplicationScope::Zone,
        Some(Dedup::Cell) => DeduplicationScope::Cell,
        Some(Dedup::All) | None => DeduplicationScope::All,
    }
}

fn indexes_of_names(
    source: &Source<'_>,
    names: &[String],
    wanted: &[Spanned<String>],
    what: &str,
) -> Checked<Vec<usize>> {
    wanted
        .iter()
        .map(|at| source.index_of_name(names, at, what))
        .collect()
}
