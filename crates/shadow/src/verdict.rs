//! What the copies show, and how sure that is. Nothing is called better, worse or alike that chance alone may have done.

use crate::{Nanos, Tally};
use hdrhistogram::serialization::{Deserializer, Serializer, V2Serializer};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Times are told apart to 1%, from a microsecond to a minute; what takes longer counts as a minute.
const DIGITS: u8 = 2;
const LONGEST_US: u64 = 60_000_000;
/// For an interval of 95%.
const Z: f64 = 1.96;
/// For one of 97.5%: a difference of two such is one of 95% at the least (Bonferroni).
const Z_EACH: f64 = 2.2414;
/// The quantiles that are compared.
pub const QUANTILES: [f64; 3] = [0.5, 0.99, 0.999];

/// Times of one class of requests, at both sides.
#[derive(Clone, Debug)]
pub struct LatencyHistograms {
    /// Where both sides had the record in their caches.
    pub hits: [Histogram<u32>; 2],
    /// Where either had to fetch it.
    pub misses: [Histogram<u32>; 2],
}

fn histogram() -> Histogram<u32> {
    // These bounds are always valid.
    Histogram::new_with_bounds(1, LONGEST_US, DIGITS).expect("valid bounds")
}

impl Default for LatencyHistograms {
    fn default() -> Self {
        LatencyHistograms { hits: [histogram(), histogram()], misses: [histogram(), histogram()] }
    }
}

impl LatencyHistograms {
    /// One copy: what the live side and the candidate took.
    pub fn record(&mut self, warm: bool, live: Nanos, candidate: Nanos) {
        let pair = if warm { &mut self.hits } else { &mut self.misses };
        for (h, took) in pair.iter_mut().zip([live, candidate]) {
            h.saturating_record((took / 1_000).clamp(1, LONGEST_US));
        }
    }

    /// Takes in what another proxy saw.
    pub fn merge(&mut self, other: &LatencyHistograms) {
        let ours = self.hits.iter_mut().chain(&mut self.misses);
        for (h, more) in ours.zip(other.hits.iter().chain(&other.misses)) {
            // Danger: both have the same bounds, so nothing of it can be out of them.
            let _ = h.add(more);
        }
    }

    /// As bytes: the four histograms in HdrHistogram's V2 form, each behind its length.
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

    /// From such bytes; nothing if they are none.
    pub fn from_bytes(mut bytes: &[u8]) -> Option<LatencyHistograms> {
        let mut next = || {
            let (length, rest) = bytes.split_first_chunk::<4>()?;
            let (mut one, rest) = rest.split_at_checked(u32::from_be_bytes(*length) as usize)?;
            bytes = rest;
            Deserializer::new().deserialize::<u32, _>(&mut one).ok()
        };
        let mut times = LatencyHistograms::default();
        for h in times.hits.iter_mut().chain(&mut times.misses) {
            // Danger: another program's bounds would make sums of these fail.
            h.add(next()?).ok()?;
        }
        Some(times)
    }
}

/// Between these it lies, as sure as 95%.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Interval {
    /// From.
    pub low: f64,
    /// To.
    pub high: f64,
}

/// A share, and between what it lies (Wilson, 1927).
pub fn wilson_interval(some: u64, all: u64) -> Interval {
    if all == 0 {
        return Interval { low: 0.0, high: 1.0 };
    }
    let (n, p) = (all as f64, some as f64 / all as f64);
    let centre = p + Z * Z / (2.0 * n);
    let spread = Z * (p * (1.0 - p) / n + Z * Z / (4.0 * n * n)).sqrt();
    let under = 1.0 + Z * Z / n;
    // At the edges rounding would leave a trace of what is none.
    let low = if some == 0 { 0.0 } else { ((centre - spread) / under).max(0.0) };
    let high = if some == all { 1.0 } else { ((centre + spread) / under).min(1.0) };
    Interval { low, high }
}

/// A quantile in milliseconds, and between what it lies by the ranks of a binomial (Conover, 1999). Nothing where there
/// are too few to have one that is greater.
fn quantile(h: &Histogram<u32>, part: f64) -> Option<(f64, Interval)> {
    let n = h.len() as f64;
    let spread = Z_EACH * (n * part * (1.0 - part)).sqrt();
    let (low, high) = (n * part - spread, n * part + spread + 1.0);
    if low < 1.0 || high > n {
        return None;
    }
    let at = |rank: f64| h.value_at_quantile(rank / n) as f64 / 1_000.0;
    Some((at(n * part), Interval { low: at(low), high: at(high) }))
}

