//! Answers on their way to a client's socket, in order. Memory is freed as they are written.

use std::collections::VecDeque;
use std::io::{self, IoSlice, Write};

/// Answers are joined into chunks of up to this size. A longer answer is a chunk of its own, and is not copied.
const JOINED_BYTES: usize = 4 << 10;
/// The most chunks that one system call writes.
const CHUNKS_PER_WRITE: usize = 16;

/// An answer that consecutive commands have in common. Any number of them takes the memory of one.
#[derive(Debug, Default)]
pub(super) struct RepeatedAnswer {
    /// The bytes of one answer.
    pub(super) bytes: Vec<u8>,
    /// How many commands have it.
    pub(super) count: usize,
}

impl RepeatedAnswer {
    /// The answer to one command.
    pub(super) fn once(bytes: Vec<u8>) -> Self {
        RepeatedAnswer { bytes, count: 1 }
    }

    /// The size of all answers.
    fn total_bytes(&self) -> usize {
        self.bytes.len().saturating_mul(self.count)
    }
}

/// A part of the output.
#[derive(Debug)]
enum Chunk {
    /// Bytes as they are written.
    Bytes(Vec<u8>),
    /// Answers that are expanded when they are written.
    Repeated(RepeatedAnswer),
}

impl Chunk {
    /// The memory that it holds, in bytes.
    fn held_bytes(&self) -> usize {
        match self {
            Chunk::Bytes(bytes) => bytes.len(),
            Chunk::Repeated(answer) => answer.bytes.len(),
        }
    }
}

/// The bytes that are next in order for a client.
#[derive(Debug, Default)]
pub(super) struct OutputQueue {
    chunks: VecDeque<Chunk>,
    /// How much of the first chunk is written; only one of bytes is written in part.
    written: usize,
    /// The memory of all chunks.
    held: usize,
}

impl OutputQueue {
    /// Appends the answer of one command or of several.
    pub(super) fn push(&mut self, answer: RepeatedAnswer) {
        if let Some(Chunk::Repeated(last)) = self.chunks.back_mut() {
            if last.bytes == answer.bytes {
                last.count += answer.count;
                return;
            }
        }
        if answer.total_bytes() < JOINED_BYTES {
            self.join(answer);
        } else if answer.count == 1 {
            self.push_chunk(Chunk::Bytes(answer.bytes));
        } else {
            self.push_chunk(Chunk::Repeated(answer));
        }
    }

    /// Appends a short answer to the last chunk if it has room, or else as a chunk that further equal answers don't enlarge.
    fn join(&mut self, answer: RepeatedAnswer) {
        match self.chunks.back_mut() {
            Some(Chunk::Bytes(last)) if last.len() + answer.total_bytes() <= JOINED_BYTES => {
                self.held += answer.total_bytes();
                last.extend_from_slice(&answer.bytes.repeat(answer.count));
            }
            Some(Chunk::Repeated(last)) if last.total_bytes() + answer.total_bytes() <= JOINED_BYTES => {
                let before = last.bytes.len();
                let mut joined = last.bytes.repeat(last.count);
                joined.extend_from_slice(&answer.bytes.repeat(answer.count));
                self.held += joined.len() - before;
                self.chunks.pop_back();
                self.chunks.push_back(Chunk::Bytes(joined));
            }
            _ => self.push_chunk(Chunk::Repeated(answer)),
        }
    }

    fn push_chunk(&mut self, chunk: Chunk) {
        self.held += chunk.held_bytes();
        self.chunks.push_back(chunk);
    }

    /// Appends bytes of a value, without copying them if they are many.
    pub(super) fn push_bytes(&mut self, bytes: Vec<u8>) {
        if bytes.len() < JOINED_BYTES {
            self.extend_from_slice(&bytes);
        } else {
            self.push_chunk(Chunk::Bytes(bytes));
        }
    }

    /// Appends bytes.
    pub(super) fn extend_from_slice(&mut self, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        match self.chunks.back_mut() {
            Some(Chunk::Bytes(last)) if last.len() + bytes.len() <= JOINED_BYTES => {
                self.held += bytes.len();
                last.extend_from_slice(bytes);
            }
            _ => self.push_chunk(Chunk::Bytes(bytes.to_vec())),
        }
    }

    /// The memory that it holds, in bytes; what is written of the first chunk is freed with that.
    pub(super) fn held_bytes(&self) -> usize {
        self.held
    }

    /// The bytes that are held and not written; 0 if everything is written.
    pub(super) fn unwritten_bytes(&self) -> usize {
        self.held - self.written
    }

    /// Writes as much as the socket takes in one call; returns how much that was.
    ///
    /// # Errors
    /// Those of the socket.
    pub(super) fn write_to(&mut self, socket: &mut impl Write) -> io::Result<usize> {
        self.expand_first();
        let count = match self.chunks.front() {
            Some(Chunk::Bytes(only)) if self.chunks.len() == 1 => socket.write(&only[self.written..])?,
            _ => socket.write_vectored(&self.slices())?,
        };
        self.record_written(count);
        Ok(count)
    }

    /// Turns answers at the front into bytes, about as many as a chunk holds.
    fn expand_first(&mut self) {
        let Some(Chunk::Repeated(first)) = self.chunks.front_mut() else { return };
        let size = first.bytes.len();
        let expanded = (JOINED_BYTES / size.max(1)).clamp(1, first.count);
        let bytes = first.bytes.repeat(expanded);
        first.count -= expanded;
        if first.count == 0 {
            self.held -= size;
            self.chunks.pop_front();
        }
        self.held += bytes.len();
        self.chunks.push_front(Chunk::Bytes(bytes));
    }

    /// The unwritten parts of the first chunks, up to one that has to be expanded.
    fn slices(&self) -> Vec<IoSlice<'_>> {
        let mut skipped = self.written;
        let bytes = self.chunks.iter().map_while(|chunk| match chunk {
            Chunk::Bytes(bytes) => Some(bytes),
            Chunk::Repeated(_) => None,
        });
        let first = bytes.take(CHUNKS_PER_WRITE);
        first.map(|bytes| IoSlice::new(&bytes[std::mem::take(&mut skipped)..])).collect()
    }

    fn record_written(&mut self, count: usize) {
        self.written += count;
        while let Some(Chunk::Bytes(first)) = self.chunks.front() {
            let size = first.len();
            if size > self.written {
                break;
            }
            self.written -= size;
            self.held -= size;
            self.chunks.pop_front();
        }
    }
}
