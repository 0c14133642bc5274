//! Detects when a capture in memory is to be written to a file. No I/O and no clock: steps in, a reason out.

use crate::format::RecordedInput;
use std::collections::VecDeque;
use wheelfield::interface::Micros;
use wheelfield_driver::{Answer, Instruction};

/// Parts of the window in which rejections are counted.
const SLICES_IN_WINDOW: i64 = 10;
/// With fewer arrivals in the window, the fraction of rejections says nothing.
const MIN_ARRIVALS: u64 = 20;

/// Why a capture in memory was written to a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TriggerReason {
    /// An engine was ejected.
    EngineEjected,
    /// More than a fraction of the arriving queries was rejected.
    Rejections,
    /// The controller acted much later than it was due to.
    Stall,
    /// An operator requested it.
    Requested,
}

impl TriggerReason {
    /// The part of a file name that says the reason.
    pub fn file_name_part(self) -> &'static str {
        match self {
            TriggerReason::EngineEjected => "set-aside",
            TriggerReason::Rejections => "refusals",
            TriggerReason::Stall => "stall",
            TriggerReason::Requested => "asked",
        }
    }
}

/// When a capture in memory is to be written to a file.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Triggers {
    /// When an engine is ejected.
    pub on_engine_ejected: bool,
    /// When more than this fraction of the queries that arrived within the window was rejected.
    pub rejected_fraction: Option<f64>,
    /// The window in which rejections are counted.
    pub window: Micros,
    /// When the controller acts so much later than it was due to.
    pub stall: Option<Micros>,
    /// Time after a trigger that is written along with it.
    pub record_after: Micros,
    /// Time after a file in which no trigger fires; an operator's request always does.
    pub cooldown: Micros,
}

impl Default for Triggers {
    fn default() -> Self {
        Triggers {
            on_engine_ejected: true,
            rejected_fraction: Some(0.3),
            window: Micros(10_000_000),
            stall: Some(Micros(1_000_000)),
            record_after: Micros(5_000_000),
            cooldown: Micros(300_000_000),
        }
    }
}

/// Arrivals and rejections in a part of the window.
#[derive(Clone, Copy, Debug)]
struct WindowSlice {
    begins_at: Micros,
    arrivals: u64,
    rejections: u64,
}

/// A trigger that has fired, and when its file is due.
#[derive(Clone, Copy, Debug)]
struct PendingTrigger {
    reason: TriggerReason,
    due_at: Micros,
}

/// Detects triggers in the steps of a driver.
#[derive(Clone, Debug)]
pub struct TriggerDetector {
    triggers: Triggers,
    /// The window, oldest slice first.
    slices: VecDeque<WindowSlice>,
    /// The next timer of the driver.
    next_timer_at: Option<Micros>,
    last_step_at: Option<Micros>,
    pending: Option<PendingTrigger>,
    cooldown_until: Micros,
}

impl TriggerDetector {
    /// A detector that has seen no step.
    pub fn new(triggers: Triggers) -> TriggerDetector {
        TriggerDetector {
            triggers,
            slices: VecDeque::with_capacity(SLICES_IN_WINDOW as usize + 2),
            next_timer_at: None,
            last_step_at: None,
            pending: None,
            cooldown_until: Micros(i64::MIN),
        }
    }

    /// Observes a step of the driver.
    pub fn observe_step(
        &mut self,
        at: Micros,
        input: &RecordedInput,
        instructions: &[Instruction],
    ) {
        self.detect_stall(at);
        let arrivals = u64::from(input.arrival().is_some());
        let is_rejection =
            |i: &&Instruction| matches!(i, Instruction::Answer(_, Answer::Rejected { .. }));
        let rejections = instructions.iter().filter(is_rejection).count() as u64;
        if arrivals > 0 || rejections > 0 {
            self.count_in_window(at, arrivals, rejections);
        }
        // The module logs only that it ejected an engine.
        if self.triggers.on_engine_ejected
            && instructions
                .iter()
                .any(|i| matches!(i, Instruction::Log(_)))
        {
            self.fire(TriggerReason::EngineEjected, at);
        }
    }

    /// Sets when the driver is due to act next.
    pub fn set_next_timer(&mut self, at: Option<Micros>) {
        self.next_timer_at = at;
    }

    /// Fires at once, on an operator's request.
    pub fn request(&mut self, now: Micros) {
        self.pending = Some(PendingTrigger {
            reason: TriggerReason::Requested,
            due_at: now,
        });
    }

    /// The reason for a file that is due now.
    pub fn take_due(&mut self, now: Micros) -> Option<TriggerReason> {
        self.pending.filter(|pending| now >= pending.due_at)?;
        self.take_pending(now)
    }

    /// The reason for a file, whether it is due or not.
    pub fn take_pending(&mut self, now: Micros) -> Option<TriggerReason> {
        let PendingTrigger { reason, .. } = self.pending.take()?;
        self.cooldown_until = now + self.triggers.cooldown;
        Some(reason)
    }

    /// A step is late if it comes long after the driver's timer and after the step before.
    fn detect_stall(&mut self, at: Micros) {
        let due_at = self
            .next_timer_at
            .zip(self.last_step_at)
            .map(|(timer, last)| timer.max(last));
        if let (Some(due_at), Some(stall)) = (due_at, self.triggers.stall) {
            if at - due_at > stall {
                self.fire(TriggerReason::Stall, at);
            }
        }
        self.last_step_at = Some(at);
    }

    fn count_in_window(&mut self, at: Micros, arrivals: u64, rejections: u64) {
        let Some(max_fraction) = self.triggers.rejected_fraction else {
            return;
        };
        let window = self.triggers.window;
        while self
            .slices
            .front()
            .is_some_and(|slice| at - slice.begins_at >= window)
        {
            self.slices.pop_front();
        }
        let slice_length = Micros((window.0 / SLICES_IN_WINDOW).max(1));
        match self.slices.back_mut() {
            Some(slice) if at - slice.begins_at < slice_length => {
                slice.arrivals += arrivals;
                slice.rejections += rejections;
            }
            _ => self.slices.push_back(WindowSlice {
                begins_at: at,
                arrivals,
                rejections,
            }),
        }
        let arrivals: u64 = self.slices.iter().map(|slice| slice.arrivals).sum();
        let rejections: u64 = self.slices.iter().map(|slice| slice.rejections).sum();
        if arrivals >= MIN_ARRIVALS && rejections as f64 > max_fraction * arrivals as f64 {
            self.fire(TriggerReason::Rejections, at);
        }
    }

    fn fire(&mut self, reason: TriggerReason, at: Micros) {
        if self.pending.is_none() && at >= self.cooldown_until {
            self.pending = Some(PendingTrigger {
                reason,
                due_at: at + self.triggers.record_after,
            });
        }
    }
}
