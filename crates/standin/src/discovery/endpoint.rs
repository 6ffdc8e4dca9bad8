//! Endpoints of the endpoint list, and their changes.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{Value, json};

/// Whether a backend is on the endpoint list, and whether it accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// The backend accepts requests.
    Ready,
    /// The backend finishes its requests and accepts no new ones.
    Draining,
    /// The backend is no longer on the list.
    Removed,
}

impl EndpointState {
    /// The state as the discovery protocol spells it.
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
    /// Address that the backend listens on, the same over restarts.
    pub address: SocketAddr,
    /// Zone of the backend; `az` in the protocol.
    pub zone: String,
    /// Cell of the backend; `pod_group` in the protocol.
    pub cell: u16,
    /// Whether the backend is ready, draining or removed from the list.
    pub state: EndpointState,
    /// Unix time of the backend's last start in milliseconds; 0 means long ago.
    pub boot_ms: u64,
}

impl Endpoint {
    /// The endpoint as a JSON object of the discovery protocol.
    pub fn to_json(&self) -> Value {
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

/// An endpoint that was added, replaced or removed at a revision of the list.
#[derive(Clone, Debug)]
pub struct EndpointChange {
    /// The revision of the list that the change created.
    pub revision: u64,
    /// When the change was made on the list.
    pub published_at: Duration,
    /// The endpoint after the change; its state is [`EndpointState::Removed`] if the change removed
    /// the endpoint.
    pub endpoint: Endpoint,
}
