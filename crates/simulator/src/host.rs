//! The host: runs many instances of the balancer in one process, and replies to each batch of
//! events with the actions that the balancers decide on.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};

use kitefork_balancer::{Action, Balancer, Nanos, SettingsError};
use kitefork_settings::json::{ConfigError, Document};
use thiserror::Error;

use crate::frame::{
    EndpointLists, FrameError, HEADER_SIZE, Header, InstanceMessage, Message, Reply, decode,
};

/// Why the host stopped before the end of the input.
#[derive(Debug, Error)]
pub enum HostError {
    /// A frame can't be decoded.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The input ends within a frame.
    #[error("batch {batch}, offset {offset}: the input ends within a frame")]
    Truncated {
        /// Sequence number of the batch; if its header is incomplete, that of the previous batch,
        /// or 0 if there was none.
        batch: u32,
        /// Number of bytes of the frame that were read.
        offset: usize,
    },
    /// Input or output failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Why an instance can't start.
#[derive(Debug, Error)]
enum StartError {
    /// The settings can't be read.
    #[error("settings: {0}")]
    Settings(#[from] ConfigError),
    /// The balancer rejects the settings.
    #[error(transparent)]
    Balancer(#[from] SettingsError),
}

/// Replies to batches until the input ends.
///
/// # Errors
///
/// If a frame is truncated or can't be decoded, or if input or output fails.
pub fn run(mut input: impl Read, mut output: impl Write) -> Result<(), HostError> {
    let mut host = Host::default();
    let mut last_batch = 0;
    let mut body = Vec::new();
    while let Some(header) = read_header(&mut input, last_batch)? {
        last_batch = header.batch;
        read_body(&mut input, &header, &mut body)?;
        output.write_all(&host.handle_batch(&header, &body)?)?;
        output.flush()?;
    }
    Ok(())
}

/// Reads the next header; returns `None` at the end of the input. If the input ends within the
/// header, the error names `last_batch`, the previous batch.
fn read_header(input: &mut impl Read, last_batch: u32) -> Result<Option<Header>, HostError> {
    let mut bytes = [0; HEADER_SIZE];
    match read_full(input, &mut bytes)? {
        0 => Ok(None),
        HEADER_SIZE => Ok(Some(Header::read(&bytes))),
        offset => Err(HostError::Truncated {
            batch: last_batch,
            offset,
        }),
    }
}

/// Replaces the content of `body` with the bytes that follow the header; fails if the input ends
/// before `header.body_length` bytes.
fn read_body(input: &mut impl Read, header: &Header, body: &mut Vec<u8>) -> Result<(), HostError> {
    body.clear();
    let read_size = input
        .take(u64::from(header.body_length))
        .read_to_end(body)?;
    if read_size < header.body_length as usize {
        return Err(HostError::Truncated {
            batch: header.batch,
            offset: HEADER_SIZE + read_size,
        });
    }
    Ok(())
}

/// Reads until `buffer` is full or the input ends. Returns the number of bytes that were read. A
/// read that a signal interrupts is repeated.
fn read_full(input: &mut impl Read, buffer: &mut [u8]) -> io::Result<usize> {
    let mut filled = 0;
    while filled < buffer.len() {
        match input.read(&mut buffer[filled..]) {
            Ok(0) => break,
            Ok(count) => filled += count,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(filled)
}

/// The running instances, and the endpoint lists that they share.
#[derive(Default)]
struct Host {
    /// Balancers by the number of their instance.
    balancers: BTreeMap<u16, Balancer>,
    lists: EndpointLists,
}

impl Host {
    /// Handles one batch and returns the encoded reply.
    fn handle_batch(&mut self, header: &Header, body: &[u8]) -> Result<Vec<u8>, FrameError> {
        let mut reply = Reply::default();
        let mut actions = Vec::new();
        for InstanceMessage { instance, message } in decode(header, body, &mut self.lists)? {
            if let Err(error) = self.handle(instance, message, header.now, &mut actions) {
                reply.start_failed(instance, &error.to_string());
            }
            for action in actions.drain(..) {
                reply.push(instance, &action);
            }
        }
        Ok(reply.finish(header.batch))
    }

    /// Starts or stops an instance, or passes an event to it. Events for instances that don't run
    /// are ignored.
    fn handle(
        &mut self,
        instance: u16,
        message: Message,
        now: Nanos,
        actions: &mut Vec<Action>,
    ) -> Result<(), StartError> {
        match message {
            Message::Start { seed, settings } => {
                let balancer = start(&settings, seed, now)?;
                self.balancers.insert(instance, balancer);
            }
            Message::Stop => {
                self.balancers.remove(&instance);
            }
            Message::Event(event) => {
                if let Some(balancer) = self.balancers.get_mut(&instance) {
                    balancer.handle(now, event, actions);
                }
            }
        }
        Ok(())
    }
}

fn start(settings: &[u8], seed: u64, now: Nanos) -> Result<Balancer, StartError> {
    let document = Document::parse(settings)?;
    let deployment = kitefork_settings::read(&document.root())?;
    Ok(Balancer::new(deployment.settings, seed, now)?)
}

#[cfg(test)]
#[path = "host_tests.rs"]
mod tests;
