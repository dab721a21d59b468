//! Machines out for work: the host of `linnetdeal-coordination`'s desk. It brings what this process knows of members, clients and
//! load, and does what the record of the plan says: servers that are out get nothing new, a pooler that is out is emptied.

use crate::clock;
use crate::config::duration;
use crate::connection_slots::ConnectionSlots;
use crate::driver::Driver;
use crate::leases::Leases;
use crate::lifecycle::Lifecycle;
use crate::members::{Feed, Members};
use crate::succession::SharedState;
use crate::upstream::Pool;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future::or;
use http_body_util::Empty;
use hyper::body::Bytes;
use hyper::{Request, Response};
use linnetdeal_coordination::lease::{TaskId, Token};
use linnetdeal_coordination::work::*;
use linnetdeal_core::membership::id_hash;
use linnetdeal_core::{GroupId, ListState, MemberId, Span, Time};
use serde::Deserialize;
use serde_json::{Value, json};
use smol_hyper::rt::FuturesIo;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// The task whose holder takes the steps.
pub const TASK: &str = "work";
/// So many attempts in a row that find nobody mean that a server fails this pooler.
const FAILED: u32 = 3;
/// So many poolers that say so count as one that sees it itself.
const WITNESSES: usize = 2;
/// A call of staff's waits so long for its outcome.
const CALL: Duration = Duration::from_millis(1_500);
const LOOK: Duration = Duration::from_millis(10);
/// How often it is looked, at most; other processes of this pooler learn within twice of this.
const TURN: Duration = Duration::from_millis(50);
/// Between two looks there is at least so much time.
const GAP: Duration = Duration::from_millis(5);
/// A hand-over is asked for again so often until it is made.
const ASK_AGAIN: Duration = Duration::from_millis(500);
/// The load is counted by the minute, for an hour.
const MINUTE: Span = Span::millis(60_000);
const HOUR: usize = 60;
/// The load of now is that of so many words' time.
const NOW: i64 = 2;

/// What an operator wants.
#[derive(Clone, Debug)]
pub struct WorkWanted {
    /// This pooler's part, with the limits for servers.
    pub setup: CoordinatorSetup,
    /// Requests a second that machines bear, by type; "" for all others.
    pub capacity: BTreeMap<String, f64>,
    /// Minutes of the day, in UTC, in which nothing begins.
    pub quiet: Vec<(u16, u16)>,
    /// What is called to have another primary.
    pub handover: Option<(SocketAddr, String)>,
    /// A machine that is out for longer is told of.
    pub longest: Duration,
    /// This pooler's zone.
    pub zone: String,
    /// Tasks that this pooler takes part in.
    pub tasks: Vec<TaskId>,
}

/// What staff send.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Asked {
    /// Servers that need work.
    #[serde(default)]
    pub servers: Option<AskedServers>,
    /// Poolers whose machines do.
    #[serde(default)]
    pub poolers: Option<AskedPoolers>,
}

/// Which servers: by id, or all of a zone, of a type, or of both.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct AskedServers {
    /// By id.
    #[serde(default)]
    pub ids: Vec<String>,
    /// Of this zone.
    #[serde(default)]
    pub zone: Option<String>,
    /// Of this type.
    #[serde(default)]
    pub machine: Option<String>,
    /// All.
    #[serde(default)]
    pub all: bool,
}

/// Which poolers: by number, or all.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct AskedPoolers {
    /// By number.
    #[serde(default)]
    pub numbers: Vec<u16>,
    /// All.
    #[serde(default)]
    pub all: bool,
}

/// A server, as a plan chooses it.
#[derive(Clone, Debug, Default)]
pub struct Choosable {
    /// Its id.
    pub id: String,
    /// Its zone.
    pub zone: String,
    /// Its type.
    pub machine: String,
}

impl Asked {
    /// Reads what staff send.
    ///
    /// # Errors
    ///
    /// When it is no such JSON, with the place of the fault.
    pub fn read(bytes: &[u8]) -> Result<Self, String> {
        serde_json::from_slice(bytes).map_err(|error| format!("the plan can't be read: {error}"))
    }

