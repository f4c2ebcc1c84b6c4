//! What a cache node says once it has been greeted with `HELLO 3`: the answer to that, replies in RESP3, pushes.
//!
//! A reply that serves may be an array of value, note and load report as in RESP2, a map that names them, or the
//! value alone with the rest in an attribute before it. The load report may be a text or a map of its figures.

use crate::frame::FrameReader;
use crate::{
    Aggregate, BlobKind, BodyFormat, Completed, Decoder, Event, Frame, FrameBuilder, Limits, Protocol,
    ProtocolError, Reply, ReplyKind, ReplyParser, ReplyPart, MAX_BUFFERED_VALUE_BYTES, MAX_LINE,
    MAX_STREAMED_VALUE_BYTES,
};

/// Something that a cache node said.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerMessage {
    /// A reply, and in RESP3 its value; in RESP2 its bytes are those that were taken.
    Reply(Reply, Vec<u8>),
    /// A part of a reply whose value is long.
    Part(ReplyPart),
    /// A push: its kind and what it tells.
    Push(Vec<Frame>),
}

/// What the value that comes next is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    /// The whole reply.
    Top,
    Value,
    Note,
    Load,
    /// A key, of a reply or of an attribute.
    Key,
    /// A key of a load report, and the figure under it.
    Column,
    Figure,
    /// Nothing that is looked at.
    Other,
}

/// A group of a reply, as far as it is understood.
#[derive(Clone, Copy, Debug)]
enum Within {
    /// Value, note and load report in this order; this one comes next.
    Row(usize),
    /// The same under their names; the role of the value that comes next, once its key is known. An attribute
    /// names no value.
    Named {
        next: Option<Role>,
        value: bool,
    },
    /// A load report; a figure comes next.
    Columns(bool),
    Other,
}

/// Puts a reply together.
#[derive(Debug, Default)]
struct Reading {
    reply: Reply,
    value: Vec<u8>,
    within: Vec<Within>,
    /// The role of the blob that is being read, its kind, and its bytes where they are not the value's.
    blob: Option<(Role, BlobKind)>,
    text: Vec<u8>,
    /// A value that is handed on in parts: what of it has not been.
    long: Option<ReplyPart>,
}

impl Reading {
    /// The role of the value that begins now.
    fn next(&mut self) -> Role {
        match self.within.last_mut() {
            None => Role::Top,
            Some(Within::Row(i)) => {
                *i += 1;
                [Role::Value, Role::Note, Role::Load].get(*i - 1).copied().unwrap_or(Role::Other)
            }
            Some(Within::Named { next, .. }) => next.take().unwrap_or(Role::Key),
            Some(Within::Columns(figure)) => {
                *figure = !*figure;
                if *figure {
                    Role::Column
                } else {
                    Role::Figure
                }
            }
            Some(Within::Other) => Role::Other,
        }
    }

    fn take(&mut self, event: Event<'_>) -> Result<(), ProtocolError> {
        match event {
            Event::AggregateBegin(Aggregate::Attribute, _) => {
                // Only what is told of the whole reply is looked at.
                let told = Within::Named { next: None, value: false };
                self.within.push(if self.within.is_empty() { told } else { Within::Other });
            }
            Event::AggregateBegin(group, _) => {
                let within = match (self.next(), group) {
                    (Role::Top, Aggregate::Array) => Within::Row(0),
                    (Role::Top, Aggregate::Map) => Within::Named { next: None, value: true },
                    (Role::Load, Aggregate::Map) => {
                        self.reply.load.clear();
                        Within::Columns(false)
                    }
                    _ => Within::Other,
                };
                self.within.push(within);
            }
            Event::AggregateEnd(_) => {
                self.within.pop();
            }
            Event::BlobBegin(blob, length) => {
                let role = self.next();
                self.text.clear();
                self.blob = Some((role, blob));
                if matches!(role, Role::Top | Role::Value) && blob != BlobKind::Error {
                    let shape = match blob {
                        BlobKind::Verbatim(format) => BodyFormat::Verbatim(format),
                        _ => BodyFormat::BlobString,
                    };
                    self.serve(shape)?;
                    if length > MAX_BUFFERED_VALUE_BYTES {
                        self.long = Some(ReplyPart { head: Some((shape, length)), ..ReplyPart::default() });
                    } else {
                        self.value.reserve_exact(length);
                    }
                }
            }
            Event::BlobBytes(bytes) => match self.blob {
                Some((Role::Top | Role::Value, BlobKind::String | BlobKind::Verbatim(_))) => {
                    match &mut self.long {
                        Some(long) => long.bytes.extend_from_slice(bytes),
                        // Danger: a string that does not tell its length first is kept until it is whole.
                        None if self.value.len() + bytes.len() > MAX_BUFFERED_VALUE_BYTES => {
                            return Err(ProtocolError("too long"))
                        }
                        None => self.value.extend_from_slice(bytes),
                    }
                }
                Some((Role::Other, _)) | None => {}
                Some(_) if self.text.len() + bytes.len() <= MAX_LINE => self.text.extend_from_slice(bytes),
                Some(_) => return Err(ProtocolError("line is too long")),
            },
            Event::BlobEnd => {
                let text = std::mem::take(&mut self.text);
                match self.blob.take() {
                    Some((Role::Top, BlobKind::Error)) => self.reply.error(&text),
                    Some((Role::Top | Role::Value, _)) | None => {}
                    Some((role, _)) => self.told(role, &text)?,
                }
                self.text = text;
            }
            Event::Double(_, text) => self.figure(text, BodyFormat::Double)?,
            Event::BigNumber(text) => self.figure(text, BodyFormat::BigNumber)?,
            Event::SimpleString(text) => {
                let role = self.next();
                self.told(role, text)?;
            }
            Event::SimpleError(text) => match self.next() {
                Role::Top => self.reply.error(text),
                role => self.told(role, text)?,
            },
            Event::Integer(n) => {
                let role = self.next();
                self.told(role, n.to_string().as_bytes())?;
            }
            Event::Boolean(b) => {
                let role = self.next();
                self.told(role, if b { b"1" } else { b"0" })?;
            }
            Event::Null => {
                let role = self.next();
                self.told(role, b"")?;
            }
        }
        Ok(())
    }

