//! The module's decisions, one behaviour a test.

mod common;
use calicosaddle::api::*;
use common::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const KEY: u64 = 0xabcdef;

/// The settings of one of a hundred proxies.
fn thin(me: u32) -> Settings {
    Settings { proxy_count: 100, proxy_index: me, zone: me % 3, ..settings() }
}

/// The next of a row of keys without end.
fn next_key(state: &mut u64) -> u64 {
    *state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
    *state >> 20
}

/// Where each of many keys goes first, at a proxy with this history of lists that has seen some traffic.
fn homes(histories: &[(ListKind, Vec<ServerEntry>)]) -> BTreeMap<u64, ServerId> {
    let mut p = Proxy::new(settings(), 5);
    for (kind, entries) in histories {
        p.list(*kind, entries.clone());
    }
    p.crowd(0..300);
    (0..400u64).map(|key| (key, p.served(key * 0x1234_5677, true))).collect()
}

#[test]
fn straight_hits_pin_and_the_pin_stays_through_misses() {
    let mut p = Proxy::with(settings(), entries(0..20));
    p.crowd(0..300);
    let first = p.served(KEY, true);
    for _ in 0..3 {
        assert_eq!(p.served(KEY, true), first);
        p.crowd(0..100);
    }
    for _ in 0..4 {
        assert_eq!(p.served(KEY, false), first, "a pinned bucket stays");
        p.crowd(0..100);
    }
}

#[test]
fn misses_move_an_undecided_bucket_to_its_other_candidate() {
    let mut p = Proxy::with(settings(), entries(0..20));
    p.crowd(0..300);
    let mut asked = Vec::new();
    for _ in 0..8 {
        asked.push(p.served(KEY, false));
        p.crowd(0..100);
    }
    asked.sort_unstable();
    asked.dedup();
    assert_eq!(asked.len(), 2, "sigma candidates, and no other server");
}

#[test]
fn a_pin_reopens_when_its_server_is_gone() {
    let mut p = Proxy::with(settings(), entries(0..20));
    p.crowd(0..300);
    let first = p.served(KEY, true);
    for _ in 0..4 {
        p.served(KEY, true);
        p.crowd(0..100);
    }
    let gone = entries(0..20).into_iter().find(|e| e.server == first).expect("listed");
    p.list(ListKind::Delta, vec![ServerEntry { state: ServerState::Removed, ..gone }]);
    let next = p.served(KEY, true);
    assert_ne!(next, first);
    p.crowd(0..100);
    assert_eq!(p.served(KEY, true), next);
}

#[test]
fn candidates_do_not_depend_on_the_history_of_the_list() {
    let full = entries(0..30);
    let mut reversed = full.clone();
    reversed.reverse();
    let straight = homes(&[(ListKind::Cached, full.clone())]);
    let other = homes(&[
        (ListKind::Cached, entries(10..60)),
        (ListKind::Full, entries(25..50)),
        (ListKind::Full, reversed),
    ]);
    assert_eq!(straight, other);
}

#[test]
fn a_removed_server_disturbs_only_its_own_keys() {
    let before = homes(&[(ListKind::Cached, entries(0..30))]);
    let after = homes(&[(ListKind::Cached, entries(1..30))]);
    let removed = entry(0).server;
    for (key, home) in &before {
        if *home != removed {
            assert_eq!(after[key], *home);
        }
    }
    assert!(before.values().any(|h| *h == removed));
}

#[test]
fn weights_decide_how_many_keys_a_server_gets() {
    let mut list = entries(0..10);
    list[0].weight = 4.0;
    let heavy = list[0].server;
    let homes = homes(&[(ListKind::Cached, list)]);
    let part = homes.values().filter(|h| **h == heavy).count();
    assert!((80..180).contains(&part), "4 of 13 parts of 400 keys, not {part}");
}

#[test]
fn a_draining_server_gets_nothing_new() {
    let mut list = entries(0..3);
    let mut p = Proxy::with(settings(), list.clone());
    list[0].state = ServerState::Draining;
    p.list(ListKind::Delta, vec![list[0].clone()]);
    for key in 0..200 {
        assert_ne!(p.served(key * 977, true), list[0].server);
    }
}

#[test]
fn a_hot_key_is_spread_over_several_servers() {
    let mut p = Proxy::with(settings(), entries(0..20));
    let mut asked = std::collections::BTreeSet::new();
    for i in 0..200u64 {
        p.now += 2 * MS;
        asked.insert(p.served(if i % 2 == 0 { KEY } else { i * 7919 }, true));
        p.now += 2 * MS;
    }
    let on_key: std::collections::BTreeSet<_> = (0..20).map(|_| p.served(KEY, true)).collect();
    assert!(on_key.len() >= 4, "half of all traffic on {} servers", on_key.len());
}

#[test]
fn a_silent_server_is_left_and_tried_again_later() {
    let mut p = Proxy::with(settings(), entries(0..20));
    p.crowd(0..100);
    let first = p.served(KEY, true);
    let mut left = false;
    for _ in 0..3 {
        let (id, actions) = p.ask(KEY);
        let server = sent(&actions).expect("sent");
        left |= server != first;
        p.now += 400 * MS;
        p.end_after(id, 0, server, Status::Timeout, None, 400 * MS);
        p.crowd(0..5);
    }
    assert!(left, "time-outs in a row must send the key elsewhere");
    p.now += 60 * SECOND;
    p.crowd(0..300);
    let mut back = Vec::new();
    for _ in 0..4 {
        back.push(p.served(KEY, true));
        p.crowd(0..100);
    }
    assert!(back.contains(&first), "after its suspicion the server is tried again");
}

