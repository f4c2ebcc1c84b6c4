//! Frames as trees: built from the decoder's events, and written in either protocol. They are meant for what
//! is rare or small: replies to `HELLO`, pushes and test servers. The decoder limits their depth and size;
//! nothing here recurses.

use crate::{Aggregate, BlobKind, Completed, Decoder, Event, Limits, Protocol, ProtocolError};
use std::io::Write;

/// A frame. Streamed strings and aggregates are assembled.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    /// Null.
    Null,
    /// A boolean.
    Boolean(bool),
    /// An integer.
    Integer(i64),
    /// A double.
    Double(f64),
    /// The digits of a big number.
    BigNumber(Vec<u8>),
    /// A simple string.
    SimpleString(Vec<u8>),
    /// A simple error.
    SimpleError(Vec<u8>),
    /// A blob string, a blob error or a verbatim string.
    Blob(BlobKind, Vec<u8>),
    /// An ordered collection.
    Array(Vec<Frame>),
    /// An unordered collection.
    Set(Vec<Frame>),
    /// Pairs of a key and a value.
    Map(Vec<(Frame, Frame)>),
    /// Out-of-band data.
    Push(Vec<Frame>),
    /// The attributes of a value, and the value.
    Attribute(Vec<(Frame, Frame)>, Box<Frame>),
}

impl Frame {
    /// A blob string, which RESP2 calls a bulk string.
    pub fn bulk_string(bytes: impl AsRef<[u8]>) -> Frame {
        Frame::Blob(BlobKind::String, bytes.as_ref().to_vec())
    }

    /// The bytes of a simple, blob or verbatim string; `None` for other types, errors included.
    pub fn bytes(&self) -> Option<&[u8]> {
        match self {
            Frame::SimpleString(text) | Frame::Blob(BlobKind::String | BlobKind::Verbatim(_), text) => {
                Some(text)
            }
            _ => None,
        }
    }

    /// The text of a simple or blob error.
    pub fn error(&self) -> Option<&[u8]> {
        match self {
            Frame::SimpleError(text) | Frame::Blob(BlobKind::Error, text) => Some(text),
            _ => None,
        }
    }

    /// The value under a key of a map, or of an array of alternating keys and values, which is RESP2's form
    /// of a map.
    pub fn get(&self, key: &str) -> Option<&Frame> {
        let is_key = |frame: &Frame| frame.bytes() == Some(key.as_bytes());
        match self {
            Frame::Map(pairs) => pairs.iter().find(|(k, _)| is_key(k)).map(|(_, value)| value),
            Frame::Array(elements) => {
                elements.chunks_exact(2).find(|pair| is_key(&pair[0])).map(|pair| &pair[1])
            }
            _ => None,
        }
    }

