//! Freshness of the host list: pushed and polled lists, and the failures that can delay or lose an update.

use serde_json::{json, Value};
use std::time::{Duration, Instant};
use testkit::scripted::*;

/// Starts a proxy that knows both cache nodes, s-0 and s-1, as up, with discovery in the given mode.
fn start_proxy(nodes: &Server, discovery: &Server, mode: &str) -> Proxy {
    Proxy::with(nodes, |c| {
        subscribed(c, discovery);
        c["settings"]["discovery"] = json!(mode);
    })
}

/// Lists both nodes, the second of them draining.
fn draining_hosts(nodes: &Server) -> Vec<Value> {
    vec![host("s-0", nodes.addresses[0], "up"), host("s-1", nodes.addresses[1], "draining")]
}

/// Accepts the next discovery call and returns it with its `timeout_ms` (0 if it has none).
fn accept_call(discovery: &Server) -> (Peer, u64) {
    let mut peer = discovery.accept();
    let target = peer.request();
    let wait =
        target.split_once("timeout_ms=").map_or(0, |(_, ms)| ms.parse().expect("timeout_ms is a number"));
    (peer, wait)
}

/// Asserts that 20 reads all go to the first node.
fn assert_reads_go_to_first_node(proxy: &Proxy, nodes: &Server) {
    assert_reads_go_to_node(0, 20, proxy, nodes);
}

/// Asserts that `reads` reads all go to the node at index `at`.
fn assert_reads_go_to_node(at: usize, reads: u64, proxy: &Proxy, nodes: &Server) {
    let (mut client, mut peers) = (proxy.client(), Vec::new());
    for key in 0..reads {
        client.get(key, "read", 9_000);
        let (i, _) = nodes.any(&mut peers);
        assert_eq!(peers[i].at, at, "key {key} was sent to a draining node");
        peers[i].send(hit("x"));
        assert_eq!(client.command()[0], "x");
    }
}

#[test]
fn a_pushed_list_is_requested_from_the_agent_at_once_and_applied() {
    let (nodes, discovery) = (Server::many(2), Server::start());
    let proxy = start_proxy(&nodes, &discovery, "automatic");
    let (mut first, wait) = accept_call(&discovery);
    assert_eq!(wait, 0);
    first.list(&list(41, false, &[]));
    let (mut watch, wait) = accept_call(&discovery);
    assert!((500..=4_000).contains(&wait), "long poll of {wait} ms, expected 500 to 4000 ms");
    watch.list(&list(42, false, &draining_hosts(&nodes)[1..]));
    // The next call shows that the update has been applied.
    assert!(accept_call(&discovery).1 > 0);
    assert_reads_go_to_first_node(&proxy, &nodes);
}

