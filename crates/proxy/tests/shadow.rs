//! Reads copied to candidates by the built binary, between scripted live boxes, candidates and clients.

use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use testkit::controller::Controller;
use testkit::scripted::*;

/// What a box was asked.
type Asked = Arc<Mutex<Vec<Vec<String>>>>;

/// A box that has every key, and remembers what it was asked.
fn remembering() -> (SocketAddr, Asked) {
    let asked = Asked::default();
    let kept = asked.clone();
    let address = answering(move |c| {
        let words = (0..c.arity()).map(|i| String::from_utf8_lossy(c.arg(i)).into_owned()).collect();
        kept.lock().expect("a lock").push(words);
        Some(if c.arg(0) == b"CACHE.GET" { cached(c) } else { b"*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n".to_vec() })
    });
    (address, asked)
}

fn live(address: SocketAddr) -> Server {
    let mut server = Server::many(0);
    server.addresses.push(address);
    server
}

/// An operator's file with a control socket and these candidates; all keys are copied at once.
fn file(candidates: &[SocketAddr], more: &str) -> (String, std::path::PathBuf) {
    let (socket, state) = (scratch("control.sock"), scratch("state"));
    let named: Vec<String> = candidates.iter().map(|c| format!("\"{c}\"")).collect();
    let text = format!(
        "version = 1\n[control]\nsocket = {socket:?}\nstate_file = {state:?}\n[shadow]\ncandidates = [{}]\n\
         classes = [\"read\"]\nshare = 1.0\nfirst_share = 1.0\nstep_seconds = 1\ncopies_per_second = 10000\n\
         misses_per_second = 10000\ndeadline_ms = 50\ncpu_share = 0.5\n\
         connections = 64\nheld_bytes = 8388608\n{more}",
        named.join(", ")
    );
    (text, socket)
}

/// A proxy that copies, an hour long, with so much time for a copy that none is late. `edit` changes its configuration.
fn copying(nodes: &Server, candidates: &[SocketAddr], edit: impl FnOnce(&mut Value)) -> (Proxy, Controller) {
    copying_within(nodes, candidates, 2_000, 64, edit)
}

/// The same, with so long for a copy, in milliseconds, and so many connections.
fn copying_within(
    nodes: &Server,
    candidates: &[SocketAddr],
    deadline: u64,
    connections: usize,
    edit: impl FnOnce(&mut Value),
) -> (Proxy, Controller) {
    let (text, socket) = file(candidates, "");
    let text = text.replace("deadline_ms = 50", &format!("deadline_ms = {deadline}"));
    let text = text.replace("connections = 64", &format!("connections = {connections}"));
    let proxy = Proxy::operated(nodes, &text, edit);
    let mut controller = Controller::connect(&socket);
    let told = controller.ok(json!({"op": "shadow-start", "generation": 1, "lease_ms": 3_600_000}));
    assert_eq!(told["status"]["state"]["state"], "on", "{told}");
    // Copies of a process before this one could be under way for so long.
    std::thread::sleep(Duration::from_millis(1_050 + deadline));
    (proxy, controller)
}

fn told(controller: &mut Controller) -> Value {
    controller.ok(json!({"op": "shadow-status"}))
}

