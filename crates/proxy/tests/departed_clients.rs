//! Requests whose client leaves before their attempts are written to a cache node.

use serde_json::json;
use std::net::Shutdown;
use std::time::{Duration, Instant};
use testkit::scripted::*;

/// Upper bound for what happens at once, on a machine under load.
const PROMPT: Duration = Duration::from_secs(5);

/// Guards against sending an attempt once its connection is established, long after the client disconnected.
#[test]
fn an_attempt_on_a_late_connection_is_not_sent_once_its_client_has_left() {
    let (late_node, mut backlog) = full_backlog();
    let proxy = Proxy::with(&Server::many(0), |c| {
        c["known"] = list(41, true, &[host("s-0", late_node, "up")]);
        c["settings"]["caps"]["connect_timeout_ns"] = json!(30_000_000_000u64);
    });
    let mut gone = proxy.client();
    gone.get(1, "read", 15_000);
    let left_at = Instant::now();
    gone.stream.shutdown(Shutdown::Write).expect("shut down");
    assert_eq!(String::from_utf8_lossy(&gone.rest()), "-ERR failed\r\n");
    assert!(left_at.elapsed() < PROMPT, "given up after {:?}", left_at.elapsed());
    let mut waiting = proxy.client();
    waiting.get(2, "read", 15_000);
    let node = Server::at(backlog.remove(0).into());
    let mut peers = Vec::new();
    let (i, command) = node.any(&mut peers);
    assert_eq!(command[1], format!("{:016x}", 2), "sent for the client that has left");
    peers[i].send(hit("v"));
    assert_eq!(waiting.command()[0], "v");
}

/// Guards against writing the rest of a command to a slow node long after the client disconnected.
#[test]
fn a_partly_written_command_is_abandoned_once_its_client_has_left() {
    let node = Server::start();
    let proxy = Proxy::start(&node);
    let mut client = proxy.client();
    let value = "v".repeat(4 << 20);
    client.set(1, "put", 15_000, &value);
    let mut slow_node = node.accept();
    let left_at = Instant::now();
    client.stream.shutdown(Shutdown::Write).expect("shut down");
    assert_eq!(String::from_utf8_lossy(&client.rest()), "-ERR failed\r\n");
    assert!(left_at.elapsed() < PROMPT, "given up after {:?}", left_at.elapsed());
    let received = slow_node.rest().len();
    assert!(received < value.len(), "the whole command was written: {received} bytes");
}
