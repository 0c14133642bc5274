//! Time, signals, the record of a run, and the temporary folder.

use std::fs::File;
use std::io::Write;
use std::path::PathBuf;
use std::sync::Mutex;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The Unix time in microseconds.
pub fn now() -> i64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_micros() as i64
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

pub fn sleep_until(at: i64) {
    let left = at - now();
    if left > 0 {
        std::thread::sleep(Duration::from_micros(left as u64));
    }
}

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGKILL: i32 = 9;

/// Sends a signal to a process that this test started.
pub fn signal(pid: u32, signal: i32) {
    // SAFETY: `kill` has no preconditions on memory.
    unsafe {
        kill(pid as i32, signal);
    }
}

/// The file `record.txt`: what was sent, answered and run, with milliseconds since the start.
pub struct Record {
    file: Mutex<File>,
    started_at: i64,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Record> {
        Ok(Record {
            file: Mutex::new(File::create(path)?),
            started_at: now(),
        })
    }

    pub fn line(&self, text: &str) {
        let ms = (now() - self.started_at) as f64 / 1e3;
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{ms:10.1} {text}");
        }
    }

    /// A line for the record and for the terminal.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// A private temporary folder, which is removed at the end.
pub struct TempDir(pub PathBuf);

impl TempDir {
    pub fn create() -> std::io::Result<TempDir> {
        let name = format!("wheelfield-review-{}-{}", std::process::id(), now());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path)?;
        Ok(TempDir(path))
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
