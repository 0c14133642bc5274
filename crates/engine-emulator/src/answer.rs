//! What a stand-in answers: literals and echoed parameters with their types, else rows as the hints ask.

use bytes::{BufMut, Bytes, BytesMut};
use wheelfield_pg::backend_messages::{self, Column};
use wheelfield_pg::sql;

/// Numbers of the types spoken here.
pub mod oid {
    /// `bool`
    pub const BOOL: u32 = 16;
    /// `int8`
    pub const INT8: u32 = 20;
    /// `int2`
    pub const INT2: u32 = 21;
    /// `int4`
    pub const INT4: u32 = 23;
    /// `text`
    pub const TEXT: u32 = 25;
    /// `float8`
    pub const FLOAT8: u32 = 701;
}

/// A value of a select list.
#[derive(Clone, Debug, PartialEq)]
enum Item {
    /// As text, with its type.
    Literal(Option<String>, u32),
    /// The parameter of this number, from 1, with its type.
    Parameter(usize, u32),
}

/// What a statement will answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Plan {
    /// One row of values.
    Values(Vec<(Column, ItemOf)>),
    /// So many rows of a number and a text of so many bytes.
    Rows {
        /// How many.
        count: u64,
        /// Bytes of the text of each.
        text_bytes: usize,
        /// Of the name of its query: each row is marked with it.
        query_mark: u64,
    },
    /// No rows: the tag says it all.
    Tag(String),
}

/// A value of a plan, as [`Plan::Values`] holds it.
#[derive(Clone, Debug, PartialEq)]
pub struct ItemOf(Item);

/// Bytes of a row's text where a query asks for no other length.
const ROW_BYTES: usize = 16;

/// An attempt with a bad plan takes so many times as long.
pub const BAD_PLAN: f64 = 10.0;

/// What the stand-in reads from a statement's trailing comment, beside what a controller does.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Wanted {
    /// Name of the query in logs.
    pub id: Option<String>,
    /// Its class.
    pub class: Option<String>,
    /// The key whose order it keeps.
    pub key: Option<String>,
    /// Estimated work in milliseconds.
    pub work_ms: f64,
    /// Its true work, where it differs from the estimate.
    pub run_ms: Option<f64>,
    /// The usual work of its kind, where it differs from the estimate: what it weighs on a cold engine.
    pub usual_ms: Option<f64>,
    /// Threads.
    pub threads: f64,
    /// Part of the work that reads or writes.
    pub io: f64,
    /// Memory in MB.
    pub memory_mb: f64,
    /// Group of tables.
    pub tables: u64,
    /// The chance that an attempt gets a bad plan, and takes [`BAD_PLAN`] times as long.
    pub bad: f64,
    /// It is a load.
    pub load: bool,
    /// It waits for loads.
    pub waits: bool,
    /// Rows asked for.
    pub rows: Option<u64>,
    /// Bytes of a row's text.
    pub row_bytes: usize,
    /// An SQL error to answer with.
    pub sqlstate: Option<String>,
}

impl Wanted {
    /// Reads the hints of a statement.
    pub fn of(text: &str) -> Wanted {
        let hints = sql::comment_pairs(text);
        let get = |name: &str| hints.iter().find(|(n, _)| n == name).map(|(_, v)| v.to_string());
        let number =
            |name: &str| get(name).and_then(|v| v.parse::<f64>().ok()).filter(|x| x.is_finite() && *x >= 0.0);
        let flag = |name: &str| get(name).is_some_and(|v| v == "1" || v == "true");
        Wanted {
            id: get("id"),
            class: get("class"),
            key: get("key"),
            work_ms: number("work_ms").unwrap_or(0.0),
            run_ms: number("run_ms"),
            usual_ms: number("usual_ms"),
            threads: number("threads").unwrap_or(1.0).clamp(1.0, 1024.0),
            io: number("io").unwrap_or(0.0).min(1.0),
            memory_mb: number("memory_mb").unwrap_or(0.0),
            tables: get("tables").and_then(|v| v.parse().ok()).unwrap_or(0),
            bad: number("bad").unwrap_or(0.0).min(1.0),
            load: flag("load"),
            waits: flag("waits"),
            rows: get("rows").and_then(|v| v.parse().ok()),
            row_bytes: number("row_bytes").map_or(ROW_BYTES, |n| n.min(1e9) as usize),
            sqlstate: get("sqlstate")
                .filter(|s| s.len() == 5 && s.bytes().all(|b| b.is_ascii_alphanumeric())),
        }
    }
}

