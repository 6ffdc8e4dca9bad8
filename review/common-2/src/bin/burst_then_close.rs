//! Bad clients send many requests at once and go. An attempt that begins more than 0.1 s after its
//! client's close breaks the rule on lost requests.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use kitefork_review_2::backend::Backend;
use kitefork_review_2::discovery::{Discovery, Target};
use kitefork_review_2::http::{Client, Request};
use kitefork_review_2::node::Node;
use kitefork_review_2::record::{Record, finish};
use kitefork_review_2::settings::{PLAY_REPORT, settings};
use kitefork_review_2::{Random, has_trouble, sleep_until};

const BACKENDS: usize = 8;
/// Usual clients, one request at a time each: a little more than the backends can serve.
const USUAL_CLIENTS: usize = 16;
/// How many requests a bad client sends at once.
const REQUESTS_AT_ONCE: usize = 900;
const BAD_CLIENTS: usize = 200;
/// From one bad client to the next, in seconds.
const BAD_CLIENT_EVERY_S: f64 = 0.15;
/// An attempt may begin this long after its client's close: 0.1 s, and what each time limit grows
/// by on sockets.
const LIMIT_S: f64 = 0.1 + 0.05;

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
        // The work of a play report: 71 to 130 ms.
        let backend = Backend::start_with_one_core(&name, (71.0, 130.0), record)?;
        targets.push(Target::ready(&name, backend.address));
        backends.push(backend);
    }
    let (discovery, addresses) = Discovery::start(targets, 1, Duration::from_secs(3), record)?;
    let mut random = Random::new(10);
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
    let has_ended = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for number in 0..USUAL_CLIENTS {
        let (record, has_ended) = (record.clone(), has_ended.clone());
        let address = node.address;
        clients.push(thread::spawn(move || {
            usual_client(number, address, &record, &has_ended);
        }));
    }
    let first = record.now() + 2.0;
    let mut closed = Vec::new();
    for number in 0..BAD_CLIENTS {
        sleep_until(record, first + number as f64 * BAD_CLIENT_EVERY_S);
        let count = if has_trouble() { REQUESTS_AT_ONCE } else { 1 };
        let at = send_and_go(number, count, node.address, record)?;
        closed.push((format!("bad-{number}-"), at));
    }
    sleep_until(record, record.now() + 5.0);
    has_ended.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let is_running = node.is_running();
    let (mut begun, mut late, mut longest) = (0, 0, 0.0_f64);
    for run in backends.iter().flat_map(Backend::runs) {
        let client = closed
            .iter()
            .find(|(prefix, _)| run.txn.starts_with(prefix));
        let Some((_, closed_at)) = client else {
            continue;
        };
        begun += 1;
        let after = run.at - closed_at;
        if after > LIMIT_S {
            late += 1;
            longest = longest.max(after);
            let line = format!(
                "BROKEN: {} begins {after:.3} s after its client's close",
                run.txn
            );
            record.add_at(run.at, line);
        }
    }
    let counts = format!(
        "of {begun} attempts for {BAD_CLIENTS} clients that closed, {late} began over {LIMIT_S:.2} s \
         after the close, the last one {longest:.3} s after it"
    );
    if !is_running {
        return Ok(finish(record, 1, &format!("the node has ended; {counts}")));
    }
    Ok(finish(record, i32::from(late > 0), &counts))
}

fn request(txn: &str) -> Vec<u8> {
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
    request.encode()
}

/// Sends `count` requests at once on a new connection and closes it; returns when it was closed.
fn send_and_go(
    number: usize,
    count: usize,
    address: SocketAddr,
    record: &Record,
) -> io::Result<f64> {
    let bytes: Vec<u8> = (0..count)
        .flat_map(|index| request(&format!("bad-{number}-{index:03}")))
        .collect();
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    let started = record.now();
    stream.write_all(&bytes)?;
    drop(stream);
    let closed_at = record.now();
    let line = format!(
        "bad client {number} has sent {count} requests (bad-{number}-000 and on, {} bytes) within \
         {:.4} s and has closed",
        bytes.len(),
        closed_at - started
    );
    record.add_at(closed_at, line);
    Ok(closed_at)
}

/// A usual client: one request at a time on its connection.
fn usual_client(number: usize, address: SocketAddr, record: &Record, has_ended: &AtomicBool) {
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
        thread::sleep(Duration::from_secs_f64(random.between(0.0, 0.02)));
    }
}

fn ask(connection: &mut Option<Client>, address: SocketAddr, txn: &str) -> io::Result<u16> {
    let client = match connection {
        Some(client) => client,
        None => connection.insert(Client::connect(address, Duration::from_secs(6))?),
    };
    client.send(&request(txn))?;
    let answer = client.answer()?;
    let answer = answer.ok_or_else(|| io::Error::other("the connection ends"))?;
    if answer.header("connection") == "close" {
        *connection = None;
    }
    Ok(answer.status())
}