/// What is said of a figure, or of all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The candidate is worse by more than is tolerated.
    Worse,
    /// It is better by more than that.
    Better,
    /// It is neither.
    #[serde(rename = "alike")]
    Equivalent,
    /// Chance may still have done it.
    #[serde(rename = "not-enough-seen")]
    Inconclusive,
}

/// One quantile of one class at both sides.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Quantile {
    /// Of the class with this number.
    pub class: u32,
    /// Which, as 0.99.
    #[serde(rename = "part")]
    pub quantile: f64,
    /// Of this many copies.
    #[serde(rename = "of")]
    pub count: u64,
    /// At the live boxes, and at the candidates, in milliseconds.
    #[serde(rename = "ms")]
    pub latency_ms: [f64; 2],
    /// The candidates' less the live boxes', in milliseconds.
    #[serde(rename = "more_ms")]
    pub difference_ms: Interval,
    /// What that says.
    #[serde(rename = "word")]
    pub verdict: Verdict,
}

/// What is tolerated.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tolerance {
    /// This share of answers may differ.
    #[serde(rename = "different")]
    pub difference_rate: f64,
    /// Quantiles may be longer by this part.
    #[serde(rename = "slower")]
    pub slowdown: f64,
}

impl Default for Tolerance {
    fn default() -> Self {
        Tolerance { difference_rate: 0.001, slowdown: 0.1 }
    }
}

fn compared(class: u32, part: f64, pair: &[Histogram<u32>; 2], slower: f64) -> Option<Quantile> {
    let [(live, l), (candidate, c)] = [quantile(&pair[0], part)?, quantile(&pair[1], part)?];
    let word = if c.low > l.high * (1.0 + slower) {
        Verdict::Worse
    } else if c.high < l.low * (1.0 - slower) {
        Verdict::Better
    } else if c.high <= l.low * (1.0 + slower) && c.low >= l.high * (1.0 - slower) {
        Verdict::Equivalent
    } else {
        Verdict::Inconclusive
    };
    let more_ms = Interval { low: c.low - l.high, high: c.high - l.low };
    Some(Quantile {
        class,
        quantile: part,
        count: pair[0].len(),
        latency_ms: [live, candidate],
        difference_ms: more_ms,
        verdict: word,
    })
}

/// A verdict, and what it rests on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// What was found.
    pub tally: Tally,
    /// The share of answers that differ lies between these.
    #[serde(rename = "different")]
    pub difference_rate: Interval,
    /// What that says. A candidate is never better by differing less.
    pub answers: Verdict,
    /// Times where both sides had the record: of classes and quantiles of which enough was seen to name them.
    pub times: Vec<Quantile>,
    /// All in all: worse if anything is, alike only if all that was seen is.
    #[serde(rename = "word")]
    pub verdict: Verdict,
}

