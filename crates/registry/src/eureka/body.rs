//! Takes the instances out of a body as its bytes come in: a registry of 20,000 boxes writes some 25 MB, and no more
//! than one instance of it is held at a time. No I/O.

use super::model::LONGEST_INSTANCE;

/// Nesting that no registry writes.
const DEEPEST: usize = 48;
/// Keys, tag names and the few plain values that are read are no longer than this.
const LONGEST_WORD: usize = 256;
/// A tag with its attributes is no longer than this.
const LONGEST_TAG: usize = 4 * 1024;

/// Why a body can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// Something stands where it can't.
    #[error("byte {at}: {what}")]
    Form {
        /// How many bytes of the body came before.
        at: u64,
        /// What is wrong.
        what: &'static str,
    },
    /// It ends before its end.
    #[error("it ends after {0} bytes, in the middle")]
    Cut(u64),
    /// It is larger than is read.
    #[error("it is larger than {0} bytes")]
    Large(u64),
    /// What was found in it can't be used.
    #[error("{0}")]
    Piece(String),
}

/// Something found in a body.
#[derive(Debug, PartialEq, Eq)]
pub enum Piece<'a> {
    /// An instance, as it is written.
    Instance(&'a [u8]),
    /// The registry's own hash code of all that it holds (`apps__hashcode`).
    HashCode(&'a str),
}

/// What takes the pieces.
pub type Take<'t> = dyn FnMut(Piece<'_>) -> Result<(), BodyError> + 't;

/// How a body is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// JSON.
    Json,
    /// XML.
    Xml,
}

/// Reads one body.
#[derive(Debug)]
pub struct Body {
    reader: Reader,
    seen: u64,
    most: u64,
}

#[derive(Debug)]
enum Reader {
    Json(Json),
    Xml(Xml),
}

impl Body {
    /// A reader of a body of at most `most` bytes.
    #[must_use]
    pub fn new(format: Format, most: u64) -> Self {
        let reader = match format {
            Format::Json => Reader::Json(Json::default()),
            Format::Xml => Reader::Xml(Xml::default()),
        };
        Self { reader, seen: 0, most }
    }

    /// Reads on; what is whole by then goes to `take`.
    ///
    /// # Errors
    ///
    /// When the bytes are no such body. Nothing more of it can be read then.
    pub fn push(&mut self, bytes: &[u8], take: &mut Take<'_>) -> Result<(), BodyError> {
        let before = self.seen;
        self.seen += bytes.len() as u64;
        if self.seen > self.most {
            return Err(BodyError::Large(self.most));
        }
        let read = match &mut self.reader {
            Reader::Json(json) => json.push(bytes, take),
            Reader::Xml(xml) => xml.push(bytes, take),
        };
        read.map_err(|error| match error {
            Fault::At(at, what) => BodyError::Form { at: before + at as u64, what },
            Fault::Piece(error) => error,
        })
    }

    /// How many bytes were read.
    #[must_use]
    pub fn seen(&self) -> u64 {
        self.seen
    }

    /// The body's end.
    ///
    /// # Errors
    ///
    /// When it is not whole.
    pub fn finish(&self) -> Result<(), BodyError> {
        let whole = match &self.reader {
            Reader::Json(json) => json.state == State::After,
            Reader::Xml(xml) => xml.ended && xml.part == Part::Text,
        };
        if whole { Ok(()) } else { Err(BodyError::Cut(self.seen)) }
    }
}

