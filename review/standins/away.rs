//! Entry 1 of KNOWN-RED.txt: a proxy of a large fleet is killed and comes back after 5 s; meanwhile a cache node drains.
mod common;
use common::*;
use std::io::{BufReader, Write};
use std::sync::{Arc, Mutex};

/// A change counts as told 6 s after discovery had it; then the grace of the settings, and the slack on sockets.
const LATEST_MS: f64 = 6_000.0 + 500.0 + 50.0;

fn main() {
    let record = Record::new();
    let drained: Arc<Mutex<Vec<(f64, String)>>> = Arc::default();
    let nodes: Vec<_> = (0..4)
        .map(|n| {
            let (record, drained) = (record.clone(), drained.clone());
            node(move |stream| {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                while let Some(request) = request(&mut reader) {
                    let at = record.add(format!("node {n} begins {}", request.id));
                    if n == 0 {
                        drained.lock().unwrap().push((at, request.id.clone()));
                    }
                    sleep_ms(20);
                    let value = made_for(&request.key, &request.id);
                    if (&stream).write_all(&served(value.as_bytes(), "hit")).is_err() {
                        return;
                    }
                }
            })
        })
        .collect();
    // The last of 300 proxies; the others are not started.
    let settings = Settings { proxies: 300, ..Settings::default() };
    let (mut proxy, discovery) = Proxy::start_as(299, &settings, &nodes);
    sleep_ms(4_000);
    if trouble() {
        signal(proxy.child.id(), SIGKILL);
        let _ = proxy.child.wait();
        record.add("the proxy is killed");
    }
    sleep_ms(200);
    let hosts: Vec<String> = (0..)
        .zip(&nodes)
        .map(|(i, at)| {
            let up = host(&format!("s-{i:08x}"), *at, settings.site);
            if i == 0 {
                up.replace("\"up\"", "\"draining\"")
            } else {
                up
            }
        })
        .collect();
    discovery.set(hosts.join(","));
    let told = record.add("discovery has it that node 0 drains");
    sleep_ms(4_800);
    if trouble() {
        proxy.start_again();
        record.add("the proxy is started again");
    }
    sleep_ms(100);
    let begun = record.ms();
    while record.ms() < begun + 5_000.0 {
        for n in 0..5 {
            let stream = proxy.connect();
            let key = pack(n * 31 + record.ms() as u64);
            let _ = (&stream).write_all(&get(&key, &new_id(), "pack-lookup", 750));
            let _ = answer(&mut BufReader::new(stream));
        }
        sleep_ms(20);
    }
    let late =
        drained.lock().unwrap().iter().filter(|(at, _)| *at > told + LATEST_MS).cloned().collect::<Vec<_>>();
    let broken = late.iter().map(|(at, id)| {
        format!("{id} is sent to the draining node {:.0} ms after discovery had the change", at - told)
    });
    finish(&record, vec![proxy], Ok(broken.collect()))
}
