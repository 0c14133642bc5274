//! `[route]`: the rules that assign a query to a class.

use super::source::{ConfigResult, Source};
use crate::model::{Names, Route, Selector};
use crate::schema;
use toml::Spanned;

/// The maximum compiled size of a selector's pattern, in bytes.
const MAX_PATTERN_BYTES: usize = 1 << 18;

/// Validates `[route]`. `describe_class` is the position that the class of describe requests will have.
pub(super) fn validate(
    source: &Source<'_>,
    route: &schema::Route,
    names: &Names,
    describe_class: usize,
) -> ConfigResult<Route> {
    let default_class = match &route.default_class {
        Some(spanned) => source.index_of_name(&names.classes, spanned, "class")?,
        None => 0,
    };
    let selectors = route
        .selectors
        .iter()
        .map(|spanned| validate_selector(source, spanned, &names.classes));
    Ok(Route {
        default_class,
        describe_class,
        selectors: selectors.collect::<ConfigResult<Vec<Selector>>>()?,
    })
}

fn validate_selector(
    source: &Source<'_>,
    spanned: &Spanned<schema::Selector>,
    classes: &[String],
) -> ConfigResult<Selector> {
    let selector = spanned.get_ref();
    let session_conditions = [&selector.user, &selector.database, &selector.application];
    if session_conditions
        .iter()
        .all(|condition| condition.is_none())
        && selector.pattern.is_none()
    {
        let suggestion =
            "add a user, a database, an application or a pattern, or use `default_class`";
        return Err(source.error(
            spanned,
            "the selector has no condition and would match every query",
            suggestion,
        ));
    }
    Ok(Selector {
        user: selector.user.clone(),
        database: selector.database.clone(),
        application: selector.application.clone(),
        pattern: selector
            .pattern
            .as_ref()
            .map(|spanned| compile_pattern(source, spanned))
            .transpose()?,
        class: source.index_of_name(classes, &selector.class, "class")?,
    })
}

fn compile_pattern(source: &Source<'_>, spanned: &Spanned<String>) -> ConfigResult<regex::Regex> {
    regex::RegexBuilder::new(spanned.get_ref())
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
                spanned,
                format!("the pattern is not a valid regular expression: {last_line}"),
                "correct the regular expression",
            )
        })
}
