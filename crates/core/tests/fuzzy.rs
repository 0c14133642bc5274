//! The rule table and the output of the fuzzy controller, compared with the paper.

use wheelfield::policy::{fuzzy_output, rule_output};

/// Table 2 of the paper. Rows are the error and columns its change, both from NVL to PVL.
const TABLE_2: [&str; 9] = [
    "NVL NVL NVL NL NL NL NM NS ZE",
    "NVL NVL NL NL NL NM NS ZE PS",
    "NVL NL NL NL NM NS ZE PS PM",
    "NL NL NL NM NS ZE PS PM PL",
    "NL NL NM NS ZE PS PM PL PL",
    "NL NM NS ZE PS PM PL PL PVL",
    "NM NS ZE PS PM PL PL PVL PVL",
    "NS ZE PS PM PL PL PVL PVL PVL",
    "ZE PS PM PL PL PVL PVL PVL PVL",
];

fn level(name: &str) -> i32 {
    ["NVL", "NL", "NM", "NS", "ZE", "PS", "PM", "PL", "PVL"].iter().position(|n| *n == name).unwrap() as i32
        - 4
}

#[test]
fn all_81_rules_are_those_of_table_2() {
    for (row, error) in TABLE_2.iter().zip(-4..) {
        for (name, change) in row.split(' ').zip(-4..) {
            assert_eq!(rule_output(error, change), level(name), "rule_output({error}, {change})");
        }
    }
}

/// The example of the paper: with an error of -0.2 s, a change of -0.4 s and a range of 1 s the output is
/// (-75*0.6 - 50*0.4 - 50*0.2 - 25*0.2) / 1.4, where the output centres are 25 apart.
#[test]
fn the_output_matches_the_example_of_the_paper() {
    let output = fuzzy_output(-0.2 * 0.5, -0.4 * 0.5);
    let expected = (-3.0 * 0.6 - 2.0 * 0.4 - 2.0 * 0.2 - 0.2) / 1.4;
    assert!((output - expected).abs() < 1e-9, "{output} for {expected}");
}

#[test]
fn the_output_has_the_sign_of_the_error_and_stays_within_its_range() {
    for e in [0.1, 0.3, 0.5, 2.0, 100.0] {
        assert!(fuzzy_output(e, 0.0) > 0.0 && fuzzy_output(-e, 0.0) < 0.0);
        assert!(fuzzy_output(e, e) <= 4.0 && fuzzy_output(-e, -e) >= -4.0);
    }
    assert_eq!(fuzzy_output(0.0, 0.0), 0.0);
    assert_eq!(fuzzy_output(1e9, 1e9), 4.0);
    assert_eq!(fuzzy_output(-1e9, -1e9), -4.0);
}
