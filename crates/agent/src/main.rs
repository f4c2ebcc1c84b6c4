//! trestle-agent: runs the proxies of a machine.

use clap::Parser;
use rustix::fs::{flock, FlockOperation, Mode};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use tokio::net::{TcpListener, UnixListener};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, watch};
use trestle_agent::api::Api;
use trestle_agent::host::{Host, Message};

/// Runs trestlesill proxies, and keeps them as operators want them. It ends on SIGTERM or SIGINT; the proxies run
/// on, and the next agent on the same folder finds them.
#[derive(Debug, Parser)]
#[command(name = "trestle-agent", version, about)]
struct Options {
    /// The agent's folder: journal, configurations, sockets, logs. One agent a folder.
    #[arg(long)]
    dir: PathBuf,
    /// The proxy's program; by default the one beside this one.
    #[arg(long)]
    program: Option<PathBuf>,
    /// The API's socket; by default `api.sock` in the folder.
    #[arg(long)]
    socket: Option<PathBuf>,
    /// Users that may use the API's socket besides the agent's own.
    #[arg(long)]
    allow_uid: Vec<u32>,
    /// A loopback address for the API as well; it demands the token.
    #[arg(long, requires = "token_file")]
    listen: Option<SocketAddr>,
    /// The file that holds the token: one line of 16 to 256 printable characters.
    #[arg(long)]
    token_file: Option<PathBuf>,
}

type Done<T> = Result<T, Box<dyn std::error::Error>>;

fn token(path: &Path) -> Done<Arc<str>> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let token = text.trim_end_matches(['\n', '\r']);
    if !(16..=256).contains(&token.len()) || !token.bytes().all(|b| b.is_ascii_graphic()) {
        return Err(format!("{}: a token has 16 to 256 printable characters", path.display()).into());
    }
    Ok(token.into())
}

fn bind(path: &Path) -> Done<UnixListener> {
    // The folder's lock says that no other agent has it.
    let _ = std::fs::remove_file(path);
    let mask = rustix::process::umask(Mode::from_raw_mode(0o177));
    let bound = UnixListener::bind(path);
    rustix::process::umask(mask);
    Ok(bound.map_err(|e| format!("{}: {e}", path.display()))?)
}

async fn run(options: Options) -> Done<()> {
    std::fs::create_dir_all(&options.dir).map_err(|e| format!("{}: {e}", options.dir.display()))?;
    let dir = options.dir.canonicalize()?;
    let lock = std::fs::File::create(dir.join("lock"))?;
    flock(&lock, FlockOperation::NonBlockingLockExclusive)
        .map_err(|_| format!("{}: another agent has this folder", dir.display()))?;
    let program = match options.program {
        Some(program) => program.canonicalize().map_err(|e| format!("{}: {e}", program.display()))?,
        None => std::env::current_exe()?.with_file_name("trestlesill"),
    };
    let listener = bind(&options.socket.unwrap_or_else(|| dir.join("api.sock")))?;
    let tcp = match (options.listen, &options.token_file) {
        (Some(address), Some(file)) => {
            if !address.ip().is_loopback() {
                return Err(format!("--listen {address}: only a loopback address is allowed").into());
            }
            Some((TcpListener::bind(address).await?, token(file)?))
        }
        _ => None,
    };
    let (messages, inbox) = mpsc::unbounded_channel();
    let (changes, changed) = watch::channel(0);
    let host = Host::open(dir, program, messages.clone(), changes)?;
    let api = Api { messages: messages.clone(), changed };
    let mut uids = options.allow_uid;
    uids.push(rustix::process::geteuid().as_raw());
    tokio::spawn(api.clone().unix(listener, uids));
    if let Some((listener, token)) = tcp {
        println!("api {}", listener.local_addr()?);
        tokio::spawn(api.tcp(listener, token));
    }
    let (mut terminate, mut interrupt) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        let _ = messages.send(Message::Stop);
    });
    println!("ready");
    Ok(host.run(inbox).await?)
}

fn main() -> ExitCode {
    let options = Options::parse();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let done = match runtime {
        Ok(runtime) => runtime.block_on(run(options)),
        Err(e) => Err(e.into()),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("trestle-agent: {e}");
            ExitCode::FAILURE
        }
    }
}
