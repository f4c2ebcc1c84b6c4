//! RESP2 as it comes off a socket: commands of clients and replies of cache nodes, parsed byte by byte as
//! they arrive. The parsers hold state, not input: no byte is looked at twice, and nothing here does I/O.

use std::cell::Cell;
use std::rc::Rc;

/// The longest value that the protocol has.
pub const MAX_VALUE: usize = 64 << 10;
/// Arguments that a command may have; `CACHE.SET` has five.
const MAX_ARGS: usize = 16;
/// The value is the fifth argument. All others are short; a longer one must fit what memory is left.
const VALUE_AT: usize = 4;
const SMALL_ARG: usize = 1 << 10;
/// What the arguments of most commands take together.
const USUAL: usize = 128;
/// Elements of a reply that serves: value, note and load report.
const ELEMENTS: i64 = 3;
/// The longest line, note or load report.
const MAX_LINE: usize = 1 << 10;
/// No length or count has more digits.
const MAX_DIGITS: u8 = 10;

/// The peer does not speak RESP2, or goes past its bounds; nothing after this can be understood.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Broken(pub &'static str);

/// Memory for long values, shared by all connections.
#[derive(Clone, Debug)]
pub struct Room(Rc<Cell<usize>>);

impl Room {
    /// Room for so many bytes.
    pub fn new(bytes: usize) -> Self {
        Room(Rc::new(Cell::new(bytes)))
    }

    fn lease(&self, bytes: usize) -> Option<Lease> {
        let left = self.0.get().checked_sub(bytes)?;
        self.0.set(left);
        Some(Lease { room: self.clone(), bytes })
    }
}

/// A part of the room, given back when dropped.
#[derive(Debug)]
struct Lease {
    room: Room,
    bytes: usize,
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.room.0.set(self.room.0.get() + self.bytes);
    }
}

/// A number and its line end.
#[derive(Clone, Copy, Debug, Default)]
struct Number {
    value: i64,
    digits: u8,
    negative: bool,
    cr: bool,
}

impl Number {
    /// Takes one byte; the number once its line has ended.
    fn push(&mut self, byte: u8) -> Result<Option<i64>, Broken> {
        match byte {
            b'\n' if self.cr => Ok(Some(if self.negative { -self.value } else { self.value })),
            b'\r' if self.digits > 0 && !self.cr => {
                self.cr = true;
                Ok(None)
            }
            b'-' if self.digits == 0 && !self.negative && !self.cr => {
                self.negative = true;
                Ok(None)
            }
            b'0'..=b'9' if self.digits < MAX_DIGITS && !self.cr => {
                self.value = self.value * 10 + i64::from(byte - b'0');
                self.digits += 1;
                Ok(None)
            }
            _ => Err(Broken("invalid number")),
        }
    }
}

/// A whole command: its arguments, one after the other in one block.
#[derive(Debug, Default)]
pub struct Command {
    bytes: Vec<u8>,
    ends: [u32; MAX_ARGS],
    count: usize,
    /// False if a value was dropped for want of room.
    whole: bool,
    leases: Vec<Lease>,
}

impl Command {
    /// How many arguments there are, the command's name counted.
    pub fn arity(&self) -> usize {
        self.count
    }

    /// False if memory was short and a value had to be dropped.
    pub fn is_whole(&self) -> bool {
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
    Body { left: usize, keep: bool },
    Cr,
    Lf,
}

/// Parses the commands on a client's connection.
#[derive(Debug)]
pub struct CommandParser {
    room: Room,
    state: CommandState,
    left: i64,
    command: Command,
}

impl CommandParser {
    /// A parser at the start of a connection; long values take from `room`.
    pub fn new(room: Room) -> Self {
        CommandParser { room, state: CommandState::Start, left: 0, command: Command::default() }
    }

    /// True if a command has begun and not ended.
    pub fn midway(&self) -> bool {
        !matches!(self.state, CommandState::Start)
    }

