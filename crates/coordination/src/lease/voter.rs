//! What one voter remembers, and how it votes.

use super::{LeaseRules, PoolerInstance, TaskId, Token};
use linnetdeal_core::{Span, Time};
use std::collections::BTreeMap;
use std::marker::PhantomData;

/// A voter remembers so many tasks. One more is refused while all of them have holders; else the task that has been without
/// one is forgotten and its token raises the floor of all.
pub const MOST_TASKS: usize = 64;
/// An heir has this part of the term for itself, and others wait as long at most for one that is dead.
const HEIRS_PART: i64 = 2;

/// Who has a task, as one voter or one watcher knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    /// Who; with no life where the task is kept for an heir of this number.
    pub instance: PoolerInstance,
    /// Its token.
    pub token: Token,
    /// How long it may be its for, from now.
    pub remaining: Span,
}

/// How a voter answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Answer {
    /// The claim was granted, or could be if it were made.
    pub granted: bool,
    /// The highest token that the voter knows of for the task.
    pub floor: Token,
    /// Who else has the task.
    pub holder: Option<Holder>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Grant {
    number: u16,
    /// None where it is kept for an heir of this number, whose life is not known.
    life: Option<u64>,
    token: Token,
    until: Time,
    /// The number of the latest claim: an older one that comes late extends nothing.
    claim: u32,
}

impl Grant {
    fn is_of(&self, instance: PoolerInstance) -> bool {
        self.number == instance.number && self.life.is_none_or(|life| life == instance.incarnation)
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Task {
    /// The highest token granted or heard of.
    token: Token,
    grant: Option<Grant>,
}

/// A voter's memory.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter<R> {
    silent_until: Time,
    /// No token up to this is granted for a task that is not remembered.
    floor: Token,
    tasks: BTreeMap<TaskId, Task>,
    rules: PhantomData<R>,
}

impl<R: LeaseRules> Voter<R> {
    /// A voter that has just started with empty memory. It may have granted something a moment ago, for the longest term
    /// that there is. Its floor is what its `wall` clock, in ms since 1970, will show when it votes again: the clock alone would
    /// be no higher than a token that was granted within the same millisecond.
    #[must_use]
    pub fn new(now: Time, longest: Span, wall: u64) -> Self {
        let mut voter =
            Self { silent_until: now, floor: Token(0), tasks: BTreeMap::new(), rules: PhantomData };
        voter.hush(now, longest, wall);
        voter
    }

    /// From now on it is heard as the voter of its number. Whoever was until now, as the process whose place it takes, has
    /// granted what this one knows nothing of, so that its silence counts from here.
    pub fn hush(&mut self, now: Time, longest: Span, wall: u64) {
        self.silent_until = if R::SILENT_AFTER_START { now + longest } else { now };
        let floor = Token(wall.saturating_add(u64::try_from(longest.0 / 1_000).unwrap_or(0)));
        self.floor = self.floor.max(floor);
        self.tasks.values_mut().for_each(|task| task.token = task.token.max(floor));
    }

    /// Whether it says nothing yet.
    #[must_use]
    pub fn is_silent(&self, now: Time) -> bool {
        now < self.silent_until
    }

    /// Somebody knows of this token.
    pub fn observe_token(&mut self, now: Time, task: TaskId, token: Token) {
        if token <= self.floor_of(task) {
            return;
        }
        match self.remember(now, task) {
            Some(known) => known.token = token,
            None => self.floor = self.floor.max(token),
        }
    }

    /// Whether `instance` could have the task now. Nothing while the voter is silent.
    #[must_use]
    pub fn ask(&self, now: Time, task: TaskId, instance: PoolerInstance) -> Option<Answer> {
        (!self.is_silent(now)).then(|| self.answer(now, task, instance))
    }

