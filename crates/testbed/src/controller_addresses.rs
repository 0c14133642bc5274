//! Addresses on which the controllers of a run receive datagrams from each other.

use crate::day::Day;
use crate::fleet::relay::Relay;
use anyhow::Result;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, UdpSocket};
use wheelfield_child_process::Unshared;

/// Addresses on which controllers receive datagrams from each other. A restarted controller keeps its own.
#[derive(Debug)]
pub(crate) struct ControllerAddresses {
    /// Load reports; empty if the script has none.
    pub peers: Vec<String>,
    /// Gossip; empty if the script has none.
    pub gossip: Vec<String>,
    /// The sockets that hold the ports of controllers that have not started yet. Between the close of such a socket and the bind by the
    /// controller nobody else can take the port: no other run uses this IP address, and no process that another thread starts has a copy
    /// of the socket.
    reserved: BTreeMap<usize, Vec<Unshared<UdpSocket>>>,
}

impl ControllerAddresses {
    /// Reserves the ports of all controllers at once, so that none is given out twice.
    pub fn reserve(day: &Day, ip: Ipv4Addr, relay: Option<&Relay>) -> Result<ControllerAddresses> {
        let sends_reports = day.means.get("messages").and_then(toml::Value::as_bool) == Some(true);
        let peer_sockets = bind_sockets(ip, if sends_reports { day.controllers } else { 0 })?;
        let has_own_gossip = day.registry.gossip && relay.is_none();
        let gossip_sockets = bind_sockets(ip, if has_own_gossip { day.controllers } else { 0 })?;
        let peers = local_addresses(&peer_sockets)?;
        let gossip = match relay {
            Some(relay) => relay.addresses.iter().map(ToString::to_string).collect(),
            None => local_addresses(&gossip_sockets)?,
        };
        let mut reserved: BTreeMap<usize, Vec<Unshared<UdpSocket>>> = BTreeMap::new();
        let sockets = peer_sockets.into_iter().enumerate().chain(gossip_sockets.into_iter().enumerate());
        for (controller, socket) in sockets {
            reserved.entry(controller).or_default().push(Unshared::new(socket));
        }
        Ok(ControllerAddresses { peers, gossip, reserved })
    }

    /// Releases the ports of a controller, which is to be started now.
    pub fn release(&mut self, controller: usize) {
        self.reserved.remove(&controller);
    }
}

fn bind_sockets(ip: Ipv4Addr, count: usize) -> std::io::Result<Vec<UdpSocket>> {
    (0..count).map(|_| UdpSocket::bind((ip, 0))).collect()
}

fn local_addresses(sockets: &[UdpSocket]) -> std::io::Result<Vec<String>> {
    sockets.iter().map(|socket| Ok(socket.local_addr()?.to_string())).collect()
}
