//! A keyed write is reset after it has run, and the connection for its repeat comes up late.

use crate::kit::*;
use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The time for which nodes drop repeats, from the first attempt on; the protocol's 50 ms are added.
const WINDOW_MS: u64 = 1000;
/// How long a node works on a write.
const WORK_MS: u64 = 80;
/// How long a node takes no connections.
const BUSY_MS: u64 = 600;

/// A node with a short queue of connections: while it is full, a further connection comes up late.
pub fn run(place: &Place) -> ! {
    let (record, trouble) = (place.record.clone(), place.trouble);
    // Which keys the node remembers, and since when; how often each write was carried out.
    let memory: Arc<Mutex<HashMap<String, Instant>>> = Arc::default();
    let ran = Arc::new(Counts::default());
    let attempts = Arc::new(Counts::default());
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(e));
    let at = listener.local_addr().unwrap();
    set_queue(&listener, 1);
    let busy: Arc<AtomicBool> = flag();
    let handle = {
        let (record, memory, ran, attempts, busy) =
            (record.clone(), memory.clone(), ran.clone(), attempts.clone(), busy.clone());
        move |conn: &mut NodeConn, words: Vec<Vec<u8>>| {
            let key = field(&words, "k").unwrap_or_default();
            let attempt = attempts.add(&key);
            let now = Instant::now();
            let since = *memory.lock().unwrap().entry(key.clone()).or_insert(now);
            let age = now.duration_since(since).as_millis() as u64;
            let repeat = attempt > 1 && age <= WINDOW_MS + 50;
            record.note(format!(
                "node s-0: SET, key of the write {key}, attempt {attempt}, {age} ms after the first"
            ));
            if repeat {
                record.note("node s-0: a repeat, dropped; the receipt is given again");
            } else {
                let times = ran.add(&key);
                memory.lock().unwrap().insert(key.clone(), now);
                record.note(format!("node s-0: carried out, {times} time(s) so far"));
            }
            if trouble && attempt == 1 {
                set(&busy);
                fill(at);
                sleep(WORK_MS);
                record.note("node s-0: the connection is reset");
                conn.reset();
                return false;
            }
            sleep(WORK_MS);
            conn.write(&served(format!("receipt of {key}").as_bytes()))
        }
    };
    let handle = Arc::new(handle);
    let accept_record = record.clone();
    std::thread::spawn(move || {
        let mut number = 0;
        loop {
            if is_set(&busy) {
                // No connection is taken for a while.
                sleep(BUSY_MS);
                busy.store(false, std::sync::atomic::Ordering::SeqCst);
                accept_record.note("node s-0: takes connections again");
            }
            listener.set_nonblocking(true).unwrap();
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    number += 1;
                    let (handle, n) = (handle.clone(), number);
                    std::thread::spawn(move || serve_node(stream, n, &*handle));
                }
                Err(_) => sleep(2),
            }
        }
    });
    let (discovery, list) = discovery(&[("s-0".into(), at)]);
    let settings = Settings {
        classes: vec![
            Class { name: "pack-lookup", aim_ms: 300, deadline_ms: 750, effect: "safe", window_ms: 0 },
            Class {
                name: "swap-record",
                aim_ms: 1200,
                deadline_ms: 2500,
                effect: "keyed",
                window_ms: WINDOW_MS,
            },
        ],
        proxies: 4,
        cancelling: true,
        connect_timeout_ms: 1500,
    };
    let proxy = place.proxy("n0", discovery, &list, &settings.json(), 128);
    let mut client = Client::to(proxy.listen);
    record.note("client: SET, d=2000, k=5c0f6e1a2b3d4c59");
    client.send_words(&[
        "CACHE.SET",
        "7f3a9c21e0b4d655",
        "9b1f03aa5c7e2d41",
        "c=swap-record,d=2000,k=5c0f6e1a2b3d4c59",
        "charge=80",
    ]);
    let answer = client.answer(ms(4000)).unwrap_or(Answer::End("never"));
    record.note(format!("client: {}", answer.short()));
    sleep(300);
    let times = ran.get("5c0f6e1a2b3d4c59");
    let sent = attempts.get("5c0f6e1a2b3d4c59");
    if trouble && sent < 2 && times == 1 {
        record.note("no repeat was sent");
    }
    verdict(place, times > 1, &format!("the write was sent {sent} times and carried out {times} times"))
}

/// Fills the queue of connections: these are opened and left alone.
fn fill(at: SocketAddr) {
    for _ in 0..4 {
        std::thread::spawn(move || {
            if let Ok(stream) = TcpStream::connect_timeout(&at, ms(3000)) {
                sleep(3000);
                drop(stream);
            }
        });
    }
    sleep(30);
}
