//! Parsing and validation of the operator's file.

use operator::{Operator, Pipeline, MAX_FILE, MAX_SOCKET_PATH};
use std::path::Path;

fn faults(text: &str) -> Vec<String> {
    let faults = Operator::parse(text, "n0").expect_err(text);
    faults.into_iter().map(|f| format!("{}: {}", f.key, f.reason)).collect()
}

#[test]
fn the_example_in_deploy_is_valid_and_enables_nothing() {
    let path = Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/operator.toml"));
    assert_eq!(Operator::load(path, "n0").expect("good"), Operator::default());
    // With its options uncommented the example sets every option.
    let text = std::fs::read_to_string(path).expect("read");
    let all = text.lines().map(|l| l.strip_prefix("#:").unwrap_or(l)).collect::<Vec<_>>().join("\n");
    let operator = Operator::parse(&all, "n0").expect("good");
    assert!(
        operator.boxes.repeat_writes_across_addresses
            && operator.boxes.resp3
            && operator.boxes.user.is_some()
            && operator.boxes.password_file.is_some()
    );
    let pipeline =
        Pipeline { reads: Some(8), writes: Some(8), settle_delay_ms: Some(5), ..Pipeline::default() };
    assert_eq!(operator.pipeline, pipeline);
    let users: Vec<_> = operator.clients.users.iter().map(|u| (&u.name[..], u.password.is_some())).collect();
    assert_eq!(users, [("kiosk", true), ("default", false)]);
    // Apart from the required options, the example shows the defaults.
    let required = "version = 1\n[control]\nsocket = \"/a\"\n[shadow]\ncandidates = [\"10.4.0.21:7000\"]\n\
                 classes = [\"pack-lookup\"]\nmisses_per_second = 200\n";
    let required = Operator::parse(required, "n0").expect("good").shadow.expect("shadow");
    assert_eq!(operator.shadow, Some(operator::Shadow { tenants: Some(Vec::new()), ..required }));
    let control = operator.control.expect("control");
    assert_eq!(control.socket, Path::new("/run/trestlesill/n0.sock"));
    assert_eq!(control.state_file.as_deref(), Some(Path::new("/var/lib/trestlesill/n0.state")));
    assert_eq!((control.max_connections, control.allow_uids.len()), (8, 0));
}

#[test]
fn all_faults_are_reported_together_each_with_its_key() {
    let text = "version = 1\nspeed = 9\n[control]\nsockets = \"/a\"\nmax_connections = 0\nallow_uids = [1, -1, \"x\"]";
    assert_eq!(
        faults(text),
        [
            "control.socket: is missing",
            "control.max_connections: is 0; 1 to 64 is allowed",
            "control.allow_uids[1]: is -1; 0 to 4294967295 is allowed",
            "control.allow_uids[2]: is a string; an integer is wanted",
            "control.sockets: is unknown; known here: socket, state_file, max_connections, allow_uids",
            "speed: is unknown; known here: version, control, clients, boxes, pipeline, shadow",
        ]
    );
}

#[test]
fn a_missing_or_unsupported_version_is_rejected() {
    assert_eq!(faults("[control]\nsocket = \"/a\""), ["version: is missing; write `version = 1`"]);
    assert_eq!(faults("version = 2\nwhatever = 1"), ["version: is 2; this build reads version 1"]);
    assert_eq!(faults("version = \"1\""), ["version: is a string; an integer is wanted"]);
}

#[test]
fn values_of_a_wrong_type_and_invalid_paths_are_reported() {
    assert_eq!(faults("version = 1\ncontrol = 4"), ["control: is an integer; a table is wanted"]);
    assert_eq!(faults("version = 1\n[control]\nsocket = \"\""), ["control.socket: is no path"]);
    let long = format!("version = 1\n[control]\nsocket = \"/{}\"", "x".repeat(MAX_SOCKET_PATH));
    assert_eq!(faults(&long), ["control.socket: is 108 bytes long; 107 are the most"]);
    let same = "version = 1\n[control]\nsocket = \"/a\"\nstate_file = \"/a\"";
    assert_eq!(faults(same), ["control.state_file: is the socket's path; it needs one of its own"]);
    let outside =
        Operator::parse("version = 1\n[control]\nsocket = \"/run/{name}\"", "../x").expect_err("bad");
    assert!(outside[0].reason.contains("can't stand in a path"), "{outside:?}");
}

