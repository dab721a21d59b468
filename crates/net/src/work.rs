//! Maintenance work on machines: runs the coordinator of `linnetdeal-coordination` in this process. It supplies
//! the coordinator with this process's view of members, clients and load, and applies the plan's record:
//! servers that are out for work get no new requests, a pooler whose machine is out is drained.

use crate::clock;
use crate::config::duration;
use crate::connection_slots::ConnectionSlots;
use crate::driver::Driver;
use crate::hot_restart::SharedState;
use crate::leases::Leases;
use crate::lifecycle::Lifecycle;
use crate::members::{Feed, Members};
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

/// The lease task whose holder executes the plan.
pub const TASK: &str = "work";
/// A server counts as failing after this many consecutive attempts that did not reach it.
const FAILING_AFTER: u32 = 3;
/// Reports of a failing server from this many poolers count as much as an observation of this pooler.
const MIN_FAILURE_REPORTS: usize = 2;
/// Maximum time that an operator's call waits for its result.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Interval at which a waiting call checks for its result.
const RESULT_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Upper limit of the interval between steps. Other processes of this pooler learn of a change within twice
/// this time.
const MAX_STEP_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum time between two steps.
const MIN_STEP_GAP: Duration = Duration::from_millis(5);
/// Interval at which a pending primary handover is requested again. Also the timeout of one request.
const HANDOVER_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Load samples are taken every minute and kept for an hour.
const LOAD_SAMPLE_PERIOD: Span = Span::millis(60_000);
const LOAD_SAMPLES: usize = 60;
/// The current load is measured over this many heartbeat intervals.
const CURRENT_LOAD_INTERVALS: i64 = 2;

/// Options for maintenance work, from the operator's file.
#[derive(Clone, Debug)]
pub struct WorkOptions {
    /// The coordinator's setup, with the limits.
    pub setup: CoordinatorSetup,
    /// Capacity in requests per second by machine type; the key "" applies to all other types.
    pub capacity: BTreeMap<String, f64>,
    /// Quiet hours during which no machine is taken out, as minutes of the day in UTC.
    pub quiet_hours: Vec<(u16, u16)>,
    /// Address and path of the endpoint that performs a handover of the primary.
    pub handover: Option<(SocketAddr, String)>,
    /// A machine that is out for longer than this is reported as overdue.
    pub max_out_time: Duration,
    /// This pooler's zone.
    pub zone: String,
    /// Lease tasks that this pooler is a candidate for.
    pub tasks: Vec<TaskId>,
}

/// A maintenance plan as submitted by an operator.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct PlanRequest {
    /// The servers to be worked on.
    #[serde(default)]
    pub servers: Option<ServerSelector>,
    /// The poolers whose machines are to be worked on.
    #[serde(default)]
    pub poolers: Option<PoolerSelector>,
}

/// Selects servers: by id, by zone and machine type, or all.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ServerSelector {
    /// The ids of the servers.
    #[serde(default)]
    pub ids: Vec<String>,
    /// Only servers of this zone.
    #[serde(default)]
    pub zone: Option<String>,
    /// Only servers of this machine type.
    #[serde(default)]
    pub machine: Option<String>,
    /// All servers.
    #[serde(default)]
    pub all: bool,
}

/// Selects poolers: by number, or all.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct PoolerSelector {
    /// The numbers of the poolers.
    #[serde(default)]
    pub numbers: Vec<u16>,
    /// All poolers.
    #[serde(default)]
    pub all: bool,
}

/// A listed server that a plan can select.
#[derive(Clone, Debug, Default)]
pub struct ServerCandidate {
    /// Its id.
    pub id: String,
    /// Its zone.
    pub zone: String,
    /// Its machine type.
    pub machine: String,
}

impl PlanRequest {
    /// Parses a submitted plan.
    ///
    /// # Errors
    ///
    /// When it is not valid JSON of this form; the message has the line and column.
    pub fn from_json(bytes: &[u8]) -> Result<Self, String> {
        serde_json::from_slice(bytes).map_err(|error| format!("the plan can't be read: {error}"))
    }

