//! Tests of the connections to cache nodes that need their inner state; all others are in `tests/`.

use super::*;
use crate::platform::config::tests::sample;
use crate::platform::discovery::{Host, ListUpdate};
use crate::request::tests::{query, write_query};
use addresses::Address;
use calicosaddle::api::ServerEntry;
use pipeline::{Pipeline, SettleDelay};
use std::io::Write;
use std::net::TcpListener;
use std::time::{Duration, Instant};

fn empty(config: &Config, poll: &mio::Poll) -> Boxes {
    let registry = poll.registry().try_clone().expect("clone the registry");
    Boxes::new(config, 8, registry, &operator::Operator::default(), None, 1 << 20)
}

fn host(entry: ServerEntry, listener: &TcpListener) -> Host {
    let address = listener.local_addr().expect("local address");
    Host { name: "s-7".into(), entry, addresses: vec![Address::Tcp(address)], invalid_addresses: Vec::new() }
}

/// With one node, 7, at the listener's address.
fn with_node(listener: &TcpListener, poll: &mio::Poll) -> Boxes {
    let mut boxes = empty(&sample(), poll);
    let hosts = vec![host(ServerEntry { server: 7, ..ServerEntry::default() }, listener)];
    boxes.apply_list(&ListUpdate { version: 1, full: true, hosts }, 0);
    boxes
}

/// A complete reply of a node.
const REPLY: &[u8] = b"*3\r\n$1\r\nx\r\n$-1\r\n$-1\r\n";

fn queued(config: &Config) -> QueuedAttempt {
    QueuedAttempt { id: 1, attempt: 0, query: query(config), target: 9_000 * MS, deadline: 9_000 * MS }
}

#[test]
fn unsolicited_bytes_are_detected_before_an_idle_connection_is_reused() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a listener");
    let poll = mio::Poll::new().expect("create a poll");
    let mut boxes = with_node(&listener, &poll);
    let key = boxes.send(7, queued(&sample()), 0).expect("a connection for the attempt").0;
    let mut node = listener.accept().expect("accept").0;
    (boxes.connections[key].connected, boxes.connections[key].pipeline) = (true, Pipeline::default());
    assert_eq!(
        boxes.send(7, queued(&sample()), 0).map(|(key, new)| (key, new.is_some())),
        Some((key, false))
    );
    node.write_all(b"-BUSY\r\n").expect("write to the proxy");
    let started = Instant::now();
    while boxes.connections[key].link.socket.is_quiet() {
        assert!(started.elapsed() < Duration::from_secs(20), "no bytes arrived within 20 s");
        std::thread::sleep(Duration::from_millis(1));
    }
    // The event loop has not reported them, yet the connection is closed and its attempt reassigned.
    assert!(boxes.write_due(0));
    let event = boxes.next_event();
    assert!(
        matches!(event, Some(NodeEvent::Reassigned(1, 0, _, Some(NewConnection { serial: 2, .. }))))
            && boxes.next_event().is_none(),
        "{event:?}"
    );
    assert_eq!((boxes.connections.len(), boxes.attempts_written, boxes.nodes[&7].stats.moved), (1, 0, 1));
}

