//! A client's connection as the client has set it up: the protocol that it speaks, its name and its user; and the
//! commands that are about the connection and not about the cache. No I/O.
//!
//! The commands and their answers are those of the Redis documentation (`HELLO`, `AUTH`, `RESET`, `CLIENT ...`,
//! `COMMAND`, `PING`, `ECHO`, `SELECT`, `QUIT`), as far as client libraries send them by themselves. What a proxy
//! can't do is answered with an error: a client that believed to be told of changed keys would show old ones.

mod users;

pub use users::{
    InvalidPasswordHash, PasswordHash, User, Users, DEFAULT_USER, MAX_PASSWORD_BYTES, SALT_BYTES,
};

use resp::{Command, Frame, Protocol};
use std::borrow::Cow;

/// Wrong passwords on one connection, after which it is closed.
pub const MAX_LOGIN_FAILURES: u8 = 8;
/// The longest name of a connection.
const MAX_NAME: usize = 256;

const WRONG: &str = "WRONGPASS invalid username-password pair or user is disabled.";
const NOAUTH: &str = "NOAUTH Authentication required.";
const NOAUTH_HELLO: &str = "NOAUTH HELLO must be called with the client already authenticated, otherwise the \
    HELLO <proto> AUTH <user> <pass> option can be used to authenticate the client and select the RESP protocol \
    version at the same time";
const NO_PASSWORD: &str =
    "ERR AUTH <password> called without any password configured for the default user. Are \
    you sure your configuration is correct?";
const BAD_NAME: &str = "ERR Client names cannot contain spaces, newlines or special characters.";

/// The answer to a command about the connection.
#[derive(Debug, PartialEq, Eq)]
pub struct Answer {
    /// Its bytes.
    pub bytes: Cow<'static, [u8]>,
    /// The connection is to be closed behind it.
    pub close: bool,
    /// The command was understood and granted: whoever sent it speaks the protocol and may do so.
    pub accepted: bool,
    /// It gave a password that is wrong.
    pub wrong_password: bool,
}

impl Answer {
    fn new(bytes: &'static [u8]) -> Self {
        Answer { bytes: bytes.into(), close: false, accepted: true, wrong_password: false }
    }

    fn frame(frame: &Frame, protocol: Protocol) -> Self {
        let mut bytes = Vec::new();
        frame.write(protocol, &mut bytes);
        Answer { bytes: bytes.into(), close: false, accepted: true, wrong_password: false }
    }

    /// An error line.
    fn error(text: impl AsRef<str>) -> Self {
        let bytes = format!("-{}\r\n", text.as_ref()).into_bytes();
        Answer { bytes: bytes.into(), close: false, accepted: false, wrong_password: false }
    }

    fn ok() -> Self {
        Answer::new(b"+OK\r\n")
    }
}

/// What a command is.
#[derive(Debug, PartialEq, Eq)]
pub enum CommandOutcome {
    /// It is about the connection, and this is its answer.
    Answer(Answer),
    /// It is a read or write of the cache, and this user may call it.
    Request,
}

/// One connection.
#[derive(Debug)]
pub struct Session {
    id: u64,
    protocol: Protocol,
    name: Vec<u8>,
    user: Option<usize>,
    failures: u8,
}

impl Session {
    /// A connection that has just come, with a number that no other one had.
    pub fn new(id: u64, users: &Users) -> Self {
        Session { id, protocol: Protocol::Two, name: Vec::new(), user: users.open(), failures: 0 }
    }

    /// The protocol in force.
    pub fn protocol(&self) -> Protocol {
        self.protocol
    }

    /// May it ask for this tenant? The error to answer if not.
    ///
    /// # Errors
    /// The line that says so.
    pub fn check_tenant(&self, tenant: Option<u32>, users: &Users) -> Result<(), String> {
        let user = self.user.and_then(|u| users.get(u));
        match user.and_then(|u| Some((u, u.tenants.as_ref()?))) {
            Some((user, tenants)) if !tenant.is_some_and(|t| tenants.contains(&t)) => {
                Err(format!("-NOPERM User {} has no permissions for this tenant\r\n", user.name))
            }
            _ => Ok(()),
        }
    }

