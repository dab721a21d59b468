//! What errors of the system tell of: of this machine, or of whoever was called.

use rustix::io::Errno;
use std::io;

/// This machine is out of something.
const SHORTAGES: [Errno; 5] = [Errno::MFILE, Errno::NFILE, Errno::NOMEM, Errno::NOBUFS, Errno::ADDRNOTAVAIL];
/// This machine failed for a moment; the same call may do a little later.
const TRANSIENT: [Errno; 5] =
    [Errno::CONNABORTED, Errno::NETUNREACH, Errno::NETDOWN, Errno::INTR, Errno::AGAIN];

/// Whether an error tells that this machine is out of descriptors, memory or ports.
#[must_use]
pub fn is_shortage(error: &io::Error) -> bool {
    is_one_of(error, &SHORTAGES)
}

/// Whether an error tells of a moment's failure of this machine, and nothing of whoever was called.
#[must_use]
pub fn is_transient(error: &io::Error) -> bool {
    is_one_of(error, &TRANSIENT)
}

fn is_one_of(error: &io::Error, errors: &[Errno]) -> bool {
    Errno::from_io_error(error).is_some_and(|errno| errors.contains(&errno))
}
