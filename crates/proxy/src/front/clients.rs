//! Clients: the listener, their connections, and answers in the order of the commands.

use crate::platform::config::Config;
use crate::request::{Answer, Query, ReplySlot};
use calicosaddle::api::{Nanos, RequestId};
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry, Token};
use resp::{BodyFormat, Command, CommandParser, MemoryBudget, Protocol, Reply, MAX_BUFFERED_VALUE_BYTES};
use session::{CommandOutcome, Session, Users};
use slab::Slab;
use std::borrow::Cow;
use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::rc::Rc;

const MS: Nanos = 1_000_000;
/// A refusal: trying again is harmless.
const BUSY: &[u8] = b"-BUSY\r\n";
/// Answers waiting behind others, and commands refused, for each command that may be open: over so many the client is
/// not reading, and is let go.
const SLOTS: usize = 8;
/// With so many bytes of answers unread, a client's further commands wait.
const HIGH: usize = 4 * MAX_BUFFERED_VALUE_BYTES;
/// What an idle connection keeps of its buffer.
const KEPT: usize = 4 << 10;
/// A client may take 2 s to write a command. One that has asked for nothing so long after connecting, or whose
/// command is not whole after it, is let go; it is owed that within 3 s.
const ASKING: Nanos = 2_400 * MS;
/// The value of a command has to come on without pauses of that length, and to be whole after so long.
const WRITING: Nanos = 30_000 * MS;
/// The part of the room for unread answers that one client may have for a long value, and the most.
const SHARE: usize = 4;
const LARGEST: usize = 1 << 20;
/// A client that reads nothing of its answers for so long is let go.
const STALLED: Nanos = 5_000 * MS;
/// Between requests a client may be silent for so long.
const IDLE: Nanos = 10_000 * MS;
/// The same for those that have asked, while more than a quarter of the places is taken by such clients: for those
/// that asked once, and for others.
/// Guards against clients that ask once and keep their connection for good: they would have all places, and
/// where fronts may open only so many, nobody who wants to ask gets one. It should also catch pools that are
/// larger than they are used. Danger: clients that ask every few seconds connect anew each time.
const IDLE_CROWDED: [Nanos; 2] = [250 * MS, 2_000 * MS];
/// After the last answer, the time that a client has to close its side, and what it may still send until then.
const LINGER: Nanos = 250 * MS;
const LINGER_BYTES: usize = 256 << 10;
/// Reads of one connection before others have their turn.
const READS: usize = 4;
/// Connections accepted before others have their turn.
const ACCEPTS: usize = 64;

/// What clients did.
#[derive(Debug)]
pub enum ClientEvent {
    /// A request is to be answered.
    Query(RequestId, ReplySlot, Rc<Query>),
    /// A request of this class was refused before it became one: there was no room for it.
    Rejected(u32),
    /// The client ended its sending and has this request open. It may still read: what is under way may be
    /// answered, nothing new may be sent.
    HalfClosed(RequestId),
    /// There is room for more of the long value that is being passed on as this request's answer.
    ReadyForMore(RequestId),
    /// The connection is gone, and nothing can be answered on it.
    Disconnected(RequestId),
}

#[derive(Debug)]
enum Slot {
    /// Not answered; the protocol is that in force when its command came.
    Waiting(RequestId, Protocol),
    Ready(Vec<u8>),
    /// It is being answered with a long value; what has come of it while it waits for answers before it, and
    /// whether no more is wanted for now.
    Passing(RequestId, Protocol, Vec<u8>, bool),
}

