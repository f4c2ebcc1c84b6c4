//! Parsers for a connection on which `HELLO 3` has been sent: the reply to it, and the replies and pushes in
//! RESP3.
//!
//! A successful reply may be an array of value, note and load report as in RESP2, a map with these keys, or
//! the value alone with the rest in an attribute before it. The load report may be a string or a map of
//! metrics.

use crate::frame::FrameReader;
use crate::{
    Aggregate, BlobKind, BodyFormat, Completed, Decoder, Event, Frame, FrameBuilder, Limits, Protocol,
    ProtocolError, Reply, ReplyKind, ReplyParser, ReplyPart, MAX_BUFFERED_VALUE_BYTES, MAX_LINE_BYTES,
    MAX_STREAMED_VALUE_BYTES,
};

/// What a server sent.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerMessage {
    /// A reply, and in RESP3 its value. In RESP2 the bytes of the reply are those that were taken.
    Reply(Reply, Vec<u8>),
    /// A part of a reply with a streamed value.
    Part(ReplyPart),
    /// The elements of a push, the first of which is its kind.
    Push(Vec<Frame>),
}

/// The meaning of a frame within a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    /// The whole reply.
    Top,
    Value,
    Note,
    Load,
    /// A key of a reply or of an attribute.
    Key,
    /// The name of a metric in a load report.
    MetricName,
    /// The value of a metric in a load report.
    MetricValue,
    /// Anything that is ignored.
    Other,
}

/// The meaning of an open aggregate.
#[derive(Clone, Copy, Debug)]
enum Context {
    /// An array of value, note and load report, and the index of the next element.
    Positional(usize),
    /// A map or attribute with the same under their names.
    Keyed {
        /// The role of the next frame, if that is a value and not a key.
        next: Option<Role>,
        /// False in an attribute, which cannot contain the reply's value.
        accepts_value: bool,
    },
    /// A load report, and whether the value of a metric comes next.
    LoadMetrics(bool),
    Other,
}

/// Assembles a reply from the decoder's events.
#[derive(Debug, Default)]
struct ReplyAssembler {
    reply: Reply,
    value: Vec<u8>,
    contexts: Vec<Context>,
    /// The role and kind of the blob that is being read.
    blob: Option<(Role, BlobKind)>,
    /// The bytes of that blob, unless it is the reply's value.
    text: Vec<u8>,
    /// While a streamed value is read: the part of it that has not been passed on.
    streamed: Option<ReplyPart>,
}

impl ReplyAssembler {
    /// The role of the frame that starts now.
    fn next_role(&mut self) -> Role {
        match self.contexts.last_mut() {
            None => Role::Top,
            Some(Context::Positional(index)) => {
                *index += 1;
                [Role::Value, Role::Note, Role::Load].get(*index - 1).copied().unwrap_or(Role::Other)
            }
            Some(Context::Keyed { next, .. }) => next.take().unwrap_or(Role::Key),
            Some(Context::LoadMetrics(value_next)) => {
                *value_next = !*value_next;
                if *value_next {
                    Role::MetricName
                } else {
                    Role::MetricValue
                }
            }
            Some(Context::Other) => Role::Other,
        }
    }

    /// Takes the next event of the reply.
    fn add_event(&mut self, event: Event<'_>) -> Result<(), ProtocolError> {
        match event {
            Event::AggregateBegin(Aggregate::Attribute, _) => {
                // Only the attributes of the whole reply are used.
                let keyed = Context::Keyed { next: None, accepts_value: false };
                self.contexts.push(if self.contexts.is_empty() { keyed } else { Context::Other });
            }
            Event::AggregateBegin(aggregate, _) => {
                let context = match (self.next_role(), aggregate) {
                    (Role::Top, Aggregate::Array) => Context::Positional(0),
                    (Role::Top, Aggregate::Map) => Context::Keyed { next: None, accepts_value: true },
                    (Role::Load, Aggregate::Map) => {
                        self.reply.load.clear();
                        Context::LoadMetrics(false)
                    }
                    _ => Context::Other,
                };
                self.contexts.push(context);
            }
            Event::AggregateEnd(_) => {
                self.contexts.pop();
            }
            Event::BlobBegin(kind, length) => self.begin_blob(kind, length)?,
            Event::BlobBytes(bytes) => self.add_blob_bytes(bytes)?,
            Event::BlobEnd => self.finish_blob()?,
            Event::Double(_, text) => self.add_number(text, BodyFormat::Double)?,
            Event::BigNumber(text) => self.add_number(text, BodyFormat::BigNumber)?,
            Event::SimpleString(text) => {
                let role = self.next_role();
                self.add_text(role, text)?;
            }
            Event::SimpleError(text) => match self.next_role() {
                Role::Top => self.reply.set_error(text),
                role => self.add_text(role, text)?,
            },
            Event::Integer(n) => {
                let role = self.next_role();
                self.add_text(role, n.to_string().as_bytes())?;
            }
            Event::Boolean(b) => {
                let role = self.next_role();
                self.add_text(role, if b { b"1" } else { b"0" })?;
            }
            Event::Null => {
                let role = self.next_role();
                self.add_text(role, b"")?;
            }
        }
        Ok(())
    }