#[test]
fn an_attempt_waits_for_the_settle_delay_and_is_reassigned_on_unsolicited_bytes() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a listener");
    let poll = mio::Poll::new().expect("create a poll");
    for unsolicited in [false, true] {
        let mut boxes = with_node(&listener, &poll);
        boxes.pipeline_config =
            PipelineConfig { settle_delay: SettleDelay::new(None), ..PipelineConfig::default() };
        let (key, _) = boxes.send(7, queued(&sample()), 0).expect("a connection for the attempt");
        let mut node = listener.accept().expect("accept").0;
        let started = Instant::now();
        let check_progress =
            || assert!(started.elapsed() < Duration::from_secs(20), "no progress within 20 s");
        while boxes.attempts_written == 0 {
            check_progress();
            boxes.ready(key, &mut [0; 64], MS);
        }
        node.write_all(REPLY).expect("write to the proxy");
        while !matches!(boxes.next_event(), Some(NodeEvent::Served(1, 0, ..))) {
            check_progress();
            boxes.ready(key, &mut [0; 64], 2 * MS);
        }
        let again = QueuedAttempt { attempt: 1, ..queued(&sample()) };
        assert!(matches!(boxes.send(7, again, 3 * MS), Some((same, None)) if same == key));
        assert_eq!(
            (boxes.next_write_at(), boxes.write_due(6 * MS), boxes.attempts_written),
            (Some(7 * MS), false, 1)
        );
        if unsolicited {
            node.write_all(REPLY).expect("write to the proxy");
            while boxes.nodes[&7].stats.unsolicited == 0 {
                check_progress();
                boxes.ready(key, &mut [0; 64], 6 * MS);
            }
            let moved = boxes.next_event();
            assert!(matches!(moved, Some(NodeEvent::Reassigned(1, 1, _, Some(_)))), "{moved:?}");
            assert_eq!((boxes.attempts_written, boxes.nodes[&7].stats.breaks), (1, 0));
        } else {
            assert!(boxes.write_due(7 * MS) && boxes.connections[key].pipeline.is_written((1, 1)));
            assert_eq!((boxes.next_write_at(), boxes.attempts_written), (None, 2));
        }
    }
}

/// Guards against an attempt that is never written, as it took the place of one with an earlier end of its settle delay.
#[test]
fn an_attempt_is_written_at_the_end_of_its_own_settle_delay() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a listener");
    let poll = mio::Poll::new().expect("create a poll");
    let mut boxes = with_node(&listener, &poll);
    let key = boxes.send(7, queued(&sample()), 0).expect("a connection for the attempt").0;
    let _node = listener.accept().expect("accept").0;
    (boxes.connections[key].connected, boxes.connections[key].pipeline) = (true, Pipeline::default());
    let (read_at, write_at) = (5 * MS, 9 * MS);
    boxes.connections[key].ready_at = [read_at, write_at];
    assert!(boxes.send(7, queued(&sample()), 0).is_some());
    assert_eq!(boxes.next_write_at(), Some(read_at));
    let abandoned = AbandonedAttempt { sent_at: 0, timed_out: false };
    assert!(boxes.cancel(key, 1, 0, abandoned, MS));
    let write = QueuedAttempt { attempt: 1, query: write_query(&sample()), ..queued(&sample()) };
    assert!(boxes.send(7, write, MS).is_some());
    assert!(boxes.write_due(read_at));
    assert_eq!((boxes.next_write_at(), boxes.attempts_written), (Some(write_at), 0));
    assert!(boxes.write_due(write_at) && boxes.connections[key].pipeline.is_written((1, 1)));
}

#[test]
fn an_attempt_that_waits_for_a_slow_connect_takes_a_connection_that_becomes_idle() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a listener");
    let poll = mio::Poll::new().expect("create a poll");
    let mut boxes = with_node(&listener, &poll);
    let (connected, _) = boxes.send(7, queued(&sample()), 0).expect("a connection for the attempt");
    let mut node = listener.accept().expect("accept").0;
    let started = Instant::now();
    while boxes.attempts_written == 0 {
        assert!(started.elapsed() < Duration::from_secs(20), "the attempt was not written within 20 s");
        boxes.ready(connected, &mut [0; 64], MS);
    }
    let (slow, new) =
        boxes.send(7, QueuedAttempt { attempt: 1, ..queued(&sample()) }, MS).expect("a second connection");
    assert!(new.is_some() && slow != connected);
    node.write_all(REPLY).expect("write to the proxy");
    while boxes.connections[connected].depth() > 0 && started.elapsed() < Duration::from_secs(20) {
        boxes.ready(connected, &mut [0; 64], 2 * MS);
        if matches!(boxes.next_event(), Some(NodeEvent::Served(1, 0, ..))) {
            break;
        }
    }
    assert!(matches!(boxes.next_event(), Some(NodeEvent::Reassigned(1, 1, key, None)) if key == connected));
    // The settle delay of the connection starts with its reply at 2 ms.
    assert!(!boxes.write_due(2 * MS));
    assert!(
        boxes.write_due(7 * MS)
            && boxes.connections[connected].pipeline.is_written((1, 1))
            && boxes.connections[slow].depth() == 0
    );
}

