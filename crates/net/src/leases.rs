//! The leases of this pooler: the host of `linnetdeal-coordination`'s node, and the acts of tasks whose holder calls an
//! address. Datagrams go by the poolers' own socket (`peers.rs`).

use crate::clock;
use crate::config::duration;
use crate::counters::Count;
use crate::driver::Driver;
use crate::flag::Flag;
use crate::members::Members;
use crate::probes::probe;
use crate::upstream::Pool;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::future::or;
use http_body_util::Empty;
use hyper::body::Bytes;
use hyper::{Request, Response, StatusCode};
use linnetdeal_coordination::lease::{
    DatagramError, FullLeaseRules, LeaseEvent, LeaseSetup, Node, PoolerInstance, Position, TaskId, TaskSetup,
    Token,
};
use linnetdeal_coordination::work;
use linnetdeal_core::peers::To;
use linnetdeal_core::{Event as News, Field, GroupId, ListState, MemberId, Span, Verdict};
use serde_json::json;
use smol_hyper::rt::FuturesIo;
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// So many letters may wait to be sent; more are lost.
const MOST_WAITING: usize = 512;
/// A call is given up after this.
const PATIENCE: Duration = Duration::from_secs(2);
/// Who holds nothing looks again so soon, should it have missed a word.
const LOOK: Duration = Duration::from_millis(200);
/// Says which token an act is done with, and which is the highest that a gate has seen.
const TOKEN: &str = "fencing-token";

/// What an operator wants of leases.
pub struct Wanted {
    /// This pooler's part.
    pub setup: LeaseSetup,
    /// What holders call.
    pub calls: Vec<Call>,
    /// Whether one pooler a group asks members for their positions: for which term, and how often.
    pub positions: Option<(Duration, Duration)>,
}

/// One pooler a group asks its members, and tells the others.
pub(crate) struct Positions {
    pub(crate) term: Duration,
    pub(crate) every: Duration,
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) driver: Rc<Driver>,
    pub(crate) pool: Rc<Pool>,
    pub(crate) members: Rc<Members>,
}

impl Positions {
    /// Where a field stands in a report, by the present settings.
    fn at(&self, field: Field) -> Option<usize> {
        self.pool.report_fields().iter().position(|of| *of == field)
    }

    /// What a holder has told, as the report of its member. A position only grows, so that it is true however late it comes;
    /// and were it a lie, a member that checks what it is sent turns it away.
    fn hear(&self, told: &[Position]) {
        if told.is_empty() {
            return;
        }
        let members = self.members.all();
        for of in told {
            let member = members.iter().map(|(id, _)| id).find(|id| TaskId::of(&id.0) == of.member);
            let (Some(member), Some(at)) = (member, self.at(Field::Position)) else { continue };
            let mut report = vec![f64::NAN; self.pool.report_fields().len()];
            report[at] = of.position as f64 / 1e6;
            if let Some(at) = self.at(Field::Primary) {
                report[at] = f64::from(u8::from(of.primary));
            }
            let (member, report) = (member.clone(), Some(report));
            self.driver.feed(News::Probed { member, verdict: Verdict::Ok, took: Span(0), report });
        }
    }

    /// What a member has said, to be told.
    fn told(&self, member: &MemberId, report: &[f64]) -> Option<Position> {
        let position = *report.get(self.at(Field::Position)?)?;
        let primary = self.at(Field::Primary).and_then(|at| report.get(at)).is_some_and(|role| *role >= 0.5);
        // Rounded down: no position is told for later than it was.
        let told =
            Position { member: TaskId::of(&member.0), position: (position * 1e6).floor() as i64, primary };
        position.is_finite().then_some(told)
    }
}