#[test]
fn a_silent_server_is_not_cleared_by_what_it_turns_away() {
    let mut p = Proxy::with(settings(), entries(0..20));
    p.crowd(0..100);
    let first = p.served(KEY, true);
    for _ in 0..3 {
        for status in [Status::Timeout, Status::Rejected] {
            let (id, actions) = p.ask(KEY);
            if sent(&actions) != Some(first) {
                return;
            }
            p.now += 400 * MS;
            p.end_after(id, 0, first, status, None, 400 * MS);
        }
        p.crowd(0..5);
    }
    panic!("three time-outs, and the key still goes there");
}

#[test]
fn a_server_is_left_when_all_its_connections_break_not_for_some() {
    for (status, rounds) in
        [(Status::Reset, 2..=4), (Status::Malformed, 2..=4), (Status::ConnectFailed, 1..=1)]
    {
        let mut p = Proxy::with(settings(), entries(0..20));
        p.crowd(0..400);
        let first = p.served(KEY, true);
        let mut kept = 0;
        for _ in 0..8 {
            let (id, mut actions) = p.ask(KEY);
            if sent(&actions) != Some(first) {
                break;
            }
            // It breaks at each attempt, other servers answer.
            for attempt in 0.. {
                let Some(server) = sent(&actions) else { break };
                let end = if server == first { status } else { Status::Ok };
                actions = p.end(id, attempt, server, end, None);
            }
            kept += 1;
        }
        assert!(rounds.contains(&kept), "{status:?}: asked in {kept} rounds");
    }
}

#[test]
fn a_server_that_turns_requests_away_is_sent_fewer_at_once() {
    let mut p = Proxy::with(settings(), entries(0..20));
    p.crowd(0..400);
    let first = (0..5).map(|_| p.served(KEY, true)).last().expect("one");
    let (one, actions) = p.ask(KEY);
    assert_eq!(sent(&actions), Some(first));
    // It has no room for two.
    let mut turned_away = 0;
    for _ in 0..8 {
        let (two, actions) = p.ask(KEY);
        let mut server = sent(&actions).expect("sent");
        if server == first {
            turned_away += 1;
            server = sent(&p.end(two, 0, first, Status::Rejected, None)).expect("sent again");
            p.end(two, 1, server, Status::Ok, Some(false));
        } else {
            p.end(two, 0, server, Status::Ok, Some(false));
        }
    }
    assert!((1..6).contains(&turned_away), "{turned_away} of 8 were sent there");
    // One at a time it goes on to take.
    p.end(one, 0, first, Status::Ok, Some(true));
    assert_eq!(p.served(KEY, true), first);
}

#[test]
fn a_cold_server_gets_no_more_than_it_can_bear() {
    // Danger: a burst of hot keys soon after a start pushes a cold server over for good.
    let mut list = entries(0..4);
    let mut p = Proxy::with(settings(), list.clone());
    for i in 0..2000u64 {
        p.now += 2 * MS;
        p.served(i * 7919, true);
    }
    list[0].started_at = p.now;
    let cold = list[0].server;
    p.list(ListKind::Delta, vec![list[0].clone()]);
    let mut to_cold = 0;
    for i in 0..45u64 {
        to_cold += usize::from(p.served(i * 7919, true) == cold);
    }
    // 45 requests in 0.9 s over four servers, one of them at a fifth: at three times that it would fall.
    assert!(to_cold <= 7, "{to_cold} of 45");
}

#[test]
fn a_restarted_proxy_keeps_the_cold_budget() {
    let mut list = entries(0..4);
    list[0].started_at = 999 * SECOND;
    let mut p = Proxy::with(settings(), list.clone());
    let to_cold = (0..200u64).filter(|i| p.served(i * 7919, true) == list[0].server).count();
    assert!(to_cold <= 30, "{to_cold} of 200 at a proxy that knows nothing yet");
}

/// Asks 400 times, every 20 ms; each client leaves while so many others have asked. Tells how many were refused.
fn left_after(p: &mut Proxy, others: usize) -> u32 {
    let (mut refused, mut waiting) = (0, VecDeque::new());
    for i in 0..400u64 {
        p.now += 20 * MS;
        let (id, actions) = p.ask(i * 7919);
        match sent(&actions) {
            Some(_) => waiting.push_back((p.now, id)),
            None => refused += 1,
        }
        let until = p.now - others as u64 * 20 * MS;
        while let Some((_, id)) = waiting.pop_front_if(|(at, _)| *at <= until) {
            p.event(Event::Abandoned(id));
        }
    }
    refused
}

#[test]
fn clients_that_leave_before_their_answer_is_due_are_no_jam() {
    let mut p = Proxy::with(settings(), entries(0..10));
    p.crowd(0..50);
    assert_eq!(left_after(&mut p, 3), 0);
}

#[test]
fn a_jam_is_shed_and_clears() {
    // Danger: repeats keep servers jammed that go on with work nobody waits for.
    let mut p = Proxy::with(settings(), entries(0..10));
    p.crowd(0..50);
    let refused = left_after(&mut p, 16);
    assert!(refused > 200, "{refused} of 400 refused while nothing is served");
    for i in 0..2000u64 {
        p.now += 20 * MS;
        let (id, actions) = p.ask(i * 7919);
        if let Some(server) = sent(&actions) {
            p.end(id, 0, server, Status::Ok, Some(true));
        }
    }
    let taken = (0..100u64).filter(|i| sent(&p.ask(i * 7919).1).is_some()).count();
    assert_eq!(taken, 100, "all is taken again once it is served");
}

