//! Every routing decision: which member serves a request, when it is retried, hedged, held, shed or refused.
//! The types, events and actions are defined in `interface.rs`, the state in `state.rs`.
//!
//! The file is ordered as follows: tuning constants, [`Router::handle`], the list of members, placement of
//! requests, outcomes of attempts, evidence of roles and positions, member health (`record_verdict`, `load`,
//! `is_suspect`, `has_room`), overload and load shedding, probes, timers and the release of held requests.
//!
//! The mechanism is that of Wu and Kemme: a read goes to a random pick among the members that are fresh enough.
//! Only if the load of that pick is over the threshold are the next `FORWARD_STEPS` members in sorted order
//! considered; if they are over it too, the first pick serves. A write goes to the marked primary, moves on to
//! the next member on proof that it did not run, and is held once it has tried as many members as it may.

mod retune;

use crate::given_up::{GivenUp, Reasons};
use crate::handover::*;
use crate::interface::*;
use crate::latency::LatencyEstimate;
use crate::peers::{Gossip, Observation};
use crate::sessions::{LastCommit, Sessions};
use crate::state::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A member is preferred for a read while its load is at most this multiple of the pool's mean load.
const THRESHOLD: f64 = 1.2;
/// Number of members considered after the random pick (m in the paper).
const FORWARD_STEPS: usize = 2;
/// Interval at which held requests are reconsidered.
const TICK_INTERVAL: Span = Span::millis(10);
/// A wake-up that arrives later than this shows that this process itself was paused.
const PROCESS_PAUSE: Span = Span::millis(60);
/// How long a read refused as too far behind, or an observed lag, counts against a member that checks its reads.
const LAG_OBSERVATION_TTL: Span = Span::millis(1_000);
/// A report that repeats the known position counts as a new observation after this time.
const REPORT_REFRESH_AGE: Span = Span::millis(500);
/// An attempt is repeated or hedged after the class's mean latency plus this many deviations. With exponentially
/// distributed service times one answer in 50 takes longer than 4 deviations, and one in 1,000 longer than 8.
const ATTEMPT_TIMEOUT_DEVIATIONS: f64 = 8.0;
/// Lower bound of that time, as a fraction of the class's latency objective.
const MIN_ATTEMPT_TIMEOUT: f64 = 0.3;
/// An attempt is overdue, and its member possibly silent, after `SILENCE_FACTOR` times the sum of the class's mean
/// latency and this many deviations.
const OVERDUE_DEVIATIONS: f64 = 4.0;
/// See `OVERDUE_DEVIATIONS`.
const SILENCE_FACTOR: f64 = 2.0;
/// A read is sent only if the mean latency plus this many deviations still fits into its useful time: until its
/// latency objective, or until its deadline if a late answer is worth enough or nobody else wants the capacity.
const FEASIBILITY_DEVIATIONS: f64 = 1.5;
/// Where replicas are overloaded, a class whose late answers are worth less than this fraction is not served late.
const MIN_LATE_WORTH: f64 = 0.5;
/// Requests that waited are always checked for feasibility. From this overload on, part of the new ones is checked
/// too; a lower value sheds requests that would still be answered in time.
const FEASIBILITY_OVERLOAD: f64 = 0.525;
/// The fraction of new requests that is checked then. The others are sent unchecked, since without any answers
/// nothing would show that the overload has ended.
const FEASIBILITY_CHECKED_SHARE: f64 = 0.8;
/// A class's usual latency counts for at most this fraction of the objective when a member is judged too slow.
const MAX_USUAL_SHARE_OF_AIM: f64 = 0.5;
/// The fraction of its time for which an unsent request may be held. Refused any later, its client would have too
/// little time left to retry.
const MAX_HELD_SHARE: f64 = 0.4;
/// A member is ejected from this failure score on (0 is healthy, 1 is dead).
const EJECTION_SCORE: f64 = 0.6;
/// The fraction of the distance to 1 that a lost answer adds to the failure score.
const LOST_ANSWER_PENALTY: f64 = 0.3;
/// The same for a connection that could not be established.
const CONNECT_FAILURE_PENALTY: f64 = 0.7;
/// The same for an error in answer to a request that another member fulfilled.
const ERROR_PENALTY: f64 = 0.4;
/// Each answer multiplies the failure score by this.
const SCORE_DECAY_PER_ANSWER: f64 = 0.8;
/// Length of a first ejection. Each further one is twice as long, up to `MAX_DOUBLINGS` times and to
/// `MAX_EJECTION`.
const BASE_EJECTION: Span = Span::millis(250);
const MAX_EJECTION: Span = Span::millis(4_000);
const MAX_DOUBLINGS: u32 = 5;
/// A request that this many members answered with an error is at fault itself, and is not tried again.
const MAX_ERROR_ANSWERS: usize = 2;
/// Initial concurrency limit of a member, shared among all routers of the fleet.
const INITIAL_LIMIT: f64 = 16.0;
/// The least initial share of one router.
const MIN_INITIAL_LIMIT: f64 = 1.5;
/// The least concurrency limit of a member for one router.
const MIN_LIMIT: f64 = 1.0;
/// A sign of overload multiplies the concurrency limit by this.
const LIMIT_DECREASE: f64 = 0.7;
/// The limit grows only while at least this fraction of it is in use.
const LIMIT_GROWTH_USE: f64 = 0.7;
/// Reads that could not be placed on replicas may fill the primary's limit up to this fraction.
const PRIMARY_READ_SHARE: f64 = 0.5;
/// The same where members check their reads and all replicas lag.
const PRIMARY_READ_SHARE_WHEN_LAGGING: f64 = 0.8;
/// An answer within this fraction of the latency objective shows that its member is not overloaded.
const IN_TIME_SHARE_OF_AIM: f64 = 0.4;
/// Load shedding starts at this overload, which is the share of recent answers that were not in time.
const SHEDDING_START: f64 = 0.45;
/// At this overload shedding is complete: every new request of average or lower merit is shed.
const SHEDDING_COMPLETE: f64 = 0.8;
/// The overload assumed of an idle fleet.
const OVERLOAD_PRIOR: f64 = 0.2;
/// Replicas count as overloaded from here on: reads spill over to the primary with a probability equal to the
/// difference between their overload and the primary's. Subtracting a margin of 0.2 from that difference would
/// refuse reads beside idle primaries.
const SPILL_OVERLOAD: f64 = 0.22;
/// The number of answers for which a prior counts. Most routers see few answers of one group, so that the overload
/// of all groups serves as the prior of each.
const OVERLOAD_PRIOR_WEIGHT: f64 = 3.0;
/// What each request adds to the retry budget, in second attempts.
const RETRY_BUDGET_GAIN: f64 = 0.1;
const MAX_RETRY_BUDGET: f64 = 10.0;
/// Upper bound of what one attempt in flight adds to a member's load.
const MAX_ATTEMPT_LOAD: f64 = 4.0;
/// The least retry-after: clients that came back at once would add to the overload.
const MIN_RETRY_AFTER: Span = Span::millis(100);
/// Delay before a failed call for the list is repeated.
const RESUBSCRIBE_DELAY: Span = Span::millis(1_000);
/// Time constant, in microseconds, with which counts of the recent past decay.
const DECAY_US: f64 = 7e6;
/// At most one log line is written in this time.
const LOG_INTERVAL: Span = Span::millis(1_000);

