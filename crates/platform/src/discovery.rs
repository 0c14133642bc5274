//! Executor discovery: polls the executor list from the name service by DNS, and tracks the serial number of the list.

use crate::bootstrap::{start_time, ExecutorEndpoint};
use hickory_proto::op::{Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::rdata::SRV;
use hickory_proto::rr::{Name, RData, RecordType};
use std::collections::{BTreeMap, VecDeque};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use wheelfield::interface::Status;

/// DNS name of the service whose instances are the executors.
const SERVICE_NAME: &str = "_rpc._tcp.mesh.local.";
/// Number of the most recent DNS queries whose answers are accepted. They cover at least the last 16 seconds, so that answers of a
/// slow name service are still accepted.
const MAX_OPEN_QUERIES: usize = 128;
/// Time after which a name service that has answered only with serial numbers below the current one is assumed to use its own
/// numbering, in microseconds. Before that, its list may merely be outdated: a name service publishes a change within 4.5 seconds,
/// and this timeout is about twice as long.
const LOWER_SERIAL_TIMEOUT_US: i64 = 10_000_000;
/// Maximum number of executors in a list. Deployments have up to 3,200 executors.
const MAX_EXECUTORS: usize = 4_096;

/// The effect of an accepted answer on the current executor list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DiscoveryUpdate {
    /// The list is unchanged.
    Confirmed,
    /// This complete list replaces the current one.
    Replaced(Vec<ExecutorEndpoint>),
}

/// An accepted answer of a name service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DiscoveryAnswer {
    /// Time at which the answered query was sent, in microseconds.
    pub query_sent_at: i64,
    /// Effect on the current list.
    pub update: DiscoveryUpdate,
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
    /// A record is missing or malformed, or the list is too long.
    #[error("missing records")]
    Incomplete,
    /// Its serial number is lower than that of the current list.
    #[error("list older than the current one")]
    Older,
}

impl IgnoredAnswer {
    /// All reasons, in the order of their discriminants.
    pub const ALL: [IgnoredAnswer; 6] = [
        IgnoredAnswer::UnknownSender,
        IgnoredAnswer::Malformed,
        IgnoredAnswer::Unsolicited,
        IgnoredAnswer::Failed,
        IgnoredAnswer::Incomplete,
        IgnoredAnswer::Older,
    ];
    /// Number of reasons.
    pub const COUNT: usize = IgnoredAnswer::ALL.len();

    /// Returns the value of the `reason` label in metrics.
    pub fn name(self) -> &'static str {
        match self {
            IgnoredAnswer::UnknownSender => "unknown_sender",
            IgnoredAnswer::Malformed => "malformed",
            IgnoredAnswer::Unsolicited => "unsolicited",
            IgnoredAnswer::Failed => "failed",
            IgnoredAnswer::Incomplete => "incomplete",
            IgnoredAnswer::Older => "older",
        }
    }
}