/// A call that a task's holder makes, again and again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The task's name.
    pub task: String,
    /// Where.
    pub address: SocketAddr,
    /// What.
    pub path: String,
    /// The pause between two acts.
    pub every: Duration,
    /// The time from an act's begin to its end.
    pub lasts: Duration,
}

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Called {
    /// It was done, or it is not known whether it was.
    Done,
    /// The gate has seen this later token.
    Later(Token),
    /// The task is no longer held: nothing was sent.
    NotSent,
}

/// The leases.
pub struct Leases {
    node: RefCell<Node<FullLeaseRules>>,
    me: PoolerInstance,
    /// Names by what stands for them.
    names: RefCell<BTreeMap<TaskId, String>>,
    letters: RefCell<VecDeque<(To, Vec<u8>)>>,
    waiting: Event,
    /// Something has changed.
    changed: Event,
    left: Flag,
    sent: Count,
    heard: Count,
    refused: [Count; 7],
    acts: Count,
    turned_away: Count,
    told: Count,
    heard_of: Count,
    positions: RefCell<Option<Rc<Positions>>>,
}

impl Leases {
    /// This pooler's part.
    #[must_use]
    pub fn new(setup: LeaseSetup) -> Self {
        let names = setup.tasks.iter().map(|task| (TaskId::of(&task.name), task.name.clone())).collect();
        Self {
            me: setup.me,
            node: RefCell::new(Node::new(clock::steady(), setup)),
            names: RefCell::new(names),
            letters: RefCell::default(),
            waiting: Event::new(),
            changed: Event::new(),
            left: Flag::default(),
            sent: Count::default(),
            heard: Count::default(),
            refused: Default::default(),
            acts: Count::default(),
            turned_away: Count::default(),
            told: Count::default(),
            heard_of: Count::default(),
            positions: RefCell::default(),
        }
    }

    /// The token to act with now, if the task is this pooler's. To be asked before each act and after each wait.
    #[must_use]
    pub fn holds(&self, task: TaskId) -> Option<Token> {
        self.node.borrow().holds(clock::steady(), task)
    }

    /// The poolers' address is open here now; another process may have had it until now.
    pub(crate) fn opened(&self) {
        self.node.borrow_mut().socket_opened(clock::steady(), clock::wall_ms());
        self.changed.notify(usize::MAX);
    }

    /// A datagram from the address of a pooler.
    pub(crate) fn take(&self, from: u32, bytes: &[u8]) {
        let Ok(from) = u16::try_from(from) else { return };
        let taken = self.node.borrow_mut().receive(clock::steady(), from, bytes);
        match taken {
            Ok(()) => self.heard.add(),
            Err(why) => self.refused[reason(why)].add(),
        }
        let told = self.node.borrow_mut().take_positions();
        let positions = self.positions.borrow().clone();
        if let Some(positions) = positions {
            told.iter().for_each(|_| self.heard_of.add());
            positions.hear(&told);
        }
        self.flush();
    }

    /// Does what is due, for ever.
    pub(crate) async fn run(&self) {
        loop {
            let changed = self.changed.listen();
            let wait = self.node.borrow().due() - clock::steady();
            if wait.0 > 0 {
                let due = async {
                    let _ = Timer::after(duration(wait)).await;
                };
                or(due, changed).await;
            }
            let now = clock::steady();
            if self.node.borrow().due() <= now {
                self.node.borrow_mut().tick(now);
                self.flush();
            }
        }
    }

    /// The next datagram to be sent; `None` once this pooler has left and all were.
    pub(crate) async fn next_letter(&self) -> Option<(To, Vec<u8>)> {
        loop {
            let waiting = self.waiting.listen();
            if let Some(letter) = self.letters.borrow_mut().pop_front() {
                return Some(letter);
            }
            if self.left.is_up() {
                return None;
            }
            waiting.await;
        }
    }

    /// One was sent, or is lost.
    pub(crate) fn sent(&self) {
        self.sent.add();
    }

