//! Hosts balancers on a binary wire: batches of events on standard input, replies on standard
//! output. No decision is made here.
#![forbid(unsafe_code)]

mod frame;
mod host;

use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    match host::run(
        io::BufReader::with_capacity(1 << 16, io::stdin().lock()),
        io::stdout().lock(),
    ) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("kitefork-simulator: {error}");
            ExitCode::FAILURE
        }
    }
}
