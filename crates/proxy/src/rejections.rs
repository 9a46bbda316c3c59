//! Rejects client connections with a complete, readable response. Clients that read it slowly hold few
//! descriptors.

use maplehook_admission::Rejection;
use maplehook_admission::descriptor_budget::REJECTION_DESCRIPTORS;
use socket2::SockRef;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::fmt::Write;
use std::io::Read;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::timeout;

/// Time a rejected client has to read the response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of bytes that are read and discarded from a rejected client meanwhile; a request is no
/// longer than that.
pub const MAX_DISCARDED_BYTES: usize = 96 * 1024;
/// The same limit for an admitted client whose last message was too long or invalid, or that keeps sending
/// after its last response.
pub const MAX_DISCARDED_CLIENT_BYTES: usize = 2 * 1024 * 1024;

/// Rejected connections whose clients may still read the response, oldest first.
#[derive(Default)]
pub struct PendingRejections(RefCell<VecDeque<JoinHandle<()>>>);

/// Returns the response to a rejected client. It asks for a retry, because no request of the client was
/// forwarded.
fn response_text(rejection: &Rejection) -> String {
    const BODY: &str = "refused: no place";
    let mut text = String::with_capacity(160);
    let retry_after_s = rejection.retry_after.as_secs_f64();
    let _ = write!(
        text,
        "HTTP/1.1 503 Service Unavailable\r\nRetry-After: {retry_after_s:.3}\r\nConnection: close\r\n\
         Content-Length: {}\r\n\r\n{BODY}",
        BODY.len()
    );
    text
}

/// Writes the response. Returns true if the kernel took all of it, as the empty send buffer of a new socket
/// does.
fn write_response(stream: &TcpStream, rejection: &Rejection) -> bool {
    let text = response_text(rejection);
    stream.try_write(text.as_bytes()).is_ok_and(|n| n == text.len())
}

/// Reads and discards received bytes, and returns their number; `None` at the end of the stream or above
/// `max_bytes`. Closing a socket with unread bytes resets the connection, and a reset destroys the response
/// that the client has not read yet.
fn discard_received(stream: &TcpStream, max_bytes: usize) -> Option<usize> {
    let mut discarded = 0;
    loop {
        match stream.try_read(&mut [0; 4096]) {
            Ok(0) => return None,
            Ok(n) => discarded += n,
            Err(_) => return Some(discarded),
        }
        if discarded > max_bytes {
            return None;
        }
    }
}

/// Reads and discards the bytes that are available now, without waiting. Reads from the kernel directly,
/// because the runtime's readiness state may be stale.
pub fn discard_available(stream: &TcpStream) {
    let (socket, mut discarded) = (SockRef::from(stream), 0);
    while let Ok(n @ 1..) = (&*socket).read(&mut [0; 4096]) {
        discarded += n;
        if discarded > MAX_DISCARDED_BYTES {
            return;
        }
    }
}

/// Shuts down the write side after the response and discards up to `max_bytes` that the client still sends,
/// until the client closes too or [`LINGER_TIMEOUT`] expires.
pub async fn linger(mut stream: TcpStream, max_bytes: usize) {
    let _ = timeout(LINGER_TIMEOUT, async {
        // The client sees the end of the response and closes its side in turn.
        let _ = stream.shutdown().await;
        let mut discarded = 0;
        while let Some(n) = discard_received(&stream, max_bytes) {
            discarded += n;
            if discarded > max_bytes || stream.readable().await.is_err() {
                break;
            }
        }
    })
    .await;
}

impl PendingRejections {
    /// Rejects a client. A client that does not read the response at once gets time to do so, unless newer
    /// rejected clients need its descriptor.
    pub fn reject(&self, stream: TcpStream, rejection: &Rejection) {
        if !rejection.has_response || !write_response(&stream, rejection) {
            return;
        }
        discard_available(&stream);
        let pending = &mut *self.0.borrow_mut();
        pending.retain(|client| !client.is_finished());
        if pending.len() >= REJECTION_DESCRIPTORS
            && let Some(oldest) = pending.pop_front()
        {
            oldest.abort();
        }
        pending.push_back(spawn_local(linger(stream, MAX_DISCARDED_BYTES)));
    }

    /// Waits until every pending client has read its response or has timed out.
    pub async fn wait_until_read(&self) {
        let pending = std::mem::take(&mut *self.0.borrow_mut());
        for client in pending {
            let _ = client.await;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use maplehook_admission::RejectionReason;
    use tokio::net::TcpListener;

    const REJECTION: Rejection = Rejection {
        reason: RejectionReason::Full,
        has_response: true,
        retry_after: Duration::from_millis(1250),
    };

    /// Guards the rejection response against a connection reset: it must be readable although the client
    /// keeps sending. Clients that read slowly must not hold more than the reserved descriptors.
    #[tokio::test(flavor = "local")]
    async fn rejected_clients_can_read_the_response_while_they_keep_sending() {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let rejections = PendingRejections::default();
        let mut clients = Vec::new();
        for n in 0..3 * REJECTION_DESCRIPTORS {
            let mut client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
            std::io::Write::write_all(&mut client, b"POST /book HTTP/1.1\r\nContent-Length: 9\r\n\r\n")
                .unwrap();
            rejections.reject(listener.accept().await.unwrap().0, &REJECTION);
            tokio::task::yield_now().await;
            if n % 2 == 0 {
                std::io::Write::write_all(&mut client, b"more").unwrap();
            }
            clients.push(client);
            assert!(rejections.0.borrow().len() <= REJECTION_DESCRIPTORS);
        }
        for mut client in clients.into_iter().rev().take(REJECTION_DESCRIPTORS) {
            let mut read = String::new();
            client.read_to_string(&mut read).unwrap();
            assert!(
                read.starts_with("HTTP/1.1 503 ") && read.ends_with("refused: no place"),
                "received {read:?}"
            );
            assert!(read.contains("\r\nRetry-After: 1.250\r\n"), "received {read:?}");
        }
    }
}
