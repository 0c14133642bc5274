//! Reading and printing the wire. No decision is made here and no figure of the mechanism stands here.

use base64::{engine::general_purpose::STANDARD, Engine as _};
use serde_json::Value;
use std::collections::BTreeMap;
use wheelfield::interface::*;

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

/// The names one instance knows, and the numbers the module knows them by.
pub struct Names {
    classes: Vec<String>,
    tenants: Vec<String>,
    zones: Vec<String>,
    kinds: Vec<String>,
    engines: BTreeMap<EngineId, String>,
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}

/// The same number for the same name at every instance.
fn engine_id(name: &str) -> EngineId {
    EngineId(
        name.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)),
    )
}

fn strings(value: &Value) -> Vec<String> {
    let items = value.as_array().map(Vec::as_slice).unwrap_or(&[]);
    items.iter().filter_map(|v| v.as_str().map(str::to_string)).collect()
}

fn reals(value: &Value) -> Vec<f64> {
    let items = value.as_array().map(Vec::as_slice).unwrap_or(&[]);
    items.iter().map(|v| v.as_f64().unwrap_or(0.0)).collect()
}

fn micros(value: &Value) -> Micros {
    Micros(value.as_i64().or_else(|| value.as_f64().map(|x| x as i64)).unwrap_or(0))
}

fn real(value: &Value) -> f64 {
    value.as_f64().unwrap_or(0.0)
}

fn flag(value: &Value) -> bool {
    value.as_bool().unwrap_or(false)
}

impl Names {
    /// Reads the settings of an `up` line.
    pub fn settings(env: &str) -> Result<(Names, Settings), String> {
        let v: Value = serde_json::from_str(env).map_err(|e| format!("up: 'env' is not JSON: {e}"))?;
        let named = |key: &str| -> Vec<String> {
            let items = v[key].as_array().map(Vec::as_slice).unwrap_or(&[]);
            items.iter().map(|g| g["name"].as_str().unwrap_or("").to_string()).collect()
        };
        let names = Names {
            classes: named("grades"),
            tenants: named("tenants"),
            zones: strings(&v["zones"]),
            kinds: strings(&v["skus"]),
            engines: BTreeMap::new(),
        };
        let (limits, info, safety) = (&v["ceilings"], &v["family_info"], &v["safety"]);
        let grades = v["grades"].as_array().map(Vec::as_slice).unwrap_or(&[]);
        let mut classes = Vec::new();
        for (i, g) in grades.iter().enumerate() {
            classes.push(names.class(g, i, info)?);
        }
        let settings = Settings {
            gateways: real(&v["balancers"]),
            index: real(&v["me"]),
            zone: v["my_zone"].as_str().and_then(|z| position(&names.zones, z)),
            classes,
            allowances: v["tenants"]
                .as_array()
                .map(|t| t.iter().map(|t| real(&t["allowance_per_s"])).collect())
                .unwrap_or_default(),
            cores: reals(&info["cpu_of_kind"]),
            memory_mb: reals(&info["memory_by_kind_mb"]),
            max_grant_share: real(&info["max_grant_share"]),
            waits: info["when_short"] == "wait",
            pages: info["when_short"] == "page",
            grants: flag(&info["grants"]),
            priorities: flag(&info["lanes_count"]),
            bills: flag(&info["bills"]),
            note_every: micros(&info["tells_every_us"]),
            cancel: flag(&limits["cancel"]),
            probes: flag(&limits["probes"]),
            peers: flag(&limits["peer_messages"]),
            probe_price: real(&v["charges"]["probe"]),
            message_price: real(&v["charges"]["peer"]) * 1024.0 / MESSAGE_UNIT,
            reports: v["telemetry"]["how"] != "none",
            reports_utilisation: strings(&v["telemetry"]["columns"]).iter().any(|c| c == "cpu_share"),
            reports_by_probe: v["telemetry"]["how"] == "probe",
            subscribe: v["registry_mode"] == "subscribe",
            second_copies: flag(&limits["second_copies"]),
            max_attempts: limits["send_cap"].as_u64().unwrap_or(0) as usize,
            max_retry_after: if flag(&limits["retry_after"]) {
                micros(&limits["max_retry_after_us"])
            } else {
                Micros(0)
            },
            cross_zone_price: real(&v["charges"]["cross_zone"]),
            cold_from: real(&safety["cold_from"]),
            cold_for: micros(&safety["ramp_time_us"]),
            fall_multiple: real(&safety["tip_multiple"]),
            fall_span: micros(&safety["fall_us"]),
            order_pause: micros(&safety["order_pause_us"]),
            attempt_budget: safety.get("resend_ratio").or(safety.get("extra_free")).map(|_| AttemptBudget {
                free: real(&safety["extra_free"]),
                share: real(&safety["resend_ratio"]),
                span: micros(&safety["budget_span_us"]),
            }),
        };
        Ok((names, settings))
    }