impl Wanted {
    fn mark(&self) -> u64 {
        self.id.as_deref().map_or(0, name_mark)
    }
}

/// Splits a select list at its commas, outside of strings and brackets.
fn items(list: &str) -> Vec<&str> {
    let (mut out, mut start, mut depth, mut quote) = (Vec::new(), 0, 0, None);
    for (i, b) in list.bytes().enumerate() {
        match (quote, b) {
            (Some(q), b) if b == q => quote = None,
            (Some(_), _) => {}
            (None, b'\'' | b'"') => quote = Some(b),
            (None, b'(' | b'[') => depth += 1,
            (None, b')' | b']') => depth -= 1,
            (None, b',') if depth == 0 => {
                out.push(&list[start..i]);
                start = i + 1;
            }
            _ => {}
        }
    }
    out.push(&list[start..]);
    out
}

fn type_of(name: &str) -> Option<u32> {
    Some(match name.trim().to_ascii_lowercase().as_str() {
        "int" | "int4" | "integer" => oid::INT4,
        "int8" | "bigint" => oid::INT8,
        "int2" | "smallint" => oid::INT2,
        "text" | "varchar" | "name" => oid::TEXT,
        "bool" | "boolean" => oid::BOOL,
        "float8" | "float" | "double precision" | "numeric" => oid::FLOAT8,
        _ => return None,
    })
}

fn item(text: &str, declared: &[u32]) -> Option<(Column, ItemOf)> {
    let text = text.trim();
    let lower = text.to_ascii_lowercase();
    let (value, name) = match lower.rfind(" as ") {
        Some(at) => (text[..at].trim(), Some(text[at + 4..].trim().trim_matches('"').to_string())),
        None => (text, None),
    };
    let (value, cast) = match value.rsplit_once("::") {
        Some((value, cast)) => (value.trim(), Some(type_of(cast)?)),
        None => (value, None),
    };
    let low = value.to_ascii_lowercase();
    let found =
        if let Some(n) = value.strip_prefix('$').and_then(|n| n.parse::<usize>().ok()).filter(|n| *n > 0) {
            let given = declared.get(n - 1).copied().filter(|t| *t != 0);
            Item::Parameter(n, cast.or(given).unwrap_or(oid::TEXT))
        } else if let Some(inner) = value.strip_prefix('\'').and_then(|v| v.strip_suffix('\'')) {
            Item::Literal(Some(inner.replace("''", "'")), cast.unwrap_or(oid::TEXT))
        } else if low == "null" {
            Item::Literal(None, cast.unwrap_or(oid::TEXT))
        } else if low == "true" || low == "false" {
            Item::Literal(Some(low[..1].to_string()), cast.unwrap_or(oid::BOOL))
        } else if let Ok(n) = value.parse::<i64>() {
            let usual = if i32::try_from(n).is_ok() { oid::INT4 } else { oid::INT8 };
            Item::Literal(Some(value.to_string()), cast.unwrap_or(usual))
        } else if value.parse::<f64>().is_ok_and(f64::is_finite) {
            Item::Literal(Some(value.to_string()), cast.unwrap_or(oid::FLOAT8))
        } else {
            return None;
        };
    let type_id = match &found {
        Item::Literal(_, t) | Item::Parameter(_, t) => *t,
    };
    let size = match type_id {
        oid::BOOL => 1,
        oid::INT2 => 2,
        oid::INT4 => 4,
        oid::INT8 | oid::FLOAT8 => 8,
        _ => -1,
    };
    let name = name.unwrap_or_else(|| if type_id == oid::BOOL { "bool".into() } else { "?column?".into() });
    Some((Column { name, type_oid: type_id, type_size: size }, ItemOf(found)))
}