    /// Takes input up to the end of a command; tells how much it took, and the command once it is whole.
    pub fn feed(&mut self, input: &[u8]) -> Result<(usize, Option<Command>), Broken> {
        let mut at = 0;
        while at < input.len() {
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
    fn byte(&mut self, byte: u8) -> Result<bool, Broken> {
        match &mut self.state {
            CommandState::Start if byte == b'*' => self.state = CommandState::Count(Number::default()),
            CommandState::Start => return Err(Broken("expected '*'")),
            CommandState::Count(number) => match number.push(byte)? {
                None => {}
                Some(0) => self.state = CommandState::Start,
                Some(n) if n < 0 || n > MAX_ARGS as i64 => return Err(Broken("invalid multibulk length")),
                Some(n) => {
                    self.left = n;
                    self.command.whole = true;
                    self.command.bytes.reserve(USUAL);
                    self.state = CommandState::Dollar;
                }
            },
            CommandState::Dollar if byte == b'$' => self.state = CommandState::Length(Number::default()),
            CommandState::Dollar => return Err(Broken("expected '$'")),
            CommandState::Length(number) => {
                if let Some(n) = number.push(byte)? {
                    let most = if self.command.count == VALUE_AT { MAX_VALUE } else { SMALL_ARG };
                    let length = usize::try_from(n).ok().filter(|n| *n <= most);
                    let length = length.ok_or(Broken("invalid bulk length"))?;
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
            _ => return Err(Broken("expected a line end")),
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
                None => (keep, self.command.whole) = (false, false),
            }
        }
        self.state = if length == 0 { CommandState::Cr } else { CommandState::Body { left: length, keep } };
    }
}

/// What kind of reply a cache node gave.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Kind {
    /// A value or a receipt.
    Served,
    /// `-BUSY`: turned away unseen.
    Busy,
    /// Another error line, or a reply that carries no value.
    #[default]
    Failed,
}

/// A whole reply, but for its bytes: those are what [`ReplyParser::feed`] took.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reply {
    /// What kind it is.
    pub kind: Kind,
    /// How a read went (`hit`, `miss`, `pending`); empty if not told.
    pub note: Vec<u8>,
    /// The load report; empty if there is none.
    pub load: Vec<u8>,
}

#[derive(Clone, Copy, Debug)]
enum ReplyState {
    Type,
    Count(Number),
    Length(Number),
    Line { cr: bool },
    Body(usize),
    Cr,
    Lf,
}

/// Parses the replies on a connection to a cache node: an array of value, note and load report, or an error
/// line.
///
/// Guards against replies that came to harm on their way or in the node: whatever does not have just this
/// shape is no reply, and nothing after it on the connection can be trusted. Danger: taken loosely, noise or
/// the tail of another reply could pass for the value that was asked for. A node that one day tells more in
/// its replies would be refused here altogether.
#[derive(Debug)]
pub struct ReplyParser {
    state: ReplyState,
    /// Number of the element at hand and of all; an error line has one.
    element: i64,
    elements: i64,
    array: bool,
    line: Vec<u8>,
    reply: Reply,
}

impl Default for ReplyParser {
    fn default() -> Self {
        ReplyParser {
            state: ReplyState::Type,
            element: 0,
            elements: 1,
            array: false,
            line: Vec::new(),
            reply: Reply::default(),
        }
    }
}

impl ReplyParser {
    /// True if a reply has begun and not ended.
    pub fn midway(&self) -> bool {
        self.array || !matches!(self.state, ReplyState::Type)
    }

    /// Takes input until a reply ends or there is no more; tells how much it took, and the reply once it is
    /// whole.
    pub fn feed(&mut self, input: &[u8]) -> Result<(usize, Option<Reply>), Broken> {
        let mut at = 0;
        while at < input.len() {
            if let ReplyState::Body(left) = &mut self.state {
                let part = &input[at..input.len().min(at + *left)];
                if self.element > 0 {
                    self.line.extend_from_slice(part);
                }
                at += part.len();
                *left -= part.len();
                if *left == 0 {
                    self.state = ReplyState::Cr;
                }
                continue;
            }
            let byte = input[at];
            at += 1;
            if let Some(reply) = self.byte(byte)? {
                return Ok((at, Some(reply)));
            }
        }
        Ok((at, None))
    }

    fn byte(&mut self, byte: u8) -> Result<Option<Reply>, Broken> {
        match &mut self.state {
            ReplyState::Type => {
                self.state = match (byte, self.array, self.element) {
                    (b'*', false, _) => ReplyState::Count(Number::default()),
                    (b'$', true, _) => ReplyState::Length(Number::default()),
                    // Notes and load reports may be plain lines.
                    (b'-', false, _) | (b'+', true, 1..) => ReplyState::Line { cr: false },
                    _ => return Err(Broken("unknown type of reply")),
                };
                self.line.clear();
            }
            ReplyState::Count(number) => match number.push(byte)? {
                None => {}
                // A null array, or an empty one, carries no value.
                Some(-1 | 0) => return Ok(Some(self.end())),
                Some(ELEMENTS) => {
                    (self.array, self.elements) = (true, ELEMENTS);
                    self.state = ReplyState::Type;
                }
                Some(_) => return Err(Broken("invalid array length")),
            },
            ReplyState::Length(number) => {
                let Some(n) = number.push(byte)? else { return Ok(None) };
                if n == -1 {
                    return Ok(self.next());
                }
                let most = if self.element == 0 { MAX_VALUE } else { MAX_LINE };
                let length = usize::try_from(n).ok().filter(|n| *n <= most);
                let length = length.ok_or(Broken("invalid bulk length"))?;
                self.state = if length == 0 { ReplyState::Cr } else { ReplyState::Body(length) };
                if self.element == 0 {
                    self.reply.kind = Kind::Served;
                }
            }
            ReplyState::Line { cr } if !*cr => match byte {
                b'\r' => *cr = true,
                0..=31 | 127.. => return Err(Broken("a line is not text")),
                _ if self.line.len() < MAX_LINE => self.line.push(byte),
                _ => return Err(Broken("line is too long")),
            },
            ReplyState::Line { .. } if byte == b'\n' => {
                if !self.array {
                    self.error_line();
                }
                return Ok(self.next());
            }
            ReplyState::Cr if byte == b'\r' => self.state = ReplyState::Lf,
            ReplyState::Lf if byte == b'\n' => return Ok(self.next()),
            _ => return Err(Broken("expected a line end")),
        }
        Ok(None)
    }

