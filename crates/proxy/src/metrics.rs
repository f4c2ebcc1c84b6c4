//! Metrics for operators: answers by class and the current load, in the text format of statsd
//! (`name:value|c` for a counter since the start, `name:value|g` for a gauge).

use crate::observers::{FinalResult, Notification, Observer};
use std::fmt::Write;

/// The prefix of each metric's name.
const PREFIX: &str = "svc";

/// Values read when the metrics are written.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// Attempts written in full since the start.
    pub backend_calls: u64,
    /// Requests accepted and not yet finished.
    pub inflight: usize,
    /// Cache nodes in the list.
    pub hosts_listed: usize,
    /// Listed cache nodes that the balancer avoids.
    pub hosts_down: usize,
}

/// Counts of final answers by request class.
#[derive(Debug, Default)]
pub struct Metrics {
    /// Served, refused and failed requests, indexed by class.
    by_class: Vec<[u64; 3]>,
}

impl Observer for Metrics {
    fn notify(&mut self, notification: &Notification<'_>) {
        let Notification::Answered(result, class) = notification else { return };
        let class = *class as usize;
        if self.by_class.len() <= class {
            self.by_class.resize(class + 1, [0; 3]);
        }
        let index = match result {
            FinalResult::Served => 0,
            FinalResult::Refused => 1,
            FinalResult::Failed => 2,
        };
        self.by_class[class][index] += 1;
    }
}

impl Metrics {
    /// Formats all metrics, one per line. Classes without answers are included.
    pub fn write(&self, classes: &[String], gauges: &Gauges) -> String {
        let mut out = String::new();
        let none = [0; 3];
        for (i, class) in classes.iter().enumerate() {
            let counts = self.by_class.get(i).unwrap_or(&none);
            for (result, count) in ["success", "busy", "failure"].iter().zip(counts) {
                // Writing to a string cannot fail.
                let _ = writeln!(out, "{PREFIX}.{result}.{class}:{count}|c");
            }
        }
        let _ = writeln!(out, "{PREFIX}.backend_calls:{}|c", gauges.backend_calls);
        let values = [
            ("inflight", gauges.inflight),
            ("hosts_listed", gauges.hosts_listed),
            ("hosts_down", gauges.hosts_down),
        ];
        for (name, value) in values {
            let _ = writeln!(out, "{PREFIX}.{name}:{value}|g");
        }
        out
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_answer_is_counted_once_by_class_and_result() {
        let mut metrics = Metrics::default();
        let answers = [
            (FinalResult::Served, 1),
            (FinalResult::Served, 1),
            (FinalResult::Refused, 0),
            (FinalResult::Failed, 1),
        ];
        answers.iter().for_each(|(result, class)| metrics.notify(&Notification::Answered(*result, *class)));
        metrics.notify(&Notification::Arrived);
        let gauges = Gauges { backend_calls: 7, inflight: 2, hosts_listed: 12, hosts_down: 3 };
        let text = metrics.write(&["read".into(), "put".into(), "rare".into()], &gauges);
        let mut lines: Vec<&str> = text.lines().collect();
        lines.sort_unstable();
        assert_eq!(
            lines,
            [
                "svc.backend_calls:7|c",
                "svc.busy.put:0|c",
                "svc.busy.rare:0|c",
                "svc.busy.read:1|c",
                "svc.failure.put:1|c",
                "svc.failure.rare:0|c",
                "svc.failure.read:0|c",
                "svc.hosts_down:3|g",
                "svc.hosts_listed:12|g",
                "svc.inflight:2|g",
                "svc.success.put:2|c",
                "svc.success.rare:0|c",
                "svc.success.read:0|c",
            ]
        );
    }
}
