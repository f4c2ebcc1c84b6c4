//! A write-ahead journal of the fleet's plan.
//!
//! The file consists of a header line and frames. A frame holds the length and the CRC-32 of its body (four bytes each,
//! little-endian) and the body, the JSON of the records of one step. Frames are atomic. The last frame may be torn if
//! the agent died during a write; any other unreadable content is damage, with which the agent does not start.

use fleet::{Plan, Record};
use std::fmt;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

const HEADER: &[u8] = b"trestle-journal/1\n";
/// Maximum length of the body of a frame.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Minimum length at which the file is compacted to the current plan.
const COMPACTION_BYTES: u64 = 4 << 20;

/// Error of the journal.
#[derive(Debug)]
pub enum JournalError {
    /// The file can't be read or written.
    Io(PathBuf, io::Error),
    /// The file is damaged at this byte offset.
    Damaged(PathBuf, usize, String),
}

impl fmt::Display for JournalError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            JournalError::Io(path, e) => write!(f, "{}: {e}", path.display()),
            JournalError::Damaged(path, offset, reason) => {
                write!(f, "{} is damaged at byte {offset}: {reason}; restore it from a copy", path.display())
            }
        }
    }
}

impl std::error::Error for JournalError {}

/// An open journal, positioned at its end.
#[derive(Debug)]
pub struct Journal {
    path: PathBuf,
    file: File,
    length: u64,
}

/// Decodes the frame at an offset. Returns its body and the offset of the next frame, or `None` at a torn end.
fn decode_frame(bytes: &[u8], at: usize) -> Result<Option<(&[u8], usize)>, String> {
    let Some(frame_header) = bytes.get(at..at + 8) else { return Ok(None) };
    let integer_at = |i: usize| {
        u32::from_le_bytes([frame_header[i], frame_header[i + 1], frame_header[i + 2], frame_header[i + 3]])
    };
    let (length, checksum) = (integer_at(0) as usize, integer_at(4));
    let end = at + 8 + length;
    let Some(body) = bytes.get(at + 8..end).filter(|_| length <= MAX_BODY_BYTES) else {
        // A torn write ends early but has the right content, so a length over the limit is damage.
        return if length <= MAX_BODY_BYTES {
            Ok(None)
        } else {
            Err(format!("the frame has {length} bytes; at most {MAX_BODY_BYTES} are allowed"))
        };
    };
    if crc32fast::hash(body) == checksum {
        return Ok(Some((body, end)));
    }
    // Blocks reach the disk in any order, so the last frame may have its length but not yet its content.
    if end == bytes.len() {
        Ok(None)
    } else {
        Err("wrong checksum".into())
    }
}

impl Journal {
    /// Opens or creates the journal and reads the plan. A torn frame at the end is truncated.
    ///
    /// # Errors
    /// The file can't be read or written, or it is damaged before its end.
    pub fn open(path: &Path) -> Result<(Journal, Plan), JournalError> {
        let io = |e| JournalError::Io(path.to_owned(), e);
        let damaged = |at: usize, reason: String| JournalError::Damaged(path.to_owned(), at, reason);
        let mut plan = Plan::default();
        let bytes = match fs::read(path) {
            Ok(bytes) => bytes,
            Err(e) if e.kind() == io::ErrorKind::NotFound => Vec::new(),
            Err(e) => return Err(io(e)),
        };
        let mut at = HEADER.len();
        if !bytes.starts_with(HEADER) {
            // The agent may have died while it wrote the header.
            if !HEADER.starts_with(&bytes) {
                return Err(damaged(0, "it is not a journal of this version".into()));
            }
            at = 0;
        }
        while at > 0 {
            let Some((body, next)) = decode_frame(&bytes, at).map_err(|reason| damaged(at, reason))? else {
                break;
            };
            let records: Vec<Record> =
                serde_json::from_slice(body).map_err(|e| damaged(at, e.to_string()))?;
            for record in records {
                plan.apply_record(record).map_err(|e| damaged(at, e.to_string()))?;
            }
            at = next;
        }
        let file = OpenOptions::new().create(true).truncate(false).write(true).open(path).map_err(io)?;
        file.set_len(at as u64).map_err(io)?;
        let mut journal = Journal { path: path.to_owned(), file, length: at as u64 };
        if at == 0 {
            journal.compact(&plan)?;
        }
        io::Seek::seek(&mut journal.file, io::SeekFrom::End(0)).map_err(io)?;
        Ok((journal, plan))
    }