    fn class(&self, g: &Value, index: usize, info: &Value) -> Result<Class, String> {
        let open_to = |key: &str, all: &[String]| -> (Vec<usize>, bool) {
            let named = strings(&g[key]);
            let known: Vec<usize> = named.iter().filter_map(|n| position(all, n)).collect();
            let nowhere = !named.is_empty() && known.is_empty();
            (known, nowhere)
        };
        let (zones, no_zone) = open_to("zones_open", &self.zones);
        let (kinds, no_kind) = open_to("bound_to", &self.kinds);
        Ok(Class {
            aim: micros(&g["on_time_us"]),
            aim_stretch: real(&g["aim_stretch"]),
            deadline: micros(&g["give_up_us"]),
            worth: real(&g["gain"]),
            late_value: real(&g["late_value"]),
            effect: match g["effect"].as_str() {
                Some("repeatable") => Effect::Repeatable,
                Some("by_key") => Effect::ByKey,
                Some("once") => Effect::Once,
                other => return Err(format!("up: unknown effect {other:?} of class {index}")),
            },
            scope: match g["dedup_scope"].as_str() {
                Some("zone") => DedupScope::Zone,
                Some("cell") => DedupScope::Cell,
                _ => DedupScope::All,
            },
            window: micros(&g["window_us"]),
            in_order: flag(&g["in_order"]),
            kinds,
            zones,
            nowhere: no_zone || no_kind,
            threads: info["parallelism"][index].as_f64().unwrap_or(1.0),
            is_load: flag(&info["writes_tables"][index]),
            waits_for_loads: flag(&info["yields_to_loads"][index]),
        })
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
                class: self.known(&self.classes, line.text("tier_class")?, "class")?,
                tenant: match line.get("realm") {
                    None | Some("0") | Some("") => None,
                    Some(name) => Some(self.known(&self.tenants, name, "tenant")?),
                },
                key: line.get("relation").filter(|k| !k.is_empty()).map(str::to_string),
                due: Micros(line.number("due_us")?),
                work_hint: line.real("estimate_us")?.filter(|us| *us > 0.0).map(|us| us / 1e6),
                memory_hint: line.real("footprint_mb")?.filter(|mb| *mb > 0.0),
                tables: line.real("data_group")?.unwrap_or(0.0) as u64,
            }),
            "first_byte" => Event::AnswerBegan(line.query_id()?),
            "change" => Event::Noted {
                query: line.query_id()?,
                attempt: line.number("leg")?,
                note: match (line.number::<i64>("sort")?, line.real("x")?.unwrap_or(0.0)) {
                    (1, x) => Note::Progress(x),
                    (2, x) => Note::Spills(x),
                    (3, x) if x < 2.0 => Note::WaitsForMemory,
                    (3, _) => Note::WaitsForLoad,
                    _ => Note::Other,
                },
            },
            "done" => Event::Ended(Ending {
                query: line.query_id()?,
                attempt: line.number("leg")?,
                outcome: outcome(line)?,
                last: matches!(line.get("last"), Some("1") | Some("true")),
                took: line.micros("rtt_us")?.unwrap_or_default(),
                billed_work: line
                    .parsed::<u64>("used_up")?
                    .filter(|used| *used > 0)
                    .map(|used| (used / 4096) as f64 / 1e3),
                report: report(line)?,
            }),
            "expired" => Event::Departed(line.query_id()?),
            "tick_due" => Event::TimerDue(line.number("handle")?),
            "inbox" => Event::Told(self.words(&STANDARD.decode(line.text("blob")?).unwrap_or_default())),
            "status_back" => Event::Probed {
                engine: engine_id(line.text("executor")?),
                outcome: outcome(line)?,
                report: report(line)?,
            },
            _ => return Ok(None),
        }))
    }

    /// Reads a message. What is unreadable, or of an engine that no list has named, is left out.
    fn words(&self, bytes: &[u8]) -> Vec<Word> {
        let Some((mask, mut rest)) = bytes.split_first() else { return Vec::new() };
        let mut words = Vec::new();
        let length = 3 + FIELDS.iter().filter(|(bit, _)| mask & bit != 0).count();
        while rest.len() >= length {
            let (word, tail) = rest.split_at(length);
            rest = tail;
            let mut values = word[3..].iter();
            let mut field = |i: usize| {
                let (bit, unit) = FIELDS[i];
                (mask & bit != 0).then(|| values.next().map(|b| f64::from(*b) * unit)).flatten()
            };
            let report = Report {
                utilisation: field(0),
                in_flight: field(1),
                queue: field(2),
                memory: field(3),
                disks: field(4),
            };
            let named = self.engines.keys().find(|e| e.0.to_le_bytes()[..3] == word[..3]);
            words.extend(named.map(|&engine| Word { engine, report }));
        }
        words
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
            let engine = engine_id(&e.name);
            self.engines.insert(engine, e.name.clone());
            entries.push(EngineEntry {
                engine,
                zone: position(&self.zones, &e.zone).unwrap_or(usize::MAX),
                kind: position(&self.kinds, &e.kind).unwrap_or(usize::MAX),
                cell: e.cell,
                status: e.status,
                started: e.started,
            });
        }
        match mode {
            "update" => Ok(Event::EngineChanges(entries)),
            "replace" | "restored" => Ok(Event::EngineList(entries)),
            other => Err(format!("fleet: unknown mode '{}'", clip(other))),
        }
    }

    /// The names of the classes and of the tenants, by position.
    pub fn lists(&self) -> (Vec<String>, Vec<String>) {
        (self.classes.clone(), self.tenants.clone())
    }

    /// The engines named so far.
    pub fn engines(&self) -> impl Iterator<Item = (EngineId, String)> + '_ {
        self.engines.iter().map(|(id, name)| (*id, name.clone()))
    }

    /// Prints an action as a line.
    pub fn print(&self, action: &Action, out: &mut String) {
        use std::fmt::Write;
        let engine = |e: &EngineId| self.engines.get(e).map(String::as_str).unwrap_or("-");
        let written = match action {
            Action::Send { query, engine: e, time_out } => {
                writeln!(
                    out,
                    "submit_to job={:016x} executor={} try_for_us={}",
                    query.0,
                    engine(e),
                    time_out.0
                )
            }
            Action::Terms { query, grant_mb, priority } => writeln!(
                out,
                "set_terms job={:016x} memory_grant={} weight_class={priority}",
                query.0,
                grant_mb.round()
            ),
            Action::Cancel { query, attempt } => writeln!(out, "revoke job={:016x} leg={attempt}", query.0),
            Action::Refuse { query, retry_after } => {
                writeln!(out, "reject job={:016x} backoff_us={}", query.0, retry_after.0)
            }
            Action::Fail { query } => writeln!(out, "respond_error job={:016x}", query.0),
            Action::Timer { token, after } => writeln!(out, "timer handle={token} sleep_for_us={}", after.0),
            Action::Probe(e) => writeln!(out, "inspect executor={}", engine(e)),
            Action::Tell(words) => {
                writeln!(out, "signal whom=all blob={}", STANDARD.encode(message(words)))
            }
            Action::Subscribe => writeln!(out, "track want=1"),
            Action::Log(text) => writeln!(out, "write_log body_text={}", text.replace(['\n', '\r'], " ")),
        };
        debug_assert!(written.is_ok());
    }
}

