//! Shadow traffic of the built binary: reads copied to candidates, between scripted live boxes, candidates and clients.

use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use testkit::controller::Controller;
use testkit::scripted::*;

/// The commands that a box received.
type RecordedCommands = Arc<Mutex<Vec<Vec<String>>>>;

/// Starts a box that has every key and records the commands it receives.
fn start_recording_node() -> (SocketAddr, RecordedCommands) {
    let recorded = RecordedCommands::default();
    let kept = recorded.clone();
    let address = answering(move |c| {
        let words = (0..c.arity()).map(|i| String::from_utf8_lossy(c.arg(i)).into_owned()).collect();
        kept.lock().expect("a lock").push(words);
        Some(if c.arg(0) == b"CACHE.GET" { cached(c) } else { b"*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n".to_vec() })
    });
    (address, recorded)
}

fn live_server(address: SocketAddr) -> Server {
    let mut server = Server::many(0);
    server.addresses.push(address);
    server
}

/// Returns an operator's file with a control socket and these candidates, which copies all keys from the start, and the path
/// of the socket.
fn operator_file(candidates: &[SocketAddr], more: &str) -> (String, std::path::PathBuf) {
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

/// Starts a proxy with a shadow lease of one hour and a deadline so long that no copy is late. `edit` changes its
/// configuration.
fn start_shadowing(
    nodes: &Server,
    candidates: &[SocketAddr],
    edit: impl FnOnce(&mut Value),
) -> (Proxy, Controller) {
    start_shadowing_with_limits(nodes, candidates, 2_000, 64, edit)
}

/// Like `start_shadowing`, with a deadline for a copy in milliseconds and a number of connections.
fn start_shadowing_with_limits(
    nodes: &Server,
    candidates: &[SocketAddr],
    deadline: u64,
    connections: usize,
    edit: impl FnOnce(&mut Value),
) -> (Proxy, Controller) {
    let (text, socket) = operator_file(candidates, "");
    let text = text.replace("deadline_ms = 50", &format!("deadline_ms = {deadline}"));
    let text = text.replace("connections = 64", &format!("connections = {connections}"));
    let proxy = Proxy::operated(nodes, &text, edit);
    let mut controller = Controller::connect(&socket);
    let reply = controller.ok(json!({"op": "shadow-start", "generation": 1, "lease_ms": 3_600_000}));
    assert_eq!(reply["status"]["state"]["state"], "on", "{reply}");
    // Copies of a previous process could still be in flight for this long.
    std::thread::sleep(Duration::from_millis(1_050 + deadline));
    (proxy, controller)
}

fn shadow_status(controller: &mut Controller) -> Value {
    controller.ok(json!({"op": "shadow-status"}))
}

/// Polls the shadow status until it is as wanted.
fn wait_for_status(controller: &mut Controller, wanted: impl Fn(&Value) -> bool) -> Value {
    let started = Instant::now();
    loop {
        let status_reply = shadow_status(controller);
        if wanted(&status_reply) {
            return status_reply;
        }
        assert!(started.elapsed() < PATIENCE, "{status_reply}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Sends `count` reads one after the other, starting at key `from`, and asserts that each is served.
fn serve_reads(proxy: &Proxy, from: u64, count: u64) {
    let mut client = proxy.client();
    for key in from..from + count {
        client.get(key, "read", 15_000);
        assert_eq!(client.command()[0], format!("{key:016x}:1"));
    }
}

#[test]
fn only_reads_are_copied_and_each_copy_has_its_own_id() {
    let ((box_at, at_box), (candidate, at_candidate)) = (start_recording_node(), start_recording_node());
    let nodes = live_server(box_at);
    let (proxy, mut controller) = start_shadowing(&nodes, &[candidate], |_| {});
    serve_reads(&proxy, 0, 50);
    let mut client = proxy.client();
    for key in 0..50 {
        let class = ["put", "once"][key as usize % 2];
        client.set(key, class, 15_000, "v");
        client.command();
    }
    serve_reads(&proxy, 0, 50);
    let status_reply = wait_for_status(&mut controller, |t| {
        t["status"]["open"] == 0 && t["status"]["counts"]["copies"] == 100
    });
    assert_eq!(status_reply["report"]["tally"]["equal"], 100, "{status_reply}");
    assert_eq!(status_reply["status"]["counts"]["reads"], 100);
    let (live_commands, copies) = (at_box.lock().expect("a lock"), at_candidate.lock().expect("a lock"));
    assert_eq!((live_commands.len(), copies.len()), (150, 100));
    let mut ids: Vec<&str> = copies.iter().map(|c| &c[2][..]).collect();
    ids.sort_unstable();
    ids.dedup();
    assert_eq!(ids.len(), 100, "two copies have the same id");
    for copy in copies.iter() {
        assert!(copy[0] == "CACHE.GET" && copy[2].starts_with("shadow-"), "{copy:?}");
        assert!(live_commands.iter().all(|l| l[2] != copy[2]));
        let wait: u64 =
            copy[3].split(',').find_map(|f| f.strip_prefix("d=")).expect("d").parse().expect("ms");
        assert!((1..=2_000).contains(&wait), "{copy:?}");
    }
    // Live boxes receive no copies.
    assert!(live_commands.iter().all(|l| !l[2].starts_with("shadow-")));
}

/// Maximum number of connections of a proxy to such a candidate.
const CONNECTIONS: usize = 8;

/// Starts a candidate that handles each connection with `handle`. Returns its address and the highest number of open
/// connections.
fn start_candidate(
    handle: impl Fn(std::net::TcpStream) + Send + Sync + 'static,
) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let (open, max_open) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let (handle, peak) = (Arc::new(handle), max_open.clone());
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (handle, open, peak) = (handle.clone(), open.clone(), peak.clone());
            // Connections that the proxy closed before this one are noticed shortly.
            let started = Instant::now();
            while open.load(Ordering::SeqCst) >= CONNECTIONS && started.elapsed() < Duration::from_secs(2) {
                std::thread::sleep(Duration::from_millis(1));
            }
            std::thread::spawn(move || {
                peak.fetch_max(open.fetch_add(1, Ordering::SeqCst) + 1, Ordering::SeqCst);
                handle(stream);
                open.fetch_sub(1, Ordering::SeqCst);
            });
        }
    });
    (address, max_open)
}

