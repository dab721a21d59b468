//! The facts that a process shares with the one that takes its place, as files of `$TMPDIR`: each stands or does not, so that
//! none can be torn and no change of the other process is lost. `core/succession.rs` says what they mean.

use async_io::Timer;
use linnetdeal_core::MemberId;
use linnetdeal_core::membership::MAX_OPERATOR_DRAINS;
use linnetdeal_core::succession::{Bans, Changes};
use rustix::fs::{FlockOperation, flock};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::fs::File;
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

/// An empty file for each server that is out by hand, named by its id in hexadecimal digits.
const OUT: &str = "linnetdeal.out";
/// Names the newest process.
const NEWEST: &str = "linnetdeal.newest";
/// Each process holds a lock on a file of its own for as long as it lives; the system takes it away however the process ends.
const ALIVE: &str = "linnetdeal.alive";
/// What processes of this pooler know to be out by a plan.
const WORK: &str = "linnetdeal.work";
/// How often it is looked; nothing new goes to a server 0.25 s after the other process has said yes to a call.
const LOOK: Duration = Duration::from_millis(50);
/// A folder that changed less long ago may have changed once more within one tick of the file system's clock.
const SETTLED: Duration = Duration::from_secs(1);
/// More files than there may be bans, with room for strange ones, are not all read.
const MOST_FILES: usize = MAX_OPERATOR_DRAINS + 100;
/// An id that is longer, in bytes, has no name of a file.
pub const LONGEST_ID: usize = 120;

/// What is shared, as this process sees it.
#[derive(Debug)]
pub struct SharedState {
    folder: PathBuf,
    own: String,
    bans: RefCell<Bans>,
    seen: Cell<Option<SystemTime>>,
    seen_work: Cell<Option<SystemTime>>,
    /// The own lock, while this lives.
    alive: RefCell<Option<File>>,
}

impl SharedState {
    /// Opens the part of `folder` that holds it.
    ///
    /// # Errors
    ///
    /// When it can't be made.
    pub fn open(folder: &Path) -> io::Result<Self> {
        std::fs::create_dir_all(folder.join(OUT))?;
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let own = format!("{}-{}", std::process::id(), now.as_nanos());
        let (bans, seen, alive) = (RefCell::default(), Cell::new(None), RefCell::default());
        Ok(Self { folder: folder.to_owned(), own, bans, seen, seen_work: Cell::new(None), alive })
    }

    /// Says that this process is the newest.
    ///
    /// # Errors
    ///
    /// When it can't be written.
    pub fn register_as_newest(&self) -> io::Result<()> {
        // What processes before left behind goes; a lock that is held is a living one's.
        for entry in std::fs::read_dir(&self.folder)?.take(MOST_FILES).flatten() {
            let of = entry.file_name();
            if of.to_str().is_some_and(|name| name.starts_with(ALIVE)) && lock(&entry.path()).is_ok() {
                let _ = std::fs::remove_file(entry.path());
            }
        }
        // Others only look whether they can have it; one that starts at the same moment may have taken it for left behind.
        let path = self.alive_file(&self.own);
        *self.alive.borrow_mut() = loop {
            let own = File::options().create(true).append(true).open(&path)?;
            flock(&own, FlockOperation::LockExclusive)?;
            if std::fs::metadata(&path)
                .is_ok_and(|there| own.metadata().is_ok_and(|held| there.ino() == held.ino()))
            {
                break Some(own);
            }
        };
        let beside = self.folder.join(format!("{NEWEST}.{}", self.own));
        std::fs::write(&beside, &self.own)?;
        std::fs::rename(&beside, self.folder.join(NEWEST))
    }

    /// Whether a newer process has said so since, and lives. What can't be read says nothing.
    #[must_use]
    pub fn is_superseded(&self) -> bool {
        let newest = std::fs::read(self.folder.join(NEWEST));
        newest.is_ok_and(|newest| !newest.is_empty() && newest != self.own.as_bytes())
            && !self.successor_is_dead()
    }

    fn alive_file(&self, of: &str) -> PathBuf {
        self.folder.join(format!("{ALIVE}.{of}"))
    }

    /// Whether the process that has taken this one's place is dead. One that hangs is not: nothing tells that from one that
    /// is slow.
    #[must_use]
    pub fn successor_is_dead(&self) -> bool {
        let Ok(newest) = std::fs::read_to_string(self.folder.join(NEWEST)) else { return false };
        if newest.is_empty() || newest == self.own {
            return false;
        }
        let file = File::open(self.alive_file(&newest));
        file.is_ok_and(|file| flock(&file, FlockOperation::NonBlockingLockExclusive).is_ok())
    }

