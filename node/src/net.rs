//! Sockets: non-blocking, closed on exec, without Nagle's delay.

use std::net::SocketAddr;
use std::os::fd::OwnedFd;

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::Errno;
use rustix::net::{
    AddressFamily, SocketFlags, SocketType, accept_with, bind, connect, listen, socket_with, sockopt,
};

const FLAGS: SocketFlags = SocketFlags::NONBLOCK.union(SocketFlags::CLOEXEC);

/// Clients that the kernel lets wait to be accepted.
pub const QUEUE: i32 = 1024;

fn stream(address: SocketAddr) -> Result<OwnedFd, Errno> {
    let family = if address.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    socket_with(family, SocketType::STREAM, FLAGS, None)
}

pub fn listener(address: SocketAddr) -> Result<OwnedFd, Errno> {
    let socket = stream(address)?;
    // A node that starts again must not wait for the old one's connections to fade.
    sockopt::set_socket_reuseaddr(&socket, true)?;
    bind(&socket, &address)?;
    listen(&socket, QUEUE)?;
    Ok(socket)
}

/// The next client; `None` when there is none.
pub fn accept(listener: &OwnedFd) -> Result<Option<OwnedFd>, Errno> {
    loop {
        match accept_with(listener, FLAGS) {
            Ok(socket) => {
                // One that its client has reset meanwhile is no failure of ours; reading it will tell.
                let _ = sockopt::set_tcp_nodelay(&socket, true);
                return Ok(Some(socket));
            }
            Err(Errno::AGAIN) => return Ok(None),
            // A client that left while it waited is no reason to stop.
            Err(Errno::INTR | Errno::CONNABORTED) => {}
            Err(error) => return Err(error),
        }
    }
}

/// Whether the other side has ended its sending or reset the connection, whatever still lies unread.
pub fn has_left(socket: &OwnedFd) -> bool {
    is_now(socket, PollFlags::RDHUP)
}

/// Whether a client waits to be accepted.
pub fn has_client(listener: &OwnedFd) -> bool {
    is_now(listener, PollFlags::IN)
}

/// Whether any of these, an error or an end is to be seen on a socket, without waiting for it.
fn is_now(socket: &OwnedFd, wanted: PollFlags) -> bool {
    let mut look = [PollFd::new(socket, wanted)];
    let none = Timespec { tv_sec: 0, tv_nsec: 0 };
    let found = poll(&mut look, Some(&none));
    found.is_ok() && look[0].revents().intersects(wanted | PollFlags::HUP | PollFlags::ERR)
}

/// Starts a connection; it is up once the socket can be written to.
pub fn dial(address: SocketAddr) -> Result<OwnedFd, Errno> {
    let socket = stream(address)?;
    sockopt::set_tcp_nodelay(&socket, true)?;
    match connect(&socket, &address) {
        Ok(()) | Err(Errno::INPROGRESS) => Ok(socket),
        Err(error) => Err(error),
    }
}
