//! Classification of the errors of socket calls, with one table for each kind of call.
//!
//! Sources: `accept(2)`, `socket(2)`, `connect(2)`, `send(2)`, `recv(2)`, `epoll_ctl(2)`, `tcp(7)`.
//! Errors that a table does not list get the class that the doc comment of its function states.

use rustix::io::Errno;

/// How the caller must handle an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ErrorClass {
    /// The call was interrupted, or the error concerns only the connection that was to be accepted:
    /// call again.
    RetryNow,
    /// The call can't proceed until the socket is ready.
    WouldBlock,
    /// The machine temporarily lacks a resource: call again after a short delay. The error says
    /// nothing about the peer.
    RetryLater,
    /// The process has reached its limit of open descriptors.
    OutOfDescriptors,
    /// This connection is broken, or the peer can't be reached.
    ConnectionLost,
    /// The call itself is invalid, which is a bug in the program.
    Fatal,
}

use ErrorClass::{ConnectionLost, Fatal, OutOfDescriptors, RetryLater, RetryNow, WouldBlock};

/// The class of an error of `accept`; unknown errors are fatal. Linux also returns pending errors
/// of the new connection from `accept`; they concern only that connection, so the next one can be
/// accepted at once.
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

/// The class of an error that `socket` or `connect` returns at once. Unknown errors mean that the
/// peer can't be reached.
pub fn of_connect(error: Errno) -> ErrorClass {
    match error {
        Errno::INTR => RetryNow,
        // The connection attempt of a non-blocking socket continues in the background.
        Errno::INPROGRESS => WouldBlock,
        Errno::MFILE => OutOfDescriptors,
        Errno::NFILE | Errno::NOBUFS | Errno::NOMEM | Errno::ADDRNOTAVAIL | Errno::AGAIN => {
            RetryLater
        }
        // `epoll_ctl` reports ENOSPC at the limit on watched descriptors: a caller that connects a
        // socket and registers it in one step classifies the errors of both calls here.
        Errno::NOSPC => RetryLater,
        // Temporarily no route: a problem of this machine, not of one backend.
        Errno::NETUNREACH | Errno::NETDOWN => RetryLater,
        _ => ConnectionLost,
    }
}

/// The class of an error of `send` or `recv`. Unknown errors end the connection.
pub fn of_transfer(error: Errno) -> ErrorClass {
    match error {
        Errno::INTR => RetryNow,
        Errno::AGAIN => WouldBlock,
        Errno::NOBUFS | Errno::NOMEM => RetryLater,
        _ => ConnectionLost,
    }
}

/// The class of an error of `epoll_ctl`. Unknown errors are fatal.
pub fn of_register(error: Errno) -> ErrorClass {
    match error {
        Errno::NOMEM | Errno::NOSPC => RetryLater,
        _ => Fatal,
    }
}

#[cfg(test)]
#[path = "errno_tests.rs"]
mod tests;
