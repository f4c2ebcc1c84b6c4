//! Processes of instances. They outlive the agent, are found again by their environment variables, and are watched
//! through a pidfd, which can't refer to another process that reuses the process id.

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::process::{pidfd_open, pidfd_send_signal, Pid, PidfdFlags, Signal};
use std::fs;
use std::io;
use std::os::fd::OwnedFd;
use std::path::Path;
use std::process::{Child, Command, Stdio};

/// Environment variable of an instance with the folder of its agent.
const AGENT_VARIABLE: &str = "TRESTLE_AGENT";
/// Environment variable of an instance with its name.
const INSTANCE_VARIABLE: &str = "TRESTLE_INSTANCE";
/// Environment variable of an instance with the incarnation for which it was started.
const INCARNATION_VARIABLE: &str = "TRESTLE_INCARNATION";

/// A running process of an instance.
#[derive(Debug)]
pub struct Process {
    /// Process id.
    pub pid: u32,
    /// Incarnation of the instance for which the process was started.
    pub incarnation: u64,
    /// Refers to this process even after its id is reused.
    pidfd: OwnedFd,
    /// Set if this agent process started the process.
    child: Option<Child>,
}

impl Process {
    /// Starts the process of an instance.
    ///
    /// # Errors
    /// The log file can't be opened, or the program can't be run.
    pub fn start(
        program: &Path,
        agent_dir: &Path,
        instance_dir: &Path,
        name: &str,
        incarnation: u64,
    ) -> io::Result<Process> {
        let log = fs::OpenOptions::new().create(true).append(true).open(instance_dir.join("log"))?;
        let mut command = Command::new(program);
        command.arg("--operator").arg(instance_dir.join("operator.toml"));
        command.env("NODE_CONFIG", instance_dir.join("config.json"));
        command
            .env(AGENT_VARIABLE, agent_dir)
            .env(INSTANCE_VARIABLE, name)
            .env(INCARNATION_VARIABLE, incarnation.to_string());
        command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        // A process group of its own, so that signals from the agent's terminal do not reach the instance.
        std::os::unix::process::CommandExt::process_group(&mut command, 0);
        let child = command.spawn()?;
        let pid = child.id();
        let pidfd = pidfd_open(to_pid(pid)?, PidfdFlags::empty())?;
        Ok(Process { pid, incarnation, pidfd, child: Some(child) })
    }

    /// Finds the running processes of an agent by its folder. Returns them with the names of their instances.
    pub fn find(agent_dir: &Path) -> Vec<(String, Process)> {
        let mut found = Vec::new();
        for entry in fs::read_dir("/proc").into_iter().flatten().flatten() {
            let Some(pid) = entry.file_name().to_str().and_then(|n| n.parse::<u32>().ok()) else { continue };
            // The pidfd is opened first, so that the environment read afterwards is that of this process or of none.
            let Ok(pidfd) = to_pid(pid).and_then(|p| Ok(pidfd_open(p, PidfdFlags::empty())?)) else {
                continue;
            };
            let Some((name, incarnation)) = read_environment(pid, agent_dir) else { continue };
            let process = Process { pid, incarnation, pidfd, child: None };
            if !Process::exited([&process].into_iter())[0] {
                found.push((name, process));
            }
        }
        found
    }

    /// Sends a signal; has no effect if the process has exited.
    pub fn signal(&self, signal: Signal) {
        let _ = pidfd_send_signal(&self.pidfd, signal);
    }

    /// Returns for each process, in order, whether it has exited.
    pub fn exited<'a>(processes: impl Iterator<Item = &'a Process>) -> Vec<bool> {
        let mut fds: Vec<PollFd> = processes.map(|p| PollFd::new(&p.pidfd, PollFlags::IN)).collect();
        // On an error no events are set, and all processes are taken to be running.
        let _ = poll(&mut fds, Some(&Timespec::default()));
        fds.iter().map(|fd| !fd.revents().is_empty()).collect()
    }

    /// Reaps the process and returns its exit status as text.
    pub fn wait(&mut self) -> String {
        match self.child.as_mut().map(Child::wait) {
            Some(Ok(status)) => status.to_string(),
            _ => "the exit status is unknown, as another agent process started it".into(),
        }
    }
}

fn to_pid(pid: u32) -> io::Result<Pid> {
    Pid::from_raw(pid as i32).ok_or_else(|| io::Error::other("not a valid process id"))
}

/// Returns the instance and incarnation of a process, or `None` if no agent of this directory started it. Both are
/// in the environment of the process, so that a restarted agent finds its processes again.
fn read_environment(pid: u32, agent_dir: &Path) -> Option<(String, u64)> {
    let text = fs::read(format!("/proc/{pid}/environ")).ok()?;
    let get = |variable: &str| {
        let prefix = format!("{variable}=").into_bytes();
        text.split(|b| *b == 0).find_map(|v| v.strip_prefix(&prefix[..]).map(<[u8]>::to_vec))
    };
    if get(AGENT_VARIABLE)? != std::os::unix::ffi::OsStrExt::as_bytes(agent_dir.as_os_str()) {
        return None;
    }
    let name = String::from_utf8(get(INSTANCE_VARIABLE)?).ok()?;
    let incarnation = String::from_utf8(get(INCARNATION_VARIABLE)?).ok()?.parse().ok()?;
    Some((name, incarnation))
}
