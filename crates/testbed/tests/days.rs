//! A short bad day on real processes; and faults planted in the controllers, each of which the judge must find.
//!
//! The programs are those that `cargo test` builds for the whole workspace.

use wheelfield::interface::Micros;
use wheelfield_config::units::Time;
use wheelfield_testbed::day::Day;
use wheelfield_testbed::play::{play, Options, Report};

const SHORT: &str = include_str!("../days/short.toml");
const SYSTEM_FAULTS: &str = include_str!("../days/system_faults.toml");

fn played(seed: u64, plant: Option<&str>) -> Report {
    played_day(&Day::parse("short", SHORT).expect("sound"), seed, plant)
}

fn played_day(day: &Day, seed: u64, plant: Option<&str>) -> Report {
    let dir = tempfile::tempdir().expect("a folder");
    let options = Options {
        seed,
        dir: dir.path().to_path_buf(),
        plant: plant.map(str::to_string),
        log_level: "warn".into(),
        quiet: true,
        programs: None,
        beside: None,
        capture: false,
    };
    play(day, &options).unwrap_or_else(|fault| panic!("{fault:#}"))
}

fn breaches(report: &Report, rule: &str) -> u64 {
    report.rules.get(rule).copied().unwrap_or(0)
}

#[test]
fn a_short_bad_day_keeps_the_seven_rules() {
    let report = played(1, None);
    assert!(report.kept(), "{:?}", report.breaches);
    assert!(report.queries > 250 && report.served > 200, "{report:?}");
}

/// System calls of controllers fail, their transfers are short, and their wall clocks step, also as they are killed and suspended.
#[test]
fn a_day_with_faults_of_the_operating_system_keeps_the_rules_and_finds_a_planted_fault() {
    let mut day = Day::parse("system_faults", SYSTEM_FAULTS).expect("sound");
    day.length = Time(Micros(8_000_000));
    let report = played_day(&day, 1, None);
    assert!(report.kept(), "{:?}", report.breaches);
    assert!(report.failed_calls > 100 && report.served > 500, "{report:?}");
    let report = played_day(&day, 1, Some("lose"));
    assert!(breaches(&report, "lost") > 0, "{report:?}");
}

#[test]
fn the_captures_of_a_day_replay_to_the_same_decisions() {
    let day = Day::parse("short", SHORT).expect("sound");
    let dir = tempfile::tempdir().expect("a folder");
    let options = Options {
        seed: 2,
        dir: dir.path().to_path_buf(),
        log_level: "warn".into(),
        quiet: true,
        programs: None,
        beside: None,
        capture: true,
        plant: None,
    };
    let report = play(&day, &options).unwrap_or_else(|fault| panic!("{fault:#}"));
    assert!(report.kept(), "{:?}", report.breaches);
    let mut captures = 0;
    for file in std::fs::read_dir(dir.path()).expect("a folder").flatten() {
        let path = file.path();
        if path.extension().is_some_and(|e| e == "wfcap") {
            captures += 1;
            // That of the killed process ends where its last second was written.
            let verdict =
                wheelfield_replay::run(&path, wheelfield_replay::Options::default()).expect("readable");
            assert!(verdict.equal(), "{path:?}: {:?}", verdict.difference);
            assert!(verdict.steps > 50, "{path:?}: {} steps", verdict.steps);
        }
    }
    assert_eq!(captures, 3, "two controllers, one of which was killed and started again");
}

#[test]
fn a_planted_resend_of_once_only_work_is_found() {
    let report = played(1, Some("resend"));
    assert!(breaches(&report, "twice") > 0, "{report:?}");
}

#[test]
fn planted_lost_answers_are_found() {
    let report = played(1, Some("lose"));
    assert!(breaches(&report, "lost") > 0, "{report:?}");
}

#[test]
fn planted_sends_to_a_drained_engine_are_found() {
    let report = played(1, Some("drained"));
    assert!(breaches(&report, "drain") > 0, "{report:?}");
}

#[test]
fn planted_attempts_over_the_budget_are_found() {
    let report = played(1, Some("budget"));
    assert!(breaches(&report, "budget") > 0, "{report:?}");
}

#[test]
fn every_built_in_day_is_sound_and_drawn_alike_by_its_seed() {
    use wheelfield_testbed::plan::Plan;
    for file in std::fs::read_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/days")).expect("the days") {
        let path = file.expect("a file").path();
        let text = std::fs::read_to_string(&path).expect("a text");
        let day = Day::parse(&path.display().to_string(), &text).unwrap_or_else(|fault| panic!("{fault}"));
        let (one, two, other) = (Plan::draw(&day, 5), Plan::draw(&day, 5), Plan::draw(&day, 6));
        assert!(one.arrivals == two.arrivals && one.actions == two.actions, "{path:?}");
        assert!(one.arrivals != other.arrivals, "{path:?}");
        let expected = day.rate * day.length.0.as_secs_f64();
        let got = one.arrivals.len() as f64;
        let burst = one.troubles.iter().any(|t| t.kind == "burst");
        assert!(burst || (got - expected).abs() < 6.0 * expected.sqrt(), "{path:?}: {got} for {expected}");
    }
}
