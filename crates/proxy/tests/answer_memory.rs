//! The memory for answers, behind the built binary: what does not fit is refused, and neither ends a connection with open
//! requests nor takes the process over its limit.

use resp::Command;
use serde_json::json;
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use testkit::scripted::*;

/// The longest value that is answered whole.
const VALUE_BYTES: usize = 64 << 10;
/// The memory limit of the process, in MB.
const MEMORY_MB: u64 = 16;

/// A proxy with these limits before nodes that all answer alike.
fn start(
    nodes: usize,
    sockets: u64,
    answer: impl Fn(&Command) -> Option<Vec<u8>> + Send + Sync + 'static,
) -> Proxy {
    let answer = Arc::new(answer);
    let mut server = Server::many(0);
    for _ in 0..nodes {
        let answer = answer.clone();
        server.addresses.push(answering(move |command| answer(command)));
    }
    Proxy::with(&server, |c| {
        c["limits"] = json!({"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": sockets});
    })
}

fn read(key: usize, id: &str) -> Vec<u8> {
    encode(&["CACHE.GET", &format!("{key:016x}"), id, "c=read,d=15000"])
}

fn write(key: usize, id: &str) -> Vec<u8> {
    encode(&["CACHE.SET", &format!("{key:016x}"), id, "c=put,d=15000,k=5c0f", "v"])
}

/// Sends `clients` times as many reads as given, with a write among them that is answered only once all else is. Each
/// command has to be answered, in order.
fn assert_all_are_answered(clients: usize, reads: usize, write_position: usize, value_bytes: usize) {
    let released = Arc::new(AtomicBool::new(false));
    let held = released.clone();
    let value = "v".repeat(value_bytes);
    let proxy = start(60, 1_024, move |command| {
        let is_write = command.arg(0) == b"CACHE.SET";
        while is_write && !held.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(5));
        }
        Some(if is_write { RECEIPT.into() } else { hit(&value) })
    });
    let mut peers: Vec<Peer> = (0..clients).map(|_| proxy.client()).collect();
    for (number, client) in peers.iter_mut().enumerate() {
        let mut commands: Vec<Vec<u8>> = (0..reads).map(|i| read(i, &format!("read-{number}-{i}"))).collect();
        commands.insert(write_position, write(number, &format!("write-{number}")));
        client.send(commands.concat());
    }
    // The answers behind the writes arrive meanwhile.
    std::thread::sleep(Duration::from_millis(700));
    released.store(true, Ordering::Relaxed);
    let mut served = 0;
    for (number, client) in peers.iter_mut().enumerate() {
        for position in 0..=reads {
            let answer = client.command();
            assert!(
                answer.len() > 1 || answer[0].starts_with("-BUSY"),
                "client {number}, command {position}: {answer:?}"
            );
            served += usize::from(answer.len() > 1);
        }
    }
    assert!(served >= clients, "{served} served");
    proxy.assert_serving();
}

/// Guards against a connection that is ended over answers that wait for an earlier one.
#[test]
fn answers_that_wait_for_an_earlier_one_and_find_no_memory_are_refused_and_their_connection_stays() {
    assert_all_are_answered(1, 100, 0, VALUE_BYTES);
    assert_all_are_answered(4, 100, 0, VALUE_BYTES);
    assert_all_are_answered(4, 100, 50, VALUE_BYTES);
    assert_all_are_answered(40, 40, 0, 9_000);
}

/// Guards against a connection that is ended over the number of short commands behind one that is not answered yet.
#[test]
fn a_request_is_answered_however_many_commands_stand_behind_it() {
    const PINGS: usize = 5_000;
    let proxy = start(1, 1_024, |_| {
        std::thread::sleep(Duration::from_millis(300));
        Some(RECEIPT.into())
    });
    let mut client = proxy.client();
    client.send([write(1, "first"), encode(&["PING"]).repeat(PINGS), read(2, "last")].concat());
    assert_eq!(client.command()[0], "ok");
    for _ in 0..PINGS {
        assert_eq!(client.line(), "+PONG");
    }
    assert_eq!(client.command()[0], "ok");
}

/// Asserts that the process has never held more than its limit.
fn assert_within_limit(proxy: &Proxy, what: &str) {
    let peak = proxy.status("VmHWM");
    assert!(peak <= MEMORY_MB << 10, "{what}: {peak} kB of {MEMORY_MB} MB");
}

/// Guards against clients that are slow to read answers of usual length, of which each leaves less unread than one may.
#[test]
fn clients_that_are_slow_to_read_short_values_do_not_take_the_process_over_its_memory_limit() {
    const CLIENTS: usize = 150;
    const READS: usize = 4;
    let proxy = start(30, 512, |_| Some(hit(&"v".repeat(VALUE_BYTES - 2_000))));
    let mut slow = Vec::new();
    for number in 0..CLIENTS {
        let mut client = connect_with_small_buffers(proxy.address);
        let commands: Vec<Vec<u8>> =
            (0..READS).map(|i| read(number * READS + i, &format!("{number}-{i}"))).collect();
        client.write_all(&commands.concat()).expect("written");
        slow.push(client);
        std::thread::sleep(Duration::from_millis(4));
    }
    std::thread::sleep(Duration::from_millis(1_500));
    assert_within_limit(&proxy, "unread");
    proxy.assert_serving();
}

/// Guards against long values of which each slow reader holds a share, however little memory is left.
#[test]
fn clients_that_are_slow_to_read_long_values_do_not_take_the_process_over_its_memory_limit() {
    const CLIENTS: usize = 120;
    let proxy = start(30, 512, |_| Some(hit(&"v".repeat(1 << 20))));
    let mut slow = Vec::new();
    for number in 0..CLIENTS {
        let mut client = connect_with_small_buffers(proxy.address);
        client.write_all(&read(number, &number.to_string())).expect("written");
        slow.push(client);
        std::thread::sleep(Duration::from_millis(4));
    }
    let started = Instant::now();
    while started.elapsed() < Duration::from_millis(1_500) {
        std::thread::sleep(Duration::from_millis(50));
        assert_within_limit(&proxy, "unread");
    }
    // A value goes on as it is read.
    let mut reading = proxy.client();
    reading.send(read(1_000, "reading"));
    let answer = reading.command();
    assert!(answer.len() == 1 || answer[0].len() == 1 << 20, "an answer of {} bytes", answer[0].len());
}
