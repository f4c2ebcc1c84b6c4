//! The state of a client's connection, which is its protocol, name and user, and the commands that concern
//! the connection rather than the cache. This crate does no I/O.
//!
//! The commands and their answers follow the Redis documentation (`HELLO`, `AUTH`, `RESET`, `CLIENT ...`,
//! `COMMAND`, `PING`, `ECHO`, `SELECT`, `QUIT`), as far as client libraries send them on their own.
//! What the proxy does not support is answered with an error: a client that wrongly relied on invalidation
//! messages, for example, would serve stale values.

mod users;

pub use users::{
    InvalidPasswordHash, PasswordHash, User, Users, DEFAULT_USER, MAX_PASSWORD_BYTES, SALT_BYTES,
};

use resp::{Command, Frame, Protocol};
use std::borrow::Cow;

/// The number of wrong passwords after which a connection is closed.
pub const MAX_LOGIN_FAILURES: u8 = 8;
/// The longest name of a connection.
const MAX_NAME_BYTES: usize = 256;
/// The most bytes of a client's text that an error repeats.
const MAX_QUOTED_BYTES: usize = 64;

/// The start of the names of all commands that read or write the cache.
const CACHE_PREFIX: &[u8] = b"CACHE.";

const WRONG_PASSWORD: &str = "WRONGPASS invalid username-password pair or user is disabled.";
const NOT_AUTHENTICATED: &str = "NOAUTH Authentication required.";
const HELLO_NOT_AUTHENTICATED: &str =
    "NOAUTH HELLO must be called with the client already authenticated, otherwise the HELLO <proto> AUTH <user> \
    <pass> option can be used to authenticate the client and select the RESP protocol version at the same time";
const NO_PASSWORD_CONFIGURED: &str =
    "ERR AUTH <password> called without any password configured for the default user. Are \
    you sure your configuration is correct?";
const INVALID_CLIENT_NAME: &str = "ERR Client names cannot contain spaces, newlines or special characters.";

/// The answer to a command about the connection.
#[derive(Debug, PartialEq, Eq)]
pub struct Answer {
    /// The bytes to send.
    pub bytes: Cow<'static, [u8]>,
    /// The connection has to be closed after the answer.
    pub close: bool,
    /// The command is valid and the user may call it.
    pub accepted: bool,
    /// The command contained a wrong password.
    pub wrong_password: bool,
}

impl Answer {
    /// An accepted command's answer, already encoded.
    fn new(bytes: &'static [u8]) -> Self {
        Answer { bytes: bytes.into(), close: false, accepted: true, wrong_password: false }
    }

    /// An accepted command's answer, encoded in the client's protocol.
    fn frame(frame: &Frame, protocol: Protocol) -> Self {
        let mut bytes = Vec::new();
        frame.write(protocol, &mut bytes);
        Answer { bytes: bytes.into(), close: false, accepted: true, wrong_password: false }
    }

    /// The simple error that refuses a command.
    fn error(text: impl AsRef<str>) -> Self {
        let bytes = format!("-{}\r\n", text.as_ref()).into_bytes();
        Answer { bytes: bytes.into(), close: false, accepted: false, wrong_password: false }
    }

    fn ok() -> Self {
        Answer::new(b"+OK\r\n")
    }
}

/// What to do with a command.
#[derive(Debug, PartialEq, Eq)]
pub enum CommandOutcome {
    /// Send this answer: the command concerns the connection, or the user may not call it.
    Answer(Answer),
    /// Process the request: the command reads or writes the cache, and the user may call it.
    Request,
}

/// The state of one connection.
#[derive(Debug)]
pub struct Session {
    id: u64,
    protocol: Protocol,
    name: Vec<u8>,
    /// The index of the user, if one is logged in.
    user: Option<usize>,
    /// The number of wrong passwords so far, also across `RESET`.
    login_failures: u8,
}

impl Session {
    /// The state of a new connection, whose id must be unique.
    pub fn new(id: u64, users: &Users) -> Self {
        Session {
            id,
            protocol: Protocol::Two,
            name: Vec::new(),
            user: users.passwordless_default(),
            login_failures: 0,
        }
    }

    /// The protocol that the client currently uses.
    pub fn protocol(&self) -> Protocol {
        self.protocol
    }

    /// Checks that the user may access this tenant.
    ///
    /// # Errors
    /// The error line to send if it may not.
    pub fn check_tenant(&self, tenant: Option<u32>, users: &Users) -> Result<(), String> {
        let user = self.user.and_then(|index| users.get(index));
        match user.and_then(|user| Some((user, user.tenants.as_ref()?))) {
            Some((user, tenants)) if !tenant.is_some_and(|t| tenants.contains(&t)) => {
                Err(format!("-NOPERM User {} has no permissions for this tenant\r\n", user.name))
            }
            _ => Ok(()),
        }
    }

