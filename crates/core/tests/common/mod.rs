//! Support for the routing module's tests: settings, members, and a host that drives a router with a manual clock.
#![allow(dead_code)]

use linnetdeal_core::*;
use std::sync::Arc;

/// Classes of [`settings`].
pub const READ: ClassId = ClassId(0);
pub const ANY: ClassId = ClassId(1);
pub const OWN: ClassId = ClassId(2);
pub const FRESH: ClassId = ClassId(3);
pub const KEYED: ClassId = ClassId(4);
pub const UNSAFE: ClassId = ClassId(5);

/// A class with an objective of 400 ms.
pub fn class(name: &str, need: Need, effect: Effect) -> Class {
    let late_worth = if need == Need::Write { 0.5 } else { 0.0 };
    Class {
        name: name.into(),
        effect,
        need,
        aim: Span::millis(400),
        aim_stretch: 0.0,
        worth: 1.0,
        late_worth,
    }
}

/// Settings with the above classes, for members that check their reads.
pub fn settings() -> Settings {
    Settings {
        classes: vec![
            class("bounded", Need::Bounded(Span::millis(1_000)), Effect::Safe),
            class("any", Need::Any, Effect::Safe),
            class("own", Need::Session, Effect::Safe),
            class("fresh", Need::Fresh, Effect::Safe),
            class("keyed", Need::Write, Effect::Keyed),
            class("unsafe", Need::Write, Effect::Unsafe),
        ],
        fleet: 2,
        checks: Checks::Refuse,
        report: vec![Field::Position, Field::Primary],
        max_attempts: 8,
        probes: true,
        cancels: true,
        retry_after: true,
        max_retry_after: Span::millis(2_000),
        drain_grace: Span::millis(500),
        cold_share: 0.2,
        cold_span: Span::millis(10_000),
        fall_multiple: 3.0,
        fall_span: Span::millis(2_000),
        ..Settings::default()
    }
}

/// The id of a member by its number.
pub fn member(number: usize) -> MemberId {
    MemberId(Arc::from(format!("10.0.0.{number}:7000")))
}

/// The list's entry of a healthy member of group 0.
pub fn entry(number: usize) -> Entry {
    Entry {
        member: member(number),
        group: GroupId(0),
        state: ListState::Healthy,
        primary: false,
        started: None,
        zone: String::new(),
    }
}

/// Drives a router: passes events to it and returns its actions.
pub struct Host {
    pub router: Router,
    pub now: Time,
    next: u64,
}

impl Host {
    /// A router that knows members 1 to `count` of group 0, with seed 1.
    pub fn new(settings: Settings, count: usize) -> Self {
        Self::seeded(1, settings, count)
    }

    pub fn seeded(seed: u64, settings: Settings, count: usize) -> Self {
        let mut host = Self { router: Router::new(seed, settings), now: Time(1_000_000_000), next: 0 };
        host.handle(Event::List(Listing::Full((1..=count).map(entry).collect())));
        host
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        actions
    }

    /// Lets time pass in steps of 5 ms, and wakes the router after each.
    pub fn advance(&mut self, ms: i64) -> Vec<Action> {
        let mut all = Vec::new();
        for _ in 0..ms.div_euclid(5) {
            self.now = self.now + Span::millis(5);
            all.extend(self.handle(Event::Wake));
        }
        all
    }

    /// A request of a client that waits for a second.
    pub fn request(&mut self, class: ClassId) -> (RequestId, Vec<Action>) {
        self.request_in_session(class, None)
    }

    pub fn request_in_session(&mut self, class: ClassId, session: Option<u64>) -> (RequestId, Vec<Action>) {
        self.request_for(class, session, 1_000)
    }

    /// A request of a client that waits for `ms` milliseconds.
    pub fn request_within(&mut self, class: ClassId, ms: i64) -> (RequestId, Vec<Action>) {
        self.request_for(class, None, ms)
    }

    /// A request that its client marks as a retry.
    pub fn request_retry(&mut self, class: ClassId) -> (RequestId, Vec<Action>) {
        self.submit(class, None, 1_000, true)
    }

