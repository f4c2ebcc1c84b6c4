//! The replies of cache nodes: their parser for RESP2, and their representation, which is the same for RESP2
//! and RESP3.

use crate::length::LengthParser;
use crate::{Protocol, ProtocolError, MAX_BUFFERED_VALUE_BYTES, MAX_LINE_BYTES, MAX_STREAMED_VALUE_BYTES};
use std::io::Write;
use std::ops::Range;

/// The number of elements in a successful reply: value, note and load report.
const REPLY_ELEMENTS: i64 = 3;

/// The outcome that a reply reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReplyKind {
    /// Success, with a value or a receipt.
    Served,
    /// `-BUSY`: rejected without being processed.
    Busy,
    /// Another error, or a reply without a value.
    #[default]
    Failed,
}

/// A complete reply without its bytes, which are those that [`ReplyParser::feed`] took.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reply {
    /// The outcome.
    pub kind: ReplyKind,
    /// The cache result of a read (`hit`, `miss`, `pending`); empty if the node did not report it.
    pub note: Vec<u8>,
    /// The load report; empty if the node sent none.
    pub load: Vec<u8>,
    /// The position of the value in the bytes of the reply.
    pub value: Range<usize>,
    /// The format of the bytes of the reply.
    pub shape: BodyFormat,
}

/// The format of the bytes that accompany a successful reply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BodyFormat {
    /// The complete RESP2 reply as received.
    #[default]
    Resp2Reply,
    /// The value alone, a blob string.
    BlobString,
    /// The value alone, the text of a verbatim string with this format.
    Verbatim([u8; 3]),
    /// The value alone, a double as received.
    Double,
    /// The value alone, a big number as received.
    BigNumber,
}

/// A part of a reply whose value is longer than [`MAX_BUFFERED_VALUE_BYTES`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplyPart {
    /// In the first part: the format and the length of the value.
    pub head: Option<(BodyFormat, usize)>,
    /// The next bytes of the value.
    pub bytes: Vec<u8>,
    /// In the last part: the reply without its value.
    pub tail: Option<Reply>,
}

impl Reply {
    /// Whether the cache node had the value in its cache, or `None` if it did not report that.
    pub fn hit(&self) -> Option<bool> {
        match &self.note[..] {
            b"hit" => Some(true),
            b"miss" | b"pending" => Some(false),
            _ => None,
        }
    }

    /// Sets the outcome from an error line, and the load report from its last word if that is one.
    pub(crate) fn set_error(&mut self, line: &[u8]) {
        let code = line.split(|b| *b == b' ').next();
        self.kind = if code == Some(b"BUSY") { ReplyKind::Busy } else { ReplyKind::Failed };
        let load = line.rsplit(|b| *b == b' ').next().filter(|w| w.contains(&b'='));
        if let Some(load) = load {
            self.load = load.to_vec();
        }
    }

    /// Writes a successful reply in `protocol`, from the bytes that came with it. The value is passed on byte
    /// for byte; a type that RESP2 lacks becomes a bulk string in it, as in Redis.
    pub fn write(&self, bytes: &[u8], protocol: Protocol, out: &mut Vec<u8>) {
        if self.shape == BodyFormat::Resp2Reply && protocol == Protocol::Two {
            out.extend_from_slice(bytes);
            return;
        }
        let value = bytes.get(self.value.clone()).unwrap_or_default();
        Reply::write_head(self.shape, value.len(), protocol, out);
        out.extend_from_slice(value);
        self.write_tail(protocol, out);
    }

    /// Writes what precedes a value of `length` bytes.
    pub fn write_head(shape: BodyFormat, length: usize, protocol: Protocol, out: &mut Vec<u8>) {
        out.extend_from_slice(b"*3\r\n");
        // Writing to a vector cannot fail.
        match (shape, protocol) {
            (BodyFormat::Verbatim(format), Protocol::Three) => {
                let _ = write!(out, "={}\r\n", length + 4);
                out.extend_from_slice(&format);
                out.push(b':');
            }
            (BodyFormat::Double, Protocol::Three) => out.push(b','),
            (BodyFormat::BigNumber, Protocol::Three) => out.push(b'('),
            _ => {
                let _ = write!(out, "${length}\r\n");
            }
        }
    }