    /// Whether no other process of this pooler lives, and this one has its lock.
    #[must_use]
    pub fn is_alone(&self) -> bool {
        if self.alive.borrow().is_none() {
            return false;
        }
        let Ok(files) = std::fs::read_dir(&self.folder) else { return false };
        let own = self.alive_file(&self.own);
        files.flatten().all(|file| {
            let of = file.file_name();
            let other = of.to_str().is_some_and(|name| name.starts_with(ALIVE)) && file.path() != own;
            !other || lock(&file.path()).is_ok()
        })
    }

    /// Whether another process of this pooler lives.
    #[must_use]
    pub fn has_other_process(&self) -> bool {
        self.alive.borrow().is_some() && !self.is_alone()
    }

    /// Writes down what this process knows to be out by a plan, of this age. Each age has a file of its own: to replace one by
    /// renaming makes some file systems wait for the disk, and all requests with them.
    ///
    /// # Errors
    ///
    /// When the file system refuses.
    pub fn write_work(&self, age: (u64, u32), bytes: &[u8]) -> io::Result<()> {
        let path = self.folder.join(format!("{WORK}.{:016x}.{:08x}", age.0, age.1));
        std::fs::write(&path, bytes)?;
        // What is older says nothing more, whichever process wrote it.
        for older in self.work_files()?.filter(|file| *file < path) {
            let _ = std::fs::remove_file(older);
        }
        Ok(())
    }

    fn work_files(&self) -> io::Result<impl Iterator<Item = PathBuf>> {
        let files = std::fs::read_dir(&self.folder)?.flatten().map(|file| file.path());
        Ok(files.filter(|path| {
            path.file_name().and_then(|name| name.to_str()).is_some_and(|name| name.starts_with(WORK))
        }))
    }

    /// The newest that some process of this pooler has written down of that, if it has changed since this was asked. What is
    /// half written is not to be read yet, by whoever reads it.
    #[must_use]
    pub fn read_work(&self) -> Option<Vec<u8>> {
        let modified = std::fs::metadata(&self.folder).ok()?.modified().ok()?;
        if self.seen_work.get() == Some(modified) && modified.elapsed().is_ok_and(|age| age > SETTLED) {
            return None;
        }
        self.seen_work.set(Some(modified));
        std::fs::read(self.work_files().ok()?.max()?).ok()
    }

    /// Writes down that a server is out by hand, or takes that away.
    ///
    /// # Errors
    ///
    /// When the file system refuses; the call holds in this process all the same.
    pub fn set_disabled(&self, member: &MemberId, out: bool) -> io::Result<()> {
        let digits: String = member.0.bytes().map(|byte| format!("{byte:02x}")).collect();
        let file = self.folder.join(OUT).join(digits);
        if out {
            std::fs::write(file, "")?;
        } else if let Err(error) = std::fs::remove_file(file) {
            // One call back is enough, and a second one changes nothing.
            if error.kind() != io::ErrorKind::NotFound {
                return Err(error);
            }
        }
        self.bans.borrow_mut().set(member, out);
        Ok(())
    }

    /// What the other process has changed, and how many files there are none of this program's.
    ///
    /// # Errors
    ///
    /// When the folder can't be read, or holds more than this program puts there; who is out stays out.
    pub fn poll_disabled(&self) -> io::Result<(Changes, usize)> {
        let folder = self.folder.join(OUT);
        let modified = std::fs::metadata(&folder)?.modified()?;
        let old = modified.elapsed().is_ok_and(|age| age > SETTLED);
        if old && self.seen.replace(Some(modified)) == Some(modified) {
            return Ok(Default::default());
        }
        let (mut found, mut strange) = (BTreeSet::new(), 0);
        for entry in std::fs::read_dir(folder)? {
            if found.len() + strange >= MOST_FILES {
                return Err(io::Error::new(
                    io::ErrorKind::InvalidData,
                    "too many files among those of the servers out",
                ));
            }
            match entry?.file_name().to_str().and_then(id) {
                Some(id) => drop(found.insert(id)),
                None => strange += 1,
            }
        }
        Ok((self.bans.borrow_mut().look(found), strange))
    }

    /// Looks for ever, and hands on what the other process has changed.
    pub async fn follow(&self, mut take: impl FnMut(Changes)) {
        loop {
            Timer::after(LOOK).await;
            if let Ok((changes, _)) = self.poll_disabled() {
                take(changes);
            }
        }
    }
}

fn lock(path: &Path) -> io::Result<File> {
    let file = File::open(path)?;
    flock(&file, FlockOperation::NonBlockingLockExclusive)?;
    Ok(file)
}

/// The id that a file is named by.
fn id(name: &str) -> Option<MemberId> {
    let digit = |at: usize| name.get(at..at + 2).and_then(|two| u8::from_str_radix(two, 16).ok());
    let bytes: Option<Vec<u8>> = (0..name.len()).step_by(2).map(digit).collect();
    let text = String::from_utf8(bytes.filter(|bytes| !bytes.is_empty())?).ok()?;
    Some(MemberId(Arc::from(text.as_str())))
}