enum Fault {
    /// At this byte of what was pushed.
    At(usize, &'static str),
    Piece(BodyError),
}

/// An instance that is being read.
#[derive(Debug, Default)]
struct Capture {
    bytes: Vec<u8>,
    depth: usize,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    /// A value must come.
    #[default]
    Value,
    /// A value or the end of the array.
    FirstValue,
    /// A key, or the end of the object.
    FirstKey,
    /// A key must come.
    Key,
    /// The colon behind a key.
    Colon,
    /// A comma or the end of what holds the value.
    Next,
    /// In a string.
    Text { key: bool, escaped: bool },
    /// In a number or a word.
    Word,
    /// All is read.
    After,
}

#[derive(Debug)]
struct Frame {
    array: bool,
    /// The key that it stands under is `instance`.
    instances: bool,
}

/// JSON, read just so far as to find the objects under a key `instance`. What is in them is for another to read.
#[derive(Debug, Default)]
struct Json {
    state: State,
    frames: Vec<Frame>,
    word: Vec<u8>,
    key: Vec<u8>,
    capture: Option<Capture>,
    in_text: bool,
    escaped: bool,
}

impl Json {
    fn push(&mut self, bytes: &[u8], take: &mut Take<'_>) -> Result<(), Fault> {
        let mut at = 0;
        while at < bytes.len() {
            if self.capture.is_some() {
                at = self.captured(bytes, at, take)?;
            } else {
                self.byte(bytes[at], take).map_err(|what| match what {
                    Odd::Form(what) => Fault::At(at, what),
                    Odd::Piece(error) => Fault::Piece(error),
                })?;
                at += 1;
            }
        }
        Ok(())
    }

    /// Reads on in an instance; gives where what follows it begins.
    fn captured(&mut self, bytes: &[u8], from: usize, take: &mut Take<'_>) -> Result<usize, Fault> {
        let Some(capture) = &mut self.capture else { return Ok(from) };
        let mut end = None;
        for (at, byte) in bytes.iter().enumerate().skip(from) {
            if self.in_text {
                match byte {
                    _ if self.escaped => self.escaped = false,
                    b'\\' => self.escaped = true,
                    b'"' => self.in_text = false,
                    _ => {}
                }
                continue;
            }
            match byte {
                b'"' => self.in_text = true,
                b'{' | b'[' if capture.depth >= DEEPEST => return Err(Fault::At(at, "nested too deeply")),
                b'{' | b'[' => capture.depth += 1,
                b'}' | b']' => {
                    capture.depth -= 1;
                    if capture.depth == 0 {
                        end = Some(at + 1);
                        break;
                    }
                }
                _ => {}
            }
        }
        let to = end.unwrap_or(bytes.len());
        if capture.bytes.len() + to - from > LONGEST_INSTANCE {
            return Err(Fault::At(from, "an instance that is too long"));
        }
        capture.bytes.extend_from_slice(&bytes[from..to]);
        if end.is_some() {
            let piece = take(Piece::Instance(&capture.bytes)).map_err(Fault::Piece);
            self.capture = None;
            self.state = State::Next;
            piece?;
        }
        Ok(to)
    }

    fn byte(&mut self, byte: u8, take: &mut Take<'_>) -> Result<(), Odd> {
        match self.state {
            State::Text { key, escaped } => return self.text(byte, key, escaped, take),
            State::Word if byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'+' | b'.') => {
                return self.letter(byte);
            }
            State::Word => self.value_ended(take)?,
            _ => {}
        }
        if matches!(byte, b' ' | b'\t' | b'\r' | b'\n') {
            return Ok(());
        }
        match (self.state, byte) {
            (State::Value | State::FirstValue, b'{') => self.open(false),
            (State::Value | State::FirstValue, b'[') => self.open(true),
            (State::FirstValue, b']') => self.close(true),
            (State::Value | State::FirstValue, b'"') => {
                self.word.clear();
                self.state = State::Text { key: false, escaped: false };
                Ok(())
            }
            (State::Value | State::FirstValue, b'-' | b'0'..=b'9' | b't' | b'f' | b'n') => {
                self.word.clear();
                self.state = State::Word;
                self.letter(byte)
            }
            (State::FirstKey | State::Key, b'"') => {
                self.key.clear();
                self.state = State::Text { key: true, escaped: false };
                Ok(())
            }
            (State::FirstKey, b'}') => self.close(false),
            (State::Colon, b':') => {
                self.state = State::Value;
                Ok(())
            }
            (State::Next, b',') => {
                let array = self.frames.last().is_some_and(|frame| frame.array);
                self.state = if array { State::Value } else { State::Key };
                Ok(())
            }
            (State::Next, b']') => self.close(true),
            (State::Next, b'}') => self.close(false),
            (State::After, _) => Err(Odd::Form("something behind the end")),
            _ => Err(Odd::Form("no JSON")),
        }
    }

