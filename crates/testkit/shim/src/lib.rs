//! Stands in for functions of the C library in a program that it is preloaded into (`LD_PRELOAD`, ld.so(8)): named calls
//! fail, or do a part of their work, and the wall clock is stepped. Linux with glibc, on any machine.
//!
//! `SYSCALL_FAULTS` has the rules, separated by semicolons, and `SYSCALL_FAULTS_SEED` the seed of what is drawn. A rule is a
//! call, a fault, and how often it occurs, with conditions behind it:
//!
//! ```text
//! recv short 0.5; send ENOBUFS 0.02 port=6379; socket ENFILE 0.3 until=500; clock step 3600 after=1000
//! ```
//!
//! `short` limits a transfer to 1 to 7 bytes; a name of errno(3) fails the call. `port=N` applies to sockets with this local
//! or remote port only, `not-port=N` to all others. `after=N` and `until=N` are milliseconds since the start of the program.
//! `clock step N` adds N seconds, which may be negative, to the wall clock.
//!
//! A rule that can't be read ends the program. Calls that a program makes without the C library are not affected.

use std::ffi::{c_char, c_int, c_long, c_uint, c_void};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;
use std::time::{Duration, Instant};

/// The longest transfer that a short one makes, in bytes.
const MAX_SHORT_BYTES: u64 = 7;
/// `RTLD_NEXT`: the next definition of a symbol behind this library.
const NEXT: *mut c_void = -1_isize as *mut c_void;
/// `CLOCK_REALTIME` and `CLOCK_REALTIME_COARSE`.
const WALL_CLOCKS: [c_int; 2] = [0, 5];
/// `AF_UNIX`.
const UNIX_FAMILY: u16 = 1;
/// `AF_INET` and `AF_INET6`.
const INTERNET_FAMILIES: [u16; 2] = [2, 10];
/// The numbers of errno(3) on Linux.
const ERRORS: [(&str, c_int); 22] = [
    ("EINTR", 4),
    ("EIO", 5),
    ("EAGAIN", 11),
    ("ENOMEM", 12),
    ("EACCES", 13),
    ("ENFILE", 23),
    ("EMFILE", 24),
    ("EINVAL", 22),
    ("ENOSPC", 28),
    ("EPIPE", 32),
    ("EPROTO", 71),
    ("EADDRINUSE", 98),
    ("EADDRNOTAVAIL", 99),
    ("ENETDOWN", 100),
    ("ENETUNREACH", 101),
    ("ECONNABORTED", 103),
    ("ECONNRESET", 104),
    ("ENOBUFS", 105),
    ("ETIMEDOUT", 110),
    ("ECONNREFUSED", 111),
    ("EHOSTUNREACH", 113),
    ("EPERM", 1),
];

extern "C" {
    fn dlsym(handle: *mut c_void, symbol: *const c_char) -> *mut c_void;
    fn __errno_location() -> *mut c_int;
    fn getsockname(socket: c_int, address: *mut c_void, length: *mut c_uint) -> c_int;
    fn getpeername(socket: c_int, address: *mut c_void, length: *mut c_uint) -> c_int;
}

/// What happens to a call.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// It transfers a few bytes only.
    Short,
    /// It fails with this error.
    Error(c_int),
    /// The wall clock is off by this many seconds.
    Step(i64),
}

/// When a call has a fault.
#[derive(Clone, Debug)]
struct Rule {
    call: String,
    fault: Fault,
    probability: f64,
    port: Option<u16>,
    other_than_port: Option<u16>,
    is_unix_only: bool,
    after: Duration,
    until: Duration,
}

/// The rules, and when the program began.
struct Faults {
    rules: Vec<Rule>,
    started: Instant,
    random: AtomicU64,
}

