//! Lenient access to JSON values: a value that is missing or of another type reads as zero, false
//! or empty.

use serde_json::Value;
use wheelfield::interface::Micros;

pub(crate) fn items(value: &Value) -> &[Value] {
    value.as_array().map(Vec::as_slice).unwrap_or(&[])
}

pub(crate) fn strings(value: &Value) -> Vec<String> {
    items(value)
        .iter()
        .filter_map(|item| item.as_str().map(str::to_string))
        .collect()
}

pub(crate) fn numbers(value: &Value) -> Vec<f64> {
    items(value).iter().map(number).collect()
}

pub(crate) fn number(value: &Value) -> f64 {
    value.as_f64().unwrap_or(0.0)
}

pub(crate) fn micros(value: &Value) -> Micros {
    Micros(
        value
            .as_i64()
            .or_else(|| value.as_f64().map(|us| us as i64))
            .unwrap_or(0),
    )
}

pub(crate) fn flag(value: &Value) -> bool {
    value.as_bool().unwrap_or(false)
}