    fn letter(&mut self, byte: u8) -> Result<(), Odd> {
        if self.word.len() >= LONGEST_WORD {
            return Err(Odd::Form("a number or a word that is too long"));
        }
        self.word.push(byte);
        Ok(())
    }

    fn text(&mut self, byte: u8, key: bool, escaped: bool, take: &mut Take<'_>) -> Result<(), Odd> {
        if !escaped && byte == b'"' {
            if key {
                self.state = State::Colon;
                return Ok(());
            }
            return self.value_ended(take);
        }
        if byte < 0x20 {
            return Err(Odd::Form("a control character in text"));
        }
        let word = if key { &mut self.key } else { &mut self.word };
        if word.len() < LONGEST_WORD {
            word.push(byte);
        } else if key {
            return Err(Odd::Form("a key that is too long"));
        }
        self.state = State::Text { key, escaped: !escaped && byte == b'\\' };
        Ok(())
    }

    /// A plain value is whole.
    fn value_ended(&mut self, take: &mut Take<'_>) -> Result<(), Odd> {
        self.state = if self.frames.is_empty() { State::After } else { State::Next };
        let array = self.frames.last().is_none_or(|frame| frame.array);
        if !array && self.key == b"apps__hashcode" {
            let text =
                std::str::from_utf8(&self.word).map_err(|_| Odd::Form("a hash code that is no text"))?;
            take(Piece::HashCode(text)).map_err(Odd::Piece)?;
        }
        Ok(())
    }

    fn open(&mut self, array: bool) -> Result<(), Odd> {
        // What an array holds stands under the array's key.
        let instances = match self.frames.last() {
            Some(frame) if frame.array => frame.instances,
            Some(_) => self.key == b"instance",
            None => false,
        };
        if instances && !array {
            self.capture = Some(Capture { bytes: b"{".to_vec(), depth: 1 });
            (self.in_text, self.escaped) = (false, false);
            return Ok(());
        }
        if self.frames.len() >= DEEPEST {
            return Err(Odd::Form("nested too deeply"));
        }
        self.frames.push(Frame { array, instances });
        self.state = if array { State::FirstValue } else { State::FirstKey };
        Ok(())
    }

    fn close(&mut self, array: bool) -> Result<(), Odd> {
        match self.frames.pop() {
            Some(frame) if frame.array == array => {
                self.state = if self.frames.is_empty() { State::After } else { State::Next };
                Ok(())
            }
            _ => Err(Odd::Form("a bracket that closes nothing")),
        }
    }
}

