//! `wheelfield-members`: engine files checked, compared, written, applied, and who runs which.

use anyhow::{bail, Context, Result};
use clap::{Parser, Subcommand};
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use wheelfield_members::file::{read, write, Places, Read as Found};
use wheelfield_members::keeper::Policy;
use wheelfield_watch::disk;

/// Engine files: checked, compared, written, applied; and which controller runs which version.
///
/// Exit codes: 0 sound, equal or done, 1 a fault, a difference or a controller behind, 2 bad use.
#[derive(Parser)]
#[command(name = "wheelfield-members", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Whether files are sound: the first fault by file, line, column and mend.
    Check {
        /// The files.
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// A controller's configuration, whose zones and kinds must be meant; else those of the files are taken.
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
    },
    /// How the second set differs from the first; a mere reordering is no difference.
    Diff {
        /// The one,
        one: PathBuf,
        /// the other.
        other: PathBuf,
    },
    /// Writes a file in its usual form: by order of ids, without what need not be said. Comments are lost.
    Fmt {
        /// The file.
        file: PathBuf,
        /// Writes nothing; 1 if it is not so already.
        #[arg(long)]
        check: bool,
    },
    /// Puts a file in the place of the one in force, whole and durably, if that is still the one that was meant.
    Apply {
        /// The new one.
        file: PathBuf,
        /// The one in force.
        target: PathBuf,
        /// The version that must be in force; 0 if there is none yet.
        #[arg(long, value_name = "N")]
        expect: u64,
        /// As for `check`.
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
        /// Much of the capacity may go at once: `confirmed = true` is written into the file.
        #[arg(long)]
        confirm: bool,
    },
    /// Which version each controller runs, by their admin addresses.
    Status {
        /// Admin addresses, such as 127.0.0.1:9801.
        #[arg(required = true)]
        controllers: Vec<SocketAddr>,
        /// The version that they should run; else the newest that one does.
        #[arg(long, value_name = "N")]
        version: Option<u64>,
    },
}

