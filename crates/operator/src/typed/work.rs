//! Machines out for work, as an operator bounds it.

use super::{Checker, LeaseSettings};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// How machines may be taken out.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkSettings {
    /// How often a pooler says how far it is while a plan is under way.
    pub heartbeat_interval: Duration,
    /// The term of the lease of who has steps taken.
    pub term: Duration,
    /// A pooler that starts waits so long for a majority of the voters.
    pub start_timeout: Duration,
    /// Servers out at once.
    pub server_limits: OutLimits,
    /// Of one group.
    pub per_group: usize,
    /// Warm replicas that a group keeps.
    pub min_warm: usize,
    /// What a group keeps can do so many times its load.
    pub load_factor: f64,
    /// Back, a machine counts as cold for so long.
    pub cold_period: Duration,
    /// A primary that is not handed over by then is left out.
    pub handover_timeout: Duration,
    /// A machine that is out for longer is told of.
    pub max_out_time: Duration,
    /// `ahead`, `spare` or `named`.
    pub order: String,
    /// Requests a second that a machine of a type bears.
    pub capacity: Vec<(String, f64)>,
    /// Minutes of the day, in UTC, from and to, in which nothing begins.
    pub quiet_hours: Vec<(u16, u16)>,
    /// What is called to have another primary.
    pub handover: Option<(SocketAddr, String)>,
    /// Poolers out at once.
    pub pooler_limits: OutLimits,
}

/// So many at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutLimits {
    /// Of all.
    pub total: usize,
    /// Of one zone.
    pub per_zone: usize,
    /// In so many zones.
    pub zones: usize,
}

#[derive(Deserialize)]
pub(super) struct RawWork {
    every: String,
    term: String,
    hold: String,
    servers: RawOutLimits,
    group: usize,
    warm: usize,
    spare: f64,
    cold: String,
    handing: String,
    longest: String,
    order: String,
    capacity: Vec<RawCapacity>,
    quiet: Vec<RawQuiet>,
    handover: Option<RawHandover>,
    poolers: RawOutLimits,
}

#[derive(Deserialize)]
struct RawOutLimits {
    all: usize,
    zone: usize,
    zones: usize,
}

#[derive(Deserialize)]
struct RawCapacity {
    machine: String,
    requests: f64,
}

#[derive(Deserialize)]
struct RawQuiet {
    from: String,
    to: String,
}

#[derive(Deserialize)]
struct RawHandover {
    address: String,
    path: String,
}

const MS: Duration = Duration::from_millis(1);
const MINUTE: Duration = Duration::from_secs(60);
const DAY: Duration = Duration::from_secs(86_400);

impl From<&RawOutLimits> for OutLimits {
    fn from(raw: &RawOutLimits) -> Self {
        Self { total: raw.all, per_zone: raw.zone, zones: raw.zones }
    }
}

/// As many voters as a datagram names, those of earlier sets among them; `linnetdeal-coordination` has the same bound.
const MOST_VOTERS: usize = 14;
/// The lease that work rests on.
const TASK: &str = "work";

pub(super) fn decode(raw: RawWork, leases: Option<&LeaseSettings>, check: &mut Checker<'_>) -> WorkSettings {
    let mut span = |name: &str, text: &str, least: Duration, most: Duration| {
        check.duration(&format!("work.{name}"), text, (least, most))
    };
    let heartbeat_interval = span("every", &raw.every, 50 * MS, MINUTE);
    let term = span("term", &raw.term, 100 * MS, 10 * MINUTE);
    let start_timeout = span("hold", &raw.hold, MS, DAY);
    let cold_period = span("cold", &raw.cold, MS, DAY);
    let handover_timeout = span("handing", &raw.handing, MS, DAY);
    let max_out_time = span("longest", &raw.longest, MS, 30 * DAY);
    let Some(leases) = leases else {
        check.fault("work", "it rests on 'leases', which are not there");
        return settle(
            raw,
            [heartbeat_interval, term, start_timeout, cold_period, handover_timeout, max_out_time],
            check,
        );
    };
    if term > leases.max_term {
        check.fault("work.term", format!("{} is longer than 'leases.longest'", raw.term));
    }
    let voters: BTreeSet<u16> =
        leases.voters.iter().chain(leases.previous.iter().flatten()).copied().collect();
    if voters.len() > MOST_VOTERS {
        check.fault(
            "leases.previous",
            format!("{} voters in all, and work can have {MOST_VOTERS}", voters.len()),
        );
    }
    if let Some(at) = leases.tasks.iter().position(|task| task.name == TASK) {
        check.fault(
            &format!("leases.tasks[{at}].name"),
            "this name is that of the lease that 'work' rests on",
        );
    }
    settle(raw, [heartbeat_interval, term, start_timeout, cold_period, handover_timeout, max_out_time], check)
}

fn settle(raw: RawWork, spans: [Duration; 6], check: &mut Checker<'_>) -> WorkSettings {
    let [heartbeat_interval, term, start_timeout, cold_period, handover_timeout, max_out_time] = spans;
    let mut quiet_hours = Vec::new();
    for (at, one) in raw.quiet.iter().enumerate() {
        let minute = |text: &str| {
            let (hours, minutes) = text.split_once(':')?;
            Some(hours.parse::<u16>().ok()? * 60 + minutes.parse::<u16>().ok()?)
        };
        match (minute(&one.from), minute(&one.to)) {
            (Some(from), Some(to)) if from != to => quiet_hours.push((from, to)),
            _ => check.fault(&format!("work.quiet[{at}]"), "it begins when it ends"),
        }
    }
    let handover = raw.handover.and_then(|raw| match raw.address.parse() {
        Ok(address) => Some((address, raw.path)),
        Err(error) => {
            check.fault("work.handover.address", format!("{error}"));
            None
        }
    });
    WorkSettings {
        heartbeat_interval,
        term,
        start_timeout,
        server_limits: (&raw.servers).into(),
        per_group: raw.group,
        min_warm: raw.warm,
        load_factor: raw.spare,
        cold_period,
        handover_timeout,
        max_out_time,
        order: raw.order,
        capacity: raw.capacity.into_iter().map(|of| (of.machine, of.requests)).collect(),
        quiet_hours,
        handover,
        pooler_limits: (&raw.poolers).into(),
    }
}
