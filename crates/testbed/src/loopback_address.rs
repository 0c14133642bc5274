//! IP addresses on loopback for the sockets of one run.
//!
//! A port that is found by binding a socket and released for another process can be given to anybody in between. On an IP address of
//! its own, only the run itself asks for ports.

use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicU32, Ordering};

/// Number of values of one octet that are used; 0 and 255 have special meanings.
const OCTET_VALUES: u32 = 250;

/// An IP address that neither another run of this process nor, as long as their process ids differ by less than 62,500, one of
/// another process uses.
pub fn unused() -> Ipv4Addr {
    static RUNS: AtomicU32 = AtomicU32::new(0);
    address(std::process::id(), RUNS.fetch_add(1, Ordering::SeqCst))
}

/// The address of a run of a process. Processes never get 127.0.0.0/16, where other programs listen.
pub fn address(process: u32, run: u32) -> Ipv4Addr {
    let octet = |n: u32| 1 + (n % OCTET_VALUES) as u8;
    Ipv4Addr::new(127, octet(process), octet(process / OCTET_VALUES), octet(run))
}
