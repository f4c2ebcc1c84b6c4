//! Replies and greetings: any input, cut anywhere, ends alike, and a reply that serves is written so that both
//! protocols' own readers take it.
#![no_main]

use libfuzzer_sys::fuzz_target;
use resp::{HelloReplyParser, Protocol, ReplyKind, ReplyReader, ServerMessage};

fn read(pieces: [&[u8]; 2], protocol: Protocol) -> (Vec<(ServerMessage, Vec<u8>)>, bool) {
    let (mut reader, mut all, mut raw) = (ReplyReader::new(protocol), Vec::new(), Vec::new());
    for mut piece in pieces {
        while !piece.is_empty() {
            let Ok((used, item)) = reader.feed(piece) else { return (all, false) };
            assert!(used > 0);
            raw.extend_from_slice(&piece[..used]);
            piece = &piece[used..];
            if let Some(item) = item {
                all.push((item, std::mem::take(&mut raw)));
            }
        }
    }
    (all, true)
}

fuzz_target!(|data: &[u8]| {
    let Some((cut, input)) = data.split_first() else { return };
    let at = usize::from(*cut) % (input.len() + 1);
    for protocol in [Protocol::Two, Protocol::Three] {
        let whole = read([input, &[]], protocol);
        let halves = read([&input[..at], &input[at..]], protocol);
        assert_eq!(format!("{whole:?}"), format!("{halves:?}"));
        for (item, raw) in whole.0 {
            let ServerMessage::Reply(reply, value) = item else { continue };
            // RESP2 takes any bytes as a note; a box that speaks RESP3 is held to text.
            let text = [&reply.note, &reply.load].into_iter().flatten().all(|b| (32..127).contains(b));
            if reply.kind != ReplyKind::Served || !text {
                continue;
            }
            let bytes = if protocol == Protocol::Two { &raw } else { &value };
            for to in [Protocol::Two, Protocol::Three] {
                let mut out = Vec::new();
                reply.write(bytes, to, &mut out);
                let (back, good) = read([&out, &[]], to);
                let Some((ServerMessage::Reply(again, _), _)) = back.first() else { panic!("{reply:?} as {to:?}") };
                assert!(good && back.len() == 1 && again.kind == ReplyKind::Served);
                assert_eq!((&again.note, &again.load), (&reply.note, &reply.load));
            }
        }
    }
    let mut greeting = HelloReplyParser::default();
    let _ = greeting.feed(&input[..at]).and_then(|_| greeting.feed(&input[at..]));
});
