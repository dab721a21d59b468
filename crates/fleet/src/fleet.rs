//! The boxes of a fleet with their groups and the list that tells of them, and what befalls them by a scenario. The same for
//! every host: time is handed in, and what follows comes back as consequences for the host to see to.

use crate::group::{Group, Ways};
use crate::record::What;
use crate::scenario::{Ill, Scenario, Trouble, Who};
use crate::server::{Came, Job, Kind, Life, Server};
use linnetdeal_core::{Expected, ListState, Note, Role, Span, Time, Verdict};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// The shortest change without a plan, as a part of the usual.
pub const LEAST_CHANGE: f64 = 0.75;

/// What happens to boxes by themselves or by plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Happens {
    /// Work may be through.
    Done {
        /// The box.
        server: u32,
        /// The job.
        id: u64,
    },
    /// A trouble of the scenario begins.
    Trouble {
        /// Its number.
        at: usize,
    },
    /// It befalls a box.
    Befalls {
        /// The trouble's number.
        trouble: usize,
        /// The box.
        server: u32,
    },
    /// It is over for the box, if that still has the life it had.
    Over {
        /// The trouble's number.
        trouble: usize,
        /// The box.
        server: u32,
        /// Its life then.
        life: u32,
    },
    /// What was deployed there starts, if the box still has that life.
    Successor {
        /// The box.
        server: u32,
        /// Its life then.
        life: u32,
    },
    /// A group looks for a primary.
    Elect {
        /// The group.
        group: u32,
        /// Of which search this is part.
        epoch: u32,
    },
    /// A member takes over.
    Promote {
        /// The group.
        group: u32,
        /// Of which search this is part.
        epoch: u32,
        /// The member.
        member: u32,
    },
}

/// What follows from it, for the host to see to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Consequence {
    /// This happens then.
    At(Time, Happens),
    /// For the records: what, pooler, box, request, and two numbers.
    Record(What, u32, u64, i64),
    /// A box has died with this job on it.
    Lost(u64),
    /// A job is through; see [`Fleet::finish`].
    Through(u32, u64),
    /// The list says something new of a box, by the change of this number, and is heard from then on.
    Listed(usize, Time),
    /// A box has died, stands still, goes on or has started.
    Lives(u32),
    /// A pooler is killed then, by the trouble of this number.
    Kill(Time, usize, u32),
    /// Clients ask so many times as much.
    Surge(f64),
    /// The service that has the list ends all watches, and takes so many times as long for each call.
    Overbooked(f64),
}

/// A change of the list: what it says from then on.
#[derive(Clone, Copy, Debug)]
pub struct Change {
    /// The box.
    pub server: u32,
    /// Its state.
    pub state: ListState,
    /// When it started, if that was not long ago.
    pub started: Option<Time>,
    /// Whether it is listed as primary.
    pub primary: bool,
    /// Later ones have greater numbers.
    pub number: i64,
}

/// A box in a fleet: the model, and what is round it.
#[derive(Clone, Debug)]
pub struct Host {
    /// The model.
    pub server: Server,
    /// Its group.
    pub group: u32,
    /// Its place there.
    pub member: u32,
    /// Its zone.
    pub zone: usize,
    /// How often it has died: connections of an earlier life are gone.
    pub life: u32,
    /// It stands still, but connections and probes are taken.
    pub hangs: bool,
    /// The latest report, and when it was made.
    report: (Time, [f64; 3]),
    /// When the list tells of its latest change.
    noticed: Time,
}

/// What becomes of a request that has come to a box.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Arrival {
    /// It runs or waits; [`Consequence::Through`] or [`Consequence::Lost`] tell of its end.
    Taken,
    /// It is answered at once, and has not run.
    Answered(Verdict, Note),
    /// Its connection breaks.
    Broken,
}

/// What a job gave that is through.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Finished {
    /// A read, from what the box had: its exact position beside what a note tells.
    Read(Note, Time),
    /// A write, committed now; a replica has it a little later.
    Committed(Time),
    /// A write at a box that lost its role while it held it: nothing was committed.
    Lost(Note),
}

