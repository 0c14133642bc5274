//! Statistics for paired comparisons of two builds, configurations or policies by seed. No I/O.

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use statrs::distribution::{ContinuousCDF as _, Normal, StudentsT};

/// Number of bootstrap resamples.
const RESAMPLES: usize = 2_000;
/// Confidence level of all intervals; two of a hundred comparisons of equal things falsely report a difference.
pub const CONFIDENCE_LEVEL: f64 = 0.98;
/// Statistical power assumed by the estimate of the number of pairs needed.
const POWER: f64 = 0.8;

/// A mean with its confidence interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Interval {
    /// Lower end of the interval.
    pub low: f64,
    /// The mean.
    pub mean: f64,
    /// Upper end of the interval.
    pub high: f64,
}

fn mean(xs: &[f64]) -> f64 {
    xs.iter().sum::<f64>() / xs.len().max(1) as f64
}

/// Sample standard deviation; 0 for fewer than two values.
pub fn standard_deviation(xs: &[f64]) -> f64 {
    if xs.len() < 2 {
        return 0.0;
    }
    let m = mean(xs);
    (xs.iter().map(|x| (x - m).powi(2)).sum::<f64>() / (xs.len() - 1) as f64).sqrt()
}

/// The mean with a percentile bootstrap interval; the same values and seed give the same interval.
pub fn bootstrap(xs: &[f64], seed: u64) -> Interval {
    let m = mean(xs);
    if xs.len() < 2 {
        return Interval { low: m, mean: m, high: m };
    }
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut means: Vec<f64> = (0..RESAMPLES)
        .map(|_| (0..xs.len()).map(|_| xs[rng.random_range(0..xs.len())]).sum::<f64>() / xs.len() as f64)
        .collect();
    means.sort_by(f64::total_cmp);
    let at = |q: f64| means[((RESAMPLES - 1) as f64 * q).round() as usize];
    Interval { low: at((1.0 - CONFIDENCE_LEVEL) / 2.0), mean: m, high: at((1.0 + CONFIDENCE_LEVEL) / 2.0) }
}

/// Result of a comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The second sample is better than the first.
    Better,
    /// The second sample is worse than the first.
    Worse,
    /// The difference is not statistically significant.
    #[serde(rename = "not_told_apart")]
    Inconclusive,
}

/// Comparison of two samples that are paired by seed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Compared {
    /// Number of pairs.
    pub pairs: usize,
    /// Mean of the first sample.
    pub first: f64,
    /// Mean of the second sample.
    pub second: f64,
    /// Mean of the second sample minus the first.
    pub difference: Interval,
    /// Effect size: mean difference divided by the standard deviation of the differences; 0 if they don't vary.
    pub effect: f64,
    /// Estimated number of pairs that detects a difference of this size with a probability of 80%; none if the effect is 0.
    #[serde(rename = "needed")]
    pub pairs_needed: Option<u64>,
    /// Whether the second sample is better or worse.
    pub verdict: Verdict,
}

