//! trestlectl: starts, controls and inspects fleets of trestlesill proxies.

mod client;
mod dev;
mod file;
mod run;
mod shadow;

use clap::{CommandFactory, Parser, Subcommand};
use client::{Address, Agent, RequestError};
use run::{Exit, Output};
use serde_json::{json, Value};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Starts, controls and inspects fleets of trestlesill proxies.
#[derive(Debug, Parser)]
#[command(
    name = "trestlectl",
    version,
    after_help = "Exit codes: 0 done, 1 failed, 2 usage, 3 partly done or unknown."
)]
struct Cli {
    /// An agent: the path of a socket, unix:PATH or http://ADDRESS:PORT. Can be repeated.
    #[arg(
        long,
        global = true,
        env = "TRESTLE_AGENT",
        value_delimiter = ',',
        default_value = "/run/trestle-agent/api.sock"
    )]
    agent: Vec<Address>,
    /// The file with the token for agents over TCP.
    #[arg(long, global = true, env = "TRESTLE_TOKEN_FILE")]
    token_file: Option<PathBuf>,
    /// Print JSON, one object per line.
    #[arg(long, global = true)]
    json: bool,
    /// How many seconds to wait for the end of the operation; 0 only submits the command.
    #[arg(long, global = true, default_value_t = 120)]
    wait: u64,
    /// Execute the command even if no instance or box would remain in service.
    #[arg(long, global = true)]
    force: bool,
    /// The generation that the command is based on; by default the current one.
    #[arg(long, global = true)]
    base: Option<u64>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, clap::Args)]
struct InstanceNames {
    /// Names of instances.
    names: Vec<String>,
    /// All instances.
    #[arg(long, conflicts_with = "names", required_unless_present = "names")]
    all: bool,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Start instances.
    Up(InstanceNames),
    /// Stop instances after requests in progress are answered.
    Down(InstanceNames),
    /// Print the state of the fleet.
    Status,
    /// Print the full state of an instance, with the boxes as it sees them.
    Inspect {
        /// Name of the instance.
        name: String,
    },
    /// Apply a fleet's file.
    Apply {
        /// A fleet's file.
        file: PathBuf,
        /// Only print what would change.
        #[arg(long)]
        dry_run: bool,
    },
    /// Stop instances from accepting new requests.
    Drain(InstanceNames),
    /// Return drained instances to service.
    Undrain(InstanceNames),
    /// Stop all instances from sending new requests to boxes.
    DrainBox {
        /// Names of boxes in discovery.
        #[arg(required = true)]
        boxes: Vec<String>,
    },
    /// Follow discovery again for drained boxes.
    UndrainBox {
        /// Names of boxes in discovery.
        #[arg(required = true)]
        boxes: Vec<String>,
    },
    /// Print or control the current rollout.
    Rollout {
        #[command(subcommand)]
        command: Rollout,
    },
    /// Restart instances in a rollout, within the fleet's policy.
    Restart {
        /// Restart no more instances at the same time than the policy allows. Required: there is no other mode.
        #[arg(long, required = true)]
        rolling: bool,
        /// Names of instances; all by default.
        names: Vec<String>,
    },
    /// Copy reads to boxes that are not in service yet, and compare the answers.
    Shadow {
        #[command(subcommand)]
        command: shadow::Command,
    },
    /// Print the state of an operation.
    Operation {
        /// Id of the operation.
        id: String,
    },
    /// Print the state of the fleet after each change, until interrupted.
    Watch,
    /// Check a fleet's file, an operator's file, or a proxy's configuration (.json).
    Check {
        /// Paths of the files.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Hash a password for the operator's file, read as a line from standard input.
    Password {
        /// Generate a random password instead, and print it first.
        #[arg(long)]
        generate: bool,
    },
    /// Print the completion script of a shell.
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
    /// Run proxies on this machine with simulated boxes and discovery, until SIGINT or SIGTERM.
    Dev(dev::Options),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Subcommand)]
enum Rollout {
    /// Print its state.
    Status,
    /// Update no further instance.
    Pause,
    /// Continue; failed instances are retried.
    Resume,
    /// Stop it, and roll back its changes.
    Abort,
}

fn check(files: &[PathBuf], output: Output) -> Exit {
    let mut exit = Exit::Done;
    for path in files {
        match file::check(path) {
            Ok(kind) => output.print(&json!({"file": path, "kind": kind, "faults": []}), || {
                format!("{}: {kind}, good", path.display())
            }),
            Err(faults) => {
                if output.json {
                    output.print(&json!({"file": path, "faults": faults}), String::new);
                }
                faults.iter().for_each(|f| eprintln!("trestlectl: {f}"));
                exit = Exit::Failed;
            }
        }
    }
    exit
}

/// Runs a command on all agents concurrently, and combines the outcomes.
async fn on_all_agents<F: std::future::Future<Output = Exit> + 'static>(
    agents: &[Agent],
    run_on_agent: impl Fn(Agent) -> F,
) -> Exit {
    let local = tokio::task::LocalSet::new();
    let tasks: Vec<_> = agents.iter().map(|a| local.spawn_local(run_on_agent(a.clone()))).collect();
    local.await;
    let mut exits = Vec::new();
    for task in tasks {
        exits.push(task.await.unwrap_or(Exit::Failed));
    }
    run::combine(exits)
}

