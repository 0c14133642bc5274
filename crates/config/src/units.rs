//! Parses and formats durations and sizes with units. A number without a unit is rejected because it would be
//! ambiguous, for example between seconds and milliseconds.

use serde::{de, Deserialize, Deserializer};
use wheelfield::interface::Micros;

/// The longest duration that is accepted, about 30 years.
const MAX_DURATION_MICROS: f64 = 1e15;
const TIME_FORMAT: &str = "write a number with the unit us, ms, s, m or h, such as \"250ms\"";
const SIZE_FORMAT: &str = "write a number with the unit B, KB, MB or GB, such as \"64MB\"";

/// A duration, written as `"250ms"`, `"1.5s"`, `"2m"`, `"100us"` or `"1h"`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub Micros);

/// A size in bytes, written as `"64MB"`, `"512KB"`, `"2GB"` or `"100B"`; a kilobyte is 1,024 bytes, and larger units are
/// powers of 1,024 as well.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Size(pub u64);

/// The error for a duration or size that cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{problem}; {suggestion}")]
pub struct UnitError {
    /// Description of the problem.
    pub problem: String,
    /// Suggested correction.
    pub suggestion: String,
}

impl UnitError {
    /// Separates the problem from the suggestion in a message that is passed through the TOML parser, whose errors are
    /// plain text.
    const SEPARATOR: char = '\u{1f}';

    fn new(problem: impl Into<String>, suggestion: impl Into<String>) -> UnitError {
        UnitError {
            problem: problem.into(),
            suggestion: suggestion.into(),
        }
    }

    /// Encodes this error as a message for the TOML parser.
    fn to_parser_message(&self) -> String {
        format!("{}{}{}", self.problem, Self::SEPARATOR, self.suggestion)
    }

    /// Decodes an error from a message of the TOML parser. Returns `None` if the message was not encoded by
    /// [`Self::to_parser_message`].
    pub(crate) fn from_parser_message(message: &str) -> Option<UnitError> {
        let (problem, suggestion) = message.split_once(Self::SEPARATOR)?;
        Some(UnitError::new(problem, suggestion))
    }
}

/// Splits a text into its leading number, if there is one, and its unit.
fn split_unit(text: &str) -> (Option<f64>, &str) {
    let text = text.trim();
    let end = text
        .find(|c: char| !(c.is_ascii_digit() || c == '.' || c == '_'))
        .unwrap_or(text.len());
    (
        text[..end].replace('_', "").parse().ok(),
        text[end..].trim(),
    )
}

/// Parses a duration.
///
/// # Errors
/// [`UnitError`] if the text has no number or no known unit, or if the duration is longer than 30 years.
pub fn parse_time(text: &str) -> Result<Time, UnitError> {
    let (number, unit) = split_unit(text);
    let Some(number) = number else {
        return Err(UnitError::new(
            format!("`{text}` is not a time"),
            TIME_FORMAT,
        ));
    };
    let micros_per_unit = match unit {
        "us" => 1.0,
        "ms" => 1e3,
        "s" => 1e6,
        "m" | "min" => 6e7,
        "h" => 3.6e9,
        "" => {
            return Err(UnitError::new(
                format!("the time `{text}` has no unit"),
                TIME_FORMAT,
            ))
        }
        other => {
            return Err(UnitError::new(
                format!("`{other}` is not a unit of time"),
                TIME_FORMAT,
            ))
        }
    };
    let micros = number * micros_per_unit;
    if micros > MAX_DURATION_MICROS {
        return Err(UnitError::new(
            format!("the time `{text}` is out of range"),
            "write a time of at most 30 years",
        ));
    }
    Ok(Time(Micros(micros.round() as i64)))
}

/// Parses a size in bytes.
///
/// # Errors
/// [`UnitError`] if the text has no number or no known unit.
pub fn parse_size(text: &str) -> Result<Size, UnitError> {
    let (number, unit) = split_unit(text);
    let Some(number) = number else {
        return Err(UnitError::new(
            format!("`{text}` is not a size"),
            SIZE_FORMAT,
        ));
    };
    let bytes_per_unit = match unit.to_ascii_uppercase().as_str() {
        "B" => 1.0,
        "KB" | "KIB" => 1024.0,
        "MB" | "MIB" => 1_048_576.0,
        "GB" | "GIB" => 1_073_741_824.0,
        "TB" | "TIB" => 1_099_511_627_776.0,
        "" => {
            return Err(UnitError::new(
                format!("the size `{text}` has no unit"),
                SIZE_FORMAT,
            ))
        }
        _ => {
            return Err(UnitError::new(
                format!("`{unit}` is not a unit of size"),
                SIZE_FORMAT,
            ))
        }
    };
    Ok(Size((number * bytes_per_unit).round() as u64))
}

/// Formats a duration with the largest of the units m, s, ms and us in which it is a whole number.
pub fn format_time(time: Micros) -> String {
    match time.0 {
        micros if micros != 0 && micros % 60_000_000 == 0 => format!("{}m", micros / 60_000_000),
        micros if micros % 1_000_000 == 0 => format!("{}s", micros / 1_000_000),
        micros if micros % 1_000 == 0 => format!("{}ms", micros / 1_000),
        micros => format!("{micros}us"),
    }
}

/// Deserializes a value with a unit. A bare number is parsed as text too, so that the error says that the unit is
/// missing.
struct UnitVisitor<T> {
    parse: fn(&str) -> Result<T, UnitError>,
    expected: &'static str,
}

impl<T> de::Visitor<'_> for UnitVisitor<T> {
    type Value = T;
    fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.expected)
    }
    fn visit_str<E: de::Error>(self, text: &str) -> Result<T, E> {
        (self.parse)(text).map_err(|error| E::custom(error.to_parser_message()))
    }
    fn visit_i64<E: de::Error>(self, number: i64) -> Result<T, E> {
        self.visit_str(&number.to_string())
    }
    fn visit_f64<E: de::Error>(self, number: f64) -> Result<T, E> {
        self.visit_str(&number.to_string())
    }
}

impl<'de> Deserialize<'de> for Time {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Time, D::Error> {
        let visitor = UnitVisitor {
            parse: parse_time,
            expected: "a time with its unit",
        };
        deserializer.deserialize_any(visitor)
    }
}

impl<'de> Deserialize<'de> for Size {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Size, D::Error> {
        let visitor = UnitVisitor {
            parse: parse_size,
            expected: "a size with its unit",
        };
        deserializer.deserialize_any(visitor)
    }
}
