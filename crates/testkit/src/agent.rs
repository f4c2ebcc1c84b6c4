//! Runs an agent whose fleet serves a world, with a simple client of its API.

use crate::process::Folder;
use crate::scripted::{unused_address, PATIENCE};
use crate::world::{Target, World};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// An agent's process. The agent and its instances are killed on drop.
#[derive(Debug)]
pub struct Agent {
    /// Directory of the agent's files.
    pub folder: Folder,
    /// The process, while it runs.
    pub child: Option<Child>,
    /// Listen addresses of the fleet's proxies by instance name.
    pub addresses: BTreeMap<String, SocketAddr>,
}

/// A response of the API: HTTP status and JSON body.
pub type Answer = (u16, Value);

/// Sends an HTTP/1.1 request on a stream and reads the response.
///
/// # Errors
/// The stream fails, or the response is incomplete or not JSON.
pub fn http(
    mut stream: impl Read + Write,
    method: &str,
    path: &str,
    token: Option<&str>,
    body: &str,
) -> std::io::Result<Answer> {
    let auth = token.map_or(String::new(), |t| format!("Authorization: Bearer {t}\r\n"));
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: agent\r\nConnection: close\r\n{auth}Content-Length: {length}\r\n\r\n"
    );
    stream.write_all((head + body).as_bytes())?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    let incomplete = || std::io::Error::other(format!("incomplete HTTP response: {text:?}"));
    let (head, body) = text.split_once("\r\n\r\n").ok_or_else(incomplete)?;
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).ok_or_else(incomplete)?;
    Ok((status, serde_json::from_str(body).map_err(std::io::Error::other)?))
}

impl Agent {
    /// Starts an agent with a new directory.
    ///
    /// # Panics
    /// If the agent cannot be started.
    pub fn start() -> Agent {
        let folder = Folder::new("a").expect("a folder");
        let mut agent = Agent { folder, child: None, addresses: BTreeMap::new() };
        agent.run(&[], &[]);
        agent
    }

