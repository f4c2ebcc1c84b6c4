//! What operators and the platform do to a proxy in service: calls at the second address, figures, and upgrades in
//! which a new process is started beside the old one on the platform's own listening socket.

use serde_json::json;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::process::{Command, Stdio};
use std::time::Instant;
use testkit::program;
use testkit::scripted::*;

/// Calls, and takes the whole answer.
fn call(address: SocketAddr, line: &str) -> String {
    let mut caller = Peer::connect(address);
    caller.send(format!("{line}\n"));
    String::from_utf8(caller.rest()).expect("text")
}

/// Waits until a call is answered so.
fn until(address: SocketAddr, line: &str, answer: &str) {
    let begun = Instant::now();
    loop {
        if std::net::TcpStream::connect(address).is_ok() && call(address, line) == answer {
            return;
        }
        assert!(begun.elapsed() < PATIENCE, "{line} is not answered {answer:?}");
    }
}

/// The figures by name, each with its kind.
fn figures(address: SocketAddr) -> BTreeMap<String, (u64, String)> {
    let text = call(address, "show-stat");
    let lines = text.strip_suffix("end\n").expect("a last line").lines();
    let figure = |line: &str| {
        let (name, told) = line.split_once(':').expect("a name");
        let (value, kind) = told.split_once('|').expect("a kind");
        (name.to_owned(), (value.parse().expect("a number"), kind.to_owned()))
    };
    lines.map(figure).collect()
}

/// A proxy with a second address.
fn with_admin(nodes: &Server) -> (Proxy, SocketAddr) {
    let admin = nobody();
    (Proxy::with(nodes, |c| c["admin_addr"] = json!(admin.to_string())), admin)
}

#[test]
fn the_figures_count_what_clients_and_nodes_saw() {
    let nodes = Server::many(2);
    let (proxy, admin) = with_admin(&nodes);
    until(admin, "ready", "done\n");
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
    let told = figures(admin);
    let figure = |name: &str| told[name].clone();
    assert_eq!(figure("svc.success.read"), (5, "c".into()));
    assert_eq!(figure("svc.failure.once"), (1, "c".into()));
    for none in ["svc.success.once", "svc.success.put", "svc.busy.read", "svc.busy.once", "svc.failure.read"]
    {
        assert_eq!(figure(none), (0, "c".into()), "{none}");
    }
    assert_eq!(figure("svc.backend_calls"), (7, "c".into()));
    assert_eq!(figure("svc.inflight"), (1, "g".into()));
    assert_eq!(figure("svc.hosts_listed"), (2, "g".into()));
    assert_eq!(figure("svc.hosts_down"), (0, "g".into()));
    peers[i].send(hit("v"));
    assert_eq!(client.command()[0], "v");
    assert_eq!(figures(admin)["svc.inflight"].0, 0);
}

#[test]
fn a_node_that_drains_or_refuses_connections_is_listed_and_down() {
    let node = Server::start();
    let admin = nobody();
    let proxy = Proxy::with(&node, |c| {
        let hosts = [
            host("s-0", node.addresses[0], "up"),
            host("s-1", nobody(), "up"),
            host("s-2", nobody(), "draining"),
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
    let told = figures(admin);
    assert_eq!((told["svc.hosts_listed"].0, told["svc.hosts_down"].0), (3, 2));
}

#[test]
fn callers_that_say_nothing_or_nonsense_keep_nobody_from_an_answer() {
    let (proxy, admin) = with_admin(&Server::start());
    until(admin, "ready", "done\n");
    // More of them than there are places, some with half a call.
    let mut silent: Vec<Peer> = (0..60).map(|_| Peer::connect(admin)).collect();
    silent.iter_mut().step_by(2).for_each(|peer| peer.send("rea"));
    assert_eq!(call(admin, "ready"), "done\n");
    assert!(call(admin, "show-stat").ends_with("end\n"));
    for wrong in ["", "disable", "READY", &"x".repeat(4 << 10)] {
        assert!(call(admin, wrong).starts_with("error "), "{wrong:.20}");
    }
    proxy.is_well();
}

/// A proxy on a listening socket that somebody else keeps, at an address of its own for operators.
fn beside(socket: &TcpListener, nodes: &Server, admin: SocketAddr) -> Proxy {
    let mut config = config(&nodes.addresses);
    config["listen"] = json!(socket.local_addr().expect("an address").to_string());
    let mut shell = Command::new("/bin/sh");
    let line = format!("exec 5<&0 0</dev/null; exec {}", program("trestlesill").display());
    let inherited = OwnedFd::from(socket.try_clone().expect("a second descriptor"));
    shell.args(["-c", &line]).stdin(Stdio::from(inherited));
    // The variable counts, since the file is the same for both processes.
    shell.env("NODE_LISTEN_FD", "5");
    config["admin_addr"] = json!(admin.to_string());
    Proxy::by(shell, config)
}

#[test]
fn a_new_process_takes_over_while_the_old_one_ends_and_no_request_is_lost() {
    let socket = TcpListener::bind("127.0.0.1:0").expect("a socket");
    let nodes = Server::many(1);
    let (first, second) = (nobody(), nobody());
    let mut old = beside(&socket, &nodes, first);
    until(first, "ready", "done\n");
    let (mut client, mut peers) = (old.client(), Vec::new());
    client.get(1, "read", 15_000);
    let (i, _) = nodes.any(&mut peers);
    // The new one starts beside it, and answers for itself.
    let new = beside(&socket, &nodes, second);
    until(second, "ready", "done\n");
    old.signal("-TERM");
    until(first, "ready", "error not ready\n");
    // What the old one had taken is answered, and it ends by itself.
    peers[i].send(hit("old"));
    assert_eq!(client.command()[0], "old");
    assert!(old.wait().success());
    assert!(client.rest().is_empty());
    // Newcomers reach the new one at the same address, also those that came while nobody accepted.
    let mut client = new.client();
    client.get(2, "read", 15_000);
    let (i, _) = nodes.any(&mut peers);
    peers[i].send(hit("new"));
    assert_eq!(client.command()[0], "new");
    assert_eq!(figures(second)["svc.success.read"].0, 1);
}

#[test]
fn a_descriptor_that_is_no_listening_socket_is_one_plain_line() {
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
