//! Tests of the balancer's decisions, one behaviour per test.

mod common;
use calicosaddle::api::*;
use common::*;
use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};

const KEY: u64 = 0xabcdef;

/// Settings of proxy `proxy_index` of a hundred.
fn settings_of_hundred(proxy_index: u32) -> Settings {
    Settings { proxy_count: 100, proxy_index, zone: proxy_index % 3, ..default_settings() }
}

/// Advances a linear congruential generator of keys.
fn next_key(state: &mut u64) -> u64 {
    *state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
    *state >> 20
}

/// Applies the list updates at a new proxy, then maps each of 400 keys to the server of its first attempt.
fn first_servers(list_updates: &[(ListKind, Vec<ServerEntry>)]) -> BTreeMap<u64, ServerId> {
    let mut proxy = TestProxy::new(default_settings(), 5);
    for (kind, entries) in list_updates {
        proxy.update_list(*kind, entries.clone());
    }
    proxy.serve_background_keys(0..300);
    (0..400u64).map(|key| (key, proxy.serve(key * 0x1234_5677, true))).collect()
}

#[test]
fn consecutive_hits_pin_a_bucket_and_later_misses_do_not_unpin_it() {
    let mut proxy = TestProxy::with_servers(default_settings(), entries(0..20));
    proxy.serve_background_keys(0..300);
    let first = proxy.serve(KEY, true);
    for _ in 0..3 {
        assert_eq!(proxy.serve(KEY, true), first);
        proxy.serve_background_keys(0..100);
    }
    for _ in 0..4 {
        assert_eq!(proxy.serve(KEY, false), first, "a miss moved a pinned bucket");
        proxy.serve_background_keys(0..100);
    }
}

#[test]
fn misses_move_an_unpinned_bucket_only_to_its_other_candidate() {
    let mut proxy = TestProxy::with_servers(default_settings(), entries(0..20));
    proxy.serve_background_keys(0..300);
    let mut servers = Vec::new();
    for _ in 0..8 {
        servers.push(proxy.serve(KEY, false));
        proxy.serve_background_keys(0..100);
    }
    servers.sort_unstable();
    servers.dedup();
    assert_eq!(servers.len(), 2, "a bucket has SIGMA = 2 candidates");
}

#[test]
fn a_pinned_bucket_moves_to_one_other_server_when_its_server_is_removed() {
    let mut proxy = TestProxy::with_servers(default_settings(), entries(0..20));
    proxy.serve_background_keys(0..300);
    let first = proxy.serve(KEY, true);
    for _ in 0..4 {
        proxy.serve(KEY, true);
        proxy.serve_background_keys(0..100);
    }
    let removed = entries(0..20).into_iter().find(|e| e.server == first).expect("a listed server");
    proxy.update_list(ListKind::Delta, vec![ServerEntry { state: ServerState::Removed, ..removed }]);
    let next = proxy.serve(KEY, true);
    assert_ne!(next, first);
    proxy.serve_background_keys(0..100);
    assert_eq!(proxy.serve(KEY, true), next);
}

#[test]
fn candidates_do_not_depend_on_the_order_or_history_of_list_updates() {
    let full = entries(0..30);
    let mut reversed = full.clone();
    reversed.reverse();
    let from_one_list = first_servers(&[(ListKind::Cached, full.clone())]);
    let from_several_lists = first_servers(&[
        (ListKind::Cached, entries(10..60)),
        (ListKind::Full, entries(25..50)),
        (ListKind::Full, reversed),
    ]);
    assert_eq!(from_one_list, from_several_lists);
}

#[test]
fn removing_a_server_moves_only_its_own_keys() {
    let before = first_servers(&[(ListKind::Cached, entries(0..30))]);
    let after = first_servers(&[(ListKind::Cached, entries(1..30))]);
    let removed = entry(0).server;
    for (key, server) in &before {
        if *server != removed {
            assert_eq!(after[key], *server);
        }
    }
    assert!(before.values().any(|server| *server == removed));
}

#[test]
fn a_server_gets_keys_in_proportion_to_its_weight() {
    let mut list = entries(0..10);
    list[0].weight = 4.0;
    let heavy = list[0].server;
    let servers = first_servers(&[(ListKind::Cached, list)]);
    let keys = servers.values().filter(|server| **server == heavy).count();
    assert!((80..180).contains(&keys), "expected about 4/13 of 400 keys, got {keys}");
}

#[test]
fn a_draining_server_gets_no_new_requests() {
    let mut list = entries(0..3);
    let mut proxy = TestProxy::with_servers(default_settings(), list.clone());
    list[0].state = ServerState::Draining;
    proxy.update_list(ListKind::Delta, vec![list[0].clone()]);
    for key in 0..200 {
        assert_ne!(proxy.serve(key * 977, true), list[0].server);
    }
}

#[test]
fn a_hot_key_is_spread_over_several_servers() {
    let mut proxy = TestProxy::with_servers(default_settings(), entries(0..20));
    for i in 0..200u64 {
        proxy.now += 2 * MS;
        proxy.serve(if i % 2 == 0 { KEY } else { i * 7919 }, true);
        proxy.now += 2 * MS;
    }
    let servers: BTreeSet<_> = (0..20).map(|_| proxy.serve(KEY, true)).collect();
    assert!(servers.len() >= 4, "half of all traffic goes to {} servers, expected at least 4", servers.len());
}

#[test]
fn a_server_that_times_out_is_ejected_and_used_again_after_its_ejection() {
    let mut proxy = TestProxy::with_servers(default_settings(), entries(0..20));
    proxy.serve_background_keys(0..100);
    let first = proxy.serve(KEY, true);
    let mut ejected = false;
    for _ in 0..3 {
        let (id, actions) = proxy.request(KEY);
        let server = sent_server(&actions).expect("the request is sent");
        ejected |= server != first;
        proxy.now += 400 * MS;
        proxy.finish_attempt_after(id, 0, server, Status::Timeout, None, 400 * MS);
        proxy.serve_background_keys(0..5);
    }
    assert!(ejected, "the key stayed on its server through three consecutive time-outs");
    proxy.now += 60 * SECOND;
    proxy.serve_background_keys(0..300);
    let mut servers = Vec::new();
    for _ in 0..4 {
        servers.push(proxy.serve(KEY, true));
        proxy.serve_background_keys(0..100);
    }
    assert!(servers.contains(&first), "the server was not used again after its ejection");
}

