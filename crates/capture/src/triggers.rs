//! Detects when an in-memory capture should be written to a file. Performs no I/O and reads no
//! clock: it is driven by the recorded steps and their times.

use crate::format::RecordedInput;
use std::collections::VecDeque;
use wheelfield::interface::Micros;
use wheelfield_driver::{Answer, Instruction};

/// Number of slices that the rejection window is divided into.
const SLICES_IN_WINDOW: i64 = 10;
/// Minimum number of arrivals in the window. With fewer arrivals, the fraction of rejections is not
/// meaningful.
const MIN_ARRIVALS: u64 = 20;

/// The reasons for writing an in-memory capture to a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TriggerReason {
    /// An engine was ejected.
    EngineEjected,
    /// The fraction of rejected queries exceeded the threshold.
    Rejections,
    /// The driver ran much later than it was due.
    Stall,
    /// An operator requested the file.
    Requested,
}

impl TriggerReason {
    /// Returns the part of the file name that identifies the reason.
    pub fn file_name_part(self) -> &'static str {
        match self {
            TriggerReason::EngineEjected => "set-aside",
            TriggerReason::Rejections => "refusals",
            TriggerReason::Stall => "stall",
            TriggerReason::Requested => "asked",
        }
    }
}

/// The conditions under which an in-memory capture is written to a file.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Triggers {
    /// Whether to fire when an engine is ejected.
    pub on_engine_ejected: bool,
    /// Fires when the rejections exceed this fraction of the arrivals within the window.
    pub rejected_fraction: Option<f64>,
    /// The sliding window over which rejections are counted.
    pub window: Micros,
    /// Fires when the driver runs later than it was due by more than this duration.
    pub stall: Option<Micros>,
    /// How long recording continues after a trigger fires before the file is written.
    pub record_after: Micros,
    /// How long after a file no trigger fires. Operator requests are exempt.
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

/// The arrivals and rejections in one slice of the window.
#[derive(Clone, Copy, Debug)]
struct WindowSlice {
    begins_at: Micros,
    arrivals: u64,
    rejections: u64,
}

/// A trigger that has fired, and the time at which its file is to be written.
#[derive(Clone, Copy, Debug)]
struct PendingTrigger {
    reason: TriggerReason,
    due_at: Micros,
}

/// Detects triggers from the steps of a driver.
#[derive(Clone, Debug)]
pub struct TriggerDetector {
    triggers: Triggers,
    /// The slices of the window, oldest first.
    slices: VecDeque<WindowSlice>,
    /// When the driver's next timer is due.
    next_timer_at: Option<Micros>,
    last_step_at: Option<Micros>,
    pending: Option<PendingTrigger>,
    cooldown_until: Micros,
}

impl TriggerDetector {
    /// Creates a detector without any history.
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

    /// Processes a step of the driver.
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
        // The policy module writes a log instruction only when it ejects an engine.
        if self.triggers.on_engine_ejected
            && instructions
                .iter()
                .any(|i| matches!(i, Instruction::Log(_)))
        {
            self.fire(TriggerReason::EngineEjected, at);
        }
    }

    /// Sets the time at which the driver's next timer is due.
    pub fn set_next_timer(&mut self, at: Option<Micros>) {
        self.next_timer_at = at;
    }

    /// Fires immediately for an operator's request, without recording further steps first. Replaces
    /// a pending trigger.
    pub fn request(&mut self, now: Micros) {
        self.pending = Some(PendingTrigger {
            reason: TriggerReason::Requested,
            due_at: now,
        });
    }

    /// Returns the reason of the pending trigger if its file is due, and starts the cooldown.
    pub fn take_due(&mut self, now: Micros) -> Option<TriggerReason> {
        self.pending.filter(|pending| now >= pending.due_at)?;
        self.take_pending(now)
    }

    /// Returns the reason of the pending trigger whether or not its file is due, and starts the
    /// cooldown.
    pub fn take_pending(&mut self, now: Micros) -> Option<TriggerReason> {
        let PendingTrigger { reason, .. } = self.pending.take()?;
        self.cooldown_until = now + self.triggers.cooldown;
        Some(reason)
    }

    /// Detects a stall: a step that comes too long after both the driver's next timer and the
    /// previous step. Time during which no timer was due does not count.
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
