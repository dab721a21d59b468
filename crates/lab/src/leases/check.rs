//! Model checking of the lease protocol: stateright steps the production [`Voter`] and [`Claimant`] through all
//! orders of message delivery, loss and duplication, clock drift, process pauses and restarts, within stated
//! bounds.
//!
//! A message that was sent may be delivered at any time, any number of times, or never. A paused process is one
//! that takes no step for a while, possibly in the middle of an act: the holder checks its lease in one step,
//! and the act reaches the gate in another. Queries are not modelled, as they only determine the token to claim
//! with; here a claimant starts from the highest token that exists or from the one below it.

use super::mutants::SeededFaults;
use linnetdeal_coordination::lease::{
    Answer, Claimant, LeaseRules, PoolerInstance, Stage, Step, TaskId, Token, Voter, VoterSet,
};
use linnetdeal_core::{Span, Time};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;
use std::marker::PhantomData;

const TASK: TaskId = TaskId(1);
const VOTERS: u16 = 3;
const CLAIMANTS: usize = 2;
/// Lease term. [`TICK_US`] is the progress of an exact clock in one tick, in microseconds; [`DRIFT_PER_MILLE`]
/// is the stated drift in thousandths.
const TERM: Span = Span(12_000);
const TICK_US: i64 = 4_000;
const DRIFT_PER_MILLE: u16 = 200;
/// Progress of the wall clock per tick, in tokens; it exceeds the number of tokens claimed in that time.
const TOKENS_PER_TICK: u64 = 16;
/// Progress of the wall clock, in milliseconds, while a restarted voter is silent.
const SILENCE_MS: u64 = TERM.0 as u64 / 1_000;

/// Bounds of the state exploration.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Clock ticks; a term has three.
    pub ticks: u8,
    /// Rounds that each claimant may start.
    pub rounds: u32,
    /// Number of voter restarts.
    pub voter_restarts: u8,
    /// Number of claimant restarts.
    pub claimant_restarts: u8,
    /// Number of releases.
    pub releases: u8,
    /// Whether acts are followed until they reach the gate.
    pub acts: bool,
    /// Whether clocks drift by the stated amount: claimants' clocks run slow and voters' clocks fast.
    pub drift: bool,
    /// Seeded faults outside of the voters' rules.
    pub faults: SeededFaults,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum VoterRequest {
    Claim(Token),
    Release(Token),
}

/// A message that was sent once and may be delivered at any later time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    ToVoter { voter: u16, instance: PoolerInstance, round: u32, request: VoterRequest },
    ToClaimant { instance: PoolerInstance, voter: u16, round: u32 },
}

/// State of the whole model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ModelState<R> {
    ticks: u8,
    voters: Vec<Voter<R>>,
    claimants: Vec<Claimant<R>>,
    rounds: Vec<u32>,
    messages: BTreeSet<Message>,
    restarts: (u8, u8),
    releases: u8,
    /// Per claimant, the token of an act whose lease was checked and that has not reached the gate yet.
    pending_acts: Vec<Option<Token>>,
    gate_token: Token,
    /// The highest token used in a claim.
    highest_claimed: Token,
    highest_held: Token,
    past_holders: BTreeSet<PoolerInstance>,
    violation: Option<&'static str>,
}

/// A transition of the model. The variants' names are printed with a counterexample.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// Time advances by one tick.
    Tick,
    /// A claimant claims, starting from the highest token that exists (`true`) or from the one below it.
    Claim(usize, bool),
    /// A holder renews its lease.
    Renew(usize),
    /// A holder releases the task, or a claimant abandons its claim.
    Release(usize),
    /// The message at this position of the ordered set is delivered.
    Comes(usize),
    /// A holder checks its lease and starts an act.
    SetsOut(usize),
    /// The act reaches the gate.
    Arrives(usize),
    /// A voter restarts.
    NewVoter(usize),
    /// A claimant restarts.
    NewClaimant(usize),
}

struct LeaseModel<R>(Bounds, PhantomData<R>);

impl<R: LeaseRules> LeaseModel<R> {
    fn rate(&self, voter: bool) -> i64 {
        let error = TICK_US * i64::from(DRIFT_PER_MILLE) / 1_000;
        match (self.0.drift, voter) {
            (false, _) => TICK_US,
            (true, true) => TICK_US + error,
            (true, false) => TICK_US - error,
        }
    }

    fn clock(&self, state: &ModelState<R>, voter: bool) -> Time {
        Time(i64::from(state.ticks) * self.rate(voter))
    }

    fn voter_set() -> VoterSet {
        VoterSet::new((0..VOTERS).collect(), Vec::new())
    }

    fn send_to_voters(
        state: &mut ModelState<R>,
        instance: PoolerInstance,
        round: u32,
        request: VoterRequest,
    ) {
        state.messages.extend((0..VOTERS).map(|voter| Message::ToVoter { voter, instance, round, request }));
    }

