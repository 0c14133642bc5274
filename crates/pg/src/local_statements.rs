//! What a controller answers by itself: settings of the session, and what drivers ask at their start.
//!
//! Settings are kept and told again; they are not carried to engines. One that would change what an engine does
//! is taken with a warning that says so.

use crate::backend_messages::{Column, Diagnostic};
use crate::sql::{self, Hints};
use std::borrow::Cow;
use std::collections::BTreeMap;

/// The server version told to clients; drivers switch features by it.
pub const SERVER_VERSION: &str = "15.0 (wheelfield)";
/// Settings kept for a session at most, and bytes of a value.
pub const MOST_SETTINGS: usize = 64;
const LONGEST_VALUE: usize = 1024;
/// The type of what returns nothing.
const VOID: u32 = 2278;

/// Settings told at the start, and again as they change.
const REPORTED: [(&str, &str); 10] = [
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

/// Settings that change nothing an engine does, and so are taken without a warning.
const HARMLESS: [&str; 9] = [
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

/// An answer of the controller's own.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reply {
    /// Columns, where it has rows.
    pub columns: Vec<Column>,
    /// Rows of texts.
    pub rows: Vec<Vec<String>>,
    /// The tag of the completed command.
    pub tag: String,
    /// Notices and warnings.
    pub notices: Vec<Diagnostic>,
    /// A setting that clients are told of as it changes.
    pub reported: Option<(String, String)>,
}

/// The settings of a session.
#[derive(Clone, Debug)]
pub struct Settings {
    user: String,
    database: String,
    pid: i32,
    values: BTreeMap<String, String>,
}

impl Settings {
    /// The settings a session starts with. Of `given`, the first [`MOST_SETTINGS`] are kept.
    pub fn new<'a>(
        user: &str,
        database: &str,
        pid: i32,
        given: impl Iterator<Item = (&'a str, &'a str)>,
    ) -> Self {
        let kept = given.filter(|(_, value)| value.len() <= LONGEST_VALUE).take(MOST_SETTINGS);
        let values = kept.map(|(name, value)| (name.to_ascii_lowercase(), value.to_string())).collect();
        Settings { user: user.to_string(), database: database.to_string(), pid, values }
    }

    /// What a client is told at its start.
    pub fn reported(&self) -> Vec<(String, String)> {
        let standing = REPORTED.iter().map(|(name, usual)| {
            let value = self.values.get(&name.to_ascii_lowercase()).map_or(*usual, String::as_str);
            ((*name).to_string(), value.to_string())
        });
        let own = [
            ("application_name".to_string(), self.value("application_name")),
            ("session_authorization".to_string(), self.user.clone()),
            ("is_superuser".to_string(), "off".to_string()),
        ];
        standing.chain(own).collect()
    }

    fn value(&self, name: &str) -> String {
        let name = name.to_ascii_lowercase();
        let usual =
            || REPORTED.iter().find(|(n, _)| n.eq_ignore_ascii_case(&name)).map(|(_, v)| (*v).to_string());
        self.values.get(&name).cloned().or_else(usual).unwrap_or_else(|| match name.as_str() {
            "transaction_isolation" | "default_transaction_isolation" => "read committed".into(),
            "statement_timeout" | "lock_timeout" => "0".into(),
            "search_path" => "\"$user\", public".into(),
            "max_identifier_length" => "63".into(),
            "server_version_num" => "150000".into(),
            _ => String::new(),
        })
    }

    /// The hints that hold where a query gives none.
    pub fn hints(&self) -> Hints<'_> {
        let mut hints = Hints::default();
        for name in sql::HINT_NAMES {
            if let Some(value) = self.values.get(&format!("wheelfield.{name}")) {
                hints.set(name, Cow::Borrowed(value));
            }
        }
        if hints.due_ms.is_none() {
            hints.due_ms =
                self.values.get("statement_timeout").and_then(|v| milliseconds(v)).filter(|ms| *ms > 0.0);
        }
        hints
    }

    /// The columns that a statement of the controller's own will answer with.
    pub fn columns(&self, statement: &str) -> Vec<Column> {
        let mut copy = self.clone();
        copy.answer(statement).map(|reply| reply.columns).unwrap_or_default()
    }

    /// Answers a statement of kind [`sql::Kind::Local`].
    ///
    /// # Errors
    /// What a client is told of a statement that can't be followed.
    #[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
    pub fn answer(&mut self, statement: &str) -> Result<Reply, Diagnostic> {
        let text = sql::normalized(statement);
        let (first, rest) = text.split_once(' ').unwrap_or((text.as_str(), ""));
        let done = |tag: &str| Reply { tag: tag.to_string(), ..Reply::default() };
        let row = |name: &str, value: String| Reply {
            columns: vec![Column::text(name)],
            rows: vec![vec![value]],
            tag: "SELECT 1".to_string(),
            ..Reply::default()
        };
        match first {
            "set" => self.set(statement, rest),
            "reset" => {
                if matches!(rest, "all" | "") {
                    self.forget();
                } else {
                    self.values.remove(rest);
                }
                Ok(done("RESET"))
            }
            "discard" => match rest {
                "all" => {
                    self.forget();
                    Ok(done("DISCARD ALL"))
                }
                // Nothing of these is held here.
                "plans" => Ok(done("DISCARD PLANS")),
                "sequences" => Ok(done("DISCARD SEQUENCES")),
                "temp" | "temporary" => Ok(done("DISCARD TEMP")),
                other => Err(Diagnostic::error("42601", format!("syntax error at or near \"{other}\""))
                    .hint("known: DISCARD ALL, PLANS, SEQUENCES, TEMP")),
            },
            "deallocate" if matches!(rest, "all" | "prepare all") => Ok(done("DEALLOCATE ALL")),
            "deallocate" => Ok(done("DEALLOCATE")),
            "close" => Ok(done("CLOSE CURSOR ALL")),
            "unlisten" => Ok(done("UNLISTEN")),
            "show" => {
                let name = match rest {
                    "transaction isolation level" => "transaction_isolation",
                    "time zone" => "timezone",
                    "all" => return Ok(self.show_all()),
                    name => name,
                };
                let known = self.values.contains_key(name) || !self.value(name).is_empty();
                if !known && !name.contains('.') && !HARMLESS.contains(&name) {
                    let message = format!("unrecognized configuration parameter \"{name}\"");
                    return Err(Diagnostic::error("42704", message)
                        .hint("the controller knows only settings that were set"));
                }
                Ok(Reply { tag: "SHOW".into(), ..row(name, self.value(name)) })
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
                        type_oid: VOID,
                        type_size: 4,
                    }],
                    ..row("", String::new())
                },
                "session_user" => row("session_user", self.user.clone()),
                "current_user" => row("current_user", self.user.clone()),
                _ => row("current_setting", self.value("server_version_num")),
            }),
            other => {
                let warning = Diagnostic::warning("25P01", "there is no transaction in progress");
                let tag = if matches!(other, "commit" | "end") { "COMMIT" } else { "ROLLBACK" };
                Ok(Reply { notices: vec![warning], ..done(tag) })
            }
        }
    }

    /// All settings are as they were at the start, but for the label.
    fn forget(&mut self) {
        self.values.retain(|name, _| name == "application_name");
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

    /// `folded` is the statement after its `set`, in lower case; the value is read from the statement as written.
    #[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
    fn set(&mut self, statement: &str, folded: &str) -> Result<Reply, Diagnostic> {
        let done = Reply { tag: "SET".into(), ..Reply::default() };
        let folded = folded.strip_prefix("session ").or(folded.strip_prefix("local ")).unwrap_or(folded);
        if folded.starts_with("transaction ") || folded.starts_with("characteristics ") {
            let warning = Diagnostic::warning(
                "01000",
                "there are no transaction blocks here; the setting has no effect",
            );
            return Ok(Reply { notices: vec![warning], ..done });
        }
        let (name, value) = if let Some(zone) = folded.strip_prefix("time zone ") {
            ("timezone".to_string(), unquoted(zone))
        } else if let Some(encoding) = folded.strip_prefix("names ") {
            ("client_encoding".to_string(), unquoted(encoding))
        } else {
            let end = folded.find(|c: char| !(c.is_ascii_alphanumeric() || c == '_' || c == '.'));
            let (name, rest) = folded.split_at(end.unwrap_or(folded.len()));
            let rest = rest.trim_start();
            let operator = rest.starts_with('=') || rest.starts_with("to ");
            if name.is_empty() || !operator {
                let message = "a SET that can't be read: expected SET name = value";
                return Err(Diagnostic::error("42601", message));
            }
            // Case matters in the value, which follows the first = or TO of the statement as written.
            let written = value_as_written(statement).unwrap_or_default();
            (name.to_string(), unquoted(&written))
        };
        let encoding = name == "client_encoding"
            && !matches!(value.to_ascii_lowercase().as_str(), "utf8" | "utf-8" | "unicode" | "default");
        if encoding {
            return Err(Diagnostic::error("0A000", format!("client_encoding {value} is not spoken here"))
                .hint("use UTF8"));
        }
        if value.len() > LONGEST_VALUE {
            return Err(Diagnostic::error(
                "22023",
                format!("a value of over {LONGEST_VALUE} bytes for \"{name}\""),
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
            let mut probe = Hints::default();
            probe.set(hint, Cow::Borrowed(value.as_str()));
            if probe.ignored > 0 {
                return Err(Diagnostic::error("22023", format!("invalid value for \"{name}\": \"{value}\""))
                    .hint("a number of 0 or more"));
            }
        }
        if !self.values.contains_key(&name) && self.values.len() >= MOST_SETTINGS {
            return Err(Diagnostic::error("53400", format!("over {MOST_SETTINGS} settings in one session"))
                .hint("RESET some of them"));
        }
        let reported = REPORTED.iter().map(|(n, _)| *n).chain(["application_name"]);
        let reported = reported.into_iter().find(|n| n.eq_ignore_ascii_case(&name));
        let usual = REPORTED.iter().find(|(n, _)| n.eq_ignore_ascii_case(&name)).map(|(_, v)| *v);
        let same = usual.is_some_and(|usual| {
            let first = |text: &str| text.split(',').next().unwrap_or("").trim().to_ascii_lowercase();
            first(usual) == first(&value)
        });
        let harmless = name.starts_with("wheelfield.")
            || name == "client_encoding"
            || same
            || HARMLESS.contains(&name.as_str());
        let mut notices = Vec::new();
        if !harmless {
            notices.push(Diagnostic::warning(
                "01000",
                format!("\"{name}\" is kept by the controller; engines do not see it"),
            ));
        }
        let reported = reported.map(|n| (n.to_string(), value.clone()));
        self.values.insert(name, value);
        Ok(Reply { notices, reported, ..done })
    }
}

fn value_as_written(statement: &str) -> Option<String> {
    let lower = statement.to_ascii_lowercase();
    let equals = lower.find('=').map(|at| at + 1);
    let to = lower.find(" to ").map(|at| at + 4);
    let start = equals.into_iter().chain(to).min()?;
    let all = sql::statements(&statement[start..]);
    Some(all.first().map_or("", |s| s.trim()).to_string())
}

fn unquoted(value: &str) -> String {
    let value = value.trim();
    let inner = value.strip_prefix('\'').and_then(|v| v.strip_suffix('\''));
    inner.map_or_else(|| value.to_string(), |v| v.replace("''", "'"))
}

/// A time as PostgreSQL's settings write it: milliseconds, or with a unit.
fn milliseconds(value: &str) -> Option<f64> {
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
