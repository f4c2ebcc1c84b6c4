//! Outcome and latency of writes and reads to boxes with several addresses of which the first fails. Takes minutes,
//! prints measurements, and fails if an invariant is violated:
//!
//! ```sh
//! cargo build --release && cargo bench -p trestlesill --bench addresses [-- writes reads]
//! ```

use std::time::Duration;
use testkit::process::{Folder, Instance};
use testkit::scripted::{unused_address, PATIENCE};
use testkit::world::{
    AttemptRecord, End, Entrance, Fault, ListenerFault, Load, Script, Target, World, WorldConfig,
};

const BOXES: usize = 10;
const PROXIES: usize = 2;

struct Setting {
    world: World,
    proxies: Vec<Instance>,
    _folder: Folder,
}

fn start(seed: u64, several_addresses: bool) -> Setting {
    let mut config = WorldConfig::new(seed, BOXES, PROXIES);
    for one in &mut config.boxes {
        one.cores = 4;
        if several_addresses {
            one.doors = vec![Entrance::Six, Entrance::Unix];
        }
    }
    let world = World::start(config);
    let folder = Folder::new("addresses").expect("a folder");
    let start = |i| {
        let program = testkit::program("trestlesill");
        let config = world.proxy_config(i, unused_address());
        let mut proxy = Instance::start(&program, &folder.0, &config, None).expect("started");
        proxy.ready(PATIENCE).expect("ready");
        proxy
    };
    let proxies = (0..PROXIES).map(start).collect();
    Setting { world, proxies, _folder: folder }
}

impl Setting {
    /// Runs a load and asserts the invariants on its record.
    fn play(&self, rate: f64, writes: f64, span: Duration) -> Vec<AttemptRecord> {
        let targets = self.proxies.iter().enumerate();
        let targets = targets.map(|(proxy, p)| Target::new(proxy, p.address)).collect();
        let mut load = Load::new(rate, targets);
        load.writes = writes;
        let load = self.world.load(load);
        std::thread::sleep(span);
        let record = load.finish();
        let effects = self.world.origin.effects();
        let took_no_effect = |k: &&String| !effects.contains_key(*k);
        let served = record.iter().filter(|a| a.end == End::Served);
        let missing_effects = served.filter_map(|a| a.write.as_ref()).filter(took_no_effect).count();
        // A rejection promises that nothing was done: a write with only rejected attempts must have no effect.
        let mut refused: std::collections::HashMap<&String, bool> = Default::default();
        for a in &record {
            let Some(k) = &a.write else { continue };
            *refused.entry(k).or_insert(true) &= a.end == End::Refused;
        }
        let rejected_with_effect =
            refused.iter().filter(|(k, all)| **all && effects.contains_key(**k)).count();
        assert_eq!((missing_effects, rejected_with_effect), (0, 0));
        assert_eq!(self.world.broken(&load, self.proxies.len(), &[]), []);
        let mut moved_writes = 0;
        for one in &self.world.boxes {
            let mut by = std::collections::HashMap::new();
            let writes = one.record().into_iter().filter(|s| s.write.is_some());
            moved_writes += writes.filter(|s| *by.entry(s.id.clone()).or_insert(s.door) != s.door).count();
        }
        assert_eq!(
            moved_writes, 0,
            "writes that may have arrived were retried over another address of their box"
        );
        record
    }

    /// Returns the open connections to all boxes, and how many were ever opened.
    fn connections(&self) -> (usize, usize) {
        let boxes = || self.world.boxes.iter();
        (boxes().map(|b| b.connections()).sum(), boxes().map(|b| b.opened()).sum())
    }
}

/// Returns the served fraction and the 50th, 99th and 99.9th percentile of the latency in milliseconds.
fn latency_summary(record: &[AttemptRecord]) -> (f64, [f64; 3]) {
    let served = record.iter().filter(|a| a.end == End::Served);
    let mut times: Vec<f64> = served.map(|a| (a.ended - a.sent).as_secs_f64() * 1e3).collect();
    times.sort_by(f64::total_cmp);
    let at = |part: f64| times[((times.len() as f64 * part) as usize).min(times.len() - 1)];
    (times.len() as f64 / record.len() as f64, [at(0.5), at(0.99), at(0.999)])
}

/// Measures writes while the first addresses of all boxes fail at random times drawn from the seed.
fn writes() {
    println!("writes: {BOXES} boxes with three addresses, {PROXIES} proxies, 800 writes a second for 26 s");
    for (seed, manner) in [
        (1, ListenerFault::Deaf),
        (2, ListenerFault::Mute),
        (3, ListenerFault::Stuck),
        (4, ListenerFault::Resets),
    ] {
        let setting = start(seed, true);
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut script = Script::new();
        for i in 0..BOXES {
            for _ in 0..4 {
                let at = Duration::from_millis(rng.u64(500..22_000));
                let lasts = Duration::from_millis(rng.u64(200..3_000));
                script = script.then(at, lasts, Fault::Door(i, rng.usize(..2), manner));
            }
        }
        // One address fails permanently.
        script = script.permanently(Duration::from_millis(500), Fault::Door(0, 0, manner));
        setting.world.play(script);
        let record = setting.play(800.0, 1.0, Duration::from_secs(26));
        let asked: std::collections::HashSet<_> = record.iter().filter_map(|a| a.write.as_ref()).collect();
        let (share, [median, slow, slowest]) = latency_summary(&record);
        println!(
            "  {manner:?}, seed {seed}: {} writes, {} tries; served {share:.4} of the tries; {median:.0} ms, 1% \
             {slow:.0} ms, 0.1% {slowest:.0} ms; none lost, doubled, or moved",
            asked.len(),
            record.len()
        );
    }
}

/// Measures reads with the first addresses dead from the start, with all healthy, and with one address per box.
fn reads() {
    println!("reads: {BOXES} boxes, {PROXIES} proxies, 400 reads a second for 10 s; first addresses of half of them");
    for run in 0..3 {
        for (name, several_addresses, manner) in [
            ("one address", false, None),
            ("three, all well", true, None),
            ("three, deaf", true, Some(ListenerFault::Deaf)),
            ("three, resetting", true, Some(ListenerFault::Resets)),
        ] {
            let setting = start(100 + run, several_addresses);
            if let Some(manner) = manner {
                (0..BOXES).step_by(2).for_each(|i| setting.world.boxes[i].doors[0].behaves(manner));
            }
            let mut record = setting.play(400.0, 0.0, Duration::from_secs(10));
            record.sort_by_key(|a| a.sent);
            let (share, [median, slow, slowest]) = latency_summary(&record);
            let (open, opened) = setting.connections();
            let ms = |i: usize| (record[i].ended - record[i].sent).as_secs_f64() * 1e3;
            println!(
                "  run {run}, {name}: served {share:.4}; {median:.1} ms, 1% {slow:.0} ms, 0.1% {slowest:.0} ms; the \
                 first {:.0} ms, the hundredth {:.0} ms; {:.4} connections opened a request, {open} at the end",
                ms(0),
                ms(99),
                opened as f64 / record.len() as f64
            );
        }
    }
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).filter(|a| !a.starts_with("--")).collect();
    let all: [(&str, fn()); 2] = [("writes", writes), ("reads", reads)];
    for (name, run) in all {
        if args.is_empty() || args.iter().any(|a| a == name) {
            run();
        }
    }
}
