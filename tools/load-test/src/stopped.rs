//! The rig for clients that stop in the middle of a request and stay: how long each of many balancers leaves them without
//! a word.

use crate::peers::Upstream;
use hdrhistogram::Histogram;
use maplehook_test_servers::process::Process;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// What is owed to a client that has stopped, counted from its last byte.
const OWED_WITHIN: Duration = Duration::from_secs(3);
/// No client waits longer than this.
const LONGEST: Duration = Duration::from_secs(15);
/// The platform's least limit on descriptors.
const SOCKETS: usize = 256;

/// What stands on a connection before the request that stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Before {
    Nothing,
    Answer,
    Burst,
}

/// Where the request stops.
#[derive(Clone, Copy, Debug)]
enum Stop {
    RequestLine,
    Head,
    Body,
    Upload,
}

const BEFORE: [Before; 3] = [Before::Nothing, Before::Answer, Before::Burst];
const STOPS: [Stop; 4] = [Stop::RequestLine, Stop::Head, Stop::Body, Stop::Upload];

/// What one client saw.
struct Seen {
    stop: Stop,
    before: Before,
    /// `None`: nothing, for as long as it waited.
    word_after: Option<Duration>,
}

fn request(id: &str, length: usize) -> String {
    format!(
        "POST /book/day HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {id}\r\nX-Account: lodge\r\n\
         X-Time-Left-Ms: 2000\r\nContent-Length: {length}\r\n\r\n"
    )
}

fn part(stop: Stop, id: &str) -> String {
    match stop {
        Stop::RequestLine => "POST /bo".into(),
        Stop::Head => request(id, 3)[..60].into(),
        Stop::Body => request(id, 3) + "x",
        Stop::Upload => request(id, 200_000) + &"x".repeat(100_000),
    }
}

/// Reads until a final answer or the end comes; as many answers as stand before are passed over.
async fn word(stream: &mut TcpStream, before: usize) -> std::io::Result<()> {
    let mut read = Vec::new();
    loop {
        if stream.read_buf(&mut read).await? == 0 {
            return Ok(());
        }
        let text = String::from_utf8_lossy(&read);
        let heads = text.match_indices("HTTP/1.1 ").filter(|(at, _)| !text[*at..].starts_with("HTTP/1.1 1"));
        if heads.count() > before {
            return Ok(());
        }
    }
}

async fn client(to: SocketAddr, stop: Stop, before: Before, id: String) -> std::io::Result<Seen> {
    let mut stream = TcpStream::connect(to).await?;
    let first = request(&format!("{id}-before"), 1) + "x";
    let sent = part(stop, &id);
    match before {
        Before::Nothing => stream.write_all(sent.as_bytes()).await?,
        Before::Burst => stream.write_all((first + &sent).as_bytes()).await?,
        Before::Answer => {
            stream.write_all(first.as_bytes()).await?;
            word(&mut stream, 0).await?;
            stream.write_all(sent.as_bytes()).await?;
        }
    }
    let since = Instant::now();
    // A reset is an end as well.
    let heard = timeout(LONGEST, word(&mut stream, usize::from(before == Before::Burst))).await.is_ok();
    Ok(Seen { stop, before, word_after: heard.then(|| since.elapsed()) })
}

/// Has clients stop at so many balancers, in each place, and prints after how long they hear of it.
pub async fn run(program: &Path, balancers: usize) -> Result<(), String> {
    let upstream = Upstream::start(Duration::from_millis(2), true).await.map_err(|e| e.to_string())?;
    let start = |_| Process::balancer(program, upstream.address, SOCKETS, "");
    let processes = (0..balancers).map(start).collect::<Result<Vec<_>, _>>()?;
    let mut clients = JoinSet::new();
    for (n, process) in processes.iter().enumerate() {
        for (before, stop) in BEFORE.into_iter().flat_map(|before| STOPS.map(|stop| (before, stop))) {
            let id = format!("{n}-{before:?}-{stop:?}");
            clients.spawn(client(process.address, stop, before, id));
        }
    }
    let seen: Vec<Seen> = clients.join_all().await.into_iter().filter_map(Result::ok).collect();
    println!("{balancers} balancers, {} clients that stop and stay", seen.len());
    println!("stops in     after    | clients  p50 s  p99 s  most s | later than 3 s  no word in 15 s");
    for (before, stop) in BEFORE.into_iter().flat_map(|before| STOPS.map(|stop| (before, stop))) {
        let of = |seen: &&Seen| seen.before == before && seen.stop as u8 == stop as u8;
        row(before, stop, &seen.iter().filter(of).collect::<Vec<_>>())?;
    }
    Ok(())
}

fn row(before: Before, stop: Stop, seen: &[&Seen]) -> Result<(), String> {
    let mut waits = Histogram::<u64>::new(3).map_err(|e| e.to_string())?;
    for after in seen.iter().filter_map(|seen| seen.word_after) {
        waits.record(after.as_millis() as u64).map_err(|e| e.to_string())?;
    }
    let seconds = |ms: u64| ms as f64 / 1e3;
    let late = seen.iter().filter(|seen| seen.word_after.is_some_and(|after| after > OWED_WITHIN)).count();
    let silent = seen.iter().filter(|seen| seen.word_after.is_none()).count();
    let (stop, before) = (format!("{stop:?}"), format!("{before:?}"));
    println!(
        "{stop:<12} {before:<8} | {:>7} {:>6.2} {:>6.2} {:>7.2} | {late:>14} {silent:>16}",
        seen.len(),
        seconds(waits.value_at_quantile(0.5)),
        seconds(waits.value_at_quantile(0.99)),
        seconds(waits.max()),
    );
    Ok(())
}