    /// Which machines are meant.
    ///
    /// # Errors
    ///
    /// When none is, one is not known, or two kinds are; in words.
    pub fn machines(&self, servers: &[Choosable], fleet: u16) -> Result<(MachineKind, Vec<u64>), String> {
        match (&self.servers, &self.poolers) {
            (Some(_), Some(_)) => Err("a plan is of servers or of poolers, not of both".to_owned()),
            (None, None) => Err("the plan names no machine".to_owned()),
            (Some(of), None) => {
                let by = usize::from(!of.ids.is_empty())
                    + usize::from(of.zone.is_some() || of.machine.is_some())
                    + usize::from(of.all);
                if by != 1 {
                    return Err("name servers by ids, by zone and machine type, or all".to_owned());
                }
                if let Some(id) = of.ids.iter().find(|id| !servers.iter().any(|server| server.id == **id)) {
                    return Err(format!("no server of the id {id} is listed"));
                }
                let mut machines: Vec<u64> = of.ids.iter().map(|id| id_hash(id)).collect();
                if of.ids.is_empty() {
                    let fits = |server: &&Choosable| {
                        of.zone.as_ref().is_none_or(|zone| *zone == server.zone)
                            && of.machine.as_ref().is_none_or(|machine| *machine == server.machine)
                    };
                    machines = servers.iter().filter(fits).map(|server| id_hash(&server.id)).collect();
                }
                let twins = servers.iter().any(|one| {
                    servers.iter().any(|other| one.id != other.id && id_hash(&one.id) == id_hash(&other.id))
                });
                match machines.is_empty() {
                    _ if twins => Err("two servers' ids can't be told apart in a datagram".to_owned()),
                    true => Err("no server fits the plan".to_owned()),
                    false => Ok((MachineKind::Servers, machines)),
                }
            }
            (None, Some(of)) => {
                if of.all != of.numbers.is_empty() {
                    return Err("name poolers by numbers, or all".to_owned());
                }
                if let Some(number) = of.numbers.iter().find(|number| **number >= fleet) {
                    return Err(format!("there is no pooler {number}, the platform names {fleet}"));
                }
                let numbers = if of.all { (0..fleet).collect() } else { of.numbers.clone() };
                Ok((MachineKind::Poolers, numbers.into_iter().map(u64::from).collect()))
            }
        }
    }
}

/// What stands for a zone in a datagram.
#[must_use]
pub fn zone_mark(zone: &str) -> u16 {
    // Of a short word only some bits differ.
    let mark = id_hash(zone);
    (mark ^ mark >> 16 ^ mark >> 32 ^ mark >> 48) as u16
}

/// The load by group, by the minute.
#[derive(Debug, Default)]
struct Loads {
    seen: BTreeMap<GroupId, (u64, u64)>,
    rates: BTreeMap<GroupId, (f64, VecDeque<f64>)>,
    at: Time,
    minute: Time,
}

/// What the decisions act on.
pub(crate) struct Parts {
    pub(crate) leases: Rc<Leases>,
    pub(crate) feed: Feed,
    pub(crate) members: Rc<Members>,
    pub(crate) driver: Rc<Driver>,
    pub(crate) pool: Rc<Pool>,
    pub(crate) life: Rc<Lifecycle>,
    pub(crate) slots: Rc<ConnectionSlots>,
    pub(crate) shared: Option<Rc<SharedState>>,
    pub(crate) executor: Rc<LocalExecutor<'static>>,
}

/// Machines out for work, at this pooler.
pub struct Works {
    wanted: WorkWanted,
    parts: Parts,
    work: RefCell<Coordinator<FullRegisterRules>>,
    /// The record that was acted on last.
    acted: Cell<(Token, u32)>,
    before: RefCell<(PlanId, Vec<MachineState>)>,
    emptied: Cell<bool>,
    loads: RefCell<Loads>,
    written: Cell<Option<(Token, u32)>>,
    asked: Cell<Option<std::time::Instant>>,
    told_late: RefCell<BTreeSet<(PlanId, usize)>>,
    started: crate::flag::Flag,
}

