//! Where a statement ends, what kind it is, and the hints in its trailing comment.
//!
//! This is a scanner, not a parser: it knows strings, quoted names, dollar quotes and comments, and looks at the
//! first words. What it does not know is for an engine.

use std::borrow::Cow;

/// What is to be done with a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Nothing in it.
    Empty,
    /// For an engine.
    Engine,
    /// Answered by the controller itself.
    Local,
    /// Would open a transaction block.
    Transaction,
    /// A COPY.
    Copy,
    /// Needs state that lives on one engine.
    SessionState,
    /// Local statements and others in one text.
    Mixed,
}

/// What a query says of itself in a trailing comment: `/*class='sim-check',work_ms='210'*/`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Hints<'a> {
    /// Its class, by name.
    pub class: Option<Cow<'a, str>>,
    /// A name for the logs.
    pub id: Option<Cow<'a, str>>,
    /// The key whose order it keeps.
    pub key: Option<Cow<'a, str>>,
    /// Work of all its threads, in milliseconds of one thread.
    pub work_ms: Option<f64>,
    /// Memory in MB.
    pub memory_mb: Option<f64>,
    /// The client gives up so many milliseconds from now.
    pub due_ms: Option<f64>,
    /// The group of tables that it touches.
    pub tables: Option<u64>,
    /// Hints that are unknown or ill-formed; they are ignored.
    pub ignored: u32,
}

impl<'a> Hints<'a> {
    /// Takes one hint by name. An unknown name or an ill-formed value is counted and ignored.
    pub fn set(&mut self, name: &str, value: Cow<'a, str>) {
        let number = |value: &str| value.parse::<f64>().ok().filter(|x| x.is_finite() && *x >= 0.0);
        match name {
            "class" => self.class = Some(value),
            "id" => self.id = Some(value),
            "key" => self.key = Some(value),
            "work_ms" => self.work_ms = number(&value).or_else(|| self.ignore()),
            "memory_mb" => self.memory_mb = number(&value).or_else(|| self.ignore()),
            "due_ms" => self.due_ms = number(&value).or_else(|| self.ignore()),
            "tables" => self.tables = value.parse().ok().or_else(|| self.ignore()),
            _ => {
                self.ignore::<()>();
            }
        }
    }

    fn ignore<T>(&mut self) -> Option<T> {
        self.ignored += 1;
        None
    }
}

/// Names of hints, which `SET wheelfield.NAME` takes too.
pub const HINT_NAMES: [&str; 7] = ["class", "id", "key", "work_ms", "memory_mb", "due_ms", "tables"];

/// Steps over one lexical element that starts at `at`: a string, a quoted name, a comment, or one byte.
/// The second value tells whether it was a comment.
fn step(text: &[u8], at: usize) -> (usize, bool) {
    let find = |from: usize, what: &[u8]| {
        let rest = text.get(from..).unwrap_or(&[]);
        rest.windows(what.len()).position(|w| w == what).map_or(text.len(), |p| from + p + what.len())
    };
    match (text[at], text.get(at + 1)) {
        (b'-', Some(b'-')) => (find(at + 2, b"\n"), true),
        (b'/', Some(b'*')) => {
            let (mut depth, mut i) = (1, at + 2);
            while depth > 0 && i < text.len() {
                match (text[i], text.get(i + 1)) {
                    (b'/', Some(b'*')) => (depth, i) = (depth + 1, i + 2),
                    (b'*', Some(b'/')) => (depth, i) = (depth - 1, i + 2),
                    _ => i += 1,
                }
            }
            (i, true)
        }
        (quote @ (b'\'' | b'"'), _) => {
            let word = |b: u8| b.is_ascii_alphanumeric() || b == b'_';
            let escapes = quote == b'\''
                && at > 0
                && matches!(text[at - 1], b'e' | b'E')
                && !(at > 1 && word(text[at - 2]));
            let mut i = at + 1;
            while i < text.len() {
                if escapes && text[i] == b'\\' {
                    i += 2;
                } else if text[i] == quote {
                    if text.get(i + 1) != Some(&quote) {
                        return (i + 1, false);
                    }
                    i += 2;
                } else {
                    i += 1;
                }
            }
            (text.len(), false)
        }
        (b'$', _) if at == 0 || !(text[at - 1].is_ascii_alphanumeric() || text[at - 1] == b'_') => {
            let tag = text[at + 1..].iter().position(|b| !(b.is_ascii_alphanumeric() || *b == b'_'));
            match tag {
                // $1 is a parameter, $$ and $name$ open a string.
                Some(n) if text[at + 1 + n] == b'$' && !text[at + 1].is_ascii_digit() => {
                    let end = at + 2 + n;
                    (find(end, &text[at..end]), false)
                }
                _ => (at + 1, false),
            }
        }
        _ => (at + 1, false),
    }
}

