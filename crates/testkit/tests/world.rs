//! The stand-ins by themselves: what a proxy is to find in front of them.

use serde_json::Value;
use std::time::{Duration, Instant};
use testkit::scripted::{encode, Peer, PATIENCE};
use testkit::world::{BoxConfig, Fault, Health, Mode, Script, World, WorldConfig};

fn world(boxes: Vec<BoxConfig>) -> World {
    World::start(WorldConfig { boxes, distance: Duration::ZERO, ..WorldConfig::new(7, 0, 2) })
}

fn one(edit: impl FnOnce(&mut BoxConfig)) -> World {
    let mut config = BoxConfig::new("s-0");
    edit(&mut config);
    world(vec![config])
}

fn connect(world: &World) -> Peer {
    Peer::connect(world.boxes[0].addresses[0])
}

fn until(what: &str, done: impl Fn() -> bool) {
    let begun = Instant::now();
    while !done() {
        assert!(begun.elapsed() < PATIENCE, "{what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Calls discovery as a proxy does; the status line's code and the body.
fn call(world: &World, proxy: usize, target: &str) -> (String, Value) {
    let mut peer = Peer::connect(world.discovery.address(proxy));
    peer.send(format!("GET {target} HTTP/1.1\r\nHost: d\r\n\r\n"));
    let text = String::from_utf8(peer.rest()).expect("text");
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or_default();
    let code = head.split(' ').nth(1).unwrap_or_default().to_owned();
    (code, serde_json::from_str(body).unwrap_or_default())
}

#[test]
fn a_box_fetches_what_it_lacks_once_and_a_write_voids_it() {
    let world = one(|_| {});
    let (mut a, mut b) = (connect(&world), connect(&world));
    a.get(7, "read", 400);
    b.get(7, "read", 400);
    let mut notes = [a.command()[1].clone(), b.command()[1].clone()];
    notes.sort();
    assert_eq!(notes, ["miss", "pending"]);
    a.get(7, "read", 400);
    assert_eq!(a.command(), [format!("{:016x}:0", 7), "hit".into(), "$-1".into()]);
    for _ in 0..2 {
        // The same idempotency key twice within the window: one effect.
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
fn answers_of_a_connection_come_in_order_and_stop_with_it() {
    let world = one(|c| c.work = [Duration::from_millis(40), Duration::from_millis(1)]);
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
    until("it came", || world.boxes[0].record().len() == 3);
    drop(peer);
    until("the connection is gone", || world.boxes[0].connections() == 0);
    assert!(world.boxes[0].record()[2].answer.is_none());
}

#[test]
fn queue_and_connections_are_bounded_and_turned_away_is_said() {
    let world = one(|c| {
        (c.connections, c.queue) = (2, 2);
        c.work[0] = Duration::from_millis(200);
    });
    let (mut a, mut b, mut c) = (connect(&world), connect(&world), connect(&world));
    until("all are there", || world.boxes[0].connections() == 3);
    c.get(9, "read", 400);
    assert_eq!(c.line(), "-BUSY");
    for key in 0..3 {
        a.get(key, "read", 2_000);
    }
    until("all came", || world.boxes[0].record().len() == 3);
    b.get(7, "read", 2_000);
    assert_eq!(b.line(), "-BUSY");
}

#[test]
fn a_silent_box_answers_nothing_until_it_is_well_again() {
    let world = one(|_| {});
    world.boxes[0].silent(true);
    let mut peer = connect(&world);
    peer.get(1, "read", 400);
    until("it came", || world.boxes[0].record().len() == 1);
    assert!(world.boxes[0].record()[0].answer.is_none());
    world.boxes[0].silent(false);
    assert_eq!(peer.command()[1], "miss");
}

#[test]
fn a_box_that_is_down_resets_and_comes_back_with_nothing() {
    let world = one(|_| {});
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
fn spoilt_and_reset_answers_are_what_was_asked_for() {
    let world = one(|_| {});
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
fn a_cold_box_is_slow_and_falls_when_it_is_pushed() {
    let cold = |c: &mut BoxConfig| c.cold = Some((0.15, Duration::from_secs(60)));
    let world = one(cold);
    let begun = Instant::now();
    let mut peer = connect(&world);
    peer.get(1, "read", 4_000);
    peer.command();
    // 5 ms of work and 1 ms of handshake at about a sixth of the speed.
    assert!(begun.elapsed() >= Duration::from_millis(38), "{:?}", begun.elapsed());
    // Three times thirty requests within a second are too many.
    let mut peers: Vec<Peer> = (0..4).map(|_| connect(&world)).collect();
    for key in 0..120 {
        peers[key as usize % 4].get(key, "read", 4_000);
    }
    until("it falls", || world.boxes[0].fallen());
    assert!(connect(&world).rest().is_empty());
}

#[test]
fn a_cut_zone_is_silent_and_what_was_under_way_goes_on_after_it() {
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
fn discovery_tells_whole_lists_and_changes_and_keeps_who_was_told() {
    let world = world(vec![BoxConfig::new("s-0"), BoxConfig { zone: 1, ..BoxConfig::new("s-1") }]);
    let (code, list) = call(&world, 0, "/catalog/members");
    assert_eq!(
        (code.as_str(), &list["whole"], list["hosts"].as_array().map(Vec::len)),
        ("200", &true.into(), Some(2))
    );
    assert_eq!(list["hosts"][1]["site"], "durban");
    let version = list["seq"].as_u64().expect("a version");
    // Nothing new within the wait.
    let (_, list) = call(&world, 0, &format!("/catalog/members?since={version}&timeout_ms=20"));
    assert_eq!((list["whole"].as_bool(), list["hosts"].as_array().map(Vec::len)), (Some(false), Some(0)));
    // A change ends the wait.
    let watching = std::thread::scope(|scope| {
        let watch =
            scope.spawn(|| call(&world, 1, &format!("/catalog/members?since={version}&timeout_ms=20000")));
        std::thread::sleep(Duration::from_millis(20));
        world.discovery.set("s-1", Health::Draining);
        watch.join().expect("an answer")
    });
    let hosts = &watching.1["hosts"];
    assert_eq!((&hosts[0]["host"], &hosts[0]["health"]), (&"s-1".into(), &"draining".into()));
    assert!(world.discovery.told_of(1, "s-1", Health::Draining).is_some());
    assert!(world.discovery.told_of(0, "s-1", Health::Draining).is_none());
    // An address for each zone.
    let dial = |proxy| call(&world, proxy, "/catalog/members").1["hosts"][0]["dial"].clone();
    assert_ne!(dial(0), dial(1));
    assert_eq!(call(&world, 0, "/else").0, "404");
}

#[test]
fn discovery_fails_as_it_is_told_to() {
    let world = one(|_| {});
    world.discovery.mode(Mode::Unavailable);
    assert_eq!(call(&world, 0, "/catalog/members").0, "503");
    world.discovery.mode(Mode::Down);
    assert_eq!(call(&world, 0, "/catalog/members").0, "");
    world.discovery.mode(Mode::Well);
    // A watch that waits ends with it.
    let ended = std::thread::scope(|scope| {
        let watch = scope.spawn(|| call(&world, 0, "/catalog/members?since=99&timeout_ms=20000"));
        std::thread::sleep(Duration::from_millis(20));
        world.discovery.mode(Mode::Unavailable);
        watch.join().expect("an answer")
    });
    assert_eq!(ended.0, "503");
}

#[test]
fn a_script_is_the_same_for_the_same_seed_and_plays_its_faults() {
    let script = |seed| Script::random(seed, 20, 9, 3, Duration::from_secs(10));
    assert_eq!(script(4), script(4));
    assert_ne!(script(4), script(5));
    assert!(script(4).steps.iter().all(|s| s.at + s.lasts.expect("an end") <= Duration::from_secs(10)));
    let world = one(|_| {});
    let (at, lasts) = (Duration::from_millis(1), Duration::from_millis(150));
    world.play(
        Script::new().then(at, lasts, Fault::Down(0)).for_good(at, Fault::Discovery(Mode::Unavailable)),
    );
    let reach = || Peer::reaches(world.boxes[0].addresses[0]);
    until("down", || reach().is_none_or(|mut peer| peer.rest().is_empty()));
    until("up again", || {
        let Some(mut peer) = reach() else { return false };
        peer.offers(encode(&["PING"])) && peer.take_some() == b"+PONG\r\n"
    });
    assert_eq!(call(&world, 0, "/catalog/members").0, "503");
}
