//! Commands that go to agents.

use crate::client::{Agent, Failure};
use hyper::Method;
use indicatif::{ProgressBar, ProgressStyle};
use serde_json::{json, Value};
use std::io::{IsTerminal, Write};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How often an operation is looked at.
const LOOK: Duration = Duration::from_millis(50);

/// How a command ended: the exit codes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Exit {
    /// All of it is done.
    Done = 0,
    /// Nothing of it is done, or it went wrong.
    Failed = 1,
    /// Part of it is done, or that is not known.
    Unknown = 3,
}

/// How to say it.
#[derive(Clone, Copy, Debug)]
pub struct Voice {
    /// As JSON, one object a line.
    pub json: bool,
    /// How long to wait for an operation.
    pub wait: Duration,
}

impl Voice {
    /// Says something that was asked for.
    pub fn say(&self, value: &Value, text: impl FnOnce() -> String) {
        let line = if self.json { value.to_string() } else { text() };
        // Who has closed the pipe wants no more.
        let _ = writeln!(std::io::stdout(), "{line}");
    }

    /// Says why something was not done.
    pub fn complain(&self, agent: &Agent, why: &str) {
        if self.json {
            let _ =
                writeln!(std::io::stdout(), "{}", json!({"agent": agent.address.to_string(), "error": why}));
        }
        eprintln!("trestlectl: {why}");
    }
}

/// One exit for many agents: done only where all are, failed only where all are.
pub fn all(exits: impl IntoIterator<Item = Exit>) -> Exit {
    let exits: Vec<Exit> = exits.into_iter().collect();
    match exits.first() {
        Some(first) if exits.iter().all(|e| e == first) => *first,
        Some(_) => Exit::Unknown,
        None => Exit::Done,
    }
}

/// An id that no other operation has.
fn new_id() -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    format!("ctl-{:x}-{:x}", now.as_nanos(), std::process::id())
}

/// Gives a command to an agent, and waits until it is done.
pub async fn give(agent: &Agent, command: &Value, force: bool, base: Option<u64>, voice: Voice) -> Exit {
    let begun = Instant::now();
    let base = match base {
        Some(base) => base,
        None => match agent.ask(Method::GET, "/v1/fleet", None).await {
            Ok(fleet) => fleet["generation"].as_u64().unwrap_or(0),
            Err(e) => {
                voice.complain(agent, &e.to_string());
                return Exit::Failed;
            }
        },
    };
    let id = new_id();
    let write = json!({"id": id, "base": base, "force": force, "command": command});
    // Said again under the same id it is still one operation: so it may be, until the agent has answered.
    let mut tried = false;
    loop {
        match agent.ask(Method::POST, "/v1/operations", Some(&write)).await {
            Ok(_) => break,
            Err(Failure::Refused(_, why)) => {
                voice.complain(agent, &why);
                return Exit::Failed;
            }
            Err(Failure::Unreachable(why)) if !tried => {
                voice.complain(agent, &why);
                return Exit::Failed;
            }
            Err(e) if begun.elapsed() >= voice.wait => {
                voice.complain(agent, &format!("{e}; see later with: trestlectl operation {id}"));
                return Exit::Unknown;
            }
            Err(_) => tried = true,
        }
        tokio::time::sleep(LOOK).await;
    }
    follow(agent, &id, begun, voice).await
}

/// Waits until an operation is over.
pub async fn follow(agent: &Agent, id: &str, begun: Instant, voice: Voice) -> Exit {
    let bar = (!voice.json && std::io::stderr().is_terminal()).then(|| {
        let style = ProgressStyle::with_template("{msg} [{bar:30}] {pos}/{len}");
        ProgressBar::new(1).with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
    });
    loop {
        let path = format!("/v1/operations/{id}");
        let told = agent.ask(Method::GET, &path, None).await;
        let state = match &told {
            Ok(value) => &value["state"],
            Err(Failure::Refused(_, why)) => {
                voice.complain(agent, why);
                return Exit::Failed;
            }
            Err(_) => &Value::Null,
        };
        let outcome = state["outcome"].as_str().unwrap_or("unknown").to_owned();
        if let (Some(bar), Some(all)) = (&bar, state["instances"].as_object()) {
            bar.set_length(all.len() as u64);
            bar.set_position(all.values().filter(|s| *s == "applied" || *s == "down").count() as u64);
            bar.set_message(state["detail"].as_str().unwrap_or_default().to_owned());
        }
        let exit = match outcome.as_str() {
            "applied" | "down" => Some(Exit::Done),
            "failed" | "superseded" => Some(Exit::Failed),
            _ if begun.elapsed() >= voice.wait => Some(Exit::Unknown),
            _ => None,
        };
        let Some(exit) = exit else {
            tokio::time::sleep(LOOK).await;
            continue;
        };
        if let Some(bar) = &bar {
            bar.finish_and_clear();
        }
        let agent_name = agent.address.to_string();
        voice.say(&json!({"agent": agent_name, "operation": id, "outcome": outcome, "state": state}), || {
            let open = state["instances"].as_object().into_iter().flatten();
            let open: Vec<String> = open
                .filter(|(_, s)| *s != "applied" && *s != "down")
                .map(|(n, s)| format!("{n} {}", s.as_str().unwrap_or_default()))
                .collect();
            let detail = state["detail"]
                .as_str()
                .filter(|d| !d.is_empty())
                .map_or(String::new(), |d| format!(", {d}"));
            let open = if open.is_empty() { String::new() } else { format!(" ({})", open.join(", ")) };
            format!("{outcome}{detail}{open}")
        });
        if exit != Exit::Done {
            eprintln!("trestlectl: {agent_name}: not done yet or not known; see: trestlectl operation {id}");
        }
        return exit;
    }
}