/// Compares paired values. A difference is significant if both the bootstrap interval and Student's t interval of the mean
/// difference exclude zero: the bootstrap assumes no distribution, and the t interval is wide enough for few pairs.
pub fn compare(first: &[f64], second: &[f64], higher_is_better: bool, seed: u64) -> Compared {
    let n = first.len().min(second.len());
    let differences: Vec<f64> = (0..n).map(|i| second[i] - first[i]).collect();
    let difference = bootstrap(&differences, seed);
    let deviation = standard_deviation(&differences);
    let effect = if deviation > 0.0 { difference.mean / deviation } else { 0.0 };
    let t_half_width = if n >= 2 {
        let t = StudentsT::new(0.0, 1.0, (n - 1) as f64)
            .map_or(f64::INFINITY, |t| t.inverse_cdf((1.0 + CONFIDENCE_LEVEL) / 2.0));
        t * deviation / (n as f64).sqrt()
    } else {
        f64::INFINITY
    };
    let is_significant = n >= 2
        && difference.mean != 0.0
        && difference.mean.abs() > t_half_width
        && (difference.low > 0.0 || difference.high < 0.0);
    let verdict = match is_significant {
        false => Verdict::Inconclusive,
        true if (difference.mean > 0.0) == higher_is_better => Verdict::Better,
        true => Verdict::Worse,
    };
    let pairs_needed = Normal::new(0.0, 1.0).ok().filter(|_| effect != 0.0).map(|z| {
        let z_sum = z.inverse_cdf((1.0 + CONFIDENCE_LEVEL) / 2.0) + z.inverse_cdf(POWER);
        // Two pairs are added because the standard deviation is itself an estimate.
        ((z_sum / effect).powi(2).ceil() as u64).saturating_add(2)
    });
    Compared {
        pairs: n,
        first: mean(&first[..n]),
        second: mean(&second[..n]),
        difference,
        effect,
        pairs_needed,
        verdict,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand_distr::{Distribution as _, LogNormal, Normal as NormalDistribution};

    /// Paired values of a metric: they vary much between days and little between the two values of one day.
    fn paired_samples(seed: u64, n: usize, shift: f64, skewed: bool) -> (Vec<f64>, Vec<f64>) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (day, noise_distribution) = (
            NormalDistribution::new(0.85, 0.08).expect("a normal distribution"),
            NormalDistribution::new(0.0, 0.02).expect("a normal distribution"),
        );
        let tail = LogNormal::new(-4.5, 1.0).expect("a lognormal distribution");
        (0..n)
            .map(|_| {
                let base = day.sample(&mut rng);
                let mut value = |shift: f64| {
                    let noise = noise_distribution.sample(&mut rng);
                    let skew = if skewed { tail.sample(&mut rng) } else { 0.0 };
                    base * (1.0 + shift) + noise - skew
                };
                (value(0.0), value(shift))
            })
            .unzip()
    }

    #[test]
    fn a_3_percent_regression_is_detected_with_few_false_positives() {
        for skewed in [false, true] {
            let mut detected = 0;
            let mut false_positives = 0;
            for seed in 0..100 {
                let (a, b) = paired_samples(seed, 30, -0.03, skewed);
                detected += usize::from(compare(&a, &b, true, seed).verdict == Verdict::Worse);
                let (a, b) = paired_samples(1_000 + seed, 30, 0.0, skewed);
                false_positives += usize::from(compare(&a, &b, true, seed).verdict != Verdict::Inconclusive);
            }
            assert!(detected >= 80, "skewed {skewed}: detected {detected} of 100");
            assert!(false_positives <= 5, "skewed {skewed}: {false_positives} false positives of 100");
        }
    }

    #[test]
    fn too_few_or_equal_pairs_are_inconclusive() {
        let c = compare(&[0.5], &[0.9], true, 1);
        assert_eq!((c.verdict, c.pairs), (Verdict::Inconclusive, 1));
        let c = compare(&[0.5, 0.6, 0.7], &[0.5, 0.6, 0.7], true, 1);
        assert_eq!((c.verdict, c.pairs_needed, c.effect), (Verdict::Inconclusive, None, 0.0));
        let c = compare(&[], &[], true, 1);
        assert_eq!(c.pairs, 0);
    }

    #[test]
    fn the_verdict_follows_the_metric_direction_and_a_smaller_effect_needs_more_pairs() {
        let (a, b) = (vec![10.0, 11.0, 12.0, 13.0, 14.0, 15.0], vec![8.0, 9.1, 9.9, 11.0, 12.1, 12.9]);
        assert_eq!(compare(&a, &b, false, 1).verdict, Verdict::Better);
        assert_eq!(compare(&a, &b, true, 1).verdict, Verdict::Worse);
        let (a, b) = paired_samples(3, 200, -0.03, false);
        let strong = compare(&a, &b, true, 1);
        let (a, b) = paired_samples(3, 200, -0.005, false);
        let weak = compare(&a, &b, true, 1);
        assert!(weak.pairs_needed > strong.pairs_needed, "{weak:?} {strong:?}");
    }

    #[test]
    fn a_bootstrap_interval_covers_the_mean_about_as_often_as_its_confidence_level() {
        let mut covered = 0;
        for seed in 0..300 {
            let mut rng = Pcg64Mcg::seed_from_u64(seed);
            let normal = NormalDistribution::new(3.0, 1.0).expect("a normal distribution");
            let xs: Vec<f64> = (0..40).map(|_| normal.sample(&mut rng)).collect();
            let i = bootstrap(&xs, seed);
            covered += usize::from(i.low <= 3.0 && 3.0 <= i.high);
        }
        assert!((280..=300).contains(&covered), "{covered} of 300");
    }
}
