//! Experiments are repeatable and can be resumed after being killed, and comparisons detect a known regression.

use std::path::Path;
use wheelfield_testbed::experiment::{compare_runs, load_runs, run, summarize, Experiment, Run};
use wheelfield_testbed::report;
use wheelfield_testbed::stats::Verdict;

const EXPERIMENT: &str =
    "name = \"t\"\ndays = [\"short.toml\"]\nseeds = 4\n[[variants]]\nname = \"module\"\n[[variants]]\n\
                    name = \"random\"\npolicy = \"random\"\n[[sizes]]\n[[sizes]]\nload = 2.0\n";

fn read(name: &str) -> anyhow::Result<String> {
    let path = format!("{}/days/{name}", env!("CARGO_MANIFEST_DIR"));
    Ok(std::fs::read_to_string(path)?)
}

fn experiment(text: &str) -> Experiment {
    Experiment::parse("t.toml", text).unwrap_or_else(|error| panic!("{error}"))
}

fn run_experiment(text: &str, dir: &Path) -> (Vec<Run>, usize) {
    let mut executed = 0;
    let runs = run(&experiment(text), dir, 2, &read, &mut |_, _, _| executed += 1)
        .unwrap_or_else(|f| panic!("{f:#}"));
    (runs, executed)
}

fn serialized(runs: &[Run]) -> Vec<String> {
    runs.iter().map(|r| serde_json::to_string(r).expect("a run can be serialized")).collect()
}

#[test]
fn a_killed_experiment_resumes_and_gives_the_same_results() {
    let (one, other) = (
        tempfile::tempdir().expect("a temporary directory"),
        tempfile::tempdir().expect("a temporary directory"),
    );
    let (complete, executed) = run_experiment(EXPERIMENT, one.path());
    assert_eq!((complete.len(), executed), (16, 16));
    // The results file of an experiment that was killed while it wrote the sixth line.
    let text = std::fs::read_to_string(one.path().join("runs.jsonl")).expect("the results file is read");
    let cut: usize = text.lines().take(5).map(|l| l.len() + 1).sum::<usize>() + 40;
    std::fs::write(other.path().join("runs.jsonl"), &text[..cut]).expect("the results file is written");
    let (resumed, executed) = run_experiment(EXPERIMENT, other.path());
    assert_eq!(executed, 11, "only the missing runs are executed");
    assert_eq!(serialized(&complete), serialized(&resumed));
    assert_eq!(load_runs(&other.path().join("runs.jsonl")).expect("complete lines").len(), 16);
    let (_, executed) = run_experiment(EXPERIMENT, other.path());
    assert_eq!(executed, 0);
    // The newline of the last line is missing. The line parses, but its run is repeated and recorded again.
    let text = std::fs::read_to_string(other.path().join("runs.jsonl")).expect("the results file is read");
    std::fs::write(other.path().join("runs.jsonl"), text.trim_end()).expect("the results file is written");
    let (again, executed) = run_experiment(EXPERIMENT, other.path());
    assert_eq!((again.len(), executed), (16, 1));
    assert_eq!(load_runs(&other.path().join("runs.jsonl")).expect("complete lines").len(), 16);
}

#[test]
fn results_of_a_different_variant_with_the_same_name_are_rejected() {
    let dir = tempfile::tempdir().expect("a temporary directory");
    run_experiment(
        "name = \"t\"\ndays = [\"short.toml\"]\nseeds = 1\n[[variants]]\nname = \"a\"\n",
        dir.path(),
    );
    let other = experiment(
        "name = \"t\"\ndays = [\"short.toml\"]\nseeds = 1\n[[variants]]\nname = \"a\"\nset.means.cancel = false\n",
    );
    let error = run(&other, dir.path(), 1, &read, &mut |_, _, _| {}).expect_err("a different variant");
    assert!(format!("{error:#}").contains("another --out"), "{error:#}");
    // The error for a damaged line that is not the last gives its line number.
    std::fs::write(dir.path().join("runs.jsonl"), "{\n{}\n").expect("the results file is written");
    let error = load_runs(&dir.path().join("runs.jsonl")).expect_err("a damaged line");
    assert!(format!("{error:#}").contains("runs.jsonl:1"), "{error:#}");
}

#[test]
fn variants_alternate_and_are_paired_by_seed() {
    let dir = tempfile::tempdir().expect("a temporary directory");
    let (runs, _) = run_experiment(EXPERIMENT, dir.path());
    let first: Vec<&str> = (1..=4)
        .map(|seed| {
            let of = runs.iter().filter(|r| r.key.seed == seed);
            of.min_by_key(|r| r.order).map(|r| r.key.variant.as_str()).expect("the seed has runs")
        })
        .collect();
    assert_eq!(first, ["random", "module", "random", "module"], "the variants alternate in running first");
    let summaries = summarize(&runs, "module");
    let summary = summaries
        .iter()
        .find(|c| c.variant == "random" && c.metric == "service" && c.size == "as it is")
        .expect("compared");
    assert_eq!(summary.compared.expect("compared with the baseline").pairs, 4);
    let page = report::html("a <name>", &runs, &summaries).expect("the page is built");
    assert!(page.contains("a &lt;name&gt;") && page.matches("<svg").count() >= 10);
    assert!(
        !page.contains("http-equiv") && !page.contains("src="),
        "the page must not load external resources"
    );
    assert!(report::markdown("t", &summaries).lines().count() > 20);
}

#[test]
fn equal_experiments_are_inconclusive_and_slower_engines_are_worse() {
    let dirs: Vec<_> = (0..3).map(|_| tempfile::tempdir().expect("a temporary directory")).collect();
    let text = |set: &str| {
        format!("name = \"t\"\ndays = [\"short.toml\"]\nseeds = 8\n[[variants]]\nname = \"a\"\n{set}[[sizes]]\nload = 3.0\n")
    };
    let (a, _) = run_experiment(&text(""), dirs[0].path());
    let (same, _) = run_experiment(&text(""), dirs[1].path());
    assert!(compare_runs(&a, &same)
        .iter()
        .all(|c| c.compared.expect("compared").verdict == Verdict::Inconclusive));
    let slower = "set.fleet.kinds = [{ name = \"std\", cores = 8, memory = \"8GB\", speed = [0.5, 0.5] }]\n";
    let (worse, _) = run_experiment(&text(slower), dirs[2].path());
    let summaries = compare_runs(&a, &worse);
    let service = summaries.iter().find(|c| c.metric == "service").expect("compared");
    assert_eq!(service.compared.expect("compared").verdict, Verdict::Worse, "{service:?}");
}

#[test]
fn an_invalid_experiment_is_rejected_with_a_description() {
    for (from, to, expected) in [
        ("policy = \"random\"", "policy = \"magic\"", "magic"),
        ("name = \"random\"", "name = \"module\"", "same name"),
        ("load = 2.0", "load = 0.0", "load of 0"),
        ("seeds = 4", "seeds = 40000", "runs"),
        ("seeds = 4", "seeds = 4\nmode = \"sockets\"", "only in virtual time"),
    ] {
        let error = Experiment::parse("t.toml", &EXPERIMENT.replace(from, to)).expect_err(to);
        assert!(error.to_string().contains(expected), "{to}: {error}");
    }
}
