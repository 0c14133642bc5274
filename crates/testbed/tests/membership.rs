//! Controllers as processes that discover each other by gossip, and the operators' program that
//! shows which controllers hear each other and makes them forget a dead one.
//!
//! The programs are those that `cargo test` builds for the whole workspace.

use serde_json::Value;
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};
use wheelfield_testbed::processes::{program, Process};

const TIMEOUT: Duration = Duration::from_secs(60);

fn start_controller(dir: &Path, name: &str, seed: &str) -> Process {
    let config = format!(
        "listen = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\n[controller]\ncount = 1\nindex = 0\n\
         [fleet]\nzones = [\"a\"]\n[[fleet.kinds]]\nname = \"std\"\ncores = 8\nmemory = \"16GB\"\n\
         [[classes]]\nname = \"fast\"\naim = \"2s\"\ndeadline = \"15s\"\neffect = \"repeatable\"\n\
         [[engines]]\nid = \"e1\"\naddress = \"127.0.0.1:1\"\nkind = \"std\"\nzone = \"a\"\n\
         [gossip]\nlisten = \"127.0.0.1:0\"\nseeds = [{seed}]\nkeys = \"keys\"\nperiod = \"50ms\"\nsettle = \"200ms\"\n"
    );
    let file = dir.join(format!("{name}.toml"));
    std::fs::write(&file, config.replace("\"keys\"", &format!("{:?}", dir.join("keys"))))
        .expect("a written file");
    let args = ["--config".to_string(), file.to_string_lossy().into_owned()];
    let path = program("wheelfield-controller", None).expect("the program is built");
    Process::start(&path, &args, None).unwrap_or_else(|error| panic!("{error:#}"))
}

fn run_endpoints(args: &[&str]) -> (Option<i32>, String) {
    let path = program("wheelfield-endpoints", None).expect("the program is built");
    let child_output =
        Command::new(path).args(args).stdin(Stdio::null()).output().expect("the program starts");
    let output = [child_output.stdout, child_output.stderr].concat();
    (child_output.status.code(), String::from_utf8_lossy(&output).into_owned())
}

/// Requests the matrix until a condition holds. Only a fault exceeds the timeout.
fn await_matrix(admins: &[&str], condition: impl Fn(&Value) -> bool) -> Value {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        let (_, output) = run_endpoints(&[&["peers", "--json", "--within", "0s"], admins].concat());
        let matrix: Value =
            serde_json::from_str(&output).unwrap_or_else(|_| panic!("invalid JSON: {output}"));
        if condition(&matrix) {
            return matrix;
        }
        assert!(Instant::now() < deadline, "the condition was not met in time: {matrix}");
    }
}

#[test]
fn operators_see_which_controllers_hear_each_other_and_forget_a_dead_one() {
    let dir = tempfile::tempdir().expect("a directory");
    std::fs::write(dir.path().join("keys"), "7 0123456789abcdef0123456789abcdef\n").expect("a written file");
    std::fs::write(dir.path().join("wrong-keys"), "7 ffffffffffffffffffffffffffffffff\n")
        .expect("a written file");
    let first_controller = start_controller(dir.path(), "c0", "");
    let seed = format!("{:?}", first_controller.addresses["gossip"].as_str().expect("reported"));
    let mut controllers = vec![first_controller];
    controllers.extend((1..4).map(|n| start_controller(dir.path(), &format!("c{n}"), &seed)));
    let reported = |p: &Process, name: &str| p.addresses[name].as_str().expect("reported").to_string();
    let admins: Vec<String> = controllers.iter().map(|p| reported(p, "admin")).collect();
    let admins: Vec<&str> = admins.iter().map(String::as_str).collect();
    // All hear each other, and the program reports success.
    let count_cells = |m: &Value, value: &str| {
        let cells = m["rows"].as_array().into_iter().flatten().flat_map(|r| r["hears"].as_array());
        cells.flatten().filter(|c| *c == value).count()
    };
    await_matrix(&admins, |m| m["views"] == 1 && count_cells(m, "yes") == 12);
    let (code, text) = run_endpoints(&[&["peers"], &admins[..]].concat());
    assert!(code == Some(0) && text.contains("one view"), "{text}");

    let rows_counting = |m: &Value, n: u64| {
        let rows = m["rows"].as_array().into_iter().flatten();
        rows.filter(|r| r["told"]["count"] == n).count()
    };

    // One is killed: the others still count it, and the program reports that it does not answer.
    let dead = controllers.pop().expect("four controllers");
    let dead_address = reported(&dead, "gossip");
    drop(dead);
    let (code, text) = run_endpoints(&[&["peers", "--within", "0s"], &admins[..]].concat());
    assert!(code == Some(1) && text.contains("no answer"), "{text}");
    let remaining_admins = &admins[..3];
    let keys = dir.path().join("keys").to_string_lossy().into_owned();
    let wrong_keys = dir.path().join("wrong-keys").to_string_lossy().into_owned();
    let matrix = await_matrix(remaining_admins, |m| count_cells(m, "gone") == 3);
    assert_eq!(rows_counting(&matrix, 4), 3, "{matrix}");

    // A running member is not forgotten, nor is a dead one on a request with a wrong key.
    let running_address = reported(&controllers[1], "gossip");
    let (code, text) =
        run_endpoints(&[&["forget", &running_address, "--keys", &keys], remaining_admins].concat());
    assert!(code == Some(1) && text.contains("alive; nobody was told"), "{text}");
    let (code, text) = run_endpoints(
        &[&["forget", &dead_address, "--keys", &wrong_keys, "--within", "1s"], remaining_admins].concat(),
    );
    assert!(code == Some(1) && text.contains("counts on"), "{text}");
    await_matrix(remaining_admins, |m| rows_counting(m, 4) == 3 && count_cells(m, "gone") == 3);
    // A request to a single controller reaches the others by gossip.
    let (code, text) = run_endpoints(&["forget", &dead_address, "--keys", &keys, remaining_admins[0]]);
    assert!(code == Some(0) && text.contains("is forgotten"), "{text}");
    let matrix = await_matrix(remaining_admins, |m| m["views"] == 1 && count_cells(m, "yes") == 6);
    assert_eq!(rows_counting(&matrix, 3), 3, "{matrix}");
}