/// Asks until it is as wanted.
fn until(controller: &mut Controller, wanted: impl Fn(&Value) -> bool) -> Value {
    let begun = Instant::now();
    loop {
        let told = told(controller);
        if wanted(&told) {
            return told;
        }
        assert!(begun.elapsed() < PATIENCE, "{told}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// So many reads one after the other, from this key on; each is served.
fn reads(proxy: &Proxy, from: u64, count: u64) {
    let mut client = proxy.client();
    for key in from..from + count {
        client.get(key, "read", 15_000);
        assert_eq!(client.command()[0], format!("{key:016x}:1"));
    }
}

#[test]
fn copies_are_reads_under_ids_of_their_own_and_nothing_else_is_copied() {
    let ((box_at, at_box), (candidate, at_candidate)) = (remembering(), remembering());
    let nodes = live(box_at);
    let (proxy, mut controller) = copying(&nodes, &[candidate], |_| {});
    reads(&proxy, 0, 50);
    let mut client = proxy.client();
    for key in 0..50 {
        let class = ["put", "once"][key as usize % 2];
        client.set(key, class, 15_000, "v");
        client.command();
    }
    reads(&proxy, 0, 50);
    let told = until(&mut controller, |t| t["status"]["open"] == 0 && t["status"]["counts"]["copies"] == 100);
    assert_eq!(told["report"]["tally"]["equal"], 100, "{told}");
    assert_eq!(told["status"]["counts"]["reads"], 100);
    let (live, copies) = (at_box.lock().expect("a lock"), at_candidate.lock().expect("a lock"));
    assert_eq!((live.len(), copies.len()), (150, 100));
    let mut ids: Vec<&str> = copies.iter().map(|c| &c[2][..]).collect();
    ids.sort_unstable();
    ids.dedup();
    assert_eq!(ids.len(), 100, "each copy has an id of its own");
    for copy in copies.iter() {
        assert!(copy[0] == "CACHE.GET" && copy[2].starts_with("shadow-"), "{copy:?}");
        assert!(live.iter().all(|l| l[2] != copy[2]));
        let wait: u64 =
            copy[3].split(',').find_map(|f| f.strip_prefix("d=")).expect("d").parse().expect("ms");
        assert!((1..=2_000).contains(&wait), "{copy:?}");
    }
    // What live boxes are asked and told does not change by it.
    assert!(live.iter().all(|l| !l[2].starts_with("shadow-")));
}

/// Connections that a proxy may have to such a candidate.
const CONNECTIONS: usize = 8;

/// A candidate that takes connections and treats each so; how many were open at once.
fn treating(how: impl Fn(std::net::TcpStream) + Send + Sync + 'static) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let (open, most) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let (how, peak) = (Arc::new(how), most.clone());
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (how, open, peak) = (how.clone(), open.clone(), peak.clone());
            // Those that the proxy has closed before this one are seen to be closed in a moment.
            let begun = Instant::now();
            while open.load(Ordering::SeqCst) >= CONNECTIONS && begun.elapsed() < Duration::from_secs(2) {
                std::thread::sleep(Duration::from_millis(1));
            }
            std::thread::spawn(move || {
                peak.fetch_max(open.fetch_add(1, Ordering::SeqCst) + 1, Ordering::SeqCst);
                how(stream);
                open.fetch_sub(1, Ordering::SeqCst);
            });
        }
    });
    (address, most)
}

#[test]
fn whatever_a_candidate_does_live_reads_are_served_and_it_is_left_alone() {
    let swallow = |mut s: std::net::TcpStream| while matches!(s.read(&mut [0; 4096]), Ok(1..)) {};
    let saying = |text: Vec<u8>, again: bool| {
        treating(move |mut s| {
            while matches!(s.read(&mut [0; 4096]), Ok(1..)) {
                while s.write_all(&text).is_ok() && again {}
            }
        })
    };
    let long = [&b"*3\r\n$4194304\r\n"[..], &vec![b'x'; 4 << 20], b"\r\n$3\r\nhit\r\n$-1\r\n"].concat();
    let slow = treating(|mut s| {
        let mut asked = false;
        s.set_read_timeout(Some(Duration::from_millis(80))).expect("a time-out");
        loop {
            match s.read(&mut [0; 4096]) {
                Ok(0) => return,
                Ok(_) => asked = true,
                Err(_) if std::mem::take(&mut asked) => drop(s.write_all(&hit("late"))),
                Err(_) => {}
            }
        }
    });
    let candidates = [
        ("silent", treating(swallow), "late"),
        ("slow", slow, "late"),
        ("refusing", (nobody(), Arc::default()), "error"),
        ("resetting", (answering(|_| None), Arc::default()), "error"),
        ("spoilt", saying(b"?what\r\n".to_vec(), false), "error"),
        ("4 MiB", saying(long, false), "error"),
        ("endless", saying(b"*3\r\n$3\r\nabc\r\n$3\r\nhit\r\n$-1\r\n".to_vec(), true), "error"),
        ("busy", saying(b"-BUSY 20\r\n".to_vec(), false), "busy"),
    ];
    std::thread::scope(|scope| {
        for (what, (candidate, most), counted) in &candidates {
            scope.spawn(move || {
                let nodes = live(answering(|c| Some(cached(c))));
                let (proxy, mut controller) = copying_within(&nodes, &[*candidate], 50, CONNECTIONS, |_| {});
                let asked = AtomicUsize::new(0);
                let found = until(&mut controller, |t| {
                    reads(&proxy, 10 * asked.fetch_add(1, Ordering::SeqCst) as u64, 10);
                    let status = &t["status"];
                    let paused = status["trouble"][0] == "candidate-silent" && status["parts"] == 0;
                    let state = &status["state"];
                    let stopped = state["reason"] == "failing" && state["failed"].as_u64() > Some(32);
                    status["open"] == 0 && if *counted == "late" { paused } else { stopped }
                });
                let tally = found["report"]["tally"].as_object().expect("a tally").clone();
                let sum: u64 = tally.values().filter_map(Value::as_u64).sum();
                assert!(tally[*counted].as_u64() > Some(0), "{what}: {found}");
                // The endless one's first answer came whole now and then; nothing was taken for another's.
                assert!(*what == "endless" || tally[*counted] == sum, "{what}: {found}");
                assert!(
                    most.load(Ordering::SeqCst) <= CONNECTIONS,
                    "{what}: {} connections",
                    most.load(Ordering::SeqCst)
                );
                // Nothing of it is seen at the live side.
                let counters = controller.ok(json!({"op": "status"}))["counters"].clone();
                let reads = 10 * asked.into_inner();
                assert_eq!(
                    (&counters["served"], &counters["attempts"]),
                    (&json!(reads), &json!(reads)),
                    "{what}"
                );
                proxy.is_well();
            });
        }
    });
}