/// Reads a rule; `None` if it is not valid.
fn parse_rule(text: &str) -> Option<Rule> {
    let mut words = text.split_whitespace();
    let call = words.next()?.to_owned();
    let fault = words.next()?;
    let number = words.next()?;
    let fault = match fault {
        "short" => Fault::Short,
        "step" => Fault::Step(number.parse().ok()?),
        name => Fault::Error(ERRORS.iter().find(|(known, _)| *known == name)?.1),
    };
    let probability = if matches!(fault, Fault::Step(_)) { 1.0 } else { number.parse().ok()? };
    let (after, until) = (Duration::ZERO, Duration::MAX);
    let mut rule = Rule {
        call,
        fault,
        probability,
        port: None,
        other_than_port: None,
        is_unix_only: false,
        after,
        until,
    };
    for word in words {
        let (name, value) = word.split_once('=')?;
        match name {
            "port" => rule.port = Some(value.parse().ok()?),
            "not-port" => rule.other_than_port = Some(value.parse().ok()?),
            "family" if value == "unix" => rule.is_unix_only = true,
            "after" => rule.after = Duration::from_millis(value.parse().ok()?),
            "until" => rule.until = Duration::from_millis(value.parse().ok()?),
            _ => return None,
        }
    }
    Some(rule)
}

/// The rules of this process.
fn faults() -> &'static Faults {
    static FAULTS: OnceLock<Faults> = OnceLock::new();
    FAULTS.get_or_init(|| {
        let text = std::env::var("SYSCALL_FAULTS").unwrap_or_default();
        let rules = text.split(';').filter(|rule| !rule.trim().is_empty());
        let rules = rules.map(|rule| parse_rule(rule).unwrap_or_else(|| std::process::abort()));
        let seed = std::env::var("SYSCALL_FAULTS_SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1);
        Faults { rules: rules.collect(), started: Instant::now(), random: AtomicU64::new(seed) }
    })
}

impl Faults {
    /// The next drawn number (SplitMix64).
    fn draw(&self) -> u64 {
        const STEP: u64 = 0x9E37_79B9_7F4A_7C15;
        let mut z = self.random.fetch_add(STEP, Ordering::Relaxed).wrapping_add(STEP);
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        z ^ (z >> 31)
    }

    /// The fault of a call, if it has one now. `socket` is the descriptor that it is made on.
    fn fault(&self, call: &str, socket: Option<c_int>) -> Option<Fault> {
        let elapsed = self.started.elapsed();
        let applies = |rule: &&Rule| {
            rule.call == call
                && (rule.after..rule.until).contains(&elapsed)
                && rule.port.is_none_or(|port| socket.is_some_and(|socket| has_port(socket, port)))
                && rule
                    .other_than_port
                    .is_none_or(|port| !socket.is_some_and(|socket| has_port(socket, port)))
                && (!rule.is_unix_only || socket.is_some_and(is_unix_socket))
        };
        let is_drawn = |rule: &&Rule| (self.draw() >> 11) as f64 / ((1_u64 << 53) as f64) < rule.probability;
        self.rules.iter().filter(applies).find(is_drawn).map(|rule| rule.fault)
    }
}

/// getsockname(2) or getpeername(2).
type AddressOf = unsafe extern "C" fn(c_int, *mut c_void, *mut c_uint) -> c_int;

/// The family and the port of an address of a socket; the port of one that is no internet address means nothing.
fn family_and_port(socket: c_int, address_of: AddressOf) -> Option<(u16, u16)> {
    // As large as `sockaddr_storage`; the family is first, and the port of an internet address is behind it.
    let mut address = [0_u8; 128];
    let mut length = address.len() as c_uint;
    // SAFETY: the address has as many bytes as the length says.
    let result = unsafe { address_of(socket, address.as_mut_ptr().cast(), &mut length) };
    let family = u16::from_ne_bytes([address[0], address[1]]);
    (result == 0).then(|| (family, u16::from_be_bytes([address[2], address[3]])))
}

/// Whether a socket has this local or remote port.
fn has_port(socket: c_int, port: u16) -> bool {
    let both: [AddressOf; 2] = [getsockname, getpeername];
    both.into_iter()
        .filter_map(|address_of| family_and_port(socket, address_of))
        .any(|(family, own)| INTERNET_FAMILIES.contains(&family) && own == port)
}

/// Whether a descriptor is a socket of the Unix domain.
fn is_unix_socket(socket: c_int) -> bool {
    family_and_port(socket, getsockname).is_some_and(|(family, _)| family == UNIX_FAMILY)
}

/// Sets errno(3) and returns what a failed call returns.
fn fail(error: c_int) -> c_int {
    // SAFETY: the C library returns a valid place for this thread.
    unsafe { *__errno_location() = error };
    -1
}

