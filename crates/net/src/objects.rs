//! JSON objects that follow one another in a stream: one a line, or each over several lines. No I/O.

/// A longer text is no list.
pub const MAX_OBJECT_BYTES: usize = 8 * 1024 * 1024;

/// Why a text can't be cut into objects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SplitError {
    /// Something that neither opens an object nor separates two.
    #[error("'{0}' between two objects")]
    UnexpectedCharacter(char),
    /// A line ends within a quoted text: the rest of the object is missing.
    #[error("a line's end within a quoted text")]
    LineEndInString,
    /// It goes on for too long.
    #[error("an object without an end")]
    TooLong,
}

/// What has come whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamItem {
    /// An object's text; whether it is right inside is for its reader to say.
    Object(Vec<u8>),
    /// The end of a line between two objects.
    LineEnd,
}

/// Cuts a stream into objects, looking at each byte once.
#[derive(Debug, Default)]
pub struct ObjectSplitter {
    text: Vec<u8>,
    /// So many bytes have been looked at.
    seen: usize,
    /// ObjectSplitter and lists that are open.
    depth: usize,
    quoted: bool,
    escaped: bool,
}

impl ObjectSplitter {
    /// Takes in what has come.
    pub fn push_bytes(&mut self, bytes: &[u8]) {
        self.text.extend_from_slice(bytes);
    }

    /// The next thing that is whole.
    ///
    /// # Errors
    ///
    /// When what comes is no object, or one without an end.
    pub fn next_item(&mut self) -> Result<Option<StreamItem>, SplitError> {
        while let Some(byte) = self.text.get(self.seen).copied() {
            self.seen += 1;
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\n' if self.quoted => return Err(SplitError::LineEndInString),
                b'\\' if self.quoted => self.escaped = true,
                b'"' if self.depth > 0 => self.quoted = !self.quoted,
                _ if self.quoted => {}
                b'{' => self.depth += 1,
                b'[' if self.depth > 0 => self.depth += 1,
                b'}' | b']' if self.depth > 0 => {
                    self.depth -= 1;
                    if self.depth == 0 {
                        return Ok(Some(StreamItem::Object(self.take_out())));
                    }
                }
                _ if self.depth > 0 => {}
                b'\n' => {
                    self.take_out();
                    return Ok(Some(StreamItem::LineEnd));
                }
                b' ' | b'\t' | b'\r' => {}
                other => return Err(SplitError::UnexpectedCharacter(char::from(other))),
            }
        }
        if self.text.len() > MAX_OBJECT_BYTES { Err(SplitError::TooLong) } else { Ok(None) }
    }

    /// Takes out what has been looked at.
    fn take_out(&mut self) -> Vec<u8> {
        let rest = self.text.split_off(self.seen);
        self.seen = 0;
        std::mem::replace(&mut self.text, rest)
    }
}
