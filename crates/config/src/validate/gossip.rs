//! `[gossip]` and `[peers]`: how controllers discover each other and exchange messages.

use super::source::{milliseconds, seconds, ConfigResult, Source};
use crate::model::{Gossip, PeerMessageLimits, Peers};
use crate::schema::{self, File};
use crate::units::Size;
use toml::Spanned;
use wheelfield::interface::Micros;

const MAX_SEEDS: usize = 64;
const MAX_PEERS: usize = 4095;
const MIN_PROBE_INTERVAL: Micros = milliseconds(10);
/// The minimum rate limit of messages, in bytes per second. A lower limit would not let a single datagram pass.
const MIN_BYTES_PER_SECOND: u64 = 2_000;
const DEFAULT_BYTES_PER_PEER: u64 = 16 << 10;
const DEFAULT_TOTAL_BYTES: u64 = 1 << 20;

/// How messages to other controllers are sent: with gossip, or to a fixed list of peers.
pub(super) struct Messaging {
    /// Rate limits of messages that are sent with gossip, if there are any.
    pub message_limits: Option<PeerMessageLimits>,
    /// The fixed list of the other controllers, if gossip is not configured.
    pub peers: Option<Peers>,
}

/// Validates the settings for messages to other controllers. If `peer_messages` is set, `[gossip]` or `[peers]` is
/// required.
pub(super) fn validate_messaging(
    source: &Source<'_>,
    file: &File,
    peer_messages: bool,
) -> ConfigResult<Messaging> {
    let message_limits = (file.gossip.is_some() && peer_messages)
        .then(|| validate_message_limits(source, file.peers.as_ref().map(Spanned::get_ref)))
        .transpose()?;
    // With gossip, messages are exchanged only through it, so the addresses in [peers] are not used. They are not
    // checked either, because one file may serve earlier versions, which read them.
    let peers_section = file.peers.as_ref().filter(|_| file.gossip.is_none());
    let peers = peers_section
        .map(|spanned| validate_peers(source, spanned))
        .transpose()?;
    if peer_messages && peers.is_none() && file.gossip.is_none() {
        let suggestion = "add [gossip] or [peers], or write messages = false under [means]";
        return Err(source.error(
            &file.fleet,
            "peer messages are enabled, but no other controller is configured",
            suggestion,
        ));
    }
    Ok(Messaging {
        message_limits,
        peers,
    })
}

/// Validates `[gossip]`. `message_limits` are the rate limits of messages that are sent with it.
pub(super) fn validate(
    source: &Source<'_>,
    section: &schema::Gossip,
    message_limits: Option<PeerMessageLimits>,
) -> ConfigResult<Gossip> {
    let seeds = &section.seeds;
    if seeds.len() > MAX_SEEDS {
        let problem = format!("{} gossip seeds are too many", seeds.len());
        return Err(source.error(
            &seeds[MAX_SEEDS],
            problem,
            "list at most 64; gossip discovers the other members",
        ));
    }
    let gossip = Gossip {
        listen: source.parse_loopback_address(&section.listen)?,
        advertised_address: section
            .advertised_address
            .as_ref()
            .map(|spanned| source.parse_loopback_address(spanned))
            .transpose()?,
        seeds: seeds
            .iter()
            .map(|spanned| source.parse_loopback_address(spanned))
            .collect::<ConfigResult<Vec<_>>>()?,
        keys_file: section.keys_file.get_ref().into(),
        probe_interval: source.time_or(section.probe_interval.as_ref(), seconds(1), "period")?,
        quorum_evicts: section.eviction == schema::EvictionPolicy::Quorum,
        evict_after: source.time_or(section.evict_after.as_ref(), seconds(600), "hold")?,
        startup_grace: source.time_or(section.startup_grace.as_ref(), seconds(30), "settle")?,
        message_limits,
    };
    check_gossip(source, section, &gossip)?;
    Ok(gossip)
}

fn check_gossip(
    source: &Source<'_>,
    section: &schema::Gossip,
    gossip: &Gossip,
) -> ConfigResult<()> {
    if let Some(spanned) = section
        .probe_interval
        .as_ref()
        .filter(|_| gossip.probe_interval < MIN_PROBE_INTERVAL)
    {
        return Err(source.error(
            spanned,
            "`period` is under 10ms",
            "write a time from 100ms to 10s",
        ));
    }
    // Without `hold`, its default must be long enough for `period`.
    let eviction = section.evict_after.as_ref();
    if let Some(spanned) = eviction
        .or(section.probe_interval.as_ref())
        .filter(|_| gossip.evict_after < gossip.probe_interval + gossip.probe_interval)
    {
        let problem = "a member could be evicted before its failure is detected";
        return Err(source.error(spanned, problem, "make `hold` many times `period`"));
    }
    let has_no_port = gossip
        .advertised_address
        .is_some_and(|address| address.port() == 0);
    if let Some(spanned) = section.advertised_address.as_ref().filter(|_| has_no_port) {
        let suggestion = "write the address and port at which other controllers reach this one";
        return Err(source.error(spanned, "the advertised address has no port", suggestion));
    }
    Ok(())
}

fn validate_message_limits(
    source: &Source<'_>,
    section: Option<&schema::Peers>,
) -> ConfigResult<PeerMessageLimits> {
    let per_peer = section.and_then(|peers| peers.bytes_per_second_per_peer.as_ref());
    let total = section.and_then(|peers| peers.total_bytes_per_second.as_ref());
    Ok(PeerMessageLimits {
        bytes_per_second_per_peer: bytes_per_second(source, per_peer, DEFAULT_BYTES_PER_PEER)?,
        total_bytes_per_second: bytes_per_second(source, total, DEFAULT_TOTAL_BYTES)?,
    })
}

fn bytes_per_second(
    source: &Source<'_>,
    spanned: Option<&Spanned<Size>>,
    default: u64,
) -> ConfigResult<u64> {
    match spanned {
        Some(spanned) if spanned.get_ref().0 < MIN_BYTES_PER_SECOND => Err(source.error(
            spanned,
            "the limit is below one datagram a second",
            "write 2KB or more",
        )),
        Some(spanned) => Ok(spanned.get_ref().0),
        None => Ok(default),
    }
}

fn validate_peers(source: &Source<'_>, spanned: &Spanned<schema::Peers>) -> ConfigResult<Peers> {
    let section = spanned.get_ref();
    let Some(listen) = &section.listen else {
        let suggestion = "add `listen`, or configure [gossip] instead";
        return Err(source.error(spanned, "[peers] has no `listen` address", suggestion));
    };
    let addresses = section
        .addresses
        .iter()
        .map(|spanned| source.parse_loopback_address(spanned));
    let addresses = addresses.collect::<ConfigResult<Vec<_>>>()?;
    if addresses.len() > MAX_PEERS {
        return Err(source.error(
            spanned,
            format!("{} peers are too many", addresses.len()),
            "list at most 4095",
        ));
    }
    Ok(Peers {
        listen: source.parse_loopback_address(listen)?,
        addresses,
    })
}
