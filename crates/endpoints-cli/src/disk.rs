//! FileContent engine files, and writing what must survive a crash.

use std::collections::BTreeSet;
use std::fs::File;
use std::io::{Read, Write};
use std::path::{Path, PathBuf};
use wheelfield::interface::Micros;
use wheelfield_endpoints::activation::FileContent;
use wheelfield_endpoints::file::{parse, Topology};
use wheelfield_endpoints::{EngineSet, MAX_LIST_BYTES};

/// Files of a set at most.
pub const MOST_FILES: usize = 256;

/// Where engine files are: a file, a directory, or a path with `*` in its last part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileSource(pub PathBuf);

impl FileSource {
    /// The directory in which files come and go, and the pattern of their names, if there is one.
    fn parts(&self) -> (PathBuf, Option<String>) {
        let name = self.0.file_name().map(|n| n.to_string_lossy().into_owned()).unwrap_or_default();
        if name.contains('*') {
            return (parent(&self.0), Some(name));
        }
        if self.0.is_dir() {
            return (self.0.clone(), Some("*.toml".to_string()));
        }
        (parent(&self.0), None)
    }

    /// Whether a path that changed may be one of the files, or a link on the way to them.
    pub fn concerns(&self, changed: &Path) -> bool {
        let (dir, pattern) = self.parts();
        let name = changed.file_name().map(|n| n.to_string_lossy().into_owned()).unwrap_or_default();
        let on_the_way = dir.file_name().is_some_and(|d| d.to_string_lossy() == name);
        let is_one = match pattern {
            Some(pattern) => matches_pattern(&pattern, &name),
            None => self.0.file_name().is_some_and(|f| f.to_string_lossy() == name),
        };
        is_one || on_the_way
    }

    /// The files there are now, in order of their names.
    fn files(&self) -> Vec<PathBuf> {
        let (dir, pattern) = self.parts();
        let Some(pattern) = pattern else { return vec![self.0.clone()] };
        let Ok(entries) = std::fs::read_dir(&dir) else { return Vec::new() };
        let fits = |p: &PathBuf| {
            let name = p.file_name().map(|n| n.to_string_lossy().into_owned()).unwrap_or_default();
            // What is hidden is somebody's half-written copy.
            !name.starts_with('.') && matches_pattern(&pattern, &name) && p.is_file()
        };
        let mut files: Vec<PathBuf> =
            entries.filter_map(Result::ok).map(|e| e.path()).filter(fits).take(MOST_FILES + 1).collect();
        files.sort();
        files
    }
}

fn parent(path: &Path) -> PathBuf {
    path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new(".")).to_path_buf()
}

/// Whether a name fits a pattern in which `*` stands for any letters.
fn matches_pattern(pattern: &str, name: &str) -> bool {
    let parts: Vec<&str> = pattern.split('*').collect();
    let [first, middle @ .., last] = parts.as_slice() else { return pattern == name };
    let Some(rest) = name.strip_prefix(first) else { return false };
    let Some(mut rest) = rest.strip_suffix(last) else { return false };
    for part in middle {
        let Some(at) = rest.find(part) else { return false };
        rest = &rest[at + part.len()..];
    }
    true
}

/// The directories to watch: where files come and go, and where links to these stand.
pub fn directories(places: &[FileSource]) -> BTreeSet<PathBuf> {
    let mut all = BTreeSet::new();
    for place in places {
        let (dir, _) = place.parts();
        // A release tool swaps a link in the directory above. A plain directory is not watched from above: whatever is
        // written beside it would wake every watcher.
        if std::fs::symlink_metadata(&dir).map_or(true, |m| m.is_symlink()) {
            all.insert(parent(&dir));
        }
        if let Ok(real) = dir.canonicalize() {
            all.insert(real);
        }
        all.insert(dir);
    }
    all
}

/// Reads all files of all places.
pub fn read(places: &[FileSource]) -> Vec<FileContent> {
    let mut paths: Vec<PathBuf> = places.iter().flat_map(FileSource::files).collect();
    paths.sort();
    paths.dedup();
    let too_many = paths.len() > MOST_FILES;
    paths.truncate(MOST_FILES);
    let mut all: Vec<FileContent> =
        paths.iter().map(|p| (p.display().to_string(), text(p).map_err(|e| e.to_string()))).collect();
    if too_many {
        all.push(("more files".to_string(), Err(format!("there are more than {MOST_FILES} files"))));
    }
    all
}

/// Reads a file, up to a byte more than may be.
fn text(path: &Path) -> std::io::Result<String> {
    let mut text = String::new();
    File::open(path)?.take(MAX_LIST_BYTES as u64 + 1).read_to_string(&mut text)?;
    Ok(text)
}

/// Writes a file whole or not at all, so that it survives a crash: beside it, synced, renamed, and the directory synced.
///
/// # Errors
/// As the disk tells; the old file stays then.
pub fn write_durably(path: &Path, bytes: &[u8]) -> std::io::Result<()> {
    write_with(path, |file| file.write_all(bytes))
}

/// The same, with a writing that may fail midway.
///
/// # Errors
/// As the disk or the writing tells; the old file stays then.
pub fn write_with(path: &Path, write: impl FnOnce(&mut File) -> std::io::Result<()>) -> std::io::Result<()> {
    let dir = parent(path);
    let mut partial = tempfile::Builder::new().prefix(".partial-").tempfile_in(&dir)?;
    write(partial.as_file_mut())?;
    partial.as_file().sync_all()?;
    partial.persist(path).map_err(|e| e.error)?;
    File::open(&dir)?.sync_all()
}

/// The set that was kept, and when; none if there is none.
///
/// # Errors
/// Why it can't be used.
pub fn kept(path: &Path, places: &Topology) -> Result<Option<(EngineSet, Micros)>, String> {
    let text = match text(path) {
        Ok(text) => text,
        Err(fault) if fault.kind() == std::io::ErrorKind::NotFound => return Ok(None),
        Err(fault) => return Err(format!("{}: {fault}", path.display())),
    };
    let found = parse(&path.display().to_string(), &text, &mut places.clone()).map_err(|f| f.to_string())?;
    Ok(Some((found.set, found.saved_at.unwrap_or_default())))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn patterns_fit_whole_names() {
        for (pattern, name, fits) in [
            ("*.toml", "a.toml", true),
            ("*.toml", "a.toml~", false),
            ("a*", "ab", true),
            ("a*b*c", "a1b2c", true),
            ("a*b*c", "a1c2b", false),
            ("ab*ab", "ab", false),
            ("plain", "plain", true),
            ("plain", "plainer", false),
            ("*", "x", true),
        ] {
            assert_eq!(matches_pattern(pattern, name), fits, "{pattern} {name}");
        }
    }

    #[test]
    fn a_writing_that_fails_midway_leaves_the_old_file() {
        let dir = tempfile::tempdir().expect("a directory");
        let path = dir.path().join("kept");
        write_durably(&path, b"old").expect("written");
        let full = |file: &mut File| {
            file.write_all(b"ne")?;
            Err(std::io::Error::from(std::io::ErrorKind::StorageFull))
        };
        let fault = write_with(&path, full).expect_err("the disk is full");
        assert_eq!(fault.kind(), std::io::ErrorKind::StorageFull);
        assert_eq!(std::fs::read(&path).expect("there"), b"old");
        assert_eq!(std::fs::read_dir(dir.path()).expect("a directory").count(), 1, "nothing is left beside");
    }
}
