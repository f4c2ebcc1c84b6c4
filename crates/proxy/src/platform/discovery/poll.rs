//! One HTTP request to discovery: its connection, and how far request and response have got.

use super::http::ResponseReader;
use super::list::{read_list, ListError, ListUpdate, TopologyNames};
use crate::io_error::{ErrorCause, LOCAL_RETRY_DELAY};
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
/// No connection could be opened.
const NO_CONNECTION: ListError = ListError::Http("no connection");
/// The connection ended or broke.
const CONNECTION_LOST: ListError = ListError::Http("connection lost");

/// Reads that may fail, one after the other, before a connection counts as lost. One that is lost tells its end after an error.
const MAX_READ_ERRORS: u32 = 16;

/// Why a poll brought no list.
#[derive(Debug, PartialEq, Eq)]
pub enum PollFailure {
    /// This machine could not make the call.
    NotMade(ListError),
    /// Discovery could not be reached, or turned the call away.
    Refused(ListError),
    /// Discovery had the call, and no usable answer could be read. `has_begun` says that a part of it came.
    AnswerLost {
        /// What was wrong.
        error: ListError,
        /// A part of the answer came.
        has_begun: bool,
    },
}

/// How far a poll has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// The socket tells when it can go on.
    Waiting,
    /// The response is complete.
    Complete,
}

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
    /// When its connection was begun.
    pub began_at: Nanos,
    /// True for a long poll, which discovery answers when the list changes.
    pub is_long: bool,
    deadline: Nanos,
    /// When the first and the latest bytes of the response arrived.
    received_at: Option<(Nanos, Nanos)>,
    response: ResponseReader,
    /// A read has failed with an error of the connection.
    has_read_error: bool,
    /// When a transfer is tried again that this machine had no room for.
    retry_at: Option<Nanos>,
}

/// The failure that an error of opening a connection is.
fn failure_of_connect(error: &io::Error) -> PollFailure {
    match ErrorCause::of_connect(error) {
        ErrorCause::Interrupted
        | ErrorCause::WouldBlock
        | ErrorCause::LocalShortage
        | ErrorCause::NoRoute => PollFailure::NotMade(NO_CONNECTION),
        ErrorCause::Peer => PollFailure::Refused(NO_CONNECTION),
    }
}

