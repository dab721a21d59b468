//! Scenario files: typed records in the operator's format; errors are reported with their place in the file.

use linnetdeal_core::Span;
use linnetdeal_operator::{Diagnostic, Diagnostics, Tree, unify};
use serde::{Deserialize, Deserializer};

/// The schema of scenarios.
pub const SCHEMA: &str = include_str!("schema.cue");
/// Limits of memory: the most boxes, and the most poolers times the boxes that each knows.
const MAX_BOXES: usize = 100_000;
const MAX_KNOWN_BOXES: usize = 30_000_000;
/// Charts have a line for each class, and service levels are kept by second, tenant and class.
const MAX_CLASSES: usize = 5;
const MAX_TENANTS: usize = 64;

fn span<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Span, D::Error> {
    let text = String::deserialize(deserializer)?;
    let unit = text.find(|character: char| !character.is_ascii_digit()).unwrap_or(text.len());
    let number: i64 = text[..unit].parse().map_err(serde::de::Error::custom)?;
    let us = match &text[unit..] {
        "us" => 1,
        "ms" => 1_000,
        "s" => 1_000_000,
        _ => 60_000_000,
    };
    Ok(Span(number.saturating_mul(us)))
}

fn maybe<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<Span>, D::Error> {
    span(deserializer).map(Some)
}

/// The targets of a trouble.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Target {
    /// A group's primary at that time.
    Primary,
    /// A group's replica of this number at that time.
    Replica(usize),
    /// A share of all boxes.
    Boxes(f64),
    /// A share of the poolers.
    Poolers(f64),
    /// The list.
    List,
}

impl<'de> Deserialize<'de> for Target {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let (kind, number) = text.split_once(' ').unwrap_or((&text, "0"));
        let unknown = || serde::de::Error::custom(format!("unknown target '{text}'"));
        match kind {
            "primary" => Ok(Self::Primary),
            "replica" => number.parse().map(Self::Replica).map_err(|_| unknown()),
            "boxes" => number.parse().map(Self::Boxes).map_err(|_| unknown()),
            "poolers" => number.parse().map(Self::Poolers).map_err(|_| unknown()),
            "list" => Ok(Self::List),
            _ => Err(unknown()),
        }
    }
}

/// The kind of a trouble. The numbers are recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TroubleKind {
    /// The process ends; when it starts again a box is cold and continues from its position in the log.
    Crash,
    /// The process is paused, with its connections open.
    Pause,
    /// New work takes longer.
    Slow,
    /// The log is applied more slowly.
    Lag,
    /// A planned handover of a primary, or a replica that takes no new requests.
    Drain,
    /// Clients send more requests.
    Surge,
    /// The process is paused, but connections, requests and probes are accepted; only probes are answered.
    Hang,
    /// The box drains, its process ends, and a successor starts cold.
    Deploy,
    /// The list has an additional delay.
    Stale,
    /// The discovery service ends all watches, and each call takes longer.
    Overbook,
}

/// A trouble.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Trouble {
    /// When it begins.
    #[serde(deserialize_with = "span")]
    pub at: Span,
    /// What happens.
    pub what: TroubleKind,
    /// Whom it affects.
    pub who: Target,
    /// With a primary or a replica as the target: the number of groups affected, from the first.
    pub groups: usize,
    /// How long it lasts.
    #[serde(default, deserialize_with = "maybe")]
    pub lasts: Option<Span>,
    /// By how much.
    pub factor: f64,
    /// The time between one target and the next.
    #[serde(deserialize_with = "span")]
    pub apart: Span,
    /// From the end of a process until its successor runs.
    #[serde(deserialize_with = "span")]
    pub away: Span,
}

/// The size and the configuration of the fleet.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Fleet {
    /// Number of groups.
    pub groups: usize,
    /// Boxes in each group.
    pub members: usize,
    /// Number of poolers.
    pub poolers: usize,
    /// Number of zones.
    pub zones: usize,
    /// Number of groups that a pooler serves; 0 for all.
    pub reach: usize,
    /// Whether poolers are configured with the usual durations of changes of primary.
    pub expected: bool,
    /// Whether a request may have two attempts in flight.
    pub second_copies: bool,
    /// Whether a router learns that an attempt which it cancels has ended.
    pub cancels: bool,
    /// The grace period of drains.
    #[serde(deserialize_with = "span")]
    pub grace: Span,
}

