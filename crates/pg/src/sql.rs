//! Splits a text into statements, classifies the statements, and reads the hints in the trailing comment.
//!
//! This is a scanner and not a parser: it recognizes strings, quoted names, dollar quotes and comments, and
//! classifies a statement by its first words. A statement that it does not recognize goes to an engine.

use std::borrow::Cow;

/// How the controller handles a text of SQL.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Contains no statement.
    Empty,
    /// Runs on an engine.
    Engine,
    /// Is answered by the controller itself.
    Local,
    /// Starts or uses a transaction block, which is not supported.
    Transaction,
    /// Is a COPY, which is not supported.
    Copy,
    /// Keeps state in a session with one engine, which is not supported.
    SessionState,
    /// Contains both statements for the controller and statements for an engine, which is not supported.
    Mixed,
}

/// Hints for admission and routing, given in a trailing comment such as `/*class='sim-check',work_ms='210'*/`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Hints<'a> {
    /// The name of the query's class.
    pub class: Option<Cow<'a, str>>,
    /// A label that identifies the query in the logs.
    pub id: Option<Cow<'a, str>>,
    /// The key for keyed order.
    pub key: Option<Cow<'a, str>>,
    /// The estimated work of the query in milliseconds of one thread, summed over its threads.
    pub work_ms: Option<f64>,
    /// The estimated memory of the query in MB.
    pub memory_mb: Option<f64>,
    /// The time in milliseconds, counted from the arrival of the query, after which the client gives up.
    pub due_ms: Option<f64>,
    /// The group of the tables that the query accesses.
    pub tables: Option<u64>,
    /// The number of hints that are ignored because they are unknown or malformed.
    pub ignored: u32,
}

impl<'a> Hints<'a> {
    /// Sets one hint by name. An unknown name or a malformed value is ignored and counted in `ignored`.
    pub fn set(&mut self, name: &str, value: Cow<'a, str>) {
        let number = |value: &str| value.parse::<f64>().ok().filter(|x| x.is_finite() && *x >= 0.0);
        match name {
            "class" => self.class = Some(value),
            "id" => self.id = Some(value),
            "key" => self.key = Some(value),
            "work_ms" => self.work_ms = number(&value).or_else(|| self.count_ignored()),
            "memory_mb" => self.memory_mb = number(&value).or_else(|| self.count_ignored()),
            "due_ms" => self.due_ms = number(&value).or_else(|| self.count_ignored()),
            "tables" => self.tables = value.parse().ok().or_else(|| self.count_ignored()),
            _ => {
                self.count_ignored::<()>();
            }
        }
    }

    fn count_ignored<T>(&mut self) -> Option<T> {
        self.ignored += 1;
        None
    }
}

/// The names of the hints, which `SET wheelfield.NAME` accepts too.
pub const HINT_NAMES: [&str; 7] = ["class", "id", "key", "work_ms", "memory_mb", "due_ms", "tables"];

/// Skips the lexical element that starts at `at`: a string, a quoted name, a comment, or one byte. Returns the
/// position after it, and whether it was a comment.
fn skip_element(text: &[u8], at: usize) -> (usize, bool) {
    let end_of = |from: usize, pattern: &[u8]| {
        let rest = text.get(from..).unwrap_or(&[]);
        rest.windows(pattern.len())
            .position(|w| w == pattern)
            .map_or(text.len(), |p| from + p + pattern.len())
    };
    match (text[at], text.get(at + 1)) {
        (b'-', Some(b'-')) => (end_of(at + 2, b"\n"), true),
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
            let is_word_byte = |b: u8| b.is_ascii_alphanumeric() || b == b'_';
            let escapes = quote == b'\''
                && at > 0
                && matches!(text[at - 1], b'e' | b'E')
                && !(at > 1 && is_word_byte(text[at - 2]));
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
            let tag_len = text[at + 1..].iter().position(|b| !(b.is_ascii_alphanumeric() || *b == b'_'));
            match tag_len {
                // $1 is a parameter; $$ and $name$ start a dollar-quoted string.
                Some(n) if text[at + 1 + n] == b'$' && !text[at + 1].is_ascii_digit() => {
                    let end = at + 2 + n;
                    (end_of(end, &text[at..end]), false)
                }
                _ => (at + 1, false),
            }
        }
        _ => (at + 1, false),
    }
}

