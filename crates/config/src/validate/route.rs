//! `[route]`: how a query is assigned to a class.

use super::source::{Checked, Source};
use crate::model::{Names, Route, Selector};
use crate::schema;
use toml::Spanned;

/// The compiled size of a selector's pattern, in bytes, at most.
const MAX_PATTERN_BYTES: usize = 1 << 18;

/// `describe_class` is the position that the class of descriptions will have.
pub(super) fn validate(
    source: &Source<'_>,
    route: &schema::Route,
    names: &Names,
    describe_class: usize,
) -> Checked<Route> {
    let default_class = match &route.default_class {
        Some(at) => source.index_of_name(&names.classes, at, "class")?,
        None => 0,
    };
    let selectors = route
        .select
        .iter()
        .map(|at| validate_selector(source, at, &names.classes));
    Ok(Route {
        default_class,
        describe_class,
        selectors: selectors.collect::<Checked<Vec<Selector>>>()?,
    })
}

fn validate_selector(
    source: &Source<'_>,
    at: &Spanned<schema::Select>,
    classes: &[String],
) -> Checked<Selector> {
    let select = at.get_ref();
    let named = [&select.user, &select.database, &select.application];
    if named.iter().all(|name| name.is_none()) && select.pattern.is_none() {
        let suggestion =
            "name a user, a database, an application or a pattern, or use `default_class`";
        return Err(source.error(at, "a selector that matches everything", suggestion));
    }
    Ok(Selector {
        user: select.user.clone(),
        database: select.database.clone(),
        application: select.application.clone(),
        pattern: select
            .pattern
            .as_ref()
            .map(|at| compile_pattern(source, at))
            .transpose()?,
        class: source.index_of_name(classes, &select.class, "class")?,
    })
}

fn compile_pattern(source: &Source<'_>, at: &Spanned<String>) -> Checked<regex::Regex> {
    regex::RegexBuilder::new(at.get_ref())
        .size_limit(MAX_PATTERN_BYTES)
        .build()
        .map_err(|error| {
            let last_line = error
                .to_string()
                .lines()
                .last()
                .unwrap_or("")
                .trim()
                .to_string();
            source.error(
                at,
                format!("a pattern that can't be read: {last_line}"),
                "write a regular expression",
            )
        })
}
