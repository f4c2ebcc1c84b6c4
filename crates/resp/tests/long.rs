//! Values that are streamed in parts: the same for any split of the input, in both protocols, and within
//! their limits.

mod common;

use common::split;
use proptest::prelude::*;
use resp::*;

/// What the reader returned, with the parts of the streamed values put together.
#[derive(Debug, Default, PartialEq)]
struct Read {
    heads: Vec<(BodyFormat, usize)>,
    value: Vec<u8>,
    tails: Vec<Reply>,
    other_messages: usize,
}

fn read(pieces: &[&[u8]], protocol: Protocol) -> Result<Read, ProtocolError> {
    let (mut reader, mut read) = (ReplyReader::new(protocol), Read::default());
    for mut piece in pieces.iter().copied() {
        while !piece.is_empty() {
            let (used, message) = reader.feed(piece)?;
            assert!(used > 0, "no input was taken");
            piece = &piece[used..];
            match message {
                Some(ServerMessage::Part(part)) => {
                    // No more is buffered than arrived in this piece.
                    assert!(part.bytes.len() <= used);
                    read.heads.extend(part.head);
                    read.value.extend(part.bytes);
                    read.tails.extend(part.tail);
                }
                Some(_) => read.other_messages += 1,
                None => {}
            }
        }
    }
    Ok(read)
}

fn value(length: usize) -> Vec<u8> {
    (0..length).map(|i| (i % 251) as u8).collect()
}

/// A reply with this value between two short replies.
fn between_short_replies(value: &[u8], before: &str, after: &str) -> Vec<u8> {
    let short = b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n";
    [&short[..], before.as_bytes(), value, after.as_bytes(), short].concat()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(32))]

    #[test]
    fn streamed_values_are_the_same_for_any_split(
        more in 1usize..200_000,
        cuts in proptest::collection::vec(any::<usize>(), 0..8),
    ) {
        let length = MAX_BUFFERED_VALUE_BYTES + more;
        let value = value(length);
        let head = format!("*3\r\n${length}\r\n");
        let bytes = between_short_replies(&value, &head, "\r\n$4\r\nmiss\r\n$-1\r\n");
        for protocol in [Protocol::Two, Protocol::Three] {
            let streamed = read(&split(&bytes, &cuts), protocol).expect("reads");
            prop_assert_eq!(&streamed.heads, &[(BodyFormat::BlobString, length)]);
            prop_assert!(streamed.value == value, "the value differs");
            prop_assert_eq!((streamed.tails.len(), streamed.other_messages), (1, 2));
            prop_assert_eq!((streamed.tails[0].kind, &streamed.tails[0].note[..]), (ReplyKind::Served, &b"miss"[..]));
        }
    }
}

#[test]
fn parts_are_written_as_the_whole_reply_would_be() {
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
        let bytes = between_short_replies(&value, &format!("|1\r\n+note\r\n+hit\r\n{head}"), "\r\n");
        let streamed = read(&[&bytes], Protocol::Three).expect("reads");
        assert_eq!(streamed.heads, [(shape, value.len())]);
        for (protocol, begins, ends) in [
            (Protocol::Two, two, "\r\n$3\r\nhit\r\n$-1\r\n"),
            (Protocol::Three, three, "\r\n$3\r\nhit\r\n_\r\n"),
        ] {
            let mut out = Vec::new();
            Reply::write_head(shape, value.len(), protocol, &mut out);
            out.extend_from_slice(&value);
            streamed.tails[0].write_tail(protocol, &mut out);
            let expected = [b"*3\r\n", begins.as_bytes(), &value, ends.as_bytes()].concat();
            assert!(out == expected, "{shape:?} in {protocol:?}");
        }
    }
}