#[test]
fn the_last_try_of_a_client_does_not_make_first_tries_look_late() {
    // Danger: a last try is given all the time left, more than a first one; refusing by the longest time seen
    // refuses nearly everything for good.
    let mut p = Proxy::with(settings(), entries(0..10));
    p.crowd(0..50);
    let long = Request { key: Some(1), remaining: 790 * MS, ..Request::default() };
    p.ask_as(long);
    for i in 0..300u64 {
        p.now += 10 * MS;
        let (id, _) = p.ask_as(Request { key: Some(i), remaining: 500 * MS, ..Request::default() });
        if i < 40 {
            p.event(Event::Abandoned(id));
        }
    }
    let mut taken = 0;
    for i in 0..1500u64 {
        p.now += 10 * MS;
        let (id, a) = p.ask_as(Request { key: Some(i * 31), remaining: 500 * MS, ..Request::default() });
        if let Some(server) = sent(&a) {
            taken += 1;
            p.end(id, 0, server, Status::Ok, Some(true));
        }
    }
    assert!(taken > 800, "{taken} of 1500 taken");
}

#[test]
fn a_slow_answer_is_hedged_once_and_the_loser_cancelled() {
    let mut p = Proxy::with(settings(), entries(0..10));
    p.crowd(0..100);
    let (id, actions) = p.ask(KEY);
    let first = sent(&actions).expect("sent");
    let token =
        actions.iter().find_map(|a| if let Action::Timer { token, .. } = a { Some(*token) } else { None });
    p.now += 150 * MS;
    let second = sent(&p.event(Event::Timer(token.expect("timer")))).expect("hedged");
    assert_ne!(first, second);
    let actions = p.end(id, 1, second, Status::Ok, Some(true));
    assert!(actions.contains(&Action::Cancel { id, attempt: 0 }));
}

#[test]
fn no_servers_no_time_and_odd_settings_are_answered() {
    let mut p = Proxy::with(Settings::default(), Vec::new());
    let (_, actions) = p.ask(1);
    assert_eq!(finals(&actions), 1);
    let mut p = Proxy::with(settings(), entries(0..3));
    let (_, actions) = p.ask_as(Request { class: 9, key: None, remaining: 0, ..Request::default() });
    assert_eq!(finals(&actions), 1);
    let mut odd = entry(1);
    odd.weight = f64::NAN;
    p.list(ListKind::Full, vec![odd]);
    assert!(sent(&p.ask(5).1).is_some());
    assert!(p.end(999, 7, 1, Status::Ok, None).is_empty());
    assert!(p.event(Event::Timer(u64::MAX)).is_empty());
}

#[test]
fn aside_misses_and_writes_go_to_the_origin_and_nothing_else_does() {
    let mut s = settings();
    s.cache_aside = true;
    s.origin_kind = Some(5);
    let mut list = entries(0..6);
    list[2].kind = 5;
    let origin = list[2].server;
    let mut p = Proxy::with(s, list);
    for key in 0..50 {
        assert_ne!(p.served(key * 7919, true), origin);
    }
    let (id, actions) = p.ask(KEY);
    let server = sent(&actions).expect("sent");
    let actions = p.end(id, 0, server, Status::Miss, Some(false));
    assert_eq!(sent(&actions), Some(origin));
    let write = Request { key: Some(1), write: true, remaining: 500 * MS, ..Request::default() };
    assert_eq!(sent(&p.ask_as(write).1), Some(origin));
}

#[test]
fn the_old_list_stays_in_use_when_a_call_for_a_new_one_fails() {
    let mut p = Proxy::with(settings(), entries(0..5));
    assert!(p.list(ListKind::Failed, Vec::new()).is_empty());
    assert!(sent(&p.ask(1).1).is_some());
}

#[test]
fn a_proxy_with_an_old_list_gives_up_on_a_box_that_has_gone_by_evidence() {
    let mut p =
        Proxy::with(Settings { proxy_count: 100, poll_discovery: true, ..settings() }, entries(0..60));
    p.crowd(0..300);
    let gone = p.served(KEY, true);
    // A request every 60 ms, as one of a hundred proxies has; connections to the box are refused.
    let (mut to_it, mut others) = (0, 0);
    for k in 0..300u64 {
        p.now += 60 * MS;
        let (id, actions) = p.ask(if k % 3 == 0 { KEY } else { k * 7919 });
        let server = sent(&actions).expect("sent");
        if server == gone {
            to_it += 1;
            let actions = p.end(id, 0, server, Status::ConnectFailed, None);
            let next = sent(&actions).expect("tried elsewhere");
            assert_ne!(next, gone);
            p.end(id, 1, next, Status::Ok, Some(true));
        } else {
            others += 1;
            p.end(id, 0, server, Status::Ok, Some(true));
        }
    }
    assert!(to_it <= 5 && others > 290, "{to_it} of 300 were sent to a box that has gone");
}

#[test]
fn a_thin_proxy_leaves_a_silent_box_after_two_outcomes() {
    let mut p = Proxy::with(Settings { proxy_count: 100, ..settings() }, entries(0..60));
    p.crowd(0..300);
    // Once a second or less, so that no third silence is waited for.
    for k in 0..600u64 {
        p.now += 60 * MS;
        p.served(0x4444_0000 + k * 7919, true);
    }
    let silent = p.served(KEY, true);
    let mut outcomes = 0;
    for k in 0..20u64 {
        p.now += 60 * MS;
        let (id, actions) = p.ask(KEY);
        let server = sent(&actions).expect("sent");
        if server == silent {
            outcomes += 1;
            p.end_after(id, 0, server, Status::Timeout, None, 400 * MS);
        } else {
            p.end(id, 0, server, Status::Ok, Some(true));
        }
        p.served(0x7777_0000 + k * 7919, true);
    }
    assert!(outcomes <= 2, "{outcomes} requests to a box that says nothing");
}