/// Submits to each agent the command for those of the named instances that it has.
async fn submit_to_owners(
    agents: &[Agent],
    named: &InstanceNames,
    verb: &str,
    cli: &Cli,
    output: Output,
) -> Exit {
    // The options require either names or `--all`, so no names means all instances.
    let owners = run::find_owners(agents, &named.names, output).await;
    if !owners.missing.is_empty() {
        owners.report_missing();
        return Exit::Failed;
    }
    let (force, base) = (cli.force, cli.base);
    let mut exits = Vec::new();
    for (agent, names) in &owners.by_agent {
        exits.push(run::submit(agent, &json!({ verb: names }), force, base, output).await);
    }
    if owners.has_unreachable_agent {
        exits.push(Exit::Failed);
    }
    run::combine(exits)
}

async fn execute(cli: &Cli, agents: &[Agent], output: Output) -> Exit {
    let (force, base) = (cli.force, cli.base);
    let submit = |command: Value| async move {
        on_all_agents(agents, |agent| {
            let command = command.clone();
            async move { run::submit(&agent, &command, force, base, output).await }
        })
        .await
    };
    match &cli.command {
        Command::Up(n) => submit_to_owners(agents, n, "up", cli, output).await,
        Command::Down(n) => submit_to_owners(agents, n, "down", cli, output).await,
        Command::Drain(n) => submit_to_owners(agents, n, "drain", cli, output).await,
        Command::Undrain(n) => submit_to_owners(agents, n, "undrain", cli, output).await,
        Command::DrainBox { boxes } => submit(json!({"drain-boxes": boxes})).await,
        Command::UndrainBox { boxes } => submit(json!({"undrain-boxes": boxes})).await,
        Command::Restart { names, .. } if names.is_empty() => submit(json!({"restart": []})).await,
        Command::Restart { names, .. } => {
            let named = InstanceNames { names: names.clone(), all: false };
            submit_to_owners(agents, &named, "restart", cli, output).await
        }
        Command::Rollout { command } => match command {
            Rollout::Status => {
                on_all_agents(agents, |a| async move { run::status(&a, Some("rollout"), output).await }).await
            }
            Rollout::Pause => submit(json!("pause")).await,
            Rollout::Resume => submit(json!("resume")).await,
            Rollout::Abort => submit(json!("abort")).await,
        },
        Command::Status => {
            on_all_agents(agents, |a| async move { run::status(&a, None, output).await }).await
        }
        Command::Watch => on_all_agents(agents, |a| async move { run::watch(&a, output).await }).await,
        Command::Inspect { name } => {
            for agent in agents {
                if run::instance_names(agent).await.is_ok_and(|known| known.contains(name)) {
                    return run::inspect(agent, name, output).await;
                }
            }
            eprintln!("trestlectl: no agent that answers has {name}; see: trestlectl status");
            Exit::Failed
        }
        Command::Operation { id } => {
            for agent in agents {
                let known = agent.request(hyper::Method::GET, &format!("/v1/operations/{id}"), None).await;
                if !matches!(known, Err(RequestError::Refused(404, _))) {
                    return run::wait_for_operation(
                        agent,
                        id,
                        Instant::now(),
                        Output { wait: Duration::ZERO, ..output },
                    )
                    .await;
                }
            }
            eprintln!("trestlectl: no agent knows operation {id}; it may have finished long ago");
            Exit::Failed
        }
        Command::Apply { file, dry_run } => {
            let [agent] = agents else {
                eprintln!("trestlectl: a fleet's file applies to one agent; select it with --agent");
                return Exit::Failed;
            };
            match file::load(file) {
                Ok(desired) => {
                    let command = json!({ "apply": desired });
                    if *dry_run {
                        run::dry_run(agent, &command, force, output).await
                    } else {
                        run::submit(agent, &command, force, base, output).await
                    }
                }
                Err(faults) => {
                    faults.iter().for_each(|f| eprintln!("trestlectl: {f}"));
                    Exit::Failed
                }
            }
        }
        Command::Shadow { command } => shadow::execute(command, agents, force, output).await,
        Command::Check { files } => check(files, output),
        Command::Completions { .. } | Command::Dev(_) | Command::Password { .. } => Exit::Done,
    }
}

/// Random bytes of a generated password, which is printed in hexadecimal.
const GENERATED_PASSWORD_BYTES: usize = 24;

/// Prints the hash of a password, in the form that the operator's file expects.
fn password(generate: bool, json: bool) -> Result<(), Box<dyn std::error::Error>> {
    let mut random = [0; GENERATED_PASSWORD_BYTES + session::SALT_BYTES];
    getrandom::fill(&mut random)?;
    let (secret, salt) = random.split_at(GENERATED_PASSWORD_BYTES);
    let mut plain = hex::encode(secret);
    if !generate {
        plain.clear();
        std::io::stdin().read_line(&mut plain)?;
        plain.truncate(plain.trim_end_matches(['\r', '\n']).len());
    }
    if plain.is_empty() || plain.len() > session::MAX_PASSWORD_BYTES {
        return Err(format!(
            "a password must have 1 to {} bytes, got {}",
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

fn run_command(cli: &Cli) -> Result<Exit, Box<dyn std::error::Error>> {
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
    let output = Output { json: cli.json, wait: Duration::from_secs(cli.wait) };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    Ok(runtime.block_on(execute(cli, &agents, output)))
}

fn main() -> ExitCode {
    match run_command(&Cli::parse()) {
        Ok(exit) => ExitCode::from(exit as u8),
        Err(e) => {
            eprintln!("trestlectl: {e}");
            ExitCode::FAILURE
        }
    }
}
