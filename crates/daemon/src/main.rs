//! The command line of the pooler: serving, and the operators' tools.

mod leases;
mod logging;
mod members;
mod registry;
mod work;

use clap::{Args, Parser, Subcommand};
use linnetdeal_core::{Expected, Span};
use linnetdeal_net::Pooler;
use linnetdeal_net::config::{Config, IneffectiveSettings};
use linnetdeal_operator::{OperatorSettings, PrimaryChangeSettings};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// The exit code for an unusable configuration: `EX_CONFIG` of sysexits.h.
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
    /// Serve in the foreground. This is the default without a command.
    Run(Files),
    /// Check the files that a start would read: report all errors in them, and the settings that have no effect.
    Check {
        /// The operator's file.
        file: Option<PathBuf>,
        /// The platform's configuration.
        #[arg(long, env = "GW_CONFIG")]
        config: Option<PathBuf>,
        /// Print the schema of the operator's file and end.
        #[arg(long)]
        schema: bool,
    },
    /// Show the order in which a plan's machines would go out for work, without changing anything.
    Work {
        /// The plan, in the form in which it is submitted.
        #[arg(long)]
        plan: PathBuf,
        /// The operator's file with the limits.
        #[arg(long, env = "LINNETDEAL_OPERATOR")]
        operator: PathBuf,
        /// The platform's configuration with the list of servers.
        #[arg(long, env = "GW_CONFIG")]
        config: PathBuf,
        /// Change nothing; required, since there is no other mode.
        #[arg(long, required = true)]
        dry_run: bool,
    },
    /// Query the registry once and print the servers that this pooler would accept as members.
    Members {
        /// The operator's file.
        #[arg(long, env = "LINNETDEAL_OPERATOR")]
        operator: PathBuf,
        /// Print one JSON object instead of a table.
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
    let result = match cli.command {
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
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(ExitError { code, message }) => {
            use std::io::Write;
            // A closed standard error does not change the exit code.
            let _ = writeln!(std::io::stderr(), "{message}");
            ExitCode::from(code)
        }
    }
}

/// An error that ends the program: its exit code and message.
struct ExitError {
    code: u8,
    message: String,
}

impl ExitError {
    /// An error in a file or argument.
    fn config(error: impl std::fmt::Display) -> Self {
        Self { code: BAD_CONFIG, message: format!("linnetdeal: {error}") }
    }

    fn other(error: impl std::fmt::Display) -> Self {
        Self { code: 1, message: format!("linnetdeal: {error}") }
    }
}

fn run(files: Files) -> Result<(), ExitError> {
    let Some(path) = files.config else {
        return Err(ExitError::config("name a configuration, as GW_CONFIG or as the only argument"));
    };
    // Installed first: a reload may be signalled while the configuration is being read.
    let signals =
        linnetdeal_net::signals::install().map_err(|error| ExitError::other(format!("signals: {error}")))?;
    let operator = match &files.operator {
        None => OperatorSettings::default(),
        Some(path) => OperatorSettings::load(path).map_err(ExitError::config)?,
    };
    let mut config = Config::load(&path).map_err(ExitError::config)?;
    config.settings.changes =
        [operator.primary.planned, operator.primary.unplanned].map(|change| change.map(expected));
    logging::start(&operator.log);
    let (name, seed) = (config.name.clone(), config.seed);
    let mut leases = match &operator.leases {
        Some(settings) => Some(leases::options(settings, &config).map_err(ExitError::config)?),
        None => None,
    };
    let work = operator.work.as_ref().zip(leases.as_mut()).map(|(settings, leases)| {
        let options = work::options(settings, &config, leases);
        leases.setup.tasks.push(work::task(settings));
        options
    });
    let pooler = Pooler::new(config, path, leases, work, signals).map_err(ExitError::other)?;
    match &operator.registry {
        None => pooler.run(std::future::ready(())),
        Some(settings) => {
            let last = registry::follow(&pooler, settings, &name, seed).map_err(ExitError::config)?;
            pooler.run(last);
        }
    }
    Ok(())
}

/// Converts the expected duration of primary changes to the router's type.
fn expected(change: PrimaryChangeSettings) -> Expected {
    let span = |duration: Duration| Span(i64::try_from(duration.as_micros()).unwrap_or(i64::MAX));
    Expected { least: span(change.minimum), usual: span(change.typical) }
}

fn check(file: Option<PathBuf>, config: Option<PathBuf>) -> Result<(), ExitError> {
    if file.is_none() && config.is_none() {
        return Err(ExitError::config(
            "nothing to check: name an operator's file, or a configuration with --config",
        ));
    }
    // Collects all errors instead of stopping at the first one.
    let mut errors = Vec::new();
    if let Some(path) = &file {
        match OperatorSettings::load(path) {
            Err(operator_errors) => errors.push(operator_errors.to_string()),
            Ok(operator) => {
                let registry = operator.registry.and_then(|settings| registry::check(&settings).err());
                errors.extend(registry.map(|error| error.to_string()));
                let keys = operator.leases.and_then(|settings| leases::read_keys(&settings).err());
                errors.extend(keys.map(|error| error.to_string()));
            }
        }
    }
    if let Some(path) = &config {
        match Config::load(path).and_then(|_| IneffectiveSettings::load(path)) {
            Ok(settings) => print!("{}", list_ineffective(&settings)),
            Err(error) => errors.push(error.to_string()),
        }
    }
    if errors.is_empty() { Ok(()) } else { Err(ExitError { code: BAD_CONFIG, message: errors.join("\n") }) }
}

/// One line for each setting that has no effect. None of them is an error.
fn list_ineffective(settings: &IneffectiveSettings) -> String {
    let unused =
        settings.unused.iter().map(|setting| format!("not used: {}: {}\n", setting.path, setting.why));
    let unknown = settings.unknown.iter().map(|path| format!("not known: {path}\n"));
    unused.chain(unknown).collect()
}