    /// Gives all tasks back, to the newer process of this pooler if one has its place, and waits a little until that is sent.
    pub(crate) async fn leave(&self, replaced: bool) {
        self.node.borrow_mut().leave(clock::steady(), replaced);
        self.flush();
        for _ in 0..50 {
            if self.letters.borrow().is_empty() {
                break;
            }
            Timer::after(Duration::from_millis(2)).await;
        }
        self.left.raise();
        self.waiting.notify(usize::MAX);
    }

    /// Who has what, and which voters were heard, as JSON.
    pub(crate) fn shown(&self) -> String {
        let now = clock::steady();
        let node = self.node.borrow();
        let tasks: Vec<_> = node
            .view(now)
            .into_iter()
            .map(|task| {
                let holder = task.holder.map(|of| {
                    json!({"pooler": of.instance.number, "life": format!("{:016x}", of.instance.incarnation),
                           "token": of.token.0, "left_ms": of.remaining.0 / 1_000})
                });
                let own = task.own.map(|(token, left)| json!({"token": token.0, "left_ms": left.0 / 1_000}));
                json!({"task": task.name, "holder": holder, "own": own, "highest": task.highest.0})
            })
            .collect();
        let voters = node.last_heard(now).into_iter();
        let voters: Vec<_> = voters
            .map(|(voter, ago)| json!({"pooler": voter, "heard_ms_ago": ago.map(|ago| ago.0 / 1_000)}))
            .collect();
        json!({"tasks": tasks, "voters": voters, "silent": node.is_silent(now)}).to_string()
    }

    /// A call of the people on call: `release`, `acquire` or `hand` to a pooler.
    ///
    /// # Errors
    ///
    /// When there is no such task, it is not this pooler's, or there is no such pooler; in words.
    pub(crate) fn by_hand(&self, name: &str, what: &str, heir: Option<u16>) -> Result<String, String> {
        let task = TaskId::of(name);
        if !self.names.borrow().contains_key(&task) {
            return Err(format!("no task is called {name}"));
        }
        let now = clock::steady();
        let said = if what == "acquire" {
            self.node.borrow_mut().acquire(now, task);
            Ok("asking for it".to_owned())
        } else {
            let released = self.node.borrow_mut().release(now, task, heir);
            let token = released.ok_or_else(|| format!("{name} is not this pooler's"))?;
            let to = heir.map_or("free".to_owned(), |heir| format!("for pooler {heir}"));
            Ok(format!("given up with token {}, {to}", token.0))
        };
        self.flush();
        said
    }

    /// Asks the members of each group whose task is this pooler's, for ever, and tells the others what they say.
    pub(crate) async fn ask_members(self: Rc<Self>, positions: Rc<Positions>) {
        *self.positions.borrow_mut() = Some(positions.clone());
        loop {
            Timer::after(positions.every).await;
            let mut groups: BTreeMap<GroupId, Vec<MemberId>> = BTreeMap::new();
            for (id, known) in positions.members.all() {
                if known.state == ListState::Healthy {
                    groups.entry(known.group).or_default().push(id);
                }
            }
            for (group, members) in groups {
                let name = format!("positions/{}", group.0);
                let (task, term) = (TaskId::of(&name), crate::config::span_of(positions.term));
                let setup = TaskSetup { name: name.clone(), term, wanted: true };
                if !self.names.borrow().contains_key(&task) {
                    if !self.node.borrow_mut().add(clock::steady(), setup) {
                        continue;
                    }
                    self.names.borrow_mut().insert(task, name);
                }
                if self.holds(task).is_some() {
                    let own = self.clone();
                    let (asked, executor) = (positions.clone(), positions.executor.clone());
                    executor.spawn(async move { own.ask_group(&asked, task, members).await }).detach();
                }
            }
        }
    }

