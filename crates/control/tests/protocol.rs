//! Framing, parsing of requests, order of changes and state files.

use control::message::{encode_line, Answer, Body, Reconfigured};
use control::state::{should_apply, MAX_DRAINED};
use control::{Code, Decoder, Op, Reply, Request, State, VERSION};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use serde_json::json;

/// A runner with a fixed seed, so that each run tests the same cases.
fn runner() -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    TestRunner::new_with_rng(Config { failure_persistence: None, cases: 512, ..Config::default() }, rng)
}

#[test]
fn frames_do_not_depend_on_how_the_input_is_split() {
    let lines = prop::collection::vec("[a-z{}\": ]{0,40}", 0..8);
    let piece_lengths = prop::collection::vec(1usize..9, 1..40);
    runner()
        .run(&(lines, piece_lengths), |(lines, piece_lengths)| {
            let text: String = lines.iter().map(|l| format!("{l}\n")).collect();
            let mut decoder = Decoder::new(64);
            let mut found = Vec::new();
            let (mut rest, mut piece_lengths) = (text.as_bytes(), piece_lengths.into_iter().cycle());
            while !rest.is_empty() {
                let n = piece_lengths.next().expect("endless").min(rest.len());
                let mut piece = &rest[..n];
                rest = &rest[n..];
                while !piece.is_empty() {
                    let (used, frame) = decoder.feed(piece).expect("short");
                    prop_assert!(used > 0);
                    found.extend(frame.map(|f| String::from_utf8(f).expect("text")));
                    piece = &piece[used..];
                }
            }
            let expected: Vec<String> = lines.into_iter().filter(|l| !l.is_empty()).collect();
            prop_assert_eq!(found, expected);
            prop_assert!(!decoder.has_partial_frame());
            Ok(())
        })
        .unwrap();
}

#[test]
fn a_frame_over_its_limit_is_rejected_before_it_is_buffered() {
    let mut decoder = Decoder::new(8);
    assert_eq!(decoder.feed(b"12345678"), Ok((8, None)));
    assert!(decoder.feed(b"9").is_err());
    assert!(!decoder.has_partial_frame(), "nothing of it is buffered");
    assert!(Decoder::new(8).feed(&[b'x'; 60 << 20]).is_err());
}

#[test]
fn requests_are_parsed_and_invalid_ones_are_rejected_with_the_reason() {
    let read = Request::read(br#"{"v":1,"id":"7","op":"drain-box","box":"s-1"}"#).expect("good");
    assert_eq!(read, Request::new("7", Op::DrainBox { name: "s-1".into() }));
    for (bad, code, id, named) in [
        ("{", Code::BadFrame, "", "not JSON"),
        ("[]", Code::BadFrame, "", "id is missing"),
        (r#"{"v":1,"id":7,"op":"status"}"#, Code::BadFrame, "", "id is missing"),
        (r#"{"v":2,"id":"a","op":"status"}"#, Code::Version, "a", "v is 2"),
        (r#"{"id":"a","op":"status"}"#, Code::Version, "a", "version 1"),
        (r#"{"v":1,"id":"a","op":"explode"}"#, Code::BadRequest, "a", "explode"),
        (r#"{"v":1,"id":"a"}"#, Code::BadRequest, "a", "op"),
        (r#"{"v":1,"id":"a","op":"drain-box"}"#, Code::BadRequest, "a", "box"),
        (r#"{"v":1,"id":"a","op":"set-drained","revision":-1,"boxes":[]}"#, Code::BadRequest, "a", "u64"),
    ] {
        let (got, error) = Request::read(bad.as_bytes()).expect_err(bad);
        assert_eq!((got.as_str(), error.code), (id, code), "{bad}");
        assert!(error.message.contains(named), "{bad}: {error}");
    }
    // JSON that is nested too deeply is an error, not a stack overflow.
    let deep = [b"{\"v\":1,\"id\":".to_vec(), vec![b'['; 100_000]].concat();
    assert_eq!(Request::read(&deep).expect_err("deep").1.code, Code::BadFrame);
}

#[test]
fn replies_survive_encoding_and_decoding() {
    let reconfigured = Reconfigured {
        generation: 4,
        applied: true,
        changes: vec!["discovery".into()],
        needs_restart: vec![],
    };
    let reply = Reply { v: VERSION, id: "9".into(), body: Body::Ok(Answer::Reconfigured(reconfigured)) };
    let text = encode_line(&reply);
    assert_eq!(serde_json::from_slice::<Reply>(&text).expect("good"), reply);
    let json: serde_json::Value = serde_json::from_slice(&text).expect("JSON");
    assert_eq!(json["ok"]["changes"], json!(["discovery"]));
}

#[test]
fn stale_changes_are_rejected_and_a_repeated_change_has_no_effect() {
    let state = State::default();
    let drained =
        |r: u64, names: &[&str]| state.with_drained(r, names.iter().map(|n| n.to_string()).collect());
    assert_eq!(drained(0, &[]), Ok(None));
    assert_eq!(drained(0, &["a"]).expect_err("same number").code, Code::Stale);
    let first = drained(3, &["a", "b", "a"]).expect("good").expect("new");
    assert_eq!((first.revision, first.boxes.len()), (3, 2));
    assert_eq!(first.with_drained(2, vec![]).expect_err("older").code, Code::Stale);
    assert_eq!(first.with_drained(3, vec!["b".into(), "a".into()]), Ok(None));
    assert_eq!(first.with_box_drained("a", true), Ok(None));
    let second = first.with_box_drained("a", false).expect("good").expect("new");
    assert_eq!((second.revision, second.boxes.len()), (4, 1));
    assert!(should_apply("generation", 4, 5, false).expect("good"));
    assert_eq!(first.with_box_drained("", true).expect_err("no name").code, Code::BadRequest);
    let many = (0..=MAX_DRAINED).map(|i| i.to_string()).collect();
    assert_eq!(first.with_drained(9, many).expect_err("too many").code, Code::BadRequest);
}

#[test]
fn a_truncated_or_corrupted_state_file_is_rejected() {
    let boxes = ["s-1".into(), "s-2".into()].into();
    let state = State { revision: 7, boxes, drained: true, ..State::default() };
    let text = state.encode();
    assert_eq!(State::decode(&text), Ok(state));
    for end in 0..text.len() {
        assert!(State::decode(&text[..end]).is_err(), "cut at {end}");
    }
    for at in 0..text.len() - 1 {
        let mut bytes = text.clone().into_bytes();
        bytes[at] ^= 1;
        let damaged = String::from_utf8(bytes).expect("text");
        assert!(State::decode(&damaged).is_err(), "bit at {at}");
    }
}
