//! What the platform tells a proxy: its configuration, lists of cache nodes, signals.

pub mod config;
pub mod discovery;
pub mod inherited;
pub mod signals;
