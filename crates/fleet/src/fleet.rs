//! The boxes of a fleet with their groups and the list of them, and the troubles of a scenario. It is independent
//! of what drives it: the current time is passed in, and the resulting actions are returned for the caller to carry
//! out.

use crate::group::{Group, ReplicationTiming};
use crate::record::RecordKind;
use crate::scenario::{Scenario, Target, Trouble, TroubleKind};
use crate::server::{Admission, Job, Server, ServerConfig, ServerState};
use linnetdeal_core::{Expected, ListState, Note, Role, Span, Time, Verdict};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// The shortest unplanned change of primary, as a share of the usual duration.
pub const MIN_CHANGE_FACTOR: f64 = 0.75;

/// An event of the fleet, to be passed to [`Fleet::handle`] when it is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetEvent {
    /// A job may be completed.
    JobDone {
        /// The box.
        server: u32,
        /// The job.
        id: u64,
    },
    /// A trouble of the scenario begins.
    TroubleStarts {
        /// The trouble's index.
        trouble: usize,
    },
    /// A trouble affects a box.
    TroubleHits {
        /// The trouble's index.
        trouble: usize,
        /// The box.
        server: u32,
    },
    /// A trouble of a box ends, if the box still has the same incarnation.
    TroubleEnds {
        /// The trouble's index.
        trouble: usize,
        /// The box.
        server: u32,
        /// The box's incarnation when the trouble began.
        incarnation: u32,
    },
    /// The successor of a deployed process starts, if the box still has this incarnation.
    SuccessorStarts {
        /// The box.
        server: u32,
        /// The incarnation that was expected.
        incarnation: u32,
    },
    /// A group elects a primary.
    Elect {
        /// The group.
        group: u32,
        /// The number of the election; outdated ones are ignored.
        epoch: u32,
    },
    /// A member takes over as primary.
    Promote {
        /// The group.
        group: u32,
        /// The number of the election; outdated ones are ignored.
        epoch: u32,
        /// The member.
        member: u32,
    },
}

/// An action that the caller has to carry out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FleetAction {
    /// Pass this event to [`Fleet::handle`] at this time.
    Schedule(Time, FleetEvent),
    /// Record this: kind, box, request, and `x`.
    Record(RecordKind, u32, u64, i64),
    /// This job was lost with its box.
    JobLost(u64),
    /// This box has completed this job; see [`Fleet::finish`].
    JobDone(u32, u64),
    /// The change of this index was made to the list, and becomes visible at this time.
    ListChanged(usize, Time),
    /// A box has died, has been paused or resumed, or has started.
    StateChanged(u32),
    /// Kill a pooler at this time, because of the trouble of this index.
    KillPooler(Time, usize, u32),
    /// Clients send this multiple of the usual requests.
    SetSurge(f64),
    /// The discovery service ends all watches, and takes this multiple of the usual time for each call.
    ListOverbooked(f64),
}

/// A change of a box's entry in the list.
#[derive(Clone, Copy, Debug)]
pub struct ListChange {
    /// The box.
    pub server: u32,
    /// Its new state.
    pub state: ListState,
    /// When it started, if that was not long ago.
    pub started: Option<Time>,
    /// Whether it is listed as the primary.
    pub primary: bool,
    /// Later changes have greater numbers.
    pub number: i64,
}

/// A box in the fleet.
#[derive(Clone, Debug)]
pub struct Host {
    /// The model of the server.
    pub server: Server,
    /// Its group.
    pub group: u32,
    /// Its index in the group.
    pub member: u32,
    /// Its zone.
    pub zone: usize,
    /// How often it has died; connections to an earlier incarnation are lost.
    pub incarnation: u32,
    /// It is paused, but accepts connections and answers probes.
    pub hangs: bool,
    /// When the latest report was made, and the report.
    report: (Time, [f64; 3]),
    /// When the latest change of its list entry becomes visible.
    list_visible_at: Time,
}

/// The result of delivering a request to a box.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Delivery {
    /// It runs or waits; [`FleetAction::JobDone`] or [`FleetAction::JobLost`] follows.
    Accepted,
    /// It was answered immediately and has not run.
    Answered(Verdict, Note),
    /// The connection is lost.
    ConnectionLost,
}