/// The properties of boxes.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Boxes {
    /// Number of cores.
    pub cores: usize,
    /// Speed of a core.
    pub speed: f64,
    /// Number of requests that may wait.
    pub room: usize,
    /// How much longer work takes when the queue is full.
    pub crowding: f64,
    /// How much boxes differ in speed.
    pub spread: f64,
    /// Time until a replica has received a commit.
    #[serde(deserialize_with = "span")]
    pub ship: Span,
    /// Time to apply a commit.
    #[serde(deserialize_with = "span")]
    pub apply: Span,
    /// Time until a dead primary is declared dead.
    #[serde(deserialize_with = "span")]
    pub detect: Span,
    /// Time from then until another has taken over.
    #[serde(deserialize_with = "span")]
    pub elect: Span,
    /// Duration of a planned change of primary.
    #[serde(deserialize_with = "span")]
    pub switch: Span,
    /// The age at which a report is renewed.
    #[serde(deserialize_with = "span")]
    pub report: Span,
    /// Whether reports contain the number of waiting requests.
    pub report_queue: bool,
    /// With more than this many requests for each core work takes longer,
    pub thrash_at: f64,
    /// by this share, reached at twice as many.
    pub thrash: f64,
    /// Work of a probe.
    #[serde(deserialize_with = "span")]
    pub probe_work: Span,
    /// Work of a handshake.
    #[serde(deserialize_with = "span")]
    pub handshake_work: Span,
    /// Duration of a handshake in addition to its round trips.
    #[serde(deserialize_with = "span")]
    pub handshake: Span,
    /// Whether a box rejects reads that need a later position than its own.
    pub checks: bool,
    /// The share of its capacity that a box has at its start.
    pub cold_from: f64,
    /// The time after which a box is warm.
    #[serde(deserialize_with = "span")]
    pub cold_in: Span,
    /// A cold box collapses when it receives more than this multiple of its capacity
    pub fall_multiple: f64,
    /// for this long.
    #[serde(deserialize_with = "span")]
    pub fall_for: Span,
}

impl Boxes {
    /// The share of its capacity that a box has at its start, and the time after which it has all of it.
    #[must_use]
    pub fn cold(&self) -> (f64, Span) {
        (self.cold_from, self.cold_in)
    }

    /// The multiple of its capacity at which a cold box collapses, and after how long.
    #[must_use]
    pub fn fall(&self) -> (f64, Span) {
        (self.fall_multiple, self.fall_for)
    }
}

/// The requests of clients.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Traffic {
    /// Requests per second; 0 for the rate that gives `load`.
    pub rate: f64,
    /// The load, as a share of the capacity of primaries or of all boxes, whichever is the bottleneck.
    pub load: f64,
    /// How long requests arrive.
    #[serde(deserialize_with = "span")]
    pub lasts: Span,
    /// Number of sessions.
    pub sessions: u64,
    /// Exponent of the Zipf distribution of sessions.
    pub zipf: f64,
    /// Retries of a request.
    pub retries: u32,
    /// Whether reads carry the time of their session's last commit.
    pub tokens_carried: bool,
    /// The worth of requests beyond a tenant's share, as a share of the usual worth.
    pub over_share: f64,
    /// The sum of the tenants' shares, as a share of the fleet's capacity.
    pub quota: f64,
}

/// How a client's waits between tries develop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RetryWait {
    /// All are drawn from the same range.
    Fixed,
    /// The range doubles with each wait.
    Exponential,
}

/// The behaviour of clients that are refused, fail or get no answer.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Clients {
    /// How the waits develop.
    pub wait: RetryWait,
    /// The least and
    #[serde(deserialize_with = "span")]
    pub wait_least: Span,
    /// the greatest first wait.
    #[serde(deserialize_with = "span")]
    pub wait_most: Span,
    /// The share of clients that wait for a retry-after.
    pub heeds: f64,
    /// The least share of the deadline after which a try may be abandoned; 1 for none earlier than the deadline.
    pub patience: f64,
    /// Whether clients mark their retries.
    pub marks: bool,
}

/// The data that a class needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DataNeed {
    /// The data of any member.
    Any,
    /// Data that is no older than the bound.
    Bounded,
    /// Everything that the session wrote.
    Session,
    /// Everything that was committed.
    Fresh,
    /// The class is a write.
    Write,
}

