//! Forms that leave the process, as an earlier program wrote them: they are read and written as they were.

use maplehook_cluster::endpoint_gossip::{Announcement, EndpointClaim};
use maplehook_cluster::hash::fnv1a;
use maplehook_cluster::{Cluster, ClusterSettings, Name, Output, generation};
use maplehook_golden::{assert_text, hex, recorded, unhex};
use std::time::Duration;

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn cluster(own: &str, seed: u64) -> Cluster {
    let peers = ["a", "b", "c"].into_iter().filter(|other| *other != own).map(name).collect();
    Cluster::new(ClusterSettings::new(name(own), 1 + seed, peers, seed), Duration::ZERO)
}

/// Three balancers over some seconds, of which one claims a drain, one is not heard for a while, and one leaves: every datagram, and
/// every event that comes of it.
fn conversation() -> String {
    let mut clusters = [cluster("a", 1), cluster("b", 2), cluster("c", 3)];
    let mut lines = String::new();
    for ms in 0..9000u64 {
        let now = Duration::from_millis(ms);
        let mut sent = Vec::new();
        for (n, cluster) in clusters.iter_mut().enumerate() {
            cluster.poll(now);
            if ms == 1000 && n == 0 {
                cluster.set_local_claims(
                    now,
                    5,
                    vec![EndpointClaim { upstream: 4, boot_ms: 7, is_draining: true }],
                );
            }
            if ms == 8000 && n == 2 {
                cluster.leave(now);
            }
            for output in cluster.take_outputs() {
                match output {
                    Output::Send(to, datagram) => {
                        lines += &format!("{ms} {n} {to} {}\n", hex(&datagram));
                        sent.push((n, to, datagram));
                    }
                    Output::Event(_) => lines += &format!("{ms} {n} event\n"),
                }
            }
        }
        for (from, to, datagram) in sent {
            let to = ["a", "b", "c"].iter().position(|n| *n == to.as_str()).unwrap();
            let is_cut = (3000..7000).contains(&ms) && (from == 1 || to == 1);
            if !is_cut {
                clusters[to].handle_datagram(now, &datagram).unwrap();
            }
        }
    }
    lines
}

#[test]
fn conversation_of_three_is_as_it_was_to_the_byte() {
    assert_text("conversation.txt", &conversation());
}

#[test]
fn announcements_of_an_earlier_program_are_read_and_written_as_they_were() {
    let announcements = [
        Announcement {
            claim: EndpointClaim { upstream: 1, boot_ms: 2, is_draining: true },
            origin: 3,
            sequence: 4,
            age_ms: 5,
        },
        Announcement {
            claim: EndpointClaim { upstream: u64::MAX, boot_ms: 0, is_draining: false },
            origin: 9,
            sequence: 8,
            age_ms: 0,
        },
    ];
    let lines: String = announcements.iter().map(|announcement| hex(&announcement.encode()) + "\n").collect();
    assert_text("words.txt", &lines);
    let read: Vec<Announcement> = recorded("words.txt", String::new)
        .lines()
        .map(|line| Announcement::decode(&unhex(line).unwrap()).unwrap())
        .collect();
    assert_eq!(read, announcements);
}

#[test]
fn generation_record_and_digests_are_as_they_were() {
    let text = generation::encode_record(&name("b1"), 77);
    assert_text("start.txt", &text);
    assert_eq!(generation::decode_record(&recorded("start.txt", String::new), &name("b1")).unwrap(), 77);
    assert_text("digests.txt", &format!("{:016x} {:016x}\n", fnv1a(b""), fnv1a(b"b1")));
}
