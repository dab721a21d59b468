//! Model checking of the decisions themselves: the same [`Router`] that serves, stepped by stateright through all orders
//! in which a change of primary, answers, losses, a crash of a router and a drain can fall, within stated bounds.

use linnetdeal_core::*;
use stateright::{Checker, Model, Property};
use std::collections::BTreeMap;
use std::fmt;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

const MEMBERS: usize = 3;
/// What clients grant a write, and how far time is followed, in ms. Time goes on in steps, with each wake in them at its
/// own moment.
const LEFT_MS: i64 = 500;
const END_MS: i64 = 800;
const STEP_MS: i64 = 200;

/// How far the exploration goes, and what is wrong on purpose.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Routers.
    pub routers: usize,
    /// Writes that clients ask of each router.
    pub writes: usize,
    /// Answers that may be lost beside those that a death loses.
    pub losses: u8,
    /// Routers that may crash.
    pub crashes: u8,
    /// Whether a drain of the primary may be told.
    pub drains: bool,
    /// A host that takes a reset for proof that nothing ran: the walk resends after it. The check has to find it.
    pub reset_proves_not_run: bool,
}

/// An attempt that is out.
#[derive(Clone, Debug)]
struct Attempt {
    router: usize,
    write: usize,
    number: u32,
    member: usize,
    sent: i64,
    until: i64,
    /// The member was the primary when it was sent.
    primary: bool,
    /// The member was down when it was sent: nobody took it.
    refused: bool,
}

/// A write, as its client and the ledger see it.
#[derive(Clone, Debug, Default)]
struct Write {
    asked: Option<i64>,
    runs: u8,
    sends: u32,
    answers: Vec<&'static str>,
    /// Its router crashed: nobody is owed an answer.
    orphan: bool,
}

/// A state of the whole.
#[derive(Clone)]
pub struct World {
    now: i64,
    routers: Vec<Router>,
    wakes: Vec<Option<i64>>,
    told: Vec<bool>,
    attempts: Vec<Attempt>,
    /// By router, then by number.
    writes: Vec<Vec<Write>>,
    alive: [bool; MEMBERS],
    primary: Option<usize>,
    changed: bool,
    revived: bool,
    losses: u8,
    crashes: u8,
    /// Something that must never happen, in words.
    violation: Option<String>,
}

impl fmt::Debug for World {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} {:?} {:?} {:?} {:?} {:?} {:?} {} {} {} {} {:?} {:?}",
            self.now,
            self.wakes,
            self.told,
            self.attempts,
            self.writes,
            self.alive,
            self.primary,
            self.changed,
            self.revived,
            self.losses,
            self.crashes,
            self.violation,
            self.routers
        )
    }
}

impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        format!("{self:?}").hash(state);
    }
}

impl PartialEq for World {
    fn eq(&self, other: &Self) -> bool {
        format!("{self:?}") == format!("{other:?}")
    }
}

/// What can happen next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A client asks a router for its next write.
    Ask(usize),
    /// Time goes on.
    Tick,
    /// An attempt ends as the member has it; with `ran` a lost one has run.
    Ends {
        /// Which of those that are out.
        attempt: usize,
        /// Whether its answer gets lost on the way.
        lost: bool,
        /// Whether it ran before that.
        ran: bool,
    },
    /// The primary dies.
    Dies,
    /// A member takes over.
    Promote(usize),
    /// The old primary is back as a replica.
    Revive,
    /// A router dies and starts from its list.
    Crash(usize),
    /// A router is told that the primary drains.
    Drain(usize),
}

