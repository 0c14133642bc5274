//! All sends of a load, drawn by a seed before anything runs. No I/O.
//!
//! Gaps are drawn in operational time, in which the rate is one, and mapped to the clock by the integral of the rate; so
//! each kind of arrivals keeps its burstiness under each shape.

use crate::script::{Amount, Arrivals, Script, Stream};
use rand::{RngExt as _, SeedableRng as _};
use rand_distr::{Distribution as _, Exp1, Gamma, LogNormal, Pareto, Zipf};
use rand_pcg::Pcg64Mcg;

/// Sends at most.
pub const MOST_SENDS: usize = 20_000_000;
/// The rate is taken as constant for so long, in microseconds.
const GRAIN: i64 = 1_000;

/// A query that is to be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Send {
    /// When, in microseconds from the start.
    pub at: i64,
    /// Of which stream.
    pub stream: u32,
    /// By which of its tenants.
    pub tenant: usize,
    /// Its work in microseconds.
    pub work_us: i64,
    /// Its key.
    pub key: u64,
    /// A number of 0 to 1 for whatever its client does by chance.
    pub chance: f32,
}

/// More sends than are held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooMany;

/// Draws all sends, by time. The same script and seed draw the same.
///
/// # Errors
/// [`TooMany`].
pub fn draw(script: &Script, seed: u64) -> Result<Vec<Send>, TooMany> {
    let mut all = Vec::new();
    for (i, stream) in script.streams.iter().enumerate() {
        // A source for each stream, so that one more leaves the others as they are.
        let seed = seed ^ (i as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let mut source = Source { script, stream, number: i as u32, chance: Pcg64Mcg::seed_from_u64(seed) };
        source.draw(&mut all)?;
    }
    all.sort_by_key(|s| (s.at, s.stream));
    Ok(all)
}

struct Source<'a> {
    script: &'a Script,
    stream: &'a Stream,
    number: u32,
    chance: Pcg64Mcg,
}

/// Times on and off, each of a Pareto distribution of this mean.
struct Switch {
    on: bool,
    until: f64,
    means: [f64; 2],
    alpha: f64,
}

impl Switch {
    fn time(&self, on: bool, chance: &mut Pcg64Mcg) -> f64 {
        let mean = self.means[usize::from(!on)];
        let least = mean * (self.alpha - 1.0) / self.alpha;
        Pareto::new(least, self.alpha).map_or(mean, |p| p.sample(chance))
    }

    fn at(&mut self, t: f64, chance: &mut Pcg64Mcg) -> f64 {
        while t >= self.until {
            self.on = !self.on;
            self.until += self.time(self.on, chance).max(1.0);
        }
        if self.on {
            (self.means[0] + self.means[1]) / self.means[0]
        } else {
            0.0
        }
    }
}

impl Source<'_> {
    fn gap(&mut self) -> f64 {
        match self.stream.arrivals {
            Arrivals::Even => 1.0,
            Arrivals::Gamma { cv } => {
                let shape = 1.0 / (cv * cv);
                Gamma::new(shape, 1.0 / shape).map_or(1.0, |g| g.sample(&mut self.chance))
            }
            Arrivals::Poisson | Arrivals::OnOff { .. } => Exp1.sample(&mut self.chance),
        }
    }

    fn draw(&mut self, all: &mut Vec<Send>) -> Result<(), TooMany> {
        let length = self.script.length.0 .0;
        let mut switch = match self.stream.arrivals {
            Arrivals::OnOff { on, off, alpha } => {
                let means = [on.0 .0 as f64, off.0 .0 as f64];
                // Begins at a random place of the cycle.
                let on = self.chance.random::<f64>() < means[0] / (means[0] + means[1]);
                let mut s = Switch { on, until: 0.0, means, alpha };
                s.until = s.time(on, &mut self.chance) * self.chance.random::<f64>();
                Some(s)
            }
            _ => None,
        };
        // The first gap is cut, so that equal steps of several streams don't coincide.
        let mut next = self.gap() * self.chance.random::<f64>();
        let mut passed = 0.0;
        let mut t = 0;
        while t < length {
            let grain = GRAIN.min(length - t);
            let mut rate = self.stream.rate * self.script.pace(self.stream, t) / 1e6;
            if let Some(s) = &mut switch {
                rate *= s.at(t as f64, &mut self.chance);
            }
            let upto = passed + rate * grain as f64;
            while next < upto {
                let at = t + ((next - passed) / rate) as i64;
                if all.len() >= MOST_SENDS {
                    return Err(TooMany);
                }
                let send = self.one(at.min(t + grain - 1));
                all.push(send);
                next += self.gap();
            }
            passed = upto;
            t += grain;
        }
        Ok(())
    }

    fn one(&mut self, at: i64) -> Send {
        let s = self.stream;
        let chance = &mut self.chance;
        let total: f64 = s.tenants.iter().map(|t| t.share).sum();
        let mut mark = chance.random::<f64>() * total;
        let tenant = s.tenants.iter().position(|t| {
            mark -= t.share;
            mark < 0.0
        });
        let work = match s.work {
            Amount::None => 0.0,
            Amount::Constant { mean } => mean.0 .0 as f64,
            Amount::Lognormal { mean, spread } => {
                let sigma = (1.0 + spread * spread).ln().sqrt();
                let drawn = LogNormal::new(-sigma * sigma / 2.0, sigma).map_or(1.0, |d| d.sample(chance));
                mean.0 .0 as f64 * drawn
            }
            Amount::Pareto { mean, alpha } => {
                let least = mean.0 .0 as f64 * (alpha - 1.0) / alpha;
                Pareto::new(least.max(1.0), alpha).map_or(mean.0 .0 as f64, |d| d.sample(chance))
            }
        };
        let key = match s.keys.count {
            0 => 0,
            n if s.keys.zipf > 0.0 => {
                Zipf::new(n as f64, s.keys.zipf).map_or(1.0, |z| z.sample(chance)) as u64
            }
            n => chance.random_range(1..=n),
        };
        Send {
            at,
            stream: self.number,
            tenant: tenant.unwrap_or(0),
            work_us: work.min(3.6e9) as i64,
            key,
            chance: chance.random(),
        }
    }
}
