//! The state set by controllers that survives a restart, and the order in which changes are accepted.

use crate::message::{Code, Error, MAX_ID};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The maximum number of boxes that operators can drain at the same time.
pub const MAX_DRAINED: usize = 4_096;
/// The first word of a state file: format and version.
const MAGIC: &str = "trestle-state/1";

/// The persistent state set by controllers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct State {
    /// Revision of the set of drained boxes.
    pub revision: u64,
    /// Names of the drained boxes.
    pub boxes: BTreeSet<String>,
    /// Whether the instance itself is drained.
    pub drained: bool,
    /// The last command for shadow copying, and whether copying under it has stopped.
    #[serde(default, skip_serializing_if = "is_unused")]
    pub shadow: shadow::PersistedState,
}

/// A default value is not written, so that an older build can read the file of an instance that never copied reads.
fn is_unused(kept: &shadow::PersistedState) -> bool {
    *kept == shadow::PersistedState::default()
}

/// Whether a change with the number `next` is to be applied: true for a later number than `current`, false for a repetition
/// of the change in force. `what` names the kind of number in errors, `same` says that the contents are equal.
///
/// # Errors
/// A later change is in force, or one with the same number and another content.
pub fn should_apply(what: &str, current: u64, next: u64, same: bool) -> Result<bool, Error> {
    match next.cmp(&current) {
        std::cmp::Ordering::Greater => Ok(true),
        std::cmp::Ordering::Equal if same => Ok(false),
        std::cmp::Ordering::Equal => {
            Err(Error::new(Code::Stale, format!("{what} {current} is in force with another content")))
        }
        std::cmp::Ordering::Less => {
            Err(Error::new(Code::Stale, format!("{what} {next} is older than {current}, which is in force")))
        }
    }
}

fn validate_box_name(name: &str) -> Result<(), Error> {
    if name.is_empty() || name.len() > MAX_ID || name.chars().any(char::is_control) {
        let message = format!("{name:?} is no name of a box: 1 to {MAX_ID} bytes without control characters");
        return Err(Error::new(Code::BadRequest, message));
    }
    Ok(())
}

impl State {
    /// The state with another set of drained boxes; `None` if that set is already in force.
    ///
    /// # Errors
    /// The revision is stale, the set is too large, or a name is invalid.
    pub fn with_drained(&self, revision: u64, boxes: Vec<String>) -> Result<Option<State>, Error> {
        boxes.iter().try_for_each(|name| validate_box_name(name))?;
        let boxes: BTreeSet<String> = boxes.into_iter().collect();
        if boxes.len() > MAX_DRAINED {
            let message = format!("{} boxes are to be drained; {MAX_DRAINED} are the most", boxes.len());
            return Err(Error::new(Code::BadRequest, message));
        }
        let change = should_apply("revision", self.revision, revision, boxes == self.boxes)?;
        Ok(change.then(|| State { revision, boxes, ..self.clone() }))
    }

    /// The state with one box drained or undrained, under the next revision; `None` if it is so already.
    ///
    /// # Errors
    /// The name is invalid, or too many boxes are drained.
    pub fn with_box_drained(&self, name: &str, drained: bool) -> Result<Option<State>, Error> {
        validate_box_name(name)?;
        if self.boxes.contains(name) == drained {
            return Ok(None);
        }
        let mut boxes = self.boxes.clone();
        if drained {
            boxes.insert(name.to_owned());
        } else {
            boxes.remove(name);
        }
        self.with_drained(self.revision + 1, boxes.into_iter().collect())
    }

    /// The text of a state file: a header line with length and checksum of the body, and the body as JSON.
    pub fn encode(&self) -> String {
        let body = serde_json::to_string(self).unwrap_or_default();
        format!("{MAGIC} {} {:08x}\n{body}\n", body.len(), crc32fast::hash(body.as_bytes()))
    }

    /// Parses the text of a state file.
    ///
    /// # Errors
    /// The file is truncated, corrupted, or of another version. A default state must not be assumed then: requests would
    /// be sent to drained boxes again.
    pub fn decode(text: &str) -> Result<State, String> {
        let (header, body) = text.split_once('\n').ok_or("it has no whole first line")?;
        let mut fields = header.split(' ');
        if fields.next() != Some(MAGIC) {
            return Err(format!("it does not begin with {MAGIC}"));
        }
        let length: usize = fields.next().and_then(|n| n.parse().ok()).ok_or("its length is missing")?;
        let checksum =
            fields.next().and_then(|n| u32::from_str_radix(n, 16).ok()).ok_or("its checksum is missing")?;
        let body = body.strip_suffix('\n').filter(|b| b.len() == length).ok_or("it is not whole")?;
        if crc32fast::hash(body.as_bytes()) != checksum {
            return Err("its checksum is wrong".into());
        }
        serde_json::from_str(body).map_err(|e| format!("its content is wrong: {e}"))
    }
}
