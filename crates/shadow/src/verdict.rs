//! The verdict on the candidates, with confidence intervals: a difference or an equivalence is stated only if it is
//! statistically significant.

use crate::{Nanos, Tally};
use hdrhistogram::serialization::{Deserializer, Serializer, V2Serializer};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Significant digits of the histograms, for a precision of 1%.
const SIGNIFICANT_DIGITS: u8 = 2;
/// The longest latency in the histograms; longer ones count as this.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Standard score of a 95% confidence interval.
const Z_95: f64 = 1.96;
/// Standard score of a 97.5% confidence interval. The difference of two such intervals has a confidence of at least 95%
/// (Bonferroni).
const Z_97_5: f64 = 2.2414;
/// The quantiles that are compared.
pub const QUANTILES: [f64; 3] = [0.5, 0.99, 0.999];

/// Latencies of one class of requests; each pair is the live side and the candidates.
#[derive(Clone, Debug)]
pub struct LatencyHistograms {
    /// Reads that were cache hits on both sides.
    pub hits: [Histogram<u32>; 2],
    /// Reads that were a miss on either side.
    pub misses: [Histogram<u32>; 2],
}

fn histogram() -> Histogram<u32> {
    // These bounds are always valid.
    Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS).expect("valid bounds")
}

impl Default for LatencyHistograms {
    fn default() -> Self {
        LatencyHistograms { hits: [histogram(), histogram()], misses: [histogram(), histogram()] }
    }
}

impl LatencyHistograms {
    /// Records the latencies of one copy; `is_hit` says that it was a hit on both sides.
    pub fn record(&mut self, is_hit: bool, live: Nanos, candidate: Nanos) {
        let pair = if is_hit { &mut self.hits } else { &mut self.misses };
        for (h, took) in pair.iter_mut().zip([live, candidate]) {
            h.saturating_record((took / 1_000).clamp(1, MAX_LATENCY_US));
        }
    }

    /// Adds the latencies of another proxy.
    pub fn merge(&mut self, other: &LatencyHistograms) {
        let ours = self.hits.iter_mut().chain(&mut self.misses);
        for (h, more) in ours.zip(other.hits.iter().chain(&other.misses)) {
            // Both have the same bounds, so this cannot fail.
            let _ = h.add(more);
        }
    }

    /// Encodes the four histograms in HdrHistogram's V2 format, each after its length in 4 bytes.
    pub fn to_bytes(&self) -> Vec<u8> {
        let (mut out, mut one) = (Vec::new(), Vec::new());
        for h in self.hits.iter().chain(&self.misses) {
            one.clear();
            // Writing to a vector cannot fail.
            let _ = V2Serializer::new().serialize(h, &mut one);
            out.extend_from_slice(&(one.len() as u32).to_be_bytes());
            out.extend_from_slice(&one);
        }
        out
    }

    /// Decodes the bytes of [`LatencyHistograms::to_bytes`]; `None` if they are invalid.
    pub fn from_bytes(mut bytes: &[u8]) -> Option<LatencyHistograms> {
        let mut next = || {
            let (length, rest) = bytes.split_first_chunk::<4>()?;
            let (mut one, rest) = rest.split_at_checked(u32::from_be_bytes(*length) as usize)?;
            bytes = rest;
            Deserializer::new().deserialize::<u32, _>(&mut one).ok()
        };
        let mut times = LatencyHistograms::default();
        for h in times.hits.iter_mut().chain(&mut times.misses) {
            // Adding to histograms with our bounds rejects values out of them, which would make later merges fail.
            h.add(next()?).ok()?;
        }
        Some(times)
    }
}

/// A 95% confidence interval.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Interval {
    /// The lower bound.
    pub low: f64,
    /// The upper bound.
    pub high: f64,
}

/// The Wilson score interval (1927) of the share of `count` in `total`.
pub fn wilson_interval(count: u64, total: u64) -> Interval {
    if total == 0 {
        return Interval { low: 0.0, high: 1.0 };
    }
    let (n, p) = (total as f64, count as f64 / total as f64);
    let centre = p + Z_95 * Z_95 / (2.0 * n);
    let spread = Z_95 * (p * (1.0 - p) / n + Z_95 * Z_95 / (4.0 * n * n)).sqrt();
    let denominator = 1.0 + Z_95 * Z_95 / n;
    // At the bounds, rounding would leave a value next to exactly 0 or 1.
    let low = if count == 0 { 0.0 } else { ((centre - spread) / denominator).max(0.0) };
    let high = if count == total { 1.0 } else { ((centre + spread) / denominator).min(1.0) };
    Interval { low, high }
}

