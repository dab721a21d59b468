//! Classification of system errors.

use linnetdeal_net::system_errors::{is_shortage, is_transient};
use rustix::io::Errno;
use std::io::Error;

#[test]
fn an_error_of_this_machine_is_not_taken_for_a_dead_server() {
    let error = |errno: Errno| Error::from_raw_os_error(errno.raw_os_error());
    for shortage in [Errno::MFILE, Errno::NFILE, Errno::NOMEM, Errno::NOBUFS, Errno::ADDRNOTAVAIL] {
        assert!(is_shortage(&error(shortage)) && !is_transient(&error(shortage)), "{shortage:?}");
    }
    for transient in [Errno::CONNABORTED, Errno::NETUNREACH, Errno::NETDOWN, Errno::INTR, Errno::AGAIN] {
        assert!(is_transient(&error(transient)) && !is_shortage(&error(transient)), "{transient:?}");
    }
    for remote in [Errno::CONNREFUSED, Errno::CONNRESET, Errno::TIMEDOUT, Errno::HOSTUNREACH, Errno::PIPE] {
        assert!(!is_transient(&error(remote)) && !is_shortage(&error(remote)), "{remote:?}");
    }
}
