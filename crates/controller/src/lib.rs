//! The running controller: a shell around [`wheelfield_gate::Gate`]. It brings what happens on sockets, in files and by
//! signals to the gate, and carries out the effects that come of it. One thread, one loop on mio.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod app;
mod keys;
mod record;
mod sockets;