/// The routing decisions of one router: a state machine without I/O, driven by [`Router::handle`].
#[derive(Clone, Debug)]
pub struct Router {
    settings: Settings,
    rng: ChaCha8Rng,
    members: BTreeMap<MemberId, Member>,
    groups: BTreeMap<GroupId, Group>,
    open: BTreeMap<RequestId, OpenRequest>,
    due: BTreeSet<(Time, RequestId)>,
    /// Groups that hold requests.
    waiting: BTreeSet<GroupId>,
    /// Groups with new information since their held requests were last considered.
    dirty: BTreeSet<GroupId>,
    /// Usual latency, by class.
    latencies: Vec<LatencyEstimate>,
    /// Worth that was served in time and worth that was requested, by class.
    class_worth: Vec<DecayingCounts>,
    /// The same by tenant.
    tenant_worth: Vec<DecayingCounts>,
    sessions: Sessions,
    reasons: Reasons,
    change_durations: ChangeDurations,
    peers: Gossip,
    /// Answers that were not in time, and all answers, of all replicas and of all primaries.
    late_answers: [DecayingCounts; 2],
    /// Answers of all members in service.
    answer_counts: DecayingCounts,
    /// Number of members in service.
    in_service: f64,
    retry_budget: f64,
    /// The wake-up that was requested and has not arrived.
    wake: Option<Time>,
    last_tick: Time,
    /// When the latest pause of this process was noticed.
    paused_at: Time,
    /// When to subscribe to the list, if that is due.
    subscribe_at: Option<Time>,
    pending_log: Option<String>,
    last_log: Time,
}

impl Router {
    /// A router without members. `seed` determines all its random choices.
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

