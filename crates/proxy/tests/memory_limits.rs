//! Clients and cache nodes that are slow in every way at once, at the smallest limits of the platform: the process stays
//! within its memory limit, and others are served.

use serde_json::json;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};
use testkit::scripted::*;
use trestlesill::memory_limits::MemoryLimits;

/// The longest value that is answered whole.
const VALUE_BYTES: usize = 64 << 10;
/// How many cache nodes there are.
const NODES: usize = 60;
/// How long the crowd stays.
const DURATION: Duration = Duration::from_millis(2_500);

/// A cache node's side of a connection, written in parts with a pause before each.
struct SlowStream {
    stream: TcpStream,
    part_bytes: usize,
    pause: Duration,
}

impl Read for SlowStream {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.stream.read(buffer)
    }
}

impl Write for SlowStream {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        std::thread::sleep(self.pause);
        self.stream.write(&bytes[..bytes.len().min(self.part_bytes)])
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts a cache node that answers each read with a value of this length, in parts with a pause before each.
fn slow_node(value_bytes: usize, part_bytes: usize, pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a listener");
    let address = listener.local_addr().expect("an address");
    let value = "v".repeat(value_bytes);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = hit(&value);
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                answer_all(SlowStream { stream, part_bytes, pause }, |_| Some(answer.clone()));
            });
        }
    });
    address
}

/// What the clients of a crowd do.
#[derive(Clone, Copy, Debug)]
enum Behaviour {
    /// Stop within a long value.
    StopInLongValue,
    /// Stop within a value that is not streamed.
    StopInShortValue,
    /// Stop within the arguments before the value, which are many.
    StopInHead,
    /// Send several reads and take no answer.
    ReadNothing,
}

/// The first bytes of a write of a value of this length.
fn begun_write(length: usize, sent: usize) -> Vec<u8> {
    let head = format!(
        "*5\r\n$9\r\nCACHE.SET\r\n$1\r\n1\r\n$1\r\na\r\n$20\r\nc=put,d=15000,k=5c0f\r\n${length}\r\n"
    );
    [head.as_bytes(), &vec![b'v'; sent]].concat()
}

/// What a client sends; `number` makes its requests different from those of others.
fn bytes_of(behaviour: Behaviour, number: usize) -> Vec<u8> {
    let argument =
        |length: usize| [format!("${length}\r\n").as_bytes(), &vec![b'a'; length], b"\r\n"].concat();
    match behaviour {
        Behaviour::StopInLongValue => begun_write(4 << 20, 200_000),
        Behaviour::StopInShortValue => begun_write(60_000, 59_000),
        Behaviour::StopInHead => [b"*16\r\n".to_vec(), argument(250).repeat(15)].concat(),
        Behaviour::ReadNothing => (0..4)
            .flat_map(|i| {
                let (key, id) = (format!("{:x}", number * 4 + i), format!("{number}-{i}"));
                encode(&["CACHE.GET", &key, &id, "c=read,d=15000"])
            })
            .collect(),
    }
}

/// The limits of a process.
#[derive(Clone, Copy, Debug)]
struct Limits {
    memory_mb: u64,
    descriptors: u64,
}

/// Connects clients that behave as given, in turn, and asserts that the process stays within its memory and serves.
fn assert_within_limits(limits: Limits, behaviours: &[Behaviour], node: impl Fn() -> SocketAddr) {
    let mut nodes = Server::many(0);
    nodes.addresses.extend((0..NODES).map(|_| node()));
    let proxy = Proxy::with(&nodes, |c| {
        c["limits"] = json!({"cores": 1.0, "memory_mb": limits.memory_mb, "sockets": limits.descriptors});
    });
    let clients = limits.descriptors as usize * 6 / 10;
    let mut crowd = Vec::new();
    for number in 0..clients {
        let mut client = connect_with_small_buffers(proxy.address);
        client.set_nonblocking(true).expect("non-blocking mode");
        // What the proxy does not take stays with the client.
        let _ = client.write(&bytes_of(behaviours[number % behaviours.len()], number));
        crowd.push(client);
    }
    let connected = Instant::now();
    while connected.elapsed() < DURATION {
        std::thread::sleep(Duration::from_millis(50));
        let peak = proxy.status("VmHWM");
        assert!(peak <= limits.memory_mb << 10, "{limits:?} {behaviours:?}: {peak} kB");
    }
    proxy.assert_serving();
}

