//! Frames of RESP2 and RESP3: compared with another decoder, split at any offset, and beyond every limit.
//! Also the RESP3 replies that are built from them.

mod common;

use common::split;
use proptest::prelude::*;
use redis_protocol::resp3::decode::complete::decode as other_decode;
use redis_protocol::resp3::types::OwnedFrame as OtherFrame;
use resp::*;

/// Reads all frames and pushes of an input that arrives in pieces.
fn read(pieces: &[&[u8]], limits: Limits) -> Result<Vec<Frame>, ProtocolError> {
    let (mut frames, mut all) = (FrameReader::new(limits), Vec::new());
    for mut piece in pieces.iter().copied() {
        while !piece.is_empty() {
            let (used, frame) = frames.feed(piece)?;
            assert!(used > 0, "no input was taken");
            all.extend(frame);
            piece = &piece[used..];
        }
    }
    if frames.in_progress() {
        return Err(ProtocolError("the input ends within a frame"));
    }
    Ok(all)
}

fn read_one(text: &[u8]) -> Result<Frame, ProtocolError> {
    let mut all = read(&[text], Limits::default())?;
    assert_eq!(all.len(), 1, "{text:?}");
    Ok(all.remove(0))
}

fn encoded(frame: &Frame, protocol: Protocol) -> Vec<u8> {
    let mut out = Vec::new();
    frame.write(protocol, &mut out);
    out
}

/// Frames of every type.
fn frames() -> impl Strategy<Value = Frame> {
    let line = proptest::collection::vec(prop_oneof![32u8..127, 128u8..], 0..12);
    let bytes = proptest::collection::vec(any::<u8>(), 0..24);
    let leaf = prop_oneof![
        Just(Frame::Null),
        any::<bool>().prop_map(Frame::Boolean),
        any::<i64>().prop_map(Frame::Integer),
        any::<f64>().prop_filter("not NaN", |d| !d.is_nan()).prop_map(Frame::Double),
        "-?[0-9]{1,40}".prop_map(|d| Frame::BigNumber(d.into_bytes())),
        line.clone().prop_map(Frame::SimpleString),
        line.prop_map(Frame::SimpleError),
        bytes.clone().prop_map(|b| Frame::Blob(BlobKind::String, b)),
        bytes.clone().prop_map(|b| Frame::Blob(BlobKind::Error, b)),
        bytes.prop_map(|b| Frame::Blob(BlobKind::Verbatim(*b"txt"), b)),
    ];
    leaf.prop_recursive(4, 40, 6, |inner| {
        let several = proptest::collection::vec(inner.clone(), 0..6);
        let pairs = proptest::collection::vec((inner.clone(), inner.clone()), 0..4);
        let unattributed = |f: Frame| match f {
            Frame::Attribute(_, value) => *value,
            f => f,
        };
        prop_oneof![
            several.clone().prop_map(Frame::Array),
            several.prop_map(Frame::Set),
            pairs.clone().prop_map(Frame::Map),
            (pairs, inner).prop_map(move |(p, f)| Frame::Attribute(p, Box::new(unattributed(f)))),
        ]
    })
}

/// Compares a frame with that of the other decoder, which keeps attributes apart and stores sets and maps by
/// hash.
fn is_equal_to_other(a: &Frame, b: &OtherFrame) -> bool {
    let all_equal = |a: &[Frame], b: &[OtherFrame]| {
        a.len() == b.len() && a.iter().zip(b).all(|(a, b)| is_equal_to_other(a, b))
    };
    match (a, b) {
        (Frame::Null, OtherFrame::Null) => true,
        (Frame::Boolean(a), OtherFrame::Boolean { data, .. }) => a == data,
        (Frame::Integer(a), OtherFrame::Number { data, .. }) => a == data,
        (Frame::Double(a), OtherFrame::Double { data, .. }) => a == data,
        (Frame::BigNumber(a), OtherFrame::BigNumber { data, .. }) => a == data,
        (Frame::SimpleString(a), OtherFrame::SimpleString { data, .. }) => a == data,
        (Frame::SimpleError(a), OtherFrame::SimpleError { data, .. }) => a == data.as_bytes(),
        (Frame::Blob(BlobKind::String, a), OtherFrame::BlobString { data, .. }) => a == data,
        (Frame::Blob(BlobKind::Error, a), OtherFrame::BlobError { data, .. }) => a == data,
        (Frame::Blob(BlobKind::Verbatim(_), a), OtherFrame::VerbatimString { data, .. }) => a == data,
        (Frame::Array(a), OtherFrame::Array { data, .. }) => all_equal(a, data),
        (Frame::Push(a), OtherFrame::Push { data, .. }) => all_equal(a, data),
        (Frame::Set(a), OtherFrame::Set { data, .. }) => {
            data.iter().all(|b| a.iter().any(|a| is_equal_to_other(a, b)))
        }
        (Frame::Map(a), OtherFrame::Map { data, .. }) => data
            .iter()
            .all(|(k, v)| a.iter().any(|(ak, av)| is_equal_to_other(ak, k) && is_equal_to_other(av, v))),
        _ => false,
    }
}

