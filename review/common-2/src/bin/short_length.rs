//! A bad client sends requests whose `Content-Length` is too small for their body. It is owed an
//! error or a close; no part of such a request may run, and none may be served.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use kitefork_review_2::backend::Backend;
use kitefork_review_2::discovery::{Discovery, Target};
use kitefork_review_2::http::{Client, Request};
use kitefork_review_2::node::Node;
use kitefork_review_2::record::{Record, finish};
use kitefork_review_2::settings::{PLAY_REPORT, settings};
use kitefork_review_2::{Random, has_trouble};

/// The bodies are receipts of a player: 24 characters in hexadecimal.
const BODY_BYTES: usize = 24;
/// What the bad client says their length is.
const SHORT_LENGTH: usize = 12;
const REQUESTS: usize = 10;

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
    for number in 0..3 {
        let name = format!("web-{number}");
        let backend = Backend::start(&name, (20.0, 40.0), record)?;
        targets.push(Target::ready(&name, backend.address));
        backends.push(backend);
    }
    let (discovery, addresses) = Discovery::start(targets, 1, Duration::from_secs(3), record)?;
    let mut random = Random::new(7);
    let settings = settings("subscribe", PLAY_REPORT, 0, 1);
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
    let length = if has_trouble() {
        SHORT_LENGTH
    } else {
        BODY_BYTES
    };
    let mut served = Vec::new();
    let mut sent = Vec::new();
    for number in 0..REQUESTS {
        let body = format!("{:016x}{:08x}", random.bits(), random.bits() as u32).into_bytes();
        let txn = format!("bad-{number}");
        match ask(node.address, &txn, &body, length, record) {
            Ok(200) => served.push(txn.clone()),
            Ok(_) => {}
            Err(error) => {
                record.add(format!("the connection of {txn} ends: {error}"));
            }
        }
        sent.push((txn, body));
    }
    let mut cut = Vec::new();
    for backend in &backends {
        for run in backend.runs() {
            if !sent
                .iter()
                .any(|(txn, body)| run.txn == *txn && run.body == *body)
            {
                let body = String::from_utf8_lossy(&run.body).to_string();
                let line = format!("{} ran {} with {body}", backend.name, run.txn);
                record.add(format!("BROKEN: {line}, which is not what its client sent"));
                cut.push(line);
            }
        }
    }
    if !node.is_running() {
        return Ok(finish(record, 1, "the node has ended"));
    }
    let counts = format!(
        "of {REQUESTS} requests with 24 bytes of body and Content-Length {length}: {} were served \
         with 200, {} ran with a cut body",
        served.len(),
        cut.len()
    );
    if !has_trouble() {
        let all_served = served.len() == REQUESTS && cut.is_empty();
        return Ok(finish(record, if all_served { 0 } else { 2 }, &counts));
    }
    let is_broken = !served.is_empty() || !cut.is_empty();
    Ok(finish(record, i32::from(is_broken), &counts))
}

/// Sends one request in one write on a new connection; returns the status of its answer.
fn ask(
    address: SocketAddr,
    txn: &str,
    body: &[u8],
    length: usize,
    record: &Record,
) -> io::Result<u16> {
    let key = format!("key-{txn}");
    let request = Request {
        txn,
        lane: "play-report",
        key: Some(&key),
        remaining_ms: 4_000,
        body,
        length,
    };
    let mut client = Client::connect(address, Duration::from_secs(6))?;
    let text = String::from_utf8_lossy(body);
    record.add(format!("client sends {txn} length={length} body={text}"));
    client.send(&request.encode())?;
    let answer = client
        .answer()?
        .ok_or_else(|| io::Error::other("closed with no answer"))?;
    let text = String::from_utf8_lossy(&answer.body).trim().to_string();
    record.add(format!("client gets for {txn}: {} {text}", answer.status()));
    Ok(answer.status())
}
