//! Lengths and counts, as they follow the type byte of a frame.

use crate::ProtocolError;

/// The most digits that a length or count may have.
const MAX_DIGITS: u8 = 10;

/// Parses a decimal number and the CRLF after it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct LengthParser {
    value: i64,
    digits: u8,
    negative: bool,
    /// The CR has been read.
    cr: bool,
}

impl LengthParser {
    /// Takes one byte; returns the number at the end of the line.
    pub(crate) fn push(&mut self, byte: u8) -> Result<Option<i64>, ProtocolError> {
        match byte {
            b'\n' if self.cr => Ok(Some(if self.negative { -self.value } else { self.value })),
            b'\r' if self.digits > 0 && !self.cr => {
                self.cr = true;
                Ok(None)
            }
            b'-' if self.digits == 0 && !self.negative && !self.cr => {
                self.negative = true;
                Ok(None)
            }
            b'0'..=b'9' if self.digits < MAX_DIGITS && !self.cr => {
                self.value = self.value * 10 + i64::from(byte - b'0');
                self.digits += 1;
                Ok(None)
            }
            _ => Err(ProtocolError("invalid number")),
        }
    }
}
