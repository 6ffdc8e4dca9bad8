//! The load of a run: the front that admits nodes, clients that behave and those that don't.

use super::*;

/// Admits nodes once they say that they are well, and notices late that one has died.
pub(super) async fn front(cluster: Arc<Cluster>) {
    let notice = span(cluster.scenario.traffic.notice_s);
    let mut died: BTreeMap<usize, Duration> = BTreeMap::new();
    let mut iteration = 0u32;
    loop {
        for number in 0..cluster.nodes.len() {
            let (up, address) = {
                let mut node = locked(&cluster.nodes[number]);
                node.reap(cluster.clock);
                (node.is_up(), node.address())
            };
            let now = cluster.clock.now();
            let admitted = cluster.admitted[number].load(Ordering::SeqCst);
            if !up && admitted && now >= *died.entry(number).or_insert(now) + notice {
                cluster.admitted[number].store(false, Ordering::SeqCst);
            }
            if up {
                died.remove(&number);
            }
            if let Some(address) = address.filter(|_| up && !admitted) {
                let cluster = cluster.clone();
                tokio::spawn(async move {
                    if is_well(address).await {
                        cluster.admitted[number].store(true, Ordering::SeqCst);
                    }
                });
            }
        }
        iteration += 1;
        if iteration.is_multiple_of(10) {
            cluster.sample();
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Clients that don't behave, from a process of Poisson, over the nodes that the front has
/// admitted.
pub(super) async fn misbehaving_traffic(
    cluster: Arc<Cluster>,
    misbehaving: Arc<MisbehavingClients>,
    begin: Duration,
) {
    let traffic = &cluster.scenario.traffic;
    let classes: Vec<&Class> = traffic
        .class
        .iter()
        .filter(|class| class.idempotency() != Some(Idempotency::NotIdempotent))
        .collect();
    if traffic.misbehaving_rate <= 0.0 || classes.is_empty() {
        return;
    }
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(cluster.scenario.seed ^ 0x0dd);
    let mut unit = move || (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
    let end = begin + span(traffic.to_s.unwrap_or(cluster.scenario.length_s));
    let mut at = begin + span(traffic.from_s);
    let mut playing = tokio::task::JoinSet::new();
    for number in 0u64.. {
        at += span(-(1.0 - unit()).ln() / traffic.misbehaving_rate);
        if at >= end {
            break;
        }
        tokio::time::sleep_until(cluster.clock.at(at)).await;
        let class = classes[(unit() * classes.len() as f64) as usize];
        let leave = span(unit() * class.client_timeout_ms / 2_000.0);
        let behaviour = match (unit() * 2.0 * misbehaving::BEHAVIOURS.len() as f64) as usize {
            place if place < misbehaving::BEHAVIOURS.len() => misbehaving::BEHAVIOURS[place],
            _ => Behaviour::Leaves(leave),
        };
        let ready: Vec<usize> = (0..cluster.nodes.len())
            .filter(|n| cluster.admitted[*n].load(Ordering::SeqCst))
            .collect();
        let Some(node) = ready.get((unit() * ready.len() as f64) as usize).copied() else {
            continue;
        };
        let Some(address) = locked(&cluster.nodes[node]).address() else {
            continue;
        };
        let request = MisbehavingRequest {
            txn: format!("odd{number}"),
            class: class.name.clone(),
            keyed: class.idempotency() == Some(Idempotency::IdempotencyKey),
            client_timeout: span(class.client_timeout_ms / 1_000.0),
            behaviour,
        };
        playing.spawn(misbehaving.clone().play(request, node, address));
    }
    while playing.join_next().await.is_some() {}
}

async fn is_well(address: SocketAddr) -> bool {
    let ask = async {
        let mut stream = TcpStream::connect(address).await?;
        stream
            .write_all(b"GET /_health HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
            .await?;
        let mut head = [0; 12];
        stream.read_exact(&mut head).await?;
        io::Result::Ok(head.ends_with(b"200"))
    };
    matches!(
        tokio::time::timeout(Duration::from_millis(500), ask).await,
        Ok(Ok(true))
    )
}

/// Asks in an open loop, from a process of Poisson, over the nodes that the front has admitted.
pub(super) async fn traffic(cluster: Arc<Cluster>, clients: Arc<Clients>, begin: Duration) {
    let traffic = &cluster.scenario.traffic;
    if traffic.rate <= 0.0 {
        return;
    }
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(cluster.scenario.seed);
    let mut unit = move || (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
    let shares: f64 = traffic.class.iter().map(|class| class.share).sum();
    let end = begin + span(traffic.to_s.unwrap_or(cluster.scenario.length_s));
    let mut at = begin + span(traffic.from_s);
    for number in 0u64.. {
        at += span(-(1.0 - unit()).ln() / traffic.rate);
        if at >= end {
            return;
        }
        tokio::time::sleep_until(cluster.clock.at(at)).await;
        let mut left = unit() * shares;
        let class = traffic.class.iter().find(|class| {
            left -= class.share;
            left < 0.0
        });
        let Some(class) = class.or(traffic.class.last()) else {
            return;
        };
        let ready: Vec<usize> = (0..cluster.nodes.len())
            .filter(|n| cluster.admitted[*n].load(Ordering::SeqCst))
            .collect();
        let place = (unit() * ready.len() as f64) as usize;
        let Some(node) = ready.get(place).copied() else {
            continue;
        };
        let Some(address) = locked(&cluster.nodes[node]).address() else {
            continue;
        };
        let request = ClientRequest {
            txn: format!("t{number}"),
            class: class.name.clone(),
            idempotency: class.idempotency().unwrap_or(Idempotency::Idempotent),
            planned: at,
            client_timeout: span(class.client_timeout_ms / 1_000.0),
        };
        tokio::spawn(clients.clone().send(request, node, address));
    }
}
