//! Expands the steps of a scenario into events on discovery, single nodes or single backends.

use std::time::Duration;

use super::zone;
use crate::scenario::{Action, Scenario, Step, Target, duration_from_secs};

/// One action on discovery or on one node or backend.
#[derive(Clone, Debug)]
pub(super) struct Event {
    /// Time after the start of the run at which the action is applied.
    pub at: Duration,
    /// Action that is applied to discovery, or to the node or backend `number`.
    pub action: Action,
    /// Number of the node or backend; 0 for discovery.
    pub number: usize,
    /// Fraction of the full speed at which a backend serves, for [`Action::BackendWorks`].
    pub size: f64,
}

/// All events of a scenario in order of time.
pub(super) fn events(scenario: &Scenario) -> Vec<Event> {
    let mut events: Vec<Event> = scenario
        .at
        .iter()
        .flat_map(|step| step_events(scenario, step))
        .collect();
    events.sort_by_key(|event| event.at);
    events
}

fn step_events(scenario: &Scenario, step: &Step) -> Vec<Event> {
    let count = match step.action.target() {
        Target::Nodes => scenario.fleet.nodes,
        Target::Discovery => 1,
        Target::Backends => scenario.fleet.backends,
    };
    let [from, to] = step.part.map(|end| (end * count as f64).round() as usize);
    let in_zone = |number: &usize| {
        step.zone
            .is_none_or(|step_zone| zone(scenario, *number) == step_zone)
    };
    let numbers: Vec<usize> = (from..to).filter(in_zone).collect();
    let event = |(index, number): (usize, &usize)| {
        let delay_s = step.over_s * index as f64 / numbers.len() as f64;
        Event {
            at: duration_from_secs(step.at_s + delay_s),
            action: step.action,
            number: *number,
            size: step.size,
        }
    };
    numbers.iter().enumerate().map(event).collect()
}
