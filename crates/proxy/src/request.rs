//! Requests: the command that a client sent, and the table of open requests, each from its arrival until it is answered
//! and no attempt is under way. No sockets here; connections are represented by their numbers.

use crate::client_ids::ClientIds;
use crate::platform::config::Config;
use crate::platform::shared_ids::{IdClaim, SharedIds};
use crate::write_history::WriteHistory;
use calicosaddle::api::{server_id, Nanos, Request, RequestId, RetrySafety, ServerId};
use resp::{Command, Protocol, Reply};
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::io::Write;
use std::ops::Range;
use std::rc::Rc;

const MS: Nanos = 1_000_000;
/// The proxy answers this long before the client's time is up (a tenth of it where that is less), so that the answer is
/// in time even if the event loop is delayed.
const ANSWER_MARGIN: Nanos = 10 * MS;
/// How long after its client has shut down its sending side an open attempt of a request may still be written: long
/// enough for a request that arrives together with the end of the stream. Attempts that begin 100 ms after the close
/// count as sent for a client that has gone.
pub const HALF_CLOSE_GRACE: Nanos = 50 * MS;
/// The index of the argument with the fields, which state the time-out.
pub const FIELDS_INDEX: usize = 3;
/// The longest written value that is copied behind its command. A longer one is sent from its own buffer.
const MAX_COPIED_VALUE_BYTES: usize = 16 << 10;
/// The longest key, in bytes.
const MAX_KEY_BYTES: usize = 256;
/// The longest request id, in bytes.
const MAX_ID_BYTES: usize = 64;

/// A read or write command from a client.
#[derive(Debug)]
pub struct Query {
    command: Command,
    /// The position of the value of `d` (the time-out) in the fourth argument.
    timeout_range: Range<usize>,
    /// The index of its class.
    pub class: u32,
    /// The index of its tenant.
    pub tenant: Option<u32>,
    /// Its key.
    pub key: u64,
    /// True for a write, false for a read.
    pub write: bool,
    /// How long the client waits for the answer.
    pub timeout: Nanos,
    /// The expected amount of work, if given.
    pub expected_work: Option<Nanos>,
    /// The client marked it as a retry.
    pub is_retry: bool,
    /// Its attempts that a node may have carried out.
    pub written: RefCell<WriteHistory>,
    /// No attempt is written from this time on. It is set when the client shuts down its sending side.
    pub send_until: Cell<Nanos>,
}

/// The fields of a command's fourth argument, `name=value` separated by commas.
#[derive(Default)]
struct Fields {
    class: Option<usize>,
    tenant: Option<u32>,
    /// The time-out, and the position of its value in the argument.
    timeout: Option<(Nanos, Range<usize>)>,
    has_dedup_key: bool,
    expected_work: Option<Nanos>,
    is_retry: bool,
}

impl Fields {
    fn parse(text: &str, config: &Config) -> Result<Fields, &'static str> {
        let mut fields = Fields::default();
        let mut start = 0;
        for field in text.split(',') {
            let (name, value) = field.split_once('=').ok_or("-ERR a field has no value\r\n")?;
            match name {
                "c" => fields.class = config.classes.iter().position(|c| c == value),
                "t" => fields.tenant = config.tenants.iter().position(|t| t == value).map(|t| t as u32),
                "d" => {
                    let ms: u64 = value.parse().map_err(|_| "-ERR d is not a number\r\n")?;
                    fields.timeout = Some((ms.saturating_mul(MS), start + 2..start + field.len()));
                }
                "k" => fields.has_dedup_key = !value.is_empty(),
                "r" => fields.is_retry = value == "1",
                "h" => fields.expected_work = value.parse::<u64>().ok().map(|us| us.saturating_mul(1_000)),
                _ => {}
            }
            start += field.len() + 1;
        }
        Ok(fields)
    }
}

/// The time-out that a client stated, capped at its class's maximum, which bounds how long state is kept.
fn capped_timeout(timeout: Nanos, class: usize, config: &Config) -> Nanos {
    timeout.min(config.settings.classes.get(class).map_or(0, |c| c.deadline))
}

/// The time-out of a command whose value is not complete, from its fourth argument; `None` if that is invalid.
pub fn stated_timeout(fields: &[u8], config: &Config) -> Option<Nanos> {
    let fields = Fields::parse(std::str::from_utf8(fields).ok()?, config).ok()?;
    let (timeout, _) = fields.timeout?;
    Some(capped_timeout(timeout, fields.class?, config))
}

