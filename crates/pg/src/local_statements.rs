//! Executes the statements that the controller answers without an engine: those on the settings of the session, and
//! the queries that drivers send after connecting.
//!
//! Settings are stored for the session and reported to the client, but not sent to engines. A setting that would
//! change the behaviour of an engine is accepted with a warning that engines do not see it.

use crate::backend_messages::{Column, Diagnostic};
use crate::sql::{self, Hints};
use std::borrow::Cow;
use std::collections::BTreeMap;

/// The server version reported to clients. Drivers enable features according to it.
pub const SERVER_VERSION: &str = "15.0 (wheelfield)";
/// Maximum number of settings of a session.
pub const MAX_SETTINGS: usize = 64;
/// Maximum length of a setting's value in bytes.
const MAX_VALUE_BYTES: usize = 1024;
/// The OID of the type `void`.
const VOID_TYPE_OID: u32 = 2278;

/// Settings that are reported to the client at startup and whenever they change, with their default values.
const REPORTED_PARAMETERS: [(&str, &str); 10] = [
    ("server_version", SERVER_VERSION),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("TimeZone", "UTC"),
    ("IntervalStyle", "postgres"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
    ("in_hot_standby", "off"),
    ("default_transaction_read_only", "off"),
];

/// Settings that are accepted without a warning, because they do not change the behaviour of an engine.
const SETTINGS_WITHOUT_WARNING: [&str; 9] = [
    "application_name",
    "extra_float_digits",
    "client_min_messages",
    "bytea_output",
    "statement_timeout",
    "lock_timeout",
    "idle_in_transaction_session_timeout",
    "search_path",
    "jit",
];

/// The response to a statement that the controller executes itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reply {
    /// The columns of the result. Empty if the statement returns no rows.
    pub columns: Vec<Column>,
    /// The rows of the result, all values as text.
    pub rows: Vec<Vec<String>>,
    /// The command tag for `CommandComplete`.
    pub tag: String,
    /// Notices and warnings to send before the result.
    pub notices: Vec<Diagnostic>,
    /// The names and the new values of settings whose change is reported to the client.
    pub reported: Vec<(String, String)>,
}

/// The settings of a session.
#[derive(Clone, Debug)]
pub struct SessionSettings {
    user: String,
    database: String,
    pid: i32,
    values: BTreeMap<String, String>,
}

