//! Idle clients that come to a controller, more of them than it has descriptors for, and say nothing.

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// Time between two of them.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(5);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Connects idle clients one after the other until the run is over, and keeps as many of them.
pub fn keep_coming(controller: SocketAddr, most: usize, has_stopped: &AtomicBool) {
    let mut idle: Vec<TcpStream> = Vec::new();
    while !has_stopped.load(Ordering::SeqCst) {
        if idle.len() >= most {
            idle.remove(0);
        }
        idle.extend(TcpStream::connect_timeout(&controller, CONNECT_TIMEOUT).ok());
        thread::sleep(ARRIVAL_INTERVAL);
    }
}