/// True if the other decoder supports the frame: it rejects errors that are not UTF-8, does not nest
/// attributes, and has no sets or maps of what cannot be hashed.
fn is_supported_by_other(frame: &Frame) -> bool {
    let is_hashable = |f: &Frame| {
        matches!(f, Frame::Integer(_) | Frame::Blob(BlobKind::String, _) | Frame::SimpleString(_))
    };
    match frame {
        Frame::SimpleError(text) | Frame::Blob(BlobKind::Error, text) => std::str::from_utf8(text).is_ok(),
        Frame::Attribute(..) | Frame::Push(_) => false,
        Frame::Array(elements) => elements.iter().all(is_supported_by_other),
        Frame::Set(elements) => elements.iter().all(is_hashable),
        Frame::Map(pairs) => pairs.iter().all(|(k, v)| is_hashable(k) && is_supported_by_other(v)),
        _ => true,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, ..ProptestConfig::default() })]

    #[test]
    fn written_frames_parse_to_the_same_frames_for_any_split(
        all in proptest::collection::vec(frames(), 1..4),
        cuts in proptest::collection::vec(any::<usize>(), 0..12),
    ) {
        let bytes: Vec<u8> = all.iter().flat_map(|f| encoded(f, Protocol::Three)).collect();
        let back = read(&split(&bytes, &cuts), Limits::default());
        prop_assert_eq!(back, Ok(all));
    }

    #[test]
    fn written_frames_match_another_decoder(
        frame in frames().prop_filter("supported by the other decoder", is_supported_by_other),
    ) {
        let bytes = encoded(&frame, Protocol::Three);
        let (back, used) = other_decode(&bytes).expect("valid").expect("complete");
        prop_assert_eq!(used, bytes.len());
        prop_assert!(is_equal_to_other(&frame, &back), "{:?} {:?}", frame, back);
        // The RESP2 form is valid for the other decoder's RESP2 parser.
        let bytes = encoded(&frame, Protocol::Two);
        let back = redis_protocol::resp2::decode::decode(&bytes).expect("valid").expect("complete");
        prop_assert_eq!(back.1, bytes.len());
    }

    #[test]
    fn mutated_input_gives_the_same_result_for_any_split_and_stays_within_limits(
        frame in frames(),
        changes in proptest::collection::vec((any::<usize>(), prop_oneof![any::<u8>(), Just(b'?'), Just(b'>'),
            Just(b'|'), Just(b';'), Just(b'*'), Just(b'9'), Just(b'\r'), Just(b'\n')]), 1..6),
        cuts in proptest::collection::vec(any::<usize>(), 0..12),
    ) {
        let mut bytes = encoded(&frame, Protocol::Three);
        for (at, byte) in changes {
            let at = at % bytes.len();
            bytes[at] = byte;
        }
        let limits = Limits { max_depth: 6, max_elements: 64, max_blob_bytes: 512, max_total_bytes: 1 << 10 };
        let whole = read(&[&bytes], limits);
        let pieces = read(&split(&bytes, &cuts), limits);
        // Compared as text, since NaN is not equal to itself.
        prop_assert_eq!(format!("{pieces:?}"), format!("{whole:?}"));
        // The parser of HELLO replies and the reply reader do not panic on the same input.
        let _ = HelloReplyParser::default().feed(&bytes);
        let mut reader = ReplyReader::new(Protocol::Three);
        let mut rest = &bytes[..];
        while let (false, Ok((used, _))) = (rest.is_empty(), reader.feed(rest)) {
            rest = &rest[used..];
        }
    }
}

