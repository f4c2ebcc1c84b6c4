//! Operation of a proxy in service: calls at the admin address, metrics, and upgrades in which a new process starts
//! beside the old one on a listening socket that the platform owns.

use serde_json::json;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Stdio};
use std::time::Instant;
use testkit::program;
use testkit::scripted::*;

/// Sends a line to the admin address and returns the whole answer.
fn call_admin(address: SocketAddr, line: &str) -> String {
    let mut caller = Peer::connect(address);
    caller.send(format!("{line}\n"));
    String::from_utf8(caller.rest()).expect("text")
}

/// Waits until a call gets the expected answer.
fn wait_for_answer(address: SocketAddr, line: &str, answer: &str) {
    let started = Instant::now();
    loop {
        if std::net::TcpStream::connect(address).is_ok() && call_admin(address, line) == answer {
            return;
        }
        assert!(started.elapsed() < PATIENCE, "{line} was not answered with {answer:?} in time");
    }
}

/// Returns value and kind of each metric by name.
fn metrics(address: SocketAddr) -> BTreeMap<String, (u64, String)> {
    let text = call_admin(address, "show-stat");
    let lines = text.strip_suffix("end\n").expect("a last line").lines();
    let metric = |line: &str| {
        let (name, reply) = line.split_once(':').expect("a name");
        let (value, kind) = reply.split_once('|').expect("a kind");
        (name.to_owned(), (value.parse().expect("a number"), kind.to_owned()))
    };
    lines.map(metric).collect()
}

/// Starts a proxy with an admin address.
fn start_with_admin(nodes: &Server) -> (Proxy, SocketAddr) {
    let admin = unused_address();
    (Proxy::with(nodes, |c| c["admin_addr"] = json!(admin.to_string())), admin)
}

#[test]
fn metrics_count_requests_by_outcome_and_class() {
    let nodes = Server::many(2);
    let (proxy, admin) = start_with_admin(&nodes);
    wait_for_answer(admin, "ready", "done\n");
    let mut client = proxy.client();
    let mut peers = Vec::new();
    for key in 0..5 {
        client.get(key, "read", 15_000);
        let (i, _) = nodes.any(&mut peers);
        peers[i].send(hit("v"));
        assert_eq!(client.command()[0], "v");
    }
    client.set(1, "once", 15_000, "v");
    let (i, _) = nodes.any(&mut peers);
    peers[i].send("-ERR failed\r\n");
    assert_eq!(client.line(), "-ERR failed");
    client.get(9, "read", 15_000);
    let (i, _) = nodes.any(&mut peers);
    let reply = metrics(admin);
    let metric = |name: &str| reply[name].clone();
    assert_eq!(metric("svc.success.read"), (5, "c".into()));
    assert_eq!(metric("svc.failure.once"), (1, "c".into()));
    for none in ["svc.success.once", "svc.success.put", "svc.busy.read", "svc.busy.once", "svc.failure.read"]
    {
        assert_eq!(metric(none), (0, "c".into()), "{none}");
    }
    assert_eq!(metric("svc.backend_calls"), (7, "c".into()));
    assert_eq!(metric("svc.inflight"), (1, "g".into()));
    assert_eq!(metric("svc.hosts_listed"), (2, "g".into()));
    assert_eq!(metric("svc.hosts_down"), (0, "g".into()));
    peers[i].send(hit("v"));
    assert_eq!(client.command()[0], "v");
    assert_eq!(metrics(admin)["svc.inflight"].0, 0);
}

#[test]
fn draining_and_unreachable_nodes_are_counted_as_listed_and_down() {
    let node = Server::start();
    let admin = unused_address();
    let proxy = Proxy::with(&node, |c| {
        let hosts = [
            host("s-0", node.addresses[0], "up"),
            host("s-1", unused_address(), "up"),
            host("s-2", unused_address(), "draining"),
        ];
        (c["known"], c["admin_addr"]) = (list(41, true, &hosts), json!(admin.to_string()));
    });
    let (mut client, mut peers) = (proxy.client(), Vec::new());
    for key in 0..8 {
        client.get(key, "read", 15_000);
        let (i, _) = node.any(&mut peers);
        peers[i].send(hit("v"));
        assert_eq!(client.command()[0], "v");
    }
    let reply = metrics(admin);
    assert_eq!((reply["svc.hosts_listed"].0, reply["svc.hosts_down"].0), (3, 2));
}

