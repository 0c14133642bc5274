//! Troubles of the laboratory, captured from controllers on real sockets and kept without names: each must replay to the
//! decisions that were taken then, every time. A deliberate change of the module shows here at its first decision; then the
//! capture is made anew (`wheelfield-testbed day --capture`, `wheelfield-replay scrub`) and the commit says why.

use wheelfield_replay::{run, Options};

#[test]
fn twelve_troubles_replay_to_identical_decisions_a_hundred_times() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/troubles");
    let mut played = 0;
    for file in std::fs::read_dir(folder).expect("the captures").flatten() {
        let path = file.path();
        played += 1;
        let mut steps = 0;
        for _ in 0..100 {
            let verdict = run(&path, Options::default()).expect("readable");
            assert!(
                verdict.equal(),
                "{path:?}: {:?} {:?}",
                verdict.difference,
                verdict.state_differs
            );
            assert!(steps == 0 || steps == verdict.steps);
            steps = verdict.steps;
        }
        assert!(steps > 400, "{path:?}: {steps} steps");
    }
    assert_eq!(played, 12);
}
