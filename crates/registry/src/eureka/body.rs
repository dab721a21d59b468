//! Extracts the instances from a response body while its bytes arrive. A registry of 20,000 servers sends about 25 MB,
//! of which no more than one instance is held in memory at a time. No I/O.

use super::model::MAX_INSTANCE_BYTES;

/// The maximum nesting depth; no registry nests this deeply.
const MAX_DEPTH: usize = 48;
/// The maximum length of a key, number or literal. Of string values and text, only this many bytes are kept.
const MAX_TOKEN_BYTES: usize = 256;
/// The maximum length of a tag with its attributes.
const MAX_TAG_BYTES: usize = 4 * 1024;

/// Why a body can't be parsed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The body is not well-formed, or exceeds a limit of the parser.
    #[error("byte {offset}: {what}")]
    Syntax {
        /// The offset in the body, in bytes.
        offset: u64,
        /// What is wrong.
        what: &'static str,
    },
    /// The body is incomplete.
    #[error("truncated after {0} bytes")]
    Truncated(u64),
    /// The body is larger than the configured maximum.
    #[error("it is larger than {0} bytes")]
    TooLarge(u64),
    /// The handler rejected an item of the body.
    #[error("{0}")]
    InvalidItem(String),
}

/// An item found in a body.
#[derive(Debug, PartialEq, Eq)]
pub enum Item<'a> {
    /// The text of one instance.
    Instance(&'a [u8]),
    /// The registry's hash code over all its instances (`apps__hashcode`).
    HashCode(&'a str),
}

/// Receives the items of a body; an error ends the parsing.
pub type ItemHandler<'t> = dyn FnMut(Item<'_>) -> Result<(), BodyError> + 't;

/// The format of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// JSON.
    Json,
    /// XML.
    Xml,
}

/// An incremental parser for one body.
#[derive(Debug)]
pub struct BodyScanner {
    scanner: FormatScanner,
    bytes_read: u64,
    max_bytes: u64,
}

#[derive(Debug)]
enum FormatScanner {
    Json(JsonScanner),
    Xml(XmlScanner),
}

impl BodyScanner {
    /// Creates a parser for a body of at most `max_bytes` bytes.
    #[must_use]
    pub fn new(format: Format, max_bytes: u64) -> Self {
        let scanner = match format {
            Format::Json => FormatScanner::Json(JsonScanner::default()),
            Format::Xml => FormatScanner::Xml(XmlScanner::default()),
        };
        Self { scanner, bytes_read: 0, max_bytes }
    }

    /// Parses the next bytes and passes each item that they complete to `on_item`.
    ///
    /// # Errors
    ///
    /// When the body is malformed or too large, or when `on_item` fails. The parser can't be used any further then.
    pub fn push(&mut self, bytes: &[u8], on_item: &mut ItemHandler<'_>) -> Result<(), BodyError> {
        let start = self.bytes_read;
        self.bytes_read += bytes.len() as u64;
        if self.bytes_read > self.max_bytes {
            return Err(BodyError::TooLarge(self.max_bytes));
        }
        let outcome = match &mut self.scanner {
            FormatScanner::Json(json) => json.push(bytes, on_item),
            FormatScanner::Xml(xml) => xml.push(bytes, on_item),
        };
        outcome.map_err(|error| match error {
            ScanError::Syntax(offset, what) => BodyError::Syntax { offset: start + offset as u64, what },
            ScanError::InvalidItem(error) => error,
        })
    }

    /// The number of bytes parsed so far.
    #[must_use]
    pub fn bytes_read(&self) -> u64 {
        self.bytes_read
    }

    /// Checks at the end of the body that it is complete.
    ///
    /// # Errors
    ///
    /// When the body is truncated.
    pub fn finish(&self) -> Result<(), BodyError> {
        let complete = match &self.scanner {
            FormatScanner::Json(json) => json.state == State::Done,
            FormatScanner::Xml(xml) => xml.root_closed && xml.state == XmlState::Content,
        };
        if complete { Ok(()) } else { Err(BodyError::Truncated(self.bytes_read)) }
    }
}