#[test]
fn a_candidate_that_joins_the_live_list_gets_no_copies_until_a_new_start() {
    let (box_at, _) = remembering();
    let (candidate, asked) = remembering();
    let discovery = Server::start();
    let (proxy, mut controller) =
        copying_within(&live(box_at), &[candidate], 400, 64, |c| subscribed(c, &discovery));
    let copies = || asked.lock().expect("a lock").iter().filter(|c| c[2].starts_with("shadow-")).count();
    let hosts = |state: &str| [host("s-0", box_at, "up"), host("s-new", candidate, state)];
    let mut watch = discovery.accept();
    watch.request();
    reads(&proxy, 0, 40);
    until(&mut controller, |t| t["status"]["counts"]["copies"] == 40 && t["status"]["open"] == 0);
    assert_eq!(copies(), 40);
    watch.list(&list(42, true, &hosts("up")));
    until(&mut controller, |t| t["status"]["candidates"] == 0);
    reads(&proxy, 0, 100);
    assert!(asked.lock().expect("a lock").len() > 40, "it serves now");
    for (version, state) in [(43, "draining"), (44, "removed")] {
        let mut watch = discovery.accept();
        watch.request();
        watch.list(&list(version, false, &hosts(state)[1..]));
        controller.until(|s| s["list"]["version"] == version);
        reads(&proxy, 0, 40);
    }
    assert_eq!(copies(), 40);
    let told = told(&mut controller);
    assert_eq!(told["status"]["counts"]["copies"], 40, "{told}");
    // Named anew by an order, it is a candidate again.
    controller.ok(json!({"op": "shadow-start", "generation": 2, "lease_ms": 60_000}));
    until(&mut controller, |t| {
        reads(&proxy, 0, 1);
        t["status"]["counts"]["copies"].as_u64() > Some(40)
    });
}

#[test]
fn at_sigterm_copies_end_at_once_and_live_requests_are_answered() {
    let (node, candidate) = (Server::start(), Server::start());
    let (proxy, _controller) = copying_within(&node, &candidate.addresses, 3_000, 8, |_| {});
    let mut client = proxy.client();
    client.get(1, "read", 15_000);
    let (mut at_node, command) = node.command();
    at_node.send(hit(&command[2]));
    assert_eq!(client.command()[0], command[2]);
    let (mut copied, copy) = candidate.command();
    assert!(copy[2].starts_with("shadow-"));
    client.get(2, "read", 15_000);
    let command = at_node.command();
    proxy.signal("-TERM");
    let begun = Instant::now();
    assert!(!copied.stream_is_open(), "it ends with the copy open");
    assert!(begun.elapsed() < Duration::from_millis(1_500), "long before its time is up");
    at_node.send(hit(&command[2]));
    assert_eq!(client.command()[0], command[2]);
    assert!(candidate.is_untouched(), "no copy of what is answered after it");
}

