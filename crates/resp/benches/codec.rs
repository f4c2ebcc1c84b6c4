//! The time that parsing a reply takes, compared with the decoder of another library. Prints times and ratios
//! for each run:
//!
//! ```sh
//! cargo bench -p resp --bench codec
//! ```

use redis_protocol::{resp2 as other_resp2_codec, resp3 as other_resp3_codec};
use resp::{FrameReader, Protocol, ReplyKind, ReplyReader, ServerMessage};
use std::hint::black_box;
use std::time::Instant;

const RUNS: usize = 5;
/// The number of replies in the input is `REPLIES * UNIT_BYTES / (length of the value + UNIT_BYTES) + MIN_REPLIES`, so
/// that an input of long values does not become too large.
const REPLIES: usize = 20_000;
const UNIT_BYTES: usize = 64;
const MIN_REPLIES: usize = 200;
/// The size of the pieces in which the input arrives, as from a socket.
const PIECE_BYTES: usize = 16 << 10;

/// The time for one reply in nanoseconds. `parse` returns the number of replies that it found.
fn nanoseconds_per_reply(input: &[u8], replies: usize, mut parse: impl FnMut(&[u8]) -> usize) -> f64 {
    let started = Instant::now();
    assert_eq!(parse(black_box(input)), replies);
    started.elapsed().as_nanos() as f64 / replies as f64
}

/// Parses the replies with this project's reply reader.
fn read_replies(protocol: Protocol, input: &[u8]) -> usize {
    let (mut reader, mut served) = (ReplyReader::new(protocol), 0);
    for mut piece in input.chunks(PIECE_BYTES) {
        while !piece.is_empty() {
            let (used, message) = reader.feed(piece).expect("reads");
            served += usize::from(
                matches!(message, Some(ServerMessage::Reply(r, _)) if r.kind == ReplyKind::Served),
            );
            piece = &piece[used..];
        }
    }
    served
}

/// Parses the replies into trees of frames.
fn read_frames(input: &[u8]) -> usize {
    let (mut reader, mut count) = (FrameReader::default(), 0);
    for mut piece in input.chunks(PIECE_BYTES) {
        while !piece.is_empty() {
            let (used, frame) = reader.feed(piece).expect("reads");
            count += usize::from(black_box(frame).is_some());
            piece = &piece[used..];
        }
    }
    count
}

/// Prints the time per reply for values of three lengths: with this project's reply readers for RESP2 and RESP3, its
/// frame trees (`trees`), and the decoders of the redis-protocol crate.
fn main() {
    for length in [32, 1_024, 65_536] {
        let replies = REPLIES * UNIT_BYTES / (length + UNIT_BYTES).max(UNIT_BYTES) + MIN_REPLIES;
        let value = "v".repeat(length);
        let resp2_input = format!("*3\r\n${length}\r\n{value}\r\n$3\r\nhit\r\n$-1\r\n").repeat(replies);
        let resp3_input = format!("*3\r\n${length}\r\n{value}\r\n$3\r\nhit\r\n_\r\n").repeat(replies);
        let (resp2_input, resp3_input) = (resp2_input.as_bytes(), resp3_input.as_bytes());
        println!("value of {length} bytes, {replies} replies; nanoseconds per reply");
        for run in 0..RUNS {
            let resp2 = nanoseconds_per_reply(resp2_input, replies, |i| read_replies(Protocol::Two, i));
            let resp3 = nanoseconds_per_reply(resp3_input, replies, |i| read_replies(Protocol::Three, i));
            let trees = nanoseconds_per_reply(resp3_input, replies, read_frames);
            let other_resp2 = nanoseconds_per_reply(resp2_input, replies, |mut input| {
                let mut count = 0;
                while let Some((frame, used)) = other_resp2_codec::decode::decode(input).expect("reads") {
                    black_box(frame);
                    (input, count) = (&input[used..], count + 1);
                    if input.is_empty() {
                        break;
                    }
                }
                count
            });
            let other_resp3 = nanoseconds_per_reply(resp3_input, replies, |mut input| {
                let mut count = 0;
                while let Some((frame, used)) =
                    other_resp3_codec::decode::complete::decode(input).expect("reads")
                {
                    black_box(frame);
                    (input, count) = (&input[used..], count + 1);
                    if input.is_empty() {
                        break;
                    }
                }
                count
            });
            println!(
                "  run {run}: RESP2 {resp2:.0}, RESP3 {resp3:.0}, trees {trees:.0}, redis-protocol \
                 {other_resp2:.0} and {other_resp3:.0}; RESP3/RESP2 {:.2}, RESP2/redis-protocol {:.2}, \
                 RESP3/redis-protocol {:.2}, trees/redis-protocol {:.2}",
                resp3 / resp2,
                resp2 / other_resp2,
                resp3 / other_resp3,
                trees / other_resp3
            );
        }
    }
}
