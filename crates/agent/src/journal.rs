//! What the agent means to do, on disk before it does it.
//!
//! A head line, then frames: length and CRC-32 of the body (four bytes each, little-endian), and the body, the
//! JSON of the records of one step. A frame counts as a whole or not at all. The end of a file may be torn by a
//! death in the middle of a write; anything else that can't be read is damage, and stops the start.

use fleet::{Plan, Record};
use std::fmt;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

const HEAD: &[u8] = b"trestle-journal/1\n";
/// The longest body.
const MAX_BODY: usize = 16 << 20;
/// A file over this is written anew, with nothing in it that is past.
const COMPACT: u64 = 4 << 20;

/// Why a journal can't be had.
#[derive(Debug)]
pub enum JournalError {
    /// The file can't be read or written.
    Io(PathBuf, io::Error),
    /// It is damaged at this byte.
    Damaged(PathBuf, usize, String),
}

impl fmt::Display for JournalError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            JournalError::Io(path, e) => write!(f, "{}: {e}", path.display()),
            JournalError::Damaged(path, at, what) => {
                write!(f, "{} is damaged at byte {at}: {what}; restore it from a copy", path.display())
            }
        }
    }
}

impl std::error::Error for JournalError {}

/// The journal.
#[derive(Debug)]
pub struct Journal {
    path: PathBuf,
    file: File,
    length: u64,
}

/// One frame of a file: its body and where the next begins; nothing at a torn end.
fn frame(bytes: &[u8], at: usize) -> Result<Option<(&[u8], usize)>, String> {
    let Some(head) = bytes.get(at..at + 8) else { return Ok(None) };
    let number = |i: usize| u32::from_le_bytes([head[i], head[i + 1], head[i + 2], head[i + 3]]);
    let (length, sum) = (number(0) as usize, number(4));
    let end = at + 8 + length;
    let Some(body) = bytes.get(at + 8..end).filter(|_| length <= MAX_BODY) else {
        // A length that no frame has is no torn write, which ends early and is otherwise right.
        return if length <= MAX_BODY { Ok(None) } else { Err(format!("a frame of {length} bytes")) };
    };
    if crc32fast::hash(body) == sum {
        return Ok(Some((body, end)));
    }
    // The last frame may have its length before its content: blocks reach a disk in any order.
    if end == bytes.len() {
        Ok(None)
    } else {
        Err("wrong checksum".into())
    }
}

impl Journal {
    /// Opens the journal, or begins it, and reads the plan. A torn end is cut off.
    ///
    /// # Errors
    /// It can't be read, or is damaged elsewhere than at its end.
    pub fn open(path: &Path) -> Result<(Journal, Plan), JournalError> {
        let io = |e| JournalError::Io(path.to_owned(), e);
        let damaged = |at: usize, what: String| JournalError::Damaged(path.to_owned(), at, what);
        let mut plan = Plan::default();
        let bytes = match fs::read(path) {
            Ok(bytes) => bytes,
            Err(e) if e.kind() == io::ErrorKind::NotFound => Vec::new(),
            Err(e) => return Err(io(e)),
        };
        let mut at = HEAD.len();
        if !bytes.starts_with(HEAD) {
            // One that died while it was begun.
            if !HEAD.starts_with(&bytes) {
                return Err(damaged(0, "it is no journal of this version".into()));
            }
            at = 0;
        }
        while at > 0 {
            let Some((body, next)) = frame(&bytes, at).map_err(|what| damaged(at, what))? else { break };
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

    /// Writes the records of a step, and waits until they are on disk.
    ///
    /// # Errors
    /// They can't be written: nothing that follows from them may be done.
    pub fn write(&mut self, records: &[Record], plan: &Plan) -> Result<(), JournalError> {
        let frame = encode(records);
        let wrote = self.file.write_all(&frame).and_then(|()| self.file.sync_data());
        wrote.map_err(|e| JournalError::Io(self.path.clone(), e))?;
        self.length += frame.len() as u64;
        if self.length > COMPACT.max(4 * encode(&plan.records()).len() as u64) {
            self.compact(plan)?;
        }
        Ok(())
    }

    /// Writes the file anew. A death on the way leaves the old one or the new one.
    fn compact(&mut self, plan: &Plan) -> Result<(), JournalError> {
        let new = self.path.with_extension("new");
        let bytes = [HEAD, &encode(&plan.records())].concat();
        let swap = || -> io::Result<File> {
            let mut file = File::create(&new)?;
            file.write_all(&bytes)?;
            file.sync_all()?;
            fs::rename(&new, &self.path)?;
            File::open(self.path.parent().unwrap_or(Path::new(".")))?.sync_all()?;
            Ok(file)
        };
        self.file = swap().map_err(|e| JournalError::Io(self.path.clone(), e))?;
        self.length = bytes.len() as u64;
        Ok(())
    }
}

fn encode(records: &[Record]) -> Vec<u8> {
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

    fn plan(n: u64) -> Plan {
        let mut plan = Plan { generation: n, ..Plan::default() };
        plan.instances.insert("n0".into(), Intent { running: true, generation: n, ..Intent::default() });
        plan
    }

    fn write(journal: &mut Journal, n: u64) {
        let plan = plan(n);
        let records = vec![plan.record(RecordKey::Fleet), plan.record(RecordKey::Instance("n0".into()))];
        journal.write(&records, &plan).expect("written");
    }

    #[test]
    fn a_torn_end_is_cut_off_at_every_byte_and_damage_elsewhere_is_told() {
        let path = testkit::scripted::scratch("journal");
        let (mut journal, empty) = Journal::open(&path).expect("begun");
        assert_eq!(empty, Plan::default());
        write(&mut journal, 1);
        let one = fs::read(&path).expect("read").len();
        write(&mut journal, 2);
        drop(journal);
        let whole = fs::read(&path).expect("read");
        for end in 0..=whole.len() {
            fs::write(&path, &whole[..end]).expect("written");
            let (mut journal, read) = Journal::open(&path).unwrap_or_else(|e| panic!("cut at {end}: {e}"));
            let wanted = if end == whole.len() {
                plan(2)
            } else if end >= one {
                plan(1)
            } else {
                Plan::default()
            };
            assert_eq!(read, wanted, "cut at {end}");
            // It goes on from there.
            write(&mut journal, 3);
            drop(journal);
            assert_eq!(Journal::open(&path).expect("whole").1, plan(3), "cut at {end}");
        }
        // Within what was whole already.
        let mut damaged = whole.clone();
        damaged[one - 3] ^= 1;
        fs::write(&path, &damaged).expect("written");
        let error = Journal::open(&path).expect_err("damaged").to_string();
        assert!(error.contains("wrong checksum"), "{error}");
        // Content that never reached the disk, at the end.
        let zeroed = [&whole[..one + 8], &vec![0; whole.len() - one - 8]].concat();
        fs::write(&path, &zeroed).expect("written");
        assert_eq!(Journal::open(&path).expect("torn").1, plan(1));
        fs::remove_file(&path).expect("removed");
    }

    #[test]
    fn a_long_journal_is_written_anew_with_the_same_plan() {
        let path = testkit::scripted::scratch("journal");
        let (mut journal, _) = Journal::open(&path).expect("begun");
        journal.length = COMPACT;
        write(&mut journal, 7);
        assert!(journal.length < 4096);
        drop(journal);
        assert_eq!(Journal::open(&path).expect("whole").1, plan(7));
        fs::remove_file(&path).expect("removed");
    }
}