enum ScanError {
    /// The offset in the bytes of this call, and what is wrong there.
    Syntax(usize, &'static str),
    InvalidItem(BodyError),
}

/// An instance that is being copied out of the body.
#[derive(Debug, Default)]
struct Capture {
    bytes: Vec<u8>,
    /// In JSON the brackets that are open within the instance, in XML the elements that are open around it.
    depth: usize,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    /// A value is required.
    #[default]
    ExpectValue,
    /// A value, or the end of the array.
    ExpectValueOrEnd,
    /// A key, or the end of the object.
    ExpectKeyOrEnd,
    /// A key is required.
    ExpectKey,
    /// The colon after a key.
    ExpectColon,
    /// A comma, or the end of the enclosing array or object.
    ExpectCommaOrEnd,
    /// Within a string.
    InString { is_key: bool, escaped: bool },
    /// Within a number or one of `true`, `false` and `null`.
    InLiteral,
    /// The outermost value is complete.
    Done,
}

#[derive(Debug)]
struct Frame {
    is_array: bool,
    /// Whether its key is `instance`, so that the objects directly in it are instances.
    holds_instances: bool,
}

/// Scans JSON only far enough to find the objects under a key `instance`; their content is parsed by
/// [`super::model::Instance::from_json`].
#[derive(Debug, Default)]
struct JsonScanner {
    state: State,
    frames: Vec<Frame>,
    value: Vec<u8>,
    key: Vec<u8>,
    capture: Option<Capture>,
    /// The position within the captured instance: inside a string, and there behind a backslash.
    in_string: bool,
    escaped: bool,
}

impl JsonScanner {
    fn push(&mut self, bytes: &[u8], on_item: &mut ItemHandler<'_>) -> Result<(), ScanError> {
        let mut offset = 0;
        while offset < bytes.len() {
            if self.capture.is_some() {
                offset = self.continue_capture(bytes, offset, on_item)?;
            } else {
                self.push_byte(bytes[offset], on_item).map_err(|what| match what {
                    ByteError::Syntax(what) => ScanError::Syntax(offset, what),
                    ByteError::InvalidItem(error) => ScanError::InvalidItem(error),
                })?;
                offset += 1;
            }
        }
        Ok(())
    }

    /// Continues to copy an instance. Returns the offset at which scanning continues.
    fn continue_capture(
        &mut self,
        bytes: &[u8],
        from: usize,
        on_item: &mut ItemHandler<'_>,
    ) -> Result<usize, ScanError> {
        let Some(capture) = &mut self.capture else { return Ok(from) };
        let mut end = None;
        for (offset, byte) in bytes.iter().enumerate().skip(from) {
            if self.in_string {
                match byte {
                    _ if self.escaped => self.escaped = false,
                    b'\\' => self.escaped = true,
                    b'"' => self.in_string = false,
                    _ => {}
                }
                continue;
            }
            match byte {
                b'"' => self.in_string = true,
                b'{' | b'[' if capture.depth >= MAX_DEPTH => {
                    return Err(ScanError::Syntax(offset, "nested too deeply"));
                }
                b'{' | b'[' => capture.depth += 1,
                b'}' | b']' => {
                    capture.depth -= 1;
                    if capture.depth == 0 {
                        end = Some(offset + 1);
                        break;
                    }
                }
                _ => {}
            }
        }
        let to = end.unwrap_or(bytes.len());
        if capture.bytes.len() + to - from > MAX_INSTANCE_BYTES {
            return Err(ScanError::Syntax(from, "an instance that is too long"));
        }
        capture.bytes.extend_from_slice(&bytes[from..to]);
        if end.is_some() {
            let result = on_item(Item::Instance(&capture.bytes)).map_err(ScanError::InvalidItem);
            self.capture = None;
            self.state = State::ExpectCommaOrEnd;
            result?;
        }
        Ok(to)
    }

    fn push_byte(&mut self, byte: u8, on_item: &mut ItemHandler<'_>) -> Result<(), ByteError> {
        match self.state {
            State::InString { is_key, escaped } => {
                return self.push_string_byte(byte, is_key, escaped, on_item);
            }
            State::InLiteral if byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'+' | b'.') => {
                return self.push_literal_byte(byte);
            }
            State::InLiteral => self.finish_value(on_item)?,
            _ => {}
        }
        if matches!(byte, b' ' | b'\t' | b'\r' | b'\n') {
            return Ok(());
        }
        match (self.state, byte) {
            (State::ExpectValue | State::ExpectValueOrEnd, b'{') => self.open_container(false),
            (State::ExpectValue | State::ExpectValueOrEnd, b'[') => self.open_container(true),
            (State::ExpectValueOrEnd, b']') => self.close_container(true),
            (State::ExpectValue | State::ExpectValueOrEnd, b'"') => {
                self.value.clear();
                self.state = State::InString { is_key: false, escaped: false };
                Ok(())
            }
            (State::ExpectValue | State::ExpectValueOrEnd, b'-' | b'0'..=b'9' | b't' | b'f' | b'n') => {
                self.value.clear();
                self.state = State::InLiteral;
                self.push_literal_byte(byte)
            }
            (State::ExpectKeyOrEnd | State::ExpectKey, b'"') => {
                self.key.clear();
                self.state = State::InString { is_key: true, escaped: false };
                Ok(())
            }
            (State::ExpectKeyOrEnd, b'}') => self.close_container(false),
            (State::ExpectColon, b':') => {
                self.state = State::ExpectValue;
                Ok(())
            }
            (State::ExpectCommaOrEnd, b',') => {
                let is_array = self.frames.last().is_some_and(|frame| frame.is_array);
                self.state = if is_array { State::ExpectValue } else { State::ExpectKey };
                Ok(())
            }
            (State::ExpectCommaOrEnd, b']') => self.close_container(true),
            (State::ExpectCommaOrEnd, b'}') => self.close_container(false),
            (State::Done, _) => Err(ByteError::Syntax("something behind the end")),
            _ => Err(ByteError::Syntax("invalid JSON")),
        }
    }

