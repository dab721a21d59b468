//! All of one pooler: its part in keeping the record, the plan's steps if it holds the lease, what it acts on itself, and staff's calls.

use super::order::{FleetInfo, Limits, NextStep, WaitReason, check_feasible, next_step};
use super::record::{
    Command, CommandResult, GroupLoad, Heartbeat, MAX_MACHINES, MachineKind, MachineSet, MachineState,
    Message, Mode, PART, Plan, PlanId, Record,
};
use super::register::{RegisterRules, VoterStore, Writer};
use crate::lease::{FullLeaseRules, PoolerInstance, Token, VoterSet};
use linnetdeal_core::peers::To;
use linnetdeal_core::{Span, Time};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Plans that are remembered, the latest.
const MOST_PLANS: usize = 4;
/// Calls of staff that wait at one pooler.
const MOST_CALLS: usize = 32;
/// A call is given up after so many words' time.
const CALL_WORDS: i64 = 40;
/// Groups that one pooler is heard to bear something of.
const MOST_GROUPS: usize = 1_024;
/// Lives of one pooler that are told apart.
const MOST_LIVES: usize = 4;
/// A holder that finds no plan takes none for so many words' time, in which others may tell of one.
const COPIES: i64 = 4;
/// The first step waits for so many words' time, and for as many as it takes a pooler to tell of all groups: until then too little is
/// known of load and poolers.
const FIRST_WORDS: i64 = 3;
/// A word older than so many words' time says nothing of load.
const STALE: i64 = 10;
/// Letters with machines that answer one question.
const PARTS_AT_ONCE: usize = 12;

/// How a pooler takes part.
#[derive(Clone, Debug, PartialEq)]
pub struct CoordinatorSetup {
    /// This life of this pooler.
    pub me: PoolerInstance,
    /// For what is drawn by chance.
    pub seed: u64,
    /// How many poolers the platform names.
    pub fleet: u16,
    /// The voters.
    pub voters: BTreeSet<u16>,
    /// Sets that other processes may still go by.
    pub previous: Vec<BTreeSet<u16>>,
    /// A word is said so often while a plan is under way; letters without an answer are sent again after half of it.
    pub heartbeat_interval: Span,
    /// A pooler that starts waits so long for a majority of voters before it serves by what it has heard.
    pub start_timeout: Span,
    /// What must hold while servers are out.
    pub server_limits: Limits,
    /// What must hold while poolers are.
    pub pooler_limits: Limits,
}

/// What the host knows of this pooler when it has things done.
#[derive(Clone, Debug, Default)]
pub struct LocalState {
    /// The lease's token, if it is held now.
    pub token: Option<Token>,
    /// Who holds the lease, as far as is known.
    pub holder: Option<u16>,
    /// By the plan's machines: nothing is out and nothing idle there, in any process of this pooler.
    pub clear: MachineSet,
    /// The age of the record that `clear` is about.
    pub clear_revision: (Token, u32),
    /// What stands for its zone.
    pub zone: u16,
    /// Servers that fail it.
    pub failing: Vec<u64>,
    /// What it bears.
    pub loads: Vec<GroupLoad>,
}

/// A machine of the plan as shown.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineView {
    /// What stands for it.
    pub machine: u64,
    /// How far it is.
    pub state: MachineState,
    /// How long it has been so, as far as this pooler knows.
    pub elapsed: Span,
    /// Why it waits; only its holder knows.
    pub wait_reason: Option<WaitReason>,
    /// Poolers that have not said that they have nothing there; only the holder knows.
    pub unconfirmed: Vec<u16>,
}

/// The plan as shown.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlanView {
    /// The plan.
    pub plan: PlanId,
    /// What its machines are.
    pub kind: MachineKind,
    /// How it goes on.
    pub mode: Mode,
    /// Its machines.
    pub machines: Vec<MachineView>,
    /// The record's age.
    pub revision: (Token, u32),
    /// Whether this pooler holds the lease and has read what there is.
    pub leads: bool,
    /// This pooler is a voter that knows nothing yet.
    pub blank: bool,
    /// This pooler knows what is out.
    pub started: bool,
    /// Poolers that were not heard lately; only the holder knows.
    pub silent_poolers: Vec<u16>,
}

#[derive(Clone, Debug, Default)]
struct Parts {
    kind: MachineKind,
    nonce: u64,
    machines: Vec<Option<u64>>,
}

impl Parts {
    fn whole(&self) -> Option<Plan> {
        let machines: Option<Vec<u64>> = self.machines.iter().copied().collect();
        Some(Plan { kind: self.kind, machines: machines?, nonce: self.nonce })
    }

    fn lacks(&self) -> usize {
        self.machines.iter().position(Option::is_none).unwrap_or(self.machines.len())
    }
}

#[derive(Clone, Debug)]
struct Heard {
    life: u64,
    word: Heartbeat,
    at: Time,
    /// What it bears, by group, and when it said so: one word has room for some of them.
    loads: BTreeMap<u16, (GroupLoad, Time)>,
}

impl Heard {
    fn take_loads(&mut self, now: Time, loads: &[GroupLoad]) {
        for load in loads {
            if self.loads.len() < MOST_GROUPS || self.loads.contains_key(&load.group) {
                self.loads.insert(load.group, (*load, now));
            }
        }
    }
}

