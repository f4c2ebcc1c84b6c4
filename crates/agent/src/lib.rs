//! The agent of a machine: runs its proxies in the state that operators ask for, across crashes of proxies, lost
//! control connections and restarts of the agent. The decisions are made by [`fleet`]; this crate carries them out on
//! files, processes and sockets.

pub mod api;
pub mod host;
pub mod journal;
pub mod link;
pub mod process;
