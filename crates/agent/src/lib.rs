//! The agent of a machine: runs its proxies, and keeps them as operators want them through the deaths of proxies,
//! of the contact to them, and of itself. The choices are [`fleet`]'s; here they meet files, processes, sockets.

pub mod api;
pub mod host;
pub mod journal;
pub mod link;
pub mod process;