/// The C library's own definition of a function, as a function of the given type.
macro_rules! next {
    ($name:literal, $signature:ty) => {{
        static FOUND: OnceLock<usize> = OnceLock::new();
        let address = *FOUND.get_or_init(|| {
            // SAFETY: the name ends with a NUL byte.
            unsafe { dlsym(NEXT, concat!($name, "\0").as_ptr().cast()) as usize }
        });
        assert!(address != 0, concat!("the C library has no ", $name));
        // SAFETY: the C library's function has this signature, and is there as long as the program runs.
        unsafe { std::mem::transmute::<usize, $signature>(address) }
    }};
}

type Receive = unsafe extern "C" fn(c_int, *mut c_void, usize, c_int) -> isize;
type Send = unsafe extern "C" fn(c_int, *const c_void, usize, c_int) -> isize;
type WriteVector = unsafe extern "C" fn(c_int, *const IoVector, c_int) -> isize;
type Accept = unsafe extern "C" fn(c_int, *mut c_void, *mut c_uint, c_int) -> c_int;
type Socket = unsafe extern "C" fn(c_int, c_int, c_int) -> c_int;
type Connect = unsafe extern "C" fn(c_int, *const c_void, c_uint) -> c_int;
type Listen = unsafe extern "C" fn(c_int, c_int) -> c_int;
type Open = unsafe extern "C" fn(*const c_char, c_int, ...) -> c_int;
type Wait = unsafe extern "C" fn(c_int, *mut c_void, c_int, c_int) -> c_int;
type ClockTime = unsafe extern "C" fn(c_int, *mut TimeSpec) -> c_int;
type TimeOfDay = unsafe extern "C" fn(*mut TimeValue, *mut c_void) -> c_int;
type Seconds = unsafe extern "C" fn(*mut i64) -> i64;
type Synchronise = unsafe extern "C" fn(c_int) -> c_int;
type Write = unsafe extern "C" fn(c_int, *const c_void, usize) -> isize;

/// `struct iovec`.
#[repr(C)]
pub struct IoVector {
    base: *mut c_void,
    length: usize,
}

/// `struct timespec`, on machines with 64 bits.
#[repr(C)]
pub struct TimeSpec {
    seconds: i64,
    nanoseconds: c_long,
}

/// `struct timeval`, on machines with 64 bits.
#[repr(C)]
pub struct TimeValue {
    seconds: i64,
    microseconds: c_long,
}

/// How many bytes a transfer of up to `length` may make, or the error that it fails with.
fn limit(call: &str, socket: c_int, length: usize) -> Result<usize, c_int> {
    match faults().fault(call, Some(socket)) {
        Some(Fault::Error(error)) => Err(error),
        Some(Fault::Short) => Ok(length.min((faults().draw() % MAX_SHORT_BYTES + 1) as usize)),
        _ => Ok(length),
    }
}

/// The error that a call fails with, if it has a fault.
fn error(call: &str, socket: Option<c_int>) -> Option<c_int> {
    match faults().fault(call, socket) {
        Some(Fault::Error(error)) => Some(error),
        _ => None,
    }
}

/// recv(2)
///
/// # Safety
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn recv(socket: c_int, buffer: *mut c_void, length: usize, flags: c_int) -> isize {
    let next = next!("recv", Receive);
    match limit("recv", socket, length) {
        Ok(length) => next(socket, buffer, length, flags),
        Err(error) => fail(error) as isize,
    }
}

/// send(2)
///
/// # Safety
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn send(socket: c_int, buffer: *const c_void, length: usize, flags: c_int) -> isize {
    let next = next!("send", Send);
    match limit("send", socket, length) {
        Ok(length) => next(socket, buffer, length, flags),
        Err(error) => fail(error) as isize,
    }
}

/// writev(2). A short one transfers a part of the first buffer that has any bytes; it counts as `send`.
///
/// # Safety
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn writev(descriptor: c_int, vectors: *const IoVector, count: c_int) -> isize {
    let next = next!("writev", WriteVector);
    let all = std::slice::from_raw_parts(vectors, usize::try_from(count).unwrap_or(0));
    let Some(first) = all.iter().find(|vector| vector.length > 0) else {
        return next(descriptor, vectors, count);
    };
    match limit("send", descriptor, usize::MAX) {
        Ok(usize::MAX) => next(descriptor, vectors, count),
        Ok(length) => {
            let part = IoVector { base: first.base, length: first.length.min(length) };
            next(descriptor, &part, 1)
        }
        Err(error) => fail(error) as isize,
    }
}

