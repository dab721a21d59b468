//! What the scripts of fleets have in common: reading folders, parsing durations, and computing statistics of
//! runs.

use serde::{Deserialize, Deserializer};
use std::path::Path;
use std::time::Duration;

/// Why a script can't be read or run.
pub type ScriptError = Box<dyn std::error::Error + Send + Sync>;

/// Deserializes a duration, written in `ms` or `s`.
///
/// # Errors
///
/// When the text is not a duration.
pub fn duration<'de, D: Deserializer<'de>>(from: D) -> Result<Duration, D::Error> {
    let text = String::deserialize(from)?;
    let unit = text.find(|letter: char| !letter.is_ascii_digit()).unwrap_or(text.len());
    let number: u64 = text[..unit].parse().map_err(serde::de::Error::custom)?;
    Ok(Duration::from_millis(if &text[unit..] == "s" { number * 1_000 } else { number }))
}

/// Reads all scripts of a folder, in the order of their file names.
///
/// # Errors
///
/// When a file can't be read, or `decode` rejects it.
pub fn read_folder<T>(
    folder: &Path,
    decode: impl Fn(&str, &[u8]) -> Result<T, ScriptError>,
) -> Result<Vec<T>, ScriptError> {
    let mut files: Vec<_> =
        std::fs::read_dir(folder)?.map(|entry| entry.map(|entry| entry.path())).collect::<Result<_, _>>()?;
    files.retain(|path| path.extension().is_some_and(|suffix| suffix == "cue"));
    files.sort();
    files.iter().map(|path| decode(&path.display().to_string(), &std::fs::read(path)?)).collect()
}

/// All scripts `times` times, each as the script's index and a seed.
#[must_use]
pub fn script_runs(scripts: usize, times: u64) -> Vec<(usize, u64)> {
    (1..=times).flat_map(|seed| (0..scripts).map(move |script| (script, seed))).collect()
}

/// The quantile of the values at `share` (0 to 1); sorts them. 0 if there are none.
pub fn quantile(values: &mut [f64], share: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let rank = (values.len() as f64 * share).ceil() as usize;
    values.get(rank.clamp(1, values.len().max(1)) - 1).copied().unwrap_or(0.0)
}