fn id(at: usize) -> MemberId {
    MemberId(Arc::from(format!("s-{at}")))
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

fn entry(at: usize, state: ListState) -> Entry {
    Entry { member: id(at), group: GroupId(1), state, primary: at == 0, started: None, zone: String::new() }
}

impl World {
    fn start(bounds: &Bounds) -> Self {
        let mut world = Self {
            now: 0,
            routers: Vec::new(),
            wakes: vec![None; bounds.routers],
            told: vec![false; bounds.routers],
            attempts: Vec::new(),
            writes: vec![vec![Write::default(); bounds.writes]; bounds.routers],
            alive: [true; MEMBERS],
            primary: Some(0),
            changed: false,
            revived: false,
            losses: 0,
            crashes: 0,
            violation: None,
        };
        for at in 0..bounds.routers {
            world.routers.push(Router::new(at as u64, settings()));
            world.list(at);
        }
        world
    }

    /// A router's list from before all: all up, the first the primary.
    fn list(&mut self, router: usize) {
        let entries = (0..MEMBERS).map(|at| entry(at, ListState::Healthy)).collect();
        self.feed(router, Event::List(Listing::Full(entries)));
    }

    fn time(&self) -> Time {
        Time(1_000_000_000 + self.now * 1_000)
    }

    /// Feeds a router, and carries out what it orders; a probe is answered at once with what is true.
    fn feed(&mut self, router: usize, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let (now, mut actions) = (self.time(), Vec::new());
            self.routers[router].handle(now, event, &mut actions);
            for action in actions {
                match action {
                    Action::Send { request, member, timeout } => self.send(router, request, &member, timeout),
                    Action::Refuse { request, .. } => self.answer(router, request, "refused"),
                    Action::Fail { request } => self.answer(router, request, "failed"),
                    Action::Wake { at } => {
                        self.wakes[router] = Some((at.0 - 1_000_000_000).div_euclid(1_000) + 1)
                    }
                    Action::Probe { member } => events.push(self.probed(member)),
                    Action::Cancel { .. } | Action::Tell { .. } | Action::Subscribe | Action::Log { .. } => {}
                }
            }
        }
    }

    fn probed(&self, member: MemberId) -> Event {
        let at = (0..MEMBERS).find(|at| id(*at) == member).unwrap_or(0);
        let took = Span::millis(1);
        if !self.alive[at] {
            return Event::Probed { member, verdict: Verdict::ConnectFailed, took, report: None };
        }
        let role = f64::from(u8::from(self.primary == Some(at)));
        let report = Some(vec![self.time().0 as f64 / 1e6, role]);
        Event::Probed { member, verdict: Verdict::Ok, took, report }
    }

    fn send(&mut self, router: usize, request: RequestId, member: &MemberId, timeout: Span) {
        let write = request.0 as usize - 1;
        let member = (0..MEMBERS).find(|at| id(*at) == *member).unwrap_or(0);
        if self.told[router] && member == 0 {
            self.violation = Some("sent to a member after it was told to drain".into());
        }
        if !self.writes[router][write].answers.is_empty() {
            self.violation = Some("sent after its final answer".into());
        }
        if self.attempts.iter().any(|of| of.router == router && of.write == write) {
            self.violation = Some("two attempts out at once".into());
        }
        let one = &mut self.writes[router][write];
        let number = one.sends;
        one.sends += 1;
        let (sent, primary) = (self.now, self.primary == Some(member));
        let until = sent + timeout.0.div_euclid(1_000);
        let refused = !self.alive[member];
        self.attempts.push(Attempt { router, write, number, member, sent, until, refused, primary });
    }

    fn answer(&mut self, router: usize, request: RequestId, how: &'static str) {
        let write = request.0 as usize - 1;
        let out = self.attempts.iter().any(|of| of.router == router && of.write == write);
        let one = &mut self.writes[router][write];
        one.answers.push(how);
        if one.answers.len() > 1 {
            self.violation = Some("two final answers".into());
        } else if how == "refused" && (one.runs > 0 || out) {
            self.violation = Some("refused, though it ran or still may".into());
        }
    }

    /// An attempt ends so.
    fn end(&mut self, at: usize, verdict: Verdict, ran: bool) {
        let Attempt { router, write, number, member, sent, primary, .. } = self.attempts.remove(at);
        let one = &mut self.writes[router][write];
        one.runs += u8::from(ran);
        if one.runs > 1 {
            self.violation = Some("a write ran twice".into());
        }
        let served = verdict == Verdict::Ok;
        if served {
            self.answer(router, request(write), "served");
        }
        let role = if primary { Role::Primary } else { Role::Replica };
        let tells = matches!(verdict, Verdict::Ok | Verdict::Miss);
        let note = tells.then_some(Note { role: Some(role), position: None });
        self.feed(
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

    /// Time goes on by a step, with each wake and each time-out in it at its own moment.
    fn tick(&mut self) {
        let target = self.now + STEP_MS;
        // Each wake asks for the next one 10 ms later at the soonest.
        for _ in 0..400 {
            let wake =
                self.wakes.iter().enumerate().filter_map(|(at, wake)| wake.map(|wake| (wake, at))).min();
            let late = self.attempts.iter().enumerate().map(|(at, of)| (of.until, at)).min();
            let next = wake.map(|(at, _)| at).into_iter().chain(late.map(|(at, _)| at)).min();
            let Some(next) = next.filter(|next| *next <= target) else { break };
            self.now = self.now.max(next);
            match late.filter(|(at, _)| *at == next) {
                Some((_, at)) => self.end(at, Verdict::Timeout, false),
                None => {
                    if let Some((_, router)) = wake {
                        self.wakes[router] = None;
                        self.feed(router, Event::Wake);
                    }
                }
            }
        }
        self.now = target;
        let over = |one: &Write| one.asked.is_some_and(|at| target > at + LEFT_MS + 20);
        if self.writes.iter().flatten().any(|one| over(one) && one.answers.is_empty() && !one.orphan) {
            self.violation = Some("no answer by the deadline".into());
        }
    }
}

/// The model.
#[derive(Clone, Debug)]
pub struct Change(pub Bounds);

impl Model for Change {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        vec![World::start(&self.0)]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        if world.violation.is_some() {
            return;
        }
        if world.now < END_MS {
            steps.push(Step::Tick);
        }
        for router in 0..self.0.routers {
            let more = world.writes[router].iter().any(|one| one.asked.is_none() && !one.orphan);
            if more && world.now + LEFT_MS <= END_MS {
                steps.push(Step::Ask(router));
            }
            if world.crashes < self.0.crashes {
                steps.push(Step::Crash(router));
            }
            if self.0.drains && !world.told[router] && !world.changed {
                steps.push(Step::Drain(router));
            }
        }
        for (attempt, of) in world.attempts.iter().enumerate() {
            let here = world.alive[of.member];
            if here || of.refused {
                steps.push(Step::Ends { attempt, lost: false, ran: false });
            }
            // What was sent to a primary may get lost beside a death, or with it.
            let by_chance = here && world.losses < self.0.losses && world.primary == Some(of.member);
            if !of.refused && (by_chance || !here) {
                steps.push(Step::Ends { attempt, lost: true, ran: false });
                if of.primary {
                    steps.push(Step::Ends { attempt, lost: true, ran: true });
                }
            }
        }
        match world.primary {
            Some(0) if !world.changed => steps.push(Step::Dies),
            None => steps.extend((1..MEMBERS).map(Step::Promote)),
            Some(1..) if !world.alive[0] && !world.revived => steps.push(Step::Revive),
            _ => {}
        }
    }

    fn next_state(&self, before: &World, step: Step) -> Option<World> {
        let mut world = before.clone();
        match step {
            Step::Tick => world.tick(),
            Step::Ask(router) => {
                let write = world.writes[router].iter().position(|one| one.asked.is_none() && !one.orphan)?;
                world.writes[router][write].asked = Some(world.now);
                let ask = Request {
                    id: request(write),
                    class: ClassId(0),
                    tenant: None,
                    session: None,
                    left: Span::millis(LEFT_MS),
                    group: GroupId(1),
                    last_write: None,
                    cost: None,
                    retry: false,
                };
                world.feed(router, Event::Request(ask));
            }
            Step::Ends { attempt, lost, ran } => {
                let of = &world.attempts[attempt];
                let (refused, primary) = (of.refused, world.primary == Some(of.member));
                if lost {
                    world.losses += u8::from(world.alive[of.member]);
                    let verdict = if self.0.reset_proves_not_run { Verdict::Broken } else { Verdict::Reset };
                    world.end(attempt, verdict, ran);
                } else if refused {
                    world.end(attempt, Verdict::ConnectFailed, false);
                } else if primary {
                    world.attempts[attempt].primary = true;
                    world.end(attempt, Verdict::Ok, true);
                } else {
                    world.attempts[attempt].primary = false;
                    world.end(attempt, Verdict::Miss, false);
                }
            }
            Step::Dies => {
                world.alive[0] = false;
                (world.primary, world.changed) = (None, true);
            }
            Step::Promote(at) => world.primary = Some(at),
            Step::Revive => {
                world.alive[0] = true;
                world.revived = true;
            }
            Step::Crash(router) => {
                world.crashes += 1;
                world.attempts.retain(|of| of.router != router);
                for one in world.writes[router].iter_mut().filter(|one| one.answers.is_empty()) {
                    one.orphan = true;
                }
                world.routers[router] = Router::new(router as u64 + 100, settings());
                (world.wakes[router], world.told[router]) = (None, false);
                world.list(router);
            }
            Step::Drain(router) => {
                world.told[router] = true;
                let drains = vec![entry(0, ListState::Draining)];
                world.feed(router, Event::List(Listing::Changes(drains)));
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("the rules hold", |_, world| world.violation.is_none()),
            // Else the check would show nothing.
            Property::<Self>::sometimes("a write outlasts the change", |_, world| {
                let served = |one: &Write| one.answers == ["served"] && one.sends > 1;
                world.changed && world.writes.iter().flatten().any(served)
            }),
        ]
    }
}

/// What a check found.
#[derive(Clone, Debug)]
pub struct CheckResult {
    /// Different states.
    pub states: usize,
    /// What went wrong, with the steps that lead there.
    pub violation: Option<(String, Vec<Step>)>,
    /// Whether some write was served after having been sent to the old primary.
    pub write_outlasted_change: bool,
}

/// Checks all states within these bounds.
#[must_use]
pub fn check(bounds: Bounds, threads: usize) -> CheckResult {
    let checker = Change(bounds).checker().threads(threads).spawn_bfs().join();
    let discoveries: BTreeMap<_, _> = checker.discoveries().into_iter().collect();
    let violation = discoveries.get("the rules hold").map(|path| {
        let words = path.last_state().violation.clone().unwrap_or_default();
        (words, path.clone().into_actions())
    });
    let write_outlasted_change = discoveries.contains_key("a write outlasts the change");
    CheckResult { states: checker.unique_state_count(), violation, write_outlasted_change }
}
