//! The membership commands: `peers` shows which controllers receive packets of which others, and `forget` evicts a member.

use crate::{query_all, read_text};
use anyhow::{bail, Context, Result};
use serde::Deserialize;
use std::collections::btree_map::{BTreeMap, Entry};
use std::net::{SocketAddr, UdpSocket};
use std::path::Path;
use std::time::{Duration, Instant};
use wheelfield_console::{out, outln};
use wheelfield_endpoints_cli::peers::{GossipStatus, ReachabilityMatrix};
use wheelfield_gossip::authentication::{Authenticator, Keys};
use wheelfield_gossip::{eviction_packet, MemberRecord, MemberState};

/// How long to wait between two queries of the controllers' status.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// The gossip status of a controller.
fn gossip_status(status: &serde_json::Value) -> Result<GossipStatus> {
    let gossip = status.get("gossip").context("it does not use gossip")?;
    GossipStatus::deserialize(gossip).context("its gossip status cannot be parsed")
}

/// Queries all controllers, and builds the matrix.
fn query_matrix(controllers: &[SocketAddr]) -> ReachabilityMatrix {
    let (mut statuses, mut unanswered) = (Vec::new(), Vec::new());
    for (controller, answer) in controllers.iter().zip(query_all(controllers, gossip_status)) {
        match answer {
            Ok(status) => statuses.push(status),
            Err(fault) => unanswered.push(format!("{controller}: {fault:#}")),
        }
    }
    ReachabilityMatrix::new(&statuses, unanswered)
}

pub(crate) fn peers(controllers: &[SocketAddr], timeout: Duration, json: bool) -> Result<bool> {
    let deadline = Instant::now() + timeout;
    let matrix = loop {
        let matrix = query_matrix(controllers);
        if matrix.agrees() || Instant::now() >= deadline {
            break matrix;
        }
        std::thread::sleep(POLL_INTERVAL.min(deadline.saturating_duration_since(Instant::now())));
    };
    match json {
        true => outln!("{}", serde_json::to_string_pretty(&matrix)?),
        false => out!("{}", matrix.text()),
    }
    Ok(matrix.agrees())
}

pub(crate) fn forget(
    member: SocketAddr,
    controllers: &[SocketAddr],
    keys: &Path,
    timeout: Duration,
) -> Result<bool> {
    let keys = Keys::parse(&read_text(keys)?).with_context(|| format!("{}", keys.display()))?;
    let deadline = Instant::now() + timeout;
    let mut authenticators = BTreeMap::new();
    loop {
        let mut is_pending = false;
        for (controller, answer) in controllers.iter().zip(query_all(controllers, gossip_status)) {
            let status = answer.with_context(|| format!("{controller} does not answer"))?;
            let Some(member_status) = status.members.iter().find(|m| m.member == member && m.state != "left")
            else {
                continue;
            };
            // A running member must not be evicted: it would go on using its share of the limits, although the others no
            // longer count it.
            if member_status.state != "gone" {
                bail!(
                    "{controller} holds {member} for {}; nobody was told to forget it",
                    member_status.state
                );
            }
            is_pending = true;
            let record = MemberRecord {
                member,
                incarnation: member_status.incarnation,
                refutations: member_status.refutations,
                state: MemberState::Dead,
                state_age_ms: 0,
            };
            // The authentication covers the sender's address. A socket connected to the controller determines that address.
            let (socket, authenticator) = match authenticators.entry(status.address) {
                Entry::Occupied(at) => at.into_mut(),
                Entry::Vacant(at) => {
                    let any = if status.address.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
                    let socket = UdpSocket::bind(any)?;
                    socket.connect(status.address)?;
                    let start = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH)?;
                    let authenticator = Authenticator::new(socket.local_addr()?, start.as_micros() as u64);
                    at.insert((socket, authenticator))
                }
            };
            let datagram = authenticator
                .authenticate(&eviction_packet(record), &keys)
                .context("cannot authenticate the eviction packet")?;
            socket.send(&datagram).with_context(|| format!("cannot send to {}", status.address))?;
        }
        if !is_pending {
            outln!("{member} is forgotten");
            return Ok(true);
        }
        if Instant::now() >= deadline {
            bail!("{member} counts on: not all controllers accepted the eviction; check that they use this key and know this host");
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}