    /// Starts the agent with its existing directory; returns the lines that it printed before `ready`.
    ///
    /// # Panics
    /// If the agent cannot be started.
    pub fn run(&mut self, args: &[&str], variables: &[(&str, String)]) -> Vec<String> {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(self.folder.0.join("agent.log"));
        let mut command = Command::new(crate::program("trestle-agent"));
        command
            .arg("--dir")
            .arg(&self.folder.0)
            .args(args)
            .envs(variables.iter().map(|(k, v)| (*k, v)))
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log.expect("a log"));
        let mut child = crate::spawn(&mut command).expect("the agent starts");
        let out = BufReader::new(child.stdout.take().expect("piped"));
        let mut printed = Vec::new();
        for line in out.lines() {
            let line = line.expect("a line");
            if line == "ready" {
                break;
            }
            printed.push(line);
        }
        self.child = Some(child);
        printed
    }

    /// Kills the agent; its instances keep running.
    ///
    /// # Panics
    /// If the agent does not run.
    pub fn kill(&mut self) {
        let mut child = self.child.take().expect("it runs");
        child.kill().expect("killed");
        child.wait().expect("waited");
    }

    /// Path of the API's socket.
    pub fn socket(&self) -> PathBuf {
        self.folder.0.join("api.sock")
    }

    /// Sends a request to the API.
    ///
    /// # Errors
    /// The API does not answer.
    pub fn try_ask(&self, method: &str, path: &str, body: &str) -> std::io::Result<Answer> {
        let stream = UnixStream::connect(self.socket())?;
        stream.set_read_timeout(Some(PATIENCE))?;
        http(stream, method, path, None, body)
    }

    /// Sends a GET request to the API; returns the body.
    ///
    /// # Panics
    /// If the API does not answer with status 200.
    pub fn get(&self, path: &str) -> Value {
        let (status, value) = self.try_ask("GET", path, "").expect("an answer");
        assert_eq!(status, 200, "{value}");
        value
    }

    /// Submits a command based on the current generation; returns its id and the response.
    ///
    /// # Panics
    /// If the API does not answer.
    pub fn command(&self, command: &Value, force: bool) -> (String, Answer) {
        static NEXT: AtomicU32 = AtomicU32::new(1);
        let id = format!("t{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
        let base = self.get("/v1/fleet")["generation"].clone();
        let body = json!({"id": id, "base": base, "force": force, "command": command});
        (id, self.try_ask("POST", "/v1/operations", &body.to_string()).expect("an answer"))
    }

    /// Submits a command that must be accepted; returns its id.
    ///
    /// # Panics
    /// If the command is rejected.
    pub fn order(&self, command: &Value) -> String {
        let (id, (status, value)) = self.command(command, false);
        assert_eq!(status, 200, "{value}");
        id
    }

    /// Returns the outcome of an operation.
    ///
    /// # Panics
    /// If the operation is unknown.
    pub fn outcome(&self, id: &str) -> String {
        let operation = self.get(&format!("/v1/operations/{id}"));
        operation["state"]["outcome"].as_str().expect("an outcome").to_owned()
    }

    /// Waits until an operation has the outcome `wanted`.
    ///
    /// # Panics
    /// If it does not have that outcome within `patience`.
    pub fn until(&self, id: &str, wanted: &str, patience: Duration) {
        self.wait(&format!("{id} is {wanted}"), patience, |a| a.outcome(id) == wanted);
    }

    /// Waits until a condition holds; `what` describes it in the panic message.
    ///
    /// # Panics
    /// If the condition does not hold within `patience`.
    pub fn wait(&self, what: &str, patience: Duration, holds: impl Fn(&Agent) -> bool) {
        let begun = Instant::now();
        while !holds(self) {
            assert!(begun.elapsed() < patience, "{what}: {}\n{}", self.get("/v1/fleet"), self.log());
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Returns the agent's log.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.0.join("agent.log")).unwrap_or_default()
    }

    /// Returns the desired state of a fleet of `proxies` proxies of a world. An instance keeps its address across calls;
    /// a new one gets a unique address.
    ///
    /// # Panics
    /// If the world has no zones.
    pub fn desired(&mut self, world: &World, proxies: usize, edit: impl Fn(&mut Value)) -> Value {
        let instances: BTreeMap<String, Value> = (0..proxies)
            .map(|i| {
                let name = format!("n{i}");
                let address = self.addresses.entry(name.clone()).or_insert_with(unused_address);
                let mut config = world.proxy_config(i, *address);
                edit(&mut config);
                let zone = config["settings"]["localities"][world.zone_of(i)].clone();
                (name, json!({"zone": zone, "config": config}))
            })
            .collect();
        json!({"instances": instances})
    }

    /// Returns the instances as targets of a client load.
    pub fn front(&self) -> Vec<Target> {
        let number = |name: &str| name[1..].parse().unwrap_or(0);
        self.addresses.iter().map(|(n, a)| Target::new(number(n), *a)).collect()
    }

    /// Finds the processes of the agent's instances by the environment variable that the agent sets; returns names and
    /// process ids.
    pub fn processes(&self) -> Vec<(String, u32)> {
        let variable = format!("TRESTLE_AGENT={}", self.folder.0.display());
        let mut found = Vec::new();
        for entry in std::fs::read_dir("/proc").into_iter().flatten().flatten() {
            let text = std::fs::read(entry.path().join("environ")).unwrap_or_default();
            let text = String::from_utf8_lossy(&text);
            if text.split('\0').any(|v| v == variable) {
                let name = text.split('\0').find_map(|v| v.strip_prefix("TRESTLE_INSTANCE="));
                let pid = entry.file_name().to_str().and_then(|n| n.parse().ok());
                found.extend(name.map(str::to_owned).zip(pid));
            }
        }
        found.sort();
        found
    }

    /// Sends an instance a signal, as an option of `kill` (`-TERM`).
    ///
    /// # Panics
    /// If the instance does not run.
    pub fn signal(&self, name: &str, signal: &str) {
        let all = self.processes();
        let (_, pid) =
            all.iter().find(|(n, _)| n == name).unwrap_or_else(|| panic!("instance {name} is not running"));
        Command::new("kill").args([signal, &pid.to_string()]).status().expect("kill runs");
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        if self.child.is_some() {
            self.kill();
        }
        for (_, pid) in self.processes() {
            let _ = Command::new("kill").args(["-KILL", &pid.to_string()]).status();
        }
    }
}