impl SessionSettings {
    /// Creates the settings of a new session. At most [`MAX_SETTINGS`] of the startup parameters are stored; the
    /// others and those with too long a value are ignored.
    pub fn new<'a>(
        user: &str,
        database: &str,
        pid: i32,
        startup_parameters: impl Iterator<Item = (&'a str, &'a str)>,
    ) -> Self {
        let accepted =
            startup_parameters.filter(|(_, value)| value.len() <= MAX_VALUE_BYTES).take(MAX_SETTINGS);
        let values = accepted.map(|(name, value)| (name.to_ascii_lowercase(), value.to_string())).collect();
        SessionSettings { user: user.to_string(), database: database.to_string(), pid, values }
    }

    /// The names and values that are reported to the client at startup.
    pub fn reported_parameters(&self) -> Vec<(String, String)> {
        let parameters = REPORTED_PARAMETERS.iter().map(|(name, default)| {
            let value = self.values.get(&name.to_ascii_lowercase()).map_or(*default, String::as_str);
            ((*name).to_string(), value.to_string())
        });
        let other_parameters = [
            ("application_name".to_string(), self.current_value("application_name")),
            ("session_authorization".to_string(), self.user.clone()),
            ("is_superuser".to_string(), "off".to_string()),
        ];
        parameters.chain(other_parameters).collect()
    }

    /// The value of a setting: the one set in the session, else its default. Empty if the setting is unknown.
    fn current_value(&self, name: &str) -> String {
        let name = name.to_ascii_lowercase();
        let default = || {
            REPORTED_PARAMETERS
                .iter()
                .find(|(n, _)| n.eq_ignore_ascii_case(&name))
                .map(|(_, v)| (*v).to_string())
        };
        self.values.get(&name).cloned().or_else(default).unwrap_or_else(|| match name.as_str() {
            "transaction_isolation" | "default_transaction_isolation" => "read committed".into(),
            "statement_timeout" | "lock_timeout" => "0".into(),
            "search_path" => "\"$user\", public".into(),
            "max_identifier_length" => "63".into(),
            "server_version_num" => "150000".into(),
            _ => String::new(),
        })
    }

    /// The hints of the session, which apply where a query does not set its own.
    pub fn hints(&self) -> Hints<'_> {
        let mut hints = Hints::default();
        for name in sql::HINT_NAMES {
            if let Some(value) = self.values.get(&format!("wheelfield.{name}")) {
                hints.set(name, Cow::Borrowed(value));
            }
        }
        if hints.due_ms.is_none() {
            hints.due_ms = self
                .values
                .get("statement_timeout")
                .and_then(|v| parse_duration_ms(v))
                .filter(|ms| *ms > 0.0);
        }
        hints
    }

    /// The columns of the result of a statement that the controller executes itself. The settings do not change.
    pub fn result_columns(&self, statement: &str) -> Vec<Column> {
        let mut copy = self.clone();
        copy.execute(statement).map(|reply| reply.columns).unwrap_or_default()
    }

    /// Executes a statement of kind [`sql::Kind::Local`].
    ///
    /// # Errors
    /// The error to send to the client if the statement is not valid.
    #[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
    pub fn execute(&mut self, statement: &str) -> Result<Reply, Diagnostic> {
        let text = sql::normalized(statement);
        let (first, rest) = text.split_once(' ').unwrap_or((text.as_str(), ""));
        let completed = |tag: &str| Reply { tag: tag.to_string(), ..Reply::default() };
        let row = |name: &str, value: String| Reply {
            columns: vec![Column::text(name)],
            rows: vec![vec![value]],
            tag: "SELECT 1".to_string(),
            ..Reply::default()
        };
        match first {
            "set" => self.set(statement, rest),
            "reset" => {
                let reported = match rest {
                    "all" | "" => self.reset_all(),
                    name => self.reset(name),
                };
                Ok(Reply { reported, ..completed("RESET") })
            }
            "discard" => match rest {
                "all" => Ok(Reply { reported: self.reset_all(), ..completed("DISCARD ALL") }),
                // The controller stores no plans, sequences or temporary tables.
                "plans" => Ok(completed("DISCARD PLANS")),
                "sequences" => Ok(completed("DISCARD SEQUENCES")),
                "temp" | "temporary" => Ok(completed("DISCARD TEMP")),
                other => Err(Diagnostic::error("42601", format!("syntax error at or near \"{other}\""))
                    .hint("known: DISCARD ALL, PLANS, SEQUENCES, TEMP")),
            },
            "deallocate" if matches!(rest, "all" | "prepare all") => Ok(completed("DEALLOCATE ALL")),
            "deallocate" => Ok(completed("DEALLOCATE")),
            "close" => Ok(completed("CLOSE CURSOR ALL")),
            "unlisten" => Ok(completed("UNLISTEN")),
            "show" => {
                let name = match rest {
                    "transaction isolation level" => "transaction_isolation",
                    "time zone" => "timezone",
                    "all" => return Ok(self.show_all()),
                    name => name,
                };
                let is_known = self.values.contains_key(name) || !self.current_value(name).is_empty();
                if !is_known && !name.contains('.') && !SETTINGS_WITHOUT_WARNING.contains(&name) {
                    let message = format!("unrecognized configuration parameter \"{name}\"");
                    return Err(Diagnostic::error("42704", message)
                        .hint("the controller knows only settings that were set"));
                }
                Ok(Reply { tag: "SHOW".into(), ..row(name, self.current_value(name)) })
            }
            "select" => Ok(match rest {
                "version()" => row("version", format!("PostgreSQL {SERVER_VERSION}")),
                "current_schema()" => row("current_schema", "public".into()),
                "current_database()" => row("current_database", self.database.clone()),
                "pg_backend_pid()" => row("pg_backend_pid", self.pid.to_string()),
                "pg_is_in_recovery()" => row("pg_is_in_recovery", "f".into()),
                "pg_advisory_unlock_all()" => Reply {
                    columns: vec![Column {
                        name: "pg_advisory_unlock_all".into(),
                        type_oid: VOID_TYPE_OID,
                        type_size: 4,
                    }],
                    ..row("", String::new())
                },
                "session_user" => row("session_user", self.user.clone()),
                "current_user" => row("current_user", self.user.clone()),
                _ => row("current_setting", self.current_value("server_version_num")),
            }),
            other => {
                let warning = Diagnostic::warning("25P01", "there is no transaction in progress");
                let tag = if matches!(other, "commit" | "end") { "COMMIT" } else { "ROLLBACK" };
                Ok(Reply { notices: vec![warning], ..completed(tag) })
            }
        }
    }

    /// Removes all settings except `application_name`. Returns the reported settings that changed.
    fn reset_all(&mut self) -> Vec<(String, String)> {
        let names: Vec<String> =
            self.values.keys().filter(|name| *name != "application_name").cloned().collect();
        names.iter().flat_map(|name| self.reset(name)).collect()
    }

    /// Removes a setting, so that its default applies. Returns its name and default if it is reported to the client and changed.
    fn reset(&mut self, name: &str) -> Vec<(String, String)> {
        let Some(previous) = self.values.remove(name) else {
            return Vec::new();
        };
        let value = self.current_value(name);
        let reported = reported_name(name).filter(|_| previous != value);
        reported.map(|reported| (reported.to_string(), value)).into_iter().collect()
    }

    fn show_all(&self) -> Reply {
        let rows = self.values.iter().map(|(n, v)| vec![n.clone(), v.clone()]).collect();
        Reply {
            columns: vec![Column::text("name"), Column::text("setting")],
            rows,
            tag: "SHOW".into(),
            ..Reply::default()
        }
    }

    /// Executes a SET. `normalized` is the normalized statement without the leading `set`; the value is read from
    /// `statement`, which preserves its case.
    #[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
    fn set(&mut self, statement: &str, normalized: &str) -> Result<Reply, Diagnostic> {
        let completed = Reply { tag: "SET".into(), ..Reply::default() };
        let normalized =
            normalized.strip_prefix("session ").or(normalized.strip_prefix("local ")).unwrap_or(normalized);
        if normalized.starts_with("transaction ") || normalized.starts_with("characteristics ") {
            let warning = Diagnostic::warning(
                "01000",
                "there are no transaction blocks here; the setting has no effect",
            );
            return Ok(Reply { notices: vec![warning], ..completed });
        }
        let (name, value) = if let Some(zone) = normalized.strip_prefix("time zone ") {
            ("timezone".to_string(), unquote(zone))
        } else if let Some(encoding) = normalized.strip_prefix("names ") {
            ("client_encoding".to_string(), unquote(encoding))
        } else {
            let end = normalized.find(|c: char| !(c.is_ascii_alphanumeric() || c == '_' || c == '.'));
            let (name, rest) = normalized.split_at(end.unwrap_or(normalized.len()));
            let rest = rest.trim_start();
            let has_operator = rest.starts_with('=') || rest.starts_with("to ");
            if name.is_empty() || !has_operator {
                let message = "a SET that can't be read: expected SET name = value";
                return Err(Diagnostic::error("42601", message));
            }
            // The value is case-sensitive, so it is read from the original statement after the first = or TO.
            let raw_value = value_as_written(statement).unwrap_or_default();
            if raw_value.eq_ignore_ascii_case("default") {
                return Ok(Reply { reported: self.reset(name), ..completed });
            }
            (name.to_string(), unquote(&raw_value))
        };
        let is_unsupported_encoding = name == "client_encoding"
            && !matches!(value.to_ascii_lowercase().as_str(), "utf8" | "utf-8" | "unicode" | "default");
        if is_unsupported_encoding {
            return Err(Diagnostic::error("0A000", format!("client_encoding {value} is not spoken here"))
                .hint("use UTF8"));
        }
        if value.len() > MAX_VALUE_BYTES {
            return Err(Diagnostic::error(
                "22023",
                format!("a value of over {MAX_VALUE_BYTES} bytes for \"{name}\""),
            ));
        }
        if let Some(hint) = name.strip_prefix("wheelfield.") {
            if !sql::HINT_NAMES.contains(&hint) {
                return Err(Diagnostic::error(
                    "42704",
                    format!("unrecognized configuration parameter \"{name}\""),
                )
                .hint(format!("known: {}", sql::HINT_NAMES.map(|h| format!("wheelfield.{h}")).join(", "))));
            }
            let mut parsed = Hints::default();
            parsed.set(hint, Cow::Borrowed(value.as_str()));
            if parsed.ignored > 0 {
                return Err(Diagnostic::error("22023", format!("invalid value for \"{name}\": \"{value}\""))
                    .hint("a number of 0 or more"));
            }
        }
        if !self.values.contains_key(&name) && self.values.len() >= MAX_SETTINGS {
            return Err(Diagnostic::error("53400", format!("over {MAX_SETTINGS} settings in one session"))
                .hint("RESET some of them"));
        }
        let reported = reported_name(&name);
        let default =
            REPORTED_PARAMETERS.iter().find(|(n, _)| n.eq_ignore_ascii_case(&name)).map(|(_, v)| *v);
        let is_default = default.is_some_and(|default| {
            let first = |text: &str| text.split(',').next().unwrap_or("").trim().to_ascii_lowercase();
            first(default) == first(&value)
        });
        let needs_no_warning = name.starts_with("wheelfield.")
            || name == "client_encoding"
            || is_default
            || SETTINGS_WITHOUT_WARNING.contains(&name.as_str());
        let mut notices = Vec::new();
        if !needs_no_warning {
            notices.push(Diagnostic::warning(
                "01000",
                format!("\"{name}\" is kept by the controller; engines do not see it"),
            ));
        }
        let reported = reported.map(|n| (n.to_string(), value.clone())).into_iter().collect();
        self.values.insert(name, value);
        Ok(Reply { notices, reported, ..completed })
    }
}

