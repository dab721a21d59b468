//! Changes of primary: the primary fails at each step of a write, in each way, or hands over as planned. Writers keep
//! every answer, and the answers are compared with the rows that the replication group has.

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

/// How long writers wait for an answer.
pub const DEADLINE: Duration = Duration::from_secs(5);
/// Time from a failure of the primary until a replica takes over.
pub const TAKEOVER: Duration = Duration::from_millis(1_200);
/// Time from the start of a planned handover until a replica takes over.
pub const PLANNED: Duration = Duration::from_millis(400);
/// Time that writers run before the change.
const WARM_UP: Duration = Duration::from_millis(500);
/// Time that writers run after the change.
const AFTER_CHANGE: Duration = Duration::from_millis(1_300);
const WRITERS: usize = 6;
/// The number of the write class in [`crate::clients::CLASSES`].
const WRITE_CLASS: usize = 4;

/// A case: one change of primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Case {
    /// The primary fails.
    Dies(Step, Way),
    /// The primary hands over as planned.
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

/// How a write was answered.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) id: String,
    pub(crate) sent_at: Instant,
    pub(crate) latency: Duration,
    pub(crate) result: String,
}

/// Result of a case.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Whether the primary failed at the step that the case names.
    pub fault_occurred: bool,
    /// Writes sent by clients.
    pub top_ups: usize,
    /// Rows that were written twice.
    pub doubled: usize,
    /// Served writes whose row no replica has.
    pub served_without_row: usize,
    /// Refused writes that have a row.
    pub refused_with_row: usize,
    /// Writes without a final answer.
    pub unanswered: usize,
    /// Writes answered after their deadline.
    pub late: usize,
    /// Failed writes: they may have run or not.
    pub failed: usize,
    /// Of the writes sent while there was no primary: the number served, and the number of all.
    pub without_primary: (usize, usize),
    /// Time from the promotion to the first write served.
    pub handover: Option<Duration>,
    /// Latencies of the writes sent while there was no primary.
    pub during_change: Vec<Duration>,
    /// Latencies of the writes that ended before the change.
    pub before_change: Vec<Duration>,
    /// Number of writes by answer.
    pub answers: BTreeMap<String, usize>,
}

/// Clients that write, each in a thread of its own.
pub(crate) struct Writers {
    /// The number of the first client.
    pub(crate) first_number: usize,
    /// Pause of each client after an answer.
    pub(crate) pause: Duration,
    stop: Arc<AtomicBool>,
    answers: Arc<Mutex<Vec<Answer>>>,
    threads: Vec<JoinHandle<()>>,
    address: SocketAddr,
    recorder: Arc<Mutex<Recorder>>,
}

impl Writers {
    pub(crate) fn new(address: SocketAddr, recorder: &Arc<Mutex<Recorder>>) -> Self {
        Self {
            first_number: 0,
            pause: Duration::from_millis(3),
            stop: Arc::default(),
            answers: Arc::default(),
            threads: Vec::new(),
            address,
            recorder: recorder.clone(),
        }
    }

    /// Starts `count` more clients that write until they are stopped.
    pub(crate) fn start_writers(&mut self, count: usize) {
        self.start_limited(count, u32::MAX, DEADLINE);
    }

    /// Starts `count` more clients, each with this number of writes and this deadline.
    pub(crate) fn start_limited(&mut self, count: usize, writes: u32, deadline: Duration) {
        for _ in 0..count {
            let index = self.threads.len();
            let (first_number, pause) = (self.first_number, self.pause);
            let (stop, answers, recorder) = (self.stop.clone(), self.answers.clone(), self.recorder.clone());
            let address = self.address;
            self.threads.push(std::thread::spawn(move || {
                let mut client = Client::new(address, first_number + index, 1).with_deadline(deadline);
                for _ in 0..writes {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let sent_at = Instant::now();
                    let result = client.request_class(WRITE_CLASS, &recorder);
                    let answer =
                        Answer { id: client.last_request_id(), sent_at, latency: sent_at.elapsed(), result };
                    lock(&answers).push(answer);
                    std::thread::sleep(pause);
                }
            }));
        }
    }

    /// Stops the clients once each has its answer.
    pub(crate) fn end(self) -> Vec<Answer> {
        self.stop.store(true, Ordering::SeqCst);
        self.join()
    }

