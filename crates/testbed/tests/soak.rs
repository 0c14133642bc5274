//! The soak finds a planted fault for each of its invariants, and nothing where none is planted. The faults of these runs are
//! given, not drawn.
//!
//! The programs are those that `cargo test` builds for the whole workspace.

use std::time::Duration;
use wheelfield_fault_shim::{Call, Errno};
use wheelfield_soak::judge::{Invariant, Verdict};
use wheelfield_soak::plan::{Deployment, Fault, Plan, PlannedFault, SignalSeries};
use wheelfield_soak::SoakOptions;
use wheelfield_testbed::processes;

const CONTROLLERS: usize = 4;
const LENGTH: Duration = Duration::from_secs(9);

/// A plan that has a fault in force from second `from` to `until`, at all controllers and one executor.
fn planned(faults: &[(Fault, f64, f64)]) -> Plan {
    let micros = |seconds: f64| (seconds * 1e6) as i64;
    let faults = faults.iter().enumerate();
    Plan {
        faults: faults
            .map(|(n, (fault, from, until))| PlannedFault {
                fault: fault.clone(),
                controllers: (0..CONTROLLERS).collect(),
                executor_choice: n,
                from: micros(*from),
                until: micros(*until),
            })
            .collect(),
        deployment: Deployment::default(),
    }
}

fn played(plant: Option<&str>, plan: &Plan, clients_per_controller: usize) -> Verdict {
    let logs = tempfile::tempdir().expect("a folder");
    let options = SoakOptions {
        seed: 7,
        duration: LENGTH,
        controllers: CONTROLLERS,
        clients_per_controller,
        executors: 6,
        program: processes::program("wheelfield-controller", None).expect("built"),
        log_dir: logs.path().to_path_buf(),
        planted_fault: plant.map(str::to_string),
    };
    wheelfield_soak::run_plan(&options, plan).expect("played")
}

fn assert_found(plant: &str, plan: &Plan, clients: usize, expected: &[Invariant]) {
    let verdict = played(Some(plant), plan, clients);
    for invariant in expected {
        let found = verdict.violations.iter().any(|violation| violation.invariant == *invariant);
        assert!(found, "{plant}: no violation of {invariant} was found; {:?}", verdict.totals);
    }
}

/// One after the other, as each run has dozens of threads.
#[test]
fn each_planted_fault_is_found_by_the_invariant_it_breaks() {
    let resets: Vec<(Fault, f64, f64)> =
        (2..16).map(|n| (Fault::ExecutorReset, f64::from(n) / 2.0, f64::from(n) / 2.0 + 0.1)).collect();
    assert_found("repeat-after-reset", &planned(&resets), 12, &[Invariant::Repeat, Invariant::Guard]);
    // All of them hang: queries of clients that leave are sent again when half of their time is over.
    let hangs = vec![(Fault::ExecutorHang, 1.0, 6.0); 6];
    assert_found("ignore-disconnects", &planned(&hangs), 12, &[Invariant::Departure, Invariant::Guard]);
    assert_found(
        "close-busy-clients",
        &planned(&[
            (Fault::ExecutorHang, 1.0, 3.5),
            (Fault::ExecutorHang, 1.0, 3.5),
            (Fault::Terminate, 2.0, 2.1),
        ]),
        12,
        &[Invariant::Answer, Invariant::Guard],
    );
    assert_found("ignore-lists", &planned(&[(Fault::ExecutorDrain, 1.0, 2.0)]), 4, &[Invariant::Drain]);
    assert_found(
        "ignore-waiting",
        &planned(&[(Fault::Suspend, 1.0, 2.0), (Fault::Suspend, 3.0, 4.0)]),
        12,
        &[Invariant::Limit],
    );
    assert_found("ignore-starts", &planned(&[(Fault::ExecutorCrash, 1.0, 2.0)]), 20, &[Invariant::SlowStart]);
    assert_found(
        "panic-on-reload",
        &planned(&[(Fault::Reload(0), 2.0, 2.1)]),
        2,
        &[Invariant::Process, Invariant::Guard],
    );
}

/// Each way in which a list is not heard or asked for, with the drains and removals that it hides.
#[test]
fn planted_faults_of_the_age_of_lists_are_found() {
    let suspensions = planned(&[
        (Fault::Suspend, 1.0, 4.2),
        (Fault::ExecutorDrain, 1.2, 1.3),
        (Fault::ExecutorUnlist, 1.2, 1.3),
        (Fault::NameServiceSlow(300), 3.0, 8.0),
    ]);
    assert_found("ignore-inactivity", &suspensions, 12, &[Invariant::Drain]);
    let reloads = planned(&[
        (Fault::NameServiceSlow(150), 1.0, 8.0),
        (Fault::Signals(SignalSeries::Reloads(40)), 1.5, 5.5),
        (Fault::ExecutorDrain, 1.2, 1.3),
    ]);
    assert_found("ignore-former-service", &reloads, 12, &[Invariant::Drain]);
    // All answers but each fifteenth are lost: at four questions a second nothing is heard for three seconds and a half.
    let losses = planned(&[
        (Fault::NameServiceLossy(1_000), 1.0, 8.0),
        (Fault::ExecutorDrain, 1.2, 1.3),
        (Fault::ExecutorUnlist, 1.4, 1.5),
    ]);
    assert_found("poll-at-fixed-rate", &losses, 12, &[Invariant::Drain]);
    let unreadable = Fault::Call { call: Call::ReceiveDatagram, errno: Errno::NoMemory, per_mille: 1_000 };
    let unread = planned(&[
        (unreadable, 1.0, 8.0),
        (Fault::ExecutorDrain, 1.2, 1.3),
        (Fault::ExecutorUnlist, 1.4, 1.5),
    ]);
    assert_found("ignore-list-age", &unread, 12, &[Invariant::Drain]);
    let renumbered = planned(&[
        (Fault::NameServiceForeignNumbers(200), 1.0, 8.0),
        (Fault::ExecutorDrain, 1.2, 1.3),
        (Fault::ExecutorUnlist, 1.4, 1.5),
    ]);
    for plan in [suspensions, reloads, losses, unread, renumbered] {
        let verdict = played(None, &plan, 12);
        assert!(verdict.violations.is_empty(), "{:#?}", verdict.violations);
    }
}

#[test]
fn a_run_without_a_planted_fault_breaks_nothing() {
    let plan = planned(&[
        (Fault::ExecutorReset, 1.0, 1.1),
        (Fault::Suspend, 1.5, 2.5),
        (Fault::ExecutorDrain, 1.8, 2.0),
        (Fault::Terminate, 3.0, 3.1),
        (Fault::Reload(2_000), 4.5, 4.6),
    ]);
    let verdict = played(None, &plan, 4);
    let told: Vec<String> = verdict
        .violations
        .iter()
        .map(|violation| {
            format!("{}: {} {:#?}", violation.invariant, violation.description, violation.timeline)
        })
        .collect();
    assert!(told.is_empty(), "{told:#?}");
    assert!(verdict.totals.served > 100, "{:?}", verdict.totals);
}
