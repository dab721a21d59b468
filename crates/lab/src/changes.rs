//! Changes of primary beyond a single failure: many waiting writes, two changes in a row, an old primary that comes
//! back, no replica that takes over, a pooler that restarts during the change, a new primary that drains, and several
//! poolers that send their waiting writes to a cold primary.

use crate::clients::Client;
use crate::lock;
use crate::pooler::{Pooler, PoolerSetup};
use crate::primary::{Answer, DEADLINE, Testbed, Writers, member_name, quantile};
use crate::recorder::Recorder;
use crate::replica_group::{Step, Way};
use serde_json::json;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// A case: one course of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Course {
    /// A planned handover of 0.4 s while a thousand clients write.
    Thousand,
    /// The new primary fails 0.4 s after it took over.
    TwoInARow,
    /// The old primary stops answering and comes back as a replica.
    BackAsReplica,
    /// The old primary stops answering, comes back and still reports itself as the primary.
    BackClaiming,
    /// No replica takes over.
    Nobody,
    /// The pooler is killed during the change and restarts from its last list.
    Restart,
    /// The server that is taking over is drained.
    HeirDrains,
    /// Four poolers hold writes for a primary that has just started and is cold.
    Cold,
    /// Six changes one after the other, with client deadlines of 1.2 s, so that the poolers learn how long changes
    /// last.
    Learning,
}

impl Course {
    /// All cases.
    pub const ALL: [Self; 9] = [
        Self::Thousand,
        Self::TwoInARow,
        Self::BackAsReplica,
        Self::BackClaiming,
        Self::Nobody,
        Self::Restart,
        Self::HeirDrains,
        Self::Cold,
        Self::Learning,
    ];
}

/// Result of a case. Rows are taken from the replication group, answers from the clients.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Writes sent by clients.
    pub writes: usize,
    /// Writes served.
    pub served: usize,
    /// Writes refused.
    pub refused: usize,
    /// Failed writes: they may have run or not.
    pub failed: usize,
    /// Rows that were written twice.
    pub doubled: usize,
    /// Served writes whose row no replica has.
    pub served_without_row: usize,
    /// Refused writes that have a row.
    pub refused_with_row: usize,
    /// Writes without a final answer although the pooler that took them is running.
    pub unanswered: usize,
    /// Writes answered after their deadline.
    pub late: usize,
    /// Writes sent to a server later than 250 ms after its drain was announced.
    pub drains_broken: u64,
    /// Writes sent to the old primary after it came back, in the cases where it does.
    pub misdirected_writes: usize,
    /// Reads sent to that server.
    pub reads_at_returned_box: usize,
    /// Reads answered from older data than their class allows.
    pub stale_reads: u64,
    /// The highest rate at which a cold server was sent statements in any 3 s, as a share of 2.5 times its capacity
    /// in them.
    pub cold_budget_peak: Option<f64>,
    /// Time from the promotion until the last waiting write was served.
    pub backlog_cleared_in: Option<Duration>,
    /// Retry-after hints, each as a multiple of the actual time until the new primary took over.
    pub hints: Vec<f64>,
    /// The flight recorder of the first pooler, as dumped at the end.
    pub flight_record: String,
}

impl Course {
    /// Whether all changes of the case are planned, so that no client may see an error.
    #[must_use]
    pub fn is_planned(self) -> bool {
        matches!(self, Self::Thousand | Self::HeirDrains)
    }
}

impl Tally {
    /// Counts of writes: sent, written twice, served without a row, refused with a row, unanswered, late and failed.
    #[must_use]
    pub fn counts(&self) -> [usize; 7] {
        [
            self.writes,
            self.doubled,
            self.served_without_row,
            self.refused_with_row,
            self.unanswered,
            self.late,
            self.failed,
        ]
    }

    /// Adds the counts of another case.
    pub fn add(&mut self, other: &Self) {
        self.writes += other.writes;
        self.doubled += other.doubled;
        self.served_without_row += other.served_without_row;
        self.refused_with_row += other.refused_with_row;
        self.unanswered += other.unanswered;
        self.late += other.late;
        self.failed += other.failed;
        self.drains_broken += other.drains_broken;
        self.misdirected_writes += other.misdirected_writes;
        self.stale_reads += other.stale_reads;
    }