#[test]
fn six_in_ten_boxes_replaced_within_seconds_lose_their_keys_and_no_others() {
    let (mut moved, mut stayed) = (0, 0);
    for me in 0..10 {
        let mut p = Proxy::with(thin(me), entries(0..60));
        p.crowd(0..200);
        let before: BTreeMap<u64, ServerId> =
            (0..200u64).map(|k| (k * 7919, p.served(k * 7919, true))).collect();
        // In six rounds six boxes drain, go, and as many new ones come, cold.
        for round in 0..6u64 {
            let old = entries(round * 6..round * 6 + 6);
            let old = |state| old.iter().map(|e| ServerEntry { state, ..e.clone() }).collect::<Vec<_>>();
            p.list(ListKind::Delta, old(ServerState::Draining));
            for k in 0..20u64 {
                p.now += 60 * MS;
                let server = p.served(0x5555_0000 + (round * 20 + k) * 7919, true);
                assert!(
                    old(ServerState::Removed).iter().all(|e| e.server != server),
                    "sent to a draining box"
                );
            }
            p.list(ListKind::Delta, old(ServerState::Removed));
            let started = p.now;
            let new = entries(100 + round * 6..106 + round * 6)
                .into_iter()
                .map(|e| ServerEntry { started_at: started, ..e });
            p.list(ListKind::Delta, new.collect());
        }
        // Once the new ones are warm, all but the keys that they were given are where they were.
        p.now += 30 * SECOND;
        p.crowd(0..300);
        let left: Vec<ServerId> = entries(36..60).iter().map(|e| e.server).collect();
        let new: Vec<ServerId> = entries(100..136).iter().map(|e| e.server).collect();
        for (key, server) in before.into_iter().filter(|(_, s)| left.contains(s)) {
            let now_at = p.served(key, true);
            assert!(left.contains(&now_at) || new.contains(&now_at), "sent to a box that has gone");
            *(if now_at == server || new.contains(&now_at) { &mut stayed } else { &mut moved }) += 1;
        }
    }
    assert!(moved * 5 < stayed, "{moved} keys moved between boxes that stayed, {stayed} did not");
}

#[test]
fn a_silence_weighs_by_how_often_this_proxy_sends_to_its_subset_and_not_by_the_whole_fleet() {
    let mut p = Proxy::with(Settings { proxy_count: 300, ..settings() }, entries(0..200));
    for key in 0..400u64 {
        p.now += 50 * MS;
        p.served(key * 104_729, true);
    }
    // Twenty requests a second to seven servers: each is asked often enough for one silence to say little.
    let (id, actions) = p.ask(7);
    let first = sent(&actions).expect("sent");
    p.end_after(id, 0, first, Status::Timeout, None, 400 * MS);
    assert_eq!(p.brain.unavailable_servers(p.now), 0);
    // The second says enough.
    let (id, actions) = p.ask(7);
    assert_eq!(sent(&actions), Some(first));
    p.end_after(id, 0, first, Status::Timeout, None, 400 * MS);
    assert_eq!(p.brain.unavailable_servers(p.now), 1);
}

#[test]
fn what_was_not_sent_says_nothing_of_its_server_and_a_repeat_of_it_costs_next_to_nothing() {
    let mut p = Proxy::with(settings(), entries(0..30));
    p.crowd(0..200);
    for key in 0..300u64 {
        p.now += 5 * MS;
        let (id, actions) = p.ask(key * 104_729);
        let first = sent(&actions).expect("sent");
        let actions = p.end_after(id, 0, first, Status::NotSent, None, 0);
        let second = sent(&actions).unwrap_or_else(|| panic!("request {key} is not sent again: {actions:?}"));
        assert!(second != first && p.brain.unavailable_servers(p.now) == 0, "request {key}");
        p.end(id, 1, second, Status::Ok, Some(true));
    }
}

#[test]
fn what_was_not_sent_took_nothing_of_what_a_cold_server_bears() {
    let started = 1000 * SECOND;
    let list: Vec<ServerEntry> =
        entries(0..2).into_iter().map(|e| ServerEntry { started_at: started, ..e }).collect();
    let mut p = Proxy::with(settings(), list);
    // What they bear at this moment is soon used up.
    let mut out = 0;
    while sent(&p.ask(out * 104_729).1).is_some() {
        out += 1;
        assert!(out < 50, "cold servers take {out} at once");
    }
    // Until one of them bears one more; that is never written, and the next may go in its place.
    let (id, server) = (0..150)
        .find_map(|_| {
            p.now += 100 * MS;
            let (id, actions) = p.ask(7);
            Some((id, sent(&actions)?))
        })
        .expect("they warm up");
    assert!(sent(&p.ask(7).1).is_none());
    let actions = p.end_after(id, 0, server, Status::NotSent, None, 0);
    assert!(sent(&actions).is_none(), "the other bears one more as well");
    assert_eq!(sent(&p.ask(7).1), Some(server));
}

