//! What decides in a controller. In every build that serves it is the driver around the module.

use wheelfield::interface::{Micros, QueryId};
use wheelfield_driver::{Arrival, AttemptId, Crowded, Driver, Input, Instruction};

/// What a controller asks of whatever decides in it. As the driver's own methods.
pub trait DecisionEngine {
    /// Takes a query.
    ///
    /// # Errors
    /// [`Crowded`].
    fn arrive(
        &mut self,
        now: Micros,
        arrival: Arrival,
        out: &mut Vec<Instruction>,
    ) -> Result<QueryId, Crowded>;
    /// Takes one input.
    fn tell(&mut self, now: Micros, input: Input, out: &mut Vec<Instruction>);
    /// Lets the time pass.
    fn due(&mut self, now: Micros, out: &mut Vec<Instruction>) -> bool;
    /// When [`DecisionEngine::due`] is next wanted.
    fn next_due(&self) -> Option<Micros>;
    /// Whether an attempt counts still.
    fn is_out(&self, attempt: AttemptId) -> bool;
    /// Whether an attempt may be written now.
    fn may_write(&self, now: Micros, attempt: AttemptId) -> bool;
    /// Whether an attempt's answer may go to the client.
    fn may_answer(&self, attempt: AttemptId) -> bool;
    /// The driver, where it is one: its state is captured and its counts are told.
    fn driver(&self) -> Option<&Driver> {
        None
    }
}

impl DecisionEngine for Driver {
    fn arrive(
        &mut self,
        now: Micros,
        arrival: Arrival,
        out: &mut Vec<Instruction>,
    ) -> Result<QueryId, Crowded> {
        Driver::arrive(self, now, arrival, out)
    }
    fn tell(&mut self, now: Micros, input: Input, out: &mut Vec<Instruction>) {
        Driver::tell(self, now, input, out);
    }
    fn due(&mut self, now: Micros, out: &mut Vec<Instruction>) -> bool {
        Driver::due(self, now, out)
    }
    fn next_due(&self) -> Option<Micros> {
        Driver::next_due(self)
    }
    fn is_out(&self, attempt: AttemptId) -> bool {
        Driver::is_out(self, attempt)
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
