//! Changes of primary beyond one death: many held writes, two in a row, an old primary that is back, nobody to take over, a
//! pooler that restarts in the middle, an heir that drains, and several poolers that release onto a cold primary.

use crate::clients::Client;
use crate::lock;
use crate::pooler::{Pooler, PoolerSetup};
use crate::primary::{Answer, DEADLINE, Stage, Writers, name, quantile};
use crate::recorder::Recorder;
use crate::replica_group::{Step, Way};
use serde_json::json;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// A case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Course {
    /// A planned change of 0.4 s while a thousand clients write.
    Thousand,
    /// The new primary dies 0.4 s after it took over.
    TwoInARow,
    /// The old primary fell silent, and is back as a replica.
    BackAsReplica,
    /// The old primary fell silent, and is back and says that it is the primary still.
    BackClaiming,
    /// Nobody takes over.
    Nobody,
    /// The pooler is killed in the middle and starts from its last list.
    Restart,
    /// A drain is told of the box that is just taking over.
    HeirDrains,
    /// Four poolers hold writes for a primary that has just started.
    Cold,
    /// Six changes one after the other, with clients that wait 1.2 s, so that lengths are learned.
    Learning,
}

impl Course {
    /// All.
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

/// What came out of it. Rows are the group's, answers the clients'.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Writes that clients asked.
    pub writes: usize,
    /// Of these, served.
    pub served: usize,
    /// Refused.
    pub refused: usize,
    /// Failed: nothing is promised.
    pub failed: usize,
    /// Rows that ran twice.
    pub doubled: usize,
    /// Served, and no replica has the row.
    pub served_without_row: usize,
    /// Refused, and there is a row.
    pub refused_with_row: usize,
    /// Without a final answer, though the pooler that took it lives.
    pub unanswered: usize,
    /// Answered after the client had given up.
    pub late: usize,
    /// Writes to a box later than 250 ms after its drain was told.
    pub drains_broken: u64,
    /// Writes that went to a box after it had shown to be of no use, where the case has one.
    pub misdirected_writes: usize,
    /// Reads that went to that box.
    pub reads_at_returned_box: usize,
    /// Reads answered from older data than their class allows.
    pub stale_reads: u64,
    /// The most that a cold box was sent in any 3 s, as a part of 2.5 times what it could do in them.
    pub cold_budget_peak: Option<f64>,
    /// From the new primary to the last held write served.
    pub backlog_cleared_in: Option<Duration>,
    /// Hints at when to come back, each as a multiple of the time that it truly took until a write was served.
    pub hints: Vec<f64>,
    /// The flight recorder of the first pooler, as it was dumped in the end.
    pub flight_record: String,
}

impl Course {
    /// All of it goes by plan, so that no client is to see an error.
    #[must_use]
    pub fn is_planned(self) -> bool {
        matches!(self, Self::Thousand | Self::HeirDrains)
    }
}

impl Tally {
    /// Writes asked, doubled, served without a row, refused with one, unanswered, late and failed.
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

    /// Adds what came out of another.
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

    /// In a line.
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

const WARM: Duration = Duration::from_millis(500);
const PLANNED: Duration = Duration::from_millis(400);
const TAKEOVER: Duration = Duration::from_millis(1_200);
/// What a warm box can do in the cold case, in writes a second, and how it gets there.
const CAPACITY: f64 = 250.0;
const COLD: (f64, f64) = (0.16, 16.0);
const FALL: (f64, Duration) = (2.5, Duration::from_secs(3));
const EACH: usize = 150;

fn wait(span: Duration) {
    std::thread::sleep(span);
}

impl Stage {
    fn die(&self, way: Way) {
        self.group.arm(Step::BeforeRun, way);
        let end = Instant::now() + Duration::from_secs(3);
        let before = self.group.died();
        while self.group.died() == before && Instant::now() < end {
            wait(Duration::from_millis(1));
        }
    }

