//! Two sets of results, paired by scenario, parameters and seed, and what chance alone may have done.

use crate::results::Record;
use crate::Failure;
use model::RandomSource;
use std::collections::BTreeMap;
use std::path::Path;

/// Draws of the bootstrap, and its interval.
const DRAWS: usize = 10_000;
const INTERVAL: [f64; 2] = [0.025, 0.975];
/// Fewer pairs than this say nothing.
const LEAST: usize = 3;

/// What to compare.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// A file of results, with `:POLICY` behind it for the runs of one policy alone.
    a: String,
    /// Another one.
    b: String,
}

/// The difference of paired values, and the interval that 95% of the resampled means lie in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Difference {
    /// Pairs.
    pub pairs: usize,
    /// The mean of b less a.
    pub mean: f64,
    /// From.
    pub low: f64,
    /// To.
    pub high: f64,
}

impl Difference {
    /// Zero lies outside the interval.
    pub fn shown(&self) -> bool {
        self.pairs >= LEAST && (self.low > 0.0 || self.high < 0.0)
    }
}

/// The bootstrap of a paired difference (Efron, 1979), by percentiles; the same for the same pairs.
pub fn paired(pairs: &[(f64, f64)]) -> Difference {
    let all: Vec<f64> = pairs.iter().map(|(a, b)| b - a).collect();
    let n = all.len();
    let mean = |sum: f64| sum / n.max(1) as f64;
    let mut chance = RandomSource::new(n as u64, 9);
    let mut means: Vec<f64> = (0..DRAWS).map(|_| mean((0..n).map(|_| all[chance.below(n)]).sum())).collect();
    means.sort_by(f64::total_cmp);
    let at = |q: f64| means[(q * (DRAWS - 1) as f64) as usize];
    Difference { pairs: n, mean: mean(all.iter().sum()), low: at(INTERVAL[0]), high: at(INTERVAL[1]) }
}

/// Results, those of one policy alone if the name says so.
fn side(name: &str) -> Result<Vec<Record>, Failure> {
    let policy = name.rsplit_once(':').filter(|(_, p)| model::NAMES.contains(p));
    let (path, policy) = policy.map_or((name, None), |(path, p)| (path, Some(p)));
    let mut path = Path::new(path).to_owned();
    if path.is_dir() {
        path = path.join("results.jsonl");
    }
    let mut all = crate::read(&path)?;
    all.retain(|r| policy.is_none_or(|p| r.summary.policy == p));
    if all.is_empty() {
        return Err(Failure::Input(vec![format!("{name}: there are no such results")]));
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
            let line = format!("{name}: holds several policies; name one, as {name}:shipped");
            return Err(Failure::Input(vec![line]));
        }
    }
    Ok(cells)
}

/// Figures that are compared.
type Figure = (&'static str, fn(&Record) -> f64);
const FIGURES: [Figure; 4] = [
    ("in time", |r| r.summary.share()),
    ("worth", |r| r.summary.worth),
    ("p99 ms", |r| r.summary.p99_ms),
    ("attempts", |r| r.summary.attempts_each()),
];

/// Compares, and prints a line a scenario and figure.
pub fn command(args: &Args) -> Result<u8, Failure> {
    let (a, b) = (cells(&args.a, side(&args.a)?)?, cells(&args.b, side(&args.b)?)?);
    let mut groups: BTreeMap<&str, Vec<(&Record, &Record)>> = BTreeMap::new();
    for (cell, one) in &a {
        if let Some(other) = b.get(cell) {
            groups.entry(&cell.0).or_default().push((one, other));
        }
    }
    if groups.is_empty() {
        return Err(Failure::Input(vec!["no run of one has a pair in the other".into()]));
    }
    println!("scenario          figure     pairs          a          b   b less a   95% interval");
    for (scenario, pairs) in &groups {
        for (name, figure) in FIGURES {
            let values: Vec<(f64, f64)> = pairs.iter().map(|(a, b)| (figure(a), figure(b))).collect();
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
    fn a_difference_is_shown_where_there_is_one() {
        let mut chance = RandomSource::new(5, 5);
        let mut pairs = |by: f64| -> Vec<(f64, f64)> {
            (0..30)
                .map(|_| chance.unit())
                .map(|a| (a, a + by))
                .zip(0..)
                .map(|((a, b), i)| (a, b + 0.01 * f64::from(i % 7 - 3)))
                .collect()
        };
        assert!(paired(&pairs(0.05)).shown());
        assert!(!paired(&pairs(0.0)).shown());
        assert!(!paired(&[(0.0, 1.0), (0.0, 1.0)]).shown(), "two pairs say nothing");
    }
}
