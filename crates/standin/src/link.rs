//! The link between a party and those that come to it: a listener whose connections can be cut,
//! reset and refused while the run goes on.

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

/// Connections that wait to be accepted.
const QUEUE: u32 = 1024;
/// A port on which nobody can listen yet is tried again after this.
const LISTEN_RETRY: Duration = Duration::from_millis(5);

/// How a link is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Health {
    /// Bytes pass.
    #[default]
    Sound,
    /// Nothing is said and nothing arrives, either way; what was written comes when the cut is
    /// over, as TCP sends again what was not acknowledged.
    Cut,
    /// What comes in arrives, what goes out does not.
    CutOut,
    /// New connections are refused.
    Refused,
}

/// How what this side says is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum WriteBehaviour {
    /// As it is.
    #[default]
    Unchanged,
    /// All of it twice, the second time right behind the first.
    Duplicated,
    /// A few bytes at a time, with a pause behind each.
    InPieces,
}

/// Bytes of a piece, and the pause behind it.
const PIECE: usize = 7;
const PIECE_PAUSE: Duration = Duration::from_millis(1);

/// One link; all its connections share its health.
#[derive(Debug, Default)]
pub struct Link {
    health: Mutex<Health>,
    behaviour: Mutex<WriteBehaviour>,
    /// For each connection, who waits to read on it and who to write.
    wakers: Mutex<BTreeMap<usize, [Option<Waker>; 2]>>,
    changed: Notify,
    /// Connections older than this are reset.
    resets: AtomicU64,
    open: AtomicUsize,
    accepted: AtomicUsize,
}

impl Link {
    /// Changes how it is doing, for open connections too.
    pub fn set(&self, health: Health) {
        *locked(&self.health) = health;
        self.changed.notify_one();
        self.wake();
    }

    /// Changes how what this side says is written, on open connections too.
    pub fn set_write_behaviour(&self, behaviour: WriteBehaviour) {
        *locked(&self.behaviour) = behaviour;
    }

    /// Resets all connections that are open.
    pub fn reset(&self) {
        self.resets.fetch_add(1, Ordering::SeqCst);
        self.wake();
    }

    fn wake(&self) {
        let wakers = std::mem::take(&mut *locked(&self.wakers));
        wakers
            .into_values()
            .flatten()
            .flatten()
            .for_each(Waker::wake);
    }

    /// Connections open now.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Connections accepted since the start.
    pub fn accepted(&self) -> usize {
        self.accepted.load(Ordering::SeqCst)
    }

    /// What this side says arrives.
    pub fn passes_out(&self) -> bool {
        !matches!(self.health(), Health::Cut | Health::CutOut)
    }

    fn health(&self) -> Health {
        *locked(&self.health)
    }

    /// Listens on a port of its own; each connection is handed to `serve`.
    pub async fn listen(
        self: Arc<Self>,
        serve: impl Fn(LinkedStream) + Send + 'static,
    ) -> io::Result<(SocketAddr, tokio::task::JoinHandle<()>)> {
        // An address of its own: ports of 127.0.0.1 are given to connections, also while a link
        // refuses, and one that connects to its own port would even reach itself.
        let port = Port::reserve("127.1.0.1:0".parse().expect("an address"))?;
        let address = port.address;
        let mut listener = Some(port.listen()?);
        let task = tokio::spawn(async move {
            loop {
                if self.health() == Health::Refused {
                    // Who connects now is refused, as nobody listens; the port stays reserved.
                    listener = None;
                    self.changed.notified().await;
                    continue;
                }
                let bound = match listener.take() {
                    Some(bound) => bound,
                    // A process that is being started may still hold the listener from before.
                    None => match port.listen() {
                        Ok(bound) => bound,
                        Err(_) => {
                            tokio::time::sleep(LISTEN_RETRY).await;
                            continue;
                        }
                    },
                };
                tokio::select! {
                    accepted = bound.accept() => if let Ok((stream, _)) = accepted {
                        let _ = stream.set_nodelay(true);
                        self.open.fetch_add(1, Ordering::SeqCst);
                        let number = self.accepted.fetch_add(1, Ordering::SeqCst);
                        let born = self.resets.load(Ordering::SeqCst);
                        serve(LinkedStream { stream, link: self.clone(), number, born, pause: None });
                    },
                    () = self.changed.notified() => {}
                }
                listener = Some(bound);
            }
        });
        Ok((address, task))
    }
}

/// A port that belongs to one link for good. A socket that is bound and never listens holds it:
/// closing the listener and binding anew would lose it to others whenever a process is being
/// started, which holds a copy of the listener until it has become its program.
struct Port {
    address: SocketAddr,
    _holder: TcpSocket,
}

impl Port {
    /// Reserves a port; port 0 of the address means any that is free.
    fn reserve(address: SocketAddr) -> io::Result<Port> {
        let holder = bind(address)?;
        Ok(Port {
            address: holder.local_addr()?,
            _holder: holder,
        })
    }

    /// A listener on the port. Fails while another one is open.
    fn listen(&self) -> io::Result<TcpListener> {
        bind(self.address)?.listen(QUEUE)
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
    number: usize,
    born: u64,
    /// Behind a piece: until when no other one is written.
    pause: Option<Pin<Box<Sleep>>>,
}

impl Drop for LinkedStream {
    fn drop(&mut self) {
        locked(&self.link.wakers).remove(&self.number);
        self.link.open.fetch_sub(1, Ordering::SeqCst);
    }
}

impl LinkedStream {
    /// Whether bytes pass now; if they don't, the task is woken when that may have changed.
    fn passes(&self, context: &Context<'_>, writes: bool) -> Poll<io::Result<()>> {
        // Kept before the look, so that a change in between is not missed.
        let mut wakers = locked(&self.link.wakers);
        wakers.entry(self.number).or_default()[usize::from(writes)] = Some(context.waker().clone());
        drop(wakers);
        if self.link.resets.load(Ordering::SeqCst) > self.born {
            let _ = self.stream.set_zero_linger();
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        match self.link.health() {
            Health::Cut => Poll::Pending,
            Health::CutOut if writes => Poll::Pending,
            _ => Poll::Ready(Ok(())),
        }
    }
}

impl AsyncRead for LinkedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        std::task::ready!(self.passes(context, false))?;
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for LinkedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        std::task::ready!(self.passes(context, true))?;
        let behaviour = *locked(&self.link.behaviour);
        match behaviour {
            WriteBehaviour::Unchanged => Pin::new(&mut self.stream).poll_write(context, bytes),
            WriteBehaviour::Duplicated => {
                let twice = [bytes, bytes].concat();
                let written = Pin::new(&mut self.stream).poll_write(context, &twice);
                written.map_ok(|count| count.min(bytes.len()))
            }
            WriteBehaviour::InPieces => {
                if let Some(pause) = &mut self.pause {
                    std::task::ready!(pause.as_mut().poll(context));
                }
                let piece = &bytes[..bytes.len().min(PIECE)];
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
