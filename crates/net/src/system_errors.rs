//! Classifies system errors: whether they concern this machine or the peer.

use rustix::io::Errno;
use std::io;

/// This machine is out of a resource.
const SHORTAGES: [Errno; 5] = [Errno::MFILE, Errno::NFILE, Errno::NOMEM, Errno::NOBUFS, Errno::ADDRNOTAVAIL];
/// A transient failure of this machine; the same call may succeed a little later.
const TRANSIENT: [Errno; 5] =
    [Errno::CONNABORTED, Errno::NETUNREACH, Errno::NETDOWN, Errno::INTR, Errno::AGAIN];

/// Whether an error means that this machine is out of descriptors, memory or ports.
#[must_use]
pub fn is_shortage(error: &io::Error) -> bool {
    is_one_of(error, &SHORTAGES)
}

/// Whether an error means a transient failure of this machine and says nothing about the peer.
#[must_use]
pub fn is_transient(error: &io::Error) -> bool {
    is_one_of(error, &TRANSIENT)
}

fn is_one_of(error: &io::Error, errors: &[Errno]) -> bool {
    Errno::from_io_error(error).is_some_and(|errno| errors.contains(&errno))
}
