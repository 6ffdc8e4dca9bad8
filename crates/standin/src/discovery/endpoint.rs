//! Endpoints and their changes.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{Value, json};

/// State of an endpoint on the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes requests.
    Ready,
    /// It finishes its work and takes nothing new.
    Draining,
    /// It is no longer on the list.
    Removed,
}

impl EndpointState {
    /// The protocol's word.
    fn wire_name(self) -> &'static str {
        match self {
            EndpointState::Ready => "Ready",
            EndpointState::Draining => "Terminating",
            EndpointState::Removed => "Gone",
        }
    }
}

/// A backend as the endpoint list has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Name of the backend, the same at every node and over restarts.
    pub uid: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its cell.
    pub cell: u16,
    /// Its state.
    pub state: EndpointState,
    /// Unix time of its last start in milliseconds; 0: long ago.
    pub boot_ms: u64,
}

impl Endpoint {
    /// As the protocol writes it.
    pub fn json(&self) -> Value {
        json!({
            "uid": self.uid,
            "endpoint": self.address.to_string(),
            "az": self.zone,
            "model": "m",
            "pod_group": self.cell,
            "state": self.state.wire_name(),
            "capacity_hint": 1.0,
            "boot_ms": self.boot_ms,
        })
    }
}

/// A change of one endpoint.
#[derive(Clone, Debug)]
pub struct EndpointChange {
    /// The revision that it made.
    pub revision: u64,
    /// When it was published.
    pub at: Duration,
    /// The endpoint after it.
    pub endpoint: Endpoint,
}
