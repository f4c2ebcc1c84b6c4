//! The tool against an agent with real proxies.

use serde_json::{json, Value};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::Duration;
use testkit::agent::Agent;
use testkit::process::Folder;
use testkit::world::{World, WorldConfig};

struct Done {
    code: i32,
    out: String,
    error: String,
}

impl Done {
    fn json(&self) -> Value {
        serde_json::from_str(self.out.lines().last().unwrap_or_default())
            .unwrap_or_else(|e| panic!("{e}: {}", self.out))
    }
}

fn tool(agents: &[&Path], args: &[&str]) -> Done {
    let mut command = Command::new(env!("CARGO_BIN_EXE_trestlectl"));
    for agent in agents {
        command.arg("--agent").arg(agent);
    }
    let out = command.args(args).env_remove("TRESTLE_AGENT").stdin(Stdio::null()).output().expect("runs");
    Done {
        code: out.status.code().unwrap_or(-1),
        out: String::from_utf8_lossy(&out.stdout).into_owned(),
        error: String::from_utf8_lossy(&out.stderr).into_owned(),
    }
}

/// Writes a fleet's file with its configurations.
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
fn a_fleet_is_brought_up_changed_drained_and_ended_with_the_tool() {
    let world = World::start(WorldConfig::new(41, 6, 2));
    let (mut agent, folder) = (Agent::start(), Folder::new("ctl").expect("a folder"));
    let socket = agent.socket();
    let at: &[&Path] = &[&socket];
    let file = fleet_file(&folder.0, &world, &mut agent, 2, 96);
    let file_name = file.to_string_lossy().into_owned();
    let done = tool(at, &["check", &file_name]);
    assert_eq!((done.code, done.out.trim_end().ends_with("a fleet's file, good")), (0, true), "{}", done.out);
    let done = tool(at, &["apply", &file_name, "--dry-run"]);
    assert_eq!((done.code, done.out.lines().count()), (0, 3), "{}", done.out);
    assert!(done.out.contains("+ n0: new in joburg"), "{}", done.out);
    assert!(agent.processes().is_empty());
    let done = tool(at, &["apply", &file_name]);
    assert_eq!((done.code, done.out.trim_end()), (0, "applied"), "{}", done.error);
    assert_eq!(agent.processes().len(), 2);
    let done = tool(at, &["status"]);
    assert_eq!(done.code, 0);
    assert_eq!(done.out.lines().filter(|l| l.contains("ready")).count(), 2, "{}", done.out);
    // Another configuration rolls; a restart is asked for by its name.
    let file = fleet_file(&folder.0, &world, &mut agent, 2, 97);
    let before = agent.processes();
    assert_eq!(tool(at, &["apply", &file.to_string_lossy()]).code, 0);
    assert!(agent.processes().iter().zip(&before).all(|(a, b)| a.1 != b.1));
    let done = tool(at, &["--json", "restart", "--rolling", "n1"]);
    assert_eq!((done.code, &done.json()["outcome"]), (0, &json!("applied")), "{}", done.error);
    assert_eq!(tool(at, &["rollout", "status"]).out.trim_end(), "done, 1 of 1 done");
    let done = tool(at, &["rollout", "pause"]);
    assert!(done.code == 1 && done.error.contains("no rollout is under way"), "{}", done.error);
    // Who watches is told of changes as they come.
    let mut watch = Command::new(env!("CARGO_BIN_EXE_trestlectl"))
        .arg("--agent")
        .arg(&socket)
        .args(["--json", "watch"])
        .stdout(Stdio::piped())
        .spawn()
        .expect("runs");
    let mut told = std::io::BufRead::lines(std::io::BufReader::new(watch.stdout.take().expect("piped")));
    let mut until = |wanted: &dyn Fn(&Value) -> bool| {
        let line = told.by_ref().map(|l| l.expect("a line")).find(|l| {
            let told: Value = serde_json::from_str(l).expect("JSON");
            wanted(&told["fleet"])
        });
        assert!(line.is_some());
    };
    until(&|f| f["instances"]["n0"]["state"] == "ready");
    assert_eq!(tool(at, &["drain", "n0"]).code, 0);
    until(&|f| f["instances"]["n0"]["drained"] == true);
    assert_eq!(tool(at, &["undrain", "n0"]).code, 0);
    until(&|f| f["instances"]["n0"]["state"] == "ready");
    watch.kill().expect("killed");
    watch.wait().expect("waited");
    // Boxes and instances.
    agent.wait("its list is kept", Duration::from_secs(20), |a| {
        a.folder.0.join("instances/n0/known.json").exists()
    });
    assert_eq!(tool(at, &["drain-box", "s-0"]).code, 0);
    let told = tool(at, &["inspect", "n0"]);
    let told: Value = serde_json::from_str(&told.out).expect("JSON");
    assert_eq!((&told["boxes"][0]["box"], &told["boxes"][0]["usable"]), (&json!("s-0"), &json!(false)));
    let done = tool(at, &["drain-box", "s-3"]);
    assert!(done.code == 1 && done.error.contains("--force does it all the same"), "{}", done.error);
    assert_eq!(done.error.lines().count(), 1);
    assert_eq!(tool(at, &["drain-box", "s-3", "--force"]).code, 0);
    assert_eq!(tool(at, &["undrain-box", "s-0", "s-3"]).code, 0);
    assert_eq!(tool(at, &["drain", "n0"]).code, 0);
    let done = tool(at, &["drain", "--all"]);
    assert!(done.code == 1 && done.error.contains("no instance would be left"), "{}", done.error);
    assert_eq!(tool(at, &["undrain", "n0"]).code, 0);
    // Decided on what is no longer in force.
    let done = tool(at, &["--base", "1", "undrain", "n0"]);
    assert!(done.code == 1 && done.error.contains("look again"), "{}", done.error);
    let done = tool(at, &["down", "n9"]);
    assert!(done.code == 1 && done.error.contains("no agent has n9"), "{}", done.error);
    assert_eq!(tool(at, &["down", "--all", "--force"]).code, 0);
    assert!(agent.processes().is_empty());
    assert_eq!(tool(at, &["up", "n0"]).code, 0);
    assert_eq!(agent.processes().len(), 1);
}

