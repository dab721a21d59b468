//! One pooler's part in a maintenance plan: it helps to store the record if it is a voter, takes the plan's
//! steps if it holds the lease, follows the record, and forwards operators' commands.

use super::order::{FleetInfo, Limits, NextStep, WaitReason, check_feasible, next_step};
use super::record::{
    Command, CommandResult, GroupLoad, Heartbeat, MACHINES_PER_CHUNK, MAX_MACHINES, MachineKind, MachineSet,
    MachineState, Message, Mode, Plan, PlanId, Record,
};
use super::register::{RegisterRules, VoterStore, Writer};
use crate::lease::{FullLeaseRules, PoolerInstance, Token, VoterSet};
use linnetdeal_core::peers::To;
use linnetdeal_core::{Span, Time};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Number of plans that are remembered.
const MAX_PLANS: usize = 4;
/// Maximum number of operators' commands that wait at one pooler.
const MAX_COMMANDS: usize = 32;
/// A command is given up after this many heartbeat intervals.
const COMMAND_TIMEOUT_INTERVALS: i64 = 40;
/// Maximum number of groups whose load is remembered for each process.
const MAX_GROUPS: usize = 1_024;
/// Maximum number of incarnations of one pooler that are remembered.
const MAX_INCARNATIONS: usize = 4;
/// A holder that finds no plan accepts none for this many heartbeat intervals, in which others may report one
/// that the voters have forgotten.
const NEW_PLAN_DELAY_INTERVALS: i64 = 4;
/// The first step waits for this many heartbeat intervals, and for as many as a pooler needs to report the load
/// of all groups: until then too little is known of load and poolers.
const FIRST_STEP_INTERVALS: i64 = 3;
/// A heartbeat says nothing of load after this many heartbeat intervals.
const STALE_INTERVALS: i64 = 10;
/// Maximum number of chunks that answer one request for a plan.
const MAX_CHUNKS_PER_REPLY: usize = 12;

/// Configuration of the coordinator of one pooler.
#[derive(Clone, Debug, PartialEq)]
pub struct CoordinatorSetup {
    /// This process.
    pub me: PoolerInstance,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Number of poolers in the fleet.
    pub fleet: u16,
    /// The voters.
    pub voters: BTreeSet<u16>,
    /// Earlier sets of voters that other processes may still use.
    pub previous: Vec<BTreeSet<u16>>,
    /// Interval of heartbeats while a plan is active; messages without an answer are sent again after half of
    /// it.
    pub heartbeat_interval: Span,
    /// How long a pooler that starts waits for a majority of voters before it serves by what it has received.
    pub start_timeout: Span,
    /// What must hold while servers are out.
    pub server_limits: Limits,
    /// What must hold while poolers are out.
    pub pooler_limits: Limits,
}

/// What the host knows of this pooler at each call of [`Coordinator::tick`].
#[derive(Clone, Debug, Default)]
pub struct LocalState {
    /// The lease's token, if held at present.
    pub token: Option<Token>,
    /// Who holds the lease, as far as known.
    pub holder: Option<u16>,
    /// The plan's machines at which no process of this pooler has requests or idle connections.
    pub clear: MachineSet,
    /// The revision of the record that `clear` was determined for.
    pub clear_revision: (Token, u32),
    /// Hash of its zone's name.
    pub zone: u16,
    /// Servers that fail this pooler's requests.
    pub failing: Vec<u64>,
    /// This pooler's load by group.
    pub loads: Vec<GroupLoad>,
}

/// A machine of the plan, as shown to operators.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineView {
    /// Identifies the machine, as in [`Plan::machines`].
    pub machine: u64,
    /// Its state.
    pub state: MachineState,
    /// Time in this state, as far as this pooler knows.
    pub elapsed: Span,
    /// Why it waits; known to the holder only.
    pub wait_reason: Option<WaitReason>,
    /// Poolers that have not confirmed that they have nothing there; known to the holder only.
    pub unconfirmed: Vec<u16>,
}

/// The plan, as shown to operators.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlanView {
    /// The plan.
    pub plan: PlanId,
    /// The kind of its machines.
    pub kind: MachineKind,
    /// Its mode.
    pub mode: Mode,
    /// Its machines.
    pub machines: Vec<MachineView>,
    /// Token and version of the record.
    pub revision: (Token, u32),
    /// Whether this pooler holds the lease and has a stored record.
    pub leads: bool,
    /// Whether this pooler is a voter that has started with empty memory and has not read from a majority yet.
    pub blank: bool,
    /// Whether this pooler knows which machines are out.
    pub started: bool,
    /// Poolers without a recent heartbeat; known to the holder only.
    pub silent_poolers: Vec<u16>,
}

/// A plan of which not all chunks have arrived.
#[derive(Clone, Debug, Default)]
struct PartialPlan {
    kind: MachineKind,
    nonce: u64,
    machines: Vec<Option<u64>>,
}

impl PartialPlan {
    fn complete(&self) -> Option<Plan> {
        let machines: Option<Vec<u64>> = self.machines.iter().copied().collect();
        Some(Plan { kind: self.kind, machines: machines?, nonce: self.nonce })
    }

    fn first_missing(&self) -> usize {
        self.machines.iter().position(Option::is_none).unwrap_or(self.machines.len())
    }
}

/// The latest heartbeat of one process of a pooler.
#[derive(Clone, Debug)]
struct ProcessState {
    incarnation: u64,
    heartbeat: Heartbeat,
    heard_at: Time,
    /// Load by group, with the time of the report: one heartbeat has room for some of the groups.
    loads: BTreeMap<u16, (GroupLoad, Time)>,
}

impl ProcessState {
    fn update_loads(&mut self, now: Time, loads: &[GroupLoad]) {
        for load in loads {
            if self.loads.len() < MAX_GROUPS || self.loads.contains_key(&load.group) {
                self.loads.insert(load.group, (*load, now));
            }
        }
    }
}

