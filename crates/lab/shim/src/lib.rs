//! A library that makes system calls fail now and then, in the ways that Linux documents. The soak loads it into
//! a process with `LD_PRELOAD`: it replaces functions of the C library and makes the same system calls, except
//! for those that it fails.
//!
//! | variable | meaning |
//! | --- | --- |
//! | `SHIM_SEED` | seed of its random choices |
//! | `SHIM_PER_MILLE` | how many of a thousand calls fail or are cut short |
//! | `SHIM_WALL_STEP_MS` | by how much the wall clock is stepped, half a second after it was first read |
//! | `SHIM_COUNTS` | a file that holds how often each fault was injected, as text |

use libc::{c_int, c_long, c_void, clockid_t, iovec, size_t, sockaddr, socklen_t, ssize_t, timespec};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};

/// The faults, in the order of `COUNTS`.
const FAULT_NAMES: [&str; 6] =
    ["interrupted", "short-read", "short-write", "would-block", "accept", "wall-step"];
const INTERRUPTED: usize = 0;
const SHORT_READ: usize = 1;
const SHORT_WRITE: usize = 2;
const WOULD_BLOCK: usize = 3;
const ACCEPT: usize = 4;
const WALL_STEP: usize = 5;

/// Transient errors of `accept4`.
const ACCEPT_ERRORS: [c_int; 5] =
    [libc::ECONNABORTED, libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENETUNREACH];
/// The wall clock is stepped this long after it was first read.
const WALL_STEP_AFTER_NS: i64 = 500_000_000;
/// A short read or write transfers at most this many bytes.
const MAX_SHORT_BYTES: u64 = 7;

static COUNTS: [AtomicU64; 6] = [const { AtomicU64::new(0) }; 6];
static STATE: AtomicU64 = AtomicU64::new(0);
static FIRST_READ_NS: AtomicI64 = AtomicI64::new(0);

struct Config {
    per_mille: u64,
    wall_step_ns: i64,
    counts_fd: c_int,
}

fn config() -> &'static Config {
    static CONFIG: OnceLock<Config> = OnceLock::new();
    CONFIG.get_or_init(|| {
        let integer = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<i64>().ok());
        let seed = integer("SHIM_SEED").unwrap_or(1).unsigned_abs();
        STATE.store(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1, Ordering::Relaxed);
        let path = std::env::var("SHIM_COUNTS").ok().and_then(|path| std::ffi::CString::new(path).ok());
        let flags = libc::O_WRONLY | libc::O_CREAT | libc::O_CLOEXEC;
        // SAFETY: the path is a C string that outlives the call.
        let counts_fd = path.map_or(-1, |path| unsafe { libc::open(path.as_ptr(), flags, 0o600) });
        Config {
            per_mille: integer("SHIM_PER_MILLE").unwrap_or(0).unsigned_abs(),
            wall_step_ns: integer("SHIM_WALL_STEP_MS").unwrap_or(0).saturating_mul(1_000_000),
            counts_fd,
        }
    })
}

fn random() -> u64 {
    let next = |state: u64| {
        let state = state ^ (state << 13);
        let state = state ^ (state >> 7);
        state ^ (state << 17)
    };
    let previous = STATE.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |state| Some(next(state)));
    next(previous.unwrap_or(1)) >> 11
}

/// Draws whether the present call is to fail.
fn should_fail() -> bool {
    let per_mille = config().per_mille;
    per_mille > 0 && random() % 1_000 < per_mille
}

fn count(fault: usize) {
    COUNTS[fault].fetch_add(1, Ordering::Relaxed);
    let format_count =
        |(name, count): (&&str, &AtomicU64)| format!("{name}={:<10} ", count.load(Ordering::Relaxed));
    let text: String = FAULT_NAMES.iter().zip(&COUNTS).map(format_count).collect();
    if config().counts_fd >= 0 {
        // SAFETY: the text outlives the call.
        unsafe { libc::pwrite(config().counts_fd, text.as_ptr().cast(), text.len(), 0) };
    }
}

