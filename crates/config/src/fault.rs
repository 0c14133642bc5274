//! What is wrong with a text, where, and how to mend it.

/// Something wrong with a configuration.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}:{column}: {fault}; {mend}")]
pub struct Fault {
    /// The file.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// The column, from 1.
    pub column: usize,
    /// What is wrong.
    pub fault: String,
    /// How to mend it.
    pub mend: String,
}

/// Parts what is wrong from its mend in messages that pass through the TOML reader.
pub(crate) const PART: char = '\u{1f}';

/// The line and column, from 1, of a byte of a text.
pub fn locate(text: &str, at: usize) -> (usize, usize) {
    let mut at = at.min(text.len());
    while !text.is_char_boundary(at) {
        at -= 1;
    }
    let before = &text[..at];
    let line = before.matches('\n').count() + 1;
    let column = before.rsplit('\n').next().unwrap_or("").chars().count() + 1;
    (line, column)
}

impl Fault {
    /// A fault at a byte of a text.
    pub fn at(file: &str, text: &str, at: usize, fault: impl Into<String>, mend: impl Into<String>) -> Fault {
        let (line, column) = locate(text, at);
        Fault { file: file.to_string(), line, column, fault: fault.into(), mend: mend.into() }
    }

    /// A fault that the TOML reader found.
    pub fn of_toml(file: &str, text: &str, error: &toml::de::Error) -> Fault {
        let at = error.span().map_or(0, |span| span.start);
        let message = error.message();
        let (fault, mend) = match message.split_once(PART) {
            Some((fault, mend)) => (fault.to_string(), mend.to_string()),
            None => (message.to_string(), mend_of(message)),
        };
        Fault::at(file, text, at, fault, mend)
    }
}

/// The words between backticks.
fn quoted(text: &str) -> Vec<&str> {
    text.split('`').skip(1).step_by(2).collect()
}

fn mend_of(message: &str) -> String {
    let names = quoted(message);
    if message.starts_with("unknown field") || message.starts_with("unknown variant") {
        let (Some(wrong), known) = (names.first(), names.get(1..).unwrap_or(&[])) else {
            return "remove it".to_string();
        };
        let near = known.iter().map(|k| (strsim::jaro_winkler(wrong, k), *k));
        let best = near.max_by(|a, b| a.0.total_cmp(&b.0)).filter(|(score, _)| *score > 0.8);
        return match best {
            Some((_, name)) => format!("did you mean `{name}`?"),
            None => format!("known here: {}", known.join(", ")),
        };
    }
    if message.starts_with("missing field") {
        return format!("add `{}`", names.first().unwrap_or(&"it"));
    }
    if message.starts_with("invalid type") {
        return "write the value as the reference page says".to_string();
    }
    "repair the TOML at this place".to_string()
}
