//! What an error of a socket call means, in one table for each call.
//!
//! Sources: `accept(2)`, `socket(2)`, `connect(2)`, `send(2)`, `recv(2)`, `epoll_ctl(2)`, `tcp(7)`.
//! What a table does not name gets the class that its function states.

use rustix::io::Errno;

/// What to do about an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ErrorClass {
    /// The call was interrupted, or the error belongs to another connection: call again.
    RetryNow,
    /// Nothing to do until the socket is ready.
    WouldBlock,
    /// The machine lacks something for a moment: call again a little later. Says nothing of the
    /// other side.
    RetryLater,
    /// The process holds as many descriptors as it may.
    OutOfDescriptors,
    /// This connection is broken, or the other side can't be reached.
    ConnectionLost,
    /// The call itself is wrong: a fault of the program.
    Fatal,
}

use ErrorClass::{ConnectionLost, Fatal, OutOfDescriptors, RetryLater, RetryNow, WouldBlock};

/// An error of `accept`. Linux passes on errors that a new connection already has; they are over
/// with it.
pub fn of_accept(error: Errno) -> ErrorClass {
    match error {
        Errno::AGAIN => WouldBlock,
        Errno::INTR | Errno::CONNABORTED | Errno::PROTO | Errno::NOPROTOOPT | Errno::OPNOTSUPP => {
            RetryNow
        }
        Errno::NETDOWN
        | Errno::NETUNREACH
        | Errno::HOSTDOWN
        | Errno::HOSTUNREACH
        | Errno::NONET => RetryNow,
        Errno::PERM | Errno::TIMEDOUT | Errno::CONNRESET => RetryNow,
        Errno::MFILE => OutOfDescriptors,
        Errno::NFILE | Errno::NOBUFS | Errno::NOMEM | Errno::NOSR => RetryLater,
        _ => Fatal,
    }
}

/// An error of `socket` or of an immediate `connect`. Unknown ones speak against the other side.
pub fn of_connect(error: Errno) -> ErrorClass {
    match error {
        Errno::INTR => RetryNow,
        // A connection attempt on a non-blocking socket goes on.
        Errno::INPROGRESS => WouldBlock,
        Errno::MFILE => OutOfDescriptors,
        Errno::NFILE | Errno::NOBUFS | Errno::NOMEM | Errno::ADDRNOTAVAIL | Errno::AGAIN => {
            RetryLater
        }
        // The limit on watched descriptors, where the new connection is registered at once.
        Errno::NOSPC => RetryLater,
        // No route for a moment: of this machine, not of one backend.
        Errno::NETUNREACH | Errno::NETDOWN => RetryLater,
        _ => ConnectionLost,
    }
}

/// An error of `send` or `recv`. Unknown ones end the connection.
pub fn of_transfer(error: Errno) -> ErrorClass {
    match error {
        Errno::INTR => RetryNow,
        Errno::AGAIN => WouldBlock,
        Errno::NOBUFS | Errno::NOMEM => RetryLater,
        _ => ConnectionLost,
    }
}

/// An error of `epoll_ctl`.
pub fn of_register(error: Errno) -> ErrorClass {
    match error {
        Errno::NOMEM | Errno::NOSPC => RetryLater,
        _ => Fatal,
    }
}

#[cfg(test)]
#[path = "errno_tests.rs"]
mod tests;
