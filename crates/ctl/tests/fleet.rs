//! trestlectl with agents that run real proxies.

use serde_json::{json, Value};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::Duration;
use testkit::agent::Agent;
use testkit::process::Folder;
use testkit::world::{World, WorldConfig};

/// The result of one run of the tool.
struct Run {
    code: i32,
    out: String,
    error: String,
}

impl Run {
    fn json(&self) -> Value {
        serde_json::from_str(self.out.lines().last().unwrap_or_default())
            .unwrap_or_else(|e| panic!("{e}: {}", self.out))
    }
}

fn tool(agents: &[&Path], args: &[&str]) -> Run {
    let mut command = Command::new(env!("CARGO_BIN_EXE_trestlectl"));
    for agent in agents {
        command.arg("--agent").arg(agent);
    }
    let out = command.args(args).env_remove("TRESTLE_AGENT").stdin(Stdio::null()).output().expect("runs");
    Run {
        code: out.status.code().unwrap_or(-1),
        out: String::from_utf8_lossy(&out.stdout).into_owned(),
        error: String::from_utf8_lossy(&out.stderr).into_owned(),
    }
}

/// Writes a fleet's file and the configurations that it names.
fn fleet_file(folder: &Path, world: &World, agent: &mut Agent, proxies: usize, memory: u64) -> PathBuf {
    let desired = agent.desired(world, proxies, |c| c["limits"]["memory_mb"] = json!(memory));
    let mut text = "version = 1\n\n[policy]\nmax_unavailable = 1\nhealthy_for = 100\n".to_owned();
    for (name, instance) in desired["instances"].as_object().expect("instances") {
        std::fs::write(folder.join(format!("{name}.json")), instance["config"].to_string()).expect("written");
        let zone = &instance["zone"];
        text += &format!("\n[[instance]]\nname = \"{name}\"\nzone = {zone}\nconfig = \"{name}.json\"\n");
    }
    let path = folder.join("fleet.toml");
    std::fs::write(&path, text).expect("written");
    path
}

