//! Runs the `wheelfield-endpoints` program as a process.

use std::fs;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::path::Path;
use std::process::{Command, Stdio};
use wheelfield_child_process::{self as child_process, Unshared};

fn run_program(args: &[&str]) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_wheelfield-endpoints"));
    command.args(args).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let program = child_process::start(&mut command).expect("the program starts");
    let output = program.wait_with_output().expect("its output");
    let output_text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8_lossy(&output_text).into_owned())
}

fn file(version: u64, ids: &[usize]) -> String {
    let engine = |n: &usize| {
        format!("\n[[engines]]\nid = \"e{n}\"\naddress = \"127.0.0.1:{}\"\nkind = \"std\"\n", 5_500 + n)
    };
    let count = ids.len();
    format!("version = {version}\n{}\n[end]\nengines = {count}\n", ids.iter().map(engine).collect::<String>())
}

fn write_file(dir: &Path, name: &str, text: &str) -> String {
    let path = dir.join(name);
    fs::write(&path, text).expect("written");
    path.to_string_lossy().into_owned()
}

#[test]
fn the_example_is_valid_and_an_invalid_file_is_reported_with_its_position() {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/");
    let (code, output_text) = run_program(&["check", &format!("{root}engines.toml")]);
    assert_eq!(code, Some(0), "{output_text}");
    let config = format!("{root}controller.toml");
    let (code, output_text) = run_program(&["check", &format!("{root}engines.toml"), "--config", &config]);
    assert_eq!(code, Some(0), "{output_text}");
    let dir = tempfile::tempdir().expect("a directory");
    let bad = write_file(dir.path(), "bad.toml", &file(1, &[1, 1]));
    let (code, output_text) = run_program(&["check", &bad]);
    assert_eq!(code, Some(1));
    assert!(output_text.contains("bad.toml:") && output_text.contains("; "), "{output_text}");
    assert_eq!(run_program(&["check"]).0, Some(2), "invalid arguments");
}

#[test]
fn diff_ignores_the_order_of_engines_and_fmt_sorts_them() {
    let dir = tempfile::tempdir().expect("a directory");
    let (one, other) = (
        write_file(dir.path(), "a", &file(1, &[1, 2, 3])),
        write_file(dir.path(), "b", &file(1, &[3, 1, 2])),
    );
    assert_eq!(run_program(&["diff", &one, &other]), (Some(0), String::new()));
    let third = write_file(dir.path(), "c", &file(2, &[1, 2, 4]));
    let (code, output_text) = run_program(&["diff", &one, &third]);
    assert_eq!(code, Some(1));
    assert_eq!(
        output_text.lines().collect::<Vec<_>>(),
        ["- e3 at 127.0.0.1:5503", "+ e4 at 127.0.0.1:5504, up"]
    );
    assert_eq!(run_program(&["fmt", "--check", &other]).0, Some(1));
    assert_eq!(run_program(&["fmt", &other]).0, Some(0));
    assert_eq!(run_program(&["fmt", "--check", &other]).0, Some(0));
    assert_eq!(fs::read_to_string(&other).expect("there"), file(1, &[1, 2, 3]));
}

