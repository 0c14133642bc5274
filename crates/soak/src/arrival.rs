//! Reads from a TCP connection, with the time for which the bytes had waited to be read.
//!
//! A thread of the test may run late on a busy machine. What a controller sends counts from when it
//! arrived, not from when a thread read it.

use nix::sys::socket::sockopt::ReceiveTimestampns;
use nix::sys::socket::{recvmsg, setsockopt, ControlMessageOwned, MsgFlags};
use nix::sys::time::TimeSpec;
use std::io::{self, IoSliceMut};
use std::net::TcpStream;
use std::os::fd::AsRawFd as _;
use std::time::{Duration, SystemTime};

/// Makes the operating system record when the bytes of a connection arrive.
///
/// # Errors
/// If the option cannot be set.
pub fn enable_timestamps(stream: &TcpStream) -> io::Result<()> {
    setsockopt(stream, ReceiveTimestampns, &true)?;
    Ok(())
}

/// Reads from a connection. Returns the number of bytes, and for how long the last of them had
/// waited; zero if that is not known.
///
/// # Errors
/// Those of the system call.
pub fn read_with_wait(stream: &TcpStream, buffer: &mut [u8]) -> io::Result<(usize, Duration)> {
    let mut buffers = [IoSliceMut::new(buffer)];
    let mut control = nix::cmsg_space!(TimeSpec);
    let message = recvmsg::<()>(
        stream.as_raw_fd(),
        &mut buffers,
        Some(&mut control),
        MsgFlags::empty(),
    )?;
    let arrived_at = message.cmsgs()?.find_map(|control| match control {
        ControlMessageOwned::ScmTimestampns(time) => Some(Duration::from(time)),
        _ => None,
    });
    let waited = arrived_at
        .and_then(|since_epoch| SystemTime::UNIX_EPOCH.checked_add(since_epoch))
        .and_then(|arrived_at| arrived_at.elapsed().ok());
    Ok((message.bytes, waited.unwrap_or_default()))
}