#[test]
fn rejections_do_not_reset_the_consecutive_failures_of_a_silent_server() {
    let mut proxy = TestProxy::with_servers(default_settings(), entries(0..20));
    proxy.serve_background_keys(0..100);
    let first = proxy.serve(KEY, true);
    for _ in 0..3 {
        for status in [Status::Timeout, Status::Rejected] {
            let (id, actions) = proxy.request(KEY);
            if sent_server(&actions) != Some(first) {
                return;
            }
            proxy.now += 400 * MS;
            proxy.finish_attempt_after(id, 0, first, status, None, 400 * MS);
        }
        proxy.serve_background_keys(0..5);
    }
    panic!("three time-outs with rejections in between did not eject the server");
}

#[test]
fn a_server_is_ejected_for_one_refused_but_only_for_several_broken_connections() {
    for (status, rounds) in
        [(Status::Reset, 2..=4), (Status::Malformed, 2..=4), (Status::ConnectFailed, 1..=1)]
    {
        let mut proxy = TestProxy::with_servers(default_settings(), entries(0..20));
        proxy.serve_background_keys(0..400);
        let first = proxy.serve(KEY, true);
        let mut rounds_until_ejection = 0;
        for _ in 0..8 {
            let (id, mut actions) = proxy.request(KEY);
            if sent_server(&actions) != Some(first) {
                break;
            }
            // Each attempt at the key's server ends with `status`; other servers answer.
            for attempt in 0.. {
                let Some(server) = sent_server(&actions) else { break };
                let status = if server == first { status } else { Status::Ok };
                actions = proxy.finish_attempt(id, attempt, server, status, None);
            }
            rounds_until_ejection += 1;
        }
        assert!(
            rounds.contains(&rounds_until_ejection),
            "{status:?}: ejected after {rounds_until_ejection} rounds, expected {rounds:?}"
        );
    }
}

#[test]
fn rejections_lower_the_number_of_concurrent_requests_to_a_server() {
    let mut proxy = TestProxy::with_servers(default_settings(), entries(0..20));
    proxy.serve_background_keys(0..400);
    let first = (0..5).map(|_| proxy.serve(KEY, true)).last().expect("five requests");
    let (pending, actions) = proxy.request(KEY);
    assert_eq!(sent_server(&actions), Some(first));
    // The server has capacity for one request at a time.
    let mut rejected = 0;
    for _ in 0..8 {
        let (id, actions) = proxy.request(KEY);
        let mut server = sent_server(&actions).expect("the request is sent");
        if server == first {
            rejected += 1;
            let actions = proxy.finish_attempt(id, 0, first, Status::Rejected, None);
            server = sent_server(&actions).expect("the request is retried");
            proxy.finish_attempt(id, 1, server, Status::Ok, Some(false));
        } else {
            proxy.finish_attempt(id, 0, server, Status::Ok, Some(false));
        }
    }
    assert!((1..6).contains(&rejected), "{rejected} of 8 requests went to the full server, expected 1 to 5");
    // One request at a time still goes there.
    proxy.finish_attempt(pending, 0, first, Status::Ok, Some(true));
    assert_eq!(proxy.serve(KEY, true), first);
}

#[test]
fn a_burst_does_not_overload_a_server_in_slow_start() {
    // Without a limit, a burst of hot keys soon after a start overloads the server permanently.
    let mut list = entries(0..4);
    let mut proxy = TestProxy::with_servers(default_settings(), list.clone());
    for i in 0..2000u64 {
        proxy.now += 2 * MS;
        proxy.serve(i * 7919, true);
    }
    list[0].started_at = proxy.now;
    let recovering = list[0].server;
    proxy.update_list(ListKind::Delta, vec![list[0].clone()]);
    let mut sent = 0;
    for i in 0..45u64 {
        sent += usize::from(proxy.serve(i * 7919, true) == recovering);
    }
    // 45 requests in 0.9 s over four servers; one has a fifth of its capacity and is overloaded at three times that.
    assert!(sent <= 7, "{sent} of 45 requests went to the recovering server, expected at most 7");
}

#[test]
fn a_restarted_proxy_does_not_overload_a_server_in_slow_start() {
    let mut list = entries(0..4);
    list[0].started_at = 999 * SECOND;
    let mut proxy = TestProxy::with_servers(default_settings(), list.clone());
    let sent = (0..200u64).filter(|i| proxy.serve(i * 7919, true) == list[0].server).count();
    assert!(
        sent <= 30,
        "a new proxy sent {sent} of 200 requests to the recovering server, expected at most 30"
    );
}

/// Submits 400 requests, one every 20 ms, that no server answers; each client leaves `later_requests` requests after
/// its own. Returns the number of refused requests.
fn refused_when_clients_leave(proxy: &mut TestProxy, later_requests: u64) -> u32 {
    let (mut refused, mut waiting) = (0, VecDeque::new());
    for i in 0..400u64 {
        proxy.now += 20 * MS;
        let (id, actions) = proxy.request(i * 7919);
        match sent_server(&actions) {
            Some(_) => waiting.push_back((proxy.now, id)),
            None => refused += 1,
        }
        let latest_arrival = proxy.now - later_requests * 20 * MS;
        while let Some((_, id)) = waiting.pop_front_if(|(arrived, _)| *arrived <= latest_arrival) {
            proxy.handle(Event::Abandoned(id));
        }
    }
    refused
}

#[test]
fn clients_that_leave_before_their_answer_is_due_do_not_cause_shedding() {
    let mut proxy = TestProxy::with_servers(default_settings(), entries(0..10));
    proxy.serve_background_keys(0..50);
    assert_eq!(refused_when_clients_leave(&mut proxy, 3), 0);
}

#[test]
fn overload_is_shed_and_all_requests_are_admitted_again_after_it() {
    // Servers finish work whose client has left, so without shedding, retries keep them overloaded.
    let mut proxy = TestProxy::with_servers(default_settings(), entries(0..10));
    proxy.serve_background_keys(0..50);
    let refused = refused_when_clients_leave(&mut proxy, 16);
    assert!(refused > 200, "{refused} of 400 requests refused while no request is served, expected over 200");
    for i in 0..2000u64 {
        proxy.now += 20 * MS;
        let (id, actions) = proxy.request(i * 7919);
        if let Some(server) = sent_server(&actions) {
            proxy.finish_attempt(id, 0, server, Status::Ok, Some(true));
        }
    }
    let admitted = (0..100u64).filter(|i| sent_server(&proxy.request(i * 7919).1).is_some()).count();
    assert_eq!(admitted, 100, "requests are still refused after servers have answered for 40 s");
}

