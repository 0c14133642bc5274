use super::{Limits, Recorder, MAX_ENGINE_NAMES};
use crate::format::Start;
use wheelfield::interface::{EngineId, Micros, Settings};
use wheelfield_driver::{Driver, DriverLimits};

#[test]
fn the_names_of_the_newest_engines_are_kept_up_to_a_bound() {
    let folder = tempfile::tempdir().expect("a folder");
    let (settings, driver_limits) = (Settings::default(), DriverLimits::default());
    let driver = Driver::new(settings.clone(), 1, driver_limits);
    let start = Start {
        build: String::new(),
        index: 0,
        seed: 1,
        settings,
        driver_limits,
        classes: Vec::new(),
        tenants: Vec::new(),
    };
    let path = folder.path().join("x.wfcap");
    let mut recorder =
        Recorder::begin(&path, start, Limits::default(), &driver, Micros(0)).expect("begun");
    let newest = 3 * MAX_ENGINE_NAMES as u64;
    for n in 1..=newest {
        // Names are passed again with each change of the list.
        let names = (n.saturating_sub(2)..=n).map(|n| (EngineId(n), format!("e{n}")));
        recorder.record_engines(Micros(n as i64), names);
    }
    assert_eq!(recorder.engine_names.len(), MAX_ENGINE_NAMES);
    assert_eq!(recorder.engine_order.len(), MAX_ENGINE_NAMES);
    assert!(recorder.engine_names.contains_key(&EngineId(newest)));
    assert!(!recorder.engine_names.contains_key(&EngineId(1)));
}
