//! The agent with real proxies in a simulated environment of cache nodes, origin and clients, under faults.

use serde_json::{json, Value};
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::net::UnixStream;
use std::time::{Duration, Instant};
use testkit::agent::{http, Agent};
use testkit::controller::Controller;
use testkit::scripted::PATIENCE;
use testkit::world::{AttemptRecord, End, Load, World, WorldConfig};

/// Time-out for the longest rollout of these tests on a slow machine.
const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(60);
/// Time for which a proxy may still send requests to a box after it received the drain, with 50 ms for the sockets.
const DRAIN_GRACE: Duration = Duration::from_millis(550);

/// A policy with large batches and short waits.
fn fast_policy() -> Value {
    json!({"batch": 2, "max_unavailable": 2, "max_unavailable_in_zone": 2, "max_failures": 0,
        "ready_within": 10_000, "healthy_for": 200, "stop_within": 3_700})
}

/// A fleet of running proxies in a simulated environment.
struct Fleet {
    world: World,
    agent: Agent,
    proxies: usize,
}

/// Starts a fleet and waits until all its instances run.
fn start_fleet(seed: u64, boxes: usize, proxies: usize) -> Fleet {
    let mut config = WorldConfig::new(seed, boxes, proxies);
    // Boxes are slow enough that requests are always in flight.
    config.boxes.iter_mut().for_each(|b| (b.work, b.cores) = ([Duration::from_millis(40); 2], 4));
    let world = World::start(config);
    let mut fleet = Fleet { world, agent: Agent::start(), proxies };
    let command = fleet.apply(|_| {});
    let id = fleet.agent.order(&command);
    fleet.agent.until(&id, "applied", ROLLOUT_TIMEOUT);
    // The agent receives the boxes with the first list of an instance.
    let list_is_stored = |a: &Agent| a.folder.0.join("instances/n0/known.json").exists();
    fleet.agent.wait("the list of n0 is stored", PATIENCE, list_is_stored);
    fleet
}

impl Fleet {
    /// Returns the command that applies the fleet file, with each configuration changed by `edit`.
    fn apply(&mut self, edit: impl Fn(&mut Value)) -> Value {
        let mut desired = self.agent.desired(&self.world, self.proxies, edit);
        desired["policy"] = fast_policy();
        json!({"apply": desired})
    }

    fn load(&self, rate: f64) -> std::sync::Arc<Load> {
        self.world.load(Load::new(rate, self.agent.front()))
    }

    /// Checks that no accepted request of a running proxy was lost and none took effect twice. Returns the requests.
    fn finish_and_check(&self, load: &Load, killed: &[usize]) -> Vec<AttemptRecord> {
        let record = load.finish();
        assert_eq!(self.world.broken(load, self.proxies, killed), []);
        record
    }

    /// Counts the requests that a box received after a time, by proxy.
    fn sent_after(&self, box_index: usize, at: Duration, record: &[AttemptRecord]) -> HashMap<usize, usize> {
        let by_id: HashMap<&str, usize> = record.iter().map(|a| (a.id.as_str(), a.proxy)).collect();
        let mut sent = HashMap::new();
        for seen in self.world.boxes[box_index].record().iter().filter(|s| s.at > at) {
            if let Some(proxy) = by_id.get(seen.id.as_str()) {
                *sent.entry(*proxy).or_default() += 1;
            }
        }
        sent
    }
}

fn drain_box(name: &str) -> Value {
    json!({"drain-boxes": [name]})
}