    fn push_literal_byte(&mut self, byte: u8) -> Result<(), ByteError> {
        if self.value.len() >= MAX_TOKEN_BYTES {
            return Err(ByteError::Syntax("a number or literal that is too long"));
        }
        self.value.push(byte);
        Ok(())
    }

    fn push_string_byte(
        &mut self,
        byte: u8,
        is_key: bool,
        escaped: bool,
        on_item: &mut ItemHandler<'_>,
    ) -> Result<(), ByteError> {
        if !escaped && byte == b'"' {
            if is_key {
                self.state = State::ExpectColon;
                return Ok(());
            }
            return self.finish_value(on_item);
        }
        if byte < 0x20 {
            return Err(ByteError::Syntax("a control character in a string"));
        }
        let token = if is_key { &mut self.key } else { &mut self.value };
        if token.len() < MAX_TOKEN_BYTES {
            token.push(byte);
        } else if is_key {
            return Err(ByteError::Syntax("a key that is too long"));
        }
        self.state = State::InString { is_key, escaped: !escaped && byte == b'\\' };
        Ok(())
    }

    /// Handles the end of a string, number or literal.
    fn finish_value(&mut self, on_item: &mut ItemHandler<'_>) -> Result<(), ByteError> {
        self.state = if self.frames.is_empty() { State::Done } else { State::ExpectCommaOrEnd };
        let is_array = self.frames.last().is_none_or(|frame| frame.is_array);
        if !is_array && self.key == b"apps__hashcode" {
            let text = std::str::from_utf8(&self.value)
                .map_err(|_| ByteError::Syntax("a hash code that is not valid UTF-8"))?;
            on_item(Item::HashCode(text)).map_err(ByteError::InvalidItem)?;
        }
        Ok(())
    }

    fn open_container(&mut self, is_array: bool) -> Result<(), ByteError> {
        // The elements of an array count as values of the array's own key.
        let holds_instances = match self.frames.last() {
            Some(frame) if frame.is_array => frame.holds_instances,
            Some(_) => self.key == b"instance",
            None => false,
        };
        if holds_instances && !is_array {
            self.capture = Some(Capture { bytes: b"{".to_vec(), depth: 1 });
            (self.in_string, self.escaped) = (false, false);
            return Ok(());
        }
        if self.frames.len() >= MAX_DEPTH {
            return Err(ByteError::Syntax("nested too deeply"));
        }
        self.frames.push(Frame { is_array, holds_instances });
        self.state = if is_array { State::ExpectValueOrEnd } else { State::ExpectKeyOrEnd };
        Ok(())
    }

    fn close_container(&mut self, is_array: bool) -> Result<(), ByteError> {
        match self.frames.pop() {
            Some(frame) if frame.is_array == is_array => {
                self.state = if self.frames.is_empty() { State::Done } else { State::ExpectCommaOrEnd };
                Ok(())
            }
            _ => Err(ByteError::Syntax("a bracket that closes nothing")),
        }
    }
}

