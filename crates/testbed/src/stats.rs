//! Whether two builds, configurations or policies differ, and by how much: paired by seed. No I/O.

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use statrs::distribution::{ContinuousCDF as _, Normal, StudentsT};

/// Resamplings of a bootstrap.
const DRAWS: usize = 2_000;
/// Intervals are of this level. A null comparison is called a difference in two of a hundred.
pub const LEVEL: f64 = 0.98;
/// Power for which the number of seeds is reckoned.
const POWER: f64 = 0.8;

/// Mean and its interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Interval {
    /// Lower end,
    pub low: f64,
    /// middle,
    pub mean: f64,
    /// upper end.
    pub high: f64,
}

fn mean(xs: &[f64]) -> f64 {
    xs.iter().sum::<f64>() / xs.len().max(1) as f64
}

/// Standard deviation, of a sample.
pub fn deviation(xs: &[f64]) -> f64 {
    if xs.len() < 2 {
        return 0.0;
    }
    let m = mean(xs);
    (xs.iter().map(|x| (x - m).powi(2)).sum::<f64>() / (xs.len() - 1) as f64).sqrt()
}

/// The mean with a percentile bootstrap interval; the same figures and seed give the same interval.
pub fn bootstrap(xs: &[f64], seed: u64) -> Interval {
    let m = mean(xs);
    if xs.len() < 2 {
        return Interval { low: m, mean: m, high: m };
    }
    let mut chance = Pcg64Mcg::seed_from_u64(seed);
    let mut means: Vec<f64> = (0..DRAWS)
        .map(|_| (0..xs.len()).map(|_| xs[chance.random_range(0..xs.len())]).sum::<f64>() / xs.len() as f64)
        .collect();
    means.sort_by(f64::total_cmp);
    let at = |q: f64| means[((DRAWS - 1) as f64 * q).round() as usize];
    Interval { low: at((1.0 - LEVEL) / 2.0), mean: m, high: at((1.0 + LEVEL) / 2.0) }
}

/// What a comparison came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The second is better.
    Better,
    /// It is worse.
    Worse,
    /// Chance alone may have made the difference.
    #[serde(rename = "not_told_apart")]
    Inconclusive,
}

/// Two samples, paired by seed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Compared {
    /// Pairs.
    pub pairs: usize,
    /// Mean of the first,
    pub first: f64,
    /// and of the second.
    pub second: f64,
    /// The second less the first.
    pub difference: Interval,
    /// Mean difference over the deviation of differences; 0 where they don't vary.
    pub effect: f64,
    /// Pairs needed to tell a difference like this, four times in five; none if there is no difference to tell.
    pub needed: Option<u64>,
    /// What it came to.
    pub verdict: Verdict,
}