#[test]
fn a_box_drained_through_the_agent_gets_no_new_requests_from_any_instance() {
    let mut f = start_fleet(31, 9, 6);
    let load = f.load(200.0);
    std::thread::sleep(Duration::from_millis(800));
    assert!(f.world.boxes[0].record().len() > 5, "s-0 receives requests before the drain");
    // n4 hangs. n5 is killed and restarts with a list in which the box is `up`.
    f.agent.signal("n4", "-STOP");
    f.agent.signal("n5", "-KILL");
    let id = f.agent.order(&drain_box("s-0"));
    f.agent.wait("all instances except n4 have received the drain", ROLLOUT_TIMEOUT, |a| {
        let operation = a.get(&format!("/v1/operations/{id}"));
        let outcome = |n: &str| operation["state"]["instances"][n].as_str().unwrap_or_default().to_owned();
        (0..6).filter(|i| *i != 4).all(|i| outcome(&format!("n{i}")) == "applied")
            && outcome("n4") == "unknown"
    });
    let received_at = f.world.clock.now();
    assert_eq!(f.agent.outcome(&id), "unknown", "not applied while n4 may not have received it");
    // The agent is killed and restarted; the instances keep running.
    f.agent.kill();
    std::thread::sleep(Duration::from_millis(300));
    f.agent.run(&[], &[]);
    f.agent.signal("n4", "-CONT");
    f.agent.until(&id, "applied", ROLLOUT_TIMEOUT);
    let received_by_all_at = f.world.clock.now();
    std::thread::sleep(Duration::from_millis(900));
    let record = f.finish_and_check(&load, &[5]);
    let sent = f.sent_after(0, received_at + DRAIN_GRACE, &record);
    assert!(sent.keys().all(|proxy| *proxy == 4), "{sent:?}");
    assert!(f.sent_after(0, received_by_all_at + DRAIN_GRACE, &record).is_empty());
    let served = record.iter().filter(|a| a.end == End::Served).count();
    assert!(served * 10 > record.len() * 8, "{served} of {}", record.len());
    assert_eq!(f.agent.processes().len(), 6);
}

#[test]
fn an_instance_killed_during_a_drain_restarts_with_the_box_drained_although_its_list_says_up() {
    let mut f = start_fleet(32, 6, 2);
    let id = f.agent.order(&drain_box("s-0"));
    f.agent.until(&id, "applied", ROLLOUT_TIMEOUT);
    // The agent is killed first, so that only the files of the instance carry the drain over.
    f.agent.kill();
    f.agent.signal("n0", "-KILL");
    f.agent.run(&[], &[]);
    f.agent.wait("n0 is ready again", ROLLOUT_TIMEOUT, |a| {
        a.get("/v1/fleet")["instances"]["n0"]["state"] == "ready"
    });
    let inspected = f.agent.get("/v1/instances/n0");
    let config = std::fs::read_to_string(f.agent.folder.0.join("instances/n0/config.json")).expect("a file");
    let config: Value = serde_json::from_str(&config).expect("JSON");
    let known = config["known"]["hosts"].as_array().expect("hosts");
    assert!(known.iter().any(|h| h["host"] == "s-0" && h["health"] == "up"));
    assert_eq!(inspected["boxes"][0]["box"], "s-0");
    assert_eq!(
        (&inspected["boxes"][0]["drained"], &inspected["boxes"][0]["usable"]),
        (&json!(true), &json!(false))
    );
    assert_eq!(inspected["boxes"][0]["sent"], 0);
    let at = f.world.clock.now();
    let load = f.load(200.0);
    std::thread::sleep(Duration::from_millis(700));
    let record = f.finish_and_check(&load, &[]);
    assert!(f.sent_after(0, at, &record).is_empty());
}

#[test]
fn a_rolling_restart_under_load_loses_no_request() {
    let f = start_fleet(33, 9, 4);
    let before = f.agent.processes();
    let load = f.load(150.0);
    std::thread::sleep(Duration::from_millis(300));
    let id = f.agent.order(&json!({"restart": []}));
    f.agent.until(&id, "applied", ROLLOUT_TIMEOUT);
    let after = f.agent.processes();
    assert!(before.iter().zip(&after).all(|(b, a)| b.0 == a.0 && b.1 != a.1), "{before:?} {after:?}");
    std::thread::sleep(Duration::from_millis(200));
    let record = f.finish_and_check(&load, &[]);
    let served = record.iter().filter(|a| a.end == End::Served).count();
    assert!(served * 100 > record.len() * 95, "{served} of {}", record.len());
}

