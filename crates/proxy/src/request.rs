//! Requests: what a client asked, and the table of those that are open, from their arrival to the one answer
//! and until nothing is under way for them. No sockets; connections are numbers here.

use crate::platform::config::Config;
use calicosaddle::api::{server_id, Nanos, Request, RequestId, RetrySafety, ServerId};
use resp::{Command, Protocol, Reply};
use rustc_hash::FxHashMap;
use std::cell::RefCell;
use std::collections::HashSet;
use std::io::Write;
use std::ops::Range;
use std::rc::Rc;

const MS: Nanos = 1_000_000;
/// The answer leaves this much before the client's time is up (a tenth of it where that is less), so that it
/// is in time though the loop may be late.
const MARGIN: Nanos = 10 * MS;
/// The longest key and request id.
const MAX_NAME: usize = 256;
const MAX_ID: usize = 64;

/// A read or write as the client sent it.
#[derive(Debug)]
pub struct Query {
    command: Command,
    /// Where the value of `d` stands in the fourth argument.
    wait_at: Range<usize>,
    /// Its class, by number.
    pub class: u32,
    /// Its tenant, by number.
    pub tenant: Option<u32>,
    /// Its key.
    pub key: u64,
    /// It writes.
    pub write: bool,
    /// How long the client waits.
    pub wait: Nanos,
    /// The work to expect, where told.
    pub hint: Option<Nanos>,
    /// The client's repeat, where marked.
    pub repeat: bool,
    /// A write: over which addresses of which boxes its last byte went out, and may have arrived.
    pub gone_over: RefCell<Vec<(ServerId, addresses::AddressId)>>,
}

impl Query {
    /// Reads a command, named `CACHE.GET` or `CACHE.SET`.
    ///
    /// # Errors
    /// The error line for a client whose command can't be used.
    pub fn read(command: Command, config: &Config) -> Result<Query, &'static str> {
        let write = command.arg(0).eq_ignore_ascii_case(b"CACHE.SET");
        if command.arity() != if write { 5 } else { 4 } {
            return Err("-ERR wrong number of arguments\r\n");
        }
        // What cache nodes can't use is not passed on: they may close on it, and on all that waits behind it.
        let fits = |i: usize, most: usize| {
            let arg = command.arg(i);
            !arg.is_empty() && arg.len() <= most && arg.iter().all(u8::is_ascii_graphic)
        };
        if !fits(1, MAX_NAME) {
            return Err("-ERR invalid key\r\n");
        }
        if !fits(2, MAX_ID) {
            return Err("-ERR invalid request id\r\n");
        }
        let fields = std::str::from_utf8(command.arg(3)).map_err(|_| "-ERR fields are not text\r\n")?;
        let (mut class, mut tenant, mut wait, mut key, mut hint, mut repeat) =
            (None, None, None, false, None, false);
        let mut at = 0;
        for field in fields.split(',') {
            let (name, value) = field.split_once('=').ok_or("-ERR a field has no value\r\n")?;
            match name {
                "c" => class = config.classes.iter().position(|c| c == value),
                "t" => tenant = config.tenants.iter().position(|t| t == value).map(|t| t as u32),
                "d" => {
                    let ms: u64 = value.parse().map_err(|_| "-ERR d is not a number\r\n")?;
                    wait = Some((ms.saturating_mul(MS), at + 2..at + field.len()));
                }
                "k" => key = !value.is_empty(),
                "r" => repeat = value == "1",
                "h" => hint = value.parse::<u64>().ok().map(|us| us.saturating_mul(1_000)),
                _ => {}
            }
            at += field.len() + 1;
        }
        let class = class.ok_or("-ERR unknown class\r\n")?;
        let (wait, wait_at) = wait.ok_or("-ERR d is missing\r\n")?;
        // Danger: cache nodes know a repeat by its key; a keyed write without one could run twice.
        let keyed = config.settings.classes.get(class).is_some_and(|c| c.retry_safety == RetrySafety::Keyed);
        if keyed && !key {
            return Err("-ERR k is missing\r\n");
        }
        // Nobody waits longer than the class allows, whatever a client says: so long is state kept for it.
        let wait = wait.min(config.settings.classes.get(class).map_or(0, |c| c.deadline));
        let name = std::str::from_utf8(command.arg(1)).unwrap_or_default();
        let hex = if name.len() <= 16 { u64::from_str_radix(name, 16).ok() } else { None };
        let key = hex.unwrap_or_else(|| server_id(&String::from_utf8_lossy(command.arg(1))));
        let class = class as u32;
        let gone_over = RefCell::default();
        Ok(Query { wait_at, class, tenant, key, write, wait, hint, repeat, gone_over, command })
    }

    /// Writes the command for a cache node, but for a write's value, with the time that the proxy will wait.
    pub fn encode(&self, ms: u64, out: &mut Vec<u8>) {
        self.encode_as(self.id(), ms, out);
    }

    /// The same under another id.
    pub fn encode_as(&self, id: &[u8], ms: u64, out: &mut Vec<u8>) {
        // Writing to a vector cannot fail.
        let _ = write!(out, "*{}\r\n", self.command.arity());
        for arg in [self.command.arg(0), self.command.arg(1), id] {
            let _ = write!(out, "${}\r\n", arg.len());
            out.extend_from_slice(arg);
            out.extend_from_slice(b"\r\n");
        }
        let fields = self.command.arg(3);
        let (before, after) = (&fields[..self.wait_at.start], &fields[self.wait_at.end..]);
        let digits = ms.checked_ilog10().unwrap_or(0) as usize + 1;
        let _ = write!(out, "${}\r\n", before.len() + digits + after.len());
        out.extend_from_slice(before);
        let _ = write!(out, "{ms}");
        out.extend_from_slice(after);
        out.extend_from_slice(b"\r\n");
        if self.write {
            let _ = write!(out, "${}\r\n", self.value().len());
        }
    }

    /// The request's id, as its client gave it.
    pub fn id(&self) -> &[u8] {
        self.command.arg(2)
    }

    /// A write's value.
    pub fn value(&self) -> &[u8] {
        self.command.arg(4)
    }
}