/// What a statement will answer; `declared` are the types its parameters were given.
pub fn plan(text: &str, wanted: &Wanted, declared: &[u32]) -> Plan {
    let bare = sql::normalized_preserving_case(text);
    let first = bare.split_whitespace().next().unwrap_or("").to_ascii_uppercase();
    if let Some(count) = wanted.rows {
        return Plan::Rows { count, text_bytes: wanted.row_bytes, query_mark: wanted.mark() };
    }
    match first.as_str() {
        "SELECT" | "VALUES" | "WITH" | "TABLE" | "EXPLAIN" => {
            let list = bare.get(6..).unwrap_or("").trim();
            let values: Option<Vec<_>> = items(list).into_iter().map(|text| item(text, declared)).collect();
            match values.filter(|_| first == "SELECT") {
                Some(values) => Plan::Values(values),
                None => Plan::Rows { count: 1, text_bytes: wanted.row_bytes, query_mark: wanted.mark() },
            }
        }
        "INSERT" => Plan::Tag("INSERT 0 1".into()),
        "UPDATE" | "DELETE" | "MERGE" => Plan::Tag(format!("{first} 1")),
        _ => {
            let words: Vec<String> = bare.split_whitespace().take(2).map(str::to_ascii_uppercase).collect();
            Plan::Tag(words.join(" "))
        }
    }
}

/// The types of a statement's parameters: as declared or cast, else text.
pub fn parameters(text: &str, declared: &[u32]) -> Vec<u32> {
    let mut types: Vec<u32> = declared.iter().map(|t| if *t == 0 { oid::TEXT } else { *t }).collect();
    let bytes = text.as_bytes();
    let mut i = 0;
    while i < bytes.len() {
        if bytes[i] == b'$' {
            let digits = bytes[i + 1..].iter().take_while(|b| b.is_ascii_digit()).count().min(3);
            let number = text[i + 1..i + 1 + digits].parse::<usize>().unwrap_or(0);
            if number > 0 {
                if types.len() < number {
                    types.resize(number, oid::TEXT);
                }
                let rest = &text[i + 1 + digits..];
                let cast = rest
                    .strip_prefix("::")
                    .map(|c| c.chars().take_while(|c| c.is_ascii_alphanumeric()).collect::<String>());
                if let Some(t) = cast
                    .and_then(|c| type_of(&c))
                    .filter(|_| declared.get(number - 1).is_none_or(|t| *t == 0))
                {
                    types[number - 1] = t;
                }
            }
            i += digits;
        }
        i += 1;
    }
    types
}

/// What marks a row: drawn from its query's name, its position and the number of rows.
fn mark(of: u64, n: u64, count: u64) -> [u8; 16] {
    // The finish of splitmix64: every bit of what goes in moves every bit of what comes out.
    let mut x = of ^ n.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ count.rotate_left(32);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^= x >> 31;
    let mut text = [0; 16];
    for (i, digit) in text.iter_mut().enumerate() {
        *digit = b"0123456789abcdef"[(x >> (4 * i)) as usize & 15];
    }
    text
}

/// Of a query's name.
fn name_mark(id: &str) -> u64 {
    u64::from(crc32fast::hash(id.as_bytes())) << 32 | id.len() as u64
}

/// Whether a `DataRow` in text is row `n`, from 0, of `count` that the stand-in gives to the query of this name, where its
/// rows have the usual length.
pub fn is_expected_row(message: &[u8], id: &str, n: u64, count: u64) -> bool {
    let mut expected = BytesMut::new();
    let plan = Plan::Rows { count, text_bytes: ROW_BYTES, query_mark: name_mark(id) };
    plan.put_row(n, &Given::default(), &mut expected);
    n < count && message == &expected[..]
}

