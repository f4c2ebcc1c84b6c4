//! HTTP responses of discovery, as they arrive: the head, and a body framed in any of the ways of HTTP/1.1 (RFC 9112). No sockets.

use super::list::ListError;

/// The maximum size of a response head and of a trailer line, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// The maximum length of a line with a chunk size, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 256;
/// The maximum number of fields in a head.
const MAX_FIELDS: usize = 64;

/// How the rest of a response is framed.
#[derive(Clone, Copy, Debug)]
enum Framing {
    /// The head is not complete.
    Head,
    /// The body has this many bytes left.
    Remaining(usize),
    /// The current chunk has this many bytes left; 0 if the line with its size is still to come.
    Chunk(usize),
    /// The line end after a chunk.
    ChunkEnd,
    /// The trailer after the last chunk, with the length of its current line so far.
    Trailer(usize),
    /// The body extends to the end of the connection.
    UntilClose,
    Complete,
}

/// A response that is being received.
#[derive(Debug)]
pub struct ResponseReader {
    max_body: usize,
    framing: Framing,
    /// Input that is not complete enough to parse: a head, or the line with a chunk size.
    pending: Vec<u8>,
    body: Vec<u8>,
}

impl ResponseReader {
    /// A response of which nothing has arrived, with a body of up to `max_body` bytes.
    pub fn new(max_body: usize) -> Self {
        ResponseReader { max_body, framing: Framing::Head, pending: Vec::new(), body: Vec::new() }
    }

    /// Whether the whole response has arrived.
    pub fn is_complete(&self) -> bool {
        matches!(self.framing, Framing::Complete)
    }

    /// Whether the body extends to the end of the connection.
    pub fn ends_with_connection(&self) -> bool {
        matches!(self.framing, Framing::UntilClose)
    }

    /// The body, as far as it has arrived.
    pub fn body(&self) -> &[u8] {
        &self.body
    }

    /// Parses the next bytes of the response.
    ///
    /// # Errors
    /// The response is malformed or too long, or has another status than 200.
    pub fn parse(&mut self, mut input: &[u8]) -> Result<(), ListError> {
        while !input.is_empty() {
            match self.framing {
                Framing::Head => {
                    self.pending.extend_from_slice(input);
                    let Some(head_length) = self.parse_head()? else { return Ok(()) };
                    let pending = std::mem::take(&mut self.pending);
                    return self.parse(&pending[head_length..]);
                }
                Framing::UntilClose => {
                    self.append_body(input)?;
                    return Ok(());
                }
                Framing::Remaining(left) => {
                    let n = left.min(input.len());
                    self.append_body(&input[..n])?;
                    input = &input[n..];
                    self.framing = if left == n { Framing::Complete } else { Framing::Remaining(left - n) };
                }
                Framing::Chunk(0) => {
                    self.pending.push(input[0]);
                    input = &input[1..];
                    if self.pending.ends_with(b"\n") {
                        self.framing = match httparse::parse_chunk_size(&self.pending) {
                            Ok(httparse::Status::Complete((_, 0))) => Framing::Trailer(0),
                            Ok(httparse::Status::Complete((_, n))) if n <= self.max_body as u64 => {
                                Framing::Chunk(n as usize)
                            }
                            _ => return Err(ListError::Http("bad chunk")),
                        };
                        self.pending.clear();
                    } else if self.pending.len() > MAX_CHUNK_LINE_BYTES {
                        return Err(ListError::Http("bad chunk"));
                    }
                }
                Framing::Chunk(left) => {
                    let n = left.min(input.len());
                    self.append_body(&input[..n])?;
                    input = &input[n..];
                    self.framing = if left == n { Framing::ChunkEnd } else { Framing::Chunk(left - n) };
                }
                Framing::ChunkEnd => {
                    match input[0] {
                        b'\r' => {}
                        b'\n' => self.framing = Framing::Chunk(0),
                        _ => return Err(ListError::Http("bad chunk")),
                    }
                    input = &input[1..];
                }
                Framing::Trailer(line_length) => {
                    self.framing = match input[0] {
                        b'\n' if line_length == 0 => Framing::Complete,
                        b'\n' => Framing::Trailer(0),
                        b'\r' => Framing::Trailer(line_length),
                        _ if line_length > MAX_HEAD_BYTES => {
                            return Err(ListError::Http("trailer is too long"))
                        }
                        _ => Framing::Trailer(line_length + 1),
                    };
                    input = &input[1..];
                }
                Framing::Complete => return Ok(()),
            }
        }
        Ok(())
    }

    fn append_body(&mut self, part: &[u8]) -> Result<(), ListError> {
        if self.body.len() + part.len() > self.max_body {
            return Err(ListError::Http("body is too long"));
        }
        self.body.extend_from_slice(part);
        Ok(())
    }

    /// Parses the head once it is complete, sets the framing of the body, and returns the length of the head.
    fn parse_head(&mut self) -> Result<Option<usize>, ListError> {
        if !self.pending.windows(4).any(|w| w == b"\r\n\r\n") {
            let is_too_long = self.pending.len() > MAX_HEAD_BYTES;
            return if is_too_long { Err(ListError::Http("head is too long")) } else { Ok(None) };
        }
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut head = httparse::Response::new(&mut fields);
        let Ok(httparse::Status::Complete(length)) = head.parse(&self.pending) else {
            return Err(ListError::Http("bad head"));
        };
        let code = head.code.unwrap_or(0);
        if code != 200 {
            return Err(ListError::Status(code));
        }
        let mut framing = Framing::UntilClose;
        for field in head.headers.iter() {
            let value = std::str::from_utf8(field.value).unwrap_or_default().trim();
            if field.name.eq_ignore_ascii_case("transfer-encoding") {
                if !value.eq_ignore_ascii_case("chunked") {
                    return Err(ListError::Http("unknown transfer-encoding"));
                }
                framing = Framing::Chunk(0);
            } else if field.name.eq_ignore_ascii_case("content-length")
                && !matches!(framing, Framing::Chunk(_))
            {
                let n = value.parse().map_err(|_| ListError::Http("bad content-length"))?;
                framing = if n == 0 { Framing::Complete } else { Framing::Remaining(n) };
            }
        }
        self.framing = framing;
        Ok(Some(length))
    }
}
