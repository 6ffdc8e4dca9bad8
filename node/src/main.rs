//! kitefork: one node in front of the backends. SIGHUP has it read its
//! configuration anew. Exit codes: 0 after SIGTERM, 1 when the network calls fail,
//! 2 when the configuration is wrong.
#![forbid(unsafe_code)]

mod client;
mod clock;
mod config;
mod counters;
mod discovery;
mod fetch;
mod http1;
mod ledger;
mod log;
mod net;
mod node;
mod req;
mod ring;
mod rules;
mod slots;
mod wheel;

use std::os::unix::net::UnixStream;
use std::process::ExitCode;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

/// A stream that becomes readable with any of these signals.
fn signal(signals: &[i32]) -> std::io::Result<UnixStream> {
    let (near, far) = UnixStream::pair()?;
    near.set_nonblocking(true)?;
    for signal in signals {
        signal_hook::low_level::pipe::register(*signal, far.try_clone()?)?;
    }
    Ok(near)
}

fn main() -> ExitCode {
    let fault = |code: u8, why: String| {
        eprintln!("kitefork: fault {why}");
        ExitCode::from(code)
    };
    // First of all: a signal that comes before its handler ends the process.
    let signals = signal(&[SIGTERM, SIGINT]).and_then(|end| Ok([end, signal(&[SIGHUP])?]));
    let signals = match signals {
        Ok(signals) => signals,
        Err(error) => return fault(1, format!("signals: {error}")),
    };
    let config = match config::load(|name| std::env::var(name).ok()) {
        Ok(config) => config,
        Err(why) => return fault(2, why),
    };
    match node::Node::start(config, signals).and_then(node::Node::run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => fault(1, why),
    }
}