impl Works {
    pub(crate) fn new(wanted: WorkWanted, parts: Parts) -> Self {
        parts.pool.enable_stats();
        Self {
            work: RefCell::new(Coordinator::new(clock::steady(), wanted.setup.clone())),
            wanted,
            parts,
            acted: Cell::default(),
            before: RefCell::default(),
            emptied: Cell::default(),
            loads: RefCell::default(),
            written: Cell::default(),
            asked: Cell::default(),
            told_late: RefCell::default(),
            started: crate::flag::Flag::default(),
        }
    }

    /// Waits until it is known what is out, or was waited for in vain.
    pub(crate) async fn started(&self) {
        self.started.raised().await;
    }

    /// Whether that is known.
    pub(crate) fn has_started(&self) -> bool {
        self.started.is_up()
    }

    /// Does what is due, for ever.
    pub(crate) async fn run(self: Rc<Self>) {
        let pause = (duration(self.wanted.setup.heartbeat_interval) / 8).min(TURN);
        loop {
            let changed = self.parts.leases.listen();
            self.turn();
            or(changed, async {
                let _ = Timer::after(pause).await;
            })
            .await;
            // Words of a whole fleet come one by one; they are looked at together.
            Timer::after(GAP.min(pause)).await;
        }
    }

    fn turn(self: &Rc<Self>) {
        let now = clock::steady();
        for (who, note) in self.parts.leases.take_work() {
            self.work.borrow_mut().receive(now, who, note);
        }
        self.look_beside(now);
        self.act();
        let own = self.own(now);
        let heard = self.heard(now);
        let mut work = self.work.borrow_mut();
        work.tick(now, &own, &|kind| self.facts(kind, &heard));
        let letters = work.take_messages();
        let beaten = work.take_superseded();
        if work.start_on_timeout(now) {
            tracing::warn!("work: no majority of voters has told what is out; serving by what was heard");
        }
        if work.has_started() && !self.started.is_up() {
            self.started.raise();
        }
        drop(work);
        self.parts.leases.say(letters);
        if beaten {
            let _ = self.parts.leases.by_hand(TASK, "release", None);
        }
        self.act();
        self.write_beside();
        self.ask_and_hand_over(own.token);
        self.tell_of_late(now);
    }

    /// What another process of this pooler knows to be out, where there is one.
    fn look_beside(&self, now: Time) {
        let Some(shared) = &self.parts.shared else { return };
        let Some((plan, record)) = shared.read_work().and_then(|bytes| read_beside(&bytes)) else { return };
        let mut work = self.work.borrow_mut();
        if let Some(plan) = plan {
            work.adopt(now, plan, &record);
        }
        // It lives, and says of nothing that it is clear as long as this one does. A dead one's word may be old.
        if !work.has_started() && shared.has_other_process() {
            work.mark_started();
        }
    }

    fn write_beside(&self) {
        let Some(shared) = &self.parts.shared else { return };
        let work = self.work.borrow();
        if !work.has_started() || self.written.get() == Some(work.revision()) {
            return;
        }
        let bytes = match work.current_plan() {
            Some((plan, record)) => write_beside(Some(plan), record),
            None => write_beside(None, &Record::default()),
        };
        match shared.write_work((work.revision().0.0, work.revision().1), &bytes) {
            Ok(()) => self.written.set(Some(work.revision())),
            Err(error) => tracing::debug!("work: other processes of this pooler don't learn of it: {error}"),
        }
    }