enum ByteError {
    Syntax(&'static str),
    InvalidItem(BodyError),
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum XmlState {
    #[default]
    Content,
    /// Between `<` and `>`, with the opening quote while inside a quoted attribute value.
    Tag(Option<u8>),
    Comment,
    CData,
}

/// Scans XML only far enough to find the `instance` elements.
#[derive(Debug, Default)]
struct XmlScanner {
    state: XmlState,
    tag: Vec<u8>,
    text: Vec<u8>,
    open_elements: Vec<Box<[u8]>>,
    capture: Option<Capture>,
    root_closed: bool,
}

impl XmlScanner {
    fn push(&mut self, bytes: &[u8], on_item: &mut ItemHandler<'_>) -> Result<(), ScanError> {
        for (offset, byte) in bytes.iter().enumerate() {
            if let Some(capture) = &mut self.capture {
                if capture.bytes.len() >= MAX_INSTANCE_BYTES {
                    return Err(ScanError::Syntax(offset, "an instance that is too long"));
                }
                capture.bytes.push(*byte);
            }
            self.push_byte(*byte, on_item).map_err(|what| match what {
                ByteError::Syntax(what) => ScanError::Syntax(offset, what),
                ByteError::InvalidItem(error) => ScanError::InvalidItem(error),
            })?;
        }
        Ok(())
    }

    fn push_byte(&mut self, byte: u8, on_item: &mut ItemHandler<'_>) -> Result<(), ByteError> {
        match self.state {
            XmlState::Content if byte == b'<' => {
                self.tag.clear();
                self.state = XmlState::Tag(None);
            }
            XmlState::Content => {
                if self.open_elements.is_empty()
                    && !byte.is_ascii_whitespace()
                    && byte != 0xEF
                    && byte != 0xBB
                    && byte != 0xBF
                {
                    return Err(ByteError::Syntax(if self.root_closed {
                        "something behind the end"
                    } else {
                        "invalid XML"
                    }));
                }
                if self.text.len() < MAX_TOKEN_BYTES {
                    self.text.push(byte);
                }
            }
            XmlState::Tag(quote) => {
                if self.tag.len() >= MAX_TAG_BYTES {
                    return Err(ByteError::Syntax("a tag that is too long"));
                }
                match (quote, byte) {
                    (Some(open), _) if open == byte => self.state = XmlState::Tag(None),
                    (None, b'"' | b'\'') if !self.tag.starts_with(b"?") => {
                        self.state = XmlState::Tag(Some(byte))
                    }
                    (None, b'>') => {
                        self.state = XmlState::Content;
                        return self.finish_tag(on_item);
                    }
                    (None, b'<') => return Err(ByteError::Syntax("a tag within a tag")),
                    _ => {}
                }
                self.tag.push(byte);
                match self.tag.as_slice() {
                    b"!--" => self.state = XmlState::Comment,
                    b"![CDATA[" => self.state = XmlState::CData,
                    b"!D" | b"!E" => return Err(ByteError::Syntax("a document type, which is not read")),
                    _ => {}
                }
                if self.state != XmlState::Tag(None) && !matches!(self.state, XmlState::Tag(_)) {
                    self.tag.clear();
                }
            }
            XmlState::Comment => self.skip_until(byte, b"-->"),
            XmlState::CData => self.skip_until(byte, b"]]>"),
        }
        Ok(())
    }

    fn skip_until(&mut self, byte: u8, end: &[u8]) {
        if self.tag.len() >= end.len() {
            self.tag.remove(0);
        }
        self.tag.push(byte);
        if self.tag == end {
            self.state = XmlState::Content;
        }
    }

    fn finish_tag(&mut self, on_item: &mut ItemHandler<'_>) -> Result<(), ByteError> {
        let tag = std::mem::take(&mut self.tag);
        let text = std::mem::take(&mut self.text);
        if tag.starts_with(b"?") {
            return Ok(());
        }
        if tag.starts_with(b"!") {
            return Err(ByteError::Syntax("a declaration, which is not read"));
        }
        if let Some(name) = tag.strip_prefix(b"/") {
            let open = self.open_elements.pop().ok_or(ByteError::Syntax("a tag that closes nothing"))?;
            if *open != *name.trim_ascii() {
                return Err(ByteError::Syntax("a tag that closes another"));
            }
            if open.as_ref() == b"apps__hashcode" && self.capture.is_none() {
                let text = std::str::from_utf8(&text)
                    .map_err(|_| ByteError::Syntax("a hash code that is not valid UTF-8"))?;
                on_item(Item::HashCode(text.trim())).map_err(ByteError::InvalidItem)?;
            }
            return self.element_closed(on_item);
        }
        let self_closing = tag.ends_with(b"/");
        let name = tag.split(|byte| byte.is_ascii_whitespace() || *byte == b'/').next().unwrap_or(b"");
        if name.is_empty() || self.root_closed {
            return Err(ByteError::Syntax(if self.root_closed {
                "something behind the end"
            } else {
                "a tag without a name"
            }));
        }
        if self.open_elements.len() >= MAX_DEPTH {
            return Err(ByteError::Syntax("nested too deeply"));
        }
        if name == b"instance" && self.capture.is_none() {
            let bytes = [b"<", tag.as_slice(), b">"].concat();
            self.capture = Some(Capture { bytes, depth: self.open_elements.len() });
        }
        self.open_elements.push(name.into());
        if self_closing {
            self.open_elements.pop();
            return self.element_closed(on_item);
        }
        Ok(())
    }

    /// Handles the end of an element.
    fn element_closed(&mut self, on_item: &mut ItemHandler<'_>) -> Result<(), ByteError> {
        self.root_closed = self.open_elements.is_empty();
        if let Some(capture) = self.capture.take_if(|capture| capture.depth == self.open_elements.len()) {
            on_item(Item::Instance(&capture.bytes)).map_err(ByteError::InvalidItem)?;
        }
        Ok(())
    }
}
