//! Discovery: the list of executors, polled from the name service by DNS, and the serial number of the list.

use crate::bootstrap::{start_time, ExecutorEndpoint};
use hickory_proto::op::{Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::rdata::SRV;
use hickory_proto::rr::{Name, RData, RecordType};
use std::collections::{BTreeMap, VecDeque};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use wheelfield::interface::Status;

/// The name of the service whose instances are requested.
const SERVICE_NAME: &str = "_rpc._tcp.mesh.local.";
/// Number of queries whose answers are accepted: the latest ones. They are those of 16 seconds at least, so that a name service that
/// is slow is still heard.
const MAX_OPEN_QUERIES: usize = 128;
/// Time after which a name service that answers with serial numbers below the current one, and with no other, is taken to count by
/// itself, in microseconds. Until then it may be one that lags: what happened is told within 4.5 s in any case, so that this is
/// about twice as long.
const LOWER_SERIAL_TIMEOUT_US: i64 = 10_000_000;
/// Maximum number of executors in a list. Deployments have up to 3,200.
const MAX_EXECUTORS: usize = 4_096;

/// What an answer says of the current list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DiscoveryUpdate {
    /// It is the same.
    Confirmed,
    /// This complete list replaces it.
    Replaced(Vec<ExecutorEndpoint>),
}

/// An answer that counts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DiscoveryAnswer {
    /// When the query was sent that it answers, in microseconds.
    pub query_sent_at: i64,
    /// What it says.
    pub update: DiscoveryUpdate,
}

/// A query whose answer is accepted.
#[derive(Clone, Copy, Debug)]
struct OpenQuery {
    service: SocketAddr,
    id: u16,
    /// When it was sent, in microseconds.
    sent_at: i64,
}

/// Why an answer was ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum IgnoredAnswer {
    /// It was not sent by the name service.
    #[error("unknown sender")]
    UnknownSender,
    /// It is not a DNS message.
    #[error("malformed message")]
    Malformed,
    /// It answers no open query.
    #[error("no open query")]
    Unsolicited,
    /// The name service reports a failure, or the answer is truncated.
    #[error("failure response or truncated answer")]
    Failed,
    /// Records are missing.
    #[error("missing records")]
    Incomplete,
    /// Its serial number is below that of the current list.
    #[error("list older than the current one")]
    Older,
}

impl IgnoredAnswer {
    /// All reasons.
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

    /// Its name in metrics.
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

    /// Whether answers are ignored for this reason in normal operation.
    pub fn is_expected(self) -> bool {
        matches!(self, IgnoredAnswer::Older | IgnoredAnswer::Unsolicited)
    }
}

/// The client of the name service.
#[derive(Debug)]
pub struct DiscoveryClient {
    resolver: SocketAddr,
    serial: u64,
    /// Since when all answers had serial numbers below the current one, in microseconds.
    lower_since: Option<i64>,
    /// When an answer last confirmed or replaced the current list, in microseconds.
    confirmed_at: i64,
    /// The name service that did.
    confirmed_by: SocketAddr,
    /// Queries sent since then.
    queries_since_confirmed: u64,
    /// The queries whose answers are accepted, the latest last.
    open_queries: VecDeque<OpenQuery>,
    service: Option<Name>,
}

impl DiscoveryClient {
    /// Creates a client that has the list with this serial number now.
    pub fn new(resolver: SocketAddr, serial: u64, now: i64) -> DiscoveryClient {
        DiscoveryClient {
            resolver,
            serial,
            lower_since: None,
            confirmed_at: now,
            confirmed_by: resolver,
            queries_since_confirmed: 0,
            open_queries: VecDeque::new(),
            service: Name::from_ascii(SERVICE_NAME).ok(),
        }
    }

    /// Uses another name service from now on. What the former one still answers counts as before: it was sent to this process, and
    /// the new one may lag behind for seconds. The serial number stays, as the numbers carry on.
    pub fn use_resolver(&mut self, resolver: SocketAddr) {
        if resolver != self.resolver {
            self.resolver = resolver;
            self.lower_since = None;
        }
    }

    /// When an answer last confirmed or replaced the current list, in microseconds: at first that of the start.
    pub fn confirmed_at(&self) -> i64 {
        self.confirmed_at
    }

    /// The name service that is asked.
    pub fn resolver(&self) -> SocketAddr {
        self.resolver
    }

    /// The serial number of the current list.
    pub fn serial(&self) -> u64 {
        self.serial
    }

    /// The name service that last confirmed or replaced the current list.
    pub fn confirmed_by(&self) -> SocketAddr {
        self.confirmed_by
    }