#[test]
fn a_failing_candidate_does_not_affect_live_reads_and_stops_getting_copies() {
    let read_without_answering =
        |mut s: std::net::TcpStream| while matches!(s.read(&mut [0; 4096]), Ok(1..)) {};
    let repeating_response = |text: Vec<u8>, again: bool| {
        start_candidate(move |mut s| {
            while matches!(s.read(&mut [0; 4096]), Ok(1..)) {
                while s.write_all(&text).is_ok() && again {}
            }
        })
    };
    let long = [&b"*3\r\n$4194304\r\n"[..], &vec![b'x'; 4 << 20], b"\r\n$3\r\nhit\r\n$-1\r\n"].concat();
    let slow = start_candidate(|mut s| {
        let mut has_request = false;
        s.set_read_timeout(Some(Duration::from_millis(80))).expect("a time-out");
        loop {
            match s.read(&mut [0; 4096]) {
                Ok(0) => return,
                Ok(_) => has_request = true,
                Err(_) if std::mem::take(&mut has_request) => drop(s.write_all(&hit("late"))),
                Err(_) => {}
            }
        }
    });
    let candidates = [
        ("silent", start_candidate(read_without_answering), "late"),
        ("slow", slow, "late"),
        ("refusing", (unused_address(), Arc::default()), "error"),
        ("resetting", (answering(|_| None), Arc::default()), "error"),
        ("spoilt", repeating_response(b"?what\r\n".to_vec(), false), "error"),
        ("4 MiB", repeating_response(long, false), "error"),
        ("endless", repeating_response(b"*3\r\n$3\r\nabc\r\n$3\r\nhit\r\n$-1\r\n".to_vec(), true), "error"),
        ("busy", repeating_response(b"-BUSY 20\r\n".to_vec(), false), "busy"),
    ];
    std::thread::scope(|scope| {
        for (what, (candidate, max_open), expected_tally) in &candidates {
            scope.spawn(move || {
                let nodes = live_server(answering(|c| Some(cached(c))));
                let (proxy, mut controller) =
                    start_shadowing_with_limits(&nodes, &[*candidate], 50, CONNECTIONS, |_| {});
                let rounds = AtomicUsize::new(0);
                let final_status = wait_for_status(&mut controller, |t| {
                    serve_reads(&proxy, 10 * rounds.fetch_add(1, Ordering::SeqCst) as u64, 10);
                    let status = &t["status"];
                    let paused = status["trouble"][0] == "candidate-silent" && status["parts"] == 0;
                    let state = &status["state"];
                    let stopped = state["reason"] == "failing" && state["failed"].as_u64() > Some(32);
                    status["open"] == 0 && if *expected_tally == "late" { paused } else { stopped }
                });
                let tally = final_status["report"]["tally"].as_object().expect("a tally").clone();
                let sum: u64 = tally.values().filter_map(Value::as_u64).sum();
                assert!(tally[*expected_tally].as_u64() > Some(0), "{what}: {final_status}");
                // The first response of the endless candidate is complete at times; no response is matched to another copy.
                assert!(*what == "endless" || tally[*expected_tally] == sum, "{what}: {final_status}");
                assert!(
                    max_open.load(Ordering::SeqCst) <= CONNECTIONS,
                    "{what}: {} connections",
                    max_open.load(Ordering::SeqCst)
                );
                // The live side is not affected.
                let counters = controller.ok(json!({"op": "status"}))["counters"].clone();
                let sent_reads = 10 * rounds.into_inner();
                assert_eq!(
                    (&counters["served"], &counters["attempts"]),
                    (&json!(sent_reads), &json!(sent_reads)),
                    "{what}"
                );
                proxy.assert_serving();
            });
        }
    });
}

