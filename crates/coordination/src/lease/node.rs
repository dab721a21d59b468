//! The lease protocol of one pooler: its vote if it is a voter, its claims, what it observes, and the datagrams
//! for these. Datagrams and timestamps go in; datagrams and the time of the next call come out.

use super::message::{Body, Datagram, DatagramError, HeldTask, Key, Position, decode, encode};
use super::{
    Answer, Claimant, Holder, LeaseRules, MAX_TASKS, PoolerInstance, Stage, Step, TaskId, Token, Voter,
    VoterSet,
};
use crate::work;
use linnetdeal_core::peers::To;
use linnetdeal_core::{Span, Time};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Maximum number of incarnations remembered for each pooler: enough for two processes of one name and their
/// predecessor.
const MAX_INCARNATIONS: usize = 4;
/// A datagram whose sequence number is this far behind the sender's newest is rejected as a replay.
const REPLAY_WINDOW: u64 = 64;
/// Datagrams accepted from one sender per second, and the size of a burst.
const MAX_DATAGRAMS_PER_S: i64 = 200;
/// Maximum number of queued events, and of events that are reported only once; also of received positions and
/// work messages that wait.
const MAX_EVENTS: usize = 256;
/// Maximum pause of a pooler that finds no quorum, in terms.
const MAX_PAUSE_TERMS: i64 = 2;
/// A round is sent this many times, a sixteenth of the term apart, before it is given up.
const MAX_SENDS: u32 = 4;

/// A task as configured.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskSetup {
    /// Its name.
    pub name: String,
    /// How long a grant lasts.
    pub term: Span,
    /// Whether this pooler claims it.
    pub wanted: bool,
}

/// Configuration of the lease protocol of one pooler.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseSetup {
    /// This process.
    pub me: PoolerInstance,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Name of the installation.
    pub site: String,
    /// Version of the voter set; poolers with different versions do not communicate.
    pub version: u32,
    /// The voters.
    pub voters: BTreeSet<u16>,
    /// Earlier sets that other processes may still use.
    pub previous: Vec<BTreeSet<u16>>,
    /// Maximum error of clock rates, in parts per thousand.
    pub drift: u16,
    /// Maximum term of all tasks; a voter with empty memory stays silent for this long.
    pub max_term: Span,
    /// Signing keys: the first one signs, all are accepted.
    pub keys: Vec<Key>,
    /// The tasks.
    pub tasks: Vec<TaskSetup>,
    /// The wall clock, in ms since 1970. `docs/design/leases.md` says what happens where it is wrong.
    pub wall_ms: u64,
}

/// A task as seen by one pooler.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskView {
    /// The task's name.
    pub name: String,
    /// The holder as far as known, with the time left.
    pub holder: Option<Holder>,
    /// This pooler's token, with the time left to act with it.
    pub own: Option<(Token, Span)>,
    /// The highest token observed.
    pub highest: Token,
}

/// An event to be logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LeaseEvent {
    /// This pooler has become the holder of the task.
    Gained(TaskId, Token),
    /// It is no longer the holder.
    Lost(TaskId, Token),
    /// It has released the task.
    Released(TaskId, Token),
    /// The pooler of this number uses another version of the voter set.
    VersionMismatch(u16, u32),
    /// The pooler of this number is of another installation, or has other terms or another drift.
    SiteMismatch(u16),
    /// A datagram from the address of this pooler was altered, or is signed with an unknown key.
    BadSignature(u16),
    /// Two processes answer as the voter of this number; neither counts.
    DuplicateVoter(u16),
}

struct Task<R> {
    name: String,
    term: Span,
    wanted: bool,
    claimant: Claimant<R>,
    /// When the next step of the own claim is due, or the next check whether the task is free.
    due: Time,
    /// How often the present round was sent.
    sends: u32,
    backoff: Span,
    /// The holder as last reported, and when that was.
    last_holder: Option<(Holder, Time)>,
    highest: Token,
    /// The task was offered to this pooler: until then it claims without waiting for others.
    offered_until: Time,
}

