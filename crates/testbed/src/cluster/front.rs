//! The front that admits nodes to the clients, as a load balancer before the nodes would.

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
use crate::scenario::seconds;

/// Time between two rounds over all nodes.
const ROUND: Duration = Duration::from_millis(50);
/// The use of resources is sampled in each round of this multiple.
const SAMPLE_EVERY: u32 = 10;
/// A health check that takes longer has failed.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(500);
const HEALTH_CHECK: &[u8] = b"GET /_health HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
/// Length of `HTTP/1.1 200`.
const STATUS_LENGTH: usize = 12;

/// Admits nodes once their health check succeeds, and notices late that one has died. Never ends by
/// itself.
pub(super) async fn admit_nodes(cluster: Arc<Cluster>) {
    let mut died: BTreeMap<usize, Duration> = BTreeMap::new();
    let mut round = 0u32;
    loop {
        for number in 0..cluster.nodes.len() {
            cluster.review_node(number, &mut died);
        }
        round += 1;
        if round.is_multiple_of(SAMPLE_EVERY) {
            cluster.sample_usage();
        }
        tokio::time::sleep(ROUND).await;
    }
}

impl Cluster {
    /// Numbers of the nodes that clients are sent to.
    pub(super) fn admitted_nodes(&self) -> Vec<usize> {
        let numbers = 0..self.nodes.len();
        numbers.filter(|number| self.is_admitted(*number)).collect()
    }

    fn is_admitted(&self, number: usize) -> bool {
        self.admitted[number].load(Ordering::SeqCst)
    }

    /// `died` has the nodes that were seen down, and since when.
    fn review_node(self: &Arc<Self>, number: usize, died: &mut BTreeMap<usize, Duration>) {
        let (up, address) = {
            let mut node = locked(&self.nodes[number]);
            node.reap(self.clock);
            (node.is_up(), node.address())
        };
        let now = self.clock.now();
        let admitted = self.is_admitted(number);
        let notice = seconds(self.scenario.traffic.notice_s);
        if up {
            died.remove(&number);
        } else if admitted && now >= *died.entry(number).or_insert(now) + notice {
            self.admitted[number].store(false, Ordering::SeqCst);
        }
        if let Some(address) = address.filter(|_| up && !admitted) {
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
    stream.write_all(HEALTH_CHECK).await?;
    let mut head = [0; STATUS_LENGTH];
    stream.read_exact(&mut head).await?;
    Ok(head.ends_with(b"200"))
}
