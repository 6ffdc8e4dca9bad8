//! The link between a stand-in server and the nodes: a listener whose connections can be cut, reset
//! and refused while the run goes on.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::time::Sleep;

use crate::locked;

/// Connections that may wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1024;
/// A port that is still listened on is tried again after this.
const LISTEN_RETRY: Duration = Duration::from_millis(5);

/// What a link does with bytes and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Health {
    /// Bytes pass.
    #[default]
    Healthy,
    /// No bytes pass, either way; what was written arrives when the cut is over, as TCP sends
    /// again what was not acknowledged.
    Cut,
    /// Bytes from the node pass, bytes to it do not.
    CutOut,
    /// New connections are refused.
    Refused,
}

/// How the stand-in's bytes are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum WriteBehaviour {
    /// As they are.
    #[default]
    Unchanged,
    /// All of them twice, the second time right behind the first.
    Duplicated,
    /// A few bytes at a time, with a pause behind each.
    InPieces,
}

/// Bytes of a piece.
const PIECE_BYTES: usize = 7;
/// Pause behind a piece.
const PIECE_PAUSE: Duration = Duration::from_millis(1);

/// The tasks that wait to read from and to write to a connection.
#[derive(Debug, Default)]
struct ConnectionWakers {
    read: Option<Waker>,
    write: Option<Waker>,
}

/// A direction of a connection, as the stand-in sees it.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    Read,
    Write,
}

/// One link; all its connections share its health.
#[derive(Debug, Default)]
pub struct Link {
    health: Mutex<Health>,
    write_behaviour: Mutex<WriteBehaviour>,
    /// The tasks that wait, by number of the connection.
    wakers: Mutex<BTreeMap<usize, ConnectionWakers>>,
    health_changed: Notify,
    /// Resets so far; each strikes the connections that were open.
    resets: AtomicU64,
    open_connections: AtomicUsize,
    accepted: AtomicUsize,
}

impl Link {
    /// Changes the health, for open connections too.
    pub fn set(&self, health: Health) {
        *locked(&self.health) = health;
        self.health_changed.notify_one();
        self.wake_all();
    }

    /// Changes how the stand-in's bytes are written, on open connections too.
    pub fn set_write_behaviour(&self, behaviour: WriteBehaviour) {
        *locked(&self.write_behaviour) = behaviour;
    }

    /// Resets all connections that are open.
    pub fn reset(&self) {
        self.resets.fetch_add(1, Ordering::SeqCst);
        self.wake_all();
    }

    fn wake_all(&self) {
        let wakers = std::mem::take(&mut *locked(&self.wakers));
        wakers
            .into_values()
            .flat_map(|connection| [connection.read, connection.write])
            .flatten()
            .for_each(Waker::wake);
    }

    /// Connections open now.
    pub fn open_connections(&self) -> usize {
        self.open_connections.load(Ordering::SeqCst)
    }

    /// Connections accepted since the start.
    pub fn accepted(&self) -> usize {
        self.accepted.load(Ordering::SeqCst)
    }

    /// Whether the stand-in's bytes reach the node.
    pub fn delivers_to_node(&self) -> bool {
        !matches!(self.health(), Health::Cut | Health::CutOut)
    }

    fn health(&self) -> Health {
        *locked(&self.health)
    }

    /// Listens on a port of its own; each connection is handed to `serve`.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    ///
    /// # Panics
    ///
    /// Outside of a Tokio runtime.
    pub async fn listen(
        self: Arc<Self>,
        on_connection: impl Fn(LinkedStream) + Send + 'static,
    ) -> io::Result<(SocketAddr, tokio::task::JoinHandle<()>)> {
        // An address of its own: ports of 127.0.0.1 are given to connections, also while a link
        // refuses, and one that connects to its own port would even reach itself.
        let port = Port::reserve("127.1.0.1:0".parse().expect("an address"))?;
        let address = port.address;
        let listener = port.listen()?;
        let task = tokio::spawn(self.accept_connections(port, listener, on_connection));
        Ok((address, task))
    }

    async fn accept_connections(
        self: Arc<Self>,
        port: Port,
        listener: TcpListener,
        on_connection: impl Fn(LinkedStream),
    ) {
        let mut open_listener = Some(listener);
        loop {
            if self.health() == Health::Refused {
                // Without a listener the kernel refuses connections; the port stays reserved.
                open_listener = None;
                self.health_changed.notified().await;
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
                () = self.health_changed.notified() => {}
            }
            open_listener = Some(listener);
        }
    }

    fn wrap_stream(self: Arc<Self>, stream: TcpStream) -> LinkedStream {
        let _ = stream.set_nodelay(true);
        self.open_connections.fetch_add(1, Ordering::SeqCst);
        let connection_number = self.accepted.fetch_add(1, Ordering::SeqCst);
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

/// A port that belongs to one link for good. A socket that is bound and never listens holds it:
/// closing the listener and binding anew would lose it to others whenever a process is being
/// started, which holds a copy of the listener until it has become its program.
struct Port {
    address: SocketAddr,
    _reserving_socket: TcpSocket,
}

impl Port {
    /// Reserves a port; port 0 of the address means any that is free.
    fn reserve(address: SocketAddr) -> io::Result<Port> {
        let reserving_socket = bind(address)?;
        Ok(Port {
            address: reserving_socket.local_addr()?,
            _reserving_socket: reserving_socket,
        })
    }

    /// A listener on the port. Fails while another one is open.
    fn listen(&self) -> io::Result<TcpListener> {
        bind(self.address)?.listen(ACCEPT_BACKLOG)
    }

    /// A listener on the port, as soon as no other one is open: a process that is being started may
    /// still hold the one from before.
    async fn listen_when_free(&self) -> TcpListener {
        loop {
            if let Ok(listener) = self.listen() {
                return listener;
            }
            tokio::time::sleep(LISTEN_RETRY).await;
        }
    }
}

fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    // Sockets that have this set may share a port as long as one of them listens at most.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// A connection over a link.
pub struct LinkedStream {
    stream: TcpStream,
    link: Arc<Link>,
    connection_number: usize,
    /// Resets of the link before this connection was accepted.
    resets_before: u64,
    /// The pause behind the last piece.
    pause: Option<Pin<Box<Sleep>>>,
}

impl Drop for LinkedStream {
    fn drop(&mut self) {
        locked(&self.link.wakers).remove(&self.connection_number);
        self.link.open_connections.fetch_sub(1, Ordering::SeqCst);
    }
}

impl LinkedStream {
    /// Whether bytes pass now; if they don't, the task is woken when that may have changed.
    fn poll_permitted(&self, context: &Context<'_>, direction: Direction) -> Poll<io::Result<()>> {
        // Registered before the health is read, so that a change in between is not missed.
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
        match self.link.health() {
            Health::Cut => Poll::Pending,
            Health::CutOut if direction == Direction::Write => Poll::Pending,
            Health::Healthy | Health::CutOut | Health::Refused => Poll::Ready(Ok(())),
        }
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

#[cfg(test)]
#[path = "link_tests.rs"]
mod tests;
