//! Two attempts of one read are out, both nodes answer with a long value, and the site does not allow to cancel.

use crate::kit::*;
use std::sync::Arc;

const LENGTH: usize = 200 << 10;
/// How long a node works on a read, and how long the slower one pauses in the middle of its answer.
const WORK_MS: u64 = 60;
const SLOW_WORK_MS: u64 = 200;
const PAUSE_MS: u64 = 300;

/// The record of a pack: the same at every node, and different at every position.
fn value_of(key: &str) -> Vec<u8> {
    (0..).flat_map(|i: u32| format!("{key}:{i:07};").into_bytes()).take(LENGTH).collect()
}

pub fn run(place: &Place) -> ! {
    let (record, trouble) = (place.record.clone(), place.trouble);
    let attempts = Arc::new(Counts::default());
    let nodes: Vec<(String, std::net::SocketAddr)> = (0..2)
        .map(|n| {
            let (record, attempts) = (record.clone(), attempts.clone());
            let at = node(move |conn, words| {
                let (key, id) = (text(&words[1]), text(&words[2]));
                let attempt = attempts.add(&id);
                record.note(format!("node s-{n}: GET {key}, attempt {attempt} of request {id}, d={}", field(&words, "d").unwrap_or_default()));
                let bytes = served(&value_of(&key));
                if trouble && attempt == 1 {
                    // The first node is slow, and its answer comes in pieces.
                    sleep(SLOW_WORK_MS);
                    let half = bytes.len() / 2;
                    conn.write(&bytes[..half]);
                    record.note(format!("node s-{n}: {half} of {} bytes of the answer to {id}", bytes.len()));
                    sleep(PAUSE_MS);
                    let written = conn.write(&bytes[half..]);
                    record.note(format!("node s-{n}: the rest, {}", if written { "written" } else { "connection gone" }));
                } else {
                    sleep(WORK_MS);
                    conn.write(&bytes);
                    record.note(format!("node s-{n}: all {} bytes of the answer to {id}", bytes.len()));
                }
                true
            });
            (format!("s-{n}"), at)
        })
        .collect();
    let (discovery, list) = discovery(&nodes);
    let settings = Settings {
        classes: vec![Class { name: "pack-lookup", aim_ms: 300, deadline_ms: 750, effect: "safe", window_ms: 0 }],
        proxies: 4,
        cancelling: false,
        connect_timeout_ms: 120,
    };
    let proxy = place.proxy("n0", discovery, &list, &settings.json(), 128);
    let (mut wrong, mut whole) = (Vec::new(), 0);
    for round in 0..3 {
        let (key, id) = (format!("7f3a9c21e0b4d65{round}"), format!("9b1f03aa5c7e2d4{round}"));
        let mut client = Client::to(proxy.listen);
        record.note(format!("client: GET {key}, request {id}"));
        client.send_words(&["CACHE.GET", &key, &id, "c=pack-lookup,d=750"]);
        let bytes = client.all_bytes(ms(1500));
        record.note(format!("client: {} bytes in answer to {id}", bytes.len()));
        match fault(&bytes, &key) {
            None => whole += 1,
            Some(fault) => {
                record.note(format!("client: {fault}"));
                wrong.push(fault);
            }
        }
    }
    let first = wrong.first().map_or("no wrong data", |w| w);
    verdict(place, !wrong.is_empty(), &format!("{whole} of 3 answers were right; {first}"))
}

/// What is wrong with all that came for a request: nothing if it is one whole answer of a node, a refusal or a failure.
fn fault(bytes: &[u8], key: &str) -> Option<String> {
    let right = served(&value_of(key));
    if bytes == right || bytes.is_empty() || (bytes.starts_with(b"-") && bytes.ends_with(b"\r\n")) {
        return None;
    }
    let head = right.len() - LENGTH - served(b"").len() + b"*3\r\n$0\r\n".len();
    let same = bytes.iter().zip(&right).take_while(|(a, b)| a == b).count();
    let begins_again = bytes.get(same..same + 64).is_some_and(|b| b == &value_of(key)[..64]);
    Some(format!(
        "{} bytes instead of {}; the value is right up to byte {} of {LENGTH}, then {}",
        bytes.len(),
        right.len(),
        same.saturating_sub(head),
        if begins_again { "the other node's answer begins within it" } else { "it is another" }
    ))
}
