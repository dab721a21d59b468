//! Model checking of the votes: the same [`Voter`] and [`Claimant`] that serve, stepped by stateright through all orders in
//! which letters come, are lost or come again, clocks run wrong, processes pause and start anew, within stated bounds.
//!
//! A letter that was sent may come at any time, any number of times, or never. Who is paused is one to whom nothing happens
//! for a while, in the middle of an act as well: an act is checked by its holder in one step and comes to the gate in another.
//! Asking only tells which token to claim with; here a claimant is told the highest that there is or one below it.

use super::mutants::Wrong;
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
/// The term, what a clock that runs right goes on by in a step of time, and the stated drift in a thousand.
const TERM: Span = Span(12_000);
const TICK: i64 = 4_000;
const DRIFT: u16 = 200;
/// A wall clock goes on by more than there are tokens in that time.
const TOKENS_A_TICK: u64 = 16;
/// What a wall clock goes on by while a voter is silent.
const SILENT_MS: u64 = TERM.0 as u64 / 1_000;

/// How far the exploration goes.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Steps of time, three to a term.
    pub ticks: u8,
    /// Rounds that each claimant begins.
    pub rounds: u32,
    /// Voters that start anew.
    pub voters: u8,
    /// Claimants that start anew.
    pub claimants: u8,
    /// Tasks given up.
    pub releases: u8,
    /// Whether acts are followed to the gate.
    pub acts: bool,
    /// Whether clocks run wrong, by what was stated: claimants' slow and voters' fast.
    pub drift: bool,
    /// What is wrong on purpose outside of the votes.
    pub wrong: Wrong,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Says {
    Claim(Token),
    Release(Token),
}

/// A letter that was sent once, and may come ever after.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Letter {
    ToVoter { voter: u16, who: PoolerInstance, round: u32, says: Says },
    ToClaimant { who: PoolerInstance, voter: u16, round: u32 },
}

/// A state of the whole.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World<R> {
    ticks: u8,
    voters: Vec<Voter<R>>,
    claimants: Vec<Claimant<R>>,
    rounds: Vec<u32>,
    letters: BTreeSet<Letter>,
    restarts: (u8, u8),
    releases: u8,
    /// An act that its holder has checked, and that has not come to the gate yet.
    acting: Vec<Option<Token>>,
    gate: Token,
    /// The highest token that was claimed with.
    top: Token,
    highest_held: Token,
    held_once: BTreeSet<PoolerInstance>,
    wrong: Option<&'static str>,
}

/// What happens next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Happens {
    /// Time goes on.
    Tick,
    /// A claimant claims, having been told the highest token there is, or one below it.
    Claim(usize, bool),
    /// A holder renews.
    Renew(usize),
    /// A holder gives the task up, or a claimant its claim.
    Release(usize),
    /// A letter comes: this one of those in order.
    Comes(usize),
    /// A holder looks whether it may act, and sets out.
    SetsOut(usize),
    /// The act comes to the gate.
    Arrives(usize),
    /// A voter starts anew.
    NewVoter(usize),
    /// A claimant starts anew.
    NewClaimant(usize),
}

struct Race<R>(Bounds, PhantomData<R>);

impl<R: LeaseRules> Race<R> {
    fn rate(&self, voter: bool) -> i64 {
        let wrong = TICK * i64::from(DRIFT) / 1_000;
        match (self.0.drift, voter) {
            (false, _) => TICK,
            (true, true) => TICK + wrong,
            (true, false) => TICK - wrong,
        }
    }

    fn clock(&self, world: &World<R>, voter: bool) -> Time {
        Time(i64::from(world.ticks) * self.rate(voter))
    }

    fn council() -> VoterSet {
        VoterSet::new((0..VOTERS).collect(), Vec::new())
    }

    fn to_voters(world: &mut World<R>, who: PoolerInstance, round: u32, says: Says) {
        world.letters.extend((0..VOTERS).map(|voter| Letter::ToVoter { voter, who, round, says }));
    }

    /// Drops the letters that can change nothing any more: answers to a round that is over.
    fn prune(&self, world: &mut World<R>) {
        let waits = |at: usize, round: u32| match world.claimants[at].stage() {
            Stage::Claiming { round: of, .. } | Stage::Held { renewal: Some(of), .. } => of.number == round,
            _ => false,
        };
        let blind = self.0.wrong.blind_to_lives;
        let kept = |letter: &Letter| match letter {
            Letter::ToVoter { .. } => true,
            Letter::ToClaimant { who, round, .. } => {
                let at = usize::from(who.number);
                blind || *who == world.claimants[at].instance() && waits(at, *round)
            }
        };
        let letters = world.letters.iter().copied().filter(kept).collect();
        world.letters = letters;
    }

