//! Finds the group of tables that a statement reads or writes.

use std::borrow::Cow;
use wheelfield_pg::sql::{self, Token};

/// Keywords that tables follow.
const KEYWORDS_BEFORE_TABLES: [&str; 6] = ["from", "join", "into", "update", "table", "using"];
/// Keywords that end a list of tables.
const KEYWORDS_AFTER_TABLES: [&str; 10] = [
    "where", "on", "group", "order", "set", "values", "select", "having", "limit", "union",
];
/// The schema of data that waits to be loaded, which belongs to no group.
const STAGING_SCHEMA: &str = "staging";

/// The group of a schema, which is the number after its last underscore; `None` if it has no such number.
fn schema_group(schema: &str) -> Option<u64> {
    if schema.eq_ignore_ascii_case(STAGING_SCHEMA) {
        return None;
    }
    let (_, number) = schema.rsplit_once('_')?;
    number.parse().ok()
}

fn is_keyword(name: &str, keywords: &[&str]) -> bool {
    keywords
        .iter()
        .any(|keyword| name.eq_ignore_ascii_case(keyword))
}

/// The group of tables that a statement reads or writes: that of the first schema named among tables, else of the first schema
/// named elsewhere. `None` if no schema of a group is named.
pub fn table_group(statement: &str) -> Option<u64> {
    let mut group_elsewhere = None;
    let mut is_among_tables = false;
    let mut is_after_dot = false;
    // The last name, if it stood at the start of a qualified name.
    let mut schema: Option<Cow<'_, str>> = None;
    for token in sql::tokens(statement) {
        match token {
            Token::Name(_) if is_after_dot => {
                // Inside a qualified name, no word is a keyword.
                (schema, is_after_dot) = (None, false);
            }
            Token::Name(name) => {
                is_among_tables = (is_among_tables || is_keyword(&name, &KEYWORDS_BEFORE_TABLES))
                    && !is_keyword(&name, &KEYWORDS_AFTER_TABLES);
                schema = Some(name);
            }
            Token::Other('.') => {
                is_after_dot = true;
                let Some(group) = schema.take().as_deref().and_then(schema_group) else {
                    continue;
                };
                if is_among_tables {
                    return Some(group);
                }
                group_elsewhere = group_elsewhere.or(Some(group));
            }
            Token::Other(_) => (schema, is_after_dot) = (None, false),
        }
    }
    group_elsewhere
}

#[cfg(test)]
mod tests;
