//! What the platform provides to a proxy: its configuration, the lists of cache nodes, its listening socket, and signals.

pub mod config;
pub mod discovery;
pub mod inherited;
pub mod shared_ids;
pub mod signals;
pub mod start;
pub mod start_times;
