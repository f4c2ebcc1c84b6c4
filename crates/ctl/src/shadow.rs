//! `trestlectl shadow`: copying of reads to candidate boxes, by instances of several agents.

use crate::client::Agent;
use crate::run::{combine, find_owners, Exit, Output};
use base64::prelude::{Engine, BASE64_STANDARD};
use clap::Subcommand;
use control::message::ShadowStatus;
use hyper::Method;
use serde_json::{json, Value};
use shadow::promote::{self, SlowStart, Step};
use shadow::verdict::{LatencyHistograms, Quantile, Tolerance};
use shadow::{Report, State, Tally, Verdict};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};
use trestlesill::config::Config;

/// The subcommands of `trestlectl shadow`.
#[derive(Clone, Debug, Subcommand)]
pub enum Command {
    /// Start copying, or extend it. It continues while the agents renew it, up to the given time.
    Start {
        /// Names of instances; all by default.
        names: Vec<String>,
        /// Duration in seconds, 1 to 604,800.
        #[arg(long = "for", value_name = "SECONDS", default_value_t = 3_600, value_parser = clap::value_parser!(u64).range(1..=604_800))]
        seconds: u64,
        /// Generation of this command, to extend an earlier one; by default a new one.
        #[arg(long)]
        generation: Option<u64>,
    },
    /// Stop copying.
    Stop {
        /// Names of instances; all by default.
        names: Vec<String>,
        /// Generation of this command; by default a new one.
        #[arg(long)]
        generation: Option<u64>,
    },
    /// Print the state of copying on each instance.
    Status,
    /// Print the merged results of all instances.
    Report {
        /// Also write the report to this file as an HTML page.
        #[arg(long, value_name = "FILE")]
        html: Option<PathBuf>,
        /// Fraction of answers that may differ.
        #[arg(long, default_value_t = Tolerance::default().difference_rate)]
        tolerated_different: f64,
        /// Fraction by which latency quantiles may be longer.
        #[arg(long, default_value_t = Tolerance::default().slowdown)]
        tolerated_slower: f64,
    },
    /// Print the steps for bringing the candidates into service. Only discovery can carry them out.
    Promote {
        /// Only print the steps. Required: there is no other mode.
        #[arg(long, required = true)]
        dry_run: bool,
        /// A proxy's configuration, for its slow start rule and its live boxes.
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// Number of candidates.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..=64))]
        candidates: u32,
        /// Number of steps.
        #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u32).range(1..=100))]
        steps: u32,
    },
}

/// The state of copying on one instance, or the reason why it is unknown.
struct InstanceStatus {
    agent: String,
    name: String,
    copying: Result<Box<ShadowStatus>, String>,
}

/// A generation later than those of earlier commands: milliseconds of Unix time.
fn new_generation() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Sends a command to all agents, to each for those of the named instances that it has. Returns the statuses of the
/// instances, and whether every agent and each name was found.
async fn send_command(
    agents: &[Agent],
    names: &[String],
    command: &Value,
    output: Output,
) -> (Vec<InstanceStatus>, bool) {
    let (mut statuses, mut complete, mut requests) = (Vec::new(), true, Vec::new());
    if names.is_empty() {
        requests.extend(agents.iter().map(|a| (a.clone(), command.clone())));
    } else {
        let owners = find_owners(agents, names, output).await;
        owners.report_missing();
        complete = !owners.has_unreachable_agent && owners.missing.is_empty();
        for (agent, own_names) in owners.by_agent {
            let mut command = command.clone();
            command["names"] = json!(own_names);
            requests.push((agent, command));
        }
    }
    for (agent, command) in &requests {
        match agent.request(Method::POST, "/v1/shadow", Some(command)).await {
            Ok(response) => {
                for (name, result) in response["instances"].as_object().into_iter().flatten() {
                    let copying = match serde_json::from_value(result["ok"].clone()) {
                        Ok(copying) => Ok(Box::new(copying)),
                        Err(_) => Err(result["error"]["message"].as_str().unwrap_or("no answer").to_owned()),
                    };
                    statuses.push(InstanceStatus {
                        agent: agent.address.to_string(),
                        name: name.clone(),
                        copying,
                    });
                }
            }
            Err(e) => {
                output.report_error(agent, &e.to_string());
                complete = false;
            }
        }
    }
    (statuses, complete)
}

