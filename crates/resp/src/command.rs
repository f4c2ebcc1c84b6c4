//! The commands of clients: arrays of bulk strings, in RESP2 and RESP3 alike.

use crate::length::LengthParser;
use crate::memory::Reservation;
use crate::{MemoryBudget, ProtocolError, MAX_BUFFERED_VALUE_BYTES, MAX_STREAMED_VALUE_BYTES};

/// The most arguments that a command may have; `CACHE.SET` has five.
const MAX_ARGS: usize = 16;
/// The index of the value among the arguments of `CACHE.SET`. All other arguments are short.
const VALUE_INDEX: usize = 4;
/// The most bytes of all arguments before the value.
const MAX_HEAD_BYTES: usize = 4 << 10;
/// The longest argument other than the value. A longer value needs a reservation in the memory budget.
const MAX_SHORT_ARG_BYTES: usize = 1 << 10;
/// The line end behind each argument.
const LINE_END_BYTES: usize = 2;
/// The initial capacity for a command's arguments, enough for most commands.
const INITIAL_CAPACITY_BYTES: usize = 128;

/// A complete command, with its arguments stored back to back in one buffer.
#[derive(Debug, Default)]
pub struct Command {
    bytes: Vec<u8>,
    /// The end offset of each argument in `bytes`.
    ends: [u32; MAX_ARGS],
    count: usize,
    /// False if a value was dropped because the memory budget was exhausted.
    complete: bool,
    /// The memory of a long value.
    reservation: Option<Reservation>,
}

impl Command {
    /// The number of arguments, including the command's name.
    pub fn arity(&self) -> usize {
        self.count
    }

    /// False if a value was dropped because the memory budget was exhausted.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// The argument at `index`, or an empty slice if there is none.
    pub fn arg(&self, index: usize) -> &[u8] {
        if index >= self.count {
            return &[];
        }
        let start = if index == 0 { 0 } else { self.ends[index - 1] as usize };
        &self.bytes[start..self.ends[index] as usize]
    }
}

/// What the parser expects next.
#[derive(Clone, Copy, Debug)]
enum CommandState {
    Start,
    Count(LengthParser),
    Dollar,
    Length(LengthParser),
    /// The next `remaining` bytes belong to an argument, and there is memory for the first `room` of them.
    Body {
        remaining: usize,
        room: usize,
    },
    /// A value of which so many bytes are missing waits for memory.
    WaitForMemory {
        remaining: usize,
    },
    /// The next `remaining` bytes belong to a value that is dropped.
    Skip {
        remaining: usize,
    },
    Cr,
    Lf,
}

/// Parses the commands on a client's connection.
#[derive(Debug)]
pub struct CommandParser {
    budget: MemoryBudget,
    state: CommandState,
    /// Arguments of the current command that are still to come.
    remaining_args: i64,
    command: Command,
}

impl CommandParser {
    /// A parser for a new connection, which reserves the memory for long values in `budget`.
    pub fn new(budget: MemoryBudget) -> Self {
        CommandParser { budget, state: CommandState::Start, remaining_args: 0, command: Command::default() }
    }

    /// True if the input so far ends within a command.
    pub fn in_progress(&self) -> bool {
        !matches!(self.state, CommandState::Start)
    }

    /// True if the input so far ends within the command's value.
    pub fn in_value(&self) -> bool {
        use CommandState::{Body, Cr, Lf, Skip, WaitForMemory};
        self.command.count == VALUE_INDEX
            && matches!(self.state, WaitForMemory { .. } | Body { .. } | Skip { .. } | Cr | Lf)
    }

    /// How many bytes to read at once: what of a value there is likely to be memory for, and `least` otherwise.
    pub fn read_limit(&self, least: usize) -> usize {
        let wanted = match self.state {
            CommandState::Body { remaining, room } if self.in_value() => {
                let more = self.command.reservation.as_ref().map_or(0, Reservation::room);
                remaining.min(room + more) + LINE_END_BYTES
            }
            CommandState::Skip { remaining } => remaining + LINE_END_BYTES,
            _ => least,
        };
        wanted.max(least)
    }

    /// The argument at `index` of the command that is being read, or an empty slice if it is not complete.
    pub fn partial_arg(&self, index: usize) -> &[u8] {
        self.command.arg(index)
    }

    /// True if no input is taken until there is memory for more of the value.
    pub fn waits_for_memory(&self) -> bool {
        matches!(self.state, CommandState::WaitForMemory { .. })
    }

    /// Tries again to reserve memory for more of the value; returns true unless the parser still waits for memory.
    pub fn retry_reservation(&mut self) -> bool {
        if let CommandState::WaitForMemory { remaining } = self.state {
            self.reserve_step(remaining);
        }
        !self.waits_for_memory()
    }

    /// Gives up the value that waits for memory: what has arrived of it is dropped, and so is the rest as it arrives.
    pub fn drop_value(&mut self) {
        if let CommandState::WaitForMemory { remaining } = self.state {
            self.skip_value(remaining);
        }
    }

    /// Lets the values of other connections grow before the incomplete one of this connection.
    pub fn yield_priority(&mut self) {
        self.command.reservation.iter_mut().for_each(Reservation::yield_priority);
    }

