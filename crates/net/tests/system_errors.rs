//! What errors of the system are taken for.

use linnetdeal_net::system_errors::{is_shortage, is_transient};
use rustix::io::Errno;
use std::io::Error;

#[test]
fn a_failure_of_this_machine_is_not_taken_for_a_dead_server() {
    let error = |errno: Errno| Error::from_raw_os_error(errno.raw_os_error());
    for own in [Errno::MFILE, Errno::NFILE, Errno::NOMEM, Errno::NOBUFS, Errno::ADDRNOTAVAIL] {
        assert!(is_shortage(&error(own)) && !is_transient(&error(own)), "{own:?}");
    }
    for momentary in [Errno::CONNABORTED, Errno::NETUNREACH, Errno::NETDOWN, Errno::INTR, Errno::AGAIN] {
        assert!(is_transient(&error(momentary)) && !is_shortage(&error(momentary)), "{momentary:?}");
    }
    for theirs in [Errno::CONNREFUSED, Errno::CONNRESET, Errno::TIMEDOUT, Errno::HOSTUNREACH, Errno::PIPE] {
        assert!(!is_transient(&error(theirs)) && !is_shortage(&error(theirs)), "{theirs:?}");
    }
}