/// A quantile in milliseconds with a confidence interval by binomial ranks (Conover, 1999). `None` with too few values
/// for both bounds.
fn quantile(h: &Histogram<u32>, fraction: f64) -> Option<(f64, Interval)> {
    let n = h.len() as f64;
    let spread = Z_97_5 * (n * fraction * (1.0 - fraction)).sqrt();
    let (low, high) = (n * fraction - spread, n * fraction + spread + 1.0);
    if low < 1.0 || high > n {
        return None;
    }
    let at = |rank: f64| h.value_at_quantile(rank / n) as f64 / 1_000.0;
    Some((at(n * fraction), Interval { low: at(low), high: at(high) }))
}

/// The verdict on one measure or on all of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The candidate is worse by more than is tolerated.
    Worse,
    /// The candidate is better by more than is tolerated.
    Better,
    /// Any difference is within the tolerance.
    #[serde(rename = "alike")]
    Equivalent,
    /// Too few copies for a statistically significant statement.
    #[serde(rename = "not-enough-seen")]
    Inconclusive,
}

/// One latency quantile of one class on both sides.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Quantile {
    /// The index of the class.
    pub class: u32,
    /// The quantile, such as 0.99.
    #[serde(rename = "part")]
    pub quantile: f64,
    /// The number of copies.
    #[serde(rename = "of")]
    pub count: u64,
    /// The latency of the live boxes and of the candidates, in milliseconds.
    #[serde(rename = "ms")]
    pub latency_ms: [f64; 2],
    /// The latency of the candidates minus that of the live boxes, in milliseconds.
    #[serde(rename = "more_ms")]
    pub difference_ms: Interval,
    /// The verdict on this quantile.
    #[serde(rename = "word")]
    pub verdict: Verdict,
}

/// The tolerated differences.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tolerance {
    /// The share of answers that may differ.
    #[serde(rename = "different")]
    pub difference_rate: f64,
    /// The fraction by which quantiles may be longer.
    #[serde(rename = "slower")]
    pub slowdown: f64,
}

impl Default for Tolerance {
    fn default() -> Self {
        Tolerance { difference_rate: 0.001, slowdown: 0.1 }
    }
}

fn compare_quantile(
    class: u32,
    fraction: f64,
    pair: &[Histogram<u32>; 2],
    slowdown: f64,
) -> Option<Quantile> {
    let [(live, l), (candidate, c)] = [quantile(&pair[0], fraction)?, quantile(&pair[1], fraction)?];
    let verdict = if c.low > l.high * (1.0 + slowdown) {
        Verdict::Worse
    } else if c.high < l.low * (1.0 - slowdown) {
        Verdict::Better
    } else if c.high <= l.low * (1.0 + slowdown) && c.low >= l.high * (1.0 - slowdown) {
        Verdict::Equivalent
    } else {
        Verdict::Inconclusive
    };
    let difference_ms = Interval { low: c.low - l.high, high: c.high - l.low };
    Some(Quantile {
        class,
        quantile: fraction,
        count: pair[0].len(),
        latency_ms: [live, candidate],
        difference_ms,
        verdict,
    })
}

/// A verdict and the results that it is based on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Counts of the results of comparisons.
    pub tally: Tally,
    /// The confidence interval of the share of different answers.
    #[serde(rename = "different")]
    pub difference_rate: Interval,
    /// The verdict on the answers; never [`Verdict::Better`].
    pub answers: Verdict,
    /// Latency quantiles of reads that were hits on both sides, for classes with enough copies.
    pub times: Vec<Quantile>,
    /// The overall verdict: worse if any measure is worse, equivalent only if all of them are.
    #[serde(rename = "word")]
    pub verdict: Verdict,
}

