//! How long it takes to read a reply, against another library's decoder. Prints ratios of one run each:
//!
//! ```sh
//! cargo bench -p resp --bench codec
//! ```

use redis_protocol::{resp2, resp3};
use resp::{FrameReader, Protocol, ReplyKind, ReplyReader, ServerMessage};
use std::hint::black_box;
use std::time::Instant;

const RUNS: usize = 5;
const REPLIES: usize = 20_000;

/// Nanoseconds a reply.
fn timed(input: &[u8], replies: usize, mut read: impl FnMut(&[u8]) -> usize) -> f64 {
    let begun = Instant::now();
    assert_eq!(read(black_box(input)), replies);
    begun.elapsed().as_nanos() as f64 / replies as f64
}

/// Reads with this project's reader, in pieces of the size that a socket gives.
fn reader(protocol: Protocol, input: &[u8]) -> usize {
    let (mut reader, mut served) = (ReplyReader::new(protocol), 0);
    for mut piece in input.chunks(16 << 10) {
        while !piece.is_empty() {
            let (used, item) = reader.feed(piece).expect("reads");
            served +=
                usize::from(matches!(item, Some(ServerMessage::Reply(r, _)) if r.kind == ReplyKind::Served));
            piece = &piece[used..];
        }
    }
    served
}

fn frames(input: &[u8]) -> usize {
    let (mut frames, mut all) = (FrameReader::default(), 0);
    for mut piece in input.chunks(16 << 10) {
        while !piece.is_empty() {
            let (used, frame) = frames.feed(piece).expect("reads");
            all += usize::from(black_box(frame).is_some());
            piece = &piece[used..];
        }
    }
    all
}

fn main() {
    for length in [32, 1_024, 65_536] {
        let replies = REPLIES * 64 / (length + 64).max(64) + 200;
        let value = "v".repeat(length);
        let two = format!("*3\r\n${length}\r\n{value}\r\n$3\r\nhit\r\n$-1\r\n").repeat(replies);
        let three = format!("*3\r\n${length}\r\n{value}\r\n$3\r\nhit\r\n_\r\n").repeat(replies);
        let (two, three) = (two.as_bytes(), three.as_bytes());
        println!("value of {length} bytes, {replies} replies; nanoseconds a reply");
        for run in 0..RUNS {
            let old = timed(two, replies, |i| reader(Protocol::Two, i));
            let new = timed(three, replies, |i| reader(Protocol::Three, i));
            let tree = timed(three, replies, frames);
            let other_two = timed(two, replies, |mut i| {
                let mut all = 0;
                while let Some((frame, used)) = resp2::decode::decode(i).expect("reads") {
                    black_box(frame);
                    (i, all) = (&i[used..], all + 1);
                    if i.is_empty() {
                        break;
                    }
                }
                all
            });
            let other_three = timed(three, replies, |mut i| {
                let mut all = 0;
                while let Some((frame, used)) = resp3::decode::complete::decode(i).expect("reads") {
                    black_box(frame);
                    (i, all) = (&i[used..], all + 1);
                    if i.is_empty() {
                        break;
                    }
                }
                all
            });
            println!(
                "  run {run}: RESP2 {old:.0}, RESP3 {new:.0}, trees {tree:.0}, redis-protocol {other_two:.0} and \
                 {other_three:.0}; RESP3/RESP2 {:.2}, RESP2/redis-protocol {:.2}, RESP3/redis-protocol {:.2}, \
                 trees/redis-protocol {:.2}",
                new / old,
                old / other_two,
                new / other_three,
                tree / other_three
            );
        }
    }
}
