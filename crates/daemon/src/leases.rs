//! Turns what an operator's file says of leases into what the pooler takes part with.

use linnetdeal_coordination::lease::{Key, LeaseSetup, PoolerInstance, TaskId, TaskSetup};
use linnetdeal_net::config::{Config, span_of};
use linnetdeal_net::leases::{Call, Wanted, life};
use linnetdeal_operator::LeaseSettings;
use std::path::{Path, PathBuf};

/// Why leases can't be had.
#[derive(Debug, thiserror::Error)]
pub enum LeaseError {
    /// The file of a key can't be read.
    #[error("leases.keys: {0}: {1}")]
    Read(PathBuf, std::io::Error),
    /// It holds too little.
    #[error("leases.keys: {0}: its first line has fewer than {least} bytes", least = Key::MIN_BYTES)]
    Short(PathBuf),
    /// Two tasks look alike in a datagram.
    #[error("leases.tasks: {0} and {1} can't be told apart in a datagram, rename one")]
    Alike(String, String),
    /// The platform says not which of the poolers this one is.
    #[error("leases: the configuration has no settings.Rank, and voters are named by it")]
    Unnumbered,
    /// A pooler that does not exist.
    #[error("leases.voters: there is no pooler {0}, the platform names {1}")]
    Nobody(u16, usize),
}

fn key(path: &Path) -> Result<Key, LeaseError> {
    let bytes = std::fs::read(path).map_err(|error| LeaseError::Read(path.to_owned(), error))?;
    let line = bytes.split(|byte| *byte == b'\n').next().unwrap_or_default();
    Key::new(line.trim_ascii()).ok_or_else(|| LeaseError::Short(path.to_owned()))
}

/// Reads the keys.
pub fn keys(settings: &LeaseSettings) -> Result<Vec<Key>, LeaseError> {
    for (at, task) in settings.tasks.iter().enumerate() {
        let alike =
            settings.tasks[..at].iter().find(|other| TaskId::of(&other.name) == TaskId::of(&task.name));
        if let Some(other) = alike {
            return Err(LeaseError::Alike(other.name.clone(), task.name.clone()));
        }
    }
    settings.keys.iter().map(|path| key(path)).collect()
}

/// What this pooler is to take part with.
pub fn wanted(settings: &LeaseSettings, config: &Config) -> Result<Wanted, LeaseError> {
    let number = match u16::try_from(config.settings.rank) {
        Ok(number) => number,
        Err(_) if config.peers.is_some() => return Err(LeaseError::Unnumbered),
        // Nobody talks: leases stay off, with a warning.
        Err(_) => 0,
    };
    if let Some(peers) = &config.peers {
        let fleet = peers.each.len();
        let everybody = settings.voters.iter().chain(settings.previous.iter().flatten());
        if let Some(nobody) = everybody.copied().find(|voter| usize::from(*voter) >= fleet) {
            return Err(LeaseError::Nobody(nobody, fleet));
        }
    }
    let wants =
        |candidates: &std::collections::BTreeSet<u16>| candidates.is_empty() || candidates.contains(&number);
    let tasks = settings.tasks.iter().map(|task| TaskSetup {
        name: task.name.clone(),
        term: span_of(task.term),
        wanted: wants(&task.candidates),
    });
    let calls = settings.tasks.iter().filter_map(|task| {
        let call = task.call.as_ref()?;
        let (path, every, lasts) = (call.path.clone(), call.every, call.lasts);
        Some(Call { task: task.name.clone(), address: call.address, path, every, lasts })
    });
    let setup = LeaseSetup {
        me: PoolerInstance { number, incarnation: life(config.seed) },
        seed: config.seed,
        site: settings.site.clone(),
        version: settings.version,
        voters: settings.voters.clone(),
        previous: settings.previous.clone(),
        drift: settings.drift,
        max_term: span_of(settings.longest),
        keys: keys(settings)?,
        tasks: tasks.collect(),
        wall_ms: linnetdeal_net::clock::wall_ms(),
    };
    Ok(Wanted { setup, calls: calls.collect(), positions: settings.positions })
}