/// The result of a completed job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum JobResult {
    /// A read: the status note of the box, and its exact position.
    Read(Note, Time),
    /// A write that is committed now; replicas receive it a little later.
    Committed(Time),
    /// A write at a box that lost its role meanwhile: nothing was committed.
    RoleLost(Note),
}

/// All boxes of a scenario.
#[derive(Clone, Debug)]
pub struct Fleet {
    scenario: Scenario,
    begin: Time,
    /// The boxes, in the order of groups.
    pub hosts: Vec<Host>,
    groups: Vec<Group>,
    election_epochs: Vec<u32>,
    /// All changes of the list so far.
    pub changes: Vec<ListChange>,
    /// When boxes took over as primaries.
    pub promotions: Vec<(Time, u32)>,
    /// Number of boxes that collapsed.
    pub collapsed: u64,
    /// Additional delay of the list.
    extra_list_delay: Span,
}

impl Fleet {
    /// The boxes of a scenario that begins at this time.
    #[must_use]
    pub fn new(scenario: &Scenario, begin: Time, rng: &mut ChaCha8Rng) -> Self {
        let (boxes, fleet) = (&scenario.boxes, &scenario.fleet);
        let timing = ReplicationTiming {
            ship: boxes.ship,
            apply: boxes.apply,
            detect: boxes.detect,
            elect: boxes.elect,
            switch: boxes.switch,
        };
        let mut hosts = Vec::new();
        for group in 0..fleet.groups {
            for member in 0..fleet.members {
                let spread = 1.0 + boxes.spread * (rng.random::<f64>() * 2.0 - 1.0);
                let config = ServerConfig {
                    cores: boxes.cores,
                    speed: boxes.speed * spread,
                    queue_limit: boxes.room,
                    queue_slowdown: boxes.crowding,
                    thrash: (boxes.thrash_at, boxes.thrash),
                    cold: boxes.cold(),
                    fall: boxes.fall(),
                };
                hosts.push(Host {
                    server: Server::new(config),
                    group: group as u32,
                    member: member as u32,
                    zone: (group + member) % fleet.zones,
                    incarnation: 0,
                    hangs: false,
                    report: (Time(0), [0.0; 3]),
                    list_visible_at: begin,
                });
            }
        }
        Self {
            begin,
            hosts,
            groups: vec![Group::new(timing, fleet.members, begin); fleet.groups],
            election_epochs: vec![0; fleet.groups],
            changes: Vec::new(),
            promotions: Vec::new(),
            collapsed: 0,
            extra_list_delay: Span(0),
            scenario: scenario.clone(),
        }
    }

    /// The durations of planned and unplanned changes of primary, as an operator would configure them.
    #[must_use]
    pub fn expected(scenario: &Scenario) -> [Option<Expected>; 2] {
        let boxes = &scenario.boxes;
        [boxes.switch, Span(boxes.detect.0 + boxes.elect.0)].map(|usual| {
            let least = usual.times(MIN_CHANGE_FACTOR);
            scenario.fleet.expected.then_some(Expected { least, usual })
        })
    }

    /// Schedules the troubles of the scenario.
    pub fn schedule_troubles(&self, actions: &mut Vec<FleetAction>) {
        for (index, trouble) in self.scenario.troubles.iter().enumerate() {
            actions.push(FleetAction::Schedule(
                self.begin + trouble.at,
                FleetEvent::TroubleStarts { trouble: index },
            ));
        }
    }

    fn location(&self, server: u32) -> (usize, usize) {
        let host = &self.hosts[server as usize];
        (host.group as usize, host.member as usize)
    }

    /// Whether a box is the primary of its group.
    #[must_use]
    pub fn is_primary(&self, server: u32) -> bool {
        let (group, member) = self.location(server);
        self.groups[group].primary() == Some(member)
    }

    /// The position up to which a box has applied the log.
    pub fn position(&mut self, server: u32, now: Time) -> Time {
        let (group, member) = self.location(server);
        self.groups[group].position(member, now)
    }

