//! Runs the router in the simulator: reads its protocol from standard input and writes replies to standard output.

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
