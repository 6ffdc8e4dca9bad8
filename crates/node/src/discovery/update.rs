//! Endpoint updates as discovery sends them: the decoder of its JSON.

use std::net::SocketAddr;

use kitefork_balancer::EndpointState;
use kitefork_settings::json::{ConfigError, Document, JsonValue};

/// The entry of one backend in an update.
#[derive(Debug, Clone)]
pub struct ListedEndpoint {
    /// The backend's name (key `uid`), which is never reused.
    pub uid: String,
    /// The address on which the backend listens (key `endpoint`); `None` only if the backend is not
    /// ready.
    pub address: Option<SocketAddr>,
    /// Availability zone of the backend (key `az`); empty if the key is absent.
    pub zone: String,
    /// Kind of machine of the backend (key `model`); empty if the key is absent.
    pub kind: String,
    /// Cell of the backend (key `pod_group`); 0 if the key is absent.
    pub cell: u16,
    /// Whether the backend is ready, draining or removed (key `state`).
    pub state: EndpointState,
    /// Capacity of the backend relative to others (key `capacity_hint`); 1 if the key is absent.
    pub weight: f32,
    /// When the backend started, in Unix milliseconds by its own clock; 0 if unknown.
    pub boot_ms: u64,
}

/// One object that discovery sends: changes of the endpoint list, or the whole list.
#[derive(Debug, Clone, Default)]
pub struct EndpointUpdate {
    /// The revision of the list after this update.
    pub revision: u64,
    /// Whether `entries` is the whole list: backends missing from it have been removed.
    pub all: bool,
    /// The changed backends, or all backends of the whole list.
    pub entries: Vec<ListedEndpoint>,
}

impl EndpointUpdate {
    /// Parses the JSON text of one update.
    ///
    /// # Errors
    ///
    /// If the text is not JSON, or a key is missing or invalid; the whole update is rejected then.
    pub fn parse(text: &[u8]) -> Result<EndpointUpdate, ConfigError> {
        EndpointUpdate::read(&Document::parse(text)?.root())
    }

    /// Reads an update from JSON that is parsed already, such as the cached list.
    ///
    /// # Errors
    ///
    /// If a key is missing or invalid.
    pub fn read(root: &JsonValue) -> Result<EndpointUpdate, ConfigError> {
        let entries = root.get("targets")?.array()?;
        Ok(EndpointUpdate {
            revision: root.get("rev")?.integer()?,
            all: root.get("all")?.boolean()?,
            entries: entries
                .iter()
                .map(ListedEndpoint::read)
                .collect::<Result<_, _>>()?,
        })
    }
}

impl ListedEndpoint {
    fn read(value: &JsonValue) -> Result<ListedEndpoint, ConfigError> {
        let state_value = value.get("state")?;
        let state = match state_value.string()? {
            "Ready" => EndpointState::Ready,
            "Terminating" => EndpointState::Draining,
            "Gone" => EndpointState::Removed,
            _ => return Err(state_value.invalid("must be `Ready`, `Terminating` or `Gone`")),
        };
        let address = value
            .find("endpoint")
            .map(|endpoint| {
                endpoint
                    .string()?
                    .parse()
                    .map_err(|_| endpoint.invalid("must be an IP address with a port"))
            })
            .transpose()?;
        if address.is_none() && state == EndpointState::Ready {
            return Err(value.invalid("a ready backend needs an `endpoint`"));
        }
        Ok(ListedEndpoint {
            uid: value.get("uid")?.string()?.to_string(),
            address,
            zone: value.get_or("az", "", JsonValue::string)?.to_string(),
            kind: value.get_or("model", "", JsonValue::string)?.to_string(),
            cell: value.get_or("pod_group", 0, JsonValue::small_integer)?,
            state,
            weight: value.get_or("capacity_hint", 1.0, JsonValue::number)? as f32,
            boot_ms: value.get_or("boot_ms", 0, JsonValue::integer)?,
        })
    }
}

#[cfg(test)]
#[path = "update_tests.rs"]
mod tests;