    /// Resolves the selection to machines: hashes of server ids, or numbers of poolers.
    ///
    /// # Errors
    ///
    /// When no machine is selected, one is unknown, or servers and poolers are mixed; with a message for the
    /// operator.
    pub fn machines(
        &self,
        servers: &[ServerCandidate],
        fleet: u16,
    ) -> Result<(MachineKind, Vec<u64>), String> {
        match (&self.servers, &self.poolers) {
            (Some(_), Some(_)) => Err("a plan is of servers or of poolers, not of both".to_owned()),
            (None, None) => Err("the plan names no machine".to_owned()),
            (Some(selected), None) => {
                let criteria = usize::from(!selected.ids.is_empty())
                    + usize::from(selected.zone.is_some() || selected.machine.is_some())
                    + usize::from(selected.all);
                if criteria != 1 {
                    return Err("name servers by ids, by zone and machine type, or all".to_owned());
                }
                if let Some(id) =
                    selected.ids.iter().find(|id| !servers.iter().any(|server| server.id == **id))
                {
                    return Err(format!("no server of the id {id} is listed"));
                }
                let mut machines: Vec<u64> = selected.ids.iter().map(|id| id_hash(id)).collect();
                if selected.ids.is_empty() {
                    let matches_selector = |server: &&ServerCandidate| {
                        selected.zone.as_ref().is_none_or(|zone| *zone == server.zone)
                            && selected.machine.as_ref().is_none_or(|machine| *machine == server.machine)
                    };
                    machines =
                        servers.iter().filter(matches_selector).map(|server| id_hash(&server.id)).collect();
                }
                let ambiguous = servers.iter().any(|left| {
                    servers.iter().any(|right| left.id != right.id && id_hash(&left.id) == id_hash(&right.id))
                });
                match machines.is_empty() {
                    _ if ambiguous => Err("two servers' ids can't be told apart in a datagram".to_owned()),
                    true => Err("no server fits the plan".to_owned()),
                    false => Ok((MachineKind::Servers, machines)),
                }
            }
            (None, Some(selected)) => {
                if selected.all != selected.numbers.is_empty() {
                    return Err("name poolers by numbers, or all".to_owned());
                }
                if let Some(number) = selected.numbers.iter().find(|number| **number >= fleet) {
                    return Err(format!("there is no pooler {number}, the platform names {fleet}"));
                }
                let numbers = if selected.all { (0..fleet).collect() } else { selected.numbers.clone() };
                Ok((MachineKind::Poolers, numbers.into_iter().map(u64::from).collect()))
            }
        }
    }
}

/// A 16-bit hash that identifies a zone in datagrams.
#[must_use]
pub fn zone_hash(zone: &str) -> u16 {
    // Folds all 64 bits, since for short names only some of them differ.
    let hash = id_hash(zone);
    (hash ^ hash >> 16 ^ hash >> 32 ^ hash >> 48) as u16
}

/// Samples of the load by group.
#[derive(Debug, Default)]
struct LoadSamples {
    /// Requests sent to each group at the last measurement, and at the start of the current minute.
    sent_counts: BTreeMap<GroupId, (u64, u64)>,
    /// Requests per second of each group: the current rate, and the rates of the last hour by the minute.
    rates: BTreeMap<GroupId, (f64, VecDeque<f64>)>,
    measured_at: Time,
    minute_start: Time,
}

/// The components that the service reads from and acts on.
pub(crate) struct Dependencies {
    pub(crate) leases: Rc<Leases>,
    pub(crate) feed: Feed,
    pub(crate) members: Rc<Members>,
    pub(crate) driver: Rc<Driver>,
    pub(crate) pool: Rc<Pool>,
    pub(crate) lifecycle: Rc<Lifecycle>,
    pub(crate) slots: Rc<ConnectionSlots>,
    pub(crate) shared: Option<Rc<SharedState>>,
    pub(crate) executor: Rc<LocalExecutor<'static>>,
}

/// Takes part in maintenance work on behalf of this pooler.
pub struct WorkService {
    options: WorkOptions,
    deps: Dependencies,
    coordinator: RefCell<Coordinator<FullRegisterRules>>,
    /// The revision of the record that was applied last.
    applied_revision: Cell<(Token, u32)>,
    /// The plan and its machines' states that were applied last.
    applied_states: RefCell<(PlanId, Vec<MachineState>)>,
    /// Whether this pooler is drained because its machine is out for work.
    drained_for_work: Cell<bool>,
    load_samples: RefCell<LoadSamples>,
    /// The revision of the record that was last stored for the other processes of this pooler.
    stored_revision: Cell<Option<(Token, u32)>>,
    last_handover_request: Cell<Option<std::time::Instant>>,
    /// Machines that were already logged as overdue, by plan and index.
    overdue_reported: RefCell<BTreeSet<(PlanId, usize)>>,
    /// Raised once it is known which machines are out.
    started: crate::flag::Flag,
}

impl WorkService {
    pub(crate) fn new(options: WorkOptions, deps: Dependencies) -> Self {
        deps.pool.enable_stats();
        Self {
            coordinator: RefCell::new(Coordinator::new(clock::steady(), options.setup.clone())),
            options,
            deps,
            applied_revision: Cell::default(),
            applied_states: RefCell::default(),
            drained_for_work: Cell::default(),
            load_samples: RefCell::default(),
            stored_revision: Cell::default(),
            last_handover_request: Cell::default(),
            overdue_reported: RefCell::default(),
            started: crate::flag::Flag::default(),
        }
    }