/// The combined outcome: done if every instance succeeded, failed if none did.
fn exit_code(statuses: &[InstanceStatus], complete: bool) -> Exit {
    let outcomes = statuses.iter().map(|s| if s.copying.is_ok() { Exit::Done } else { Exit::Failed });
    combine(outcomes.chain((!complete || statuses.is_empty()).then_some(Exit::Failed)))
}

fn state_text(copying: &ShadowStatus) -> String {
    match copying.status.state {
        State::Off => "off".into(),
        State::On { .. } => "on".into(),
        State::Stopped(stop) => format!("stopped: {stop:?}"),
    }
}

/// One line on the shadow traffic of an instance: its state, counts and verdict, or why they are not available.
fn status_text(status: &InstanceStatus) -> String {
    match &status.copying {
        Ok(copying) => {
            let s = &copying.status;
            let trouble =
                s.trouble.map_or(String::new(), |(trouble, ms)| format!(", {trouble:?} {ms} ms ago"));
            format!(
                "{}: {}, generation {}, {:.4}% of the keys, {} candidates, {} copies, {} open, {}{trouble}",
                status.name,
                state_text(copying),
                s.generation,
                f64::from(s.sampling_ppm) / 1e4,
                s.candidates,
                s.counts.copies,
                s.open_copies,
                verdict_text(copying.report.verdict),
            )
        }
        Err(reason) => format!("{}: {reason}", status.name),
    }
}

fn print_statuses(statuses: &[InstanceStatus], output: Output) {
    for status in statuses {
        let value = match &status.copying {
            Ok(c) => json!({"agent": status.agent, "instance": status.name, "copying": c}),
            Err(reason) => json!({"agent": status.agent, "instance": status.name, "error": reason}),
        };
        output.print(&value, || status_text(status));
    }
}

fn verdict_text(word: Verdict) -> &'static str {
    match word {
        Verdict::Worse => "worse",
        Verdict::Better => "better",
        Verdict::Equivalent => "alike",
        Verdict::Inconclusive => "not enough seen",
    }
}

/// Merges the results of all instances. Also returns the names of the classes, in the order of their numbers in the report.
fn merge_reports(statuses: &[InstanceStatus], tolerance: Tolerance) -> (Report, Vec<String>) {
    let (mut tally, mut times) = (Tally::default(), BTreeMap::<String, LatencyHistograms>::new());
    for copying in statuses.iter().filter_map(|s| s.copying.as_ref().ok()) {
        tally.merge(&copying.report.tally);
        for (class, text) in &copying.times {
            match BASE64_STANDARD.decode(text).ok().and_then(|bytes| LatencyHistograms::from_bytes(&bytes)) {
                Some(t) => times.entry(class.clone()).or_default().merge(&t),
                None => eprintln!("trestlectl: latency histogram of {class} can't be decoded and is ignored"),
            }
        }
    }
    let report = Report::new(tally, (0..).zip(times.values()), tolerance);
    (report, times.into_keys().collect())
}

fn quantile_cells(q: &Quantile, classes: &[String]) -> [String; 6] {
    [
        classes.get(q.class as usize).cloned().unwrap_or_default(),
        format!("p{}", q.quantile * 100.0),
        format!("{:.2}", q.latency_ms[0]),
        format!("{:.2}", q.latency_ms[1]),
        format!("{:+.2} to {:+.2}", q.difference_ms.low, q.difference_ms.high),
        format!("{} of {}", verdict_text(q.verdict), q.count),
    ]
}

fn tally_counts(tally: &Tally) -> Vec<(String, u64)> {
    let value = serde_json::to_value(tally).unwrap_or_default();
    let fields = value.as_object().into_iter().flatten();
    fields.filter_map(|(name, n)| Some((name.clone(), n.as_u64()?))).collect()
}

