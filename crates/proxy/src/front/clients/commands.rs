//! Commands of clients: reading and parsing them, and which of them become requests.

use super::waiting::MemoryWait;
use super::{Client, ClientEvent, Clients, Slot, WaitingSlot, BUSY_REPLY};
use crate::io_error::ErrorCause;
use crate::platform::config::Config;
use crate::request::{Query, ReplySlot};
use calicosaddle::api::Nanos;
use resp::Command;
use session::CommandOutcome;
use std::borrow::Cow;
use std::collections::BTreeSet;
use std::io::Read;
use std::rc::Rc;

/// The maximum number of unanswered commands and queued answers of a client, per command that it may have open. The
/// commands of a client with more are not read.
const SLOTS_PER_OPEN_COMMAND: usize = 8;
/// The maximum number of consecutive reads before other connections are served. Of commands, each of which takes time of
/// its own, one buffer is read.
const MAX_READS: usize = 4;

impl Clients {
    /// Takes the list of connections that may have unread input.
    pub fn take_pending_reads(&mut self) -> BTreeSet<usize> {
        std::mem::take(&mut self.pending_reads)
    }

    /// Reads the input of a connection until its socket is empty, or up to a bound: [`MAX_READS`] times, and commands up to one
    /// buffer. A short read does not show that the socket is empty.
    pub fn read(&mut self, key: usize, config: &Config, buffer: &mut [u8], now: Nanos) {
        let least = self.commands_read_limit();
        for _ in 0..MAX_READS {
            let has_room = self.may_be_read(key);
            let Some(client) = self.clients.get_mut(key).filter(|c| c.may_be_read()) else { return };
            if client.parser.waits_for_memory() {
                return;
            }
            // A client that sends faster than it reads is slowed down by the socket buffers.
            let seeks_end = client.is_refusing && client.has_open_request();
            client.read_suspended = !has_room && !seeks_end;
            if client.read_suspended {
                self.left_unread(key, now);
                return;
            }
            // What a client sends after a protocol error is read and dropped: the end of the stream may stand behind it.
            let is_dropped = client.lingering_since.is_some() || client.closing;
            let limit =
                if is_dropped { buffer.len() } else { client.parser.read_limit(least).min(buffer.len()) };
            match client.stream.read(&mut buffer[..limit]) {
                Ok(0) => {
                    client.eof = true;
                    self.end_of_input(key, now);
                    return;
                }
                Ok(n) => {
                    client.active_at = now;
                    if !is_dropped {
                        self.parse_input(key, &buffer[..n], config, now);
                    }
                    self.consume_unread(key, n, now);
                    if n == limit && !self.clients.get(key).is_some_and(|c| c.parser.in_value()) {
                        break;
                    }
                }
                Err(error) => match ErrorCause::of(&error) {
                    ErrorCause::Interrupted => {}
                    ErrorCause::WouldBlock => {
                        self.has_caught_up(key);
                        return;
                    }
                    ErrorCause::LocalShortage => {
                        self.retries.push(key, now);
                        self.left_unread(key, now);
                        return;
                    }
                    ErrorCause::NoRoute | ErrorCause::Peer => {
                        self.remove(key);
                        return;
                    }
                },
            }
        }
        self.pending_reads.insert(key);
        self.left_unread(key, now);
    }

    /// Handles the end of a client's input, all of which has been read.
    fn end_of_input(&mut self, key: usize, now: Nanos) {
        let Some(client) = self.clients.get(key) else { return };
        if client.slots.is_empty() && client.unread_bytes() == 0 {
            self.remove(key);
            return;
        }
        self.half_closed(key, now);
    }

    /// Handles that a client has closed its sending side, as soon as that is known: some of its input may be unread.
    pub(super) fn half_closed(&mut self, key: usize, now: Nanos) {
        let Some(client) = self.clients.get_mut(key).filter(|c| c.ended_at.is_none()) else { return };
        // The end may have come as soon as the socket was left unread.
        let ended_at = client.unread_since().unwrap_or(now);
        client.ended_at = Some(ended_at);
        for slot in &client.slots {
            if let Slot::Waiting(waiting) = slot {
                self.events.push_back(ClientEvent::HalfClosed(waiting.id, ended_at));
            }
        }
    }

    /// Closes a connection that has failed, whether or not its input is read.
    pub fn connection_failed(&mut self, key: usize) {
        self.remove(key);
    }

