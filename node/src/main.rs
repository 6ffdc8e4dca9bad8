//! kitefork: one node in front of the backends. Exit codes: 0 after SIGTERM, 1 when the network calls fail,
//! 2 when the configuration is wrong.
#![forbid(unsafe_code)]

mod client;
mod clock;
mod config;
mod discovery;
mod fetch;
mod http1;
mod log;
mod net;
mod node;
mod req;
mod ring;
mod slots;
mod wheel;

use std::os::unix::net::UnixStream;
use std::process::ExitCode;

fn signal() -> std::io::Result<UnixStream> {
    let (near, far) = UnixStream::pair()?;
    near.set_nonblocking(true)?;
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        signal_hook::low_level::pipe::register(signal, far.try_clone()?)?;
    }
    Ok(near)
}

fn main() -> ExitCode {
    let fault = |code: u8, why: String| {
        eprintln!("kitefork: fault {why}");
        ExitCode::from(code)
    };
    let config = match config::load(|name| std::env::var(name).ok()) {
        Ok(config) => config,
        Err(why) => return fault(2, why),
    };
    let signal = match signal() {
        Ok(signal) => signal,
        Err(error) => return fault(1, format!("signals: {error}")),
    };
    match node::Node::start(config, signal).and_then(node::Node::run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => fault(1, why),
    }
}