#[test]
fn a_last_try_with_more_time_left_does_not_make_first_tries_look_late() {
    // A client gives its last try all the time it has left, more than a first try. If the longest time seen counted
    // as the time of a first try, nearly every request would be refused permanently.
    let mut proxy = TestProxy::with_servers(default_settings(), entries(0..10));
    proxy.serve_background_keys(0..50);
    let last_try = Request { key: Some(1), remaining: 790 * MS, ..Request::default() };
    proxy.submit(last_try);
    for i in 0..300u64 {
        proxy.now += 10 * MS;
        let (id, _) = proxy.submit(Request { key: Some(i), remaining: 500 * MS, ..Request::default() });
        if i < 40 {
            proxy.handle(Event::Abandoned(id));
        }
    }
    let mut admitted = 0;
    for i in 0..1500u64 {
        proxy.now += 10 * MS;
        let (id, actions) =
            proxy.submit(Request { key: Some(i * 31), remaining: 500 * MS, ..Request::default() });
        if let Some(server) = sent_server(&actions) {
            admitted += 1;
            proxy.finish_attempt(id, 0, server, Status::Ok, Some(true));
        }
    }
    assert!(admitted > 800, "{admitted} of 1500 requests admitted, expected over 800");
}

#[test]
fn a_slow_attempt_is_hedged_once_and_the_losing_attempt_is_cancelled() {
    let mut proxy = TestProxy::with_servers(default_settings(), entries(0..10));
    proxy.serve_background_keys(0..100);
    let (id, actions) = proxy.request(KEY);
    let first = sent_server(&actions).expect("the request is sent");
    let token =
        actions.iter().find_map(|a| if let Action::Timer { token, .. } = a { Some(*token) } else { None });
    proxy.now += 150 * MS;
    let second =
        sent_server(&proxy.handle(Event::Timer(token.expect("a hedge timer")))).expect("a second attempt");
    assert_ne!(first, second);
    let actions = proxy.finish_attempt(id, 1, second, Status::Ok, Some(true));
    assert!(actions.contains(&Action::Cancel { id, attempt: 0 }));
}

#[test]
fn empty_lists_expired_requests_and_invalid_input_are_handled() {
    let mut proxy = TestProxy::with_servers(Settings::default(), Vec::new());
    let (_, actions) = proxy.request(1);
    assert_eq!(final_answers(&actions), 1);
    let mut proxy = TestProxy::with_servers(default_settings(), entries(0..3));
    let (_, actions) = proxy.submit(Request { class: 9, key: None, remaining: 0, ..Request::default() });
    assert_eq!(final_answers(&actions), 1);
    let mut invalid = entry(1);
    invalid.weight = f64::NAN;
    proxy.update_list(ListKind::Full, vec![invalid]);
    assert!(sent_server(&proxy.request(5).1).is_some());
    assert!(proxy.finish_attempt(999, 7, 1, Status::Ok, None).is_empty());
    assert!(proxy.handle(Event::Timer(u64::MAX)).is_empty());
}

#[test]
fn only_misses_and_writes_go_to_the_origin_of_a_cache_aside_fleet() {
    let mut settings = default_settings();
    settings.cache_aside = true;
    settings.origin_kind = Some(5);
    let mut list = entries(0..6);
    list[2].kind = 5;
    let origin = list[2].server;
    let mut proxy = TestProxy::with_servers(settings, list);
    for key in 0..50 {
        assert_ne!(proxy.serve(key * 7919, true), origin);
    }
    let (id, actions) = proxy.request(KEY);
    let server = sent_server(&actions).expect("the request is sent");
    let actions = proxy.finish_attempt(id, 0, server, Status::Miss, Some(false));
    assert_eq!(sent_server(&actions), Some(origin));
    let write = Request { key: Some(1), write: true, remaining: 500 * MS, ..Request::default() };
    assert_eq!(sent_server(&proxy.submit(write).1), Some(origin));
}

#[test]
fn the_last_server_list_stays_in_use_after_a_failed_update() {
    let mut proxy = TestProxy::with_servers(default_settings(), entries(0..5));
    assert!(proxy.update_list(ListKind::Failed, Vec::new()).is_empty());
    assert!(sent_server(&proxy.request(1).1).is_some());
}

#[test]
fn refused_connections_eject_a_removed_server_that_an_outdated_list_still_names() {
    let mut proxy = TestProxy::with_servers(
        Settings { proxy_count: 100, poll_discovery: true, ..default_settings() },
        entries(0..60),
    );
    proxy.serve_background_keys(0..300);
    let removed = proxy.serve(KEY, true);
    // A request every 60 ms, the rate at one of a hundred proxies; the removed server's connections are refused.
    let (mut sent_to_removed, mut sent_to_others) = (0, 0);
    for i in 0..300u64 {
        proxy.now += 60 * MS;
        let (id, actions) = proxy.request(if i % 3 == 0 { KEY } else { i * 7919 });
        let server = sent_server(&actions).expect("the request is sent");
        if server == removed {
            sent_to_removed += 1;
            let actions = proxy.finish_attempt(id, 0, server, Status::ConnectFailed, None);
            let next = sent_server(&actions).expect("a retry at another server");
            assert_ne!(next, removed);
            proxy.finish_attempt(id, 1, next, Status::Ok, Some(true));
        } else {
            sent_to_others += 1;
            proxy.finish_attempt(id, 0, server, Status::Ok, Some(true));
        }
    }
    assert!(
        sent_to_removed <= 5 && sent_to_others > 290,
        "of 300 requests {sent_to_removed} went to the removed server (expected at most 5), {sent_to_others} to \
         others (expected over 290)"
    );
}

#[test]
fn a_proxy_with_little_traffic_ejects_a_silent_server_after_two_timeouts() {
    let mut proxy =
        TestProxy::with_servers(Settings { proxy_count: 100, ..default_settings() }, entries(0..60));
    proxy.serve_background_keys(0..300);
    // Builds up a low request rate, at which the balancer must not wait for a third time-out.
    for i in 0..600u64 {
        proxy.now += 60 * MS;
        proxy.serve(0x4444_0000 + i * 7919, true);
    }
    let silent = proxy.serve(KEY, true);
    let mut timeouts = 0;
    for i in 0..20u64 {
        proxy.now += 60 * MS;
        let (id, actions) = proxy.request(KEY);
        let server = sent_server(&actions).expect("the request is sent");
        if server == silent {
            timeouts += 1;
            proxy.finish_attempt_after(id, 0, server, Status::Timeout, None, 400 * MS);
        } else {
            proxy.finish_attempt(id, 0, server, Status::Ok, Some(true));
        }
        proxy.serve(0x7777_0000 + i * 7919, true);
    }
    assert!(timeouts <= 2, "{timeouts} requests went to the silent server, expected at most 2");
}

