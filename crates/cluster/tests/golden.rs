//! Forms that leave the process, as an earlier program wrote them: they are read and written as they were.

use maplehook_cluster::words::{Claim, Word, fnv};
use maplehook_cluster::{Name, Output, Settings, Tier, start};
use maplehook_golden::{assert_text, hex, recorded, unhex};
use std::time::Duration;

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn tier(own: &str, seed: u64) -> Tier {
    let peers = ["a", "b", "c"].into_iter().filter(|other| *other != own).map(name).collect();
    Tier::new(Settings::new(name(own), 1 + seed, peers, seed), Duration::ZERO)
}

/// Three balancers over some seconds, of which one claims a drain, one is not heard for a while, and one leaves: every datagram, and
/// every event that comes of it.
fn conversation() -> String {
    let mut tiers = [tier("a", 1), tier("b", 2), tier("c", 3)];
    let mut lines = String::new();
    for ms in 0..9000u64 {
        let now = Duration::from_millis(ms);
        let mut sent = Vec::new();
        for (n, tier) in tiers.iter_mut().enumerate() {
            tier.poll(now);
            if ms == 1000 && n == 0 {
                tier.claim(now, 5, vec![Claim { upstream: 4, boot_ms: 7, drained: true }]);
            }
            if ms == 8000 && n == 2 {
                tier.leave(now);
            }
            for output in tier.take() {
                match output {
                    Output::Send(to, datagram) => {
                        lines += &format!("{ms} {n} {to} {}\n", hex(&datagram));
                        sent.push((n, to, datagram));
                    }
                    Output::Happened(_) => lines += &format!("{ms} {n} event\n"),
                }
            }
        }
        for (from, to, datagram) in sent {
            let to = ["a", "b", "c"].iter().position(|n| *n == to.as_str()).unwrap();
            let is_cut = (3000..7000).contains(&ms) && (from == 1 || to == 1);
            if !is_cut {
                tiers[to].handle(now, &datagram).unwrap();
            }
        }
    }
    lines
}

#[test]
fn a_conversation_of_three_is_as_it_was_to_the_byte() {
    assert_text("conversation.txt", &conversation());
}

#[test]
fn words_of_an_earlier_program_are_read_and_written_as_they_were() {
    let words = [
        Word { claim: Claim { upstream: 1, boot_ms: 2, drained: true }, teller: 3, stamp: 4, age_ms: 5 },
        Word {
            claim: Claim { upstream: u64::MAX, boot_ms: 0, drained: false },
            teller: 9,
            stamp: 8,
            age_ms: 0,
        },
    ];
    let lines: String = words.iter().map(|word| hex(&word.bytes()) + "\n").collect();
    assert_text("words.txt", &lines);
    let read: Vec<Word> = recorded("words.txt", String::new)
        .lines()
        .map(|line| Word::read(&unhex(line).unwrap()).unwrap())
        .collect();
    assert_eq!(read, words);
}

#[test]
fn the_record_of_a_start_and_digests_are_as_they_were() {
    let text = start::record(&name("b1"), 77);
    assert_text("start.txt", &text);
    assert_eq!(start::read(&recorded("start.txt", String::new), &name("b1")).unwrap(), 77);
    assert_text("digests.txt", &format!("{:016x} {:016x}\n", fnv(b""), fnv(b"b1")));
}