    /// Waits until it is known which machines are out, or until the wait for that has timed out.
    pub(crate) async fn wait_started(&self) {
        self.started.raised().await;
    }

    /// Whether it is known which machines are out, or the wait for that has timed out.
    pub(crate) fn has_started(&self) -> bool {
        self.started.is_up()
    }

    /// Runs the steps that are due; never returns.
    pub(crate) async fn run(self: Rc<Self>) {
        let pause = (duration(self.options.setup.heartbeat_interval) / 8).min(MAX_STEP_INTERVAL);
        loop {
            let changed = self.deps.leases.listen_for_changes();
            self.step();
            or(changed, async {
                let _ = Timer::after(pause).await;
            })
            .await;
            // The heartbeats of a fleet arrive one by one; the pause lets one step process several of them.
            Timer::after(MIN_STEP_GAP.min(pause)).await;
        }
    }

    /// Processes messages, applies the record, and runs the coordinator once.
    fn step(self: &Rc<Self>) {
        let now = clock::steady();
        for (origin, message) in self.deps.leases.take_work_messages() {
            self.coordinator.borrow_mut().receive(now, origin, message);
        }
        self.load_shared_record(now);
        self.apply_record();
        let local = self.local_state(now);
        let reports = self.peer_reports(now);
        let mut coordinator = self.coordinator.borrow_mut();
        coordinator.tick(now, &local, &|kind| self.fleet_info(kind, &reports));
        let messages = coordinator.take_messages();
        let superseded = coordinator.take_superseded();
        if coordinator.start_on_timeout(now) {
            tracing::warn!("work: no majority of voters has told what is out; serving by what was heard");
        }
        if coordinator.has_started() && !self.started.is_up() {
            self.started.raise();
        }
        drop(coordinator);
        self.deps.leases.send_work(messages);
        if superseded {
            let _ = self.deps.leases.operator_command(TASK, "release", None);
        }
        self.apply_record();
        self.store_shared_record();
        self.drive_handover(local.token);
        self.log_overdue(now);
    }

    /// Adopts the record stored by another process of this pooler, if there is one.
    fn load_shared_record(&self, now: Time) {
        let Some(shared) = &self.deps.shared else { return };
        let Some((plan, record)) = shared.read_work().and_then(|bytes| decode_record(&bytes)) else { return };
        let mut coordinator = self.coordinator.borrow_mut();
        if let Some(plan) = plan {
            coordinator.adopt(now, plan, &record);
        }
        // While both processes live, neither confirms a machine as clear, so the other's record is safe to
        // start from. The record of a dead process may be outdated.
        if !coordinator.has_started() && shared.has_other_process() {
            coordinator.mark_started();
        }
    }

    /// Stores the record for the other processes of this pooler, if it has changed.
    fn store_shared_record(&self) {
        let Some(shared) = &self.deps.shared else { return };
        let coordinator = self.coordinator.borrow();
        if !coordinator.has_started() || self.stored_revision.get() == Some(coordinator.revision()) {
            return;
        }
        let bytes = match coordinator.current_plan() {
            Some((plan, record)) => encode_record(Some(plan), record),
            None => encode_record(None, &Record::default()),
        };
        match shared.write_work((coordinator.revision().0.0, coordinator.revision().1), &bytes) {
            Ok(()) => self.stored_revision.set(Some(coordinator.revision())),
            Err(error) => tracing::debug!("work: other processes of this pooler don't learn of it: {error}"),
        }
    }

