//! A capture in memory: whole spans, the oldest of which goes; written to a file when there is a reason.

use crate::format::{Head, MAGIC, VERSION};
use std::collections::VecDeque;
use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use wheelfield::interface::Micros;

/// What is held in memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RingLimits {
    /// Bytes of compressed blocks.
    pub bytes: u64,
    /// So far back, at least, if the bytes suffice.
    pub span: Micros,
}

impl Default for RingLimits {
    fn default() -> Self {
        RingLimits { bytes: 64 << 20, span: Micros(600_000_000) }
    }
}

/// Blocks from one checkpoint on.
#[derive(Default)]
struct Span {
    bytes: Vec<u8>,
    first: Option<i64>,
}

/// The spans, oldest first.
pub(crate) struct Ring {
    limits: RingLimits,
    spans: VecDeque<Span>,
    /// Bytes of all of them.
    total: u64,
}

impl Ring {
    pub fn new(limits: RingLimits) -> Ring {
        Ring { limits, spans: VecDeque::from([Span::default()]), total: 0 }
    }

    /// The next block begins a span.
    pub fn begin(&mut self) {
        self.spans.push_back(Span::default());
    }

    /// Takes a block; gives the bytes of the span at hand, and what is held in all.
    pub fn push(&mut self, head: &Head, bytes: &[u8], packed: &[u8]) -> (u64, u64) {
        if self.spans.is_empty() {
            self.begin();
        }
        let Some(span) = self.spans.back_mut() else { return (0, self.total) };
        span.bytes.extend_from_slice(bytes);
        span.bytes.extend_from_slice(packed);
        span.first = span.first.or(Some(head.first));
        let own = span.bytes.len() as u64;
        self.total += (bytes.len() + packed.len()) as u64;
        // The oldest goes while there is too much, or while what is left still reaches back far enough.
        let reaches = |s: &Span| s.first.is_some_and(|t| head.last - t >= self.limits.span.0);
        while self.spans.len() > 1
            && (self.total > self.limits.bytes || self.spans.get(1).is_some_and(reaches))
        {
            let gone = self.spans.pop_front().map_or(0, |s| s.bytes.len() as u64);
            self.total -= gone;
        }
        (own, self.total)
    }

    /// Writes all that is held to a file: whole or not at all, and durably. Gives its bytes.
    ///
    /// # Errors
    /// As the disk tells; no file is left then.
    pub fn write(&self, path: &Path) -> std::io::Result<u64> {
        let partial = path.with_extension("partial");
        let written = self.write_to(&partial).and_then(|n| std::fs::rename(&partial, path).map(|()| n));
        if written.is_err() {
            let _ = std::fs::remove_file(&partial);
        }
        let n = written?;
        let dir = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
        File::open(dir)?.sync_all()?;
        Ok(n)
    }

    fn write_to(&self, path: &Path) -> std::io::Result<u64> {
        let mut file = File::create(path)?;
        file.write_all(MAGIC)?;
        file.write_all(&VERSION.to_be_bytes())?;
        for span in &self.spans {
            file.write_all(&span.bytes)?;
        }
        file.sync_all()?;
        Ok(MAGIC.len() as u64 + 2 + self.total)
    }
}

/// Removes the oldest kept files of a capture until all together have at most `keep` bytes; `newest` stays.
pub(crate) fn prune(capture: &Path, newest: &Path, keep: u64) {
    let stem = capture.file_stem().map_or_else(String::new, |s| format!("{}-", s.to_string_lossy()));
    let dir = capture.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
    let ours = |p: &PathBuf| {
        let name = p.file_name().map_or_else(String::new, |n| n.to_string_lossy().into_owned());
        // The time stands behind the name, so the names are in the order of time.
        name.strip_prefix(&stem).is_some_and(|rest| rest.starts_with("20") && rest.ends_with(".wfcap"))
    };
    let Ok(entries) = std::fs::read_dir(dir) else { return };
    let mut files: Vec<(PathBuf, u64)> = entries
        .filter_map(Result::ok)
        .map(|e| e.path())
        .filter(ours)
        .filter_map(|p| p.metadata().ok().map(|m| (p, m.len())))
        .collect();
    files.sort();
    let mut total: u64 = files.iter().map(|(_, n)| n).sum();
    for (path, bytes) in files {
        if total <= keep {
            break;
        }
        if path != newest && std::fs::remove_file(&path).is_ok() {
            total -= bytes;
        }
    }
}
