//! All of one pooler: its vote if it has one, its claims, what it watches, and the letters for these. Datagrams and times
//! come in, datagrams and the time of the next call go out.

use super::message::{Body, DatagramError, Key, Letter, Position, Seen, open, seal};
use super::{
    Answer, Claimant, Holder, LeaseRules, MOST_TASKS, PoolerInstance, Stage, Step, TaskId, Token, Voter,
    VoterSet,
};
use crate::work;
use linnetdeal_core::peers::To;
use linnetdeal_core::{Span, Time};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Lives of one number that are told apart: two processes of one name, and the one before.
const MOST_LIVES: usize = 4;
/// A letter this much older than the newest of its sender is taken for a replay.
const WINDOW: u64 = 64;
/// So many letters of one sender are looked into a second, and as many at once.
const MOST_LETTERS: i64 = 200;
/// What is found out about who talks is told once for each, up to so many.
const MOST_NOTES: usize = 256;
/// The longest pause of who finds no majority, in terms.
const LONGEST_PAUSE: i64 = 2;
/// A round is sent so often, a sixteenth of the term apart, before it is given up.
const SENDS: u32 = 4;

/// A task as an installation has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskSetup {
    /// Its name.
    pub name: String,
    /// A grant lasts so long.
    pub term: Span,
    /// This pooler wants it.
    pub wanted: bool,
}

/// How a pooler takes part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseSetup {
    /// This life of this pooler.
    pub me: PoolerInstance,
    /// For what is drawn by chance.
    pub seed: u64,
    /// The installation.
    pub site: String,
    /// The version of the set of voters; unlike ones don't talk.
    pub version: u32,
    /// The voters.
    pub voters: BTreeSet<u16>,
    /// Sets that other processes may still go by.
    pub previous: Vec<BTreeSet<u16>>,
    /// Clocks run wrong by up to so many parts in a thousand.
    pub drift: u16,
    /// No term is longer; a voter without memory is silent for so long.
    pub max_term: Span,
    /// The first signs, all are believed.
    pub keys: Vec<Key>,
    /// What there is to do.
    pub tasks: Vec<TaskSetup>,
    /// The wall clock, in ms since 1970; where it is wrong, see the design note.
    pub wall_ms: u64,
}

/// A task as one pooler sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskView {
    /// The task's name.
    pub name: String,
    /// Who has it as far as is known, and for how long still.
    pub holder: Option<Holder>,
    /// This pooler's token and the time left to act with it.
    pub own: Option<(Token, Span)>,
    /// The highest token that was heard of.
    pub highest: Token,
}

/// Something for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LeaseEvent {
    /// The task is this pooler's.
    Gained(TaskId, Token),
    /// It is no longer.
    Lost(TaskId, Token),
    /// It was given away.
    Released(TaskId, Token),
    /// The pooler of this number goes by another version of the voters.
    VersionMismatch(u16, u32),
    /// The pooler of this number is of another site.
    SiteMismatch(u16),
    /// A datagram from the address of this pooler was altered or has no key of ours.
    BadSignature(u16),
    /// Two processes answer for the voter of this number; neither counts.
    DuplicateVoter(u16),
}

struct Task<R> {
    name: String,
    term: Span,
    wanted: bool,
    claimant: Claimant<R>,
    /// The next step of an own claim, or when it is looked again who has the task.
    due: Time,
    /// How often the present round was sent.
    sent: u32,
    pause: Span,
    /// Who has it, as told then.
    known: Option<(Holder, Time)>,
    highest: Token,
    /// Nobody's claims are in the way until then: it was handed to this pooler.
    offered: Time,
}

impl<R: LeaseRules> Task<R> {
    fn new((now, me, drift): (Time, PoolerInstance, u16), rng: &mut ChaCha8Rng, of: TaskSetup) -> Self {
        Self {
            claimant: Claimant::new(me, of.term, drift),
            due: now + Span(part(rng, of.term.0 / 2)),
            sent: 0,
            pause: Span(of.term.0 / 8),
            known: None,
            highest: Token(0),
            offered: now,
            term: of.term,
            wanted: of.wanted,
            name: of.name,
        }
    }
}