    /// Handles a command. Its changes take effect at once, so they hold for the commands that were pipelined
    /// after it.
    pub fn handle(&mut self, command: &Command, users: &Users) -> CommandOutcome {
        let name = command.arg(0);
        let is = |other: &str| name.eq_ignore_ascii_case(other.as_bytes());
        if is("CACHE.GET") || is("CACHE.SET") {
            return self
                .permission_error(name, users)
                .map_or(CommandOutcome::Request, CommandOutcome::Answer);
        }
        CommandOutcome::Answer(if is("HELLO") {
            self.hello(command, users)
        } else if is("AUTH") {
            self.auth(command, users)
        } else if is("QUIT") {
            Answer { close: true, ..Answer::ok() }
        } else if is("RESET") {
            *self = Session { login_failures: self.login_failures, ..Session::new(self.id, users) };
            Answer::new(b"+RESET\r\n")
        } else if let Some(error) = self.permission_error(name, users) {
            error
        } else {
            self.answer_other(command)
        })
    }

    /// The error for a command that the user may not call.
    fn permission_error(&self, name: &[u8], users: &Users) -> Option<Answer> {
        if !users.authentication_required() {
            return None;
        }
        let Some(user) = self.user.and_then(|index| users.get(index)) else {
            return Some(Answer::error(NOT_AUTHENTICATED));
        };
        let is_cache_command =
            name.get(..CACHE_PREFIX.len()).is_some_and(|prefix| prefix.eq_ignore_ascii_case(CACHE_PREFIX));
        let allowed = user.commands.as_ref().filter(|_| is_cache_command)?;
        if allowed.iter().any(|c| name.eq_ignore_ascii_case(c.as_bytes())) {
            return None;
        }
        let command = String::from_utf8_lossy(name).to_lowercase();
        let user = &user.name;
        Some(Answer::error(format!("NOPERM User {user} has no permissions to run the '{command}' command")))
    }

    /// Answers a command that does not change the user or the protocol.
    fn answer_other(&mut self, command: &Command) -> Answer {
        let arity = command.arity();
        let name = String::from_utf8_lossy(command.arg(0)).to_ascii_uppercase();
        match (&name[..], arity) {
            ("PING", 1) => Answer::new(b"+PONG\r\n"),
            ("PING", 2) | ("ECHO", 2) => Answer::frame(&Frame::bulk_string(command.arg(1)), self.protocol),
            // There is only one database, so any index is accepted.
            ("SELECT", 2) => Answer::ok(),
            ("CLIENT", 2..) => self.answer_client(command),
            ("COMMAND", 1) => Answer::frame(&Frame::Array(Vec::new()), self.protocol),
            ("COMMAND", 2..) => {
                let subcommand = command.arg(1).to_ascii_uppercase();
                let no_commands = match &subcommand[..] {
                    b"COUNT" => Frame::Integer(0),
                    b"DOCS" => Frame::Map(Vec::new()),
                    b"INFO" => Frame::Array(vec![Frame::Null; arity - 2]),
                    b"LIST" => Frame::Array(Vec::new()),
                    _ => return unknown_subcommand("COMMAND", command.arg(1)),
                };
                Answer::frame(&no_commands, self.protocol)
            }
            ("PING" | "ECHO" | "SELECT" | "CLIENT", _) => wrong_arity(&name),
            _ => Answer::error("ERR unknown command"),
        }
    }

    /// Answers the subcommands of `CLIENT` that client libraries send when they connect.
    fn answer_client(&mut self, command: &Command) -> Answer {
        let subcommand = command.arg(1).to_ascii_uppercase();
        let arg = command.arg(2);
        let is = |text: &str| arg.eq_ignore_ascii_case(text.as_bytes());
        match (&subcommand[..], command.arity()) {
            (b"ID", 2) => Answer::frame(&Frame::Integer(self.id as i64), self.protocol),
            (b"GETNAME", 2) if self.name.is_empty() => Answer::frame(&Frame::Null, self.protocol),
            (b"GETNAME", 2) => Answer::frame(&Frame::bulk_string(&self.name), self.protocol),
            (b"SETNAME", 3) if !is_valid_name(arg) => Answer::error(INVALID_CLIENT_NAME),
            (b"SETNAME", 3) => {
                self.name = arg.to_vec();
                Answer::ok()
            }
            (b"SETINFO", 4) if !is("LIB-NAME") && !is("LIB-VER") => {
                Answer::error(format!("ERR Unrecognized option '{}'", quoted(arg)))
            }
            (b"SETINFO", 4) if !is_valid_name(command.arg(3)) => Answer::error(format!(
                "ERR {} cannot contain spaces, newlines or special characters.",
                quoted(arg).to_lowercase()
            )),
            (b"SETINFO", 4) => Answer::ok(),
            (b"NO-EVICT" | b"NO-TOUCH", 3) if is("ON") || is("OFF") => Answer::ok(),
            (b"NO-EVICT" | b"NO-TOUCH", 3) => Answer::error("ERR syntax error"),
            // Only the setting that is always in force is accepted.
            (b"REPLY", 3) if is("ON") => Answer::ok(),
            (b"TRACKING", 3) if is("OFF") => Answer::ok(),
            (b"ID" | b"GETNAME" | b"SETNAME" | b"SETINFO" | b"NO-EVICT" | b"NO-TOUCH", _) => {
                wrong_arity(&format!("CLIENT|{}", quoted(&subcommand)))
            }
            _ => unknown_subcommand("CLIENT", command.arg(1)),
        }
    }

