//! Read buffers that shrink when idle, and vectored writes.

use async_io::Async;
use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice, Read, Write};
use std::net::TcpStream;
use std::ops::Range;

const INITIAL_SIZE: usize = 2 * 1024;
/// Maximum number of slices per write; a request has five.
const MAX_SLICES: usize = 8;
/// Size above which an empty buffer is released.
const MAX_IDLE_SIZE: usize = 4 * 1024;

/// Bytes that were read and not yet consumed.
#[derive(Debug, Default)]
pub struct ReadBuffer {
    bytes: Vec<u8>,
    start: usize,
    end: usize,
}

impl ReadBuffer {
    /// The bytes that were read and not yet consumed.
    #[must_use]
    pub fn data(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    /// Consumes `count` bytes.
    pub fn consume(&mut self, count: usize) {
        self.start = (self.start + count).min(self.end);
        if self.start == self.end {
            (self.start, self.end) = (0, 0);
        }
    }

    /// Waits for bytes and reads once; returns 0 at the end of the stream.
    ///
    /// # Errors
    ///
    /// When reading fails.
    pub async fn fill(&mut self, stream: &Async<TcpStream>) -> io::Result<usize> {
        self.make_room();
        let room = &mut self.bytes[self.end..];
        let count = stream.read_with(|mut stream| retry_interrupted(|| stream.read(room))).await?;
        self.end += count;
        Ok(count)
    }

    /// Reads once without waiting; returns 0 at the end of the stream.
    ///
    /// # Errors
    ///
    /// When reading fails, or would have to wait.
    pub fn try_fill(&mut self, mut stream: &TcpStream) -> io::Result<usize> {
        self.make_room();
        let room = &mut self.bytes[self.end..];
        let count = retry_interrupted(|| stream.read(room))?;
        self.end += count;
        Ok(count)
    }

    fn make_room(&mut self) {
        if self.end == self.bytes.len() {
            if self.start > 0 {
                self.bytes.copy_within(self.start..self.end, 0);
                (self.start, self.end) = (0, self.end - self.start);
            } else {
                self.bytes.resize((2 * self.bytes.len()).max(INITIAL_SIZE), 0);
            }
        }
    }

    /// Takes the first `count` bytes out together with the underlying buffer, so that they are not copied. Only
    /// the bytes read beyond them are copied, to a new buffer.
    pub fn detach(&mut self, count: usize) -> (Vec<u8>, Range<usize>) {
        let taken = self.start..(self.start + count).min(self.end);
        let rest = self.bytes[taken.end..self.end].to_vec();
        (self.start, self.end) = (0, rest.len());
        let mut bytes = std::mem::replace(&mut self.bytes, rest);
        // Hundreds of large values may be held for seconds: none should occupy a buffer of twice its size.
        if bytes.len() - taken.end > MAX_IDLE_SIZE {
            bytes.truncate(taken.end);
            bytes.shrink_to_fit();
        }
        (bytes, taken)
    }

    /// Takes a detached buffer back for reuse, unless it is large.
    pub fn reuse(&mut self, bytes: Vec<u8>) {
        if self.bytes.is_empty() && bytes.len() <= MAX_IDLE_SIZE {
            self.bytes = bytes;
        }
    }

    /// Grows an empty buffer to at least `size` bytes.
    pub fn grow(&mut self, size: usize) {
        if self.start == self.end && self.bytes.len() < size {
            self.bytes.resize(size, 0);
        }
    }

    /// Consumes and returns up to `max_count` bytes, and keeps the buffer's memory for further reading.
    pub fn take_up_to(&mut self, max_count: usize) -> &[u8] {
        let end = self.end.min(self.start + max_count);
        let piece = self.start..end;
        self.start = end;
        if self.start == self.end {
            (self.start, self.end) = (0, 0);
        }
        &self.bytes[piece]
    }

    /// Releases the memory of a large buffer that is empty.
    pub fn release_if_empty(&mut self) {
        if self.start == self.end && self.bytes.len() > MAX_IDLE_SIZE {
            *self = Self::default();
        }
    }
}

/// Reads once into a shared scratch buffer and discards the bytes; returns 0 at the end of the stream.
///
/// # Errors
///
/// When reading fails.
pub async fn read_and_discard(stream: &Async<TcpStream>, scratch: &RefCell<Vec<u8>>) -> io::Result<usize> {
    stream.read_with(|mut stream| retry_interrupted(|| stream.read(&mut scratch.borrow_mut()))).await
}

/// Writes all pieces, one after another, with as few system calls as possible.
///
/// # Errors
///
/// When writing fails, or the peer accepts no more bytes.
pub async fn write_all(stream: &Async<TcpStream>, pieces: &[&[u8]]) -> io::Result<()> {
    write_counted(stream, pieces, &Cell::new(0)).await
}

/// Like [`write_all`]; also updates `written` with the number of bytes that the system has accepted, so that it
/// is known when the write fails or is dropped.
///
/// # Errors
///
/// When writing fails, or the peer accepts no more bytes.
pub async fn write_counted(
    stream: &Async<TcpStream>,
    pieces: &[&[u8]],
    written: &Cell<usize>,
) -> io::Result<()> {
    written.set(0);
    write_rest(stream, pieces, written).await
}

/// Writes everything after the first `written` bytes of the pieces.
///
/// # Errors
///
/// When writing fails, or the peer accepts no more bytes.
pub async fn write_rest(
    stream: &Async<TcpStream>,
    pieces: &[&[u8]],
    written: &Cell<usize>,
) -> io::Result<()> {
    let size: usize = pieces.iter().map(|piece| piece.len()).sum();
    while written.get() < size {
        match write_now(stream.get_ref(), pieces, written) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => stream.writable().await?,
            done => done?,
        }
    }
    Ok(())
}

/// Writes once, as far as possible without waiting, what follows the first `written` bytes of the pieces.
///
/// # Errors
///
/// When writing fails, would have to wait, or the peer accepts no more bytes.
pub fn write_now(mut stream: &TcpStream, pieces: &[&[u8]], written: &Cell<usize>) -> io::Result<()> {
    let mut already_written = written.get();
    let mut slices = [IoSlice::new(&[]); MAX_SLICES];
    let mut used = 0;
    for piece in pieces {
        let rest = &piece[already_written.min(piece.len())..];
        already_written -= piece.len() - rest.len();
        if !rest.is_empty() && used < MAX_SLICES {
            slices[used] = IoSlice::new(rest);
            used += 1;
        }
    }
    if used == 0 {
        return Ok(());
    }
    match retry_interrupted(|| stream.write_vectored(&slices[..used]))? {
        0 => Err(io::ErrorKind::WriteZero.into()),
        count => {
            written.set(written.get() + count);
            Ok(())
        }
    }
}

/// Repeats a system call until it is not interrupted by a signal; an interrupted call has had no effect.
fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            done => return done,
        }
    }
}
