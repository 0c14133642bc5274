//! Generates answers of emulated engines: literals and echoed parameters with their types, or rows
//! as requested by hints in the statement.

use bytes::{BufMut, Bytes, BytesMut};
use wheelfield_pg::backend_messages::{self, Column};
use wheelfield_pg::sql;

/// Object ids of the supported PostgreSQL types.
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

/// Source of a value in a select list.
#[derive(Clone, Debug, PartialEq)]
enum ItemValue {
    /// A literal in text format (`None` for null) and its type.
    Literal(Option<String>, u32),
    /// A parameter number, starting at 1, and its type.
    Parameter(usize, u32),
}

/// The answer to a statement.
#[derive(Clone, Debug, PartialEq)]
pub enum Plan {
    /// One row of values.
    Values(Vec<(Column, SelectItem)>),
    /// Rows of two columns, a number and a text.
    Rows {
        /// Number of rows.
        count: u64,
        /// Length of the text in bytes.
        text_bytes: usize,
        /// Value derived from the query's id; the text of each row starts with a mark that depends
        /// on it.
        query_mark: u64,
    },
    /// No rows, only this command tag.
    Tag(String),
}

/// An entry of a select list in [`Plan::Values`].
#[derive(Clone, Debug, PartialEq)]
pub struct SelectItem(ItemValue);

/// Default length of a row's text in bytes.
const DEFAULT_ROW_BYTES: usize = 16;

/// Factor by which the work of an attempt with a bad plan increases.
pub const BAD_PLAN_SLOWDOWN: f64 = 10.0;

/// Hints in a statement's trailing comment. The emulator reads the controller's hints and further
/// ones of its own.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QueryHints {
    /// Query id in the journal.
    pub id: Option<String>,
    /// Class of the query.
    pub class: Option<String>,
    /// Key of the keyed order that the query belongs to.
    pub key: Option<String>,
    /// Estimated work in milliseconds.
    pub work_ms: f64,
    /// Actual work in milliseconds, if it differs from the estimate.
    pub run_ms: Option<f64>,
    /// Typical work of queries of this kind in milliseconds, if it differs from the estimate. It is
    /// counted when a cold engine is checked for overload.
    pub usual_ms: Option<f64>,
    /// Number of threads.
    pub threads: f64,
    /// Fraction of the work that is reading or writing.
    pub io: f64,
    /// Required memory in MB.
    pub memory_mb: f64,
    /// Table group that the query uses.
    pub table_group: u64,
    /// Probability that an attempt gets a bad plan and takes [`BAD_PLAN_SLOWDOWN`] times as long.
    pub bad_plan_probability: f64,
    /// Whether the query is a load.
    pub is_load: bool,
    /// Whether the query waits for loads.
    pub waits_for_loads: bool,
    /// Requested number of rows.
    pub rows: Option<u64>,
    /// Length of a row's text in bytes.
    pub row_bytes: usize,
    /// SQLSTATE of the error with which the engine answers.
    pub sqlstate: Option<String>,
}

impl QueryHints {
    /// Parses the hints of a statement.
    pub fn parse(text: &str) -> QueryHints {
        let hints = sql::comment_pairs(text);
        let get = |name: &str| hints.iter().find(|(n, _)| n == name).map(|(_, v)| v.to_string());
        let number =
            |name: &str| get(name).and_then(|v| v.parse::<f64>().ok()).filter(|x| x.is_finite() && *x >= 0.0);
        let flag = |name: &str| get(name).is_some_and(|v| v == "1" || v == "true");
        QueryHints {
            id: get("id"),
            class: get("class"),
            key: get("key"),
            work_ms: number("work_ms").unwrap_or(0.0),
            run_ms: number("run_ms"),
            usual_ms: number("usual_ms"),
            threads: number("threads").unwrap_or(1.0).clamp(1.0, 1024.0),
            io: number("io").unwrap_or(0.0).min(1.0),
            memory_mb: number("memory_mb").unwrap_or(0.0),
            table_group: get("tables").and_then(|v| v.parse().ok()).unwrap_or(0),
            bad_plan_probability: number("bad").unwrap_or(0.0).min(1.0),
            is_load: flag("load"),
            waits_for_loads: flag("waits"),
            rows: get("rows").and_then(|v| v.parse().ok()),
            row_bytes: number("row_bytes").map_or(DEFAULT_ROW_BYTES, |n| n.min(1e9) as usize),
            sqlstate: get("sqlstate")
                .filter(|s| s.len() == 5 && s.bytes().all(|b| b.is_ascii_alphanumeric())),
        }
    }
}