#[derive(Clone, Debug)]
struct Life {
    life: u64,
    newest: u64,
    seen: u64,
    last: Time,
}

struct Ear {
    lives: VecDeque<Life>,
    allowance: i64,
    at: Time,
    last: Time,
}

impl Ear {
    /// Whether this letter is new. Of a life that was forgotten, and of a receiver that has forgotten all, a replay is taken
    /// for new: then floors and running grants turn it away, or it costs a term.
    fn is_new(&mut self, now: Time, sender: PoolerInstance, number: u64) -> bool {
        if !self.lives.iter().any(|life| life.life == sender.incarnation) {
            if self.lives.len() == MOST_LIVES {
                self.lives.pop_front();
            }
            self.lives.push_back(Life { life: sender.incarnation, newest: number, seen: 1, last: now });
            return true;
        }
        let Some(life) = self.lives.iter_mut().find(|life| life.life == sender.incarnation) else {
            return false;
        };
        if number > life.newest {
            life.last = now;
            let ahead = number - life.newest;
            life.seen = if ahead < WINDOW { life.seen << ahead | 1 } else { 1 };
            life.newest = number;
            return true;
        }
        let behind = life.newest - number;
        let new = behind < WINDOW && life.seen & 1 << behind == 0;
        if new {
            life.seen |= 1 << behind;
        }
        new
    }

    fn may(&mut self, now: Time) -> bool {
        let earned = (now - self.at).0.saturating_mul(MOST_LETTERS) / 1_000_000;
        if earned > 0 {
            self.at = now;
            self.allowance = self.allowance.saturating_add(earned).min(MOST_LETTERS);
        }
        self.allowance -= 1;
        self.allowance >= 0 || {
            self.allowance = 0;
            false
        }
    }
}

/// One pooler.
pub struct Node<R> {
    me: PoolerInstance,
    site: u32,
    version: u32,
    longest: Span,
    shortest: Span,
    keys: Vec<Key>,
    council: VoterSet,
    voters: BTreeSet<u16>,
    voter: Option<Voter<R>>,
    tasks: BTreeMap<TaskId, Task<R>>,
    rng: ChaCha8Rng,
    letters: u64,
    rounds: u32,
    /// By the number of the sender: as many as there are poolers.
    ears: BTreeMap<u16, Ear>,
    /// The look that waits for its answer, and when one is due.
    look: Option<(u32, Option<TaskId>)>,
    look_due: Time,
    look_pause: Span,
    /// Looks in a row that nobody has answered.
    unanswered: u32,
    /// What is for this pooler itself.
    own: VecDeque<Body>,
    /// What holders have told of members.
    positions: Vec<Position>,
    /// What others have said of machines out for work.
    work: Vec<(PoolerInstance, work::Message)>,
    /// All was given up: nothing is taken any more.
    leaving: bool,
    drift: u16,
    out: Vec<(To, Vec<u8>)>,
    notes: Vec<LeaseEvent>,
    noted: BTreeSet<LeaseEvent>,
}

