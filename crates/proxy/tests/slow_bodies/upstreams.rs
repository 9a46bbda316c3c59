//! Upstreams that read and write at the pace that each request's query names.

use crate::common::peers;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, sleep_until};

/// Milliseconds between a request and the head of its answer, unless the script says otherwise.
const WORK_MS: u64 = 30;
/// Time between two pieces of a body that is written or read steadily.
const STEP: Duration = Duration::from_millis(20);

/// Bytes of one read, and the most reads in a second of a body that is read at a rate.
const MIN_READ_BYTES: usize = 2 * 1024;
const READS_PER_S: usize = 100;
/// Length of the chunk that ends a body.
const LAST_CHUNK_BYTES: usize = 5;

/// Starts upstreams on a thread of their own, for the rest of the program.
pub fn start(count: usize) -> Vec<SocketAddr> {
    peers::start(count, serve)
}

/// What a request's query asks for.
struct Script(HashMap<String, String>);

impl Script {
    fn parse(target: &str) -> Self {
        let query = target.split_once('?').map_or("", |(_, query)| query);
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        Self(pairs.map(|(key, value)| (key.to_owned(), value.to_owned())).collect())
    }

    fn number(&self, key: &str) -> Option<u64> {
        self.0.get(key).map(|value| value.parse().unwrap())
    }

    fn time(&self, key: &str) -> Duration {
        Duration::from_millis(self.number(key).unwrap_or_default())
    }

    fn is(&self, key: &str, value: &str) -> bool {
        self.0.get(key).is_some_and(|found| found == value)
    }
}

async fn serve(stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut stream = BufReader::with_capacity(4 * 1024, stream);
    loop {
        let (mut length, mut is_chunked, mut target, mut line) = (0, false, String::new(), String::new());
        loop {
            line.clear();
            if stream.read_line(&mut line).await? == 0 {
                return Ok(());
            }
            if target.is_empty() {
                target = line.split(' ').nth(1).unwrap_or_default().to_owned();
            }
            let lower = line.to_ascii_lowercase();
            if let Some(value) = lower.strip_prefix("content-length:") {
                length = value.trim().parse().unwrap();
            }
            is_chunked |= lower.starts_with("transfer-encoding: chunked");
            if line == "\r\n" {
                break;
            }
        }
        let script = Script::parse(&target);
        read_body(&mut stream, &script, (!is_chunked).then_some(length)).await?;
        sleep(Duration::from_millis(script.number("work").unwrap_or(WORK_MS))).await;
        write_answer(stream.get_mut(), &script).await?;
    }
}

/// Reads a body: `stop` bytes at once and then nothing, or at `read` bytes per second.
async fn read_body(
    stream: &mut BufReader<TcpStream>,
    script: &Script,
    length: Option<u64>,
) -> io::Result<()> {
    let (stop, rate) = (script.number("stop"), script.number("read"));
    let start = Instant::now();
    let mut read = 0;
    let mut end = Vec::new();
    let mut buffer =
        vec![0; rate.map_or(MIN_READ_BYTES, |rate| MIN_READ_BYTES.max(rate as usize / READS_PER_S))];
    while length.map_or(!end.ends_with(b"0\r\n\r\n"), |length| read < length) {
        if stop.is_some_and(|stop| read >= stop) {
            std::future::pending::<()>().await;
        }
        if let Some(rate) = rate {
            sleep_until(start + Duration::from_secs_f64(read as f64 / rate as f64)).await;
        }
        let most = length.map_or(buffer.len(), |length| buffer.len().min((length - read) as usize));
        let n = stream.read(&mut buffer[..most]).await?;
        if n == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        read += n as u64;
        end.extend_from_slice(&buffer[n.saturating_sub(LAST_CHUNK_BYTES)..n]);
        end.drain(..end.len().saturating_sub(LAST_CHUNK_BYTES));
    }
    Ok(())
}

/// Writes an answer of `size` bytes over `over` milliseconds, in the form and the pieces that the script names. Its
/// length is said to be `length`, and it ends `pause` milliseconds later as the script names.
async fn write_answer(stream: &mut TcpStream, script: &Script) -> io::Result<()> {
    let size = script.number("size").unwrap_or(2) as usize;
    let form = match () {
        () if script.is("form", "chunked") => "Transfer-Encoding: chunked\r\n".to_owned(),
        () if script.is("form", "close") => "Connection: close\r\n".to_owned(),
        () => format!("Content-Length: {}\r\n", script.number("length").unwrap_or(size as u64)),
    };
    let is_chunked = script.is("form", "chunked");
    stream.write_all(format!("HTTP/1.1 200 OK\r\n{form}\r\n").as_bytes()).await?;
    let over = script.time("over");
    let first = script.number("first").unwrap_or_default() as usize;
    let gap = script.number("gap").map_or(STEP, Duration::from_millis);
    let pieces = (over.as_secs_f64() / gap.as_secs_f64()).ceil().max(1.0) as usize;
    let mut left = size;
    if first > 0 {
        write_piece(stream, first.min(left), is_chunked).await?;
        left -= first.min(left);
    }
    let piece = left.div_ceil(pieces).max(1);
    while left > 0 {
        if !over.is_zero() {
            sleep(gap).await;
        }
        write_piece(stream, piece.min(left), is_chunked).await?;
        left -= piece.min(left);
    }
    sleep(script.time("pause")).await;
    match () {
        () if script.is("end", "reset") => {
            socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO))?;
            Err(io::ErrorKind::ConnectionReset.into())
        }
        () if script.is("end", "never") => {
            let _ = stream.read(&mut [0]).await;
            Err(io::ErrorKind::UnexpectedEof.into())
        }
        () if is_chunked => stream.write_all(b"0\r\n\r\n").await,
        () if script.is("form", "close") => {
            stream.shutdown().await?;
            Err(io::ErrorKind::UnexpectedEof.into())
        }
        () => Ok(()),
    }
}

async fn write_piece(stream: &mut TcpStream, bytes: usize, is_chunked: bool) -> io::Result<()> {
    let data = vec![b'y'; bytes];
    if !is_chunked {
        return stream.write_all(&data).await;
    }
    let mut chunk = format!("{bytes:x}\r\n").into_bytes();
    chunk.extend_from_slice(&data);
    chunk.extend_from_slice(b"\r\n");
    stream.write_all(&chunk).await
}