    /// Takes a command. What changes by it changes now: commands behind it are answered accordingly.
    pub fn handle(&mut self, command: &Command, users: &Users) -> CommandOutcome {
        let name = command.arg(0);
        let is = |other: &str| name.eq_ignore_ascii_case(other.as_bytes());
        if is("CACHE.GET") || is("CACHE.SET") {
            return self.granted(name, users).map_or(CommandOutcome::Request, CommandOutcome::Answer);
        }
        CommandOutcome::Answer(if is("HELLO") {
            self.hello(command, users)
        } else if is("AUTH") {
            self.auth(command, users)
        } else if is("QUIT") {
            Answer { close: true, ..Answer::ok() }
        } else if is("RESET") {
            *self = Session { failures: self.failures, ..Session::new(self.id, users) };
            Answer::new(b"+RESET\r\n")
        } else if let Some(refused) = self.granted(name, users) {
            refused
        } else {
            self.other(command)
        })
    }

    /// The error for a command that its user may not call.
    fn granted(&self, name: &[u8], users: &Users) -> Option<Answer> {
        if !users.authentication_required() {
            return None;
        }
        let Some(user) = self.user.and_then(|u| users.get(u)) else { return Some(Answer::error(NOAUTH)) };
        let cache = name.get(..6).is_some_and(|n| n.eq_ignore_ascii_case(b"CACHE."));
        let listed = user.commands.as_ref().filter(|_| cache)?;
        if listed.iter().any(|c| name.eq_ignore_ascii_case(c.as_bytes())) {
            return None;
        }
        let command = String::from_utf8_lossy(name).to_lowercase();
        let user = &user.name;
        Some(Answer::error(format!("NOPERM User {user} has no permissions to run the '{command}' command")))
    }

    fn other(&mut self, command: &Command) -> Answer {
        let arity = command.arity();
        let name = String::from_utf8_lossy(command.arg(0)).to_ascii_uppercase();
        match (&name[..], arity) {
            ("PING", 1) => Answer::new(b"+PONG\r\n"),
            ("PING", 2) | ("ECHO", 2) => Answer::frame(&Frame::bulk_string(command.arg(1)), self.protocol),
            // There is one database; which number a client gives it is its own matter.
            ("SELECT", 2) => Answer::ok(),
            ("CLIENT", 2..) => self.client(command),
            ("COMMAND", 1) => Answer::frame(&Frame::Array(Vec::new()), self.protocol),
            ("COMMAND", 2..) => {
                let part = command.arg(1).to_ascii_uppercase();
                let none = match &part[..] {
                    b"COUNT" => Frame::Integer(0),
                    b"DOCS" => Frame::Map(Vec::new()),
                    b"INFO" => Frame::Array(vec![Frame::Null; arity - 2]),
                    b"LIST" => Frame::Array(Vec::new()),
                    _ => return unknown("COMMAND", command.arg(1)),
                };
                Answer::frame(&none, self.protocol)
            }
            ("PING" | "ECHO" | "SELECT" | "CLIENT", _) => wrong_arity(&name),
            _ => Answer::error("ERR unknown command"),
        }
    }

    fn client(&mut self, command: &Command) -> Answer {
        let part = command.arg(1).to_ascii_uppercase();
        let arg = command.arg(2);
        let is = |text: &str| arg.eq_ignore_ascii_case(text.as_bytes());
        match (&part[..], command.arity()) {
            (b"ID", 2) => Answer::frame(&Frame::Integer(self.id as i64), self.protocol),
            (b"GETNAME", 2) if self.name.is_empty() => Answer::frame(&Frame::Null, self.protocol),
            (b"GETNAME", 2) => Answer::frame(&Frame::bulk_string(&self.name), self.protocol),
            (b"SETNAME", 3) if !fits(arg) => Answer::error(BAD_NAME),
            (b"SETNAME", 3) => {
                self.name = arg.to_vec();
                Answer::ok()
            }
            (b"SETINFO", 4) if !is("LIB-NAME") && !is("LIB-VER") => {
                Answer::error(format!("ERR Unrecognized option '{}'", shown(arg)))
            }
            (b"SETINFO", 4) if !fits(command.arg(3)) => Answer::error(format!(
                "ERR {} cannot contain spaces, newlines or special characters.",
                shown(arg).to_lowercase()
            )),
            (b"SETINFO", 4) => Answer::ok(),
            (b"NO-EVICT" | b"NO-TOUCH", 3) if is("ON") || is("OFF") => Answer::ok(),
            (b"NO-EVICT" | b"NO-TOUCH", 3) => Answer::error("ERR syntax error"),
            // What is on, or off, in any case.
            (b"REPLY", 3) if is("ON") => Answer::ok(),
            (b"TRACKING", 3) if is("OFF") => Answer::ok(),
            (b"ID" | b"GETNAME" | b"SETNAME" | b"SETINFO" | b"NO-EVICT" | b"NO-TOUCH", _) => {
                wrong_arity(&format!("CLIENT|{}", shown(&part)))
            }
            _ => unknown("CLIENT", command.arg(1)),
        }
    }

