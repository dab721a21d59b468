//! The decisions on the simulator's wire: standard input to standard output.
#![forbid(unsafe_code)]

use std::io::{self, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    match linnetdeal::wire::run(io::stdin().lock(), BufWriter::new(io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("linnetdeal-simhost: {error}");
            ExitCode::FAILURE
        }
    }
}