#[test]
fn streamed_types_and_consecutive_attributes_are_assembled() {
    let text = |t: &str| Frame::bulk_string(t);
    assert_eq!(read_one(b"$?\r\n;4\r\nHell\r\n;1\r\no\r\n;0\r\n"), Ok(text("Hello")));
    assert_eq!(
        read_one(b"*?\r\n:1\r\n~?\r\n.\r\n.\r\n"),
        Ok(Frame::Array(vec![Frame::Integer(1), Frame::Set(vec![])]))
    );
    assert_eq!(
        read_one(b"%?\r\n+a\r\n:1\r\n.\r\n"),
        Ok(Frame::Map(vec![(Frame::SimpleString(b"a".to_vec()), Frame::Integer(1))]))
    );
    let attributes =
        vec![(Frame::SimpleString(b"ttl".to_vec()), Frame::Integer(3)), (text("a"), Frame::Null)];
    let input = b"*1\r\n|1\r\n+ttl\r\n:3\r\n|1\r\n$1\r\na\r\n_\r\n$1\r\nv\r\n";
    assert_eq!(read_one(input), Ok(Frame::Array(vec![Frame::Attribute(attributes, Box::new(text("v")))])));
    assert_eq!(read_one(b",-inf\r\n"), Ok(Frame::Double(f64::NEG_INFINITY)));
    assert!(matches!(read_one(b",nan\r\n"), Ok(Frame::Double(d)) if d.is_nan()));
    assert_eq!(read_one(b"*-1\r\n"), Ok(Frame::Null));
    assert_eq!(read_one(b"=7\r\nmkd:# a\r\n"), Ok(Frame::Blob(BlobKind::Verbatim(*b"mkd"), b"# a".to_vec())));
}

#[test]
fn pushes_are_not_elements_of_the_frames_around_them() {
    let push = ">2\r\n+invalidate\r\n*1\r\n$1\r\nk\r\n";
    let with_push = |head: &str, tail: &str| format!("{head}{push}{tail}");
    for (head, tail) in [
        ("", "$1\r\nv\r\n"),
        ("*2\r\n$1\r\nv\r\n", ":1\r\n"),
        ("*1\r\n", "_\r\n"),
        ("%1\r\n+k\r\n", "_\r\n"),
        ("|1\r\n+k\r\n:1\r\n", "$1\r\nv\r\n"),
        ("$?\r\n;1\r\nv\r\n", ";0\r\n"),
        ("*?\r\n:1\r\n", ".\r\n"),
    ] {
        let frames = read(&[with_push(head, tail).as_bytes()], Limits::default()).expect(head);
        assert!(matches!(&frames[0], Frame::Push(elements) if elements.len() == 2), "{frames:?}");
        assert_eq!(frames[1..], [read_one(format!("{head}{tail}").as_bytes()).expect("valid")]);
    }
    // Inside a blob string the bytes of a push are data.
    let data = format!("${}\r\n{push}\r\n", push.len());
    assert_eq!(read_one(data.as_bytes()), Ok(Frame::bulk_string(push)));
}

#[test]
fn every_limit_holds_for_nested_and_streamed_types_too() {
    let limits = Limits { max_depth: 4, max_elements: 64, max_blob_bytes: 512, max_total_bytes: 1 << 10 };
    let refused = |text: &str, expected: &str| {
        let error = read(&[text.as_bytes()], limits).expect_err(expected);
        assert_eq!(error.0, expected, "{:?}", text.get(..40).unwrap_or(text));
    };
    refused(&"*1\r\n".repeat(10_000), "aggregates nested too deep");
    refused(&"*?\r\n".repeat(10_000), "aggregates nested too deep");
    refused("~1152921504606846976\r\n", "invalid number");
    refused("~65\r\n", "frame exceeds the element or byte limit");
    refused(&format!("*?\r\n{}", ":1\r\n".repeat(65)), "frame exceeds the element or byte limit");
    refused(
        &format!("*2\r\n*40\r\n{}*40\r\n", "_\r\n".repeat(40)),
        "frame exceeds the element or byte limit",
    );
    refused("%33\r\n", "frame exceeds the element or byte limit");
    refused("|33\r\n", "frame exceeds the element or byte limit");
    refused("$513\r\n", "invalid bulk length");
    refused(&format!("$?\r\n{}", ";9\r\n123456789\r\n".repeat(60)), "invalid bulk length");
    refused(
        &format!("*3\r\n{}", format!("$512\r\n{}\r\n", "x".repeat(512)).repeat(3)),
        "frame exceeds the element or byte limit",
    );
    refused(&format!(",{}\r\n", "1".repeat(1 << 20)), "line is too long");
    refused(&format!("+{}", "x".repeat(2_000)), "line is too long");
    refused("%?\r\n+a\r\n.\r\n", "map key without a value");
    refused("*?\r\n|0\r\n.\r\n", "unexpected end marker");
    refused(">1\r\n>1\r\n", "push within a push");
    refused(">0\r\n", "empty push");
    refused(">?\r\n", "invalid number");
    refused("$?\r\n+x\r\n", "expected a chunk");
    refused(".\r\n", "unexpected end marker");
    refused("#x\r\n", "invalid boolean");
    refused("_x\r\n", "line is too long");
    refused(",infinity\r\n", "invalid double");
    refused(",.5\r\n", "invalid double");
    refused("(12a\r\n", "invalid big number");
    refused(":9223372036854775808\r\n", "invalid number");
    refused("=3\r\ntxt\r\n", "verbatim string without a format");
    refused("=5\r\ntxt-x\r\n", "verbatim string without a format");
    refused("%-1\r\n", "invalid length");
    refused("+a\nb\r\n", "expected a line end");
    refused("@1\r\n", "unknown type byte");
    // A push has limits of its own, and what the frame around it used before it still counts.
    let push = format!(">1\r\n$512\r\n{}\r\n", "x".repeat(512));
    let blob = format!("$512\r\n{}\r\n", "x".repeat(512));
    let fits = format!("*3\r\n{blob}{push}{blob}{push}_\r\n");
    assert_eq!(read(&[fits.as_bytes()], limits).map(|all| all.len()), Ok(3));
    refused(&format!("*3\r\n{blob}{push}{blob}{push}{blob}"), "frame exceeds the element or byte limit");
}

