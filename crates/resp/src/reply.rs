//! The replies of cache nodes in RESP2, and what replies are in either protocol.

use crate::number::Number;
use crate::{Protocol, ProtocolError, MAX_BUFFERED_VALUE_BYTES, MAX_LINE, MAX_STREAMED_VALUE_BYTES};
use std::io::Write;
use std::ops::Range;

/// Elements of a reply that serves: value, note and load report.
const ELEMENTS: i64 = 3;

/// What kind of reply a cache node gave.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReplyKind {
    /// A value or a receipt.
    Served,
    /// `-BUSY`: turned away unseen.
    Busy,
    /// Another error line, or a reply that carries no value.
    #[default]
    Failed,
}

/// A whole reply, but for its bytes: those are what [`ReplyParser::feed`] took.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reply {
    /// What kind it is.
    pub kind: ReplyKind,
    /// How a read went (`hit`, `miss`, `pending`); empty if not told.
    pub note: Vec<u8>,
    /// The load report; empty if there is none.
    pub load: Vec<u8>,
    /// Where the value stands in the bytes that come with the reply.
    pub value: Range<usize>,
    /// What those bytes are.
    pub shape: BodyFormat,
}

/// What the bytes are that come with a reply that serves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BodyFormat {
    /// The whole reply in RESP2, as it stood on the wire.
    #[default]
    Resp2Reply,
    /// The value alone: a string, ...
    BlobString,
    /// ... a string with its format, ...
    Verbatim([u8; 3]),
    /// ... a double as it was written, ...
    Double,
    /// ... or an integer of any size as it was written.
    BigNumber,
}

/// A part of a reply whose value is longer than [`MAX_BUFFERED_VALUE_BYTES`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplyPart {
    /// The first part: what the value is, and how many bytes it has.
    pub head: Option<(BodyFormat, usize)>,
    /// Some of the value's bytes.
    pub bytes: Vec<u8>,
    /// The last part: all else that the reply tells.
    pub tail: Option<Reply>,
}

impl Reply {
    /// The cache node had it in its cache; nothing if it does not say.
    pub fn hit(&self) -> Option<bool> {
        match &self.note[..] {
            b"hit" => Some(true),
            b"miss" | b"pending" => Some(false),
            _ => None,
        }
    }

    /// Takes in an error line: what kind it is, and the load report that may stand last.
    pub(crate) fn error(&mut self, line: &[u8]) {
        let word = line.split(|b| *b == b' ').next();
        self.kind = if word == Some(b"BUSY") { ReplyKind::Busy } else { ReplyKind::Failed };
        let last = line.rsplit(|b| *b == b' ').next().filter(|w| w.contains(&b'='));
        if let Some(load) = last {
            self.load = load.to_vec();
        }
    }

    /// Writes a reply that serves, in a protocol, from the bytes that came with it. The value passes byte for
    /// byte; a type that RESP2 lacks becomes a bulk string there, as Redis has it.
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

    /// Writes what stands before a value of this length.
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

    /// Writes what stands behind the value.
    pub fn write_tail(&self, protocol: Protocol, out: &mut Vec<u8>) {
        out.extend_from_slice(b"\r\n");
        for part in [&self.note, &self.load] {
            match (part.is_empty(), protocol) {
                (false, _) => bulk(part, out),
                (true, Protocol::Two) => out.extend_from_slice(b"$-1\r\n"),
                (true, Protocol::Three) => out.extend_from_slice(b"_\r\n"),
            }
        }
    }
}

fn line(text: &[u8], out: &mut Vec<u8>) {
    out.extend_from_slice(text);
    out.extend_from_slice(b"\r\n");
}

pub(crate) fn bulk(text: &[u8], out: &mut Vec<u8>) {
    let _ = write!(out, "${}\r\n", text.len());
    line(text, out);
}

#[derive(Clone, Copy, Debug)]
enum ReplyState {
    Type,
    Count(Number),
    Length(Number),
    Line { cr: bool },
    Body(usize),
    Cr,
    Lf,
}

/// Parses the replies on a connection to a cache node: an array of value, note and load report, or an error
/// line.
///
/// Guards against replies that came to harm on their way or in the node: whatever does not have just this
/// shape is no reply, and nothing after it on the connection can be trusted. Danger: taken loosely, noise or
/// the tail of another reply could pass for the value that was asked for. A node that one day tells more in
/// its replies would be refused here altogether.
#[derive(Debug)]
pub struct ReplyParser {
    state: ReplyState,
    /// Number of the element at hand and of all; an error line has one.
    element: i64,
    elements: i64,
    array: bool,
    /// Bytes of the reply so far.
    taken: usize,
    line: Vec<u8>,
    reply: Reply,
    /// A value that is handed on in parts: what of it has not been taken, and whether its reply is whole.
    long: Option<Box<ReplyPart>>,
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
            long: None,
        }
    }
}

