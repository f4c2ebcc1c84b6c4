//! Signals reach a process whatever system calls fail, in any order and before it is ready.

use serde_json::{json, Value};
use std::path::PathBuf;
use std::time::{Duration, Instant};
use testkit::process::{Folder, Instance, SystemCallFaults};
use testkit::scripted::{config, Server, PATIENCE};

/// SIGKILL comes no sooner than this after SIGTERM: the longest deadline, 3 s at most, and 0.7 s.
const KILLED_AFTER: Duration = Duration::from_millis(3_700);
/// What another discovery has counts as notified this long after SIGHUP.
const NOTIFIED_AFTER_MOVE: Duration = Duration::from_secs(4);
/// The errors that a transfer over a signal's socket may fail with.
const ERRORS: [&str; 3] = ["EINTR", "ENOBUFS", "EAGAIN"];
/// When the faults begin, in milliseconds: once the handlers are installed.
const FAULTS_BEGIN_MS: u64 = 500;

/// A process with two discovery services, of which the configuration names the first.
struct Setting {
    proxy: Instance,
    discoveries: [Server; 2],
    config: Value,
    folder: Folder,
}

impl Setting {
    /// Starts a process with these faults, and does not wait for it.
    fn launch(faults: &str) -> Setting {
        let discoveries = [Server::start(), Server::start()];
        let nodes = Server::many(2);
        let mut config = config(&nodes.addresses);
        config["discovery"] = json!(discoveries[0].addresses[0].to_string());
        let folder = Folder::new("signals").expect("a folder");
        let faults = SystemCallFaults { rules: faults.to_owned(), seed: 1 };
        let program = testkit::program("trestlesill");
        let proxy = Instance::start_with_faults(&program, &folder.0, &config, None, Some(faults));
        Setting { proxy: proxy.expect("started"), discoveries, config, folder }
    }

    /// Starts a process with these faults, and waits until it serves and they have begun.
    fn serving(faults: &str) -> Setting {
        let mut setting = Setting::launch(faults);
        setting.proxy.ready(PATIENCE).expect("ready");
        std::thread::sleep(Duration::from_millis(FAULTS_BEGIN_MS));
        setting
    }

    /// Names the second discovery in the configuration.
    fn name_second_discovery(&mut self) {
        self.config["discovery"] = json!(self.discoveries[1].addresses[0].to_string());
        let path: PathBuf = self.folder.0.join("n0.json");
        let next = path.with_extension("next");
        std::fs::write(&next, self.config.to_string()).expect("written");
        std::fs::rename(next, path).expect("replaced");
    }

    fn signal(&self, name: &str) {
        self.proxy.signal(name).expect("signalled");
    }

    /// Asserts that the second discovery is called before its changes count as notified.
    fn assert_moves(&self, what: &str) {
        let signalled = Instant::now();
        self.discoveries[1].accept().request();
        assert!(signalled.elapsed() < NOTIFIED_AFTER_MOVE, "{what}: {:?}", signalled.elapsed());
    }

    /// Asserts that the process ends before the platform would kill it.
    fn assert_ends(&mut self, what: &str) {
        let signalled = Instant::now();
        while self.proxy.child.try_wait().expect("a child").is_none() {
            assert!(signalled.elapsed() < KILLED_AFTER, "{what}: it does not end");
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

/// Faults of transfers over the sockets of signals: of those by which a handler writes, and of the reads behind them.
fn faults_of_signal_sockets() -> Vec<String> {
    let faults = |error: &str| {
        let begins = FAULTS_BEGIN_MS;
        [
            format!("send {error} 1.0 family=unix after={begins}"),
            // A handler that can't be set up to send writes.
            format!(
                "send EINTR 1.0 family=unix until={begins}; write {error} 1.0 family=unix after={begins}"
            ),
            format!("recv {error} 1.0 family=unix after={begins}"),
        ]
    };
    ERRORS.into_iter().flat_map(faults).collect()
}

/// Guards against a SIGTERM that is lost because the handler could not write to the event loop's socket.
#[test]
fn sigterm_ends_a_process_while_the_signal_can_not_be_written() {
    for faults in faults_of_signal_sockets() {
        let mut setting = Setting::serving(&faults);
        setting.signal("-TERM");
        setting.assert_ends(&faults);
    }
}

/// Guards against a SIGHUP that is lost in the same way, the first or the second one.
#[test]
fn sighup_is_followed_while_the_signal_can_not_be_written() {
    for faults in faults_of_signal_sockets() {
        let mut setting = Setting::serving(&faults);
        setting.signal("-HUP");
        std::thread::sleep(Duration::from_millis(300));
        setting.name_second_discovery();
        setting.signal("-HUP");
        setting.assert_moves(&faults);
    }
}

/// Guards against a signal that is lost among others that come at once.
#[test]
fn signals_in_series_are_all_followed() {
    for faults in ["", "send EINTR 1.0 family=unix after=500", "epoll_wait EINTR 0.5"] {
        let mut setting = Setting::serving(faults);
        setting.name_second_discovery();
        setting.signal("-HUP");
        setting.signal("-HUP");
        setting.assert_moves(faults);
        setting.signal("-HUP");
        setting.signal("-TERM");
        setting.signal("-HUP");
        setting.signal("-TERM");
        setting.assert_ends(faults);
    }
}

/// Guards against a process that a SIGHUP ends, or that does not follow it, because it comes before the process is ready.
#[test]
fn sighup_before_a_process_is_ready_is_followed() {
    // The configuration can't be opened, or the address not be listened on, for a while.
    for faults in ["open ENFILE 1.0 until=800", "listen EADDRINUSE 1.0 until=800"] {
        let mut setting = Setting::launch(faults);
        std::thread::sleep(Duration::from_millis(400));
        setting.name_second_discovery();
        setting.signal("-HUP");
        setting.assert_moves(faults);
        setting.proxy.ready(PATIENCE).expect("ready");
    }
}

/// Guards against a SIGTERM before a process is ready that is forgotten, or waits until the start is over.
#[test]
fn sigterm_before_a_process_is_ready_ends_it() {
    let faults =
        ["open ENFILE 1.0 until=800", "open ENFILE 1.0 until=9000", "listen EADDRINUSE 1.0 until=800"];
    for faults in faults {
        let mut setting = Setting::launch(faults);
        std::thread::sleep(Duration::from_millis(400));
        setting.signal("-TERM");
        setting.assert_ends(faults);
    }
}
