//! Sends drawn from scripts: the same each time, and as the script says.

use wheelfield_load::schedule::{draw, Send};
use wheelfield_load::script::Script;

fn script(text: &str) -> Script {
    Script::parse("test", text).unwrap_or_else(|fault| panic!("{fault}"))
}

fn one(length: &str, more: &str) -> Script {
    script(&format!(
        "name = \"t\"\nlength = {length:?}\n[[streams]]\nname = \"q\"\nrate = 200\nstatement = \"select 1\"\n{more}"
    ))
}

fn by_second(sends: &[Send], seconds: usize) -> Vec<f64> {
    let mut counts = vec![0.0; seconds];
    sends.iter().for_each(|s| counts[(s.at / 1_000_000) as usize] += 1.0);
    counts
}

/// Variance over mean of counts in seconds.
fn dispersion(counts: &[f64]) -> f64 {
    let mean = counts.iter().sum::<f64>() / counts.len() as f64;
    counts.iter().map(|c| (c - mean).powi(2)).sum::<f64>() / (counts.len() - 1) as f64 / mean
}

#[test]
fn the_same_script_and_seed_send_the_same_and_a_further_stream_changes_no_other() {
    let a = one("20s", "");
    let first = draw(&a, 5).expect("not too many");
    assert_eq!(first, draw(&a, 5).expect("not too many"));
    assert_ne!(first, draw(&a, 6).expect("not too many"));
    let two = one("20s", "[[streams]]\nname = \"r\"\nrate = 3\nstatement = \"select 2\"\n");
    let of_first: Vec<Send> =
        draw(&two, 5).expect("not too many").into_iter().filter(|s| s.stream == 0).collect();
    assert_eq!(first, of_first);
}

#[test]
fn rates_follow_their_shapes() {
    for (shape, want) in [
        ("shapes = [{ kind = \"ramp\", from = 0.0, to = 2.0 }]", vec![(0, 0.05), (50, 1.0), (99, 2.0)]),
        ("shapes = [{ kind = \"steps\", levels = [0.5, 2.0] }]", vec![(10, 0.5), (90, 2.0)]),
        ("shapes = [{ kind = \"jump\", at = \"50s\", for = \"10s\", times = 10.0 }]", vec![(49, 1.0), (55, 10.0), (61, 1.0)]),
        ("shapes = [{ kind = \"deadline\", at = \"80s\", before = \"40s\", times = 5.0, after = 0.1 }]", vec![(20, 1.0), (60, 3.0), (79, 5.0), (90, 0.1)]),
        ("shapes = [{ kind = \"diurnal\", period = \"100s\", depth = 0.5 }]", vec![(25, 1.5), (75, 0.5)]),
        (
            "shapes = [{ kind = \"steps\", levels = [1.0, 2.0] }, { kind = \"diurnal\", period = \"100s\", depth = 0.5 }]",
            vec![(25, 1.5), (75, 1.0)],
        ),
    ] {
        let sends = draw(&one("100s", &format!("arrivals = {{ kind = \"even\" }}\n{shape}\n")), 1).expect("not too many");
        let counts = by_second(&sends, 100);
        for (second, times) in want {
            let told = counts[second] / 200.0;
            assert!((told - times).abs() < 0.06 * times + 0.06, "{shape} at {second} s: {told}, not {times}");
        }
    }
}

#[test]
fn a_jump_is_there_within_a_millisecond() {
    let s = one("10s", "shapes = [{ kind = \"jump\", at = \"5s\", for = \"1s\", times = 10.0 }]\narrivals = { kind = \"even\" }\n");
    let sends = draw(&s, 1).expect("not too many");
    let gaps: Vec<i64> = sends
        .windows(2)
        .filter(|w| w[0].at >= 5_000_000 && w[1].at < 5_050_000)
        .map(|w| w[1].at - w[0].at)
        .collect();
    assert!(gaps.iter().all(|g| (490..=510).contains(g)), "{gaps:?}");
    let before = sends.iter().filter(|s| (4_950_000..5_000_000).contains(&s.at)).count();
    assert!((9..=11).contains(&before), "{before}");
}

