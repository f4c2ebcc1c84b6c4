//! Case: a few clients stop in the middle of a long value and stay, while others write.
mod common;
use common::*;
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The time for which all cache nodes drop a repeat of a keyed write.
const WINDOW_MS: f64 = 1_000.0;
/// Each time limit is so much longer on sockets.
const SLACK_MS: f64 = 50.0;

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("connected");
    let _ = stream.set_nodelay(true);
    stream
}

/// Sends a request and waits for its answer for so long. Returns when its last byte was written, and the answer.
fn ask(
    stream: &TcpStream,
    bytes: &[u8],
    patience_ms: u64,
    record: &Record,
    id: &str,
) -> (f64, Option<Answer>) {
    let sent = match { stream }.write_all(bytes) {
        Ok(()) => record.add(format!("a kiosk has sent all of {id} ({} bytes)", bytes.len())),
        Err(e) => record.add(format!("a kiosk can't send {id}: {e}")),
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(patience_ms)));
    let answer = answer(&mut BufReader::new(stream));
    let text = answer.as_ref().map_or("no answer".into(), Answer::text);
    record.add(format!("a kiosk has for {id}: {text}"));
    (sent, answer)
}

fn main() {
    let record = Record::new();
    // When requests were run, by id, and when writes took effect, by idempotency key.
    let runs: Table<f64> = Table::default();
    let effects: Table<Vec<(f64, String)>> = Table::default();
    // Six sound cache nodes. They drop the repeats of a keyed write for a second from its last run that they know of.
    let nodes: Vec<_> = (0..6)
        .map(|n| {
            let (record, runs, effects) = (record.clone(), runs.clone(), effects.clone());
            node(move |stream| {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                while let Some(request) = request(&mut reader) {
                    let (id, k) = (request.id.clone(), request.field("k").to_owned());
                    let at =
                        record.add(format!("node {n} begins {id} ({} bytes) k={k}", request.value.len()));
                    runs.lock().unwrap().insert(id.clone(), at);
                    if request.write {
                        let mut effects = effects.lock().unwrap();
                        let known = effects.entry(k.clone()).or_default();
                        match known.last() {
                            Some((last, _)) if at <= last + WINDOW_MS + SLACK_MS => {
                                record.add(format!("node {n} drops {id}, a repeat of {k}"));
                            }
                            _ => known.push((at, id.clone())),
                        }
                    }
                    sleep_ms(30);
                    let value = made_for(&request.key, &request.id);
                    if (&stream).write_all(&served(value.as_bytes(), "hit")).is_err() {
                        return;
                    }
                }
            })
        })
        .collect();
    let settings = Settings { proxies: 2, ..Settings::default() };
    let (first, _discovery) = Proxy::start_as(0, &settings, &nodes);
    let (second, _other_discovery) = Proxy::start_as(1, &settings, &nodes);
    let (first_at, second_at) = (first.address, second.address);
    let broken: Arc<Mutex<Vec<String>>> = Arc::default();
    // When a client closed the connection of a request, by id.
    let closed: Table<f64> = Table::default();
    let begin = Instant::now();
    let mut threads = Vec::new();
    for kiosk in 0..4u64 {
        let (record, broken, closed) = (record.clone(), broken.clone(), closed.clone());
        threads.push(std::thread::spawn(move || {
            let mut stream = connect(first_at);
            let mut number = 0;
            while begin.elapsed() < Duration::from_secs(5) {
                number += 1;
                let (key, id) = (pack(kiosk * 1_000 + number), new_id());
                if number % 2 == 1 {
                    let (sent, answer) =
                        ask(&stream, &get(&key, &id, "pack-lookup", 750), 8_000, &record, &id);
                    let took = record.ms() - sent;
                    if answer.is_none() || took > 750.0 + 500.0 + SLACK_MS {
                        let line = format!("lost: read {id} (d=750) has its answer after {took:.0} ms");
                        broken.lock().unwrap().push(line);
                        stream = connect(first_at);
                    }
                    sleep_ms(100);
                    continue;
                }
                let (k, value) = (new_id(), vec![b'v'; 100_000]);
                if kiosk < 2 {
                    // These stay until they have an answer.
                    let bytes = set(&key, &id, "swap-record", 1_000, &k, &value);
                    let (sent, answer) = ask(&stream, &bytes, 8_000, &record, &id);
                    let took = record.ms() - sent;
                    if answer.is_none() || took > 1_000.0 + 500.0 + SLACK_MS {
                        let line = format!("lost: write {id} (d=1000) has its answer after {took:.0} ms");
                        broken.lock().unwrap().push(line);
                    }
                } else {
                    // These give up a try after 60% of the class's time, close its connection, and send the write again
                    // after a wait, with a new id and the same key, to the proxy that the front then gives them.
                    let bytes = set(&key, &id, "swap-record", 600, &k, &value);
                    if ask(&stream, &bytes, 600, &record, &id).1.is_none() {
                        drop(stream);
                        closed
                            .lock()
                            .unwrap()
                            .insert(id.clone(), record.add(format!("a kiosk closes: {id}")));
                        sleep_ms(30);
                        let again = new_id();
                        stream = connect(second_at);
                        let bytes = set(&key, &again, "swap-record", 370, &k, &value);
                        ask(&stream, &bytes, 370, &record, &again);
                        stream = connect(first_at);
                    }
                }
                sleep_ms(100);
            }
        }));
    }
    // Four bad clients: each begins a write of 4 MiB, stops in the middle of it and stays.
    sleep_ms(1_000);
    let mut bad = Vec::new();
    for _ in 0..4 * u64::from(trouble()) {
        let whole = set(&pack(77), &new_id(), "swap-record", 1_000, &new_id(), &vec![b'b'; 4 << 20]);
        let mut stream = connect(first_at);
        let _ = stream.write_all(&whole[..1_000]);
        record.add("a bad client stops in the middle of its write");
        let (record, watched, since) = (record.clone(), stream.try_clone().unwrap(), Instant::now());
        std::thread::spawn(move || {
            let answer = answer(&mut BufReader::new(watched));
            record.add(format!("the bad client has {answer:?} after {} ms", since.elapsed().as_millis()));
        });
        bad.push(stream);
    }
    threads.into_iter().for_each(|t| t.join().expect("a kiosk"));
    sleep_ms(1_000);
    let mut broken: Vec<String> = broken.lock().unwrap().drain(..).collect();
    let runs: HashMap<String, f64> = runs.lock().unwrap().clone();
    for (id, at) in closed.lock().unwrap().iter() {
        if let Some(run) = runs.get(id).filter(|run| **run > at + 100.0 + SLACK_MS) {
            let late = run - at;
            broken.push(format!(
                "lost: write {id} is sent {late:.0} ms after its client closed the connection"
            ));
        }
    }
    for (k, effects) in effects.lock().unwrap().iter().filter(|(_, effects)| effects.len() > 1) {
        broken.push(format!("duplicate: the write with the key {k} took effect twice: {effects:?}"));
    }
    finish(&record, vec![first, second], Ok(broken))
}
