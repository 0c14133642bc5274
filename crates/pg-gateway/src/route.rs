//! Maps a query's hints, user and text to what the policy needs to know: its class, deadline and estimates.

use wheelfield::interface::Micros;
use wheelfield_config::Config;
use wheelfield_driver::Arrival;
use wheelfield_pg::client::{Identity, Unit};
use wheelfield_pg::sql::Hints;

/// Maximum length of an ordering key, in bytes; longer keys are truncated.
const MAX_KEY_BYTES: usize = 256;

/// A query as it is submitted to the driver.
#[derive(Debug, PartialEq)]
pub struct RoutedQuery {
    /// The arrival that is submitted to the driver.
    pub arrival: Arrival,
    /// When the client stops waiting.
    pub client_deadline: Micros,
    /// Number of hints that were unknown or malformed.
    pub ignored_hints: u32,
}

/// The class of a query: given by its hint, by the first matching selector, or by default. Queries that
/// only describe a statement have a class of their own.
fn class_of(
    config: &Config,
    identity: &Identity,
    unit: &Unit,
    hints: &Hints<'_>,
    ignored_hints: &mut u32,
) -> usize {
    let route = &config.route;
    if unit.describe_only {
        return route.describe_class;
    }
    if let Some(name) = &hints.class {
        // The last class is the one for descriptions, which cannot be selected by name.
        match config.names.classes[..route.describe_class].iter().position(|n| n == name.as_ref()) {
            Some(class) => return class,
            None => *ignored_hints += 1,
        }
    }
    let matches = |expected: &Option<String>, actual: &str| {
        expected.as_deref().is_none_or(|expected| expected == actual)
    };
    let selected = route.selectors.iter().find(|selector| {
        matches(&selector.user, &identity.user)
            && matches(&selector.database, &identity.database)
            && matches(&selector.application, &identity.application)
            && selector.pattern.as_ref().is_none_or(|p| p.is_match(unit.text()))
    });
    selected.map_or(route.default_class, |selector| selector.class)
}

/// Builds the arrival of a unit.
pub fn route(
    config: &Config,
    now: Micros,
    identity: &Identity,
    unit: &Unit,
    hints: &Hints<'_>,
) -> RoutedQuery {
    let mut ignored_hints = hints.ignored;
    let class = class_of(config, identity, unit, hints, &mut ignored_hints);
    let settings = &config.settings.classes[class];
    let time_limit = hints.due_ms.map_or(settings.deadline, |ms| Micros((ms.min(1e10) * 1e3) as i64));
    let client_deadline = now + time_limit.min(settings.deadline);
    let mut key = hints.key.as_ref().filter(|_| settings.ordered_by_key).map(|k| k.to_string());
    if let Some(key) = key.as_mut().filter(|k| k.len() > MAX_KEY_BYTES) {
        let mut end = MAX_KEY_BYTES;
        while !key.is_char_boundary(end) {
            end -= 1;
        }
        key.truncate(end);
    }
    // The cost hints apply to executing the statement, not to describing it.
    let is_executed = !unit.describe_only;
    let arrival = Arrival {
        class,
        tenant: config.names.tenants.iter().position(|t| *t == identity.user),
        key,
        deadline: client_deadline - config.timing.answer_margin,
        work_hint: if is_executed {
            hints.work_ms.filter(|ms| *ms > 0.0).map(|ms| ms / 1e3)
        } else {
            Some(1e-3)
        },
        memory_hint: hints.memory_mb.filter(|mb| is_executed && *mb > 0.0),
        tables: hints.tables.unwrap_or(0),
    };
    RoutedQuery { arrival, client_deadline, ignored_hints }
}