impl<R: LeaseRules> Task<R> {
    fn new((now, me, drift): (Time, PoolerInstance, u16), rng: &mut ChaCha8Rng, config: TaskSetup) -> Self {
        Self {
            claimant: Claimant::new(me, config.term, drift),
            due: now + Span(random_below(rng, config.term.0 / 2)),
            sends: 0,
            backoff: Span(config.term.0 / 8),
            last_holder: None,
            highest: Token(0),
            offered_until: now,
            term: config.term,
            wanted: config.wanted,
            name: config.name,
        }
    }
}

#[derive(Clone, Debug)]
struct Incarnation {
    incarnation: u64,
    newest: u64,
    seen_bits: u64,
    heard_at: Time,
}

struct Peer {
    incarnations: VecDeque<Incarnation>,
    allowance: i64,
    refilled_at: Time,
    heard_at: Time,
}

impl Peer {
    /// Whether this datagram is new. A replay is accepted where the incarnation was forgotten or the receiver
    /// has lost its memory: then token floors and running grants reject it, or it costs one term.
    fn is_new(&mut self, now: Time, sender: PoolerInstance, number: u64) -> bool {
        if !self.incarnations.iter().any(|state| state.incarnation == sender.incarnation) {
            if self.incarnations.len() == MAX_INCARNATIONS {
                self.incarnations.pop_front();
            }
            self.incarnations.push_back(Incarnation {
                incarnation: sender.incarnation,
                newest: number,
                seen_bits: 1,
                heard_at: now,
            });
            return true;
        }
        let Some(state) = self.incarnations.iter_mut().find(|state| state.incarnation == sender.incarnation)
        else {
            return false;
        };
        if number > state.newest {
            state.heard_at = now;
            let ahead = number - state.newest;
            state.seen_bits = if ahead < REPLAY_WINDOW { state.seen_bits << ahead | 1 } else { 1 };
            state.newest = number;
            return true;
        }
        let behind = state.newest - number;
        let new = behind < REPLAY_WINDOW && state.seen_bits & 1 << behind == 0;
        if new {
            state.seen_bits |= 1 << behind;
        }
        new
    }

    fn spend_allowance(&mut self, now: Time) -> bool {
        let refill = (now - self.refilled_at).0.saturating_mul(MAX_DATAGRAMS_PER_S) / 1_000_000;
        if refill > 0 {
            self.refilled_at = now;
            self.allowance = self.allowance.saturating_add(refill).min(MAX_DATAGRAMS_PER_S);
        }
        self.allowance -= 1;
        self.allowance >= 0 || {
            self.allowance = 0;
            false
        }
    }
}

/// The lease protocol of one pooler.
pub struct Node<R> {
    me: PoolerInstance,
    site: u32,
    version: u32,
    max_term: Span,
    min_term: Span,
    keys: Vec<Key>,
    voter_set: VoterSet,
    voters: BTreeSet<u16>,
    voter: Option<Voter<R>>,
    tasks: BTreeMap<TaskId, Task<R>>,
    rng: ChaCha8Rng,
    sent_datagrams: u64,
    rounds: u32,
    /// State by sender's number: at most one entry per pooler.
    peers: BTreeMap<u16, Peer>,
    /// The list request that waits for its answer: round, and the task after which it starts.
    list_request: Option<(u32, Option<TaskId>)>,
    list_due: Time,
    list_pause: Span,
    /// List requests in a row without an answer.
    unanswered_lists: u32,
    /// Messages that this pooler sends to itself.
    local_queue: VecDeque<Body>,
    /// Positions received from holders and not taken yet.
    positions: Vec<Position>,
    /// Messages of the maintenance plan, received and not taken yet.
    work: Vec<(PoolerInstance, work::Message)>,
    /// All tasks were given up: offers are ignored.
    leaving: bool,
    drift: u16,
    outgoing: Vec<(To, Vec<u8>)>,
    events: Vec<LeaseEvent>,
    reported: BTreeSet<LeaseEvent>,
}