    /// How long a commit takes to reach a replica.
    #[must_use]
    pub fn ship(&self) -> Span {
        self.scenario.boxes.ship
    }

    /// Delivers a complete request to a box.
    pub fn deliver(
        &mut self,
        now: Time,
        server: u32,
        job: Job,
        write: bool,
        rng: &mut ChaCha8Rng,
        actions: &mut Vec<FleetAction>,
    ) -> Delivery {
        let state = self.hosts[server as usize].server.state();
        if matches!(state, ServerState::Dead | ServerState::Collapsed) {
            return Delivery::ConnectionLost;
        }
        if write && state == ServerState::Up && !self.is_primary(server) {
            let note = self.note(server, now);
            let draining = self.hosts[server as usize].server.draining;
            return Delivery::Answered(if draining { Verdict::Full } else { Verdict::Miss }, note);
        }
        match self.hosts[server as usize].server.admit(now, job) {
            Admission::Started(ends_at) => {
                actions.push(FleetAction::Schedule(ends_at, FleetEvent::JobDone { server, id: job.id }))
            }
            Admission::Queued => {}
            Admission::Rejected => return Delivery::Answered(Verdict::Full, self.note(server, now)),
            Admission::Down => return Delivery::ConnectionLost,
            Admission::Collapsed => {
                self.collapsed += 1;
                actions.push(FleetAction::Record(RecordKind::Fell, server, 0, 0));
                self.kill_box(now, server, rng, actions);
                return Delivery::ConnectionLost;
            }
        }
        Delivery::Accepted
    }

    /// The role and position that a box reports with an answer.
    pub fn note(&mut self, server: u32, now: Time) -> Note {
        let role = if self.is_primary(server) { Role::Primary } else { Role::Replica };
        let position = self.position(server, now);
        // Rounded down to a millisecond.
        Note { role: Some(role), position: Some(Time(position.0.div_euclid(1_000) * 1_000)) }
    }

    /// Completes a job at a box, and returns its result.
    pub fn finish(&mut self, now: Time, server: u32, write: bool) -> JobResult {
        if !write {
            return JobResult::Read(self.note(server, now), self.position(server, now));
        }
        if !self.is_primary(server) {
            return JobResult::RoleLost(self.note(server, now));
        }
        let (group, _) = self.location(server);
        self.groups[group].commit(now);
        JobResult::Committed(now)
    }

    /// A box's answer to a probe: its position in seconds since the beginning, whether it is the primary, and the
    /// number of waiting requests. `None` if the box does not answer; one that hangs does, as probes bypass its
    /// queue.
    pub fn report(&mut self, server: u32, now: Time) -> Option<[f64; 3]> {
        let host = &self.hosts[server as usize];
        match host.server.state() {
            ServerState::Up => {}
            ServerState::Paused(_) if host.hangs => {}
            _ => return None,
        }
        if now - host.report.0 >= self.scenario.boxes.report {
            let primary = self.is_primary(server);
            let position = self.position(server, now);
            let queued = self.hosts[server as usize].server.queued() as f64;
            let report = [(position - self.begin).0 as f64 / 1e6, f64::from(u8::from(primary)), queued];
            self.hosts[server as usize].report = (now, report);
        }
        Some(self.hosts[server as usize].report.1)
    }

    /// Handles an event that is due.
    pub fn handle(
        &mut self,
        now: Time,
        event: FleetEvent,
        rng: &mut ChaCha8Rng,
        actions: &mut Vec<FleetAction>,
    ) {
        match event {
            FleetEvent::JobDone { server, id } => {
                if let Some(next) = self.hosts[server as usize].server.complete(now, id) {
                    if let Some((id, ends_at)) = next {
                        actions.push(FleetAction::Schedule(ends_at, FleetEvent::JobDone { server, id }));
                    }
                    actions.push(FleetAction::JobDone(server, id));
                }
            }
            FleetEvent::TroubleStarts { trouble } => self.start_trouble(now, trouble, rng, actions),
            FleetEvent::TroubleHits { trouble, server } => {
                self.apply_trouble(now, trouble, server, rng, actions)
            }
            FleetEvent::TroubleEnds { trouble, server, incarnation } => {
                self.end_trouble(now, trouble, server, incarnation, rng, actions)
            }
            FleetEvent::SuccessorStarts { server, incarnation } => {
                self.start_box(now, server, incarnation, rng, actions)
            }
            FleetEvent::Elect { group, epoch } => self.elect(now, group, epoch, actions),
            FleetEvent::Promote { group, epoch, member } => {
                self.promote(now, (group, epoch, member), rng, actions)
            }
        }
    }