/// The figures that a message may carry of each engine, one byte each: a bit of its first byte, and the unit.
const FIELDS: [(u8, f64); 5] = [(1, 1.0 / 64.0), (2, 1.0), (4, 1.0), (8, 1.0 / 64.0), (16, 1.0 / 64.0)];
/// The bytes that the price of a message is for, and the longest message.
const MESSAGE_UNIT: f64 = 256.0;

/// A message: what it carries, then for each engine three bytes of its number and its figures. All words of
/// one message carry the same figures; a word that does not is left out, as is what exceeds its length.
fn message(words: &[Word]) -> Vec<u8> {
    let figures = |w: &Word| {
        let r = &w.report;
        [r.utilisation, r.in_flight, r.queue, r.memory, r.disks]
    };
    let mask_of = |w: &Word| {
        let told = figures(w).into_iter().zip(FIELDS).filter(|(x, _)| x.is_some());
        told.fold(0, |mask, (_, (bit, _))| mask | bit)
    };
    let mask = words.first().map_or(0, mask_of);
    let mut bytes = vec![mask];
    for w in words.iter().filter(|w| mask_of(w) == mask) {
        bytes.extend(&w.engine.0.to_le_bytes()[..3]);
        let told = figures(w).into_iter().zip(FIELDS).filter_map(|(x, (_, unit))| Some((x? / unit).round()));
        bytes.extend(told.map(|x| x.clamp(0.0, 255.0) as u8));
    }
    bytes.truncate(MESSAGE_UNIT as usize);
    bytes
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
        "skipped" => Outcome::Skipped,
        other => return Err(format!("{}: unknown code '{}'", line.word, clip(other))),
    })
}

fn report(line: &Line) -> Result<Report, String> {
    let mut report = Report::default();
    for pair in line.get("health_info").unwrap_or("").split(',').filter(|p| !p.is_empty()) {
        let (name, value) = pair.split_once(':').ok_or_else(|| {
            format!("{}: expected name:value in health_info, found '{}'", line.word, clip(pair))
        })?;
        let number = value.parse::<f64>().ok().filter(|x| x.is_finite());
        let number =
            number.ok_or_else(|| format!("{}: health_info {} is not a number", line.word, clip(name)))?;
        match name {
            "cpu_share" => report.utilisation = Some(number),
            "busy_reqs" => report.in_flight = Some(number),
            "pending" => report.queue = Some(number),
            "x0" => report.memory = Some(number),
            "x1" => report.disks = Some(number),
            _ => {}
        }
    }
    Ok(report)
}
