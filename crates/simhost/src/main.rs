//! The decisions on the simulator's wire: standard input to standard output.

use std::io::{self, BufWriter};
use std::process::ExitCode;

mod wire;

fn main() -> ExitCode {
    match wire::run(io::stdin().lock(), BufWriter::new(io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("linnetdeal-simhost: {error}");
            ExitCode::FAILURE
        }
    }
}
