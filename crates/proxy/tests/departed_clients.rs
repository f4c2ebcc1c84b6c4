//! Requests whose client leaves before their attempts are written to a cache node.

use serde_json::json;
use std::io::Write;
use std::net::Shutdown;
use std::sync::{Arc, Mutex};
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

/// Sends a read to silent nodes and these bytes behind it, closes the connection, and asserts that no second attempt begins.
fn assert_no_attempt_after_close(what: &str, behind: &[u8]) {
    /// When the second attempt would begin: half of the latency target.
    const PATIENCE: Duration = Duration::from_millis(300);
    let nodes = Server::many(3);
    let proxy = Proxy::with(&nodes, |c| {
        for class in c["settings"]["categories"].as_array_mut().expect("classes") {
            class["promise_ns"] = json!(2 * PATIENCE.as_nanos() as u64);
        }
    });
    let mut client = proxy.client();
    client.get(1, "read", 15_000);
    client.stream.set_write_timeout(Some(Duration::from_millis(50))).expect("a time-out");
    let mut sent = 0;
    while sent < behind.len() {
        match client.stream.write(&behind[sent..]) {
            Ok(written) => sent += written,
            Err(_) => break,
        }
    }
    let mut attempts = vec![nodes.command().0];
    client.stream.shutdown(Shutdown::Both).expect("shut down");
    drop(client);
    let closed = Instant::now();
    while closed.elapsed() < 3 * PATIENCE {
        if nodes.soon(&mut attempts).is_some() {
            panic!("{what}: a second attempt {:?} after the close", closed.elapsed());
        }
    }
    drop(proxy);
}

/// Guards against the end of a client's stream that stands behind bytes which are not read any more.
#[test]
fn no_attempt_begins_for_a_client_that_has_left_behind_unread_bytes() {
    assert_no_attempt_after_close("nothing", b"");
    assert_no_attempt_after_close("noise", &[b'x'; 1 << 20]);
    assert_no_attempt_after_close("a huge value", &huge_value());
    assert_no_attempt_after_close("short commands", &encode(&["PING"]).repeat(4_000));
}

/// A command with a value that is longer than allowed, and a part of it.
fn huge_value() -> Vec<u8> {
    let mut bytes =
        b"*5\r\n$9\r\nCACHE.SET\r\n$1\r\n1\r\n$1\r\na\r\n$10\r\nc=put,d=15\r\n$60000000\r\n".to_vec();
    bytes.resize(1 << 20, b'v');
    bytes
}

/// Sends a command with this id over a new connection.
fn send_with_id(proxy: &Proxy, name: &str, id: &str, class: &str) -> Peer {
    let mut client = proxy.client();
    let fields = format!("c={class},d=2000,k=5c0f");
    let words = [name, "0000000000000001", id, &fields, "v"];
    client.send(encode(&words[..if name == "CACHE.SET" { 5 } else { 4 }]));
    client
}

/// How the client of an abandoned request leaves, and what its node does.
#[derive(Clone, Copy, Debug)]
enum Abandoned {
    /// The client resets its connection, and the node goes on working.
    Reset,
    /// The client closes its side, and the node ends the connection.
    ClosedAndFailed,
}

/// Guards against a write that runs twice because its id comes again once its client has left, while a node may still
/// carry it out.
#[test]
fn the_id_of_an_abandoned_request_is_not_accepted_again_before_its_time_is_over() {
    for (class, how) in
        [("once", Abandoned::Reset), ("put", Abandoned::Reset), ("once", Abandoned::ClosedAndFailed)]
    {
        let nodes = Server::many(2);
        let proxy = Proxy::start(&nodes);
        let abandoned = send_with_id(&proxy, "CACHE.SET", "abandoned", class);
        let sent = Instant::now();
        let (at_node, _) = nodes.command();
        match how {
            Abandoned::Reset => abandoned.reset(),
            Abandoned::ClosedAndFailed => {
                drop(abandoned);
                std::thread::sleep(Duration::from_millis(50));
                at_node.reset();
            }
        }
        std::thread::sleep(Duration::from_millis(200));
        let mut again = send_with_id(&proxy, "CACHE.SET", "abandoned", class);
        assert_eq!(again.line(), "-ERR the request id is in use", "class {class}, {how:?}");
        // Once the time of the first is over, no node works on it any more.
        std::thread::sleep(Duration::from_millis(2_100).saturating_sub(sent.elapsed()));
        let mut later = send_with_id(&proxy, "CACHE.SET", "abandoned", class);
        let (mut at_node, _) = nodes.command();
        at_node.send(RECEIPT);
        assert_eq!(later.command()[0], "ok", "class {class}, {how:?}");
    }
}