/// An operator's command that waits for its result.
struct PendingCommand {
    command: Command,
    plan: PlanId,
    index: u16,
    expires_at: Time,
    sent_at: Time,
    result: Option<CommandResult>,
}

/// What the lease holder keeps in addition to the record.
struct Leadership<K> {
    writer: Writer<K>,
    led_since: Time,
    /// When the plan began under this holder.
    plan_since: Time,
    /// When each machine entered its state.
    state_since: Vec<Time>,
    wait_reasons: BTreeMap<usize, WaitReason>,
    /// When the present record was last sent to each pooler.
    published_at: BTreeMap<u16, Time>,
    sent_at: Time,
    /// Replies to commands that are sent once their record is stored: sender, command id, result.
    uncommitted_replies: VecDeque<(u16, u32, CommandResult)>,
    /// Revision of the first record that this holder has stored.
    first_own_revision: Option<(Token, u32)>,
    /// The version with which each machine went out, if this holder took it out.
    departure_versions: Vec<u32>,
}

/// The coordinator of one pooler.
pub struct Coordinator<K> {
    setup: CoordinatorSetup,
    voter_set: VoterSet,
    voters: BTreeSet<u16>,
    store: Option<VoterStore<K>>,
    leadership: Option<Leadership<K>>,
    /// The highest token that this pooler has led with. No token is used twice, so that no two records have the
    /// same revision.
    last_led: Token,
    /// A later token was observed: the lease is of no more use.
    superseded: bool,
    plans: BTreeMap<PlanId, Plan>,
    partial_plans: BTreeMap<PlanId, PartialPlan>,
    /// Ids of `plans`, the oldest first.
    plan_order: VecDeque<PlanId>,
    /// The newest record that a majority has stored, as far as known.
    current: Record,
    /// A pooler that knows the machines of its plan.
    plan_source: u16,
    /// The pooler that published the record and waits for heartbeats about it; `None` while the record was only
    /// read from voters, which do not say who wrote it.
    publisher: Option<u16>,
    state_since: Vec<Time>,
    started: bool,
    created: Time,
    /// The read at start: its round, and the voters' answers.
    start_read: (u32, BTreeMap<u16, (bool, Record)>),
    /// By pooler, the one heard last at the end.
    processes: BTreeMap<u16, Vec<ProcessState>>,
    commands: BTreeMap<u32, PendingCommand>,
    next_command: u32,
    round: u32,
    heartbeat_due: Time,
    /// When voters were last queried and the plan requested; far in the past if that is due at once.
    last_query: Time,
    last_heartbeat: Option<Heartbeat>,
    /// Index of the load that the next heartbeat begins with.
    next_load: usize,
    outgoing: Vec<(To, Message)>,
    local_queue: VecDeque<Message>,
    rng: ChaCha8Rng,
}

