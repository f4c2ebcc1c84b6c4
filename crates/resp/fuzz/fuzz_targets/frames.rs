//! Frames: any input gives the same result however it is split; parsed frames are the same after writing and
//! parsing them again; another decoder finds the end of their RESP2 form where this crate does.
#![no_main]

use libfuzzer_sys::fuzz_target;
use resp::{Frame, FrameReader, Limits, Protocol, ProtocolError};

/// Parses the pieces one after another. Returns all frames, or the error and the frames before it.
fn read(pieces: [&[u8]; 2], limits: Limits) -> Result<Vec<Frame>, (Vec<Frame>, ProtocolError)> {
    let (mut reader, mut frames) = (FrameReader::new(limits), Vec::new());
    for mut piece in pieces {
        while !piece.is_empty() {
            match reader.feed(piece) {
                Ok((used, frame)) => {
                    assert!(used > 0);
                    frames.extend(frame);
                    piece = &piece[used..];
                }
                Err(e) => return Err((frames, e)),
            }
        }
    }
    Ok(frames)
}

fuzz_target!(|data: &[u8]| {
    let Some((split, input)) = data.split_first() else { return };
    let at = usize::from(*split) % (input.len() + 1);
    let limits = Limits { max_depth: 6, max_elements: 64, max_blob_bytes: 256, max_total_bytes: 1 << 10 };
    let whole = read([input, &[]], limits);
    let halves = read([&input[..at], &input[at..]], limits);
    // Compared as text, since NaN is not equal to itself.
    assert_eq!(format!("{whole:?}"), format!("{halves:?}"));
    for frame in whole.unwrap_or_else(|(frames, _)| frames) {
        let mut out = Vec::new();
        frame.write(Protocol::Three, &mut out);
        let back =
            read([&out, &[]], Limits { max_total_bytes: 1 << 20, ..Limits::default() }).expect("reads back");
        assert_eq!(format!("{back:?}"), format!("{:?}", [&frame]));
        out.clear();
        frame.write(Protocol::Two, &mut out);
        if let Ok(Some((_, used))) = redis_protocol::resp2::decode::decode(&out) {
            assert_eq!(used, out.len());
        }
    }
});
