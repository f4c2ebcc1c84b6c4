//! Hundreds of clients at once that write slowly, stop half way or send heads of many short arguments: the process stays
//! within its memory limit, and others are served.

use serde_json::json;
use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use testkit::scripted::*;

/// The memory limit of the process, in MB.
const MEMORY_MB: u64 = 16;
/// Clients of a crowd: with 512 descriptors two thirds are for clients.
const CLIENTS: usize = 300;

/// Sends these bytes over each connection of a crowd, in parts with pauses as given, and asserts the limit.
fn assert_crowd_stays_within_memory(what: &str, bytes: &[u8], part: usize, pause: Duration) {
    let mut server = Server::many(0);
    for _ in 0..8 {
        server.addresses.push(answering(|_| Some(hit("v"))));
    }
    let proxy = Proxy::with(&server, |c| {
        c["limits"] = json!({"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 512});
    });
    let mut crowd: Vec<TcpStream> = (0..CLIENTS)
        .map(|_| {
            let stream = TcpStream::connect(proxy.address).expect("connected");
            stream.set_nonblocking(true).expect("non-blocking mode");
            stream
        })
        .collect();
    let mut sent = [0; CLIENTS];
    for end in (part..=bytes.len() + part - 1).step_by(part) {
        let end = end.min(bytes.len());
        for (client, sent) in crowd.iter_mut().zip(&mut sent) {
            // What the proxy does not take stays with the client.
            *sent += client.write(&bytes[*sent..end]).unwrap_or(0);
        }
        std::thread::sleep(pause);
    }
    std::thread::sleep(Duration::from_millis(300));
    let peak = proxy.status("VmHWM");
    assert!(peak <= MEMORY_MB << 10, "{what}: {peak} kB of {MEMORY_MB} MB");
    proxy.assert_serving();
}

/// The first bytes of a write of a value of this length.
fn begun_write(length: usize, sent: usize) -> Vec<u8> {
    let head = format!(
        "*5\r\n$9\r\nCACHE.SET\r\n$1\r\n1\r\n$1\r\na\r\n$20\r\nc=put,d=15000,k=5c0f\r\n${length}\r\n"
    );
    [head.as_bytes(), &vec![b'v'; sent]].concat()
}

/// Guards against memory for what clients have announced, or have sent of it without room for it.
#[test]
fn clients_that_stop_half_way_through_long_values_do_not_take_the_process_over_its_memory_limit() {
    for (length, sent) in [(4 << 20, 200_000), (4 << 20, 1_000), (100_000, 90_000), (60_000, 59_000)] {
        let what = format!("{sent} of {length} bytes");
        let bytes = begun_write(length, sent);
        assert_crowd_stays_within_memory(&what, &bytes, bytes.len(), Duration::ZERO);
    }
}

/// Guards against memory for values that arrive in small pieces from many clients at once.
#[test]
fn clients_that_write_slowly_do_not_take_the_process_over_its_memory_limit() {
    for length in [60_000, 200_000] {
        let bytes = begun_write(length, length);
        let what = format!("{length} bytes slowly");
        assert_crowd_stays_within_memory(&what, &bytes, length / 10, Duration::from_millis(100));
    }
}

/// Guards against budgets that hold one by one and not together.
#[test]
fn crowds_of_all_kinds_at_once_do_not_take_the_process_over_its_memory_limit() {
    let mut server = Server::many(0);
    for _ in 0..30 {
        server.addresses.push(answering(|_| Some(hit(&"v".repeat(62_000)))));
    }
    let proxy = Proxy::with(&server, |c| {
        c["limits"] = json!({"cores": 1.0, "memory_mb": 2 * MEMORY_MB, "sockets": 1024});
    });
    let argument = [b"$1024\r\n".to_vec(), vec![b'a'; 1_024], b"\r\n".to_vec()].concat();
    let kinds = [
        begun_write(4 << 20, 200_000),
        begun_write(60_000, 59_000),
        [b"*16\r\n".to_vec(), argument.repeat(3)].concat(),
        Vec::new(),
    ];
    let mut crowd = Vec::new();
    for number in 0..2 * CLIENTS {
        let mut client = TcpStream::connect(proxy.address).expect("connected");
        let reads = |i| {
            let (key, id) = (format!("{:x}", number * 4 + i), format!("{number}-{i}"));
            encode(&["CACHE.GET", &key, &id, "c=read,d=15000"])
        };
        let bytes = match &kinds[number % kinds.len()] {
            bytes if bytes.is_empty() => (0..4).flat_map(reads).collect(),
            bytes => bytes.clone(),
        };
        client.set_nonblocking(true).expect("non-blocking mode");
        let _ = client.write(&bytes);
        crowd.push(client);
    }
    std::thread::sleep(Duration::from_millis(1_000));
    let peak = proxy.status("VmHWM");
    assert!(peak <= (2 * MEMORY_MB) << 10, "{peak} kB of {} MB", 2 * MEMORY_MB);
}

/// Guards against memory for arguments that belong to no budget.
#[test]
fn clients_that_send_heads_of_many_arguments_do_not_take_the_process_over_its_memory_limit() {
    for (count, length) in [(16, 1_024), (16, 100), (4, 1_024)] {
        let argument = [format!("${length}\r\n").into_bytes(), vec![b'a'; length], b"\r\n".to_vec()].concat();
        let mut bytes = format!("*{count}\r\n").into_bytes();
        (1..count).for_each(|_| bytes.extend_from_slice(&argument));
        let what = format!("{count} arguments of {length} bytes");
        assert_crowd_stays_within_memory(&what, &bytes, bytes.len(), Duration::ZERO);
    }
}

/// Guards against requests on new connections that wait unread behind a crowd until their time is over, and whose nodes are told
/// of time that has passed.
#[test]
fn requests_of_new_clients_are_answered_in_time_while_a_crowd_stops_half_way() {
    const CROWD: usize = 400;
    const USUAL: usize = 5;
    const DEADLINE: Duration = Duration::from_millis(600);
    /// Up to half a second after its time an answer only earns nothing, and each time limit is 50 ms longer.
    const LOST_AFTER: Duration = Duration::from_millis(600 + 500 + 50);
    /// The time stated to a node may exceed what is left by this much.
    const SLACK: Duration = Duration::from_millis(150);
    let sent_at: Arc<Mutex<Option<Instant>>> = Arc::default();
    let overstated: Arc<Mutex<Vec<Duration>>> = Arc::default();
    let mut nodes = Server::many(0);
    for _ in 0..3 {
        let (sent_at, overstated) = (sent_at.clone(), overstated.clone());
        nodes.addresses.push(answering(move |command| {
            let fields = String::from_utf8_lossy(command.arg(3)).into_owned();
            let told = fields.split(',').find_map(|field| field.strip_prefix("d=")?.parse().ok());
            let told = Duration::from_millis(told.expect("a time"));
            let sent_at = sent_at.lock().expect("lock not poisoned").expect("sent");
            let left = DEADLINE.saturating_sub(sent_at.elapsed());
            if told > left + SLACK {
                overstated.lock().expect("lock not poisoned").push(told - left);
            }
            Some(cached(command))
        }));
    }
    for begun in [&b"*4\r\n$9\r\nCACHE.GET\r\n$16\r\n7f3a9c"[..], &begun_write(100_000, 50_000)] {
        let proxy = Proxy::with(&nodes, |c| {
            c["limits"] = json!({"cores": 1.0, "memory_mb": 96, "sockets": 512});
        });
        let _crowd: Vec<TcpStream> = (0..CROWD)
            .map(|_| {
                let mut stream = TcpStream::connect(proxy.address).expect("connected");
                stream.set_nonblocking(true).expect("non-blocking mode");
                let _ = stream.write(begun);
                stream
            })
            .collect();
        std::thread::sleep(Duration::from_millis(200));
        let sent = Instant::now();
        *sent_at.lock().expect("lock not poisoned") = Some(sent);
        let mut clients: Vec<Peer> = (0..USUAL).map(|_| proxy.client()).collect();
        for (key, client) in clients.iter_mut().enumerate() {
            client.get(key as u64, "read", DEADLINE.as_millis() as u64);
        }
        for client in &mut clients {
            client.command();
            assert!(sent.elapsed() < LOST_AFTER, "answered after {:?}", sent.elapsed());
        }
    }
    let overstated = overstated.lock().expect("lock not poisoned");
    assert!(overstated.is_empty(), "nodes were told of more than is left: {overstated:?}");
}
