//! The link between a stand-in server and the nodes: a listener whose connections can be cut, reset
//! and refused during a run.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use rustix::net::SendFlags;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::time::Sleep;

use crate::locked;

/// Backlog of the listener: connections that may wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1024;
/// Delay before the link tries again to listen on a port that still has a listener.
const LISTEN_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Whether a link passes bytes and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum LinkState {
    /// Bytes pass in both directions, and connections are accepted.
    #[default]
    Healthy,
    /// No bytes pass in either direction. What was written arrives when the cut is over, as with
    /// TCP, which retransmits what was not acknowledged.
    Cut,
    /// Bytes from the node pass; bytes to the node arrive when the cut is over.
    OutboundCut,
    /// New connections are refused (`ECONNREFUSED`); bytes pass on open ones.
    Refused,
}

/// How the bytes that the stand-in writes are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum WriteBehaviour {
    /// The bytes are sent as written.
    #[default]
    Unchanged,
    /// The bytes of each write are sent twice in a row.
    Duplicated,
    /// The bytes of each write are sent again some milliseconds later, even if the node has sent a
    /// further request by then.
    DuplicatedLate,
    /// The bytes are sent in pieces of a few bytes, with a pause after each piece.
    InPieces,
    /// In every few writes, the `Content-Length` is replaced by one that is too short for the body.
    ShortLengths,
}

/// Maximum lateness of the copy for [`WriteBehaviour::DuplicatedLate`], in milliseconds; copies are
/// 1 ms, 2 ms, ... late in turn.
const MAX_COPY_LATENESS_MS: usize = 5;
/// Maximum length of a piece for [`WriteBehaviour::InPieces`], in bytes.
const PIECE_BYTES: usize = 7;
/// Pause after each piece for [`WriteBehaviour::InPieces`].
const PIECE_PAUSE: Duration = Duration::from_millis(1);

/// With [`WriteBehaviour::ShortLengths`], one in so many writes has a wrong length.
const SHORT_LENGTH_INTERVAL: usize = 5;
/// Difference between the length of a body and the wrong `Content-Length`, in bytes.
const MISSING_BYTES: usize = 3;

/// Wakers of the tasks that last polled a connection for reading and for writing.
#[derive(Debug, Default)]
struct ConnectionWakers {
    read: Option<Waker>,
    write: Option<Waker>,
}

/// Direction of the bytes, seen from the stand-in.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    Read,
    Write,
}

/// The link between a stand-in server and nodes; its state and write behaviour apply to all its
/// connections.
#[derive(Debug, Default)]
pub struct Link {
    state: Mutex<LinkState>,
    write_behaviour: Mutex<WriteBehaviour>,
    /// Wakers to call when the link changes, by number of the connection.
    wakers: Mutex<BTreeMap<usize, ConnectionWakers>>,
    /// Wakes the accept loop after a change of the state.
    state_changed: Notify,
    /// Number of resets so far. A connection is reset if this number has grown since the link
    /// accepted the connection.
    resets: AtomicU64,
    open_connections: AtomicUsize,
    accepted_connections: AtomicUsize,
    /// Number of copies that [`WriteBehaviour::DuplicatedLate`] has made so far.
    late_copies: AtomicUsize,
    /// Number of writes with [`WriteBehaviour::ShortLengths`] so far.
    writes_with_short_lengths: AtomicUsize,
}

impl Link {
    /// Sets the state, also for connections that are already open.
    pub fn set_state(&self, state: LinkState) {
        *locked(&self.state) = state;
        self.state_changed.notify_one();
        self.wake_all();
    }

    /// Sets how the stand-in's bytes are sent, also on connections that are already open.
    pub fn set_write_behaviour(&self, behaviour: WriteBehaviour) {
        *locked(&self.write_behaviour) = behaviour;
    }

    /// Resets (RST) all connections that are open.
    pub fn reset(&self) {
        self.resets.fetch_add(1, Ordering::SeqCst);
        self.wake_all();
    }

    /// Wakes all waiting tasks, so that they poll their connections again.
    fn wake_all(&self) {
        let wakers = std::mem::take(&mut *locked(&self.wakers));
        wakers
            .into_values()
            .flat_map(|connection| [connection.read, connection.write])
            .flatten()
            .for_each(Waker::wake);
    }

    /// Number of connections that are open now.
    pub fn open_connections(&self) -> usize {
        self.open_connections.load(Ordering::SeqCst)
    }

    /// Number of connections accepted since the link was created.
    pub fn accepted_connections(&self) -> usize {
        self.accepted_connections.load(Ordering::SeqCst)
    }