    /// Changes an entry of the list. The change becomes visible after a random delay.
    fn change_list(
        &mut self,
        now: Time,
        server: u32,
        state: ListState,
        (started, primary): (Option<Time>, bool),
        rng: &mut ChaCha8Rng,
        actions: &mut Vec<FleetAction>,
    ) {
        let number = self.changes.len() as i64 + 1;
        self.changes.push(ListChange { server, state, started, primary, number });
        let (min_delay, max_delay) = (self.scenario.network.list_least.0, self.scenario.network.list_most.0);
        let visible_at = now + Span(rng.random_range(min_delay..=max_delay)) + self.extra_list_delay;
        // Changes of one entry become visible in order.
        let host = &mut self.hosts[server as usize];
        host.list_visible_at = host.list_visible_at.max(visible_at);
        actions.push(FleetAction::ListChanged(self.changes.len() - 1, host.list_visible_at));
    }

    /// Ends a box's process: its jobs are lost, and its group may need another primary.
    fn kill_box(&mut self, now: Time, server: u32, rng: &mut ChaCha8Rng, actions: &mut Vec<FleetAction>) {
        let lost = self.hosts[server as usize].server.die();
        self.hosts[server as usize].incarnation += 1;
        actions.extend(lost.into_iter().map(FleetAction::JobLost));
        actions.push(FleetAction::StateChanged(server));
        self.change_list(now, server, ListState::Gone, (None, false), rng, actions);
        self.leave_group(now, server, rng, actions);
    }

    fn leave_group(&mut self, now: Time, server: u32, rng: &mut ChaCha8Rng, actions: &mut Vec<FleetAction>) {
        let (group, member) = self.location(server);
        if self.groups[group].leave(member, now) {
            let usual = Span(self.scenario.boxes.detect.0 + self.scenario.boxes.elect.0);
            self.schedule_election(
                group,
                now + usual.times(MIN_CHANGE_FACTOR + 0.5 * rng.random::<f64>()),
                actions,
            );
        }
    }

    fn schedule_election(&mut self, group: usize, at: Time, actions: &mut Vec<FleetAction>) {
        self.election_epochs[group] += 1;
        actions.push(FleetAction::Schedule(
            at,
            FleetEvent::Elect { group: group as u32, epoch: self.election_epochs[group] },
        ));
    }

    fn elect(&mut self, now: Time, group: u32, epoch: u32, actions: &mut Vec<FleetAction>) {
        if self.election_epochs[group as usize] != epoch || self.groups[group as usize].primary().is_some() {
            return;
        }
        let first = group as usize * self.scenario.fleet.members;
        let hosts = &self.hosts;
        let eligible = |member: usize| {
            let server = &hosts[first + member].server;
            server.state() == ServerState::Up && !server.draining
        };
        let next = match self.groups[group as usize].successor(now, eligible) {
            Some((member, at)) => {
                FleetAction::Schedule(at, FleetEvent::Promote { group, epoch, member: member as u32 })
            }
            None => FleetAction::Schedule(now + Span::millis(200), FleetEvent::Elect { group, epoch }),
        };
        actions.push(next);
    }

    fn promote(
        &mut self,
        now: Time,
        (group, epoch, member): (u32, u32, u32),
        rng: &mut ChaCha8Rng,
        actions: &mut Vec<FleetAction>,
    ) {
        if self.election_epochs[group as usize] != epoch || self.groups[group as usize].primary().is_some() {
            return;
        }
        let server = group as usize * self.scenario.fleet.members + member as usize;
        if self.hosts[server].server.state() != ServerState::Up {
            return self.elect(now, group, epoch, actions);
        }
        self.groups[group as usize].promote(member as usize, now);
        self.promotions.push((now, server as u32));
        let started = self.hosts[server].server.started();
        self.change_list(now, server as u32, ListState::Healthy, (started, true), rng, actions);
    }

