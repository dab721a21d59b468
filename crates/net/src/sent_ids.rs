//! The ids of requests that must not run again, shared by the processes of one pooler while one replaces the other. Each
//! process appends to a file of its own in `$TMPDIR` and reads those of the others, in both cases before the first byte
//! of a request is sent: of two processes that send the same id, at least one sees the other's record.

use linnetdeal_core::sent_ids::{IdDigest, MAX_SENT_IDS, SentIds};
use sha2::{Digest, Sha256};
use std::cell::{OnceCell, RefCell};
use std::collections::BTreeMap;
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

/// Prefix of the files.
const FILE_PREFIX: &str = "linnetdeal.ids.";
/// Size of the number of records at the beginning of a file, in bytes.
const HEADER_SIZE: u64 = 8;
/// Size of a record, in bytes: the digest and whether it was inserted or removed.
const RECORD_SIZE: usize = 17;
/// Number of records in a file; beyond that, the oldest are overwritten.
const RECORDS: u64 = MAX_SENT_IDS as u64;
/// A folder modified more recently than this may have been modified again within the same tick of the file system's
/// clock.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Maximum number of files of other processes.
const MAX_FILES: usize = 16;

/// The digest of a client's id.
#[must_use]
pub fn digest(id: &str) -> IdDigest {
    let mut bytes = [0; 16];
    bytes.copy_from_slice(&Sha256::digest(id)[..16]);
    IdDigest(bytes)
}

/// The ids that are known to this process.
#[derive(Debug, Default)]
pub struct SentIdLog {
    known: RefCell<SentIds>,
    shared: OnceCell<SharedIds>,
}

impl SentIdLog {
    /// Shares the ids with the other processes that use `folder`; `own_name` names this one.
    ///
    /// # Errors
    ///
    /// When this process's file can't be created.
    pub fn share(&self, folder: &Path, own_name: &str) -> io::Result<()> {
        let shared = SharedIds::create(folder, own_name)?;
        shared.refresh(&mut self.known.borrow_mut());
        // Sharing begins once.
        let _ = self.shared.set(shared);
        Ok(())
    }

    /// Takes an id for a request whose first byte is about to be sent. Returns false if a request with this id may have
    /// run or may be running.
    #[must_use]
    pub fn claim(&self, id: IdDigest) -> bool {
        let mut known = self.known.borrow_mut();
        let shared = self.shared.get();
        let mut is_used = || {
            if let Some(shared) = shared {
                shared.refresh(&mut known);
            }
            known.contains(&id)
        };
        if is_used() {
            return false;
        }
        if let Some(shared) = shared {
            shared.append(id, true);
        }
        // Another process may have claimed it at the same moment.
        let used = is_used();
        known.insert(id);
        !used
    }

    /// Gives an id back whose request is known not to have run.
    pub fn release(&self, id: &IdDigest) {
        self.known.borrow_mut().remove(id);
        if let Some(shared) = self.shared.get() {
            shared.append(*id, false);
        }
    }
}

/// The files with the ids of all processes.
#[derive(Debug)]
struct SharedIds {
    folder: PathBuf,
    own_path: PathBuf,
    own: OwnFile,
    others: RefCell<Others>,
}

/// The file of this process.
#[derive(Debug)]
struct OwnFile {
    file: File,
    /// The number of records so far, and whether a failed write was logged.
    state: RefCell<(u64, bool)>,
}

/// The files of other processes, with the number of records read from each.
#[derive(Debug, Default)]
struct Others {
    files: BTreeMap<PathBuf, (File, u64)>,
    listed_at: Option<SystemTime>,
}

impl SharedIds {
    fn create(folder: &Path, own_name: &str) -> io::Result<Self> {
        let own_path = folder.join(format!("{FILE_PREFIX}{own_name}"));
        let file = File::create(&own_path)?;
        file.write_all_at(&0_u64.to_le_bytes(), 0)?;
        let own = OwnFile { file, state: RefCell::default() };
        Ok(Self { folder: folder.to_owned(), own_path, own, others: RefCell::default() })
    }

    /// Appends a record. A failure is logged once: requests are still served, without this safeguard.
    fn append(&self, id: IdDigest, inserted: bool) {
        let (count, logged) = &mut *self.own.state.borrow_mut();
        let mut record = [0; RECORD_SIZE];
        record[..16].copy_from_slice(&id.0);
        record[16] = u8::from(inserted);
        // The record is complete before the number of records covers it.
        let written = self
            .own
            .file
            .write_all_at(&record, HEADER_SIZE + (*count % RECORDS) * RECORD_SIZE as u64)
            .and_then(|()| self.own.file.write_all_at(&(*count + 1).to_le_bytes(), 0));
        match written {
            Ok(()) => *count += 1,
            Err(error) if !std::mem::replace(logged, true) => {
                tracing::warn!("ids of requests are not shared with other processes: {error}");
            }
            Err(_) => {}
        }
    }

    /// Reads what the other processes have appended.
    fn refresh(&self, known: &mut SentIds) {
        let others = &mut *self.others.borrow_mut();
        // What can't be read now is read the next time.
        let _ = self.list(others);
        others.files.retain(|_, (file, count)| read_records(file, count, known).is_ok());
    }

    /// Opens the files that have appeared since the last call.
    fn list(&self, others: &mut Others) -> io::Result<()> {
        let modified = std::fs::metadata(&self.folder)?.modified()?;
        let settled = modified.elapsed().is_ok_and(|age| age > SETTLE_TIME);
        if settled && others.listed_at == Some(modified) {
            return Ok(());
        }
        for entry in std::fs::read_dir(&self.folder)?.flatten() {
            let path = entry.path();
            let is_ids = entry.file_name().to_str().is_some_and(|name| name.starts_with(FILE_PREFIX));
            let known = path == self.own_path || others.files.contains_key(&path);
            if is_ids && !known && others.files.len() < MAX_FILES {
                others.files.insert(path.clone(), (File::open(path)?, 0));
            }
        }
        others.listed_at = Some(modified);
        Ok(())
    }
}

/// Reads the records behind the first `count` ones.
fn read_records(file: &File, count: &mut u64, known: &mut SentIds) -> io::Result<()> {
    let mut header = [0; HEADER_SIZE as usize];
    file.read_exact_at(&mut header, 0)?;
    let total = u64::from_le_bytes(header);
    for number in (*count).max(total.saturating_sub(RECORDS))..total {
        let mut record = [0; RECORD_SIZE];
        file.read_exact_at(&mut record, HEADER_SIZE + (number % RECORDS) * RECORD_SIZE as u64)?;
        let mut id = [0; 16];
        id.copy_from_slice(&record[..16]);
        match record[16] {
            0 => known.remove(&IdDigest(id)),
            _ => known.insert(IdDigest(id)),
        }
    }
    *count = total;
    Ok(())
}

/// Removes the files of processes that have ended, which `is_alive` tells by their names. Their records are known to
/// those that were read before.
pub fn remove_files_of_ended(folder: &Path, is_alive: impl Fn(&str) -> bool) {
    for entry in std::fs::read_dir(folder).into_iter().flatten().flatten() {
        let name = entry.file_name();
        let owner = name.to_str().and_then(|name| name.strip_prefix(FILE_PREFIX));
        if owner.is_some_and(|owner| !is_alive(owner)) {
            let _ = std::fs::remove_file(entry.path());
        }
    }
}
