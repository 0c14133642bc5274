//! An engine set saved by version 0.2.0 must be readable by all later versions.

use std::net::SocketAddr;
use std::path::Path;
use wheelfield::interface::{Micros, Status};
use wheelfield_config::Names;
use wheelfield_endpoints::file::Topology;
use wheelfield_endpoints_cli::disk::read_last_good;

#[test]
fn a_set_saved_by_version_0_2_0_is_read_completely() {
    let names = Names {
        zones: vec!["a".into(), "b".into()],
        kinds: vec!["std".into(), "big".into()],
        ..Names::default()
    };
    let topology = Topology { names, cores: vec![8.0, 16.0], accept_unknown_names: false };
    let path = Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/recorded/kept-engines.toml"));
    let (set, saved_at) = read_last_good(path, &topology).expect("readable").expect("there");
    assert_eq!((set.version, saved_at), (17, Micros(1_764_652_800_000_000)));
    let addresses: Vec<SocketAddr> = set.engines.values().map(|record| record.address).collect();
    let expected = [5501, 5502, 5503].map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    assert!(expected.iter().all(|address| addresses.contains(address)), "{addresses:?}");
    let draining = set.engines.values().filter(|record| record.entry.status == Status::Draining).count();
    assert_eq!((set.engines.len(), draining), (3, 1));
}
