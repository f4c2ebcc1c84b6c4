//! Case: a planned restart while some clients take two seconds to write their request.
mod common;
use common::*;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The planned restarts of a run, one after another.
const RESTARTS: u64 = 5;
/// A new connection, with one request, each 5 ms; one request in five is written in two seconds.
const EVERY_MS: u64 = 5;
const SLOW_ONE_IN: u64 = 5;
const PARTS: usize = 20;

fn main() {
    let record = Record::new();
    // Six sound cache nodes: 60 ms of work for each request.
    let runs: Table<f64> = Table::default();
    let nodes: Vec<_> = (0..6)
        .map(|n| {
            let (record, runs) = (record.clone(), runs.clone());
            node(move |stream| {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                while let Some(request) = request(&mut reader) {
                    let at = record.add(format!("node {n} runs {} (write: {})", request.id, request.write));
                    runs.lock().unwrap().insert(request.id.clone(), at);
                    sleep_ms(60);
                    let value = made_for(&request.key, &request.id);
                    if (&stream).write_all(&served(value.as_bytes(), "hit")).is_err() {
                        return;
                    }
                }
            })
        })
        .collect();
    let broken: Arc<Mutex<Vec<String>>> = Arc::default();
    let answered = Arc::new(AtomicU64::new(0));
    for restart in 0..RESTARTS {
        let (mut proxy, _discovery) = Proxy::start(&Settings::default(), &nodes);
        let address = proxy.address;
        let mut clients = Vec::new();
        let (begin, mut term_at, mut number) = (record.ms(), None, 0);
        loop {
            let now = record.ms();
            if term_at.is_none() && now >= begin + 3_000.0 {
                if trouble() {
                    signal(proxy.child.id(), SIGTERM);
                    record.add(format!("restart {restart}: SIGTERM to the proxy"));
                }
                term_at = Some(now);
            }
            // New connections go on coming for 0.4 s.
            if term_at.is_some_and(|at| now >= at + 400.0) {
                break;
            }
            number += 1;
            let (slow, write) = (number % SLOW_ONE_IN == 0, number % 10 == 0);
            let (record, runs, broken, answered) =
                (record.clone(), runs.clone(), broken.clone(), answered.clone());
            clients.push(std::thread::spawn(move || {
                let (key, id) = (pack(number), new_id());
                let bytes = if write {
                    set(&key, &id, "swap-record", 1_000, &new_id(), b"swapped")
                } else {
                    get(&key, &id, "pack-lookup", 750)
                };
                let Ok(stream) = TcpStream::connect(address) else { return };
                let _ = stream.set_nodelay(true);
                let parts = if slow { PARTS } else { 1 };
                for (n, part) in bytes.chunks(bytes.len().div_ceil(parts)).enumerate() {
                    if n > 0 {
                        sleep_ms(2_000 / PARTS as u64);
                    }
                    // The proxy has ended the connection before the request was whole: it is not taken.
                    if (&stream).write_all(part).is_err() {
                        return;
                    }
                }
                let sent = record.add(format!("client has written all of {id} (slow: {slow}, write: {write})"));
                let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
                match answer(&mut BufReader::new(&stream)) {
                    Some(answer) => {
                        record.add(format!("client has for {id}: {}", answer.text()));
                        answered.fetch_add(1, Ordering::Relaxed);
                    }
                    None => {
                        record.add(format!("client sees the end without an answer to {id}"));
                        // What no cache node has run was perhaps not read.
                        if let Some(run) = runs.lock().unwrap().get(&id) {
                            broken.lock().unwrap().push(format!(
                                "{id} (write: {write}), taken at {sent:.0} ms and run by a cache node at {run:.0} ms, \
                                 has no answer"
                            ));
                        }
                    }
                }
            }));
            sleep_ms(EVERY_MS);
        }
        let term_at = term_at.unwrap_or(0.0);
        // SIGKILL comes no sooner than the longest deadline, 1 s, and 0.7 s more after SIGTERM.
        while trouble() && record.ms() < term_at + 1_700.0 {
            if let Ok(Some(status)) = proxy.child.try_wait() {
                record.add(format!("the proxy has ended: {status}"));
                break;
            }
            sleep_ms(2);
        }
        if trouble() {
            signal(proxy.child.id(), SIGKILL);
        }
        clients.into_iter().for_each(|c| c.join().expect("a client"));
    }
    let answered = answered.load(Ordering::Relaxed);
    record.add(format!("{answered} requests have an answer"));
    let broken = broken.lock().unwrap().drain(..).collect();
    finish(&record, Vec::new(), if answered < 500 { Err("too few answers".into()) } else { Ok(broken) })
}