    /// Writes the frame in `protocol`. The types that RESP2 lacks are converted as in Redis: null to a null
    /// bulk string, booleans to the integers 1 and 0, doubles, big numbers and verbatim strings to bulk
    /// strings, blob errors to simple errors, and maps, sets and pushes to arrays; attributes are left out.
    pub fn write(&self, protocol: Protocol, out: &mut Vec<u8>) {
        let resp3 = protocol == Protocol::Three;
        let mut pending = vec![self];
        while let Some(frame) = pending.pop() {
            match frame {
                Frame::Null => out.extend_from_slice(if resp3 { b"_\r\n" } else { b"$-1\r\n" }),
                Frame::Boolean(b) if resp3 => write_line(b'#', if *b { b"t" } else { b"f" }, out),
                Frame::Boolean(b) => write_line(b':', if *b { b"1" } else { b"0" }, out),
                Frame::Integer(n) => write_line(b':', n.to_string().as_bytes(), out),
                Frame::Double(d) if resp3 => write_line(b',', format_double(*d).as_bytes(), out),
                Frame::Double(d) => write_blob(b'$', &[], format_double(*d).as_bytes(), out),
                Frame::BigNumber(digits) if resp3 => write_line(b'(', digits, out),
                Frame::BigNumber(digits) => write_blob(b'$', &[], digits, out),
                Frame::SimpleString(text) => write_line(b'+', text, out),
                Frame::SimpleError(text) => write_line(b'-', text, out),
                Frame::Blob(BlobKind::Error, text) if resp3 => write_blob(b'!', &[], text, out),
                Frame::Blob(BlobKind::Error, text) => {
                    let without_line_ends = |b: &u8| if matches!(b, b'\r' | b'\n') { b' ' } else { *b };
                    write_line(b'-', &text.iter().map(without_line_ends).collect::<Vec<u8>>(), out);
                }
                Frame::Blob(BlobKind::Verbatim([a, b, c]), text) if resp3 => {
                    write_blob(b'=', &[*a, *b, *c, b':'], text, out);
                }
                Frame::Blob(_, text) => write_blob(b'$', &[], text, out),
                Frame::Array(elements) => write_elements(b'*', elements, &mut pending, out),
                Frame::Set(elements) => {
                    write_elements(if resp3 { b'~' } else { b'*' }, elements, &mut pending, out)
                }
                Frame::Push(elements) => {
                    write_elements(if resp3 { b'>' } else { b'*' }, elements, &mut pending, out)
                }
                Frame::Map(pairs) if resp3 => write_pairs(b'%', pairs.len(), pairs, &mut pending, out),
                Frame::Map(pairs) => write_pairs(b'*', 2 * pairs.len(), pairs, &mut pending, out),
                Frame::Attribute(pairs, value) => {
                    pending.push(value);
                    if resp3 {
                        write_pairs(b'|', pairs.len(), pairs, &mut pending, out);
                    }
                }
            }
        }
    }
}

/// A text that parses to the same double.
fn format_double(d: f64) -> String {
    match d {
        _ if d.is_nan() => "nan".into(),
        _ if d.is_infinite() => if d > 0.0 { "inf" } else { "-inf" }.into(),
        _ if d != 0.0 && !(1e-5..1e17).contains(&d.abs()) => format!("{d:e}"),
        _ => d.to_string(),
    }
}

fn write_line(type_byte: u8, text: &[u8], out: &mut Vec<u8>) {
    out.push(type_byte);
    out.extend_from_slice(text);
    out.extend_from_slice(b"\r\n");
}

fn write_length(type_byte: u8, length: usize, out: &mut Vec<u8>) {
    // Writing to a vector cannot fail.
    let _ = write!(out, "{}{length}\r\n", char::from(type_byte));
}

fn write_blob(type_byte: u8, format: &[u8], text: &[u8], out: &mut Vec<u8>) {
    write_length(type_byte, format.len() + text.len(), out);
    out.extend_from_slice(format);
    out.extend_from_slice(text);
    out.extend_from_slice(b"\r\n");
}

/// Writes the count of an aggregate, and adds its elements to the pending frames, the first on top.
fn write_elements<'a>(type_byte: u8, elements: &'a [Frame], pending: &mut Vec<&'a Frame>, out: &mut Vec<u8>) {
    write_length(type_byte, elements.len(), out);
    pending.extend(elements.iter().rev());
}

/// Writes the count of a map or attribute, and adds its keys and values to the pending frames, the first on
/// top.
fn write_pairs<'a>(
    type_byte: u8,
    length: usize,
    pairs: &'a [(Frame, Frame)],
    pending: &mut Vec<&'a Frame>,
    out: &mut Vec<u8>,
) {
    write_length(type_byte, length, out);
    pending.extend(pairs.iter().rev().flat_map(|(key, value)| [value, key]));
}

/// A frame that is not complete.
#[derive(Debug)]
enum OpenFrame {
    Aggregate(Aggregate, Vec<Frame>),
    Blob(BlobKind, Vec<u8>),
    /// Complete attributes whose value has not been read.
    Attributed(Vec<(Frame, Frame)>),
}

/// Builds frames from the events of a [`Decoder`].
#[derive(Debug, Default)]
pub struct FrameBuilder {
    stack: Vec<OpenFrame>,
}

