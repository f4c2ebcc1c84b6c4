//! The control protocol of a proxy (`docs/operations/control.md`): one JSON object a line, either way.
//!
//! [`message`] has the messages, [`Decoder`] takes them off a stream within bounds, [`State`] says which change
//! may follow which and keeps what must outlive the process. Nothing here does I/O or reads a clock.

pub mod message;
pub mod state;

pub use message::{Code, Error, Op, Reply, Request, VERSION};
pub use state::State;

/// The longest frame of a controller, its line end not counted. A configuration with a list of a thousand boxes
/// fits.
pub const MAX_REQUEST: usize = 512 << 10;
/// The longest frame of a proxy.
pub const MAX_REPLY: usize = 1 << 20;

/// A frame was longer than its bound; nothing after it can be understood.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameTooLong {
    /// The bound, in bytes.
    pub limit: usize,
}

/// Splits a stream into lines. No byte is looked at twice, and no more than the bound is kept.
#[derive(Debug)]
pub struct Decoder {
    most: usize,
    partial: Vec<u8>,
}

impl Decoder {
    /// Frames of at most so many bytes.
    pub fn new(most: usize) -> Self {
        Decoder { most, partial: Vec::new() }
    }

    /// A frame has begun and not ended.
    pub fn has_partial_frame(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Takes input up to the end of a frame: how much of it was used, and the frame if it is whole. Empty lines
    /// are passed over.
    ///
    /// # Errors
    /// The frame is longer than the bound.
    pub fn feed(&mut self, input: &[u8]) -> Result<(usize, Option<Vec<u8>>), FrameTooLong> {
        let end = memchr::memchr(b'\n', input);
        let part = &input[..end.unwrap_or(input.len())];
        if self.partial.len() + part.len() > self.most {
            self.partial = Vec::new();
            return Err(FrameTooLong { limit: self.most });
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
