//! A controller of a proxy, or of an agent, that says just what a test wants.

use crate::scripted::PATIENCE;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::{Duration, Instant};

/// A connection to a control endpoint.
#[derive(Debug)]
pub struct Controller {
    /// The connection.
    pub stream: UnixStream,
    input: BufReader<UnixStream>,
    next: u32,
}

impl Controller {
    /// Connects, as soon as somebody listens there.
    ///
    /// # Panics
    /// If nobody does in time.
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

    /// Writes bytes as they are; false if the other side has closed.
    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// The next line, or nothing at the end of the connection.
    ///
    /// # Panics
    /// If it does not come in time, or is not JSON.
    pub fn line(&mut self) -> Option<Value> {
        let mut line = String::new();
        match self.input.read_line(&mut line) {
            Ok(0) => None,
            Ok(_) => Some(serde_json::from_str(&line).expect("JSON")),
            Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => None,
            Err(e) => panic!("nothing came: {e}"),
        }
    }

    /// Asks, and takes the whole answer: `fields` has the operation and its fields.
    ///
    /// # Panics
    /// If none comes in time.
    pub fn request(&mut self, mut fields: Value) -> Value {
        let id = format!("t{}", self.next);
        self.next += 1;
        (fields["v"], fields["id"]) = (json!(1), json!(id));
        assert!(self.send(format!("{fields}\n").as_bytes()), "closed");
        let reply = self.line().expect("an answer");
        assert_eq!(reply["id"], json!(id), "{reply}");
        reply
    }

    /// Asks for what must be done.
    ///
    /// # Panics
    /// If it is not.
    pub fn ok(&mut self, fields: Value) -> Value {
        let reply = self.request(fields);
        assert!(reply["ok"].is_object(), "{reply}");
        reply["ok"].clone()
    }

    /// Asks for what must not be done; the error's code.
    ///
    /// # Panics
    /// If it is done.
    pub fn refused(&mut self, fields: Value) -> String {
        let reply = self.request(fields);
        reply["error"]["code"].as_str().unwrap_or_else(|| panic!("{reply}")).to_owned()
    }

    /// Asks for the status until it is as wanted.
    ///
    /// # Panics
    /// If it is not in time.
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
