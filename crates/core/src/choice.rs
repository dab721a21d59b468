//! Every decision of linnetdeal. The types, events and actions stand in `interface.rs`.
//!
//! Map: tuned values; `Router::handle`; the list; placing; outcomes; evidence of role and position; the one
//! notion of a *valid* member (`judge`, `load`, `suspect`, `room`); crowding; probes; the sweep.
//!
//! The mechanism is Wu and Kemme's: a read goes to a random member of those fresh enough; only when that
//! one's load is over the threshold do the next `FORWARD_STEPS` in sorted order get a look, else the first pick
//! serves. A write goes to the marked primary, walks on proof that nothing ran, and is then held.

mod retune;

use crate::given_up::{GivenUp, Reasons};
use crate::handover::*;
use crate::interface::*;
use crate::latency::LatencyEstimate;
use crate::peers::{Gossip, Observation};
use crate::sessions::Sessions;
use crate::state::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A member is valid while its load is under this multiple of the pool's mean; 1.0 tried, no difference.
const THRESHOLD: f64 = 1.2;
/// How many members after the first pick are looked at (the paper's m); 4 tried, no difference.
const FORWARD_STEPS: usize = 2;
/// How often held requests are looked over, and how late a wake tells of an own stall.
const TICK_INTERVAL: Span = Span::millis(10);
const PROCESS_PAUSE: Span = Span::millis(60);
/// How long a refused read, or a reading of a lag, is held against a member that checks its reads; and after
/// how long a report that is as old as what is known counts as a new reading.
const LAG_OBSERVATION_TTL: Span = Span::millis(1_000);
const REPORT_REFRESH_AGE: Span = Span::millis(500);
/// Deviations above the mean of a class's answers, and the least part of its aim, after which another attempt
/// is made: work that varies by chance takes 4 of them once in 50 times, 8 once in 1,000. After fewer one is
/// overdue; a member is silent after so many times that (1 tried).
const ATTEMPT_TIMEOUT_DEVIATIONS: f64 = 8.0;
const MIN_ATTEMPT_TIMEOUT: f64 = 0.3;
const OVERDUE_DEVIATIONS: f64 = 4.0;
const SILENCE_FACTOR: f64 = 2.0;
/// Deviations above the mean that a read must have left to be worth sending (1 to 3 tried) before its aim, or
/// its deadline if late it is worth this part or nobody else wants the room. Asked of what waited and, from
/// this crowding (0.35 lost 0.02), of part of the new: else no answer would show its end.
const FEASIBILITY_DEVIATIONS: f64 = 1.5;
const MIN_LATE_WORTH: f64 = 0.5;
const FEASIBILITY_OVERLOAD: f64 = 0.525;
const FEASIBILITY_CHECKED_SHARE: f64 = 0.8;
/// A class's usual time counts for no more than this part of the aim when a member is found too slow for it.
const MAX_USUAL_SHARE_OF_AIM: f64 = 0.5;
/// The part of its time that a read waits for a member; refused later, its client has no time to come back.
const MAX_HELD_SHARE: f64 = 0.4;
/// Illness (0 well, 1 dead): where ejection starts, the part of the way to 1 that failures add, and what an
/// answer leaves of it. The first ejection is doubled each time, up to the longest.
const EJECTION_SCORE: f64 = 0.6;
const LOST_ANSWER_PENALTY: f64 = 0.3;
const CONNECT_FAILURE_PENALTY: f64 = 0.7;
const ERROR_PENALTY: f64 = 0.4;
const SCORE_DECAY_PER_ANSWER: f64 = 0.8;
const BASE_EJECTION: Span = Span::millis(250);
const MAX_EJECTION: Span = Span::millis(4_000);
const MAX_DOUBLINGS: u32 = 5;
/// A request that this many members answered with an error is at fault itself.
const MAX_ERROR_ANSWERS: usize = 2;
/// Concurrency limit at a member: the first (over all routers) and the least for one router, what a sign of
/// crowding leaves of it, the part in use from which it grows, and the part of a primary's that reads fill.
const INITIAL_LIMIT: f64 = 16.0;
const MIN_INITIAL_LIMIT: f64 = 1.5;
const MIN_LIMIT: f64 = 1.0;
const LIMIT_DECREASE: f64 = 0.7;
const LIMIT_GROWTH_USE: f64 = 0.7;
const PRIMARY_READ_SHARE: f64 = 0.5;
/// The same where members check their reads and all replicas lag.
const PRIMARY_READ_SHARE_WHEN_LAGGING: f64 = 0.8;
/// The part of the aim within which an answer comes from a member that is not crowded; 0.6 tried.
const IN_TIME_SHARE_OF_AIM: f64 = 0.4;
/// Crowding, the share of answers not in good time: where shedding starts and is complete, an idle fleet's,
/// from where replicas are crowded, and how many answers what is seen elsewhere counts for (most see few).
/// Reads spill over to a primary by the chance by which its replicas are more crowded; with 0.2 off it, reads
/// were refused beside idle primaries.
const SHEDDING_START: f64 = 0.45;
const SHEDDING_COMPLETE: f64 = 0.8;
const OVERLOAD_PRIOR: f64 = 0.2;
const SPILL_OVERLOAD: f64 = 0.22;
const OVERLOAD_PRIOR_WEIGHT: f64 = 3.0;
/// Second tries that each request brings to the retry budget, and the most that it holds.
const RETRY_BUDGET_GAIN: f64 = 0.1;
const MAX_RETRY_BUDGET: f64 = 10.0;
/// Load: the most that an attempt out counts.
const MAX_ATTEMPT_LOAD: f64 = 4.0;
/// The least retry-after (at once would add to a crowd), and when a failed call for the list is made again.
const MIN_RETRY_AFTER: Span = Span::millis(100);
const RESUBSCRIBE_DELAY: Span = Span::millis(1_000);
/// How long counts of the late past last, in microseconds; and at most one log line in this time.
const DECAY_US: f64 = 7e6;
const LOG_INTERVAL: Span = Span::millis(1_000);

/// The decisions of one router.
#[derive(Clone, Debug)]
pub struct Router {
    settings: Settings,
    rng: ChaCha8Rng,
    members: BTreeMap<MemberId, Member>,
    groups: BTreeMap<GroupId, Group>,
    open: BTreeMap<RequestId, OpenRequest>,
    due: BTreeSet<(Time, RequestId)>,
    /// Groups that hold requests, and those of which something new is known.
    waiting: BTreeSet<GroupId>,
    dirty: BTreeSet<GroupId>,
    latencies: Vec<LatencyEstimate>,
    /// Worth served and asked for.
    class_worth: Vec<DecayingCounts>,
    tenant_worth: Vec<DecayingCounts>,
    sessions: Sessions,
    reasons: Reasons,
    change_durations: ChangeDurations,
    peers: Gossip,
    late_answers: [DecayingCounts; 2],
    /// Answers, of all members in service.
    answer_counts: DecayingCounts,
    in_service: f64,
    retry_budget: f64,
    wake: Option<Time>,
    last_tick: Time,
    paused_at: Time,
    subscribe_at: Option<Time>,
    pending_log: Option<String>,
    last_log: Time,
}

