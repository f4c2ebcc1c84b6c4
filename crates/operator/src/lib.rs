//! The operator's own file, `trestlesill --operator FILE`: what this installation allows beyond what the
//! platform says. TOML, with a version; all faults of a file are told at once, each with its key.
//!
//! Each option is documented where it is declared; `deploy/operator.toml` shows all of them.

mod read;

use read::{Errors, Section};
use std::fmt;
use std::path::{Path, PathBuf};

/// The version of the format that this build reads.
pub const VERSION: i64 = 1;
/// The longest file that is read.
pub const MAX_FILE: u64 = 1 << 20;
/// The longest path of a Unix-domain socket: `sun_path` has 108 bytes, the last of them zero (unix(7)).
pub const MAX_SOCKET_PATH: usize = 107;

/// The operator's file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Operator {
    /// `[control]`: the endpoint through which tools inspect and steer this instance. Off without it.
    pub control: Option<Control>,
}

/// `[control]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Control {
    /// `socket`: path of the Unix-domain socket, made at start with mode 0600. At most 107 bytes; `{name}` in it
    /// stands for the instance's name. Required.
    pub socket: PathBuf,
    /// `state_file`: where drains set through this endpoint are kept, so that a restarted instance still holds
    /// to them; `{name}` as above. Without it they end with the process.
    pub state_file: Option<PathBuf>,
    /// `max_connections`: controllers at once, 1 to 64; 8 by default. One more drives out the one that has been
    /// silent for longest.
    pub max_connections: usize,
    /// `allow_uids`: users that may connect besides the instance's own, for where a proxy of the socket's mode
    /// makes it reachable for them. None by default.
    pub allow_uids: Vec<u32>,
}

/// One fault of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The key, with its table: `control.socket`. Empty where the fault is the file's.
    pub key: String,
    /// What is wrong, and what would be right.
    pub reason: String,
}

/// A file that can't be used: all that is wrong with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Invalid {
    /// The file, as it was named.
    pub file: String,
    /// At least one.
    pub faults: Vec<Fault>,
}

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}: ", self.file)?;
        for (i, Fault { key, reason }) in self.faults.iter().enumerate() {
            let separator = if i > 0 { "; " } else { "" };
            let colon = if key.is_empty() { "" } else { ": " };
            write!(f, "{separator}{key}{colon}{reason}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Invalid {}

impl Operator {
    /// Reads a file for the instance of this name.
    ///
    /// # Errors
    /// All that is wrong with it.
    pub fn load(path: &Path, instance: &str) -> Result<Operator, Invalid> {
        let file = path.display().to_string();
        let whole = |reason: String| Invalid {
            file: file.clone(),
            faults: vec![Fault { key: String::new(), reason }],
        };
        let length = std::fs::metadata(path).map_err(|e| whole(format!("can't be read: {e}")))?.len();
        if length > MAX_FILE {
            return Err(whole(format!("is {length} bytes long; {MAX_FILE} are the most")));
        }
        let text = std::fs::read_to_string(path).map_err(|e| whole(format!("can't be read: {e}")))?;
        Operator::parse(&text, instance).map_err(|faults| Invalid { file, faults })
    }

    /// Reads the text of a file for the instance of this name.
    ///
    /// # Errors
    /// All that is wrong with it.
    pub fn parse(text: &str, instance: &str) -> Result<Operator, Vec<Fault>> {
        let table: toml::Table = text.parse().map_err(|e: toml::de::Error| {
            let line = e.span().map_or(1, |s| text[..s.start.min(text.len())].matches('\n').count() + 1);
            vec![Fault { key: String::new(), reason: format!("line {line}: {}", e.message()) }]
        })?;
        let mut errors = Errors::default();
        let mut root = Section::root(table);
        let version = root.integer("version", 1..=i64::MAX, &mut errors);
        match version {
            Some(VERSION) => {}
            // A later version may mean something else by the same keys.
            Some(v) => {
                let reason = format!("is {v}; this build reads version {VERSION}");
                return Err(vec![Fault { key: "version".into(), reason }]);
            }
            None if errors.is_empty() => {
                errors.add("version", format!("is missing; write `version = {VERSION}`"));
            }
            None => {}
        }
        let control =
            root.section("control", &mut errors).and_then(|s| Control::read(s, instance, &mut errors));
        root.finish(&mut errors);
        errors.result(Operator { control })
    }
}

impl Control {
    fn read(mut s: Section, instance: &str, errors: &mut Errors) -> Option<Control> {
        let socket = s.required("socket", errors, |s, e| s.path("socket", instance, e));
        if let Some(path) = socket.as_ref().filter(|p| p.as_os_str().len() > MAX_SOCKET_PATH) {
            let length = path.as_os_str().len();
            errors.add(&s.key("socket"), format!("is {length} bytes long; {MAX_SOCKET_PATH} are the most"));
        }
        let state_file = s.path("state_file", instance, errors);
        if state_file.is_some() && state_file == socket {
            errors.add(&s.key("state_file"), "is the socket's path; it needs one of its own".into());
        }
        let max_connections = s.integer("max_connections", 1..=64, errors).unwrap_or(8) as usize;
        let uids = s.integers("allow_uids", 0..=i64::from(u32::MAX), errors);
        s.finish(errors);
        let allow_uids = uids.into_iter().map(|u| u as u32).collect();
        Some(Control { socket: socket?, state_file, max_connections, allow_uids })
    }
}