impl Query {
    /// Parses a `CACHE.GET` or `CACHE.SET` command.
    ///
    /// # Errors
    /// The error line for a client whose command is invalid.
    pub fn parse(command: Command, config: &Config) -> Result<Query, &'static str> {
        let write = command.arg(0).eq_ignore_ascii_case(b"CACHE.SET");
        if command.arity() != if write { 5 } else { 4 } {
            return Err("-ERR wrong number of arguments\r\n");
        }
        // Invalid arguments are not forwarded: a cache node may close the connection on them, which would also fail
        // the requests pipelined behind.
        let is_valid = |i: usize, max_bytes: usize| {
            let arg = command.arg(i);
            !arg.is_empty() && arg.len() <= max_bytes && arg.iter().all(u8::is_ascii_graphic)
        };
        if !is_valid(1, MAX_KEY_BYTES) {
            return Err("-ERR invalid key\r\n");
        }
        if !is_valid(2, MAX_ID_BYTES) {
            return Err("-ERR invalid request id\r\n");
        }
        let text =
            std::str::from_utf8(command.arg(FIELDS_INDEX)).map_err(|_| "-ERR fields are not text\r\n")?;
        let Fields { class, tenant, timeout, has_dedup_key, expected_work, is_retry } =
            Fields::parse(text, config)?;
        let class = class.ok_or("-ERR unknown class\r\n")?;
        let (timeout, timeout_range) = timeout.ok_or("-ERR d is missing\r\n")?;
        // Cache nodes recognise a retried write by its deduplication key; a keyed write without one could run twice.
        let keyed = config.settings.classes.get(class).is_some_and(|c| c.retry_safety == RetrySafety::Keyed);
        if keyed && !has_dedup_key {
            return Err("-ERR k is missing\r\n");
        }
        let timeout = capped_timeout(timeout, class, config);
        let name = std::str::from_utf8(command.arg(1)).unwrap_or_default();
        let hex = if name.len() <= 16 { u64::from_str_radix(name, 16).ok() } else { None };
        let key = hex.unwrap_or_else(|| server_id(&String::from_utf8_lossy(command.arg(1))));
        Ok(Query {
            timeout_range,
            class: class as u32,
            tenant,
            key,
            write,
            timeout,
            expected_work,
            is_retry,
            written: RefCell::new(WriteHistory::new(config.settings.classes.get(class))),
            send_until: Cell::new(Nanos::MAX),
            command,
        })
    }

    /// Whether it may change something at a cache node: it is a write, or its class limits repeats.
    pub fn has_effect(&self) -> bool {
        self.write || self.written.borrow().limits_repeats()
    }

    /// Encodes the command for a cache node, without a write's value, with the time that the proxy will wait.
    pub fn encode(&self, timeout_ms: u64, out: &mut Vec<u8>) {
        self.encode_with_id(self.id(), timeout_ms, out);
    }

    /// As [`Query::encode`], with another request id.
    pub fn encode_with_id(&self, id: &[u8], timeout_ms: u64, out: &mut Vec<u8>) {
        // Writing to a vector cannot fail.
        let _ = write!(out, "*{}\r\n", self.command.arity());
        for arg in [self.command.arg(0), self.command.arg(1), id] {
            let _ = write!(out, "${}\r\n", arg.len());
            out.extend_from_slice(arg);
            out.extend_from_slice(b"\r\n");
        }
        let fields = self.command.arg(FIELDS_INDEX);
        let (before, after) = (&fields[..self.timeout_range.start], &fields[self.timeout_range.end..]);
        let digits = timeout_ms.checked_ilog10().unwrap_or(0) as usize + 1;
        let _ = write!(out, "${}\r\n", before.len() + digits + after.len());
        out.extend_from_slice(before);
        let _ = write!(out, "{timeout_ms}");
        out.extend_from_slice(after);
        out.extend_from_slice(b"\r\n");
        if self.write {
            let _ = write!(out, "${}\r\n", self.value().len());
        }
    }

    /// The request id that the client gave.
    pub fn id(&self) -> &[u8] {
        self.command.arg(2)
    }

    /// Whether its value is long enough for a part of it to wait in buffers of the sockets.
    pub fn is_long(&self) -> bool {
        self.value().len() > MAX_COPIED_VALUE_BYTES
    }

    /// A write's value.
    pub fn value(&self) -> &[u8] {
        self.command.arg(4)
    }
}

/// The position of a request's answer among the answers on a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplySlot {
    /// The connection.
    pub client: usize,
    /// The command's number, which is different for each command since the start.
    pub number: u64,
}

