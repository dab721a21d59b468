//! One body, from its bytes to news for the membership. Nothing of it counts before its end has been read. No I/O.

use super::body::{Body, BodyError, Format, Piece};
use super::mapping::{Mapping, Refused};
use super::mirror::{Mirror, Noted};
use super::model::{Instance, ModelError};
use super::poller::Ask;
use linnetdeal_core::ListState;
use linnetdeal_core::membership::{Claim, ClaimVersion, SourceUpdate};
use std::sync::Arc;

/// No more instances than this are taken from one body, so that the smallest ones a body can hold don't fill the memory.
const MOST_INSTANCES: usize = 50_000;
/// Of those that could not be taken, so many are named.
const MOST_NAMED: usize = 8;

/// What came of a body.
#[derive(Debug)]
pub struct Read {
    /// What it says of members.
    pub news: SourceUpdate,
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
    pub named: Vec<String>,
}

/// A body that is being read.
pub struct Reading<'m> {
    body: Body,
    taken: Taken<'m>,
}

struct Taken<'m> {
    mapping: &'m Mapping,
    server: usize,
    format: Format,
    whole: bool,
    /// Of a whole list, what it holds; what a delta changes is noted until its end.
    mirror: Mirror,
    changes: Vec<Noted>,
    claims: Vec<Claim>,
    view: i64,
    read: Counts,
}

#[derive(Default)]
struct Counts {
    hash_code: Option<String>,
    instances: usize,
    unreadable: usize,
    refused: usize,
    outside: usize,
    named: Vec<String>,
}

impl<'m> Reading<'m> {
    /// The reading of an answer to `ask` by the server of this number, of at most `most` bytes. `mirror` is an empty one
    /// of the kind that it will be brought into.
    #[must_use]
    pub fn new(
        mapping: &'m Mapping,
        mirror: Mirror,
        server: usize,
        ask: Ask,
        format: Format,
        most: u64,
    ) -> Self {
        let taken = Taken {
            mapping,
            server,
            format,
            whole: ask == Ask::Full,
            mirror,
            changes: Vec::new(),
            claims: Vec::new(),
            view: i64::MIN,
            read: Counts::default(),
        };
        Self { body: Body::new(format, most), taken }
    }

    /// Reads on.
    ///
    /// # Errors
    ///
    /// When this is no such body.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), BodyError> {
        let Self { body, taken } = self;
        body.push(bytes, &mut |piece| taken.piece(&piece))
    }

    /// The end of the body: only now does it count. `mirror` is brought up to date with it.
    ///
    /// # Errors
    ///
    /// When the body is not whole.
    pub fn finish(self, mirror: &mut Mirror) -> Result<Read, BodyError> {
        self.body.finish()?;
        let Taken { whole, mirror: all, changes, claims, view, read, .. } = self.taken;
        if whole {
            *mirror = all;
        } else {
            changes.into_iter().for_each(|noted| mirror.take(noted));
        }
        // Who stands in it and could not be read must not count as missing.
        let view = if read.unreadable > 0 { i64::MIN } else { view };
        let news = if whole { SourceUpdate::Full { claims, view } } else { SourceUpdate::Changes(claims) };
        let Counts { hash_code, instances, unreadable, refused, outside, named } = read;
        Ok(Read { news, hash_code, instances, unreadable, refused, outside, named })
    }
}

impl Taken<'_> {
    fn piece(&mut self, piece: &Piece<'_>) -> Result<(), BodyError> {
        let bytes = match piece {
            Piece::HashCode(code) => {
                self.read.hash_code = Some((*code).to_owned());
                return Ok(());
            }
            Piece::Instance(bytes) => bytes,
        };
        self.read.instances += 1;
        if self.read.instances > MOST_INSTANCES {
            return Err(BodyError::Piece(format!("more than {MOST_INSTANCES} instances")));
        }
        let read = match self.format {
            Format::Json => Instance::from_json(bytes),
            Format::Xml => Instance::from_xml(bytes),
        };
        match read {
            Ok(instance) => self.instance(&instance),
            // What is no JSON or XML spoils the body; a field that makes no sense spoils one instance.
            Err(error @ ModelError::Form(_)) => return Err(BodyError::Piece(error.to_string())),
            Err(error) => {
                self.read.unreadable += 1;
                self.name(error.to_string());
            }
        }
        Ok(())
    }

    fn instance(&mut self, instance: &Instance) {
        // How new the registry's knowledge is shows in all that it holds, whosever that is.
        self.view = self.view.max(instance.dirty_ms.saturating_mul(2).saturating_add(1));
        match self.mapping.claim(instance, self.server) {
            Ok(claim) => self.claims.push(claim),
            Err(Refused::NotOurs) => {}
            // It is there, and must get nothing: not where it says that it is, and not where it was before.
            Err(refused) => {
                self.read.refused += 1;
                self.read.outside += usize::from(matches!(refused, Refused::Outside(_)));
                self.name(format!("instance '{}': {refused}", instance.id));
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
        let noted = self.mirror.note(instance);
        if self.whole {
            self.mirror.take(noted);
        } else {
            self.changes.push(noted);
        }
    }

    fn name(&mut self, words: String) {
        if self.read.named.len() < MOST_NAMED {
            self.read.named.push(words);
        }
    }
}
