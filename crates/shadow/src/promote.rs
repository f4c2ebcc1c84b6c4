//! The way of a candidate into service, as the rule for cold boxes allows it.

use crate::Nanos;
use serde::{Deserialize, Serialize};

/// A box that has just come takes so much of what a warm one takes, and all of it after a time; in between it grows evenly.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// The part that it takes at first, over 0 and at most 1.
    pub initial_fraction: f64,
    /// After so long it takes all.
    pub duration: Nanos,
}

/// One step of the way.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Since the first one, in seconds.
    pub at_seconds: f64,
    /// The weight of each candidate, where a warm box has 1.
    pub weight: f64,
    /// The share of all keys that each candidate then has.
    #[serde(rename = "each")]
    pub share_each: f64,
    /// The share that all candidates have.
    #[serde(rename = "all")]
    pub share_all: f64,
}

/// So many even steps and the last one, for candidates that join live boxes. No step asks for more than the rule allows
/// at its beginning.
pub fn promotion_steps(rule: SlowStart, live: usize, candidates: usize, count: usize) -> Vec<Step> {
    let count = if rule.duration == 0 { 0 } else { count };
    let at = |k: usize| if count == 0 { 1.0 } else { k as f64 / count as f64 };
    let step = |k: usize| {
        let weight = if rule.duration == 0 {
            1.0
        } else {
            rule.initial_fraction + (1.0 - rule.initial_fraction) * at(k)
        };
        let all = candidates as f64 * weight / (live as f64 + candidates as f64 * weight);
        let each = if candidates == 0 { 0.0 } else { all / candidates as f64 };
        Step { at_seconds: at(k) * rule.duration as f64 / 1e9, weight, share_each: each, share_all: all }
    };
    (0..=count).map(step).collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::SECOND;

    #[test]
    fn no_step_asks_for_more_than_the_rule_allows_and_the_last_asks_for_all() {
        for (from, live, candidates, count) in
            [(0.15, 16, 2, 6), (1.0, 1, 1, 3), (0.01, 0, 4, 1), (0.5, 9, 0, 2)]
        {
            let rule = SlowStart { initial_fraction: from, duration: 24 * SECOND };
            let steps = promotion_steps(rule, live, candidates, count);
            assert_eq!(steps.len(), count + 1);
            for s in &steps {
                let allowed = from + (1.0 - from) * s.at_seconds / 24.0;
                assert!(s.weight <= allowed + 1e-9 && s.weight > 0.0, "{s:?}");
                assert!((s.share_each * candidates as f64 - s.share_all).abs() < 1e-9);
            }
            let last = steps.last().expect("one");
            assert_eq!((last.at_seconds, last.weight), (24.0, 1.0));
            let even = if candidates == 0 { 0.0 } else { candidates as f64 / (live + candidates) as f64 };
            assert!((last.share_all - even).abs() < 1e-9);
            assert!(steps
                .windows(2)
                .all(|w| w[0].weight <= w[1].weight && w[0].at_seconds < w[1].at_seconds));
        }
        assert_eq!(
            promotion_steps(SlowStart { initial_fraction: 0.2, duration: 0 }, 3, 1, 5).len(),
            1,
            "without a rule they are all warm at once"
        );
    }
}