    /// Appends the records of a step and waits until they are on disk.
    ///
    /// # Errors
    /// The records can't be written. Actions that depend on them must not be carried out.
    pub fn write(&mut self, records: &[Record], plan: &Plan) -> Result<(), JournalError> {
        let frame = encode_frame(records);
        let written = self.file.write_all(&frame).and_then(|()| self.file.sync_data());
        written.map_err(|e| JournalError::Io(self.path.clone(), e))?;
        self.length += frame.len() as u64;
        if self.length > COMPACTION_BYTES.max(4 * encode_frame(&plan.records()).len() as u64) {
            self.compact(plan)?;
        }
        Ok(())
    }

    /// Replaces the file by one with the current plan only. After a crash, either the old or the new file is there.
    fn compact(&mut self, plan: &Plan) -> Result<(), JournalError> {
        let new_path = self.path.with_extension("new");
        let bytes = [HEADER, &encode_frame(&plan.records())].concat();
        let replace_file = || -> io::Result<File> {
            let mut file = File::create(&new_path)?;
            file.write_all(&bytes)?;
            file.sync_all()?;
            fs::rename(&new_path, &self.path)?;
            File::open(self.path.parent().unwrap_or(Path::new(".")))?.sync_all()?;
            Ok(file)
        };
        self.file = replace_file().map_err(|e| JournalError::Io(self.path.clone(), e))?;
        self.length = bytes.len() as u64;
        Ok(())
    }
}

fn encode_frame(records: &[Record]) -> Vec<u8> {
    let body = serde_json::to_vec(records).unwrap_or_default();
    let mut frame = (body.len() as u32).to_le_bytes().to_vec();
    frame.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    frame.extend_from_slice(&body);
    frame
}

#[cfg(test)]
mod tests {
    use super::*;
    use fleet::{Intent, RecordKey};

    fn plan_of_generation(generation: u64) -> Plan {
        let mut plan = Plan { generation, ..Plan::default() };
        plan.instances.insert("n0".into(), Intent { running: true, generation, ..Intent::default() });
        plan
    }

    fn write_generation(journal: &mut Journal, generation: u64) {
        let plan = plan_of_generation(generation);
        let records = vec![plan.record(RecordKey::Fleet), plan.record(RecordKey::Instance("n0".into()))];
        journal.write(&records, &plan).expect("written");
    }

    #[test]
    fn a_torn_end_is_truncated_at_every_byte_and_damage_elsewhere_is_an_error() {
        let path = testkit::scripted::scratch("journal");
        let (mut journal, empty) = Journal::open(&path).expect("created");
        assert_eq!(empty, Plan::default());
        write_generation(&mut journal, 1);
        let first_frame_end = fs::read(&path).expect("read").len();
        write_generation(&mut journal, 2);
        drop(journal);
        let whole = fs::read(&path).expect("read");
        for end in 0..=whole.len() {
            fs::write(&path, &whole[..end]).expect("written");
            let (mut journal, read) = Journal::open(&path).unwrap_or_else(|e| panic!("cut at {end}: {e}"));
            let expected = if end == whole.len() {
                plan_of_generation(2)
            } else if end >= first_frame_end {
                plan_of_generation(1)
            } else {
                Plan::default()
            };
            assert_eq!(read, expected, "cut at {end}");
            // The truncated journal can be extended.
            write_generation(&mut journal, 3);
            drop(journal);
            assert_eq!(Journal::open(&path).expect("whole").1, plan_of_generation(3), "cut at {end}");
        }
        // Damage within a frame that was complete.
        let mut damaged = whole.clone();
        damaged[first_frame_end - 3] ^= 1;
        fs::write(&path, &damaged).expect("written");
        let error = Journal::open(&path).expect_err("damaged").to_string();
        assert!(error.contains("wrong checksum"), "{error}");
        // A last frame whose content did not reach the disk.
        let zeroed = [&whole[..first_frame_end + 8], &vec![0; whole.len() - first_frame_end - 8]].concat();
        fs::write(&path, &zeroed).expect("written");
        assert_eq!(Journal::open(&path).expect("torn").1, plan_of_generation(1));
        fs::remove_file(&path).expect("removed");
    }

    #[test]
    fn a_long_journal_is_compacted_to_the_same_plan() {
        let path = testkit::scripted::scratch("journal");
        let (mut journal, _) = Journal::open(&path).expect("created");
        journal.length = COMPACTION_BYTES;
        write_generation(&mut journal, 7);
        assert!(journal.length < 4096);
        drop(journal);
        assert_eq!(Journal::open(&path).expect("whole").1, plan_of_generation(7));
        fs::remove_file(&path).expect("removed");
    }
}
