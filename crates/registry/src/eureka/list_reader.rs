//! Converts a response body to an update for the membership. Nothing takes effect before the end of the body. No I/O.

use super::body::{BodyError, BodyScanner, Format, Item};
use super::mapping::{Mapping, MappingError};
use super::mirror::{Mirror, StatusChange};
use super::model::{Instance, InstanceError};
use super::poller::FetchKind;
use linnetdeal_core::ListState;
use linnetdeal_core::membership::{Claim, ClaimVersion, SourceUpdate};
use std::sync::Arc;

/// The maximum number of instances in a body. It bounds the memory that a body of very small instances can use.
const MAX_INSTANCES: usize = 50_000;
/// The maximum number of problems that are described in words.
const MAX_PROBLEMS: usize = 8;

/// The content of a complete body.
#[derive(Debug)]
pub struct ListUpdate {
    /// The update for the membership.
    pub source_update: SourceUpdate,
    /// The registry's hash code, if it sent one.
    pub hash_code: Option<String>,
    /// The number of instances of all applications.
    pub instances: usize,
    /// The number of instances with invalid fields.
    pub unreadable: usize,
    /// The number of instances of our applications that can't be members.
    pub refused: usize,
    /// The number of those that are outside of the allowed networks.
    pub outside: usize,
    /// Descriptions of the first few unreadable and refused instances.
    pub problems: Vec<String>,
}

/// Reads one response body.
pub struct ListReader<'m> {
    scanner: BodyScanner,
    collector: Collector<'m>,
}

struct Collector<'m> {
    mapping: &'m Mapping,
    server: usize,
    format: Format,
    is_full: bool,
    /// The content of a full list. The changes of a delta are collected in `status_changes` until its end.
    mirror: Mirror,
    status_changes: Vec<StatusChange>,
    claims: Vec<Claim>,
    /// The highest stamp in the body, which shows how recent it is.
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
    /// Creates a reader for a response of at most `max_bytes` bytes from the server with this index. `mirror` is empty
    /// and has the same hasher as the one that [`Self::finish`] will update.
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

    /// Reads the next bytes.
    ///
    /// # Errors
    ///
    /// When the body is malformed or exceeds a limit.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), BodyError> {
        let Self { scanner, collector } = self;
        scanner.push(bytes, &mut |item| collector.add_item(&item))
    }

    /// Ends the body, updates `mirror` and returns the content.
    ///
    /// # Errors
    ///
    /// When the body is truncated; `mirror` is unchanged then.
    pub fn finish(self, mirror: &mut Mirror) -> Result<ListUpdate, BodyError> {
        self.scanner.finish()?;
        let Collector { is_full, mirror: new_mirror, status_changes, claims, view, summary, .. } =
            self.collector;
        if is_full {
            *mirror = new_mirror;
        } else {
            status_changes.into_iter().for_each(|status_change| mirror.apply(status_change));
        }
        // An instance that is listed but unreadable must not count as missing from the list.
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
            // Malformed JSON or XML makes the whole body invalid, an invalid field only its instance.
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
        // Instances of all applications show how recent the registry's data is.
        self.view = self.view.max(instance.dirty_ms.saturating_mul(2).saturating_add(1));
        match self.mapping.claim(instance, self.server) {
            Ok(claim) => self.claims.push(claim),
            Err(MappingError::OtherApplication) => {}
            // The instance exists but must not receive requests, neither at the reported address nor at an earlier one.
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
        // The mirror covers all applications; the collected changes of a delta are bounded by the size of its body.
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
