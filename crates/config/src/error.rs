//! The error of a configuration: what is wrong, where, and how to correct it.

use crate::units::UnitError;

/// The similarity, from 0 to 1, above which a known key is suggested for an unknown one.
const MIN_SIMILARITY: f64 = 0.8;

/// Something wrong with a configuration or another TOML file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}:{column}: {problem}; {suggestion}")]
pub struct ConfigError {
    /// The name of the file.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// The column, from 1.
    pub column: usize,
    /// What is wrong.
    pub problem: String,
    /// How to correct it.
    pub suggestion: String,
}

/// The line and column, both from 1, of a byte offset in a text.
pub fn locate(text: &str, offset: usize) -> (usize, usize) {
    let mut offset = offset.min(text.len());
    while !text.is_char_boundary(offset) {
        offset -= 1;
    }
    let before = &text[..offset];
    let line = before.matches('\n').count() + 1;
    let column = before.rsplit('\n').next().unwrap_or("").chars().count() + 1;
    (line, column)
}

impl ConfigError {
    /// An error at a byte offset in a text.
    pub fn at(
        file: &str,
        text: &str,
        offset: usize,
        problem: impl Into<String>,
        suggestion: impl Into<String>,
    ) -> ConfigError {
        let (line, column) = locate(text, offset);
        let (problem, suggestion) = (problem.into(), suggestion.into());
        ConfigError {
            file: file.to_string(),
            line,
            column,
            problem,
            suggestion,
        }
    }

    /// An error that the TOML reader found, with a suggestion derived from its message.
    pub fn from_toml(file: &str, text: &str, error: &toml::de::Error) -> ConfigError {
        let offset = error.span().map_or(0, |span| span.start);
        let message = error.message();
        match UnitError::from_message(message) {
            Some(unit) => ConfigError::at(file, text, offset, unit.problem, unit.suggestion),
            None => ConfigError::at(file, text, offset, message, suggestion_for(message)),
        }
    }
}

/// The parts of a message that stand between backticks.
fn quoted(message: &str) -> Vec<&str> {
    message.split('`').skip(1).step_by(2).collect()
}

/// How to correct what a message of the TOML reader reports.
fn suggestion_for(message: &str) -> String {
    let names = quoted(message);
    if message.starts_with("unknown field") || message.starts_with("unknown variant") {
        return suggest_known_name(&names);
    }
    if message.starts_with("missing field") {
        return format!("add `{}`", names.first().unwrap_or(&"it"));
    }
    if message.starts_with("invalid type") {
        return "write a value of the type in the configuration reference".to_string();
    }
    "correct the TOML syntax here".to_string()
}

/// `names` are the unknown name and, after it, the known ones.
fn suggest_known_name(names: &[&str]) -> String {
    let Some((unknown, known)) = names.split_first() else {
        return "remove it".to_string();
    };
    let scored = known
        .iter()
        .map(|name| (strsim::jaro_winkler(unknown, name), *name));
    let best = scored
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .filter(|(score, _)| *score > MIN_SIMILARITY);
    match best {
        Some((_, name)) => format!("did you mean `{name}`?"),
        None => format!("known names: {}", known.join(", ")),
    }
}