#[test]
fn a_candidate_in_the_live_list_gets_no_copies_until_shadowing_is_started_again() {
    let (box_at, _) = start_recording_node();
    let (candidate, recorded) = start_recording_node();
    let discovery = Server::start();
    let (proxy, mut controller) =
        start_shadowing_with_limits(&live_server(box_at), &[candidate], 400, 64, |c| {
            subscribed(c, &discovery)
        });
    let copies = || recorded.lock().expect("a lock").iter().filter(|c| c[2].starts_with("shadow-")).count();
    let hosts = |state: &str| [host("s-0", box_at, "up"), host("s-new", candidate, state)];
    let mut watch = discovery.accept();
    watch.request();
    serve_reads(&proxy, 0, 40);
    wait_for_status(&mut controller, |t| t["status"]["counts"]["copies"] == 40 && t["status"]["open"] == 0);
    assert_eq!(copies(), 40);
    watch.list(&list(42, true, &hosts("up")));
    wait_for_status(&mut controller, |t| t["status"]["candidates"] == 0);
    serve_reads(&proxy, 0, 100);
    assert!(
        recorded.lock().expect("a lock").len() > 40,
        "the candidate got no live reads after it joined the list"
    );
    for (version, state) in [(43, "draining"), (44, "removed")] {
        let mut watch = discovery.accept();
        watch.request();
        watch.list(&list(version, false, &hosts(state)[1..]));
        controller.until(|s| s["list"]["version"] == version);
        serve_reads(&proxy, 0, 40);
    }
    assert_eq!(copies(), 40);
    let status_reply = shadow_status(&mut controller);
    assert_eq!(status_reply["status"]["counts"]["copies"], 40, "{status_reply}");
    // A new start order makes it a candidate again.
    controller.ok(json!({"op": "shadow-start", "generation": 2, "lease_ms": 60_000}));
    wait_for_status(&mut controller, |t| {
        serve_reads(&proxy, 0, 1);
        t["status"]["counts"]["copies"].as_u64() > Some(40)
    });
}

