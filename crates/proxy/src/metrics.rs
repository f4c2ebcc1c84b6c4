//! What operators are shown: counts of answers by class, and how things stand, as lines of statsd's text form
//! (`name:value|c` for what has been counted since the start, `|g` for what is so now).

use crate::observers::{Final, Observer, Told};
use std::fmt::Write;

/// Before each name.
const PREFIX: &str = "svc";

/// How things stand.
#[derive(Clone, Copy, Debug, Default)]
pub struct Now {
    /// Attempts written whole since the start.
    pub backend_calls: u64,
    /// Requests taken and not ended.
    pub inflight: usize,
    /// Cache nodes in the list.
    pub hosts_listed: usize,
    /// Those of them that are avoided.
    pub hosts_down: usize,
}

/// Counts of answers by class.
#[derive(Debug, Default)]
pub struct Figures {
    /// Served, refused, failed.
    classes: Vec<[u64; 3]>,
}

impl Observer for Figures {
    fn tell(&mut self, told: &Told<'_>) {
        let Told::Answered(how, class) = told else { return };
        let class = *class as usize;
        if self.classes.len() <= class {
            self.classes.resize(class + 1, [0; 3]);
        }
        let at = match how {
            Final::Served => 0,
            Final::Refused => 1,
            Final::Failed => 2,
        };
        self.classes[class][at] += 1;
    }
}

impl Figures {
    /// All of them, a line each; every class is there from the start.
    pub fn write(&self, classes: &[String], now: &Now) -> String {
        let mut out = String::new();
        let none = [0; 3];
        for (i, class) in classes.iter().enumerate() {
            let counts = self.classes.get(i).unwrap_or(&none);
            for (outcome, count) in ["success", "busy", "failure"].iter().zip(counts) {
                // Writing to a string cannot fail.
                let _ = writeln!(out, "{PREFIX}.{outcome}.{class}:{count}|c");
            }
        }
        let _ = writeln!(out, "{PREFIX}.backend_calls:{}|c", now.backend_calls);
        let gauges =
            [("inflight", now.inflight), ("hosts_listed", now.hosts_listed), ("hosts_down", now.hosts_down)];
        for (name, value) in gauges {
            let _ = writeln!(out, "{PREFIX}.{name}:{value}|g");
        }
        out
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_answer_counts_once_under_its_class_and_how_it_went() {
        let mut figures = Figures::default();
        let all = [(Final::Served, 1), (Final::Served, 1), (Final::Refused, 0), (Final::Failed, 1)];
        all.iter().for_each(|(how, class)| figures.tell(&Told::Answered(*how, *class)));
        figures.tell(&Told::Arrived);
        let now = Now { backend_calls: 7, inflight: 2, hosts_listed: 12, hosts_down: 3 };
        let text = figures.write(&["read".into(), "put".into(), "rare".into()], &now);
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
