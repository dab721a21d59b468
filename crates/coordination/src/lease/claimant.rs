//! One pooler's side of one task: it asks, claims, holds and renews. When it does so is its owner's matter.

use super::{Answer, LeaseRules, PoolerInstance, Token, VoterSet};
use linnetdeal_core::{Span, Time};
use std::collections::BTreeSet;
use std::marker::PhantomData;

/// A round of claims, and how voters have answered it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Round {
    /// When it began, before anything was sent.
    pub sent: Time,
    /// Its number; answers to others don't count.
    pub number: u32,
    yes: BTreeSet<u16>,
    no: BTreeSet<u16>,
}

impl Round {
    fn begin(sent: Time, number: u32) -> Self {
        Self { sent, number, yes: BTreeSet::new(), no: BTreeSet::new() }
    }

    fn note(&mut self, voter: u16, yes: bool) {
        if yes {
            self.yes.insert(voter);
        } else if !self.yes.contains(&voter) {
            self.no.insert(voter);
        }
    }
}

/// How far a claimant has come.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub enum Stage {
    /// It wants nothing, or waits.
    #[default]
    Idle,
    /// It asks instance has the task.
    Asking {
        /// The answers.
        round: Round,
        /// The highest token in them.
        floor: Token,
    },
    /// It claims the task.
    Claiming {
        /// The answers.
        round: Round,
        /// With this token.
        token: Token,
    },
    /// It has the task.
    Held {
        /// Its token.
        token: Token,
        /// It may act until then and no longer, by its own clock.
        until: Time,
        /// What it has asked for beyond that.
        renewal: Option<Round>,
    },
}

/// What follows from an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing yet.
    Wait,
    /// A majority would grant it: claim with a token above this one.
    Claim(Token),
    /// The task is had, or had for longer.
    Held(Token),
    /// Somebody else has it, or will.
    Busy,
    /// This claim can't succeed any more: what was granted is to be taken back.
    Rejected(Token),
}

/// A claimant.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Claimant<R> {
    instance: PoolerInstance,
    /// How long a grant may be used.
    held: Span,
    /// The latest token that was claimed with.
    last: Token,
    stage: Stage,
    rules: PhantomData<R>,
}

impl<R: LeaseRules> Claimant<R> {
    /// A claimant for grants of `term`, where clocks run wrong by up to `drift` parts in a thousand.
    #[must_use]
    pub fn new(instance: PoolerInstance, term: Span, drift: u16) -> Self {
        Self {
            instance,
            held: R::usable_term(term, drift),
            last: Token(0),
            stage: Stage::Idle,
            rules: PhantomData,
        }
    }

    /// Who claims.
    #[must_use]
    pub fn instance(&self) -> PoolerInstance {
        self.instance
    }

    /// How far it has come.
    #[must_use]
    pub fn stage(&self) -> &Stage {
        &self.stage
    }

    /// The token to act with now. To be asked before each act and after each wait, with a clock read after it.
    #[must_use]
    pub fn holds(&self, now: Time) -> Option<Token> {
        match self.stage {
            Stage::Held { token, until, .. } if now < until => Some(token),
            _ => None,
        }
    }

    /// Begins to ask. Who holds the task must renew instead; this gives it up.
    pub fn ask(&mut self, now: Time, number: u32) {
        self.stage = Stage::Asking { round: Round::begin(now, number), floor: Token(0) };
    }

    /// Begins to claim, with a token above this floor; says which. `now` is read before anything is sent. No token is claimed
    /// with twice: a release of the first claim that comes late would end what the second one was granted.
    pub fn claim(&mut self, now: Time, number: u32, floor: Token) -> Token {
        let token = Token(floor.max(self.last).0.saturating_add(1));
        self.last = token;
        self.stage = Stage::Claiming { round: Round::begin(now, number), token };
        token
    }

    /// Begins to renew; the token to claim again, if one is held still. `now` is read before anything is sent.
    pub fn renew(&mut self, now: Time, number: u32) -> Option<Token> {
        let held = self.holds(now)?;
        if let Stage::Held { renewal, .. } = &mut self.stage {
            *renewal = Some(Round::begin(now, number));
        }
        Some(held)
    }

    /// Stops; the token that voters may have granted, to be released.
    pub fn stop(&mut self) -> Option<Token> {
        match std::mem::take(&mut self.stage) {
            Stage::Claiming { token, .. } | Stage::Held { token, .. } => Some(token),
            Stage::Idle | Stage::Asking { .. } => None,
        }
    }

    /// A voter has answered the round of this number.
    pub fn answer(&mut self, now: Time, council: &VoterSet, voter: u16, number: u32, answer: Answer) -> Step {
        let held = self.held;
        match &mut self.stage {
            Stage::Asking { round, floor } if round.number == number => {
                round.note(voter, answer.granted);
                *floor = (*floor).max(answer.floor);
                if council.decides::<R>(&round.yes) {
                    return Step::Claim(*floor);
                }
                if !council.may_decide_without::<R>(&round.no) {
                    self.stage = Stage::Idle;
                    return Step::Busy;
                }
            }
            Stage::Claiming { round, token } if round.number == number => {
                round.note(voter, answer.granted);
                let token = *token;
                if council.decides::<R>(&round.yes) {
                    let until = if R::TERM_FROM_SEND { round.sent } else { now } + held;
                    // Answers that come after the term grant nothing any more.
                    if now >= until {
                        self.stage = Stage::Idle;
                        return Step::Rejected(token);
                    }
                    self.stage = Stage::Held { token, until, renewal: None };
                    return Step::Held(token);
                }
                if !council.may_decide_without::<R>(&round.no) {
                    self.stage = Stage::Idle;
                    return Step::Rejected(token);
                }
            }
            Stage::Held { token, until, renewal }
                if renewal.as_ref().is_some_and(|of| of.number == number) =>
            {
                let token = *token;
                let Some(round) = renewal else { return Step::Wait };
                round.note(voter, answer.granted);
                if council.decides::<R>(&round.yes) {
                    *until = (*until).max(if R::TERM_FROM_SEND { round.sent } else { now } + held);
                    *renewal = None;
                    // After the term it is nobody's, and may be another's by now.
                    return if now < *until { Step::Held(token) } else { Step::Wait };
                }
            }
            _ => {}
        }
        Step::Wait
    }
}
