//! The end of a controller: no new clients, what is held is answered, then all is over.

use crate::out::{Effect, Out};
use crate::wake::Wake;
use tracing::{info, warn};

/// How far the end has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Stop {
    /// It serves.
    #[default]
    Not,
    /// Clients have so long to finish.
    Stopping,
    /// All is over.
    Stopped,
}

impl Stop {
    /// A stop was asked for; true if it is the first time.
    pub fn begin(&mut self, clients: usize, drain: i64, out: &mut Out) -> bool {
        if *self != Stop::Not {
            return false;
        }
        *self = Stop::Stopping;
        info!(clients, "stopping");
        out.push(Effect::StopListening);
        out.wake_after(drain, Wake::Stop);
        true
    }

    /// Clients had their time.
    pub fn late(&mut self, clients: usize, out: &mut Out) {
        warn!(clients, "clients that did not finish in time are closed");
        self.over(out);
    }

    /// Nothing is left to be answered.
    pub fn over(&mut self, out: &mut Out) {
        if std::mem::replace(self, Stop::Stopped) != Stop::Stopped {
            out.push(Effect::Stopped);
        }
    }
}
