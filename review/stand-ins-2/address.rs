//! A node with two addresses gives up one of them while a write that came over it is at work.

use crate::kit::*;
use std::collections::HashSet;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};

const WRITE_KEY: &str = "5c0f6e1a2b3d4c59";
/// When the list leaves the address out, and when its connections end, after the write has come.
const LIST_MS: u64 = 60;
const END_MS: u64 = 150;
const WORK_MS: u64 = 80;

pub fn run(place: &Place) -> ! {
    let (record, trouble) = (place.record.clone(), place.trouble);
    // TROUBLE=reset: the connection ends likewise, but the list keeps the address.
    let reset_only = std::env::var("TROUBLE").is_ok_and(|t| t == "reset");
    let ran = Arc::new(Counts::default());
    let lists = Arc::new(Lists::new());
    let ways = [bind("127.0.0.2:0"), bind("127.0.0.1:0")];
    let at: Vec<SocketAddr> = ways.iter().map(|l| l.local_addr().unwrap()).collect();
    let list = |addresses: &[SocketAddr]| {
        let all: Vec<String> = addresses.iter().map(|a| format!("\"{a}\"")).collect();
        format!(
            "[{{\"host\":\"s-0\",\"dial\":\"{}\",\"dials\":[{}],\"site\":\"joburg\",\"class\":\"standard\",\"block\":1,\
             \"health\":\"up\",\"share\":1.0,\"born_ms\":0}}]",
            addresses[0],
            all.join(",")
        )
    };
    let known = lists.set(list(&at));
    let without_first = list(&at[1..]);
    for (way, listener) in ways.into_iter().enumerate() {
        // The node knows a repeat by its key and by the address that it comes in on.
        let memory: Arc<Mutex<HashSet<String>>> = Arc::default();
        let (record, ran, lists, without_first) =
            (record.clone(), ran.clone(), lists.clone(), without_first.clone());
        serve_listener(listener, move |conn, words| {
            let key = field(&words, "k").unwrap_or_default();
            let is_new = memory.lock().unwrap().insert(key.clone());
            record.note(format!(
                "node s-0, address {}: SET, key of the write {key}, {}",
                way + 1,
                if is_new { "new here" } else { "a repeat, dropped" }
            ));
            if is_new {
                let times = ran.add(&key);
                record.note(format!("node s-0, address {}: carried out, {times} time(s) so far", way + 1));
            }
            if trouble && way == 0 {
                sleep(LIST_MS);
                if !reset_only {
                    lists.set(without_first.clone());
                    record.note("discovery: the list leaves address 1 out");
                }
                sleep(END_MS - LIST_MS);
                record.note("node s-0, address 1: its connections end");
                conn.reset();
                return false;
            }
            sleep(WORK_MS);
            conn.write(&served(format!("receipt of {key}").as_bytes()))
        });
    }
    let discovery = lists.serve();
    let settings = Settings {
        classes: vec![
            Class { name: "pack-lookup", aim_ms: 300, deadline_ms: 750, effect: "safe", window_ms: 0 },
            Class { name: "swap-record", aim_ms: 500, deadline_ms: 1000, effect: "keyed", window_ms: 1000 },
        ],
        proxies: 4,
        cancelling: true,
        connect_timeout_ms: 120,
    };
    let proxy = place.proxy("n0", discovery, &known, &settings.json(), 128);
    // The proxy watches the list by now.
    sleep(1000);
    let mut client = Client::to(proxy.listen);
    record.note(format!("client: SET, d=1000, k={WRITE_KEY}"));
    client.send_words(&[
        "CACHE.SET",
        "7f3a9c21e0b4d655",
        "9b1f03aa5c7e2d41",
        &format!("c=swap-record,d=1000,k={WRITE_KEY}"),
        "charge=80",
    ]);
    let answer = client.answer(ms(3000)).unwrap_or(Answer::End("never"));
    record.note(format!("client: {}", answer.short()));
    sleep(300);
    let times = ran.get(WRITE_KEY);
    verdict(
        place,
        times > 1,
        &format!("the write was carried out {times} time(s); the client has {}", answer.short()),
    )
}

fn bind(at: &str) -> TcpListener {
    TcpListener::bind(at).unwrap_or_else(|e| cannot_run(format!("{at}: {e}")))
}
