//! No program uses the macros of the standard library that panic if they cannot write.

use std::path::{Path, PathBuf};

const PANICKING: [&str; 4] = ["println!(", "print!(", "eprintln!(", "eprint!("];

fn sources_below(folder: &Path, found: &mut Vec<PathBuf>) {
    let entries = std::fs::read_dir(folder).expect("a folder");
    for entry in entries {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            sources_below(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

#[test]
fn no_source_uses_macros_that_panic_if_they_cannot_write() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut sources = Vec::new();
    for package in std::fs::read_dir(crates).expect("the crates") {
        sources_below(&package.expect("an entry").path().join("src"), &mut sources);
    }
    assert!(sources.len() > 100, "{} sources", sources.len());
    for path in sources {
        let text = std::fs::read_to_string(&path).expect("a source");
        let is_panicking = |line: &&str| {
            let uses = |name: &str| {
                line.trim_start().starts_with(name) || line.contains(&format!(" {name}"))
            };
            PANICKING.iter().any(|name| uses(name)) && !line.trim_start().starts_with("//")
        };
        let found: Vec<&str> = text.lines().filter(is_panicking).collect();
        assert!(found.is_empty(), "{}: {found:?}", path.display());
    }
}
