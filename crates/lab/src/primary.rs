//! Changes of primary: a primary that dies at each step of a write, in each way, or hands over by plan; writers that keep
//! every answer; and the group's rows held against these.

use crate::clients::Client;
use crate::eureka::{Peer, Registration, Registrations};
use crate::lock;
use crate::pooler::{Pooler, PoolerSetup};
use crate::recorder::Recorder;
use crate::replica_group::{ReplicaGroup, Step, Way};
use serde_json::json;
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// How long writers wait.
pub const DEADLINE: Duration = Duration::from_secs(5);
/// A replica takes over this long after its primary died; planned, this long after it began to drain.
pub const TAKEOVER: Duration = Duration::from_millis(1_200);
/// See [`TAKEOVER`].
pub const PLANNED: Duration = Duration::from_millis(400);
const WARM: Duration = Duration::from_millis(500);
const AFTER: Duration = Duration::from_millis(1_300);
const WRITERS: usize = 6;
const TOP_UP: usize = 4;

/// A case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Case {
    /// The primary dies.
    Dies(Step, Way),
    /// The primary hands over.
    Planned,
}

impl std::fmt::Display for Case {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Dies(step, way) => write!(f, "{step:?} {way:?}"),
            Self::Planned => write!(f, "Planned"),
        }
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) id: String,
    pub(crate) asked: Instant,
    pub(crate) took: Duration,
    pub(crate) how: String,
}

/// What came out of a case.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Whether the primary died where it should.
    pub fault_occurred: bool,
    /// Writes asked.
    pub top_ups: usize,
    /// Rows that ran twice.
    pub doubled: usize,
    /// Served, and no replica has the row.
    pub served_without_row: usize,
    /// Refused, and there is a row.
    pub refused_with_row: usize,
    /// Without a final answer.
    pub unanswered: usize,
    /// Answered after the client had given up.
    pub late: usize,
    /// Failed: nothing is promised.
    pub failed: usize,
    /// Of those asked while there was no primary, the served and all.
    pub without_primary: (usize, usize),
    /// From the new primary to the first write that is served.
    pub handover: Option<Duration>,
    /// How long writes took that were asked during a planned change, and before.
    pub during_change: Vec<Duration>,
    /// See `during`.
    pub before_change: Vec<Duration>,
    /// By answer.
    pub answers: BTreeMap<String, usize>,
}

pub(crate) struct Writers {
    /// The number of the first client.
    pub(crate) first: usize,
    /// How long each rests after an answer.
    pub(crate) pause: Duration,
    stop: Arc<AtomicBool>,
    answers: Arc<Mutex<Vec<Answer>>>,
    threads: Vec<JoinHandle<()>>,
    address: SocketAddr,
    recorder: Arc<Mutex<Recorder>>,
}

impl Writers {
    pub(crate) fn of(address: SocketAddr, recorder: &Arc<Mutex<Recorder>>) -> Self {
        Self {
            first: 0,
            pause: Duration::from_millis(3),
            stop: Arc::default(),
            answers: Arc::default(),
            threads: Vec::new(),
            address,
            recorder: recorder.clone(),
        }
    }

    /// So many more, each writing again and again.
    pub(crate) fn more(&mut self, count: usize) {
        self.add(count, u32::MAX, DEADLINE);
    }

    /// So many more, each with so many writes, that wait so long.
    pub(crate) fn add(&mut self, count: usize, writes: u32, deadline: Duration) {
        for _ in 0..count {
            let at = self.threads.len();
            let (first, pause) = (self.first, self.pause);
            let (stop, answers, recorder) = (self.stop.clone(), self.answers.clone(), self.recorder.clone());
            let address = self.address;
            self.threads.push(std::thread::spawn(move || {
                let mut client = Client::new(address, first + at, 1).with_deadline(deadline);
                for _ in 0..writes {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let asked = Instant::now();
                    let how = client.request_class(TOP_UP, &recorder);
                    let answer = Answer { id: client.last_request_id(), asked, took: asked.elapsed(), how };
                    lock(&answers).push(answer);
                    std::thread::sleep(pause);
                }
            }));
        }
    }

    /// Stops them once each has its answer.
    pub(crate) fn end(self) -> Vec<Answer> {
        self.stop.store(true, Ordering::SeqCst);
        self.join()
    }

    /// Waits for them to be done.
    pub(crate) fn join(self) -> Vec<Answer> {
        for thread in self.threads {
            let _ = thread.join();
        }
        lock(&self.answers).clone()
    }
}

/// A group with its registry, and poolers that follow it.
pub(crate) struct Stage {
    pub(crate) group: ReplicaGroup,
    pub(crate) registrations: Registrations,
    pub(crate) recorder: Arc<Mutex<Recorder>>,
    pub(crate) poolers: Vec<Pooler>,
    /// The operator's file of the poolers.
    pub(crate) operator: String,
    _peer: Peer,
}

/// How a box is called.
pub(crate) fn name(at: usize) -> String {
    format!("s-{}", at + 1)
}

