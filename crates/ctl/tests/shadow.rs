//! `trestlectl shadow` with agents that run real proxies.

use serde_json::{json, Value};
use std::path::Path;
use std::process::{Command, Stdio};
use testkit::agent::Agent;
use testkit::process::Folder;
use testkit::scripted::Peer;
use testkit::world::{World, WorldConfig};

/// Runs the tool: exit code, standard output and standard error.
fn tool(agents: &[&Path], args: &[&str]) -> (i32, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_trestlectl"));
    for agent in agents {
        command.arg("--agent").arg(agent);
    }
    let out = command.args(args).env_remove("TRESTLE_AGENT").stdin(Stdio::null()).output().expect("runs");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (out.status.code().unwrap_or(-1), text(&out.stdout), text(&out.stderr))
}

/// A world of six listed boxes and two unlisted ones.
fn world(seed: u64) -> World {
    let mut config = WorldConfig::new(seed, 8, 2);
    config.unlisted = 2;
    World::start(config)
}

/// Starts two proxies with `[shadow]`; `more` is appended to their operator's file.
fn start_proxies(world: &World, agent: &mut Agent, folder: &Folder, more: &str) -> (i32, String, String) {
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

/// Sends reads to all instances until the tool reports this number of copies in total.
fn read_until(agent: &Agent, agents: &[&Path], copies: u64) {
    let mut clients: Vec<Peer> = agent.addresses.values().map(|a| Peer::connect(*a)).collect();
    for key in 0_u64.. {
        assert!(key < 5_000, "{}", tool(agents, &["shadow", "status"]).1);
        for client in &mut clients {
            client.get(key % 40, "pack-lookup", 480);
            client.command();
        }
        if key % 50 == 49 {
            let (code, out, error) = tool(agents, &["--json", "shadow", "status"]);
            assert_eq!(code, 0, "{error}");
            let lines = out.lines().map(|l| serde_json::from_str::<Value>(l).expect("JSON"));
            let copied = |l: &Value| l["copying"]["status"]["counts"]["copies"].as_u64().unwrap_or(0);
            if lines.map(|l| copied(&l)).sum::<u64>() >= copies {
                return;
            }
        }
    }
}

#[test]
fn copying_is_started_reported_planned_and_stopped_across_a_fleet() {
    let (world, mut agent, folder) = (world(51), Agent::start(), Folder::new("ctl").expect("a folder"));
    let socket = agent.socket();
    let agents: &[&Path] = &[&socket];
    // An invalid operator's file is rejected with all of its faults, and nothing is applied.
    let (code, _, error) = start_proxies(&world, &mut agent, &folder, "speed = 1\nsalt = -1\n");
    assert_eq!((code, error.lines().count()), (1, 4), "{error}");
    assert!(error.contains("shadow.salt: is -1") && error.contains("shadow.speed: is unknown"), "{error}");
    let (code, out, error) = start_proxies(&world, &mut agent, &folder, "");
    assert_eq!((code, out.trim_end()), (0, "applied"), "{error}");
    let (code, out, _) = tool(agents, &["shadow", "status"]);
    assert!(code == 0 && out.lines().all(|l| l.contains(": off, generation 0")), "{out}");
    let config = folder.0.join("planned.json");
    std::fs::write(&config, world.proxy_config(0, testkit::scripted::unused_address()).to_string())
        .expect("written");
    let promote =
        ["shadow", "promote", "--dry-run", "--config", &config.to_string_lossy(), "--candidates", "2"];
    // Without any copies a promotion is refused.
    let (code, out, error) = tool(agents, &promote);
    assert!(code == 1 && out.contains("not enough seen") && error.contains("don't show"), "{out}{error}");

    let (code, out, error) = tool(agents, &["shadow", "start", "--for", "600"]);
    assert_eq!((code, out.lines().filter(|l| l.contains(": on, ")).count()), (0, 2), "{out}{error}");
    read_until(&agent, agents, 100);
    let page = folder.0.join("report.html");
    let (code, out, error) = tool(agents, &["shadow", "report", "--html", &page.to_string_lossy()]);
    assert_eq!(code, 0, "{error}");
    assert!(out.starts_with("not enough seen, by copies at 2 instances\nanswers: "), "{out}");
    let html = std::fs::read_to_string(&page).expect("a page");
    assert!(
        html.contains("<h1>The candidates: not enough seen</h1>") && html.contains("<td>n1</td>"),
        "{html}"
    );
    let (code, out, _) = tool(agents, &["--json", "shadow", "report"]);
    let report: Value = serde_json::from_str(out.trim_end()).expect("JSON");
    assert_eq!((code, &report["instances"], &report["classes"]), (0, &json!(2), &json!(["pack-lookup"])));
    assert!(report["report"]["tally"]["equal"].as_u64() > Some(50), "{report}");
    assert_eq!(report["report"]["different"]["low"], 0.0, "{report}");
    // With --force the steps are printed anyway: the weights of slow start, up to that of a warm box.
    let (code, out, _) = tool(agents, &[&promote[..], &["--force", "--steps", "3", "--json"]].concat());
    let report: Value = serde_json::from_str(out.trim_end()).expect("JSON");
    let weights: Vec<f64> =
        report["steps"].as_array().expect("steps").iter().filter_map(|s| s["weight"].as_f64()).collect();
    assert_eq!((code, weights.len(), &report["live"]), (0, 4, &json!(6)), "{report}");
    assert!((weights[0] - 0.15).abs() < 1e-9 && (weights[3] - 1.0).abs() < 1e-9, "{weights:?}");

    // Commands to one instance, with an old generation, and with unknown names.
    let (code, out, _) = tool(agents, &["shadow", "stop", "n0"]);
    assert!(code == 0 && out.starts_with("n0: stopped: Asked") && out.lines().count() == 1, "{out}");
    let (code, _, error) = tool(agents, &["shadow", "start", "n0", "--generation", "1"]);
    assert!(code == 1, "{error}");
    let (code, _, error) = tool(agents, &["shadow", "stop", "n9"]);
    assert!(code == 1 && error.contains("no agent has n9"), "{error}");
    let (code, out, error) = tool(agents, &["shadow", "stop", "n1", "n9"]);
    assert!(code == 3 && out.starts_with("n1: stopped") && error.contains("n9"), "{out}{error}");
    // One of two agents is unreachable: the command is done in part.
    let nowhere = folder.0.join("nowhere.sock");
    let (code, out, error) = tool(&[&socket, &nowhere], &["shadow", "status"]);
    assert!(code == 3 && out.lines().count() == 2 && error.contains("can't be reached"), "{out}{error}");
    assert_eq!(tool(agents, &["shadow", "promote", "--config", "x"]).0, 2, "--dry-run is required");
    assert_eq!(tool(agents, &["shadow", "start", "--for", "0"]).0, 2);
}
