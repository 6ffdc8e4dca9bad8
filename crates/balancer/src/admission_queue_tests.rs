//! Unit tests of the order of the admission queue.

use super::*;
use crate::settings::{Class, Idempotency, Tenant};
use crate::test_support::{MS, request, settings};

/// Settings with a class of weight 1 and one of weight 10, and with a tenant whose quota is 0 and
/// one with a large quota.
fn two_classes() -> Settings {
    let mut settings = settings(Idempotency::Idempotent);
    let high_priority = Class {
        priority_weight: 10.0,
        ..settings.classes[0].clone()
    };
    settings.classes.push(high_priority);
    settings.classes[0].late_priority_weight = 0.1;
    settings.tenants = vec![
        Tenant {
            quota_per_second: 0.0,
        },
        Tenant {
            quota_per_second: 1e6,
        },
    ];
    settings.over_quota_weight = 0.01;
    settings
}

struct Fixture {
    settings: Settings,
    classes: Vec<ClassStatistics>,
    queue: AdmissionQueue,
}

impl Fixture {
    fn new() -> Fixture {
        let mut classes = vec![ClassStatistics::default(); 2];
        for class in &mut classes {
            class.add_latency(0.05);
        }
        let mut queue = AdmissionQueue::new(2, 1.0);
        let settings = two_classes();
        queue.refill_quotas(&settings, 1.0);
        Fixture {
            settings,
            classes,
            queue,
        }
    }

    fn add(&mut self, request: &Request, is_late: bool) -> AdmissionCost {
        let (position, cost) =
            self.queue
                .position_and_cost(request, is_late, &self.settings, &self.classes);
        self.queue.insert(position, request.id);
        cost
    }

    fn order(&self) -> Vec<u32> {
        let first = self.queue.first_from(QueueEntry::FIRST);
        let next = |entry: &QueueEntry| self.queue.first_from(entry.successor());
        std::iter::successors(first, next)
            .map(|entry| entry.request.0)
            .collect()
    }
}

fn tenant_request(id: u32, class: u16, tenant: u16) -> Request {
    Request {
        tenant: TenantId(tenant),
        ..request(id, class)
    }
}

#[test]
fn queue_orders_requests_by_weight_and_among_equal_weights_newest_first() {
    let mut fixture = Fixture::new();
    for (id, class) in [(1, 0), (2, 1), (3, 0), (4, 1)] {
        fixture.add(&tenant_request(id, class, 1), false);
    }
    assert_eq!(fixture.order(), [4, 2, 3, 1]);
}

#[test]
fn late_requests_and_client_retries_come_after_others_and_over_quota_ones_last() {
    let mut fixture = Fixture::new();
    fixture.add(&tenant_request(1, 0, 0), false);
    fixture.add(&tenant_request(2, 0, 1), true);
    fixture.add(
        &Request {
            client_retry: true,
            ..tenant_request(3, 0, 1)
        },
        false,
    );
    fixture.add(&tenant_request(4, 0, 1), false);
    // Request 1 is beyond the quota of tenant 0, request 2 is late, and request 3 is a client
    // retry.
    assert_eq!(fixture.order(), [4, 3, 2, 1]);
}

#[test]
fn reserved_tokens_are_for_the_highest_weight_and_not_for_a_tenth_of_it() {
    let mut fixture = Fixture::new();
    assert!(fixture.add(&tenant_request(1, 0, 1), false).keeps_reserve());
    assert!(!fixture.add(&tenant_request(2, 1, 1), false).keeps_reserve());
}

#[test]
fn removed_request_is_no_longer_queued() {
    let mut fixture = Fixture::new();
    let request = tenant_request(1, 0, 1);
    let (position, _) =
        fixture
            .queue
            .position_and_cost(&request, false, &fixture.settings, &fixture.classes);
    fixture.queue.insert(position, request.id);
    assert!(!fixture.queue.is_empty());
    fixture.queue.remove(position, request.id);
    assert!(fixture.queue.is_empty() && request.client_timeout == 1_000 * MS);
}
