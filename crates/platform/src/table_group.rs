//! Determines the table group that a SQL statement reads or writes.

use std::borrow::Cow;
use wheelfield_pg::sql::{self, Token};

/// Keywords that introduce a list of tables.
const TABLE_LIST_KEYWORDS: [&str; 6] = ["from", "join", "into", "update", "table", "using"];
/// Keywords that end a list of tables.
const TABLE_LIST_END_KEYWORDS: [&str; 10] = [
    "where", "on", "group", "order", "set", "values", "select", "having", "limit", "union",
];
/// Schema of data that has not been loaded yet; it does not belong to a table group.
const STAGING_SCHEMA: &str = "staging";

/// Returns the table group of a schema, which is the number after the last underscore of its name; `None` if there is no such
/// number.
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

/// Returns the table group that a statement reads or writes. This is the group of the first schema that qualifies a table, or, if
/// there is none, of the first schema that qualifies any other name. `None` if no schema in the statement has a table group.
pub fn table_group(statement: &str) -> Option<u64> {
    let mut other_group = None;
    let mut is_in_table_list = false;
    let mut is_after_dot = false;
    // The preceding name, if it is the first part of a name; a dot after it makes it a schema.
    let mut schema: Option<Cow<'_, str>> = None;
    for token in sql::tokens(statement) {
        match token {
            Token::Name(_) if is_after_dot => {
                // A word after a dot is part of a qualified name and never a keyword.
                (schema, is_after_dot) = (None, false);
            }
            Token::Name(name) => {
                is_in_table_list = (is_in_table_list || is_keyword(&name, &TABLE_LIST_KEYWORDS))
                    && !is_keyword(&name, &TABLE_LIST_END_KEYWORDS);
                schema = Some(name);
            }
            Token::Other('.') => {
                is_after_dot = true;
                let Some(group) = schema.take().as_deref().and_then(schema_group) else {
                    continue;
                };
                if is_in_table_list {
                    return Some(group);
                }
                other_group = other_group.or(Some(group));
            }
            Token::Other(_) => (schema, is_after_dot) = (None, false),
        }
    }
    other_group
}

#[cfg(test)]
mod tests;
