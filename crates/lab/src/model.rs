//! Model checking of the decision logic: the [`Router`] that is used in production is stepped by stateright through
//! all orders of a change of primary, answers, lost answers, a crash of a router and a drain, within given bounds.

use linnetdeal_core::*;
use stateright::{Checker, Model, Property};
use std::collections::BTreeMap;
use std::fmt;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

const MEMBERS: usize = 3;
/// Deadline of a write, in ms.
const DEADLINE_MS: i64 = 500;
/// End of the modelled time, in ms.
const END_MS: i64 = 800;
/// Step of the modelled time, in ms. Wake-ups and time-outs within a step occur at their own time.
const STEP_MS: i64 = 200;

/// Bounds of the exploration, and a fault to inject.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Number of routers.
    pub routers: usize,
    /// Number of writes that clients send to each router.
    pub writes: usize,
    /// Number of answers that may be lost, besides those lost by a failure of the primary.
    pub losses: u8,
    /// Number of crashes of routers.
    pub crashes: u8,
    /// Whether the routers may be told to drain the primary.
    pub drains: bool,
    /// Injected fault: the host reports a reset connection as proof that nothing ran, so the router resends the write.
    /// The check has to find it.
    pub reset_proves_not_run: bool,
}

/// An attempt that is in flight.
#[derive(Clone, Debug)]
struct Attempt {
    router: usize,
    write: usize,
    number: u32,
    member: usize,
    sent: i64,
    deadline: i64,
    /// Whether the member was the primary when the attempt was sent.
    primary: bool,
    /// Whether the member was down when the attempt was sent, so that the connection was refused.
    refused: bool,
}

/// A write, as its client and the servers see it.
#[derive(Clone, Debug, Default)]
struct Write {
    sent_at: Option<i64>,
    run_count: u8,
    send_count: u32,
    answers: Vec<&'static str>,
    /// Whether its router crashed, so that no answer is due.
    router_crashed: bool,
}

/// A state of the model: routers, members and clients.
#[derive(Clone)]
pub struct ModelState {
    now: i64,
    routers: Vec<Router>,
    wakes: Vec<Option<i64>>,
    drain_announced: Vec<bool>,
    attempts: Vec<Attempt>,
    /// Writes by router and number.
    writes: Vec<Vec<Write>>,
    alive: [bool; MEMBERS],
    primary: Option<usize>,
    primary_failed: bool,
    old_primary_back: bool,
    losses: u8,
    crashes: u8,
    /// Description of a broken rule, if one was broken.
    violation: Option<String>,
}

impl fmt::Debug for ModelState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} {:?} {:?} {:?} {:?} {:?} {:?} {} {} {} {} {:?} {:?}",
            self.now,
            self.wakes,
            self.drain_announced,
            self.attempts,
            self.writes,
            self.alive,
            self.primary,
            self.primary_failed,
            self.old_primary_back,
            self.losses,
            self.crashes,
            self.violation,
            self.routers
        )
    }
}

impl Hash for ModelState {
    fn hash<H: Hasher>(&self, state: &mut H) {
        format!("{self:?}").hash(state);
    }
}

impl PartialEq for ModelState {
    fn eq(&self, other: &Self) -> bool {
        format!("{self:?}") == format!("{other:?}")
    }
}

/// A transition of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A client sends a router its next write.
    Ask(usize),
    /// Time advances by a step.
    Tick,
    /// An attempt ends.
    Ends {
        /// Index of the attempt among those in flight.
        attempt: usize,
        /// Whether its answer is lost.
        lost: bool,
        /// Whether the write ran, if the answer is lost.
        ran: bool,
    },
    /// The primary fails.
    Dies,
    /// A member becomes the primary.
    Promote(usize),
    /// The old primary comes back as a replica.
    Revive,
    /// A router crashes and restarts from its list.
    Crash(usize),
    /// A router is told to drain the primary.
    Drain(usize),
}

fn id(index: usize) -> MemberId {
    MemberId(Arc::from(format!("s-{index}")))
}

fn request(write: usize) -> RequestId {
    RequestId(write as u64 + 1)
}

