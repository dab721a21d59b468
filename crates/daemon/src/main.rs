//! The pooler on real sockets, and what its operators ask of it.

mod leases;
mod logging;
mod members;
mod registry;
mod work;

use clap::{Args, Parser, Subcommand};
use linnetdeal_core::{Expected, Span};
use linnetdeal_net::Pooler;
use linnetdeal_net::config::{Config, NoEffect};
use linnetdeal_operator::{ChangeSettings, Operator};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// The exit code for a configuration that can't be used, as sysexits.h has it.
const BAD_CONFIG: u8 = 78;

/// A pooler that routes reads and writes over a primary and its replicas.
#[derive(Parser)]
#[command(name = "linnetdeal", version, args_conflicts_with_subcommands = true)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    run: Files,
}

#[derive(Subcommand)]
enum Command {
    /// Serve, in the foreground. This is what happens without a command, too.
    Run(Files),
    /// Read the files that a start would read, and say all that is wrong with them, and which settings have no effect.
    Check {
        /// An operator's file.
        file: Option<PathBuf>,
        /// The platform's configuration.
        #[arg(long, env = "GW_CONFIG")]
        config: Option<PathBuf>,
        /// Print the schema of the operator's file and end.
        #[arg(long)]
        schema: bool,
    },
    /// Say in which order a plan's machines would go out, without touching anything.
    Work {
        /// The plan, as it would be sent.
        #[arg(long)]
        plan: PathBuf,
        /// The operator's file, with the limits.
        #[arg(long, env = "LINNETDEAL_OPERATOR")]
        operator: PathBuf,
        /// The platform's configuration, with the list.
        #[arg(long, env = "GW_CONFIG")]
        config: PathBuf,
        /// Nothing is touched; there is no other way yet.
        #[arg(long, required = true)]
        dry_run: bool,
    },
    /// Ask the registry once, and print whom this pooler would believe to be a member.
    Members {
        /// The operator's file.
        #[arg(long, env = "LINNETDEAL_OPERATOR")]
        operator: PathBuf,
        /// As one JSON object.
        #[arg(long)]
        json: bool,
    },
}

#[derive(Args)]
struct Files {
    /// The platform's configuration.
    #[arg(env = "GW_CONFIG")]
    config: Option<PathBuf>,
    /// The operator's file.
    #[arg(long, env = "LINNETDEAL_OPERATOR")]
    operator: Option<PathBuf>,
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let done = match cli.command {
        None => run(cli.run),
        Some(Command::Run(files)) => run(files),
        Some(Command::Check { schema: true, .. }) => {
            print!("{}", linnetdeal_operator::SCHEMA);
            Ok(())
        }
        Some(Command::Check { file, config, .. }) => check(file, config),
        Some(Command::Work { plan, operator, config, .. }) => work::dry_run(&plan, &operator, &config),
        Some(Command::Members { operator, json }) => members::show(&operator, json),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(End { code, words }) => {
            use std::io::Write;
            // A closed standard error changes nothing.
            let _ = writeln!(std::io::stderr(), "{words}");
            ExitCode::from(code)
        }
    }
}

/// Why the program ends, in words, and with which exit code.
struct End {
    code: u8,
    words: String,
}

impl End {
    /// Something in a file is wrong.
    fn config(error: impl std::fmt::Display) -> Self {
        Self { code: BAD_CONFIG, words: format!("linnetdeal: {error}") }
    }

    fn other(error: impl std::fmt::Display) -> Self {
        Self { code: 1, words: format!("linnetdeal: {error}") }
    }
}

fn run(files: Files) -> Result<(), End> {
    let Some(path) = files.config else {
        return Err(End::config("name a configuration, as GW_CONFIG or as the only argument"));
    };
    // From the first moment: a configuration may be announced while the first one is being read.
    let signals =
        linnetdeal_net::signals::install().map_err(|error| End::other(format!("signals: {error}")))?;
    let operator = match &files.operator {
        None => Operator::default(),
        Some(path) => Operator::load(path).map_err(End::config)?,
    };
    let mut config = Config::load(&path).map_err(End::config)?;
    config.settings.changes =
        [operator.primary.planned, operator.primary.unplanned].map(|of| of.map(expected));
    logging::start(&operator.log);
    let (name, seed) = (config.name.clone(), config.seed);
    let mut leases = match &operator.leases {
        Some(settings) => Some(leases::options(settings, &config).map_err(End::config)?),
        None => None,
    };
    let work = operator.work.as_ref().zip(leases.as_mut()).map(|(settings, leases)| {
        let wanted = work::wanted(settings, &config, leases);
        leases.setup.tasks.push(work::task(settings));
        wanted
    });
    let pooler = Pooler::new(config, path, leases, work, signals).map_err(End::other)?;
    match &operator.registry {
        None => pooler.run(std::future::ready(())),
        Some(settings) => {
            let last = registry::follow(&pooler, settings, &name, seed).map_err(End::config)?;
            pooler.run(last);
        }
    }
    Ok(())
}

/// How long changes of primary take, as the decisions count time.
fn expected(of: ChangeSettings) -> Expected {
    let span = |of: Duration| Span(i64::try_from(of.as_micros()).unwrap_or(i64::MAX));
    Expected { least: span(of.least), usual: span(of.usual) }
}

fn check(file: Option<PathBuf>, config: Option<PathBuf>) -> Result<(), End> {
    if file.is_none() && config.is_none() {
        return Err(End::config(
            "nothing to check: name an operator's file, or a configuration with --config",
        ));
    }
    // All that is wrong is told, not just the first.
    let mut wrong = Vec::new();
    if let Some(path) = &file {
        match Operator::load(path) {
            Err(faults) => wrong.push(faults.to_string()),
            Ok(operator) => {
                let registry = operator.registry.and_then(|settings| registry::check(&settings).err());
                wrong.extend(registry.map(|error| error.to_string()));
                let keys = operator.leases.and_then(|settings| leases::read_keys(&settings).err());
                wrong.extend(keys.map(|error| error.to_string()));
            }
        }
    }
    if let Some(path) = &config {
        match Config::load(path).and_then(|_| NoEffect::load(path)) {
            Ok(settings) => print!("{}", no_effect(&settings)),
            Err(error) => wrong.push(error.to_string()),
        }
    }
    if wrong.is_empty() { Ok(()) } else { Err(End { code: BAD_CONFIG, words: wrong.join("\n") }) }
}

/// A line for each setting that has no effect; none of them is a fault.
fn no_effect(settings: &NoEffect) -> String {
    let unused = settings.unused.iter().map(|of| format!("not used: {}: {}\n", of.path, of.why));
    let unknown = settings.unknown.iter().map(|path| format!("not known: {path}\n"));
    unused.chain(unknown).collect()
}
