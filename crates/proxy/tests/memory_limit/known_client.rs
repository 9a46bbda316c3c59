//! A known client that sends one request at a time.

use crate::common::{Node, look};
use std::time::{Duration, Instant};

const ADDRESS: &str = "127.0.0.3";
const DEADLINE: Duration = Duration::from_secs(2);
const PAUSE: Duration = Duration::from_millis(20);

/// What became of the client's requests.
#[derive(Debug, Default)]
pub struct Outcomes {
    pub sent: usize,
    /// Served within the deadline, after refusals too.
    pub in_time: usize,
    /// Ended without an answer, on a new connection too.
    pub unanswered: usize,
}

/// Sends requests for this time. A refused request is sent again until its deadline.
pub fn run(node: &Node, time: Duration) -> Outcomes {
    let (start, mut outcomes, mut number) = (Instant::now(), Outcomes::default(), 0);
    let mut client = node.connect_from(ADDRESS);
    while start.elapsed() < time {
        outcomes.sent += 1;
        let (began, mut is_new) = (Instant::now(), false);
        while let Some(left) = DEADLINE.checked_sub(began.elapsed()) {
            number += 1;
            let text = look(left.as_millis() as u64).replace("77aa", &format!("known{number}"));
            match client.try_exchange(&text) {
                Some(answer) if answer.status() == 200 => {
                    outcomes.in_time += usize::from(began.elapsed() <= DEADLINE);
                    break;
                }
                Some(_) => std::thread::sleep(PAUSE),
                // A connection may end between two requests; on a new one the request must be answered.
                None if is_new => {
                    outcomes.unanswered += 1;
                    break;
                }
                None => {
                    client = node.connect_from(ADDRESS);
                    is_new = true;
                }
            }
        }
        std::thread::sleep(PAUSE);
    }
    outcomes
}
