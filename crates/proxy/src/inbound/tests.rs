use super::*;
use maplehook::parts::buffer_memory::BufferMemory;

/// Guards against treating a client as disconnected or stalled because a signal interrupted a system
/// call.
#[test]
fn interrupted_calls_are_retried() {
    let mut results =
        vec![Ok(3), Err(io::ErrorKind::Interrupted.into()), Err(io::ErrorKind::Interrupted.into())];
    assert_eq!(retry_on_interrupt(|| results.pop().unwrap()).unwrap(), 3);
    let error = retry_on_interrupt(|| Err::<(), _>(io::ErrorKind::WouldBlock.into()));
    assert_eq!(error.unwrap_err().kind(), io::ErrorKind::WouldBlock);
}

/// Guards uploads whose upstream accepts nothing: a client whose receive window is full, however small,
/// has not stalled.
#[tokio::test(flavor = "local", start_paused = true)]
async fn uploads_blocked_by_a_full_receive_window_do_not_time_out() {
    const UPLOAD_IDLE: Duration = Duration::from_millis(2500);
    let listener = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    let any_port: std::net::SocketAddr = "127.0.0.1:0".parse().unwrap();
    // Accepted sockets inherit the buffer size.
    listener.set_recv_buffer_size(4096).unwrap();
    listener.bind(&any_port.into()).unwrap();
    listener.listen(1).unwrap();
    let address = listener.local_addr().unwrap().as_socket().unwrap();
    let mut sender = std::net::TcpStream::connect(address).unwrap();
    let stream = std::net::TcpStream::from(listener.accept().unwrap().0);
    stream.set_nonblocking(true).unwrap();
    let client = crate::client::tests::unobserved_connection();
    let stream = ClientStream::new(
        TcpStream::from_std(stream).unwrap(),
        Rc::clone(&client),
        ReadAheadTotal::new(&BufferMemory::new(1 << 20)),
    );
    client.on_received(b"POST / HTTP/1.1\r\nContent-Length: 9000000\r\n\r\n");
    client.on_head(maplehook::label::Label::default());
    client.on_request(0, false, Some(UPLOAD_IDLE));
    sender.set_nonblocking(true).unwrap();
    while std::io::Write::write(&mut sender, &[b'x'; 4096]).is_ok() {}
    tokio::select! {
        () = stream.watch_uploads() => {}
        () = sleep(2 * UPLOAD_IDLE) => {}
    }
    assert_eq!(client.expiry_reason(), None);
}

/// Guards clients that leave while memory is short: their ends are seen though nothing may be read ahead.
#[tokio::test(flavor = "local")]
async fn the_end_of_a_client_is_seen_without_memory_to_read_ahead() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let sender = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let client = crate::client::tests::unobserved_connection();
    let stream = ClientStream::new(stream, Rc::clone(&client), ReadAheadTotal::new(&BufferMemory::new(0)));
    client.on_received(b"GET / HTTP/1.1\r\n\r\n");
    client.on_head(maplehook::label::Label::default());
    client.on_request(0, false, None);
    let gone = std::future::poll_fn(|cx| stream.poll_client_gone(cx));
    tokio::pin!(gone);
    assert!(tokio::time::timeout(Duration::from_millis(50), &mut gone).await.is_err());
    drop(sender);
    assert!(tokio::time::timeout(Duration::from_secs(5), gone).await.is_ok());
}
