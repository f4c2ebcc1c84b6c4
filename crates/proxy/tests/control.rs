//! The control endpoint from outside: its reports and commands, and the effect of misbehaving controllers on the service.

use serde_json::{json, Value};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};
use testkit::controller::Controller;
use testkit::scripted::*;

/// A proxy with a control endpoint, and the paths of its socket and state.
struct ControlledProxy {
    proxy: Proxy,
    socket: PathBuf,
    state: PathBuf,
}

impl ControlledProxy {
    fn start(nodes: &Server) -> ControlledProxy {
        ControlledProxy::with(nodes, |_| {})
    }

    fn with(nodes: &Server, edit: impl FnOnce(&mut Value)) -> ControlledProxy {
        let (socket, state) = (scratch("control.sock"), scratch("state"));
        let operator = format!(
            "version = 1\n[control]\nsocket = {:?}\nstate_file = {:?}\nmax_connections = 8\n",
            socket, state
        );
        let proxy = Proxy::operated(nodes, &operator, edit);
        ControlledProxy { proxy, socket, state }
    }

    fn control(&self) -> Controller {
        Controller::connect(&self.socket)
    }
}

fn drain_box_request(name: &str) -> Value {
    json!({"op": "drain-box", "box": name})
}

/// Reads the keys and returns how many of them were sent to each of two nodes, `s-0` and `s-1`.
fn reads_by_node(
    proxy: &Proxy,
    nodes: &Server,
    peers: &mut Vec<Peer>,
    keys: std::ops::Range<u64>,
) -> [u64; 2] {
    let mut client = proxy.client();
    let mut at = [0; 2];
    for key in keys {
        client.get(key, "read", 15_000);
        let (i, _) = nodes.any(peers);
        at[peers[i].at] += 1;
        peers[i].send(hit("v"));
        assert_eq!(client.command()[0], "v");
    }
    at
}

#[test]
fn the_socket_is_accessible_to_its_owner_only_and_removed_on_exit() {
    let node = Server::start();
    let mut controlled = ControlledProxy::start(&node);
    controlled.control();
    let mode = std::fs::metadata(&controlled.socket).expect("there").permissions().mode();
    assert_eq!(mode & 0o777, 0o600);
    // A second process on the same path does not take the socket over.
    let config = scratch("second.json");
    let mut second: Value = serde_json::from_str(&controlled.proxy.text()).expect("JSON");
    second["listen"] = json!(unused_address().to_string());
    std::fs::write(&config, second.to_string()).expect("written");
    let args =
        std::fs::read(format!("/proc/{}/cmdline", controlled.proxy.child.id())).expect("a command line");
    let operator = String::from_utf8_lossy(&args).split('\0').nth(2).expect("the operator's file").to_owned();
    let out = Command::new(testkit::program("trestlesill"))
        .args(["--operator", &operator])
        .env("NODE_CONFIG", &config)
        .output()
        .expect("runs");
    let error = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(!out.status.success() && error.contains("in use by another process"), "{error}");
    controlled.control().ok(json!({"op": "status"}));
    // A killed process leaves the socket behind, and the next start takes it over.
    controlled.proxy.kill_and_start();
    controlled.control().ok(json!({"op": "status"}));
    controlled.proxy.signal("-TERM");
    controlled.proxy.wait();
    assert!(!controlled.socket.exists());
}

#[test]
fn the_status_reports_phase_list_and_counters() {
    let nodes = Server::many(2);
    let controlled = ControlledProxy::start(&nodes);
    let mut control = controlled.control();
    let mut peers = Vec::new();
    reads_by_node(&controlled.proxy, &nodes, &mut peers, 0..6);
    let status = control.ok(json!({"op": "status"}));
    assert_eq!(status["phase"], "ready");
    assert_eq!((&status["name"], &status["pid"]), (&json!("n0"), &json!(controlled.proxy.child.id())));
    assert_eq!((&status["list"]["version"], &status["list"]["usable"]), (&json!(41), &json!(2)));
    assert_eq!((&status["counters"]["accepted"], &status["counters"]["served"]), (&json!(6), &json!(6)));
    let page = control.ok(json!({"op": "boxes", "limit": 1}));
    assert_eq!((&page["boxes"][0]["box"], &page["more"]), (&json!("s-0"), &json!(true)));
    let rest = control.ok(json!({"op": "boxes", "after": "s-0"}));
    assert_eq!((&rest["boxes"][0]["box"], &rest["more"]), (&json!("s-1"), &json!(false)));
    let sent = |p: &Value| p["boxes"][0]["sent"].as_u64().expect("a count");
    assert_eq!(sent(&page) + sent(&rest), 6);
    assert_eq!(control.refused(json!({"op": "boxes", "limit": 257})), "bad-request");
}

