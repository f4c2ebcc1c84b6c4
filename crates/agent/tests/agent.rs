//! The agent with real proxies in a world of stand-ins, and what befalls them.

use serde_json::{json, Value};
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::net::UnixStream;
use std::time::Duration;
use testkit::agent::{http, Agent};
use testkit::controller::Controller;
use testkit::scripted::PATIENCE;
use testkit::world::{Asked, End, Load, World, WorldConfig};

/// Long enough for any rollout here on a slow machine.
const LONG: Duration = Duration::from_secs(60);
/// The time that a proxy may still send to a box after it learned of its drain; 50 ms are the sockets'.
const GRACE: Duration = Duration::from_millis(550);

fn quick() -> Value {
    json!({"batch": 2, "max_unavailable": 2, "max_unavailable_in_zone": 2, "max_failures": 0,
        "ready_within": 10_000, "healthy_for": 200, "stop_within": 3_700})
}

struct Fleet {
    world: World,
    agent: Agent,
    proxies: usize,
}

fn fleet(seed: u64, boxes: usize, proxies: usize) -> Fleet {
    let mut config = WorldConfig::new(seed, boxes, proxies);
    // So slow that there is always something under way.
    config.boxes.iter_mut().for_each(|b| (b.work, b.cores) = ([Duration::from_millis(40); 2], 4));
    let world = World::start(config);
    let mut fleet = Fleet { world, agent: Agent::start(), proxies };
    let begin = fleet.apply(|_| {});
    let id = fleet.agent.order(&begin);
    fleet.agent.until(&id, "applied", LONG);
    // The agent learns of boxes by the first list of an instance.
    let known = |a: &Agent| a.folder.0.join("instances/n0/known.json").exists();
    fleet.agent.wait("its list is kept", PATIENCE, known);
    fleet
}

impl Fleet {
    fn apply(&mut self, edit: impl Fn(&mut Value)) -> Value {
        let mut desired = self.agent.desired(&self.world, self.proxies, edit);
        desired["policy"] = quick();
        json!({"apply": desired})
    }

    fn load(&self, rate: f64) -> std::sync::Arc<Load> {
        self.world.load(Load::new(rate, self.agent.front()))
    }

    /// Nothing that a running proxy took is lost, and nothing took effect twice.
    fn rules_hold(&self, load: &Load, killed: &[usize]) -> Vec<Asked> {
        let record = load.finish();
        assert_eq!(self.world.broken(load, self.proxies, killed), []);
        record
    }

    /// What a box was sent after a time, by which proxy.
    fn sent_after(&self, number: usize, at: Duration, record: &[Asked]) -> HashMap<usize, usize> {
        let by_id: HashMap<&str, usize> = record.iter().map(|a| (a.id.as_str(), a.proxy)).collect();
        let mut sent = HashMap::new();
        for seen in self.world.boxes[number].record().iter().filter(|s| s.at > at) {
            if let Some(proxy) = by_id.get(seen.id.as_str()) {
                *sent.entry(*proxy).or_default() += 1;
            }
        }
        sent
    }
}

fn drain(name: &str) -> Value {
    json!({"drain-boxes": [name]})
}

