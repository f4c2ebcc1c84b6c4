//! What controllers changed and a restart must not forget, and which change may follow which.

use crate::message::{Code, Error, MAX_ID};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Boxes that may be drained by operators at once.
pub const MAX_DRAINED: usize = 4_096;
/// The first word of a state file.
const MAGIC: &str = "trestle-state/1";

/// What controllers changed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct State {
    /// Number of the set of drained boxes.
    pub revision: u64,
    /// The drained boxes.
    pub boxes: BTreeSet<String>,
    /// The instance itself is drained.
    pub drained: bool,
    /// The last order for copying, and whether that has stopped.
    #[serde(default, skip_serializing_if = "is_unused")]
    pub shadow: shadow::PersistedState,
}

/// Guards against files that an older build can't read: what was never used is not written.
fn is_unused(kept: &shadow::PersistedState) -> bool {
    *kept == shadow::PersistedState::default()
}

/// Is a change under this number to be made?
///
/// # Errors
/// A later one is in force, or another one under the same number.
pub fn should_apply(what: &str, now: u64, next: u64, same: bool) -> Result<bool, Error> {
    match next.cmp(&now) {
        std::cmp::Ordering::Greater => Ok(true),
        std::cmp::Ordering::Equal if same => Ok(false),
        std::cmp::Ordering::Equal => {
            Err(Error::new(Code::Stale, format!("{what} {now} is in force with another content")))
        }
        std::cmp::Ordering::Less => {
            Err(Error::new(Code::Stale, format!("{what} {next} is older than {now}, which is in force")))
        }
    }
}

fn check(name: &str) -> Result<(), Error> {
    if name.is_empty() || name.len() > MAX_ID || name.chars().any(char::is_control) {
        let message = format!("{name:?} is no name of a box: 1 to {MAX_ID} bytes without control characters");
        return Err(Error::new(Code::BadRequest, message));
    }
    Ok(())
}

impl State {
    /// With another set of drained boxes; nothing if that is in force already.
    ///
    /// # Errors
    /// The set is stale, too large, or names what is no box.
    pub fn with_drained(&self, revision: u64, boxes: Vec<String>) -> Result<Option<State>, Error> {
        boxes.iter().try_for_each(|name| check(name))?;
        let boxes: BTreeSet<String> = boxes.into_iter().collect();
        if boxes.len() > MAX_DRAINED {
            let message = format!("{} boxes are to be drained; {MAX_DRAINED} are the most", boxes.len());
            return Err(Error::new(Code::BadRequest, message));
        }
        let change = should_apply("revision", self.revision, revision, boxes == self.boxes)?;
        Ok(change.then(|| State { revision, boxes, ..self.clone() }))
    }

    /// With one box more or less drained, under the next number; nothing if it is so already.
    ///
    /// # Errors
    /// It is no name of a box, or there are too many.
    pub fn with_box_drained(&self, name: &str, drained: bool) -> Result<Option<State>, Error> {
        check(name)?;
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

    /// The text of a state file: a head with the length and checksum of what follows, and JSON.
    pub fn encode(&self) -> String {
        let body = serde_json::to_string(self).unwrap_or_default();
        format!("{MAGIC} {} {:08x}\n{body}\n", body.len(), crc32fast::hash(body.as_bytes()))
    }

    /// Reads a state file.
    ///
    /// # Errors
    /// It is torn, damaged, or of another version. What it said is unknown then, and must not be guessed at:
    /// a box that was drained would be sent work again.
    pub fn decode(text: &str) -> Result<State, String> {
        let (head, body) = text.split_once('\n').ok_or("it has no whole first line")?;
        let mut head = head.split(' ');
        if head.next() != Some(MAGIC) {
            return Err(format!("it does not begin with {MAGIC}"));
        }
        let length: usize = head.next().and_then(|n| n.parse().ok()).ok_or("its length is missing")?;
        let sum =
            head.next().and_then(|n| u32::from_str_radix(n, 16).ok()).ok_or("its checksum is missing")?;
        let body = body.strip_suffix('\n').filter(|b| b.len() == length).ok_or("it is not whole")?;
        if crc32fast::hash(body.as_bytes()) != sum {
            return Err("its checksum is wrong".into());
        }
        serde_json::from_str(body).map_err(|e| format!("its content is wrong: {e}"))
    }
}
