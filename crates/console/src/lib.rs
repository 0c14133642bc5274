//! Standard output and standard error of the command line programs.
//!
//! `println!` panics if it cannot write, which ends a program in the middle of its work: a roll-out between two steps, or a test with
//! its processes running. [`outln!`] and the other macros of this crate do not. Once a write to standard output has failed, nothing
//! more is written there, and [`exit_code`] tells of it at the end of the program.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::fmt;
use std::io::{self, ErrorKind, Write as _};
use std::process::ExitCode;
use std::sync::{Mutex, PoisonError};

/// The error of the first write to standard output that failed.
static STDOUT_ERROR: Mutex<Option<io::Error>> = Mutex::new(None);

/// Writes a line to standard output, with the arguments of `println!`.
#[macro_export]
macro_rules! outln {
    ($($arguments:tt)*) => {
        $crate::write_stdout(::std::format_args!("{}\n", ::std::format_args!($($arguments)*)))
    };
}

/// Writes to standard output, with the arguments of `print!`.
#[macro_export]
macro_rules! out {
    ($($arguments:tt)*) => { $crate::write_stdout(::std::format_args!($($arguments)*)) };
}

/// Writes a line to standard error, with the arguments of `eprintln!`.
#[macro_export]
macro_rules! errln {
    ($($arguments:tt)*) => {
        $crate::write_stderr(::std::format_args!("{}\n", ::std::format_args!($($arguments)*)))
    };
}

/// Writes to standard error, with the arguments of `eprint!`.
#[macro_export]
macro_rules! err {
    ($($arguments:tt)*) => { $crate::write_stderr(::std::format_args!($($arguments)*)) };
}

/// Writes to standard output, unless an earlier write there has failed.
pub fn write_stdout(text: fmt::Arguments<'_>) {
    let mut error = STDOUT_ERROR.lock().unwrap_or_else(PoisonError::into_inner);
    if error.is_none() {
        *error = io::stdout().lock().write_fmt(text).err();
    }
}

/// Writes to standard error. A failure is ignored, as there is nowhere else to tell of it.
pub fn write_stderr(text: fmt::Arguments<'_>) {
    let _ = io::stderr().lock().write_fmt(text);
}

/// Returns the exit code of a program whose work ended with `code`. If its output could not be written, prints why and returns 1. A
/// reader that has closed standard output, as `head` does, needs no more of it and changes nothing.
pub fn exit_code(code: ExitCode) -> ExitCode {
    let mut error = STDOUT_ERROR.lock().unwrap_or_else(PoisonError::into_inner);
    let error = error.take().or_else(|| io::stdout().flush().err());
    match error {
        Some(error) if error.kind() != ErrorKind::BrokenPipe => {
            errln!("cannot write to standard output: {error}");
            ExitCode::FAILURE
        }
        _ => code,
    }
}