/// A part of a statement, as far as names matter: strings, comments and blanks are left out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Token<'a> {
    /// A word, or a quoted name without its quotes.
    Name(Cow<'a, str>),
    /// One other character.
    Other(char),
}

/// The names of a text and what stands between them.
pub fn tokens(text: &str) -> impl Iterator<Item = Token<'_>> {
    let bytes = text.as_bytes();
    let word = |b: &u8| b.is_ascii_alphanumeric() || matches!(b, b'_' | b'$') || *b >= 0x80;
    let mut at = 0;
    std::iter::from_fn(move || {
        while at < bytes.len() {
            let start = at;
            if word(&bytes[at]) && bytes[at] != b'$' {
                at += bytes[at..].iter().position(|b| !word(b)).unwrap_or(bytes.len() - at);
                // A string with a prefix: E'..', U&'..'.
                if bytes.get(at) == Some(&b'\'') {
                    at = step(bytes, at).0.min(bytes.len());
                    continue;
                }
                return Some(Token::Name(Cow::Borrowed(&text[start..at])));
            }
            let (next, comment) = step(bytes, at);
            at = next.min(bytes.len());
            match bytes[start] {
                b'"' => {
                    let inner = &text[start + 1..at];
                    let inner = inner.strip_suffix('"').unwrap_or(inner);
                    return Some(Token::Name(Cow::Owned(inner.replace("\"\"", "\""))));
                }
                b'\'' | b'$' => {}
                b if comment || b.is_ascii_whitespace() => {}
                b => return Some(Token::Other(char::from(b))),
            }
        }
        None
    })
}

/// The statements of a text, each without its semicolon; empty ones are left out.
pub fn statements(text: &str) -> Vec<&str> {
    let bytes = text.as_bytes();
    let (mut out, mut start, mut i, mut something) = (Vec::new(), 0, 0, false);
    while i < bytes.len() {
        let (next, comment) = step(bytes, i);
        if bytes[i] == b';' {
            if something {
                out.push(&text[start..i]);
            }
            (start, something) = (i + 1, false);
        } else {
            something |= !comment && !bytes[i].is_ascii_whitespace();
        }
        i = next.min(bytes.len());
    }
    if something {
        out.push(&text[start..]);
    }
    out
}

/// The text without the blanks and comments it begins with.
fn trimmed(text: &str) -> &str {
    let bytes = text.as_bytes();
    let mut i = 0;
    while i < bytes.len() {
        let (next, comment) = step(bytes, i);
        if !comment && !bytes[i].is_ascii_whitespace() {
            break;
        }
        i = next.min(bytes.len());
    }
    &text[i..]
}

/// The words that a statement begins with, in lower case.
fn first_words(statement: &str) -> [String; 3] {
    let mut words: [String; 3] = Default::default();
    let mut rest = statement;
    for word in &mut words {
        rest = trimmed(rest);
        let end = rest.find(|c: char| !(c.is_ascii_alphanumeric() || c == '_')).unwrap_or(rest.len());
        *word = rest[..end.min(32)].to_ascii_lowercase();
        rest = &rest[end..];
    }
    words
}

/// A statement without comments, in lower case but for its strings, blanks folded: for comparing short ones.
pub fn normalized(statement: &str) -> String {
    fold(statement, true)
}

/// A statement without comments, blanks folded.
pub fn normalized_preserving_case(statement: &str) -> String {
    fold(statement, false)
}

fn fold(statement: &str, lower: bool) -> String {
    let bytes = statement.as_bytes();
    let (mut out, mut i) = (String::new(), 0);
    while i < bytes.len() {
        let (next, comment) = step(bytes, i);
        let mut next = next.min(bytes.len());
        // A character of several bytes stays whole.
        while !statement.is_char_boundary(next) {
            next += 1;
        }
        let part = &statement[i..next];
        if comment || bytes[i].is_ascii_whitespace() {
            if !out.is_empty() && !out.ends_with(' ') {
                out.push(' ');
            }
        } else if lower && !matches!(bytes[i], b'\'' | b'"') {
            out.push_str(&part.to_lowercase());
        } else {
            out.push_str(part);
        }
        i = next;
    }
    out.trim_end_matches([' ', ';']).to_string()
}

/// Selects that drivers send at the start and that a controller can answer.
pub const OWN_SELECTS: [&str; 9] = [
    "select version()",
    "select current_schema()",
    "select current_database()",
    "select current_user",
    "select session_user",
    "select pg_backend_pid()",
    "select pg_is_in_recovery()",
    "select current_setting('server_version_num')",
    "select pg_advisory_unlock_all()",
];

