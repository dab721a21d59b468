//! Writes whose outcome nobody knows: all of it was sent, no answer came, and it must not be sent again. Their clients are
//! told "failed"; operators find them here, by the clients' ids, to look them up where they would have run.

use linnetdeal_core::{MemberId, Time};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fmt;

/// So many of the latest are kept.
const MAX_KEPT: usize = 256;
/// An id is kept up to this length.
const MAX_ID_LEN: usize = 64;

#[derive(Debug)]
struct InDoubtWrite {
    id: Box<str>,
    class: Box<str>,
    member: Option<MemberId>,
    given_up_at: Time,
}

/// The writes in doubt since the start, the latest of them by name.
#[derive(Debug, Default)]
pub struct InDoubtWrites {
    total: Cell<u64>,
    latest: RefCell<VecDeque<InDoubtWrite>>,
}

impl InDoubtWrites {
    /// One more: the client's id, its class, the member that may have run it, and when that was given up.
    pub fn add(&self, id: &str, class: &str, member: Option<MemberId>, given_up_at: Time) {
        self.total.set(self.total.get().saturating_add(1));
        let mut latest = self.latest.borrow_mut();
        if latest.len() == MAX_KEPT {
            latest.pop_front();
        }
        let id: String = id.chars().take(MAX_ID_LEN).collect();
        latest.push_back(InDoubtWrite { id: id.into(), class: class.into(), member, given_up_at });
    }
}

impl fmt::Display for InDoubtWrites {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "in doubt: {} since the start", self.total.get())?;
        for InDoubtWrite { id, class, member, given_up_at } in self.latest.borrow().iter().rev() {
            let member = member.as_ref().map_or("-", |member| &member.0);
            write!(f, "; {class} id={id} at {member}, {} ms", given_up_at.0 / 1_000)?;
        }
        Ok(())
    }
}