impl Report {
    /// Judges the results; `times` holds the latencies by class, in the order of the class indices.
    pub fn new<'a>(
        tally: Tally,
        times: impl Iterator<Item = (u32, &'a LatencyHistograms)>,
        tolerance: Tolerance,
    ) -> Report {
        let difference_rate = wilson_interval(tally.different(), tally.compared());
        let answers = if difference_rate.low > tolerance.difference_rate {
            Verdict::Worse
        } else if difference_rate.high <= tolerance.difference_rate {
            Verdict::Equivalent
        } else {
            Verdict::Inconclusive
        };
        let times: Vec<Quantile> = times
            .flat_map(|(class, t)| {
                QUANTILES
                    .into_iter()
                    .filter_map(move |q| compare_quantile(class, q, &t.hits, tolerance.slowdown))
            })
            .collect();
        let verdicts = || std::iter::once(answers).chain(times.iter().map(|q| q.verdict));
        let verdict = if verdicts().any(|v| v == Verdict::Worse) {
            Verdict::Worse
        } else if answers != Verdict::Equivalent
            || times.is_empty()
            || verdicts().any(|v| v == Verdict::Inconclusive)
        {
            Verdict::Inconclusive
        } else if times.iter().any(|q| q.verdict == Verdict::Better) {
            Verdict::Better
        } else {
            Verdict::Equivalent
        };
        Report { tally, difference_rate, answers, times, verdict }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Draws a service time in nanoseconds from a log-normal distribution, which has a long tail as caches have.
    fn draw_service_time(rng: &mut fastrand::Rng) -> f64 {
        let normal = (-2.0 * rng.f64().max(1e-12).ln()).sqrt() * (std::f64::consts::TAU * rng.f64()).cos();
        30e6 * (0.25 * normal).exp()
    }

    /// The report on a number of copies: a share `wrong` of the answers is wrong, and the candidate's slowest latencies
    /// are multiplied by `tail`.
    fn report_of(seed: u64, copies: u64, wrong: f64, tail: f64) -> Report {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (mut tally, mut times) = (Tally::default(), LatencyHistograms::default());
        for _ in 0..copies {
            if rng.f64() < wrong {
                tally.wrong += 1;
            } else {
                tally.equal += 1;
            }
            let (live, own) = (draw_service_time(&mut rng), draw_service_time(&mut rng));
            let slow = if own > 30e6 * 0.5_f64.exp() { own * tail } else { own };
            times.record(true, live as Nanos, slow as Nanos);
        }
        Report::new(tally, [(0, &times)].into_iter(), Tolerance::default())
    }

    fn p99(report: &Report) -> Verdict {
        report.times.iter().find(|q| q.quantile == 0.99).map_or(Verdict::Inconclusive, |q| q.verdict)
    }

    #[test]
    fn wrong_values_and_a_slower_tail_are_detected_without_false_alarms_for_an_equal_candidate() {
        const RUNS: u64 = 50;
        const COPIES: u64 = 30_000;
        let count = |wrong, tail, is: fn(&Report) -> bool| {
            (0..RUNS).filter(|seed| is(&report_of(*seed, COPIES, wrong, tail))).count()
        };
        let false_alarm = |r: &Report| r.verdict == Verdict::Worse || r.verdict == Verdict::Better;
        let counts = [
            count(0.01, 1.0, |r| r.answers == Verdict::Worse),
            count(0.0, 1.2, |r| p99(r) == Verdict::Worse),
            count(0.0, 1.0, false_alarm),
            count(0.0, 1.0, |r| p99(r) == Verdict::Equivalent),
        ];
        println!(
            "of {RUNS}: wrong values detected {}, slow tail detected {}, false alarms {}, alike {}",
            counts[0], counts[1], counts[2], counts[3]
        );
        assert_eq!(counts[0], 50);
        assert!(counts[1] >= 48, "{counts:?}");
        assert_eq!(counts[2], 0);
        assert!(counts[3] >= 45, "{counts:?}");
    }

    #[test]
    fn few_copies_are_inconclusive() {
        for copies in [0, 1, 50, 500] {
            let r = report_of(1, copies, 0.0, 1.0);
            assert_eq!((r.verdict, p99(&r)), (Verdict::Inconclusive, Verdict::Inconclusive), "{copies}");
        }
        let half = wilson_interval(1, 2);
        assert!(half.low < 0.1 && half.high > 0.9, "{half:?}");
        assert_eq!(wilson_interval(0, 0), Interval { low: 0.0, high: 1.0 });
    }

    #[test]
    fn the_confidence_interval_covers_the_true_share_at_its_stated_rate() {
        let mut rng = fastrand::Rng::with_seed(3);
        let held = (0..1_000).filter(|_| {
            let some = (0..400).filter(|_| rng.f64() < 0.03).count() as u64;
            let i = wilson_interval(some, 400);
            i.low <= 0.03 && 0.03 <= i.high
        });
        assert!((930..=985).contains(&held.count()));
    }

    #[test]
    fn latencies_of_several_proxies_are_merged_also_after_encoding() {
        let (mut one, mut two) = (LatencyHistograms::default(), LatencyHistograms::default());
        (1..=100).for_each(|ms| one.record(true, ms * crate::MS, 2 * ms * crate::MS));
        (1..=100).for_each(|ms| two.record(false, ms * crate::MS, u64::MAX));
        one.merge(&LatencyHistograms::from_bytes(&two.to_bytes()).expect("times"));
        assert_eq!(one.hits.clone().map(|h| h.len()), [100, 100]);
        assert_eq!(one.misses.clone().map(|h| h.len()), [100, 100]);
        assert!(one.misses[1].max() >= MAX_LATENCY_US - MAX_LATENCY_US / 50);
        let bytes = one.to_bytes();
        assert!(bytes.len() < 8 << 10, "{}", bytes.len());
        for cut in 0..bytes.len() {
            assert!(LatencyHistograms::from_bytes(&bytes[..cut]).is_none(), "cut at {cut}");
        }
    }
}