#[test]
fn sigterm_cancels_copies_at_once_and_live_requests_are_answered() {
    let (node, candidate) = (Server::start(), Server::start());
    let (proxy, _controller) = start_shadowing_with_limits(&node, &candidate.addresses, 3_000, 8, |_| {});
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
    let started = Instant::now();
    assert!(!copied.stream_is_open(), "the connection of the open copy was not closed");
    assert!(
        started.elapsed() < Duration::from_millis(1_500),
        "the copy was not cancelled well before its deadline"
    );
    at_node.send(hit(&command[2]));
    assert_eq!(client.command()[0], command[2]);
    assert!(candidate.is_untouched(), "a read answered after SIGTERM was copied");
}

#[test]
fn a_lease_expires_and_a_stop_survives_a_kill() {
    let (box_at, _) = start_recording_node();
    let (candidate, recorded) = start_recording_node();
    let nodes = live_server(box_at);
    let (text, socket) = operator_file(&[candidate], "");
    let mut proxy = Proxy::operated(&nodes, &text, |_| {});
    let mut controller = Controller::connect(&socket);
    let start = |generation: u64, lease: u64| json!({"op": "shadow-start", "generation": generation, "lease_ms": lease});
    assert_eq!(controller.refused(start(1, 999)), "bad-request");
    controller.ok(start(5, 1_300));
    assert_eq!(controller.refused(start(4, 60_000)), "stale");
    wait_for_status(&mut controller, |t| {
        serve_reads(&proxy, 0, 1);
        t["status"]["state"] == json!({"state": "stopped", "reason": "lease"})
    });
    let copied = recorded.lock().expect("a lock").len();
    assert!(copied > 0, "nothing was copied while the lease was valid");
    serve_reads(&proxy, 0, 20);
    assert_eq!(recorded.lock().expect("a lock").len(), copied);
    proxy.kill_and_start();
    let mut controller = Controller::connect(&socket);
    assert_eq!(
        shadow_status(&mut controller)["status"]["state"],
        json!({"state": "stopped", "reason": "lease"})
    );
    assert_eq!(controller.refused(start(5, 60_000)), "stale");
    controller.ok(start(6, 60_000));
    wait_for_status(&mut controller, |t| {
        serve_reads(&proxy, 0, 1);
        t["status"]["counts"]["copies"].as_u64() > Some(0)
    });
    controller.ok(json!({"op": "shadow-stop", "generation": 7}));
    proxy.kill_and_start();
    let mut controller = Controller::connect(&socket);
    assert_eq!(
        shadow_status(&mut controller)["status"]["state"],
        json!({"state": "stopped", "reason": "asked"})
    );
}

