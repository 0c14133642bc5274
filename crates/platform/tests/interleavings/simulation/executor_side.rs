//! Simulated executors and the simulated name service.

use super::{choose, executor_name, InjectedFault, Simulation};
use crate::common::*;
use crate::steps::{ExecutorReply, ListedStatus};
use wheelfield_invariants::{HistoryEvent, UnavailableEngine};
use wheelfield_sans_io::{ConnId, DatagramSocket, IoEvent};

/// The executor's side of a connection.
pub(super) struct ExecutorConnection {
    pub engine: String,
    /// Ids of the requests in progress on this connection.
    pub running: Vec<String>,
    /// Received bytes that have not been parsed yet.
    pub input: Vec<u8>,
}

impl Simulation {
    /// Answers the latest query to the name service with the published statuses.
    pub(super) fn publish_list(&mut self) {
        let mut datagrams = self.harness.datagrams.iter().rev();
        let latest = datagrams.find(|(socket, ..)| *socket == DatagramSocket::Discovery);
        let Some((_, _, query)) = latest else { return };
        self.serial += 1;
        let listed: Vec<(String, u8, u16)> = self
            .statuses
            .iter()
            .filter(|(_, status)| **status != ListedStatus::Removed)
            .map(|(number, status)| {
                (
                    executor_name(*number),
                    *number,
                    u16::from(*status == ListedStatus::Draining),
                )
            })
            .collect();
        let listed: Vec<(&str, u8, u16)> = listed
            .iter()
            .map(|(name, n, p)| (name.as_str(), *n, *p))
            .collect();
        let answer = dns_answer(query, self.serial, &listed)
            .to_vec()
            .expect("bytes");
        self.log_list();
        if self.fault != Some(InjectedFault::DiscoveryLost) {
            let from = RESOLVER.parse().expect("an address");
            self.handle_io(IoEvent::Datagram(DatagramSocket::Discovery, from, &answer));
        }
    }

    /// Logs the published list: the executors that are not up.
    fn log_list(&mut self) {
        let mut not_up = Vec::new();
        for (number, status) in &self.statuses {
            let status = match status {
                ListedStatus::Up => continue,
                ListedStatus::Draining => "draining".to_string(),
                ListedStatus::Removed => "removed".to_string(),
            };
            not_up.push(UnavailableEngine {
                engine: executor_name(*number),
                status,
            });
        }
        let (t, event, who) = (self.harness.now, "told".to_string(), "0".to_string());
        self.log.push(HistoryEvent {
            at: t,
            event,
            controller: who,
            unavailable_engines: not_up,
            ..HistoryEvent::default()
        });
    }

    /// Removes a connection that has ended, and the requests in progress on it.
    pub(super) fn drop_executor_connection(&mut self, id: ConnId) {
        let Some(connection) = self.executor_connections.remove(&id) else {
            return;
        };
        for query in connection.running {
            self.log_event(0, "dropped", &connection.engine, &query);
        }
    }

    pub(super) fn respond(&mut self, index: usize, reply: ExecutorReply) {
        let busy = choose(&self.executor_connections, index, |connection| {
            !connection.running.is_empty()
        });
        let Some(id) = busy else { return };
        let connection = self.executor_connections.get_mut(&id).expect("chosen");
        let query = connection.running[index % connection.running.len()].clone();
        let engine = connection.engine.clone();
        let row = format!("{query}\t1\tx\n");
        let hit = format!(
            "{query} HIT pages=1,cost=9.0,meter=util:0.3 {}\r\n{row}\r\n",
            row.len()
        );
        let (event, response) = match reply {
            ExecutorReply::Served | ExecutorReply::ServedThenClosed => (Some("finished"), hit),
            ExecutorReply::Rejected => (Some("refused"), format!("{query} SHED - 0\r\n\r\n")),
            ExecutorReply::Failed => (Some("errored"), format!("{query} FAULT - 0\r\n\r\n")),
            ExecutorReply::TooLate => (Some("refused"), format!("{query} LATE - 0\r\n\r\n")),
            ExecutorReply::ServedTwice => (Some("finished"), format!("{hit}{hit}")),
            ExecutorReply::Progress => (None, format!("{query} INFO tell=pct,v=0.4 0\r\n\r\n")),
            ExecutorReply::Invalid => (
                Some("finished"),
                format!("{query} HIT pages=1 5000000\r\nnoise"),
            ),
        };
        if let Some(event) = event {
            connection.running.retain(|running| *running != query);
            self.log_event(0, event, &engine, &query);
        }
        self.handle_io(IoEvent::Received(id, response.as_bytes()));
        if reply == ExecutorReply::ServedThenClosed {
            self.drop_executor_connection(id);
            self.handle_io(IoEvent::ReadClosed(id));
        }
    }

    pub(super) fn receive_at_executor(&mut self, id: ConnId, bytes: &[u8]) {
        let Some(connection) = self.executor_connections.get_mut(&id) else {
            return;
        };
        connection.input.extend_from_slice(bytes);
        let text = String::from_utf8(std::mem::take(&mut connection.input)).expect("text");
        let engine = connection.engine.clone();
        let mut events = Vec::new();
        for line in text.split("\r\n") {
            let words: Vec<&str> = line.split(' ').collect();
            match words[..] {
                ["REQ", query, _, _] => {
                    connection.running.push(query.to_string());
                    events.push(("received", query));
                }
                ["STOP", query] if connection.running.iter().any(|running| running == query) => {
                    connection.running.retain(|running| running != query);
                    events.push(("dropped", query));
                }
                _ => {}
            }
        }
        events
            .into_iter()
            .for_each(|(event, query)| self.log_event(1, event, &engine, query));
    }
}
