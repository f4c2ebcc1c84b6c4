//! Starts and controls proxy processes that run against a world's stand-ins.

use serde_json::Value;
use std::io;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// A directory that is removed on drop.
#[derive(Debug)]
pub struct Folder(pub PathBuf);

impl Folder {
    /// Creates a unique temporary directory with mode 0700.
    ///
    /// # Errors
    /// The directory cannot be created.
    pub fn new(name: &str) -> io::Result<Folder> {
        use std::os::unix::fs::DirBuilderExt;
        let path = crate::scripted::scratch(name);
        std::fs::DirBuilder::new().mode(0o700).create(&path)?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Returns a free loopback port; another process may bind it before the caller does.
///
/// # Errors
/// No port can be bound.
pub fn free_port() -> io::Result<SocketAddr> {
    let _guard = crate::lock_process_spawn();
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()
}

/// A running proxy, killed on drop.
#[derive(Debug)]
pub struct Instance {
    /// Name of the instance.
    pub name: String,
    /// Address for clients.
    pub address: SocketAddr,
    /// The process.
    pub child: Child,
    program: PathBuf,
    config: PathBuf,
    operator: Option<PathBuf>,
    faults: Option<SystemCallFaults>,
}

/// Faults of a program's system calls, by the package `syscall-faults`.
#[derive(Clone, Debug)]
pub struct SystemCallFaults {
    /// The rules.
    pub rules: String,
    /// The seed of what is drawn.
    pub seed: u64,
}

impl SystemCallFaults {
    /// Has a program loaded with the faults when it is started.
    pub fn apply(&self, command: &mut Command) {
        command.env("LD_PRELOAD", env!("SYSCALL_FAULTS_LIBRARY"));
        command.env("SYSCALL_FAULTS", &self.rules).env("SYSCALL_FAULTS_SEED", self.seed.to_string());
    }
}

impl Instance {
    /// Starts a proxy with a configuration; its files and its log are written to `folder`.
    ///
    /// # Errors
    /// A file cannot be written, or the program cannot be started.
    pub fn start(
        program: &Path,
        folder: &Path,
        config: &Value,
        operator: Option<&str>,
    ) -> io::Result<Instance> {
        Instance::start_with_faults(program, folder, config, operator, None)
    }

    /// As [`Instance::start`], with faults of its system calls, which it has after a restart as well.
    ///
    /// # Errors
    /// As for [`Instance::start`].
    pub fn start_with_faults(
        program: &Path,
        folder: &Path,
        config: &Value,
        operator: Option<&str>,
        faults: Option<SystemCallFaults>,
    ) -> io::Result<Instance> {
        let name = config["name"].as_str().unwrap_or("n").to_owned();
        let address = config["listen"].as_str().and_then(|a| a.parse().ok());
        let address = address.ok_or_else(|| io::Error::other("the configuration has no address"))?;
        let path = folder.join(format!("{name}.json"));
        std::fs::write(&path, config.to_string())?;
        let operator = match operator {
            Some(text) => {
                let path = folder.join(format!("{name}.toml"));
                std::fs::write(&path, text)?;
                Some(path)
            }
            None => None,
        };
        let log = folder.join(format!("{name}.log"));
        let child = launch(program, &path, operator.as_deref(), faults.as_ref(), &log)?;
        let program = program.to_owned();
        Ok(Instance { name, address, child, program, config: path, operator, faults })
    }

    /// Waits until the proxy answers `PING`.
    ///
    /// # Errors
    /// It does not answer within `patience`, or the process has exited.
    pub fn ready(&mut self, patience: Duration) -> io::Result<()> {
        let begun = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Err(io::Error::other(format!("{} ended: {status}", self.name)));
            }
            if answers(self.address) {
                return Ok(());
            }
            if begun.elapsed() > patience {
                return Err(io::Error::other(format!("{} does not answer", self.name)));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Kills the proxy and starts it again with the same files.
    ///
    /// # Errors
    /// The program cannot be started.
    pub fn kill_and_start(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        self.start_again()
    }

    /// Starts an ended proxy again with the same files.
    ///
    /// # Errors
    /// The program cannot be started.
    pub fn start_again(&mut self) -> io::Result<()> {
        let log = self.config.with_extension("log");
        let (operator, faults) = (self.operator.as_deref(), self.faults.as_ref());
        self.child = launch(&self.program, &self.config, operator, faults, &log)?;
        Ok(())
    }

    /// Reads a field of `/proc/PID/status`; sizes are in kB.
    ///
    /// # Errors
    /// The process has ended, or has no such field.
    pub fn status(&self, field: &str) -> io::Result<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = text.lines().find_map(|l| l.strip_prefix(field)?.strip_prefix(':'));
        let number = line.and_then(|l| l.split_whitespace().next()?.parse().ok());
        number.ok_or_else(|| io::Error::other(format!("no {field} in the status")))
    }

    /// The number of its open descriptors.
    ///
    /// # Errors
    /// The process has ended.
    pub fn descriptors(&self) -> io::Result<usize> {
        Ok(std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))?.count())
    }

    /// Sends the process a signal, as an option of `kill` (`-TERM`).
    ///
    /// # Errors
    /// `kill` cannot be run.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        Command::new("kill").args([name, &self.child.id().to_string()]).status().map(|_| ())
    }
}

fn launch(
    program: &Path,
    config: &Path,
    operator: Option<&Path>,
    faults: Option<&SystemCallFaults>,
    log: &Path,
) -> io::Result<Child> {
    let log = std::fs::OpenOptions::new().create(true).append(true).open(log)?;
    let mut command = Command::new(program);
    if let Some(operator) = operator {
        command.arg("--operator").arg(operator);
    }
    if let Some(faults) = faults {
        faults.apply(&mut command);
    }
    command.env("NODE_CONFIG", config).env_remove("NODE_LISTEN").env_remove("NODE_DISCOVERY");
    crate::spawn(command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log))
}

/// CPU time of a process over all cores, in hundredths of a second: `utime` plus `stime` of proc_pid_stat(5).
///
/// # Panics
/// The process does not exist.
pub fn cpu(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).expect("a process");
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    fields[11].parse::<f64>().unwrap_or(0.0) + fields[12].parse::<f64>().unwrap_or(0.0)
}

/// Returns true if a proxy answers `PING` at `address`; one that requires authentication answers `-NOAUTH`.
pub fn answers(address: SocketAddr) -> bool {
    let timeout = Duration::from_millis(500);
    let Ok(mut stream) = TcpStream::connect_timeout(&address, timeout) else { return false };
    let mut answer = [0; 7];
    stream.set_read_timeout(Some(timeout)).is_ok()
        && stream.write_all(b"*1\r\n$4\r\nPING\r\n").is_ok()
        && stream.read_exact(&mut answer).is_ok()
        && [*b"+PONG\r\n", *b"-NOAUTH"].contains(&answer)
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
