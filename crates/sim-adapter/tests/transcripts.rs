//! Tests of the adapter process on its line protocol.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run_adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_wheelfield-sim-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    child
        .stdin
        .take()
        .expect("piped")
        .write_all(input.as_bytes())
        .expect("the adapter reads its input");
    child
        .wait_with_output()
        .expect("the adapter ends at the end of input")
}

fn reply(input: &str) -> String {
    let output = run_adapter(input);
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    String::from_utf8(output.stdout).expect("text")
}

const ENV: &str = r#"env={"balancers":1,"grades":[{"name":"read","effect":"repeatable","on_time_us":1000000,"give_up_us":5000000,"gain":1.0}],"skus":["m"],"zones":["z"],"family_info":{"cpu_of_kind":[8],"parallelism":[1]},"ceilings":{"cancel":true,"send_cap":3},"unheard_of":[1]}"#;

fn start(instance: u32) -> String {
    format!(
        "for controller={instance}\nup rng_seed=5 {ENV}\nlist bank=0 records=1\n\
         entry model=m executor=e1 locality=z readiness=up bay=0 rating=1\nfleet mode=restored version=1 bank=0\n"
    )
}

const QUERY: &str =
    "query job=00000000000000ff tier_class=read due_us=9000000 data_group=1 estimate_us=1000";

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    assert_eq!(
        reply("batch sim_time_us=1\nflush\n\nbatch sim_time_us=2\nflush\n"),
        "done\ndone\n"
    );
}

#[test]
fn a_query_is_sent_once_and_later_lines_about_it_are_ignored() {
    let input = format!(
        "batch sim_time_us=4000000\n{}{QUERY}\nflush\nbatch sim_time_us=4100000\nfor controller=3\n\
         done job=00000000000000ff code=done last=1 executor=e1 rtt_us=9 leg=0 health_info=cpu_share:0.5\n\
         expired job=00000000000000ff\nnews from=afar\nflush\n",
        start(3)
    );
    let text = reply(&input);
    assert!(text.contains("context controller=3\n"), "{text}");
    assert_eq!(
        text.matches("submit_to job=00000000000000ff executor=e1 ")
            .count(),
        1,
        "{text}"
    );
    assert!(text.ends_with("done\ndone\n"), "{text}");
}

#[test]
fn a_restarted_instance_has_no_earlier_state() {
    let fresh = format!("batch sim_time_us=4000000\n{}flush\n", start(3));
    let restarted = format!(
        "batch sim_time_us=4000000\n{}{QUERY}\nhalt\n{}flush\n",
        start(3),
        start(3)
    );
    assert_eq!(reply(&fresh), reply(&restarted));
}

#[test]
fn a_reused_list_number_refers_to_the_latest_list() {
    let input = format!(
        "batch sim_time_us=4000000\n{}list bank=0 records=1\nentry model=m executor=e2 locality=z readiness=up bay=0\n\
         for controller=4\nup rng_seed=5 {ENV}\nfleet mode=replace version=2 bank=0\n{QUERY}\nflush\n",
        start(3)
    );
    assert!(reply(&input).contains("executor=e2"));
}

#[test]
fn instances_do_not_affect_each_other() {
    let single = reply(&format!(
        "batch sim_time_us=4000000\n{}{QUERY}\nflush\n",
        start(3)
    ));
    let both = reply(&format!(
        "batch sim_time_us=4000000\n{}{QUERY}\n{}{QUERY}\nflush\n",
        start(3),
        start(7)
    ));
    assert_eq!(
        both,
        format!(
            "{}{}",
            single.trim_end_matches("done\n"),
            single.replace("controller=3", "controller=7")
        )
    );
}

#[test]
fn malformed_input_ends_the_adapter_with_an_error() {
    let started = format!("batch sim_time_us=4000000\n{}", start(3));
    let cases = [
        ("flush\n".to_string(), "line 1: expected a 'batch' line"),
        (
            "batch sim_time_us=soon\n".to_string(),
            "'sim_time_us' is not a number",
        ),
        (
            "batch sim_time_us=1\nquery job=1\n".to_string(),
            "expected a 'for' line",
        ),
        (format!("{started}query job=12\n"), "16 hex digits"),
        (format!("{started}{QUERY} oops\n"), "expected name=value"),
        (
            format!("{started}query job=00000000000000ff tier_class=other due_us=1\n"),
            "a class not in the settings",
        ),
        (
            format!("{started}fleet mode=replace version=1 bank=9\n"),
            "no list numbered 9",
        ),
        (
            format!("{started}list bank=1 records=1\nflush\n"),
            "expected an 'entry' line",
        ),
        (
            "batch sim_time_us=1\nfor controller=1\nup rng_seed=1 env={\n".to_string(),
            "not JSON",
        ),
        (
            "batch sim_time_us=1\n".to_string(),
            "input ended inside a batch",
        ),
    ];
    for (input, message) in cases {
        let output = run_adapter(&input);
        let error = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success(), "{input}");
        assert!(
            error.contains(message) && !error.contains("panicked"),
            "{error} for {message}"
        );
    }
}

/// Load reports from other gateways may be unreadable, truncated, duplicated, or about engines that no list has named.
#[test]
fn unreadable_load_reports_are_ignored_and_readable_ones_take_effect() {
    use base64::{engine::general_purpose::STANDARD, Engine as _};
    let unreadable = ["-", "====", "A", "/w==", "AQ==", "CQIDBAUGBwgJ", "AAAA"];
    for blob in unreadable
        .iter()
        .map(|b| b.to_string())
        .chain([STANDARD.encode([255u8; 256])])
    {
        let input = format!(
            "batch sim_time_us=1\n{}inbox who=3 blob={blob}\ninbox who=9 blob={blob}\n{QUERY}\nflush\n",
            start(1)
        );
        let text = reply(&input);
        assert!(
            text.contains("submit_to job=00000000000000ff executor=e1"),
            "{blob}: {text}"
        );
        assert!(!text.contains("executor=-"), "{blob}: {text}");
    }
    // A load report for this engine: the metric mask (bit 0 is utilisation), three bytes of the engine id, and the utilisation
    // in units of 1/64, here about 4.
    let number = "e1".bytes().fold(0xcbf2_9ce4_8422_2325_u64, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
    });
    let mut message = vec![1u8];
    message.extend(&number.to_le_bytes()[..3]);
    message.push(255);
    let first = QUERY.replace("estimate_us=1000", "estimate_us=200000000");
    let second = first.replace("00ff", "00fe");
    let sends = |blob: &str| {
        let input = format!(
            "batch sim_time_us=1\n{}inbox who=3 blob={blob}\n{first}\n{second}\nflush\n",
            start(1)
        );
        reply(&input).matches("submit_to").count()
    };
    // At the reported utilisation, the work limit holds back the second query.
    assert_eq!((sends("AAAA"), sends(&STANDARD.encode(message))), (2, 1));
}