#[test]
fn an_agent_killed_after_any_journal_write_or_start_completes_the_rollout_once() {
    let mut f = start_fleet(34, 6, 3);
    let change = f.apply(|c| c["limits"]["memory_mb"] = json!(128));
    let mut deaths = 0;
    for calls_until_death in 0..8 {
        // Each round applies a different configuration that requires a restart.
        let mut change = change.clone();
        for i in 0..3 {
            change["apply"]["instances"][format!("n{i}")]["config"]["limits"]["memory_mb"] =
                json!(100 + calls_until_death);
        }
        f.agent.kill();
        f.agent.run(&[], &[("TRESTLE_AGENT_DIES", calls_until_death.to_string())]);
        f.agent.wait("the running instances are found", ROLLOUT_TIMEOUT, |a| {
            let fleet = a.get("/v1/fleet");
            (0..3).all(|i| fleet["instances"][format!("n{i}")]["state"] == "ready")
        });
        let base = f.agent.get("/v1/fleet")["generation"].clone();
        let id = format!("roll{calls_until_death}");
        let body = json!({"id": id, "base": base, "command": change}).to_string();
        let _ = f.agent.try_ask("POST", "/v1/operations", &body);
        let started = std::time::Instant::now();
        let mut child = f.agent.child.take().expect("the agent runs");
        while child.try_wait().expect("waited").is_none() && started.elapsed() < Duration::from_secs(15) {
            std::thread::sleep(Duration::from_millis(5));
        }
        let died = child.try_wait().expect("waited").is_some();
        deaths += usize::from(died);
        f.agent.child = Some(child);
        f.agent.kill();
        // In every second round the journal also ends with an incomplete frame.
        if calls_until_death % 2 == 1 {
            let path = f.agent.folder.0.join("journal");
            let mut bytes = std::fs::read(&path).expect("a journal");
            bytes.extend_from_slice(&[200, 0, 0, 0, 1, 2, 3, 4, b'[']);
            std::fs::write(&path, bytes).expect("written");
        }
        f.agent.run(&[], &[]);
        // The operator submits the command again under the same id; it must be applied once.
        let (status, response) = f.agent.try_ask("POST", "/v1/operations", &body).expect("an answer");
        assert_eq!(status, 200, "death after {calls_until_death} calls: {response}\n{}", f.agent.log());
        f.agent.until(&id, "applied", ROLLOUT_TIMEOUT);
        let processes = f.agent.processes();
        assert_eq!(
            processes.iter().map(|(n, _)| n.as_str()).collect::<Vec<_>>(),
            ["n0", "n1", "n2"],
            "death after {calls_until_death} calls"
        );
        let memory = |i: usize| {
            let path = f.agent.folder.0.join(format!("instances/n{i}/config.json"));
            let text = std::fs::read_to_string(path).expect("a file");
            serde_json::from_str::<Value>(&text).expect("JSON")["limits"]["memory_mb"].clone()
        };
        assert!(
            (0..3).all(|i| memory(i) == json!(100 + calls_until_death)),
            "death after {calls_until_death} calls"
        );
    }
    assert!(deaths >= 6, "{deaths} deaths");
    let logged_starts = f.agent.log().lines().filter(|l| l.contains(": started as process")).count();
    // A process that was started right before the agent died is found by its environment and is not in the log.
    assert!(logged_starts <= 3 + 3 * 8, "{logged_starts} starts");
}