#[test]
fn invalid_shadow_settings_are_rejected_with_all_errors_listed() {
    let nodes = Server::start();
    let (text, _) = operator_file(&[nodes.addresses[0], unused_address()], "tenants = [\"unknown\"]\n");
    let text = text.replace("[\"read\"]", "[\"read\", \"put\", \"once\", \"none\"]");
    let (operator, config_file) = (scratch("operator.toml"), scratch("config.json"));
    let mut config = config(&nodes.addresses);
    config["settings"]["n_instances"] = json!(6_000);
    std::fs::write(&operator, text).expect("written");
    std::fs::write(&config_file, config.to_string()).expect("written");
    for check in [true, false] {
        let mut command = std::process::Command::new(testkit::program("trestlesill"));
        command.arg("--operator").arg(&operator).env("NODE_CONFIG", &config_file);
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
fn a_reload_and_a_new_number_of_proxies_change_the_miss_budget_without_losing_copies() {
    let ((box_at, _), (candidate, recorded)) = (start_recording_node(), start_recording_node());
    let (proxy, mut controller) = start_shadowing(&live_server(box_at), &[candidate], |_| {});
    serve_reads(&proxy, 0, 30);
    wait_for_status(&mut controller, |t| t["status"]["counts"]["copies"] == 30);
    assert_eq!(shadow_status(&mut controller)["status"]["misses"], 5_000);
    let mut new: Value = serde_json::from_str(&proxy.text()).expect("json");
    new["settings"]["n_instances"] = json!(50);
    let done = controller.ok(json!({"op": "reconfigure", "generation": 1, "config": new}));
    assert_eq!(done["applied"], true, "{done}");
    assert_eq!(shadow_status(&mut controller)["status"]["misses"], 100);
    proxy.signal("-HUP");
    serve_reads(&proxy, 30, 30);
    let status_reply = wait_for_status(&mut controller, |t| {
        t["status"]["counts"]["copies"] == 60 && t["status"]["open"] == 0
    });
    assert_eq!(
        (&status_reply["report"]["tally"]["equal"], &status_reply["status"]["state"]["state"]),
        (&json!(60), &json!("on"))
    );
    assert_eq!(recorded.lock().expect("a lock").len(), 60);
    // More proxies than the budget has misses for: nothing more is copied, and the configuration is not rejected for it.
    (new["settings"]["n_instances"], new["settings"]["self_index"]) = (json!(20_000), json!(9_000));
    controller.refused(json!({"op": "reconfigure", "generation": 0, "config": new}));
    new["settings"]["self_index"] = json!(0);
    controller.ok(json!({"op": "reconfigure", "generation": 2, "config": new}));
    serve_reads(&proxy, 60, 10);
    let status_reply = wait_for_status(&mut controller, |t| t["status"]["counts"]["reads"] == 70);
    assert_eq!(status_reply["status"]["misses"], 1, "{status_reply}");
}

#[test]
fn a_stale_candidate_value_is_distinguished_from_a_wrong_one() {
    let version = Arc::new(AtomicUsize::new(1));
    let now = version.clone();
    let value =
        |c: &resp::Command, version: usize| hit(&format!("{}:{version}", String::from_utf8_lossy(c.arg(1))));
    let box_at = answering(move |c| Some(value(c, now.load(Ordering::SeqCst))));
    let now = version.clone();
    // Half of the keys are stale by one version, one in four has a wrong value.
    let candidate = answering(move |c| {
        let key = u64::from_str_radix(&String::from_utf8_lossy(c.arg(1)), 16).unwrap_or(0);
        let now = now.load(Ordering::SeqCst);
        Some(if key % 4 == 3 {
            hit("another")
        } else {
            value(c, now - usize::from(key.is_multiple_of(2) && now > 1))
        })
    });
    let (text, socket) = operator_file(&[candidate], "stop_different = 1.0\nsamples = 4\n");
    let text = text.replace("deadline_ms = 50", "deadline_ms = 2000");
    let proxy = Proxy::operated(&live_server(box_at), &text, |_| {});
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
        wait_for_status(&mut controller, |t| {
            t["status"]["open"] == 0 && t["status"]["counts"]["copies"] == copies
        });
    }
    let status_reply = shadow_status(&mut controller);
    let tally = &status_reply["report"]["tally"];
    // Each of the five wrong keys was unconfirmed, then confirmed as wrong, and is unconfirmed again.
    assert_eq!(
        (&tally["stale"], &tally["wrong"], &tally["passing"]),
        (&json!(10), &json!(5), &json!(0)),
        "{status_reply}"
    );
    assert_eq!(
        (&status_reply["status"]["doubts"], status_reply["samples"].as_array().map(Vec::len)),
        (&json!(5), Some(4)),
        "{status_reply}"
    );
}

#[test]
fn a_streamed_value_is_counted_as_dropped_and_not_copied() {
    let long = answering(|_| Some(hit(&"v".repeat(100 << 10))));
    let (candidate, recorded) = start_recording_node();
    let (proxy, mut controller) =
        start_shadowing_with_limits(&live_server(long), &[candidate], 50, 8, |_| {});
    let mut client = proxy.client();
    for key in 0..5 {
        client.get(key, "read", 15_000);
        assert_eq!(client.command()[0].len(), 100 << 10);
    }
    let status_reply = wait_for_status(&mut controller, |t| t["status"]["counts"]["reads"] == 5);
    let long = shadow::SKIP_REASONS.iter().position(|(_, word)| *word == "long").expect("a cause");
    assert_eq!(status_reply["status"]["counts"]["dropped"][long], 5, "{status_reply}");
    assert!(recorded.lock().expect("a lock").is_empty());
}