impl FrameBuilder {
    /// Takes the next event; returns the frame that it completed, if that is a push or stands at the top
    /// level.
    pub fn add_event(&mut self, event: Event<'_>) -> Option<Frame> {
        let frame = match event {
            Event::Null => Frame::Null,
            Event::Boolean(b) => Frame::Boolean(b),
            Event::Integer(n) => Frame::Integer(n),
            Event::Double(d, _) => Frame::Double(d),
            Event::BigNumber(digits) => Frame::BigNumber(digits.to_vec()),
            Event::SimpleString(text) => Frame::SimpleString(text.to_vec()),
            Event::SimpleError(text) => Frame::SimpleError(text.to_vec()),
            Event::BlobBegin(kind, length) => {
                self.stack.push(OpenFrame::Blob(kind, Vec::with_capacity(length)));
                return None;
            }
            Event::BlobBytes(bytes) => {
                if let Some(OpenFrame::Blob(_, text)) = self.stack.last_mut() {
                    text.extend_from_slice(bytes);
                }
                return None;
            }
            Event::AggregateBegin(aggregate, _) => {
                self.stack.push(OpenFrame::Aggregate(aggregate, Vec::new()));
                return None;
            }
            Event::BlobEnd => match self.stack.pop() {
                Some(OpenFrame::Blob(kind, text)) => Frame::Blob(kind, text),
                _ => return None,
            },
            Event::AggregateEnd(_) => match self.stack.pop() {
                Some(OpenFrame::Aggregate(Aggregate::Array, elements)) => Frame::Array(elements),
                Some(OpenFrame::Aggregate(Aggregate::Set, elements)) => Frame::Set(elements),
                Some(OpenFrame::Aggregate(Aggregate::Map, elements)) => Frame::Map(into_pairs(elements)),
                Some(OpenFrame::Aggregate(Aggregate::Push, elements)) => return Some(Frame::Push(elements)),
                Some(OpenFrame::Aggregate(Aggregate::Attribute, elements)) => {
                    // Consecutive attributes are merged: nested in each other, they could make the tree as
                    // deep as the peer likes, since the decoder's limit on the depth does not count them.
                    match self.stack.last_mut() {
                        Some(OpenFrame::Attributed(attributes)) => attributes.extend(into_pairs(elements)),
                        _ => self.stack.push(OpenFrame::Attributed(into_pairs(elements))),
                    }
                    return None;
                }
                _ => return None,
            },
        };
        let frame = match self.stack.pop() {
            Some(OpenFrame::Attributed(attributes)) => Frame::Attribute(attributes, Box::new(frame)),
            other => {
                self.stack.extend(other);
                frame
            }
        };
        match self.stack.last_mut() {
            Some(OpenFrame::Aggregate(_, elements)) => {
                elements.push(frame);
                None
            }
            _ => Some(frame),
        }
    }
}

/// Pairs up alternating keys and values.
fn into_pairs(elements: Vec<Frame>) -> Vec<(Frame, Frame)> {
    let mut elements = elements.into_iter();
    std::iter::from_fn(|| Some((elements.next()?, elements.next()?))).collect()
}

/// Parses frames into trees.
#[derive(Debug, Default)]
pub struct FrameReader {
    decoder: Decoder,
    builder: FrameBuilder,
}

impl FrameReader {
    /// A reader for a new connection.
    pub fn new(limits: Limits) -> Self {
        FrameReader { decoder: Decoder::new(limits), builder: FrameBuilder::default() }
    }

    /// True if the input so far ends within a frame.
    pub fn in_progress(&self) -> bool {
        self.decoder.in_progress()
    }

    /// Takes input up to the end of a frame or of a push; returns the number of bytes taken, and the frame.
    ///
    /// # Errors
    /// The input is not valid or exceeds a limit. Nothing after it can be parsed.
    pub fn feed(&mut self, input: &[u8]) -> Result<(usize, Option<Frame>), ProtocolError> {
        let mut frame = None;
        let builder = &mut self.builder;
        let (used, completed) = self.decoder.feed(input, |event| {
            frame = builder.add_event(event).or(frame.take());
            Ok(())
        })?;
        debug_assert_eq!(matches!(completed, Some(Completed::Push)), matches!(frame, Some(Frame::Push(_))));
        Ok((used, frame))
    }
}
