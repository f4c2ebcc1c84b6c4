//! Long values: passed on while they come, with less memory than they have bytes; and what goes wrong midway.

use serde_json::json;
use std::io::Read;
use std::time::{Duration, Instant};
use testkit::scripted::*;

const LONG: usize = 4 << 20;
const TAIL: &str = "\r\n$3\r\nhit\r\n$-1\r\n";

fn head(length: usize) -> String {
    format!("*3\r\n${length}\r\n")
}

fn text(length: usize, from: u8) -> String {
    (0..length).map(|i| char::from(b'a' + ((i + i / 7 + usize::from(from)) % 26) as u8)).collect()
}

/// Waits until something is so.
fn until(what: &str, mut is: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !is() {
        assert!(begun.elapsed() < PATIENCE, "{what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

#[test]
fn a_long_value_reaches_its_client_before_it_is_whole_and_past_the_deadline() {
    let node = Server::start();
    let proxy = Proxy::start(&node);
    let (mut client, value) = (proxy.client(), text(LONG, 0));
    // A short answer, the long one and another short one, in one go.
    client.get(1, "read", 15_000);
    let (mut first, _) = node.command();
    client.get(2, "read", 300);
    let (mut at_node, _) = node.command();
    client.get(3, "read", 15_000);
    let (mut third, _) = node.command();
    third.send(hit("third"));
    at_node.send(head(LONG) + &value[..LONG / 2]);
    first.send(hit("first"));
    assert_eq!(client.command()[0], "first");
    assert_eq!(client.take(head(LONG).len()), head(LONG).as_bytes());
    assert!(client.take(LONG / 2) == value.as_bytes()[..LONG / 2]);
    // Its time is long up; what the node still gives is not cut off.
    std::thread::sleep(Duration::from_millis(400));
    at_node.send(&value[LONG / 2..]);
    at_node.send(TAIL);
    assert!(client.take(LONG / 2) == value.as_bytes()[LONG / 2..]);
    assert_eq!(client.take(TAIL.len()), TAIL.as_bytes());
    assert_eq!(client.command()[0], "third");
    // The connection to the node serves again.
    client.get(4, "read", 15_000);
    let mut peers = vec![first, at_node, third];
    let (i, _) = node.any(&mut peers);
    peers[i].send(hit("fourth"));
    assert_eq!(client.command()[0], "fourth");
}

#[test]
fn many_long_values_pass_through_less_memory_than_they_take() {
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
            // Nodes write as fast as they are read.
            writers.push(std::thread::spawn(move || {
                at_node.send(head(LONG) + &text(LONG, key as u8) + TAIL);
                at_node
            }));
            client
        })
        .collect();
    // Nobody reads beyond the first bytes, and all have these.
    for client in &mut clients {
        assert_eq!(client.take(4), b"*3\r\n");
    }
    let peak = || proxy.status("VmHWM") / 1024;
    assert!(peak() < 16, "{} MB at its peak", peak());
    let readers: Vec<_> = (0..)
        .zip(clients)
        .map(|(i, mut client)| {
            std::thread::spawn(move || {
                assert_eq!(client.take(head(LONG).len() - 4), &head(LONG).as_bytes()[4..]);
                assert!(client.take(LONG) == text(LONG, i).as_bytes(), "another value");
                assert_eq!(client.take(TAIL.len()), TAIL.as_bytes());
            })
        })
        .collect();
    readers.into_iter().for_each(|r| r.join().expect("read whole"));
    writers.into_iter().for_each(|w| drop(w.join().expect("written whole")));
    assert!(peak() < 16, "{} MB at its peak", peak());
}

#[test]
fn a_value_that_breaks_off_ends_its_client_and_is_asked_for_no_more() {
    let nodes = Server::many(2);
    let admin = nobody();
    let proxy = Proxy::with(&nodes, |c| c["admin_addr"] = json!(admin.to_string()));
    let (mut client, mut other) = (proxy.client(), proxy.client());
    client.get(1, "read", 15_000);
    let (mut at_node, _) = nodes.command();
    at_node.send(head(LONG) + "some of it");
    assert_eq!(client.take(head(LONG).len() + 10), (head(LONG) + "some of it").as_bytes());
    at_node.reset();
    assert!(client.rest().is_empty());
    // Nothing else was sent for it, and it has failed.
    other.get(1, "read", 15_000);
    let (mut at_node, command) = nodes.command();
    at_node.send(hit("v"));
    assert_eq!((command[1].as_str(), other.command()[0].as_str()), ("0000000000000001", "v"));
    assert!(nodes.is_untouched());
    let mut caller = Peer::connect(admin);
    caller.send("show-stat\n");
    let figures = String::from_utf8(caller.rest()).expect("text");
    assert!(
        figures.contains("svc.failure.read:1|c") && figures.contains("svc.success.read:1|c"),
        "{figures}"
    );
    assert!(figures.contains("svc.inflight:0|g"), "{figures}");
}

#[test]
fn a_client_that_leaves_midway_frees_its_node() {
    let node = Server::start();
    let proxy = Proxy::start(&node);
    let mut client = proxy.client();
    client.get(1, "read", 15_000);
    let (mut at_node, _) = node.command();
    at_node.send(head(LONG) + "some of it");
    client.take(4);
    client.reset();
    // The rest can't be told, and the node hears that nobody wants it.
    let mut gone = false;
    until("the node's connection stays", || {
        at_node.stream.set_read_timeout(Some(Duration::from_millis(5))).expect("a time-out");
        gone |= matches!(at_node.stream.read(&mut [0]), Ok(0));
        gone
    });
    proxy.is_well();
}

#[test]
fn long_writes_wait_for_room_and_all_are_written() {
    let node = Server::start();
    // A quarter of 16 MB holds one of them.
    let proxy = Proxy::with(&node, |c| c["limits"]["memory_mb"] = json!(16));
    let value = text(3 << 20, 0);
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
        assert!(command[4] == value, "another value");
        // The others are not taken before this one is answered.
        assert!(node.is_untouched());
        peers[i].send("*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n");
    }
    for writer in writers {
        assert_eq!(writer.join().expect("written")[0], "ok");
    }
    assert!(proxy.status("VmHWM") / 1024 < 16);
}

#[test]
fn a_client_may_take_its_time_over_a_long_value_but_not_stop() {
    let node = Server::start();
    let proxy = Proxy::start(&node);
    let mut client = proxy.client();
    let value = text(200_000, 0);
    let bytes = encode(&["CACHE.SET", "1", "slow", "c=put,d=15000,k=5c0f", &value]);
    let begun = Instant::now();
    for part in bytes.chunks(bytes.len() / 6 + 1) {
        client.send(part);
        std::thread::sleep(Duration::from_millis(600));
    }
    assert!(begun.elapsed() > Duration::from_secs(3));
    let (mut at_node, command) = node.command();
    assert!(command[4] == value);
    at_node.send("*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n");
    assert_eq!(client.command()[0], "ok");
    let mut stopped = proxy.client();
    stopped.send(&bytes[..bytes.len() / 2]);
    assert!(stopped.line().starts_with("-ERR Protocol error"));
}
