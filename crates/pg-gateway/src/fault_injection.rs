//! Faults planted for judges and exploration to find. Without the feature `planted` there are none.

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultInjection {
    /// Once-only queries are sent to a second engine too.
    Resend,
    /// Some answers never go out.
    Lose,
    /// Queries are sent to engines that drain.
    Drained,
    /// Queries are sent far more often than the budget allows.
    Budget,
    /// The text of another client's query is sent in place of one's own.
    Swap,
    /// Some refusals and failures are not written until something else happens: a lost wake-up.
    TimerEvent,
    /// A session is used again while a request to cancel its last query is under way.
    Reuse,
    /// A client's cancel ends the query of another.
    Stranger,
    /// Connections of requests to cancel are never closed.
    Leak,
    /// Some refusals and failures are told twice.
    Twice,
    /// Now and then the last byte of what an engine sent is lost.
    Cut,
    /// Those that answer are taken for all there are.
    Sink,
    /// Two go by one number.
    Number,
    /// One that is said to be gone is taken for one that said goodbye.
    Goodbye,
}

/// Those about what controllers believe of each other, which show where the roads between them have faults.
pub const FLEET_PLANTS: [(&str, FaultInjection); 3] = [
    ("sink", FaultInjection::Sink),
    ("number", FaultInjection::Number),
    ("goodbye", FaultInjection::Goodbye),
];

/// Those that one controller shows, by name.
pub const FAULT_INJECTIONS: [(&str, FaultInjection); 11] = [
    ("resend", FaultInjection::Resend),
    ("lose", FaultInjection::Lose),
    ("drained", FaultInjection::Drained),
    ("budget", FaultInjection::Budget),
    ("swap", FaultInjection::Swap),
    ("wake", FaultInjection::TimerEvent),
    ("reuse", FaultInjection::Reuse),
    ("stranger", FaultInjection::Stranger),
    ("leak", FaultInjection::Leak),
    ("twice", FaultInjection::Twice),
    ("cut", FaultInjection::Cut),
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
        let all = || FAULT_INJECTIONS.iter().chain(&FLEET_PLANTS);
        let known = all().find(|(n, _)| *n == name).map(|(_, plant)| *plant);
        known.ok_or_else(|| {
            let names: Vec<&str> = all().map(|(n, _)| *n).collect();
            format!("no fault is named `{name}`; known: {}", names.join(", "))
        })
    }
}