    /// Writes what follows the value.
    pub fn write_tail(&self, protocol: Protocol, out: &mut Vec<u8>) {
        out.extend_from_slice(b"\r\n");
        for text in [&self.note, &self.load] {
            match (text.is_empty(), protocol) {
                (false, _) => write_bulk_string(text, out),
                (true, Protocol::Two) => out.extend_from_slice(b"$-1\r\n"),
                (true, Protocol::Three) => out.extend_from_slice(b"_\r\n"),
            }
        }
    }
}

fn write_bulk_string(text: &[u8], out: &mut Vec<u8>) {
    // Writing to a vector cannot fail.
    let _ = write!(out, "${}\r\n", text.len());
    out.extend_from_slice(text);
    out.extend_from_slice(b"\r\n");
}

/// What the parser expects next.
#[derive(Clone, Copy, Debug)]
enum ReplyState {
    Type,
    Count(LengthParser),
    Length(LengthParser),
    Line { cr: bool },
    Body(usize),
    Cr,
    Lf,
}

/// Parses the RESP2 replies on a connection to a cache node: an array of value, note and load report, or an
/// error line.
///
/// Any other reply is a protocol error, after which nothing on the connection can be trusted: a lenient
/// parser could take garbage or the tail of another reply for the requested value. For the same reason, replies
/// with elements that a later version of the node adds are refused.
#[derive(Debug)]
pub struct ReplyParser {
    state: ReplyState,
    /// The index of the current element.
    element: i64,
    /// The number of elements; an error line counts as one.
    elements: i64,
    array: bool,
    /// Bytes of the reply that have been taken.
    taken: usize,
    /// The current line, note or load report.
    line: Vec<u8>,
    reply: Reply,
    /// While a streamed value is read: the part of it that has not been passed on.
    streamed: Option<Box<ReplyPart>>,
}

impl Default for ReplyParser {
    fn default() -> Self {
        ReplyParser {
            state: ReplyState::Type,
            element: 0,
            elements: 1,
            array: false,
            taken: 0,
            line: Vec::new(),
            reply: Reply::default(),
            streamed: None,
        }
    }
}

impl ReplyParser {
    /// True if the input so far ends within a reply.
    pub fn in_progress(&self) -> bool {
        self.array || !matches!(self.state, ReplyState::Type)
    }

    /// The part of a streamed value in the last input, to be called after each [`ReplyParser::feed`] with the
    /// reply that it returned.
    pub fn take_part(&mut self, reply: Option<&Reply>) -> Option<ReplyPart> {
        let streamed = self.streamed.as_mut()?;
        let part = ReplyPart { tail: reply.cloned(), ..std::mem::take(&mut **streamed) };
        if reply.is_some() {
            self.streamed = None;
        }
        Some(part)
    }

    /// Takes input up to the end of a reply; returns the number of bytes taken, and the reply once it is
    /// complete. The caller need not keep the bytes of a streamed value: [`ReplyParser::take_part`] returns
    /// them.
    pub fn feed(&mut self, input: &[u8]) -> Result<(usize, Option<Reply>), ProtocolError> {
        let (mut at, before) = (0, self.taken);
        while at < input.len() {
            if let ReplyState::Body(remaining) = &mut self.state {
                let part = &input[at..input.len().min(at + *remaining)];
                if self.element > 0 {
                    self.line.extend_from_slice(part);
                } else if let Some(streamed) = &mut self.streamed {
                    streamed.bytes.extend_from_slice(part);
                }
                at += part.len();
                *remaining -= part.len();
                if *remaining == 0 {
                    self.state = ReplyState::Cr;
                }
                continue;
            }
            let byte = input[at];
            at += 1;
            if let Some(reply) = self.push_byte(byte, before + at)? {
                return Ok((at, Some(reply)));
            }
        }
        self.taken = before + at;
        Ok((at, None))
    }

