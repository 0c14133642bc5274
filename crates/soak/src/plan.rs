//! The faults of a run, drawn from its seed: episodes of two or three that overlap; and the deployment that it plays.

mod stale_lists;

use crate::ledger::TellingFault;
use crate::name_service::ADDRESSES;
use crate::settings::LONGEST_TIMEOUT_US;
use rand::{Rng, RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;
use wheelfield_fault_shim::{Call, Errno};

/// Time before the first episode and after the last one, in microseconds.
const CALM_AT_START_US: i64 = 3_000_000;
const CALM_AT_END_US: i64 = 7_000_000;
/// Time from one episode to the next, in microseconds.
const EPISODE_US: i64 = 3_000_000;
/// This part of all episodes hides the list of executors as one leaves.
const STALE_LIST_EPISODES: f64 = 0.5;
/// Faults of an episode begin within this time of each other, in microseconds.
const OVERLAP_US: i64 = 600_000;

/// An address of the name service may tell an older list for so long, and for longer after a configuration that names it, in
/// milliseconds: what happened is told 1.5 s later, and 4 s after SIGHUP.
const MAX_BEHIND_MS: u64 = 1_400;
const MAX_BEHIND_AFTER_RELOAD_MS: u64 = 3_900;

/// A fault.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Calls to the system fail.
    Call {
        /// Which.
        call: Call,
        /// With which error.
        errno: Errno,
        /// How many of a thousand.
        per_mille: u32,
    },
    /// Reads and writes move so many bytes at most.
    ShortTransfers(u32),
    /// The wall clock is stepped by so many seconds.
    WallClock(i64),
    /// The process is suspended, and resumed as the fault ends.
    Suspend,
    /// The process is asked to end, and started again.
    Terminate,
    /// The process is killed, and started again.
    Kill,
    /// The configuration is read again, with another address of the name service, which tells the list of before for so many
    /// milliseconds.
    Reload(u64),
    /// Signals within milliseconds of each other, or one reload after the other.
    Signals(SignalSeries),
    /// The proxy holds up bytes for so many milliseconds.
    ProxyDelay(u64),
    /// The proxy passes bytes on one by one.
    ProxySplit,
    /// The proxy resets its connections.
    ProxyReset,
    /// The proxy passes on nothing.
    ProxyWithhold,
    /// The name service does not answer.
    NameServiceSilent,
    /// The name service answers after so many milliseconds.
    NameServiceSlow(u64),
    /// The name service loses so many of a thousand answers.
    NameServiceLossy(u64),
    /// One address of the name service tells the list of before for so many milliseconds.
    NameServiceBehind(usize, u64),
    /// An executor answers nothing.
    ExecutorHang,
    /// An executor resets its connections.
    ExecutorReset,
    /// An executor closes its idle connections.
    ExecutorCloseIdle,
    /// An executor forgets its connections: it keeps them open and ignores what comes on them.
    ExecutorForget,
    /// An executor is full.
    ExecutorFull,
    /// An executor fails what it gets.
    ExecutorFail,
    /// An executor drains, goes, and another one starts.
    ExecutorDrain,
    /// An executor is taken off the list, serves on for a while, and another one starts.
    ExecutorUnlist,
    /// An executor crashes, and another one starts at its address.
    ExecutorCrash,
}

/// Signals that a process gets in series.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalSeries {
    /// HUP, then STOP.
    ReloadSuspend,
    /// TERM, then STOP.
    TerminateSuspend,
    /// STOP, then TERM, which is taken as the process is resumed.
    SuspendTerminate,
    /// HUP, then TERM.
    ReloadTerminate,
    /// TERM, HUP, TERM.
    TerminateReloadTerminate,
    /// So many configurations, a tenth of a second between them.
    Reloads(u32),
}

impl SignalSeries {
    /// Whether the process is suspended, until the fault ends.
    pub fn suspends(self) -> bool {
        matches!(
            self,
            SignalSeries::ReloadSuspend
                | SignalSeries::TerminateSuspend
                | SignalSeries::SuspendTerminate
        )
    }
}

/// What a run plays beside its faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Deployment {
    /// The longest time that a client waits, in microseconds.
    pub longest_timeout_us: i64,
    /// Idle clients that come to each controller, at most.
    pub crowd: usize,
}

impl Default for Deployment {
    fn default() -> Deployment {
        Deployment {
            longest_timeout_us: LONGEST_TIMEOUT_US,
            crowd: 0,
        }
    }
}

/// Longest timeouts of a run: a process that is asked to end may be killed that much and 0.7 s later.
const LONGEST_TIMEOUTS_US: [i64; 4] = [400_000, 1_500_000, LONGEST_TIMEOUT_US, LONGEST_TIMEOUT_US];
/// One in so many runs has a crowd of idle clients, of so many for each controller.
const CROWDED_RUNS: f64 = 0.25;
const CROWD: usize = 400;

