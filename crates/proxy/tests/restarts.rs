//! Shutdown, start and reload of the built binary while a discovery response is incomplete.

use serde_json::{json, Value};
use std::time::{Duration, Instant};
use testkit::scripted::*;

/// Splits discovery's response with this list into two halves.
fn halves(list_body: &Value) -> (Vec<u8>, Vec<u8>) {
    let mut whole = http(&list_body.to_string()).into_bytes();
    let rest = whole.split_off(whole.len() / 2);
    (whole, rest)
}

/// Asserts that a read is sent to the node at index `at` and answered by it.
fn assert_served_at(client: &mut Peer, nodes: &Server, key: u64, at: usize) {
    client.get(key, "read", 15_000);
    let (mut at_node, _) = nodes.command();
    assert_eq!(at_node.at, at);
    at_node.send(hit("v"));
    assert_eq!(client.command()[0], "v");
    // The next read finds no idle connection to this node.
    drop(at_node);
}

#[test]
fn a_process_stopped_during_a_partial_list_answers_its_requests_and_the_next_starts_with_the_known_list() {
    let (nodes, discovery) = (Server::many(2), Server::start());
    let mut process_config = config(&nodes.addresses[..1]);
    subscribed(&mut process_config, &discovery);
    let mut proxy = Proxy::with(&nodes, |c| *c = process_config.clone());
    let mut watch = discovery.accept();
    watch.request();
    let mut waiting = proxy.client();
    waiting.get(1, "read", 2_500);
    let (mut at_node, _) = nodes.command();
    let (half, _) = halves(&list(42, true, &[host("s-1", nodes.addresses[1], "up")]));
    watch.send(&half);
    proxy.signal("-TERM");
    // It accepts new clients until its accept window is over, even though the list is incomplete.
    let mut late = proxy.client();
    late.get(2, "read", 2_500);
    let (mut for_late, _) = nodes.command();
    assert_eq!((at_node.at, for_late.at), (0, 0));
    for_late.send(hit("late"));
    assert_eq!(late.command()[0], "late");
    at_node.send(hit("first"));
    assert_eq!(waiting.command()[0], "first");
    assert_eq!(proxy.wait().code(), Some(0));
    // The next process receives its list in two parts, far apart.
    let discovery = Server::start();
    subscribed(&mut process_config, &discovery);
    process_config["listen"] = json!(unused_address().to_string());
    let proxy = Proxy::with(&nodes, |c| *c = process_config);
    let mut watch = discovery.accept();
    watch.request();
    let (half, rest) = halves(&list(42, true, &[host("s-1", nodes.addresses[1], "up")]));
    watch.send(&half);
    let mut client = proxy.client();
    assert_served_at(&mut client, &nodes, 3, 0);
    watch.send(&rest);
    // A call that was started while the slow response arrived may come first.
    while !discovery.accept().request().starts_with("/catalog/members?since=42&") {}
    assert_served_at(&mut client, &nodes, 4, 1);
}

/// Starts a proxy whose first discovery call is pending. Returns it with that call, another discovery, and a configuration
/// that names the other discovery.
fn start_with_pending_call(nodes: &Server) -> (Proxy, Peer, Server, String) {
    let (old, new) = (Server::start(), Server::start());
    let proxy = Proxy::with(nodes, |c| {
        *c = config(&nodes.addresses[..1]);
        subscribed(c, &old);
    });
    let mut call = old.accept();
    call.request();
    let mut second: Value = serde_json::from_str(&proxy.text()).expect("a configuration");
    second["discovery"] = json!(new.addresses[0].to_string());
    (proxy, call, new, second.to_string())
}

#[test]
fn a_reload_during_a_pending_discovery_call_contacts_the_new_discovery_at_once() {
    let nodes = Server::many(2);
    let (proxy, mut call, new, second) = start_with_pending_call(&nodes);
    let started = Instant::now();
    proxy.reload(&second);
    let mut first_call = new.accept();
    first_call.request();
    assert!(
        started.elapsed() < Duration::from_secs(2),
        "the new discovery was called only after {:?}",
        started.elapsed()
    );
    // The late response of the old discovery is ignored, whatever its version.
    call.offers(halves(&list(99, true, &[host("s-1", nodes.addresses[1], "up")])).0);
    assert!(call.rest().is_empty());
    let mut client = proxy.client();
    assert_served_at(&mut client, &nodes, 1, 0);
    first_call.list(&list(7, true, &[host("s-1", nodes.addresses[1], "up")]));
    assert!(new.accept().request().starts_with("/catalog/members?since=7&"));
    assert_served_at(&mut client, &nodes, 2, 1);
}

