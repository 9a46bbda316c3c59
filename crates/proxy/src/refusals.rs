//! Clients that are rejected: a whole answer that can be read, and no place for those who read it
//! slowly.

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

/// How long a refused client may take to read its answer.
const LINGER: Duration = Duration::from_millis(500);
/// What it may still be sending meanwhile, at the most; a request is no longer than that.
pub const MORE_MOST: usize = 96 * 1024;
/// The same of a client whose request was too long, or none, or that writes on behind its last answer.
pub const CLIENT_MORE_MOST: usize = 2 * 1024 * 1024;

/// The clients that may still read their rejection, oldest first.
#[derive(Default)]
pub struct Refusals(RefCell<VecDeque<JoinHandle<()>>>);

/// The answer to a client that is rejected: nothing of it has run.
fn answer(rejection: &Rejection) -> String {
    const BODY: &str = "refused: no place";
    let mut text = String::with_capacity(160);
    let after = rejection.retry_after.as_secs_f64();
    let _ = write!(
        text,
        "HTTP/1.1 503 Service Unavailable\r\nRetry-After: {after:.3}\r\nConnection: close\r\n\
         Content-Length: {}\r\n\r\n{BODY}",
        BODY.len()
    );
    text
}

/// Writes the answer, which any socket that has just come up takes whole.
fn write(stream: &TcpStream, rejection: &Rejection) -> bool {
    let text = answer(rejection);
    stream.try_write(text.as_bytes()).is_ok_and(|n| n == text.len())
}

/// Reads away what has come: a connection that is closed with bytes unread is reset, and a reset takes the
/// answer along that its client has not read yet.
fn read_away(stream: &TcpStream, most: usize) -> Option<usize> {
    let mut all = 0;
    loop {
        match stream.try_read(&mut [0; 4096]) {
            Ok(0) => return None,
            Ok(n) => all += n,
            Err(_) => return Some(all),
        }
        if all > most {
            return None;
        }
    }
}

/// Reads away what is there at this moment, and waits for nothing. The kernel is asked itself: what the runtime knows of
/// the stream may be older.
pub fn empty(stream: &TcpStream) {
    let (socket, mut all) = (SockRef::from(stream), 0);
    while let Ok(n @ 1..) = (&*socket).read(&mut [0; 4096]) {
        all += n;
        if all > MORE_MOST {
            return;
        }
    }
}

/// Ends a stream whose answer is written, and reads away what still comes, `most` bytes of it at the most, until its client has
/// read that.
pub async fn linger(mut stream: TcpStream, most: usize) {
    let _ = timeout(LINGER, async {
        // The end of the answer; its client closes in turn once it has read it.
        let _ = stream.shutdown().await;
        let mut all = 0;
        while let Some(n) = read_away(&stream, most) {
            all += n;
            if all > most || stream.readable().await.is_err() {
                break;
            }
        }
    })
    .await;
}

impl Refusals {
    /// Refuses a client. One that does not read at once is given time, as long as no others need its
    /// descriptor.
    pub fn refuse(&self, stream: TcpStream, rejection: &Rejection) {
        if !rejection.has_response || !write(&stream, rejection) {
            return;
        }
        let lingering = &mut *self.0.borrow_mut();
        lingering.retain(|task| !task.is_finished());
        if lingering.len() >= REJECTION_DESCRIPTORS
            && let Some(oldest) = lingering.pop_front()
        {
            oldest.abort();
        }
        lingering.push_back(spawn_local(linger(stream, MORE_MOST)));
    }

    /// Waits until all have read their refusals, or have had their time.
    pub async fn are_read(&self) {
        let lingering = std::mem::take(&mut *self.0.borrow_mut());
        for task in lingering {
            let _ = task.await;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use maplehook_admission::RejectionReason;
    use tokio::net::TcpListener;

    const REFUSAL: Rejection = Rejection {
        reason: RejectionReason::Full,
        has_response: true,
        retry_after: Duration::from_millis(1250),
    };

    /// Guards the answer against being lost: it is whole and readable though its client goes on sending, and
    /// those who read it slowly hold no more than their few descriptors.
    #[tokio::test(flavor = "local")]
    async fn a_refusal_is_readable_whatever_its_client_sends() {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let refusals = Refusals::default();
        let mut clients = Vec::new();
        for n in 0..3 * REJECTION_DESCRIPTORS {
            let mut client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
            std::io::Write::write_all(&mut client, b"POST /book HTTP/1.1\r\nContent-Length: 9\r\n\r\n")
                .unwrap();
            refusals.refuse(listener.accept().await.unwrap().0, &REFUSAL);
            tokio::task::yield_now().await;
            if n % 2 == 0 {
                std::io::Write::write_all(&mut client, b"more").unwrap();
            }
            clients.push(client);
            assert!(refusals.0.borrow().len() <= REJECTION_DESCRIPTORS);
        }
        for mut client in clients.into_iter().rev().take(REJECTION_DESCRIPTORS) {
            let mut read = String::new();
            client.read_to_string(&mut read).unwrap();
            assert!(read.starts_with("HTTP/1.1 503 ") && read.ends_with("refused: no place"), "{read}");
            assert!(read.contains("\r\nRetry-After: 1.250\r\n"), "{read}");
        }
    }
}
