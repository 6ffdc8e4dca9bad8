//! Sockets: non-blocking, closed on exec, without Nagle's delay.

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

const FLAGS: SocketFlags = SocketFlags::NONBLOCK.union(SocketFlags::CLOEXEC);

/// Clients that the kernel lets wait to be accepted.
pub const ACCEPT_BACKLOG: i32 = 1024;

fn stream(address: SocketAddr) -> Result<OwnedFd, Errno> {
    let family = if address.is_ipv4() {
        AddressFamily::INET
    } else {
        AddressFamily::INET6
    };
    socket_with(family, SocketType::STREAM, FLAGS, None)
}

pub fn listener(address: SocketAddr) -> Result<OwnedFd, Errno> {
    let socket = stream(address)?;
    // A node that starts again must not wait for the old one's connections to fade.
    sockopt::set_socket_reuseaddr(&socket, true)?;
    bind(&socket, &address)?;
    listen(&socket, ACCEPT_BACKLOG)?;
    Ok(socket)
}

/// At the start of the process a call that the machine can't do for a moment is tried this often
/// ...
const START_TRIES: u32 = 50;
/// ... with this pause.
const START_PAUSE: Duration = Duration::from_millis(10);

/// Calls again while the machine lacks something for a moment. Only for the start: it waits.
pub fn retry_at_start<T>(mut call: impl FnMut() -> Result<T, Errno>) -> Result<T, Errno> {
    for _ in 1..START_TRIES {
        match call() {
            Err(error) if errno::of_connect(error) == ErrorClass::RetryLater => {}
            other => return other,
        }
        std::thread::sleep(START_PAUSE);
    }
    call()
}

/// The next client.
pub fn accept(listener: &OwnedFd) -> Result<OwnedFd, Errno> {
    let socket = accept_with(listener, FLAGS)?;
    // One that its client has reset meanwhile is no failure of ours; reading it will tell.
    let _ = sockopt::set_tcp_nodelay(&socket, true);
    Ok(socket)
}

/// Whether the other side has ended its sending or reset the connection, whatever still lies
/// unread. Where that can't be told for a moment: no.
pub fn has_peer_closed(socket: &OwnedFd) -> bool {
    is_ready(socket, PollFlags::RDHUP).unwrap_or(false)
}

/// What lies in a connection that nobody has read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unread {
    /// Bytes.
    Bytes,
    /// Nothing; the other side may still send.
    Nothing,
    /// An end or a reset.
    End,
    /// The machine could not say.
    Unknown,
}

/// Looks what lies in a connection, and leaves it there.
pub fn unread(socket: &OwnedFd) -> Unread {
    loop {
        return match rustix::net::recv(socket, &mut [0], RecvFlags::PEEK) {
            Ok((1.., _)) => Unread::Bytes,
            Ok(_) => Unread::End,
            Err(error) => match errno::of_transfer(error) {
                ErrorClass::RetryNow => continue,
                ErrorClass::WouldBlock => Unread::Nothing,
                ErrorClass::RetryLater => Unread::Unknown,
                _ => Unread::End,
            },
        };
    }
}

/// Whether a client waits to be accepted.
pub fn has_client(listener: &OwnedFd) -> Result<bool, Errno> {
    is_ready(listener, PollFlags::IN)
}

/// Whether any of these, an error or an end is to be seen on a descriptor, without waiting for it.
pub fn is_ready(socket: impl AsFd, wanted: PollFlags) -> Result<bool, Errno> {
    let mut look = [PollFd::new(&socket, wanted)];
    let none = Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    poll(&mut look, Some(&none))?;
    Ok(look[0]
        .revents()
        .intersects(wanted | PollFlags::HUP | PollFlags::ERR))
}

/// Starts a connection; it is up once the socket can be written to.
pub fn dial(address: SocketAddr) -> Result<OwnedFd, Errno> {
    let socket = stream(address)?;
    let _ = sockopt::set_tcp_nodelay(&socket, true);
    match connect(&socket, &address) {
        Ok(()) => Ok(socket),
        // Interrupted, a connection attempt goes on like one that is not awaited.
        Err(error) => match errno::of_connect(error) {
            ErrorClass::WouldBlock | ErrorClass::RetryNow => Ok(socket),
            _ => Err(error),
        },
    }
}

/// The events that the loop is given for a socket.
#[derive(Debug, Default)]
pub struct Registration(Option<EventFlags>);

impl Registration {
    /// What is registered; nothing before the first success.
    pub fn flags(&self) -> EventFlags {
        self.0.unwrap_or(EventFlags::empty())
    }

    /// Registers what is wanted, if anything else is registered.
    ///
    /// # Errors
    ///
    /// What was registered before stays; the machine may lack memory for a moment.
    pub fn set(
        &mut self,
        epoll: &OwnedFd,
        socket: &OwnedFd,
        token: EventData,
        wanted: EventFlags,
    ) -> Result<(), Errno> {
        match self.0 {
            Some(flags) if flags == wanted => return Ok(()),
            Some(_) => epoll::modify(epoll, socket, token, wanted)?,
            None => epoll::add(epoll, socket, token, wanted)?,
        }
        self.0 = Some(wanted);
        Ok(())
    }
}
