//! State that a process shares with the process that succeeds it, kept as files in `$TMPDIR`. A fact is
//! expressed by whether a file exists, so that no fact can be half written and no change by the other process
//! is lost. `core/hot_restart.rs` defines the facts' meaning.

use crate::sent_ids::{self, SentIdLog};
use async_io::Timer;
use linnetdeal_core::MemberId;
use linnetdeal_core::hot_restart::{DrainChanges, OperatorDrains};
use linnetdeal_core::membership::MAX_OPERATOR_DRAINS;
use rustix::fs::{FlockOperation, flock};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::fs::File;
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

/// Folder with an empty file for each server drained by an operator, named by the server's id in hexadecimal
/// digits.
const DRAINED_DIR: &str = "linnetdeal.out";
/// File that names the newest process.
const NEWEST_FILE: &str = "linnetdeal.newest";
/// Prefix of the lock files. Each process locks a file of its own while it lives; the system releases the lock
/// however the process ends.
const LOCK_PREFIX: &str = "linnetdeal.alive";
/// Prefix of the files that hold the maintenance record known to the processes of this pooler.
const WORK_PREFIX: &str = "linnetdeal.work";
/// Interval between reads of the operator drains. No new request may go to a server later than 0.25 s after the
/// other process has confirmed the drain.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// A folder modified more recently than this may have been modified again within the same tick of the file
/// system's clock, so its modification time does not prove that nothing changed.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Limit on the files read from a folder: the maximum number of drained servers, with room for foreign files.
const MAX_FILES: usize = MAX_OPERATOR_DRAINS + 100;
/// Maximum length of a server's id, in bytes, that fits into a file name as hexadecimal digits.
pub const MAX_ID_BYTES: usize = 120;

/// The shared state, as this process sees it.
#[derive(Debug)]
pub struct SharedState {
    folder: PathBuf,
    own_name: String,
    bans: RefCell<OperatorDrains>,
    drains_seen: Cell<Option<SystemTime>>,
    work_seen: Cell<Option<SystemTime>>,
    /// This process's lock file, held open while the process lives.
    own_lock: RefCell<Option<File>>,
}

impl SharedState {
    /// Opens the shared state in `folder`, creating its subfolder.
    ///
    /// # Errors
    ///
    /// When the subfolder can't be created.
    pub fn open(folder: &Path) -> io::Result<Self> {
        std::fs::create_dir_all(folder.join(DRAINED_DIR))?;
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let own_name = format!("{}-{}", std::process::id(), now.as_nanos());
        let (bans, drains_seen, own_lock) = (RefCell::default(), Cell::new(None), RefCell::default());
        Ok(Self {
            folder: folder.to_owned(),
            own_name,
            bans,
            drains_seen,
            work_seen: Cell::new(None),
            own_lock,
        })
    }

    /// Registers this process as the newest one, and takes its lock.
    ///
    /// # Errors
    ///
    /// When a file can't be read, written or locked.
    pub fn register_as_newest(&self) -> io::Result<()> {
        // Removes lock files left behind by ended processes. A live process holds the lock on its file.
        for entry in std::fs::read_dir(&self.folder)?.take(MAX_FILES).flatten() {
            let lock_name = entry.file_name();
            if lock_name.to_str().is_some_and(|name| name.starts_with(LOCK_PREFIX))
                && try_lock(&entry.path()).is_ok()
            {
                let _ = std::fs::remove_file(entry.path());
            }
        }
        // Another process that starts at the same moment may test this lock, find it free and remove the file.
        // The loop ends once the locked file is the one that the path names.
        let path = self.lock_path(&self.own_name);
        *self.own_lock.borrow_mut() = loop {
            let lock_file = File::options().create(true).append(true).open(&path)?;
            flock(&lock_file, FlockOperation::LockExclusive)?;
            if std::fs::metadata(&path)
                .is_ok_and(|current| lock_file.metadata().is_ok_and(|held| current.ino() == held.ino()))
            {
                break Some(lock_file);
            }
        };
        let temporary = self.folder.join(format!("{NEWEST_FILE}.{}", self.own_name));
        std::fs::write(&temporary, &self.own_name)?;
        std::fs::rename(&temporary, self.folder.join(NEWEST_FILE))
    }

    /// Whether a newer process has registered and is alive. Returns false when the file can't be read.
    #[must_use]
    pub fn is_superseded(&self) -> bool {
        let newest = std::fs::read(self.folder.join(NEWEST_FILE));
        newest.is_ok_and(|newest| !newest.is_empty() && newest != self.own_name.as_bytes())
            && !self.successor_is_dead()
    }

    /// Shares the ids of requests that must not run again, and removes the files of ended processes.
    ///
    /// # Errors
    ///
    /// When this process's file can't be created.
    pub fn share_sent_ids(&self, log: &SentIdLog) -> io::Result<()> {
        log.share(&self.folder, &self.own_name)?;
        let is_alive = |owner: &str| owner == self.own_name || self.is_locked(owner);
        sent_ids::remove_files_of_ended(&self.folder, is_alive);
        Ok(())
    }

    /// Whether the process of this name holds its lock. A process that is just starting has none yet: its file of ids
    /// would be empty.
    fn is_locked(&self, owner: &str) -> bool {
        let file = File::open(self.lock_path(owner));
        file.is_ok_and(|file| flock(&file, FlockOperation::NonBlockingLockExclusive).is_err())
    }

    fn lock_path(&self, owner: &str) -> PathBuf {
        self.folder.join(format!("{LOCK_PREFIX}.{owner}"))
    }