    /// Number of queries sent since the current list was last confirmed or replaced.
    pub fn queries_since_confirmed(&self) -> u64 {
        self.queries_since_confirmed
    }

    /// Encodes a query with this id, which is to be random; and its destination.
    pub fn encode_query(&mut self, now: i64, id: u16) -> Option<(SocketAddr, Vec<u8>)> {
        let mut message = Message::new(id, MessageType::Query, OpCode::Query);
        message.add_query(Query::query(self.service.clone()?, RecordType::SRV));
        let bytes = message.to_vec().ok()?;
        if self.open_queries.len() == MAX_OPEN_QUERIES {
            self.open_queries.pop_front();
        }
        self.open_queries.push_back(OpenQuery {
            service: self.resolver,
            id,
            sent_at: now,
        });
        self.queries_since_confirmed += 1;
        Some((self.resolver, bytes))
    }

    /// Handles an answer: what it says of the current list.
    ///
    /// # Errors
    /// [`IgnoredAnswer`]; the current list stays, and is not confirmed.
    pub fn handle_answer(
        &mut self,
        now: i64,
        from: SocketAddr,
        datagram: &[u8],
    ) -> Result<DiscoveryAnswer, IgnoredAnswer> {
        if !self.was_asked(from) {
            return Err(IgnoredAnswer::UnknownSender);
        }
        let message = Message::from_vec(datagram).map_err(|_| IgnoredAnswer::Malformed)?;
        let query_sent_at = self
            .find_query(from, &message)
            .ok_or(IgnoredAnswer::Unsolicited)?;
        if message.metadata.response_code != ResponseCode::NoError || message.metadata.truncation {
            return Err(IgnoredAnswer::Failed);
        }
        let serial = find_serial(&message).ok_or(IgnoredAnswer::Incomplete)?;
        let update = if serial == self.serial {
            DiscoveryUpdate::Confirmed
        } else {
            let is_renumbered = serial < self.serial;
            if is_renumbered && !self.counts_by_itself(from, now) {
                return Err(IgnoredAnswer::Older);
            }
            let executors = parse_executors(&message).ok_or(IgnoredAnswer::Incomplete)?;
            if is_renumbered {
                // The numbers of other services are not comparable any more.
                self.open_queries.retain(|query| query.service == from);
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

    /// Notes that the current list is that of a name service.
    fn confirm(&mut self, now: i64, from: SocketAddr) {
        // What a former service tells says nothing of how this one counts.
        if from == self.resolver {
            self.lower_since = None;
        }
        self.confirmed_at = now;
        self.confirmed_by = from;
        self.queries_since_confirmed = 0;
    }

    /// Whether the current name service answers with lower serial numbers, and has done so, and nothing else, for so long that it
    /// counts by itself.
    fn counts_by_itself(&mut self, from: SocketAddr, now: i64) -> bool {
        if from != self.resolver {
            return false;
        }
        let since = *self.lower_since.get_or_insert(now);
        now - since >= LOWER_SERIAL_TIMEOUT_US
    }

    /// Whether answers of this sender may be accepted.
    fn was_asked(&self, from: SocketAddr) -> bool {
        let mut queries = self.open_queries.iter();
        from == self.resolver || queries.any(|query| query.service == from)
    }

    /// When the query was sent that this message of a name service answers; `None` if there is none.
    fn find_query(&self, from: SocketAddr, message: &Message) -> Option<i64> {
        let [question] = &message.queries[..] else {
            return None;
        };
        let is_answer = message.metadata.message_type == MessageType::Response
            && Some(&question.name) == self.service.as_ref()
            && question.query_type == RecordType::SRV;
        let is_asked =
            |query: &&OpenQuery| query.service == from && query.id == message.metadata.id;
        let query = self.open_queries.iter().rev().find(is_asked)?;
        is_answer.then_some(query.sent_at)
    }
}

/// The serial number of the list: that of the SOA record.
fn find_serial(message: &Message) -> Option<u64> {
    message
        .authorities
        .iter()
        .find_map(|record| match &record.data {
            RData::SOA(soa) => Some(u64::from(soa.serial)),
            _ => None,
        })
}

/// The records on the hosts of an answer, by lower-case name.
#[derive(Default)]
struct HostRecords {
    addresses: BTreeMap<Name, Ipv4Addr>,
    /// Pairs of the form `key=value`.
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

/// The executors in an answer; `None` if a record is missing, or there are too many. One that stands there twice takes no work if
/// either record says so.
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
