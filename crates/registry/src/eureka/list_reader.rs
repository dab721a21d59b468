//! One body, from its bytes to news for the membership. Nothing of it counts before its end has been read. No I/O.

use super::body::{BodyError, BodyScanner, Format, Item};
use super::mapping::{Mapping, MappingError};
use super::mirror::{Mirror, StatusChange};
use super::model::{Instance, InstanceError};
use super::poller::FetchKind;
use linnetdeal_core::ListState;
use linnetdeal_core::membership::{Claim, ClaimVersion, SourceUpdate};
use std::sync::Arc;

/// No more instances than this are taken from one body, so that the smallest ones a body can hold don't fill the memory.
const MAX_INSTANCES: usize = 50_000;
/// Of those that could not be taken, so many are named.
const MAX_PROBLEMS: usize = 8;

/// What came of a body.
#[derive(Debug)]
pub struct ListUpdate {
    /// What it says of members.
    pub source_update: SourceUpdate,
    /// The registry's own hash code, where it gives one.
    pub hash_code: Option<String>,
    /// Instances in all, of all applications.
    pub instances: usize,
    /// Instances that can't be read.
    pub unreadable: usize,
    /// Instances of ours that can't be members; of these, those outside of the networks.
    pub refused: usize,
    /// Those that lie outside of the networks.
    pub outside: usize,
    /// The first few of the unreadable and refused, in words.
    pub problems: Vec<String>,
}

/// A body that is being read.
pub struct ListReader<'m> {
    scanner: BodyScanner,
    collector: Collector<'m>,
}

struct Collector<'m> {
    mapping: &'m Mapping,
    server: usize,
    format: Format,
    is_full: bool,
    /// Of a whole list, what it holds; what a delta changes is noted until its end.
    mirror: Mirror,
    status_changes: Vec<StatusChange>,
    claims: Vec<Claim>,
    view: i64,
    summary: ListSummary,
}

#[derive(Default)]
struct ListSummary {
    hash_code: Option<String>,
    instances: usize,
    unreadable: usize,
    refused: usize,
    outside: usize,
    problems: Vec<String>,
}

impl<'m> ListReader<'m> {
    /// The reading of an answer to `ask` by the server of this number, of at most `most` bytes. `mirror` is an empty one
    /// of the kind that it will be brought into.
    #[must_use]
    pub fn new(
        mapping: &'m Mapping,
        mirror: Mirror,
        server: usize,
        kind: FetchKind,
        format: Format,
        max_bytes: u64,
    ) -> Self {
        let collector = Collector {
            mapping,
            server,
            format,
            is_full: kind == FetchKind::Full,
            mirror,
            status_changes: Vec::new(),
            claims: Vec::new(),
            view: i64::MIN,
            summary: ListSummary::default(),
        };
        Self { scanner: BodyScanner::new(format, max_bytes), collector }
    }

    /// Reads on.
    ///
    /// # Errors
    ///
    /// When this is no such body.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), BodyError> {
        let Self { scanner, collector } = self;
        scanner.push(bytes, &mut |item| collector.add_item(&item))
    }

    /// The end of the body: only now does it count. `mirror` is brought up to date with it.
    ///
    /// # Errors
    ///
    /// When the body is not whole.
    pub fn finish(self, mirror: &mut Mirror) -> Result<ListUpdate, BodyError> {
        self.scanner.finish()?;
        let Collector { is_full, mirror: new_mirror, status_changes, claims, view, summary, .. } =
            self.collector;
        if is_full {
            *mirror = new_mirror;
        } else {
            status_changes.into_iter().for_each(|status_change| mirror.apply(status_change));
        }
        // Who stands in it and could not be read must not count as missing.
        let view = if summary.unreadable > 0 { i64::MIN } else { view };
        let source_update =
            if is_full { SourceUpdate::Full { claims, view } } else { SourceUpdate::Changes(claims) };
        let ListSummary { hash_code, instances, unreadable, refused, outside, problems } = summary;
        Ok(ListUpdate { source_update, hash_code, instances, unreadable, refused, outside, problems })
    }
}

impl Collector<'_> {
    fn add_item(&mut self, item: &Item<'_>) -> Result<(), BodyError> {
        let bytes = match item {
            Item::HashCode(code) => {
                self.summary.hash_code = Some((*code).to_owned());
                return Ok(());
            }
            Item::Instance(bytes) => bytes,
        };
        self.summary.instances += 1;
        if self.summary.instances > MAX_INSTANCES {
            return Err(BodyError::InvalidItem(format!("more than {MAX_INSTANCES} instances")));
        }
        let parsed = match self.format {
            Format::Json => Instance::from_json(bytes),
            Format::Xml => Instance::from_xml(bytes),
        };
        match parsed {
            Ok(instance) => self.add_instance(&instance),
            // What is no JSON or XML spoils the body; a field that makes no sense spoils one instance.
            Err(error @ InstanceError::Malformed(_)) => {
                return Err(BodyError::InvalidItem(error.to_string()));
            }
            Err(error) => {
                self.summary.unreadable += 1;
                self.record_problem(error.to_string());
            }
        }
        Ok(())
    }

    fn add_instance(&mut self, instance: &Instance) {
        // How new the registry's knowledge is shows in all that it holds, whosever that is.
        self.view = self.view.max(instance.dirty_ms.saturating_mul(2).saturating_add(1));
        match self.mapping.claim(instance, self.server) {
            Ok(claim) => self.claims.push(claim),
            Err(MappingError::OtherApplication) => {}
            // It is there, and must get nothing: not where it says that it is, and not where it was before.
            Err(rejection) => {
                self.summary.refused += 1;
                self.summary.outside += usize::from(matches!(rejection, MappingError::OutsideNetworks(_)));
                self.record_problem(format!("instance '{}': {rejection}", instance.id));
                let stamp = instance.dirty_ms.saturating_mul(2).saturating_add(1);
                self.claims.push(Claim {
                    member: linnetdeal_core::MemberId(Arc::from(instance.id.as_str())),
                    address: None,
                    group: None,
                    zone: String::new(),
                    machine: String::new(),
                    primary: false,
                    started: None,
                    state: ListState::Draining,
                    version: ClaimVersion { stamp, ..ClaimVersion::default() },
                });
            }
        }
        // The mirror is of all applications, and of a delta no more than a body's worth is kept.
        let status_change = self.mirror.status_change(instance);
        if self.is_full {
            self.mirror.apply(status_change);
        } else {
            self.status_changes.push(status_change);
        }
    }

    fn record_problem(&mut self, problem: String) {
        if self.summary.problems.len() < MAX_PROBLEMS {
            self.summary.problems.push(problem);
        }
    }
}