/// The fleet of an agent as a table.
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

/// Tells the state of an agent's fleet, or a part of it.
pub async fn status(agent: &Agent, part: Option<&str>, voice: Voice) -> Exit {
    match agent.ask(Method::GET, "/v1/fleet", None).await {
        Ok(fleet) => {
            let shown = part.map_or(&fleet, |p| &fleet[p]);
            voice.say(&json!({"agent": agent.address.to_string(), "fleet": shown}), || match part {
                Some(_) => shown["summary"].as_str().unwrap_or("none").to_owned(),
                None => table(&fleet),
            });
            Exit::Done
        }
        Err(e) => {
            voice.complain(agent, &e.to_string());
            Exit::Failed
        }
    }
}

/// Tells all of one instance.
pub async fn inspect(agent: &Agent, name: &str, voice: Voice) -> Exit {
    match agent.ask(Method::GET, &format!("/v1/instances/{name}"), None).await {
        Ok(told) => {
            voice.say(&told, || serde_json::to_string_pretty(&told).unwrap_or_default());
            Exit::Done
        }
        Err(e) => {
            voice.complain(agent, &e.to_string());
            Exit::Failed
        }
    }
}

/// Tells of changes until it is ended.
pub async fn watch(agent: &Agent, voice: Voice) -> Exit {
    let (mut after, mut last) = (None, Value::Null);
    loop {
        let path = after.map_or("/v1/watch".into(), |n: u64| format!("/v1/watch?after={n}&timeout_ms=20000"));
        match agent.ask_for(Method::GET, &path, None, Duration::from_secs(30)).await {
            Ok(told) => {
                after = told["change"].as_u64();
                // What changes with every look is no news.
                let mut fleet = told["fleet"].clone();
                for (_, i) in fleet["instances"].as_object_mut().into_iter().flatten() {
                    if let Some(fields) = i.as_object_mut() {
                        ["heard_ms", "requests", "counters", "list"].iter().for_each(|k| {
                            fields.remove(*k);
                        });
                    }
                }
                if fleet != last {
                    last = fleet;
                    voice.say(&json!({"agent": agent.address.to_string(), "fleet": last}), || {
                        table(&told["fleet"])
                    });
                }
                tokio::time::sleep(LOOK).await;
            }
            Err(e) => {
                voice.complain(agent, &e.to_string());
                after = None;
                tokio::time::sleep(Duration::from_secs(1)).await;
            }
        }
    }
}

/// Instances by the agents that have them.
pub struct Owned {
    /// Each agent with those of the wanted instances that it has, if any.
    pub at: Vec<(Agent, Vec<String>)>,
    /// Names that nobody has who answers.
    pub missing: Vec<String>,
    /// An agent did not answer; that has been said.
    pub unreached: bool,
}

impl Owned {
    /// Says which names nobody has.
    pub fn complain(&self) {
        if !self.missing.is_empty() {
            eprintln!("trestlectl: no agent has {}; see: trestlectl status", self.missing.join(", "));
        }
    }
}

/// Which agents have these instances; without names, all that they have.
pub async fn owners(agents: &[Agent], wanted: &[String], voice: Voice) -> Owned {
    let mut owned = Owned { at: Vec::new(), missing: wanted.to_vec(), unreached: false };
    for agent in agents {
        match names(agent).await {
            Ok(known) => {
                owned.missing.retain(|n| !known.contains(n));
                let own: Vec<String> =
                    known.into_iter().filter(|n| wanted.is_empty() || wanted.contains(n)).collect();
                if !own.is_empty() {
                    owned.at.push((agent.clone(), own));
                }
            }
            Err(e) => {
                voice.complain(agent, &e.to_string());
                owned.unreached = true;
            }
        }
    }
    owned
}

/// The names of an agent's instances.
pub async fn names(agent: &Agent) -> Result<Vec<String>, Failure> {
    let fleet = agent.ask(Method::GET, "/v1/fleet", None).await?;
    Ok(fleet["instances"].as_object().into_iter().flatten().map(|(n, _)| n.clone()).collect())
}

/// What a fleet's file would change.
pub async fn dry_run(agent: &Agent, command: &Value, force: bool, voice: Voice) -> Exit {
    let asked = async {
        let fleet = agent.ask(Method::GET, "/v1/fleet", None).await?;
        let write = json!({"id": new_id(), "base": fleet["generation"], "force": force, "dry_run": true,
            "command": command});
        agent.ask(Method::POST, "/v1/operations", Some(&write)).await
    };
    match asked.await {
        Ok(told) => {
            let changes = told["changes"].as_array().cloned().unwrap_or_default();
            voice.say(&told, || match &changes[..] {
                [] => "nothing changes".into(),
                changes => changes.iter().filter_map(Value::as_str).collect::<Vec<_>>().join("\n"),
            });
            Exit::Done
        }
        Err(e) => {
            voice.complain(agent, &e.to_string());
            Exit::Failed
        }
    }
}
