//! Parameters of the membership protocol.

/// Who may evict an unreachable member from the view.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum EvictionPolicy {
    /// Only an operator. Until then the member stays counted, so that no partition, however long, lets a node act on too few
    /// members.
    #[default]
    Operator,
    /// A partition with more than half of all counted members, [`MembershipConfig::dead_retention`] after the member was
    /// declared dead. A smaller partition keeps counting it.
    Quorum,
}

/// Parameters of a node. All times are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct MembershipConfig {
    /// Protocol period: one member is probed in each.
    pub probe_period: i64,
    /// How long a probed member may take to acknowledge before indirect probes are requested.
    pub probe_timeout: i64,
    /// Number of members asked for an indirect probe.
    pub indirect_probes: usize,
    /// Suspicion timeout in probe periods, for each doubling of the number of members.
    pub suspicion_multiplier: i64,
    /// Who may evict an unreachable member.
    pub eviction: EvictionPolicy,
    /// How long a dead member stays counted under [`EvictionPolicy::Quorum`]. The records of members that left are kept as
    /// long, so that a node that missed a leave does not reintroduce the member.
    pub dead_retention: i64,
    /// How long a fresh node counts at least [`MembershipConfig::expected_members`]. It also waits until no new member joined
    /// between two synchronizations and until more than half of the expected members answer.
    pub settling_time: i64,
    /// Expected number of members.
    pub expected_members: usize,
    /// Interval between full synchronizations with one member.
    pub sync_interval: i64,
    /// Maximum number of records piggybacked on a packet.
    pub max_piggybacked_records: usize,
    /// Maximum number of known members; records of further members are rejected.
    pub max_members: usize,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        MembershipConfig {
            probe_period: 1_000_000,
            probe_timeout: 300_000,
            indirect_probes: 3,
            suspicion_multiplier: 4,
            eviction: EvictionPolicy::Operator,
            dead_retention: 600_000_000,
            settling_time: 30_000_000,
            expected_members: 1,
            sync_interval: 15_000_000,
            max_piggybacked_records: 16,
            max_members: 4_096,
        }
    }
}
