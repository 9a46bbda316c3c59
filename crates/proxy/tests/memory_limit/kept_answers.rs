//! Answers that are kept for repeats of their requests.

use crate::common::{OK, Then, Upstream, run};

const CLASS: &str = "[[class]]\nname = \"keyed\"\npath = \"/**\"\neffect = \"keyed\"\ndeadline_ms = 5000\n";
/// Requests before the first measurement, and after it.
const FIRST: usize = 200;
const FURTHER: usize = 2000;
/// Memory that a kept answer of a few bytes may take, in KiB: its headers, its key and its entry.
const MAX_KIB_EACH: f64 = 2.0;

#[test]
fn kept_answers_do_not_hold_the_buffers_that_they_were_read_into() {
    let _alone = crate::alone();
    let upstream = Upstream::start(Then::Answer(OK));
    let node = run(&[upstream.address], CLASS);
    let mut client = node.connect();
    let mut send = |keys: std::ops::Range<usize>| {
        for key in keys {
            let text = format!(
                "POST /x HTTP/1.1\r\nHost: app\r\nIdempotency-Key: key-{key}\r\nContent-Length: 2\r\n\r\nab"
            );
            assert_eq!(client.exchange(&text).status(), 200);
        }
    };
    send(0..FIRST);
    let before = node.peak_memory();
    send(FIRST..FIRST + FURTHER);
    let growth = node.peak_memory() - before;
    println!("{growth} KiB for {FURTHER} answers");
    assert!((growth as f64) < MAX_KIB_EACH * FURTHER as f64, "{growth} KiB for {FURTHER} answers");
}