    /// Does what the record says: before anything is said to be clear, nothing new goes there.
    fn act(&self) {
        let work = self.work.borrow();
        let Some((plan, record)) = work.current_plan() else { return };
        if self.acted.get() == record.revision() {
            return;
        }
        self.acted.set(record.revision());
        let mut before = self.before.borrow_mut();
        let same = before.0 == record.plan;
        let was = |at: usize| before.1.get(at).copied().filter(|_| same);
        let changed = |at: &usize| was(*at) != Some(record.states[*at]);
        match plan.kind {
            MachineKind::Servers => {
                let out: BTreeSet<u64> = record.out().map(|at| plan.machines[at]).collect();
                // What comes back from work is cold; what was never touched is not.
                let back: Vec<u64> = (0..plan.machines.len().min(record.states.len()))
                    .filter(|at| record.states[*at] == MachineState::Warming && changed(at))
                    .map(|at| plan.machines[at])
                    .collect();
                self.parts.feed.by_plan(&out, &back);
                // A machine is not kept waiting for what is idle there.
                self.parts.pool.close_stale_idle();
                if !back.is_empty() {
                    // What was heard of it before says nothing now; who leads takes it for dead until it answers.
                    let leads = work.view(clock::steady()).leads;
                    let members = self.parts.members.all();
                    let back = members.into_iter().filter(|(id, _)| back.contains(&id_hash(&id.0)));
                    self.parts.pool.with_stats(|stats| {
                        for (id, _) in back {
                            stats.failed.remove(&id);
                            if leads {
                                stats.failed.insert(id, FAILED);
                            }
                        }
                    });
                }
            }
            MachineKind::Poolers => {
                self.parts.feed.by_plan(&BTreeSet::new(), &[]);
                let away = work.own_machine_is_out();
                if away != self.emptied.replace(away) {
                    tracing::info!("work: this pooler's machine is {}", if away { "out" } else { "back" });
                    // What was emptied by hand stays so.
                    self.parts.life.drained.set_on(away || self.parts.life.drained_by_operator.get());
                    self.parts.leases.abstain(away, &self.wanted.tasks);
                }
            }
        }
        for at in (0..record.states.len()).filter(changed) {
            let name = plan.machines.get(at).map_or_else(String::new, |of| self.name(plan.kind, *of));
            if was(at).is_some() || record.states[at] != MachineState::Waiting {
                tracing::info!("work: {name} {}", record.states[at].label());
            }
        }
        if !same {
            tracing::info!("work: plan {:016x} of {} machines", record.plan.0, plan.machines.len());
        }
        *before = (record.plan, record.states.clone());
    }

    fn name(&self, kind: MachineKind, machine: u64) -> String {
        if kind == MachineKind::Poolers {
            return format!("pooler {machine}");
        }
        let members = self.parts.members.all();
        let known = members.iter().find(|(id, _)| id_hash(&id.0) == machine);
        known.map_or_else(|| format!("{machine:016x}"), |(id, _)| id.0.to_string())
    }

    fn own(&self, now: Time) -> LocalState {
        let task = TaskId::of(TASK);
        let work = self.work.borrow();
        let token =
            self.parts.leases.holds(task).filter(|_| !work.own_machine_is_out() && work.has_started());
        let mut own = LocalState {
            token,
            holder: self.parts.leases.holder(TASK),
            zone: zone_mark(&self.wanted.zone),
            clear_revision: work.revision(),
            ..LocalState::default()
        };
        // Counted at all times: a plan that begins has to know the last hour's peak.
        self.measure(now);
        if work.is_active() {
            own.loads = self.measured();
            own.failing = self.failing();
        }
        let Some((plan, record)) = work.current_plan() else { return own };
        let alone = || self.parts.shared.as_ref().is_none_or(|shared| shared.is_alone());
        let out: Vec<usize> = record.out().collect();
        if out.is_empty() || !alone() {
            return own;
        }
        let members = if plan.kind == MachineKind::Servers { self.parts.members.all() } else { Vec::new() };
        let is_clear = |at: &usize| {
            let machine = plan.machines[*at];
            match plan.kind {
                MachineKind::Servers => members
                    .iter()
                    .filter(|(id, _)| id_hash(&id.0) == machine)
                    .all(|(id, _)| self.parts.pool.has_no_connections(id)),
                MachineKind::Poolers => {
                    machine == u64::from(self.wanted.setup.me.number)
                        && self.emptied.get()
                        && self.parts.slots.in_use() == 0
                        && self.wanted.tasks.iter().all(|task| self.parts.leases.holds(*task).is_none())
                }
            }
        };
        own.clear = MachineSet::of(out.into_iter().filter(is_clear));
        own
    }

    fn failing(&self) -> Vec<u64> {
        let failing = |stats: &mut crate::upstream::SendStats| {
            let failed = stats.failed.iter().filter(|(_, times)| **times >= FAILED);
            failed.map(|(member, _)| id_hash(&member.0)).collect::<Vec<_>>()
        };
        self.parts.pool.with_stats(failing).unwrap_or_default()
    }