/// The one final answer to a request, before it is encoded in the client's protocol.
#[derive(Clone, Copy, Debug)]
pub enum Answer<'a> {
    /// A cache node's reply, and the bytes that came with it.
    Served(&'a Reply, &'a [u8]),
    /// A refusal: retrying is harmless, after this many milliseconds (0: no advice).
    Busy(u64),
    /// The request failed; whether it took effect is unknown.
    Failed,
    /// Another open request has the same id.
    IdInUse,
}

impl Answer<'_> {
    /// Encodes the answer. Error lines are the same in both protocols.
    pub fn write(&self, protocol: Protocol, out: &mut Vec<u8>) {
        match self {
            Answer::Served(reply, bytes) => reply.write(bytes, protocol, out),
            Answer::Busy(0) => out.extend_from_slice(b"-BUSY\r\n"),
            Answer::Busy(ms) => {
                // Writing to a vector cannot fail.
                let _ = write!(out, "-BUSY {ms}\r\n");
            }
            Answer::Failed => out.extend_from_slice(b"-ERR failed\r\n"),
            Answer::IdInUse => out.extend_from_slice(b"-ERR the request id is in use\r\n"),
        }
    }
}

/// An attempt that has not ended.
#[derive(Debug)]
pub struct Attempt {
    /// Its number within the request.
    pub number: u32,
    /// The node it was sent to.
    pub server: ServerId,
    /// When it was sent.
    pub sent: Nanos,
    /// The connection that carries it.
    pub connection: Option<usize>,
}

/// A request that is not answered yet or has open attempts.
#[derive(Debug)]
struct OpenRequest {
    slot: ReplySlot,
    query: Rc<Query>,
    deadline: Nanos,
    attempts_started: u32,
    open_attempts: Vec<Attempt>,
    answered: bool,
    /// The id that the client gave stays in use after the request has ended.
    keeps_id: bool,
    /// The client has shut down its sending side, and the balancer was notified; an open attempt may still answer the
    /// request.
    client_half_closed: bool,
}

/// An attempt that was just started.
#[derive(Debug)]
pub struct StartedAttempt {
    /// Its number within the request.
    pub number: u32,
    /// The client's command.
    pub query: Rc<Query>,
    /// The request's deadline.
    pub deadline: Nanos,
    /// The request allows no further attempt: this one must not be sent.
    pub must_not_send: bool,
}

/// The open requests.
#[derive(Debug, Default)]
pub struct RequestTable {
    open: FxHashMap<RequestId, OpenRequest>,
    /// The ids that clients gave to the requests.
    client_ids: ClientIds,
}

impl RequestTable {
    /// No requests; see [`ClientIds::new`] for `shared_ids`.
    pub fn new(shared_ids: Option<SharedIds>) -> Self {
        RequestTable { client_ids: ClientIds::new(shared_ids), ..RequestTable::default() }
    }

    /// The number of open requests, including answered ones with open attempts.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// The number of requests that are not answered yet.
    pub fn unanswered(&self) -> usize {
        self.open.values().filter(|o| !o.answered).count()
    }