#[test]
fn an_outcome_that_is_not_known_is_said_to_be_unknown_and_several_agents_are_told_in_one_call() {
    let world = World::start(WorldConfig::new(42, 6, 2));
    let (mut one, two) = (Agent::start(), Agent::start());
    let folder = Folder::new("ctl").expect("a folder");
    let file = fleet_file(&folder.0, &world, &mut one, 2, 96);
    let sockets = [one.socket(), two.socket()];
    let both: &[&Path] = &[&sockets[0], &sockets[1]];
    assert_eq!(tool(&both[..1], &["apply", &file.to_string_lossy()]).code, 0);
    assert_eq!(tool(both, &["apply", &file.to_string_lossy()]).code, 1);
    one.wait("its list is kept", Duration::from_secs(20), |a| {
        a.folder.0.join("instances/n0/known.json").exists()
    });
    let done = tool(both, &["status", "--json"]);
    assert_eq!((done.code, done.out.lines().count()), (0, 2));
    assert_eq!(tool(both, &["drain-box", "s-0", "--force"]).code, 0);
    // One instance hangs: the others have learned, and it is not said to be done.
    one.signal("n1", "-STOP");
    let done = tool(&both[..1], &["drain-box", "s-1", "--wait", "4"]);
    assert_eq!(done.code, 3, "{}", done.error);
    assert!(done.out.contains("unknown") && done.out.contains("n1 unknown"), "{}", done.out);
    assert!(!done.out.contains("n0"), "{}", done.out);
    let id = done.error.split("operation ").nth(1).expect("an id").trim().to_owned();
    one.signal("n1", "-CONT");
    one.until(&id, "applied", Duration::from_secs(20));
    assert_eq!(tool(both, &["operation", &id]).code, 0);
    // One of two agents is away: partly done.
    drop(two);
    let done = tool(both, &["undrain-box", "s-1"]);
    assert_eq!(done.code, 3, "{}", done.error);
    assert!(
        done.error.contains("can't be reached") && done.error.contains("does trestle-agent run"),
        "{}",
        done.error
    );
    assert_eq!(tool(&both[1..], &["status"]).code, 1);
}

#[test]
fn files_are_checked_whole_and_completions_are_printed() {
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
    let done = tool(&[], &["check", &path("fleet.toml", &fleet)]);
    assert_eq!((done.code, done.error.lines().count()), (1, 4), "{}", done.error);
    for named in
        ["policy.batch is 0", "\"a/b\": is no name", "instance n1: ", "bad.json: the configuration is wrong"]
    {
        assert!(done.error.contains(named), "{named}: {}", done.error);
    }
    let done = tool(&[], &["check", &path("operator.toml", "version = 1\n[control]\nspeed = 1\n")]);
    assert_eq!((done.code, done.error.lines().count()), (1, 2), "{}", done.error);
    let unknown =
        path("typo.toml", "version = 1\n[[instance]]\nname = \"n\"\nzone = \"z\"\nconfig = \"c\"\nzoo = 1\n");
    let done = tool(&[], &["check", &unknown]);
    assert!(done.code == 1 && done.error.contains("zoo"), "{}", done.error);
    for shell in ["bash", "zsh", "fish"] {
        assert!(tool(&[], &["completions", shell]).out.contains("undrain-box"), "{shell}");
    }
    assert_eq!(tool(&[], &["drain"]).code, 2);
    assert_eq!(tool(&[], &["restart"]).code, 2);
    assert_eq!(tool(&[], &["--agent", "http://nowhere", "status"]).code, 2);
}
