//! The error type for configurations: the problem, its location and a suggested correction.

use crate::units::UnitError;

/// The similarity, from 0 to 1, above which a known key is suggested for an unknown one.
const MIN_SIMILARITY: f64 = 0.8;

/// An error in a configuration or another TOML file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}:{column}: {problem}; {suggestion}")]
pub struct ConfigError {
    /// The name of the file, as given to the parser.
    pub file: String,
    /// The line, counted from 1.
    pub line: usize,
    /// The column in characters, counted from 1.
    pub column: usize,
    /// Description of the problem.
    pub problem: String,
    /// Suggested correction.
    pub suggestion: String,
}

/// Returns the line and column of a byte offset in a text. Both are counted from 1; the column is in characters.
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
    /// Creates an error at a byte offset in a text.
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

    /// Converts an error of the TOML parser, and derives the suggestion from its message.
    pub fn from_toml(file: &str, text: &str, error: &toml::de::Error) -> ConfigError {
        let offset = error.span().map_or(0, |span| span.start);
        let message = error.message();
        match UnitError::from_parser_message(message) {
            Some(unit) => ConfigError::at(file, text, offset, unit.problem, unit.suggestion),
            None => ConfigError::at(file, text, offset, message, suggestion_for(message)),
        }
    }
}

/// Returns the parts of a message that are enclosed in backticks.
fn backquoted_parts(message: &str) -> Vec<&str> {
    message.split('`').skip(1).step_by(2).collect()
}

/// Returns a suggestion for an error message of the TOML parser.
fn suggestion_for(message: &str) -> String {
    let names = backquoted_parts(message);
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

/// Suggests the known name that is most similar to an unknown one, or lists the known names if none is similar.
/// `names` contains the unknown name followed by the known ones.
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