fn fail(fault: usize, error: c_int) -> ssize_t {
    count(fault);
    // SAFETY: `errno` belongs to this thread.
    unsafe { *libc::__errno_location() = error };
    -1
}

/// Receives, or fails, or receives only a few bytes.
///
/// # Safety
///
/// As `recv(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(fd: c_int, buffer: *mut c_void, size: size_t, flags: c_int) -> ssize_t {
    let mut size = size;
    if flags & libc::MSG_PEEK == 0 && size > 0 && should_fail() {
        match random() % 3 {
            0 => return fail(INTERRUPTED, libc::EINTR),
            1 => return fail(WOULD_BLOCK, libc::EAGAIN),
            _ => {
                count(SHORT_READ);
                size = size.min((1 + random() % MAX_SHORT_BYTES) as size_t);
            }
        }
    }
    let null: *const c_void = std::ptr::null();
    // SAFETY: the caller's guarantees; `size` is not larger than the caller's.
    unsafe { libc::syscall(libc::SYS_recvfrom, c_long::from(fd), buffer, size, flags, null, null) as ssize_t }
}

/// Writes several buffers, or fails, or writes only the beginning of the first.
///
/// # Safety
///
/// As `writev(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn writev(fd: c_int, vectors: *const iovec, vector_count: c_int) -> ssize_t {
    if vector_count > 0 && should_fail() {
        match random() % 3 {
            0 => return fail(INTERRUPTED, libc::EINTR),
            1 => return fail(WOULD_BLOCK, libc::EAGAIN),
            _ => {
                // SAFETY: there is at least one vector.
                let mut first = unsafe { *vectors };
                if first.iov_len > 0 {
                    count(SHORT_WRITE);
                    first.iov_len = first.iov_len.min((1 + random() % MAX_SHORT_BYTES) as size_t);
                    let one: *const iovec = &raw const first;
                    // SAFETY: a prefix of the caller's first buffer.
                    return unsafe { libc::syscall(libc::SYS_writev, c_long::from(fd), one, 1) as ssize_t };
                }
            }
        }
    }
    // SAFETY: the caller's guarantees.
    unsafe { libc::syscall(libc::SYS_writev, c_long::from(fd), vectors, vector_count) as ssize_t }
}

/// Accepts a connection, or fails.
///
/// # Safety
///
/// As `accept4(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    // Less often than the other calls, each of which is made many times per connection.
    if should_fail() || should_fail() || should_fail() {
        let error = ACCEPT_ERRORS[random() as usize % ACCEPT_ERRORS.len()];
        return fail(ACCEPT, error) as c_int;
    }
    // SAFETY: the caller's guarantees.
    unsafe { libc::syscall(libc::SYS_accept4, c_long::from(fd), address, length, flags) as c_int }
}

/// Reads a clock; the wall clock may be stepped.
///
/// # Safety
///
/// As `clock_gettime(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: the caller's guarantees.
    let result = unsafe { libc::syscall(libc::SYS_clock_gettime, clock, time) as c_int };
    let step = config().wall_step_ns;
    if result != 0 || clock != libc::CLOCK_REALTIME || step == 0 {
        return result;
    }
    // SAFETY: the successful call has written the time.
    let now = unsafe { &mut *time };
    let since_epoch = now.tv_sec * 1_000_000_000 + now.tv_nsec;
    let first = match FIRST_READ_NS.compare_exchange(0, since_epoch, Ordering::Relaxed, Ordering::Relaxed) {
        Ok(_) => since_epoch,
        Err(first) => first,
    };
    if since_epoch - first > WALL_STEP_AFTER_NS {
        count(WALL_STEP);
        let stepped = since_epoch + step;
        (now.tv_sec, now.tv_nsec) = (stepped.div_euclid(1_000_000_000), stepped.rem_euclid(1_000_000_000));
    }
    result
}