#[test]
fn a_lease_ends_by_itself_and_a_stop_holds_over_a_kill() {
    let (box_at, _) = remembering();
    let (candidate, asked) = remembering();
    let nodes = live(box_at);
    let (text, socket) = file(&[candidate], "");
    let mut proxy = Proxy::operated(&nodes, &text, |_| {});
    let mut controller = Controller::connect(&socket);
    let start = |generation: u64, lease: u64| json!({"op": "shadow-start", "generation": generation, "lease_ms": lease});
    assert_eq!(controller.refused(start(1, 999)), "bad-request");
    controller.ok(start(5, 1_300));
    assert_eq!(controller.refused(start(4, 60_000)), "stale");
    until(&mut controller, |t| {
        reads(&proxy, 0, 1);
        t["status"]["state"] == json!({"state": "stopped", "reason": "lease"})
    });
    let copied = asked.lock().expect("a lock").len();
    assert!(copied > 0, "it copied while the lease held");
    reads(&proxy, 0, 20);
    assert_eq!(asked.lock().expect("a lock").len(), copied);
    proxy.kill_and_start();
    let mut controller = Controller::connect(&socket);
    assert_eq!(told(&mut controller)["status"]["state"], json!({"state": "stopped", "reason": "lease"}));
    assert_eq!(controller.refused(start(5, 60_000)), "stale");
    controller.ok(start(6, 60_000));
    until(&mut controller, |t| {
        reads(&proxy, 0, 1);
        t["status"]["counts"]["copies"].as_u64() > Some(0)
    });
    controller.ok(json!({"op": "shadow-stop", "generation": 7}));
    proxy.kill_and_start();
    let mut controller = Controller::connect(&socket);
    assert_eq!(told(&mut controller)["status"]["state"], json!({"state": "stopped", "reason": "asked"}));
}

#[test]
fn what_may_not_be_copied_is_refused_by_name_with_every_fault_at_once() {
    let nodes = Server::start();
    let (text, _) = file(&[nodes.addresses[0], nobody()], "tenants = [\"unknown\"]\n");
    let text = text.replace("[\"read\"]", "[\"read\", \"put\", \"once\", \"none\"]");
    let (operator, told) = (scratch("operator.toml"), scratch("config.json"));
    let mut config = config(&nodes.addresses);
    config["settings"]["n_instances"] = json!(6_000);
    std::fs::write(&operator, text).expect("written");
    std::fs::write(&told, config.to_string()).expect("written");
    for check in [true, false] {
        let mut command = std::process::Command::new(testkit::program("trestlesill"));
        command.arg("--operator").arg(&operator).env("NODE_CONFIG", &told);
        let out = command.args(check.then_some("--check")).output().expect("run");
        assert!(!out.status.success());
        let expected = format!(
            "trestlesill: shadow.classes: \"put\" is not safe to repeat\n\
             shadow.classes: \"once\" is not safe to repeat\n\
             shadow.classes: the settings have no category \"none\"\n\
             shadow.tenants: the settings have no customer \"unknown\"\n\
             shadow.candidates[0]: {} is the live box \"s-0\"\n\
             shadow.misses_per_second: is 10000; 6000 proxies need 12000 for one each\n",
            nodes.addresses[0]
        );
        assert_eq!(String::from_utf8_lossy(&out.stderr), expected);
    }
}

