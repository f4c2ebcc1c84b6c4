//! Lengths and counts.

use crate::ProtocolError;

/// No length or count has more digits.
const MAX_DIGITS: u8 = 10;

/// A number and its line end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Number {
    value: i64,
    digits: u8,
    negative: bool,
    cr: bool,
}

impl Number {
    /// Takes one byte; the number once its line has ended.
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
