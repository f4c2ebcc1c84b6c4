//! Planned restarts: SIGTERM while clients use their connections up to the end. SIGKILL comes the longest deadline, 3 s at the
//! most, and 0.7 s after it; whatever has reached a cache node by then is answered.

use serde_json::{json, Value};
use std::collections::HashSet;
use std::io::{Read, Write};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use testkit::scripted::*;

/// How long a node works on a request.
const WORK: Duration = Duration::from_millis(60);
/// How long new connections come after SIGTERM.
const NEW_CONNECTIONS: Duration = Duration::from_millis(400);

/// The ids of requests that nodes have carried out.
type Executed = Arc<Mutex<HashSet<String>>>;

/// Nodes that work for so long on each request.
fn working_nodes(work: Duration) -> (Server, Executed) {
    let executed = Executed::default();
    let mut nodes = Server::many(0);
    for _ in 0..6 {
        let executed = executed.clone();
        nodes.addresses.push(answering(move |command| {
            let id = String::from_utf8_lossy(command.arg(2)).into_owned();
            executed.lock().expect("lock not poisoned").insert(id);
            std::thread::sleep(work);
            Some(cached(command))
        }));
    }
    (nodes, executed)
}

/// Sets the deadline of all classes.
fn set_deadline(config: &mut Value, deadline: Duration) {
    for class in config["settings"]["categories"].as_array_mut().expect("classes") {
        class["deadline_ns"] = json!(deadline.as_nanos() as u64);
        class["promise_ns"] = json!(deadline.as_nanos() as u64 / 2);
    }
}

fn read(id: &str, deadline: Duration) -> Vec<u8> {
    encode(&["CACHE.GET", "1", id, &format!("c=read,d={}", deadline.as_millis())])
}

/// When SIGKILL comes at the earliest.
fn kill_after(deadline: Duration) -> Duration {
    deadline.min(Duration::from_secs(3)) + Duration::from_millis(700)
}

/// Asserts that the process ends before SIGKILL, and not by itself with an error.
fn assert_ends_in_time(proxy: &mut Proxy, terminated: Instant, deadline: Duration) {
    assert!(proxy.wait().success());
    assert!(terminated.elapsed() < kill_after(deadline), "it ended {:?} after SIGTERM", terminated.elapsed());
}

/// Guards against requests that are taken from a connection which is never without one, and not answered at the end.
#[test]
fn a_client_with_commands_behind_one_another_has_all_its_answers_when_the_process_ends() {
    const DEADLINE: Duration = Duration::from_secs(1);
    for run in 0..3 {
        let (nodes, executed) = working_nodes(WORK);
        let mut proxy = Proxy::with(&nodes, |c| set_deadline(c, DEADLINE));
        let mut client = proxy.client();
        let mut reader = client.stream.try_clone().expect("a second handle");
        let reading = std::thread::spawn(move || {
            let mut answers = Vec::new();
            let _ = reader.read_to_end(&mut answers);
            answers
        });
        let began = Instant::now();
        let mut terminated = None;
        let mut sent = 0;
        while !reading.is_finished() {
            if terminated.is_none() && began.elapsed() > Duration::from_millis(500) {
                proxy.signal("-TERM");
                terminated = Some(Instant::now());
            }
            // The connection may end at any moment.
            let _ = client.stream.write_all(&read(&format!("{run}-{sent}"), DEADLINE));
            sent += 1;
            std::thread::sleep(Duration::from_millis(15));
        }
        let answers = String::from_utf8_lossy(&reading.join().expect("no panic")).into_owned();
        let answered = answers.matches("*3\r\n").count()
            + answers.matches("-BUSY").count()
            + answers.matches("-ERR").count();
        let executed = executed.lock().expect("lock not poisoned");
        let lost: Vec<usize> =
            (answered..sent).filter(|i| executed.contains(&format!("{run}-{i}"))).collect();
        assert!(lost.is_empty(), "run {run}: {answered} of {sent} answered, and nodes ran {lost:?}");
        assert_ends_in_time(&mut proxy, terminated.expect("terminated"), DEADLINE);
    }
}

