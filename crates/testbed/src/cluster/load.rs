//! Load of a run: well-behaved and misbehaving clients arrive in two Poisson processes, and are
//! sent to nodes that the front has admitted.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kitefork_standin::clients::{ClientRequest, Clients, Idempotency};
use kitefork_standin::locked;
use kitefork_standin::misbehaving::{
    Behaviour, MisbehavingClients, MisbehavingRequest, PARAMETERLESS_BEHAVIOURS,
};
use kitefork_standin::random::RandomSource;
use kitefork_standin::request_body::RequestBody;
use tokio::task::JoinSet;

use super::Cluster;
use crate::scenario::{Class, Scenario, Traffic, duration_from_secs};

/// Mask that is combined (XOR) with the run's seed, so that the draws for misbehaving clients
/// differ from those for well-behaved clients.
const MISBEHAVING_SEED_MASK: u64 = 0x0dd;
/// Mask that is combined (XOR) with the run's seed for the forms of the bodies.
const BODY_SEED_MASK: u64 = 0xb0d;

/// Arrival times of a Poisson process within the traffic period of a scenario.
struct PoissonProcess {
    /// Mean number of arrivals per second.
    rate: f64,
    last_arrival: Duration,
    end: Duration,
}

impl PoissonProcess {
    fn new(rate: f64, scenario: &Scenario, run_start: Duration) -> PoissonProcess {
        let traffic = &scenario.traffic;
        PoissonProcess {
            rate,
            last_arrival: run_start + duration_from_secs(traffic.from_s),
            end: run_start + duration_from_secs(traffic.to_s.unwrap_or(scenario.length_s)),
        }
    }

    /// Draws the next arrival time; `None` if it is not before the end of the traffic.
    fn next(&mut self, random: &mut RandomSource) -> Option<Duration> {
        self.last_arrival += duration_from_secs(random.exponential() / self.rate);
        (self.last_arrival < self.end).then_some(self.last_arrival)
    }
}

/// A node to which the front sends clients.
struct AdmittedNode {
    number: usize,
    address: SocketAddr,
}

impl Cluster {
    /// Draws an admitted node; `None` if no node is admitted, or if the drawn node's address is not
    /// known yet.
    fn draw_node(&self, random: &mut RandomSource) -> Option<AdmittedNode> {
        let admitted = self.admitted_nodes();
        let number = admitted
            .get(random.integer_below(admitted.len()))
            .copied()?;
        let address = locked(&self.nodes[number]).address()?;
        Some(AdmittedNode { number, address })
    }
}

/// Sends the requests of well-behaved clients in an open loop. Returns at the end of the traffic,
/// without waiting for the last answers.
pub(super) async fn send_traffic(
    cluster: Arc<Cluster>,
    clients: Arc<Clients>,
    run_start: Duration,
) {
    let traffic = &cluster.scenario.traffic;
    if traffic.rate <= 0.0 {
        return;
    }
    let mut random = RandomSource::from_seed(cluster.scenario.seed);
    let mut body_random = RandomSource::from_seed(cluster.scenario.seed ^ BODY_SEED_MASK);
    let mut arrivals = PoissonProcess::new(traffic.rate, &cluster.scenario, run_start);
    for number in 0u64.. {
        let Some(planned) = arrivals.next(&mut random) else {
            return;
        };
        tokio::time::sleep_until(cluster.clock.instant_at(planned)).await;
        let Some(class) = draw_class(traffic, &mut random) else {
            return;
        };
        let Some(node) = cluster.draw_node(&mut random) else {
            continue;
        };
        let request = ClientRequest {
            txn: format!("t{number}"),
            class: class.name.clone(),
            idempotency: class.idempotency,
            planned,
            client_timeout: class.client_timeout(),
            body: if traffic.body_forms {
                RequestBody::draw(&mut body_random)
            } else {
                RequestBody::SHORT
            },
        };
        tokio::spawn(clients.clone().send(request, node.number, node.address));
    }
}

/// Draws a class in proportion to the shares; `None` if there are no classes.
fn draw_class<'a>(traffic: &'a Traffic, random: &mut RandomSource) -> Option<&'a Class> {
    let total_share: f64 = traffic.class.iter().map(|class| class.share).sum();
    let mut remaining = random.unit() * total_share;
    let drawn = traffic.class.iter().find(|class| {
        remaining -= class.share;
        remaining < 0.0
    });
    // Rounding may leave a remainder after the last class.
    drawn.or(traffic.class.last())
}

/// Starts misbehaving clients, and waits until all have ended. Their requests are of classes that
/// may be executed twice; without such a class, no clients are started.
pub(super) async fn send_misbehaving_traffic(
    cluster: Arc<Cluster>,
    clients: Arc<MisbehavingClients>,
    run_start: Duration,
) {
    let scenario = &cluster.scenario;
    let rate = scenario.traffic.misbehaving_rate;
    let may_repeat = |class: &&Class| class.idempotency != Idempotency::NotIdempotent;
    let classes: Vec<&Class> = scenario.traffic.class.iter().filter(may_repeat).collect();
    if rate <= 0.0 || classes.is_empty() {
        return;
    }
    let mut random = RandomSource::from_seed(scenario.seed ^ MISBEHAVING_SEED_MASK);
    let mut arrivals = PoissonProcess::new(rate, scenario, run_start);
    let mut tasks = JoinSet::new();
    for number in 0u64.. {
        let Some(arrival) = arrivals.next(&mut random) else {
            break;
        };
        tokio::time::sleep_until(cluster.clock.instant_at(arrival)).await;
        let class = random.choose(&classes);
        let behaviour = draw_behaviour(class, &mut random);
        let Some(node) = cluster.draw_node(&mut random) else {
            continue;
        };
        let request = MisbehavingRequest {
            txn: format!("odd{number}"),
            class: class.name.clone(),
            has_key: class.idempotency == Idempotency::IdempotencyKey,
            client_timeout: class.client_timeout(),
            behaviour,
        };
        tasks.spawn(clients.clone().run(request, node.number, node.address));
    }
    while tasks.join_next().await.is_some() {}
}

/// Draws a behaviour: with probability one half, a disconnect within half of the client timeout;
/// otherwise one of the other behaviours.
fn draw_behaviour(class: &Class, random: &mut RandomSource) -> Behaviour {
    let wait = duration_from_secs(random.unit() * class.client_timeout_ms / 2_000.0);
    let index = random.integer_below(2 * PARAMETERLESS_BEHAVIOURS.len());
    let behaviour = PARAMETERLESS_BEHAVIOURS.get(index).copied();
    behaviour.unwrap_or(Behaviour::Disconnects(wait))
}