fn settings() -> Settings {
    Settings {
        classes: vec![Class {
            name: "top-up".into(),
            effect: Effect::Unsafe,
            need: Need::Write,
            aim: Span::millis(300),
            aim_stretch: 0.0,
            worth: 1.0,
            late_worth: 0.5,
        }],
        fleet: 2,
        checks: Checks::Refuse,
        report: vec![Field::Position, Field::Primary],
        max_attempts: 6,
        probes: true,
        retry_after: true,
        max_retry_after: Span::millis(2_000),
        drain_grace: Span::millis(250),
        cold_share: 0.2,
        cold_span: Span::millis(10_000),
        fall_multiple: 2.5,
        fall_span: Span::millis(3_000),
        ..Settings::default()
    }
}

fn entry(index: usize, state: ListState) -> Entry {
    Entry {
        member: id(index),
        group: GroupId(1),
        state,
        primary: index == 0,
        started: None,
        zone: String::new(),
    }
}

impl ModelState {
    fn start(bounds: &Bounds) -> Self {
        let mut state = Self {
            now: 0,
            routers: Vec::new(),
            wakes: vec![None; bounds.routers],
            drain_announced: vec![false; bounds.routers],
            attempts: Vec::new(),
            writes: vec![vec![Write::default(); bounds.writes]; bounds.routers],
            alive: [true; MEMBERS],
            primary: Some(0),
            primary_failed: false,
            old_primary_back: false,
            losses: 0,
            crashes: 0,
            violation: None,
        };
        for router in 0..bounds.routers {
            state.routers.push(Router::new(router as u64, settings()));
            state.send_list(router);
        }
        state
    }

    /// Gives a router the initial list: all members are up, the first is the primary.
    fn send_list(&mut self, router: usize) {
        let entries = (0..MEMBERS).map(|index| entry(index, ListState::Healthy)).collect();
        self.handle_event(router, Event::List(Listing::Full(entries)));
    }

    fn time(&self) -> Time {
        Time(1_000_000_000 + self.now * 1_000)
    }

