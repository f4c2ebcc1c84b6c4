//! RESP2 and RESP3 as they come off a socket: commands of clients, replies of cache nodes, and frames of any kind,
//! parsed as their bytes arrive. The parsers hold state, not input: no byte is looked at twice, nothing recurses
//! as deep as a peer likes, and nothing here does I/O.
//!
//! The protocols are those of the Redis documentation: "RESP protocol description" (RESP2, and RESP3's types) and
//! the RESP3 specification, which has attributes, pushes and the streamed forms.

mod command;
mod decode;
mod frame;
mod number;
mod reply;
mod room;
mod three;

pub use command::{Command, CommandParser};
pub use decode::{Aggregate, BlobKind, Completed, Decoder, Event, Limits};
pub use frame::{Frame, FrameBuilder, FrameReader};
pub use reply::{BodyFormat, Reply, ReplyKind, ReplyParser, ReplyPart};
pub use room::MemoryBudget;
pub use three::{HelloOutcome, HelloReplyParser, ReplyReader, ServerMessage};

/// The longest value that is handed on whole.
pub const MAX_BUFFERED_VALUE_BYTES: usize = 64 << 10;
/// The longest value there is. One over [`MAX_BUFFERED_VALUE_BYTES`] is handed on in parts as it comes.
pub const MAX_STREAMED_VALUE_BYTES: usize = 4 << 20;
/// The longest line, note or load report.
const MAX_LINE: usize = 1 << 10;

/// A version of the protocol, as one side of a connection speaks it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Protocol {
    /// RESP2, in which every connection begins.
    #[default]
    Two,
    /// RESP3, from `HELLO 3` on.
    Three,
}

impl Protocol {
    /// Its number, as `HELLO` has it.
    pub fn number(self) -> u8 {
        match self {
            Protocol::Two => 2,
            Protocol::Three => 3,
        }
    }
}

/// The peer does not speak the protocol, or goes past its bounds; nothing after this can be understood.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProtocolError(pub &'static str);
