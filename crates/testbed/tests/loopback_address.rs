//! Runs that are side by side must not share an IP address: a port that one has released for its process was taken by another.

use std::collections::BTreeSet;
use wheelfield_testbed::loopback_address::{address, unused};

#[test]
fn runs_of_one_process_and_of_neighbouring_processes_have_different_addresses() {
    let processes = [1, 2, 249, 250, 251, 500, 40_000, 62_499];
    let addresses: BTreeSet<_> =
        processes.iter().flat_map(|process| (0..250).map(|run| address(*process, run))).collect();
    assert_eq!(addresses.len(), processes.len() * 250);
    assert!(addresses.iter().all(|ip| ip.is_loopback() && ip.octets()[1] != 0));
    assert_ne!(unused(), unused());
}