/// A token of a statement. Strings, comments and whitespace are not tokens, because only names are evaluated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Token<'a> {
    /// A keyword or an identifier. A quoted identifier comes without its quotes.
    Name(Cow<'a, str>),
    /// Any other single character.
    Other(char),
}

/// The tokens of a text, in order.
pub fn tokens(text: &str) -> impl Iterator<Item = Token<'_>> {
    let bytes = text.as_bytes();
    let is_word_byte = |b: &u8| b.is_ascii_alphanumeric() || matches!(b, b'_' | b'$') || *b >= 0x80;
    let mut at = 0;
    std::iter::from_fn(move || {
        while at < bytes.len() {
            let start = at;
            if is_word_byte(&bytes[at]) && bytes[at] != b'$' {
                at += bytes[at..].iter().position(|b| !is_word_byte(b)).unwrap_or(bytes.len() - at);
                // A string with a prefix, such as E'...'.
                if bytes.get(at) == Some(&b'\'') {
                    at = skip_element(bytes, at).0.min(bytes.len());
                    continue;
                }
                return Some(Token::Name(Cow::Borrowed(&text[start..at])));
            }
            let (next, is_comment) = skip_element(bytes, at);
            at = next.min(bytes.len());
            match bytes[start] {
                b'"' => {
                    let inner = &text[start + 1..at];
                    let inner = inner.strip_suffix('"').unwrap_or(inner);
                    return Some(Token::Name(Cow::Owned(inner.replace("\"\"", "\""))));
                }
                b'\'' | b'$' => {}
                b if is_comment || b.is_ascii_whitespace() => {}
                b => return Some(Token::Other(char::from(b))),
            }
        }
        None
    })
}

/// The statements of a text, each without its semicolon. Empty statements are omitted.
pub fn statements(text: &str) -> Vec<&str> {
    let bytes = text.as_bytes();
    let (mut out, mut start, mut i, mut has_content) = (Vec::new(), 0, 0, false);
    while i < bytes.len() {
        let (next, is_comment) = skip_element(bytes, i);
        if bytes[i] == b';' {
            if has_content {
                out.push(&text[start..i]);
            }
            (start, has_content) = (i + 1, false);
        } else {
            has_content |= !is_comment && !bytes[i].is_ascii_whitespace();
        }
        i = next.min(bytes.len());
    }
    if has_content {
        out.push(&text[start..]);
    }
    out
}

/// The text without leading whitespace and comments.
fn trim_start_comments(text: &str) -> &str {
    let bytes = text.as_bytes();
    let mut i = 0;
    while i < bytes.len() {
        let (next, is_comment) = skip_element(bytes, i);
        if !is_comment && !bytes[i].is_ascii_whitespace() {
            break;
        }
        i = next.min(bytes.len());
    }
    &text[i..]
}

/// The first three words of a statement in lower case, each cut to 32 bytes.
fn first_words(statement: &str) -> [String; 3] {
    let mut words: [String; 3] = Default::default();
    let mut rest = statement;
    for word in &mut words {
        rest = trim_start_comments(rest);
        let end = rest.find(|c: char| !(c.is_ascii_alphanumeric() || c == '_')).unwrap_or(rest.len());
        *word = rest[..end.min(32)].to_ascii_lowercase();
        rest = &rest[end..];
    }
    words
}

/// The statement without comments, with runs of whitespace replaced by one space, and in lower case except for
/// strings and quoted names. Used to compare short statements.
pub fn normalized(statement: &str) -> String {
    normalize(statement, true)
}

/// The statement without comments, and with runs of whitespace replaced by one space. The case is preserved.
pub fn normalized_preserving_case(statement: &str) -> String {
    normalize(statement, false)
}

fn normalize(statement: &str, lowercase: bool) -> String {
    let bytes = statement.as_bytes();
    let (mut out, mut i) = (String::new(), 0);
    while i < bytes.len() {
        let (next, is_comment) = skip_element(bytes, i);
        let mut next = next.min(bytes.len());
        // Keeps a multi-byte character in one piece.
        while !statement.is_char_boundary(next) {
            next += 1;
        }
        let part = &statement[i..next];
        if is_comment || bytes[i].is_ascii_whitespace() {
            if !out.is_empty() && !out.ends_with(' ') {
                out.push(' ');
            }
        } else if lowercase && !matches!(bytes[i], b'\'' | b'"') {
            out.push_str(&part.to_lowercase());
        } else {
            out.push_str(part);
        }
        i = next;
    }
    out.trim_end_matches([' ', ';']).to_string()
}

