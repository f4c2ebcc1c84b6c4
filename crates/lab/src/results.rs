//! Results as JSON Lines, one run a line, with the version of what is in them.

use crate::Failure;
use model::{Summary, SCHEMA};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{Read, Seek, Write};
use std::path::Path;

/// A run of an experiment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The format's version.
    pub schema: u32,
    /// A hash of all that the run depends on: scenario, parameters, policy, seed, version.
    pub key: String,
    /// The parameters that were varied.
    pub parameters: BTreeMap<String, String>,
    /// What came of it.
    pub summary: Summary,
}

/// What a file of results holds, one a line.
pub trait Line: Serialize + DeserializeOwned {
    /// Looks at one that was read.
    ///
    /// # Errors
    /// It is of another version than this program reads.
    fn check(&self) -> Result<(), String> {
        Ok(())
    }
}

impl Line for Record {
    fn check(&self) -> Result<(), String> {
        let other = self.schema != SCHEMA;
        if other {
            Err(format!("has schema {}, this program reads {SCHEMA}", self.schema))
        } else {
            Ok(())
        }
    }
}

/// Reads a file of results. A last line without its end is left out: whoever wrote it was stopped there.
///
/// # Errors
/// The file can't be read, or a whole line of it is no record.
pub fn read(path: &Path) -> Result<Vec<Record>, Failure> {
    let mut text = String::new();
    let mut file = File::open(path).map_err(|e| Failure::io("can't be read", path, e))?;
    file.read_to_string(&mut text).map_err(|e| Failure::io("can't be read", path, e))?;
    lines(path, &text)
}

fn lines<T: Line>(path: &Path, text: &str) -> Result<Vec<T>, Failure> {
    let whole = text.rfind('\n').map_or("", |end| &text[..end]);
    let mut all = Vec::new();
    for (i, line) in whole.lines().enumerate().filter(|(_, line)| !line.trim().is_empty()) {
        let at = |e: String| Failure::Input(vec![format!("{}: line {}: {e}", path.display(), i + 1)]);
        let one: T = serde_json::from_str(line).map_err(|e| at(e.to_string()))?;
        one.check().map_err(at)?;
        all.push(one);
    }
    Ok(all)
}

/// A file of results that grows.
#[derive(Debug)]
pub struct Book {
    file: File,
}

impl Book {
    /// Opens it, or makes it; what was written whole stays, a torn end goes.
    ///
    /// # Errors
    /// It can't be read or written.
    pub fn open<T: Line>(path: &Path) -> Result<(Book, Vec<T>), Failure> {
        let fault = |e| Failure::io("can't be opened", path, e);
        let mut file = OpenOptions::new()
            .create(true)
            .truncate(false)
            .read(true)
            .write(true)
            .open(path)
            .map_err(fault)?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes).map_err(fault)?;
        let whole = bytes.iter().rposition(|b| *b == b'\n').map_or(0, |end| end + 1);
        file.set_len(whole as u64).map_err(fault)?;
        file.seek(std::io::SeekFrom::End(0)).map_err(fault)?;
        let text =
            String::from_utf8(bytes[..whole].to_vec()).map_err(|e| Failure::io("is no text", path, e))?;
        Ok((Book { file }, lines(path, &text)?))
    }

    /// Adds a run, in one write.
    ///
    /// # Errors
    /// It can't be written.
    pub fn add(&mut self, one: &impl Line) -> Result<(), Failure> {
        let mut line = serde_json::to_vec(one).map_err(|e| Failure::Io(e.to_string()))?;
        line.push(b'\n');
        self.file.write_all(&line).map_err(|e| Failure::Io(format!("the results can't be written: {e}")))
    }
}
