//! The rules, judged from what both ends recorded.

use serde::{Deserialize, Serialize};

/// A rule that must hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Each accepted request has one final answer in time, ...
    Lost,
    /// ... and nothing is sent for it afterwards.
    SentAfterAnswer,
    /// An answer was made for its request.
    Strange,
    /// No effect happens twice.
    Doubled,
    /// Nothing new goes to a box later than its grace after this proxy learned of its drain.
    Drain,
    /// No cold box is pushed over, ...
    ColdBox,
    /// ... nor the ledger behind it.
    Ledger,
}

impl Rule {
    /// The rule in words.
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

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Breach {
    /// Which.
    pub rule: Rule,
    /// When, in milliseconds since the start.
    pub at_ms: f64,
    /// The request that did it, by its number in the run.
    pub request: Option<u32>,
    /// What happened.
    pub what: String,
    /// How often this rule broke in the run.
    pub times: u64,
    /// What became of the request, line by line; told of the run's first breach.
    pub history: Vec<String>,
}

/// All breaches of a run, the first of each rule.
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