    fn error_line(&mut self) {
        let word = self.line.split(|b| *b == b' ').next();
        self.reply.kind = if word == Some(b"BUSY") { Kind::Busy } else { Kind::Failed };
        let last = self.line.rsplit(|b| *b == b' ').next().filter(|w| w.contains(&b'='));
        self.reply.load = last.unwrap_or_default().to_vec();
    }

    /// Ends an element.
    fn next(&mut self) -> Option<Reply> {
        match self.element {
            1 => self.reply.note = std::mem::take(&mut self.line),
            2 => self.reply.load = std::mem::take(&mut self.line),
            _ => {}
        }
        self.line.clear();
        self.element += 1;
        if self.element >= self.elements {
            return Some(self.end());
        }
        self.state = ReplyState::Type;
        None
    }

    fn end(&mut self) -> Reply {
        let line = std::mem::take(&mut self.line);
        let done = std::mem::replace(self, ReplyParser { line, ..ReplyParser::default() });
        done.reply
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn commands(pieces: &[&[u8]], room: usize) -> Result<Vec<Vec<Vec<u8>>>, Broken> {
        let mut parser = CommandParser::new(Room::new(room));
        let mut all = Vec::new();
        for mut piece in pieces.iter().copied() {
            while !piece.is_empty() {
                let (used, command) = parser.feed(piece)?;
                assert!(used > 0, "no progress");
                all.extend(command.map(|c| (0..c.arity()).map(|i| c.arg(i).to_vec()).collect()));
                piece = &piece[used..];
            }
        }
        Ok(all)
    }

    fn replies(pieces: &[&[u8]]) -> Result<Vec<Reply>, Broken> {
        let (mut parser, mut all) = (ReplyParser::default(), Vec::new());
        for mut piece in pieces.iter().copied() {
            while !piece.is_empty() {
                let (used, reply) = parser.feed(piece)?;
                assert!(used > 0, "no progress");
                assert!(reply.is_none() || !parser.midway());
                all.extend(reply);
                piece = &piece[used..];
            }
        }
        Ok(all)
    }

    fn encode(args: &[Vec<u8>]) -> Vec<u8> {
        let mut out = format!("*{}\r\n", args.len()).into_bytes();
        for arg in args {
            out.extend_from_slice(format!("${}\r\n", arg.len()).as_bytes());
            out.extend_from_slice(arg);
            out.extend_from_slice(b"\r\n");
        }
        out
    }

    /// Cuts `bytes` at the given places.
    fn split<'a>(bytes: &'a [u8], cuts: &[usize]) -> Vec<&'a [u8]> {
        let mut cuts: Vec<usize> = cuts.iter().map(|c| c % (bytes.len() + 1)).collect();
        cuts.extend([0, bytes.len()]);
        cuts.sort_unstable();
        cuts.windows(2).map(|w| &bytes[w[0]..w[1]]).collect()
    }

    fn reply() -> impl Strategy<Value = Vec<u8>> {
        let value = prop_oneof![0usize..40, Just(MAX_VALUE)];
        let array = (value, 0usize..3, any::<bool>()).prop_map(|(length, note, load)| {
            let mut out = format!("*3\r\n${length}\r\n").into_bytes();
            out.extend(std::iter::repeat_n(b'\n', length));
            out.extend_from_slice([&b"\r\n$3\r\nhit\r\n"[..], b"\r\n+miss\r\n", b"\r\n$-1\r\n"][note]);
            out.extend_from_slice(if load { b"$8\r\nutil=0.6\r\n" } else { b"$-1\r\n" });
            out
        });
        prop_oneof![
            array,
            Just(b"-ERR failed inflight=7,queue=2\r\n".to_vec()),
            Just(b"-BUSY\r\n".to_vec()),
            Just(b"*-1\r\n".to_vec()),
            Just(b"*3\r\n$-1\r\n$-1\r\n+util=1\r\n".to_vec()),
        ]
    }