#[test]
fn pipeline_options_are_checked_against_their_bounds() {
    let text = "version = 1\n[pipeline]\nreads = 0\nwrites = 1025\nplacing = \"best\"\nhead_quantile = 0.4\n\
        handshake_cost = \"much\"\nbatch_bytes = 0\nbatch_delay_us = 5001\nclients = -1\nenabled = 1\ndepth = 4\nrest_ms = 51";
    assert_eq!(
        faults(text),
        [
            "pipeline.enabled: is an integer; a boolean is wanted",
            "pipeline.reads: is 0; 1 to 1024 is allowed",
            "pipeline.writes: is 1025; 1 to 1024 is allowed",
            "pipeline.placing: is \"best\"; \"fixed\" or \"expected\" is allowed",
            "pipeline.handshake_cost: is a string; a number is wanted",
            "pipeline.head_quantile: is 0.4; 0.5 to 1 is allowed",
            "pipeline.rest_ms: is 51; 0 to 50 is allowed",
            "pipeline.batch_bytes: is 0; 1 to 1048576 is allowed",
            "pipeline.batch_delay_us: is 5001; 0 to 5000 is allowed",
            "pipeline.clients: is -1; 1 to 1024 is allowed",
            "pipeline.depth: is unknown; known here: enabled, reads, writes, placing, handshake_cost, \
             head_quantile, rest_ms, apart, batch_bytes, batch_delay_us, clients",
        ]
    );
    let parsed = Operator::parse("version = 1\n[pipeline]\nplacing = \"expected\"\nhead_quantile = 1", "n0");
    let pipeline = parsed.expect("good").pipeline;
    assert_eq!(
        (pipeline.expected_placement, pipeline.head_quantile, pipeline.batch_bytes),
        (true, 1.0, 65_536)
    );
}

#[test]
fn options_of_users_and_boxes_are_checked() {
    let text = r#"version = 1
        clients.users = [{ name = "a b", password = "x" }, { name = "kiosk" },
            { name = "default", commands = ["CACHE.GET", "FLUSHALL"] }, { name = "default" }, 4]
        boxes = { resp3 = 1, user = "u" }"#;
    assert_eq!(
        faults(text),
        [
            "clients.users[4]: is an integer; a table is wanted",
            "clients.users[0].name: \"a b\" is not of 1 to 64 letters, digits, `-`, `_` and `.`",
            "clients.users[1].password: is missing",
            "clients.users[2].commands: \"FLUSHALL\" is no command of the cache; known: CACHE.GET, CACHE.SET",
            "clients.users[3].name: \"default\" is another user's as well",
            "boxes.resp3: is an integer; a boolean is wanted",
            "boxes.password_file: is missing; user and password_file go together",
        ]
    );
    let alone = "version = 1\nboxes = { user = \"u\", password_file = \"/p\" }";
    assert_eq!(faults(alone), ["boxes.user: is named only in greetings; set resp3 = true as well"]);
}

#[test]
fn a_toml_syntax_error_is_reported_with_its_line() {
    assert!(
        faults("version = 1\n\n[control\n")[0].starts_with(": line 3: "),
        "{:?}",
        faults("version = 1\n\n[control\n")
    );
}

#[test]
fn a_missing_or_too_long_file_is_reported_with_its_path() {
    let error = Operator::load(Path::new("/nowhere/operator.toml"), "n0").expect_err("missing").to_string();
    assert!(error.starts_with("/nowhere/operator.toml: can't be read: "), "{error}");
    let path = std::env::temp_dir().join(format!("operator-{}.toml", std::process::id()));
    std::fs::write(&path, vec![b'#'; MAX_FILE as usize + 1]).expect("written");
    let error = Operator::load(&path, "n0").expect_err("long").to_string();
    std::fs::remove_file(&path).expect("removed");
    assert!(error.contains("1048576 are the most"), "{error}");
}

#[test]
fn all_faults_of_the_shadow_options_are_reported_together() {
    let text = "version = 1\n[shadow]\ncandidates = [\"box:1\", \"10.0.0.1:7\", \"10.0.0.1:7\"]\nclasses = []\n\
                tenants = [\"a\"]\nexcept_tenants = [\"b\"]\nshare = 2\nheld_bytes = 9\ncpu_share = 0\nspeed = 1";
    let reported = faults(text);
    let expected = [
        "shadow: is started over the control endpoint; [control] is missing",
        "shadow.candidates[0]: \"box:1\" is no IP:PORT",
        "shadow.candidates[2]: 10.0.0.1:7 is named twice",
        "shadow.classes: names none",
        "shadow.except_tenants: can't stand beside tenants",
        "shadow.share: is 2; 0.000001 to 1 is allowed",
        "shadow.held_bytes: is 9; one answer may have 65536",
        "shadow.cpu_share: is 0; 0.001 to 0.5 is allowed",
        "shadow.misses_per_second: is missing",
    ];
    assert_eq!(reported[..expected.len()], expected);
    assert!(
        reported.len() == expected.len() + 1
            && reported[expected.len()].starts_with("shadow.speed: is unknown")
    );
    let many: Vec<String> = (0..65).map(|i| format!("\"10.0.0.1:{i}\"")).collect();
    for candidates in ["".to_owned(), many.join(",")] {
        let text = format!(
            "version = 1\n[control]\nsocket = \"/a\"\n[shadow]\ncandidates = [{candidates}]\nclasses = [\"a\"]\n\
             misses_per_second = 2"
        );
        assert_eq!(faults(&text), ["shadow.candidates: has to name 1 to 64"]);
    }
}
