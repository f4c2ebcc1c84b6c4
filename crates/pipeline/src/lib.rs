//! Pipelining: several commands in flight on one connection, answered in the order in which they were sent (RESP2 and
//! RESP3, "Pipelining" in the protocol's specification).
//!
//! [`Pipeline`] holds the commands of one connection: those queued, those being written, and those written but not
//! answered. It alone determines which commands may have run when the connection breaks. [`BoxLatencies`] holds the
//! measured latencies of a box. [`choose_connection`] chooses among the connections to one box. The choice of the box, and
//! whether to retry, are left to the host, which also provides the sockets and the clock.

mod connection_limit;
mod foreign_reply;
mod latency;
mod placement;
mod queue;
mod settle_delay;

pub use connection_limit::ConnectionLimit;
pub use foreign_reply::{ForeignReplyDetector, ReplyArrival, ValueVariety};
pub use latency::{BoxLatencies, LatencyHistogram};
pub use placement::{
    choose_connection, is_stalled, ConnectionState, LatencyContext, PipelineConfig, Placement,
    PlacementPolicy, PlacementRequest,
};
pub use queue::{CancelOutcome, Command, CommandKind, CompletedCommand, DisconnectOutcome, Pipeline};
pub use settle_delay::SettleDelay;

/// A point in time or a duration, in nanoseconds.
pub type Nanos = u64;
