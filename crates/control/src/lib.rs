//! The control protocol of a proxy (`docs/operations/control.md`): one JSON object per line in each direction.
//!
//! [`message`] defines the messages, [`Decoder`] splits a stream into frames of bounded length, and [`State`] is the
//! state that outlives the process, with the order in which changes are accepted. Nothing here does I/O or reads a clock.

pub mod message;
pub mod state;

pub use message::{Code, Error, Op, Reply, Request, VERSION};
pub use state::State;

/// The longest frame from a controller in bytes, without the line end. A configuration with a list of a thousand boxes
/// fits.
pub const MAX_REQUEST: usize = 512 << 10;
/// The longest frame from a proxy in bytes, without the line end.
pub const MAX_REPLY: usize = 1 << 20;

/// A frame exceeded its maximum length. The rest of the stream can't be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameTooLong {
    /// The maximum length, in bytes.
    pub limit: usize,
}

/// Splits a stream into lines. Each byte is scanned once, and no more than the maximum length is buffered.
#[derive(Debug)]
pub struct Decoder {
    limit: usize,
    partial: Vec<u8>,
}

impl Decoder {
    /// Creates a decoder for frames of at most `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Decoder { limit, partial: Vec::new() }
    }

    /// Whether the input so far ends within a frame.
    pub fn has_partial_frame(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Consumes input up to the end of a frame. Returns the number of bytes consumed, and the frame if it is complete.
    /// Empty lines are skipped.
    ///
    /// # Errors
    /// The frame is longer than the limit.
    pub fn feed(&mut self, input: &[u8]) -> Result<(usize, Option<Vec<u8>>), FrameTooLong> {
        let end = memchr::memchr(b'\n', input);
        let part = &input[..end.unwrap_or(input.len())];
        if self.partial.len() + part.len() > self.limit {
            self.partial = Vec::new();
            return Err(FrameTooLong { limit: self.limit });
        }
        self.partial.extend_from_slice(part);
        let Some(end) = end else { return Ok((input.len(), None)) };
        let mut frame = std::mem::take(&mut self.partial);
        if frame.last() == Some(&b'\r') {
            frame.pop();
        }
        Ok((end + 1, (!frame.is_empty()).then_some(frame)))
    }
}
