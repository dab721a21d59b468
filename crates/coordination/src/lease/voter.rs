//! What one voter remembers, and how it votes.

use super::{LeaseRules, PoolerInstance, TaskId, Token};
use linnetdeal_core::{Span, Time};
use std::collections::BTreeMap;
use std::marker::PhantomData;

/// Maximum number of tasks that a voter remembers. While all of them have holders, a claim to one more is
/// refused; otherwise a task without a holder is forgotten, and its token raises the floor of all tasks.
pub const MAX_TASKS: usize = 64;
/// A released task is reserved for the successor for the term divided by this, so that others wait no longer
/// than that for a successor that is dead.
const SUCCESSOR_TERM_DIVISOR: i64 = 2;

/// The holder of a task, as known to a voter or an observer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    /// The holding process; its incarnation is 0 while the task is reserved for a successor of this number.
    pub instance: PoolerInstance,
    /// Its token.
    pub token: Token,
    /// Time left until the grant ends.
    pub remaining: Span,
}

/// A voter's answer to a query or a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Answer {
    /// The claim was granted, or would be.
    pub granted: bool,
    /// The highest token that the voter knows of for the task.
    pub floor: Token,
    /// The other process that holds the task, if any.
    pub holder: Option<Holder>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Grant {
    number: u16,
    /// `None` while the task is reserved for a successor, whose incarnation is not known.
    incarnation: Option<u64>,
    token: Token,
    until: Time,
    /// Number of the latest claim: an older one that arrives late extends nothing.
    claim_number: u32,
}

impl Grant {
    fn belongs_to(&self, instance: PoolerInstance) -> bool {
        self.number == instance.number
            && self.incarnation.is_none_or(|incarnation| incarnation == instance.incarnation)
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct TaskMemory {
    /// The highest token granted or observed.
    token: Token,
    grant: Option<Grant>,
}

/// The memory of one voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter<R> {
    silent_until: Time,
    /// No token up to this one is granted for a task that is not remembered.
    floor: Token,
    tasks: BTreeMap<TaskId, TaskMemory>,
    rules: PhantomData<R>,
}

impl<R: LeaseRules> Voter<R> {
    /// A voter that starts with empty memory. It may have granted something just before the restart, for at
    /// most `max_term`, so that it stays silent for that long. `wall_ms` is the wall clock in ms since 1970.
    /// The floor is what that clock will show at the end of the silence: the present time might equal a token
    /// that was granted within the same millisecond.
    #[must_use]
    pub fn new(now: Time, max_term: Span, wall_ms: u64) -> Self {
        let mut voter =
            Self { silent_until: now, floor: Token(0), tasks: BTreeMap::new(), rules: PhantomData };
        voter.restart_silence(now, max_term, wall_ms);
        voter
    }

    /// From now on this process answers for the voter of its number. A process that did so until now has
    /// granted tasks that this one does not know of, so that the silence starts again.
    pub fn restart_silence(&mut self, now: Time, max_term: Span, wall_ms: u64) {
        self.silent_until = if R::SILENT_AFTER_START { now + max_term } else { now };
        let floor = Token(wall_ms.saturating_add(u64::try_from(max_term.0 / 1_000).unwrap_or(0)));
        self.floor = self.floor.max(floor);
        self.tasks.values_mut().for_each(|task| task.token = task.token.max(floor));
    }

    /// Whether it does not vote yet.
    #[must_use]
    pub fn is_silent(&self, now: Time) -> bool {
        now < self.silent_until
    }

    /// Takes note of a token that is known elsewhere.
    pub fn observe_token(&mut self, now: Time, task: TaskId, token: Token) {
        if token <= self.floor_of(task) {
            return;
        }
        match self.task_entry(now, task) {
            Some(known) => known.token = token,
            None => self.floor = self.floor.max(token),
        }
    }

    /// Whether `instance` could be granted the task now; `None` while the voter is silent.
    #[must_use]
    pub fn query(&self, now: Time, task: TaskId, instance: PoolerInstance) -> Option<Answer> {
        (!self.is_silent(now)).then(|| self.answer(now, task, instance))
    }

