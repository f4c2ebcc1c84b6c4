//! Case: a slow cache node begins its long answer while another one streams the same, and attempts can't be cancelled.
mod common;
use common::*;
use std::io::{BufReader, Write};
use std::net::TcpStream;

/// The size of a value, and how it is written: a part each 30 ms, about 1 s in all.
const LONG: usize = 1 << 20;
const PART: usize = 30_000;

fn value(key: &str, id: &str) -> Vec<u8> {
    made_for(key, id).bytes().cycle().take(LONG).collect()
}

fn main() {
    let record = Record::new();
    // Six cache nodes, which take a second to write. The first one begins to answer after 350 ms, the others after 20 ms.
    let nodes: Vec<_> = (0..6)
        .map(|n| {
            let record = record.clone();
            node(move |stream| {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                while let Some(request) = request(&mut reader) {
                    record.add(format!("node {n} runs {}", request.id));
                    sleep_ms(if trouble() && n == 0 { 350 } else { 20 });
                    record.add(format!("node {n} begins its answer to {}", request.id));
                    for part in served(&value(&request.key, &request.id), "hit").chunks(PART) {
                        if (&stream).write_all(part).is_err() {
                            record.add(format!("node {n} can't write on"));
                            return;
                        }
                        sleep_ms(30);
                    }
                }
            })
        })
        .collect();
    let settings = Settings { cancelling: false, ..Settings::default() };
    let (proxy, _discovery) = Proxy::start(&settings, &nodes);
    // A read each 400 ms, each on a connection of its own.
    let clients: Vec<_> = (0..24u64)
        .map(|n| {
            let (record, address) = (record.clone(), proxy.address);
            std::thread::spawn(move || {
                sleep_ms(n * 400);
                let (key, id) = (pack(n), new_id());
                let stream = TcpStream::connect(address).expect("the proxy accepts");
                record.add(format!("client sends {id}"));
                (&stream).write_all(&get(&key, &id, "pack-lookup", 750)).expect("written");
                let answer = answer(&mut BufReader::new(&stream));
                let text = answer.as_ref().map_or("no whole answer".into(), Answer::text);
                record.add(format!("client has for {id}: {text}"));
                let (got, good) = (answer.as_ref().and_then(Answer::value)?, value(&key, &id));
                let at = got.iter().zip(&good).position(|(a, b)| a != b)?;
                Some(format!(
                    "{id} is served with a value that is not the one made for it, from byte {at} on"
                ))
            })
        })
        .collect();
    let broken = clients.into_iter().filter_map(|c| c.join().expect("a client")).collect();
    finish(&record, vec![proxy], Ok(broken))
}
