//! A planned restart while a request of a class with a deadline of over 3 s is at work.

use crate::kit::*;
use std::time::Instant;

const DEADLINE_MS: u64 = 5_000;
/// SIGKILL comes the longest deadline, taken as 3 s if it is longer, and 0.7 s after SIGTERM.
const KILL_AFTER_MS: u64 = 3_700;
/// How long a node works on such a request.
const WORK_MS: u64 = 4_300;

pub fn run(place: &Place) -> ! {
    let (record, trouble) = (place.record.clone(), place.trouble);
    let at = {
        let record = record.clone();
        node(move |conn, words| {
            let id = text(&words[2]);
            record.note(format!(
                "node s-0: {} request {id}, d={}",
                text(&words[0]),
                field(&words, "d").unwrap_or_default()
            ));
            sleep(WORK_MS);
            let written = conn.write(&served(b"report"));
            record.note(format!(
                "node s-0: answers {id}{}",
                if written { "" } else { ": the connection is gone" }
            ));
            written
        })
    };
    let (discovery, list) = discovery(&[("s-0".into(), at)]);
    let settings = Settings {
        classes: vec![
            Class { name: "pack-lookup", aim_ms: 300, deadline_ms: 750, effect: "safe", window_ms: 0 },
            Class {
                name: "pack-report",
                aim_ms: 4_500,
                deadline_ms: DEADLINE_MS,
                effect: "safe",
                window_ms: 0,
            },
        ],
        proxies: 4,
        cancelling: true,
        connect_timeout_ms: 120,
    };
    let proxy = place.proxy("n0", discovery, &list, &settings.json(), 128);
    let (mut lost, mut got) = (0, Vec::new());
    let clients: Vec<_> = (0..4)
        .map(|c| {
            let mut client = Client::to(proxy.listen);
            client.send_words(&[
                "CACHE.GET",
                &format!("7f3a9c21e0b4d65{c}"),
                &format!("9b1f03aa5c7e2d4{c}"),
                &format!("c=pack-report,d={DEADLINE_MS}"),
            ]);
            record.note(format!("client {c}: GET, d={DEADLINE_MS}, written"));
            client
        })
        .collect();
    sleep(200);
    let begin = Instant::now();
    if trouble {
        signal(proxy.pid, "TERM");
        record.note("platform: SIGTERM");
    }
    let until = ms(if trouble { KILL_AFTER_MS } else { DEADLINE_MS + 550 });
    for (c, mut client) in clients.into_iter().enumerate() {
        let answer = client.answer(until.saturating_sub(begin.elapsed()).max(ms(1)));
        let what = answer.as_ref().map_or("no answer".to_owned(), Answer::short);
        record.note(format!("client {c}: {what} after {} ms", begin.elapsed().as_millis()));
        lost += usize::from(matches!(answer, None | Some(Answer::End(_))));
        got.push(what);
    }
    if trouble {
        record.note(format!("platform: SIGKILL; the proxy has ended before: {}", has_ended(proxy.pid)));
        signal(proxy.pid, "KILL");
    }
    verdict(place, lost > 0, &format!("{lost} of 4 requests have no answer; the first: {}", got[0]))
}