impl Poll {
    /// Starts a connection to discovery and prepares the request. With a `wait` it is a long poll, which discovery may hold for that
    /// time until the list changes.
    ///
    /// # Errors
    /// The connection can't be opened.
    pub fn open(registry: &Registry, token: Token, call: &Call, now: Nanos) -> Result<Poll, PollFailure> {
        let Call { address, since, wait, max_body } = *call;
        let query = match since {
            Some(version) => format!("?since={version}&timeout_ms={}", wait.unwrap_or(0) / MS),
            None => String::new(),
        };
        let request = format!(
            "GET /catalog/members{query} HTTP/1.1\r\nHost: {address}\r\nAccept: application/json\r\n\
             Connection: close\r\n\r\n"
        );
        let mut stream = TcpStream::connect(address).map_err(|error| failure_of_connect(&error))?;
        registry
            .register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)
            .map_err(|_| PollFailure::NotMade(NO_CONNECTION))?;
        Ok(Poll {
            token,
            stream,
            request: request.into_bytes(),
            written: 0,
            began_at: now,
            is_long: wait.is_some(),
            deadline: now + wait.unwrap_or(0) + RESPONSE_TIMEOUT,
            received_at: None,
            response: ResponseReader::new(max_body),
            has_read_error: false,
            retry_at: None,
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

    /// When a transfer is tried again that this machine had no room for.
    pub fn retry_at(&self) -> Option<Nanos> {
        self.retry_at
    }

    /// Reads and writes as far as the socket allows, and returns the parsed response once the poll has ended.
    pub fn advance(&mut self, names: &TopologyNames, now: Nanos) -> Option<Result<ListUpdate, PollFailure>> {
        self.retry_at = None;
        match self.transfer(now) {
            Ok(Progress::Waiting) => None,
            Ok(Progress::Complete) => {
                let json = serde_json::from_slice(self.response.body()).map_err(|_| ListError::Json);
                let update = json.and_then(|json| read_list(&json, names));
                Some(update.map_err(|error| self.answer_lost(error)))
            }
            Err(failure) => Some(Err(failure)),
        }
    }

    /// The failure of a poll that discovery had.
    fn answer_lost(&self, error: ListError) -> PollFailure {
        PollFailure::AnswerLost { error, has_begun: self.received_at.is_some() }
    }

    /// Writes and reads as far as the socket allows.
    fn transfer(&mut self, now: Nanos) -> Result<Progress, PollFailure> {
        match self.write_request(now)? {
            Progress::Complete => self.read_response(now),
            Progress::Waiting => Ok(Progress::Waiting),
        }
    }

    /// Writes what is left of the request.
    fn write_request(&mut self, now: Nanos) -> Result<Progress, PollFailure> {
        while self.written < self.request.len() {
            let error = match self.stream.write(&self.request[self.written..]) {
                Ok(written) => {
                    self.written += written;
                    continue;
                }
                Err(error) => error,
            };
            if error.kind() == io::ErrorKind::NotConnected {
                return Ok(Progress::Waiting);
            }
            match ErrorCause::of(&error) {
                ErrorCause::Interrupted => {}
                ErrorCause::WouldBlock => return Ok(Progress::Waiting),
                ErrorCause::LocalShortage => return Ok(self.retry_later(now)),
                ErrorCause::NoRoute => return Err(PollFailure::NotMade(CONNECTION_LOST)),
                ErrorCause::Peer => return Err(PollFailure::Refused(CONNECTION_LOST)),
            }
        }
        Ok(Progress::Complete)
    }

    /// Reads the response up to its end, or until the socket is empty. A read that fails does not say so: what the connection
    /// has brought is read up to EAGAIN or its end.
    fn read_response(&mut self, now: Nanos) -> Result<Progress, PollFailure> {
        let mut buffer = [0; READ_BUFFER_BYTES];
        let mut errors = 0;
        while !self.response.is_complete() {
            let error = match self.stream.read(&mut buffer) {
                // The end behind an error is that of a connection that was reset, and not of the response.
                Ok(0) if self.response.ends_with_connection() && !self.has_read_error => break,
                Ok(0) => return Err(self.answer_lost(CONNECTION_LOST)),
                Ok(length) => {
                    self.received_at = Some((self.received_at.map_or(now, |(first, _)| first), now));
                    self.response
                        .parse(&buffer[..length])
                        .map_err(|error| self.failure_of_response(error))?;
                    continue;
                }
                Err(error) => error,
            };
            match ErrorCause::of(&error) {
                ErrorCause::Interrupted => {}
                ErrorCause::WouldBlock => return Ok(Progress::Waiting),
                ErrorCause::LocalShortage => return Ok(self.retry_later(now)),
                ErrorCause::NoRoute | ErrorCause::Peer => {
                    self.has_read_error = true;
                    errors += 1;
                    if errors >= MAX_READ_ERRORS {
                        return Err(self.answer_lost(CONNECTION_LOST));
                    }
                }
            }
        }
        Ok(Progress::Complete)
    }

    /// The failure that a malformed response, or one with another status, is.
    fn failure_of_response(&self, error: ListError) -> PollFailure {
        match error {
            ListError::Status(_) => PollFailure::Refused(error),
            error => self.answer_lost(error),
        }
    }

    /// Has the transfer tried again after a short wait.
    fn retry_later(&mut self, now: Nanos) -> Progress {
        self.retry_at = Some(now + LOCAL_RETRY_DELAY);
        Progress::Waiting
    }
}
