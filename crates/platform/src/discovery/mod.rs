//! Executor discovery: polls the executor list from the name service by DNS. `answer` parses the answers, and `list_tracker` decides
//! which of their lists is in force.

mod answer;
mod list_tracker;

pub use answer::serial_of;
pub use list_tracker::NumberedList;

use crate::bootstrap::ExecutorEndpoint;
use hickory_proto::op::{Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::{Name, RecordType};
use list_tracker::{ListTracker, ListVerdict};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// DNS name of the service whose instances are the executors.
const SERVICE_NAME: &str = "_rpc._tcp.mesh.local.";
/// Number of the most recent DNS queries whose answers are accepted. They cover at least the last 16 seconds, so that answers of a
/// slow name service are still accepted.
const MAX_OPEN_QUERIES: usize = 128;
/// Length of the id at the beginning of a DNS message, in bytes.
const MESSAGE_ID_BYTES: usize = 2;

/// The effect of an answer of a name service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HandledAnswer {
    /// Time at which the query was sent whose answer confirms or replaces the list, in microseconds, or why the answer does neither.
    pub confirmed: Result<i64, IgnoredAnswer>,
    /// The list that is to be used from now on, if the answer changes it. An answer that neither confirms nor replaces the list can
    /// change it too, since what it reports as draining gets no new requests.
    pub changed_list: Option<Vec<ExecutorEndpoint>>,
}

/// A DNS query whose answer is accepted.
#[derive(Clone, Copy, Debug)]
struct OpenQuery {
    resolver: SocketAddr,
    id: u16,
    /// Time at which it was sent, in microseconds.
    sent_at: i64,
}

/// The reason why an answer was ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum IgnoredAnswer {
    /// It did not come from a name service that was queried.
    #[error("unknown sender")]
    UnknownSender,
    /// It is not a DNS message.
    #[error("malformed message")]
    Malformed,
    /// It does not match an open query.
    #[error("no open query")]
    Unsolicited,
    /// The response code reports a failure, or the answer is truncated.
    #[error("failure response or truncated answer")]
    Failed,
    /// The serial number is missing, no executor can be read, or the list is too long.
    #[error("missing records")]
    Incomplete,
    /// Its serial number is lower than that of the current list.
    #[error("list older than the current one")]
    Older,
    /// It has the serial number of the current list and other executors.
    #[error("list differs from the current one with the same serial number")]
    Conflicting,
}

impl IgnoredAnswer {
    /// All reasons, in the order of their discriminants.
    pub const ALL: [IgnoredAnswer; 7] = [
        IgnoredAnswer::UnknownSender,
        IgnoredAnswer::Malformed,
        IgnoredAnswer::Unsolicited,
        IgnoredAnswer::Failed,
        IgnoredAnswer::Incomplete,
        IgnoredAnswer::Older,
        IgnoredAnswer::Conflicting,
    ];
    /// Number of reasons.
    pub const COUNT: usize = IgnoredAnswer::ALL.len();

    /// Returns whether an answer that is ignored for this reason shows that the name service answers.
    pub fn shows_service_is_reachable(self) -> bool {
        !matches!(
            self,
            IgnoredAnswer::UnknownSender | IgnoredAnswer::Unsolicited
        )
    }

    /// Returns the value of the `reason` label in metrics.
    pub fn name(self) -> &'static str {
        match self {
            IgnoredAnswer::UnknownSender => "unknown_sender",
            IgnoredAnswer::Malformed => "malformed",
            IgnoredAnswer::Unsolicited => "unsolicited",
            IgnoredAnswer::Failed => "failed",
            IgnoredAnswer::Incomplete => "incomplete",
            IgnoredAnswer::Older => "older",
            IgnoredAnswer::Conflicting => "conflicting",
        }
    }
}

/// A DNS client that polls the executor list from the name service.
#[derive(Debug)]
pub struct DiscoveryClient {
    resolver: SocketAddr,
    tracker: ListTracker,
    /// The last answer that contained the list in force, without its id. An answer that is equal need not be parsed.
    last_accepted: Vec<u8>,
    /// Number of executors in it whose records are missing or malformed.
    unreadable_executors: usize,
    /// Time at which an answer last confirmed or replaced the current list, in microseconds.
    confirmed_at: i64,
    /// The name service that sent this answer.
    confirmed_by: SocketAddr,
    /// Number of queries sent since `confirmed_at`.
    queries_since_confirmed: u64,
    /// The queries whose answers are accepted, oldest first.
    open_queries: VecDeque<OpenQuery>,
    service_name: Option<Name>,
}

impl DiscoveryClient {
    /// Creates a client for a process that starts with this list.
    pub fn new(resolver: SocketAddr, list: NumberedList, now: i64) -> DiscoveryClient {
        DiscoveryClient {
            resolver,
            tracker: ListTracker::new(list),
            last_accepted: Vec::new(),
            unreadable_executors: 0,
            confirmed_at: now,
            confirmed_by: resolver,
            queries_since_confirmed: 0,
            open_queries: VecDeque::new(),
            service_name: Name::from_ascii(SERVICE_NAME).ok(),
        }
    }

    /// Switches to another name service. Answers of the former one to open queries are still accepted, because the list of the new
    /// one may be seconds behind. The serial number is kept, because the new name service is expected to continue the numbering.
    pub fn use_resolver(&mut self, resolver: SocketAddr) {
        if resolver != self.resolver {
            self.resolver = resolver;
            self.tracker.forget_contradictions();
        }
    }

    /// Returns the time at which an answer last confirmed or replaced the current list, in microseconds. Before the first answer
    /// this is the time at which the client was created.
    pub fn confirmed_at(&self) -> i64 {
        self.confirmed_at
    }