#[test]
fn a_box_drained_through_the_agent_gets_nothing_new_from_any_instance() {
    let mut f = fleet(31, 9, 6);
    let load = f.load(200.0);
    std::thread::sleep(Duration::from_millis(800));
    assert!(f.world.boxes[0].record().len() > 5, "it is used");
    // One hangs, one is killed and comes back meanwhile with a list that says `up`.
    f.agent.signal("n4", "-STOP");
    f.agent.signal("n5", "-KILL");
    let id = f.agent.order(&drain("s-0"));
    f.agent.wait("all that can have learned", LONG, |a| {
        let told = a.get(&format!("/v1/operations/{id}"));
        let at = |n: &str| told["state"]["instances"][n].as_str().unwrap_or_default().to_owned();
        (0..6).filter(|i| *i != 4).all(|i| at(&format!("n{i}")) == "applied") && at("n4") == "unknown"
    });
    let learned = f.world.clock.now();
    assert_eq!(f.agent.outcome(&id), "unknown", "never done while one may not know");
    // The agent dies and comes back; the instances run on.
    f.agent.kill();
    std::thread::sleep(Duration::from_millis(300));
    f.agent.run(&[], &[]);
    f.agent.signal("n4", "-CONT");
    f.agent.until(&id, "applied", LONG);
    let last = f.world.clock.now();
    std::thread::sleep(Duration::from_millis(900));
    let record = f.rules_hold(&load, &[5]);
    let early = f.sent_after(0, learned + GRACE, &record);
    assert!(early.keys().all(|proxy| *proxy == 4), "{early:?}");
    assert!(f.sent_after(0, last + GRACE, &record).is_empty());
    let served = record.iter().filter(|a| a.end == End::Served).count();
    assert!(served * 10 > record.len() * 8, "{served} of {}", record.len());
    assert_eq!(f.agent.processes().len(), 6);
}

#[test]
fn an_instance_that_dies_in_a_drain_comes_back_with_it_though_its_list_says_up() {
    let mut f = fleet(32, 6, 2);
    let id = f.agent.order(&drain("s-0"));
    f.agent.until(&id, "applied", LONG);
    // The agent is away, so that nothing but what the instance has tells it.
    f.agent.kill();
    f.agent.signal("n0", "-KILL");
    f.agent.run(&[], &[]);
    f.agent.wait("it is back", LONG, |a| a.get("/v1/fleet")["instances"]["n0"]["state"] == "ready");
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
    let record = f.rules_hold(&load, &[]);
    assert!(f.sent_after(0, at, &record).is_empty());
}

#[test]
fn a_rolling_restart_under_load_loses_nothing() {
    let f = fleet(33, 9, 4);
    let before = f.agent.processes();
    let load = f.load(150.0);
    std::thread::sleep(Duration::from_millis(300));
    let id = f.agent.order(&json!({"restart": []}));
    f.agent.until(&id, "applied", LONG);
    let after = f.agent.processes();
    assert!(before.iter().zip(&after).all(|(b, a)| b.0 == a.0 && b.1 != a.1), "{before:?} {after:?}");
    std::thread::sleep(Duration::from_millis(200));
    let record = f.rules_hold(&load, &[]);
    let served = record.iter().filter(|a| a.end == End::Served).count();
    assert!(served * 100 > record.len() * 95, "{served} of {}", record.len());
}