    async fn ask_group(&self, positions: &Rc<Positions>, task: TaskId, members: Vec<MemberId>) {
        let ask = |member: MemberId| {
            let of = positions.clone();
            positions.executor.spawn(async move {
                let report = probe(&of.driver, &of.pool, member.clone()).await;
                report.and_then(|report| of.told(&member, &report))
            })
        };
        let asked: Vec<_> = members.into_iter().map(ask).collect();
        let mut told = Vec::new();
        for one in asked {
            told.extend(one.await);
        }
        told.iter().for_each(|_| self.told.add());
        self.node.borrow_mut().publish_positions(clock::steady(), task, &told);
        self.flush();
    }

    /// Calls an address as long as the task is this pooler's, for ever.
    pub(crate) async fn acts(self: Rc<Self>, executor: Rc<LocalExecutor<'static>>, call: Call) {
        let task = TaskId::of(&call.task);
        loop {
            let changed = self.changed.listen();
            let Some(token) = self.holds(task) else {
                or(changed, async {
                    let _ = Timer::after(LOOK).await;
                })
                .await;
                continue;
            };
            for (wait, step) in [(Duration::ZERO, "begin"), (call.lasts, "end")] {
                if !wait.is_zero() {
                    Timer::after(wait).await;
                }
                let late = async {
                    let _ = Timer::after(PATIENCE).await;
                    Ok(Called::Done)
                };
                let called = or(self.call(&executor, &call, task, token, step), late).await;
                match called {
                    Ok(Called::Done) => self.acts.add(),
                    Ok(Called::NotSent) => break,
                    Ok(Called::Later(highest)) => {
                        self.turned_away.add();
                        tracing::warn!(
                            "leases: {} was turned away with token {}, {} was seen there",
                            call.task,
                            token.0,
                            highest.0
                        );
                        let mut node = self.node.borrow_mut();
                        node.observe_token(clock::steady(), task, highest);
                        node.release(clock::steady(), task, None);
                        drop(node);
                        self.flush();
                        break;
                    }
                    Err(error) => {
                        tracing::debug!("leases: {} at {}: {error}", call.task, call.address);
                        break;
                    }
                }
            }
            Timer::after(call.every).await;
        }
    }

    async fn call(
        &self,
        executor: &LocalExecutor<'static>,
        call: &Call,
        task: TaskId,
        token: Token,
        step: &str,
    ) -> Result<Called, Box<dyn std::error::Error>> {
        let stream = Async::<TcpStream>::connect(call.address).await?;
        let (mut sender, connection) = hyper::client::conn::http1::handshake(FuturesIo::new(stream)).await?;
        let served = executor.spawn(connection);
        let request = Request::post(&call.path)
            .header("host", call.address.to_string())
            .header("connection", "close")
            .header("task", &call.task)
            .header("step", step)
            .header("pooler", format!("{}/{:016x}", self.me.number, self.me.incarnation))
            .header(TOKEN, token.0)
            .body(Empty::<Bytes>::new())?;
        // After the last wait and before the first byte. From here on only the gate can stop it.
        if self.holds(task) != Some(token) {
            return Ok(Called::NotSent);
        }
        let answer: Response<_> = sender.send_request(request).await?;
        drop(served);
        if answer.status() != StatusCode::CONFLICT {
            return Ok(Called::Done);
        }
        let highest = answer.headers().get(TOKEN).and_then(|text| text.to_str().ok()?.parse().ok());
        Ok(Called::Later(Token(highest.unwrap_or(token.0))))
    }

    /// What others have said of machines out for work.
    pub(crate) fn take_work(&self) -> Vec<(PoolerInstance, work::Message)> {
        self.node.borrow_mut().take_work_messages()
    }

    /// Says something of machines out for work.
    pub(crate) fn say(&self, letters: Vec<(To, work::Message)>) {
        if letters.is_empty() {
            return;
        }
        let mut node = self.node.borrow_mut();
        letters.into_iter().for_each(|(to, note)| node.send_work(to, note));
        drop(node);
        self.flush();
    }

