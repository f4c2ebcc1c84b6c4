//! trestlectl: starts, steers and inspects fleets of trestlesill proxies.

mod client;
mod dev;
mod file;
mod run;
mod shadow;

use clap::{CommandFactory, Parser, Subcommand};
use client::{Address, Agent, Failure};
use run::{Exit, Voice};
use serde_json::{json, Value};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Starts, steers and inspects fleets of trestlesill proxies.
#[derive(Debug, Parser)]
#[command(
    name = "trestlectl",
    version,
    after_help = "Exit codes: 0 done, 1 failed, 2 usage, 3 partly done or unknown."
)]
struct Cli {
    /// An agent: a socket's path, unix:PATH or http://ADDRESS:PORT. May be given more than once.
    #[arg(
        long,
        global = true,
        env = "TRESTLE_AGENT",
        value_delimiter = ',',
        default_value = "/run/trestle-agent/api.sock"
    )]
    agent: Vec<Address>,
    /// The file with the token that agents want over TCP.
    #[arg(long, global = true, env = "TRESTLE_TOKEN_FILE")]
    token_file: Option<PathBuf>,
    /// Print JSON, one object a line.
    #[arg(long, global = true)]
    json: bool,
    /// How many seconds to wait until it is done; 0 only gives the command.
    #[arg(long, global = true, default_value_t = 120)]
    wait: u64,
    /// Do it though nothing would be left that serves.
    #[arg(long, global = true)]
    force: bool,
    /// The generation that this was decided on; by default the one in force now.
    #[arg(long, global = true)]
    base: Option<u64>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, clap::Args)]
struct Names {
    /// Instances.
    names: Vec<String>,
    /// All of them.
    #[arg(long, conflicts_with = "names", required_unless_present = "names")]
    all: bool,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run instances.
    Up(Names),
    /// End instances, after what they have taken is answered.
    Down(Names),
    /// Tell the state of the fleet.
    Status,
    /// Tell all of an instance, with the boxes as it sees them.
    Inspect {
        /// The instance.
        name: String,
    },
    /// Make the fleet what a file says.
    Apply {
        /// A fleet's file.
        file: PathBuf,
        /// Only show the difference.
        #[arg(long)]
        dry_run: bool,
    },
    /// Have instances take nothing new.
    Drain(Names),
    /// Have drained instances serve again.
    Undrain(Names),
    /// Have no instance send these boxes anything new.
    DrainBox {
        /// Boxes, by their names in discovery.
        #[arg(required = true)]
        boxes: Vec<String>,
    },
    /// Let discovery decide about these boxes again.
    UndrainBox {
        /// Boxes.
        #[arg(required = true)]
        boxes: Vec<String>,
    },
    /// Look at the rollout under way, or steer it.
    Rollout {
        #[command(subcommand)]
        what: Rollout,
    },
    /// Restart instances one after another, within the fleet's policy.
    Restart {
        /// Never more at once than the policy allows. There is no other way.
        #[arg(long, required = true)]
        rolling: bool,
        /// Instances; all of them where none is named.
        names: Vec<String>,
    },
    /// Copy some reads to boxes that are not in service yet, and compare.
    Shadow {
        #[command(subcommand)]
        what: shadow::Command,
    },
    /// Tell how an operation stands.
    Operation {
        /// Its id.
        id: String,
    },
    /// Tell of changes until it is ended.
    Watch,
    /// Check a fleet's file, an operator's file, or a proxy's configuration (.json).
    Check {
        /// Files.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Hash a password for the operator's file, read as a line from standard input.
    Password {
        /// Make one by chance instead, and print it first.
        #[arg(long)]
        generate: bool,
    },
    /// Print completions for a shell.
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
    /// Run proxies on this machine before stand-in boxes and a discovery, until SIGINT or SIGTERM.
    Dev(dev::Options),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Subcommand)]
