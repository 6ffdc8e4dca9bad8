//! A link: passes bytes between a node and a backend in both directions, each with the same delay.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

/// Starts a link to `target` and returns its address.
///
/// # Errors
///
/// Those of binding a socket.
pub fn start(target: SocketAddr, one_way: Duration) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(target) else {
                continue;
            };
            let _ = near.set_nodelay(true);
            let _ = far.set_nodelay(true);
            if let (Ok(near_in), Ok(far_in)) = (near.try_clone(), far.try_clone()) {
                pass(near_in, far, one_way);
                pass(far_in, near, one_way);
            }
        }
    });
    Ok(address)
}

/// Passes all bytes from one stream to the other, and then the end of the stream.
fn pass(mut from: TcpStream, mut to: TcpStream, delay: Duration) {
    let (sender, receiver) = mpsc::channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        let mut buffer = [0; 16 * 1024];
        loop {
            let count = from.read(&mut buffer).unwrap_or(0);
            let piece = (Instant::now() + delay, buffer[..count].to_vec());
            if sender.send(piece).is_err() || count == 0 {
                return;
            }
        }
    });
    thread::spawn(move || {
        for (due, bytes) in receiver {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if bytes.is_empty() || to.write_all(&bytes).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    });
}