#[test]
fn replacing_six_in_ten_servers_within_seconds_rarely_moves_keys_of_the_others() {
    let (mut moved, mut stayed) = (0, 0);
    for proxy_index in 0..10 {
        let mut proxy = TestProxy::with_servers(settings_of_hundred(proxy_index), entries(0..60));
        proxy.serve_background_keys(0..200);
        let before: BTreeMap<u64, ServerId> =
            (0..200u64).map(|i| (i * 7919, proxy.serve(i * 7919, true))).collect();
        // In each of six rounds, six servers drain and are removed, and six new ones start.
        for round in 0..6u64 {
            let replaced = entries(round * 6..round * 6 + 6);
            let replaced =
                |state| replaced.iter().map(|e| ServerEntry { state, ..e.clone() }).collect::<Vec<_>>();
            proxy.update_list(ListKind::Delta, replaced(ServerState::Draining));
            for i in 0..20u64 {
                proxy.now += 60 * MS;
                let server = proxy.serve(0x5555_0000 + (round * 20 + i) * 7919, true);
                assert!(
                    replaced(ServerState::Removed).iter().all(|e| e.server != server),
                    "sent to a draining server"
                );
            }
            proxy.update_list(ListKind::Delta, replaced(ServerState::Removed));
            let started_at = proxy.now;
            let new = entries(100 + round * 6..106 + round * 6)
                .into_iter()
                .map(|e| ServerEntry { started_at, ..e });
            proxy.update_list(ListKind::Delta, new.collect());
        }
        // After the slow start of the new servers, keys move only to these.
        proxy.now += 30 * SECOND;
        proxy.serve_background_keys(0..300);
        let remaining: Vec<ServerId> = entries(36..60).iter().map(|e| e.server).collect();
        let new: Vec<ServerId> = entries(100..136).iter().map(|e| e.server).collect();
        for (key, old_server) in before.into_iter().filter(|(_, server)| remaining.contains(server)) {
            let server = proxy.serve(key, true);
            assert!(remaining.contains(&server) || new.contains(&server), "sent to a removed server");
            *(if server == old_server || new.contains(&server) { &mut stayed } else { &mut moved }) += 1;
        }
    }
    assert!(
        moved * 5 < stayed,
        "{moved} keys moved between remaining servers and {stayed} did not, expected over five times as many"
    );
}

#[test]
fn the_ejection_threshold_follows_the_request_rate_per_server_of_the_subset_not_of_the_fleet() {
    let mut proxy =
        TestProxy::with_servers(Settings { proxy_count: 300, ..default_settings() }, entries(0..200));
    for key in 0..400u64 {
        proxy.now += 50 * MS;
        proxy.serve(key * 104_729, true);
    }
    // Seven servers share 20 requests per second: at about three each, one time-out is not enough to eject a server.
    let (id, actions) = proxy.request(7);
    let first = sent_server(&actions).expect("the request is sent");
    proxy.finish_attempt_after(id, 0, first, Status::Timeout, None, 400 * MS);
    assert_eq!(proxy.balancer.unavailable_servers(proxy.now), 0);
    // The second consecutive time-out is.
    let (id, actions) = proxy.request(7);
    assert_eq!(sent_server(&actions), Some(first));
    proxy.finish_attempt_after(id, 0, first, Status::Timeout, None, 400 * MS);
    assert_eq!(proxy.balancer.unavailable_servers(proxy.now), 1);
}

#[test]
fn unsent_attempts_neither_eject_their_server_nor_exhaust_the_retry_budget() {
    let mut proxy = TestProxy::with_servers(default_settings(), entries(0..30));
    proxy.serve_background_keys(0..200);
    for key in 0..300u64 {
        proxy.now += 5 * MS;
        let (id, actions) = proxy.request(key * 104_729);
        let first = sent_server(&actions).expect("the request is sent");
        let actions = proxy.finish_attempt_after(id, 0, first, Status::NotSent, None, 0);
        let second =
            sent_server(&actions).unwrap_or_else(|| panic!("request {key} is not retried: {actions:?}"));
        assert!(
            second != first && proxy.balancer.unavailable_servers(proxy.now) == 0,
            "request {key}: retried at the same server, or a server is ejected"
        );
        proxy.finish_attempt(id, 1, second, Status::Ok, Some(true));
    }
}

#[test]
fn an_unsent_attempt_leaves_its_slow_start_capacity_to_the_next_request() {
    let started_at = 1000 * SECOND;
    let list: Vec<ServerEntry> = entries(0..2).into_iter().map(|e| ServerEntry { started_at, ..e }).collect();
    let mut proxy = TestProxy::with_servers(default_settings(), list);
    // Use up what both servers may get at this moment.
    let mut sent = 0;
    while sent_server(&proxy.request(sent * 104_729).1).is_some() {
        sent += 1;
        assert!(sent < 50, "servers in slow start got {sent} requests at once");
    }
    // Wait until one of them may get one more request. That attempt is never sent, so the next request takes its place.
    let (id, server) = (0..150)
        .find_map(|_| {
            proxy.now += 100 * MS;
            let (id, actions) = proxy.request(7);
            Some((id, sent_server(&actions)?))
        })
        .expect("a server that may get one more request");
    assert!(sent_server(&proxy.request(7).1).is_none());
    let actions = proxy.finish_attempt_after(id, 0, server, Status::NotSent, None, 0);
    assert!(sent_server(&actions).is_none(), "the other server may get one more request too");
    assert_eq!(sent_server(&proxy.request(7).1), Some(server));
}

#[test]
fn an_unreachable_zone_is_ejected_as_a_whole() {
    // Ejecting each server of the zone on its own would cost at least one lost request per server.
    let list = entries(0..90);
    let mut proxy = TestProxy::with_servers(default_settings(), list.clone());
    let zone_of = |s: ServerId| list.iter().find(|e| e.server == s).map(|e| e.zone);
    let mut lost = 0;
    for i in 0..300u64 {
        proxy.now += 10 * MS;
        let (id, actions) = proxy.request(i * 7919);
        let Some(server) = sent_server(&actions) else { continue };
        if zone_of(server) == Some(1) {
            lost += 1;
            proxy.finish_attempt_after(id, 0, server, Status::Timeout, None, 400 * MS);
            proxy.handle(Event::Abandoned(id));
        } else {
            proxy.finish_attempt(id, 0, server, Status::Ok, Some(true));
        }
    }
    assert!(
        (1..20).contains(&lost),
        "{lost} of 300 requests lost in 3 s to a zone of 30 servers, expected 1 to 19"
    );
}

