//! Lines of the simulator's wire: a first word, then fields as `name=value`.

use std::str::FromStr;
use wheelfield::interface::{Micros, QueryId};

/// Fields whose value runs to the end of the line.
const TEXT_FIELDS: [&str; 2] = ["env", "body_text"];
/// Characters of a malformed text that an error shows, at most.
const MAX_SHOWN_CHARS: usize = 60;
/// Length of a query's number, in hex digits.
const QUERY_ID_DIGITS: usize = 16;

/// Why a line can't be read. Texts of the line are shortened.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// Something other than a field follows the first word.
    #[error("expected name=value after '{word}', found '{found}'")]
    NotAField { word: String, found: String },
    /// A field is missing.
    #[error("{word}: expected a field '{field}'")]
    MissingField { word: String, field: &'static str },
    /// A field is no number of its type.
    #[error("{word}: '{field}' is not a number: '{found}'")]
    NotANumber {
        word: String,
        field: &'static str,
        found: String,
    },
    /// A field is infinite or not a number.
    #[error("{word}: '{field}' is not a finite number")]
    NotFinite { word: String, field: &'static str },
    /// The number of a query has another form.
    #[error("{word}: 'job' is not 16 hex digits: '{found}'")]
    NotAQueryId { word: String, found: String },
    /// The line is none of a list.
    #[error("expected an 'entry' line of the list, found '{found}'")]
    NotAnEntry { found: String },
    /// The status of an engine is unknown.
    #[error("entry: unknown readiness '{found}'")]
    UnknownReadiness { found: String },
    /// The outcome of an attempt or probe is unknown.
    #[error("{word}: unknown code '{found}'")]
    UnknownOutcome { word: String, found: String },
    /// A part of a load report is no pair.
    #[error("{word}: expected name:value in health_info, found '{found}'")]
    NotAMetric { word: String, found: String },
    /// A metric of a load report is no finite number.
    #[error("{word}: health_info {metric} is not a number")]
    MetricNotANumber { word: String, metric: String },
    /// A name is not in the settings.
    #[error("query: a {what} not in the settings: '{found}'")]
    UnknownName { what: &'static str, found: String },
    /// A list is referred to before it came.
    #[error("fleet: no list numbered {bank} has come")]
    UnknownList { bank: u32 },
    /// The way to apply a list is unknown.
    #[error("fleet: unknown mode '{found}'")]
    UnknownListMode { found: String },
    /// The settings are no JSON.
    #[error("up: 'env' is not JSON: {0}")]
    SettingsNotJson(serde_json::Error),
    /// The settings can't be used.
    #[error("up: {0}")]
    Settings(wheelfield_settings::SettingsError),
}

/// One line.
pub struct Line<'a> {
    /// The first word, which says what the line is.
    pub word: &'a str,
    fields: Vec<(&'a str, &'a str)>,
}

impl<'a> Line<'a> {
    /// Splits a line into its word and fields.
    ///
    /// # Errors
    /// [`LineError::NotAField`].
    pub fn parse(line: &'a str) -> Result<Line<'a>, LineError> {
        let (word, mut rest) = line.split_once(' ').unwrap_or((line, ""));
        let mut fields = Vec::new();
        while !rest.is_empty() {
            let Some((name, after)) = rest.split_once('=') else {
                return Err(LineError::NotAField {
                    word: word.to_string(),
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
        Ok(Line { word, fields })
    }

    /// The text of a field, if it is there.
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
                word: self.word.to_string(),
                field,
            })
    }

    /// The number in a field, if it is there.
    ///
    /// # Errors
    /// [`LineError::NotANumber`].
    pub fn optional_number<T: FromStr>(&self, field: &'static str) -> Result<Option<T>, LineError> {
        let Some(text) = self.optional_text(field) else {
            return Ok(None);
        };
        let number = text.parse().map_err(|_| LineError::NotANumber {
            word: self.word.to_string(),
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
            word: self.word.to_string(),
            field,
        })
    }

    /// The finite number in a field, if it is there.
    ///
    /// # Errors
    /// [`LineError::NotANumber`] or [`LineError::NotFinite`].
    pub fn optional_real(&self, field: &'static str) -> Result<Option<f64>, LineError> {
        match self.optional_number::<f64>(field)? {
            Some(number) if !number.is_finite() => Err(LineError::NotFinite {
                word: self.word.to_string(),
                field,
            }),
            number => Ok(number),
        }
    }

    /// The microseconds in a field, if it is there.
    ///
    /// # Errors
    /// [`LineError::NotANumber`].
    pub fn optional_micros(&self, field: &'static str) -> Result<Option<Micros>, LineError> {
        Ok(self.optional_number::<i64>(field)?.map(Micros))
    }

    /// The query that the line is about.
    ///
    /// # Errors
    /// [`LineError::MissingField`] or [`LineError::NotAQueryId`].
    pub fn query_id(&self) -> Result<QueryId, LineError> {
        let text = self.text("job")?;
        let number = u64::from_str_radix(text, 16)
            .ok()
            .filter(|_| text.len() == QUERY_ID_DIGITS);
        number.map(QueryId).ok_or_else(|| LineError::NotAQueryId {
            word: self.word.to_string(),
            found: shorten(text),
        })
    }

    /// The number of the attempt that the line is about, if it names one.
    pub fn attempt(&self) -> Option<usize> {
        self.optional_text("leg")
            .and_then(|number| number.parse().ok())
    }
}

/// A text as an error shows it.
pub fn shorten(text: &str) -> String {
    text.chars().take(MAX_SHOWN_CHARS).collect()
}