impl<R: LeaseRules> Node<R> {
    /// A pooler that has just started.
    #[must_use]
    pub fn new(now: Time, setup: LeaseSetup) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(setup.seed ^ setup.me.incarnation);
        let voter_set = VoterSet::new(setup.voters, setup.previous);
        let voters = voter_set.all_voters();
        let min_term = setup.tasks.iter().map(|task| task.term).min().unwrap_or(setup.max_term);
        let site = format!("{}\0{}\0{}", setup.site, setup.max_term.0, setup.drift);
        let context = (now, setup.me, setup.drift);
        let tasks =
            setup.tasks.into_iter().map(|task| (TaskId::of(&task.name), Task::new(context, &mut rng, task)));
        let tasks = tasks.collect();
        Self {
            voter: voters.contains(&setup.me.number).then(|| Voter::new(now, setup.max_term, setup.wall_ms)),
            me: setup.me,
            site: TaskId::of(&site).0,
            version: setup.version,
            max_term: setup.max_term,
            min_term,
            keys: setup.keys,
            voter_set,
            voters,
            tasks,
            sent_datagrams: 0,
            rounds: 0,
            peers: BTreeMap::new(),
            list_request: None,
            list_due: now,
            list_pause: Span(min_term.0 / 8),
            unanswered_lists: 0,
            local_queue: VecDeque::new(),
            positions: Vec::new(),
            work: Vec::new(),
            leaving: false,
            drift: setup.drift,
            outgoing: Vec::new(),
            events: Vec::new(),
            reported: BTreeSet::new(),
            rng,
        }
    }

    /// This process has just opened the poolers' socket, which another process may have had until now.
    /// `wall_ms` is as in [`LeaseSetup::wall_ms`].
    pub fn socket_opened(&mut self, now: Time, wall_ms: u64) {
        if let Some(voter) = &mut self.voter {
            voter.restart_silence(now, self.max_term, wall_ms);
        }
        // Nothing that was requested until now has been sent, and the previous process may have left its tasks
        // to this one.
        (self.list_request, self.unanswered_lists, self.list_due) = (None, 0, now);
        self.list_pause = Span(self.min_term.0 / 8);
    }

    /// The token to act with now. Ask before each act and after each wait, with a clock read then.
    #[must_use]
    pub fn holds(&self, now: Time, task: TaskId) -> Option<Token> {
        self.tasks.get(&task)?.claimant.holds(now)
    }

    /// Takes the datagrams to be sent, with their recipients.
    pub fn take_datagrams(&mut self) -> Vec<(To, Vec<u8>)> {
        std::mem::take(&mut self.outgoing)
    }

    /// Takes the events to be logged.
    pub fn take_events(&mut self) -> Vec<LeaseEvent> {
        std::mem::take(&mut self.events)
    }

    /// When [`Node::tick`] is to be called next, unless a datagram arrives before.
    #[must_use]
    pub fn due(&self) -> Time {
        self.tasks.values().map(|task| task.due).fold(self.list_due, Time::min)
    }

    /// Adds a task found at run time; `false` where there are as many as a voter remembers, or its term is too
    /// long.
    pub fn add(&mut self, now: Time, task: TaskSetup) -> bool {
        let id = TaskId::of(&task.name);
        if self.tasks.contains_key(&id) {
            return true;
        }
        if self.tasks.len() >= MAX_TASKS || task.term > self.max_term {
            return false;
        }
        self.min_term = self.min_term.min(task.term);
        self.tasks.insert(id, Task::new((now, self.me, self.drift), &mut self.rng, task));
        true
    }

    /// Sends positions of members to all other poolers, if this pooler holds the task.
    pub fn publish_positions(&mut self, now: Time, task: TaskId, positions: &[Position]) {
        if self.holds(now, task).is_none() {
            return;
        }
        // One datagram for all poolers: where there is a broadcast address it is sent once.
        for chunk in positions.chunks(Body::MAX_POSITIONS) {
            self.enqueue(To::All, Body::Positions { task, positions: chunk.to_vec() });
        }
    }

    /// Takes the positions received from holders.
    pub fn take_positions(&mut self) -> Vec<Position> {
        std::mem::take(&mut self.positions)
    }

    /// Takes the received messages of the maintenance plan.
    pub fn take_work_messages(&mut self) -> Vec<(PoolerInstance, work::Message)> {
        std::mem::take(&mut self.work)
    }

    /// Sends a message of the maintenance plan.
    pub fn send_work(&mut self, to: To, message: work::Message) {
        self.enqueue(to, Body::Work(message));
    }

    /// Stops claiming a task until [`Node::acquire`]; releases it if held. A voter goes on voting on it.
    pub fn abstain(&mut self, now: Time, task: TaskId) {
        self.release(now, task, None);
        if let Some(task) = self.tasks.get_mut(&task) {
            task.wanted = false;
        }
    }

    /// Claims a task that this pooler would otherwise leave to others.
    pub fn acquire(&mut self, now: Time, task: TaskId) {
        if let Some(task) = self.tasks.get_mut(&task) {
            task.wanted = true;
            task.due = now;
        }
    }

    /// Releases a task, for `successor` if one is named; returns its token, or `None` where this pooler does
    /// not hold it. No act may be started with the token afterwards.
    pub fn release(&mut self, now: Time, task: TaskId, successor: Option<u16>) -> Option<Token> {
        let held = self.holds(now, task)?;
        let known = self.tasks.get_mut(&task)?;
        known.claimant.stop();
        // Gives others the first chance.
        known.due = now + known.term;
        let term = known.term;
        self.push_event(LeaseEvent::Released(task, held));
        self.send_to_voters(&Body::Release {
            task,
            token: held,
            successor: successor.map(|successor| (successor, term)),
        });
        if let Some(successor) = successor.filter(|successor| *successor != self.me.number) {
            self.send(successor, Body::Offer { task, token: held });
        }
        self.handle_local(now);
        Some(held)
    }

    /// Releases all tasks, to a newer process of this pooler if there is one, and claims none any more.
    pub fn leave(&mut self, now: Time, replaced: bool) {
        self.leaving = true;
        let successor = replaced.then_some(self.me.number);
        let tasks: Vec<TaskId> = self.tasks.keys().copied().collect();
        for task in tasks {
            self.release(now, task, successor);
            if let Some(known) = self.tasks.get_mut(&task) {
                known.wanted = false;
                if let Some(token) = known.claimant.stop() {
                    self.send_to_voters(&Body::Release { task, token, successor: None });
                }
            }
        }
        self.handle_local(now);
    }

    /// Takes note of a token that is known elsewhere, for example because a gate rejected an older one.
    pub fn observe_token(&mut self, now: Time, task: TaskId, token: Token) {
        if let Some(known) = self.tasks.get_mut(&task) {
            known.highest = known.highest.max(token);
            if let Some(voter) = &mut self.voter {
                voter.observe_token(now, task, token);
            }
        }
    }

    /// The tasks as seen by this pooler.
    #[must_use]
    pub fn view(&self, now: Time) -> Vec<TaskView> {
        let view = |task: &Task<R>| {
            let own = match task.claimant.stage() {
                Stage::Held { token, until, .. } if now < *until => Some((*token, *until - now)),
                _ => None,
            };
            let known = task.last_holder.filter(|(holder, at)| *at + holder.remaining > now);
            let last_known =
                known.map(|(holder, at)| Holder { remaining: at + holder.remaining - now, ..holder });
            let own_holder = own.map(|(token, remaining)| Holder { instance: self.me, token, remaining });
            TaskView {
                name: task.name.clone(),
                holder: own_holder.or(last_known),
                own,
                highest: task.highest,
            }
        };
        self.tasks.values().map(view).collect()
    }

    /// The voters, and how long ago each was heard from.
    #[must_use]
    pub fn last_heard(&self, now: Time) -> Vec<(u16, Option<Span>)> {
        let ago = |voter: &u16| match self.peers.get(voter) {
            _ if *voter == self.me.number => Some(Span(0)),
            peer => peer.map(|peer| now - peer.heard_at),
        };
        self.voters.iter().map(|voter| (*voter, ago(voter))).collect()
    }

    /// Whether this pooler is a voter that does not vote yet.
    #[must_use]
    pub fn is_silent(&self, now: Time) -> bool {
        self.voter.as_ref().is_some_and(|voter| voter.is_silent(now))
    }

    /// Handles a datagram from the address of the pooler of this number.
    ///
    /// # Errors
    ///
    /// When it is rejected; it has no effect then.
    pub fn receive(&mut self, now: Time, from: u16, bytes: &[u8]) -> Result<(), DatagramError> {
        let peer = self.peers.entry(from).or_insert_with(|| Peer {
            incarnations: VecDeque::new(),
            allowance: MAX_DATAGRAMS_PER_S,
            refilled_at: now,
            heard_at: Time(i64::MIN / 4),
        });
        if !peer.spend_allowance(now) {
            return Err(DatagramError::RateLimited);
        }
        let datagram = match decode(bytes, &self.keys) {
            Ok(datagram) => datagram,
            Err(error) => {
                if error == DatagramError::BadSignature {
                    self.push_event_once(LeaseEvent::BadSignature(from));
                }
                return Err(error);
            }
        };
        if datagram.sender.number != from {
            return Err(DatagramError::SenderMismatch);
        }
        if datagram.site != self.site {
            self.push_event_once(LeaseEvent::SiteMismatch(from));
            return Err(DatagramError::SiteMismatch);
        }
        if datagram.version != self.version {
            self.push_event_once(LeaseEvent::VersionMismatch(from, datagram.version));
            return Err(DatagramError::VersionMismatch(datagram.version));
        }
        if !peer.is_new(now, datagram.sender, datagram.number) {
            return Err(DatagramError::Replayed);
        }
        peer.heard_at = now;
        // Two processes that answer as one voter do not share memory. A restarted voter is silent for longer
        // than this window, so that a restart is not mistaken for a duplicate.
        let window = Span(self.max_term.0 / 4 * 3);
        let duplicate = peer
            .incarnations
            .iter()
            .any(|other| other.incarnation != datagram.sender.incarnation && now - other.heard_at < window);
        if duplicate && matches!(datagram.body, Body::Answer { .. }) {
            self.push_event_once(LeaseEvent::DuplicateVoter(from));
            return Ok(());
        }
        self.handle(now, datagram.sender, datagram.body);
        self.handle_local(now);
        Ok(())
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Time) {
        let due: Vec<TaskId> =
            self.tasks.iter().filter(|(_, task)| task.due <= now).map(|(id, _)| *id).collect();
        for id in due {
            self.step(now, id);
        }
        if self.list_due <= now {
            self.list_held(now);
        }
        self.handle_local(now);
    }

    fn step(&mut self, now: Time, id: TaskId) {
        let Some(task) = self.tasks.get_mut(&id) else { return };
        match task.claimant.stage() {
            Stage::Held { token, .. } => {
                let token = *token;
                self.rounds = self.rounds.wrapping_add(1);
                let round = self.rounds;
                if task.claimant.renew(now, round).is_none() {
                    task.claimant.stop();
                    task.due = now + Span(random_below(&mut self.rng, task.term.0 / 4));
                    self.push_event(LeaseEvent::Lost(id, token));
                    // Voters may have renewed the grant although their answers were lost.
                    self.send_to_voters(&Body::Release { task: id, token, successor: None });
                    return;
                }
                // Three renewals per term, so that two may be lost.
                task.due = now + Span(task.term.0 * 7 / 24 + random_below(&mut self.rng, task.term.0 / 12));
                let term = task.term;
                self.send_to_voters(&Body::Claim { task: id, round, token, term });
            }
            // Sent again in case it was lost: a voter that has it already grants nothing more.
            Stage::Querying { round, .. } if task.sends < MAX_SENDS => {
                let body = Body::Query { task: id, round: round.number, known: task.highest };
                self.send_round(now, id, &body);
            }
            Stage::Claiming { round, token } if task.sends < MAX_SENDS => {
                let body = Body::Claim { task: id, round: round.number, token: *token, term: task.term };
                self.send_round(now, id, &body);
            }
            Stage::Querying { .. } | Stage::Claiming { .. } => self.back_off(now, id),
            Stage::Idle if task.offered_until > now => self.query(now, id),
            Stage::Idle => {
                let free_at = task
                    .last_holder
                    .map(|(holder, at)| at + holder.remaining)
                    .filter(|free_at| *free_at > now);
                match free_at {
                    Some(free_at) if task.offered_until <= now => {
                        task.due = free_at + Span(random_below(&mut self.rng, task.term.0 / 2));
                    }
                    // Whoever learns first that the task is free queries the voters; until then list requests
                    // are cheaper for all. A list request without an answer is not hurried.
                    _ => {
                        task.due = now + task.term;
                        if self.list_request.is_none() {
                            self.list_due = self.list_due.min(now);
                        }
                    }
                }
            }
        }
    }

    /// Ends a claim that failed: releases what may have been granted, and retries later.
    fn back_off(&mut self, now: Time, id: TaskId) {
        let Some(task) = self.tasks.get_mut(&id) else { return };
        let token = task.claimant.stop();
        let backoff = task.backoff;
        let longest = if task.offered_until > now { task.term.0 / 16 } else { task.term.0 * MAX_PAUSE_TERMS };
        task.backoff = Span((backoff.0 * 2).min(longest));
        task.due = now + Span(backoff.0 / 2 + random_below(&mut self.rng, backoff.0));
        if let Some(token) = token {
            self.send_to_voters(&Body::Release { task: id, token, successor: None });
        }
    }

    fn query(&mut self, now: Time, id: TaskId) {
        let Some(task) = self.tasks.get_mut(&id) else { return };
        if !task.wanted || *task.claimant.stage() != Stage::Idle {
            return;
        }
        self.rounds = self.rounds.wrapping_add(1);
        task.claimant.query(now, self.rounds);
        task.sends = 0;
        let body = Body::Query { task: id, round: self.rounds, known: task.highest };
        self.send_round(now, id, &body);
    }

    /// Sends a query or claim to all voters, and schedules it to be sent again if too few answer.
    fn send_round(&mut self, now: Time, id: TaskId, body: &Body) {
        let Some(task) = self.tasks.get_mut(&id) else { return };
        task.sends += 1;
        task.due = now + Span(task.term.0 / 16);
        self.send_to_voters(body);
    }

    /// Asks one voter which tasks have holders, less and less often while none answers.
    fn list_held(&mut self, now: Time) {
        let others: Vec<u16> = self.voters.iter().copied().filter(|voter| *voter != self.me.number).collect();
        if self.tasks.is_empty() || others.is_empty() {
            self.list_due = now + self.max_term;
            return;
        }
        let is_retry = self.list_request.is_some();
        self.unanswered_lists += u32::from(is_retry);
        if is_retry && self.unanswered_lists % 2 == 0 {
            let longest = self.min_term.0 * MAX_PAUSE_TERMS;
            self.list_pause = Span((self.list_pause.0 * 2).min(longest));
        }
        self.list_due = now + self.list_pause + Span(random_below(&mut self.rng, self.list_pause.0 / 2));
        self.rounds = self.rounds.wrapping_add(1);
        self.list_request = Some((self.rounds, None));
        // After a request without an answer the voter may be dead or the datagram lost: then all are asked.
        let first = self.rng.next_u32() as usize % others.len();
        let recipients = if is_retry { &others[..] } else { &others[first..=first] };
        for voter in recipients {
            self.send(*voter, Body::ListHeld { round: self.rounds, after: None });
        }
    }

    fn handle(&mut self, now: Time, sender: PoolerInstance, body: Body) {
        match body {
            Body::Query { task, round, known } => {
                let Some(voter) = &mut self.voter else { return };
                voter.observe_token(now, task, known);
                if let Some(answer) = voter.query(now, task, sender) {
                    self.send(
                        sender.number,
                        Body::Answer { task, round, incarnation: sender.incarnation, answer },
                    );
                }
            }
            Body::Claim { task, round, token, term } => {
                let Some(voter) = &mut self.voter else { return };
                // A restarted voter is silent for no longer than this.
                if term > self.max_term {
                    return;
                }
                if let Some(answer) = voter.claim(now, task, sender, token, term, round) {
                    self.send(
                        sender.number,
                        Body::Answer { task, round, incarnation: sender.incarnation, answer },
                    );
                }
            }
            Body::Release { task, token, successor } => {
                let successor = successor.map(|(number, term)| (number, term.min(self.max_term)));
                if let Some(voter) = &mut self.voter {
                    voter.release(now, task, sender, token, successor);
                }
            }
            // A grant to an earlier incarnation, or to another process of the same name, is not this one's.
            Body::Answer { incarnation, .. } if incarnation != self.me.incarnation => {}
            Body::Answer { task, round, answer, .. } => {
                self.on_answer(now, sender.number, task, round, answer)
            }
            Body::ListHeld { round, after } => {
                let Some(voter) = self.voter.as_ref().filter(|voter| !voter.is_silent(now)) else { return };
                let mut tasks: Vec<HeldTask> =
                    voter.held_tasks(now, after).take(Body::MAX_HELD_TASKS + 1).collect();
                let more = tasks.len() > Body::MAX_HELD_TASKS;
                tasks.truncate(Body::MAX_HELD_TASKS);
                self.send(sender.number, Body::HeldTasks { round, more, tasks });
            }
            Body::HeldTasks { round, more, tasks } => {
                self.on_held_tasks(now, sender.number, round, more, &tasks)
            }
            // Accepted whoever held the task when the members were asked: a position stays true as a lower
            // bound.
            Body::Positions { task, positions } => {
                if self.tasks.contains_key(&task) && self.positions.len() < MAX_EVENTS {
                    self.positions.extend(positions);
                }
            }
            Body::Work(message) => {
                if self.work.len() < MAX_EVENTS {
                    self.work.push((sender, message));
                }
            }
            // A pooler that is about to end would leave the task unused for a term.
            Body::Offer { .. } if self.leaving => {}
            Body::Offer { task, token } => {
                self.observe_token(now, task, token);
                let Some(known) = self.tasks.get_mut(&task) else { return };
                known.offered_until = now + Span(known.term.0 / 2);
                known.backoff = Span(known.term.0 / 32);
                known.last_holder = None;
                known.wanted = true;
                self.query(now, task);
            }
        }
    }

    fn on_answer(&mut self, now: Time, voter: u16, id: TaskId, number: u32, answer: Answer) {
        let Some(task) = self.tasks.get_mut(&id) else { return };
        task.highest = task.highest.max(answer.floor);
        // Voters can be reached: no need to wait for long.
        task.backoff = task.backoff.min(Span(task.term.0 / 4));
        if let Some(holder) = answer.holder {
            task.last_holder = Some((holder, now));
        }
        let held_before = task.claimant.holds(now);
        match task.claimant.answer(now, &self.voter_set, voter, number, answer) {
            Step::Wait => {}
            Step::Claim(floor) => {
                self.rounds = self.rounds.wrapping_add(1);
                let token = task.claimant.claim(now, self.rounds, floor.max(task.highest));
                task.sends = 0;
                let body = Body::Claim { task: id, round: self.rounds, token, term: task.term };
                self.send_round(now, id, &body);
            }
            Step::Held(token) => {
                task.highest = task.highest.max(token);
                task.backoff = Span(task.term.0 / 8);
                if held_before.is_none() {
                    task.due = now + Span(task.term.0 / 4);
                    self.push_event(LeaseEvent::Gained(id, token));
                }
            }
            Step::Busy => self.back_off(now, id),
            Step::Rejected(token) => {
                self.send_to_voters(&Body::Release { task: id, token, successor: None });
                self.back_off(now, id);
            }
        }
    }

    fn on_held_tasks(&mut self, now: Time, voter: u16, round: u32, more: bool, tasks: &[HeldTask]) {
        let Some((_, after)) = self.list_request.filter(|(number, _)| *number == round) else { return };
        self.list_request = None;
        self.unanswered_lists = 0;
        self.list_pause = Span(self.min_term.0 / 8);
        let last = tasks.last().map(|(task, _)| *task).filter(|_| more);
        let mut unheld = Vec::new();
        for (id, task) in &mut self.tasks {
            if after.is_some_and(|after| *id <= after) || last.is_some_and(|last| *id > last) {
                continue;
            }
            let reserved = PoolerInstance { number: self.me.number, incarnation: 0 };
            match tasks.iter().find(|(listed, _)| listed == id) {
                // Reserved for this pooler.
                Some((_, holder)) if holder.instance == reserved => unheld.push(*id),
                Some((_, holder)) => {
                    task.highest = task.highest.max(holder.token);
                    task.last_holder = Some((*holder, now));
                    if *task.claimant.stage() == Stage::Idle {
                        task.due =
                            now + holder.remaining + Span(random_below(&mut self.rng, task.term.0 / 2));
                    }
                }
                None => {
                    task.last_holder = None;
                    unheld.push(*id);
                }
            }
        }
        for id in unheld {
            self.query(now, id);
        }
        match last {
            Some(last) => {
                self.rounds = self.rounds.wrapping_add(1);
                self.list_request = Some((self.rounds, Some(last)));
                self.send(voter, Body::ListHeld { round: self.rounds, after: Some(last) });
            }
            // The next request is due when a task may become free; tasks held by this pooler need none.
            None => {
                let waiting = self.tasks.values().filter(|task| *task.claimant.stage() == Stage::Idle);
                let next = waiting.map(|task| task.due).min().unwrap_or(now + self.max_term);
                self.list_due = next.max(now + Span(self.min_term.0 / 4));
            }
        }
    }

    fn send_to_voters(&mut self, body: &Body) {
        for voter in self.voters.clone() {
            self.send(voter, body.clone());
        }
    }

    fn send(&mut self, to: u16, body: Body) {
        if to == self.me.number {
            self.local_queue.push_back(body);
            return;
        }
        self.enqueue(To::One(to.into()), body);
    }

    fn enqueue(&mut self, to: To, body: Body) {
        self.sent_datagrams += 1;
        let (site, version) = (self.site, self.version);
        let datagram = Datagram { site, version, sender: self.me, number: self.sent_datagrams, body };
        if let Some(key) = self.keys.first() {
            self.outgoing.push((to, encode(&datagram, key)));
        }
    }

    /// Handles what this pooler sends to itself. An answer may lead to a claim and one more answer, and no
    /// further.
    fn handle_local(&mut self, now: Time) {
        while let Some(body) = self.local_queue.pop_front() {
            self.handle(now, self.me, body);
        }
    }

    fn push_event(&mut self, event: LeaseEvent) {
        if self.events.len() < MAX_EVENTS {
            self.events.push(event);
        }
    }

    fn push_event_once(&mut self, event: LeaseEvent) {
        if self.reported.len() < MAX_EVENTS && self.reported.insert(event) {
            self.push_event(event);
        }
    }
}

/// A random number from 0 up to `bound`, which is excluded.
fn random_below(rng: &mut ChaCha8Rng, bound: i64) -> i64 {
    (rng.next_u64() >> 1) as i64 % bound.max(1)
}
