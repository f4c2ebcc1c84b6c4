//! Commands that are sent to agents, and their output.

use crate::client::{Agent, RequestError};
use hyper::Method;
use indicatif::{ProgressBar, ProgressStyle};
use serde_json::{json, Value};
use std::io::{IsTerminal, Write};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The interval of polling, and of retries.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The outcome of a command, as an exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// The command failed.
    Failed = 1,
    /// The command succeeded in part, or its outcome is unknown.
    Unknown = 3,
}

/// Options of output and waiting.
#[derive(Clone, Copy, Debug)]
pub struct Output {
    /// Print JSON, one object per line.
    pub json: bool,
    /// How long to wait for the end of an operation.
    pub wait: Duration,
}

impl Output {
    /// Prints a result to standard output, as JSON or as text.
    pub fn print(&self, value: &Value, text: impl FnOnce() -> String) {
        let line = if self.json { value.to_string() } else { text() };
        // A closed pipe is not an error: the reader needs no more output.
        let _ = writeln!(std::io::stdout(), "{line}");
    }

    /// Reports to standard error why a command failed; with JSON, also to standard output.
    pub fn report_error(&self, agent: &Agent, reason: &str) {
        if self.json {
            let _ = writeln!(
                std::io::stdout(),
                "{}",
                json!({"agent": agent.address.to_string(), "error": reason})
            );
        }
        eprintln!("trestlectl: {reason}");
    }
}

/// Combines the outcomes of several agents: an outcome that all share, else [`Exit::Unknown`].
pub fn combine(exits: impl IntoIterator<Item = Exit>) -> Exit {
    let exits: Vec<Exit> = exits.into_iter().collect();
    match exits.first() {
        Some(first) if exits.iter().all(|e| e == first) => *first,
        Some(_) => Exit::Unknown,
        None => Exit::Done,
    }
}

/// A unique id for an operation.
fn new_id() -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    format!("ctl-{:x}-{:x}", now.as_nanos(), std::process::id())
}

