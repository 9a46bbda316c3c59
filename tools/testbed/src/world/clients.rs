//! Clients: they ask at their own pace, and tell answers apart.

use super::{OPEN_MOST, PATIENCE, World, lock};
use crate::history::{Got, Kind, What};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

impl World {
    /// Clients begin to ask, at their own pace.
    pub fn ask(&self) {
        let (rate, n) = (self.setup.rate, self.len());
        let (history, addresses, next, ends, asking) = (
            Arc::clone(&self.history),
            Arc::clone(&self.addresses),
            Arc::clone(&self.next_id),
            Arc::clone(&self.ends),
            Arc::clone(&self.asking),
        );
        self.runtime.spawn(async move {
            let open = Arc::new(AtomicUsize::new(0));
            let begun = Instant::now();
            let mut sent = 0u64;
            while !ends.load(Ordering::SeqCst) && asking.load(Ordering::SeqCst) {
                let due = Duration::from_secs_f64(sent as f64 / rate);
                if let Some(wait) = due.checked_sub(begun.elapsed()) {
                    sleep(wait).await;
                }
                sent += 1;
                let number = next.fetch_add(1, Ordering::SeqCst);
                let balancer = (number % n as u64) as usize;
                let Some(address) = *lock(&addresses[balancer]) else { continue };
                if open.load(Ordering::SeqCst) >= OPEN_MOST {
                    continue;
                }
                let kind = [Kind::Look, Kind::Book, Kind::Keyed][(number / n as u64 % 3) as usize];
                let (id, history, open) = (format!("r{number}"), Arc::clone(&history), Arc::clone(&open));
                history.note(What::Asked { id: id.clone(), kind, balancer });
                open.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(async move {
                    let got = request(address, &id, kind).await;
                    history.note(What::Got { id, got });
                    open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
    }

    /// Clients ask no more, and what they have asked has had its time.
    pub fn quiet(&self) {
        self.asking.store(false, Ordering::SeqCst);
        std::thread::sleep(PATIENCE);
    }
}

async fn request(address: SocketAddr, id: &str, kind: Kind) -> Got {
    let asked = async {
        match TcpStream::connect(address).await {
            Ok(stream) => exchange(stream, id, kind).await,
            Err(_) => Got::Broken,
        }
    };
    timeout(PATIENCE, asked).await.unwrap_or(Got::Nothing)
}

/// One request by a connection of its own, until that ends.
pub(crate) async fn exchange(mut stream: TcpStream, id: &str, kind: Kind) -> Got {
    let (method, path, key) = match kind {
        Kind::Look => ("GET", "look", String::new()),
        Kind::Book => ("POST", "book", String::new()),
        Kind::Keyed => ("POST", "keyed", format!("Idempotency-Key: {id}\r\n")),
    };
    let text = format!(
        "{method} /{path}/{id} HTTP/1.1\r\nHost: rig\r\nX-Correlation-Id: {id}\r\n{key}Content-Length: 0\r\n\
         Connection: close\r\n\r\n"
    );
    let mut answer = Vec::new();
    let read_all = async {
        stream.write_all(text.as_bytes()).await?;
        stream.take(1 << 20).read_to_end(&mut answer).await
    };
    match read_all.await {
        Ok(_) => read(&answer),
        Err(_) => Got::Broken,
    }
}

/// What an answer is, once its connection has ended.
fn read(answer: &[u8]) -> Got {
    let text = String::from_utf8_lossy(answer);
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return Got::Broken };
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
    let Some(status) = status else { return Got::Broken };
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse::<usize>().ok())?
    });
    match length {
        Some(length) if body.len() < length => Got::Broken,
        Some(length) if body.len() > length => Got::Twice,
        _ => Got::Status(status),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn answers_are_told_apart() {
        assert_eq!(read(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), Got::Status(200));
        assert_eq!(read(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\no"), Got::Broken);
        assert_eq!(read(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK"), Got::Twice);
        assert_eq!(read(b"HTTP/1.1 20"), Got::Broken);
        assert_eq!(read(b""), Got::Broken);
    }
}