/// All boxes.
#[derive(Clone, Debug)]
pub struct Fleet {
    plan: Scenario,
    begin: Time,
    /// In the order of groups.
    pub hosts: Vec<Host>,
    groups: Vec<Group>,
    epochs: Vec<u32>,
    /// What the list has said so far.
    pub changes: Vec<Change>,
    /// When boxes took over as primaries.
    pub promoted: Vec<(Time, u32)>,
    /// Boxes that fell.
    pub fallen: u64,
    /// How much further behind the list runs than usual.
    behind: Span,
}

impl Fleet {
    /// The boxes of a scenario that begins then.
    #[must_use]
    pub fn new(plan: &Scenario, begin: Time, rng: &mut ChaCha8Rng) -> Self {
        let (boxes, fleet) = (&plan.boxes, &plan.fleet);
        let ways = Ways {
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
                let kind = Kind {
                    cores: boxes.cores,
                    speed: boxes.speed * spread,
                    room: boxes.room,
                    crowding: boxes.crowding,
                    thrash: (boxes.thrash_at, boxes.thrash),
                    cold: boxes.cold(),
                    fall: boxes.fall(),
                };
                hosts.push(Host {
                    server: Server::new(kind),
                    group: group as u32,
                    member: member as u32,
                    zone: (group + member) % fleet.zones,
                    life: 0,
                    hangs: false,
                    report: (Time(0), [0.0; 3]),
                    noticed: begin,
                });
            }
        }
        Self {
            begin,
            hosts,
            groups: vec![Group::new(ways, fleet.members, begin); fleet.groups],
            epochs: vec![0; fleet.groups],
            changes: Vec::new(),
            promoted: Vec::new(),
            fallen: 0,
            behind: Span(0),
            plan: plan.clone(),
        }
    }

    /// How long changes of primary take, planned and not, as an operator would tell poolers.
    #[must_use]
    pub fn expected(plan: &Scenario) -> [Option<Expected>; 2] {
        let boxes = &plan.boxes;
        [boxes.switch, Span(boxes.detect.0 + boxes.elect.0)].map(|usual| {
            let least = usual.times(LEAST_CHANGE);
            plan.fleet.expected.then_some(Expected { least, usual })
        })
    }

    /// What was planned of troubles, to be scheduled at the beginning.
    pub fn begin(&self, out: &mut Vec<Consequence>) {
        for (at, trouble) in self.plan.troubles.iter().enumerate() {
            out.push(Consequence::At(self.begin + trouble.at, Happens::Trouble { at }));
        }
    }

    fn place(&self, server: u32) -> (usize, usize) {
        let host = &self.hosts[server as usize];
        (host.group as usize, host.member as usize)
    }

    /// Whether it is its group's primary.
    #[must_use]
    pub fn is_primary(&self, server: u32) -> bool {
        let (group, member) = self.place(server);
        self.groups[group].primary() == Some(member)
    }

    /// Up to where it has applied the log.
    pub fn position(&mut self, server: u32, now: Time) -> Time {
        let (group, member) = self.place(server);
        self.groups[group].position(member, now)
    }

    /// How long a commit takes to a replica.
    #[must_use]
    pub fn ship(&self) -> Span {
        self.plan.boxes.ship
    }

    /// A request has come to a box whole.
    pub fn come(
        &mut self,
        now: Time,
        server: u32,
        job: Job,
        write: bool,
        rng: &mut ChaCha8Rng,
        out: &mut Vec<Consequence>,
    ) -> Arrival {
        let life = self.hosts[server as usize].server.life();
        if matches!(life, Life::Dead | Life::Fallen) {
            return Arrival::Broken;
        }
        if write && life == Life::Up && !self.is_primary(server) {
            let note = self.note(server, now);
            let drains = self.hosts[server as usize].server.draining;
            return Arrival::Answered(if drains { Verdict::Full } else { Verdict::Miss }, note);
        }
        match self.hosts[server as usize].server.come(now, job) {
            Came::Runs(ends) => out.push(Consequence::At(ends, Happens::Done { server, id: job.id })),
            Came::Waits => {}
            Came::Full => return Arrival::Answered(Verdict::Full, self.note(server, now)),
            Came::Nobody => return Arrival::Broken,
            Came::Fell => {
                self.fallen += 1;
                out.push(Consequence::Record(What::Fell, server, 0, 0));
                self.dies(now, server, rng, out);
                return Arrival::Broken;
            }
        }
        Arrival::Taken
    }

    /// What a box says of itself.
    pub fn note(&mut self, server: u32, now: Time) -> Note {
        let role = if self.is_primary(server) { Role::Primary } else { Role::Replica };
        let position = self.position(server, now);
        // Rounded down to a millisecond.
        Note { role: Some(role), position: Some(Time(position.0.div_euclid(1_000) * 1_000)) }
    }

    /// What a job gave that is through.
    pub fn finish(&mut self, now: Time, server: u32, write: bool) -> Finished {
        if !write {
            return Finished::Read(self.note(server, now), self.position(server, now));
        }
        if !self.is_primary(server) {
            return Finished::Lost(self.note(server, now));
        }
        let (group, _) = self.place(server);
        self.groups[group].commit(now);
        Finished::Committed(now)
    }

    /// What it answers to a probe: its position in seconds since the beginning, whether it is primary, and how many requests
    /// wait. `None` while nobody answers; one that hangs answers, as a probe passes beside its queue.
    pub fn report(&mut self, server: u32, now: Time) -> Option<[f64; 3]> {
        let host = &self.hosts[server as usize];
        match host.server.life() {
            Life::Up => {}
            Life::Paused(_) if host.hangs => {}
            _ => return None,
        }
        if now - host.report.0 >= self.plan.boxes.report {
            let primary = self.is_primary(server);
            let position = self.position(server, now);
            let waits = self.hosts[server as usize].server.waits() as f64;
            let report = [(position - self.begin).0 as f64 / 1e6, f64::from(u8::from(primary)), waits];
            self.hosts[server as usize].report = (now, report);
        }
        Some(self.hosts[server as usize].report.1)
    }

    /// Something happens.
    pub fn happens(&mut self, now: Time, what: Happens, rng: &mut ChaCha8Rng, out: &mut Vec<Consequence>) {
        match what {
            Happens::Done { server, id } => {
                if let Some(next) = self.hosts[server as usize].server.done(now, id) {
                    if let Some((id, ends)) = next {
                        out.push(Consequence::At(ends, Happens::Done { server, id }));
                    }
                    out.push(Consequence::Through(server, id));
                }
            }
            Happens::Trouble { at } => self.trouble(now, at, rng, out),
            Happens::Befalls { trouble, server } => self.befalls(now, trouble, server, rng, out),
            Happens::Over { trouble, server, life } => {
                self.ends_trouble(now, trouble, server, life, rng, out)
            }
            Happens::Successor { server, life } => self.starts(now, server, life, rng, out),
            Happens::Elect { group, epoch } => self.elect(now, group, epoch, out),
            Happens::Promote { group, epoch, member } => self.promote(now, (group, epoch, member), rng, out),
        }
    }

    /// The list says something from now on; those who follow it hear of it in their own time.
    fn list(
        &mut self,
        now: Time,
        server: u32,
        state: ListState,
        (started, primary): (Option<Time>, bool),
        rng: &mut ChaCha8Rng,
        out: &mut Vec<Consequence>,
    ) {
        let number = self.changes.len() as i64 + 1;
        self.changes.push(Change { server, state, started, primary, number });
        let (least, most) = (self.plan.network.list_least.0, self.plan.network.list_most.0);
        let notice = now + Span(rng.random_range(least..=most)) + self.behind;
        // What it says of one box it says in order.
        let host = &mut self.hosts[server as usize];
        host.noticed = host.noticed.max(notice);
        out.push(Consequence::Listed(self.changes.len() - 1, host.noticed));
    }

    /// What a box held is lost with it, and its group may need another primary.
    fn dies(&mut self, now: Time, server: u32, rng: &mut ChaCha8Rng, out: &mut Vec<Consequence>) {
        let lost = self.hosts[server as usize].server.die();
        self.hosts[server as usize].life += 1;
        out.extend(lost.into_iter().map(Consequence::Lost));
        out.push(Consequence::Lives(server));
        self.list(now, server, ListState::Gone, (None, false), rng, out);
        self.leaves(now, server, rng, out);
    }

    fn leaves(&mut self, now: Time, server: u32, rng: &mut ChaCha8Rng, out: &mut Vec<Consequence>) {
        let (group, member) = self.place(server);
        if self.groups[group].leave(member, now) {
            let takes = Span(self.plan.boxes.detect.0 + self.plan.boxes.elect.0);
            self.seeks(group, now + takes.times(LEAST_CHANGE + 0.5 * rng.random::<f64>()), out);
        }
    }

    fn seeks(&mut self, group: usize, at: Time, out: &mut Vec<Consequence>) {
        self.epochs[group] += 1;
        out.push(Consequence::At(at, Happens::Elect { group: group as u32, epoch: self.epochs[group] }));
    }

    fn elect(&mut self, now: Time, group: u32, epoch: u32, out: &mut Vec<Consequence>) {
        if self.epochs[group as usize] != epoch || self.groups[group as usize].primary().is_some() {
            return;
        }
        let first = group as usize * self.plan.fleet.members;
        let hosts = &self.hosts;
        let may = |at: usize| {
            let server = &hosts[first + at].server;
            server.life() == Life::Up && !server.draining
        };
        let next = match self.groups[group as usize].heir(now, may) {
            Some((member, at)) => {
                Consequence::At(at, Happens::Promote { group, epoch, member: member as u32 })
            }
            None => Consequence::At(now + Span::millis(200), Happens::Elect { group, epoch }),
        };
        out.push(next);
    }

    fn promote(
        &mut self,
        now: Time,
        (group, epoch, member): (u32, u32, u32),
        rng: &mut ChaCha8Rng,
        out: &mut Vec<Consequence>,
    ) {
        if self.epochs[group as usize] != epoch || self.groups[group as usize].primary().is_some() {
            return;
        }
        let server = group as usize * self.plan.fleet.members + member as usize;
        if self.hosts[server].server.life() != Life::Up {
            return self.elect(now, group, epoch, out);
        }
        self.groups[group as usize].promote(member as usize, now);
        self.promoted.push((now, server as u32));
        let started = self.hosts[server].server.started();
        self.list(now, server as u32, ListState::Healthy, (started, true), rng, out);
    }

    /// Whom a trouble befalls, in the order in which it does.
    fn befallen(&self, trouble: &Trouble, rng: &mut ChaCha8Rng) -> Vec<u32> {
        let members = self.plan.fleet.members;
        match trouble.who {
            Who::Primary => (0..trouble.groups)
                .filter_map(|group| Some((group * members + self.groups[group].primary()?) as u32))
                .collect(),
            Who::Replica(number) => (0..trouble.groups)
                .filter_map(|group| {
                    let primary = self.groups[group].primary();
                    let mut replicas = (0..members).filter(|at| Some(*at) != primary);
                    replicas.nth(number).map(|at| (group * members + at) as u32)
                })
                .collect(),
            Who::Boxes(share) => some(self.hosts.len(), share, rng),
            Who::Poolers(share) => some(self.plan.fleet.poolers, share, rng),
            Who::List => Vec::new(),
        }
    }

    fn trouble(&mut self, now: Time, at: usize, rng: &mut ChaCha8Rng, out: &mut Vec<Consequence>) {
        let trouble = &self.plan.troubles[at];
        if matches!(trouble.what, Ill::Surge | Ill::Stale | Ill::Overbook) {
            match trouble.what {
                Ill::Stale => self.behind = Span::millis(1_000).times(trouble.factor),
                Ill::Overbook => out.push(Consequence::Overbooked(trouble.factor)),
                _ => out.push(Consequence::Surge(trouble.factor)),
            }
            out.push(Consequence::Record(What::Trouble, 0, 0, trouble.what as i64));
            if let Some(lasts) = trouble.lasts {
                out.push(Consequence::At(now + lasts, Happens::Over { trouble: at, server: 0, life: 0 }));
            }
            return;
        }
        let poolers = matches!(trouble.who, Who::Poolers(_));
        for (place, one) in self.befallen(trouble, rng).into_iter().enumerate() {
            let when = now + trouble.apart.times(place as f64);
            out.push(if poolers {
                Consequence::Kill(when, at, one)
            } else {
                Consequence::At(when, Happens::Befalls { trouble: at, server: one })
            });
        }
    }

    fn befalls(
        &mut self,
        now: Time,
        at: usize,
        server: u32,
        rng: &mut ChaCha8Rng,
        out: &mut Vec<Consequence>,
    ) {
        let (what, factor, lasts) = {
            let trouble = &self.plan.troubles[at];
            (trouble.what, trouble.factor, trouble.lasts)
        };
        out.push(Consequence::Record(What::Trouble, server, 0, what as i64));
        let (group, member) = self.place(server);
        let model = &mut self.hosts[server as usize].server;
        if what == Ill::Deploy && matches!(model.life(), Life::Dead | Life::Fallen) {
            return;
        }
        match what {
            Ill::Crash => {
                if matches!(model.life(), Life::Up | Life::Paused(_)) {
                    self.dies(now, server, rng, out);
                }
            }
            Ill::Pause | Ill::Hang => {
                model.pause(now);
                self.hosts[server as usize].hangs = what == Ill::Hang;
                out.push(Consequence::Lives(server));
                self.leaves(now, server, rng, out);
            }
            Ill::Slow => model.slow = factor,
            Ill::Lag => self.groups[group].slow(member, factor),
            Ill::Drain | Ill::Deploy => {
                model.draining = true;
                self.list(now, server, ListState::Draining, (None, false), rng, out);
                if self.groups[group].primary() == Some(member) {
                    self.groups[group].hand_over(now);
                    self.seeks(group, now + self.plan.boxes.switch, out);
                }
            }
            Ill::Surge | Ill::Stale | Ill::Overbook => {}
        }
        if let Some(lasts) = lasts {
            let life = self.hosts[server as usize].life;
            out.push(Consequence::At(now + lasts, Happens::Over { trouble: at, server, life }));
        }
    }

    fn ends_trouble(
        &mut self,
        now: Time,
        at: usize,
        server: u32,
        life: u32,
        rng: &mut ChaCha8Rng,
        out: &mut Vec<Consequence>,
    ) {
        let what = self.plan.troubles[at].what;
        let (group, member) = self.place(server);
        let host = &mut self.hosts[server as usize];
        match what {
            Ill::Surge => out.push(Consequence::Surge(1.0)),
            Ill::Stale => self.behind = Span(0),
            Ill::Overbook => out.push(Consequence::Overbooked(1.0)),
            Ill::Crash => self.starts(now, server, life, rng, out),
            Ill::Deploy => {
                if host.life == life && matches!(host.server.life(), Life::Up | Life::Paused(_)) {
                    self.dies(now, server, rng, out);
                    let next = Happens::Successor { server, life: life + 1 };
                    out.push(Consequence::At(now + self.plan.troubles[at].away, next));
                }
            }
            Ill::Pause | Ill::Hang => {
                host.hangs = false;
                let running = host.server.resume(now);
                out.extend(
                    running.into_iter().map(|(id, ends)| Consequence::At(ends, Happens::Done { server, id })),
                );
                out.push(Consequence::Lives(server));
                // One that died meanwhile gets the log again when it starts.
                if self.hosts[server as usize].server.life() == Life::Up {
                    self.groups[group].join(member, now);
                }
            }
            Ill::Slow => host.server.slow = 1.0,
            Ill::Lag => self.groups[group].slow(member, 1.0),
            Ill::Drain => {
                host.server.draining = false;
                self.list(now, server, ListState::Healthy, (None, false), rng, out);
            }
        }
    }

    /// A box starts, cold, unless it has had another life meanwhile.
    fn starts(
        &mut self,
        now: Time,
        server: u32,
        life: u32,
        rng: &mut ChaCha8Rng,
        out: &mut Vec<Consequence>,
    ) {
        let (group, member) = self.place(server);
        let host = &mut self.hosts[server as usize];
        if host.life == life && host.server.start(now) {
            let capacity = host.server.capacity(now + self.plan.boxes.cold_in);
            out.push(Consequence::Record(What::Started, server, 0, (capacity * 1e6) as i64));
            out.push(Consequence::Lives(server));
            self.groups[group].join(member, now);
            self.list(now, server, ListState::Healthy, (Some(now), false), rng, out);
        }
    }

    /// How long a pooler that a trouble killed stays away; for ever without.
    #[must_use]
    pub fn away(&self, trouble: usize) -> Option<Span> {
        self.plan.troubles[trouble].lasts
    }
}

/// A share of so many, by chance.
fn some(count: usize, share: f64, rng: &mut ChaCha8Rng) -> Vec<u32> {
    let mut all: Vec<u32> = (0..count as u32).collect();
    for at in (1..all.len()).rev() {
        all.swap(at, rng.random_range(0..=at));
    }
    all.truncate((count as f64 * share).round() as usize);
    all
}
