//! `trestlectl shadow`: copies of reads to candidates, at many instances of several agents.

use crate::client::Agent;
use crate::run::{all, owners, Exit, Voice};
use base64::prelude::{Engine, BASE64_STANDARD};
use clap::Subcommand;
use control::message::ShadowStatus;
use hyper::Method;
use serde_json::{json, Value};
use shadow::promote::{promotion_steps, SlowStart, Step};
use shadow::verdict::{LatencyHistograms, Quantile, Tolerance};
use shadow::{Report, State, Tally, Verdict};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};
use trestlesill::config::Config;

/// What to do.
#[derive(Clone, Debug, Subcommand)]
pub enum Command {
    /// Start copying, or prolong it. It goes on as long as the agents renew it, up to the time given.
    Start {
        /// Instances; all of them where none is named.
        names: Vec<String>,
        /// For so many seconds, 1 to 604,800.
        #[arg(long = "for", value_name = "SECONDS", default_value_t = 3_600, value_parser = clap::value_parser!(u64).range(1..=604_800))]
        seconds: u64,
        /// The number of this order, to prolong one; by default a new one.
        #[arg(long)]
        generation: Option<u64>,
    },
    /// Stop copying.
    Stop {
        /// Instances; all of them where none is named.
        names: Vec<String>,
        /// The number of this order; by default a new one.
        #[arg(long)]
        generation: Option<u64>,
    },
    /// Tell how copying stands at each instance.
    Status,
    /// Tell what the copies of all instances show together.
    Report {
        /// Write it as one page to this file as well.
        #[arg(long, value_name = "FILE")]
        html: Option<PathBuf>,
        /// The share of answers that may differ.
        #[arg(long, default_value_t = Tolerance::default().difference_rate)]
        tolerated_different: f64,
        /// The part by which quantiles may be longer.
        #[arg(long, default_value_t = Tolerance::default().slowdown)]
        tolerated_slower: f64,
    },
    /// Tell the steps in which the candidates may come into service. Only discovery can put them there.
    Promote {
        /// Only tell. There is no other way.
        #[arg(long, required = true)]
        dry_run: bool,
        /// A proxy's configuration, for its rule of cold boxes and its live boxes.
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// Candidates.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..=64))]
        candidates: u32,
        /// Steps.
        #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u32).range(1..=100))]
        steps: u32,
    },
}

/// What one instance said.
struct Said {
    agent: String,
    name: String,
    copying: Result<Box<ShadowStatus>, String>,
}

/// A number that is greater than those of earlier orders: milliseconds of Unix time.
fn new_generation() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Gives an order to all agents, each for those of the named instances that it has. What was said, and whether every agent
/// and each name was found.
async fn ask(agents: &[Agent], names: &[String], order: &Value, voice: Voice) -> (Vec<Said>, bool) {
    let (mut said, mut whole, mut jobs) = (Vec::new(), true, Vec::new());
    if names.is_empty() {
        jobs.extend(agents.iter().map(|a| (a.clone(), order.clone())));
    } else {
        let owned = owners(agents, names, voice).await;
        owned.complain();
        whole = !owned.unreached && owned.missing.is_empty();
        for (agent, own) in owned.at {
            let mut order = order.clone();
            order["names"] = json!(own);
            jobs.push((agent, order));
        }
    }
    for (agent, order) in &jobs {
        match agent.ask(Method::POST, "/v1/shadow", Some(order)).await {
            Ok(told) => {
                for (name, one) in told["instances"].as_object().into_iter().flatten() {
                    let copying = match serde_json::from_value(one["ok"].clone()) {
                        Ok(copying) => Ok(Box::new(copying)),
                        Err(_) => Err(one["error"]["message"].as_str().unwrap_or("no answer").to_owned()),
                    };
                    said.push(Said { agent: agent.address.to_string(), name: name.clone(), copying });
                }
            }
            Err(e) => {
                voice.complain(agent, &e.to_string());
                whole = false;
            }
        }
    }
    (said, whole)
}

/// How it went: done only where every instance answered so, failed where none did.
fn exit(said: &[Said], whole: bool) -> Exit {
    let each = said.iter().map(|s| if s.copying.is_ok() { Exit::Done } else { Exit::Failed });
    all(each.chain((!whole || said.is_empty()).then_some(Exit::Failed)))
}

fn state(copying: &ShadowStatus) -> String {
    match copying.status.state {
        State::Off => "off".into(),
        State::On { .. } => "on".into(),
        State::Stopped(stop) => format!("stopped: {stop:?}"),
    }
}