enum Rollout {
    /// How it stands.
    Status,
    /// Begin no further instance.
    Pause,
    /// Go on; what failed is tried again.
    Resume,
    /// End it, and take back what it changed.
    Abort,
}

fn check(files: &[PathBuf], voice: Voice) -> Exit {
    let mut exit = Exit::Done;
    for path in files {
        match file::check(path) {
            Ok(kind) => voice.say(&json!({"file": path, "kind": kind, "faults": []}), || {
                format!("{}: {kind}, good", path.display())
            }),
            Err(faults) => {
                if voice.json {
                    voice.say(&json!({"file": path, "faults": faults}), String::new);
                }
                faults.iter().for_each(|f| eprintln!("trestlectl: {f}"));
                exit = Exit::Failed;
            }
        }
    }
    exit
}

/// Runs something at all agents at once.
async fn everywhere<F: std::future::Future<Output = Exit> + 'static>(
    agents: &[Agent],
    one: impl Fn(Agent) -> F,
) -> Exit {
    let local = tokio::task::LocalSet::new();
    let tasks: Vec<_> = agents.iter().map(|a| local.spawn_local(one(a.clone()))).collect();
    local.await;
    let mut exits = Vec::new();
    for task in tasks {
        exits.push(task.await.unwrap_or(Exit::Failed));
    }
    run::all(exits)
}

/// Gives each agent the command for those of the named instances that it has.
async fn at_owners(agents: &[Agent], named: &Names, verb: &str, cli: &Cli, voice: Voice) -> Exit {
    // Either names or `--all`: without names they are all.
    let owned = run::owners(agents, &named.names, voice).await;
    if !owned.missing.is_empty() {
        owned.complain();
        return Exit::Failed;
    }
    let (force, base) = (cli.force, cli.base);
    let mut exits = Vec::new();
    for (agent, own) in &owned.at {
        exits.push(run::give(agent, &json!({ verb: own }), force, base, voice).await);
    }
    if owned.unreached {
        exits.push(Exit::Failed);
    }
    run::all(exits)
}

async fn execute(cli: &Cli, agents: &[Agent], voice: Voice) -> Exit {
    let (force, base) = (cli.force, cli.base);
    let give = |command: Value| async move {
        everywhere(agents, |agent| {
            let command = command.clone();
            async move { run::give(&agent, &command, force, base, voice).await }
        })
        .await
    };
    match &cli.command {
        Command::Up(n) => at_owners(agents, n, "up", cli, voice).await,
        Command::Down(n) => at_owners(agents, n, "down", cli, voice).await,
        Command::Drain(n) => at_owners(agents, n, "drain", cli, voice).await,
        Command::Undrain(n) => at_owners(agents, n, "undrain", cli, voice).await,
        Command::DrainBox { boxes } => give(json!({"drain-boxes": boxes})).await,
        Command::UndrainBox { boxes } => give(json!({"undrain-boxes": boxes})).await,
        Command::Restart { names, .. } if names.is_empty() => give(json!({"restart": []})).await,
        Command::Restart { names, .. } => {
            let named = Names { names: names.clone(), all: false };
            at_owners(agents, &named, "restart", cli, voice).await
        }
        Command::Rollout { what } => match what {
            Rollout::Status => {
                everywhere(agents, |a| async move { run::status(&a, Some("rollout"), voice).await }).await
            }
            Rollout::Pause => give(json!("pause")).await,
            Rollout::Resume => give(json!("resume")).await,
            Rollout::Abort => give(json!("abort")).await,
        },
        Command::Status => everywhere(agents, |a| async move { run::status(&a, None, voice).await }).await,
        Command::Watch => everywhere(agents, |a| async move { run::watch(&a, voice).await }).await,
        Command::Inspect { name } => {
            // The agent that has it.
            for agent in agents {
                if run::names(agent).await.is_ok_and(|known| known.contains(name)) {
                    return run::inspect(agent, name, voice).await;
                }
            }
            eprintln!("trestlectl: no agent that answers has {name}; see: trestlectl status");
            Exit::Failed
        }
        Command::Operation { id } => {
            for agent in agents {
                let known = agent.ask(hyper::Method::GET, &format!("/v1/operations/{id}"), None).await;
                if !matches!(known, Err(Failure::Refused(404, _))) {
                    return run::follow(agent, id, Instant::now(), Voice { wait: Duration::ZERO, ..voice })
                        .await;
                }
            }
            eprintln!("trestlectl: no agent knows operation {id}, or it is long over");
            Exit::Failed
        }
        Command::Apply { file, dry_run } => {
            let [agent] = agents else {
                eprintln!("trestlectl: a fleet's file is for one agent; name it by --agent");
                return Exit::Failed;
            };
            match file::load(file) {
                Ok(desired) => {
                    let command = json!({ "apply": desired });
                    if *dry_run {
                        run::dry_run(agent, &command, force, voice).await
                    } else {
                        run::give(agent, &command, force, base, voice).await
                    }
                }
                Err(faults) => {
                    faults.iter().for_each(|f| eprintln!("trestlectl: {f}"));
                    Exit::Failed
                }
            }
        }
        Command::Shadow { what } => shadow::execute(what, agents, force, voice).await,
        Command::Check { files } => check(files, voice),
        Command::Completions { .. } | Command::Dev(_) | Command::Password { .. } => Exit::Done,
    }
}

