//! Case: a long value breaks off at its cache node while the answer before it on the client's connection is still due.
mod common;
use common::*;
use std::io::{BufReader, Write};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The time of a write, half a second more in which a late answer only earns nothing, and the slack on sockets.
const LATEST_MS: u64 = 1_000 + 500 + 50;
/// The size of a long value, and what a cache node has written of it when its connection is reset.
const LONG: usize = 2 << 20;
const BROKEN_AT: usize = 200_000;
const ROUNDS: u64 = 60;

fn main() {
    let record = Record::new();
    // The ids of the reads whose connection the cache node resets.
    let breaks: Table<()> = Table::default();
    let runs: Arc<Mutex<Vec<String>>> = Arc::default();
    // Six sound cache nodes. A write takes 200 ms, a read 20 ms.
    let nodes: Vec<_> = (0..6)
        .map(|n| {
            let (record, breaks, runs) = (record.clone(), breaks.clone(), runs.clone());
            node(move |stream| {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                while let Some(request) = request(&mut reader) {
                    record.add(format!("node {n} runs {} (write: {})", request.id, request.write));
                    if request.write {
                        runs.lock().unwrap().push(request.id.clone());
                    }
                    sleep_ms(if request.write { 200 } else { 20 });
                    let size = if request.write { 40 } else { LONG };
                    let value: Vec<u8> =
                        made_for(&request.key, &request.id).bytes().cycle().take(size).collect();
                    let bytes = served(&value, "hit");
                    if breaks.lock().unwrap().contains_key(&request.id) {
                        let _ = (&stream).write_all(&bytes[..BROKEN_AT]);
                        sleep_ms(20);
                        record.add(format!(
                            "node {n} resets the connection within the answer to {}",
                            request.id
                        ));
                        reset(&stream);
                        return;
                    }
                    if (&stream).write_all(&bytes).is_err() {
                        return;
                    }
                }
            })
        })
        .collect();
    let (proxy, _discovery) = Proxy::start(&Settings::default(), &nodes);
    let (mut broken, mut served_writes, mut broken_reads) = (Vec::new(), 0, 0);
    for round in 0..ROUNDS {
        let (write, read) = (new_id(), new_id());
        // One long answer in ten breaks.
        let breaks_off = trouble() && round % 10 == 9;
        if breaks_off {
            breaks.lock().unwrap().insert(read.clone(), ());
            broken_reads += 1;
        }
        let stream = proxy.connect();
        stream.set_read_timeout(Some(Duration::from_millis(LATEST_MS))).unwrap();
        let mut commands = set(&pack(round), &write, "swap-record", 1_000, &new_id(), b"swapped");
        commands.extend(get(&pack(1_000 + round), &read, "pack-lookup", 750));
        (&stream).write_all(&commands).expect("the commands are written");
        let sent = record.add(format!("client sends the write {write} and the long read {read} at once"));
        let mut reader = BufReader::new(&stream);
        let first = answer(&mut reader);
        let took = record.ms() - sent;
        match &first {
            Some(answer) => {
                record.add(format!("client has the answer to {write} after {took:.0} ms: {}", answer.text()));
                served_writes += u64::from(answer.value().is_some());
                if answer.value().is_some_and(|v| !v.starts_with(made_for(&pack(round), &write).as_bytes())) {
                    broken.push(format!("{write} is answered with another request's value"));
                }
            }
            None => {
                let ran = runs.lock().unwrap().contains(&write);
                record
                    .add(format!("client sees the end, {took:.0} ms after it sent {write}; no answer to it"));
                broken.push(format!(
                    "the write {write} has no answer: the connection ended (or the time was up) {took:.0} ms after \
                     it was sent; run by a cache node: {ran}"
                ));
                continue;
            }
        }
        // What becomes of the long read does not count.
        let second = answer(&mut reader);
        record
            .add(format!("the long read {read}: {}", second.map_or("no whole answer".into(), |a| a.text())));
    }
    record.add(format!("{ROUNDS} writes, {served_writes} served; {broken_reads} long answers broke off"));
    let verdict =
        if served_writes * 2 < ROUNDS { Err("too few writes were served".into()) } else { Ok(broken) };
    finish(&record, vec![proxy], verdict)
}