impl Report {
    /// Judges. Times by class, in the order of their numbers.
    pub fn new<'a>(
        tally: Tally,
        times: impl Iterator<Item = (u32, &'a LatencyHistograms)>,
        tolerance: Tolerance,
    ) -> Report {
        let different = wilson_interval(tally.different(), tally.compared());
        let answers = if different.low > tolerance.difference_rate {
            Verdict::Worse
        } else if different.high <= tolerance.difference_rate {
            Verdict::Equivalent
        } else {
            Verdict::Inconclusive
        };
        let times: Vec<Quantile> = times
            .flat_map(|(class, t)| {
                QUANTILES.into_iter().filter_map(move |q| compared(class, q, &t.hits, tolerance.slowdown))
            })
            .collect();
        let words = || std::iter::once(answers).chain(times.iter().map(|q| q.verdict));
        let word = if words().any(|w| w == Verdict::Worse) {
            Verdict::Worse
        } else if answers != Verdict::Equivalent
            || times.is_empty()
            || words().any(|w| w == Verdict::Inconclusive)
        {
            Verdict::Inconclusive
        } else if times.iter().any(|q| q.verdict == Verdict::Better) {
            Verdict::Better
        } else {
            Verdict::Equivalent
        };
        Report { tally, difference_rate: different, answers, times, verdict: word }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Service times as caches have them: most alike, a long tail.
    fn drawn(rng: &mut fastrand::Rng) -> f64 {
        let normal = (-2.0 * rng.f64().max(1e-12).ln()).sqrt() * (std::f64::consts::TAU * rng.f64()).cos();
        30e6 * (0.25 * normal).exp()
    }

    /// A run of copies: some answers wrong, the slowest of the candidate's stretched.
    fn run(seed: u64, copies: u64, wrong: f64, tail: f64) -> Report {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (mut tally, mut times) = (Tally::default(), LatencyHistograms::default());
        for _ in 0..copies {
            if rng.f64() < wrong {
                tally.wrong += 1;
            } else {
                tally.equal += 1;
            }
            let (live, own) = (drawn(&mut rng), drawn(&mut rng));
            let slow = if own > 30e6 * 0.5_f64.exp() { own * tail } else { own };
            times.record(true, live as Nanos, slow as Nanos);
        }
        Report::new(tally, [(0, &times)].into_iter(), Tolerance::default())
    }

    fn p99(report: &Report) -> Verdict {
        report.times.iter().find(|q| q.quantile == 0.99).map_or(Verdict::Inconclusive, |q| q.verdict)
    }

    #[test]
    fn wrong_values_and_a_slower_tail_are_found_and_an_equal_candidate_is_never_blamed() {
        const RUNS: u64 = 50;
        const COPIES: u64 = 30_000;
        let count = |wrong, tail, is: fn(&Report) -> bool| {
            (0..RUNS).filter(|seed| is(&run(*seed, COPIES, wrong, tail))).count()
        };
        let blamed = |r: &Report| r.verdict == Verdict::Worse || r.verdict == Verdict::Better;
        let found = [
            count(0.01, 1.0, |r| r.answers == Verdict::Worse),
            count(0.0, 1.2, |r| p99(r) == Verdict::Worse),
            count(0.0, 1.0, blamed),
            count(0.0, 1.0, |r| p99(r) == Verdict::Equivalent),
        ];
        println!(
            "of {RUNS}: wrong found {}, slow found {}, equal blamed {}, alike {}",
            found[0], found[1], found[2], found[3]
        );
        assert_eq!(found[0], 50);
        assert!(found[1] >= 48, "{found:?}");
        assert_eq!(found[2], 0);
        assert!(found[3] >= 45, "{found:?}");
    }

    #[test]
    fn little_says_nothing() {
        for copies in [0, 1, 50, 500] {
            let r = run(1, copies, 0.0, 1.0);
            assert_eq!((r.verdict, p99(&r)), (Verdict::Inconclusive, Verdict::Inconclusive), "{copies}");
        }
        let half = wilson_interval(1, 2);
        assert!(half.low < 0.1 && half.high > 0.9, "{half:?}");
        assert_eq!(wilson_interval(0, 0), Interval { low: 0.0, high: 1.0 });
    }

    #[test]
    fn an_interval_holds_the_share_it_was_drawn_from_as_often_as_it_says() {
        let mut rng = fastrand::Rng::with_seed(3);
        let held = (0..1_000).filter(|_| {
            let some = (0..400).filter(|_| rng.f64() < 0.03).count() as u64;
            let i = wilson_interval(some, 400);
            i.low <= 0.03 && 0.03 <= i.high
        });
        assert!((930..=985).contains(&held.count()));
    }

    #[test]
    fn times_of_several_proxies_add_up_also_over_bytes() {
        let (mut one, mut two) = (LatencyHistograms::default(), LatencyHistograms::default());
        (1..=100).for_each(|ms| one.record(true, ms * crate::MS, 2 * ms * crate::MS));
        (1..=100).for_each(|ms| two.record(false, ms * crate::MS, u64::MAX));
        one.merge(&LatencyHistograms::from_bytes(&two.to_bytes()).expect("times"));
        assert_eq!(one.hits.clone().map(|h| h.len()), [100, 100]);
        assert_eq!(one.misses.clone().map(|h| h.len()), [100, 100]);
        assert!(one.misses[1].max() >= LONGEST_US - LONGEST_US / 50);
        let bytes = one.to_bytes();
        assert!(bytes.len() < 8 << 10, "{}", bytes.len());
        for cut in 0..bytes.len() {
            assert!(LatencyHistograms::from_bytes(&bytes[..cut]).is_none(), "cut at {cut}");
        }
    }
}
