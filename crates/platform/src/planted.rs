//! Fault injection: deliberate faults that the soak test must detect. They exist only in builds with the feature `planted`, never
//! in production builds.

/// An injected fault. Its name on the command line is that of the variant in kebab case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// Disconnects of clients are ignored, and the invariant checks block nothing.
    IgnoreDisconnects,
    /// An attempt whose connection was reset counts as never sent, and the invariant checks block nothing.
    RepeatAfterReset,
    /// When idle client connections are closed during the shutdown, the busy ones are closed as well.
    CloseBusyClients,
    /// Answers of the name service are ignored, and the list does not expire.
    IgnoreLists,
    /// Requests count as having arrived when they are read, however long they waited in the socket.
    IgnoreWaiting,
    /// The start times of executors are ignored, so that none is in slow start.
    IgnoreStarts,
    /// Answers of a previously configured name service are ignored.
    IgnoreFormerService,
    /// The list of executors is used without being refreshed first, however long the process was inactive.
    IgnoreInactivity,
    /// Unanswered queries for the list are repeated only at the usual interval, and the list does not expire.
    PollAtFixedRate,
    /// The list does not expire.
    IgnoreListAge,
    /// The process panics when its configuration is reloaded.
    PanicOnReload,
}

impl InjectedFault {
    const NAMES: [(&'static str, InjectedFault); 11] = [
        ("ignore-disconnects", InjectedFault::IgnoreDisconnects),
        ("repeat-after-reset", InjectedFault::RepeatAfterReset),
        ("close-busy-clients", InjectedFault::CloseBusyClients),
        ("ignore-lists", InjectedFault::IgnoreLists),
        ("ignore-waiting", InjectedFault::IgnoreWaiting),
        ("ignore-starts", InjectedFault::IgnoreStarts),
        ("ignore-former-service", InjectedFault::IgnoreFormerService),
        ("ignore-inactivity", InjectedFault::IgnoreInactivity),
        ("poll-at-fixed-rate", InjectedFault::PollAtFixedRate),
        ("ignore-list-age", InjectedFault::IgnoreListAge),
        ("panic-on-reload", InjectedFault::PanicOnReload),
    ];

    /// Parses the name of a fault.
    ///
    /// # Errors
    /// If this build does not support fault injection, or there is no fault of this name.
    pub fn parse(name: &str) -> Result<InjectedFault, String> {
        if !cfg!(feature = "planted") {
            return Err(
                "this build does not support fault injection; build with the feature `planted`"
                    .to_string(),
            );
        }
        let known = InjectedFault::NAMES
            .iter()
            .find(|(known, _)| *known == name);
        known
            .map(|(_, fault)| *fault)
            .ok_or_else(|| format!("unknown fault {name}"))
    }

    /// Whether the list of executors is used at any age.
    pub fn disables_list_expiry(self) -> bool {
        matches!(
            self,
            InjectedFault::IgnoreLists
                | InjectedFault::PollAtFixedRate
                | InjectedFault::IgnoreListAge
        )
    }

    /// Whether the invariant checks only count violations and do not block attempts.
    pub fn disables_invariant_checks(self) -> bool {
        matches!(
            self,
            InjectedFault::IgnoreDisconnects | InjectedFault::RepeatAfterReset
        )
    }
}
