//! A scripted client of the control endpoint of a proxy or an agent.

use crate::scripted::PATIENCE;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::{Duration, Instant};

/// A connection to a control endpoint.
#[derive(Debug)]
pub struct Controller {
    /// The socket.
    pub stream: UnixStream,
    input: BufReader<UnixStream>,
    next: u32,
}

impl Controller {
    /// Connects to a control endpoint, retrying until it listens.
    ///
    /// # Panics
    /// If it does not listen within `PATIENCE`.
    pub fn connect(path: &Path) -> Controller {
        let begun = Instant::now();
        let stream = loop {
            match UnixStream::connect(path) {
                Ok(stream) => break stream,
                Err(e) => assert!(begun.elapsed() < PATIENCE, "{}: {e}", path.display()),
            }
            std::thread::sleep(Duration::from_millis(2));
        };
        stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        stream.set_write_timeout(Some(PATIENCE)).expect("a time-out");
        let input = BufReader::new(stream.try_clone().expect("a second handle"));
        Controller { stream, input, next: 1 }
    }

    /// Writes bytes unchanged; returns false if the other end has closed.
    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Waits for the next line; returns `None` at the end of the connection.
    ///
    /// # Panics
    /// If no line arrives within `PATIENCE`, or the line is not JSON.
    pub fn line(&mut self) -> Option<Value> {
        let mut line = String::new();
        match self.input.read_line(&mut line) {
            Ok(0) => None,
            Ok(_) => Some(serde_json::from_str(&line).expect("JSON")),
            Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => None,
            Err(e) => panic!("cannot read from the control endpoint: {e}"),
        }
    }

    /// Sends a request and returns the reply; `fields` has the operation and its parameters.
    ///
    /// # Panics
    /// If no reply to this request arrives within `PATIENCE`.
    pub fn request(&mut self, mut fields: Value) -> Value {
        let id = format!("t{}", self.next);
        self.next += 1;
        (fields["v"], fields["id"]) = (json!(1), json!(id));
        assert!(self.send(format!("{fields}\n").as_bytes()), "control connection closed");
        let reply = self.line().expect("an answer");
        assert_eq!(reply["id"], json!(id), "{reply}");
        reply
    }

    /// Sends a request that must succeed; returns its result.
    ///
    /// # Panics
    /// If the reply is an error.
    pub fn ok(&mut self, fields: Value) -> Value {
        let reply = self.request(fields);
        assert!(reply["ok"].is_object(), "{reply}");
        reply["ok"].clone()
    }

    /// Sends a request that must be refused; returns the error's code.
    ///
    /// # Panics
    /// If the reply is not an error.
    pub fn refused(&mut self, fields: Value) -> String {
        let reply = self.request(fields);
        reply["error"]["code"].as_str().unwrap_or_else(|| panic!("{reply}")).to_owned()
    }

    /// Polls the status until it satisfies `wanted`; returns that status.
    ///
    /// # Panics
    /// If no status satisfies it within `PATIENCE`.
    pub fn until(&mut self, wanted: impl Fn(&Value) -> bool) -> Value {
        let begun = Instant::now();
        loop {
            let status = self.ok(json!({"op": "status"}));
            if wanted(&status) {
                return status;
            }
            assert!(begun.elapsed() < PATIENCE, "{status}");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}