/// Compares paired figures. A difference counts if both the bootstrap interval and Student's t interval of the mean
/// difference leave zero out: the one does not mind the shape, the other does not trust a few pairs too much.
pub fn compare(first: &[f64], second: &[f64], higher_is_better: bool, seed: u64) -> Compared {
    let n = first.len().min(second.len());
    let differences: Vec<f64> = (0..n).map(|i| second[i] - first[i]).collect();
    let difference = bootstrap(&differences, seed);
    let s = deviation(&differences);
    let effect = if s > 0.0 { difference.mean / s } else { 0.0 };
    let half = if n >= 2 {
        let t = StudentsT::new(0.0, 1.0, (n - 1) as f64)
            .map_or(f64::INFINITY, |t| t.inverse_cdf((1.0 + LEVEL) / 2.0));
        t * s / (n as f64).sqrt()
    } else {
        f64::INFINITY
    };
    let apart = n >= 2
        && difference.mean != 0.0
        && difference.mean.abs() > half
        && (difference.low > 0.0 || difference.high < 0.0);
    let verdict = match apart {
        false => Verdict::Inconclusive,
        true if (difference.mean > 0.0) == higher_is_better => Verdict::Better,
        true => Verdict::Worse,
    };
    let needed = Normal::new(0.0, 1.0).ok().filter(|_| effect != 0.0).map(|z| {
        let sum = z.inverse_cdf((1.0 + LEVEL) / 2.0) + z.inverse_cdf(POWER);
        // Two more for the deviation's not being known.
        ((sum / effect).powi(2).ceil() as u64).saturating_add(2)
    });
    Compared {
        pairs: n,
        first: mean(&first[..n]),
        second: mean(&second[..n]),
        difference,
        effect,
        needed,
        verdict,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand_distr::{Distribution as _, LogNormal, Normal as Bell};

    /// Paired services: days differ much, and what is compared on a day little.
    fn pairs(seed: u64, n: usize, shift: f64, skewed: bool) -> (Vec<f64>, Vec<f64>) {
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let (day, noise) = (Bell::new(0.85, 0.08).expect("a bell"), Bell::new(0.0, 0.02).expect("a bell"));
        let tail = LogNormal::new(-4.5, 1.0).expect("a tail");
        (0..n)
            .map(|_| {
                let base = day.sample(&mut chance);
                let mut of = |shift: f64| {
                    let x = noise.sample(&mut chance);
                    let worse = if skewed { tail.sample(&mut chance) } else { 0.0 };
                    base * (1.0 + shift) + x - worse
                };
                (of(0.0), of(shift))
            })
            .unzip()
    }

    #[test]
    fn a_regression_of_three_in_a_hundred_is_found_and_none_is_made_up() {
        for skewed in [false, true] {
            let mut found = 0;
            let mut made_up = 0;
            for seed in 0..100 {
                let (a, b) = pairs(seed, 30, -0.03, skewed);
                found += usize::from(compare(&a, &b, true, seed).verdict == Verdict::Worse);
                let (a, b) = pairs(1_000 + seed, 30, 0.0, skewed);
                made_up += usize::from(compare(&a, &b, true, seed).verdict != Verdict::Inconclusive);
            }
            assert!(found >= 80, "skewed {skewed}: found {found} of 100");
            assert!(made_up <= 5, "skewed {skewed}: made up {made_up} of 100");
        }
    }

    #[test]
    fn few_pairs_tell_nothing_and_equal_ones_are_equal() {
        let c = compare(&[0.5], &[0.9], true, 1);
        assert_eq!((c.verdict, c.pairs), (Verdict::Inconclusive, 1));
        let c = compare(&[0.5, 0.6, 0.7], &[0.5, 0.6, 0.7], true, 1);
        assert_eq!((c.verdict, c.needed, c.effect), (Verdict::Inconclusive, None, 0.0));
        let c = compare(&[], &[], true, 1);
        assert_eq!(c.pairs, 0);
    }

    #[test]
    fn what_is_better_depends_on_the_figure_and_the_number_needed_on_the_effect() {
        let (a, b) = (vec![10.0, 11.0, 12.0, 13.0, 14.0, 15.0], vec![8.0, 9.1, 9.9, 11.0, 12.1, 12.9]);
        assert_eq!(compare(&a, &b, false, 1).verdict, Verdict::Better);
        assert_eq!(compare(&a, &b, true, 1).verdict, Verdict::Worse);
        let (a, b) = pairs(3, 200, -0.03, false);
        let strong = compare(&a, &b, true, 1);
        let (a, b) = pairs(3, 200, -0.005, false);
        let weak = compare(&a, &b, true, 1);
        assert!(weak.needed > strong.needed, "{weak:?} {strong:?}");
    }

    #[test]
    fn an_interval_covers_the_mean_about_as_often_as_it_says() {
        let mut covers = 0;
        for seed in 0..300 {
            let mut chance = Pcg64Mcg::seed_from_u64(seed);
            let bell = Bell::new(3.0, 1.0).expect("a bell");
            let xs: Vec<f64> = (0..40).map(|_| bell.sample(&mut chance)).collect();
            let i = bootstrap(&xs, seed);
            covers += usize::from(i.low <= 3.0 && 3.0 <= i.high);
        }
        assert!((280..=300).contains(&covers), "{covers} of 300");
    }
}