    /// Two holders at one moment are wrong whatever a gate does.
    fn look(&self, world: &mut World<R>) {
        let now = self.clock(world, false);
        let holders: Vec<Token> = world.claimants.iter().filter_map(|of| of.holds(now)).collect();
        if holders.len() > 1 {
            world.wrong = Some("two holders");
        }
    }

    fn took(&self, world: &mut World<R>, who: PoolerInstance, token: Token) {
        // A renewal is no new token.
        if token != world.highest_held || !world.held_once.contains(&who) {
            if token <= world.highest_held {
                world.wrong = Some("a token went back");
            }
            world.highest_held = world.highest_held.max(token);
            world.held_once.insert(who);
        }
    }

    fn comes(&self, world: &mut World<R>, letter: Letter) {
        match letter {
            Letter::ToVoter { voter, who, round, says } => {
                let now = self.clock(world, true);
                let of = &mut world.voters[usize::from(voter)];
                let answer = match says {
                    Says::Claim(token) => of.claim(now, TASK, who, token, TERM, round),
                    Says::Release(token) => {
                        of.release(now, TASK, who, token, None);
                        None
                    }
                };
                // A no is as good as lost: who is told so gives up, and may do that at any time.
                if answer.is_some_and(|answer| answer.granted) {
                    world.letters.insert(Letter::ToClaimant { who, voter, round });
                }
            }
            Letter::ToClaimant { who, voter, round } => {
                let at = usize::from(who.number);
                let now = self.clock(world, false);
                let claimant = &mut world.claimants[at];
                if claimant.instance() != who && !self.0.wrong.blind_to_lives {
                    return;
                }
                let own = claimant.instance();
                let answer = Answer { granted: true, floor: Token(0), holder: None };
                match claimant.answer(now, &Self::council(), voter, round, answer) {
                    Step::Wait | Step::Busy | Step::Claim(_) => {}
                    Step::Held(token) => self.took(world, own, token),
                    Step::Rejected(token) => Self::to_voters(world, own, 0, Says::Release(token)),
                }
            }
        }
    }
}

impl<R: LeaseRules> Model for Race<R> {
    type State = World<R>;
    type Action = Happens;

    fn init_states(&self) -> Vec<World<R>> {
        let claimant = |number| Claimant::new(PoolerInstance { number, incarnation: 1 }, TERM, DRIFT);
        vec![World {
            ticks: 0,
            // They have been up for as long as they were silent, so that they vote from now on.
            voters: (0..VOTERS).map(|_| Voter::new(Time(-TERM.0), TERM, 0)).collect(),
            claimants: (0..CLAIMANTS as u16).map(claimant).collect(),
            rounds: vec![0; CLAIMANTS],
            letters: BTreeSet::new(),
            restarts: (0, 0),
            releases: 0,
            acting: vec![None; CLAIMANTS],
            gate: Token(0),
            top: Token(SILENT_MS),
            highest_held: Token(0),
            held_once: BTreeSet::new(),
            wrong: None,
        }]
    }

    fn actions(&self, world: &World<R>, steps: &mut Vec<Happens>) {
        if world.wrong.is_some() {
            return;
        }
        if world.ticks < self.0.ticks {
            steps.push(Happens::Tick);
        }
        let now = self.clock(world, false);
        for at in 0..CLAIMANTS {
            let held = world.claimants[at].holds(now);
            let idle = *world.claimants[at].stage() == Stage::Idle;
            let over = matches!(world.claimants[at].stage(), Stage::Held { .. }) && held.is_none();
            if (idle || over) && world.rounds[at] < self.0.rounds {
                steps.push(Happens::Claim(at, true));
                if world.top > Token(SILENT_MS) {
                    steps.push(Happens::Claim(at, false));
                }
            }
            if held.is_some() {
                if world.rounds[at] < self.0.rounds {
                    steps.push(Happens::Renew(at));
                }
                if self.0.acts && world.acting[at].is_none() {
                    steps.push(Happens::SetsOut(at));
                }
            }
            if !idle && world.releases < self.0.releases {
                steps.push(Happens::Release(at));
            }
            if world.acting[at].is_some() {
                steps.push(Happens::Arrives(at));
            }
            if world.restarts.1 < self.0.claimants {
                steps.push(Happens::NewClaimant(at));
            }
        }
        if world.restarts.0 < self.0.voters {
            steps.extend((0..usize::from(VOTERS)).map(Happens::NewVoter));
        }
        steps.extend((0..world.letters.len()).map(Happens::Comes));
    }

