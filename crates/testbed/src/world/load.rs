//! The load of a run: the front that admits nodes, clients that behave and those that don't.

use super::*;

/// Admits nodes once they say that they are well, and notices late that one has died.
pub(super) async fn front(parties: Arc<Parties>) {
    let notice = span(parties.scenario.traffic.notice_s);
    let mut died: BTreeMap<usize, Duration> = BTreeMap::new();
    let mut turn = 0u32;
    loop {
        for number in 0..parties.nodes.len() {
            let (up, address) = {
                let mut node = locked(&parties.nodes[number]);
                node.reap(parties.clock);
                (node.is_up(), node.address())
            };
            let now = parties.clock.now();
            let admitted = parties.admitted[number].load(Ordering::SeqCst);
            if !up && admitted && now >= *died.entry(number).or_insert(now) + notice {
                parties.admitted[number].store(false, Ordering::SeqCst);
            }
            if up {
                died.remove(&number);
            }
            if let Some(address) = address.filter(|_| up && !admitted) {
                let parties = parties.clone();
                tokio::spawn(async move {
                    if is_well(address).await {
                        parties.admitted[number].store(true, Ordering::SeqCst);
                    }
                });
            }
        }
        turn += 1;
        if turn.is_multiple_of(10) {
            parties.sample();
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Clients that don't behave, from a process of Poisson, over the nodes that the front has
/// admitted.
pub(super) async fn odd_traffic(parties: Arc<Parties>, odd: Arc<OddClients>, begin: Duration) {
    let traffic = &parties.scenario.traffic;
    let classes: Vec<&Class> = traffic
        .class
        .iter()
        .filter(|class| class.effect() != Some(Effect::Unsafe))
        .collect();
    if traffic.odd_rate <= 0.0 || classes.is_empty() {
        return;
    }
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(parties.scenario.seed ^ 0x0dd);
    let mut unit = move || (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
    let end = begin + span(traffic.to_s.unwrap_or(parties.scenario.length_s));
    let mut at = begin + span(traffic.from_s);
    let mut playing = tokio::task::JoinSet::new();
    for number in 0u64.. {
        at += span(-(1.0 - unit()).ln() / traffic.odd_rate);
        if at >= end {
            break;
        }
        tokio::time::sleep_until(parties.clock.at(at)).await;
        let class = classes[(unit() * classes.len() as f64) as usize];
        let leave = span(unit() * class.deadline_ms / 2_000.0);
        let manner = match (unit() * 2.0 * odd::MANNERS.len() as f64) as usize {
            place if place < odd::MANNERS.len() => odd::MANNERS[place],
            _ => Manner::Leaves(leave),
        };
        let ready: Vec<usize> = (0..parties.nodes.len())
            .filter(|n| parties.admitted[*n].load(Ordering::SeqCst))
            .collect();
        let Some(node) = ready.get((unit() * ready.len() as f64) as usize).copied() else {
            continue;
        };
        let Some(address) = locked(&parties.nodes[node]).address() else {
            continue;
        };
        let ask = OddAsk {
            txn: format!("odd{number}"),
            class: class.name.clone(),
            keyed: class.effect() == Some(Effect::Keyed),
            patience: span(class.deadline_ms / 1_000.0),
            manner,
        };
        playing.spawn(odd.clone().play(ask, node, address));
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
pub(super) async fn traffic(parties: Arc<Parties>, clients: Arc<Clients>, begin: Duration) {
    let traffic = &parties.scenario.traffic;
    if traffic.rate <= 0.0 {
        return;
    }
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(parties.scenario.seed);
    let mut unit = move || (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
    let shares: f64 = traffic.class.iter().map(|class| class.share).sum();
    let end = begin + span(traffic.to_s.unwrap_or(parties.scenario.length_s));
    let mut at = begin + span(traffic.from_s);
    for number in 0u64.. {
        at += span(-(1.0 - unit()).ln() / traffic.rate);
        if at >= end {
            return;
        }
        tokio::time::sleep_until(parties.clock.at(at)).await;
        let mut left = unit() * shares;
        let class = traffic.class.iter().find(|class| {
            left -= class.share;
            left < 0.0
        });
        let Some(class) = class.or(traffic.class.last()) else {
            return;
        };
        let ready: Vec<usize> = (0..parties.nodes.len())
            .filter(|n| parties.admitted[*n].load(Ordering::SeqCst))
            .collect();
        let place = (unit() * ready.len() as f64) as usize;
        let Some(node) = ready.get(place).copied() else {
            continue;
        };
        let Some(address) = locked(&parties.nodes[node]).address() else {
            continue;
        };
        let ask = Ask {
            txn: format!("t{number}"),
            class: class.name.clone(),
            effect: class.effect().unwrap_or(Effect::Safe),
            planned: at,
            patience: span(class.deadline_ms / 1_000.0),
        };
        tokio::spawn(clients.clone().ask(ask, node, address));
    }
}
