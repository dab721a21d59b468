//! The forward step without a threshold: the least loaded of the random pick and the members after it, by what this
//! router knows itself.
//!
//! A threshold over the pool's mean keeps a pick that is known to be slower than the next member, as long as it is
//! below the threshold; where routers see little traffic, most picks are. No herd forms: each router goes by its
//! own sends and answers, and starts at its own random pick. The program does not use this scheme: on the bench,
//! with concurrency limits and load shedding, it lost on one deployment what it gained on the other.
//! `docs/design/even-load.md` compares the schemes.

/// Number of members after the pick that are considered: the paper's m. It does not depend on settings; for 3 in
/// the model see `docs/design/even-load.md`.
pub const FORWARD_STEPS: usize = 2;

/// The index of the member to send to, of `members` (at least one). `first` is the random pick; `load` is called
/// for it and for at most [`FORWARD_STEPS`] members after it. Of equal loads the first is taken, so that the random
/// pick stands where nothing is known; a load that is NaN counts as infinite.
#[must_use]
pub fn least_loaded(first: usize, members: usize, load: impl Fn(usize) -> f64) -> usize {
    let members = members.max(1);
    let places = (0..=FORWARD_STEPS.min(members - 1)).map(|step| (first + step) % members);
    let known = |at: usize| Some(load(at)).filter(|load| !load.is_nan()).unwrap_or(f64::INFINITY);
    let least =
        places.map(|at| (at, known(at))).reduce(|best, next| if next.1 < best.1 { next } else { best });
    least.map_or(0, |(at, _)| at)
}