    /// Parses input and handles each complete command.
    pub(super) fn parse_input(&mut self, key: usize, mut input: &[u8], config: &Config, now: Nanos) {
        while !input.is_empty() {
            // Input after a command that closes the connection is ignored.
            let Some(client) = self.clients.get_mut(key).filter(|c| !c.closing) else { return };
            match client.parser.feed(input) {
                Ok((used, command)) => {
                    input = &input[used..];
                    client.partial_since = match command {
                        None if client.parser.in_progress() => client.partial_since.or(Some(now)),
                        _ => None,
                    };
                    if client.is_refusing {
                        client.parser.drop_value();
                    }
                    if client.parser.waits_for_memory() {
                        client.pending.extend_from_slice(input);
                        let begin = || MemoryWait::begin(&client.parser, config, now);
                        client.memory_wait.get_or_insert_with(begin);
                        self.waiting_for_memory.push_back(key);
                        self.left_unread(key, now);
                        return;
                    }
                    if let Some(command) = command {
                        self.handle_command(key, command, config, now);
                    }
                }
                Err(e) => {
                    let error = format!("-ERR Protocol error: {}\r\n", e.0);
                    client.closing = true;
                    self.answer_directly(key, error.as_bytes());
                    return;
                }
            }
        }
    }

    /// Whether a client's commands are read: it has room for more answers.
    pub(super) fn may_be_read(&self, key: usize) -> bool {
        let max_slots = SLOTS_PER_OPEN_COMMAND * self.max_open_commands;
        let unread_limit = self.answer_memory.unread_limit();
        let has_room = |c: &Client| c.unread_bytes() <= unread_limit && c.slots.len() < max_slots;
        self.clients.get(key).is_some_and(has_room)
    }

    fn handle_command(&mut self, key: usize, command: Command, config: &Config, now: Nanos) {
        let Some(client) = self.clients.get_mut(key) else { return };
        let accepted_at_end = std::mem::take(&mut client.completes_command) && !self.ending;
        if client.is_refusing {
            self.refuse(key, command, config);
            return;
        }
        if let CommandOutcome::Answer(answer) = client.session.handle(&command, &self.users) {
            if answer.accepted {
                client.awaiting_first_command_since = None;
            }
            client.closing |= answer.close;
            self.wrong_passwords += u64::from(answer.wrong_password);
            self.answer_directly(key, &answer.bytes);
            return;
        }
        let memory_wait = client.memory_wait.take();
        // The client may have left long ago: the end of its stream could not be seen while the value waited.
        let has_left = (memory_wait.is_some() && client.is_at_end_of_input()) || client.may_have_left(now);
        let is_in_time = !self.stopping || accepted_at_end;
        let may_be_sent =
            command.is_complete() && !has_left && is_in_time && client.slots.len() < self.max_open_commands;
        let query = Query::parse(command, config).map_err(Cow::from).and_then(|query| {
            client.session.check_tenant(query.tenant, &self.users).map_err(Cow::from).map(|()| query)
        });
        let query = match query {
            Ok(query) => query,
            Err(answer) => return self.answer_directly(key, answer.as_bytes()),
        };
        let reserved = self.clients.get(key).and_then(|client| self.reservation(client, query.class));
        match reserved.filter(|_| may_be_sent) {
            Some(reserved) => self.open_request(key, query, reserved, memory_wait, config),
            None => {
                // Nothing has been done for the command yet, so refusing it is safe.
                self.events.push_back(ClientEvent::Rejected(query.class));
                self.answer_directly(key, BUSY_REPLY);
            }
        }
    }

    /// Refuses a command of a client whose input is read only to find the end of the stream.
    fn refuse(&mut self, key: usize, command: Command, config: &Config) {
        if let Ok(query) = Query::parse(command, config) {
            self.events.push_back(ClientEvent::Rejected(query.class));
        }
        self.answer_directly(key, BUSY_REPLY);
    }

    /// Makes a command a request, with the memory that is reserved for its answer.
    fn open_request(
        &mut self,
        key: usize,
        query: Query,
        reserved: usize,
        memory_wait: Option<MemoryWait>,
        config: &Config,
    ) {
        let Some(client) = self.clients.get_mut(key) else { return };
        let class = config.settings.classes.get(query.class as usize);
        let id = self.next_id;
        self.next_id += 1;
        let delayed_since = client.arrived_since();
        let number = client.first_slot + client.slots.len() as u64;
        client.slots.push_back(Slot::Waiting(WaitingSlot {
            id,
            protocol: client.session.protocol(),
            class: query.class,
            reserved,
            may_be_refused: class.is_some_and(|class| class.may_be_refused(true)),
        }));
        client.reserved_bytes += reserved;
        client.awaiting_first_command_since = None;
        client.request_count = (client.request_count + 1).min(2);
        self.events.push_back(ClientEvent::Query {
            id,
            slot: ReplySlot { client: key, number },
            query: Rc::new(query),
            delayed_since: delayed_since.into_iter().chain(memory_wait.map(|wait| wait.since)).min(),
        });
        if let Some(ended_at) = client.ended_at {
            self.events.push_back(ClientEvent::HalfClosed(id, ended_at));
        }
        self.account(key);
    }
}
