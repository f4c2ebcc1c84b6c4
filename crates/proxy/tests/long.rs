//! Long values: streamed while they arrive, in less memory than their size, and failures in the middle of one.

use serde_json::json;
use std::io::{Read, Write};
use std::time::{Duration, Instant};
use testkit::scripted::*;

const VALUE_BYTES: usize = 4 << 20;
/// The response to a write.
const RECEIPT: &str = "*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n";
const RESPONSE_TAIL: &str = "\r\n$3\r\nhit\r\n$-1\r\n";

fn response_head(length: usize) -> String {
    format!("*3\r\n${length}\r\n")
}

fn value_text(length: usize, from: u8) -> String {
    (0..length).map(|i| char::from(b'a' + ((i + i / 7 + usize::from(from)) % 26) as u8)).collect()
}

/// Waits until the condition holds, and fails with the message after `PATIENCE`.
fn wait_until(message: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < PATIENCE, "{message}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

#[test]
fn a_long_value_is_streamed_before_it_is_complete_and_past_the_deadline() {
    let node = Server::start();
    let proxy = Proxy::start(&node);
    let (mut client, value) = (proxy.client(), value_text(VALUE_BYTES, 0));
    // Three pipelined reads: a short response, a long one and another short one.
    client.get(1, "read", 15_000);
    let (mut first, _) = node.command();
    client.get(2, "read", 300);
    let (mut at_node, _) = node.command();
    client.get(3, "read", 15_000);
    let (mut third, _) = node.command();
    third.send(hit("third"));
    at_node.send(response_head(VALUE_BYTES) + &value[..VALUE_BYTES / 2]);
    first.send(hit("first"));
    assert_eq!(client.command()[0], "first");
    assert_eq!(client.take(response_head(VALUE_BYTES).len()), response_head(VALUE_BYTES).as_bytes());
    assert!(client.take(VALUE_BYTES / 2) == value.as_bytes()[..VALUE_BYTES / 2]);
    // The deadline is long past; a value in progress is still not cut off.
    std::thread::sleep(Duration::from_millis(400));
    at_node.send(&value[VALUE_BYTES / 2..]);
    at_node.send(RESPONSE_TAIL);
    assert!(client.take(VALUE_BYTES / 2) == value.as_bytes()[VALUE_BYTES / 2..]);
    assert_eq!(client.take(RESPONSE_TAIL.len()), RESPONSE_TAIL.as_bytes());
    assert_eq!(client.command()[0], "third");
    // The connection to the node is reused.
    client.get(4, "read", 15_000);
    let mut peers = vec![first, at_node, third];
    let (i, _) = node.any(&mut peers);
    peers[i].send(hit("fourth"));
    assert_eq!(client.command()[0], "fourth");
}

// Guards against long values that wait for one another: the first for room, those behind it for their turn.
#[test]
fn long_values_behind_one_another_are_all_passed_on_whichever_comes_first() {
    const COUNT: usize = 3;
    let nodes = Server::many(COUNT);
    let proxy = Proxy::with(&nodes, |c| c["settings"]["caps"]["second_copies"] = json!(false));
    let mut client = proxy.client();
    let mut at_nodes = Vec::new();
    for key in 0..COUNT as u64 {
        client.get(key, "read", 15_000);
        at_nodes.push(nodes.command().0);
    }
    // The values behind the first one come first, and fill the room that the client has.
    let values: Vec<String> = (0..COUNT).map(|i| value_text(VALUE_BYTES, i as u8)).collect();
    let mut writers = Vec::new();
    for (mut at_node, value) in at_nodes.into_iter().zip(values.clone()).rev() {
        writers.push(std::thread::spawn(move || {
            at_node.send(response_head(VALUE_BYTES) + &value + RESPONSE_TAIL);
            at_node
        }));
        std::thread::sleep(Duration::from_millis(200));
    }
    for value in values {
        assert!(client.command()[0] == value, "the value differs from the one sent");
    }
    writers.into_iter().for_each(|w| drop(w.join().expect("the node wrote the whole value")));
}

#[test]
fn many_long_values_are_streamed_through_less_memory_than_their_size() {
    const CLIENTS: usize = 12;
    let nodes = Server::many(3);
    let proxy = Proxy::with(&nodes, |c| {
        c["limits"]["memory_mb"] = json!(16);
        c["settings"]["caps"]["second_copies"] = json!(false);
    });
    let mut writers = Vec::new();
    let mut clients: Vec<Peer> = (0..CLIENTS)
        .map(|i| {
            let mut client = proxy.client();
            client.get(i as u64, "read", 15_000);
            let (mut at_node, command) = nodes.command();
            let key = u64::from_str_radix(&command[1], 16).expect("a key");
            // Nodes write as fast as the proxy reads.
            writers.push(std::thread::spawn(move || {
                at_node
                    .send(response_head(VALUE_BYTES) + &value_text(VALUE_BYTES, key as u8) + RESPONSE_TAIL);
                at_node
            }));
            client
        })
        .collect();
    // No client reads beyond the first bytes, and every client receives these.
    for client in &mut clients {
        assert_eq!(client.take(4), b"*3\r\n");
    }
    let peak = || proxy.status("VmHWM") / 1024;
    assert!(peak() < 16, "peak of {} MB, expected less than 16 MB", peak());
    let readers: Vec<_> = (0..)
        .zip(clients)
        .map(|(i, mut client)| {
            std::thread::spawn(move || {
                assert_eq!(
                    client.take(response_head(VALUE_BYTES).len() - 4),
                    &response_head(VALUE_BYTES).as_bytes()[4..]
                );
                assert!(
                    client.take(VALUE_BYTES) == value_text(VALUE_BYTES, i).as_bytes(),
                    "the value differs from the one sent"
                );
                assert_eq!(client.take(RESPONSE_TAIL.len()), RESPONSE_TAIL.as_bytes());
            })
        })
        .collect();
    readers.into_iter().for_each(|r| r.join().expect("the reader received the whole value"));
    writers.into_iter().for_each(|w| drop(w.join().expect("the node wrote the whole value")));
    assert!(peak() < 16, "peak of {} MB, expected less than 16 MB", peak());
}

#[test]
fn a_truncated_value_closes_its_client_and_is_not_retried() {
    let nodes = Server::many(2);
    let admin = unused_address();
    let proxy = Proxy::with(&nodes, |c| c["admin_addr"] = json!(admin.to_string()));
    let (mut client, mut other) = (proxy.client(), proxy.client());
    client.get(1, "read", 15_000);
    let (mut at_node, _) = nodes.command();
    at_node.send(response_head(VALUE_BYTES) + "some of it");
    assert_eq!(
        client.take(response_head(VALUE_BYTES).len() + 10),
        (response_head(VALUE_BYTES) + "some of it").as_bytes()
    );
    at_node.reset();
    assert!(client.rest().is_empty());
    // No other attempt was made for the read, and it counts as failed.
    other.get(1, "read", 15_000);
    let (mut at_node, command) = nodes.command();
    at_node.send(hit("v"));
    assert_eq!((command[1].as_str(), other.command()[0].as_str()), ("0000000000000001", "v"));
    assert!(nodes.is_untouched());
    let mut caller = Peer::connect(admin);
    caller.send("show-stat\n");
    let metrics = String::from_utf8(caller.rest()).expect("text");
    assert!(
        metrics.contains("svc.failure.read:1|c") && metrics.contains("svc.success.read:1|c"),
        "{metrics}"
    );
    assert!(metrics.contains("svc.inflight:0|g"), "{metrics}");
}

#[test]
fn a_client_that_leaves_during_a_value_closes_the_node_connection() {
    let node = Server::start();
    let proxy = Proxy::start(&node);
    let mut client = proxy.client();
    client.get(1, "read", 15_000);
    let (mut at_node, _) = node.command();
    at_node.send(response_head(VALUE_BYTES) + "some of it");
    client.take(4);
    client.reset();
    // The rest of the value has no reader, so the proxy closes the node's connection.
    let mut closed = false;
    wait_until("the node's connection stays open", || {
        at_node.stream.set_read_timeout(Some(Duration::from_millis(5))).expect("a time-out");
        closed |= matches!(at_node.stream.read(&mut [0]), Ok(0));
        closed
    });
    proxy.assert_serving();
}

#[test]
fn long_writes_wait_for_memory_and_all_are_written() {
    let node = Server::start();
    // A quarter of the 16 MB memory limit holds one value.
    let proxy = Proxy::with(&node, |c| c["limits"]["memory_mb"] = json!(16));
    let value = value_text(3 << 20, 0);
    let mut writers = Vec::new();
    for key in 0..3 {
        let (mut client, value) = (proxy.client(), value.clone());
        writers.push(std::thread::spawn(move || {
            client.set(key, "put", 15_000, &value);
            client.command()
        }));
    }
    let mut peers = Vec::new();
    for _ in 0..3 {
        let (i, command) = node.any(&mut peers);
        assert!(command[4] == value, "the value differs from the one sent");
        // The other writes are not forwarded before this one is answered.
        assert!(node.is_untouched());
        peers[i].send(RECEIPT);
    }
    for writer in writers {
        assert_eq!(writer.join().expect("written")[0], "ok");
    }
    assert!(proxy.status("VmHWM") / 1024 < 16);
}

/// A proxy whose long writes may take 4 MiB together, a quarter of its memory.
fn with_room_for_one_long_write(node: &Server) -> Proxy {
    Proxy::with(node, |c| c["limits"]["memory_mb"] = json!(16))
}

/// Sends a write that takes nearly all the memory for writes, and stays unanswered at the node.
fn fill_memory(proxy: &Proxy, node: &Server) -> (Peer, Peer) {
    let mut client = proxy.client();
    client.set(1, "put", 15_000, &value_text(VALUE_BYTES - 100_000, 0));
    let (at_node, _) = node.command();
    (client, at_node)
}

// Guards against clients that stop within a long value and hold the memory of what they have not sent.
#[test]
fn clients_that_stop_within_a_long_write_do_not_hold_up_other_writes() {
    let node = Server::start();
    let proxy = with_room_for_one_long_write(&node);
    let value = value_text(VALUE_BYTES, 0);
    let bytes = encode(&["CACHE.SET", "1", "stopped", "c=put,d=15000,k=5c0f", &value]);
    let mut stopped: Vec<Peer> = (0..4).map(|_| proxy.client()).collect();
    for client in &mut stopped {
        client.send(&bytes[..1_000]);
    }
    let (mut writer, value) = (proxy.client(), value_text(100_000, 0));
    writer.set(2, "put", 15_000, &value);
    let (mut at_node, command) = node.command();
    assert!(command[4] == value, "the value differs from the one sent");
    at_node.send(RECEIPT);
    assert_eq!(writer.command()[0], "ok");
    // None of the four had to be disconnected first.
    assert!(stopped.iter_mut().all(|client| !client.has_input()));
    for client in &mut stopped {
        assert!(client.line().starts_with("-ERR Protocol error"));
    }
}

// Guards against a write that waits for memory for as long as others hold it, past its own time.
#[test]
fn a_long_write_that_finds_no_memory_in_a_quarter_of_its_time_is_refused() {
    let node = Server::start();
    let proxy = with_room_for_one_long_write(&node);
    let (mut first, mut at_node) = fill_memory(&proxy, &node);
    let mut second = proxy.client();
    second.set(2, "put", 1_000, &value_text(1 << 20, 0));
    assert!(second.line().starts_with("-BUSY"));
    // The first write still holds the memory, and nothing of the second was sent.
    assert!(node.is_untouched() && !first.has_input());
    at_node.send(RECEIPT);
    assert_eq!(first.command()[0], "ok");
    second.set(2, "put", 15_000, "short");
    let mut peers = vec![at_node];
    let (i, command) = node.any(&mut peers);
    assert_eq!(command[4], "short");
    peers[i].send(RECEIPT);
    assert_eq!(second.command()[0], "ok");
}

// Guards against a write that is sent after its client closed the connection, while the value waited for memory.
#[test]
fn a_long_write_whose_client_leaves_while_it_waits_for_memory_is_not_sent() {
    let node = Server::start();
    let proxy = with_room_for_one_long_write(&node);
    let (mut first, mut at_node) = fill_memory(&proxy, &node);
    let mut second = proxy.client();
    second.set(2, "put", 15_000, &value_text(200_000, 0));
    drop(second);
    // Far below the time for which the write may wait, and well past the time in which a closed client may be served.
    std::thread::sleep(Duration::from_millis(300));
    at_node.send(RECEIPT);
    assert_eq!(first.command()[0], "ok");
    let mut third = proxy.client();
    third.set(3, "put", 15_000, &value_text(200_000, 0));
    let mut peers = vec![at_node];
    let (i, command) = node.any(&mut peers);
    assert_eq!(command[1], "0000000000000003", "the write of a client that had left was sent");
    peers[i].send(RECEIPT);
    assert_eq!(third.command()[0], "ok");
}

#[test]
fn a_client_may_send_a_long_value_slowly_but_not_stall() {
    let node = Server::start();
    let proxy = Proxy::start(&node);
    let mut client = proxy.client();
    let value = value_text(200_000, 0);
    let bytes = encode(&["CACHE.SET", "1", "slow", "c=put,d=15000,k=5c0f", &value]);
    let started = Instant::now();
    for part in bytes.chunks(bytes.len() / 6 + 1) {
        client.send(part);
        std::thread::sleep(Duration::from_millis(600));
    }
    assert!(started.elapsed() > Duration::from_secs(3));
    let (mut at_node, command) = node.command();
    assert!(command[4] == value);
    at_node.send(RECEIPT);
    assert_eq!(client.command()[0], "ok");
    let mut stopped = proxy.client();
    stopped.send(&bytes[..bytes.len() / 2]);
    assert!(stopped.line().starts_with("-ERR Protocol error"));
}

// Guards against a long answer that is cut off while its node is still writing it slowly, in pieces and with pauses, past
// the deadline, with others before and behind it.
#[test]
fn a_long_value_that_its_node_writes_slowly_is_passed_on_whole() {
    const PIECES: usize = 5;
    let nodes = Server::many(3);
    let proxy = Proxy::with(&nodes, |c| c["settings"]["caps"]["second_copies"] = json!(false));
    let value = value_text(300_000, 0);
    let response = response_head(value.len()) + &value + RESPONSE_TAIL;
    let mut writers = Vec::new();
    let mut clients: Vec<Peer> = (0..3).map(|_| proxy.client()).collect();
    for (key, client) in (0..).zip(&mut clients) {
        client.get(10 + key, "read", 400);
        let mut at_node = nodes.command().0;
        let response = response.clone();
        writers.push(std::thread::spawn(move || {
            let size = response.len() / PIECES + 1;
            for (number, piece) in response.as_bytes().chunks(size).enumerate() {
                // From shorter to longer than any time-out of a request.
                std::thread::sleep(Duration::from_millis(100 + 500 * number as u64));
                at_node.send(piece);
            }
            at_node
        }));
    }
    for client in &mut clients {
        assert!(client.command()[0] == value, "the value differs from the one sent");
    }
    writers.into_iter().for_each(|w| drop(w.join().expect("the node wrote the whole value")));
}

// Guards against an answer that comes long after its time, and a write that a node completes after that, where the node
// reads a long write slowly or not at all.
#[test]
fn a_long_write_that_its_node_reads_slowly_is_answered_in_time_and_not_completed_afterwards() {
    const TIME_MS: u64 = 1_000;
    /// The protocol's tolerance for an answer that comes late, and that for its times.
    const SLACK: Duration = Duration::from_millis(500 + 50);
    for (length, read_before) in [(200_000, 0), (1 << 20, 0), (1 << 20, 100_000), (VALUE_BYTES, 100_000)] {
        let nodes = Server::many(1);
        let proxy = Proxy::start(&nodes);
        let mut client = proxy.client();
        let sent = Instant::now();
        client.set(1, "once", TIME_MS, &value_text(length, 0));
        let mut at_node = nodes.accept();
        let mut received = at_node.take(read_before).len();
        let answer = client.line();
        let took = sent.elapsed();
        assert!(answer.starts_with("-ERR"), "{answer}");
        assert!(took < Duration::from_millis(TIME_MS) + SLACK, "answered after {took:?}");
        // What the kernel of the node's machine has taken can't be taken back; all of a long value does not fit into it.
        received += at_node.rest().len();
        let fits_into_buffers = length <= 200_000;
        assert!(fits_into_buffers || received < length, "{length} bytes, all came after the final answer");
    }
}

// Guards against requests that lose their answers because a long value behind them breaks off.
#[test]
fn a_long_value_that_breaks_off_leaves_the_answers_before_it_and_what_has_not_begun() {
    let nodes = Server::many(3);
    let proxy = Proxy::with(&nodes, |c| c["settings"]["caps"]["second_copies"] = json!(false));
    let mut client = proxy.client();
    client.set(1, "put", 15_000, "v");
    let (mut write, _) = nodes.command();
    client.get(2, "read", 15_000);
    let (mut long, _) = nodes.command();
    client.get(3, "read", 15_000);
    let (mut behind, _) = nodes.command();
    long.send(response_head(VALUE_BYTES) + &value_text(200_000, 0));
    std::thread::sleep(Duration::from_millis(100));
    long.reset();
    std::thread::sleep(Duration::from_millis(100));
    assert!(!client.has_input(), "an answer before its turn");
    write.send(RECEIPT);
    behind.send(hit("behind"));
    assert_eq!(client.command()[0], "ok");
    // Nothing of the long value was passed on, so it has failed and the connection goes on.
    assert_eq!(client.line(), "-ERR failed");
    assert_eq!(client.command()[0], "behind");
}

// Guards against complete answers that are discarded when the value behind them breaks off, as their client reads slowly.
#[test]
fn a_long_value_that_breaks_off_once_it_has_begun_ends_the_connection_behind_the_answers_before_it() {
    const SHORT_ANSWERS: u64 = 4;
    let nodes = Server::many(2);
    let proxy = Proxy::with(&nodes, |c| c["settings"]["caps"]["second_copies"] = json!(false));
    // A client for which the kernel holds little, so that the proxy has to keep the answers.
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(8 << 10).expect("a receive buffer");
    socket.set_tcp_mss(1_460).expect("a segment size");
    socket.connect(&proxy.address.into()).expect("connected");
    let mut client = std::net::TcpStream::from(socket);
    let short = hit(&value_text(60_000, 0));
    let mut peers = Vec::new();
    for key in 0..=SHORT_ANSWERS {
        let fields = "c=read,d=15000";
        let command = encode(&["CACHE.GET", &format!("{key:x}"), &format!("id{key}"), fields]);
        client.write_all(&command).expect("written");
        let (at, _) = nodes.any(&mut peers);
        if key < SHORT_ANSWERS {
            peers[at].send(&short);
            continue;
        }
        let mut long = peers.swap_remove(at);
        long.send(response_head(VALUE_BYTES) + &value_text(200_000, 0));
        std::thread::sleep(Duration::from_millis(100));
        long.reset();
    }
    std::thread::sleep(Duration::from_millis(100));
    let mut received = Vec::new();
    let _ = client.read_to_end(&mut received);
    let before = short.repeat(SHORT_ANSWERS as usize);
    assert!(received.starts_with(&before), "{} of {} bytes came", received.len(), before.len());
    assert!(received.len() < before.len() + VALUE_BYTES, "a value that broke off looks whole");
}

/// Guards against a client's value that is mixed from those of two attempts, where an attempt may not be cancelled.
#[test]
fn only_the_attempt_whose_value_has_begun_writes_to_the_client() {
    const LONG_BYTES: usize = 400_000;
    let nodes = Server::many(2);
    let proxy = Proxy::with(&nodes, |c| {
        c["settings"]["caps"]["cancelling"] = json!(false);
        c["settings"]["categories"][0]["promise_ns"] = json!(200_000_000u64);
    });
    let mut client = proxy.client();
    client.get(1, "read", 15_000);
    // The first attempt is overdue, and a second one is sent.
    let mut first = nodes.command().0;
    let mut second = nodes.command().0;
    let value = |byte: &str| byte.repeat(LONG_BYTES);
    first.send(response_head(LONG_BYTES) + &value("a")[..LONG_BYTES / 2]);
    assert_eq!(client.take(response_head(LONG_BYTES).len()), response_head(LONG_BYTES).as_bytes());
    second.send(response_head(LONG_BYTES) + &value("b") + RESPONSE_TAIL);
    std::thread::sleep(Duration::from_millis(200));
    first.send(&value("a")[LONG_BYTES / 2..]);
    first.send(RESPONSE_TAIL);
    assert!(client.take(LONG_BYTES).iter().all(|byte| *byte == b'a'), "bytes of the other value");
    assert_eq!(client.take(RESPONSE_TAIL.len()), RESPONSE_TAIL.as_bytes());
    proxy.assert_serving();
}
