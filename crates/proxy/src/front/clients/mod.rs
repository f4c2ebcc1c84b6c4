//! Client connections: the listener, the parsing of commands, and the answers, in the order of the commands.

mod answers;
mod memory;
mod output;
mod timeouts;
mod values;
mod waiting;

use crate::platform::config::Config;
use crate::request::{Query, ReplySlot, HALF_CLOSE_GRACE};
pub use answers::GivenAnswer;
use calicosaddle::api::{Nanos, RequestId};
use memory::AnswerMemory;
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry, Token};
use output::OutputQueue;
use resp::{Command, CommandParser, MemoryBudget, Protocol};
use session::{CommandOutcome, Session, Users};
use slab::Slab;
use std::borrow::Cow;
use std::collections::{BTreeSet, VecDeque};
use std::io::{self, Read};
use std::net::{Shutdown, SocketAddr};
use std::rc::Rc;
use waiting::MemoryWait;

const MS: Nanos = 1_000_000;
/// The reply to a refused command. Nothing has been done for the command, so a retry is safe.
const BUSY_REPLY: &[u8] = b"-BUSY\r\n";
/// The maximum number of unanswered commands and queued answers of a client, per command that it may have open. The
/// commands of a client with more are not read.
const SLOTS_PER_OPEN_COMMAND: usize = 8;
/// The maximum number of consecutive reads of a value before other connections are served. Commands, each of which takes
/// time of its own, are read once.
const MAX_READS: usize = 4;
/// The maximum number of connections accepted in an iteration of the event loop.
const MAX_ACCEPTS: usize = 64;

/// The numbers of slots have this many bits for the commands of one connection; those above it are the connection's, so that
/// an answer can't be taken for one to a client that has the same key later.
const SLOT_NUMBER_BITS: u32 = 32;

/// An event caused by a client.
#[derive(Debug)]
pub enum ClientEvent {
    /// A request has arrived.
    Query {
        /// The request's id within this proxy.
        id: RequestId,
        /// Where its answer belongs.
        slot: ReplySlot,
        /// The client's command.
        query: Rc<Query>,
        /// Since when its connection was not read, if its value waited for memory. It may have arrived then.
        delayed_since: Option<Nanos>,
    },
    /// A command of this class was refused before it became a request: there was no memory for its value, its client
    /// left meanwhile, or too many commands were open.
    Rejected(u32),
    /// The client closed its sending side at this time, while the request was open or before its command was read. It may
    /// still read the answer: attempts in flight may complete, but no new one may be sent.
    HalfClosed(RequestId, Nanos),
    /// The client can take more of the long value that is being streamed as the answer to this request.
    ReadyForMore(RequestId),
    /// The connection is closed, so this request can't be answered.
    Disconnected(RequestId),
}

/// A request that is not answered yet.
#[derive(Debug)]
struct WaitingSlot {
    id: RequestId,
    /// The protocol in force when the command arrived.
    protocol: Protocol,
    class: u32,
    /// The memory that is reserved for the answer, in bytes.
    reserved: usize,
    /// It may be refused although a cache node has served it: a retry is harmless.
    may_be_refused: bool,
}

/// The state of a command's answer. Slots are kept in the order of the commands.
#[derive(Debug)]
enum Slot {
    /// Not answered yet.
    Waiting(WaitingSlot),
    /// Answered; the bytes wait for the answers before them.
    Ready(Vec<u8>),
    /// A long value is being streamed as the answer.
    Streaming {
        id: RequestId,
        protocol: Protocol,
        /// What has arrived of the value while it waits for the answers before it.
        queued: Vec<u8>,
        /// True if the sender has to pause.
        paused: bool,
    },
}

