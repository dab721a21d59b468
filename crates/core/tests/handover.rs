//! The search for a new primary: whom it asks, how often, and what it costs the members.

use linnetdeal_core::handover::{MemberView, PrimarySearch};
use linnetdeal_core::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::sync::Arc;

/// Members with their positions and when they were last asked; the first was the primary.
struct Family {
    ids: Vec<MemberId>,
    positions: Vec<Time>,
    asked: Vec<Time>,
}

impl Family {
    fn new(positions: &[i64]) -> Self {
        let ids = (0..positions.len()).map(|at| MemberId(Arc::from(format!("s-{at}")))).collect();
        let positions: Vec<Time> = positions.iter().map(|ms| Time(ms * 1_000)).collect();
        Self { ids, asked: vec![Time(-10_000_000); positions.len()], positions }
    }

    fn standing(&self, at: usize) -> MemberView {
        MemberView {
            member: self.ids[at].clone(),
            position: self.positions[at],
            last_probe: self.asked[at],
            was_primary: at == 0,
            listed_as_primary: false,
            suspect: false,
            has_room: true,
            write_in_flight: false,
        }
    }

    /// Has it asked for so long, every 10 ms; gives when each was asked, in ms.
    fn seek(&mut self, seek: &mut PrimarySearch, fleet: u32, from_ms: i64, for_ms: i64) -> Vec<Vec<i64>> {
        let mut asked = vec![Vec::new(); self.ids.len()];
        for ms in (from_ms..from_ms + for_ms).step_by(10) {
            let family: Vec<MemberView> = (0..self.ids.len()).map(|at| self.standing(at)).collect();
            for member in seek.probe_targets(Time(ms * 1_000), fleet, false, &family) {
                let at = self.ids.iter().position(|id| *id == member).unwrap();
                self.asked[at] = Time(ms * 1_000);
                asked[at].push(ms);
            }
        }
        asked
    }
}

fn widest(asked: &[i64]) -> i64 {
    asked.windows(2).map(|two| two[1] - two[0]).max().unwrap_or(i64::MAX)
}

#[test]
fn the_heir_is_asked_all_the_time_and_the_others_seldom() {
    let mut family = Family::new(&[5_000, 4_980, 4_990, 4_970, 4_900]);
    let asked = family.seek(&mut PrimarySearch::default(), 5, 10_000, 5_000);
    assert!(widest(&asked[2]) <= 110, "the heir: {:?}", asked[2]);
    let others: usize = [0, 1, 3, 4].iter().map(|at| asked[*at].len()).sum();
    assert!((16..=48).contains(&others), "{others} probes of the four others in 5 s");
    assert!(
        [0, 1, 3, 4].iter().all(|at| widest(&asked[*at]) <= 1_010),
        "but they are: it may be another after all"
    );
}

#[test]
fn all_are_asked_alike_where_no_few_are_ahead() {
    let mut family = Family::new(&[5_000, 4_990, 4_990, 4_990, 4_990]);
    let asked = family.seek(&mut PrimarySearch::default(), 5, 10_000, 5_000);
    assert!(asked.iter().all(|of| (5..=14).contains(&of.len())), "{asked:?}");
    // Two that are level are both asked.
    let mut family = Family::new(&[5_000, 4_990, 4_991, 4_900, 4_900]);
    let asked = family.seek(&mut PrimarySearch::default(), 5, 10_000, 5_000);
    assert!(widest(&asked[1]) <= 110 && widest(&asked[2]) <= 110);
}

#[test]
fn a_search_that_rested_begins_anew_with_all() {
    let (mut family, mut seek) = (Family::new(&[5_000, 4_980, 4_990]), PrimarySearch::default());
    family.seek(&mut seek, 1, 10_000, 3_000);
    let asked = family.seek(&mut seek, 1, 60_000, 200);
    assert!(asked.iter().all(|of| of.first() == Some(&60_000)), "{asked:?}");
    assert!(asked[0].contains(&60_100), "and the rounds are close together again: {asked:?}");
}

#[test]
fn nobody_to_ask_is_no_trouble() {
    assert!(PrimarySearch::default().probe_targets(Time(0), 1, false, &[]).is_empty());
    assert_eq!(PrimarySearch::interval(0, false), Span::millis(100));
    assert_eq!(PrimarySearch::interval(u32::MAX, true), Span::millis(1_000));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(13), failure_persistence: None, ..ProptestConfig::default() })]

    /// However many routers and members: no member gets more than 100 probes a second from all routers together, but
    /// for the rounds, which from many routers take one a second each.
    #[test]
    fn the_members_are_not_asked_more_than_agreed(positions in prop::collection::vec(0..5_000_i64, 1..9), fleet in 1..600_u32) {
        let mut family = Family::new(&positions);
        let asked = family.seek(&mut PrimarySearch::default(), fleet, 10_000, 10_000);
        let most = 100.0_f64.max(f64::from(fleet));
        for of in &asked {
            let rate = of.len() as f64 / 10.0 * f64::from(fleet);
            prop_assert!(rate <= most * 1.2 + 1.0, "{rate} a second");
            prop_assert!(of.windows(2).all(|two| two[1] - two[0] >= 100), "never twice within 100 ms");
        }
        prop_assert!(asked.iter().all(|of| !of.is_empty()), "everybody is asked");
    }
}
