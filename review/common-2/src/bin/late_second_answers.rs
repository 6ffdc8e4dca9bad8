//! Some answers of the backends are followed by a second copy, some milliseconds late. Each client
//! must be served what a backend answered to its own request.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use kitefork_review_2::backend::{Backend, SecondAnswers};
use kitefork_review_2::discovery::{Discovery, Target};
use kitefork_review_2::http::{Client, Request};
use kitefork_review_2::node::Node;
use kitefork_review_2::record::{Record, finish};
use kitefork_review_2::settings::{PLAY_REPORT, settings};
use kitefork_review_2::{Random, has_trouble, link, sleep_until};

const NODES: usize = 4;
const BACKENDS: usize = 4;
const CLIENTS_PER_NODE: usize = 4;
/// One way between the data centres, in milliseconds: the brief gives 2.8 to 5.2.
const ONE_WAY_MS: u64 = 4;
/// The share of answers that get a second copy, and how late it is.
const SECOND_ANSWERS: SecondAnswers = SecondAnswers {
    share: 0.1,
    late_ms: (11.0, 14.0),
};
const TRAFFIC_S: f64 = 6.0;
/// How often this is played, each time with new processes; a play that breaks the rule is the last.
const PLAYS: usize = 3;

/// What the clients have seen.
#[derive(Default)]
struct Seen {
    served: usize,
    others: usize,
    foreign: Vec<String>,
}

impl Seen {
    fn add(&mut self, other: Seen) {
        self.served += other.served;
        self.others += other.others;
        self.foreign.extend(other.foreign);
    }
}

fn main() {
    let record = Record::default();
    let mut total = Seen::default();
    for play in 1..=PLAYS {
        record.add(format!("play {play} begins"));
        match run(&record) {
            Ok(seen) => total.add(seen),
            Err(error) => {
                let code = finish(&record, 2, &format!("the case can't run: {error}"));
                std::process::exit(code);
            }
        }
        if !total.foreign.is_empty() {
            break;
        }
    }
    let first = total.foreign.first().map_or("", String::as_str);
    let verdict = format!(
        "{} served, {} other answers, {} served with the answer to another request; first: {first}",
        total.served,
        total.others,
        total.foreign.len()
    );
    let code = i32::from(!total.foreign.is_empty());
    std::process::exit(finish(&record, code, &verdict));
}

/// Plays once; an error if the play could not run.
fn run(record: &Record) -> io::Result<Seen> {
    let mut backends = Vec::new();
    let mut targets = Vec::new();
    for number in 0..BACKENDS {
        let name = format!("web-{number}");
        let backend = Backend::start(&name, (5.0, 15.0), Some(SECOND_ANSWERS), record)?;
        let address = link::start(backend.address, Duration::from_millis(ONE_WAY_MS))?;
        targets.push(Target::ready(&name, address));
        backends.push(backend);
    }
    let (discovery, addresses) = Discovery::start(targets, NODES, Duration::from_secs(3), record)?;
    let mut random = Random::new(6);
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
        return Err(io::Error::other("a node did not become healthy"));
    }
    if has_trouble() {
        record.add("from now on some answers are followed by a second copy");
        backends.iter().for_each(Backend::begin_second_answers);
    }
    let end = record.now() + TRAFFIC_S;
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let mut clients = Vec::new();
    for number in 0..NODES * CLIENTS_PER_NODE {
        let address = nodes[number % NODES].address;
        let (record, seen) = (record.clone(), seen.clone());
        clients.push(thread::spawn(move || {
            let _ = client(number, address, end, &record, &seen);
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    sleep_until(record, end);
    let nodes_run = nodes.iter_mut().all(Node::is_running);
    let seen = std::mem::take(&mut *seen.lock().expect("no client panics"));
    if seen.served == 0 || !nodes_run {
        return Err(io::Error::other("a node has ended, or served nothing"));
    }
    Ok(seen)
}

/// One client: one request at a time on its connection, a short pause after each answer.
fn client(
    number: usize,
    address: SocketAddr,
    end: f64,
    record: &Record,
    seen: &Mutex<Seen>,
) -> io::Result<()> {
    let mut random = Random::new(100 + number as u64);
    let timeout = Duration::from_secs(6);
    let mut connection = Client::connect(address, timeout)?;
    let mut count = 0;
    while record.now() < end {
        count += 1;
        let txn = format!("c{number}-{count:05}");
        let key = format!("key-{txn}");
        let body = b"show=landfunk";
        let request = Request {
            txn: &txn,
            lane: "play-report",
            key: Some(&key),
            remaining_ms: 4_000,
            body,
            length: body.len(),
        };
        record.add(format!("client {number} sends {txn}"));
        connection.send(&request.encode())?;
        let Some(answer) = connection.answer()? else {
            record.add(format!(
                "client {number}: the connection ends, connects again"
            ));
            connection = Client::connect(address, timeout)?;
            continue;
        };
        let status = answer.status();
        let text = String::from_utf8_lossy(&answer.body).to_string();
        record.add(format!("client {number} gets for {txn}: {status} {text}"));
        {
            let mut seen = seen.lock().expect("no client panics");
            if status != 200 {
                seen.others += 1;
            } else {
                seen.served += 1;
                if !text.ends_with(&format!(" recorded {txn}")) {
                    let line = format!("{txn} was served with \"{text}\"");
                    record.add(format!("BROKEN: {line}"));
                    seen.foreign.push(line);
                }
            }
        }
        if answer.header("connection") == "close" {
            connection = Client::connect(address, timeout)?;
        }
        thread::sleep(Duration::from_secs_f64(random.between(0.0, 0.02)));
    }
    Ok(())
}
