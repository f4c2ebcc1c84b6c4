//! `trestlectl dev`, usage errors and `trestlectl password`.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use testkit::process::SystemCallFaults;
use testkit::scripted::{Peer, PATIENCE};

fn dev(args: &[&str], temporary: &std::path::Path) -> (Child, BufReader<std::process::ChildStdout>) {
    // Fails with a clear message if the proxy has not been built.
    testkit::program("trestlesill");
    let mut child = Command::new(env!("CARGO_BIN_EXE_trestlectl"))
        .arg("dev")
        .args(args)
        .env("TMPDIR", temporary)
        .stdout(Stdio::piped())
        .spawn()
        .expect("it starts");
    let out = BufReader::new(child.stdout.take().expect("piped"));
    (child, out)
}

fn signal(child: &Child, name: &str) {
    assert!(Command::new("kill")
        .args([name, &child.id().to_string()])
        .status()
        .expect("kill runs")
        .success());
}

/// The number of processes whose environment names a configuration in this folder.
fn processes_using(temporary: &std::path::Path) -> usize {
    let name = temporary.to_string_lossy().into_owned();
    let all = std::fs::read_dir("/proc").expect("proc").flatten();
    let config = format!("NODE_CONFIG={name}");
    let names = |e: &std::fs::DirEntry| {
        let text = std::fs::read(e.path().join("environ")).unwrap_or_default();
        String::from_utf8_lossy(&text).contains(&config)
    };
    all.filter(names).count()
}

#[test]
fn dev_serves_until_sigterm_and_leaves_no_processes_or_files_behind() {
    let folder = testkit::process::Folder::new("dev-test").expect("a folder");
    let (mut child, mut out) = dev(&["--proxies", "2", "--nodes", "4", "--port", "0"], &folder.0);
    let mut line = || {
        let mut line = String::new();
        out.read_line(&mut line).expect("a line");
        line.trim_end().to_owned()
    };
    let proxies: Vec<SocketAddr> = (0..2)
        .map(|i| {
            let event = line();
            let address = event.strip_prefix(&format!("proxy n{i} ")).unwrap_or_else(|| panic!("{event}"));
            address.parse().expect("an address")
        })
        .collect();
    assert_eq!(line(), "ready");
    // Two commands to try: a request with redis-cli, and load on the first proxy.
    assert!(line().starts_with("redis-cli -p "));
    assert_eq!(line(), format!("target/release/trestlelab load {} --rate 500 --seconds 5", proxies[0]));
    for (i, proxy) in proxies.iter().enumerate() {
        let mut client = Peer::connect(*proxy);
        client.send(testkit::scripted::encode(&["CACHE.GET", "7", &format!("a{i}"), "c=pack-lookup,d=480"]));
        assert_eq!(client.command()[0], "0000000000000007:0");
    }
    assert_eq!(processes_using(&folder.0), 2);
    signal(&child, "-TERM");
    assert!(child.wait().expect("waited").success());
    assert_eq!(processes_using(&folder.0), 0);
    assert_eq!(std::fs::read_dir(&folder.0).expect("read").count(), 0);
}

/// Guards against a SIGTERM that is lost because its handler could not write.
#[test]
fn sigterm_ends_dev_while_the_signal_can_not_be_written() {
    let folder = testkit::process::Folder::new("dev-test").expect("a folder");
    let faults = "send EINTR 1.0 family=unix after=1000; write EINTR 1.0 family=unix after=1000";
    let faults = SystemCallFaults { rules: faults.into(), seed: 1 };
    let mut command = Command::new(env!("CARGO_BIN_EXE_trestlectl"));
    command.args(["dev", "--proxies", "1", "--nodes", "2", "--port", "0"]).env("TMPDIR", &folder.0);
    faults.apply(&mut command);
    let started = Instant::now();
    let mut child = command.stdout(Stdio::null()).spawn().expect("it starts");
    while processes_using(&folder.0) == 0 || started.elapsed() < Duration::from_millis(1_500) {
        assert!(started.elapsed() < PATIENCE, "no proxy starts");
        std::thread::sleep(Duration::from_millis(10));
    }
    signal(&child, "-TERM");
    let signalled = Instant::now();
    while child.try_wait().expect("a child").is_none() {
        if signalled.elapsed() > PATIENCE {
            child.kill().expect("killed");
            panic!("it does not end");
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(processes_using(&folder.0), 0);
}

#[test]
fn sigint_during_start_leaves_no_processes_or_files_behind() {
    let folder = testkit::process::Folder::new("dev-test").expect("a folder");
    let (mut child, out) = dev(&["--proxies", "8", "--json", "--port", "0"], &folder.0);
    let started = Instant::now();
    while processes_using(&folder.0) == 0 {
        assert!(started.elapsed() < PATIENCE, "no proxy starts");
        std::thread::sleep(Duration::from_millis(1));
    }
    signal(&child, "-INT");
    assert!(child.wait().expect("waited").success());
    assert_eq!(processes_using(&folder.0), 0);
    assert_eq!(std::fs::read_dir(&folder.0).expect("read").count(), 0);
    drop(out);
}

#[test]
fn errors_are_reported_in_one_line_with_their_exit_code() {
    let run = |args: &[&str]| {
        let out = Command::new(env!("CARGO_BIN_EXE_trestlectl")).args(args).output().expect("runs");
        (out.status.code(), String::from_utf8_lossy(&out.stderr).into_owned())
    };
    let (code, error) = run(&["dev", "--proxies", "0"]);
    assert!(code == Some(2) && error.contains("1..=64"), "{error}");
    assert_eq!(run(&["fly"]).0, Some(2));
    let (code, error) = run(&["dev", "--program", "/nowhere/trestlesill"]);
    assert!(code == Some(1) && error.lines().count() == 1, "{error}");
}

#[test]
fn password_hashes_are_accepted_in_the_operators_file_and_invalid_ones_rejected() {
    let tool = |args: &[&str], input: &str| {
        let mut child = Command::new(env!("CARGO_BIN_EXE_trestlectl"))
            .args(args)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("runs");
        std::io::Write::write_all(&mut child.stdin.take().expect("piped"), input.as_bytes())
            .expect("written");
        let out = child.wait_with_output().expect("ends");
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        (out.status.success(), text(&out.stdout), text(&out.stderr))
    };
    let (success, first, _) = tool(&["password"], "swap\n");
    let (_, second, _) = tool(&["password"], "swap\n");
    assert!(success && first != second, "each hash has its own salt");
    let (_, both, _) = tool(&["password", "--generate"], "");
    let (plain, hash) = both.trim_end().split_once('\n').expect("two lines");
    assert!(plain.len() == 48 && !hash.contains(plain));
    assert!(!tool(&["password"], "\n").0);
    let path = testkit::scripted::scratch("operator.toml");
    let path = path.to_str().expect("text");
    for (password, good) in [(first.trim_end(), true), (hash, true), ("swap", false)] {
        let text = format!("version = 1\n[[clients.users]]\nname = \"kiosk\"\npassword = \"{password}\"\n");
        std::fs::write(path, text).expect("written");
        let (success, _, error) = tool(&["check", path], "");
        assert_eq!(success, good, "{error}");
        assert!(
            good || error.contains("clients.users[0].password: is not of the form sha256:SALT:DIGEST"),
            "{error}"
        );
    }
}