/// write(2)
///
/// # Safety
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn write(descriptor: c_int, buffer: *const c_void, length: usize) -> isize {
    let next = next!("write", Write);
    match limit("write", descriptor, length) {
        Ok(length) => next(descriptor, buffer, length),
        Err(error) => fail(error) as isize,
    }
}

/// accept4(2)
///
/// # Safety
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    socket: c_int,
    address: *mut c_void,
    length: *mut c_uint,
    flags: c_int,
) -> c_int {
    let next = next!("accept4", Accept);
    error("accept", Some(socket)).map_or_else(|| next(socket, address, length, flags), fail)
}

/// socket(2)
///
/// # Safety
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    let next = next!("socket", Socket);
    error("socket", None).map_or_else(|| next(domain, kind, protocol), fail)
}

/// connect(2)
///
/// # Safety
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn connect(socket: c_int, address: *const c_void, length: c_uint) -> c_int {
    let next = next!("connect", Connect);
    error("connect", Some(socket)).map_or_else(|| next(socket, address, length), fail)
}

/// bind(2)
///
/// # Safety
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn bind(socket: c_int, address: *const c_void, length: c_uint) -> c_int {
    let next = next!("bind", Connect);
    error("bind", None).map_or_else(|| next(socket, address, length), fail)
}

/// listen(2)
///
/// # Safety
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn listen(socket: c_int, backlog: c_int) -> c_int {
    let next = next!("listen", Listen);
    error("listen", None).map_or_else(|| next(socket, backlog), fail)
}

/// epoll_wait(2)
///
/// # Safety
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(poll: c_int, events: *mut c_void, count: c_int, timeout: c_int) -> c_int {
    let next = next!("epoll_wait", Wait);
    error("epoll_wait", None).map_or_else(|| next(poll, events, count, timeout), fail)
}

/// open(2), as the standard library calls it.
///
/// # Safety
/// As for the C library's function. It has a variable number of arguments, of which the third one is passed like a fixed one on
/// Linux.
#[no_mangle]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: c_uint) -> c_int {
    let next = next!("open64", Open);
    error("open", None).map_or_else(|| next(path, flags, mode), fail)
}

/// fsync(2)
///
/// # Safety
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn fsync(descriptor: c_int) -> c_int {
    let next = next!("fsync", Synchronise);
    error("fsync", None).map_or_else(|| next(descriptor), fail)
}

/// How many seconds the wall clock is off, or the error that reading it fails with.
fn wall_clock_offset() -> Result<i64, c_int> {
    match faults().fault("clock", None) {
        Some(Fault::Step(seconds)) => Ok(seconds),
        Some(Fault::Error(error)) => Err(error),
        _ => Ok(0),
    }
}

/// clock_gettime(2)
///
/// # Safety
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: c_int, time: *mut TimeSpec) -> c_int {
    let next = next!("clock_gettime", ClockTime);
    let result = next(clock, time);
    // Only the wall clock is asked of the rules, whose own times come from another one.
    if result != 0 || !WALL_CLOCKS.contains(&clock) {
        return result;
    }
    match wall_clock_offset() {
        Ok(seconds) => {
            (*time).seconds += seconds;
            result
        }
        Err(error) => fail(error),
    }
}

/// gettimeofday(2)
///
/// # Safety
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn gettimeofday(time: *mut TimeValue, zone: *mut c_void) -> c_int {
    let next = next!("gettimeofday", TimeOfDay);
    let result = next(time, zone);
    match wall_clock_offset() {
        Ok(seconds) if result == 0 => (*time).seconds += seconds,
        Ok(_) => {}
        Err(error) => return fail(error),
    }
    result
}

/// time(2)
///
/// # Safety
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn time(seconds: *mut i64) -> i64 {
    let next = next!("time", Seconds);
    let now = next(std::ptr::null_mut());
    match wall_clock_offset() {
        Ok(offset) => {
            if !seconds.is_null() {
                *seconds = now + offset;
            }
            now + offset
        }
        Err(error) => i64::from(fail(error)),
    }
}
