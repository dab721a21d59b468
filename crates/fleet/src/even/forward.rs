//! The forward step without a threshold: of the random pick and the members after it the least loaded, by what this router knows by itself.
//!
//! A threshold over the pool's mean lets a pick stand that is known to be slower than the next one, as long as it is under the threshold;
//! where routers see little, most picks are. Nobody herds by it: each router goes by its own sends and answers, and begins at its own pick.
//! A scheme of the model alone: on the bench, with limits and shedding round it, it lost on one deployment what it gained on the other.
//! Against the schemes that were played beside it see `docs/design/even-load.md`.

/// How many members after the pick are looked at: the paper's m. It follows from no setting; 3 in the model: `docs/design/even-load.md`.
pub const FORWARD_STEPS: usize = 2;

/// The place to send to, of so many (at least one): `first` is the random pick, `load` is asked of it and of [`FORWARD`] after it at most.
/// Of equals the first is taken, so that the random pick stands where nothing is known; a load that is no number is never less.
#[must_use]
pub fn least_loaded(first: usize, members: usize, load: impl Fn(usize) -> f64) -> usize {
    let members = members.max(1);
    let places = (0..=FORWARD_STEPS.min(members - 1)).map(|step| (first + step) % members);
    let known = |at: usize| Some(load(at)).filter(|load| !load.is_nan()).unwrap_or(f64::INFINITY);
    let least =
        places.map(|at| (at, known(at))).reduce(|best, next| if next.1 < best.1 { next } else { best });
    least.map_or(0, |(at, _)| at)
}