    proptest! {
        #[test]
        fn any_split_of_commands_parses_alike(
            args in proptest::collection::vec(proptest::collection::vec(
                proptest::collection::vec(any::<u8>(), 0..50), 1..6), 1..4),
            cuts in proptest::collection::vec(any::<usize>(), 0..12),
        ) {
            let bytes: Vec<u8> = args.iter().flat_map(|a| encode(a)).collect();
            prop_assert_eq!(commands(&split(&bytes, &cuts), 0), Ok(args));
        }

        #[test]
        fn any_split_of_replies_parses_alike(
            all in proptest::collection::vec(reply(), 1..5),
            cuts in proptest::collection::vec(any::<usize>(), 0..12),
        ) {
            let bytes = all.concat();
            let whole = replies(&[&bytes]);
            prop_assert_eq!(whole.as_ref().map(Vec::len), Ok(all.len()));
            prop_assert_eq!(replies(&split(&bytes, &cuts)), whole);
        }

        #[test]
        fn rubbish_ends_alike_however_it_is_split(
            bytes in proptest::collection::vec(prop_oneof![any::<u8>(), Just(b'*'), Just(b'$'), Just(b'1'),
                Just(b'\r'), Just(b'\n')], 1..60),
            cuts in proptest::collection::vec(any::<usize>(), 0..12),
        ) {
            prop_assert_eq!(commands(&split(&bytes, &cuts), 0), commands(&[&bytes], 0));
            prop_assert_eq!(replies(&split(&bytes, &cuts)), replies(&[&bytes]));
        }
    }

    #[test]
    fn a_value_without_room_is_read_to_its_end_and_gives_its_room_back() {
        let room = Room::new(10_000);
        let mut args = vec![b"x".to_vec(); VALUE_AT];
        args.push(vec![b'x'; 8_000]);
        let big = encode(&args);
        let mut first = CommandParser::new(room.clone());
        let mut second = CommandParser::new(room.clone());
        let held = first.feed(&big).expect("parses").1.expect("whole");
        assert!(held.is_whole() && held.arg(VALUE_AT).len() == 8_000);
        let refused = second.feed(&big).expect("parses").1.expect("whole");
        assert!(!refused.is_whole() && refused.arity() == VALUE_AT + 1);
        drop(held);
        assert!(second.feed(&big).expect("parses").1.expect("whole").is_whole());
    }

    #[test]
    fn bounds_hold() {
        let value = "*5\r\n$1\r\nx\r\n$1\r\nx\r\n$1\r\nx\r\n$1\r\nx\r\n$65537\r\n";
        for bad in
            ["PING\r\n", "*17\r\n", "*1\r\n$1025\r\n", value, "*1\r\n$-1\r\n", "*99999999999\r\n", "*1\n"]
        {
            assert!(commands(&[bad.as_bytes()], 0).is_err(), "{bad:?} was taken");
        }
        let line = format!("-{}\r\n", "x".repeat(MAX_LINE + 1));
        let value = |more: &str| format!("*3\r\n$1\r\nx\r\n{more}");
        for bad in [
            "*4\r\n",
            "*1\r\n$1\r\nx\r\n",
            "*3\r\n*1\r\n",
            "*3\r\n$65537\r\n",
            "*3\r\n$3000000000\r\n",
            "*3\r\n$2\r\nxyz\r\n",
            "*3\r\n+x\r\n",
            &value("$1025\r\n"),
            &value(":1\r\n"),
            "$1\r\nx\r\n",
            "+PONG\r\n",
            ":12\r\n",
            "-ERR \u{1}\r\n",
            "?\r\n",
            &line,
        ] {
            assert!(replies(&[bad.as_bytes()]).is_err(), "{bad:?} was taken");
        }
    }

    #[test]
    fn replies_tell_what_they_are() {
        let all = replies(&[
            b"*3\r\n$1\r\nv\r\n$7\r\npending\r\n$-1\r\n-BUSY 5\r\n-BUSYBODY\r\n-ERR failed util=1\r\n",
        ])
        .expect("parses");
        assert_eq!(all[0], Reply { kind: Kind::Served, note: b"pending".to_vec(), load: vec![] });
        assert_eq!((all[1].kind, all[2].kind, all[3].kind), (Kind::Busy, Kind::Failed, Kind::Failed));
        assert_eq!(all[3].load, b"util=1");
    }
}
