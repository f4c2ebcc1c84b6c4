//! Pipelines: commands that go behind one another on a connection whose answers come in their order (RESP2 and RESP3,
//! "Pipelining" in the protocol's specification).
//!
//! [`Pipe`] keeps the commands of one connection: which wait, which are being written, which are written and not
//! answered. It alone says what may have run when the connection breaks. [`Times`] keeps what a box was measured to take.
//! [`place`] chooses among the connections to one box. Which box, and whether again, is not asked here. No sockets, no
//! clock: the host hands both in.

mod pipe;
mod place;
mod rest;
mod room;
mod times;

pub use pipe::{Answered, Called, Command, Fate, Lane, Pipe};
pub use place::{is_stalled, place, Ask, Known, Limits, Place, Placing, Seen};
pub use rest::Rest;
pub use room::Room;
pub use times::{History, Times};

/// A point in time or a span, in nanoseconds.
pub type Nanos = u64;
