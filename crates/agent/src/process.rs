//! Processes of instances: started so that they outlive the agent, found again by what their environment says,
//! and watched by a descriptor that can't mean another process.

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::process::{pidfd_open, pidfd_send_signal, Pid, PidfdFlags, Signal};
use std::fs;
use std::io;
use std::os::fd::OwnedFd;
use std::path::Path;
use std::process::{Child, Command, Stdio};

/// The variables that mark a process as an instance of an agent: the agent's folder, the instance, what it was
/// started for.
const MARKS: [&str; 3] = ["TRESTLE_AGENT", "TRESTLE_INSTANCE", "TRESTLE_INCARNATION"];

/// A running process of an instance.
#[derive(Debug)]
pub struct Process {
    /// Its id.
    pub pid: u32,
    /// What it was started for.
    pub incarnation: u64,
    /// Stays this process's, whoever has its id later.
    handle: OwnedFd,
    /// Where this agent's process started it.
    child: Option<Child>,
}

impl Process {
    /// Starts one.
    ///
    /// # Errors
    /// The program can't be run.
    pub fn start(
        program: &Path,
        agent: &Path,
        folder: &Path,
        name: &str,
        incarnation: u64,
    ) -> io::Result<Process> {
        let log = fs::OpenOptions::new().create(true).append(true).open(folder.join("log"))?;
        let mut command = Command::new(program);
        command.arg("--operator").arg(folder.join("operator.toml"));
        command.env("NODE_CONFIG", folder.join("config.json"));
        command.env(MARKS[0], agent).env(MARKS[1], name).env(MARKS[2], incarnation.to_string());
        command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        // A group of its own: what ends the agent from a terminal is not for the instances.
        std::os::unix::process::CommandExt::process_group(&mut command, 0);
        let child = command.spawn()?;
        let pid = child.id();
        let handle = pidfd_open(raw(pid)?, PidfdFlags::empty())?;
        Ok(Process { pid, incarnation, handle, child: Some(child) })
    }

    /// Finds those of an agent's folder that run, with their instances' names.
    pub fn find(agent: &Path) -> Vec<(String, Process)> {
        let mut found = Vec::new();
        for entry in fs::read_dir("/proc").into_iter().flatten().flatten() {
            let Some(pid) = entry.file_name().to_str().and_then(|n| n.parse::<u32>().ok()) else { continue };
            // The handle first: what is read then is this process's or nobody's.
            let Ok(handle) = raw(pid).and_then(|p| Ok(pidfd_open(p, PidfdFlags::empty())?)) else { continue };
            let Some((name, incarnation)) = marks(pid, agent) else { continue };
            let process = Process { pid, incarnation, handle, child: None };
            if !Process::ended([&process].into_iter())[0] {
                found.push((name, process));
            }
        }
        found
    }

    /// Sends it a signal; one that has ended gets none.
    pub fn signal(&self, signal: Signal) {
        let _ = pidfd_send_signal(&self.handle, signal);
    }

    /// Which of these have ended, in their order.
    pub fn ended<'a>(all: impl Iterator<Item = &'a Process>) -> Vec<bool> {
        let mut fds: Vec<PollFd> = all.map(|p| PollFd::new(&p.handle, PollFlags::IN)).collect();
        // An error tells nothing of any of them.
        let _ = poll(&mut fds, Some(&Timespec::default()));
        fds.iter().map(|fd| !fd.revents().is_empty()).collect()
    }

    /// How it ended, for people; takes it off the kernel's table.
    pub fn end(&mut self) -> String {
        match self.child.as_mut().map(Child::wait) {
            Some(Ok(status)) => status.to_string(),
            _ => "its end was not this agent's to see".into(),
        }
    }
}

fn raw(pid: u32) -> io::Result<Pid> {
    Pid::from_raw(pid as i32).ok_or_else(|| io::Error::other("no process id"))
}

/// The instance and incarnation of a process, if it is one of this agent's.
fn marks(pid: u32, agent: &Path) -> Option<(String, u64)> {
    let text = fs::read(format!("/proc/{pid}/environ")).ok()?;
    let get = |mark: &str| {
        let prefix = format!("{mark}=").into_bytes();
        text.split(|b| *b == 0).find_map(|v| v.strip_prefix(&prefix[..]).map(<[u8]>::to_vec))
    };
    if get(MARKS[0])? != std::os::unix::ffi::OsStrExt::as_bytes(agent.as_os_str()) {
        return None;
    }
    let name = String::from_utf8(get(MARKS[1])?).ok()?;
    let incarnation = String::from_utf8(get(MARKS[2])?).ok()?.parse().ok()?;
    Some((name, incarnation))
}
