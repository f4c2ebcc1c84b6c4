//! Case: a client has two reads of long values behind one another on its connection.
mod common;
use common::*;
use std::collections::VecDeque;
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

/// For so long the proxy may hold back the rest of a long value, with the slack on sockets.
const HELD_BACK_MS: f64 = 2_000.0 + 50.0;
/// The time of a read, half a second more in which a late answer only earns nothing, and the slack on sockets.
const LATEST_MS: f64 = 750.0 + 500.0 + 50.0;

/// A connection that counts what comes.
struct Counting {
    stream: TcpStream,
    bytes: Arc<AtomicU64>,
}

impl Read for Counting {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        let n = self.stream.read(buffer)?;
        self.bytes.fetch_add(n as u64, Ordering::Relaxed);
        Ok(n)
    }
}

/// The value made for a request.
fn value(key: &str, id: &str, size: usize) -> Vec<u8> {
    made_for(key, id).bytes().cycle().take(size).collect()
}

fn descriptors(pid: u32) -> usize {
    std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, |all| all.count())
}

fn main() {
    let record = Record::new();
    // Values hold up to 4 MiB; without the disruption 20 KB.
    let size = if trouble() { 2 << 20 } else { 20_000 };
    // Six sound cache nodes: 20 ms of work, then the whole answer, as fast as it is taken.
    let nodes: Vec<_> = (0..6)
        .map(|n| {
            let record = record.clone();
            node(move |stream| {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                while let Some(request) = request(&mut reader) {
                    record.add(format!("node {n} runs {}", request.id));
                    sleep_ms(20);
                    // Keys that begin with `0000` have short values.
                    let size = if request.key.starts_with("0000") { 20 } else { size };
                    let bytes = served(&value(&request.key, &request.id, size), "hit");
                    let written = (&stream).write_all(&bytes);
                    record.add(format!("node {n} has written the answer to {}: {written:?}", request.id));
                    if written.is_err() {
                        return;
                    }
                }
            })
        })
        .collect();
    let (proxy, _discovery) = Proxy::start(&Settings::default(), &nodes);
    let pid = proxy.child.id();
    let before = descriptors(pid);
    let mut broken = Vec::new();
    let mut connections = Vec::new();
    let mut rounds = 0;
    'rounds: while rounds < 10 && broken.is_empty() {
        rounds += 1;
        // A client sends two reads at once, and takes what comes at once.
        let stream = proxy.connect();
        let bytes = Arc::new(AtomicU64::new(0));
        let mut commands = Vec::new();
        let mut sent = VecDeque::new();
        for n in 0..2 {
            let (key, id) = (pack(rounds * 10 + n), new_id());
            commands.extend(get(&key, &id, "pack-lookup", 750));
            sent.push_back((key, id));
        }
        (&stream).write_all(&commands).expect("the commands are written");
        let sent_at = record.add(format!("client sends {} reads at once: {sent:?}", sent.len()));
        let open = Arc::new(Mutex::new(sent));
        let reading = {
            let counting = Counting { stream: stream.try_clone().unwrap(), bytes: bytes.clone() };
            let (open, record) = (open.clone(), record.clone());
            std::thread::spawn(move || {
                let mut reader = BufReader::new(counting);
                let mut wrong = Vec::new();
                loop {
                    let Some((key, id)) = open.lock().unwrap().front().cloned() else { return wrong };
                    let Some(answer) = answer(&mut reader) else { return wrong };
                    record.add(format!("client has the whole answer to {id}: {}", answer.text()));
                    if answer.value().is_some_and(|v| v != value(&key, &id, size)) {
                        wrong.push(format!("{id} was served with what was not made for it"));
                    }
                    open.lock().unwrap().pop_front();
                }
            })
        };
        // The time since the last byte, or since the requests were sent.
        let (mut seen, mut seen_at) = (0, sent_at);
        while !reading.is_finished() {
            sleep_ms(5);
            let (now, total) = (record.ms(), bytes.load(Ordering::Relaxed));
            if total > seen {
                (seen, seen_at) = (total, now);
            }
            let limit = if seen > 0 { HELD_BACK_MS } else { LATEST_MS };
            if now - seen_at > limit {
                let open = open.lock().unwrap().clone();
                broken.push(format!(
                    "after {seen} bytes nothing has come for {:.0} ms; without a whole answer: {open:?}",
                    now - seen_at
                ));
                // Whether it goes on after all; this does not count.
                sleep_ms(8_000);
                let more = bytes.load(Ordering::Relaxed) - seen;
                record.add(format!("8 s later {more} bytes more have come"));
                let _ = stream.shutdown(std::net::Shutdown::Both);
                drop(stream);
                record.add("client closes its connection");
                sleep_ms(3_000);
                let after = descriptors(pid);
                record.add(format!("the proxy had {before} descriptors before, 3 s after the close {after}"));
                break 'rounds;
            }
        }
        let left = open.lock().unwrap().clone();
        broken.extend(reading.join().expect("the reader"));
        if !left.is_empty() {
            broken.push(format!("the connection ended without whole answers to {left:?}"));
        }
        connections.push(stream);
        sleep_ms(200);
    }
    record.add(format!("{rounds} rounds"));
    if !broken.is_empty() {
        // What it comes to with more such clients, each of which leaves after a second. This does not count.
        let leaving: Vec<_> = (0..200u64)
            .map(|client| {
                sleep_ms(25);
                let (stream, mut commands) = (proxy.connect(), Vec::new());
                for n in 0..2 {
                    commands.extend(get(&pack(1_000 + client * 10 + n), &new_id(), "pack-lookup", 750));
                }
                std::thread::spawn(move || {
                    let _ = (&stream).write_all(&commands);
                    let _ = stream.set_read_timeout(Some(std::time::Duration::from_secs(1)));
                    let mut buffer = [0; 65_536];
                    while (&stream).read(&mut buffer).is_ok_and(|n| n > 0) {}
                })
            })
            .collect();
        leaving.into_iter().for_each(|client| client.join().expect("a client"));
        sleep_ms(3_000);
        let (stream, mut served_count, mut other) = (proxy.connect(), 0, String::new());
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        for n in 0..40 {
            let commands = get(&format!("0000{:012x}", n * 7_919), &new_id(), "pack-lookup", 750);
            let _ = (&stream).write_all(&commands);
            match answer(&mut reader) {
                Some(answer) if answer.value().is_some() => served_count += 1,
                answer => other = format!("{answer:?}"),
            }
            sleep_ms(25);
        }
        let after = descriptors(pid);
        record.add(format!(
            "after 200 more clients that left: {after} descriptors; of 40 reads of short values, one after another, \
             {served_count} are served, the last other answer: {other}"
        ));
    }
    finish(&record, vec![proxy], Ok(broken))
}