#[test]
fn a_fleet_is_started_changed_drained_and_stopped() {
    let world = World::start(WorldConfig::new(41, 6, 2));
    let (mut agent, folder) = (Agent::start(), Folder::new("ctl").expect("a folder"));
    let socket = agent.socket();
    let agents: &[&Path] = &[&socket];
    let file = fleet_file(&folder.0, &world, &mut agent, 2, 96);
    let file_name = file.to_string_lossy().into_owned();
    let run = tool(agents, &["check", &file_name]);
    assert_eq!((run.code, run.out.trim_end().ends_with("a fleet's file, good")), (0, true), "{}", run.out);
    let run = tool(agents, &["apply", &file_name, "--dry-run"]);
    assert_eq!((run.code, run.out.lines().count()), (0, 3), "{}", run.out);
    assert!(run.out.contains("+ n0: new in joburg"), "{}", run.out);
    assert!(agent.processes().is_empty());
    let run = tool(agents, &["apply", &file_name]);
    assert_eq!((run.code, run.out.trim_end()), (0, "applied"), "{}", run.error);
    assert_eq!(agent.processes().len(), 2);
    let run = tool(agents, &["status"]);
    assert_eq!(run.code, 0);
    assert_eq!(run.out.lines().filter(|l| l.contains("ready")).count(), 2, "{}", run.out);
    // A new configuration starts a rollout; `restart` restarts a named instance.
    let file = fleet_file(&folder.0, &world, &mut agent, 2, 97);
    let before = agent.processes();
    assert_eq!(tool(agents, &["apply", &file.to_string_lossy()]).code, 0);
    assert!(agent.processes().iter().zip(&before).all(|(a, b)| a.1 != b.1));
    let run = tool(agents, &["--json", "restart", "--rolling", "n1"]);
    assert_eq!((run.code, &run.json()["outcome"]), (0, &json!("applied")), "{}", run.error);
    assert_eq!(tool(agents, &["rollout", "status"]).out.trim_end(), "done, 1 of 1 done");
    let run = tool(agents, &["rollout", "pause"]);
    assert!(run.code == 1 && run.error.contains("no rollout is under way"), "{}", run.error);
    // `watch` prints changes as they happen.
    let mut watch = Command::new(env!("CARGO_BIN_EXE_trestlectl"))
        .arg("--agent")
        .arg(&socket)
        .args(["--json", "watch"])
        .stdout(Stdio::piped())
        .spawn()
        .expect("runs");
    let mut lines = std::io::BufRead::lines(std::io::BufReader::new(watch.stdout.take().expect("piped")));
    let mut until = |condition: &dyn Fn(&Value) -> bool| {
        let line = lines.by_ref().map(|l| l.expect("a line")).find(|l| {
            let event: Value = serde_json::from_str(l).expect("JSON");
            condition(&event["fleet"])
        });
        assert!(line.is_some());
    };
    until(&|f| f["instances"]["n0"]["state"] == "ready");
    assert_eq!(tool(agents, &["drain", "n0"]).code, 0);
    until(&|f| f["instances"]["n0"]["drained"] == true);
    assert_eq!(tool(agents, &["undrain", "n0"]).code, 0);
    until(&|f| f["instances"]["n0"]["state"] == "ready");
    watch.kill().expect("killed");
    watch.wait().expect("waited");
    // Draining of boxes and of instances.
    agent.wait("the list of boxes is saved", Duration::from_secs(20), |a| {
        a.folder.0.join("instances/n0/known.json").exists()
    });
    assert_eq!(tool(agents, &["drain-box", "s-0"]).code, 0);
    let inspected = tool(agents, &["inspect", "n0"]);
    let state: Value = serde_json::from_str(&inspected.out).expect("JSON");
    assert_eq!((&state["boxes"][0]["box"], &state["boxes"][0]["usable"]), (&json!("s-0"), &json!(false)));
    let run = tool(agents, &["drain-box", "s-3"]);
    assert!(run.code == 1 && run.error.contains("--force does it all the same"), "{}", run.error);
    assert_eq!(run.error.lines().count(), 1);
    assert_eq!(tool(agents, &["drain-box", "s-3", "--force"]).code, 0);
    assert_eq!(tool(agents, &["undrain-box", "s-0", "s-3"]).code, 0);
    assert_eq!(tool(agents, &["drain", "n0"]).code, 0);
    let run = tool(agents, &["drain", "--all"]);
    assert!(run.code == 1 && run.error.contains("no instance would be left"), "{}", run.error);
    assert_eq!(tool(agents, &["undrain", "n0"]).code, 0);
    // A command based on an old generation is rejected.
    let run = tool(agents, &["--base", "1", "undrain", "n0"]);
    assert_eq!(run.code, 1, "{}", run.error);
    for part in [
        "the command is based on generation 1, but the fleet is at generation ",
        "read its state again and retry",
    ] {
        assert!(run.error.contains(part), "{part}: {}", run.error);
    }
    let run = tool(agents, &["down", "n9"]);
    assert!(run.code == 1 && run.error.contains("no agent has n9"), "{}", run.error);
    assert_eq!(tool(agents, &["down", "--all", "--force"]).code, 0);
    assert!(agent.processes().is_empty());
    assert_eq!(tool(agents, &["up", "n0"]).code, 0);
    assert_eq!(agent.processes().len(), 1);
}

