//! Stand-ins for everything that a proxy communicates with, for tests and for `trestlectl dev`. Not used in production
//! programs.
//!
//! [`scripted`] has peers that a test drives step by step; [`world`] has autonomous stand-ins with fault scripts from a
//! seed and a record of all requests; [`process`] starts proxies to run against them; [`agent`] starts an agent with a
//! fleet; [`controller`] is a client of a control endpoint; [`drains`] plays drains under faults and counts what came late.

pub mod agent;
pub mod controller;
pub mod drains;
pub mod process;
pub mod scripted;
pub mod world;

use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks out other threads while a program is started or a free port is probed.
///
/// Without the lock a program may find its port in use: between fork and exec a child holds all descriptors of its
/// parent, including the listener with which another thread probes that port.
fn lock_process_spawn() -> MutexGuard<'static, ()> {
    static SPAWN_LOCK: Mutex<()> = Mutex::new(());
    SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts a program while no other thread probes a port.
fn spawn(command: &mut Command) -> io::Result<Child> {
    let _guard = lock_process_spawn();
    command.spawn()
}

/// Copies a program that is to be run, while no other thread starts one.
///
/// Without the lock a child that is being started holds the copy open for writing, and the kernel refuses to run it
/// (ETXTBSY, execve(2)).
///
/// # Errors
/// The program can't be read, or the copy can't be written.
pub fn copy_program(program: &Path, copy: &Path) -> io::Result<()> {
    let _guard = lock_process_spawn();
    std::fs::copy(program, copy).map(|_| ())
}

/// Returns the path of a program of this workspace: in the directory of the running program, or one level above it for a
/// test.
///
/// # Panics
/// If the program has not been built.
pub fn program(name: &str) -> PathBuf {
    let own = std::env::current_exe().expect("this program has a path");
    let found = own.ancestors().skip(1).take(2).map(|folder| folder.join(name)).find(|p| p.is_file());
    found.unwrap_or_else(|| panic!("{name} is not built: run `cargo build` in the same profile first"))
}
