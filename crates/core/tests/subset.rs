//! Windows of members are even over all routers, narrow for each router, and stable when members are added.

use linnetdeal_core::subset::first_pick;
use std::collections::BTreeSet;

const DRAWS: usize = 512;

fn draws() -> impl Iterator<Item = usize> {
    (0..DRAWS).map(|index| index * (u32::MAX as usize / DRAWS))
}

/// How often each member is picked over all routers, and the most members that one router uses.
fn spread(routers: u32, members: usize) -> (Vec<usize>, usize) {
    let (mut picks, mut widest) = (vec![0; members], 0);
    for rank in 0..routers {
        let mut used = BTreeSet::new();
        for draw in draws() {
            let index = first_pick(draw, rank, routers, members);
            picks[index] += 1;
            used.insert(index);
        }
        widest = widest.max(used.len());
    }
    (picks, widest)
}

#[test]
fn windows_cover_each_member_alike_and_are_narrow() {
    for (routers, members) in
        [(300, 3), (300, 5), (300, 7), (307, 11), (100, 8), (2_000, 400 / 20), (313, 13)]
    {
        let (picks, widest) = spread(routers, members);
        let mean = picks.iter().sum::<usize>() as f64 / members as f64;
        let most = *picks.iter().max().unwrap() as f64 / mean;
        let least = *picks.iter().min().unwrap() as f64 / mean;
        assert!(widest <= 3, "{routers} routers, {members} members: {widest} used");
        assert!(most < 1.06 && least > 0.94, "{routers} routers, {members} members: {least:.3} to {most:.3}");
    }
}

#[test]
fn few_routers_or_members_draw_from_all() {
    for (routers, members) in [(1, 5), (5, 6), (20, 9), (300, 1), (300, 2)] {
        let mut used = BTreeSet::new();
        for draw in 0..1_000 {
            let index = first_pick(draw, routers / 2, routers, members);
            assert!(index < members);
            used.insert(index);
        }
        assert_eq!(used.len(), members, "{routers} routers, {members} members");
    }
    // A router without a rank, or with one outside of the fleet, has no window.
    for rank in [linnetdeal_core::Settings::NO_RANK, 300] {
        let used: BTreeSet<usize> = (0..1_000).map(|draw| first_pick(draw, rank, 300, 7)).collect();
        assert_eq!(used.len(), 7, "rank {rank}");
    }
}

#[test]
fn a_member_more_moves_windows_by_less_than_one_member() {
    for rank in 0..300 {
        let all = |members: usize| -> BTreeSet<usize> {
            draws().map(|draw| first_pick(draw, rank, 300, members)).collect()
        };
        let (before, after) = (all(10), all(11));
        assert!(after.difference(&before).count() <= 1, "rank {rank}: {before:?} {after:?}");
    }
}