    /// Counts what this pooler bears, when it is due.
    fn measure(&self, now: Time) {
        if now - self.loads.borrow().at < Span(self.wanted.setup.heartbeat_interval.0 * NOW) {
            return;
        }
        let sent: BTreeMap<GroupId, u64> = self
            .parts
            .pool
            .with_stats(|stats| stats.sent.iter().map(|(group, count)| (*group, *count)).collect())
            .unwrap_or_default();
        let mut loads = self.loads.borrow_mut();
        let loads = &mut *loads;
        let seconds = (now - loads.at).0 as f64 / 1e6;
        let minute = now - loads.minute >= MINUTE;
        for (group, count) in &sent {
            let seen = loads.seen.entry(*group).or_insert((*count, *count));
            let (rate, hour) = loads.rates.entry(*group).or_default();
            *rate = (count - seen.0) as f64 / seconds;
            seen.0 = *count;
            if minute {
                hour.push_back((count - seen.1) as f64 / (now - loads.minute).0 as f64 * 1e6);
                seen.1 = *count;
                if hour.len() > HOUR {
                    hour.pop_front();
                }
            }
        }
        loads.at = now;
        if minute {
            loads.minute = now;
        }
    }

    /// What this pooler bears, by group.
    fn measured(&self) -> Vec<GroupLoad> {
        let loads = self.loads.borrow();
        let whole = |rate: f64| rate.ceil().clamp(0.0, 65_535.0) as u16;
        let of = |(group, (rate, hour)): (&GroupId, &(f64, VecDeque<f64>))| {
            let peak = hour.iter().copied().fold(*rate, f64::max);
            Some(GroupLoad { group: u16::try_from(group.0).ok()?, current: whole(*rate), peak: whole(peak) })
        };
        loads.rates.iter().filter_map(of).collect()
    }

    /// What other poolers have told: loads, servers that fail them, and the poolers themselves.
    fn heard(&self, now: Time) -> Heard {
        let work = self.work.borrow();
        Heard { loads: work.loads(now), failing: work.failing(now), poolers: work.poolers(now) }
    }

    fn facts(&self, kind: MachineKind, heard: &Heard) -> FleetInfo {
        let quiet = self.is_quiet();
        if kind == MachineKind::Poolers {
            let of = |(number, zone, whole): &(u16, u16, bool)| MachineInfo {
                machine: u64::from(*number),
                zone: *zone,
                in_service: *whole,
                warm: *whole,
                ..MachineInfo::default()
            };
            let voters = self.wanted.setup.voters.iter().map(|voter| u64::from(*voter)).collect();
            let machines = heard.poolers.iter().map(of).collect();
            return FleetInfo { machines, quiet_hours: quiet, voters, ..FleetInfo::default() };
        }
        let (primaries, changing) = self.parts.driver.primaries();
        let fails = self.failing();
        let wall = self.parts.feed.now();
        let group = |of: GroupId| u16::try_from(of.0).unwrap_or(u16::MAX);
        let (mut machines, mut gone) = (Vec::new(), BTreeSet::new());
        for (id, known) in self.parts.members.all() {
            let machine = id_hash(&id.0);
            if known.state == ListState::Gone {
                gone.insert(machine);
                continue;
            }
            let capacity = self.wanted.capacity.get(&known.machine).or(self.wanted.capacity.get(""));
            machines.push(MachineInfo {
                machine,
                group: group(known.group),
                zone: zone_mark(&known.zone),
                capacity: capacity.copied().unwrap_or(0.0),
                primary: primaries.get(&known.group).map_or(known.primary, |of| *of == id),
                in_service: self.parts.members.serves_but_for_plans(&id),
                failing: fails.contains(&machine)
                    || heard.failing.get(&machine).is_some_and(|by| *by >= WITNESSES),
                warm: known
                    .started
                    .is_none_or(|started| wall - started >= self.wanted.setup.server_limits.cold_period),
            });
        }
        // Where nobody is known to be, by own answers or by the list, nobody can be handed over to.
        let known: BTreeSet<u16> = machines.iter().filter(|of| of.primary).map(|of| of.group).collect();
        let without = machines.iter().map(|of| of.group).filter(|of| !known.contains(of));
        let changing = changing.into_iter().map(group).chain(without).collect();
        FleetInfo {
            machines,
            changing_primary: changing,
            loads: heard.loads.clone(),
            gone,
            quiet_hours: quiet,
            ..FleetInfo::default()
        }
    }