#[test]
fn a_cut_zone_is_left_alone_as_a_whole() {
    // Danger: finding each of its servers silent by itself costs a lost request a server.
    let list = entries(0..90);
    let mut p = Proxy::with(settings(), list.clone());
    let zone_of = |s: ServerId| list.iter().find(|e| e.server == s).map(|e| e.zone);
    let mut lost = 0;
    for i in 0..300u64 {
        p.now += 10 * MS;
        let (id, actions) = p.ask(i * 7919);
        let Some(server) = sent(&actions) else { continue };
        if zone_of(server) == Some(1) {
            lost += 1;
            p.end_after(id, 0, server, Status::Timeout, None, 400 * MS);
            p.event(Event::Abandoned(id));
        } else {
            p.end(id, 0, server, Status::Ok, Some(true));
        }
    }
    assert!((1..20).contains(&lost), "{lost} of 300 requests lost in 3 s to a zone of 30 servers");
}

#[test]
fn while_shedding_buckets_that_hit_go_on_first() {
    // Danger: where misses have jammed the origin, refusing hits gives up what can be served and frees nothing.
    let mut p = Proxy::with(settings(), entries(0..10));
    for _ in 0..10 {
        for key in 0..20u64 {
            p.now += 5 * MS;
            p.served(key * 7919, true);
        }
    }
    let (mut known, mut unknown, mut waiting) = (0, 0, VecDeque::new());
    for i in 0..400u64 {
        p.now += 10 * MS;
        let hit = i % 2 == 0;
        let key = if hit { i % 20 * 7919 } else { 0x1000_0000 + i * 7919 };
        let (id, actions) = p.ask(key);
        let Some(server) = sent(&actions) else { continue };
        if hit {
            known += 1;
            p.end(id, 0, server, Status::Ok, Some(true));
        } else {
            unknown += 1;
            waiting.push_back((p.now, id, server));
        }
        let until = p.now - 320 * MS;
        while let Some((_, id, server)) = waiting.pop_front_if(|(at, ..)| *at <= until) {
            p.event(Event::Abandoned(id));
            p.end(id, 0, server, Status::Timeout, None);
        }
    }
    assert!(known > unknown + 30, "{known} requests of hitting buckets taken, {unknown} of others");
}

#[test]
fn fetches_that_fail_are_not_asked_again_elsewhere_while_the_origin_fails() {
    // Danger: one failed fetch asked again at other servers is one fetch more for each at a failing origin.
    let mut p = Proxy::with(settings(), entries(0..10));
    p.crowd(0..200);
    let (id, actions) = p.ask(0x7000_0001);
    let lone = p.end(id, 0, sent(&actions).expect("sent"), Status::Error, None);
    assert!(sent(&lone).is_some(), "a lone error is tried elsewhere");
    let mut again = 0;
    for i in 0..60u64 {
        p.crowd(i * 10..i * 10 + 4);
        let (id, actions) = p.ask(0x7000_1000 + i * 7919);
        let Some(server) = sent(&actions) else { continue };
        let after = p.end(id, 0, server, Status::Error, None);
        again += usize::from(i >= 20 && sent(&after).is_some());
    }
    assert_eq!(again, 0, "errors tried again while a fifth of the outcomes are errors");
}

#[test]
fn refused_connections_are_tried_elsewhere_far_beyond_the_budget() {
    // Danger: with servers gone and the list late, a spent budget refuses what the next server could serve.
    let mut p = Proxy::with(settings(), entries(0..60));
    p.crowd(0..20);
    let mut tried = 0;
    for i in 0..20u64 {
        p.now += 50 * MS;
        let (id, actions) = p.ask(0x5000_0000 + i * 7919);
        let first = sent(&actions).expect("sent");
        let second = sent(&p.end(id, 0, first, Status::ConnectFailed, None));
        tried += usize::from(second.is_some());
        second.map(|s| p.end(id, 1, s, Status::Ok, Some(true)));
    }
    assert!(tried >= 18, "{tried} of 20 tried again");
}

fn aside() -> (Settings, Vec<ServerEntry>, ServerId) {
    let mut list = entries(0..12);
    list.push(ServerEntry { kind: 1, ..entry(99) });
    (Settings { cache_aside: true, origin_kind: Some(1), ..settings() }, list, server_id("server-99"))
}

/// Asks for fresh keys, lets each miss and ends the fetch at the origin with `status`; returns how many fetches
/// there were.
fn misses(p: &mut Proxy, origin: ServerId, keys: std::ops::Range<u64>, status: Status) -> usize {
    let mut fetches = 0;
    for k in keys {
        p.now += 50 * MS;
        let (id, actions) = p.ask(0x5000_0000 + k * 7919);
        let Some(cache) = sent(&actions) else { continue };
        assert_ne!(cache, origin);
        let actions = p.end(id, 0, cache, Status::Miss, Some(false));
        if sent(&actions) == Some(origin) {
            fetches += 1;
            p.now += 50 * MS;
            let actions = p.end_after(id, 1, origin, status, None, 400 * MS);
            assert_eq!(sent(&actions), None, "a failed fetch is not asked again at once");
        }
    }
    fetches
}

#[test]
fn a_jammed_origin_gets_fewer_fetches_and_hits_go_on() {
    let (settings, list, origin) = aside();
    let mut p = Proxy::with(settings, list);
    misses(&mut p, origin, 0..100, Status::Timeout);
    assert!(misses(&mut p, origin, 100..200, Status::Timeout) < 50, "the origin is spared");
    for k in 0..50 {
        p.now += 20 * MS;
        p.served(0x7000_0000 + k * 7919, true);
    }
    misses(&mut p, origin, 200..500, Status::Ok);
    assert!(misses(&mut p, origin, 500..600, Status::Ok) > 80, "and used again once it keeps up");
}