#[test]
fn reload_and_another_number_of_proxies_in_the_middle_change_the_budget_and_lose_no_copy() {
    let ((box_at, _), (candidate, asked)) = (remembering(), remembering());
    let (proxy, mut controller) = copying(&live(box_at), &[candidate], |_| {});
    reads(&proxy, 0, 30);
    until(&mut controller, |t| t["status"]["counts"]["copies"] == 30);
    assert_eq!(told(&mut controller)["status"]["misses"], 5_000);
    let mut new: Value = serde_json::from_str(&proxy.text()).expect("json");
    new["settings"]["n_instances"] = json!(50);
    let done = controller.ok(json!({"op": "reconfigure", "generation": 1, "config": new}));
    assert_eq!(done["applied"], true, "{done}");
    assert_eq!(told(&mut controller)["status"]["misses"], 100);
    proxy.signal("-HUP");
    reads(&proxy, 30, 30);
    let told = until(&mut controller, |t| t["status"]["counts"]["copies"] == 60 && t["status"]["open"] == 0);
    assert_eq!(
        (&told["report"]["tally"]["equal"], &told["status"]["state"]["state"]),
        (&json!(60), &json!("on"))
    );
    assert_eq!(asked.lock().expect("a lock").len(), 60);
    // More proxies than the budget has misses for: nothing more is copied, and nothing is refused for it.
    (new["settings"]["n_instances"], new["settings"]["self_index"]) = (json!(20_000), json!(9_000));
    controller.refused(json!({"op": "reconfigure", "generation": 0, "config": new}));
    new["settings"]["self_index"] = json!(0);
    controller.ok(json!({"op": "reconfigure", "generation": 2, "config": new}));
    reads(&proxy, 60, 10);
    let told = until(&mut controller, |t| t["status"]["counts"]["reads"] == 70);
    assert_eq!(told["status"]["misses"], 1, "{told}");
}

#[test]
fn a_candidate_one_version_behind_is_told_apart_from_a_wrong_one() {
    let version = Arc::new(AtomicUsize::new(1));
    let now = version.clone();
    let value =
        |c: &resp::Command, version: usize| hit(&format!("{}:{version}", String::from_utf8_lossy(c.arg(1))));
    let box_at = answering(move |c| Some(value(c, now.load(Ordering::SeqCst))));
    let now = version.clone();
    // Half of the keys are behind by one version, one in four is another value altogether.
    let candidate = answering(move |c| {
        let key = u64::from_str_radix(&String::from_utf8_lossy(c.arg(1)), 16).unwrap_or(0);
        let now = now.load(Ordering::SeqCst);
        Some(if key % 4 == 3 {
            hit("another")
        } else {
            value(c, now - usize::from(key.is_multiple_of(2) && now > 1))
        })
    });
    let (text, socket) = file(&[candidate], "stop_different = 1.0\nsamples = 4\n");
    let text = text.replace("deadline_ms = 50", "deadline_ms = 2000");
    let proxy = Proxy::operated(&live(box_at), &text, |_| {});
    let mut controller = Controller::connect(&socket);
    controller.ok(json!({"op": "shadow-start", "generation": 1, "lease_ms": 600_000}));
    std::thread::sleep(Duration::from_millis(3_050));
    let mut client = proxy.client();
    for (round, versions) in [1, 2, 2].into_iter().enumerate() {
        version.store(versions, Ordering::SeqCst);
        for key in 0..20 {
            client.get(key, "read", 15_000);
            assert_eq!(client.command()[0], format!("{key:016x}:{versions}"));
        }
        let copies = 20 * (round + 1);
        until(&mut controller, |t| t["status"]["open"] == 0 && t["status"]["counts"]["copies"] == copies);
    }
    let told = told(&mut controller);
    let tally = &told["report"]["tally"];
    // Of the five wrong keys each was in doubt, settled, and is in doubt again.
    assert_eq!(
        (&tally["stale"], &tally["wrong"], &tally["passing"]),
        (&json!(10), &json!(5), &json!(0)),
        "{told}"
    );
    assert_eq!(
        (&told["status"]["doubts"], told["samples"].as_array().map(Vec::len)),
        (&json!(5), Some(4)),
        "{told}"
    );
}

#[test]
fn a_value_that_is_passed_on_as_it_comes_is_counted_and_not_copied() {
    let long = answering(|_| Some(hit(&"v".repeat(100 << 10))));
    let (candidate, asked) = remembering();
    let (proxy, mut controller) = copying_within(&live(long), &[candidate], 50, 8, |_| {});
    let mut client = proxy.client();
    for key in 0..5 {
        client.get(key, "read", 15_000);
        assert_eq!(client.command()[0].len(), 100 << 10);
    }
    let told = until(&mut controller, |t| t["status"]["counts"]["reads"] == 5);
    let long = shadow::SKIP_REASONS.iter().position(|(_, word)| *word == "long").expect("a cause");
    assert_eq!(told["status"]["counts"]["dropped"][long], 5, "{told}");
    assert!(asked.lock().expect("a lock").is_empty());
}
