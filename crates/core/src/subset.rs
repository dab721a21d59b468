//! Selects the member of a group that a router considers first. Each of many routers handles few requests, and a
//! router that used all members would open a connection to each that is hardly used. So each router first
//! considers the members within a *window*; the windows of all routers together cover all members evenly.
//!
//! Routers are spaced evenly on a ring by their ranks, and members by their indexes in the pool. A window begins
//! at its router's place. A forward step may leave the window where a member is over the threshold, so that an
//! overloaded or failing window is avoided like a member.

/// Width of a window, in members.
const WIDTH: f64 = 2.0;
/// Where a member would be covered by fewer windows than this, a random choice among all members is more even.
const MIN_COVERAGE: f64 = 12.0;

/// The index of the member to consider first, among `members` (at least one). `draw` is a random number of 32
/// bits, which is mapped into the window of the router of this rank.
#[must_use]
pub fn first_pick(draw: usize, rank: u32, routers: u32, members: usize) -> usize {
    let (count, routers) = (members as f64, f64::from(routers.max(1)));
    // Routers without a rank of their own would all have the same window.
    let unknown_rank = f64::from(rank) >= routers;
    if unknown_rank || WIDTH >= count || WIDTH * routers < MIN_COVERAGE * count {
        return draw % members.max(1);
    }
    let begin = f64::from(rank) / routers * count;
    let offset = draw as f64 / (f64::from(u32::MAX) + 1.0) * WIDTH;
    (begin + offset) as usize % members
}