#[test]
fn streamed_strings_and_pushes_beyond_the_buffer_limit_are_refused() {
    let chunk = format!(";60000\r\n{}\r\n", "v".repeat(60_000));
    let one = format!("$?\r\n{chunk};0\r\n");
    assert_eq!(read(&[one.as_bytes()], Protocol::Three).map(|r| r.other_messages), Ok(1));
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
fn a_command_whose_value_waits_for_memory_is_read_completely_later() {
    let value = value(MAX_BUFFERED_VALUE_BYTES + 9);
    let mut command = b"*5\r\n$1\r\na\r\n$1\r\nb\r\n$1\r\nc\r\n$1\r\nd\r\n".to_vec();
    command.extend(format!("${}\r\n", value.len()).as_bytes());
    command.extend_from_slice(&value);
    command.extend_from_slice(b"\r\n");
    // Enough memory for one and a half values.
    let budget = MemoryBudget::new(value.len() * 3 / 2);
    let (mut first, mut second) = (CommandParser::new(budget.clone()), CommandParser::new(budget));
    let stored = first.feed(&command).expect("parses").1.expect("complete");
    let (used, command_read) = second.feed(&command).expect("parses");
    assert!(
        command_read.is_none()
            && second.waits_for_memory()
            && second.in_value()
            && !second.retry_reservation()
    );
    assert_eq!(second.feed(&command[used..]).map(|(n, c)| (n, c.is_some())), Ok((0, false)));
    drop(stored);
    assert!(second.retry_reservation());
    let delayed = second.feed(&command[used..]).expect("parses").1.expect("complete");
    assert!(delayed.is_complete() && delayed.arg(4) == value);
    // A value larger than the whole budget is read and dropped, so that the command can be refused.
    let mut small = CommandParser::new(MemoryBudget::new(MAX_BUFFERED_VALUE_BYTES));
    assert!(!small.feed(&command).expect("parses").1.expect("complete").is_complete());
}

/// The head of a command with a value of this many bytes.
fn command_head(length: usize) -> Vec<u8> {
    format!("*5\r\n$1\r\na\r\n$1\r\nb\r\n$1\r\nc\r\n$1\r\nd\r\n${length}\r\n").into_bytes()
}

// Guards against values that reserve memory for bytes that have not arrived.
#[test]
fn an_incomplete_value_holds_at_most_twice_the_memory_of_what_has_arrived() {
    let length = MAX_STREAMED_VALUE_BYTES;
    let budget = MemoryBudget::new(2 * length);
    let mut parser = CommandParser::new(budget.clone());
    parser.feed(&command_head(length)).expect("parses");
    let value = value(length);
    let mut arrived = 0;
    for part in value.chunks(10_000) {
        parser.feed(part).expect("parses");
        arrived += part.len();
        let held = 2 * length - budget.available();
        assert!(held >= arrived && held <= 2 * arrived, "{held} bytes are held for {arrived}");
    }
    drop(parser);
    assert_eq!(budget.available(), 2 * length);
}

/// Feeds commands by turns until all are complete or wait for memory; returns which were completed with their values.
fn feed_by_turns(parsers: &mut [CommandParser], values: &mut [&[u8]]) -> Vec<bool> {
    let mut complete = vec![false; parsers.len()];
    for _ in 0..1_000 {
        for (i, parser) in parsers.iter_mut().enumerate() {
            parser.retry_reservation();
            let part = &values[i][..values[i].len().min(5_000)];
            let (used, command) = parser.feed(part).expect("parses");
            values[i] = &values[i][used..];
            complete[i] |= command.is_some_and(|c| c.is_complete());
        }
    }
    complete
}

// Guards against values that grow side by side until none of them can be completed.
#[test]
fn values_that_grow_side_by_side_in_too_little_memory_are_all_completed() {
    const COUNT: usize = 4;
    let command = [command_head(200_000), value(200_000), b"\r\n".to_vec()].concat();
    let budget = MemoryBudget::new(210_000);
    let mut parsers: Vec<_> = (0..COUNT).map(|_| CommandParser::new(budget.clone())).collect();
    let complete = feed_by_turns(&mut parsers, &mut [&command[..]; COUNT]);
    assert_eq!(complete, [true; COUNT]);
    assert_eq!(budget.available(), 210_000);
}

// Guards against a paused value that keeps memory free for itself while others wait.
#[test]
fn a_paused_value_that_gives_up_its_priority_does_not_hold_up_others() {
    let command = [command_head(200_000), value(200_000), b"\r\n".to_vec()].concat();
    let budget = MemoryBudget::new(210_000);
    let mut paused = CommandParser::new(budget.clone());
    paused.feed(&command[..1_000]).expect("parses");
    let mut parsers = [CommandParser::new(budget)];
    let mut rest = [&command[..]];
    assert_eq!(feed_by_turns(&mut parsers, &mut rest), [false]);
    paused.yield_priority();
    assert_eq!(feed_by_turns(&mut parsers, &mut rest), [true]);
}
