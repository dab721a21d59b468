//! The forward step: within its bounds, even where nothing is known, away from the slow, and never a herd.

use linnetdeal_core::{Slowness, Span, Time, subset};
use linnetdeal_fleet::even::forward::{FORWARD_STEPS, least_loaded};
use proptest::prelude::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use rand_distr::{Distribution, Exp1};
use std::cell::Cell;

proptest! {
    #[test]
    fn it_is_the_least_of_the_pick_and_the_next(first in 0usize..9_000, loads in prop::collection::vec(0.0f64..50.0, 1..40)) {
        let (members, asked) = (loads.len(), Cell::new(0));
        let at = least_loaded(first, members, |at| {
            asked.set(asked.get() + 1);
            loads[at]
        });
        prop_assert!(asked.get() <= FORWARD_STEPS + 1);
        let looked: Vec<usize> = (0..=FORWARD_STEPS.min(members - 1)).map(|step| (first + step) % members).collect();
        prop_assert!(looked.contains(&at));
        prop_assert!(looked.iter().all(|other| loads[at] <= loads[*other]));
    }
}

#[test]
fn the_random_pick_stands_where_nothing_is_known() {
    for members in [1, 2, 3, 12, 2_000] {
        for first in 0..members {
            assert_eq!(least_loaded(first, members, |_| 1.0), first);
            assert_eq!(least_loaded(first, members, |_| f64::NAN), first);
        }
    }
    assert_eq!(least_loaded(1, 3, |at| if at == 1 { f64::NAN } else { 9.0 }), 2);
    assert_eq!(least_loaded(5, 0, |_| 1.0), 0);
}

/// A member of which an attempt is out, or that is a little slower, is passed over: a threshold of 1.2 times the mean let it stand.
#[test]
fn one_a_little_slower_than_the_next_is_passed_over() {
    let loads = [1.1, 1.0, 1.0, 1.0];
    assert_eq!(least_loaded(0, 4, |at| loads[at]), 1);
    // Where all that are looked at are loaded, the least of them it is, and not the pick.
    let loads = [9.0, 8.0, 7.0, 1.0];
    assert_eq!(least_loaded(0, 4, |at| loads[at]), 2);
}

/// Routers that see a few answers each, by chance, of members of which one is twice as slow: all together spread their sends, though none
/// knows what the others do. By what all are told alike they would all go to one.
#[test]
fn many_routers_that_each_know_little_are_even_together() {
    const ROUTERS: u32 = 300;
    const MEMBERS: usize = 12;
    let now = Time(1_000_000_000);
    let mut rng = ChaCha8Rng::seed_from_u64(42);
    let mut got = [0u32; MEMBERS];
    for rank in 0..ROUTERS {
        let mut slow = [Slowness::default(); MEMBERS];
        for (at, slow) in slow.iter_mut().enumerate() {
            for _ in 0..8 {
                let pace = if at == 5 { 2.0 } else { 1.0 };
                let takes: f64 = Exp1.sample(&mut rng);
                slow.observe(now, 1, pace * takes);
            }
        }
        for _ in 0..20 {
            let first = subset::first_pick(rng.next_u32() as usize, rank, ROUTERS, MEMBERS);
            got[least_loaded(first, MEMBERS, |at| slow[at].ratio(now))] += 1;
        }
    }
    let even = f64::from(ROUTERS) * 20.0 / MEMBERS as f64;
    let shares: Vec<f64> = got.iter().map(|got| f64::from(*got) / even).collect();
    assert!(shares[5] < 0.6, "{shares:.2?}");
    assert!(shares[5] > 0.03, "a slow one is found well by what it is still sent: {shares:.2?}");
    // The two after the slow one take its part, half each; the rest is the chance of eight answers.
    assert!(shares.iter().all(|share| *share < 1.6), "{shares:.2?}");
}

/// A member that was passed over is looked at again: what is known of it is forgotten with time.
#[test]
fn one_that_was_slow_gets_its_picks_back() {
    let (mut slow, now) = (Slowness::default(), Time(1_000_000_000));
    (0..20).for_each(|_| slow.observe(now, 1, 5.0));
    let pick = |now: Time| least_loaded(0, 3, |at| if at == 0 { slow.ratio(now) } else { 1.01 });
    assert_ne!(pick(now), 0);
    assert_eq!(pick(now + Span::millis(60_000)), 0);
}