    /// Applies the record. This precedes reporting a machine as clear, so that no new requests go there afterwards.
    fn apply_record(&self) {
        let coordinator = self.coordinator.borrow();
        let Some((plan, record)) = coordinator.current_plan() else { return };
        if self.applied_revision.get() == record.revision() {
            return;
        }
        self.applied_revision.set(record.revision());
        let mut applied_states = self.applied_states.borrow_mut();
        let same_plan = applied_states.0 == record.plan;
        let previous = |index: usize| applied_states.1.get(index).copied().filter(|_| same_plan);
        let changed = |index: &usize| previous(*index) != Some(record.states[*index]);
        match plan.kind {
            MachineKind::Servers => {
                let out: BTreeSet<u64> = record.out().map(|index| plan.machines[index]).collect();
                // A machine that returns from work is cold; one that was never taken out is not.
                let returned: Vec<u64> = (0..plan.machines.len().min(record.states.len()))
                    .filter(|index| record.states[*index] == MachineState::Warming && changed(index))
                    .map(|index| plan.machines[index])
                    .collect();
                self.deps.feed.apply_plan(&out, &returned);
                // Idle connections must not delay a machine's work.
                self.deps.pool.close_stale_idle();
                if !returned.is_empty() {
                    // Failures from before the work are obsolete. The leader treats the machine as failed until
                    // it answers.
                    let leads = coordinator.view(clock::steady()).leads;
                    let members = self.deps.members.all();
                    let returned = members.into_iter().filter(|(id, _)| returned.contains(&id_hash(&id.0)));
                    self.deps.pool.with_stats(|stats| {
                        for (id, _) in returned {
                            stats.failed.remove(&id);
                            if leads {
                                stats.failed.insert(id, FAILING_AFTER);
                            }
                        }
                    });
                }
            }
            MachineKind::Poolers => {
                self.deps.feed.apply_plan(&BTreeSet::new(), &[]);
                let out_for_work = coordinator.own_machine_is_out();
                if out_for_work != self.drained_for_work.replace(out_for_work) {
                    tracing::info!(
                        "work: this pooler's machine is {}",
                        if out_for_work { "out" } else { "back" }
                    );
                    // A pooler drained by an operator stays drained.
                    self.deps
                        .lifecycle
                        .drained
                        .set_on(out_for_work || self.deps.lifecycle.drained_by_operator.get());
                    self.deps.leases.abstain(out_for_work, &self.options.tasks);
                }
            }
        }
        for index in (0..record.states.len()).filter(changed) {
            let name =
                plan.machines.get(index).map_or_else(String::new, |hash| self.machine_name(plan.kind, *hash));
            if previous(index).is_some() || record.states[index] != MachineState::Waiting {
                tracing::info!("work: {name} {}", record.states[index].label());
            }
        }
        if !same_plan {
            tracing::info!("work: plan {:016x} of {} machines", record.plan.0, plan.machines.len());
        }
        *applied_states = (record.plan, record.states.clone());
    }

    /// The name of a machine as shown to operators.
    fn machine_name(&self, kind: MachineKind, machine: u64) -> String {
        if kind == MachineKind::Poolers {
            return format!("pooler {machine}");
        }
        let members = self.deps.members.all();
        let member_entry = members.iter().find(|(id, _)| id_hash(&id.0) == machine);
        member_entry.map_or_else(|| format!("{machine:016x}"), |(id, _)| id.0.to_string())
    }

    /// This pooler's state as the coordinator needs it, with the machines that are clear of its connections.
    fn local_state(&self, now: Time) -> LocalState {
        let task = TaskId::of(TASK);
        let coordinator = self.coordinator.borrow();
        let token = self
            .deps
            .leases
            .holds(task)
            .filter(|_| !coordinator.own_machine_is_out() && coordinator.has_started());
        let mut local = LocalState {
            token,
            holder: self.deps.leases.holder(TASK),
            zone: zone_hash(&self.options.zone),
            clear_revision: coordinator.revision(),
            ..LocalState::default()
        };
        // Sampled at all times, since a plan that begins needs the peak of the last hour.
        self.sample_load(now);
        if coordinator.is_active() {
            local.loads = self.current_loads();
            local.failing = self.failing_servers();
        }
        let Some((plan, record)) = coordinator.current_plan() else { return local };
        let is_only_process = || self.deps.shared.as_ref().is_none_or(|shared| shared.is_alone());
        let out: Vec<usize> = record.out().collect();
        if out.is_empty() || !is_only_process() {
            return local;
        }
        let members = if plan.kind == MachineKind::Servers { self.deps.members.all() } else { Vec::new() };
        let is_clear = |index: &usize| {
            let machine = plan.machines[*index];
            match plan.kind {
                MachineKind::Servers => members
                    .iter()
                    .filter(|(id, _)| id_hash(&id.0) == machine)
                    .all(|(id, _)| self.deps.pool.has_no_connections(id)),
                MachineKind::Poolers => {
                    machine == u64::from(self.options.setup.me.number)
                        && self.drained_for_work.get()
                        && self.deps.slots.in_use() == 0
                        && self.options.tasks.iter().all(|task| self.deps.leases.holds(*task).is_none())
                }
            }
        };
        local.clear = MachineSet::of(out.into_iter().filter(is_clear));
        local
    }

    /// Hashes of the ids of servers that fail this pooler.
    fn failing_servers(&self) -> Vec<u64> {
        let failing = |stats: &mut crate::upstream::SendStats| {
            let failed = stats.failed.iter().filter(|(_, times)| **times >= FAILING_AFTER);
            failed.map(|(member, _)| id_hash(&member.0)).collect::<Vec<_>>()
        };
        self.deps.pool.with_stats(failing).unwrap_or_default()
    }