    /// Passes an event to a router and carries out its actions; probes are answered at once with the member's actual
    /// state.
    fn handle_event(&mut self, router: usize, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let (now, mut actions) = (self.time(), Vec::new());
            self.routers[router].handle(now, event, &mut actions);
            for action in actions {
                match action {
                    Action::Send { request, member, timeout } => self.send(router, request, &member, timeout),
                    Action::Refuse { request, .. } => self.record_answer(router, request, "refused"),
                    Action::Fail { request } => self.record_answer(router, request, "failed"),
                    Action::Wake { at } => {
                        self.wakes[router] = Some((at.0 - 1_000_000_000).div_euclid(1_000) + 1)
                    }
                    Action::Probe { member } => events.push(self.probe_result(member)),
                    Action::Cancel { .. } | Action::Tell { .. } | Action::Subscribe | Action::Log { .. } => {}
                }
            }
        }
    }

    fn probe_result(&self, member: MemberId) -> Event {
        let index = (0..MEMBERS).find(|index| id(*index) == member).unwrap_or(0);
        let took = Span::millis(1);
        if !self.alive[index] {
            return Event::Probed { member, verdict: Verdict::ConnectFailed, took, report: None };
        }
        let role = f64::from(u8::from(self.primary == Some(index)));
        let report = Some(vec![self.time().0 as f64 / 1e6, role]);
        Event::Probed { member, verdict: Verdict::Ok, took, report }
    }

    fn send(&mut self, router: usize, request: RequestId, member: &MemberId, timeout: Span) {
        let write = request.0 as usize - 1;
        let member = (0..MEMBERS).find(|index| id(*index) == *member).unwrap_or(0);
        if self.drain_announced[router] && member == 0 {
            self.violation = Some("sent to a member after it was told to drain".into());
        }
        if !self.writes[router][write].answers.is_empty() {
            self.violation = Some("sent after its final answer".into());
        }
        if self.attempts.iter().any(|attempt| attempt.router == router && attempt.write == write) {
            self.violation = Some("two attempts out at once".into());
        }
        let op = &mut self.writes[router][write];
        let number = op.send_count;
        op.send_count += 1;
        let (sent, primary) = (self.now, self.primary == Some(member));
        let deadline = sent + timeout.0.div_euclid(1_000);
        let refused = !self.alive[member];
        self.attempts.push(Attempt { router, write, number, member, sent, deadline, refused, primary });
    }

    fn record_answer(&mut self, router: usize, request: RequestId, outcome: &'static str) {
        let write = request.0 as usize - 1;
        let in_flight =
            self.attempts.iter().any(|attempt| attempt.router == router && attempt.write == write);
        let op = &mut self.writes[router][write];
        op.answers.push(outcome);
        if op.answers.len() > 1 {
            self.violation = Some("two final answers".into());
        } else if outcome == "refused" && (op.run_count > 0 || in_flight) {
            self.violation = Some("refused, though it ran or still may".into());
        }
    }

    /// Ends an attempt with this verdict; `ran` tells whether the write ran.
    fn end_attempt(&mut self, index: usize, verdict: Verdict, ran: bool) {
        let Attempt { router, write, number, member, sent, primary, .. } = self.attempts.remove(index);
        let op = &mut self.writes[router][write];
        op.run_count += u8::from(ran);
        if op.run_count > 1 {
            self.violation = Some("a write ran twice".into());
        }
        let served = verdict == Verdict::Ok;
        if served {
            self.record_answer(router, request(write), "served");
        }
        let role = if primary { Role::Primary } else { Role::Replica };
        let has_note = matches!(verdict, Verdict::Ok | Verdict::Miss);
        let note = has_note.then_some(Note { role: Some(role), position: None });
        self.handle_event(
            router,
            Event::Outcome(Outcome {
                request: request(write),
                attempt: AttemptNo(number),
                member: id(member),
                verdict,
                note,
                took: Span::millis(self.now - sent),
                closed: served,
                report: None,
            }),
        );
    }

    /// Advances time by a step; wake-ups and time-outs within it occur at their own time.
    fn tick(&mut self) {
        let target = self.now + STEP_MS;
        // A router asks for its next wake-up at least 10 ms later, so the loop is bounded.
        for _ in 0..400 {
            let wake = self
                .wakes
                .iter()
                .enumerate()
                .filter_map(|(router, wake)| wake.map(|wake| (wake, router)))
                .min();
            let timeout_due =
                self.attempts.iter().enumerate().map(|(index, attempt)| (attempt.deadline, index)).min();
            let next = wake.map(|(time, _)| time).into_iter().chain(timeout_due.map(|(time, _)| time)).min();
            let Some(next) = next.filter(|next| *next <= target) else { break };
            self.now = self.now.max(next);
            match timeout_due.filter(|(time, _)| *time == next) {
                Some((_, index)) => self.end_attempt(index, Verdict::Timeout, false),
                None => {
                    if let Some((_, router)) = wake {
                        self.wakes[router] = None;
                        self.handle_event(router, Event::Wake);
                    }
                }
            }
        }
        self.now = target;
        let overdue = |op: &Write| op.sent_at.is_some_and(|time| target > time + DEADLINE_MS + 20);
        if self.writes.iter().flatten().any(|op| overdue(op) && op.answers.is_empty() && !op.router_crashed) {
            self.violation = Some("no answer by the deadline".into());
        }
    }
}

/// The model of a change of primary, as stateright explores it.
#[derive(Clone, Debug)]
pub struct PrimaryChangeModel(pub Bounds);

impl Model for PrimaryChangeModel {
    type State = ModelState;
    type Action = Step;

    fn init_states(&self) -> Vec<ModelState> {
        vec![ModelState::start(&self.0)]
    }

    fn actions(&self, state: &ModelState, steps: &mut Vec<Step>) {
        if state.violation.is_some() {
            return;
        }
        if state.now < END_MS {
            steps.push(Step::Tick);
        }
        for router in 0..self.0.routers {
            let has_unsent = state.writes[router].iter().any(|op| op.sent_at.is_none() && !op.router_crashed);
            if has_unsent && state.now + DEADLINE_MS <= END_MS {
                steps.push(Step::Ask(router));
            }
            if state.crashes < self.0.crashes {
                steps.push(Step::Crash(router));
            }
            if self.0.drains && !state.drain_announced[router] && !state.primary_failed {
                steps.push(Step::Drain(router));
            }
        }
        for (attempt, pending) in state.attempts.iter().enumerate() {
            let member_alive = state.alive[pending.member];
            if member_alive || pending.refused {
                steps.push(Step::Ends { attempt, lost: false, ran: false });
            }
            // The answer to an attempt sent to a primary may be lost by itself or by a failure of the primary.
            let may_lose =
                member_alive && state.losses < self.0.losses && state.primary == Some(pending.member);
            if !pending.refused && (may_lose || !member_alive) {
                steps.push(Step::Ends { attempt, lost: true, ran: false });
                if pending.primary {
                    steps.push(Step::Ends { attempt, lost: true, ran: true });
                }
            }
        }
        match state.primary {
            Some(0) if !state.primary_failed => steps.push(Step::Dies),
            None => steps.extend((1..MEMBERS).map(Step::Promote)),
            Some(1..) if !state.alive[0] && !state.old_primary_back => steps.push(Step::Revive),
            _ => {}
        }
    }

