//! Captures of injected faults, recorded by controllers on real sockets in the test bed and scrubbed of names. Each must replay
//! to the recorded decisions every time. A deliberate change of the decision logic fails here at the first decision that it
//! changes: then record the capture again (`wheelfield-testbed day --capture`, `wheelfield-replay scrub`) and give the reason in
//! the commit message.

use wheelfield_replay::{run, Options};

#[test]
fn captures_of_twelve_faults_replay_to_the_same_decisions_a_hundred_times() {
    let directory = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/troubles");
    let mut captures = 0;
    for file in std::fs::read_dir(directory)
        .expect("read the directory of captures")
        .flatten()
    {
        let path = file.path();
        captures += 1;
        let mut steps = 0;
        for _ in 0..100 {
            let verdict = run(&path, Options::default()).expect("replay the capture");
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
    assert_eq!(captures, 12);
}