    /// The boxes or poolers that a trouble affects, in the order in which it does.
    fn affected(&self, trouble: &Trouble, rng: &mut ChaCha8Rng) -> Vec<u32> {
        let members = self.scenario.fleet.members;
        match trouble.who {
            Target::Primary => (0..trouble.groups)
                .filter_map(|group| Some((group * members + self.groups[group].primary()?) as u32))
                .collect(),
            Target::Replica(number) => (0..trouble.groups)
                .filter_map(|group| {
                    let primary = self.groups[group].primary();
                    let mut replicas = (0..members).filter(|member| Some(*member) != primary);
                    replicas.nth(number).map(|member| (group * members + member) as u32)
                })
                .collect(),
            Target::Boxes(share) => random_share(self.hosts.len(), share, rng),
            Target::Poolers(share) => random_share(self.scenario.fleet.poolers, share, rng),
            Target::List => Vec::new(),
        }
    }

    fn start_trouble(
        &mut self,
        now: Time,
        index: usize,
        rng: &mut ChaCha8Rng,
        actions: &mut Vec<FleetAction>,
    ) {
        let trouble = &self.scenario.troubles[index];
        if matches!(trouble.what, TroubleKind::Surge | TroubleKind::Stale | TroubleKind::Overbook) {
            match trouble.what {
                TroubleKind::Stale => self.extra_list_delay = Span::millis(1_000).times(trouble.factor),
                TroubleKind::Overbook => actions.push(FleetAction::ListOverbooked(trouble.factor)),
                _ => actions.push(FleetAction::SetSurge(trouble.factor)),
            }
            actions.push(FleetAction::Record(RecordKind::Trouble, 0, 0, trouble.what as i64));
            if let Some(lasts) = trouble.lasts {
                actions.push(FleetAction::Schedule(
                    now + lasts,
                    FleetEvent::TroubleEnds { trouble: index, server: 0, incarnation: 0 },
                ));
            }
            return;
        }
        let poolers = matches!(trouble.who, Target::Poolers(_));
        for (position, target) in self.affected(trouble, rng).into_iter().enumerate() {
            let when = now + trouble.apart.times(position as f64);
            actions.push(if poolers {
                FleetAction::KillPooler(when, index, target)
            } else {
                FleetAction::Schedule(when, FleetEvent::TroubleHits { trouble: index, server: target })
            });
        }
    }

    fn apply_trouble(
        &mut self,
        now: Time,
        index: usize,
        server: u32,
        rng: &mut ChaCha8Rng,
        actions: &mut Vec<FleetAction>,
    ) {
        let (what, factor, lasts) = {
            let trouble = &self.scenario.troubles[index];
            (trouble.what, trouble.factor, trouble.lasts)
        };
        actions.push(FleetAction::Record(RecordKind::Trouble, server, 0, what as i64));
        let (group, member) = self.location(server);
        let server_model = &mut self.hosts[server as usize].server;
        if what == TroubleKind::Deploy
            && matches!(server_model.state(), ServerState::Dead | ServerState::Collapsed)
        {
            return;
        }
        match what {
            TroubleKind::Crash => {
                if matches!(server_model.state(), ServerState::Up | ServerState::Paused(_)) {
                    self.kill_box(now, server, rng, actions);
                }
            }
            TroubleKind::Pause | TroubleKind::Hang => {
                server_model.pause(now);
                self.hosts[server as usize].hangs = what == TroubleKind::Hang;
                actions.push(FleetAction::StateChanged(server));
                self.leave_group(now, server, rng, actions);
            }
            TroubleKind::Slow => server_model.slowdown = factor,
            TroubleKind::Lag => self.groups[group].set_apply_factor(member, factor),
            TroubleKind::Drain | TroubleKind::Deploy => {
                server_model.draining = true;
                self.change_list(now, server, ListState::Draining, (None, false), rng, actions);
                if self.groups[group].primary() == Some(member) {
                    self.groups[group].hand_over(now);
                    self.schedule_election(group, now + self.scenario.boxes.switch, actions);
                }
            }
            TroubleKind::Surge | TroubleKind::Stale | TroubleKind::Overbook => {}
        }
        if let Some(lasts) = lasts {
            let incarnation = self.hosts[server as usize].incarnation;
            actions.push(FleetAction::Schedule(
                now + lasts,
                FleetEvent::TroubleEnds { trouble: index, server, incarnation },
            ));
        }
    }