    /// Grants the task for `term` from now, or refuses with the reason; `None` while the voter is silent.
    pub fn claim(
        &mut self,
        now: Time,
        task: TaskId,
        instance: PoolerInstance,
        token: Token,
        term: Span,
        claim_number: u32,
    ) -> Option<Answer> {
        if self.is_silent(now) {
            return None;
        }
        let floor = self.floor_of(task);
        let answer = self.answer(now, task, instance);
        let refusal = Answer { granted: false, ..answer };
        let running = self.tasks.get(&task).and_then(|known| known.grant.as_ref());
        let own_grant = running.filter(|grant| {
            grant.until > now
                && grant.incarnation == Some(instance.incarnation)
                && grant.belongs_to(instance)
                && grant.token == token
        });
        // A running grant is renewed whatever the floor is by now: a rejected claimant raises the floor with
        // its release, and must not end the grant that won.
        let renewed = own_grant.is_some();
        // A claim that is repeated or arrives after a later one has been granted already, and is not extended.
        if own_grant.is_some_and(|grant| claim_number.wrapping_sub(grant.claim_number) as i32 <= 0) {
            return Some(Answer { granted: true, ..answer });
        }
        if R::EXCLUSIVE && !answer.granted || R::TOKENS_ABOVE_FLOOR && !renewed && token <= floor {
            return Some(refusal);
        }
        let Some(known) = self.task_entry(now, task) else { return Some(refusal) };
        known.token = known.token.max(token);
        known.grant = Some(Grant {
            number: instance.number,
            incarnation: Some(instance.incarnation),
            token,
            until: now + term,
            claim_number,
        });
        Some(Answer { granted: true, floor: token.max(floor), holder: None })
    }

    /// Takes back what `instance` was granted with this token, and reserves the task for `successor` for a
    /// while, if one is named. A silent voter does this too, since it only takes away.
    pub fn release(
        &mut self,
        now: Time,
        task: TaskId,
        instance: PoolerInstance,
        token: Token,
        successor: Option<(u16, Span)>,
    ) {
        let current = self.tasks.get(&task).and_then(|known| known.grant.as_ref());
        let is_current = current.is_some_and(|grant| {
            grant.incarnation == Some(instance.incarnation)
                && grant.belongs_to(instance)
                && grant.token == token
        });
        // A claim with this token that is still in flight must not succeed.
        self.observe_token(now, task, token);
        if let (true, Some(known)) = (is_current, self.tasks.get_mut(&task)) {
            known.grant = successor.map(|(number, term)| Grant {
                number,
                incarnation: None,
                token,
                until: now + Span(term.0 / SUCCESSOR_TERM_DIVISOR),
                claim_number: 0,
            });
        }
    }

    /// The tasks that have holders, starting after `after`.
    pub fn held_tasks(&self, now: Time, after: Option<TaskId>) -> impl Iterator<Item = (TaskId, Holder)> {
        let from = after.map_or(std::ops::Bound::Unbounded, std::ops::Bound::Excluded);
        let held = self.tasks.range((from, std::ops::Bound::Unbounded));
        held.filter_map(move |(task, known)| Some((*task, Self::holder(now, known)?)))
    }

    fn holder(now: Time, known: &TaskMemory) -> Option<Holder> {
        let grant = known.grant.as_ref().filter(|grant| grant.until > now)?;
        let instance = PoolerInstance { number: grant.number, incarnation: grant.incarnation.unwrap_or(0) };
        Some(Holder { instance, token: grant.token, remaining: grant.until - now })
    }

    fn answer(&self, now: Time, task: TaskId, instance: PoolerInstance) -> Answer {
        let known = self.tasks.get(&task);
        let other =
            known.filter(|known| known.grant.as_ref().is_some_and(|grant| !grant.belongs_to(instance)));
        let holder = other.and_then(|known| Self::holder(now, known));
        Answer { granted: holder.is_none(), floor: self.floor_of(task), holder }
    }

    fn floor_of(&self, task: TaskId) -> Token {
        self.tasks.get(&task).map_or(self.floor, |known| known.token)
    }

    /// The task's entry; `None` where there is no room for one more.
    fn task_entry(&mut self, now: Time, task: TaskId) -> Option<&mut TaskMemory> {
        if !self.tasks.contains_key(&task) && self.tasks.len() >= MAX_TASKS {
            let is_free = |known: &TaskMemory| known.grant.as_ref().is_none_or(|grant| grant.until <= now);
            let forgotten = *self.tasks.iter().find(|(_, known)| is_free(known))?.0;
            let token = self.tasks.remove(&forgotten).map_or(Token(0), |known| known.token);
            self.floor = self.floor.max(token);
        }
        let floor = self.floor;
        Some(self.tasks.entry(task).or_insert_with(|| TaskMemory { token: floor, grant: None }))
    }
}
