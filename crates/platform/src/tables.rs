//! Which group of tables a statement reads or writes.

use wheelfield_pg::sql;

/// Words after which tables are named, and words after which they no longer are.
const BEFORE_TABLES: [&str; 6] = ["from", "join", "into", "update", "table", "using"];
const AFTER_TABLES: [&str; 10] =
    ["where", "on", "group", "order", "set", "values", "select", "having", "limit", "union"];
/// Where data waits to be loaded: no group of its own.
const STAGING_SCHEMA: &str = "staging";

/// The group of a schema: the number after its underscore. None for others.
fn group(schema: &str) -> Option<u64> {
    if schema.eq_ignore_ascii_case(STAGING_SCHEMA) {
        return None;
    }
    schema.rsplit_once('_').and_then(|(_, number)| number.parse().ok())
}

/// The group of tables that a statement reads or writes: of the schemas it names where tables stand, else of any name with a
/// schema in it. None where there is none.
pub fn table_group(statement: &str) -> Option<u64> {
    let (mut elsewhere, mut tables, mut dotted) = (None, false, false);
    let mut schema: Option<std::borrow::Cow<'_, str>> = None;
    for token in sql::tokens(statement) {
        match token {
            sql::Token::Name(name) => {
                let is = |words: &[&str]| !dotted && words.iter().any(|w| name.eq_ignore_ascii_case(w));
                tables = (tables || is(&BEFORE_TABLES)) && !is(&AFTER_TABLES);
                (schema, dotted) = ((!dotted).then_some(name), false);
            }
            sql::Token::Other('.') => {
                dotted = true;
                let Some(found) = schema.take().as_deref().and_then(group) else { continue };
                if tables {
                    return Some(found);
                }
                elsewhere = elsewhere.or(Some(found));
            }
            sql::Token::Other(_) => (schema, dotted) = (None, false),
        }
    }
    elsewhere
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_schema_of_the_table_counts() {
        let group = table_group;
        assert_eq!(
            group("SELECT day, count(*) FROM sales_17.orders WHERE tag = '3f9c' GROUP BY day"),
            Some(17)
        );
        assert_eq!(group("insert into stock_4.moves select * from staging.batch_9"), Some(4));
        assert_eq!(group("select * from staging.x join \"sales_3\".\"orders\" o on o.id = x.id"), Some(3));
        assert_eq!(
            group("select 'from sales_1.x' /* from sales_2.y */ from sales_5.z -- sales_6.q"),
            Some(5)
        );
        assert_eq!(group("select t_9.day from staging_area.x, sales_8.orders t_9"), Some(8));
        assert_eq!(group("update sales_12 . orders set x = 1.5"), Some(12));
        assert_eq!(group("select 1.5 from orders_7"), None);
        assert_eq!(group(""), None);
    }
}
