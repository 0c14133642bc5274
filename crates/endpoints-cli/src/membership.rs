//! The commands about the membership: who hears whom, and who is forgotten.

use crate::{ask_all, text};
use anyhow::{bail, Context, Result};
use serde::Deserialize;
use std::collections::btree_map::{BTreeMap, Entry};
use std::net::{SocketAddr, UdpSocket};
use std::path::Path;
use std::time::{Duration, Instant};
use wheelfield_endpoints_cli::peers::{Matrix, Told};
use wheelfield_gossip::authentication::{Authenticator, Keys};
use wheelfield_gossip::{eviction_packet, MemberRecord, MemberState};

/// Between two looks at the controllers.
const LOOK: Duration = Duration::from_millis(200);

/// What a controller says of the others.
fn told(status: &serde_json::Value) -> Result<Told> {
    let gossip = status.get("gossip").context("it does not find out by gossip how many there are")?;
    Told::deserialize(gossip).context("what it says of the others can't be read")
}

/// Who hears whom now.
fn matrix(controllers: &[SocketAddr]) -> Matrix {
    let (mut all, mut silent) = (Vec::new(), Vec::new());
    for (controller, answer) in controllers.iter().zip(ask_all(controllers, told)) {
        match answer {
            Ok(told) => all.push(told),
            Err(fault) => silent.push(format!("{controller}: {fault:#}")),
        }
    }
    Matrix::new(&all, silent)
}

pub(crate) fn peers(controllers: &[SocketAddr], within: Duration, json: bool) -> Result<bool> {
    let until = Instant::now() + within;
    let matrix = loop {
        let matrix = matrix(controllers);
        if matrix.agrees() || Instant::now() >= until {
            break matrix;
        }
        std::thread::sleep(LOOK.min(until.saturating_duration_since(Instant::now())));
    };
    match json {
        true => println!("{}", serde_json::to_string_pretty(&matrix)?),
        false => print!("{}", matrix.text()),
    }
    Ok(matrix.agrees())
}

pub(crate) fn forget(
    member: SocketAddr,
    controllers: &[SocketAddr],
    keys: &Path,
    within: Duration,
) -> Result<bool> {
    let keys = Keys::parse(&text(keys)?).with_context(|| format!("{}", keys.display()))?;
    let until = Instant::now() + within;
    let mut authenticators = BTreeMap::new();
    loop {
        let mut waits = false;
        for (controller, answer) in controllers.iter().zip(ask_all(controllers, told)) {
            let told = answer.with_context(|| format!("{controller} does not answer"))?;
            let Some(m) = told.members.iter().find(|m| m.member == member && m.standing != "left") else {
                continue;
            };
            // Guards against letting go of one that runs: it would take its part while nobody counts it.
            if m.standing != "gone" {
                bail!("{controller} holds {member} for {}; nobody was told to forget it", m.standing);
            }
            waits = true;
            let record = MemberRecord {
                member,
                incarnation: m.start,
                refutations: m.denials,
                state: MemberState::Dead,
                state_age_ms: 0,
            };
            // The seal holds from where it comes: the address by which that controller is reached.
            let (socket, authenticator) = match authenticators.entry(told.own) {
                Entry::Occupied(at) => at.into_mut(),
                Entry::Vacant(at) => {
                    let any = if told.own.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
                    let socket = UdpSocket::bind(any)?;
                    socket.connect(told.own)?;
                    let start = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH)?;
                    let authenticator = Authenticator::new(socket.local_addr()?, start.as_micros() as u64);
                    at.insert((socket, authenticator))
                }
            };
            let datagram =
                authenticator.authenticate(&eviction_packet(record), &keys).context("no datagram")?;
            socket.send(&datagram).with_context(|| format!("{} can't be told", told.own))?;
        }
        if !waits {
            println!("{member} is forgotten");
            return Ok(true);
        }
        if Instant::now() >= until {
            bail!("{member} counts on: not all took the word; is it the controllers' key, and this a host that they know?");
        }
        std::thread::sleep(LOOK);
    }
}