    /// A value begins.
    fn serve(&mut self, shape: BodyFormat) -> Result<(), ProtocolError> {
        if std::mem::replace(&mut self.reply.kind, ReplyKind::Served) == ReplyKind::Served {
            return Err(ProtocolError("two values in a reply"));
        }
        self.reply.shape = shape;
        Ok(())
    }

    /// A number that may stand for a value.
    fn figure(&mut self, text: &[u8], shape: BodyFormat) -> Result<(), ProtocolError> {
        match self.next() {
            Role::Top | Role::Value => {
                self.serve(shape)?;
                self.value.extend_from_slice(text);
                Ok(())
            }
            role => self.told(role, text),
        }
    }

    /// A short text, whatever its type was.
    fn told(&mut self, role: Role, text: &[u8]) -> Result<(), ProtocolError> {
        if role != Role::Other && !text.iter().all(|b| (32..127).contains(b)) {
            return Err(ProtocolError("a line is not text"));
        }
        let load = &mut self.reply.load;
        match role {
            Role::Note => self.reply.note = text.to_vec(),
            Role::Load => *load = text.to_vec(),
            Role::Key => {
                if let Some(Within::Named { next, value }) = self.within.last_mut() {
                    *next = Some(match text {
                        b"value" | b"receipt" if *value => Role::Value,
                        b"note" => Role::Note,
                        b"load" => Role::Load,
                        _ => Role::Other,
                    });
                }
            }
            Role::Column | Role::Figure => {
                if load.len() + text.len() >= MAX_LINE {
                    return Err(ProtocolError("line is too long"));
                }
                if role == Role::Column && !load.is_empty() {
                    load.push(b',');
                }
                load.extend_from_slice(text);
                if role == Role::Column {
                    load.push(b'=');
                }
            }
            // Whatever else stands in a value's place carries no value.
            Role::Top | Role::Value | Role::Other => {}
        }
        Ok(())
    }

    fn end(&mut self) -> ServerMessage {
        let mut done = std::mem::take(self);
        done.reply.value = 0..done.value.len();
        match done.long {
            Some(part) => ServerMessage::Part(ReplyPart { tail: Some(done.reply), ..part }),
            None => ServerMessage::Reply(done.reply, done.value),
        }
    }
}

/// Reads the replies on a connection to a cache node, in the protocol that it speaks.
#[derive(Debug)]
pub enum ReplyReader {
    /// RESP2.
    Two(ReplyParser),
    /// RESP3.
    Three(Box<Resp3ReplyParser>),
}

/// Reads replies and pushes in RESP3.
#[derive(Debug)]
pub struct Resp3ReplyParser {
    decoder: Decoder,
    reading: Reading,
    push: FrameBuilder,
    pushing: bool,
    /// Bytes of the push at hand.
    pushed: usize,
}

impl Default for Resp3ReplyParser {
    fn default() -> Self {
        let usual = Limits::default();
        Resp3ReplyParser {
            decoder: Decoder::new(Limits {
                max_blob_bytes: MAX_STREAMED_VALUE_BYTES,
                max_total_bytes: MAX_STREAMED_VALUE_BYTES + usual.max_total_bytes,
                ..usual
            }),
            reading: Reading::default(),
            push: FrameBuilder::default(),
            pushing: false,
            pushed: 0,
        }
    }
}

