//! kitefork: one load-balancing proxy in front of the backends.
//!
//! SIGTERM and SIGINT shut it down gracefully, SIGHUP has it read its configuration again. Exit
//! codes: 0 after a graceful shutdown, 1 when a network or system call fails, 2 when the
//! configuration is invalid.
#![forbid(unsafe_code)]

mod clock;
mod config;
mod counters;
mod descriptor_budget;
mod diagnostics;
mod discovery;
mod downstream;
mod errno;
mod event_loop;
mod http1;
mod log;
mod net;
mod node;
mod request_table;
mod ring_buffer;
mod rules;
mod shutdown;
mod signals;
mod slab;
mod start_time;
mod timer_wheel;
mod upstream;

use std::process::ExitCode;

use crate::signals::Signals;

/// The exit code where a network or system call fails.
const EXIT_SYSTEM: u8 = 1;
/// The exit code where the configuration is invalid.
const EXIT_CONFIGURATION: u8 = 2;

fn main() -> ExitCode {
    // First of all: a signal that comes before its handler ends the process.
    let signals = match Signals::register() {
        Ok(signals) => signals,
        Err(error) => return fail(EXIT_SYSTEM, format_args!("signals: {error}")),
    };
    let config = match config::load(|name| std::env::var(name).ok()) {
        Ok(config) => config,
        Err(error) => return fail(EXIT_CONFIGURATION, format_args!("{error}")),
    };
    match node::Node::start(config, signals).and_then(node::Node::run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(EXIT_SYSTEM, format_args!("{error}")),
    }
}

fn fail(code: u8, error: std::fmt::Arguments) -> ExitCode {
    eprintln!("kitefork: fault {error}");
    ExitCode::from(code)
}
