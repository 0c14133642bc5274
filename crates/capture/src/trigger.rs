//! When a capture that is held in memory is worth keeping. No I/O, no clock, no globals: steps in, a reason out.

use crate::format::Told;
use std::collections::VecDeque;
use wheelfield::interface::Micros;
use wheelfield_driver::{Answer, Instruction};

/// Refusals are counted in slices of the window.
const SLICES: i64 = 10;
/// Fewer arrivals in the window tell nothing of a share.
const FEWEST: u64 = 20;

/// Why a capture was kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The module set an engine aside.
    SetAside,
    /// More than a share of the arriving queries was refused.
    Refusals,
    /// The controller stood still.
    Stall,
    /// An operator asked.
    Asked,
}

impl Reason {
    /// As in the name of a file.
    pub fn word(self) -> &'static str {
        match self {
            Reason::SetAside => "set-aside",
            Reason::Refusals => "refusals",
            Reason::Stall => "stall",
            Reason::Asked => "asked",
        }
    }
}

/// What is a reason to keep.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Triggers {
    /// The module set an engine aside.
    pub set_aside: bool,
    /// More than this share of the queries that came in the window was refused.
    pub refusals: Option<f64>,
    /// The window.
    pub window: Micros,
    /// The controller was due to do something, and did it so much later.
    pub stall: Option<Micros>,
    /// What follows a reason for so long is kept with it.
    pub after: Micros,
    /// After a keeping, the next reason counts only this much later; an operator's word always does.
    pub rest: Micros,
}

impl Default for Triggers {
    fn default() -> Self {
        Triggers {
            set_aside: true,
            refusals: Some(0.3),
            window: Micros(10_000_000),
            stall: Some(Micros(1_000_000)),
            after: Micros(5_000_000),
            rest: Micros(300_000_000),
        }
    }
}

/// Looks for reasons.
#[derive(Clone, Debug)]
pub struct Watch {
    triggers: Triggers,
    /// Begin, arrivals and refusals of each slice.
    slices: VecDeque<(Micros, u64, u64)>,
    /// When the driver wanted to be woken, and its last step.
    due: Option<Micros>,
    last: Option<Micros>,
    /// A reason that waits for what follows it, and until when.
    pending: Option<(Reason, Micros)>,
    rests_until: Micros,
}

impl Watch {
    /// A watch that has seen nothing.
    pub fn new(triggers: Triggers) -> Watch {
        let slices = VecDeque::with_capacity(SLICES as usize + 2);
        Watch { triggers, slices, due: None, last: None, pending: None, rests_until: Micros(i64::MIN) }
    }

    /// Sees a step.
    pub fn step(&mut self, at: Micros, told: &Told, out: &[Instruction]) {
        let wanted = self.due.zip(self.last).map(|(due, last)| due.max(last));
        if let (Some(wanted), Some(stall)) = (wanted, self.triggers.stall) {
            if at - wanted > stall {
                self.found(Reason::Stall, at);
            }
        }
        self.last = Some(at);
        let came = u64::from(told.arrival().is_some());
        let refused =
            out.iter().filter(|i| matches!(i, Instruction::Answer(_, Answer::Rejected { .. }))).count();
        if came > 0 || refused > 0 {
            self.count(at, came, refused as u64);
        }
        // The module has one line for the operators: that it set an engine aside.
        if self.triggers.set_aside && out.iter().any(|i| matches!(i, Instruction::Log(_))) {
            self.found(Reason::SetAside, at);
        }
    }

    /// Learns when the driver wants to be woken next.
    pub fn wants(&mut self, due: Option<Micros>) {
        self.due = due;
    }

    fn count(&mut self, at: Micros, came: u64, refused: u64) {
        let Some(share) = self.triggers.refusals else { return };
        let slice = Micros((self.triggers.window.0 / SLICES).max(1));
        while self.slices.front().is_some_and(|(t, _, _)| at - *t >= self.triggers.window) {
            self.slices.pop_front();
        }
        match self.slices.back_mut() {
            Some((t, c, r)) if at - *t < slice => (*c, *r) = (*c + came, *r + refused),
            _ => self.slices.push_back((at, came, refused)),
        }
        let sum = |f: fn(&(Micros, u64, u64)) -> u64| self.slices.iter().map(f).sum::<u64>();
        let (came, refused) = (sum(|s| s.1), sum(|s| s.2));
        if came >= FEWEST && refused as f64 > share * came as f64 {
            self.found(Reason::Refusals, at);
        }
    }

    fn found(&mut self, reason: Reason, at: Micros) {
        if self.pending.is_none() && at >= self.rests_until {
            self.pending = Some((reason, at + self.triggers.after));
        }
    }

    /// An operator wants what there is, now.
    pub fn ask(&mut self, now: Micros) {
        self.pending = Some((Reason::Asked, now));
    }

    /// A reason to keep what there is now, if what follows it has been seen.
    pub fn ripe(&mut self, now: Micros) -> Option<Reason> {
        let (reason, _) = self.pending.filter(|(_, at)| now >= *at)?;
        self.taken(now);
        Some(reason)
    }

    /// A reason that has not ripened, at the end.
    pub fn rest(&mut self, now: Micros) -> Option<Reason> {
        let (reason, _) = self.pending?;
        self.taken(now);
        Some(reason)
    }

    fn taken(&mut self, now: Micros) {
        (self.pending, self.rests_until) = (None, now + self.triggers.rest);
    }
}
