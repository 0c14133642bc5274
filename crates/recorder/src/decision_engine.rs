//! The interface of the decision engine, the component of a controller that admits queries and routes them to analytic engines.
//! In production it is the [`Driver`], which runs the policy; test programs can substitute other implementations.

use wheelfield::interface::{Micros, QueryId};
use wheelfield_driver::{Arrival, AttemptId, CapacityExceeded, Driver, Input, Instruction};

/// Makes the admission and routing decisions of a controller. It does no I/O: it is given inputs with the current time, and
/// returns instructions that the controller carries out. The methods correspond to those of [`Driver`].
pub trait DecisionEngine {
    /// Submits a query, appends the resulting instructions to `out` and returns the id of the query.
    ///
    /// # Errors
    /// [`CapacityExceeded`] if the maximum number of queries is already held.
    fn submit(
        &mut self,
        now: Micros,
        arrival: Arrival,
        out: &mut Vec<Instruction>,
    ) -> Result<QueryId, CapacityExceeded>;
    /// Handles one input, such as a change in the engine list or the end of an attempt, and appends the resulting instructions to
    /// `out`.
    fn handle_input(&mut self, now: Micros, input: Input, out: &mut Vec<Instruction>);
    /// Handles the timers that are due at `now` and appends the resulting instructions to `out`. Returns `false` if none was due.
    fn handle_timers(&mut self, now: Micros, out: &mut Vec<Instruction>) -> bool;
    /// Returns the time at which [`DecisionEngine::handle_timers`] has to be called next; `None` if no timer is set.
    fn next_timer_at(&self) -> Option<Micros>;
    /// Returns whether an attempt has been started and has not ended yet.
    fn is_in_flight(&self, attempt: AttemptId) -> bool;
    /// Returns whether the request of an attempt may be written to its engine now. The controller must check this right before
    /// it writes, because since its start the attempt may have been cancelled, its engine may have become unavailable, or the
    /// attempt may be a retry that is no longer allowed.
    fn may_write(&self, now: Micros, attempt: AttemptId) -> bool;
    /// Returns whether the answer of an attempt may be sent to the client, which gets the answer of one attempt only. The
    /// controller must check this before it forwards the first byte.
    fn may_answer(&self, attempt: AttemptId) -> bool;
    /// Returns the driver if the decision engine is one, otherwise `None`. Checkpoints of captures and published metrics are
    /// taken from it.
    fn driver(&self) -> Option<&Driver> {
        None
    }
}

impl DecisionEngine for Driver {
    fn submit(
        &mut self,
        now: Micros,
        arrival: Arrival,
        out: &mut Vec<Instruction>,
    ) -> Result<QueryId, CapacityExceeded> {
        Driver::submit(self, now, arrival, out)
    }
    fn handle_input(&mut self, now: Micros, input: Input, out: &mut Vec<Instruction>) {
        Driver::handle_input(self, now, input, out);
    }
    fn handle_timers(&mut self, now: Micros, out: &mut Vec<Instruction>) -> bool {
        Driver::handle_timers(self, now, out)
    }
    fn next_timer_at(&self) -> Option<Micros> {
        Driver::next_timer_at(self)
    }
    fn is_in_flight(&self, attempt: AttemptId) -> bool {
        Driver::is_in_flight(self, attempt)
    }
    fn may_write(&self, now: Micros, attempt: AttemptId) -> bool {
        Driver::may_write(self, now, attempt)
    }
    fn may_answer(&self, attempt: AttemptId) -> bool {
        Driver::may_answer(self, attempt)
    }
    fn driver(&self) -> Option<&Driver> {
        Some(self)
    }
}
