//! Settings for maintenance work: how many machines may be out of service at once, and under which conditions.

use super::{LeaseSettings, Validator};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// The conditions under which machines may be taken out of service for maintenance work.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkSettings {
    /// How often each pooler reports its progress while a plan is under way.
    pub heartbeat_interval: Duration,
    /// The term of the lease whose holder executes the plan.
    pub term: Duration,
    /// How long a starting pooler waits for a majority of the voters to report which machines are out.
    pub start_timeout: Duration,
    /// Limits on servers that are out at once.
    pub server_limits: OutLimits,
    /// Maximum number of servers of one group that are out at once.
    pub per_group: usize,
    /// Minimum number of warm replicas that remain in a group.
    pub min_warm: usize,
    /// Minimum ratio of the capacity that remains in a group to the group's load.
    pub load_factor: f64,
    /// How long a machine counts as cold after its return.
    pub cold_period: Duration,
    /// A primary that is not handed over within this time is skipped.
    pub handover_timeout: Duration,
    /// A machine that is out for longer is reported as overdue.
    pub max_out_time: Duration,
    /// The order in which machines go out: `ahead`, `spare` or `named`.
    pub order: String,
    /// Capacity of each machine type in requests per second.
    pub capacity: Vec<(String, f64)>,
    /// Start and end, in minutes of the day (UTC), of periods in which no machine is taken out.
    pub quiet_hours: Vec<(u16, u16)>,
    /// Address and path of the HTTP call that requests another primary.
    pub handover: Option<(SocketAddr, String)>,
    /// Limits on poolers that are out at once.
    pub pooler_limits: OutLimits,
}

/// Limits on machines that are out of service at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutLimits {
    /// Maximum in total.
    pub total: usize,
    /// Maximum per zone.
    pub per_zone: usize,
    /// Maximum number of zones with a machine out.
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

/// Maximum number of voters in a datagram, including those of earlier sets; `linnetdeal-coordination` has the same
/// limit.
const MAX_VOTERS: usize = 14;
/// The name of the lease whose holder executes plans.
const WORK_TASK: &str = "work";

pub(super) fn decode(
    raw: RawWork,
    leases: Option<&LeaseSettings>,
    validator: &mut Validator<'_>,
) -> WorkSettings {
    let mut duration = |name: &str, text: &str, min: Duration, max: Duration| {
        validator.duration(&format!("work.{name}"), text, (min, max))
    };
    let heartbeat_interval = duration("every", &raw.every, 50 * MS, MINUTE);
    let term = duration("term", &raw.term, 100 * MS, 10 * MINUTE);
    let start_timeout = duration("hold", &raw.hold, MS, DAY);
    let cold_period = duration("cold", &raw.cold, MS, DAY);
    let handover_timeout = duration("handing", &raw.handing, MS, DAY);
    let max_out_time = duration("longest", &raw.longest, MS, 30 * DAY);
    let Some(leases) = leases else {
        validator.report("work", "it rests on 'leases', which are not configured");
        return decode_remaining(
            raw,
            [heartbeat_interval, term, start_timeout, cold_period, handover_timeout, max_out_time],
            validator,
        );
    };
    if term > leases.max_term {
        validator.report("work.term", format!("{} is longer than 'leases.longest'", raw.term));
    }
    let voters: BTreeSet<u16> =
        leases.voters.iter().chain(leases.previous.iter().flatten()).copied().collect();
    if voters.len() > MAX_VOTERS {
        validator.report(
            "leases.previous",
            format!("{} voters in all, work supports at most {MAX_VOTERS}", voters.len()),
        );
    }
    if let Some(index) = leases.tasks.iter().position(|task| task.name == WORK_TASK) {
        validator.report(
            &format!("leases.tasks[{index}].name"),
            "this name is reserved for the lease that 'work' rests on",
        );
    }
    decode_remaining(
        raw,
        [heartbeat_interval, term, start_timeout, cold_period, handover_timeout, max_out_time],
        validator,
    )
}

/// Decodes the remaining settings; `durations` have been decoded already.
fn decode_remaining(raw: RawWork, durations: [Duration; 6], validator: &mut Validator<'_>) -> WorkSettings {
    let [heartbeat_interval, term, start_timeout, cold_period, handover_timeout, max_out_time] = durations;
    let mut quiet_hours = Vec::new();
    for (index, period) in raw.quiet.iter().enumerate() {
        let minute_of_day = |text: &str| {
            let (hours, minutes) = text.split_once(':')?;
            Some(hours.parse::<u16>().ok()? * 60 + minutes.parse::<u16>().ok()?)
        };
        match (minute_of_day(&period.from), minute_of_day(&period.to)) {
            (Some(from), Some(to)) if from != to => quiet_hours.push((from, to)),
            _ => validator.report(&format!("work.quiet[{index}]"), "it begins when it ends"),
        }
    }
    let handover = raw.handover.and_then(|raw| match raw.address.parse() {
        Ok(address) => Some((address, raw.path)),
        Err(error) => {
            validator.report("work.handover.address", format!("{error}"));
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
        capacity: raw.capacity.into_iter().map(|capacity| (capacity.machine, capacity.requests)).collect(),
        quiet_hours,
        handover,
        pooler_limits: (&raw.poolers).into(),
    }
}