/// A request's place on a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// The connection.
    pub client: usize,
    /// Which of its commands.
    pub number: u64,
}

/// The one final answer of a request, before it is written in its client's protocol.
#[derive(Clone, Copy, Debug)]
pub enum Answer<'a> {
    /// What a cache node replied, and the bytes that came with it.
    Served(&'a Reply, &'a [u8]),
    /// A refusal: trying again is harmless, after so many milliseconds if that is told (0 if not).
    Busy(u64),
    /// It failed: nothing is promised.
    Failed,
    /// Its id is that of another request that is open.
    IdInUse,
}

impl Answer<'_> {
    /// Writes it. Errors are the same lines in both protocols.
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
    /// Which of its request's.
    pub number: u32,
    /// Where it went.
    pub server: ServerId,
    /// When.
    pub sent: Nanos,
    /// The connection that has it.
    pub connection: Option<usize>,
}

/// A request that is not answered, or has attempts out.
#[derive(Debug)]
struct Open {
    place: Place,
    query: Rc<Query>,
    until: Nanos,
    attempts: u32,
    out: Vec<Attempt>,
    answered: bool,
    /// The module has been told that the client left; what is under way may still be answered.
    left: bool,
}

/// An attempt that was begun.
#[derive(Debug)]
pub struct Begun {
    /// Which of its request's.
    pub number: u32,
    /// What the client sent.
    pub query: Rc<Query>,
    /// When the client's time is up.
    pub until: Nanos,
    /// The request is over, and nothing may be sent for it.
    pub over: bool,
}

/// The open requests.
#[derive(Debug, Default)]
pub struct Table {
    open: FxHashMap<RequestId, Open>,
    /// The ids that clients gave to these. They choose them, so the hash is keyed.
    ids: HashSet<Box<[u8]>>,
}

impl Table {
    /// How many there are, those counted that are answered and have attempts out.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// How many wait for their answer.
    pub fn unanswered(&self) -> usize {
        self.open.values().filter(|o| !o.answered).count()
    }

    /// Takes a request in: what the module is to be told, and when its time is up. It may have come at `since`
    /// already. Nothing if its id is that of an open one.
    ///
    /// Danger: cache nodes take a second request under an id that is open for another copy of the first.
    pub fn arrive(
        &mut self,
        id: RequestId,
        place: Place,
        query: Rc<Query>,
        since: Nanos,
        now: Nanos,
    ) -> Option<(Request, Nanos)> {
        if !self.ids.insert(query.id().into()) {
            return None;
        }
        let margin = MARGIN.min(query.wait / 10);
        let until = since + query.wait - margin;
        let request = Request {
            id,
            class: query.class,
            tenant: query.tenant,
            key: Some(query.key),
            remaining: until.saturating_sub(now),
            expected_work: query.hint,
            is_retry: query.repeat,
            write: query.write,
        };
        let open = Open { place, query, until, attempts: 0, out: Vec::new(), answered: false, left: false };
        self.open.insert(id, open);
        Some((request, until))
    }

    /// Begins an attempt; nothing if there is no such request.
    pub fn begin(&mut self, id: RequestId, server: ServerId, most: u32, now: Nanos) -> Option<Begun> {
        let open = self.open.get_mut(&id)?;
        let number = open.attempts;
        open.attempts += 1;
        open.out.push(Attempt { number, server, sent: now, connection: None });
        let over = open.answered || open.left || open.until <= now || number >= most;
        Some(Begun { number, query: open.query.clone(), until: open.until, over })
    }

    /// Notes the connection that has an attempt.
    pub fn carried(&mut self, id: RequestId, attempt: u32, connection: usize) {
        let out = self.open.get_mut(&id).map(|o| &mut o.out);
        if let Some(a) = out.and_then(|out| out.iter_mut().find(|a| a.number == attempt)) {
            a.connection = Some(connection);
        }
    }

    /// An attempt that is out.
    pub fn attempt(&self, id: RequestId, attempt: u32) -> Option<&Attempt> {
        self.open.get(&id)?.out.iter().find(|a| a.number == attempt)
    }

