//! Converts the lease settings of an operator's file to the pooler's lease options.

use linnetdeal_coordination::lease::{Key, LeaseSetup, PoolerInstance, TaskId, TaskSetup};
use linnetdeal_net::config::{Config, span_of};
use linnetdeal_net::leases::{HolderCall, LeaseOptions, new_incarnation};
use linnetdeal_operator::LeaseSettings;
use std::path::{Path, PathBuf};

/// Why the lease settings can't be used.
#[derive(Debug, thiserror::Error)]
pub enum LeaseError {
    /// A key file can't be read.
    #[error("leases.keys: {0}: {1}")]
    ReadKey(PathBuf, std::io::Error),
    /// The key is too short.
    #[error("leases.keys: {0}: its first line has fewer than {least} bytes", least = Key::MIN_BYTES)]
    ShortKey(PathBuf),
    /// Two tasks have the same id in datagrams, which is a hash of the name.
    #[error("leases.tasks: {0} and {1} can't be told apart in a datagram, rename one")]
    DuplicateId(String, String),
    /// The platform's configuration does not state this pooler's number.
    #[error("leases: the configuration has no settings.Rank, and voters are named by it")]
    MissingRank,
    /// A voter is not one of the platform's poolers.
    #[error("leases.voters: there is no pooler {0}, the platform names {1}")]
    UnknownPooler(u16, usize),
}

fn read_key(path: &Path) -> Result<Key, LeaseError> {
    let bytes = std::fs::read(path).map_err(|error| LeaseError::ReadKey(path.to_owned(), error))?;
    let line = bytes.split(|byte| *byte == b'\n').next().unwrap_or_default();
    Key::new(line.trim_ascii()).ok_or_else(|| LeaseError::ShortKey(path.to_owned()))
}

/// Reads the keys, and checks that the tasks' ids differ.
pub fn read_keys(settings: &LeaseSettings) -> Result<Vec<Key>, LeaseError> {
    for (index, task) in settings.tasks.iter().enumerate() {
        let duplicate =
            settings.tasks[..index].iter().find(|other| TaskId::of(&other.name) == TaskId::of(&task.name));
        if let Some(other) = duplicate {
            return Err(LeaseError::DuplicateId(other.name.clone(), task.name.clone()));
        }
    }
    settings.keys.iter().map(|path| read_key(path)).collect()
}

/// Builds the lease options of this pooler.
pub fn options(settings: &LeaseSettings, config: &Config) -> Result<LeaseOptions, LeaseError> {
    let number = match u16::try_from(config.settings.rank) {
        Ok(number) => number,
        Err(_) if config.peers.is_some() => return Err(LeaseError::MissingRank),
        // Without communication between poolers the leases stay off, with a warning.
        Err(_) => 0,
    };
    if let Some(peers) = &config.peers {
        let fleet = peers.each.len();
        let all_voters = settings.voters.iter().chain(settings.previous.iter().flatten());
        if let Some(unknown_voter) = all_voters.copied().find(|voter| usize::from(*voter) >= fleet) {
            return Err(LeaseError::UnknownPooler(unknown_voter, fleet));
        }
    }
    let is_candidate =
        |candidates: &std::collections::BTreeSet<u16>| candidates.is_empty() || candidates.contains(&number);
    let tasks = settings.tasks.iter().map(|task| TaskSetup {
        name: task.name.clone(),
        term: span_of(task.term),
        wanted: is_candidate(&task.candidates),
    });
    let calls = settings.tasks.iter().filter_map(|task| {
        let call = task.call.as_ref()?;
        let (path, interval, act_duration) = (call.path.clone(), call.interval, call.act_duration);
        Some(HolderCall { task: task.name.clone(), address: call.address, path, interval, act_duration })
    });
    let setup = LeaseSetup {
        me: PoolerInstance { number, incarnation: new_incarnation(config.seed) },
        seed: config.seed,
        site: settings.site.clone(),
        version: settings.version,
        voters: settings.voters.clone(),
        previous: settings.previous.clone(),
        drift: settings.drift,
        max_term: span_of(settings.max_term),
        keys: read_keys(settings)?,
        tasks: tasks.collect(),
        wall_ms: linnetdeal_net::clock::wall_ms(),
    };
    Ok(LeaseOptions { setup, calls: calls.collect(), positions: settings.positions })
}
