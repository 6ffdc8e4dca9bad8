//! Signal handling: the handler sets a flag and writes a byte that wakes the event loop.
//!
//! The byte may be lost if the machine lacks memory for it; the flag is never lost, and the event
//! loop checks it in each iteration.

use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use rustix::io::Errno;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

/// The two kinds of signals that the node handles.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SignalKind {
    /// SIGTERM or SIGINT: shut down gracefully.
    Terminate,
    /// SIGHUP: read the configuration again.
    Reload,
}

/// The state of all signals that the node handles.
pub struct Signals {
    terminate: Signal,
    reload: Signal,
}

impl Signals {
    /// Installs the handlers of all signals.
    ///
    /// # Errors
    ///
    /// Those of [`Signal::register`].
    pub fn register() -> std::io::Result<Signals> {
        Ok(Signals {
            terminate: Signal::register(&[SIGTERM, SIGINT])?,
            reload: Signal::register(&[SIGHUP])?,
        })
    }

    /// The [`Signal`] that tells whether a signal of this kind has arrived, and that wakes the
    /// event loop then.
    pub fn get(&self, kind: SignalKind) -> &Signal {
        match kind {
            SignalKind::Terminate => &self.terminate,
            SignalKind::Reload => &self.reload,
        }
    }
}

/// The flag and the wake-up socket of one kind of signal.
pub struct Signal {
    wake_up: UnixStream,
    is_pending: Arc<AtomicBool>,
}

impl Signal {
    /// Installs handlers that treat all of these signals as one kind.
    ///
    /// # Errors
    ///
    /// Those of `socketpair(2)`, of the setup of its two sockets, and of the installation of a
    /// handler.
    pub fn register(signals: &[i32]) -> std::io::Result<Signal> {
        let (reader, writer) = UnixStream::pair()?;
        reader.set_nonblocking(true)?;
        let is_pending = Arc::new(AtomicBool::new(false));
        for signal in signals {
            // Handlers run in this order, so the flag is already set when the byte wakes the event
            // loop.
            signal_hook::flag::register(*signal, is_pending.clone())?;
            signal_hook::low_level::pipe::register(*signal, writer.try_clone()?)?;
        }
        Ok(Signal {
            wake_up: reader,
            is_pending,
        })
    }

    /// The socket that becomes readable when one of the signals arrives.
    pub fn wake_up(&self) -> &UnixStream {
        &self.wake_up
    }

    /// Reads and discards the wake-up bytes, so that the event loop can wait again.
    pub fn drain_wake_up(&self) {
        let mut bytes = [0; 16];
        while matches!(
            rustix::io::read(&self.wake_up, &mut bytes),
            Ok(1..) | Err(Errno::INTR)
        ) {}
    }

    /// Returns whether one of the signals has arrived since the last call, and resets the flag.
    pub fn take_pending(&self) -> bool {
        self.is_pending.swap(false, Ordering::SeqCst)
    }
}