    fn begin_blob(&mut self, kind: BlobKind, length: usize) -> Result<(), ProtocolError> {
        let role = self.next_role();
        self.text.clear();
        self.blob = Some((role, kind));
        if matches!(role, Role::Top | Role::Value) && kind != BlobKind::Error {
            let format = match kind {
                BlobKind::Verbatim(format) => BodyFormat::Verbatim(format),
                _ => BodyFormat::BlobString,
            };
            self.begin_value(format)?;
            if length > MAX_BUFFERED_VALUE_BYTES {
                self.streamed = Some(ReplyPart { head: Some((format, length)), ..ReplyPart::default() });
            }
        }
        Ok(())
    }

    fn add_blob_bytes(&mut self, bytes: &[u8]) -> Result<(), ProtocolError> {
        match self.blob {
            Some((Role::Top | Role::Value, BlobKind::String | BlobKind::Verbatim(_))) => {
                match &mut self.streamed {
                    Some(part) => part.bytes.extend_from_slice(bytes),
                    // A streamed string, whose length is not known in advance, is buffered until it is
                    // complete. Without this limit it could take any amount of memory.
                    None if self.value.len() + bytes.len() > MAX_BUFFERED_VALUE_BYTES => {
                        return Err(ProtocolError("streamed string exceeds the buffered value limit"))
                    }
                    None => {
                        self.value.reserve_exact(bytes.len());
                        self.value.extend_from_slice(bytes);
                    }
                }
            }
            Some((Role::Other, _)) | None => {}
            Some(_) if self.text.len() + bytes.len() <= MAX_LINE_BYTES => self.text.extend_from_slice(bytes),
            Some(_) => return Err(ProtocolError("line is too long")),
        }
        Ok(())
    }

    fn finish_blob(&mut self) -> Result<(), ProtocolError> {
        let text = std::mem::take(&mut self.text);
        match self.blob.take() {
            Some((Role::Top, BlobKind::Error)) => self.reply.set_error(&text),
            Some((Role::Top | Role::Value, _)) | None => {}
            Some((role, _)) => self.add_text(role, &text)?,
        }
        self.text = text;
        Ok(())
    }

    /// Starts the reply's value.
    fn begin_value(&mut self, format: BodyFormat) -> Result<(), ProtocolError> {
        if std::mem::replace(&mut self.reply.kind, ReplyKind::Served) == ReplyKind::Served {
            return Err(ProtocolError("two values in a reply"));
        }
        self.reply.shape = format;
        Ok(())
    }

    /// Takes a double or big number, which may be the reply's value.
    fn add_number(&mut self, text: &[u8], format: BodyFormat) -> Result<(), ProtocolError> {
        match self.next_role() {
            Role::Top | Role::Value => {
                self.begin_value(format)?;
                self.value.extend_from_slice(text);
                Ok(())
            }
            role => self.add_text(role, text),
        }
    }

    /// Takes the text of a short frame of any type.
    fn add_text(&mut self, role: Role, text: &[u8]) -> Result<(), ProtocolError> {
        if role != Role::Other && !text.iter().all(|b| (32..127).contains(b)) {
            return Err(ProtocolError("line contains unprintable bytes"));
        }
        let load = &mut self.reply.load;
        match role {
            Role::Note => self.reply.note = text.to_vec(),
            Role::Load => *load = text.to_vec(),
            Role::Key => {
                if let Some(Context::Keyed { next, accepts_value }) = self.contexts.last_mut() {
                    *next = Some(match text {
                        b"value" | b"receipt" if *accepts_value => Role::Value,
                        b"note" => Role::Note,
                        b"load" => Role::Load,
                        _ => Role::Other,
                    });
                }
            }
            Role::MetricName | Role::MetricValue => {
                if load.len() + text.len() >= MAX_LINE_BYTES {
                    return Err(ProtocolError("line is too long"));
                }
                if role == Role::MetricName && !load.is_empty() {
                    load.push(b',');
                }
                load.extend_from_slice(text);
                if role == Role::MetricName {
                    load.push(b'=');
                }
            }
            // A frame of another type in place of the value is not a value.
            Role::Top | Role::Value | Role::Other => {}
        }
        Ok(())
    }

    /// Returns the complete reply, or its last part, and resets the assembler.
    fn finish(&mut self) -> ServerMessage {
        let mut finished = std::mem::take(self);
        finished.reply.value = 0..finished.value.len();
        match finished.streamed {
            Some(part) => ServerMessage::Part(ReplyPart { tail: Some(finished.reply), ..part }),
            None => ServerMessage::Reply(finished.reply, finished.value),
        }
    }
}

/// Reads the replies on a connection to a server, in the protocol that the server uses.
#[derive(Debug)]
pub enum ReplyReader {
    /// RESP2.
    Two(ReplyParser),
    /// RESP3.
    Three(Box<Resp3ReplyParser>),
}

/// Parses replies and pushes in RESP3.
#[derive(Debug)]
pub struct Resp3ReplyParser {
    decoder: Decoder,
    reply: ReplyAssembler,
    push: FrameBuilder,
    in_push: bool,
    /// Blob bytes of the current push.
    push_bytes: usize,
}