#[test]
fn two_operators_cannot_overwrite_each_other() {
    let dir = tempfile::tempdir().expect("a directory");
    let target = dir.path().join("engines.toml").to_string_lossy().into_owned();
    let first = write_file(dir.path(), "first", &file(1, &[1, 2, 3]));
    assert_eq!(run_program(&["apply", &first, &target, "--expect", "0"]).0, Some(0));
    // Both operators started from version 1, so the second one is rejected.
    let (first_change, second_change) = (
        write_file(dir.path(), "first_change", &file(2, &[1, 2])),
        write_file(dir.path(), "second_change", &file(2, &[2, 3])),
    );
    assert_eq!(run_program(&["apply", &first_change, &target, "--expect", "1"]).0, Some(0));
    let (code, output_text) = run_program(&["apply", &second_change, &target, "--expect", "1"]);
    assert_eq!(code, Some(1));
    assert!(output_text.contains("version 2 is active, not 1"), "{output_text}");
    // While one process holds the lock, no other can apply a file.
    // A child that another test starts has a copy of the lock until it executes its program.
    let lock = Unshared::new(fs::File::create(format!("{target}.lock")).expect("a file"));
    lock.lock().expect("locked");
    let (code, output_text) = run_program(&["apply", &second_change, &target, "--expect", "2"]);
    assert!(code == Some(1) && output_text.contains("locked"), "{output_text}");
    drop(lock);
    let (_, output_text) = run_program(&["apply", &second_change, &target, "--expect", "2"]);
    assert!(output_text.contains("set it to 3"), "{output_text}");
    let fewer = write_file(dir.path(), "fewer", &file(3, &[9]));
    let few = write_file(dir.path(), "few", &file(3, &[]));
    assert!(run_program(&["apply", &few, &target, "--expect", "2"]).1.contains("no engines are listed"));
    let three = write_file(dir.path(), "three", &file(3, &[1, 2, 3, 4, 5]));
    assert_eq!(run_program(&["apply", &three, &target, "--expect", "2"]).0, Some(0));
    let fewer_4 = fs::read_to_string(&fewer).expect("there").replace("version = 3", "version = 4");
    let fewer = write_file(dir.path(), "fewer", &fewer_4);
    let (code, output_text) = run_program(&["apply", &fewer, &target, "--expect", "3"]);
    assert!(code == Some(1) && output_text.contains("100% of the capacity"), "{output_text}");
    assert_eq!(run_program(&["apply", &fewer, &target, "--expect", "3", "--confirm"]).0, Some(0));
    assert!(fs::read_to_string(&target).expect("there").contains("confirmed = true"));
    assert_eq!(run_program(&["check", &target]).0, Some(0));
}

/// New engines are cold. Controllers would hold such a file, and do not count them either.
#[test]
fn new_engines_do_not_count_as_remaining_capacity() {
    let dir = tempfile::tempdir().expect("a directory");
    let target = dir.path().join("engines.toml").to_string_lossy().into_owned();
    let first = write_file(dir.path(), "first", &file(1, &[1, 2, 3, 4, 5]));
    assert_eq!(run_program(&["apply", &first, &target, "--expect", "0"]).0, Some(0));
    for (engines, lost) in [(&[1, 6, 7, 8, 9][..], "80%"), (&[6, 7, 8, 9, 10], "100%"), (&[1], "80%")] {
        let replaced = write_file(dir.path(), "replaced", &file(2, engines));
        let (code, output_text) = run_program(&["apply", &replaced, &target, "--expect", "1"]);
        let expected = format!("{lost} of the capacity");
        assert!(code == Some(1) && output_text.contains(&expected), "{engines:?}: {output_text}");
    }
    let half = write_file(dir.path(), "half", &file(2, &[1, 2, 3, 6, 7]));
    assert_eq!(run_program(&["apply", &half, &target, "--expect", "1"]).0, Some(0));
}

/// Serves one status page once, and returns the admin address.
fn serve_status(version: u64, fault: &str) -> (String, std::thread::JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound").to_string();
    let fault = if fault.is_empty() { "null".to_string() } else { format!("\"{fault}\"") };
    let body = format!("{{\"figures\":{{\"list_version\":{version}}},\"members\":{{\"fault\":{fault}}}}}");
    let thread = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut request = [0; 1024];
        let _ = stream.read(&mut request).expect("a request");
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.write_all(format!("{head}{body}").as_bytes()).expect("answered");
    });
    (address, thread)
}

#[test]
fn status_shows_controllers_that_are_behind() {
    let (one, a) = serve_status(5, "");
    let (two, b) = serve_status(4, "engines.toml:3:1: truncated");
    let (code, output_text) = run_program(&["status", &one, &two]);
    assert_eq!(code, Some(1), "{output_text}");
    assert!(
        output_text.contains(&format!("{two}  version 4  BEHIND  engines.toml:3:1: truncated")),
        "{output_text}"
    );
    assert!(output_text.contains("1 of 2 run version 5"), "{output_text}");
    a.join().expect("a connection");
    b.join().expect("a connection");
    let (one, a) = serve_status(5, "");
    assert_eq!(run_program(&["status", &one]).0, Some(0));
    a.join().expect("a connection");
}