    /// Returns the address of the name service that queries are sent to.
    pub fn resolver(&self) -> SocketAddr {
        self.resolver
    }

    /// Returns the serial number of the current list.
    pub fn serial(&self) -> u64 {
        self.tracker.serial()
    }

    /// Returns whether a second answer, or the configuration, has confirmed the current list.
    pub fn is_list_confirmed(&self) -> bool {
        self.tracker.is_confirmed()
    }

    /// Returns the number of executors in the current list whose records are missing or malformed.
    pub fn unreadable_executors(&self) -> usize {
        self.unreadable_executors
    }

    /// Returns the name service that last confirmed or replaced the current list.
    pub fn confirmed_by(&self) -> SocketAddr {
        self.confirmed_by
    }

    /// Returns the number of queries sent since the current list was last confirmed or replaced.
    pub fn queries_since_confirmed(&self) -> u64 {
        self.queries_since_confirmed
    }

    /// Encodes a query for the executor list and returns its destination and content. The caller chooses `id` at random.
    pub fn encode_query(&mut self, now: i64, id: u16) -> Option<(SocketAddr, Vec<u8>)> {
        let mut message = Message::new(id, MessageType::Query, OpCode::Query);
        message.add_query(Query::query(self.service_name.clone()?, RecordType::SRV));
        let bytes = message.to_vec().ok()?;
        if self.open_queries.len() == MAX_OPEN_QUERIES {
            self.open_queries.pop_front();
        }
        self.open_queries.push_back(OpenQuery {
            resolver: self.resolver,
            id,
            sent_at: now,
        });
        self.queries_since_confirmed += 1;
        Some((self.resolver, bytes))
    }

    /// Handles a datagram from a name service and returns its effect on the current list.
    pub fn handle_answer(&mut self, now: i64, from: SocketAddr, datagram: &[u8]) -> HandledAnswer {
        let before = self.tracker.revision();
        let confirmed = self.handle_datagram(now, from, datagram);
        if confirmed.is_ok() {
            self.confirmed_at = now;
            self.confirmed_by = from;
            self.queries_since_confirmed = 0;
        }
        HandledAnswer {
            confirmed,
            changed_list: (self.tracker.revision() != before).then(|| self.tracker.executors()),
        }
    }

    /// Handles a datagram. Returns the time at which the query was sent that it answers.
    fn handle_datagram(
        &mut self,
        now: i64,
        from: SocketAddr,
        datagram: &[u8],
    ) -> Result<i64, IgnoredAnswer> {
        if !self.was_queried(from) {
            return Err(IgnoredAnswer::UnknownSender);
        }
        let is_in_use = from == self.resolver;
        let (id, content) = datagram
            .split_first_chunk::<MESSAGE_ID_BYTES>()
            .ok_or(IgnoredAnswer::Malformed)?;
        let query_sent_at = self.query_sent_at(from, u16::from_be_bytes(*id));
        if let Some(sent_at) = query_sent_at.filter(|_| content == self.last_accepted) {
            self.tracker.confirm(now, is_in_use);
            return Ok(sent_at);
        }
        let message = Message::from_vec(datagram).map_err(|_| IgnoredAnswer::Malformed)?;
        let query_sent_at = query_sent_at
            .filter(|_| self.is_answer(&message))
            .ok_or(IgnoredAnswer::Unsolicited)?;
        if message.metadata.response_code != ResponseCode::NoError {
            return Err(IgnoredAnswer::Failed);
        }
        let Some(parsed) = answer::parse_executors(&message, self.tracker.listed()) else {
            self.tracker.suspect(answer::draining_names(&message));
            return Err(IgnoredAnswer::Incomplete);
        };
        // What a truncated answer lacks may be gone or may have been cut off.
        if message.metadata.truncation && !self.tracker.is_covered_by(&parsed.executors) {
            self.tracker.suspect(answer::draining_names(&message));
            return Err(IgnoredAnswer::Failed);
        }
        let serial = answer::find_serial(&message).ok_or(IgnoredAnswer::Incomplete)?;
        let is_lower = serial < self.serial();
        let executors = parsed.executors;
        let list = NumberedList { serial, executors };
        match self.tracker.handle_list(now, list, is_in_use) {
            ListVerdict::Older => return Err(IgnoredAnswer::Older),
            ListVerdict::Conflicting => return Err(IgnoredAnswer::Conflicting),
            ListVerdict::Confirmed => {}
            ListVerdict::Replaced if is_lower => {
                // Serial numbers of other name services can't be compared with the new numbering, so their answers are dropped.
                self.open_queries.retain(|query| query.resolver == from);
            }
            ListVerdict::Replaced => {}
        }
        self.unreadable_executors = parsed.unreadable;
        self.last_accepted = content.to_vec();
        Ok(query_sent_at)
    }

    /// Returns whether the sender is the current name service or has an open query.
    fn was_queried(&self, from: SocketAddr) -> bool {
        let mut queries = self.open_queries.iter();
        from == self.resolver || queries.any(|query| query.resolver == from)
    }

    /// Returns the time at which the open query with this id was sent to this name service; `None` if there is no such query.
    fn query_sent_at(&self, to: SocketAddr, id: u16) -> Option<i64> {
        let is_asked = |query: &&OpenQuery| query.resolver == to && query.id == id;
        let query = self.open_queries.iter().rev().find(is_asked)?;
        Some(query.sent_at)
    }

    /// Returns whether a message is an answer to a query for the list.
    fn is_answer(&self, message: &Message) -> bool {
        let [question] = &message.queries[..] else {
            return false;
        };
        message.metadata.message_type == MessageType::Response
            && Some(&question.name) == self.service_name.as_ref()
            && question.query_type == RecordType::SRV
    }
}