    /// Samples this pooler's load, if a sample is due.
    fn sample_load(&self, now: Time) {
        if now - self.load_samples.borrow().measured_at
            < Span(self.options.setup.heartbeat_interval.0 * CURRENT_LOAD_INTERVALS)
        {
            return;
        }
        let sent: BTreeMap<GroupId, u64> = self
            .deps
            .pool
            .with_stats(|stats| stats.sent.iter().map(|(group, count)| (*group, *count)).collect())
            .unwrap_or_default();
        let mut samples = self.load_samples.borrow_mut();
        let samples = &mut *samples;
        let seconds = (now - samples.measured_at).0 as f64 / 1e6;
        let minute_over = now - samples.minute_start >= LOAD_SAMPLE_PERIOD;
        for (group, count) in &sent {
            let counts = samples.sent_counts.entry(*group).or_insert((*count, *count));
            let (rate, history) = samples.rates.entry(*group).or_default();
            *rate = (count - counts.0) as f64 / seconds;
            counts.0 = *count;
            if minute_over {
                history.push_back((count - counts.1) as f64 / (now - samples.minute_start).0 as f64 * 1e6);
                counts.1 = *count;
                if history.len() > LOAD_SAMPLES {
                    history.pop_front();
                }
            }
        }
        samples.measured_at = now;
        if minute_over {
            samples.minute_start = now;
        }
    }

    /// This pooler's current and peak load by group, in requests per second.
    fn current_loads(&self) -> Vec<GroupLoad> {
        let samples = self.load_samples.borrow();
        let to_u16 = |rate: f64| rate.ceil().clamp(0.0, 65_535.0) as u16;
        let group_load = |(group, (rate, history)): (&GroupId, &(f64, VecDeque<f64>))| {
            let peak = history.iter().copied().fold(*rate, f64::max);
            Some(GroupLoad {
                group: u16::try_from(group.0).ok()?,
                current: to_u16(*rate),
                peak: to_u16(peak),
            })
        };
        samples.rates.iter().filter_map(group_load).collect()
    }

    /// What other poolers reported: loads, failing servers, and their own state.
    fn peer_reports(&self, now: Time) -> PeerReports {
        let coordinator = self.coordinator.borrow();
        PeerReports {
            loads: coordinator.loads(now),
            failing: coordinator.failing(now),
            poolers: coordinator.poolers(now),
        }
    }

    /// The machines of the fleet as the coordinator needs them to decide on the next step.
    fn fleet_info(&self, kind: MachineKind, reports: &PeerReports) -> FleetInfo {
        let quiet_hours = self.in_quiet_hours();
        if kind == MachineKind::Poolers {
            let pooler_info = |(number, zone, complete): &(u16, u16, bool)| MachineInfo {
                machine: u64::from(*number),
                zone: *zone,
                in_service: *complete,
                warm: *complete,
                ..MachineInfo::default()
            };
            let voters = self.options.setup.voters.iter().map(|voter| u64::from(*voter)).collect();
            let machines = reports.poolers.iter().map(pooler_info).collect();
            return FleetInfo { machines, quiet_hours, voters, ..FleetInfo::default() };
        }
        let (primaries, changing_primary) = self.deps.driver.primaries();
        let own_failing = self.failing_servers();
        let wall = self.deps.feed.now();
        let group_number = |group_id: GroupId| u16::try_from(group_id.0).unwrap_or(u16::MAX);
        let (mut machines, mut gone) = (Vec::new(), BTreeSet::new());
        for (id, member_info) in self.deps.members.all() {
            let machine = id_hash(&id.0);
            if member_info.state == ListState::Gone {
                gone.insert(machine);
                continue;
            }
            let capacity = self.options.capacity.get(&member_info.machine).or(self.options.capacity.get(""));
            machines.push(MachineInfo {
                machine,
                group: group_number(member_info.group),
                zone: zone_hash(&member_info.zone),
                capacity: capacity.copied().unwrap_or(0.0),
                primary: primaries
                    .get(&member_info.group)
                    .map_or(member_info.primary, |primary_id| *primary_id == id),
                in_service: self.deps.members.in_service_without_plans(&id),
                failing: own_failing.contains(&machine)
                    || reports
                        .failing
                        .get(&machine)
                        .is_some_and(|poolers_reporting| *poolers_reporting >= MIN_FAILURE_REPORTS),
                warm: member_info
                    .started
                    .is_none_or(|started| wall - started >= self.options.setup.server_limits.cold_period),
            });
        }
        // A group without a primary, neither by probes nor by the list, can't hand over to another member.
        let with_primary: BTreeSet<u16> =
            machines.iter().filter(|candidate| candidate.primary).map(|candidate| candidate.group).collect();
        let without_primary = machines
            .iter()
            .map(|candidate| candidate.group)
            .filter(|candidate| !with_primary.contains(candidate));
        let changing_primary =
            changing_primary.into_iter().map(group_number).chain(without_primary).collect();
        FleetInfo {
            machines,
            changing_primary,
            loads: reports.loads.clone(),
            gone,
            quiet_hours,
            ..FleetInfo::default()
        }
    }