    /// Drops messages that can no longer change anything: answers to a round that has ended.
    fn prune(&self, state: &mut ModelState<R>) {
        let awaits = |index: usize, round: u32| match state.claimants[index].stage() {
            Stage::Claiming { round: current, .. } | Stage::Held { renewal: Some(current), .. } => {
                current.number == round
            }
            _ => false,
        };
        let ignore_incarnation = self.0.faults.ignores_incarnation;
        let is_relevant = |message: &Message| match message {
            Message::ToVoter { .. } => true,
            Message::ToClaimant { instance, round, .. } => {
                let index = usize::from(instance.number);
                ignore_incarnation || *instance == state.claimants[index].instance() && awaits(index, *round)
            }
        };
        let messages = state.messages.iter().copied().filter(is_relevant).collect();
        state.messages = messages;
    }

    /// Records two simultaneous holders, which are a violation whatever the gate does.
    fn check_holders(&self, state: &mut ModelState<R>) {
        let now = self.clock(state, false);
        let holders: Vec<Token> = state.claimants.iter().filter_map(|claimant| claimant.holds(now)).collect();
        if holders.len() > 1 {
            state.violation = Some("two holders");
        }
    }

    fn record_holder(&self, state: &mut ModelState<R>, instance: PoolerInstance, token: Token) {
        // A renewal keeps its token.
        if token != state.highest_held || !state.past_holders.contains(&instance) {
            if token <= state.highest_held {
                state.violation = Some("a token went back");
            }
            state.highest_held = state.highest_held.max(token);
            state.past_holders.insert(instance);
        }
    }

    fn deliver(&self, state: &mut ModelState<R>, message: Message) {
        match message {
            Message::ToVoter { voter, instance, round, request } => {
                let now = self.clock(state, true);
                let target = &mut state.voters[usize::from(voter)];
                let answer = match request {
                    VoterRequest::Claim(token) => target.claim(now, TASK, instance, token, TERM, round),
                    VoterRequest::Release(token) => {
                        target.release(now, TASK, instance, token, None);
                        None
                    }
                };
                // A refusal need not be delivered: it makes the claimant give up, which it may do at any time.
                if answer.is_some_and(|answer| answer.granted) {
                    state.messages.insert(Message::ToClaimant { instance, voter, round });
                }
            }
            Message::ToClaimant { instance, voter, round } => {
                let index = usize::from(instance.number);
                let now = self.clock(state, false);
                let claimant = &mut state.claimants[index];
                if claimant.instance() != instance && !self.0.faults.ignores_incarnation {
                    return;
                }
                let current = claimant.instance();
                let answer = Answer { granted: true, floor: Token(0), holder: None };
                match claimant.answer(now, &Self::voter_set(), voter, round, answer) {
                    Step::Wait | Step::Busy | Step::Claim(_) => {}
                    Step::Held(token) => self.record_holder(state, current, token),
                    Step::Rejected(token) => {
                        Self::send_to_voters(state, current, 0, VoterRequest::Release(token))
                    }
                }
            }
        }
    }
}

impl<R: LeaseRules> Model for LeaseModel<R> {
    type State = ModelState<R>;
    type Action = Transition;

    fn init_states(&self) -> Vec<ModelState<R>> {
        let claimant =
            |number| Claimant::new(PoolerInstance { number, incarnation: 1 }, TERM, DRIFT_PER_MILLE);
        vec![ModelState {
            ticks: 0,
            // Started one term ago, so that their silence after the start is over and they vote from now on.
            voters: (0..VOTERS).map(|_| Voter::new(Time(-TERM.0), TERM, 0)).collect(),
            claimants: (0..CLAIMANTS as u16).map(claimant).collect(),
            rounds: vec![0; CLAIMANTS],
            messages: BTreeSet::new(),
            restarts: (0, 0),
            releases: 0,
            pending_acts: vec![None; CLAIMANTS],
            gate_token: Token(0),
            highest_claimed: Token(SILENCE_MS),
            highest_held: Token(0),
            past_holders: BTreeSet::new(),
            violation: None,
        }]
    }

    fn actions(&self, state: &ModelState<R>, steps: &mut Vec<Transition>) {
        if state.violation.is_some() {
            return;
        }
        if state.ticks < self.0.ticks {
            steps.push(Transition::Tick);
        }
        let now = self.clock(state, false);
        for index in 0..CLAIMANTS {
            let held = state.claimants[index].holds(now);
            let idle = *state.claimants[index].stage() == Stage::Idle;
            let expired = matches!(state.claimants[index].stage(), Stage::Held { .. }) && held.is_none();
            if (idle || expired) && state.rounds[index] < self.0.rounds {
                steps.push(Transition::Claim(index, true));
                if state.highest_claimed > Token(SILENCE_MS) {
                    steps.push(Transition::Claim(index, false));
                }
            }
            if held.is_some() {
                if state.rounds[index] < self.0.rounds {
                    steps.push(Transition::Renew(index));
                }
                if self.0.acts && state.pending_acts[index].is_none() {
                    steps.push(Transition::SetsOut(index));
                }
            }
            if !idle && state.releases < self.0.releases {
                steps.push(Transition::Release(index));
            }
            if state.pending_acts[index].is_some() {
                steps.push(Transition::Arrives(index));
            }
            if state.restarts.1 < self.0.claimant_restarts {
                steps.push(Transition::NewClaimant(index));
            }
        }
        if state.restarts.0 < self.0.voter_restarts {
            steps.extend((0..usize::from(VOTERS)).map(Transition::NewVoter));
        }
        steps.extend((0..state.messages.len()).map(Transition::Comes));
    }