    /// Takes input up to the end of a command; returns the number of bytes taken, and the command once it is
    /// complete. Stops early, possibly without taking a byte, when a value has to wait for memory.
    pub fn feed(&mut self, input: &[u8]) -> Result<(usize, Option<Command>), ProtocolError> {
        let mut at = 0;
        while at < input.len() && !self.waits_for_memory() {
            let available = &input[at..];
            match &mut self.state {
                CommandState::Body { remaining, room: 0 } => {
                    let remaining = *remaining;
                    self.reserve_step(remaining);
                    continue;
                }
                CommandState::Body { remaining, room } => {
                    let part = &available[..available.len().min(*room)];
                    self.command.bytes.extend_from_slice(part);
                    at += part.len();
                    (*remaining, *room) = (*remaining - part.len(), *room - part.len());
                    if *remaining == 0 {
                        self.state = CommandState::Cr;
                    }
                    continue;
                }
                CommandState::Skip { remaining } => {
                    let skipped = available.len().min(*remaining);
                    at += skipped;
                    *remaining -= skipped;
                    if *remaining == 0 {
                        self.state = CommandState::Cr;
                    }
                    continue;
                }
                _ => {}
            }
            let byte = input[at];
            at += 1;
            if self.push_byte(byte)? {
                self.state = CommandState::Start;
                return Ok((at, Some(std::mem::take(&mut self.command))));
            }
        }
        Ok((at, None))
    }

    /// Takes a byte outside of an argument's body; returns true if it completed the command.
    fn push_byte(&mut self, byte: u8) -> Result<bool, ProtocolError> {
        match &mut self.state {
            CommandState::Start if byte == b'*' => self.state = CommandState::Count(LengthParser::default()),
            CommandState::Start => return Err(ProtocolError("expected '*'")),
            CommandState::Count(parser) => match parser.push(byte)? {
                None => {}
                Some(0) => self.state = CommandState::Start,
                Some(n) if n < 0 || n > MAX_ARGS as i64 => {
                    return Err(ProtocolError("invalid multibulk length"))
                }
                Some(n) => {
                    self.remaining_args = n;
                    self.command.complete = true;
                    self.command.bytes.reserve(INITIAL_CAPACITY_BYTES);
                    self.state = CommandState::Dollar;
                }
            },
            CommandState::Dollar if byte == b'$' => {
                self.state = CommandState::Length(LengthParser::default())
            }
            CommandState::Dollar => return Err(ProtocolError("expected '$'")),
            CommandState::Length(parser) => {
                if let Some(n) = parser.push(byte)? {
                    let is_value = self.command.count == VALUE_INDEX;
                    let max = if is_value { MAX_STREAMED_VALUE_BYTES } else { MAX_SHORT_ARG_BYTES };
                    let length = usize::try_from(n).ok().filter(|n| *n <= max);
                    let length = length.ok_or(ProtocolError("invalid bulk length"))?;
                    if !is_value && self.command.bytes.len() + length > MAX_HEAD_BYTES {
                        return Err(ProtocolError("too many bytes before the value"));
                    }
                    self.begin_argument(length);
                }
            }
            CommandState::Cr if byte == b'\r' => self.state = CommandState::Lf,
            CommandState::Lf if byte == b'\n' => {
                self.command.ends[self.command.count] = self.command.bytes.len() as u32;
                self.command.count += 1;
                self.remaining_args -= 1;
                self.state = CommandState::Dollar;
                return Ok(self.remaining_args == 0);
            }
            _ => return Err(ProtocolError("expected a line end")),
        }
        Ok(false)
    }

    /// Begins an argument of this length. A long one gets its memory as it arrives.
    fn begin_argument(&mut self, length: usize) {
        if length <= MAX_SHORT_ARG_BYTES {
            self.state = match length {
                0 => CommandState::Cr,
                _ => CommandState::Body { remaining: length, room: length },
            };
        } else if length > self.budget.capacity() {
            self.skip_value(length);
        } else {
            self.command.reservation = Some(self.budget.begin(length));
            self.state = CommandState::Body { remaining: length, room: 0 };
        }
    }

    /// Reserves memory for more of a value of which `remaining` bytes are missing. A long value waits if there is none,
    /// and a short one is dropped.
    fn reserve_step(&mut self, remaining: usize) {
        let step = self.command.reservation.as_mut().and_then(Reservation::grow);
        let length = self.value_bytes() + remaining;
        match step {
            Some(room) => {
                self.command.bytes.reserve_exact(room);
                self.state = CommandState::Body { remaining, room };
            }
            // A value that is streamed is not read on: its sender waits.
            None if length > MAX_BUFFERED_VALUE_BYTES => {
                self.state = CommandState::WaitForMemory { remaining };
            }
            None => self.skip_value(remaining),
        }
    }

    /// Drops a value. It is still read to its end, so that the command can be answered with an error; otherwise its
    /// sender would wait without an answer.
    fn skip_value(&mut self, remaining: usize) {
        let value_start = self.command.bytes.len() - self.value_bytes();
        self.command.bytes.truncate(value_start);
        self.command.bytes.shrink_to_fit();
        (self.command.reservation, self.command.complete) = (None, false);
        self.state = CommandState::Skip { remaining };
    }

    /// How many bytes of the argument that is being read have been stored.
    fn value_bytes(&self) -> usize {
        let complete_args = match self.command.count {
            0 => 0,
            count => self.command.ends[count - 1] as usize,
        };
        self.command.bytes.len() - complete_args
    }
}