impl ReplyReader {
    /// A reader between replies.
    pub fn new(protocol: Protocol) -> Self {
        match protocol {
            Protocol::Two => ReplyReader::Two(ReplyParser::default()),
            Protocol::Three => ReplyReader::Three(Box::default()),
        }
    }

    /// What it reads.
    pub fn protocol(&self) -> Protocol {
        match self {
            ReplyReader::Two(_) => Protocol::Two,
            ReplyReader::Three(_) => Protocol::Three,
        }
    }

    /// True if something has begun and not ended.
    pub fn in_progress(&self) -> bool {
        match self {
            ReplyReader::Two(parser) => parser.in_progress(),
            ReplyReader::Three(three) => three.decoder.in_progress(),
        }
    }

    /// Takes input until something ends or there is no more; tells how much it took, and what ended.
    ///
    /// # Errors
    /// The node does not speak the protocol, or goes past its bounds; nothing after it can be understood.
    pub fn feed(&mut self, input: &[u8]) -> Result<(usize, Option<ServerMessage>), ProtocolError> {
        match self {
            ReplyReader::Two(parser) => {
                let (used, reply) = parser.feed(input)?;
                let part = parser.take_part(reply.as_ref()).map(ServerMessage::Part);
                Ok((used, part.or(reply.map(|reply| ServerMessage::Reply(reply, Vec::new())))))
            }
            ReplyReader::Three(three) => three.feed(input),
        }
    }
}

impl Resp3ReplyParser {
    fn feed(&mut self, input: &[u8]) -> Result<(usize, Option<ServerMessage>), ProtocolError> {
        let Resp3ReplyParser { decoder, reading, push, pushing, pushed: kept } = self;
        let mut pushed = None;
        let (used, whole) = decoder.feed(input, |event| {
            *pushing |= matches!(event, Event::AggregateBegin(Aggregate::Push, _));
            if *pushing {
                // What nobody asked for is kept whole, so it may not be long.
                if let Event::BlobBytes(bytes) = event {
                    *kept += bytes.len();
                    if *kept > Limits::default().max_total_bytes {
                        return Err(ProtocolError("too long"));
                    }
                }
                pushed = push.add_event(event).or(pushed.take());
                return Ok(());
            }
            reading.take(event)
        })?;
        let item = match whole {
            None => reading.long.as_mut().map(|long| ServerMessage::Part(std::mem::take(long))),
            Some(Completed::Frame) => Some(reading.end()),
            Some(Completed::Push) => {
                (*pushing, *kept) = (false, 0);
                match pushed {
                    Some(Frame::Push(told)) => Some(ServerMessage::Push(told)),
                    _ => None,
                }
            }
        };
        Ok((used, item))
    }
}

/// How a node answered `HELLO 3`: the protocol that is spoken from then on, or the error that refuses it.
pub type HelloOutcome = Result<Protocol, Vec<u8>>;

/// Reads the answer to `HELLO 3`.
#[derive(Debug)]
pub struct HelloReplyParser(FrameReader);

impl Default for HelloReplyParser {
    fn default() -> Self {
        HelloReplyParser(FrameReader::new(Limits {
            max_depth: 8,
            max_elements: 256,
            max_blob_bytes: MAX_LINE,
            max_total_bytes: 16 << 10,
        }))
    }
}

impl HelloReplyParser {
    /// True if the answer has begun.
    pub fn in_progress(&self) -> bool {
        self.0.in_progress()
    }

    /// Takes input up to the end of the answer; tells how much it took, and the protocol that is spoken from then
    /// on. A node that answers an error goes on in RESP2.
    ///
    /// # Errors
    /// It is neither an error nor an answer that names a protocol.
    pub fn feed(&mut self, input: &[u8]) -> Result<(usize, Option<HelloOutcome>), ProtocolError> {
        let mut at = 0;
        while at < input.len() {
            let (used, frame) = self.0.feed(&input[at..])?;
            at += used;
            let Some(frame) = frame else { break };
            let frame = match frame {
                Frame::Push(_) => continue,
                Frame::Attribute(_, value) => *value,
                frame => frame,
            };
            if let Some(error) = frame.error() {
                return Ok((at, Some(Err(error.to_vec()))));
            }
            return match frame.get("proto") {
                Some(Frame::Integer(3)) => Ok((at, Some(Ok(Protocol::Three)))),
                Some(Frame::Integer(2)) => Ok((at, Some(Ok(Protocol::Two)))),
                _ => Err(ProtocolError("the answer to HELLO names no protocol")),
            };
        }
        Ok((at, None))
    }
}
