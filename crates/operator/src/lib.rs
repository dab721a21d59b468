//! The operator's file: settings of this installation in addition to the platform's configuration. It is written in a
//! strict subset of CUE and unified with a schema that is part of the program. Each error is reported with its
//! location, and a file with an error has no effect at all.

mod eval;
mod syntax;
mod typed;

pub use eval::{Diagnostic, Location, Tree};
pub use typed::{
    Credentials, HolderCall, LeaseSettings, LogFormat, LogSettings, Metadata, Network, OperatorSettings,
    OutLimits, PrimaryChangeSettings, PrimarySettings, ReadMode, Registration, RegistrySettings, Server,
    Task, WorkSettings,
};

/// The schema of the operator's file, as printed by `linnetdeal check --schema`.
pub const SCHEMA: &str = include_str!("schema.cue");

/// Maximum size of a file in bytes; a larger file is rejected.
pub const MAX_FILE_BYTES: usize = 256 * 1024;

/// Why a file can't be used: all errors in it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostics {
    /// The file's name.
    pub file: String,
    /// The errors, in the order of their locations.
    pub diagnostics: Vec<Diagnostic>,
}

impl std::error::Error for Diagnostics {}

impl std::fmt::Display for Diagnostics {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (index, diagnostic) in self.diagnostics.iter().enumerate() {
            let end = if index + 1 < self.diagnostics.len() { "\n" } else { "" };
            write!(
                f,
                "{}:{}:{}: {}{end}",
                self.file, diagnostic.location.line, diagnostic.location.column, diagnostic.message
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
    /// When the file can't be read, or has errors.
    pub fn load(path: &std::path::Path) -> Result<Self, Diagnostics> {
        let name = path.display().to_string();
        match std::fs::read(path) {
            Ok(bytes) => Self::decode(&name, &bytes),
            Err(error) => {
                let diagnostic = Diagnostic { location: Location::default(), message: error.to_string() };
                Err(Diagnostics { file: name, diagnostics: vec![diagnostic] })
            }
        }
    }

    /// Decodes a file's text. `name` is the file's name, used in error messages.
    ///
    /// # Errors
    ///
    /// When the text has errors.
    pub fn decode(name: &str, bytes: &[u8]) -> Result<Self, Diagnostics> {
        let tree = unify(SCHEMA, name, bytes)?;
        typed::decode(&tree).map_err(|diagnostics| Diagnostics { file: name.to_owned(), diagnostics })
    }
}

/// Unifies a file's text with any schema. `name` is the file's name, used in error messages.
///
/// # Errors
///
/// When the text has errors, or does not conform to the schema.
pub fn unify(schema: &str, name: &str, bytes: &[u8]) -> Result<Tree, Diagnostics> {
    let failure = |mut diagnostics: Vec<Diagnostic>| {
        diagnostics.sort();
        Diagnostics { file: name.to_owned(), diagnostics }
    };
    let file_error = |message: String| failure(vec![Diagnostic { location: Location::default(), message }]);
    if bytes.len() > MAX_FILE_BYTES {
        return Err(file_error(format!("longer than {MAX_FILE_BYTES} bytes")));
    }
    let text = std::str::from_utf8(bytes).map_err(|error| file_error(format!("not valid UTF-8: {error}")))?;
    let schema = syntax::parse(schema)
        .map_err(|diagnostic| file_error(format!("the schema: {}", diagnostic.message)))?;
    let file = syntax::parse(text).map_err(|diagnostic| failure(vec![diagnostic]))?;
    eval::evaluate(&schema, &file).map_err(&failure)
}
