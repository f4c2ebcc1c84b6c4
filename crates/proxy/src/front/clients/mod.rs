//! Client connections: their commands, and the answers in the order of the commands.

mod accept;
mod answers;
mod commands;
mod memory;
mod output;
mod timeouts;
mod unread;
mod values;
mod waiting;

use crate::memory_limits::MemoryLimits;
use crate::platform::config::Config;
use crate::request::{Query, ReplySlot};
use crate::retry_queue::RetryQueue;
pub use answers::GivenAnswer;
use calicosaddle::api::{Nanos, RequestId};
use memory::AnswerMemory;
use mio::net::{TcpListener, TcpStream};
use output::{OutputQueue, RepeatedAnswer};
use resp::{CommandParser, MemoryBudget, Protocol};
use session::{Session, Users};
use slab::Slab;
use std::collections::{BTreeSet, VecDeque};
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::rc::Rc;
use unread::{UnreadClients, UnreadInput};
use waiting::MemoryWait;

const MS: Nanos = 1_000_000;
/// The reply to a refused command. Nothing has been done for the command, so a retry is safe.
const BUSY_REPLY: &[u8] = b"-BUSY\r\n";
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
        /// Since when its connection was not read. It may have arrived then.
        delayed_since: Option<Nanos>,
    },
    /// A command of this class was refused before it became a request: there was no memory for its value, its client
    /// left meanwhile, or too many commands were open.
    Rejected(u32),
    /// The client closed its sending side at this time, while the request was open or before its command was read. It may
    /// still read the answer: attempts in flight may complete, but no new one may be sent.
    HalfClosed(RequestId, Nanos),
    /// The end of the client's stream may stand behind input that has been unread for some time. No further attempt may begin
    /// for this request until [`ClientEvent::EndVisible`].
    EndHidden(RequestId),
    /// All input of the client has been read, and its stream has not ended.
    EndVisible(RequestId),
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
    /// Answered, as are any equal commands behind it; the bytes wait for the answers before them.
    Ready(RepeatedAnswer),
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
    /// The input that may be in its socket, if that has not been found empty.
    unread: Option<UnreadInput>,
    /// Its commands are refused until all its input has been read.
    is_refusing: bool,
    /// When the clients were stopped, it had sent a part of a command, which is still accepted.
    completes_command: bool,
    /// Input behind the part of a command whose value waits for memory.
    pending: Vec<u8>,
    /// The value of the command that is being read waits for memory, or has waited.
    memory_wait: Option<MemoryWait>,
}

impl Client {
    /// A client that has just connected, the numbers of whose slots begin at `first_slot`.
    fn new(stream: TcpStream, parser: CommandParser, session: Session, first_slot: u64, now: Nanos) -> Self {
        Client {
            stream,
            parser,
            session,
            slots: VecDeque::new(),
            first_slot,
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
            unread: None,
            is_refusing: false,
            completes_command: false,
            pending: Vec::new(),
            memory_wait: None,
        }
    }

    /// Whether its input is read. Behind the end of a connection between commands it is not: a request that crosses the end
    /// can't be answered any more, and its client sends it again if the connection is reset over it.
    fn may_be_read(&self) -> bool {
        !self.eof && (self.lingering_since.is_none() || self.closing)
    }

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
    /// Since when connections may have waited to be accepted.
    waiting_since: Option<Nanos>,
    /// Commands that begin now are refused, and each connection is closed after its answers.
    stopping: bool,
    /// No command is waited for any more, also not for the rest of one.
    ending: bool,
    /// Connections with output to write.
    dirty: Vec<usize>,
    /// Connections whose commands wait for memory, in the order in which they began to wait.
    waiting_for_memory: VecDeque<usize>,
    /// Connections whose transfers failed for lack of something on this machine.
    retries: RetryQueue,
    /// Connections whose input has not been read up.
    unread_clients: UnreadClients,
    /// Connections that may have unread input. Each is read once in an iteration of the event loop, however often it was
    /// found to have more.
    pending_reads: BTreeSet<usize>,
    events: VecDeque<ClientEvent>,
}

impl Clients {
    /// Creates a collection without clients, which accepts up to `max_clients` connections with up to
    /// `max_open_commands` open commands each, within these budgets. [`Clients::listen`] listens at `address`, or at the
    /// socket that the platform owns.
    pub fn new(
        address: SocketAddr,
        inherited: Option<std::net::TcpListener>,
        max_clients: usize,
        memory: MemoryLimits,
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
            value_memory: MemoryBudget::new(memory.values),
            answer_memory: AnswerMemory::new(memory.answers),
            accepting: false,
            waiting_since: None,
            stopping: false,
            ending: false,
            dirty: Vec::new(),
            waiting_for_memory: VecDeque::new(),
            retries: RetryQueue::default(),
            unread_clients: UnreadClients::default(),
            pending_reads: BTreeSet::new(),
            events: VecDeque::new(),
        }
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
        !self.pending_reads.is_empty() || self.next_accept_at() == Some(0)
    }

    /// When a client has to be handled without an event.
    pub fn next_work_at(&self) -> Option<Nanos> {
        let accept = self.next_accept_at().filter(|at| *at > 0);
        self.next_refusal_at().into_iter().chain(self.retries.next_due()).chain(accept).min()
    }

    /// Tries transfers again that failed for lack of something on this machine.
    pub fn retry_transfers(&mut self, now: Nanos) {
        while let Some(key) = self.retries.pop_due(now) {
            self.flush(key, now);
            self.pending_reads.insert(key);
        }
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

    /// Stops serving clients: closes the listener, and each connection once it has no open request. A command that has
    /// begun is still accepted, and those behind it are refused.
    pub fn stop(&mut self, config: &Config, buffer: &mut [u8], now: Nanos) {
        self.listener = None;
        let keys: Vec<usize> = self.clients.iter().map(|(key, _)| key).collect();
        for key in &keys {
            // Input that has already arrived is still handled.
            self.read(*key, config, buffer, now);
        }
        self.stopping = true;
        for key in keys {
            let Some(client) = self.clients.get_mut(key) else { continue };
            client.completes_command = client.parser.in_progress();
            if client.is_closable() {
                self.linger(key, now);
            }
        }
    }

    /// Ends all connections behind the answers that have been given.
    pub fn end_all(&mut self, now: Nanos) {
        self.ending = true;
        let keys: Vec<usize> = self.clients.iter().map(|(key, _)| key).collect();
        keys.into_iter().for_each(|key| self.flush(key, now));
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
    use mio::Token;
    use std::io::{Read, Write};
    use std::time::{Duration, Instant};

    #[test]
    fn a_client_whose_answer_took_long_is_not_disconnected_as_one_that_does_not_read() {
        let config = sample();
        let address: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        let users = crate::front::users(&operator::Clients::default(), &[]).expect("users");
        let mut clients = Clients::new(address, None, 8, MemoryLimits::new(16, 64), users, 8);
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
                clients.read(key, &config, &mut buffer, 0);
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
