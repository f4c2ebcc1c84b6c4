//! One HTTP request to discovery: its connection, and how far request and response have got.

use super::http::ResponseReader;
use super::list::{read_list, ListError, ListUpdate, TopologyNames};
use calicosaddle::api::Nanos;
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use std::io::{self, Read, Write};
use std::net::SocketAddr;

const MS: Nanos = 1_000_000;
/// How long a poll is read after its wait has ended. Discovery counts a list as delivered once it has sent it, so a
/// response that crosses with the end of its poll must still be read.
const RESPONSE_TIMEOUT: Nanos = 2_500 * MS;
/// A response that has begun but is not complete after this time is replaced by another poll, ...
const STALL_TIMEOUT: Nanos = 500 * MS;
/// ... but is read for up to this long as long as more of it arrives.
const MAX_RESPONSE_TIME: Nanos = 10_000 * MS;
/// The size of the read buffer.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// What a request asks for.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// The address of discovery.
    pub address: SocketAddr,
    /// The version of the known list, whose changes are requested; `None` requests the full list.
    pub since: Option<u64>,
    /// How long discovery may wait for a change.
    pub wait: Option<Nanos>,
    /// The maximum size of the response body, in bytes.
    pub max_body: usize,
}

/// An HTTP request to discovery in flight.
#[derive(Debug)]
pub struct Poll {
    /// Its token at the event loop.
    pub token: Token,
    stream: TcpStream,
    request: Vec<u8>,
    written: usize,
    /// True for a long poll, which discovery answers when the list changes.
    pub is_long: bool,
    deadline: Nanos,
    /// When the first and the latest bytes of the response arrived.
    received_at: Option<(Nanos, Nanos)>,
    response: ResponseReader,
}

impl Poll {
    /// Starts a connection to discovery and prepares the request. With a `wait` it is a long poll, which discovery may hold for that
    /// time until the list changes.
    ///
    /// # Errors
    /// The connection can't be opened.
    pub fn open(registry: &Registry, token: Token, call: &Call, now: Nanos) -> Result<Poll, ListError> {
        let Call { address, since, wait, max_body } = *call;
        let query = match since {
            Some(version) => format!("?since={version}&timeout_ms={}", wait.unwrap_or(0) / MS),
            None => String::new(),
        };
        let request = format!(
            "GET /catalog/members{query} HTTP/1.1\r\nHost: {address}\r\nAccept: application/json\r\n\
             Connection: close\r\n\r\n"
        );
        let no_connection = |_| ListError::Http("no connection");
        let mut stream = TcpStream::connect(address).map_err(no_connection)?;
        registry
            .register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)
            .map_err(no_connection)?;
        Ok(Poll {
            token,
            stream,
            request: request.into_bytes(),
            written: 0,
            is_long: wait.is_some(),
            deadline: now + wait.unwrap_or(0) + RESPONSE_TIMEOUT,
            received_at: None,
            response: ResponseReader::new(max_body),
        })
    }

    /// True if the response began [`STALL_TIMEOUT`] ago and is not complete.
    pub fn has_stalled(&self, now: Nanos) -> bool {
        self.received_at.is_some_and(|(first, _)| first + STALL_TIMEOUT <= now)
    }

    /// True if the deadline has passed and no response is arriving.
    pub fn has_expired(&self, now: Nanos) -> bool {
        let is_arriving = self
            .received_at
            .is_some_and(|(first, last)| last + STALL_TIMEOUT > now && first + MAX_RESPONSE_TIME > now);
        self.deadline <= now && !is_arriving
    }

    /// Reads and writes as far as the socket allows, and returns the parsed response once the poll has ended.
    pub fn advance(&mut self, names: &TopologyNames, now: Nanos) -> Option<Result<ListUpdate, ListError>> {
        let json = match self.transfer(now) {
            Ok(false) => return None,
            Ok(true) => serde_json::from_slice(self.response.body()).map_err(|_| ListError::Json),
            Err(e) => Err(e),
        };
        Some(json.and_then(|json| read_list(&json, names)))
    }

    /// Writes and reads as far as the socket allows. Returns true once the body is complete.
    fn transfer(&mut self, now: Nanos) -> Result<bool, ListError> {
        let lost = ListError::Http("connection lost");
        while self.written < self.request.len() {
            match self.stream.write(&self.request[self.written..]) {
                Ok(n) => self.written += n,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected) => {
                    return Ok(false)
                }
                Err(_) => return Err(lost),
            }
        }
        let mut buffer = [0; READ_BUFFER_BYTES];
        loop {
            match self.stream.read(&mut buffer) {
                Ok(0) if self.response.ends_with_connection() => return Ok(true),
                Ok(0) => return Err(lost),
                Ok(n) => {
                    self.received_at = Some((self.received_at.map_or(now, |(first, _)| first), now));
                    self.response.parse(&buffer[..n])?;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(false),
                Err(_) => return Err(lost),
            }
            if self.response.is_complete() {
                return Ok(true);
            }
        }
    }
}