    /// The result as one line of text.
    #[must_use]
    pub fn line(&self, course: Course) -> String {
        let [asked, doubled, without, refused_with, unanswered, late, failed] = self.counts();
        format!(
            "{:<24} top-ups {asked:>5}  doubled {doubled}  served without row {without}  refused with row {refused_with}  unanswered {unanswered}  late {late}  served {}  refused {}  failed {failed}  drains broken {}  astray {} beside {} reads  stale {}  cleared {:>4} ms  budget {}  hints {:.2?}",
            format!("{course:?}"),
            self.served,
            self.refused,
            self.drains_broken,
            self.misdirected_writes,
            self.reads_at_returned_box,
            self.stale_reads,
            self.backlog_cleared_in.unwrap_or_default().as_millis(),
            self.cold_budget_peak.map_or_else(|| "-".to_owned(), |part| format!("{part:.2}")),
            self.hints,
        )
    }
}

const WARM_UP: Duration = Duration::from_millis(500);
const PLANNED: Duration = Duration::from_millis(400);
const TAKEOVER: Duration = Duration::from_millis(1_200);
/// Capacity of a warm server in the cold case, in writes per second.
const CAPACITY: f64 = 250.0;
/// Slow start in the cold case: the share of capacity at the start, and the seconds until the server is warm.
const SLOW_START: (f64, f64) = (0.16, 16.0);
/// A cold server's budget: this multiple of its capacity, within this window.
const COLD_BUDGET: (f64, Duration) = (2.5, Duration::from_secs(3));
/// Additional writers of each pooler in the cold case.
const EXTRA_WRITERS: usize = 150;

fn wait(span: Duration) {
    std::thread::sleep(span);
}

impl Testbed {
    fn fail_primary(&self, way: Way) {
        self.group.arm(Step::BeforeRun, way);
        let end = Instant::now() + Duration::from_secs(3);
        let before = self.group.failed_at();
        while self.group.failed_at() == before && Instant::now() < end {
            wait(Duration::from_millis(1));
        }
    }

    fn start_handover(&self, member: usize) {
        self.group.drain();
        self.registrations.update(&member_name(member), true, |one| one.status = "OUT_OF_SERVICE".into());
    }
}

/// Runs a case with the program at `program`.
///
/// # Errors
///
/// When the servers or the poolers can't be started.
pub fn run_course(course: Course, program: &Path) -> io::Result<Tally> {
    let (setup, poolers) = match course {
        Course::Thousand => (PoolerSetup { sockets: 4_096, ..PoolerSetup::default() }, 1),
        Course::Cold => (PoolerSetup { fleet_size: 4, ..PoolerSetup::default() }, 4),
        _ => (PoolerSetup::default(), 1),
    };
    let mut testbed = Testbed::start(program, setup, poolers)?;
    let mut writer_groups: Vec<Writers> = Vec::new();
    for (index, pooler) in testbed.poolers.iter().enumerate() {
        let mut writers = Writers::new(pooler.address, &testbed.recorder);
        writers.first_number = index * 10_000;
        let deadline = if course == Course::Learning { Duration::from_millis(1_200) } else { DEADLINE };
        // The cold case needs a server at half load, the others as many writes as possible.
        writers.pause = Duration::from_millis(if course == Course::Cold { 200 } else { 3 });
        writers.start_limited(6, u32::MAX, deadline);
        writer_groups.push(writers);
    }
    wait(WARM_UP);
    let mut tally = Tally::default();
    let mut pooler_killed_at: Option<Instant> = None;
    let mut promoted = None;
    match course {
        Course::Thousand => {
            testbed.start_handover(0);
            writer_groups[0].start_limited(1_000, 1, DEADLINE);
            wait(PLANNED);
            promoted = Some(testbed.promote(1));
            wait(Duration::from_secs(3));
        }
        Course::TwoInARow => {
            testbed.fail_primary(Way::Reset);
            wait(TAKEOVER);
            testbed.promote(1);
            wait(PLANNED);
            testbed.fail_primary(Way::Closed);
            wait(TAKEOVER);
            promoted = Some(testbed.promote(2));
            wait(TAKEOVER);
        }
        Course::BackAsReplica | Course::BackClaiming => {
            testbed.fail_primary(Way::Silent);
            wait(TAKEOVER);
            promoted = Some(testbed.promote(1));
            wait(Duration::from_millis(600));
            if course == Course::BackClaiming {
                testbed.group.restart_as_stale_primary(0);
            } else {
                testbed.group.restart_as_replica(0);
            }
            let returned_at = Instant::now();
            // Longer than the server stays ejected for its time-outs.
            let readers = Readers::start(&testbed, 8, Duration::from_millis(5));
            wait(Duration::from_secs(6));
            readers.end();
            let sent = testbed.group.statements();
            tally.misdirected_writes = sent
                .iter()
                .filter(|(member, when, write)| *member == 0 && *write && *when > returned_at)
                .count();
            tally.reads_at_returned_box = sent
                .iter()
                .filter(|(member, when, write)| *member == 0 && !write && *when > returned_at)
                .count();
        }
        Course::Nobody => {
            testbed.fail_primary(Way::Reset);
            wait(DEADLINE + Duration::from_millis(500));
        }
        Course::Restart => {
            testbed.fail_primary(Way::Reset);
            wait(PLANNED);
            let listen = Some(testbed.poolers[0].address);
            testbed.poolers.clear();
            pooler_killed_at = Some(Instant::now());
            let last_list = json!({"generation": 1, "reset": true, "instances": testbed.list()});
            testbed.poolers.push(Pooler::start_with_setup(
                program,
                Some(&testbed.operator),
                &last_list,
                PoolerSetup { listen, ..setup },
            )?);
            wait(PLANNED);
            promoted = Some(testbed.promote(1));
            wait(Duration::from_millis(1_500));
        }
        Course::HeirDrains => {
            testbed.start_handover(0);
            wait(PLANNED);
            testbed.promote(1);
            testbed.start_handover(1);
            wait(PLANNED);
            promoted = Some(testbed.promote(2));
            wait(TAKEOVER);
        }
        Course::Cold => tally.cold_budget_peak = Some(run_cold(&testbed, &mut writer_groups, &mut promoted)),
        Course::Learning => tally.hints = run_learning(&testbed),
    }
    testbed.poolers[0].signal("USR1")?;
    tally.flight_record = testbed.poolers[0].wait_for_log("changes of primary")?;
    let answers: Vec<Answer> = writer_groups.into_iter().flat_map(Writers::end).collect();
    testbed.evaluate(&mut tally, &answers, pooler_killed_at, promoted);
    Ok(tally)
}

