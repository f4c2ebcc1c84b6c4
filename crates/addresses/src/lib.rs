//! The addresses of a cache box: the order in which they are tried, how many at once, and the health of each.
//!
//! Follows RFC 8305 ("Happy Eyeballs Version 2"): families alternate (section 4), connection attempts are staggered
//! (section 5), and the first that is established wins. It differs from the RFC in three ways: the delay between two
//! attempts is the measured time of handshakes with the box; no more than two attempts are in progress at once; and an
//! address that accepts connections but does not answer is ejected, too. Health is learned from ordinary requests, not
//! from separate checks. The crate has no I/O and no clock: times are nanoseconds on any single clock, and random
//! numbers come from a seed.

mod race;
mod table;

pub use race::{ConnectionRace, MAX_CONCURRENT_ATTEMPTS};
pub use table::{AddressId, AddressTable, REMOVED_RETENTION};

use std::collections::HashSet;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

/// A point in time or a duration, in nanoseconds.
pub type Nanos = u64;

/// The most addresses that a box may have; more are dropped.
pub const MAX_ADDRESSES: usize = 8;
/// The longest text of an address, in bytes.
pub const MAX_ADDRESS_BYTES: usize = 256;
/// The longest path of a Unix-domain socket: `sun_path` has 108 bytes, the last of them zero (unix(7)).
pub const MAX_UNIX_PATH_BYTES: usize = 107;

/// Where a box listens.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Address {
    /// `127.0.0.1:6379` or `[::1]:6379`.
    Tcp(SocketAddr),
    /// `unix:/path`, an absolute path.
    Unix(PathBuf),
}

/// The address family. Addresses of one family tend to fail together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Family {
    /// IPv6.
    V6,
    /// IPv4.
    V4,
    /// A Unix-domain socket.
    Unix,
}

/// Why a text is not a valid address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ParseAddressError {
    /// It is longer than [`MAX_ADDRESS_BYTES`]; the length in bytes.
    TooLong(usize),
    /// The path is not absolute, has a zero byte, or is longer than [`MAX_UNIX_PATH_BYTES`].
    InvalidPath(String),
    /// It is neither an IP address with a port nor `unix:` and a path. Host names are not resolved.
    InvalidFormat(String),
    /// No connection can be made to it: port 0, or an unspecified or multicast address.
    NotConnectable(SocketAddr),
}

impl fmt::Display for ParseAddressError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ParseAddressError::TooLong(length) => {
                write!(f, "address has {length} bytes, at most {MAX_ADDRESS_BYTES} are allowed")
            }
            ParseAddressError::InvalidPath(path) => {
                write!(f, "{path:?} is not an absolute path of at most {MAX_UNIX_PATH_BYTES} bytes")
            }
            ParseAddressError::InvalidFormat(text) => {
                write!(f, "{text:?} is neither ADDRESS:PORT nor unix:/PATH")
            }
            ParseAddressError::NotConnectable(address) => {
                write!(f, "{address} cannot be connected to: the port is 0, or the address names no host")
            }
        }
    }
}

impl std::error::Error for ParseAddressError {}

impl FromStr for Address {
    type Err = ParseAddressError;

    fn from_str(text: &str) -> Result<Self, ParseAddressError> {
        if text.len() > MAX_ADDRESS_BYTES {
            return Err(ParseAddressError::TooLong(text.len()));
        }
        if let Some(path) = text.strip_prefix("unix:") {
            let valid = path.starts_with('/') && path.len() <= MAX_UNIX_PATH_BYTES && !path.contains('\0');
            return if valid {
                Ok(Address::Unix(path.into()))
            } else {
                Err(ParseAddressError::InvalidPath(path.into()))
            };
        }
        let address: SocketAddr = text.parse().map_err(|_| ParseAddressError::InvalidFormat(text.into()))?;
        if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() {
            return Err(ParseAddressError::NotConnectable(address));
        }
        Ok(Address::Tcp(address))
    }
}

/// Writes the form that [`Address::from_str`] parses.
impl fmt::Display for Address {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Address::Tcp(address) => address.fmt(f),
            Address::Unix(path) => write!(f, "unix:{}", path.display()),
        }
    }
}

impl Address {
    /// The address family. An IPv4-mapped IPv6 address counts as IPv4, over which it is reached.
    pub fn family(&self) -> Family {
        match self {
            Address::Tcp(SocketAddr::V4(_)) => Family::V4,
            Address::Tcp(SocketAddr::V6(address)) if address.ip().to_ipv4_mapped().is_some() => Family::V4,
            Address::Tcp(SocketAddr::V6(_)) => Family::V6,
            Address::Unix(_) => Family::Unix,
        }
    }
}

/// Parses a list of addresses in its order. Returns the usable ones, and a message for each text that was dropped.
pub fn parse_list<'a>(texts: impl IntoIterator<Item = &'a str>) -> (Vec<Address>, Vec<String>) {
    let (mut all, mut errors, mut seen) = (Vec::new(), Vec::new(), HashSet::new());
    let mut excess = 0;
    for text in texts {
        if all.len() + errors.len() >= 2 * MAX_ADDRESSES {
            excess += 1;
            continue;
        }
        match text.parse::<Address>() {
            Err(e) => errors.push(e.to_string()),
            Ok(address) if !seen.insert(address.clone()) => {
                errors.push(format!("{address} is listed twice"));
            }
            Ok(_) if all.len() >= MAX_ADDRESSES => excess += 1,
            Ok(address) => all.push(address),
        }
    }
    if excess > 0 {
        errors.push(format!("{excess} more than the {MAX_ADDRESSES} addresses that a box may have"));
    }
    (all, errors)
}
