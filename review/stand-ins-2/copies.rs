//! A second copy of a receipt comes some milliseconds late over a link between data centres.

use crate::kit::*;
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The link's delay, one way.
const LINK_MS: u64 = 8;
/// How late the second copy is sent.
const LATE_MS: u64 = 12;
const WORK_MS: u64 = 40;

/// A relay that delays what goes either way, in order.
fn relay(to: SocketAddr, delay_ms: u64) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(e));
    let at = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let Ok(server) = TcpStream::connect(to) else { continue };
            for (mut from, mut into) in [
                (client.try_clone().unwrap(), server.try_clone().unwrap()),
                (server.try_clone().unwrap(), client.try_clone().unwrap()),
            ] {
                let _ = into.set_nodelay(true);
                let (send, receive) = mpsc::channel::<(Instant, Vec<u8>)>();
                std::thread::spawn(move || {
                    let mut buffer = [0; 64 << 10];
                    loop {
                        let n = from.read(&mut buffer).unwrap_or(0);
                        if send.send((Instant::now() + ms(delay_ms), buffer[..n].to_vec())).is_err() || n == 0 {
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
    // By connection: commands that have come and are not answered.
    let waiting: Arc<Mutex<VecDeque<(usize, u32)>>> = Arc::default();
    let at = {
        let (record, waiting) = (record.clone(), waiting.clone());
        node(move |conn, words| {
            let (key, write) = (text(&words[1]), words.len() == 5);
            let seen = {
                let mut all = waiting.lock().unwrap();
                all.push_back((conn.number, 0));
                all.iter().filter(|w| w.0 == conn.number).count()
            };
            record.note(format!("node s-0: {} {key}, request {}", text(&words[0]), text(&words[2])));
            sleep(WORK_MS);
            let bytes = served(if write { b"done".to_vec() } else { format!("pack {key}: charge 80") .into_bytes() }.as_slice());
            conn.write(&bytes);
            record.note(format!("node s-0: answer to {}", text(&words[2])));
            if trouble && write {
                let (waiting, record) = (waiting.clone(), record.clone());
                let (mut stream, number) = (conn.stream.try_clone().unwrap(), conn.number);
                std::thread::spawn(move || {
                    sleep(LATE_MS);
                    // Only when nothing else waits on the connection.
                    let waits = waiting.lock().unwrap().iter().filter(|w| w.0 == number).count() > seen;
                    if !waits {
                        let _ = stream.write_all(&bytes);
                    }
                    record.note(format!("node s-0: second copy {}", if waits { "left out" } else { "sent" }));
                });
            }
            true
        })
    };
    let (discovery, list) = discovery(&[("s-0".into(), relay(at, LINK_MS))]);
    let settings = Settings {
        classes: vec![
            Class { name: "pack-lookup", aim_ms: 300, deadline_ms: 750, effect: "safe", window_ms: 0 },
            Class { name: "swap-record", aim_ms: 500, deadline_ms: 1000, effect: "keyed", window_ms: 1000 },
        ],
        proxies: 4,
        cancelling: true,
        connect_timeout_ms: 120,
    };
    let proxy = place.proxy("n0", discovery, &list, &settings.json(), 128);
    let mut client = Client::to(proxy.listen);
    let (mut wrong, mut right) = (Vec::new(), 0);
    for round in 0..20 {
        let key = format!("7f3a9c21e0b4d{round:03}");
        let (set, get) = (format!("w{round}"), format!("r{round}"));
        client.send_words(&["CACHE.SET", &key, &set, &format!("c=swap-record,d=1000,k=k{round}"), "charge=80"]);
        let receipt = client.answer(ms(3000)).unwrap_or(Answer::End("never"));
        record.note(format!("client: answer to {set}: {}", receipt.short()));
        client.send_words(&["CACHE.GET", &key, &get, "c=pack-lookup,d=750"]);
        let answer = client.answer(ms(3000)).unwrap_or(Answer::End("never"));
        record.note(format!("client: answer to {get}: {}", answer.short()));
        match answer.value() {
            Some(value) if value == format!("pack {key}: charge 80").as_bytes() => right += 1,
            Some(value) => wrong.push(format!("{get} was served with {:?}", text(value))),
            None => {}
        }
        sleep(100);
    }
    verdict(place, !wrong.is_empty(), &format!("{right} reads right, {} wrong: {}", wrong.len(), wrong.join("; ")))
}