    /// Whether bytes from the stand-in reach the node now, that is, no cut holds them back.
    pub fn delivers_to_node(&self) -> bool {
        !matches!(self.state(), LinkState::Cut | LinkState::OutboundCut)
    }

    /// The bytes that are sent for `bytes` with [`WriteBehaviour::ShortLengths`]; as many bytes.
    fn shorten_some_lengths(&self, bytes: &[u8]) -> Vec<u8> {
        let number = self
            .writes_with_short_lengths
            .fetch_add(1, Ordering::SeqCst);
        if number.is_multiple_of(SHORT_LENGTH_INTERVAL) {
            with_short_length(bytes)
        } else {
            bytes.to_vec()
        }
    }

    fn state(&self) -> LinkState {
        *locked(&self.state)
    }

    /// Listens on a newly reserved port and hands each connection to `on_connection`. Returns the
    /// address and the task that accepts connections.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    ///
    /// # Panics
    ///
    /// If called outside of a Tokio runtime.
    pub async fn listen(
        self: Arc<Self>,
        on_connection: impl Fn(LinkedStream) + Send + 'static,
    ) -> io::Result<(SocketAddr, tokio::task::JoinHandle<()>)> {
        // Not 127.0.0.1: the kernel gives ports of that address to outgoing connections, also a
        // link's port while the link refuses connections. A connection that is given the very port
        // it connects to would reach itself.
        let port = Port::reserve("127.1.0.1:0".parse().expect("the address is valid"))?;
        let address = port.address;
        let listener = port.listen()?;
        let task = tokio::spawn(self.accept_connections(port, listener, on_connection));
        Ok((address, task))
    }

    /// Accepts connections, and closes the listener while connections are refused.
    async fn accept_connections(
        self: Arc<Self>,
        port: Port,
        listener: TcpListener,
        on_connection: impl Fn(LinkedStream),
    ) {
        let mut open_listener = Some(listener);
        loop {
            if self.state() == LinkState::Refused {
                // Without a listener the kernel refuses connections; `port` stays reserved.
                open_listener = None;
                self.state_changed.notified().await;
                continue;
            }
            let listener = match open_listener.take() {
                Some(listener) => listener,
                None => port.listen_when_free().await,
            };
            tokio::select! {
                accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                    on_connection(self.clone().wrap_stream(stream));
                },
                () = self.state_changed.notified() => {}
            }
            open_listener = Some(listener);
        }
    }

    /// Counts an accepted connection and wraps its stream, so that cuts and resets apply to it.
    fn wrap_stream(self: Arc<Self>, stream: TcpStream) -> LinkedStream {
        let _ = stream.set_nodelay(true);
        self.open_connections.fetch_add(1, Ordering::SeqCst);
        let connection_number = self.accepted_connections.fetch_add(1, Ordering::SeqCst);
        let resets_before = self.resets.load(Ordering::SeqCst);
        LinkedStream {
            stream,
            link: self,
            connection_number,
            resets_before,
            pause: None,
        }
    }
}

/// A port that is reserved for one link by a bound socket that never listens. Without this socket,
/// another socket could get the port while the link has no listener. The link may be without one
/// for some time: a process that is being started holds a copy of the closed listener until `exec`,
/// and the link can't open a new listener until then.
struct Port {
    address: SocketAddr,
    _reserving_socket: TcpSocket,
}

impl Port {
    /// Reserves a port; port 0 of the address means any free port.
    fn reserve(address: SocketAddr) -> io::Result<Port> {
        let reserving_socket = bind(address)?;
        Ok(Port {
            address: reserving_socket.local_addr()?,
            _reserving_socket: reserving_socket,
        })
    }

    /// Opens a listener on the port. Fails while another listener on it is open.
    fn listen(&self) -> io::Result<TcpListener> {
        bind(self.address)?.listen(ACCEPT_BACKLOG)
    }

    /// Opens a listener on the port as soon as no other listener on it is open. A process that is
    /// being started may still hold a copy of the previous listener.
    async fn listen_when_free(&self) -> TcpListener {
        loop {
            if let Ok(listener) = self.listen() {
                return listener;
            }
            tokio::time::sleep(LISTEN_RETRY_DELAY).await;
        }
    }
}

fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    // With SO_REUSEADDR several sockets may share a port, as long as at most one of them listens.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// A connection that was accepted on a link; the link's state and resets apply to it.
pub struct LinkedStream {
    stream: TcpStream,
    link: Arc<Link>,
    connection_number: usize,
    /// Number of resets of the link when this connection was accepted.
    resets_before: u64,
    /// With [`WriteBehaviour::InPieces`], the pause after the latest piece; `None` before the first
    /// piece.
    pause: Option<Pin<Box<Sleep>>>,
}

