//! Case: clients that take seconds to read and write long values, and the memory limit of the proxy.
mod common;
use common::*;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::FromRawFd;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// The limits that the configuration tells.
const MEMORY_MB: u64 = 32;
const SOCKETS: u64 = 512;
/// Clients that read and that write a long value: together under a third of the descriptors.
const READERS: u64 = 166;
const WRITERS: u64 = 2;
/// The longest value that the pages name.
const LONG: usize = 4 << 20;
/// A reader takes so much at a time, and a writer gives so much, with a pause after each: about 8 s and 5 s in all.
const READ_PART: usize = 16 << 10;
const READ_PAUSE_MS: u64 = 30;
const WRITE_PART: usize = 200 << 10;
const WRITE_PAUSE_MS: u64 = 250;

/// A connection with the segments of an Ethernet and a small receive buffer, so that what the kernel holds is little.
fn connect(to: SocketAddr) -> TcpStream {
    extern "C" {
        fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
        fn connect(fd: i32, address: *const u8, length: u32) -> i32;
    }
    let SocketAddr::V4(v4) = to else { panic!("an IPv4 address") };
    let mut address = [0u8; 16];
    address[..2].copy_from_slice(&2u16.to_ne_bytes());
    address[2..4].copy_from_slice(&v4.port().to_be_bytes());
    address[4..8].copy_from_slice(&v4.ip().octets());
    unsafe {
        let fd = socket(2, 1, 0);
        set_option(fd, 6, 2, &[1_448]); // TCP_MAXSEG
        set_option(fd, 1, 8, &[16_384]); // SO_RCVBUF
        assert_eq!(connect(fd, address.as_ptr(), 16), 0, "the proxy accepts");
        TcpStream::from_raw_fd(fd)
    }
}

/// The memory that a process holds now.
fn resident_kb(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find(|l| l.starts_with("VmRSS:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|v| v.parse().ok()).unwrap_or(0)
}

fn main() {
    let record = Record::new();
    // 41 sound cache nodes: 20 ms of work, then the whole answer, as fast as it is taken.
    let nodes: Vec<_> = (0..41)
        .map(|_| {
            node(move |stream| {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                while let Some(request) = request(&mut reader) {
                    sleep_ms(20);
                    let size = if request.write { 40 } else { LONG };
                    let value: Vec<u8> =
                        made_for(&request.key, &request.id).bytes().cycle().take(size).collect();
                    if (&stream).write_all(&served(&value, "hit")).is_err() {
                        return;
                    }
                }
            })
        })
        .collect();
    let settings = Settings { memory_mb: MEMORY_MB, sockets: SOCKETS, proxies: 5, ..Settings::default() };
    let (proxy, _discovery) = Proxy::start(&settings, &nodes);
    let (pid, address) = (proxy.child.id(), proxy.address);
    record.add(format!("the proxy holds {} KB before", resident_kb(pid)));
    // The clients that have a whole answer, and those whose connection ended before.
    let (whole, cut) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let mut clients = Vec::new();
    for n in 0..READERS {
        let (whole, cut) = (whole.clone(), cut.clone());
        clients.push(std::thread::spawn(move || {
            let stream = connect(address);
            if (&stream).write_all(&get(&pack(n), &new_id(), "pack-lookup", 750)).is_err() {
                return;
            }
            let (mut got, mut buffer) = (0, vec![0; READ_PART]);
            loop {
                match (&stream).read(&mut buffer) {
                    // A refusal or a failure is a whole answer too.
                    Ok(n) if got == 0 && buffer[..n].starts_with(b"-") => got = LONG,
                    Ok(n) if n > 0 => got += n,
                    _ => break,
                }
                if got >= LONG {
                    whole.fetch_add(1, Ordering::Relaxed);
                    return;
                }
                if trouble() {
                    sleep_ms(READ_PAUSE_MS);
                }
            }
            cut.fetch_add(1, Ordering::Relaxed);
        }));
        sleep_ms(5);
        if n % (READERS / WRITERS) == 0 {
            clients.push(std::thread::spawn(move || {
                let (k, value) = (new_id(), vec![b'w'; LONG]);
                let bytes = set(&pack(10_000 + n), &new_id(), "swap-record", 1_000, &k, &value);
                let stream = connect(address);
                for part in bytes.chunks(WRITE_PART) {
                    if (&stream).write_all(part).is_err() {
                        return;
                    }
                    if trouble() {
                        sleep_ms(WRITE_PAUSE_MS);
                    }
                }
                let _ = answer(&mut BufReader::new(&stream));
            }));
        }
    }
    let (mut peak, mut broken, begin) = (0, Vec::new(), record.ms());
    while record.ms() < begin + 12_000.0 && !clients.iter().all(|c| c.is_finished()) {
        let now = resident_kb(pid);
        if now > peak {
            peak = now;
            record.add(format!("the proxy holds {now} KB"));
        }
        if now > MEMORY_MB << 10 {
            // Over its memory limit the platform kills the proxy.
            signal(pid, SIGKILL);
            record.add("the platform kills the proxy");
            broken.push(format!("the proxy holds {now} KB of {} KB and is killed", MEMORY_MB << 10));
            // The readers take what the kernel still holds for them.
            sleep_ms(1_500);
            break;
        }
        sleep_ms(5);
    }
    record.add(format!(
        "peak {peak} KB; of {READERS} readers {} have a whole answer, {} a part of one",
        whole.load(Ordering::Relaxed),
        cut.load(Ordering::Relaxed)
    ));
    finish(&record, vec![proxy], Ok(broken))
}
