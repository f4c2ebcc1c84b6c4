//! Frames of RESP2 and RESP3 as events, one pass over the input, with bounds on all that a peer can say.

use crate::number::Number;
use crate::{ProtocolError, MAX_BUFFERED_VALUE_BYTES, MAX_LINE};

/// What one frame may be at the most, streamed forms and all that is nested in it counted.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Groups within groups.
    pub max_depth: usize,
    /// Elements of all groups together; a pair of a map counts as two.
    pub max_elements: usize,
    /// Bytes of one blob, all its chunks together.
    pub max_blob_bytes: usize,
    /// Bytes of all lines and blobs together.
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

/// Frames that hold others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Aggregate {
    /// In order.
    Array,
    /// In no order.
    Set,
    /// Keys and values in turn.
    Map,
    /// A map that tells something of the value behind it.
    Attribute,
    /// What nobody asked for; it is an element of nothing.
    Push,
}

/// Frames of bytes that are told their length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BlobKind {
    /// Any bytes.
    String,
    /// An error.
    Error,
    /// A text, and how it is written: `txt` or `mkd`.
    Verbatim([u8; 3]),
}

/// A part of a frame.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event<'a> {
    /// Nothing; RESP2's null strings and arrays as well.
    Null,
    /// `#t` or `#f`.
    Boolean(bool),
    /// `:`
    Integer(i64),
    /// `,` with its text.
    Double(f64, &'a [u8]),
    /// `(`, its text checked.
    BigNumber(&'a [u8]),
    /// `+`
    SimpleString(&'a [u8]),
    /// `-`
    SimpleError(&'a [u8]),
    /// A blob begins, of so many bytes if that is told (0 if not), ...
    BlobBegin(BlobKind, usize),
    /// ... some of its bytes, ...
    BlobBytes(&'a [u8]),
    /// ... and it is whole.
    BlobEnd,
    /// A group begins, and how many elements it has if that is told.
    AggregateBegin(Aggregate, Option<usize>),
    /// The group that began last is whole.
    AggregateEnd(Aggregate),
}

/// What was ended by the last byte that was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completed {
    /// A frame at the top.
    Frame,
    /// A push, wherever it stood.
    Push,
}

/// What holds the elements that are being read.
#[derive(Clone, Copy, Debug)]
enum Level {
    /// A group, and how many elements are to come.
    Counted(Aggregate, usize),
    /// A group that says when it ends; its elements so far are odd in number.
    Streamed(Aggregate, bool),
    /// A string that says when it ends, and its bytes so far.
    Chunks(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Line {
    Null,
    Boolean,
    Integer,
    Double,
    BigNumber,
    SimpleString,
    SimpleError,
}

impl Line {
    /// How long it may be.
    fn most(self) -> usize {
        match self {
            Line::Null => 0,
            Line::Boolean => 1,
            Line::Integer => 20,
            Line::Double => 128,
            Line::BigNumber | Line::SimpleString | Line::SimpleError => MAX_LINE,
        }
    }
}

/// What a length belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Header {
    Blob,
    BlobError,
    Verbatim,
    Aggregate(Aggregate),
    Chunk,
}

impl Header {
    /// RESP3 has it without a length.
    fn streams(self) -> bool {
        matches!(self, Header::Blob | Header::Aggregate(Aggregate::Array | Aggregate::Set | Aggregate::Map))
    }
}

#[derive(Clone, Copy, Debug)]
enum State {
    /// A frame begins, or a chunk.
    Type,
    Line(Line),
    /// The line's `\r` has come.
    LineEnd(Line),
    Length(Header, Number),
    /// `?` stands in its place; `\r` has come.
    Unknown(Header, bool),
    /// The format of a verbatim string: so many bytes of it, and the text's length.
    Format([u8; 4], usize, usize),
    Body(usize),
    BodyEnd(bool),
    /// The end of a streamed group; `\r` has come.
    Dot(bool),
}

/// What is set aside while a push is read.
#[derive(Clone, Copy, Debug, Default)]
struct Spent {
    elements: usize,
    bytes: usize,
    /// An attribute waits for the value that it belongs to.
    attributed: bool,
}

/// Reads frames. It keeps a line at the most; all else is handed on as it comes.
#[derive(Debug)]
pub struct Decoder {
    limits: Limits,
    state: State,
    levels: Vec<Level>,
    spent: Spent,
    /// Set aside for the push at hand.
    outer: Option<Spent>,
    line: Vec<u8>,
}

impl Default for Decoder {
    fn default() -> Self {
        Decoder::new(Limits::default())
    }
}

impl Decoder {
    /// A decoder at the start of a connection.
    pub fn new(limits: Limits) -> Self {
        Decoder {
            limits,
            state: State::Type,
            levels: Vec::new(),
            spent: Spent::default(),
            outer: None,
            line: Vec::new(),
        }
    }

    /// True if a frame has begun and not ended.
    pub fn in_progress(&self) -> bool {
        !matches!(self.state, State::Type) || !self.levels.is_empty() || self.spent.attributed
    }

    /// Takes input up to the end of a frame or of a push; tells how much it took.
    ///
    /// # Errors
    /// The input is not the protocol's, goes past a limit, or `tell` said so. Nothing can be understood after it.
    pub fn feed(
        &mut self,
        input: &[u8],
        mut tell: impl FnMut(Event<'_>) -> Result<(), ProtocolError>,
    ) -> Result<(usize, Option<Completed>), ProtocolError> {
        let mut at = 0;
        while at < input.len() {
            match &mut self.state {
                State::Body(left) => {
                    let part = &input[at..input.len().min(at + *left)];
                    *left -= part.len();
                    at += part.len();
                    if *left == 0 {
                        self.state = State::BodyEnd(false);
                    }
                    tell(Event::BlobBytes(part))?;
                    continue;
                }
                State::Line(kind) => {
                    let rest = &input[at..];
                    let end = memchr::memchr2(b'\r', b'\n', rest);
                    let part = &rest[..end.unwrap_or(rest.len())];
                    if self.line.len() + part.len() > kind.most() {
                        return Err(ProtocolError("line is too long"));
                    }
                    self.line.extend_from_slice(part);
                    at += part.len();
                    if end.is_some() {
                        if input[at] == b'\n' {
                            return Err(ProtocolError("expected a line end"));
                        }
                        self.state = State::LineEnd(*kind);
                        at += 1;
                    }
                    continue;
                }
                _ => {}
            }
            let byte = input[at];
            at += 1;
            if let Some(whole) = self.byte(byte, &mut tell)? {
                return Ok((at, Some(whole)));
            }
        }
        Ok((at, None))
    }

    fn byte(
        &mut self,
        byte: u8,
        tell: &mut impl FnMut(Event<'_>) -> Result<(), ProtocolError>,
    ) -> Result<Option<Completed>, ProtocolError> {
        match &mut self.state {
            State::Type => self.begin(byte)?,
            State::LineEnd(kind) if byte == b'\n' => {
                let kind = *kind;
                return self.line(kind, tell);
            }
            State::Length(header, number) => {
                let header = *header;
                if byte == b'?' && *number == Number::default() && header.streams() {
                    self.state = State::Unknown(header, false);
                } else if let Some(length) = number.push(byte)? {
                    return self.length(header, length, tell);
                }
            }
            State::Unknown(header, false) if byte == b'\r' => self.state = State::Unknown(*header, true),
            State::Unknown(header, true) if byte == b'\n' => {
                let level = match *header {
                    Header::Aggregate(group) => {
                        tell(Event::AggregateBegin(group, None))?;
                        Level::Streamed(group, false)
                    }
                    _ => {
                        tell(Event::BlobBegin(BlobKind::String, 0))?;
                        Level::Chunks(0)
                    }
                };
                self.push(level)?;
            }
            State::Format(format, got, length) => {
                format[*got] = byte;
                *got += 1;
                if *got == format.len() {
                    let [a, b, c, colon] = *format;
                    if colon != b':' {
                        return Err(ProtocolError("a verbatim string has no format"));
                    }
                    let left = *length;
                    tell(Event::BlobBegin(BlobKind::Verbatim([a, b, c]), left))?;
                    self.body(left);
                }
            }
            State::BodyEnd(false) if byte == b'\r' => self.state = State::BodyEnd(true),
            State::BodyEnd(true) if byte == b'\n' => {
                self.state = State::Type;
                // A chunk ends; its string does not.
                if !matches!(self.levels.last(), Some(Level::Chunks(_))) {
                    tell(Event::BlobEnd)?;
                    return self.complete(tell);
                }
            }
            State::Dot(false) if byte == b'\r' => self.state = State::Dot(true),
            State::Dot(true) if byte == b'\n' => {
                self.state = State::Type;
                let Some(Level::Streamed(group, _)) = self.levels.pop() else {
                    return Err(ProtocolError("nothing to end"));
                };
                tell(Event::AggregateEnd(group))?;
                return self.complete(tell);
            }
            _ => return Err(ProtocolError("expected a line end")),
        }
        Ok(None)
    }

    fn begin(&mut self, byte: u8) -> Result<(), ProtocolError> {
        let header = |header| State::Length(header, Number::default());
        let chunks = matches!(self.levels.last(), Some(Level::Chunks(_)));
        self.state = match byte {
            b'>' if self.outer.is_some() => return Err(ProtocolError("a push within a push")),
            b'>' => header(Header::Aggregate(Aggregate::Push)),
            b';' if chunks => header(Header::Chunk),
            _ if chunks => return Err(ProtocolError("expected a chunk")),
            b'|' => header(Header::Aggregate(Aggregate::Attribute)),
            b'.' => match self.levels.last() {
                Some(Level::Streamed(Aggregate::Map, true)) => {
                    return Err(ProtocolError("a key without a value"))
                }
                Some(Level::Streamed(..)) if !self.spent.attributed => State::Dot(false),
                _ => return Err(ProtocolError("nothing to end")),
            },
            _ => {
                self.spent.attributed = false;
                match byte {
                    b'$' => header(Header::Blob),
                    b'!' => header(Header::BlobError),
                    b'=' => header(Header::Verbatim),
                    b'*' => header(Header::Aggregate(Aggregate::Array)),
                    b'~' => header(Header::Aggregate(Aggregate::Set)),
                    b'%' => header(Header::Aggregate(Aggregate::Map)),
                    b'_' => State::Line(Line::Null),
                    b'#' => State::Line(Line::Boolean),
                    b':' => State::Line(Line::Integer),
                    b',' => State::Line(Line::Double),
                    b'(' => State::Line(Line::BigNumber),
                    b'+' => State::Line(Line::SimpleString),
                    b'-' => State::Line(Line::SimpleError),
                    _ => return Err(ProtocolError("unknown type")),
                }
            }
        };
        self.line.clear();
        Ok(())
    }

    fn line(
        &mut self,
        kind: Line,
        tell: &mut impl FnMut(Event<'_>) -> Result<(), ProtocolError>,
    ) -> Result<Option<Completed>, ProtocolError> {
        self.state = State::Type;
        self.spend(0, self.line.len())?;
        let text = &self.line[..];
        tell(match kind {
            Line::Null => Event::Null,
            Line::Boolean if text == b"t" || text == b"f" => Event::Boolean(text == b"t"),
            Line::Boolean => return Err(ProtocolError("invalid boolean")),
            Line::Integer => Event::Integer(integer(text).ok_or(ProtocolError("invalid number"))?),
            Line::Double => Event::Double(double(text).ok_or(ProtocolError("invalid double"))?, text),
            Line::BigNumber if digits(unsigned(text)) => Event::BigNumber(text),
            Line::BigNumber => return Err(ProtocolError("invalid big number")),
            Line::SimpleString => Event::SimpleString(text),
            Line::SimpleError => Event::SimpleError(text),
        })?;
        self.complete(tell)
    }

    fn length(
        &mut self,
        header: Header,
        length: i64,
        tell: &mut impl FnMut(Event<'_>) -> Result<(), ProtocolError>,
    ) -> Result<Option<Completed>, ProtocolError> {
        self.state = State::Type;
        if length == -1 && matches!(header, Header::Blob | Header::Aggregate(Aggregate::Array)) {
            tell(Event::Null)?;
            return self.complete(tell);
        }
        let length = usize::try_from(length).map_err(|_| ProtocolError("invalid length"))?;
        if let Header::Aggregate(group) = header {
            let count = match group {
                Aggregate::Map | Aggregate::Attribute => length.saturating_mul(2),
                Aggregate::Push if length == 0 => return Err(ProtocolError("an empty push")),
                _ => length,
            };
            if group == Aggregate::Push {
                self.outer = Some(std::mem::take(&mut self.spent));
            }
            self.spend(count, 0)?;
            tell(Event::AggregateBegin(group, Some(length)))?;
            self.push(Level::Counted(group, count))?;
            return if count == 0 { self.close(tell) } else { Ok(None) };
        }
        if length > self.limits.max_blob_bytes {
            return Err(ProtocolError("invalid bulk length"));
        }
        self.spend(0, length)?;
        match header {
            Header::Verbatim => {
                let text = length.checked_sub(4).ok_or(ProtocolError("a verbatim string has no format"))?;
                self.state = State::Format([0; 4], 0, text);
            }
            Header::Chunk => {
                let Some(Level::Chunks(sum)) = self.levels.last_mut() else {
                    return Err(ProtocolError("a chunk of nothing"));
                };
                *sum += length;
                if *sum > self.limits.max_blob_bytes {
                    return Err(ProtocolError("invalid bulk length"));
                }
                if length == 0 {
                    self.levels.pop();
                    tell(Event::BlobEnd)?;
                    return self.complete(tell);
                }
                self.state = State::Body(length);
            }
            _ => {
                let blob = if header == Header::Blob { BlobKind::String } else { BlobKind::Error };
                tell(Event::BlobBegin(blob, length))?;
                self.body(length);
            }
        }
        Ok(None)
    }

    fn body(&mut self, length: usize) {
        self.state = if length == 0 { State::BodyEnd(false) } else { State::Body(length) };
    }

    fn push(&mut self, level: Level) -> Result<(), ProtocolError> {
        if self.levels.len() >= self.limits.max_depth {
            return Err(ProtocolError("nested too deep"));
        }
        self.levels.push(level);
        self.state = State::Type;
        Ok(())
    }

    fn spend(&mut self, elements: usize, bytes: usize) -> Result<(), ProtocolError> {
        self.spent.elements = self.spent.elements.saturating_add(elements);
        self.spent.bytes = self.spent.bytes.saturating_add(bytes);
        if self.spent.elements > self.limits.max_elements || self.spent.bytes > self.limits.max_total_bytes {
            return Err(ProtocolError("too long"));
        }
        Ok(())
    }

    /// A value is whole: it is an element of the group at hand, which may be whole with it.
    fn complete(
        &mut self,
        tell: &mut impl FnMut(Event<'_>) -> Result<(), ProtocolError>,
    ) -> Result<Option<Completed>, ProtocolError> {
        match self.levels.last_mut() {
            None => {
                self.spent = Spent::default();
                return Ok(Some(Completed::Frame));
            }
            Some(Level::Counted(_, left)) => {
                *left -= 1;
                if *left == 0 {
                    return self.close(tell);
                }
            }
            Some(Level::Streamed(_, odd)) => {
                *odd = !*odd;
                self.spend(1, 0)?;
            }
            Some(Level::Chunks(_)) => return Err(ProtocolError("expected a chunk")),
        }
        Ok(None)
    }

    /// Ends the groups that have all their elements. Attributes and pushes are no elements themselves.
    fn close(
        &mut self,
        tell: &mut impl FnMut(Event<'_>) -> Result<(), ProtocolError>,
    ) -> Result<Option<Completed>, ProtocolError> {
        while let Some(Level::Counted(group, 0)) = self.levels.last().copied() {
            self.levels.pop();
            tell(Event::AggregateEnd(group))?;
            match (group, self.levels.last_mut()) {
                (Aggregate::Attribute, _) => {
                    self.spent.attributed = true;
                    return Ok(None);
                }
                (Aggregate::Push, _) => {
                    self.spent = self.outer.take().unwrap_or_default();
                    return Ok(Some(Completed::Push));
                }
                (_, Some(Level::Counted(_, left))) => *left -= 1,
                _ => return self.complete(tell),
            }
        }
        Ok(None)
    }
}

fn unsigned(text: &[u8]) -> &[u8] {
    text.strip_prefix(b"-").or(text.strip_prefix(b"+")).unwrap_or(text)
}

fn digits(text: &[u8]) -> bool {
    !text.is_empty() && text.iter().all(u8::is_ascii_digit)
}

fn integer(text: &[u8]) -> Option<i64> {
    if !digits(unsigned(text)) {
        return None;
    }
    std::str::from_utf8(text).ok()?.parse().ok()
}

/// A double as the specification has it: digits, a fraction, an exponent, or one of three words.
fn double(text: &[u8]) -> Option<f64> {
    match text {
        b"inf" | b"+inf" => return Some(f64::INFINITY),
        b"-inf" => return Some(f64::NEG_INFINITY),
        b"nan" => return Some(f64::NAN),
        _ => {}
    }
    let plain = |b: &u8| b.is_ascii_digit() || b".eE+-".contains(b);
    let begins = unsigned(text).first().is_some_and(u8::is_ascii_digit);
    if !begins || !text.iter().all(plain) {
        return None;
    }
    std::str::from_utf8(text).ok()?.parse().ok()
}
