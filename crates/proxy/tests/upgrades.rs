//! Two processes that serve one listening socket: the ids of requests are in use at both.

use std::collections::HashMap;
use std::net::TcpListener;
use std::sync::{Arc, Barrier, Mutex};
use std::time::{Duration, Instant};
use testkit::scripted::*;

/// When nodes began to carry out each request, by its id.
type Executions = Arc<Mutex<HashMap<String, Vec<Instant>>>>;

/// Starts nodes that carry out what they are sent, for `work` each, and record it.
fn recording_nodes(count: usize, work: Duration) -> (Server, Executions) {
    let executions = Executions::default();
    let mut nodes = Server::many(0);
    for _ in 0..count {
        let executions = executions.clone();
        nodes.addresses.push(answering(move |command| {
            let id = String::from_utf8_lossy(command.arg(2)).into_owned();
            executions.lock().expect("lock not poisoned").entry(id).or_default().push(Instant::now());
            std::thread::sleep(work);
            Some(RECEIPT.into())
        }));
    }
    (nodes, executions)
}

/// Starts two processes on one socket, both of which are ready.
fn start_two(nodes: &Server) -> [Proxy; 2] {
    let socket = TcpListener::bind("127.0.0.1:0").expect("a socket");
    let first = Proxy::on_socket(&socket, nodes, |_| {});
    first.signal("-STOP");
    let second = Proxy::on_socket(&socket, nodes, |_| {});
    first.signal("-CONT");
    [first, second]
}

/// The ids that ran a second time while the first was being carried out. An id that comes later is another request's.
fn ran_twice(executions: &Executions, work: Duration) -> Vec<String> {
    let executions = executions.lock().expect("lock not poisoned");
    let overlap = |begun: &[Instant]| begun.windows(2).any(|pair| pair[1].duration_since(pair[0]) < work);
    executions.iter().filter(|(_, begun)| overlap(begun)).map(|(id, _)| id.clone()).collect()
}

fn write(key: usize, id: &str) -> Vec<u8> {
    encode(&["CACHE.SET", &format!("{key:016x}"), id, "c=once,d=10000", "v"])
}

/// Guards against an id that both processes take because it comes to them in the same moment.
#[test]
fn an_id_that_comes_to_both_processes_at_once_runs_once() {
    const CLIENTS_OF_EACH: usize = 3;
    const ROUNDS: usize = 400;
    const WORK: Duration = Duration::from_millis(15);
    let (nodes, executions) = recording_nodes(8, WORK);
    let [first, second] = start_two(&nodes);
    let start = Arc::new(Barrier::new(2 * CLIENTS_OF_EACH));
    let mut senders = Vec::new();
    for number in 0..2 * CLIENTS_OF_EACH {
        let (proxy, other) = if number % 2 == 0 { (&first, &second) } else { (&second, &first) };
        let mut client = proxy.client_beside(other);
        let start = start.clone();
        senders.push(std::thread::spawn(move || {
            for round in 0..ROUNDS {
                let command = write(round, &format!("round-{round}"));
                start.wait();
                client.send(&command);
                client.command();
            }
        }));
    }
    senders.into_iter().for_each(|sender| sender.join().expect("no panic"));
    let twice = ran_twice(&executions, WORK).len();
    assert_eq!(twice, 0, "{twice} of {ROUNDS} ran twice");
}

/// Guards against ids that are no longer protected because others share their place in the table.
#[test]
fn all_of_many_ids_in_use_at_one_process_are_refused_by_the_other() {
    const CLIENTS: usize = 4;
    const WRITES: usize = 100;
    const WORK: Duration = Duration::from_millis(1_500);
    for round in 0..5 {
        let (nodes, executions) = recording_nodes(60, WORK);
        let [first, second] = start_two(&nodes);
        let command = |i: usize| write(i, &format!("{round}-{i}"));
        let commands =
            |client: usize| (0..WRITES).flat_map(|i| command(client * WRITES + i)).collect::<Vec<u8>>();
        let connect = |proxy: &Proxy, other: &Proxy| -> Vec<Peer> {
            (0..CLIENTS).map(|_| proxy.client_beside(other)).collect()
        };
        let (mut at_first, mut at_second) = (connect(&first, &second), connect(&second, &first));
        at_first.iter_mut().enumerate().for_each(|(i, client)| client.send(commands(i)));
        std::thread::sleep(Duration::from_millis(600));
        at_second.iter_mut().enumerate().for_each(|(i, client)| client.send(commands(i)));
        for client in at_first.iter_mut().chain(&mut at_second) {
            (0..WRITES).for_each(|_| drop(client.command()));
        }
        let twice = ran_twice(&executions, WORK).len();
        assert_eq!(twice, 0, "round {round}: {twice} of {} ran twice", CLIENTS * WRITES);
    }
}

/// Guards against an id that is free at one process once its client has left the other, while a node may carry it out.
#[test]
fn the_id_of_a_client_that_has_left_one_process_is_refused_by_the_other() {
    const WORK: Duration = Duration::from_millis(1_500);
    let (nodes, executions) = recording_nodes(2, WORK);
    let [first, second] = start_two(&nodes);
    for (round, (proxy, other)) in [(&first, &second), (&second, &first)].into_iter().enumerate() {
        let command = write(1, &format!("left-{round}"));
        let mut leaving = proxy.client_beside(other);
        leaving.send(&command);
        while executions.lock().expect("lock not poisoned").len() <= round {
            std::thread::sleep(Duration::from_millis(5));
        }
        leaving.reset();
        std::thread::sleep(Duration::from_millis(200));
        let mut at_other = other.client_beside(proxy);
        at_other.send(&command);
        assert_eq!(at_other.line(), "-ERR the request id is in use");
    }
    assert_eq!(ran_twice(&executions, WORK).len(), 0);
}
