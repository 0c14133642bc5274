//! Faults that are planted for the soak to find, in builds that have them; never in a build that serves.

/// A planted fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// Clients that leave are not noticed, and the guards hold nothing back.
    IgnoreDisconnects,
    /// An attempt whose connection was reset counts as never sent, and the guards hold nothing back.
    RepeatAfterReset,
    /// As idle clients are closed at the shutdown, the others are too.
    CloseBusyClients,
    /// Answers of the name service are ignored.
    IgnoreLists,
    /// A request counts as having arrived when it is read.
    IgnoreWaiting,
    /// No executor is in slow start.
    IgnoreStarts,
    /// Answers of a former name service are ignored.
    IgnoreFormerService,
    /// The process goes on by its list, however long it was inactive.
    IgnoreInactivity,
    /// Queries for the list that have no answer are repeated no sooner than others.
    PollAtFixedRate,
    /// The process panics when its configuration is read again.
    PanicOnReload,
}

impl InjectedFault {
    const NAMES: [(&'static str, InjectedFault); 10] = [
        ("ignore-disconnects", InjectedFault::IgnoreDisconnects),
        ("repeat-after-reset", InjectedFault::RepeatAfterReset),
        ("close-busy-clients", InjectedFault::CloseBusyClients),
        ("ignore-lists", InjectedFault::IgnoreLists),
        ("ignore-waiting", InjectedFault::IgnoreWaiting),
        ("ignore-starts", InjectedFault::IgnoreStarts),
        ("ignore-former-service", InjectedFault::IgnoreFormerService),
        ("ignore-inactivity", InjectedFault::IgnoreInactivity),
        ("poll-at-fixed-rate", InjectedFault::PollAtFixedRate),
        ("panic-on-reload", InjectedFault::PanicOnReload),
    ];

    /// Parses the name of a fault.
    ///
    /// # Errors
    /// If this build has no planted faults, or none of this name.
    pub fn parse(name: &str) -> Result<InjectedFault, String> {
        if !cfg!(feature = "planted") {
            return Err("this build has no planted faults".to_string());
        }
        let known = InjectedFault::NAMES
            .iter()
            .find(|(known, _)| *known == name);
        known
            .map(|(_, fault)| *fault)
            .ok_or_else(|| format!("no planted fault {name}"))
    }

    /// Whether the guards only count.
    pub fn disables_invariant_checks(self) -> bool {
        matches!(
            self,
            InjectedFault::IgnoreDisconnects | InjectedFault::RepeatAfterReset
        )
    }
}
