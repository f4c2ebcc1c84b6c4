//! The codec line by line, and a whole conversation with the adapter's binary.

use calicosaddle::api::*;
use std::io::Write;
use std::process::{Command, Output, Stdio};
use wire::Message;

fn converse(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_calicosaddle-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    child.stdin.take().expect("stdin").write_all(input.as_bytes()).expect("written");
    child.wait_with_output().expect("the adapter ends")
}

const START: &str = "frame 5000000000\n\
    new_instance proxy_3 77 categories.count=1 categories.0.deadline_ns=750000000 categories.0.promise_ns=300000000 \
    categories.0.effect=safe categories.0.value=1.0 caps.attempts_cap=3 discovery=automatic some.new.key=whatever\n\
    page 0 2\nentry node_a 0 0 0 IN 1 -\nentry node_b 1 0 0 IN 1.5 6100000000\n\
    backends_changed proxy_3 C 41 0\ngo\n";

#[test]
fn a_conversation_from_start_to_end() {
    let input = format!(
        "{START}frame 5001000000\narrival proxy_3 42 0 0 91f03b7c55d20a64 540000000 - - 0\ngo\n\
         frame 5002000000\nshutdown proxy_3\ntick_due proxy_3 9\ngo\n"
    );
    let out = converse(&input);
    assert!(out.status.success());
    let text = String::from_utf8(out.stdout).expect("text");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.iter().filter(|l| **l == "end").count(), 3);
    let sent = lines.iter().find(|l| l.starts_with("deliver proxy_3 42 node_")).expect("sent");
    assert_eq!(sent.split(' ').count(), 5);
    assert_eq!(lines.last(), Some(&"end"));
}

#[test]
fn malformed_input_ends_the_adapter_with_the_line_and_the_fault() {
    for (bad, fault) in [
        ("nonsense proxy_3 1", "message is unknown"),
        ("arrival proxy_3 x 0 0 - 1 - - 0", "corr is not a number"),
        ("arrival proxy_3 1 0 0 zz 1 - - 0", "path_key is not hex"),
        ("report_back proxy_3 1 0 node_a odd 1 0 - -", "reason is unknown"),
        ("backends_changed proxy_3 D 42 9x", "buffer is not a number"),
        ("page 99 1", "list number is over 15"),
        ("entry node_a 0 0 0 IN 1 -", "entry without a list"),
        ("", "message name is missing"),
    ] {
        let out = converse(&format!("{START}{bad}\ngo\n"));
        let error = String::from_utf8(out.stderr).expect("text");
        assert!(!out.status.success(), "{bad:?} was taken");
        assert!(error.contains("line 8:") && error.contains(fault), "{bad:?}: {error}");
    }
}

#[test]
fn lines_keep_their_values() {
    let line = "report_back proxy_3 2526988522394052 1 node_abuevth done 18500000 1 2 3.5,-";
    let Ok(Message::Event(
        instance,
        Event::Outcome(Outcome { id, attempt, server, status, elapsed, last, hit, load }),
    )) = wire::parse_message(line)
    else {
        panic!("not an outcome")
    };
    assert_eq!((instance.as_str(), id, attempt, elapsed), ("proxy_3", 2_526_988_522_394_052, 1, 18_500_000));
    assert_eq!((server, status, last, hit), (server_id("node_abuevth"), Status::Ok, true, Some(false)));
    assert!(load[0] == 3.5 && load[1].is_nan());
    let Ok(Message::Event(_, Event::Arrival(r))) =
        wire::parse_message("arrival proxy_3 7 1 - 91f03b7c55d20a64 -5 12000000 1.5 7")
    else {
        panic!("not an arrival")
    };
    assert_eq!((r.class, r.tenant, r.key), (1, None, Some(0x91f0_3b7c_55d2_0a64)));
    assert_eq!((r.remaining, r.hint, r.repeat, r.write), (0, Some(12_000_000), true, true));
}

#[test]
fn actions_are_written_as_the_wire_wants_them() {
    let mut out = String::new();
    let actions = [
        Action::Send { id: 1, server: server_id("node_a"), timeout: 80 },
        Action::Cancel { id: 1, attempt: 0 },
        Action::Refuse { id: 2, retry_after: 5 },
        Action::Fail { id: 3 },
        Action::Timer { token: 4, delay: 6 },
        Action::Close(server_id("node_a")),
        Action::Probe(server_id("node_a")),
        Action::Subscribe,
    ];
    for a in &actions {
        wire::write_action(&mut out, "proxy_0", a, |_| Some("node_a".into()));
    }
    let want = "deliver proxy_0 1 node_a 80\nabandon proxy_0 1 0\nbounce proxy_0 2 5\nabort proxy_0 3\n\
        arm proxy_0 4 6\nclose proxy_0 node_a\ntouch proxy_0 node_a\nstream_changes proxy_0 1\n";
    assert_eq!(out, want);
}
