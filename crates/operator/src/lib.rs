//! The operator's file: what this installation wants beside what the platform configures. It is written in a strict
//! subset of CUE and unified with a schema that is part of the program; each fault is told with its place, and a file
//! with a fault changes nothing.

mod eval;
mod syntax;
mod typed;

pub use eval::{Diagnostic, Location, Tree};
pub use typed::{
    Credentials, HolderCall, LeaseSettings, LogFormat, LogSettings, Metadata, Network, OperatorSettings,
    OutLimits, PrimaryChangeSettings, PrimarySettings, ReadMode, Registration, RegistrySettings, Server,
    Task, WorkSettings,
};

/// The schema, for people to read and for `linnetdeal check --schema`.
pub const SCHEMA: &str = include_str!("schema.cue");

/// A file longer than this is not read.
pub const MAX_FILE_BYTES: usize = 256 * 1024;

/// Why a file can't be used: all that is wrong with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostics {
    /// Its name.
    pub file: String,
    /// What is wrong, in the order of the places.
    pub diagnostics: Vec<Diagnostic>,
}

impl std::error::Error for Diagnostics {}

impl std::fmt::Display for Diagnostics {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (at, fault) in self.diagnostics.iter().enumerate() {
            let end = if at + 1 < self.diagnostics.len() { "\n" } else { "" };
            write!(
                f,
                "{}:{}:{}: {}{end}",
                self.file, fault.location.line, fault.location.column, fault.message
            )?;
        }
        Ok(())
    }
}

impl OperatorSettings {
    /// Reads the file at `path`.
    ///
    /// # Errors
    ///
    /// When it can't be read, or something in it is wrong.
    pub fn load(path: &std::path::Path) -> Result<Self, Diagnostics> {
        let name = path.display().to_string();
        match std::fs::read(path) {
            Ok(bytes) => Self::decode(&name, &bytes),
            Err(error) => {
                let fault = Diagnostic { location: Location::default(), message: error.to_string() };
                Err(Diagnostics { file: name, diagnostics: vec![fault] })
            }
        }
    }

    /// Decodes a file's text; `name` is the file's, for its faults.
    ///
    /// # Errors
    ///
    /// When something in it is wrong.
    pub fn decode(name: &str, bytes: &[u8]) -> Result<Self, Diagnostics> {
        let tree = unify(SCHEMA, name, bytes)?;
        typed::decode(&tree).map_err(|faults| Diagnostics { file: name.to_owned(), diagnostics: faults })
    }
}

/// Puts a file's text together with a schema of one's own; `name` is the file's, for its faults.
///
/// # Errors
///
/// When something in it is wrong.
pub fn unify(schema: &str, name: &str, bytes: &[u8]) -> Result<Tree, Diagnostics> {
    let faults = |mut faults: Vec<Diagnostic>| {
        faults.sort();
        Diagnostics { file: name.to_owned(), diagnostics: faults }
    };
    let single = |what: String| faults(vec![Diagnostic { location: Location::default(), message: what }]);
    if bytes.len() > MAX_FILE_BYTES {
        return Err(single(format!("longer than {MAX_FILE_BYTES} bytes")));
    }
    let text = std::str::from_utf8(bytes).map_err(|error| single(format!("no UTF-8: {error}")))?;
    let schema = syntax::parse(schema).map_err(|fault| single(format!("the schema: {}", fault.message)))?;
    let file = syntax::parse(text).map_err(|fault| faults(vec![fault]))?;
    eval::evaluate(&schema, &file).map_err(&faults)
}
