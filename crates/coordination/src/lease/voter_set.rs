//! Who votes.

use super::LeaseRules;
use std::collections::BTreeSet;

/// The voters of one version of the operator's file, and the sets that other processes may still go by.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct VoterSet {
    voters: BTreeSet<u16>,
    previous: Vec<BTreeSet<u16>>,
}

impl VoterSet {
    /// A council of these voters. While `previous` sets are named each decision needs a majority of them as well: with one
    /// of three replaced, two of the old and two of the new need not have a voter in common.
    #[must_use]
    pub fn new(voters: BTreeSet<u16>, previous: Vec<BTreeSet<u16>>) -> Self {
        Self { voters, previous }
    }

    /// Whether these are enough to decide.
    #[must_use]
    pub fn decides<R: LeaseRules>(&self, heard: &BTreeSet<u16>) -> bool {
        self.sets().all(|set| set.intersection(heard).count() >= R::quorum(set.len()))
    }

    /// Whether enough are left to decide once these have said no.
    #[must_use]
    pub fn may_decide_without<R: LeaseRules>(&self, refused: &BTreeSet<u16>) -> bool {
        self.sets().all(|set| set.difference(refused).count() >= R::quorum(set.len()))
    }

    /// All who are asked: the voters, and those of earlier sets.
    #[must_use]
    pub fn asked(&self) -> BTreeSet<u16> {
        self.sets().flatten().copied().collect()
    }

    fn sets(&self) -> impl Iterator<Item = &BTreeSet<u16>> {
        std::iter::once(&self.voters).chain(&self.previous)
    }
}
