//! Builders shared by the unit tests of several modules.

use crate::concurrency_limiter::BackendLoad;
use crate::endpoint_list::{EndpointList, EndpointRecord};
use crate::event::{Endpoint, EndpointState, Request, UpdateKind};
use crate::ids::{BackendId, ClassId, Nanos, RequestId};
use crate::optimal_split::PickWeights;
use crate::request_table::PendingRequest;
use crate::settings::{Class, Idempotency, Settings};
use crate::slow_start::SlowStartTokens;

pub(crate) const MS: Nanos = 1_000_000;

/// A ready endpoint, whose hash is its id.
pub(crate) fn endpoint(id: u32) -> Endpoint {
    let state = EndpointState::Ready;
    Endpoint {
        id: BackendId(id),
        hash: u64::from(id),
        state,
        ..Endpoint::default()
    }
}

/// The record of a new backend, of which only its entry is known.
pub(crate) fn record(endpoint: Endpoint) -> EndpointRecord {
    let weights = PickWeights::default();
    EndpointRecord::new(
        endpoint,
        BackendLoad::new(1.0),
        SlowStartTokens::default(),
        weights,
    )
}

/// A list of `count` ready endpoints with ids from 0.
pub(crate) fn endpoints(count: u32) -> EndpointList {
    let mut list = EndpointList::default();
    list.apply(UpdateKind::Full, (0..count).map(endpoint).collect(), record);
    list
}

/// Settings with one class, whose latency objective is 300 ms and whose client timeout is 1 s.
pub(crate) fn settings(idempotency: Idempotency) -> Settings {
    let class = Class {
        latency_objective: 300 * MS,
        client_timeout: 1_000 * MS,
        priority_weight: 1.0,
        idempotency,
        ..Class::default()
    };
    Settings {
        classes: vec![class],
        ..Settings::default()
    }
}

/// A request of a class, with the client timeout of `settings`.
pub(crate) fn request(id: u32, class: u16) -> Request {
    let client_timeout = 1_000 * MS;
    Request {
        id: RequestId(id),
        class: ClassId(class),
        client_timeout,
        ..Request::default()
    }
}

/// A pending request of the first class without attempts, received at 0.
pub(crate) fn pending(id: u32) -> PendingRequest {
    PendingRequest {
        request: request(id, 0),
        deadline: 1_000 * MS,
        objective_at: 300 * MS,
        attempts: Vec::new(),
        finished: false,
        streaming: false,
        position: crate::admission_queue::QueuePosition::default(),
        admission_cost: crate::admission_rate::AdmissionCost::MAY_USE_RESERVE,
    }
}