impl Router {
    /// A router that knows nothing but its settings.
    #[must_use]
    pub fn new(seed: u64, settings: Settings) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            latencies: settings.classes.iter().map(|class| LatencyEstimate::initial(class.aim)).collect(),
            class_worth: vec![DecayingCounts::default(); settings.classes.len()],
            tenant_worth: vec![DecayingCounts::default(); settings.tenants.len()],
            members: BTreeMap::new(),
            groups: BTreeMap::new(),
            open: BTreeMap::new(),
            due: BTreeSet::new(),
            waiting: BTreeSet::new(),
            dirty: BTreeSet::new(),
            sessions: Sessions::default(),
            reasons: Reasons::default(),
            change_durations: ChangeDurations::new(settings.changes),
            peers: Gossip::new(seed, &settings),
            late_answers: [DecayingCounts::default(); 2],
            answer_counts: DecayingCounts::default(),
            in_service: 0.0,
            retry_budget: 1.0,
            wake: None,
            last_tick: NEVER,
            paused_at: NEVER,
            subscribe_at: (settings.discovery == Discovery::Ask).then_some(NEVER),
            pending_log: None,
            last_log: NEVER,
            settings,
        }
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.reasons.begin();
        if self.wake.is_some_and(|at| now - at > PROCESS_PAUSE) {
            self.paused_at = now;
        }
        self.wake = self.wake.filter(|at| now < *at);
        match event {
            Event::List(listing) => self.apply_list(now, listing),
            Event::Request(request) => self.accept_request(now, &request, actions),
            Event::Gone(id) => drop(self.close_request(id, actions)),
            Event::Streaming(id) => drop(self.close_request(id, &mut Vec::new())),
            Event::Wake => {}
            Event::Told { from, bytes } => self.apply_peer_message(now, from, &bytes),
            Event::Outcome(outcome) => self.record_outcome(now, outcome, actions),
            Event::Probed { member, verdict, took, report } => {
                // An answered probe is no sign of life: it passes beside the queue of a member that hangs.
                self.apply_report(now, &member, report.as_deref());
                if matches!(verdict, Verdict::ConnectFailed | Verdict::Unreachable) {
                    self.record_verdict(now, &member, verdict, took, None);
                }
            }
        }
        self.tick(now, actions);
        self.release_held(now, actions);
        self.peers.send_due(now, actions);
        if let Some(line) = self.pending_log.take().filter(|_| now - self.last_log >= LOG_INTERVAL) {
            self.last_log = now;
            actions.push(Action::Log { line });
        }
        let soon = (!self.waiting.is_empty()).then_some(now + TICK_INTERVAL);
        let next = self.due.first().map(|due| due.0.max(now + Span(1)));
        let next = next.into_iter().chain(soon).chain(self.subscribe_at).min();
        if let Some(at) = next.filter(|next| self.wake.is_none_or(|at| *next < at)) {
            self.wake = Some(at);
            actions.push(Action::Wake { at });
        }
    }

    /// What is known of each group's primary, with its latest turns.
    pub fn primaries(&self) -> impl Iterator<Item = (GroupId, &PrimaryTracker)> {
        self.groups.iter().map(|(id, group)| (*id, &group.tracker))
    }

    // ---- The list: the weakest evidence. It names members, drains and starts; the rest is hearsay.

    fn apply_list(&mut self, now: Time, listing: Listing) {
        let (entries, full) = match listing {
            Listing::Full(entries) => (entries, true),
            Listing::Changes(entries) => (entries, false),
            Listing::Failed => {
                self.subscribe_at = Some(now + RESUBSCRIBE_DELAY);
                return;
            }
            Listing::Forgotten(members) => return self.forget_members(&members),
        };
        // Many routers may start together, and each knows only its own part.
        let limit = (INITIAL_LIMIT / f64::from(self.settings.fleet)).max(MIN_INITIAL_LIMIT);
        let mut named = BTreeSet::new();
        for entry in entries {
            self.groups.entry(entry.group).or_default().members.insert(entry.member.clone());
            self.dirty.insert(entry.group);
            named.extend(full.then(|| entry.member.clone()));
            let (dice, id) = (self.random_fraction(), entry.member.clone());
            self.peers.add_member(&id);
            let m = self.members.entry(entry.member).or_insert_with(|| Member::new(entry.group, limit));
            let before = std::mem::replace(&mut m.group, entry.group);
            if let Some(group) = self.groups.get_mut(&before).filter(|_| before != entry.group) {
                group.remove_member(&id);
            }
            self.in_service += m.apply_list_state(entry.state);
            m.listed_primary = entry.primary;
            if let Some(at) = entry.started.filter(|_| entry.started > m.cold.started()) {
                m.begin_slow_start(now, at, dice);
                m.seen_replica_at = m.seen_replica_at.max(at.min(now)); // It may be another now; clocks may be ahead.
            }
        }
        let most = if full { usize::MAX } else { 0 };
        for (_, m) in self.members.iter_mut().filter(|(id, _)| !named.contains(*id)).take(most) {
            self.in_service += m.apply_list_state(ListState::Gone);
        }
    }

    /// Lets go of members that are out of service, unless something is still out at them.
    fn forget_members(&mut self, members: &[MemberId]) {
        let done = |m: &Member| m.state != ListState::Healthy && m.in_flight.is_empty();
        for id in members {
            if let Some(m) = self.members.get(id).filter(|m| done(m)) {
                self.groups.entry(m.group).and_modify(|group| group.remove_member(id));
                self.members.remove(id);
                self.peers.remove_member(id);
            }
        }
        self.groups.retain(|_, group| !group.members.is_empty() || !group.held.is_empty());
    }

    fn accept_request(&mut self, now: Time, request: &Request, actions: &mut Vec<Action>) {
        let Some(class) = self.settings.classes.get(request.class.0) else {
            actions.push(Action::Fail { request: request.id });
            return;
        };
        let token = match self.settings.tokens {
            // The commit was rounded up and the age may be rounded too: a millisecond on the safe side.
            Tokens::Carried => request.last_write.map(|ago| now - ago + Span::millis(1)),
            Tokens::Remembered => request.session.and_then(|key| self.sessions.must_see(key)),
        };
        let stretch = request.cost.map_or(Span(0), |cost| cost.times(class.aim_stretch));
        let deadline = now + request.left;
        let open = OpenRequest {
            class: request.class.0,
            tenant: request.tenant.map(|tenant| tenant.0),
            group: request.group,
            session: request.session,
            token,
            retry: request.retry,
            arrived: now,
            aim: (now + class.aim + stretch).min(deadline),
            deadline,
            attempts: Vec::new(),
            attempt_limit: self.settings.max_attempts,
            may_have_run: false,
            rejections: 0,
            due_at: deadline,
        };
        self.record_worth(now, &open, [0.0, 1.0]);
        self.peers.credit_request();
        self.retry_budget = (self.retry_budget + RETRY_BUDGET_GAIN).min(MAX_RETRY_BUDGET);
        self.due.insert((deadline, request.id));
        self.open.insert(request.id, open);
        self.place(now, request.id, actions);
    }

    fn place(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let chance = self.random_fraction();
        let Some(open) = self.open.get(&id) else { return };
        let class = &self.settings.classes[open.class];
        let spent = open.attempts.len() as u32 >= open.attempt_limit;
        let ran = open.may_have_run && class.effect != Effect::Safe;
        let takes = self.latencies[open.class].upper_bound(FEASIBILITY_DEVIATIONS);
        let (first, crowding) = (open.attempts.is_empty(), self.overload(now, open.group, REPLICA));
        let late = if crowding > SPILL_OVERLOAD { MIN_LATE_WORTH } else { f64::MIN_POSITIVE };
        let last = if class.late_worth < late { open.aim } else { open.deadline };
        let jam = crowding > FEASIBILITY_OVERLOAD && chance < FEASIBILITY_CHECKED_SHARE;
        // Its worth began to run out with its client's first try: it must not crowd out those that are.
        let again = open.retry && first && class.effect == Effect::Safe && crowding > SPILL_OVERLOAD;
        let waited = jam || now > open.arrived;
        // One never sent keeps its client from trying elsewhere: it is told while half its time is left.
        let old = first && now - open.arrived > (open.deadline - open.arrived).times(MAX_HELD_SHARE);
        // A write is held while there is no primary; at a crowded one it would go out too late.
        let tracker = self.tracker_if_needed(open);
        let held =
            class.need == Need::Write && tracker.is_none_or(|tracker| tracker.phase() != Phase::Settled);
        let hopeless = !held && waited && (old || now + takes >= last);
        let vain = tracker.is_some_and(|tracker| tracker.outlasts(open.deadline, &self.change_durations));
        let reasons = [
            (spent, GivenUp::AttemptsSpent),
            (ran, GivenUp::MayHaveRun),
            (again, GivenUp::RetryGaveWay),
            (hopeless, GivenUp::TooLate),
            (vain, GivenUp::NoPrimaryInTime),
            (now + TICK_INTERVAL >= open.deadline, GivenUp::DeadlineOver),
        ];
        if let Some((_, why)) = reasons.into_iter().find(|(holds, _)| *holds) {
            self.give_up(now, id, why, actions);
            return;
        }
        let new = first && now == open.arrived;
        let (key, gid) = ((open.arrived, id), open.group);
        let to = match class.need {
            Need::Write => self.place_write(now, id, actions),
            _ => self.place_read(now, id, actions),
        };
        if to.as_ref().is_some_and(|to| new && self.should_shed(now, id, self.members[to].role())) {
            self.give_up(now, id, GivenUp::Shed, actions);
            return;
        }
        let group = self.groups.entry(gid).or_default();
        if let Some(member) = to {
            group.held.remove(&key);
            self.send(now, id, member, actions);
        } else {
            group.held.insert(key);
            self.waiting.insert(gid);
        }
    }

    /// The paper's choice: a random member of those fresh enough; over the threshold, the forward step.
    fn place_read(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) -> Option<MemberId> {
        let (dice, chance) = (self.rng.next_u32() as usize, self.random_fraction());
        let open = self.open.get(&id)?;
        let need = self.required_position(now, open);
        let fresh_only = self.settings.classes[open.class].need == Need::Fresh;
        let gid = open.group;
        let primary =
            self.confirmed_primary(now, gid).or(self.trial_primary(now, gid).filter(|_| fresh_only));
        let group = self.groups.get(&gid)?;
        let replicas = group.members.iter().map(|id| (id, &self.members[id])).filter(|_| !fresh_only);
        let replicas: Vec<_> =
            replicas.filter(|(id, m)| self.may_send_to(m) && Some(*id) != primary).collect();
        let usual = self.latencies[open.class]
            .upper_bound(0.0)
            .min((open.aim - open.arrived).times(MAX_USUAL_SHARE_OF_AIM));
        // Tried members and suspects serve only where nobody better is left, the primary included.
        let rank = |(id, m): &(&MemberId, &Member)| {
            // Nor does one that is known to be too slow. Where all are, it is no member's fault.
            let late = now + usual.times(m.slowness.ratio(now)) > open.aim;
            2 * u8::from(open.tried(id)) + u8::from(late || self.is_suspect(m, now))
        };
        let mut pool = replicas.clone();
        pool.retain(|(_, m)| self.is_fresh_enough(m, need, now));
        let best = pool.iter().map(rank).min();
        pool.retain(|of| Some(rank(of)) == best && (best == Some(0) || primary.is_none()));
        let lagging = pool.is_empty() && self.settings.checks == Checks::Refuse;
        let share = if lagging { PRIMARY_READ_SHARE_WHEN_LAGGING } else { PRIMARY_READ_SHARE };
        pool.retain(|(_, m)| self.has_room(m, now));
        // Where members do not check, the random pick is asked for its position if that is not known to do:
        // asking each member costs more than it brings where routers have little traffic.
        let mut ask: Vec<MemberId> = Vec::new();
        if need.is_some() && self.settings.checks == Checks::None && !replicas.is_empty() {
            let pick = Some(replicas[dice % replicas.len()]);
            let unknown =
                pick.filter(|(_, m)| !self.is_fresh_enough(m, need, now) && !self.is_suspect(m, now));
            ask.extend(unknown.map(|(id, _)| id.clone()));
        }
        let crowded = self.overload(now, gid, REPLICA);
        let over = if crowded > SPILL_OVERLOAD { crowded - self.overload(now, gid, PRIMARY) } else { 0.0 };
        let spills = primary.is_some() && !pool.is_empty() && chance < over;
        let pick = if pool.is_empty() || spills {
            let spare = |m: &Member| {
                fresh_only || spills || self.outstanding_work(m, now) + 1.0 <= m.concurrency_limit * share
            };
            primary.filter(|id| spare(&self.members[*id]) && self.has_room(&self.members[*id], now)).cloned()
        } else {
            let loads: Vec<f64> = pool.iter().map(|(_, m)| self.load(m, now)).collect();
            let valid = THRESHOLD * loads.iter().sum::<f64>() / loads.len() as f64;
            let first = crate::subset::first_pick(dice, self.settings.rank, self.settings.fleet, pool.len());
            let mut steps = (0..=FORWARD_STEPS.min(pool.len() - 1)).map(|step| (first + step) % pool.len());
            let at = steps.find(|at| loads[*at] <= valid).unwrap_or(first);
            Some(pool[at].0.clone())
        };
        let bound = |class: &Class| if let Need::Bounded(bound) = class.need { Some(bound) } else { None };
        let every = self.settings.classes.iter().filter_map(bound).min().unwrap_or(LAG_OBSERVATION_TTL);
        self.probe(now, &ask, every, actions);
        if pick.is_none() && self.confirmed_primary(now, gid).is_none() {
            let (family, fleet) = (self.member_views(now, gid), self.settings.fleet);
            let ask = self.groups.get_mut(&gid)?.tracker.probe_targets(now, fleet, &family);
            self.probe(now, &ask, Span(1), actions);
        }
        pick
    }

    /// The marked primary, while nothing speaks against it; otherwise the write waits for one to be shown.
    fn place_write(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) -> Option<MemberId> {
        let open = self.open.get(&id)?;
        let (gid, walked) = (open.group, open.rejections);
        let (shown, family) = (self.confirmed_primary(now, gid).is_some(), self.member_views(now, gid));
        let tracker = &mut self.groups.get_mut(&gid)?.tracker;
        match tracker.place(now, &family, shown, walked, &self.settings)? {
            WritePlacement::Mark(mark) => Some(mark).filter(|mark| self.has_room(&self.members[mark], now)),
            WritePlacement::Wait(scout, ask) => {
                self.probe(now, &ask, Span(1), actions);
                scout
            }
        }
    }

    fn send(&mut self, now: Time, id: RequestId, member: MemberId, actions: &mut Vec<Action>) {
        let Some((open, m)) = self.open.get(&id).zip(self.members.get(&member)) else { return };
        let (required, usual) = (self.required_position(now, open), self.usual_rate(now));
        let class = &self.settings.classes[open.class];
        let pace = self.latencies[open.class];
        let patience = pace.upper_bound(ATTEMPT_TIMEOUT_DEVIATIONS).max(class.aim.times(MIN_ATTEMPT_TIMEOUT));
        // Until the client leaves: what is given up goes on at the member, and its client comes again.
        let left = open.deadline - now;
        // Second tries stop where the whole group is slow: they would only add to it.
        let again = class.effect == Effect::Safe
            && now + patience + pace.upper_bound(0.0) < open.aim
            && self.overload(now, m.group, m.role()) < SHEDDING_START;
        let hedged = again && self.settings.second_copies;
        let timeout = if again && !hedged && self.retry_budget >= 1.0 { patience } else { left };
        let due = if hedged { now + patience } else { open.deadline };
        self.set_due(id, due);
        let Some((open, m)) = self.open.get_mut(&id).zip(self.members.get_mut(&member)) else { return };
        let attempt = AttemptNo(open.attempts.len() as u32);
        open.attempts.push(Attempt { member: member.clone(), pending: true, errored: false });
        m.in_flight.insert(
            (id, attempt),
            InFlight { sent_at: now, class: open.class, session: open.session, required },
        );
        m.cold.sent(now, usual, &self.settings);
        actions.push(Action::Send { request: id, member, timeout: timeout.min(left) });
    }

    fn set_due(&mut self, id: RequestId, at: Time) {
        let Some(open) = self.open.get_mut(&id) else { return };
        self.due.remove(&(open.due_at, id));
        self.due.insert((at, id));
        open.due_at = at;
    }

    /// The final answer to what is given up on, at once: a refusal where a retry does no harm.
    fn give_up(&mut self, now: Time, id: RequestId, why: GivenUp, actions: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id) else { return };
        self.reasons.add(id, why);
        let safe = self.settings.classes[open.class].effect == Effect::Safe;
        if safe || (!open.may_have_run && now + TICK_INTERVAL < open.deadline) {
            let back = self
                .tracker_if_needed(open)
                .and_then(|tracker| tracker.expected_wait(now, &self.change_durations));
            let wait = self.latencies[open.class]
                .upper_bound(0.0)
                .max(MIN_RETRY_AFTER)
                .max(back.unwrap_or_default());
            let retry_after = self.settings.retry_after.then(|| wait.min(self.settings.max_retry_after));
            actions.push(Action::Refuse { request: id, retry_after });
        } else {
            actions.push(Action::Fail { request: id });
        }
        self.close_request(id, actions);
    }

    /// The state of a request's group, if it needs the primary and never ran.
    fn tracker_if_needed(&self, open: &OpenRequest) -> Option<&PrimaryTracker> {
        let needs = matches!(self.settings.classes[open.class].need, Need::Write | Need::Fresh);
        self.groups.get(&open.group).filter(|_| needs && !open.may_have_run).map(|group| &group.tracker)
    }

    fn close_request(&mut self, id: RequestId, actions: &mut Vec<Action>) -> Option<OpenRequest> {
        let open = self.open.remove(&id)?;
        self.due.remove(&(open.due_at, id));
        if let Some(group) = self.groups.get_mut(&open.group) {
            group.held.remove(&(open.arrived, id));
            // A client may name any group; one without members is kept no longer than its requests.
            if group.members.is_empty() && group.held.is_empty() {
                self.groups.remove(&open.group);
            }
        }
        for (at, attempt) in open.attempts.iter().enumerate() {
            if attempt.pending && self.settings.cancels {
                actions.push(Action::Cancel { request: id, attempt: AttemptNo(at as u32) });
            }
        }
        Some(open)
    }

    fn record_outcome(&mut self, now: Time, outcome: Outcome, actions: &mut Vec<Action>) {
        let Outcome { request: id, attempt, member, mut verdict, note, took, closed, report } = outcome;
        // A member that answered others meanwhile is not down: it was this connection.
        let lives = self.members.get(&member).is_some_and(|m| m.last_answer_at > now - took);
        if lives && matches!(verdict, Verdict::ConnectFailed | Verdict::Unreachable) {
            verdict = Verdict::Broken;
        }
        let out = self.members.get_mut(&member).and_then(|m| m.in_flight.remove(&(id, attempt)));
        let write = out.as_ref().is_some_and(|o| self.settings.classes[o.class].need == Need::Write);
        self.apply_note(now, &member, note, took, write);
        self.apply_report(now, &member, report.as_deref());
        self.record_verdict(now, &member, verdict, took, out.as_ref());
        let wrote = out.filter(|_| write && verdict == Verdict::Ok).and_then(|out| out.session);
        if let Some(key) = wrote {
            let at = note.and_then(|n| n.position).unwrap_or(now);
            self.sessions.wrote(key, at);
        }
        let Some(open) = self.open.get_mut(&id) else { return };
        if let Some(attempt) = open.attempts.get_mut(attempt.0 as usize) {
            attempt.pending = false;
            attempt.errored = verdict == Verdict::Error;
        }
        let mut errored = open.attempts.iter().filter(|attempt| attempt.errored);
        let futile = errored.clone().count() >= MAX_ERROR_ANSWERS;
        // A member that fails what a peer answers is at fault itself.
        let failing = errored.next().filter(|_| verdict == Verdict::Ok && !futile);
        if let Some(m) = failing.and_then(|attempt| self.members.get_mut(&attempt.member)) {
            m.record_failure(now, ERROR_PENALTY);
        }
        if closed {
            let in_time = now <= open.aim && verdict == Verdict::Ok;
            if let Some(open) = self.close_request(id, actions).filter(|_| in_time) {
                self.record_worth(now, &open, [1.0, 0.0]);
            }
            return;
        }
        open.may_have_run |= !verdict.never_ran();
        if open.attempts.iter().any(|attempt| attempt.pending) {
            return;
        }
        if futile {
            self.give_up(now, id, GivenUp::RepeatedErrors, actions);
            return;
        }
        // Proof that nothing ran at the mark moves it to the next member; not what was never sent to it.
        if write && verdict.never_ran() {
            let gid = open.group;
            if !matches!(verdict, Verdict::Full | Verdict::Moot | Verdict::Broken) {
                open.rejections += 1;
                let why = if verdict == Verdict::Miss { Evidence::TurnedAway } else { Evidence::Unreached };
                let family = self.member_views(now, gid);
                self.groups
                    .entry(gid)
                    .and_modify(|group| group.tracker.write_not_run(now, &member, why, &family));
            }
        } else if verdict == Verdict::Timeout {
            self.retry_budget = (self.retry_budget - 1.0).max(0.0);
        }
        let deadline = self.open.get(&id).map_or(now, |open| open.deadline);
        self.set_due(id, deadline);
        self.place(now, id, actions);
    }

    // ---- Evidence of role and position

    /// What others have seen counts like what was seen here. Whom they call a primary is believed only where
    /// members check what they are sent: elsewhere the age of data rests on it.
    fn apply_peer_message(&mut self, now: Time, from: u32, bytes: &[u8]) {
        for fact in self.peers.receive(now, from, bytes) {
            match fact {
                Observation::Primary { .. } if self.settings.checks == Checks::None => {}
                Observation::Primary { member, at } => {
                    self.observe_primary(now, &member, at.min(now));
                    self.peers.suppress_announcement(&member);
                }
                Observation::Answers { member, answers, late, pace } => {
                    let Some(m) = self.members.get_mut(&member) else { continue };
                    m.slowness.observe(now, answers, pace);
                    m.record_success(answers - late);
                    let (gid, role, seen) = (m.group, m.role(), [f64::from(late), f64::from(answers)]);
                    self.late_answers[role].add(now, DECAY_US, seen);
                    self.groups
                        .entry(gid)
                        .and_modify(|group| group.late_answers[role].add(now, DECAY_US, seen));
                }
            }
        }
    }

    fn apply_note(&mut self, now: Time, id: &MemberId, note: Option<Note>, took: Span, write: bool) {
        let Some((note, m)) = note.zip(self.members.get_mut(id)) else { return };
        let at = now - took;
        let seen = note.position.filter(|p| *p <= now && (!write || note.role == Some(Role::Primary)));
        if let Some(position) = seen {
            m.position = m.position.max(position);
            m.position_read_at = now;
        }
        match note.role {
            // Who was cut off may say so still: it proves what its position does, now at a true primary.
            Some(Role::Primary) => self.observe_primary(now, id, seen.unwrap_or(at)),
            Some(Role::Replica) => m.seen_replica_at = m.seen_replica_at.max(at),
            None => {}
        }
    }

    fn apply_report(&mut self, now: Time, id: &MemberId, report: Option<&[f64]>) {
        let Some((report, m)) = report.zip(self.members.get_mut(id)) else { return };
        // Connections to it come up again; whether it answers is tried by one request at a time.
        m.ejected_until =
            if std::mem::take(&mut m.connect_failed) { m.ejected_until.min(now) } else { m.ejected_until };
        let value = |field| {
            let at = self.settings.report.iter().position(|f| *f == field)?;
            report.get(at).copied().filter(|value: &f64| value.is_finite())
        };
        let position = value(Field::Position).map(|s| self.settings.zero + Span((s * 1e6) as i64));
        let Some(position) = position.filter(|position| *position <= now) else { return };
        if position > m.position || now - m.position_read_at > REPORT_REFRESH_AGE {
            m.position_read_at = now;
        }
        m.position = m.position.max(position);
        self.dirty.insert(m.group);
        match value(Field::Primary) {
            Some(role) if role >= 0.5 => self.observe_primary(now, id, position),
            Some(_) => m.seen_replica_at = m.seen_replica_at.max(position),
            None => {}
        }
    }

    fn observe_primary(&mut self, now: Time, id: &MemberId, at: Time) {
        let Some(m) = self.members.get_mut(id) else { return };
        (m.seen_primary_at, m.position) = (m.seen_primary_at.max(at), m.position.max(at));
        let gid = m.group;
        self.peers.record_primary(gid, id, at);
        let rival = self.groups.get(&gid).and_then(|group| group.tracker.mark()).filter(|mark| *mark != id);
        let rival_at = rival.map_or(NEVER, |mark| self.members[mark].seen_primary_at);
        let Some(group) = self.groups.get_mut(&gid) else { return };
        if at > rival_at {
            group.tracker.set_mark(now, id, Evidence::Shown);
        }
        self.dirty.insert(gid);
    }

    /// What is told and shown by now begins a change or ends one.
    fn update_primary(&mut self, now: Time, gid: GroupId) {
        let shown = self.confirmed_primary(now, gid).map(|id| self.members[id].seen_primary_at);
        let Some(Group { tracker, held, .. }) = self.groups.get_mut(&gid) else { return };
        let drains = tracker.mark().is_some_and(|id| self.members[id].state == ListState::Draining);
        if tracker.update(now, shown, drains, held.len(), &mut self.change_durations) {
            self.pending_log = tracker.mark().map(|id| format!("group {}: primary shown at {}", gid.0, id.0));
        }
    }

    /// The marked member, if it was last shown as primary and may be sent to.
    fn marked_primary(&self, gid: GroupId) -> Option<(&MemberId, &Member)> {
        let mark = self.groups.get(&gid)?.tracker.mark()?;
        Some((mark, &self.members[mark])).filter(|(_, m)| m.role() == PRIMARY && self.may_send_to(m))
    }

    /// The same, if it is not suspect.
    fn confirmed_primary(&self, now: Time, gid: GroupId) -> Option<&MemberId> {
        self.marked_primary(gid).filter(|(_, m)| !self.is_suspect(m, now)).map(|(mark, _)| mark)
    }

    /// A marked primary that fell silent, with nothing else out there. One fresh read at a time tries it: if
    /// only some connections are silent, nothing else would show it before they end.
    fn trial_primary(&self, now: Time, gid: GroupId) -> Option<&MemberId> {
        self.marked_primary(gid)
            .filter(|(_, m)| now >= m.ejected_until && self.live_attempts(m, now) < 1.0)
            .map(|(mark, _)| mark)
    }

    fn required_position(&self, now: Time, open: &OpenRequest) -> Option<Time> {
        match self.settings.classes[open.class].need {
            Need::Any | Need::Write => None,
            Need::Bounded(bound) => Some(now - bound),
            Need::Session => open.token,
            Need::Fresh => Some(open.arrived),
        }
    }

    /// Whether a replica is fresh enough. Where members check, an unknown one is: it would say so.
    fn is_fresh_enough(&self, m: &Member, need: Option<Time>, now: Time) -> bool {
        let Some(need) = need.filter(|need| m.position < *need) else { return true };
        let refused =
            m.lag_refusal.is_some_and(|(needed, at)| need >= needed && now - at < LAG_OBSERVATION_TTL);
        let age = now - m.position_read_at;
        self.settings.checks == Checks::Refuse
            && !refused
            && (age > LAG_OBSERVATION_TTL || m.position + age >= need)
    }

    /// Whether a member's data is recent enough for an open request that is sent now, where the member does not check that
    /// itself. While an attempt waits for a connection the bound moves on. Who was last shown as the primary is excused.
    #[must_use]
    pub fn is_fresh(&self, now: Time, request: RequestId, member: &MemberId) -> bool {
        let of = self.open.get(&request).zip(self.members.get(member));
        of.is_none_or(|(open, m)| {
            let checked = self.settings.checks != Checks::None || m.role() == PRIMARY;
            checked || self.is_fresh_enough(m, self.required_position(now, open), now)
        })
    }

    /// Why requests were given up.
    #[must_use]
    pub fn given_up(&self) -> &Reasons {
        &self.reasons
    }

    /// How many sessions are remembered.
    #[must_use]
    pub fn session_count(&self) -> usize {
        self.sessions.len()
    }

    /// The grace of drains, by the present settings.
    #[must_use]
    pub fn drain_grace(&self) -> Span {
        self.settings.drain_grace
    }

    // ---- The valid member: silence, failures, slowness, refusals and cold all make it less so

    fn record_verdict(
        &mut self,
        now: Time,
        id: &MemberId,
        verdict: Verdict,
        took: Span,
        out: Option<&InFlight>,
    ) {
        let Some(m) = self.members.get(id) else { return };
        let (gid, role) = (m.group, m.role());
        self.dirty.insert(gid);
        // What went overdue or grew old while this router itself stood still tells nothing of the member.
        if self.paused_at == now && matches!(verdict, Verdict::Timeout | Verdict::Reset) {
            return;
        }
        // One that got lost beside others that were answered says nothing of how the member does.
        let lost = out.is_some_and(|out| out.sent_at < m.latest_answered_send && self.is_lost(m, out, now));
        let dice = self.random_fraction();
        let work = self.members.get(id).map_or(0.0, |m| self.outstanding_work(m, now));
        let usual = self.usual_rate(now);
        let pace = out.map(|out| self.latencies[out.class]);
        let aim = out.map_or(Span(0), |out| self.settings.classes[out.class].aim);
        let crowded =
            verdict == Verdict::Full || (verdict == Verdict::Ok && took > aim.times(IN_TIME_SHARE_OF_AIM));
        let Some(m) = self.members.get_mut(id) else { return };
        let lone = m.last_answer_at <= now - took;
        if matches!(verdict, Verdict::Ok | Verdict::Error | Verdict::Miss) {
            m.last_answer_at = now;
        }
        if let Some(pace) = pace.filter(|_| matches!(verdict, Verdict::Cancelled | Verdict::Timeout)) {
            m.abandoned.retain(|done| now < *done);
            m.abandoned.push(now + pace.upper_bound(0.0).times(m.slowness.ratio(now)));
        }
        let before = m.ejections;
        match verdict {
            Verdict::Ok => {
                if crowded {
                    m.reduce_limit(now, took, work);
                } else {
                    m.cold.answered();
                    let used = work + 1.0 >= m.concurrency_limit * LIMIT_GROWTH_USE;
                    m.concurrency_limit += if used { 1.0 / m.concurrency_limit } else { 0.0 };
                }
                self.answer_counts.add(now, DECAY_US, [0.0, 1.0]);
                m.record_success(1);
                m.write_refusals = 0;
                m.ejected_until = NEVER;
                m.latest_answered_send = m.latest_answered_send.max(now - took);
                let met = out.and_then(|out| out.required).filter(|_| self.settings.checks == Checks::Refuse);
                m.position = m.position.max(met.map_or(NEVER, |need| need.min(now)));
            }
            // A member that answered others meanwhile is crowded, not dead: ejecting for it would eject all.
            Verdict::Timeout if lost => {}
            Verdict::Timeout if !lone => m.reduce_limit(now, took, work),
            Verdict::Timeout | Verdict::Reset | Verdict::Broken => m.record_failure(now, LOST_ANSWER_PENALTY),
            // It was down, so if it comes back it is cold, whatever the list says.
            Verdict::ConnectFailed => {
                m.record_failure(now, CONNECT_FAILURE_PENALTY);
                m.begin_slow_start(now, now, m.cold.credit(now, usual, &self.settings).min(dice));
            }
            // Silent, or cut off: until the list says that it started anew, a few show what it can do.
            Verdict::Unreachable => {
                m.record_failure(now, CONNECT_FAILURE_PENALTY);
                m.concurrency_limit = MIN_LIMIT;
            }
            // Full, or draining: let it rest for as long as an answer takes, or the whole group is hammered.
            // Who turns writes away is asked less and less: before a drain is told, all would be spent.
            Verdict::Full => {
                m.reduce_limit(now, took, work);
                let write = out.is_some_and(|out| self.settings.classes[out.class].need == Need::Write);
                m.write_refusals =
                    if write { (m.write_refusals + 1).min(MAX_DOUBLINGS) } else { m.write_refusals };
                let rest = pace.map_or(TICK_INTERVAL, |pace| pace.upper_bound(0.0).max(TICK_INTERVAL));
                let longer = if write { f64::from(1 << (m.write_refusals - 1)) } else { 1.0 };
                m.rest_until = now + rest.times(longer).min(BASE_EJECTION).max(rest);
            }
            Verdict::Miss => {
                m.lag_refusal = out.and_then(|out| out.required).map(|need| (need, now)).or(m.lag_refusal);
                if out.is_some_and(|out| self.settings.classes[out.class].need == Need::Write) {
                    m.seen_replica_at = m.seen_replica_at.max(now - took);
                }
            }
            // An error speaks against the member only where a peer answers the same request: `outcome`.
            Verdict::Error | Verdict::Cancelled | Verdict::Moot => {}
        }
        self.groups.entry(gid).and_modify(|group| group.tracker.record_outcome(now, id, verdict));
        if m.ejections > before {
            self.pending_log = Some(format!("{} ejected until {} us: {verdict:?}", id.0, m.ejected_until.0));
        }
        let Some((out, pace)) = out.zip(pace) else { return };
        let took = took.0 as f64;
        if verdict == Verdict::Ok || (verdict == Verdict::Timeout && !lost && took >= pace.mean) {
            m.slowness.observe(now, 1, took / pace.mean.max(1.0));
            self.peers.record_answer(id, crowded || verdict == Verdict::Timeout, took / pace.mean.max(1.0));
            self.latencies[out.class].observe(took);
        }
        // A lost answer beside quick ones says nothing of a crowd; beside slow ones it does.
        let seen = match verdict {
            Verdict::Ok | Verdict::Full => [f64::from(u8::from(crowded)), 1.0],
            Verdict::Timeout => [self.overload(now, gid, role); 2],
            _ => return,
        };
        self.late_answers[role].add(now, DECAY_US, seen);
        self.groups.entry(gid).and_modify(|group| group.late_answers[role].add(now, DECAY_US, seen));
    }

    fn load(&self, m: &Member, now: Time) -> f64 {
        let waits = |out: &InFlight| {
            let age = (now - out.sent_at).0 as f64 / self.latencies[out.class].mean.max(1.0);
            age.clamp(1.0, MAX_ATTEMPT_LOAD)
        };
        let out: f64 = m.in_flight.values().map(waits).sum();
        let left = self.outstanding_work(m, now) - self.live_attempts(m, now);
        (1.0 + out + left) * m.slowness.ratio(now)
    }

    fn is_suspect(&self, m: &Member, now: Time) -> bool {
        now < m.ejected_until
            || (m.ejections > 0 && self.live_attempts(m, now) > 0.0)
            || (self.paused_at != now
                && m.in_flight
                    .values()
                    .any(|out| out.sent_at > m.last_answer_at && self.is_overdue(out, now)))
    }

    /// Whether an attempt is out for far too long.
    fn is_overdue(&self, out: &InFlight, now: Time) -> bool {
        now - out.sent_at > self.latencies[out.class].upper_bound(OVERDUE_DEVIATIONS).times(SILENCE_FACTOR)
    }

    /// Whether it is, and either what was sent later has been answered, so that its connection alone is
    /// silent, or nothing has been since. Else it may be waiting its turn.
    fn is_lost(&self, m: &Member, out: &InFlight, now: Time) -> bool {
        self.is_overdue(out, now) && (out.sent_at < m.latest_answered_send || out.sent_at > m.last_answer_at)
    }

    fn live_attempts(&self, m: &Member, now: Time) -> f64 {
        m.in_flight.values().filter(|out| !self.is_lost(m, out, now)).count() as f64
    }

    /// What a member works at for this router, as far as is known: giving an attempt up stops nothing there,
    /// and one that is far overdue got lost.
    fn outstanding_work(&self, m: &Member, now: Time) -> f64 {
        self.live_attempts(m, now) + m.abandoned.iter().filter(|done| now < **done).count() as f64
    }

    fn may_send_to(&self, m: &Member) -> bool {
        m.state == ListState::Healthy || (m.state == ListState::Gone && self.settings.soft_removal)
    }

    fn has_room(&self, m: &Member, now: Time) -> bool {
        let tracker = self.groups.get(&m.group).filter(|_| m.role() == PRIMARY).map(|group| &group.tracker);
        let limit = m.concurrency_limit.min(tracker.map_or(f64::INFINITY, PrimaryTracker::window));
        now >= m.rest_until
            && self.outstanding_work(m, now) < limit
            && m.cold.room(now, self.usual_rate(now), &self.settings)
    }

    /// What a member usually serves for this router, in a microsecond.
    fn usual_rate(&self, now: Time) -> f64 {
        self.answer_counts.decayed(now, DECAY_US)[1] / DECAY_US / self.in_service.max(1.0)
    }

    // ---- Crowding: what the whole fleet's work does to a group, felt by few answers

    fn overload(&self, now: Time, gid: GroupId, role: usize) -> f64 {
        let all = self.late_answers[role].ratio(now, DECAY_US, OVERLOAD_PRIOR, OVERLOAD_PRIOR_WEIGHT);
        self.groups
            .get(&gid)
            .map_or(all, |group| group.late_answers[role].ratio(now, DECAY_US, all, OVERLOAD_PRIOR_WEIGHT))
    }

    fn random_fraction(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }

    /// The work over the crowd's mark is turned away by chance, more of what has less merit than its peers.
    fn should_shed(&mut self, now: Time, id: RequestId, role: usize) -> bool {
        let chance = self.random_fraction();
        let Some(open) = self.open.get(&id) else { return false };
        let over =
            (self.overload(now, open.group, role) - SHEDDING_START) / (SHEDDING_COMPLETE - SHEDDING_START);
        let primary_only = |at: usize| matches!(self.settings.classes[at].need, Need::Write | Need::Fresh);
        let (mut worth, mut work) = (0.0, 0.0);
        for (at, class) in self.settings.classes.iter().enumerate() {
            let beside = primary_only(at) == primary_only(open.class);
            let asked = if beside { self.class_worth[at].decayed(now, DECAY_US)[1] } else { 0.0 };
            worth += asked;
            work += asked * self.latencies[at].mean / class.worth.max(f64::EPSILON);
        }
        chance * self.merit(now, id) * work < over * worth
    }

    /// What is known of a group's members, as far as it matters for who is the primary.
    fn member_views(&self, now: Time, gid: GroupId) -> Vec<MemberView> {
        let members = self.groups.get(&gid).into_iter().flat_map(|group| &group.members);
        let standing = |id: &MemberId| {
            let m = &self.members[id];
            MemberView {
                member: id.clone(),
                position: m.position,
                last_probe: m.last_probe,
                was_primary: m.role() == PRIMARY,
                listed_as_primary: m.listed_primary,
                suspect: self.is_suspect(m, now),
                has_room: self.has_room(m, now),
                write_in_flight: m
                    .in_flight
                    .values()
                    .any(|out| self.settings.classes[out.class].need == Need::Write),
            }
        };
        members.filter(|id| self.may_send_to(&self.members[*id])).map(standing).collect()
    }

    fn probe(&mut self, now: Time, ids: &[MemberId], every: Span, actions: &mut Vec<Action>) {
        for id in ids {
            let may = |m: &Member| self.settings.probes && self.may_send_to(m) && now - m.last_probe >= every;
            if self.members.get(id).is_some_and(may) {
                actions.push(Action::Probe { member: id.clone() });
                self.members.entry(id.clone()).and_modify(|m| m.last_probe = now);
            }
        }
    }

    fn tick(&mut self, now: Time, actions: &mut Vec<Action>) {
        while let Some((_, id)) = self.due.first().copied().filter(|(at, _)| *at <= now) {
            self.handle_due(now, id, actions);
        }
        if now - self.last_tick < TICK_INTERVAL {
            return;
        }
        self.last_tick = now;
        if self.subscribe_at.is_some_and(|at| now >= at) {
            self.subscribe_at = None;
            actions.push(Action::Subscribe);
        }
        self.dirty.append(&mut self.waiting);
        let (members, soft) = (self.members.values(), self.settings.soft_removal);
        let serves = |m: &&Member| m.state == ListState::Healthy || (m.state == ListState::Gone && soft);
        self.sessions.trim(|| members.filter(serves).map(|m| m.position).min());
    }

    /// A request past its deadline is ended; one that waits too long for its answer gets a hedge.
    fn handle_due(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id).filter(|open| now < open.deadline) else {
            self.give_up(now, id, GivenUp::DeadlineOver, actions);
            return;
        };
        let spent = open.attempts.len() as u32 >= open.attempt_limit;
        let twice = open.attempts.iter().filter(|attempt| attempt.pending).count() > 1;
        let may = self.settings.second_copies && !spent && !twice && self.retry_budget >= 1.0;
        let hedge = may && now < open.aim && self.paused_at != now;
        let deadline = open.deadline;
        self.set_due(id, deadline);
        let to = if hedge { self.place_read(now, id, actions) } else { None };
        if let Some(to) = to.filter(|to| self.open.get(&id).is_some_and(|open| !open.tried(to))) {
            self.retry_budget -= 1.0;
            self.send(now, id, to, actions);
        }
    }

    fn record_worth(&mut self, now: Time, open: &OpenRequest, part: [f64; 2]) {
        let part = part.map(|part| part * self.settings.classes[open.class].worth);
        self.class_worth[open.class].add(now, DECAY_US, part);
        if let Some(tenant) = open.tenant.and_then(|at| self.tenant_worth.get_mut(at)) {
            tenant.add(now, DECAY_US, part);
        }
    }

    /// The worth of a request for the time it takes; beyond its tenant's part of the quotas it counts less.
    fn merit(&self, now: Time, id: RequestId) -> f64 {
        let Some(open) = self.open.get(&id) else { return 0.0 };
        let tenants = &self.settings.tenants;
        let merit = self.class_merit(now, open.class);
        let Some(tenant) = open.tenant.filter(|at| *at < tenants.len()) else { return merit };
        let all: f64 = self.class_worth.iter().map(|t| t.decayed(now, DECAY_US)[1]).sum();
        let quotas: f64 = tenants.iter().map(|t| t.quota).sum();
        let within = (tenants[tenant].quota / quotas * all
            / self.tenant_worth[tenant].decayed(now, DECAY_US)[1])
            .min(1.0);
        merit * (within + (1.0 - within) * self.settings.over_share_worth)
    }

    /// The worst served class counts for more, as the operators weigh it, or a surge would starve it.
    fn class_merit(&self, now: Time, class: usize) -> f64 {
        let Settings { goal, classes, .. } = &self.settings;
        let share = |counts: &DecayingCounts| counts.ratio(now, DECAY_US, 1.0, OVERLOAD_PRIOR_WEIGHT);
        let worst = self.class_worth.iter().map(share).fold(f64::MAX, f64::min);
        let all: f64 = self.class_worth.iter().map(|t| t.decayed(now, DECAY_US)[1]).sum();
        let mine = self.class_worth[class].decayed(now, DECAY_US)[1];
        let starved = mine > 0.0 && share(&self.class_worth[class]) <= worst;
        let more = if starved { goal.worst_class / goal.whole.max(f64::EPSILON) * all / mine } else { 0.0 };
        classes[class].worth / self.latencies[class].mean.max(1.0) * (1.0 + more)
    }

    fn release_held(&mut self, now: Time, actions: &mut Vec<Action>) {
        for gid in std::mem::take(&mut self.dirty) {
            self.update_primary(now, gid);
            let Some(group) = self.groups.get(&gid) else { continue };
            let held = group.held.iter().filter_map(|(_, id)| Some((*id, self.open.get(id)?)));
            let mut merits = HashMap::new();
            let held = held.map(|(id, open)| {
                let merit = *merits.entry((open.class, open.tenant)).or_insert_with(|| self.merit(now, id));
                open.to_held(id, merit, self.settings.classes[open.class].need)
            });
            let (go, late) = group.tracker.release_order(now, held.collect(), &self.change_durations);
            late.into_iter().for_each(|id| self.give_up(now, id, GivenUp::ReleaseTooSlow, actions));
            go.into_iter().for_each(|id| self.place(now, id, actions));
        }
    }
}