    /// Adds a request that may have arrived as early as `arrived`. Returns the event for the balancer and the
    /// request's deadline, which is no later than `latest_deadline`.
    ///
    /// # Errors
    /// The answer if the request can't be accepted: another open request has the same id, and cache nodes would treat it as
    /// a copy of that, or nothing can be learned of the id.
    pub fn insert(
        &mut self,
        id: RequestId,
        slot: ReplySlot,
        query: Rc<Query>,
        arrived: Nanos,
        latest_deadline: Option<Nanos>,
        now: Nanos,
    ) -> Result<(Request, Nanos), Answer<'static>> {
        match self.client_ids.take(query.id()) {
            IdClaim::Taken => {}
            IdClaim::InUse => return Err(Answer::IdInUse),
            IdClaim::Unknown => return Err(Answer::Busy(0)),
        }
        let margin = ANSWER_MARGIN.min(query.timeout / 10);
        let deadline = (arrived + query.timeout - margin).min(latest_deadline.unwrap_or(Nanos::MAX));
        let request = Request {
            id,
            class: query.class,
            tenant: query.tenant,
            key: Some(query.key),
            remaining: deadline.saturating_sub(now),
            expected_work: query.expected_work,
            is_retry: query.is_retry,
            write: query.write,
        };
        let open = OpenRequest {
            slot,
            query,
            deadline,
            attempts_started: 0,
            open_attempts: Vec::new(),
            answered: false,
            keeps_id: false,
            client_half_closed: false,
        };
        self.open.insert(id, open);
        Ok((request, deadline))
    }

    /// Starts an attempt; returns `None` if the request is not open.
    pub fn start_attempt(
        &mut self,
        id: RequestId,
        server: ServerId,
        max_attempts: u32,
        now: Nanos,
    ) -> Option<StartedAttempt> {
        let open = self.open.get_mut(&id)?;
        let number = open.attempts_started;
        open.attempts_started += 1;
        open.open_attempts.push(Attempt { number, server, sent: now, connection: None });
        let client_may_have_left = open.client_half_closed || open.query.send_until.get() <= now;
        let must_not_send =
            open.answered || client_may_have_left || open.deadline <= now || number >= max_attempts;
        Some(StartedAttempt { number, query: open.query.clone(), deadline: open.deadline, must_not_send })
    }

    /// Records the connection that carries an attempt.
    pub fn set_connection(&mut self, id: RequestId, attempt: u32, connection: usize) {
        let attempts = self.open.get_mut(&id).map(|o| &mut o.open_attempts);
        if let Some(a) = attempts.and_then(|all| all.iter_mut().find(|a| a.number == attempt)) {
            a.connection = Some(connection);
        }
    }

    /// An open attempt.
    pub fn attempt(&self, id: RequestId, attempt: u32) -> Option<&Attempt> {
        self.open.get(&id)?.open_attempts.iter().find(|a| a.number == attempt)
    }

    /// The numbers of a request's open attempts.
    pub fn open_attempts(&self, id: RequestId) -> Vec<u32> {
        self.open.get(&id).map_or_else(Vec::new, |o| o.open_attempts.iter().map(|a| a.number).collect())
    }

    /// Removes an attempt that has ended.
    pub fn end_attempt(&mut self, id: RequestId, attempt: u32) -> Option<Attempt> {
        let attempts = &mut self.open.get_mut(&id)?.open_attempts;
        let index = attempts.iter().position(|a| a.number == attempt)?;
        Some(attempts.swap_remove(index))
    }

    /// The command of an open request.
    pub fn query(&self, id: RequestId) -> Option<&Rc<Query>> {
        self.open.get(&id).map(|o| &o.query)
    }

    /// The command of a request that is not answered yet.
    pub fn unanswered_query(&self, id: RequestId) -> Option<&Rc<Query>> {
        self.open.get(&id).filter(|o| !o.answered).map(|o| &o.query)
    }

    /// The requests that are not answered yet.
    pub fn unanswered_ids(&self) -> Vec<RequestId> {
        self.open.iter().filter(|(_, open)| !open.answered).map(|(id, _)| *id).collect()
    }

    /// True if the request is open and not answered yet.
    pub fn is_unanswered(&self, id: RequestId) -> bool {
        self.open.get(&id).is_some_and(|o| !o.answered)
    }

    /// Records that the client has shut down its sending side, so that no further attempt is started for the request and
    /// open ones are only written before `send_until`. Returns false if the request is already answered or not open.
    pub fn mark_half_closed(&mut self, id: RequestId, send_until: Nanos) -> bool {
        let Some(open) = self.open.get_mut(&id).filter(|o| !o.answered) else { return false };
        open.client_half_closed = true;
        // Where the end was hidden behind unread input, nothing may have been written since then.
        let send_until = send_until.min(open.query.send_until.get());
        open.query.send_until.set(send_until);
        true
    }

    /// Sets until when an attempt of a request may be written, unless its client has shut down its sending side.
    pub fn set_send_until(&mut self, id: RequestId, send_until: Nanos) {
        if let Some(open) = self.open.get(&id).filter(|open| !open.client_half_closed) {
            open.query.send_until.set(send_until);
        }
    }

    /// True if the request is unanswered, its client has shut down its sending side, and no attempt is open that
    /// could answer it.
    pub fn is_orphaned(&self, id: RequestId) -> bool {
        self.open.get(&id).is_some_and(|o| !o.answered && o.client_half_closed && o.open_attempts.is_empty())
    }

    /// Marks a request as answered. Returns where the answer goes and the request's class, or `None` if it was
    /// answered before.
    pub fn mark_answered(&mut self, id: RequestId) -> Option<(ReplySlot, u32)> {
        let open = self.open.get_mut(&id).filter(|o| !o.answered)?;
        open.answered = true;
        Some((open.slot, open.query.class))
    }

    /// Removes a request that is answered and has no open attempt.
    pub fn retire(&mut self, id: RequestId) {
        if self.open.get(&id).is_some_and(|o| o.answered && o.open_attempts.is_empty()) {
            match self.open.remove(&id) {
                Some(open) if open.keeps_id => self.client_ids.keep(id, open.query.id()),
                Some(open) => self.client_ids.free(open.query.id()),
                None => {}
            }
        }
    }

    /// Keeps the id of a request in use until [`RequestTable::release_id`].
    pub fn keep_id(&mut self, id: RequestId) {
        self.open.entry(id).and_modify(|open| open.keeps_id = true);
    }

    /// Keeps the id of a request that was not served in use until its deadline, when [`RequestTable::release_id`] is due,
    /// if an attempt may have run: a node may carry it out until then, and a second request with the id would be another.
    pub fn keep_id_of_unserved(&mut self, id: RequestId, now: Nanos) {
        let may_run = |open: &OpenRequest| open.deadline > now && !open.query.written.borrow().is_empty();
        if self.open.get(&id).is_some_and(may_run) {
            self.keep_id(id);
        }
    }

    /// Lets an id be used again once its request has ended.
    pub fn release_id(&mut self, id: RequestId) {
        self.open.entry(id).and_modify(|open| open.keeps_id = false);
        self.client_ids.release(id);
    }
}