/// A DNS client that polls the executor list from the name service.
#[derive(Debug)]
pub struct DiscoveryClient {
    resolver: SocketAddr,
    serial: u64,
    /// Time since which the current name service has answered only with serial numbers below the current one, in microseconds.
    lower_serials_since: Option<i64>,
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
    /// Creates a client for a process whose current list has this serial number.
    pub fn new(resolver: SocketAddr, serial: u64, now: i64) -> DiscoveryClient {
        DiscoveryClient {
            resolver,
            serial,
            lower_serials_since: None,
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
            self.lower_serials_since = None;
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
        self.serial
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
    ///
    /// # Errors
    /// [`IgnoredAnswer`] if the answer is not accepted; the current list is neither confirmed nor replaced.
    pub fn handle_answer(
        &mut self,
        now: i64,
        from: SocketAddr,
        datagram: &[u8],
    ) -> Result<DiscoveryAnswer, IgnoredAnswer> {
        if !self.was_queried(from) {
            return Err(IgnoredAnswer::UnknownSender);
        }
        let message = Message::from_vec(datagram).map_err(|_| IgnoredAnswer::Malformed)?;
        let query_sent_at = self
            .matching_query_sent_at(from, &message)
            .ok_or(IgnoredAnswer::Unsolicited)?;
        if message.metadata.response_code != ResponseCode::NoError || message.metadata.truncation {
            return Err(IgnoredAnswer::Failed);
        }
        let serial = find_serial(&message).ok_or(IgnoredAnswer::Incomplete)?;
        let update = if serial == self.serial {
            DiscoveryUpdate::Confirmed
        } else {
            let is_renumbered = serial < self.serial;
            if is_renumbered && !self.has_own_numbering(from, now) {
                return Err(IgnoredAnswer::Older);
            }
            let executors = parse_executors(&message).ok_or(IgnoredAnswer::Incomplete)?;
            if is_renumbered {
                // Serial numbers of other name services can't be compared with the new numbering, so their answers are dropped.
                self.open_queries.retain(|query| query.resolver == from);
            }
            DiscoveryUpdate::Replaced(executors)
        };
        self.serial = serial;
        self.confirm(now, from);
        Ok(DiscoveryAnswer {
            query_sent_at,
            update,
        })
    }

    /// Records that a name service has confirmed or replaced the current list.
    fn confirm(&mut self, now: i64, from: SocketAddr) {
        // An answer of a former name service does not show which numbering the current one uses.
        if from == self.resolver {
            self.lower_serials_since = None;
        }
        self.confirmed_at = now;
        self.confirmed_by = from;
        self.queries_since_confirmed = 0;
    }

    /// Handles a serial number below the current one. Returns whether the current name service has sent only such numbers for
    /// [`LOWER_SERIAL_TIMEOUT_US`] and is therefore assumed to use its own numbering.
    fn has_own_numbering(&mut self, from: SocketAddr, now: i64) -> bool {
        if from != self.resolver {
            return false;
        }
        let since = *self.lower_serials_since.get_or_insert(now);
        now - since >= LOWER_SERIAL_TIMEOUT_US
    }

    /// Returns whether the sender is the current name service or has an open query.
    fn was_queried(&self, from: SocketAddr) -> bool {
        let mut queries = self.open_queries.iter();
        from == self.resolver || queries.any(|query| query.resolver == from)
    }

    /// Returns the time at which the open query that this message answers was sent; `None` if there is no such query.
    fn matching_query_sent_at(&self, from: SocketAddr, message: &Message) -> Option<i64> {
        let [question] = &message.queries[..] else {
            return None;
        };
        let is_answer = message.metadata.message_type == MessageType::Response
            && Some(&question.name) == self.service_name.as_ref()
            && question.query_type == RecordType::SRV;
        let is_asked =
            |query: &&OpenQuery| query.resolver == from && query.id == message.metadata.id;
        let query = self.open_queries.iter().rev().find(is_asked)?;
        is_answer.then_some(query.sent_at)
    }
}

/// Returns the serial number in a datagram; `None` if it is not a DNS message or has none.
pub fn serial_of(datagram: &[u8]) -> Option<u64> {
    find_serial(&Message::from_vec(datagram).ok()?)
}

/// Returns the serial number of the list, which is that of the SOA record.
fn find_serial(message: &Message) -> Option<u64> {
    message
        .authorities
        .iter()
        .find_map(|record| match &record.data {
            RData::SOA(soa) => Some(u64::from(soa.serial)),
            _ => None,
        })
}

/// The host records of an answer, by lower-case host name.
#[derive(Default)]
struct HostRecords {
    addresses: BTreeMap<Name, Ipv4Addr>,
    /// Strings of the form `key=value` from the TXT records.
    properties: BTreeMap<Name, Vec<String>>,
}

impl HostRecords {
    fn collect(message: &Message) -> HostRecords {
        let mut hosts = HostRecords::default();
        for record in message.all_sections() {
            match &record.data {
                RData::A(address) => {
                    hosts
                        .addresses
                        .insert(record.name.to_lowercase(), address.0);
                }
                RData::TXT(text) => {
                    let pairs = text
                        .txt_data
                        .iter()
                        .map(|t| String::from_utf8_lossy(t).into_owned());
                    hosts
                        .properties
                        .insert(record.name.to_lowercase(), pairs.collect());
                }
                _ => {}
            }
        }
        hosts
    }
}

/// Parses the executors in an answer; `None` if a record is missing or there are too many executors. An executor that is listed
/// twice is draining if either record says so.
fn parse_executors(message: &Message) -> Option<Vec<ExecutorEndpoint>> {
    let hosts = HostRecords::collect(message);
    let mut executors: Vec<ExecutorEndpoint> = Vec::new();
    let mut positions: BTreeMap<String, usize> = BTreeMap::new();
    for record in &message.answers {
        let RData::SRV(service) = &record.data else {
            continue;
        };
        let executor = parse_executor(service, &hosts)?;
        match positions.get(&executor.name) {
            Some(_) if executor.status == Status::Up => {}
            Some(position) => executors[*position] = executor,
            None => {
                positions.insert(executor.name.clone(), executors.len());
                executors.push(executor);
            }
        }
    }
    (executors.len() <= MAX_EXECUTORS).then_some(executors)
}

fn parse_executor(service: &SRV, hosts: &HostRecords) -> Option<ExecutorEndpoint> {
    let mut labels = service
        .target
        .iter()
        .map(|label| String::from_utf8_lossy(label).into_owned());
    let (name, zone) = (labels.next()?, labels.next()?);
    let host = service.target.to_lowercase();
    let address = IpAddr::V4(*hosts.addresses.get(&host)?);
    let properties = hosts.properties.get(&host)?;
    let property = |key: &str| {
        properties
            .iter()
            .filter_map(|pair| pair.split_once('='))
            .find(|(k, _)| *k == key)
            .map(|(_, v)| v)
    };
    let number = |key: &str| {
        property(key)
            .and_then(|value| value.parse::<i64>().ok())
            .unwrap_or(0)
    };
    Some(ExecutorEndpoint {
        name,
        address: SocketAddr::new(address, service.port),
        zone,
        kind: property("kind")?.to_string(),
        cell: number("cell"),
        status: if service.priority == 0 {
            Status::Up
        } else {
            Status::Draining
        },
        started_at: start_time(number("started")),
    })
}