    /// Processes one event that happened at `now` and appends the actions for the host, in order.
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
                // An answered probe does not show that the member is alive: it bypasses the queue of a member that
                // hangs. A probe that could not connect does count against the member.
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
        let next_tick = (!self.waiting.is_empty()).then_some(now + TICK_INTERVAL);
        let next = self.due.first().map(|due| due.0.max(now + Span(1)));
        let next = next.into_iter().chain(next_tick).chain(self.subscribe_at).min();
        if let Some(at) = next.filter(|next| self.wake.is_none_or(|at| *next < at)) {
            self.wake = Some(at);
            actions.push(Action::Wake { at });
        }
    }

    /// The state of each group's primary, with its latest transitions.
    pub fn primaries(&self) -> impl Iterator<Item = (GroupId, &PrimaryTracker)> {
        self.groups.iter().map(|(id, group)| (*id, &group.tracker))
    }

    // ---- The list of members. It is authoritative for membership, drains and starts; what it says of roles is
    // ---- the weakest evidence.

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
        // Many routers may start at the same time, and each knows only of its own requests.
        let limit = (INITIAL_LIMIT / f64::from(self.settings.fleet)).max(MIN_INITIAL_LIMIT);
        let mut named = BTreeSet::new();
        for entry in entries {
            self.groups.entry(entry.group).or_default().members.insert(entry.member.clone());
            self.dirty.insert(entry.group);
            named.extend(full.then(|| entry.member.clone()));
            let (initial_credit, id) = (self.random_fraction(), entry.member.clone());
            self.peers.add_member(&id);
            let m = self.members.entry(entry.member).or_insert_with(|| Member::new(entry.group, limit));
            let old_group = std::mem::replace(&mut m.group, entry.group);
            if let Some(group) = self.groups.get_mut(&old_group).filter(|_| old_group != entry.group) {
                group.remove_member(&id);
            }
            self.in_service += m.apply_list_state(entry.state);
            m.listed_primary = entry.primary;
            if let Some(at) = entry.started.filter(|_| entry.started > m.cold.started()) {
                m.begin_slow_start(now, at, initial_credit);
                // Its role may have changed with the restart. The start may lie ahead of this clock.
                m.seen_replica_at = m.seen_replica_at.max(at.min(now));
            }
        }
        let removable = if full { usize::MAX } else { 0 };
        for (_, m) in self.members.iter_mut().filter(|(id, _)| !named.contains(*id)).take(removable) {
            self.in_service += m.apply_list_state(ListState::Gone);
        }
    }

    /// Removes members that are out of service, except for those with attempts in flight.
    fn forget_members(&mut self, members: &[MemberId]) {
        let unused = |m: &Member| m.state != ListState::Healthy && m.in_flight.is_empty();
        for id in members {
            if let Some(m) = self.members.get(id).filter(|m| unused(m)) {
                self.groups.entry(m.group).and_modify(|group| group.remove_member(id));
                self.members.remove(id);
                self.peers.remove_member(id);
            }
        }
        self.groups.retain(|_, group| !group.members.is_empty() || !group.held.is_empty());
    }

    // ---- Placement of requests

    fn accept_request(&mut self, now: Time, request: &Request, actions: &mut Vec<Action>) {
        let Some(class) = self.settings.classes.get(request.class.0) else {
            actions.push(Action::Fail { request: request.id });
            return;
        };
        let token = match self.settings.tokens {
            // The commit position was rounded up and the age may have been rounded; one millisecond covers both.
            Tokens::Carried => request.last_write.map(|ago| LastCommit::At(now - ago + Span::millis(1))),
            Tokens::Remembered => request.session.and_then(|key| self.sessions.last_commit(key)),
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

    /// Sends a request, holds it, or gives it up.
    fn place(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let draw = self.random_fraction();
        let Some(open) = self.open.get(&id) else { return };
        let class = &self.settings.classes[open.class];
        let attempts_spent = open.attempts.len() as u32 >= open.attempt_limit;
        let must_not_repeat = open.may_have_run && class.effect != Effect::Safe;
        let time_needed = self.latencies[open.class].upper_bound(FEASIBILITY_DEVIATIONS);
        let (unsent, overload) = (open.attempts.is_empty(), self.overload(now, open.group, REPLICA));
        let late_worth_needed = if overload > SPILL_OVERLOAD { MIN_LATE_WORTH } else { f64::MIN_POSITIVE };
        let useful_until = if class.late_worth < late_worth_needed { open.aim } else { open.deadline };
        let check_new = overload > FEASIBILITY_OVERLOAD && draw < FEASIBILITY_CHECKED_SHARE;
        // The worth of a client's retry began to expire with its first try, so it gives way to first tries.
        let gives_way = open.retry && unsent && class.effect == Effect::Safe && overload > SPILL_OVERLOAD;
        let check_feasible = check_new || now > open.arrived;
        // While a request is held unsent its client cannot try elsewhere, so it is refused early enough for that.
        let held_too_long =
            unsent && now - open.arrived > (open.deadline - open.arrived).times(MAX_HELD_SHARE);
        // A write is held while there is no primary. At an overloaded primary it would be sent too late.
        let tracker = self.tracker_if_needed(open);
        let awaits_primary =
            class.need == Need::Write && tracker.is_none_or(|tracker| tracker.phase() != Phase::Settled);
        let infeasible =
            !awaits_primary && check_feasible && (held_too_long || now + time_needed >= useful_until);
        let outlasted =
            tracker.is_some_and(|tracker| tracker.outlasts(open.deadline, &self.change_durations));
        let reasons = [
            (attempts_spent, GivenUp::AttemptsSpent),
            (must_not_repeat, GivenUp::MayHaveRun),
            (gives_way, GivenUp::RetryGaveWay),
            (infeasible, GivenUp::TooLate),
            (outlasted, GivenUp::NoPrimaryInTime),
            (now + TICK_INTERVAL >= open.deadline, GivenUp::DeadlineOver),
        ];
        if let Some((_, reason)) = reasons.into_iter().find(|(holds, _)| *holds) {
            self.give_up(now, id, reason, actions);
            return;
        }
        let is_new = unsent && now == open.arrived;
        let (key, gid) = ((open.arrived, id), open.group);
        let target = match class.need {
            Need::Write => self.place_write(now, id, actions),
            _ => self.place_read(now, id, actions),
        };
        if target
            .as_ref()
            .is_some_and(|target| is_new && self.should_shed(now, id, self.members[target].role()))
        {
            self.give_up(now, id, GivenUp::Shed, actions);
            return;
        }
        let group = self.groups.entry(gid).or_default();
        if let Some(member) = target {
            group.held.remove(&key);
            self.send(now, id, member, actions);
        } else {
            group.held.insert(key);
            self.waiting.insert(gid);
        }
    }

    /// Selects the member for a read: a random one of those fresh enough or, if its load is over the threshold,
    /// the first of the next few that is not. `None` if the read has to wait.
    fn place_read(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) -> Option<MemberId> {
        let (random, draw) = (self.rng.next_u32() as usize, self.random_fraction());
        let open = self.open.get(&id)?;
        let required = self.required_position(now, open);
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
        // Members that were tried, are suspect or are known to be too slow serve only where neither a better
        // replica nor the primary is left. Where all are too slow, all rank alike.
        let rank = |(id, m): &(&MemberId, &Member)| {
            let too_slow = now + usual.times(m.slowness.ratio(now)) > open.aim;
            2 * u8::from(open.tried(id)) + u8::from(too_slow || self.is_suspect(m, now))
        };
        let mut pool = replicas.clone();
        pool.retain(|(_, m)| self.is_fresh_enough(m, required, now));
        let best = pool.iter().map(rank).min();
        pool.retain(|candidate| Some(rank(candidate)) == best && (best == Some(0) || primary.is_none()));
        let lagging = pool.is_empty() && self.settings.checks == Checks::Refuse;
        let share = if lagging { PRIMARY_READ_SHARE_WHEN_LAGGING } else { PRIMARY_READ_SHARE };
        pool.retain(|(_, m)| self.has_room(m, now));
        // Where members do not check their reads, the random pick is probed for its position unless it is known to
        // be fresh enough. Probing every member would cost more than it gains where routers have little traffic.
        let mut to_probe: Vec<MemberId> = Vec::new();
        if required.is_some() && self.settings.checks == Checks::None && !replicas.is_empty() {
            let random_pick = Some(replicas[random % replicas.len()]);
            let unknown = random_pick
                .filter(|(_, m)| !self.is_fresh_enough(m, required, now) && !self.is_suspect(m, now));
            to_probe.extend(unknown.map(|(id, _)| id.clone()));
        }
        let overload = self.overload(now, gid, REPLICA);
        let spill_chance =
            if overload > SPILL_OVERLOAD { overload - self.overload(now, gid, PRIMARY) } else { 0.0 };
        let spills = primary.is_some() && !pool.is_empty() && draw < spill_chance;
        let pick = if pool.is_empty() || spills {
            let within_share = |m: &Member| {
                fresh_only || spills || self.outstanding_work(m, now) + 1.0 <= m.concurrency_limit * share
            };
            primary
                .filter(|id| within_share(&self.members[*id]) && self.has_room(&self.members[*id], now))
                .cloned()
        } else {
            let loads: Vec<f64> = pool.iter().map(|(_, m)| self.load(m, now)).collect();
            let max_load = THRESHOLD * loads.iter().sum::<f64>() / loads.len() as f64;
            let first =
                crate::subset::first_pick(random, self.settings.rank, self.settings.fleet, pool.len());
            let mut steps = (0..=FORWARD_STEPS.min(pool.len() - 1)).map(|step| (first + step) % pool.len());
            let index = steps.find(|index| loads[*index] <= max_load).unwrap_or(first);
            Some(pool[index].0.clone())
        };
        let bound = |class: &Class| if let Need::Bounded(bound) = class.need { Some(bound) } else { None };
        let probe_interval =
            self.settings.classes.iter().filter_map(bound).min().unwrap_or(LAG_OBSERVATION_TTL);
        self.probe(now, &to_probe, probe_interval, actions);
        if pick.is_none() && self.confirmed_primary(now, gid).is_none() {
            let (views, fleet) = (self.member_views(now, gid), self.settings.fleet);
            let to_probe = self.groups.get_mut(&gid)?.tracker.probe_targets(now, fleet, &views);
            self.probe(now, &to_probe, Span(1), actions);
        }
        pick
    }

    /// Selects the member for a write: the marked primary, while nothing speaks against it. Otherwise the write
    /// waits until one is confirmed, or is tried at a candidate.
    fn place_write(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) -> Option<MemberId> {
        let open = self.open.get(&id)?;
        let (gid, members_tried) = (open.group, open.rejections);
        let (confirmed, views) = (self.confirmed_primary(now, gid).is_some(), self.member_views(now, gid));
        let tracker = &mut self.groups.get_mut(&gid)?.tracker;
        match tracker.place(now, &views, confirmed, members_tried, &self.settings)? {
            WritePlacement::Mark(mark) => Some(mark).filter(|mark| self.has_room(&self.members[mark], now)),
            WritePlacement::Wait(trial, to_probe) => {
                self.probe(now, &to_probe, Span(1), actions);
                trial
            }
        }
    }

    fn send(&mut self, now: Time, id: RequestId, member: MemberId, actions: &mut Vec<Action>) {
        let Some((open, m)) = self.open.get(&id).zip(self.members.get(&member)) else { return };
        let class = &self.settings.classes[open.class];
        let proven = match class.need {
            Need::Session => open.token.and_then(LastCommit::proven_position),
            _ => self.required_position(now, open),
        };
        let usual = self.usual_rate(now);
        let latency = self.latencies[open.class];
        let attempt_timeout =
            latency.upper_bound(ATTEMPT_TIMEOUT_DEVIATIONS).max(class.aim.times(MIN_ATTEMPT_TIMEOUT));
        // By default an attempt is awaited until its client leaves: the member goes on with an attempt that was
        // abandoned, and the client comes back with another.
        let remaining = open.deadline - now;
        // No second attempts where the whole group is slow: they would only add to its load.
        let may_repeat = class.effect == Effect::Safe
            && now + attempt_timeout + latency.upper_bound(0.0) < open.aim
            && self.overload(now, m.group, m.role()) < SHEDDING_START;
        let hedged = may_repeat && self.settings.second_copies;
        let timeout =
            if may_repeat && !hedged && self.retry_budget >= 1.0 { attempt_timeout } else { remaining };
        let due = if hedged { now + attempt_timeout } else { open.deadline };
        self.set_due(id, due);
        let Some((open, m)) = self.open.get_mut(&id).zip(self.members.get_mut(&member)) else { return };
        let attempt = AttemptNo(open.attempts.len() as u32);
        open.attempts.push(Attempt { member: member.clone(), pending: true, errored: false });
        m.in_flight.insert(
            (id, attempt),
            InFlight { sent_at: now, class: open.class, session: open.session, proven },
        );
        m.cold.record_send(now, usual, &self.settings);
        actions.push(Action::Send { request: id, member, timeout: timeout.min(remaining) });
    }

    fn set_due(&mut self, id: RequestId, at: Time) {
        let Some(open) = self.open.get_mut(&id) else { return };
        self.due.remove(&(open.due_at, id));
        self.due.insert((at, id));
        open.due_at = at;
    }

    /// Ends a request with a final answer: a refusal if a retry by the client does no harm, a failure otherwise.
    fn give_up(&mut self, now: Time, id: RequestId, reason: GivenUp, actions: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id) else { return };
        self.reasons.add(id, reason);
        let safe = self.settings.classes[open.class].effect == Effect::Safe;
        if safe || (!open.may_have_run && now + TICK_INTERVAL < open.deadline) {
            let expected_wait = self
                .tracker_if_needed(open)
                .and_then(|tracker| tracker.expected_wait(now, &self.change_durations));
            let wait = self.latencies[open.class]
                .upper_bound(0.0)
                .max(MIN_RETRY_AFTER)
                .max(expected_wait.unwrap_or_default());
            let retry_after = self.settings.retry_after.then(|| wait.min(self.settings.max_retry_after));
            actions.push(Action::Refuse { request: id, retry_after });
        } else {
            actions.push(Action::Fail { request: id });
        }
        self.close_request(id, actions);
    }

    /// The primary tracker of a request's group, if the request needs the primary and cannot have run yet.
    fn tracker_if_needed(&self, open: &OpenRequest) -> Option<&PrimaryTracker> {
        let needs_primary = matches!(self.settings.classes[open.class].need, Need::Write | Need::Fresh);
        self.groups
            .get(&open.group)
            .filter(|_| needs_primary && !open.may_have_run)
            .map(|group| &group.tracker)
    }

    /// Removes an open request and cancels its attempts in flight.
    fn close_request(&mut self, id: RequestId, actions: &mut Vec<Action>) -> Option<OpenRequest> {
        let open = self.open.remove(&id)?;
        self.due.remove(&(open.due_at, id));
        if let Some(group) = self.groups.get_mut(&open.group) {
            group.held.remove(&(open.arrived, id));
            // Clients may name any group, so a group without members is dropped with its last request.
            if group.members.is_empty() && group.held.is_empty() {
                self.groups.remove(&open.group);
            }
        }
        for (number, attempt) in open.attempts.iter().enumerate() {
            if attempt.pending && self.settings.cancels {
                actions.push(Action::Cancel { request: id, attempt: AttemptNo(number as u32) });
            }
        }
        Some(open)
    }

    // ---- Outcomes of attempts

    fn record_outcome(&mut self, now: Time, outcome: Outcome, actions: &mut Vec<Action>) {
        let Outcome { request: id, attempt, member, mut verdict, note, took, closed, report } = outcome;
        // If the member answered other requests meanwhile, it is not down: only this connection failed.
        let answered_others = self.members.get(&member).is_some_and(|m| m.last_answer_at > now - took);
        if answered_others && matches!(verdict, Verdict::ConnectFailed | Verdict::Unreachable) {
            verdict = Verdict::Broken;
        }
        let sent = self.members.get_mut(&member).and_then(|m| m.in_flight.remove(&(id, attempt)));
        let write = sent.as_ref().is_some_and(|sent| self.settings.classes[sent.class].need == Need::Write);
        self.apply_note(now, &member, note, took, write);
        self.apply_report(now, &member, report.as_deref());
        self.record_verdict(now, &member, verdict, took, sent.as_ref());
        let committed = sent.filter(|_| write && verdict == Verdict::Ok).and_then(|sent| sent.session);
        if let Some(key) = committed {
            let commit = note.and_then(|n| n.position).unwrap_or(now);
            self.sessions.record_commit(key, commit);
        }
        let Some(open) = self.open.get_mut(&id) else { return };
        if let Some(attempt) = open.attempts.get_mut(attempt.0 as usize) {
            attempt.pending = false;
            attempt.errored = verdict == Verdict::Error;
        }
        let mut errored = open.attempts.iter().filter(|attempt| attempt.errored);
        let request_at_fault = errored.clone().count() >= MAX_ERROR_ANSWERS;
        // A member that answers with an error what another member fulfils is at fault itself.
        let member_at_fault = errored.next().filter(|_| verdict == Verdict::Ok && !request_at_fault);
        if let Some(m) = member_at_fault.and_then(|attempt| self.members.get_mut(&attempt.member)) {
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
        if request_at_fault {
            self.give_up(now, id, GivenUp::RepeatedErrors, actions);
            return;
        }
        // Proof that a write did not run at the marked member moves the mark to the next member. A refusal as
        // full, or an attempt that was never sent, proves nothing about the member's role.
        if write && verdict.never_ran() {
            let gid = open.group;
            if !matches!(verdict, Verdict::Full | Verdict::Moot | Verdict::Broken) {
                open.rejections += 1;
                let evidence =
                    if verdict == Verdict::Miss { Evidence::TurnedAway } else { Evidence::Unreached };
                let views = self.member_views(now, gid);
                self.groups
                    .entry(gid)
                    .and_modify(|group| group.tracker.write_not_run(now, &member, evidence, &views));
            }
        } else if verdict == Verdict::Timeout {
            self.retry_budget = (self.retry_budget - 1.0).max(0.0);
        }
        let deadline = self.open.get(&id).map_or(now, |open| open.deadline);
        self.set_due(id, deadline);
        self.place(now, id, actions);
    }

    // ---- Evidence of roles and positions

    /// Observations of other routers count like this router's own, except that their primaries are believed only
    /// where members check what they are sent. Elsewhere a wrong primary would answer from stale data.
    fn apply_peer_message(&mut self, now: Time, from: u32, bytes: &[u8]) {
        for observation in self.peers.receive(now, from, bytes) {
            match observation {
                Observation::Primary { .. } if self.settings.checks == Checks::None => {}
                Observation::Primary { member, at } => {
                    self.observe_primary(now, &member, at.min(now));
                    self.peers.suppress_announcement(&member);
                }
                Observation::Answers { member, answers, late, latency_ratio } => {
                    let Some(m) = self.members.get_mut(&member) else { continue };
                    m.slowness.observe(now, answers, latency_ratio);
                    m.record_success(answers - late);
                    let (gid, role, late_counts) = (m.group, m.role(), [f64::from(late), f64::from(answers)]);
                    self.late_answers[role].add(now, DECAY_US, late_counts);
                    self.groups
                        .entry(gid)
                        .and_modify(|group| group.late_answers[role].add(now, DECAY_US, late_counts));
                }
            }
        }
    }

    fn apply_note(&mut self, now: Time, id: &MemberId, note: Option<Note>, took: Span, write: bool) {
        let Some((note, m)) = note.zip(self.members.get_mut(id)) else { return };
        let sent_at = now - took;
        let reported = note.position.filter(|p| *p <= now && (!write || note.role == Some(Role::Primary)));
        if let Some(position) = reported {
            m.position = m.position.max(position);
            m.position_read_at = now;
        }
        match note.role {
            // A former primary that was cut off may still claim the role. The claim is dated by its position,
            // which at a true primary is the present.
            Some(Role::Primary) => self.observe_primary(now, id, reported.unwrap_or(sent_at)),
            Some(Role::Replica) => m.seen_replica_at = m.seen_replica_at.max(sent_at),
            None => {}
        }
    }

    fn apply_report(&mut self, now: Time, id: &MemberId, report: Option<&[f64]>) {
        let Some((report, m)) = report.zip(self.members.get_mut(id)) else { return };
        // A report shows that the member accepts connections again, which ends an ejection for a failed connection.
        // Whether it answers requests is then tried with one request at a time.
        m.ejected_until =
            if std::mem::take(&mut m.connect_failed) { m.ejected_until.min(now) } else { m.ejected_until };
        let value = |field| {
            let index = self.settings.report.iter().position(|f| *f == field)?;
            report.get(index).copied().filter(|value: &f64| value.is_finite())
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

    /// Records evidence that a member was the primary at time `at`. The mark moves to it if that is later than the
    /// evidence for the member that is marked now.
    fn observe_primary(&mut self, now: Time, id: &MemberId, at: Time) {
        let Some(m) = self.members.get_mut(id) else { return };
        (m.seen_primary_at, m.position) = (m.seen_primary_at.max(at), m.position.max(at));
        let gid = m.group;
        self.peers.record_primary(gid, id, at);
        let rival = self.groups.get(&gid).and_then(|group| group.tracker.mark()).filter(|mark| *mark != id);
        let rival_seen_at = rival.map_or(NEVER, |mark| self.members[mark].seen_primary_at);
        let Some(group) = self.groups.get_mut(&gid) else { return };
        if at > rival_seen_at {
            group.tracker.set_mark(now, id, Evidence::Shown);
        }
        self.dirty.insert(gid);
    }

    /// Updates the primary tracker of a group with what is known by now, which may begin or end a change of
    /// primary.
    fn update_primary(&mut self, now: Time, gid: GroupId) {
        let confirmed_at = self.confirmed_primary(now, gid).map(|id| self.members[id].seen_primary_at);
        let Some(Group { tracker, held, .. }) = self.groups.get_mut(&gid) else { return };
        let draining = tracker.mark().is_some_and(|id| self.members[id].state == ListState::Draining);
        if tracker.update(now, confirmed_at, draining, held.len(), &mut self.change_durations) {
            self.pending_log = tracker.mark().map(|id| format!("group {}: primary shown at {}", gid.0, id.0));
        }
    }

    /// The marked member of a group, if its latest known role is primary and it may be sent to.
    fn marked_primary(&self, gid: GroupId) -> Option<(&MemberId, &Member)> {
        let mark = self.groups.get(&gid)?.tracker.mark()?;
        Some((mark, &self.members[mark])).filter(|(_, m)| m.role() == PRIMARY && self.may_send_to(m))
    }

    /// The marked primary, if it is not suspect.
    fn confirmed_primary(&self, now: Time, gid: GroupId) -> Option<&MemberId> {
        self.marked_primary(gid).filter(|(_, m)| !self.is_suspect(m, now)).map(|(mark, _)| mark)
    }

    /// The marked primary, if it is suspect for its silence but not ejected, and no live attempt is in flight at
    /// it. One fresh read at a time is sent to it as a trial: if only some of its connections are silent, nothing
    /// else would show that before the attempts on them end.
    fn trial_primary(&self, now: Time, gid: GroupId) -> Option<&MemberId> {
        self.marked_primary(gid)
            .filter(|(_, m)| now >= m.ejected_until && self.live_attempts(m, now) < 1.0)
            .map(|(mark, _)| mark)
    }

    /// The log position that a member must have applied to answer a request that is sent now.
    fn required_position(&self, now: Time, open: &OpenRequest) -> Option<Time> {
        match self.settings.classes[open.class].need {
            Need::Any | Need::Write => None,
            Need::Bounded(bound) => Some(now - bound),
            Need::Session => open.token.map(LastCommit::required_position),
            Need::Fresh => Some(open.arrived),
        }
    }

    /// Whether a member's position meets the required one. Where members check their reads, a member of unknown
    /// position counts as fresh enough, since it would refuse a read that it is too far behind for.
    fn is_fresh_enough(&self, m: &Member, required: Option<Time>, now: Time) -> bool {
        let Some(required) = required.filter(|required| m.position < *required) else { return true };
        let refused = m.lag_refusal.is_some_and(|(refused_position, at)| {
            required >= refused_position && now - at < LAG_OBSERVATION_TTL
        });
        let age = now - m.position_read_at;
        self.settings.checks == Checks::Refuse
            && !refused
            && (age > LAG_OBSERVATION_TTL || m.position + age >= required)
    }

    /// Whether a member's data is recent enough for an open request that is sent now. Always true where members
    /// check that themselves, and for a member whose latest known role is primary. Hosts ask just before an
    /// attempt is sent, since the bound moves on while the attempt waits for a connection.
    #[must_use]
    pub fn is_fresh(&self, now: Time, request: RequestId, member: &MemberId) -> bool {
        let pair = self.open.get(&request).zip(self.members.get(member));
        pair.is_none_or(|(open, m)| {
            let checked = self.settings.checks != Checks::None || m.role() == PRIMARY;
            checked || self.is_fresh_enough(m, self.required_position(now, open), now)
        })
    }

    /// What [`Router::is_fresh`] compares for an open request that is sent now; `None` if the request has ended or
    /// the member is not known.
    #[must_use]
    pub fn freshness(&self, now: Time, request: RequestId, member: &MemberId) -> Option<Freshness> {
        let (open, m) = self.open.get(&request).zip(self.members.get(member))?;
        let required = self.required_position(now, open);
        Some(Freshness { required, position: (m.position > NEVER).then_some(m.position) })
    }

    /// The commits of sessions that are remembered.
    #[must_use]
    pub fn sessions(&self) -> &Sessions {
        &self.sessions
    }

    /// Counts of the reasons for which requests were given up.
    #[must_use]
    pub fn given_up(&self) -> &Reasons {
        &self.reasons
    }

    /// The number of sessions whose commits are remembered.
    #[must_use]
    pub fn session_count(&self) -> usize {
        self.sessions.len()
    }

    /// The grace period of drains in the current settings.
    #[must_use]
    pub fn drain_grace(&self) -> Span {
        self.settings.drain_grace
    }

    // ---- Member health: failures, silence, slowness, refusals and slow start

    /// Records how an attempt or a probe (without `sent`) at a member ended, after `took`.
    fn record_verdict(
        &mut self,
        now: Time,
        id: &MemberId,
        verdict: Verdict,
        took: Span,
        sent: Option<&InFlight>,
    ) {
        let Some(m) = self.members.get(id) else { return };
        let (gid, role) = (m.group, m.role());
        self.dirty.insert(gid);
        // A timeout or reset that was noticed after a pause of this process says nothing about the member.
        if self.paused_at == now && matches!(verdict, Verdict::Timeout | Verdict::Reset) {
            return;
        }
        // Nor does an attempt that was lost on its connection while later ones were answered.
        let lost =
            sent.is_some_and(|sent| sent.sent_at < m.latest_answered_send && self.is_lost(m, sent, now));
        let draw = self.random_fraction();
        let outstanding = self.members.get(id).map_or(0.0, |m| self.outstanding_work(m, now));
        let usual = self.usual_rate(now);
        let latency = sent.map(|sent| self.latencies[sent.class]);
        let aim = sent.map_or(Span(0), |sent| self.settings.classes[sent.class].aim);
        let overloaded =
            verdict == Verdict::Full || (verdict == Verdict::Ok && took > aim.times(IN_TIME_SHARE_OF_AIM));
        let Some(m) = self.members.get_mut(id) else { return };
        let silent_since_send = m.last_answer_at <= now - took;
        if matches!(verdict, Verdict::Ok | Verdict::Error | Verdict::Miss) {
            m.last_answer_at = now;
        }
        if let Some(latency) = latency.filter(|_| matches!(verdict, Verdict::Cancelled | Verdict::Timeout)) {
            m.abandoned.retain(|done_at| now < *done_at);
            m.abandoned.push(now + latency.upper_bound(0.0).times(m.slowness.ratio(now)));
        }
        let ejections_before = m.ejections;
        match verdict {
            Verdict::Ok => {
                if overloaded {
                    m.reduce_limit(now, took, outstanding);
                } else {
                    m.cold.record_timely_answer();
                    let limit_used = outstanding + 1.0 >= m.concurrency_limit * LIMIT_GROWTH_USE;
                    m.concurrency_limit += if limit_used { 1.0 / m.concurrency_limit } else { 0.0 };
                }
                self.answer_counts.add(now, DECAY_US, [0.0, 1.0]);
                m.record_success(1);
                m.write_refusals = 0;
                m.ejected_until = NEVER;
                m.latest_answered_send = m.latest_answered_send.max(now - took);
                let proven =
                    sent.and_then(|sent| sent.proven).filter(|_| self.settings.checks == Checks::Refuse);
                m.position = m.position.max(proven.map_or(NEVER, |position| position.min(now)));
            }
            // A member that answered other requests meanwhile is overloaded, not dead. Ejecting for that would
            // eject every member of an overloaded group.
            Verdict::Timeout if lost => {}
            Verdict::Timeout if !silent_since_send => m.reduce_limit(now, took, outstanding),
            Verdict::Timeout | Verdict::Reset | Verdict::Broken => m.record_failure(now, LOST_ANSWER_PENALTY),
            // Nothing listens there, so the member is down and will be cold when it is back, whatever the list
            // says.
            Verdict::ConnectFailed => {
                m.record_failure(now, CONNECT_FAILURE_PENALTY);
                m.begin_slow_start(now, now, m.cold.credit(now, usual, &self.settings).min(draw));
            }
            // Silent or cut off, which is no restart: until the list reports one, a few requests show what it can
            // do.
            Verdict::Unreachable => {
                m.record_failure(now, CONNECT_FAILURE_PENALTY);
                m.concurrency_limit = MIN_LIMIT;
            }
            // Full or draining: it gets nothing for as long as an answer usually takes, so that the group is not
            // flooded with attempts. A member that refuses writes is tried less and less often, since otherwise a
            // write would spend all its attempts before the list reports the drain.
            Verdict::Full => {
                m.reduce_limit(now, took, outstanding);
                let write = sent.is_some_and(|sent| self.settings.classes[sent.class].need == Need::Write);
                m.write_refusals =
                    if write { (m.write_refusals + 1).min(MAX_DOUBLINGS) } else { m.write_refusals };
                let rest =
                    latency.map_or(TICK_INTERVAL, |latency| latency.upper_bound(0.0).max(TICK_INTERVAL));
                let backoff = if write { f64::from(1 << (m.write_refusals - 1)) } else { 1.0 };
                m.rest_until = now + rest.times(backoff).min(BASE_EJECTION).max(rest);
            }
            Verdict::Miss => {
                m.lag_refusal =
                    sent.and_then(|sent| sent.proven).map(|refused| (refused, now)).or(m.lag_refusal);
                if sent.is_some_and(|sent| self.settings.classes[sent.class].need == Need::Write) {
                    m.seen_replica_at = m.seen_replica_at.max(now - took);
                }
            }
            // An error counts against the member only if another one answers the same request; see
            // `record_outcome`.
            Verdict::Error | Verdict::Cancelled | Verdict::Moot => {}
        }
        self.groups.entry(gid).and_modify(|group| group.tracker.record_outcome(now, id, verdict));
        if m.ejections > ejections_before {
            self.pending_log = Some(format!("{} ejected until {} us: {verdict:?}", id.0, m.ejected_until.0));
        }
        let Some((sent, latency)) = sent.zip(latency) else { return };
        let took = took.0 as f64;
        if verdict == Verdict::Ok || (verdict == Verdict::Timeout && !lost && took >= latency.mean) {
            m.slowness.observe(now, 1, took / latency.mean.max(1.0));
            self.peers.record_answer(
                id,
                overloaded || verdict == Verdict::Timeout,
                took / latency.mean.max(1.0),
            );
            self.latencies[sent.class].observe(took);
        }
        // A lost answer is a sign of overload only to the degree that the other answers are late.
        let late_counts = match verdict {
            Verdict::Ok | Verdict::Full => [f64::from(u8::from(overloaded)), 1.0],
            Verdict::Timeout => [self.overload(now, gid, role); 2],
            _ => return,
        };
        self.late_answers[role].add(now, DECAY_US, late_counts);
        self.groups.entry(gid).and_modify(|group| group.late_answers[role].add(now, DECAY_US, late_counts));
    }

    /// A member's load: the attempts in flight by their age and the abandoned ones, weighted by its slowness.
    fn load(&self, m: &Member, now: Time) -> f64 {
        let attempt_load = |sent: &InFlight| {
            let age = (now - sent.sent_at).0 as f64 / self.latencies[sent.class].mean.max(1.0);
            age.clamp(1.0, MAX_ATTEMPT_LOAD)
        };
        let in_flight: f64 = m.in_flight.values().map(attempt_load).sum();
        let abandoned = self.outstanding_work(m, now) - self.live_attempts(m, now);
        (1.0 + in_flight + abandoned) * m.slowness.ratio(now)
    }

    /// Whether a member is ejected, silent, or has an attempt in flight after an ejection: it then gets one at a
    /// time.
    fn is_suspect(&self, m: &Member, now: Time) -> bool {
        now < m.ejected_until
            || (m.ejections > 0 && self.live_attempts(m, now) > 0.0)
            || (self.paused_at != now
                && m.in_flight
                    .values()
                    .any(|sent| sent.sent_at > m.last_answer_at && self.is_overdue(sent, now)))
    }

    /// Whether an attempt has been in flight for far longer than usual.
    fn is_overdue(&self, sent: &InFlight, now: Time) -> bool {
        now - sent.sent_at > self.latencies[sent.class].upper_bound(OVERDUE_DEVIATIONS).times(SILENCE_FACTOR)
    }

    /// Whether an attempt is overdue and does not merely wait its turn: either a later one was answered, so that
    /// its connection alone is silent, or the member has answered nothing since.
    fn is_lost(&self, m: &Member, sent: &InFlight, now: Time) -> bool {
        self.is_overdue(sent, now)
            && (sent.sent_at < m.latest_answered_send || sent.sent_at > m.last_answer_at)
    }

    /// The number of attempts in flight at a member, without lost ones.
    fn live_attempts(&self, m: &Member, now: Time) -> f64 {
        m.in_flight.values().filter(|sent| !self.is_lost(m, sent, now)).count() as f64
    }

    /// The attempts of this router that a member presumably works on. An abandoned attempt still runs there; a lost
    /// one does not.
    fn outstanding_work(&self, m: &Member, now: Time) -> f64 {
        self.live_attempts(m, now) + m.abandoned.iter().filter(|done_at| now < **done_at).count() as f64
    }

    /// Whether the list allows new attempts at a member.
    fn may_send_to(&self, m: &Member) -> bool {
        m.state == ListState::Healthy || (m.state == ListState::Gone && self.settings.soft_removal)
    }

    /// Whether a member may be sent one more attempt: it does not rest after a refusal, is below its concurrency
    /// limit and the window of a release, and its slow start allows it.
    fn has_room(&self, m: &Member, now: Time) -> bool {
        let tracker = self.groups.get(&m.group).filter(|_| m.role() == PRIMARY).map(|group| &group.tracker);
        let limit = m.concurrency_limit.min(tracker.map_or(f64::INFINITY, PrimaryTracker::window));
        now >= m.rest_until
            && self.outstanding_work(m, now) < limit
            && m.cold.has_credit(now, self.usual_rate(now), &self.settings)
    }

    /// Answers per microsecond that a member usually gives to this router.
    fn usual_rate(&self, now: Time) -> f64 {
        self.answer_counts.decayed(now, DECAY_US)[1] / DECAY_US / self.in_service.max(1.0)
    }

    // ---- Overload and load shedding. The load is that of the whole fleet, of which each router sees few answers.

    /// The share of recent answers of a group's members in this role that were not in time.
    fn overload(&self, now: Time, gid: GroupId, role: usize) -> f64 {
        let overall = self.late_answers[role].ratio(now, DECAY_US, OVERLOAD_PRIOR, OVERLOAD_PRIOR_WEIGHT);
        self.groups.get(&gid).map_or(overall, |group| {
            group.late_answers[role].ratio(now, DECAY_US, overall, OVERLOAD_PRIOR_WEIGHT)
        })
    }

    /// A random number between 0 and 1.
    fn random_fraction(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }

    /// Whether to shed a new request. The share of work that is shed grows with the overload; the probability of
    /// each request is higher the lower its merit is, compared with the other requests for the same role.
    fn should_shed(&mut self, now: Time, id: RequestId, role: usize) -> bool {
        let draw = self.random_fraction();
        let Some(open) = self.open.get(&id) else { return false };
        let excess =
            (self.overload(now, open.group, role) - SHEDDING_START) / (SHEDDING_COMPLETE - SHEDDING_START);
        let primary_only =
            |class_index: usize| matches!(self.settings.classes[class_index].need, Need::Write | Need::Fresh);
        let (mut worth, mut work) = (0.0, 0.0);
        for (index, class) in self.settings.classes.iter().enumerate() {
            let same_role = primary_only(index) == primary_only(open.class);
            let requested = if same_role { self.class_worth[index].decayed(now, DECAY_US)[1] } else { 0.0 };
            worth += requested;
            work += requested * self.latencies[index].mean / class.worth.max(f64::EPSILON);
        }
        draw * self.merit(now, id) * work < excess * worth
    }

    /// The members of a group that may be sent to, as the primary tracker needs them.
    fn member_views(&self, now: Time, gid: GroupId) -> Vec<MemberView> {
        let members = self.groups.get(&gid).into_iter().flat_map(|group| &group.members);
        let view = |id: &MemberId| {
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
                    .any(|sent| self.settings.classes[sent.class].need == Need::Write),
            }
        };
        members.filter(|id| self.may_send_to(&self.members[*id])).map(view).collect()
    }

    // ---- Probes, timers and the release of held requests

    /// Probes members that were not probed within `interval`.
    fn probe(&mut self, now: Time, ids: &[MemberId], interval: Span, actions: &mut Vec<Action>) {
        for id in ids {
            let probe_due =
                |m: &Member| self.settings.probes && self.may_send_to(m) && now - m.last_probe >= interval;
            if self.members.get(id).is_some_and(probe_due) {
                actions.push(Action::Probe { member: id.clone() });
                self.members.entry(id.clone()).and_modify(|m| m.last_probe = now);
            }
        }
    }

    /// Handles requests that are due and, once per `TICK_INTERVAL`, the periodic work.
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
        let (members, removal_is_soft) = (self.members.values(), self.settings.soft_removal);
        let in_use =
            |m: &&Member| m.state == ListState::Healthy || (m.state == ListState::Gone && removal_is_soft);
        self.sessions.evict(|| members.filter(in_use).map(|m| m.position).min());
    }

    /// Ends a request that is past its deadline. Hedges a request whose attempt takes too long.
    fn handle_due(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id).filter(|open| now < open.deadline) else {
            self.give_up(now, id, GivenUp::DeadlineOver, actions);
            return;
        };
        let attempts_spent = open.attempts.len() as u32 >= open.attempt_limit;
        let already_hedged = open.attempts.iter().filter(|attempt| attempt.pending).count() > 1;
        let may_hedge =
            self.settings.second_copies && !attempts_spent && !already_hedged && self.retry_budget >= 1.0;
        let hedge = may_hedge && now < open.aim && self.paused_at != now;
        let deadline = open.deadline;
        self.set_due(id, deadline);
        let target = if hedge { self.place_read(now, id, actions) } else { None };
        if let Some(target) =
            target.filter(|target| self.open.get(&id).is_some_and(|open| !open.tried(target)))
        {
            self.retry_budget -= 1.0;
            self.send(now, id, target, actions);
        }
    }

    /// Adds a request's worth to the counts of its class and tenant; `parts` are its shares of worth served in
    /// time and of worth requested.
    fn record_worth(&mut self, now: Time, open: &OpenRequest, parts: [f64; 2]) {
        let amounts = parts.map(|part| part * self.settings.classes[open.class].worth);
        self.class_worth[open.class].add(now, DECAY_US, amounts);
        if let Some(tenant) = open.tenant.and_then(|index| self.tenant_worth.get_mut(index)) {
            tenant.add(now, DECAY_US, amounts);
        }
    }

    /// The worth of a request per unit of the time that it takes. Worth beyond its tenant's quota counts less.
    fn merit(&self, now: Time, id: RequestId) -> f64 {
        let Some(open) = self.open.get(&id) else { return 0.0 };
        let tenants = &self.settings.tenants;
        let merit = self.class_merit(now, open.class);
        let Some(tenant) = open.tenant.filter(|index| *index < tenants.len()) else { return merit };
        let total: f64 = self.class_worth.iter().map(|t| t.decayed(now, DECAY_US)[1]).sum();
        let quotas: f64 = tenants.iter().map(|t| t.quota).sum();
        let within_quota = (tenants[tenant].quota / quotas * total
            / self.tenant_worth[tenant].decayed(now, DECAY_US)[1])
            .min(1.0);
        merit * (within_quota + (1.0 - within_quota) * self.settings.over_share_worth)
    }

    /// The merit of a class. The worst-served class counts for more, by the operators' weights; otherwise a surge
    /// of other classes would starve it.
    fn class_merit(&self, now: Time, class: usize) -> f64 {
        let Settings { goal, classes, .. } = &self.settings;
        let served_share = |counts: &DecayingCounts| counts.ratio(now, DECAY_US, 1.0, OVERLOAD_PRIOR_WEIGHT);
        let worst = self.class_worth.iter().map(served_share).fold(f64::MAX, f64::min);
        let total: f64 = self.class_worth.iter().map(|t| t.decayed(now, DECAY_US)[1]).sum();
        let own = self.class_worth[class].decayed(now, DECAY_US)[1];
        let worst_served = own > 0.0 && served_share(&self.class_worth[class]) <= worst;
        let boost =
            if worst_served { goal.worst_class / goal.whole.max(f64::EPSILON) * total / own } else { 0.0 };
        classes[class].worth / self.latencies[class].mean.max(1.0) * (1.0 + boost)
    }

    /// Reconsiders the held requests of all groups with new information.
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
            let (ready, too_late) = group.tracker.release_order(now, held.collect(), &self.change_durations);
            too_late.into_iter().for_each(|id| self.give_up(now, id, GivenUp::ReleaseTooSlow, actions));
            ready.into_iter().for_each(|id| self.place(now, id, actions));
        }
    }
}