    /// Whether the process that succeeded this one is dead. A hung process does not count as dead, since it
    /// can't be told from a slow one.
    #[must_use]
    pub fn successor_is_dead(&self) -> bool {
        let Ok(newest) = std::fs::read_to_string(self.folder.join(NEWEST_FILE)) else { return false };
        if newest.is_empty() || newest == self.own_name {
            return false;
        }
        let file = File::open(self.lock_path(&newest));
        file.is_ok_and(|file| flock(&file, FlockOperation::NonBlockingLockExclusive).is_ok())
    }

    /// Whether this process holds its lock and no other process of this pooler is alive.
    #[must_use]
    pub fn is_alone(&self) -> bool {
        if self.own_lock.borrow().is_none() {
            return false;
        }
        let Ok(files) = std::fs::read_dir(&self.folder) else { return false };
        let own_path = self.lock_path(&self.own_name);
        files.flatten().all(|file| {
            let lock_name = file.file_name();
            let other = lock_name.to_str().is_some_and(|name| name.starts_with(LOCK_PREFIX))
                && file.path() != own_path;
            !other || try_lock(&file.path()).is_ok()
        })
    }

    /// Whether this process holds its lock and another process of this pooler is alive.
    #[must_use]
    pub fn has_other_process(&self) -> bool {
        self.own_lock.borrow().is_some() && !self.is_alone()
    }

    /// Stores the maintenance record that this process knows, under its version. Each version has a file of its
    /// own, because on some file systems replacing a file by rename waits for the disk, and with it all
    /// requests would wait.
    ///
    /// # Errors
    ///
    /// When a file system operation fails.
    pub fn write_work(&self, version: (u64, u32), bytes: &[u8]) -> io::Result<()> {
        let path = self.folder.join(format!("{WORK_PREFIX}.{:016x}.{:08x}", version.0, version.1));
        std::fs::write(&path, bytes)?;
        // Older versions are obsolete, whichever process wrote them.
        for obsolete in self.work_files()?.filter(|file| *file < path) {
            let _ = std::fs::remove_file(obsolete);
        }
        Ok(())
    }

    fn work_files(&self) -> io::Result<impl Iterator<Item = PathBuf>> {
        let files = std::fs::read_dir(&self.folder)?.flatten().map(|file| file.path());
        Ok(files.filter(|path| {
            path.file_name().and_then(|name| name.to_str()).is_some_and(|name| name.starts_with(WORK_PREFIX))
        }))
    }

    /// Returns the newest maintenance record stored by any process of this pooler; `None` if the folder is
    /// unchanged since the last call. The bytes may be half written: the caller has to detect that.
    #[must_use]
    pub fn read_work(&self) -> Option<Vec<u8>> {
        let modified = std::fs::metadata(&self.folder).ok()?.modified().ok()?;
        if self.work_seen.get() == Some(modified) && modified.elapsed().is_ok_and(|age| age > SETTLE_TIME) {
            return None;
        }
        self.work_seen.set(Some(modified));
        std::fs::read(self.work_files().ok()?.max()?).ok()
    }

    /// Records that an operator has drained a server, or has ended that.
    ///
    /// # Errors
    ///
    /// When a file system operation fails. The change still applies in this process.
    pub fn set_operator_drain(&self, member: &MemberId, drained: bool) -> io::Result<()> {
        let hex: String = member.0.bytes().map(|byte| format!("{byte:02x}")).collect();
        let file = self.folder.join(DRAINED_DIR).join(hex);
        if drained {
            std::fs::write(file, "")?;
        } else if let Err(error) = std::fs::remove_file(file) {
            // Ending a drain twice is no error.
            if error.kind() != io::ErrorKind::NotFound {
                return Err(error);
            }
        }
        self.bans.borrow_mut().record(member, drained);
        Ok(())
    }

    /// Returns the changes made by the other process, and the number of files whose name is no server id.
    ///
    /// # Errors
    ///
    /// When the folder can't be read or holds more files than this program creates. Drained servers stay
    /// drained then.
    pub fn poll_operator_drains(&self) -> io::Result<(DrainChanges, usize)> {
        let folder = self.folder.join(DRAINED_DIR);
        let modified = std::fs::metadata(&folder)?.modified()?;
        let settled = modified.elapsed().is_ok_and(|age| age > SETTLE_TIME);
        if settled && self.drains_seen.replace(Some(modified)) == Some(modified) {
            return Ok(Default::default());
        }
        let (mut found, mut foreign) = (BTreeSet::new(), 0);
        for entry in std::fs::read_dir(folder)? {
            if found.len() + foreign >= MAX_FILES {
                return Err(io::Error::new(
                    io::ErrorKind::InvalidData,
                    "too many files in the folder of drained servers",
                ));
            }
            match entry?.file_name().to_str().and_then(decode_id) {
                Some(id) => drop(found.insert(id)),
                None => foreign += 1,
            }
        }
        Ok((self.bans.borrow_mut().update(found), foreign))
    }

    /// Polls for changes made by the other process and passes them to `take`; never returns.
    pub async fn follow(&self, mut take: impl FnMut(DrainChanges)) {
        loop {
            Timer::after(POLL_INTERVAL).await;
            if let Ok((changes, _)) = self.poll_operator_drains() {
                take(changes);
            }
        }
    }
}

fn try_lock(path: &Path) -> io::Result<File> {
    let file = File::open(path)?;
    flock(&file, FlockOperation::NonBlockingLockExclusive)?;
    Ok(file)
}

/// Decodes a server's id from a file name.
fn decode_id(name: &str) -> Option<MemberId> {
    let digit = |index: usize| name.get(index..index + 2).and_then(|pair| u8::from_str_radix(pair, 16).ok());
    let bytes: Option<Vec<u8>> = (0..name.len()).step_by(2).map(digit).collect();
    let text = String::from_utf8(bytes.filter(|bytes| !bytes.is_empty())?).ok()?;
    Some(MemberId(Arc::from(text.as_str())))
}
