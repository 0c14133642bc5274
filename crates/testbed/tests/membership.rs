//! Controllers as processes that find each other, and the operators' program that asks who hears whom and lets one go.
//!
//! The programs are those that `cargo test` builds for the whole workspace.

use serde_json::Value;
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};
use wheelfield_testbed::stage::{program, Process};

const SOON: Duration = Duration::from_secs(60);

fn controller(dir: &Path, name: &str, seed: &str) -> Process {
    let config = format!(
        "listen = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\n[controller]\ncount = 1\nindex = 0\n\
         [fleet]\nzones = [\"a\"]\n[[fleet.kinds]]\nname = \"std\"\ncores = 8\nmemory = \"16GB\"\n\
         [[classes]]\nname = \"fast\"\naim = \"2s\"\ndeadline = \"15s\"\neffect = \"repeatable\"\n\
         [[engines]]\nid = \"e1\"\naddress = \"127.0.0.1:1\"\nkind = \"std\"\nzone = \"a\"\n\
         [gossip]\nlisten = \"127.0.0.1:0\"\nseeds = [{seed}]\nkeys = \"keys\"\nperiod = \"50ms\"\nsettle = \"200ms\"\n"
    );
    let file = dir.join(format!("{name}.toml"));
    std::fs::write(&file, config.replace("\"keys\"", &format!("{:?}", dir.join("keys")))).expect("written");
    let args = ["--config".to_string(), file.to_string_lossy().into_owned()];
    let path = program("wheelfield-controller", None).expect("built");
    Process::start(&path, &args, None).unwrap_or_else(|fault| panic!("{fault:#}"))
}

fn members(args: &[&str]) -> (Option<i32>, String) {
    let path = program("wheelfield-endpoints", None).expect("built");
    let output = Command::new(path).args(args).stdin(Stdio::null()).output().expect("it starts");
    let told = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8_lossy(&told).into_owned())
}

/// Asks for the matrix until it is so; within a time that only a fault exceeds.
fn await_matrix(admins: &[&str], is: impl Fn(&Value) -> bool) -> Value {
    let until = Instant::now() + SOON;
    loop {
        let (_, told) = members(&[&["peers", "--json", "--within", "0s"], admins].concat());
        let matrix: Value = serde_json::from_str(&told).unwrap_or_else(|_| panic!("no JSON: {told}"));
        if is(&matrix) {
            return matrix;
        }
        assert!(Instant::now() < until, "did not come: {matrix}");
    }
}

#[test]
fn operators_see_who_hears_whom_and_let_one_go_that_is_gone_for_good() {
    let dir = tempfile::tempdir().expect("a directory");
    std::fs::write(dir.path().join("keys"), "7 0123456789abcdef0123456789abcdef\n").expect("written");
    std::fs::write(dir.path().join("other"), "7 ffffffffffffffffffffffffffffffff\n").expect("written");
    let first = controller(dir.path(), "c0", "");
    let seed = format!("{:?}", first.told["gossip"].as_str().expect("told"));
    let mut all = vec![first];
    all.extend((1..4).map(|n| controller(dir.path(), &format!("c{n}"), &seed)));
    let told = |p: &Process, name: &str| p.told[name].as_str().expect("told").to_string();
    let admins: Vec<String> = all.iter().map(|p| told(p, "admin")).collect();
    let admins: Vec<&str> = admins.iter().map(String::as_str).collect();
    // All hear each other; the program ends well of itself.
    let cell = |m: &Value, is: &str| {
        let cells = m["rows"].as_array().into_iter().flatten().flat_map(|r| r["hears"].as_array());
        cells.flatten().filter(|c| *c == is).count()
    };
    await_matrix(&admins, |m| m["views"] == 1 && cell(m, "yes") == 12);
    let (code, text) = members(&[&["peers"], &admins[..]].concat());
    assert!(code == Some(0) && text.contains("one view"), "{text}");

    let counts = |m: &Value, n: u64| {
        let rows = m["rows"].as_array().into_iter().flatten();
        rows.filter(|r| r["told"]["count"] == n).count()
    };

    // One is killed: it counts on, and whoever asks it hears so.
    let gone = all.pop().expect("four");
    let member = told(&gone, "gossip");
    drop(gone);
    let (code, text) = members(&[&["peers", "--within", "0s"], &admins[..]].concat());
    assert!(code == Some(1) && text.contains("no answer"), "{text}");
    let rest = &admins[..3];
    let keys = dir.path().join("keys").to_string_lossy().into_owned();
    let other = dir.path().join("other").to_string_lossy().into_owned();
    let three = await_matrix(rest, |m| cell(m, "gone") == 3);
    assert_eq!(counts(&three, 4), 3, "{three}");

    // Nobody is told to forget one that runs, by a stranger, or by a key that is not theirs.
    let alive = told(&all[1], "gossip");
    let (code, text) = members(&[&["forget", &alive, "--keys", &keys], rest].concat());
    assert!(code == Some(1) && text.contains("alive; nobody was told"), "{text}");
    let (code, text) = members(&[&["forget", &member, "--keys", &other, "--within", "1s"], rest].concat());
    assert!(code == Some(1) && text.contains("counts on"), "{text}");
    await_matrix(rest, |m| counts(m, 4) == 3 && cell(m, "gone") == 3);
    // The operator's word goes round from one.
    let (code, text) = members(&["forget", &member, "--keys", &keys, rest[0]]);
    assert!(code == Some(0) && text.contains("is forgotten"), "{text}");
    let three = await_matrix(rest, |m| m["views"] == 1 && cell(m, "yes") == 6);
    assert_eq!(counts(&three, 3), 3, "{three}");
}