/// The distribution of a class's work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WorkDistribution {
    /// Exponential.
    Exponential,
    /// Lognormal.
    Lognormal,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct ClassSpec {
    /// Its name.
    pub name: String,
    /// The data that it needs.
    pub need: DataNeed,
    /// The greatest age of that data.
    #[serde(deserialize_with = "span")]
    pub bound: Span,
    /// Its weight among all requests.
    pub share: f64,
    /// The mean work.
    #[serde(deserialize_with = "span")]
    pub work: Span,
    /// The distribution of the work.
    pub spread: WorkDistribution,
    /// The coefficient of variation.
    pub cv: f64,
    /// The latency objective: a request that is answered within this time has its full worth.
    #[serde(deserialize_with = "span")]
    pub aim: Span,
    /// How long a client waits, over all tries.
    #[serde(deserialize_with = "span")]
    pub deadline: Span,
    /// The worth of a request.
    pub worth: f64,
    /// The share of the worth that remains after the latency objective.
    pub late_worth: f64,
    /// Whether a request must never run twice.
    pub once: bool,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct TenantSpec {
    /// Its name.
    pub name: String,
    /// Its share of the quota.
    pub share: f64,
    /// What it requests, as a multiple of its share.
    pub usage: f64,
}

/// How poolers receive the list.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct List {
    /// Whether it has to be polled.
    pub asked: bool,
    /// How long the service takes for a call.
    #[serde(deserialize_with = "span")]
    pub call: Span,
    /// A call that has waited longer fails.
    #[serde(deserialize_with = "span")]
    pub wait: Span,
    /// The interval at which changes are sent to watches.
    #[serde(deserialize_with = "span")]
    pub every: Span,
    /// Whether the list shows which box is the primary.
    pub roles: bool,
}

/// What a run records and which rules are checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AuditLevel {
    /// Requests and attempts.
    Usual,
    /// Also the tries of clients and the jobs of boxes.
    Full,
}

/// The network and the delay of the list.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Network {
    /// Delay in one direction within a zone.
    #[serde(deserialize_with = "span")]
    pub same: Span,
    /// Delay in one direction between zones.
    #[serde(deserialize_with = "span")]
    pub cross: Span,
    /// The least and
    #[serde(deserialize_with = "span")]
    pub list_least: Span,
    /// the greatest delay of the list.
    #[serde(deserialize_with = "span")]
    pub list_most: Span,
}

/// Thresholds that a run has to reach.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Checks {
    /// The share of first tries that were served.
    pub served: f64,
    /// The same, of writes.
    pub writes: f64,
    /// The share of the requested worth that was served within the latency objectives.
    pub service: f64,
    /// The same, in the worst 10 s.
    pub worst: f64,
}

/// A scenario.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// The seed of all random draws.
    pub seed: u64,
    /// The size and the configuration of the fleet.
    pub fleet: Fleet,
    /// The properties of boxes.
    #[serde(rename = "box")]
    pub boxes: Boxes,
    /// The requests of clients.
    pub traffic: Traffic,
    /// The network and the delay of the list.
    pub network: Network,
    /// The behaviour of clients.
    pub clients: Clients,
    /// How poolers receive the list.
    pub list: List,
    /// The classes; if there are none, those of [`crate::traffic::default_class_plans`].
    #[serde(default)]
    pub classes: Vec<ClassSpec>,
    /// The tenants; none if they are not distinguished.
    #[serde(default)]
    pub tenants: Vec<TenantSpec>,
    /// What is recorded.
    pub audit: AuditLevel,
    /// The troubles.
    #[serde(default)]
    pub troubles: Vec<Trouble>,
    /// Thresholds that a run has to reach.
    pub checks: Checks,
}

impl Scenario {
    /// Decodes the text of a file; `name` is used in error messages.
    ///
    /// # Errors
    ///
    /// When the text violates the schema or the further checks.
    pub fn decode(name: &str, bytes: &[u8]) -> Result<Self, Diagnostics> {
        Self::decode_in("", name, bytes)
    }

    /// The same for a file that may use the definitions of `world`, a file of the same package in the same folder.
    ///
    /// # Errors
    ///
    /// When either text violates the schema or the further checks.
    pub fn decode_in(world: &str, name: &str, bytes: &[u8]) -> Result<Self, Diagnostics> {
        let shared: Vec<&str> = world.lines().filter(|line| !line.starts_with("package ")).collect();
        let tree = unify(&format!("{SCHEMA}\n{}\n", shared.join("\n")), name, bytes)?;
        let report = |diagnostics: Vec<Diagnostic>| Diagnostics { file: name.to_owned(), diagnostics };
        let scenario: Self = tree.decode().map_err(|diagnostic| report(vec![diagnostic]))?;
        let diagnostics = scenario.check(&tree);
        if diagnostics.is_empty() { Ok(scenario) } else { Err(report(diagnostics)) }
    }