    fn planned(&self, at: usize) {
        self.group.drain();
        self.registrations.update(&name(at), true, |one| one.status = "OUT_OF_SERVICE".into());
    }
}

/// Plays a case with the program at `program`.
///
/// # Errors
///
/// When it can't be played.
pub fn play(course: Course, program: &Path) -> io::Result<Tally> {
    let (setup, poolers) = match course {
        Course::Thousand => (PoolerSetup { sockets: 4_096, ..PoolerSetup::default() }, 1),
        Course::Cold => (PoolerSetup { fleet_size: 4, ..PoolerSetup::default() }, 4),
        _ => (PoolerSetup::default(), 1),
    };
    let mut stage = Stage::set(program, setup, poolers)?;
    let mut crews: Vec<Writers> = Vec::new();
    for (at, pooler) in stage.poolers.iter().enumerate() {
        let mut writers = Writers::of(pooler.address, &stage.recorder);
        writers.first = at * 10_000;
        let deadline = if course == Course::Learning { Duration::from_millis(1_200) } else { DEADLINE };
        // The cold case is about a box that is half busy, the others about as many writes as there can be.
        writers.pause = Duration::from_millis(if course == Course::Cold { 200 } else { 3 });
        writers.add(6, u32::MAX, deadline);
        crews.push(writers);
    }
    wait(WARM);
    let mut tally = Tally::default();
    let mut excused: Option<Instant> = None;
    let mut promoted = None;
    match course {
        Course::Thousand => {
            stage.planned(0);
            crews[0].add(1_000, 1, DEADLINE);
            wait(PLANNED);
            promoted = Some(stage.promote(1));
            wait(Duration::from_secs(3));
        }
        Course::TwoInARow => {
            stage.die(Way::Reset);
            wait(TAKEOVER);
            stage.promote(1);
            wait(PLANNED);
            stage.die(Way::Closed);
            wait(TAKEOVER);
            promoted = Some(stage.promote(2));
            wait(TAKEOVER);
        }
        Course::BackAsReplica | Course::BackClaiming => {
            stage.die(Way::Silent);
            wait(TAKEOVER);
            promoted = Some(stage.promote(1));
            wait(Duration::from_millis(600));
            if course == Course::BackClaiming {
                stage.group.revive_claiming(0);
            } else {
                stage.group.revive(0);
            }
            let back = Instant::now();
            // Longer than it is left alone for having been silent.
            let readers = Readers::start(&stage, 8, Duration::from_millis(5));
            wait(Duration::from_secs(6));
            readers.end();
            let sent = stage.group.sent();
            tally.misdirected_writes =
                sent.iter().filter(|(at, when, write)| *at == 0 && *write && *when > back).count();
            tally.reads_at_returned_box =
                sent.iter().filter(|(at, when, write)| *at == 0 && !write && *when > back).count();
        }
        Course::Nobody => {
            stage.die(Way::Reset);
            wait(DEADLINE + Duration::from_millis(500));
        }
        Course::Restart => {
            stage.die(Way::Reset);
            wait(PLANNED);
            let listen = Some(stage.poolers[0].address);
            stage.poolers.clear();
            excused = Some(Instant::now());
            let known = json!({"generation": 1, "reset": true, "instances": stage.list()});
            stage.poolers.push(Pooler::start_with_setup(
                program,
                Some(&stage.operator),
                &known,
                PoolerSetup { listen, ..setup },
            )?);
            wait(PLANNED);
            promoted = Some(stage.promote(1));
            wait(Duration::from_millis(1_500));
        }
        Course::HeirDrains => {
            stage.planned(0);
            wait(PLANNED);
            stage.promote(1);
            stage.planned(1);
            wait(PLANNED);
            promoted = Some(stage.promote(2));
            wait(TAKEOVER);
        }
        Course::Cold => tally.cold_budget_peak = Some(cold(&stage, &mut crews, &mut promoted)),
        Course::Learning => tally.hints = learning(&stage),
    }
    stage.poolers[0].signal("USR1")?;
    tally.flight_record = stage.poolers[0].wait_for_log("changes of primary")?;
    let answers: Vec<Answer> = crews.into_iter().flat_map(Writers::end).collect();
    stage.judge(&mut tally, &answers, excused, promoted);
    Ok(tally)
}

/// Clients that read from all poolers.
struct Readers {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Readers {
    /// So many of each pooler, each reading anew after this pause: half of them what any box may answer, the others what
    /// their session wrote.
    fn start(stage: &Stage, of_each: usize, pause: Duration) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let all = stage.poolers.iter().flat_map(|pooler| (0..of_each).map(|more| (pooler.address, more)));
        let threads = all.enumerate().map(|(at, (address, more))| {
            let (stop, recorder) = (stop.clone(), stage.recorder.clone());
            std::thread::spawn(move || {
                let mut client = Client::new(address, 100_000 + at, 1);
                let mut asked = 0;
                while !stop.load(Ordering::SeqCst) {
                    let class = if more % 2 == 0 { 2 } else { [4, 1, 1, 1, 1, 1, 1, 1][asked % 8] };
                    client.request_class(class, &recorder);
                    asked += 1;
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

/// Four poolers hold for a primary that died; who takes over started anew a moment before. Gives its peak.
fn cold(stage: &Stage, crews: &mut [Writers], promoted: &mut Option<Instant>) -> f64 {
    // Reads are what most of a box's work is: the poolers learn from them what a box can do.
    let readers = Readers::start(stage, 6, Duration::from_millis(40));
    wait(Duration::from_secs(2));
    let started = Instant::now();
    stage.group.start_cold(1, COLD.0, Duration::from_secs_f64(COLD.1));
    let ms = crate::clients::now_ms().to_string();
    stage.registrations.update(&name(1), true, |one| drop(one.metadata.insert("startedAtMs".into(), ms)));
    wait(Duration::from_millis(500));
    stage.die(Way::Reset);
    for crew in crews.iter_mut() {
        crew.add(EACH, 1, DEADLINE);
    }
    wait(TAKEOVER);
    *promoted = Some(stage.promote(1));
    wait(Duration::from_secs(4));
    readers.end();
    let came: Vec<f64> = stage
        .group
        .sent()
        .iter()
        .filter(|(at, when, _)| *at == 1 && *when >= started)
        .map(|(_, when, _)| (*when - started).as_secs_f64())
        .collect();
    peak(&came)
}

/// The most of a cold box's budget that was used in any window, by writes that came so many seconds after its start.
fn peak(came: &[f64]) -> f64 {
    let can = |at: f64| CAPACITY * (COLD.0 + (1.0 - COLD.0) * (at / COLD.1).min(1.0));
    let span = FALL.1.as_secs_f64();
    let of = |from: usize| {
        let begin = came[from];
        let sent = came[from..].iter().take_while(|at| **at < begin + span).count() as f64;
        sent / (FALL.0 * (can(begin) + can(begin + span)) / 2.0 * span)
    };
    (0..came.len()).map(of).fold(0.0, f64::max)
}

/// Six deaths; each is a fresh stage for what was learned from those before. Gives the hints' quality.
fn learning(stage: &Stage) -> Vec<f64> {
    let mut hints = Vec::new();
    let mut at = 0;
    for round in 0..6 {
        stage.die(Way::Reset);
        let died = Instant::now();
        let next = (at + 1) % stage.group.addresses.len();
        // A client that can't wait for it: what it is told, against how long it took in truth.
        let recorder = stage.recorder.clone();
        let address = stage.poolers[0].address;
        let asks = std::thread::spawn(move || hint(address, 500_000 + round, &recorder));
        wait(TAKEOVER.saturating_sub(died.elapsed()));
        let done = stage.promote(next);
        if let Some((told, when)) = asks.join().ok().flatten() {
            hints.push(
                (when + told).saturating_duration_since(died).as_secs_f64() / (done - died).as_secs_f64(),
            );
        }
        wait(Duration::from_millis(600));
        stage.group.revive(at);
        wait(Duration::from_millis(600));
        at = next;
    }
    hints
}

/// What a client that waits 0.6 s is told, if it is refused at once.
fn hint(
    address: std::net::SocketAddr,
    number: usize,
    recorder: &std::sync::Mutex<Recorder>,
) -> Option<(Duration, Instant)> {
    wait(Duration::from_millis(100));
    let mut client = Client::new(address, number, 1).with_deadline(Duration::from_millis(600));
    let asked = Instant::now();
    let how = client.request_class(4, recorder);
    let at_once = asked.elapsed() < Duration::from_millis(100);
    client.retry_after().filter(|_| how == "refused" && at_once).map(|told| (told, asked))
}

impl Stage {
    fn promote(&self, at: usize) -> Instant {
        self.group.promote(at);
        Instant::now()
    }

    /// The list as a pooler held it before the change, in the platform's form.
    fn list(&self) -> Vec<serde_json::Value> {
        let one = |(at, address): (usize, &std::net::SocketAddr)| {
            json!({"instanceId": name(at), "hostPort": address.to_string(), "zone": "adum", "machineType": "-",
                "cell": 2, "lifecycle": "up", "weight": 1.0, "startedAtMs": 0,
                "part": if at == 0 { "master" } else { "replica" }})
        };
        self.group.addresses.iter().enumerate().map(one).collect()
    }

    fn judge(
        &self,
        tally: &mut Tally,
        answers: &[Answer],
        excused: Option<Instant>,
        promoted: Option<Instant>,
    ) {
        let rows = self.group.rows();
        tally.doubled = self.group.doubled();
        let mut after = Vec::new();
        for Answer { id, asked, took, how } in answers {
            let (served, row) = (how == "served", rows.contains_key(id));
            let broken = how.starts_with("broken");
            // What a pooler that was killed had taken is nobody's to answer, nor is what came while none was there.
            if broken && excused.is_some_and(|at| *asked < at + Duration::from_millis(400)) {
                continue;
            }
            tally.writes += 1;
            tally.served += usize::from(served);
            tally.refused += usize::from(how == "refused");
            tally.failed += usize::from(how.starts_with("failed"));
            tally.unanswered += usize::from(broken);
            tally.late += usize::from(*took > DEADLINE + Duration::from_millis(50));
            tally.served_without_row += usize::from(served && !row);
            tally.refused_with_row += usize::from(how == "refused" && row);
            if let Some(promoted) = promoted.filter(|at| served && asked < at && *asked + *took > *at) {
                after.push(*asked + *took - promoted);
            }
        }
        tally.backlog_cleared_in = promoted.map(|_| quantile(&after, 1.0));
        let mut recorder = lock(&self.recorder);
        for (at, when, _) in self.group.sent() {
            recorder.statement_received(&name(at), when);
        }
        let verdict = recorder.verdict();
        (tally.drains_broken, tally.stale_reads) = (verdict.drains_broken, verdict.stale_reads);
    }
}
