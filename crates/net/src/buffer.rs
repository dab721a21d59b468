//! Reading into buffers that shrink when idle, and writing from several places at once.

use async_io::Async;
use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice, Read, Write};
use std::net::TcpStream;
use std::ops::Range;

const INITIAL_SIZE: usize = 2 * 1024;
/// So many pieces are written with one call; a request has five.
const MAX_SLICES: usize = 8;
/// An idle buffer keeps no more than this.
const MAX_IDLE_SIZE: usize = 4 * 1024;

/// Bytes that were read and not yet used up.
#[derive(Debug, Default)]
pub struct ReadBuffer {
    bytes: Vec<u8>,
    start: usize,
    end: usize,
}

impl ReadBuffer {
    /// What has been read and not used up.
    #[must_use]
    pub fn data(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    /// Uses up so many bytes.
    pub fn consume(&mut self, count: usize) {
        self.start = (self.start + count).min(self.end);
        if self.start == self.end {
            (self.start, self.end) = (0, 0);
        }
    }

    /// Reads once; the count is 0 at the end of the stream.
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

    /// Reads once what is there already; the count is 0 at the end of the stream.
    ///
    /// # Errors
    ///
    /// When reading fails, or nothing is there.
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

    /// Takes the first `count` bytes out with the buffer that they stand in, so that they outlive further
    /// reading uncopied. Only what was read beyond them is copied.
    pub fn detach(&mut self, count: usize) -> (Vec<u8>, Range<usize>) {
        let taken = self.start..(self.start + count).min(self.end);
        let rest = self.bytes[taken.end..self.end].to_vec();
        (self.start, self.end) = (0, rest.len());
        let mut bytes = std::mem::replace(&mut self.bytes, rest);
        // A large value may be held for seconds, beside hundreds of others: not in a buffer twice its size.
        if bytes.len() - taken.end > MAX_IDLE_SIZE {
            bytes.truncate(taken.end);
            bytes.shrink_to_fit();
        }
        (bytes, taken)
    }

    /// Takes a detached buffer back for further use, unless it is large.
    pub fn reuse(&mut self, bytes: Vec<u8>) {
        if self.bytes.is_empty() && bytes.len() <= MAX_IDLE_SIZE {
            self.bytes = bytes;
        }
    }

    /// Makes room for so many bytes where there is nothing.
    pub fn grow(&mut self, size: usize) {
        if self.start == self.end && self.bytes.len() < size {
            self.bytes.resize(size, 0);
        }
    }

    /// Takes out what is there, up to `most` bytes of it, and leaves the buffer's memory for what comes.
    pub fn take_up_to(&mut self, max_count: usize) -> &[u8] {
        let end = self.end.min(self.start + max_count);
        let piece = self.start..end;
        self.start = end;
        if self.start == self.end {
            (self.start, self.end) = (0, 0);
        }
        &self.bytes[piece]
    }

    /// Lets go of a large buffer while there is nothing in it.
    pub fn release_if_empty(&mut self) {
        if self.start == self.end && self.bytes.len() > MAX_IDLE_SIZE {
            *self = Self::default();
        }
    }
}

/// Reads once into a buffer that many share, and forgets it; the count is 0 at the end of the stream.
///
/// # Errors
///
/// When reading fails.
pub async fn read_and_discard(stream: &Async<TcpStream>, scratch: &RefCell<Vec<u8>>) -> io::Result<usize> {
    stream.read_with(|mut stream| retry_interrupted(|| stream.read(&mut scratch.borrow_mut()))).await
}

/// Writes all pieces, one after another, in as few calls as the system allows.
///
/// # Errors
///
/// When writing fails, or the other side takes nothing more.
pub async fn write_all(stream: &Async<TcpStream>, pieces: &[&[u8]]) -> io::Result<()> {
    write_counted(stream, pieces, &Cell::new(0)).await
}

/// [`write_all`], with how many bytes the system has taken added to `written` as it takes them: that is known also when
/// it fails or is given up.
///
/// # Errors
///
/// When writing fails, or the other side takes nothing more.
pub async fn write_counted(
    stream: &Async<TcpStream>,
    pieces: &[&[u8]],
    written: &Cell<usize>,
) -> io::Result<()> {
    written.set(0);
    write_rest(stream, pieces, written).await
}

/// Writes what is behind the first `written` bytes of all pieces.
///
/// # Errors
///
/// When writing fails, or the other side takes nothing more.
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

/// Writes once what is behind the first `written` bytes of all pieces, as far as the system takes it at once.
///
/// # Errors
///
/// When writing fails, would have to wait, or the other side takes nothing more.
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

/// What a call of the system gives that a signal does not interrupt: nothing has happened when one does.
fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            done => return done,
        }
    }
}
