//! Copies of reads, steered by the tool at real proxies that agents run.

use serde_json::{json, Value};
use std::path::Path;
use std::process::{Command, Stdio};
use testkit::agent::Agent;
use testkit::process::Folder;
use testkit::scripted::Peer;
use testkit::world::{World, WorldConfig};

/// Exit code, what it said, and what it complained of.
fn tool(agents: &[&Path], args: &[&str]) -> (i32, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_trestlectl"));
    for agent in agents {
        command.arg("--agent").arg(agent);
    }
    let out = command.args(args).env_remove("TRESTLE_AGENT").stdin(Stdio::null()).output().expect("runs");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (out.status.code().unwrap_or(-1), text(&out.stdout), text(&out.stderr))
}

/// A world of six boxes and two that are not listed.
fn world(seed: u64) -> World {
    let mut config = WorldConfig::new(seed, 8, 2);
    config.unlisted = 2;
    World::start(config)
}

/// Brings up two proxies that may copy; `more` stands in their operator's file.
fn brought_up(world: &World, agent: &mut Agent, folder: &Folder, more: &str) -> (i32, String, String) {
    let candidates: Vec<String> =
        world.boxes[6..].iter().map(|b| format!("\"{}\"", b.addresses[0])).collect();
    let operator = format!(
        "version = 1\n[shadow]\ncandidates = [{}]\nclasses = [\"pack-lookup\"]\nshare = 1.0\nfirst_share = 1.0\n\
         misses_per_second = 4000\ndeadline_ms = 200\ncpu_share = 0.5\n{more}",
        candidates.join(", ")
    );
    std::fs::write(folder.0.join("shadow.toml"), operator).expect("written");
    let desired = agent.desired(world, 2, |_| {});
    let mut text = "version = 1\n\n[policy]\nhealthy_for = 100\n".to_owned();
    for (name, instance) in desired["instances"].as_object().expect("instances") {
        std::fs::write(folder.0.join(format!("{name}.json")), instance["config"].to_string())
            .expect("written");
        let zone = &instance["zone"];
        text += &format!(
            "\n[[instance]]\nname = \"{name}\"\nzone = {zone}\nconfig = \"{name}.json\"\noperator = \"shadow.toml\"\n"
        );
    }
    let path = folder.0.join("fleet.toml");
    std::fs::write(&path, text).expect("written");
    tool(&[&agent.socket()], &["apply", &path.to_string_lossy()])
}

/// Reads at all instances until the tool says so many copies in all.
fn read_until(agent: &Agent, at: &[&Path], copies: u64) {
    let mut clients: Vec<Peer> = agent.addresses.values().map(|a| Peer::connect(*a)).collect();
    for key in 0_u64.. {
        assert!(key < 5_000, "{}", tool(at, &["shadow", "status"]).1);
        for client in &mut clients {
            client.get(key % 40, "pack-lookup", 480);
            client.command();
        }
        if key % 50 == 49 {
            let (code, out, error) = tool(at, &["--json", "shadow", "status"]);
            assert_eq!(code, 0, "{error}");
            let lines = out.lines().map(|l| serde_json::from_str::<Value>(l).expect("JSON"));
            let done = |l: &Value| l["copying"]["status"]["counts"]["copies"].as_u64().unwrap_or(0);
            if lines.map(|l| done(&l)).sum::<u64>() >= copies {
                return;
            }
        }
    }
}

