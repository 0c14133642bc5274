//! Faults planted for judges and exploration to find. Without the feature `planted` there are none.

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultInjection {
    /// Once-only queries are sent to a second engine too.
    DuplicateExecution,
    /// Some answers never go out.
    LoseAnswer,
    /// Queries are sent to engines that drain.
    SendToDraining,
    /// Queries are sent far more often than the budget allows.
    ExceedRetryBudget,
    /// The text of another client's query is sent in place of one's own.
    SwapQueryText,
    /// Some refusals and failures are not written until something else happens: a lost wake-up.
    LoseWakeup,
    /// A session is used again while a request to cancel its last query is under way.
    ReuseDuringCancel,
    /// A client's cancel ends the query of another.
    CancelOtherQuery,
    /// Connections of requests to cancel are never closed.
    LeakCancelConnections,
    /// Some refusals and failures are told twice.
    DuplicateError,
    /// Now and then the last byte of what an engine sent is lost.
    TruncateInput,
    /// Those that answer are taken for all there are.
    CountAliveOnly,
    /// Two go by one number.
    DuplicateIndex,
    /// One that is said to be gone is taken for one that said goodbye.
    TreatDeadAsLeft,
}

/// Those about what controllers believe of each other, which show where the roads between them have faults.
pub const FLEET_FAULT_INJECTIONS: [(&str, FaultInjection); 3] = [
    ("sink", FaultInjection::CountAliveOnly),
    ("number", FaultInjection::DuplicateIndex),
    ("goodbye", FaultInjection::TreatDeadAsLeft),
];

/// Those that one controller shows, by name.
pub const FAULT_INJECTIONS: [(&str, FaultInjection); 11] = [
    ("resend", FaultInjection::DuplicateExecution),
    ("lose", FaultInjection::LoseAnswer),
    ("drained", FaultInjection::SendToDraining),
    ("budget", FaultInjection::ExceedRetryBudget),
    ("swap", FaultInjection::SwapQueryText),
    ("wake", FaultInjection::LoseWakeup),
    ("reuse", FaultInjection::ReuseDuringCancel),
    ("stranger", FaultInjection::CancelOtherQuery),
    ("leak", FaultInjection::LeakCancelConnections),
    ("twice", FaultInjection::DuplicateError),
    ("cut", FaultInjection::TruncateInput),
];

impl FaultInjection {
    /// The fault of a name.
    ///
    /// # Errors
    /// What is known, if the name is not; or that the build has none.
    pub fn parse(name: &str) -> Result<FaultInjection, String> {
        if !cfg!(feature = "planted") {
            return Err("this build has no planted faults; build with --features planted".to_string());
        }
        let all = || FAULT_INJECTIONS.iter().chain(&FLEET_FAULT_INJECTIONS);
        let known = all().find(|(n, _)| *n == name).map(|(_, plant)| *plant);
        known.ok_or_else(|| {
            let names: Vec<&str> = all().map(|(n, _)| *n).collect();
            format!("no fault is named `{name}`; known: {}", names.join(", "))
        })
    }
}
