//! Checks that every message quoted in `docs/on-call.md` occurs in the sources, so that operators can search for it.
//!
//! The messages are the double-quoted texts in the first column of the page's tables, and the quoted texts that follow the
//! word "log" anywhere on the page. A separate `N` in a message stands for a number, and `...` for any text.

use std::path::{Path, PathBuf};

const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
/// Minimum number of messages on the page. Fewer mean that the extraction does not work.
const MIN_MESSAGES: usize = 20;

/// Returns the messages that a page quotes, with their line numbers.
fn quoted_messages(page: &str) -> Vec<(usize, &str)> {
    let mut messages = Vec::new();
    for (index, line) in page.lines().enumerate() {
        let mut found = quotes_after_log(line);
        if let Some(cell) = line.strip_prefix('|').and_then(|row| row.split('|').next()) {
            found.extend(double_quoted(cell));
        }
        found.sort_unstable();
        found.dedup();
        messages.extend(found.into_iter().map(|message| (index + 1, message)));
    }
    messages
}

/// Returns all double-quoted parts of a text.
fn double_quoted(text: &str) -> Vec<&str> {
    text.split('"').skip(1).step_by(2).collect()
}

/// Returns the quoted texts that follow the words "log" or "log has no", including further ones joined by "or".
fn quotes_after_log(line: &str) -> Vec<&str> {
    let mut quotes = Vec::new();
    for (at, _) in line.match_indices("log ") {
        if line[..at].ends_with(|before: char| before.is_alphanumeric() || before == '-') {
            continue;
        }
        let mut rest = &line[at + "log ".len()..];
        rest = rest.strip_prefix("has no ").unwrap_or(rest);
        while let Some((quote, tail)) = leading_quote(rest) {
            quotes.push(quote);
            let Some(more) = tail.strip_prefix(" or ") else {
                break;
            };
            rest = more;
        }
    }
    quotes
}

/// Splits off a quoted text, in double quotes or backticks, from the beginning of a text. Returns it and the rest.
fn leading_quote(text: &str) -> Option<(&str, &str)> {
    let mark = text.chars().next().filter(|c| matches!(c, '"' | '`'))?;
    text[1..].split_once(mark)
}

/// A part of a message: literal text or a wildcard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part<'a> {
    /// Text that occurs in the sources literally.
    Text(&'a str),
    /// A number, which is a placeholder of a format string in the sources.
    Number,
    /// Any text.
    Anything,
}

/// Splits a message into literal text and wildcards.
fn parts(message: &str) -> Vec<Part<'_>> {
    let mut parts = Vec::new();
    let (mut start, mut at) = (0, 0);
    while at < message.len() {
        let rest = &message[at..];
        let is_word_start = message[..at]
            .chars()
            .next_back()
            .is_none_or(|c| !c.is_alphanumeric());
        let is_number_wildcard = rest.starts_with('N')
            && is_word_start
            && rest[1..]
                .chars()
                .next()
                .is_none_or(|c| !c.is_alphanumeric());
        let wildcard = match rest {
            _ if is_number_wildcard => Some((Part::Number, 1)),
            _ if rest.starts_with("...") => Some((Part::Anything, 3)),
            _ => None,
        };
        let step = wildcard.map_or_else(
            || rest.chars().next().map_or(1, char::len_utf8),
            |(_, length)| length,
        );
        if let Some((part, _)) = wildcard {
            parts.extend((start < at).then(|| Part::Text(&message[start..at])));
            parts.push(part);
            start = at + step;
        }
        at += step;
    }
    parts.extend((start < message.len()).then(|| Part::Text(&message[start..])));
    parts
}

/// Returns whether a text begins with these parts.
fn begins_with(text: &str, parts: &[Part<'_>]) -> bool {
    match parts.split_first() {
        None | Some((Part::Anything, _)) => true,
        Some((Part::Text(part), tail)) => text
            .strip_prefix(part)
            .is_some_and(|rest| begins_with(rest, tail)),
        Some((Part::Number, tail)) => {
            let placeholder = text.strip_prefix('{').and_then(|rest| rest.split_once('}'));
            placeholder.is_some_and(|(_, rest)| begins_with(rest, tail))
        }
    }
}

/// Returns whether a message occurs in a source whose comments have been removed.
fn contains(source: &str, message: &str) -> bool {
    let parts = parts(message);
    let Some(Part::Text(first)) = parts.first() else {
        return false;
    };
    source
        .match_indices(first)
        .any(|(at, _)| begins_with(&source[at..], &parts))
}

/// Removes the comment lines from a source and joins string literals that a backslash continues on the next line.
fn without_comments(source: &str) -> String {
    let mut text = String::new();
    for line in source
        .lines()
        .map(str::trim_start)
        .filter(|line| !line.starts_with("//"))
    {
        match line.strip_suffix('\\') {
            Some(continued) => text.push_str(continued),
            None => {
                text.push_str(line);
                text.push('\n');
            }
        }
    }
    text
}

/// Returns the Rust sources of all crates without their tests and comments.
fn sources() -> Vec<String> {
    let mut folders: Vec<PathBuf> = list(&Path::new(ROOT).join("crates"));
    folders
        .iter_mut()
        .for_each(|crate_folder| crate_folder.push("src"));
    let mut sources = Vec::new();
    while let Some(folder) = folders.pop() {
        for path in list(&folder) {
            if path.is_dir() {
                folders.push(path);
            } else if path.extension().is_some_and(|e| e == "rs") && !path.ends_with("tests.rs") {
                let source = std::fs::read_to_string(&path).expect("read the source");
                sources.push(without_comments(&source));
            }
        }
    }
    sources
}

fn list(folder: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(folder).into_iter().flatten();
    entries
        .map(|entry| entry.expect("a directory entry").path())
        .collect()
}

#[test]
fn messages_quoted_on_the_page_occur_in_the_sources() {
    let page =
        std::fs::read_to_string(Path::new(ROOT).join("docs/on-call.md")).expect("read the page");
    let messages = quoted_messages(&page);
    assert!(
        messages.len() >= MIN_MESSAGES,
        "only {} messages found",
        messages.len()
    );
    let sources = sources();
    let missing: Vec<_> = messages
        .into_iter()
        .filter(|(_, message)| !sources.iter().any(|source| contains(source, message)))
        .collect();
    assert!(
        missing.is_empty(),
        "messages in docs/on-call.md (line, message) that occur in no source: {missing:#?}"
    );
}

#[test]
fn messages_are_extracted_after_the_word_log_and_from_the_first_column() {
    let page = "| log \"a b\" or `c` seen, \"d\" | x \"not this\" | log `e: f` names it |\ncatalog \"no\"\nlog has no `g`";
    assert_eq!(
        quoted_messages(page),
        [(1, "a b"), (1, "c"), (1, "d"), (1, "e: f"), (3, "g")]
    );
}

#[test]
fn messages_match_placeholders_of_format_strings_and_ignore_comments() {
    let source = without_comments(
        "// only said here\nlog(format!(\"silent with {} queries of {count} \\\n    left over\"));\n",
    );
    assert!(contains(&source, "silent with N queries of N left over"));
    assert!(contains(&source, "silent with ..."));
    assert!(
        !contains(&source, "silent with N calls"),
        "a message that does not occur"
    );
    assert!(!contains(&source, "only said here"), "a comment");
}
