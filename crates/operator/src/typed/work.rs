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
    pub every: Duration,
    /// The term of the lease of who has steps taken.
    pub term: Duration,
    /// A pooler that starts waits so long for a majority of the voters.
    pub hold: Duration,
    /// Servers out at once.
    pub servers: Bounds,
    /// Of one group.
    pub group: usize,
    /// Warm replicas that a group keeps.
    pub warm: usize,
    /// What a group keeps can do so many times its load.
    pub spare: f64,
    /// Back, a machine counts as cold for so long.
    pub cold: Duration,
    /// A primary that is not handed over by then is left out.
    pub handing: Duration,
    /// A machine that is out for longer is told of.
    pub longest: Duration,
    /// `ahead`, `spare` or `named`.
    pub order: String,
    /// Requests a second that a machine of a type bears.
    pub capacity: Vec<(String, f64)>,
    /// Minutes of the day, in UTC, from and to, in which nothing begins.
    pub quiet: Vec<(u16, u16)>,
    /// What is called to have another primary.
    pub handover: Option<(SocketAddr, String)>,
    /// Poolers out at once.
    pub poolers: Bounds,
}

/// So many at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Of all.
    pub all: usize,
    /// Of one zone.
    pub zone: usize,
    /// In so many zones.
    pub zones: usize,
}

#[derive(Deserialize)]
pub(super) struct RawWork {
    every: String,
    term: String,
    hold: String,
    servers: RawBounds,
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
    poolers: RawBounds,
}

#[derive(Deserialize)]
struct RawBounds {
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

impl From<&RawBounds> for Bounds {
    fn from(raw: &RawBounds) -> Self {
        Self { all: raw.all, zone: raw.zone, zones: raw.zones }
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
    let every = span("every", &raw.every, 50 * MS, MINUTE);
    let term = span("term", &raw.term, 100 * MS, 10 * MINUTE);
    let hold = span("hold", &raw.hold, MS, DAY);
    let cold = span("cold", &raw.cold, MS, DAY);
    let handing = span("handing", &raw.handing, MS, DAY);
    let longest = span("longest", &raw.longest, MS, 30 * DAY);
    let Some(leases) = leases else {
        check.fault("work", "it rests on 'leases', which are not there");
        return settle(raw, [every, term, hold, cold, handing, longest], check);
    };
    if term > leases.longest {
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
    settle(raw, [every, term, hold, cold, handing, longest], check)
}

fn settle(raw: RawWork, spans: [Duration; 6], check: &mut Checker<'_>) -> WorkSettings {
    let [every, term, hold, cold, handing, longest] = spans;
    let mut quiet = Vec::new();
    for (at, one) in raw.quiet.iter().enumerate() {
        let minute = |text: &str| {
            let (hours, minutes) = text.split_once(':')?;
            Some(hours.parse::<u16>().ok()? * 60 + minutes.parse::<u16>().ok()?)
        };
        match (minute(&one.from), minute(&one.to)) {
            (Some(from), Some(to)) if from != to => quiet.push((from, to)),
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
        every,
        term,
        hold,
        servers: (&raw.servers).into(),
        group: raw.group,
        warm: raw.warm,
        spare: raw.spare,
        cold,
        handing,
        longest,
        order: raw.order,
        capacity: raw.capacity.into_iter().map(|of| (of.machine, of.requests)).collect(),
        quiet,
        handover,
        poolers: (&raw.poolers).into(),
    }
}