/// The confidence interval of the share of different answers, their number, and the verdict.
fn difference_text(report: &Report) -> String {
    let Report { difference_rate: different, tally, .. } = report;
    let (low, high) = (different.low * 100.0, different.high * 100.0);
    format!("{low:.4}% to {high:.4}% of {}, {}", tally.compared(), verdict_text(report.answers))
}

fn report_text(report: &Report, classes: &[String], instances: usize) -> String {
    let mut out = format!("{}, by copies at {instances} instances\n", verdict_text(report.verdict));
    let answers: Vec<String> =
        tally_counts(&report.tally).iter().map(|(name, n)| format!("{name} {n}")).collect();
    // Writing to a string cannot fail.
    let _ = writeln!(out, "answers: {}", answers.join(", "));
    let _ = writeln!(out, "different: {}", difference_text(report));
    for q in &report.times {
        let [class, part, live, candidate, more, verdict] = quantile_cells(q, classes);
        let _ = writeln!(
            out,
            "{class} {part}: live {live} ms, candidate {candidate} ms, {more} ms more: {verdict}"
        );
    }
    out.trim_end().to_owned()
}

fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

fn html_table(head: &[&str], rows: impl Iterator<Item = Vec<String>>) -> String {
    let cell = |tag: &str, text: &str| format!("<{tag}>{}</{tag}>", escape_html(text));
    let mut out = format!("<table><tr>{}</tr>\n", head.iter().map(|h| cell("th", h)).collect::<String>());
    for row in rows {
        let _ = writeln!(out, "<tr>{}</tr>", row.iter().map(|c| cell("td", c)).collect::<String>());
    }
    out + "</table>\n"
}

/// The report as an HTML page: first the verdict, then the data behind it.
fn html_page(report: &Report, classes: &[String], statuses: &[InstanceStatus]) -> String {
    let mut out = "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>Shadow traffic</title>\n\
        <style>body{font:16px sans-serif;max-width:60em;margin:2em auto}td,th{padding:.2em .8em;text-align:left}\
        table{border-collapse:collapse}tr{border-bottom:1px solid #ccc}</style>\n"
        .to_owned();
    let _ = writeln!(out, "<h1>The candidates: {}</h1>", verdict_text(report.verdict));
    let _ = writeln!(out, "<p>Different answers (95%): {}.</p>", difference_text(report));
    out += &html_table(
        &["answers", "copies"],
        tally_counts(&report.tally).into_iter().map(|(name, n)| vec![name, n.to_string()]),
    );
    out += "<h2>Times where both sides had the record</h2>\n";
    let head = ["class", "quantile", "live, ms", "candidate, ms", "more, ms (95%)", "verdict"];
    out += &html_table(&head, report.times.iter().map(|q| quantile_cells(q, classes).to_vec()));
    out += "<h2>Instances</h2>\n";
    let hits = |c: &ShadowStatus| {
        let measured = c.status.counts.hits.iter().filter(|h| h[0] > 0);
        let shares: Vec<String> =
            measured.map(|h| format!("{:.0}", 100.0 * h[1] as f64 / h[0] as f64)).collect();
        shares.join(" ")
    };
    let row = |s: &InstanceStatus| match &s.copying {
        Ok(c) => vec![s.name.clone(), state_text(c), c.status.counts.copies.to_string(), hits(c)],
        Err(reason) => vec![s.name.clone(), reason.clone(), String::new(), String::new()],
    };
    out += &html_table(&["instance", "state", "copies", "hits over time, %"], statuses.iter().map(row));
    out + "</html>\n"
}

