//! Parses the answers of the name service.

use crate::bootstrap::{start_time, ExecutorEndpoint};
use hickory_proto::op::Message;
use hickory_proto::rr::rdata::SRV;
use hickory_proto::rr::{Name, RData};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use wheelfield::interface::Status;

/// Maximum number of executors in a list. Deployments have up to 3,200 executors.
const MAX_EXECUTORS: usize = 4_096;

/// Returns the serial number in a datagram; `None` if it is not a DNS message or has none.
pub fn serial_of(datagram: &[u8]) -> Option<u64> {
    find_serial(&Message::from_vec(datagram).ok()?)
}

/// Returns the serial number of the list, which is that of the SOA record.
pub fn find_serial(message: &Message) -> Option<u64> {
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

/// The executors in an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParsedExecutors {
    /// The executors, in the order of the answer.
    pub executors: Vec<ExecutorEndpoint>,
    /// Number of executors whose records are missing or malformed.
    pub unreadable: usize,
}

/// Parses the executors in an answer. An executor whose records are missing or malformed keeps its entry in `known` with the status
/// that the answer states, and is left out if it has none. An executor that is listed twice is draining if either record says so.
/// Returns `None` if no executor can be read, or if there are too many.
pub fn parse_executors(message: &Message, known: &[ExecutorEndpoint]) -> Option<ParsedExecutors> {
    let hosts = HostRecords::collect(message);
    let mut unreadable = 0;
    let mut executors: Vec<ExecutorEndpoint> = Vec::new();
    let mut positions: BTreeMap<String, usize> = BTreeMap::new();
    for record in &message.answers {
        let RData::SRV(service) = &record.data else {
            continue;
        };
        let executor = parse_executor(service, &hosts);
        unreadable += usize::from(executor.is_none());
        let Some(executor) = executor.or_else(|| known_executor(service, known)) else {
            continue;
        };
        match positions.get(&executor.name) {
            Some(_) if executor.status == Status::Up => {}
            Some(position) => executors[*position] = executor,
            None => {
                positions.insert(executor.name.clone(), executors.len());
                executors.push(executor);
            }
        }
    }
    let is_unreadable = executors.is_empty() && unreadable > 0;
    let is_usable = executors.len() <= MAX_EXECUTORS && !is_unreadable;
    is_usable.then_some(ParsedExecutors {
        executors,
        unreadable,
    })
}

/// The names of the executors that are draining in an answer, which need not be complete.
pub fn draining_names(message: &Message) -> Vec<String> {
    let services = message
        .answers
        .iter()
        .filter_map(|record| match &record.data {
            RData::SRV(service) => Some(service),
            _ => None,
        });
    services
        .filter(|service| status_of(service) != Status::Up)
        .filter_map(name_of)
        .collect()
}

/// Returns the known entry of an executor, with the status that a record states.
fn known_executor(service: &SRV, known: &[ExecutorEndpoint]) -> Option<ExecutorEndpoint> {
    let name = name_of(service)?;
    let entry = known.iter().find(|executor| executor.name == name)?;
    Some(ExecutorEndpoint {
        status: status_of(service),
        ..entry.clone()
    })
}

fn name_of(service: &SRV) -> Option<String> {
    let label = service.target.iter().next()?;
    Some(String::from_utf8_lossy(label).into_owned())
}

fn status_of(service: &SRV) -> Status {
    match service.priority {
        0 => Status::Up,
        _ => Status::Draining,
    }
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
        status: status_of(service),
        started_at: start_time(number("started")),
    })
}
