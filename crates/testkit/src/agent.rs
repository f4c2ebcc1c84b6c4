//! An agent with a fleet in a world, and a plain client of its API.

use crate::process::Folder;
use crate::scripted::{nobody, PATIENCE};
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

/// An agent's process. All that it runs is killed when it is dropped.
#[derive(Debug)]
pub struct Agent {
    /// Its folder.
    pub folder: Folder,
    /// The process, while there is one.
    pub child: Option<Child>,
    /// Where the proxies of its fleet listen.
    pub addresses: BTreeMap<String, SocketAddr>,
}

/// An answer of the API: its status, and its body.
pub type Answer = (u16, Value);

/// Asks over HTTP/1.1 on a stream.
///
/// # Errors
/// No whole answer comes.
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
    let short = || std::io::Error::other(format!("no whole answer: {text:?}"));
    let (head, body) = text.split_once("\r\n\r\n").ok_or_else(short)?;
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).ok_or_else(short)?;
    Ok((status, serde_json::from_str(body).map_err(std::io::Error::other)?))
}

impl Agent {
    /// Starts an agent on a new folder.
    ///
    /// # Panics
    /// If it does not get ready.
    pub fn start() -> Agent {
        let folder = Folder::new("a").expect("a folder");
        let mut agent = Agent { folder, child: None, addresses: BTreeMap::new() };
        agent.run(&[], &[]);
        agent
    }

    /// Runs the agent on its folder, again or for the first time.
    ///
    /// # Panics
    /// If it does not get ready.
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
        let mut said = Vec::new();
        for line in out.lines() {
            let line = line.expect("a line");
            if line == "ready" {
                break;
            }
            said.push(line);
        }
        self.child = Some(child);
        said
    }

    /// Kills it; its instances run on.
    ///
    /// # Panics
    /// If there is none.
    pub fn kill(&mut self) {
        let mut child = self.child.take().expect("it runs");
        child.kill().expect("killed");
        child.wait().expect("waited");
    }

    /// The API's socket.
    pub fn socket(&self) -> PathBuf {
        self.folder.0.join("api.sock")
    }

    /// Asks the API.
    ///
    /// # Errors
    /// It does not answer.
    pub fn try_ask(&self, method: &str, path: &str, body: &str) -> std::io::Result<Answer> {
        let stream = UnixStream::connect(self.socket())?;
        stream.set_read_timeout(Some(PATIENCE))?;
        http(stream, method, path, None, body)
    }

    /// Reads from the API.
    ///
    /// # Panics
    /// If it does not answer.
    pub fn get(&self, path: &str) -> Value {
        let (status, value) = self.try_ask("GET", path, "").expect("an answer");
        assert_eq!(status, 200, "{value}");
        value
    }

    /// Gives a command, based on what is in force now.
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

    /// Gives a command that is taken; its id.
    ///
    /// # Panics
    /// If it is not.
    pub fn order(&self, command: &Value) -> String {
        let (id, (status, value)) = self.command(command, false);
        assert_eq!(status, 200, "{value}");
        id
    }

    /// How an operation stands.
    ///
    /// # Panics
    /// If it is not known.
    pub fn outcome(&self, id: &str) -> String {
        let told = self.get(&format!("/v1/operations/{id}"));
        told["state"]["outcome"].as_str().expect("an outcome").to_owned()
    }

    /// Waits until an operation is over.
    ///
    /// # Panics
    /// If it does not end as wanted.
    pub fn until(&self, id: &str, wanted: &str, patience: Duration) {
        self.wait(&format!("{id} is {wanted}"), patience, |a| a.outcome(id) == wanted);
    }

    /// Waits until something holds.
    ///
    /// # Panics
    /// If it does not in time.
    pub fn wait(&self, what: &str, patience: Duration, holds: impl Fn(&Agent) -> bool) {
        let begun = Instant::now();
        while !holds(self) {
            assert!(begun.elapsed() < patience, "{what}: {}\n{}", self.get("/v1/fleet"), self.log());
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// What it said.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.0.join("agent.log")).unwrap_or_default()
    }

    /// A fleet's file for so many proxies of a world, each where it was before, or at a free port.
    ///
    /// # Panics
    /// If the machine has no ports left.
    pub fn desired(&mut self, world: &World, proxies: usize, edit: impl Fn(&mut Value)) -> Value {
        let instances: BTreeMap<String, Value> = (0..proxies)
            .map(|i| {
                let name = format!("n{i}");
                let address = self.addresses.entry(name.clone()).or_insert_with(nobody);
                let mut config = world.proxy_config(i, *address);
                edit(&mut config);
                let zone = config["settings"]["localities"][world.zone_of(i)].clone();
                (name, json!({"zone": zone, "config": config}))
            })
            .collect();
        json!({"instances": instances})
    }

    /// Its instances as a front knows them.
    pub fn front(&self) -> Vec<Target> {
        let number = |name: &str| name[1..].parse().unwrap_or(0);
        self.addresses.iter().map(|(n, a)| Target { proxy: number(n), address: *a }).collect()
    }

    /// The processes of its instances, by the mark that they bear.
    pub fn processes(&self) -> Vec<(String, u32)> {
        let mark = format!("TRESTLE_AGENT={}", self.folder.0.display());
        let mut found = Vec::new();
        for entry in std::fs::read_dir("/proc").into_iter().flatten().flatten() {
            let text = std::fs::read(entry.path().join("environ")).unwrap_or_default();
            let text = String::from_utf8_lossy(&text);
            if text.split('\0').any(|v| v == mark) {
                let name = text.split('\0').find_map(|v| v.strip_prefix("TRESTLE_INSTANCE="));
                let pid = entry.file_name().to_str().and_then(|n| n.parse().ok());
                found.extend(name.map(str::to_owned).zip(pid));
            }
        }
        found.sort();
        found
    }

    /// Sends an instance a signal, as `kill` names it.
    ///
    /// # Panics
    /// If it does not run.
    pub fn signal(&self, name: &str, signal: &str) {
        let all = self.processes();
        let (_, pid) = all.iter().find(|(n, _)| n == name).unwrap_or_else(|| panic!("{name} runs"));
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
