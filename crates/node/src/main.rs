//! kitefork: a load-balancing proxy in front of the backends.
//!
//! SIGTERM and SIGINT start a graceful shutdown; SIGHUP reloads the configuration. Exit codes: 0
//! after a graceful shutdown, 1 if a system call fails or the decision module rejects the settings,
//! 2 if the configuration can't be loaded.
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

/// Exit code if a system call fails or the decision module rejects the settings.
const EXIT_SYSTEM: u8 = 1;
/// Exit code if the configuration can't be loaded: it is missing, unreadable or invalid.
const EXIT_CONFIGURATION: u8 = 2;

fn main() -> ExitCode {
    // Signal handlers are installed first: until then a signal ends the process.
    let signals = match Signals::register() {
        Ok(signals) => signals,
        Err(error) => {
            return fail(
                EXIT_SYSTEM,
                format_args!("can't install the signal handlers: {error}"),
            );
        }
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
