//! Invariants of a run, checked against what clients, proxies, boxes and origin recorded.

use serde::{Deserialize, Serialize};

/// An invariant that must hold in every run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Each accepted request gets one final answer in time.
    Lost,
    /// Nothing is sent for a request after its answer.
    SentAfterAnswer,
    /// Each answer belongs to the request that receives it.
    Strange,
    /// No write takes effect twice.
    Doubled,
    /// A proxy sends nothing new to a box once the grace period after its notification of the drain has passed.
    Drain,
    /// No box collapses under overload during slow start.
    ColdBox,
    /// The origin does not collapse under overload.
    Ledger,
}

impl Rule {
    /// The description of the rule in reports.
    pub fn words(self) -> &'static str {
        match self {
            Rule::Lost => "each accepted request has one final answer in time",
            Rule::SentAfterAnswer => "nothing is sent for a request after its answer",
            Rule::Strange => "each answer was made for the request that gets it",
            Rule::Doubled => "no effect happens twice",
            Rule::Drain => "nothing new to a draining box 500 ms after the proxy learned",
            Rule::ColdBox => "no cold box is pushed over",
            Rule::Ledger => "the ledger behind the boxes is not pushed over",
        }
    }
}

/// The breaches of one rule in a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Breach {
    /// The broken rule.
    pub rule: Rule,
    /// Time of the first breach, in milliseconds since the start.
    pub at_ms: f64,
    /// Number of the request that first broke the rule, if it concerns a request.
    pub request: Option<u32>,
    /// Description of the first breach.
    pub what: String,
    /// Number of breaches of this rule in the run.
    pub times: u64,
    /// History of the request, line by line; recorded for the run's first breach only.
    pub history: Vec<String>,
}

/// The breaches of a run, one entry for each broken rule.
#[derive(Debug, Default)]
pub(crate) struct Breaches(pub Vec<Breach>);

impl Breaches {
    pub fn add(&mut self, rule: Rule, now: u64, request: Option<u32>, what: impl FnOnce() -> String) {
        if let Some(known) = self.0.iter_mut().find(|b| b.rule == rule) {
            known.times += 1;
            return;
        }
        let at_ms = now as f64 / 1e6;
        self.0.push(Breach { rule, at_ms, request, what: what(), times: 1, history: Vec::new() });
    }
}
