//! Tests that schedules are reproducible and follow their scripts, and that invalid scripts are
//! rejected.

use wheelfield_load::schedule::{generate, ScheduledQuery};
use wheelfield_load::script::Script;

fn parse_script(text: &str) -> Script {
    Script::parse("test", text).unwrap_or_else(|error| panic!("{error}"))
}

fn single_stream_script(duration: &str, extra_lines: &str) -> Script {
    parse_script(&format!(
        "name = \"t\"\nlength = {duration:?}\n[[streams]]\nname = \"q\"\nrate = 200\nstatement = \"select 1\"\n{extra_lines}"
    ))
}

fn counts_per_second(schedule: &[ScheduledQuery], seconds: usize) -> Vec<f64> {
    let mut counts = vec![0.0; seconds];
    schedule.iter().for_each(|q| counts[(q.at_us / 1_000_000) as usize] += 1.0);
    counts
}

/// Index of dispersion (variance over mean) of the counts per second.
fn dispersion(counts: &[f64]) -> f64 {
    let mean = counts.iter().sum::<f64>() / counts.len() as f64;
    counts.iter().map(|c| (c - mean).powi(2)).sum::<f64>() / (counts.len() - 1) as f64 / mean
}

#[test]
fn schedule_is_reproducible_and_an_added_stream_changes_no_other() {
    let script = single_stream_script("20s", "");
    let first = generate(&script, 5).expect("within the query limit");
    assert_eq!(first, generate(&script, 5).expect("within the query limit"));
    assert_ne!(first, generate(&script, 6).expect("within the query limit"));
    let two_streams =
        single_stream_script("20s", "[[streams]]\nname = \"r\"\nrate = 3\nstatement = \"select 2\"\n");
    let first_stream: Vec<ScheduledQuery> = generate(&two_streams, 5)
        .expect("within the query limit")
        .into_iter()
        .filter(|q| q.stream == 0)
        .collect();
    assert_eq!(first, first_stream);
}

#[test]
fn rates_follow_their_shapes() {
    for (shape, expected_factors) in [
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
        let schedule = generate(&single_stream_script("100s", &format!("arrivals = {{ kind = \"even\" }}\n{shape}\n")), 1).expect("within the query limit");
        let counts = counts_per_second(&schedule, 100);
        for (second, expected) in expected_factors {
            let factor = counts[second] / 200.0;
            assert!((factor - expected).abs() < 0.06 * expected + 0.06, "{shape} at {second} s: factor {factor}, expected {expected}");
        }
    }
}

#[test]
fn jump_takes_effect_within_a_millisecond() {
    let script = single_stream_script("10s", "shapes = [{ kind = \"jump\", at = \"5s\", for = \"1s\", times = 10.0 }]\narrivals = { kind = \"even\" }\n");
    let schedule = generate(&script, 1).expect("within the query limit");
    let intervals: Vec<i64> = schedule
        .windows(2)
        .filter(|w| w[0].at_us >= 5_000_000 && w[1].at_us < 5_050_000)
        .map(|w| w[1].at_us - w[0].at_us)
        .collect();
    assert!(intervals.iter().all(|i| (490..=510).contains(i)), "{intervals:?}");
    let before = schedule.iter().filter(|q| (4_950_000..5_000_000).contains(&q.at_us)).count();
    assert!((9..=11).contains(&before), "{before}");
}

#[test]
fn arrivals_have_the_configured_burstiness() {
    let dispersion_and_relative_mean = |kind: &str| {
        let script = single_stream_script("1000s", &format!("arrivals = {{ {kind} }}\n"));
        let schedule = generate(&script, 2).expect("within the query limit");
        let counts = counts_per_second(&schedule, 1000);
        (dispersion(&counts), schedule.len() as f64 / 200_000.0)
    };
    let (poisson, mean) = dispersion_and_relative_mean("kind = \"poisson\"");
    assert!((0.85..1.15).contains(&poisson) && (mean - 1.0).abs() < 0.02, "{poisson} {mean}");
    let (even, mean) = dispersion_and_relative_mean("kind = \"even\"");
    assert!(even < 0.02 && (mean - 1.0).abs() < 0.001, "{even} {mean}");
    // For a renewal process, the index of dispersion of counts tends to the square of the
    // intervals' coefficient of variation.
    let (gamma, mean) = dispersion_and_relative_mean("kind = \"gamma\", cv = 3.0");
    assert!((7.0..11.0).contains(&gamma) && (mean - 1.0).abs() < 0.05, "{gamma} {mean}");
    let (onoff, mean) =
        dispersion_and_relative_mean("kind = \"onoff\", on = \"1s\", off = \"3s\", alpha = 1.8");
    assert!(onoff > 50.0 && (mean - 1.0).abs() < 0.3, "{onoff} {mean}");
}