    fn is_quiet(&self) -> bool {
        let minute = (clock::wall_ms() / 60_000 % 1_440) as u16;
        self.wanted.quiet.iter().any(|(from, to)| {
            if from < to { (*from..*to).contains(&minute) } else { minute >= *from || minute < *to }
        })
    }

    /// Has somebody else made the primary of the groups whose turn it is, and asks members that matter to the next step.
    fn ask_and_hand_over(self: &Rc<Self>, token: Option<Token>) {
        let Some(token) = token else { return };
        let work = self.work.borrow();
        let Some((plan, record)) = work.current_plan().filter(|(plan, _)| plan.kind == MachineKind::Servers)
        else {
            return;
        };
        let with = |state: MachineState| -> BTreeSet<u64> {
            let of = record.states.iter().zip(&plan.machines).filter(|(one, _)| **one == state);
            of.map(|(_, machine)| *machine).collect()
        };
        let (handing, warming) = (with(MachineState::HandingOver), with(MachineState::Warming));
        if handing.is_empty() && warming.is_empty()
            || self.asked.get().is_some_and(|at| at.elapsed() < ASK_AGAIN)
        {
            return;
        }
        self.asked.set(Some(std::time::Instant::now()));
        let members = self.parts.members.all();
        let groups: BTreeSet<GroupId> = members
            .iter()
            .filter(|(id, _)| handing.contains(&id_hash(&id.0)))
            .map(|(_, of)| of.group)
            .collect();
        // This pooler may send nothing there, and would hear of no new primary, and of none that is back.
        for (id, known) in &members {
            let asked = groups.contains(&known.group) || warming.contains(&id_hash(&id.0));
            if asked && known.state == ListState::Healthy {
                let (driver, pool, id) = (self.parts.driver.clone(), self.parts.pool.clone(), id.clone());
                let ask = async move { drop(crate::probes::probe(&driver, &pool, id).await) };
                self.parts.executor.spawn(ask).detach();
            }
        }
        let Some((address, path)) = self.wanted.handover.clone() else { return };
        for (id, known) in members {
            if handing.contains(&id_hash(&id.0)) {
                let (own, path) = (self.clone(), path.clone());
                let task = async move {
                    let call = own.call(address, &path, token, &id, known.group);
                    let late = async {
                        let _ = Timer::after(ASK_AGAIN).await;
                        Err("no answer".into())
                    };
                    if let Err(error) = or(call, late).await {
                        tracing::debug!("work: the hand-over of {} at {address}: {error}", id.0);
                    }
                };
                self.parts.executor.spawn(task).detach();
            }
        }
    }

    async fn call(
        &self,
        address: SocketAddr,
        path: &str,
        token: Token,
        from: &MemberId,
        group: GroupId,
    ) -> Result<(), Box<dyn std::error::Error>> {
        let stream = Async::<TcpStream>::connect(address).await?;
        let (mut sender, connection) = hyper::client::conn::http1::handshake(FuturesIo::new(stream)).await?;
        let served = self.parts.executor.spawn(connection);
        let request = Request::post(path)
            .header("host", address.to_string())
            .header("connection", "close")
            .header("from", from.0.as_ref())
            .header("group", group.0)
            .header("fencing-token", token.0)
            .body(Empty::<Bytes>::new())?;
        // After the last wait: from here on only who is called can stop it.
        if self.parts.leases.holds(TaskId::of(TASK)) != Some(token) {
            return Ok(());
        }
        let answer: Response<_> = sender.send_request(request).await?;
        drop(served);
        if answer.status().is_success() { Ok(()) } else { Err(format!("status {}", answer.status()).into()) }
    }