#[test]
fn a_reload_and_a_shutdown_during_a_partial_list_lose_no_accepted_request() {
    for end_first in [false, true] {
        let nodes = Server::many(2);
        let (mut proxy, mut call, new, second) = start_with_pending_call(&nodes);
        call.send(halves(&list(42, true, &[host("s-1", nodes.addresses[1], "up")])).0);
        let mut waiting = proxy.client();
        waiting.get(1, "read", 2_500);
        let (mut at_node, _) = nodes.command();
        if end_first {
            proxy.signal("-TERM");
            proxy.reload(&second);
        } else {
            proxy.reload(&second);
            proxy.signal("-TERM");
        }
        let mut late = proxy.client();
        late.get(2, "read", 2_500);
        let (mut for_late, _) = nodes.command();
        for_late.send(hit("late"));
        assert_eq!(late.command()[0], "late");
        at_node.send(hit("first"));
        assert_eq!(waiting.command()[0], "first", "end first: {end_first}");
        assert_eq!(proxy.wait().code(), Some(0), "end first: {end_first}");
        drop((call, new));
    }
}

/// The keyed write reaches a node complete, and the node resets or stays silent. The write is retried under its key, and
/// its client gets one response.
#[test]
fn a_keyed_write_is_retried_under_its_key_after_a_lost_response_or_a_reset() {
    for reset in [true, false] {
        let nodes = Server::many(2);
        let proxy = Proxy::with(&nodes, |c| {
            c["settings"]["categories"][1]["promise_ns"] = json!(400_000_000u64);
        });
        let mut client = proxy.client();
        client.set(1, "put", 4_000, "value");
        let (at_first, first) = nodes.command();
        let silent = if reset {
            at_first.reset();
            None
        } else {
            Some(at_first)
        };
        let (mut at_second, second) = nodes.command();
        assert_eq!((&second[0], &second[1], &second[4]), (&first[0], &first[1], &first[4]));
        let key = |command: &[String]| command[3].split(',').find(|f| f.starts_with("k=")).map(str::to_owned);
        assert_eq!((key(&second), key(&second).is_some()), (key(&first), true), "reset: {reset}");
        at_second.send(RECEIPT);
        assert_eq!(client.command()[0], "ok", "reset: {reset}");
        // The late response of the first node reaches no client.
        silent.into_iter().for_each(|mut peer| {
            peer.offers("*3\r\n$5\r\nstale\r\n$-1\r\n$-1\r\n");
        });
        client.send(encode(&["PING"]));
        assert_eq!(client.line(), "+PONG", "reset: {reset}");
    }
}

/// A silent watch is repeated well before discovery counts its updates as delivered, which is 2 s after the end of its
/// wait. A late response to the old call is applied only if it is newer than the list in force by then.
#[test]
fn a_silent_watch_is_repeated_before_its_notification_deadline() {
    for late_one_is_newer in [false, true] {
        let (nodes, discovery) = (Server::many(2), Server::start());
        let proxy = Proxy::with(&nodes, |c| {
            *c = config(&nodes.addresses[..1]);
            subscribed(c, &discovery);
        });
        let mut first_call = discovery.accept();
        first_call.request();
        first_call.list(&list(41, false, &[]));
        let mut silent = discovery.accept();
        assert_eq!(silent.request(), "/catalog/members?since=41&timeout_ms=10000");
        let asked = Instant::now();
        let mut repeated = discovery.accept();
        assert_eq!(repeated.request(), "/catalog/members?since=41&timeout_ms=0");
        let after = asked.elapsed();
        assert!(
            (10_000..11_500).contains(&after.as_millis()),
            "repeated after {after:?}, expected 10 s to 11.5 s"
        );
        let moved = [host("s-0", nodes.addresses[0], "removed"), host("s-1", nodes.addresses[1], "up")];
        let mut client = proxy.client();
        if late_one_is_newer {
            silent.list(&list(42, false, &moved));
            assert!(silent.rest().is_empty());
            assert_served_at(&mut client, &nodes, 1, 1);
            repeated.list(&list(42, false, &moved));
        } else {
            repeated.list(&list(43, false, &moved));
            assert!(discovery.accept().request().starts_with("/catalog/members?since=43&"));
            silent.offers(http(&list(42, true, &[]).to_string()));
            assert!(silent.rest().is_empty());
        }
        assert_served_at(&mut client, &nodes, 2, 1);
    }
}