    fn request_for(&mut self, class: ClassId, session: Option<u64>, ms: i64) -> (RequestId, Vec<Action>) {
        self.submit(class, session, ms, false)
    }

    fn submit(
        &mut self,
        class: ClassId,
        session: Option<u64>,
        ms: i64,
        retry: bool,
    ) -> (RequestId, Vec<Action>) {
        self.next += 1;
        let id = RequestId(self.next);
        let request = Request {
            id,
            class,
            tenant: None,
            session: session.map(SessionKey),
            left: Span::millis(ms),
            group: GroupId(0),
            last_write: None,
            cost: None,
            retry,
        };
        (id, self.handle(Event::Request(request)))
    }

    /// An attempt at a member ends after 5 ms.
    pub fn end_attempt(
        &mut self,
        id: RequestId,
        attempt: u32,
        number: usize,
        verdict: Verdict,
    ) -> Vec<Action> {
        self.end_attempt_as(id, attempt, number, verdict, None)
    }

    /// The same, where the member reports its role.
    pub fn end_attempt_as(
        &mut self,
        id: RequestId,
        attempt: u32,
        number: usize,
        verdict: Verdict,
        role: Option<Role>,
    ) -> Vec<Action> {
        self.handle(Event::Outcome(Outcome {
            request: id,
            attempt: AttemptNo(attempt),
            member: member(number),
            verdict,
            note: role.map(|role| Note { role: Some(role), position: None }),
            took: Span::millis(5),
            closed: verdict == Verdict::Ok,
            report: None,
        }))
    }

    /// Lets `ms` milliseconds pass, then the member answers.
    pub fn answer_after(&mut self, id: RequestId, attempt: u32, number: usize, ms: i64) -> Vec<Action> {
        self.now = self.now + Span::millis(ms);
        self.answer_now(id, attempt, number, Span::millis(ms))
    }

    /// The member answers now; the attempt took this long.
    pub fn answer_now(&mut self, id: RequestId, attempt: u32, number: usize, took: Span) -> Vec<Action> {
        self.handle(Event::Outcome(Outcome {
            request: id,
            attempt: AttemptNo(attempt),
            member: member(number),
            verdict: Verdict::Ok,
            note: None,
            took,
            closed: true,
            report: None,
        }))
    }

    /// A probe is answered with a role and a position that is `behind_ms` old.
    pub fn probe_result(&mut self, number: usize, primary: bool, behind_ms: i64) -> Vec<Action> {
        let seconds = (self.now - Span::millis(behind_ms)).0 as f64 / 1e6;
        self.handle(Event::Probed {
            member: member(number),
            verdict: Verdict::Ok,
            took: Span::millis(1),
            report: Some(vec![seconds, f64::from(u8::from(primary))]),
        })
    }
}

/// The member to which an action sends an attempt, and the attempt's timeout.
pub fn sent(action: &Action) -> Option<(MemberId, Span)> {
    match action {
        Action::Send { member, timeout, .. } => Some((member.clone(), *timeout)),
        _ => None,
    }
}

/// The members to which the actions send attempts.
pub fn sends(actions: &[Action]) -> Vec<MemberId> {
    let target = |action: &Action| match action {
        Action::Send { member, .. } => Some(member.clone()),
        _ => None,
    };
    actions.iter().filter_map(target).collect()
}

/// Whether the actions fail this request.
pub fn failed(actions: &[Action], id: RequestId) -> bool {
    actions.contains(&Action::Fail { request: id })
}

/// Whether the actions refuse this request, and with which retry-after.
pub fn refused(actions: &[Action], id: RequestId) -> Option<Option<Span>> {
    actions.iter().find_map(|action| match action {
        Action::Refuse { request, retry_after } if *request == id => Some(*retry_after),
        _ => None,
    })
}

/// The members that the actions probe.
pub fn probes(actions: &[Action]) -> Vec<MemberId> {
    let target =
        |action: &Action| if let Action::Probe { member } = action { Some(member.clone()) } else { None };
    actions.iter().filter_map(target).collect()
}