#[test]
fn arrivals_are_as_bursty_as_asked() {
    let of = |kind: &str| {
        let s = one("1000s", &format!("arrivals = {{ {kind} }}\n"));
        let sends = draw(&s, 2).expect("not too many");
        let counts = by_second(&sends, 1000);
        (dispersion(&counts), sends.len() as f64 / 200_000.0)
    };
    let (poisson, mean) = of("kind = \"poisson\"");
    assert!((0.85..1.15).contains(&poisson) && (mean - 1.0).abs() < 0.02, "{poisson} {mean}");
    let (even, mean) = of("kind = \"even\"");
    assert!(even < 0.02 && (mean - 1.0).abs() < 0.001, "{even} {mean}");
    // For a renewal process the dispersion of counts goes to the square of the gaps' coefficient of variation.
    let (gamma, mean) = of("kind = \"gamma\", cv = 3.0");
    assert!((7.0..11.0).contains(&gamma) && (mean - 1.0).abs() < 0.05, "{gamma} {mean}");
    let (onoff, mean) = of("kind = \"onoff\", on = \"1s\", off = \"3s\", alpha = 1.8");
    assert!(onoff > 50.0 && (mean - 1.0).abs() < 0.3, "{onoff} {mean}");
}

#[test]
fn work_keys_and_tenants_are_as_asked() {
    let s = one(
        "100s",
        "work = { kind = \"lognormal\", mean = \"300ms\", spread = 1.2 }\nkeys = { count = 50, zipf = 1.0 }\n\
         tenants = [{ name = \"a\", share = 3 }, { name = \"b\", share = 1 }]\n",
    );
    let sends = draw(&s, 4).expect("not too many");
    let n = sends.len() as f64;
    let mean = sends.iter().map(|s| s.work_us as f64).sum::<f64>() / n;
    assert!((mean / 300_000.0 - 1.0).abs() < 0.05, "{mean}");
    let first = sends.iter().filter(|s| s.tenant == 0).count() as f64 / n;
    assert!((first - 0.75).abs() < 0.02, "{first}");
    // The first of fifty keys by Zipf: one of the fiftieth harmonic number.
    let hot = sends.iter().filter(|s| s.key == 1).count() as f64 / n;
    assert!((hot - 1.0 / 4.499).abs() < 0.02, "{hot}");
    let pareto = one("200s", "work = { kind = \"pareto\", mean = \"10ms\", alpha = 2.5 }\n");
    let sends = draw(&pareto, 4).expect("not too many");
    let mean = sends.iter().map(|s| s.work_us as f64).sum::<f64>() / sends.len() as f64;
    assert!((mean / 10_000.0 - 1.0).abs() < 0.1, "{mean}");
}

#[test]
fn waves_strike_all_streams_together() {
    let s = script(
        "name = \"t\"\nlength = \"60s\"\nwaves = [{ kind = \"jump\", at = \"30s\", for = \"10s\", times = 4.0 }]\n\
         [[streams]]\nname = \"a\"\nrate = 100\nstatement = \"a\"\n[[streams]]\nname = \"b\"\nrate = 50\nstatement = \"b\"\n",
    );
    let sends = draw(&s, 1).expect("not too many");
    for (stream, rate) in [(0, 100.0), (1, 50.0)] {
        let of: Vec<Send> = sends.iter().copied().filter(|s| s.stream == stream).collect();
        let counts = by_second(&of, 60);
        let wave = counts[30..40].iter().sum::<f64>() / 10.0;
        assert!((wave / rate - 4.0).abs() < 0.4, "{wave}");
    }
}

#[test]
fn what_a_script_has_wrong_is_told_by_its_line() {
    let good = "name = \"t\"\nlength = \"10s\"\n[[streams]]\nname = \"q\"\nrate = 1\nstatement = \"select {work_ms}\"\n";
    Script::parse("s.toml", good).expect("sound");
    for (from, to, line, word) in [
        ("\"10s\"", "10", 2, "unit"),
        ("rate = 1", "rate = -1", 4, "rate"),
        ("rate = 1", "rate = 1\npipeline = 0", 4, "pipeline"),
        ("rate = 1", "rate = 1\nprotocol = \"prepared\"", 4, "prepared"),
        ("rate = 1", "rate = 1\narrivals = { kind = \"gamma\", cv = 0.0 }", 4, "arrivals"),
        ("rate = 1", "rate = 1\nshapes = [{ kind = \"steps\", levels = [] }]", 4, "shape"),
        ("rate = 1", "rate = 1\nwishes = 3", 6, "wishes"),
    ] {
        let fault = Script::parse("s.toml", &good.replace(from, to)).expect_err(to);
        assert!(fault.line == line && fault.to_string().contains(word), "{to}: {fault}");
    }
}

#[test]
fn a_statement_is_filled_in() {
    let s = one("1s", "work = { kind = \"constant\", mean = \"2500us\" }\nkeys = { count = 1 }\ntenants = [{ name = \"acme\", share = 1 }]\n");
    let mut stream = s.streams[0].clone();
    stream.statement = "select '{class} {id} {work_ms} {key} {due_ms} {tenant} {other}' {".into();
    let send = draw(&s, 1).expect("not too many")[0];
    assert_eq!(stream.fill(&send, "x7", 900), "select 'q x7 2.500 k1 900 acme {other}' {");
}
