//! The faults of a run, drawn from its seed in episodes of two or three overlapping faults, and the
//! deployment of the run.

mod outages;
mod stale_lists;

use crate::ledger::NameServiceFault;
use crate::name_service::ADDRESSES;
use crate::settings::MAX_TIMEOUT_US;
use rand::{Rng, RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;
use wheelfield_fault_shim::{Call, Errno, CALL_FAULTS};

/// Time without faults before the first episode and after the last one, in microseconds.
const INITIAL_CALM_US: i64 = 3_000_000;
const FINAL_CALM_US: i64 = 7_000_000;
/// Time from the start of one episode to the start of the next, in microseconds.
const EPISODE_INTERVAL_US: i64 = 3_000_000;
/// Fraction of the episodes in which controllers cannot learn that an executor leaves.
const STALE_LIST_EPISODE_FRACTION: f64 = 0.5;
/// The faults of an episode begin within this time of each other, in microseconds.
const MAX_START_SPREAD_US: i64 = 600_000;

/// How long an address of the name service may send an old list, normally and after a reload that
/// selects that address, in milliseconds. The controllers count as informed of a change 1.5 s after
/// it, or 4 s after SIGHUP.
const MAX_STALENESS_MS: u64 = 1_400;
const MAX_STALENESS_AFTER_RELOAD_MS: u64 = 3_900;

/// A fault that is injected into a run.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// System calls fail.
    Call {
        /// The system call.
        call: Call,
        /// The error.
        errno: Errno,
        /// How many in a thousand calls fail.
        per_mille: u32,
    },
    /// Reads and writes transfer at most this many bytes.
    ShortTransfers(u32),
    /// The wall clock is stepped by this many seconds.
    WallClock(i64),
    /// The process is suspended, and resumed when the fault ends.
    Suspend,
    /// The process is asked to end, and restarted.
    Terminate,
    /// The process is killed, and restarted.
    Kill,
    /// The configuration is reloaded with another address of the name service, which keeps sending
    /// the list of the time of the reload for this many milliseconds.
    Reload(u64),
    /// Several signals within milliseconds of each other, or a series of reloads.
    Signals(SignalSeries),
    /// The proxy delays bytes by this many milliseconds.
    ProxyDelay(u64),
    /// The proxy forwards bytes one by one.
    ProxySplit,
    /// The proxy resets its connections.
    ProxyReset,
    /// The proxy forwards nothing.
    ProxyWithhold,
    /// The name service does not answer.
    NameServiceSilent,
    /// The name service delays its answers by this many milliseconds.
    NameServiceSlow(u64),
    /// The name service loses this many in a thousand answers.
    NameServiceLossy(u64),
    /// The name service sends the list of the time at which the fault begins under a number of another series, in place of this many
    /// in a thousand answers.
    NameServiceForeignNumbers(u64),
    /// The name service reports a failure in place of all answers.
    NameServiceFailing,
    /// One address of the name service keeps sending the list of the time at which the fault
    /// begins, for this many milliseconds.
    NameServiceBehind(usize, u64),
    /// An executor answers nothing.
    ExecutorHang,
    /// An executor resets its connections.
    ExecutorReset,
    /// An executor closes its idle connections.
    ExecutorCloseIdle,
    /// An executor keeps its open connections but ignores all requests on them.
    ExecutorForget,
    /// An executor rejects requests because it is full.
    ExecutorFull,
    /// The queries that an executor runs fail.
    ExecutorFail,
    /// An executor drains and stops, and another one starts.
    ExecutorDrain,
    /// An executor is taken off the list, keeps serving for a while, and another one starts.
    ExecutorUnlist,
    /// An executor crashes, and another one starts at its address.
    ExecutorCrash,
}

/// A series of signals to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalSeries {
    /// SIGHUP, then SIGSTOP.
    ReloadSuspend,
    /// SIGTERM, then SIGSTOP.
    TerminateSuspend,
    /// SIGSTOP, then SIGTERM, which is delivered when the process is resumed.
    SuspendTerminate,
    /// SIGHUP, then SIGTERM.
    ReloadTerminate,
    /// SIGTERM, SIGHUP, SIGTERM.
    TerminateReloadTerminate,
    /// This many reloads, a tenth of a second apart.
    Reloads(u32),
}

impl SignalSeries {
    /// Whether the process is suspended until the fault ends.
    pub fn suspends(self) -> bool {
        matches!(
            self,
            SignalSeries::ReloadSuspend
                | SignalSeries::TerminateSuspend
                | SignalSeries::SuspendTerminate
        )
    }
}

/// Settings of a run other than its faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Deployment {
    /// The longest timeout of a client, in microseconds.
    pub max_timeout_us: i64,
    /// The largest number of idle clients that connect to each controller.
    pub max_idle_clients: usize,
}

impl Default for Deployment {
    fn default() -> Deployment {
        Deployment {
            max_timeout_us: MAX_TIMEOUT_US,
            max_idle_clients: 0,
        }
    }
}

