//! The ids of open requests, shared by the processes of an upgrade: those that serve clients of one inherited listening socket.
//!
//! The table is a file in the temporary directory, named by the socket's address. Its header is the inode of the socket,
//! by which the table of an earlier socket is recognised and discarded. Each slot holds the hash of an id, or 0. An id
//! that is written over by another one with the same slot is no longer protected, and an id that comes to two
//! processes in the same microseconds may be taken by both. What a process leaves behind when it is killed refuses nothing but
//! the same ids.

use siphasher::sip::SipHasher13;
use std::fs::{File, OpenOptions};
use std::hash::Hasher;
use std::io;
use std::net::TcpListener;
use std::os::unix::fs::{FileExt, OpenOptionsExt};

/// The number of slots, several times the requests that processes have open.
const SLOTS: u64 = 1 << 16;
/// The size of a slot, and of the header.
const SLOT_BYTES: u64 = 8;
/// Only the user of the processes may read and write the table.
const FILE_MODE: u32 = 0o600;

/// The table of one listening socket.
#[derive(Debug)]
pub struct SharedIds {
    file: File,
    /// The inode of the listening socket.
    socket: u64,
}

impl SharedIds {
    /// Opens the table of a listening socket, or creates it.
    ///
    /// # Errors
    /// The file can't be used.
    pub fn open(listener: &TcpListener) -> io::Result<SharedIds> {
        let socket = rustix::fs::fstat(listener)?.st_ino;
        let name = format!("trestlesill-ids-{}", listener.local_addr()?);
        let mut options = OpenOptions::new();
        options.read(true).write(true).create(true).truncate(false).mode(FILE_MODE);
        let ids = SharedIds { file: options.open(std::env::temp_dir().join(name))?, socket };
        if ids.read(0) != socket {
            ids.file.set_len(0)?;
            ids.file.set_len((SLOTS + 1) * SLOT_BYTES)?;
            ids.file.write_all_at(&socket.to_le_bytes(), 0)?;
        }
        Ok(ids)
    }

    /// Takes an id; returns false if a process has it in use.
    pub fn take(&self, id: &[u8]) -> bool {
        let (position, hash) = self.slot(id);
        if self.read(position) == hash {
            return false;
        }
        self.write(position, hash);
        true
    }

    /// Frees an id that this process has taken.
    pub fn free(&self, id: &[u8]) {
        let (position, hash) = self.slot(id);
        if self.read(position) == hash {
            self.write(position, 0);
        }
    }

    /// The position of an id's slot in the file, and its hash, which is not 0.
    fn slot(&self, id: &[u8]) -> (u64, u64) {
        let mut hasher = SipHasher13::new_with_keys(self.socket, 0);
        hasher.write(id);
        let hash = hasher.finish().max(1);
        ((hash % SLOTS + 1) * SLOT_BYTES, hash)
    }

    /// The value at a position; 0 if it can't be read.
    fn read(&self, position: u64) -> u64 {
        let mut bytes = [0; SLOT_BYTES as usize];
        match self.file.read_exact_at(&mut bytes, position) {
            Ok(()) => u64::from_le_bytes(bytes),
            Err(_) => 0,
        }
    }

    /// Writes a value. Where that fails, as on a full disk, the id is not protected at other processes.
    fn write(&self, position: u64, value: u64) {
        let _ = self.file.write_all_at(&value.to_le_bytes(), position);
    }
}
