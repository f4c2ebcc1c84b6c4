//! A planned restart while a node hangs, where the longest deadline is over 3 s.

use crate::kit::*;

/// SIGKILL comes the longest deadline, 3 s at most, and 0.7 s after SIGTERM.
const KILL_AFTER_MS: u64 = 3_700;

pub fn run(place: &Place) -> ! {
    let (record, trouble) = (place.record.clone(), place.trouble);
    let at = {
        let record = record.clone();
        node(move |conn, words| {
            record.note(format!("node s-0: {} request {}, d={}", text(&words[0]), text(&words[2]), field(&words, "d").unwrap_or_default()));
            // It hangs for longer than the shutdown.
            sleep(if trouble { 8_000 } else { 60 });
            conn.write(&served(b"pack"))
        })
    };
    let (discovery, list) = discovery(&[("s-0".into(), at)]);
    let settings = Settings {
        classes: vec![
            Class { name: "pack-lookup", aim_ms: 300, deadline_ms: 750, effect: "safe", window_ms: 0 },
            Class { name: "pack-report", aim_ms: 2000, deadline_ms: 5000, effect: "unsafe", window_ms: 0 },
        ],
        proxies: 4,
        cancelling: true,
        connect_timeout_ms: 120,
    };
    let proxy = place.proxy("n0", discovery, &list, &settings.json(), 128);
    let mut client = Client::to(proxy.listen);
    client.send_words(&["CACHE.SET", "7f3a9c21e0b4d655", "9b1f03aa5c7e2d41", "c=pack-report,d=5000", "report"]);
    record.note("client: SET, d=5000, written");
    sleep(200);
    signal(proxy.pid, "TERM");
    record.note("platform: SIGTERM");
    let answer = client.answer(ms(KILL_AFTER_MS));
    let text = match &answer {
        None => "no answer".into(),
        Some(answer) => answer.short(),
    };
    let ended = has_ended(proxy.pid);
    record.note(format!("client: {text}; the proxy has ended: {ended}; SIGKILL is due"));
    signal(proxy.pid, "KILL");
    let lost = matches!(answer, None | Some(Answer::End(_)));
    verdict(place, lost, &format!("{} ms after SIGTERM the client has: {text}", KILL_AFTER_MS))
}
