//! Front that chooses the nodes to which clients are sent, as a load balancer in front of the nodes
//! would.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use kitefork_standin::locked;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::Cluster;
use crate::scenario::duration_from_secs;

/// Pause between two rounds; a round updates the admission of each node.
const ROUND_INTERVAL: Duration = Duration::from_millis(50);
/// Number of rounds from one sample of the resource usage to the next.
const ROUNDS_PER_SAMPLE: u32 = 10;
/// Time after which an unfinished health check counts as failed.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(500);
const HEALTH_CHECK_REQUEST: &[u8] =
    b"GET /_health HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
/// Length of `HTTP/1.1 200`, in bytes.
const STATUS_PREFIX_LENGTH: usize = 12;

/// Admits a node once its health check succeeds, and ends the admission of a dead node only after
/// the scenario's `notice_s`. Runs until its task is aborted.
pub(super) async fn admit_nodes(cluster: Arc<Cluster>) {
    let mut down_since: BTreeMap<usize, Duration> = BTreeMap::new();
    let mut round = 0u32;
    loop {
        for number in 0..cluster.nodes.len() {
            cluster.update_admission(number, &mut down_since);
        }
        round += 1;
        if round.is_multiple_of(ROUNDS_PER_SAMPLE) {
            cluster.sample_usage();
        }
        tokio::time::sleep(ROUND_INTERVAL).await;
    }
}

impl Cluster {
    /// Numbers of the nodes to which clients are sent.
    pub(super) fn admitted_nodes(&self) -> Vec<usize> {
        let numbers = 0..self.nodes.len();
        numbers.filter(|number| self.is_admitted(*number)).collect()
    }

    fn is_admitted(&self, number: usize) -> bool {
        self.admitted[number].load(Ordering::SeqCst)
    }

    /// Ends the admission of a node that has been down for `notice_s`, and checks the health of a
    /// listening node that is not admitted. `down_since` has the time at which a node was first
    /// seen down, by node number.
    fn update_admission(
        self: &Arc<Self>,
        number: usize,
        down_since: &mut BTreeMap<usize, Duration>,
    ) {
        let (is_listening, address) = {
            let mut node = locked(&self.nodes[number]);
            node.reap(self.clock);
            (node.is_listening(), node.address())
        };
        let now = self.clock.now();
        let admitted = self.is_admitted(number);
        let detection_delay = duration_from_secs(self.scenario.traffic.notice_s);
        if is_listening {
            down_since.remove(&number);
        } else if admitted && now >= *down_since.entry(number).or_insert(now) + detection_delay {
            self.admitted[number].store(false, Ordering::SeqCst);
        }
        if let Some(address) = address.filter(|_| is_listening && !admitted) {
            let cluster = self.clone();
            tokio::spawn(async move {
                if is_healthy(address).await {
                    cluster.admitted[number].store(true, Ordering::SeqCst);
                }
            });
        }
    }
}

async fn is_healthy(address: SocketAddr) -> bool {
    let check = tokio::time::timeout(HEALTH_CHECK_TIMEOUT, health_check(address));
    matches!(check.await, Ok(Ok(true)))
}

async fn health_check(address: SocketAddr) -> io::Result<bool> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(HEALTH_CHECK_REQUEST).await?;
    let mut head = [0; STATUS_PREFIX_LENGTH];
    stream.read_exact(&mut head).await?;
    Ok(head.ends_with(b"200"))
}
