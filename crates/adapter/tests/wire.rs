//! Tests of the text codec line by line, and of the adapter's binary over standard input and output.

use calicosaddle::api::*;
use std::io::Write;
use std::process::{Command, Output, Stdio};
use wire::Message;

/// Runs the adapter with `input` and returns its output once it has ended.
fn run_adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_calicosaddle-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    child.stdin.take().expect("stdin").write_all(input.as_bytes()).expect("the input is written");
    child.wait_with_output().expect("the adapter ends")
}

/// A first batch of seven lines: starts an instance and gives it two servers.
const FIRST_BATCH: &str = "frame 5000000000\n\
    new_instance proxy_3 77 categories.count=1 categories.0.deadline_ns=750000000 categories.0.promise_ns=300000000 \
    categories.0.effect=safe categories.0.value=1.0 caps.attempts_cap=3 discovery=automatic some.new.key=whatever\n\
    page 0 2\nentry node_a 0 0 0 IN 1 -\nentry node_b 1 0 0 IN 1.5 6100000000\n\
    backends_changed proxy_3 C 41 0\ngo\n";

#[test]
fn a_session_replies_to_every_batch_and_ends_without_an_error() {
    let input = format!(
        "{FIRST_BATCH}frame 5001000000\narrival proxy_3 42 0 0 91f03b7c55d20a64 540000000 - - 0\ngo\n\
         frame 5002000000\nshutdown proxy_3\ntick_due proxy_3 9\ngo\n"
    );
    let output = run_adapter(&input);
    assert!(output.status.success());
    let stdout = String::from_utf8(output.stdout).expect("UTF-8");
    let lines: Vec<&str> = stdout.lines().collect();
    assert_eq!(lines.iter().filter(|line| **line == "end").count(), 3);
    let sent =
        lines.iter().find(|line| line.starts_with("deliver proxy_3 42 node_")).expect("a sent attempt");
    assert_eq!(sent.split(' ').count(), 5);
    assert_eq!(lines.last(), Some(&"end"));
}

#[test]
fn malformed_input_ends_the_adapter_with_an_error_that_names_line_and_field() {
    for (malformed, expected) in [
        ("nonsense proxy_3 1", "message name: expected a known message, got \"nonsense\""),
        ("arrival proxy_3 x 0 0 - 1 - - 0", "corr: expected a number, got \"x\""),
        ("arrival proxy_3 1 0 0 zz 1 - - 0", "path_key: expected a hex number or -, got \"zz\""),
        (
            "report_back proxy_3 1 0 node_a odd 1 0 - -",
            "reason: expected done, err, busy, etimedout, econnrefused, econnreset, ecanceled, skipped or enoent, \
             got \"odd\"",
        ),
        ("backends_changed proxy_3 D 42 9x", "buffer: expected a number, got \"9x\""),
        ("page 99 1", "buffer: expected 0 to 15, got 99"),
        ("entry node_a 0 0 0 IN 1 -", "entry received outside a list"),
        ("", "message name is missing"),
    ] {
        let output = run_adapter(&format!("{FIRST_BATCH}{malformed}\ngo\n"));
        let error = String::from_utf8(output.stderr).expect("UTF-8");
        assert!(!output.status.success(), "{malformed:?} was accepted");
        assert!(error.contains("line 8:") && error.contains(expected), "{malformed:?}: {error}");
    }
}

#[test]
fn parsed_messages_keep_the_values_of_their_fields() {
    let line = "report_back proxy_3 2526988522394052 1 node_abuevth done 18500000 1 2 3.5,-";
    let Ok(Message::Event(
        instance,
        Event::Outcome(Outcome { id, attempt, server, status, elapsed, request_complete, hit, load_report }),
    )) = wire::parse_message(line)
    else {
        panic!("expected an outcome from {line:?}")
    };
    assert_eq!((instance.as_str(), id, attempt, elapsed), ("proxy_3", 2_526_988_522_394_052, 1, 18_500_000));
    assert_eq!(
        (server, status, request_complete, hit),
        (server_id("node_abuevth"), Status::Ok, true, Some(false))
    );
    assert!(load_report[0] == 3.5 && load_report[1].is_nan());
    let line = "arrival proxy_3 7 1 - 91f03b7c55d20a64 -5 12000000 1.5 7";
    let Ok(Message::Event(_, Event::Arrival(request))) = wire::parse_message(line) else {
        panic!("expected an arrival from {line:?}")
    };
    assert_eq!((request.class, request.tenant, request.key), (1, None, Some(0x91f0_3b7c_55d2_0a64)));
    assert_eq!((request.remaining, request.expected_work), (0, Some(12_000_000)));
    assert_eq!((request.is_retry, request.write), (true, true));
}

#[test]
fn actions_are_written_in_the_text_form_that_the_simulator_reads() {
    let mut reply = String::new();
    let actions = [
        Action::Send { id: 1, server: server_id("node_a"), timeout: 80 },
        Action::Cancel { id: 1, attempt: 0 },
        Action::Refuse { id: 2, retry_after: 5 },
        Action::Fail { id: 3 },
        Action::Timer { token: 4, delay: 6 },
        Action::CloseIdle(server_id("node_a")),
        Action::Probe(server_id("node_a")),
        Action::Subscribe,
    ];
    for action in &actions {
        wire::write_action(&mut reply, "proxy_0", action, |_| Some("node_a".into()));
    }
    let expected = "deliver proxy_0 1 node_a 80\nabandon proxy_0 1 0\nbounce proxy_0 2 5\nabort proxy_0 3\n\
        arm proxy_0 4 6\nclose proxy_0 node_a\ntouch proxy_0 node_a\nstream_changes proxy_0 1\n";
    assert_eq!(reply, expected);
}
