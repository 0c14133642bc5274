//! The end of a controller: no new clients, what is held is answered, then all is over.

use crate::effect_queue::{Effect, EffectQueue};
use crate::timer_event::TimerEvent;
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
    pub fn begin(&mut self, clients: usize, drain: i64, out: &mut EffectQueue) -> bool {
        if *self != Stop::Not {
            return false;
        }
        *self = Stop::Stopping;
        info!(clients, "stopping");
        out.push(Effect::StopListening);
        out.set_timer_after(drain, TimerEvent::Stop);
        true
    }

    /// Clients had their time.
    pub fn late(&mut self, clients: usize, out: &mut EffectQueue) {
        warn!(clients, "clients that did not finish in time are closed");
        self.over(out);
    }

    /// Nothing is left to be answered.
    pub fn over(&mut self, out: &mut EffectQueue) {
        if std::mem::replace(self, Stop::Stopped) != Stop::Stopped {
            out.push(Effect::Stopped);
        }
    }
}