enum Odd {
    Form(&'static str),
    Piece(BodyError),
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Part {
    #[default]
    Text,
    /// Between `<` and `>`; the quote that is open, if one is.
    Tag(Option<u8>),
    Comment,
    Data,
}

/// XML, read just so far as to find the elements `instance`.
#[derive(Debug, Default)]
struct Xml {
    part: Part,
    tag: Vec<u8>,
    text: Vec<u8>,
    names: Vec<Box<[u8]>>,
    capture: Option<Capture>,
    ended: bool,
}

impl Xml {
    fn push(&mut self, bytes: &[u8], take: &mut Take<'_>) -> Result<(), Fault> {
        for (at, byte) in bytes.iter().enumerate() {
            if let Some(capture) = &mut self.capture {
                if capture.bytes.len() >= LONGEST_INSTANCE {
                    return Err(Fault::At(at, "an instance that is too long"));
                }
                capture.bytes.push(*byte);
            }
            self.byte(*byte, take).map_err(|what| match what {
                Odd::Form(what) => Fault::At(at, what),
                Odd::Piece(error) => Fault::Piece(error),
            })?;
        }
        Ok(())
    }

    fn byte(&mut self, byte: u8, take: &mut Take<'_>) -> Result<(), Odd> {
        match self.part {
            Part::Text if byte == b'<' => {
                self.tag.clear();
                self.part = Part::Tag(None);
            }
            Part::Text => {
                if self.names.is_empty()
                    && !byte.is_ascii_whitespace()
                    && byte != 0xEF
                    && byte != 0xBB
                    && byte != 0xBF
                {
                    return Err(Odd::Form(if self.ended { "something behind the end" } else { "no XML" }));
                }
                if self.text.len() < LONGEST_WORD {
                    self.text.push(byte);
                }
            }
            Part::Tag(quote) => {
                if self.tag.len() >= LONGEST_TAG {
                    return Err(Odd::Form("a tag that is too long"));
                }
                match (quote, byte) {
                    (Some(open), _) if open == byte => self.part = Part::Tag(None),
                    (None, b'"' | b'\'') if !self.tag.starts_with(b"?") => self.part = Part::Tag(Some(byte)),
                    (None, b'>') => {
                        self.part = Part::Text;
                        return self.tag_ended(take);
                    }
                    (None, b'<') => return Err(Odd::Form("a tag in a tag")),
                    _ => {}
                }
                self.tag.push(byte);
                match self.tag.as_slice() {
                    b"!--" => self.part = Part::Comment,
                    b"![CDATA[" => self.part = Part::Data,
                    b"!D" | b"!E" => return Err(Odd::Form("a document type, which is not read")),
                    _ => {}
                }
                if self.part != Part::Tag(None) && !matches!(self.part, Part::Tag(_)) {
                    self.tag.clear();
                }
            }
            Part::Comment => self.until(byte, b"-->"),
            Part::Data => self.until(byte, b"]]>"),
        }
        Ok(())
    }

    fn until(&mut self, byte: u8, end: &[u8]) {
        if self.tag.len() >= end.len() {
            self.tag.remove(0);
        }
        self.tag.push(byte);
        if self.tag == end {
            self.part = Part::Text;
        }
    }

    fn tag_ended(&mut self, take: &mut Take<'_>) -> Result<(), Odd> {
        let tag = std::mem::take(&mut self.tag);
        let text = std::mem::take(&mut self.text);
        if tag.starts_with(b"?") {
            return Ok(());
        }
        if tag.starts_with(b"!") {
            return Err(Odd::Form("a declaration, which is not read"));
        }
        if let Some(name) = tag.strip_prefix(b"/") {
            let open = self.names.pop().ok_or(Odd::Form("a tag that closes nothing"))?;
            if *open != *name.trim_ascii() {
                return Err(Odd::Form("a tag that closes another"));
            }
            if open.as_ref() == b"apps__hashcode" && self.capture.is_none() {
                let text =
                    std::str::from_utf8(&text).map_err(|_| Odd::Form("a hash code that is no text"))?;
                take(Piece::HashCode(text.trim())).map_err(Odd::Piece)?;
            }
            return self.closed(take);
        }
        let closed = tag.ends_with(b"/");
        let name = tag.split(|byte| byte.is_ascii_whitespace() || *byte == b'/').next().unwrap_or(b"");
        if name.is_empty() || self.ended {
            return Err(Odd::Form(if self.ended {
                "something behind the end"
            } else {
                "a tag without a name"
            }));
        }
        if self.names.len() >= DEEPEST {
            return Err(Odd::Form("nested too deeply"));
        }
        if name == b"instance" && self.capture.is_none() {
            let bytes = [b"<", tag.as_slice(), b">"].concat();
            self.capture = Some(Capture { bytes, depth: self.names.len() });
        }
        self.names.push(name.into());
        if closed {
            self.names.pop();
            return self.closed(take);
        }
        Ok(())
    }

    /// An element has ended.
    fn closed(&mut self, take: &mut Take<'_>) -> Result<(), Odd> {
        self.ended = self.names.is_empty();
        if let Some(capture) = self.capture.take_if(|capture| capture.depth == self.names.len()) {
            take(Piece::Instance(&capture.bytes)).map_err(Odd::Piece)?;
        }
        Ok(())
    }
}
