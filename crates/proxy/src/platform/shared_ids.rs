//! The ids of open requests, shared by the processes of an upgrade: those that serve clients of one inherited listening socket.
//!
//! The table is a file in the temporary directory, named by the socket's address. Its header is the inode of the socket,
//! by which the table of an earlier socket is recognised and discarded. The hash of an id leads to a bucket of slots, each
//! of which holds the hash of an id, or 0. A process changes a bucket while it has the file locked, so that an id that comes
//! to two processes at once is taken by one of them. The lock is awaited for a short time only, since its holder may be
//! held up. In a full bucket an id takes the slot of another one, which is then no longer protected. What a process
//! leaves behind when it is killed refuses nothing but the same ids.

use siphasher::sip::SipHasher13;
use std::cell::Cell;
use std::fs::{File, OpenOptions, TryLockError};
use std::hash::Hasher;
use std::io;
use std::net::TcpListener;
use std::os::unix::fs::{FileExt, OpenOptionsExt};
use std::time::{Duration, Instant};

/// The number of buckets.
const BUCKETS: u64 = 1 << 13;
/// The slots of a bucket. With a quarter of all slots in use one bucket in a thousand is full.
const SLOTS_PER_BUCKET: usize = 8;
/// The size of a slot.
const SLOT_BYTES: usize = 8;
/// The size of a bucket, and of the header.
const BUCKET_BYTES: usize = SLOTS_PER_BUCKET * SLOT_BYTES;
/// Only the user of the processes may read and write the table.
const FILE_MODE: u32 = 0o600;
/// How long to wait for the lock. Its holder needs a few microseconds.
const LOCK_TIMEOUT: Duration = Duration::from_millis(2);

/// What became of an id that a request came with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdClaim {
    /// It was free, and is in use now.
    Taken,
    /// Another request has it.
    InUse,
    /// Another process has had the table locked for too long. Nothing is known of the id.
    Unknown,
}

/// The table of one listening socket.
#[derive(Debug)]
pub struct SharedIds {
    file: File,
    /// The inode of the listening socket.
    socket: u64,
    /// The lock was not to be had the last time, so it is not awaited again.
    was_locked_for_long: Cell<bool>,
}

/// A bucket that has been read.
struct Bucket {
    position: u64,
    slots: [u64; SLOTS_PER_BUCKET],
}

/// The table while no other process changes it.
struct LockedTable<'a>(&'a File);

impl Drop for LockedTable<'_> {
    fn drop(&mut self) {
        // The lock ends with the process at the latest.
        let _ = self.0.unlock();
    }
}

impl SharedIds {
    /// Opens the table of a listening socket, or creates it.
    ///
    /// # Errors
    /// The file can't be used.
    pub fn open(listener: &TcpListener) -> io::Result<SharedIds> {
        let socket = rustix::fs::fstat(listener)?.st_ino;
        let name = format!("trestlesill-id-buckets-{}", listener.local_addr()?);
        let mut options = OpenOptions::new();
        options.read(true).write(true).create(true).truncate(false).mode(FILE_MODE);
        let file = options.open(std::env::temp_dir().join(name))?;
        let ids = SharedIds { file, socket, was_locked_for_long: Cell::new(false) };
        let locked = ids.lock();
        if ids.header() != socket {
            ids.file.set_len(0)?;
            ids.file.set_len((BUCKETS + 1) * BUCKET_BYTES as u64)?;
            ids.file.write_all_at(&socket.to_le_bytes(), 0)?;
        }
        drop(locked);
        Ok(ids)
    }

    /// The inode of the socket that the table is of; 0 if it can't be read.
    fn header(&self) -> u64 {
        let mut bytes = [0; SLOT_BYTES];
        self.file.read_exact_at(&mut bytes, 0).map_or(0, |()| u64::from_le_bytes(bytes))
    }

    /// Takes an id unless a process has it in use.
    pub fn take(&self, id: &[u8]) -> IdClaim {
        let hash = self.hash(id);
        let Some(_locked) = self.lock() else { return IdClaim::Unknown };
        // Where the file can't be read, as on a broken disk, ids are not protected at other processes.
        let Ok(bucket) = self.read_bucket(hash) else { return IdClaim::Taken };
        if bucket.slots.contains(&hash) {
            return IdClaim::InUse;
        }
        let free = bucket.slots.iter().position(|slot| *slot == 0);
        let displaced = (hash / BUCKETS) as usize % SLOTS_PER_BUCKET;
        self.write_slot(&bucket, free.unwrap_or(displaced), hash);
        IdClaim::Taken
    }

    /// Frees an id that this process has taken. No other process writes to its slot unless the bucket is full.
    pub fn free(&self, id: &[u8]) {
        let hash = self.hash(id);
        let Ok(bucket) = self.read_bucket(hash) else { return };
        if let Some(slot) = bucket.slots.iter().position(|slot| *slot == hash) {
            self.write_slot(&bucket, slot, 0);
        }
    }

    /// Locks the table, unless another process has it locked for [`LOCK_TIMEOUT`].
    fn lock(&self) -> Option<LockedTable<'_>> {
        let began = Instant::now();
        loop {
            match self.file.try_lock() {
                // Where files can't be locked, ids are protected unless they come to two processes at once.
                Ok(()) | Err(TryLockError::Error(_)) => {
                    self.was_locked_for_long.set(false);
                    return Some(LockedTable(&self.file));
                }
                Err(TryLockError::WouldBlock) => {}
            }
            if self.was_locked_for_long.get() || began.elapsed() >= LOCK_TIMEOUT {
                self.was_locked_for_long.set(true);
                return None;
            }
            std::thread::yield_now();
        }
    }

    /// The hash of an id, which is not 0.
    fn hash(&self, id: &[u8]) -> u64 {
        let mut hasher = SipHasher13::new_with_keys(self.socket, 0);
        hasher.write(id);
        hasher.finish().max(1)
    }

    /// Reads the bucket of a hash.
    fn read_bucket(&self, hash: u64) -> io::Result<Bucket> {
        let position = (hash % BUCKETS + 1) * BUCKET_BYTES as u64;
        let mut bytes = [0; BUCKET_BYTES];
        self.file.read_exact_at(&mut bytes, position)?;
        let mut slots = [0; SLOTS_PER_BUCKET];
        for (slot, bytes) in slots.iter_mut().zip(bytes.chunks_exact(SLOT_BYTES)) {
            *slot = bytes.try_into().map_or(0, u64::from_le_bytes);
        }
        Ok(Bucket { position, slots })
    }

    /// Writes a slot of a bucket. Where that fails, as on a full disk, the id is not protected at other processes.
    fn write_slot(&self, bucket: &Bucket, slot: usize, value: u64) {
        let position = bucket.position + (slot * SLOT_BYTES) as u64;
        let _ = self.file.write_all_at(&value.to_le_bytes(), position);
    }
}
