//! Frames as trees: built from events, and written in either protocol. For what is rare or small: greetings,
//! pushes, stand-ins. Depth and size are the decoder's to bound; nothing here recurses.

use crate::{Aggregate, BlobKind, Completed, Decoder, Event, Limits, Protocol, ProtocolError};
use std::io::Write;

/// A frame. Streamed forms are put together.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    /// Nothing.
    Null,
    /// True or false.
    Boolean(bool),
    /// An integer.
    Integer(i64),
    /// A double.
    Double(f64),
    /// An integer of any size, as its digits.
    BigNumber(Vec<u8>),
    /// A line.
    SimpleString(Vec<u8>),
    /// An error line.
    SimpleError(Vec<u8>),
    /// Bytes, an error, or a text with its format.
    Blob(BlobKind, Vec<u8>),
    /// In order.
    Array(Vec<Frame>),
    /// In no order.
    Set(Vec<Frame>),
    /// Keys and values.
    Map(Vec<(Frame, Frame)>),
    /// What nobody asked for.
    Push(Vec<Frame>),
    /// What is told of a value, and the value.
    Attribute(Vec<(Frame, Frame)>, Box<Frame>),
}

impl Frame {
    /// A bulk string.
    pub fn bulk_string(bytes: impl AsRef<[u8]>) -> Frame {
        Frame::Blob(BlobKind::String, bytes.as_ref().to_vec())
    }

    /// The bytes of a string of any kind, errors not counted.
    pub fn bytes(&self) -> Option<&[u8]> {
        match self {
            Frame::SimpleString(text) | Frame::Blob(BlobKind::String | BlobKind::Verbatim(_), text) => {
                Some(text)
            }
            _ => None,
        }
    }

    /// The text of an error of either kind.
    pub fn error(&self) -> Option<&[u8]> {
        match self {
            Frame::SimpleError(text) | Frame::Blob(BlobKind::Error, text) => Some(text),
            _ => None,
        }
    }

    /// The value under a key of a map, or of an array of keys and values in turn, as RESP2 has maps.
    pub fn get(&self, key: &str) -> Option<&Frame> {
        let is = |frame: &Frame| frame.bytes() == Some(key.as_bytes());
        match self {
            Frame::Map(pairs) => pairs.iter().find(|(k, _)| is(k)).map(|(_, value)| value),
            Frame::Array(all) => all.chunks_exact(2).find(|pair| is(&pair[0])).map(|pair| &pair[1]),
            _ => None,
        }
    }

    /// Writes it. RESP2 gets what Redis has for the types that it lacks: null as a null string, booleans as 1 and
    /// 0, doubles, big numbers and verbatim strings as bulk strings, a blob error as a line, maps flat, sets and
    /// pushes as arrays, attributes not at all.
    pub fn write(&self, protocol: Protocol, out: &mut Vec<u8>) {
        let three = protocol == Protocol::Three;
        let mut left = vec![self];
        while let Some(frame) = left.pop() {
            match frame {
                Frame::Null => out.extend_from_slice(if three { b"_\r\n" } else { b"$-1\r\n" }),
                Frame::Boolean(b) if three => line(b'#', if *b { b"t" } else { b"f" }, out),
                Frame::Boolean(b) => line(b':', if *b { b"1" } else { b"0" }, out),
                Frame::Integer(n) => line(b':', n.to_string().as_bytes(), out),
                Frame::Double(d) if three => line(b',', number(*d).as_bytes(), out),
                Frame::Double(d) => blob(b'$', &[], number(*d).as_bytes(), out),
                Frame::BigNumber(digits) if three => line(b'(', digits, out),
                Frame::BigNumber(digits) => blob(b'$', &[], digits, out),
                Frame::SimpleString(text) => line(b'+', text, out),
                Frame::SimpleError(text) => line(b'-', text, out),
                Frame::Blob(BlobKind::Error, text) if three => blob(b'!', &[], text, out),
                Frame::Blob(BlobKind::Error, text) => {
                    let flat = |b: &u8| if matches!(b, b'\r' | b'\n') { b' ' } else { *b };
                    line(b'-', &text.iter().map(flat).collect::<Vec<u8>>(), out);
                }
                Frame::Blob(BlobKind::Verbatim([a, b, c]), text) if three => {
                    blob(b'=', &[*a, *b, *c, b':'], text, out);
                }
                Frame::Blob(_, text) => blob(b'$', &[], text, out),
                Frame::Array(all) => group(b'*', all, &mut left, out),
                Frame::Set(all) => group(if three { b'~' } else { b'*' }, all, &mut left, out),
                Frame::Push(all) => group(if three { b'>' } else { b'*' }, all, &mut left, out),
                Frame::Map(pairs) if three => map(b'%', pairs.len(), pairs, &mut left, out),
                Frame::Map(pairs) => map(b'*', 2 * pairs.len(), pairs, &mut left, out),
                Frame::Attribute(pairs, value) => {
                    left.push(value);
                    if three {
                        map(b'|', pairs.len(), pairs, &mut left, out);
                    }
                }
            }
        }
    }
}

/// A double in digits that read back as the same.
fn number(d: f64) -> String {
    match d {
        _ if d.is_nan() => "nan".into(),
        _ if d.is_infinite() => if d > 0.0 { "inf" } else { "-inf" }.into(),
        _ if d != 0.0 && !(1e-5..1e17).contains(&d.abs()) => format!("{d:e}"),
        _ => d.to_string(),
    }
}