#[derive(Debug)]
struct Client {
    stream: TcpStream,
    parser: CommandParser,
    session: Session,
    /// The commands that have not been answered completely.
    slots: VecDeque<Slot>,
    /// The number of the first slot, see [`SLOT_NUMBER_BITS`].
    first_slot: u64,
    /// The answers that are next in order.
    output: OutputQueue,
    /// Bytes of answers that wait for those before them.
    queued_bytes: usize,
    /// Memory that is reserved for answers to come.
    reserved_bytes: usize,
    /// What is counted for it in [`Clients::answer_memory`].
    accounted_bytes: usize,
    /// It is listed in [`Clients::dirty`].
    dirty: bool,
    /// Since when a command has been incomplete.
    partial_since: Option<Nanos>,
    /// When it last sent bytes or read bytes of its answers.
    active_at: Nanos,
    /// Since when its socket has accepted no bytes of the answers.
    blocked_since: Option<Nanos>,
    /// When it connected; `None` once it has sent a valid command.
    awaiting_first_command_since: Option<Nanos>,
    /// The number of its requests, counted up to two.
    request_count: u8,
    /// When it was found to have closed its sending side. Some of its input may still be unread.
    ended_at: Option<Nanos>,
    /// It has closed its sending side, and all its input has been read.
    eof: bool,
    /// It is disconnected once all its answers are written.
    closing: bool,
    /// When our sending side was closed after the last answer. Input is still read, because a connection closed with
    /// unread input is reset, and the reset may overtake the answers.
    lingering_since: Option<Nanos>,
    /// Reading is suspended because too many answers are unread.
    read_suspended: bool,
    /// Input behind the part of a command whose value waits for memory.
    pending: Vec<u8>,
    /// The value of the command that is being read waits for memory, or has waited.
    memory_wait: Option<MemoryWait>,
}

impl Client {
    /// The number of bytes of answers that have not been written to its socket.
    fn unread_bytes(&self) -> usize {
        self.output.unwritten_bytes() + self.queued_bytes
    }

    /// True if no command and no answer is in progress.
    fn is_idle(&self) -> bool {
        self.slots.is_empty() && self.unread_bytes() == 0 && !self.parser.in_progress()
    }

    /// True if it is idle and has no unread input, so that it may be closed.
    fn is_closable(&self) -> bool {
        self.is_idle() && self.stream.peek(&mut [0]).is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }
}

/// All clients of this proxy.
#[derive(Debug)]
pub struct Clients {
    listener: Option<TcpListener>,
    clients: Slab<Client>,
    address: SocketAddr,
    /// The listening socket that the platform owns, if there is one. Other processes may accept from it as well.
    inherited: Option<std::net::TcpListener>,
    users: Users,
    /// The number of connections accepted so far.
    accepted_count: u64,
    wrong_passwords: u64,
    next_id: RequestId,
    /// The maximum number of connections.
    max_clients: usize,
    /// The maximum number of open commands on a connection; further ones are refused.
    max_open_commands: usize,
    /// The memory for long values of commands.
    value_memory: MemoryBudget,
    /// The memory for answers.
    answer_memory: AnswerMemory,
    /// The listener may have connections to accept.
    accepting: bool,
    /// Requests are still accepted, but each connection is closed after its answers.
    stopping: bool,
    /// Connections with output to write.
    dirty: Vec<usize>,
    /// Connections whose commands wait for memory, in the order in which they began to wait.
    waiting_for_memory: VecDeque<usize>,
    /// Connections that may have unread input. Each is read once in an iteration of the event loop, however often it was
    /// found to have more.
    pending_reads: BTreeSet<usize>,
    events: VecDeque<ClientEvent>,
}

impl Clients {
    /// Creates a collection without clients, which accepts up to `max_clients` connections with up to
    /// `max_open_commands` open commands each. Long values of commands may take `memory` bytes, and answers as many. [`Clients::listen`] listens at `address`, or at the socket that the platform owns.
    pub fn new(
        address: SocketAddr,
        inherited: Option<std::net::TcpListener>,
        max_clients: usize,
        memory: usize,
        users: Users,
        max_open_commands: usize,
    ) -> Self {
        Clients {
            listener: None,
            clients: Slab::new(),
            address,
            inherited,
            users,
            accepted_count: 0,
            wrong_passwords: 0,
            next_id: 1,
            max_clients,
            max_open_commands,
            value_memory: MemoryBudget::new(memory),
            answer_memory: AnswerMemory::new(memory),
            accepting: false,
            stopping: false,
            dirty: Vec::new(),
            waiting_for_memory: VecDeque::new(),
            pending_reads: BTreeSet::new(),
            events: VecDeque::new(),
        }
    }