/// Clients that read through all poolers.
struct Readers {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Readers {
    /// Starts `of_each` readers for each pooler, which read with this pause. Half of them send reads that any server
    /// may answer; the others write now and then and read their own writes.
    fn start(testbed: &Testbed, of_each: usize, pause: Duration) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let all =
            testbed.poolers.iter().flat_map(|pooler| (0..of_each).map(|number| (pooler.address, number)));
        let threads = all.enumerate().map(|(index, (address, number))| {
            let (stop, recorder) = (stop.clone(), testbed.recorder.clone());
            std::thread::spawn(move || {
                let mut client = Client::new(address, 100_000 + index, 1);
                let mut request_count = 0;
                while !stop.load(Ordering::SeqCst) {
                    let class = if number % 2 == 0 { 2 } else { [4, 1, 1, 1, 1, 1, 1, 1][request_count % 8] };
                    client.request_class(class, &recorder);
                    request_count += 1;
                    wait(pause);
                }
            })
        });
        Self { threads: threads.collect(), stop }
    }

    fn end(self) {
        self.stop.store(true, Ordering::SeqCst);
        self.threads.into_iter().for_each(|thread| drop(thread.join()));
    }
}

/// Four poolers hold writes after the primary failed, and a server that has just restarted takes over. Returns the
/// peak of its budget.
fn run_cold(testbed: &Testbed, writer_groups: &mut [Writers], promoted: &mut Option<Instant>) -> f64 {
    // Reads are most of a server's work: the poolers learn its capacity from them.
    let readers = Readers::start(testbed, 6, Duration::from_millis(40));
    wait(Duration::from_secs(2));
    let started = Instant::now();
    testbed.group.start_cold(1, SLOW_START.0, Duration::from_secs_f64(SLOW_START.1));
    let ms = crate::clients::now_ms().to_string();
    testbed
        .registrations
        .update(&member_name(1), true, |one| drop(one.metadata.insert("startedAtMs".into(), ms)));
    wait(Duration::from_millis(500));
    testbed.fail_primary(Way::Reset);
    for writers in writer_groups.iter_mut() {
        writers.start_limited(EXTRA_WRITERS, 1, DEADLINE);
    }
    wait(TAKEOVER);
    *promoted = Some(testbed.promote(1));
    wait(Duration::from_secs(4));
    readers.end();
    let arrivals: Vec<f64> = testbed
        .group
        .statements()
        .iter()
        .filter(|(member, when, _)| *member == 1 && *when >= started)
        .map(|(_, when, _)| (*when - started).as_secs_f64())
        .collect();
    peak_budget_share(&arrivals)
}

/// The highest share of a cold server's budget used in any window. Arrival times of statements are in seconds after
/// its start.
fn peak_budget_share(arrivals: &[f64]) -> f64 {
    let capacity_at =
        |age: f64| CAPACITY * (SLOW_START.0 + (1.0 - SLOW_START.0) * (age / SLOW_START.1).min(1.0));
    let span = COLD_BUDGET.1.as_secs_f64();
    let budget_share = |from: usize| {
        let begin = arrivals[from];
        let sent = arrivals[from..].iter().take_while(|arrival| **arrival < begin + span).count() as f64;
        sent / (COLD_BUDGET.0 * (capacity_at(begin) + capacity_at(begin + span)) / 2.0 * span)
    };
    (0..arrivals.len()).map(budget_share).fold(0.0, f64::max)
}