    // ---- authentication ----

    /// Finds the index of the user with this name and password, and counts a failed attempt. Returns `None`
    /// if no users are configured.
    fn login(&mut self, name: &[u8], password: &[u8], users: &Users) -> Result<Option<usize>, Answer> {
        // Without configured users there is only the default user, and any password is accepted.
        if !users.authentication_required() && name == DEFAULT_USER.as_bytes() {
            return Ok(None);
        }
        match users.find(name, password) {
            Some(user) => Ok(Some(user)),
            None => {
                self.login_failures = self.login_failures.saturating_add(1);
                let close = self.login_failures >= MAX_LOGIN_FAILURES;
                Err(Answer { close, wrong_password: true, ..Answer::error(WRONG_PASSWORD) })
            }
        }
    }

    /// `AUTH [user] password`.
    fn auth(&mut self, command: &Command, users: &Users) -> Answer {
        let (name, password) = match command.arity() {
            2 if !users.authentication_required() || users.passwordless_default().is_some() => {
                return Answer::error(NO_PASSWORD_CONFIGURED)
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

    /// `HELLO [2|3 [AUTH user password] [SETNAME name]]`, which takes effect as a whole or not at all.
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
            let remaining_args = command.arity() - at - 1;
            let option = command.arg(at);
            if option.eq_ignore_ascii_case(b"AUTH") && remaining_args >= 2 {
                login = Some((command.arg(at + 1), command.arg(at + 2)));
                at += 3;
            } else if option.eq_ignore_ascii_case(b"SETNAME") && remaining_args >= 1 {
                name = Some(command.arg(at + 1));
                at += 2;
            } else {
                return Answer::error(format!("ERR Syntax error in HELLO option '{}'", quoted(option)));
            }
        }
        let user = match login.map(|(name, password)| self.login(name, password, users)) {
            Some(Err(answer)) => return answer,
            Some(Ok(user)) => user,
            None => self.user,
        };
        if users.authentication_required() && user.is_none() {
            return Answer::error(HELLO_NOT_AUTHENTICATED);
        }
        if name.is_some_and(|n| !is_valid_name(n)) {
            return Answer::error(INVALID_CLIENT_NAME);
        }
        (self.protocol, self.user) = (protocol, user);
        if let Some(name) = name {
            self.name = name.to_vec();
        }
        let text = |key: &str, value: &str| (Frame::bulk_string(key), Frame::bulk_string(value));
        let number = |key: &str, value: i64| (Frame::bulk_string(key), Frame::Integer(value));
        let properties = Frame::Map(vec![
            text("server", "trestlesill"),
            text("version", env!("CARGO_PKG_VERSION")),
            number("proto", i64::from(protocol.number())),
            number("id", self.id as i64),
            text("mode", "standalone"),
            text("role", "master"),
            (Frame::bulk_string("modules"), Frame::Array(Vec::new())),
        ]);
        Answer::frame(&properties, protocol)
    }
}

/// True for a name that Redis accepts, printable and without spaces, up to [`MAX_NAME_BYTES`]. The empty name is valid,
/// and clears the name of the connection.
fn is_valid_name(name: &[u8]) -> bool {
    name.len() <= MAX_NAME_BYTES && name.iter().all(u8::is_ascii_graphic)
}

/// A client's text, shortened and made printable so that an error line can contain it.
fn quoted(text: &[u8]) -> String {
    let text = text.get(..MAX_QUOTED_BYTES).unwrap_or(text);
    text.iter().map(|b| if b.is_ascii_graphic() { char::from(*b) } else { '?' }).collect()
}

fn wrong_arity(name: &str) -> Answer {
    Answer::error(format!("ERR wrong number of arguments for '{}' command", name.to_lowercase()))
}

fn unknown_subcommand(command: &str, subcommand: &[u8]) -> Answer {
    Answer::error(format!("ERR unknown subcommand '{}'. Try {command} HELP.", quoted(subcommand)))
}