#[test]
fn silent_or_invalid_admin_callers_do_not_block_others() {
    let (proxy, admin) = start_with_admin(&Server::start());
    wait_for_answer(admin, "ready", "done\n");
    // More callers than the admin address serves at once, half of them with a partial line.
    let mut silent: Vec<Peer> = (0..60).map(|_| Peer::connect(admin)).collect();
    silent.iter_mut().step_by(2).for_each(|peer| peer.send("rea"));
    assert_eq!(call_admin(admin, "ready"), "done\n");
    assert!(call_admin(admin, "show-stat").ends_with("end\n"));
    for invalid in ["", "disable", "READY", &"x".repeat(4 << 10)] {
        assert!(call_admin(admin, invalid).starts_with("error "), "{invalid:.20}");
    }
    proxy.assert_serving();
}

/// Starts a proxy on an inherited listening socket, with an admin address of its own.
fn start_on_socket(socket: &TcpListener, nodes: &Server, admin: SocketAddr) -> Proxy {
    Proxy::on_socket(socket, nodes, |c| c["admin_addr"] = json!(admin.to_string()))
}

#[test]
fn a_new_process_takes_over_the_listening_socket_without_losing_requests() {
    let socket = TcpListener::bind("127.0.0.1:0").expect("a socket");
    let nodes = Server::many(1);
    let (first, second) = (unused_address(), unused_address());
    let mut old = start_on_socket(&socket, &nodes, first);
    wait_for_answer(first, "ready", "done\n");
    let (mut client, mut peers) = (old.client(), Vec::new());
    client.get(1, "read", 15_000);
    let (i, _) = nodes.any(&mut peers);
    // The new process starts beside it and becomes ready by itself.
    let new = start_on_socket(&socket, &nodes, second);
    wait_for_answer(second, "ready", "done\n");
    old.signal("-TERM");
    wait_for_answer(first, "ready", "error not ready\n");
    // The old process answers its accepted requests and then exits by itself.
    peers[i].send(hit("old"));
    assert_eq!(client.command()[0], "old");
    assert!(old.wait().success());
    assert!(client.rest().is_empty());
    // New clients reach the new process at the same address, as do those that connected while no process accepted.
    let mut client = new.client();
    client.get(2, "read", 15_000);
    let (i, _) = nodes.any(&mut peers);
    peers[i].send(hit("new"));
    assert_eq!(client.command()[0], "new");
    assert_eq!(metrics(second)["svc.success.read"].0, 1);
}

/// Guards against a request that runs twice because its id comes to the other process of an upgrade, too.
#[test]
fn an_id_that_is_in_use_at_one_process_of_an_upgrade_is_refused_by_the_other() {
    let socket = TcpListener::bind("127.0.0.1:0").expect("a socket");
    let nodes = Server::many(1);
    let admins = [unused_address(), unused_address()];
    let processes = admins.map(|admin| start_on_socket(&socket, &nodes, admin));
    admins.iter().for_each(|admin| wait_for_answer(*admin, "ready", "done\n"));
    let [old, new] = &processes;
    let write = encode(&["CACHE.SET", "0000000000000001", "twice", "c=once,d=2000", "v"]);
    for (first, second) in [(old, new), (new, old)] {
        let mut at_first = first.client_beside(second);
        at_first.send(&write);
        let (mut at_node, _) = nodes.command();
        let mut at_second = second.client_beside(first);
        at_second.send(&write);
        assert_eq!(at_second.line(), "-ERR the request id is in use");
        at_node.send(RECEIPT);
        assert_eq!(at_first.command()[0], "ok");
        // Once the request is answered its id is free at both.
        at_second.send(&write);
        let mut peers = vec![at_node];
        let (at, _) = nodes.any(&mut peers);
        peers[at].send(RECEIPT);
        assert_eq!(at_second.command()[0], "ok");
        // The connections to the node end, so that the next command comes on a new one.
        peers.drain(..).for_each(Peer::reset);
    }
}

#[test]
fn an_invalid_listen_descriptor_is_reported_in_one_line() {
    for (number, named) in [("5", "not a socket"), ("77", "77"), ("five", "no number")] {
        let mut shell = Command::new("/bin/sh");
        shell.args(["-c", &format!("exec 5</dev/null; exec {}", program("trestlesill").display())]);
        let path = scratch("config.json");
        std::fs::write(&path, config(&[]).to_string()).expect("written");
        shell.env("NODE_CONFIG", &path).env("NODE_LISTEN_FD", number).stderr(Stdio::piped());
        let output = shell.output().expect("run");
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            !output.status.success() && error.contains("NODE_LISTEN_FD") && error.contains(named),
            "{error}"
        );
        assert_eq!(error.lines().count(), 1, "{error}");
    }
}