/// Prints a password as the operator's file has it.
fn password(generate: bool, json: bool) -> Result<(), Box<dyn std::error::Error>> {
    let mut chance = [0; 24 + session::SALT_BYTES];
    getrandom::fill(&mut chance)?;
    let (secret, salt) = chance.split_at(24);
    let mut plain = hex::encode(secret);
    if !generate {
        plain.clear();
        std::io::stdin().read_line(&mut plain)?;
        plain.truncate(plain.trim_end_matches(['\r', '\n']).len());
    }
    if plain.is_empty() || plain.len() > session::MAX_PASSWORD_BYTES {
        return Err(format!(
            "a password has 1 to {} bytes; this has {}",
            session::MAX_PASSWORD_BYTES,
            plain.len()
        )
        .into());
    }
    let hashed = session::PasswordHash::new(plain.as_bytes(), salt.try_into()?).to_string();
    match (json, generate) {
        (true, true) => println!("{}", json!({"plain": plain, "password": hashed})),
        (true, false) => println!("{}", json!({"password": hashed})),
        (false, true) => println!("{plain}\n{hashed}"),
        (false, false) => println!("{hashed}"),
    }
    Ok(())
}

fn begin(cli: &Cli) -> Result<Exit, Box<dyn std::error::Error>> {
    match &cli.command {
        Command::Dev(options) => return dev::run(options, cli.json).map(|()| Exit::Done),
        Command::Password { generate } => return password(*generate, cli.json).map(|()| Exit::Done),
        Command::Completions { shell } => {
            clap_complete::generate(*shell, &mut Cli::command(), "trestlectl", &mut std::io::stdout());
            return Ok(Exit::Done);
        }
        _ => {}
    }
    let token = match &cli.token_file {
        Some(path) => {
            let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
            Some(text.trim_end().to_owned())
        }
        None => None,
    };
    let agents: Vec<Agent> =
        cli.agent.iter().map(|a| Agent { address: a.clone(), token: token.clone() }).collect();
    let voice = Voice { json: cli.json, wait: Duration::from_secs(cli.wait) };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    Ok(runtime.block_on(execute(cli, &agents, voice)))
}

fn main() -> ExitCode {
    match begin(&Cli::parse()) {
        Ok(exit) => ExitCode::from(exit as u8),
        Err(e) => {
            eprintln!("trestlectl: {e}");
            ExitCode::FAILURE
        }
    }
}
