//! Replies, and replies to `HELLO`: any input gives the same result however it is split, and a successful
//! reply can be parsed again after it is written in either protocol.
#![no_main]

use libfuzzer_sys::fuzz_target;
use resp::{HelloReplyParser, Protocol, ReplyKind, ReplyReader, ServerMessage};

/// Parses the pieces one after another. Returns each message with the bytes that were taken for it, and whether all of
/// the input was valid.
fn read(pieces: [&[u8]; 2], protocol: Protocol) -> (Vec<(ServerMessage, Vec<u8>)>, bool) {
    let (mut reader, mut messages, mut raw) = (ReplyReader::new(protocol), Vec::new(), Vec::new());
    for mut piece in pieces {
        while !piece.is_empty() {
            let Ok((used, message)) = reader.feed(piece) else { return (messages, false) };
            assert!(used > 0);
            raw.extend_from_slice(&piece[..used]);
            piece = &piece[used..];
            if let Some(message) = message {
                messages.push((message, std::mem::take(&mut raw)));
            }
        }
    }
    (messages, true)
}

fuzz_target!(|data: &[u8]| {
    let Some((split, input)) = data.split_first() else { return };
    let at = usize::from(*split) % (input.len() + 1);
    for protocol in [Protocol::Two, Protocol::Three] {
        let whole = read([input, &[]], protocol);
        let halves = read([&input[..at], &input[at..]], protocol);
        assert_eq!(format!("{whole:?}"), format!("{halves:?}"));
        for (message, raw) in whole.0 {
            let ServerMessage::Reply(reply, value) = message else { continue };
            // The RESP2 parser accepts any bytes in a note; the RESP3 parser accepts printable text only.
            let printable = [&reply.note, &reply.load].into_iter().flatten().all(|b| (32..127).contains(b));
            if reply.kind != ReplyKind::Served || !printable {
                continue;
            }
            let bytes = if protocol == Protocol::Two { &raw } else { &value };
            for to in [Protocol::Two, Protocol::Three] {
                let mut out = Vec::new();
                reply.write(bytes, to, &mut out);
                let (back, valid) = read([&out, &[]], to);
                let Some((ServerMessage::Reply(again, _), _)) = back.first() else {
                    panic!("{reply:?} as {to:?}")
                };
                assert!(valid && back.len() == 1 && again.kind == ReplyKind::Served);
                assert_eq!((&again.note, &again.load), (&reply.note, &reply.load));
            }
        }
    }
    let mut hello = HelloReplyParser::default();
    let _ = hello.feed(&input[..at]).and_then(|_| hello.feed(&input[at..]));
});