#[test]
fn requests_of_hitting_buckets_are_admitted_first_while_an_overload_is_shed() {
    // When misses overload the origin, refusing hits loses requests that can be served and relieves nothing.
    let mut proxy = TestProxy::with_servers(default_settings(), entries(0..10));
    for _ in 0..10 {
        for key in 0..20u64 {
            proxy.now += 5 * MS;
            proxy.serve(key * 7919, true);
        }
    }
    let (mut admitted_hits, mut admitted_others, mut waiting) = (0, 0, VecDeque::new());
    for i in 0..400u64 {
        proxy.now += 10 * MS;
        let hit = i % 2 == 0;
        let key = if hit { i % 20 * 7919 } else { 0x1000_0000 + i * 7919 };
        let (id, actions) = proxy.request(key);
        let Some(server) = sent_server(&actions) else { continue };
        if hit {
            admitted_hits += 1;
            proxy.finish_attempt(id, 0, server, Status::Ok, Some(true));
        } else {
            admitted_others += 1;
            waiting.push_back((proxy.now, id, server));
        }
        let latest_arrival = proxy.now - 320 * MS;
        while let Some((_, id, server)) = waiting.pop_front_if(|(arrived, ..)| *arrived <= latest_arrival) {
            proxy.handle(Event::Abandoned(id));
            proxy.finish_attempt(id, 0, server, Status::Timeout, None);
        }
    }
    assert!(
        admitted_hits > admitted_others + 30,
        "admitted {admitted_hits} requests of hitting buckets and {admitted_others} of others, expected over 30 more"
    );
}

#[test]
fn errors_are_not_retried_on_other_servers_while_the_origin_fails() {
    // Each retry of a failed fetch at another server is one more fetch at an origin that already fails.
    let mut proxy = TestProxy::with_servers(default_settings(), entries(0..10));
    proxy.serve_background_keys(0..200);
    let (id, actions) = proxy.request(0x7000_0001);
    let server = sent_server(&actions).expect("the request is sent");
    let actions = proxy.finish_attempt(id, 0, server, Status::Error, None);
    assert!(sent_server(&actions).is_some(), "a single error is not retried");
    let mut retried = 0;
    for i in 0..60u64 {
        proxy.serve_background_keys(i * 10..i * 10 + 4);
        let (id, actions) = proxy.request(0x7000_1000 + i * 7919);
        let Some(server) = sent_server(&actions) else { continue };
        let actions = proxy.finish_attempt(id, 0, server, Status::Error, None);
        retried += usize::from(i >= 20 && sent_server(&actions).is_some());
    }
    assert_eq!(retried, 0, "errors retried while a fifth of the outcomes are errors");
}

#[test]
fn refused_connections_are_retried_on_other_servers_far_beyond_the_retry_budget() {
    // After servers are removed and before the list says so, an exhausted retry budget would refuse requests that the
    // next server could serve.
    let mut proxy = TestProxy::with_servers(default_settings(), entries(0..60));
    proxy.serve_background_keys(0..20);
    let mut retried = 0;
    for i in 0..20u64 {
        proxy.now += 50 * MS;
        let (id, actions) = proxy.request(0x5000_0000 + i * 7919);
        let first = sent_server(&actions).expect("the request is sent");
        let second = sent_server(&proxy.finish_attempt(id, 0, first, Status::ConnectFailed, None));
        retried += usize::from(second.is_some());
        second.map(|server| proxy.finish_attempt(id, 1, server, Status::Ok, Some(true)));
    }
    assert!(retried >= 18, "{retried} of 20 requests retried, expected at least 18");
}

/// Settings, servers and origin of a fleet whose proxies fetch misses from the origin themselves.
fn cache_aside_fleet() -> (Settings, Vec<ServerEntry>, ServerId) {
    let mut list = entries(0..12);
    list.push(ServerEntry { kind: 1, ..entry(99) });
    (Settings { cache_aside: true, origin_kind: Some(1), ..default_settings() }, list, server_id("server-99"))
}

/// Requests keys that miss, ends each fetch at the origin with `status` and returns the number of fetches.
fn fetch_misses(
    proxy: &mut TestProxy,
    origin: ServerId,
    key_numbers: std::ops::Range<u64>,
    status: Status,
) -> usize {
    let mut fetches = 0;
    for number in key_numbers {
        proxy.now += 50 * MS;
        let (id, actions) = proxy.request(0x5000_0000 + number * 7919);
        let Some(cache) = sent_server(&actions) else { continue };
        assert_ne!(cache, origin);
        let actions = proxy.finish_attempt(id, 0, cache, Status::Miss, Some(false));
        if sent_server(&actions) == Some(origin) {
            fetches += 1;
            proxy.now += 50 * MS;
            let actions = proxy.finish_attempt_after(id, 1, origin, status, None, 400 * MS);
            assert_eq!(sent_server(&actions), None, "a finished fetch was followed by another attempt");
        }
    }
    fetches
}

#[test]
fn an_overloaded_origin_gets_fewer_fetches_while_hits_are_still_served() {
    let (settings, list, origin) = cache_aside_fleet();
    let mut proxy = TestProxy::with_servers(settings, list);
    fetch_misses(&mut proxy, origin, 0..100, Status::Timeout);
    let fetches = fetch_misses(&mut proxy, origin, 100..200, Status::Timeout);
    assert!(fetches < 50, "{fetches} of 100 misses went to the overloaded origin, expected under 50");
    for i in 0..50 {
        proxy.now += 20 * MS;
        proxy.serve(0x7000_0000 + i * 7919, true);
    }
    fetch_misses(&mut proxy, origin, 200..500, Status::Ok);
    let fetches = fetch_misses(&mut proxy, origin, 500..600, Status::Ok);
    assert!(fetches > 80, "{fetches} of 100 misses went to the recovered origin, expected over 80");
}

#[test]
fn a_slow_fetch_is_not_hedged_as_if_its_cache_were_silent() {
    let (settings, list, origin) = cache_aside_fleet();
    let mut proxy = TestProxy::with_servers(settings, list);
    proxy.serve_background_keys(0..200);
    let (id, actions) = proxy.request(KEY);
    let cache = sent_server(&actions).expect("the request is sent");
    let actions = proxy.finish_attempt(id, 0, cache, Status::Miss, Some(false));
    assert_eq!(sent_server(&actions), Some(origin));
    assert!(!actions.iter().any(|a| matches!(a, Action::Timer { .. })), "a fetch is hedged");
}

