//! Signals: a flag that the handler sets, and a byte that wakes the loop. The byte may get lost
//! where the machine lacks memory for it; the flag does not, and the loop looks at it in each of
//! its turns.

use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// One kind of signal.
pub struct Signal {
    /// Becomes readable when the signal comes.
    pub wakes: UnixStream,
    came: Arc<AtomicBool>,
}

impl Signal {
    /// Handles any of these signals as one kind.
    ///
    /// # Errors
    ///
    /// What the system says to a pair of sockets or to the handler.
    pub fn register(signals: &[i32]) -> std::io::Result<Signal> {
        let (near, far) = UnixStream::pair()?;
        near.set_nonblocking(true)?;
        let came = Arc::new(AtomicBool::new(false));
        for signal in signals {
            // Handlers run in this order: the flag is set when the byte wakes the loop.
            signal_hook::flag::register(*signal, came.clone())?;
            signal_hook::low_level::pipe::register(*signal, far.try_clone()?)?;
        }
        Ok(Signal { wakes: near, came })
    }

    /// Whether it has come since this was last asked.
    pub fn take(&self) -> bool {
        self.came.swap(false, Ordering::SeqCst)
    }
}