impl Deployment {
    fn draw(rng: &mut impl Rng) -> Deployment {
        let is_crowded = rng.random_bool(CROWDED_RUNS);
        Deployment {
            longest_timeout_us: *pick(&LONGEST_TIMEOUTS_US, rng),
            crowd: if is_crowded { CROWD } else { 0 },
        }
    }
}

/// A fault and when it is in force, in microseconds since the start.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedFault {
    /// The fault.
    pub fault: Fault,
    /// The controllers it concerns, where it concerns some of them.
    pub controllers: Vec<usize>,
    /// Picks the executor, where it concerns one: counted round among those that are up.
    pub executor_choice: usize,
    /// When it begins.
    pub from: i64,
    /// When it ends.
    pub until: i64,
}

/// All faults of a run, in order of their beginnings, and its deployment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// The faults.
    pub faults: Vec<PlannedFault>,
    /// The deployment.
    pub deployment: Deployment,
}

impl Plan {
    /// Draws the faults of a run.
    pub fn draw(seed: u64, duration: Duration, controllers: usize) -> Plan {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let deployment = Deployment::draw(&mut rng);
        let end = duration.as_micros() as i64 - CALM_AT_END_US;
        let mut faults = Vec::new();
        let mut episode_at = CALM_AT_START_US;
        while episode_at < end {
            if rng.random_bool(STALE_LIST_EPISODES) {
                faults.extend(stale_lists::draw(episode_at, controllers, &mut rng));
                episode_at += EPISODE_US;
                continue;
            }
            for _ in 0..rng.random_range(2..=3) {
                let from = episode_at + rng.random_range(0..OVERLAP_US);
                let fault = draw_fault(&mut rng);
                let until = from + draw_duration(&fault, &mut rng);
                let controllers = draw_controllers(controllers, &mut rng);
                let executor_choice = rng.random_range(0..64);
                faults.push(PlannedFault {
                    fault,
                    controllers,
                    executor_choice,
                    from,
                    until,
                });
            }
            episode_at += EPISODE_US;
        }
        faults.sort_by_key(|fault| fault.from);
        Plan { faults, deployment }
    }
}

/// A third of the controllers, at least one.
fn draw_controllers(count: usize, rng: &mut impl Rng) -> Vec<usize> {
    let mut drawn: Vec<usize> = (0..count).filter(|_| rng.random_bool(1.0 / 3.0)).collect();
    if drawn.is_empty() {
        drawn.push(rng.random_range(0..count));
    }
    drawn
}

fn draw_duration(fault: &Fault, rng: &mut impl Rng) -> i64 {
    match fault {
        Fault::Suspend => rng.random_range(100_000..3_200_000),
        Fault::Signals(series) if series.suspends() => rng.random_range(100_000..2_500_000),
        Fault::Call { .. } | Fault::ShortTransfers(_) => rng.random_range(200_000..1_500_000),
        Fault::ProxyWithhold => rng.random_range(100_000..900_000),
        Fault::NameServiceSilent => rng.random_range(500_000..8_000_000),
        Fault::NameServiceSlow(_) => rng.random_range(1_000_000..6_000_000),
        Fault::ExecutorHang => rng.random_range(500_000..4_000_000),
        _ => rng.random_range(500_000..2_000_000),
    }
}

fn draw_fault(rng: &mut impl Rng) -> Fault {
    match rng.random_range(0..30) {
        0..4 => draw_call(rng),
        4 => Fault::ShortTransfers(rng.random_range(1..16)),
        5 => Fault::WallClock(*pick(&[-3_600, -5, 5, 3_600], rng)),
        6 => Fault::Suspend,
        7..9 => Fault::Terminate,
        9 => Fault::Kill,
        10 => Fault::Reload(rng.random_range(0..MAX_BEHIND_AFTER_RELOAD_MS)),
        11..14 => Fault::Signals(draw_signals(rng)),
        14 => Fault::ProxyDelay(rng.random_range(5..200)),
        15 => Fault::ProxySplit,
        16 => Fault::ProxyReset,
        17 => Fault::ProxyWithhold,
        18 => Fault::NameServiceSilent,
        19 => Fault::NameServiceSlow(rng.random_range(100..3_000)),
        20 => Fault::NameServiceLossy(rng.random_range(200..600)),
        21 => Fault::NameServiceBehind(
            rng.random_range(0..ADDRESSES),
            rng.random_range(100..MAX_BEHIND_MS),
        ),
        22 => Fault::ExecutorHang,
        23 => Fault::ExecutorReset,
        24 => Fault::ExecutorCloseIdle,
        25 => pick(
            &[
                Fault::ExecutorForget,
                Fault::ExecutorFull,
                Fault::ExecutorFail,
            ],
            rng,
        )
        .clone(),
        26..28 => Fault::ExecutorDrain,
        28 => Fault::ExecutorUnlist,
        _ => Fault::ExecutorCrash,
    }
}