#[test]
fn a_proxy_with_little_traffic_does_not_spread_a_bucket_after_one_or_two_requests() {
    let mut proxy = TestProxy::with_servers(default_settings(), entries(0..20));
    let first_servers: Vec<ServerId> = (0..20)
        .map(|key| {
            proxy.now += SECOND;
            proxy.serve(key, true)
        })
        .collect();
    for (key, first) in first_servers.iter().enumerate() {
        proxy.now += SECOND;
        assert_eq!(proxy.serve(key as u64, true), *first);
    }
}

#[test]
fn the_hedge_delay_grows_with_expected_work_so_that_heavy_requests_do_not_look_silent() {
    let mut proxy = TestProxy::with_servers(default_settings(), entries(0..10));
    let with_expected_work = |expected_work| Request {
        key: Some(KEY),
        expected_work: Some(expected_work),
        remaining: 800 * MS,
        ..Request::default()
    };
    for _ in 0..40 {
        proxy.now += 100 * MS;
        let (id, actions) = proxy.submit(with_expected_work(MS));
        let server = sent_server(&actions).expect("the request is sent");
        proxy.finish_attempt(id, 0, server, Status::Ok, Some(true));
    }
    let hedge_delay = |actions: &[Action]| {
        let delays = actions.iter().filter_map(|a| match a {
            Action::Timer { delay, .. } => Some(*delay),
            _ => None,
        });
        delays.min()
    };
    let usual = hedge_delay(&proxy.submit(with_expected_work(MS)).1).expect("a hedge timer");
    let heavy = hedge_delay(&proxy.submit(with_expected_work(10 * MS)).1).unwrap_or(Nanos::MAX);
    assert!(
        heavy > usual * 2,
        "hedge delay for ten times the usual work: {heavy} ns, expected over twice the usual {usual} ns"
    );
}

/// Counts the connections closed while a proxy requests 200 keys, `interval` apart. With `refusing`, every fifth
/// attempt finds its connection refused.
fn closed_connections(settings: Settings, interval: Nanos, refusing: bool) -> usize {
    let mut proxy = TestProxy::with_servers(settings, entries(0..50));
    let mut closed = 0;
    for i in 0..200 {
        proxy.now += interval;
        let (id, actions) = proxy.request(i * 7919);
        let server = sent_server(&actions).expect("the request is sent");
        let mut actions = Vec::new();
        if refusing && i % 5 == 0 {
            actions = proxy.finish_attempt(id, 0, server, Status::ConnectFailed, None);
        }
        let attempt = u32::from(!actions.is_empty());
        let server = sent_server(&actions).unwrap_or(server);
        let actions = proxy.finish_attempt(id, attempt, server, Status::Ok, Some(true));
        closed += actions.iter().filter(|a| matches!(a, Action::CloseIdle(_))).count();
    }
    closed
}

#[test]
fn idle_connections_are_closed_when_too_costly_to_keep_or_when_servers_refuse_new_ones() {
    let with_prices =
        Settings { connection_price: 0.2, handshake_price: 0.1, proxy_count: 1000, ..default_settings() };
    let closed = closed_connections(with_prices.clone(), 200 * MS, false);
    assert!(closed > 150, "many proxies with little traffic closed {closed} connections, expected over 150");
    let few_busy_proxies = Settings { proxy_count: 4, ..with_prices };
    assert_eq!(closed_connections(few_busy_proxies, 5 * MS, false), 0, "few busy proxies closed connections");
    let closed = closed_connections(default_settings(), 200 * MS, false);
    assert_eq!(closed, 0, "closed connections although they have no price");
    let closed = closed_connections(default_settings(), 200 * MS, true);
    assert!(closed > 100, "closed {closed} connections while servers refuse new ones, expected over 100");
    let many_proxies = Settings { proxy_count: 100, ..default_settings() };
    assert_eq!(closed_connections(many_proxies, 200 * MS, true), 0, "closed connections of a subset");
}

/// Returns how many of `proxies` proxies send to each of 60 servers, and the fraction of requests that leave the
/// proxy's zone.
fn connections_per_server(proxies: u32) -> (BTreeMap<ServerId, u32>, f64) {
    let (mut connections, mut cross_zone_fraction) = (BTreeMap::new(), 0.0);
    for proxy_index in 0..proxies {
        let zone = proxy_index % 3;
        let mut proxy = TestProxy::with_servers(
            Settings { proxy_count: proxies, proxy_index, zone, ..default_settings() },
            entries(0..60),
        );
        let mut servers: Vec<ServerId> = (0..400u64).map(|i| proxy.serve(i * 7919, true)).collect();
        let other_zones = entries(0..60).into_iter().filter(|e| e.zone != zone);
        let other_zones: Vec<ServerId> = other_zones.map(|e| e.server).collect();
        let cross_zone = servers.iter().filter(|server| other_zones.contains(server)).count();
        cross_zone_fraction += cross_zone as f64 / 400.0 / f64::from(proxies);
        servers.sort_unstable();
        servers.dedup();
        servers.into_iter().for_each(|server| *connections.entry(server).or_insert(0) += 1);
    }
    (connections, cross_zone_fraction)
}

#[test]
fn many_proxies_together_stay_below_the_connection_limits_of_the_servers() {
    // A server accepts about thirty connections. A subset has at least four servers, so 300 proxies come to a mean of
    // twenty per server.
    for (proxies, bound) in [(100, 24), (300, 36)] {
        let (connections, cross_zone) = connections_per_server(proxies);
        let most = connections.values().max().copied().unwrap_or(0);
        assert_eq!(connections.len(), 60, "each server is in the subset of some proxy");
        assert!(most <= bound, "{proxies} proxies: {most} at one server, expected at most {bound}");
        assert!(
            cross_zone < 0.5,
            "{proxies} proxies: {cross_zone:.2} of the requests leave their zone; an even distribution gives 0.67"
        );
    }
    let (connections, cross_zone) = connections_per_server(4);
    assert!(
        connections.values().all(|n| *n == 4) && cross_zone > 0.6,
        "each of four proxies sends to all servers, whatever their zone"
    );
}

