//! Slow start on a machine whose wall clock is wrong: the age of a cache node is a span of real time.

use serde_json::{json, Value};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use testkit::scripted::*;

/// The time that a node takes to warm up.
const WARM_UP: Duration = Duration::from_secs(60);
/// Reads of different keys, after the new node is listed.
const READS: u64 = 400;

/// Unix time in milliseconds, by the clock that is right.
fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64
}

/// Plays a node that joins while the proxy's wall clock is off by so many seconds, and returns how many reads the new node and
/// the old ones got.
fn reads_with_clock_off_by(seconds: i64, age: Duration) -> [usize; 2] {
    let counts: [Arc<AtomicUsize>; 2] = Default::default();
    let counting = |count: &Arc<AtomicUsize>| {
        let count = count.clone();
        answering(move |command| {
            count.fetch_add(1, Ordering::Relaxed);
            Some(cached(command))
        })
    };
    let old: Vec<Value> = (0..3).map(|i| host(&format!("s-{i}"), counting(&counts[1]), "up")).collect();
    let mut new = host("s-new", counting(&counts[0]), "up");
    let discovery = Server::start();
    let known = list(41, true, &old);
    let proxy = Proxy::faulty(&Server::many(0), &format!("clock step {seconds}"), 1, |c| {
        subscribed(c, &discovery);
        c["known"] = known.clone();
        c["settings"]["rules"]["cold_ns"] = json!(WARM_UP.as_nanos() as u64);
    });
    let mut first = discovery.accept();
    first.request();
    first.list(&known);
    let mut watch = discovery.accept();
    watch.request();
    std::thread::sleep(Duration::from_millis(200));
    new["born_ms"] = json!(unix_ms() - age.as_millis() as u64);
    watch.list(&list(42, false, &[new]));
    let _next = discovery.accept();
    let mut client = proxy.client();
    for key in 0..READS {
        client.get(key * 0x9E37_79B9, "read", 15_000);
        client.command();
    }
    [counts[0].load(Ordering::Relaxed), counts[1].load(Ordering::Relaxed)]
}

/// Guards against a new node that is taken for a warm one, or for a cold one for an hour, because the wall clock is off.
#[test]
fn a_new_node_is_warmed_up_alike_whatever_the_wall_clock_says() {
    let [right, _] = reads_with_clock_off_by(0, Duration::ZERO);
    for seconds in [3_600, -3_600, 30, -30] {
        let [new, old] = reads_with_clock_off_by(seconds, Duration::ZERO);
        // By chance the number may vary as in the rule's own slack.
        let slack = 3.0 * (right as f64).sqrt() + 3.0;
        assert!(
            (new as f64 - right as f64).abs() <= slack,
            "off by {seconds} s: {new} reads to the new node, {right} with the right clock, {old} to others"
        );
    }
}
