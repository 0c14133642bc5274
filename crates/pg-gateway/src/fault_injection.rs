//! Faults that can be injected to check that the test tools detect them. Only builds with the feature
//! `planted` have them.

/// An injected fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultInjection {
    /// Queries that must not run twice are also sent to a second engine.
    DuplicateExecution,
    /// Some answers are never sent.
    LoseAnswer,
    /// Queries are sent to draining engines.
    SendToDraining,
    /// Queries are retried far more often than the retry budget permits.
    ExceedRetryBudget,
    /// Another client's query text is sent instead of the client's own.
    SwapQueryText,
    /// Some rejections and failures are not written until another event occurs, as after a lost wakeup.
    LoseWakeup,
    /// A session is reused while a cancel request for its last query is in progress.
    ReuseDuringCancel,
    /// A client's cancel request ends another client's query.
    CancelOtherQuery,
    /// Connections of cancel requests are never closed.
    LeakCancelConnections,
    /// Some rejections and failures are sent twice.
    DuplicateError,
    /// Occasionally the last byte received from an engine is dropped.
    TruncateInput,
    /// Only the controllers that respond are counted.
    CountAliveOnly,
    /// Two controllers use the same index.
    DuplicateIndex,
    /// A controller that was declared dead is treated as if it had left.
    TreatDeadAsLeft,
}

/// The faults in the membership view of controllers, by name. They have an effect only when the network
/// between the controllers fails.
pub const FLEET_FAULT_INJECTIONS: [(&str, FaultInjection); 3] = [
    ("sink", FaultInjection::CountAliveOnly),
    ("number", FaultInjection::DuplicateIndex),
    ("goodbye", FaultInjection::TreatDeadAsLeft),
];

/// The faults that a single controller exhibits, by name.
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
    /// Parses the name of a fault.
    ///
    /// # Errors
    /// Returns the known names if the name is unknown, or a message that the build has no faults.
    pub fn parse(name: &str) -> Result<FaultInjection, String> {
        if !cfg!(feature = "planted") {
            return Err("this build has no fault injection; build with --features planted".to_string());
        }
        let all = || FAULT_INJECTIONS.iter().chain(&FLEET_FAULT_INJECTIONS);
        let known = all().find(|(known_name, _)| *known_name == name).map(|(_, fault)| *fault);
        known.ok_or_else(|| {
            let names: Vec<&str> = all().map(|(known_name, _)| *known_name).collect();
            format!("unknown fault `{name}`; known: {}", names.join(", "))
        })
    }
}
