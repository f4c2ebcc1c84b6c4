//! Incremental parsers for RESP2 and RESP3: the commands of clients, the replies of cache nodes, and frames
//! of any type.
//!
//! The parsers keep their state between calls and take the input in pieces of any size, so no byte is parsed
//! twice. They do not recurse, so a peer cannot exhaust the stack with nested frames. This crate does no I/O.
//!
//! The protocols are those of the Redis documentation: the "RESP protocol description" for RESP2 and the
//! types of RESP3, and the RESP3 specification for attributes, pushes and the streamed types.

mod command;
mod decode;
mod frame;
mod length;
mod memory;
mod reply;
mod resp3;

pub use command::{Command, CommandParser};
pub use decode::{Aggregate, BlobKind, Completed, Decoder, Event, Limits};
pub use frame::{Frame, FrameBuilder, FrameReader};
pub use memory::{MemoryBudget, Reservation};
pub use reply::{BodyFormat, Reply, ReplyKind, ReplyParser, ReplyPart};
pub use resp3::{HelloOutcome, HelloReplyParser, ReplyReader, ServerMessage};

/// The longest value that is buffered and passed on whole.
pub const MAX_BUFFERED_VALUE_BYTES: usize = 64 << 10;
/// The longest value that is accepted. A value longer than [`MAX_BUFFERED_VALUE_BYTES`] is passed on in parts
/// as it arrives.
pub const MAX_STREAMED_VALUE_BYTES: usize = 4 << 20;
/// The longest line, note or load report.
const MAX_LINE_BYTES: usize = 1 << 10;

/// The version of the protocol that is used on a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Protocol {
    /// RESP2, in which every connection starts.
    #[default]
    Two,
    /// RESP3, after `HELLO 3`.
    Three,
}

impl Protocol {
    /// The version number, as used in `HELLO`.
    pub fn number(self) -> u8 {
        match self {
            Protocol::Two => 2,
            Protocol::Three => 3,
        }
    }
}

/// The peer violated the protocol or exceeded a limit, with the reason. The rest of the connection's input
/// cannot be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProtocolError(pub &'static str);