/// Starts two controllers that run the version in a file, and reject all queries from version `bad_from` on.
fn start_controllers(file: std::path::PathBuf, bad_from: u64) -> Vec<String> {
    let serve = move |listener: TcpListener, file: std::path::PathBuf| {
        let mut served = 0;
        let mut refused = 0;
        for stream in listener.incoming().take(2_000) {
            let Ok(mut stream) = stream else { return };
            let mut request = [0; 1024];
            let _ = stream.read(&mut request);
            let text = fs::read_to_string(&file).unwrap_or_default();
            let version: u64 = text
                .lines()
                .find_map(|l| l.strip_prefix("version = "))
                .and_then(|v| v.parse().ok())
                .unwrap_or(0);
            if version >= bad_from {
                refused += 500;
            } else {
                served += 500;
            }
            let body = format!(
                "{{\"figures\":{{\"list_version\":{version},\"queries_served\":{served},\"queries_refused\":{refused},\"queries_failed\":0}},\"members\":{{\"fault\":null}}}}"
            );
            let _ = write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
        }
    };
    (0..2)
        .map(|_| {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
            let address = listener.local_addr().expect("an address").to_string();
            let file = file.clone();
            std::thread::spawn(move || serve(listener, file));
            address
        })
        .collect()
}

#[test]
fn a_rollout_completes_all_steps_or_stops_at_a_regression_and_restores_the_old_engines() {
    let dir = tempfile::tempdir().expect("a directory");
    let target = write_file(dir.path(), "engines.toml", &file(3, &[1, 2, 3, 4]));
    let new = write_file(dir.path(), "new.toml", &file(4, &[5, 6, 7, 8]));
    let options = ["--step", "0.25", "--pause", "20ms", "--within", "10s"];
    let run = |controllers: &[String], expect: &str, more: &[&str]| {
        let mut args = vec!["rollout", new.as_str(), target.as_str(), "--expect", expect];
        args.extend(options);
        args.extend(more);
        args.extend(controllers.iter().map(String::as_str));
        run_program(&args)
    };
    let good = start_controllers(target.clone().into(), u64::MAX);
    let (code, output_text) = run(&good, "2", &[]);
    assert_eq!(code, Some(1), "another version is active: {output_text}");
    let (code, output_text) = run(&good, "3", &["--plan"]);
    assert_eq!((code, output_text.matches("step ").count()), (Some(0), 9), "{output_text}");
    assert_eq!(fs::read_to_string(&target).expect("there"), file(3, &[1, 2, 3, 4]), "a plan writes nothing");
    let (code, output_text) = run(&good, "3", &["--plan", "--through", "none"]);
    assert!(code == Some(1) && output_text.contains("no kind is named `none`"), "{output_text}");
    // The third step is a regression: the rollout stops, and the old engines are restored.
    let bad = start_controllers(target.clone().into(), 6);
    let (code, output_text) = run(&bad, "3", &["--back"]);
    assert_eq!(code, Some(1), "{output_text}");
    assert!(
        output_text.contains("step 2 of 9") && output_text.contains("step 3 of 9: STOPPED"),
        "{output_text}"
    );
    let (code, difference) =
        run_program(&["diff", &target, &write_file(dir.path(), "old.toml", &file(3, &[1, 2, 3, 4]))]);
    assert_eq!((code, difference.as_str()), (Some(0), ""), "the old engines are restored");
    let (code, output_text) = run(&good, "7", &[]);
    assert_eq!(code, Some(0), "{output_text}");
    assert!(output_text.contains("step 9 of 9"), "{output_text}");
    assert_eq!(run_program(&["diff", &target, &new]), (Some(0), String::new()));
}
