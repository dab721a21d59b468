//! The forward step without a threshold: it stays within its bounds, works where nothing is known, avoids slow
//! members and causes no herd.

use linnetdeal_core::{Slowness, Span, Time, subset};
use linnetdeal_fleet::even::forward::{FORWARD_STEPS, least_loaded};
use proptest::prelude::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use rand_distr::{Distribution, Exp1};
use std::cell::Cell;

proptest! {
    #[test]
    fn chooses_the_least_loaded_of_the_pick_and_the_members_after_it(first in 0usize..9_000, loads in prop::collection::vec(0.0f64..50.0, 1..40)) {
        let (members, calls) = (loads.len(), Cell::new(0));
        let choice = least_loaded(first, members, |index| {
            calls.set(calls.get() + 1);
            loads[index]
        });
        prop_assert!(calls.get() <= FORWARD_STEPS + 1);
        let considered: Vec<usize> = (0..=FORWARD_STEPS.min(members - 1)).map(|step| (first + step) % members).collect();
        prop_assert!(considered.contains(&choice));
        prop_assert!(considered.iter().all(|other| loads[choice] <= loads[*other]));
    }
}

#[test]
fn keeps_the_random_pick_when_nothing_is_known() {
    for members in [1, 2, 3, 12, 2_000] {
        for first in 0..members {
            assert_eq!(least_loaded(first, members, |_| 1.0), first);
            assert_eq!(least_loaded(first, members, |_| f64::NAN), first);
        }
    }
    assert_eq!(least_loaded(1, 3, |index| if index == 1 { f64::NAN } else { 9.0 }), 2);
    assert_eq!(least_loaded(5, 0, |_| 1.0), 0);
}

/// Guards against a threshold over the mean: one of 1.2 kept a pick with a request in flight, or one that was a
/// little slower.
#[test]
fn passes_over_a_member_that_is_a_little_slower() {
    let loads = [1.1, 1.0, 1.0, 1.0];
    assert_eq!(least_loaded(0, 4, |index| loads[index]), 1);
    // Where all considered members are loaded the least loaded of them is chosen, not the pick.
    let loads = [9.0, 8.0, 7.0, 1.0];
    assert_eq!(least_loaded(0, 4, |index| loads[index]), 2);
}

/// Each router has a few random answers from members of which one is twice as slow: together the routers spread
/// their requests evenly although none knows what the others do. With the same information for all they would all
/// choose the same member.
#[test]
fn many_routers_with_few_answers_each_spread_load_evenly() {
    const ROUTERS: u32 = 300;
    const MEMBERS: usize = 12;
    let now = Time(1_000_000_000);
    let mut rng = ChaCha8Rng::seed_from_u64(42);
    let mut sends = [0u32; MEMBERS];
    for rank in 0..ROUTERS {
        let mut slowness = [Slowness::default(); MEMBERS];
        for (index, slowness) in slowness.iter_mut().enumerate() {
            for _ in 0..8 {
                let factor = if index == 5 { 2.0 } else { 1.0 };
                let latency: f64 = Exp1.sample(&mut rng);
                slowness.observe(now, 1, factor * latency);
            }
        }
        for _ in 0..20 {
            let first = subset::first_pick(rng.next_u32() as usize, rank, ROUTERS, MEMBERS);
            sends[least_loaded(first, MEMBERS, |index| slowness[index].ratio(now))] += 1;
        }
    }
    let even_share = f64::from(ROUTERS) * 20.0 / MEMBERS as f64;
    let shares: Vec<f64> = sends.iter().map(|count| f64::from(*count) / even_share).collect();
    assert!(shares[5] < 0.6, "{shares:.2?}");
    assert!(shares[5] > 0.03, "the slow member must still receive requests: {shares:.2?}");
    // The two members after the slow one share its part; the rest is the randomness of eight answers.
    assert!(shares.iter().all(|share| *share < 1.6), "{shares:.2?}");
}

/// A member that was passed over is chosen again, as what is known of it decays with time.
#[test]
fn a_member_that_was_slow_is_chosen_again_later() {
    let (mut slowness, now) = (Slowness::default(), Time(1_000_000_000));
    (0..20).for_each(|_| slowness.observe(now, 1, 5.0));
    let pick = |now: Time| least_loaded(0, 3, |index| if index == 0 { slowness.ratio(now) } else { 1.01 });
    assert_ne!(pick(now), 0);
    assert_eq!(pick(now + Span::millis(60_000)), 0);
}