#[test]
fn the_agent_may_die_after_each_write_of_its_journal_and_each_start() {
    let mut f = fleet(34, 6, 3);
    let change = f.apply(|c| c["limits"]["memory_mb"] = json!(128));
    let mut deaths = 0;
    for at in 0..8 {
        // Another configuration that needs a restart, each time.
        let mut change = change.clone();
        for i in 0..3 {
            change["apply"]["instances"][format!("n{i}")]["config"]["limits"]["memory_mb"] = json!(100 + at);
        }
        f.agent.kill();
        f.agent.run(&[], &[("TRESTLE_AGENT_DIES", at.to_string())]);
        f.agent.wait("they are found", LONG, |a| {
            let fleet = a.get("/v1/fleet");
            (0..3).all(|i| fleet["instances"][format!("n{i}")]["state"] == "ready")
        });
        let base = f.agent.get("/v1/fleet")["generation"].clone();
        let id = format!("roll{at}");
        let body = json!({"id": id, "base": base, "command": change}).to_string();
        let _ = f.agent.try_ask("POST", "/v1/operations", &body);
        let begun = std::time::Instant::now();
        let mut child = f.agent.child.take().expect("it runs");
        while child.try_wait().expect("waited").is_none() && begun.elapsed() < Duration::from_secs(15) {
            std::thread::sleep(Duration::from_millis(5));
        }
        let died = child.try_wait().expect("waited").is_some();
        deaths += usize::from(died);
        f.agent.child = Some(child);
        f.agent.kill();
        // The end of the journal is torn besides: the last frame is not whole.
        if at % 2 == 1 {
            let path = f.agent.folder.0.join("journal");
            let mut bytes = std::fs::read(&path).expect("a journal");
            bytes.extend_from_slice(&[200, 0, 0, 0, 1, 2, 3, 4, b'[']);
            std::fs::write(&path, bytes).expect("written");
        }
        f.agent.run(&[], &[]);
        // The operator asks again under the same id: it is done once.
        let (status, told) = f.agent.try_ask("POST", "/v1/operations", &body).expect("an answer");
        assert_eq!(status, 200, "at {at}: {told}\n{}", f.agent.log());
        f.agent.until(&id, "applied", LONG);
        let processes = f.agent.processes();
        assert_eq!(
            processes.iter().map(|(n, _)| n.as_str()).collect::<Vec<_>>(),
            ["n0", "n1", "n2"],
            "at {at}"
        );
        let memory = |i: usize| {
            let path = f.agent.folder.0.join(format!("instances/n{i}/config.json"));
            let text = std::fs::read_to_string(path).expect("a file");
            serde_json::from_str::<Value>(&text).expect("JSON")["limits"]["memory_mb"].clone()
        };
        assert!((0..3).all(|i| memory(i) == json!(100 + at)), "at {at}");
    }
    assert!(deaths >= 6, "{deaths} deaths");
    let started = f.agent.log().lines().filter(|l| l.contains(": started as process")).count();
    // The one that it died at the start of is found by its mark, and is in no log.
    assert!(started <= 3 + 3 * 8, "{started} starts");
}

#[test]
fn a_configuration_is_taken_over_live_where_it_can_be_and_rolled_where_not() {
    let mut f = fleet(35, 6, 2);
    let before = f.agent.processes();
    let change = f.apply(|c| c["settings"]["caps"]["attempts_cap"] = json!(3));
    let mut dry = json!({"id": "dry", "base": f.agent.get("/v1/fleet")["generation"], "dry_run": true});
    dry["command"] = change.clone();
    let (status, told) = f.agent.try_ask("POST", "/v1/operations", &dry.to_string()).expect("an answer");
    assert_eq!((status, told["changes"].as_array().map(Vec::len)), (200, Some(2)), "{told}");
    let id = f.agent.order(&change);
    f.agent.until(&id, "applied", LONG);
    assert_eq!(f.agent.processes(), before, "nothing was restarted");
    assert_eq!(f.agent.get("/v1/fleet")["instances"]["n1"]["generation"], 2);
    // One that can't be used pauses the rollout, and goes back.
    let broken = f.apply(|c| c["settings"]["categories"][0]["deadline_ns"] = json!(0));
    let id = f.agent.order(&broken);
    f.agent.wait("it pauses", LONG, |a| a.get("/v1/fleet")["rollout"]["state"]["paused"].is_string());
    let back = f.agent.order(&json!("abort"));
    f.agent.until(&back, "applied", LONG);
    f.agent.until(&id, "failed", LONG);
    f.agent.wait("all are as before", LONG, |a| {
        let fleet = a.get("/v1/fleet");
        (0..2).all(|i| fleet["instances"][format!("n{i}")]["generation"] == 2)
    });
    assert_eq!(f.agent.processes(), before);
}

