//! The list of executors from the name service, and load reports of other controllers.

use super::Dispatcher;
use crate::bootstrap::ExecutorEndpoint;
use std::net::SocketAddr;
use tracing::{debug, info};
use wheelfield::interface::{EngineEntry, PeerLoadReport};
use wheelfield_driver::Input;
use wheelfield_sans_io::{DatagramSocket, Effect};

impl Dispatcher {
    /// Replaces the list of executors.
    pub(super) fn replace_executors(&mut self, executors: &[ExecutorEndpoint]) {
        self.names.engines.clear();
        let entries: Vec<EngineEntry> = executors
            .iter()
            .map(|executor| executor.to_entry(&mut self.names))
            .collect();
        let addresses = entries
            .iter()
            .zip(executors)
            .map(|(entry, executor)| (entry.engine, executor.address));
        self.executors.replace_list(addresses, &mut self.out);
        self.driver.handle_input(
            self.out.now,
            Input::Engines {
                complete: true,
                entries,
            },
        );
    }

    /// Sends a query for the list of executors.
    pub(super) fn query_discovery(&mut self) {
        if let Some((resolver, query)) = self.discovery.query(self.rng.u16(..)) {
            self.out
                .push(Effect::Send(DatagramSocket::Discovery, resolver, query));
        }
    }

    /// Handles a datagram of the name service.
    pub fn handle_discovery_answer(&mut self, from: SocketAddr, datagram: &[u8]) {
        match self.discovery.handle_answer(from, datagram) {
            Ok(executors) => {
                debug!(executors = executors.len(), "executor list replaced");
                self.replace_executors(&executors);
            }
            Err(reason) => {
                self.ignored_answers[reason as usize] += 1;
                if !reason.is_expected() {
                    debug!(%reason, "name service answer ignored");
                }
            }
        }
    }

    /// Uses another name service from now on, and queries it.
    pub fn use_resolver(&mut self, resolver: SocketAddr) {
        info!(%resolver, "name service changed");
        self.discovery.use_resolver(resolver);
        self.query_discovery();
    }

    /// Handles a datagram of another controller.
    pub fn handle_peer_message(&mut self, from: SocketAddr, datagram: &[u8]) {
        if let Some(reports) = self.peers.decode(from, self.names.engines.keys(), datagram) {
            self.driver
                .handle_input(self.out.now, Input::PeerReports(reports));
        }
    }

    /// Sends load reports to the other controllers.
    pub(super) fn send_peer_message(&mut self, reports: &[PeerLoadReport]) {
        let datagram = self.peers.encode(reports);
        for address in self.peers.recipients() {
            self.out.push(Effect::Send(
                DatagramSocket::Peers,
                address,
                datagram.clone(),
            ));
        }
    }
}