/// SELECT statements that drivers send after connecting and that the controller can answer.
pub const LOCAL_SELECTS: [&str; 9] = [
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

/// Longer statements are not compared with [`LOCAL_SELECTS`].
const MAX_LOCAL_SELECT_BYTES: usize = 80;

/// Classifies a single statement.
fn statement_kind(statement: &str) -> Kind {
    let statement = trim_start_comments(statement);
    // Checked first because it is the most frequent case. Most SELECT statements go to an engine.
    if statement.get(..6).is_some_and(|w| w.eq_ignore_ascii_case("select")) {
        let is_local = statement.len() <= MAX_LOCAL_SELECT_BYTES
            && LOCAL_SELECTS.contains(&normalized(statement).as_str());
        return if is_local { Kind::Local } else { Kind::Engine };
    }
    let [first, second, third] = first_words(statement);
    match first.as_str() {
        "set" | "reset" | "show" | "discard" | "deallocate" => Kind::Local,
        // Connection pools of drivers send UNLISTEN and CLOSE ALL after each use. A session has no subscriptions and no
        // cursors, so there is nothing to undo.
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

/// Classifies a text of any number of statements.
pub fn kind(text: &str) -> Kind {
    let all = statements(text);
    let Some((first, others)) = all.split_first() else { return Kind::Empty };
    let mut kind = statement_kind(first);
    for other in others {
        let other = statement_kind(other);
        kind = match (kind, other) {
            (a, b) if a == b => a,
            (Kind::Transaction | Kind::Copy | Kind::SessionState, _) => kind,
            (_, Kind::Transaction | Kind::Copy | Kind::SessionState) => other,
            _ => Kind::Mixed,
        };
    }
    kind
}

/// The name and the value of an entry in a trailing comment.
pub type CommentPair<'a> = (Cow<'a, str>, Cow<'a, str>);

/// The names and values in the trailing comment of a text. Empty if the text does not end with a comment.
pub fn comment_pairs(text: &str) -> Vec<CommentPair<'_>> {
    parse_trailing_comment(text).0
}

/// The names and values in the trailing comment of a text, and the number of malformed entries.
fn parse_trailing_comment(text: &str) -> (Vec<CommentPair<'_>>, u32) {
    let mut pairs = Vec::new();
    let trimmed = text.trim_end_matches(|c: char| c.is_ascii_whitespace() || c == ';');
    let Some(body) = trimmed.strip_suffix("*/").and_then(|t| Some(t[t.rfind("/*")? + 2..].trim())) else {
        return (pairs, 0);
    };
    let mut rest = body;
    while !rest.is_empty() {
        let Some((name, after)) = rest.split_once('=') else {
            // An ordinary comment if nothing was parsed before it, else an incomplete last entry of a list.
            return (pairs, u32::from(rest.len() < body.len()));
        };
        let Some(quoted) = after.trim_start().strip_prefix('\'') else { return (pairs, 1) };
        let Some(close) = closing_quote(quoted) else { return (pairs, 1) };
        pairs.push((decode(name.trim()), decode(&quoted[..close])));
        rest = quoted[close + 1..].trim_start();
        rest = rest.strip_prefix(',').unwrap_or(rest).trim_start();
    }
    (pairs, 0)
}

/// The hints in the trailing comment of a text. All are unset if the text does not end with a comment.
pub fn hints(text: &str) -> Hints<'_> {
    let (pairs, malformed) = parse_trailing_comment(text);
    let mut hints = Hints { ignored: malformed, ..Hints::default() };
    for (name, value) in pairs {
        hints.set(&name, value);
    }
    hints
}

/// The position of the closing quote. Quotes inside the value are escaped with a backslash.
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

/// Decodes percent-encoding and escaped quotes.
fn decode(text: &str) -> Cow<'_, str> {
    let decoded = percent_encoding::percent_decode_str(text).decode_utf8_lossy();
    if decoded.contains('\\') {
        Cow::Owned(decoded.replace("\\'", "'"))
    } else {
        decoded
    }
}
