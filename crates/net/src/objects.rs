//! Splits a stream of concatenated JSON objects, each on one line or spread over several. Does no I/O.

/// Maximum size of one object, in bytes.
pub const MAX_OBJECT_BYTES: usize = 8 * 1024 * 1024;

/// Why a stream can't be split into objects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SplitError {
    /// A character between two objects that is neither white space nor an opening brace.
    #[error("unexpected '{0}' between two objects")]
    UnexpectedCharacter(char),
    /// A line break within a string: the rest of the object is missing.
    #[error("line break within a string")]
    LineEndInString,
    /// The object exceeds [`MAX_OBJECT_BYTES`].
    #[error("object too long")]
    TooLong,
}

/// A complete item of the stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamItem {
    /// The text of an object. Only its brackets and strings were checked, not its syntax.
    Object(Vec<u8>),
    /// A line break between two objects.
    LineEnd,
}

/// Splits a stream into objects; each byte is examined once.
#[derive(Debug, Default)]
pub struct ObjectSplitter {
    buffered: Vec<u8>,
    /// Number of bytes at the start of `buffered` that have been examined.
    examined: usize,
    /// Nesting depth of objects and arrays.
    depth: usize,
    in_string: bool,
    escaped: bool,
}

impl ObjectSplitter {
    /// Appends received bytes.
    pub fn push_bytes(&mut self, bytes: &[u8]) {
        self.buffered.extend_from_slice(bytes);
    }

    /// Returns the next complete item; `None` while more bytes are needed.
    ///
    /// # Errors
    ///
    /// When the stream holds something other than objects, a broken string, or an object that is too long.
    pub fn next_item(&mut self) -> Result<Option<StreamItem>, SplitError> {
        while let Some(byte) = self.buffered.get(self.examined).copied() {
            self.examined += 1;
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\n' if self.in_string => return Err(SplitError::LineEndInString),
                b'\\' if self.in_string => self.escaped = true,
                b'"' if self.depth > 0 => self.in_string = !self.in_string,
                _ if self.in_string => {}
                b'{' => self.depth += 1,
                b'[' if self.depth > 0 => self.depth += 1,
                b'}' | b']' if self.depth > 0 => {
                    self.depth -= 1;
                    if self.depth == 0 {
                        return Ok(Some(StreamItem::Object(self.take_examined())));
                    }
                }
                _ if self.depth > 0 => {}
                b'\n' => {
                    self.take_examined();
                    return Ok(Some(StreamItem::LineEnd));
                }
                b' ' | b'\t' | b'\r' => {}
                other => return Err(SplitError::UnexpectedCharacter(char::from(other))),
            }
        }
        if self.buffered.len() > MAX_OBJECT_BYTES { Err(SplitError::TooLong) } else { Ok(None) }
    }

    /// Removes the examined bytes and returns them.
    fn take_examined(&mut self) -> Vec<u8> {
        let rest = self.buffered.split_off(self.examined);
        self.examined = 0;
        std::mem::replace(&mut self.buffered, rest)
    }
}
