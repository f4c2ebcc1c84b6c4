//! A bad client sends a read and much that can't be read, and goes.

use crate::kit::*;
use std::io::Write;
use std::net::Shutdown;
use std::sync::{Arc, Mutex};
use std::time::Instant;

const NOISE: usize = 1 << 20;

pub fn run(place: &Place) -> ! {
    let (record, trouble) = (place.record.clone(), place.trouble);
    let seen: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let nodes: Vec<(String, std::net::SocketAddr)> = (0..3)
        .map(|n| {
            let (record, seen) = (record.clone(), seen.clone());
            let at = node(move |conn, words| {
                record.note(format!("node s-{n}: GET, request {}", text(&words[2])));
                seen.lock().unwrap().push(Instant::now());
                // A read of much work.
                sleep(400);
                conn.write(&served(b"pack"))
            });
            (format!("s-{n}"), at)
        })
        .collect();
    let (discovery, list) = discovery(&nodes);
    let settings = Settings {
        classes: vec![Class {
            name: "pack-lookup",
            aim_ms: 300,
            deadline_ms: 750,
            effect: "safe",
            window_ms: 0,
        }],
        proxies: 4,
        cancelling: true,
        connect_timeout_ms: 120,
    };
    let proxy = place.proxy("n0", discovery, &list, &settings.json(), 128);
    let mut client = Client::to(proxy.listen);
    client.send_words(&["CACHE.GET", "7f3a9c21e0b4d655", "9b1f03aa5c7e2d41", "c=pack-lookup,d=750"]);
    if trouble {
        let noise = vec![b'x'; NOISE];
        let _ = client.stream.set_write_timeout(Some(ms(50)));
        let mut written = 0;
        while written < NOISE {
            match client.stream.write(&noise[written..]) {
                Ok(n) => written += n,
                Err(_) => break,
            }
        }
        record.note(format!("client: GET and {written} bytes of noise"));
    }
    let _ = client.stream.shutdown(Shutdown::Both);
    drop(client);
    let closed = Instant::now();
    record.note("client: closed");
    sleep(1500);
    let late: Vec<u128> = seen
        .lock()
        .unwrap()
        .iter()
        .filter(|at| **at > closed)
        .map(|at| at.duration_since(closed).as_millis())
        .filter(|late| *late > 100)
        .collect();
    verdict(
        place,
        !late.is_empty(),
        &format!(
            "{} attempts in all; begun over 100 ms after the close: {late:?}",
            seen.lock().unwrap().len()
        ),
    )
}
