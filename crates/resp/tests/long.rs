//! Values that are handed on in parts: the same however they are cut, in both protocols, and within their bounds.

mod common;

use common::split;
use proptest::prelude::*;
use resp::*;

#[derive(Debug, Default, PartialEq)]
struct Read {
    heads: Vec<(BodyFormat, usize)>,
    value: Vec<u8>,
    tails: Vec<Reply>,
    others: usize,
}

fn read(pieces: &[&[u8]], protocol: Protocol) -> Result<Read, ProtocolError> {
    let (mut reader, mut all) = (ReplyReader::new(protocol), Read::default());
    for mut piece in pieces.iter().copied() {
        while !piece.is_empty() {
            let (used, item) = reader.feed(piece)?;
            assert!(used > 0, "no progress");
            piece = &piece[used..];
            match item {
                Some(ServerMessage::Part(part)) => {
                    // What is kept is no longer than what came with it.
                    assert!(part.bytes.len() <= used);
                    all.heads.extend(part.head);
                    all.value.extend(part.bytes);
                    all.tails.extend(part.tail);
                }
                Some(_) => all.others += 1,
                None => {}
            }
        }
    }
    Ok(all)
}

fn value(length: usize) -> Vec<u8> {
    (0..length).map(|i| (i % 251) as u8).collect()
}

/// A reply with a long value between two short ones.
fn between(value: &[u8], before: &str, after: &str) -> Vec<u8> {
    let short = b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n";
    [&short[..], before.as_bytes(), value, after.as_bytes(), short].concat()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(32))]

    #[test]
    fn any_split_of_long_values_is_read_alike(
        more in 1usize..200_000,
        cuts in proptest::collection::vec(any::<usize>(), 0..8),
    ) {
        let length = MAX_BUFFERED_VALUE_BYTES + more;
        let value = value(length);
        let head = format!("*3\r\n${length}\r\n");
        let bytes = between(&value, &head, "\r\n$4\r\nmiss\r\n$-1\r\n");
        for protocol in [Protocol::Two, Protocol::Three] {
            let told = read(&split(&bytes, &cuts), protocol).expect("reads");
            prop_assert_eq!(&told.heads, &[(BodyFormat::BlobString, length)]);
            prop_assert!(told.value == value, "another value");
            prop_assert_eq!((told.tails.len(), told.others), (1, 2));
            prop_assert_eq!((told.tails[0].kind, &told.tails[0].note[..]), (ReplyKind::Served, &b"miss"[..]));
        }
    }
}

#[test]
fn what_is_written_from_the_parts_is_what_would_be_written_whole() {
    let value = value(MAX_BUFFERED_VALUE_BYTES + 1);
    for (shape, head, two, three) in [
        (BodyFormat::BlobString, format!("${}\r\n", value.len()), "$65537\r\n", "$65537\r\n"),
        (
            BodyFormat::Verbatim(*b"txt"),
            format!("={}\r\ntxt:", value.len() + 4),
            "$65537\r\n",
            "=65541\r\ntxt:",
        ),
    ] {
        let bytes = between(&value, &format!("|1\r\n+note\r\n+hit\r\n{head}"), "\r\n");
        let told = read(&[&bytes], Protocol::Three).expect("reads");
        assert_eq!(told.heads, [(shape, value.len())]);
        for (protocol, begins, ends) in [
            (Protocol::Two, two, "\r\n$3\r\nhit\r\n$-1\r\n"),
            (Protocol::Three, three, "\r\n$3\r\nhit\r\n_\r\n"),
        ] {
            let mut out = Vec::new();
            Reply::write_head(shape, value.len(), protocol, &mut out);
            out.extend_from_slice(&value);
            told.tails[0].write_tail(protocol, &mut out);
            let expected = [b"*3\r\n", begins.as_bytes(), &value, ends.as_bytes()].concat();
            assert!(out == expected, "{shape:?} in {protocol:?}");
        }
    }
}

#[test]
fn a_value_that_does_not_tell_its_length_or_is_pushed_is_not_kept_past_a_bound() {
    let chunk = format!(";60000\r\n{}\r\n", "v".repeat(60_000));
    let one = format!("$?\r\n{chunk};0\r\n");
    assert_eq!(read(&[one.as_bytes()], Protocol::Three).map(|r| r.others), Ok(1));
    let two = format!("$?\r\n{chunk}{chunk};0\r\n");
    assert!(read(&[two.as_bytes()], Protocol::Three).is_err());
    let push = format!(
        ">2\r\n+invalidate\r\n${MAX_STREAMED_VALUE_BYTES}\r\n{}\r\n",
        "k".repeat(MAX_STREAMED_VALUE_BYTES)
    );
    assert!(read(&[push.as_bytes()], Protocol::Three).is_err());
    for long in [format!("*3\r\n${}\r\n", MAX_STREAMED_VALUE_BYTES + 1), "*3\r\n$3000000000\r\n".to_owned()] {
        for protocol in [Protocol::Two, Protocol::Three] {
            assert!(read(&[long.as_bytes()], protocol).is_err(), "{long:?}");
        }
    }
}

#[test]
fn a_command_with_a_long_value_waits_for_room_and_loses_nothing() {
    let value = value(MAX_BUFFERED_VALUE_BYTES + 9);
    let mut command = b"*5\r\n$1\r\na\r\n$1\r\nb\r\n$1\r\nc\r\n$1\r\nd\r\n".to_vec();
    command.extend(format!("${}\r\n", value.len()).as_bytes());
    command.extend_from_slice(&value);
    command.extend_from_slice(b"\r\n");
    // Room for one and a half.
    let room = MemoryBudget::new(value.len() * 3 / 2);
    let (mut first, mut second) = (CommandParser::new(room.clone()), CommandParser::new(room));
    let held = first.feed(&command).expect("parses").1.expect("whole");
    let (used, none) = second.feed(&command).expect("parses");
    assert!(none.is_none() && second.waits_for_memory() && second.in_value() && !second.retry_reservation());
    assert_eq!(second.feed(&command[used..]).map(|(n, c)| (n, c.is_some())), Ok((0, false)));
    drop(held);
    assert!(second.retry_reservation());
    let whole = second.feed(&command[used..]).expect("parses").1.expect("whole");
    assert!(whole.is_complete() && whole.arg(4) == value);
    // What could never have room is read and dropped, so that it can be refused.
    let mut small = CommandParser::new(MemoryBudget::new(MAX_BUFFERED_VALUE_BYTES));
    assert!(!small.feed(&command).expect("parses").1.expect("whole").is_complete());
}
