//! Generates the schedule of all queries of a load from a script and a seed, before the run starts.
//! No I/O.
//!
//! Intervals are drawn for a rate of one query per unit of operational time, and mapped to clock
//! time through the integral of the rate. Each kind of arrivals thereby keeps its burstiness
//! whatever the shape of the rate.

use crate::script::{Arrivals, Script, Stream, WorkDistribution};
use rand::{RngExt as _, SeedableRng as _};
use rand_distr::{Distribution as _, Exp1, Gamma, LogNormal, Pareto, Zipf};
use rand_pcg::Pcg64Mcg;

/// Maximum number of queries in a schedule.
pub const MAX_QUERIES: usize = 20_000_000;
/// Step, in microseconds, within which the rate is treated as constant.
const RATE_STEP_US: i64 = 1_000;

/// A query of the schedule.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledQuery {
    /// Send time in microseconds from the start of the run.
    pub at_us: i64,
    /// Index of its stream in the script.
    pub stream: u32,
    /// Index of its tenant among the stream's tenants; 0 if the stream has none.
    pub tenant: usize,
    /// Work in microseconds.
    pub work_us: i64,
    /// Key, from 1; 0 if the stream has no keys.
    pub key: u64,
    /// Uniform random number in [0, 1) that decides whether the client reads the answer.
    pub client_random: f32,
}

/// The script asks for more than [`MAX_QUERIES`] queries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooManyQueries;

/// Generates the schedule, sorted by send time. The same script and seed give the same schedule.
///
/// # Errors
/// Returns [`TooManyQueries`] if the schedule would exceed [`MAX_QUERIES`].
pub fn generate(script: &Script, seed: u64) -> Result<Vec<ScheduledQuery>, TooManyQueries> {
    let mut schedule = Vec::new();
    for (index, stream) in script.streams.iter().enumerate() {
        // Each stream has its own random generator, so that adding a stream leaves the others
        // unchanged.
        let seed = seed ^ (index as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let mut generator = StreamGenerator {
            script,
            stream,
            stream_index: index as u32,
            rng: Pcg64Mcg::seed_from_u64(seed),
        };
        generator.generate(&mut schedule)?;
    }
    schedule.sort_by_key(|q| (q.at_us, q.stream));
    Ok(schedule)
}

struct StreamGenerator<'a> {
    script: &'a Script,
    stream: &'a Stream,
    stream_index: u32,
    rng: Pcg64Mcg,
}

/// Alternating on and off periods. `mean_us` holds the mean lengths of the on and the off periods.
struct OnOffPeriods {
    on: bool,
    period_end: f64,
    mean_us: [f64; 2],
    alpha: f64,
}

impl OnOffPeriods {
    fn draw_period(&self, on: bool, rng: &mut Pcg64Mcg) -> f64 {
        let mean = self.mean_us[usize::from(!on)];
        let scale = mean * (self.alpha - 1.0) / self.alpha;
        Pareto::new(scale, self.alpha).map_or(mean, |p| p.sample(rng))
    }

    fn rate_factor_at(&mut self, t: f64, rng: &mut Pcg64Mcg) -> f64 {
        while t >= self.period_end {
            self.on = !self.on;
            self.period_end += self.draw_period(self.on, rng).max(1.0);
        }
        if self.on {
            (self.mean_us[0] + self.mean_us[1]) / self.mean_us[0]
        } else {
            0.0
        }
    }
}

impl StreamGenerator<'_> {
    fn draw_interval(&mut self) -> f64 {
        match self.stream.arrivals {
            Arrivals::Even => 1.0,
            Arrivals::Gamma { cv } => {
                let shape = 1.0 / (cv * cv);
                Gamma::new(shape, 1.0 / shape).map_or(1.0, |g| g.sample(&mut self.rng))
            }
            Arrivals::Poisson | Arrivals::OnOff { .. } => Exp1.sample(&mut self.rng),
        }
    }

    fn generate(&mut self, schedule: &mut Vec<ScheduledQuery>) -> Result<(), TooManyQueries> {
        let duration = self.script.duration.0 .0;
        let mut periods = match self.stream.arrivals {
            Arrivals::OnOff { on, off, alpha } => {
                let mean_us = [on.0 .0 as f64, off.0 .0 as f64];
                // Starts at a random point of the on-off cycle.
                let on = self.rng.random::<f64>() < mean_us[0] / (mean_us[0] + mean_us[1]);
                let mut p = OnOffPeriods { on, period_end: 0.0, mean_us, alpha };
                p.period_end = p.draw_period(on, &mut self.rng) * self.rng.random::<f64>();
                Some(p)
            }
            _ => None,
        };
        // Shortens the first interval at random, so that streams with equal intervals do not send
        // simultaneously.
        let mut next_arrival = self.draw_interval() * self.rng.random::<f64>();
        let mut operational_time = 0.0;
        let mut t = 0;
        while t < duration {
            let step = RATE_STEP_US.min(duration - t);
            let mut rate = self.stream.rate * self.script.rate_factor(self.stream, t) / 1e6;
            if let Some(p) = &mut periods {
                rate *= p.rate_factor_at(t as f64, &mut self.rng);
            }
            let operational_end = operational_time + rate * step as f64;
            while next_arrival < operational_end {
                let at_us = t + ((next_arrival - operational_time) / rate) as i64;
                if schedule.len() >= MAX_QUERIES {
                    return Err(TooManyQueries);
                }
                let query = self.query_at(at_us.min(t + step - 1));
                schedule.push(query);
                next_arrival += self.draw_interval();
            }
            operational_time = operational_end;
            t += step;
        }
        Ok(())
    }

    fn query_at(&mut self, at_us: i64) -> ScheduledQuery {
        let stream = self.stream;
        let rng = &mut self.rng;
        let total_share: f64 = stream.tenants.iter().map(|t| t.share).sum();
        let mut remaining_share = rng.random::<f64>() * total_share;
        let tenant = stream.tenants.iter().position(|t| {
            remaining_share -= t.share;
            remaining_share < 0.0
        });
        let work = match stream.work {
            WorkDistribution::None => 0.0,
            WorkDistribution::Constant { mean } => mean.0 .0 as f64,
            WorkDistribution::Lognormal { mean, cv } => {
                let sigma = (1.0 + cv * cv).ln().sqrt();
                let factor = LogNormal::new(-sigma * sigma / 2.0, sigma).map_or(1.0, |d| d.sample(rng));
                mean.0 .0 as f64 * factor
            }
            WorkDistribution::Pareto { mean, alpha } => {
                let scale = mean.0 .0 as f64 * (alpha - 1.0) / alpha;
                Pareto::new(scale.max(1.0), alpha).map_or(mean.0 .0 as f64, |d| d.sample(rng))
            }
        };
        let key = match stream.keys.count {
            0 => 0,
            n if stream.keys.zipf_exponent > 0.0 => {
                Zipf::new(n as f64, stream.keys.zipf_exponent).map_or(1.0, |z| z.sample(rng)) as u64
            }
            n => rng.random_range(1..=n),
        };
        ScheduledQuery {
            at_us,
            stream: self.stream_index,
            tenant: tenant.unwrap_or(0),
            // At most one hour.
            work_us: work.min(3.6e9) as i64,
            key,
            client_random: rng.random(),
        }
    }
}
