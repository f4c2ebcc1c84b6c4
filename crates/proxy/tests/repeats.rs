//! Repeats of writes that may have been carried out, behind the built binary: none may reach a node once nodes no longer
//! recognise it by its idempotency key.

use serde_json::{json, Value};
use socket2::{Domain, Socket, Type};
use std::collections::HashMap;
use std::io::Read;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use testkit::scripted::*;

/// The dedup window of the class `put` in these tests.
const WINDOW: Duration = Duration::from_millis(1_000);
/// The tolerance of the protocol for its time limits.
const SLACK: Duration = Duration::from_millis(50);
/// The kernel sends the first SYN of a connection again after this time.
const SYN_RETRY: Duration = Duration::from_millis(1_000);

fn settings(config: &mut Value) {
    let classes = config["settings"]["categories"].as_array_mut().expect("classes");
    let put = classes.iter_mut().find(|class| class["name"] == "put").expect("the class put");
    put["dedup_window_ns"] = json!(WINDOW.as_nanos() as u64);
    put["promise_ns"] = json!(600_000_000u64);
    config["settings"]["caps"]["connect_timeout_ns"] = json!(4_000_000_000u64);
}

/// A listener with a backlog of one connection.
fn listener_with_short_backlog() -> (TcpListener, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into()).expect("bound");
    socket.listen(0).expect("listens");
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Fills the backlog of a listener: the next connection to it comes up when these are accepted and its SYN is sent again.
fn fill_backlog(address: SocketAddr) -> Vec<Socket> {
    let connect = |_| {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.set_nonblocking(true).expect("non-blocking mode");
        let _ = socket.connect(&address.into());
        socket
    };
    let pending = (0..4).map(connect).collect();
    std::thread::sleep(Duration::from_millis(20));
    pending
}

/// Reads from a stream until its end or until nothing comes for `patience`; returns the number of bytes.
fn read_to_end(stream: &mut TcpStream, patience: Duration) -> usize {
    stream.set_read_timeout(Some(patience)).expect("a time-out");
    let (mut buffer, mut total) = (vec![0; 64 << 10], 0);
    while let Ok(n @ 1..) = stream.read(&mut buffer) {
        total += n;
    }
    total
}

/// Guards against a keyed write that takes effect twice because the connection for its repeat comes up after the window.
#[test]
fn a_repeat_whose_connection_comes_up_after_the_dedup_window_is_not_written_and_answered_at_once() {
    let (listener, address) = listener_with_short_backlog();
    let proxy = Proxy::with(&Server::many(0), |c| {
        settings(c);
        c["known"] = list(41, true, &[host("s-0", address, "up")]);
    });
    let mut client = proxy.client();
    client.set(1, "put", 5_000, "v");
    let (mut first, _) = listener.accept().expect("a connection");
    let started = Instant::now();
    assert!(first.read(&mut [0; 4096]).expect("a command") > 0);
    let backlog = fill_backlog(address);
    socket2::SockRef::from(&first).set_linger(Some(Duration::ZERO)).expect("linger");
    drop(first);
    let answer = client.line();
    assert!(answer.starts_with("-BUSY"), "{answer}");
    assert!(started.elapsed() < WINDOW, "answered {:?} after the write, past the window", started.elapsed());
    // Whatever comes up later carries no command.
    listener.set_nonblocking(true).expect("non-blocking mode");
    while started.elapsed() < 2 * SYN_RETRY {
        if let Ok((mut late, peer)) = listener.accept() {
            let is_own = backlog.iter().any(|s| s.local_addr().is_ok_and(|a| a.as_socket() == Some(peer)));
            let bytes = if is_own { 0 } else { read_to_end(&mut late, SYN_RETRY) };
            assert_eq!(bytes, 0, "the repeat was written {:?} after the first attempt", started.elapsed());
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Guards against a keyed write whose first attempt waits for its connection, and is written after the window of a later
/// attempt that has been carried out meanwhile.
#[test]
fn a_first_attempt_whose_connection_comes_up_after_the_window_of_a_later_one_is_not_written() {
    const WRITES: u64 = 12;
    // Connections to one node come up late; the other one carries out all it gets and never answers.
    let (late_listener, late) = listener_with_short_backlog();
    let _backlog = fill_backlog(late);
    let written: Arc<Mutex<HashMap<String, Vec<Instant>>>> = Arc::default();
    let carries_out = |command: &resp::Command, written: &Mutex<HashMap<String, Vec<Instant>>>| {
        let key = String::from_utf8_lossy(command.arg(1)).into_owned();
        written.lock().expect("lock not poisoned").entry(key).or_default().push(Instant::now());
    };
    let silent_listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bound");
    let silent = silent_listener.local_addr().expect("an address");
    for (listener, delay) in [(silent_listener, Duration::ZERO), (late_listener, 2 * SYN_RETRY)] {
        let written = written.clone();
        std::thread::spawn(move || {
            std::thread::sleep(delay);
            for stream in listener.incoming().flatten() {
                let written = written.clone();
                std::thread::spawn(move || {
                    answer_all(stream, |command| {
                        carries_out(command, &written);
                        Some(Vec::new())
                    });
                });
            }
        });
    }
    let proxy = Proxy::with(&Server::many(0), |c| {
        settings(c);
        c["known"] = list(41, true, &[host("s-0", late, "up"), host("s-1", silent, "up")]);
    });
    let mut clients: Vec<Peer> = (0..WRITES).map(|_| proxy.client()).collect();
    for (key, client) in (0..).zip(&mut clients) {
        client.set(key, "put", 5_000, "v");
    }
    std::thread::sleep(5 * SYN_RETRY);
    let written = written.lock().expect("lock not poisoned");
    assert!(!written.is_empty());
    for (key, times) in written.iter() {
        let spread = times[times.len() - 1] - times[0];
        assert!(spread <= WINDOW + SLACK, "the write of {key} was carried out again {spread:?} later");
    }
}

/// Guards against a long keyed write that takes effect twice because the node reads its repeat slowly, so that its last
/// byte comes after the window.
#[test]
fn a_long_repeat_that_its_node_has_not_read_by_the_end_of_the_dedup_window_is_broken_off() {
    const VALUE_BYTES: usize = 2 << 20;
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    listener.set_recv_buffer_size(16 << 10).expect("a receive buffer");
    listener.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into()).expect("bound");
    listener.listen(16).expect("listens");
    let listener = TcpListener::from(listener);
    let address = listener.local_addr().expect("an address");
    let proxy = Proxy::with(&Server::many(0), |c| {
        settings(c);
        c["known"] = list(41, true, &[host("s-0", address, "up")]);
    });
    let mut client = proxy.client();
    client.set(1, "put", 5_000, &"v".repeat(VALUE_BYTES));
    let (mut first, _) = listener.accept().expect("a connection");
    let (mut buffer, mut total) = (vec![0; 64 << 10], 0);
    while total < VALUE_BYTES {
        total += first.read(&mut buffer).expect("the write");
    }
    let started = Instant::now();
    socket2::SockRef::from(&first).set_linger(Some(Duration::ZERO)).expect("linger");
    drop(first);
    let (mut repeat, _) = listener.accept().expect("a connection for the repeat");
    std::thread::sleep((WINDOW + SLACK).saturating_sub(started.elapsed()));
    let bytes = read_to_end(&mut repeat, SYN_RETRY);
    assert!(bytes < VALUE_BYTES, "the whole repeat came after the window");
    let answer = client.line();
    assert!(answer.starts_with("-BUSY"), "{answer}");
}