impl Plan {
    /// Its columns; none where it has no rows.
    pub fn columns(&self) -> Vec<Column> {
        match self {
            Plan::Values(values) => values.iter().map(|(column, _)| column.clone()).collect(),
            Plan::Rows { .. } => {
                vec![Column { name: "n".into(), type_oid: oid::INT8, type_size: 8 }, Column::text("data")]
            }
            Plan::Tag(_) => Vec::new(),
        }
    }

    /// Rows in all.
    pub fn rows(&self) -> u64 {
        match self {
            Plan::Values(_) => 1,
            Plan::Rows { count, .. } => *count,
            Plan::Tag(_) => 0,
        }
    }

    /// The tag of the completed statement.
    pub fn tag(&self) -> String {
        match self {
            Plan::Tag(tag) => tag.clone(),
            other => format!("SELECT {}", other.rows()),
        }
    }

    /// Appends row number `n`, from 0.
    pub fn put_row(&self, n: u64, given: &Given, out: &mut BytesMut) {
        match self {
            Plan::Values(values) => {
                let cells: Vec<Option<Bytes>> = values
                    .iter()
                    .enumerate()
                    .map(|(i, (_, item))| item.cell(given, given.result(i)))
                    .collect();
                backend_messages::put_data_row(cells.iter().map(|c| c.as_deref()), out);
            }
            Plan::Rows { text_bytes, count, query_mark } => {
                let number = match given.result(0) {
                    1 => Bytes::copy_from_slice(&(n as i64 + 1).to_be_bytes()),
                    _ => Bytes::from((n + 1).to_string()),
                };
                // Written by hand, as a long text must not be built twice.
                out.put_u8(b'D');
                out.put_i32((4 + 2 + 4 + number.len() + 4 + text_bytes) as i32);
                out.put_i16(2);
                out.put_i32(number.len() as i32);
                out.put_slice(&number);
                out.put_i32(*text_bytes as i32);
                let mark = mark(*query_mark, n, *count);
                let marked = mark.len().min(*text_bytes);
                out.put_slice(&mark[..marked]);
                out.put_bytes(b'a' + (n % 26) as u8, text_bytes - marked);
            }
            Plan::Tag(_) => {}
        }
    }
}

/// What a portal was given.
#[derive(Clone, Debug, Default)]
pub struct Given {
    /// Values of parameters.
    pub values: Vec<Option<Bytes>>,
    /// Their formats: none for text, one for all, or one each.
    pub formats: Vec<i16>,
    /// Formats wanted of the results.
    pub results: Vec<i16>,
}

impl Given {
    fn format(formats: &[i16], i: usize) -> i16 {
        match formats {
            [] => 0,
            [one] => *one,
            many => many.get(i).copied().unwrap_or(0),
        }
    }

    fn result(&self, i: usize) -> i16 {
        Given::format(&self.results, i)
    }
}

/// A number's text from its binary form.
fn text_of(value: &[u8], type_id: u32) -> Option<String> {
    Some(match (type_id, value.len()) {
        (oid::BOOL, 1) => {
            if value[0] == 0 {
                "f".into()
            } else {
                "t".into()
            }
        }
        // A cast may widen what its client sent as a shorter one.
        (oid::INT2 | oid::INT4 | oid::INT8, 2) => i16::from_be_bytes(value.try_into().ok()?).to_string(),
        (oid::INT4 | oid::INT8, 4) => i32::from_be_bytes(value.try_into().ok()?).to_string(),
        (oid::INT8, 8) => i64::from_be_bytes(value.try_into().ok()?).to_string(),
        (oid::FLOAT8, 8) => f64::from_be_bytes(value.try_into().ok()?).to_string(),
        _ => String::from_utf8(value.to_vec()).ok()?,
    })
}