    // ---- users ----

    /// Finds a user, and counts where there is none.
    fn login(&mut self, name: &[u8], password: &[u8], users: &Users) -> Result<Option<usize>, Answer> {
        // Without users there is the default one alone, and any password is right.
        if !users.authentication_required() && name == DEFAULT_USER.as_bytes() {
            return Ok(None);
        }
        match users.find(name, password) {
            Some(user) => Ok(Some(user)),
            None => {
                self.failures = self.failures.saturating_add(1);
                let close = self.failures >= MAX_LOGIN_FAILURES;
                Err(Answer { close, wrong_password: true, ..Answer::error(WRONG) })
            }
        }
    }

    fn auth(&mut self, command: &Command, users: &Users) -> Answer {
        let (name, password) = match command.arity() {
            2 if !users.authentication_required() || users.open().is_some() => {
                return Answer::error(NO_PASSWORD)
            }
            2 => (DEFAULT_USER.as_bytes(), command.arg(1)),
            3 => (command.arg(1), command.arg(2)),
            1 => return wrong_arity("AUTH"),
            _ => return Answer::error("ERR syntax error"),
        };
        match self.login(name, password, users) {
            Ok(user) => {
                self.user = user;
                Answer::ok()
            }
            Err(answer) => answer,
        }
    }

    /// `HELLO [2|3 [AUTH user password] [SETNAME name]]`. All of it holds, or nothing does.
    fn hello(&mut self, command: &Command, users: &Users) -> Answer {
        let mut protocol = self.protocol;
        if command.arity() > 1 {
            let version = std::str::from_utf8(command.arg(1)).ok().and_then(|v| v.parse::<i64>().ok());
            protocol = match version {
                None => {
                    return Answer::error("ERR Protocol version is not an integer or out of range");
                }
                Some(2) => Protocol::Two,
                Some(3) => Protocol::Three,
                Some(_) => return Answer::error("NOPROTO unsupported protocol version"),
            };
        }
        let (mut login, mut name, mut at) = (None, None, 2);
        while at < command.arity() {
            let left = command.arity() - at - 1;
            let option = command.arg(at);
            if option.eq_ignore_ascii_case(b"AUTH") && left >= 2 {
                login = Some((command.arg(at + 1), command.arg(at + 2)));
                at += 3;
            } else if option.eq_ignore_ascii_case(b"SETNAME") && left >= 1 {
                name = Some(command.arg(at + 1));
                at += 2;
            } else {
                return Answer::error(format!("ERR Syntax error in HELLO option '{}'", shown(option)));
            }
        }
        let user = match login.map(|(name, password)| self.login(name, password, users)) {
            Some(Err(answer)) => return answer,
            Some(Ok(user)) => user,
            None => self.user,
        };
        if users.authentication_required() && user.is_none() {
            return Answer::error(NOAUTH_HELLO);
        }
        if name.is_some_and(|n| !fits(n)) {
            return Answer::error(BAD_NAME);
        }
        (self.protocol, self.user) = (protocol, user);
        if let Some(name) = name {
            self.name = name.to_vec();
        }
        let text = |key: &str, value: &str| (Frame::bulk_string(key), Frame::bulk_string(value));
        let number = |key: &str, value: i64| (Frame::bulk_string(key), Frame::Integer(value));
        let told = Frame::Map(vec![
            text("server", "trestlesill"),
            text("version", env!("CARGO_PKG_VERSION")),
            number("proto", i64::from(protocol.number())),
            number("id", self.id as i64),
            text("mode", "standalone"),
            text("role", "master"),
            (Frame::bulk_string("modules"), Frame::Array(Vec::new())),
        ]);
        Answer::frame(&told, protocol)
    }
}

/// A name that Redis takes: printable, without spaces.
fn fits(name: &[u8]) -> bool {
    name.len() <= MAX_NAME && name.iter().all(u8::is_ascii_graphic)
}

/// What a client said, as it can stand in a line.
fn shown(text: &[u8]) -> String {
    let text = text.get(..64).unwrap_or(text);
    text.iter().map(|b| if b.is_ascii_graphic() { char::from(*b) } else { '?' }).collect()
}

fn wrong_arity(name: &str) -> Answer {
    Answer::error(format!("ERR wrong number of arguments for '{}' command", name.to_lowercase()))
}

fn unknown(command: &str, part: &[u8]) -> Answer {
    Answer::error(format!("ERR unknown subcommand '{}'. Try {command} HELP.", shown(part)))
}
