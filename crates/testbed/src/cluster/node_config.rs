//! Configuration of a node, in the platform's JSON format.

use std::io;

use kitefork_standin::clients::Idempotency;
use kitefork_standin::discovery::Endpoint;
use kitefork_standin::locked;
use serde_json::{Value, json};

use super::{
    ANSWER_SLACK, Cluster, DRAIN_GRACE, KEY_WINDOW, OVERLOAD_DURATION, OVERLOAD_MULTIPLE, zone,
};
use crate::config_file::ConfigFile;
use crate::scenario::{Class, Known};

/// Multiplier of the run's seed. The product plus a node's number is the node's seed, so that runs
/// with different seeds share no node seeds.
const NODE_SEED_MULTIPLIER: u64 = 7_919;
/// Number of endpoints, out of each ten, that have the uid of a former backend in a stale list.
const STALE_TENTHS: usize = 3;

impl Cluster {
    /// Writes the configurations for the first start of all nodes.
    pub(super) fn write_initial_configs(&self) -> io::Result<()> {
        let endpoints = self.initial_list();
        for number in 0..self.nodes.len() {
            let config = self.node_config(number, &endpoints);
            self.write_config(number, config)?;
        }
        Ok(())
    }

    /// Writes the configuration of a node. Its lock is not held meanwhile; see [`ConfigFile`].
    pub(super) fn write_config(&self, number: usize, config: Value) -> io::Result<()> {
        let address = locked(&self.nodes[number]).address();
        self.config_file(number).write(config, address)
    }

    /// The configuration file of a node.
    pub(super) fn config_file(&self, number: usize) -> ConfigFile {
        locked(&self.nodes[number]).config_file().clone()
    }

    /// Endpoint list that nodes are given at their first start.
    fn initial_list(&self) -> Vec<Endpoint> {
        match self.scenario.fleet.known {
            Known::Empty => Vec::new(),
            Known::Current => self.endpoints.clone(),
            Known::Stale => self
                .endpoints
                .iter()
                .enumerate()
                .map(stale_endpoint)
                .collect(),
        }
    }

    /// Configuration of a node that is given this endpoint list.
    pub(super) fn node_config(&self, number: usize, endpoints: &[Endpoint]) -> Value {
        let scenario = &self.scenario;
        let seed = scenario
            .seed
            .wrapping_mul(NODE_SEED_MULTIPLIER)
            .wrapping_add(number as u64);
        let targets: Vec<Value> = endpoints.iter().map(Endpoint::to_json).collect();
        json!({
            "name": format!("n{number}"),
            "discovery": self.discovery_addresses[number].to_string(),
            "seed": format!("{seed:016x}"),
            "limits": {"sockets": scenario.fleet.sockets, "memory_mb": 64},
            "known": {"rev": 0, "all": true, "targets": targets},
            "settings": self.settings(number),
        })
    }

    fn settings(&self, number: usize) -> Value {
        let fleet = &self.scenario.fleet;
        let zones: Vec<String> = (0..fleet.zones).map(|zone| format!("z{zone}")).collect();
        let membership_mode = if self.scenario.discovery.pushed {
            "automatic"
        } else {
            "subscribe"
        };
        json!({
            "azs": zones,
            "kinds": ["m"],
            "membershipMode": membership_mode,
            "tickNs": 1_000_000,
            "me": number,
            "zone": zone(&self.scenario, number),
            "siblings": fleet.proxy_count.unwrap_or(fleet.nodes),
            "grades": self.all_class_settings(),
            "tenants": [{"name": "acme", "quotaPerS": 1e9}],
            "limits": {
                "cancel": true,
                "maxAttempts": 5,
                "maxRetryAfterNs": 500_000_000,
                "connectTimeoutNs": 100_000_000,
                "connIdleNs": 10_000_000_000u64,
            },
            "rules": self.platform_rules(),
        })
    }

    fn all_class_settings(&self) -> Vec<Value> {
        let classes = &self.scenario.traffic.class;
        if classes.is_empty() {
            // The node requires at least one class, even if there is no traffic.
            return vec![class_settings(&Class {
                name: "check".into(),
                idempotency: Idempotency::Idempotent,
                share: 1.0,
                latency_objective_ms: 300.0,
                client_timeout_ms: 1_000.0,
                priority_weight: 1.0,
            })];
        }
        classes.iter().map(class_settings).collect()
    }

    fn platform_rules(&self) -> Value {
        let backend = &self.scenario.backend;
        json!({
            "coldFrom": backend.slow_start_from,
            "coldNs": nanoseconds_from_millis(backend.slow_start_s * 1e3).max(1),
            "drainGraceNs": DRAIN_GRACE.as_nanos() as u64,
            "fallNs": OVERLOAD_DURATION.as_nanos() as u64,
            "tipMultiple": OVERLOAD_MULTIPLE,
            "answerSlackNs": ANSWER_SLACK.as_nanos() as u64,
            "askWithinNs": 10_000_000_000u64,
        })
    }
}

/// Endpoint as a stale list has it. Some endpoints get the uid of a former backend: its address now
/// belongs to a current backend.
fn stale_endpoint((number, endpoint): (usize, &Endpoint)) -> Endpoint {
    let mut stale = endpoint.clone();
    if number % 10 < STALE_TENTHS {
        stale.uid = format!("old-{number:04}");
    }
    stale
}

/// Settings of a class in the platform's format.
fn class_settings(class: &Class) -> Value {
    let idempotency = match class.idempotency {
        Idempotency::Idempotent => "repeatable",
        Idempotency::IdempotencyKey => "by_key",
        Idempotency::NotIdempotent => "once",
    };
    json!({
        "name": class.name,
        "effect": idempotency,
        "keyScope": "cell",
        "windowNs": KEY_WINDOW.as_nanos() as u64,
        "goalTimeNs": nanoseconds_from_millis(class.latency_objective_ms),
        "giveUpNs": nanoseconds_from_millis(class.client_timeout_ms),
        "importance": class.priority_weight,
    })
}

fn nanoseconds_from_millis(ms: f64) -> u64 {
    (ms * 1e6) as u64
}