#[test]
fn a_hundred_proxies_together_neither_overload_nor_starve_a_server_in_slow_start() {
    let servers = 60;
    let load = 0.55;
    let recovering = server_id("server-7");
    let started_at = 1000 * SECOND;
    let proxies = (0..100).map(|proxy_index| {
        let mut proxy = TestProxy::new(settings_of_hundred(proxy_index), 1 + u64::from(proxy_index));
        proxy.update_list(ListKind::Cached, entries(0..servers));
        // The proxies have traffic counts when the server starts.
        proxy.now = started_at - 10 * SECOND;
        proxy
    });
    let mut proxies: Vec<TestProxy> = proxies.collect();
    // 16 requests per second at each proxy; a warm server's capacity per second is its even share over the load.
    let capacity = 1600.0 / servers as f64 / load;
    let (mut sends, mut key) = (BTreeMap::new(), 1u64);
    for tick in 0..(34 * 16) {
        for proxy in &mut proxies {
            let now = started_at - 10 * SECOND + tick * SECOND / 16;
            proxy.now = now;
            if now == started_at {
                proxy.update_list(ListKind::Delta, vec![ServerEntry { started_at, ..entry(7) }]);
            }
            if proxy.serve(next_key(&mut key), false) == recovering && now >= started_at {
                *sends.entry((now - started_at) / SECOND).or_insert(0.0) += 1.0;
            }
        }
    }
    let mut mean_fraction = 0.0;
    for second in 0..24u64 {
        let sent = sends.get(&second).copied().unwrap_or(0.0);
        let warm_up_fraction = (0.2 + 0.8 * second as f64 / 20.0).min(1.0);
        assert!(
            sent < 3.0 * warm_up_fraction * capacity,
            "second {second}: {sent} requests at a capacity of {:.0}, overloaded at three times that",
            warm_up_fraction * capacity
        );
        mean_fraction += sent / (warm_up_fraction * capacity * load) / 24.0;
    }
    assert!(
        mean_fraction > 0.5,
        "the server got {mean_fraction:.2} of its share of requests during slow start, expected over 0.5"
    );
}

/// Submits 16 requests per second at each of a hundred proxies. A connection that `accepts` denies is refused; its
/// arguments are the elapsed time, the proxy, the server, and the proxies that each server has served so far.
/// Returns the refused connections of each second, and the proxies that each server served in the last second.
fn serve_with_refused_connections(
    seconds: u64,
    accepts: impl Fn(Nanos, u32, ServerId, &BTreeMap<ServerId, BTreeSet<u32>>) -> bool,
) -> (Vec<u32>, BTreeMap<ServerId, BTreeSet<u32>>) {
    let mut proxies: Vec<TestProxy> = (0..100)
        .map(|proxy_index| TestProxy::with_servers(settings_of_hundred(proxy_index), entries(0..60)))
        .collect();
    let start = proxies[0].now;
    let (mut refused, mut served, mut key) = (vec![0; seconds as usize], BTreeMap::new(), 1u64);
    let mut served_last: BTreeMap<ServerId, BTreeSet<u32>> = BTreeMap::new();
    for tick in 0..seconds * 16 {
        for (proxy_index, proxy) in (0u32..).zip(&mut proxies) {
            proxy.now = start + tick * SECOND / 16;
            let (id, mut actions) = proxy.request(next_key(&mut key));
            for attempt in 0.. {
                let Some(server) = sent_server(&actions) else { break };
                if accepts(proxy.now - start, proxy_index, server, &served) {
                    proxy.finish_attempt(id, attempt, server, Status::Ok, Some(true));
                    served.entry(server).or_default().insert(proxy_index);
                    if tick + 16 >= seconds * 16 {
                        served_last.entry(server).or_default().insert(proxy_index);
                    }
                    break;
                }
                refused[(tick / 16) as usize] += 1;
                actions = proxy.finish_attempt(id, attempt, server, Status::ConnectFailed, None);
            }
        }
    }
    (refused, served_last)
}

#[test]
fn a_lost_zone_does_not_cause_a_connection_storm() {
    let lost: Vec<ServerId> = entries(0..60).into_iter().filter(|e| e.zone == 0).map(|e| e.server).collect();
    let (refused, served_last) = serve_with_refused_connections(20, |elapsed, _, server, _| {
        elapsed < 5 * SECOND || !lost.contains(&server)
    });
    // 100 proxies have about 700 pairs of proxy and server, a third of them lost. Each pair is tried once, then at
    // growing intervals.
    assert!(refused[5] <= 400, "refused connections by second: {refused:?}");
    assert!(
        refused[6..].iter().sum::<u32>() <= 600 && refused[6..].iter().all(|n| *n <= 180),
        "refused connections by second: {refused:?}"
    );
    let most = served_last.values().map(BTreeSet::len).max().unwrap_or(0);
    assert!(
        served_last.len() == 40 && most <= 36,
        "{} servers in use, expected 40; {most} proxies at one server, expected at most 36",
        served_last.len()
    );
}

#[test]
fn a_server_at_its_connection_limit_keeps_serving_the_proxies_connected_to_it() {
    let limited = server_id("server-7");
    let (refused, served_last) = serve_with_refused_connections(20, |_, proxy_index, server, served| {
        server != limited
            || served.get(&server).is_none_or(|proxies| proxies.contains(&proxy_index) || proxies.len() < 4)
    });
    let still_served = served_last.get(&limited).map(BTreeSet::len);
    assert_eq!(still_served, Some(4), "the first four proxies do not all use their connection");
    assert!(refused[10..].iter().sum::<u32>() <= 60, "refused connections by second: {refused:?}");
}

#[test]
fn a_hot_key_is_answered_when_all_ranked_servers_are_in_slow_start() {
    for (proxies, first_key) in [(4, 0), (4, 50), (4, 100), (100, 0), (100, 50), (100, 100)] {
        let mut proxy =
            TestProxy::with_servers(Settings { proxy_count: proxies, ..default_settings() }, entries(0..60));
        proxy.serve_background_keys(0..20);
        let started_at = proxy.now;
        proxy.update_list(
            ListKind::Full,
            entries(100..104).into_iter().map(|e| ServerEntry { started_at, ..e }).collect(),
        );
        for i in 0..400u64 {
            proxy.now += MS;
            let (id, actions) = proxy.request((first_key + i % 4) * 7919);
            match sent_server(&actions) {
                Some(server) => drop(proxy.finish_attempt(id, 0, server, Status::Ok, Some(true))),
                None => assert_eq!(final_answers(&actions), 1),
            }
        }
    }
}