impl QueryHints {
    fn query_mark(&self) -> u64 {
        self.id.as_deref().map_or(0, query_mark_of)
    }
}

/// Splits a select list at its commas, except within quotes and brackets.
fn split_select_list(list: &str) -> Vec<&str> {
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

fn type_from_name(name: &str) -> Option<u32> {
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

fn parse_select_item(text: &str, declared_types: &[u32]) -> Option<(Column, SelectItem)> {
    let text = text.trim();
    let lower = text.to_ascii_lowercase();
    let (value, name) = match lower.rfind(" as ") {
        Some(at) => (text[..at].trim(), Some(text[at + 4..].trim().trim_matches('"').to_string())),
        None => (text, None),
    };
    let (value, cast) = match value.rsplit_once("::") {
        Some((value, cast)) => (value.trim(), Some(type_from_name(cast)?)),
        None => (value, None),
    };
    let lower_value = value.to_ascii_lowercase();
    let parsed =
        if let Some(n) = value.strip_prefix('$').and_then(|n| n.parse::<usize>().ok()).filter(|n| *n > 0) {
            let declared_type = declared_types.get(n - 1).copied().filter(|t| *t != 0);
            ItemValue::Parameter(n, cast.or(declared_type).unwrap_or(oid::TEXT))
        } else if let Some(inner) = value.strip_prefix('\'').and_then(|v| v.strip_suffix('\'')) {
            ItemValue::Literal(Some(inner.replace("''", "'")), cast.unwrap_or(oid::TEXT))
        } else if lower_value == "null" {
            ItemValue::Literal(None, cast.unwrap_or(oid::TEXT))
        } else if lower_value == "true" || lower_value == "false" {
            ItemValue::Literal(Some(lower_value[..1].to_string()), cast.unwrap_or(oid::BOOL))
        } else if let Ok(n) = value.parse::<i64>() {
            let integer_type = if i32::try_from(n).is_ok() { oid::INT4 } else { oid::INT8 };
            ItemValue::Literal(Some(value.to_string()), cast.unwrap_or(integer_type))
        } else if value.parse::<f64>().is_ok_and(f64::is_finite) {
            ItemValue::Literal(Some(value.to_string()), cast.unwrap_or(oid::FLOAT8))
        } else {
            return None;
        };
    let type_id = match &parsed {
        ItemValue::Literal(_, t) | ItemValue::Parameter(_, t) => *t,
    };
    let size = match type_id {
        oid::BOOL => 1,
        oid::INT2 => 2,
        oid::INT4 => 4,
        oid::INT8 | oid::FLOAT8 => 8,
        _ => -1,
    };
    let name = name.unwrap_or_else(|| if type_id == oid::BOOL { "bool".into() } else { "?column?".into() });
    Some((Column { name, type_oid: type_id, type_size: size }, SelectItem(parsed)))
}

/// Determines the answer to a statement; `declared_types` are the declared types of its parameters.
pub fn plan(text: &str, hints: &QueryHints, declared_types: &[u32]) -> Plan {
    let bare = sql::normalized_preserving_case(text);
    let first = bare.split_whitespace().next().unwrap_or("").to_ascii_uppercase();
    if let Some(count) = hints.rows {
        return Plan::Rows { count, text_bytes: hints.row_bytes, query_mark: hints.query_mark() };
    }
    match first.as_str() {
        "SELECT" | "VALUES" | "WITH" | "TABLE" | "EXPLAIN" => {
            let list = bare.get(6..).unwrap_or("").trim();
            let values: Option<Vec<_>> = split_select_list(list)
                .into_iter()
                .map(|text| parse_select_item(text, declared_types))
                .collect();
            match values.filter(|_| first == "SELECT") {
                Some(values) => Plan::Values(values),
                None => Plan::Rows { count: 1, text_bytes: hints.row_bytes, query_mark: hints.query_mark() },
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

/// Returns the types of a statement's parameters: the declared type, else the type of a cast, else
/// text.
pub fn parameters(text: &str, declared_types: &[u32]) -> Vec<u32> {
    let mut types: Vec<u32> = declared_types.iter().map(|t| if *t == 0 { oid::TEXT } else { *t }).collect();
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
                    .and_then(|c| type_from_name(&c))
                    .filter(|_| declared_types.get(number - 1).is_none_or(|t| *t == 0))
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

/// Computes the mark of row `n`, as hexadecimal digits, from the query, the row's position and the
/// number of rows.
fn row_mark(query_mark: u64, n: u64, count: u64) -> [u8; 16] {
    // Finalizer of splitmix64: every input bit affects every output bit.
    let mut x = query_mark ^ n.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ count.rotate_left(32);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^= x >> 31;
    let mut text = [0; 16];
    for (i, digit) in text.iter_mut().enumerate() {
        *digit = b"0123456789abcdef"[(x >> (4 * i)) as usize & 15];
    }
    text
}

/// Computes the query mark of a query id.
fn query_mark_of(id: &str) -> u64 {
    u64::from(crc32fast::hash(id.as_bytes())) << 32 | id.len() as u64
}

/// Returns whether `message` equals the `DataRow` in text format that the emulator generates as row
/// `n`, starting at 0, of `count` rows for the query `id` with the default row length.
pub fn is_expected_row(message: &[u8], id: &str, n: u64, count: u64) -> bool {
    let mut expected = BytesMut::new();
    let plan = Plan::Rows { count, text_bytes: DEFAULT_ROW_BYTES, query_mark: query_mark_of(id) };
    plan.put_row(n, &BoundParameters::default(), &mut expected);
    n < count && message == &expected[..]
}

impl Plan {
    /// Returns the columns; empty for an answer without rows.
    pub fn columns(&self) -> Vec<Column> {
        match self {
            Plan::Values(values) => values.iter().map(|(column, _)| column.clone()).collect(),
            Plan::Rows { .. } => {
                vec![Column { name: "n".into(), type_oid: oid::INT8, type_size: 8 }, Column::text("data")]
            }
            Plan::Tag(_) => Vec::new(),
        }
    }

    /// Returns the total number of rows.
    pub fn rows(&self) -> u64 {
        match self {
            Plan::Values(_) => 1,
            Plan::Rows { count, .. } => *count,
            Plan::Tag(_) => 0,
        }
    }

    /// Returns the command tag of the completed statement.
    pub fn tag(&self) -> String {
        match self {
            Plan::Tag(tag) => tag.clone(),
            other => format!("SELECT {}", other.rows()),
        }
    }

    /// Appends row `n`, starting at 0.
    pub fn put_row(&self, n: u64, parameters: &BoundParameters, out: &mut BytesMut) {
        match self {
            Plan::Values(values) => {
                let cells: Vec<Option<Bytes>> = values
                    .iter()
                    .enumerate()
                    .map(|(i, (_, select_item))| {
                        select_item.cell_value(parameters, parameters.result_format(i))
                    })
                    .collect();
                backend_messages::put_data_row(cells.iter().map(|c| c.as_deref()), out);
            }
            Plan::Rows { text_bytes, count, query_mark } => {
                let number = match parameters.result_format(0) {
                    1 => Bytes::copy_from_slice(&(n as i64 + 1).to_be_bytes()),
                    _ => Bytes::from((n + 1).to_string()),
                };
                // Encoded directly, so that a long text is not copied twice.
                out.put_u8(b'D');
                out.put_i32((4 + 2 + 4 + number.len() + 4 + text_bytes) as i32);
                out.put_i16(2);
                out.put_i32(number.len() as i32);
                out.put_slice(&number);
                out.put_i32(*text_bytes as i32);
                let row_mark_text = row_mark(*query_mark, n, *count);
                let mark_length = row_mark_text.len().min(*text_bytes);
                out.put_slice(&row_mark_text[..mark_length]);
                out.put_bytes(b'a' + (n % 26) as u8, text_bytes - mark_length);
            }
            Plan::Tag(_) => {}
        }
    }
}

/// Parameters and formats that were bound to a portal.
#[derive(Clone, Debug, Default)]
pub struct BoundParameters {
    /// Parameter values; `None` for null.
    pub values: Vec<Option<Bytes>>,
    /// Format codes of the parameters: empty for text, one for all parameters, or one for each.
    pub parameter_formats: Vec<i16>,
    /// Format codes of the result columns, in the same form.
    pub result_formats: Vec<i16>,
}

impl BoundParameters {
    fn format_at(formats: &[i16], i: usize) -> i16 {
        match formats {
            [] => 0,
            [one] => *one,
            many => many.get(i).copied().unwrap_or(0),
        }
    }

    fn result_format(&self, i: usize) -> i16 {
        BoundParameters::format_at(&self.result_formats, i)
    }
}

/// Converts a value in binary format to text format.
fn binary_to_text(value: &[u8], type_id: u32) -> Option<String> {
    Some(match (type_id, value.len()) {
        (oid::BOOL, 1) => {
            if value[0] == 0 {
                "f".into()
            } else {
                "t".into()
            }
        }
        // A cast may widen a value that the client sent as a shorter integer type.
        (oid::INT2 | oid::INT4 | oid::INT8, 2) => i16::from_be_bytes(value.try_into().ok()?).to_string(),
        (oid::INT4 | oid::INT8, 4) => i32::from_be_bytes(value.try_into().ok()?).to_string(),
        (oid::INT8, 8) => i64::from_be_bytes(value.try_into().ok()?).to_string(),
        (oid::FLOAT8, 8) => f64::from_be_bytes(value.try_into().ok()?).to_string(),
        _ => String::from_utf8(value.to_vec()).ok()?,
    })
}

fn text_to_binary(text: &str, type_id: u32) -> Option<Bytes> {
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

impl SelectItem {
    fn cell_value(&self, parameters: &BoundParameters, format: i16) -> Option<Bytes> {
        let (text, type_id) = match &self.0 {
            ItemValue::Literal(text, type_id) => (text.clone()?, *type_id),
            ItemValue::Parameter(n, type_id) => {
                let value = parameters.values.get(n - 1)?.clone()?;
                if BoundParameters::format_at(&parameters.parameter_formats, n - 1) == format {
                    return Some(value);
                }
                if format == 1 {
                    (String::from_utf8_lossy(&value).into_owned(), *type_id)
                } else {
                    (binary_to_text(&value, *type_id)?, *type_id)
                }
            }
        };
        if format == 1 {
            text_to_binary(&text, type_id)
        } else {
            Some(Bytes::from(text))
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn plan_of(text: &str) -> Plan {
        plan(text, &QueryHints::parse(text), &[])
    }

    #[test]
    fn literals_have_the_expected_types() {
        let plan = plan_of("SELECT 1, 'it''s' AS word, null, TRUE, 2.5, 5000000000 -- end");
        let types: Vec<u32> = plan.columns().iter().map(|c| c.type_oid).collect();
        assert_eq!(types, [oid::INT4, oid::TEXT, oid::TEXT, oid::BOOL, oid::FLOAT8, oid::INT8]);
        assert_eq!(plan.columns()[1].name, "word");
        let mut out = BytesMut::new();
        plan.put_row(0, &BoundParameters::default(), &mut out);
        assert!(out.windows(4).any(|w| w == b"it's"));
    }

    #[test]
    fn parameters_are_echoed_in_either_format() {
        let text = "select $1::int4, $2";
        assert_eq!(parameters(text, &[]), [oid::INT4, oid::TEXT]);
        let plan = plan(text, &QueryHints::default(), &[]);
        let parameters = BoundParameters {
            values: vec![Some(Bytes::from_static(&[0, 0, 0, 7])), None],
            parameter_formats: vec![1, 0],
            result_formats: vec![0],
        };
        let mut out = BytesMut::new();
        plan.put_row(0, &parameters, &mut out);
        assert_eq!(&out[7..], [0, 0, 0, 1, b'7', 255, 255, 255, 255]);
    }

    #[test]
    fn a_cast_widens_a_shorter_integer() {
        let plan = plan("select $1::int8", &QueryHints::default(), &[oid::INT2]);
        let parameters = BoundParameters {
            values: vec![Some(Bytes::from_static(&[0xff, 0xfe]))],
            parameter_formats: vec![1],
            result_formats: vec![0],
        };
        let mut out = BytesMut::new();
        plan.put_row(0, &parameters, &mut out);
        assert!(out.ends_with(b"-2"), "{out:?}");
    }

    #[test]
    fn hints_determine_rows_and_errors() {
        let text = "select * from t /*rows='3',row_bytes='5',sqlstate='22012',run_ms='7'*/";
        let hints = QueryHints::parse(text);
        assert_eq!((hints.rows, hints.row_bytes, hints.run_ms), (Some(3), 5, Some(7.0)));
        assert_eq!(hints.sqlstate.as_deref(), Some("22012"));
        assert_eq!(plan_of(text).tag(), "SELECT 3");
        assert_eq!(plan_of("insert into t values (1)").tag(), "INSERT 0 1");
        assert_eq!(plan_of("create table t (x int)").tag(), "CREATE TABLE");
        assert_eq!(plan_of("select * from t").rows(), 1);
    }
}