    /// Who holds a task, as far as is known.
    pub(crate) fn holder(&self, name: &str) -> Option<u16> {
        let view = self.node.borrow().view(clock::steady());
        view.into_iter().find(|task| task.name == name)?.holder.map(|holder| holder.instance.number)
    }

    /// Gives all tasks to others and takes no more part, or takes part again in those that are `wanted`.
    pub(crate) fn abstain(&self, away: bool, wanted: &[TaskId]) {
        let now = clock::steady();
        let tasks: Vec<TaskId> = self.names.borrow().keys().copied().collect();
        let mut node = self.node.borrow_mut();
        for task in tasks {
            if away {
                node.abstain(now, task);
            } else if wanted.contains(&task) {
                node.acquire(now, task);
            }
        }
        drop(node);
        self.flush();
    }

    /// Wakes when something has come or changed.
    pub(crate) fn listen(&self) -> event_listener::EventListener {
        self.changed.listen()
    }

    /// Hands on what the node wants sent and logged.
    fn flush(&self) {
        let mut node = self.node.borrow_mut();
        let (letters, notes) = (node.take_datagrams(), node.take_events());
        drop(node);
        let mut waiting = self.letters.borrow_mut();
        for letter in letters {
            if waiting.len() < MOST_WAITING {
                waiting.push_back(letter);
            }
        }
        if !waiting.is_empty() {
            self.waiting.notify(1);
        }
        drop(waiting);
        for note in notes {
            let names = self.names.borrow();
            let name = |task: TaskId| names.get(&task).map_or("", String::as_str);
            match note {
                LeaseEvent::Gained(task, token) => {
                    tracing::info!("leases: {} gained, token {}", name(task), token.0)
                }
                LeaseEvent::Lost(task, token) => {
                    tracing::info!("leases: {} lost, token {}", name(task), token.0)
                }
                LeaseEvent::Released(task, token) => {
                    tracing::info!("leases: {} released, token {}", name(task), token.0);
                }
                LeaseEvent::VersionMismatch(from, version) => {
                    tracing::warn!("leases: pooler {from} is refused, it goes by version {version}");
                }
                LeaseEvent::SiteMismatch(from) => tracing::warn!(
                    "leases: pooler {from} is refused, it is of another site or counts with other terms or drift"
                ),
                LeaseEvent::DuplicateVoter(from) => tracing::warn!(
                    "leases: two processes answer for voter {from}, and neither counts until one of them ends"
                ),
                LeaseEvent::BadSignature(from) => tracing::warn!(
                    "leases: what comes from pooler {from} is refused, it is altered or signed with another key"
                ),
            }
        }
        self.changed.notify(usize::MAX);
    }
}

fn reason(why: DatagramError) -> usize {
    match why {
        DatagramError::Malformed => 0,
        DatagramError::SiteMismatch => 1,
        DatagramError::VersionMismatch(_) => 2,
        DatagramError::BadSignature => 3,
        DatagramError::SenderMismatch => 4,
        DatagramError::Replayed => 5,
        DatagramError::RateLimited => 6,
    }
}

impl fmt::Display for Leases {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "leases: sent={} heard={}", self.sent, self.heard)?;
        let reasons = ["malformed", "site", "version", "code", "stranger", "replayed", "flood"];
        for (reason, count) in reasons.iter().zip(&self.refused) {
            write!(f, " refused_{reason}={count}")?;
        }
        write!(f, " acts={} turned_away={}", self.acts, self.turned_away)?;
        write!(f, " positions_told={} positions_heard={}", self.told, self.heard_of)
    }
}

/// A number that no other start of a pooler has: from its seed, its process and both clocks.
#[must_use]
pub fn life(seed: u64) -> u64 {
    let text =
        format!("{seed}/{}/{}/{:?}", std::process::id(), clock::steady().0, std::time::SystemTime::now());
    linnetdeal_core::membership::fnv1a(text.bytes())
}
