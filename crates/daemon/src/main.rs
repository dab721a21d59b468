//! The pooler on real sockets.

use linnetdeal_net::config::Config;
use std::path::PathBuf;
use std::process::ExitCode;

/// The exit code for a configuration that can't be used, as sysexits.h has it.
const BAD_CONFIG: u8 = 78;

fn main() -> ExitCode {
    let path = std::env::args_os().nth(1).or_else(|| std::env::var_os("GW_CONFIG")).map(PathBuf::from);
    let Some(path) = path else {
        eprintln!("linnetdeal: name a configuration, as GW_CONFIG or as the only argument");
        return ExitCode::from(BAD_CONFIG);
    };
    let config = match Config::load(&path) {
        Ok(config) => config,
        Err(error) => {
            eprintln!("linnetdeal: {error}");
            return ExitCode::from(BAD_CONFIG);
        }
    };
    match linnetdeal_net::Pooler::new(config, path) {
        Ok(pooler) => {
            pooler.run();
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("linnetdeal: {error}");
            ExitCode::FAILURE
        }
    }
}
