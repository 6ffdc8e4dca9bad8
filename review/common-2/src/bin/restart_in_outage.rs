//! A node is killed and starts again with an old list while discovery is down. What the agent had
//! counts as told from the node's first moment: a backend that drains must get nothing new 1.5 s
//! later.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use kitefork_review_2::backend::Backend;
use kitefork_review_2::discovery::{Discovery, Mode, Target};
use kitefork_review_2::http::{self, Client, Request};
use kitefork_review_2::node::Node;
use kitefork_review_2::record::{Record, finish};
use kitefork_review_2::settings::{PLAY_REPORT, settings};
use kitefork_review_2::{Random, has_trouble, sleep_until};

const BACKENDS: usize = 4;
const CLIENTS: usize = 6;
/// The backend that begins to drain while the node is down.
const DRAINED: usize = 0;
/// When the node is killed, in seconds since the start of the run.
const KILL_AT: f64 = 5.0;
/// The node is down for this long, in seconds: the bench page gives 0.2 to 1.5.
const DOWN_S: f64 = 0.8;
/// The front goes on sending to a dead node for this long, in seconds: the brief gives 0.83 to 3.9.
const NOTICE_S: f64 = 3.8;
/// Discovery is down for this long, in seconds: the standing test gives 8.
const OUTAGE_S: f64 = 8.0;
/// The grace of the rule on drains, and what each time limit grows by on sockets, in seconds.
const GRACE_S: f64 = 1.5 + 0.05;
const END_AT: f64 = 20.0;

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
        let backend = Backend::start(&name, (20.0, 60.0), record)?;
        targets.push(Target::ready(&name, backend.address));
        backends.push(backend);
    }
    let (discovery, addresses) = Discovery::start(targets, 1, Duration::from_secs(3), record)?;
    let mut random = Random::new(8);
    let settings = settings("automatic", PLAY_REPORT, 0, 1);
    // The configuration keeps the list as the node has it before it is killed.
    let mut node = Node::new(
        "n0",
        addresses[0],
        &discovery.list(),
        &settings,
        random.bits(),
    )?;
    node.start()?;
    if !node.wait_until_healthy(Duration::from_secs(10)) {
        return Ok(finish(record, 2, "the node did not become healthy"));
    }
    let may_send = Arc::new(AtomicBool::new(true));
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let (record, may_send) = (record.clone(), may_send.clone());
        let address = node.address;
        clients.push(thread::spawn(move || {
            client(number, address, &record, &may_send);
        }));
    }
    sleep_until(record, KILL_AT);
    let killed_at = record.add("the node is killed");
    node.kill();
    sleep_until(record, killed_at + 0.1);
    discovery.set_state(&backends[DRAINED].name, "Terminating");
    if has_trouble() {
        sleep_until(record, killed_at + 0.5);
        discovery.set_mode(Mode::Silent);
    }
    sleep_until(record, killed_at + DOWN_S);
    node.start()?;
    let told_at = record.add("the node is started again: what the agent has counts as told");
    // The front notices the dead node, and takes it in again once its health is good.
    sleep_until(record, killed_at + NOTICE_S);
    may_send.store(false, Ordering::SeqCst);
    record.add("the front has noticed the dead node, and sends nothing until it is healthy");
    while record.now() < END_AT {
        if has_trouble() && record.now() > killed_at + 0.5 + OUTAGE_S {
            discovery.set_mode(Mode::Up);
            sleep_until(record, record.now() + 2.0);
        }
        if http::is_healthy(node.address) {
            break;
        }
        thread::sleep(Duration::from_millis(100));
    }
    record.add("the front takes the node in again");
    may_send.store(true, Ordering::SeqCst);
    sleep_until(record, END_AT);
    may_send.store(false, Ordering::SeqCst);
    let is_running = node.is_running();
    let limit = told_at + GRACE_S;
    let late: Vec<_> = backends[DRAINED]
        .runs()
        .into_iter()
        .filter(|run| run.at > limit)
        .collect();
    for run in &late {
        let after = run.at - told_at;
        record.add_at(
            run.at,
            format!(
                "BROKEN: {} reaches the draining backend {after:.2} s after told",
                run.txn
            ),
        );
    }
    let since: usize = backends
        .iter()
        .map(|backend| backend.runs().iter().filter(|run| run.at > told_at).count())
        .sum();
    let counts = format!(
        "of {since} requests since the restart {} reached the draining backend over {GRACE_S:.2} s \
         after the node's first moment",
        late.len()
    );
    if since == 0 || !is_running {
        return Ok(finish(record, 2, &format!("no traffic: {counts}")));
    }
    Ok(finish(record, i32::from(!late.is_empty()), &counts))
}

/// One client behind the front: a new connection for each request while the front may send.
fn client(number: usize, address: SocketAddr, record: &Record, may_send: &AtomicBool) {
    let mut random = Random::new(100 + number as u64);
    let mut count = 0;
    while record.now() < END_AT {
        thread::sleep(Duration::from_secs_f64(random.between(0.02, 0.1)));
        if !may_send.load(Ordering::SeqCst) {
            continue;
        }
        count += 1;
        let txn = format!("c{number}-{count:05}");
        match ask(address, &txn) {
            Ok(status) => record.add(format!("client {number}: {txn} is answered {status}")),
            Err(error) => record.add(format!("client {number}: {txn} can't be sent: {error}")),
        };
    }
}

fn ask(address: SocketAddr, txn: &str) -> io::Result<u16> {
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
    let mut client = Client::connect(address, Duration::from_secs(6))?;
    client.send(&request.encode())?;
    let answer = client.answer()?;
    Ok(answer.map_or(0, |answer| answer.status()))
}