    fn end_trouble(
        &mut self,
        now: Time,
        index: usize,
        server: u32,
        incarnation: u32,
        rng: &mut ChaCha8Rng,
        actions: &mut Vec<FleetAction>,
    ) {
        let what = self.scenario.troubles[index].what;
        let (group, member) = self.location(server);
        let host = &mut self.hosts[server as usize];
        match what {
            TroubleKind::Surge => actions.push(FleetAction::SetSurge(1.0)),
            TroubleKind::Stale => self.extra_list_delay = Span(0),
            TroubleKind::Overbook => actions.push(FleetAction::ListOverbooked(1.0)),
            TroubleKind::Crash => self.start_box(now, server, incarnation, rng, actions),
            TroubleKind::Deploy => {
                if host.incarnation == incarnation
                    && matches!(host.server.state(), ServerState::Up | ServerState::Paused(_))
                {
                    self.kill_box(now, server, rng, actions);
                    let next = FleetEvent::SuccessorStarts { server, incarnation: incarnation + 1 };
                    actions.push(FleetAction::Schedule(now + self.scenario.troubles[index].away, next));
                }
            }
            TroubleKind::Pause | TroubleKind::Hang => {
                host.hangs = false;
                let running = host.server.resume(now);
                actions.extend(
                    running.into_iter().map(|(id, ends_at)| {
                        FleetAction::Schedule(ends_at, FleetEvent::JobDone { server, id })
                    }),
                );
                actions.push(FleetAction::StateChanged(server));
                // A box that died meanwhile receives the log again when it starts.
                if self.hosts[server as usize].server.state() == ServerState::Up {
                    self.groups[group].join(member, now);
                }
            }
            TroubleKind::Slow => host.server.slowdown = 1.0,
            TroubleKind::Lag => self.groups[group].set_apply_factor(member, 1.0),
            TroubleKind::Drain => {
                host.server.draining = false;
                self.change_list(now, server, ListState::Healthy, (None, false), rng, actions);
            }
        }
    }

    /// Starts a box, cold, unless it has another incarnation by now.
    fn start_box(
        &mut self,
        now: Time,
        server: u32,
        incarnation: u32,
        rng: &mut ChaCha8Rng,
        actions: &mut Vec<FleetAction>,
    ) {
        let (group, member) = self.location(server);
        let host = &mut self.hosts[server as usize];
        if host.incarnation == incarnation && host.server.start(now) {
            let capacity = host.server.capacity(now + self.scenario.boxes.cold_in);
            actions.push(FleetAction::Record(RecordKind::Started, server, 0, (capacity * 1e6) as i64));
            actions.push(FleetAction::StateChanged(server));
            self.groups[group].join(member, now);
            self.change_list(now, server, ListState::Healthy, (Some(now), false), rng, actions);
        }
    }

    /// How long a pooler that a trouble killed stays down; `None` means for good.
    #[must_use]
    pub fn pooler_downtime(&self, trouble: usize) -> Option<Span> {
        self.scenario.troubles[trouble].lasts
    }
}

/// A random selection of this share of `count`, in random order.
fn random_share(count: usize, share: f64, rng: &mut ChaCha8Rng) -> Vec<u32> {
    let mut all: Vec<u32> = (0..count as u32).collect();
    for index in (1..all.len()).rev() {
        all.swap(index, rng.random_range(0..=index));
    }
    all.truncate((count as f64 * share).round() as usize);
    all
}