    fn in_quiet_hours(&self) -> bool {
        let minute = (clock::wall_ms() / 60_000 % 1_440) as u16;
        self.options.quiet_hours.iter().any(|(from, to)| {
            if from < to { (*from..*to).contains(&minute) } else { minute >= *from || minute < *to }
        })
    }

    /// Requests primary handovers for the machines that wait for one, and probes the members on which the next
    /// step depends.
    fn drive_handover(self: &Rc<Self>, token: Option<Token>) {
        let Some(token) = token else { return };
        let coordinator = self.coordinator.borrow();
        let Some((plan, record)) =
            coordinator.current_plan().filter(|(plan, _)| plan.kind == MachineKind::Servers)
        else {
            return;
        };
        let machines_in = |state: MachineState| -> BTreeSet<u64> {
            let matching = record
                .states
                .iter()
                .zip(&plan.machines)
                .filter(|(machine_state, _)| **machine_state == state);
            matching.map(|(_, machine)| *machine).collect()
        };
        let (handing_over, warming) =
            (machines_in(MachineState::HandingOver), machines_in(MachineState::Warming));
        if handing_over.is_empty() && warming.is_empty()
            || self.last_handover_request.get().is_some_and(|at| at.elapsed() < HANDOVER_RETRY_INTERVAL)
        {
            return;
        }
        self.last_handover_request.set(Some(std::time::Instant::now()));
        let members = self.deps.members.all();
        let groups: BTreeSet<GroupId> = members
            .iter()
            .filter(|(id, _)| handing_over.contains(&id_hash(&id.0)))
            .map(|(_, member_info)| member_info.group)
            .collect();
        // This pooler may have no requests for these members, and would otherwise notice neither a new primary
        // nor a member that is back.
        for (id, member_info) in &members {
            let must_probe = groups.contains(&member_info.group) || warming.contains(&id_hash(&id.0));
            if must_probe && member_info.state == ListState::Healthy {
                let (driver, pool, id) = (self.deps.driver.clone(), self.deps.pool.clone(), id.clone());
                let probe_task = async move { drop(crate::probes::probe(&driver, &pool, id).await) };
                self.deps.executor.spawn(probe_task).detach();
            }
        }
        let Some((address, path)) = self.options.handover.clone() else { return };
        for (id, member_info) in members {
            if handing_over.contains(&id_hash(&id.0)) {
                let (service, path) = (self.clone(), path.clone());
                let task = async move {
                    let call = service.request_handover(address, &path, token, &id, member_info.group);
                    let timed_out = async {
                        let _ = Timer::after(HANDOVER_RETRY_INTERVAL).await;
                        Err("no answer".into())
                    };
                    if let Err(error) = or(call, timed_out).await {
                        tracing::debug!("work: the hand-over of {} at {address}: {error}", id.0);
                    }
                };
                self.deps.executor.spawn(task).detach();
            }
        }
    }

    /// Calls the endpoint that performs a handover of the primary away from `from`.
    async fn request_handover(
        &self,
        address: SocketAddr,
        path: &str,
        token: Token,
        from: &MemberId,
        group: GroupId,
    ) -> Result<(), Box<dyn std::error::Error>> {
        let stream = Async::<TcpStream>::connect(address).await?;
        let (mut sender, connection) = hyper::client::conn::http1::handshake(FuturesIo::new(stream)).await?;
        let connection_task = self.deps.executor.spawn(connection);
        let request = Request::post(path)
            .header("host", address.to_string())
            .header("connection", "close")
            .header("from", from.0.as_ref())
            .header("group", group.0)
            .header("fencing-token", token.0)
            .body(Empty::<Bytes>::new())?;
        // Checked after the last wait: from here on only the called endpoint can reject an outdated token.
        if self.deps.leases.holds(TaskId::of(TASK)) != Some(token) {
            return Ok(());
        }
        let answer: Response<_> = sender.send_request(request).await?;
        drop(connection_task);
        if answer.status().is_success() { Ok(()) } else { Err(format!("status {}", answer.status()).into()) }
    }

