//! What scripts of fleets have in common: their folders, their durations, and the figures of their plays.

use serde::{Deserialize, Deserializer};
use std::path::Path;
use std::time::Duration;

/// Why scripts can't be read or played.
pub type Failure = Box<dyn std::error::Error + Send + Sync>;

/// A duration as scripts have it, in `ms` or `s`.
///
/// # Errors
///
/// When it is none.
pub fn duration<'de, D: Deserializer<'de>>(from: D) -> Result<Duration, D::Error> {
    let text = String::deserialize(from)?;
    let unit = text.find(|letter: char| !letter.is_ascii_digit()).unwrap_or(text.len());
    let number: u64 = text[..unit].parse().map_err(serde::de::Error::custom)?;
    Ok(Duration::from_millis(if &text[unit..] == "s" { number * 1_000 } else { number }))
}

/// All scripts of a folder, in the order of their files' names.
///
/// # Errors
///
/// When one can't be read, or `decode` finds something wrong in it.
pub fn folder<T>(
    folder: &Path,
    decode: impl Fn(&str, &[u8]) -> Result<T, Failure>,
) -> Result<Vec<T>, Failure> {
    let mut files: Vec<_> =
        std::fs::read_dir(folder)?.map(|entry| entry.map(|entry| entry.path())).collect::<Result<_, _>>()?;
    files.retain(|path| path.extension().is_some_and(|suffix| suffix == "cue"));
    files.sort();
    files.iter().map(|path| decode(&path.display().to_string(), &std::fs::read(path)?)).collect()
}

/// Each play of all scripts, so often: the script's place and the seed.
#[must_use]
pub fn plays(scripts: usize, times: u64) -> Vec<(usize, u64)> {
    (1..=times).flat_map(|seed| (0..scripts).map(move |script| (script, seed))).collect()
}

/// The value below which this share of them lies.
pub fn quantile(values: &mut [f64], share: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let rank = (values.len() as f64 * share).ceil() as usize;
    values.get(rank.clamp(1, values.len().max(1)) - 1).copied().unwrap_or(0.0)
}
