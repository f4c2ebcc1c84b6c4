//! A bad client takes the id of another client's request while that one's long value is being passed on.

use crate::kit::*;

const LENGTH: usize = 200 << 10;

pub fn run(place: &Place) -> ! {
    let (record, trouble) = (place.record.clone(), place.trouble);
    let at = node(move |conn, words| {
        let long = text(&words[1]).ends_with('0');
        let bytes = served(&vec![b'x'; if long { LENGTH } else { 20 }]);
        // A long answer comes in pieces.
        bytes.chunks(20 << 10).all(|piece| {
            if long {
                sleep(100);
            }
            conn.write(piece)
        })
    });
    let (discovery, list) = discovery(&[("s-0".into(), at)]);
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
    let proxy = place.proxy("n0", discovery, &list, &settings.json(), 128);
    let mut usual = Client::to(proxy.listen);
    usual.send_words(&["CACHE.GET", "7f3a9c21e0b4d650", "9b1f03aa5c7e2d41", "c=pack-lookup,d=750"]);
    record.note("usual client: GET 7f3a9c21e0b4d650, request 9b1f03aa5c7e2d41");
    sleep(500);
    let id = if trouble { "9b1f03aa5c7e2d41" } else { "0000000000000000" };
    let mut bad = Client::to(proxy.listen);
    bad.send_words(&["CACHE.GET", "7f3a9c21e0b4d651", id, "c=pack-lookup,d=750"]);
    let answer = bad.answer(ms(2000)).unwrap_or(Answer::End("never"));
    record.note(format!("bad client: GET 7f3a9c21e0b4d651, request {id}: {}", answer.short()));
    let still_open = usual.answer(ms(3000));
    record.note(format!("usual client: {}", still_open.map_or("no answer".into(), |a| a.short())));
    let broken = trouble && answer.value().is_some();
    verdict(
        place,
        broken,
        &format!("the second client with the id of an open request has {}", answer.short()),
    )
}