#[test]
fn an_instance_is_starting_until_it_knows_a_usable_box() {
    let nodes = Server::many(1);
    let discovery = Server::start();
    let controlled = ControlledProxy::with(&nodes, |c| {
        c["known"] = json!(null);
        subscribed(c, &discovery);
    });
    let mut control = controlled.control();
    let status = control.ok(json!({"op": "status"}));
    assert_eq!((&status["phase"], &status["list"]["version"]), (&json!("starting"), &json!(null)));
    assert_eq!(control.ok(json!({"op": "list"}))["known"], json!(null));
    for (version, health) in [(1, "draining"), (2, "up")] {
        let mut call = discovery.accept();
        call.request();
        call.list(&list(version, true, &[host("s-0", nodes.addresses[0], health)]));
        let status = control.until(|s| s["list"]["version"] == version);
        let ready = status["phase"] == "ready";
        assert_eq!(ready, health == "up", "{status}");
    }
}

#[test]
fn a_box_is_used_only_if_neither_discovery_nor_an_operator_drains_it() {
    let nodes = Server::many(2);
    let discovery = Server::start();
    let controlled = ControlledProxy::with(&nodes, |c| {
        subscribed(c, &discovery);
    });
    let mut control = controlled.control();
    let mut watch = discovery.accept();
    watch.request();
    let hosts = |state: &str| [host("s-0", nodes.addresses[0], state), host("s-1", nodes.addresses[1], "up")];
    watch.list(&list(42, true, &hosts("up")));
    control.until(|s| s["list"]["version"] == 42);
    let mut peers = Vec::new();
    let before = reads_by_node(&controlled.proxy, &nodes, &mut peers, 0..24);
    assert!(before[0] > 0 && before[1] > 0, "{before:?}");
    // Drained by the operator, `up` in the list.
    let status = control.ok(drain_box_request("s-0"));
    assert_eq!((&status["drained"], &status["revision"]), (&json!(["s-0"]), &json!(1)));
    assert_eq!(
        (&status["leaving"][0]["listed"], &status["leaving"][0]["usable"]),
        (&json!("up"), &json!(false))
    );
    assert_eq!(reads_by_node(&controlled.proxy, &nodes, &mut peers, 0..24)[0], 0);
    // Undrained by the operator, `draining` in the list.
    let mut watch = discovery.accept();
    watch.request();
    watch.list(&list(43, false, &hosts("draining")[..1]));
    control.until(|s| s["list"]["version"] == 43);
    let status = control.ok(json!({"op": "undrain-box", "box": "s-0"}));
    assert_eq!(status["leaving"][0]["listed"], "draining");
    assert_eq!(reads_by_node(&controlled.proxy, &nodes, &mut peers, 0..24)[0], 0);
    // Usable by both.
    let mut watch = discovery.accept();
    watch.request();
    watch.list(&list(44, false, &hosts("up")[..1]));
    control.until(|s| s["list"]["version"] == 44);
    assert!(reads_by_node(&controlled.proxy, &nodes, &mut peers, 0..24)[0] > 0);
}

#[test]
fn a_restarted_instance_keeps_a_drain_although_its_list_says_up() {
    let nodes = Server::many(2);
    let mut controlled = ControlledProxy::start(&nodes);
    controlled.control().ok(drain_box_request("s-0"));
    controlled.proxy.kill_and_start();
    let status = controlled.control().ok(json!({"op": "status"}));
    assert_eq!((&status["drained"], &status["list"]["usable"]), (&json!(["s-0"]), &json!(1)));
    let mut peers = Vec::new();
    assert_eq!(reads_by_node(&controlled.proxy, &nodes, &mut peers, 0..24)[0], 0);
    // An unreadable state file is not treated as an empty one.
    std::fs::write(&controlled.state, "trestle-state/1 5 00000000\n{}").expect("written");
    controlled.proxy.kill_and_start();
    assert!(!controlled.proxy.wait().success());
}