#[test]
fn the_origins_times_do_not_make_caches_look_slow_or_silent() {
    let (settings, list, origin) = aside();
    let mut p = Proxy::with(settings, list);
    p.crowd(0..200);
    let (id, actions) = p.ask(KEY);
    let cache = sent(&actions).expect("sent");
    let actions = p.end(id, 0, cache, Status::Miss, Some(false));
    assert_eq!(sent(&actions), Some(origin));
    assert!(!actions.iter().any(|a| matches!(a, Action::Timer { .. })), "no second copy of a fetch");
}

#[test]
fn a_bucket_seen_once_or_twice_by_a_thin_proxy_is_not_spread() {
    let mut p = Proxy::with(settings(), entries(0..20));
    let firsts: Vec<ServerId> = (0..20)
        .map(|k| {
            p.now += SECOND;
            p.served(k, true)
        })
        .collect();
    for (k, first) in firsts.iter().enumerate() {
        p.now += SECOND;
        assert_eq!(p.served(k as u64, true), *first);
    }
}

#[test]
fn a_heavy_request_that_takes_its_time_is_no_silent_server() {
    let mut p = Proxy::with(settings(), entries(0..10));
    let hinted = |hint| Request {
        key: Some(KEY),
        expected_work: Some(hint),
        remaining: 800 * MS,
        ..Request::default()
    };
    for _ in 0..40 {
        p.now += 100 * MS;
        let (id, actions) = p.ask_as(hinted(MS));
        p.end(id, 0, sent(&actions).expect("sent"), Status::Ok, Some(true));
    }
    let wait = |actions: &[Action]| {
        let delays = actions.iter().filter_map(|a| match a {
            Action::Timer { delay, .. } => Some(*delay),
            _ => None,
        });
        delays.min()
    };
    let usual = wait(&p.ask_as(hinted(MS)).1).expect("a timer");
    let heavy = wait(&p.ask_as(hinted(10 * MS)).1).unwrap_or(Nanos::MAX);
    assert!(heavy > usual * 2, "{heavy} against {usual}");
}

/// Connections closed while a proxy asks for 200 keys, `gap` apart.
fn closed(settings: Settings, gap: Nanos, refused: bool) -> usize {
    let mut p = Proxy::with(settings, entries(0..50));
    let mut closed = 0;
    for k in 0..200 {
        p.now += gap;
        let (id, actions) = p.ask(k * 7919);
        let server = sent(&actions).expect("sent");
        let mut actions = Vec::new();
        if refused && k % 5 == 0 {
            actions = p.end(id, 0, server, Status::ConnectFailed, None);
        }
        let n = u32::from(!actions.is_empty());
        let server = sent(&actions).unwrap_or(server);
        let actions = p.end(id, n, server, Status::Ok, Some(true));
        closed += actions.iter().filter(|a| matches!(a, Action::CloseIdle(_))).count();
    }
    closed
}

#[test]
fn connections_needed_again_too_late_are_closed() {
    let priced = Settings { connection_price: 0.2, handshake_price: 0.1, proxy_count: 1000, ..settings() };
    assert!(closed(priced.clone(), 200 * MS, false) > 150, "many thin proxies close");
    assert_eq!(closed(Settings { proxy_count: 4, ..priced }, 5 * MS, false), 0, "few busy ones keep");
    assert_eq!(closed(settings(), 200 * MS, false), 0, "without a price nothing is closed");
    assert!(closed(settings(), 200 * MS, true) > 100, "unless servers refuse connections");
    let many = Settings { proxy_count: 100, ..settings() };
    assert_eq!(closed(many, 200 * MS, true), 0, "a subset's connections are kept");
}

/// How many of so many proxies send to each of 60 servers, and the part of their requests that leave their zone.
fn connected(proxies: u32) -> (BTreeMap<ServerId, u32>, f64) {
    let (mut at, mut far) = (BTreeMap::new(), 0.0);
    for me in 0..proxies {
        let zone = me % 3;
        let mut p = Proxy::with(
            Settings { proxy_count: proxies, proxy_index: me, zone, ..settings() },
            entries(0..60),
        );
        let asked: Vec<ServerId> = (0..400u64).map(|k| p.served(k * 7919, true)).collect();
        let abroad = entries(0..60).into_iter().filter(|e| e.zone != zone);
        let abroad: Vec<ServerId> = abroad.map(|e| e.server).collect();
        far += asked.iter().filter(|s| abroad.contains(s)).count() as f64 / 400.0 / f64::from(proxies);
        let mut servers = asked;
        servers.sort_unstable();
        servers.dedup();
        servers.into_iter().for_each(|s| *at.entry(s).or_insert(0) += 1);
    }
    (at, far)
}

#[test]
fn many_proxies_share_out_the_connections_that_servers_have() {
    // Some thirty are accepted. A subset has four servers at the least: 300 proxies come to twenty a server.
    for (proxies, bound) in [(100, 24), (300, 36)] {
        let (at, far) = connected(proxies);
        let most = at.values().max().copied().unwrap_or(0);
        assert_eq!(at.len(), 60, "each server serves somebody");
        assert!(most <= bound, "{proxies} proxies: {most} at one server");
        assert!(far < 0.5, "{proxies} proxies: {far:.2} of the requests leave their zone, 0.67 by chance");
    }
    let (at, far) = connected(4);
    assert!(at.values().all(|n| *n == 4) && far > 0.6, "few proxies come to all servers, as before");
}

