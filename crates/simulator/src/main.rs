//! Simulator adapter: hosts kitefork's balancers on a simulator's binary wire. Batches of events
//! come on standard input, replies of actions go to standard output; no decision is made here.
//!
//! Exit codes: 0 at the end of the input, 1 if the input can't be decoded or input or output fails.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod frame;
mod host;

use std::io::{self, BufReader};
use std::process::ExitCode;

/// Bytes of input that are buffered: many small frames for each read(2).
const INPUT_BUFFER_SIZE: usize = 64 * 1024;

fn main() -> ExitCode {
    let input = BufReader::with_capacity(INPUT_BUFFER_SIZE, io::stdin().lock());
    match host::run(input, io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("kitefork-simulator: {error}");
            ExitCode::FAILURE
        }
    }
}
