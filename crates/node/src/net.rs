//! Stream sockets: non-blocking, closed on exec, and without Nagle's algorithm.

use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::time::Duration;

use rustix::event::epoll::{self, EventData, EventFlags};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::Errno;
use rustix::net::{
    AddressFamily, RecvFlags, SocketFlags, SocketType, accept_with, bind, connect, listen,
    socket_with, sockopt,
};

use crate::errno::{self, ErrorClass};

/// Flags of every socket: the event loop must never block, and child processes must not inherit
/// sockets.
const SOCKET_FLAGS: SocketFlags = SocketFlags::NONBLOCK.union(SocketFlags::CLOEXEC);

/// Maximum number of connections that the kernel queues until they are accepted.
pub const ACCEPT_BACKLOG: i32 = 1024;

fn stream_socket(address: SocketAddr) -> Result<OwnedFd, Errno> {
    let family = if address.is_ipv4() {
        AddressFamily::INET
    } else {
        AddressFamily::INET6
    };
    socket_with(family, SocketType::STREAM, SOCKET_FLAGS, None)
}

/// Creates a socket that listens on `address`.
///
/// # Errors
///
/// Those of socket(2), setsockopt(2), bind(2) and listen(2).
pub fn listener(address: SocketAddr) -> Result<OwnedFd, Errno> {
    let socket = stream_socket(address)?;
    // A restarted node must not wait until connections of the previous process have left TIME_WAIT.
    sockopt::set_socket_reuseaddr(&socket, true)?;
    bind(&socket, &address)?;
    listen(&socket, ACCEPT_BACKLOG)?;
    Ok(socket)
}

/// Maximum number of attempts of an operation at the start of the process; a shortage that lasts
/// longer than half a second is reported.
const MAX_START_ATTEMPTS: u32 = 50;
/// Pause between two attempts of an operation at the start of the process.
const START_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Repeats an operation while it fails because the machine temporarily lacks a resource. Blocks
/// between attempts, so it is for the start of the process only.
///
/// # Errors
///
/// Any error of `call` that is not a temporary shortage, and the error of the last attempt.
pub fn retry_at_start<T>(mut call: impl FnMut() -> Result<T, Errno>) -> Result<T, Errno> {
    for _ in 1..MAX_START_ATTEMPTS {
        match call() {
            Err(error) if errno::of_connect(error) == ErrorClass::RetryLater => {}
            other => return other,
        }
        std::thread::sleep(START_RETRY_INTERVAL);
    }
    call()
}

/// Accepts the next queued client connection; never waits for one.
///
/// # Errors
///
/// Those of accept(2), including EAGAIN if no connection is queued.
pub fn accept(listener: &OwnedFd) -> Result<OwnedFd, Errno> {
    let socket = accept_with(listener, SOCKET_FLAGS)?;
    // This fails if the client has reset the connection in the meantime, which the first read
    // reports.
    let _ = sockopt::set_tcp_nodelay(&socket, true);
    Ok(socket)
}

/// Whether the peer has shut down its sending side or reset the connection, even if received bytes
/// are still unread. `false` if the kernel temporarily can't tell.
pub fn has_peer_closed(socket: &OwnedFd) -> bool {
    is_ready(socket, PollFlags::RDHUP).unwrap_or(false)
}

/// What can be read from a connection now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unread {
    /// Received bytes.
    Bytes,
    /// Nothing; the peer may still send.
    Nothing,
    /// The end of the stream, or an error such as a reset.
    Closed,
    /// Unknown, as the kernel temporarily lacks resources.
    Unknown,
}

/// Checks what can be read from a connection, without consuming any bytes.
pub fn unread(socket: &OwnedFd) -> Unread {
    loop {
        return match rustix::net::recv(socket, &mut [0], RecvFlags::PEEK) {
            Ok((1.., _)) => Unread::Bytes,
            Ok(_) => Unread::Closed,
            Err(error) => match errno::of_transfer(error) {
                ErrorClass::RetryNow => continue,
                ErrorClass::WouldBlock => Unread::Nothing,
                ErrorClass::RetryLater => Unread::Unknown,
                _ => Unread::Closed,
            },
        };
    }
}

/// Whether a client connection is queued to be accepted.
///
/// # Errors
///
/// Those of poll(2).
pub fn has_pending_connection(listener: &OwnedFd) -> Result<bool, Errno> {
    is_ready(listener, PollFlags::IN)
}

/// Whether a descriptor has any of the events, an error or a hang-up now. Does not block.
///
/// # Errors
///
/// Those of poll(2).
pub fn is_ready(descriptor: impl AsFd, events: PollFlags) -> Result<bool, Errno> {
    const NO_WAIT: Timespec = Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    let mut polled = [PollFd::new(&descriptor, events)];
    poll(&mut polled, Some(&NO_WAIT))?;
    Ok(polled[0]
        .revents()
        .intersects(events | PollFlags::HUP | PollFlags::ERR))
}

/// Starts a connection to `address`; it is established once the socket is writable.
///
/// # Errors
///
/// Those of socket(2) and connect(2), except those that mean that the connection is still being
/// established.
pub fn dial(address: SocketAddr) -> Result<OwnedFd, Errno> {
    let socket = stream_socket(address)?;
    // If this fails, the connection works with a higher latency.
    let _ = sockopt::set_tcp_nodelay(&socket, true);
    match connect(&socket, &address) {
        Ok(()) => Ok(socket),
        // An interrupted connect(2) continues in the background, like a non-blocking one.
        Err(error) => match errno::of_connect(error) {
            ErrorClass::WouldBlock | ErrorClass::RetryNow => Ok(socket),
            _ => Err(error),
        },
    }
}

/// The events for which a socket is registered with epoll.
#[derive(Debug, Default)]
pub struct Registration {
    /// `None` if the socket is not registered yet.
    registered: Option<EventFlags>,
}

impl Registration {
    /// The registered events; empty before the first successful registration.
    pub fn flags(&self) -> EventFlags {
        self.registered.unwrap_or(EventFlags::empty())
    }

    /// Registers the events `interest`, unless exactly these are registered already.
    ///
    /// # Errors
    ///
    /// Those of `epoll_ctl(2)`: the machine may temporarily lack memory. The previous registration
    /// stays in force.
    pub fn set(
        &mut self,
        epoll: &OwnedFd,
        socket: &OwnedFd,
        token: EventData,
        interest: EventFlags,
    ) -> Result<(), Errno> {
        match self.registered {
            Some(flags) if flags == interest => return Ok(()),
            Some(_) => epoll::modify(epoll, socket, token, interest)?,
            None => epoll::add(epoll, socket, token, interest)?,
        }
        self.registered = Some(interest);
        Ok(())
    }
}