    /// Waits for the clients to finish.
    pub(crate) fn join(self) -> Vec<Answer> {
        for thread in self.threads {
            let _ = thread.join();
        }
        lock(&self.answers).clone()
    }
}

/// A replication group with its registry, and poolers that follow it.
pub(crate) struct Testbed {
    pub(crate) group: ReplicaGroup,
    pub(crate) registrations: Registrations,
    pub(crate) recorder: Arc<Mutex<Recorder>>,
    pub(crate) poolers: Vec<Pooler>,
    /// The operator's configuration of the poolers.
    pub(crate) operator: String,
    _peer: Peer,
}

/// Name of the group's server at this index.
pub(crate) fn member_name(member: usize) -> String {
    format!("s-{}", member + 1)
}

impl Testbed {
    /// Starts poolers over a group of four servers, the first of them the primary.
    pub(crate) fn start(program: &Path, setup: PoolerSetup, poolers: usize) -> io::Result<Self> {
        let group = ReplicaGroup::start(4, IpAddr::V4(Ipv4Addr::new(127, 10, 0, 1)))?;
        let (registrations, recorder) = (Registrations::default(), Arc::<Mutex<Recorder>>::default());
        for (member, address) in group.addresses.iter().enumerate() {
            let role = if member == 0 { "primary" } else { "replica" };
            let metadata = [("group", "2"), ("role", role), ("zone", "adum")];
            registrations.register(Registration {
                app: "DB".into(),
                id: member_name(member),
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

/// Runs a case with the program at `program`.
///
/// # Errors
///
/// When the servers or the pooler can't be started.
pub fn run_case(case: Case, program: &Path) -> io::Result<Outcome> {
    let Testbed { group, registrations, recorder, poolers, .. } =
        &Testbed::start(program, PoolerSetup::default(), 1)?;
    let pooler = &poolers[0];
    let mut writers = Writers::new(pooler.address, recorder);
    writers.start_writers(WRITERS);
    std::thread::sleep(WARM_UP);

    let (change_start, wait) = match case {
        Case::Planned => {
            group.drain();
            registrations.update(&member_name(0), true, |one| one.status = "OUT_OF_SERVICE".into());
            (Some(Instant::now()), PLANNED)
        }
        Case::Dies(step, way) => {
            group.arm(step, way);
            // More concurrent writes than open connections, so that a new connection has to be opened.
            writers.start_writers(WRITERS);
            let end = Instant::now() + Duration::from_secs(3);
            while group.failed_at().is_none() && Instant::now() < end {
                std::thread::sleep(Duration::from_millis(1));
            }
            (group.failed_at(), TAKEOVER)
        }
    };
    let mut outcome = Outcome { fault_occurred: change_start.is_some(), ..Outcome::default() };
    let change_start = change_start.unwrap_or_else(Instant::now);
    std::thread::sleep((change_start + wait).saturating_duration_since(Instant::now()));
    group.promote(1);
    let promoted = Instant::now();
    std::thread::sleep(AFTER_CHANGE);
    let answers = writers.end();

    let rows = group.rows();
    outcome.top_ups = answers.len();
    outcome.doubled = group.duplicate_row_count();
    for answer in &answers {
        *outcome.answers.entry(answer.result.clone()).or_default() += 1;
        let (served, row) = (answer.result == "served", rows.contains_key(&answer.id));
        outcome.served_without_row += usize::from(served && !row);
        outcome.refused_with_row += usize::from(answer.result == "refused" && row);
        outcome.failed += usize::from(answer.result.starts_with("failed"));
        outcome.unanswered += usize::from(answer.result.starts_with("broken"));
        outcome.late += usize::from(answer.latency > DEADLINE + Duration::from_millis(50));
        let ended = answer.sent_at + answer.latency;
        if answer.sent_at > change_start && answer.sent_at < promoted {
            outcome.without_primary.0 += usize::from(served);
            outcome.without_primary.1 += 1;
            outcome.during_change.push(answer.latency);
        }
        if ended < change_start {
            outcome.before_change.push(answer.latency);
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

/// The quantile `share` of these values; zero without values.
#[must_use]
pub fn quantile(values: &[Duration], share: f64) -> Duration {
    let mut sorted = values.to_vec();
    sorted.sort();
    let index = ((sorted.len() as f64 * share).ceil() as usize).clamp(1, sorted.len().max(1)) - 1;
    sorted.get(index).copied().unwrap_or_default()
}
