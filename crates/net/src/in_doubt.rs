//! Writes whose outcome is unknown: the whole statement was sent, no answer was received, and it must not be
//! sent again. Their clients are told that they failed. Operators find the clients' ids here and can look the
//! writes up on the servers.

use linnetdeal_core::{MemberId, Time};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fmt;

/// How many of the latest writes are kept.
const MAX_KEPT: usize = 256;
/// Maximum length of an id that is kept.
const MAX_ID_LEN: usize = 64;

#[derive(Debug)]
struct InDoubtWrite {
    id: Box<str>,
    class: Box<str>,
    member: Option<MemberId>,
    given_up_at: Time,
}

/// Count of the writes in doubt since the start, with details of the latest.
#[derive(Debug, Default)]
pub struct InDoubtWrites {
    total: Cell<u64>,
    latest: RefCell<VecDeque<InDoubtWrite>>,
}

impl InDoubtWrites {
    /// Records a write in doubt: the client's id, its class, the member that may have run it, and when waiting ended.
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