impl<R: LeaseRules> Node<R> {
    /// A pooler that has just started.
    #[must_use]
    pub fn new(now: Time, setup: LeaseSetup) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(setup.seed ^ setup.me.incarnation);
        let council = VoterSet::new(setup.voters, setup.previous);
        let voters = council.asked();
        let shortest = setup.tasks.iter().map(|task| task.term).min().unwrap_or(setup.max_term);
        let site = format!("{}\0{}\0{}", setup.site, setup.max_term.0, setup.drift);
        let of = (now, setup.me, setup.drift);
        let tasks =
            setup.tasks.into_iter().map(|task| (TaskId::of(&task.name), Task::new(of, &mut rng, task)));
        let tasks = tasks.collect();
        Self {
            voter: voters.contains(&setup.me.number).then(|| Voter::new(now, setup.max_term, setup.wall_ms)),
            me: setup.me,
            site: TaskId::of(&site).0,
            version: setup.version,
            longest: setup.max_term,
            shortest,
            keys: setup.keys,
            council,
            voters,
            tasks,
            letters: 0,
            rounds: 0,
            ears: BTreeMap::new(),
            look: None,
            look_due: now,
            look_pause: Span(shortest.0 / 8),
            unanswered: 0,
            own: VecDeque::new(),
            positions: Vec::new(),
            work: Vec::new(),
            leaving: false,
            drift: setup.drift,
            out: Vec::new(),
            notes: Vec::new(),
            noted: BTreeSet::new(),
            rng,
        }
    }

    /// The poolers' address is this process's from now on, and was another's until now, perhaps. `wall` is as in
    /// [`LeaseSetup::wall_ms`].
    pub fn socket_opened(&mut self, now: Time, wall: u64) {
        if let Some(voter) = &mut self.voter {
            voter.hush(now, self.longest, wall);
        }
        // Nothing that was asked until now has gone out, and the process before may have left its tasks to this one.
        (self.look, self.unanswered, self.look_due) = (None, 0, now);
        self.look_pause = Span(self.shortest.0 / 8);
    }

    /// The token to act with now: to be asked before each act and after each wait, with a clock that is read then.
    #[must_use]
    pub fn holds(&self, now: Time, task: TaskId) -> Option<Token> {
        self.tasks.get(&task)?.claimant.holds(now)
    }

    /// The datagrams to be sent, each with whom it is for.
    pub fn take_datagrams(&mut self) -> Vec<(To, Vec<u8>)> {
        std::mem::take(&mut self.out)
    }

    /// What is to be logged.
    pub fn take_events(&mut self) -> Vec<LeaseEvent> {
        std::mem::take(&mut self.notes)
    }

    /// When [`Node::tick`] is to be called next, if nothing comes before.
    #[must_use]
    pub fn due(&self) -> Time {
        self.tasks.values().map(|task| task.due).fold(self.look_due, Time::min)
    }

    /// One more task, found while serving; false where there are as many as a voter remembers.
    pub fn add(&mut self, now: Time, task: TaskSetup) -> bool {
        let id = TaskId::of(&task.name);
        if self.tasks.contains_key(&id) {
            return true;
        }
        if self.tasks.len() >= MOST_TASKS || task.term > self.longest {
            return false;
        }
        self.shortest = self.shortest.min(task.term);
        self.tasks.insert(id, Task::new((now, self.me, self.drift), &mut self.rng, task));
        true
    }

    /// Tells all other poolers what members said, as long as the task is this pooler's.
    pub fn publish_positions(&mut self, now: Time, task: TaskId, positions: &[Position]) {
        if self.holds(now, task).is_none() {
            return;
        }
        // One letter for all: where there is an address of all it is sent once.
        for part in positions.chunks(Body::MOST_POSITIONS) {
            self.put(To::All, Body::Positions { task, positions: part.to_vec() });
        }
    }

    /// What holders have told of members since.
    pub fn take_positions(&mut self) -> Vec<Position> {
        std::mem::take(&mut self.positions)
    }

    /// What others have said of machines out for work since.
    pub fn take_work_messages(&mut self) -> Vec<(PoolerInstance, work::Message)> {
        std::mem::take(&mut self.work)
    }

    /// Says something of machines out for work.
    pub fn send_work(&mut self, to: To, note: work::Message) {
        self.put(to, Body::Work(note));
    }

    /// Takes no more part in a task than a voter does, until [`Node::acquire`].
    pub fn abstain(&mut self, now: Time, task: TaskId) {
        self.release(now, task, None);
        if let Some(task) = self.tasks.get_mut(&task) {
            task.wanted = false;
        }
    }

    /// Takes part in a task that this pooler would leave to others.
    pub fn acquire(&mut self, now: Time, task: TaskId) {
        if let Some(task) = self.tasks.get_mut(&task) {
            task.wanted = true;
            task.due = now;
        }
    }

    /// Gives a task up, to `heir` if one is named; `None` where it is not this pooler's. Nobody acts with it from here on.
    pub fn release(&mut self, now: Time, task: TaskId, heir: Option<u16>) -> Option<Token> {
        let held = self.holds(now, task)?;
        let known = self.tasks.get_mut(&task)?;
        known.claimant.stop();
        // Others first.
        known.due = now + known.term;
        let term = known.term;
        self.note(LeaseEvent::Released(task, held));
        self.tell_voters(&Body::Release { task, token: held, heir: heir.map(|heir| (heir, term)) });
        if let Some(heir) = heir.filter(|heir| *heir != self.me.number) {
            self.post(heir, Body::Offer { task, token: held });
        }
        self.settle(now);
        Some(held)
    }

    /// Gives up all tasks, to a newer process of this pooler if there is one, and wants none any more.
    pub fn leave(&mut self, now: Time, replaced: bool) {
        self.leaving = true;
        let heir = replaced.then_some(self.me.number);
        let tasks: Vec<TaskId> = self.tasks.keys().copied().collect();
        for task in tasks {
            self.release(now, task, heir);
            if let Some(known) = self.tasks.get_mut(&task) {
                known.wanted = false;
                if let Some(token) = known.claimant.stop() {
                    self.tell_voters(&Body::Release { task, token, heir: None });
                }
            }
        }
        self.settle(now);
    }

    /// Somebody knows of this token, such as a gate that turned an older one away.
    pub fn observe_token(&mut self, now: Time, task: TaskId, token: Token) {
        if let Some(known) = self.tasks.get_mut(&task) {
            known.highest = known.highest.max(token);
            if let Some(voter) = &mut self.voter {
                voter.observe_token(now, task, token);
            }
        }
    }

    /// The tasks as this pooler sees them.
    #[must_use]
    pub fn view(&self, now: Time) -> Vec<TaskView> {
        let view = |task: &Task<R>| {
            let own = match task.claimant.stage() {
                Stage::Held { token, until, .. } if now < *until => Some((*token, *until - now)),
                _ => None,
            };
            let known = task.known.filter(|(holder, at)| *at + holder.remaining > now);
            let told = known.map(|(holder, at)| Holder { remaining: at + holder.remaining - now, ..holder });
            let own_hold = own.map(|(token, left)| Holder { instance: self.me, token, remaining: left });
            TaskView { name: task.name.clone(), holder: own_hold.or(told), own, highest: task.highest }
        };
        self.tasks.values().map(view).collect()
    }

    /// The voters, and how long ago each was heard.
    #[must_use]
    pub fn last_heard(&self, now: Time) -> Vec<(u16, Option<Span>)> {
        let ago = |voter: &u16| match self.ears.get(voter) {
            _ if *voter == self.me.number => Some(Span(0)),
            ear => ear.map(|ear| now - ear.last),
        };
        self.voters.iter().map(|voter| (*voter, ago(voter))).collect()
    }

    /// Whether this pooler is a voter that says nothing yet.
    #[must_use]
    pub fn is_silent(&self, now: Time) -> bool {
        self.voter.as_ref().is_some_and(|voter| voter.is_silent(now))
    }

    /// A datagram from the address of the pooler of this number.
    ///
    /// # Errors
    ///
    /// When it is refused; nothing of it counts then.
    pub fn receive(&mut self, now: Time, from: u16, bytes: &[u8]) -> Result<(), DatagramError> {
        let ear = self.ears.entry(from).or_insert_with(|| Ear {
            lives: VecDeque::new(),
            allowance: MOST_LETTERS,
            at: now,
            last: Time(i64::MIN / 4),
        });
        if !ear.may(now) {
            return Err(DatagramError::RateLimited);
        }
        let letter = match open(bytes, &self.keys) {
            Ok(letter) => letter,
            Err(refused) => {
                if refused == DatagramError::BadSignature {
                    self.note_once(LeaseEvent::BadSignature(from));
                }
                return Err(refused);
            }
        };
        if letter.sender.number != from {
            return Err(DatagramError::SenderMismatch);
        }
        if letter.site != self.site {
            self.note_once(LeaseEvent::SiteMismatch(from));
            return Err(DatagramError::SiteMismatch);
        }
        if letter.version != self.version {
            self.note_once(LeaseEvent::VersionMismatch(from, letter.version));
            return Err(DatagramError::VersionMismatch(letter.version));
        }
        if !ear.is_new(now, letter.sender, letter.number) {
            return Err(DatagramError::Replayed);
        }
        ear.last = now;
        // Two voters of one number share no memory. A restart is silent for longer than this, so that it is no twin.
        let since = Span(self.longest.0 / 4 * 3);
        let twins = ear.lives.iter().any(|of| of.life != letter.sender.incarnation && now - of.last < since);
        if twins && matches!(letter.body, Body::Answer { .. }) {
            self.note_once(LeaseEvent::DuplicateVoter(from));
            return Ok(());
        }
        self.read(now, letter.sender, letter.body);
        self.settle(now);
        Ok(())
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Time) {
        let due: Vec<TaskId> =
            self.tasks.iter().filter(|(_, task)| task.due <= now).map(|(id, _)| *id).collect();
        for id in due {
            self.step(now, id);
        }
        if self.look_due <= now {
            self.look(now);
        }
        self.settle(now);
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
                    task.due = now + Span(part(&mut self.rng, task.term.0 / 4));
                    self.note(LeaseEvent::Lost(id, token));
                    // Voters may have renewed it without a word of theirs coming back.
                    self.tell_voters(&Body::Release { task: id, token, heir: None });
                    return;
                }
                // Three claims to a term, so that two may be lost.
                task.due = now + Span(task.term.0 * 7 / 24 + part(&mut self.rng, task.term.0 / 12));
                let term = task.term;
                self.tell_voters(&Body::Claim { task: id, round, token, term });
            }
            // What was lost is sent again: a voter that has it already grants no more by it.
            Stage::Asking { round, .. } if task.sent < SENDS => {
                let body = Body::Ask { task: id, round: round.number, known: task.highest };
                self.send_round(now, id, &body);
            }
            Stage::Claiming { round, token } if task.sent < SENDS => {
                let body = Body::Claim { task: id, round: round.number, token: *token, term: task.term };
                self.send_round(now, id, &body);
            }
            Stage::Asking { .. } | Stage::Claiming { .. } => self.back_off(now, id),
            Stage::Idle if task.offered > now => self.ask(now, id),
            Stage::Idle => {
                let free = task.known.map(|(holder, at)| at + holder.remaining).filter(|free| *free > now);
                match free {
                    Some(free) if task.offered <= now => {
                        task.due = free + Span(part(&mut self.rng, task.term.0 / 2));
                    }
                    // Who is told first that nobody has it asks; until then looking is cheaper for all. A look that nobody
                    // answers is not hurried.
                    _ => {
                        task.due = now + task.term;
                        if self.look.is_none() {
                            self.look_due = self.look_due.min(now);
                        }
                    }
                }
            }
        }
    }

    /// A claim came to nothing: what may have been granted is taken back, and it is tried again later.
    fn back_off(&mut self, now: Time, id: TaskId) {
        let Some(task) = self.tasks.get_mut(&id) else { return };
        let token = task.claimant.stop();
        let pause = task.pause;
        let longest = if task.offered > now { task.term.0 / 16 } else { task.term.0 * LONGEST_PAUSE };
        task.pause = Span((pause.0 * 2).min(longest));
        task.due = now + Span(pause.0 / 2 + part(&mut self.rng, pause.0));
        if let Some(token) = token {
            self.tell_voters(&Body::Release { task: id, token, heir: None });
        }
    }

    fn ask(&mut self, now: Time, id: TaskId) {
        let Some(task) = self.tasks.get_mut(&id) else { return };
        if !task.wanted || *task.claimant.stage() != Stage::Idle {
            return;
        }
        self.rounds = self.rounds.wrapping_add(1);
        task.claimant.ask(now, self.rounds);
        task.sent = 0;
        let body = Body::Ask { task: id, round: self.rounds, known: task.highest };
        self.send_round(now, id, &body);
    }

    /// Sends what asks or claims to all voters, and has it sent again if too few answer.
    fn send_round(&mut self, now: Time, id: TaskId, body: &Body) {
        let Some(task) = self.tasks.get_mut(&id) else { return };
        task.sent += 1;
        task.due = now + Span(task.term.0 / 16);
        self.tell_voters(body);
    }

    /// Asks one voter who has what. As long as none answers, less and less often.
    fn look(&mut self, now: Time) {
        let others: Vec<u16> = self.voters.iter().copied().filter(|voter| *voter != self.me.number).collect();
        if self.tasks.is_empty() || others.is_empty() {
            self.look_due = now + self.longest;
            return;
        }
        let again = self.look.is_some();
        self.unanswered += u32::from(again);
        if again && self.unanswered % 2 == 0 {
            let longest = self.shortest.0 * LONGEST_PAUSE;
            self.look_pause = Span((self.look_pause.0 * 2).min(longest));
        }
        self.look_due = now + self.look_pause + Span(part(&mut self.rng, self.look_pause.0 / 2));
        self.rounds = self.rounds.wrapping_add(1);
        self.look = Some((self.rounds, None));
        // The one that was asked before may be dead, or its word is lost: then all are asked.
        let first = self.rng.next_u32() as usize % others.len();
        let asked = if again { &others[..] } else { &others[first..=first] };
        for voter in asked {
            self.post(*voter, Body::Look { round: self.rounds, after: None });
        }
    }

    fn read(&mut self, now: Time, sender: PoolerInstance, body: Body) {
        match body {
            Body::Ask { task, round, known } => {
                let Some(voter) = &mut self.voter else { return };
                voter.observe_token(now, task, known);
                if let Some(answer) = voter.ask(now, task, sender) {
                    self.post(sender.number, Body::Answer { task, round, life: sender.incarnation, answer });
                }
            }
            Body::Claim { task, round, token, term } => {
                let Some(voter) = &mut self.voter else { return };
                // A restart is silent for no longer than this.
                if term > self.longest {
                    return;
                }
                if let Some(answer) = voter.claim(now, task, sender, token, term, round) {
                    self.post(sender.number, Body::Answer { task, round, life: sender.incarnation, answer });
                }
            }
            Body::Release { task, token, heir } => {
                let heir = heir.map(|(number, term)| (number, term.min(self.longest)));
                if let Some(voter) = &mut self.voter {
                    voter.release(now, task, sender, token, heir);
                }
            }
            // What was granted to an earlier life of this pooler, or to another process of its name, is not this one's.
            Body::Answer { life, .. } if life != self.me.incarnation => {}
            Body::Answer { task, round, answer, .. } => {
                self.answered(now, sender.number, task, round, answer)
            }
            Body::Look { round, after } => {
                let Some(voter) = self.voter.as_ref().filter(|voter| !voter.is_silent(now)) else { return };
                let mut tasks: Vec<Seen> = voter.running(now, after).take(Body::MOST_SEEN + 1).collect();
                let more = tasks.len() > Body::MOST_SEEN;
                tasks.truncate(Body::MOST_SEEN);
                self.post(sender.number, Body::Seen { round, more, tasks });
            }
            Body::Seen { round, more, tasks } => self.seen(now, sender.number, round, more, &tasks),
            // Whoever held the task when they were asked: what was true of a position stays true.
            Body::Positions { task, positions } => {
                if self.tasks.contains_key(&task) && self.positions.len() < MOST_NOTES {
                    self.positions.extend(positions);
                }
            }
            Body::Work(note) => {
                if self.work.len() < MOST_NOTES {
                    self.work.push((sender, note));
                }
            }
            // Who is about to end would leave it alone for a term.
            Body::Offer { .. } if self.leaving => {}
            Body::Offer { task, token } => {
                self.observe_token(now, task, token);
                let Some(known) = self.tasks.get_mut(&task) else { return };
                known.offered = now + Span(known.term.0 / 2);
                known.pause = Span(known.term.0 / 32);
                known.known = None;
                known.wanted = true;
                self.ask(now, task);
            }
        }
    }

    fn answered(&mut self, now: Time, voter: u16, id: TaskId, number: u32, answer: Answer) {
        let Some(task) = self.tasks.get_mut(&id) else { return };
        task.highest = task.highest.max(answer.floor);
        // Not alone: there is no need to wait for long.
        task.pause = task.pause.min(Span(task.term.0 / 4));
        if let Some(holder) = answer.holder {
            task.known = Some((holder, now));
        }
        let had = task.claimant.holds(now);
        match task.claimant.answer(now, &self.council, voter, number, answer) {
            Step::Wait => {}
            Step::Claim(floor) => {
                self.rounds = self.rounds.wrapping_add(1);
                let token = task.claimant.claim(now, self.rounds, floor.max(task.highest));
                task.sent = 0;
                let body = Body::Claim { task: id, round: self.rounds, token, term: task.term };
                self.send_round(now, id, &body);
            }
            Step::Held(token) => {
                task.highest = task.highest.max(token);
                task.pause = Span(task.term.0 / 8);
                if had.is_none() {
                    task.due = now + Span(task.term.0 / 4);
                    self.note(LeaseEvent::Gained(id, token));
                }
            }
            Step::Busy => self.back_off(now, id),
            Step::Rejected(token) => {
                self.tell_voters(&Body::Release { task: id, token, heir: None });
                self.back_off(now, id);
            }
        }
    }

    fn seen(&mut self, now: Time, voter: u16, round: u32, more: bool, tasks: &[Seen]) {
        let Some((_, after)) = self.look.filter(|(number, _)| *number == round) else { return };
        self.look = None;
        self.unanswered = 0;
        self.look_pause = Span(self.shortest.0 / 8);
        let last = tasks.last().map(|(task, _)| *task).filter(|_| more);
        let mut free = Vec::new();
        for (id, task) in &mut self.tasks {
            if after.is_some_and(|after| *id <= after) || last.is_some_and(|last| *id > last) {
                continue;
            }
            let mine = PoolerInstance { number: self.me.number, incarnation: 0 };
            match tasks.iter().find(|(told, _)| told == id) {
                // It is kept for this pooler.
                Some((_, holder)) if holder.instance == mine => free.push(*id),
                Some((_, holder)) => {
                    task.highest = task.highest.max(holder.token);
                    task.known = Some((*holder, now));
                    if *task.claimant.stage() == Stage::Idle {
                        task.due = now + holder.remaining + Span(part(&mut self.rng, task.term.0 / 2));
                    }
                }
                None => {
                    task.known = None;
                    free.push(*id);
                }
            }
        }
        for id in free {
            self.ask(now, id);
        }
        match last {
            Some(last) => {
                self.rounds = self.rounds.wrapping_add(1);
                self.look = Some((self.rounds, Some(last)));
                self.post(voter, Body::Look { round: self.rounds, after: Some(last) });
            }
            // Once more when something may be free; what is held by oneself is no reason to look.
            None => {
                let waiting = self.tasks.values().filter(|task| *task.claimant.stage() == Stage::Idle);
                let next = waiting.map(|task| task.due).min().unwrap_or(now + self.longest);
                self.look_due = next.max(now + Span(self.shortest.0 / 4));
            }
        }
    }

    fn tell_voters(&mut self, body: &Body) {
        for voter in self.voters.clone() {
            self.post(voter, body.clone());
        }
    }

    fn post(&mut self, to: u16, body: Body) {
        if to == self.me.number {
            self.own.push_back(body);
            return;
        }
        self.put(To::One(to.into()), body);
    }

    fn put(&mut self, to: To, body: Body) {
        self.letters += 1;
        let (site, version) = (self.site, self.version);
        let letter = Letter { site, version, sender: self.me, number: self.letters, body };
        if let Some(key) = self.keys.first() {
            self.out.push((to, seal(&letter, key)));
        }
    }

    /// Reads what is for this pooler itself. An answer may bring a claim and that one more answer, and no more.
    fn settle(&mut self, now: Time) {
        while let Some(body) = self.own.pop_front() {
            self.read(now, self.me, body);
        }
    }

    fn note(&mut self, note: LeaseEvent) {
        if self.notes.len() < MOST_NOTES {
            self.notes.push(note);
        }
    }

    fn note_once(&mut self, note: LeaseEvent) {
        if self.noted.len() < MOST_NOTES && self.noted.insert(note) {
            self.note(note);
        }
    }
}

/// A part of so many microseconds, by chance.
fn part(rng: &mut ChaCha8Rng, of: i64) -> i64 {
    (rng.next_u64() >> 1) as i64 % of.max(1)
}