#[test]
fn two_operators_at_once_and_harm_that_was_not_asked_for_are_told() {
    let f = fleet(36, 4, 2);
    let base = f.agent.get("/v1/fleet")["generation"].clone();
    let post = |id: &str, command: Value| {
        let body = json!({"id": id, "base": base, "command": command}).to_string();
        f.agent.try_ask("POST", "/v1/operations", &body).expect("an answer")
    };
    assert_eq!(post("one", drain("s-0")).0, 200);
    let (status, told) = post("two", drain("s-3"));
    assert_eq!((status, &told["error"]["code"]), (409, &json!("conflict")));
    assert_eq!(post("one", drain("s-0")).0, 200, "the same again is the same");
    assert_eq!(f.agent.get("/v1/fleet")["drained_boxes"], json!(["s-0"]));
    // s-0 and s-3 are the only ones of joburg.
    let (_, (status, told)) = f.agent.command(&drain("s-3"), false);
    assert_eq!((status, &told["error"]["code"]), (422, &json!("unsafe")), "{told}");
    assert!(told["error"]["message"].as_str().expect("text").contains("no box would be left in zone joburg"));
    let (_, (status, _)) = f.agent.command(&json!({"drain": ["n0", "n1"]}), false);
    assert_eq!(status, 422);
    assert_eq!(f.agent.command(&drain("s-3"), true).1 .0, 200);
    // One instance drained and back.
    let id = f.agent.order(&json!({"drain": ["n0"]}));
    f.agent.until(&id, "applied", LONG);
    f.agent.wait("drained", LONG, |a| a.get("/v1/fleet")["instances"]["n0"]["state"] == "drained");
    let id = f.agent.order(&json!({"undrain": ["n0"]}));
    f.agent.until(&id, "applied", LONG);
    let id = f.agent.order(&json!({"down": ["n1"]}));
    f.agent.until(&id, "applied", LONG);
    assert_eq!(f.agent.processes().len(), 1);
}

#[test]
fn rude_users_of_the_api_get_an_error_or_a_close_and_cost_the_fleet_nothing() {
    let mut agent = Agent::start();
    agent.kill();
    let token = "a-token-of-some-length";
    let file = agent.folder.0.join("token");
    std::fs::write(&file, format!("{token}\n")).expect("written");
    let said = agent.run(&["--listen", "127.0.0.1:0", "--token-file", &file.to_string_lossy()], &[]);
    let address: SocketAddr = said[0].strip_prefix("api ").and_then(|a| a.parse().ok()).expect("an address");
    let tcp = |token: Option<&str>| {
        http(TcpStream::connect(address).expect("connected"), "GET", "/v1/fleet", token, "")
            .expect("an answer")
            .0
    };
    assert_eq!((tcp(None), tcp(Some("wrong")), tcp(Some(token))), (401, 401, 200));
    // Hundreds that say nothing are let go in time, and one that asks is answered.
    let silent: Vec<UnixStream> =
        (0..400).map(|_| UnixStream::connect(agent.socket()).expect("connected")).collect();
    let begun = std::time::Instant::now();
    assert_eq!(agent.get("/v1/fleet")["generation"], 0);
    // Before the time is over that each of them has for its head.
    assert!(begun.elapsed() < Duration::from_secs(4), "{:?}", begun.elapsed());
    drop(silent);
    let ask = |text: &str| {
        let mut stream = UnixStream::connect(agent.socket()).expect("connected");
        stream.set_read_timeout(Some(PATIENCE)).expect("set");
        let _ = stream.write_all(text.as_bytes());
        let mut answer = String::new();
        let _ = stream.read_to_string(&mut answer);
        answer.split(' ').nth(1).unwrap_or("closed").to_owned()
    };
    assert_eq!(ask("nonsense\r\n\r\n"), "400");
    assert_eq!(ask("GET /v1/fleet HTTP/1.1\r\nHost: a\r\nX: "), "closed", "half a head");
    let long = format!("GET / HTTP/1.1\r\nHost: a\r\nX: {}\r\n\r\n", "x".repeat(1 << 20));
    assert!(["431", "closed"].contains(&ask(&long).as_str()));
    let head = "POST /v1/operations HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: ";
    assert_eq!(ask(&format!("{head}60000000\r\n\r\n{}", "x".repeat(17 << 20))), "413");
    assert_eq!(ask(&format!("{head}2\r\n\r\n{{}}")), "400");
    assert_eq!(agent.try_ask("GET", "/v2/else", "").expect("an answer").0, 404);
    assert_eq!(agent.try_ask("DELETE", "/v1/fleet", "").expect("an answer").0, 405);
    // A second agent on the same folder.
    let out = std::process::Command::new(testkit::program("trestle-agent"))
        .arg("--dir")
        .arg(&agent.folder.0)
        .output()
        .expect("runs");
    let error = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(!out.status.success() && error.contains("another agent has this folder"), "{error}");
}

