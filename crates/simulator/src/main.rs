//! Simulator adapter: runs kitefork's balancers for a simulator, over a binary protocol. It reads
//! batches of events from standard input and writes replies with actions to standard output. The
//! decisions are made by the balancers, not here.
//!
//! Exit codes: 0 at the end of the input, 1 if the input can't be decoded or input or output fails.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod frame;
mod host;

use std::io::{self, BufReader};
use std::process::ExitCode;

/// Size of the input buffer in bytes, so that one read(2) can fetch many small frames.
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
