//! The operator's file: what this installation wants beside what the platform configures. It is written in a strict
//! subset of CUE and unified with a schema that is part of the program; each fault is told with its place, and a file
//! with a fault changes nothing.

mod eval;
mod syntax;
mod typed;

pub use eval::{Fault, Place, Tree};
pub use typed::{
    Bounds, Call, ChangeSettings, LeaseSettings, LogFormat, LogSettings, Metadata, Network, Operator, Own,
    PrimarySettings, ReadWhat, RegistrySettings, Server, Task, User, WorkSettings,
};

/// The schema, for people to read and for `linnetdeal check --schema`.
pub const SCHEMA: &str = include_str!("schema.cue");

/// A file longer than this is not read.
pub const LONGEST: usize = 256 * 1024;

/// Why a file can't be used: all that is wrong with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Faults {
    /// Its name.
    pub file: String,
    /// What is wrong, in the order of the places.
    pub faults: Vec<Fault>,
}

impl std::error::Error for Faults {}

impl std::fmt::Display for Faults {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (at, fault) in self.faults.iter().enumerate() {
            let end = if at + 1 < self.faults.len() { "\n" } else { "" };
            write!(f, "{}:{}:{}: {}{end}", self.file, fault.place.line, fault.place.column, fault.what)?;
        }
        Ok(())
    }
}

impl Operator {
    /// Reads the file at `path`.
    ///
    /// # Errors
    ///
    /// When it can't be read, or something in it is wrong.
    pub fn load(path: &std::path::Path) -> Result<Self, Faults> {
        let name = path.display().to_string();
        match std::fs::read(path) {
            Ok(bytes) => Self::decode(&name, &bytes),
            Err(error) => {
                let fault = Fault { place: Place::default(), what: error.to_string() };
                Err(Faults { file: name, faults: vec![fault] })
            }
        }
    }

    /// Decodes a file's text; `name` is the file's, for its faults.
    ///
    /// # Errors
    ///
    /// When something in it is wrong.
    pub fn decode(name: &str, bytes: &[u8]) -> Result<Self, Faults> {
        let tree = unify(SCHEMA, name, bytes)?;
        typed::decode(&tree).map_err(|faults| Faults { file: name.to_owned(), faults })
    }
}

/// Puts a file's text together with a schema of one's own; `name` is the file's, for its faults.
///
/// # Errors
///
/// When something in it is wrong.
pub fn unify(schema: &str, name: &str, bytes: &[u8]) -> Result<Tree, Faults> {
    let faults = |mut faults: Vec<Fault>| {
        faults.sort();
        Faults { file: name.to_owned(), faults }
    };
    let single = |what: String| faults(vec![Fault { place: Place::default(), what }]);
    if bytes.len() > LONGEST {
        return Err(single(format!("longer than {LONGEST} bytes")));
    }
    let text = std::str::from_utf8(bytes).map_err(|error| single(format!("no UTF-8: {error}")))?;
    let schema = syntax::parse(schema).map_err(|fault| single(format!("the schema: {}", fault.what)))?;
    let file = syntax::parse(text).map_err(|fault| faults(vec![fault]))?;
    eval::evaluate(&schema, &file).map_err(&faults)
}
