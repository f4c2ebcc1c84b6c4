//! Case: a cache node's second answer comes some milliseconds late.
mod common;
use common::*;
use std::io::{BufReader, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// One way between two data centres: the mean, and how far a message is off it at the most, as a part of it.
const ONE_WAY: Duration = Duration::from_millis(10);
const JITTER: f64 = 0.26;
/// How long after the answer its second copy is written.
const SECOND_AFTER: Duration = Duration::from_millis(4);
/// One answer in so many has a second copy.
const ONE_IN: u64 = 50;

/// The time that a message takes one way (SplitMix64).
fn one_way() -> Duration {
    static STATE: AtomicU64 = AtomicU64::new(59);
    let mut x = STATE.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    let part = ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64;
    ONE_WAY.mul_f64(1.0 + JITTER * (2.0 * part - 1.0))
}

/// Sleeps until a moment.
fn until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

fn main() {
    let record = Record::new();
    let answers = Arc::new(AtomicU64::new(0));
    let seconds = Arc::new(AtomicU64::new(0));
    // Three cache nodes in another data centre. What the proxy writes is with them some 10 ms later, and
    // the other way round; messages on a connection do not overtake one another.
    let nodes: Vec<_> = (0..3)
        .map(|n| {
            let (record, answers, seconds) = (record.clone(), answers.clone(), seconds.clone());
            node(move |stream| {
                // The link from the proxy: what is read is handed on some 10 ms later.
                let (arriving, arrived) = std::sync::mpsc::channel::<(Instant, Request)>();
                let incoming = stream.try_clone().unwrap();
                std::thread::spawn(move || {
                    let mut reader = BufReader::new(incoming);
                    while let Some(request) = request(&mut reader) {
                        if arriving.send((Instant::now() + one_way(), request)).is_err() {
                            return;
                        }
                    }
                });
                // The link to the proxy.
                let (sending, sent) = std::sync::mpsc::channel::<(Instant, Vec<u8>)>();
                std::thread::spawn(move || {
                    while let Ok((at, bytes)) = sent.recv() {
                        until(at);
                        if (&stream).write_all(&bytes).is_err() {
                            return;
                        }
                    }
                    let _ = stream.shutdown(std::net::Shutdown::Both);
                });
                let mut waiting = None;
                loop {
                    let Some((at, request)) = waiting.take().or_else(|| arrived.recv().ok()) else { return };
                    until(at);
                    record.add(format!("node {n} runs {}", request.id));
                    sleep_ms(20);
                    let bytes = served(made_for(&request.key, &request.id).as_bytes(), "hit");
                    let answered = Instant::now();
                    if sending.send((answered + one_way(), bytes.clone())).is_err() {
                        return;
                    }
                    record.add(format!("node {n} answers {}", request.id));
                    let number = answers.fetch_add(1, Ordering::Relaxed) + 1;
                    if trouble() && number % ONE_IN == 0 {
                        let second_at = answered + SECOND_AFTER;
                        // Only when nothing else waits on the connection, as the node sees it.
                        waiting = arrived.recv_timeout(SECOND_AFTER).ok();
                        match &waiting {
                            Some((at, _)) if *at <= second_at => {}
                            _ => {
                                until(second_at);
                                seconds.fetch_add(1, Ordering::Relaxed);
                                record.add(format!("node {n} writes a second answer to {}", request.id));
                                let _ = sending.send((second_at + one_way(), bytes));
                            }
                        }
                    }
                }
            })
        })
        .collect();
    let (proxy, _discovery) =
        Proxy::start(&Settings { proxies: 5, site: "durban", ..Settings::default() }, &nodes);

    // Twelve clients, each with one request at a time on a connection of its own, for ten seconds.
    let wrong: Arc<Mutex<Vec<String>>> = Arc::default();
    let served_count = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..12u64)
        .map(|c| {
            let (record, wrong, served_count) = (record.clone(), wrong.clone(), served_count.clone());
            let stream = proxy.connect();
            std::thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                let begun = Instant::now();
                for number in 0.. {
                    if begun.elapsed() > Duration::from_secs(10) {
                        return;
                    }
                    let (key, id) = (pack(c * 1_000 + number % 50), new_id());
                    let bytes = if number % 10 == 9 {
                        set(&key, &id, "swap-record", 1_000, &new_id(), b"swapped")
                    } else {
                        get(&key, &id, "pack-lookup", 750)
                    };
                    record.add(format!("client {c} sends {id} for {key}"));
                    if (&stream).write_all(&bytes).is_err() {
                        return;
                    }
                    let Some(answer) = answer(&mut reader) else {
                        record.add(format!("client {c}: the connection ended"));
                        return;
                    };
                    record.add(format!("client {c} has the answer to {id}: {}", answer.text()));
                    if matches!(answer, Answer::Line(_)) {
                        // A client that is refused or failed waits before its next request.
                        sleep_ms(50);
                    }
                    if let Some(value) = answer.value() {
                        served_count.fetch_add(1, Ordering::Relaxed);
                        if value != made_for(&key, &id).as_bytes() {
                            wrong.lock().unwrap().push(format!(
                                "request {id} for {key} was served with {}, which was made for another",
                                String::from_utf8_lossy(value)
                            ));
                        }
                    }
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|c| c.join().expect("a client"));
    let (served_count, seconds) = (served_count.load(Ordering::Relaxed), seconds.load(Ordering::Relaxed));
    record.add(format!("{served_count} served, {seconds} second answers"));
    let broken = wrong.lock().unwrap().drain(..).collect();
    let too_few = served_count < 200 || (trouble() && seconds == 0);
    finish(&record, vec![proxy], if too_few { Err("too few answers".into()) } else { Ok(broken) })
}