    /// A machine that is out for too long is told of once.
    fn tell_of_late(&self, now: Time) {
        let work = self.work.borrow();
        if !work.is_active() {
            return;
        }
        let view = work.view(now);
        if !view.leads {
            return;
        }
        for (at, of) in view.machines.iter().enumerate() {
            let late = of.state.is_out() && duration(of.elapsed) > self.wanted.longest;
            if late && self.told_late.borrow_mut().insert((view.plan, at)) {
                tracing::warn!(
                    "work: {} is {} for more than {:?}",
                    self.name(view.kind, of.machine),
                    of.state.label(),
                    self.wanted.longest
                );
            }
        }
        if self.told_late.borrow().len() > MAX_MACHINES {
            self.told_late.borrow_mut().clear();
        }
    }

    /// The plan, its machines and why they wait, as JSON.
    pub(crate) fn shown(&self) -> String {
        let now = clock::steady();
        let view = self.work.borrow().view(now);
        let machines: Vec<Value> = view
            .machines
            .iter()
            .map(|of| {
                let mut shown = json!({"machine": self.name(view.kind, of.machine), "state": of.state.label(),
                    "for_ms": of.elapsed.0 / 1_000});
                if let Some(why) = &of.wait_reason {
                    shown["waits"] = why.to_string().into();
                }
                if !of.unconfirmed.is_empty() {
                    shown["waits_for_poolers"] = of.unconfirmed.clone().into();
                }
                if of.state.is_out() && duration(of.elapsed) > self.wanted.longest {
                    shown["overdue"] = true.into();
                }
                shown
            })
            .collect();
        let plan = (view.plan != PlanId::NONE).then(|| format!("{:016x}", view.plan.0));
        json!({"plan": plan, "mode": view.mode.label(), "machines": machines, "token": view.revision.0.0,
            "version": view.revision.1, "leads": view.leads, "holder": self.parts.leases.holder(TASK),
            "knows_what_is_out": view.started, "voter_without_memory": view.blank, "silent_poolers": view.silent_poolers})
        .to_string()
    }

    fn choosable(&self) -> Vec<Choosable> {
        let known = self.parts.members.all().into_iter().filter(|(_, known)| known.state != ListState::Gone);
        known.map(|(id, of)| Choosable { id: id.0.to_string(), zone: of.zone, machine: of.machine }).collect()
    }

    /// A plan that staff send.
    ///
    /// # Errors
    ///
    /// With a status and words.
    pub(crate) async fn submit(self: &Rc<Self>, body: &[u8]) -> Result<String, (u16, String)> {
        let bad = |words: String| (400, words);
        let asked = Asked::read(body).map_err(bad)?;
        let (kind, machines) = asked.machines(&self.choosable(), self.wanted.setup.fleet).map_err(bad)?;
        let count = machines.len();
        let now = clock::steady();
        let submitted = self.work.borrow_mut().submit(now, kind, machines.clone());
        let (plan, call) = submitted.map_err(|words| bad(words.to_owned()))?;
        let heard = self.heard(now);
        let facts = self.facts(kind, &heard);
        let never = self.work.borrow().check_feasible(plan, &facts);
        if let Err((at, why)) = never {
            self.work.borrow_mut().forget_command(call);
            let name = machines.get(at).map_or_else(String::new, |of| self.name(kind, *of));
            return Err((409, format!("{name} could never go out: {why}")));
        }
        self.outcome(call).await?;
        tracing::info!("work: plan {:016x} of {count} machines was taken", plan.0);
        Ok(format!("plan {:016x} of {count} machines", plan.0))
    }