    fn next_state(&self, before: &ModelState<R>, step: Transition) -> Option<ModelState<R>> {
        let mut state = before.clone();
        let now = self.clock(&state, false);
        match step {
            Transition::Tick => state.ticks += 1,
            Transition::Claim(index, next) => {
                state.rounds[index] += 1;
                let (round, instance) = (state.rounds[index], state.claimants[index].instance());
                let floor = if next { state.highest_claimed } else { Token(state.highest_claimed.0 - 1) };
                let token = state.claimants[index].claim(now, round, floor);
                state.highest_claimed = state.highest_claimed.max(token);
                Self::send_to_voters(&mut state, instance, round, VoterRequest::Claim(token));
            }
            Transition::Renew(index) => {
                state.rounds[index] += 1;
                let round = state.rounds[index];
                let instance = state.claimants[index].instance();
                let token = state.claimants[index].renew(now, round)?;
                Self::send_to_voters(&mut state, instance, round, VoterRequest::Claim(token));
            }
            Transition::Release(index) => {
                state.releases += 1;
                let instance = state.claimants[index].instance();
                let token = state.claimants[index].stop()?;
                Self::send_to_voters(&mut state, instance, 0, VoterRequest::Release(token));
            }
            Transition::Comes(index) => {
                let message = *state.messages.iter().nth(index)?;
                self.deliver(&mut state, message);
            }
            Transition::SetsOut(index) => state.pending_acts[index] = state.claimants[index].holds(now),
            Transition::Arrives(index) => {
                let token = state.pending_acts[index].take()?;
                if token < state.gate_token && self.0.faults.no_gate {
                    state.violation = Some("an old token was let through");
                }
                state.gate_token = state.gate_token.max(token);
            }
            Transition::NewVoter(index) => {
                state.restarts.0 += 1;
                let wall = SILENCE_MS + u64::from(state.ticks) * TOKENS_PER_TICK;
                state.voters[index] = Voter::new(self.clock(&state, true), TERM, wall);
                state.highest_claimed = state.highest_claimed.max(Token(wall + SILENCE_MS));
            }
            Transition::NewClaimant(index) => {
                state.restarts.1 += 1;
                let instance = state.claimants[index].instance();
                state.claimants[index] = Claimant::new(
                    PoolerInstance { incarnation: instance.incarnation + 1, ..instance },
                    TERM,
                    DRIFT_PER_MILLE,
                );
                // Rounds start from zero again; an act on its way to the gate remains.
                state.rounds[index] = 0;
            }
        }
        self.check_holders(&mut state);
        self.prune(&mut state);
        // A step without effect leads to no new state.
        (state != *before).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("the rules hold", |_, state| state.violation.is_none()),
            // Without a change of holder, the check would prove nothing.
            Property::<Self>::sometimes("the task changes hands", |_, state| {
                state.past_holders.iter().map(|instance| instance.number).collect::<BTreeSet<_>>().len() > 1
            }),
        ]
    }
}

/// Result of a check.
#[derive(Clone, Debug)]
pub struct CheckResult {
    /// Number of unique states.
    pub states: usize,
    /// Whether all states within the bounds were explored.
    pub complete: bool,
    /// Number of steps of the longest path.
    pub depth: usize,
    /// The rule that was broken, with the steps that lead there.
    pub violation: Option<(&'static str, Vec<Transition>)>,
    /// Whether the task was held by one claimant and then by the other.
    pub changed_hands: bool,
}

/// Explores all states within these bounds, up to `max_states` generated states.
#[must_use]
pub fn check<R: LeaseRules + Send + Sync>(bounds: Bounds, threads: usize, max_states: usize) -> CheckResult {
    let checker = LeaseModel::<R>(bounds, PhantomData)
        .checker()
        .threads(threads)
        .target_state_count(max_states)
        .spawn_bfs()
        .join();
    let discoveries = checker.discoveries();
    let violation = discoveries
        .get("the rules hold")
        .map(|path| (path.last_state().violation.unwrap_or(""), path.clone().into_actions()));
    let changed_hands = discoveries.contains_key("the task changes hands");
    let complete = checker.state_count() < max_states;
    CheckResult {
        states: checker.unique_state_count(),
        complete,
        depth: checker.max_depth(),
        violation,
        changed_hands,
    }
}
