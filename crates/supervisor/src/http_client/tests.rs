//! Tests of the client: what is not complete is no response.

use super::*;

#[test]
fn what_is_not_whole_is_no_answer() {
    let of = |text: &str| read(&mut text.as_bytes(), false).map(|a| (a.status, a.body.len())).ok();
    assert_eq!(of("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"), Some((200, 2)));
    assert_eq!(of("HTTP/1.1 503 No\r\nConnection: close\r\n\r\nsome"), Some((503, 4)));
    assert_eq!(
        of("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"),
        Some((200, 11))
    );
    assert_eq!(of("HTTP/1.1 204 No\r\n\r\n"), Some((204, 0)));
    for text in [
        "",
        "nonsense\r\n\r\n",
        "HTTP/1.1 OK\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\na",
    ] {
        assert_eq!(of(text), None, "{text:?}");
    }
    assert_eq!(
        read(&mut "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n".as_bytes(), true).unwrap().status,
        200
    );
}
