//! Tests of the stand-ins themselves, without a proxy.

use serde_json::Value;
use std::time::{Duration, Instant};
use testkit::scripted::{encode, Peer, PATIENCE};
use testkit::world::{BoxConfig, Fault, Health, Mode, Script, World, WorldConfig};

fn world(boxes: Vec<BoxConfig>) -> World {
    World::start(WorldConfig { boxes, distance: Duration::ZERO, ..WorldConfig::new(7, 0, 2) })
}

fn world_with_one_box(edit: impl FnOnce(&mut BoxConfig)) -> World {
    let mut config = BoxConfig::new("s-0");
    edit(&mut config);
    world(vec![config])
}

fn connect(world: &World) -> Peer {
    Peer::connect(world.boxes[0].addresses[0])
}

fn wait_until(what: &str, done: impl Fn() -> bool) {
    let begun = Instant::now();
    while !done() {
        assert!(begun.elapsed() < PATIENCE, "{what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Sends a request to discovery as a proxy does; returns the status code and the body.
fn request(world: &World, proxy: usize, target: &str) -> (String, Value) {
    let mut peer = Peer::connect(world.discovery.address(proxy));
    peer.send(format!("GET {target} HTTP/1.1\r\nHost: d\r\n\r\n"));
    let text = String::from_utf8(peer.rest()).expect("text");
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or_default();
    let code = head.split(' ').nth(1).unwrap_or_default().to_owned();
    (code, serde_json::from_str(body).unwrap_or_default())
}

#[test]
fn a_box_fetches_a_missing_key_once_and_a_write_invalidates_it() {
    let world = world_with_one_box(|_| {});
    let (mut a, mut b) = (connect(&world), connect(&world));
    a.get(7, "read", 400);
    b.get(7, "read", 400);
    let mut notes = [a.command()[1].clone(), b.command()[1].clone()];
    notes.sort();
    assert_eq!(notes, ["miss", "pending"]);
    a.get(7, "read", 400);
    assert_eq!(a.command(), [format!("{:016x}:0", 7), "hit".into(), "$-1".into()]);
    for _ in 0..2 {
        // The same idempotency key twice within the deduplication window has one effect.
        a.set(7, "put", 400, "v");
        assert_eq!(a.command()[0], format!("{:016x}:1", 7));
    }
    assert_eq!(world.origin.effects()["5c0f"], 1);
    a.get(7, "read", 400);
    assert_eq!(a.command(), [format!("{:016x}:1", 7), "miss".into(), "$-1".into()]);
    assert_eq!(world.origin.counts().0, 2);
    let words: Vec<_> = world.boxes[0].record().iter().filter_map(|s| s.answer.map(|a| a.1)).collect();
    assert_eq!(words[2..], ["hit", "written", "written", "miss"]);
}

#[test]
fn replies_are_in_command_order_and_requests_are_cancelled_with_their_connection() {
    let world = world_with_one_box(|c| c.work = [Duration::from_millis(40), Duration::from_millis(1)]);
    let mut peer = connect(&world);
    let mut both = encode(&["CACHE.GET", "1", "a", "c=read,d=900"]);
    both.extend(encode(&["PING"]));
    both.extend(encode(&["CACHE.SET", "2", "b", "c=put,d=900,k=1", "v"]));
    both.extend(encode(&["CACHE.SET", "2", "b", "c=put"]));
    peer.send(both);
    assert_eq!(peer.command()[1], "miss");
    assert_eq!(peer.line(), "+PONG");
    assert_eq!(peer.command()[0], format!("{:016x}:1", 2));
    assert_eq!(peer.line(), "-SYNTAX");
    peer.get(3, "read", 900);
    wait_until("the request was received", || world.boxes[0].record().len() == 3);
    drop(peer);
    wait_until("the connection was closed", || world.boxes[0].connections() == 0);
    assert!(world.boxes[0].record()[2].answer.is_none());
}

#[test]
fn requests_beyond_the_queue_and_connection_limits_get_busy() {
    let world = world_with_one_box(|c| {
        (c.connections, c.queue) = (2, 2);
        c.work[0] = Duration::from_millis(200);
    });
    let (mut a, mut b, mut c) = (connect(&world), connect(&world), connect(&world));
    wait_until("all connections were accepted", || world.boxes[0].connections() == 3);
    c.get(9, "read", 400);
    assert_eq!(c.line(), "-BUSY");
    for key in 0..3 {
        a.get(key, "read", 2_000);
    }
    wait_until("all requests were received", || world.boxes[0].record().len() == 3);
    b.get(7, "read", 2_000);
    assert_eq!(b.line(), "-BUSY");
}

#[test]
fn a_silent_box_does_not_answer_until_the_fault_ends() {
    let world = world_with_one_box(|_| {});
    world.boxes[0].silent(true);
    let mut peer = connect(&world);
    peer.get(1, "read", 400);
    wait_until("the request was received", || world.boxes[0].record().len() == 1);
    assert!(world.boxes[0].record()[0].answer.is_none());
    world.boxes[0].silent(false);
    assert_eq!(peer.command()[1], "miss");
}

#[test]
fn a_box_that_is_down_resets_connections_and_restarts_with_an_empty_cache() {
    let world = world_with_one_box(|_| {});
    let mut peer = connect(&world);
    peer.get(1, "read", 400);
    peer.command();
    world.boxes[0].down(true);
    assert!(peer.rest().is_empty());
    assert!(connect(&world).rest().is_empty());
    world.boxes[0].down(false);
    let mut peer = connect(&world);
    peer.get(1, "read", 400);
    assert_eq!(peer.command()[1], "miss");
}

#[test]
fn malformed_and_reset_replies_are_injected_as_configured() {
    let world = world_with_one_box(|_| {});
    world.boxes[0].spoils(1.0);
    let mut peer = connect(&world);
    peer.get(1, "read", 400);
    assert_eq!((peer.line().as_str(), peer.line().as_str()), ("*3", "$16"));
    assert_eq!(peer.line(), "not:a number");
    world.boxes[0].spoils(0.0);
    world.boxes[0].resets(1.0);
    let mut peer = connect(&world);
    peer.get(1, "read", 400);
    assert!(peer.rest().is_empty());
    assert_eq!(world.boxes[0].record()[1].answer.map(|a| a.1), Some("reset"));
}

#[test]
fn a_box_in_slow_start_is_slow_and_fails_under_overload() {
    let cold = |c: &mut BoxConfig| c.cold = Some((0.15, Duration::from_secs(60)));
    let world = world_with_one_box(cold);
    let begun = Instant::now();
    let mut peer = connect(&world);
    peer.get(1, "read", 4_000);
    peer.command();
    // 5 ms of processing and 1 ms of handshake at about a sixth of the full speed.
    assert!(begun.elapsed() >= Duration::from_millis(38), "{:?}", begun.elapsed());
    // The capacity is about 30 requests/s; three times that within a second is an overload.
    let mut peers: Vec<Peer> = (0..4).map(|_| connect(&world)).collect();
    for key in 0..120 {
        peers[key as usize % 4].get(key, "read", 4_000);
    }
    wait_until("the box fails from overload", || world.boxes[0].fallen());
    assert!(connect(&world).rest().is_empty());
}

#[test]
fn a_partitioned_zone_receives_data_in_transit_after_the_partition_ends() {
    let far = BoxConfig { zone: 1, ..BoxConfig::new("s-0") };
    let world = World::start(WorldConfig { boxes: vec![far], ..WorldConfig::new(7, 0, 2) });
    let mut peer = connect(&world);
    let mut near = Peer::connect(world.boxes[0].addresses[1]);
    world.network.cut(1, true);
    peer.get(1, "read", 400);
    near.get(2, "read", 400);
    assert_eq!(near.command()[1], "miss");
    assert_eq!(world.boxes[0].record().len(), 1);
    world.network.cut(1, false);
    assert_eq!(peer.command()[1], "miss");
}

#[test]
fn discovery_sends_whole_lists_and_changes_and_records_the_receivers() {
    let world = world(vec![BoxConfig::new("s-0"), BoxConfig { zone: 1, ..BoxConfig::new("s-1") }]);
    let (code, list) = request(&world, 0, "/catalog/members");
    assert_eq!(
        (code.as_str(), &list["whole"], list["hosts"].as_array().map(Vec::len)),
        ("200", &true.into(), Some(2))
    );
    assert_eq!(list["hosts"][1]["site"], "durban");
    let version = list["seq"].as_u64().expect("a version");
    // No change within the long poll.
    let (_, list) = request(&world, 0, &format!("/catalog/members?since={version}&timeout_ms=20"));
    assert_eq!((list["whole"].as_bool(), list["hosts"].as_array().map(Vec::len)), (Some(false), Some(0)));
    // A change ends the long poll.
    let watching = std::thread::scope(|scope| {
        let watch =
            scope.spawn(|| request(&world, 1, &format!("/catalog/members?since={version}&timeout_ms=20000")));
        std::thread::sleep(Duration::from_millis(20));
        world.discovery.set("s-1", Health::Draining);
        watch.join().expect("an answer")
    });
    let hosts = &watching.1["hosts"];
    assert_eq!((&hosts[0]["host"], &hosts[0]["health"]), (&"s-1".into(), &"draining".into()));
    assert!(world.discovery.first_sent(1, "s-1", Health::Draining).is_some());
    assert!(world.discovery.first_sent(0, "s-1", Health::Draining).is_none());
    // Each zone has its own address of a box.
    let dial = |proxy| request(&world, proxy, "/catalog/members").1["hosts"][0]["dial"].clone();
    assert_ne!(dial(0), dial(1));
    assert_eq!(request(&world, 0, "/else").0, "404");
}

#[test]
fn discovery_fails_in_each_configured_mode() {
    let world = world_with_one_box(|_| {});
    world.discovery.mode(Mode::Unavailable);
    assert_eq!(request(&world, 0, "/catalog/members").0, "503");
    world.discovery.mode(Mode::Down);
    assert_eq!(request(&world, 0, "/catalog/members").0, "");
    world.discovery.mode(Mode::Well);
    // A waiting long poll ends with the fault.
    let ended = std::thread::scope(|scope| {
        let watch = scope.spawn(|| request(&world, 0, "/catalog/members?since=99&timeout_ms=20000"));
        std::thread::sleep(Duration::from_millis(20));
        world.discovery.mode(Mode::Unavailable);
        watch.join().expect("an answer")
    });
    assert_eq!(ended.0, "503");
}

#[test]
fn a_random_script_is_deterministic_for_a_seed_and_its_faults_take_effect() {
    let script = |seed| Script::random(seed, 20, 9, 3, Duration::from_secs(10));
    assert_eq!(script(4), script(4));
    assert_ne!(script(4), script(5));
    assert!(script(4).steps.iter().all(|s| s.at + s.lasts.expect("an end") <= Duration::from_secs(10)));
    let world = world_with_one_box(|_| {});
    let (at, lasts) = (Duration::from_millis(1), Duration::from_millis(150));
    world.play(
        Script::new().then(at, lasts, Fault::Down(0)).permanently(at, Fault::Discovery(Mode::Unavailable)),
    );
    let reach = || Peer::reaches(world.boxes[0].addresses[0]);
    wait_until("the box is down", || reach().is_none_or(|mut peer| peer.rest().is_empty()));
    wait_until("the box is up again", || {
        let Some(mut peer) = reach() else { return false };
        peer.offers(encode(&["PING"])) && peer.take_some() == b"+PONG\r\n"
    });
    assert_eq!(request(&world, 0, "/catalog/members").0, "503");
}