/// Lets the primary fail six times, so that the poolers apply what they learned from the earlier changes. Returns the
/// retry-after hints as multiples of the actual time.
fn run_learning(testbed: &Testbed) -> Vec<f64> {
    let mut hints = Vec::new();
    let mut primary = 0;
    for round in 0..6 {
        testbed.fail_primary(Way::Reset);
        let failed_at = Instant::now();
        let next = (primary + 1) % testbed.group.addresses.len();
        // A client with a deadline too short to wait for the change: its hint is compared with the actual time.
        let recorder = testbed.recorder.clone();
        let address = testbed.poolers[0].address;
        let client = std::thread::spawn(move || refused_hint(address, 500_000 + round, &recorder));
        wait(TAKEOVER.saturating_sub(failed_at.elapsed()));
        let promoted_at = testbed.promote(next);
        if let Some((retry_after, sent_at)) = client.join().ok().flatten() {
            hints.push(
                (sent_at + retry_after).saturating_duration_since(failed_at).as_secs_f64()
                    / (promoted_at - failed_at).as_secs_f64(),
            );
        }
        wait(Duration::from_millis(600));
        testbed.group.restart_as_replica(primary);
        wait(Duration::from_millis(600));
        primary = next;
    }
    hints
}

/// The retry-after hint that a client with a deadline of 0.6 s gets if it is refused at once, and when it sent the
/// request.
fn refused_hint(
    address: std::net::SocketAddr,
    number: usize,
    recorder: &std::sync::Mutex<Recorder>,
) -> Option<(Duration, Instant)> {
    wait(Duration::from_millis(100));
    let mut client = Client::new(address, number, 1).with_deadline(Duration::from_millis(600));
    let sent_at = Instant::now();
    let result = client.request_class(4, recorder);
    let at_once = sent_at.elapsed() < Duration::from_millis(100);
    client.retry_after().filter(|_| result == "refused" && at_once).map(|retry_after| (retry_after, sent_at))
}

impl Testbed {
    fn promote(&self, member: usize) -> Instant {
        self.group.promote(member);
        Instant::now()
    }

    /// The list as a pooler had it before the change, in the platform's format.
    fn list(&self) -> Vec<serde_json::Value> {
        let entry = |(member, address): (usize, &std::net::SocketAddr)| {
            json!({"instanceId": member_name(member), "hostPort": address.to_string(), "zone": "adum", "machineType": "-",
                "cell": 2, "lifecycle": "up", "weight": 1.0, "startedAtMs": 0,
                "part": if member == 0 { "master" } else { "replica" }})
        };
        self.group.addresses.iter().enumerate().map(entry).collect()
    }

    fn evaluate(
        &self,
        tally: &mut Tally,
        answers: &[Answer],
        pooler_killed_at: Option<Instant>,
        promoted: Option<Instant>,
    ) {
        let rows = self.group.rows();
        tally.doubled = self.group.duplicate_row_count();
        let mut after = Vec::new();
        for Answer { id, sent_at, latency, result } in answers {
            let (served, row) = (result == "served", rows.contains_key(id));
            let broken = result.starts_with("broken");
            // Requests that a killed pooler had accepted can't be answered, nor those sent while no pooler was
            // running.
            if broken
                && pooler_killed_at.is_some_and(|killed_at| *sent_at < killed_at + Duration::from_millis(400))
            {
                continue;
            }
            tally.writes += 1;
            tally.served += usize::from(served);
            tally.refused += usize::from(result == "refused");
            tally.failed += usize::from(result.starts_with("failed"));
            tally.unanswered += usize::from(broken);
            tally.late += usize::from(*latency > DEADLINE + Duration::from_millis(50));
            tally.served_without_row += usize::from(served && !row);
            tally.refused_with_row += usize::from(result == "refused" && row);
            if let Some(promoted) =
                promoted.filter(|instant| served && sent_at < instant && *sent_at + *latency > *instant)
            {
                after.push(*sent_at + *latency - promoted);
            }
        }
        tally.backlog_cleared_in = promoted.map(|_| quantile(&after, 1.0));
        let mut recorder = lock(&self.recorder);
        for (member, when, _) in self.group.statements() {
            recorder.statement_received(&member_name(member), when);
        }
        let verdict = recorder.verdict();
        (tally.drains_broken, tally.stale_reads) = (verdict.drains_broken, verdict.stale_reads);
    }
}
