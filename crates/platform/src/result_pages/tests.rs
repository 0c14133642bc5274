use super::*;
use proptest::prelude::*;

#[test]
fn a_page_is_valid_only_with_complete_rows_of_three_columns() {
    assert!(is_valid_page(b"a\t1\tx\nb\t2\ty\n") && is_valid_page(b"") && is_valid_page(b"\t\t\n"));
    for invalid_page in [
        &b"a\t1\tx"[..],
        b"a\t1\n",
        b"a\t1\tx\ty\n",
        b"a\t1\t\xff\n",
        b"\n",
    ] {
        assert!(!is_valid_page(invalid_page), "{invalid_page:?}");
    }
    assert!(
        !is_valid_page(&b"a\t1\tx\n".repeat(1001)),
        "page exceeds the maximum length"
    );
}

proptest! {
    #[test]
    fn json_contains_the_rows_of_all_pages_in_order(
        rows in prop::collection::vec(prop::collection::vec("[^\t\n]{0,8}", 3), 0..20),
        cut in 0usize..20,
    ) {
        let page = |rows: &[Vec<String>]| -> Bytes {
            rows.iter().map(|r| r.join("\t") + "\n").collect::<String>().into()
        };
        let cut = cut.min(rows.len());
        let pages = [page(&rows[..cut]), page(&rows[cut..])];
        prop_assert!(pages.iter().all(|p| is_valid_page(p)));
        let json: serde_json::Value = serde_json::from_slice(&rows_to_json(&pages)).expect("JSON");
        let decoded_rows: Vec<Vec<String>> = serde_json::from_value(json["batch"].clone()).expect("rows");
        prop_assert_eq!(decoded_rows, rows);
        prop_assert!(json.get("cursor").is_none() && json.get("reason").is_none());
    }
}