/// Guards against serving another client with the id of a request whose long value is being passed on.
#[test]
fn the_id_of_a_request_whose_long_value_is_being_passed_on_is_in_use() {
    const VALUE_BYTES: usize = 200_000;
    let node = Server::start();
    let proxy = Proxy::start(&node);
    let mut client = send_with_id(&proxy, "CACHE.GET", "long", "read");
    let (mut at_node, _) = node.command();
    let answer = hit(&"v".repeat(VALUE_BYTES));
    let (first, rest) = answer.split_at(VALUE_BYTES / 2);
    at_node.send(first);
    client.take(1_000);
    let mut other = send_with_id(&proxy, "CACHE.GET", "long", "read");
    assert_eq!(other.line(), "-ERR the request id is in use");
    at_node.send(rest);
    client.take(answer.len() - 1_000);
    let mut later = send_with_id(&proxy, "CACHE.GET", "long", "read");
    let mut peers = vec![at_node];
    let (at, _) = node.any(&mut peers);
    peers[at].send(hit("short"));
    assert_eq!(later.command()[0], "short");
}

/// Guards against requests that are read and sent long after their client has closed its connection behind them.
#[test]
fn many_requests_of_a_client_that_has_left_are_not_sent_on_afterwards() {
    const REQUESTS: usize = 3_000;
    /// An attempt may begin this long after the close, with the protocol's tolerance.
    const GRACE: Duration = Duration::from_millis(100 + 50);
    for resets in [false, true] {
        let received: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let mut nodes = Server::many(0);
        for _ in 0..8 {
            let received = received.clone();
            nodes.addresses.push(answering(move |_| {
                received.lock().expect("lock not poisoned").push(Instant::now());
                std::thread::sleep(Duration::from_millis(40));
                Some(hit(&"v".repeat(20_000)))
            }));
        }
        let proxy = Proxy::start(&nodes);
        let mut client = proxy.client();
        let read = |i: usize| {
            encode(&["CACHE.GET", &format!("{i:x}"), &format!("many-{resets}-{i}"), "c=read,d=15000"])
        };
        client.send((0..REQUESTS).flat_map(read).collect::<Vec<u8>>());
        std::thread::sleep(Duration::from_millis(20));
        match resets {
            true => client.reset(),
            false => drop(client),
        }
        let closed = Instant::now();
        std::thread::sleep(Duration::from_millis(1_500));
        let received = received.lock().expect("lock not poisoned");
        let latest = received.iter().map(|at| at.saturating_duration_since(closed)).max().unwrap_or_default();
        assert!(latest <= GRACE, "resets {resets}: sent {latest:?} after the close");
        drop(proxy);
    }
}

/// Starts nodes that answer nothing, and record when commands arrive.
fn silent_nodes(count: usize) -> (Server, Arc<Mutex<Vec<Instant>>>) {
    let received: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let mut nodes = Server::many(0);
    for _ in 0..count {
        let received = received.clone();
        nodes.addresses.push(answering(move |_| {
            received.lock().expect("lock not poisoned").push(Instant::now());
            std::thread::sleep(PATIENCE);
            None
        }));
    }
    (nodes, received)
}