impl Drop for LinkedStream {
    fn drop(&mut self) {
        locked(&self.link.wakers).remove(&self.connection_number);
        self.link.open_connections.fetch_sub(1, Ordering::SeqCst);
    }
}

impl LinkedStream {
    /// Ready if bytes pass now, an error if the connection has been reset. If bytes don't pass, the
    /// task is woken at the next change of the link.
    fn poll_permitted(&self, context: &Context<'_>, direction: Direction) -> Poll<io::Result<()>> {
        // The waker is registered before resets and state are read, so that no change is missed.
        let mut wakers = locked(&self.link.wakers);
        let connection_wakers = wakers.entry(self.connection_number).or_default();
        let waker = Some(context.waker().clone());
        match direction {
            Direction::Read => connection_wakers.read = waker,
            Direction::Write => connection_wakers.write = waker,
        }
        drop(wakers);
        if self.link.resets.load(Ordering::SeqCst) > self.resets_before {
            let _ = self.stream.set_zero_linger();
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        match self.link.state() {
            LinkState::Cut => Poll::Pending,
            LinkState::OutboundCut if direction == Direction::Write => Poll::Pending,
            LinkState::Healthy | LinkState::OutboundCut | LinkState::Refused => Poll::Ready(Ok(())),
        }
    }
}

impl LinkedStream {
    /// Sends `bytes` on the connection some milliseconds from now, unless it has broken by then.
    fn send_copy_late(&self, bytes: &[u8]) {
        let number = self.link.late_copies.fetch_add(1, Ordering::SeqCst);
        let lateness = Duration::from_millis((1 + number % MAX_COPY_LATENESS_MS) as u64);
        let Ok(socket) = self.stream.as_fd().try_clone_to_owned() else {
            return;
        };
        let bytes = bytes.to_vec();
        tokio::spawn(async move {
            tokio::time::sleep(lateness).await;
            let _ = rustix::net::send(&socket, &bytes, SendFlags::NOSIGNAL);
        });
    }
}

impl AsyncRead for LinkedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        std::task::ready!(self.poll_permitted(context, Direction::Read))?;
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for LinkedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        std::task::ready!(self.poll_permitted(context, Direction::Write))?;
        let behaviour = *locked(&self.link.write_behaviour);
        match behaviour {
            WriteBehaviour::Unchanged => Pin::new(&mut self.stream).poll_write(context, bytes),
            WriteBehaviour::Duplicated => {
                let doubled = [bytes, bytes].concat();
                let written = Pin::new(&mut self.stream).poll_write(context, &doubled);
                written.map_ok(|count| count.min(bytes.len()))
            }
            WriteBehaviour::DuplicatedLate => {
                let written = Pin::new(&mut self.stream).poll_write(context, bytes);
                if let Poll::Ready(Ok(count)) = &written {
                    self.send_copy_late(&bytes[..*count]);
                }
                written
            }
            WriteBehaviour::ShortLengths => {
                let bytes = self.link.shorten_some_lengths(bytes);
                Pin::new(&mut self.stream).poll_write(context, &bytes)
            }
            WriteBehaviour::InPieces => {
                if let Some(pause) = &mut self.pause {
                    std::task::ready!(pause.as_mut().poll(context));
                }
                let piece = &bytes[..bytes.len().min(PIECE_BYTES)];
                let written = Pin::new(&mut self.stream).poll_write(context, piece);
                if written.is_ready() {
                    self.pause = Some(Box::pin(tokio::time::sleep(PIECE_PAUSE)));
                }
                written
            }
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// Replaces the `Content-Length` in `bytes` by one that is [`MISSING_BYTES`] less and has as many
/// digits; returns the bytes unchanged if there is none.
fn with_short_length(bytes: &[u8]) -> Vec<u8> {
    const NAME: &[u8] = b"content-length: ";
    let mut changed = bytes.to_vec();
    let Some(name_at) = bytes
        .windows(NAME.len())
        .position(|window| window.eq_ignore_ascii_case(NAME))
    else {
        return changed;
    };
    let digits_at = name_at + NAME.len();
    let width = bytes[digits_at..]
        .iter()
        .take_while(|byte| byte.is_ascii_digit())
        .count();
    let digits = String::from_utf8_lossy(&bytes[digits_at..digits_at + width]);
    let Ok(length) = digits.parse::<usize>() else {
        return changed;
    };
    let shorter = format!("{:0width$}", length.saturating_sub(MISSING_BYTES));
    changed[digits_at..digits_at + width].copy_from_slice(shorter.as_bytes());
    changed
}

#[cfg(test)]
#[path = "link_tests.rs"]
mod tests;
