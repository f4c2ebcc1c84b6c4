//! trestle-agent: runs the trestlesill proxies of a machine.

use clap::Parser;
use rustix::fs::{flock, FlockOperation, Mode};
use signal_hook::consts::{SIGINT, SIGTERM};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, UnixListener};
use tokio::sync::{mpsc, watch};
use trestle_agent::api::Api;
use trestle_agent::host::{Host, Message};

/// How often the agent looks whether a signal has come. Its handler sets a flag only: a write that wakes the agent may fail.
const SIGNAL_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Runs trestlesill proxies and keeps them in the desired state. Stops on SIGTERM or SIGINT; the proxies keep running
/// and are adopted by the next agent on the same folder.
#[derive(Debug, Parser)]
#[command(name = "trestle-agent", version, about)]
struct Options {
    /// Folder of the agent for its journal, configurations, sockets and logs; used by one agent at a time
    #[arg(long)]
    dir: PathBuf,
    /// Program of the proxy [default: trestlesill in the folder of this program]
    #[arg(long)]
    program: Option<PathBuf>,
    /// Unix-domain socket of the API [default: api.sock in the agent's folder]
    #[arg(long)]
    socket: Option<PathBuf>,
    /// Id of a user who may use the API's socket besides the agent's own user; can be repeated
    #[arg(long)]
    allow_uid: Vec<u32>,
    /// Loopback address on which the API also listens; clients must send the token
    #[arg(long, requires = "token_file")]
    listen: Option<SocketAddr>,
    /// File that contains the token: one line of 16 to 256 printable characters
    #[arg(long)]
    token_file: Option<PathBuf>,
}

type RunResult<T> = Result<T, Box<dyn std::error::Error>>;

fn read_token(path: &Path) -> RunResult<Arc<str>> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let token = text.trim_end_matches(['\n', '\r']);
    if !(16..=256).contains(&token.len()) || !token.bytes().all(|b| b.is_ascii_graphic()) {
        return Err(format!("{}: the token must have 16 to 256 printable characters", path.display()).into());
    }
    Ok(token.into())
}

/// Binds a Unix-domain socket that only its owner can open.
fn bind_unix_socket(path: &Path) -> RunResult<UnixListener> {
    // The lock on the folder ensures that no other agent uses the socket, so an existing one is left from before.
    let _ = std::fs::remove_file(path);
    let previous_mask = rustix::process::umask(Mode::from_raw_mode(0o177));
    let bound = UnixListener::bind(path);
    rustix::process::umask(previous_mask);
    Ok(bound.map_err(|e| format!("{}: {e}", path.display()))?)
}

/// Returns a flag that SIGTERM and SIGINT set from now on.
fn stop_flag() -> std::io::Result<Arc<AtomicBool>> {
    let stop_requested = Arc::new(AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        signal_hook::flag::register(signal, stop_requested.clone())?;
    }
    Ok(stop_requested)
}

async fn run(options: Options) -> RunResult<()> {
    let stop_requested = stop_flag()?;
    std::fs::create_dir_all(&options.dir).map_err(|e| format!("{}: {e}", options.dir.display()))?;
    let dir = options.dir.canonicalize()?;
    let lock = std::fs::File::create(dir.join("lock"))?;
    flock(&lock, FlockOperation::NonBlockingLockExclusive)
        .map_err(|_| format!("{}: another agent has this folder", dir.display()))?;
    let program = match options.program {
        Some(program) => program.canonicalize().map_err(|e| format!("{}: {e}", program.display()))?,
        None => std::env::current_exe()?.with_file_name("trestlesill"),
    };
    let listener = bind_unix_socket(&options.socket.unwrap_or_else(|| dir.join("api.sock")))?;
    let tcp = match (options.listen, &options.token_file) {
        (Some(address), Some(file)) => {
            if !address.ip().is_loopback() {
                return Err(format!("--listen {address}: only a loopback address is allowed").into());
            }
            Some((TcpListener::bind(address).await?, read_token(file)?))
        }
        _ => None,
    };
    let (messages, inbox) = mpsc::unbounded_channel();
    let (changes, changed) = watch::channel(0);
    let host = Host::open(dir, program, messages.clone(), changes)?;
    let api = Api { messages: messages.clone(), changed };
    let mut uids = options.allow_uid;
    uids.push(rustix::process::geteuid().as_raw());
    tokio::spawn(api.clone().serve_unix(listener, uids));
    if let Some((listener, token)) = tcp {
        println!("api {}", listener.local_addr()?);
        tokio::spawn(api.serve_tcp(listener, token));
    }
    tokio::spawn(async move {
        while !stop_requested.load(Ordering::Acquire) {
            tokio::time::sleep(SIGNAL_CHECK_INTERVAL).await;
        }
        let _ = messages.send(Message::Stop);
    });
    println!("ready");
    Ok(host.run(inbox).await?)
}

fn main() -> ExitCode {
    let options = Options::parse();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(run(options)),
        Err(e) => Err(e.into()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("trestle-agent: {e}");
            ExitCode::FAILURE
        }
    }
}
