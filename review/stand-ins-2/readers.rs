//! Many clients that are slow to read ask for a few values each.

use crate::kit::*;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const CLIENTS: usize = 320;
const READS: usize = 4;
/// The protocol's values hold at most 64 KiB.
const VALUE: usize = 62 << 10;
const MEMORY_MB: u32 = 48;
/// How long a client takes to begin to read.
const READ_AFTER_MS: u64 = 2_000;

fn resident_kb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).unwrap_or(0)
}

pub fn run(place: &Place) -> ! {
    let (record, trouble) = (place.record.clone(), place.trouble);
    let value: Arc<Vec<u8>> = Arc::new((0..VALUE).map(|i| b'a' + (i % 26) as u8).collect());
    let nodes: Vec<(String, SocketAddr)> = (0..30)
        .map(|n| {
            let value = value.clone();
            let at = node(move |conn, _| {
                sleep(10);
                conn.write(&served(&value))
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
        proxies: 3,
        cancelling: true,
        connect_timeout_ms: 120,
    };
    let proxy = place.proxy("n0", discovery, &list, &settings.json(), MEMORY_MB);
    record.note(format!("memory in use: {} kB", resident_kb(proxy.pid)));
    // The platform: over its memory the proxy is killed.
    let most = Arc::new(AtomicU64::new(0));
    let (watch, pid, platform) = (most.clone(), proxy.pid, record.clone());
    std::thread::spawn(move || loop {
        let now = resident_kb(pid);
        watch.fetch_max(now, Ordering::SeqCst);
        if now > u64::from(MEMORY_MB) * 1024 {
            platform.note(format!("platform: the proxy has {now} kB, {MEMORY_MB} MB are allowed: killed"));
            signal(pid, "KILL");
            return;
        }
        sleep(10);
    });
    let clients: Vec<_> = (0..CLIENTS)
        .map(|c| {
            let listen = proxy.listen;
            std::thread::spawn(move || {
                use std::io::Write;
                sleep(c as u64 * 4);
                let Some(mut stream) = connect_small(listen) else { return (0, 0) };
                let mut bytes = Vec::new();
                for i in 0..READS {
                    let key = format!("{:016x}", 0x7f3a_9c21_0000_0000u64 + (c * READS + i) as u64 * 7919);
                    bytes.extend(encode(&["CACHE.GET", &key, &format!("c{c}r{i}"), "c=pack-lookup,d=750"]));
                }
                if stream.write_all(&bytes).is_err() {
                    return (0, 0);
                }
                if trouble {
                    sleep(READ_AFTER_MS);
                }
                let mut client = Client::from(stream);
                let (mut answers, mut served) = (0, 0);
                while answers < READS {
                    match client.answer(Duration::from_secs(3)) {
                        None | Some(Answer::End(_)) => break,
                        Some(answer) => {
                            answers += 1;
                            served += usize::from(answer.value().is_some());
                        }
                    }
                }
                (answers, served)
            })
        })
        .collect();
    let begin = Instant::now();
    let results: Vec<(usize, usize)> = clients.into_iter().map(|c| c.join().unwrap()).collect();
    let (answers, served) = results.iter().fold((0, 0), |sum, r| (sum.0 + r.0, sum.1 + r.1));
    let most = most.load(Ordering::SeqCst);
    record.note(format!("{answers} answers, {served} served, in {} ms", begin.elapsed().as_millis()));
    verdict(
        place,
        most > u64::from(MEMORY_MB) * 1024,
        &format!(
            "the proxy had {most} kB at most, {} kB are allowed; {} of {} requests never answered",
            MEMORY_MB * 1024,
            CLIENTS * READS - answers,
            CLIENTS * READS
        ),
    )
}
