//! System calls that fail for a moment or do a part of their work, by a library that is preloaded into the built binary.

use serde_json::{json, Value};
use std::time::{Duration, Instant};
use testkit::scripted::*;

/// Seeds of what is drawn; each is played.
const SEEDS: [u64; 3] = [1, 2, 3];
/// How many cache nodes there are.
const NODES: usize = 6;

/// Nodes that answer each read with its key, and reads of keys that begin with `f` with a long value.
fn nodes() -> Server {
    let mut nodes = Server::many(0);
    for _ in 0..NODES {
        nodes.addresses.push(answering(|command| {
            let is_write = command.arg(0) == b"CACHE.SET";
            let is_long = command.arg(1).starts_with(b"f");
            Some(match (is_write, is_long) {
                (true, _) => RECEIPT.into(),
                (false, true) => hit(&long_value()),
                (false, false) => cached(command),
            })
        }));
    }
    nodes
}

/// A value that is passed on as it comes.
fn long_value() -> String {
    "long".repeat(25_000)
}

/// What the requests of a run were answered.
#[derive(Debug, Default, PartialEq)]
struct Answers {
    served: usize,
    refused: usize,
    failed: usize,
    /// The connection ended without an answer, or the answer was another request's.
    lost: usize,
}

/// Reads the answer to a request for a value; `None` if the connection ends before it.
fn answer_of(client: &mut Peer) -> Option<Vec<String>> {
    std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| client.command())).ok()
}

/// Sends requests one after the other over a few connections, and counts the answers. Connections that end are replaced.
fn play(proxy: &Proxy, count: usize) -> Answers {
    const CLIENTS: usize = 4;
    let mut clients: Vec<Peer> = (0..CLIENTS).map(|_| proxy.client()).collect();
    let mut answers = Answers::default();
    for number in 0..count {
        let client = &mut clients[number % CLIENTS];
        let expected = match number % 4 {
            0 => {
                client.set(number as u64, "put", 5_000, &"v".repeat(number * 1_000 % 50_000));
                "ok".to_owned()
            }
            1 => {
                client.send(encode(&["CACHE.GET", "f", &format!("long-{number}"), "c=read,d=5000"]));
                long_value()
            }
            _ => {
                client.get(number as u64, "read", 5_000);
                format!("{number:016x}:1")
            }
        };
        match answer_of(client) {
            Some(answer) if answer[0] == expected => answers.served += 1,
            Some(answer) if answer[0].starts_with("-BUSY") => answers.refused += 1,
            Some(answer) if answer[0].starts_with("-ERR failed") => answers.failed += 1,
            _ => {
                answers.lost += 1;
                *client = proxy.client();
            }
        }
    }
    answers
}

/// Plays requests under faults with each seed, and asserts that all are served.
fn assert_all_served(rules: &str, count: usize) {
    for seed in SEEDS {
        let proxy = Proxy::faulty(&nodes(), rules, seed, |_| {});
        let answers = play(&proxy, count);
        let all_served = Answers { served: count, ..Answers::default() };
        assert_eq!(answers, all_served, "{rules}, seed {seed}");
        proxy.assert_serving();
    }
}

/// Guards against a short read that is taken for an empty socket.
#[test]
fn short_reads_from_clients_hold_up_no_request() {
    assert_all_served("recv short 0.5 port=LISTEN", 40);
    assert_all_served("recv short 1.0 port=LISTEN", 8);
}

/// The same on connections to cache nodes.
#[test]
fn short_reads_from_nodes_hold_up_no_request() {
    assert_all_served("recv short 0.5 not-port=LISTEN", 40);
}

/// Guards against writes that are taken for complete.
#[test]
fn short_writes_hold_up_no_request() {
    assert_all_served("send short 0.5", 40);
}

/// Guards against a process that gives up its start over an error of the moment.
#[test]
fn a_process_starts_while_sockets_can_not_be_opened_for_a_moment() {
    for error in ["ENFILE", "ENOBUFS", "ENOMEM", "EMFILE"] {
        for seed in SEEDS {
            let rules = format!("socket {error} 0.5 until=1000; bind EADDRINUSE 0.5 until=1000; listen EADDRINUSE 0.3 until=1000");
            let proxy = Proxy::faulty(&nodes(), &rules, seed, |_| {});
            proxy.assert_serving();
        }
    }
}

/// Nodes that end each connection behind its first answer, so that each request needs a new one.
fn closing_nodes() -> Server {
    let nodes = Server::many(NODES);
    let mut closing = Server::many(0);
    closing.addresses = nodes.addresses.clone();
    std::thread::spawn(move || loop {
        let mut connection = nodes.accept();
        std::thread::spawn(move || {
            if connection.has_input_within(PATIENCE) {
                let key = connection.command().swap_remove(1);
                std::thread::sleep(Duration::from_millis(10));
                connection.offers(hit(&format!("{key}:1")));
            }
        });
    });
    closing
}

/// Sends reads, some at a time, to nodes that end each connection behind its answer, and counts the answers.
fn play_new_connections(rules: &str, seed: u64) -> Answers {
    const ROUNDS: u64 = 20;
    const READS: u64 = 10;
    let proxy = Proxy::faulty(&closing_nodes(), rules, seed, |_| {});
    std::thread::sleep(Duration::from_millis(300));
    let mut answers = Answers::default();
    let mut client = proxy.client();
    for round in 0..ROUNDS {
        let keys = round * READS..(round + 1) * READS;
        keys.clone().for_each(|key| client.get(key, "read", 5_000));
        for key in keys {
            match answer_of(&mut client) {
                Some(answer) if answer[0] == format!("{key:016x}:1") => answers.served += 1,
                Some(answer) if answer[0].starts_with("-BUSY") => answers.refused += 1,
                Some(answer) if answer[0].starts_with("-ERR failed") => answers.failed += 1,
                _ => answers.lost += 1,
            }
        }
    }
    answers
}