fn line(said: &Said) -> String {
    match &said.copying {
        Ok(c) => {
            let s = &c.status;
            let trouble = s.trouble.map_or(String::new(), |(what, ms)| format!(", {what:?} {ms} ms ago"));
            format!(
                "{}: {}, generation {}, {:.4}% of the keys, {} candidates, {} copies, {} open, {}{trouble}",
                said.name,
                state(c),
                s.generation,
                f64::from(s.sampling_ppm) / 1e4,
                s.candidates,
                s.counts.copies,
                s.open_copies,
                word(c.report.verdict),
            )
        }
        Err(why) => format!("{}: {why}", said.name),
    }
}

fn tell(said: &[Said], voice: Voice) {
    for one in said {
        let value = match &one.copying {
            Ok(c) => json!({"agent": one.agent, "instance": one.name, "copying": c}),
            Err(why) => json!({"agent": one.agent, "instance": one.name, "error": why}),
        };
        voice.say(&value, || line(one));
    }
}

fn word(word: Verdict) -> &'static str {
    match word {
        Verdict::Worse => "worse",
        Verdict::Better => "better",
        Verdict::Equivalent => "alike",
        Verdict::Inconclusive => "not enough seen",
    }
}

/// All instances together, and the names of the classes in the order of their numbers there.
fn together(said: &[Said], tolerance: Tolerance) -> (Report, Vec<String>) {
    let (mut tally, mut times) = (Tally::default(), BTreeMap::<String, LatencyHistograms>::new());
    for copying in said.iter().filter_map(|s| s.copying.as_ref().ok()) {
        tally.merge(&copying.report.tally);
        for (class, text) in &copying.times {
            match BASE64_STANDARD.decode(text).ok().and_then(|bytes| LatencyHistograms::from_bytes(&bytes)) {
                Some(t) => times.entry(class.clone()).or_default().merge(&t),
                None => eprintln!("trestlectl: times of {class} can't be read and are left out"),
            }
        }
    }
    let report = Report::new(tally, (0..).zip(times.values()), tolerance);
    (report, times.into_keys().collect())
}

fn quantile(q: &Quantile, classes: &[String]) -> [String; 6] {
    [
        classes.get(q.class as usize).cloned().unwrap_or_default(),
        format!("p{}", q.quantile * 100.0),
        format!("{:.2}", q.latency_ms[0]),
        format!("{:.2}", q.latency_ms[1]),
        format!("{:+.2} to {:+.2}", q.difference_ms.low, q.difference_ms.high),
        format!("{} of {}", word(q.verdict), q.count),
    ]
}

fn counts(tally: &Tally) -> Vec<(String, u64)> {
    let value = serde_json::to_value(tally).unwrap_or_default();
    let all = value.as_object().into_iter().flatten();
    all.filter_map(|(what, n)| Some((what.clone(), n.as_u64()?))).collect()
}

/// Between which shares answers differ, of how many, and what that says.
fn answers(report: &Report) -> String {
    let Report { difference_rate: different, tally, .. } = report;
    let (low, high) = (different.low * 100.0, different.high * 100.0);
    format!("{low:.4}% to {high:.4}% of {}, {}", tally.compared(), word(report.answers))
}

