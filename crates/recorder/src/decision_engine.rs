//! The interface of what decides in a controller. In every build that serves it is the driver around the policy module.

use wheelfield::interface::{Micros, QueryId};
use wheelfield_driver::{Arrival, AttemptId, CapacityExceeded, Driver, Input, Instruction};

/// What a controller asks of whatever decides in it. The methods are those of [`Driver`].
pub trait DecisionEngine {
    /// Takes a query and returns its number.
    ///
    /// # Errors
    /// [`CapacityExceeded`] when as many queries are held as may be.
    fn submit(
        &mut self,
        now: Micros,
        arrival: Arrival,
        out: &mut Vec<Instruction>,
    ) -> Result<QueryId, CapacityExceeded>;
    /// Takes one input.
    fn handle_input(&mut self, now: Micros, input: Input, out: &mut Vec<Instruction>);
    /// Lets the time pass. False if nothing was due.
    fn handle_timers(&mut self, now: Micros, out: &mut Vec<Instruction>) -> bool;
    /// When [`DecisionEngine::handle_timers`] is next wanted.
    fn next_timer_at(&self) -> Option<Micros>;
    /// Whether an attempt was started and has had no outcome.
    fn is_in_flight(&self, attempt: AttemptId) -> bool;
    /// Whether an attempt may be written now.
    fn may_write(&self, now: Micros, attempt: AttemptId) -> bool;
    /// Whether an attempt's answer may go to the client.
    fn may_answer(&self, attempt: AttemptId) -> bool;
    /// The driver, where it is one: its state is captured and its counters are published.
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
