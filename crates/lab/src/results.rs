//! Results files in JSON Lines: one run per line, each with the version of its schema.

use crate::Failure;
use model::{Summary, SCHEMA};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{Read, Seek, Write};
use std::path::Path;

/// The result of one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Schema version.
    pub schema: u32,
    /// A hash of all inputs of the run: scenario, parameters, policy, seed, version.
    pub key: String,
    /// The parameters that were varied.
    pub parameters: BTreeMap<String, String>,
    /// Summary of the run.
    pub summary: Summary,
}

/// A line of a results file.
pub trait ResultLine: Serialize + DeserializeOwned {
    /// Validates a parsed line.
    ///
    /// # Errors
    /// The line has a schema version that this program does not read.
    fn check(&self) -> Result<(), String> {
        Ok(())
    }
}

impl ResultLine for Record {
    fn check(&self) -> Result<(), String> {
        let other = self.schema != SCHEMA;
        if other {
            Err(format!("schema version is {}, must be {SCHEMA}", self.schema))
        } else {
            Ok(())
        }
    }
}

/// Reads a results file. An incomplete last line is skipped: its writer was interrupted.
///
/// # Errors
/// The file can't be read, or a complete line of it is not a valid record.
pub fn read(path: &Path) -> Result<Vec<Record>, Failure> {
    let mut text = String::new();
    let mut file = File::open(path).map_err(|e| Failure::io("can't be read", path, e))?;
    file.read_to_string(&mut text).map_err(|e| Failure::io("can't be read", path, e))?;
    lines(path, &text)
}

fn lines<T: ResultLine>(path: &Path, text: &str) -> Result<Vec<T>, Failure> {
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

/// A results file that is open for appending.
#[derive(Debug)]
pub struct ResultsFile {
    file: File,
}

impl ResultsFile {
    /// Opens or creates the file and reads its complete lines; an incomplete last line is truncated.
    ///
    /// # Errors
    /// The file can't be read or written, or a complete line of it is invalid.
    pub fn open<T: ResultLine>(path: &Path) -> Result<(ResultsFile, Vec<T>), Failure> {
        let open_error = |e| Failure::io("can't be opened", path, e);
        let mut file = OpenOptions::new()
            .create(true)
            .truncate(false)
            .read(true)
            .write(true)
            .open(path)
            .map_err(open_error)?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes).map_err(open_error)?;
        let whole = bytes.iter().rposition(|b| *b == b'\n').map_or(0, |end| end + 1);
        file.set_len(whole as u64).map_err(open_error)?;
        file.seek(std::io::SeekFrom::End(0)).map_err(open_error)?;
        let text = String::from_utf8(bytes[..whole].to_vec())
            .map_err(|e| Failure::io("is not UTF-8 text", path, e))?;
        Ok((ResultsFile { file }, lines(path, &text)?))
    }

    /// Appends a line, in a single write.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn add(&mut self, one: &impl ResultLine) -> Result<(), Failure> {
        let mut line = serde_json::to_vec(one).map_err(|e| Failure::Io(e.to_string()))?;
        line.push(b'\n');
        self.file.write_all(&line).map_err(|e| Failure::Io(format!("the results can't be written: {e}")))
    }
}