/// The smallest memory limits of the platform, each with few and many descriptors.
const SMALL: [Limits; 4] = [
    Limits { memory_mb: 16, descriptors: 256 },
    Limits { memory_mb: 16, descriptors: 1_024 },
    Limits { memory_mb: 32, descriptors: 1_024 },
    Limits { memory_mb: 48, descriptors: 1_024 },
];

/// Guards against memory for answers that cache nodes write slowly, which belonged to no budget.
#[test]
fn answers_that_nodes_write_slowly_do_not_take_the_process_over_its_memory_limit() {
    for limits in SMALL {
        assert_within_limits(limits, &[Behaviour::ReadNothing], || {
            slow_node(VALUE_BYTES - 2_000, 3_000, Duration::from_millis(90))
        });
    }
}

/// Guards against budgets that hold one by one and not together.
#[test]
fn slow_clients_and_slow_nodes_together_do_not_take_the_process_over_its_memory_limit() {
    use Behaviour::{ReadNothing, StopInHead, StopInLongValue, StopInShortValue};
    for limits in SMALL.into_iter().filter(|limits| limits.descriptors == 1_024) {
        let behaviours =
            [StopInLongValue, ReadNothing, StopInShortValue, ReadNothing, StopInHead, ReadNothing];
        assert_within_limits(limits, &behaviours, || {
            slow_node(VALUE_BYTES - 2_000, 12_000, Duration::from_millis(90))
        });
    }
}

/// Guards against a budget that grows with the limit, and descriptors that do not.
#[test]
fn a_process_with_much_memory_stays_within_it_too() {
    let limits = Limits { memory_mb: 192, descriptors: 1_024 };
    let behaviours = [Behaviour::StopInLongValue, Behaviour::ReadNothing];
    assert_within_limits(limits, &behaviours, || {
        slow_node(VALUE_BYTES - 2_000, 12_000, Duration::from_millis(90))
    });
}

/// Guards against budgets whose sum, with what is in none of them, is more than the limit.
#[test]
fn the_budgets_leave_room_for_the_process_and_its_connections() {
    for memory_mb in [16, 32, 48, 192, 2_048] {
        for descriptors in [64, 256, 512, 1_024] {
            let budgets = MemoryLimits::new(memory_mb, descriptors);
            let memory = (memory_mb as usize) << 20;
            let unbudgeted = (4 << 20) + descriptors * (4 << 10);
            assert!(budgets.total() + unbudgeted <= memory, "{memory_mb} MB, {descriptors}: {budgets:?}");
            // A value of the greatest length can be written and read.
            assert!(budgets.values >= 4 << 20, "{memory_mb} MB, {descriptors}: {budgets:?}");
            assert!(budgets.replies >= 1 << 20, "{memory_mb} MB, {descriptors}: {budgets:?}");
        }
    }
}

/// Guards against replies that wait for the memory of one another for good.
#[test]
fn replies_that_wait_for_memory_are_completed_and_served() {
    const CLIENTS: usize = 100;
    let mut nodes = Server::many(0);
    let node = || slow_node(VALUE_BYTES - 2_000, 12_000, Duration::from_millis(90));
    nodes.addresses.extend((0..NODES).map(|_| node()));
    let proxy = Proxy::with(&nodes, |c| {
        c["limits"] = json!({"cores": 1.0, "memory_mb": 16, "sockets": 1_024});
    });
    let mut clients: Vec<Peer> = (0..CLIENTS).map(|_| proxy.client()).collect();
    (0..).zip(&mut clients).for_each(|(key, client)| client.get(key, "read", 15_000));
    let answers: Vec<Vec<String>> = clients.iter_mut().map(Peer::command).collect();
    let served = answers.iter().filter(|answer| answer[0].len() == VALUE_BYTES - 2_000).count();
    let refused = answers.iter().filter(|answer| answer[0].starts_with("-BUSY")).count();
    // Answers that find no memory may be refused; none is lost and none fails.
    assert_eq!(served + refused, CLIENTS, "{served} served, {refused} refused");
    assert!(served >= CLIENTS / 2, "{served} served");
}