impl Member {
    /// The member started at `at`, and begins with this send credit.
    fn begin_slow_start(&mut self, now: Time, at: Time, credit: f64) {
        self.cold.start(now, at, credit);
        self.concurrency_limit = MIN_LIMIT;
    }

    fn record_success(&mut self, answers: u32) {
        self.failure_score *= SCORE_DECAY_PER_ANSWER.powi(i32::try_from(answers).unwrap_or(i32::MAX));
        self.ejections = self.ejections.saturating_sub(answers);
    }

    /// Raises the failure score, and ejects the member if that is too high.
    fn record_failure(&mut self, now: Time, penalty: f64) {
        self.connect_failed = penalty == CONNECT_FAILURE_PENALTY;
        self.failure_score += (1.0 - self.failure_score) * penalty;
        if self.failure_score >= EJECTION_SCORE && now >= self.ejected_until {
            self.ejected_until = now
                + BASE_EJECTION.times(f64::from(1 << self.ejections.min(MAX_DOUBLINGS))).min(MAX_EJECTION);
            self.ejections += 1;
        }
    }

    /// Lowers the concurrency limit, at most once per duration of an answer: the answers that follow result from
    /// the same overload.
    fn reduce_limit(&mut self, now: Time, took: Span, outstanding: f64) {
        if now - took >= self.limit_cut_at {
            self.concurrency_limit =
                (self.concurrency_limit.min(outstanding + 1.0) * LIMIT_DECREASE).max(MIN_LIMIT);
            self.limit_cut_at = now;
        }
    }
}
