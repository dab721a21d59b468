//! The search for a new primary: which members it probes, how often, and at what cost to them.

use linnetdeal_core::handover::{MemberView, PrimarySearch};
use linnetdeal_core::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::sync::Arc;

/// Members with their positions and the times of their latest probes. The first one was the primary.
struct Group {
    ids: Vec<MemberId>,
    positions: Vec<Time>,
    probed: Vec<Time>,
}

impl Group {
    fn new(positions: &[i64]) -> Self {
        let ids = (0..positions.len()).map(|index| MemberId(Arc::from(format!("s-{index}")))).collect();
        let positions: Vec<Time> = positions.iter().map(|ms| Time(ms * 1_000)).collect();
        Self { ids, probed: vec![Time(-10_000_000); positions.len()], positions }
    }

    fn view(&self, index: usize) -> MemberView {
        MemberView {
            member: self.ids[index].clone(),
            position: self.positions[index],
            last_probe: self.probed[index],
            was_primary: index == 0,
            listed_as_primary: false,
            suspect: false,
            has_room: true,
            write_in_flight: false,
        }
    }

    /// Runs the search every 10 ms for `for_ms`, and returns the times in ms at which each member was probed.
    fn search(&mut self, search: &mut PrimarySearch, fleet: u32, from_ms: i64, for_ms: i64) -> Vec<Vec<i64>> {
        let mut probed = vec![Vec::new(); self.ids.len()];
        for ms in (from_ms..from_ms + for_ms).step_by(10) {
            let group: Vec<MemberView> = (0..self.ids.len()).map(|index| self.view(index)).collect();
            for member in search.probe_targets(Time(ms * 1_000), fleet, false, &group) {
                let index = self.ids.iter().position(|id| *id == member).unwrap();
                self.probed[index] = Time(ms * 1_000);
                probed[index].push(ms);
            }
        }
        probed
    }
}

fn longest_gap(probed: &[i64]) -> i64 {
    probed.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap_or(i64::MAX)
}

#[test]
fn the_candidate_is_probed_often_and_the_others_seldom() {
    let mut group = Group::new(&[5_000, 4_980, 4_990, 4_970, 4_900]);
    let probed = group.search(&mut PrimarySearch::default(), 5, 10_000, 5_000);
    assert!(longest_gap(&probed[2]) <= 110, "the candidate: {:?}", probed[2]);
    let others: usize = [0, 1, 3, 4].iter().map(|index| probed[*index].len()).sum();
    assert!((16..=48).contains(&others), "{others} probes of the four others in 5 s");
    assert!(
        [0, 1, 3, 4].iter().all(|index| longest_gap(&probed[*index]) <= 1_010),
        "the others are probed too, since another one may become the primary"
    );
}

#[test]
fn all_are_probed_alike_where_more_than_a_few_are_ahead() {
    let mut group = Group::new(&[5_000, 4_990, 4_990, 4_990, 4_990]);
    let probed = group.search(&mut PrimarySearch::default(), 5, 10_000, 5_000);
    assert!(probed.iter().all(|times| (5..=14).contains(&times.len())), "{probed:?}");
    // Two members at the same position are both probed.
    let mut group = Group::new(&[5_000, 4_990, 4_991, 4_900, 4_900]);
    let probed = group.search(&mut PrimarySearch::default(), 5, 10_000, 5_000);
    assert!(longest_gap(&probed[1]) <= 110 && longest_gap(&probed[2]) <= 110);
}

#[test]
fn a_search_starts_anew_with_all_members_after_a_break() {
    let (mut group, mut search) = (Group::new(&[5_000, 4_980, 4_990]), PrimarySearch::default());
    group.search(&mut search, 1, 10_000, 3_000);
    let probed = group.search(&mut search, 1, 60_000, 200);
    assert!(probed.iter().all(|times| times.first() == Some(&60_000)), "{probed:?}");
    assert!(probed[0].contains(&60_100), "the rounds are close together again: {probed:?}");
}

#[test]
fn a_group_without_members_is_handled() {
    assert!(PrimarySearch::default().probe_targets(Time(0), 1, false, &[]).is_empty());
    assert_eq!(PrimarySearch::interval(0, false), Span::millis(100));
    assert_eq!(PrimarySearch::interval(u32::MAX, true), Span::millis(1_000));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(13), failure_persistence: None, ..ProptestConfig::default() })]

    /// For any number of routers and members, no member gets more than 100 probes per second from all routers
    /// together, except in large fleets, where the rounds take one probe per second and router.
    #[test]
    fn members_are_not_probed_above_the_rate_limit(positions in prop::collection::vec(0..5_000_i64, 1..9), fleet in 1..600_u32) {
        let mut group = Group::new(&positions);
        let probed = group.search(&mut PrimarySearch::default(), fleet, 10_000, 10_000);
        let limit = 100.0_f64.max(f64::from(fleet));
        for times in &probed {
            let rate = times.len() as f64 / 10.0 * f64::from(fleet);
            prop_assert!(rate <= limit * 1.2 + 1.0, "{rate} probes per second");
            prop_assert!(times.windows(2).all(|pair| pair[1] - pair[0] >= 100), "never twice within 100 ms");
        }
        prop_assert!(probed.iter().all(|times| !times.is_empty()), "every member is probed");
    }
}
