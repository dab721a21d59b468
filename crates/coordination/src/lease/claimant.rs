//! One pooler's side of one task: it queries, claims, holds and renews. When to do so is up to its owner,
//! [`super::Node`].

use super::{Answer, LeaseRules, PoolerInstance, Token, VoterSet};
use linnetdeal_core::{Span, Time};
use std::collections::BTreeSet;
use std::marker::PhantomData;

/// One round of a query or claim, and the voters' answers to it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Round {
    /// When the round began, read before anything was sent.
    pub sent_at: Time,
    /// The round's number; answers to other rounds are ignored.
    pub number: u32,
    granted_by: BTreeSet<u16>,
    refused_by: BTreeSet<u16>,
}

impl Round {
    fn begin(sent_at: Time, number: u32) -> Self {
        Self { sent_at, number, granted_by: BTreeSet::new(), refused_by: BTreeSet::new() }
    }

    fn record_vote(&mut self, voter: u16, granted: bool) {
        if granted {
            self.granted_by.insert(voter);
        } else if !self.granted_by.contains(&voter) {
            self.refused_by.insert(voter);
        }
    }
}

/// State of a claimant.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub enum Stage {
    /// Nothing is under way.
    #[default]
    Idle,
    /// It asks the voters whether a claim would be granted.
    Querying {
        /// The answers.
        round: Round,
        /// The highest token in the answers.
        floor: Token,
    },
    /// It claims the task.
    Claiming {
        /// The answers.
        round: Round,
        /// The token claimed.
        token: Token,
    },
    /// It holds the task.
    Held {
        /// Its token.
        token: Token,
        /// When it must stop acting, by its own clock.
        until: Time,
        /// The renewal under way, if any.
        renewal: Option<Round>,
    },
}

/// Result of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing to do yet.
    Wait,
    /// A quorum would grant a claim: claim with a token above this one.
    Claim(Token),
    /// The task is held, or was renewed.
    Held(Token),
    /// A quorum would refuse a claim.
    Busy,
    /// The claim can no longer succeed: voters that granted it are to be told to release it.
    Rejected(Token),
}

/// One pooler's claim to one task.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Claimant<R> {
    instance: PoolerInstance,
    /// How long a grant may be used.
    usable_term: Span,
    /// The token of the latest claim.
    last_token: Token,
    stage: Stage,
    rules: PhantomData<R>,
}

impl<R: LeaseRules> Claimant<R> {
    /// A claimant for grants of `term`, where clock rates are off by up to `drift` parts per thousand.
    #[must_use]
    pub fn new(instance: PoolerInstance, term: Span, drift: u16) -> Self {
        Self {
            instance,
            usable_term: R::usable_term(term, drift),
            last_token: Token(0),
            stage: Stage::Idle,
            rules: PhantomData,
        }
    }

    /// The claiming process.
    #[must_use]
    pub fn instance(&self) -> PoolerInstance {
        self.instance
    }

    /// Its state.
    #[must_use]
    pub fn stage(&self) -> &Stage {
        &self.stage
    }

    /// The token to act with now. Ask before each act and after each wait, with a clock read after it.
    #[must_use]
    pub fn holds(&self, now: Time) -> Option<Token> {
        match self.stage {
            Stage::Held { token, until, .. } if now < until => Some(token),
            _ => None,
        }
    }

    /// Starts a query. A holder must renew instead, since a query gives up what is held.
    pub fn query(&mut self, now: Time, number: u32) {
        self.stage = Stage::Querying { round: Round::begin(now, number), floor: Token(0) };
    }

    /// Starts a claim with a token above `floor` and returns the token. `now` has to be read before anything is
    /// sent. No token is claimed twice: a late release of the first claim would end the grant of the second.
    pub fn claim(&mut self, now: Time, number: u32, floor: Token) -> Token {
        let token = Token(floor.max(self.last_token).0.saturating_add(1));
        self.last_token = token;
        self.stage = Stage::Claiming { round: Round::begin(now, number), token };
        token
    }

    /// Starts a renewal; returns the token to claim again if one is still held. `now` has to be read before
    /// anything is sent.
    pub fn renew(&mut self, now: Time, number: u32) -> Option<Token> {
        let held_token = self.holds(now)?;
        if let Stage::Held { renewal, .. } = &mut self.stage {
            *renewal = Some(Round::begin(now, number));
        }
        Some(held_token)
    }

    /// Stops; returns the token that voters may have granted, which is to be released.
    pub fn stop(&mut self) -> Option<Token> {
        match std::mem::take(&mut self.stage) {
            Stage::Claiming { token, .. } | Stage::Held { token, .. } => Some(token),
            Stage::Idle | Stage::Querying { .. } => None,
        }
    }

    /// Handles a voter's answer to the round of this number.
    pub fn answer(
        &mut self,
        now: Time,
        voter_set: &VoterSet,
        voter: u16,
        number: u32,
        answer: Answer,
    ) -> Step {
        let usable_term = self.usable_term;
        match &mut self.stage {
            Stage::Querying { round, floor } if round.number == number => {
                round.record_vote(voter, answer.granted);
                *floor = (*floor).max(answer.floor);
                if voter_set.is_quorum::<R>(&round.granted_by) {
                    return Step::Claim(*floor);
                }
                if !voter_set.can_reach_quorum_without::<R>(&round.refused_by) {
                    self.stage = Stage::Idle;
                    return Step::Busy;
                }
            }
            Stage::Claiming { round, token } if round.number == number => {
                round.record_vote(voter, answer.granted);
                let token = *token;
                if voter_set.is_quorum::<R>(&round.granted_by) {
                    let until = if R::TERM_FROM_SEND { round.sent_at } else { now } + usable_term;
                    // An answer that arrives after the term grants nothing.
                    if now >= until {
                        self.stage = Stage::Idle;
                        return Step::Rejected(token);
                    }
                    self.stage = Stage::Held { token, until, renewal: None };
                    return Step::Held(token);
                }
                if !voter_set.can_reach_quorum_without::<R>(&round.refused_by) {
                    self.stage = Stage::Idle;
                    return Step::Rejected(token);
                }
            }
            Stage::Held { token, until, renewal }
                if renewal.as_ref().is_some_and(|pending| pending.number == number) =>
            {
                let token = *token;
                let Some(round) = renewal else { return Step::Wait };
                round.record_vote(voter, answer.granted);
                if voter_set.is_quorum::<R>(&round.granted_by) {
                    *until = (*until).max(if R::TERM_FROM_SEND { round.sent_at } else { now } + usable_term);
                    *renewal = None;
                    // The term may have ended meanwhile, and another pooler may hold the task by now.
                    return if now < *until { Step::Held(token) } else { Step::Wait };
                }
            }
            _ => {}
        }
        Step::Wait
    }
}
