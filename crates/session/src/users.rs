//! Users, their passwords, and the commands and tenants that they may access.

use sha2::{Digest, Sha256};
use std::fmt;
use subtle::ConstantTimeEq;

/// The longest password; a longer one is always wrong.
pub const MAX_PASSWORD_BYTES: usize = 512;
/// The length of a salt.
pub const SALT_BYTES: usize = 16;
/// The name of the user that a connection has before it logs in.
pub const DEFAULT_USER: &str = "default";

/// The stored form of a password: SHA-256 over a salt and the password. There is only one round, because
/// checking it must not delay the event loop longer than reading the command does. A password therefore has
/// to be long and random.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PasswordHash {
    salt: [u8; SALT_BYTES],
    digest: [u8; 32],
}

/// The text is not a password hash of the expected form.
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

    /// Parses the form `sha256:SALT:DIGEST`, which [`fmt::Display`] writes.
    ///
    /// # Errors
    /// The text is not of that form.
    pub fn parse(text: &str) -> Result<Self, InvalidPasswordHash> {
        let (salt, digest) =
            text.strip_prefix("sha256:").and_then(|t| t.split_once(':')).ok_or(InvalidPasswordHash)?;
        let mut password = PasswordHash { salt: [0; SALT_BYTES], digest: [0; 32] };
        hex::decode_to_slice(salt, &mut password.salt).map_err(|_| InvalidPasswordHash)?;
        hex::decode_to_slice(digest, &mut password.digest).map_err(|_| InvalidPasswordHash)?;
        Ok(password)
    }

    /// Compares a password in constant time, so that the time does not reveal how much of the digest matches.
    fn matches(&self, password: &[u8]) -> bool {
        let other = PasswordHash::new(password.get(..MAX_PASSWORD_BYTES).unwrap_or(password), self.salt);
        bool::from(self.digest.ct_eq(&other.digest)) && password.len() <= MAX_PASSWORD_BYTES
    }
}

impl fmt::Display for PasswordHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "sha256:{}:{}", hex::encode(self.salt), hex::encode(self.digest))
    }
}

/// A configured user.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct User {
    /// The name.
    pub name: String,
    /// The password, or `None` if the user needs none, which is possible for the default user only.
    pub password: Option<PasswordHash>,
    /// The cache commands that the user may call, in upper case, or `None` for all.
    pub commands: Option<Vec<String>>,
    /// The numbers of the tenants that the user may access, or `None` for all.
    pub tenants: Option<Vec<u32>>,
}

/// The configured users of an instance.
#[derive(Clone, Debug, Default)]
pub struct Users {
    all: Vec<User>,
}

impl Users {
    /// The given users. If there are none, no client needs a password, and all may call every command.
    pub fn new(all: Vec<User>) -> Self {
        Users { all }
    }

    /// True if clients have to authenticate, that is, if at least one user is configured.
    pub fn authentication_required(&self) -> bool {
        !self.all.is_empty()
    }

    /// The user at an index.
    pub fn get(&self, index: usize) -> Option<&User> {
        self.all.get(index)
    }

    /// The index of the default user, if it exists and needs no password.
    pub(crate) fn passwordless_default(&self) -> Option<usize> {
        self.all.iter().position(|u| u.name == DEFAULT_USER && u.password.is_none())
    }

    /// The index of the user with this name and password. An unknown name takes as long as a known one, so
    /// that the time does not reveal which users exist.
    pub(crate) fn find(&self, name: &[u8], password: &[u8]) -> Option<usize> {
        let index = self.all.iter().position(|u| u.name.as_bytes() == name);
        let dummy = PasswordHash { salt: [0; SALT_BYTES], digest: [0; 32] };
        match index.and_then(|index| self.all.get(index)) {
            Some(User { password: None, .. }) => index,
            user => {
                let stored = user.and_then(|u| u.password.as_ref()).unwrap_or(&dummy);
                stored.matches(password).then_some(index).flatten()
            }
        }
    }
}
