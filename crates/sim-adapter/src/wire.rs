//! Reading and printing the wire. No decision is made here and no figure of the mechanism stands here.

use base64::{engine::general_purpose::STANDARD, Engine as _};
use std::collections::BTreeMap;
use wheelfield::interface::*;
use wheelfield_settings::{engine_id, message, position, take_figure, words, Names};

/// The parts of one line: its first word and its `name=value` fields.
pub struct Line<'a> {
    /// The first word.
    pub word: &'a str,
    fields: Vec<(&'a str, &'a str)>,
}

impl<'a> Line<'a> {
    /// Takes a line apart. A field named in `text_fields` runs to the end of the line.
    pub fn parse(line: &'a str) -> Result<Line<'a>, String> {
        const TEXT_FIELDS: [&str; 2] = ["env", "body_text"];
        let (word, mut rest) = line.split_once(' ').unwrap_or((line, ""));
        let mut fields = Vec::new();
        while !rest.is_empty() {
            let (name, after) = rest
                .split_once('=')
                .ok_or_else(|| format!("expected name=value after '{word}', found '{}'", clip(rest)))?;
            let name = name.trim_start();
            let end = if TEXT_FIELDS.contains(&name) { None } else { after.split_once(' ') };
            let (value, tail) = end.unwrap_or((after, ""));
            fields.push((name, value));
            rest = tail;
        }
        Ok(Line { word, fields })
    }

    fn get(&self, name: &str) -> Option<&'a str> {
        self.fields.iter().find(|(n, _)| *n == name).map(|(_, v)| *v)
    }

    fn parsed<T: std::str::FromStr>(&self, name: &str) -> Result<Option<T>, String> {
        self.get(name)
            .map(|v| v.parse().map_err(|_| format!("{}: '{name}' is not a number: '{}'", self.word, clip(v))))
            .transpose()
    }

    /// A field that must be there.
    pub fn text(&self, name: &str) -> Result<&'a str, String> {
        self.get(name).ok_or_else(|| format!("{}: expected a field '{name}'", self.word))
    }

    /// A number that must be there.
    pub fn number<T: std::str::FromStr>(&self, name: &str) -> Result<T, String> {
        self.parsed(name)?.ok_or_else(|| format!("{}: expected a field '{name}'", self.word))
    }

    /// The number of the attempt that the line speaks of, if it does.
    pub fn attempt(&self) -> Option<usize> {
        self.get("leg").and_then(|n| n.parse().ok())
    }

    fn real(&self, name: &str) -> Result<Option<f64>, String> {
        match self.parsed::<f64>(name)? {
            Some(x) if !x.is_finite() => Err(format!("{}: '{name}' is not a finite number", self.word)),
            other => Ok(other),
        }
    }

    fn micros(&self, name: &str) -> Result<Option<Micros>, String> {
        Ok(self.parsed::<i64>(name)?.map(Micros))
    }

    fn query_id(&self) -> Result<QueryId, String> {
        let text = self.text("job")?;
        u64::from_str_radix(text, 16)
            .ok()
            .filter(|_| text.len() == 16)
            .map(QueryId)
            .ok_or_else(|| format!("{}: 'job' is not 16 hex digits: '{}'", self.word, clip(text)))
    }
}

fn clip(text: &str) -> String {
    text.chars().take(60).collect()
}

/// One line of a `list`, as it came.
#[derive(Clone)]
pub struct ListEntry {
    name: String,
    zone: String,
    kind: String,
    cell: i64,
    status: Status,
    started: Option<Micros>,
}

