//! A client that sends small or unsound commands at full speed: others are answered in time, and memory does not grow.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use testkit::scripted::*;

/// How long each flood lasts.
const FLOOD: Duration = Duration::from_millis(2_500);
/// How late the answer to another client may be while the node answers at once: less than the shortest latency target of a
/// deployment, 300 ms, by the protocol's tolerance of 50 ms.
const MAX_LATENCY: Duration = Duration::from_millis(250);
/// How much a flood may add to the memory of the process, in kB.
const MAX_GROWTH_KB: u64 = 8 << 10;
/// The bytes that a flooding client offers at once.
const CHUNK_BYTES: usize = 64 << 10;

/// Sends commands at full speed until told to stop, over a new connection whenever one ends. Reads the answers if `reads`.
fn flood(address: SocketAddr, reads: bool, stop: &AtomicBool, command: impl Fn(u64) -> Vec<u8>) -> u64 {
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect(address) else { continue };
        let _ = stream.set_write_timeout(Some(Duration::from_millis(100)));
        let mut reader = stream.try_clone().expect("a clone");
        if reads {
            std::thread::spawn(move || while reader.read(&mut [0; 64 << 10]).is_ok_and(|n| n > 0) {});
        }
        let mut bytes = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            while bytes.len() < CHUNK_BYTES {
                bytes.extend(command(number));
                number += 1;
            }
            match stream.write(&bytes) {
                Ok(written) => drop(bytes.drain(..written)),
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => break,
            }
        }
        let _ = stream.shutdown(std::net::Shutdown::Both);
    }
    number
}

/// Floods a proxy with these commands, by one client, and asserts that another is served in time and that memory is bounded.
fn assert_others_are_served(
    what: &str,
    reads: bool,
    command: impl Fn(u64) -> Vec<u8> + Send + Sync + 'static,
) {
    let mut server = Server::many(0);
    for _ in 0..4 {
        server.addresses.push(answering(|_| Some(hit("v"))));
    }
    let proxy = Proxy::start(&server);
    let mut client = proxy.client();
    for key in 0..50 {
        client.get(key, "read", 5_000);
        client.command();
    }
    let before = proxy.status("VmHWM");
    let (address, stop) = (proxy.address, Arc::new(AtomicBool::new(false)));
    let stopped = stop.clone();
    let flooding = std::thread::spawn(move || flood(address, reads, &stopped, command));
    let (started, mut longest, mut served) = (Instant::now(), Duration::ZERO, 0);
    let mut key = 0;
    while started.elapsed() < FLOOD {
        key += 1;
        let sent = Instant::now();
        client.get(key % 50, "read", 5_000);
        served += u32::from(client.command().len() > 1);
        longest = longest.max(sent.elapsed());
        std::thread::sleep(Duration::from_millis(2));
    }
    stop.store(true, Ordering::Relaxed);
    let sent = flooding.join().expect("the flood ends");
    let growth = proxy.status("VmHWM").saturating_sub(before);
    println!(
        "{what}, reads {reads}: {sent} sent; {served} of {key} served, longest {longest:?}; {growth} kB"
    );
    assert!(longest <= MAX_LATENCY, "{what}: answered after {longest:?}");
    assert!(growth <= MAX_GROWTH_KB, "{what}: memory grew by {growth} kB");
    assert!(served > 0, "{what}: none served");
}

/// Guards against a client that takes the time of the event loop, or slots and memory, by commands that cost it nothing.
#[test]
fn a_flood_of_small_commands_neither_delays_others_nor_grows_memory() {
    for reads in [true, false] {
        assert_others_are_served("PING", reads, |_| encode(&["PING"]));
        assert_others_are_served("reads", reads, |n| {
            encode(&["CACHE.GET", &format!("{n:016x}"), &format!("flood-{n}"), "c=read,d=5000"])
        });
    }
}

/// Guards against state that is kept for names that clients choose.
#[test]
fn a_flood_of_commands_with_ever_new_names_neither_delays_others_nor_grows_memory() {
    assert_others_are_served("names of connections", true, |n| {
        encode(&["CLIENT", "SETNAME", &format!("name-{n}")])
    });
    assert_others_are_served("unknown commands", true, |n| encode(&[&format!("COMMAND-{n}"), "a"]));
    assert_others_are_served("unknown classes", true, |n| {
        encode(&["CACHE.GET", "1", &format!("flood-{n}"), &format!("c=class-{n},d=5000")])
    });
    assert_others_are_served("users", true, |n| encode(&["AUTH", &format!("user-{n}"), "password"]));
    assert_others_are_served("writes", true, |n| {
        let fields = format!("c=put,d=5000,k=key-{n}");
        encode(&["CACHE.SET", &format!("{n:016x}"), &format!("flood-{n}"), &fields, "v"])
    });
}

/// Guards against commands that can't be read, and so end their connection, again and again.
#[test]
fn a_flood_of_unreadable_commands_neither_delays_others_nor_grows_memory() {
    for reads in [true, false] {
        assert_others_are_served("noise", reads, |n| format!("noise {n}\r\n").into_bytes());
        assert_others_are_served("many arguments", reads, |n| format!("*99{n}\r\n").into_bytes());
    }
}
