//! Discovery is down for some seconds. After its return it has too many callers: the first call of
//! each node waits too long and is refused. A backend that begins to drain at the return must get
//! nothing new once the 6 s and the grace are over.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use kitefork_review_2::backend::Backend;
use kitefork_review_2::discovery::{Discovery, Mode, Target};
use kitefork_review_2::http::{Client, Request};
use kitefork_review_2::node::Node;
use kitefork_review_2::record::{Record, finish};
use kitefork_review_2::settings::{PLAY_REPORT, settings};
use kitefork_review_2::{Random, has_trouble, sleep_until};

const NODES: usize = 4;
const BACKENDS: usize = 8;
const CLIENTS_PER_NODE: usize = 3;
/// How often discovery goes down, each time with another backend that drains after its return.
const ROUNDS: usize = 4;
/// Discovery is down for this long, in seconds: the standing test gives 8.
const OUTAGE_S: f64 = 8.0;
/// A call that waits longer than this, in seconds, is refused (`timeout_ms` of the site file).
const CALL_LIMIT_S: f64 = 3.0;
/// A change counts as told this long after discovery had it and could be reached, in seconds.
const TOLD_S: f64 = 6.0;
/// The grace of the rule on drains, and what each time limit grows by on sockets, in seconds.
const GRACE_S: f64 = 1.5 + 0.05;
/// From one outage to the next, in seconds.
const ROUND_S: f64 = 24.0;

fn main() {
    let record = Record::default();
    let code = match run(&record) {
        Ok(code) => code,
        Err(error) => finish(&record, 2, &format!("the case can't run: {error}")),
    };
    std::process::exit(code);
}

fn run(record: &Record) -> io::Result<i32> {
    let mut backends = Vec::new();
    let mut targets = Vec::new();
    for number in 0..BACKENDS {
        let name = format!("web-{number}");
        let backend = Backend::start(&name, (10.0, 30.0), record)?;
        targets.push(Target::ready(&name, backend.address));
        backends.push(backend);
    }
    let call_limit = Duration::from_secs_f64(CALL_LIMIT_S);
    let (discovery, addresses) = Discovery::start(targets, NODES, call_limit, record)?;
    let mut random = Random::new(9);
    let mut nodes = Vec::new();
    for (number, address) in addresses.iter().enumerate() {
        let settings = settings("subscribe", PLAY_REPORT, number, NODES);
        let name = format!("n{number}");
        let mut node = Node::new(&name, *address, &discovery.list(), &settings, random.bits())?;
        node.start()?;
        nodes.push(node);
    }
    if !nodes
        .iter()
        .all(|node| node.wait_until_healthy(Duration::from_secs(10)))
    {
        return Ok(finish(record, 2, "a node did not become healthy"));
    }
    let has_ended = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for number in 0..NODES * CLIENTS_PER_NODE {
        let (record, has_ended) = (record.clone(), has_ended.clone());
        let address = nodes[number % NODES].address;
        clients.push(thread::spawn(move || {
            client(number, address, &record, &has_ended);
        }));
    }
    let first = record.now() + 3.0;
    let mut returns = Vec::new();
    for (round, backend) in backends.iter().take(ROUNDS).enumerate() {
        sleep_until(record, first + round as f64 * ROUND_S);
        if has_trouble() {
            discovery.set_mode(Mode::Down);
        }
        sleep_until(record, first + round as f64 * ROUND_S + OUTAGE_S);
        if has_trouble() {
            discovery.refuse_calls(1);
            discovery.set_mode(Mode::Up);
        }
        discovery.set_state(&backend.name, "Terminating");
        returns.push(record.now());
    }
    sleep_until(record, first + ROUNDS as f64 * ROUND_S);
    has_ended.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let are_running = nodes.iter_mut().all(Node::is_running);
    let mut late = 0;
    let mut longest = 0.0_f64;
    for (backend, returned_at) in backends.iter().zip(&returns) {
        for run in backend.runs() {
            let after = run.at - returned_at;
            if after > TOLD_S + GRACE_S {
                late += 1;
                longest = longest.max(after);
                let line = format!(
                    "BROKEN: {} reaches the draining backend {} {after:.2} s after discovery had \
                     the change and was back",
                    run.txn, backend.name
                );
                record.add_at(run.at, line);
            }
        }
    }
    let total: usize = backends.iter().map(|backend| backend.runs().len()).sum();
    let counts = format!(
        "of {total} requests {late} reached a draining backend over {:.2} s after the change, the \
         last one {longest:.2} s after it",
        TOLD_S + GRACE_S
    );
    if total == 0 || !are_running {
        return Ok(finish(record, 2, &format!("no traffic: {counts}")));
    }
    Ok(finish(record, i32::from(late > 0), &counts))
}

/// One client: one request at a time on its connection, a pause after each answer.
fn client(number: usize, address: SocketAddr, record: &Record, has_ended: &AtomicBool) {
    let mut random = Random::new(100 + number as u64);
    let mut connection = None;
    let mut count = 0;
    while !has_ended.load(Ordering::SeqCst) {
        count += 1;
        let txn = format!("c{number}-{count:05}");
        match ask(&mut connection, address, &txn) {
            Ok(status) => record.add(format!("client {number}: {txn} is answered {status}")),
            Err(error) => {
                connection = None;
                record.add(format!("client {number}: {txn} gets no answer: {error}"))
            }
        };
        thread::sleep(Duration::from_secs_f64(random.between(0.02, 0.06)));
    }
}

fn ask(connection: &mut Option<Client>, address: SocketAddr, txn: &str) -> io::Result<u16> {
    let key = format!("key-{txn}");
    let body = b"show=landfunk";
    let request = Request {
        txn,
        lane: "play-report",
        key: Some(&key),
        remaining_ms: 4_000,
        body,
        length: body.len(),
    };
    let client = match connection {
        Some(client) => client,
        None => connection.insert(Client::connect(address, Duration::from_secs(6))?),
    };
    client.send(&request.encode())?;
    let answer = client.answer()?;
    let answer = answer.ok_or_else(|| io::Error::other("the connection ends"))?;
    if answer.header("connection") == "close" {
        *connection = None;
    }
    Ok(answer.status())
}
