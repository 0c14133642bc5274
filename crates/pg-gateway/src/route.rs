//! From what a query says of itself to what the module is told of it. No decision: a class, an estimate, a time.

use wheelfield::interface::Micros;
use wheelfield_config::Config;
use wheelfield_driver::Arrival;
use wheelfield_pg::client::{Identity, Unit};
use wheelfield_pg::sql::Hints;

/// Longest key that keeps an order, in bytes; a longer one is cut.
const LONGEST_KEY: usize = 256;

/// What a query's hints came to.
#[derive(Debug, PartialEq)]
pub struct Routed {
    /// What the driver is handed.
    pub arrival: Arrival,
    /// When the client gives up.
    pub gives_up: Micros,
    /// Hints that were unknown or ill-formed.
    pub ignored: u32,
}

/// The class of a query: its own hint, the first selector that matches, or the default. Descriptions have their own.
fn class_of(config: &Config, who: &Identity, unit: &Unit, hints: &Hints<'_>, ignored: &mut u32) -> usize {
    let route = &config.route;
    if unit.describe_only {
        return route.describe_class;
    }
    if let Some(name) = &hints.class {
        // The last class has no name of its own.
        match config.names.classes[..route.describe_class].iter().position(|n| n == name.as_ref()) {
            Some(class) => return class,
            None => *ignored += 1,
        }
    }
    let matches = |wanted: &Option<String>, is: &str| wanted.as_deref().is_none_or(|w| w == is);
    let selected = route.selectors.iter().find(|s| {
        matches(&s.user, &who.user)
            && matches(&s.database, &who.database)
            && matches(&s.application, &who.application)
            && s.pattern.as_ref().is_none_or(|p| p.is_match(unit.text()))
    });
    selected.map_or(route.default_class, |s| s.class)
}

/// What the module is told of a unit.
pub fn route(config: &Config, now: Micros, who: &Identity, unit: &Unit, hints: &Hints<'_>) -> Routed {
    let mut ignored = hints.ignored;
    let class = class_of(config, who, unit, hints, &mut ignored);
    let settings = &config.settings.classes[class];
    let patience = hints.due_ms.map_or(settings.deadline, |ms| Micros((ms.min(1e10) * 1e3) as i64));
    let gives_up = now + patience.min(settings.deadline);
    let mut key = hints.key.as_ref().filter(|_| settings.ordered_by_key).map(|k| k.to_string());
    if let Some(key) = key.as_mut().filter(|k| k.len() > LONGEST_KEY) {
        let mut end = LONGEST_KEY;
        while !key.is_char_boundary(end) {
            end -= 1;
        }
        key.truncate(end);
    }
    // A description says of its statement what that will cost, not of itself.
    let runs = !unit.describe_only;
    let arrival = Arrival {
        class,
        tenant: config.names.tenants.iter().position(|t| *t == who.user),
        key,
        deadline: gives_up - config.timing.answer_margin,
        work_hint: if runs { hints.work_ms.filter(|ms| *ms > 0.0).map(|ms| ms / 1e3) } else { Some(1e-3) },
        memory_hint: hints.memory_mb.filter(|mb| runs && *mb > 0.0),
        tables: hints.tables.unwrap_or(0),
    };
    Routed { arrival, gives_up, ignored }
}
