//! A decoder for the frames of RESP2 and RESP3, which emits events in one pass over the input, within limits
//! on what a peer may send.

use crate::length::LengthParser;
use crate::{ProtocolError, MAX_BUFFERED_VALUE_BYTES, MAX_LINE_BYTES};

/// The limits of one frame, including all nested frames and the streamed types.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The depth of nested aggregates.
    pub max_depth: usize,
    /// The elements of all aggregates together; a pair of a map counts as two.
    pub max_elements: usize,
    /// The bytes of one blob, including all its chunks.
    pub max_blob_bytes: usize,
    /// The bytes of all lines and blobs together.
    pub max_total_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_depth: 16,
            max_elements: 1 << 10,
            max_blob_bytes: MAX_BUFFERED_VALUE_BYTES,
            max_total_bytes: 4 * MAX_BUFFERED_VALUE_BYTES,
        }
    }
}

/// The aggregate types, whose frames contain others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Aggregate {
    /// An ordered collection.
    Array,
    /// An unordered collection.
    Set,
    /// Keys and values in turn.
    Map,
    /// Keys and values in turn, with metadata of the value that follows.
    Attribute,
    /// Out-of-band data. It may come between the elements of another aggregate, but is not one of them.
    Push,
}

/// The types whose length precedes their bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BlobKind {
    /// A blob string, which RESP2 calls a bulk string.
    String,
    /// A blob error.
    Error,
    /// A verbatim string, with its format: `txt` or `mkd`.
    Verbatim([u8; 3]),
}

/// A decoded piece of a frame.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event<'a> {
    /// Null, including RESP2's null bulk string and null array.
    Null,
    /// `#t` or `#f`.
    Boolean(bool),
    /// `:`, an integer.
    Integer(i64),
    /// `,`, a double and its text.
    Double(f64, &'a [u8]),
    /// `(`, the validated text of a big number.
    BigNumber(&'a [u8]),
    /// `+`, a simple string.
    SimpleString(&'a [u8]),
    /// `-`, a simple error.
    SimpleError(&'a [u8]),
    /// A blob starts, with its length, or 0 if it is streamed.
    BlobBegin(BlobKind, usize),
    /// The next bytes of the blob.
    BlobBytes(&'a [u8]),
    /// The blob is complete.
    BlobEnd,
    /// An aggregate starts, with the number of its elements, or pairs, unless it is streamed.
    AggregateBegin(Aggregate, Option<usize>),
    /// The innermost open aggregate is complete.
    AggregateEnd(Aggregate),
}

/// What the last byte taken completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completed {
    /// A frame at the top level.
    Frame,
    /// A push, at any level.
    Push,
}

/// An open aggregate or streamed string.
#[derive(Clone, Copy, Debug)]
enum Level {
    /// An aggregate with a count, and the number of elements that are still to come.
    Counted(Aggregate, usize),
    /// A streamed aggregate, and whether it has an odd number of elements so far.
    Streamed(Aggregate, bool),
    /// A streamed string, and the number of its bytes so far.
    Chunks(usize),
}

/// The longest text of an integer: a sign and the 19 digits of a 64-bit number.
const MAX_INTEGER_BYTES: usize = 20;
/// The longest text of a double.
const MAX_DOUBLE_BYTES: usize = 128;

/// The types that consist of one line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LineType {
    Null,
    Boolean,
    Integer,
    Double,
    BigNumber,
    SimpleString,
    SimpleError,
}

impl LineType {
    /// The most bytes between the type byte and the line end.
    fn max_bytes(self) -> usize {
        match self {
            LineType::Null => 0,
            LineType::Boolean => 1,
            LineType::Integer => MAX_INTEGER_BYTES,
            LineType::Double => MAX_DOUBLE_BYTES,
            LineType::BigNumber | LineType::SimpleString | LineType::SimpleError => MAX_LINE_BYTES,
        }
    }
}

/// The types that start with a length or count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Header {
    Blob,
    BlobError,
    Verbatim,
    Aggregate(Aggregate),
    Chunk,
}

impl Header {
    /// True if RESP3 has a streamed form of the type, with `?` instead of the length.
    fn may_be_streamed(self) -> bool {
        matches!(self, Header::Blob | Header::Aggregate(Aggregate::Array | Aggregate::Set | Aggregate::Map))
    }
}

/// What the decoder expects next.
#[derive(Clone, Copy, Debug)]
enum State {
    /// Expects the type byte of a frame or chunk.
    Type,
    Line(LineType),
    /// The CR of the line has been read.
    LineEnd(LineType),
    Length(Header, LengthParser),
    /// `?` has been read in place of the length, and whether the CR has.
    StreamedLength(Header, bool),
    /// The first bytes of a verbatim string with their number, and the length of the text after them.
    Format([u8; 4], usize, usize),
    /// The bytes of a blob or chunk that are still to come.
    Body(usize),
    /// Expects the CRLF after a body, and whether the CR has been read.
    BodyEnd(bool),
    /// The end marker of a streamed aggregate has been read, and whether the CR has.
    EndMarker(bool),
}

/// What the current frame has used of its limits.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    elements: usize,
    bytes: usize,
    /// An attribute has been read, but not the value that it belongs to.
    attributed: bool,
}