    /// Takes a byte outside of a body; `taken` counts the bytes of the reply up to and including it.
    fn push_byte(&mut self, byte: u8, taken: usize) -> Result<Option<Reply>, ProtocolError> {
        match &mut self.state {
            ReplyState::Type => {
                self.state = match (byte, self.array, self.element) {
                    (b'*', false, _) => ReplyState::Count(LengthParser::default()),
                    (b'$', true, _) => ReplyState::Length(LengthParser::default()),
                    // Notes and load reports may be simple strings.
                    (b'-', false, _) | (b'+', true, 1..) => ReplyState::Line { cr: false },
                    _ => return Err(ProtocolError("unexpected type byte in a reply")),
                };
                self.line.clear();
            }
            ReplyState::Count(parser) => match parser.push(byte)? {
                None => {}
                // A null array or an empty array has no value.
                Some(-1 | 0) => return Ok(Some(self.finish())),
                Some(REPLY_ELEMENTS) => {
                    (self.array, self.elements) = (true, REPLY_ELEMENTS);
                    self.state = ReplyState::Type;
                }
                Some(_) => return Err(ProtocolError("invalid array length")),
            },
            ReplyState::Length(parser) => {
                let Some(n) = parser.push(byte)? else { return Ok(None) };
                if n == -1 {
                    return Ok(self.finish_element());
                }
                let max = if self.element == 0 { MAX_STREAMED_VALUE_BYTES } else { MAX_LINE_BYTES };
                let length = usize::try_from(n).ok().filter(|n| *n <= max);
                let length = length.ok_or(ProtocolError("invalid bulk length"))?;
                self.state = if length == 0 { ReplyState::Cr } else { ReplyState::Body(length) };
                if self.element == 0 {
                    self.reply.kind = ReplyKind::Served;
                    if length > MAX_BUFFERED_VALUE_BYTES {
                        self.reply.shape = BodyFormat::BlobString;
                        let head = Some((BodyFormat::BlobString, length));
                        self.streamed = Some(Box::new(ReplyPart { head, ..ReplyPart::default() }));
                    } else {
                        self.reply.value = taken..taken + length;
                    }
                }
            }
            ReplyState::Line { cr } if !*cr => match byte {
                b'\r' => *cr = true,
                0..=31 | 127.. => return Err(ProtocolError("line contains unprintable bytes")),
                _ if self.line.len() < MAX_LINE_BYTES => self.line.push(byte),
                _ => return Err(ProtocolError("line is too long")),
            },
            ReplyState::Line { .. } if byte == b'\n' => {
                if !self.array {
                    self.reply.set_error(&self.line);
                }
                return Ok(self.finish_element());
            }
            ReplyState::Cr if byte == b'\r' => self.state = ReplyState::Lf,
            ReplyState::Lf if byte == b'\n' => return Ok(self.finish_element()),
            _ => return Err(ProtocolError("expected a line end")),
        }
        Ok(None)
    }

    /// Ends an element; returns the reply if that was the last one.
    fn finish_element(&mut self) -> Option<Reply> {
        match self.element {
            1 => self.reply.note = std::mem::take(&mut self.line),
            2 => self.reply.load = std::mem::take(&mut self.line),
            _ => {}
        }
        self.line.clear();
        self.element += 1;
        if self.element >= self.elements {
            return Some(self.finish());
        }
        self.state = ReplyState::Type;
        None
    }

    /// Returns the reply and resets the parser for the next one.
    fn finish(&mut self) -> Reply {
        let line = std::mem::take(&mut self.line);
        let streamed = self.streamed.take();
        let finished = std::mem::replace(self, ReplyParser { line, streamed, ..ReplyParser::default() });
        finished.reply
    }
}
