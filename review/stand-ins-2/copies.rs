//! Second copies of receipts come 4 ms late over a link between data centres, to proxies that have just started.

use crate::kit::*;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The link's delay, one way, and how far each message is off it at most: the site's largest figures.
const LINK_US: u64 = 10_000;
const JITTER: f64 = 0.26;
/// How late the second copy is written.
const LATE_MS: u64 = 4;
const WORK_MS: u64 = 40;
/// Proxies, one after another, and pairs of a write and a read of each.
const PROXIES: usize = 20;
const PAIRS: usize = 2;

/// A relay that delays each message by the link's delay and jitter, and keeps the order on a connection.
fn relay(to: SocketAddr, seed: u64) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(e));
    let at = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let mut state = seed;
        for client in listener.incoming().flatten() {
            let Ok(server) = TcpStream::connect(to) else { continue };
            for (mut from, mut into) in [
                (client.try_clone().unwrap(), server.try_clone().unwrap()),
                (server.try_clone().unwrap(), client.try_clone().unwrap()),
            ] {
                let _ = into.set_nodelay(true);
                let (send, receive) = mpsc::channel::<(Instant, Vec<u8>)>();
                state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
                let mut random = Random(state | 1);
                std::thread::spawn(move || {
                    let mut buffer = [0; 64 << 10];
                    loop {
                        let n = from.read(&mut buffer).unwrap_or(0);
                        let delay = LINK_US as f64 * (1.0 + JITTER * (2.0 * random.unit() - 1.0));
                        let due = Instant::now() + Duration::from_micros(delay as u64);
                        if send.send((due, buffer[..n].to_vec())).is_err() || n == 0 {
                            return;
                        }
                    }
                });
                std::thread::spawn(move || {
                    for (due, bytes) in receive {
                        std::thread::sleep(due.saturating_duration_since(Instant::now()));
                        if bytes.is_empty() || into.write_all(&bytes).is_err() {
                            let _ = into.shutdown(Shutdown::Write);
                            return;
                        }
                    }
                });
            }
        }
    });
    at
}

pub fn run(place: &Place) -> ! {
    let (record, trouble) = (place.record.clone(), place.trouble);
    let (mut wrong, mut right, mut copies) = (Vec::new(), 0, 0);
    for n in 0..PROXIES {
        let sent = Arc::new(AtomicUsize::new(0));
        // Commands that have come, by connection.
        let come = Arc::new(Counts::default());
        let at = {
            let (record, come, sent) = (record.clone(), come.clone(), sent.clone());
            node(move |conn, words| {
                let (key, id, write) = (text(&words[1]), text(&words[2]), words.len() == 5);
                let number = conn.number.to_string();
                let seen = come.add(&number);
                record.note(format!("node s-{n}: {} {key}, request {id}", text(&words[0])));
                sleep(WORK_MS);
                let bytes = served(
                    if write { b"done".to_vec() } else { format!("pack {key}: charge 80").into_bytes() }
                        .as_slice(),
                );
                conn.write(&bytes);
                record.note(format!("node s-{n}: answer to {id}"));
                // One answer in four has a second copy: that of each proxy's first write.
                if trouble && write && id.ends_with("-0") {
                    let (come, sent, record) = (come.clone(), sent.clone(), record.clone());
                    let mut stream = conn.stream.try_clone().unwrap();
                    std::thread::spawn(move || {
                        sleep(LATE_MS);
                        // Only when nothing else waits on the connection.
                        if come.get(&number) == seen {
                            let _ = stream.write_all(&bytes);
                            sent.fetch_add(1, Ordering::SeqCst);
                            record.note(format!("node s-{n}: second copy of the answer to {id}"));
                        }
                    });
                }
                true
            })
        };
        let (discovery, list) = discovery(&[(format!("s-{n}"), relay(at, 0x5eed + n as u64))]);
        let settings = Settings {
            classes: vec![
                Class { name: "pack-lookup", aim_ms: 300, deadline_ms: 750, effect: "safe", window_ms: 0 },
                Class {
                    name: "swap-record",
                    aim_ms: 500,
                    deadline_ms: 1000,
                    effect: "keyed",
                    window_ms: 1000,
                },
            ],
            proxies: 4,
            cancelling: true,
            connect_timeout_ms: 120,
        };
        let proxy = place.proxy(&format!("n{n}"), discovery, &list, &settings.json(), 128);
        let mut client = Client::to(proxy.listen);
        for pair in 0..PAIRS {
            let key = format!("7f3a9c21e0b4{n:02}{pair:02}");
            let (set, get) = (format!("w{n}-{pair}"), format!("r{n}-{pair}"));
            // A kiosk writes a pack's record and reads it again.
            client.send_words(&[
                "CACHE.SET",
                &key,
                &set,
                &format!("c=swap-record,d=1000,k=k{set}"),
                "charge=80",
            ]);
            let receipt = client.answer(ms(3000)).unwrap_or(Answer::End("never"));
            record.note(format!("client: answer to {set}: {}", receipt.short()));
            if receipt.value().is_some_and(|v| v != b"done") {
                wrong.push(format!("the write {set} was served with {}", receipt.short()));
            }
            client.send_words(&["CACHE.GET", &key, &get, "c=pack-lookup,d=750"]);
            let answer = client.answer(ms(3000)).unwrap_or(Answer::End("never"));
            record.note(format!("client: answer to {get}: {}", answer.short()));
            match answer.value() {
                Some(value) if value == format!("pack {key}: charge 80").as_bytes() => right += 1,
                Some(value) => wrong.push(format!("the read {get} was served with {:?}", text(value))),
                None => {}
            }
            sleep(100);
        }
        copies += sent.load(Ordering::SeqCst);
        signal(proxy.pid, "KILL");
    }
    let first = wrong.first().map_or("no wrong data", |w| w);
    verdict(
        place,
        !wrong.is_empty(),
        &format!(
            "{copies} second copies; {right} of {} reads right, {} answers wrong; {first}",
            PROXIES * PAIRS,
            wrong.len()
        ),
    )
}