// ---- replies in RESP3 ----

/// Reads the messages of a node that uses RESP3.
fn messages(pieces: &[&[u8]]) -> Result<Vec<ServerMessage>, ProtocolError> {
    let (mut reader, mut all) = (ReplyReader::new(Protocol::Three), Vec::new());
    for mut piece in pieces.iter().copied() {
        while !piece.is_empty() {
            let (used, item) = reader.feed(piece)?;
            all.extend(item);
            piece = &piece[used..];
        }
    }
    assert!(!reader.in_progress());
    Ok(all)
}

/// Parses one RESP3 reply, and writes it in both protocols.
fn translated(text: &str) -> Result<(Reply, String, String), ProtocolError> {
    let mut all = messages(&[text.as_bytes()])?;
    let Some(ServerMessage::Reply(reply, value)) = all.pop() else { panic!("{text:?}: no reply") };
    assert_eq!(all, []);
    let write = |protocol| {
        let mut out = Vec::new();
        reply.write(&value, protocol, &mut out);
        String::from_utf8(out).expect("text")
    };
    let (two, three) = (write(Protocol::Two), write(Protocol::Three));
    Ok((reply, two, three))
}

#[test]
fn every_form_of_a_reply_is_written_the_same() {
    let two = "*3\r\n$5\r\na\r\nbc\r\n$3\r\nhit\r\n$14\r\nload=1,util=.5\r\n";
    for text in [
        two.replace("\r\n$14\r\nload=1,util=.5\r\n", "\r\n+load=1,util=.5\r\n"),
        "%3\r\n+value\r\n$5\r\na\r\nbc\r\n+note\r\n+hit\r\n+load\r\n%2\r\n+load\r\n:1\r\n+util\r\n$2\r\n.5\r\n".into(),
        "%4\r\n+more\r\n*1\r\n_\r\n+load\r\n$14\r\nload=1,util=.5\r\n$4\r\nnote\r\n+hit\r\n+receipt\r\n$5\r\na\r\nbc\r\n".into(),
        "|2\r\n+note\r\n+hit\r\n+load\r\n+load=1,util=.5\r\n$5\r\na\r\nbc\r\n".into(),
        "|1\r\n+load\r\n+load=1,util=.5\r\n*2\r\n$?\r\n;1\r\na\r\n;4\r\n\r\nbc\r\n;0\r\n+hit\r\n".into(),
        "*?\r\n$5\r\na\r\nbc\r\n|1\r\n+value\r\n+x\r\n+hit\r\n+load=1,util=.5\r\n.\r\n".into(),
    ] {
        let (reply, as_two, as_three) = translated(&text).expect(&text);
        assert_eq!((reply.kind, &as_two[..]), (ReplyKind::Served, two), "{text:?}");
        assert_eq!(as_three, two);
    }
    let (_, two, three) = translated("*3\r\n$1\r\nv\r\n_\r\n_\r\n").expect("reads");
    assert_eq!((&two[..], &three[..]), ("*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n", "*3\r\n$1\r\nv\r\n_\r\n_\r\n"));
}