    /// The numbers of a request's attempts that are out.
    pub fn out(&self, id: RequestId) -> Vec<u32> {
        self.open.get(&id).map_or_else(Vec::new, |o| o.out.iter().map(|a| a.number).collect())
    }

    /// Ends an attempt.
    pub fn end(&mut self, id: RequestId, attempt: u32) -> Option<Attempt> {
        let out = &mut self.open.get_mut(&id)?.out;
        let at = out.iter().position(|a| a.number == attempt)?;
        Some(out.swap_remove(at))
    }

    /// What the client of a request asked that waits for its answer.
    pub fn asked(&self, id: RequestId) -> Option<&Rc<Query>> {
        self.open.get(&id).filter(|o| !o.answered).map(|o| &o.query)
    }

    /// There is such a request, and it waits for its answer.
    pub fn waits(&self, id: RequestId) -> bool {
        self.open.get(&id).is_some_and(|o| !o.answered)
    }

    /// The client will send nothing more: no attempt may begin. False if the request waits no longer.
    pub fn leave(&mut self, id: RequestId) -> bool {
        let open = self.open.get_mut(&id).filter(|o| !o.answered);
        open.map(|o| o.left = true).is_some()
    }

    /// The client left, and nothing is under way for it any more: only its answer is missing.
    pub fn stranded(&self, id: RequestId) -> bool {
        self.open.get(&id).is_some_and(|o| !o.answered && o.left && o.out.is_empty())
    }

    /// Where its answer goes and what its class is, once: a request that is answered, or whose client is gone,
    /// has no place.
    pub fn answer(&mut self, id: RequestId) -> Option<(Place, u32)> {
        let open = self.open.get_mut(&id).filter(|o| !o.answered)?;
        open.answered = true;
        Some((open.place, open.query.class))
    }

    /// Forgets a request that is answered and has no attempt out.
    pub fn retire(&mut self, id: RequestId) {
        if self.open.get(&id).is_some_and(|o| o.answered && o.out.is_empty()) {
            if let Some(open) = self.open.remove(&id) {
                self.ids.remove(open.query.id());
            }
        }
    }
}

#[cfg(test)]
pub(crate) mod tests {
    use super::*;
    use resp::{CommandParser, MemoryBudget};

    /// A read as a client sends it.
    pub fn query(config: &Config) -> Rc<Query> {
        let mut parser = CommandParser::new(MemoryBudget::new(0));
        let bytes = b"*4\r\n$9\r\nCACHE.GET\r\n$1\r\n1\r\n$1\r\na\r\n$12\r\nc=read,d=500\r\n";
        let (_, command) = parser.feed(bytes).expect("a command");
        Rc::new(Query::read(command.expect("whole"), config).expect("a read"))
    }

    #[test]
    fn a_request_has_one_answer_and_nothing_is_begun_for_it_afterwards() {
        let config = crate::platform::config::tests::sample();
        let (mut table, place) = (Table::default(), Place { client: 3, number: 9 });
        let (told, until) = table.arrive(1, place, query(&config), 0, MS).expect("taken");
        assert_eq!((told.remaining, until), (489 * MS, 490 * MS));
        // Another one under the same id of its client is not taken while the first is open.
        assert!(table.arrive(2, place, query(&config), 0, MS).is_none());
        let first = table.begin(1, 7, 2, MS).expect("begun");
        assert_eq!((first.number, first.over), (0, false));
        table.carried(1, 0, 5);
        assert_eq!(table.attempt(1, 0).and_then(|a| a.connection), Some(5));
        assert_eq!(table.answer(1), Some((place, 0)));
        assert_eq!(table.answer(1), None);
        assert!(!table.leave(1) && !table.waits(1) && !table.stranded(1));
        assert!(table.begin(1, 7, 2, MS).is_some_and(|b| b.over));
        table.retire(1);
        assert_eq!((table.len(), table.unanswered(), table.out(1)), (1, 0, vec![0, 1]));
        assert!(table.end(1, 0).is_some() && table.end(1, 0).is_none() && table.end(1, 1).is_some());
        table.retire(1);
        assert_eq!(table.len(), 0);
        assert!(table.arrive(2, place, query(&config), 0, MS).is_some());
    }

    #[test]
    fn neither_late_nor_too_many_nor_left_attempts_go_out() {
        let config = crate::platform::config::tests::sample();
        let place = Place { client: 0, number: 0 };
        let begin = |most: u32, now: Nanos, left: bool| {
            let mut table = Table::default();
            table.arrive(1, place, query(&config), 0, 0).expect("taken");
            assert!(!left || table.leave(1));
            let over = table.begin(1, 7, most, now).expect("begun").over;
            assert!(!table.stranded(1) && table.end(1, 0).is_some());
            (over, table.stranded(1))
        };
        assert_eq!(begin(1, 489 * MS, false), (false, false));
        assert_eq!(begin(0, 0, false), (true, false));
        assert_eq!(begin(1, 490 * MS, false), (true, false));
        assert_eq!(begin(1, 0, true), (true, true));
    }
}
