//! Messages sent by a server.

use super::{MAX_STREAMED_VALUE_SIZE, MAX_VALUE_SIZE, Message, PgError, bounded, text};
use linnetdeal_core::{Field, Note, Role, Time};

/// Upper limit for a log position, given as Unix time in seconds.
const MAX_POSITION_S: f64 = 1e11;

/// Size of everything before the value in a row with one value, in bytes.
const ROW_HEADER_SIZE: usize = 11;

/// The SQLSTATE of an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Code(pub [u8; 5]);

/// The relevant fields of an ErrorResponse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorFields {
    /// The SQLSTATE.
    pub code: Code,
    /// Whether the connection ends with the error.
    pub fatal: bool,
}

/// Parses the fields of an ErrorResponse.
///
/// # Errors
///
/// When a field is not terminated or there is no code of five bytes.
pub fn error_fields(body: &[u8]) -> Result<ErrorFields, PgError> {
    let malformed = PgError::Malformed("error fields");
    let (mut code, mut fatal, mut rest) = (None, false, body);
    while let Some((&field, after)) = rest.split_first().filter(|(field, _)| **field != 0) {
        let end = after.iter().position(|byte| *byte == 0).ok_or(malformed)?;
        match (field, &after[..end]) {
            (b'C', text) => code = text.try_into().ok().map(Code),
            (b'S' | b'V', b"FATAL" | b"PANIC") => fatal = true,
            _ => {}
        }
        rest = &after[end + 1..];
    }
    code.map(|code| ErrorFields { code, fatal }).ok_or(malformed)
}

/// The first message in `data` from a server; `None` while it is incomplete. A message that no answer contains
/// is recognized by its header, so that the rest of it is not waited for.
///
/// # Errors
///
/// When its type is not one that servers send here, or its length is not valid for its type.
pub fn server_message(data: &[u8]) -> Result<Option<Message<'_>>, PgError> {
    let Some(&tag) = data.first() else { return Ok(None) };
    let is_large = |length: usize| (MAX_VALUE_SIZE + 11..=MAX_STREAMED_VALUE_SIZE + 10).contains(&length);
    let length =
        data.get(1..5).and_then(|word| word.first_chunk()).map(|word| u32::from_be_bytes(*word) as usize);
    // Whether a row is one that is streamed is only known from its complete header, which may arrive in pieces
    // itself.
    if tag == b'D' && data.len() < 11 && length.is_some_and(is_large) {
        return Ok(None);
    }
    let max_length = match tag {
        b'D' => MAX_VALUE_SIZE + 10,
        b'E' | b'N' | b'A' => 8 * 1024,
        b'S' | b'T' => 1_024,
        b'R' | b'K' | b'C' => 256,
        b'Z' => 5,
        b'I' => 4,
        _ => return Err(PgError::Malformed("message type")),
    };
    bounded(data, max_length)
}

/// The size of the message at the front of `data` if it is a row with one value that is too large to be
/// buffered, which is known from its header. A length that no such row has is left to [`server_message`] to
/// reject.
#[must_use]
pub fn large_row(data: &[u8]) -> Option<usize> {
    single_value_row(data).filter(|size| *size > MAX_VALUE_SIZE + ROW_HEADER_SIZE)
}

/// The size of the message at the front of `data` if it is a row with one value, which is known from its header.
#[must_use]
pub fn single_value_row(data: &[u8]) -> Option<usize> {
    let (&[b'D', a, b, c, d, 0, 1, e, f, g, h], _) = data.split_first_chunk::<ROW_HEADER_SIZE>()? else {
        return None;
    };
    let [length, value] = [[a, b, c, d], [e, f, g, h]].map(|word| u32::from_be_bytes(word) as usize);
    let valid = value <= MAX_STREAMED_VALUE_SIZE && length == value + ROW_HEADER_SIZE - 1;
    valid.then_some(1 + length)
}

/// The state of one answer, which takes its messages one by one: RowDescription of one column, one DataRow and
/// CommandComplete, or an ErrorResponse; then ReadyForQuery. Any other message invalidates the whole answer.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    stage: Stage,
    status: StatusParameters,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Stage {
    #[default]
    Start,
    Described,
    Row,
    Complete,
    Failed(ErrorFields),
    Ready,
}

/// The meaning of a message within an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerPart {
    /// Part of the result, to be passed on. The value of a row is the last bytes of its message; this is their
    /// number.
    Value(usize),
    /// Not passed on.
    Ignored,
    /// An error with which the connection ends.
    Fatal,
    /// The end of the answer.
    Ready,
}

impl Answer {
    /// Takes the next message.
    ///
    /// # Errors
    ///
    /// When the message is not allowed here or is malformed: the answer is invalid.
    pub fn take(&mut self, message: &Message<'_>) -> Result<AnswerPart, PgError> {
        let (body, part) = (message.body, AnswerPart::Value(0));
        let (stage, part) = match (self.stage, message.tag) {
            (Stage::Start, b'T') if describes_one_column(body) => (Stage::Described, part),
            (Stage::Described, b'D') => {
                let value = row_value(body)?.ok_or(PgError::Malformed("row"))?;
                (Stage::Row, AnswerPart::Value(value.len()))
            }
            (Stage::Row, b'C') if is_command_tag(body) => (Stage::Complete, part),
            (Stage::Start, b'E') => {
                let fields = error_fields(body)?;
                (Stage::Failed(fields), if fields.fatal { AnswerPart::Fatal } else { AnswerPart::Ignored })
            }
            (Stage::Complete | Stage::Failed(_), b'Z') if is_ready_for_query(body) => {
                (Stage::Ready, AnswerPart::Ready)
            }
            (stage, b'S') => {
                let (name, value) = parameter(body)?;
                self.status.record(name, value);
                (stage, AnswerPart::Ignored)
            }
            (stage, b'N' | b'A') => (stage, AnswerPart::Ignored),
            _ => return Err(PgError::Malformed("answer")),
        };
        if stage != Stage::Ready {
            self.stage = stage;
        }
        Ok(part)
    }