/// The name under which a setting is reported to the client, if it is.
fn reported_name(setting: &str) -> Option<&'static str> {
    let mut names = REPORTED_PARAMETERS.iter().map(|(name, _)| *name).chain(["application_name"]);
    names.find(|name| name.eq_ignore_ascii_case(setting))
}

/// The value of a SET statement with its case preserved: the text after the first = or TO.
fn value_as_written(statement: &str) -> Option<String> {
    let lower = statement.to_ascii_lowercase();
    let after_equals = lower.find('=').map(|at| at + 1);
    let after_to = lower.find(" to ").map(|at| at + 4);
    let start = after_equals.into_iter().chain(after_to).min()?;
    let all = sql::statements(&statement[start..]);
    Some(all.first().map_or("", |s| s.trim()).to_string())
}

/// Removes the single quotes around a value, and the escapes of quotes in it.
fn unquote(value: &str) -> String {
    let value = value.trim();
    let inner = value.strip_prefix('\'').and_then(|v| v.strip_suffix('\''));
    inner.map_or_else(|| value.to_string(), |v| v.replace("''", "'"))
}

/// Parses a duration as in PostgreSQL's settings, which is in milliseconds unless a unit follows.
fn parse_duration_ms(value: &str) -> Option<f64> {
    let value = value.trim();
    let end = value.find(|c: char| !(c.is_ascii_digit() || c == '.')).unwrap_or(value.len());
    let number: f64 = value[..end].parse().ok()?;
    let unit = match value[end..].trim() {
        "" | "ms" => 1.0,
        "s" => 1e3,
        "min" => 6e4,
        "h" => 3.6e6,
        _ => return None,
    };
    Some(number * unit)
}