    /// Starts to listen, for the first time or again after [`Clients::stop`].
    ///
    /// # Errors
    /// The socket can't be opened or registered.
    pub fn listen(&mut self, registry: &Registry, token: Token) -> io::Result<()> {
        let mut listener = match &self.inherited {
            Some(socket) => TcpListener::from_std(socket.try_clone()?),
            None => super::bind(self.address)?,
        };
        registry.register(&mut listener, token, Interest::READABLE)?;
        (self.listener, self.stopping) = (Some(listener), false);
        Ok(())
    }

    /// The number of connections.
    pub fn count(&self) -> usize {
        self.clients.len()
    }

    /// The number of wrong passwords that clients have sent.
    pub fn wrong_passwords(&self) -> u64 {
        self.wrong_passwords
    }

    /// Takes the next event.
    pub fn next_event(&mut self) -> Option<ClientEvent> {
        self.events.pop_front()
    }

    /// True if a socket may have input that the event loop will not report again.
    pub fn has_pending_work(&self) -> bool {
        !self.pending_reads.is_empty() || (self.accepting && self.can_accept())
    }

    /// True if the connection limit is not reached, or an idle client can be evicted.
    fn can_accept(&self) -> bool {
        self.clients.len() < self.max_clients || self.clients.iter().any(|(_, c)| c.is_idle())
    }

    /// Records that the listener has connections to accept.
    pub fn listener_ready(&mut self) {
        self.accepting = true;
    }

