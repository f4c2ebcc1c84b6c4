//! Commands and RESP2 replies: the same result for any split of the input, and the limits on them.

mod common;

use common::split;
use proptest::prelude::*;
use resp::*;

const VALUE_INDEX: usize = 4;
const MAX_LINE_BYTES: usize = 1 << 10;

fn commands(pieces: &[&[u8]], budget: usize) -> Result<Vec<Vec<Vec<u8>>>, ProtocolError> {
    let mut parser = CommandParser::new(MemoryBudget::new(budget));
    let mut all = Vec::new();
    for mut piece in pieces.iter().copied() {
        while !piece.is_empty() {
            let (used, command) = parser.feed(piece)?;
            assert!(used > 0, "no input was taken");
            all.extend(command.map(|c| (0..c.arity()).map(|i| c.arg(i).to_vec()).collect()));
            piece = &piece[used..];
        }
    }
    Ok(all)
}

fn replies(pieces: &[&[u8]]) -> Result<Vec<Reply>, ProtocolError> {
    let (mut parser, mut all) = (ReplyParser::default(), Vec::new());
    for mut piece in pieces.iter().copied() {
        while !piece.is_empty() {
            let (used, reply) = parser.feed(piece)?;
            assert!(used > 0, "no input was taken");
            assert!(reply.is_none() || !parser.in_progress());
            all.extend(reply);
            piece = &piece[used..];
        }
    }
    Ok(all)
}

fn encode(args: &[Vec<u8>]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", args.len()).into_bytes();
    for arg in args {
        out.extend_from_slice(format!("${}\r\n", arg.len()).as_bytes());
        out.extend_from_slice(arg);
        out.extend_from_slice(b"\r\n");
    }
    out
}

fn reply() -> impl Strategy<Value = Vec<u8>> {
    let value = prop_oneof![0usize..40, Just(MAX_BUFFERED_VALUE_BYTES)];
    let array = (value, 0usize..3, any::<bool>()).prop_map(|(length, note, load)| {
        let mut out = format!("*3\r\n${length}\r\n").into_bytes();
        out.extend(std::iter::repeat_n(b'\n', length));
        out.extend_from_slice([&b"\r\n$3\r\nhit\r\n"[..], b"\r\n+miss\r\n", b"\r\n$-1\r\n"][note]);
        out.extend_from_slice(if load { b"$8\r\nutil=0.6\r\n" } else { b"$-1\r\n" });
        out
    });
    prop_oneof![
        array,
        Just(b"-ERR failed inflight=7,queue=2\r\n".to_vec()),
        Just(b"-BUSY\r\n".to_vec()),
        Just(b"*-1\r\n".to_vec()),
        Just(b"*3\r\n$-1\r\n$-1\r\n+util=1\r\n".to_vec()),
    ]
}

proptest! {
    #[test]
    fn commands_are_the_same_for_any_split(
        args in proptest::collection::vec(proptest::collection::vec(
            proptest::collection::vec(any::<u8>(), 0..50), 1..6), 1..4),
        cuts in proptest::collection::vec(any::<usize>(), 0..12),
    ) {
        let bytes: Vec<u8> = args.iter().flat_map(|a| encode(a)).collect();
        prop_assert_eq!(commands(&split(&bytes, &cuts), 0), Ok(args));
    }

    #[test]
    fn replies_are_the_same_for_any_split(
        all in proptest::collection::vec(reply(), 1..5),
        cuts in proptest::collection::vec(any::<usize>(), 0..12),
    ) {
        let bytes = all.concat();
        let whole = replies(&[&bytes]);
        prop_assert_eq!(whole.as_ref().map(Vec::len), Ok(all.len()));
        prop_assert_eq!(replies(&split(&bytes, &cuts)), whole);
    }

    #[test]
    fn invalid_input_gives_the_same_result_for_any_split(
        bytes in proptest::collection::vec(prop_oneof![any::<u8>(), Just(b'*'), Just(b'$'), Just(b'1'),
            Just(b'\r'), Just(b'\n')], 1..60),
        cuts in proptest::collection::vec(any::<usize>(), 0..12),
    ) {
        prop_assert_eq!(commands(&split(&bytes, &cuts), 0), commands(&[&bytes], 0));
        prop_assert_eq!(replies(&split(&bytes, &cuts)), replies(&[&bytes]));
    }
}

#[test]
fn a_value_without_memory_is_read_to_its_end_and_memory_is_returned_on_drop() {
    let budget = MemoryBudget::new(10_000);
    let mut args = vec![b"x".to_vec(); VALUE_INDEX];
    args.push(vec![b'x'; 8_000]);
    let input = encode(&args);
    let mut first = CommandParser::new(budget.clone());
    let mut second = CommandParser::new(budget.clone());
    let stored = first.feed(&input).expect("parses").1.expect("complete");
    assert!(stored.is_complete() && stored.arg(VALUE_INDEX).len() == 8_000);
    let refused = second.feed(&input).expect("parses").1.expect("complete");
    assert!(!refused.is_complete() && refused.arity() == VALUE_INDEX + 1);
    drop(stored);
    assert!(second.feed(&input).expect("parses").1.expect("complete").is_complete());
}

#[test]
fn input_beyond_the_limits_is_refused() {
    let value = "*5\r\n$1\r\nx\r\n$1\r\nx\r\n$1\r\nx\r\n$1\r\nx\r\n$4194305\r\n";
    for bad in ["PING\r\n", "*17\r\n", "*1\r\n$1025\r\n", value, "*1\r\n$-1\r\n", "*99999999999\r\n", "*1\n"]
    {
        assert!(commands(&[bad.as_bytes()], 0).is_err(), "{bad:?} was accepted");
    }
    let line = format!("-{}\r\n", "x".repeat(MAX_LINE_BYTES + 1));
    let value = |more: &str| format!("*3\r\n$1\r\nx\r\n{more}");
    for bad in [
        "*4\r\n",
        "*1\r\n$1\r\nx\r\n",
        "*3\r\n*1\r\n",
        "*3\r\n$4194305\r\n",
        "*3\r\n$3000000000\r\n",
        "*3\r\n$2\r\nxyz\r\n",
        "*3\r\n+x\r\n",
        &value("$1025\r\n"),
        &value(":1\r\n"),
        "$1\r\nx\r\n",
        "+PONG\r\n",
        ":12\r\n",
        "-ERR \u{1}\r\n",
        "?\r\n",
        &line,
    ] {
        assert!(replies(&[bad.as_bytes()]).is_err(), "{bad:?} was accepted");
    }
}

#[test]
fn replies_report_their_outcome_note_and_load() {
    let all = replies(&[
        b"*3\r\n$1\r\nv\r\n$7\r\npending\r\n$-1\r\n-BUSY 5\r\n-BUSYBODY\r\n-ERR failed util=1\r\n",
    ])
    .expect("parses");
    let first = Reply { kind: ReplyKind::Served, note: b"pending".to_vec(), value: 8..9, ..Reply::default() };
    assert_eq!(all[0], first);
    assert_eq!(
        (all[1].kind, all[2].kind, all[3].kind),
        (ReplyKind::Busy, ReplyKind::Failed, ReplyKind::Failed)
    );
    assert_eq!(all[3].load, b"util=1");
}