#[test]
fn a_configuration_is_applied_without_restart_if_possible_and_a_broken_one_is_rolled_back() {
    let mut f = start_fleet(35, 6, 2);
    let before = f.agent.processes();
    let change = f.apply(|c| c["settings"]["caps"]["attempts_cap"] = json!(3));
    let mut dry_run = json!({"id": "dry", "base": f.agent.get("/v1/fleet")["generation"], "dry_run": true});
    dry_run["command"] = change.clone();
    let (status, response) =
        f.agent.try_ask("POST", "/v1/operations", &dry_run.to_string()).expect("an answer");
    assert_eq!((status, response["changes"].as_array().map(Vec::len)), (200, Some(2)), "{response}");
    let id = f.agent.order(&change);
    f.agent.until(&id, "applied", ROLLOUT_TIMEOUT);
    assert_eq!(f.agent.processes(), before, "no instance was restarted");
    assert_eq!(f.agent.get("/v1/fleet")["instances"]["n1"]["generation"], 2);
    // A configuration that instances reject pauses the rollout and is rolled back.
    let broken = f.apply(|c| c["settings"]["categories"][0]["deadline_ns"] = json!(0));
    let id = f.agent.order(&broken);
    f.agent.wait("the rollout pauses", ROLLOUT_TIMEOUT, |a| {
        a.get("/v1/fleet")["rollout"]["state"]["paused"].is_string()
    });
    let abort = f.agent.order(&json!("abort"));
    f.agent.until(&abort, "applied", ROLLOUT_TIMEOUT);
    f.agent.until(&id, "failed", ROLLOUT_TIMEOUT);
    f.agent.wait("all instances have the previous configuration", ROLLOUT_TIMEOUT, |a| {
        let fleet = a.get("/v1/fleet");
        (0..2).all(|i| fleet["instances"][format!("n{i}")]["generation"] == 2)
    });
    assert_eq!(f.agent.processes(), before);
}

#[test]
fn a_conflicting_command_and_an_unforced_unsafe_command_are_rejected() {
    let f = start_fleet(36, 4, 2);
    let base = f.agent.get("/v1/fleet")["generation"].clone();
    let post = |id: &str, command: Value| {
        let body = json!({"id": id, "base": base, "command": command}).to_string();
        f.agent.try_ask("POST", "/v1/operations", &body).expect("an answer")
    };
    assert_eq!(post("one", drain_box("s-0")).0, 200);
    let (status, response) = post("two", drain_box("s-3"));
    assert_eq!((status, &response["error"]["code"]), (409, &json!("conflict")));
    assert_eq!(post("one", drain_box("s-0")).0, 200, "a repeated id denotes the same operation");
    assert_eq!(f.agent.get("/v1/fleet")["drained_boxes"], json!(["s-0"]));
    // s-0 and s-3 are the only boxes in zone joburg.
    let (_, (status, response)) = f.agent.command(&drain_box("s-3"), false);
    assert_eq!((status, &response["error"]["code"]), (422, &json!("unsafe")), "{response}");
    assert!(response["error"]["message"]
        .as_str()
        .expect("text")
        .contains("no box would be left in zone joburg"));
    let (_, (status, _)) = f.agent.command(&json!({"drain": ["n0", "n1"]}), false);
    assert_eq!(status, 422);
    assert_eq!(f.agent.command(&drain_box("s-3"), true).1 .0, 200);
    // An instance is drained, serves again, and the other one is stopped.
    let id = f.agent.order(&json!({"drain": ["n0"]}));
    f.agent.until(&id, "applied", ROLLOUT_TIMEOUT);
    f.agent.wait("n0 is drained", ROLLOUT_TIMEOUT, |a| {
        a.get("/v1/fleet")["instances"]["n0"]["state"] == "drained"
    });
    let id = f.agent.order(&json!({"undrain": ["n0"]}));
    f.agent.until(&id, "applied", ROLLOUT_TIMEOUT);
    let id = f.agent.order(&json!({"down": ["n1"]}));
    f.agent.until(&id, "applied", ROLLOUT_TIMEOUT);
    assert_eq!(f.agent.processes().len(), 1);
}

