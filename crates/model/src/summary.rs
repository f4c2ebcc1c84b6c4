//! What a run comes to.

use crate::judge::Breach;
use crate::scenario::Scenario;
use crate::{millis, seconds, Nanos, SECOND};
use base64::prelude::{Engine, BASE64_STANDARD};
use hdrhistogram::serialization::{Serializer, V2Serializer};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// The version of what is written of a run.
pub const SCHEMA: u32 = 1;

/// A second of a run, by when its requests were first asked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Second {
    /// Requests asked.
    pub asked: u32,
    /// Served within their aim.
    pub in_time: u32,
    /// Served at all.
    pub served: u32,
    /// Attempts sent in it.
    pub attempts: u32,
    /// Connections to boxes opened in it, and held at its end.
    pub opened: u32,
    /// Held at its end.
    pub connections: u32,
    /// Boxes that a proxy leaves alone at its end, on average.
    pub out: f32,
}

/// A run in figures. Times are milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The format's version: [`SCHEMA`].
    pub schema: u32,
    /// The scenario.
    pub scenario: String,
    /// Who decided.
    pub policy: String,
    /// The source of all chance.
    pub seed: u64,
    /// `model` or `sockets`.
    pub played_in: String,
    /// Requests asked after the warm-up.
    pub asked: u64,
    /// Of them, served within their aim; ...
    pub in_time: u64,
    /// ... served later; ...
    pub late: u64,
    /// ... refused to the end; ...
    pub refused: u64,
    /// ... failed to the end; ...
    pub failed: u64,
    /// ... and without an answer, since their proxy died or none could be reached.
    pub unanswered: u64,
    /// The part of the worth that was served in time.
    pub worth: f64,
    /// Attempts of the whole run, and those whose work served nobody.
    pub attempts: u64,
    /// Answers of boxes that nobody waited for.
    pub wasted: u64,
    /// Fetches and writes at the origin, and those that it turned away.
    pub fetches: u64,
    /// Turned away by the origin.
    pub origin_busy: u64,
    /// Reads copied to candidates, ...
    #[serde(default)]
    pub copies: u64,
    /// ... fetches for them, ...
    #[serde(default)]
    pub copy_fetches: u64,
    /// ... and the most of these in any second.
    #[serde(default)]
    pub copy_fetches_peak: u64,
    /// The part of the time of all boxes' cores that was worked, by work begun; ...
    pub boxes_busy: f64,
    /// ... of the busiest box's; ...
    pub busiest_box: f64,
    /// ... and of the origin's places.
    pub origin_part: f64,
    /// Connections opened to boxes.
    pub opened: u64,
    /// Percentiles of the time from the intended start to a served answer.
    pub p50_ms: f64,
    /// 99th.
    pub p99_ms: f64,
    /// 99.9th.
    pub p999_ms: f64,
    /// The longest.
    pub max_ms: f64,
    /// The times, as HdrHistogram's compressed V2 form in base64, in microseconds.
    pub times: String,
    /// Second by second, the warm-up counted.
    pub seconds: Vec<Second>,
    /// Events played.
    pub events: u64,
    /// Rules that broke, the first breaches of each.
    pub breaches: Vec<Breach>,
}

impl Summary {
    /// The part of the requests that was served in time.
    pub fn share(&self) -> f64 {
        self.in_time as f64 / (self.asked.max(1)) as f64
    }

    /// Attempts for a request.
    pub fn attempts_each(&self) -> f64 {
        let asked: u64 = self.seconds.iter().map(|s| u64::from(s.asked)).sum();
        self.attempts as f64 / asked.max(1) as f64
    }

    /// Connections opened for a request.
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
    /// Refused to the end.
    Refused,
    /// Failed.
    Failed,
    /// No answer.
    Nothing,
}

/// Requests counted up, wherever they were played.
#[derive(Debug)]
pub struct Gathered<'a> {
    scenario: &'a Scenario,
    times: Histogram<u64>,
    /// What it comes to so far.
    pub summary: Summary,
    worth: [f64; 2],
}

impl<'a> Gathered<'a> {
    /// Nothing yet.
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

    /// Counts a request that was first asked then, and took so long.
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

    /// All that it comes to.
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
