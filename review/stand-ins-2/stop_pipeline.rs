//! A planned restart while a client sends its next command before the last answer has come.

use crate::kit::*;
use std::collections::VecDeque;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The longest deadline, and when SIGKILL is due after SIGTERM.
const DEADLINE_MS: u64 = 1_000;
const KILL_AFTER_MS: u64 = DEADLINE_MS + 700;
/// How long a node works on a read, and how often the client sends one.
const WORK_MS: u64 = 60;
const EVERY_MS: u64 = 40;

pub fn run(place: &Place) -> ! {
    let (record, trouble) = (place.record.clone(), place.trouble);
    // The requests that have reached a node.
    let forwarded = Arc::new(Counts::default());
    let nodes: Vec<(String, std::net::SocketAddr)> = (0..3)
        .map(|n| {
            let forwarded = forwarded.clone();
            let at = node(move |conn, words| {
                forwarded.add(&text(&words[2]));
                sleep(WORK_MS);
                conn.write(&served(&words[1]))
            });
            (format!("s-{n}"), at)
        })
        .collect();
    let (discovery, list) = discovery(&nodes);
    let settings = Settings {
        classes: vec![
            Class { name: "pack-lookup", aim_ms: 300, deadline_ms: 750, effect: "safe", window_ms: 0 },
            Class { name: "swap-record", aim_ms: 500, deadline_ms: DEADLINE_MS, effect: "keyed", window_ms: 1000 },
        ],
        proxies: 4,
        cancelling: true,
        connect_timeout_ms: 120,
    };
    let proxy = place.proxy("n0", discovery, &list, &settings.json(), 128);
    let mut client = Client::to(proxy.listen);
    let mut output = client.stream.try_clone().unwrap_or_else(|e| cannot_run(e));
    // Requests written whole and not answered, in their order.
    let open: Arc<Mutex<VecDeque<(String, Instant)>>> = Arc::default();
    let writer_stop = flag();
    let writer = {
        let (open, record, writer_stop) = (open.clone(), record.clone(), writer_stop.clone());
        std::thread::spawn(move || {
            let mut n = 0;
            while !is_set(&writer_stop) {
                let id = format!("r{n}");
                let key = format!("{:016x}", 0x7f3a_9c21_e0b4_0000u64 + n % 50);
                n += 1;
                let bytes = encode(&["CACHE.GET", &key, &id, "c=pack-lookup,d=600"]);
                let mut all = open.lock().unwrap();
                if output.write_all(&bytes).is_err() {
                    record.note(format!("client: {id} could not be written: the connection has ended"));
                    return;
                }
                all.push_back((id, Instant::now()));
                drop(all);
                sleep(EVERY_MS);
            }
        })
    };
    let begin = Instant::now();
    let term_at = begin + ms(800);
    let mut sent_term = None;
    let (mut answered, mut served_count, mut refused) = (0, 0, 0);
    let mut end = None;
    // Without the disruption: the same time, and then the client stops and waits for what is open.
    let until = term_at + ms(KILL_AFTER_MS);
    while Instant::now() < until {
        if trouble && sent_term.is_none() && Instant::now() >= term_at {
            signal(proxy.pid, "TERM");
            record.note("platform: SIGTERM");
            sent_term = Some(Instant::now());
        }
        match client.answer(Duration::from_millis(20)) {
            None => {}
            Some(Answer::End(how)) => {
                end = Some(how);
                break;
            }
            Some(answer) => {
                let head = open.lock().unwrap().pop_front();
                answered += 1;
                served_count += usize::from(answer.value().is_some());
                refused += usize::from(matches!(&answer, Answer::Error(e) if e.starts_with("BUSY")));
                let id = head.map_or("nothing".into(), |h| h.0);
                record.note(format!("client: answer to {id}: {}", answer.short()));
            }
        }
    }
    set(&writer_stop);
    let _ = writer.join();
    if !trouble {
        while let Some(answer) = client.answer(ms(1500)) {
            if matches!(answer, Answer::End(_)) {
                break;
            }
            open.lock().unwrap().pop_front();
            answered += 1;
            served_count += 1;
        }
    }
    let since_term = sent_term.map_or(0, |at| at.elapsed().as_millis());
    if let Some(how) = end {
        record.note(format!("client: connection ended {how}, {since_term} ms after SIGTERM"));
    }
    // What no node has seen crossed the end of the connection: the client sends that once more on a new one.
    let now = Instant::now();
    let lost: Vec<String> = open
        .lock()
        .unwrap()
        .iter()
        .filter(|(id, _)| forwarded.get(id) > 0)
        .map(|(id, at)| format!("{id}, which was written {} ms before the end and has reached a node", now.duration_since(*at).as_millis()))
        .collect();
    signal(proxy.pid, "KILL");
    lost.iter().for_each(|l| record.note(format!("never answered: {l}")));
    verdict(
        place,
        !lost.is_empty(),
        &format!("{answered} answers ({served_count} served, {refused} refused), {} never answered, the connection ended {since_term} ms after SIGTERM", lost.len()),
    )
}