#[test]
fn copying_is_started_seen_reported_planned_and_stopped_over_a_fleet() {
    let (world, mut agent, folder) = (world(51), Agent::start(), Folder::new("ctl").expect("a folder"));
    let socket = agent.socket();
    let at: &[&Path] = &[&socket];
    // An operator's file that can't hold is refused whole, before anything is done.
    let (code, _, error) = brought_up(&world, &mut agent, &folder, "speed = 1\nsalt = -1\n");
    assert_eq!((code, error.lines().count()), (1, 4), "{error}");
    assert!(error.contains("shadow.salt: is -1") && error.contains("shadow.speed: is unknown"), "{error}");
    let (code, out, error) = brought_up(&world, &mut agent, &folder, "");
    assert_eq!((code, out.trim_end()), (0, "applied"), "{error}");
    let (code, out, _) = tool(at, &["shadow", "status"]);
    assert!(code == 0 && out.lines().all(|l| l.contains(": off, generation 0")), "{out}");
    let config = folder.0.join("planned.json");
    std::fs::write(&config, world.proxy_config(0, testkit::scripted::nobody()).to_string()).expect("written");
    let promote =
        ["shadow", "promote", "--dry-run", "--config", &config.to_string_lossy(), "--candidates", "2"];
    // Nothing is seen yet: it is not to be promoted.
    let (code, out, error) = tool(at, &promote);
    assert!(code == 1 && out.contains("not enough seen") && error.contains("don't show"), "{out}{error}");

    let (code, out, error) = tool(at, &["shadow", "start", "--for", "600"]);
    assert_eq!((code, out.lines().filter(|l| l.contains(": on, ")).count()), (0, 2), "{out}{error}");
    read_until(&agent, at, 100);
    let page = folder.0.join("report.html");
    let (code, out, error) = tool(at, &["shadow", "report", "--html", &page.to_string_lossy()]);
    assert_eq!(code, 0, "{error}");
    assert!(out.starts_with("not enough seen, by copies at 2 instances\nanswers: "), "{out}");
    let html = std::fs::read_to_string(&page).expect("a page");
    assert!(
        html.contains("<h1>The candidates: not enough seen</h1>") && html.contains("<td>n1</td>"),
        "{html}"
    );
    let (code, out, _) = tool(at, &["--json", "shadow", "report"]);
    let told: Value = serde_json::from_str(out.trim_end()).expect("JSON");
    assert_eq!((code, &told["instances"], &told["classes"]), (0, &json!(2), &json!(["pack-lookup"])));
    assert!(told["report"]["tally"]["equal"].as_u64() > Some(50), "{told}");
    assert_eq!(told["report"]["different"]["low"], 0.0, "{told}");
    // By force the way is told all the same: the weights that the cold rule allows, up to a warm box's.
    let (code, out, _) = tool(at, &[&promote[..], &["--force", "--steps", "3", "--json"]].concat());
    let told: Value = serde_json::from_str(out.trim_end()).expect("JSON");
    let weights: Vec<f64> =
        told["steps"].as_array().expect("steps").iter().filter_map(|s| s["weight"].as_f64()).collect();
    assert_eq!((code, weights.len(), &told["live"]), (0, 4, &json!(6)), "{told}");
    assert!((weights[0] - 0.15).abs() < 1e-9 && (weights[3] - 1.0).abs() < 1e-9, "{weights:?}");

    // One instance alone; another order later; names that nobody has.
    let (code, out, _) = tool(at, &["shadow", "stop", "n0"]);
    assert!(code == 0 && out.starts_with("n0: stopped: Asked") && out.lines().count() == 1, "{out}");
    let (code, _, error) = tool(at, &["shadow", "start", "n0", "--generation", "1"]);
    assert!(code == 1, "{error}");
    let (code, _, error) = tool(at, &["shadow", "stop", "n9"]);
    assert!(code == 1 && error.contains("no agent has n9"), "{error}");
    let (code, out, error) = tool(at, &["shadow", "stop", "n1", "n9"]);
    assert!(code == 3 && out.starts_with("n1: stopped") && error.contains("n9"), "{out}{error}");
    // An agent that is away: partly done.
    let nowhere = folder.0.join("nowhere.sock");
    let (code, out, error) = tool(&[&socket, &nowhere], &["shadow", "status"]);
    assert!(code == 3 && out.lines().count() == 2 && error.contains("can't be reached"), "{out}{error}");
    assert_eq!(tool(at, &["shadow", "promote", "--config", "x"]).0, 2, "only a dry run");
    assert_eq!(tool(at, &["shadow", "start", "--for", "0"]).0, 2);
}
