//! Upstreams whose second answers go their own way: requests that come meanwhile are answered beside them.

use crate::common::peers;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::Mutex;
use tokio::time::sleep;

/// Longest work on a request.
const MAX_WORK_MS: u64 = 20;

/// When second answers are sent, and to which share of the requests.
#[derive(Clone, Copy, Debug)]
pub struct Lateness {
    pub shortest_ms: u64,
    pub longest_ms: u64,
    pub share: f64,
    /// True if nothing else comes on a connection with a second answer.
    pub is_last: bool,
}

/// Starts upstreams on a thread of their own, for the rest of the program.
pub fn start(count: usize, lateness: Lateness) -> Vec<SocketAddr> {
    peers::start(count, move |stream| serve(stream, lateness))
}

/// Reads a request and returns its id.
async fn read_request(reader: &mut (impl AsyncBufReadExt + Unpin)) -> io::Result<Option<String>> {
    let (mut id, mut length, mut line) = (String::new(), 0, String::new());
    loop {
        line.clear();
        if reader.read_line(&mut line).await? == 0 {
            return Ok(None);
        }
        let lower = line.to_ascii_lowercase();
        if let Some(value) = lower.strip_prefix("x-correlation-id:") {
            id = value.trim().to_owned();
        }
        if let Some(value) = lower.strip_prefix("content-length:") {
            length = value.trim().parse().unwrap();
        }
        if line == "\r\n" {
            break;
        }
    }
    reader.read_exact(&mut vec![0; length]).await?;
    Ok(Some(id))
}

async fn serve(stream: TcpStream, lateness: Lateness) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let (reader, writer) = stream.into_split();
    let (mut reader, writer) = (BufReader::new(reader), Arc::new(Mutex::new(writer)));
    while let Some(id) = read_request(&mut reader).await? {
        sleep(Duration::from_millis(fastrand::u64(..=MAX_WORK_MS))).await;
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}", id.len());
        writer.lock().await.write_all(answer.as_bytes()).await?;
        if fastrand::f64() < lateness.share {
            tokio::spawn(answer_again(Arc::clone(&writer), answer, lateness));
            if lateness.is_last {
                let _ = reader.read_to_end(&mut Vec::new()).await?;
            }
        }
    }
    Ok(())
}

async fn answer_again(writer: Arc<Mutex<OwnedWriteHalf>>, answer: String, lateness: Lateness) {
    sleep(Duration::from_millis(fastrand::u64(lateness.shortest_ms..=lateness.longest_ms))).await;
    // The balancer may have closed the connection.
    let _ = writer.lock().await.write_all(answer.as_bytes()).await;
}
