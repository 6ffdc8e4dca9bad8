//! Some answers are spoilt: their `Content-Length` is too small for their body, which comes in two
//! pieces. No client may be served a part of an answer as a whole one.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use kitefork_review_2::backend::{Backend, Pieces};
use kitefork_review_2::discovery::{Discovery, Target};
use kitefork_review_2::http::{Client, Request};
use kitefork_review_2::node::Node;
use kitefork_review_2::record::{Record, finish};
use kitefork_review_2::settings::{PLAY_REPORT, settings};
use kitefork_review_2::{Random, has_trouble};

const NODES: usize = 2;
const BACKENDS: usize = 8;
const CLIENTS_PER_NODE: usize = 3;
const TRAFFIC_S: f64 = 10.0;
/// The share of spoilt answers, and the bytes that their length leaves out.
const SPOILT_SHARE: f64 = 0.05;
const REST_BYTES: usize = 20;
/// The pause between the two pieces of an answer.
const PAUSE: Duration = Duration::from_millis(3);

/// What the clients have seen.
#[derive(Default)]
struct Seen {
    served: usize,
    others: usize,
    cut: Vec<String>,
}

fn main() {
    let record = Record::default();
    let code = match run(&record) {
        Ok(code) => code,
        Err(error) => finish(&record, 2, &format!("the case can't run: {error}")),
    };
    std::process::exit(code);
}

fn run(record: &Record) -> io::Result<i32> {
    let pieces = Pieces {
        share: SPOILT_SHARE,
        rest: REST_BYTES,
        pause: PAUSE,
        is_length_short: has_trouble(),
    };
    let mut targets = Vec::new();
    for number in 0..BACKENDS {
        let name = format!("web-{number}");
        let backend = Backend::start_with_pieces(&name, (10.0, 30.0), pieces, record)?;
        targets.push(Target::ready(&name, backend.address));
    }
    let (discovery, addresses) = Discovery::start(targets, NODES, Duration::from_secs(3), record)?;
    let mut random = Random::new(11);
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
    let end = record.now() + TRAFFIC_S;
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let mut clients = Vec::new();
    for number in 0..NODES * CLIENTS_PER_NODE {
        let address = nodes[number % NODES].address;
        let (record, seen) = (record.clone(), seen.clone());
        clients.push(thread::spawn(move || {
            client(number, address, end, &record, &seen);
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    let nodes_run = nodes.iter_mut().all(Node::is_running);
    let seen = seen.lock().expect("no client panics");
    let first = seen.cut.first().map_or("", String::as_str);
    let counts = format!(
        "{} served, {} other answers, {} served with a part of an answer; first: {first}",
        seen.served,
        seen.others,
        seen.cut.len()
    );
    if seen.served == 0 || !nodes_run {
        return Ok(finish(record, 2, &format!("no traffic: {counts}")));
    }
    Ok(finish(record, i32::from(!seen.cut.is_empty()), &counts))
}

/// One client: one request at a time on its connection, a short pause after each answer.
fn client(number: usize, address: SocketAddr, end: f64, record: &Record, seen: &Mutex<Seen>) {
    let mut random = Random::new(100 + number as u64);
    let mut connection = None;
    let mut count = 0;
    while record.now() < end {
        count += 1;
        let txn = format!("c{number}-{count:05}");
        match ask(&mut connection, address, &txn) {
            Ok((status, body)) => {
                record.add(format!("client {number} gets for {txn}: {status} {body}"));
                let mut seen = seen.lock().expect("no client panics");
                if status != 200 {
                    seen.others += 1;
                } else {
                    seen.served += 1;
                    // Every backend's answer ends with the whole id.
                    if !body.ends_with(&format!(" recorded {txn}")) {
                        let line = format!("{txn} was served with \"{body}\"");
                        record.add(format!("BROKEN: {line}"));
                        seen.cut.push(line);
                    }
                }
            }
            Err(error) => {
                connection = None;
                record.add(format!("client {number}: {txn} gets no answer: {error}"));
            }
        }
        thread::sleep(Duration::from_secs_f64(random.between(0.0, 0.02)));
    }
}

fn ask(
    connection: &mut Option<Client>,
    address: SocketAddr,
    txn: &str,
) -> io::Result<(u16, String)> {
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
    let text = String::from_utf8_lossy(&answer.body).to_string();
    Ok((answer.status(), text))
}