    /// What staff want of the plan, or of a machine.
    ///
    /// # Errors
    ///
    /// With a status and words.
    pub(crate) async fn by_hand(
        self: &Rc<Self>,
        verb: Command,
        machine: Option<&str>,
    ) -> Result<String, (u16, String)> {
        let now = clock::steady();
        let (call, given_up) = {
            let mut work = self.work.borrow_mut();
            let no_plan = (404, "there is no plan".to_owned());
            let (plan, record) = work.current_plan().ok_or(no_plan)?;
            let mut at = 0;
            if let Some(name) = machine {
                let mark = match plan.kind {
                    MachineKind::Servers => id_hash(name),
                    MachineKind::Poolers => {
                        name.parse().map_err(|_| (400, "poolers have numbers".to_owned()))?
                    }
                };
                let found = plan.machines.iter().position(|of| *of == mark);
                at = found.ok_or_else(|| (404, format!("{name} is not in the plan")))?;
            }
            let id = record.plan;
            let missing =
                work.view(now).machines.get(at).map(|of| of.unconfirmed.clone()).unwrap_or_default();
            let call = work.queue_command(now, verb, id, at as u16);
            (call.ok_or((503, "too many calls are waiting".to_owned()))?, missing)
        };
        self.outcome(call).await?;
        if verb == Command::Force {
            let name = machine.unwrap_or("");
            let lost = if given_up.is_empty() {
                "the limits are not kept for it".to_owned()
            } else {
                format!("poolers {given_up:?} have not said that they have nothing there")
            };
            tracing::warn!("work: {name} by force: {lost}");
            return Ok(format!("done: {lost}"));
        }
        Ok("done".to_owned())
    }

    async fn outcome(self: &Rc<Self>, call: u32) -> Result<(), (u16, String)> {
        let end = std::time::Instant::now() + CALL;
        self.turn();
        while std::time::Instant::now() < end {
            let said = self.work.borrow_mut().take_result(call);
            let no = |status: u16, words: &str| Err((status, words.to_owned()));
            match said {
                Some(CommandResult::Done) => return Ok(()),
                Some(CommandResult::InvalidState) => return no(409, "not in this state"),
                Some(CommandResult::Busy) => return no(409, "another plan is under way"),
                Some(CommandResult::NotFound) => return no(404, "there is no such plan or machine"),
                Some(CommandResult::Infeasible) => return no(409, "the limits can never be met"),
                Some(CommandResult::NotHolder) | None => Timer::after(LOOK).await,
            };
        }
        self.work.borrow_mut().forget_command(call);
        Err((503, "nobody who could has answered yet: ask what became of it, and again".to_owned()))
    }
}

/// What others have told.
struct Heard {
    loads: BTreeMap<u16, (f64, f64)>,
    failing: BTreeMap<u64, usize>,
    poolers: Vec<(u16, u16, bool)>,
}

/// What stands in the file that processes of one pooler share.
#[derive(serde::Serialize, Deserialize)]
struct Beside {
    token: u64,
    version: u32,
    mode: usize,
    poolers: bool,
    nonce: u64,
    machines: Vec<u64>,
    states: Vec<usize>,
}

fn write_beside(plan: Option<&Plan>, record: &Record) -> Vec<u8> {
    let place = |state: &MachineState| MachineState::ALL.iter().position(|of| of == state).unwrap_or(0);
    let beside = Beside {
        token: record.token.0,
        version: record.version,
        mode: Mode::ALL.iter().position(|of| *of == record.mode).unwrap_or(0),
        poolers: plan.is_some_and(|plan| plan.kind == MachineKind::Poolers),
        nonce: plan.map_or(0, |plan| plan.nonce),
        machines: plan.map(|plan| plan.machines.clone()).unwrap_or_default(),
        states: record.states.iter().map(place).collect(),
    };
    serde_json::to_vec(&beside).unwrap_or_default()
}

/// Reads it whole, or not at all.
fn read_beside(bytes: &[u8]) -> Option<(Option<Plan>, Record)> {
    let beside: Beside = serde_json::from_slice(bytes).ok()?;
    if beside.machines.len() > MAX_MACHINES || beside.states.len() != beside.machines.len() {
        return None;
    }
    let states: Option<Vec<MachineState>> =
        beside.states.iter().map(|of| MachineState::ALL.get(*of).copied()).collect();
    let kind = if beside.poolers { MachineKind::Poolers } else { MachineKind::Servers };
    let plan = Plan { kind, machines: beside.machines, nonce: beside.nonce };
    let plan = Some(plan).filter(|plan| !plan.machines.is_empty());
    let record = Record {
        token: Token(beside.token),
        version: beside.version,
        plan: plan.as_ref().map_or(PlanId::NONE, Plan::id),
        mode: *Mode::ALL.get(beside.mode)?,
        states: states?,
    };
    Some((plan, record))
}
