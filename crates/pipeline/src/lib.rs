//! Pipelines: commands that go behind one another on a connection whose answers come in their order (RESP2 and RESP3,
//! "Pipelining" in the protocol's specification).
//!
//! [`Pipeline`] keeps the commands of one connection: which wait, which are being written, which are written and not
//! answered. It alone says what may have run when the connection breaks. [`BoxLatencies`] keeps what a box was measured to
//! take. [`choose_connection`] chooses among the connections to one box. Which box, and whether again, is not asked here.
//! No sockets, no clock: the host hands both in.

mod connection_limit;
mod latency;
mod placement;
mod queue;
mod settle_delay;

pub use connection_limit::ConnectionLimit;
pub use latency::{BoxLatencies, LatencyHistogram};
pub use placement::{
    choose_connection, is_stalled, ConnectionState, LatencyContext, PipelineConfig, Placement,
    PlacementPolicy, PlacementRequest,
};
pub use queue::{CancelOutcome, Command, CommandKind, CompletedCommand, DisconnectOutcome, Pipeline};
pub use settle_delay::SettleDelay;

/// A point in time or a span, in nanoseconds.
pub type Nanos = u64;
