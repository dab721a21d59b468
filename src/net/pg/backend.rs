//! What a server sends.

use super::{PgError, text};
use crate::interface::{Field, Note, Role, Time};

/// The SQLSTATE of an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Code(pub [u8; 5]);

/// What matters among the fields of an ErrorResponse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorFields {
    /// Its code.
    pub code: Code,
    /// The connection ends with it.
    pub fatal: bool,
}

/// Reads the fields of an ErrorResponse.
///
/// # Errors
///
/// When they don't hold together or there is no code of five bytes.
pub fn error_fields(body: &[u8]) -> Result<ErrorFields, PgError> {
    let bad = PgError::Malformed("error fields");
    let (mut code, mut fatal, mut rest) = (None, false, body);
    while let Some((&field, after)) = rest.split_first().filter(|(field, _)| **field != 0) {
        let end = after.iter().position(|byte| *byte == 0).ok_or(bad)?;
        match (field, &after[..end]) {
            (b'C', text) => code = text.try_into().ok().map(Code),
            (b'S' | b'V', b"FATAL" | b"PANIC") => fatal = true,
            _ => {}
        }
        rest = &after[end + 1..];
    }
    code.map(|code| ErrorFields { code, fatal }).ok_or(bad)
}

/// The name and value of a ParameterStatus.
///
/// # Errors
///
/// When they are not two texts.
pub fn parameter(body: &[u8]) -> Result<(&str, &str), PgError> {
    let (name, rest) = text(body, "parameter")?;
    let (value, _) = text(rest, "parameter")?;
    Ok((name, value))
}

/// Whether the body of a ReadyForQuery is one.
#[must_use]
pub fn ready(body: &[u8]) -> bool {
    matches!(body, [b'I' | b'T' | b'E'])
}

/// The value in a DataRow of one column; `None` for NULL.
///
/// # Errors
///
/// When it is no row of just one column.
pub fn row_value(body: &[u8]) -> Result<Option<&[u8]>, PgError> {
    let bad = PgError::Malformed("row");
    let Some((&[0, 1], rest)) = body.split_first_chunk::<2>() else { return Err(bad) };
    let Some((size, value)) = rest.split_first_chunk::<4>() else { return Err(bad) };
    match i32::from_be_bytes(*size) {
        -1 if value.is_empty() => Ok(None),
        size if usize::try_from(size) == Ok(value.len()) => Ok(Some(value)),
        _ => Err(bad),
    }
}

/// What the ParameterStatus messages beside an answer tell of its server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Notes {
    role: Option<Role>,
    position: Option<Time>,
    /// The load report, by name.
    gauges: Option<String>,
}

impl Notes {
    /// Takes one parameter; those that mean nothing here are passed over.
    pub fn take(&mut self, name: &str, value: &str) {
        match (name, value) {
            ("part", "master") => self.role = Some(Role::Primary),
            ("part", "replica") => self.role = Some(Role::Replica),
            // A Unix time in milliseconds; the module counts in microseconds.
            ("caught_up_to", value) => {
                let ms = value.parse().ok().filter(|ms| (0.0..1e14).contains(ms));
                self.position = ms.map(|ms: f64| Time((ms * 1_000.0) as i64));
            }
            ("gauges", value) => self.gauges = Some(value.to_owned()),
            _ => {}
        }
    }

    /// The note, if the server said anything of its role or position.
    #[must_use]
    pub fn note(&self) -> Option<Note> {
        let told = self.role.is_some() || self.position.is_some();
        told.then_some(Note { role: self.role, position: self.position })
    }

    /// The load report that came along, in the order of `fields`.
    #[must_use]
    pub fn report(&self, fields: &[(String, Field)]) -> Option<Vec<f64>> {
        self.gauges.as_deref().and_then(|gauges| report(gauges, fields))
    }
}

/// A load report such as `inflight=7,util=0.61` in the order of `fields`; what it leaves out is no number.
#[must_use]
pub fn report(gauges: &str, fields: &[(String, Field)]) -> Option<Vec<f64>> {
    let pairs: Vec<_> = gauges.split(',').filter_map(|pair| pair.trim().split_once('=')).collect();
    let value = |name: &str| {
        let (_, text) = pairs.iter().find(|(at, _)| at.trim() == name)?;
        text.trim().parse().ok()
    };
    let values: Vec<f64> = fields.iter().map(|(name, _)| value(name).unwrap_or(f64::NAN)).collect();
    values.iter().any(|value| value.is_finite()).then_some(values)
}