/// Longest client timeouts that runs are drawn from. A process that is asked to end may be killed
/// after this time and 0.7 s.
const MAX_TIMEOUTS_US: [i64; 4] = [400_000, 1_500_000, MAX_TIMEOUT_US, MAX_TIMEOUT_US];
/// The fraction of runs that have idle clients, and their number for each controller.
const IDLE_CLIENTS_FRACTION: f64 = 0.25;
const MAX_IDLE_CLIENTS: usize = 400;

impl Deployment {
    fn draw(rng: &mut impl Rng) -> Deployment {
        let has_idle_clients = rng.random_bool(IDLE_CLIENTS_FRACTION);
        Deployment {
            max_timeout_us: *pick(&MAX_TIMEOUTS_US, rng),
            max_idle_clients: if has_idle_clients {
                MAX_IDLE_CLIENTS
            } else {
                0
            },
        }
    }
}

/// A fault and the span in which it is in force, in microseconds since the start.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedFault {
    /// The fault.
    pub fault: Fault,
    /// The controllers that it affects, for a fault of controllers.
    pub controllers: Vec<usize>,
    /// Selects the executor, for a fault of an executor: an index modulo the number of executors
    /// that are up.
    pub executor_choice: usize,
    /// When it begins.
    pub from: i64,
    /// When it ends.
    pub until: i64,
}

/// The faults of a run in the order in which they begin, and its deployment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// The faults.
    pub faults: Vec<PlannedFault>,
    /// The deployment.
    pub deployment: Deployment,
}

impl Plan {
    /// Draws the faults and the deployment of a run.
    pub fn draw(seed: u64, duration: Duration, controllers: usize) -> Plan {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let deployment = Deployment::draw(&mut rng);
        let end = duration.as_micros() as i64 - FINAL_CALM_US;
        let mut faults = Vec::new();
        let mut episode_at = INITIAL_CALM_US;
        while episode_at < end {
            if rng.random_bool(STALE_LIST_EPISODE_FRACTION) {
                faults.extend(stale_lists::draw(episode_at, controllers, &mut rng));
                episode_at += EPISODE_INTERVAL_US;
                continue;
            }
            for _ in 0..rng.random_range(2..=3) {
                let from = episode_at + rng.random_range(0..MAX_START_SPREAD_US);
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
            episode_at += EPISODE_INTERVAL_US;
        }
        faults.extend(outages::draw(seed, end, controllers));
        faults.sort_by_key(|fault| fault.from);
        Plan { faults, deployment }
    }
}

/// Draws about a third of the controllers, but at least one.
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
        10 => Fault::Reload(rng.random_range(0..MAX_STALENESS_AFTER_RELOAD_MS)),
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
            rng.random_range(100..MAX_STALENESS_MS),
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

fn draw_call(rng: &mut impl Rng) -> Fault {
    let fault = pick(&CALL_FAULTS, rng);
    Fault::Call {
        call: fault.call,
        errno: *pick(fault.errors, rng),
        per_mille: fault.per_mille,
    }
}

fn pick<'a, T>(items: &'a [T], rng: &mut impl Rng) -> &'a T {
    &items[rng.random_range(0..items.len())]
}

impl Fault {
    /// Whether the fault affects controllers or their proxies, rather than executors or the name
    /// service.
    pub fn affects_controllers(&self) -> bool {
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

    /// The longest time that the fault delays bytes between clients and controllers when it is in
    /// force for `span_us`, in microseconds.
    pub fn client_delay_us(&self, span_us: i64) -> i64 {
        match self {
            Fault::ProxyDelay(ms) => micros(*ms),
            Fault::ProxySplit => SPLIT_DELAY_US,
            Fault::ProxyWithhold => span_us,
            _ => 0,
        }
    }

    /// Whether the fault keeps a controller from accepting connections, reading or answering while
    /// it lasts.
    pub fn blocks_answers(&self) -> bool {
        let is_blocking = |call: &Call| {
            matches!(
                call,
                Call::Accept | Call::ReadAccepted | Call::WriteAccepted
            )
        };
        matches!(self, Fault::Call { call, .. } if is_blocking(call)) || self.client_delay_us(1) > 0
    }

    /// The effect of the fault on the answers of the name service.
    pub fn name_service_fault(&self) -> Option<NameServiceFault> {
        match self {
            Fault::NameServiceSilent => Some(NameServiceFault::Silent),
            Fault::NameServiceSlow(ms) => Some(NameServiceFault::Slow(micros(*ms))),
            Fault::NameServiceBehind(_, ms) => Some(NameServiceFault::Stale(micros(*ms))),
            Fault::NameServiceLossy(_) => Some(NameServiceFault::Lossy),
            Fault::NameServiceForeignNumbers(_) | Fault::NameServiceFailing => {
                Some(NameServiceFault::Unusable)
            }
            _ => None,
        }
    }
}

/// By how much byte-by-byte forwarding delays a request, in microseconds.
const SPLIT_DELAY_US: i64 = 100_000;

fn micros(ms: u64) -> i64 {
    i64::try_from(ms).unwrap_or(i64::MAX / 1_000) * 1_000
}