/// Guards against requests that clients take 2 s to write, and that are sent on shortly before the process ends.
#[test]
fn requests_that_are_written_slowly_are_answered_if_they_are_sent_on() {
    const DEADLINE: Duration = Duration::from_secs(1);
    const PARTS: usize = 20;
    let (nodes, executed) = working_nodes(WORK);
    let mut proxy = Proxy::with(&nodes, |c| set_deadline(c, DEADLINE));
    let mut terminated: Option<Instant> = None;
    let began = Instant::now();
    let mut writers = Vec::new();
    while terminated.is_none_or(|at| at.elapsed() < NEW_CONNECTIONS) {
        if terminated.is_none() && began.elapsed() > Duration::from_millis(1_500) {
            proxy.signal("-TERM");
            terminated = Some(Instant::now());
        }
        let id = format!("slow-{}", writers.len());
        let mut client = proxy.client();
        let executed = executed.clone();
        writers.push(std::thread::spawn(move || {
            let command = read(&id, DEADLINE);
            for part in command.chunks(command.len().div_ceil(PARTS)) {
                std::thread::sleep(Duration::from_millis(2_000) / PARTS as u32);
                if client.stream.write_all(part).is_err() {
                    break;
                }
            }
            let answer = client.rest_until_reset();
            (executed.lock().expect("lock not poisoned").contains(&id) && answer.is_empty()).then_some(id)
        }));
        std::thread::sleep(Duration::from_millis(10));
    }
    // Each client that is served keeps its connection until the process ends.
    assert_ends_in_time(&mut proxy, terminated.expect("terminated"), DEADLINE);
    let lost: Vec<String> =
        writers.into_iter().filter_map(|writer| writer.join().expect("no panic")).collect();
    assert!(lost.is_empty(), "nodes ran {lost:?}, which have no answer");
}

/// Guards against requests that are open until SIGKILL, as the longest deadline is longer than the platform waits.
#[test]
fn a_request_with_a_longer_time_than_the_platform_waits_is_answered_before_sigkill() {
    const DEADLINE: Duration = Duration::from_secs(5);
    let (nodes, executed) = working_nodes(Duration::from_millis(4_500));
    let mut proxy = Proxy::with(&nodes, |c| set_deadline(c, DEADLINE));
    let mut clients: Vec<Peer> = (0..4).map(|_| proxy.client()).collect();
    for (i, client) in clients.iter_mut().enumerate() {
        client.send(read(&format!("long-{i}"), DEADLINE));
    }
    while executed.lock().expect("lock not poisoned").len() < clients.len() {
        std::thread::sleep(Duration::from_millis(5));
    }
    let terminated = Instant::now();
    proxy.signal("-TERM");
    for client in &mut clients {
        let answer = client.line();
        assert!(answer.starts_with('-'), "{answer}");
        assert!(
            terminated.elapsed() < kill_after(DEADLINE),
            "answered {:?} after SIGTERM",
            terminated.elapsed()
        );
    }
    assert_ends_in_time(&mut proxy, terminated, DEADLINE);
}

/// Guards against a request that crosses the end of a resting connection and is read all the same: it can't be answered any
/// more. Unread, it resets the connection, and its client sends it again.
#[test]
fn a_request_that_crosses_the_end_of_its_connection_is_not_read() {
    let (nodes, executed) = working_nodes(WORK);
    let mut proxy = Proxy::start(&nodes);
    let mut client = proxy.client();
    client.send(encode(&["PING"]));
    assert_eq!(client.line(), "+PONG");
    proxy.signal("-TERM");
    assert!(client.take_some().is_empty(), "the connection has not ended");
    client.offers(read("crossing", Duration::from_secs(1)));
    assert!(proxy.wait().success());
    // Only a close over unread bytes resets a connection that had ended before.
    let error = client.stream.take_error().expect("its state");
    assert!(error.is_some(), "the request was read");
    assert!(executed.lock().expect("lock not poisoned").is_empty(), "it was sent on");
}