#[cfg(test)]
pub(crate) mod tests {
    use super::*;
    use resp::{CommandParser, MemoryBudget};

    fn parse(bytes: &[u8], config: &Config) -> Rc<Query> {
        let mut parser = CommandParser::new(MemoryBudget::new(0));
        let (_, command) = parser.feed(bytes).expect("a command");
        Rc::new(Query::parse(command.expect("complete"), config).expect("valid"))
    }

    /// A read as a client sends it.
    pub fn query(config: &Config) -> Rc<Query> {
        parse(b"*4\r\n$9\r\nCACHE.GET\r\n$1\r\n1\r\n$1\r\na\r\n$12\r\nc=read,d=500\r\n", config)
    }

    /// A write as a client sends it.
    pub fn write_query(config: &Config) -> Rc<Query> {
        let bytes = b"*5\r\n$9\r\nCACHE.SET\r\n$1\r\n1\r\n$1\r\nb\r\n$12\r\nc=read,d=500\r\n$1\r\nv\r\n";
        parse(bytes, config)
    }

    #[test]
    fn a_request_is_answered_once_and_no_attempt_is_sent_after_the_answer() {
        let config = crate::platform::config::tests::sample();
        let (mut table, slot) = (RequestTable::default(), ReplySlot { client: 3, number: 9 });
        let (request, deadline) = table.insert(1, slot, query(&config), 0, None, MS).expect("accepted");
        assert_eq!((request.remaining, deadline), (489 * MS, 490 * MS));
        // A second request with the same client id is not accepted while the first is open.
        assert!(matches!(table.insert(2, slot, query(&config), 0, None, MS), Err(Answer::IdInUse)));
        let first = table.start_attempt(1, 7, 2, MS).expect("started");
        assert_eq!((first.number, first.must_not_send), (0, false));
        table.set_connection(1, 0, 5);
        assert_eq!(table.attempt(1, 0).and_then(|a| a.connection), Some(5));
        assert_eq!(table.mark_answered(1), Some((slot, 0)));
        assert_eq!(table.mark_answered(1), None);
        assert!(!table.mark_half_closed(1, 60 * MS) && !table.is_unanswered(1) && !table.is_orphaned(1));
        assert!(table.start_attempt(1, 7, 2, MS).is_some_and(|a| a.must_not_send));
        table.retire(1);
        assert_eq!((table.len(), table.unanswered(), table.open_attempts(1)), (1, 0, vec![0, 1]));
        assert!(
            table.end_attempt(1, 0).is_some()
                && table.end_attempt(1, 0).is_none()
                && table.end_attempt(1, 1).is_some()
        );
        table.retire(1);
        assert_eq!(table.len(), 0);
        assert!(table.insert(2, slot, query(&config), 0, None, MS).is_ok());
    }

    #[test]
    fn no_attempt_is_sent_after_the_deadline_over_the_limit_or_for_a_client_that_left() {
        let config = crate::platform::config::tests::sample();
        let slot = ReplySlot { client: 0, number: 0 };
        let start = |max_attempts: u32, now: Nanos, left: bool| {
            let mut table = RequestTable::default();
            table.insert(1, slot, query(&config), 0, None, 0).expect("accepted");
            assert!(!left || table.mark_half_closed(1, 50 * MS));
            let must_not_send = table.start_attempt(1, 7, max_attempts, now).expect("started").must_not_send;
            assert!(!table.is_orphaned(1) && table.end_attempt(1, 0).is_some());
            (must_not_send, table.is_orphaned(1))
        };
        assert_eq!(start(1, 489 * MS, false), (false, false));
        assert_eq!(start(0, 0, false), (true, false));
        assert_eq!(start(1, 490 * MS, false), (true, false));
        assert_eq!(start(1, 0, true), (true, true));
    }
}