/// Sends a read to silent nodes and these bytes behind it, as far as they are taken within a while, closes the connection,
/// and asserts that no attempt begins long after the close.
fn assert_none_sent_after_close(what: &str, behind: &[u8]) {
    /// When the second attempt of each request would begin: half of the latency target.
    const SECOND_ATTEMPT: Duration = Duration::from_millis(800);
    /// An attempt may begin this long after the close, with the protocol's tolerance.
    const GRACE: Duration = Duration::from_millis(100 + 50);
    let (nodes, received) = silent_nodes(40);
    let proxy = Proxy::with(&nodes, |c| {
        for class in c["settings"]["categories"].as_array_mut().expect("classes") {
            class["promise_ns"] = json!(2 * SECOND_ATTEMPT.as_nanos() as u64);
        }
    });
    let mut client = proxy.client();
    client.get(1, "read", 15_000);
    client.stream.set_write_timeout(Some(Duration::from_millis(100))).expect("a time-out");
    let mut sent = 0;
    while sent < behind.len() {
        match client.stream.write(&behind[sent..]) {
            Ok(written) => sent += written,
            Err(_) => break,
        }
    }
    // What the client's kernel has not sent stands before the end of the stream.
    drop(client);
    let closed = Instant::now();
    std::thread::sleep(2 * SECOND_ATTEMPT);
    let received = received.lock().expect("lock not poisoned");
    assert!(!received.is_empty(), "{what}: nothing was sent at all");
    let latest = received.iter().map(|at| at.saturating_duration_since(closed)).max().unwrap_or_default();
    assert!(latest <= GRACE, "{what}, {sent} bytes: an attempt began {latest:?} after the close");
}

/// Guards against the end of a client's stream that stands behind more bytes than the kernel takes, so that it can't be seen
/// while the commands before it wait for answers.
#[test]
fn no_attempt_begins_for_a_client_that_has_left_behind_many_requests() {
    let read = |i: usize| encode(&["CACHE.GET", &format!("{i:x}"), &format!("behind-{i}"), "c=read,d=15000"]);
    assert_none_sent_after_close("requests", &(0..120_000).flat_map(read).collect::<Vec<u8>>());
}

/// The same with commands that are answered at once, and alike.
#[test]
fn no_attempt_begins_for_a_client_that_has_left_behind_many_equal_commands() {
    assert_none_sent_after_close("equal commands", &encode(&["PING"]).repeat(600_000));
}

/// The same with commands that are answered at once, each in another way.
#[test]
fn no_attempt_begins_for_a_client_that_has_left_behind_many_other_commands() {
    let echo = |i: usize| encode(&["ECHO", &format!("{i}")]);
    assert_none_sent_after_close("other commands", &(0..400_000).flat_map(echo).collect::<Vec<u8>>());
}

/// The same with long values, for which there may be no memory.
#[test]
fn no_attempt_begins_for_a_client_that_has_left_behind_long_writes() {
    let value = "v".repeat(4 << 20);
    let write = |i: usize| encode(&["CACHE.SET", "1", &format!("long-{i}"), "c=put,d=15000,k=5c0f", &value]);
    assert_none_sent_after_close("long writes", &(0..12).flat_map(write).collect::<Vec<u8>>());
}

/// Guards against a client that is taken for one that has left because it sends much at once: each of its commands is answered,
/// the request before them by its node, and it is served again once all has been read.
#[test]
fn a_client_that_sends_much_behind_a_request_is_answered_and_then_served_again() {
    const COMMANDS: usize = 100_000;
    let mut nodes = Server::many(0);
    nodes.addresses.push(answering(|command| {
        if command.arg(2).starts_with(b"slow") {
            std::thread::sleep(Duration::from_millis(500));
        }
        Some(cached(command))
    }));
    let proxy = Proxy::start(&nodes);
    let mut client = proxy.client();
    client.send(encode(&["CACHE.GET", "1", "slow", "c=read,d=15000"]));
    let echo = |i: usize| encode(&["ECHO", &format!("{i}")]);
    client.send((0..COMMANDS).flat_map(echo).collect::<Vec<u8>>());
    assert_eq!(client.command()[0], "1:1");
    let mut refused = 0;
    for i in 0..COMMANDS {
        match client.line() {
            head if head == "-BUSY" => refused += 1,
            head => {
                assert_eq!((head, client.line()), (format!("${}", i.to_string().len()), i.to_string()));
            }
        }
    }
    assert!(refused < COMMANDS, "all were refused");
    client.get(2, "read", 15_000);
    assert_eq!(client.command()[0], "0000000000000002:1");
}
