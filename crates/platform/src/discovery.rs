//! What the name service tells: the list of executors by DNS, and the number of the event it stands at.

use crate::bootstrap::{started, ExecutorEndpoint};
use hickory_proto::op::{Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::{Name, RData, RecordType};
use std::collections::{BTreeMap, VecDeque};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use wheelfield::interface::Status;

/// What is asked for.
const SERVICE_NAME: &str = "_rpc._tcp.mesh.local.";
/// Asked so often, in microseconds: with the grace of a drain of a second, three questions in a row may go unanswered.
pub const POLL_INTERVAL_US: i64 = 250_000;
/// Questions whose answers are still taken.
const MAX_OPEN_QUERIES: usize = 8;
/// Executors in a list at most.
const MAX_EXECUTORS: usize = 1_000;

/// Why an answer was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum IgnoredAnswer {
    /// It is not from the name service.
    #[error("an answer from elsewhere")]
    UnknownSender,
    /// It can't be read.
    #[error("an answer that can't be read")]
    Malformed,
    /// It answers no question of ours.
    #[error("an answer to no question of ours")]
    Unsolicited,
    /// The name service reports a failure, or says that more would follow.
    #[error("a failure, or an answer cut short")]
    Failed,
    /// It lacks records.
    #[error("an answer that lacks records")]
    Incomplete,
    /// It holds nothing new, or what was before.
    #[error("nothing new")]
    NotNewer,
}

/// The side of the name service.
#[derive(Debug)]
pub struct DiscoveryClient {
    resolver: SocketAddr,
    serial: u64,
    /// Numbers of questions that may still be answered, the newest last.
    open: VecDeque<u16>,
    service: Option<Name>,
}

impl DiscoveryClient {
    /// A feed that holds the list up to an event.
    pub fn new(resolver: SocketAddr, serial: u64) -> DiscoveryClient {
        DiscoveryClient {
            resolver,
            serial,
            open: VecDeque::new(),
            service: Name::from_ascii(SERVICE_NAME).ok(),
        }
    }

    /// Another name service from now on. What the old one still answers counts no more; the numbers of events carry on.
    pub fn turn_to(&mut self, resolver: SocketAddr) {
        self.resolver = resolver;
        self.open.clear();
    }

    /// A question, under a number drawn by chance, and where it goes.
    pub fn ask(&mut self, id: u16) -> Option<(SocketAddr, Vec<u8>)> {
        let mut message = Message::new(id, MessageType::Query, OpCode::Query);
        message.add_query(Query::query(self.service.clone()?, RecordType::SRV));
        let bytes = message.to_vec().ok()?;
        if self.open.len() == MAX_OPEN_QUERIES {
            self.open.pop_front();
        }
        self.open.push_back(id);
        Some((self.resolver, bytes))
    }

    /// Takes an answer: the whole list, if it is newer than what is held.
    ///
    /// # Errors
    /// [`IgnoredAnswer`]; the list stays as it is.
    pub fn hear(&mut self, from: SocketAddr, bytes: &[u8]) -> Result<Vec<ExecutorEndpoint>, IgnoredAnswer> {
        if from != self.resolver {
            return Err(IgnoredAnswer::UnknownSender);
        }
        let message = Message::from_vec(bytes).map_err(|_| IgnoredAnswer::Malformed)?;
        let meta = &message.metadata;
        let asked = |q: &Query| Some(&q.name) == self.service.as_ref() && q.query_type == RecordType::SRV;
        let [question] = &message.queries[..] else { return Err(IgnoredAnswer::Unsolicited) };
        if meta.message_type != MessageType::Response || !self.open.contains(&meta.id) || !asked(question) {
            return Err(IgnoredAnswer::Unsolicited);
        }
        if meta.response_code != ResponseCode::NoError || meta.truncation {
            return Err(IgnoredAnswer::Failed);
        }
        let serial = message.authorities.iter().find_map(|r| match &r.data {
            RData::SOA(soa) => Some(u64::from(soa.serial)),
            _ => None,
        });
        let serial = serial.ok_or(IgnoredAnswer::Incomplete)?;
        if serial <= self.serial {
            return Err(IgnoredAnswer::NotNewer);
        }
        let list = list(&message).ok_or(IgnoredAnswer::Incomplete)?;
        self.serial = serial;
        Ok(list)
    }
}

/// The executors of an answer; none if a record is missing.
fn list(message: &Message) -> Option<Vec<ExecutorEndpoint>> {
    let (mut addresses, mut texts) = (BTreeMap::<Name, Ipv4Addr>::new(), BTreeMap::<Name, _>::new());
    for r in message.all_sections() {
        match &r.data {
            RData::A(a) => {
                addresses.insert(r.name.to_lowercase(), a.0);
            }
            RData::TXT(text) => {
                texts.insert(r.name.to_lowercase(), &text.txt_data);
            }
            _ => {}
        }
    }
    let mut all = Vec::new();
    for r in &message.answers {
        let RData::SRV(srv) = &r.data else { continue };
        let mut labels = srv.target.iter().map(|l| String::from_utf8_lossy(l).into_owned());
        let (name, zone) = (labels.next()?, labels.next()?);
        let target = srv.target.to_lowercase();
        let at = SocketAddr::new(IpAddr::V4(*addresses.get(&target)?), srv.port);
        let texts: Vec<String> =
            texts.get(&target)?.iter().map(|t| String::from_utf8_lossy(t).into_owned()).collect();
        let told = |key: &str| texts.iter().filter_map(|t| t.split_once('=')).find(|(k, _)| *k == key);
        let number = |key: &str| told(key).and_then(|(_, v)| v.parse::<i64>().ok());
        all.push(ExecutorEndpoint {
            name,
            at,
            zone,
            kind: told("kind")?.1.to_string(),
            cell: number("cell").unwrap_or(0),
            status: if srv.priority == 0 { Status::Up } else { Status::Draining },
            started: started(number("started").unwrap_or(0)),
        });
    }
    (all.len() <= MAX_EXECUTORS).then_some(all)
}