    /// Logs each machine that is out for too long, once.
    fn log_overdue(&self, now: Time) {
        let coordinator = self.coordinator.borrow();
        if !coordinator.is_active() {
            return;
        }
        let view = coordinator.view(now);
        if !view.leads {
            return;
        }
        for (index, machine_view) in view.machines.iter().enumerate() {
            let overdue =
                machine_view.state.is_out() && duration(machine_view.elapsed) > self.options.max_out_time;
            if overdue && self.overdue_reported.borrow_mut().insert((view.plan, index)) {
                tracing::warn!(
                    "work: {} is {} for more than {:?}",
                    self.machine_name(view.kind, machine_view.machine),
                    machine_view.state.label(),
                    self.options.max_out_time
                );
            }
        }
        if self.overdue_reported.borrow().len() > MAX_MACHINES {
            self.overdue_reported.borrow_mut().clear();
        }
    }

    /// The plan, its machines and the reasons why they wait, as JSON.
    pub(crate) fn status_json(&self) -> String {
        let now = clock::steady();
        let view = self.coordinator.borrow().view(now);
        let machines: Vec<Value> = view
            .machines
            .iter()
            .map(|machine_view| {
                let mut machine_json = json!({"machine": self.machine_name(view.kind, machine_view.machine),
                    "state": machine_view.state.label(), "for_ms": machine_view.elapsed.0 / 1_000});
                if let Some(reason) = &machine_view.wait_reason {
                    machine_json["waits"] = reason.to_string().into();
                }
                if !machine_view.unconfirmed.is_empty() {
                    machine_json["waits_for_poolers"] = machine_view.unconfirmed.clone().into();
                }
                if machine_view.state.is_out() && duration(machine_view.elapsed) > self.options.max_out_time {
                    machine_json["overdue"] = true.into();
                }
                machine_json
            })
            .collect();
        let plan = (view.plan != PlanId::NONE).then(|| format!("{:016x}", view.plan.0));
        json!({"plan": plan, "mode": view.mode.label(), "machines": machines, "token": view.revision.0.0,
            "version": view.revision.1, "leads": view.leads, "holder": self.deps.leases.holder(TASK),
            "knows_what_is_out": view.started, "voter_without_memory": view.blank,
            "silent_poolers": view.silent_poolers})
        .to_string()
    }

    /// The listed servers that a plan can select.
    fn candidates(&self) -> Vec<ServerCandidate> {
        let listed =
            self.deps.members.all().into_iter().filter(|(_, listed)| listed.state != ListState::Gone);
        listed
            .map(|(id, member_info)| ServerCandidate {
                id: id.0.to_string(),
                zone: member_info.zone,
                machine: member_info.machine,
            })
            .collect()
    }

    /// Submits an operator's plan.
    ///
    /// # Errors
    ///
    /// An HTTP status with a message.
    pub(crate) async fn submit(self: &Rc<Self>, body: &[u8]) -> Result<String, (u16, String)> {
        let bad_request = |message: String| (400, message);
        let plan_request = PlanRequest::from_json(body).map_err(bad_request)?;
        let (kind, machines) =
            plan_request.machines(&self.candidates(), self.options.setup.fleet).map_err(bad_request)?;
        let count = machines.len();
        let now = clock::steady();
        let submitted = self.coordinator.borrow_mut().submit(now, kind, machines.clone());
        let (plan, call) = submitted.map_err(|message| bad_request(message.to_owned()))?;
        let reports = self.peer_reports(now);
        let fleet_state = self.fleet_info(kind, &reports);
        let feasible = self.coordinator.borrow().check_feasible(plan, &fleet_state);
        if let Err((index, reason)) = feasible {
            self.coordinator.borrow_mut().forget_command(call);
            let name = machines.get(index).map_or_else(String::new, |hash| self.machine_name(kind, *hash));
            return Err((409, format!("{name} could never go out: {reason}")));
        }
        self.await_result(call).await?;
        tracing::info!("work: plan {:016x} of {count} machines was taken", plan.0);
        Ok(format!("plan {:016x} of {count} machines", plan.0))
    }

