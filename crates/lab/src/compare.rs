//! Compares two sets of results, paired by scenario, parameters and seed, with bootstrap confidence intervals.

use crate::results::Record;
use crate::Failure;
use model::RandomSource;
use std::collections::BTreeMap;
use std::path::Path;

/// Number of bootstrap resamples.
const RESAMPLES: usize = 10_000;
/// Quantiles of the resampled means that bound the 95% confidence interval.
const INTERVAL: [f64; 2] = [0.025, 0.975];
/// Minimum number of pairs for a difference to be significant.
const MIN_PAIRS: usize = 3;

/// The results to compare.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// A results file or folder, optionally followed by `:POLICY` to select the runs of one policy.
    a: String,
    /// The results to compare with, in the same form.
    b: String,
}

/// Mean difference of paired values, with its 95% bootstrap confidence interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Difference {
    /// Number of pairs.
    pub pairs: usize,
    /// Mean of b minus a.
    pub mean: f64,
    /// Lower bound of the interval.
    pub low: f64,
    /// Upper bound of the interval.
    pub high: f64,
}

impl Difference {
    /// Whether the difference is significant: there are enough pairs, and zero lies outside the interval.
    pub fn shown(&self) -> bool {
        self.pairs >= MIN_PAIRS && (self.low > 0.0 || self.high < 0.0)
    }
}

/// Percentile bootstrap of a paired difference (Efron, 1979). The seed is fixed, so equal pairs give equal results.
pub fn paired(pairs: &[(f64, f64)]) -> Difference {
    let all: Vec<f64> = pairs.iter().map(|(a, b)| b - a).collect();
    let n = all.len();
    let mean = |sum: f64| sum / n.max(1) as f64;
    let mut random = RandomSource::new(n as u64, 9);
    let mut means: Vec<f64> =
        (0..RESAMPLES).map(|_| mean((0..n).map(|_| all[random.below(n)]).sum())).collect();
    means.sort_by(f64::total_cmp);
    let at = |q: f64| means[(q * (RESAMPLES - 1) as f64) as usize];
    Difference { pairs: n, mean: mean(all.iter().sum()), low: at(INTERVAL[0]), high: at(INTERVAL[1]) }
}

/// Reads a set of results, restricted to one policy if the name ends in `:POLICY`.
fn read_side(name: &str) -> Result<Vec<Record>, Failure> {
    let policy = name.rsplit_once(':').filter(|(_, p)| model::NAMES.contains(p));
    let (path, policy) = policy.map_or((name, None), |(path, p)| (path, Some(p)));
    let mut path = Path::new(path).to_owned();
    if path.is_dir() {
        path = path.join("results.jsonl");
    }
    let mut all = crate::read(&path)?;
    all.retain(|r| policy.is_none_or(|p| r.summary.policy == p));
    if all.is_empty() {
        return Err(Failure::Input(vec![format!("{name}: no matching results")]));
    }
    Ok(all)
}

type Cell = (String, Vec<(String, String)>, u64);

fn cells(name: &str, all: Vec<Record>) -> Result<BTreeMap<Cell, Record>, Failure> {
    let mut cells = BTreeMap::new();
    for r in all {
        let parameters = r.parameters.clone().into_iter().collect();
        let cell = (r.summary.scenario.clone(), parameters, r.summary.seed);
        if cells.insert(cell, r).is_some() {
            let line = format!("{name}: has several policies; select one, such as {name}:shipped");
            return Err(Failure::Input(vec![line]));
        }
    }
    Ok(cells)
}

/// A metric to compare: its name, and its value in a record.
type Metric = (&'static str, fn(&Record) -> f64);
const METRICS: [Metric; 4] = [
    ("in time", |r| r.summary.share()),
    ("worth", |r| r.summary.worth),
    ("p99 ms", |r| r.summary.p99_ms),
    ("attempts", |r| r.summary.attempts_each()),
];

/// Compares two sets of results, and prints one line per scenario and metric.
pub fn command(args: &Args) -> Result<u8, Failure> {
    let (a, b) = (cells(&args.a, read_side(&args.a)?)?, cells(&args.b, read_side(&args.b)?)?);
    let mut groups: BTreeMap<&str, Vec<(&Record, &Record)>> = BTreeMap::new();
    for (cell, one) in &a {
        if let Some(other) = b.get(cell) {
            groups.entry(&cell.0).or_default().push((one, other));
        }
    }
    if groups.is_empty() {
        return Err(Failure::Input(vec![
            "the two sets have no run with the same scenario, parameters and seed".into(),
        ]));
    }
    println!("scenario          figure     pairs          a          b   b less a   95% interval");
    for (scenario, pairs) in &groups {
        for (name, metric) in METRICS {
            let values: Vec<(f64, f64)> = pairs.iter().map(|(a, b)| (metric(a), metric(b))).collect();
            let d = paired(&values);
            let mean = |f: fn(&(f64, f64)) -> f64| values.iter().map(f).sum::<f64>() / values.len() as f64;
            let verdict = if d.shown() { "" } else { "  no difference shown" };
            println!(
                "{scenario:17} {name:9} {:6} {:10.4} {:10.4} {:+10.4}   {:+.4} to {:+.4}{verdict}",
                d.pairs,
                mean(|v| v.0),
                mean(|v| v.1),
                d.mean,
                d.low,
                d.high
            );
        }
    }
    Ok(0)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_difference_is_significant_only_if_it_exists_and_has_enough_pairs() {
        let mut random = RandomSource::new(5, 5);
        let mut pairs = |by: f64| -> Vec<(f64, f64)> {
            (0..30)
                .map(|_| random.unit())
                .map(|a| (a, a + by))
                .zip(0..)
                .map(|((a, b), i)| (a, b + 0.01 * f64::from(i % 7 - 3)))
                .collect()
        };
        assert!(paired(&pairs(0.05)).shown());
        assert!(!paired(&pairs(0.0)).shown());
        assert!(!paired(&[(0.0, 1.0), (0.0, 1.0)]).shown(), "two pairs are too few");
    }
}
