use super::*;

fn message(topic: u8, length: usize) -> Message {
    Message { topic, body: vec![0; length].into() }
}

#[test]
fn oldest_messages_are_dropped() {
    let queue = SendQueue::default();
    (0..70).for_each(|n| queue.push(message(n, 1)));
    assert_eq!(queue.dropped(), 6);
    assert_eq!(queue.pop().unwrap().topic, 6);
    (0..11).for_each(|n| queue.push(message(100 + n, 1 << 20)));
    let left: Vec<u8> = std::iter::from_fn(|| queue.pop()).map(|message| message.topic).collect();
    assert_eq!(left, [103, 104, 105, 106, 107, 108, 109, 110], "no more than 8 MiB wait");
    queue.push(message(1, 9 << 20));
    assert!(queue.pop().is_some(), "one may always wait");
}
