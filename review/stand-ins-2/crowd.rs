//! A crowd of clients that stop half way fills the places for clients, and usual clients come with a request each.

use crate::kit::*;
use std::io::Write;
use std::net::TcpStream;
use std::time::Instant;

const CROWD: usize = 400;
const USUAL: usize = 5;
const DEADLINE_MS: u64 = 600;
/// Up to half a second after its time an answer only earns nothing; each time limit is 50 ms longer on sockets.
const LOST_AFTER_MS: u64 = DEADLINE_MS + 500 + 50;

pub fn run(place: &Place) -> ! {
    let (record, trouble) = (place.record.clone(), place.trouble);
    let nodes: Vec<(String, std::net::SocketAddr)> = (0..3)
        .map(|n| {
            let record = record.clone();
            let at = node(move |conn, words| {
                record.note(format!("node s-{n}: GET, request {}", text(&words[2])));
                sleep(60);
                conn.write(&served(&words[1]))
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
        proxies: 4,
        cancelling: true,
        connect_timeout_ms: 120,
    };
    let proxy = place.proxy_with("n0", discovery, &list, &settings.json(), 96, 512);
    let mut crowd = Vec::new();
    if trouble {
        for _ in 0..CROWD {
            if let Ok(mut stream) = TcpStream::connect_timeout(&proxy.listen, ms(500)) {
                let _ = stream.write_all(b"*4\r\n$9\r\nCACHE.GET\r\n$16\r\n7f3a9c");
                crowd.push(stream);
            }
        }
        record.note(format!("{} clients have connected and sent half a command", crowd.len()));
        sleep(200);
    }
    let clients: Vec<_> = (0..USUAL)
        .map(|c| {
            let (record, listen) = (record.clone(), proxy.listen);
            std::thread::spawn(move || {
                let id = format!("9b1f03aa5c7e2d4{c}");
                let Ok(mut client) = Client::connect(listen) else {
                    record.note(format!("client {c}: no connection"));
                    return (false, "no connection".to_owned());
                };
                let key = format!("7f3a9c21e0b4d65{c}");
                let begin = Instant::now();
                let written =
                    client.send_words(&["CACHE.GET", &key, &id, &format!("c=pack-lookup,d={DEADLINE_MS}")]);
                record.note(format!("client {c}: GET, request {id}, written whole: {written}"));
                let answer = client.answer(ms(8_000));
                let after = begin.elapsed().as_millis() as u64;
                // A connection that is shut unread is allowed where the places are full.
                let shut_unread = matches!(answer, Some(Answer::End(_)));
                let what = answer.as_ref().map_or("no answer".into(), Answer::short);
                record.note(format!("client {c}: {what} after {after} ms"));
                (
                    written && after > LOST_AFTER_MS && !(shut_unread && after <= LOST_AFTER_MS),
                    format!("{what} after {after} ms"),
                )
            })
        })
        .collect();
    let results: Vec<(bool, String)> = clients.into_iter().map(|c| c.join().unwrap()).collect();
    drop(crowd);
    let lost: Vec<&String> = results.iter().filter(|r| r.0).map(|r| &r.1).collect();
    let text = match lost.first() {
        Some(first) => format!("{} of {USUAL} requests with d={DEADLINE_MS} had no answer in {LOST_AFTER_MS} ms, the first: {first}", lost.len()),
        None => format!("all {USUAL} requests were answered in time: {}", results[0].1),
    };
    verdict(place, !lost.is_empty(), &text)
}
