//! Query results: validates the pages of rows that executors send, and converts them to the JSON that clients receive.

use bytes::Bytes;

/// Maximum length of a page in bytes.
pub const MAX_PAGE_BYTES: usize = 6_000;
/// Maximum length of all pages of a result in bytes.
pub const MAX_RESULT_BYTES: usize = 48_000;
/// Maximum number of pages of a result.
pub const MAX_PAGES: usize = 64;
/// Number of columns of a row.
const COLUMNS: usize = 3;

/// Returns whether a page consists of complete rows of three columns: UTF-8 text with columns separated by tabs and each row
/// terminated by a line feed.
pub fn is_valid_page(page: &[u8]) -> bool {
    let Ok(text) = std::str::from_utf8(page) else {
        return false;
    };
    let is_complete = text.is_empty() || text.ends_with('\n');
    is_complete
        && page.len() <= MAX_PAGE_BYTES
        && text
            .split_terminator('\n')
            .all(|row| row.split('\t').count() == COLUMNS)
}

/// Converts the rows of all pages, in order, to a JSON object whose field `batch` is an array of rows.
pub fn rows_to_json(pages: &[Bytes]) -> Vec<u8> {
    let length: usize = pages.iter().map(Bytes::len).sum();
    let mut json = Vec::with_capacity(length + length / 2 + 32);
    json.extend_from_slice(b"{\"batch\":[");
    let rows = pages
        .iter()
        .flat_map(|page| page.split_inclusive(|byte| *byte == b'\n'));
    for (index, row) in rows.enumerate() {
        let row = std::str::from_utf8(row)
            .unwrap_or("")
            .trim_end_matches('\n');
        json.extend_from_slice(if index == 0 { b"[" } else { b",[" });
        for (column_index, column) in row.split('\t').enumerate() {
            if column_index > 0 {
                json.push(b',');
            }
            // Writing to a `Vec` can't fail.
            let _ = serde_json::to_writer(&mut json, column);
        }
        json.push(b']');
    }
    json.extend_from_slice(b"]}");
    json
}

#[cfg(test)]
mod tests;