/// The longest text that is compared with those.
const LONGEST_OWN: usize = 80;

fn kind_of_one(statement: &str) -> Kind {
    let statement = trimmed(statement);
    // The usual case first: nothing but a select can be one that the controller answers.
    if statement.get(..6).is_some_and(|w| w.eq_ignore_ascii_case("select")) {
        let own = statement.len() <= LONGEST_OWN && OWN_SELECTS.contains(&normalized(statement).as_str());
        return if own { Kind::Local } else { Kind::Engine };
    }
    let [first, second, third] = first_words(statement);
    match first.as_str() {
        "set" | "reset" | "show" | "discard" | "deallocate" => Kind::Local,
        // Drivers' pools send them after each use; a session that holds nothing has nothing to close.
        "unlisten" => Kind::Local,
        "close" if second == "all" => Kind::Local,
        "commit" | "end" | "rollback" | "abort" if second != "prepared" && second != "to" => Kind::Local,
        "begin" | "start" | "savepoint" | "release" | "commit" | "rollback" => Kind::Transaction,
        "prepare" if second == "transaction" => Kind::Transaction,
        "prepare" | "execute" | "declare" | "fetch" | "move" | "close" | "listen" | "notify" | "lock" => {
            Kind::SessionState
        }
        "create"
            if matches!(second.as_str(), "temp" | "temporary")
                || (matches!(second.as_str(), "local" | "global")
                    && matches!(third.as_str(), "temp" | "temporary")) =>
        {
            Kind::SessionState
        }
        "copy" => Kind::Copy,
        _ => Kind::Engine,
    }
}

/// What is to be done with a text of one or several statements.
pub fn kind(text: &str) -> Kind {
    let all = statements(text);
    let Some((first, others)) = all.split_first() else { return Kind::Empty };
    let mut kind = kind_of_one(first);
    for other in others {
        let other = kind_of_one(other);
        kind = match (kind, other) {
            (a, b) if a == b => a,
            (Kind::Transaction | Kind::Copy | Kind::SessionState, _) => kind,
            (_, Kind::Transaction | Kind::Copy | Kind::SessionState) => other,
            _ => Kind::Mixed,
        };
    }
    kind
}

/// A name and its value.
pub type Pair<'a> = (Cow<'a, str>, Cow<'a, str>);

/// The names and values in the comment that a text ends with; none if it ends otherwise.
pub fn comment_pairs(text: &str) -> Vec<Pair<'_>> {
    comment(text).0
}

/// The pairs of the trailing comment, and how many parts of it were ill-formed.
fn comment(text: &str) -> (Vec<Pair<'_>>, u32) {
    let mut pairs = Vec::new();
    let end = text.trim_end_matches(|c: char| c.is_ascii_whitespace() || c == ';');
    let Some(body) = end.strip_suffix("*/").and_then(|t| Some(t[t.rfind("/*")? + 2..].trim())) else {
        return (pairs, 0);
    };
    let mut rest = body;
    while !rest.is_empty() {
        let Some((name, after)) = rest.split_once('=') else {
            // An ordinary comment, or the torn end of a list.
            return (pairs, u32::from(rest.len() < body.len()));
        };
        let Some(quoted) = after.trim_start().strip_prefix('\'') else { return (pairs, 1) };
        let Some(close) = closing_quote(quoted) else { return (pairs, 1) };
        pairs.push((decoded(name.trim()), decoded(&quoted[..close])));
        rest = quoted[close + 1..].trim_start();
        rest = rest.strip_prefix(',').unwrap_or(rest).trim_start();
    }
    (pairs, 0)
}

/// The hints in the comment that a text ends with; none if it ends otherwise.
pub fn hints(text: &str) -> Hints<'_> {
    let (pairs, ill_formed) = comment(text);
    let mut hints = Hints { ignored: ill_formed, ..Hints::default() };
    for (name, value) in pairs {
        hints.set(&name, value);
    }
    hints
}

/// Where a quoted value ends; a quote in it is escaped by a backslash.
fn closing_quote(text: &str) -> Option<usize> {
    let bytes = text.as_bytes();
    let mut i = 0;
    while i < bytes.len() {
        match bytes[i] {
            b'\\' => i += 2,
            b'\'' => return Some(i),
            _ => i += 1,
        }
    }
    None
}

fn decoded(text: &str) -> Cow<'_, str> {
    let plain = percent_encoding::percent_decode_str(text).decode_utf8_lossy();
    if plain.contains('\\') {
        Cow::Owned(plain.replace("\\'", "'"))
    } else {
        plain
    }
}
