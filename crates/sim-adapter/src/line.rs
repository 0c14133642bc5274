//! Lines of the simulator's protocol: a keyword, then fields as `name=value`.

use std::str::FromStr;
use wheelfield::interface::{Micros, QueryId};

/// Fields whose value extends to the end of the line.
const TEXT_FIELDS: [&str; 2] = ["env", "body_text"];
/// Maximum number of characters of a malformed text in an error message.
const MAX_SHOWN_CHARS: usize = 60;
/// Length of a query id in hex digits.
const QUERY_ID_DIGITS: usize = 16;

/// Why a line cannot be parsed. Texts from the line are shortened.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// Something other than a field follows the keyword.
    #[error("expected name=value after '{keyword}', found '{found}'")]
    NotAField { keyword: String, found: String },
    /// A field is missing.
    #[error("{keyword}: expected a field '{field}'")]
    MissingField {
        keyword: String,
        field: &'static str,
    },
    /// A field is not a number of the expected type.
    #[error("{keyword}: '{field}' is not a number: '{found}'")]
    NotANumber {
        keyword: String,
        field: &'static str,
        found: String,
    },
    /// A field is infinite or NaN.
    #[error("{keyword}: '{field}' is not a finite number")]
    NotFinite {
        keyword: String,
        field: &'static str,
    },
    /// A query id is not 16 hex digits.
    #[error("{keyword}: 'job' is not 16 hex digits: '{found}'")]
    NotAQueryId { keyword: String, found: String },
    /// A line other than an `entry` line was found inside a list.
    #[error("expected an 'entry' line of the list, found '{found}'")]
    NotAnEntry { found: String },
    /// The status of an engine is unknown.
    #[error("entry: unknown readiness '{found}'")]
    UnknownReadiness { found: String },
    /// The outcome of an attempt or probe is unknown.
    #[error("{keyword}: unknown code '{found}'")]
    UnknownOutcome { keyword: String, found: String },
    /// A part of a load report is not a `name:value` pair.
    #[error("{keyword}: expected name:value in health_info, found '{found}'")]
    NotAMetric { keyword: String, found: String },
    /// A metric of a load report is not a finite number.
    #[error("{keyword}: health_info {metric} is not a number")]
    MetricNotANumber { keyword: String, metric: String },
    /// A name is not in the settings.
    #[error("query: a {what} not in the settings: '{found}'")]
    UnknownName { what: &'static str, found: String },
    /// A line refers to a list that has not been received.
    #[error("fleet: no list numbered {list_number} has been received")]
    UnknownList { list_number: u32 },
    /// The mode in which to apply a list is unknown.
    #[error("fleet: unknown mode '{found}'")]
    UnknownListMode { found: String },
    /// The settings are not JSON.
    #[error("up: 'env' is not JSON: {0}")]
    SettingsNotJson(serde_json::Error),
    /// The settings are invalid.
    #[error("up: {0}")]
    Settings(wheelfield_settings::SettingsError),
}

/// A parsed line.
pub struct Line<'a> {
    /// The first word, which determines the kind of line.
    pub keyword: &'a str,
    fields: Vec<(&'a str, &'a str)>,
}

impl<'a> Line<'a> {
    /// Splits a line into its keyword and fields.
    ///
    /// # Errors
    /// [`LineError::NotAField`].
    pub fn parse(line: &'a str) -> Result<Line<'a>, LineError> {
        let (keyword, mut rest) = line.split_once(' ').unwrap_or((line, ""));
        let mut fields = Vec::new();
        while !rest.is_empty() {
            let Some((name, after)) = rest.split_once('=') else {
                return Err(LineError::NotAField {
                    keyword: keyword.to_string(),
                    found: shorten(rest),
                });
            };
            let name = name.trim_start();
            let end = if TEXT_FIELDS.contains(&name) {
                None
            } else {
                after.split_once(' ')
            };
            let (value, tail) = end.unwrap_or((after, ""));
            fields.push((name, value));
            rest = tail;
        }
        Ok(Line { keyword, fields })
    }

    /// The text of a field, if present.
    pub fn optional_text(&self, field: &str) -> Option<&'a str> {
        self.fields
            .iter()
            .find(|(name, _)| *name == field)
            .map(|(_, value)| *value)
    }

    /// The text of a field.
    ///
    /// # Errors
    /// [`LineError::MissingField`].
    pub fn text(&self, field: &'static str) -> Result<&'a str, LineError> {
        self.optional_text(field)
            .ok_or_else(|| LineError::MissingField {
                keyword: self.keyword.to_string(),
                field,
            })
    }

    /// The number in a field, if present.
    ///
    /// # Errors
    /// [`LineError::NotANumber`].
    pub fn optional_number<T: FromStr>(&self, field: &'static str) -> Result<Option<T>, LineError> {
        let Some(text) = self.optional_text(field) else {
            return Ok(None);
        };
        let number = text.parse().map_err(|_| LineError::NotANumber {
            keyword: self.keyword.to_string(),
            field,
            found: shorten(text),
        });
        number.map(Some)
    }

    /// The number in a field.
    ///
    /// # Errors
    /// [`LineError::MissingField`] or [`LineError::NotANumber`].
    pub fn number<T: FromStr>(&self, field: &'static str) -> Result<T, LineError> {
        let number = self.optional_number(field)?;
        number.ok_or_else(|| LineError::MissingField {
            keyword: self.keyword.to_string(),
            field,
        })
    }

    /// The finite number in a field, if present.
    ///
    /// # Errors
    /// [`LineError::NotANumber`] or [`LineError::NotFinite`].
    pub fn optional_real(&self, field: &'static str) -> Result<Option<f64>, LineError> {
        match self.optional_number::<f64>(field)? {
            Some(number) if !number.is_finite() => Err(LineError::NotFinite {
                keyword: self.keyword.to_string(),
                field,
            }),
            number => Ok(number),
        }
    }

    /// The microseconds in a field, if present.
    ///
    /// # Errors
    /// [`LineError::NotANumber`].
    pub fn optional_micros(&self, field: &'static str) -> Result<Option<Micros>, LineError> {
        Ok(self.optional_number::<i64>(field)?.map(Micros))
    }

    /// The id of the query that the line is about.
    ///
    /// # Errors
    /// [`LineError::MissingField`] or [`LineError::NotAQueryId`].
    pub fn query_id(&self) -> Result<QueryId, LineError> {
        let text = self.text("job")?;
        let number = u64::from_str_radix(text, 16)
            .ok()
            .filter(|_| text.len() == QUERY_ID_DIGITS);
        number.map(QueryId).ok_or_else(|| LineError::NotAQueryId {
            keyword: self.keyword.to_string(),
            found: shorten(text),
        })
    }

    /// The number of the attempt that the line is about, if present.
    pub fn attempt(&self) -> Option<usize> {
        self.optional_text("leg")
            .and_then(|number| number.parse().ok())
    }
}

/// Shortens a text for an error message.
pub fn shorten(text: &str) -> String {
    text.chars().take(MAX_SHOWN_CHARS).collect()
}