impl ListEntry {
    /// Reads an `entry` line.
    pub fn parse(line: &Line) -> Result<ListEntry, String> {
        if line.word != "entry" {
            return Err(format!("expected an 'entry' line of the list, found '{}'", clip(line.word)));
        }
        Ok(ListEntry {
            name: line.text("executor")?.to_string(),
            zone: line.get("locality").unwrap_or("").to_string(),
            kind: line.get("model").unwrap_or("").to_string(),
            cell: line.parsed("bay")?.unwrap_or(0),
            status: match line.text("readiness")? {
                "up" => Status::Up,
                "draining" => Status::Draining,
                "removed" => Status::Removed,
                other => return Err(format!("entry: unknown readiness '{}'", clip(other))),
            },
            started: line.micros("up_since_us")?.filter(|t| t.0 != 0),
        })
    }
}

/// The names of one instance, as the wire uses them.
pub struct Wording(pub Names);

impl Wording {
    /// Reads the settings of an `up` line.
    pub fn settings(env: &str) -> Result<(Wording, Settings), String> {
        let v = serde_json::from_str(env).map_err(|e| format!("up: 'env' is not JSON: {e}"))?;
        let (names, settings) = Names::settings(&v).map_err(|e| format!("up: {e}"))?;
        Ok((Wording(names), settings))
    }

    /// Translates an event line. `None` for an event of no use to the module.
    /// `lists` holds the numbered lists as they stand at this line.
    pub fn event(
        &mut self,
        line: &Line,
        lists: &BTreeMap<u32, Vec<ListEntry>>,
    ) -> Result<Option<Event>, String> {
        Ok(Some(match line.word {
            "fleet" => return self.fleet(line, lists).map(Some),
            "query" => Event::Arrived(Query {
                id: line.query_id()?,
                class: self.known(&self.0.classes, line.text("tier_class")?, "class")?,
                tenant: match line.get("realm") {
                    None | Some("0") | Some("") => None,
                    Some(name) => Some(self.known(&self.0.tenants, name, "tenant")?),
                },
                key: line.get("relation").filter(|k| !k.is_empty()).map(str::to_string),
                deadline: Micros(line.number("due_us")?),
                work_hint: line.real("estimate_us")?.filter(|us| *us > 0.0).map(|us| us / 1e6),
                memory_hint: line.real("footprint_mb")?.filter(|mb| *mb > 0.0),
                tables: line.real("data_group")?.unwrap_or(0.0) as u64,
            }),
            "first_byte" => Event::AnswerStarted(line.query_id()?),
            "change" => Event::AttemptUpdated {
                query: line.query_id()?,
                attempt: line.number("leg")?,
                update: match (line.number::<i64>("sort")?, line.real("x")?.unwrap_or(0.0)) {
                    (1, x) => AttemptUpdate::Progress(x),
                    (2, x) => AttemptUpdate::Spills(x),
                    (3, x) if x < 2.0 => AttemptUpdate::WaitsForMemory,
                    (3, _) => AttemptUpdate::WaitsForLoad,
                    _ => AttemptUpdate::Other,
                },
            },
            "done" => Event::AttemptEnded(AttemptEnd {
                query: line.query_id()?,
                attempt: line.number("leg")?,
                outcome: outcome(line)?,
                query_over: matches!(line.get("last"), Some("1") | Some("true")),
                elapsed: line.micros("rtt_us")?.unwrap_or_default(),
                reported_work: line
                    .parsed::<u64>("used_up")?
                    .filter(|used| *used > 0)
                    .map(|used| (used / 4096) as f64 / 1e3),
                report: report(line)?,
            }),
            "expired" => Event::Abandoned(line.query_id()?),
            "tick_due" => Event::TimerFired(line.number("handle")?),
            "inbox" => Event::PeerReports(words(
                self.0.engines.keys(),
                &STANDARD.decode(line.text("blob")?).unwrap_or_default(),
            )),
            "status_back" => Event::ProbeEnded {
                engine: engine_id(line.text("executor")?),
                outcome: outcome(line)?,
                report: report(line)?,
            },
            _ => return Ok(None),
        }))
    }

    fn known(&self, names: &[String], name: &str, what: &str) -> Result<usize, String> {
        position(names, name).ok_or_else(|| format!("query: a {what} not in the settings: '{}'", clip(name)))
    }