fn main() -> ExitCode {
    match run(Cli::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(fault) => {
            eprintln!("wheelfield-members: {fault:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: Command) -> Result<bool> {
    match command {
        Command::Check { files, config } => check(&files, config.as_deref()),
        Command::Diff { one, other } => diff(&one, &other),
        Command::Fmt { file, check } => format(&file, check),
        Command::Apply { file, target, expect, config, confirm } => {
            apply(&file, &target, expect, config.as_deref(), confirm)
        }
        Command::Status { controllers, version } => status(&controllers, version),
    }
}

fn text(path: &Path) -> Result<String> {
    std::fs::read_to_string(path).with_context(|| format!("cannot read {}", path.display()))
}

fn places(config: Option<&Path>) -> Result<Places> {
    let Some(path) = config else { return Ok(Places { open: true, ..Places::default() }) };
    let config = wheelfield_config::parse(&path.display().to_string(), &text(path)?)?;
    Ok(Places { cores: config.settings.cores, names: config.names, open: false })
}

fn load(path: &Path, places: &mut Places) -> Result<Found> {
    Ok(read(&path.display().to_string(), &text(path)?, places)?)
}

fn check(files: &[PathBuf], config: Option<&Path>) -> Result<bool> {
    let mut places = places(config)?;
    for file in files {
        let found = load(file, &mut places)?;
        let engines = found.set.engines.len();
        println!("{}: version {}, {engines} engines, sound", file.display(), found.set.version);
    }
    Ok(true)
}

fn diff(one: &Path, other: &Path) -> Result<bool> {
    let mut places = places(None)?;
    let (a, b) = (load(one, &mut places)?, load(other, &mut places)?);
    let lines = a.set.difference(&b.set);
    lines.iter().for_each(|line| println!("{line}"));
    Ok(lines.is_empty())
}

fn format(file: &Path, check: bool) -> Result<bool> {
    let mut places = places(None)?;
    let before = text(file)?;
    let found = read(&file.display().to_string(), &before, &mut places)?;
    let after = write(&found, &places);
    if before == after {
        return Ok(true);
    }
    if !check {
        disk::write_durably(file, after.as_bytes())
            .with_context(|| format!("cannot write {}", file.display()))?;
    }
    Ok(!check)
}

fn apply(file: &Path, target: &Path, expect: u64, config: Option<&Path>, confirm: bool) -> Result<bool> {
    let mut places = places(config)?;
    let mut new = load(file, &mut places)?;
    // The lock is the system's: it goes with this process, however that ends.
    let lock_path = PathBuf::from(format!("{}.lock", target.display()));
    let lock = File::create(&lock_path).with_context(|| format!("cannot write {}", lock_path.display()))?;
    if lock.try_lock().is_err() {
        bail!("{} is locked: somebody else applies a file just now", target.display());
    }
    let old = if target.exists() { Some(load(target, &mut places)?) } else { None };
    let in_force = old.as_ref().map_or(0, |o| o.set.version);
    if in_force != expect {
        bail!("version {in_force} is in force, not {expect}: look what changed, and expect that");
    }
    if new.set.version <= in_force {
        bail!("{} has version {}; write {}", file.display(), new.set.version, in_force + 1);
    }
    if let Some(old) = &old {
        let cores =
            if places.cores.is_empty() { vec![1.0; places.names.kinds.len()] } else { places.cores.clone() };
        let (had, left) = (old.set.capacity(&cores), new.set.capacity(&cores));
        let lost = if had > 0.0 { 1.0 - left / had } else { 0.0 };
        if lost > Policy::default().most_lost && !confirm && !new.confirmed {
            bail!(
                "{:.0}% of the capacity would be gone at once; say --confirm if that is meant",
                lost * 100.0
            );
        }
        old.set.difference(&new.set).iter().for_each(|line| println!("{line}"));
    }
    let mut bytes = text(file)?;
    if confirm && !new.confirmed {
        new.confirmed = true;
        bytes = write(&new, &places);
    }
    disk::write_durably(target, bytes.as_bytes())
        .with_context(|| format!("cannot write {}", target.display()))?;
    println!("{}: version {} in force of {in_force}", target.display(), new.set.version);
    Ok(true)
}

/// What a controller says of its list.
fn ask(address: SocketAddr) -> Result<(u64, String)> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    stream.write_all(b"GET /status HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
    let mut answer = Vec::new();
    let mut chunk = [0; 16 << 10];
    // The body is one JSON object; the connection may stay open behind it.
    loop {
        let n = stream.read(&mut chunk)?;
        answer.extend_from_slice(&chunk[..n]);
        let whole = String::from_utf8_lossy(&answer).into_owned();
        let body = whole.split_once("\r\n\r\n").map(|(_, body)| body).unwrap_or("");
        if let Ok(status) = serde_json::from_str::<serde_json::Value>(body) {
            let version = status["figures"]["list_version"].as_u64().context("no version in its status")?;
            let fault = status["members"]["fault"].as_str().unwrap_or("").to_string();
            return Ok((version, fault));
        }
        if n == 0 || answer.len() > 8 << 20 {
            bail!("its status can't be read");
        }
    }
}

fn status(controllers: &[SocketAddr], version: Option<u64>) -> Result<bool> {
    let answers: Vec<Result<(u64, String)>> = std::thread::scope(|scope| {
        let asked: Vec<_> = controllers.iter().map(|c| scope.spawn(|| ask(*c))).collect();
        asked.into_iter().map(|t| t.join().unwrap_or_else(|_| bail!("asking it failed"))).collect()
    });
    let newest = answers.iter().filter_map(|a| a.as_ref().ok()).map(|(v, _)| *v).max().unwrap_or(0);
    let wanted = version.unwrap_or(newest);
    let mut behind = 0;
    for (controller, answer) in controllers.iter().zip(&answers) {
        match answer {
            Ok((version, fault)) => {
                let late = *version != wanted;
                behind += usize::from(late);
                let word = if late { "  BEHIND" } else { "" };
                println!(
                    "{controller}  version {version}{word}{}",
                    if fault.is_empty() { String::new() } else { format!("  {fault}") }
                );
            }
            Err(fault) => {
                behind += 1;
                println!("{controller}  no answer: {fault:#}");
            }
        }
    }
    println!("{} of {} run version {wanted}", controllers.len() - behind, controllers.len());
    Ok(behind == 0)
}