impl Default for Resp3ReplyParser {
    fn default() -> Self {
        let defaults = Limits::default();
        Resp3ReplyParser {
            decoder: Decoder::new(Limits {
                max_blob_bytes: MAX_STREAMED_VALUE_BYTES,
                max_total_bytes: MAX_STREAMED_VALUE_BYTES + defaults.max_total_bytes,
                ..defaults
            }),
            reply: ReplyAssembler::default(),
            push: FrameBuilder::default(),
            in_push: false,
            push_bytes: 0,
        }
    }
}

impl ReplyReader {
    /// A reader that expects the start of a reply.
    pub fn new(protocol: Protocol) -> Self {
        match protocol {
            Protocol::Two => ReplyReader::Two(ReplyParser::default()),
            Protocol::Three => ReplyReader::Three(Box::default()),
        }
    }

    /// The protocol that it reads.
    pub fn protocol(&self) -> Protocol {
        match self {
            ReplyReader::Two(_) => Protocol::Two,
            ReplyReader::Three(_) => Protocol::Three,
        }
    }

    /// True if the input so far ends within a reply or push.
    pub fn in_progress(&self) -> bool {
        match self {
            ReplyReader::Two(parser) => parser.in_progress(),
            ReplyReader::Three(parser) => parser.decoder.in_progress(),
        }
    }

    /// The memory that an incomplete RESP3 reply or push takes in the reader, in bytes. The bytes of a RESP2 reply are
    /// with the caller of [`ReplyReader::feed`].
    pub fn buffered_bytes(&self) -> usize {
        match self {
            ReplyReader::Two(_) => 0,
            ReplyReader::Three(parser) => parser.reply.value.capacity() + parser.push_bytes,
        }
    }

    /// Takes input up to the end of a reply or push; returns the number of bytes taken, and the message that
    /// they completed or the part of a streamed value in them.
    ///
    /// # Errors
    /// The input is not valid or exceeds a limit. Nothing after it can be parsed.
    pub fn feed(&mut self, input: &[u8]) -> Result<(usize, Option<ServerMessage>), ProtocolError> {
        match self {
            ReplyReader::Two(parser) => {
                let (used, reply) = parser.feed(input)?;
                let part = parser.take_part(reply.as_ref()).map(ServerMessage::Part);
                Ok((used, part.or(reply.map(|reply| ServerMessage::Reply(reply, Vec::new())))))
            }
            ReplyReader::Three(parser) => parser.feed(input),
        }
    }
}

impl Resp3ReplyParser {
    /// Takes input up to the end of a reply or push; the same as [`ReplyReader::feed`].
    fn feed(&mut self, input: &[u8]) -> Result<(usize, Option<ServerMessage>), ProtocolError> {
        let Resp3ReplyParser { decoder, reply, push, in_push, push_bytes } = self;
        let mut finished_push = None;
        let (used, completed) = decoder.feed(input, |event| {
            *in_push |= matches!(event, Event::AggregateBegin(Aggregate::Push, _));
            if *in_push {
                // A push is unsolicited and buffered whole, so a lower limit holds for it than for a reply.
                if let Event::BlobBytes(bytes) = event {
                    *push_bytes += bytes.len();
                    if *push_bytes > Limits::default().max_total_bytes {
                        return Err(ProtocolError("push exceeds the byte limit"));
                    }
                }
                finished_push = push.add_event(event).or(finished_push.take());
                return Ok(());
            }
            reply.add_event(event)
        })?;
        let message = match completed {
            None => reply.streamed.as_mut().map(|part| ServerMessage::Part(std::mem::take(part))),
            Some(Completed::Frame) => Some(reply.finish()),
            Some(Completed::Push) => {
                (*in_push, *push_bytes) = (false, 0);
                match finished_push {
                    Some(Frame::Push(elements)) => Some(ServerMessage::Push(elements)),
                    _ => None,
                }
            }
        };
        Ok((used, message))
    }
}

/// The server's answer to `HELLO 3`: the protocol that it uses from then on, or the text of its error.
pub type HelloOutcome = Result<Protocol, Vec<u8>>;

/// Parses the reply to `HELLO 3`.
#[derive(Debug)]
pub struct HelloReplyParser(FrameReader);

impl Default for HelloReplyParser {
    fn default() -> Self {
        HelloReplyParser(FrameReader::new(Limits {
            max_depth: 8,
            max_elements: 256,
            max_blob_bytes: MAX_LINE_BYTES,
            max_total_bytes: 16 << 10,
        }))
    }
}

impl HelloReplyParser {
    /// True if the input so far ends within a frame.
    pub fn in_progress(&self) -> bool {
        self.0.in_progress()
    }

    /// Takes input up to the end of the reply; returns the number of bytes taken, and the outcome. A server
    /// that replies with an error continues in RESP2.
    ///
    /// # Errors
    /// The reply is neither an error nor does it name a protocol.
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
                _ => Err(ProtocolError("the reply to HELLO names no supported protocol")),
            };
        }
        Ok((at, None))
    }
}
