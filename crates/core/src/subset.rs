//! Which of a group's members a router looks at first. Each of many routers sees little, and one that goes to all members opens a connection to
//! each that is hardly used. So each looks first within a *window* of the members; the windows of all routers together cover each member alike.
//!
//! Routers stand evenly on a ring by their ranks, members by their places in the pool; a window begins where its router stands. A forward step
//! leaves it where a member is over the threshold, so that a crowded or sick window is left like a member.

/// So many members wide is a window.
const WIDTH: f64 = 2.0;
/// Where fewer routers than this would cover a member, chance is more even than windows are.
const COVER: f64 = 12.0;

/// The place of the member to look at first, of so many (at least one): a draw of 32 bits, put into the window of the router of this rank.
#[must_use]
pub fn first_pick(draw: usize, rank: u32, routers: u32, members: usize) -> usize {
    let (count, routers) = (members as f64, f64::from(routers.max(1)));
    // Routers that were told no rank of their own would all look at the same members.
    let unknown = f64::from(rank) >= routers;
    if unknown || WIDTH >= count || WIDTH * routers < COVER * count {
        return draw % members.max(1);
    }
    let begin = f64::from(rank) / routers * count;
    let within = draw as f64 / (f64::from(u32::MAX) + 1.0) * WIDTH;
    (begin + within) as usize % members
}