/// Submits a command to an agent, and waits for the end of the operation.
pub async fn submit(agent: &Agent, command: &Value, force: bool, base: Option<u64>, output: Output) -> Exit {
    let started = Instant::now();
    let base = match base {
        Some(base) => base,
        None => match agent.request(Method::GET, "/v1/fleet", None).await {
            Ok(fleet) => fleet["generation"].as_u64().unwrap_or(0),
            Err(e) => {
                output.report_error(agent, &e.to_string());
                return Exit::Failed;
            }
        },
    };
    let id = new_id();
    let request = json!({"id": id, "base": base, "force": force, "command": command});
    // A retry with the same id is the same operation, so the request is retried until the agent has answered.
    let mut may_have_arrived = false;
    loop {
        match agent.request(Method::POST, "/v1/operations", Some(&request)).await {
            Ok(_) => break,
            Err(RequestError::Refused(_, reason)) => {
                output.report_error(agent, &reason);
                return Exit::Failed;
            }
            Err(RequestError::Unreachable(reason)) if !may_have_arrived => {
                output.report_error(agent, &reason);
                return Exit::Failed;
            }
            Err(e) if started.elapsed() >= output.wait => {
                output.report_error(agent, &format!("{e}; check later with: trestlectl operation {id}"));
                return Exit::Unknown;
            }
            Err(_) => may_have_arrived = true,
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    wait_for_operation(agent, &id, started, output).await
}

/// Waits for the end of an operation, and prints its outcome.
pub async fn wait_for_operation(agent: &Agent, id: &str, started: Instant, output: Output) -> Exit {
    let bar = (!output.json && std::io::stderr().is_terminal()).then(|| {
        let style = ProgressStyle::with_template("{msg} [{bar:30}] {pos}/{len}");
        ProgressBar::new(1).with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
    });
    loop {
        let path = format!("/v1/operations/{id}");
        let response = agent.request(Method::GET, &path, None).await;
        let state = match &response {
            Ok(value) => &value["state"],
            Err(RequestError::Refused(_, reason)) => {
                output.report_error(agent, reason);
                return Exit::Failed;
            }
            Err(_) => &Value::Null,
        };
        let outcome = state["outcome"].as_str().unwrap_or("unknown").to_owned();
        if let (Some(bar), Some(instances)) = (&bar, state["instances"].as_object()) {
            bar.set_length(instances.len() as u64);
            bar.set_position(instances.values().filter(|s| *s == "applied" || *s == "down").count() as u64);
            bar.set_message(state["detail"].as_str().unwrap_or_default().to_owned());
        }
        let exit = match outcome.as_str() {
            "applied" | "down" => Some(Exit::Done),
            "failed" | "superseded" => Some(Exit::Failed),
            _ if started.elapsed() >= output.wait => Some(Exit::Unknown),
            _ => None,
        };
        let Some(exit) = exit else {
            tokio::time::sleep(POLL_INTERVAL).await;
            continue;
        };
        if let Some(bar) = &bar {
            bar.finish_and_clear();
        }
        let agent_name = agent.address.to_string();
        output.print(
            &json!({"agent": agent_name, "operation": id, "outcome": outcome, "state": state}),
            || {
                let unfinished = state["instances"].as_object().into_iter().flatten();
                let unfinished: Vec<String> = unfinished
                    .filter(|(_, s)| *s != "applied" && *s != "down")
                    .map(|(n, s)| format!("{n} {}", s.as_str().unwrap_or_default()))
                    .collect();
                let detail = state["detail"]
                    .as_str()
                    .filter(|d| !d.is_empty())
                    .map_or(String::new(), |d| format!(", {d}"));
                let unfinished = if unfinished.is_empty() {
                    String::new()
                } else {
                    format!(" ({})", unfinished.join(", "))
                };
                format!("{outcome}{detail}{unfinished}")
            },
        );
        if exit != Exit::Done {
            eprintln!("trestlectl: {agent_name}: not done, or the outcome is unknown; see: trestlectl operation {id}");
        }
        return exit;
    }
}

/// Formats the state of an agent's fleet as a table.
fn table(fleet: &Value) -> String {
    let text = |v: &Value| match v {
        Value::Null => "-".to_owned(),
        Value::String(s) => s.clone(),
        v => v.to_string(),
    };
    let mut rows = vec![[
        "NAME",
        "STATE",
        "ZONE",
        "PID",
        "GENERATION",
        "REVISION",
        "LIST",
        "AGE MS",
        "REQUESTS",
        "TROUBLE",
    ]
    .map(str::to_owned)
    .to_vec()];
    for (name, i) in fleet["instances"].as_object().into_iter().flatten() {
        let generation = match (&i["generation"], &i["wanted_generation"]) {
            (now, wanted) if now == wanted => text(now),
            (now, wanted) => format!("{} -> {}", text(now), text(wanted)),
        };
        let cells = [&i["state"], &i["zone"], &i["pid"]].map(text);
        let rest =
            [&i["revision"], &i["list"]["version"], &i["list"]["age_ms"], &i["requests"], &i["trouble"]]
                .map(text);
        let row = [name.clone()].into_iter().chain(cells).chain([generation]).chain(rest);
        rows.push(row.collect());
    }
    let width = |column: usize| rows.iter().map(|r| r[column].chars().count()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..rows[0].len()).map(width).collect();
    let line = |row: &Vec<String>| {
        let cells: Vec<String> = row.iter().zip(&widths).map(|(c, w)| format!("{c:w$}")).collect();
        cells.join("  ").trim_end().to_owned()
    };
    let boxes = fleet["drained_boxes"].as_array().map(Vec::as_slice).unwrap_or_default();
    let boxes: Vec<&str> = boxes.iter().filter_map(Value::as_str).collect();
    let drained = if boxes.is_empty() { "none".to_owned() } else { boxes.join(" ") };
    let rollout = fleet["rollout"]["summary"].as_str().unwrap_or("none");
    let head = format!(
        "generation {}, drained boxes (revision {}): {drained}, rollout: {rollout}",
        fleet["generation"], fleet["revision"]
    );
    [head].into_iter().chain(rows.iter().map(line)).collect::<Vec<_>>().join("\n")
}

/// Prints the state of an agent's fleet, or a part of it.
pub async fn status(agent: &Agent, part: Option<&str>, output: Output) -> Exit {
    match agent.request(Method::GET, "/v1/fleet", None).await {
        Ok(fleet) => {
            let shown = part.map_or(&fleet, |p| &fleet[p]);
            output.print(&json!({"agent": agent.address.to_string(), "fleet": shown}), || match part {
                Some(_) => shown["summary"].as_str().unwrap_or("none").to_owned(),
                None => table(&fleet),
            });
            Exit::Done
        }
        Err(e) => {
            output.report_error(agent, &e.to_string());
            Exit::Failed
        }
    }
}

/// Prints the full state of an instance.
pub async fn inspect(agent: &Agent, name: &str, output: Output) -> Exit {
    match agent.request(Method::GET, &format!("/v1/instances/{name}"), None).await {
        Ok(response) => {
            output.print(&response, || serde_json::to_string_pretty(&response).unwrap_or_default());
            Exit::Done
        }
        Err(e) => {
            output.report_error(agent, &e.to_string());
            Exit::Failed
        }
    }
}

/// Prints the state of the fleet after each change, until the process is ended.
pub async fn watch(agent: &Agent, output: Output) -> Exit {
    let (mut after, mut last) = (None, Value::Null);
    loop {
        let path = after.map_or("/v1/watch".into(), |n: u64| format!("/v1/watch?after={n}&timeout_ms=20000"));
        match agent.request_with_timeout(Method::GET, &path, None, Duration::from_secs(30)).await {
            Ok(response) => {
                after = response["change"].as_u64();
                // Fields that change with every response don't count as a change.
                let mut fleet = response["fleet"].clone();
                for (_, i) in fleet["instances"].as_object_mut().into_iter().flatten() {
                    if let Some(fields) = i.as_object_mut() {
                        ["heard_ms", "requests", "counters", "list"].iter().for_each(|k| {
                            fields.remove(*k);
                        });
                    }
                }
                if fleet != last {
                    last = fleet;
                    output.print(&json!({"agent": agent.address.to_string(), "fleet": last}), || {
                        table(&response["fleet"])
                    });
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            Err(e) => {
                output.report_error(agent, &e.to_string());
                after = None;
                tokio::time::sleep(Duration::from_secs(1)).await;
            }
        }
    }
}

/// Instances grouped by the agents that run them.
pub struct InstanceOwners {
    /// Each agent that has any of the requested instances, with the names of these.
    pub by_agent: Vec<(Agent, Vec<String>)>,
    /// Names that no reachable agent has.
    pub missing: Vec<String>,
    /// Whether an agent could not be reached; the error has been reported.
    pub has_unreachable_agent: bool,
}

impl InstanceOwners {
    /// Reports the names that no agent has.
    pub fn report_missing(&self) {
        if !self.missing.is_empty() {
            eprintln!("trestlectl: no agent has {}; see: trestlectl status", self.missing.join(", "));
        }
    }
}

/// Finds the agents that have these instances; without names, all instances.
pub async fn find_owners(agents: &[Agent], requested: &[String], output: Output) -> InstanceOwners {
    let mut owners =
        InstanceOwners { by_agent: Vec::new(), missing: requested.to_vec(), has_unreachable_agent: false };
    for agent in agents {
        match instance_names(agent).await {
            Ok(known) => {
                owners.missing.retain(|n| !known.contains(n));
                let own_names: Vec<String> =
                    known.into_iter().filter(|n| requested.is_empty() || requested.contains(n)).collect();
                if !own_names.is_empty() {
                    owners.by_agent.push((agent.clone(), own_names));
                }
            }
            Err(e) => {
                output.report_error(agent, &e.to_string());
                owners.has_unreachable_agent = true;
            }
        }
    }
    owners
}

/// Names of an agent's instances.
pub async fn instance_names(agent: &Agent) -> Result<Vec<String>, RequestError> {
    let fleet = agent.request(Method::GET, "/v1/fleet", None).await?;
    Ok(fleet["instances"].as_object().into_iter().flatten().map(|(n, _)| n.clone()).collect())
}

/// Prints what a command would change, without executing it.
pub async fn dry_run(agent: &Agent, command: &Value, force: bool, output: Output) -> Exit {
    let changes = async {
        let fleet = agent.request(Method::GET, "/v1/fleet", None).await?;
        let request = json!({"id": new_id(), "base": fleet["generation"], "force": force, "dry_run": true,
            "command": command});
        agent.request(Method::POST, "/v1/operations", Some(&request)).await
    };
    match changes.await {
        Ok(response) => {
            let changes = response["changes"].as_array().cloned().unwrap_or_default();
            output.print(&response, || match &changes[..] {
                [] => "nothing changes".into(),
                changes => changes.iter().filter_map(Value::as_str).collect::<Vec<_>>().join("\n"),
            });
            Exit::Done
        }
        Err(e) => {
            output.report_error(agent, &e.to_string());
            Exit::Failed
        }
    }
}