fn binary_of(text: &str, type_id: u32) -> Option<Bytes> {
    let bytes = |b: &[u8]| Bytes::copy_from_slice(b);
    Some(match type_id {
        oid::BOOL => bytes(&[u8::from(matches!(text, "t" | "true" | "1"))]),
        oid::INT2 => bytes(&text.parse::<i16>().ok()?.to_be_bytes()),
        oid::INT4 => bytes(&text.parse::<i32>().ok()?.to_be_bytes()),
        oid::INT8 => bytes(&text.parse::<i64>().ok()?.to_be_bytes()),
        oid::FLOAT8 => bytes(&text.parse::<f64>().ok()?.to_be_bytes()),
        _ => bytes(text.as_bytes()),
    })
}

impl ItemOf {
    fn cell(&self, given: &Given, format: i16) -> Option<Bytes> {
        let (text, type_id) = match &self.0 {
            Item::Literal(text, type_id) => (text.clone()?, *type_id),
            Item::Parameter(n, type_id) => {
                let value = given.values.get(n - 1)?.clone()?;
                if Given::format(&given.formats, n - 1) == format {
                    return Some(value);
                }
                if format == 1 {
                    (String::from_utf8_lossy(&value).into_owned(), *type_id)
                } else {
                    (text_of(&value, *type_id)?, *type_id)
                }
            }
        };
        if format == 1 {
            binary_of(&text, type_id)
        } else {
            Some(Bytes::from(text))
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn of(text: &str) -> Plan {
        plan(text, &Wanted::of(text), &[])
    }

    #[test]
    fn literals_have_their_types() {
        let plan = of("SELECT 1, 'it''s' AS word, null, TRUE, 2.5, 5000000000 -- end");
        let types: Vec<u32> = plan.columns().iter().map(|c| c.type_oid).collect();
        assert_eq!(types, [oid::INT4, oid::TEXT, oid::TEXT, oid::BOOL, oid::FLOAT8, oid::INT8]);
        assert_eq!(plan.columns()[1].name, "word");
        let mut out = BytesMut::new();
        plan.put_row(0, &Given::default(), &mut out);
        assert!(out.windows(4).any(|w| w == b"it's"));
    }

    #[test]
    fn parameters_are_echoed_in_either_format() {
        let text = "select $1::int4, $2";
        assert_eq!(parameters(text, &[]), [oid::INT4, oid::TEXT]);
        let plan = plan(text, &Wanted::default(), &[]);
        let given = Given {
            values: vec![Some(Bytes::from_static(&[0, 0, 0, 7])), None],
            formats: vec![1, 0],
            results: vec![0],
        };
        let mut out = BytesMut::new();
        plan.put_row(0, &given, &mut out);
        assert_eq!(&out[7..], [0, 0, 0, 1, b'7', 255, 255, 255, 255]);
    }

    #[test]
    fn a_short_number_is_widened_by_its_cast() {
        let plan = plan("select $1::int8", &Wanted::default(), &[oid::INT2]);
        let given = Given {
            values: vec![Some(Bytes::from_static(&[0xff, 0xfe]))],
            formats: vec![1],
            results: vec![0],
        };
        let mut out = BytesMut::new();
        plan.put_row(0, &given, &mut out);
        assert!(out.ends_with(b"-2"), "{out:?}");
    }

    #[test]
    fn hints_ask_for_rows_and_errors() {
        let text = "select * from t /*rows='3',row_bytes='5',sqlstate='22012',run_ms='7'*/";
        let wanted = Wanted::of(text);
        assert_eq!((wanted.rows, wanted.row_bytes, wanted.run_ms), (Some(3), 5, Some(7.0)));
        assert_eq!(wanted.sqlstate.as_deref(), Some("22012"));
        assert_eq!(of(text).tag(), "SELECT 3");
        assert_eq!(of("insert into t values (1)").tag(), "INSERT 0 1");
        assert_eq!(of("create table t (x int)").tag(), "CREATE TABLE");
        assert_eq!(of("select * from t").rows(), 1);
    }
}