#[test]
fn invalid_and_idle_api_clients_get_an_error_or_are_disconnected_and_do_not_block_others() {
    let mut agent = Agent::start();
    agent.kill();
    let token = "a-token-of-some-length";
    let file = agent.folder.0.join("token");
    std::fs::write(&file, format!("{token}\n")).expect("written");
    let output = agent.run(&["--listen", "127.0.0.1:0", "--token-file", &file.to_string_lossy()], &[]);
    let address: SocketAddr =
        output[0].strip_prefix("api ").and_then(|a| a.parse().ok()).expect("an address");
    let status_with_token = |token: Option<&str>| {
        http(TcpStream::connect(address).expect("connected"), "GET", "/v1/fleet", token, "")
            .expect("an answer")
            .0
    };
    assert_eq!(
        (status_with_token(None), status_with_token(Some("wrong")), status_with_token(Some(token))),
        (401, 401, 200)
    );
    // Hundreds of connections that send nothing must not block a client that sends a request.
    let idle: Vec<UnixStream> =
        (0..400).map(|_| UnixStream::connect(agent.socket()).expect("connected")).collect();
    let started = std::time::Instant::now();
    assert_eq!(agent.get("/v1/fleet")["generation"], 0);
    // The limit is shorter than the time-out for the head of a request, which closes idle connections anyway.
    assert!(started.elapsed() < Duration::from_secs(4), "{:?}", started.elapsed());
    drop(idle);
    let status_of = |text: &str| {
        let mut stream = UnixStream::connect(agent.socket()).expect("connected");
        stream.set_read_timeout(Some(PATIENCE)).expect("set");
        let _ = stream.write_all(text.as_bytes());
        let mut answer = String::new();
        let _ = stream.read_to_string(&mut answer);
        answer.split(' ').nth(1).unwrap_or("closed").to_owned()
    };
    assert_eq!(status_of("nonsense\r\n\r\n"), "400");
    assert_eq!(status_of("GET /v1/fleet HTTP/1.1\r\nHost: a\r\nX: "), "closed", "incomplete request head");
    let long = format!("GET / HTTP/1.1\r\nHost: a\r\nX: {}\r\n\r\n", "x".repeat(1 << 20));
    assert!(["431", "closed"].contains(&status_of(&long).as_str()));
    let head = "POST /v1/operations HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: ";
    assert_eq!(status_of(&format!("{head}60000000\r\n\r\n{}", "x".repeat(17 << 20))), "413");
    assert_eq!(status_of(&format!("{head}2\r\n\r\n{{}}")), "400");
    assert_eq!(agent.try_ask("GET", "/v2/else", "").expect("an answer").0, 404);
    assert_eq!(agent.try_ask("DELETE", "/v1/fleet", "").expect("an answer").0, 405);
    // A second agent on the same folder must not start.
    let out = std::process::Command::new(testkit::program("trestle-agent"))
        .arg("--dir")
        .arg(&agent.folder.0)
        .output()
        .expect("runs");
    let error = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(!out.status.success() && error.contains("another agent has this folder"), "{error}");
}