    /// Accepts up to [`MAX_ACCEPTS`] connections. `max_clients` returns the maximum number of connections, given the
    /// current number.
    ///
    /// # Errors
    /// Descriptors or memory have run out.
    pub fn accept(
        &mut self,
        registry: &Registry,
        now: Nanos,
        token: impl Fn(usize) -> Token,
        mut max_clients: impl FnMut(usize) -> usize,
    ) -> io::Result<()> {
        for _ in 0..MAX_ACCEPTS {
            if self.accepting {
                self.max_clients = max_clients(self.clients.len());
            }
            // While all clients have open requests, new connections wait in the kernel.
            if !self.accepting || !self.can_accept() {
                return Ok(());
            }
            let Some(listener) = &self.listener else { return Ok(()) };
            let mut stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.accepting = false;
                    return Ok(());
                }
                Err(e)
                    if matches!(e.kind(), io::ErrorKind::Interrupted | io::ErrorKind::ConnectionAborted) =>
                {
                    continue
                }
                Err(e) => {
                    self.accepting = false;
                    return Err(e);
                }
            };
            let _ = stream.set_nodelay(true);
            if self.clients.len() >= self.max_clients {
                self.evict();
            }
            let entry = self.clients.vacant_entry();
            let key = entry.key();
            let interest = Interest::READABLE | Interest::WRITABLE;
            if let Err(e) = registry.register(&mut stream, token(key), interest) {
                self.accepting = false;
                return Err(e);
            }
            self.accepted_count += 1;
            entry.insert(Client {
                stream,
                parser: CommandParser::new(self.value_memory.clone()),
                session: Session::new(self.accepted_count, &self.users),
                slots: VecDeque::new(),
                first_slot: self.accepted_count << SLOT_NUMBER_BITS,
                output: OutputQueue::default(),
                queued_bytes: 0,
                reserved_bytes: 0,
                accounted_bytes: 0,
                dirty: false,
                partial_since: None,
                active_at: now,
                blocked_since: None,
                awaiting_first_command_since: Some(now),
                request_count: 0,
                ended_at: None,
                eof: false,
                closing: false,
                lingering_since: None,
                read_suspended: false,
                pending: Vec::new(),
                memory_wait: None,
            });
        }
        Ok(())
    }

    /// Closes an idle connection to make room: one that never sent a request, or else the one idle for longest. The
    /// order keeps many connections that send nothing from evicting clients with requests.
    fn evict(&mut self) {
        let idle = self.clients.iter().filter(|(_, c)| c.is_idle());
        let mut idle: Vec<(bool, Nanos, usize)> =
            idle.map(|(key, c)| (c.request_count > 0, c.active_at, key)).collect();
        idle.sort_unstable();
        // Connections with unread input are skipped if possible: closing them would lose a command.
        let closable =
            idle.iter().find(|(_, _, key)| self.clients.get(*key).is_some_and(Client::is_closable));
        if let Some((_, _, key)) = closable.or(idle.first()) {
            self.remove(*key);
        }
    }

    /// Takes the list of connections that may have unread input.
    pub fn take_pending_reads(&mut self) -> BTreeSet<usize> {
        std::mem::take(&mut self.pending_reads)
    }

    /// Reads the input of a connection: commands once, a value up to [`MAX_READS`] times. `closed` tells that the end of the
    /// stream may follow.
    pub fn read(&mut self, key: usize, closed: bool, config: &Config, buffer: &mut [u8], now: Nanos) {
        let least = self.commands_read_limit();
        for _ in 0..MAX_READS {
            let may_be_read = self.may_be_read(key);
            let Some(client) = self.clients.get_mut(key).filter(|c| !c.eof) else { return };
            // A client that sends faster than it reads is slowed down by the socket buffers.
            client.read_suspended = !may_be_read;
            if client.read_suspended || client.parser.waits_for_memory() {
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
                    // A short read has emptied the socket, except for a possible end of the stream.
                    if n < limit && !closed {
                        self.has_caught_up(key);
                        return;
                    }
                    if !self.clients.get(key).is_some_and(|c| c.parser.in_value()) {
                        break;
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.has_caught_up(key);
                    return;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => {
                    self.remove(key);
                    return;
                }
            }
        }
        self.pending_reads.insert(key);
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
    fn half_closed(&mut self, key: usize, now: Nanos) {
        let Some(client) = self.clients.get_mut(key).filter(|c| c.ended_at.is_none()) else { return };
        client.ended_at = Some(now);
        for slot in &client.slots {
            if let Slot::Waiting(waiting) = slot {
                self.events.push_back(ClientEvent::HalfClosed(waiting.id, now));
            }
        }
    }

    /// Closes a connection that has failed, whether or not its input is read.
    pub fn connection_failed(&mut self, key: usize) {
        self.remove(key);
    }

    /// Parses input and handles each complete command.
    fn parse_input(&mut self, key: usize, mut input: &[u8], config: &Config, now: Nanos) {
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
                    if client.parser.waits_for_memory() {
                        client.pending.extend_from_slice(input);
                        let begin = || MemoryWait::begin(&client.parser, config, now);
                        client.memory_wait.get_or_insert_with(begin);
                        self.waiting_for_memory.push_back(key);
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
    fn may_be_read(&self, key: usize) -> bool {
        let max_slots = SLOTS_PER_OPEN_COMMAND * self.max_open_commands;
        let unread_limit = self.answer_memory.unread_limit();
        let has_room = |c: &Client| c.unread_bytes() <= unread_limit && c.slots.len() < max_slots;
        self.clients.get(key).is_some_and(has_room)
    }

    fn handle_command(&mut self, key: usize, command: Command, config: &Config, now: Nanos) {
        let Some(client) = self.clients.get_mut(key) else { return };
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
        let has_left = (memory_wait.is_some() && client.is_at_end_of_input())
            || client.ended_at.is_some_and(|at| at + HALF_CLOSE_GRACE <= now);
        let may_be_sent = command.is_complete() && !has_left && client.slots.len() < self.max_open_commands;
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
            delayed_since: memory_wait.map(|wait| wait.since),
        });
        if let Some(ended_at) = client.ended_at {
            self.events.push_back(ClientEvent::HalfClosed(id, ended_at));
        }
        self.account(key);
    }

    /// Closes our sending side between requests, and waits up to [`LINGER_TIMEOUT`] for the client to close its own.
    fn linger(&mut self, key: usize, now: Nanos) {
        let Some(client) = self.clients.get_mut(key).filter(|c| c.lingering_since.is_none()) else { return };
        client.lingering_since = Some(now);
        if client.stream.shutdown(Shutdown::Write).is_err() {
            self.remove(key);
        }
    }

    /// Closes a connection; its open requests can no longer be answered.
    fn remove(&mut self, key: usize) {
        let Some(client) = self.clients.try_remove(key) else { return };
        self.release(&client);
        self.disconnect_requests(client.slots);
    }

    /// Reports the requests in these slots as ones that can't be answered.
    fn disconnect_requests(&mut self, slots: impl IntoIterator<Item = Slot>) {
        for slot in slots {
            match slot {
                Slot::Waiting(WaitingSlot { id, .. }) | Slot::Streaming { id, .. } => {
                    self.events.push_back(ClientEvent::Disconnected(id))
                }
                Slot::Ready(_) => {}
            }
        }
    }

    /// Stops serving clients: closes the listener, and each connection once it has no open request.
    pub fn stop(&mut self, config: &Config, buffer: &mut [u8], now: Nanos) {
        self.listener = None;
        self.stopping = true;
        let keys: Vec<usize> = self.clients.iter().map(|(key, _)| key).collect();
        for key in keys {
            // Input that has already arrived is still handled.
            self.read(key, true, config, buffer, now);
            if self.clients.get(key).is_some_and(Client::is_closable) {
                self.linger(key, now);
            }
        }
    }

    /// True if no client is connected.
    pub fn is_empty(&self) -> bool {
        self.clients.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::platform::config::tests::sample;
    use crate::request::Answer;
    use std::io::Write;
    use std::time::{Duration, Instant};

    #[test]
    fn a_client_whose_answer_took_long_is_not_disconnected_as_one_that_does_not_read() {
        let config = sample();
        let address: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        let users = crate::front::users(&operator::Clients::default(), &[]).expect("users");
        let mut clients = Clients::new(address, None, 8, 1 << 20, users, 8);
        let poll = mio::Poll::new().expect("a poll");
        clients.listen(poll.registry(), Token(0)).expect("listens");
        let address = clients.listener.as_ref().and_then(|l| l.local_addr().ok()).expect("listening");
        let mut client = std::net::TcpStream::connect(address).expect("connected");
        client.set_read_timeout(Some(Duration::from_secs(20))).expect("a time-out");
        client
            .write_all(b"*4\r\n$9\r\nCACHE.GET\r\n$1\r\n1\r\n$1\r\na\r\n$12\r\nc=read,d=900\r\n")
            .expect("written");
        let (started, mut buffer) = (Instant::now(), [0; 256]);
        let slot = loop {
            assert!(started.elapsed() < Duration::from_secs(20), "no request arrived within 20 s");
            clients.listener_ready();
            clients.accept(poll.registry(), 0, Token, |_| 8).expect("accepted");
            clients.clients.iter().map(|(key, _)| key).collect::<Vec<_>>().into_iter().for_each(|key| {
                clients.read(key, false, &config, &mut buffer, 0);
            });
            if let Some(ClientEvent::Query { slot, .. }) = clients.next_event() {
                break slot;
            }
        };
        // The answer took six seconds, and the sweep runs in the same iteration of the event loop.
        clients.answer(slot, &Answer::Busy(0));
        clients.sweep(6_000 * MS);
        clients.flush_all(6_000 * MS);
        let mut answer = [0; 7];
        client.read_exact(&mut answer).expect("the answer");
        assert_eq!(&answer, BUSY_REPLY);
        // A client that reads nothing of what was offered is still disconnected.
        let key = slot.client;
        clients.clients[key].blocked_since = Some(6_000 * MS);
        clients.sweep(10_900 * MS);
        assert_eq!(clients.clients.len(), 1);
        clients.sweep(11_100 * MS);
        assert!(clients.is_empty());
    }
}
