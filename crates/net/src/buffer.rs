//! Read buffers that grow within a budget and shrink when idle, and vectored writes.

use crate::memory::Reservation;
use async_io::Async;
use linnetdeal_core::memory_budget::{Purpose, SMALL_BUFFER_BYTES};
use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice, Read, Write};
use std::net::TcpStream;
use std::ops::Range;
use std::time::Instant;

const INITIAL_SIZE: usize = 2 * 1024;
/// Maximum number of slices per write; a request has five.
const MAX_SLICES: usize = 8;

/// Bytes that were read and not yet consumed. A buffer with a reservation grows no larger than that.
#[derive(Debug, Default)]
pub struct ReadBuffer {
    bytes: Vec<u8>,
    start: usize,
    end: usize,
    /// Size of the message that is being read, if that is known: the buffer does not grow beyond it.
    message_size: usize,
    reservation: Reservation,
}

/// A part of a buffer, taken out with the memory that holds it.
#[derive(Debug, Default)]
pub struct Detached {
    /// The memory.
    pub bytes: Vec<u8>,
    /// The part.
    pub range: Range<usize>,
    /// Keeps the memory counted.
    pub reservation: Reservation,
}

impl ReadBuffer {
    /// An empty buffer whose memory is counted by `reservation`.
    #[must_use]
    pub fn with_reservation(reservation: Reservation) -> Self {
        Self { reservation, ..Self::default() }
    }

    /// Discards everything and releases the memory.
    pub fn clear(&mut self) {
        *self = Self::with_reservation(self.reservation.take().emptied());
    }

    /// Prepares for a message of `size` bytes at the front: enlarges the reservation so that the whole message fits, if
    /// the budget grants that. Memory is taken as the message arrives.
    pub fn try_reserve(&mut self, size: usize, purpose: Purpose) -> bool {
        let granted = self.reservation.try_enlarge(size, purpose);
        if granted {
            self.message_size = size;
        }
        granted
    }

    /// Enlarges the reservation to `size` bytes whether or not the budget grants that.
    pub fn reserve(&mut self, size: usize) {
        if size > self.reservation.capacity() {
            self.reservation.set(size);
        }
    }

    /// Waits until the budget may grant more, or until `deadline`.
    pub async fn memory_released(&self, deadline: Instant) {
        self.reservation.released(deadline).await;
    }

    /// Whether a read has to wait until data is consumed or the reservation is enlarged.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.end - self.start >= self.reservation.capacity()
    }

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
    /// When reading fails, or the buffer is full.
    pub async fn fill(&mut self, stream: &Async<TcpStream>) -> io::Result<usize> {
        self.make_room()?;
        let room = &mut self.bytes[self.end..];
        let count = stream.read_with(|mut stream| retry_interrupted(|| stream.read(room))).await?;
        self.end += count;
        Ok(count)
    }

    /// Reads once without waiting; returns 0 at the end of the stream.
    ///
    /// # Errors
    ///
    /// When reading fails or would have to wait, or the buffer is full.
    pub fn try_fill(&mut self, mut stream: &TcpStream) -> io::Result<usize> {
        self.make_room()?;
        let room = &mut self.bytes[self.end..];
        let count = retry_interrupted(|| stream.read(room))?;
        self.end += count;
        Ok(count)
    }

    fn make_room(&mut self) -> io::Result<()> {
        if self.end < self.bytes.len() {
            return Ok(());
        }
        if self.start > 0 {
            self.bytes.copy_within(self.start..self.end, 0);
            (self.start, self.end) = (0, self.end - self.start);
            return Ok(());
        }
        let doubled = (2 * self.bytes.len()).max(INITIAL_SIZE);
        let needed = if self.message_size > self.bytes.len() { self.message_size } else { usize::MAX };
        self.resize(doubled.min(needed).min(self.reservation.capacity()))
    }

    /// Grows the buffer to exactly `size` bytes.
    fn resize(&mut self, size: usize) -> io::Result<()> {
        if size <= self.bytes.len() {
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        self.bytes.reserve_exact(size - self.bytes.len());
        self.bytes.resize(size, 0);
        Ok(())
    }

    /// Takes the first `count` bytes out. They are not copied if they occupy most of the buffer: then the buffer's memory
    /// goes with them, and what was read beyond them is copied to a new buffer.
    pub fn detach(&mut self, count: usize) -> Detached {
        let taken = self.start..(self.start + count).min(self.end);
        self.message_size = 0;
        if taken.len() <= SMALL_BUFFER_BYTES && self.end - taken.end > SMALL_BUFFER_BYTES {
            let bytes = self.bytes[taken.clone()].to_vec();
            self.consume(taken.len());
            return Detached { range: 0..bytes.len(), bytes, reservation: Reservation::default() };
        }
        let rest = self.bytes[taken.end..self.end].to_vec();
        let mut reservation = self.reservation.take();
        (self.start, self.end) = (0, rest.len());
        self.reservation.set(rest.len());
        let mut bytes = std::mem::replace(&mut self.bytes, rest);
        // Hundreds of large values may be held for seconds: none should occupy a buffer of twice its size.
        if bytes.len() - taken.end > SMALL_BUFFER_BYTES {
            bytes.truncate(taken.end);
            bytes.shrink_to_fit();
        }
        reservation.set(bytes.len());
        Detached { bytes, range: taken, reservation }
    }

    /// Takes the memory of a detached part back for reuse, unless it is large.
    pub fn reuse(&mut self, bytes: Vec<u8>) {
        if self.bytes.is_empty() && bytes.len() <= SMALL_BUFFER_BYTES {
            self.bytes = bytes;
        }
    }

    /// Grows an empty buffer to at least `size` bytes, as far as the budget grants that.
    pub fn grow(&mut self, size: usize, purpose: Purpose) {
        if self.start == self.end && self.bytes.len() < size {
            self.reservation.try_enlarge(size, purpose);
            // A buffer that has reached its limit stays as it is.
            let _ = self.resize(size.min(self.reservation.capacity()));
        }
    }

    /// Releases the memory of a large buffer that is empty.
    pub fn release_if_empty(&mut self) {
        if self.start == self.end && (self.bytes.len() > SMALL_BUFFER_BYTES || self.message_size > 0) {
            self.clear();
        }
    }
}

/// Reads up to `max_count` bytes once into a shared scratch buffer and discards them; returns 0 at the end of the stream.
///
/// # Errors
///
/// When reading fails.
pub async fn read_and_discard(
    stream: &Async<TcpStream>,
    scratch: &RefCell<Vec<u8>>,
    max_count: usize,
) -> io::Result<usize> {
    let read = |mut stream: &TcpStream| {
        let mut scratch = scratch.borrow_mut();
        let count = max_count.min(scratch.len());
        retry_interrupted(|| stream.read(&mut scratch[..count]))
    };
    stream.read_with(read).await
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