#[test]
fn work_keys_and_tenants_follow_their_distributions() {
    let script = single_stream_script(
        "100s",
        "work = { kind = \"lognormal\", mean = \"300ms\", spread = 1.2 }\nkeys = { count = 50, zipf = 1.0 }\n\
         tenants = [{ name = \"a\", share = 3 }, { name = \"b\", share = 1 }]\n",
    );
    let schedule = generate(&script, 4).expect("within the query limit");
    let count = schedule.len() as f64;
    let mean = schedule.iter().map(|q| q.work_us as f64).sum::<f64>() / count;
    assert!((mean / 300_000.0 - 1.0).abs() < 0.05, "{mean}");
    let first_tenant_fraction = schedule.iter().filter(|q| q.tenant == 0).count() as f64 / count;
    assert!((first_tenant_fraction - 0.75).abs() < 0.02, "{first_tenant_fraction}");
    // With a Zipf exponent of 1 and 50 keys, the share of the first key is 1 / H(50), where H(50),
    // the 50th harmonic number, is 4.499.
    let first_key_fraction = schedule.iter().filter(|q| q.key == 1).count() as f64 / count;
    assert!((first_key_fraction - 1.0 / 4.499).abs() < 0.02, "{first_key_fraction}");
    let pareto = single_stream_script("200s", "work = { kind = \"pareto\", mean = \"10ms\", alpha = 2.5 }\n");
    let schedule = generate(&pareto, 4).expect("within the query limit");
    let mean = schedule.iter().map(|q| q.work_us as f64).sum::<f64>() / schedule.len() as f64;
    assert!((mean / 10_000.0 - 1.0).abs() < 0.1, "{mean}");
}

#[test]
fn waves_apply_to_all_streams_simultaneously() {
    let script = parse_script(
        "name = \"t\"\nlength = \"60s\"\nwaves = [{ kind = \"jump\", at = \"30s\", for = \"10s\", times = 4.0 }]\n\
         [[streams]]\nname = \"a\"\nrate = 100\nstatement = \"a\"\n[[streams]]\nname = \"b\"\nrate = 50\nstatement = \"b\"\n",
    );
    let schedule = generate(&script, 1).expect("within the query limit");
    for (stream, rate) in [(0, 100.0), (1, 50.0)] {
        let stream_schedule: Vec<ScheduledQuery> =
            schedule.iter().copied().filter(|q| q.stream == stream).collect();
        let counts = counts_per_second(&stream_schedule, 60);
        let during_wave = counts[30..40].iter().sum::<f64>() / 10.0;
        assert!((during_wave / rate - 4.0).abs() < 0.4, "{during_wave}");
    }
}

#[test]
fn script_errors_name_their_line() {
    let good = "name = \"t\"\nlength = \"10s\"\n[[streams]]\nname = \"q\"\nrate = 1\nstatement = \"select {work_ms}\"\n";
    Script::parse("s.toml", good).expect("valid script");
    for (from, to, line, expected_text) in [
        ("\"10s\"", "10", 2, "unit"),
        ("rate = 1", "rate = -1", 4, "rate"),
        ("rate = 1", "rate = 1\npipeline = 0", 4, "pipeline"),
        ("rate = 1", "rate = 1\nprotocol = \"prepared\"", 4, "prepared"),
        ("rate = 1", "rate = 1\narrivals = { kind = \"gamma\", cv = 0.0 }", 4, "arrivals"),
        ("rate = 1", "rate = 1\nshapes = [{ kind = \"steps\", levels = [] }]", 4, "shape"),
        ("rate = 1", "rate = 1\nwishes = 3", 6, "wishes"),
    ] {
        let error = Script::parse("s.toml", &good.replace(from, to)).expect_err(to);
        assert!(error.line == line && error.to_string().contains(expected_text), "{to}: {error}");
    }
}

#[test]
fn statement_placeholders_are_replaced() {
    let script = single_stream_script("1s", "work = { kind = \"constant\", mean = \"2500us\" }\nkeys = { count = 1 }\ntenants = [{ name = \"acme\", share = 1 }]\n");
    let mut stream = script.streams[0].clone();
    stream.statement = "select '{class} {id} {work_ms} {key} {due_ms} {tenant} {other}' {".into();
    let query = generate(&script, 1).expect("within the query limit")[0];
    assert_eq!(stream.render_statement(&query, "x7", 900), "select 'q x7 2.500 k1 900 acme {other}' {");
}