#[test]
fn a_box_can_be_drained_before_any_list_names_it() {
    let nodes = Server::many(2);
    let controlled = ControlledProxy::start(&nodes);
    let mut control = controlled.control();
    let status = control.ok(json!({"op": "set-drained", "revision": 7, "boxes": ["s-1", "s-9"]}));
    assert_eq!((&status["revision"], &status["drained"]), (&json!(7), &json!(["s-1", "s-9"])));
    assert_eq!(status["leaving"].as_array().map(Vec::len), Some(1));
    assert_eq!(control.refused(json!({"op": "set-drained", "revision": 6, "boxes": []})), "stale");
    assert_eq!(control.refused(json!({"op": "set-drained", "revision": 7, "boxes": []})), "stale");
    control.ok(json!({"op": "set-drained", "revision": 7, "boxes": ["s-9", "s-1"]}));
    let mut peers = Vec::new();
    assert_eq!(reads_by_node(&controlled.proxy, &nodes, &mut peers, 0..12)[1], 0);
}

#[test]
fn an_instance_is_drained_and_undrained() {
    let node = Server::start();
    let mut controlled = ControlledProxy::start(&node);
    let mut control = controlled.control();
    let mut client = controlled.proxy.client();
    client.get(1, "read", 15_000);
    let (mut peer, _) = node.command();
    assert_eq!(control.ok(json!({"op": "drain"}))["phase"], "draining");
    // Accepted requests are answered, and their connections closed afterwards.
    let started = Instant::now();
    while std::net::TcpStream::connect(controlled.proxy.address).is_ok() {
        assert!(started.elapsed() < PATIENCE, "the drained proxy is still listening");
        std::thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(control.ok(json!({"op": "status"}))["requests"], 1);
    peer.send(hit("v"));
    assert_eq!(client.command()[0], "v");
    assert!(client.rest().is_empty());
    drop(client);
    control.until(|s| s["phase"] == "stopped");
    // A restart does not undrain the instance.
    controlled.proxy.kill_and_start();
    let mut control = controlled.control();
    assert_eq!(control.ok(json!({"op": "status"}))["phase"], "stopped");
    assert!(std::net::TcpStream::connect(controlled.proxy.address).is_err());
    assert_eq!(control.ok(json!({"op": "undrain"}))["phase"], "ready");
    controlled.proxy.assert_serving();
    // While another process has its address, the instance stays drained and reports it.
    control.ok(json!({"op": "drain"}));
    control.until(|s| s["phase"] == "stopped");
    let taken =
        std::net::TcpListener::bind(controlled.proxy.address).expect("the address of the proxy is free");
    assert_eq!(control.refused(json!({"op": "undrain"})), "storage");
    assert_eq!(control.ok(json!({"op": "status"}))["phase"], "stopped");
    assert!(std::fs::read_to_string(&controlled.state).expect("a state").contains("\"drained\":true"));
    drop(taken);
    assert_eq!(control.ok(json!({"op": "undrain"}))["phase"], "ready");
    // An undrain within the accept window keeps the existing listener.
    control.ok(json!({"op": "drain"}));
    control.ok(json!({"op": "undrain"}));
    std::thread::sleep(Duration::from_millis(700));
    controlled.proxy.assert_serving();
    // A stopped instance exits at once.
    control.ok(json!({"op": "drain"}));
    control.until(|s| s["phase"] == "stopped");
    controlled.proxy.signal("-TERM");
    assert!(controlled.proxy.wait().success());
}

#[test]
fn a_configuration_is_applied_completely_or_not_at_all() {
    let node = Server::start();
    let (one, two) = (Server::start(), Server::start());
    let controlled = ControlledProxy::with(&node, |c| {
        c["discovery"] = json!(one.addresses[0].to_string());
        c["settings"]["discovery"] = json!("subscribe");
        c["generation"] = json!(3);
    });
    let mut control = controlled.control();
    one.accept();
    let text = controlled.proxy.text();
    let changed = |edit: &dyn Fn(&mut Value)| {
        let mut config: Value = serde_json::from_str(&text).expect("JSON");
        edit(&mut config);
        config
    };
    let reconfigure_request = |generation: u64, config: Value| json!({"op": "reconfigure", "generation": generation, "config": config});
    let moved = changed(&|c| {
        c["discovery"] = json!(two.addresses[0].to_string());
        c["settings"]["caps"]["attempts_cap"] = json!(1);
    });
    // One part of it needs a restart, so none of it is applied.
    let mut restart = moved.clone();
    restart["limits"]["memory_mb"] = json!(64);
    let done = control.ok(reconfigure_request(4, restart));
    assert_eq!((&done["applied"], &done["generation"]), (&json!(false), &json!(3)));
    assert_eq!(done["needs_restart"], json!(["limits.memory_mb"]));
    // Nor is an invalid configuration or a stale generation.
    for (generation, config, code) in [
        (4, changed(&|c| c["settings"]["categories"][0]["deadline_ns"] = json!(0)), "bad-config"),
        (4, json!({}), "bad-config"),
        (2, moved.clone(), "stale"),
        (3, moved.clone(), "stale"),
    ] {
        assert_eq!(control.refused(reconfigure_request(generation, config)), code);
    }
    // A dry run reports what would change.
    let mut dry = reconfigure_request(4, moved.clone());
    dry["dry_run"] = json!(true);
    let done = control.ok(dry);
    assert_eq!((&done["applied"], &done["generation"]), (&json!(true), &json!(3)));
    assert_eq!(done["changes"], json!(["discovery", "settings"]));
    assert!(two.is_untouched());
    // Both parts are applied, and a repeated request is idempotent.
    for _ in 0..2 {
        let done = control.ok(reconfigure_request(4, moved.clone()));
        assert_eq!((&done["applied"], &done["generation"]), (&json!(true), &json!(4)));
    }
    two.accept().request();
    let mut client = controlled.proxy.client();
    client.get(1, "read", 15_000);
    drop(node.command());
    assert!(client.line().starts_with("-BUSY"), "the new limit of one attempt was not applied");
}

#[test]
fn watchers_are_notified_of_changes_and_at_their_interval() {
    let nodes = Server::many(2);
    let controlled = ControlledProxy::start(&nodes);
    let (mut watcher, mut control) = (controlled.control(), controlled.control());
    watcher.ok(json!({"op": "watch"}));
    control.ok(drain_box_request("s-1"));
    let event = watcher.line().expect("an event");
    assert_eq!((&event["id"], &event["event"]["drained"]), (&json!("t1"), &json!(["s-1"])));
    let mut other = controlled.control();
    assert_eq!(other.refused(json!({"op": "watch", "every_ms": 5})), "bad-request");
    other.ok(json!({"op": "watch", "every_ms": 100}));
    for _ in 0..3 {
        assert_eq!(other.line().expect("an event")["event"]["phase"], "ready");
    }
}

/// Returns whether the peer has not closed the connection.
fn is_open(mut stream: &UnixStream) -> bool {
    stream.set_nonblocking(true).expect("set");
    std::io::Read::read(&mut stream, &mut [0]).is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock)
}