#[test]
fn an_unknown_outcome_is_reported_as_unknown_and_one_call_reaches_several_agents() {
    let world = World::start(WorldConfig::new(42, 6, 2));
    let (mut one, two) = (Agent::start(), Agent::start());
    let folder = Folder::new("ctl").expect("a folder");
    let file = fleet_file(&folder.0, &world, &mut one, 2, 96);
    let sockets = [one.socket(), two.socket()];
    let both: &[&Path] = &[&sockets[0], &sockets[1]];
    assert_eq!(tool(&both[..1], &["apply", &file.to_string_lossy()]).code, 0);
    assert_eq!(tool(both, &["apply", &file.to_string_lossy()]).code, 1);
    one.wait("the list of boxes is saved", Duration::from_secs(20), |a| {
        a.folder.0.join("instances/n0/known.json").exists()
    });
    let run = tool(both, &["status", "--json"]);
    assert_eq!((run.code, run.out.lines().count()), (0, 2));
    assert_eq!(tool(both, &["drain-box", "s-0", "--force"]).code, 0);
    // One instance hangs: the others apply the command, and the outcome is unknown.
    one.signal("n1", "-STOP");
    let run = tool(&both[..1], &["drain-box", "s-1", "--wait", "4"]);
    assert_eq!(run.code, 3, "{}", run.error);
    assert!(run.out.contains("unknown") && run.out.contains("n1 unknown"), "{}", run.out);
    assert!(!run.out.contains("n0"), "{}", run.out);
    let id = run.error.split("operation ").nth(1).expect("an id").trim().to_owned();
    one.signal("n1", "-CONT");
    one.until(&id, "applied", Duration::from_secs(20));
    assert_eq!(tool(both, &["operation", &id]).code, 0);
    // One of two agents is unreachable: the command is done in part.
    drop(two);
    let run = tool(both, &["undrain-box", "s-1"]);
    assert_eq!(run.code, 3, "{}", run.error);
    assert!(
        run.error.contains("can't be reached") && run.error.contains("does trestle-agent run"),
        "{}",
        run.error
    );
    assert_eq!(tool(&both[1..], &["status"]).code, 1);
}

#[test]
fn all_faults_of_files_are_reported_and_completions_are_printed() {
    let folder = Folder::new("ctl").expect("a folder");
    let path = |name: &str, text: &str| {
        let path = folder.0.join(name);
        std::fs::write(&path, text).expect("written");
        path.to_string_lossy().into_owned()
    };
    let bad = path("bad.json", "{}");
    let fleet = format!(
        "version = 1\n[policy]\nbatch = 0\n[[instance]]\nname = \"a/b\"\nzone = \"z\"\nconfig = \"x\"\n\
         [[instance]]\nname = \"n1\"\nzone = \"z\"\nconfig = \"missing.json\"\n\
         [[instance]]\nname = \"n2\"\nzone = \"z\"\nconfig = {bad:?}\n"
    );
    let run = tool(&[], &["check", &path("fleet.toml", &fleet)]);
    assert_eq!((run.code, run.error.lines().count()), (1, 4), "{}", run.error);
    for named in
        ["policy.batch is 0", "\"a/b\": is no name", "instance n1: ", "bad.json: the configuration is wrong"]
    {
        assert!(run.error.contains(named), "{named}: {}", run.error);
    }
    let run = tool(&[], &["check", &path("operator.toml", "version = 1\n[control]\nspeed = 1\n")]);
    assert_eq!((run.code, run.error.lines().count()), (1, 2), "{}", run.error);
    let unknown =
        path("typo.toml", "version = 1\n[[instance]]\nname = \"n\"\nzone = \"z\"\nconfig = \"c\"\nzoo = 1\n");
    let run = tool(&[], &["check", &unknown]);
    assert!(run.code == 1 && run.error.contains("zoo"), "{}", run.error);
    for shell in ["bash", "zsh", "fish"] {
        assert!(tool(&[], &["completions", shell]).out.contains("undrain-box"), "{shell}");
    }
    assert_eq!(tool(&[], &["drain"]).code, 2);
    assert_eq!(tool(&[], &["restart"]).code, 2);
    assert_eq!(tool(&[], &["--agent", "http://nowhere", "status"]).code, 2);
}
