//! Every key that the platform's settings may contain, and how it is used. Keys that are not read are listed with the
//! reason, or with what is not implemented yet; a test compares this list with the keys that the decoders look up.

/// How a setting is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Usage {
    /// A decoder reads it, and it has an effect.
    Read,
    /// A decoder reads it, but it has no effect, for this reason.
    Decoded(&'static str),
    /// No decoder reads it, for this reason.
    Unread(&'static str),
}

/// A key of the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Key {
    /// Its path; `*` stands for the index of a list item.
    pub path: &'static str,
    /// How it is used.
    pub usage: Usage,
}

impl Key {
    const fn read(path: &'static str) -> Self {
        Self { path, usage: Usage::Read }
    }

    const fn decoded(path: &'static str, why: &'static str) -> Self {
        Self { path, usage: Usage::Decoded(why) }
    }

    const fn unread(path: &'static str, why: &'static str) -> Self {
        Self { path, usage: Usage::Unread(why) }
    }

    /// Returns the key that covers this path, if there is one.
    #[must_use]
    pub fn find(path: &str) -> Option<&'static Self> {
        KEYS.iter().find(|key| key.matches(path))
    }

    fn matches(&self, path: &str) -> bool {
        let mut parts = path.split('.');
        let mut matched = self.path.split('.').all(|expected| {
            let part = parts.next().unwrap_or("");
            if expected == "*" { part.parse::<u32>().is_ok() } else { part == expected }
        });
        matched &= parts.next().is_none();
        // An empty list is flattened to one empty value instead of a count.
        matched || self.path.strip_suffix(".count") == Some(path)
    }
}

/// All keys, ordered by path.
pub const KEYS: &[Key] = &[
    Key::unread(
        "Clients.MarksRetry",
        "each retry bears its mark; where clients mark none, each request is taken for a first try",
    ),
    Key::unread("Costs.Connection", "not yet: connections are kept, whatever an open one costs"),
    Key::unread("Costs.CrossZone", "not yet: members are picked without regard to their zones"),
    Key::unread("Costs.Discovery", "each pooler keeps one watch; there is no cheaper way to hold a list"),
    Key::unread("Costs.Fleet", "the platform does not use it for poolers"),
    Key::unread("Costs.Handshake", "not yet: a connection is opened when no kept one is free"),
    Key::unread("Costs.LateFail", "not yet: what is hopeless is refused without regard to the price"),
    Key::unread("Costs.Moves", "replicas are not moved by poolers"),
    Key::unread("Costs.Origin", "databases have no origin to fetch from"),
    Key::read("Costs.Peer"),
    Key::unread("Costs.Probe", "not yet: how often members are probed goes by what is not known of them"),
    Key::unread("Costs.Waste", "not yet: second tries go by a budget per request, not by the price"),
    Key::read("Discovery"),
    Key::unread(
        "FamilyInfo.HoldsFor",
        "a member's wait is part of the time of its answer, which is measured",
    ),
    Key::read("FamilyInfo.NeedsByClass"),
    Key::unread("FamilyInfo.Notes", "words about the form of notes; both hosts decode that form only"),
    Key::read("FamilyInfo.OldestData"),
    Key::unread("FamilyInfo.ReportX0", "words about the unit of x0; both hosts decode that unit only"),
    Key::unread("FamilyInfo.ReportX1", "words about the meaning of x1, which is the same everywhere"),
    Key::read("FamilyInfo.SessionMarks"),
    Key::unread("FamilyInfo.ShowsRole", "a role in the list is the weakest evidence, however it is kept"),
    Key::unread("FamilyInfo.TellsPosition", "each answer shows by itself whether it tells a position"),
    Key::unread(
        "FamilyInfo.WaitsForCopy",
        "a write's wait for a copy is part of its time, which is measured",
    ),
    Key::read("FamilyInfo.WhenBehind"),
    Key::read("FamilyInfo.Zero"),
    Key::read("FleetSize"),
    Key::unread("Kinds", "members are told apart by their answers, not by their machines"),
    Key::read("Lanes.count"),
    Key::read("Lanes.*.AimStretch"),
    Key::read("Lanes.*.Deadline"),
    Key::read("Lanes.*.Effect"),
    Key::unread("Lanes.*.KeyScope", "a keyed request that may have run is not sent again at all"),
    Key::read("Lanes.*.LateValue"),
    Key::read("Lanes.*.Name"),
    Key::read("Lanes.*.Objective"),
    Key::unread("Lanes.*.Stream", "an answer shows by itself that it comes in pieces"),
    Key::unread("Lanes.*.Window", "a keyed request that may have run is not sent again at all"),
    Key::read("Lanes.*.Worth"),
    Key::unread("Layer", "a pooler serves the one tier that its list names"),
    Key::read("Limits.Cancel"),
    Key::unread("Limits.CpuUsPerRequest", "not yet: the own work is measured on the bench, not limited"),
    Key::unread("Limits.CpuUsPerS", "not yet: the own work is measured on the bench, not limited"),
    Key::read("Limits.DialTimeout"),
    Key::read("Limits.Keepalive"),
    Key::read("Limits.MaxRetryAfter"),
    Key::read("Limits.MayDuplicate"),
    Key::unread("Limits.OpenCap", "the platform turns away what is beyond it before a pooler sees it"),
    Key::read("Limits.Peers"),
    Key::read("Limits.Probing"),
    Key::read("Limits.RetryAfter"),
    Key::read("Limits.SendCap"),
    Key::unread("Limits.StreamsPerConn", "the protocol on sockets carries one request at a time"),
    Key::read("ObjectiveMix.Whole"),
    Key::read("ObjectiveMix.WorstClass"),
    Key::unread("ObjectiveMix.WorstTenant", "not yet: tenants count by their shares only"),
    Key::unread("ObjectiveMix.WorstWindow", "not yet: no moment counts for more than another"),
    Key::read("OverShareWorth"),
    Key::read("Rank"),
    Key::read("Report.Fields"),
    Key::unread("Report.How", "a report is taken wherever it comes, in an answer or from a probe"),
    Key::unread("Resolution", "each event brings its time, and a wake may come late"),
    Key::unread("Rules.AnswerSlack", "final answers come at the client's deadline, none in the slack"),
    Key::unread("Rules.AskEvery", "not yet: a watch is kept, and a broken one is opened again soon"),
    Key::read("Rules.Cold"),
    Key::read("Rules.ColdFrom"),
    Key::read("Rules.DrainGrace"),
    Key::decoded("Rules.Fall", "a cold member's budget is kept at each moment, so over any length of time"),
    Key::read("Rules.FallMultiple"),
    Key::read("Rules.SoftRemoval"),
    Key::unread("ServiceType", "replicated databases are the only service that this program knows"),
    Key::read("Tenants.count"),
    Key::read("Tenants.*.Name"),
    Key::unread("Tenants.*.Portion", "the quota says the same in requests a second"),
    Key::read("Tenants.*.QuotaRps"),
    Key::unread("Tiers", "a pooler serves the one tier that its list names"),
    Key::unread("WeightSource", "weights in the list are not read: members are learnt by their answers"),
    Key::unread("WorthBy", "not yet: worth is taken for a request's, by its class's usual time"),
    Key::read("Zone"),
    Key::unread("Zones", "the list's entries name their zones themselves"),
];
