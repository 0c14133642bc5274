//! Times and sizes with their units. A bare number is refused: whether it means seconds or milliseconds can't be told.

use crate::fault::PART;
use serde::{de, Deserialize, Deserializer};
use wheelfield::interface::Micros;

/// A time, written as `"250ms"`, `"1.5s"`, `"2m"`, `"100us"` or `"1h"`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub Micros);

/// A size in bytes, written as `"64MB"`, `"512KB"`, `"2GB"` or `"100B"`; a kilobyte is 1,024 bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Size(pub u64);

fn split(text: &str) -> (Option<f64>, &str) {
    let text = text.trim();
    let end = text.find(|c: char| !(c.is_ascii_digit() || c == '.' || c == '_')).unwrap_or(text.len());
    (text[..end].replace('_', "").parse().ok(), text[end..].trim())
}

/// Reads a time.
///
/// # Errors
/// What is wrong, and its mend.
pub fn time(text: &str) -> Result<Time, (String, String)> {
    let mend = || "write a number and us, ms, s, m or h, such as \"250ms\"".to_string();
    let (number, unit) = split(text);
    let Some(number) = number else { return Err((format!("`{text}` is no time"), mend())) };
    let micros = match unit {
        "us" => 1.0,
        "ms" => 1e3,
        "s" => 1e6,
        "m" | "min" => 6e7,
        "h" => 3.6e9,
        "" => return Err((format!("the time `{text}` has no unit"), mend())),
        other => return Err((format!("`{other}` is no unit of time"), mend())),
    };
    let micros = number * micros;
    if micros > 1e15 {
        return Err((format!("the time `{text}` is out of range"), "at most 30 years".to_string()));
    }
    Ok(Time(Micros(micros.round() as i64)))
}

/// Reads a size.
///
/// # Errors
/// What is wrong, and its mend.
pub fn size(text: &str) -> Result<Size, (String, String)> {
    let mend = || "write a number and B, KB, MB or GB, such as \"64MB\"".to_string();
    let (number, unit) = split(text);
    let Some(number) = number else { return Err((format!("`{text}` is no size"), mend())) };
    let bytes = match unit.to_ascii_uppercase().as_str() {
        "B" => 1.0,
        "KB" | "KIB" => 1024.0,
        "MB" | "MIB" => 1_048_576.0,
        "GB" | "GIB" => 1_073_741_824.0,
        "TB" | "TIB" => 1_099_511_627_776.0,
        "" => return Err((format!("the size `{text}` has no unit"), mend())),
        _ => return Err((format!("`{unit}` is no unit of size"), mend())),
    };
    Ok(Size((number * bytes).round() as u64))
}

/// Writes a time with the largest unit that keeps it whole.
pub fn show(time: Micros) -> String {
    let n = time.0;
    match n {
        n if n != 0 && n % 60_000_000 == 0 => format!("{}m", n / 60_000_000),
        n if n % 1_000_000 == 0 => format!("{}s", n / 1_000_000),
        n if n % 1_000 == 0 => format!("{}ms", n / 1_000),
        n => format!("{n}us"),
    }
}

struct Reader<T>(fn(&str) -> Result<T, (String, String)>, &'static str);

impl<T> de::Visitor<'_> for Reader<T> {
    type Value = T;
    fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.1)
    }
    fn visit_str<E: de::Error>(self, text: &str) -> Result<T, E> {
        (self.0)(text).map_err(|(fault, mend)| E::custom(format!("{fault}{PART}{mend}")))
    }
    fn visit_i64<E: de::Error>(self, number: i64) -> Result<T, E> {
        self.visit_str(&number.to_string())
    }
    fn visit_f64<E: de::Error>(self, number: f64) -> Result<T, E> {
        self.visit_str(&number.to_string())
    }
}

impl<'de> Deserialize<'de> for Time {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Time, D::Error> {
        deserializer.deserialize_any(Reader(time, "a time with its unit"))
    }
}

impl<'de> Deserialize<'de> for Size {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Size, D::Error> {
        deserializer.deserialize_any(Reader(size, "a size with its unit"))
    }
}
