//! Results: pages of rows as executors send them, and the JSON that clients are sent.

use bytes::Bytes;

/// Bytes of a page at most.
pub const MAX_PAGE_BYTES: usize = 6_000;
/// Bytes of a result at most.
pub const MAX_RESULT_BYTES: usize = 48_000;
/// Pages of a result at most: each holds a row of one byte and its separators at least, but none of ours has more.
pub const MAX_PAGES: usize = 64;

/// Whether a page is whole rows of three columns, as text.
pub fn is_page(page: &[u8]) -> bool {
    let Ok(text) = std::str::from_utf8(page) else { return false };
    let whole = text.is_empty() || text.ends_with('\n');
    whole
        && page.len() <= MAX_PAGE_BYTES
        && text.split_terminator('\n').all(|row| row.bytes().filter(|b| *b == b'\t').count() == 2)
}

/// The last answer to a client: all rows of these pages, in order.
pub fn answer(pages: &[Bytes]) -> Vec<u8> {
    let length: usize = pages.iter().map(Bytes::len).sum();
    let mut out = Vec::with_capacity(length + length / 2 + 32);
    out.extend_from_slice(b"{\"batch\":[");
    let mut first = true;
    for row in pages.iter().flat_map(|page| page.split_inclusive(|b| *b == b'\n')) {
        let row = std::str::from_utf8(row).unwrap_or("").trim_end_matches('\n');
        out.extend_from_slice(if std::mem::take(&mut first) { b"[" } else { b",[" });
        for (n, column) in row.split('\t').enumerate() {
            if n > 0 {
                out.push(b',');
            }
            // Writing to memory can't fail.
            let _ = serde_json::to_writer(&mut out, column);
        }
        out.push(b']');
    }
    out.extend_from_slice(b"]}");
    out
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn pages_are_whole_rows_of_three_columns() {
        assert!(is_page(b"a\t1\tx\nb\t2\ty\n") && is_page(b"") && is_page(b"\t\t\n"));
        for bad in [&b"a\t1\tx"[..], b"a\t1\n", b"a\t1\tx\ty\n", b"a\t1\t\xff\n", b"\n"] {
            assert!(!is_page(bad), "{bad:?}");
        }
        assert!(!is_page(&b"a\t1\tx\n".repeat(1001)), "over the limit");
    }

    proptest! {
        #[test]
        fn rows_come_out_as_they_went_in(
            rows in prop::collection::vec(prop::collection::vec("[^\t\n]{0,8}", 3), 0..20),
            cut in 0usize..20,
        ) {
            let page = |rows: &[Vec<String>]| -> Bytes {
                rows.iter().map(|r| r.join("\t") + "\n").collect::<String>().into()
            };
            let cut = cut.min(rows.len());
            let pages = [page(&rows[..cut]), page(&rows[cut..])];
            prop_assert!(pages.iter().all(|p| is_page(p)));
            let json: serde_json::Value = serde_json::from_slice(&answer(&pages)).expect("JSON");
            let got: Vec<Vec<String>> = serde_json::from_value(json["batch"].clone()).expect("rows");
            prop_assert_eq!(got, rows);
            prop_assert!(json.get("cursor").is_none() && json.get("reason").is_none());
        }
    }
}