#[test]
fn misbehaving_controllers_get_an_error_or_a_close_and_do_not_affect_the_service() {
    let node = Server::start();
    let controlled = ControlledProxy::start(&node);
    let memory = controlled.proxy.status("VmRSS");
    // Hundreds of silent controllers do not lock another one out.
    let silent: Vec<UnixStream> =
        (0..400).map(|_| UnixStream::connect(&controlled.socket).expect("connected")).collect();
    controlled.control().ok(json!({"op": "status"}));
    // Displaced connections are closed: the proxy keeps eight, and its own descriptors.
    let descriptors = || {
        let folder = format!("/proc/{}/fd", controlled.proxy.child.id());
        std::fs::read_dir(folder).expect("a process").count()
    };
    let started = Instant::now();
    while silent.iter().filter(|s| is_open(s)).count() > 8 {
        assert!(started.elapsed() < PATIENCE, "{} descriptors", descriptors());
        std::thread::sleep(Duration::from_millis(5));
    }
    assert!(descriptors() < 40, "{} descriptors", descriptors());
    // A frame that is never completed.
    let mut partial = controlled.control();
    partial.send(br#"{"v":1,"id":"a","op":"#);
    assert!(partial.line().is_none(), "the connection with a partial frame was answered, expected a close");
    // A frame of 60 MB without an end is rejected at the size limit, then the connection closed.
    let mut oversized = controlled.control();
    let piece = vec![b'x'; 1 << 20];
    let taken = (0..60).take_while(|_| oversized.send(&piece)).count();
    assert!(taken < 4, "{taken} MB of an oversized frame were read, expected less than 4 MB");
    assert_eq!(oversized.line().expect("an error")["error"]["code"], "bad-frame");
    assert!(oversized.line().is_none());
    // Another protocol.
    let mut http = controlled.control();
    http.send(b"GET / HTTP/1.1\r\n\r\n");
    assert_eq!(http.line().expect("an error")["error"]["code"], "bad-frame");
    assert!(http.line().is_none());
    // A controller that sends requests continuously and reads no reply.
    let mut non_reading = controlled.control();
    non_reading.stream.set_nonblocking(true).expect("set");
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(1) {
        non_reading.send(&b"{\"v\":1,\"id\":\"a\",\"op\":\"boxes\"}\n".repeat(64));
        std::thread::sleep(Duration::from_millis(1));
    }
    // The service continues meanwhile, and memory stays bounded.
    let mut client = controlled.proxy.client();
    client.get(1, "read", 15_000);
    let (mut peer, _) = node.command();
    peer.send(hit("v"));
    assert_eq!(client.command()[0], "v");
    controlled.control().ok(json!({"op": "status"}));
    let grown = controlled.proxy.status("VmHWM").saturating_sub(memory);
    assert!(grown < 24 << 10, "memory grew by {grown} kB");
    drop((silent, non_reading));
}

#[test]
fn a_socket_path_that_is_not_a_socket_fails_startup() {
    let node = Server::start();
    let (file, operator, config_file) = (scratch("a-file"), scratch("operator.toml"), scratch("config.json"));
    std::fs::write(&file, "kept").expect("written");
    std::fs::write(&config_file, config(&node.addresses).to_string()).expect("written");
    let start = |text: String| {
        std::fs::write(&operator, text).expect("written");
        let out = Command::new(testkit::program("trestlesill"))
            .arg("--operator")
            .arg(&operator)
            .env("NODE_CONFIG", &config_file)
            .stdin(Stdio::null())
            .output()
            .expect("runs");
        assert!(!out.status.success());
        String::from_utf8_lossy(&out.stderr).into_owned()
    };
    let error = start(format!("version = 1\n[control]\nsocket = {file:?}\n"));
    assert!(error.contains("is there and is no socket"), "{error}");
    assert_eq!(std::fs::read_to_string(&file).expect("there"), "kept");
    let socket = scratch("s.sock");
    let error = start(format!("version = 1\n[control]\nsocket = {socket:?}\nstate_file = {file:?}\n"));
    assert!(error.contains("control.state_file") && error.contains("it has no whole first line"), "{error}");
    let error = start("version = 1\nspeed = 1\n[control]\n".into());
    assert_eq!(error.lines().count(), 1);
    assert!(error.contains("control.socket: is missing; speed: is unknown"), "{error}");
}

#[test]
fn the_reported_list_equals_the_known_list_of_a_configuration() {
    let nodes = Server::many(2);
    let controlled = ControlledProxy::start(&nodes);
    let text: Value = serde_json::from_str(&controlled.proxy.text()).expect("JSON");
    let reply = controlled.control().ok(json!({"op": "list"}));
    assert_eq!(reply["known"], text["known"]);
}

/// Prints the reply at the socket named by `SOCKET`. The test below runs it as another user.
#[test]
#[ignore = "run by another test, as another user"]
fn as_another_user() {
    let Ok(socket) = std::env::var("SOCKET") else { return };
    let mut control = Controller::connect(std::path::Path::new(&socket));
    control.send(b"{\"v\":1,\"id\":\"a\",\"op\":\"status\"}\n");
    println!("reply: {:?}", control.line());
}

#[test]
fn another_user_is_rejected_unless_the_operator_allows_it() {
    use std::os::unix::fs::MetadataExt;
    use std::os::unix::process::CommandExt;
    // Only root can run a process as another user; the first test checks the mode of the socket.
    if std::fs::metadata("/proc/self").expect("proc").uid() != 0 {
        println!("skipped: needs root");
        return;
    }
    let node = Server::start();
    // A copy that the other user can execute.
    let binary = scratch("test-binary");
    testkit::copy_program(&std::env::current_exe().expect("a path"), &binary).expect("copied");
    std::fs::set_permissions(&binary, std::fs::Permissions::from_mode(0o755)).expect("set");
    for (allowed, reply) in [("[]", "reply: None"), ("[65534]", "reply: Some(")] {
        let socket = scratch("control.sock");
        let operator = format!("version = 1\n[control]\nsocket = {socket:?}\nallow_uids = {allowed}\n");
        let proxy = Proxy::operated(&node, &operator, |_| {});
        Controller::connect(&socket).ok(json!({"op": "status"}));
        std::fs::set_permissions(&socket, std::fs::Permissions::from_mode(0o666)).expect("set");
        let out = Command::new(&binary)
            .args(["--exact", "as_another_user", "--ignored", "--nocapture"])
            .env("SOCKET", &socket)
            .uid(65_534)
            .output()
            .expect("runs");
        let output = String::from_utf8_lossy(&out.stdout).into_owned();
        assert!(output.contains(reply), "{allowed}: {output} {}", String::from_utf8_lossy(&out.stderr));
        drop(proxy);
    }
    std::fs::remove_file(&binary).expect("removed");
}
