//! Compiles the preloaded library from its C source with the C compiler of the system.

use std::path::PathBuf;
use std::process::Command;

const SOURCE: &str = "shim/fault_shim.c";

fn main() {
    println!("cargo::rerun-if-changed={SOURCE}");
    println!("cargo::rerun-if-env-changed=CC");
    let library = PathBuf::from(std::env::var_os("OUT_DIR").expect("cargo sets OUT_DIR"))
        .join("libwheelfield_fault_shim.so");
    let compiler = std::env::var_os("CC").unwrap_or_else(|| "cc".into());
    let status = Command::new(&compiler)
        .args(["-shared", "-fPIC", "-O1", "-Wall", "-Werror", "-o"])
        .arg(&library)
        .arg(SOURCE)
        .arg("-ldl")
        .status();
    match status {
        Ok(status) if status.success() => {}
        other => panic!("{compiler:?} could not build {SOURCE}: {other:?}"),
    }
    println!(
        "cargo::rustc-env=WHEELFIELD_FAULT_SHIM={}",
        library.display()
    );
}