    fn next_state(&self, previous: &ModelState, step: Step) -> Option<ModelState> {
        let mut state = previous.clone();
        match step {
            Step::Tick => state.tick(),
            Step::Ask(router) => {
                let write =
                    state.writes[router].iter().position(|op| op.sent_at.is_none() && !op.router_crashed)?;
                state.writes[router][write].sent_at = Some(state.now);
                let new_request = Request {
                    id: request(write),
                    class: ClassId(0),
                    tenant: None,
                    session: None,
                    left: Span::millis(DEADLINE_MS),
                    group: GroupId(1),
                    last_write: None,
                    cost: None,
                    retry: false,
                };
                state.handle_event(router, Event::Request(new_request));
            }
            Step::Ends { attempt, lost, ran } => {
                let pending = &state.attempts[attempt];
                let (refused, primary) = (pending.refused, state.primary == Some(pending.member));
                if lost {
                    state.losses += u8::from(state.alive[pending.member]);
                    let verdict = if self.0.reset_proves_not_run { Verdict::Broken } else { Verdict::Reset };
                    state.end_attempt(attempt, verdict, ran);
                } else if refused {
                    state.end_attempt(attempt, Verdict::ConnectFailed, false);
                } else if primary {
                    state.attempts[attempt].primary = true;
                    state.end_attempt(attempt, Verdict::Ok, true);
                } else {
                    state.attempts[attempt].primary = false;
                    state.end_attempt(attempt, Verdict::Miss, false);
                }
            }
            Step::Dies => {
                state.alive[0] = false;
                (state.primary, state.primary_failed) = (None, true);
            }
            Step::Promote(member) => state.primary = Some(member),
            Step::Revive => {
                state.alive[0] = true;
                state.old_primary_back = true;
            }
            Step::Crash(router) => {
                state.crashes += 1;
                state.attempts.retain(|attempt| attempt.router != router);
                for op in state.writes[router].iter_mut().filter(|op| op.answers.is_empty()) {
                    op.router_crashed = true;
                }
                state.routers[router] = Router::new(router as u64 + 100, settings());
                (state.wakes[router], state.drain_announced[router]) = (None, false);
                state.send_list(router);
            }
            Step::Drain(router) => {
                state.drain_announced[router] = true;
                let drains = vec![entry(0, ListState::Draining)];
                state.handle_event(router, Event::List(Listing::Changes(drains)));
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("the rules hold", |_, state| state.violation.is_none()),
            // Without such a write the check would prove nothing.
            Property::<Self>::sometimes("a write outlasts the change", |_, state| {
                let served = |op: &Write| op.answers == ["served"] && op.send_count > 1;
                state.primary_failed && state.writes.iter().flatten().any(served)
            }),
        ]
    }
}

/// Result of a check.
#[derive(Clone, Debug)]
pub struct CheckResult {
    /// Number of distinct states.
    pub states: usize,
    /// The broken rule, with the steps that lead to it.
    pub violation: Option<(String, Vec<Step>)>,
    /// Whether some write was served after it had first been sent to the old primary.
    pub write_outlasted_change: bool,
}

/// Checks all states within the bounds.
#[must_use]
pub fn check(bounds: Bounds, threads: usize) -> CheckResult {
    let checker = PrimaryChangeModel(bounds).checker().threads(threads).spawn_bfs().join();
    let discoveries: BTreeMap<_, _> = checker.discoveries().into_iter().collect();
    let violation = discoveries.get("the rules hold").map(|path| {
        let rule = path.last_state().violation.clone().unwrap_or_default();
        (rule, path.clone().into_actions())
    });
    let write_outlasted_change = discoveries.contains_key("a write outlasts the change");
    CheckResult { states: checker.unique_state_count(), violation, write_outlasted_change }
}
