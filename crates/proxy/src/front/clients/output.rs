//! Answers on their way to a client's socket, in order. Memory is freed as they are written.

use std::collections::VecDeque;
use std::io::{self, IoSlice, Write};

/// Answers are joined into chunks of up to this size. A longer answer is a chunk of its own, and is not copied.
const JOINED_BYTES: usize = 4 << 10;
/// The most chunks that one system call writes.
const CHUNKS_PER_WRITE: usize = 16;

/// The bytes that are next in order for a client.
#[derive(Debug, Default)]
pub(super) struct OutputQueue {
    chunks: VecDeque<Vec<u8>>,
    /// How much of the first chunk is written.
    written: usize,
    /// The size of all chunks.
    held: usize,
}

impl OutputQueue {
    /// Appends an answer.
    pub(super) fn push(&mut self, answer: Vec<u8>) {
        if answer.len() < JOINED_BYTES {
            self.extend_from_slice(&answer);
        } else {
            self.held += answer.len();
            self.chunks.push_back(answer);
        }
    }

    /// Appends bytes.
    pub(super) fn extend_from_slice(&mut self, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        self.held += bytes.len();
        match self.chunks.back_mut().filter(|last| last.len() + bytes.len() <= JOINED_BYTES) {
            Some(last) => last.extend_from_slice(bytes),
            None => self.chunks.push_back(bytes.to_vec()),
        }
    }

    /// The memory that it holds, in bytes; what is written of the first chunk is freed with that.
    pub(super) fn held_bytes(&self) -> usize {
        self.held
    }

    /// The bytes that are not written.
    pub(super) fn unwritten_bytes(&self) -> usize {
        self.held - self.written
    }

    /// Writes as much as the socket takes in one call; returns how much that was.
    ///
    /// # Errors
    /// Those of the socket.
    pub(super) fn write_to(&mut self, socket: &mut impl Write) -> io::Result<usize> {
        let count = match self.chunks.front() {
            Some(only) if self.chunks.len() == 1 => socket.write(&only[self.written..])?,
            _ => socket.write_vectored(&self.slices())?,
        };
        self.record_written(count);
        Ok(count)
    }

    /// The unwritten parts of the first chunks.
    fn slices(&self) -> Vec<IoSlice<'_>> {
        let mut skipped = self.written;
        let first = self.chunks.iter().take(CHUNKS_PER_WRITE);
        first.map(|chunk| IoSlice::new(&chunk[std::mem::take(&mut skipped)..])).collect()
    }

    fn record_written(&mut self, count: usize) {
        self.written += count;
        while let Some(first) = self.chunks.front().map(Vec::len).filter(|first| *first <= self.written) {
            self.written -= first;
            self.held -= first;
            self.chunks.pop_front();
        }
    }
}