#[test]
fn a_subset_is_the_same_after_a_restart_and_hardly_changes_with_the_list() {
    let (mut moved, mut total) = (0, 0);
    for proxy_index in 0..30 {
        let mut proxy = TestProxy::with_servers(settings_of_hundred(proxy_index), entries(0..60));
        let mut restarted = TestProxy::new(settings_of_hundred(proxy_index), 99);
        restarted.update_list(ListKind::Cached, entries(0..60));
        let before: Vec<ServerId> = (0..200u64).map(|i| proxy.serve(i * 7919, true)).collect();
        let after_restart: Vec<ServerId> = (0..200u64).map(|i| restarted.serve(i * 7919, true)).collect();
        assert_eq!(before, after_restart);
        let mut with_shorter_list = TestProxy::with_servers(settings_of_hundred(proxy_index), entries(0..59));
        let after: Vec<ServerId> = (0..200u64).map(|i| with_shorter_list.serve(i * 7919, true)).collect();
        let removed = entry(59).server;
        let on_remaining = before.iter().zip(&after).filter(|(before, _)| **before != removed);
        moved += on_remaining.clone().filter(|(before, after)| before != after).count();
        total += on_remaining.count();
    }
    assert!(
        moved * 20 < total,
        "{moved} of {total} keys of remaining servers moved, expected under a twentieth"
    );
}

#[test]
fn a_silent_origin_does_not_eject_the_caches_of_its_zone() {
    let (settings, list, origin) = cache_aside_fleet();
    let mut proxy = TestProxy::with_servers(Settings { zone: 1, ..settings }, list.clone());
    fetch_misses(&mut proxy, origin, 0..12, Status::Timeout);
    let zone_of = |s: ServerId| list.iter().find(|e| e.server == s).map(|e| e.zone);
    let zones: Vec<_> =
        (0..200u64).filter_map(|i| sent_server(&proxy.request(i * 104_729).1)).map(zone_of).collect();
    assert!(zones.iter().filter(|zone| **zone == Some(0)).count() > 20);
}

#[test]
fn immediate_rejections_do_not_cause_shedding() {
    let mut proxy = TestProxy::with_servers(default_settings(), entries(0..20));
    proxy.serve_background_keys(0..50);
    let mut refused = 0;
    for i in 0..200u64 {
        proxy.now += 20 * MS;
        let (id, mut actions) = proxy.request(0x6000_0000 + i * 7919);
        refused += u32::from(sent_server(&actions).is_none());
        let mut attempt = 0;
        while let Some(server) = sent_server(&actions) {
            actions = proxy.finish_attempt(id, attempt, server, Status::Rejected, None);
            attempt += 1;
        }
    }
    assert_eq!(refused, 0, "requests refused although servers only rejected the earlier ones");
}

#[test]
fn a_cache_aside_fleet_stops_retrying_rejected_requests_when_rejections_are_frequent() {
    let (settings, list, _) = cache_aside_fleet();
    let mut proxy = TestProxy::with_servers(settings, list);
    proxy.serve_background_keys(0..100);
    let mut retried = 0;
    for i in 0..100u64 {
        proxy.now += 20 * MS;
        let (id, actions) = proxy.request(0x8000_0000 + i * 7919);
        let server = sent_server(&actions).expect("the request is sent");
        let actions = proxy.finish_attempt(id, 0, server, Status::Rejected, None);
        if let Some(next) = sent_server(&actions) {
            retried += 1;
            proxy.finish_attempt(id, 1, next, Status::Ok, Some(true));
        }
    }
    assert!((1..10).contains(&retried), "{retried} of 100 rejected requests retried, expected 1 to 9");
}

#[test]
fn a_server_drained_by_an_operator_gets_no_new_requests_whatever_a_list_says_until_undrained() {
    // Each round requests new keys, since a key that was requested before may be pinned to another server.
    let mut keys = 0..;
    let mut servers_of_new_keys = |proxy: &mut TestProxy| -> HashSet<ServerId> {
        keys.by_ref().take(200).map(|key| proxy.serve(key * 7919, true)).collect()
    };
    let mut proxy = TestProxy::with_servers(default_settings(), entries(0..6));
    let (listed, unlisted) = (entry(2).server, entry(9).server);
    assert!(servers_of_new_keys(&mut proxy).contains(&listed));
    // The event carries the whole set, which may name servers that no list has named yet.
    proxy.handle(Event::OperatorDrained(vec![listed, unlisted]));
    assert!(!servers_of_new_keys(&mut proxy).contains(&listed));
    for kind in [ListKind::Full, ListKind::Delta, ListKind::Cached] {
        proxy.update_list(kind, entries(0..10));
        let servers = servers_of_new_keys(&mut proxy);
        assert!(!servers.contains(&listed) && !servers.contains(&unlisted), "{kind:?} list");
    }
    // A server that is removed and listed again is still drained.
    proxy.update_list(ListKind::Full, entries(3..6));
    proxy.update_list(ListKind::Full, entries(0..10));
    assert!(!servers_of_new_keys(&mut proxy).contains(&listed));
    proxy.handle(Event::OperatorDrained(vec![unlisted]));
    let servers = servers_of_new_keys(&mut proxy);
    assert!(servers.contains(&listed) && !servers.contains(&unlisted));
    // An attempt pending at the time of the drain ends as usual; its retry goes to another server.
    let (key, id, actions) = (0..)
        .map(|key| (key, proxy.request(key)))
        .find_map(|(key, (id, actions))| {
            (sent_server(&actions) == Some(listed)).then_some((key, id, actions))
        })
        .expect("a key of the listed server");
    assert_eq!(final_answers(&actions), 0);
    proxy.handle(Event::OperatorDrained(vec![listed]));
    let retry = proxy.finish_attempt(id, 0, listed, Status::Reset, None);
    assert!(
        sent_server(&retry).is_some_and(|server| server != listed),
        "key {key}: expected a retry at another server, got {retry:?}"
    );
}

#[test]
fn new_settings_apply_from_the_next_request_on() {
    let mut proxy = TestProxy::with_servers(default_settings(), entries(0..6));
    let (id, actions) = proxy.request(1);
    let server = sent_server(&actions).expect("the request is sent");
    let actions = proxy.finish_attempt(id, 0, server, Status::Reset, None);
    assert!(sent_server(&actions).is_some());
    proxy.handle(Event::Settings(Box::new(Settings { max_attempts: 1, ..default_settings() })));
    let (id, actions) = proxy.request(2);
    let server = sent_server(&actions).expect("the request is sent");
    let actions = proxy.finish_attempt(id, 0, server, Status::Reset, None);
    assert_eq!((sent_server(&actions), final_answers(&actions)), (None, 1));
}
