//! Users: who may ask, and for what.

use sha2::{Digest, Sha256};
use std::fmt;
use subtle::ConstantTimeEq;

/// The longest password that is looked at; a longer one is wrong.
pub const MAX_PASSWORD_BYTES: usize = 512;
/// Salts are this long.
pub const SALT_BYTES: usize = 16;
/// The user that a connection is before it says otherwise.
pub const DEFAULT_USER: &str = "default";

/// A password as it is kept: SHA-256 over a salt and the password. One round: checking must cost the loop less
/// than reading the command did, so a password has to be long and made by chance, not a word.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PasswordHash {
    salt: [u8; SALT_BYTES],
    digest: [u8; 32],
}

/// A text that is no password in this form.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidPasswordHash;

impl fmt::Display for InvalidPasswordHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "is not of the form sha256:SALT:DIGEST, in 32 and 64 hex digits; trestlectl password makes one"
        )
    }
}

impl std::error::Error for InvalidPasswordHash {}

impl PasswordHash {
    /// Hashes a password.
    pub fn new(password: &[u8], salt: [u8; SALT_BYTES]) -> Self {
        let digest = Sha256::new_with_prefix(salt).chain_update(password).finalize().into();
        PasswordHash { salt, digest }
    }

    /// Reads the form in which it is kept.
    ///
    /// # Errors
    /// It is not of that form.
    pub fn parse(text: &str) -> Result<Self, InvalidPasswordHash> {
        let (salt, digest) =
            text.strip_prefix("sha256:").and_then(|t| t.split_once(':')).ok_or(InvalidPasswordHash)?;
        let mut password = PasswordHash { salt: [0; SALT_BYTES], digest: [0; 32] };
        hex::decode_to_slice(salt, &mut password.salt).map_err(|_| InvalidPasswordHash)?;
        hex::decode_to_slice(digest, &mut password.digest).map_err(|_| InvalidPasswordHash)?;
        Ok(password)
    }

    /// Is it this one? How long that takes does not tell how much of it is right.
    fn is(&self, password: &[u8]) -> bool {
        let other = PasswordHash::new(password.get(..MAX_PASSWORD_BYTES).unwrap_or(password), self.salt);
        bool::from(self.digest.ct_eq(&other.digest)) && password.len() <= MAX_PASSWORD_BYTES
    }
}

impl fmt::Display for PasswordHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "sha256:{}:{}", hex::encode(self.salt), hex::encode(self.digest))
    }
}

/// A user.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct User {
    /// The name.
    pub name: String,
    /// Nothing is wanted without one: only the default user can be without.
    pub password: Option<PasswordHash>,
    /// The commands that it may call, in capitals; nothing where it may call all.
    pub commands: Option<Vec<String>>,
    /// The tenants that it may ask for, by number; nothing where it may ask for all.
    pub tenants: Option<Vec<u32>>,
}

/// All users of an instance.
#[derive(Clone, Debug, Default)]
pub struct Users {
    all: Vec<User>,
}

impl Users {
    /// These; with none, nobody is asked for a password and everybody may call everything.
    pub fn new(all: Vec<User>) -> Self {
        Users { all }
    }

    /// A password is wanted of some.
    pub fn authentication_required(&self) -> bool {
        !self.all.is_empty()
    }

    /// A user, by its number.
    pub fn get(&self, user: usize) -> Option<&User> {
        self.all.get(user)
    }

    /// The number of the default user, if it needs no password.
    pub(crate) fn open(&self) -> Option<usize> {
        self.all.iter().position(|u| u.name == DEFAULT_USER && u.password.is_none())
    }

    /// The number of the user of this name and password. A name that there is not takes as long as one that
    /// there is.
    pub(crate) fn find(&self, name: &[u8], password: &[u8]) -> Option<usize> {
        let at = self.all.iter().position(|u| u.name.as_bytes() == name);
        let none = PasswordHash { salt: [0; SALT_BYTES], digest: [0; 32] };
        match at.and_then(|at| self.all.get(at)) {
            Some(User { password: None, .. }) => at,
            user => {
                let kept = user.and_then(|u| u.password.as_ref()).unwrap_or(&none);
                kept.is(password).then_some(at).flatten()
            }
        }
    }
}