#[test]
fn a_hundred_proxies_together_neither_push_over_a_cold_server_nor_starve_it() {
    let servers = 60;
    let load = 0.55;
    let cold = server_id("server-7");
    let born = 1000 * SECOND;
    let proxies = (0..100).map(|me| {
        let mut p = Proxy::new(thin(me), 1 + u64::from(me));
        p.list(ListKind::Cached, entries(0..servers));
        // They have served before it starts.
        p.now = born - 10 * SECOND;
        p
    });
    let mut proxies: Vec<Proxy> = proxies.collect();
    // 16 requests a second at each; work that a server can do in a second is its even part over the load.
    let capacity = 1600.0 / servers as f64 / load;
    let (mut sends, mut key) = (BTreeMap::new(), 1u64);
    for tick in 0..(34 * 16) {
        for p in &mut proxies {
            let now = born - 10 * SECOND + tick * SECOND / 16;
            p.now = now;
            if now == born {
                p.list(ListKind::Delta, vec![ServerEntry { started_at: born, ..entry(7) }]);
            }
            if p.served(next_key(&mut key), false) == cold && now >= born {
                *sends.entry((now - born) / SECOND).or_insert(0.0) += 1.0;
            }
        }
    }
    let mut all = 0.0;
    for second in 0..24u64 {
        let sent = sends.get(&second).copied().unwrap_or(0.0);
        let warmth = (0.2 + 0.8 * second as f64 / 20.0).min(1.0);
        assert!(
            sent < 3.0 * warmth * capacity,
            "second {second}: {sent}, it can do {:.0}",
            warmth * capacity
        );
        all += sent / (warmth * capacity * load) / 24.0;
    }
    assert!(all > 0.5, "{all:.2} of what is due to it as it warms");
}

/// Sixteen requests a second for so long at each of a hundred proxies; where `takes` says no, the connection is refused.
/// Tells the refused connections in each second, and which proxies were served by each box in the last one.
fn crowded(
    seconds: u64,
    takes: impl Fn(Nanos, u32, ServerId, &BTreeMap<ServerId, BTreeSet<u32>>) -> bool,
) -> (Vec<u32>, BTreeMap<ServerId, BTreeSet<u32>>) {
    let mut proxies: Vec<Proxy> = (0..100).map(|me| Proxy::with(thin(me), entries(0..60))).collect();
    let start = proxies[0].now;
    let (mut refused, mut held, mut key) = (vec![0; seconds as usize], BTreeMap::new(), 1u64);
    let mut last: BTreeMap<ServerId, BTreeSet<u32>> = BTreeMap::new();
    for tick in 0..seconds * 16 {
        for (me, p) in (0u32..).zip(&mut proxies) {
            p.now = start + tick * SECOND / 16;
            let (id, mut actions) = p.ask(next_key(&mut key));
            for attempt in 0.. {
                let Some(server) = sent(&actions) else { break };
                if takes(p.now - start, me, server, &held) {
                    p.end(id, attempt, server, Status::Ok, Some(true));
                    held.entry(server).or_default().insert(me);
                    if tick + 16 >= seconds * 16 {
                        last.entry(server).or_default().insert(me);
                    }
                    break;
                }
                refused[(tick / 16) as usize] += 1;
                actions = p.end(id, attempt, server, Status::ConnectFailed, None);
            }
        }
    }
    (refused, last)
}

#[test]
fn a_lost_zone_starts_no_storm_of_connections() {
    let lost: Vec<ServerId> = entries(0..60).into_iter().filter(|e| e.zone == 0).map(|e| e.server).collect();
    let (refused, last) = crowded(20, |now, _, server, _| now < 5 * SECOND || !lost.contains(&server));
    // 100 proxies have some 700 pairs with boxes, a third of them lost: each is tried once, then ever more rarely.
    assert!(refused[5] <= 400, "{refused:?}");
    assert!(refused[6..].iter().sum::<u32>() <= 600 && refused[6..].iter().all(|n| *n <= 180), "{refused:?}");
    let most = last.values().map(BTreeSet::len).max().unwrap_or(0);
    assert!(last.len() == 40 && most <= 36, "{most} proxies at one box");
}

#[test]
fn a_box_short_of_connections_is_used_by_those_that_have_one() {
    let short = server_id("server-7");
    let (refused, last) = crowded(20, |_, me, server, held| {
        server != short || held.get(&server).is_none_or(|at| at.contains(&me) || at.len() < 4)
    });
    assert_eq!(last.get(&short).map(BTreeSet::len), Some(4), "the four that came first have it still");
    assert!(refused[10..].iter().sum::<u32>() <= 60, "{refused:?}");
}

#[test]
fn a_hot_key_is_answered_where_all_that_is_ranked_is_cold() {
    for (proxies, first) in [(4, 0), (4, 50), (4, 100), (100, 0), (100, 50), (100, 100)] {
        let mut p = Proxy::with(Settings { proxy_count: proxies, ..settings() }, entries(0..60));
        p.crowd(0..20);
        let started = p.now;
        p.list(
            ListKind::Full,
            entries(100..104).into_iter().map(|e| ServerEntry { started_at: started, ..e }).collect(),
        );
        for k in 0..400u64 {
            p.now += MS;
            let (id, actions) = p.ask((first + k % 4) * 7919);
            match sent(&actions) {
                Some(server) => drop(p.end(id, 0, server, Status::Ok, Some(true))),
                None => assert_eq!(finals(&actions), 1),
            }
        }
    }
}