    /// The first feature used by the scenario that exists in virtual time only, if any.
    #[must_use]
    pub fn unsupported_on_sockets(&self) -> Option<&'static str> {
        let unsupported = |trouble: &Trouble| {
            matches!(
                trouble.what,
                TroubleKind::Hang | TroubleKind::Deploy | TroubleKind::Stale | TroubleKind::Overbook
            )
        };
        let (boxes, traffic, clients) = (&self.boxes, &self.traffic, &self.clients);
        let features = [
            (!self.classes.is_empty(), "its own classes"),
            (!self.tenants.is_empty(), "tenants"),
            (self.list.asked || !self.list.roles, "a list that is polled or shows no roles"),
            (self.fleet.second_copies || self.fleet.cancels, "second copies or cancelled attempts"),
            (
                boxes.checks || boxes.report_queue || traffic.tokens_carried,
                "checked reads, reported queues or carried tokens",
            ),
            (
                clients.heeds < 1.0 || clients.patience < 1.0,
                "clients that ignore retry-after or abandon tries early",
            ),
            (clients.marks, "marked retries"),
            (self.audit == AuditLevel::Full, "the full audit"),
            (self.troubles.iter().any(unsupported), "one of its troubles"),
        ];
        features.into_iter().find(|(used, _)| *used).map(|(_, feature)| feature)
    }

    /// Checks what the schema can't express.
    fn check(&self, tree: &Tree) -> Vec<Diagnostic> {
        let mut diagnostics = Vec::new();
        let mut report = |path: &str, message: String| diagnostics.push(tree.diagnostic(path, message));
        let Fleet { groups, members, poolers, reach, .. } = self.fleet;
        let boxes = groups * members;
        if boxes > MAX_BOXES {
            report(
                "fleet.groups",
                format!("{groups} groups of {members} are {boxes} boxes, and {MAX_BOXES} can be"),
            );
        }
        let known = poolers * members * if reach == 0 { groups } else { reach.min(groups) };
        if known > MAX_KNOWN_BOXES {
            report(
                "fleet.poolers",
                format!(
                    "the poolers would know {known} boxes in total, and the limit is {MAX_KNOWN_BOXES}; set 'reach'"
                ),
            );
        }
        if reach > groups {
            report("fleet.reach", format!("there are only {groups} groups"));
        }
        if self.network.list_least > self.network.list_most {
            report("network.list_most", "it must not be less than 'list_least'".into());
        }
        if self.traffic.lasts.0 == 0 {
            report("traffic.lasts", "it must be longer than 0".into());
        }
        for (index, trouble) in self.troubles.iter().enumerate() {
            let path = format!("troubles[{index}]");
            if trouble.groups > groups {
                report(&format!("{path}.groups"), format!("there are only {groups}"));
            }
            if matches!(trouble.who, Target::Replica(number) if number + 1 >= members) {
                report(&format!("{path}.who"), format!("a group has {} replicas, from 0", members - 1));
            }
            if trouble.at >= self.traffic.lasts {
                report(&format!("{path}.at"), "no requests arrive any more by then".into());
            }
            let targets_poolers = matches!(trouble.who, Target::Poolers(_));
            if targets_poolers && !matches!(trouble.what, TroubleKind::Crash | TroubleKind::Surge) {
                report(&format!("{path}.what"), "the only trouble of poolers is 'crash'".into());
            }
            let list_trouble = matches!(trouble.what, TroubleKind::Stale | TroubleKind::Overbook);
            if list_trouble != (trouble.who == Target::List) {
                report(
                    &format!("{path}.who"),
                    "'stale' and 'overbook' affect the list, and other troubles don't".into(),
                );
            }
            if trouble.what == TroubleKind::Overbook && !self.list.asked {
                report(&format!("{path}.what"), "nobody asks this list".into());
            }
            if trouble.what == TroubleKind::Deploy && trouble.lasts.is_none() {
                report(&path, "a deploy needs 'lasts', which is how long a box drains".into());
            }
        }
        if self.clients.wait_least > self.clients.wait_most {
            report("clients.wait_most", "it must not be less than 'wait_least'".into());
        }
        if self.list.asked && (self.list.call.0 == 0 || self.list.every.0 == 0) {
            report("list", "'call' and 'every' must be longer than 0".into());
        }
        if self.classes.len() > MAX_CLASSES || self.classes.len() == 1 {
            report("classes", format!("there can be from 2 to {MAX_CLASSES}, or none"));
        }
        for (index, class) in self.classes.iter().enumerate() {
            if (class.need == DataNeed::Write) != (index + 1 == self.classes.len()) {
                report(
                    &format!("classes[{index}].need"),
                    "the last class must be the one of writes, and no other".into(),
                );
            }
            if class.aim > class.deadline || class.work.0 == 0 {
                report(
                    &format!("classes[{index}]"),
                    "'work' must be longer than 0, and 'deadline' no shorter than 'aim'".into(),
                );
            }
        }
        if self.tenants.len() > MAX_TENANTS {
            report("tenants", format!("there can be {MAX_TENANTS}"));
        }
        diagnostics
    }
}
