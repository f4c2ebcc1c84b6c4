//! Plans of soak runs: an installation, and the troubles that are played together. A seed gives the same plan; a plan can be
//! kept as a file, edited and played again.

use fastrand::Rng;
use serde::{Deserialize, Serialize};

/// What is played in one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Seed of all that is drawn while it is played.
    pub seed: u64,
    /// How long the load lasts.
    pub seconds: u64,
    /// The number of proxies.
    pub proxies: usize,
    /// The number of cache nodes.
    pub nodes: usize,
    /// Requests a second of usual clients.
    pub rate: f64,
    /// The memory limit of a proxy, in MB.
    pub memory_mb: u64,
    /// The descriptors that a proxy may have.
    pub descriptors: u64,
    /// Attempts may be cancelled.
    pub cancelling: bool,
    /// How long the settings say that nodes recognise repeats of a keyed write, in milliseconds: those of the stand-ins do so for
    /// one second.
    pub window_ms: u64,
    /// The troubles.
    pub troubles: Vec<Trouble>,
}

/// What one crowd of clients does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CrowdBehaviour {
    /// Connect and send nothing.
    Idle,
    /// Stop within the arguments before a value.
    StopInHead,
    /// Stop within a long value.
    StopInValue,
    /// Send reads and take no answer.
    ReadNothing,
}

/// What a cache node, the network or discovery does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NodeTrouble {
    /// The node accepts requests and answers nothing.
    Silent,
    /// The node's process is down and starts again.
    Down,
    /// This share of replies is a reset.
    Resets(f64),
    /// This share of replies is spoilt.
    Spoils(f64),
    /// The node drains.
    Drains,
    /// The node's zone is partitioned from the others.
    Cut,
    /// Discovery is down.
    NoDiscovery,
    /// Two of three answers of discovery that tell of a change are written and lost.
    LostLists,
}

/// The signals of a planned restart, one after the other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SignalSeries {
    /// SIGTERM.
    #[default]
    Term,
    /// SIGHUP, then SIGTERM.
    HupTerm,
    /// SIGTERM twice.
    TermTerm,
    /// SIGTERM, then SIGHUP.
    TermHup,
    /// SIGHUP twice, then SIGTERM.
    HupHupTerm,
}

impl SignalSeries {
    /// All series.
    const ALL: [SignalSeries; 5] = [
        SignalSeries::Term,
        SignalSeries::HupTerm,
        SignalSeries::TermTerm,
        SignalSeries::TermHup,
        SignalSeries::HupHupTerm,
    ];

    /// The signals, as options of `kill`.
    pub fn signals(self) -> &'static [&'static str] {
        match self {
            SignalSeries::Term => &["-TERM"],
            SignalSeries::HupTerm => &["-HUP", "-TERM"],
            SignalSeries::TermTerm => &["-TERM", "-TERM"],
            SignalSeries::TermHup => &["-TERM", "-HUP"],
            SignalSeries::HupHupTerm => &["-HUP", "-HUP", "-TERM"],
        }
    }
}

/// One trouble. Times are milliseconds since the start of the load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Trouble {
    /// A trouble of a cache node, of its zone or of discovery.
    Node {
        /// When it begins.
        at_ms: u64,
        /// How long it lasts.
        lasts_ms: u64,
        /// The number of the node.
        node: usize,
        /// What it is.
        trouble: NodeTrouble,
    },
    /// Clients that connect at once to one proxy and stay.
    Crowd {
        /// When they connect.
        at_ms: u64,
        /// The number of the proxy.
        proxy: usize,
        /// How many they are.
        clients: usize,
        /// What they do.
        behaviour: CrowdBehaviour,
    },
    /// Clients that send a request, and bytes behind it, and close their connection soon after.
    Leavers {
        /// How many leave in a second.
        rate: f64,
        /// How many bytes of other commands they send behind the request.
        behind_bytes: usize,
    },
    /// Clients that reset their connection with a write open, and send its id again over another one.
    RepeatedIds {
        /// How many do so in a second.
        rate: f64,
    },
    /// Faults of the system calls of all proxies, as rules of the package `syscall-faults`.
    SystemCalls {
        /// The rules.
        rules: String,
    },
    /// A planned restart: SIGTERM, and SIGKILL at the earliest moment that the platform names. Clients open new connections for 0.3 s
    /// and use open ones until the end.
    Restart {
        /// When SIGTERM comes.
        at_ms: u64,
        /// The number of the proxy.
        proxy: usize,
        /// The signals that come.
        #[serde(default)]
        signals: SignalSeries,
    },
    /// A proxy is told of another discovery: a new configuration, and SIGHUP. The one before resets connections from then on.
    Move {
        /// When SIGHUP comes.
        at_ms: u64,
        /// The number of the proxy.
        proxy: usize,
    },
    /// SIGKILL, and a new process.
    Kill {
        /// When it comes.
        at_ms: u64,
        /// The number of the proxy.
        proxy: usize,
    },
}