    /// Executes an operator's command on the plan or on one of its machines.
    ///
    /// # Errors
    ///
    /// An HTTP status with a message.
    pub(crate) async fn operator_command(
        self: &Rc<Self>,
        command: Command,
        machine: Option<&str>,
    ) -> Result<String, (u16, String)> {
        let now = clock::steady();
        let (call, unconfirmed) = {
            let mut coordinator = self.coordinator.borrow_mut();
            let no_plan = (404, "there is no plan".to_owned());
            let (plan, record) = coordinator.current_plan().ok_or(no_plan)?;
            let mut index = 0;
            if let Some(name) = machine {
                let hash = match plan.kind {
                    MachineKind::Servers => id_hash(name),
                    MachineKind::Poolers => {
                        name.parse().map_err(|_| (400, "poolers have numbers".to_owned()))?
                    }
                };
                let found = plan.machines.iter().position(|planned| *planned == hash);
                index = found.ok_or_else(|| (404, format!("{name} is not in the plan")))?;
            }
            let id = record.plan;
            let still_unconfirmed = coordinator
                .view(now)
                .machines
                .get(index)
                .map(|machine_view| machine_view.unconfirmed.clone())
                .unwrap_or_default();
            let call = coordinator.queue_command(now, command, id, index as u16);
            (call.ok_or((503, "too many calls are waiting".to_owned()))?, still_unconfirmed)
        };
        self.await_result(call).await?;
        if command == Command::Force {
            let name = machine.unwrap_or("");
            let consequence = if unconfirmed.is_empty() {
                "the limits are not kept for it".to_owned()
            } else {
                format!("poolers {unconfirmed:?} have not said that they have nothing there")
            };
            tracing::warn!("work: {name} by force: {consequence}");
            return Ok(format!("done: {consequence}"));
        }
        Ok("done".to_owned())
    }

    /// Waits for the result of an operator's call.
    async fn await_result(self: &Rc<Self>, call: u32) -> Result<(), (u16, String)> {
        let give_up_at = std::time::Instant::now() + CALL_TIMEOUT;
        self.step();
        while std::time::Instant::now() < give_up_at {
            let result = self.coordinator.borrow_mut().take_result(call);
            let failure = |status: u16, message: &str| Err((status, message.to_owned()));
            match result {
                Some(CommandResult::Done) => return Ok(()),
                Some(CommandResult::InvalidState) => return failure(409, "not in this state"),
                Some(CommandResult::Busy) => return failure(409, "another plan is under way"),
                Some(CommandResult::NotFound) => return failure(404, "there is no such plan or machine"),
                Some(CommandResult::Infeasible) => return failure(409, "the limits can never be met"),
                Some(CommandResult::NotHolder) | None => Timer::after(RESULT_POLL_INTERVAL).await,
            };
        }
        self.coordinator.borrow_mut().forget_command(call);
        Err((503, "nobody who could has answered yet: ask what became of it, and again".to_owned()))
    }
}

/// Reports of other poolers.
struct PeerReports {
    /// Current and peak load by group, summed over the poolers, in requests per second.
    loads: BTreeMap<u16, (f64, f64)>,
    /// How many poolers report each failing server, by the hash of its id.
    failing: BTreeMap<u64, usize>,
    /// The poolers: number, hash of the zone, and whether the pooler was heard recently and is not a blank voter.
    poolers: Vec<(u16, u16, bool)>,
}

/// The plan and record as stored in the file shared by the processes of one pooler.
#[derive(serde::Serialize, Deserialize)]
struct StoredRecord {
    token: u64,
    version: u32,
    mode: usize,
    poolers: bool,
    nonce: u64,
    machines: Vec<u64>,
    states: Vec<usize>,
}

fn encode_record(plan: Option<&Plan>, record: &Record) -> Vec<u8> {
    let index_of =
        |state: &MachineState| MachineState::ALL.iter().position(|candidate| candidate == state).unwrap_or(0);
    let stored = StoredRecord {
        token: record.token.0,
        version: record.version,
        mode: Mode::ALL.iter().position(|candidate| *candidate == record.mode).unwrap_or(0),
        poolers: plan.is_some_and(|plan| plan.kind == MachineKind::Poolers),
        nonce: plan.map_or(0, |plan| plan.nonce),
        machines: plan.map(|plan| plan.machines.clone()).unwrap_or_default(),
        states: record.states.iter().map(index_of).collect(),
    };
    serde_json::to_vec(&stored).unwrap_or_default()
}

/// Decodes a stored plan and record; `None` if the bytes are incomplete or invalid.
fn decode_record(bytes: &[u8]) -> Option<(Option<Plan>, Record)> {
    let stored: StoredRecord = serde_json::from_slice(bytes).ok()?;
    if stored.machines.len() > MAX_MACHINES || stored.states.len() != stored.machines.len() {
        return None;
    }
    let states: Option<Vec<MachineState>> =
        stored.states.iter().map(|index| MachineState::ALL.get(*index).copied()).collect();
    let kind = if stored.poolers { MachineKind::Poolers } else { MachineKind::Servers };
    let plan = Plan { kind, machines: stored.machines, nonce: stored.nonce };
    let plan = Some(plan).filter(|plan| !plan.machines.is_empty());
    let record = Record {
        token: Token(stored.token),
        version: stored.version,
        plan: plan.as_ref().map_or(PlanId::NONE, Plan::id),
        mode: *Mode::ALL.get(stored.mode)?,
        states: states?,
    };
    Some((plan, record))
}