/// The steps of a promotion, and the number of live boxes.
///
/// # Errors
/// The configuration is invalid, or has no live boxes.
fn promotion_steps(config: &Path, candidates: u32, count: u32) -> Result<(Vec<Step>, usize), String> {
    let text = std::fs::read_to_string(config).map_err(|e| format!("{}: {e}", config.display()))?;
    let config = Config::parse(&text, |_| None).map_err(|e| format!("{}: {e}", config.display()))?;
    let live = config.known_list.as_ref().map_or(0, |k| k.hosts.len());
    if live == 0 {
        return Err("the configuration has no live boxes; use one that a proxy was started with".into());
    }
    let rule = SlowStart {
        initial_fraction: config.settings.slow_start_initial_fraction,
        duration: config.settings.slow_start_duration,
    };
    Ok((promote::promotion_steps(rule, live, candidates as usize, count as usize), live))
}

/// Executes a subcommand.
pub async fn execute(subcommand: &Command, agents: &[Agent], force: bool, output: Output) -> Exit {
    let all_instances: &[String] = &[];
    match subcommand {
        Command::Start { names, seconds, generation } => {
            let generation = generation.unwrap_or_else(new_generation);
            let command = json!({"op": "start", "generation": generation, "for_ms": seconds * 1_000});
            let (statuses, complete) = send_command(agents, names, &command, output).await;
            print_statuses(&statuses, output);
            exit_code(&statuses, complete)
        }
        Command::Stop { names, generation } => {
            let generation = generation.unwrap_or_else(new_generation);
            let (statuses, complete) =
                send_command(agents, names, &json!({"op": "stop", "generation": generation}), output).await;
            print_statuses(&statuses, output);
            exit_code(&statuses, complete)
        }
        Command::Status => {
            let (statuses, complete) =
                send_command(agents, all_instances, &json!({"op": "status"}), output).await;
            print_statuses(&statuses, output);
            exit_code(&statuses, complete)
        }
        Command::Report { html, tolerated_different, tolerated_slower } => {
            let (statuses, complete) =
                send_command(agents, all_instances, &json!({"op": "status"}), output).await;
            let tolerance = Tolerance { difference_rate: *tolerated_different, slowdown: *tolerated_slower };
            let (report, classes) = merge_reports(&statuses, tolerance);
            let answered = statuses.iter().filter(|s| s.copying.is_ok()).count();
            statuses
                .iter()
                .filter(|s| s.copying.is_err())
                .for_each(|s| eprintln!("trestlectl: {}", status_text(s)));
            if let Some(path) = html {
                if let Err(e) = std::fs::write(path, html_page(&report, &classes, &statuses)) {
                    eprintln!("trestlectl: {}: {e}", path.display());
                    return Exit::Failed;
                }
            }
            let value = json!({"report": report, "classes": classes, "instances": answered});
            output.print(&value, || report_text(&report, &classes, answered));
            exit_code(&statuses, complete)
        }
        Command::Promote { config, candidates, steps, .. } => {
            let (statuses, complete) =
                send_command(agents, all_instances, &json!({"op": "status"}), output).await;
            let (report, _) = merge_reports(&statuses, Tolerance::default());
            let (plan, live) = match promotion_steps(config, *candidates, *steps) {
                Ok(plan) => plan,
                Err(reason) => {
                    eprintln!("trestlectl: {reason}");
                    return Exit::Failed;
                }
            };
            let is_good_enough = matches!(report.verdict, Verdict::Equivalent | Verdict::Better);
            let value =
                json!({"word": report.verdict, "live": live, "candidates": candidates, "steps": plan});
            output.print(&value, || {
                let mut out = format!(
                    "the candidates are {}; {candidates} beside {live} live boxes\n",
                    verdict_text(report.verdict)
                );
                for s in &plan {
                    let _ = writeln!(
                        out,
                        "after {:6.1} s: weight {:.3}, {:.3}% of the keys each, {:.3}% in all",
                        s.at_seconds,
                        s.weight,
                        s.share_each * 100.0,
                        s.share_all * 100.0
                    );
                }
                out.trim_end().to_owned()
            });
            if !is_good_enough && !force {
                eprintln!(
                    "trestlectl: the copies don't show that they are good enough: {}",
                    verdict_text(report.verdict)
                );
                return Exit::Failed;
            }
            exit_code(&statuses, complete)
        }
    }
}