    fn next_state(&self, before: &World<R>, step: Happens) -> Option<World<R>> {
        let mut world = before.clone();
        let now = self.clock(&world, false);
        match step {
            Happens::Tick => world.ticks += 1,
            Happens::Claim(at, next) => {
                world.rounds[at] += 1;
                let (round, who) = (world.rounds[at], world.claimants[at].instance());
                let floor = if next { world.top } else { Token(world.top.0 - 1) };
                let token = world.claimants[at].claim(now, round, floor);
                world.top = world.top.max(token);
                Self::to_voters(&mut world, who, round, Says::Claim(token));
            }
            Happens::Renew(at) => {
                world.rounds[at] += 1;
                let round = world.rounds[at];
                let who = world.claimants[at].instance();
                let token = world.claimants[at].renew(now, round)?;
                Self::to_voters(&mut world, who, round, Says::Claim(token));
            }
            Happens::Release(at) => {
                world.releases += 1;
                let who = world.claimants[at].instance();
                let token = world.claimants[at].stop()?;
                Self::to_voters(&mut world, who, 0, Says::Release(token));
            }
            Happens::Comes(at) => {
                let letter = *world.letters.iter().nth(at)?;
                self.comes(&mut world, letter);
            }
            Happens::SetsOut(at) => world.acting[at] = world.claimants[at].holds(now),
            Happens::Arrives(at) => {
                let token = world.acting[at].take()?;
                if token < world.gate && self.0.wrong.no_gate {
                    world.wrong = Some("an old token was let through");
                }
                world.gate = world.gate.max(token);
            }
            Happens::NewVoter(at) => {
                world.restarts.0 += 1;
                let wall = SILENT_MS + u64::from(world.ticks) * TOKENS_A_TICK;
                world.voters[at] = Voter::new(self.clock(&world, true), TERM, wall);
                world.top = world.top.max(Token(wall + SILENT_MS));
            }
            Happens::NewClaimant(at) => {
                world.restarts.1 += 1;
                let who = world.claimants[at].instance();
                world.claimants[at] =
                    Claimant::new(PoolerInstance { incarnation: who.incarnation + 1, ..who }, TERM, DRIFT);
                // Rounds begin anew; what was on its way to the gate still is.
                world.rounds[at] = 0;
            }
        }
        self.look(&mut world);
        self.prune(&mut world);
        // What changed nothing is no other state.
        (world != *before).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("the rules hold", |_, world| world.wrong.is_none()),
            // Else the check would show nothing.
            Property::<Self>::sometimes("the task changes hands", |_, world| {
                world.held_once.iter().map(|who| who.number).collect::<BTreeSet<_>>().len() > 1
            }),
        ]
    }
}

/// What a check found.
#[derive(Clone, Debug)]
pub struct Found {
    /// Different states.
    pub states: usize,
    /// All states within the bounds were looked at.
    pub whole: bool,
    /// How many steps the deepest course has.
    pub depth: usize,
    /// What went wrong, with the steps that lead there.
    pub wrong: Option<(&'static str, Vec<Happens>)>,
    /// Whether the task was had by one and then by the other.
    pub changed_hands: bool,
}

/// Checks all states within these bounds, or as many as `most`.
#[must_use]
pub fn check<R: LeaseRules + Send + Sync>(bounds: Bounds, threads: usize, most: usize) -> Found {
    let checker =
        Race::<R>(bounds, PhantomData).checker().threads(threads).target_state_count(most).spawn_bfs().join();
    let discoveries = checker.discoveries();
    let wrong = discoveries
        .get("the rules hold")
        .map(|path| (path.last_state().wrong.unwrap_or(""), path.clone().into_actions()));
    let changed_hands = discoveries.contains_key("the task changes hands");
    let whole = checker.state_count() < most;
    Found { states: checker.unique_state_count(), whole, depth: checker.max_depth(), wrong, changed_hands }
}
