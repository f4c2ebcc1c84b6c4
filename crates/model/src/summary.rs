//! The summary of a run.

use crate::judge::Breach;
use crate::scenario::Scenario;
use crate::{millis, seconds, Nanos, SECOND};
use base64::prelude::{Engine, BASE64_STANDARD};
use hdrhistogram::serialization::{Serializer, V2Serializer};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Version of the format of written summaries.
pub const SCHEMA: u32 = 1;

/// One second of a run; requests count in the second of their first try.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Second {
    /// Requests started.
    pub asked: u32,
    /// Requests served within their latency target.
    pub in_time: u32,
    /// Requests served at any latency.
    pub served: u32,
    /// Attempts sent in this second.
    pub attempts: u32,
    /// Connections to boxes opened in this second.
    pub opened: u32,
    /// Connections to boxes open at its end.
    pub connections: u32,
    /// Mean number of listed boxes to which a proxy sends no traffic at its end.
    pub out: f32,
}

/// The metrics of a run. Times are in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The format's version: [`SCHEMA`].
    pub schema: u32,
    /// The scenario.
    pub scenario: String,
    /// The policy's name.
    pub policy: String,
    /// The seed of all random draws.
    pub seed: u64,
    /// `model` or `sockets`.
    pub played_in: String,
    /// Requests started after the warm-up.
    pub asked: u64,
    /// Of these, requests served within their latency target.
    pub in_time: u64,
    /// Of these, requests served later than their target.
    pub late: u64,
    /// Of these, requests whose last try was refused.
    pub refused: u64,
    /// Of these, requests whose last try failed.
    pub failed: u64,
    /// Of these, requests without an answer: it came too late, their proxy died or none was reachable.
    pub unanswered: u64,
    /// Fraction of the total worth that was served in time.
    pub worth: f64,
    /// Attempts sent in the whole run.
    pub attempts: u64,
    /// Successful answers of boxes for which no request was waiting.
    pub wasted: u64,
    /// Fetches and writes done by the origin.
    pub fetches: u64,
    /// Fetches and writes rejected by the origin.
    pub origin_busy: u64,
    /// Reads copied to shadow candidates.
    #[serde(default)]
    pub copies: u64,
    /// Fetches from the origin for these copies.
    #[serde(default)]
    pub copy_fetches: u64,
    /// Maximum number of these fetches within any second.
    #[serde(default)]
    pub copy_fetches_peak: u64,
    /// Mean utilization of the boxes' cores, by work started.
    pub boxes_busy: f64,
    /// Utilization of the busiest box's cores.
    pub busiest_box: f64,
    /// Utilization of the origin's workers.
    pub origin_part: f64,
    /// Connections opened to boxes.
    pub opened: u64,
    /// Median of the time from the intended start to a served answer.
    pub p50_ms: f64,
    /// 99th percentile of it.
    pub p99_ms: f64,
    /// 99.9th percentile of it.
    pub p999_ms: f64,
    /// Maximum of it.
    pub max_ms: f64,
    /// Histogram of the times, as HdrHistogram's compressed V2 form in base64, in microseconds.
    pub times: String,
    /// Metrics for each second, warm-up included.
    pub seconds: Vec<Second>,
    /// Simulated events.
    pub events: u64,
    /// Broken rules with the first breach of each.
    pub breaches: Vec<Breach>,
}

impl Summary {
    /// Fraction of the requests that were served in time.
    pub fn share(&self) -> f64 {
        self.in_time as f64 / (self.asked.max(1)) as f64
    }

    /// Mean number of attempts for a request.
    pub fn attempts_each(&self) -> f64 {
        let asked: u64 = self.seconds.iter().map(|s| u64::from(s.asked)).sum();
        self.attempts as f64 / asked.max(1) as f64
    }

    /// Mean number of connections opened for a request.
    pub fn opened_each(&self) -> f64 {
        let asked: u64 = self.seconds.iter().map(|s| u64::from(s.asked)).sum();
        self.opened as f64 / asked.max(1) as f64
    }
}

/// How a request ended for its client, over all its tries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// Served.
    Served,
    /// The last try was refused.
    Refused,
    /// The last try failed.
    Failed,
    /// No answer.
    Nothing,
}

/// Accumulates the results of requests, from the model or from sockets.
#[derive(Debug)]
pub struct Gathered<'a> {
    scenario: &'a Scenario,
    times: Histogram<u64>,
    /// The summary so far.
    pub summary: Summary,
    worth: [f64; 2],
}

impl<'a> Gathered<'a> {
    /// An empty summary.
    pub fn new(scenario: &'a Scenario, policy: &str, seed: u64, played_in: &str) -> Self {
        let summary = Summary {
            schema: SCHEMA,
            scenario: scenario.name.clone(),
            policy: policy.to_owned(),
            seed,
            played_in: played_in.to_owned(),
            seconds: vec![Second::default(); scenario.duration_s.ceil() as usize],
            ..Summary::default()
        };
        // Microseconds up to ten minutes, three digits: these bounds fit.
        let times =
            Histogram::new_with_bounds(1, 600_000_000, 3).unwrap_or_else(|_| unreachable!("bounds that fit"));
        Gathered { scenario, times, summary, worth: [0.0; 2] }
    }

    /// Counts a request by the time of its first try and its total duration.
    pub fn add(&mut self, first: Nanos, write: bool, ended: Ended, took: Nanos) {
        let ask = if write { &self.scenario.traffic.write } else { &self.scenario.traffic.read };
        let good = ended == Ended::Served && took <= millis(ask.aim_ms);
        let s = &mut self.summary;
        if let Some(second) = s.seconds.get_mut((first / SECOND) as usize) {
            second.asked += 1;
            second.served += u32::from(ended == Ended::Served);
            second.in_time += u32::from(good);
        }
        if first < seconds(self.scenario.warm_s) {
            return;
        }
        s.asked += 1;
        self.worth[1] += ask.worth;
        *match ended {
            Ended::Served if good => &mut s.in_time,
            Ended::Served => &mut s.late,
            Ended::Refused => &mut s.refused,
            Ended::Failed => &mut s.failed,
            Ended::Nothing => &mut s.unanswered,
        } += 1;
        if good {
            self.worth[0] += ask.worth;
        }
        if ended == Ended::Served {
            self.times.saturating_record(took / 1_000);
        }
    }

    /// Computes percentiles and returns the summary.
    pub fn finish(mut self) -> Summary {
        let at = |q: f64| self.times.value_at_quantile(q) as f64 / 1_000.0;
        let s = &mut self.summary;
        (s.p50_ms, s.p99_ms, s.p999_ms) = (at(0.5), at(0.99), at(0.999));
        s.max_ms = self.times.max() as f64 / 1_000.0;
        s.worth = if self.worth[1] > 0.0 { self.worth[0] / self.worth[1] } else { 1.0 };
        let mut bytes = Vec::new();
        if V2Serializer::new().serialize(&self.times, &mut bytes).is_ok() {
            s.times = BASE64_STANDARD.encode(&bytes);
        }
        self.summary
    }
}