fn text(report: &Report, classes: &[String], instances: usize) -> String {
    let mut out = format!("{}, by copies at {instances} instances\n", word(report.verdict));
    let found: Vec<String> = counts(&report.tally).iter().map(|(what, n)| format!("{what} {n}")).collect();
    // Writing to a string cannot fail.
    let _ = writeln!(out, "answers: {}", found.join(", "));
    let _ = writeln!(out, "different: {}", answers(report));
    for q in &report.times {
        let [class, part, live, candidate, more, said] = quantile(q, classes);
        let _ =
            writeln!(out, "{class} {part}: live {live} ms, candidate {candidate} ms, {more} ms more: {said}");
    }
    out.trim_end().to_owned()
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

fn table(head: &[&str], rows: impl Iterator<Item = Vec<String>>) -> String {
    let cell = |tag: &str, text: &str| format!("<{tag}>{}</{tag}>", escape(text));
    let mut out = format!("<table><tr>{}</tr>\n", head.iter().map(|h| cell("th", h)).collect::<String>());
    for row in rows {
        let _ = writeln!(out, "<tr>{}</tr>", row.iter().map(|c| cell("td", c)).collect::<String>());
    }
    out + "</table>\n"
}

/// The page: the verdict first, then what it rests on.
fn page(report: &Report, classes: &[String], said: &[Said]) -> String {
    let mut out = "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>Shadow traffic</title>\n\
        <style>body{font:16px sans-serif;max-width:60em;margin:2em auto}td,th{padding:.2em .8em;text-align:left}\
        table{border-collapse:collapse}tr{border-bottom:1px solid #ccc}</style>\n"
        .to_owned();
    let _ = writeln!(out, "<h1>The candidates: {}</h1>", word(report.verdict));
    let _ = writeln!(out, "<p>Different answers (95%): {}.</p>", answers(report));
    out += &table(
        &["answers", "copies"],
        counts(&report.tally).into_iter().map(|(w, n)| vec![w, n.to_string()]),
    );
    out += "<h2>Times where both sides had the record</h2>\n";
    let head = ["class", "quantile", "live, ms", "candidate, ms", "more, ms (95%)", "verdict"];
    out += &table(&head, report.times.iter().map(|q| quantile(q, classes).to_vec()));
    out += "<h2>Instances</h2>\n";
    let hits = |c: &ShadowStatus| {
        let shares = c.status.counts.hits.iter().filter(|h| h[0] > 0);
        let shares: Vec<String> =
            shares.map(|h| format!("{:.0}", 100.0 * h[1] as f64 / h[0] as f64)).collect();
        shares.join(" ")
    };
    let row = |s: &Said| match &s.copying {
        Ok(c) => vec![s.name.clone(), state(c), c.status.counts.copies.to_string(), hits(c)],
        Err(why) => vec![s.name.clone(), why.clone(), String::new(), String::new()],
    };
    out += &table(&["instance", "state", "copies", "hits over time, %"], said.iter().map(row));
    out + "</html>\n"
}

/// The steps, or all that is wrong with the configuration.
fn plan(config: &Path, candidates: u32, count: u32) -> Result<(Vec<Step>, usize), String> {
    let text = std::fs::read_to_string(config).map_err(|e| format!("{}: {e}", config.display()))?;
    let config = Config::parse(&text, |_| None).map_err(|e| format!("{}: {e}", config.display()))?;
    let live = config.known_list.as_ref().map_or(0, |k| k.hosts.len());
    if live == 0 {
        return Err("the configuration knows no live boxes; take one that a proxy was started with".into());
    }
    let rule = SlowStart {
        initial_fraction: config.settings.slow_start_initial_fraction,
        duration: config.settings.slow_start_duration,
    };
    Ok((promotion_steps(rule, live, candidates as usize, count as usize), live))
}

/// Carries out one of them.
pub async fn execute(what: &Command, agents: &[Agent], force: bool, voice: Voice) -> Exit {
    let none: &[String] = &[];
    match what {
        Command::Start { names, seconds, generation } => {
            let generation = generation.unwrap_or_else(new_generation);
            let order = json!({"op": "start", "generation": generation, "for_ms": seconds * 1_000});
            let (said, whole) = ask(agents, names, &order, voice).await;
            tell(&said, voice);
            exit(&said, whole)
        }
        Command::Stop { names, generation } => {
            let generation = generation.unwrap_or_else(new_generation);
            let (said, whole) =
                ask(agents, names, &json!({"op": "stop", "generation": generation}), voice).await;
            tell(&said, voice);
            exit(&said, whole)
        }
        Command::Status => {
            let (said, whole) = ask(agents, none, &json!({"op": "status"}), voice).await;
            tell(&said, voice);
            exit(&said, whole)
        }
        Command::Report { html, tolerated_different, tolerated_slower } => {
            let (said, whole) = ask(agents, none, &json!({"op": "status"}), voice).await;
            let tolerance = Tolerance { difference_rate: *tolerated_different, slowdown: *tolerated_slower };
            let (report, classes) = together(&said, tolerance);
            let answered = said.iter().filter(|s| s.copying.is_ok()).count();
            said.iter().filter(|s| s.copying.is_err()).for_each(|s| eprintln!("trestlectl: {}", line(s)));
            if let Some(path) = html {
                if let Err(e) = std::fs::write(path, page(&report, &classes, &said)) {
                    eprintln!("trestlectl: {}: {e}", path.display());
                    return Exit::Failed;
                }
            }
            let value = json!({"report": report, "classes": classes, "instances": answered});
            voice.say(&value, || text(&report, &classes, answered));
            exit(&said, whole)
        }
        Command::Promote { config, candidates, steps, .. } => {
            let (said, whole) = ask(agents, none, &json!({"op": "status"}), voice).await;
            let (report, _) = together(&said, Tolerance::default());
            let (plan, live) = match plan(config, *candidates, *steps) {
                Ok(plan) => plan,
                Err(why) => {
                    eprintln!("trestlectl: {why}");
                    return Exit::Failed;
                }
            };
            let sure = matches!(report.verdict, Verdict::Equivalent | Verdict::Better);
            let value =
                json!({"word": report.verdict, "live": live, "candidates": candidates, "steps": plan});
            voice.say(&value, || {
                let mut out = format!(
                    "the candidates are {}; {candidates} beside {live} live boxes\n",
                    word(report.verdict)
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
            if !sure && !force {
                eprintln!(
                    "trestlectl: the copies don't show that they are good enough: {}",
                    word(report.verdict)
                );
                return Exit::Failed;
            }
            exit(&said, whole)
        }
    }
}
