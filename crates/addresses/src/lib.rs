//! The addresses of a cache box: in which order they are tried, how many at once, and which of them are well.
//!
//! After RFC 8305 ("Happy Eyeballs Version 2"): families take turns (section 4), connection attempts are staggered
//! (section 5), the first that comes up wins. Otherwise than there, the delay between two attempts is what handshakes
//! with the box were measured to take; no more than two attempts run at once; and an address that takes connections
//! and then says nothing is a bad one, too. What is learned comes from requests that are sent anyway. No I/O and no
//! clock: times are nanoseconds on any one clock, chance comes from a seed.

mod race;
mod table;

pub use race::{ConnectionRace, MAX_CONCURRENT_ATTEMPTS};
pub use table::{AddressId, AddressTable, REMOVED_RETENTION};

use std::collections::HashSet;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

/// Nanoseconds.
pub type Nanos = u64;

/// Addresses that a box may have; more are dropped.
pub const MAX_ADDRESSES: usize = 8;
/// The longest text of an address.
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

/// Kinds of addresses that tend to fail together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Family {
    /// IPv6.
    V6,
    /// IPv4.
    V4,
    /// A Unix-domain socket.
    Unix,
}

/// Why a text is no address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ParseAddressError {
    /// It is longer than [`MAX_ADDRESS_BYTES`].
    TooLong(usize),
    /// The path is not absolute, has a zero byte, or is longer than [`MAX_UNIX_PATH_BYTES`].
    InvalidPath(String),
    /// It is neither an IP address with a port nor `unix:` and a path. Names are not looked up.
    InvalidFormat(String),
    /// Nobody can be connected to there: port 0, or an address of no host.
    NotConnectable(SocketAddr),
}

impl fmt::Display for ParseAddressError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ParseAddressError::TooLong(length) => {
                write!(f, "an address of {length} bytes; {MAX_ADDRESS_BYTES} are the most")
            }
            ParseAddressError::InvalidPath(path) => {
                write!(f, "{path:?} is no absolute path of at most {MAX_UNIX_PATH_BYTES} bytes")
            }
            ParseAddressError::InvalidFormat(text) => {
                write!(f, "{text:?} is neither ADDRESS:PORT nor unix:/PATH")
            }
            ParseAddressError::NotConnectable(address) => write!(f, "nobody can be reached at {address}"),
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
            let good = path.starts_with('/') && path.len() <= MAX_UNIX_PATH_BYTES && !path.contains('\0');
            return if good {
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

impl fmt::Display for Address {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Address::Tcp(address) => address.fmt(f),
            Address::Unix(path) => write!(f, "unix:{}", path.display()),
        }
    }
}

impl Address {
    /// Its family. An IPv4 address in IPv6's form goes the way of IPv4.
    pub fn family(&self) -> Family {
        match self {
            Address::Tcp(SocketAddr::V4(_)) => Family::V4,
            Address::Tcp(SocketAddr::V6(a)) if a.ip().to_ipv4_mapped().is_some() => Family::V4,
            Address::Tcp(SocketAddr::V6(_)) => Family::V6,
            Address::Unix(_) => Family::Unix,
        }
    }
}

/// Reads a list of addresses in its order; what can't be used is dropped, and named.
pub fn parse_list<'a>(texts: impl IntoIterator<Item = &'a str>) -> (Vec<Address>, Vec<String>) {
    let (mut all, mut faults, mut seen) = (Vec::new(), Vec::new(), HashSet::new());
    let mut more = 0;
    for text in texts {
        if all.len() + faults.len() >= 2 * MAX_ADDRESSES {
            more += 1;
            continue;
        }
        match text.parse::<Address>() {
            Err(e) => faults.push(e.to_string()),
            Ok(address) if !seen.insert(address.clone()) => {
                faults.push(format!("{address} stands there twice"))
            }
            Ok(_) if all.len() >= MAX_ADDRESSES => more += 1,
            Ok(address) => all.push(address),
        }
    }
    if more > 0 {
        faults.push(format!("{more} more than the {MAX_ADDRESSES} that a box may have"));
    }
    (all, faults)
}