    fn fleet(&mut self, line: &Line, lists: &BTreeMap<u32, Vec<ListEntry>>) -> Result<Event, String> {
        let mode = line.text("mode")?;
        if mode == "unavailable" {
            return Ok(Event::ListUnavailable);
        }
        let bank: u32 = line.number("bank")?;
        let list = lists.get(&bank).ok_or_else(|| format!("fleet: no list numbered {bank} has come"))?;
        let mut entries = Vec::new();
        for e in list {
            let engine = self.0.engine(&e.name);
            entries.push(EngineEntry {
                engine,
                zone: self.0.zone(&e.zone),
                kind: self.0.kind(&e.kind),
                cell: e.cell,
                status: e.status,
                started_at: e.started,
            });
        }
        match mode {
            "update" => Ok(Event::EngineChanges(entries)),
            "replace" | "restored" => Ok(Event::EngineList(entries)),
            other => Err(format!("fleet: unknown mode '{}'", clip(other))),
        }
    }

    /// Prints an action as a line.
    pub fn print(&self, action: &Action, out: &mut String) {
        use std::fmt::Write;
        let engine = |e: &EngineId| self.0.engines.get(e).map(String::as_str).unwrap_or("-");
        let written = match action {
            Action::Send { query, engine: e, timeout: time_out } => {
                writeln!(
                    out,
                    "submit_to job={:016x} executor={} try_for_us={}",
                    query.0,
                    engine(e),
                    time_out.0
                )
            }
            Action::SetOptions { query, grant_mb, priority } => writeln!(
                out,
                "set_terms job={:016x} memory_grant={} weight_class={priority}",
                query.0,
                grant_mb.round()
            ),
            Action::Cancel { query, attempt } => writeln!(out, "revoke job={:016x} leg={attempt}", query.0),
            Action::Reject { query, retry_after } => {
                writeln!(out, "reject job={:016x} backoff_us={}", query.0, retry_after.0)
            }
            Action::Fail { query } => writeln!(out, "respond_error job={:016x}", query.0),
            Action::SetTimer { token, after } => {
                writeln!(out, "timer handle={token} sleep_for_us={}", after.0)
            }
            Action::Probe(e) => writeln!(out, "inspect executor={}", engine(e)),
            Action::ShareReports(words) => {
                writeln!(out, "signal whom=all blob={}", STANDARD.encode(message(words)))
            }
            Action::Subscribe => writeln!(out, "track want=1"),
            Action::Log(text) => writeln!(out, "write_log body_text={}", text.replace(['\n', '\r'], " ")),
        };
        debug_assert!(written.is_ok());
    }
}

fn outcome(line: &Line) -> Result<Outcome, String> {
    Ok(match line.text("code")? {
        "done" => Outcome::Served,
        "err" => Outcome::Error,
        "busy" => Outcome::Full,
        "etimedout" => Outcome::TimedOut,
        "econnrefused" => Outcome::ConnectFailed,
        "econnreset" => Outcome::Reset,
        "ecanceled" => Outcome::Cancelled,
        "skipped" => Outcome::NeverSent,
        other => return Err(format!("{}: unknown code '{}'", line.word, clip(other))),
    })
}

fn report(line: &Line) -> Result<LoadReport, String> {
    let mut report = LoadReport::default();
    for pair in line.get("health_info").unwrap_or("").split(',').filter(|p| !p.is_empty()) {
        let (name, value) = pair.split_once(':').ok_or_else(|| {
            format!("{}: expected name:value in health_info, found '{}'", line.word, clip(pair))
        })?;
        let number = value.parse::<f64>().ok().filter(|x| x.is_finite());
        let number =
            number.ok_or_else(|| format!("{}: health_info {} is not a number", line.word, clip(name)))?;
        take_figure(&mut report, name, number);
    }
    Ok(report)
}