#[derive(Debug)]
struct Client {
    stream: TcpStream,
    parser: CommandParser,
    session: Session,
    /// The commands not yet answered in full; the first has this number.
    slots: VecDeque<Slot>,
    first: u64,
    out: Vec<u8>,
    written: usize,
    /// Bytes of answers that wait for those before them.
    held: usize,
    dirty: bool,
    /// When a command began of which more is to come.
    midway_since: Option<Nanos>,
    /// When it last sent anything, or took anything of its answers.
    moved: Nanos,
    /// Since when it has taken nothing of the answers that were offered to it.
    stuck: Option<Nanos>,
    /// When it connected, until it has said something that can be understood.
    newcomer: Option<Nanos>,
    /// How many requests it has had; counted up to two.
    asked: u8,
    /// It ended its sending.
    eof: bool,
    /// It is let go once all it is owed is written.
    closing: bool,
    /// All is written and our side closed; its input is read to keep a reset from overtaking the answers.
    lingering: Option<Nanos>,
    /// What has come since and was dropped.
    dropped: usize,
    /// Input was left unread, so that its answers don't pile up.
    held_up: bool,
    /// Input behind the head of a command whose value waits for room.
    pending: Vec<u8>,
}

impl Client {
    /// A long value is being passed on to it now.
    fn passing(&self) -> bool {
        matches!(self.slots.front(), Some(Slot::Passing(..)))
    }

    /// Bytes of answers that it has yet to read.
    fn backlog(&self) -> usize {
        self.out.len() - self.written + self.held
    }

    fn idle(&self) -> bool {
        self.slots.is_empty() && self.backlog() == 0 && !self.parser.in_progress()
    }

    /// Idle, and no command is waiting to be read: it may be closed.
    fn quiet(&self) -> bool {
        self.idle() && self.stream.peek(&mut [0]).is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }
}

/// All clients of this proxy.
#[derive(Debug)]
pub struct Clients {
    listener: Option<TcpListener>,
    all: Slab<Client>,
    address: SocketAddr,
    /// The platform's socket at this address, where it keeps one. Other processes may accept from it as well.
    inherited: Option<std::net::TcpListener>,
    users: Users,
    /// Connections that there ever were.
    serial: u64,
    /// Wrong passwords that clients gave.
    wrong_passwords: u64,
    next_id: RequestId,
    limit: usize,
    /// Commands that a connection may have open; more are refused.
    depth: usize,
    room: MemoryBudget,
    /// Bytes of answers that clients have yet to read, and how many there may be.
    backlog: usize,
    max_backlog: usize,
    /// The listener may have more.
    accepting: bool,
    /// New requests are still taken, but each connection is closed after its answers.
    stopping: bool,
    dirty: Vec<usize>,
    /// Connections whose commands wait for room, in the order in which they came to.
    waiting: VecDeque<usize>,
    /// Connections that may have more input.
    again: Vec<usize>,
    news: VecDeque<ClientEvent>,
}

impl Clients {
    /// None yet; at most `limit` connections with `depth` commands open on each, `memory` bytes each for long values
    /// of commands and for answers not yet read. They will come to `address` once it is listened at, there or at the
    /// platform's socket.
    pub fn new(
        address: SocketAddr,
        inherited: Option<std::net::TcpListener>,
        limit: usize,
        memory: usize,
        users: Users,
        depth: usize,
    ) -> Self {
        Clients {
            listener: None,
            all: Slab::new(),
            address,
            inherited,
            users,
            serial: 0,
            wrong_passwords: 0,
            next_id: 1,
            limit,
            depth,
            room: MemoryBudget::new(memory),
            backlog: 0,
            max_backlog: memory,
            accepting: false,
            stopping: false,
            dirty: Vec::new(),
            waiting: VecDeque::new(),
            again: Vec::new(),
            news: VecDeque::new(),
        }
    }

    /// Listens, for the first time or again after [`Clients::stop`].
    pub fn listen(&mut self, registry: &Registry, token: Token) -> io::Result<()> {
        let mut listener = match &self.inherited {
            Some(socket) => TcpListener::from_std(socket.try_clone()?),
            None => super::bind(self.address)?,
        };
        registry.register(&mut listener, token, Interest::READABLE)?;
        (self.listener, self.stopping) = (Some(listener), false);
        Ok(())
    }