/// Decodes frames into events. It buffers one line at most; the bytes of blobs are emitted as they arrive.
#[derive(Debug)]
pub struct Decoder {
    limits: Limits,
    state: State,
    stack: Vec<Level>,
    usage: Usage,
    /// While a push is read: the usage of the frame around it.
    enclosing_usage: Option<Usage>,
    line: Vec<u8>,
}

impl Default for Decoder {
    fn default() -> Self {
        Decoder::new(Limits::default())
    }
}

impl Decoder {
    /// A decoder for a new connection.
    pub fn new(limits: Limits) -> Self {
        Decoder {
            limits,
            state: State::Type,
            stack: Vec::new(),
            usage: Usage::default(),
            enclosing_usage: None,
            line: Vec::new(),
        }
    }

    /// True if the input so far ends within a frame, or between an attribute and its value.
    pub fn in_progress(&self) -> bool {
        !matches!(self.state, State::Type) || !self.stack.is_empty() || self.usage.attributed
    }

    /// Takes input up to the end of a frame or of a push and emits its events; returns the number of bytes
    /// taken, and what was completed.
    ///
    /// # Errors
    /// The input is not valid, exceeds a limit, or `emit` failed. Nothing after it can be parsed.
    pub fn feed(
        &mut self,
        input: &[u8],
        mut emit: impl FnMut(Event<'_>) -> Result<(), ProtocolError>,
    ) -> Result<(usize, Option<Completed>), ProtocolError> {
        let mut at = 0;
        while at < input.len() {
            match &mut self.state {
                State::Body(remaining) => {
                    let part = &input[at..input.len().min(at + *remaining)];
                    *remaining -= part.len();
                    at += part.len();
                    if *remaining == 0 {
                        self.state = State::BodyEnd(false);
                    }
                    emit(Event::BlobBytes(part))?;
                    continue;
                }
                State::Line(line_type) => {
                    let rest = &input[at..];
                    let end = memchr::memchr2(b'\r', b'\n', rest);
                    let part = &rest[..end.unwrap_or(rest.len())];
                    if self.line.len() + part.len() > line_type.max_bytes() {
                        return Err(ProtocolError("line is too long"));
                    }
                    self.line.extend_from_slice(part);
                    at += part.len();
                    if end.is_some() {
                        if input[at] == b'\n' {
                            return Err(ProtocolError("expected a line end"));
                        }
                        self.state = State::LineEnd(*line_type);
                        at += 1;
                    }
                    continue;
                }
                _ => {}
            }
            let byte = input[at];
            at += 1;
            if let Some(completed) = self.push_byte(byte, &mut emit)? {
                return Ok((at, Some(completed)));
            }
        }
        Ok((at, None))
    }

    /// Takes a byte outside of a line or body.
    fn push_byte(
        &mut self,
        byte: u8,
        emit: &mut impl FnMut(Event<'_>) -> Result<(), ProtocolError>,
    ) -> Result<Option<Completed>, ProtocolError> {
        match &mut self.state {
            State::Type => self.begin_frame(byte)?,
            State::LineEnd(line_type) if byte == b'\n' => {
                let line_type = *line_type;
                return self.finish_line(line_type, emit);
            }
            State::Length(header, parser) => {
                let header = *header;
                if byte == b'?' && *parser == LengthParser::default() && header.may_be_streamed() {
                    self.state = State::StreamedLength(header, false);
                } else if let Some(length) = parser.push(byte)? {
                    return self.finish_length(header, length, emit);
                }
            }
            State::StreamedLength(header, false) if byte == b'\r' => {
                self.state = State::StreamedLength(*header, true)
            }
            State::StreamedLength(header, true) if byte == b'\n' => {
                let level = match *header {
                    Header::Aggregate(aggregate) => {
                        emit(Event::AggregateBegin(aggregate, None))?;
                        Level::Streamed(aggregate, false)
                    }
                    _ => {
                        emit(Event::BlobBegin(BlobKind::String, 0))?;
                        Level::Chunks(0)
                    }
                };
                self.open(level)?;
            }
            State::Format(format, filled, length) => {
                format[*filled] = byte;
                *filled += 1;
                if *filled == format.len() {
                    let [a, b, c, colon] = *format;
                    if colon != b':' {
                        return Err(ProtocolError("verbatim string without a format"));
                    }
                    let length = *length;
                    emit(Event::BlobBegin(BlobKind::Verbatim([a, b, c]), length))?;
                    self.begin_body(length);
                }
            }
            State::BodyEnd(false) if byte == b'\r' => self.state = State::BodyEnd(true),
            State::BodyEnd(true) if byte == b'\n' => {
                self.state = State::Type;
                // The end of a chunk does not end its string.
                if !matches!(self.stack.last(), Some(Level::Chunks(_))) {
                    emit(Event::BlobEnd)?;
                    return self.finish_value(emit);
                }
            }
            State::EndMarker(false) if byte == b'\r' => self.state = State::EndMarker(true),
            State::EndMarker(true) if byte == b'\n' => {
                self.state = State::Type;
                let Some(Level::Streamed(aggregate, _)) = self.stack.pop() else {
                    return Err(ProtocolError("unexpected end marker"));
                };
                emit(Event::AggregateEnd(aggregate))?;
                return self.finish_value(emit);
            }
            _ => return Err(ProtocolError("expected a line end")),
        }
        Ok(None)
    }

    /// Takes the type byte of a frame, chunk or end marker.
    fn begin_frame(&mut self, byte: u8) -> Result<(), ProtocolError> {
        let header = |header| State::Length(header, LengthParser::default());
        let in_chunks = matches!(self.stack.last(), Some(Level::Chunks(_)));
        self.state = match byte {
            b'>' if self.enclosing_usage.is_some() => return Err(ProtocolError("push within a push")),
            b'>' => header(Header::Aggregate(Aggregate::Push)),
            b';' if in_chunks => header(Header::Chunk),
            _ if in_chunks => return Err(ProtocolError("expected a chunk")),
            b'|' => header(Header::Aggregate(Aggregate::Attribute)),
            b'.' => match self.stack.last() {
                Some(Level::Streamed(Aggregate::Map, true)) => {
                    return Err(ProtocolError("map key without a value"))
                }
                Some(Level::Streamed(..)) if !self.usage.attributed => State::EndMarker(false),
                _ => return Err(ProtocolError("unexpected end marker")),
            },
            _ => {
                self.usage.attributed = false;
                match byte {
                    b'$' => header(Header::Blob),
                    b'!' => header(Header::BlobError),
                    b'=' => header(Header::Verbatim),
                    b'*' => header(Header::Aggregate(Aggregate::Array)),
                    b'~' => header(Header::Aggregate(Aggregate::Set)),
                    b'%' => header(Header::Aggregate(Aggregate::Map)),
                    b'_' => State::Line(LineType::Null),
                    b'#' => State::Line(LineType::Boolean),
                    b':' => State::Line(LineType::Integer),
                    b',' => State::Line(LineType::Double),
                    b'(' => State::Line(LineType::BigNumber),
                    b'+' => State::Line(LineType::SimpleString),
                    b'-' => State::Line(LineType::SimpleError),
                    _ => return Err(ProtocolError("unknown type byte")),
                }
            }
        };
        self.line.clear();
        Ok(())
    }

    /// Emits the event of a complete line.
    fn finish_line(
        &mut self,
        line_type: LineType,
        emit: &mut impl FnMut(Event<'_>) -> Result<(), ProtocolError>,
    ) -> Result<Option<Completed>, ProtocolError> {
        self.state = State::Type;
        self.add_usage(0, self.line.len())?;
        let text = &self.line[..];
        emit(match line_type {
            LineType::Null => Event::Null,
            LineType::Boolean if text == b"t" || text == b"f" => Event::Boolean(text == b"t"),
            LineType::Boolean => return Err(ProtocolError("invalid boolean")),
            LineType::Integer => Event::Integer(parse_integer(text).ok_or(ProtocolError("invalid number"))?),
            LineType::Double => {
                Event::Double(parse_double(text).ok_or(ProtocolError("invalid double"))?, text)
            }
            LineType::BigNumber if is_digits(without_sign(text)) => Event::BigNumber(text),
            LineType::BigNumber => return Err(ProtocolError("invalid big number")),
            LineType::SimpleString => Event::SimpleString(text),
            LineType::SimpleError => Event::SimpleError(text),
        })?;
        self.finish_value(emit)
    }

    /// Starts the frame whose length or count has been read.
    fn finish_length(
        &mut self,
        header: Header,
        length: i64,
        emit: &mut impl FnMut(Event<'_>) -> Result<(), ProtocolError>,
    ) -> Result<Option<Completed>, ProtocolError> {
        self.state = State::Type;
        if length == -1 && matches!(header, Header::Blob | Header::Aggregate(Aggregate::Array)) {
            emit(Event::Null)?;
            return self.finish_value(emit);
        }
        let length = usize::try_from(length).map_err(|_| ProtocolError("invalid length"))?;
        if let Header::Aggregate(aggregate) = header {
            let count = match aggregate {
                Aggregate::Map | Aggregate::Attribute => length.saturating_mul(2),
                Aggregate::Push if length == 0 => return Err(ProtocolError("empty push")),
                _ => length,
            };
            if aggregate == Aggregate::Push {
                self.enclosing_usage = Some(std::mem::take(&mut self.usage));
            }
            self.add_usage(count, 0)?;
            emit(Event::AggregateBegin(aggregate, Some(length)))?;
            self.open(Level::Counted(aggregate, count))?;
            return if count == 0 { self.close_finished(emit) } else { Ok(None) };
        }
        if length > self.limits.max_blob_bytes {
            return Err(ProtocolError("invalid bulk length"));
        }
        self.add_usage(0, length)?;
        match header {
            Header::Verbatim => {
                let text_length =
                    length.checked_sub(4).ok_or(ProtocolError("verbatim string without a format"))?;
                self.state = State::Format([0; 4], 0, text_length);
            }
            Header::Chunk => {
                let Some(Level::Chunks(total)) = self.stack.last_mut() else {
                    return Err(ProtocolError("chunk outside of a streamed string"));
                };
                *total += length;
                if *total > self.limits.max_blob_bytes {
                    return Err(ProtocolError("invalid bulk length"));
                }
                if length == 0 {
                    self.stack.pop();
                    emit(Event::BlobEnd)?;
                    return self.finish_value(emit);
                }
                self.state = State::Body(length);
            }
            _ => {
                let blob = if header == Header::Blob { BlobKind::String } else { BlobKind::Error };
                emit(Event::BlobBegin(blob, length))?;
                self.begin_body(length);
            }
        }
        Ok(None)
    }

    fn begin_body(&mut self, length: usize) {
        self.state = if length == 0 { State::BodyEnd(false) } else { State::Body(length) };
    }

    /// Opens an aggregate or streamed string.
    fn open(&mut self, level: Level) -> Result<(), ProtocolError> {
        if self.stack.len() >= self.limits.max_depth {
            return Err(ProtocolError("aggregates nested too deep"));
        }
        self.stack.push(level);
        self.state = State::Type;
        Ok(())
    }

    /// Counts elements and bytes against the limits of the current frame.
    fn add_usage(&mut self, elements: usize, bytes: usize) -> Result<(), ProtocolError> {
        self.usage.elements = self.usage.elements.saturating_add(elements);
        self.usage.bytes = self.usage.bytes.saturating_add(bytes);
        if self.usage.elements > self.limits.max_elements || self.usage.bytes > self.limits.max_total_bytes {
            return Err(ProtocolError("frame exceeds the element or byte limit"));
        }
        Ok(())
    }

    /// Ends a value, and the innermost open aggregate with it if the value is its last element.
    fn finish_value(
        &mut self,
        emit: &mut impl FnMut(Event<'_>) -> Result<(), ProtocolError>,
    ) -> Result<Option<Completed>, ProtocolError> {
        match self.stack.last_mut() {
            None => {
                self.usage = Usage::default();
                return Ok(Some(Completed::Frame));
            }
            Some(Level::Counted(_, remaining)) => {
                *remaining -= 1;
                if *remaining == 0 {
                    return self.close_finished(emit);
                }
            }
            Some(Level::Streamed(_, odd)) => {
                *odd = !*odd;
                self.add_usage(1, 0)?;
            }
            Some(Level::Chunks(_)) => return Err(ProtocolError("expected a chunk")),
        }
        Ok(None)
    }

    /// Ends the open aggregates that have all their elements. An attribute or push is not an element of the
    /// aggregate around it.
    fn close_finished(
        &mut self,
        emit: &mut impl FnMut(Event<'_>) -> Result<(), ProtocolError>,
    ) -> Result<Option<Completed>, ProtocolError> {
        while let Some(Level::Counted(aggregate, 0)) = self.stack.last().copied() {
            self.stack.pop();
            emit(Event::AggregateEnd(aggregate))?;
            match (aggregate, self.stack.last_mut()) {
                (Aggregate::Attribute, _) => {
                    self.usage.attributed = true;
                    return Ok(None);
                }
                (Aggregate::Push, _) => {
                    self.usage = self.enclosing_usage.take().unwrap_or_default();
                    return Ok(Some(Completed::Push));
                }
                (_, Some(Level::Counted(_, remaining))) => *remaining -= 1,
                _ => return self.finish_value(emit),
            }
        }
        Ok(None)
    }
}

/// The text of a number without its sign, if it has one.
fn without_sign(text: &[u8]) -> &[u8] {
    text.strip_prefix(b"-").or(text.strip_prefix(b"+")).unwrap_or(text)
}

fn is_digits(text: &[u8]) -> bool {
    !text.is_empty() && text.iter().all(u8::is_ascii_digit)
}

fn parse_integer(text: &[u8]) -> Option<i64> {
    if !is_digits(without_sign(text)) {
        return None;
    }
    std::str::from_utf8(text).ok()?.parse().ok()
}

/// Parses a double as the specification defines it: digits with an optional fraction and exponent, or one of
/// the words for infinities and NaN.
fn parse_double(text: &[u8]) -> Option<f64> {
    match text {
        b"inf" | b"+inf" => return Some(f64::INFINITY),
        b"-inf" => return Some(f64::NEG_INFINITY),
        b"nan" => return Some(f64::NAN),
        _ => {}
    }
    let is_allowed = |b: &u8| b.is_ascii_digit() || b".eE+-".contains(b);
    let starts_with_digit = without_sign(text).first().is_some_and(u8::is_ascii_digit);
    if !starts_with_digit || !text.iter().all(is_allowed) {
        return None;
    }
    std::str::from_utf8(text).ok()?.parse().ok()
}