struct Call {
    verb: Command,
    plan: PlanId,
    at: u16,
    until: Time,
    sent: Time,
    said: Option<CommandResult>,
}

/// What a holder has beside what is written.
struct Lead<K> {
    writer: Writer<K>,
    since: Time,
    /// When the plan began under it.
    begun: Time,
    /// Since when each machine is in its state.
    times: Vec<Time>,
    waits: BTreeMap<usize, WaitReason>,
    /// Who was told the record, by its age.
    told: BTreeMap<u16, Time>,
    sent: Time,
    /// What staff have called for that is not stored yet.
    calls: VecDeque<(u16, u32, CommandResult)>,
    /// The first record that is this holder's own.
    own: Option<(Token, u32)>,
    /// The version with which each machine left, where this holder has taken it out.
    left: Vec<u32>,
}

/// One pooler.
pub struct Coordinator<K> {
    setup: CoordinatorSetup,
    voter_set: VoterSet,
    voters: BTreeSet<u16>,
    store: Option<VoterStore<K>>,
    lead: Option<Lead<K>>,
    /// The highest token that it has led with: with none twice, so that no two records are of one age.
    led: Token,
    /// Somebody with a later token has been heard of: the lease is of no more use.
    beaten: bool,
    plans: BTreeMap<PlanId, Plan>,
    partial: BTreeMap<PlanId, Parts>,
    order: VecDeque<PlanId>,
    /// The newest that a majority has stored, as far as is known.
    heard: Record,
    /// Who knows the machines of its plan.
    heard_from: u16,
    /// Who told of it, and so waits for this pooler's words; nobody yet where it was read from voters, who don't say whose it is.
    told_by: Option<u16>,
    times: Vec<Time>,
    started: bool,
    began: Time,
    /// What voters have said to a start: round and answers.
    start: (u32, BTreeMap<u16, (bool, Record)>),
    words: BTreeMap<u16, Vec<Heard>>,
    calls: BTreeMap<u32, Call>,
    next_call: u32,
    round: u32,
    word_due: Time,
    asked: Time,
    last_word: Option<Heartbeat>,
    /// The place of the load that the next word begins with.
    next_load: usize,
    out: Vec<(To, Message)>,
    own: VecDeque<Message>,
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
            lead: None,
            led: Token(0),
            beaten: false,
            plans: BTreeMap::new(),
            partial: BTreeMap::new(),
            order: VecDeque::new(),
            heard: Record::default(),
            heard_from: setup.me.number,
            told_by: None,
            times: Vec::new(),
            started: false,
            began: now,
            start: (0, BTreeMap::new()),
            words: BTreeMap::new(),
            calls: BTreeMap::new(),
            next_call: rng.next_u32(),
            round: rng.next_u32(),
            word_due: now,
            asked: Time(i64::MIN / 4),
            last_word: None,
            next_load: 0,
            out: Vec::new(),
            own: VecDeque::new(),
            rng,
            setup,
        }
    }

    /// Whether the lease that is held is of no more use, since somebody with a later token has been heard of. Said once.
    pub fn take_superseded(&mut self) -> bool {
        std::mem::take(&mut self.beaten)
    }

    /// Letters to be sent.
    pub fn take_messages(&mut self) -> Vec<(To, Message)> {
        std::mem::take(&mut self.out)
    }

    /// Whether this pooler knows what is out: before that it serves nobody.
    #[must_use]
    pub fn has_started(&self) -> bool {
        self.started
    }

    /// Another process of this pooler, which lives, knows what is out, and that was adopted.
    pub fn mark_started(&mut self) {
        self.started = true;
    }

    /// The age of the record that this pooler acts on.
    #[must_use]
    pub fn revision(&self) -> (Token, u32) {
        self.heard.revision()
    }

    /// Waited for a majority in vain: it is served by what was heard. True once, when that happens.
    pub fn start_on_timeout(&mut self, now: Time) -> bool {
        let over = !self.started && now - self.began >= self.setup.start_timeout;
        self.started |= over;
        over
    }

    /// The plan and record that this pooler acts on, and the age of that.
    #[must_use]
    pub fn current_plan(&self) -> Option<(&Plan, &Record)> {
        Some((self.plans.get(&self.heard.plan)?, &self.heard))
    }

    /// What another process of this pooler acts on: taken if it is newer.
    pub fn adopt(&mut self, now: Time, plan: Plan, record: &Record) {
        if plan.machines.len() <= MAX_MACHINES && plan.id() == record.plan {
            self.keep(plan);
            self.act_on(now, self.setup.me.number, record);
        }
    }

    /// Who waits for this pooler's words: itself where it leads, who told it of the record, or who holds the lease as far as is known.
    fn speaks_to(&self, holder: Option<u16>) -> u16 {
        let own = self.lead.as_ref().and_then(|lead| lead.own).map(|_| self.setup.me.number);
        own.or(self.told_by).or(holder).unwrap_or(self.heard_from)
    }

    /// Whether a plan is under way, as far as is known.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.heard.mode != Mode::Idle
    }

    /// The token of the lease must not be wanted by a pooler whose own machine is out.
    #[must_use]
    pub fn own_machine_is_out(&self) -> bool {
        self.current_plan().is_some_and(|(plan, record)| {
            plan.kind == MachineKind::Poolers
                && record.out().any(|at| plan.machines.get(at) == Some(&self.setup.me.number.into()))
        })
    }

    /// The poolers' numbers whose zone is known by their words, for facts of a plan of poolers: number, zone, and whether the
    /// pooler was heard lately and is whole.
    #[must_use]
    pub fn poolers(&self, now: Time) -> Vec<(u16, u16, bool)> {
        let stale = Span(self.setup.heartbeat_interval.0 * STALE);
        let of = |number: u16| {
            let last = self.words.get(&number).and_then(|lives| lives.last());
            let zone = last.map_or(0, |heard| heard.word.zone);
            (number, zone, last.is_some_and(|heard| now - heard.at < stale && !heard.word.blank))
        };
        (0..self.setup.fleet).map(of).collect()
    }

    /// What all poolers that were heard lately bear, by group: now, and at the busiest minute of the last hour.
    #[must_use]
    pub fn loads(&self, now: Time) -> BTreeMap<u16, (f64, f64)> {
        let mut loads: BTreeMap<u16, (f64, f64)> = BTreeMap::new();
        for heard in self.words.values().filter_map(|lives| lives.last()) {
            // Each group has its turn once in so many words.
            let turns = heard.loads.len().div_ceil(Heartbeat::MOST_LOADS).max(1) as i64;
            let stale = Span(self.setup.heartbeat_interval.0 * STALE * turns);
            for (load, _) in heard.loads.values().filter(|(_, at)| now - *at < stale) {
                let sum = loads.entry(load.group).or_default();
                sum.0 += f64::from(load.current);
                sum.1 += f64::from(load.peak);
            }
        }
        loads
    }

    /// Servers that so many poolers say fail them.
    #[must_use]
    pub fn failing(&self, now: Time) -> BTreeMap<u64, usize> {
        let stale = Span(self.setup.heartbeat_interval.0 * STALE);
        let mut failing = BTreeMap::new();
        for heard in
            self.words.values().filter_map(|lives| lives.last()).filter(|heard| now - heard.at < stale)
        {
            for of in &heard.word.failing {
                *failing.entry(*of).or_default() += 1;
            }
        }
        failing
    }

    /// A plan of staff's, to be begun; the call that asks for it.
    ///
    /// # Errors
    ///
    /// When it names nothing, too many, or one twice; nothing is asked then.
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
        // Sent again since nobody had answered in time: it may have been taken meanwhile.
        let over = self.heard.mode == Mode::Idle;
        let same = self.plans.iter().find(|(id, plan)| {
            plan.kind == kind && plan.machines == machines && !(over && **id == self.heard.plan)
        });
        let plan = match same {
            Some((_, plan)) => plan.clone(),
            None => Plan { kind, machines, nonce: self.rng.next_u64() },
        };
        let id = plan.id();
        self.keep(plan);
        self.queue_command(now, Command::Submit, id, 0)
            .map(|call| (id, call))
            .ok_or("too many calls are waiting")
    }

    /// Has the holder asked for something; the call's number.
    pub fn queue_command(&mut self, now: Time, verb: Command, plan: PlanId, at: u16) -> Option<u32> {
        self.calls.retain(|_, call| now < call.until);
        if self.calls.len() >= MOST_CALLS {
            return None;
        }
        self.next_call = self.next_call.wrapping_add(1);
        let until = now + Span(self.setup.heartbeat_interval.0 * CALL_WORDS);
        let sent = Time(i64::MIN / 4);
        self.calls.insert(self.next_call, Call { verb, plan, at, until, sent, said: None });
        Some(self.next_call)
    }

    /// Nobody waits for a call any more.
    pub fn forget_command(&mut self, call: u32) {
        self.calls.remove(&call);
    }

    /// How a call came out; `None` while it is not known. A call that was answered is forgotten by this.
    pub fn take_result(&mut self, call: u32) -> Option<CommandResult> {
        let said = self.calls.get(&call)?.said?;
        self.calls.remove(&call);
        Some(said)
    }

    /// The plan as this pooler sees it.
    #[must_use]
    pub fn view(&self, now: Time) -> PlanView {
        let mut view = PlanView {
            mode: self.heard.mode,
            revision: self.heard.revision(),
            leads: self.lead.as_ref().is_some_and(|lead| lead.writer.settled().is_some()),
            blank: self.store.as_ref().is_some_and(VoterStore::is_blank),
            started: self.started,
            ..PlanView::default()
        };
        let Some((plan, record)) = self.current_plan() else { return view };
        (view.plan, view.kind) = (record.plan, plan.kind);
        let stale = Span(self.setup.heartbeat_interval.0 * STALE);
        if self.lead.is_some() {
            let heard = |of: &u16| {
                self.words.get(of).and_then(|lives| lives.last()).is_some_and(|heard| now - heard.at < stale)
            };
            view.silent_poolers = (0..self.setup.fleet).filter(|of| !heard(of)).collect();
        }
        for (at, machine) in plan.machines.iter().enumerate() {
            let state = record.states.get(at).copied().unwrap_or_default();
            let times = self.lead.as_ref().map_or(&self.times, |lead| &lead.times);
            let lead = self.lead.as_ref();
            view.machines.push(MachineView {
                machine: *machine,
                state,
                elapsed: times.get(at).map_or(Span(0), |since| now - *since),
                wait_reason: lead.and_then(|lead| lead.waits.get(&at).cloned()),
                unconfirmed: lead
                    .filter(|_| state.is_leaving())
                    .map_or(Vec::new(), |_| self.missing(plan, at)),
            });
        }
        view
    }

    /// Who has not said that a machine is clear, by the record as its present holder wrote it.
    fn missing(&self, plan: &Plan, at: usize) -> Vec<u16> {
        let Some((lead, own)) = self.lead.as_ref().and_then(|lead| Some((lead, lead.own?))) else {
            return Vec::new();
        };
        // What was said before it left, the last time, says nothing of now.
        let own = own.max((own.0, lead.left.get(at).copied().unwrap_or(0)));
        let says = |heard: &Heard| {
            let age = (heard.word.token, heard.word.version);
            heard.word.plan == self.heard.plan && age >= own && heard.word.clear.has(at)
        };
        let clear = |number: &u16| {
            self.words.get(number).is_some_and(|lives| !lives.is_empty() && lives.iter().all(says))
        };
        if plan.kind == MachineKind::Poolers {
            let machine = plan.machines.get(at).and_then(|of| u16::try_from(*of).ok());
            return machine.into_iter().filter(|number| !clear(number)).collect();
        }
        (0..self.setup.fleet).filter(|number| !clear(number)).collect()
    }

    /// Something of the pooler of this number, by its present life.
    pub fn receive(&mut self, now: Time, from: PoolerInstance, note: Message) {
        self.read(now, from, note);
        self.settle(now);
    }

    /// Does what is due: to be called some times in each word's time, and when something has changed.
    pub fn tick(&mut self, now: Time, own: &LocalState, facts: &dyn Fn(MachineKind) -> FleetInfo) {
        let half = Span(self.setup.heartbeat_interval.0 / 2);
        if now - self.asked >= half {
            self.asked = now;
            self.ask();
            self.fetch();
        }
        self.take_lead(now, own);
        self.lead(now, facts);
        self.settle(now);
        self.send_calls(now, half, own.holder);
        self.say(now, own);
        self.settle(now);
    }

    /// What a start and a blank voter ask, until they know.
    fn ask(&mut self) {
        self.round = self.round.wrapping_add(1);
        let round = self.round;
        if let Some(note) = self.store.as_mut().and_then(|store| store.ask(round)) {
            let others: Vec<u16> =
                self.voters.iter().copied().filter(|of| *of != self.setup.me.number).collect();
            for voter in others {
                self.post(voter, note.clone());
            }
        }
        if !self.started {
            self.start = (round, BTreeMap::new());
            let note = Message::Read { round, promise: Token(0), own: 0 };
            // A blank voter's own question is the same, and its answers count for both.
            let blank = self.store.as_ref().is_some_and(VoterStore::is_blank);
            for voter in self.voters.clone() {
                if !blank || voter == self.setup.me.number {
                    self.post(voter, note.clone());
                }
            }
        }
    }

    /// Asks for the machines of a plan that is named and not known.
    fn fetch(&mut self) {
        let id = self.heard.plan;
        if id != PlanId::NONE && !self.plans.contains_key(&id) {
            let at = self.partial.get(&id).map_or(0, Parts::lacks);
            self.post(self.heard_from, Message::Wants { plan: id, at: at as u16 });
        }
    }

    fn take_lead(&mut self, now: Time, own: &LocalState) {
        let held = self.lead.as_ref().map(|lead| lead.writer.token());
        self.beaten |= self.lead.as_ref().is_some_and(|lead| lead.writer.is_superseded());
        if own.token == held && !self.beaten {
            return;
        }
        self.lead = None;
        let Some(token) = own.token else { return };
        if token <= self.led {
            self.beaten = true;
            return;
        }
        (self.led, self.beaten) = (token, false);
        self.round = self.round.wrapping_add(1);
        self.lead = Some(Lead {
            writer: Writer::new(token, self.round, self.voters.clone()),
            since: now,
            begun: now,
            times: Vec::new(),
            waits: BTreeMap::new(),
            told: BTreeMap::new(),
            sent: Time(i64::MIN / 4),
            calls: VecDeque::new(),
            own: None,
            left: Vec::new(),
        });
    }

    fn lead(&mut self, now: Time, facts: &dyn Fn(MachineKind) -> FleetInfo) {
        let half = Span(self.setup.heartbeat_interval.0 / 2);
        let Some(lead) = &mut self.lead else { return };
        if let Some(record) = lead.writer.has_read().cloned() {
            // A majority that lost its memory: this pooler may have heard of what was there; if not, others tell.
            let lost = record.plan == PlanId::NONE && self.heard.plan != PlanId::NONE;
            let record = if lost { self.heard.clone() } else { record };
            let whole = record.plan == PlanId::NONE || self.plans.contains_key(&record.plan);
            if whole {
                lead.times = vec![now; record.states.len()];
                lead.writer.write(record);
                lead.sent = Time(i64::MIN / 4);
            } else {
                // Its voters know the machines; who told of it last may be dead.
                let at = self.partial.get(&record.plan).map_or(0, Parts::lacks);
                let me = self.setup.me.number;
                let ask: Vec<u16> = self.voters.iter().copied().filter(|of| *of != me).collect();
                if now - lead.sent >= half {
                    lead.sent = now;
                    for voter in ask {
                        self.post(voter, Message::Wants { plan: record.plan, at: at as u16 });
                    }
                }
                return;
            }
        }
        if let Some(settled) = lead.writer.settled().cloned() {
            let first = lead.own.is_none();
            lead.own.get_or_insert(settled.revision());
            if first || settled.revision() > self.heard.revision() {
                let calls = std::mem::take(&mut lead.calls);
                lead.told.clear();
                for (to, call, said) in calls {
                    self.post(to, Message::Reply { call, said });
                }
                self.act_on(now, self.setup.me.number, &settled);
            }
            self.step(now, &settled, facts);
        }
        let Some(lead) = &mut self.lead else { return };
        if now - lead.sent >= half {
            lead.sent = now;
            for (voter, note) in lead.writer.letters() {
                self.post(voter, note);
            }
        }
        self.tell(now);
    }

    /// The plan's next step, if there is one.
    fn step(&mut self, now: Time, settled: &Record, facts: &dyn Fn(MachineKind) -> FleetInfo) {
        if settled.mode == Mode::Idle {
            return;
        }
        let Some(plan) = self.plans.get(&settled.plan).cloned() else { return };
        let mut facts = facts(plan.kind);
        // Each pooler has to say first what it bears.
        let begun = self.lead.as_ref().map_or(now, |lead| lead.begun.max(lead.since));
        let groups: BTreeSet<u16> = facts.machines.iter().map(|of| of.group).collect();
        let words = FIRST_WORDS + groups.len().div_ceil(Heartbeat::MOST_LOADS) as i64;
        facts.load_unknown = now - begun < Span(self.setup.heartbeat_interval.0 * words);
        let lead_times = self.lead.as_ref().map(|lead| lead.times.clone()).unwrap_or_default();
        let clear = |at: usize| self.missing(&plan, at).is_empty();
        let NextStep { states, mode, waits } =
            next_step(now, &plan, settled, &lead_times, &facts, self.limits(plan.kind), &clear);
        let Some(lead) = &mut self.lead else { return };
        lead.waits = waits;
        if states != settled.states || mode != settled.mode {
            self.put(now, Record { states, mode, ..settled.clone() });
        }
    }

    fn limits(&self, kind: MachineKind) -> &Limits {
        match kind {
            MachineKind::Servers => &self.setup.server_limits,
            MachineKind::Poolers => &self.setup.pooler_limits,
        }
    }

    /// Has a record stored in place of the settled one.
    fn put(&mut self, now: Time, record: Record) {
        let Some(lead) = &mut self.lead else { return };
        let Some(before) = lead.writer.settled().cloned() else { return };
        if before.plan != record.plan {
            lead.begun = now;
        }
        lead.times.resize(record.states.len(), now);
        lead.left.resize(record.states.len(), 0);
        for (at, state) in record.states.iter().enumerate() {
            if before.plan != record.plan || before.states.get(at) != Some(state) {
                lead.times[at] = now;
                if state.is_leaving() {
                    lead.left[at] = before.version + 1;
                }
            }
        }
        lead.writer.write(record);
        // At once.
        lead.sent = now;
        for (voter, note) in lead.writer.letters() {
            self.post(voter, note);
        }
    }

    /// Tells those the record that have not said a word of it. While a plan is under way, who was heard and falls silent is told
    /// again: it may have started again since, or speak to somebody else.
    fn tell(&mut self, now: Time) {
        let half = Span(self.setup.heartbeat_interval.0 / 2);
        let stale = Span(self.setup.heartbeat_interval.0 * STALE);
        let Some(lead) = &mut self.lead else { return };
        let Some(record) = lead.writer.settled().cloned() else { return };
        let me = self.setup.me.number;
        let mut to = Vec::new();
        for number in (0..self.setup.fleet).filter(|number| *number != me) {
            let knows = self.words.get(&number).and_then(|lives| lives.last()).is_some_and(|heard| {
                let of_this = (heard.word.token, heard.word.version) == record.revision();
                let lately = record.mode == Mode::Idle || now - heard.at < stale;
                heard.word.plan == record.plan && of_this && lately
            });
            let told = lead.told.get(&number).copied();
            if !knows && told.is_none_or(|told| now - told >= half) {
                to.push(number);
                lead.told.insert(number, now);
            }
        }
        for number in to {
            self.post(number, Message::Tell { record: record.clone() });
        }
    }

    /// A call that waits goes to whoever may hold the lease: by its own record, and by the word of voters.
    fn send_calls(&mut self, now: Time, half: Span, holder: Option<u16>) {
        let mut notes = Vec::new();
        for (number, call) in &mut self.calls {
            if call.said.is_none() && now - call.sent >= half {
                call.sent = now;
                notes.push(Message::Call { call: *number, verb: call.verb, plan: call.plan, at: call.at });
            }
        }
        for note in notes {
            let to: BTreeSet<u16> =
                [self.speaks_to(holder), self.setup.me.number].into_iter().chain(holder).collect();
            for number in to {
                self.post(number, note.clone());
            }
        }
    }

    /// Says what is to be said.
    fn say(&mut self, now: Time, own: &LocalState) {
        let word = Heartbeat {
            plan: self.heard.plan,
            token: self.heard.token,
            version: self.heard.version,
            clear: if self.current_plan().is_some() && self.started {
                own.clear.clone()
            } else {
                MachineSet::default()
            },
            blank: self.store.as_ref().is_some_and(VoterStore::is_blank),
            zone: own.zone,
            failing: own.failing.iter().copied().take(Heartbeat::MOST_FAILING).collect(),
            loads: Vec::new(),
        };
        let changed = self.last_word.as_ref().is_none_or(|last| {
            (last.plan, last.token, last.version, &last.clear, last.blank)
                != (word.plan, word.token, word.version, &word.clear, word.blank)
        });
        // Without a plan, who holds the lease needs no words but the first. What is clear was found out by an older record: the
        // next word is about this one.
        let late = own.clear_revision != self.heard.revision();
        if !changed && now < self.word_due || self.heard.token == Token(0) || late {
            return;
        }
        let pause = if self.is_active() {
            self.setup.heartbeat_interval.0
        } else {
            self.setup.heartbeat_interval.0 * 60
        };
        self.word_due =
            now + Span(pause - pause / 8 + (self.rng.next_u64() >> 1) as i64 % (pause / 4).max(1));
        self.last_word = Some(word.clone());
        // Groups have their turns where one word has no room for all.
        let first = self.next_load % own.loads.len().max(1);
        let loads = own.loads.iter().cycle().skip(first).take(own.loads.len().min(Heartbeat::MOST_LOADS));
        let word = Heartbeat { loads: loads.copied().collect(), ..word };
        self.next_load = first + Heartbeat::MOST_LOADS;
        self.post(self.speaks_to(own.holder), Message::Heartbeat(word));
    }

    fn read(&mut self, now: Time, from: PoolerInstance, note: Message) {
        match note {
            Message::Read { round, promise, own } => {
                let Some(store) = &mut self.store else { return };
                let answer = store.read(from.number, round, promise, own);
                self.post(from.number, answer);
            }
            Message::Seen { round, own, blank, promised, record } => {
                self.seen(now, from.number, (round, own, blank), promised, record);
            }
            Message::Write { numbers, record } => {
                let whole = record.plan == PlanId::NONE || self.plans.contains_key(&record.plan);
                let Some(store) = &mut self.store else { return };
                if !whole {
                    let at = self.partial.get(&record.plan).map_or(0, Parts::lacks);
                    self.post(from.number, Message::Wants { plan: record.plan, at: at as u16 });
                    return;
                }
                let answer = store.write(&self.voters, &numbers, &record);
                self.post(from.number, answer);
            }
            Message::Stored { token, version, own, refused, promised } => {
                let Some(lead) = &mut self.lead else { return };
                lead.writer.stored(&self.voter_set, from.number, (token, version), own, refused, promised);
            }
            Message::Tell { record } => {
                self.act_on(now, from.number, &record);
                if record.revision() == self.heard.revision() {
                    self.told_by = Some(from.number);
                }
                self.copy(now, from.number, &record);
            }
            Message::Heartbeat(word) => self.word(now, from, word),
            Message::Wants { plan, at } => {
                let Some(known) = self.plans.get(&plan).cloned() else { return };
                let count = known.machines.len() as u16;
                let parts = known.machines.chunks(PART).enumerate().skip(usize::from(at) / PART);
                for (part, machines) in parts.take(PARTS_AT_ONCE) {
                    let (kind, nonce, at) = (known.kind, known.nonce, (part * PART) as u16);
                    let machines = machines.to_vec();
                    self.post(from.number, Message::Part { plan, kind, nonce, count, at, machines });
                }
            }
            Message::Part { plan, kind, nonce, count, at, machines } => {
                if usize::from(count) <= MAX_MACHINES {
                    let parts = Parts { kind, nonce, machines: vec![None; count.into()] };
                    self.part(from.number, plan, parts, at, &machines);
                }
            }
            Message::Call { call, verb, plan, at } => self.called(now, from.number, call, verb, plan, at),
            Message::Reply { call, said } => {
                if let Some(call) = self.calls.get_mut(&call).filter(|_| said != CommandResult::NotHolder) {
                    call.said.get_or_insert(said);
                }
            }
        }
    }

    fn seen(
        &mut self,
        now: Time,
        from: u16,
        (round, own, blank): (u32, u32, bool),
        promised: Token,
        record: Record,
    ) {
        if let Some(store) = &mut self.store {
            store.seen(&self.voter_set, from, round, blank, promised, &record);
        }
        if !self.started && round == self.start.0 {
            self.start.1.insert(from, (blank, record.clone()));
            let voted: BTreeSet<u16> =
                self.start.1.iter().filter(|(_, (blank, _))| !blank).map(|(of, _)| *of).collect();
            let own_known = self.store.as_ref().is_none_or(|store| !store.is_blank());
            if self.voter_set.is_quorum::<FullLeaseRules>(&voted) && own_known {
                let newest = self.start.1.iter().max_by_key(|(_, (_, record))| record.revision());
                let newest = newest.map(|(of, (_, record))| (*of, record.clone()));
                self.started = true;
                if let Some((of, record)) = newest {
                    self.act_on(now, of, &record);
                }
                // What is named and not known yet is out all the same, once its machines are.
                self.started = self.heard.plan == PlanId::NONE
                    || self.heard.mode == Mode::Idle
                    || self.plans.contains_key(&self.heard.plan);
            }
        }
        if let Some(lead) = &mut self.lead {
            lead.writer.seen(&self.voter_set, from, (round, own), blank, promised, record);
        }
    }

    fn word(&mut self, now: Time, from: PoolerInstance, mut word: Heartbeat) {
        let loads = std::mem::take(&mut word.loads);
        let stale = Span(self.setup.heartbeat_interval.0 * STALE);
        let lives = self.words.entry(from.number).or_default();
        match lives.iter_mut().find(|heard| heard.life == from.incarnation) {
            // Of one life the later record counts: letters may overtake each other.
            Some(heard) => {
                heard.take_loads(now, &loads);
                if (word.token, word.version) >= (heard.word.token, heard.word.version) {
                    (heard.word, heard.at) = (word, now);
                }
            }
            None => {
                lives.retain(|heard| now - heard.at < stale);
                if lives.len() == MOST_LIVES {
                    lives.remove(0);
                }
                let mut heard = Heard { life: from.incarnation, loads: BTreeMap::new(), word, at: now };
                heard.take_loads(now, &loads);
                lives.push(heard);
            }
        }
        // A life that says no more has made room for the one that was heard last, which speaks for all processes of its place. A letter
        // of an earlier life may come after the first of a later one: what comes first says nothing of who lives.
        lives.sort_by_key(|heard| heard.at);
        let newest = lives.last().map(|heard| heard.life);
        lives.retain(|heard| Some(heard.life) == newest || now - heard.at < stale);
    }

    fn part(&mut self, from: u16, plan: PlanId, mut parts: Parts, at: u16, machines: &[u64]) {
        let wanted = plan == self.heard.plan || self.lead.is_some() || self.store.is_some();
        if self.plans.contains_key(&plan) || !wanted {
            return;
        }
        if self.partial.len() >= MOST_PLANS && !self.partial.contains_key(&plan) {
            self.partial.clear();
        }
        let known = self.partial.entry(plan).or_insert_with(|| std::mem::take(&mut parts));
        for (of, machine) in known.machines.iter_mut().skip(at.into()).zip(machines) {
            *of = Some(*machine);
        }
        if let Some(whole) = known.whole() {
            self.partial.remove(&plan);
            // Its name says what is in it.
            if whole.id() == plan {
                self.keep(whole);
                self.asked = Time(i64::MIN / 4);
            }
        } else if known.lacks() >= usize::from(at) + machines.len()
            && known.lacks() % (PART * PARTS_AT_ONCE) == 0
        {
            let at = known.lacks() as u16;
            self.post(from, Message::Wants { plan, at });
        }
    }

    fn keep(&mut self, plan: Plan) {
        let id = plan.id();
        if self.plans.insert(id, plan).is_none() {
            self.order.push_back(id);
        }
        while self.order.len() > MOST_PLANS {
            let Some(oldest) = self.order.pop_front() else { return };
            if oldest == self.heard.plan {
                self.order.push_back(oldest);
            } else {
                self.plans.remove(&oldest);
            }
        }
    }

    fn act_on(&mut self, now: Time, from: u16, record: &Record) {
        if record.revision() < self.heard.revision() {
            return;
        }
        // All voters have lost their memory, and this pooler has not: what it knows to be out stays out, and is told.
        if record.plan == PlanId::NONE && self.heard.plan != PlanId::NONE {
            self.post(from, Message::Tell { record: self.heard.clone() });
            return;
        }
        if record.revision() == self.heard.revision() {
            if from != self.setup.me.number {
                self.heard_from = from;
            }
            return;
        }
        self.heard_from = from;
        if record.token != self.heard.token {
            self.told_by = None;
        }
        self.times.resize(record.states.len(), now);
        for (at, state) in record.states.iter().enumerate() {
            if self.heard.plan != record.plan || self.heard.states.get(at) != Some(state) {
                self.times[at] = now;
            }
        }
        self.heard = record.clone();
        self.asked = Time(i64::MIN / 4);
    }

    /// Somebody has heard of a plan that the voters have forgotten.
    fn copy(&mut self, now: Time, from: u16, record: &Record) {
        let settled = self.lead.as_ref().and_then(|lead| lead.writer.settled());
        if record.plan == PlanId::NONE || settled.is_none_or(|settled| settled.plan != PlanId::NONE) {
            return;
        }
        if self.plans.contains_key(&record.plan) {
            self.put(now, record.clone());
        } else {
            let at = self.partial.get(&record.plan).map_or(0, Parts::lacks) as u16;
            self.post(from, Message::Wants { plan: record.plan, at });
        }
    }

    fn called(&mut self, now: Time, from: u16, call: u32, verb: Command, plan: PlanId, at: u16) {
        let Some(lead) = &mut self.lead else {
            return self.post(from, Message::Reply { call, said: CommandResult::NotHolder });
        };
        if lead.calls.iter().any(|(of, number, _)| (*of, *number) == (from, call)) {
            return;
        }
        // While something waits to be stored, it is asked again.
        let Some(settled) = lead.writer.settled().cloned() else { return };
        let said = self.answer(now, from, &settled, verb, plan, usize::from(at));
        match said {
            None => {}
            Some((said, None)) => self.post(from, Message::Reply { call, said }),
            Some((said, Some(record))) => {
                if let Some(lead) = &mut self.lead {
                    lead.calls.push_back((from, call, said));
                }
                self.put(now, record);
            }
        }
    }

    /// What is said to a call, and what is to be stored before that; `None` where it is asked again.
    fn answer(
        &mut self,
        now: Time,
        from: u16,
        settled: &Record,
        verb: Command,
        plan: PlanId,
        at: usize,
    ) -> Option<(CommandResult, Option<Record>)> {
        if verb == Command::Submit {
            if settled.plan == plan {
                return Some((CommandResult::Done, None));
            }
            if settled.mode != Mode::Idle {
                return Some((CommandResult::Busy, None));
            }
            // Should the voters have lost their memory, others have had time to say what there was.
            let since = self.lead.as_ref().map_or(now, |lead| lead.since);
            if settled.plan == PlanId::NONE && now - since < Span(self.setup.heartbeat_interval.0 * COPIES) {
                return None;
            }
            let Some(known) = self.plans.get(&plan) else {
                let at = self.partial.get(&plan).map_or(0, Parts::lacks) as u16;
                self.post(from, Message::Wants { plan, at });
                return None;
            };
            let states = vec![MachineState::Waiting; known.machines.len()];
            return Some((
                CommandResult::Done,
                Some(Record { plan, mode: Mode::Running, states, ..settled.clone() }),
            ));
        }
        if settled.plan != plan || plan == PlanId::NONE {
            return Some((CommandResult::NotFound, None));
        }
        let whole = |from: &[Mode], to: Mode| {
            if settled.mode == to {
                (CommandResult::Done, None)
            } else if from.contains(&settled.mode) {
                (CommandResult::Done, Some(Record { mode: to, ..settled.clone() }))
            } else {
                (CommandResult::InvalidState, None)
            }
        };
        match verb {
            Command::Pause => return Some(whole(&[Mode::Running], Mode::Paused)),
            Command::Resume => return Some(whole(&[Mode::Paused], Mode::Running)),
            Command::Cancel => return Some(whole(&[Mode::Running, Mode::Paused], Mode::Cancelled)),
            _ => {}
        }
        let Some(state) = settled.states.get(at).copied() else {
            return Some((CommandResult::NotFound, None));
        };
        let to = match (verb, state) {
            (Command::Skip, MachineState::Waiting | MachineState::Forced | MachineState::HandingOver) => {
                MachineState::Skipped
            }
            (Command::Skip, state) if state.is_leaving() || state.is_free() => MachineState::Skipped,
            (Command::Force, MachineState::Waiting | MachineState::HandingOver)
                if settled.mode == Mode::Running =>
            {
                MachineState::Forced
            }
            // Staff know that who isn't heard sends nothing there.
            (Command::Force, state) if state.is_leaving() => MachineState::ForcedFree,
            (Command::Begin, state) if state.is_free() => {
                // What was free by an earlier holder's word is so by this one's: somebody may have come back since.
                let known = self.plans.get(&plan)?;
                if state == MachineState::Free && !self.missing(known, at).is_empty() {
                    return None;
                }
                MachineState::AtWork
            }
            (Command::Done, MachineState::AtWork) => MachineState::Warming,
            // The answer was lost, and it is asked again.
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
        let mut record = settled.clone();
        record.states[at] = to;
        Some((CommandResult::Done, Some(record)))
    }

    /// Whether the limits can ever be met by a plan, by the facts of this pooler.
    ///
    /// # Errors
    ///
    /// The first machine that never may go out, by its place, and why.
    pub fn check_feasible(&self, plan: PlanId, facts: &FleetInfo) -> Result<(), (usize, WaitReason)> {
        self.plans.get(&plan).map_or(Ok(()), |plan| check_feasible(plan, facts, self.limits(plan.kind)))
    }

    fn post(&mut self, to: u16, note: Message) {
        if to == self.setup.me.number {
            self.own.push_back(note);
        } else {
            self.out.push((To::One(to.into()), note));
        }
    }

    /// Reads what is for this pooler itself.
    fn settle(&mut self, now: Time) {
        // Each answer brings at most one more; the bound keeps a mistake from turning for ever.
        for _ in 0..64 {
            let Some(note) = self.own.pop_front() else { return };
            self.read(now, self.setup.me, note);
        }
    }
}
