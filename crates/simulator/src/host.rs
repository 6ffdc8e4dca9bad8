//! Hosts balancers.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};

use kitefork_balancer::Balancer;
use kitefork_settings::json::Document;
use thiserror::Error;

use crate::frame::{FrameError, HEADER, Header, Lists, Message, Reply, decode};

#[derive(Debug, Error)]
pub enum HostError {
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error("batch {batch}, offset {offset}: the input ends within a frame")]
    Truncated { batch: u32, offset: usize },
    #[error(transparent)]
    Io(#[from] io::Error),
}

#[derive(Default)]
struct Host {
    balancers: BTreeMap<u16, Balancer>,
    lists: Lists,
}

impl Host {
    /// Answers one batch.
    fn answer(&mut self, header: &Header, body: &[u8]) -> Result<Vec<u8>, FrameError> {
        let mut reply = Reply::default();
        let mut actions = Vec::new();
        for (node, message) in decode(header, body, &mut self.lists)? {
            match message {
                Message::Start { seed, settings } => match start(&settings, seed, header.now) {
                    Ok(balancer) => {
                        self.balancers.insert(node, balancer);
                    }
                    Err(why) => reply.fault(node, &why),
                },
                Message::Stop => {
                    self.balancers.remove(&node);
                }
                Message::Event(event) => {
                    if let Some(balancer) = self.balancers.get_mut(&node) {
                        balancer.handle(header.now, event, &mut actions);
                    }
                }
            }
            for action in actions.drain(..) {
                reply.push(node, &action);
            }
        }
        Ok(reply.finish(header.batch))
    }
}

fn start(settings: &[u8], seed: u64, now: u64) -> Result<Balancer, String> {
    let parsed = Document::parse(settings).and_then(|tree| kitefork_settings::read(&tree.root()));
    let settings = parsed.map_err(|e| format!("settings: {e}"))?.settings;
    Balancer::new(settings, seed, now).map_err(|e| e.to_string())
}

/// Fills `buffer`; tells how much was read before the input ended.
fn fill(input: &mut impl Read, buffer: &mut [u8]) -> io::Result<usize> {
    let mut read = 0;
    while read < buffer.len() {
        match input.read(&mut buffer[read..]) {
            Ok(0) => break,
            Ok(n) => read += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(read)
}

pub fn run(mut input: impl Read, mut output: impl Write) -> Result<(), HostError> {
    let mut host = Host::default();
    let mut last_batch = 0;
    let mut body = Vec::new();
    loop {
        let mut bytes = [0; HEADER];
        match fill(&mut input, &mut bytes)? {
            0 => return Ok(()),
            HEADER => {}
            offset => {
                return Err(HostError::Truncated {
                    batch: last_batch,
                    offset,
                });
            }
        }
        let header = Header::read(&bytes);
        last_batch = header.batch;
        body.clear();
        let read = (&mut input)
            .take(u64::from(header.length))
            .read_to_end(&mut body)?;
        if read < header.length as usize {
            return Err(HostError::Truncated {
                batch: header.batch,
                offset: HEADER + read,
            });
        }
        output.write_all(&host.answer(&header, &body)?)?;
        output.flush()?;
    }
}

#[cfg(test)]
#[path = "host_tests.rs"]
mod tests;
