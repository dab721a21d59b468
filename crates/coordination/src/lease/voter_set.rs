//! The set of voters and its quorums.

use super::LeaseRules;
use std::collections::BTreeSet;

/// The voters of one version of the operator's configuration, and earlier sets that other processes may still
/// use.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct VoterSet {
    current: BTreeSet<u16>,
    previous: Vec<BTreeSet<u16>>,
}

impl VoterSet {
    /// A voter set. While `previous` sets are configured, each decision needs a majority of those as well:
    /// after one of three voters is replaced, two of the old and two of the new need not have a voter in
    /// common.
    #[must_use]
    pub fn new(current: BTreeSet<u16>, previous: Vec<BTreeSet<u16>>) -> Self {
        Self { current, previous }
    }

    /// Whether `granted_by` is a quorum of all sets.
    #[must_use]
    pub fn is_quorum<R: LeaseRules>(&self, granted_by: &BTreeSet<u16>) -> bool {
        self.sets().all(|set| set.intersection(granted_by).count() >= R::quorum(set.len()))
    }

    /// Whether a quorum is still possible after these voters have refused.
    #[must_use]
    pub fn can_reach_quorum_without<R: LeaseRules>(&self, refused_by: &BTreeSet<u16>) -> bool {
        self.sets().all(|set| set.difference(refused_by).count() >= R::quorum(set.len()))
    }

    /// All voters to ask: the current ones and those of earlier sets.
    #[must_use]
    pub fn all_voters(&self) -> BTreeSet<u16> {
        self.sets().flatten().copied().collect()
    }

    fn sets(&self) -> impl Iterator<Item = &BTreeSet<u16>> {
        std::iter::once(&self.current).chain(&self.previous)
    }
}