#[test]
fn values_of_other_types_are_converted_as_in_redis_or_are_no_value() {
    for (value, in_two) in [
        ("=6\r\ntxt:ab\r\n", "$2\r\nab\r\n"),
        (",1.50\r\n", "$4\r\n1.50\r\n"),
        ("(12345678901234567890\r\n", "$20\r\n12345678901234567890\r\n"),
    ] {
        let (reply, two, three) = translated(&format!("*3\r\n{value}_\r\n_\r\n")).expect(value);
        assert_eq!(reply.kind, ReplyKind::Served);
        assert_eq!(two, format!("*3\r\n{in_two}$-1\r\n$-1\r\n"));
        assert_eq!(three, format!("*3\r\n{value}_\r\n_\r\n"));
    }
    for none in [
        "_\r\n",
        "#t\r\n",
        ":1\r\n",
        "+OK\r\n",
        "*0\r\n",
        "%0\r\n",
        "~1\r\n$1\r\nv\r\n",
        "*1\r\n*1\r\n$1\r\nv\r\n",
        "*2\r\n-ERR x\r\n+hit\r\n",
        "%1\r\n+note\r\n+hit\r\n",
        "|1\r\n+value\r\n$1\r\nv\r\n_\r\n",
    ] {
        assert_eq!(translated(none).expect(none).0.kind, ReplyKind::Failed, "{none:?}");
    }
}

#[test]
fn simple_and_blob_errors_give_the_same_outcome() {
    for (text, kind, load) in [
        ("-BUSY 20\r\n", ReplyKind::Busy, ""),
        ("!7\r\nBUSY 20\r\n", ReplyKind::Busy, ""),
        ("-BUSYBODY\r\n", ReplyKind::Failed, ""),
        ("!17\r\nERR failed util=1\r\n", ReplyKind::Failed, "util=1"),
        ("|1\r\n+load\r\n%1\r\n+util\r\n,0.5\r\n-BUSY\r\n", ReplyKind::Busy, "util=0.5"),
    ] {
        let reply = translated(text).expect(text).0;
        assert_eq!((reply.kind, &reply.load[..]), (kind, load.as_bytes()), "{text:?}");
    }
}

#[test]
fn corrupted_replies_are_refused() {
    for bad in [
        "*3\r\n$1\r\nv\r\n+\u{1}\r\n_\r\n",
        "%2\r\n+value\r\n$1\r\na\r\n+value\r\n$1\r\nb\r\n",
        "*1\r\n$4194305\r\n",
        "*2\r\n$1\r\nv\r\n$1025\r\n",
    ] {
        assert!(messages(&[bad.as_bytes(), &[b'x'; 1025]]).is_err(), "{bad:?} was accepted");
    }
}

#[test]
fn pushes_between_and_within_replies_do_not_change_the_replies() {
    let push = format!(">2\r\n+invalidate\r\n$65536\r\n{}\r\n", "k".repeat(MAX_BUFFERED_VALUE_BYTES));
    let text = format!("{push}*3\r\n$?\r\n;1\r\na\r\n{push};1\r\nb\r\n;0\r\n{push}+hit\r\n_\r\n{push}");
    let mut all = messages(&[text.as_bytes()]).expect("reads");
    let ServerMessage::Reply(reply, value) = all.remove(3) else { panic!("no reply") };
    assert_eq!((reply.kind, &value[..], &reply.note[..]), (ReplyKind::Served, &b"ab"[..], &b"hit"[..]));
    assert!(
        all.len() == 4
            && all.iter().all(|i| matches!(i, ServerMessage::Push(elements) if elements.len() == 2))
    );
}

#[test]
fn a_hello_reply_names_a_protocol_or_is_an_error() {
    let map = b"%2\r\n+server\r\n+box\r\n+proto\r\n:3\r\n*3\r\n";
    for cut in 0..map.len() {
        let mut parser = HelloReplyParser::default();
        let first = parser.feed(&map[..cut]).expect("reads");
        let outcome = first.1.or_else(|| parser.feed(&map[cut..]).expect("reads").1);
        assert_eq!(outcome, Some(Ok(Protocol::Three)));
    }
    let feed = |text: &str| HelloReplyParser::default().feed(text.as_bytes());
    assert_eq!(feed("-NOPROTO no\r\n*3"), Ok((13, Some(Err(b"NOPROTO no".to_vec())))));
    assert_eq!(feed("*2\r\n+proto\r\n:2\r\n"), Ok((16, Some(Ok(Protocol::Two)))));
    assert_eq!(
        feed(">1\r\n+x\r\n|1\r\n+a\r\n:1\r\n%1\r\n+proto\r\n:3\r\n").map(|t| t.1),
        Ok(Some(Ok(Protocol::Three)))
    );
    assert!(feed("+OK\r\n").is_err() && feed("%1\r\n+proto\r\n:4\r\n").is_err());
}