impl Member {
    fn begin_slow_start(&mut self, now: Time, at: Time, credit: f64) {
        self.cold.start(now, at, credit);
        self.concurrency_limit = MIN_LIMIT;
    }

    fn record_success(&mut self, answers: u32) {
        self.failure_score *= SCORE_DECAY_PER_ANSWER.powi(i32::try_from(answers).unwrap_or(i32::MAX));
        self.ejections = self.ejections.saturating_sub(answers);
    }

    fn record_failure(&mut self, now: Time, weight: f64) {
        self.connect_failed = weight == CONNECT_FAILURE_PENALTY;
        self.failure_score += (1.0 - self.failure_score) * weight;
        if self.failure_score >= EJECTION_SCORE && now >= self.ejected_until {
            self.ejected_until = now
                + BASE_EJECTION.times(f64::from(1 << self.ejections.min(MAX_DOUBLINGS))).min(MAX_EJECTION);
            self.ejections += 1;
        }
    }

    /// Shrinks the limit, at most once per answer's time: the answers that follow tell of the same crowd.
    fn reduce_limit(&mut self, now: Time, took: Span, work: f64) {
        if now - took >= self.limit_cut_at {
            self.concurrency_limit = (self.concurrency_limit.min(work + 1.0) * LIMIT_DECREASE).max(MIN_LIMIT);
            self.limit_cut_at = now;
        }
    }
}
