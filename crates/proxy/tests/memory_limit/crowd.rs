//! Hundreds of clients that make a balancer keep as much as they can.

use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};

/// Length of long bodies; 64 KiB is the longest that the platform allows.
const BODY_BYTES: usize = 60 * 1024;
const SMALL_RECEIVE_BUFFER: u32 = 4096;
const RESET_AFTER: Duration = Duration::from_millis(30);
const PIECES: usize = 20;

/// How a client of the crowd behaves.
#[derive(Clone, Copy, Debug)]
pub enum Behavior {
    /// Rests after one request.
    Idle,
    /// Sends a body without its last byte.
    BodyStopsShort,
    /// Sends a body in pieces over the whole time.
    BodyInPieces,
    /// Sends a whole head of 90 short fields, and waits.
    ManyFields,
    /// Sends a whole head of 750 short fields.
    TooManyFields,
    /// Sends fields without end.
    UnendedHead,
    /// Asks for a long answer and does not read it.
    ReadsNothing,
    /// Sends four requests with bodies at once, and resets its connection.
    PipelinesAndResets,
    /// Sends a head of 24 KB and a body, and reads nothing.
    LongAndReadsNothing,
    /// Sends pipelined requests without bodies, and reads nothing.
    PipelinesShort,
    /// Calls the address for operators with a long head and a body that never ends.
    CallsControl,
}

impl Behavior {
    pub const ALL: [Self; 11] = [
        Self::Idle,
        Self::BodyStopsShort,
        Self::BodyInPieces,
        Self::ManyFields,
        Self::TooManyFields,
        Self::UnendedHead,
        Self::ReadsNothing,
        Self::PipelinesAndResets,
        Self::LongAndReadsNothing,
        Self::PipelinesShort,
        Self::CallsControl,
    ];
}

/// Starts a crowd on a thread of its own; each client stays for `time`.
pub fn start(
    balancer: SocketAddr,
    control: SocketAddr,
    behaviors: &[Behavior],
    clients: usize,
    time: Duration,
) -> JoinHandle<()> {
    let behaviors = behaviors.to_vec();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async {
            let clients = (0..clients).map(|number| {
                let behavior = behaviors[number % behaviors.len()];
                let address = if matches!(behavior, Behavior::CallsControl) { control } else { balancer };
                tokio::spawn(timeout(time, client(address, behavior, number, time)))
            });
            for client in clients.collect::<Vec<_>>() {
                // A client whose connection ends has done its part.
                let _ = client.await;
            }
        });
    })
}

/// Connects from one of many addresses, since each address is limited by itself.
async fn connect(address: SocketAddr, number: usize, reads_little: bool) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    let from = format!("127.1.{}.{}:0", number % 200, 1 + number / 200);
    socket.bind(from.parse().expect("an address"))?;
    if reads_little {
        socket.set_recv_buffer_size(SMALL_RECEIVE_BUFFER)?;
    }
    socket.connect(address).await
}

fn request(number: usize, fields: &str, body_bytes: usize) -> String {
    format!(
        "POST /book HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: crowd{number}\r\nX-Account: acme\r\n\
         X-Time-Left-Ms: 7000\r\n{fields}Content-Length: {body_bytes}\r\n\r\n{}",
        "z".repeat(body_bytes)
    )
}

fn short_fields(count: usize) -> String {
    (0..count).map(|n| format!("{n:03}:1\r\n")).collect()
}

async fn client(
    address: SocketAddr,
    behavior: Behavior,
    number: usize,
    time: Duration,
) -> std::io::Result<()> {
    let reads_little = matches!(behavior, Behavior::ReadsNothing | Behavior::LongAndReadsNothing);
    let mut stream = connect(address, number, reads_little).await?;
    let long_body = request(number, "", BODY_BYTES);
    match behavior {
        Behavior::Idle => {
            stream.write_all(request(number, "", 0).as_bytes()).await?;
            let _ = stream.read(&mut [0; 4096]).await?;
        }
        Behavior::BodyStopsShort => {
            stream.write_all(&long_body.as_bytes()[..long_body.len() - 1]).await?;
        }
        Behavior::BodyInPieces => {
            for piece in long_body.as_bytes().chunks(long_body.len() / PIECES) {
                stream.write_all(piece).await?;
                sleep(time / (PIECES as u32 + 5)).await;
            }
        }
        Behavior::ManyFields => {
            stream.write_all(request(number, &short_fields(90), 0).as_bytes()).await?;
        }
        Behavior::TooManyFields => {
            stream.write_all(request(number, &short_fields(750), 0).as_bytes()).await?;
        }
        Behavior::UnendedHead => {
            let head = request(number, &short_fields(85), 0);
            stream.write_all(&head.as_bytes()[..head.len() - 2]).await?;
            sleep(time / 2).await;
            stream.write_all(format!("long: {}", "v".repeat(24 * 1024)).as_bytes()).await?;
        }
        Behavior::ReadsNothing => stream.write_all(request(number, "", 1).as_bytes()).await?,
        Behavior::PipelinesAndResets => {
            for part in 0..4 {
                stream.write_all(request(number * 10 + part, "", BODY_BYTES).as_bytes()).await?;
            }
            sleep(RESET_AFTER).await;
            stream.set_zero_linger()?;
            drop(stream);
            return Ok(());
        }
        Behavior::LongAndReadsNothing => {
            let field = format!("X-Long: {}\r\n", "v".repeat(23 * 1024));
            stream.write_all(request(number, &field, BODY_BYTES).as_bytes()).await?;
        }
        Behavior::PipelinesShort => {
            for part in 0..500 {
                stream.write_all(request(number * 1000 + part, "", 0).as_bytes()).await?;
            }
        }
        Behavior::CallsControl => {
            let head = "POST /control/ready HTTP/1.1\r\nHost: operators\r\nContent-Length: 9000000\r\n";
            stream.write_all(format!("{head}X-Long: {}\r\n\r\n", "v".repeat(6 * 1024)).as_bytes()).await?;
            loop {
                stream.write_all(&[b'z'; 16 * 1024]).await?;
            }
        }
    }
    sleep(time).await;
    Ok(())
}
