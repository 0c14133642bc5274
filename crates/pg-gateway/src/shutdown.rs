//! Graceful shutdown: accepts no new clients, answers the queries in flight, and stops.

use crate::effect_queue::{Effect, EffectQueue};
use crate::timer_event::TimerEvent;
use tracing::{info, warn};

/// The progress of a shutdown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Shutdown {
    /// No shutdown was requested.
    #[default]
    Running,
    /// Clients may finish until the drain timeout.
    Draining,
    /// The gateway has stopped.
    Stopped,
}

impl Shutdown {
    /// Starts the shutdown. Returns whether this is the first request.
    pub fn start(&mut self, clients: usize, drain_timeout: i64, out: &mut EffectQueue) -> bool {
        if *self != Shutdown::Running {
            return false;
        }
        *self = Shutdown::Draining;
        info!(clients, "shutdown started; draining clients");
        out.push(Effect::StopListening);
        out.set_timer_after(drain_timeout, TimerEvent::DrainTimeout);
        true
    }

    /// Stops although some clients have not finished.
    pub fn handle_drain_timeout(&mut self, clients: usize, out: &mut EffectQueue) {
        warn!(clients, "drain timeout expired; closing the remaining clients");
        self.finish(out);
    }

    /// Stops once no client is left.
    pub fn finish(&mut self, out: &mut EffectQueue) {
        if std::mem::replace(self, Shutdown::Stopped) != Shutdown::Stopped {
            out.push(Effect::Stopped);
        }
    }
}