impl<K: RegisterRules> Coordinator<K> {
    /// A pooler that has just started.
    #[must_use]
    pub fn new(now: Time, setup: CoordinatorSetup) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(setup.seed ^ setup.me.incarnation ^ 0x776f_726b);
        let voter_set = VoterSet::new(setup.voters.clone(), setup.previous.clone());
        let voters = voter_set.all_voters();
        let store =
            voters.contains(&setup.me.number).then(|| VoterStore::new(setup.me.number, rng.next_u32()));
        Self {
            voter_set,
            voters,
            store,
            leadership: None,
            last_led: Token(0),
            superseded: false,
            plans: BTreeMap::new(),
            partial_plans: BTreeMap::new(),
            plan_order: VecDeque::new(),
            current: Record::default(),
            plan_source: setup.me.number,
            publisher: None,
            state_since: Vec::new(),
            started: false,
            created: now,
            start_read: (0, BTreeMap::new()),
            processes: BTreeMap::new(),
            commands: BTreeMap::new(),
            next_command: rng.next_u32(),
            round: rng.next_u32(),
            heartbeat_due: now,
            last_query: Time(i64::MIN / 4),
            last_heartbeat: None,
            next_load: 0,
            outgoing: Vec::new(),
            local_queue: VecDeque::new(),
            rng,
            setup,
        }
    }

    /// Whether a later token was observed, so that the held lease is of no more use; resets the flag.
    pub fn take_superseded(&mut self) -> bool {
        std::mem::take(&mut self.superseded)
    }

    /// Takes the messages to be sent.
    pub fn take_messages(&mut self) -> Vec<(To, Message)> {
        std::mem::take(&mut self.outgoing)
    }

    /// Whether this pooler knows which machines are out; before that it must not serve.
    #[must_use]
    pub fn has_started(&self) -> bool {
        self.started
    }

    /// Another live process of this pooler knows which machines are out, and its record was adopted.
    pub fn mark_started(&mut self) {
        self.started = true;
    }

    /// Token and version of the record that this pooler acts on.
    #[must_use]
    pub fn revision(&self) -> (Token, u32) {
        self.current.revision()
    }

    /// Starts serving by what was received, if no majority of voters has answered within the start timeout.
    /// True once, when that happens.
    pub fn start_on_timeout(&mut self, now: Time) -> bool {
        let timed_out = !self.started && now - self.created >= self.setup.start_timeout;
        self.started |= timed_out;
        timed_out
    }

    /// The plan and the record that this pooler acts on.
    #[must_use]
    pub fn current_plan(&self) -> Option<(&Plan, &Record)> {
        Some((self.plans.get(&self.current.plan)?, &self.current))
    }

    /// Adopts the plan and record of another process of this pooler, if newer.
    pub fn adopt(&mut self, now: Time, plan: Plan, record: &Record) {
        if plan.machines.len() <= MAX_MACHINES && plan.id() == record.plan {
            self.remember_plan(plan);
            self.adopt_record(now, self.setup.me.number, record);
        }
    }

    /// Who waits for this pooler's heartbeats: itself if it leads, else who published the record, else the
    /// lease holder as far as known.
    fn heartbeat_target(&self, holder: Option<u16>) -> u16 {
        let own_number = self
            .leadership
            .as_ref()
            .and_then(|leadership| leadership.first_own_revision)
            .map(|_| self.setup.me.number);
        own_number.or(self.publisher).or(holder).unwrap_or(self.plan_source)
    }

    /// Whether a plan is active, as far as known.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.current.mode != Mode::Idle
    }

    /// Whether this pooler's own machine is out, in which case it must not claim the lease.
    #[must_use]
    pub fn own_machine_is_out(&self) -> bool {
        self.current_plan().is_some_and(|(plan, record)| {
            plan.kind == MachineKind::Poolers
                && record.out().any(|index| plan.machines.get(index) == Some(&self.setup.me.number.into()))
        })
    }

    /// For plans of poolers: each pooler's number, its zone as last reported, and whether it was heard recently
    /// and is not a blank voter.
    #[must_use]
    pub fn poolers(&self, now: Time) -> Vec<(u16, u16, bool)> {
        let stale = Span(self.setup.heartbeat_interval.0 * STALE_INTERVALS);
        let summary = |number: u16| {
            let last = self.processes.get(&number).and_then(|incarnations| incarnations.last());
            let zone = last.map_or(0, |process| process.heartbeat.zone);
            (
                number,
                zone,
                last.is_some_and(|process| now - process.heard_at < stale && !process.heartbeat.blank),
            )
        };
        (0..self.setup.fleet).map(summary).collect()
    }

    /// The load of all poolers that were heard recently, by group: at present, and at the busiest minute of the
    /// last hour.
    #[must_use]
    pub fn loads(&self, now: Time) -> BTreeMap<u16, (f64, f64)> {
        let mut loads: BTreeMap<u16, (f64, f64)> = BTreeMap::new();
        for process in self.processes.values().filter_map(|incarnations| incarnations.last()) {
            // Each group is reported once in this many heartbeats.
            let turns = process.loads.len().div_ceil(Heartbeat::MAX_LOADS).max(1) as i64;
            let stale = Span(self.setup.heartbeat_interval.0 * STALE_INTERVALS * turns);
            for (load, _) in process.loads.values().filter(|(_, heard_at)| now - *heard_at < stale) {
                let sum = loads.entry(load.group).or_default();
                sum.0 += f64::from(load.current);
                sum.1 += f64::from(load.peak);
            }
        }
        loads
    }

    /// Servers that fail, with the number of poolers that report it.
    #[must_use]
    pub fn failing(&self, now: Time) -> BTreeMap<u64, usize> {
        let stale = Span(self.setup.heartbeat_interval.0 * STALE_INTERVALS);
        let mut failing = BTreeMap::new();
        for process in self
            .processes
            .values()
            .filter_map(|incarnations| incarnations.last())
            .filter(|process| now - process.heard_at < stale)
        {
            for server in &process.heartbeat.failing {
                *failing.entry(*server).or_default() += 1;
            }
        }
        failing
    }

    /// Submits an operator's plan; returns its id and that of the command.
    ///
    /// # Errors
    ///
    /// When it names no machine, too many or one twice, or when too many commands are waiting; nothing is
    /// submitted then.
    pub fn submit(
        &mut self,
        now: Time,
        kind: MachineKind,
        machines: Vec<u64>,
    ) -> Result<(PlanId, u32), &'static str> {
        if machines.is_empty() {
            return Err("the plan names no machine");
        }
        if machines.len() > MAX_MACHINES {
            return Err("the plan names more than 256 machines");
        }
        if machines.iter().collect::<BTreeSet<_>>().len() < machines.len() {
            return Err("a machine is named twice");
        }
        // It may be a retry after a lost answer, and may have been accepted meanwhile.
        let idle = self.current.mode == Mode::Idle;
        let same = self.plans.iter().find(|(id, plan)| {
            plan.kind == kind && plan.machines == machines && !(idle && **id == self.current.plan)
        });
        let plan = match same {
            Some((_, plan)) => plan.clone(),
            None => Plan { kind, machines, nonce: self.rng.next_u64() },
        };
        let id = plan.id();
        self.remember_plan(plan);
        self.queue_command(now, Command::Submit, id, 0)
            .map(|command| (id, command))
            .ok_or("too many calls are waiting")
    }

    /// Queues a command for the holder; returns the command's id, or `None` if too many are waiting.
    pub fn queue_command(&mut self, now: Time, command: Command, plan: PlanId, index: u16) -> Option<u32> {
        self.commands.retain(|_, pending| now < pending.expires_at);
        if self.commands.len() >= MAX_COMMANDS {
            return None;
        }
        self.next_command = self.next_command.wrapping_add(1);
        let expires_at = now + Span(self.setup.heartbeat_interval.0 * COMMAND_TIMEOUT_INTERVALS);
        let sent_at = Time(i64::MIN / 4);
        self.commands.insert(
            self.next_command,
            PendingCommand { command, plan, index, expires_at, sent_at, result: None },
        );
        Some(self.next_command)
    }

    /// Drops a command that nobody waits for any more.
    pub fn forget_command(&mut self, id: u32) {
        self.commands.remove(&id);
    }

    /// Takes the result of a command; `None` while it is not known. A command with a result is forgotten
    /// afterwards.
    pub fn take_result(&mut self, id: u32) -> Option<CommandResult> {
        let result = self.commands.get(&id)?.result?;
        self.commands.remove(&id);
        Some(result)
    }

    /// The plan as seen by this pooler.
    #[must_use]
    pub fn view(&self, now: Time) -> PlanView {
        let mut view = PlanView {
            mode: self.current.mode,
            revision: self.current.revision(),
            leads: self.leadership.as_ref().is_some_and(|leadership| leadership.writer.committed().is_some()),
            blank: self.store.as_ref().is_some_and(VoterStore::is_blank),
            started: self.started,
            ..PlanView::default()
        };
        let Some((plan, record)) = self.current_plan() else { return view };
        (view.plan, view.kind) = (record.plan, plan.kind);
        let stale = Span(self.setup.heartbeat_interval.0 * STALE_INTERVALS);
        if self.leadership.is_some() {
            let is_heard = |number: &u16| {
                self.processes
                    .get(number)
                    .and_then(|incarnations| incarnations.last())
                    .is_some_and(|process| now - process.heard_at < stale)
            };
            view.silent_poolers = (0..self.setup.fleet).filter(|number| !is_heard(number)).collect();
        }
        for (index, machine) in plan.machines.iter().enumerate() {
            let state = record.states.get(index).copied().unwrap_or_default();
            let state_since =
                self.leadership.as_ref().map_or(&self.state_since, |leadership| &leadership.state_since);
            let leadership = self.leadership.as_ref();
            view.machines.push(MachineView {
                machine: *machine,
                state,
                elapsed: state_since.get(index).map_or(Span(0), |since| now - *since),
                wait_reason: leadership.and_then(|leadership| leadership.wait_reasons.get(&index).cloned()),
                unconfirmed: leadership
                    .filter(|_| state.is_leaving())
                    .map_or(Vec::new(), |_| self.unconfirmed_poolers(plan, index)),
            });
        }
        view
    }

    /// Poolers that have not confirmed that they have nothing at a machine. Only heartbeats about a record of
    /// the present holder count.
    fn unconfirmed_poolers(&self, plan: &Plan, index: usize) -> Vec<u16> {
        let Some((leadership, own_revision)) = self
            .leadership
            .as_ref()
            .and_then(|leadership| Some((leadership, leadership.first_own_revision?)))
        else {
            return Vec::new();
        };
        // Heartbeats from before the machine's latest departure say nothing of now.
        let own_revision = own_revision
            .max((own_revision.0, leadership.departure_versions.get(index).copied().unwrap_or(0)));
        let confirms = |process: &ProcessState| {
            let revision = (process.heartbeat.token, process.heartbeat.version);
            process.heartbeat.plan == self.current.plan
                && revision >= own_revision
                && process.heartbeat.clear.has(index)
        };
        let clear = |number: &u16| {
            self.processes
                .get(number)
                .is_some_and(|incarnations| !incarnations.is_empty() && incarnations.iter().all(confirms))
        };
        if plan.kind == MachineKind::Poolers {
            let machine = plan.machines.get(index).and_then(|id| u16::try_from(*id).ok());
            return machine.into_iter().filter(|number| !clear(number)).collect();
        }
        (0..self.setup.fleet).filter(|number| !clear(number)).collect()
    }

    /// Handles a message from another pooler, or from this one.
    pub fn receive(&mut self, now: Time, from: PoolerInstance, message: Message) {
        self.handle(now, from, message);
        self.handle_local(now);
    }

    /// Does what is due: to be called several times per heartbeat interval, and whenever something has changed.
    pub fn tick(&mut self, now: Time, local: &LocalState, facts: &dyn Fn(MachineKind) -> FleetInfo) {
        let half = Span(self.setup.heartbeat_interval.0 / 2);
        if now - self.last_query >= half {
            self.last_query = now;
            self.query_voters();
            self.fetch_plan();
        }
        self.update_leadership(now, local);
        self.run_leadership(now, facts);
        self.handle_local(now);
        self.send_commands(now, half, local.holder);
        self.send_heartbeat(now, local);
        self.handle_local(now);
    }

    /// Sends the reads of a start and of a blank voter, until both are complete.
    fn query_voters(&mut self) {
        self.round = self.round.wrapping_add(1);
        let round = self.round;
        if let Some(message) = self.store.as_mut().and_then(|store| store.recovery_read(round)) {
            let others: Vec<u16> =
                self.voters.iter().copied().filter(|voter| *voter != self.setup.me.number).collect();
            for voter in others {
                self.send(voter, message.clone());
            }
        }
        if !self.started {
            self.start_read = (round, BTreeMap::new());
            let message = Message::Read { round, promise: Token(0), memory_id: 0 };
            // A blank voter has just sent the same read to the others, and their answers count for both.
            let blank = self.store.as_ref().is_some_and(VoterStore::is_blank);
            for voter in self.voters.clone() {
                if !blank || voter == self.setup.me.number {
                    self.send(voter, message.clone());
                }
            }
        }
    }

    /// Requests the machines of the current plan if they are not known.
    fn fetch_plan(&mut self) {
        let id = self.current.plan;
        if id != PlanId::NONE && !self.plans.contains_key(&id) {
            let index = self.partial_plans.get(&id).map_or(0, PartialPlan::first_missing);
            self.send(self.plan_source, Message::FetchPlan { plan: id, index: index as u16 });
        }
    }

    fn update_leadership(&mut self, now: Time, local: &LocalState) {
        let held = self.leadership.as_ref().map(|leadership| leadership.writer.token());
        self.superseded |=
            self.leadership.as_ref().is_some_and(|leadership| leadership.writer.is_superseded());
        if local.token == held && !self.superseded {
            return;
        }
        self.leadership = None;
        let Some(token) = local.token else { return };
        if token <= self.last_led {
            self.superseded = true;
            return;
        }
        (self.last_led, self.superseded) = (token, false);
        self.round = self.round.wrapping_add(1);
        self.leadership = Some(Leadership {
            writer: Writer::new(token, self.round, self.voters.clone()),
            led_since: now,
            plan_since: now,
            state_since: Vec::new(),
            wait_reasons: BTreeMap::new(),
            published_at: BTreeMap::new(),
            sent_at: Time(i64::MIN / 4),
            uncommitted_replies: VecDeque::new(),
            first_own_revision: None,
            departure_versions: Vec::new(),
        });
    }

    fn run_leadership(&mut self, now: Time, facts: &dyn Fn(MachineKind) -> FleetInfo) {
        let half = Span(self.setup.heartbeat_interval.0 / 2);
        let Some(leadership) = &mut self.leadership else { return };
        if let Some(record) = leadership.writer.recovered().cloned() {
            // A majority of voters has lost its memory: this pooler may remember the record; if not, others
            // report it.
            let lost = record.plan == PlanId::NONE && self.current.plan != PlanId::NONE;
            let record = if lost { self.current.clone() } else { record };
            let plan_known = record.plan == PlanId::NONE || self.plans.contains_key(&record.plan);
            if plan_known {
                leadership.state_since = vec![now; record.states.len()];
                leadership.writer.write(record);
                leadership.sent_at = Time(i64::MIN / 4);
            } else {
                // The voters know the machines; who published the record last may be dead.
                let index = self.partial_plans.get(&record.plan).map_or(0, PartialPlan::first_missing);
                let me = self.setup.me.number;
                let recipients: Vec<u16> = self.voters.iter().copied().filter(|voter| *voter != me).collect();
                if now - leadership.sent_at >= half {
                    leadership.sent_at = now;
                    for voter in recipients {
                        self.send(voter, Message::FetchPlan { plan: record.plan, index: index as u16 });
                    }
                }
                return;
            }
        }
        if let Some(committed) = leadership.writer.committed().cloned() {
            let first = leadership.first_own_revision.is_none();
            leadership.first_own_revision.get_or_insert(committed.revision());
            if first || committed.revision() > self.current.revision() {
                let replies = std::mem::take(&mut leadership.uncommitted_replies);
                leadership.published_at.clear();
                for (to, id, result) in replies {
                    self.send(to, Message::CommandReply { id, result });
                }
                self.adopt_record(now, self.setup.me.number, &committed);
            }
            self.take_step(now, &committed, facts);
        }
        let Some(leadership) = &mut self.leadership else { return };
        if now - leadership.sent_at >= half {
            leadership.sent_at = now;
            for (voter, message) in leadership.writer.pending_messages() {
                self.send(voter, message);
            }
        }
        self.publish(now);
    }

    /// Takes the plan's next step, if there is one.
    fn take_step(&mut self, now: Time, committed: &Record, facts: &dyn Fn(MachineKind) -> FleetInfo) {
        if committed.mode == Mode::Idle {
            return;
        }
        let Some(plan) = self.plans.get(&committed.plan).cloned() else { return };
        let mut facts = facts(plan.kind);
        // The poolers have to report their load first.
        let known_since = self
            .leadership
            .as_ref()
            .map_or(now, |leadership| leadership.plan_since.max(leadership.led_since));
        let groups: BTreeSet<u16> = facts.machines.iter().map(|info| info.group).collect();
        let intervals = FIRST_STEP_INTERVALS + groups.len().div_ceil(Heartbeat::MAX_LOADS) as i64;
        facts.load_unknown = now - known_since < Span(self.setup.heartbeat_interval.0 * intervals);
        let state_since =
            self.leadership.as_ref().map(|leadership| leadership.state_since.clone()).unwrap_or_default();
        let clear = |index: usize| self.unconfirmed_poolers(&plan, index).is_empty();
        let NextStep { states, mode, wait_reasons } =
            next_step(now, &plan, committed, &state_since, &facts, self.limits(plan.kind), &clear);
        let Some(leadership) = &mut self.leadership else { return };
        leadership.wait_reasons = wait_reasons;
        if states != committed.states || mode != committed.mode {
            self.write_record(now, Record { states, mode, ..committed.clone() });
        }
    }

    fn limits(&self, kind: MachineKind) -> &Limits {
        match kind {
            MachineKind::Servers => &self.setup.server_limits,
            MachineKind::Poolers => &self.setup.pooler_limits,
        }
    }

    /// Starts to store a record in place of the committed one.
    fn write_record(&mut self, now: Time, record: Record) {
        let Some(leadership) = &mut self.leadership else { return };
        let Some(before) = leadership.writer.committed().cloned() else { return };
        if before.plan != record.plan {
            leadership.plan_since = now;
        }
        leadership.state_since.resize(record.states.len(), now);
        leadership.departure_versions.resize(record.states.len(), 0);
        for (index, state) in record.states.iter().enumerate() {
            if before.plan != record.plan || before.states.get(index) != Some(state) {
                leadership.state_since[index] = now;
                if state.is_leaving() {
                    leadership.departure_versions[index] = before.version + 1;
                }
            }
        }
        leadership.writer.write(record);
        // Sends it at once.
        leadership.sent_at = now;
        for (voter, message) in leadership.writer.pending_messages() {
            self.send(voter, message);
        }
    }

    /// Sends the record to the poolers whose heartbeats do not show it. While a plan is active, a pooler that
    /// falls silent is sent the record again: it may have restarted, or may send its heartbeats to somebody else.
    fn publish(&mut self, now: Time) {
        let half = Span(self.setup.heartbeat_interval.0 / 2);
        let stale = Span(self.setup.heartbeat_interval.0 * STALE_INTERVALS);
        let Some(leadership) = &mut self.leadership else { return };
        let Some(record) = leadership.writer.committed().cloned() else { return };
        let me = self.setup.me.number;
        let mut to = Vec::new();
        for number in (0..self.setup.fleet).filter(|number| *number != me) {
            let knows = self.processes.get(&number).and_then(|incarnations| incarnations.last()).is_some_and(
                |process| {
                    let is_current =
                        (process.heartbeat.token, process.heartbeat.version) == record.revision();
                    let is_recent = record.mode == Mode::Idle || now - process.heard_at < stale;
                    process.heartbeat.plan == record.plan && is_current && is_recent
                },
            );
            let last_published = leadership.published_at.get(&number).copied();
            if !knows && last_published.is_none_or(|last_published| now - last_published >= half) {
                to.push(number);
                leadership.published_at.insert(number, now);
            }
        }
        for number in to {
            self.send(number, Message::Publish { record: record.clone() });
        }
    }

    /// Sends waiting commands to whoever may hold the lease: by this pooler's record, and by the voters'
    /// answers.
    fn send_commands(&mut self, now: Time, half: Span, holder: Option<u16>) {
        let mut messages = Vec::new();
        for (number, pending) in &mut self.commands {
            if pending.result.is_none() && now - pending.sent_at >= half {
                pending.sent_at = now;
                messages.push(Message::Command {
                    id: *number,
                    command: pending.command,
                    plan: pending.plan,
                    index: pending.index,
                });
            }
        }
        for message in messages {
            let to: BTreeSet<u16> =
                [self.heartbeat_target(holder), self.setup.me.number].into_iter().chain(holder).collect();
            for number in to {
                self.send(number, message.clone());
            }
        }
    }

    /// Sends a heartbeat if one is due.
    fn send_heartbeat(&mut self, now: Time, local: &LocalState) {
        let heartbeat = Heartbeat {
            plan: self.current.plan,
            token: self.current.token,
            version: self.current.version,
            clear: if self.current_plan().is_some() && self.started {
                local.clear.clone()
            } else {
                MachineSet::default()
            },
            blank: self.store.as_ref().is_some_and(VoterStore::is_blank),
            zone: local.zone,
            failing: local.failing.iter().copied().take(Heartbeat::MAX_FAILING).collect(),
            loads: Vec::new(),
        };
        let changed = self.last_heartbeat.as_ref().is_none_or(|last| {
            (last.plan, last.token, last.version, &last.clear, last.blank)
                != (heartbeat.plan, heartbeat.token, heartbeat.version, &heartbeat.clear, heartbeat.blank)
        });
        // Without a plan the holder needs only the first heartbeat. If `clear` was determined for an older
        // record, the heartbeat has to wait until it is about this one.
        let clear_is_outdated = local.clear_revision != self.current.revision();
        if !changed && now < self.heartbeat_due || self.current.token == Token(0) || clear_is_outdated {
            return;
        }
        let interval = if self.is_active() {
            self.setup.heartbeat_interval.0
        } else {
            self.setup.heartbeat_interval.0 * 60
        };
        self.heartbeat_due =
            now + Span(interval - interval / 8 + (self.rng.next_u64() >> 1) as i64 % (interval / 4).max(1));
        self.last_heartbeat = Some(heartbeat.clone());
        // Groups take turns where one heartbeat has no room for all.
        let first = self.next_load % local.loads.len().max(1);
        let loads = local.loads.iter().cycle().skip(first).take(local.loads.len().min(Heartbeat::MAX_LOADS));
        let heartbeat = Heartbeat { loads: loads.copied().collect(), ..heartbeat };
        self.next_load = first + Heartbeat::MAX_LOADS;
        self.send(self.heartbeat_target(local.holder), Message::Heartbeat(heartbeat));
    }

    fn handle(&mut self, now: Time, from: PoolerInstance, message: Message) {
        match message {
            Message::Read { round, promise, memory_id } => {
                let Some(store) = &mut self.store else { return };
                let answer = store.read(from.number, round, promise, memory_id);
                self.send(from.number, answer);
            }
            Message::ReadReply { round, memory_id, blank, promised, record } => {
                self.on_read_reply(now, from.number, (round, memory_id, blank), promised, record);
            }
            Message::Write { memory_ids, record } => {
                let plan_known = record.plan == PlanId::NONE || self.plans.contains_key(&record.plan);
                let Some(store) = &mut self.store else { return };
                if !plan_known {
                    let index = self.partial_plans.get(&record.plan).map_or(0, PartialPlan::first_missing);
                    self.send(from.number, Message::FetchPlan { plan: record.plan, index: index as u16 });
                    return;
                }
                let answer = store.write(&self.voters, &memory_ids, &record);
                self.send(from.number, answer);
            }
            Message::WriteReply { token, version, memory_id, refused, promised } => {
                let Some(leadership) = &mut self.leadership else { return };
                leadership.writer.on_write_reply(
                    &self.voter_set,
                    from.number,
                    (token, version),
                    memory_id,
                    refused,
                    promised,
                );
            }
            Message::Publish { record } => {
                self.adopt_record(now, from.number, &record);
                if record.revision() == self.current.revision() {
                    self.publisher = Some(from.number);
                }
                self.restore_record(now, from.number, &record);
            }
            Message::Heartbeat(heartbeat) => self.on_heartbeat(now, from, heartbeat),
            Message::FetchPlan { plan, index } => {
                let Some(known) = self.plans.get(&plan).cloned() else { return };
                let count = known.machines.len() as u16;
                let chunks = known
                    .machines
                    .chunks(MACHINES_PER_CHUNK)
                    .enumerate()
                    .skip(usize::from(index) / MACHINES_PER_CHUNK);
                for (chunk, machines) in chunks.take(MAX_CHUNKS_PER_REPLY) {
                    let (kind, nonce, index) = (known.kind, known.nonce, (chunk * MACHINES_PER_CHUNK) as u16);
                    let machines = machines.to_vec();
                    self.send(from.number, Message::PlanChunk { plan, kind, nonce, count, index, machines });
                }
            }
            Message::PlanChunk { plan, kind, nonce, count, index, machines } => {
                if usize::from(count) <= MAX_MACHINES {
                    let partial_plan = PartialPlan { kind, nonce, machines: vec![None; count.into()] };
                    self.on_plan_chunk(from.number, plan, partial_plan, index, &machines);
                }
            }
            Message::Command { id, command, plan, index } => {
                self.on_command(now, from.number, id, command, plan, index)
            }
            Message::CommandReply { id, result } => {
                if let Some(pending) =
                    self.commands.get_mut(&id).filter(|_| result != CommandResult::NotHolder)
                {
                    pending.result.get_or_insert(result);
                }
            }
        }
    }

    fn on_read_reply(
        &mut self,
        now: Time,
        from: u16,
        (round, memory_id, blank): (u32, u32, bool),
        promised: Token,
        record: Record,
    ) {
        if let Some(store) = &mut self.store {
            store.on_read_reply(&self.voter_set, from, round, blank, promised, &record);
        }
        if !self.started && round == self.start_read.0 {
            self.start_read.1.insert(from, (blank, record.clone()));
            let voted: BTreeSet<u16> =
                self.start_read.1.iter().filter(|(_, (blank, _))| !blank).map(|(voter, _)| *voter).collect();
            let store_ready = self.store.as_ref().is_none_or(|store| !store.is_blank());
            if self.voter_set.is_quorum::<FullLeaseRules>(&voted) && store_ready {
                let newest = self.start_read.1.iter().max_by_key(|(_, (_, record))| record.revision());
                let newest = newest.map(|(voter, (_, record))| (*voter, record.clone()));
                self.started = true;
                if let Some((voter, record)) = newest {
                    self.adopt_record(now, voter, &record);
                }
                // The start is complete only when the machines of the current plan are known.
                self.started = self.current.plan == PlanId::NONE
                    || self.current.mode == Mode::Idle
                    || self.plans.contains_key(&self.current.plan);
            }
        }
        if let Some(leadership) = &mut self.leadership {
            leadership.writer.on_read_reply(
                &self.voter_set,
                from,
                (round, memory_id),
                blank,
                promised,
                record,
            );
        }
    }

    fn on_heartbeat(&mut self, now: Time, from: PoolerInstance, mut heartbeat: Heartbeat) {
        let loads = std::mem::take(&mut heartbeat.loads);
        let stale = Span(self.setup.heartbeat_interval.0 * STALE_INTERVALS);
        let incarnations = self.processes.entry(from.number).or_default();
        match incarnations.iter_mut().find(|process| process.incarnation == from.incarnation) {
            // Datagrams may be reordered: of one incarnation the later record counts.
            Some(process) => {
                process.update_loads(now, &loads);
                if (heartbeat.token, heartbeat.version)
                    >= (process.heartbeat.token, process.heartbeat.version)
                {
                    (process.heartbeat, process.heard_at) = (heartbeat, now);
                }
            }
            None => {
                incarnations.retain(|process| now - process.heard_at < stale);
                if incarnations.len() == MAX_INCARNATIONS {
                    incarnations.remove(0);
                }
                let mut process = ProcessState {
                    incarnation: from.incarnation,
                    loads: BTreeMap::new(),
                    heartbeat,
                    heard_at: now,
                };
                process.update_loads(now, &loads);
                incarnations.push(process);
            }
        }
        // The incarnation heard last speaks for all processes of its pooler and is kept; others are dropped
        // when they are stale. The latest heartbeat decides, not the order of arrival of the first ones, since
        // a late datagram of an earlier incarnation may arrive after the first one of its successor.
        incarnations.sort_by_key(|process| process.heard_at);
        let newest = incarnations.last().map(|process| process.incarnation);
        incarnations.retain(|process| Some(process.incarnation) == newest || now - process.heard_at < stale);
    }

    fn on_plan_chunk(
        &mut self,
        from: u16,
        plan: PlanId,
        mut partial_plan: PartialPlan,
        index: u16,
        machines: &[u64],
    ) {
        let wanted = plan == self.current.plan || self.leadership.is_some() || self.store.is_some();
        if self.plans.contains_key(&plan) || !wanted {
            return;
        }
        if self.partial_plans.len() >= MAX_PLANS && !self.partial_plans.contains_key(&plan) {
            self.partial_plans.clear();
        }
        let known = self.partial_plans.entry(plan).or_insert_with(|| std::mem::take(&mut partial_plan));
        for (slot, machine) in known.machines.iter_mut().skip(index.into()).zip(machines) {
            *slot = Some(*machine);
        }
        if let Some(complete) = known.complete() {
            self.partial_plans.remove(&plan);
            // The id is a hash of the contents.
            if complete.id() == plan {
                self.remember_plan(complete);
                self.last_query = Time(i64::MIN / 4);
            }
        } else if known.first_missing() >= usize::from(index) + machines.len()
            && known.first_missing() % (MACHINES_PER_CHUNK * MAX_CHUNKS_PER_REPLY) == 0
        {
            let index = known.first_missing() as u16;
            self.send(from, Message::FetchPlan { plan, index });
        }
    }

    fn remember_plan(&mut self, plan: Plan) {
        let id = plan.id();
        if self.plans.insert(id, plan).is_none() {
            self.plan_order.push_back(id);
        }
        while self.plan_order.len() > MAX_PLANS {
            let Some(oldest) = self.plan_order.pop_front() else { return };
            if oldest == self.current.plan {
                self.plan_order.push_back(oldest);
            } else {
                self.plans.remove(&oldest);
            }
        }
    }

    fn adopt_record(&mut self, now: Time, from: u16, record: &Record) {
        if record.revision() < self.current.revision() {
            return;
        }
        // All voters have lost their memory, and this pooler has not: machines that it knows to be out stay
        // out, and it reports the record.
        if record.plan == PlanId::NONE && self.current.plan != PlanId::NONE {
            self.send(from, Message::Publish { record: self.current.clone() });
            return;
        }
        if record.revision() == self.current.revision() {
            if from != self.setup.me.number {
                self.plan_source = from;
            }
            return;
        }
        self.plan_source = from;
        if record.token != self.current.token {
            self.publisher = None;
        }
        self.state_since.resize(record.states.len(), now);
        for (index, state) in record.states.iter().enumerate() {
            if self.current.plan != record.plan || self.current.states.get(index) != Some(state) {
                self.state_since[index] = now;
            }
        }
        self.current = record.clone();
        self.last_query = Time(i64::MIN / 4);
    }

    /// Restores a plan that the voters have forgotten and another pooler remembers.
    fn restore_record(&mut self, now: Time, from: u16, record: &Record) {
        let committed = self.leadership.as_ref().and_then(|leadership| leadership.writer.committed());
        if record.plan == PlanId::NONE || committed.is_none_or(|committed| committed.plan != PlanId::NONE) {
            return;
        }
        if self.plans.contains_key(&record.plan) {
            self.write_record(now, record.clone());
        } else {
            let index = self.partial_plans.get(&record.plan).map_or(0, PartialPlan::first_missing) as u16;
            self.send(from, Message::FetchPlan { plan: record.plan, index });
        }
    }

    fn on_command(&mut self, now: Time, from: u16, id: u32, command: Command, plan: PlanId, index: u16) {
        let Some(leadership) = &mut self.leadership else {
            return self.send(from, Message::CommandReply { id, result: CommandResult::NotHolder });
        };
        if leadership.uncommitted_replies.iter().any(|(sender, number, _)| (*sender, *number) == (from, id)) {
            return;
        }
        // While a write is pending there is no answer: the sender repeats the command.
        let Some(committed) = leadership.writer.committed().cloned() else { return };
        let outcome = self.evaluate_command(now, from, &committed, command, plan, usize::from(index));
        match outcome {
            None => {}
            Some((result, None)) => self.send(from, Message::CommandReply { id, result }),
            Some((result, Some(record))) => {
                if let Some(leadership) = &mut self.leadership {
                    leadership.uncommitted_replies.push_back((from, id, result));
                }
                self.write_record(now, record);
            }
        }
    }

    /// The result of a command, and the record to be stored before it is sent; `None` if the sender has to
    /// repeat the command.
    fn evaluate_command(
        &mut self,
        now: Time,
        from: u16,
        committed: &Record,
        command: Command,
        plan: PlanId,
        index: usize,
    ) -> Option<(CommandResult, Option<Record>)> {
        if command == Command::Submit {
            if committed.plan == plan {
                return Some((CommandResult::Done, None));
            }
            if committed.mode != Mode::Idle {
                return Some((CommandResult::Busy, None));
            }
            // Where the voters have lost their memory, others first get time to report the plan that they
            // remember.
            let since = self.leadership.as_ref().map_or(now, |leadership| leadership.led_since);
            if committed.plan == PlanId::NONE
                && now - since < Span(self.setup.heartbeat_interval.0 * NEW_PLAN_DELAY_INTERVALS)
            {
                return None;
            }
            let Some(known) = self.plans.get(&plan) else {
                let index = self.partial_plans.get(&plan).map_or(0, PartialPlan::first_missing) as u16;
                self.send(from, Message::FetchPlan { plan, index });
                return None;
            };
            let states = vec![MachineState::Waiting; known.machines.len()];
            return Some((
                CommandResult::Done,
                Some(Record { plan, mode: Mode::Running, states, ..committed.clone() }),
            ));
        }
        if committed.plan != plan || plan == PlanId::NONE {
            return Some((CommandResult::NotFound, None));
        }
        let change_mode = |from: &[Mode], to: Mode| {
            if committed.mode == to {
                (CommandResult::Done, None)
            } else if from.contains(&committed.mode) {
                (CommandResult::Done, Some(Record { mode: to, ..committed.clone() }))
            } else {
                (CommandResult::InvalidState, None)
            }
        };
        match command {
            Command::Pause => return Some(change_mode(&[Mode::Running], Mode::Paused)),
            Command::Resume => return Some(change_mode(&[Mode::Paused], Mode::Running)),
            Command::Cancel => return Some(change_mode(&[Mode::Running, Mode::Paused], Mode::Cancelled)),
            _ => {}
        }
        let Some(state) = committed.states.get(index).copied() else {
            return Some((CommandResult::NotFound, None));
        };
        let to = match (command, state) {
            (Command::Skip, MachineState::Waiting | MachineState::Forced | MachineState::HandingOver) => {
                MachineState::Skipped
            }
            (Command::Skip, state) if state.is_leaving() || state.is_free() => MachineState::Skipped,
            (Command::Force, MachineState::Waiting | MachineState::HandingOver)
                if committed.mode == Mode::Running =>
            {
                MachineState::Forced
            }
            // By forcing it the operator vouches that poolers that are not heard send nothing there.
            (Command::Force, state) if state.is_leaving() => MachineState::ForcedFree,
            (Command::Begin, state) if state.is_free() => {
                // A machine that became free under an earlier holder must be confirmed free under this one: a
                // pooler may have restarted since.
                let known = self.plans.get(&plan)?;
                if state == MachineState::Free && !self.unconfirmed_poolers(known, index).is_empty() {
                    return None;
                }
                MachineState::AtWork
            }
            (Command::Done, MachineState::AtWork) => MachineState::Warming,
            // A retry after a lost answer.
            (Command::Skip, MachineState::Skipped)
            | (
                Command::Force,
                MachineState::Forced | MachineState::ForcedLeaving | MachineState::ForcedFree,
            )
            | (Command::Begin, MachineState::AtWork)
            | (Command::Done, MachineState::Warming | MachineState::Back) => {
                return Some((CommandResult::Done, None));
            }
            _ => return Some((CommandResult::InvalidState, None)),
        };
        let mut record = committed.clone();
        record.states[index] = to;
        Some((CommandResult::Done, Some(record)))
    }

    /// Whether the limits can ever be met for a plan, as far as this pooler knows.
    ///
    /// # Errors
    ///
    /// The index of the first machine that may never go out, and why.
    pub fn check_feasible(&self, plan: PlanId, facts: &FleetInfo) -> Result<(), (usize, WaitReason)> {
        self.plans.get(&plan).map_or(Ok(()), |plan| check_feasible(plan, facts, self.limits(plan.kind)))
    }

    fn send(&mut self, to: u16, message: Message) {
        if to == self.setup.me.number {
            self.local_queue.push_back(message);
        } else {
            self.outgoing.push((To::One(to.into()), message));
        }
    }

    /// Handles what this pooler has sent to itself.
    fn handle_local(&mut self, now: Time) {
        // Each message leads to at most one more; the bound prevents an endless loop in case of a bug.
        for _ in 0..64 {
            let Some(message) = self.local_queue.pop_front() else { return };
            self.handle(now, self.setup.me, message);
        }
    }
}