#[test]
fn shadow_traffic_runs_only_under_a_renewed_lease_and_stays_stopped_across_an_instance_crash() {
    let mut config = WorldConfig::new(97, 5, 2);
    config.unlisted = 1;
    let world = World::start(config);
    let mut agent = Agent::start();
    let operator = format!(
        "version = 1\n[shadow]\ncandidates = [\"{}\"]\nclasses = [\"pack-lookup\"]\nmisses_per_second = 100\n",
        world.boxes[4].addresses[0]
    );
    let mut desired = agent.desired(&world, 2, |c| c["operator"] = json!(operator));
    desired["policy"] = fast_policy();
    let id = agent.order(&json!({"apply": desired}));
    agent.until(&id, "applied", ROLLOUT_TIMEOUT);
    let shadow = |agent: &Agent, command: Value| {
        agent.try_ask("POST", "/v1/shadow", &command.to_string()).expect("an answer")
    };
    let state = |agent: &Agent, name: &str| {
        let (status, response) = shadow(agent, json!({"op": "status"}));
        assert_eq!(status, 200, "{response}");
        response["instances"][name]["ok"]["status"]["state"].clone()
    };
    for invalid in [
        json!({"op": "start", "generation": 1, "for_ms": 999}),
        json!({"op": "start", "generation": 1, "for_ms": 5_000, "names": ["n7"]}),
        json!({"op": "begin"}),
        json!({"op": "status", "name": "n0"}),
    ] {
        let (status, response) = shadow(&agent, invalid);
        assert_eq!((status, &response["error"]["code"]), (400, &json!("invalid")), "{response}");
    }
    assert_eq!(state(&agent, "n0"), json!({"state": "off"}));
    let (status, response) = shadow(&agent, json!({"op": "start", "generation": 8, "for_ms": 600_000}));
    assert_eq!(
        (status, &response["instances"]["n1"]["ok"]["status"]["state"]["state"]),
        (200, &json!("on")),
        "{response}"
    );
    let first_lease = state(&agent, "n0")["until"].as_u64().expect("a lease");
    agent.wait("the lease is renewed", PATIENCE, |a| state(a, "n0")["until"].as_u64() > Some(first_lease));
    // n0 is stopped and then killed. After its restart it is still stopped, and n1 still copies.
    let (_, response) = shadow(&agent, json!({"op": "stop", "generation": 9, "names": ["n0"]}));
    assert_eq!(response["instances"].as_object().map(|i| i.len()), Some(1), "{response}");
    let before = agent.processes();
    agent.signal("n0", "-KILL");
    agent.wait("n0 is running and stopped", ROLLOUT_TIMEOUT, |a| {
        a.processes().len() == 2 && a.processes() != before && state(a, "n0")["state"] == "stopped"
    });
    assert_eq!(state(&agent, "n0"), json!({"state": "stopped", "reason": "asked"}));
    assert_eq!(state(&agent, "n1")["state"], "on");
    // Without the agent, the lease of n1 expires.
    agent.kill();
    let mut n1 = Controller::connect(&agent.folder.0.join("instances/n1/control.sock"));
    let started = std::time::Instant::now();
    loop {
        let response = n1.ok(json!({"op": "shadow-status"}))["status"]["state"].clone();
        if response == json!({"state": "stopped", "reason": "lease"}) {
            break;
        }
        assert!(response["state"] == "on" && started.elapsed() < PATIENCE, "{response}");
        std::thread::sleep(Duration::from_millis(100));
    }
    // The next agent does not start shadow traffic by itself.
    agent.run(&[], &[]);
    agent
        .wait("the next agent is connected to n1", ROLLOUT_TIMEOUT, |a| state(a, "n1")["state"] == "stopped");
}

/// Guards against a SIGTERM that is lost because its handler could not write.
#[test]
fn sigterm_ends_an_agent_while_the_signal_can_not_be_written() {
    let folder = testkit::process::Folder::new("agent-signals").expect("a folder");
    let faults = "send EINTR 1.0 family=unix after=500; write EINTR 1.0 family=unix after=500";
    let faults = testkit::process::SystemCallFaults { rules: faults.into(), seed: 1 };
    let mut command = std::process::Command::new(testkit::program("trestle-agent"));
    command.arg("--dir").arg(&folder.0).stdout(std::process::Stdio::null());
    faults.apply(&mut command);
    let mut child = command.spawn().expect("it starts");
    std::thread::sleep(Duration::from_millis(1_000));
    let id = child.id().to_string();
    assert!(std::process::Command::new("kill").args(["-TERM", &id]).status().expect("kill runs").success());
    let signalled = Instant::now();
    while child.try_wait().expect("a child").is_none() {
        if signalled.elapsed() > Duration::from_secs(5) {
            child.kill().expect("killed");
            panic!("it does not end");
        }
        std::thread::sleep(Duration::from_millis(10));
    }
}
