//! Signals: a flag that the handler sets, and a byte that wakes the loop.
//!
//! The byte may get lost where the machine lacks memory for it; the flag does not, and the loop
//! checks it in each iteration.

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

/// The signals of the node.
pub struct Signals {
    terminate: Signal,
    reload: Signal,
}

impl Signals {
    /// Installs the handlers of all signals.
    ///
    /// # Errors
    ///
    /// As [`Signal::register`].
    pub fn register() -> std::io::Result<Signals> {
        Ok(Signals {
            terminate: Signal::register(&[SIGTERM, SIGINT])?,
            reload: Signal::register(&[SIGHUP])?,
        })
    }

    /// The signal of a kind.
    pub fn get(&self, kind: SignalKind) -> &Signal {
        match kind {
            SignalKind::Terminate => &self.terminate,
            SignalKind::Reload => &self.reload,
        }
    }
}

/// One kind of signal.
pub struct Signal {
    wake_up: UnixStream,
    is_pending: Arc<AtomicBool>,
}

impl Signal {
    /// Handles any of these signals as one kind.
    ///
    /// # Errors
    ///
    /// What the system answers to `socketpair(2)` or to the installation of the handler.
    pub fn register(signals: &[i32]) -> std::io::Result<Signal> {
        let (reader, writer) = UnixStream::pair()?;
        reader.set_nonblocking(true)?;
        let is_pending = Arc::new(AtomicBool::new(false));
        for signal in signals {
            // Handlers run in this order: the flag is set when the byte wakes the loop.
            signal_hook::flag::register(*signal, is_pending.clone())?;
            signal_hook::low_level::pipe::register(*signal, writer.try_clone()?)?;
        }
        Ok(Signal {
            wake_up: reader,
            is_pending,
        })
    }

    /// What becomes readable when the signal arrives.
    pub fn wake_up(&self) -> &UnixStream {
        &self.wake_up
    }

    /// Reads the wake-up bytes, so that the loop can wait again.
    pub fn drain_wake_up(&self) {
        let mut bytes = [0; 16];
        while matches!(
            rustix::io::read(&self.wake_up, &mut bytes),
            Ok(1..) | Err(Errno::INTR)
        ) {}
    }

    /// Whether the signal has arrived since the last call.
    pub fn take(&self) -> bool {
        self.is_pending.swap(false, Ordering::SeqCst)
    }
}
