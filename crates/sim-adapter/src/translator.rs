//! Translates lines of the simulator's protocol to events of the policy module, and the module's actions to lines. It makes no
//! decisions and contains no parameters of the policy.

use crate::engine_list::EngineLists;
use crate::line::{shorten, Line, LineError};
use base64::{engine::general_purpose::STANDARD, Engine as _};
use std::fmt::Write;
use wheelfield::interface::*;
use wheelfield_settings::{
    decode_load_reports, encode_load_reports, engine_id, parse_settings, position, set_load_metric,
    Names,
};

/// Placeholder in a line for an engine whose name is unknown.
const UNKNOWN_ENGINE: &str = "-";
/// The field `used_up` is in units of 1/4096 of a thread-millisecond. Fractions of a millisecond are dropped.
const USED_UP_UNITS_PER_MILLISECOND: u64 = 4096;
const MILLISECONDS_PER_SECOND: f64 = 1e3;
const MICROS_PER_SECOND: f64 = 1e6;

/// Translates for one instance, with the names from its settings and engine lists.
pub struct Translator {
    /// Names of classes, tenants, zones and engine kinds from the settings, and of engines.
    pub names: Names,
}

impl Translator {
    /// Parses the settings in an `up` line.
    ///
    /// # Errors
    /// [`LineError::SettingsNotJson`] or [`LineError::Settings`].
    pub fn from_settings(env: &str) -> Result<(Translator, Settings), LineError> {
        let json = serde_json::from_str(env).map_err(LineError::SettingsNotJson)?;
        let (names, settings) = parse_settings(&json).map_err(LineError::Settings)?;
        Ok((Translator { names }, settings))
    }

    /// Translates an event line. Returns `None` for an event that the module does not handle. `lists` are the engine lists
    /// received before this line.
    ///
    /// # Errors
    /// [`LineError`] if a field is missing, malformed or unknown.
    pub fn decode_event(
        &mut self,
        line: &Line,
        lists: &EngineLists,
    ) -> Result<Option<Event>, LineError> {
        Ok(Some(match line.keyword {
            "fleet" => self.decode_engine_list(line, lists)?,
            "query" => Event::Arrived(self.decode_query(line)?),
            "first_byte" => Event::AnswerStarted(line.query_id()?),
            "change" => Event::AttemptUpdated {
                query: line.query_id()?,
                attempt: line.number("leg")?,
                update: decode_update(line)?,
            },
            "done" => Event::AttemptEnded(decode_attempt_end(line)?),
            "expired" => Event::Abandoned(line.query_id()?),
            "tick_due" => Event::TimerFired(line.number("handle")?),
            "inbox" => {
                let message = STANDARD.decode(line.text("blob")?).unwrap_or_default();
                Event::PeerReports(decode_load_reports(self.names.engines.keys(), &message))
            }
            "status_back" => Event::ProbeEnded {
                engine: engine_id(line.text("executor")?),
                outcome: decode_outcome(line)?,
                report: decode_load_report(line)?,
            },
            _ => return Ok(None),
        }))
    }

    fn decode_query(&self, line: &Line) -> Result<Query, LineError> {
        let known = |what, names: &[String], name: &str| {
            position(names, name).ok_or_else(|| LineError::UnknownName {
                what,
                found: shorten(name),
            })
        };
        Ok(Query {
            id: line.query_id()?,
            class: known("class", &self.names.classes, line.text("tier_class")?)?,
            tenant: match line.optional_text("realm") {
                None | Some("0") | Some("") => None,
                Some(name) => Some(known("tenant", &self.names.tenants, name)?),
            },
            key: line
                .optional_text("relation")
                .filter(|key| !key.is_empty())
                .map(str::to_string),
            deadline: Micros(line.number("due_us")?),
            work_hint: line
                .optional_real("estimate_us")?
                .filter(|us| *us > 0.0)
                .map(|us| us / MICROS_PER_SECOND),
            memory_hint: line.optional_real("footprint_mb")?.filter(|mb| *mb > 0.0),
            tables: line.optional_real("data_group")?.unwrap_or(0.0) as u64,
        })
    }

    fn decode_engine_list(&mut self, line: &Line, lists: &EngineLists) -> Result<Event, LineError> {
        let mode = line.text("mode")?;
        if mode == "unavailable" {
            return Ok(Event::ListUnavailable);
        }
        let list_number: u32 = line.number("bank")?;
        let list = lists
            .get(&list_number)
            .ok_or(LineError::UnknownList { list_number })?;
        let entries = list
            .iter()
            .map(|entry| entry.resolve(&mut self.names))
            .collect();
        match mode {
            "update" => Ok(Event::EngineChanges(entries)),
            "replace" | "restored" => Ok(Event::EngineList(entries)),
            other => Err(LineError::UnknownListMode {
                found: shorten(other),
            }),
        }
    }

