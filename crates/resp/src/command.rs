//! The commands of clients: arrays of bulk strings, in both protocols.

use crate::number::Number;
use crate::room::Reservation;
use crate::{MemoryBudget, ProtocolError, MAX_BUFFERED_VALUE_BYTES, MAX_STREAMED_VALUE_BYTES};

/// Arguments that a command may have; `CACHE.SET` has five.
const MAX_ARGS: usize = 16;
/// The value is the fifth argument. All others are short; a longer one must fit what memory is left.
const VALUE_AT: usize = 4;
const SMALL_ARG: usize = 1 << 10;
/// What the arguments of most commands take together.
const USUAL: usize = 128;

/// A whole command: its arguments, one after the other in one block.
#[derive(Debug, Default)]
pub struct Command {
    bytes: Vec<u8>,
    ends: [u32; MAX_ARGS],
    count: usize,
    /// False if a value was dropped for want of room.
    whole: bool,
    leases: Vec<Reservation>,
}

impl Command {
    /// How many arguments there are, the command's name counted.
    pub fn arity(&self) -> usize {
        self.count
    }

    /// False if memory was short and a value had to be dropped.
    pub fn is_complete(&self) -> bool {
        self.whole
    }

    /// An argument; empty if there is none of this number.
    pub fn arg(&self, i: usize) -> &[u8] {
        if i >= self.count {
            return &[];
        }
        let start = if i == 0 { 0 } else { self.ends[i - 1] as usize };
        &self.bytes[start..self.ends[i] as usize]
    }
}

#[derive(Clone, Copy, Debug)]
enum CommandState {
    Start,
    Count(Number),
    Dollar,
    Length(Number),
    /// A long value of so many bytes waits until there is room for it.
    Wait(usize),
    Body {
        left: usize,
        keep: bool,
    },
    Cr,
    Lf,
}

/// Parses the commands on a client's connection.
#[derive(Debug)]
pub struct CommandParser {
    room: MemoryBudget,
    state: CommandState,
    left: i64,
    command: Command,
}

impl CommandParser {
    /// A parser at the start of a connection; long values take from `room`.
    pub fn new(room: MemoryBudget) -> Self {
        CommandParser { room, state: CommandState::Start, left: 0, command: Command::default() }
    }

    /// True if a command has begun and not ended.
    pub fn in_progress(&self) -> bool {
        !matches!(self.state, CommandState::Start)
    }

    /// True if the command's value has begun and is not whole.
    pub fn in_value(&self) -> bool {
        use CommandState::{Body, Cr, Lf, Wait};
        self.command.count == VALUE_AT && matches!(self.state, Wait(_) | Body { .. } | Cr | Lf)
    }

    /// True if nothing more is taken before there is room for the value that comes next.
    pub fn waits_for_memory(&self) -> bool {
        matches!(self.state, CommandState::Wait(_))
    }

    /// Asks for that room again; true if nothing is waited for.
    pub fn retry_reservation(&mut self) -> bool {
        if let CommandState::Wait(length) = self.state {
            self.begin(length);
        }
        !self.waits_for_memory()
    }

    /// Takes input up to the end of a command; tells how much it took, and the command once it is whole. It takes
    /// less, perhaps nothing, where it comes to wait for room.
    pub fn feed(&mut self, input: &[u8]) -> Result<(usize, Option<Command>), ProtocolError> {
        let mut at = 0;
        while at < input.len() && !self.waits_for_memory() {
            if let CommandState::Body { left, keep } = &mut self.state {
                let part = &input[at..input.len().min(at + *left)];
                if *keep {
                    self.command.bytes.extend_from_slice(part);
                }
                at += part.len();
                *left -= part.len();
                if *left == 0 {
                    self.state = CommandState::Cr;
                }
                continue;
            }
            let byte = input[at];
            at += 1;
            if self.byte(byte)? {
                self.state = CommandState::Start;
                return Ok((at, Some(std::mem::take(&mut self.command))));
            }
        }
        Ok((at, None))
    }

    /// Takes a byte outside of an argument's body; true if it ended the command.
    fn byte(&mut self, byte: u8) -> Result<bool, ProtocolError> {
        match &mut self.state {
            CommandState::Start if byte == b'*' => self.state = CommandState::Count(Number::default()),
            CommandState::Start => return Err(ProtocolError("expected '*'")),
            CommandState::Count(number) => match number.push(byte)? {
                None => {}
                Some(0) => self.state = CommandState::Start,
                Some(n) if n < 0 || n > MAX_ARGS as i64 => {
                    return Err(ProtocolError("invalid multibulk length"))
                }
                Some(n) => {
                    self.left = n;
                    self.command.whole = true;
                    self.command.bytes.reserve(USUAL);
                    self.state = CommandState::Dollar;
                }
            },
            CommandState::Dollar if byte == b'$' => self.state = CommandState::Length(Number::default()),
            CommandState::Dollar => return Err(ProtocolError("expected '$'")),
            CommandState::Length(number) => {
                if let Some(n) = number.push(byte)? {
                    let most =
                        if self.command.count == VALUE_AT { MAX_STREAMED_VALUE_BYTES } else { SMALL_ARG };
                    let length = usize::try_from(n).ok().filter(|n| *n <= most);
                    let length = length.ok_or(ProtocolError("invalid bulk length"))?;
                    self.begin(length);
                }
            }
            CommandState::Cr if byte == b'\r' => self.state = CommandState::Lf,
            CommandState::Lf if byte == b'\n' => {
                self.command.ends[self.command.count] = self.command.bytes.len() as u32;
                self.command.count += 1;
                self.left -= 1;
                self.state = CommandState::Dollar;
                return Ok(self.left == 0);
            }
            _ => return Err(ProtocolError("expected a line end")),
        }
        Ok(false)
    }

    fn begin(&mut self, length: usize) {
        let mut keep = true;
        if length > SMALL_ARG {
            // Danger: a value for which there is no room must be read to its end all the same, or its sender
            // would wait unanswered; its bytes are dropped and the command refused.
            match self.room.lease(length) {
                Some(lease) => {
                    self.command.leases.push(lease);
                    self.command.bytes.reserve_exact(length);
                }
                // Not read on, a longer one keeps its sender waiting and costs no memory here.
                None if length > MAX_BUFFERED_VALUE_BYTES && length <= self.room.all() => {
                    self.state = CommandState::Wait(length);
                    return;
                }
                None => (keep, self.command.whole) = (false, false),
            }
        }
        self.state = if length == 0 { CommandState::Cr } else { CommandState::Body { left: length, keep } };
    }
}
