//! Sockets that are closed while other threads start processes.

use std::net::UdpSocket;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use wheelfield_child_process::{start, Unshared};

const THREADS: usize = 3;
const SOCKETS: usize = 2_000;

/// Regression test: a child process had a copy of a socket that its parent had closed, and the port could not be bound again.
#[test]
fn the_port_of_a_closed_socket_is_free_while_other_threads_start_processes() {
    let has_ended = AtomicBool::new(false);
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while !has_ended.load(Ordering::SeqCst) {
                    let child = start(Command::new("true").stdin(Stdio::null()));
                    child.expect("a process").wait().expect("a child");
                }
            });
        }
        let rebind = |_| {
            let socket = Unshared::new(UdpSocket::bind("127.0.0.1:0")?);
            let address = socket.local_addr()?;
            drop(socket);
            UdpSocket::bind(address).map(drop)
        };
        let failures: Vec<_> = (0..SOCKETS).filter_map(|n| rebind(n).err()).collect();
        has_ended.store(true, Ordering::SeqCst);
        assert!(
            failures.is_empty(),
            "{} failures: {failures:?}",
            failures.len()
        );
    });
}
