//! Stand-ins for all that a proxy talks to, for tests and for a newcomer's first run. Never a part of a program
//! that serves.
//!
//! [`scripted`] has peers that a test plays move by move; [`world`] has whole ones that act by themselves, with
//! faults scripted from a seed, and records of all that they saw; [`process`] starts programs beside them.

pub mod agent;
pub mod controller;
pub mod process;
pub mod scripted;
pub mod world;

use std::io;
use std::path::PathBuf;
use std::process::{Child, Command};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Held while a program is started, and while a free port is looked for.
///
/// Guards against programs that find their port taken: between fork and exec a child has all that its parent has, also
/// the listener by which another thread just found that port.
fn alone() -> MutexGuard<'static, ()> {
    static ALONE: Mutex<()> = Mutex::new(());
    ALONE.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts a program.
fn spawn(command: &mut Command) -> io::Result<Child> {
    let _alone = alone();
    command.spawn()
}

/// Where a program of this workspace lies: beside the one that runs, or one folder above it for a test.
///
/// # Panics
/// If it has not been built.
pub fn program(name: &str) -> PathBuf {
    let own = std::env::current_exe().expect("this program has a path");
    let found = own.ancestors().skip(1).take(2).map(|folder| folder.join(name)).find(|p| p.is_file());
    found.unwrap_or_else(|| panic!("{name} is not built: run `cargo build` in the same profile first"))
}