/// Guards against nodes that are judged for a lack of sockets on the proxy's machine.
#[test]
fn a_lack_of_sockets_is_waited_out_and_counted_against_no_node() {
    let all_served = Answers { served: 200, ..Answers::default() };
    assert_eq!(play_new_connections("", 1), all_served, "without faults");
    for error in ["ENOBUFS", "ENFILE", "EMFILE", "ENOMEM"] {
        for seed in SEEDS {
            let rules = format!("socket {error} 0.3 after=300");
            assert_eq!(play_new_connections(&rules, seed), all_served, "{rules}, seed {seed}");
        }
    }
}

/// The same with errors of connect(2) that no node causes.
#[test]
fn a_connect_that_fails_on_this_machine_is_counted_against_no_node() {
    let all_served = Answers { served: 200, ..Answers::default() };
    for error in ["EADDRNOTAVAIL", "EAGAIN", "ENOBUFS", "EINTR"] {
        for seed in SEEDS {
            let rules = format!("connect {error} 0.3");
            assert_eq!(play_new_connections(&rules, seed), all_served, "{rules}, seed {seed}");
        }
    }
}

/// Guards against connections that are ended because the kernel had no buffer for a moment.
#[test]
fn a_transfer_without_a_buffer_is_tried_again() {
    for error in ["ENOBUFS", "ENOMEM", "EINTR"] {
        assert_all_served(&format!("send {error} 0.05"), 60);
        assert_all_served(&format!("recv {error} 0.05"), 60);
    }
}

/// Guards against connections that are not accepted once accept(2) has failed.
#[test]
fn an_accept_that_fails_for_a_moment_loses_no_connection() {
    for error in ["ECONNABORTED", "ENFILE", "EMFILE", "ENOBUFS", "ENOMEM", "EPROTO", "ENETDOWN", "EINTR"] {
        let proxy = Proxy::faulty(&nodes(), &format!("accept {error} 0.5"), 1, |_| {});
        for number in 0..20 {
            let mut client = proxy.client();
            client.get(number, "read", 5_000);
            assert_eq!(client.command()[0], format!("{number:016x}:1"), "{error}");
        }
    }
}

/// Guards against waits that end with EINTR.
#[test]
fn interrupted_waits_are_continued() {
    assert_all_served("epoll_wait EINTR 0.5", 40);
}

/// Guards against lists of discovery that are given up over a short read, a lack of sockets or an interrupted call.
#[test]
fn discovery_is_asked_again_after_errors_of_this_machine() {
    for rules in
        ["recv short 0.5", "socket ENFILE 0.3 after=200", "connect EADDRNOTAVAIL 0.3", "send ENOBUFS 0.2"]
    {
        for seed in SEEDS {
            let (first, discovery) = (nodes(), Server::start());
            let proxy = Proxy::faulty(&Server::many(0), rules, seed, |c| subscribed(c, &discovery));
            let began = Instant::now();
            // The process may begin several calls; each is answered.
            std::thread::spawn(move || loop {
                let mut call = discovery.accept();
                let hosts = [host("s-0", first.addresses[0], "up")];
                std::thread::spawn(move || {
                    call.request();
                    call.offers(http(&list(42, true, &hosts).to_string()));
                    std::thread::sleep(Duration::from_secs(5));
                });
            });
            let mut client = proxy.client();
            loop {
                client.get(1, "read", 1_000);
                let answer = answer_of(&mut client);
                if answer.is_some_and(|answer| answer[0] == "0000000000000001:1") {
                    break;
                }
                assert!(began.elapsed() < Duration::from_secs(6), "{rules}, seed {seed}: no list after 6 s");
                std::thread::sleep(Duration::from_millis(50));
            }
        }
    }
}

/// Guards against a new configuration that is given up because its file could not be opened for a moment.
#[test]
fn a_reload_is_made_again_while_the_file_can_not_be_opened() {
    for seed in SEEDS {
        let discoveries: Vec<Server> = (0..4).map(|_| Server::start()).collect();
        let rules = "open ENFILE 0.7 after=500; socket ENFILE 0.2 after=500";
        let proxy = Proxy::faulty(&nodes(), rules, seed, |c| subscribed(c, &discoveries[0]));
        discoveries[0].accept().request();
        std::thread::sleep(Duration::from_millis(500));
        for discovery in &discoveries[1..] {
            let mut next: Value = serde_json::from_str(&proxy.text()).expect("a configuration");
            next["discovery"] = json!(discovery.addresses[0].to_string());
            proxy.reload(&next.to_string());
            discovery.accept().request();
        }
    }
}

/// Guards against deadlines, windows and waits that are counted by the wall clock.
#[test]
fn steps_of_the_wall_clock_change_nothing() {
    for step in ["3600", "-3600", "5", "-5"] {
        let proxy = Proxy::faulty(&nodes(), &format!("clock step {step} after=500"), 1, |c| {
            c["limits"] = json!({"cores": 1.0, "memory_mb": 64, "sockets": 512});
        });
        let began = Instant::now();
        while began.elapsed() < Duration::from_millis(1_500) {
            let answers = play(&proxy, 8);
            assert_eq!(answers.served, 8, "{step} s: {answers:?}");
        }
    }
}