impl ReplyParser {
    /// True if a reply has begun and not ended.
    pub fn in_progress(&self) -> bool {
        self.array || !matches!(self.state, ReplyState::Type)
    }

    /// The part of a long value that the last input brought; call it after each [`ReplyParser::feed`].
    pub fn take_part(&mut self, whole: Option<&Reply>) -> Option<ReplyPart> {
        let long = self.long.as_mut()?;
        let part = ReplyPart { tail: whole.cloned(), ..std::mem::take(&mut **long) };
        if whole.is_some() {
            self.long = None;
        }
        Some(part)
    }

    /// Takes input until a reply ends or there is no more; tells how much it took, and the reply once it is
    /// whole. The bytes of a long value are not the caller's to keep: they come as parts.
    pub fn feed(&mut self, input: &[u8]) -> Result<(usize, Option<Reply>), ProtocolError> {
        let (mut at, before) = (0, self.taken);
        while at < input.len() {
            if let ReplyState::Body(left) = &mut self.state {
                let part = &input[at..input.len().min(at + *left)];
                if self.element > 0 {
                    self.line.extend_from_slice(part);
                } else if let Some(long) = &mut self.long {
                    long.bytes.extend_from_slice(part);
                }
                at += part.len();
                *left -= part.len();
                if *left == 0 {
                    self.state = ReplyState::Cr;
                }
                continue;
            }
            let byte = input[at];
            at += 1;
            if let Some(reply) = self.byte(byte, before + at)? {
                return Ok((at, Some(reply)));
            }
        }
        self.taken = before + at;
        Ok((at, None))
    }

    /// Takes a byte outside of a value; so many of the reply's are taken with it.
    fn byte(&mut self, byte: u8, taken: usize) -> Result<Option<Reply>, ProtocolError> {
        match &mut self.state {
            ReplyState::Type => {
                self.state = match (byte, self.array, self.element) {
                    (b'*', false, _) => ReplyState::Count(Number::default()),
                    (b'$', true, _) => ReplyState::Length(Number::default()),
                    // Notes and load reports may be plain lines.
                    (b'-', false, _) | (b'+', true, 1..) => ReplyState::Line { cr: false },
                    _ => return Err(ProtocolError("unknown type of reply")),
                };
                self.line.clear();
            }
            ReplyState::Count(number) => match number.push(byte)? {
                None => {}
                // A null array, or an empty one, carries no value.
                Some(-1 | 0) => return Ok(Some(self.end())),
                Some(ELEMENTS) => {
                    (self.array, self.elements) = (true, ELEMENTS);
                    self.state = ReplyState::Type;
                }
                Some(_) => return Err(ProtocolError("invalid array length")),
            },
            ReplyState::Length(number) => {
                let Some(n) = number.push(byte)? else { return Ok(None) };
                if n == -1 {
                    return Ok(self.next());
                }
                let most = if self.element == 0 { MAX_STREAMED_VALUE_BYTES } else { MAX_LINE };
                let length = usize::try_from(n).ok().filter(|n| *n <= most);
                let length = length.ok_or(ProtocolError("invalid bulk length"))?;
                self.state = if length == 0 { ReplyState::Cr } else { ReplyState::Body(length) };
                if self.element == 0 {
                    self.reply.kind = ReplyKind::Served;
                    if length > MAX_BUFFERED_VALUE_BYTES {
                        self.reply.shape = BodyFormat::BlobString;
                        let head = Some((BodyFormat::BlobString, length));
                        self.long = Some(Box::new(ReplyPart { head, ..ReplyPart::default() }));
                    } else {
                        self.reply.value = taken..taken + length;
                    }
                }
            }
            ReplyState::Line { cr } if !*cr => match byte {
                b'\r' => *cr = true,
                0..=31 | 127.. => return Err(ProtocolError("a line is not text")),
                _ if self.line.len() < MAX_LINE => self.line.push(byte),
                _ => return Err(ProtocolError("line is too long")),
            },
            ReplyState::Line { .. } if byte == b'\n' => {
                if !self.array {
                    self.reply.error(&self.line);
                }
                return Ok(self.next());
            }
            ReplyState::Cr if byte == b'\r' => self.state = ReplyState::Lf,
            ReplyState::Lf if byte == b'\n' => return Ok(self.next()),
            _ => return Err(ProtocolError("expected a line end")),
        }
        Ok(None)
    }

    /// Ends an element.
    fn next(&mut self) -> Option<Reply> {
        match self.element {
            1 => self.reply.note = std::mem::take(&mut self.line),
            2 => self.reply.load = std::mem::take(&mut self.line),
            _ => {}
        }
        self.line.clear();
        self.element += 1;
        if self.element >= self.elements {
            return Some(self.end());
        }
        self.state = ReplyState::Type;
        None
    }

    fn end(&mut self) -> Reply {
        let line = std::mem::take(&mut self.line);
        let long = self.long.take();
        let done = std::mem::replace(self, ReplyParser { line, long, ..ReplyParser::default() });
        done.reply
    }
}