#[test]
fn an_attempt_that_finds_all_connections_busy_ends_as_not_sent_instead_of_connect_failed() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a listener");
    let poll = mio::Poll::new().expect("create a poll");
    let mut boxes = with_node(&listener, &poll);
    (boxes.max_per_node, boxes.pipeline_config) = (1, PipelineConfig::default());
    assert!(boxes.send(7, queued(&sample()), 0).is_some());
    for attempt in 1..4 {
        assert!(boxes.send(7, QueuedAttempt { attempt, ..queued(&sample()) }, 0).is_none());
        let event = boxes.next_event();
        assert!(
            matches!(event, Some(NodeEvent::Ended(1, n, Status::NotSent, _)) if n == attempt),
            "attempt {attempt}: {event:?}"
        );
    }
    // Without a connection and without a descriptor to open one, the node was not reached.
    (boxes.max_per_node, boxes.descriptor_limit) = (2, 0);
    boxes.close(0);
    while boxes.next_event().is_some() {}
    assert!(boxes.send(7, queued(&sample()), 0).is_none());
    assert!(matches!(boxes.next_event(), Some(NodeEvent::Ended(1, 0, Status::ConnectFailed, _))));
}

#[test]
fn slow_connects_to_one_node_have_one_racing_dial_at_a_time() {
    let (unreachable, _listener) = testkit::scripted::full_backlog();
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a listener");
    let poll = mio::Poll::new().expect("create a poll");
    let mut boxes = empty(&sample(), &poll);
    let mut host = host(ServerEntry { server: 7, ..ServerEntry::default() }, &listener);
    host.addresses.insert(0, Address::Tcp(unreachable));
    boxes.apply_list(&ListUpdate { version: 1, full: true, hosts: vec![host] }, 0);
    let keys: Vec<_> = (0..4).filter_map(|_| boxes.send(7, queued(&sample()), 0)).collect();
    assert_eq!((keys.len(), boxes.racing_dials), (4, 0));
    for (key, new) in &keys {
        boxes.start_race(*key, new.expect("a new connection").serial, 300 * MS);
    }
    assert_eq!((boxes.racing_dials, boxes.descriptors()), (1, 5));
    // Each connection established over the second address lets the next racing dial start.
    for (i, (key, _)) in keys.iter().enumerate() {
        let started = Instant::now();
        while !boxes.race_ready(*key, 310 * MS) {
            assert!(
                started.elapsed() < Duration::from_secs(20),
                "the race of connection {i} did not end within 20 s"
            );
            std::thread::sleep(Duration::from_millis(1));
        }
        boxes.ready(*key, &mut [0; 64], 310 * MS);
        assert_eq!(boxes.racing_dials, usize::from(i < 3), "after connection {i}");
    }
    assert!(boxes.connections.iter().all(|(_, c)| c.connected));
}

#[test]
fn a_queued_attempt_is_not_sent_to_a_node_that_was_drained_meanwhile() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a listener");
    let poll = mio::Poll::new().expect("create a poll");
    let config = sample();
    for drained in [false, true] {
        let mut boxes = with_node(&listener, &poll);
        let (key, _) = boxes.send(7, queued(&config), 0).expect("a connection for the attempt");
        listener.accept().expect("accept");
        if drained {
            boxes.set_drained(&[7], 0);
        }
        boxes.ready(key, &mut [0; 64], MS);
        let ended = matches!(boxes.next_event(), Some(NodeEvent::Ended(1, 0, Status::NotSent, _)));
        assert_eq!((ended, boxes.nodes[&7].attempts_sent), (drained, u64::from(!drained)));
    }
}
