//! Reads engine files, and writes files so that they survive a crash.

use std::collections::BTreeSet;
use std::fs::File;
use std::io::{Read, Write};
use std::path::{Path, PathBuf};
use wheelfield::interface::Micros;
use wheelfield_endpoints::activation::FileContent;
use wheelfield_endpoints::file::{parse, Topology};
use wheelfield_endpoints::{EngineSet, MAX_LIST_BYTES};

/// Maximum number of files of an engine set.
pub const MAX_FILES: usize = 256;

/// The location of engine files: a file, a directory, or a path with `*` in its last component.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileSource(pub PathBuf);

impl FileSource {
    /// The directory that contains the files, and the pattern of their names, unless this is a single file.
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

    /// Whether a changed path may be one of the files, or a symbolic link that leads to their directory.
    pub fn may_match(&self, changed: &Path) -> bool {
        let (dir, pattern) = self.parts();
        let name = changed.file_name().map(|n| n.to_string_lossy().into_owned()).unwrap_or_default();
        let is_parent_link = dir.file_name().is_some_and(|d| d.to_string_lossy() == name);
        let is_engine_file = match pattern {
            Some(pattern) => matches_pattern(&pattern, &name),
            None => self.0.file_name().is_some_and(|f| f.to_string_lossy() == name),
        };
        is_engine_file || is_parent_link
    }

    /// The existing files, sorted by name.
    fn files(&self) -> Vec<PathBuf> {
        let (dir, pattern) = self.parts();
        let Some(pattern) = pattern else { return vec![self.0.clone()] };
        let Ok(entries) = std::fs::read_dir(&dir) else { return Vec::new() };
        let is_match = |p: &PathBuf| {
            let name = p.file_name().map(|n| n.to_string_lossy().into_owned()).unwrap_or_default();
            // Hidden files are temporary files of editors and of atomic writes.
            !name.starts_with('.') && matches_pattern(&pattern, &name) && p.is_file()
        };
        let mut files: Vec<PathBuf> =
            entries.filter_map(Result::ok).map(|e| e.path()).filter(is_match).take(MAX_FILES + 1).collect();
        files.sort();
        files
    }
}

fn parent(path: &Path) -> PathBuf {
    path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new(".")).to_path_buf()
}

/// Whether a name matches a pattern, in which `*` matches any characters.
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

/// The directories to watch: those that contain the files, and those that contain symbolic links to them.
pub fn directories_to_watch(sources: &[FileSource]) -> BTreeSet<PathBuf> {
    let mut all = BTreeSet::new();
    for source in sources {
        let (dir, _) = source.parts();
        // Deployment tools replace a symbolic link in the parent directory. The parent of a regular directory is not watched,
        // because unrelated writes there would wake every watcher.
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

/// Reads all files of all sources.
pub fn read_sources(sources: &[FileSource]) -> Vec<FileContent> {
    let mut paths: Vec<PathBuf> = sources.iter().flat_map(FileSource::files).collect();
    paths.sort();
    paths.dedup();
    let has_too_many = paths.len() > MAX_FILES;
    paths.truncate(MAX_FILES);
    let mut all: Vec<FileContent> =
        paths.iter().map(|p| (p.display().to_string(), read_text(p).map_err(|e| e.to_string()))).collect();
    if has_too_many {
        all.push(("more files".to_string(), Err(format!("there are more than {MAX_FILES} files"))));
    }
    all
}

/// Reads a file up to one byte more than the maximum size, so that a longer file is detected.
fn read_text(path: &Path) -> std::io::Result<String> {
    let mut text = String::new();
    File::open(path)?.take(MAX_LIST_BYTES as u64 + 1).read_to_string(&mut text)?;
    Ok(text)
}

/// Replaces a file atomically and durably: writes a temporary file in the same directory, syncs it, renames it, and syncs the
/// directory.
///
/// # Errors
/// If an operation fails; the old file stays then.
pub fn write_durably(path: &Path, bytes: &[u8]) -> std::io::Result<()> {
    write_durably_with(path, |file| file.write_all(bytes))
}

/// Like [`write_durably`], with a function that writes the contents and may fail.
///
/// # Errors
/// If an operation or the function fails; the old file stays then.
pub fn write_durably_with(
    path: &Path,
    write: impl FnOnce(&mut File) -> std::io::Result<()>,
) -> std::io::Result<()> {
    let dir = parent(path);
    let mut temporary = tempfile::Builder::new().prefix(".partial-").tempfile_in(&dir)?;
    write(temporary.as_file_mut())?;
    temporary.as_file().sync_all()?;
    temporary.persist(path).map_err(|e| e.error)?;
    File::open(&dir)?.sync_all()
}

/// Reads the saved last good set and the time when it was saved; `None` if the file does not exist.
///
/// # Errors
/// Why the file cannot be used.
pub fn read_last_good(path: &Path, topology: &Topology) -> Result<Option<(EngineSet, Micros)>, String> {
    let text = match read_text(path) {
        Ok(text) => text,
        Err(fault) if fault.kind() == std::io::ErrorKind::NotFound => return Ok(None),
        Err(fault) => return Err(format!("{}: {fault}", path.display())),
    };
    let parsed =
        parse(&path.display().to_string(), &text, &mut topology.clone()).map_err(|f| f.to_string())?;
    Ok(Some((parsed.set, parsed.saved_at.unwrap_or_default())))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn patterns_match_whole_names() {
        for (pattern, name, expected) in [
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
            assert_eq!(matches_pattern(pattern, name), expected, "{pattern} {name}");
        }
    }

    #[test]
    fn a_write_that_fails_midway_keeps_the_old_file() {
        let dir = tempfile::tempdir().expect("a directory");
        let path = dir.path().join("kept");
        write_durably(&path, b"old").expect("written");
        let write_until_full = |file: &mut File| {
            file.write_all(b"ne")?;
            Err(std::io::Error::from(std::io::ErrorKind::StorageFull))
        };
        let fault = write_durably_with(&path, write_until_full).expect_err("the disk is full");
        assert_eq!(fault.kind(), std::io::ErrorKind::StorageFull);
        assert_eq!(std::fs::read(&path).expect("there"), b"old");
        assert_eq!(
            std::fs::read_dir(dir.path()).expect("a directory").count(),
            1,
            "no temporary file remains"
        );
    }
}