#[test]
fn a_subset_hardly_changes_with_the_list_and_not_with_a_restart() {
    let (mut changed, mut all) = (0, 0);
    for me in 0..30 {
        let mut p = Proxy::with(thin(me), entries(0..60));
        let mut again = Proxy::new(thin(me), 99);
        again.list(ListKind::Cached, entries(0..60));
        let before: Vec<ServerId> = (0..200u64).map(|k| p.served(k * 7919, true)).collect();
        let same: Vec<ServerId> = (0..200u64).map(|k| again.served(k * 7919, true)).collect();
        assert_eq!(before, same);
        let mut later = Proxy::with(thin(me), entries(0..59));
        let after: Vec<ServerId> = (0..200u64).map(|k| later.served(k * 7919, true)).collect();
        let gone = entry(59).server;
        let kept = before.iter().zip(&after).filter(|(b, _)| **b != gone);
        changed += kept.clone().filter(|(b, a)| b != a).count();
        all += kept.count();
    }
    assert!(changed * 20 < all, "{changed} of {all} keys moved though their server stayed");
}

#[test]
fn a_silent_origin_does_not_cut_off_the_caches_of_its_zone() {
    let (settings, list, origin) = aside();
    let mut p = Proxy::with(Settings { zone: 1, ..settings }, list.clone());
    misses(&mut p, origin, 0..12, Status::Timeout);
    let zone_of = |s: ServerId| list.iter().find(|e| e.server == s).map(|e| e.zone);
    let asked: Vec<_> = (0..200u64).filter_map(|k| sent(&p.ask(k * 104_729).1)).map(zone_of).collect();
    assert!(asked.iter().filter(|z| **z == Some(0)).count() > 20);
}

#[test]
fn what_is_turned_away_at_once_is_no_jam() {
    let mut p = Proxy::with(settings(), entries(0..20));
    p.crowd(0..50);
    let mut refused = 0;
    for k in 0..200u64 {
        p.now += 20 * MS;
        let (id, mut actions) = p.ask(0x6000_0000 + k * 7919);
        refused += u32::from(sent(&actions).is_none());
        let mut n = 0;
        while let Some(server) = sent(&actions) {
            actions = p.end(id, n, server, Status::Rejected, None);
            n += 1;
        }
    }
    assert_eq!(refused, 0, "a request is sent, though the last ones met full servers");
}

#[test]
fn where_proxies_fetch_full_servers_all_over_are_not_passed_on() {
    let (settings, list, _) = aside();
    let mut p = Proxy::with(settings, list);
    p.crowd(0..100);
    let mut passed = 0;
    for k in 0..100u64 {
        p.now += 20 * MS;
        let (id, actions) = p.ask(0x8000_0000 + k * 7919);
        let server = sent(&actions).expect("sent");
        let actions = p.end(id, 0, server, Status::Rejected, None);
        if let Some(next) = sent(&actions) {
            passed += 1;
            p.end(id, 1, next, Status::Ok, Some(true));
        }
    }
    assert!((1..10).contains(&passed), "one by one they are, all over they are not: {passed}");
}

#[test]
fn a_withdrawn_server_gets_nothing_whatever_lists_say_until_it_is_given_back() {
    // Keys that were not asked before: those that were stay where they went meanwhile.
    let mut keys = 0..;
    let mut asked = |p: &mut Proxy| -> std::collections::HashSet<ServerId> {
        keys.by_ref().take(200).map(|key| p.served(key * 7919, true)).collect()
    };
    let mut p = Proxy::with(settings(), entries(0..6));
    let (one, other) = (entry(2).server, entry(9).server);
    assert!(asked(&mut p).contains(&one));
    // The whole set each time, also one that no list has named yet.
    p.event(Event::OperatorDrained(vec![one, other]));
    assert!(!asked(&mut p).contains(&one));
    for kind in [ListKind::Full, ListKind::Delta, ListKind::Cached] {
        p.list(kind, entries(0..10));
        let at = asked(&mut p);
        assert!(!at.contains(&one) && !at.contains(&other), "{kind:?}");
    }
    // Removed and listed anew, it is still withdrawn.
    p.list(ListKind::Full, entries(3..6));
    p.list(ListKind::Full, entries(0..10));
    assert!(!asked(&mut p).contains(&one));
    p.event(Event::OperatorDrained(vec![other]));
    let at = asked(&mut p);
    assert!(at.contains(&one) && !at.contains(&other));
    // What is out there when it is withdrawn ends as it would, and what follows goes elsewhere.
    let (key, id, actions) = (0..)
        .map(|key| (key, p.ask(key)))
        .find_map(|(key, (id, actions))| (sent(&actions) == Some(one)).then_some((key, id, actions)))
        .expect("a key of it");
    assert_eq!(finals(&actions), 0);
    p.event(Event::OperatorDrained(vec![one]));
    let again = p.end(id, 0, one, Status::Reset, None);
    assert!(sent(&again).is_some_and(|s| s != one), "{key}: {again:?}");
}

#[test]
fn other_settings_hold_from_the_next_request_on() {
    let mut p = Proxy::with(settings(), entries(0..6));
    let (id, actions) = p.ask(1);
    assert!(sent(&p.end(id, 0, sent(&actions).expect("sent"), Status::Reset, None)).is_some());
    p.event(Event::Settings(Box::new(Settings { max_attempts: 1, ..settings() })));
    let (id, actions) = p.ask(2);
    let ended = p.end(id, 0, sent(&actions).expect("sent"), Status::Reset, None);
    assert_eq!((sent(&ended), finals(&ended)), (None, 1));
}