    /// Grants the task for `term` from now, or says why not. Nothing while the voter is silent.
    pub fn claim(
        &mut self,
        now: Time,
        task: TaskId,
        instance: PoolerInstance,
        token: Token,
        term: Span,
        claim: u32,
    ) -> Option<Answer> {
        if self.is_silent(now) {
            return None;
        }
        let floor = self.floor_of(task);
        let answer = self.answer(now, task, instance);
        let no = Answer { granted: false, ..answer };
        let running = self.tasks.get(&task).and_then(|known| known.grant.as_ref());
        let own = running.filter(|grant| {
            grant.until > now
                && grant.life == Some(instance.incarnation)
                && grant.is_of(instance)
                && grant.token == token
        });
        // What runs is renewed whatever the floor is by now: instance was beaten raises it, and must not end what beat him.
        let renewed = own.is_some();
        // A claim that comes again, or after a later one, is granted already, and for no longer than it was.
        if own.is_some_and(|grant| claim.wrapping_sub(grant.claim) as i32 <= 0) {
            return Some(Answer { granted: true, ..answer });
        }
        if R::EXCLUSIVE && !answer.granted || R::TOKENS_ABOVE_FLOOR && !renewed && token <= floor {
            return Some(no);
        }
        let Some(known) = self.remember(now, task) else { return Some(no) };
        known.token = known.token.max(token);
        known.grant = Some(Grant {
            number: instance.number,
            life: Some(instance.incarnation),
            token,
            until: now + term,
            claim,
        });
        Some(Answer { granted: true, floor: token.max(floor), holder: None })
    }

    /// Takes back what `instance` was granted with this token; it is then kept for an heir for a while, if one is named. True
    /// of a silent voter as well, since it only takes away.
    pub fn release(
        &mut self,
        now: Time,
        task: TaskId,
        instance: PoolerInstance,
        token: Token,
        heir: Option<(u16, Span)>,
    ) {
        let granted = self.tasks.get(&task).and_then(|known| known.grant.as_ref());
        let its = granted.is_some_and(|grant| {
            grant.life == Some(instance.incarnation) && grant.is_of(instance) && grant.token == token
        });
        // A claim with this token that is still on its way comes to nothing.
        self.observe_token(now, task, token);
        if let (true, Some(known)) = (its, self.tasks.get_mut(&task)) {
            known.grant = heir.map(|(number, term)| Grant {
                number,
                life: None,
                token,
                until: now + Span(term.0 / HEIRS_PART),
                claim: 0,
            });
        }
    }

    /// Who has what, from the first task above `after`.
    pub fn running(&self, now: Time, after: Option<TaskId>) -> impl Iterator<Item = (TaskId, Holder)> {
        let from = after.map_or(std::ops::Bound::Unbounded, std::ops::Bound::Excluded);
        let held = self.tasks.range((from, std::ops::Bound::Unbounded));
        held.filter_map(move |(task, known)| Some((*task, Self::holder(now, known)?)))
    }

    fn holder(now: Time, known: &Task) -> Option<Holder> {
        let grant = known.grant.as_ref().filter(|grant| grant.until > now)?;
        let instance = PoolerInstance { number: grant.number, incarnation: grant.life.unwrap_or(0) };
        Some(Holder { instance, token: grant.token, remaining: grant.until - now })
    }

    fn answer(&self, now: Time, task: TaskId, instance: PoolerInstance) -> Answer {
        let known = self.tasks.get(&task);
        let other = known.filter(|known| known.grant.as_ref().is_some_and(|grant| !grant.is_of(instance)));
        let holder = other.and_then(|known| Self::holder(now, known));
        Answer { granted: holder.is_none(), floor: self.floor_of(task), holder }
    }

    fn floor_of(&self, task: TaskId) -> Token {
        self.tasks.get(&task).map_or(self.floor, |known| known.token)
    }

    /// The task's entry; none where there is no room for one more.
    fn remember(&mut self, now: Time, task: TaskId) -> Option<&mut Task> {
        if !self.tasks.contains_key(&task) && self.tasks.len() >= MOST_TASKS {
            let free = |known: &Task| known.grant.as_ref().is_none_or(|grant| grant.until <= now);
            let forgotten = *self.tasks.iter().find(|(_, known)| free(known))?.0;
            let token = self.tasks.remove(&forgotten).map_or(Token(0), |known| known.token);
            self.floor = self.floor.max(token);
        }
        let floor = self.floor;
        Some(self.tasks.entry(task).or_insert_with(|| Task { token: floor, grant: None }))
    }
}