impl Stage {
    /// So many poolers over a group of four boxes, the first of them the primary.
    pub(crate) fn set(program: &Path, setup: PoolerSetup, poolers: usize) -> io::Result<Self> {
        let group = ReplicaGroup::start(4, IpAddr::V4(Ipv4Addr::new(127, 10, 0, 1)))?;
        let (registrations, recorder) = (Registrations::default(), Arc::<Mutex<Recorder>>::default());
        for (at, address) in group.addresses.iter().enumerate() {
            let role = if at == 0 { "primary" } else { "replica" };
            let metadata = [("group", "2"), ("role", role), ("zone", "adum")];
            registrations.register(Registration {
                app: "DB".into(),
                id: name(at),
                ip: address.ip().to_string(),
                port: address.port(),
                status: "UP".into(),
                overridden: "UNKNOWN".into(),
                dirty: registrations.next_timestamp(),
                metadata: metadata.map(|(key, value)| (key.to_owned(), value.to_owned())).into(),
                ..Registration::default()
            });
        }
        let peer = Peer::start(&registrations, &recorder, SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let operator = format!(
            "registry: {{\n\tservers: [{{url: \"http://{}/eureka\"}}]\n\tapps: [\"DB\"]\n\tnetworks: [{{prefix: \"127.10.0.0/16\"}}]\n\
             \tinterval: \"100ms\"\n}}\n",
            peer.address
        );
        let none = json!({"generation": 0, "reset": true, "instances": []});
        let poolers = (0..poolers).map(|_| {
            let mut pooler = Pooler::start_with_setup(program, Some(&operator), &none, setup)?;
            pooler.wait_for_log("instances read")?;
            Ok(pooler)
        });
        let poolers = poolers.collect::<io::Result<Vec<_>>>()?;
        Ok(Self { group, registrations, recorder, poolers, operator, _peer: peer })
    }
}

/// Plays a case with the program at `program`.
///
/// # Errors
///
/// When it can't be played.
pub fn play(case: Case, program: &Path) -> io::Result<Outcome> {
    let Stage { group, registrations, recorder, poolers, .. } =
        &Stage::set(program, PoolerSetup::default(), 1)?;
    let pooler = &poolers[0];
    let mut writers = Writers::of(pooler.address, recorder);
    writers.more(WRITERS);
    std::thread::sleep(WARM);

    let (began, wait) = match case {
        Case::Planned => {
            group.drain();
            registrations.update(&name(0), true, |one| one.status = "OUT_OF_SERVICE".into());
            (Some(Instant::now()), PLANNED)
        }
        Case::Dies(step, way) => {
            group.arm(step, way);
            // More at once than there are connections, so that one has to be opened.
            writers.more(WRITERS);
            let end = Instant::now() + Duration::from_secs(3);
            while group.died().is_none() && Instant::now() < end {
                std::thread::sleep(Duration::from_millis(1));
            }
            (group.died(), TAKEOVER)
        }
    };
    let mut outcome = Outcome { fault_occurred: began.is_some(), ..Outcome::default() };
    let began = began.unwrap_or_else(Instant::now);
    std::thread::sleep((began + wait).saturating_duration_since(Instant::now()));
    group.promote(1);
    let promoted = Instant::now();
    std::thread::sleep(AFTER);
    let answers = writers.end();

    let rows = group.rows();
    outcome.top_ups = answers.len();
    outcome.doubled = group.doubled();
    for answer in &answers {
        *outcome.answers.entry(answer.how.clone()).or_default() += 1;
        let (served, row) = (answer.how == "served", rows.contains_key(&answer.id));
        outcome.served_without_row += usize::from(served && !row);
        outcome.refused_with_row += usize::from(answer.how == "refused" && row);
        outcome.failed += usize::from(answer.how.starts_with("failed"));
        outcome.unanswered += usize::from(answer.how.starts_with("broken"));
        outcome.late += usize::from(answer.took > DEADLINE + Duration::from_millis(50));
        let ended = answer.asked + answer.took;
        if answer.asked > began && answer.asked < promoted {
            outcome.without_primary.0 += usize::from(served);
            outcome.without_primary.1 += 1;
            outcome.during_change.push(answer.took);
        }
        if ended < began {
            outcome.before_change.push(answer.took);
        }
        if served && ended > promoted {
            let after = ended - promoted;
            outcome.handover = Some(outcome.handover.map_or(after, |best| best.min(after)));
        }
    }
    if outcome.without_primary.0 < outcome.without_primary.1 {
        outcome.answers.insert(format!("log: {}", pooler.log().join(" | ")), 0);
    }
    Ok(outcome)
}

/// The value below which this share of them lies.
#[must_use]
pub fn quantile(values: &[Duration], share: f64) -> Duration {
    let mut sorted = values.to_vec();
    sorted.sort();
    let at = ((sorted.len() as f64 * share).ceil() as usize).clamp(1, sorted.len().max(1)) - 1;
    sorted.get(at).copied().unwrap_or_default()
}
