//! Experiments: the same results each time, resumed after a kill, and comparisons that find what was planted.

use std::path::Path;
use wheelfield_testbed::experiment::{compare_runs, load, run, summarize, Experiment, Run};
use wheelfield_testbed::report;
use wheelfield_testbed::stats::Verdict;

const TEXT: &str =
    "name = \"t\"\ndays = [\"short.toml\"]\nseeds = 4\n[[variants]]\nname = \"module\"\n[[variants]]\n\
                    name = \"random\"\npolicy = \"random\"\n[[sizes]]\n[[sizes]]\nload = 2.0\n";

fn read(name: &str) -> anyhow::Result<String> {
    let path = format!("{}/days/{name}", env!("CARGO_MANIFEST_DIR"));
    Ok(std::fs::read_to_string(path)?)
}

fn experiment(text: &str) -> Experiment {
    Experiment::parse("t.toml", text).unwrap_or_else(|fault| panic!("{fault}"))
}

fn played(text: &str, dir: &Path) -> (Vec<Run>, usize) {
    let mut done = 0;
    let runs =
        run(&experiment(text), dir, 2, &read, &mut |_, _, _| done += 1).unwrap_or_else(|f| panic!("{f:#}"));
    (runs, done)
}

fn lines(runs: &[Run]) -> Vec<String> {
    runs.iter().map(|r| serde_json::to_string(r).expect("JSON")).collect()
}

#[test]
fn a_run_that_was_killed_goes_on_where_it_was_and_comes_to_the_same() {
    let (one, other) = (tempfile::tempdir().expect("a folder"), tempfile::tempdir().expect("a folder"));
    let (whole, done) = played(TEXT, one.path());
    assert_eq!((whole.len(), done), (16, 16));
    // The same, killed amid its sixth line.
    let text = std::fs::read_to_string(one.path().join("runs.jsonl")).expect("results");
    let cut: usize = text.lines().take(5).map(|l| l.len() + 1).sum::<usize>() + 40;
    std::fs::write(other.path().join("runs.jsonl"), &text[..cut]).expect("written");
    let (resumed, done) = played(TEXT, other.path());
    assert_eq!(done, 11, "only what was not there is done");
    assert_eq!(lines(&whole), lines(&resumed));
    assert_eq!(load(&other.path().join("runs.jsonl")).expect("whole lines").len(), 16);
    let (_, done) = played(TEXT, other.path());
    assert_eq!(done, 0);
    // Torn just before the end of its last line, which reads as whole: done anew, and in the file again.
    let text = std::fs::read_to_string(other.path().join("runs.jsonl")).expect("results");
    std::fs::write(other.path().join("runs.jsonl"), text.trim_end()).expect("written");
    let (again, done) = played(TEXT, other.path());
    assert_eq!((again.len(), done), (16, 1));
    assert_eq!(load(&other.path().join("runs.jsonl")).expect("whole lines").len(), 16);
}

#[test]
fn results_of_another_day_under_the_same_name_are_not_taken() {
    let dir = tempfile::tempdir().expect("a folder");
    played("name = \"t\"\ndays = [\"short.toml\"]\nseeds = 1\n[[variants]]\nname = \"a\"\n", dir.path());
    let other = experiment(
        "name = \"t\"\ndays = [\"short.toml\"]\nseeds = 1\n[[variants]]\nname = \"a\"\nset.means.cancel = false\n",
    );
    let fault = run(&other, dir.path(), 1, &read, &mut |_, _, _| {}).expect_err("another day");
    assert!(format!("{fault:#}").contains("another --out"), "{fault:#}");
    // A line that was damaged, and is not the last, is told by its number.
    std::fs::write(dir.path().join("runs.jsonl"), "{\n{}\n").expect("written");
    let fault = load(&dir.path().join("runs.jsonl")).expect_err("damaged");
    assert!(format!("{fault:#}").contains("runs.jsonl:1"), "{fault:#}");
}

#[test]
fn variants_take_turns_and_are_paired_by_seed() {
    let dir = tempfile::tempdir().expect("a folder");
    let (runs, _) = played(TEXT, dir.path());
    let first: Vec<&str> = (1..=4)
        .map(|seed| {
            let of = runs.iter().filter(|r| r.key.seed == seed);
            of.min_by_key(|r| r.order).map(|r| r.key.variant.as_str()).expect("played")
        })
        .collect();
    assert_eq!(first, ["random", "module", "random", "module"], "neither always goes first");
    let cells = summarize(&runs, "module");
    let cell = cells
        .iter()
        .find(|c| c.variant == "random" && c.figure == "service" && c.size == "as it is")
        .expect("compared");
    assert_eq!(cell.compared.expect("beside the first").pairs, 4);
    let page = report::html("a <name>", &runs, &cells).expect("drawn");
    assert!(page.contains("a &lt;name&gt;") && page.matches("<svg").count() >= 10);
    assert!(!page.contains("http-equiv") && !page.contains("src="), "nothing is fetched");
    assert!(report::markdown("t", &cells).lines().count() > 20);
}

#[test]
fn a_day_beside_itself_is_not_told_apart_and_a_slower_fleet_is_worse() {
    let dirs: Vec<_> = (0..3).map(|_| tempfile::tempdir().expect("a folder")).collect();
    let text = |set: &str| {
        format!("name = \"t\"\ndays = [\"short.toml\"]\nseeds = 8\n[[variants]]\nname = \"a\"\n{set}[[sizes]]\nload = 3.0\n")
    };
    let (a, _) = played(&text(""), dirs[0].path());
    let (same, _) = played(&text(""), dirs[1].path());
    assert!(compare_runs(&a, &same)
        .iter()
        .all(|c| c.compared.expect("compared").verdict == Verdict::Inconclusive));
    let slower = "set.fleet.kinds = [{ name = \"std\", cores = 8, memory = \"8GB\", speed = [0.5, 0.5] }]\n";
    let (worse, _) = played(&text(slower), dirs[2].path());
    let cells = compare_runs(&a, &worse);
    let service = cells.iter().find(|c| c.figure == "service").expect("compared");
    assert_eq!(service.compared.expect("compared").verdict, Verdict::Worse, "{service:?}");
}

#[test]
fn what_is_wrong_with_an_experiment_is_told_by_its_place() {
    for (from, to, word) in [
        ("policy = \"random\"", "policy = \"magic\"", "magic"),
        ("name = \"random\"", "name = \"module\"", "one name"),
        ("load = 2.0", "load = 0.0", "load of 0"),
        ("seeds = 4", "seeds = 40000", "runs"),
        ("seeds = 4", "seeds = 4\nmode = \"sockets\"", "virtual time alone"),
    ] {
        let fault = Experiment::parse("t.toml", &TEXT.replace(from, to)).expect_err(to);
        assert!(fault.to_string().contains(word), "{to}: {fault}");
    }
}