    /// Appends the line for an action to `out`.
    pub fn encode_action(&self, action: &Action, out: &mut String) {
        let write_result = match action {
            Action::Send {
                query,
                engine,
                timeout,
            } => {
                let (engine, timeout) = (self.engine_name(engine), timeout.0);
                writeln!(
                    out,
                    "submit_to job={:016x} executor={engine} try_for_us={timeout}",
                    query.0
                )
            }
            Action::SetOptions {
                query,
                grant_mb,
                priority,
            } => {
                let grant = grant_mb.round();
                writeln!(
                    out,
                    "set_terms job={:016x} memory_grant={grant} weight_class={priority}",
                    query.0
                )
            }
            Action::Cancel { query, attempt } => {
                writeln!(out, "revoke job={:016x} leg={attempt}", query.0)
            }
            Action::Reject { query, retry_after } => {
                writeln!(
                    out,
                    "reject job={:016x} backoff_us={}",
                    query.0, retry_after.0
                )
            }
            Action::Fail { query } => writeln!(out, "respond_error job={:016x}", query.0),
            Action::SetTimer { token, after } => {
                writeln!(out, "timer handle={token} sleep_for_us={}", after.0)
            }
            Action::Probe(engine) => writeln!(out, "inspect executor={}", self.engine_name(engine)),
            Action::ShareReports(reports) => {
                writeln!(
                    out,
                    "signal whom=all blob={}",
                    STANDARD.encode(encode_load_reports(reports))
                )
            }
            Action::Subscribe => writeln!(out, "track want=1"),
            Action::Log(text) => writeln!(
                out,
                "write_log body_text={}",
                text.replace(['\n', '\r'], " ")
            ),
        };
        debug_assert!(write_result.is_ok(), "writing to a String cannot fail");
    }

    fn engine_name(&self, engine: &EngineId) -> &str {
        self.names
            .engines
            .get(engine)
            .map_or(UNKNOWN_ENGINE, String::as_str)
    }
}

fn decode_update(line: &Line) -> Result<AttemptUpdate, LineError> {
    let update_kind = line.number::<i64>("sort")?;
    let value = line.optional_real("x")?.unwrap_or(0.0);
    Ok(match update_kind {
        1 => AttemptUpdate::Progress(value),
        2 => AttemptUpdate::Spills(value),
        3 if value < 2.0 => AttemptUpdate::WaitsForMemory,
        3 => AttemptUpdate::WaitsForLoad,
        _ => AttemptUpdate::Other,
    })
}

fn decode_attempt_end(line: &Line) -> Result<AttemptEnd, LineError> {
    Ok(AttemptEnd {
        query: line.query_id()?,
        attempt: line.number("leg")?,
        outcome: decode_outcome(line)?,
        query_over: matches!(line.optional_text("last"), Some("1") | Some("true")),
        elapsed: line.optional_micros("rtt_us")?.unwrap_or_default(),
        reported_work: line
            .optional_number::<u64>("used_up")?
            .filter(|used| *used > 0)
            .map(|used| (used / USED_UP_UNITS_PER_MILLISECOND) as f64 / MILLISECONDS_PER_SECOND),
        report: decode_load_report(line)?,
    })
}

fn decode_outcome(line: &Line) -> Result<Outcome, LineError> {
    Ok(match line.text("code")? {
        "done" => Outcome::Served,
        "err" => Outcome::Error,
        "busy" => Outcome::Full,
        "etimedout" => Outcome::TimedOut,
        "econnrefused" => Outcome::ConnectFailed,
        "econnreset" => Outcome::Reset,
        "ecanceled" => Outcome::Cancelled,
        "skipped" => Outcome::NeverSent,
        other => {
            return Err(LineError::UnknownOutcome {
                keyword: line.keyword.to_string(),
                found: shorten(other),
            })
        }
    })
}

fn decode_load_report(line: &Line) -> Result<LoadReport, LineError> {
    let mut report = LoadReport::default();
    let pairs = line.optional_text("health_info").unwrap_or("").split(',');
    for pair in pairs.filter(|pair| !pair.is_empty()) {
        let Some((metric, value)) = pair.split_once(':') else {
            return Err(LineError::NotAMetric {
                keyword: line.keyword.to_string(),
                found: shorten(pair),
            });
        };
        let Some(value) = value.parse::<f64>().ok().filter(|value| value.is_finite()) else {
            let (keyword, metric) = (line.keyword.to_string(), shorten(metric));
            return Err(LineError::MetricNotANumber { keyword, metric });
        };
        set_load_metric(&mut report, metric, value);
    }
    Ok(report)
}