    /// How many connections there are.
    pub fn count(&self) -> usize {
        self.all.len()
    }

    /// How many wrong passwords clients gave.
    pub fn wrong_passwords(&self) -> u64 {
        self.wrong_passwords
    }

    /// The next thing that a client did.
    pub fn next_event(&mut self) -> Option<ClientEvent> {
        self.news.pop_front()
    }

    /// True if some socket may have more without saying so again.
    pub fn has_pending_work(&self) -> bool {
        !self.again.is_empty() || (self.accepting && self.has_place())
    }

    fn has_place(&self) -> bool {
        self.all.len() < self.limit || self.all.iter().any(|(_, c)| c.idle())
    }

    /// Notes that the listener has connections.
    pub fn listener_ready(&mut self) {
        self.accepting = true;
    }

    /// Accepts what waits, up to a bound, with as many places as `limit` says beside so many clients. An error means
    /// that descriptors or memory ran out.
    pub fn accept(
        &mut self,
        registry: &Registry,
        now: Nanos,
        token: impl Fn(usize) -> Token,
        mut limit: impl FnMut(usize) -> usize,
    ) -> io::Result<()> {
        for _ in 0..ACCEPTS {
            if self.accepting {
                self.limit = limit(self.all.len());
            }
            // Where all have requests open, the kernel keeps a newcomer until one ends.
            if !self.accepting || !self.has_place() {
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
            if self.all.len() >= self.limit {
                self.evict();
            }
            let entry = self.all.vacant_entry();
            let key = entry.key();
            let interest = Interest::READABLE | Interest::WRITABLE;
            if let Err(e) = registry.register(&mut stream, token(key), interest) {
                self.accepting = false;
                return Err(e);
            }
            self.serial += 1;
            entry.insert(Client {
                stream,
                parser: CommandParser::new(self.room.clone()),
                session: Session::new(self.serial, &self.users),
                slots: VecDeque::new(),
                first: 0,
                out: Vec::new(),
                written: 0,
                held: 0,
                dirty: false,
                midway_since: None,
                moved: now,
                stuck: None,
                newcomer: Some(now),
                asked: 0,
                eof: false,
                closing: false,
                lingering: None,
                dropped: 0,
                held_up: false,
                pending: Vec::new(),
            });
        }
        Ok(())
    }

    /// Closes a connection between requests to make room: one that never asked, or the one that was idle
    /// longest. Danger: a crowd that connects and says nothing would drive out those that do ask.
    fn evict(&mut self) {
        let idle = self.all.iter().filter(|(_, c)| c.idle());
        let mut idle: Vec<(bool, Nanos, usize)> = idle.map(|(key, c)| (c.asked > 0, c.moved, key)).collect();
        idle.sort_unstable();
        // One with a command on its way is passed over, if it can be: closing would cross it.
        let quiet = idle.iter().find(|(_, _, key)| self.all.get(*key).is_some_and(Client::quiet));
        if let Some((_, _, key)) = quiet.or(idle.first()) {
            self.remove(*key);
        }
    }

    /// Connections to read on with.
    pub fn take_pending_reads(&mut self) -> Vec<usize> {
        std::mem::take(&mut self.again)
    }

    /// Reads what a connection has, up to a bound.
    pub fn read(&mut self, key: usize, closed: bool, config: &Config, buffer: &mut [u8], now: Nanos) {
        for _ in 0..READS {
            let Some(client) = self.all.get_mut(key).filter(|c| !c.eof) else { return };
            // Guards against clients that ask faster than they read; the sockets between hold the rest.
            client.held_up = client.backlog() > HIGH;
            // Danger: to read to its end what a client still sends after its error takes the time of others.
            if client.held_up || client.parser.waits_for_memory() || client.dropped > LINGER_BYTES {
                return;
            }
            match client.stream.read(buffer) {
                Ok(0) => {
                    client.eof = true;
                    self.left(key);
                    return;
                }
                Ok(n) => {
                    client.moved = now;
                    if client.lingering.is_none() && !client.closing {
                        self.input(key, &buffer[..n], config, now);
                    } else {
                        client.dropped += n;
                    }
                    // A short read emptied the socket; only an end of the stream may stand behind it.
                    if n < buffer.len() && !closed {
                        return;
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => {
                    self.remove(key);
                    return;
                }
            }
        }
        self.again.push(key);
    }

    fn left(&mut self, key: usize) {
        let Some(client) = self.all.get(key) else { return };
        if client.slots.is_empty() && client.backlog() == 0 {
            self.remove(key);
            return;
        }
        for slot in &client.slots {
            if let Slot::Waiting(id, _) = slot {
                self.news.push_back(ClientEvent::HalfClosed(*id));
            }
        }
    }

    fn input(&mut self, key: usize, mut input: &[u8], config: &Config, now: Nanos) {
        while !input.is_empty() {
            // What stands behind a command that ends the connection is not looked at.
            let Some(client) = self.all.get_mut(key).filter(|c| !c.closing) else { return };
            match client.parser.feed(input) {
                Ok((used, command)) => {
                    input = &input[used..];
                    client.midway_since = match command {
                        None if client.parser.in_progress() => client.midway_since.or(Some(now)),
                        _ => None,
                    };
                    if client.parser.waits_for_memory() {
                        client.pending.extend_from_slice(input);
                        self.waiting.push_back(key);
                        return;
                    }
                    if let Some(command) = command {
                        self.command(key, command, config);
                    }
                }
                Err(e) => {
                    let error = format!("-ERR Protocol error: {}\r\n", e.0);
                    client.closing = true;
                    self.reply_next(key, error.as_bytes());
                    return;
                }
            }
        }
    }

    /// Reads on where commands waited for room and there is some, the first to wait first.
    pub fn resume_waiting(&mut self, config: &Config, now: Nanos) {
        while let Some(key) = self.waiting.front().copied() {
            // Another connection may have come to this place.
            if let Some(client) = self.all.get_mut(key).filter(|c| c.parser.waits_for_memory()) {
                if !client.parser.retry_reservation() {
                    return;
                }
                client.moved = now;
                let pending = std::mem::take(&mut client.pending);
                self.input(key, &pending, config, now);
                self.again.push(key);
            }
            self.waiting.pop_front();
        }
    }

    fn command(&mut self, key: usize, command: Command, config: &Config) {
        let Some(client) = self.all.get_mut(key) else { return };
        if let CommandOutcome::Answer(answer) = client.session.handle(&command, &self.users) {
            if answer.accepted {
                client.newcomer = None;
            }
            client.closing |= answer.close;
            self.wrong_passwords += u64::from(answer.wrong_password);
            self.reply_next(key, &answer.bytes);
            return;
        }
        let whole = command.is_complete();
        let query = Query::parse(command, config).map_err(Cow::from).and_then(|query| {
            client.session.check_tenant(query.tenant, &self.users).map_err(Cow::from).map(|()| query)
        });
        match query {
            // Untouched, it may always be refused.
            Ok(query) if !whole || client.slots.len() >= self.depth => {
                self.news.push_back(ClientEvent::Rejected(query.class));
                self.reply_next(key, BUSY);
            }
            Ok(query) => {
                let place = ReplySlot { client: key, number: client.first + client.slots.len() as u64 };
                let id = self.next_id;
                self.next_id += 1;
                client.slots.push_back(Slot::Waiting(id, client.session.protocol()));
                (client.newcomer, client.asked) = (None, (client.asked + 1).min(2));
                self.news.push_back(ClientEvent::Query(id, place, Rc::new(query)));
            }
            Err(answer) => self.reply_next(key, answer.as_bytes()),
        }
    }

    /// Answers the command that was read last, at once.
    fn reply_next(&mut self, key: usize, answer: &[u8]) {
        let Some(client) = self.all.get_mut(key) else { return };
        if client.slots.len() >= SLOTS * self.depth {
            self.remove(key);
            return;
        }
        client.slots.push_back(Slot::Ready(answer.to_vec()));
        client.held += answer.len();
        self.backlog += answer.len();
        self.advance(key);
    }

    /// Gives a request's whole answer.
    pub fn answer(&mut self, place: ReplySlot, answer: &Answer<'_>) {
        let Some(client) = self.all.get_mut(place.client) else { return };
        let Some(at) = place.number.checked_sub(client.first).map(|at| at as usize) else { return };
        let Some(Slot::Waiting(_, protocol)) = client.slots.get(at) else { return };
        let before = client.out.len();
        if at == 0 {
            answer.write(*protocol, &mut client.out);
            self.backlog += client.out.len() - before;
            client.slots.pop_front();
            client.first += 1;
        } else {
            let mut bytes = Vec::new();
            answer.write(*protocol, &mut bytes);
            client.held += bytes.len();
            self.backlog += bytes.len();
            client.slots[at] = Slot::Ready(bytes);
        }
        self.advance(place.client);
    }

    /// How many bytes of a long value one client may have unread: a part of the room that is left, so that a few
    /// slow clients have much and many have little each.
    fn share(&self) -> usize {
        (self.max_backlog.saturating_sub(self.backlog) / SHARE).clamp(MAX_BUFFERED_VALUE_BYTES, LARGEST)
    }

    /// The slot at a place, and where that is in the order of answers.
    fn slot(&mut self, place: ReplySlot) -> Option<(&mut Client, usize)> {
        let client = self.all.get_mut(place.client)?;
        let at = place.number.checked_sub(client.first)? as usize;
        (at < client.slots.len()).then_some((client, at))
    }

    /// Begins a request's answer, a long value.
    pub fn begin_value(&mut self, place: ReplySlot, shape: BodyFormat, length: usize) {
        let Some((client, at)) = self.slot(place) else { return };
        let Slot::Waiting(id, protocol) = client.slots[at] else { return };
        let mut head = Vec::new();
        Reply::write_head(shape, length, protocol, &mut head);
        client.slots[at] = Slot::Passing(id, protocol, Vec::new(), false);
        self.append_value(place, &head);
    }

    /// Goes on with it. False if no more of it is wanted for now: [`ClientEvent::ReadyForMore`] says when there is.
    pub fn append_value(&mut self, place: ReplySlot, bytes: &[u8]) -> bool {
        let share = self.share();
        let Some((client, at)) = self.slot(place) else { return true };
        let (unread, held) = (client.backlog() + bytes.len(), client.held);
        let Slot::Passing(_, _, kept, full) = &mut client.slots[at] else { return true };
        let room = unread <= share;
        *full = !room;
        if at == 0 {
            client.out.extend_from_slice(bytes);
        } else {
            kept.extend_from_slice(bytes);
            client.held = held + bytes.len();
        }
        self.backlog += bytes.len();
        self.advance(place.client);
        room
    }

    /// Ends it.
    pub fn finish_value(&mut self, place: ReplySlot, reply: &Reply) {
        let Some((client, at)) = self.slot(place) else { return };
        let Slot::Passing(_, protocol, kept, _) = &mut client.slots[at] else { return };
        let before = kept.len();
        reply.write_tail(*protocol, kept);
        let (tail, kept) = (kept.len() - before, std::mem::take(kept));
        client.held += tail;
        client.slots[at] = Slot::Ready(kept);
        self.backlog += tail;
        self.advance(place.client);
    }

    /// It can't be ended: closing is how the client can tell.
    pub fn abort_value(&mut self, place: ReplySlot) {
        if let Some((client, at)) = self.slot(place) {
            client.slots.remove(at);
            self.remove(place.client);
        }
    }

    /// Moves what can go out in order to the output.
    fn advance(&mut self, key: usize) {
        let Some(client) = self.all.get_mut(key) else { return };
        loop {
            match client.slots.front_mut() {
                Some(Slot::Ready(answer)) => {
                    client.held -= answer.len();
                    client.out.append(answer);
                    client.slots.pop_front();
                    client.first += 1;
                }
                Some(Slot::Passing(_, _, kept, _)) => {
                    client.held -= kept.len();
                    client.out.append(kept);
                    break;
                }
                Some(Slot::Waiting(..)) | None => break,
            }
        }
        // Danger: clients that ask and do not read would fill the memory with answers.
        if self.backlog > self.max_backlog && client.backlog() > HIGH && !client.passing() {
            self.remove(key);
        } else if !client.dirty {
            client.dirty = true;
            self.dirty.push(key);
        }
    }

    /// Writes what answers there are, each connection once.
    pub fn flush_all(&mut self, now: Nanos) {
        while let Some(key) = self.dirty.pop() {
            self.flush(key, now);
        }
    }

    /// Writes what a connection will take.
    pub fn flush(&mut self, key: usize, now: Nanos) {
        let share = self.share();
        let Some(client) = self.all.get_mut(key) else { return };
        client.dirty = false;
        while client.written < client.out.len() {
            match client.stream.write(&client.out[client.written..]) {
                Ok(n) => {
                    client.written += n;
                    self.backlog = self.backlog.saturating_sub(n);
                    (client.moved, client.stuck) = (now, None);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    client.stuck.get_or_insert(now);
                    break;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => {
                    self.remove(key);
                    return;
                }
            }
        }
        if client.written == client.out.len() {
            client.out.clear();
            client.out.shrink_to(KEPT);
            client.written = 0;
        } else if client.written > HIGH {
            client.out.drain(..client.written);
            client.written = 0;
        }
        let little = client.backlog() <= share / 2;
        if let Some(Slot::Passing(id, _, _, full @ true)) = client.slots.front_mut().filter(|_| little) {
            *full = false;
            self.news.push_back(ClientEvent::ReadyForMore(*id));
        }
        if client.held_up && client.backlog() <= HIGH {
            client.held_up = false;
            self.again.push(key);
        }
        if client.slots.is_empty() && client.backlog() == 0 {
            if client.eof {
                self.remove(key);
            } else if client.closing || (self.stopping && !client.parser.in_progress()) {
                self.linger(key, now);
            }
        }
    }

    /// Closes our side, between requests, and waits a moment for the client to close its own.
    fn linger(&mut self, key: usize, now: Nanos) {
        let Some(client) = self.all.get_mut(key).filter(|c| c.lingering.is_none()) else { return };
        client.lingering = Some(now);
        if client.stream.shutdown(Shutdown::Write).is_err() {
            self.remove(key);
        }
    }

    /// Ends a connection; what it had open can't be answered any more.
    fn remove(&mut self, key: usize) {
        let Some(client) = self.all.try_remove(key) else { return };
        self.backlog = self.backlog.saturating_sub(client.backlog());
        for slot in client.slots {
            match slot {
                Slot::Waiting(id, _) | Slot::Passing(id, ..) => {
                    self.news.push_back(ClientEvent::Disconnected(id))
                }
                Slot::Ready(_) => {}
            }
        }
    }

    /// Ends what has waited too long.
    pub fn sweep(&mut self, now: Nanos) {
        let since = |at: Nanos, most: Nanos| now.saturating_sub(at) > most;
        let slow_since = |c: &Client, at: Nanos| match c.parser.in_value() {
            // What waits for room waits for us.
            true => !c.parser.waits_for_memory() && (since(c.moved, ASKING) || since(at, WRITING)),
            false => since(at, ASKING),
        };
        let (mut gone, mut slow) = (Vec::new(), Vec::new());
        let crowded = self.all.iter().filter(|(_, c)| c.asked > 0 && c.idle()).count() > self.limit / 4;
        let idle = |c: &Client| match c.asked {
            1 if crowded => IDLE_CROWDED[0],
            2.. if crowded => IDLE_CROWDED[1],
            _ => IDLE,
        };
        for (key, c) in &self.all {
            // Danger: an answer to a request that waited for longer may not have been offered to its client yet.
            let unread = c.stuck.is_some_and(|at| since(at, STALLED));
            let silent = c.newcomer.is_some_and(|at| since(at, ASKING)) || since(c.moved, idle(c));
            if unread || c.lingering.is_some_and(|at| since(at, LINGER)) || (silent && c.quiet()) {
                gone.push(key);
            } else if !c.closing && c.midway_since.is_some_and(|at| slow_since(c, at)) {
                slow.push(key);
            }
        }
        gone.into_iter().for_each(|key| self.remove(key));
        for key in slow {
            if let Some(client) = self.all.get_mut(key) {
                client.closing = true;
            }
            self.reply_next(key, b"-ERR Protocol error: the command took too long\r\n");
        }
    }

    /// Ends the service to clients: nothing more is accepted, and each connection is closed between requests.
    pub fn stop(&mut self, config: &Config, buffer: &mut [u8], now: Nanos) {
        self.listener = None;
        self.stopping = true;
        let keys: Vec<usize> = self.all.iter().map(|(key, _)| key).collect();
        for key in keys {
            // What has come already is still taken.
            self.read(key, true, config, buffer, now);
            if self.all.get(key).is_some_and(Client::idle) {
                self.linger(key, now);
            }
        }
    }

    /// True once no client is left.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::platform::config::tests::sample;
    use std::time::{Duration, Instant};

    #[test]
    fn a_client_that_waited_long_for_its_answer_is_not_taken_for_one_that_does_not_read() {
        let config = sample();
        let at: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        let users = crate::front::users(&operator::Clients::default(), &[]).expect("users");
        let mut clients = Clients::new(at, None, 8, 1 << 20, users, 8);
        let poll = mio::Poll::new().expect("a poll");
        clients.listen(poll.registry(), Token(0)).expect("listens");
        let there = clients.listener.as_ref().and_then(|l| l.local_addr().ok()).expect("listening");
        let mut client = std::net::TcpStream::connect(there).expect("connected");
        client.set_read_timeout(Some(Duration::from_secs(20))).expect("a time-out");
        client
            .write_all(b"*4\r\n$9\r\nCACHE.GET\r\n$1\r\n1\r\n$1\r\na\r\n$12\r\nc=read,d=900\r\n")
            .expect("written");
        let (begun, mut buffer) = (Instant::now(), [0; 256]);
        let place = loop {
            assert!(begun.elapsed() < Duration::from_secs(20), "nothing came");
            clients.listener_ready();
            clients.accept(poll.registry(), 0, Token, |_| 8).expect("accepted");
            clients.all.iter().map(|(key, _)| key).collect::<Vec<_>>().into_iter().for_each(|key| {
                clients.read(key, false, &config, &mut buffer, 0);
            });
            if let Some(ClientEvent::Query(_, place, _)) = clients.next_event() {
                break place;
            }
        };
        // Its time was six seconds; the answer and the sweep fall in one step of the loop.
        clients.answer(place, &Answer::Busy(0));
        clients.sweep(6_000 * MS);
        clients.flush_all(6_000 * MS);
        let mut answer = [0; 7];
        client.read_exact(&mut answer).expect("the answer");
        assert_eq!(&answer, BUSY);
        // One that takes nothing of what is offered is let go all the same.
        let key = place.client;
        clients.all[key].stuck = Some(6_000 * MS);
        clients.sweep(10_900 * MS);
        assert_eq!(clients.all.len(), 1);
        clients.sweep(11_100 * MS);
        assert!(clients.is_empty());
    }
}