#[test]
fn discovery_is_called_again_within_the_grace_period_after_a_reset_an_error_or_silence() {
    let (nodes, discovery) = (Server::many(2), Server::start());
    let proxy = start_proxy(&nodes, &discovery, "automatic");
    let started = Instant::now();
    accept_call(&discovery).0.reset();
    accept_call(&discovery).0.send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
    accept_call(&discovery).0.send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nnot JSON.");
    let (_silent, _) = accept_call(&discovery);
    let (mut answers, wait) = accept_call(&discovery);
    assert_eq!(wait, 0);
    // Four failures, each recovered from within the grace period of 500 ms.
    assert!(started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
    answers.list(&list(42, true, &draining_hosts(&nodes)));
    assert!(accept_call(&discovery).1 > 0);
    assert_reads_go_to_first_node(&proxy, &nodes);
}

#[test]
fn a_call_stalled_mid_response_is_repeated_and_its_late_response_is_applied() {
    for mode in ["automatic", "subscribe"] {
        let (nodes, discovery) = (Server::many(2), Server::start());
        let proxy = start_proxy(&nodes, &discovery, mode);
        accept_call(&discovery).0.list(&list(41, false, &[]));
        let (mut interrupted, wait) = accept_call(&discovery);
        assert!(wait > 0);
        let answer = http(&list(42, false, &draining_hosts(&nodes)[1..]).to_string());
        let (head, rest) = answer.split_at(answer.len() / 2);
        let started = Instant::now();
        interrupted.send(head);
        let (_unanswered, wait) = accept_call(&discovery);
        assert_eq!(wait, 0);
        assert!(started.elapsed() < Duration::from_millis(1_500), "{mode}: {:?}", started.elapsed());
        interrupted.send(rest);
        assert!(accept_call(&discovery).1 > 0, "{mode}: the watch did not continue");
        assert_reads_go_to_first_node(&proxy, &nodes);
    }
}

#[test]
fn silent_calls_after_a_silent_watch_are_abandoned_before_the_notification_deadline() {
    let (nodes, discovery) = (Server::many(2), Server::start());
    let proxy = start_proxy(&nodes, &discovery, "subscribe");
    accept_call(&discovery).0.list(&list(41, false, &[]));
    let (_silent, wait) = accept_call(&discovery);
    let deadline = Instant::now() + Duration::from_millis(wait + 2_000);
    // The first call after it gets no answer either, and the second gets a 503.
    let (_silent_too, _) = accept_call(&discovery);
    accept_call(&discovery).0.send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
    let (mut answers, _) = accept_call(&discovery);
    assert!(Instant::now() < deadline, "the third call came after the notification deadline");
    answers.list(&list(42, true, &draining_hosts(&nodes)));
    assert!(accept_call(&discovery).1 > 0);
    assert_reads_go_to_first_node(&proxy, &nodes);
}

/// Lists `count` hosts: all at the first address except the last, which is at the second.
fn large_list(count: usize, nodes: &Server, health: &str) -> Vec<Value> {
    let others = (1..count).map(|i| host(&format!("box-{i:04}.cell-{}", i % 40), nodes.addresses[0], health));
    others.chain([host("s-last", nodes.addresses[1], "up")]).collect()
}

#[test]
fn lists_of_thousands_of_hosts_are_applied_in_any_framing_with_every_drain() {
    for (count, memory, sockets) in [(1_024, 192, 1_024), (2_000, 56, 544)] {
        let (nodes, discovery) = (Server::many(2), Server::start());
        let proxy = Proxy::with(&nodes, |c| {
            subscribed(c, &discovery);
            c["limits"] = json!({"cores": 0.2, "memory_mb": memory, "sockets": sockets});
            c["settings"]["n_instances"] = json!(350);
            c["settings"]["self_index"] = json!(349);
            c["settings"]["discovery"] = json!("automatic");
            c["peers"] = (0..350).map(|i| json!(format!("10.3.{}.{}:7946", i / 250, i % 250 + 1))).collect();
            c["known"] = list(41, true, &large_list(count, &nodes, "up"));
        });
        accept_call(&discovery).0.list(&list(41, false, &[]));
        // One response changes every host but the last; it is indented JSON in chunks of one byte.
        let (mut watch, _) = accept_call(&discovery);
        let changed = large_list(count, &nodes, "draining");
        let body = serde_json::to_string_pretty(&list(42, false, &changed[..count - 1]))
            .expect("the list serializes");
        let mut answer = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
        body.bytes().for_each(|b| answer.extend([b'1', b'\r', b'\n', b, b'\r', b'\n']));
        answer.extend(b"0\r\n\r\n");
        watch.send(answer);
        let mut next = accept_call(&discovery);
        while next.1 == 0 {
            // A call that was started while the slow response was still arriving.
            next = accept_call(&discovery);
        }
        assert_reads_go_to_node(1, 50, &proxy, &nodes);
        // Another whole list of the same size.
        next.0.list(&list(43, true, &large_list(count, &nodes, "up")));
        accept_call(&discovery);
        let peak = proxy.status("VmHWM");
        println!("{count} hosts, list of {} bytes: peak {peak} kB", body.len());
        assert!(peak < memory << 10, "peak of {peak} kB exceeds the limit of {memory} MB");
        proxy.assert_serving();
    }
}

#[test]
fn a_stale_oversized_or_unfinished_list_is_discarded_and_requested_again() {
    let (nodes, discovery) = (Server::many(2), Server::start());
    let proxy = start_proxy(&nodes, &discovery, "automatic");
    // Stale: if it were applied, only the second node would remain.
    accept_call(&discovery).0.list(&list(40, true, &[host("s-1", nodes.addresses[1], "up")]));
    // Oversized: it exceeds the memory that the proxy may use.
    let (mut long, _) = accept_call(&discovery);
    long.send("HTTP/1.1 200 OK\r\n\r\n{\"seq\":43,\"whole\":true,\"hosts\":[");
    let piece = vec![b' '; 1 << 20];
    while long.offers(&piece) {}
    // Unfinished: the body is shorter than its Content-Length.
    let (mut endless, _) = accept_call(&discovery);
    let change = list(44, true, &[host("s-1", nodes.addresses[1], "up")]).to_string();
    endless.send(format!("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n{}", &change[..change.len() - 1]));
    let (mut answers, wait) = accept_call(&discovery);
    assert_eq!(wait, 0);
    answers.list(&list(42, true, &draining_hosts(&nodes)));
    assert!(accept_call(&discovery).1 > 0);
    assert_reads_go_to_first_node(&proxy, &nodes);
    let log = proxy.log();
    assert!(log.contains("discovery: seq 40 is older than 41, which is in force"), "{log}");
}

/// Guards against an older list that is believed because of one answer: drains that were notified would be forgotten.
#[test]
fn one_older_list_is_asked_about_at_once_and_not_believed() {
    for mode in ["automatic", "subscribe"] {
        let (nodes, discovery) = (Server::many(2), Server::start());
        let proxy = start_proxy(&nodes, &discovery, mode);
        accept_call(&discovery).0.list(&list(42, true, &draining_hosts(&nodes)));
        let older =
            list(41, true, &[host("s-0", nodes.addresses[0], "up"), host("s-1", nodes.addresses[1], "up")]);
        accept_call(&discovery).0.list(&older);
        let answered = Instant::now();
        let mut call = discovery.accept();
        let target = call.request();
        assert!(answered.elapsed() < Duration::from_millis(350), "{mode}: {:?}", answered.elapsed());
        assert!(!target.contains("since"), "{mode}: {target} does not ask for the full list");
        call.list(&list(42, true, &draining_hosts(&nodes)));
        assert!(accept_call(&discovery).1 > 0);
        assert_reads_go_to_first_node(&proxy, &nodes);
    }
}

/// Guards against late first calls of restarted processes in a large fleet: an update that was published before they
/// started counts as notified 6 s after its publication.
#[test]
fn restarted_processes_of_a_large_fleet_apply_a_missed_removal_within_seconds() {
    const PROCESSES: u64 = 8;
    let (nodes, discovery) = (Server::many(2), Server::start());
    let started = Instant::now();
    let start = |i: u64| {
        Proxy::with(&nodes, |c| {
            subscribed(c, &discovery);
            c["seed"] = json!(format!("{:016x}", 0x8c1f_30d2 + i));
            c["settings"]["n_instances"] = json!(900);
            c["settings"]["self_index"] = json!(i * 899 / (PROCESSES - 1));
        })
    };
    let proxies: Vec<Proxy> = (0..PROCESSES).map(start).collect();
    let removal = list(42, false, &[host("s-1", nodes.addresses[1], "removed")]);
    let (mut answered, mut watches) = (0, Vec::new());
    while answered < PROCESSES {
        let (mut call, wait) = accept_call(&discovery);
        if wait > 0 {
            watches.push(call);
            continue;
        }
        // The call is queued at discovery.
        std::thread::sleep(Duration::from_millis(100));
        call.list(&removal);
        answered += 1;
    }
    let took = started.elapsed();
    assert!(took < Duration::from_secs(6), "the last of {PROCESSES} processes was answered after {took:?}");
    while watches.len() < PROCESSES as usize {
        watches.push(accept_call(&discovery).0);
    }
    proxies.iter().for_each(|proxy| assert_reads_go_to_first_node(proxy, &nodes));
}

/// Guards against a run whose log does not tell what a process was notified of, and of which signals.
#[test]
fn the_log_tells_of_failed_calls_leaving_nodes_and_signals() {
    let (nodes, discovery) = (Server::many(2), Server::start());
    let proxy = start_proxy(&nodes, &discovery, "subscribe");
    accept_call(&discovery).0.reset();
    accept_call(&discovery).0.list(&list(42, true, &draining_hosts(&nodes)));
    let _watch = accept_call(&discovery);
    proxy.signal("-HUP");
    // The reload is logged behind the signal.
    std::thread::sleep(Duration::from_millis(500));
    let log = proxy.log();
    for line in [
        "discovery: answered after 1 failed calls in ",
        "discovery: version 42, 1 leaving: s-1 draining",
        "signal: SIGHUP",
        "reload: discovery stays at ",
    ] {
        assert!(log.contains(line), "no line {line:?} in:\n{log}");
    }
}
