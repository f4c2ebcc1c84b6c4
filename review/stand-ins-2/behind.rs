//! A client sends two commands at once; the second one's long value breaks off at its node while the first one waits.

use crate::kit::*;

const LENGTH: usize = 200 << 10;

pub fn run(place: &Place) -> ! {
    let (record, trouble) = (place.record.clone(), place.trouble);
    let nodes: Vec<(String, std::net::SocketAddr)> = (0..3)
        .map(|n| {
            let record = record.clone();
            let at = node(move |conn, words| {
                let id = text(&words[2]);
                record.note(format!("node s-{n}: {}, request {id}", text(&words[0])));
                if id.starts_with("first") {
                    // A usual write, of the usual work.
                    sleep(120);
                    record.note(format!("node s-{n}: answers {id}"));
                    return conn.write(&served(b"done"));
                }
                sleep(30);
                let bytes = served(&vec![b'x'; LENGTH]);
                if !trouble {
                    return conn.write(&bytes);
                }
                conn.write(&bytes[..LENGTH / 2]);
                sleep(20);
                record.note(format!("node s-{n}: the connection is reset within the value of {id}"));
                conn.reset();
                false
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
        proxies: 4,
        cancelling: true,
        connect_timeout_ms: 120,
    };
    let proxy = place.proxy("n0", discovery, &list, &settings.json(), 128);
    let (mut lost, mut rounds) = (0, 0);
    for round in 0..5 {
        let mut client = Client::to(proxy.listen);
        let (first, second) = (format!("first{round}"), format!("second{round}"));
        let key = |i: u32| format!("7f3a9c21e0b4d6{round}{i}");
        let mut both = encode(&["CACHE.SET", &key(0), &first, &format!("c=swap-record,d=1000,k=k{round}"), "charge=80"]);
        both.extend(encode(&["CACHE.GET", &key(1), &second, "c=pack-lookup,d=750"]));
        use std::io::Write;
        let _ = client.stream.write_all(&both);
        record.note(format!("client: {first} and {second} written"));
        let answer = client.answer(ms(3000)).unwrap_or(Answer::End("never"));
        record.note(format!("client: answer to {first}: {}", answer.short()));
        rounds += 1;
        lost += usize::from(matches!(answer, Answer::End(_)));
        sleep(200);
    }
    verdict(place, lost > 0, &format!("the first of two commands had no answer in {lost} of {rounds} rounds, though its node gave one"))
}
