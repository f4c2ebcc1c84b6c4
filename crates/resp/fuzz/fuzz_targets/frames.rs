//! Frames: any input, cut anywhere, ends alike; what was read is written and read back the same; what another
//! decoder reads from that in RESP2 ends where it does here.
#![no_main]

use libfuzzer_sys::fuzz_target;
use resp::{Frame, FrameReader, Limits, Protocol, ProtocolError};

fn read(pieces: [&[u8]; 2], limits: Limits) -> Result<Vec<Frame>, (Vec<Frame>, ProtocolError)> {
    let (mut frames, mut all) = (FrameReader::new(limits), Vec::new());
    for mut piece in pieces {
        while !piece.is_empty() {
            match frames.feed(piece) {
                Ok((used, frame)) => {
                    assert!(used > 0);
                    all.extend(frame);
                    piece = &piece[used..];
                }
                Err(e) => return Err((all, e)),
            }
        }
    }
    Ok(all)
}

fuzz_target!(|data: &[u8]| {
    let Some((cut, input)) = data.split_first() else { return };
    let at = usize::from(*cut) % (input.len() + 1);
    let limits = Limits { max_depth: 6, max_elements: 64, max_blob_bytes: 256, max_total_bytes: 1 << 10 };
    let whole = read([input, &[]], limits);
    let halves = read([&input[..at], &input[at..]], limits);
    // By their text: NaN is not its own equal.
    assert_eq!(format!("{whole:?}"), format!("{halves:?}"));
    for frame in whole.unwrap_or_else(|(frames, _)| frames) {
        let mut out = Vec::new();
        frame.write(Protocol::Three, &mut out);
        let back = read([&out, &[]], Limits { max_total_bytes: 1 << 20, ..Limits::default() }).expect("reads back");
        assert_eq!(format!("{back:?}"), format!("{:?}", [&frame]));
        out.clear();
        frame.write(Protocol::Two, &mut out);
        if let Ok(Some((_, used))) = redis_protocol::resp2::decode::decode(&out) {
            assert_eq!(used, out.len());
        }
    }
});