fn line(sign: u8, text: &[u8], out: &mut Vec<u8>) {
    out.push(sign);
    out.extend_from_slice(text);
    out.extend_from_slice(b"\r\n");
}

fn count(sign: u8, length: usize, out: &mut Vec<u8>) {
    // Writing to a vector cannot fail.
    let _ = write!(out, "{}{length}\r\n", char::from(sign));
}

fn blob(sign: u8, format: &[u8], text: &[u8], out: &mut Vec<u8>) {
    count(sign, format.len() + text.len(), out);
    out.extend_from_slice(format);
    out.extend_from_slice(text);
    out.extend_from_slice(b"\r\n");
}

fn group<'a>(sign: u8, all: &'a [Frame], left: &mut Vec<&'a Frame>, out: &mut Vec<u8>) {
    count(sign, all.len(), out);
    left.extend(all.iter().rev());
}

fn map<'a>(
    sign: u8,
    length: usize,
    pairs: &'a [(Frame, Frame)],
    left: &mut Vec<&'a Frame>,
    out: &mut Vec<u8>,
) {
    count(sign, length, out);
    left.extend(pairs.iter().rev().flat_map(|(key, value)| [value, key]));
}

#[derive(Debug)]
enum OpenFrame {
    Aggregate(Aggregate, Vec<Frame>),
    Blob(BlobKind, Vec<u8>),
    /// A whole attribute, before its value.
    Told(Vec<(Frame, Frame)>),
}

/// Puts events together.
#[derive(Debug, Default)]
pub struct FrameBuilder {
    parts: Vec<OpenFrame>,
}

impl FrameBuilder {
    /// Takes an event; the frame that it made whole, if that is an element of nothing: one at the top, or a push.
    pub fn add_event(&mut self, event: Event<'_>) -> Option<Frame> {
        let frame = match event {
            Event::Null => Frame::Null,
            Event::Boolean(b) => Frame::Boolean(b),
            Event::Integer(n) => Frame::Integer(n),
            Event::Double(d, _) => Frame::Double(d),
            Event::BigNumber(digits) => Frame::BigNumber(digits.to_vec()),
            Event::SimpleString(text) => Frame::SimpleString(text.to_vec()),
            Event::SimpleError(text) => Frame::SimpleError(text.to_vec()),
            Event::BlobBegin(blob, length) => {
                self.parts.push(OpenFrame::Blob(blob, Vec::with_capacity(length)));
                return None;
            }
            Event::BlobBytes(bytes) => {
                if let Some(OpenFrame::Blob(_, text)) = self.parts.last_mut() {
                    text.extend_from_slice(bytes);
                }
                return None;
            }
            Event::AggregateBegin(group, _) => {
                self.parts.push(OpenFrame::Aggregate(group, Vec::new()));
                return None;
            }
            Event::BlobEnd => match self.parts.pop() {
                Some(OpenFrame::Blob(blob, text)) => Frame::Blob(blob, text),
                _ => return None,
            },
            Event::AggregateEnd(_) => match self.parts.pop() {
                Some(OpenFrame::Aggregate(Aggregate::Array, all)) => Frame::Array(all),
                Some(OpenFrame::Aggregate(Aggregate::Set, all)) => Frame::Set(all),
                Some(OpenFrame::Aggregate(Aggregate::Map, all)) => Frame::Map(pairs(all)),
                Some(OpenFrame::Aggregate(Aggregate::Push, all)) => return Some(Frame::Push(all)),
                Some(OpenFrame::Aggregate(Aggregate::Attribute, all)) => {
                    // Several before one value are one: nested, they would go as deep as a peer likes.
                    match self.parts.last_mut() {
                        Some(OpenFrame::Told(told)) => told.extend(pairs(all)),
                        _ => self.parts.push(OpenFrame::Told(pairs(all))),
                    }
                    return None;
                }
                _ => return None,
            },
        };
        let frame = match self.parts.pop() {
            Some(OpenFrame::Told(told)) => Frame::Attribute(told, Box::new(frame)),
            part => {
                self.parts.extend(part);
                frame
            }
        };
        match self.parts.last_mut() {
            Some(OpenFrame::Aggregate(_, all)) => {
                all.push(frame);
                None
            }
            _ => Some(frame),
        }
    }
}

fn pairs(all: Vec<Frame>) -> Vec<(Frame, Frame)> {
    let mut all = all.into_iter();
    std::iter::from_fn(|| Some((all.next()?, all.next()?))).collect()
}

/// Reads frames as trees.
#[derive(Debug, Default)]
pub struct FrameReader {
    decoder: Decoder,
    builder: FrameBuilder,
}

impl FrameReader {
    /// A reader at the start of a connection.
    pub fn new(limits: Limits) -> Self {
        FrameReader { decoder: Decoder::new(limits), builder: FrameBuilder::default() }
    }

    /// True if a frame has begun and not ended.
    pub fn in_progress(&self) -> bool {
        self.decoder.in_progress()
    }

    /// Takes input up to the end of a frame or of a push; tells how much it took, and the frame.
    ///
    /// # Errors
    /// The input is not the protocol's, or goes past a limit. Nothing can be understood after it.
    pub fn feed(&mut self, input: &[u8]) -> Result<(usize, Option<Frame>), ProtocolError> {
        let mut whole = None;
        let builder = &mut self.builder;
        let (used, end) = self.decoder.feed(input, |event| {
            whole = builder.add_event(event).or(whole.take());
            Ok(())
        })?;
        debug_assert_eq!(matches!(end, Some(Completed::Push)), matches!(whole, Some(Frame::Push(_))));
        Ok((used, whole))
    }
}