#[test]
fn copies_of_reads_go_on_by_a_lease_alone_and_an_instance_that_dies_remembers_that_they_stopped() {
    let mut config = WorldConfig::new(97, 5, 2);
    config.unlisted = 1;
    let world = World::start(config);
    let mut agent = Agent::start();
    let operator = format!(
        "version = 1\n[shadow]\ncandidates = [\"{}\"]\nclasses = [\"pack-lookup\"]\nmisses_per_second = 100\n",
        world.boxes[4].addresses[0]
    );
    let mut desired = agent.desired(&world, 2, |c| c["operator"] = json!(operator));
    desired["policy"] = quick();
    let id = agent.order(&json!({"apply": desired}));
    agent.until(&id, "applied", LONG);
    let ask = |agent: &Agent, order: Value| {
        agent.try_ask("POST", "/v1/shadow", &order.to_string()).expect("an answer")
    };
    let state = |agent: &Agent, name: &str| {
        let (status, told) = ask(agent, json!({"op": "status"}));
        assert_eq!(status, 200, "{told}");
        told["instances"][name]["ok"]["status"]["state"].clone()
    };
    for wrong in [
        json!({"op": "start", "generation": 1, "for_ms": 999}),
        json!({"op": "start", "generation": 1, "for_ms": 5_000, "names": ["n7"]}),
        json!({"op": "begin"}),
        json!({"op": "status", "name": "n0"}),
    ] {
        let (status, told) = ask(&agent, wrong);
        assert_eq!((status, &told["error"]["code"]), (400, &json!("invalid")), "{told}");
    }
    assert_eq!(state(&agent, "n0"), json!({"state": "off"}));
    let (status, told) = ask(&agent, json!({"op": "start", "generation": 8, "for_ms": 600_000}));
    assert_eq!(
        (status, &told["instances"]["n1"]["ok"]["status"]["state"]["state"]),
        (200, &json!("on")),
        "{told}"
    );
    let first = state(&agent, "n0")["until"].as_u64().expect("a lease");
    agent.wait("the lease is renewed", PATIENCE, |a| state(a, "n0")["until"].as_u64() > Some(first));
    // Stopped at one, which then dies: what it says is not forgotten, and the other one goes on.
    let (_, told) = ask(&agent, json!({"op": "stop", "generation": 9, "names": ["n0"]}));
    assert_eq!(told["instances"].as_object().map(|i| i.len()), Some(1), "{told}");
    let before = agent.processes();
    agent.signal("n0", "-KILL");
    agent.wait("n0 is back", LONG, |a| {
        a.processes().len() == 2 && a.processes() != before && state(a, "n0")["state"] == "stopped"
    });
    assert_eq!(state(&agent, "n0"), json!({"state": "stopped", "reason": "asked"}));
    assert_eq!(state(&agent, "n1")["state"], "on");
    // The agent is lost: nobody renews the lease.
    agent.kill();
    let mut n1 = Controller::connect(&agent.folder.0.join("instances/n1/control.sock"));
    let begun = std::time::Instant::now();
    loop {
        let told = n1.ok(json!({"op": "shadow-status"}))["status"]["state"].clone();
        if told == json!({"state": "stopped", "reason": "lease"}) {
            break;
        }
        assert!(told["state"] == "on" && begun.elapsed() < PATIENCE, "{told}");
        std::thread::sleep(Duration::from_millis(100));
    }
    // The next agent begins nothing by itself.
    agent.run(&[], &[]);
    agent.wait("the next agent has contact", LONG, |a| state(a, "n1")["state"] == "stopped");
}
