//! What the name service tells: the list of executors by DNS, and the number of the event it stands at.

use crate::bootstrap::{started, Listed};
use hickory_proto::op::{Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::{Name, RData, RecordType};
use std::collections::{BTreeMap, VecDeque};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use wheelfield::interface::Status;

/// What is asked for.
const SERVICE: &str = "_rpc._tcp.mesh.local.";
/// Asked so often, in microseconds: with the grace of a drain of a second, three questions in a row may go unanswered.
pub const EVERY: i64 = 250_000;
/// Questions whose answers are still taken.
const OPEN: usize = 8;
/// Executors in a list at most.
const MOST: usize = 1_000;

/// Why an answer was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unused {
    /// It is not from the name service.
    #[error("an answer from elsewhere")]
    Stranger,
    /// It can't be read.
    #[error("an answer that can't be read")]
    Malformed,
    /// It answers no question of ours.
    #[error("an answer to no question of ours")]
    Unasked,
    /// The name service reports a failure, or says that more would follow.
    #[error("a failure, or an answer cut short")]
    Failed,
    /// It lacks records.
    #[error("an answer that lacks records")]
    Incomplete,
    /// It holds nothing new, or what was before.
    #[error("nothing new")]
    Older,
}

/// The side of the name service.
#[derive(Debug)]
pub struct Feed {
    resolver: SocketAddr,
    serial: u64,
    /// Numbers of questions that may still be answered, the newest last.
    open: VecDeque<u16>,
    service: Option<Name>,
}

impl Feed {
    /// A feed that holds the list up to an event.
    pub fn new(resolver: SocketAddr, serial: u64) -> Feed {
        Feed { resolver, serial, open: VecDeque::new(), service: Name::from_ascii(SERVICE).ok() }
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
        if self.open.len() == OPEN {
            self.open.pop_front();
        }
        self.open.push_back(id);
        Some((self.resolver, bytes))
    }

    /// Takes an answer: the whole list, if it is newer than what is held.
    ///
    /// # Errors
    /// [`Unused`]; the list stays as it is.
    pub fn hear(&mut self, from: SocketAddr, bytes: &[u8]) -> Result<Vec<Listed>, Unused> {
        if from != self.resolver {
            return Err(Unused::Stranger);
        }
        let message = Message::from_vec(bytes).map_err(|_| Unused::Malformed)?;
        let meta = &message.metadata;
        let asked = |q: &Query| Some(&q.name) == self.service.as_ref() && q.query_type == RecordType::SRV;
        let [question] = &message.queries[..] else { return Err(Unused::Unasked) };
        if meta.message_type != MessageType::Response || !self.open.contains(&meta.id) || !asked(question) {
            return Err(Unused::Unasked);
        }
        if meta.response_code != ResponseCode::NoError || meta.truncation {
            return Err(Unused::Failed);
        }
        let serial = message.authorities.iter().find_map(|r| match &r.data {
            RData::SOA(soa) => Some(u64::from(soa.serial)),
            _ => None,
        });
        let serial = serial.ok_or(Unused::Incomplete)?;
        if serial <= self.serial {
            return Err(Unused::Older);
        }
        let list = list(&message).ok_or(Unused::Incomplete)?;
        self.serial = serial;
        Ok(list)
    }
}

/// The executors of an answer; none if a record is missing.
fn list(message: &Message) -> Option<Vec<Listed>> {
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
        all.push(Listed {
            name,
            at,
            zone,
            kind: told("kind")?.1.to_string(),
            cell: number("cell").unwrap_or(0),
            status: if srv.priority == 0 { Status::Up } else { Status::Draining },
            started: started(number("started").unwrap_or(0)),
        });
    }
    (all.len() <= MOST).then_some(all)
}