    /// Whether a row comes next.
    #[must_use]
    pub fn expects_row(&self) -> bool {
        self.stage == Stage::Described
    }

    /// Records that the row was streamed, without [`Answer::take`].
    pub fn skip_row(&mut self) {
        if self.expects_row() {
            self.stage = Stage::Row;
        }
    }

    /// Whether the result, or the error, is complete.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        matches!(self.stage, Stage::Complete | Stage::Failed(_))
    }

    /// The code of the error, if the answer is one.
    #[must_use]
    pub fn error_code(&self) -> Option<Code> {
        if let Stage::Failed(fields) = self.stage { Some(fields.code) } else { None }
    }

    /// What the server reported beside the answer.
    #[must_use]
    pub fn into_status(self) -> StatusParameters {
        self.status
    }
}

/// Whether a RowDescription describes exactly one column.
fn describes_one_column(body: &[u8]) -> bool {
    let Some((&[0, 1], rest)) = body.split_first_chunk::<2>() else { return false };
    text(rest, "column").is_ok_and(|(_, rest)| rest.len() == 18)
}

/// Whether the body of a CommandComplete is valid.
fn is_command_tag(body: &[u8]) -> bool {
    text(body, "tag").is_ok_and(|(tag, rest)| {
        rest.is_empty() && !tag.is_empty() && tag.bytes().all(|byte| byte == b' ' || byte.is_ascii_graphic())
    })
}

/// The name and value of a ParameterStatus.
///
/// # Errors
///
/// When the body does not consist of two strings.
pub fn parameter(body: &[u8]) -> Result<(&str, &str), PgError> {
    let (name, rest) = text(body, "parameter")?;
    match text(rest, "parameter")? {
        (value, []) => Ok((name, value)),
        _ => Err(PgError::Malformed("parameter")),
    }
}

/// Whether the body of a ReadyForQuery is valid.
#[must_use]
pub fn is_ready_for_query(body: &[u8]) -> bool {
    matches!(body, [b'I' | b'T' | b'E'])
}

/// The value in a DataRow of one column; `None` for NULL.
///
/// # Errors
///
/// When the row does not have exactly one column.
pub fn row_value(body: &[u8]) -> Result<Option<&[u8]>, PgError> {
    let malformed = PgError::Malformed("row");
    let Some((&[0, 1], rest)) = body.split_first_chunk::<2>() else { return Err(malformed) };
    let Some((size, value)) = rest.split_first_chunk::<4>() else { return Err(malformed) };
    match i32::from_be_bytes(*size) {
        -1 if value.is_empty() => Ok(None),
        size if usize::try_from(size) == Ok(value.len()) => Ok(Some(value)),
        _ => Err(malformed),
    }
}

/// What the ParameterStatus messages beside an answer tell about its server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StatusParameters {
    role: Option<Role>,
    position: Option<Time>,
    /// The load report as it was sent.
    gauges: Option<String>,
}

impl StatusParameters {
    /// Records one parameter; unknown ones are ignored.
    pub fn record(&mut self, name: &str, value: &str) {
        match (name, value) {
            ("part", "master") => self.role = Some(Role::Primary),
            ("part", "replica") => self.role = Some(Role::Replica),
            // Unix time in milliseconds; the router uses microseconds.
            ("caught_up_to", value) => {
                let ms = value.parse().ok().filter(|ms| (0.0..1e14).contains(ms));
                self.position = ms.map(|ms: f64| Time((ms * 1_000.0) as i64));
            }
            ("gauges", value) => self.gauges = Some(value.to_owned()),
            _ => {}
        }
    }

    /// The server's role and position, if it reported either.
    #[must_use]
    pub fn note(&self) -> Option<Note> {
        let known = self.role.is_some() || self.position.is_some();
        known.then_some(Note { role: self.role, position: self.position })
    }

    /// The load report, with the values in the order of `fields`.
    #[must_use]
    pub fn report(&self, fields: &[(String, Field)]) -> Option<Vec<f64>> {
        self.gauges.as_deref().and_then(|gauges| load_report(gauges, fields))
    }
}

/// Parses a load report such as `inflight=7,util=0.61`, with the values in the order of `fields`. A report in
/// which a field is missing, repeated or out of range is ignored.
#[must_use]
pub fn load_report(gauges: &str, fields: &[(String, Field)]) -> Option<Vec<f64>> {
    let pairs: Option<Vec<_>> = gauges.split(',').map(|pair| pair.trim().split_once('=')).collect();
    let pairs = pairs?;
    let value = |(name, field): &(String, Field)| {
        let mut found = pairs.iter().filter(|(key, _)| key.trim() == name).map(|(_, text)| text.trim());
        let value: f64 = found.next().filter(|_| found.next().is_none())?.parse().ok()?;
        let in_range = match field {
            Field::Position => value < MAX_POSITION_S,
            Field::Primary => value == 0.0 || value == 1.0,
            Field::Other => true,
        };
        Some(value).filter(|value| in_range && value.is_finite() && *value >= 0.0)
    };
    let values: Option<Vec<f64>> = fields.iter().map(value).collect();
    values.filter(|values| !values.is_empty())
}