impl Trouble {
    /// Its name, by which the kinds to be played are chosen.
    pub fn name(&self) -> &'static str {
        match self {
            Trouble::Node { .. } => "node",
            Trouble::Crowd { .. } => "crowd",
            Trouble::Leavers { .. } => "leavers",
            Trouble::RepeatedIds { .. } => "repeated-ids",
            Trouble::SystemCalls { .. } => "system-calls",
            Trouble::Restart { .. } => "restart",
            Trouble::Move { .. } => "move",
            Trouble::Kill { .. } => "kill",
        }
    }

    /// The names of all kinds.
    pub const NAMES: [&'static str; 8] =
        ["node", "crowd", "leavers", "repeated-ids", "system-calls", "restart", "move", "kill"];
}

/// Rules of faults of system calls, one of which is drawn. `DISCOVERY` stands for the port of a proxy's discovery.
const SYSTEM_CALL_RULES: [&str; 10] = [
    "recv short 0.3; send short 0.3",
    "socket ENOBUFS 0.1 after=500; connect EADDRNOTAVAIL 0.1",
    "send ENOBUFS 0.02; recv ENOMEM 0.02",
    "accept ENFILE 0.2; accept ECONNABORTED 0.1; epoll_wait EINTR 0.2",
    "clock step 3600 after=2000; recv short 0.1",
    "clock step -3600 after=3000; recv ETIMEDOUT 0.3 port=DISCOVERY",
    "clock step 5 after=1000; clock step -5 after=4000; send EINTR 1.0 family=unix after=500",
    "recv ECONNRESET 0.5 port=DISCOVERY; connect EADDRNOTAVAIL 0.1 after=500",
    "send ENOBUFS 0.05; send ENOBUFS 1.0 family=unix after=500; clock step -3600",
    "recv short 0.1; send short 0.1; socket ENFILE 0.05 after=500; send EINTR 0.05",
];

impl Plan {
    /// Draws a plan. Only troubles whose names are in `only` are part of it, if that is not empty.
    pub fn draw(seed: u64, seconds: u64, only: &[String]) -> Plan {
        let mut random = Rng::with_seed(seed);
        let mut plan = Plan {
            seed,
            seconds,
            proxies: random.usize(1..=3),
            nodes: random.usize(4..=18),
            rate: 60.0 + 140.0 * random.f64(),
            memory_mb: [16, 32, 48, 96, 192][random.usize(..5)],
            descriptors: [256, 384, 512, 1_024][random.usize(..4)],
            cancelling: random.f64() < 0.8,
            window_ms: [300, 600, 1_000][random.usize(..3)],
            troubles: Vec::new(),
        };
        let count = random.usize(3..=8);
        while plan.troubles.len() < count {
            let trouble = plan.draw_trouble(&mut random);
            if only.is_empty() || only.iter().any(|name| name == trouble.name()) {
                plan.troubles.push(trouble);
            }
        }
        plan
    }

    fn draw_trouble(&self, random: &mut Rng) -> Trouble {
        let span_ms = self.seconds * 1_000;
        let at_ms = random.u64(..span_ms * 6 / 10 + 1);
        let proxy = random.usize(..self.proxies);
        match random.u8(..13) {
            0..=4 => Trouble::Node {
                at_ms,
                lasts_ms: span_ms / 10 + random.u64(..span_ms / 4 + 1),
                node: random.usize(..self.nodes),
                trouble: match random.u8(..8) {
                    0 => NodeTrouble::Silent,
                    1 => NodeTrouble::Down,
                    2 => NodeTrouble::Resets(0.1 + 0.4 * random.f64()),
                    3 => NodeTrouble::Spoils(0.1 + 0.4 * random.f64()),
                    4 => NodeTrouble::Drains,
                    5 => NodeTrouble::Cut,
                    6 => NodeTrouble::LostLists,
                    _ => NodeTrouble::NoDiscovery,
                },
            },
            5 | 6 => Trouble::Crowd {
                at_ms,
                proxy,
                clients: self.descriptors as usize * random.usize(2..=7) / 10,
                behaviour: [
                    CrowdBehaviour::Idle,
                    CrowdBehaviour::StopInHead,
                    CrowdBehaviour::StopInValue,
                    CrowdBehaviour::ReadNothing,
                ][random.usize(..4)],
            },
            7 => Trouble::Leavers {
                rate: 2.0 + 10.0 * random.f64(),
                behind_bytes: [0, 1_000, 300_000, 3_000_000][random.usize(..4)],
            },
            8 => Trouble::RepeatedIds { rate: 2.0 + 10.0 * random.f64() },
            9 => Trouble::SystemCalls { rules: random.choice(SYSTEM_CALL_RULES).unwrap_or_default().into() },
            10 => {
                let signals = random.choice(SignalSeries::ALL).unwrap_or_default();
                Trouble::Restart { at_ms, proxy, signals }
            }
            11 => Trouble::Move { at_ms, proxy },
            _ => Trouble::Kill { at_ms, proxy },
        }
    }
}
