//! kitefork: one node in front of the backends. SIGHUP has it read its
//! configuration anew. Exit codes: 0 after SIGTERM, 1 when the network calls fail,
//! 2 when the configuration is wrong.
#![forbid(unsafe_code)]

mod arrival;
mod client;
mod clock;
mod config;
mod counters;
mod descriptor_budget;
mod discovery;
mod errno;
mod fetch;
mod http1;
mod log;
mod net;
mod node;
mod request_table;
mod ring_buffer;
mod rules;
mod signals;
mod slab;
mod start_time;
mod timer_wheel;

use std::process::ExitCode;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

use crate::signals::Signal;

fn main() -> ExitCode {
    let fault = |code: u8, why: String| {
        eprintln!("kitefork: fault {why}");
        ExitCode::from(code)
    };
    // First of all: a signal that comes before its handler ends the process.
    let signals = Signal::register(&[SIGTERM, SIGINT])
        .and_then(|end| Ok([end, Signal::register(&[SIGHUP])?]));
    let signals = match signals {
        Ok(signals) => signals,
        Err(error) => return fault(1, format!("signals: {error}")),
    };
    let config = match config::load(|name| std::env::var(name).ok()) {
        Ok(config) => config,
        Err(why) => return fault(2, why.to_string()),
    };
    match node::Node::start(config, signals).and_then(node::Node::run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => fault(1, why),
    }
}
