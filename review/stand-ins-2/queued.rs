//! Clients that send many commands at once, the first of which is at a node that hangs: the answers behind it wait.

use crate::kit::*;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};

const NODES: usize = 40;
/// At most 19% of them fall silent.
const SILENT: usize = 7;
const CLIENTS: usize = 4;
const BATCHES: usize = 1;
const READS_A_BATCH: usize = 100;
const READS: usize = BATCHES * READS_A_BATCH;
const VALUE: usize = 64 << 10;
const MEMORY_MB: u32 = 64;

pub fn run(place: &Place) -> ! {
    let (record, trouble) = (place.record.clone(), place.trouble);
    let value: Arc<Vec<u8>> = Arc::new((0..VALUE).map(|i| b'a' + (i % 26) as u8).collect());
    let silent = flag();
    // The node that each key went to.
    let homes: Arc<Mutex<HashMap<String, usize>>> = Arc::default();
    let nodes: Vec<(String, std::net::SocketAddr)> = (0..NODES)
        .map(|n| {
            let (record, value, silent, homes) =
                (record.clone(), value.clone(), silent.clone(), homes.clone());
            let at = node(move |conn, words| {
                homes.lock().unwrap().insert(text(&words[1]), n);
                if is_set(&silent) && n < SILENT {
                    record.note(format!("node s-{n}: request {}, silent", text(&words[2])));
                    sleep(8_000);
                    return false;
                }
                sleep(5);
                conn.write(&served(if words.len() == 5 { b"done" } else { &value[..] }))
            });
            (format!("s-{n}"), at)
        })
        .collect();
    let (discovery, list) = discovery(&nodes);
    let settings = Settings {
        classes: vec![
            Class { name: "pack-lookup", aim_ms: 300, deadline_ms: 750, effect: "safe", window_ms: 0 },
            Class { name: "swap-record", aim_ms: 500, deadline_ms: 1000, effect: "keyed", window_ms: 1000 },
        ],
        proxies: 3,
        cancelling: true,
        connect_timeout_ms: 120,
    };
    let proxy = place.proxy("n0", discovery, &list, &settings.json(), MEMORY_MB);
    // A calm time, in which each key is written and read.
    let mut client = Client::to(proxy.listen);
    let keys: Vec<String> =
        (0..200).map(|i| format!("{:016x}", 0x7f3a_9c21_0000_0000u64 + i * 7919)).collect();
    for (i, key) in keys.iter().enumerate() {
        client.send_words(&[
            "CACHE.SET",
            key,
            &format!("calm-w{i}"),
            &format!("c=swap-record,d=1000,k=calm{i}"),
            "charge",
        ]);
        client.answer(ms(3000));
        client.send_words(&["CACHE.GET", key, &format!("calm-r{i}"), "c=pack-lookup,d=750"]);
        client.answer(ms(3000));
    }
    let homes_now = homes.lock().unwrap().clone();
    let (at_silent, at_others): (Vec<&String>, Vec<&String>) =
        keys.iter().partition(|k| homes_now.get(*k).is_some_and(|n| *n < SILENT));
    if at_silent.len() < CLIENTS || at_others.len() < 20 {
        cannot_run("too few keys at the nodes that fall silent");
    }
    if trouble {
        set(&silent);
        record.note(format!("{SILENT} of {NODES} nodes fall silent"));
    }
    let clients: Vec<_> = (0..CLIENTS)
        .map(|c| {
            let (record, listen) = (record.clone(), proxy.listen);
            let first = at_silent[c * (at_silent.len() / CLIENTS)].clone();
            let others: Vec<String> = at_others.iter().map(|k| (*k).clone()).collect();
            std::thread::spawn(move || {
                use std::io::Write;
                sleep(c as u64 * 40);
                let mut client = Client::to(listen);
                let mut bytes = encode(&[
                    "CACHE.SET",
                    &first,
                    &format!("c{c}w"),
                    &format!("c=swap-record,d=1000,k=busy{c}"),
                    "charge",
                ]);
                for batch in 0..BATCHES {
                    for i in 0..READS_A_BATCH {
                        let n = batch * READS_A_BATCH + i;
                        let key = &others[(c * 31 + n) % others.len()];
                        bytes.extend(encode(&[
                            "CACHE.GET",
                            key,
                            &format!("c{c}r{n}"),
                            "c=pack-lookup,d=750",
                        ]));
                    }
                    if client.stream.write_all(&bytes).is_err() {
                        break;
                    }
                    record.note(format!("client {c}: {READS_A_BATCH} GETs written at once"));
                    bytes.clear();
                }
                let (mut answers, mut served, mut end) = (0, 0, String::new());
                while answers <= READS {
                    match client.answer(ms(4000)) {
                        Some(Answer::End(how)) => {
                            end = format!(", connection ended {how}");
                            break;
                        }
                        None => {
                            end = ", nothing more came".into();
                            break;
                        }
                        Some(answer) => {
                            answers += 1;
                            served += usize::from(answer.value().is_some());
                        }
                    }
                }
                record.note(format!("client {c}: {answers} answers of {}, {served} served{end}", READS + 1));
                (READS + 1 - answers, served)
            })
        })
        .collect();
    let results: Vec<(usize, usize)> = clients.into_iter().map(|c| c.join().unwrap()).collect();
    let lost: usize = results.iter().map(|r| r.0).sum();
    let served: usize = results.iter().map(|r| r.1).sum();
    let ended = has_ended(proxy.pid);
    verdict(
        place,
        lost > 0 || ended,
        &format!(
            "{lost} of {} requests never answered, {served} served; the proxy has ended: {ended}",
            CLIENTS * (READS + 1)
        ),
    )
}