fn draw_signals(rng: &mut impl Rng) -> SignalSeries {
    let reloads = rng.random_range(2..20);
    *pick(
        &[
            SignalSeries::ReloadSuspend,
            SignalSeries::TerminateSuspend,
            SignalSeries::SuspendTerminate,
            SignalSeries::ReloadTerminate,
            SignalSeries::TerminateReloadTerminate,
            SignalSeries::Reloads(reloads),
        ],
        rng,
    )
}

/// Errors that Linux documents for a call, and how many of a thousand calls they hit.
const CALL_FAULTS: [(Call, &[Errno], u32); 13] = [
    (
        Call::Accept,
        &[
            Errno::FileTableOverflow,
            Errno::TooManyFiles,
            Errno::ConnectionAborted,
            Errno::NoBufferSpace,
            Errno::Interrupted,
        ],
        1_000,
    ),
    (Call::Register, &[Errno::NoMemory], 1_000),
    (
        Call::Connect,
        &[
            Errno::AddressNotAvailable,
            Errno::NetworkUnreachable,
            Errno::NoBufferSpace,
            Errno::TimedOut,
            Errno::HostUnreachable,
        ],
        700,
    ),
    (
        Call::Socket,
        &[Errno::FileTableOverflow, Errno::NoBufferSpace],
        700,
    ),
    (Call::Bind, &[Errno::AddressInUse], 1_000),
    (Call::Wait, &[Errno::Interrupted], 500),
    (
        Call::ReadAccepted,
        &[Errno::Interrupted, Errno::NoMemory],
        300,
    ),
    (
        Call::WriteAccepted,
        &[Errno::Interrupted, Errno::NoBufferSpace, Errno::NoMemory],
        500,
    ),
    (
        Call::ReadConnected,
        &[Errno::Interrupted, Errno::NoMemory],
        300,
    ),
    (
        Call::ReadConnected,
        &[Errno::TimedOut, Errno::HostUnreachable],
        20,
    ),
    (
        Call::WriteConnected,
        &[Errno::Interrupted, Errno::NoBufferSpace],
        500,
    ),
    (
        Call::SendDatagram,
        &[Errno::NoBufferSpace, Errno::NetworkUnreachable],
        1_000,
    ),
    (
        Call::ReceiveDatagram,
        &[Errno::NoMemory, Errno::Interrupted],
        500,
    ),
];

fn draw_call(rng: &mut impl Rng) -> Fault {
    let (call, errors, per_mille) = *pick(&CALL_FAULTS, rng);
    Fault::Call {
        call,
        errno: *pick(errors, rng),
        per_mille,
    }
}

fn pick<'a, T>(items: &'a [T], rng: &mut impl Rng) -> &'a T {
    &items[rng.random_range(0..items.len())]
}

impl Fault {
    /// Whether it concerns some of the controllers, and no executor or service.
    pub fn concerns_controllers(&self) -> bool {
        matches!(
            self,
            Fault::Call { .. }
                | Fault::ShortTransfers(_)
                | Fault::WallClock(_)
                | Fault::Suspend
                | Fault::Terminate
                | Fault::Kill
                | Fault::Reload(_)
                | Fault::Signals(_)
                | Fault::ProxyDelay(_)
                | Fault::ProxySplit
                | Fault::ProxyReset
                | Fault::ProxyWithhold
        )
    }

    /// For how long it may hold up bytes between clients and controllers, in microseconds, if it is in force for this long.
    pub fn client_delay_us(&self, span_us: i64) -> i64 {
        match self {
            Fault::ProxyDelay(ms) => micros(*ms),
            Fault::ProxySplit => SPLIT_DELAY_US,
            Fault::ProxyWithhold => span_us,
            _ => 0,
        }
    }

    /// Whether it keeps a controller from accepting, reading or answering while it lasts.
    pub fn holds_up_answers(&self) -> bool {
        let is_held_up = |call: &Call| {
            matches!(
                call,
                Call::Accept | Call::ReadAccepted | Call::WriteAccepted
            )
        };
        matches!(self, Fault::Call { call, .. } if is_held_up(call)) || self.client_delay_us(1) > 0
    }

    /// What it does to the answers of the name service.
    pub fn telling(&self) -> Option<TellingFault> {
        match self {
            Fault::NameServiceSilent => Some(TellingFault::Silent),
            Fault::NameServiceSlow(ms) => Some(TellingFault::Slow(micros(*ms))),
            Fault::NameServiceBehind(_, ms) => Some(TellingFault::Behind(micros(*ms))),
            Fault::NameServiceLossy(_) => Some(TellingFault::Lossy),
            _ => None,
        }
    }
}

/// What a request that is passed on byte by byte takes longer, in microseconds.
const SPLIT_DELAY_US: i64 = 100_000;

fn micros(ms: u64) -> i64 {
    i64::try_from(ms).unwrap_or(i64::MAX / 1_000) * 1_000
}
